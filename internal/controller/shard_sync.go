package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
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
func markReassignedTeams(c *Controller) {
	if c.shardLeader == nil {
		return
	}
	for t, h := range c.shardLeader.teams {
		s := c.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || s == nil || s.Host != c.settings.Host || s.Incarnation != c.incarnation()
	}
}

// markReassignedAfterReRead does the same when ctl/ has been read anew and what happened in between
// is not told: only a share that has not been written since has kept its teams.
func markReassignedAfterReRead(c *Controller, before *sharding.Map) {
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
	s := &c.membership
	if !s.loaded {
		return
	}
	var heldShards []*sharding.Shard
	if s.leaseID != 0 {
		heldShards = slices.DeleteFunc(s.shardMap.HeldBy(c.settings.Host, c.incarnation()), func(x *sharding.Shard) bool {
			return len(x.Teams) == 0 && !x.CatchAll && !s.shardMap.HasMachines(x.Name)
		})
	}
	if len(heldShards) == 0 {
		c.dropShardLeader("no share")
		return
	}
	if c.shardLeader == nil {
		c.shardLeader = newShardLeader(c)
		c.info("owner", "shares", shardNames(heldShards))
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
			s.info("a team goes", "team", t)
			s.handOverTeam(t)
		}
	}
	for _, t := range sortedKeys(assigned) {
		if assigned[t] && s.teams[t] == nil {
			s.info("a team comes", "team", t)
			s.teams[t] = &heldTeam{holdID: int(s.nextID())}
		}
	}
	s.loadTeams()
}

// handOverTeam takes a team's jobs out of the books. What of them runs here goes on, in
// the care of this controller, until their new owner asks for it or it ends.
func (o *shardLeader) handOverTeam(team string) {
	delete(o.teams, team)
	newOwner := ""
	if s := o.controller.membership.shardMap.Team(team); s != nil {
		newOwner = s.Host
	}
	affected := map[string]*machine{}
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
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
				o.dropRemoteMachine(m)
				continue
			}
			// It may run or yet begin, and takes room. Whoever owns the job now reads
			// of it and asks. What was never told to anybody is nowhere.
			a := remote.AttemptID{Job: id, Index: i, Attempt: t.attempt}
			o.remoteAttempts.registry.Request(o.now, newOwner, remote.Request{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: a}}})
			if !t.startSent {
				o.remoteAttempts.registry.MarkGone(o.now, m.id, a)
			}
			affected[m.id] = m
		}
		delete(o.jobs, id)
		o.faultAttribution.ForgetJob(id)
	}
	// Only now: what belongs to a job in the books is not counted as another's.
	for _, id := range sortedKeys(affected) {
		o.controller.shardLeader.remoteAttempts.recountOthersUsed(affected[id])
		o.controller.markDispatchPending(affected[id])
	}
	delete(o.usedByTeam, team)
	o.controller.shardLeader.migration.forget(team)
	delete(o.promiseDates.pageWriters, team)
	for k := range o.fleet.arrivals {
		if k.team == team {
			o.fleet.forgetArrivals(k)
		}
	}
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
	delete(s.failover.higherEpochSeen, m.id)
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
	s.remoteAttempts.due = true
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
	s.controller.shardLeader.remoteAttempts.rePoll(m)
	if h := s.controller.knowledge.predecessorMachines[m.id]; s.now.Sub(h.receivedAt) < machineUpdateTTL && m.addr == "" {
		s.describe(m, h.Addr, h.MachineType, h.Zone, h.Spot)
	}
	s.failover.inheritedMachines = append(s.failover.inheritedMachines, m)
}

// remoteMachine is a machine of another owner, as far as this one's jobs have attempts there.
func (s *shardLeader) remoteMachine(id string) *machine {
	a := s.remoteAttempts.machines[id]
	if a == nil {
		a = &machine{id: id, remote: true, attempts: map[taskKey]*task{}, images: map[string]*image{}}
		if h, ok := s.controller.knowledge.predecessorMachines[id]; ok {
			a.zone, a.machineType, a.spot = h.Zone, h.MachineType, h.Spot
		}
		s.remoteAttempts.machines[id] = a
	}
	return a
}

// dropRemoteMachine forgets a machine of another owner when nothing of ours is on it.
func (s *shardLeader) dropRemoteMachine(a *machine) {
	if len(a.attempts) == 0 {
		delete(s.remoteAttempts.machines, a.id)
		a.removed = true
	}
}

// ownedOrRemoteMachine is the machine that a record names, whoever owns it.
func (s *shardLeader) ownedOrRemoteMachine(id string) *machine {
	if _, mine := s.controller.membership.ownedMachine(id); mine {
		return s.ensureMachine(id)
	}
	return s.remoteMachine(id)
}

