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

// A crash preserves the synced bytes and the given number of unsynced ones, and releases the locks.
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
		t.Errorf("second Lock error = %v, want %v", err, spool.ErrLocked)
	}
	if got := content(t, files, "dir/a"); got != "syncedwritten" {
		t.Errorf("content before the crash = %q, want %q", got, "syncedwritten")
	}
	if err := files.Crash(3); err != nil {
		t.Fatal(err)
	}
	if got := content(t, files, "dir/a"); got != "syncedwri" {
		t.Errorf("content after the crash = %q, want %q", got, "syncedwri")
	}
	if _, err := files.Lock("dir/lock"); err != nil {
		t.Errorf("Lock after the crash: %v", err)
	}
}

// Each operation fails with the injected error, and a failing write still writes a part.
func TestFail(t *testing.T) {
	errInjected := errors.New("injected failure")
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
			calls := 0
			files.Fail = func(called, _ string, _ int) (int, error) {
				if calls++; called != op {
					t.Errorf("Fail called for operation %q, want %q", called, op)
				}
				return 2, errInjected
			}
			defer func() { files.Fail = nil }()
			if err := operation(); !errors.Is(err, errInjected) {
				t.Errorf("%s error = %v, want %v", op, err, errInjected)
			}
			if calls != 1 {
				t.Errorf("Fail called %d times, want 1", calls)
			}
		})
	}
	if got := content(t, files, "dir/a"); got != "wh" {
		t.Errorf("content after the failed write = %q, want %q", got, "wh")
	}
	if list, err := files.List("dir"); err != nil || len(list) != 1 || list[0] != (spool.FileInfo{Name: "a", Bytes: 2}) {
		t.Errorf("List = %v, %v, want only file a with 2 bytes", list, err)
	}
}
