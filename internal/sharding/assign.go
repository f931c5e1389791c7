package sharding

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/micahill/micahill/internal/sizelimit"
)

// holderAlive reports whether the incarnation that holds a shard is live and capable.
func (d *draft) holderAlive(r *shardRecord) bool {
	return slices.ContainsFunc(d.capable, func(n Controller) bool { return n.Host == r.Host && n.Incarnation == r.Incarnation })
}

// teamWeight returns a team's part of a controller's load, in CPUs. An idle team counts as one
// CPU, so that teams are spread before they have tasks.
func (d *draft) teamWeight(team string) float64 { return 1 + d.input.TeamLoads[team] }

// shardWeight returns the sum of the weights of a shard's teams, in CPUs.
func (d *draft) shardWeight(r *shardRecord) float64 {
	total := 0.0
	for _, t := range r.Teams {
		total += d.teamWeight(t)
	}
	return total
}

// leastLoaded returns the least loaded recipient. On a tie it prefers the planning controller.
func (d *draft) leastLoaded() Controller {
	best := d.recipients[0]
	for _, n := range d.recipients {
		if l, b := d.loads[n.Host], d.loads[best.Host]; l < b || l == b && n.Host == d.input.Self {
			best = n
		}
	}
	return best
}

// isEmpty reports whether a shard has neither teams nor machines.
func (d *draft) isEmpty(name string) bool {
	r := d.shards[name]
	return len(r.Teams) == 0 && !r.CatchAll && len(r.Machines) == 0 && !slices.ContainsFunc(d.input.Map.sortedSegments(), func(l *Segment) bool { return l.Shard == name })
}

// reassignOrphaned gives each shard of a dead or incapable controller as a whole to one new
// holder, because the tasks of its teams run on its machines. It places the heaviest shard
// first, and removes empty shards.
func (d *draft) reassignOrphaned() {
	var orphaned []string
	for _, n := range d.shardNames() {
		if r := d.shards[n]; !d.holderAlive(r) {
			orphaned = append(orphaned, n)
		}
	}
	slices.SortStableFunc(orphaned, func(a, b string) int { return cmp.Compare(d.shardWeight(d.shards[b]), d.shardWeight(d.shards[a])) })
	for _, n := range orphaned {
		r := d.shards[n]
		if d.isEmpty(n) {
			delete(d.shards, n)
			d.changedShards[n] = true
			continue
		}
		to := d.leastLoaded()
		r.Host, r.Incarnation, r.Epoch = to.Host, to.Incarnation, 0
		d.changedShards[n] = true
		d.loads[to.Host] += d.shardWeight(r)
	}
}

// shardNames returns the names of the draft's shards, sorted.
func (d *draft) shardNames() []string {
	out := make([]string, 0, len(d.shards))
	for n := range d.shards {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// fits reports whether a shard's record takes at most maxShardFill of the value limit.
func (d *draft) fits(r *shardRecord) bool {
	return fitsInto(encode(r), int(maxShardFill*float64(d.planner.limits.ValueBytes)))
}

// shardFor returns the first shard of controller n that has space for one more team in its
// record. If there is none, it creates a shard.
func (d *draft) shardFor(n Controller, team string) string {
	for _, name := range d.shardNames() {
		r := d.shards[name]
		if r.Host != n.Host || r.Incarnation != n.Incarnation {
			continue
		}
		with := *r
		with.Teams = append(slices.Clone(r.Teams), team)
		if d.fits(&with) {
			return name
		}
	}
	for k := 0; ; k++ {
		name := n.Host
		if k > 0 {
			name = fmt.Sprintf("%s.%d", n.Host, k)
		}
		if d.shards[name] == nil && !d.changedShards[name] {
			d.shards[name] = &shardRecord{Host: n.Host, Incarnation: n.Incarnation}
			d.changedShards[name] = true
			return name
		}
	}
}

// shrinkOversized removes teams from shards whose records were written under a larger value
// limit, because no holder could write such a record again. It reports whether any shard has
// changed. The removed teams stay unassigned until the next plan, so that no team is in two
// shards even if the changes take several transactions.
func (d *draft) shrinkOversized() bool {
	for _, name := range d.shardNames() {
		r := d.shards[name]
		if n, err := sizelimit.JSON(encode(r)); err != nil || n <= d.planner.limits.ValueBytes || d.remainingOps() == 0 {
			continue
		}
		for len(r.Teams) > 1 && !d.fits(r) {
			r.Teams = r.Teams[:len(r.Teams)-1]
			d.changedShards[name] = true
		}
	}
	return len(d.changedShards) > 0
}

// assignTeam adds a team to a shard of the controller.
func (d *draft) assignTeam(team string, to Controller) {
	name := d.shardFor(to, team)
	r := d.shards[name]
	r.Teams = append(r.Teams, team)
	slices.Sort(r.Teams)
	d.changedShards[name] = true
	d.loads[to.Host] += d.teamWeight(team)
}

// assignTeams gives each unassigned team to the least loaded controller.
func (d *draft) assignTeams() {
	assigned := map[string]bool{}
	for _, r := range d.shards {
		for _, t := range r.Teams {
			assigned[t] = true
		}
	}
	for _, t := range d.input.Teams {
		if !assigned[t] {
			assigned[t] = true
			d.assignTeam(t, d.leastLoaded())
		}
	}
}

// assignCatchAll makes a shard with teams the catch-all shard, which has the machines that no
// segment names, unless there is one. It prefers a shard of the planning controller, which
// learns of machines first.
func (d *draft) assignCatchAll() {
	best := ""
	for _, n := range d.shardNames() {
		r := d.shards[n]
		if r.CatchAll {
			return
		}
		switch {
		case len(r.Teams) == 0:
		case best == "", r.Host == d.input.Self && d.shards[best].Host != d.input.Self:
			best = n
		}
	}
	if best != "" {
		d.shards[best].CatchAll, d.shards[best].CatchAllEpoch = true, 0
		d.changedShards[best] = true
	}
}
