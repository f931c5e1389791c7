package controller

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// outcomes.go shares what quotes rest on, and counts what became of the dates. The
// totals are a record that the leader brings up to date: exact as of a revision of the
// state service, by the changes of job/ since, each record of which is written once.

const (
	// totalsInterval is how often the leader looks what has ended, and totalsLogInterval how
	// often the log tells of the totals.
	totalsInterval    = 10 * time.Second
	totalsLogInterval = 30 * time.Second
	// maxTotalsLag is after how many revisions the record is written though nothing
	// has ended: the state service keeps the last 10,000 changes only, and to read all
	// of job/ anew takes long.
	maxTotalsLag = 5000
)

// totalsTracker is the leader's account of the record, as long as it leads.
type totalsTracker struct {
	// leadership is the leadership under which the record was read, and stamp the record's.
	leadership  *leader
	modRevision uint64
	// writtenRevision is the revision in the record, and now the counts as of a later one, up
	// to which nothing more has ended.
	writtenRevision uint64
	current         *promise.Totals
	inFlight        bool
	loggedAt        time.Time
}

// start reads what quotes rest on, which is there after the end of all too, and
// lets the leader count.
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

// acceptQuotes takes in quotes of another's team, from news or, where none has come yet,
// from the record.
func (p *promiseState) acceptQuotes(from string, value []byte, fromPeer bool) {
	team, q, err := promise.DecodeQuoter(value, p.settings.Capabilities.PromiseFraction)
	if err != nil {
		p.rejectInput("quotes", from, err.Error())
		return
	}
	if p.team(team) == nil || !fromPeer && p.quotes[team] != nil || p.controller.shardLeader != nil && p.controller.shardLeader.teams[team] != nil {
		return
	}
	p.quotes[team] = q
}

// quotesUpdate are the quotes of the teams here, for the others.
func (p *promiseState) quotesUpdate() []message.TeamQuotes {
	if !p.enabled() {
		return nil
	}
	var out []message.TeamQuotes
	for _, t := range sortedKeys(p.controller.shardLeader.teams) {
		if q := p.quotes[t]; q != nil {
			out = append(out, message.TeamQuotes{Team: t, Value: q.Encode(t, p.maxPageBytes())})
		}
	}
	return out
}

// storeQuotes writes the quotes of one team, if they have changed: they are read only
// after an end of all, and what they then say of the load is old anyway.
func (p *promiseState) storeQuotes() {
	o := p.controller.shardLeader
	// The controllers share the pace.
	if p.now.Sub(o.promiseDates.quotesStoredAt) < quoteStoreInterval*time.Duration(1+len(p.settings.Peers)) && !o.promiseDates.quotesStoredAt.IsZero() || p.now.After(p.controller.membership.leaseValidUntil) {
		return
	}
	teams := sortedKeys(o.promiseDates.pageWriters)
	for range teams {
		next := ""
		for _, t := range teams {
			if t > o.promiseDates.quotesStoredTeam {
				next = t
				break
			}
		}
		if o.promiseDates.quotesStoredTeam = next; next == "" {
			continue
		}
		value := p.quoterFor(next, true).Encode(next, p.maxPageBytes())
		hash := xxhash.Sum64(value)
		if o.promiseDates.quotesStoredHash[next] == hash {
			continue
		}
		o.promiseDates.quotesStoredAt = p.now
		p.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: p.controller.shardLeader.shardCompares(next), Writes: []message.Write{{Key: record.QuotesPrefix + teamKey(next), Value: value}}}, func(d message.StoreResponse) {
			if p.controller.shardLeader == o && d.Status == message.StoreOK {
				if o.promiseDates.quotesStoredHash == nil {
					o.promiseDates.quotesStoredHash = map[string]uint64{}
				}
				o.promiseDates.quotesStoredHash[next] = hash
			}
		})
		return
	}
}

// totalsLoop lets the leader count what has ended.
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

// isStillLeader says whether a step of the leader's may go on, which began under by.
func (p *promiseState) isStillLeader(by *leader) bool {
	if p.controller.leader != by || by == nil {
		p.totals.inFlight = false
		return false
	}
	return true
}

// readTotals begins from the record. One that is damaged is counted anew, from all of
// job/; one of another version is left to it.
func (p *promiseState) readTotals() {
	by := p.controller.leader
	tracker := &p.totals
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityLazy, Key: record.TotalsKey}, func(resp message.StoreResponse) {
		if !p.isStillLeader(by) {
			return
		}
		var t *promise.Totals
		var stamp uint64
		switch resp.Status {
		case message.StoreNotFound:
			t = &promise.Totals{}
		case message.StoreOK:
			var err error
			stamp = resp.KeyValues[0].ModRevision
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
		tracker.leadership, tracker.modRevision, tracker.writtenRevision, tracker.current = by, stamp, t.Revision, t
		p.followTotals()
	})
}

// followTotals takes in what has ended since.
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

// listEnds counts from all of job/ what has ended since a revision, up to that of the
// first page: what ends meanwhile the next look brings.
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

// countEnds counts the ends after a revision and up to another. Each job's stands there
// once; of work borrowed from peers its home counts.
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

// writeTotals writes the record if it says something new. It names the leader's record
// and its own stamp, so that nothing is counted twice, whoever else believes to lead.
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
			// What became of it the record tells, before anything more is counted.
			tracker.leadership = nil
			return
		}
		tracker.modRevision, tracker.writtenRevision = d.Revision, t.Revision
		p.reportTotals()
	})
}

// reportTotals tells the shell, and now and then the log.
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
	p.info("promises", "ended", s.Jobs, "made", s.Made, "kept", s.Kept, "broken", s.Broken, "revised", s.Revised,
		"worst", s.Worst, "ratio", fmt.Sprintf("%.2f", x.current.MedianRatio()), "first", x.current.PromisedAtAccept, "open", open)
}

// openMost bounds the jobs in one answer.
const openMost = 1000

func newPromiseRow(r promise.Row) message.PromiseRow {
	return message.PromiseRow{Team: r.Team, Class: r.Class, Ended: r.Jobs, Made: r.Made, Kept: r.Kept, Broken: r.Broken, Revised: r.Revised, WorstSeconds: r.Worst.Seconds()}
}

// query answers from a fresh read, so that any controller tells the same.
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
		case len(reply.Open) >= openMost:
			reply.Omitted++
		default:
			reply.Open = append(reply.Open, x)
		}
	}
}
