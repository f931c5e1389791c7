package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// ranking.go joins internal/ranking: the order of work is a record in the state service
// that all controllers read with ctl/. Every record of a start names its stamp, so that
// no start that was decided under an older ranking becomes durable under a newer one. One
// that is durable leaves only while the ranking is known as of a moment ago; else it is
// read anew, and what was decided under an older one and is nowhere yet is taken back.
// Nothing here runs without Product.Ranking.

const (
	// maxRankingStaleness is how long after a moment as of which the ranking is known a start may
	// leave: the operators' bound for one that an older ranking decided.
	maxRankingStaleness = 2 * time.Second
	// rankingStalenessMargin is how much of that must be left when a start is ordered: one that
	// becomes late on its way out costs a report's answer its starts, or an order.
	rankingStalenessMargin = 250 * time.Millisecond
	// rankingValueFraction is the part of a value's limit that a record of the ranking may take.
	rankingValueFraction = 0.75
	// lowestRankQueueFraction is the part of the requests that may wait for the state service that is
	// open to submissions of the last place; that of the first is all.
	lowestRankQueueFraction = 0.5
)

// rankingState is what this controller knows of the ranking.
type rankingState struct {
	component

	// modRevision is that of the record as it stands, 0 for none, also if it can't be read;
	// taken is the one under which the order was decided last, and rev the highest
	// revision seen.
	modRevision, appliedModRevision uint64
	highestRevision                 uint64
	// lastValid and table are the last good record; bad says why a later one does not count.
	lastValid     ranking.Record
	table         *ranking.Table
	invalidReason string
	// asOf: nobody has set another one before then.
	asOf time.Time
	// stale: a write has failed on the stamp, and what stands there is not known yet.
	stale bool
	// heldMachines are machines with starts that wait until the ranking is known anew, and asking
	// that it is being read for that.
	heldMachines map[*machine]bool
	refreshing   bool
	// writing: a derived record is on its way. looked: the history was read for a good
	// record, as the one that stands can't be read.
	writingDerived, historyRead bool
	// tableVersion counts the tables, so that jobs know when the place that they remember is none.
	tableVersion int
}

// applyRecord takes in the record as a read or a watch of ctl/ brings it. What can't be
// read is told, and the last good one goes on to count.
func (r *rankingState) applyRecord(it message.KeyValue) {
	if !r.settings.Capabilities.Ranking {
		return
	}
	if it.Deleted {
		// Whoever leads writes one anew.
		r.modRevision, r.lastValid, r.table, r.invalidReason = 0, ranking.Record{}, nil, ""
		r.tableVersion++
		return
	}
	r.modRevision = it.ModRevision
	r.highestRevision = max(r.highestRevision, ranking.Revision(it.Value))
	rec, err := ranking.Decode(it.Value)
	if err != nil {
		r.invalidReason = err.Error()
		r.rejectInput("record", it.Key, r.invalidReason)
		if r.table == nil && !r.historyRead {
			r.historyRead = true
			r.recoverFromHistory()
		}
		return
	}
	r.lastValid, r.table, r.invalidReason = rec, rec.Table(), ""
	r.tableVersion++
}

// noteAbsence takes in that a whole read of ctl/ did not show a record.
func (r *rankingState) noteAbsence(items []message.KeyValue) {
	if !slices.ContainsFunc(items, func(it message.KeyValue) bool { return it.Key == record.RankingKey }) {
		r.applyRecord(message.KeyValue{Key: record.RankingKey, Deleted: true})
	}
}

// recoverFromHistory looks for the last good record where this life has seen none: all
// controllers are to rank alike, also those that begin beside a damaged one.
func (rr *rankingState) recoverFromHistory() {
	rr.readHistory(time.Time{}, func(recs []ranking.Record) {
		r := rr
		if r.table != nil || r.modRevision == 0 || len(recs) == 0 {
			return
		}
		r.lastValid, r.table = recs[0], recs[0].Table()
		r.tableVersion++
		r.highestRevision = max(r.highestRevision, r.lastValid.Revision)
		rr.info("an earlier ranking counts, as the newest can't be read", "revision", r.lastValid.Revision)
		rr.replanUnsentStarts()
	})
}

