package spool

// The host's file system.

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// Disk implements FS on the host's file system.
type Disk struct{}

// MkdirAll creates a directory and its parents, accessible to this user only.
func (Disk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create creates a file for appending, accessible to this user only.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Open opens a file for reading.
func (Disk) Open(name string) (ReadFile, error) { return os.Open(name) }

// List returns the files and directories in a directory.
func (Disk) List(dir string) (files []FileInfo, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil { // removed since ReadDir
			continue
		}
		files = append(files, FileInfo{entry.Name(), info.Size()})
	}
	return files, err
}

// Remove removes a file or an empty directory.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the directory's entries durable.
func (Disk) SyncDir(dir string) error {
	opened, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer opened.Close()
	return opened.Sync()
}

// Lock locks a file for this process. The kernel releases the lock when the process exits.
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

// DirID identifies a directory by its device and inode, which a copy does not share.
func (Disk) DirID(dir string) (string, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return "", err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return "", fmt.Errorf("%s: no inode information", dir)
	}
	return fmt.Sprintf("%x-%x", stat.Dev, stat.Ino), nil
}
