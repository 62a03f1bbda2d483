package disk_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/disk"
)

var errFault = errors.New("injected fault")

// faultyFS is a file system whose writes, syncs or renames fail with errFault while
// the corresponding field is set.
type faultyFS struct {
	disk.OS
	failWrite, failSync, failRename bool
	shortWrite                      int // bytes that a failing write writes before it fails
}

type faultyFile struct {
	disk.File
	fs *faultyFS
}

func (f *faultyFS) Create(path string) (disk.File, error) {
	file, err := f.OS.Create(path)
	return &faultyFile{File: file, fs: f}, err
}

func (f *faultyFS) Append(path string) (disk.File, error) {
	file, err := f.OS.Append(path)
	return &faultyFile{File: file, fs: f}, err
}

func (f *faultyFS) Rename(from, to string) error {
	if f.failRename {
		return errFault
	}
	return f.OS.Rename(from, to)
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if !f.fs.failWrite {
		return f.File.Write(data)
	}
	n, _ := f.File.Write(data[:min(f.fs.shortWrite, len(data))])
	return n, errFault
}

func (f *faultyFile) Sync() error {
	if f.fs.failSync {
		return errFault
	}
	return f.File.Sync()
}

func open(t *testing.T, dir string, opts ...disk.Option) (*disk.Store, []string, error) {
	t.Helper()
	s, records, closeStore, err := disk.Open(dir, opts...)
	if err != nil {
		return nil, nil, err
	}
	t.Cleanup(func() { _ = closeStore() })
	var out []string
	for _, r := range records {
		out = append(out, string(r))
	}
	return s, out, nil
}

func assertRecords(t *testing.T, dir string, want ...string) {
	t.Helper()
	_, got, err := open(t, dir)
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(got, ","), strings.Join(want, ","))
}

func logFile(t *testing.T, dir string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "log-*"))
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1, "%v", names)
	return names[0]
}

// newLog returns a folder that contains a log with three records.
func newLog(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "group")
	s, _, err := open(t, dir)
	assert.NilError(t, err)
	for _, r := range []string{"one", "two", "three"} {
		assert.NilError(t, s.Append([]byte(r)))
	}
	return dir
}

func TestReopen(t *testing.T) {
	t.Run("records are returned in order", func(t *testing.T) {
		assertRecords(t, newLog(t), "one", "two", "three")
	})
	t.Run("replace keeps only the new record", func(t *testing.T) {
		dir := newLog(t)
		s, _, err := open(t, dir)
		assert.NilError(t, err)
		assert.NilError(t, s.Replace([]byte("all")))
		assert.NilError(t, s.Append([]byte("more")))
		assertRecords(t, dir, "all", "more")
	})
	t.Run("unfinished replacement is removed", func(t *testing.T) {
		dir := newLog(t)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "log-00000000000000000002.tmp"), []byte("half"), 0o600))
		assertRecords(t, dir, "one", "two", "three")
	})
}

// TestTornTail truncates the file at every length: the records that are complete are
// returned, and the torn one is dropped.
func TestTornTail(t *testing.T) {
	dir := newLog(t)
	path := logFile(t, dir)
	intact, err := os.ReadFile(path)
	assert.NilError(t, err)
	ends := []int{0, 15, 30, 47}
	for n := range intact {
		want := 0
		for i, end := range ends {
			if n >= end {
				want = i
			}
		}
		assert.NilError(t, os.WriteFile(path, intact[:n], 0o600))
		assertRecords(t, dir, []string{"one", "two", "three"}[:want]...)
	}
}

// TestFlippedByte flips a bit of each byte in turn: since the record was durable,
// Open must not drop it as torn, but return an error that names file and offset.
func TestFlippedByte(t *testing.T) {
	dir := newLog(t)
	path := logFile(t, dir)
	intact, err := os.ReadFile(path)
	assert.NilError(t, err)
	for n := range intact {
		corrupt := append([]byte(nil), intact...)
		corrupt[n] ^= 0x40
		assert.NilError(t, os.WriteFile(path, corrupt, 0o600))
		_, _, err := open(t, dir)
		assert.Assert(t, errors.Is(err, disk.ErrCorrupt), "byte %d: %v", n, err)
		assert.Assert(t, strings.Contains(err.Error(), path) && strings.Contains(err.Error(), "offset"), "byte %d: %v", n, err)
	}
}

func TestFailedDisk(t *testing.T) {
	cases := []struct {
		name   string
		inject func(fs *faultyFS)
	}{
		{"full disk", func(fs *faultyFS) { fs.failWrite = true }},
		{"short write", func(fs *faultyFS) { fs.failWrite, fs.shortWrite = true, 5 }},
		{"failed sync", func(fs *faultyFS) { fs.failSync = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := newLog(t)
			fs := &faultyFS{}
			s, _, err := open(t, dir, disk.WithFS(fs))
			assert.NilError(t, err)
			c.inject(fs)
			assert.Assert(t, errors.Is(s.Append([]byte("four")), errFault))
			*fs = faultyFS{}
			assert.Assert(t, errors.Is(s.Append([]byte("five")), disk.ErrFailed), "a store whose disk failed must reject further writes")
			assert.Assert(t, errors.Is(s.Replace([]byte("six")), disk.ErrFailed))
			_, got, err := open(t, dir)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(got[:3]), "[one two three]")
		})
	}
	t.Run("failed rename keeps the old log", func(t *testing.T) {
		dir := newLog(t)
		fs := &faultyFS{failRename: true}
		s, _, err := open(t, dir, disk.WithFS(fs))
		assert.NilError(t, err)
		assert.Assert(t, errors.Is(s.Replace([]byte("all")), errFault))
		assertRecords(t, dir, "one", "two", "three")
	})
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x03\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00one"))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "log-00000000000000000001"), data, 0o600))
		_, _, err := open(t, dir)
		assert.Assert(t, err == nil || errors.Is(err, disk.ErrCorrupt), "%v", err)
	})
}
