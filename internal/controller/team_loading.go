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
func (shardLeader *shardLeader) loadTeams() {
	if shardLeader.loadingTeams {
		return
	}
	teams := map[string]*heldTeam{}
	for team, held := range shardLeader.teams {
		if !held.ready {
			teams[team] = held
		}
	}
	if len(teams) == 0 && shardLeader.ready {
		return
	}
	shardLeader.loadingTeams = true
	load := &teamLoad{shardLeader: shardLeader, requested: teams, startedAt: shardLeader.now}
	load.readOpenJobs()
}

// current reports whether the shard leader that started this load is still the controller's.
func (load *teamLoad) current() bool {
	return load.controller.shardLeader != nil && load.controller.shardLeader.generation == load.generation
}

// readOpenJobs reads the open jobs, retrying until that succeeds, and then the other records.
func (load *teamLoad) readOpenJobs() {
	load.controller.frontend.watchCache.refresh(func(ok bool) {
		switch {
		case !load.current():
		case !ok:
			load.after(load.jitter(storeRetryDelay), func() {
				if load.current() {
					load.readOpenJobs()
				}
			})
		default:
			load.listTasks()
		}
	})
}

// listTasks reads the task records and the migrations.
func (load *teamLoad) listTasks() {
	load.controller.requests.readAll(record.TaskSegmentPrefix, message.PriorityMembership, load.current, func(tasks []message.KeyValue) {
		load.tasks = tasks
		load.controller.shardLeader.migration.read(func(items []message.KeyValue) {
			load.migrationItems = items
			if load.ready {
				load.finish()
			} else {
				load.listPrewarmed("")
			}
		})
	})
}

// listPrewarmed reads the records of the images that machines hold, after the key from. These
// records only improve placement: if they can't be read, the load goes on without them.
func (load *teamLoad) listPrewarmed(from string) {
	load.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.PrewarmedPrefix, StartAfter: from}, func(response message.StoreResponse) {
		if !load.current() {
			return
		}
		for _, kv := range response.KeyValues {
			load.controller.shardLeader.persistence.applyPrewarmedRecord(kv)
		}
		if response.Status == message.StoreOK && response.Truncated && len(response.KeyValues) > 0 {
			load.listPrewarmed(response.KeyValues[len(response.KeyValues)-1].Key)
			return
		}
		load.finish()
	})
}

// finish hands the records to the shard leader.
func (load *teamLoad) finish() {
	load.controller.shardLeader.recoverTeams(load.requested, load.tasks, load.migrationItems, load.startedAt)
}

// recoverTeams restores the jobs of the requested teams from the records and marks these teams
// ready.
func (shardLeader *shardLeader) recoverTeams(requested map[string]*heldTeam, tasks, migrationItems []message.KeyValue, startedAt time.Time) {
	shardLeader.loadingTeams = false
	firstLoad := !shardLeader.ready
	// A team may have left while its records were read. If it has come back, its holder in
	// between may have written more records, so the team is loaded again.
	teams := slices.DeleteFunc(sortedKeys(requested), func(team string) bool { return shardLeader.teams[team] != requested[team] })
	formats := &shardLeader.controller.membership.formats
	for _, kv := range tasks {
		// A sized segment is written only after every controller has recorded that it supports
		// sized segments, so the segment's format can be adopted.
		if format, _, ok := formats.parseSegmentKey(kv.Key); ok {
			formats.adoptFormat(format)
		}
	}
	recovered := shardLeader.recoverJobs(teams, firstLoad)
	slices.SortStableFunc(tasks, formats.compareFormats)
	shardLeader.recoverSegments(recovered, tasks, firstLoad)
	attempts := 0
	for _, id := range sortedKeys(recovered) {
		shardLeader.failover.queueRecovered(recovered[id])
		attempts += recovered[id].liveTasks
	}
	for _, team := range teams {
		shardLeader.teams[team].ready, shardLeader.teams[team].readyAt = true, shardLeader.now
		shardLeader.controller.promises.recoverPages(team, recovered)
	}
	shardLeader.migration.recoverRecords(teams, migrationItems)
	shardLeader.scheduler.requestPlacement()
	shardLeader.remoteAttempts.requestSoon()
	for _, machine := range shardLeader.machinesByID {
		// Tasks on the machine may belong to a team that another shard held until this load.
		shardLeader.remoteAttempts.reapplyTaskReports(machine)
	}
	if firstLoad {
		shardLeader.ready, shardLeader.readyAt = true, shardLeader.now
		shardLeader.failover.adoptPredecessorMachines()
	}
	shardLeader.info("shard leader ready", "teams", teams, "jobs", len(recovered), "attempts", attempts, "machines", len(shardLeader.machines), "after", shardLeader.now.Sub(startedAt))
	shardLeader.failover.contactAll()
	shardLeader.loadTeams()
}