// readHistory reads the rankings that are kept, the newest first. It gives up at until,
// and has none to tell of then; a zero one is never.
func (r *rankingState) readHistory(deadline time.Time, fn func([]ranking.Record)) {
	r.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityUser, Key: record.RankingHistoryPrefix}, func(d message.StoreResponse) {
		if d.Status != message.StoreOK && !deadline.IsZero() && r.now.After(deadline) {
			fn(nil)
			return
		}
		if d.Status != message.StoreOK {
			r.after(r.jitter(storeRetryDelay), func() { r.readHistory(deadline, fn) })
			return
		}
		var out []ranking.Record
		for _, it := range d.KeyValues {
			rec, err := ranking.Decode(it.Value)
			if err != nil {
				r.rejectInput("record", it.Key, err.Error())
				continue
			}
			out = append(out, rec)
		}
		slices.SortFunc(out, func(a, b ranking.Record) int { return cmp.Compare(b.Revision, a.Revision) })
		fn(out)
	})
}

// noteKnown notes a moment before which nobody has set a ranking that is not known here:
// that at which a read of ctl/ began, or a write which named the ranking and went through.
// Also if another one has come since: it came after that write.
func (r *rankingState) noteKnown(at time.Time) {
	r.asOf = later(r.asOf, at)
}

// noteOutdated notes that a write failed on the ranking that it named: somebody has set another ranking. Until that
// has been read nothing is placed and no start written: all of it would fail.
func (rr *rankingState) noteOutdated(stamp uint64) {
	if r := rr; stamp == r.modRevision {
		r.stale = true
		rr.refresh()
	}
}

// applyChange decides anew when another ranking has come.
func (r *rankingState) applyChange() {
	if r.modRevision == r.appliedModRevision {
		return
	}
	if r.appliedModRevision != 0 {
		r.controller.promises.rankingChangedAt = r.now
	}
	r.appliedModRevision, r.stale = r.modRevision, false
	if r.modRevision != 0 && r.invalidReason == "" {
		r.info("ranking", "revision", r.lastValid.Revision, "by", r.lastValid.SetBy, "classes", len(r.lastValid.Classes))
	}
	r.replanUnsentStarts()
}

// replanUnsentStarts takes back what was decided and told to nobody, and has all that waits placed
// in the new order.
func (r *rankingState) replanUnsentStarts() {
	o := r.controller.shardLeader
	if o == nil {
		return
	}
	for _, m := range o.machinesByID {
		for _, k := range m.attemptsWhere(func(t *task) bool { return !t.startSent }) {
			r.controller.shardLeader.endAttempt(o.jobs[k.job], k.index, false)
		}
	}
	o.scheduler.placementDue, o.scheduler.placementUrgent = true, true
	o.scheduler.preemptionVictims = nil
}

// refresh reads the ranking anew for what waits for it.
func (r *rankingState) refresh() {
	if r.refreshing || !r.controller.membership.loaded {
		return
	}
	r.refreshing = true
	// Without an answer nobody is called: the next look round asks again.
	r.after(storeRetryDelay, func() { r.refreshing = false })
	r.controller.membership.confirmControlRecords(func() {
		r.stale, r.refreshing = false, false
		held := r.heldMachines
		r.heldMachines = nil
		if r.controller.shardLeader == nil {
			return
		}
		for m := range held {
			// It may be of a time as owner that is over.
			if r.controller.shardLeader.machines[m.id] == m {
				r.controller.markDispatchPending(m)
			}
		}
		r.controller.shardLeader.scheduler.placementDue = true
	})
}

// retryRefresh asks again for what still waits.
func (rr *rankingState) retryRefresh() {
	if r := rr; r.stale || len(r.heldMachines) > 0 {
		rr.refresh()
	}
}

