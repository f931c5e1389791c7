package controller

import (
	"time"

	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
)

// migration_plan.go decides for which pending tasks migrations are planned, and when.

const (
	// migrationDelay is how long a pending task must have fitted on no machine before migrations
	// are planned for it. Capacity often becomes free within that time.
	migrationDelay = 1500 * time.Millisecond
	// migrationRetryInterval is the least time between two searches for migrations for one job.
	migrationRetryInterval = 3 * time.Second
	// maxMigrationWait bounds the cost of the migrations of a plan if neither a new machine nor
	// the end of a task is expected sooner.
	maxMigrationWait = 2 * time.Minute
	// largeFraction is the fraction of a machine's CPU, GPU or memory from which on a task counts
	// as large. Such a task can't use free capacity that is scattered over many machines.
	largeFraction = 0.25
	// migrationWriteInterval is the least time between two writes of migration records by all
	// shard leaders together. Each shard leader waits for it times the number of shard leaders.
	migrationWriteInterval = 2 * time.Second
	// migrationLazyDelay is how long a write may wait that contains no new plan.
	migrationLazyDelay = 10 * time.Second
	// migrationLogInterval is how often the migrations in progress are logged.
	migrationLogInterval = 30 * time.Second
)

// unschedulableReplica is a job with a pending task that fits on no machine, though the free capacity of all
// machines together suffices.
type unschedulableReplica struct {
	// since is when the job was first found unschedulable. lastTried is when migrations were last searched for
	// it, zero if never.
	since, lastTried time.Time
}

// plan searches for migrations for the first job in queue order that needs them. If no job does, it plans
// evacuations for other shard leaders.
func (migrations *migrationManager) plan(state *migrationState) {
	shardLeader := migrations.controller.shardLeader
	if migrations.now.Sub(state.lastLogged) >= migrationLogInterval && len(state.tracker.Plans()) > 0 {
		state.lastLogged = migrations.now
		stats := state.tracker.Stats
		migrations.info("migrations under way", "plans", len(state.tracker.Plans()), "planned", stats.Started, "moved", stats.Moved, "dropped", stats.Dropped, "longest_down", stats.LongestDowntime.Round(time.Millisecond))
	}
	unschedulable := map[string]*unschedulableReplica{}
	// The machines are scanned only once for jobs of the same shape.
	unschedulableByShape := map[taskShape]bool{}
	for id, job := range shardLeader.jobs {
		if !migrations.waitsForCapacity(state, job) {
			continue
		}
		fitsNowhere, known := unschedulableByShape[job.taskShape()]
		if zoneSpecific := job.SameZone || job.SpreadZones; zoneSpecific || !known {
			fitsNowhere = migrations.isUnschedulable(job)
			if !zoneSpecific {
				unschedulableByShape[job.taskShape()] = fitsNowhere
			}
		}
		if !fitsNowhere && (state.unschedulable[id] == nil || state.tracker.HeldFor(id) == 0) {
			continue
		}
		if unschedulable[id] = state.unschedulable[id]; unschedulable[id] == nil {
			unschedulable[id] = &unschedulableReplica{since: migrations.now}
		}
	}
	state.unschedulable = unschedulable
	migrations.updateHostNeeds(state)
	if len(unschedulable) == 0 {
		migrations.planEvacuation(state)
		return
	}
	for _, job := range migrations.controller.shardLeader.scheduler.jobsInQueueOrder() {
		entry := unschedulable[job.ID]
		if entry == nil || state.tracker.HeldFor(job.ID) >= job.pendingTasks() || migrations.now.Sub(entry.since) < migrationDelay || !entry.lastTried.IsZero() && migrations.now.Sub(entry.lastTried) < migrationRetryInterval {
			continue
		}
		if rec := state.records[job.Team]; rec == nil || rec.writing || len(state.tracker.UnsavedPlans(job.Team)) > 0 || migrations.nextMigrationWrite(state).After(migrations.now) {
			// The record can't be written yet. A plan would reserve capacity while it waits for the write.
			continue
		}
		entry.lastTried = migrations.now
		migrations.planMigrationFor(state, job)
		return
	}
	if len(state.evacuation.needs) > 0 {
		migrations.planEvacuation(state)
	}
}

