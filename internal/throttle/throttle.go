// Package throttle divides long planning into time slices, so that the goroutine that handles
// commands never delays them for long. It learns how much work a slice may hold from how long
// slices take on this machine, with its CPU share and its other work. If CPU time is short,
// planning takes more and later slices: plans become older, not answers.
package throttle

import "time"

const (
	// TargetStep is how long a step that contains a slice should take.
	TargetStep = 40 * time.Millisecond
	// planningFraction is the part of the time that planning takes at most in the long run;
	// the rest is for heartbeats, polls, submissions and renewals.
	planningFraction = 0.4
	// minSlice and maxSlice bound a slice, in units of work of about a tenth of a microsecond.
	// A smaller slice would cost more in switching than it does; a larger one would be a guess
	// made while nothing else ran.
	minSlice = 1 << 11
	maxSlice = 1 << 21
	// initialSlice is the first slice, before anything was measured.
	initialSlice = 1 << 14
)

// SliceBudget determines the size of the next slice. The zero value is ready. It is not safe
// for concurrent use.
type SliceBudget struct{ size int }

// Slice returns how many units of work the next slice may take.
func (b *SliceBudget) Slice() int {
	if b.size == 0 {
		b.size = initialSlice
	}
	return b.size
}

// Record takes the duration of a step that contained a slice of so many units, and returns how
// long planning should then pause.
func (b *SliceBudget) Record(units int, elapsed time.Duration) time.Duration {
	if units <= 0 || elapsed <= 0 {
		return 0
	}
	// Shrink by half at most: a step may be long for other reasons.
	next := float64(units) * TargetStep.Seconds() / elapsed.Seconds()
	next = min(max(next, float64(b.Slice())/2), 2*float64(b.Slice()))
	if next > float64(b.Slice()) && units < b.Slice()/2 {
		// A short slice says little about a long one.
		next = float64(b.Slice())
	}
	b.size = int(min(max(next, minSlice), maxSlice))
	return time.Duration(float64(elapsed) * (1 - planningFraction) / planningFraction)
}
