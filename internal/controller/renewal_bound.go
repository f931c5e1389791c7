package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/renewalbound"
)

// renewal_bound.go is the one place where answers that prolong a worker's lease are bounded.
// Two things end them. Whoever owns the machine next counts on nobody's answering longer
// than a grace after the grant may have ended. And a task whose job another controller has
// cancelled is to be gone in time although this one can't hear of it; see
// internal/renewalbound. What an answer rests on is judged once more when it leaves; see
// deadline.go.

// RenewalBound is how the settings bound answers that prolong leases.
func (s *Settings) RenewalBound() renewalbound.Rule {
	return renewalbound.Rule{
		CancelTimeout: s.CancellationBound, LeaseDuration: s.WorkerLease,
		ClockMargin: leaseMargin + time.Duration(float64(s.CancellationBound)*clockDrift),
	}
}

// renewalDeadline is the last moment at which this owner prolongs any lease, by its grant and
// by what it knows of cancellations.
func (r *leaseRenewer) renewalDeadline() time.Time {
	return earlier(r.controller.membership.leaseValidUntil.Add(r.grace()), r.settings.RenewalBound().Deadline(r.controller.frontend.watchCache.asOf))
}

// startDeadline is the last moment at which a start leaves, whoever it is for. A direct order
// names a session that had begun by then and that no answer prolongs beyond the horizon's
// window: so it ends in time for a cancellation that this owner can't know, also where the
// session has just begun. A grant says nothing of that; it may be renewed while open/ can't
// be read.
func (r *leaseRenewer) startDeadline() time.Time {
	return earlier(r.controller.membership.leaseValidUntil, r.settings.RenewalBound().Deadline(r.controller.frontend.watchCache.asOf))
}

// machineRenewalDeadline is renewalDeadline for one machine: as long as tasks of a cancelled job may be on
// it or begin there, their time counts too. They were told to stop, but what was told may
// never arrive, and a start that was sent before may yet. settled: see machine.settled.
// listed is what a report names that is not taken in: of a machine that has just come it
// may be all there is to tell of another owner's cancelled tasks.
func (r *leaseRenewer) machineRenewalDeadline(m *machine, settled bool, reported []model.TaskReport) time.Time {
	until := r.renewalDeadline()
	if m.seenEpoch < m.epoch {
		until = earlier(until, r.unreadTeamsDeadline())
	}
	for _, p := range reported {
		if p.Status != model.Ended {
			until = earlier(until, r.cancelledJobDeadline(p.Job))
		}
	}
	if settled && !m.hasOthersAttempts {
		return until
	}
	for k := range m.attempts {
		until = earlier(until, r.cancelledJobDeadline(k.job))
	}
	for k, p := range m.taskReports {
		if p.Status != model.Ended {
			until = earlier(until, r.cancelledJobDeadline(k.job))
		}
	}
	for _, a := range r.controller.shardLeader.remoteAttempts.registry.LiveAttempts(m.id) {
		until = earlier(until, r.cancelledJobDeadline(a.Job))
	}
	return until
}

// cancelledJobDeadline is the last moment for an answer to a machine that may have a task of a job,
// if it is cancelled, and zero else. What is not in the picture yet is later than the
// horizon.
func (r *leaseRenewer) cancelledJobDeadline(job string) time.Time {
	l, open := r.controller.frontend.watchCache.openJobs[job]
	if !open || !l.rec.Cancelled {
		return time.Time{}
	}
	return r.settings.RenewalBound().Deadline(r.earliestCancellation(&l.rec))
}

// unreadTeamsDeadline is the last moment for an answer to a machine that a former owner may have
// ordered something of which this one has not read, while there are teams whose records it
// has not. When the machine has shown this owner's epoch, nothing of before can begin there.
func (r *leaseRenewer) unreadTeamsDeadline() (until time.Time) {
	unread := map[string]bool{}
	for t, h := range r.controller.shardLeader.teams {
		if !h.ready {
			unread[t] = true
		}
	}
	if len(unread) == 0 {
		return until
	}
	for job, l := range r.controller.frontend.watchCache.openJobs {
		// A record without a team is of an earlier form.
		if unread[l.rec.Team] || l.rec.Team == "" {
			until = earlier(until, r.cancelledJobDeadline(job))
		}
	}
	return until
}

// earliestCancellation is the earliest moment, by this node's clock, at which anybody can have been
// told that a job is cancelled. A record without it is of an earlier version: it may be
// long ago.
func (rr *leaseRenewer) earliestCancellation(r *record.OpenJob) time.Time {
	if r.CancelledAtMillis <= 0 {
		return time.Time{}
	}
	// Both clocks may be off, each its own way.
	age := max(0, rr.now.Sub(time.UnixMilli(r.CancelledAtMillis))) + 2*rr.settings.MaxClockError
	return rr.now.Add(-age)
}

// renewLease is until when a report of m may be answered so that its lease goes on, which is
// noted. When that is over it is refused, the lease is to run out, and what has to stop is
// ordered directly; so is the epoch shown that may be the proof that all is gone.
func (r *leaseRenewer) renewLease(m *machine, settled bool, reported []model.TaskReport, reply uint64) (until time.Time, renews bool) {
	until = r.machineRenewalDeadline(m, settled, reported)
	if r.now.After(until) {
		r.controller.markDispatchPending(m)
		if m.seenEpoch < m.epoch && !m.dispatchInFlight && !r.now.After(r.controller.membership.leaseValidUntil) && r.controller.shardLeader.failover.contactsInFlight < maxContactsInFlight {
			r.controller.shardLeader.failover.showEpoch(m)
		}
		r.emit(message.HeartbeatReply{Reply: reply, Status: 503})
		return until, false
	}
	m.leaseEnd = later(m.leaseEnd, r.leaseEndAfter(r.now))
	return until, true
}

// renewWithoutCommands answers a report that proves nothing: it orders nothing.
func (r *leaseRenewer) renewWithoutCommands(m *machine, c *message.WorkerHeartbeat) {
	if until, renews := r.renewLease(m, m.settled(), c.Heartbeat.Tasks, c.Reply); renews {
		r.emit(message.HeartbeatReply{Reply: c.Reply, SendDeadline: until, Status: 200, Epoch: m.epoch})
	}
}

// renewBeforeRecovery answers a report before the owner has read which attempts there should be:
// it starts nothing, and halts what it knows to be cancelled. A start of the owner before
// that is on its way is of a lower epoch than this answer's, but may come before it.
func (r *leaseRenewer) renewBeforeRecovery(c *message.WorkerHeartbeat, epoch uint64) {
	until := r.renewalDeadline()
	if c.Heartbeat.Epoch < epoch {
		until = earlier(until, r.unreadTeamsDeadline())
	}
	var stops []model.TaskCommand
	for _, p := range c.Heartbeat.Tasks {
		bound := r.cancelledJobDeadline(p.Job)
		if p.Status == model.Ended || bound.IsZero() && r.controller.frontend.finalStatuses[p.Job] != model.Cancelled {
			continue
		}
		until = earlier(until, bound)
		if len(stops) < maxCommands {
			stops = append(stops, model.TaskCommand{Kind: model.StopTask, Job: p.Job, Index: p.Index, Attempt: p.Attempt})
		}
	}
	if r.now.After(until) {
		r.emit(message.HeartbeatReply{Reply: c.Reply, Status: 503})
		return
	}
	r.emit(message.HeartbeatReply{Reply: c.Reply, SendDeadline: until, Status: 200, Epoch: epoch, Commands: stops})
}

// leaseRenewer TODO.
type leaseRenewer struct {
	component
}
