package sharding

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestLaggingReaderSeesLowerEpochs guards against two owners of a machine that use the same
// epoch: a reader that lags behind must see the current owner, or a lower epoch than the current
// owner has.
func TestLaggingReaderSeesLowerEpochs(t *testing.T) {
	sim := newSimulation(testLimits, 3, 4)
	sim.planUntilStable(t)
	stale := NewMap()
	var unread []Write
	sim.addMachines("worker-0", 40)
	sim.addMachines("worker-1", 40)
	for range 40 {
		sim.now = sim.now.Add(10 * time.Second)
		writes := sim.planner.Plan(sim.now, sim.input())
		if sim.apply(t, writes) {
			unread = append(unread, writes...)
		}
		for _, id := range sim.machines {
			owner, ok := stale.Owner(id)
			present, _ := sim.shardMap.Owner(id)
			if ok && owner.Epoch >= present.Epoch && (owner.Host != present.Host || owner.Incarnation != present.Incarnation) {
				t.Fatalf("machine %s: lagging reader: got owner %s with epoch %d, while the present owner %s has %d; want a lower epoch or the same owner", id, owner.Host, owner.Epoch, present.Host, present.Epoch)
			}
		}
		if len(unread) > 6 {
			write := unread[0]
			unread = unread[1:]
			// Only the order of the revisions matters to the lagging map, not their values.
			if write.IsShard {
				stale.ApplyShard(write.Name, write.Value, write.ModRevision+1)
			} else {
				stale.ApplySegment(write.Name, write.Value, write.ModRevision+1)
			}
		}
		switch {
		case sim.incarnations["worker-1"] == 1:
			sim.incarnations["worker-1"] = -1
		case sim.incarnations["worker-1"] == -1:
			sim.incarnations["worker-1"] = 2
		}
	}
}

// TestTenThousandMachines checks that 10,000 machines, 50 teams and 7 controllers stay within values of
// 4 KiB and 12 changes a transaction, and that renting and losing a thousand machines each in a
// minute costs a few changes a second.
func TestTenThousandMachines(t *testing.T) {
	sim := newSimulation(testLimits, 7, 50)
	sim.planUntilStable(t)
	hosts := sim.hosts()
	minute := func(rented, lost int) float64 {
		before, from := sim.changes, sim.now
		for second := range 60 {
			for count := rented * second / 60; count < rented*(second+1)/60; count += 50 {
				sim.addMachines(hosts[(second+count)%len(hosts)], min(50, rented*(second+1)/60-count))
			}
			for count := range lost / 60 {
				// The lost machines are of all ages.
				sim.gone[sim.machines[(second*7919+count*104729)%len(sim.machines)]] = true
			}
			sim.now = sim.now.Add(time.Second)
			sim.planUntilStable(t)
		}
		return float64(sim.changes-before) / sim.now.Sub(from).Seconds()
	}
	for range 10 {
		if rate := minute(1000, 0); rate > 4 {
			t.Errorf("renting 1000 machines a minute: got %.1f changes a second, want 4 at most", rate)
		}
	}
	sim.checkComplete(t)
	segments, named := sim.shardMap.Counts()
	t.Logf("%d machines, %d of them in %d segments", len(sim.machines), named, segments)
	if segments > 2*len(sim.machines)/maxSegmentMachines+60 {
		t.Errorf("got %d segments for %d machines, want fewer", segments, named)
	}
	rate := minute(1000, 1000)
	t.Logf("renting and losing 1000 machines a minute: %.1f changes a second", rate)
	if rate > 5 {
		t.Errorf("renting and losing 1000 machines a minute: got %.1f changes a second, want 5 at most", rate)
	}
	// A controller's death costs one change for each of its shards.
	before := sim.changes
	sim.incarnations[hosts[3]] = -1
	sim.planUntilStable(t)
	if count := sim.changes - before; count > 8 {
		t.Errorf("death of a controller: got %d changes, want 8 at most", count)
	}
	if rate := minute(0, 0); rate > 1 {
		t.Errorf("idle fleet: got %.1f changes a second, want 1 at most", rate)
	}
	sim.checkComplete(t)
}

