package spool

// Owner files, which detect that an incarnation's directory was copied.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrCopied is returned for a directory that is not where it was created. The original may still be in use, and an
// incarnation must not be used in two places.
var ErrCopied = errors.New("directory was copied or moved")

const (
	ownerName     = "owner.json"
	maxOwnerBytes = 4096
)

// owner identifies the instance and incarnation to which a directory belongs, and the directory in which it was
// created.
type owner struct {
	Instance    string `json:"agent"`
	Incarnation string `json:"incarnation"`
	DirID       string `json:"place"`
}

// checkOwner returns an error if the owner file can't be read or names another directory: the directory may then be a
// copy whose original is still written. It removes a directory that has neither a readable owner file nor segments.
func (s *Spool) checkOwner(incarnation string) error {
	dir := join(s.dir, incarnation)
	dirID, err := s.fs.DirID(dir)
	if err != nil {
		return err
	}
	recorded, err := s.readOwner(incarnation)
	neverWritten := err != nil && len(listSegments(s.fs, dir)) == 0
	switch {
	case neverWritten: // the process died while creating the directory
		_, _ = s.RemoveIncarnation(incarnation) // whatever remains is found again at the next start
		return nil
	case err != nil:
		return fmt.Errorf("%s: read %s: %w; if the directory belongs to this instance, run 'onyxgate record adopt'", dir, ownerName, err)
	case recorded != owner{s.Instance, incarnation, dirID}:
		return fmt.Errorf("%s: %w: created as %s/%s with ID %s, now has ID %s; if the original no longer exists, run "+
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

// RecordedDirID returns the directory ID in the incarnation's owner file, or "" if the file can't be read.
func (s *Spool) RecordedDirID(incarnation string) string {
	recorded, err := s.readOwner(incarnation)
	if err != nil {
		return ""
	}
	return recorded.DirID
}

// Adopt makes directories usable that were moved here on purpose, and returns their incarnations. The caller must
// ensure that the originals no longer exist. The error wraps ErrLocked if the instance's directory is in use.
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
		_ = files.Remove(join(s.dir, incarnation, ownerName)) // if this fails, so does creating the new file
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
