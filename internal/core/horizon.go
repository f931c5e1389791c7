package core

import (
	"time"

	"github.com/micahill/micahill/internal/horizon"
)

// horizon.go is the one place where answers that prolong a worker's lease are bounded.
// Two things end them. Whoever owns the machine next counts on nobody's answering longer
// than a grace after the grant may have ended. And a task whose job another controller has
// cancelled is to be gone in time although this one can't hear of it; see
// internal/horizon. What an answer rests on is judged once more when it leaves; see
// late.go.

// Horizon is how the settings bound answers that prolong leases.
func (s *Settings) Horizon() horizon.Rule {
	return horizon.Rule{
		Cancel: s.Cancel, Lease: s.Lease,
		Margin: leaseMargin + time.Duration(float64(s.Cancel)*clockDrift),
	}
}

// renewUntil is the last moment at which this owner prolongs any lease, by its grant and
// by what it knows of cancellations.
func (n *Node) renewUntil() time.Time {
	return earlier(n.sess.sureUntil.Add(n.grace()), n.set.Horizon().Until(n.users.mirror.asOf))
}

// startsKnown is the last moment at which a start leaves, whoever it is for. A direct order
// names a session that had begun by then and that no answer prolongs beyond the horizon's
// window: so it ends in time for a cancellation that this owner can't know, also where the
// session has just begun. A grant says nothing of that; it may be renewed while open/ can't
// be read.
func (n *Node) startsKnown() time.Time {
	return earlier(n.sess.sureUntil, n.set.Horizon().Until(n.users.mirror.asOf))
}

// renewUntilOn is renewUntil for one machine: as long as tasks of a cancelled job may be on
// it or begin there, their time counts too. They were told to stop, but what was told may
// never arrive, and a start that was sent before may yet. settled: see machine.settled.
// listed is what a report names that is not taken in: of a machine that has just come it
// may be all there is to tell of another owner's cancelled tasks.
func (n *Node) renewUntilOn(m *machine, settled bool, listed []TaskReport) time.Time {
	until := n.renewUntil()
	if m.seenEpoch < m.epoch {
		until = earlier(until, n.unreadBound())
	}
	for _, p := range listed {
		if p.Status != Ended {
			until = earlier(until, n.cancelBound(p.Job))
		}
	}
	if settled && !m.hasForeign {
		return until
	}
	for k := range m.attempts {
		until = earlier(until, n.cancelBound(k.job))
	}
	for k, p := range m.pieces {
		if p.Status != Ended {
			until = earlier(until, n.cancelBound(k.job))
		}
	}
	for _, a := range n.owner.registry.Living(m.id) {
		until = earlier(until, n.cancelBound(a.Job))
	}
	return until
}

// cancelBound is the last moment for an answer to a machine that may have a task of a job,
// if it is cancelled, and zero else. What is not in the picture yet is later than the
// horizon.
func (n *Node) cancelBound(job string) time.Time {
	l, open := n.users.mirror.open[job]
	if !open || !l.rec.Cancelled {
		return time.Time{}
	}
	return n.set.Horizon().Until(n.cancelledAt(&l.rec))
}

// unreadBound is the last moment for an answer to a machine that a former owner may have
// ordered something of which this one has not read, while there are teams whose records it
// has not. When the machine has shown this owner's epoch, nothing of before can begin there.
func (n *Node) unreadBound() (until time.Time) {
	unread := map[string]bool{}
	for t, h := range n.owner.teams {
		if !h.ready {
			unread[t] = true
		}
	}
	if len(unread) == 0 {
		return until
	}
	for job, l := range n.users.mirror.open {
		// A record without a team is of an earlier form.
		if unread[l.rec.Team] || l.rec.Team == "" {
			until = earlier(until, n.cancelBound(job))
		}
	}
	return until
}

// cancelledAt is the earliest moment, by this node's clock, at which anybody can have been
// told that a job is cancelled. A record without it is of an earlier version: it may be
// long ago.
func (n *Node) cancelledAt(r *openRecord) time.Time {
	if r.CancelledAt <= 0 {
		return time.Time{}
	}
	// Both clocks may be off, each its own way.
	age := max(0, n.now.Sub(time.UnixMilli(r.CancelledAt))) + 2*n.set.ClockBound
	return n.now.Add(-age)
}

// renewal is until when a report of m may be answered so that its lease goes on, which is
// noted. When that is over it is refused, the lease is to run out, and what has to stop is
// ordered directly; so is the epoch shown that may be the proof that all is gone.
func renewal(n *Node, m *machine, settled bool, listed []TaskReport, reply uint64) (until time.Time, renews bool) {
	until = n.renewUntilOn(m, settled, listed)
	if n.now.After(until) {
		n.mark(m)
		if m.seenEpoch < m.epoch && !m.inFlight && !n.now.After(n.sess.sureUntil) && n.owner.contacts < contactMost {
			n.claimMachine(m)
		}
		n.emit(ReportReply{Reply: reply, Status: 503})
		return until, false
	}
	m.leaseEnd = later(m.leaseEnd, n.leaseAfter(n.now))
	return until, true
}

// renewOnly answers a report that proves nothing: it orders nothing.
func renewOnly(n *Node, m *machine, c *WorkerReport) {
	if until, renews := renewal(n, m, m.settled(), c.Report.Tasks, c.Reply); renews {
		n.emit(ReportReply{Reply: c.Reply, Until: until, Status: 200, Epoch: m.epoch})
	}
}

// renewUnread answers a report before the owner has read which attempts there should be:
// it starts nothing, and halts what it knows to be cancelled. A start of the owner before
// that is on its way is of a lower epoch than this answer's, but may come before it.
func renewUnread(n *Node, c *WorkerReport, epoch uint64) {
	until := n.renewUntil()
	if c.Report.Epoch < epoch {
		until = earlier(until, n.unreadBound())
	}
	var halts []Order
	for _, p := range c.Report.Tasks {
		bound := n.cancelBound(p.Job)
		if p.Status == Ended || bound.IsZero() && n.users.final[p.Job] != Cancelled {
			continue
		}
		until = earlier(until, bound)
		if len(halts) < ordersMost {
			halts = append(halts, Order{Verb: Halt, Job: p.Job, Index: p.Index, Try: p.Try})
		}
	}
	if n.now.After(until) {
		n.emit(ReportReply{Reply: c.Reply, Status: 503})
		return
	}
	n.emit(ReportReply{Reply: c.Reply, Until: until, Status: 200, Epoch: epoch, Orders: halts})
}
