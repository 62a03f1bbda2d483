package disk_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/disk"
)

// unsyncedFS is a file system that loses what was not synced at a power loss, and counts open
// files.
type unsyncedFS struct {
	disk.OS
	failSync, failSyncDir, failTruncate bool
	renamed                             [][2]string      // since the last sync of the folder
	synced                              map[string]int64 // sizes of files at their last sync
	open                                int
}

type countedFile struct {
	disk.File
	fs   *unsyncedFS
	path string
}

func (fs *unsyncedFS) counted(path string, f disk.File, err error) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	fs.open++
	return countedFile{f, fs, path}, nil
}

func (fs *unsyncedFS) Create(path string) (disk.File, error) {
	f, err := fs.OS.Create(path)
	return fs.counted(path, f, err)
}

func (fs *unsyncedFS) Append(path string) (disk.File, error) {
	f, err := fs.OS.Append(path)
	return fs.counted(path, f, err)
}

func (f countedFile) Sync() error {
	if f.fs.failSync {
		return errFault
	}
	info, err := os.Stat(f.path)
	if err != nil {
		return err
	}
	if f.fs.synced == nil {
		f.fs.synced = make(map[string]int64)
	}
	f.fs.synced[f.path] = info.Size()
	return f.File.Sync()
}

func (f countedFile) Close() error {
	f.fs.open--
	return f.File.Close()
}

func (f countedFile) Truncate(size int64) error {
	if f.fs.failTruncate {
		return errFault
	}
	return f.File.Truncate(size)
}

func (fs *unsyncedFS) Rename(from, to string) error {
	fs.renamed = append(fs.renamed, [2]string{from, to})
	fs.synced[to] = fs.synced[from]
	return fs.OS.Rename(from, to)
}

func (fs *unsyncedFS) SyncDir(dir string) error {
	if fs.failSyncDir {
		return errFault
	}
	fs.renamed = nil
	return fs.OS.SyncDir(dir)
}

func (fs *unsyncedFS) losePower(t *testing.T) {
	for path, size := range fs.synced {
		if _, err := os.Stat(path); err == nil {
			assert.NilError(t, os.Truncate(path, size))
		}
	}
	for _, names := range fs.renamed {
		assert.NilError(t, os.Rename(names[1], names[0]))
	}
}

// Guards against durable records that are lost because the name of a reopened log was never synced.
func TestReopenSyncsNameOfLog(t *testing.T) {
	dir := newLog(t)
	fs := &unsyncedFS{}
	s, _, err := open(t, dir, disk.WithFS(fs))
	assert.NilError(t, err)
	fs.failSyncDir = true
	assert.Assert(t, errors.Is(s.Replace([]byte("all")), errFault))
	fs.failSyncDir = false
	s, _, err = open(t, dir, disk.WithFS(fs))
	assert.NilError(t, err)
	assert.NilError(t, s.Append([]byte("more")))
	fs.losePower(t)
	assertRecords(t, dir, "all", "more")
}

// Guards against records that count as durable once they were read, although their sync failed.
func TestReopenSyncsRecords(t *testing.T) {
	dir := newLog(t)
	fs := &unsyncedFS{}
	s, _, err := open(t, dir, disk.WithFS(fs))
	assert.NilError(t, err)
	assert.NilError(t, s.Append([]byte("four")))
	fs.failSync = true
	assert.Assert(t, errors.Is(s.Append([]byte("five")), errFault))
	fs.failSync = false
	_, records, err := open(t, dir, disk.WithFS(fs))
	assert.NilError(t, err)
	fs.losePower(t)
	assertRecords(t, dir, records...)
}

// Guards against a file that stays open for each attempt to open a log whose disk fails.
func TestFailedOpenLeavesNoFileOpen(t *testing.T) {
	t.Run("torn record", func(t *testing.T) {
		dir := newLog(t)
		path := logFile(t, dir)
		intact, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(path, intact[:len(intact)-1], 0o600))
		assertNoneOpen(t, dir, &unsyncedFS{failTruncate: true})
	})
	t.Run("new log", func(t *testing.T) {
		assertNoneOpen(t, filepath.Join(t.TempDir(), "group"), &unsyncedFS{failSyncDir: true})
	})
}

func assertNoneOpen(t *testing.T, dir string, fs *unsyncedFS) {
	t.Helper()
	_, _, err := open(t, dir, disk.WithFS(fs))
	assert.Assert(t, errors.Is(err, errFault))
	assert.Equal(t, fs.open, 0)
}
