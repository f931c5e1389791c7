package exchange

import (
	"fmt"
	"maps"
	"testing"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// kinds are the machine kinds of the tests.
var kinds = []Kind{{"box", "a", true}, {"box", "a", false}, {"rack", "a", true}}

// TestMatch guards against wrong transfers and needless rentals, for any requests and surplus. No machine
// may be transferred twice or to its own owner, no owner may receive more than it requests, no machine may
// be rented that could be transferred, and the limits must hold.
func TestMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owners []Owner
		requests := map[string]map[Kind]int{}
		ownerOf := map[string]string{}
		kindOf := map[string]Kind{}
		surplus := map[string]map[Kind]int{}
		for i := range rapid.IntRange(1, 5).Draw(t, "owners") {
			owner := Owner{Host: fmt.Sprintf("worker-%d", i), CapacityRequests: map[Kind]int{}}
			surplus[owner.Host] = map[Kind]int{}
			for _, k := range kinds {
				if n := rapid.IntRange(0, 60).Draw(t, "requested"); n > 0 {
					owner.CapacityRequests[k] = n
				}
				for range rapid.IntRange(0, 20).Draw(t, "surplus") {
					id := fmt.Sprintf("vm-%d", len(ownerOf))
					ownerOf[id], kindOf[id] = owner.Host, k
					surplus[owner.Host][k]++
					owner.Surplus = append(owner.Surplus, Machine{id, k})
				}
			}
			requests[owner.Host] = maps.Clone(owner.CapacityRequests)
			owners = append(owners, owner)
		}
		limits := Limits{MaxTransfers: rapid.IntRange(0, 200).Draw(t, "transfers"), MaxScaleOuts: rapid.IntRange(1, 8).Draw(t, "scale-outs"), MaxPerScaleOut: 50}
		transfers, scaleOuts := Match(owners, limits)
		received := map[string]map[Kind]int{}
		seen := map[string]bool{}
		transferred := map[Kind]int{}
		for _, transfer := range transfers {
			if ownerOf[transfer.ID] != transfer.From || transfer.To == transfer.From || seen[transfer.ID] {
				t.Fatalf("transfer %v: got a machine of %s or one transferred before, want one of the sender, transferred once", transfer, ownerOf[transfer.ID])
			}
			seen[transfer.ID] = true
			transferred[kindOf[transfer.ID]]++
			if received[transfer.To] == nil {
				received[transfer.To] = map[Kind]int{}
			}
			received[transfer.To][kindOf[transfer.ID]]++
			if surplus[transfer.To][kindOf[transfer.ID]] > 0 {
				t.Fatalf("host %s: got a machine of kind %v, want none, since the host has surplus of the kind", transfer.To, kindOf[transfer.ID])
			}
		}
		if len(transfers) > limits.MaxTransfers || len(scaleOuts) > limits.MaxScaleOuts {
			t.Fatalf("got %d transfers and %d scale-outs, want them within the limits", len(transfers), len(scaleOuts))
		}
		for _, scaleOut := range scaleOuts {
			if received[scaleOut.Host] == nil {
				received[scaleOut.Host] = map[Kind]int{}
			}
			received[scaleOut.Host][scaleOut.Kind] += scaleOut.Count
			left := 0
			for host := range surplus {
				if host != scaleOut.Host {
					left += surplus[host][scaleOut.Kind]
				}
			}
			if surplus[scaleOut.Host][scaleOut.Kind] == 0 && transferred[scaleOut.Kind] < left && len(transfers) < limits.MaxTransfers {
				t.Fatalf("got kind %v rented for %s, want a transfer, since others have surplus", scaleOut.Kind, scaleOut.Host)
			}
		}
		for host, counts := range received {
			for k, n := range counts {
				if n > requests[host][k] {
					t.Fatalf("host %s: got %d machines of kind %v, want at most %d", host, n, k, requests[host][k])
				}
			}
		}
	})
}

// TestRoundRobinOrder guards against one owner that receives all machines of a scarce kind, or all scale-outs,
// before another owner receives any.
func TestRoundRobinOrder(t *testing.T) {
	kind := kinds[0]
	requests := func(n int) map[Kind]int { return map[Kind]int{kind: n} }
	donor := Owner{Host: "c"}
	for i := range 10 {
		donor.Surplus = append(donor.Surplus, Machine{fmt.Sprint("vm-", i), kind})
	}
	transfers, scaleOuts := Match([]Owner{{Host: "a", CapacityRequests: requests(500)}, {Host: "b", CapacityRequests: requests(3)}, donor}, Limits{MaxTransfers: 100, MaxScaleOuts: 4, MaxPerScaleOut: 50})
	transferred := map[string]int{}
	for _, transfer := range transfers {
		transferred[transfer.To]++
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
