package sharding

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestLateRecords guards against two owners of a machine that use the same epoch: a reader that
// lags behind must see the present owner, or a lower epoch than the present owner has.
func TestLateRecords(t *testing.T) {
	w := newSimulation(testLimits, 3, 4)
	w.planUntilStable(t)
	stale := NewMap()
	var unread []Write
	w.addMachines("worker-0", 40)
	w.addMachines("worker-1", 40)
	for range 40 {
		w.now = w.now.Add(10 * time.Second)
		ws := w.planner.Plan(w.now, w.input())
		if w.apply(t, ws) {
			unread = append(unread, ws...)
		}
		for _, id := range w.machines {
			o, ok := stale.Owner(id)
			now, _ := w.shardMap.Owner(id)
			if ok && o.Epoch >= now.Epoch && (o.Host != now.Host || o.Incarnation != now.Incarnation) {
				t.Fatalf("machine %s: lagging reader: got owner %s with epoch %d, while the present owner %s has %d; want a lower epoch or the same owner", id, o.Host, o.Epoch, now.Host, now.Epoch)
			}
		}
		if len(unread) > 6 {
			x := unread[0]
			unread = unread[1:]
			// Only the order of the revisions matters to the lagging map, not their values.
			if x.IsShard {
				stale.ApplyShard(x.Name, x.Value, x.ModRevision+1)
			} else {
				stale.ApplySegment(x.Name, x.Value, x.ModRevision+1)
			}
		}
		switch {
		case w.incarnations["worker-1"] == 1:
			w.incarnations["worker-1"] = -1
		case w.incarnations["worker-1"] == -1:
			w.incarnations["worker-1"] = 2
		}
	}
}

// TestTenThousand checks that 10,000 machines, 50 teams and 7 controllers stay within values of
// 4 KiB and 12 changes a transaction, and that renting and losing a thousand machines each in a
// minute costs a few changes a second.
func TestTenThousand(t *testing.T) {
	w := newSimulation(testLimits, 7, 50)
	w.planUntilStable(t)
	hosts := w.hosts()
	minute := func(rented, lost int) float64 {
		before, from := w.changes, w.now
		for s := range 60 {
			for k := rented * s / 60; k < rented*(s+1)/60; k += 50 {
				w.addMachines(hosts[(s+k)%len(hosts)], min(50, rented*(s+1)/60-k))
			}
			for k := range lost / 60 {
				// Machines of all ages.
				w.gone[w.machines[(s*7919+k*104729)%len(w.machines)]] = true
			}
			w.now = w.now.Add(time.Second)
			w.planUntilStable(t)
		}
		return float64(w.changes-before) / w.now.Sub(from).Seconds()
	}
	for range 10 {
		if rate := minute(1000, 0); rate > 4 {
			t.Errorf("renting 1000 machines a minute: got %.1f changes a second, want 4 at most", rate)
		}
	}
	w.checkComplete(t)
	segments, named := w.shardMap.Counts()
	t.Logf("%d machines, %d of them in %d segments", len(w.machines), named, segments)
	if segments > 2*len(w.machines)/maxSegmentMachines+60 {
		t.Errorf("got %d segments for %d machines, want fewer", segments, named)
	}
	rate := minute(1000, 1000)
	t.Logf("renting and losing 1000 machines a minute: %.1f changes a second", rate)
	if rate > 5 {
		t.Errorf("renting and losing 1000 machines a minute: got %.1f changes a second, want 5 at most", rate)
	}
	// A controller's death costs one change for each of its shards.
	before := w.changes
	w.incarnations[hosts[3]] = -1
	w.planUntilStable(t)
	if k := w.changes - before; k > 8 {
		t.Errorf("death of a controller: got %d changes, want 8 at most", k)
	}
	if rate := minute(0, 0); rate > 1 {
		t.Errorf("idle fleet: got %.1f changes a second, want 1 at most", rate)
	}
	w.checkComplete(t)
}

