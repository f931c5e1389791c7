package throttle

import (
	"testing"
	"time"
)

// TestSlicesReachTarget checks that slices come close to the target duration on machines of very
// different speed, and that planning leaves most of the time to other commands. A slice size that
// did not follow the machine's speed would delay heartbeats on a slow machine.
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
			t.Errorf("%v per unit: slice takes %v, want about %v", unit, took, TargetStep)
		}
		if fraction := planned.Seconds() / (planned + rested).Seconds(); fraction > 0.45 {
			t.Errorf("got planning fraction %.2f, want at most 0.45", fraction)
		}
	}
}

// TestSliceSizeAfterLongStep checks that a step that took long for reasons other than its slice shrinks the
// slice size by at most half, and that a series of short slices does not make it grow.
func TestSliceSizeAfterLongStep(t *testing.T) {
	var budget SliceBudget
	before := budget.Slice()
	budget.Record(before, 10*time.Second)
	if budget.Slice() < before/2 {
		t.Errorf("after one long step: slice size went from %d to %d, want at least half", before, budget.Slice())
	}
	for range 100 {
		budget.Record(1, time.Microsecond)
	}
	if budget.Slice() > before {
		t.Errorf("after short slices: got slice size %d, want no growth", budget.Slice())
	}
}
