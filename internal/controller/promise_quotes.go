package controller

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// quoterFor returns what quotes of a team rest on here. Without any it is nil, or a new one if create is set.
func (p *promiseState) quoterFor(team string, create bool) *promise.Quoter {
	q := p.quotes[team]
	if q == nil && create {
		q = promise.NewQuoter(p.settings.Capabilities.PromiseFraction)
		p.quotes[team] = q
	}
	return q
}

// acceptQuotes takes in the quotes of a team led elsewhere, from a peer's update or, before the first of these, from the
// record.
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

// quotesUpdate returns the quotes of the teams here, for peers.
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

// storeQuotes writes the quotes of one team, if they have changed. They are read only after a stop of the whole cluster,
// when the load in them is out of date anyway.
func (p *promiseState) storeQuotes() {
	s := p.controller.shardLeader
	// All controllers together keep to the interval.
	if p.now.Sub(s.promiseDates.quotesStoredAt) < quoteStoreInterval*time.Duration(1+len(p.settings.Peers)) && !s.promiseDates.quotesStoredAt.IsZero() || p.now.After(p.controller.membership.leaseValidUntil) {
		return
	}
	teams := sortedKeys(s.promiseDates.pageWriters)
	for range teams {
		next := ""
		for _, t := range teams {
			if t > s.promiseDates.quotesStoredTeam {
				next = t
				break
			}
		}
		if s.promiseDates.quotesStoredTeam = next; next == "" {
			continue
		}
		value := p.quoterFor(next, true).Encode(next, p.maxPageBytes())
		hash := xxhash.Sum64(value)
		if s.promiseDates.quotesStoredHash[next] == hash {
			continue
		}
		s.promiseDates.quotesStoredAt = p.now
		p.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: p.controller.shardLeader.shardCompares(next), Writes: []message.Write{{Key: record.QuotesPrefix + teamKey(next), Value: value}}}, func(d message.StoreResponse) {
			if p.controller.shardLeader == s && d.Status == message.StoreOK {
				if s.promiseDates.quotesStoredHash == nil {
					s.promiseDates.quotesStoredHash = map[string]uint64{}
				}
				s.promiseDates.quotesStoredHash[next] = hash
			}
		})
		return
	}
}

// promiseJob is what a job's date rests on. The fetch time is that of a machine of the average type: whether images are
// cached already is learnt from the ends of jobs.
func (p *promiseState) promiseJob(s *model.JobSpec) promise.Job {
	if p.fetchTypeCount != len(p.controller.knowledge.machineTypes) {
		p.fetchTypeCount, p.perGB = len(p.controller.knowledge.machineTypes), 0
		rate, kinds := 0.0, 0.0
		for _, name := range sortedKeys(p.controller.knowledge.machineTypes) {
			if f := p.controller.knowledge.machineTypes[name]; f.ImageFetchRate > 0 {
				rate, kinds = rate+f.ImageFetchRate, kinds+1
			}
		}
		if rate > 0 {
			p.perGB = kinds / rate
		}
	}
	return promise.Job{Team: s.Team, Class: s.Workload, Tasks: s.Tasks, Expected: s.ExpectedRunTime, Standing: s.LongRunning, FetchTime: record.DurationOfSeconds(s.ImageGB * p.perGB)}
}

// quoteDate is the date for a job that is accepted here, or 0 if none is known.
func (p *promiseState) quoteDate(s *model.JobSpec) time.Duration {
	if !p.enabled() || len(s.Dependencies) > 0 {
		// A job with dependencies gets its date when these are done.
		return 0
	}
	j := p.promiseJob(s)
	if q := p.quoterFor(s.Team, false); q != nil {
		if d, known := q.Quote(j); known {
			return d
		}
	}
	// A workload that is new to the team may be known from other teams.
	for _, t := range sortedKeys(p.quotes) {
		if d, known := p.quotes[t].Quote(j); known {
			return d
		}
	}
	return 0
}

// learnFromEnd has the quotes learn from a job's end.
func (p *promiseState) learnFromEnd(j *job, r record.JobStatus) {
	if !p.enabled() || j.borrowedLoan != "" {
		return
	}
	p.cacheDoneDate(j.ID, r)
	if !j.LongRunning {
		p.learnFromDuration(j, time.Duration(r.EndedAfterMillis)*time.Millisecond)
	}
}

// learnFromDuration has the quotes learn from a job that was done, or had all replicas up, after a time.
func (p *promiseState) learnFromDuration(j *job, took time.Duration) {
	q, pj := p.quoterFor(j.Team, true), p.promiseJob(&j.JobSpec)
	if !j.takenOver {
		q.LearnFinish(pj, j.baseQuote, took)
	}
	learnOutcome(j, q, pj, took <= j.promised.After)
}

// learnOutcome has the quotes learn, once a job, whether its date was kept.
func learnOutcome(j *job, q *promise.Quoter, pj promise.Job, kept bool) {
	if j.promised.Revision > 0 && !j.outcomeLearned {
		j.outcomeLearned = true
		q.LearnOutcome(pj, kept)
	}
}
