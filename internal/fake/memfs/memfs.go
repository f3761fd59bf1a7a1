// Package memfs is a file system in memory for tests of the spool: it fails by script, loses what was not synced as a loss
// of power would, and changes bytes as a broken disk would. Only tests may use it.
package memfs

import (
	"errors"
	"io"
	"maps"
	"sync"

	"onyxgate/internal/record/spool"
)

// FS is spool.Memory with faults.
type FS struct {
	// Fail is asked before each operation: mkdir, create, write, sync, close (of a file that was written), remove, syncdir.
	// An error makes it fail; of a write, `part` bytes go in all the same. Nil: nothing fails.
	Fail func(op, name string, bytes int) (part int, err error)

	memory *spool.Memory
	mu     sync.Mutex
	synced map[string]int // bytes of each file that is there
	locks  map[string]bool
}

// New makes an empty one.
func New() *FS {
	return &FS{memory: spool.NewMemory(), synced: map[string]int{}, locks: map[string]bool{}}
}

func (f *FS) fail(op, name string, bytes int) (int, error) {
	if f.Fail == nil {
		return bytes, nil
	}
	return f.Fail(op, name, bytes)
}

// MkdirAll has nothing to do but to fail.
func (f *FS) MkdirAll(dir string) error {
	_, err := f.fail("mkdir", dir, 0)
	return err
}

// Create makes a file to append to.
func (f *FS) Create(name string) (spool.File, error) {
	if _, err := f.fail("create", name, 0); err != nil {
		return nil, err
	}
	inner, err := f.memory.Create(name)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.synced[name] = 0
	f.mu.Unlock()
	return &file{fs: f, name: name, inner: inner}, nil
}

// Open opens a file to read.
func (f *FS) Open(name string) (spool.ReadFile, error) { return f.memory.Open(name) }

// List returns the files and directories in a directory.
func (f *FS) List(dir string) ([]spool.FileInfo, error) { return f.memory.List(dir) }

// Remove takes a file away.
func (f *FS) Remove(name string) error {
	if _, err := f.fail("remove", name, 0); err != nil {
		return err
	}
	f.mu.Lock()
	delete(f.synced, name)
	f.mu.Unlock()
	return f.memory.Remove(name)
}

// SyncDir has nothing to do but to fail.
func (f *FS) SyncDir(dir string) error {
	_, err := f.fail("syncdir", dir, 0)
	return err
}

// Lock holds a name until the closer is closed, or until Crash.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[name] {
		return nil, spool.ErrLocked
	}
	f.locks[name] = true
	return &lock{f, name}, nil
}

// DirID is the same for all directories.
func (f *FS) DirID(dir string) (string, error) { return f.memory.DirID(dir) }

// Crash drops what was not synced but for the first `keep` bytes of it in each file, and all locks.
func (f *FS) Crash(keep int) (err error) {
	f.mu.Lock()
	clear(f.locks)
	synced := maps.Clone(f.synced)
	f.mu.Unlock()
	for name, bytes := range synced {
		err = errors.Join(err, f.Edit(name, func(data []byte) []byte { return data[:min(bytes+keep, len(data))] }))
	}
	return err
}

// Edit changes a file's bytes. Who has it open keeps the old ones.
func (f *FS) Edit(name string, edit func([]byte) []byte) error {
	old, err := f.memory.Open(name)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(io.NewSectionReader(old, 0, 1<<40))
	if err != nil {
		return err
	}
	if err := f.memory.Remove(name); err != nil {
		return err
	}
	changed, err := f.memory.Create(name)
	if err != nil {
		return err
	}
	_, err = changed.Write(edit(data))
	return err
}

type lock struct {
	fs   *FS
	name string
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.name)
	return nil
}

// file is appended to by one writer.
type file struct {
	fs    *FS
	name  string
	inner spool.File
	bytes int
}

func (a *file) Write(b []byte) (int, error) {
	part, failed := a.fs.fail("write", a.name, len(b))
	wrote, err := a.inner.Write(b[:part])
	a.bytes += wrote
	return wrote, errors.Join(failed, err)
}

func (a *file) Sync() error {
	if _, err := a.fs.fail("sync", a.name, 0); err != nil {
		return err
	}
	a.fs.mu.Lock()
	defer a.fs.mu.Unlock()
	a.fs.synced[a.name] = a.bytes
	return a.inner.Sync()
}

func (a *file) Close() error {
	_, failed := a.fs.fail("close", a.name, 0)
	return errors.Join(failed, a.inner.Close())
}

var _ spool.FS = (*FS)(nil)
