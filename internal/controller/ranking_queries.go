package controller

import (
	"fmt"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
	"github.com/micahill/micahill/internal/record"
)

// rankingClassSpec converts a class to its form in replies.
func rankingClassSpec(class ranking.Class) message.RankingClassSpec {
	return message.RankingClassSpec{Name: class.Name, Workloads: class.Workloads, Urgency: class.Urgency, WaitBoundSeconds: class.WaitBound.Seconds(), ReservedFraction: class.ReservedFraction}
}

// set writes a ranking, if the stored one is still the revision that the operator has seen.
func (rankings *rankingState) set(command message.SetRanking) {
	refuse := func(status int, format string, args ...any) {
		rankings.emit(message.RankingReply{Reply: command.Reply, Status: status, Message: fmt.Sprintf(format, args...)})
	}
	switch {
	case !rankings.settings.Capabilities.Ranking:
		refuse(404, "the ranking is not enabled")
		return
	case !rankings.fits(command.Record):
		refuse(400, "the ranking is too long for the state service: want at most %.0f bytes", rankingValueFraction*float64(rankings.settings.MaxValueBytes))
		return
	case rankings.controller.membership.storeDown(rankings.now) || !rankings.controller.membership.loaded:
		refuse(503, "nothing is set: the state service does not answer")
		return
	}
	readDone, timedOut := false, false
	rankings.after(command.Deadline.Sub(rankings.now), func() {
		if timedOut = true; !readDone {
			refuse(503, "nothing is set: the state service does not answer")
		}
	})
	rankings.controller.membership.confirmControlRecords(func() {
		if timedOut {
			return
		}
		readDone = true
		if !command.AnyRevision && command.Revision != rankings.highestRevision {
			refuse(409, "nothing is set: revision %d stands there, not %d; look at it and give --rev %d", rankings.highestRevision, command.Revision, rankings.highestRevision)
			return
		}
		rec := command.Record
		rec.Revision, rec.SetAt = rankings.highestRevision+1, rankings.now
		rankings.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Compares: []message.Compare{{Key: record.RankingKey, ModRevision: rankings.modRevision}}, Writes: rankingWrites(rec)}, func(response message.StoreResponse) {
			switch response.Status {
			case message.StoreOK:
				rankings.emit(message.RankingReply{Reply: command.Reply, Status: 200, Host: rankings.settings.Host, Revision: rec.Revision, SetBy: rec.SetBy, SetAt: rec.SetAt})
			case message.StoreConflict:
				refuse(409, "nothing is set: somebody else set a ranking meanwhile; look at it and try again")
			case message.StoreUnknown:
				refuse(503, "no response from the state service: revision %d may be set already, later or never; look at the ranking before trying again", rec.Revision)
			default:
				refuse(503, "nothing is set: the state service refuses the write for now")
			}
		})
	})
}

// query replies with the ranking as this controller knows it.
func (rankings *rankingState) query(query message.QueryRanking) {
	if !rankings.settings.Capabilities.Ranking {
		rankings.emit(message.RankingReply{Reply: query.Reply, Status: 404, Message: "the ranking is not enabled"})
		return
	}
	if query.History {
		rankings.queryHistory(query)
		return
	}
	reply := message.RankingReply{
		Reply: query.Reply, Status: 200, Host: rankings.settings.Host, Revision: rankings.lastValid.Revision, SetBy: rankings.lastValid.SetBy, SetAt: rankings.lastValid.SetAt, Derived: rankings.lastValid.Derived, InvalidReason: rankings.invalidReason,
		AsOfSeconds: max(0, rankings.now.Sub(rankings.asOf).Seconds()), Classes: rankings.classes(),
	}
	if rankings.asOf.IsZero() {
		reply.AsOfSeconds = -1
	}
	if query.Job != "" {
		reply.Explanation = rankings.explainRank(query.Job)
	}
	rankings.emit(reply)
}