// TestSpread checks that a controller that comes back gets teams within a minute, and that
// nothing moves afterwards.
func TestSpread(t *testing.T) {
	for _, teams := range []int{1, 2, 3, 4, 9, 50} {
		t.Run(fmt.Sprint(teams), func(t *testing.T) {
			w := newSimulation(testLimits, 3, teams)
			for i, team := range w.teams {
				w.teamLoads[team] = 100 + float64(i)
			}
			step := func(n int) {
				for range n {
					w.now = w.now.Add(time.Second)
					w.planUntilStable(t)
				}
			}
			step(20)
			for _, h := range w.hosts() {
				w.addMachines(h, 30)
			}
			step(100)
			w.incarnations["worker-1"] = -1
			step(10)
			w.incarnations["worker-1"] = 2
			step(60)
			per := map[string]int{}
			for _, s := range w.shardMap.Shards() {
				per[s.Host] += len(s.Teams)
			}
			for _, h := range w.hosts() {
				if least := teams / 3; per[h] < min(least, max(1, least-1)) && teams > 1 {
					t.Errorf("%s: got %d of %d teams a minute after worker-1 is back, want an even spread: %v", h, per[h], teams, per)
				}
			}
			step(300)
			before := w.teamMoves
			step(900)
			if w.teamMoves != before {
				t.Errorf("stable fleet: got %d team moves, want 0", w.teamMoves-before)
			}
			w.checkComplete(t)
		})
	}
}

// TestCompactionKeepsEpochs guards against a machine that changes its owner or epoch when
// segments are merged, also repeatedly.
func TestCompactionKeepsEpochs(t *testing.T) {
	w := newSimulation(testLimits, 2, 2)
	w.planUntilStable(t)
	host := "worker-0"
	if w.shardMap.catchAll.Host == host {
		host = "worker-1"
	}
	for range 12 {
		w.addMachines(host, 12)
		w.now = w.now.Add(time.Second)
		w.planUntilStable(t)
	}
	for range 6 {
		segments, _ := w.shardMap.Counts()
		before := map[string]Owner{}
		for _, id := range w.machines {
			before[id], _ = w.shardMap.Owner(id)
		}
		for i := range w.machines {
			w.gone[w.machines[i]] = w.gone[w.machines[i]] || i%7 == segments%7
		}
		w.now = w.now.Add(2 * compactEvery)
		w.planUntilStable(t)
		for _, id := range w.machines {
			if o, _ := w.shardMap.Owner(id); !w.gone[id] && (o.Epoch != before[id].Epoch || o.Host != before[id].Host) {
				t.Fatalf("machine %s: owner %s with epoch %d became %s with epoch %d, want no change", id, before[id].Host, before[id].Epoch, o.Host, o.Epoch)
			}
		}
	}
	if segments, _ := w.shardMap.Counts(); segments > 3 {
		t.Errorf("got %d segments after compaction, want 3 at most", segments)
	}
}

// TestOnProbation checks that a controller that has just started keeps the shards that it holds
// and gets no others while another controller can have them. If all controllers have just
// started, they get the shards all the same.
func TestOnProbation(t *testing.T) {
	w := newSimulation(testLimits, 3, 3)
	for _, h := range w.hosts() {
		w.onProbation[h] = true
	}
	w.planUntilStable(t)
	for _, team := range w.teams {
		if w.shardMap.Team(team) == nil {
			t.Fatalf("all controllers on probation: team %s has no shard", team)
		}
	}
	holder := w.shardMap.Team(w.teams[0]).Host
	changes := w.changes
	for _, h := range w.hosts() {
		w.onProbation[h] = h == holder
	}
	w.planUntilStable(t)
	if w.changes != changes {
		t.Error("controller on probation lost what it holds")
	}
	// A restarted controller loses its shard to another holder.
	w.incarnations[holder]++
	w.planUntilStable(t)
	if s := w.shardMap.Team(w.teams[0]); s.Host == holder {
		t.Error("restarted controller got its shard back while others can have it")
	}
}

// TestIncapable checks that a live controller that can't run shards, because it receives nothing
// from workers, loses its shards and gets none while another controller is capable. If no
// controller is capable, nothing changes.
func TestIncapable(t *testing.T) {
	w := newSimulation(testLimits, 2, 1)
	w.planUntilStable(t)
	first := w.shardMap.Team("team-00").Host
	other := map[string]string{"worker-0": "worker-1", "worker-1": "worker-0"}[first]
	w.incapable[first] = true
	w.planUntilStable(t)
	if s := w.shardMap.Team("team-00"); s.Host != other {
		t.Errorf("got holder %s, want the capable controller", s.Host)
	}
	changes := w.changes
	w.incapable[other] = true
	w.planUntilStable(t)
	if s := w.shardMap.Team("team-00"); s.Host != other || w.changes != changes {
		t.Errorf("no controller capable: got holder %s, want no change", s.Host)
	}
}

