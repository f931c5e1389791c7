package controller

import (
	"errors"
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// outcomes.go counts how many dates were kept and broken. The leader stores the totals in a record
// that is exact as of a revision of the store. It updates the record by the later changes of job/,
// where each job's end record is written once.

const (
	// totalsInterval is how often the leader counts the jobs that have ended, and totalsLogInterval
	// how often it logs the totals.
	totalsInterval    = 10 * time.Second
	totalsLogInterval = 30 * time.Second
	// maxTotalsLag is after how many revisions of the store the record is written even if no job
	// has ended. The store keeps only the last 10,000 changes, and reading all of job/ again takes
	// long.
	maxTotalsLag = 5000
	// maxOpenPromises is how many jobs one reply lists at most.
	maxOpenPromises = 1000
)

// totalsTracker is the leader's count of ended jobs. It is valid only while this controller is the
// leader.
type totalsTracker struct {
	// leadership is the leader under which the record was read, nil if the record has to be read
	// again. modRevision is the record's mod revision.
	leadership  *leader
	modRevision uint64
	// writtenRevision is the revision of the store up to which the stored record counts, and
	// current has the counts as of the same or a later revision. No job has ended between the two
	// unless a write of current is in flight.
	writtenRevision uint64
	current         *promise.Totals
	// inFlight says that the record is being read, updated or written. loggedAt is when the totals
	// were last logged.
	inFlight bool
	loggedAt time.Time
}

// start reads the stored quotes, which outlast a stop of the whole cluster, and starts totalsLoop.
func (promises *promiseState) start() {
	promises.quotes = map[string]*promise.Quoter{}
	promises.controller.frontend.clearEndDates()
	if !promises.enabled() {
		return
	}
	promises.controller.requests.readAll(record.QuotesPrefix, message.PriorityUser, func() bool { return true }, func(items []message.KeyValue) {
		for _, item := range items {
			promises.acceptQuotes(item.Key, item.Value, false)
		}
	})
	promises.totalsLoop()
}

// totalsLoop counts, every totalsInterval, the jobs that have ended, if this controller is the
// leader.
func (promises *promiseState) totalsLoop() {
	promises.after(totalsInterval, func() { promises.totalsLoop() })
	tracker := &promises.totals
	if promises.controller.leader == nil || tracker.inFlight || promises.now.After(promises.controller.membership.leaseValidUntil) {
		return
	}
	tracker.inFlight = true
	if tracker.leadership != promises.controller.leader {
		promises.readTotals()
		return
	}
	promises.followTotals()
}

// isStillLeader reports whether this controller is still the leader under which a count began. If
// not, it ends the count.
func (promises *promiseState) isStillLeader(leader *leader) bool {
	if promises.controller.leader != leader || leader == nil {
		promises.totals.inFlight = false
		return false
	}
	return true
}

// readTotals reads the stored record and continues from it. If the record is damaged, all of job/
// is counted again. A record of another format version is left to controllers of that version.
func (promises *promiseState) readTotals() {
	leader := promises.controller.leader
	tracker := &promises.totals
	promises.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityLazy, Key: record.TotalsKey}, func(response message.StoreResponse) {
		if !promises.isStillLeader(leader) {
			return
		}
		var totals *promise.Totals
		var modRevision uint64
		switch response.Status {
		case message.StoreNotFound:
			totals = &promise.Totals{}
		case message.StoreOK:
			var err error
			modRevision = response.KeyValues[0].ModRevision
			if totals, err = promise.DecodeTotals(response.KeyValues[0].Value); err != nil {
				promises.rejectInput("record", record.TotalsKey, err.Error())
				if errors.Is(err, promise.ErrFormat) {
					tracker.inFlight = false
					return
				}
				totals = &promise.Totals{}
			}
		default:
			tracker.inFlight = false
			return
		}
		tracker.leadership, tracker.modRevision, tracker.writtenRevision, tracker.current = leader, modRevision, totals.Revision, totals
		promises.followTotals()
	})
}

