package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// migration.go carries out moves of replicas: it shows the owner's books to internal/migration,
// holds places, stops replicas, and starts them at their targets. A move decides where,
// never whether: a replica starts anew only on proof and after its record, like any task.

// migrations is an owner's moves.
type migrations struct {
	tracker *migration.Tracker
	records map[string]*migrationRecord
	// held are the machines with places held, and pinned the tasks that wait for theirs.
	held        []*machine
	pinnedUntil map[taskKey]time.Time
	// recoveredAt is when records of a former owner were last taken up.
	recoveredAt time.Time
	// evacuation is what owners need of each other.
	evacuation evacuation
	// unschedulable are jobs of which a task waits and fits nowhere.
	unschedulable map[string]*unschedulableReplica
	lastWrite     time.Time
	// lastLogged is when the log was last told of what is under way.
	lastLogged time.Time
}

// migrationRecord is a team's record as it stands in the state service.
type migrationRecord struct {
	modRevision uint64
	writing     bool
	// rejectedVersion is the version that the state service called malformed.
	rejectedVersion uint64
}

// migrationKey is the key of a team's record.
func migrationKey(team string) string { return record.MigrationPrefix + teamKey(team) }

// migrationsOf is an owner's moves, nil where models are not switched on.
func migrationsOf(c *Controller) *migrations {
	o := c.shardLeader
	if !c.settings.Capabilities.Models || o == nil {
		return nil
	}
	if o.migration.state == nil {
		o.migration.state = &migrations{
			tracker: migration.NewTracker(c.settings.Capabilities.MigrationCooldown), records: map[string]*migrationRecord{},
			pinnedUntil: map[taskKey]time.Time{}, unschedulable: map[string]*unschedulableReplica{}, evacuation: evacuation{refusedAt: map[machineKind]time.Time{}},
		}
	}
	o.migration.state.tracker.MaxRecordBytes = c.maxMigrationRecordBytes()
	return o.migration.state
}

// maxMigrationRecordBytes bounds the record of a team's moves, as JSON.
func (c *Controller) maxMigrationRecordBytes() int { return c.settings.MaxValueBytes * 3 / 4 }

// read reads the records of moves under way, together with the teams' others, and
// gives them to then.
func (g *migrationManager) read(then func([]message.KeyValue)) {
	if !g.settings.Capabilities.Models {
		then(nil)
		return
	}
	gen := g.controller.shardLeader.generation
	readAll(g.controller, record.MigrationPrefix, message.PriorityMembership, func() bool { return g.controller.shardLeader != nil && g.controller.shardLeader.generation == gen }, then)
}

// recoverRecords takes up what former owners had under way for teams that have come.
func (g *migrationManager) recoverRecords(teams []string, items []message.KeyValue) {
	mv := migrationsOf(g.controller)
	if mv == nil {
		return
	}
	for _, team := range teams {
		rec := &migrationRecord{}
		mv.tracker.ForgetTeam(team)
		mv.records[team] = rec
		for _, it := range items {
			if it.Key != migrationKey(team) {
				continue
			}
			rec.modRevision = it.ModRevision
			if err := mv.tracker.Recover(g.now, team, it.Value); err != nil {
				// Its replicas run, or start on the ordinary path.
				g.rejectInput("record", it.Key, err.Error())
			}
		}
	}
	mv.recoveredAt = g.now
	g.updateReservations(mv)
}

// forget lets go of what is under way for a team that is another owner's now.
func (g *migrationManager) forget(team string) {
	if mv := g.state; mv != nil {
		mv.tracker.ForgetTeam(team)
		delete(mv.records, team)
		g.updateReservations(mv)
	}
}

// tick looks after moves under way, writes them, and plans others.
func (g *migrationManager) tick() {
	mv := migrationsOf(g.controller)
	if mv == nil {
		return
	}
	g.advance(mv)
	if g.now.After(g.controller.membership.leaseValidUntil) {
		return
	}
	g.plan(mv)
	g.write(mv)
}

// advance stops the replicas whose time has come. Nothing is stopped by an owner who
// can't be sure that it is one.
func (g *migrationManager) advance(mv *migrations) {
	if g.now.After(g.controller.membership.leaseValidUntil) {
		return
	}
	for _, s := range mv.tracker.Update(g.now, migrationFacts{g.controller}) {
		j := g.controller.shardLeader.jobs[s.Job]
		t := &j.tasks[s.Index]
		g.info("replica moves", "job", s.Job, "task", s.Index, "from", t.machine.id)
		t.stopReason = stopDrain
		g.controller.markDispatchPending(t.machine)
	}
	g.updateReservations(mv)
}

