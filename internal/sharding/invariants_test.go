package sharding

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
	"pgregory.net/rapid"
)

// simulation is a fleet of controllers and machines whose shard map is planned and written.
type simulation struct {
	*store
	now     time.Time
	planner *Planner
	// incarnations is the number of each host's last incarnation, negative while the host is
	// down.
	incarnations map[string]int
	incapable    map[string]bool
	onProbation  map[string]bool
	teams        []string
	teamLoads    map[string]float64
	machines     []string
	newMachines  []NewMachine
	offers       map[string]Offer
	epochBumps   int
	// teamMoves counts the teams that changed their holder although the former one is alive.
	teamMoves int
}

// newSimulation returns a fleet with the given numbers of live hosts and of teams, and a leader.
func newSimulation(limits sizelimit.Limits, hosts, teams int) *simulation {
	sim := &simulation{
		store: newStore(limits), now: time.Unix(1_750_000_000, 0), incarnations: map[string]int{}, incapable: map[string]bool{}, onProbation: map[string]bool{},
		teamLoads: map[string]float64{}, offers: map[string]Offer{},
	}
	for i := range hosts {
		sim.incarnations[fmt.Sprintf("worker-%d", i)] = 1
	}
	for i := range teams {
		sim.teams = append(sim.teams, fmt.Sprintf("team-%02d", i))
	}
	sim.electLeader()
	return sim
}

// electLeader makes another controller the planner, which has none of its predecessor's state.
func (sim *simulation) electLeader() {
	sim.revision++
	sim.leaderRevision = sim.revision
	sim.planner = New(sim.limits, fmt.Sprint(sim.leaderRevision), 30*time.Second, sim.now)
}

// hosts returns all hosts, also those that are down, sorted.
func (sim *simulation) hosts() []string { return slices.Sorted(maps.Keys(sim.incarnations)) }

// input returns the planner's input. The last live host by name is the planning controller.
func (sim *simulation) input() Input {
	input := Input{Map: sim.shardMap, Teams: sim.teams, TeamLoads: sim.teamLoads, Offers: sim.offers, IsGone: func(id string) bool { return sim.gone[id] }}
	for _, host := range sim.hosts() {
		if sim.incarnations[host] > 0 {
			input.Self = host
			input.Controllers = append(input.Controllers, Controller{Host: host, Incarnation: fmt.Sprintf("%s#%d", host, sim.incarnations[host]), Capable: !sim.incapable[host], OnProbation: sim.onProbation[host]})
		}
	}
	for _, machine := range sim.newMachines {
		if owner, ok := sim.shardMap.Owner(machine.ID); !ok || !sim.shardMap.IsAssigned(machine.ID) || owner.Host != machine.Host {
			input.NewMachines = append(input.NewMachines, machine)
		}
	}
	return input
}

// planUntilStable applies plans until there is nothing more to write at this moment, and answers
// pending moves with offers.
func (sim *simulation) planUntilStable(t fataler) {
	for plans := 0; ; plans++ {
		if plans > 200 {
			t.Fatalf("shard map is not stable after 200 plans")
		}
		if move, ok := sim.planner.PendingMove(); ok {
			sim.offers[move.Team] = Offer{move.Team, sim.ownedBy(move.From)[:len(sim.ownedBy(move.From))/2]}
		} else {
			clear(sim.offers)
		}
		shardOfTeam := sim.shardMap.Team
		holders := map[string]string{}
		for _, team := range sim.teams {
			if shard := shardOfTeam(team); shard != nil && sim.holderAlive(shard) {
				holders[team] = shard.Host
			}
		}
		writes := sim.planner.Plan(sim.now, sim.input())
		if len(writes) == 0 {
			if _, ok := sim.planner.PendingMove(); ok {
				continue
			}
			return
		}
		sim.apply(t, writes)
		sim.check(t, sim.machines)
		for team, host := range holders {
			if shard := sim.shardMap.Team(team); shard == nil || shard.Host != host {
				sim.teamMoves++
			}
		}
	}
}

// holderAlive reports whether the incarnation that holds a shard is live.
func (sim *simulation) holderAlive(shard *Shard) bool {
	return sim.incarnations[shard.Host] > 0 && shard.Incarnation == fmt.Sprintf("%s#%d", shard.Host, sim.incarnations[shard.Host])
}

// ownedBy returns the machines that a host owns, without those that are gone.
func (sim *simulation) ownedBy(host string) []string {
	var out []string
	for _, id := range sim.machines {
		if owner, ok := sim.shardMap.Owner(id); ok && owner.Host == host && !sim.gone[id] {
			out = append(out, id)
		}
	}
	return out
}

// addMachines rents machines for a host.
func (sim *simulation) addMachines(host string, count int) {
	for range count {
		id := fmt.Sprintf("vm-%06d", len(sim.machines)+1)
		sim.machines = append(sim.machines, id)
		sim.newMachines = append(sim.newMachines, NewMachine{id, host, sim.now.Add(-batchDelay)})
	}
}