// followTotals counts the jobs that have ended since the revision of the current totals.
func (promises *promiseState) followTotals() {
	leader := promises.controller.leader
	tracker := &promises.totals
	promises.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityLazy, Key: record.JobStatusPrefix, Revision: tracker.current.Revision}, func(response message.StoreResponse) {
		if !promises.isStillLeader(leader) {
			return
		}
		switch response.Status {
		case message.StoreOK:
			totals := tracker.current.Clone()
			ended := countEnds(totals, response.KeyValues, totals.Revision, response.Revision)
			totals.Revision = response.Revision
			promises.writeTotals(totals, ended)
		case message.StoreCompacted:
			promises.listEnds(tracker.current.Clone(), "", 0, tracker.current.Revision)
		default:
			tracker.inFlight = false
		}
	})
}

// listEnds lists all of job/ and counts the jobs that have ended after revision since, up to the
// revision upTo of the first page of the list. Jobs that end meanwhile are counted in the next
// pass.
func (promises *promiseState) listEnds(totals *promise.Totals, startAfter string, upTo, since uint64) {
	leader := promises.controller.leader
	promises.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityLazy, Key: record.JobStatusPrefix, StartAfter: startAfter}, func(response message.StoreResponse) {
		if !promises.isStillLeader(leader) {
			return
		}
		if response.Status != message.StoreOK {
			promises.totals.inFlight = false
			return
		}
		if startAfter == "" {
			upTo = response.Revision
		}
		countEnds(totals, response.KeyValues, since, upTo)
		if response.Truncated && len(response.KeyValues) > 0 {
			promises.listEnds(totals, response.KeyValues[len(response.KeyValues)-1].Key, upTo, since)
			return
		}
		totals.Revision = upTo
		promises.writeTotals(totals, true)
	})
}

// countEnds adds to the totals the jobs that ended after revision since and up to revision upTo,
// and reports whether there were any. Each job has one end record. A borrowed job is counted only
// by the cluster that lent it.
func countEnds(totals *promise.Totals, items []message.KeyValue, since, upTo uint64) bool {
	counted := false
	for _, item := range items {
		var rec record.JobStatus
		if item.Deleted || item.ModRevision <= since || item.ModRevision > upTo || !record.Decode(item.Value, &rec) || !rec.Status.IsFinal() || rec.Offloaded {
			continue
		}
		counted = true
		totals.Add(promise.JobEnd{Team: rec.Team, Class: rec.Workload, Date: rec.Date(), Duration: time.Duration(min(max(rec.EndedAfterMillis, 0), record.MaxDateMillis)) * time.Millisecond, PromisedAtAccept: rec.PromisedAtSubmit})
	}
	return counted
}

// writeTotals makes totals the current totals. It writes the record if a job has ended, or if the
// last write is maxTotalsLag revisions ago. The write compares the mod revisions of the leader's
// record and of the totals record as it was read, so that no job is counted twice even if several
// controllers consider themselves the leader.
func (promises *promiseState) writeTotals(totals *promise.Totals, ended bool) {
	tracker := &promises.totals
	leader := promises.controller.leader
	tracker.current = totals
	if !ended && totals.Revision-tracker.writtenRevision < maxTotalsLag {
		tracker.inFlight = false
		promises.reportTotals()
		return
	}
	value := totals.Encode(promises.maxPageBytes())
	promises.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: leader.modRevision}, {Key: record.TotalsKey, ModRevision: tracker.modRevision}}, Writes: []message.Write{{Key: record.TotalsKey, Value: value}}}, func(response message.StoreResponse) {
		tracker.inFlight = false
		if promises.controller.leader != leader || response.Status != message.StoreOK {
			// The record has to be read again before any further job is counted.
			tracker.leadership = nil
			return
		}
		tracker.modRevision, tracker.writtenRevision = response.Revision, totals.Revision
		promises.reportTotals()
	})
}

// reportTotals sends the totals to the metrics and, once per totalsLogInterval, to the log.
func (promises *promiseState) reportTotals() {
	tracker := &promises.totals
	sum := tracker.current.Sum()
	promises.emit(message.PromiseTotals{Sum: sum, MedianRatio: tracker.current.MedianRatio()})
	if promises.now.Sub(tracker.loggedAt) < totalsLogInterval {
		return
	}
	tracker.loggedAt = promises.now
	openCount := 0
	for id, openJob := range promises.controller.frontend.watchCache.openJobs {
		if promises.durableDate(id, &openJob).Revision > 0 {
			openCount++
		}
	}
	promises.info("promise totals", "ended", sum.Jobs, "made", sum.Made, "kept", sum.Kept, "broken", sum.Broken, "revised", sum.Revised,
		"worst", sum.Worst, "ratio", fmt.Sprintf("%.2f", tracker.current.MedianRatio()), "first", tracker.current.PromisedAtAccept, "open", openCount)
}

