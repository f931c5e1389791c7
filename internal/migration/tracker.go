package migration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxIntents bounds the moves in a team's record.
	MaxIntents = 16
	// maxRecent bounds the replicas in a record that were moved lately.
	maxRecent = 64
	// baseHold is how long a plan may take beyond twice its downtime: for writes, stops with
	// their checkpoints, and heartbeats. maxHold is the longest that capacity is held.
	baseHold = 45 * time.Second
	maxHold  = 5 * time.Minute
	// costSlack is by how much the moves may exceed their cost before their plan is dropped:
	// image fetch rates vary by a third.
	costSlack = 5 * time.Second
)

// Stats sums up the migrations of one tracker.
type Stats struct {
	// Started counts plans, Moved replicas that run on their target, and Dropped moves given
	// up before their replica was stopped.
	Started, Moved, Dropped int
	// LongestDowntime is the longest time from a stop until the replica was seen to run.
	LongestDowntime time.Duration
}

// Limits are what a new plan must keep to.
type Limits struct {
	// MaxRecordBytes bounds the team's record, as JSON.
	MaxRecordBytes int
	// MaxMovingFraction bounds the part of the machines of a kind that replicas move away
	// from at a time; one machine is always allowed.
	MaxMovingFraction float64
	// KindOf names a host's kind, and says how many machines of it there are.
	KindOf func(host string) (string, int)
}

type replicaKey struct {
	job   string
	index int
}

// teamState is what a team's record should hold besides the plans.
type teamState struct {
	// recent is until when replicas that were moved are left alone.
	recent map[replicaKey]time.Time
	// version counts the record's changes; persistedVersion is the one known to be written.
	version, persistedVersion uint64
	// changedSince is when the record first differed from the one written.
	changedSince time.Time
}

// Tracker has the active plans of one shard leader. Instead of being informed of events it asks
// its ShardState anew at each Update, so that what came late, twice or never does no harm, and
// a successor that has only the records goes on in the same way. It is not safe for
// concurrent use.
type Tracker struct {
	// Cooldown is how long a replica that was moved is left alone.
	Cooldown time.Duration
	// MaxRecordBytes bounds a recovered record, as JSON; 0 for no bound.
	MaxRecordBytes int
	Stats          Stats
	plans          []*ActivePlan
	teams          map[string]*teamState
}

// NewTracker returns a tracker without plans.
func NewTracker(cooldown time.Duration) *Tracker {
	return &Tracker{Cooldown: cooldown, teams: map[string]*teamState{}}
}

func (t *Tracker) teamState(team string) *teamState {
	s := t.teams[team]
	if s == nil {
		s = &teamState{recent: map[replicaKey]time.Time{}}
		t.teams[team] = s
	}
	return s
}

func (t *Tracker) markChanged(team string, now time.Time) {
	s := t.teamState(team)
	if s.version == s.persistedVersion {
		s.changedSince = now
	}
	s.version++
}

// Plans are the active plans, in order. The caller must not change them.
func (t *Tracker) Plans() []*ActivePlan { return t.plans }

// MayMove says that a replica is not moving and was not moved lately.
func (t *Tracker) MayMove(now time.Time, job string, index int) bool {
	for _, s := range t.teams {
		if now.Before(s.recent[replicaKey{job, index}]) {
			return false
		}
	}
	return !t.isMoving(job, index)
}

// isMoving says that a plan has a move of the replica.
func (t *Tracker) isMoving(job string, index int) bool {
	return slices.ContainsFunc(t.plans, func(p *ActivePlan) bool { return p.moves(job, index) })
}

func (p *ActivePlan) moves(job string, index int) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Job == job && s.Index == index })
}

// HeldFor counts the tasks of a job for which capacity is held.
func (t *Tracker) HeldFor(job string) int {
	count := 0
	for _, p := range t.plans {
		if p.HeldFor == job && !p.Served {
			count++
		}
	}
	return count
}

