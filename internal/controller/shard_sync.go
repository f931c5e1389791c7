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
// as its records have been read. Teams and machines are taken over and handed over while their
// tasks keep running, and no other team or machine is affected.

// heldTeam is a team of a shard that this controller holds.
type heldTeam struct {
	// ready is set at readyAt, when the team's records have been read.
	ready   bool
	readyAt time.Time
	// holdID identifies this period of holding the team: a team that goes and comes back gets a
	// new one.
	holdID int
	// reassigned is set when the team has belonged to another shard since this controller got
	// it, even if it is back by now. The other shard's leader may have written records of its
	// jobs, so the state held here is out of date.
	reassigned bool
}

// markReassignedTeams marks the held teams that belong to another shard as of the revision just
// applied. It runs after each revision, because one watch response may show that a team left and
// came back.
func (c *Controller) markReassignedTeams() {
	if c.shardLeader == nil {
		return
	}
	for t, h := range c.shardLeader.teams {
		is := c.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || is == nil || is.Host != c.settings.Host || is.Incarnation != c.incarnation()
	}
}

// markReassignedAfterReRead marks the reassigned teams after ctl/ was read again as a whole,
// which does not show the changes in between. Only a team whose shard record has kept its mod
// revision has certainly not moved. before is the shard map before the read.
func (c *Controller) markReassignedAfterReRead(before *sharding.Map) {
	if c.shardLeader == nil {
		return
	}
	for t, h := range c.shardLeader.teams {
		was, is := before.Team(t), c.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || was == nil || is == nil || was.ModRevision != is.ModRevision
	}
}

// syncShardLeader creates, updates or drops the shard leader to match the records under ctl/.
func (c *Controller) syncShardLeader() {
	members := &c.membership
	if !members.loaded {
		return
	}
	var heldShards []*sharding.Shard
	if members.leaseID != 0 {
		heldShards = slices.DeleteFunc(members.shardMap.HeldBy(c.settings.Host, c.incarnation()), func(x *sharding.Shard) bool {
			return len(x.Teams) == 0 && !x.CatchAll && !members.shardMap.HasMachines(x.Name)
		})
	}
	if len(heldShards) == 0 {
		c.dropShardLeader("no shard held")
		return
	}
	if c.shardLeader == nil {
		c.shardLeader = c.newShardLeader()
		c.info("shard leadership gained", "shards", shardNames(heldShards))
		c.frontend.watchCache.watchOpenJobs()
	}
	c.shardLeader.syncMachines(heldShards)
	c.shardLeader.syncTeams(heldShards)
}

// shardNames returns the names of shards, in their order.
func shardNames(heldShards []*sharding.Shard) []string {
	var out []string
	for _, x := range heldShards {
		out = append(out, x.Name)
	}
	return out
}

// syncTeams hands over the held teams that belong to another shard or were reassigned, and loads
// the teams that are new to this controller.
func (s *shardLeader) syncTeams(heldShards []*sharding.Shard) {
	assigned := map[string]bool{}
	for _, x := range heldShards {
		for _, t := range x.Teams {
			assigned[t] = s.controller.membership.shardMap.Team(t) == x
		}
	}
	for _, t := range sortedKeys(s.teams) {
		if !assigned[t] || s.teams[t].reassigned {
			s.info("team handed over", "team", t)
			s.handOverTeam(t)
		}
	}
	for _, t := range sortedKeys(assigned) {
		if assigned[t] && s.teams[t] == nil {
			s.info("team acquired", "team", t)
			s.teams[t] = &heldTeam{holdID: int(s.nextID())}
		}
	}
	s.loadTeams()
}

// handOverTeam drops a team and its jobs. Attempts of those jobs on this controller's machines
// keep running: this controller looks after them as remote attempts until the team's new owner
// requests them or they end.
func (s *shardLeader) handOverTeam(team string) {
	delete(s.teams, team)
	newOwner := ""
	if shard := s.controller.membership.shardMap.Team(team); shard != nil {
		newOwner = shard.Host
	}
	affected := map[string]*machine{}
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if j.Team != team {
			continue
		}
		for i := range j.tasks[:j.nextFresh] {
			t := &j.tasks[i]
			m := t.machine
			if m == nil {
				continue
			}
			delete(m.attempts, taskKey{id, i})
			m.used = m.used.AddScaled(j.Need, -1)
			if m.remote {
				s.remoteAttempts.dropIfEmpty(m)
				continue
			}
			// The attempt runs or may still start, so it counts as using the machine's
			// resources. The job's new owner finds it in the task records and requests its
			// state. An attempt whose start was never sent does not exist on the machine.
			a := remote.AttemptID{Job: id, Index: i, Attempt: t.attempt}
			s.remoteAttempts.registry.Request(s.now, newOwner, remote.Request{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: a}}})
			if !t.startSent {
				s.remoteAttempts.registry.MarkGone(s.now, m.id, a)
			}
			affected[m.id] = m
		}
		delete(s.jobs, id)
		s.faultAttribution.ForgetJob(id)
	}
	// The recount must follow the removal of the jobs: an attempt of a job held here does not
	// count as another owner's.
	for _, id := range sortedKeys(affected) {
		s.remoteAttempts.recountOthersUsed(affected[id])
		s.controller.markDispatchPending(affected[id])
	}
	delete(s.usedByTeam, team)
	s.migration.forget(team)
	delete(s.promiseDates.pageWriters, team)
	s.fleet.forgetTeam(team)
}

