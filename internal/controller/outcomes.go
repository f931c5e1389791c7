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

// outcomes.go counts what became of the dates. The totals are a record that the leader updates: exact as of a revision of
// the store, by the changes of job/ since, each record of which is written once.

const (
	// totalsInterval is how often the leader counts what has ended, totalsLogInterval how often the
	// totals are logged.
	totalsInterval    = 10 * time.Second
	totalsLogInterval = 30 * time.Second
	// maxTotalsLag is after how many revisions the record is written though nothing has ended: the
	// store keeps the last 10,000 changes only, and to read all of job/ again takes long.
	maxTotalsLag = 5000
	// maxOpenPromises bounds the jobs in one answer.
	maxOpenPromises = 1000
)

// totalsTracker is the leader's count, as long as it leads.
type totalsTracker struct {
	// leadership is the leader under which the record was read, nil if it has to be read again, and
	// modRevision the record's.
	leadership  *leader
	modRevision uint64
	// writtenRevision is the revision that the record counts up to, and current the counts as of a
	// later one, up to which nothing more has ended.
	writtenRevision uint64
	current         *promise.Totals
	inFlight        bool
	loggedAt        time.Time
}

// start reads the stored quotes, which outlive a stop of the whole cluster, and begins the count of the leader.
func (p *promiseState) start() {
	p.quotes = map[string]*promise.Quoter{}
	p.controller.frontend.clearEndDates()
	if !p.enabled() {
		return
	}
	p.controller.requests.readAll(record.QuotesPrefix, message.PriorityUser, func() bool { return true }, func(its []message.KeyValue) {
		for _, it := range its {
			p.acceptQuotes(it.Key, it.Value, false)
		}
	})
	p.totalsLoop()
}

// totalsLoop has the leader count what has ended, again and again.
func (p *promiseState) totalsLoop() {
	p.after(totalsInterval, func() { p.totalsLoop() })
	x := &p.totals
	if p.controller.leader == nil || x.inFlight || p.now.After(p.controller.membership.leaseValidUntil) {
		return
	}
	x.inFlight = true
	if x.leadership != p.controller.leader {
		p.readTotals()
		return
	}
	p.followTotals()
}

// isStillLeader reports whether a count that began under a leader may go on.
func (p *promiseState) isStillLeader(by *leader) bool {
	if p.controller.leader != by || by == nil {
		p.totals.inFlight = false
		return false
	}
	return true
}

// readTotals begins from the record. If that is damaged, all of job/ is counted again; a record of another version is left
// to that version.
func (p *promiseState) readTotals() {
	by := p.controller.leader
	tracker := &p.totals
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityLazy, Key: record.TotalsKey}, func(resp message.StoreResponse) {
		if !p.isStillLeader(by) {
			return
		}
		var t *promise.Totals
		var modRevision uint64
		switch resp.Status {
		case message.StoreNotFound:
			t = &promise.Totals{}
		case message.StoreOK:
			var err error
			modRevision = resp.KeyValues[0].ModRevision
			if t, err = promise.DecodeTotals(resp.KeyValues[0].Value); err != nil {
				p.rejectInput("record", record.TotalsKey, err.Error())
				if errors.Is(err, promise.ErrFormat) {
					tracker.inFlight = false
					return
				}
				t = &promise.Totals{}
			}
		default:
			tracker.inFlight = false
			return
		}
		tracker.leadership, tracker.modRevision, tracker.writtenRevision, tracker.current = by, modRevision, t.Revision, t
		p.followTotals()
	})
}

// followTotals counts what has ended since the record.
func (p *promiseState) followTotals() {
	by := p.controller.leader
	x := &p.totals
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpWatch, Priority: message.PriorityLazy, Key: record.JobStatusPrefix, Revision: x.current.Revision}, func(d message.StoreResponse) {
		if !p.isStillLeader(by) {
			return
		}
		switch d.Status {
		case message.StoreOK:
			t := x.current.Clone()
			ended := countEnds(t, d.KeyValues, t.Revision, d.Revision)
			t.Revision = d.Revision
			p.writeTotals(t, ended)
		case message.StoreCompacted:
			p.listEnds(x.current.Clone(), "", 0, x.current.Revision)
		default:
			x.inFlight = false
		}
	})
}

