package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// migration.go carries out migrations of replicas: it passes the state of jobs and machines to
// internal/migration, reserves capacity, stops replicas, and starts them on their target machines. A
// migration decides where a replica runs, never whether it runs. Like any task, a migrated replica is started
// again only after proof that its former attempt has ended and after the record of the new attempt is
// durable.

// migrationManager owns the migrations of replicas and the evacuation of hosts for other shard leaders. It is
// part of the shard leader: its methods may be called only while this controller leads a shard. A callback
// compares the shard leader's generation with the one at the time of the request, and calls the manager of
// the current shard leader.
//
// Invariants: a replica is stopped only after its plan is durable, only while the membership lease is
// certainly valid, and only if capacity is reserved for it on its target. Capacity that is reserved for one
// task is given to no other task.
//
// At failover the plans are recovered from the records of the teams (recoverRecords). All other state is
// rebuilt from heartbeats and updates.
type migrationManager struct {
	component

	// state is nil until the first call of Controller.migrations with the models capability enabled.
	state *migrationState
}

// migrationState is the state of a shard leader's migrations.
type migrationState struct {
	tracker *migration.Tracker
	// records are the teams' records in the store, by team. lastWrite is the time of the last write to any of
	// them.
	records   map[string]*migrationRecord
	lastWrite time.Time
	// recoveredAt is when the records of a former shard leader were last recovered.
	recoveredAt time.Time

	// held are the machines with reserved capacity. pinnedUntil maps each task for which capacity is reserved to
	// the end of that reservation.
	held        []*machine
	pinnedUntil map[taskKey]time.Time
	// unschedulable are the jobs with a pending task that fits on no machine, by job ID.
	unschedulable map[string]*unschedulableReplica

	// evacuation is the exchange of host needs and evacuation costs with other shard leaders.
	evacuation evacuation
	// lastLogged is when the migrations in progress were last logged.
	lastLogged time.Time
}

// migrationRecord is the state of a team's record in the store.
type migrationRecord struct {
	modRevision uint64
	// writing is true while a write or a read of the record is in flight.
	writing bool
	// rejectedVersion is the version that the store rejected as malformed; it is not sent again.
	rejectedVersion uint64
}

// migrationKey returns the store key of a team's record.
func migrationKey(team string) string { return record.MigrationPrefix + teamKey(team) }

// migrations returns the shard leader's migrations. It is nil if this controller leads no shard or if the
// models capability is disabled.
func (controller *Controller) migrations() *migrationState {
	shardLeader := controller.shardLeader
	if !controller.settings.Capabilities.Models || shardLeader == nil {
		return nil
	}
	return shardLeader.migration.ensureState()
}

// ensureState creates the state on first use and returns it.
func (migrations *migrationManager) ensureState() *migrationState {
	if migrations.state == nil {
		migrations.state = &migrationState{
			tracker: migration.NewTracker(migrations.settings.Capabilities.MigrationCooldown), records: map[string]*migrationRecord{},
			pinnedUntil: map[taskKey]time.Time{}, unschedulable: map[string]*unschedulableReplica{}, evacuation: evacuation{refusedAt: map[machineKind]time.Time{}},
		}
	}
	migrations.state.tracker.MaxRecordBytes = migrations.maxRecordBytes()
	return migrations.state
}

// maxRecordBytes returns the largest size of a team's migration record, in bytes of JSON.
func (migrations *migrationManager) maxRecordBytes() int {
	return migrations.settings.MaxValueBytes * 3 / 4
}

// read reads the migration records of all teams and passes them to then. It passes nil if the models
// capability is disabled.
func (migrations *migrationManager) read(then func([]message.KeyValue)) {
	if !migrations.settings.Capabilities.Models {
		then(nil)
		return
	}
	generation := migrations.controller.shardLeader.generation
	migrations.controller.requests.readAll(record.MigrationPrefix, message.PriorityMembership, func() bool {
		return migrations.controller.shardLeader != nil && migrations.controller.shardLeader.generation == generation
	}, then)
}

