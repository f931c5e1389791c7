package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// shard_sync.go keeps the shard leader's teams and machines in line with the shard map, as far
// as the map's records have been read. Teams and machines are taken over and handed over while their
// tasks keep running, and no other team or machine is affected.

// heldTeam is a team of a shard that this controller holds.
type heldTeam struct {
	// ready is set at readyAt, when the team's records have been read.
	ready   bool
	readyAt time.Time
	// holdID identifies this period of holding the team: a team that goes and comes back gets a
	// new ID.
	holdID int
	// reassigned is set when the team has belonged to another shard since this controller got
	// it, even if it is back by now. The other shard's leader may have written records of its
	// jobs, so the state held here is out of date.
	reassigned bool
}

// markReassignedTeams marks the held teams that belong to another shard as of the revision just
// applied. It runs after each revision, because one watch response may show that a team left and
// came back.
func (controller *Controller) markReassignedTeams() {
	if controller.shardLeader == nil {
		return
	}
	for team, held := range controller.shardLeader.teams {
		shard := controller.membership.shardMap.Team(team)
		held.reassigned = held.reassigned || shard == nil || shard.Host != controller.settings.Host || shard.Incarnation != controller.incarnation()
	}
}

// markReassignedAfterReRead marks the reassigned teams after ctl/ was read again as a whole,
// which does not show the changes in between. Only a team whose shard record has kept its mod
// revision has certainly not moved. before is the shard map before the read.
func (controller *Controller) markReassignedAfterReRead(before *sharding.Map) {
	if controller.shardLeader == nil {
		return
	}
	for team, held := range controller.shardLeader.teams {
		formerShard, shard := before.Team(team), controller.membership.shardMap.Team(team)
		held.reassigned = held.reassigned || formerShard == nil || shard == nil || formerShard.ModRevision != shard.ModRevision
	}
}

// syncShardLeader creates, updates or drops the shard leader to match the records under ctl/.
func (controller *Controller) syncShardLeader() {
	members := &controller.membership
	if !members.loaded {
		return
	}
	var heldShards []*sharding.Shard
	if members.leaseID != 0 {
		heldShards = slices.DeleteFunc(members.shardMap.HeldBy(controller.settings.Host, controller.incarnation()), func(shard *sharding.Shard) bool {
			return len(shard.Teams) == 0 && !shard.CatchAll && !members.shardMap.HasMachines(shard.Name)
		})
	}
	if len(heldShards) == 0 {
		controller.dropShardLeader("no shard held")
		return
	}
	if controller.shardLeader == nil {
		controller.shardLeader = controller.newShardLeader()
		controller.info("shard leadership gained", "shards", shardNames(heldShards))
		controller.frontend.watchCache.watchOpenJobs()
	}
	controller.shardLeader.syncMachines(heldShards)
	controller.shardLeader.syncTeams(heldShards)
}

// shardNames returns the names of shards, in their order.
func shardNames(heldShards []*sharding.Shard) []string {
	var out []string
	for _, shard := range heldShards {
		out = append(out, shard.Name)
	}
	return out
}

// syncTeams hands over the held teams that belong to another shard or were reassigned, and loads
// the teams that are new to this controller.
func (shardLeader *shardLeader) syncTeams(heldShards []*sharding.Shard) {
	assigned := map[string]bool{}
	for _, shard := range heldShards {
		for _, team := range shard.Teams {
			assigned[team] = shardLeader.controller.membership.shardMap.Team(team) == shard
		}
	}
	for _, team := range sortedKeys(shardLeader.teams) {
		if !assigned[team] || shardLeader.teams[team].reassigned {
			shardLeader.info("team handed over", "team", team)
			shardLeader.handOverTeam(team)
		}
	}
	for _, team := range sortedKeys(assigned) {
		if assigned[team] && shardLeader.teams[team] == nil {
			shardLeader.info("team acquired", "team", team)
			shardLeader.teams[team] = &heldTeam{holdID: int(shardLeader.nextID())}
		}
	}
	shardLeader.loadTeams()
}

