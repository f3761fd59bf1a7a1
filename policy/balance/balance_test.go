package balance

import (
	"fmt"
	"testing"
)

// A load report decays with its age.
func TestLoad(t *testing.T) {
	load := NewLoad(3, 0.5, 1000)
	for _, tc := range []struct{ age, minimum, maximum float64 }{{0, 3.5, 3.5}, {loadDecayTime, 1.28, 1.29}, {20 * loadDecayTime, 0, 1e-6}} {
		t.Run(fmt.Sprintf("after %v ms", tc.age), func(t *testing.T) {
			if got := load.At(1000 + tc.age); got < tc.minimum || got > tc.maximum {
				t.Errorf("load %v, want %v to %v", got, tc.minimum, tc.maximum)
			}
		})
	}
}

// Positions of similar keys are stable, evenly distributed, and independent for each salt.
func TestKeyPosition(t *testing.T) {
	tenths, same := [10]int{}, 0
	for k := range 10_000 {
		key := fmt.Sprint("key", k)
		position := KeyPosition(key, 7)
		if position < 0 || position >= 1 || position != KeyPosition(key, 7) {
			t.Fatalf("position of %s: got %v, then %v; want one stable value in [0,1)", key, position, KeyPosition(key, 7))
		}
		tenths[int(position*10)]++
		if int(position*10) == int(KeyPosition(key, 8)*10) {
			same++
		}
	}
	for tenth, n := range tenths {
		if n < 900 || n > 1100 {
			t.Errorf("%d of 10000 keys in tenth %d, want 900 to 1100", n, tenth)
		}
	}
	if same > 1100 {
		t.Errorf("%d of 10000 keys in the same tenth with another salt, want at most 1100", same)
	}
}