// waitsForCapacity reports whether a job has a pending task that migrations could help: the task is large for
// some machine type, and no capacity is reserved for it.
func (migrations *migrationManager) waitsForCapacity(state *migrationState, job *job) bool {
	if job.Gang || job.borrowedLoan != "" || migrations.controller.shardLeader.scheduler.placeableTasks(job) == 0 || !migrations.controller.shardLeader.scheduler.withinQuotaLimit(job) {
		return false
	}
	if job.pendingTasks() <= state.tracker.HeldFor(job.ID) && state.unschedulable[job.ID] == nil {
		return false
	}
	for _, machineType := range migrations.controller.knowledge.machineTypes {
		if job.Need.Fits(machineType.Capacity) && isLarge(job.Need, machineType.Capacity) {
			return true
		}
	}
	return false
}

// isUnschedulable reports whether a task of the job fits on no machine, though the free capacity of all
// machines together suffices.
func (migrations *migrationManager) isUnschedulable(job *job) bool {
	var sum model.Resources
	large := false
	for _, machine := range migrations.controller.shardLeader.machinesByID {
		if !migrations.controller.shardLeader.scheduler.usable(machine) || !job.allowsMachine(machine.machineType, machine.zone, machine.spot) || !job.zoneAllowed(machine.zone) || !job.Need.Fits(machine.size) {
			continue
		}
		free := machine.free()
		if job.Need.Fits(free) {
			return false
		}
		large = large || isLarge(job.Need, machine.size)
		sum = sum.AddScaled(model.Resources{CPU: max(0, free.CPU), GPU: max(0, free.GPU), Memory: max(0, free.Memory)}, 1)
	}
	return large && job.Need.Fits(sum)
}

// isLarge reports whether a task needs at least largeFraction of a machine's CPU, memory or GPUs.
func isLarge(need, size model.Resources) bool {
	return need.CPU >= largeFraction*size.CPU || need.Memory >= largeFraction*size.Memory || size.GPU > 0 && need.GPU >= largeFraction*size.GPU
}

// planMigrationFor searches for migrations that free capacity for a task of the job, and starts them.
func (migrations *migrationManager) planMigrationFor(state *migrationState, job *job) {
	problem := migrations.migrationProblem(state, job)
	plan, ok := migration.Find(problem)
	if !ok {
		migrations.debug("no migration found", "job", job.ID, "max_cost", problem.MaxCost)
		return
	}
	migrations.startPlan(state, job.Team, problem, plan)
}

// startPlan starts a plan that migration.Find returned for the problem. The plan is stored in the record of
// the given team.
func (migrations *migrationManager) startPlan(state *migrationState, team string, problem *migration.Problem, plan migration.Plan) {
	var attempts []uint64
	for _, move := range plan.Moves {
		_, task := migrations.movableReplica(move.Job, move.Index)
		attempts = append(attempts, task.attempt)
	}
	reason := state.tracker.Start(migrations.now, team, &problem.WaitingTask, plan, problem.MaxCost, attempts, migration.Limits{
		MaxRecordBytes: migrations.maxRecordBytes(), MaxMovingFraction: migrations.settings.Capabilities.MaxMigratingFraction,
		KindOf: func(host string) (string, int) {
			machine := migrations.controller.shardLeader.machines[host]
			if machine == nil {
				return "", 0
			}
			kind, count := machineKind{machine.machineType, machine.zone, machine.spot}, 0
			for _, other := range migrations.controller.shardLeader.machinesByID {
				if (machineKind{other.machineType, other.zone, other.spot}) == kind {
					count++
				}
			}
			return kindName(kind), count
		},
	})
	if reason != "" {
		migrations.debug("migration not started", "job", problem.WaitingTask.Job, "reason", reason)
		return
	}
	migrations.info("migration planned", "job", problem.WaitingTask.Job, "machine", plan.Host, "moves", len(plan.Moves), "cost", plan.Cost, "max_cost", problem.MaxCost)
	migrations.updateReservations(state)
}

