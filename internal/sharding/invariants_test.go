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

// newSimulation returns a fleet of so many live hosts and teams, with a leader.
func newSimulation(l sizelimit.Limits, hosts, teams int) *simulation {
	w := &simulation{
		store: newStore(l), now: time.Unix(1_750_000_000, 0), incarnations: map[string]int{}, incapable: map[string]bool{}, onProbation: map[string]bool{},
		teamLoads: map[string]float64{}, offers: map[string]Offer{},
	}
	for i := range hosts {
		w.incarnations[fmt.Sprintf("worker-%d", i)] = 1
	}
	for i := range teams {
		w.teams = append(w.teams, fmt.Sprintf("team-%02d", i))
	}
	w.electLeader()
	return w
}

// electLeader makes another controller the planner, which has none of its predecessor's state.
func (w *simulation) electLeader() {
	w.revision++
	w.leaderRevision = w.revision
	w.planner = New(w.limits, fmt.Sprint(w.leaderRevision), 30*time.Second, w.now)
}

// hosts returns all hosts, also those that are down, sorted.
func (w *simulation) hosts() []string { return slices.Sorted(maps.Keys(w.incarnations)) }

// input returns the planner's input. The last live host by name is the planning controller.
func (w *simulation) input() Input {
	in := Input{Map: w.shardMap, Teams: w.teams, TeamLoads: w.teamLoads, Offers: w.offers, IsGone: func(id string) bool { return w.gone[id] }}
	for _, h := range w.hosts() {
		if w.incarnations[h] > 0 {
			in.Self = h
			in.Controllers = append(in.Controllers, Controller{Host: h, Incarnation: fmt.Sprintf("%s#%d", h, w.incarnations[h]), Capable: !w.incapable[h], OnProbation: w.onProbation[h]})
		}
	}
	for _, x := range w.newMachines {
		if o, ok := w.shardMap.Owner(x.ID); !ok || !w.shardMap.IsAssigned(x.ID) || o.Host != x.Host {
			in.NewMachines = append(in.NewMachines, x)
		}
	}
	return in
}

// planUntilStable applies plans until there is nothing more to write at this moment, and answers
// pending moves with offers.
func (w *simulation) planUntilStable(t fataler) {
	for k := 0; ; k++ {
		if k > 200 {
			t.Fatalf("shard map is not stable after 200 plans")
		}
		if a, ok := w.planner.PendingMove(); ok {
			w.offers[a.Team] = Offer{a.Team, w.ownedBy(a.From)[:len(w.ownedBy(a.From))/2]}
		} else {
			clear(w.offers)
		}
		shardOfTeam := w.shardMap.Team
		holders := map[string]string{}
		for _, team := range w.teams {
			if s := shardOfTeam(team); s != nil && w.holderAlive(s) {
				holders[team] = s.Host
			}
		}
		ws := w.planner.Plan(w.now, w.input())
		if len(ws) == 0 {
			if _, ok := w.planner.PendingMove(); ok {
				continue
			}
			return
		}
		w.apply(t, ws)
		w.check(t, w.machines)
		for team, h := range holders {
			if s := w.shardMap.Team(team); s == nil || s.Host != h {
				w.teamMoves++
			}
		}
	}
}

// holderAlive reports whether the incarnation that holds a shard is live.
func (w *simulation) holderAlive(s *Shard) bool {
	return w.incarnations[s.Host] > 0 && s.Incarnation == fmt.Sprintf("%s#%d", s.Host, w.incarnations[s.Host])
}

// ownedBy returns the machines that a host owns, without those that are gone.
func (w *simulation) ownedBy(host string) []string {
	var out []string
	for _, id := range w.machines {
		if o, ok := w.shardMap.Owner(id); ok && o.Host == host && !w.gone[id] {
			out = append(out, id)
		}
	}
	return out
}

// addMachines rents n machines for a host.
func (w *simulation) addMachines(host string, n int) {
	for range n {
		id := fmt.Sprintf("vm-%06d", len(w.machines)+1)
		w.machines = append(w.machines, id)
		w.newMachines = append(w.newMachines, NewMachine{id, host, w.now.Add(-batchDelay)})
	}
}