// queryHistory replies with the rankings in the history.
func (rankings *rankingState) queryHistory(query message.QueryRanking) {
	rankings.readHistory(rankings.now.Add(userRequestTimeout), func(records []ranking.Record) {
		if len(records) == 0 && rankings.modRevision != 0 {
			rankings.emit(message.RankingReply{Reply: query.Reply, Status: 503, Message: "the state service does not answer"})
			return
		}
		reply := message.RankingReply{Reply: query.Reply, Status: 200, Host: rankings.settings.Host, Revision: rankings.lastValid.Revision}
		for _, rec := range records {
			entry := message.RankingRecord{Revision: rec.Revision, SetBy: rec.SetBy, SetAt: rec.SetAt, Derived: rec.Derived}
			for _, class := range rec.Classes {
				entry.Classes = append(entry.Classes, rankingClassSpec(class))
			}
			reply.History = append(reply.History, entry)
		}
		rankings.emit(reply)
	})
}

// classes lists all ranks, each with the number of its jobs and tasks in this controller's shard.
func (rankings *rankingState) classes() []message.RankingClass {
	classes := make([]message.RankingClass, rankings.table.RankCount())
	for i := range classes {
		classes[i].Rank = i + 1
		if i < len(rankings.lastValid.Classes) && rankings.table != nil {
			classes[i].Configured, classes[i].RankingClassSpec = true, rankingClassSpec(rankings.lastValid.Classes[i])
		} else {
			classes[i].Urgency = ranking.Urgencies[len(classes)-1-i]
			classes[i].Name = "(" + classes[i].Urgency + ")"
		}
	}
	if rankings.controller.shardLeader == nil {
		return classes
	}
	for _, job := range rankings.controller.shardLeader.jobs {
		class := &classes[rankings.rankOf(job)]
		class.Jobs++
		class.WaitingTasks += job.pendingTasks()
		class.LiveTasks += job.liveTasks
	}
	return classes
}

// explainRank returns a line that says which jobs are ahead of a job and what keeps the job from
// starting.
func (rankings *rankingState) explainRank(id string) string {
	status, ok := rankings.controller.frontend.finalStatuses[id]
	if ok {
		return fmt.Sprintf("%s is %s", id, status)
	}
	entry, open := rankings.controller.frontend.watchCache.openJobs[id]
	if !open {
		return fmt.Sprintf("%s is not an open job in what %s has read of the state service", id, rankings.settings.Host)
	}
	var job *job
	if rankings.controller.shardLeader != nil {
		job = rankings.controller.shardLeader.jobs[id]
	}
	if job == nil {
		if owner := rankings.controller.membership.shardMap.Team(entry.rec.Team); owner != nil && owner.Host != rankings.settings.Host {
			return fmt.Sprintf("%s is scheduled by %s, the shard leader of its team %s: ask there", id, owner.Host, entry.rec.Team)
		}
		return fmt.Sprintf("%s waits until a shard leader of its team %s has read its records", id, entry.rec.Team)
	}
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	add("%s: class %s, place %d of %d; %d of %d tasks wait", id, rankings.table.ClassName(job.Workload, int(job.Urgency)), rankings.rankOf(job)+1, rankings.table.RankCount(), job.pendingTasks(), len(job.tasks))
	if job.pendingTasks() > 0 {
		rankings.explainJobsAhead(job, add)
	}
	for _, blocker := range rankings.explainBlockers(job) {
		add("%s", blocker)
	}
	return strings.Join(parts, "; ")
}

// explainJobsAhead adds the number of pending jobs and tasks ahead of the job, by class.
func (rankings *rankingState) explainJobsAhead(job *job, add func(string, ...any)) {
	type counts struct{ jobs, tasks int }
	ahead := map[int]counts{}
	names := map[int]string{}
	aheadInClass, found := 0, false
	for _, other := range rankings.controller.shardLeader.scheduler.jobsInQueueOrder() {
		if found = other == job; found {
			break
		}
		rank := rankings.rankOf(other)
		if rank == rankings.rankOf(job) {
			aheadInClass++
		}
		before := ahead[rank]
		ahead[rank] = counts{before.jobs + 1, before.tasks + other.pendingTasks()}
		names[rank] = rankings.table.ClassName(other.Workload, int(other.Urgency))
	}
	if !found {
		return
	}
	add("position %d in its class", aheadInClass+1)
	for _, rank := range sortedKeys(ahead) {
		add("ahead of it: class %s with %d jobs, %d tasks", names[rank], ahead[rank].jobs, ahead[rank].tasks)
	}
}

