package controller

import (
	"time"

	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
)

// migration_plan.go decides when migrations are worth planning, and for which tasks.

const (
	// migrationDelay is how long a task must have been pending and fitted nowhere before
	// migrations are planned for it: capacity is often free a moment later.
	// migrationRetryInterval separates two attempts for one job.
	migrationDelay         = 1500 * time.Millisecond
	migrationRetryInterval = 3 * time.Second
	// maxMigrationWait bounds the cost of a migration if neither a new machine nor the end of a
	// task is in sight.
	maxMigrationWait = 2 * time.Minute
	// largeFraction is the part of a machine, in one dimension, from which on a task counts as
	// large: scattered free capacity is of no use to it.
	largeFraction = 0.25
	// migrationWriteInterval, times the number of shard leaders, separates two writes: all of
	// them together make at most one in this time. migrationLazyDelay is how long the write of
	// what only ends a migration may wait.
	migrationWriteInterval = 2 * time.Second
	migrationLazyDelay     = 10 * time.Second
	// migrationLogInterval is how often the migrations under way are logged.
	migrationLogInterval = 30 * time.Second
)

// unschedulableReplica is a job of which a task is pending and fits on no machine, though all machines together
// have the capacity.
type unschedulableReplica struct {
	since, lastTried time.Time
}

// plan looks for migrations for the first job of the queue that needs them.
func (g *migrationManager) plan(mv *migrations) {
	s := g.controller.shardLeader
	if g.now.Sub(mv.lastLogged) >= migrationLogInterval && len(mv.tracker.Plans()) > 0 {
		mv.lastLogged = g.now
		t := mv.tracker.Stats
		g.info("migrations under way", "plans", len(mv.tracker.Plans()), "planned", t.Started, "moved", t.Moved, "dropped", t.Dropped, "longest_down", t.LongestDowntime.Round(time.Millisecond))
	}
	unschedulable := map[string]*unschedulableReplica{}
	// Of many jobs of one shape only the first scans the machines.
	alike := map[taskShape]bool{}
	for id, j := range s.jobs {
		if !g.waitsForCapacity(mv, j) {
			continue
		}
		in, known := alike[j.taskShape()]
		if own := j.SameZone || j.SpreadZones; own || !known {
			in = g.isUnschedulable(j)
			if !own {
				alike[j.taskShape()] = in
			}
		}
		if !in && (mv.unschedulable[id] == nil || mv.tracker.HeldFor(id) == 0) {
			continue
		}
		if unschedulable[id] = mv.unschedulable[id]; unschedulable[id] == nil {
			unschedulable[id] = &unschedulableReplica{since: g.now}
		}
	}
	mv.unschedulable = unschedulable
	g.updateHostNeeds(mv)
	if len(unschedulable) == 0 {
		g.planEvacuation(mv)
		return
	}
	for _, j := range g.controller.shardLeader.scheduler.jobsInQueueOrder() {
		x := unschedulable[j.ID]
		if x == nil || mv.tracker.HeldFor(j.ID) >= j.pendingTasks() || g.now.Sub(x.since) < migrationDelay || !x.lastTried.IsZero() && g.now.Sub(x.lastTried) < migrationRetryInterval {
			continue
		}
		if rec := mv.records[j.Team]; rec == nil || rec.writing || len(mv.tracker.UnsavedPlans(j.Team)) > 0 || g.nextMigrationWrite(mv).After(g.now) {
			// The plan would wait for its write, and hold places meanwhile.
			continue
		}
		x.lastTried = g.now
		g.planMigrationFor(mv, j)
		return
	}
}

// waitsForCapacity reports whether a task of j is pending that migrations could help: it is large for some type of
// machine, and has no place held.
func (g *migrationManager) waitsForCapacity(mv *migrations, j *job) bool {
	if j.Gang || j.borrowedLoan != "" || g.controller.shardLeader.scheduler.placeableTasks(j) == 0 || !g.controller.shardLeader.scheduler.withinQuotaLimit(j) {
		return false
	}
	if j.pendingTasks() <= mv.tracker.HeldFor(j.ID) && mv.unschedulable[j.ID] == nil {
		return false
	}
	for _, f := range g.controller.knowledge.machineTypes {
		if j.Need.Fits(f.Capacity) && isLarge(j.Need, f.Capacity) {
			return true
		}
	}
	return false
}