// checkComplete checks a stable shard map: each team has exactly one shard with a live holder,
// and every machine has an owner, the same that a scan over all records finds.
func (sim *simulation) checkComplete(t fataler) {
	shardsPerTeam := map[string]int{}
	for _, shard := range sim.shardMap.Shards() {
		if len(shard.Teams) > 0 && !sim.holderAlive(shard) {
			t.Fatalf("shard %s is held by %s, which is dead", shard.Name, shard.Host)
		}
		for _, team := range shard.Teams {
			shardsPerTeam[team]++
		}
	}
	for _, team := range sim.teams {
		if shardsPerTeam[team] != 1 {
			t.Fatalf("team %s: got %d shards, want 1", team, shardsPerTeam[team])
		}
	}
	for _, id := range sim.machines {
		if sim.gone[id] {
			continue
		}
		owner, ok := sim.shardMap.Owner(id)
		if !ok {
			t.Fatalf("machine %s has no owner", id)
		}
		var newest assignment
		for _, segment := range sim.shardMap.sortedSegments() {
			for _, group := range segment.groups {
				if slices.Contains(group.names, id) && (newest.segment == nil || group.epoch >= newest.epoch) {
					newest = assignment{segment, group.epoch}
				}
			}
		}
		want := sim.shardMap.catchAll
		if newest.segment != nil {
			want = sim.shardMap.Shard(newest.segment.Shard)
		}
		if want == nil || owner.Name != want.Name {
			t.Fatalf("machine %s: got owner %s, want %v, found by a scan over all records", id, owner.Name, want)
		}
	}
}

// TestShardingInvariants simulates random restarts, rentals, losses, moves and leader changes.
// It checks that a machine gets a new owner only under a higher epoch, that all records stay
// within their limits, and that the shard map becomes stable and complete.
func TestShardingInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := sizelimit.Limits{ValueBytes: rapid.SampledFrom([]int{512, 1024, 4096, 16384}).Draw(t, "value"), Ops: rapid.IntRange(4, 24).Draw(t, "ops")}
		sim := newSimulation(limits, rapid.IntRange(1, 7).Draw(t, "hosts"), rapid.IntRange(1, 12).Draw(t, "teams"))
		sim.planUntilStable(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { sim.now = sim.now.Add(time.Second) },
			"end controller": func(t *rapid.T) {
				host := rapid.SampledFrom(sim.hosts()).Draw(t, "host")
				if sim.incarnations[host] > 0 && len(sim.input().Controllers) > 1 {
					sim.incarnations[host] = -sim.incarnations[host]
				}
			},
			"start controller": func(t *rapid.T) {
				host := rapid.SampledFrom(sim.hosts()).Draw(t, "host")
				if sim.incarnations[host] < 0 {
					sim.incarnations[host] = -sim.incarnations[host] + 1
				}
			},
			"degrade controller": func(t *rapid.T) {
				host := rapid.SampledFrom(sim.hosts()).Draw(t, "host")
				sim.incapable[host] = !sim.incapable[host]
			},
			"leader change": func(t *rapid.T) { sim.electLeader() },
			"rent machines": func(t *rapid.T) {
				sim.addMachines(rapid.SampledFrom(sim.hosts()).Draw(t, "host"), rapid.IntRange(1, 60).Draw(t, "count"))
			},
			"lose machines": func(t *rapid.T) {
				for range rapid.IntRange(0, 40).Draw(t, "count") {
					if len(sim.machines) > 0 {
						sim.gone[rapid.SampledFrom(sim.machines).Draw(t, "machine")] = true
					}
				}
			},
			"raise epoch": func(t *rapid.T) {
				shard := sim.shardMap.Team(sim.teams[0])
				if shard == nil || !sim.holderAlive(shard) {
					return
				}
				if mine := sim.ownedBy(shard.Host); len(mine) > 0 {
					// Only machines of this shard may be named: BumpEpoch assigns all to it.
					mine = slices.DeleteFunc(mine, func(id string) bool { owner, _ := sim.shardMap.Owner(id); return owner.Name != shard.Name })
					sim.epochBumps++
					if write, some := BumpEpoch(sim.limits, fmt.Sprintf("%s-r%d", shard.Incarnation, sim.epochBumps), shard, mine); len(some) > 0 {
						sim.apply(t, []Write{write})
						sim.check(t, sim.machines)
					}
				}
			},
			"load change": func(t *rapid.T) {
				sim.teamLoads[rapid.SampledFrom(sim.teams).Draw(t, "team")] = rapid.Float64Range(0, 500).Draw(t, "cpus")
			},
			"wait": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
				sim.planUntilStable(t)
				sim.checkComplete(t)
			},
			"plan": func(t *rapid.T) {
				if writes := sim.planner.Plan(sim.now, sim.input()); len(writes) > 0 {
					sim.apply(t, writes)
					sim.check(t, sim.machines)
				}
			},
		})
	})
}
