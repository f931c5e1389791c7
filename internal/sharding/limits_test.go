package sharding

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
)

// TestShardsAboveTheLimit checks that shards written under a larger value limit can be taken
// over under a lower one. Rewriting such a shard in one record exceeds the limit, so that the
// store would refuse the takeover each time. The teams must be divided among more records, in
// transactions that fit, and no team may be in two shards at any time.
func TestShardsAboveTheLimit(t *testing.T) {
	store := newStore(sizelimit.Limits{ValueBytes: 4096, Ops: 12})
	now := time.Unix(1_750_000_000, 0)
	input := Input{Map: store.shardMap, Self: "z", Controllers: []Controller{{Host: "z", Incarnation: "1", Capable: true}}, IsGone: func(string) bool { return false }}
	for i := range 700 {
		input.Teams = append(input.Teams, fmt.Sprintf("a-team-with-a-long-name-%03d", i))
	}
	for _, ops := range []int{12, 4} {
		planner := New(store.limits, fmt.Sprint("t", ops), time.Minute, now)
		for range 60 {
			now = now.Add(time.Second)
			writes := planner.Plan(now, input)
			if len(writes) > 0 && !store.apply(t, writes) {
				t.Fatal("store refused a planned transaction")
			}
			seen := map[string]string{}
			for _, shard := range store.shardMap.Shards() {
				for _, team := range shard.Teams {
					if seen[team] != "" {
						t.Fatalf("team %s is in shards %s and %s, want one", team, seen[team], shard.Name)
					}
					seen[team] = shard.Name
				}
			}
		}
		for _, team := range input.Teams {
			shard := store.shardMap.Team(team)
			if shard == nil || !slices.ContainsFunc(input.Controllers, func(controller Controller) bool {
				return controller.Host == shard.Host && controller.Incarnation == shard.Incarnation
			}) {
				t.Fatalf("limit of %d changes: team %s has no live holder", ops, team)
			}
		}
		// In the next round the holder of the shards is dead, and the limits are lower.
		store.limits = sizelimit.Limits{ValueBytes: 2048, Ops: 4}
		input.Controllers = []Controller{{Host: "b", Incarnation: "1", Capable: true}, {Host: "c", Incarnation: "1", Capable: true}}
		input.Self = "b"
	}
}
