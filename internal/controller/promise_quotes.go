package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// quoterFor is what quotes of a team rest on here, if anything.
func (p *promiseState) quoterFor(team string, create bool) *promise.Quoter {
	q := p.quotes[team]
	if q == nil && create {
		q = promise.NewQuoter(p.settings.Capabilities.PromiseFraction)
		p.quotes[team] = q
	}
	return q
}

// promiseJob is what of a job its date rests on. The fetch is that from the usual kind
// of machine: where the image lies the finishes tell.
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

// quoteDate is the date for a job that is accepted here, if one is at hand.
func (p *promiseState) quoteDate(s *model.JobSpec) time.Duration {
	if !p.enabled() || len(s.Dependencies) > 0 {
		// What waits for others gets its date when these are done.
		return 0
	}
	j := p.promiseJob(s)
	if q := p.quoterFor(s.Team, false); q != nil {
		if d, known := q.Quote(j); known {
			return d
		}
	}
	// A class that is new to the team may be known of others.
	for _, t := range sortedKeys(p.quotes) {
		if d, known := p.quotes[t].Quote(j); known {
			return d
		}
	}
	return 0
}

// learnFromEnd learns from a job's end.
func (p *promiseState) learnFromEnd(j *job, r record.JobStatus) {
	if !p.enabled() || j.borrowedLoan != "" {
		return
	}
	p.cacheDoneDate(j.ID, r)
	if !j.LongRunning {
		p.learnFromDuration(j, time.Duration(r.EndedAfterMillis)*time.Millisecond)
	}
}

// learnFromDuration learns from a job that is done, or all up, after a time.
func (p *promiseState) learnFromDuration(j *job, took time.Duration) {
	q, pj := p.quoterFor(j.Team, true), p.promiseJob(&j.JobSpec)
	if !j.takenOver {
		q.LearnFinish(pj, j.baseQuote, took)
	}
	learnOutcome(j, q, pj, took <= j.promised.After)
}

func learnOutcome(j *job, q *promise.Quoter, pj promise.Job, kept bool) {
	if j.promised.Revision > 0 && !j.outcomeLearned {
		j.outcomeLearned = true
		q.LearnOutcome(pj, kept)
	}
}