// checkComplete checks a stable shard map: each team has exactly one shard with a live holder,
// and every machine has an owner, the same that a scan over all records finds.
func (w *simulation) checkComplete(t fataler) {
	shardsPerTeam := map[string]int{}
	for _, s := range w.shardMap.Shards() {
		if len(s.Teams) > 0 && !w.holderAlive(s) {
			t.Fatalf("shard %s is held by %s, which is dead", s.Name, s.Host)
		}
		for _, team := range s.Teams {
			shardsPerTeam[team]++
		}
	}
	for _, team := range w.teams {
		if shardsPerTeam[team] != 1 {
			t.Fatalf("team %s: got %d shards, want 1", team, shardsPerTeam[team])
		}
	}
	for _, id := range w.machines {
		if w.gone[id] {
			continue
		}
		o, ok := w.shardMap.Owner(id)
		if !ok {
			t.Fatalf("machine %s has no owner", id)
		}
		var newest assignment
		for _, l := range w.shardMap.sortedSegments() {
			for _, g := range l.groups {
				if slices.Contains(g.names, id) && (newest.segment == nil || g.epoch >= newest.epoch) {
					newest = assignment{l, g.epoch}
				}
			}
		}
		want := w.shardMap.catchAll
		if newest.segment != nil {
			want = w.shardMap.Shard(newest.segment.Shard)
		}
		if want == nil || o.Name != want.Name {
			t.Fatalf("machine %s: got owner %s, want %v, found by a scan over all records", id, o.Name, want)
		}
	}
}

// TestShardingInvariants simulates random restarts, rentals, losses, moves and leader changes.
// It checks that a machine gets a new owner only under a higher epoch, that all records stay
// within their limits, and that the shard map becomes stable and complete.
func TestShardingInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := sizelimit.Limits{ValueBytes: rapid.SampledFrom([]int{512, 1024, 4096, 16384}).Draw(t, "value"), Ops: rapid.IntRange(4, 24).Draw(t, "ops")}
		w := newSimulation(l, rapid.IntRange(1, 7).Draw(t, "hosts"), rapid.IntRange(1, 12).Draw(t, "teams"))
		w.planUntilStable(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.now = w.now.Add(time.Second) },
			"stop controller": func(t *rapid.T) {
				h := rapid.SampledFrom(w.hosts()).Draw(t, "host")
				if w.incarnations[h] > 0 && len(w.input().Controllers) > 1 {
					w.incarnations[h] = -w.incarnations[h]
				}
			},
			"start controller": func(t *rapid.T) {
				h := rapid.SampledFrom(w.hosts()).Draw(t, "host")
				if w.incarnations[h] < 0 {
					w.incarnations[h] = -w.incarnations[h] + 1
				}
			},
			"toggle capability": func(t *rapid.T) {
				h := rapid.SampledFrom(w.hosts()).Draw(t, "host")
				w.incapable[h] = !w.incapable[h]
			},
			"change leader": func(t *rapid.T) { w.electLeader() },
			"rent machines": func(t *rapid.T) {
				w.addMachines(rapid.SampledFrom(w.hosts()).Draw(t, "host"), rapid.IntRange(1, 60).Draw(t, "count"))
			},
			"lose machines": func(t *rapid.T) {
				for range rapid.IntRange(0, 40).Draw(t, "count") {
					if len(w.machines) > 0 {
						w.gone[rapid.SampledFrom(w.machines).Draw(t, "machine")] = true
					}
				}
			},
			"bump epoch": func(t *rapid.T) {
				s := w.shardMap.Team(w.teams[0])
				if s == nil || !w.holderAlive(s) {
					return
				}
				if mine := w.ownedBy(s.Host); len(mine) > 0 {
					// Only machines of this shard may be named: BumpEpoch assigns all to it.
					mine = slices.DeleteFunc(mine, func(id string) bool { o, _ := w.shardMap.Owner(id); return o.Name != s.Name })
					w.epochBumps++
					if x, some := BumpEpoch(w.limits, fmt.Sprintf("%s-r%d", s.Incarnation, w.epochBumps), s, mine); len(some) > 0 {
						w.apply(t, []Write{x})
						w.check(t, w.machines)
					}
				}
			},
			"change load": func(t *rapid.T) {
				w.teamLoads[rapid.SampledFrom(w.teams).Draw(t, "team")] = rapid.Float64Range(0, 500).Draw(t, "cpus")
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
				w.planUntilStable(t)
				w.checkComplete(t)
			},
			"plan": func(t *rapid.T) {
				if ws := w.planner.Plan(w.now, w.input()); len(ws) > 0 {
					w.apply(t, ws)
					w.check(t, w.machines)
				}
			},
		})
	})
}