// listEnds counts from all of job/ what has ended since a revision, up to that of the first page; what ends meanwhile is
// counted next time.
func (p *promiseState) listEnds(t *promise.Totals, from string, upTo, since uint64) {
	by := p.controller.leader
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityLazy, Key: record.JobStatusPrefix, StartAfter: from}, func(d message.StoreResponse) {
		if !p.isStillLeader(by) {
			return
		}
		if d.Status != message.StoreOK {
			p.totals.inFlight = false
			return
		}
		if from == "" {
			upTo = d.Revision
		}
		countEnds(t, d.KeyValues, since, upTo)
		if d.Truncated && len(d.KeyValues) > 0 {
			p.listEnds(t, d.KeyValues[len(d.KeyValues)-1].Key, upTo, since)
			return
		}
		t.Revision = upTo
		p.writeTotals(t, true)
	})
}

// countEnds adds the ends after a revision and up to another, and reports whether there were any. A job has one end; a
// borrowed one is counted by its home.
func countEnds(t *promise.Totals, items []message.KeyValue, since, upTo uint64) bool {
	counted := false
	for _, it := range items {
		var r record.JobStatus
		if it.Deleted || it.ModRevision <= since || it.ModRevision > upTo || !record.Decode(it.Value, &r) || !r.Status.IsFinal() || r.Offloaded {
			continue
		}
		counted = true
		t.Add(promise.JobEnd{Team: r.Team, Class: r.Workload, Date: r.Date(), Duration: time.Duration(min(max(r.EndedAfterMillis, 0), record.MaxDateMillis)) * time.Millisecond, PromisedAtAccept: r.PromisedAtSubmit})
	}
	return counted
}

// writeTotals writes the record if something has ended, or the last write is long ago. It names the leader's record and the
// record as it was read, so that nothing is counted twice, whoever else believes to lead.
func (p *promiseState) writeTotals(t *promise.Totals, ended bool) {
	tracker := &p.totals
	by := p.controller.leader
	tracker.current = t
	if !ended && t.Revision-tracker.writtenRevision < maxTotalsLag {
		tracker.inFlight = false
		p.reportTotals()
		return
	}
	value := t.Encode(p.maxPageBytes())
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: []message.Compare{{Key: record.LeaderKey, ModRevision: by.modRevision}, {Key: record.TotalsKey, ModRevision: tracker.modRevision}}, Writes: []message.Write{{Key: record.TotalsKey, Value: value}}}, func(d message.StoreResponse) {
		tracker.inFlight = false
		if p.controller.leader != by || d.Status != message.StoreOK {
			// The record is read again before anything more is counted.
			tracker.leadership = nil
			return
		}
		tracker.modRevision, tracker.writtenRevision = d.Revision, t.Revision
		p.reportTotals()
	})
}

// reportTotals reports the totals to the metrics, and now and then to the log.
func (p *promiseState) reportTotals() {
	x := &p.totals
	s := x.current.Sum()
	p.emit(message.PromiseTotals{Sum: s, MedianRatio: x.current.MedianRatio()})
	if p.now.Sub(x.loggedAt) < totalsLogInterval {
		return
	}
	x.loggedAt = p.now
	open := 0
	for id, l := range p.controller.frontend.watchCache.openJobs {
		if p.durableDate(id, &l).Revision > 0 {
			open++
		}
	}
	p.info("promise totals", "ended", s.Jobs, "made", s.Made, "kept", s.Kept, "broken", s.Broken, "revised", s.Revised,
		"worst", s.Worst, "ratio", fmt.Sprintf("%.2f", x.current.MedianRatio()), "first", x.current.PromisedAtAccept, "open", open)
}

