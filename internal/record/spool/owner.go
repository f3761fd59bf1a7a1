package spool

// This file owns whose an incarnation's directory is, and that a copy of it is not used.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrCopied says that a directory is not where it was made. If it were used, one incarnation would be written at two
// places.
var ErrCopied = errors.New("copied from elsewhere")

const (
	ownerName     = "owner.json"
	maxOwnerBytes = 4096
)

// owner says whose an incarnation's directory is and where it was made.
type owner struct {
	Instance    string `json:"agent"`
	Incarnation string `json:"incarnation"`
	DirID       string `json:"place"`
}

// checkOwner refuses a directory that was copied here: its original may still be written.
func (s *Spool) checkOwner(incarnation string) error {
	dir := join(s.dir, incarnation)
	dirID, err := s.fs.DirID(dir)
	if err != nil {
		return err
	}
	recorded, err := s.readOwner(incarnation)
	neverWritten := err != nil && len(listSegments(s.fs, dir)) == 0
	switch {
	case neverWritten: // killed while it was made
		_, _ = s.RemoveIncarnation(incarnation) // what stays is found again at the next start
		return nil
	case err != nil:
		return fmt.Errorf("%s: %s can't be read: %w; if it is yours, run 'onyxgate record adopt'", dir, ownerName, err)
	case recorded != owner{s.Instance, incarnation, dirID}:
		return fmt.Errorf("%s: %w: it was made as %s/%s at %s and stands at %s; if the original is gone for good, run "+
			"'onyxgate record adopt'", dir, ErrCopied, recorded.Instance, recorded.Incarnation, recorded.DirID, dirID)
	}
	return nil
}

func (s *Spool) readOwner(incarnation string) (recorded owner, err error) {
	file, err := s.fs.Open(join(s.dir, incarnation, ownerName))
	if err != nil {
		return recorded, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.NewSectionReader(file, 0, maxOwnerBytes))
	if err == nil {
		err = json.Unmarshal(text, &recorded)
	}
	return recorded, err
}

// Place is where an incarnation was made, as its owner file says; empty where that can't be read.
func (s *Spool) RecordedDirID(incarnation string) string {
	recorded, err := s.readOwner(incarnation)
	if err != nil {
		return ""
	}
	return recorded.DirID
}

// Adopt makes directories that were moved here on purpose usable; the caller answers for the originals being gone. Errors
// wrap ErrLocked.
func Adopt(files FS, root, instance string) (adopted []string, err error) {
	s := OpenReadOnly(files, root, instance)
	lock, err := files.Lock(join(s.dir, lockName))
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	for _, incarnation := range s.Incarnations() {
		if s.checkOwner(incarnation) == nil {
			continue
		}
		_ = files.Remove(join(s.dir, incarnation, ownerName)) // where it stays, making the new one fails
		if err := s.writeOwner(incarnation); err != nil {
			return adopted, err
		}
		adopted = append(adopted, incarnation)
	}
	return adopted, nil
}

func (s *Spool) writeOwner(incarnation string) error {
	dir := join(s.dir, incarnation)
	dirID, err := s.fs.DirID(dir)
	if err != nil {
		return err
	}
	text, err := json.Marshal(owner{s.Instance, incarnation, dirID})
	if err != nil {
		return err
	}
	file, err := s.fs.Create(join(dir, ownerName))
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return s.fs.SyncDir(dir)
}
