package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// migration.go carries out migrations of replicas: it shows jobs and machines to internal/migration, holds
// places, stops replicas, and starts them at their targets. A migration decides where a replica runs, never
// whether: it starts again only on proof that it has ended and after its record, like any task.

// migrationManager owns the migrations of replicas and the evacuation of hosts for other shard leaders. It is
// part of the shard leader: its methods may be called only while this controller leads a shard. A callback
// compares the shard leader's generation, and calls the manager that is there.
//
// Invariants: a replica is stopped only after its plan is durable, only while the membership lease is surely
// valid, and only for a place that is held for it; what is held for one task no other gets.
//
// At failover the plans are recovered from the records of the teams (recoverRecords); all else is learnt anew.
type migrationManager struct {
	component

	// state is nil until the first call of Controller.migrations with the models capability on.
	state *migrations
}

// migrations is a shard leader's migrations.
type migrations struct {
	tracker *migration.Tracker
	// records, by team, are the stored ones. lastWrite is of any.
	records   map[string]*migrationRecord
	lastWrite time.Time
	// recoveredAt is when records of a predecessor were last recovered.
	recoveredAt time.Time

	// held are the machines with places held, and pinnedUntil the tasks that wait for theirs.
	held        []*machine
	pinnedUntil map[taskKey]time.Time
	// unschedulable are jobs of which a task waits and fits nowhere, by ID.
	unschedulable map[string]*unschedulableReplica

	// evacuation is what shard leaders need of each other.
	evacuation evacuation
	// lastLogged is when the migrations under way were last logged.
	lastLogged time.Time
}

// migrationRecord is a team's record as it stands in the store.
type migrationRecord struct {
	modRevision uint64
	writing     bool
	// rejectedVersion is the version that the store called malformed; it is not sent again.
	rejectedVersion uint64
}

// migrationKey is the key of a team's record.
func migrationKey(team string) string { return record.MigrationPrefix + teamKey(team) }

// migrations returns the shard leader's migrations, nil without one or without the models capability.
func (c *Controller) migrations() *migrations {
	s := c.shardLeader
	if !c.settings.Capabilities.Models || s == nil {
		return nil
	}
	return s.migration.ensureState()
}

// ensureState makes the state on first use.
func (g *migrationManager) ensureState() *migrations {
	if g.state == nil {
		g.state = &migrations{
			tracker: migration.NewTracker(g.settings.Capabilities.MigrationCooldown), records: map[string]*migrationRecord{},
			pinnedUntil: map[taskKey]time.Time{}, unschedulable: map[string]*unschedulableReplica{}, evacuation: evacuation{refusedAt: map[machineKind]time.Time{}},
		}
	}
	g.state.tracker.MaxRecordBytes = g.maxRecordBytes()
	return g.state
}

// maxRecordBytes bounds the record of a team's migrations, as JSON.
func (g *migrationManager) maxRecordBytes() int { return g.settings.MaxValueBytes * 3 / 4 }

// read reads the records of all teams and passes them to then.
func (g *migrationManager) read(then func([]message.KeyValue)) {
	if !g.settings.Capabilities.Models {
		then(nil)
		return
	}
	generation := g.controller.shardLeader.generation
	g.controller.requests.readAll(record.MigrationPrefix, message.PriorityMembership, func() bool {
		return g.controller.shardLeader != nil && g.controller.shardLeader.generation == generation
	}, then)
}

// recoverRecords takes up what predecessors had under way for teams that have come, from items as read.
func (g *migrationManager) recoverRecords(teams []string, items []message.KeyValue) {
	mv := g.controller.migrations()
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
				// Its replicas run, or start like any other.
				g.rejectInput("record", it.Key, err.Error())
			}
		}
	}
	mv.recoveredAt = g.now
	g.updateReservations(mv)
}

// forget drops what is under way for a team that another shard leader has now.
func (g *migrationManager) forget(team string) {
	if mv := g.state; mv != nil {
		mv.tracker.ForgetTeam(team)
		delete(mv.records, team)
		g.updateReservations(mv)
	}
}

// tick carries on the migrations under way, plans others, and writes what has changed.
func (g *migrationManager) tick() {
	mv := g.controller.migrations()
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

// advance stops the replicas that are to be stopped now. Nothing is stopped by a shard leader that can't be sure
// that it is one.
func (g *migrationManager) advance(mv *migrations) {
	if g.now.After(g.controller.membership.leaseValidUntil) {
		return
	}
	for _, s := range mv.tracker.Update(g.now, migrationFacts{g.controller}) {
		j := g.controller.shardLeader.jobs[s.Job]
		t := &j.tasks[s.Index]
		g.info("replica migration started", "job", s.Job, "task", s.Index, "from", t.machine.id)
		t.stopReason = stopDrain
		g.controller.markDispatchPending(t.machine)
	}
	g.updateReservations(mv)
}

// updateReservations keeps other tasks off the places that are held, and the tasks that have a place held off
// other places.
func (g *migrationManager) updateReservations(mv *migrations) {
	s := g.controller.shardLeader
	for _, m := range mv.held {
		m.reservedForMigration, m.evacuatingForOther = model.Resources{}, false
	}
	mv.held = mv.held[:0]
	pinnedUntil := map[taskKey]time.Time{}
	for _, h := range mv.tracker.Holds() {
		if m := s.machines[h.Host]; m != nil {
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
		if j := s.jobs[k.job]; j != nil && k.index < len(j.tasks) && j.tasks[k.index].notBefore.Equal(until) {
			j.tasks[k.index].notBefore = time.Time{}
			s.scheduler.requestPlacement()
		}
	}
	for k, until := range pinnedUntil {
		if j := s.jobs[k.job]; j != nil && k.index < len(j.tasks) {
			j.tasks[k.index].notBefore = until
		}
	}
	mv.pinnedUntil = pinnedUntil
}

// placeReserved starts the tasks that have a place held, there.
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
		// What is held for others is not free, what is held for this task is.
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

// takeReservedTask removes a task from those pending and returns its index: the one that a place on m is held
// for, or for a negative index any of the job; -1 if it is not pending.
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

// migratingResources is what the replicas of other jobs of the team will take again that are down for their
// migration: it stays theirs within the team's quota limit.
func (g *migrationManager) migratingResources(j *job) model.Resources {
	var sum model.Resources
	mv := g.state
	if mv == nil {
		return sum
	}
	for k := range mv.pinnedUntil {
		if other := g.controller.shardLeader.jobs[k.job]; other != nil && other != j && other.Team == j.Team && k.index < len(other.tasks) && other.tasks[k.index].machine == nil {
			sum = sum.AddScaled(other.Need, 1)
		}
	}
	return sum
}

// reservedTasks counts the pending tasks of a job that have a place held, or for which a migration is about to be
// planned: no machine is requested for them meanwhile.
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
