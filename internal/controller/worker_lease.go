package controller

import (
	"time"
)

// grace is H: how long a shard leader goes on answering its workers after its membership lease
// may have ended. It is a full worker lease, so that a long outage of the store costs no work.
// A successor that reaches the workers need not wait for its end, since the higher epoch
// reaches them at once.
func (r *leaseRenewer) grace() time.Duration { return r.settings.WorkerLease }

const (
	// clockDrift bounds how far the monotonic clocks of two machines drift apart, as a
	// fraction; the protocol allows 0.05 %.
	clockDrift = 0.002
	// leaseMargin absorbs rounding and scheduling on both sides of a lease.
	leaseMargin = time.Second
)

// formerOwnerGrace is how long a former owner may go on answering a machine after it has
// become another's. One that is alive learns of that by its watch, or loses its lease and then
// answers for its grace.
func (r *leaseRenewer) formerOwnerGrace() time.Duration { return membershipLeaseTTL + r.grace() }

// leaseEndAfter is when a worker lease is over by this controller's clock if the worker was
// last answered at t.
func (r *leaseRenewer) leaseEndAfter(t time.Time) time.Time {
	return t.Add(time.Duration(float64(r.settings.WorkerLease)*(1+clockDrift)) + leaseMargin)
}
