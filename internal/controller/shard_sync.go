package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// shard_sync.go keeps the shard leader in line with the shard map: which teams and machines
// are this controller's, by the records read so far. What comes is taken over as it runs,
// what goes is handed over as it runs; nothing else is disturbed.

// heldTeam is a team of a shard that this controller holds.
type heldTeam struct {
	// ready: its records have been read, at readyAt.
	ready   bool
	readyAt time.Time
	// holdID tells this time that the team is held from others.
	holdID int
	// reassigned: it has been another shard's since it came, even if it is back by now. The
	// other leader has written of its jobs, so that what is known here is out of date.
	reassigned bool
}

// markReassignedTeams notes which teams are another shard's as of the revision just applied.
// It runs after each revision, since one answer may show that a team went and came back.
func (c *Controller) markReassignedTeams() {
	if c.shardLeader == nil {
		return
	}
	for t, h := range c.shardLeader.teams {
		is := c.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || is == nil || is.Host != c.settings.Host || is.Incarnation != c.incarnation()
	}
}

// markReassignedAfterReRead does the same when ctl/ has been read anew, which doesn't show
// what happened in between: only a shard that has not been written since has kept its teams.
func (c *Controller) markReassignedAfterReRead(before *sharding.Map) {
	if c.shardLeader == nil {
		return
	}
	for t, h := range c.shardLeader.teams {
		was, is := before.Team(t), c.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || was == nil || is == nil || was.ModRevision != is.ModRevision
	}
}

// syncShardLeader makes, updates or drops the shard leader to match ctl/.
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

func shardNames(heldShards []*sharding.Shard) []string {
	var out []string
	for _, x := range heldShards {
		out = append(out, x.Name)
	}
	return out
}

// syncTeams hands over the teams that are another shard's now, and loads those that came.
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

// handOverTeam drops a team and its jobs. Their attempts on machines here go on, as remote
// attempts in this controller's care, until their new owner asks for them or they end.
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
			// It runs or may yet start, and takes resources. The job's new owner reads of it
			// and asks. A start that was never sent is nowhere.
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
	// Only now: an attempt of a job held here does not count as another's.
	for _, id := range sortedKeys(affected) {
		s.remoteAttempts.recountOthersUsed(affected[id])
		s.controller.markDispatchPending(affected[id])
	}
	delete(s.usedByTeam, team)
	s.migration.forget(team)
	delete(s.promiseDates.pageWriters, team)
	s.fleet.forgetTeam(team)
}

// syncMachines hands over the machines that are another shard's now, takes over those that
// came, and notes new epochs.
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
			// It may have been another's in between, which this controller has read only now:
			// what was observed of it, and when its lease ends, count anew.
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

// handOverMachine drops a machine that is another shard's now. Attempts of jobs held here stay
// on it as remote attempts: its new owner is asked about them.
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
			// Never sent, so it is nowhere.
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

// takeOverMachine makes a remote machine, on which jobs held here have attempts, one of this
// shard.
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
	// Its former owner may go on answering it for a while.
	m.leaseEnd = later(m.leaseEnd, s.controller.renewal.leaseEndAfter(m.formerOwnerUntil))
	s.remoteAttempts.rePoll(m)
	if h := s.controller.knowledge.predecessorMachines[m.id]; s.now.Sub(h.receivedAt) < machineUpdateTTL && m.addr == "" {
		s.describe(m, h.Addr, h.MachineType, h.Zone, h.Spot)
	}
	s.failover.addInherited(m)
}

// shardCompares are the conditions of a write for these teams: that their shards are as this
// shard leader has read them. "" stands for any of its shards.
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
			// Nothing is held any more, so the write must fail.
			out = append(out, message.Compare{Key: record.ShardPrefix + s.settings.Host, ModRevision: ^uint64(0)})
			continue
		}
		if c := (message.Compare{Key: record.ShardPrefix + shard.Name, ModRevision: shard.ModRevision}); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}
