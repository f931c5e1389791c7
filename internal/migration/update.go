package migration

import (
	"slices"
	"time"
)

// Update updates the plans from the shard's state and returns the replicas that the caller must stop
// now.
func (tracker *Tracker) Update(now time.Time, shard ShardState) []StopRequest {
	tracker.updatePlans(now, shard)
	stops := tracker.decideStops(now, shard)
	tracker.expireRecent(now)
	return stops
}

// updatePlans drops the plans that are past their deadline and updates all others. All plans are
// updated before any stop is decided, because a replica that is rolled back holds capacity again,
// which no stop may count on.
func (tracker *Tracker) updatePlans(now time.Time, shard ShardState) {
	served := map[string]int{}
	for _, plan := range slices.Clone(tracker.plans) {
		if !now.Before(plan.Until) {
			// Replicas that are still down are placed like any other task.
			tracker.dropPlan(now, plan)
			continue
		}
		if plan.awaitingHosts = plan.awaitsHeartbeat(shard); plan.awaitingHosts {
			continue
		}
		for i := range plan.Steps {
			tracker.updateStep(now, plan, &plan.Steps[i], shard)
		}
		if !plan.Served {
			served[plan.HeldFor]++
			plan.Served = served[plan.HeldFor] > shard.WaitingTasks(plan.HeldFor) || plan.isInfeasible(shard)
		}
	}
}

// decideStops drops the waiting moves of served plans, removes the plans that are finished, and returns
// the replicas that are to be stopped.
func (tracker *Tracker) decideStops(now time.Time, shard ShardState) []StopRequest {
	var stops []StopRequest
	stopped := map[string]int{}
	for _, plan := range slices.Clone(tracker.plans) {
		if plan.awaitingHosts {
			continue
		}
		finished := plan.Served
		for i := range plan.Steps {
			step := &plan.Steps[i]
			switch {
			case step.State != Waiting:
				finished = finished && step.State >= Settled
			case plan.Served:
				step.State = Dropped
				tracker.Stats.Dropped++
			case plan.durable && tracker.mayStop(plan, step, shard, stopped[step.Job]):
				step.State, step.stoppedAt = Stopping, now
				stopped[step.Job]++
				tracker.markMoved(now, plan.Team, step)
				stops = append(stops, StopRequest{step.Job, step.Index, step.Attempt})
			}
		}
		if finished {
			tracker.dropPlan(now, plan)
		}
	}
	return stops
}

// expireRecent removes the replicas whose cooldown is over. A record is marked as changed only when its
// last cooldown ends.
func (tracker *Tracker) expireRecent(now time.Time) {
	for team, state := range tracker.teams {
		for key, until := range state.recent {
			if !now.Before(until) {
				delete(state.recent, key)
				if len(state.recent) == 0 {
					tracker.markChanged(team, now)
				}
			}
		}
	}
}

// awaitsHeartbeat reports whether a host of the plan is still expected to send its first heartbeat after
// a failover. Until then the plan's capacity stays held and its moves are not changed.
func (plan *ActivePlan) awaitsHeartbeat(shard ShardState) bool {
	return !plan.Served && shard.AwaitsHeartbeat(plan.Host) || slices.ContainsFunc(plan.Steps, func(step Step) bool {
		return step.State < Starting && (shard.AwaitsHeartbeat(step.From) || shard.AwaitsHeartbeat(step.To))
	})
}

