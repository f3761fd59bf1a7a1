// Package spool stores the frames of the ledger in files, with a directory of segments for each incarnation. It
// executes the I/O that the ledger asks for. When to write, how to handle failures and what frames mean is decided by
// package record.
package spool

// The directory of an instance: locking, listing and removing incarnations and segments.

import (
	"io"
	"net/url"
	"slices"

	"onyxgate/internal/failpoint"
)

const lockName = "lock"

// Spool is the directory of one instance under a root directory.
type Spool struct {
	fs       FS
	dir      string
	Instance string
	lock     io.Closer // nil if opened read-only
}

// Open creates or opens the directory of an instance and locks it. The error wraps ErrLocked if the directory is in
// use, and ErrCopied if the directory of an incarnation was copied or moved.
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

// OpenReadOnly opens the directory of an instance without locking it.
func OpenReadOnly(files FS, root, instance string) *Spool {
	return &Spool{fs: files, dir: join(root, url.PathEscape(instance)), Instance: instance}
}

// Instances returns the names of the instances that have a directory under the root.
func Instances(files FS, root string) (instances []string, err error) {
	all, err := files.List(root)
	for _, dir := range all {
		inside, _ := files.List(join(root, dir.Name)) // other entries, such as a store's file, contain no lock file
		isInstance := slices.ContainsFunc(inside, func(file FileInfo) bool { return file.Name == lockName })
		if instance, err := url.PathUnescape(dir.Name); err == nil && isInstance {
			instances = append(instances, instance)
		}
	}
	return instances, err
}

// Close releases the lock.
func (s *Spool) Close() error {
	if s.lock == nil {
		return nil
	}
	return s.lock.Close()
}

// Incarnations returns the incarnations sorted by name, or none if the directory can't be listed.
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

// Bytes returns the total size of the segments of all incarnations.
func (s *Spool) Bytes() (bytes int64) {
	for _, incarnation := range s.Incarnations() {
		for _, segment := range listSegments(s.fs, join(s.dir, incarnation)) {
			bytes += segment.bytes
		}
	}
	return bytes
}

// RemoveIncarnation removes an incarnation's directory and returns the number of bytes freed.
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
	// The owner file is removed last, because segments without it are rejected by Open. If removing it or the directory
	// fails, a directory without segments remains, which a later start or export removes.
	_ = s.fs.Remove(join(dir, ownerName))
	_ = s.fs.Remove(dir)
	return freed, err
}

// Prune removes the oldest segments as long as their numbers are below `until` and their ordinals are at most through.
// It keeps the last segment, and returns the number of bytes freed.
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
