package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// migration_plan.go says when moves are worth planning, and writes them down.

const (
	// migrationDelay is how long a task must have waited and fitted nowhere before moves are
	// planned for it: ends and starts follow one another. migrationRetryInterval separates two tries
	// for one job.
	migrationDelay         = 1500 * time.Millisecond
	migrationRetryInterval = 3 * time.Second
	// maxMigrationWait is what waiting may cost where neither renting nor an end is in sight.
	maxMigrationWait = 2 * time.Minute
	// largeFraction is the part of a machine that a task must need, in one dimension, for
	// room in pieces to be of no use to it.
	largeFraction = 0.25
	// migrationWriteInterval separates two writes of moves, times the owners: all of them together
	// make no more than one change in this time. migrationLazyDelay is how long what only ends
	// a move may wait.
	migrationWriteInterval = 2 * time.Second
	migrationLazyDelay     = 10 * time.Second
	// migrationLogInterval is how often the log is told of moves under way.
	migrationLogInterval = 30 * time.Second
)

// unschedulableReplica is a job of which a task waits and fits nowhere, though the pieces would do.
type unschedulableReplica struct {
	since, lastTried time.Time
}

// plan looks for moves for the first job in turn that needs them.
func (g *migrationManager) plan(mv *migrations) {
	o := g.controller.shardLeader
	if g.now.Sub(mv.lastLogged) >= migrationLogInterval && len(mv.tracker.Plans()) > 0 {
		mv.lastLogged = g.now
		t := mv.tracker.Stats
		g.info("moves", "under way", len(mv.tracker.Plans()), "planned", t.Started, "moved", t.Moved, "dropped", t.Dropped, "longest down", t.LongestDowntime.Round(time.Millisecond))
	}
	unschedulable := map[string]*unschedulableReplica{}
	// Of a long queue of alike jobs only the first looks at every machine.
	alike := map[taskShape]bool{}
	for id, j := range o.jobs {
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
			// The next plan would wait for its write, holding places.
			continue
		}
		x.lastTried = g.now
		g.planMigrationFor(mv, j)
		return
	}
}

// waitsForCapacity says that a task of j waits which moves could help: it is large for some
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

// isUnschedulable says that a task of j fits nowhere as it is, and that there is enough room for
// it in pieces.
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

func isLarge(need, size model.Resources) bool {
	return need.CPU >= largeFraction*size.CPU || need.Memory >= largeFraction*size.Memory || size.GPU > 0 && need.GPU >= largeFraction*size.GPU
}

// planMigrationFor looks for moves that make room for a task of j, and begins them.
func (g *migrationManager) planMigrationFor(mv *migrations, j *job) {
	p := g.migrationProblem(mv, j)
	plan, ok := migration.Find(p)
	if !ok {
		g.debug("no moves", "job", j.ID, "dearest", p.MaxCost)
		return
	}
	g.begin(mv, j.Team, p, plan)
}

