package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// rankOf is a job's place in the ranking, the lower the earlier; without a ranking, by its urgency. Every
// comparison of two jobs calls it, so the job caches it.
func (r *rankingState) rankOf(j *job) int {
	if r.tableVersion == 0 || j.rankingVersion != r.tableVersion {
		j.rankingPlace, j.rankingVersion = r.rankOfSpec(&j.JobSpec), r.tableVersion
	}
	return j.rankingPlace
}

// rankOfSpec is rankOf for a job that is not open.
func (r *rankingState) rankOfSpec(s *model.JobSpec) int {
	return r.table.Rank(s.Workload, int(s.Urgency))
}

// inverseRank is rankOf counted from the last place, which is 0.
func (r *rankingState) inverseRank(j *job) int {
	return r.table.RankCount() - 1 - r.rankOf(j)
}

// policyWeight is the policy script's weight of a job. It counts only without a ranking: the leader derives
// the first ranking from these weights.
func (r *rankingState) policyWeight(j *job) float64 {
	if r.table != nil {
		return 0
	}
	return r.settings.Policy.WorkloadWeights[j.Workload]
}

// waitBound is how long a job may wait behind others, and the fraction of the capacity that it then gets before
// all others; 0 is the built-in default.
func (r *rankingState) waitBound(j *job) (time.Duration, float64) {
	return r.table.WaitBound(j.Workload, int(j.Urgency))
}

// sortInheritedByRank sorts the machines that a successor contacts: those with attempts before idle ones, and
// of these the ones with the highest-ranked job first.
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

// overloadRefuses reports whether a submission is refused under overload: the later a job's rank, the smaller
// the part of the requests waiting for the store that it may add to.
func (r *rankingState) overloadRefuses(s *model.JobSpec) bool {
	if !r.settings.Capabilities.Ranking || s.Workload == "" {
		return false
	}
	relativeRank := float64(r.rankOfSpec(s)) / float64(max(1, r.table.RankCount()-1))
	return float64(r.controller.frontend.waitingRequests) >= maxWaitingRequests*(1-(1-lowestRankQueueFraction)*relativeRank)
}
