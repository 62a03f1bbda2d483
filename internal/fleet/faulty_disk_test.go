package fleet

import (
	"errors"
	"sync/atomic"

	"github.com/cranberrywind/cranberrywind/pkg/disk"
)

// operation is a kind of file operation.
type operation int32

const (
	none operation = iota
	opMkdir
	opList
	opRead
	opCreate
	opOpen
	opRename
	opRemove
	opSyncDir
	opWrite
	opShortWrite // writes a part
	opSync
	opTruncate
	opClose
)

// whenOpened reports whether a replica needs the operation only when it is opened. Writes
// fail beside it.
func (op operation) whenOpened() bool {
	switch op {
	case opMkdir, opList, opRead, opOpen, opTruncate:
		return true
	}
	return false
}

// faultyDisk is a disk on which one kind of operation fails.
type faultyDisk struct {
	disk.OS
	failing atomic.Int32
	failed  atomic.Int32 // number of operations that have failed
}

var errFullDisk = errors.New("no space left on device")

func (d *faultyDisk) check(ops ...operation) error {
	for _, op := range ops {
		if operation(d.failing.Load()) == op {
			d.failed.Add(1)
			return errFullDisk
		}
	}
	return nil
}

func (d *faultyDisk) MkdirAll(dir string) error {
	return errors.Join(d.check(opMkdir), d.OS.MkdirAll(dir))
}

func (d *faultyDisk) List(dir string) ([]string, error) {
	if err := d.check(opList); err != nil {
		return nil, err
	}
	return d.OS.List(dir)
}

func (d *faultyDisk) ReadFile(path string) ([]byte, error) {
	if err := d.check(opRead); err != nil {
		return nil, err
	}
	return d.OS.ReadFile(path)
}

func (d *faultyDisk) Create(path string) (disk.File, error) {
	if err := d.check(opCreate); err != nil {
		return nil, err
	}
	f, err := d.OS.Create(path)
	return faultyFile{f, d}, err
}

func (d *faultyDisk) Append(path string) (disk.File, error) {
	if err := d.check(opOpen); err != nil {
		return nil, err
	}
	f, err := d.OS.Append(path)
	return faultyFile{f, d}, err
}

func (d *faultyDisk) Rename(from, to string) error {
	if err := d.check(opRename); err != nil {
		return err
	}
	return d.OS.Rename(from, to)
}

func (d *faultyDisk) Remove(path string) error {
	if err := d.check(opRemove); err != nil {
		return err
	}
	return d.OS.Remove(path)
}

func (d *faultyDisk) SyncDir(dir string) error {
	return errors.Join(d.check(opSyncDir), d.OS.SyncDir(dir))
}

type faultyFile struct {
	disk.File
	disk *faultyDisk
}

func (f faultyFile) Write(data []byte) (int, error) {
	if err := f.disk.check(opWrite); err != nil {
		return 0, err
	}
	err := f.disk.check(opShortWrite)
	if err != nil || operation(f.disk.failing.Load()).whenOpened() { // so that it is opened again
		n, _ := f.File.Write(data[:len(data)/2])
		return n, errFullDisk
	}
	return f.File.Write(data)
}

func (f faultyFile) Sync() error { return errors.Join(f.disk.check(opSync), f.File.Sync()) }

func (f faultyFile) Truncate(size int64) error {
	if err := f.disk.check(opTruncate); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f faultyFile) Close() error { return errors.Join(f.File.Close(), f.disk.check(opClose)) }
