// Package renewalbound bounds for how long an owner may go on prolonging its workers' leases
// by what it knows of cancellations.
//
// A cancelled job's tasks have to be gone within a set time of the moment when its user
// could first have been told, whichever controller told it. An owner that has not heard
// of the cancellation can do one thing only: let the lease run out. So it keeps the moment
// up to which it surely knows all cancellations, its horizon: the sending of the newest
// read that covers them. What it does not know was confirmed after that. An answer that
// leaves before Until(horizon) prolongs a lease to no more than the horizon and the set
// time, and so no task of a job that was cancelled behind the horizon outlasts it,
// whatever else is cut, late or away. A renewed grant does not move the horizon: it shows
// that the state service can be reached, not what others have written there.
//
// The same holds for a cancellation that the owner does know, as long as it has no proof
// that the job's tasks are gone from a machine: halts can be lost, and a start can be on
// its way. Until(the earliest moment of its confirmation) bounds the answers to that one
// machine.
package renewalbound

import "time"

const (
	// minWindow is what is left for answers where the settings leave no room between
	// the lease and the time that a cancellation has. Less would have every lease run
	// out; it covers a round of reads of the state service, which take some ten
	// milliseconds and at times a few hundred.
	minWindow = time.Second
	// readsPerWindow is how often an owner reads within its window at the least, so that a
	// lost or slow read or two do not end its answers.
	readsPerWindow = 5
	// maxReadInterval is how often it reads at the least where the window is long: every read
	// that is missing when the state service goes away is time that work is kept less.
	maxReadInterval = 2 * time.Second
)

// Rule is what the settings say. Margin covers what the two clocks may differ by in the
// time that a cancellation has, and the steps in which a worker looks at its lease. The
// way of an answer needs no part of it: a lease counts from the sending of the report.
type Rule struct {
	// CancelTimeout is how long after its confirmation a cancelled job's tasks may last.
	CancelTimeout time.Duration
	// LeaseDuration is how long a worker's lease lasts from the sending of an answered report.
	LeaseDuration time.Duration
	// ClockMargin is taken off.
	ClockMargin time.Duration
}

// Window is for how long after its horizon an owner prolongs leases.
func (r Rule) Window() time.Duration {
	return max(minWindow, r.CancelTimeout-r.LeaseDuration-r.ClockMargin)
}

// Shortfall is by how much a cancelled task may outlast its time because the settings leave no
// window; 0 where they do.
func (r Rule) Shortfall() time.Duration {
	return max(0, minWindow-(r.CancelTimeout-r.LeaseDuration-r.ClockMargin))
}

// Deadline is the last moment for an answer that prolongs a lease, if all cancellations that
// were confirmed before the moment known are known.
func (r Rule) Deadline(knownUntil time.Time) time.Time { return knownUntil.Add(r.Window()) }

// ReadInterval is how often an owner reads when nothing else has it read.
func (r Rule) ReadInterval() time.Duration { return min(maxReadInterval, r.Window()/readsPerWindow) }
