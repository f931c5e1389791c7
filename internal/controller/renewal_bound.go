package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/renewalbound"
)

// renewal_bound.go is the only place that bounds replies which renew a worker's lease. Two
// rules limit them. First, the next owner of a machine relies on no reply being sent later
// than a grace after the membership lease may have ended. Second, a task whose job was
// cancelled through another controller must be gone in time even if this controller can't
// learn of the cancellation; see internal/renewalbound. The deadline of a reply is checked
// once more when the reply is sent; see deadline.go.

// leaseRenewer decides until when heartbeats may be answered with a reply that renews the
// worker's lease. It has no state of its own: it decides by the membership lease, the watch
// cache and the state of the machine. Its methods may be called only while this controller
// leads a shard.
type leaseRenewer struct {
	component
}

// RenewalBound returns the bound on lease renewals that follows from the settings.
func (settings *Settings) RenewalBound() renewalbound.Rule {
	return renewalbound.Rule{
		CancelTimeout: settings.CancellationBound, LeaseDuration: settings.WorkerLease,
		ClockMargin: leaseMargin + time.Duration(float64(settings.CancellationBound)*clockDrift),
	}
}

// renewalDeadline returns the last moment at which this controller may renew any worker
// lease, given its membership lease and the cancellations that it knows.
func (renewer *leaseRenewer) renewalDeadline() time.Time {
	return earlier(renewer.controller.membership.leaseValidUntil.Add(renewer.renewalGrace()), renewer.settings.RenewalBound().Deadline(renewer.controller.frontend.watchCache.asOf))
}

// startDeadline returns the last moment at which a start command may be sent to any worker.
// A start names an incarnation of the worker that had already begun, and no reply renews the
// lease of that incarnation beyond the window after watchCache.asOf. So the lease ends in
// time for a cancellation that this controller can't know of, even if the incarnation has
// only just begun. The membership lease alone is no such bound, since it may be renewed
// while open/ can't be read.
func (renewer *leaseRenewer) startDeadline() time.Time {
	return earlier(renewer.controller.membership.leaseValidUntil, renewer.settings.RenewalBound().Deadline(renewer.controller.frontend.watchCache.asOf))
}

// machineRenewalDeadline returns the renewal deadline for one machine. It is
// renewalDeadline, but earlier while tasks of a cancelled job may run or start on the
// machine: the stop commands may never arrive, and a start sent earlier may still arrive.
//
// settled is the result of m.settled. reported lists the tasks of a heartbeat that is not
// applied: for a new machine, this list may be the only sign of cancelled tasks of another
// shard leader.
func (renewer *leaseRenewer) machineRenewalDeadline(m *machine, settled bool, reported []model.TaskReport) time.Time {
	until := renewer.renewalDeadline()
	if !m.hasSeenEpoch() {
		until = earlier(until, renewer.unreadTeamsDeadline())
	}
	for _, report := range reported {
		if report.Status != model.Ended {
			until = earlier(until, renewer.cancelledJobDeadline(report.Job))
		}
	}
	if settled && !m.hasOtherShardsAttempts {
		return until
	}
	for key := range m.attempts {
		until = earlier(until, renewer.cancelledJobDeadline(key.job))
	}
	for key, report := range m.taskReports {
		if report.Status != model.Ended {
			until = earlier(until, renewer.cancelledJobDeadline(key.job))
		}
	}
	for _, attempt := range renewer.controller.shardLeader.remoteAttempts.registry.LiveAttempts(m.id) {
		until = earlier(until, renewer.cancelledJobDeadline(attempt.Job))
	}
	return until
}

// cancelledJobDeadline returns the last moment at which a machine that may have a task of
// the job may be answered, or the zero time if the job is not known to be cancelled. A
// cancellation that is not in the watch cache is later than asOf, from which renewalDeadline
// counts.
func (renewer *leaseRenewer) cancelledJobDeadline(job string) time.Time {
	cached, open := renewer.controller.frontend.watchCache.openJobs[job]
	if !open || !cached.rec.Cancelled {
		return time.Time{}
	}
	return renewer.settings.RenewalBound().Deadline(renewer.earliestCancellation(&cached.rec))
}

