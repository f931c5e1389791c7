// Package throttle divides long planning into slices, so that whoever works through
// a queue of commands is never kept from them for long. It learns how much work a
// slice may hold from how long slices take on this machine, at its share of a
// processor and beside its other work: where planning is short of time it takes
// more and later slices, and plans grow older instead of answers.
package throttle

import "time"

const (
	// TargetStep is how long a step with a slice in it should take.
	TargetStep = 40 * time.Millisecond
	// planningFraction of the time is what planning takes at most, in the long run; the rest
	// is for reports, polls, submissions and renewals.
	planningFraction = 0.4
	// minSlice and most bound a slice, in units of work of about a tenth of a
	// microsecond: less would cost more in going to and fro than it does, and
	// more than most would be a guess made while nothing else ran.
	minSlice = 1 << 11
	maxSlice = 1 << 21
	// initialSlice is the first slice, before anything was measured.
	initialSlice = 1 << 14
)

// SliceBudget says how long the next slice may be.
type SliceBudget struct{ size int }

// Slice is how many units the next slice may take.
func (p *SliceBudget) Slice() int {
	if p.size == 0 {
		p.size = initialSlice
	}
	return p.size
}

// Record notes how long a step took that had a slice of so many units in it, and
// returns how long to leave the time to others.
func (p *SliceBudget) Record(units int, elapsed time.Duration) time.Duration {
	if units <= 0 || elapsed <= 0 {
		return 0
	}
	// By half at most in a step, since a step may be long for other reasons.
	next := float64(units) * TargetStep.Seconds() / elapsed.Seconds()
	next = min(max(next, float64(p.Slice())/2), 2*float64(p.Slice()))
	if next > float64(p.Slice()) && units < p.Slice()/2 {
		// A short slice tells little of a long one.
		next = float64(p.Slice())
	}
	p.size = int(min(max(next, minSlice), maxSlice))
	return time.Duration(float64(elapsed) * (1 - planningFraction) / planningFraction)
}
