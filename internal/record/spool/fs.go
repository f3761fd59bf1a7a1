package spool

// The file system interface that a spool uses.

import (
	"errors"
	"io"
	"path/filepath"
)

// FS is a file system. Names are slash-separated paths.
type FS interface {
	MkdirAll(dir string) error
	// Create creates a file for appending. It fails if the file exists.
	Create(name string) (File, error)
	Open(name string) (ReadFile, error)
	// List returns the files and directories in a directory, sorted by name, or none if the directory does not exist.
	List(dir string) ([]FileInfo, error)
	// Remove removes a file or an empty directory.
	Remove(name string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
	// Lock locks a file until the returned closer is closed. It fails with ErrLocked if the file is already locked.
	Lock(name string) (io.Closer, error)
	// DirID returns a single word that identifies a directory and that a copy of the directory does not share.
	DirID(dir string) (string, error)
}

// FileInfo describes a file or directory returned by List.
type FileInfo struct {
	Name  string // base name
	Bytes int64
}

// File is a file opened for appending.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ReadFile is a file opened for random access reads.
type ReadFile interface {
	io.ReaderAt
	io.Closer
}

// ErrLocked is returned if another process uses the directory.
var ErrLocked = errors.New("in use by another process")

func join(parts ...string) string { return filepath.ToSlash(filepath.Join(parts...)) }