// updateReservations keeps others off the places that are held, and the tasks that these are
// held for off others.
func (g *migrationManager) updateReservations(mv *migrations) {
	o := g.controller.shardLeader
	for _, m := range mv.held {
		m.reservedForMigration, m.evacuatingForOther = model.Resources{}, false
	}
	mv.held = mv.held[:0]
	pinnedUntil := map[taskKey]time.Time{}
	for _, h := range mv.tracker.Holds() {
		if m := o.machines[h.Host]; m != nil {
			if m.reservedForMigration == (model.Resources{}) {
				mv.held = append(mv.held, m)
			}
			m.reservedForMigration = m.reservedForMigration.AddScaled(h.Need, 1)
			m.evacuatingForOther = m.evacuatingForOther || isEvacuationHold(h.Job)
		}
		if h.Index >= 0 {
			pinnedUntil[taskKey{h.Job, h.Index}] = h.Until
		}
	}
	for k, until := range mv.pinnedUntil {
		if _, still := pinnedUntil[k]; still {
			continue
		}
		if j := o.jobs[k.job]; j != nil && k.index < len(j.tasks) && j.tasks[k.index].notBefore.Equal(until) {
			j.tasks[k.index].notBefore = time.Time{}
			o.scheduler.requestPlacement()
		}
	}
	for k, until := range pinnedUntil {
		if j := o.jobs[k.job]; j != nil && k.index < len(j.tasks) {
			j.tasks[k.index].notBefore = until
		}
	}
	mv.pinnedUntil = pinnedUntil
}

// placeReserved starts what has its place held, there.
func (s *scheduler) placeReserved() {
	mv := s.controller.shardLeader.migration.state
	if mv == nil || len(mv.tracker.Plans()) == 0 {
		return
	}
	s.controller.shardLeader.migration.advance(mv)
	placed := false
	for _, h := range mv.tracker.Holds() {
		j, m := s.controller.shardLeader.jobs[h.Job], s.controller.shardLeader.machines[h.Host]
		if j == nil || m == nil || j.pendingTasks() == 0 || !j.mayStart(s.now) || j.notBefore.After(s.now) || !s.usable(m) {
			continue
		}
		// What is held for others is taken off, what is held for it is not.
		if !j.Need.Fits(m.free().AddScaled(h.Need, 1)) || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.zoneAllowed(m.zone) || !s.withinQuotaLimit(j) {
			continue
		}
		i := s.takeReservedTask(mv, j, h.Index, m)
		if i < 0 {
			continue
		}
		if h.Plan != nil {
			mv.tracker.MarkServed(h.Plan)
		}
		s.startAttempt(j, i, m)
		placed = true
	}
	if placed {
		s.controller.shardLeader.migration.advance(mv)
	}
}

// takeReservedTask takes a task out of those that wait: the one that a place on m is held for,
// or any one of its job's; -1 when it does not wait.
func (s *scheduler) takeReservedTask(mv *migrations, j *job, index int, m *machine) int {
	for k, i := range j.requeued {
		t := &j.tasks[i]
		_, pinned := mv.pinnedUntil[taskKey{j.ID, i}]
		if index >= 0 && i == index || index < 0 && !pinned && !t.notBefore.After(s.now) && !t.avoids(m.id) {
			j.requeued = slices.Delete(j.requeued, k, k+1)
			return i
		}
	}
	if index < 0 && j.nextFresh < len(j.tasks) {
		j.nextFresh++
		return j.nextFresh - 1
	}
	return -1
}

// migratingResources is what replicas of the team that are down for their move will take again:
// it stays theirs within the team's limit.
func (g *migrationManager) migratingResources(j *job) model.Resources {
	var sum model.Resources
	mv := g.state
	if mv == nil {
		return sum
	}
	for k := range mv.pinnedUntil {
		if o := g.controller.shardLeader.jobs[k.job]; o != nil && o != j && o.Team == j.Team && k.index < len(o.tasks) && o.tasks[k.index].machine == nil {
			sum = sum.AddScaled(o.Need, 1)
		}
	}
	return sum
}

// reservedTasks counts the waiting tasks of a job that have a place held, or for which moves
// are being thought about: no machine is rented for them meanwhile.
func (g *migrationManager) reservedTasks(j *job) int {
	mv := g.state
	if mv == nil {
		return 0
	}
	k := mv.tracker.HeldFor(j.ID)
	for _, i := range j.requeued {
		if _, pinned := mv.pinnedUntil[taskKey{j.ID, i}]; pinned {
			k++
		}
	}
	if x := mv.unschedulable[j.ID]; x != nil && x.lastTried.IsZero() && g.now.Sub(x.since) < 2*migrationDelay {
		return j.pendingTasks()
	}
	return k
}

