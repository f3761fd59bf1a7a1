// Package spool keeps the ledger's frames in files: segments in a directory for each incarnation. It does what the ledger
// says and must never decide when to write, what a failure means or what an entry is.
package spool

// This file owns an instance's directory: its lock, its incarnations, and the removing of what is of no more use.

import (
	"io"
	"net/url"
	"slices"

	"onyxgate/internal/failpoint"
)

const lockName = "lock"

// Spool is one instance's directory under a root.
type Spool struct {
	fs       FS
	dir      string
	Instance string
	lock     io.Closer // nil: it is only looked at
}

// Open takes an instance's directory, alone. Errors wrap ErrLocked and ErrCopied.
func Open(files FS, root, instance string) (*Spool, error) {
	s := OpenReadOnly(files, root, instance)
	if err := files.MkdirAll(s.dir); err != nil {
		return nil, err
	}
	lock, err := files.Lock(join(s.dir, lockName))
	if err != nil {
		return nil, err
	}
	for _, incarnation := range s.Incarnations() {
		if err := s.checkOwner(incarnation); err != nil {
			lock.Close()
			return nil, err
		}
	}
	s.lock = lock
	return s, nil
}

// OpenReadOnly looks at a directory without taking it.
func OpenReadOnly(files FS, root, instance string) *Spool {
	return &Spool{fs: files, dir: join(root, url.PathEscape(instance)), Instance: instance}
}

// Instances lists whose directories are under a root.
func Instances(files FS, root string) (instances []string, err error) {
	all, err := files.List(root)
	for _, dir := range all {
		inside, _ := files.List(join(root, dir.Name)) // anything else, such as a store's file, is no instance's
		isInstance := slices.ContainsFunc(inside, func(file FileInfo) bool { return file.Name == lockName })
		if instance, err := url.PathUnescape(dir.Name); err == nil && isInstance {
			instances = append(instances, instance)
		}
	}
	return instances, err
}

// Close lets the directory go.
func (s *Spool) Close() error {
	if s.lock == nil {
		return nil
	}
	return s.lock.Close()
}

// Incarnations lists them, in the order of their names; none where the directory can't be listed.
func (s *Spool) Incarnations() (incarnations []string) {
	files, err := s.fs.List(s.dir)
	if err != nil {
		return nil
	}
	for _, file := range files {
		if file.Name != lockName {
			incarnations = append(incarnations, file.Name)
		}
	}
	return incarnations
}

// Bytes is how many bytes the segments of all incarnations hold.
func (s *Spool) Bytes() (bytes int64) {
	for _, incarnation := range s.Incarnations() {
		for _, segment := range listSegments(s.fs, join(s.dir, incarnation)) {
			bytes += segment.bytes
		}
	}
	return bytes
}

// Drop removes an incarnation's directory and returns the bytes that it held.
func (s *Spool) RemoveIncarnation(incarnation string) (freed int64, err error) {
	dir := join(s.dir, incarnation)
	files, err := s.fs.List(dir)
	for _, file := range files {
		if file.Name == ownerName {
			continue
		}
		failpoint.At("spool.drop")
		if err := s.fs.Remove(join(dir, file.Name)); err != nil {
			return freed, err
		}
		freed += file.Bytes
	}
	// The owner file goes last: segments without it would be refused. What stays of either is a directory without
	// segments, which the next start drops.
	_ = s.fs.Remove(join(dir, ownerName))
	_ = s.fs.Remove(dir)
	return freed, err
}

// Prune removes the segments before number `until` in which every ordinal is at most through, and returns their bytes.
func (s *Spool) Prune(incarnation string, until, through uint64) (freed int64, err error) {
	dir := join(s.dir, incarnation)
	segments := listSegments(s.fs, dir)
	for i := 0; i+1 < len(segments) && segments[i].number < until; i++ {
		next, err := readHeader(s.fs, join(dir, segmentName(segments[i+1].number)))
		if err != nil || next.From == 0 || next.From-1 > through {
			break
		}
		failpoint.At("spool.prune")
		if err := s.fs.Remove(join(dir, segmentName(segments[i].number))); err != nil {
			return freed, err
		}
		freed += segments[i].bytes
	}
	return freed, nil
}