// mayDispatchStart says whether the start of a task on m may be ordered now. One that has left
// before is repeated as ever: held back, it could run all the same. Any other leaves
// under the ranking of now or not at all: one that is nowhere, never sent or proven
// absent, is placed anew when another ranking decided it; of one that was in an answer or
// an order of which it is not known whether it was in time, the next report tells.
func (r *rankingState) mayDispatchStart(m *machine, j *job, i int, provenAbsent bool) bool {
	t := &j.tasks[i]
	if !r.settings.Capabilities.Ranking || t.startUnanswered && !provenAbsent {
		return true
	}
	if t.rankingRevision != r.modRevision {
		switch {
		case !t.startSent || provenAbsent:
			r.controller.shardLeader.endAttempt(j, i, false)
		case m.unackedStartEpoch != 0:
			// Another start stands in the way of the proof: only a higher epoch gives it.
			t.stopReason = stopDrain
		}
		return false
	}
	if r.stale || r.now.After(r.asOf.Add(maxRankingStaleness-rankingStalenessMargin)) {
		if r.heldMachines == nil {
			r.heldMachines = map[*machine]bool{}
		}
		r.heldMachines[m] = true
		r.refresh()
		return false
	}
	m.hasNewStarts = true
	return true
}

// noteUnansweredStarts notes that orders had no answer though they left: their starts may be
// carried out at any time.
func (r *rankingState) noteUnansweredStarts(m *machine, commands []model.TaskCommand) {
	for _, x := range commands {
		if t := m.attempts[taskKey{x.Job, x.Index}]; t != nil && x.Kind == model.StartTask && t.attempt == x.Attempt {
			t.startUnanswered = true
		}
	}
}

// startDispatchDeadline is until when what has just been ordered for m may leave: starts that are
// nowhere else no longer than the ranking is surely known. Zero for any time.
func (r *rankingState) startDispatchDeadline(m *machine) time.Time {
	if !m.hasNewStarts {
		return time.Time{}
	}
	return r.asOf.Add(maxRankingStaleness)
}

// segmentHasStarts says whether a chunk's record makes a start durable.
func (j *job) segmentHasStarts(c *taskSegment) bool {
	for i := c.index * j.tasksPerSegment; i < min((c.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && !t.startSent && t.stopReason == stopNone {
			return true
		}
	}
	return false
}

// rankOf is a job's place in the ranking, lower first; without one, by its urgency. It is
// asked for by every comparison of two jobs.
func (rr *rankingState) rankOf(j *job) int {
	if r := rr; r.tableVersion == 0 || j.rankingVersion != r.tableVersion {
		j.rankingPlace, j.rankingVersion = rr.rankOfSpec(&j.JobSpec), r.tableVersion
	}
	return j.rankingPlace
}

func (r *rankingState) rankOfSpec(s *model.JobSpec) int {
	return r.table.Rank(s.Workload, int(s.Urgency))
}

// inverseRank is the same the other way round: higher goes first, 0 is the last.
func (r *rankingState) inverseRank(j *job) int {
	return r.table.RankCount() - 1 - r.rankOf(j)
}

// policyWeight is the policy script's weight of a job: it counts only without a ranking, into
// which the leader's has gone.
func (r *rankingState) policyWeight(j *job) float64 {
	if r.table != nil {
		return 0
	}
	return r.settings.Policy.WorkloadWeights[j.Workload]
}

// waitBound is how long a job may wait behind others, and the part of the room that it
// then takes before all others; 0 is the built-in default.
func (r *rankingState) waitBound(j *job) (time.Duration, float64) {
	return r.table.WaitBound(j.Workload, int(j.Urgency))
}

// sortInheritedByRank puts the machines that a successor reaches first into order: those with work
// before idle ones, and of these the ones with the highest-ranked.
func (r *rankingState) sortInheritedByRank(machines []*machine) {
	bestRank := map[*machine]int{}
	for _, m := range machines {
		bestRank[m] = r.table.RankCount()
		for k := range m.attempts {
			if r.settings.Capabilities.Ranking {
				bestRank[m] = min(bestRank[m], r.rankOf(r.controller.shardLeader.jobs[k.job]))
			}
		}
	}
	slices.SortStableFunc(machines, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(boolToFloat(len(a.attempts) == 0), boolToFloat(len(b.attempts) == 0)), cmp.Compare(bestRank[a], bestRank[b]))
	})
}

// overloadRefuses says that a submission is refused under overload: the later a job's place,
// the smaller the part of what may wait for the state service that is open to it.
func (r *rankingState) overloadRefuses(s *model.JobSpec) bool {
	if !r.settings.Capabilities.Ranking || s.Workload == "" {
		return false
	}
	relativeRank := float64(r.rankOfSpec(s)) / float64(max(1, r.table.RankCount()-1))
	return float64(r.controller.frontend.waitingRequests) >= maxWaitingRequests*(1-(1-lowestRankQueueFraction)*relativeRank)
}

