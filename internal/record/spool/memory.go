package spool

// An in-memory file system, for instances without persistent disks.

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Memory implements FS in memory. Its contents are lost when the process exits. Directories exist only as parts of
// file names.
type Memory struct {
	mu    sync.Mutex
	files map[string]*memoryFile
	locks map[string]bool
}

// memoryFile is a file. It has no read position, so that all handles on the file can share it.
type memoryFile struct {
	mu   sync.Mutex
	data []byte
}

// NewMemory returns an empty file system.
func NewMemory() *Memory { return &Memory{files: map[string]*memoryFile{}, locks: map[string]bool{}} }

// MkdirAll does nothing.
func (m *Memory) MkdirAll(string) error { return nil }

// Create creates a file for appending.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] != nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrExist)
	}
	file := &memoryFile{}
	m.files[name] = file
	return file, nil
}

// Open opens a file for reading.
func (m *Memory) Open(name string) (ReadFile, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := m.files[name]
	if file == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return file, nil
}

// List returns the files in a directory, and the subdirectories that contain files.
func (m *Memory) List(dir string) (files []FileInfo, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		rest, under := strings.CutPrefix(name, dir+"/")
		if !under {
			continue
		}
		first, _, deeper := strings.Cut(rest, "/")
		switch {
		case !deeper:
			files = append(files, FileInfo{rest, m.files[name].size()})
		case len(files) == 0 || files[len(files)-1].Name != first:
			files = append(files, FileInfo{Name: first})
		}
	}
	return files, nil
}

// Remove removes a file. Open handles stay valid.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

// SyncDir does nothing.
func (m *Memory) SyncDir(string) error { return nil }

// Lock locks a name until the returned closer is closed.
func (m *Memory) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] {
		return nil, fmt.Errorf("%s: %w", name, ErrLocked)
	}
	m.locks[name] = true
	return memoryLock{m, name}, nil
}

type memoryLock struct {
	memory *Memory
	name   string
}

func (l memoryLock) Close() error {
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	delete(l.memory.locks, l.name)
	return nil
}

// DirID returns the same ID for all directories, since nothing in memory can be copied.
func (m *Memory) DirID(string) (string, error) { return "memory", nil }

func (f *memoryFile) size() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.data))
}

func (f *memoryFile) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memoryFile) ReadAt(b []byte, offset int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memoryFile) Sync() error { return nil }

func (f *memoryFile) Close() error { return nil }
