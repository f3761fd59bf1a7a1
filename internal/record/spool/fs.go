// Package spool keeps the ledger's frames in files: segments in a directory for each incarnation. It does what the ledger
// says and must never decide when to write, what a failure means or what an entry is.
package spool

// This file owns the file systems: the machine's, and one in memory for agents without a lasting disk, which tests make
// fail by script.

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
)

// FS is what a spool needs of a file system. Names are paths with slashes.
type FS interface {
	MkdirAll(dir string) error
	Create(name string) (File, error) // fails where the file exists
	Open(name string) (ReadFile, error)
	List(dir string) (names []string, sizes []int64, err error) // by name; none where there is no such directory
	Remove(name string) error                                   // a file, or an empty directory
	SyncDir(dir string) error
	Lock(name string) (io.Closer, error) // fails with ErrLocked
	Place(dir string) (string, error)    // one word by which a copy of a directory is told from the directory
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

// ErrLocked: another process works in the directory.
var ErrLocked = errors.New("another process works there")

// Disk is the machine's file system.
type Disk struct{}

func (Disk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (Disk) Open(name string) (ReadFile, error) { return os.Open(name) }

func (Disk) List(dir string) (names []string, sizes []int64, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil { // gone meanwhile
			continue
		}
		names, sizes = append(names, e.Name()), append(sizes, info.Size())
	}
	return names, sizes, err
}

func (Disk) Remove(name string) error { return os.Remove(name) }

func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (Disk) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", name, ErrLocked)
	}
	return f, nil
}

func (Disk) Place(dir string) (string, error) {
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

// Memory is a file system in memory. What was written and not synced can be dropped, as a loss of power would.
type Memory struct {
	mu    sync.Mutex
	files map[string]*held
	locks map[string]bool
	// Fail is asked before each operation: mkdir, create, write, sync, remove, syncdir. An error makes it fail; of a write,
	// `part` bytes go in all the same. Nil: nothing fails.
	Fail func(op, name string, bytes int) (part int, err error)
}

type held struct {
	mu     sync.Mutex
	data   []byte
	synced int
}

// NewMemory makes an empty one.
func NewMemory() *Memory { return &Memory{files: map[string]*held{}, locks: map[string]bool{}} }

func (m *Memory) fail(op, name string, bytes int) (int, error) {
	if m.Fail == nil {
		return bytes, nil
	}
	return m.Fail(op, name, bytes)
}

func (m *Memory) MkdirAll(dir string) error {
	_, err := m.fail("mkdir", dir, 0)
	return err
}

func (m *Memory) Create(name string) (File, error) {
	if _, err := m.fail("create", name, 0); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] != nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrExist)
	}
	h := &held{}
	m.files[name] = h
	return &handle{m, h, name}, nil
}

func (m *Memory) Open(name string) (ReadFile, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.files[name]
	if h == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return &handle{m, h, name}, nil
}

func (m *Memory) List(dir string) (names []string, sizes []int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		rest, under := strings.CutPrefix(name, dir+"/")
		if !under {
			continue
		}
		first, _, deeper := strings.Cut(rest, "/")
		if size := len(m.files[name].data); !deeper {
			names, sizes = append(names, rest), append(sizes, int64(size))
		} else if len(names) == 0 || names[len(names)-1] != first {
			names, sizes = append(names, first), append(sizes, 0)
		}
	}
	return names, sizes, nil
}

func (m *Memory) Remove(name string) error {
	if _, err := m.fail("remove", name, 0); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

func (m *Memory) SyncDir(dir string) error {
	_, err := m.fail("syncdir", dir, 0)
	return err
}

func (m *Memory) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] {
		return nil, fmt.Errorf("%s: %w", name, ErrLocked)
	}
	m.locks[name] = true
	return unlock{m, name}, nil
}

type unlock struct {
	m    *Memory
	name string
}

func (u unlock) Close() error {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	delete(u.m.locks, u.name)
	return nil
}

func (m *Memory) Place(string) (string, error) { return "memory", nil }

// Crash drops what was not synced but for the first `keep` bytes of it in each file, and all locks.
func (m *Memory) Crash(keep int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.locks)
	for _, h := range m.files {
		h.data = h.data[:min(h.synced+keep, len(h.data))]
	}
}

// Edit changes a file's bytes as a broken disk would.
func (m *Memory) Edit(name string, edit func([]byte) []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.files[name]
	if h == nil {
		return fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	h.data = edit(h.data)
	return nil
}

type handle struct {
	m    *Memory
	h    *held
	name string
}

func (f *handle) Write(b []byte) (int, error) {
	part, err := f.m.fail("write", f.name, len(b))
	f.h.mu.Lock()
	defer f.h.mu.Unlock()
	f.h.data = append(f.h.data, b[:part]...)
	return part, err
}

func (f *handle) Sync() error {
	_, err := f.m.fail("sync", f.name, 0)
	f.h.mu.Lock()
	defer f.h.mu.Unlock()
	if err == nil {
		f.h.synced = len(f.h.data)
	}
	return err
}

func (f *handle) ReadAt(b []byte, at int64) (int, error) {
	f.h.mu.Lock()
	defer f.h.mu.Unlock()
	if at >= int64(len(f.h.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.h.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *handle) Close() error { return nil }

func join(parts ...string) string { return filepath.ToSlash(filepath.Join(parts...)) }
