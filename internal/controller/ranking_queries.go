package controller

import (
	"fmt"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
	"github.com/micahill/micahill/internal/record"
)

// rankingClassSpec is a class as replies have it.
func rankingClassSpec(c ranking.Class) message.RankingClassSpec {
	return message.RankingClassSpec{Name: c.Name, Workloads: c.Workloads, Urgency: c.Urgency, WaitBoundSeconds: c.WaitBound.Seconds(), ReservedFraction: c.ReservedFraction}
}

// set writes a ranking, if the one that stands is that which the operator has seen.
func (r *rankingState) set(cmd message.SetRanking) {
	refuse := func(status int, format string, args ...any) {
		r.emit(message.RankingReply{Reply: cmd.Reply, Status: status, Message: fmt.Sprintf(format, args...)})
	}
	switch {
	case !r.settings.Capabilities.Ranking:
		refuse(404, "it is not switched on")
		return
	case !r.fits(cmd.Record):
		refuse(400, "the ranking is too long for the state service: want at most %.0f bytes", rankingValueFraction*float64(r.settings.MaxValueBytes))
		return
	case r.controller.membership.storeDown(r.now) || !r.controller.membership.loaded:
		refuse(503, "nothing is set: the state service does not answer")
		return
	}
	readDone, timedOut := false, false
	r.after(cmd.Deadline.Sub(r.now), func() {
		if timedOut = true; !readDone {
			refuse(503, "nothing is set: the state service does not answer")
		}
	})
	r.controller.membership.confirmControlRecords(func() {
		if timedOut {
			return
		}
		readDone = true
		if !cmd.AnyRevision && cmd.Revision != r.highestRevision {
			refuse(409, "nothing is set: revision %d stands there, not %d; look at it and give --rev %d", r.highestRevision, cmd.Revision, r.highestRevision)
			return
		}
		rec := cmd.Record
		rec.Revision, rec.SetAt = r.highestRevision+1, r.now
		r.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Compares: []message.Compare{{Key: record.RankingKey, ModRevision: r.modRevision}}, Writes: rankingWrites(rec)}, func(resp message.StoreResponse) {
			switch resp.Status {
			case message.StoreOK:
				r.emit(message.RankingReply{Reply: cmd.Reply, Status: 200, Host: r.settings.Host, Revision: rec.Revision, SetBy: rec.SetBy, SetAt: rec.SetAt})
			case message.StoreConflict:
				refuse(409, "nothing is set: somebody else set a ranking meanwhile; look at it and try again")
			case message.StoreUnknown:
				refuse(503, "no answer: revision %d may be set or not, or soon; look before trying again", rec.Revision)
			default:
				refuse(503, "nothing is set: the state service refuses it for now")
			}
		})
	})
}

// query answers with the ranking as it is known here.
func (r *rankingState) query(c message.QueryRanking) {
	if !r.settings.Capabilities.Ranking {
		r.emit(message.RankingReply{Reply: c.Reply, Status: 404, Message: "it is not switched on"})
		return
	}
	if c.History {
		r.queryHistory(c)
		return
	}
	reply := message.RankingReply{
		Reply: c.Reply, Status: 200, Host: r.settings.Host, Revision: r.lastValid.Revision, SetBy: r.lastValid.SetBy, SetAt: r.lastValid.SetAt, Derived: r.lastValid.Derived, InvalidReason: r.invalidReason,
		AsOfSeconds: max(0, r.now.Sub(r.asOf).Seconds()), Classes: r.classes(),
	}
	if r.asOf.IsZero() {
		reply.AsOfSeconds = -1
	}
	if c.Job != "" {
		reply.Explanation = r.explainRank(c.Job)
	}
	r.emit(reply)
}

// queryHistory answers with the rankings that are kept.
func (r *rankingState) queryHistory(c message.QueryRanking) {
	r.readHistory(r.now.Add(userRequestTimeout), func(recs []ranking.Record) {
		if len(recs) == 0 && r.modRevision != 0 {
			r.emit(message.RankingReply{Reply: c.Reply, Status: 503, Message: "the state service does not answer"})
			return
		}
		reply := message.RankingReply{Reply: c.Reply, Status: 200, Host: r.settings.Host, Revision: r.lastValid.Revision}
		for _, x := range recs {
			h := message.RankingRecord{Revision: x.Revision, SetBy: x.SetBy, SetAt: x.SetAt, Derived: x.Derived}
			for _, class := range x.Classes {
				h.Classes = append(h.Classes, rankingClassSpec(class))
			}
			reply.History = append(reply.History, h)
		}
		r.emit(reply)
	})
}

// classes lists all ranks, with the jobs and tasks of each in this controller's shard.
func (r *rankingState) classes() []message.RankingClass {
	out := make([]message.RankingClass, r.table.RankCount())
	for i := range out {
		out[i].Rank = i + 1
		if i < len(r.lastValid.Classes) && r.table != nil {
			out[i].Configured, out[i].RankingClassSpec = true, rankingClassSpec(r.lastValid.Classes[i])
		} else {
			out[i].Urgency = ranking.Urgencies[len(out)-1-i]
			out[i].Name = "(" + out[i].Urgency + ")"
		}
	}
	if r.controller.shardLeader == nil {
		return out
	}
	for _, j := range r.controller.shardLeader.jobs {
		x := &out[r.rankOf(j)]
		x.Jobs++
		x.WaitingTasks += j.pendingTasks()
		x.LiveTasks += j.liveTasks
	}
	return out
}

