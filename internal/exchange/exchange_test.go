package exchange

import (
	"fmt"
	"maps"
	"testing"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

var kinds = []Kind{{"box", "a", true}, {"box", "a", false}, {"rack", "a", true}}

// TestMatch: no machine is transferred twice or to its own owner, nobody gets more than it
// requests, what can be transferred is not rented, and limits hold.
func TestMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owners []Owner
		requests := map[string]map[Kind]int{}
		ownerOf := map[string]string{}
		kindOf := map[string]Kind{}
		surplus := map[string]map[Kind]int{}
		for i := range rapid.IntRange(1, 5).Draw(t, "owners") {
			o := Owner{Host: fmt.Sprintf("worker-%d", i), CapacityRequests: map[Kind]int{}}
			surplus[o.Host] = map[Kind]int{}
			for _, k := range kinds {
				if n := rapid.IntRange(0, 60).Draw(t, "requested"); n > 0 {
					o.CapacityRequests[k] = n
				}
				for range rapid.IntRange(0, 20).Draw(t, "surplus") {
					id := fmt.Sprintf("vm-%d", len(ownerOf))
					ownerOf[id], kindOf[id] = o.Host, k
					surplus[o.Host][k]++
					o.Surplus = append(o.Surplus, Machine{id, k})
				}
			}
			requests[o.Host] = maps.Clone(o.CapacityRequests)
			owners = append(owners, o)
		}
		limits := Limits{MaxTransfers: rapid.IntRange(0, 200).Draw(t, "transfers"), MaxScaleOuts: rapid.IntRange(1, 8).Draw(t, "scale-outs"), MaxPerScaleOut: 50}
		transfers, scaleOuts := Match(owners, limits)
		received := map[string]map[Kind]int{}
		seen := map[string]bool{}
		transferred := map[Kind]int{}
		for _, m := range transfers {
			if ownerOf[m.ID] != m.From || m.To == m.From || seen[m.ID] {
				t.Fatalf("transfer %v: machine is owned by %s, or transferred before", m, ownerOf[m.ID])
			}
			seen[m.ID] = true
			transferred[kindOf[m.ID]]++
			if received[m.To] == nil {
				received[m.To] = map[Kind]int{}
			}
			received[m.To][kindOf[m.ID]]++
			if surplus[m.To][kindOf[m.ID]] > 0 {
				t.Fatalf("host %s received a %v and has surplus of it", m.To, kindOf[m.ID])
			}
		}
		if len(transfers) > limits.MaxTransfers || len(scaleOuts) > limits.MaxScaleOuts {
			t.Fatalf("got %d transfers and %d scale-outs, want them within the limits", len(transfers), len(scaleOuts))
		}
		for _, b := range scaleOuts {
			if received[b.Host] == nil {
				received[b.Host] = map[Kind]int{}
			}
			received[b.Host][b.Kind] += b.Count
			left := 0
			for h := range surplus {
				if h != b.Host {
					left += surplus[h][b.Kind]
				}
			}
			if surplus[b.Host][b.Kind] == 0 && transferred[b.Kind] < left && len(transfers) < limits.MaxTransfers {
				t.Fatalf("kind %v is rented for %s though others have surplus", b.Kind, b.Host)
			}
		}
		for h, by := range received {
			for k, n := range by {
				if n > requests[h][k] {
					t.Fatalf("host %s: got %d of %v, want %d at most", h, n, k, requests[h][k])
				}
			}
		}
	})
}

// TestFairOrder: of a scarce kind nobody gets all before another has any.
func TestFairOrder(t *testing.T) {
	k := kinds[0]
	requests := func(n int) map[Kind]int { return map[Kind]int{k: n} }
	donor := Owner{Host: "c"}
	for i := range 10 {
		donor.Surplus = append(donor.Surplus, Machine{fmt.Sprint("vm-", i), k})
	}
	transfers, scaleOuts := Match([]Owner{{Host: "a", CapacityRequests: requests(500)}, {Host: "b", CapacityRequests: requests(3)}, donor}, Limits{MaxTransfers: 100, MaxScaleOuts: 4, MaxPerScaleOut: 50})
	transferred := map[string]int{}
	for _, m := range transfers {
		transferred[m.To]++
	}
	if transferred["a"] != 7 || transferred["b"] != 3 {
		t.Errorf("got transfers %v, want 7 for a and 3 for b", transferred)
	}
	if len(scaleOuts) != 4 || scaleOuts[0].Host != "a" {
		t.Errorf("got scale-outs %v, want 4, the first for a", scaleOuts)
	}
	_, scaleOuts = Match([]Owner{{Host: "a", CapacityRequests: requests(500)}, {Host: "b", CapacityRequests: requests(500)}}, Limits{MaxScaleOuts: 4, MaxPerScaleOut: 50})
	if len(scaleOuts) != 4 || scaleOuts[0].Host != "a" || scaleOuts[1].Host != "b" || scaleOuts[2].Host != "a" {
		t.Errorf("got scale-outs %v, want hosts in turn", scaleOuts)
	}
}
