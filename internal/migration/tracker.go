package migration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// book.go keeps the moves under way. It asks what is known of replicas and hosts anew
// each time it looks, instead of being told of events: what came late, twice or never
// leaves nothing behind in it, and a successor that has only the record goes on in the
// same way.

const (
	// MaxIntents bounds the moves of a record.
	MaxIntents = 16
	// maxRecent bounds the replicas of a record that are remembered as moved lately.
	maxRecent = 64
	// baseHold is how long a plan may take beyond the fetches: writes, stops with their
	// saving, and reports. maxHold is the longest that any place is held.
	baseHold = 45 * time.Second
	maxHold  = 5 * time.Minute
	// costSlack is how much longer than planned moves may take before their plan
	// counts as too dear: rates of fetches vary by a third.
	costSlack = 5 * time.Second
)

// State is how far a move has come.
type State int

// The states of a move. Only the first four hold a place.
const (
	// Waiting: written or being written; its replica runs where it was.
	Waiting State = iota
	// Stopping: told to stop; not known to be gone.
	Stopping
	// Gone: surely nowhere; it may be placed at the target.
	Gone
	// Back: the target is lost, so the place that it came from is held for it.
	RollingBack
	// Starting: placed at the target, and not seen to run.
	Starting
	// Settled: it runs there, or elsewhere, or its job is over.
	Settled
	// Dropped before the stop.
	Dropped
)

func (s State) String() string {
	return [...]string{"waiting", "stopping", "gone", "back", "starting", "settled", "dropped"}[s]
}

// Step is one move of a plan under way. Try is the attempt that is moved: a later one
// shows that the move is done, or was overtaken.
type Step struct {
	Move
	Attempt uint64
	State   State
	// stopped is when it was told to stop, if by this owner.
	stopped time.Time
}

// Stats sums up what one owner has seen of moves.
type Stats struct {
	Started, Moved, Dropped int
	// LongestDowntime is the longest time from a stop until the replica was seen to run.
	LongestDowntime time.Duration
}

// ActivePlan is a plan under way.
type ActivePlan struct {
	// ID is unique in its team's record.
	ID   uint64
	Team string
	// HeldFor is the job that waits, and Host the place held for one task of it.
	HeldFor string
	Need    resource.Resources
	Host    string
	Until   time.Time
	// MaxCost is what the rest of the moves may cost before the plan is dropped.
	MaxCost time.Duration
	Steps   []Step
	// Served: the job that waited has its place, or can't have this one; nothing is
	// held for it any more.
	Served bool
	// version is the version of the record in which it came, and durable that one as new
	// is known to be written.
	version uint64
	durable bool
	// waits: a host of it is still to be heard of.
	awaitingHosts bool
}

// Hold is room on a host that only one task may take, or any one of a job (Index -1).
type Hold struct {
	Host  string
	Job   string
	Index int
	Need  resource.Resources
	Until time.Time
	// Plan is the plan for which a job's place is held.
	Plan *ActivePlan
}

// Task is what the owner's books say of a replica now.
type Task struct {
	// Known: its job is in the books, and neither cancelled nor over.
	Known bool
	// Host is where its attempt Try is or may be; "" when it surely is nowhere.
	Host    string
	Attempt uint64
	Running bool
	// Stopping: it is being stopped, for whatever reason.
	Stopping bool
}

// ShardState are the owner's books.
type ShardState interface {
	Task(job string, index int) Task
	// RunningReplicas counts a job's replicas that run and are not being stopped, and of all.
	RunningReplicas(job string) (up, of int)
	// WaitingTasks counts a job's tasks that wait for a place; 0 when it is over, or
	// another owner's.
	WaitingTasks(job string) int
	// FreeCapacity is what tasks leave of a host, places held not taken off, and whether tasks
	// may be placed there at all.
	FreeCapacity(host string) (resource.Resources, bool)
	// Unheard says that nothing has been heard of a host since a takeover, though it
	// most likely will be.
	Unheard(host string) bool
	// Downtime is how long a replica of the job would be down, moved there now.
	Downtime(job, host string) time.Duration
	// YieldsTo says that a job's only replica may be stopped for the other job.
	YieldsTo(job, other string) bool
}

// StopRequest is a replica that is to be stopped now, saving its work.
type StopRequest struct {
	Job     string
	Index   int
	Attempt uint64
}

