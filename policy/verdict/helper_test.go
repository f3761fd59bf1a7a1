package verdict

import (
	"fmt"
	"math"
	"testing"
)

// expect fails the test unless got and want are printed alike, so want may be the text of a slice or struct.
func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// expectNear fails the test unless got and want differ by at most 1e-6.
func expectNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
