package resource

import (
	"math"
	"testing"
)

// TestFits guards against rounding errors that make a task with an exact fit seem too large, and against
// results of Fits and FitCount that contradict each other.
func TestFits(t *testing.T) {
	free := Resources{CPU: 4, GPU: 1, Memory: 16}
	for _, c := range []struct {
		name  string
		task  Resources
		count int
	}{
		{"exactly", Resources{CPU: 4, GPU: 1, Memory: 16}, 1},
		{"rounded up", Resources{CPU: 0.1 + 0.2, Memory: 1}, 13},
		{"too many CPUs", Resources{CPU: 4.1}, 0},
		{"too many GPUs", Resources{GPU: 2}, 0},
		{"too much memory", Resources{CPU: 1, Memory: 16.5}, 0},
		{"one dimension is scarce", Resources{CPU: 1, Memory: 8}, 2},
		{"nothing", Resources{}, math.MaxInt32},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, want := c.task.Fits(free), c.count > 0; got != want {
				t.Errorf("Fits: got %v, want %v", got, want)
			}
			if got := free.FitCount(c.task); got != c.count {
				t.Errorf("FitCount: got %d, want %d", got, c.count)
			}
		})
	}
}

// TestAddScaled guards against an AddScaled that can't subtract: a negative multiple must be subtracted in
// each dimension.
func TestAddScaled(t *testing.T) {
	got := Resources{CPU: 8, GPU: 2, Memory: 32}.AddScaled(Resources{CPU: 2, GPU: 1, Memory: 4}, -2)
	if want := (Resources{CPU: 4, Memory: 24}); got != want {
		t.Errorf("AddScaled: got %v, want %v", got, want)
	}
}