// Limits are what a new plan must keep to.
type Limits struct {
	// MaxRecordBytes bounds the record, as JSON.
	MaxRecordBytes int
	// MaxMovingFraction is the part of the machines of a kind on which replicas may be moving, one
	// at least. Kind names a host's kind and says how many such there are.
	MaxMovingFraction float64
	KindOf            func(host string) (string, int)
}

type replicaKey struct {
	job   string
	index int
}

// teamState is a team's record.
type teamState struct {
	recent map[replicaKey]time.Time
	// version rises with each change, and saved is the one known to be written.
	version, persistedVersion uint64
	changedSince              time.Time
}

// Tracker is the moves under way of one owner.
type Tracker struct {
	// Cooldown is how long a replica that was moved is left alone.
	Cooldown time.Duration
	// MaxRecordBytes bounds a record that is taken up, as JSON; 0 for not at all.
	MaxRecordBytes int
	Stats          Stats
	plans          []*ActivePlan
	teams          map[string]*teamState
}

// NewTracker makes an empty book.
func NewTracker(cooldown time.Duration) *Tracker {
	return &Tracker{Cooldown: cooldown, teams: map[string]*teamState{}}
}

func (b *Tracker) teamState(team string) *teamState {
	s := b.teams[team]
	if s == nil {
		s = &teamState{recent: map[replicaKey]time.Time{}}
		b.teams[team] = s
	}
	return s
}

func (b *Tracker) markChanged(team string, now time.Time) {
	s := b.teamState(team)
	if s.version == s.persistedVersion {
		s.changedSince = now
	}
	s.version++
}

// Plans are the plans under way, in order. They are not to be changed.
func (b *Tracker) Plans() []*ActivePlan { return b.plans }

// MayMove says that a replica is not on the move and was not moved lately.
func (b *Tracker) MayMove(now time.Time, job string, index int) bool {
	for _, s := range b.teams {
		if now.Before(s.recent[replicaKey{job, index}]) {
			return false
		}
	}
	return !b.isMoving(job, index)
}

// isMoving says that a plan has a move of the replica.
func (b *Tracker) isMoving(job string, index int) bool {
	return slices.ContainsFunc(b.plans, func(e *ActivePlan) bool {
		return slices.ContainsFunc(e.Steps, func(s Step) bool { return s.Job == job && s.Index == index })
	})
}

// HeldFor counts the places held for tasks of a job that wait.
func (b *Tracker) HeldFor(job string) int {
	count := 0
	for _, e := range b.plans {
		if e.HeldFor == job && !e.Served {
			count++
		}
	}
	return count
}

// Start takes a plan up; tries are the attempts that its moves are of, in order. Its
// places are held from now on, and nothing is stopped before Saved. It says what stands
// against the plan, "" if nothing does.
func (b *Tracker) Start(now time.Time, team string, task *WaitingTask, plan Plan, maxCost time.Duration, attempts []uint64, limits Limits) string {
	if len(plan.Moves) == 0 || len(plan.Moves) > MaxMoves || len(attempts) != len(plan.Moves) {
		return "it has no moves, or too many"
	}
	id, intents := uint64(now.UnixMilli()), 0
	for _, e := range b.plans {
		if e.Team == team {
			intents += len(e.Steps)
			id = max(id, e.ID+1)
		}
	}
	if intents+len(plan.Moves) > MaxIntents {
		return "too many moves are under way"
	}
	s := b.teamState(team)
	if len(s.recent)+intents+len(plan.Moves) > maxRecent {
		return "too many replicas were moved lately"
	}
	e := &ActivePlan{ID: id, Team: team, HeldFor: task.Job, Need: task.Need, Host: plan.Host, MaxCost: maxCost}
	var downtime time.Duration
	for i, m := range plan.Moves {
		if !b.MayMove(now, m.Job, m.Index) || slices.ContainsFunc(e.Steps, func(s Step) bool { return s.Job == m.Job && s.Index == m.Index }) {
			return "a replica of it is on the move, or was lately"
		}
		e.Steps = append(e.Steps, Step{Move: m, Attempt: attempts[i]})
		downtime += m.Downtime
	}
	if b.exceedsMovingLimit(e, limits) {
		return "too many machines of a kind have moves"
	}
	e.Until = now.Add(min(baseHold+2*downtime, maxHold))
	b.addPlan(e)
	if b.recordBytes(team) > limits.MaxRecordBytes {
		b.plans = slices.DeleteFunc(b.plans, func(x *ActivePlan) bool { return x == e })
		return "the record is full"
	}
	b.markChanged(team, now)
	e.version = s.version
	b.Stats.Started++
	return ""
}

