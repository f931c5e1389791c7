package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// commandAndWriteTime is the part of a bounded wait that is set aside for writing the task's
// record and sending the start command; the rest may be spent on fetching the image.
const commandAndWriteTime = 500 * time.Millisecond

// scheduler decides which pending task starts on which machine, and which running tasks are
// stopped for it. It is part of a shard leader and works on the leader's jobs and machines:
// its methods may be called only while this controller leads a shard, from within Step.
//
// The scheduler owns no durable state. A successor starts with an empty one: everything here
// is derived from jobs, machines and the clock, or only spaces out expensive scans.
//
// Invariants: a task is placed only on a machine that is usable, while the membership lease is
// valid, and within its team's quota limit; the attempt starts only after its record is durable.
type scheduler struct {
	component

	// placementDue says that something changed that may let tasks be placed, placementUrgent
	// that one of these tasks has a bounded wait. The last round began at placedAt, and the
	// step that contained it took roundDuration.
	placementDue    bool
	placementUrgent bool
	placedAt        time.Time
	roundDuration   time.Duration

	// preemptionVictims caches, for each kind of task, where lower work may be stopped.
	preemptionVictims map[preemptionVictimsKey]*preemptionVictims
	// machinesReservedAt is when machines were last reserved for overdue jobs; see aging.go.
	machinesReservedAt time.Time
	// startDeadlines holds, for each workload with pending tasks, when the first of them
	// should start at the latest. Rebuilt in each placement round.
	startDeadlines map[string]time.Time

	// packingProfile is the usual demand on machines with GPUs; nil while the models
	// capability is off. See packing.go.
	packingProfile *packingProfile
	// freeCapacityReportedAt is when free GPU capacity was last reported to the metrics.
	freeCapacityReportedAt time.Time

	// waitsReportedAt is when the jobs left waiting were last reported to the metrics;
	// waitsReported says that there were any.
	waitsReportedAt time.Time
	waitsReported   bool
}

// requestPlacement asks for a placement round: a task has become pending, or capacity free.
func (s *scheduler) requestPlacement() { s.placementDue = true }

// hurryPlacement lets the next round start without the usual interval if the wait of the
// workload's tasks is bounded. It does not ask for a round by itself.
func (s *scheduler) hurryPlacement(workload string) {
	s.placementUrgent = s.placementUrgent || s.waitObjective(workload) > 0
}

// restartPlacement asks for a round at once and forgets where work may be preempted: the
// ranking has changed.
func (s *scheduler) restartPlacement() {
	s.placementDue, s.placementUrgent = true, true
	s.preemptionVictims = nil
}

// placementRoundDue reports whether a requested round may start now.
func (s *scheduler) placementRoundDue() bool {
	return s.placementDue && !s.now.Before(s.nextRoundAt())
}

// nextRoundAt is when the next round may start. After a round that took long, half as much
// again as it took is left to other work, however many tasks are pending.
func (s *scheduler) nextRoundAt() time.Time {
	gap := placementInterval
	if s.placementUrgent {
		gap = 0
	}
	return s.placedAt.Add(max(gap, s.roundDuration*5/2))
}

// runPlacementRound answers all requests for a round made so far.
func (s *scheduler) runPlacementRound() {
	s.placementDue, s.placementUrgent, s.placedAt = false, false, s.now
	s.placeAll()
}

// recordRoundDuration notes how long the step with the last round took.
func (s *scheduler) recordRoundDuration(d time.Duration) { s.roundDuration = d }

// usable reports whether tasks may be placed on m now.
func (s *scheduler) usable(m *machine) bool {
	return !s.controller.isRentedForOther(m.id) &&
		m.heard && !m.reclaimNoticed && !m.releasing && !m.faulty && !m.hasUnknownTasks &&
		m.size.CPU > 0 && m.reachability.Reachable() &&
		!s.controller.shardLeader.heartbeats.unresponsive(m)
}

// placeAll reserves machines for overdue jobs and places pending tasks in queue order.
func (s *scheduler) placeAll() {
	entries := s.queueOrder()
	var jobs []*job
	for _, e := range entries {
		if e.goesFirst || !e.job.overdue {
			jobs = append(jobs, e.job)
		}
	}
	s.reserveMachines(jobs)
	if len(entries) == 0 {
		return
	}
	if s.now.After(s.controller.membership.leaseValidUntil) || s.controller.ranking.stale {
		return
	}
	s.placeReserved()
	r := s.newPlacementRound()
	s.updateStartDeadlines(entries)
	for _, e := range entries {
		e.job.placingOverdue = e.goesFirst
		s.placeQueueEntry(e.job, r, e.tasks)
		e.job.placingOverdue = false
	}
}

func (s *scheduler) updateStartDeadlines(entries []queueEntry) {
	s.startDeadlines = map[string]time.Time{}
	for _, e := range entries {
		j, latest := e.job, s.latestStart(e.job)
		if t, ok := s.startDeadlines[j.Workload]; !ok || latest.Before(t) {
			s.startDeadlines[j.Workload] = latest
		}
	}
}

// placeQueueEntry places up to count pending tasks of a job whose turn it is.
func (s *scheduler) placeQueueEntry(j *job, r *placementRound, count int) {
	if j.Gang {
		s.placeGang(j, r)
		return
	}
	most := func() int { return min(count, s.placeableTasks(j)) }
	place := func(fetch time.Duration, most int) {
		pending := j.pendingTasks()
		s.placeJob(j, r, fetch, most)
		count -= pending - j.pendingTasks()
	}
	bound := s.waitObjective(j.Workload)
	if bound == 0 || j.Urgency == model.BestEffort {
		place(forever, most())
		if (j.placingOverdue || s.preemptsForReplica(j)) && most() > 0 && !s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID) {
			// Work of lower urgency is stopped for an overdue job, and such work without
			// GPUs also for replicas.
			s.preemptIfDue(j, forever)
		}
		return
	}
	// With a bounded wait: first where the image is or can be in time, then in place of lower
	// work there, and only then where the fetch alone may take longer than the bound.
	left := bound - s.now.Sub(j.readySince()) - commandAndWriteTime
	place(max(left, 0), most())
	freeing := 0
	switch {
	case s.placeableTasks(j) == 0 || s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID):
	case left > 0:
		freeing = s.preemptIfDue(j, left)
	case s.latestStart(j).Sub(s.now) < bound:
		freeing = s.preemptIfDue(j, forever)
	}
	place(forever, most()-freeing)
}
