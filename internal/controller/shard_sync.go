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
func markReassignedTeams(n *Controller) {
	if n.shardLeader == nil {
		return
	}
	for t, h := range n.shardLeader.teams {
		s := n.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || s == nil || s.Host != n.settings.Host || s.Incarnation != n.incarnation()
	}
}

// markReassignedAfterReRead does the same when ctl/ has been read anew and what happened in between
// is not told: only a share that has not been written since has kept its teams.
func markReassignedAfterReRead(n *Controller, before *sharding.Map) {
	if n.shardLeader == nil {
		return
	}
	for t, h := range n.shardLeader.teams {
		was, is := before.Team(t), n.membership.shardMap.Team(t)
		h.reassigned = h.reassigned || was == nil || is == nil || was.ModRevision != is.ModRevision
	}
}

// syncShardLeader brings the owner's books in step with ctl/.
func (n *Controller) syncShardLeader() {
	s := &n.membership
	if !s.loaded {
		return
	}
	var heldShards []*sharding.Shard
	if s.leaseID != 0 {
		heldShards = slices.DeleteFunc(s.shardMap.HeldBy(n.settings.Host, n.incarnation()), func(x *sharding.Shard) bool {
			return len(x.Teams) == 0 && !x.CatchAll && !s.shardMap.HasMachines(x.Name)
		})
	}
	if len(heldShards) == 0 {
		n.dropShardLeader("no share")
		return
	}
	if n.shardLeader == nil {
		n.shardLeader = newShardLeader(n)
		n.info("owner", "shares", shardNames(heldShards))
		n.watchOpenJobs()
	}
	syncMachines(n, heldShards)
	syncTeams(n, heldShards)
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
func syncTeams(n *Controller, heldShards []*sharding.Shard) {
	o := n.shardLeader
	assigned := map[string]bool{}
	for _, x := range heldShards {
		for _, t := range x.Teams {
			assigned[t] = n.membership.shardMap.Team(t) == x
		}
	}
	for _, t := range sortedKeys(o.teams) {
		if !assigned[t] || o.teams[t].reassigned {
			n.info("a team goes", "team", t)
			handOverTeam(n, t)
		}
	}
	for _, t := range sortedKeys(assigned) {
		if assigned[t] && o.teams[t] == nil {
			n.info("a team comes", "team", t)
			o.teams[t] = &heldTeam{holdID: int(n.nextID())}
		}
	}
	loadTeams(n)
}

// handOverTeam takes a team's jobs out of the books. What of them runs here goes on, in
// the care of this controller, until their new owner asks for it or it ends.
func handOverTeam(n *Controller, team string) {
	o := n.shardLeader
	delete(o.teams, team)
	newOwner := ""
	if s := n.membership.shardMap.Team(team); s != nil {
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
			o.registry.Request(n.now, newOwner, remote.Request{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: a}}})
			if !t.startSent {
				o.registry.MarkGone(n.now, m.id, a)
			}
			affected[m.id] = m
		}
		delete(o.jobs, id)
		o.faultAttribution.ForgetJob(id)
	}
	// Only now: what belongs to a job in the books is not counted as another's.
	for _, id := range sortedKeys(affected) {
		n.recountOthersUsed(affected[id])
		n.markDispatchPending(affected[id])
	}
	delete(o.usedByTeam, team)
	forgetMigrations(n, team)
	delete(o.promiseDates.pageWriters, team)
	for k := range o.arrivals {
		if k.team == team {
			delete(o.arrivals, k)
		}
	}
}

