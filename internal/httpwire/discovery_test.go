package httpwire

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

// Applies valid and malformed lists, and checks the resulting addresses and the addresses reported as vacated.
func TestApplyList(t *testing.T) {
	s, u := `{"id":"s","addr":"app:1","state":"Ready","version_no":1}`, `{"id":"u","addr":"b:1","state":"Ready","version_no":2}`
	removed := `{"id":"s","addr":"app:1","state":"Gone"}`
	draining := `{"id":"s","addr":"app:1","state":"Terminating","version_no":1}`
	moved := `{"id":"s","addr":"c:1","state":"Ready","version_no":1}`
	restarted := `{"id":"s","addr":"app:1","state":"Ready","started_ms":5,"version_no":2}`
	for _, c := range []struct {
		name, text string
		wantErr    bool
		addresses  string // of s and u
		vacated    string
	}{
		{"change adds a backend", listJSON(2, false, u), false, "app:1 b:1", "[]"},
		{"snapshot", listJSON(2, true, u), false, " b:1", "[app:1]"},
		{"removed", listJSON(2, false, removed), false, " ", "[app:1]"},
		{"draining", listJSON(2, false, draining), false, "app:1 ", "[]"},
		{"moved", listJSON(2, false, moved), false, "c:1 ", "[app:1]"},
		{"restarted", listJSON(2, false, restarted), false, "app:1 ", "[app:1]"},
		{"older change", listJSON(0, false, u), false, "app:1 ", "[]"},
		{"snapshot of a restarted discovery", listJSON(0, true, u), false, " b:1", "[app:1]"},
		{"unchanged snapshot", listJSON(1, true, s), false, "app:1 ", "[]"},
		{"no id", listJSON(2, false, u+`,{"addr":"b:1","state":"Ready","version_no":2}`), true, "app:1 ", "[]"},
		{"not an entry", listJSON(2, false, u+`,7`), true, "app:1 ", "[]"},
		{"unknown state", listJSON(2, true, strings.Replace(u, "Ready", "Rexdy", 1)), true, "app:1 ", "[]"},
		{"no address", listJSON(2, false, strings.Replace(u, "b:1", "b", 1)), true, "app:1 ", "[]"},
		{"no release", listJSON(2, false, strings.Replace(u, "2}", "null}", 1)), true, "app:1 ", "[]"},
		{"invalid UTF-8", listJSON(2, false, strings.Replace(u, `"u"`, "\"\xff\"", 1)), true, "app:1 ", "[]"},
		{"full is not a boolean", strings.Replace(listJSON(2, true, u), `"full":true`, `"full":1`, 1), true, "app:1 ", "[]"},
		{"incomplete JSON", `{"version":2,"full":tr`, true, "app:1 ", "[]"},
		{"no entries", `{"version":2}`, true, "app:1 ", "[]"},
		{"not a list", `[]`, true, "app:1 ", "[]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{}, NewSockets(0))
				vacated := []string{}
				instance.discovery.OnAddressVacated(func(address string) { vacated = append(vacated, address) })
				err := instance.discovery.Apply([]byte(c.text), FromWatch, func() {})
				addresses := instance.discovery.BackendAddress("s") + " " + instance.discovery.BackendAddress("u")
				if (err != nil) != c.wantErr || addresses != c.addresses || fmt.Sprint(vacated) != c.vacated {
					t.Errorf("error %v (want an error: %v); addresses %q, want %q; vacated %v, want %s",
						err, c.wantErr, addresses, c.addresses, vacated, c.vacated)
				}
				instance.close()
			})
		})
	}
}