// explainBlockers returns what keeps a job's tasks from starting, apart from the jobs ahead of it.
func (rankings *rankingState) explainBlockers(job *job) []string {
	shardLeader := rankings.controller.shardLeader
	var blockers []string
	add := func(format string, args ...any) { blockers = append(blockers, fmt.Sprintf(format, args...)) }
	fetching, unsent := 0, 0
	for i := range job.tasks[:job.nextFresh] {
		switch task := &job.tasks[i]; {
		case task.machine == nil || task.stopReason != stopNone:
		case !task.startSent:
			unsent++
		case !task.reported || task.status == model.Fetching:
			fetching++
		}
	}
	if unsent > 0 {
		add("%d tasks are placed and wait until their record is durable", unsent)
	}
	if fetching > 0 {
		add("%d tasks are fetching their image", fetching)
	}
	switch {
	case job.cancelled:
		add("it is cancelled")
	case job.isLentOrLending():
		add("it is lent to %s", job.lentTo)
	case job.dependenciesPending:
		add("it waits for %s", rankings.controller.describeDependencies(job.ID))
	case job.pendingTasks() == 0:
	case !job.mayStart(rankings.now):
		add("the cluster that lent it has not recently confirmed that it may start here")
	case shardLeader.faultAttribution.FailsEverywhere(job.ID):
		add("it fails on every machine, so its tasks are tried one at a time")
	case !rankings.controller.shardLeader.scheduler.withinQuotaLimit(job):
		add("its team %s is at its quota limit: it continues when tasks of the team end", job.Team)
	default:
		blockers = append(blockers, rankings.explainCapacity(job)...)
	}
	return blockers
}

// explainCapacity returns on how many machines the job's next task would fit, or else which
// capacity is missing.
func (rankings *rankingState) explainCapacity(job *job) []string {
	suitable, fitting, wrongZone := 0, 0, 0
	for _, machine := range rankings.controller.shardLeader.machinesByID {
		if !job.allowsMachine(machine.machineType, machine.zone, machine.spot) || !job.Need.Fits(machine.size) || !rankings.controller.shardLeader.scheduler.usable(machine) {
			continue
		}
		suitable++
		switch {
		case !job.Need.Fits(machine.free()):
		case !job.zoneAllowed(machine.zone):
			wrongZone++
		default:
			fitting++
		}
	}
	refusedKinds := 0
	if view := rankings.controller.shardLeader.fleet.view; view != nil {
		for kind, until := range view.blockedUntil {
			if machineType, ok := rankings.controller.knowledge.machineTypes[kind.machineType]; ok && until.After(rankings.now) && job.allowsMachine(kind.machineType, kind.zone, kind.spot) && job.Need.Fits(machineType.Capacity) {
				refusedKinds++
			}
		}
	}
	var lines []string
	switch {
	case fitting > 0 && job.Gang:
		lines = append(lines, fmt.Sprintf("%d machines have free capacity for one of its tasks: it starts when all its tasks fit at once", fitting))
	case fitting > 0:
		lines = append(lines, fmt.Sprintf("%d machines have free capacity for it: it starts in the next placement round, unless other pending jobs depend on these machines more", fitting))
	case wrongZone > 0:
		lines = append(lines, fmt.Sprintf("%d machines have free capacity, in zones that its same_place or apart excludes", wrongZone))
	case suitable > 0:
		lines = append(lines, fmt.Sprintf("%d suitable machines are full: it starts when tasks there end, or when another machine is rented", suitable))
	default:
		lines = append(lines, "no running machine is suitable: it starts when one is rented")
	}
	if refusedKinds > 0 {
		lines = append(lines, fmt.Sprintf("the cloud has recently refused %d suitable kinds of machine", refusedKinds))
	}
	return lines
}
