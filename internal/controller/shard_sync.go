package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// shard_sync.go keeps the owner's books in step with the division: which teams and which
// machines are this controller's, by the records that it has read. What comes is taken
// up where it is, what goes is let go where it is; nothing else is disturbed.

// heldTeam is a team of this owner.
type heldTeam struct {
	// ready: its records have been read, since readyAt.
	ready   bool
	readyAt time.Time
	// holdID tells this time from others that the team was here.
	holdID int
	// away: it has been another's since it came, even if it is back by now. That other
	// has written of its jobs, so that what is in the books is not what stands there.
	reassigned bool
}

// markReassignedTeams notes which teams are another's as of the revision that ctl/ has just been
// brought to. One answer may tell of many: that a team went and that it came back.
func (c *Controller) markReassignedTeams() {
	if c.shardLeader == nil {
		return
	}
	for t, h := range c.shardLeader.teams {
		is := c.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || is == nil || is.Host != c.settings.Host || is.Incarnation != c.incarnation()
	}
}

// markReassignedAfterReRead does the same when ctl/ has been read anew and what happened in between
// is not told: only a share that has not been written since has kept its teams.
func (c *Controller) markReassignedAfterReRead(before *sharding.Map) {
	if c.shardLeader == nil {
		return
	}
	for t, h := range c.shardLeader.teams {
		was, is := before.Team(t), c.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || was == nil || is == nil || was.ModRevision != is.ModRevision
	}
}

// syncShardLeader brings the owner's books in step with ctl/.
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

// syncTeams lets go of the teams that are another's now, and reads the records of
// those that have come.
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

// handOverTeam takes a team's jobs out of the books. What of them runs here goes on, in
// the care of this controller, until their new owner asks for it or it ends.
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
				s.dropRemoteMachine(m)
				continue
			}
			// It may run or yet begin, and takes room. Whoever owns the job now reads
			// of it and asks. What was never told to anybody is nowhere.
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
	// Only now: what belongs to a job in the books is not counted as another's.
	for _, id := range sortedKeys(affected) {
		s.remoteAttempts.recountOthersUsed(affected[id])
		s.controller.markDispatchPending(affected[id])
	}
	delete(s.usedByTeam, team)
	s.migration.forget(team)
	delete(s.promiseDates.pageWriters, team)
	s.fleet.forgetTeam(team)
}

// syncMachines lets go of the machines that are another's now, takes up those that
// have come, and notes whose the others are.
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
			// It may have been another's in between, of which this one has read only
			// now: what was seen of it, and when its lease ends, count anew.
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

// handOverMachine forgets a machine that is another's now. The attempts of this owner's
// jobs on it stay there: its new owner is asked about them.
func (s *shardLeader) handOverMachine(m *machine) {
	s.removeMachine(m)
	s.remoteAttempts.registry.ForgetMachine(m.id)
	s.failover.forgetMachine(m.id)
	if len(m.attempts) == 0 {
		return
	}
	asRemote := s.remoteMachine(m.id)
	asRemote.zone, asRemote.machineType, asRemote.spot = m.zone, m.machineType, m.spot
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		if !t.startSent {
			// Never told to anybody, so it is nowhere.
			s.endAttempt(s.jobs[k.job], k.index, false)
			continue
		}
		t.machine = asRemote
		asRemote.attempts[k] = t
		asRemote.used = asRemote.used.AddScaled(s.jobs[k.job].Need, 1)
	}
	s.dropRemoteMachine(asRemote)
	s.remoteAttempts.requestSoon()
}

// takeOverMachine takes up a machine on which this owner's jobs have run under another.
func (s *shardLeader) takeOverMachine(asRemote *machine) {
	delete(s.remoteAttempts.machines, asRemote.id)
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
	// Whoever had it may go on answering it for a while.
	m.leaseEnd = later(m.leaseEnd, s.controller.renewal.leaseEndAfter(m.formerOwnerUntil))
	s.remoteAttempts.rePoll(m)
	if h := s.controller.knowledge.predecessorMachines[m.id]; s.now.Sub(h.receivedAt) < machineUpdateTTL && m.addr == "" {
		s.describe(m, h.Addr, h.MachineType, h.Zone, h.Spot)
	}
	s.failover.addInherited(m)
}

// shardCompares are what a write for these teams has among its conditions: that their
// shares are as this owner has read them. "" stands for any of its shares.
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
			// Nothing is held any more; the write is to fail.
			out = append(out, message.Compare{Key: record.ShardPrefix + s.settings.Host, ModRevision: ^uint64(0)})
			continue
		}
		if c := (message.Compare{Key: record.ShardPrefix + shard.Name, ModRevision: shard.ModRevision}); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}
