package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

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