// newPromiseRow converts a row of the totals to its form in replies.
func newPromiseRow(row promise.Row) message.PromiseRow {
	return message.PromiseRow{Team: row.Team, Class: row.Class, Ended: row.Jobs, Made: row.Made, Kept: row.Kept, Broken: row.Broken, Revised: row.Revised, WorstSeconds: row.Worst.Seconds()}
}

// query replies after a linearizable read, so that all controllers give the same reply.
func (promises *promiseState) query(query message.QueryPromises) {
	reply := message.PromiseReply{Reply: query.Reply, Host: promises.settings.Host, Rows: []message.PromiseRow{}, Open: []message.OpenPromise{}}
	promises.controller.frontend.watchCache.refresh(func(ok bool) {
		if !ok {
			promises.emit(reply)
			return
		}
		promises.addOpenPromises(query, &reply)
		promises.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityUser, Key: record.TotalsKey}, func(response message.StoreResponse) {
			totals := &promise.Totals{}
			if response.Status == message.StoreOK {
				decoded, err := promise.DecodeTotals(response.KeyValues[0].Value)
				if err != nil {
					promises.rejectInput("record", record.TotalsKey, err.Error())
					promises.emit(reply)
					return
				}
				totals = decoded
			} else if response.Status != message.StoreNotFound {
				promises.emit(reply)
				return
			}
			reply.OK, reply.Revision, reply.MedianRatio, reply.PromisedAtAccept, reply.Sum = true, totals.Revision, totals.MedianRatio(), totals.PromisedAtAccept, newPromiseRow(totals.Sum())
			for _, row := range totals.Rows() {
				if query.Class == "" || query.Class == row.Class {
					reply.Rows = append(reply.Rows, newPromiseRow(row))
				}
			}
			if query.Job == "" || len(reply.Open) > 0 {
				promises.emit(reply)
				return
			}
			promises.controller.frontend.readStatusRecord(query.Job, func(response message.StoreResponse) {
				var rec record.JobStatus
				if response.Status == message.StoreOK && record.Decode(response.KeyValues[0].Value, &rec) {
					date := rec.Date()
					reply.Open = append(reply.Open, message.OpenPromise{Job: query.Job, Team: rec.Team, Class: rec.Workload, State: string(rec.Status), PromisedSeconds: date.After.Seconds(), Revision: date.Revision, AgeSeconds: float64(rec.EndedAfterMillis) / 1000})
				}
				promises.emit(reply)
			})
		})
	})
}

// addOpenPromises adds to the reply the open jobs that match the query.
func (promises *promiseState) addOpenPromises(query message.QueryPromises, reply *message.PromiseReply) {
	cache := &promises.controller.frontend.watchCache
	for _, id := range sortedKeys(cache.openJobs) {
		open := cache.openJobs[id]
		if open.rec.Cancelled || query.Job != "" && query.Job != id || query.Class != "" && query.Class != open.rec.Workload {
			continue
		}
		age := promises.now.Sub(time.UnixMilli(open.rec.SubmittedAtMillis))
		date := promises.durableDate(id, &open)
		openPromise := message.OpenPromise{Job: id, Team: open.rec.Team, Class: open.rec.Workload, State: promises.controller.frontend.replyWithStatus(id, model.Queued).State, PromisedSeconds: date.After.Seconds(), Revision: date.Revision, AgeSeconds: age.Seconds()}
		if entry, _ := cache.promisePages.Newest(id, teamPagePrefix(open.rec.Team), open.modRevision); date.Revision > 0 {
			openPromise.Reason = entry.Reason.String()
		}
		left, allUp := time.Duration(0), false
		if promises.controller.shardLeader != nil && promises.controller.shardLeader.jobs[id] != nil {
			job := promises.controller.shardLeader.jobs[id]
			allUp = !job.allRunningAt.IsZero()
			left, _ = promises.forecastRemaining(job, promises.quoterFor(job.Team, true))
		}
		openPromise.AtRisk = date.Revision > 0 && !allUp && age+left > date.After
		switch {
		case query.OnlyAtRisk && !openPromise.AtRisk:
		case len(reply.Open) >= maxOpenPromises:
			reply.Omitted++
		default:
			reply.Open = append(reply.Open, openPromise)
		}
	}
}
