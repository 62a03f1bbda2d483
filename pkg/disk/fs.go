package disk

import (
	"fmt"
	"os"
)

// File has the file operations that a Store needs.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS has the file system operations that a Store needs.
type FS interface {
	MkdirAll(dir string) error
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	Create(path string) (File, error)
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// OS is the operating system's file system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll creates a folder and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List returns the names in a folder.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile returns a file's content.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create opens a new file for writing, or empties an existing one.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens a file for writing at its end.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename renames a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir makes created, renamed and removed names in a folder durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return fmt.Errorf("sync: %w", err)
	}
	return d.Close()
}

type options struct{ fs FS }

// Option changes how a store is opened.
type Option func(*options)

// WithFS sets the file system that holds the folder.
func WithFS(fs FS) Option {
	return func(o *options) { o.fs = fs }
}

func newOptions(opts []Option) options {
	o := options{fs: OS{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
