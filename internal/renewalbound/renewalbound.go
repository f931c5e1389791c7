// Package renewalbound bounds how long a shard leader may go on renewing its workers' leases,
// given what it knows of cancellations.
//
// A cancelled job's tasks must be gone within a set time after its user could first have been
// told, whichever controller confirmed it. A leader that has not read the cancellation can do
// one thing only: let the lease expire. So it keeps the time up to which it certainly knows
// all cancellations: when it sent the newest read that covers them. What it does not know was
// confirmed later. A reply that leaves before Deadline renews a lease to no more than the
// known time plus the set time. So no task of an unknown cancelled job lasts longer, whatever
// is partitioned, late or down. Renewing the controller's own membership lease does not
// advance the known time: it shows that the state service can be reached, not what others have
// written there.
//
// The same holds for a cancellation that the leader does know, as long as it has no proof that
// the job's tasks are gone from a machine: stops can be lost, and a start can be in flight.
// There the earliest confirmation of such a cancellation, passed to Deadline, bounds the
// replies to that one machine.
package renewalbound

import "time"

const (
	// minWindow is what is left for replies if the settings leave no time between the lease
	// and the cancel timeout. Any less would let every lease expire. It covers a round of
	// reads of the state service, which takes some ten milliseconds and at times a few
	// hundred.
	minWindow = time.Second
	// readsPerWindow is how many reads a leader sends within its window at least, so that one
	// or two lost or slow reads do not end its replies.
	readsPerWindow = 5
	// maxReadInterval bounds the time between reads if the window is long: each read that is
	// missing when the state service goes down shortens the time that work is kept.
	maxReadInterval = 2 * time.Second
)

// Rule holds the settings that the bound follows from.
type Rule struct {
	// CancelTimeout is how long after its confirmation a cancelled job's tasks may last.
	CancelTimeout time.Duration
	// LeaseDuration is how long a worker's lease lasts from when it sent the answered
	// heartbeat. The reply's way needs no allowance.
	LeaseDuration time.Duration
	// ClockMargin is subtracted: how far the two clocks may drift apart within CancelTimeout,
	// and the interval at which a worker checks its lease.
	ClockMargin time.Duration
}

// Window is how long after the known time a leader renews leases.
func (r Rule) Window() time.Duration {
	return max(minWindow, r.CancelTimeout-r.LeaseDuration-r.ClockMargin)
}

// Shortfall is how much longer than CancelTimeout a cancelled task may last because the
// settings leave no window; 0 if they do.
func (r Rule) Shortfall() time.Duration {
	return max(0, minWindow-(r.CancelTimeout-r.LeaseDuration-r.ClockMargin))
}

// Deadline is the last moment for a reply that renews a lease, if all cancellations that were
// confirmed before knownUntil are known.
func (r Rule) Deadline(knownUntil time.Time) time.Time { return knownUntil.Add(r.Window()) }

// ReadInterval is the time between the reads that a leader sends if nothing else makes it
// read.
func (r Rule) ReadInterval() time.Duration { return min(maxReadInterval, r.Window()/readsPerWindow) }