// migrationFacts shows the owner's books to the book of moves.
type migrationFacts struct{ n *Controller }

// movableReplica is a replica that may be moved at all, nil for other tasks.
func (g *migrationManager) movableReplica(id string, index int) (*job, *task) {
	j := g.controller.shardLeader.jobs[id]
	if j == nil || !j.LongRunning || j.Gang || j.cancelled || j.ending || j.elsewhere() || j.borrowedLoan != "" || index >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[index]
}

func (f migrationFacts) Task(id string, index int) migration.Task {
	j, t := f.n.shardLeader.migration.movableReplica(id, index)
	if j == nil {
		return migration.Task{}
	}
	out := migration.Task{Known: true, Attempt: t.attempt, Running: t.isRunning(), Stopping: t.stopReason != stopNone}
	if t.machine != nil {
		out.Host = t.machine.id
	}
	return out
}

func (f migrationFacts) RunningReplicas(id string) (int, int) {
	j := f.n.shardLeader.jobs[id]
	if j == nil {
		return 0, 0
	}
	up := 0
	for i := range j.tasks[:j.nextFresh] {
		if t := &j.tasks[i]; t.isRunning() && t.stopReason == stopNone && !f.n.shardLeader.heartbeats.unresponsive(t.machine) {
			up++
		}
	}
	return up, len(j.tasks)
}

func (f migrationFacts) WaitingTasks(id string) int {
	if isEvacuationHold(id) {
		return int(boolToFloat(f.n.shardLeader.migration.state.evacuationRequest(f.n.now, id) != nil))
	}
	j := f.n.shardLeader.jobs[id]
	if j == nil {
		return 0
	}
	return j.pendingTasks()
}

func (f migrationFacts) FreeCapacity(host string) (model.Resources, bool) {
	m := f.n.shardLeader.machines[host]
	if m == nil {
		return model.Resources{}, false
	}
	return m.free().AddScaled(m.reservedForMigration, 1), f.n.shardLeader.scheduler.usable(m)
}

func (f migrationFacts) Unheard(host string) bool {
	n := f.n
	if _, mine := n.membership.ownedMachine(host); !mine || n.knowledge.released[host] {
		return false
	}
	m := n.shardLeader.machines[host]
	return (m == nil || !m.heard) && n.now.Sub(later(n.shardLeader.readyAt, n.shardLeader.migration.state.recoveredAt)) < 3*n.maxHeartbeatInterval()
}

func (f migrationFacts) Downtime(id, host string) time.Duration {
	j, m := f.n.shardLeader.jobs[id], f.n.shardLeader.machines[host]
	if j == nil || m == nil {
		return 0
	}
	return f.n.knowledge.fetchTime(m, j)
}

func (f migrationFacts) YieldsTo(id, other string) bool {
	j, o := f.n.shardLeader.jobs[id], f.n.shardLeader.jobs[other]
	if h := f.n.shardLeader.migration.state.evacuationRequest(f.n.now, other); h != nil {
		o = &job{JobSpec: neededJobSpec(h)}
	}
	return j != nil && o != nil && f.n.shardLeader.migration.yieldsTo(j, o)
}

// yieldsTo says that a job's only replica may be stopped to make room for another job:
// one that goes before it by the ranking, or stands beside it and is larger.
func (g *migrationManager) yieldsTo(j, other *job) bool {
	switch a, b := g.controller.ranking.rankOf(j), g.controller.ranking.rankOf(other); {
	case a != b:
		return b < a
	case other.Need.GPU != j.Need.GPU:
		return other.Need.GPU > j.Need.GPU
	}
	return other.Need.CPU > j.Need.CPU
}

// migrationsStatus is nil where models are not switched on.
func migrationsStatus(c *Controller) *message.MigrationsStatus {
	if c.shardLeader == nil || c.shardLeader.migration.state == nil {
		return nil
	}
	b := c.shardLeader.migration.state.tracker
	s := &message.MigrationsStatus{Plans: b.Stats.Started, Moved: b.Stats.Moved, Dropped: b.Stats.Dropped, LongestDownSeconds: b.Stats.LongestDowntime.Seconds()}
	for _, e := range b.Plans() {
		for i := range e.Steps {
			x := &e.Steps[i]
			s.InProgress = append(s.InProgress, message.MigrationStatus{
				Job: x.Job, Task: x.Index, From: x.From, To: x.To, For: e.HeldFor, State: x.State.String(),
				ExpectedDownSeconds: x.Downtime.Seconds(), GivenUpInSeconds: e.Until.Sub(c.now).Seconds(),
			})
		}
	}
	return s
}

// migrationManager TODO.
type migrationManager struct {
	component

	// migrations are replicas on the move; see migration.go.
	state *migrations
}