// shardCompares are what a write for these teams has among its conditions: that their
// shares are as this owner has read them. "" stands for any of its shares.
func (o *shardLeader) shardCompares(teams ...string) []message.Compare {
	var out []message.Compare
	for _, t := range teams {
		s := o.controller.membership.shardMap.Team(t)
		if s == nil || !o.shards[s.Name] {
			for _, name := range sortedKeys(o.shards) {
				if s = o.controller.membership.shardMap.Shard(name); s != nil {
					break
				}
			}
		}
		if s == nil {
			// Nothing is held any more; the write is to fail.
			out = append(out, message.Compare{Key: record.ShardPrefix + o.settings.Host, ModRevision: ^uint64(0)})
			continue
		}
		if c := (message.Compare{Key: record.ShardPrefix + s.Name, ModRevision: s.ModRevision}); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// loadTeams reads the records of teams that are not ready: first what is open, as of
// a moment after they came, then the tasks. Whoever had them before can write nothing
// in between: what it writes names its own share.
func (s *shardLeader) loadTeams() {
	if s.loadingTeams {
		return
	}
	teams := map[string]*heldTeam{}
	for t, h := range s.teams {
		if !h.ready {
			teams[t] = h
		}
	}
	if len(teams) == 0 && s.ready {
		return
	}
	s.loadingTeams = true
	began := s.now
	gen := s.generation
	var tasks, migrationItems []message.KeyValue
	current := func() bool { return s.controller.shardLeader != nil && s.controller.shardLeader.generation == gen }
	var readOpenJobs, listTasks func()
	var listPrewarmed func(from string)
	readOpenJobs = func() {
		s.controller.frontend.watchCache.refresh(func(ok bool) {
			switch {
			case !current():
			case !ok:
				s.after(s.jitter(storeRetryDelay), func() {
					if current() {
						readOpenJobs()
					}
				})
			default:
				listTasks()
			}
		})
	}
	listTasks = func() {
		readAll(s.controller, record.TaskSegmentPrefix, message.PriorityMembership, current, func(its []message.KeyValue) {
			tasks = its
			s.controller.shardLeader.migration.read(func(its []message.KeyValue) {
				migrationItems = its
				if s.ready {
					s.controller.shardLeader.recoverTeams(teams, tasks, migrationItems, began)
				} else {
					listPrewarmed("")
				}
			})
		})
	}
	// Images are no more than a help: without them it goes on as well.
	listPrewarmed = func(from string) {
		s.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.PrewarmedPrefix, StartAfter: from}, func(d message.StoreResponse) {
			if !current() {
				return
			}
			for _, it := range d.KeyValues {
				s.controller.shardLeader.persistence.applyPrewarmedRecord(it)
			}
			if d.Status == message.StoreOK && d.Truncated && len(d.KeyValues) > 0 {
				listPrewarmed(d.KeyValues[len(d.KeyValues)-1].Key)
				return
			}
			s.controller.shardLeader.recoverTeams(teams, tasks, migrationItems, began)
		})
	}
	readOpenJobs()
}

// readAll reads all that stands under a prefix, page by page and again until it is
// answered, as long as it is wanted, and gives it to then.
func readAll(c *Controller, prefix string, prio message.Priority, wanted func() bool, then func([]message.KeyValue)) {
	var got []message.KeyValue
	var list func(from string)
	list = func(from string) {
		c.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: prio, Key: prefix, StartAfter: from}, func(d message.StoreResponse) {
			switch {
			case !wanted():
			case d.Status != message.StoreOK:
				c.after(c.jitter(storeRetryDelay), func() {
					if wanted() {
						list(from)
					}
				})
			default:
				got = append(got, d.KeyValues...)
				if d.Truncated && len(d.KeyValues) > 0 {
					list(d.KeyValues[len(d.KeyValues)-1].Key)
					return
				}
				then(got)
			}
		})
	}
	list("")
}

