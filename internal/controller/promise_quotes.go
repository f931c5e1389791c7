package controller

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/record"
)

// quoterFor returns a team's Quoter. If there is none it returns nil, or a new one if create is
// set.
func (promises *promiseState) quoterFor(team string, create bool) *promise.Quoter {
	quoter := promises.quotes[team]
	if quoter == nil && create {
		quoter = promise.NewQuoter(promises.settings.Capabilities.PromiseFraction)
		promises.quotes[team] = quoter
	}
	return quoter
}

// acceptQuotes takes in the quotes of a team that another controller leads. from names their source
// in the log. Quotes from the stored record count only until the first update from a peer.
func (promises *promiseState) acceptQuotes(from string, value []byte, fromPeer bool) {
	team, quoter, err := promise.DecodeQuoter(value, promises.settings.Capabilities.PromiseFraction)
	if err != nil {
		promises.rejectInput("quotes", from, err.Error())
		return
	}
	if promises.team(team) == nil || !fromPeer && promises.quotes[team] != nil || promises.controller.shardLeader != nil && promises.controller.shardLeader.teams[team] != nil {
		return
	}
	promises.quotes[team] = quoter
}

// quotesUpdate returns the quotes of the teams that this controller leads, to be sent to its peers.
func (promises *promiseState) quotesUpdate() []message.TeamQuotes {
	if !promises.enabled() {
		return nil
	}
	var quotes []message.TeamQuotes
	for _, team := range sortedKeys(promises.controller.shardLeader.teams) {
		if quoter := promises.quotes[team]; quoter != nil {
			quotes = append(quotes, message.TeamQuotes{Team: team, Value: quoter.Encode(team, promises.maxPageBytes())})
		}
	}
	return quotes
}

// storeQuotes writes the quotes of one team, if they have changed. Stored quotes are read only
// after the whole cluster was stopped, when the load in them is out of date anyway, so rare writes
// are enough.
func (promises *promiseState) storeQuotes() {
	shardLeader := promises.controller.shardLeader
	// The interval holds for all controllers together.
	if promises.now.Sub(shardLeader.promiseDates.quotesStoredAt) < quoteStoreInterval*time.Duration(1+len(promises.settings.Peers)) && !shardLeader.promiseDates.quotesStoredAt.IsZero() || promises.now.After(promises.controller.membership.leaseValidUntil) {
		return
	}
	teams := sortedKeys(shardLeader.promiseDates.pageWriters)
	for range teams {
		next := ""
		for _, team := range teams {
			if team > shardLeader.promiseDates.quotesStoredTeam {
				next = team
				break
			}
		}
		if shardLeader.promiseDates.quotesStoredTeam = next; next == "" {
			continue
		}
		value := promises.quoterFor(next, true).Encode(next, promises.maxPageBytes())
		hash := xxhash.Sum64(value)
		if shardLeader.promiseDates.quotesStoredHash[next] == hash {
			continue
		}
		shardLeader.promiseDates.quotesStoredAt = promises.now
		promises.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: promises.controller.shardLeader.shardCompares(next), Writes: []message.Write{{Key: record.QuotesPrefix + teamKey(next), Value: value}}}, func(response message.StoreResponse) {
			if promises.controller.shardLeader == shardLeader && response.Status == message.StoreOK {
				if shardLeader.promiseDates.quotesStoredHash == nil {
					shardLeader.promiseDates.quotesStoredHash = map[string]uint64{}
				}
				shardLeader.promiseDates.quotesStoredHash[next] = hash
			}
		})
		return
	}
}

// promiseJob returns the properties of a job that determine its date. The fetch time is that of a
// machine of the average type: whether images are already cached shows in the durations from which
// quotes learn.
func (promises *promiseState) promiseJob(spec *model.JobSpec) promise.Job {
	if promises.ratedTypeCount != len(promises.controller.knowledge.machineTypes) {
		promises.ratedTypeCount, promises.fetchSecondsPerGB = len(promises.controller.knowledge.machineTypes), 0
		rate, kinds := 0.0, 0.0
		for _, name := range sortedKeys(promises.controller.knowledge.machineTypes) {
			if machineType := promises.controller.knowledge.machineTypes[name]; machineType.ImageFetchRate > 0 {
				rate, kinds = rate+machineType.ImageFetchRate, kinds+1
			}
		}
		if rate > 0 {
			promises.fetchSecondsPerGB = kinds / rate
		}
	}
	return promise.Job{Team: spec.Team, Class: spec.Workload, Tasks: spec.Tasks, Expected: spec.ExpectedRunTime, LongRunning: spec.LongRunning, FetchTime: record.DurationOfSeconds(spec.ImageGB * promises.fetchSecondsPerGB)}
}

// quoteDate returns the date for a job that is accepted here, as a time from its submission, or 0
// if its class is not known.
func (promises *promiseState) quoteDate(spec *model.JobSpec) time.Duration {
	if !promises.enabled() || len(spec.Dependencies) > 0 {
		// A job with dependencies gets its date when its dependencies are done.
		return 0
	}
	job := promises.promiseJob(spec)
	if quoter := promises.quoterFor(spec.Team, false); quoter != nil {
		if date, known := quoter.Quote(job); known {
			return date
		}
	}
	// A workload that is new to the team may be known from other teams.
	for _, team := range sortedKeys(promises.quotes) {
		if date, known := promises.quotes[team].Quote(job); known {
			return date
		}
	}
	return 0
}

// learnFromEnd updates the quotes by the end record of a job.
func (promises *promiseState) learnFromEnd(job *job, rec record.JobStatus) {
	if !promises.enabled() || job.borrowedLoan != "" {
		return
	}
	promises.cacheDoneDate(job.ID, rec)
	if !job.LongRunning {
		promises.learnFromDuration(job, time.Duration(rec.EndedAfterMillis)*time.Millisecond)
	}
}

// learnFromDuration updates the quotes by how long a job took until it was done, or until all
// replicas of a long-running job were running.
func (promises *promiseState) learnFromDuration(job *job, took time.Duration) {
	quoter, promiseJob := promises.quoterFor(job.Team, true), promises.promiseJob(&job.JobSpec)
	if !job.takenOver {
		quoter.LearnFinish(promiseJob, job.baseQuote, took)
	}
	learnOutcome(job, quoter, promiseJob, took <= job.promised.After)
}

// learnOutcome updates the quotes, once per job, by whether the job's date was kept.
func learnOutcome(job *job, quoter *promise.Quoter, promiseJob promise.Job, kept bool) {
	if job.promised.Revision > 0 && !job.outcomeLearned {
		job.outcomeLearned = true
		quoter.LearnOutcome(promiseJob, kept)
	}
}