// isUnschedulable reports whether a task of j fits on no machine, while all of them together have the capacity.
func (g *migrationManager) isUnschedulable(j *job) bool {
	var sum model.Resources
	large := false
	for _, m := range g.controller.shardLeader.machinesByID {
		if !g.controller.shardLeader.scheduler.usable(m) || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.zoneAllowed(m.zone) || !j.Need.Fits(m.size) {
			continue
		}
		free := m.free()
		if j.Need.Fits(free) {
			return false
		}
		large = large || isLarge(j.Need, m.size)
		sum = sum.AddScaled(model.Resources{CPU: max(0, free.CPU), GPU: max(0, free.GPU), Memory: max(0, free.Memory)}, 1)
	}
	return large && j.Need.Fits(sum)
}

// isLarge reports whether a task needs so much of a machine that scattered free capacity is of no use to it.
func isLarge(need, size model.Resources) bool {
	return need.CPU >= largeFraction*size.CPU || need.Memory >= largeFraction*size.Memory || size.GPU > 0 && need.GPU >= largeFraction*size.GPU
}

// planMigrationFor looks for migrations that make room for a task of j, and begins them.
func (g *migrationManager) planMigrationFor(mv *migrations, j *job) {
	p := g.migrationProblem(mv, j)
	plan, ok := migration.Find(p)
	if !ok {
		g.debug("no migration found", "job", j.ID, "max_cost", p.MaxCost)
		return
	}
	g.begin(mv, j.Team, p, plan)
}

// begin starts a plan that the planner has found.
func (g *migrationManager) begin(mv *migrations, team string, p *migration.Problem, plan migration.Plan) {
	var attempts []uint64
	for _, m := range plan.Moves {
		_, t := g.movableReplica(m.Job, m.Index)
		attempts = append(attempts, t.attempt)
	}
	reason := mv.tracker.Start(g.now, team, &p.WaitingTask, plan, p.MaxCost, attempts, migration.Limits{
		MaxRecordBytes: g.maxRecordBytes(), MaxMovingFraction: g.settings.Capabilities.MaxMigratingFraction,
		KindOf: func(host string) (string, int) {
			m := g.controller.shardLeader.machines[host]
			if m == nil {
				return "", 0
			}
			k, count := machineKind{m.machineType, m.zone, m.spot}, 0
			for _, o := range g.controller.shardLeader.machinesByID {
				if (machineKind{o.machineType, o.zone, o.spot}) == k {
					count++
				}
			}
			return kindName(k), count
		},
	})
	if reason != "" {
		g.debug("migration not started", "job", p.WaitingTask.Job, "reason", reason)
		return
	}
	g.info("migration planned", "job", p.WaitingTask.Job, "machine", plan.Host, "moves", len(plan.Moves), "cost", plan.Cost, "max_cost", p.MaxCost)
	g.updateReservations(mv)
}

// kindName is a kind as logs and records of evacuations have it.
func kindName(k machineKind) string {
	name := k.machineType + "/" + k.zone
	if k.spot {
		name += "/spot"
	}
	return name
}

// migrationProblem is the planner's problem for a task of j.
func (g *migrationManager) migrationProblem(mv *migrations, j *job) *migration.Problem {
	p, hosts := g.migrationCandidates(mv, j)
	p.MaxCost = g.maxMigrationCost(j)
	p.WaitingTask = migration.WaitingTask{Job: j.ID, Need: j.Need, Image: j.Image, ImageGB: j.ImageGB, Allowed: func(h int) bool {
		m := hosts[h]
		return j.allowsMachine(m.machineType, m.zone, m.spot) && j.zoneAllowed(m.zone) && m.id != j.avoidedMachine() && !m.reservedForOther(j)
	}}
	return p
}