// kindName returns the name of a machine kind in logs and in the records of evacuations.
func kindName(kind machineKind) string {
	name := kind.machineType + "/" + kind.zone
	if kind.spot {
		name += "/spot"
	}
	return name
}

// migrationProblem returns the problem of freeing capacity for a task of the job, for migration.Find.
// The further machines are among the hosts; see migrationCandidates.
func (migrations *migrationManager) migrationProblem(state *migrationState, job *job, further ...*machine) *migration.Problem {
	problem, hosts := migrations.migrationCandidates(state, job, further)
	problem.MaxCost = migrations.maxMigrationCost(job)
	problem.WaitingTask = migration.WaitingTask{Job: job.ID, Need: job.Need, Image: job.Image, ImageGB: job.ImageGB, Allowed: func(hostIndex int) bool {
		machine := hosts[hostIndex]
		return !machine.isPlaceholder() && job.allowsMachine(machine.machineType, machine.zone, machine.spot) && job.zoneAllowed(machine.zone) && machine.id != job.avoidedMachine() && !machine.reservedForOther(job)
	}}
	return problem
}

// migrationCandidates returns a problem with the usable hosts and with the replicas that may be migrated for
// the job. It also returns the machines of these hosts, in the same order. The last hosts are the further
// machines, which this shard leader does not own but could receive.
func (migrations *migrationManager) migrationCandidates(state *migrationState, job *job, further []*machine) (*migration.Problem, []*machine) {
	shardLeader := migrations.controller.shardLeader
	problem := &migration.Problem{MaxMoves: migration.MaxMoves}
	var hosts []*machine
	hostIndexes := map[*machine]int{}
	addHost := func(hostMachine *machine) {
		// A machine that is being decommissioned is included: the replicas on it don't end by
		// themselves, and a task that fits on no other machine should not wait while it has capacity.
		host := migration.Host{
			ID: hostMachine.id, Kind: kindName(machineKind{hostMachine.machineType, hostMachine.zone, hostMachine.spot}), Size: hostMachine.size, Free: hostMachine.free(),
			Schedulable: !hostMachine.reservedForOther(job), Images: map[string]bool{}, FetchRate: migrations.controller.knowledge.imageFetchRate(hostMachine),
		}
		for name, image := range hostMachine.images {
			if image.cached {
				host.Images[name] = true
			}
		}
		hostIndexes[hostMachine] = len(hosts)
		hosts, problem.Hosts = append(hosts, hostMachine), append(problem.Hosts, host)
	}
	for _, hostMachine := range shardLeader.machinesByID {
		if migrations.controller.shardLeader.scheduler.usable(hostMachine) {
			addHost(hostMachine)
		}
	}
	for _, hostMachine := range further {
		addHost(hostMachine)
	}
	// All replicas of a job in one zone may migrate to the same machines.
	type jobInZone struct{ job, zone string }
	allowed := map[jobInZone]func(int) bool{}
	canSpare := map[string]bool{}
	for _, hostMachine := range hosts {
		for _, attemptKey := range sortedAttempts(hostMachine) {
			replica, task := migrations.movableReplica(attemptKey.job, attemptKey.index)
			if replica == nil || !task.isRunning() || task.stopReason != stopNone || !replica.durable(attemptKey.index) || !state.tracker.MayMove(migrations.now, attemptKey.job, attemptKey.index) {
				continue
			}
			canMove, known := canSpare[attemptKey.job]
			if !known {
				running, total := migrationFacts{migrations.controller}.RunningReplicas(attemptKey.job)
				canMove = replica != job && (total > 1 || migrations.yieldsTo(replica, job)) && (total == 1 || 2*(running-1) >= total)
				canSpare[attemptKey.job] = canMove
			}
			if !canMove {
				continue
			}
			allowedKey := jobInZone{attemptKey.job, hostMachine.zone}
			if allowed[allowedKey] == nil {
				allowed[allowedKey] = allowedHosts(replica, hostMachine.zone, hosts)
			}
			candidate := migration.Replica{Job: attemptKey.job, Index: attemptKey.index, HostIndex: hostIndexes[hostMachine], Need: replica.Need, Image: replica.Image, ImageGB: replica.ImageGB, Movable: true, Allowed: allowed[allowedKey]}
			if replica.CheckpointInterval > 0 {
				candidate.LostWork = replica.CheckpointCost
			}
			problem.Replicas = append(problem.Replicas, candidate)
		}
	}
	return problem, hosts
}