// syncMachines hands over the machines that belong to another owner, takes over the remote
// machines that this controller owns by the shard map, and applies new epochs.
func (s *shardLeader) syncMachines(heldShards []*sharding.Shard) {
	clear(s.shards)
	catchAll := false
	for _, x := range heldShards {
		s.shards[x.Name] = true
		catchAll = catchAll || x.CatchAll
	}
	switch {
	case !catchAll:
		s.catchAllSince = time.Time{}
	case s.catchAllSince.IsZero():
		s.catchAllSince = s.now
	}
	for _, m := range slices.Clone(s.machinesByID) {
		x, mine := s.controller.membership.ownedMachine(m.id)
		switch {
		case !mine:
			s.handOverMachine(m)
		case x.Epoch != m.epoch:
			// Another controller may have owned the machine in between, and this controller
			// learns of that only from the new epoch. Earlier observations are discarded, and
			// the worker's lease is counted from the last answer that the former owner may
			// have sent.
			m.epoch, m.formerOwnerUntil = x.Epoch, s.now.Add(s.controller.renewal.formerOwnerGrace())
			if !m.leaseEnd.IsZero() {
				m.leaseEnd = later(m.leaseEnd, s.controller.renewal.leaseEndAfter(m.formerOwnerUntil))
			}
			s.remoteAttempts.registry.ForgetObservations(m.id)
			s.controller.markDispatchPending(m)
		}
	}
	for _, id := range sortedKeys(s.remoteAttempts.machines) {
		if _, mine := s.controller.membership.ownedMachine(id); mine {
			s.takeOverMachine(s.remoteAttempts.machines[id])
		}
	}
}

// handOverMachine drops a machine that belongs to another owner. Attempts of jobs held here stay
// on it as remote attempts, and the new owner is asked about them.
func (s *shardLeader) handOverMachine(m *machine) {
	s.removeMachine(m)
	s.remoteAttempts.registry.ForgetMachine(m.id)
	s.failover.clearHigherEpoch(m.id)
	if len(m.attempts) == 0 {
		return
	}
	asRemote := s.remoteAttempts.machine(m.id)
	asRemote.zone, asRemote.machineType, asRemote.spot = m.zone, m.machineType, m.spot
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		if !t.startSent {
			// The start was never sent, so the attempt does not exist on the machine.
			s.endAttempt(s.jobs[k.job], k.index, false)
			continue
		}
		t.machine = asRemote
		asRemote.attempts[k] = t
		asRemote.used = asRemote.used.AddScaled(s.jobs[k.job].Need, 1)
	}
	s.remoteAttempts.dropIfEmpty(asRemote)
	s.remoteAttempts.requestSoon()
}

// takeOverMachine turns a remote machine, on which jobs held here have attempts, into one of
// this controller's own machines, with these attempts.
func (s *shardLeader) takeOverMachine(asRemote *machine) {
	s.remoteAttempts.forgetMachine(asRemote.id)
	asRemote.removed = true
	m := s.ensureMachine(asRemote.id)
	if m.machineType == "" && asRemote.machineType != "" {
		m.zone, m.machineType, m.spot = asRemote.zone, asRemote.machineType, asRemote.spot
		if f, ok := s.controller.knowledge.machineTypes[asRemote.machineType]; ok {
			m.size, m.disk = f.Capacity, f.DiskGB
		}
	}
	for _, k := range sortedAttempts(asRemote) {
		t := asRemote.attempts[k]
		j := s.jobs[k.job]
		j.liveByZone[asRemote.zone]--
		j.liveByZone[m.zone]++
		t.machine, t.startSent = m, true
		m.attempts[k] = t
		m.used = m.used.AddScaled(j.Need, 1)
	}
	// The former owner may still answer the machine's heartbeats for a while, and each answer
	// renews the worker's lease.
	m.leaseEnd = later(m.leaseEnd, s.controller.renewal.leaseEndAfter(m.formerOwnerUntil))
	s.remoteAttempts.rePoll(m)
	if h := s.controller.knowledge.predecessorMachines[m.id]; s.now.Sub(h.receivedAt) < machineUpdateTTL && m.addr == "" {
		s.describe(m, h.Addr, h.MachineType, h.Zone, h.Spot)
	}
	s.failover.addInherited(m)
}

// shardCompares returns the compares of a write for these teams: that each team's shard record
// is as this shard leader has read it. An empty team name, or a team that is not held here,
// stands for any of its shards.
func (s *shardLeader) shardCompares(teams ...string) []message.Compare {
	var out []message.Compare
	for _, t := range teams {
		shard := s.controller.membership.shardMap.Team(t)
		if shard == nil || !s.shards[shard.Name] {
			for _, name := range sortedKeys(s.shards) {
				if shard = s.controller.membership.shardMap.Shard(name); shard != nil {
					break
				}
			}
		}
		if shard == nil {
			// This controller holds no shard, so the write must fail: no record has this mod
			// revision.
			out = append(out, message.Compare{Key: record.ShardPrefix + s.settings.Host, ModRevision: ^uint64(0)})
			continue
		}
		if c := (message.Compare{Key: record.ShardPrefix + shard.Name, ModRevision: shard.ModRevision}); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}