// migrationCandidates is the problem's hosts, also as machines, and the replicas that may be migrated for a job.
func (g *migrationManager) migrationCandidates(mv *migrations, j *job) (*migration.Problem, []*machine) {
	s := g.controller.shardLeader
	p := &migration.Problem{MaxMoves: migration.MaxMoves}
	var hosts []*machine
	place := map[*machine]int{}
	for _, m := range s.machinesByID {
		if !g.controller.shardLeader.scheduler.usable(m) {
			continue
		}
		// A machine that is being decommissioned counts as well: replicas on it don't end by
		// themselves, and work that fits nowhere else is not to wait beside it.
		h := migration.Host{
			ID: m.id, Kind: kindName(machineKind{m.machineType, m.zone, m.spot}), Size: m.size, Free: m.free(),
			Schedulable: !m.reservedForOther(j), Images: map[string]bool{}, FetchRate: g.controller.knowledge.imageFetchRate(m),
		}
		for name, im := range m.images {
			if im.cached {
				h.Images[name] = true
			}
		}
		place[m] = len(hosts)
		hosts, p.Hosts = append(hosts, m), append(p.Hosts, h)
	}
	// All replicas of a job in one zone may go to the same machines.
	type like struct{ job, zone string }
	allowed := map[like]func(int) bool{}
	canSpare := map[string]bool{}
	for _, m := range hosts {
		for _, k := range sortedAttempts(m) {
			r, t := g.movableReplica(k.job, k.index)
			if r == nil || !t.isRunning() || t.stopReason != stopNone || !r.durable(k.index) || !mv.tracker.MayMove(g.now, k.job, k.index) {
				continue
			}
			can, known := canSpare[k.job]
			if !known {
				up, of := migrationFacts{g.controller}.RunningReplicas(k.job)
				can = r != j && (of > 1 || g.yieldsTo(r, j)) && (of == 1 || 2*(up-1) >= of)
				canSpare[k.job] = can
			}
			if !can {
				continue
			}
			key := like{k.job, m.zone}
			if allowed[key] == nil {
				allowed[key] = allowedHosts(r, m.zone, hosts)
			}
			x := migration.Replica{Job: k.job, Index: k.index, HostIndex: place[m], Need: r.Need, Image: r.Image, ImageGB: r.ImageGB, Movable: true, Allowed: allowed[key]}
			if r.CheckpointInterval > 0 {
				x.LostWork = r.CheckpointCost
			}
			p.Replicas = append(p.Replicas, x)
		}
	}
	return p, hosts
}

// allowedHosts returns which of hosts a replica of j that is in a zone may go to, given j's other tasks.
func allowedHosts(j *job, zone string, hosts []*machine) func(int) bool {
	zoneOK := func(to string) bool {
		switch {
		case to == zone:
			return true
		case j.SameZone && j.liveTasks > 1:
			return false
		}
		return !j.SpreadZones || j.liveByZone[""] == 0 && j.liveByZone[to] < (len(j.tasks)+1)/2
	}
	return func(h int) bool {
		m := hosts[h]
		return j.allowsMachine(m.machineType, m.zone, m.spot) && zoneOK(m.zone) && !m.reservedForOther(j)
	}
}

// maxMigrationCost is what migrations for a task of j may cost: the time until a new machine would be ready and have
// the image, or until capacity is free, whichever is shorter.
func (g *migrationManager) maxMigrationCost(j *job) time.Duration {
	cost := maxMigrationWait
	v := g.controller.shardLeader.fleet.view
	for _, name := range sortedKeys(g.controller.knowledge.machineTypes) {
		f := g.controller.knowledge.machineTypes[name]
		if !j.Need.Fits(f.Capacity) {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				k := machineKind{name, z, spot}
				if !j.allowsMachine(name, z, spot) || !j.zoneAllowed(z) || g.controller.shardLeader.fleet.neverReadyKinds[k] || v == nil || v.blockedUntil[k].After(g.now) {
					continue
				}
				cost = min(cost, g.controller.knowledge.timeToReady(k, 0)+newMachineFetchTime(&f, j))
			}
		}
	}
	for r := range g.controller.shardLeader.fleet.expectedFor(j) {
		if f := g.controller.knowledge.machineTypes[r.machineType]; j.zoneAllowed(r.zone) && j.Need.Fits(f.Capacity) {
			cost = min(cost, g.controller.knowledge.timeToReady(r.machineKind, g.now.Sub(r.rentedAt))+newMachineFetchTime(&f, j))
		}
	}
	for _, x := range g.controller.shardLeader.fleet.futureFreeCapacity().machines {
		if !j.allowsMachine(x.machineKind.machineType, x.machineKind.zone, x.machineKind.spot) || !j.zoneAllowed(x.machineKind.zone) {
			continue
		}
		if at, ok := x.earliestStart(j.Need, false, g.controller.shardLeader.scheduler.avoidsGPUs(j)); ok {
			cost = min(cost, at)
		}
	}
	return cost
}