// recoverTeams restores the jobs of teams from what was read.
func (s *shardLeader) recoverTeams(requested map[string]*heldTeam, tasks, migrationItems []message.KeyValue, began time.Time) {
	s.loadingTeams = false
	firstLoad := !s.ready
	// Some may have gone while their records were read, and others may have written
	// more of them, even if they are back by now.
	teams := slices.DeleteFunc(sortedKeys(requested), func(t string) bool { return s.teams[t] != requested[t] })
	recovered := map[string]*job{}
	for _, it := range tasks {
		// Whoever wrote a part knew that all know parts.
		if f, _, ok := s.controller.membership.formats.parseSegmentKey(it.Key); ok {
			s.controller.membership.formats.adoptFormat(f)
		}
	}
	for _, id := range sortedKeys(s.controller.frontend.watchCache.openJobs) {
		l := s.controller.frontend.watchCache.openJobs[id]
		if !slices.Contains(teams, l.rec.Team) && !(firstLoad && l.rec.Cancelled && l.rec.Team == "") || s.jobs[id] != nil {
			continue
		}
		if s.controller.frontend.finalStatuses[id] == model.Done {
			continue
		}
		if bad := l.rec.Validate(); bad != "" {
			s.rejectInput("record", record.OpenJobPrefix+id, bad)
			continue
		}
		spec := l.rec.JobSpec(id)
		if l.rec.Cancelled {
			spec.Tasks = l.rec.Tasks
		}
		j := s.addJob(spec, time.UnixMilli(l.rec.SubmittedAtMillis), l.modRevision)
		recovered[id] = j
		s.applyJobRecord(j, l.modRevision, &l.rec)
	}
	attempts := 0
	slices.SortStableFunc(tasks, s.controller.membership.formats.compareFormats)
	for _, it := range tasks {
		id := record.JobIDFromKey(it.Key, record.TaskSegmentPrefix)
		j := recovered[id]
		if j == nil {
			if _, open := s.controller.frontend.watchCache.openJobs[id]; firstLoad && !open {
				s.persistence.orphanedRecords = append(s.persistence.orphanedRecords, it.Key)
			}
			continue
		}
		var r record.TaskSegment
		if !record.Decode(it.Value, &r) {
			s.rejectInput("record", it.Key, "it can't be read")
			continue
		}
		s.controller.shardLeader.failover.recoverSegment(j, it, &r)
	}
	for _, id := range sortedKeys(recovered) {
		s.controller.shardLeader.failover.queueRecovered(recovered[id])
		attempts += recovered[id].liveTasks
	}
	for _, t := range teams {
		s.teams[t].ready, s.teams[t].readyAt = true, s.now
		s.controller.promises.recoverPages(t, recovered)
	}
	s.controller.shardLeader.migration.recoverRecords(teams, migrationItems)
	s.scheduler.requestPlacement()
	s.remoteAttempts.due = true
	for _, m := range s.machinesByID {
		// What runs there may have been another's until now.
		s.controller.shardLeader.remoteAttempts.rePoll(m)
	}
	if firstLoad {
		s.ready, s.readyAt = true, s.now
		s.controller.shardLeader.failover.adoptPredecessorMachines()
	}
	s.info("owner ready", "teams", teams, "jobs", len(recovered), "attempts", attempts, "machines", len(s.machines), "after", s.now.Sub(began))
	// Reach the machines at once, those with living attempts first: the epoch ends
	// what a former owner may still order, and their reports are the proof. Those
	// without are contacted as well, or they would stay with a former owner that has
	// lost the state service alone, for the whole of its grace.
	s.failover.inheritedMachines = slices.Clone(s.machinesByID)
	s.controller.ranking.sortInheritedByRank(s.failover.inheritedMachines)
	s.controller.shardLeader.failover.contactInheritedMachines()
	s.loadTeams()
}

// adoptPredecessorMachines takes up what other owners last told of machines that are this one's.
func (f *failover) adoptPredecessorMachines() {
	for _, id := range sortedKeys(f.controller.knowledge.predecessorMachines) {
		h := f.controller.knowledge.predecessorMachines[id]
		if _, mine := f.controller.membership.ownedMachine(id); !mine || f.now.Sub(h.receivedAt) >= machineUpdateTTL || f.controller.knowledge.released[id] {
			continue
		}
		m := f.controller.shardLeader.ensureMachine(id)
		f.controller.shardLeader.describe(m, h.Addr, h.MachineType, h.Zone, h.Spot)
		for name, gb := range h.Images {
			m.images[name] = &image{sizeGB: gb, last: f.now, cached: true}
		}
	}
}

// syncOpenJobs brings the jobs in step with open/ after it has been read anew, since
// the watch was too far behind.
func syncOpenJobs(c *Controller) {
	o := c.shardLeader
	if o == nil || !o.ready {
		return
	}
	open := c.frontend.watchCache.openJobs
	for _, id := range sortedKeys(o.jobs) {
		if l, there := open[id]; there {
			if l.modRevision > o.jobs[id].modRevision {
				c.shardLeader.applyJobRecord(o.jobs[id], l.modRevision, &l.rec)
			}
		} else if o.jobs[id].elsewhere() {
			delete(o.jobs, id)
		}
	}
	for _, id := range sortedKeys(open) {
		if l := open[id]; o.jobs[id] == nil {
			c.shardLeader.applyOpenJob(message.KeyValue{Key: record.OpenJobPrefix + id, Value: record.Encode(l.rec), ModRevision: l.modRevision})
		}
	}
}

// IsShardLeader says whether this node runs jobs now.
func (c *Controller) IsShardLeader() bool {
	return c.shardLeader != nil && c.shardLeader.ready && len(c.shardLeader.teams) > 0
}
