package memfs

import (
	"errors"
	"io"
	"testing"

	"onyxgate/internal/record/spool"
)

func create(t *testing.T, files *FS, name string) spool.File {
	t.Helper()
	file, err := files.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func content(t *testing.T, files *FS, name string) string {
	t.Helper()
	file, err := files.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(io.NewSectionReader(file, 0, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A crash leaves what was synced, so many bytes of what was not, and no lock.
func TestCrash(t *testing.T) {
	files := New()
	file := create(t, files, "dir/a")
	for _, text := range []string{"synced", "written"} {
		if _, err := file.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if text == "synced" {
			if err := file.Sync(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := files.Lock("dir/lock"); err != nil {
		t.Fatal(err)
	}
	if _, err := files.Lock("dir/lock"); !errors.Is(err, spool.ErrLocked) {
		t.Errorf("a second lock: %v", err)
	}
	if got := content(t, files, "dir/a"); got != "syncedwritten" {
		t.Errorf("before the crash: %q", got)
	}
	if err := files.Crash(3); err != nil {
		t.Fatal(err)
	}
	if got := content(t, files, "dir/a"); got != "syncedwri" {
		t.Errorf("after the crash: %q", got)
	}
	if _, err := files.Lock("dir/lock"); err != nil {
		t.Errorf("a lock after the crash: %v", err)
	}
}

// Each operation fails as the script says, and of a write a part goes in all the same.
func TestFail(t *testing.T) {
	told := errors.New("told to fail")
	files := New()
	file := create(t, files, "dir/a")
	for op, operation := range map[string]func() error{
		"mkdir":   func() error { return files.MkdirAll("dir") },
		"create":  func() error { _, err := files.Create("dir/b"); return err },
		"write":   func() error { _, err := file.Write([]byte("whole")); return err },
		"sync":    file.Sync,
		"close":   file.Close,
		"remove":  func() error { return files.Remove("dir/a") },
		"syncdir": func() error { return files.SyncDir("dir") },
	} {
		t.Run(op, func(t *testing.T) {
			asked := 0
			files.Fail = func(called, _ string, _ int) (int, error) {
				if asked++; called != op {
					t.Errorf("asked for %s", called)
				}
				return 2, told
			}
			defer func() { files.Fail = nil }()
			if err := operation(); !errors.Is(err, told) {
				t.Errorf("it does not fail: %v", err)
			}
			if asked != 1 {
				t.Errorf("asked %d times", asked)
			}
		})
	}
	if got := content(t, files, "dir/a"); got != "wh" {
		t.Errorf("of the write %q went in", got)
	}
	if list, err := files.List("dir"); err != nil || len(list) != 1 || list[0] != (spool.FileInfo{Name: "a", Bytes: 2}) {
		t.Errorf("files %v, %v", list, err)
	}
}
