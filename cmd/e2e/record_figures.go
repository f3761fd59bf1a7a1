package main

// The oracle of the record: it compares the exported record with the responses that the clients received.

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"onyxgate/internal/fake/fleet"
	"onyxgate/internal/record/sqlstore"
)

const (
	// States of an entry in the export.
	stateAnswered    = "given"
	stateUndelivered = "unheard"
	stateInDoubt     = "in doubt"

	maxExportLine = 1 << 20
	maxExamples   = 5 // number of missing entries that are printed, and likewise of invented ones

	// observationDelay is the largest delay with which a kill or a response is observed here.
	observationDelay = 5 * time.Millisecond
)

// recordFigures are the figures of a run. The JSON keys are read by scripts.
type recordFigures struct {
	Seed             uint64           `json:"seed"`
	Store            string           `json:"store"`
	Defect           string           `json:"defect,omitempty"`
	Responses        int              `json:"answers"`
	Recorded         int              `json:"recorded"`
	Missing          int              `json:"missing"`
	Duplicates       int              `json:"duplicates"`
	Invented         int              `json:"invented"`
	InDoubt          int              `json:"in_doubt"`
	OpenAtKills      int              `json:"open_at_kills"`
	InstanceKills    int              `json:"kills_agent"`
	KillsAt          map[string]int   `json:"kills_at"` // by kill point
	StoreKills       int              `json:"kills_store"`
	Stalls           int              `json:"stalls"`
	StoreFaults      map[string]int   `json:"store_faults"`
	ServedCalm       float64          `json:"settled_share_calm"`
	ServedStalled    float64          `json:"settled_share_stalled"`
	P99Calm          float64          `json:"p99_ms_calm"`
	P99Stalled       float64          `json:"p99_ms_stalled"`
	ResponsesStalled int              `json:"answers_stalled"`
	Violations       fleet.Violations `json:"rules_broken"`
	DurationSeconds  float64          `json:"took_s"`
}

// entriesByRequest holds the entries of an exported record by request id.
type entriesByRequest map[string][]sqlstore.Row

// readExport parses the output of `onyxgate record export` and counts its entries. A repeated entry is counted as a
// duplicate and left out.
func (f *recordFigures) readExport(text []byte) (entriesByRequest, error) {
	exported := entriesByRequest{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxExportLine)
	seen := map[string]bool{}
	for lines.Scan() {
		var entry sqlstore.Row
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return nil, fmt.Errorf("parse export: %w", err)
		}
		key := fmt.Sprintf("%s/%d", entry.Incarnation, entry.Ordinal)
		if seen[key] {
			f.Duplicates++
			continue
		}
		seen[key] = true
		f.Recorded++
		if entry.State == stateInDoubt {
			f.InDoubt++
		}
		exported[entry.RequestID] = append(exported[entry.RequestID], entry)
	}
	return exported, nil
}

// compare compares the record with the responses that clients received, and counts the differences.
func (f *recordFigures) compare(log []fleet.Response, exported entriesByRequest) {
	complete := map[string]fleet.Response{} // complete responses, by request id
	for _, response := range log {
		if isComplete(response) {
			complete[response.ID] = response
			f.compareResponse(response, exported[response.ID])
		}
	}
	for id, rows := range exported {
		for _, entry := range rows {
			response, got := complete[id]
			f.compareEntry(entry, response, got)
		}
	}
}

// isComplete reports whether the client received a complete response.
func isComplete(response fleet.Response) bool {
	switch response.Outcome {
	case fleet.OutcomeServed, fleet.OutcomeRejected, fleet.OutcomeFailed:
		return true
	}
	return false
}

// compareResponse counts a complete response. It counts the response as missing unless it matches an entry of its
// request that is not marked undelivered, and counts a duplicate if its request has several entries.
func (f *recordFigures) compareResponse(response fleet.Response, rows []sqlstore.Row) {
	f.Responses++
	found := slices.ContainsFunc(rows, func(entry sqlstore.Row) bool {
		return entry.State != stateUndelivered && matchesEntry(response, entry)
	})
	if !found {
		if f.Missing++; f.Missing <= maxExamples {
			fmt.Fprintf(os.Stderr, "missing: %+v, record: %+v\n", response, rows)
		}
	}
	if len(rows) > 1 {
		f.Duplicates++
	}
}

// compareEntry counts an answered entry as invented unless it matches the complete response that the client received.
// got is false if the client received none.
func (f *recordFigures) compareEntry(entry sqlstore.Row, response fleet.Response, got bool) {
	if entry.State != stateAnswered || got && matchesEntry(response, entry) {
		return
	}
	if f.Invented++; f.Invented <= maxExamples {
		fmt.Fprintf(os.Stderr, "invented: %+v, client: %+v\n", entry, response)
	}
}

// matchesEntry reports whether an entry matches the response that the client received.
func matchesEntry(response fleet.Response, entry sqlstore.Row) bool {
	body := ""
	if response.Outcome == fleet.OutcomeServed {
		body = hex.EncodeToString(response.Body[:])
	}
	return response.Outcome == entry.Outcome && response.Class == entry.Class && body == entry.BodyDigest &&
		instanceName(response.Instance) == entry.Instance
}

// instanceKill is the kill of an instance, as observed from outside.
type instanceKill struct {
	instance int
	at       time.Time
}

// countOpenAt counts the requests that were open, from their clients' view, when their instance was killed, with a
// tolerance of observationDelay.
func countOpenAt(kills []instanceKill, log []fleet.Response) (n int) {
	for _, kill := range kills {
		for _, response := range log {
			reached := response.Instance == kill.instance && response.Outcome != fleet.OutcomeUnreachable
			underWay := response.Sent.Before(kill.at) && response.Done.After(kill.at.Add(-observationDelay))
			if reached && underWay {
				n++
			}
		}
	}
	return n
}