// TestLegacyFormat checks that shards of the legacy format, which name their machines one by
// one, are read and then rewritten as segments within the limits.
func TestLegacyFormat(t *testing.T) {
	w := newSimulation(testLimits, 2, 2)
	var ids []string
	for i := range 150 {
		ids = append(ids, fmt.Sprintf("vm-%06d", i))
	}
	storeLegacy := func(name string, r shardRecord) {
		if !w.apply(t, []Write{{IsShard: true, Name: name, Value: encode(&r)}}) {
			t.Fatal("store refused a legacy record")
		}
	}
	storeLegacy("worker-0", shardRecord{Incarnation: "before", Teams: []string{"team-00"}, CatchAll: true})
	storeLegacy("worker-1", shardRecord{Incarnation: "before", Teams: []string{"team-01"}, Machines: ids})
	w.machines = append(ids, "vm-000900")
	if o, ok := w.shardMap.Owner("vm-000007"); !ok || o.Host != "worker-1" {
		t.Errorf("legacy record: got owner %v, want worker-1", o)
	}
	w.check(t, w.machines)
	for range 30 {
		w.now = w.now.Add(time.Second)
		w.planUntilStable(t)
	}
	w.checkComplete(t)
	if o, _ := w.shardMap.Owner("vm-000007"); o.Shard == nil || o.Name != "worker-1" || !w.shardMap.IsAssigned("vm-000007") || len(w.shardMap.Machines("worker-1")) != len(ids) {
		t.Errorf("after the format migration: got owner %v and %d machines, want worker-1 and %d", o, len(w.shardMap.Machines("worker-1")), len(ids))
	}
}

// TestNames checks that machine names of any form are the same after encoding and decoding.
func TestNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(
			rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("vm-%06d", rapid.IntRange(0, 300).Draw(t, "n")) }),
			rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("x%d", rapid.Uint64().Draw(t, "n")) }),
			rapid.StringMatching(`[a-z0-9.-]{1,30}`))
		ids := rapid.SliceOfN(name, 1, 200).Draw(t, "names")
		slices.Sort(ids)
		ids = slices.Compact(ids)
		_, groups, err := decodeSegment(encodeSegment("s", []epochGroup{{7, ids}}))
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, g := range groups {
			if g.epoch != 7 {
				t.Fatalf("got epoch %d, want 7", g.epoch)
			}
			got = append(got, g.names...)
		}
		slices.Sort(got)
		if !slices.Equal(got, ids) {
			t.Fatalf("got names %v, want %v", got, ids)
		}
	})
}

// FuzzRecords guards against damaged records that make a reader panic or exhaust memory, or
// whose machines remain in the map after the records are deleted.
func FuzzRecords(f *testing.F) {
	f.Add(encodeSegment("s", []epochGroup{{0, []string{"vm-000001", "vm-000002", "odd"}}}))
	f.Add(encode(&shardRecord{Host: "a", Incarnation: "b", Teams: []string{"t"}, Machines: []string{"vm-1"}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		shardMap := NewMap()
		_ = shardMap.ApplyShard("s", b, 1)
		_ = shardMap.ApplySegment("l", b, 2)
		shardMap.Owner("vm-000001")
		_ = shardMap.ApplySegment("l", nil, 3)
		_ = shardMap.ApplyShard("s", nil, 4)
		if len(shardMap.current)+len(shardMap.superseded) > 0 {
			t.Fatal("machines remain after all records are deleted")
		}
	})
}

// BenchmarkOwner measures the lookup of a machine's owner, which every heartbeat needs.
func BenchmarkOwner(b *testing.B) {
	for _, size := range []int{300, 1300, 5000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newSimulation(testLimits, 7, 9)
			w.planUntilStable(b)
			for i := range size / 50 {
				w.addMachines(w.hosts()[i%7], 50)
			}
			w.now = w.now.Add(time.Second)
			w.planUntilStable(b)
			i := 0
			for b.Loop() {
				w.shardMap.Owner(w.machines[i%len(w.machines)])
				i++
			}
		})
	}
}