// handOverTeam drops a team and its jobs. Attempts of those jobs on this controller's machines
// keep running: this controller looks after them as remote attempts until the team's new owner
// requests them or they end.
func (shardLeader *shardLeader) handOverTeam(team string) {
	delete(shardLeader.teams, team)
	newOwner := ""
	if shard := shardLeader.controller.membership.shardMap.Team(team); shard != nil {
		newOwner = shard.Host
	}
	affected := map[string]*machine{}
	for _, id := range sortedKeys(shardLeader.jobs) {
		job := shardLeader.jobs[id]
		if job.Team != team {
			continue
		}
		for i := range job.tasks[:job.nextFresh] {
			task := &job.tasks[i]
			machine := task.machine
			if machine == nil {
				continue
			}
			delete(machine.attempts, taskKey{id, i})
			machine.used = machine.used.AddScaled(job.Need, -1)
			if machine.remote {
				shardLeader.remoteAttempts.dropIfEmpty(machine)
				continue
			}
			// The attempt runs or may still start, so it counts as using the machine's
			// resources. The job's new owner finds it in the task records and requests its
			// state. An attempt whose start was never sent does not exist on the machine.
			attempt := remote.AttemptID{Job: id, Index: i, Attempt: task.attempt}
			shardLeader.remoteAttempts.registry.Request(shardLeader.now, newOwner, remote.Request{Machine: machine.id, Attempts: []remote.AttemptRequest{{AttemptID: attempt}}})
			if !task.startSent {
				shardLeader.remoteAttempts.registry.MarkGone(shardLeader.now, machine.id, attempt)
			}
			affected[machine.id] = machine
		}
		delete(shardLeader.jobs, id)
		shardLeader.faultAttribution.ForgetJob(id)
	}
	// The recount must follow the removal of the jobs: an attempt of a job held here does not
	// count as another owner's.
	for _, id := range sortedKeys(affected) {
		shardLeader.remoteAttempts.recountOtherShardsUsed(affected[id])
		shardLeader.controller.markDispatchPending(affected[id])
	}
	delete(shardLeader.usedByTeam, team)
	shardLeader.migration.forget(team)
	delete(shardLeader.promiseDates.pageWriters, team)
	shardLeader.fleet.forgetTeam(team)
}

// syncMachines hands over the machines that belong to another owner, takes over the remote
// machines that this controller owns by the shard map, and applies new epochs.
func (shardLeader *shardLeader) syncMachines(heldShards []*sharding.Shard) {
	clear(shardLeader.shards)
	catchAll := false
	for _, shard := range heldShards {
		shardLeader.shards[shard.Name] = true
		catchAll = catchAll || shard.CatchAll
	}
	switch {
	case !catchAll:
		shardLeader.catchAllSince = time.Time{}
	case shardLeader.catchAllSince.IsZero():
		shardLeader.catchAllSince = shardLeader.now
	}
	for _, machine := range slices.Clone(shardLeader.machinesByID) {
		shard, mine := shardLeader.controller.membership.ownedMachine(machine.id)
		switch {
		case !mine:
			shardLeader.handOverMachine(machine)
		case shard.Epoch != machine.epoch:
			// Another controller may have owned the machine in between, and this controller
			// learns of that only from the new epoch. Earlier observations are discarded, and
			// the worker's lease is counted from the last reply that the former owner may
			// have sent.
			machine.raiseEpoch(shard.Epoch)
			machine.formerOwnerUntil = shardLeader.now.Add(shardLeader.controller.renewal.formerOwnerGrace())
			if !machine.leaseEnd.IsZero() {
				machine.leaseEnd = later(machine.leaseEnd, shardLeader.controller.renewal.leaseEndAfter(machine.formerOwnerUntil))
			}
			shardLeader.remoteAttempts.registry.ForgetObservations(machine.id)
			shardLeader.controller.markDispatchPending(machine)
		}
	}
	for _, id := range sortedKeys(shardLeader.remoteAttempts.machines) {
		if _, mine := shardLeader.controller.membership.ownedMachine(id); mine {
			shardLeader.takeOverMachine(shardLeader.remoteAttempts.machines[id])
		}
	}
}