// syncMachines lets go of the machines that are another's now, takes up those that
// have come, and notes whose the others are.
func syncMachines(n *Controller, heldShards []*sharding.Shard) {
	o := n.shardLeader
	clear(o.shards)
	catchAll := false
	for _, x := range heldShards {
		o.shards[x.Name] = true
		catchAll = catchAll || x.CatchAll
	}
	switch {
	case !catchAll:
		o.catchAllSince = time.Time{}
	case o.catchAllSince.IsZero():
		o.catchAllSince = n.now
	}
	for _, m := range slices.Clone(o.machinesByID) {
		x, mine := n.ownedMachine(m.id)
		switch {
		case !mine:
			handOverMachine(n, m)
		case x.Epoch != m.epoch:
			// It may have been another's in between, of which this one has read only
			// now: what was seen of it, and when its lease ends, count anew.
			m.epoch, m.formerOwnerUntil = x.Epoch, n.now.Add(n.formerOwnerGrace())
			if !m.leaseEnd.IsZero() {
				m.leaseEnd = later(m.leaseEnd, n.leaseEndAfter(m.formerOwnerUntil))
			}
			o.registry.ForgetObservations(m.id)
			n.markDispatchPending(m)
		}
	}
	for _, id := range sortedKeys(o.remoteMachines) {
		if _, mine := n.ownedMachine(id); mine {
			takeOverMachine(n, o.remoteMachines[id])
		}
	}
}

// handOverMachine forgets a machine that is another's now. The attempts of this owner's
// jobs on it stay there: its new owner is asked about them.
func handOverMachine(n *Controller, m *machine) {
	o := n.shardLeader
	o.removeMachine(m)
	o.registry.ForgetMachine(m.id)
	delete(o.higherEpochSeen, m.id)
	if len(m.attempts) == 0 {
		return
	}
	asRemote := n.remoteMachine(m.id)
	asRemote.zone, asRemote.machineType, asRemote.spot = m.zone, m.machineType, m.spot
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		if !t.startSent {
			// Never told to anybody, so it is nowhere.
			n.endAttempt(o.jobs[k.job], k.index, false)
			continue
		}
		t.machine = asRemote
		asRemote.attempts[k] = t
		asRemote.used = asRemote.used.AddScaled(o.jobs[k.job].Need, 1)
	}
	o.dropRemoteMachine(asRemote)
	o.remoteAttempts.due = true
}

// takeOverMachine takes up a machine on which this owner's jobs have run under another.
func takeOverMachine(n *Controller, asRemote *machine) {
	o := n.shardLeader
	delete(o.remoteMachines, asRemote.id)
	asRemote.removed = true
	m := n.ensureMachine(asRemote.id)
	if m.machineType == "" && asRemote.machineType != "" {
		m.zone, m.machineType, m.spot = asRemote.zone, asRemote.machineType, asRemote.spot
		if f, ok := n.machineTypes[asRemote.machineType]; ok {
			m.size, m.disk = f.Capacity, f.DiskGB
		}
	}
	for _, k := range sortedAttempts(asRemote) {
		t := asRemote.attempts[k]
		j := o.jobs[k.job]
		j.liveByZone[asRemote.zone]--
		j.liveByZone[m.zone]++
		t.machine, t.startSent = m, true
		m.attempts[k] = t
		m.used = m.used.AddScaled(j.Need, 1)
	}
	// Whoever had it may go on answering it for a while.
	m.leaseEnd = later(m.leaseEnd, n.leaseEndAfter(m.formerOwnerUntil))
	n.rePoll(m)
	if h := n.predecessorMachines[m.id]; n.now.Sub(h.receivedAt) < machineUpdateTTL && m.addr == "" {
		n.describe(m, h.Addr, h.MachineType, h.Zone, h.Spot)
	}
	o.inheritedMachines = append(o.inheritedMachines, m)
}

// remoteMachine is a machine of another owner, as far as this one's jobs have attempts there.
func (n *Controller) remoteMachine(id string) *machine {
	a := n.shardLeader.remoteMachines[id]
	if a == nil {
		a = &machine{id: id, remote: true, attempts: map[taskKey]*task{}, images: map[string]*image{}}
		if h, ok := n.predecessorMachines[id]; ok {
			a.zone, a.machineType, a.spot = h.Zone, h.MachineType, h.Spot
		}
		n.shardLeader.remoteMachines[id] = a
	}
	return a
}

// dropRemoteMachine forgets a machine of another owner when nothing of ours is on it.
func (o *shardLeader) dropRemoteMachine(a *machine) {
	if len(a.attempts) == 0 {
		delete(o.remoteMachines, a.id)
		a.removed = true
	}
}

// ownedOrRemoteMachine is the machine that a record names, whoever owns it.
func (n *Controller) ownedOrRemoteMachine(id string) *machine {
	if _, mine := n.ownedMachine(id); mine {
		return n.ensureMachine(id)
	}
	return n.remoteMachine(id)
}

