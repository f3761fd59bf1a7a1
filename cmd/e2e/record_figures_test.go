package main

import (
	"encoding/hex"
	"encoding/json"
	"testing"
	"time"

	"onyxgate/internal/fake/fleet"
	"onyxgate/internal/record"
	"onyxgate/internal/record/sqlstore"
)

// The oracle detects each kind of fault in a record, and reports none for a correct record.
func TestCompareDetectsRecordFaults(t *testing.T) {
	body := record.DigestOf([]byte("body"))
	response := fleet.Response{ID: "r1", Class: "order", Instance: 1, Outcome: fleet.OutcomeServed, Body: body}
	entry := sqlstore.Row{
		Instance: "n1", Incarnation: "i", Ordinal: 7, State: stateAnswered, RequestID: "r1", Class: "order",
		Outcome: fleet.OutcomeServed, BodyDigest: hex.EncodeToString(body[:]),
	}
	with := func(change func(*sqlstore.Row)) sqlstore.Row {
		changed := entry
		change(&changed)
		return changed
	}
	second := with(func(e *sqlstore.Row) { e.Ordinal = 8 })
	otherBody := with(func(e *sqlstore.Row) { e.BodyDigest = "00" })
	otherInstance := with(func(e *sqlstore.Row) { e.Instance = "n2" })
	undelivered := with(func(e *sqlstore.Row) { e.State = stateUndelivered })
	inDoubt := with(func(e *sqlstore.Row) { e.State = stateInDoubt })
	broken := fleet.Response{ID: "r1", Class: "order", Instance: 1, Outcome: fleet.OutcomeBroken}

	for _, c := range []struct {
		name     string
		response fleet.Response
		entries  []sqlstore.Row
		want     recordFigures
	}{
		{"recorded", response, []sqlstore.Row{entry}, recordFigures{Responses: 1, Recorded: 1}},
		{"not recorded", response, nil, recordFigures{Responses: 1, Missing: 1}},
		{"recorded with another body", response, []sqlstore.Row{otherBody}, recordFigures{Responses: 1, Recorded: 1, Missing: 1, Invented: 1}},
		{"recorded by another instance", response, []sqlstore.Row{otherInstance}, recordFigures{Responses: 1, Recorded: 1, Missing: 1, Invented: 1}},
		{"recorded as undelivered", response, []sqlstore.Row{undelivered}, recordFigures{Responses: 1, Recorded: 1, Missing: 1}},
		{"recorded as in doubt", response, []sqlstore.Row{inDoubt}, recordFigures{Responses: 1, Recorded: 1, InDoubt: 1}},
		{"the same entry twice", response, []sqlstore.Row{entry, entry}, recordFigures{Responses: 1, Recorded: 1, Duplicates: 1}},
		{"two entries for one response", response, []sqlstore.Row{entry, second}, recordFigures{Responses: 1, Recorded: 2, Duplicates: 1}},
		{"entry for an incomplete response", broken, []sqlstore.Row{entry}, recordFigures{Recorded: 1, Invented: 1}},
		{"undelivered entry for an incomplete response", broken, []sqlstore.Row{undelivered}, recordFigures{Recorded: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var export []byte
			for _, e := range c.entries {
				line, err := json.Marshal(e)
				if err != nil {
					t.Fatal(err)
				}
				export = append(append(export, line...), '\n')
			}
			var got recordFigures
			exported, err := got.readExport(export)
			if err != nil {
				t.Fatal(err)
			}
			got.compare([]fleet.Response{c.response}, exported)
			if figuresText(t, got) != figuresText(t, c.want) {
				t.Errorf("figures = %s, want %s", figuresText(t, got), figuresText(t, c.want))
			}
		})
	}
}

func figuresText(t *testing.T, f recordFigures) string {
	t.Helper()
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A request is open at a kill if it was sent to the instance before and had no response by then.
func TestCountOpenAt(t *testing.T) {
	killedAt := time.Now()
	at := func(ms int) time.Time { return killedAt.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name     string
		response fleet.Response
		want     int
	}{
		{"open at the kill", fleet.Response{Instance: 1, Sent: at(-10), Done: at(10), Outcome: fleet.OutcomeBroken}, 1},
		{"answered before the kill", fleet.Response{Instance: 1, Sent: at(-30), Done: at(-20), Outcome: fleet.OutcomeServed}, 0},
		{"answered just before the kill", fleet.Response{Instance: 1, Sent: at(-30), Done: at(-1), Outcome: fleet.OutcomeServed}, 1},
		{"sent after the kill", fleet.Response{Instance: 1, Sent: at(1), Done: at(9), Outcome: fleet.OutcomeServed}, 0},
		{"sent to another instance", fleet.Response{Instance: 2, Sent: at(-10), Done: at(10), Outcome: fleet.OutcomeBroken}, 0},
		{"instance unreachable", fleet.Response{Instance: 1, Sent: at(-10), Done: at(10), Outcome: fleet.OutcomeUnreachable}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := countOpenAt([]instanceKill{{1, killedAt}}, []fleet.Response{c.response}); got != c.want {
				t.Errorf("open requests = %d, want %d", got, c.want)
			}
		})
	}
}