// begin takes up a plan that the planner has found.
func (g *migrationManager) begin(mv *migrations, team string, p *migration.Problem, plan migration.Plan) {
	var attempts []uint64
	for _, m := range plan.Moves {
		_, t := g.movableReplica(m.Job, m.Index)
		attempts = append(attempts, t.attempt)
	}
	reason := mv.tracker.Start(g.now, team, &p.WaitingTask, plan, p.MaxCost, attempts, migration.Limits{
		MaxRecordBytes: g.controller.maxMigrationRecordBytes(), MaxMovingFraction: g.settings.Capabilities.MaxMigratingFraction,
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
		g.debug("moves are not begun", "for", p.WaitingTask.Job, "why", reason)
		return
	}
	g.info("moves planned", "for", p.WaitingTask.Job, "machine", plan.Host, "moves", len(plan.Moves), "cost", plan.Cost, "instead of", p.MaxCost)
	g.updateReservations(mv)
}

func kindName(k machineKind) string {
	name := k.machineType + "/" + k.zone
	if k.spot {
		name += "/spot"
	}
	return name
}

// migrationProblem is what the planner is asked for a task of j.
func (g *migrationManager) migrationProblem(mv *migrations, j *job) *migration.Problem {
	p, hosts := g.migrationCandidates(mv, j)
	p.MaxCost = g.maxMigrationCost(j)
	p.WaitingTask = migration.WaitingTask{Job: j.ID, Need: j.Need, Image: j.Image, ImageGB: j.ImageGB, Allowed: func(h int) bool {
		m := hosts[h]
		return j.allowsMachine(m.machineType, m.zone, m.spot) && j.zoneAllowed(m.zone) && m.id != j.avoidedMachine() && !m.reservedForOther(j)
	}}
	return p
}

// migrationCandidates is the hosts there are, and the replicas that may be moved for a job.
func (g *migrationManager) migrationCandidates(mv *migrations, j *job) (*migration.Problem, []*machine) {
	o := g.controller.shardLeader
	p := &migration.Problem{MaxMoves: migration.MaxMoves}
	var hosts []*machine
	place := map[*machine]int{}
	for _, m := range o.machinesByID {
		if !g.controller.shardLeader.scheduler.usable(m) {
			continue
		}
		// One that is being retired is room as well: replicas on it don't end by
		// themselves, and work that waits in vain is not to wait beside it.
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
	// A job's replicas in one zone may go to the same machines.
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

// allowedHosts says where a replica of j that is in a zone may go, given j's other tasks.
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

// maxMigrationCost is what moves for a task of j may cost: the time that renting would take, with
// the fetch, or until something ends, whichever is shorter.
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

// nextMigrationWrite is when moves may be written next.
func (g *migrationManager) nextMigrationWrite(mv *migrations) time.Time {
	owners := 0
	for _, s := range g.controller.membership.shardMap.Shards() {
		if len(s.Teams) > 0 {
			owners++
		}
	}
	return mv.lastWrite.Add(migrationWriteInterval * time.Duration(max(1, owners)))
}

// write writes what is due: new plans at once, ends of moves when there is time. A
// plan's record names the stamps of the open records of all its jobs, so that none is
// moved that was cancelled meanwhile, the shares of their teams, and its own.
func (g *migrationManager) write(mv *migrations) {
	if g.nextMigrationWrite(mv).After(g.now) {
		return
	}
	var best string
	var bestSince time.Time
	bestFresh := false
	for _, team := range mv.tracker.Teams() {
		since, fresh, due := mv.tracker.WriteDue(team)
		rec := mv.records[team]
		if rec == nil || rec.writing || !due || !fresh && g.now.Sub(since) < migrationLazyDelay {
			continue
		}
		if _, ver := mv.tracker.EncodeRecord(team); ver == rec.rejectedVersion {
			continue
		}
		if best == "" || fresh && !bestFresh || fresh == bestFresh && since.Before(bestSince) {
			best, bestSince, bestFresh = team, since, fresh
		}
	}
	if best == "" {
		return
	}
	mv.lastWrite = g.now
	g.writeTeam(mv, best)
}

func (g *migrationManager) writeTeam(mv *migrations, team string) {
	rec := mv.records[team]
	val, ver := mv.tracker.EncodeRecord(team)
	key := migrationKey(team)
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy}
	teams := []string{team}
	for _, e := range mv.tracker.UnsavedPlans(team) {
		op.Priority = message.PriorityStart
		var jobs []string
		if !isEvacuationHold(e.HeldFor) {
			jobs = append(jobs, e.HeldFor)
		}
		for i := range e.Steps {
			jobs = append(jobs, e.Steps[i].Job)
		}
		for _, id := range jobs {
			j := g.controller.shardLeader.jobs[id]
			if j == nil {
				// Over or gone: nothing of this plan is to be done.
				mv.tracker.WriteRefused(team, g.now)
				return
			}
			teams = append(teams, j.Team)
			if c := (message.Compare{Key: record.OpenJobPrefix + id, ModRevision: j.modRevision}); !slices.Contains(op.Compares, c) {
				op.Compares = append(op.Compares, c)
			}
		}
	}
	op.Compares = append(op.Compares, g.controller.shardLeader.shardCompares(teams...)...)
	op.Compares = append(op.Compares, message.Compare{Key: key, ModRevision: rec.modRevision})
	op.Writes = []message.Write{{Key: key, Value: val}}
	if val == nil && rec.modRevision == 0 {
		mv.tracker.MarkPersisted(team, ver)
		return
	}
	rec.writing = true
	gen := g.controller.shardLeader.generation
	g.controller.requests.toStore(op, func(d message.StoreResponse) {
		if g.controller.shardLeader == nil || g.controller.shardLeader.generation != gen || mv.records[team] != rec {
			return
		}
		rec.writing = false
		switch d.Status {
		case message.StoreOK:
			rec.modRevision = d.Revision
			if val == nil {
				rec.modRevision = 0
			}
			mv.tracker.MarkPersisted(team, ver)
			g.controller.shardLeader.migration.advance(mv)
		case message.StoreConflict:
			if !slices.Contains(d.FailedKeys, key) {
				// A job or a share is not what it was: plan anew, if it is still needed.
				mv.tracker.WriteRefused(team, g.now)
				g.controller.shardLeader.migration.updateReservations(mv)
				return
			}
			g.controller.shardLeader.migration.reReadTeam(mv, team, rec)
		case message.StoreUnknown:
			g.controller.shardLeader.migration.reReadTeam(mv, team, rec)
		case message.StoreMalformed:
			mv.tracker.WriteRefused(team, g.now)
			_, rec.rejectedVersion = mv.tracker.EncodeRecord(team)
			g.controller.shardLeader.migration.updateReservations(mv)
		}
	})
}

// reReadTeam reads a team's record after a write of ours that may have been applied, or
// may be later: what stands there was written under this owner's share. It is written
// anew on top of it.
func (g *migrationManager) reReadTeam(mv *migrations, team string, rec *migrationRecord) {
	rec.writing = true
	gen := g.controller.shardLeader.generation
	g.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: migrationKey(team)}, func(d message.StoreResponse) {
		if g.controller.shardLeader == nil || g.controller.shardLeader.generation != gen || mv.records[team] != rec {
			return
		}
		switch d.Status {
		case message.StoreOK:
			rec.modRevision, rec.writing = d.KeyValues[0].ModRevision, false
		case message.StoreNotFound:
			rec.modRevision, rec.writing = 0, false
		default:
			g.after(g.jitter(storeRetryDelay), func() {
				if g.controller.shardLeader != nil && g.controller.shardLeader.generation == gen && mv.records[team] == rec {
					g.controller.shardLeader.migration.reReadTeam(mv, team, rec)
				}
			})
			return
		}
		mv.tracker.WriteUncertain(team, g.now)
	})
}
