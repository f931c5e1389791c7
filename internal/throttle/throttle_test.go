package throttle

import (
	"testing"
	"time"
)

// TestSlicesReachTarget: on machines of very different speed slices come to take about the
// time they should, and planning leaves most of the time to others.
func TestSlicesReachTarget(t *testing.T) {
	for _, unit := range []time.Duration{20, 100, 700, 5000} {
		var p SliceBudget
		var planned, rested time.Duration
		for range 40 {
			units := p.Slice()
			took := time.Duration(units) * unit
			planned += took
			rested += p.Record(units, took)
		}
		took := time.Duration(p.Slice()) * unit
		if p.Slice() != maxSlice && p.Slice() != minSlice && (took < TargetStep/2 || took > 2*TargetStep) {
			t.Errorf("at %v a unit a slice takes %v, want about %v", unit, took, TargetStep)
		}
		if fraction := planned.Seconds() / (planned + rested).Seconds(); fraction > 0.45 {
			t.Errorf("planning takes %.2f of the time", fraction)
		}
	}
}

// TestOneLongStep: a step that was long for other reasons does not make
// slices useless, nor do short ones make them grow without end.
func TestOneLongStep(t *testing.T) {
	var p SliceBudget
	before := p.Slice()
	p.Record(before, 10*time.Second)
	if p.Slice() < before/2 {
		t.Errorf("one long step takes the slice from %d to %d", before, p.Slice())
	}
	for range 100 {
		p.Record(1, time.Microsecond)
	}
	if p.Slice() > before {
		t.Errorf("short slices let it grow to %d", p.Slice())
	}
}
