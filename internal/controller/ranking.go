package controller

import (
	"cmp"
	"fmt"
	"slices"
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
	o.scheduler.restartPlacement()
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
		r.controller.shardLeader.scheduler.requestPlacement()
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

// derive writes the ranking that the leader's policy script stands for, if there is none. From then on the
// record counts, and no controller's own script. It may be called only while this controller leads.
func (r *rankingState) derive() {
	m := &r.controller.membership
	if !r.settings.Capabilities.Ranking || r.modRevision != 0 || r.writingDerived || !m.loaded || r.now.After(m.leaseValidUntil) {
		return
	}
	rec, lossless := ranking.Derive(r.settings.Policy.WorkloadWeights, r.fits)
	if !lossless {
		r.info("policy weights truncated to ranking limit", "kept", len(rec.Classes))
	}
	rec.Revision, rec.SetBy, rec.SetAt = r.highestRevision+1, r.settings.Host, r.now
	r.writingDerived = true
	r.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: r.controller.leader.modRevision}, {Key: record.RankingKey, ModRevision: 0}}, Writes: rankingWrites(rec)}, func(d message.StoreResponse) {
		pause := r.jitter(storeRetryDelay)
		if d.Status == message.StoreMalformed {
			pause = malformedRetryDelay
		}
		// The watch brings it, whoever wrote it.
		r.after(pause, func() { r.writingDerived = false })
	})
}

// earlier is the earlier of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