// updateStep derives the state of a move from the state of its replica.
func (tracker *Tracker) updateStep(now time.Time, plan *ActivePlan, step *Step, shard ShardState) {
	previous := step.State
	if previous == Settled || previous == Dropped {
		return
	}
	task := shard.Task(step.Job, step.Index)
	switch {
	case !task.Known:
		step.State = Settled
	case task.Host == "" && task.Attempt > step.Attempt:
		// The replica was started again after the move and has ended since. This move is over.
		step.State = Settled
	case task.Host == "" && previous != RollingBack && tracker.fitsOn(step, step.To, shard, nil):
		step.State = Gone
	case task.Host == "":
		// The target is lost, or it lacks capacity because the replica ended before its stop was
		// due. The replica does not wait for the target: it is rolled back to its original
		// host if it still fits there, even on capacity held for the plan's waiting job.
		if step.State = RollingBack; !tracker.fitsOn(step, step.From, shard, plan) {
			step.State = Settled
		}
	case task.Attempt > step.Attempt && task.Host == step.To && !task.Running:
		step.State = Starting
	case task.Attempt > step.Attempt:
		step.State = Settled
	case task.Attempt < step.Attempt || task.Host != step.From:
		// The shard's state contradicts the record: the shard's state counts.
		step.State = Settled
	case task.Stopping:
		step.State = Stopping
	}
	if previous == Waiting && step.State != Waiting {
		tracker.markMoved(now, plan.Team, step)
	}
	if step.State == Settled && task.Running && task.Host == step.To && !step.stoppedAt.IsZero() {
		tracker.Stats.Moved++
		tracker.Stats.LongestDowntime = max(tracker.Stats.LongestDowntime, now.Sub(step.stoppedAt))
	}
}

// fitsOn reports whether a replica fits on a host in addition to all capacity held there for other
// tasks. The capacity that the plan except holds for its waiting job is not counted; except may be nil.
func (tracker *Tracker) fitsOn(step *Step, host string, shard ShardState, except *ActivePlan) bool {
	free, ok := shard.FreeCapacity(host)
	if !ok {
		return false
	}
	for _, hold := range tracker.Holds() {
		if hold.Host == host && (hold.Job != step.Job || hold.Index != step.Index) && (hold.Plan == nil || hold.Plan != except) {
			free = free.AddScaled(hold.Need, -1)
		}
	}
	return step.Need.Fits(free)
}

// usable reports whether tasks may be placed on a host.
func usable(shard ShardState, host string) bool {
	_, ok := shard.FreeCapacity(host)
	return ok
}

// isInfeasible reports whether a plan can't succeed any more, or whether its remaining moves cost more
// than the wait that the plan was preferred to (MaxCost).
func (plan *ActivePlan) isInfeasible(shard ShardState) bool {
	if !usable(shard, plan.Host) {
		return true
	}
	var downtime, planned time.Duration
	for i := range plan.Steps {
		step := &plan.Steps[i]
		switch {
		case step.State == RollingBack || step.State == Dropped:
			return true
		case step.State == Waiting && !usable(shard, step.To):
			return true
		case step.State == Waiting:
			downtime += shard.Downtime(step.Job, step.To)
			planned += step.Downtime
		}
	}
	return downtime > max(plan.MaxCost, planned)+costSlack
}

// mayStop reports whether a replica may be stopped now: it runs, it fits on its target, and its job
// tolerates the stop. An only replica may be stopped if it yields to the waiting job; of several
// replicas at least half must stay running. The argument stopped is the number of the job's replicas
// that this Update has stopped already.
func (tracker *Tracker) mayStop(plan *ActivePlan, step *Step, shard ShardState, stopped int) bool {
	task := shard.Task(step.Job, step.Index)
	if !task.Running || task.Stopping {
		return false
	}
	running, total := shard.RunningReplicas(step.Job)
	if total == 1 && !shard.YieldsTo(step.Job, plan.HeldFor) || total > 1 && 2*(running-stopped-1) < total {
		return false
	}
	return tracker.fitsOn(step, step.To, shard, nil)
}

// markMoved starts the cooldown of a replica.
func (tracker *Tracker) markMoved(now time.Time, team string, step *Step) {
	tracker.teamState(team).recent[replicaKey{step.Job, step.Index}] = now.Add(tracker.Cooldown)
}

// dropPlan removes a plan and marks its team's record as changed.
func (tracker *Tracker) dropPlan(now time.Time, plan *ActivePlan) {
	tracker.removePlan(plan)
	tracker.markChanged(plan.Team, now)
}
