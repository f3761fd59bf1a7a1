package spool

// This file owns what a spool needs of a file system.

import (
	"errors"
	"io"
	"path/filepath"
)

// FS is a file system. Names are paths with slashes.
type FS interface {
	MkdirAll(dir string) error
	// Create makes a file to append to. It fails where the file exists.
	Create(name string) (File, error)
	Open(name string) (ReadFile, error)
	// List returns the files and directories in a directory, in the order of names; none where there is no such directory.
	List(dir string) ([]FileInfo, error)
	// Remove takes a file away, or an empty directory.
	Remove(name string) error
	SyncDir(dir string) error
	// Lock holds a file until the closer is closed. It fails with ErrLocked where another process holds it.
	Lock(name string) (io.Closer, error)
	// DirID is one word by which a copy of a directory is told from the directory.
	DirID(dir string) (string, error)
}

// FileInfo is a file or a directory as List finds it.
type FileInfo struct {
	Name  string // without its directory
	Bytes int64
}

// File is appended to.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ReadFile is read at any place.
type ReadFile interface {
	io.ReaderAt
	io.Closer
}

// ErrLocked says that another process works in the directory.
var ErrLocked = errors.New("another process works there")

func join(parts ...string) string { return filepath.ToSlash(filepath.Join(parts...)) }