// Holds is the capacity held, in order.
func (t *Tracker) Holds() []Hold {
	var out []Hold
	for _, p := range t.plans {
		for i := range p.Steps {
			switch s := &p.Steps[i]; s.State {
			case Waiting, Stopping, Gone:
				out = append(out, Hold{Host: s.To, Job: s.Job, Index: s.Index, Need: s.Need, Until: p.Until})
			case RollingBack:
				out = append(out, Hold{Host: s.From, Job: s.Job, Index: s.Index, Need: s.Need, Until: p.Until})
			}
		}
		if !p.Served {
			out = append(out, Hold{Host: p.Host, Job: p.HeldFor, Index: -1, Need: p.Need, Until: p.Until, Plan: p})
		}
	}
	return out
}

// Start adds a plan of a team, for a task that waits. attempts are those that the plan's moves
// are of, in order. Its capacity is held from now on, and nothing is stopped before
// MarkPersisted. Start returns why the plan can't be started, "" if it was.
func (t *Tracker) Start(now time.Time, team string, task *WaitingTask, plan Plan, maxCost time.Duration, attempts []uint64, limits Limits) string {
	if len(plan.Moves) == 0 || len(plan.Moves) > MaxMoves || len(attempts) != len(plan.Moves) {
		return "plan has no moves or too many"
	}
	id, intents := uint64(now.UnixMilli()), 0
	for _, p := range t.plans {
		if p.Team == team {
			intents += len(p.Steps)
			id = max(id, p.ID+1)
		}
	}
	if intents+len(plan.Moves) > MaxIntents {
		return "too many moves in progress"
	}
	s := t.teamState(team)
	if len(s.recent)+intents+len(plan.Moves) > maxRecent {
		return "too many replicas moved recently"
	}
	p := &ActivePlan{ID: id, Team: team, HeldFor: task.Job, Need: task.Need, Host: plan.Host, MaxCost: maxCost}
	var downtime time.Duration
	for i, m := range plan.Moves {
		if !t.MayMove(now, m.Job, m.Index) || p.moves(m.Job, m.Index) {
			return "replica moving or moved recently"
		}
		p.Steps = append(p.Steps, Step{Move: m, Attempt: attempts[i]})
		downtime += m.Downtime
	}
	if t.exceedsMovingLimit(p, limits) {
		return "too many machines of a kind with moves"
	}
	p.Until = now.Add(min(baseHold+2*downtime, maxHold))
	t.addPlan(p)
	if t.recordBytes(team) > limits.MaxRecordBytes {
		t.removePlan(p)
		return "record full"
	}
	t.markChanged(team, now)
	p.version = s.version
	t.Stats.Started++
	return ""
}

func (t *Tracker) addPlan(p *ActivePlan) {
	t.plans = append(t.plans, p)
	slices.SortFunc(t.plans, func(a, b *ActivePlan) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Team, b.Team)) })
}

func (t *Tracker) removePlan(p *ActivePlan) {
	t.plans = slices.DeleteFunc(t.plans, func(x *ActivePlan) bool { return x == p })
}

// exceedsMovingLimit says that with a new plan replicas would move away from more machines of a
// kind than Limits allow.
func (t *Tracker) exceedsMovingLimit(p *ActivePlan, limits Limits) bool {
	movingHosts := map[string]map[string]bool{}
	machineCounts := map[string]int{}
	note := func(host string) string {
		kind, count := limits.KindOf(host)
		if movingHosts[kind] == nil {
			movingHosts[kind] = map[string]bool{}
		}
		movingHosts[kind][host], machineCounts[kind] = true, count
		return kind
	}
	for _, x := range t.plans {
		for i := range x.Steps {
			if s := &x.Steps[i]; s.State < Starting {
				note(s.From)
			}
		}
	}
	before := map[string]int{}
	for kind, hosts := range movingHosts {
		before[kind] = len(hosts)
	}
	for i := range p.Steps {
		// One plan at a time is allowed however few machines there are.
		if kind := note(p.Steps[i].From); before[kind] > 0 && len(movingHosts[kind]) > int(math.Ceil(limits.MaxMovingFraction*float64(machineCounts[kind]))) {
			return true
		}
	}
	return false
}

// MarkServed notes that the waiting job of a plan got its place.
func (t *Tracker) MarkServed(p *ActivePlan) { p.Served = true }

// ForgetTeam drops a team that another shard takes over; its leader recovers the record.
func (t *Tracker) ForgetTeam(team string) {
	t.plans = slices.DeleteFunc(t.plans, func(p *ActivePlan) bool { return p.Team == team })
	delete(t.teams, team)
}