// TestReturningControllerGetsTeams checks that a controller that comes back gets teams within
// a minute, and that nothing moves afterwards.
func TestReturningControllerGetsTeams(t *testing.T) {
	for _, teams := range []int{1, 2, 3, 4, 9, 50} {
		t.Run(fmt.Sprint(teams), func(t *testing.T) {
			sim := newSimulation(testLimits, 3, teams)
			for i, team := range sim.teams {
				sim.teamLoads[team] = 100 + float64(i)
			}
			step := func(seconds int) {
				for range seconds {
					sim.now = sim.now.Add(time.Second)
					sim.planUntilStable(t)
				}
			}
			step(20)
			for _, host := range sim.hosts() {
				sim.addMachines(host, 30)
			}
			step(100)
			sim.incarnations["worker-1"] = -1
			step(10)
			sim.incarnations["worker-1"] = 2
			step(60)
			per := map[string]int{}
			for _, shard := range sim.shardMap.Shards() {
				per[shard.Host] += len(shard.Teams)
			}
			for _, host := range sim.hosts() {
				if least := teams / 3; per[host] < min(least, max(1, least-1)) && teams > 1 {
					t.Errorf("%s: got %d of %d teams a minute after worker-1 is back, want an even spread: %v", host, per[host], teams, per)
				}
			}
			step(300)
			before := sim.teamMoves
			step(900)
			if sim.teamMoves != before {
				t.Errorf("stable fleet: got %d team moves, want 0", sim.teamMoves-before)
			}
			sim.checkComplete(t)
		})
	}
}

// TestCompactionKeepsEpochs guards against a machine that changes its owner or epoch when
// segments are merged, also repeatedly.
func TestCompactionKeepsEpochs(t *testing.T) {
	sim := newSimulation(testLimits, 2, 2)
	sim.planUntilStable(t)
	host := "worker-0"
	if sim.shardMap.catchAll.Host == host {
		host = "worker-1"
	}
	for range 12 {
		sim.addMachines(host, 12)
		sim.now = sim.now.Add(time.Second)
		sim.planUntilStable(t)
	}
	for range 6 {
		segments, _ := sim.shardMap.Counts()
		before := map[string]Owner{}
		for _, id := range sim.machines {
			before[id], _ = sim.shardMap.Owner(id)
		}
		for i := range sim.machines {
			sim.gone[sim.machines[i]] = sim.gone[sim.machines[i]] || i%7 == segments%7
		}
		sim.now = sim.now.Add(2 * compactEvery)
		sim.planUntilStable(t)
		for _, id := range sim.machines {
			if owner, _ := sim.shardMap.Owner(id); !sim.gone[id] && (owner.Epoch != before[id].Epoch || owner.Host != before[id].Host) {
				t.Fatalf("machine %s: owner %s with epoch %d became %s with epoch %d, want no change", id, before[id].Host, before[id].Epoch, owner.Host, owner.Epoch)
			}
		}
	}
	if segments, _ := sim.shardMap.Counts(); segments > 3 {
		t.Errorf("got %d segments after compaction, want 3 at most", segments)
	}
}

// TestOnProbation checks that a controller that has just started keeps the shards that it holds
// and gets no others while another controller can have them. If all controllers have just
// started, they get the shards all the same.
func TestOnProbation(t *testing.T) {
	sim := newSimulation(testLimits, 3, 3)
	for _, host := range sim.hosts() {
		sim.onProbation[host] = true
	}
	sim.planUntilStable(t)
	for _, team := range sim.teams {
		if sim.shardMap.Team(team) == nil {
			t.Fatalf("all controllers on probation: team %s has no shard", team)
		}
	}
	holder := sim.shardMap.Team(sim.teams[0]).Host
	changes := sim.changes
	for _, host := range sim.hosts() {
		sim.onProbation[host] = host == holder
	}
	sim.planUntilStable(t)
	if sim.changes != changes {
		t.Error("controller on probation lost what it holds")
	}
	// A restarted controller loses its shard to another holder for good.
	sim.incarnations[holder]++
	sim.planUntilStable(t)
	if shard := sim.shardMap.Team(sim.teams[0]); shard.Host == holder {
		t.Error("restarted controller got its shard back while others can have it")
	}
}