// unreadTeamsDeadline returns the last moment at which a machine may be answered to which a
// former shard leader may have sent starts for teams whose records are not read yet; zero if
// there is no such limit. Once the machine has shown the current epoch, no earlier start can
// take effect on it.
func (renewer *leaseRenewer) unreadTeamsDeadline() (until time.Time) {
	unread := map[string]bool{}
	for team, state := range renewer.controller.shardLeader.teams {
		if !state.ready {
			unread[team] = true
		}
	}
	if len(unread) == 0 {
		return until
	}
	for job, cached := range renewer.controller.frontend.watchCache.openJobs {
		// Records of an earlier format have no team.
		if unread[cached.rec.Team] || cached.rec.Team == "" {
			until = earlier(until, renewer.cancelledJobDeadline(job))
		}
	}
	return until
}

// earliestCancellation returns the earliest moment, by this controller's clock, at which a
// user can have been told that the job is cancelled. A record of an earlier version lacks
// the time of the cancellation, which may be long ago; the result is then the zero time.
func (renewer *leaseRenewer) earliestCancellation(rec *record.OpenJob) time.Time {
	if rec.CancelledAtMillis <= 0 {
		return time.Time{}
	}
	// The clock that wrote the time and this controller's clock may both be wrong, in
	// opposite directions.
	age := max(0, renewer.now.Sub(time.UnixMilli(rec.CancelledAtMillis))) + 2*renewer.settings.MaxClockError
	return renewer.now.Add(-age)
}

// renewLease extends the lease of m and returns the deadline for the reply to its heartbeat.
// If the deadline has passed, it answers the heartbeat with status 503, so that the lease
// expires, and has the stop commands dispatched. If the machine has not shown the current
// epoch, it also sends the epoch directly: a machine that shows it proves that no earlier
// start can take effect.
func (renewer *leaseRenewer) renewLease(m *machine, settled bool, reported []model.TaskReport, reply uint64) (until time.Time, renews bool) {
	until = renewer.machineRenewalDeadline(m, settled, reported)
	if renewer.now.After(until) {
		renewer.controller.markDispatchPending(m)
		if m.seenEpoch < m.epoch && !m.dispatchInFlight && !renewer.now.After(renewer.controller.membership.leaseValidUntil) && renewer.controller.shardLeader.failover.contactsInFlight < maxContactsInFlight {
			renewer.controller.shardLeader.failover.sendEpoch(m)
		}
		renewer.emit(message.HeartbeatReply{Reply: reply, Status: 503})
		return until, false
	}
	m.leaseEnd = later(m.leaseEnd, renewer.leaseEndAfter(renewer.now))
	return until, true
}

// renewWithoutCommands answers a heartbeat that proves nothing, with a reply that has no
// commands.
func (renewer *leaseRenewer) renewWithoutCommands(m *machine, received *message.WorkerHeartbeat) {
	if until, renews := renewer.renewLease(m, m.settled(), received.Heartbeat.Tasks, received.Reply); renews {
		renewer.emit(message.HeartbeatReply{Reply: received.Reply, SendDeadline: until, Status: 200, Epoch: m.commandEpoch})
	}
}

// renewBeforeRecovery answers a heartbeat before the shard leader has read which attempts
// should run. The reply starts nothing and stops the tasks of jobs known to be cancelled. A
// start that a former shard leader has in flight has a lower epoch than this reply, but may
// arrive before it.
func (renewer *leaseRenewer) renewBeforeRecovery(received *message.WorkerHeartbeat, epoch uint64) {
	until := renewer.renewalDeadline()
	if received.Heartbeat.Epoch < epoch {
		until = earlier(until, renewer.unreadTeamsDeadline())
	}
	var stops []model.TaskCommand
	for _, report := range received.Heartbeat.Tasks {
		bound := renewer.cancelledJobDeadline(report.Job)
		if report.Status == model.Ended || bound.IsZero() && renewer.controller.frontend.finalStatuses[report.Job] != model.Cancelled {
			continue
		}
		until = earlier(until, bound)
		if len(stops) < maxCommands {
			stops = append(stops, model.TaskCommand{Kind: model.StopTask, Job: report.Job, Index: report.Index, Attempt: report.Attempt})
		}
	}
	if renewer.now.After(until) {
		renewer.emit(message.HeartbeatReply{Reply: received.Reply, Status: 503})
		return
	}
	renewer.emit(message.HeartbeatReply{Reply: received.Reply, SendDeadline: until, Status: 200, Epoch: epoch, Commands: stops})
}