// recoverJobs adds the open jobs of the teams and returns them by ID. On the first load it also
// adds cancelled jobs without a team, of which an earlier version of this program kept no other
// fields.
func (shardLeader *shardLeader) recoverJobs(teams []string, firstLoad bool) map[string]*job {
	recovered := map[string]*job{}
	cache := &shardLeader.controller.frontend.watchCache
	for _, id := range sortedKeys(cache.openJobs) {
		open := cache.openJobs[id]
		if !slices.Contains(teams, open.rec.Team) && !(firstLoad && open.rec.Cancelled && open.rec.Team == "") || shardLeader.jobs[id] != nil {
			continue
		}
		if shardLeader.controller.frontend.finalStatuses[id] == model.Done {
			continue
		}
		if err := open.rec.Validate(); err != nil {
			shardLeader.rejectInput("record", record.OpenJobPrefix+id, err.Error())
			continue
		}
		spec := open.rec.JobSpec(id)
		if open.rec.Cancelled {
			spec.Tasks = open.rec.Tasks
		}
		job := shardLeader.addJob(spec, time.UnixMilli(open.rec.SubmittedAtMillis), open.modRevision)
		recovered[id] = job
		shardLeader.applyJobRecord(job, open.modRevision, &open.rec)
	}
	return recovered
}

// recoverSegments applies the task records of the recovered jobs. On the first load it queues
// the records of jobs that are over for deletion.
func (shardLeader *shardLeader) recoverSegments(recovered map[string]*job, tasks []message.KeyValue, firstLoad bool) {
	for _, kv := range tasks {
		id := record.JobIDFromKey(kv.Key, record.TaskSegmentPrefix)
		job := recovered[id]
		if job == nil {
			if _, open := shardLeader.controller.frontend.watchCache.openJobs[id]; firstLoad && !open {
				shardLeader.persistence.addOrphanedRecord(kv.Key)
			}
			continue
		}
		var segment record.TaskSegment
		if !record.Decode(kv.Value, &segment) {
			shardLeader.rejectInput("record", kv.Key, "record unreadable")
			continue
		}
		shardLeader.failover.recoverSegment(job, kv, &segment)
	}
}

// adoptPredecessorMachines adds the machines of this controller's shards that other shard
// leaders have published within machineUpdateTTL.
func (failover *failover) adoptPredecessorMachines() {
	for _, id := range sortedKeys(failover.controller.knowledge.predecessorMachines) {
		update := failover.controller.knowledge.predecessorMachines[id]
		if _, mine := failover.controller.membership.ownedMachine(id); !mine || failover.now.Sub(update.receivedAt) >= machineUpdateTTL || failover.controller.knowledge.released[id] {
			continue
		}
		machine := failover.controller.shardLeader.ensureMachine(id)
		failover.controller.shardLeader.describe(machine, update.Addr, update.MachineType, update.Zone, update.Spot)
		for name, sizeGB := range update.Images {
			machine.images[name] = &image{sizeGB: sizeGB, lastUsedAt: failover.now, cached: true}
		}
	}
}

// syncOpenJobs brings the shard leader's jobs in line with the records under open/ after these
// were read again as a whole because the watch was too far behind.
func (controller *Controller) syncOpenJobs() {
	shardLeader := controller.shardLeader
	if shardLeader == nil || !shardLeader.ready {
		return
	}
	open := controller.frontend.watchCache.openJobs
	for _, id := range sortedKeys(shardLeader.jobs) {
		if entry, there := open[id]; there {
			if entry.modRevision > shardLeader.jobs[id].modRevision {
				shardLeader.applyJobRecord(shardLeader.jobs[id], entry.modRevision, &entry.rec)
			}
		} else if shardLeader.jobs[id].isLentOrLending() {
			delete(shardLeader.jobs, id)
		}
	}
	for _, id := range sortedKeys(open) {
		if entry := open[id]; shardLeader.jobs[id] == nil {
			shardLeader.applyOpenJob(message.KeyValue{Key: record.OpenJobPrefix + id, Value: record.Encode(entry.rec), ModRevision: entry.modRevision})
		}
	}
}
