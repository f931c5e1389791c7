package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// teamLoad reads the records of teams that a shard leader has acquired: the open jobs, as of a
// moment after the teams were acquired, then the tasks, the migrations and, for the first teams,
// the prewarmed images. No former holder of the teams can write in between, because each of its
// writes compares the mod revision of its own shard.
//
// A shard leader has at most one teamLoad. It ends with recoverTeams, or when its shard leader
// is dropped.
type teamLoad struct {
	*shardLeader
	// requested are the teams to load, as they were held at startedAt.
	requested      map[string]*heldTeam
	startedAt      time.Time
	tasks          []message.KeyValue
	migrationItems []message.KeyValue
}

// loadTeams starts reading the records of the teams that are not ready, unless a read is under
// way.
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
	l := &teamLoad{shardLeader: s, requested: teams, startedAt: s.now}
	l.readOpenJobs()
}

// current reports whether the shard leader that started this load is still the controller's.
func (l *teamLoad) current() bool {
	return l.controller.shardLeader != nil && l.controller.shardLeader.generation == l.generation
}

// readOpenJobs reads the open jobs, again and again until that succeeds, and then the other
// records.
func (l *teamLoad) readOpenJobs() {
	l.controller.frontend.watchCache.refresh(func(ok bool) {
		switch {
		case !l.current():
		case !ok:
			l.after(l.jitter(storeRetryDelay), func() {
				if l.current() {
					l.readOpenJobs()
				}
			})
		default:
			l.listTasks()
		}
	})
}

// listTasks reads the task records and the migrations.
func (l *teamLoad) listTasks() {
	l.controller.requests.readAll(record.TaskSegmentPrefix, message.PriorityMembership, l.current, func(tasks []message.KeyValue) {
		l.tasks = tasks
		l.controller.shardLeader.migration.read(func(items []message.KeyValue) {
			l.migrationItems = items
			if l.ready {
				l.finish()
			} else {
				l.listPrewarmed("")
			}
		})
	})
}

// listPrewarmed reads the records of the images that machines hold, after the key from. These
// records only improve placement: if they can't be read, the load goes on without them.
func (l *teamLoad) listPrewarmed(from string) {
	l.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.PrewarmedPrefix, StartAfter: from}, func(d message.StoreResponse) {
		if !l.current() {
			return
		}
		for _, it := range d.KeyValues {
			l.controller.shardLeader.persistence.applyPrewarmedRecord(it)
		}
		if d.Status == message.StoreOK && d.Truncated && len(d.KeyValues) > 0 {
			l.listPrewarmed(d.KeyValues[len(d.KeyValues)-1].Key)
			return
		}
		l.finish()
	})
}

// finish hands the records to the shard leader.
func (l *teamLoad) finish() {
	l.controller.shardLeader.recoverTeams(l.requested, l.tasks, l.migrationItems, l.startedAt)
}

// recoverTeams restores the jobs of the requested teams from the records and marks these teams
// ready.
func (s *shardLeader) recoverTeams(requested map[string]*heldTeam, tasks, migrationItems []message.KeyValue, startedAt time.Time) {
	s.loadingTeams = false
	firstLoad := !s.ready
	// A team may have left while its records were read. If it has come back, its holder in
	// between may have written more records, so the team is loaded again.
	teams := slices.DeleteFunc(sortedKeys(requested), func(t string) bool { return s.teams[t] != requested[t] })
	formats := &s.controller.membership.formats
	for _, it := range tasks {
		// A sized segment is written only after every controller has recorded that it supports
		// them, so the segment's format can be adopted.
		if f, _, ok := formats.parseSegmentKey(it.Key); ok {
			formats.adoptFormat(f)
		}
	}
	recovered := s.recoverJobs(teams, firstLoad)
	slices.SortStableFunc(tasks, formats.compareFormats)
	s.recoverSegments(recovered, tasks, firstLoad)
	attempts := 0
	for _, id := range sortedKeys(recovered) {
		s.failover.queueRecovered(recovered[id])
		attempts += recovered[id].liveTasks
	}
	for _, t := range teams {
		s.teams[t].ready, s.teams[t].readyAt = true, s.now
		s.controller.promises.recoverPages(t, recovered)
	}
	s.migration.recoverRecords(teams, migrationItems)
	s.scheduler.requestPlacement()
	s.remoteAttempts.requestSoon()
	for _, m := range s.machinesByID {
		// Tasks on the machine may belong to a team that another shard held until this load.
		s.remoteAttempts.rePoll(m)
	}
	if firstLoad {
		s.ready, s.readyAt = true, s.now
		s.failover.adoptPredecessorMachines()
	}
	s.info("shard leader ready", "teams", teams, "jobs", len(recovered), "attempts", attempts, "machines", len(s.machines), "after", s.now.Sub(startedAt))
	s.failover.contactAll()
	s.loadTeams()
}

// recoverJobs adds the open jobs of the teams and returns them by ID. On the first load it also
// adds cancelled jobs without a team, of which an earlier version of this program kept no other
// fields.
func (s *shardLeader) recoverJobs(teams []string, firstLoad bool) map[string]*job {
	recovered := map[string]*job{}
	cache := &s.controller.frontend.watchCache
	for _, id := range sortedKeys(cache.openJobs) {
		l := cache.openJobs[id]
		if !slices.Contains(teams, l.rec.Team) && !(firstLoad && l.rec.Cancelled && l.rec.Team == "") || s.jobs[id] != nil {
			continue
		}
		if s.controller.frontend.finalStatuses[id] == model.Done {
			continue
		}
		if err := l.rec.Validate(); err != nil {
			s.rejectInput("record", record.OpenJobPrefix+id, err.Error())
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
	return recovered
}

// recoverSegments applies the task records of the recovered jobs. On the first load it queues
// the records of jobs that are over for deletion.
func (s *shardLeader) recoverSegments(recovered map[string]*job, tasks []message.KeyValue, firstLoad bool) {
	for _, it := range tasks {
		id := record.JobIDFromKey(it.Key, record.TaskSegmentPrefix)
		j := recovered[id]
		if j == nil {
			if _, open := s.controller.frontend.watchCache.openJobs[id]; firstLoad && !open {
				s.persistence.addOrphanedRecord(it.Key)
			}
			continue
		}
		var r record.TaskSegment
		if !record.Decode(it.Value, &r) {
			s.rejectInput("record", it.Key, "record unreadable")
			continue
		}
		s.failover.recoverSegment(j, it, &r)
	}
}

// adoptPredecessorMachines adds the machines of this controller's shards that other shard
// leaders have published within machineUpdateTTL.
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

// syncOpenJobs brings the shard leader's jobs in line with the records under open/ after these
// were read again as a whole because the watch was too far behind.
func (c *Controller) syncOpenJobs() {
	s := c.shardLeader
	if s == nil || !s.ready {
		return
	}
	open := c.frontend.watchCache.openJobs
	for _, id := range sortedKeys(s.jobs) {
		if l, there := open[id]; there {
			if l.modRevision > s.jobs[id].modRevision {
				s.applyJobRecord(s.jobs[id], l.modRevision, &l.rec)
			}
		} else if s.jobs[id].elsewhere() {
			delete(s.jobs, id)
		}
	}
	for _, id := range sortedKeys(open) {
		if l := open[id]; s.jobs[id] == nil {
			s.applyOpenJob(message.KeyValue{Key: record.OpenJobPrefix + id, Value: record.Encode(l.rec), ModRevision: l.modRevision})
		}
	}
}
