package controller

import (
	"time"
)

// grace is H: how long an owner goes on answering its workers after its grant
// may have ended. A full lease, so that a long outage of the state service
// costs no work; a successor that reaches the workers needs not wait for it,
// because the higher epoch reaches them at once.
func (r *leaseRenewer) grace() time.Duration { return r.settings.WorkerLease }

const (
	// clockDrift bounds how far steady clocks of two machines run apart, with
	// room to spare over the 0.05 % of the protocol.
	clockDrift = 0.002
	// leaseMargin absorbs rounding and scheduling on both sides of a lease.
	leaseMargin = time.Second
)

// formerOwnerGrace is for how long a former owner may go on answering a machine after it has
// become another's. One that lives knows of that with its watch, or loses its grant,
// and then answers for its grace.
func (r *leaseRenewer) formerOwnerGrace() time.Duration { return membershipLeaseTTL + r.grace() }

func (r *leaseRenewer) leaseEndAfter(t time.Time) time.Time {
	return t.Add(time.Duration(float64(r.settings.WorkerLease)*(1+clockDrift)) + leaseMargin)
}
