package migration

import (
	"slices"
	"time"
)

// Update brings the plans in line with the shard's state, and returns the replicas that are to
// be stopped now.
func (t *Tracker) Update(now time.Time, shard ShardState) []StopRequest {
	t.updatePlans(now, shard)
	stops := t.decideStops(now, shard)
	t.expireRecent(now)
	return stops
}

// updatePlans drops the plans that are past their deadline, and updates the others. All are
// updated before any stop is decided: a replica that goes back takes capacity, which no stop
// may count on.
func (t *Tracker) updatePlans(now time.Time, shard ShardState) {
	served := map[string]int{}
	for _, p := range slices.Clone(t.plans) {
		if !now.Before(p.Until) {
			// Replicas that still wait are placed like any others.
			t.dropPlan(now, p)
			continue
		}
		if p.awaitingHosts = p.hasUnheardHost(shard); p.awaitingHosts {
			continue
		}
		for i := range p.Steps {
			t.updateStep(now, p, &p.Steps[i], shard)
		}
		if !p.Served {
			served[p.HeldFor]++
			p.Served = served[p.HeldFor] > shard.WaitingTasks(p.HeldFor) || p.isInfeasible(shard)
		}
	}
}

// decideStops drops what served plans need not move any more, and stops what may be stopped.
func (t *Tracker) decideStops(now time.Time, shard ShardState) []StopRequest {
	var stops []StopRequest
	stopped := map[string]int{}
	for _, p := range slices.Clone(t.plans) {
		if p.awaitingHosts {
			continue
		}
		finished := p.Served
		for i := range p.Steps {
			s := &p.Steps[i]
			switch {
			case s.State != Waiting:
				finished = finished && s.State >= Settled
			case p.Served:
				s.State = Dropped
				t.Stats.Dropped++
			case p.durable && t.mayStop(p, s, shard, stopped[s.Job]):
				s.State, s.stoppedAt = Stopping, now
				stopped[s.Job]++
				t.markMoved(now, p.Team, s)
				stops = append(stops, StopRequest{s.Job, s.Index, s.Attempt})
			}
		}
		if finished {
			t.dropPlan(now, p)
		}
	}
	return stops
}

// expireRecent forgets the replicas whose cooldown is over. A record is rewritten only when it
// loses the last one.
func (t *Tracker) expireRecent(now time.Time) {
	for team, s := range t.teams {
		for k, until := range s.recent {
			if !now.Before(until) {
				delete(s.recent, k)
				if len(s.recent) == 0 {
					t.markChanged(team, now)
				}
			}
		}
	}
}

// hasUnheardHost says that a host of the plan may still be heard of after a takeover. Until
// then the plan's capacity is held, and nothing is decided.
func (p *ActivePlan) hasUnheardHost(shard ShardState) bool {
	return !p.Served && shard.Unheard(p.Host) || slices.ContainsFunc(p.Steps, func(s Step) bool {
		return s.State < Starting && (shard.Unheard(s.From) || shard.Unheard(s.To))
	})
}

// updateStep derives a move's state from that of its replica.
func (t *Tracker) updateStep(now time.Time, p *ActivePlan, s *Step, shard ShardState) {
	previous := s.State
	if previous == Settled || previous == Dropped {
		return
	}
	task := shard.Task(s.Job, s.Index)
	switch {
	case !task.Known:
		s.State = Settled
	case task.Host == "" && task.Attempt > s.Attempt:
		// Placed since, and lost again: no longer a matter of this move.
		s.State = Settled
	case task.Host == "" && previous != RollingBack && t.fitsOn(s, s.To, shard, nil):
		s.State = Gone
	case task.Host == "":
		// The target is lost, or has no capacity yet for a replica that was lost before it
		// was stopped. The replica does not wait for that: it goes back, if it still can, to
		// where it was, and the plan's waiting job can't have that place.
		if s.State = RollingBack; !t.fitsOn(s, s.From, shard, p) {
			s.State = Settled
		}
	case task.Attempt > s.Attempt && task.Host == s.To && !task.Running:
		s.State = Starting
	case task.Attempt > s.Attempt:
		s.State = Settled
	case task.Attempt < s.Attempt || task.Host != s.From:
		// The record contradicts the shard's state.
		s.State = Settled
	case task.Stopping:
		s.State = Stopping
	}
	if previous == Waiting && s.State != Waiting {
		t.markMoved(now, p.Team, s)
	}
	if s.State == Settled && task.Running && task.Host == s.To && !s.stoppedAt.IsZero() {
		t.Stats.Moved++
		t.Stats.LongestDowntime = max(t.Stats.LongestDowntime, now.Sub(s.stoppedAt))
	}
}

// fitsOn says that a replica fits on a host beside what is held there for others. What except
// holds for its waiting job is not counted; except may be nil.
func (t *Tracker) fitsOn(s *Step, host string, shard ShardState, except *ActivePlan) bool {
	free, ok := shard.FreeCapacity(host)
	if !ok {
		return false
	}
	for _, h := range t.Holds() {
		if h.Host == host && (h.Job != s.Job || h.Index != s.Index) && (h.Plan == nil || h.Plan != except) {
			free = free.AddScaled(h.Need, -1)
		}
	}
	return s.Need.Fits(free)
}

func usable(shard ShardState, host string) bool {
	_, ok := shard.FreeCapacity(host)
	return ok
}

// isInfeasible says that a plan can't succeed any more, or now costs more than what it was
// chosen over.
func (p *ActivePlan) isInfeasible(shard ShardState) bool {
	if !usable(shard, p.Host) {
		return true
	}
	var downtime, planned time.Duration
	for i := range p.Steps {
		s := &p.Steps[i]
		switch {
		case s.State == RollingBack || s.State == Dropped:
			return true
		case s.State == Waiting && !usable(shard, s.To):
			return true
		case s.State == Waiting:
			downtime += shard.Downtime(s.Job, s.To)
			planned += s.Downtime
		}
	}
	return downtime > max(p.MaxCost, planned)+costSlack
}

// mayStop says that a replica may be stopped now: it runs, it fits on its target, and its job
// can do without it. stopped counts the job's replicas stopped in the same Update.
func (t *Tracker) mayStop(p *ActivePlan, s *Step, shard ShardState, stopped int) bool {
	task := shard.Task(s.Job, s.Index)
	if !task.Running || task.Stopping {
		return false
	}
	running, total := shard.RunningReplicas(s.Job)
	if total == 1 && !shard.YieldsTo(s.Job, p.HeldFor) || total > 1 && 2*(running-stopped-1) < total {
		return false
	}
	return t.fitsOn(s, s.To, shard, nil)
}

// markMoved starts a replica's cooldown.
func (t *Tracker) markMoved(now time.Time, team string, s *Step) {
	t.teamState(team).recent[replicaKey{s.Job, s.Index}] = now.Add(t.Cooldown)
}

func (t *Tracker) dropPlan(now time.Time, p *ActivePlan) {
	t.removePlan(p)
	t.markChanged(p.Team, now)
}
