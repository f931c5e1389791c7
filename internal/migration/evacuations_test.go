package migration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestEvacuations: each owner that needs a host gets one at a time, of a kind that it can
// use, from one that needs none, the cheapest first; and no request outlives its need.
func TestEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Evacuations
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
				for _, k := range []string{"k", "l"} {
					if rapid.Bool().Draw(t, "offers") {
						costs = append(costs, EvacuationCost{owner, k, time.Duration(rapid.IntRange(0, 9).Draw(t, "down")) * time.Second})
					}
				}
			}
			asks := slices.Clone(x.Update(now, needs, costs))
			needy, giving := map[string]bool{}, map[string]bool{}
			for _, a := range asks {
				i := slices.IndexFunc(needs, func(d MachineNeed) bool { return d.Owner == a.Recipient })
				if i < 0 || !slices.Contains(needs[i].Kinds, a.Kind) || needy[a.Recipient] || giving[a.Owner] || !now.Before(a.Until) {
					t.Fatalf("got request %+v, want one for each of %+v at most", a, needs)
				}
				needy[a.Recipient], giving[a.Owner] = true, true
				if slices.Contains(before, a) {
					continue
				}
				if slices.ContainsFunc(needs, func(d MachineNeed) bool { return d.Owner == a.Owner }) {
					t.Fatalf("got a request to %s, which needs a host itself, want none", a.Owner)
				}
				at := slices.IndexFunc(costs, func(c EvacuationCost) bool { return c.Owner == a.Owner && c.Kind == a.Kind })
				if at < 0 {
					t.Fatalf("got a request to %s, which offers no such host, want none", a.Owner)
				}
				for _, c := range costs {
					free := !slices.ContainsFunc(asks, func(b EvacuationRequest) bool { return b.Owner == c.Owner }) && !slices.ContainsFunc(needs, func(d MachineNeed) bool { return d.Owner == c.Owner })
					if free && slices.Contains(needs[i].Kinds, c.Kind) && c.Downtime < costs[at].Downtime && !now.Before(x.backoffUntil[c.Owner]) {
						t.Fatalf("got request %+v, want the cheaper %+v", a, c)
					}
				}
			}
			before = asks
		}
	})
}