// allowedHosts returns a function that reports whether a replica of the job in the given zone may migrate to
// a host, given the zones of the job's other tasks. The function takes an index of hosts.
func allowedHosts(job *job, zone string, hosts []*machine) func(int) bool {
	zoneOK := func(to string) bool {
		switch {
		case to == zone:
			return true
		case job.SameZone && job.liveTasks > 1:
			return false
		}
		return !job.SpreadZones || job.liveByZone[""] == 0 && job.liveByZone[to] < (len(job.tasks)+1)/2
	}
	return func(hostIndex int) bool {
		machine := hosts[hostIndex]
		return !machine.remote && job.allowsMachine(machine.machineType, machine.zone, machine.spot) && zoneOK(machine.zone) && !machine.reservedForOther(job)
	}
}

// maxMigrationCost returns how much the migrations for a task of the job may cost. It is the time until a new
// machine would be ready and have the image, or until capacity is expected to become free, whichever is
// shorter, and at most maxMigrationWait.
func (migrations *migrationManager) maxMigrationCost(job *job) time.Duration {
	cost := maxMigrationWait
	view := migrations.controller.shardLeader.fleet.view
	for _, name := range sortedKeys(migrations.controller.knowledge.machineTypes) {
		machineType := migrations.controller.knowledge.machineTypes[name]
		if !job.Need.Fits(machineType.Capacity) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range [...]bool{true, false} {
				kind := machineKind{name, zone, spot}
				if !job.allowsMachine(name, zone, spot) || !job.zoneAllowed(zone) || migrations.controller.shardLeader.fleet.neverReadyKinds[kind] || view == nil || view.blockedUntil[kind].After(migrations.now) {
					continue
				}
				cost = min(cost, migrations.controller.knowledge.timeToReady(kind, 0)+newMachineFetchTime(&machineType, job))
			}
		}
	}
	for rental := range migrations.controller.shardLeader.fleet.expectedFor(job) {
		if machineType := migrations.controller.knowledge.machineTypes[rental.machineType]; job.zoneAllowed(rental.zone) && job.Need.Fits(machineType.Capacity) {
			cost = min(cost, migrations.controller.knowledge.timeToReady(rental.machineKind, migrations.now.Sub(rental.rentedAt))+newMachineFetchTime(&machineType, job))
		}
	}
	for _, futureMachine := range migrations.controller.shardLeader.fleet.futureFreeCapacity().machines {
		if !job.allowsMachine(futureMachine.machineKind.machineType, futureMachine.machineKind.zone, futureMachine.machineKind.spot) || !job.zoneAllowed(futureMachine.machineKind.zone) {
			continue
		}
		if start, ok := futureMachine.earliestStart(job.Need, false, migrations.controller.shardLeader.scheduler.avoidsGPUs(job)); ok {
			cost = min(cost, start)
		}
	}
	return cost
}
