package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/renewalbound"
)

// renewal_bound.go is the one place that bounds answers that prolong a worker's lease. Two
// things end them. The next owner of a machine counts on no answer later than a grace after
// the membership lease may have ended. And a task whose job another controller has cancelled
// has to be gone in time even if this one can't learn of it; see internal/renewalbound. The
// deadline of an answer is checked once more when it is sent; see deadline.go.

// leaseRenewer decides until when heartbeats may be answered so that worker leases go on.
// It has no state of its own: it judges by the membership lease, the watch cache and the
// machine. All of its methods except RenewalBound's are for the time in which this controller
// leads a shard.
type leaseRenewer struct {
	component
}

// RenewalBound is how the settings bound answers that prolong leases.
func (s *Settings) RenewalBound() renewalbound.Rule {
	return renewalbound.Rule{
		CancelTimeout: s.CancellationBound, LeaseDuration: s.WorkerLease,
		ClockMargin: leaseMargin + time.Duration(float64(s.CancellationBound)*clockDrift),
	}
}

// renewalDeadline is the last moment at which this controller prolongs any lease, by its
// membership lease and by what it knows of cancellations.
func (r *leaseRenewer) renewalDeadline() time.Time {
	return earlier(r.controller.membership.leaseValidUntil.Add(r.grace()), r.settings.RenewalBound().Deadline(r.controller.frontend.watchCache.asOf))
}

// startDeadline is the last moment at which a start is sent to any worker. A start names an
// incarnation that had begun by then and whose lease no answer prolongs beyond the window of
// watchCache.asOf: so it ends in time for a cancellation that this controller can't know of,
// even if the incarnation has just begun. The membership lease says nothing of that; it may
// be renewed while open/ can't be read.
func (r *leaseRenewer) startDeadline() time.Time {
	return earlier(r.controller.membership.leaseValidUntil, r.settings.RenewalBound().Deadline(r.controller.frontend.watchCache.asOf))
}

// machineRenewalDeadline is renewalDeadline for one machine: as long as tasks of a cancelled job
// may run or start there, their time counts too. The commands to stop them may never arrive,
// and an earlier start may yet. settled: see machine.settled. reported are the tasks of a
// heartbeat that is not taken in: of a new machine they may be all that is known of another
// shard leader's cancelled tasks.
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
	for _, attempt := range r.controller.shardLeader.remoteAttempts.registry.LiveAttempts(m.id) {
		until = earlier(until, r.cancelledJobDeadline(attempt.Job))
	}
	return until
}

// cancelledJobDeadline is the last moment for an answer to a machine that may have a task of a
// job, if the job is cancelled, and zero if not. A cancellation that is not in the watch
// cache is later than asOf, which renewalDeadline counts from.
func (r *leaseRenewer) cancelledJobDeadline(job string) time.Time {
	cached, open := r.controller.frontend.watchCache.openJobs[job]
	if !open || !cached.rec.Cancelled {
		return time.Time{}
	}
	return r.settings.RenewalBound().Deadline(r.earliestCancellation(&cached.rec))
}

// unreadTeamsDeadline is the last moment for an answer to a machine that a former shard leader
// may have sent starts of teams whose records are not read yet. Once the machine has shown
// the current epoch, no earlier start can take effect there.
func (r *leaseRenewer) unreadTeamsDeadline() (until time.Time) {
	unread := map[string]bool{}
	for team, held := range r.controller.shardLeader.teams {
		if !held.ready {
			unread[team] = true
		}
	}
	if len(unread) == 0 {
		return until
	}
	for job, cached := range r.controller.frontend.watchCache.openJobs {
		// A record without a team is of an earlier format.
		if unread[cached.rec.Team] || cached.rec.Team == "" {
			until = earlier(until, r.cancelledJobDeadline(job))
		}
	}
	return until
}

// earliestCancellation is the earliest moment, by this controller's clock, at which a user can
// have had the answer that a job is cancelled. A record without it is of an earlier version:
// that may be long ago.
func (r *leaseRenewer) earliestCancellation(rec *record.OpenJob) time.Time {
	if rec.CancelledAtMillis <= 0 {
		return time.Time{}
	}
	// Both clocks may be off, each its own way.
	age := max(0, r.now.Sub(time.UnixMilli(rec.CancelledAtMillis))) + 2*r.settings.MaxClockError
	return r.now.Add(-age)
}

// renewLease prolongs the lease of m and returns until when its heartbeat may be answered. When
// that is over it refuses the heartbeat, so that the lease expires, and has the stops
// dispatched; where the current epoch would prove that everything there is gone, it shows
// that.
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

// renewWithoutCommands answers a heartbeat that proves nothing, without commands.
func (r *leaseRenewer) renewWithoutCommands(m *machine, c *message.WorkerHeartbeat) {
	if until, renews := r.renewLease(m, m.settled(), c.Heartbeat.Tasks, c.Reply); renews {
		r.emit(message.HeartbeatReply{Reply: c.Reply, SendDeadline: until, Status: 200, Epoch: m.epoch})
	}
}

// renewBeforeRecovery answers a heartbeat before the shard leader has read which attempts there
// should be: it starts nothing, and stops what it knows to be cancelled. A start of the former
// shard leader that is in flight has a lower epoch than this answer, but may come before it.
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
