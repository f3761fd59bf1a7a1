package host

import (
	"cmp"
	"encoding/json"
	"os"
	"slices"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/sources"
)

// State is the content of the state file, which operators read and from which a restarted process resumes. Its JSON
// keys are read by operators' scripts and by later versions.
type State struct {
	WrittenAt float64             `json:"at_ms"` // Unix ms
	Doubt     [2]string           `json:"doubt"` // of discovery and SRV; empty if not doubted
	Backends  []BackendState      `json:"appliances"`
	Merger    sources.MergerState `json:"memory"`
}

// BackendState is one backend with the last report of each source about it.
type BackendState struct {
	ID         string              `json:"id"`
	Address    string              `json:"address"`
	State      string              `json:"state"`
	Release    int                 `json:"build"`
	Weight     float64             `json:"rating"`
	Rule       string              `json:"rule"`
	Statements []sources.Statement `json:"words"`
}

// ReadState reads a state file.
func ReadState(path string) (s State, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

// restore loads the state saved by a previous process. If the file is missing or cannot be read, the merger starts
// empty. If it cannot be parsed, that is logged as well.
func (h *Host) restore() {
	text, err := os.ReadFile(h.config.StateFile)
	if err != nil {
		return
	}
	var saved State
	if err := json.Unmarshal(text, &saved); err != nil {
		logrus.WithError(err).Warn("sources state file unreadable, starting without it")
		return
	}
	if !failpoint.Defect("forget-drains") {
		h.apply(h.merger.Restore(h.fleet.Now(), saved.Merger), updateOrigin{cached: true})
	}
}

// saveState writes the state file if one is configured. A failure is logged and the write is retried after the next
// change.
func (h *Host) saveState() {
	if h.config.StateFile == "" {
		return
	}
	text, err := json.Marshal(h.state())
	if err == nil {
		err = replaceFile(h.config.StateFile, text)
	}
	if err != nil {
		logrus.WithError(err).Warn("sources state file not written")
	}
}

// state returns the current content of the state file.
func (h *Host) state() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := State{WrittenAt: h.fleet.Now(), Doubt: h.merger.Doubt, Merger: h.merger.Snapshot()}
	for id, e := range h.merger.Fleet().All() {
		s.Backends = append(s.Backends, BackendState{
			ID: id, Address: e.Address, State: sources.StateName(e.State), Release: int(e.Release), Weight: e.Weight, Rule: e.Rule,
			Statements: h.merger.Explain(id, e.Address),
		})
	}
	slices.SortFunc(s.Backends, func(a, b BackendState) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// replaceFile replaces a file atomically: readers see either the old or the new content.
func replaceFile(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