// fits says whether a record can be stored.
func (r *rankingState) fits(rec ranking.Record) bool {
	size, err := sizelimit.JSON(rec.Encode())
	return err == nil && float64(size) <= rankingValueFraction*float64(r.settings.MaxValueBytes)
}

// rankingWrites are the changes that set a ranking: the record, and the same as history.
func rankingWrites(rec ranking.Record) []message.Write {
	b := rec.Encode()
	return []message.Write{{Key: record.RankingKey, Value: b}, {Key: fmt.Sprint(record.RankingHistoryPrefix, rec.Revision%ranking.HistoryLen), Value: b}}
}

// deriveRanking has a leader write the ranking that its script stands for, where there is
// none. From then on the record counts, not a controller's own script.
func deriveRanking(c *Controller) {
	r := &c.ranking
	if !c.settings.Capabilities.Ranking || r.modRevision != 0 || r.writingDerived || !c.membership.loaded || c.now.After(c.membership.leaseValidUntil) {
		return
	}
	rec, lossless := ranking.Derive(c.settings.Policy.WorkloadWeights, func(rec ranking.Record) bool { return c.ranking.fits(rec) })
	if !lossless {
		c.info("the policy script weighs more workloads than a ranking has room for", "kept", len(rec.Classes))
	}
	rec.Revision, rec.SetBy, rec.SetAt = r.highestRevision+1, c.settings.Host, c.now
	r.writingDerived = true
	c.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: c.leader.modRevision}, {Key: record.RankingKey, ModRevision: 0}}, Writes: rankingWrites(rec)}, func(d message.StoreResponse) {
		pause := c.jitter(storeRetryDelay)
		if d.Status == message.StoreMalformed {
			pause = malformedRetryDelay
		}
		// The watch brings it, whoever wrote it.
		c.after(pause, func() { r.writingDerived = false })
	})
}

func rankingClassSpec(c ranking.Class) message.RankingClassSpec {
	return message.RankingClassSpec{Name: c.Name, Workloads: c.Workloads, Urgency: c.Urgency, WaitBoundSeconds: c.WaitBound.Seconds(), ReservedFraction: c.ReservedFraction}
}

// set writes a ranking in the place of the one that it was read over.
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
		switch {
		case !cmd.AnyRevision && cmd.Revision != r.highestRevision:
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

// query shows the ranking as it is known here.
func (r *rankingState) query(c message.QueryRanking) {
	if !r.settings.Capabilities.Ranking {
		r.emit(message.RankingReply{Reply: c.Reply, Status: 404, Message: "it is not switched on"})
		return
	}
	if c.History {
		r.readHistory(r.now.Add(userRequestTimeout), func(recs []ranking.Record) {
			if len(recs) == 0 && r.modRevision != 0 {
				r.emit(message.RankingReply{Reply: c.Reply, Status: 503, Message: "the state service does not answer"})
				return
			}
			reply := message.RankingReply{Reply: c.Reply, Status: 200, Host: r.settings.Host, Revision: r.lastValid.Revision}
			for _, x := range recs {
				h := message.RankingRecord{Revision: x.Revision, SetBy: x.SetBy, SetAt: x.SetAt, Derived: x.Derived}
				for _, c := range x.Classes {
					h.Classes = append(h.Classes, rankingClassSpec(c))
				}
				reply.History = append(reply.History, h)
			}
			r.emit(reply)
		})
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

// classes are all places with what of them this owner has.
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

// explainRank says in a line what stands before a job and what would let it go.
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

// explainJobsAhead tells of the jobs that wait in front of j.
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

// explainBlockers names what keeps a job's tasks from starting, other than their turn.
func (r *rankingState) explainBlockers(j *job) []string {
	o := r.controller.shardLeader
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
	case o.faultAttribution.FailsEverywhere(j.ID):
		add("it fails on every machine and is tried one task at a time")
	case !r.controller.shardLeader.scheduler.withinQuotaLimit(j):
		add("its team %s is at its limit: it goes on when tasks of the team end", j.Team)
	default:
		out = append(out, r.explainCapacity(j)...)
	}
	return out
}

// explainCapacity says on how many machines the next task of j would fit, and else what is
// missing.
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

// earlier is the earlier of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
