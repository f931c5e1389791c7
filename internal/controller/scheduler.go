package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

const (
	// fetchMargin is the part of a bounded wait that orders and writes take.
	fetchMargin = 500 * time.Millisecond
)

// usable says whether tasks may be placed on m now.
func (s *scheduler) usable(m *machine) bool {
	return !s.controller.isRentedForOther(m.id) && m.heard && !m.reclaimNoticed && !m.releasing && !m.faulty && !m.hasUnknownTasks && m.size.CPU > 0 && m.reachability.Reachable() && !s.controller.shardLeader.heartbeats.unresponsive(m)
}

// placeAll places what waits, in order.
func (s *scheduler) placeAll() {
	o := s.controller.shardLeader
	turns := s.queueOrder()
	var jobs []*job
	for _, t := range turns {
		if t.goesFirst || !t.job.overdue {
			jobs = append(jobs, t.job)
		}
	}
	s.reserveMachines(jobs)
	if len(turns) == 0 {
		return
	}
	if s.now.After(s.controller.membership.leaseValidUntil) || s.controller.ranking.stale {
		return
	}
	s.placeReserved()
	r := s.newPlacementRound()
	o.scheduler.startDeadlines = map[string]time.Time{}
	for _, t := range turns {
		j, l := t.job, s.latestStart(t.job)
		if t, ok := o.scheduler.startDeadlines[j.Workload]; !ok || l.Before(t) {
			o.scheduler.startDeadlines[j.Workload] = l
		}
	}
	for _, t := range turns {
		t.job.placingOverdue = t.goesFirst
		s.placeQueueEntry(t.job, r, t.tasks)
		t.job.placingOverdue = false
	}
}

// placeQueueEntry places up to count waiting tasks of a job whose turn it is.
func (s *scheduler) placeQueueEntry(j *job, r *placementRound, count int) {
	if j.Gang {
		s.placeGang(j, r)
		return
	}
	most := func() int { return min(count, s.controller.shardLeader.scheduler.placeableTasks(j)) }
	place := func(fetch time.Duration, most int) {
		waiting := j.pendingTasks()
		s.controller.shardLeader.scheduler.placeJob(j, r, fetch, most)
		count -= waiting - j.pendingTasks()
	}
	bound := s.waitObjective(j.Workload)
	if bound == 0 || j.Urgency == model.BestEffort {
		place(forever, most())
		if (j.placingOverdue || s.preemptsForReplica(j)) && most() > 0 && !s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID) {
			// Work of lower urgency makes room for what has waited too long, and such
			// without GPUs for replicas.
			s.preemptIfDue(j, forever)
		}
		return
	}
	// Where an objective bounds the wait: first where the image is, then
	// in the place of lower work there, and only then where it must be
	// fetched first, which alone can take longer than the bound.
	left := bound - s.now.Sub(j.readySince()) - fetchMargin
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

// scheduler TODO.
type scheduler struct {
	component

	// place: something has changed that may let tasks be placed, and hurry:
	// for one whose wait is bounded. placed is when that was last done.
	placementDue    bool
	placementUrgent bool
	placedAt        time.Time
	// roundDuration is how long the step with the last round of placing took.
	roundDuration time.Duration
	// preemptionVictims is where urgent work may take the place of other work.
	preemptionVictims map[preemptionVictimsKey]*preemptionVictims
	// machinesReservedAt is when machines were last gathered; see aging.go.
	machinesReservedAt time.Time
	// packingProfile is what is usual on machines with GPUs, while models are on.
	packingProfile         *packingProfile
	freeCapacityReportedAt time.Time
	// startDeadlines is, for each workload with tasks that wait for a place, when the
	// first of them should start at the latest.
	startDeadlines map[string]time.Time
}