// TestIncapable checks that a live controller that can't run shards, because it receives nothing
// from workers, loses its shards and gets none while another controller is capable. If no
// controller is capable, nothing changes.
func TestIncapable(t *testing.T) {
	sim := newSimulation(testLimits, 2, 1)
	sim.planUntilStable(t)
	first := sim.shardMap.Team("team-00").Host
	other := map[string]string{"worker-0": "worker-1", "worker-1": "worker-0"}[first]
	sim.incapable[first] = true
	sim.planUntilStable(t)
	if shard := sim.shardMap.Team("team-00"); shard.Host != other {
		t.Errorf("got holder %s, want the capable controller", shard.Host)
	}
	changes := sim.changes
	sim.incapable[other] = true
	sim.planUntilStable(t)
	if shard := sim.shardMap.Team("team-00"); shard.Host != other || sim.changes != changes {
		t.Errorf("no controller capable: got holder %s, want no change", shard.Host)
	}
}

// TestLegacyFormat checks that shards of the legacy format, which name their machines one by
// one, are read and then rewritten as segments within the limits.
func TestLegacyFormat(t *testing.T) {
	sim := newSimulation(testLimits, 2, 2)
	var ids []string
	for i := range 150 {
		ids = append(ids, fmt.Sprintf("vm-%06d", i))
	}
	storeLegacy := func(name string, rec shardRecord) {
		if !sim.apply(t, []Write{{IsShard: true, Name: name, Value: encode(&rec)}}) {
			t.Fatal("store refused a legacy record")
		}
	}
	storeLegacy("worker-0", shardRecord{Incarnation: "before", Teams: []string{"team-00"}, CatchAll: true})
	storeLegacy("worker-1", shardRecord{Incarnation: "before", Teams: []string{"team-01"}, Machines: ids})
	sim.machines = append(ids, "vm-000900")
	if owner, ok := sim.shardMap.Owner("vm-000007"); !ok || owner.Host != "worker-1" {
		t.Errorf("legacy record: got owner %v, want worker-1", owner)
	}
	sim.check(t, sim.machines)
	for range 30 {
		sim.now = sim.now.Add(time.Second)
		sim.planUntilStable(t)
	}
	sim.checkComplete(t)
	if owner, _ := sim.shardMap.Owner("vm-000007"); owner.Shard == nil || owner.Name != "worker-1" || !sim.shardMap.IsAssigned("vm-000007") || len(sim.shardMap.Machines("worker-1")) != len(ids) {
		t.Errorf("after the format migration: got owner %v and %d machines, want worker-1 and the machines of the legacy record", owner, len(sim.shardMap.Machines("worker-1")))
	}
}

// TestMachineNamesSurviveEncoding checks that machine names of any form are the same after
// encoding and decoding.
func TestMachineNamesSurviveEncoding(t *testing.T) {
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
		for _, group := range groups {
			if group.epoch != 7 {
				t.Fatalf("got epoch %d, want 7", group.epoch)
			}
			got = append(got, group.names...)
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
	f.Fuzz(func(t *testing.T, value []byte) {
		shardMap := NewMap()
		_ = shardMap.ApplyShard("s", value, 1)
		_ = shardMap.ApplySegment("l", value, 2)
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
			sim := newSimulation(testLimits, 7, 9)
			sim.planUntilStable(b)
			for i := range size / 50 {
				sim.addMachines(sim.hosts()[i%7], 50)
			}
			sim.now = sim.now.Add(time.Second)
			sim.planUntilStable(b)
			i := 0
			for b.Loop() {
				sim.shardMap.Owner(sim.machines[i%len(sim.machines)])
				i++
			}
		})
	}
}