// handOverMachine drops a machine that belongs to another owner. Attempts of jobs held here stay
// on it as remote attempts, and the new owner is asked about them.
func (shardLeader *shardLeader) handOverMachine(machine *machine) {
	shardLeader.removeMachine(machine)
	shardLeader.remoteAttempts.registry.ForgetMachine(machine.id)
	shardLeader.failover.clearHigherEpoch(machine.id)
	if len(machine.attempts) == 0 {
		return
	}
	remoteMachine := shardLeader.remoteAttempts.ensureRemoteMachine(machine.id)
	remoteMachine.zone, remoteMachine.machineType, remoteMachine.spot = machine.zone, machine.machineType, machine.spot
	for _, key := range sortedAttempts(machine) {
		task := machine.attempts[key]
		if !task.startSent {
			// The start was never sent, so the attempt does not exist on the machine.
			shardLeader.endAttempt(shardLeader.jobs[key.job], key.index, false)
			continue
		}
		task.machine = remoteMachine
		remoteMachine.attempts[key] = task
		remoteMachine.used = remoteMachine.used.AddScaled(shardLeader.jobs[key.job].Need, 1)
	}
	shardLeader.remoteAttempts.dropIfEmpty(remoteMachine)
	shardLeader.remoteAttempts.requestSoon()
}

// takeOverMachine turns a remote machine, on which jobs held here have attempts, into one of
// this controller's own machines, with these attempts.
func (shardLeader *shardLeader) takeOverMachine(remoteMachine *machine) {
	shardLeader.remoteAttempts.forgetMachine(remoteMachine.id)
	remoteMachine.removed = true
	machine := shardLeader.ensureMachine(remoteMachine.id)
	if machine.machineType == "" && remoteMachine.machineType != "" {
		machine.zone, machine.machineType, machine.spot = remoteMachine.zone, remoteMachine.machineType, remoteMachine.spot
		if machineType, ok := shardLeader.controller.knowledge.machineTypes[remoteMachine.machineType]; ok {
			machine.size, machine.diskGB = machineType.Capacity, machineType.DiskGB
		}
	}
	for _, key := range sortedAttempts(remoteMachine) {
		task := remoteMachine.attempts[key]
		job := shardLeader.jobs[key.job]
		job.liveByZone[remoteMachine.zone]--
		job.liveByZone[machine.zone]++
		task.machine, task.startSent = machine, true
		machine.attempts[key] = task
		machine.used = machine.used.AddScaled(job.Need, 1)
	}
	// The former owner may still answer the machine's heartbeats for a while, and each reply
	// renews the worker's lease.
	machine.leaseEnd = later(machine.leaseEnd, shardLeader.controller.renewal.leaseEndAfter(machine.formerOwnerUntil))
	shardLeader.remoteAttempts.reapplyTaskReports(machine)
	if update := shardLeader.controller.knowledge.predecessorMachines[machine.id]; shardLeader.now.Sub(update.receivedAt) < machineUpdateTTL && machine.addr == "" {
		shardLeader.describe(machine, update.Addr, update.MachineType, update.Zone, update.Spot)
	}
	shardLeader.failover.addInherited(machine)
}

// shardCompares returns the compares of a write for these teams: that each team's shard record
// is as this shard leader has read it. An empty team name, or a team that is not held here,
// stands for any of its shards.
func (shardLeader *shardLeader) shardCompares(teams ...string) []message.Compare {
	var out []message.Compare
	for _, team := range teams {
		shard := shardLeader.controller.membership.shardMap.Team(team)
		if shard == nil || !shardLeader.shards[shard.Name] {
			for _, name := range sortedKeys(shardLeader.shards) {
				if shard = shardLeader.controller.membership.shardMap.Shard(name); shard != nil {
					break
				}
			}
		}
		if shard == nil {
			// This controller holds no shard, so the write must fail: no record has this mod
			// revision.
			out = append(out, message.Compare{Key: record.ShardPrefix + shardLeader.settings.Host, ModRevision: ^uint64(0)})
			continue
		}
		if compare := (message.Compare{Key: record.ShardPrefix + shard.Name, ModRevision: shard.ModRevision}); !slices.Contains(out, compare) {
			out = append(out, compare)
		}
	}
	return out
}