// recoverRecords resumes the migrations that a former shard leader had in progress for the given teams, which
// have just been assigned to this one. The items are the records as read from the store.
func (migrations *migrationManager) recoverRecords(teams []string, items []message.KeyValue) {
	state := migrations.controller.migrations()
	if state == nil {
		return
	}
	for _, team := range teams {
		rec := &migrationRecord{}
		state.tracker.ForgetTeam(team)
		state.records[team] = rec
		for _, item := range items {
			if item.Key != migrationKey(team) {
				continue
			}
			rec.modRevision = item.ModRevision
			if err := state.tracker.Recover(migrations.now, team, item.Value); err != nil {
				// The plans of an invalid record are given up: the replicas in it go on running, or are placed
				// like any other task.
				migrations.rejectInput("record", item.Key, err.Error())
			}
		}
	}
	state.recoveredAt = migrations.now
	migrations.updateReservations(state)
}

// forget drops the migrations of a team that belongs to another shard leader.
func (migrations *migrationManager) forget(team string) {
	if state := migrations.state; state != nil {
		state.tracker.ForgetTeam(team)
		delete(state.records, team)
		migrations.updateReservations(state)
	}
}

// tick advances the migrations in progress, plans new ones, and writes changed records.
func (migrations *migrationManager) tick() {
	state := migrations.controller.migrations()
	if state == nil {
		return
	}
	migrations.advance(state)
	if migrations.now.After(migrations.controller.membership.leaseValidUntil) {
		return
	}
	migrations.plan(state)
	migrations.write(state)
}

// advance stops the replicas whose migration is due, and updates the reservations. It does nothing if the
// membership lease may have ended, since another controller may then lead the shard.
func (migrations *migrationManager) advance(state *migrationState) {
	if migrations.now.After(migrations.controller.membership.leaseValidUntil) {
		return
	}
	for _, stop := range state.tracker.Update(migrations.now, migrationFacts{migrations.controller}) {
		job := migrations.controller.shardLeader.jobs[stop.Job]
		task := &job.tasks[stop.Index]
		migrations.info("replica migration started", "job", stop.Job, "task", stop.Index, "from", task.machine.id)
		task.stopReason = stopDrain
		migrations.controller.markDispatchPending(task.machine)
	}
	migrations.updateReservations(state)
}

// updateReservations applies the tracker's holds to machines and tasks. Other tasks can't use the reserved
// capacity, and a task for which capacity is reserved is placed only there until its reservation ends.
func (migrations *migrationManager) updateReservations(state *migrationState) {
	shardLeader := migrations.controller.shardLeader
	for _, machine := range state.held {
		machine.reservedForMigration, machine.evacuatingForOtherShard = model.Resources{}, false
	}
	state.held = state.held[:0]
	pinnedUntil := map[taskKey]time.Time{}
	for _, hold := range state.tracker.Holds() {
		if machine := shardLeader.machines[hold.Host]; machine != nil {
			if machine.reservedForMigration == (model.Resources{}) {
				state.held = append(state.held, machine)
			}
			machine.reservedForMigration = machine.reservedForMigration.AddScaled(hold.Need, 1)
			machine.evacuatingForOtherShard = machine.evacuatingForOtherShard || isEvacuationHold(hold.Job)
		}
		if hold.Index >= 0 {
			pinnedUntil[taskKey{hold.Job, hold.Index}] = hold.Until
		}
	}
	for key, until := range state.pinnedUntil {
		if _, still := pinnedUntil[key]; still {
			continue
		}
		if job := shardLeader.jobs[key.job]; job != nil && key.index < len(job.tasks) && job.tasks[key.index].notBefore.Equal(until) {
			job.tasks[key.index].notBefore = time.Time{}
			shardLeader.scheduler.requestPlacement()
		}
	}
	for key, until := range pinnedUntil {
		if job := shardLeader.jobs[key.job]; job != nil && key.index < len(job.tasks) {
			job.tasks[key.index].notBefore = until
		}
	}
	state.pinnedUntil = pinnedUntil
}

