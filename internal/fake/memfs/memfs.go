// Package memfs is an in-memory file system with fault injection for tests of the spool. Operations fail as a test
// specifies; a simulated power loss discards unsynced data; and a file's bytes can be changed as by a faulty disk.
// Only tests may use it.
package memfs

import (
	"errors"
	"io"
	"maps"
	"sync"

	"onyxgate/internal/record/spool"
)

// FS is a spool.Memory with fault injection.
type FS struct {
	// Fail is called before each operation: mkdir, create, write, sync, close (of a file opened for writing), remove,
	// syncdir. If it returns an error the operation fails. A write writes part bytes, whether it fails or not.
	// If Fail is nil no operation fails.
	Fail func(op, name string, bytes int) (part int, err error)

	memory *spool.Memory
	mu     sync.Mutex
	synced map[string]int // number of synced bytes of each existing file
	locks  map[string]bool
}

// New returns an empty file system.
func New() *FS {
	return &FS{memory: spool.NewMemory(), synced: map[string]int{}, locks: map[string]bool{}}
}

func (f *FS) fail(op, name string, bytes int) (int, error) {
	if f.Fail == nil {
		return bytes, nil
	}
	return f.Fail(op, name, bytes)
}

// MkdirAll does nothing unless Fail makes it fail.
func (f *FS) MkdirAll(dir string) error {
	_, err := f.fail("mkdir", dir, 0)
	return err
}

// Create creates a file for appending.
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

// Open opens a file for reading.
func (f *FS) Open(name string) (spool.ReadFile, error) { return f.memory.Open(name) }

// List returns the files and directories in a directory.
func (f *FS) List(dir string) ([]spool.FileInfo, error) { return f.memory.List(dir) }

// Remove removes a file.
func (f *FS) Remove(name string) error {
	if _, err := f.fail("remove", name, 0); err != nil {
		return err
	}
	f.mu.Lock()
	delete(f.synced, name)
	f.mu.Unlock()
	return f.memory.Remove(name)
}

// SyncDir does nothing unless Fail makes it fail.
func (f *FS) SyncDir(dir string) error {
	_, err := f.fail("syncdir", dir, 0)
	return err
}

// Lock locks a name until the returned closer is closed or Crash is called. It returns spool.ErrLocked if the name is
// already locked.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[name] {
		return nil, spool.ErrLocked
	}
	f.locks[name] = true
	return &lock{f, name}, nil
}

// DirID returns the same id for all directories.
func (f *FS) DirID(dir string) (string, error) { return f.memory.DirID(dir) }

// Crash simulates a power loss: each file loses its unsynced bytes except for the first keep ones, and all locks are
// released.
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

// Edit replaces the contents of a file. Readers that have it open still see the old contents.
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

// file is a file opened for appending by a single writer.
type file struct {
	fs    *FS
	name  string
	inner spool.File
	bytes int
}

func (f *file) Write(b []byte) (int, error) {
	part, failed := f.fs.fail("write", f.name, len(b))
	wrote, err := f.inner.Write(b[:part])
	f.bytes += wrote
	return wrote, errors.Join(failed, err)
}

func (f *file) Sync() error {
	if _, err := f.fs.fail("sync", f.name, 0); err != nil {
		return err
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.synced[f.name] = f.bytes
	return f.inner.Sync()
}

func (f *file) Close() error {
	_, failed := f.fs.fail("close", f.name, 0)
	return errors.Join(failed, f.inner.Close())
}

var _ spool.FS = (*FS)(nil)
