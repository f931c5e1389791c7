package throttle

import (
	"testing"
	"time"
)

// TestSlicesReachTarget: on machines of very different speed slices reach about the target
// time, and planning leaves most of the time to other work.
func TestSlicesReachTarget(t *testing.T) {
	for _, unit := range []time.Duration{20, 100, 700, 5000} {
		var budget SliceBudget
		var planned, rested time.Duration
		for range 40 {
			units := budget.Slice()
			took := time.Duration(units) * unit
			planned += took
			rested += budget.Record(units, took)
		}
		took := time.Duration(budget.Slice()) * unit
		if budget.Slice() != maxSlice && budget.Slice() != minSlice && (took < TargetStep/2 || took > 2*TargetStep) {
			t.Errorf("%v a unit: slice takes %v, want about %v", unit, took, TargetStep)
		}
		if fraction := planned.Seconds() / (planned + rested).Seconds(); fraction > 0.45 {
			t.Errorf("got planning fraction %.2f, want 0.45 at most", fraction)
		}
	}
}

// TestOneLongStep: a step that was long for other reasons does not make slices useless, and
// short slices do not make them grow without limit.
func TestOneLongStep(t *testing.T) {
	var budget SliceBudget
	before := budget.Slice()
	budget.Record(before, 10*time.Second)
	if budget.Slice() < before/2 {
		t.Errorf("after one long step: slice went from %d to %d, want half at least", before, budget.Slice())
	}
	for range 100 {
		budget.Record(1, time.Microsecond)
	}
	if budget.Slice() > before {
		t.Errorf("after short slices: got slice %d, want no growth", budget.Slice())
	}
}
