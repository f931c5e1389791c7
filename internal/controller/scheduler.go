package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// commandAndWriteTime is the part of a workload's wait bound that is reserved for writing the
// task's record and sending the start command. The rest may be spent on fetching the image.
const commandAndWriteTime = 500 * time.Millisecond

// scheduler decides which pending task starts on which machine, and which running tasks are stopped
// to free capacity for it. It belongs to a shard leader and handles the jobs and machines of that
// leader. Its methods may be called only from within Step, while this controller leads a shard.
//
// The scheduler has no durable state. A successor starts with an empty scheduler: its state is
// derived from jobs, machines and the clock, or only limits how often expensive scans run.
//
// Invariants: a task is placed only on a usable machine, while the membership lease is valid, and
// within the quota limit of its team. The attempt starts only after its record is durable.
type scheduler struct {
	component

	// placementDue is set when a change may allow tasks to be placed, placementUrgent when the
	// wait of one of these tasks is bounded. lastRoundAt is when the last round began;
	// roundDuration is how long the step that contained the last round took.
	placementDue    bool
	placementUrgent bool
	lastRoundAt     time.Time
	roundDuration   time.Duration

	// preemptionVictims caches, for each kind of task, the machines where tasks of lower
	// urgency may be stopped.
	preemptionVictims map[preemptionVictimsKey]*preemptionVictims
	// machinesReservedAt is when machines were last reserved for overdue jobs; see aging.go.
	machinesReservedAt time.Time
	// startDeadlines holds, for each workload with pending tasks, the earliest of the latest
	// start times of its jobs. Each placement round rebuilds it.
	startDeadlines map[string]time.Time

	// packingProfile is the usual demand on machines with GPUs. It is nil while the models
	// capability is off; see packing.go.
	packingProfile *packingProfile
	// freeCapacityReportedAt is when free GPU capacity was last reported to the metrics.
	freeCapacityReportedAt time.Time

	// waitsReportedAt is when the jobs left waiting were last reported to the metrics;
	// waitsReported is set if that report listed any.
	waitsReportedAt time.Time
	waitsReported   bool
}

// requestPlacement requests a placement round. It is called when a task has become pending or
// capacity has become free.
func (scheduler *scheduler) requestPlacement() { scheduler.placementDue = true }

// expeditePlacement lets the next round start without the usual interval if the wait of the workload's
// tasks is bounded. It does not request a round.
func (scheduler *scheduler) expeditePlacement(workload string) {
	scheduler.placementUrgent = scheduler.placementUrgent || scheduler.waitObjective(workload) > 0
}

// restartPlacement requests an immediate round and clears the cache of preemption victims. It is
// called when the ranking has changed.
func (scheduler *scheduler) restartPlacement() {
	scheduler.placementDue, scheduler.placementUrgent = true, true
	scheduler.preemptionVictims = nil
}

// placementRoundDue reports whether a requested round may start now.
func (scheduler *scheduler) placementRoundDue() bool {
	return scheduler.placementDue && !scheduler.now.Before(scheduler.nextRoundAt())
}

// nextRoundAt returns when the next round may start. Rounds start at intervals of at least 2.5
// times the duration of the last round, which leaves time for other commands however many tasks are
// pending.
func (scheduler *scheduler) nextRoundAt() time.Time {
	gap := placementInterval
	if scheduler.placementUrgent {
		gap = 0
	}
	return scheduler.lastRoundAt.Add(max(gap, scheduler.roundDuration*5/2))
}

// runPlacementRound runs a placement round and clears all requests for one.
func (scheduler *scheduler) runPlacementRound() {
	scheduler.placementDue, scheduler.placementUrgent, scheduler.lastRoundAt = false, false, scheduler.now
	scheduler.placeAll()
}

// recordRoundDuration stores how long the step with the last round took.
func (scheduler *scheduler) recordRoundDuration(d time.Duration) { scheduler.roundDuration = d }

// usable reports whether tasks may be placed on a machine now.
func (scheduler *scheduler) usable(m *machine) bool {
	return !scheduler.controller.isRentedForOther(m.id) &&
		m.heard && !m.reclaimNoticed && !m.releasing && !m.faulty && !m.hasUnknownTasks &&
		m.size.CPU > 0 && m.reachability.Reachable() &&
		!scheduler.controller.shardLeader.heartbeats.unresponsive(m)
}

// placeAll reserves machines for overdue jobs and places pending tasks in queue order.
func (scheduler *scheduler) placeAll() {
	entries := scheduler.queueOrder()
	var jobs []*job
	for _, entry := range entries {
		if entry.promoted || !entry.job.overdue {
			jobs = append(jobs, entry.job)
		}
	}
	scheduler.reserveMachines(jobs)
	if len(entries) == 0 {
		return
	}
	if scheduler.now.After(scheduler.controller.membership.leaseValidUntil) || scheduler.controller.ranking.stale {
		return
	}
	scheduler.placeReserved()
	round := scheduler.newPlacementRound()
	scheduler.updateStartDeadlines(entries)
	for _, entry := range entries {
		entry.job.placingOverdue = entry.promoted
		scheduler.placeQueueEntry(entry.job, round, entry.tasks)
		entry.job.placingOverdue = false
	}
}

// updateStartDeadlines rebuilds startDeadlines from the queue entries.
func (scheduler *scheduler) updateStartDeadlines(entries []queueEntry) {
	scheduler.startDeadlines = map[string]time.Time{}
	for _, entry := range entries {
		job, latest := entry.job, scheduler.latestStart(entry.job)
		if earliest, ok := scheduler.startDeadlines[job.Workload]; !ok || latest.Before(earliest) {
			scheduler.startDeadlines[job.Workload] = latest
		}
	}
}

// placeQueueEntry places up to count pending tasks of a job.
func (scheduler *scheduler) placeQueueEntry(job *job, round *placementRound, count int) {
	if job.Gang {
		scheduler.placeGang(job, round)
		return
	}
	most := func() int { return min(count, scheduler.placeableTasks(job)) }
	place := func(fetch time.Duration, most int) {
		pending := job.pendingTasks()
		scheduler.placeJob(job, round, fetch, most)
		count -= pending - job.pendingTasks()
	}
	bound := scheduler.waitObjective(job.Workload)
	if bound == 0 || job.Urgency == model.BestEffort {
		place(forever, most())
		if (job.placingOverdue || scheduler.preemptsForReplica(job)) && most() > 0 && !scheduler.controller.shardLeader.faultAttribution.FailsEverywhere(job.ID) {
			// An overdue job may preempt tasks of lower urgency. With the models
			// capability on, a job that needs GPUs may preempt only such tasks that
			// need none.
			scheduler.preemptIfDue(job, forever)
		}
		return
	}
	// A job with a bounded wait is placed in three steps: first on machines that have the image
	// or can fetch it in time, then by preemption on such machines, and last on machines where
	// the fetch alone may exceed the bound.
	left := bound - scheduler.now.Sub(job.readySince()) - commandAndWriteTime
	place(max(left, 0), most())
	freeing := 0
	switch {
	case scheduler.placeableTasks(job) == 0 || scheduler.controller.shardLeader.faultAttribution.FailsEverywhere(job.ID):
	case left > 0:
		freeing = scheduler.preemptIfDue(job, left)
	case scheduler.latestStart(job).Sub(scheduler.now) < bound:
		freeing = scheduler.preemptIfDue(job, forever)
	}
	place(forever, most()-freeing)
}
