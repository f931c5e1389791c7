// Package pace divides long planning into slices, so that whoever works through
// a queue of commands is never kept from them for long. It learns how much work a
// slice may hold from how long slices take on this machine, at its share of a
// processor and beside its other work: where planning is short of time it takes
// more and later slices, and plans grow older instead of answers.
package pace

import "time"

const (
	// Target is how long a step with a slice in it should take.
	Target = 40 * time.Millisecond
	// part of the time is what planning takes at most, in the long run; the rest
	// is for reports, polls, submissions and renewals.
	part = 0.4
	// least and most bound a slice, in units of work of about a tenth of a
	// microsecond: less would cost more in going to and fro than it does, and
	// more than most would be a guess made while nothing else ran.
	least = 1 << 11
	most  = 1 << 21
	// first is the first slice, before anything was measured.
	first = 1 << 14
)

// Pace says how long the next slice may be.
type Pace struct{ slice int }

// Slice is how many units the next slice may take.
func (p *Pace) Slice() int {
	if p.slice == 0 {
		p.slice = first
	}
	return p.slice
}

// Took notes how long a step took that had a slice of so many units in it, and
// returns how long to leave the time to others.
func (p *Pace) Took(units int, took time.Duration) time.Duration {
	if units <= 0 || took <= 0 {
		return 0
	}
	// By half at most in a step, since a step may be long for other reasons.
	fit := float64(units) * Target.Seconds() / took.Seconds()
	fit = min(max(fit, float64(p.Slice())/2), 2*float64(p.Slice()))
	if fit > float64(p.Slice()) && units < p.Slice()/2 {
		// A short slice tells little of a long one.
		fit = float64(p.Slice())
	}
	p.slice = int(min(max(fit, least), most))
	return time.Duration(float64(took) * (1 - part) / part)
}