// placeReserved starts the pending tasks for which capacity is reserved, on the machine where it is reserved.
func (scheduler *scheduler) placeReserved() {
	state := scheduler.controller.shardLeader.migration.state
	if state == nil || len(state.tracker.Plans()) == 0 {
		return
	}
	scheduler.controller.shardLeader.migration.advance(state)
	placed := false
	for _, hold := range state.tracker.Holds() {
		job, machine := scheduler.controller.shardLeader.jobs[hold.Job], scheduler.controller.shardLeader.machines[hold.Host]
		if job == nil || machine == nil || job.pendingTasks() == 0 || !job.mayStart(scheduler.now) || job.notBefore.After(scheduler.now) || !scheduler.usable(machine) {
			continue
		}
		// The free capacity excludes all reservations, so the one for this task is added again.
		if !job.Need.Fits(machine.free().AddScaled(hold.Need, 1)) || !job.allowsMachine(machine.machineType, machine.zone, machine.spot) || !job.zoneAllowed(machine.zone) || !scheduler.withinQuotaLimit(job) {
			continue
		}
		index := scheduler.takeReservedTask(state, job, hold.Index, machine)
		if index < 0 {
			continue
		}
		if hold.Plan != nil {
			state.tracker.MarkServed(hold.Plan)
		}
		scheduler.startAttempt(job, index, machine)
		placed = true
	}
	if placed {
		scheduler.controller.shardLeader.migration.advance(state)
	}
}

// takeReservedTask removes a task from the pending tasks of a job and returns its index, or -1 if there is
// none to take. It takes the task with the given index. With a negative index it takes any pending task for
// which no other capacity is reserved and that may run on the machine.
func (scheduler *scheduler) takeReservedTask(state *migrationState, job *job, index int, machine *machine) int {
	for position, taskIndex := range job.requeued {
		task := &job.tasks[taskIndex]
		_, pinned := state.pinnedUntil[taskKey{job.ID, taskIndex}]
		if index >= 0 && taskIndex == index || index < 0 && !pinned && !task.notBefore.After(scheduler.now) && !task.avoids(machine.id) {
			job.requeued = slices.Delete(job.requeued, position, position+1)
			return taskIndex
		}
	}
	if index < 0 && job.nextFresh < len(job.tasks) {
		job.nextFresh++
		return job.nextFresh - 1
	}
	return -1
}

// migratingResources returns the resources of replicas of the team's other jobs that are down for a
// migration. They count against the team's quota limit, so that these replicas can start again.
func (migrations *migrationManager) migratingResources(job *job) model.Resources {
	var sum model.Resources
	state := migrations.state
	if state == nil {
		return sum
	}
	for key := range state.pinnedUntil {
		if other := migrations.controller.shardLeader.jobs[key.job]; other != nil && other != job && other.Team == job.Team && key.index < len(other.tasks) && other.tasks[key.index].machine == nil {
			sum = sum.AddScaled(other.Need, 1)
		}
	}
	return sum
}

// reservedTasks counts the pending tasks of a job for which capacity is reserved or for which a migration is
// about to be planned. No machine is rented for these tasks.
func (migrations *migrationManager) reservedTasks(job *job) int {
	state := migrations.state
	if state == nil {
		return 0
	}
	count := state.tracker.HeldFor(job.ID)
	for _, index := range job.requeued {
		if _, pinned := state.pinnedUntil[taskKey{job.ID, index}]; pinned {
			count++
		}
	}
	if unschedulable := state.unschedulable[job.ID]; unschedulable != nil && unschedulable.lastTried.IsZero() && migrations.now.Sub(unschedulable.since) < 2*migrationDelay {
		return job.pendingTasks()
	}
	return count
}
