// Package throttle divides long planning into time slices, so that planning never keeps the
// goroutine that handles commands busy for long. It derives the size of a slice from how long
// earlier slices took on this machine, with its CPU share and its other load. If CPU time is short,
// planning takes more slices and finishes later: plans become older, but answers stay fast.
package throttle

import "time"

const (
	// TargetStep is the intended duration of a step that contains a slice.
	TargetStep = 40 * time.Millisecond
	// planningFraction is the maximum fraction of the time that planning takes in the long run.
	// The rest is for heartbeats, polls, submissions and lease renewals.
	planningFraction = 0.4
	// minSlice and maxSlice bound the size of a slice, in units of about a tenth of a
	// microsecond of computation. A smaller slice would spend more on switching than on
	// planning. A larger slice would rest on a measurement taken while nothing else ran.
	minSlice = 1 << 11
	maxSlice = 1 << 21
	// initialSlice is the size of the first slice, before any measurement, in the same units.
	initialSlice = 1 << 14
)

// SliceBudget determines the size of the next slice. The zero value is ready to use. It is not safe
// for concurrent use.
type SliceBudget struct{ size int }

// Slice returns how many units the next slice may take.
func (budget *SliceBudget) Slice() int {
	if budget.size == 0 {
		budget.size = initialSlice
	}
	return budget.size
}

// Record takes the size in units and the duration of a step that contained a slice, and returns how
// long planning should then pause.
func (budget *SliceBudget) Record(units int, elapsed time.Duration) time.Duration {
	if units <= 0 || elapsed <= 0 {
		return 0
	}
	// Shrink at most by half: a step may take long for reasons other than its slice.
	next := float64(units) * TargetStep.Seconds() / elapsed.Seconds()
	next = min(max(next, float64(budget.Slice())/2), 2*float64(budget.Slice()))
	if next > float64(budget.Slice()) && units < budget.Slice()/2 {
		// A short slice does not predict the duration of a long one.
		next = float64(budget.Slice())
	}
	budget.size = int(min(max(next, minSlice), maxSlice))
	return time.Duration(float64(elapsed) * (1 - planningFraction) / planningFraction)
}
