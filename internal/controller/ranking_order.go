package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// rankOf returns a job's rank, from 0 for the highest. Without a ranking, jobs rank by urgency.
// Every comparison of two jobs calls rankOf, so the job caches the result.
func (rankings *rankingState) rankOf(job *job) int {
	if rankings.tableVersion == 0 || job.rankingVersion != rankings.tableVersion {
		job.rankingPlace, job.rankingVersion = rankings.rankOfSpec(&job.JobSpec), rankings.tableVersion
	}
	return job.rankingPlace
}

// rankOfSpec returns the rank of a job that is not open yet.
func (rankings *rankingState) rankOfSpec(spec *model.JobSpec) int {
	return rankings.table.Rank(spec.Workload, int(spec.Urgency))
}

// inverseRank returns a job's rank counted from the lowest rank, which is 0.
func (rankings *rankingState) inverseRank(job *job) int {
	return rankings.table.RankCount() - 1 - rankings.rankOf(job)
}

// policyWeight returns the policy script's weight of a job. With a ranking it is 0, since the
// leader derives the first ranking from these weights.
func (rankings *rankingState) policyWeight(job *job) float64 {
	if rankings.table != nil {
		return 0
	}
	return rankings.settings.Policy.WorkloadWeights[job.Workload]
}

// waitBound returns how long a job may wait behind other jobs, and the fraction of the capacity
// that it gets before all other jobs after that time. A 0 means the built-in default.
func (rankings *rankingState) waitBound(job *job) (time.Duration, float64) {
	return rankings.table.WaitBound(job.Workload, int(job.Urgency))
}

// sortInheritedByRank sorts the machines that a new shard leader contacts: machines with attempts
// before idle ones, and among the former the machine with the highest-ranked job first.
func (rankings *rankingState) sortInheritedByRank(machines []*machine) {
	bestRank := map[*machine]int{}
	for _, machine := range machines {
		bestRank[machine] = rankings.table.RankCount()
		for key := range machine.attempts {
			if rankings.settings.Capabilities.Ranking {
				bestRank[machine] = min(bestRank[machine], rankings.rankOf(rankings.controller.shardLeader.jobs[key.job]))
			}
		}
	}
	slices.SortStableFunc(machines, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(boolToFloat(len(a.attempts) == 0), boolToFloat(len(b.attempts) == 0)), cmp.Compare(bestRank[a], bestRank[b]))
	})
}

// overloadRefuses reports whether a submission is refused because too many requests wait for the
// store. The lower the job's rank, the fewer waiting requests suffice.
func (rankings *rankingState) overloadRefuses(spec *model.JobSpec) bool {
	if !rankings.settings.Capabilities.Ranking || spec.Workload == "" {
		return false
	}
	relativeRank := float64(rankings.rankOfSpec(spec)) / float64(max(1, rankings.table.RankCount()-1))
	return float64(rankings.controller.frontend.waitingRequests) >= maxWaitingRequests*(1-(1-lowestRankQueueFraction)*relativeRank)
}
