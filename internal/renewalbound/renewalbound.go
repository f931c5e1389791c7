// Package renewalbound bounds how long a shard leader may go on renewing its workers'
// leases, given the cancellations that it knows.
//
// A cancelled job's tasks must be gone within CancelTimeout after the user may first have
// been told of the cancellation, whichever controller confirmed it. A shard leader that has
// not read the cancellation can only let the lease expire. So it keeps a known time, up to
// which it certainly knows all cancellations: the moment at which it sent the newest read
// that covers them. A cancellation that it doesn't know was confirmed after the known time.
// A reply that is sent before Deadline renews a lease at most to the known time plus
// CancelTimeout. So no task of an unknown cancelled job lasts longer, whatever is
// partitioned, late or down. Renewing the controller's own membership lease does not advance
// the known time: it shows that the state service can be reached, not what other controllers
// have written there.
//
// The same bound applies to a cancellation that the shard leader does know, as long as it
// has no proof that the job's tasks are gone from a machine: stops can be lost, and a start
// can be in flight. For that machine the earliest confirmation of such a cancellation,
// passed to Deadline, bounds the replies.
package renewalbound

import "time"

const (
	// minWindow is the window for replies if the settings leave no time between the lease
	// duration and the cancel timeout. With a shorter window every lease would expire. It
	// covers one round of reads of the state service, which takes about ten milliseconds and
	// sometimes a few hundred.
	minWindow = time.Second
	// readsPerWindow is the least number of reads that a shard leader sends per window, so
	// that one or two lost or slow reads do not end its replies.
	readsPerWindow = 5
	// maxReadInterval bounds the time between reads if the window is long. The older the
	// newest read is when the state service goes down, the sooner the replies end and tasks
	// are lost.
	maxReadInterval = 2 * time.Second
)

// Rule holds the settings from which the bound follows.
type Rule struct {
	// CancelTimeout is how long a cancelled job's tasks may last after the cancellation was
	// confirmed.
	CancelTimeout time.Duration
	// LeaseDuration is how long a worker's lease lasts, counted from when the worker sent
	// the answered heartbeat. So the travel time of the reply needs no allowance.
	LeaseDuration time.Duration
	// ClockMargin is subtracted from the window. It covers the drift between the two clocks
	// within CancelTimeout and the interval at which a worker checks its lease.
	ClockMargin time.Duration
}

// Window returns how long after the known time a shard leader renews leases.
func (rule Rule) Window() time.Duration {
	return max(minWindow, rule.CancelTimeout-rule.LeaseDuration-rule.ClockMargin)
}

// Shortfall returns how much longer than CancelTimeout a cancelled task may last because the
// settings leave less than minWindow; 0 if they leave enough.
func (rule Rule) Shortfall() time.Duration {
	return max(0, minWindow-(rule.CancelTimeout-rule.LeaseDuration-rule.ClockMargin))
}

// Deadline returns the last moment for a reply that renews a lease, if all cancellations
// that were confirmed before knownUntil are known.
func (rule Rule) Deadline(knownUntil time.Time) time.Time { return knownUntil.Add(rule.Window()) }

// ReadInterval returns the time between the reads that a shard leader sends if it reads for
// no other reason.
func (rule Rule) ReadInterval() time.Duration {
	return min(maxReadInterval, rule.Window()/readsPerWindow)
}
