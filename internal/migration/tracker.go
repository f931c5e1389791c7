package migration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxRecordMoves bounds the number of moves in a team's record.
	MaxRecordMoves = 16
	// maxRecent bounds the number of recently moved replicas in a team's record.
	maxRecent = 64
	// baseHold is how long a plan may take in addition to twice its downtime. It covers writes,
	// stops with their checkpoints, and heartbeats.
	baseHold = 45 * time.Second
	// maxHold is the longest time that capacity is held for a plan.
	maxHold = 5 * time.Minute
	// costSlack is by how much the expected downtime of the remaining moves may exceed the
	// plan's cost limit before the plan is dropped. Image fetch rates vary by a third.
	costSlack = 5 * time.Second
)

// Stats are the totals of the migrations of one tracker.
type Stats struct {
	// Started counts plans that were started, Moved replicas that run on their target, and
	// Dropped moves that were given up before their replica was stopped.
	Started, Moved, Dropped int
	// LongestDowntime is the longest time from the stop of a replica until it was reported as
	// running on its target.
	LongestDowntime time.Duration
}

// Limits are the limits for a new plan.
type Limits struct {
	// MaxRecordBytes bounds the team's record, in bytes of JSON.
	MaxRecordBytes int
	// MaxMovingFraction bounds the fraction of the machines of a kind that replicas move away
	// from at the same time. One plan is allowed whatever the fraction.
	MaxMovingFraction float64
	// KindOf returns the name of a host's machine kind and the number of machines of that kind.
	KindOf func(host string) (string, int)
}

// replicaKey identifies a replica by its job and task index.
type replicaKey struct {
	job   string
	index int
}

// teamState is the state of a team's record except for its plans.
type teamState struct {
	// recent are the recently moved replicas, with the end of each cooldown.
	recent map[replicaKey]time.Time
	// version counts the changes of the record. persistedVersion is the latest version that is
	// known to be written.
	version, persistedVersion uint64
	// changedSince is when the record first differed from the written one.
	changedSince time.Time
}

// Tracker tracks the active plans of one shard leader. It is not notified of events: at each Update it
// reads the current state from a ShardState. Late, repeated or lost events therefore do no harm, and
// a successor that has only the records continues in the same way. A Tracker is not safe for
// concurrent use.
type Tracker struct {
	// Cooldown is how long a replica may not move again after a move.
	Cooldown time.Duration
	// MaxRecordBytes bounds a recovered record, in bytes of JSON; 0 means no bound.
	MaxRecordBytes int
	Stats          Stats
	plans          []*ActivePlan
	teams          map[string]*teamState
}

// NewTracker returns a tracker with the given cooldown and no plans.
func NewTracker(cooldown time.Duration) *Tracker {
	return &Tracker{Cooldown: cooldown, teams: map[string]*teamState{}}
}

// teamState returns the state of a team, which it creates if needed.
func (tracker *Tracker) teamState(team string) *teamState {
	state := tracker.teams[team]
	if state == nil {
		state = &teamState{recent: map[replicaKey]time.Time{}}
		tracker.teams[team] = state
	}
	return state
}

// markChanged increments the version of a team's record, so that a write becomes due.
func (tracker *Tracker) markChanged(team string, now time.Time) {
	state := tracker.teamState(team)
	if state.version == state.persistedVersion {
		state.changedSince = now
	}
	state.version++
}

// Plans returns the active plans, ordered by ID and team. The caller must not change them.
func (tracker *Tracker) Plans() []*ActivePlan { return tracker.plans }

// MayMove reports whether a replica is neither moving nor in its cooldown after a move.
func (tracker *Tracker) MayMove(now time.Time, job string, index int) bool {
	for _, state := range tracker.teams {
		if now.Before(state.recent[replicaKey{job, index}]) {
			return false
		}
	}
	return !tracker.isMoving(job, index)
}

// isMoving reports whether a plan contains a move of the replica.
func (tracker *Tracker) isMoving(job string, index int) bool {
	return slices.ContainsFunc(tracker.plans, func(plan *ActivePlan) bool { return plan.moves(job, index) })
}

// moves reports whether the plan contains a move of the replica.
func (plan *ActivePlan) moves(job string, index int) bool {
	return slices.ContainsFunc(plan.Steps, func(step Step) bool { return step.Job == job && step.Index == index })
}

// HeldFor counts the plans that hold capacity for a waiting task of the job.
func (tracker *Tracker) HeldFor(job string) int {
	count := 0
	for _, plan := range tracker.plans {
		if plan.HeldFor == job && !plan.Served {
			count++
		}
	}
	return count
}

