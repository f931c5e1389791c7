package controller

import (
	"time"
)

// renewalGrace is how long a shard leader goes on answering its workers after its membership lease
// may have ended. It equals a full worker lease, so that a long outage of the store
// interrupts no task. A successor that reaches the workers need not wait for the end of the
// grace, since its higher epoch reaches them at once.
func (renewer *leaseRenewer) renewalGrace() time.Duration { return renewer.settings.WorkerLease }

const (
	// clockDrift bounds how far the monotonic clocks of two machines drift apart, as a
	// fraction of the elapsed time; the protocol allows 0.05 %.
	clockDrift = 0.002
	// leaseMargin absorbs rounding and scheduling delays on both sides of a lease.
	leaseMargin = time.Second
)

// formerOwnerGrace is how long a former owner may go on answering a machine's heartbeats
// after the machine has moved to another owner. A former owner that is alive learns of the
// move by its watch, or it loses its membership lease and then answers until its grace ends.
func (renewer *leaseRenewer) formerOwnerGrace() time.Duration {
	return membershipLeaseTTL + renewer.renewalGrace()
}

// leaseEndAfter returns when a worker lease has certainly expired by this controller's clock
// if the worker's last heartbeat was answered at t.
func (renewer *leaseRenewer) leaseEndAfter(t time.Time) time.Time {
	return t.Add(time.Duration(float64(renewer.settings.WorkerLease)*(1+clockDrift)) + leaseMargin)
}