// newPromiseRow is a row as replies have it.
func newPromiseRow(r promise.Row) message.PromiseRow {
	return message.PromiseRow{Team: r.Team, Class: r.Class, Ended: r.Jobs, Made: r.Made, Kept: r.Kept, Broken: r.Broken, Revised: r.Revised, WorstSeconds: r.Worst.Seconds()}
}

// query answers from a linearizable read, so that all controllers give the same answer.
func (p *promiseState) query(query message.QueryPromises) {
	reply := message.PromiseReply{Reply: query.Reply, Host: p.settings.Host, Rows: []message.PromiseRow{}, Open: []message.OpenPromise{}}
	p.controller.frontend.watchCache.refresh(func(ok bool) {
		if !ok {
			p.emit(reply)
			return
		}
		p.addOpenPromises(query, &reply)
		p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityUser, Key: record.TotalsKey}, func(resp message.StoreResponse) {
			t := &promise.Totals{}
			if resp.Status == message.StoreOK {
				x, err := promise.DecodeTotals(resp.KeyValues[0].Value)
				if err != nil {
					p.rejectInput("record", record.TotalsKey, err.Error())
					p.emit(reply)
					return
				}
				t = x
			} else if resp.Status != message.StoreNotFound {
				p.emit(reply)
				return
			}
			reply.OK, reply.Revision, reply.MedianRatio, reply.PromisedAtAccept, reply.Sum = true, t.Revision, t.MedianRatio(), t.PromisedAtAccept, newPromiseRow(t.Sum())
			for _, x := range t.Rows() {
				if query.Class == "" || query.Class == x.Class {
					reply.Rows = append(reply.Rows, newPromiseRow(x))
				}
			}
			if query.Job == "" || len(reply.Open) > 0 {
				p.emit(reply)
				return
			}
			p.controller.frontend.readStatusRecord(query.Job, func(resp message.StoreResponse) {
				var j record.JobStatus
				if resp.Status == message.StoreOK && record.Decode(resp.KeyValues[0].Value, &j) {
					x := j.Date()
					reply.Open = append(reply.Open, message.OpenPromise{Job: query.Job, Team: j.Team, Class: j.Workload, State: string(j.Status), PromisedSeconds: x.After.Seconds(), Revision: x.Revision, AgeSeconds: float64(j.EndedAfterMillis) / 1000})
				}
				p.emit(reply)
			})
		})
	})
}

// addOpenPromises adds the open jobs that the query asks for.
func (p *promiseState) addOpenPromises(query message.QueryPromises, reply *message.PromiseReply) {
	cache := &p.controller.frontend.watchCache
	for _, id := range sortedKeys(cache.openJobs) {
		l := cache.openJobs[id]
		if l.rec.Cancelled || query.Job != "" && query.Job != id || query.Class != "" && query.Class != l.rec.Workload {
			continue
		}
		age := p.now.Sub(time.UnixMilli(l.rec.SubmittedAtMillis))
		d := p.durableDate(id, &l)
		x := message.OpenPromise{Job: id, Team: l.rec.Team, Class: l.rec.Workload, State: p.controller.frontend.replyWithStatus(id, model.Queued).State, PromisedSeconds: d.After.Seconds(), Revision: d.Revision, AgeSeconds: age.Seconds()}
		if e, _ := cache.promisePages.Newest(id, teamPagePrefix(l.rec.Team), l.modRevision); d.Revision > 0 {
			x.Reason = e.Reason.String()
		}
		left, allUp := time.Duration(0), false
		if p.controller.shardLeader != nil && p.controller.shardLeader.jobs[id] != nil {
			j := p.controller.shardLeader.jobs[id]
			allUp = !j.allUpAt.IsZero()
			left, _ = p.forecastRemaining(j, p.quoterFor(j.Team, true))
		}
		x.AtRisk = d.Revision > 0 && !allUp && age+left > d.After
		switch {
		case query.OnlyAtRisk && !x.AtRisk:
		case len(reply.Open) >= maxOpenPromises:
			reply.Omitted++
		default:
			reply.Open = append(reply.Open, x)
		}
	}
}
