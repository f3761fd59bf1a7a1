package httpwire

import "testing"

// Checks each row of the table in listversion.go against a current position of generation 2 and version 5.
func TestListDecisions(t *testing.T) {
	const older, same, newer = 1, 2, 3 // generations
	current := listPosition{generation: same, version: 5}
	for _, c := range []struct {
		name       string
		generation int
		version    int64
		snapshot   bool
		source     Source
		want       listDecision
	}{
		{"older generation, change", older, 6, false, FromWatch, listStale},
		{"older generation, snapshot", older, 6, true, FromWatch, listStale},
		{"older generation, from the configuration", older, 6, true, FromConfiguration, listStale},
		{"same version, change", same, 5, false, FromWatch, listAccepted},
		{"newer version, change", same, 6, false, FromWatch, listAccepted},
		{"newer version, fetched snapshot", same, 6, true, FromFetch, listAccepted},
		{"older version, snapshot on the watch", same, 4, true, FromWatch, listAccepted},
		{"older version, from the configuration", same, 4, true, FromConfiguration, listAccepted},
		{"older version, change from the configuration", same, 4, false, FromConfiguration, listAccepted},
		{"older version, change on the watch", same, 4, false, FromWatch, listStale},
		{"older version, fetched snapshot", same, 4, true, FromFetch, listStale},
		{"older version, fetched change", same, 4, false, FromFetch, listStale},
		{"newer generation, newer version", newer, 6, false, FromWatch, listAccepted},
		{"newer generation, same version", newer, 5, false, FromWatch, listAccepted},
		{"newer generation, older version, snapshot", newer, 4, true, FromFetch, listAccepted},
		{"newer generation, older version, change", newer, 4, false, FromWatch, listAcceptedRestart},
		{"newer generation, older version, change from the configuration", newer, 4, false, FromConfiguration, listAcceptedRestart},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := endpointList{version: c.version, snapshot: c.snapshot}
			if got := current.decide(list, c.source, c.generation); got != c.want {
				t.Errorf("decision = %d, want %d", got, c.want)
			}
		})
	}
}
