package spool

// This file owns the host's file system.

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// Disk is the host's file system.
type Disk struct{}

// MkdirAll makes a directory and those above it, for this user alone.
func (Disk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create makes a file to append to, for this user alone.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Open opens a file to read.
func (Disk) Open(name string) (ReadFile, error) { return os.Open(name) }

// List returns the files and directories in a directory.
func (Disk) List(dir string) (files []FileInfo, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil { // removed meanwhile
			continue
		}
		files = append(files, FileInfo{entry.Name(), info.Size()})
	}
	return files, err
}

// Remove takes a file away, or an empty directory.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in a directory durable.
func (Disk) SyncDir(dir string) error {
	opened, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer opened.Close()
	return opened.Sync()
}

// Lock holds a file for this process. The kernel lets it go when the process ends.
func (Disk) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", name, ErrLocked)
	}
	return file, nil
}

// DirID is the directory's device and inode, which a copy does not share.
func (Disk) DirID(dir string) (string, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return "", err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return "", fmt.Errorf("%s: no inode", dir)
	}
	return fmt.Sprintf("%x-%x", stat.Dev, stat.Ino), nil
}