// Holds returns the capacity held by the plans, in the order of the plans.
func (tracker *Tracker) Holds() []Hold {
	var out []Hold
	for _, plan := range tracker.plans {
		for i := range plan.Steps {
			switch step := &plan.Steps[i]; step.State {
			case Waiting, Stopping, Gone:
				out = append(out, Hold{Host: step.To, Job: step.Job, Index: step.Index, Need: step.Need, Until: plan.Until})
			case RollingBack:
				out = append(out, Hold{Host: step.From, Job: step.Job, Index: step.Index, Need: step.Need, Until: plan.Until})
			}
		}
		if !plan.Served {
			out = append(out, Hold{Host: plan.Host, Job: plan.HeldFor, Index: -1, Need: plan.Need, Until: plan.Until, Plan: plan})
		}
	}
	return out
}

// Start adds a plan for a waiting task to a team's plans. The attempts are the current attempts of the
// replicas that the plan moves, in the order of the moves. The plan's capacity is held from now on.
// No replica is stopped before MarkPersisted reports the plan as durable. Start returns "" if the plan
// was started, otherwise the reason why not.
func (tracker *Tracker) Start(now time.Time, team string, task *WaitingTask, plan Plan, maxCost time.Duration, attempts []uint64, limits Limits) string {
	if len(plan.Moves) == 0 || len(plan.Moves) > MaxMoves || len(attempts) != len(plan.Moves) {
		return "plan has no moves, too many moves or a wrong number of attempts"
	}
	id, moveCount := uint64(now.UnixMilli()), 0
	for _, active := range tracker.plans {
		if active.Team == team {
			moveCount += len(active.Steps)
			id = max(id, active.ID+1)
		}
	}
	if moveCount+len(plan.Moves) > MaxRecordMoves {
		return "too many moves in progress"
	}
	state := tracker.teamState(team)
	if len(state.recent)+moveCount+len(plan.Moves) > maxRecent {
		return "too many replicas moved recently"
	}
	active := &ActivePlan{ID: id, Team: team, HeldFor: task.Job, Need: task.Need, Host: plan.Host, MaxCost: maxCost}
	var downtime time.Duration
	for i, move := range plan.Moves {
		if !tracker.MayMove(now, move.Job, move.Index) || active.moves(move.Job, move.Index) {
			return "replica is moving or was moved recently"
		}
		active.Steps = append(active.Steps, Step{Move: move, Attempt: attempts[i]})
		downtime += move.Downtime
	}
	if tracker.exceedsMovingLimit(active, limits) {
		return "too many machines of a kind with moving replicas"
	}
	active.Until = now.Add(min(baseHold+2*downtime, maxHold))
	tracker.addPlan(active)
	if tracker.recordBytes(team) > limits.MaxRecordBytes {
		tracker.removePlan(active)
		return "migration record too large"
	}
	tracker.markChanged(team, now)
	active.version = state.version
	tracker.Stats.Started++
	return ""
}

// addPlan adds a plan and keeps the plans in order.
func (tracker *Tracker) addPlan(plan *ActivePlan) {
	tracker.plans = append(tracker.plans, plan)
	slices.SortFunc(tracker.plans, func(a, b *ActivePlan) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Team, b.Team)) })
}

// removePlan removes a plan without a change of the record's version.
func (tracker *Tracker) removePlan(plan *ActivePlan) {
	tracker.plans = slices.DeleteFunc(tracker.plans, func(other *ActivePlan) bool { return other == plan })
}

// exceedsMovingLimit reports whether with a new plan replicas would move away from more machines of
// a kind than the limits allow.
func (tracker *Tracker) exceedsMovingLimit(plan *ActivePlan, limits Limits) bool {
	movingHosts := map[string]map[string]bool{}
	machineCounts := map[string]int{}
	countHost := func(host string) string {
		kind, count := limits.KindOf(host)
		if movingHosts[kind] == nil {
			movingHosts[kind] = map[string]bool{}
		}
		movingHosts[kind][host], machineCounts[kind] = true, count
		return kind
	}
	for _, other := range tracker.plans {
		for i := range other.Steps {
			if step := &other.Steps[i]; step.State < Starting {
				countHost(step.From)
			}
		}
	}
	before := map[string]int{}
	for kind, hosts := range movingHosts {
		before[kind] = len(hosts)
	}
	for i := range plan.Steps {
		// A kind from whose machines no replica moves is not limited: one plan at a time is
		// allowed however few machines there are.
		if kind := countHost(plan.Steps[i].From); before[kind] > 0 && len(movingHosts[kind]) > int(math.Ceil(limits.MaxMovingFraction*float64(machineCounts[kind]))) {
			return true
		}
	}
	return false
}

// MarkServed records that a task of the plan's waiting job has been placed.
func (tracker *Tracker) MarkServed(plan *ActivePlan) { plan.Served = true }

// ForgetTeam drops the state of a team that another shard takes over. The leader of that shard recovers
// the team's record.
func (tracker *Tracker) ForgetTeam(team string) {
	tracker.plans = slices.DeleteFunc(tracker.plans, func(plan *ActivePlan) bool { return plan.Team == team })
	delete(tracker.teams, team)
}