// shardCompares are what a write for these teams has among its conditions: that their
// shares are as this owner has read them. "" stands for any of its shares.
func (n *Controller) shardCompares(teams ...string) []message.Compare {
	var out []message.Compare
	for _, t := range teams {
		s := n.membership.shardMap.Team(t)
		if s == nil || !n.shardLeader.shards[s.Name] {
			for _, name := range sortedKeys(n.shardLeader.shards) {
				if s = n.membership.shardMap.Shard(name); s != nil {
					break
				}
			}
		}
		if s == nil {
			// Nothing is held any more; the write is to fail.
			out = append(out, message.Compare{Key: record.ShardPrefix + n.settings.Host, ModRevision: ^uint64(0)})
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
func loadTeams(n *Controller) {
	o := n.shardLeader
	if o.loadingTeams {
		return
	}
	teams := map[string]*heldTeam{}
	for t, h := range o.teams {
		if !h.ready {
			teams[t] = h
		}
	}
	if len(teams) == 0 && o.ready {
		return
	}
	o.loadingTeams = true
	began := n.now
	gen := o.generation
	var tasks, migrationItems []message.KeyValue
	current := func() bool { return n.shardLeader != nil && n.shardLeader.generation == gen }
	var readOpenJobs, listTasks func()
	var listPrewarmed func(from string)
	readOpenJobs = func() {
		n.refresh(func(ok bool) {
			switch {
			case !current():
			case !ok:
				n.after(n.jitter(storeRetryDelay), func() {
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
		readAll(n, record.TaskSegmentPrefix, message.PriorityMembership, current, func(its []message.KeyValue) {
			tasks = its
			readMigrations(n, func(its []message.KeyValue) {
				migrationItems = its
				if o.ready {
					recoverTeams(n, teams, tasks, migrationItems, began)
				} else {
					listPrewarmed("")
				}
			})
		})
	}
	// Images are no more than a help: without them it goes on as well.
	listPrewarmed = func(from string) {
		n.requestStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.PrewarmedPrefix, StartAfter: from}, func(d message.StoreResponse) {
			if !current() {
				return
			}
			for _, it := range d.KeyValues {
				n.applyPrewarmedRecord(it)
			}
			if d.Status == message.StoreOK && d.Truncated && len(d.KeyValues) > 0 {
				listPrewarmed(d.KeyValues[len(d.KeyValues)-1].Key)
				return
			}
			recoverTeams(n, teams, tasks, migrationItems, began)
		})
	}
	readOpenJobs()
}

// readAll reads all that stands under a prefix, page by page and again until it is
// answered, as long as it is wanted, and gives it to then.
func readAll(n *Controller, prefix string, prio message.Priority, wanted func() bool, then func([]message.KeyValue)) {
	var got []message.KeyValue
	var list func(from string)
	list = func(from string) {
		n.requestStore(message.StoreRequest{Kind: message.OpList, Priority: prio, Key: prefix, StartAfter: from}, func(d message.StoreResponse) {
			switch {
			case !wanted():
			case d.Status != message.StoreOK:
				n.after(n.jitter(storeRetryDelay), func() {
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
func recoverTeams(n *Controller, requested map[string]*heldTeam, tasks, migrationItems []message.KeyValue, began time.Time) {
	o := n.shardLeader
	o.loadingTeams = false
	firstLoad := !o.ready
	// Some may have gone while their records were read, and others may have written
	// more of them, even if they are back by now.
	teams := slices.DeleteFunc(sortedKeys(requested), func(t string) bool { return o.teams[t] != requested[t] })
	recovered := map[string]*job{}
	for _, it := range tasks {
		// Whoever wrote a part knew that all know parts.
		if f, _, ok := n.parseSegmentKey(it.Key); ok {
			adoptFormat(n, f)
		}
	}
	for _, id := range sortedKeys(n.frontend.watchCache.openJobs) {
		l := n.frontend.watchCache.openJobs[id]
		if !slices.Contains(teams, l.rec.Team) && !(firstLoad && l.rec.Cancelled && l.rec.Team == "") || o.jobs[id] != nil {
			continue
		}
		if n.frontend.finalStatuses[id] == model.Done {
			continue
		}
		if bad := l.rec.Validate(); bad != "" {
			n.rejectInput("record", record.OpenJobPrefix+id, bad)
			continue
		}
		spec := l.rec.JobSpec(id)
		if l.rec.Cancelled {
			spec.Tasks = l.rec.Tasks
		}
		j := n.addJob(spec, time.UnixMilli(l.rec.SubmittedAtMillis), l.modRevision)
		recovered[id] = j
		n.applyJobRecord(j, l.modRevision, &l.rec)
	}
	attempts := 0
	slices.SortStableFunc(tasks, n.compareFormats)
	for _, it := range tasks {
		id := record.JobIDFromKey(it.Key, record.TaskSegmentPrefix)
		j := recovered[id]
		if j == nil {
			if _, open := n.frontend.watchCache.openJobs[id]; firstLoad && !open {
				o.orphanedRecords = append(o.orphanedRecords, it.Key)
			}
			continue
		}
		var r record.TaskSegment
		if !record.Decode(it.Value, &r) {
			n.rejectInput("record", it.Key, "it can't be read")
			continue
		}
		n.recoverSegment(j, it, &r)
	}
	for _, id := range sortedKeys(recovered) {
		n.queueRecovered(recovered[id])
		attempts += recovered[id].liveTasks
	}
	for _, t := range teams {
		o.teams[t].ready, o.teams[t].readyAt = true, n.now
		recoverPromises(n, t, recovered)
	}
	recoverMigrations(n, teams, migrationItems)
	o.placementDue = true
	o.remoteAttempts.due = true
	for _, m := range o.machinesByID {
		// What runs there may have been another's until now.
		n.rePoll(m)
	}
	if firstLoad {
		o.ready, o.readyAt = true, n.now
		adoptPredecessorMachines(n)
	}
	n.info("owner ready", "teams", teams, "jobs", len(recovered), "attempts", attempts, "machines", len(o.machines), "after", n.now.Sub(began))
	// Reach the machines at once, those with living attempts first: the epoch ends
	// what a former owner may still order, and their reports are the proof. Those
	// without are contacted as well, or they would stay with a former owner that has
	// lost the state service alone, for the whole of its grace.
	o.inheritedMachines = slices.Clone(o.machinesByID)
	sortInheritedByRank(n, o.inheritedMachines)
	n.contactInheritedMachines()
	loadTeams(n)
}

// adoptPredecessorMachines takes up what other owners last told of machines that are this one's.
func adoptPredecessorMachines(n *Controller) {
	for _, id := range sortedKeys(n.predecessorMachines) {
		h := n.predecessorMachines[id]
		if _, mine := n.ownedMachine(id); !mine || n.now.Sub(h.receivedAt) >= machineUpdateTTL || n.released[id] {
			continue
		}
		m := n.ensureMachine(id)
		n.describe(m, h.Addr, h.MachineType, h.Zone, h.Spot)
		for name, gb := range h.Images {
			m.images[name] = &image{sizeGB: gb, last: n.now, cached: true}
		}
	}
}

// syncOpenJobs brings the jobs in step with open/ after it has been read anew, since
// the watch was too far behind.
func syncOpenJobs(n *Controller) {
	o := n.shardLeader
	if o == nil || !o.ready {
		return
	}
	open := n.frontend.watchCache.openJobs
	for _, id := range sortedKeys(o.jobs) {
		if l, there := open[id]; there {
			if l.modRevision > o.jobs[id].modRevision {
				n.applyJobRecord(o.jobs[id], l.modRevision, &l.rec)
			}
		} else if o.jobs[id].elsewhere() {
			delete(o.jobs, id)
		}
	}
	for _, id := range sortedKeys(open) {
		if l := open[id]; o.jobs[id] == nil {
			n.applyOpenJob(message.KeyValue{Key: record.OpenJobPrefix + id, Value: record.Encode(l.rec), ModRevision: l.modRevision})
		}
	}
}

// IsShardLeader says whether this node runs jobs now.
func (n *Controller) IsShardLeader() bool {
	return n.shardLeader != nil && n.shardLeader.ready && len(n.shardLeader.teams) > 0
}