// explainRank says in a line which jobs are ahead of a job and what keeps it from starting.
func (r *rankingState) explainRank(id string) string {
	s, ok := r.controller.frontend.finalStatuses[id]
	if ok {
		return fmt.Sprintf("%s is %s", id, s)
	}
	l, open := r.controller.frontend.watchCache.openJobs[id]
	if !open {
		return fmt.Sprintf("%s is not open, as far as %s has read", id, r.settings.Host)
	}
	var j *job
	if r.controller.shardLeader != nil {
		j = r.controller.shardLeader.jobs[id]
	}
	if j == nil {
		if x := r.controller.membership.shardMap.Team(l.rec.Team); x != nil && x.Host != r.settings.Host {
			return fmt.Sprintf("%s is run by %s, which has its team %s: ask there", id, x.Host, l.rec.Team)
		}
		return fmt.Sprintf("%s waits until its team %s has an owner that has read it", id, l.rec.Team)
	}
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	add("%s: class %s, place %d of %d; %d of %d tasks wait", id, r.table.ClassName(j.Workload, int(j.Urgency)), r.rankOf(j)+1, r.table.RankCount(), j.pendingTasks(), len(j.tasks))
	if j.pendingTasks() > 0 {
		r.explainJobsAhead(j, add)
	}
	for _, why := range r.explainBlockers(j) {
		add("%s", why)
	}
	return strings.Join(parts, "; ")
}

// explainJobsAhead adds the jobs that are pending ahead of j.
func (r *rankingState) explainJobsAhead(j *job, add func(string, ...any)) {
	type front struct{ jobs, tasks int }
	ahead := map[int]front{}
	names := map[int]string{}
	aheadInClass, found := 0, false
	for _, x := range r.controller.shardLeader.scheduler.jobsInQueueOrder() {
		if found = x == j; found {
			break
		}
		p := r.rankOf(x)
		if p == r.rankOf(j) {
			aheadInClass++
		}
		f := ahead[p]
		ahead[p] = front{f.jobs + 1, f.tasks + x.pendingTasks()}
		names[p] = r.table.ClassName(x.Workload, int(x.Urgency))
	}
	if !found {
		return
	}
	add("number %d of its class", aheadInClass+1)
	for _, p := range sortedKeys(ahead) {
		add("before it %s with %d jobs, %d tasks", names[p], ahead[p].jobs, ahead[p].tasks)
	}
}

// explainBlockers names what keeps a job's tasks from starting, other than the jobs ahead.
func (r *rankingState) explainBlockers(j *job) []string {
	s := r.controller.shardLeader
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	fetching, unsent := 0, 0
	for i := range j.tasks[:j.nextFresh] {
		switch t := &j.tasks[i]; {
		case t.machine == nil || t.stopReason != stopNone:
		case !t.startSent:
			unsent++
		case !t.reported || t.status == model.Fetching:
			fetching++
		}
	}
	if unsent > 0 {
		add("%d tasks have a place and wait for their record", unsent)
	}
	if fetching > 0 {
		add("%d tasks fetch their image", fetching)
	}
	switch {
	case j.cancelled:
		add("it is cancelled")
	case j.elsewhere():
		add("it is lent to %s", j.lentTo)
	case j.dependenciesPending:
		add("it waits for %s", r.controller.describeDependencies(j.ID))
	case j.pendingTasks() == 0:
	case !j.mayStart(r.now):
		add("its home has not lately said that it may start here")
	case s.faultAttribution.FailsEverywhere(j.ID):
		add("it fails on every machine and is tried one task at a time")
	case !r.controller.shardLeader.scheduler.withinQuotaLimit(j):
		add("its team %s is at its limit: it goes on when tasks of the team end", j.Team)
	default:
		out = append(out, r.explainCapacity(j)...)
	}
	return out
}

// explainCapacity says on how many machines the next task of j would fit, or else what is missing.
func (r *rankingState) explainCapacity(j *job) []string {
	suitable, fitting, wrongZone := 0, 0, 0
	for _, m := range r.controller.shardLeader.machinesByID {
		if !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.Need.Fits(m.size) || !r.controller.shardLeader.scheduler.usable(m) {
			continue
		}
		suitable++
		switch {
		case !j.Need.Fits(m.free()):
		case !j.zoneAllowed(m.zone):
			wrongZone++
		default:
			fitting++
		}
	}
	refusedKinds := 0
	if v := r.controller.shardLeader.fleet.view; v != nil {
		for k, until := range v.blockedUntil {
			if f, ok := r.controller.knowledge.machineTypes[k.machineType]; ok && until.After(r.now) && j.allowsMachine(k.machineType, k.zone, k.spot) && j.Need.Fits(f.Capacity) {
				refusedKinds++
			}
		}
	}
	var out []string
	switch {
	case fitting > 0 && j.Gang:
		out = append(out, fmt.Sprintf("%d machines have room for one of its tasks: it starts when all fit at once", fitting))
	case fitting > 0:
		out = append(out, fmt.Sprintf("%d machines have room: it goes with the next round, or others depend on them more", fitting))
	case wrongZone > 0:
		out = append(out, fmt.Sprintf("%d machines have room, in places that its same_place or apart rules out", wrongZone))
	case suitable > 0:
		out = append(out, fmt.Sprintf("%d machines suit it and are full: it goes when tasks there end, or one more is rented", suitable))
	default:
		out = append(out, "no machine that is up suits it: it goes when one is rented")
	}
	if refusedKinds > 0 {
		out = append(out, fmt.Sprintf("the cloud has lately refused %d kinds that would do", refusedKinds))
	}
	return out
}
