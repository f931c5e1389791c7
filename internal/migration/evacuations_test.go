package migration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestEvacuations checks the requests for drawn needs and costs. Each shard leader that needs a host
// gets one request at a time, for a kind that it needs. Of the shard leaders that need no host
// themselves, have no other request and are not in backoff, the one with the lowest cost gets the
// request. A shard leader that lacks a target may need a host itself, if the request is for its own host; only one
// request at a time is made to such shard leaders. The request ends with the need.
func TestEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var evacuations Evacuations
		now := time.Unix(1_750_000_000, 0)
		var before []EvacuationRequest
		for range rapid.IntRange(1, 12).Draw(t, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
			var needs []MachineNeed
			var costs []EvacuationCost
			for i := range 4 {
				owner := fmt.Sprint("o", i)
				if kinds := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"k", "l"}), 0, 2, rapid.ID[string]).Draw(t, "kinds"); len(kinds) > 0 && rapid.Bool().Draw(t, "needs") {
					needs = append(needs, MachineNeed{owner, kinds})
				}
				for _, kind := range []string{"k", "l"} {
					if rapid.Bool().Draw(t, "offers") {
						downtime := time.Duration(rapid.IntRange(0, 9).Draw(t, "down")) * time.Second
						if rapid.Bool().Draw(t, "needs target") {
							downtime = CostWithTarget(downtime)
						}
						costs = append(costs, EvacuationCost{owner, kind, downtime})
					}
				}
			}
			requests := slices.Clone(evacuations.Update(now, needs, costs))
			recipients, donors := map[string]bool{}, map[string]bool{}
			for _, request := range requests {
				i := slices.IndexFunc(needs, func(need MachineNeed) bool { return need.Owner == request.Recipient })
				if i < 0 || !slices.Contains(needs[i].Kinds, request.Kind) || recipients[request.Recipient] || donors[request.Owner] || !now.Before(request.Until) {
					t.Fatalf("got request %+v, want at most one for each of the needs %+v", request, needs)
				}
				recipients[request.Recipient], donors[request.Owner] = true, true
				if slices.Contains(before, request) {
					continue
				}
				needsTarget := costOf(request, costs).needsTarget()
				if slices.ContainsFunc(needs, func(need MachineNeed) bool { return need.Owner == request.Owner }) && !(needsTarget && request.Recipient == request.Owner) {
					t.Fatalf("got a request to %s, which needs a host itself, want none", request.Owner)
				}
				for _, other := range requests {
					if needsTarget && other != request && costOf(other, costs).needsTarget() {
						t.Fatalf("got requests %+v and %+v to shard leaders that lack a target, want at most one", request, other)
					}
				}
				costIndex := slices.IndexFunc(costs, func(cost EvacuationCost) bool { return cost.Owner == request.Owner && cost.Kind == request.Kind })
				if costIndex < 0 {
					t.Fatalf("got a request to %s, which publishes no cost for the kind, want none", request.Owner)
				}
				for _, cost := range costs {
					free := !slices.ContainsFunc(requests, func(other EvacuationRequest) bool { return other.Owner == cost.Owner }) && !slices.ContainsFunc(needs, func(need MachineNeed) bool { return need.Owner == cost.Owner })
					if free && slices.Contains(needs[i].Kinds, cost.Kind) && cost.Downtime < costs[costIndex].Downtime && !now.Before(evacuations.backoffUntil[cost.Owner]) {
						t.Fatalf("got request %+v, want the cheaper %+v", request, cost)
					}
				}
			}
			before = requests
		}
	})
}
