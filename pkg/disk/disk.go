// Package disk keeps a log of records in one folder. A record is durable when
// Append returns. After a failed write or sync the store rejects all further
// writes, because the contents of the disk are unknown from then on.
//
//	store, records, closeStore, err := disk.Open(dir)
//	defer closeStore()
//	err = store.Append([]byte("record"))
//
// The log is a file of frames. A frame is a header of three little-endian
// 32-bit words (payload length, CRC-32C of the payload, CRC-32C of the first
// two words) and the payload. Each Append writes one frame and syncs it, so
// only the last frame of a file can be torn (written in part).
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"sort"
	"strings"
)

// Sentinel errors of this package.
var (
	// ErrCorrupt reports a record that was durable but can't be read any more.
	ErrCorrupt = errors.New("log is corrupt")
	// ErrFailed reports that an earlier write or sync failed, or that the store is
	// closed.
	ErrFailed = errors.New("store accepts no more writes")
)

const (
	headerBytes     = 12
	maxPayloadBytes = 1 << 30
	filePrefix      = "log-"
	tempSuffix      = ".tmp"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store appends records to the log of one folder. It is not safe for
// concurrent use.
type Store struct {
	fs      FS
	dir     string
	number  uint64 // of the current log file
	file    File   // the current log file; nil once the store is closed
	failure error  // why all writes are rejected, or nil
	bytes   int64  // size of the current log file
}

// Open reads the log in a folder, creating the folder and the log if they don't
// exist. It returns the store, its records in order and the clean-up function. It
// truncates a torn last record; for any other invalid record it returns an
// ErrCorrupt that names the file and the offset.
func Open(dir string, opts ...Option) (*Store, [][]byte, func() error, error) {
	cfg := newOptions(opts)
	s := &Store{fs: cfg.fs, dir: dir}
	if err := s.fs.MkdirAll(dir); err != nil {
		return nil, nil, nil, fmt.Errorf("create folder %s: %w", dir, err)
	}
	numbers, err := s.listLogs()
	if err != nil {
		return nil, nil, nil, err
	}
	records, err := s.load(numbers)
	if err != nil {
		return nil, nil, nil, errors.Join(err, s.close())
	}
	return s, records, s.close, nil
}

// Bytes returns the size of the current log file in bytes.
func (s *Store) Bytes() int64 { return s.bytes }

// Append writes one record and syncs it.
func (s *Store) Append(record []byte) error {
	if s.failure != nil {
		return fmt.Errorf("%w: %w", ErrFailed, s.failure)
	}
	if err := writeFrame(s.file, record); err != nil {
		s.failure = err
		return fmt.Errorf("append to %s: %w", s.path(s.number), err)
	}
	s.bytes += headerBytes + int64(len(record))
	return nil
}

// Replace starts a new log file that contains only the given record, and removes
// the old file. If a crash interrupts it, Open finds either the old log or the new
// one, complete.
func (s *Store) Replace(record []byte) error {
	if s.failure != nil {
		return fmt.Errorf("%w: %w", ErrFailed, s.failure)
	}
	if err := s.replace(record); err != nil {
		s.failure = err
		return fmt.Errorf("replace %s: %w", s.path(s.number), err)
	}
	return nil
}

func (s *Store) replace(record []byte) error {
	next := s.path(s.number + 1)
	file, err := s.fs.Create(next + tempSuffix)
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	if err := writeFrame(file, record); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := s.publish(next); err != nil {
		return errors.Join(err, file.Close())
	}
	old, oldPath := s.file, s.path(s.number)
	s.file, s.number = file, s.number+1
	s.bytes = headerBytes + int64(len(record))
	if err := old.Close(); err != nil {
		return fmt.Errorf("close old log: %w", err)
	}
	return s.fs.Remove(oldPath)
}

// publish renames a finished temporary file to its final path and makes the new
// name durable.
func (s *Store) publish(path string) error {
	if err := s.fs.Rename(path+tempSuffix, path); err != nil {
		return fmt.Errorf("rename log: %w", err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

func (s *Store) close() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	s.file = nil
	if s.failure == nil {
		s.failure = errors.New("store is closed")
	}
	return err
}

func (s *Store) path(number uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%020d", filePrefix, number))
}

// listLogs returns the numbers of the log files in ascending order, and removes
// unfinished files.
func (s *Store) listLogs() ([]uint64, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, fmt.Errorf("list folder %s: %w", s.dir, err)
	}
	var numbers []uint64
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
				return nil, fmt.Errorf("remove unfinished file: %w", err)
			}
			continue
		}
		var n uint64
		if _, err := fmt.Sscanf(name, filePrefix+"%d", &n); err == nil {
			numbers = append(numbers, n)
		}
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers, nil
}

// load opens the newest log file and returns its records. It removes older files,
// and creates the first one if there is none.
func (s *Store) load(numbers []uint64) ([][]byte, error) {
	if len(numbers) == 0 {
		return nil, s.create()
	}
	// The sync after the file was created or renamed may have failed.
	if err := s.syncNames(); err != nil {
		return nil, err
	}
	last := len(numbers) - 1
	s.number = numbers[last]
	for _, n := range numbers[:last] {
		if err := s.fs.Remove(s.path(n)); err != nil {
			return nil, fmt.Errorf("remove old log: %w", err)
		}
	}
	return s.read()
}

// create creates the first log file and makes its name and the folder's durable.
func (s *Store) create() error {
	s.number = 1
	file, err := s.fs.Create(s.path(s.number))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	s.file = file
	return s.syncNames()
}

// syncNames makes the names of the log files and of their folder durable.
func (s *Store) syncNames() error {
	for _, dir := range []string{s.dir, filepath.Dir(s.dir)} {
		if err := s.fs.SyncDir(dir); err != nil {
			return fmt.Errorf("sync folder %s: %w", dir, err)
		}
	}
	return nil
}

// read returns the records of the current log file and opens it for appending. It
// truncates a torn last record, and syncs the others: the process may have ended before it did,
// or failed to.
func (s *Store) read() ([][]byte, error) {
	path := s.path(s.number)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	records, end, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("file %s: %w", path, err)
	}
	file, err := s.fs.Append(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	s.file, s.bytes = file, int64(end)
	if end < len(data) {
		if err := s.file.Truncate(int64(end)); err != nil {
			return nil, fmt.Errorf("truncate torn record: %w", err)
		}
	}
	if err := s.file.Sync(); err != nil {
		return nil, fmt.Errorf("sync log: %w", err)
	}
	return records, nil
}

// writeFrame writes the payload as one frame, in a single write, and syncs the file.
func writeFrame(file File, payload []byte) error {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	if _, err := file.Write(append(frame, payload...)); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync record: %w", err)
	}
	return nil
}