func (b *Tracker) addPlan(e *ActivePlan) {
	b.plans = append(b.plans, e)
	slices.SortFunc(b.plans, func(a, b *ActivePlan) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Team, b.Team)) })
}

// exceedsMovingLimit says that with the entry replicas would be stopped on more machines of a kind
// than may be.
func (b *Tracker) exceedsMovingLimit(e *ActivePlan, limits Limits) bool {
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
	for _, x := range b.plans {
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
	for i := range e.Steps {
		// One plan at a time may always be, however small the pool.
		if kind := note(e.Steps[i].From); before[kind] > 0 && len(movingHosts[kind]) > int(math.Ceil(limits.MaxMovingFraction*float64(machineCounts[kind]))) {
			return true
		}
	}
	return false
}

// Holds are the places held, in order.
func (b *Tracker) Holds() []Hold {
	var out []Hold
	for _, e := range b.plans {
		for i := range e.Steps {
			switch s := &e.Steps[i]; s.State {
			case Waiting, Stopping, Gone:
				out = append(out, Hold{Host: s.To, Job: s.Job, Index: s.Index, Need: s.Need, Until: e.Until})
			case RollingBack:
				out = append(out, Hold{Host: s.From, Job: s.Job, Index: s.Index, Need: s.Need, Until: e.Until})
			}
		}
		if !e.Served {
			out = append(out, Hold{Host: e.Host, Job: e.HeldFor, Index: -1, Need: e.Need, Until: e.Until, Plan: e})
		}
	}
	return out
}

// Update brings the moves in step with the books and says which replicas are to be
// stopped now.
func (b *Tracker) Update(now time.Time, f ShardState) []StopRequest {
	var stops []StopRequest
	served, stopped := map[string]int{}, map[string]int{}
	// All of them first: what goes back takes room, which no stop may count on.
	for _, e := range slices.Clone(b.plans) {
		if !now.Before(e.Until) {
			// Whatever it still waits for goes the ordinary way.
			b.dropPlan(now, e)
			continue
		}
		if e.awaitingHosts = e.hasUnheardHost(f); e.awaitingHosts {
			continue
		}
		for i := range e.Steps {
			b.updateStep(now, e, &e.Steps[i], f)
		}
		if !e.Served {
			served[e.HeldFor]++
			e.Served = served[e.HeldFor] > f.WaitingTasks(e.HeldFor) || e.isInfeasible(f)
		}
	}
	for _, e := range slices.Clone(b.plans) {
		if e.awaitingHosts {
			continue
		}
		finished := e.Served
		for i := range e.Steps {
			s := &e.Steps[i]
			switch {
			case s.State != Waiting:
				finished = finished && s.State >= Settled
			case e.Served:
				s.State = Dropped
				b.Stats.Dropped++
			case e.durable && b.mayStop(e, s, f, stopped[s.Job]):
				s.State, s.stopped = Stopping, now
				stopped[s.Job]++
				b.markMoved(now, e.Team, s)
				stops = append(stops, StopRequest{s.Job, s.Index, s.Attempt})
			}
		}
		if finished {
			b.dropPlan(now, e)
		}
	}
	for team, s := range b.teams {
		for k, until := range s.recent {
			if !now.Before(until) {
				delete(s.recent, k)
				if len(s.recent) == 0 {
					b.markChanged(team, now)
				}
			}
		}
	}
	return stops
}

// hasUnheardHost says that a host of the plan may still be heard of after a takeover: until
// then its places are held, and nothing is decided.
func (e *ActivePlan) hasUnheardHost(f ShardState) bool {
	return !e.Served && f.Unheard(e.Host) || slices.ContainsFunc(e.Steps, func(s Step) bool {
		return s.State < Starting && (f.Unheard(s.From) || f.Unheard(s.To))
	})
}

// updateStep takes in what has become of a replica.
func (b *Tracker) updateStep(now time.Time, e *ActivePlan, s *Step, f ShardState) {
	previous := s.State
	if previous == Settled || previous == Dropped {
		return
	}
	t := f.Task(s.Job, s.Index)
	switch {
	case !t.Known:
		s.State = Settled
	case t.Host == "" && t.Attempt > s.Attempt:
		// Placed since, and lost again: no longer this move's business.
		s.State = Settled
	case t.Host == "" && previous != RollingBack && b.hasRoom(s, s.To, f, nil):
		s.State = Gone
	case t.Host == "":
		// Its target is lost, or has no room yet for one that was lost unasked. It is
		// not to wait for it: back, if that is still possible, to where the plan's
		// other job is then not to come.
		if s.State = RollingBack; !b.hasRoom(s, s.From, f, e) {
			s.State = Settled
		}
	case t.Attempt > s.Attempt && t.Host == s.To && !t.Running:
		s.State = Starting
	case t.Attempt > s.Attempt:
		s.State = Settled
	case t.Attempt < s.Attempt || t.Host != s.From:
		// A record that doesn't fit the books.
		s.State = Settled
	case t.Stopping:
		s.State = Stopping
	}
	if previous == Waiting && s.State != Waiting {
		b.markMoved(now, e.Team, s)
	}
	if s.State == Settled && t.Running && t.Host == s.To && !s.stopped.IsZero() {
		b.Stats.Moved++
		b.Stats.LongestDowntime = max(b.Stats.LongestDowntime, now.Sub(s.stopped))
	}
}

// hasRoom says whether a host has room for a replica beside what is held there for others,
// but for the job that a plan without is for.
func (b *Tracker) hasRoom(s *Step, host string, f ShardState, except *ActivePlan) bool {
	free, ok := f.FreeCapacity(host)
	if !ok {
		return false
	}
	for _, h := range b.Holds() {
		if h.Host == host && (h.Job != s.Job || h.Index != s.Index) && (h.Plan == nil || h.Plan != except) {
			free = free.AddScaled(h.Need, -1)
		}
	}
	return s.Need.Fits(free)
}

func usable(f ShardState, host string) bool {
	_, ok := f.FreeCapacity(host)
	return ok
}

// isInfeasible says that a plan cannot end well any more, or costs more than what it was
// weighed against.
func (e *ActivePlan) isInfeasible(f ShardState) bool {
	if !usable(f, e.Host) {
		return true
	}
	var downtime, planned time.Duration
	for i := range e.Steps {
		s := &e.Steps[i]
		switch {
		case s.State == RollingBack || s.State == Dropped:
			return true
		case s.State == Waiting && !usable(f, s.To):
			return true
		case s.State == Waiting:
			downtime += f.Downtime(s.Job, s.To)
			planned += s.Downtime
		}
	}
	return downtime > max(e.MaxCost, planned)+costSlack
}

// mayStop says that a replica may be stopped now: it runs, its place is free, and its
// job can do without it.
func (b *Tracker) mayStop(e *ActivePlan, s *Step, f ShardState, stopped int) bool {
	t := f.Task(s.Job, s.Index)
	if !t.Running || t.Stopping {
		return false
	}
	running, total := f.RunningReplicas(s.Job)
	if total == 1 && !f.YieldsTo(s.Job, e.HeldFor) || total > 1 && 2*(running-stopped-1) < total {
		return false
	}
	return b.hasRoom(s, s.To, f, nil)
}

// MarkServed notes that the job of a plan got its place.
func (b *Tracker) MarkServed(e *ActivePlan) { e.Served = true }

func (b *Tracker) markMoved(now time.Time, team string, s *Step) {
	b.teamState(team).recent[replicaKey{s.Job, s.Index}] = now.Add(b.Cooldown)
}

func (b *Tracker) dropPlan(now time.Time, e *ActivePlan) {
	b.plans = slices.DeleteFunc(b.plans, func(x *ActivePlan) bool { return x == e })
	b.markChanged(e.Team, now)
}

// ForgetTeam drops what is under way for a team that goes to another owner, who reads of it.
func (b *Tracker) ForgetTeam(team string) {
	b.plans = slices.DeleteFunc(b.plans, func(e *ActivePlan) bool { return e.Team == team })
	delete(b.teams, team)
}
