package sharding

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/micahill/micahill/internal/sizelimit"
)

// holderAlive reports whether the incarnation that holds a shard is live and capable.
func (draft *draft) holderAlive(rec *shardRecord) bool {
	return slices.ContainsFunc(draft.capable, func(controller Controller) bool {
		return controller.Host == rec.Host && controller.Incarnation == rec.Incarnation
	})
}

// teamWeight returns a team's part of a controller's load, in CPUs. An idle team counts as one
// CPU, so that teams are spread before they have tasks.
func (draft *draft) teamWeight(team string) float64 { return 1 + draft.input.TeamLoads[team] }

// shardWeight returns the sum of the weights of a shard's teams, in CPUs.
func (draft *draft) shardWeight(rec *shardRecord) float64 {
	total := 0.0
	for _, team := range rec.Teams {
		total += draft.teamWeight(team)
	}
	return total
}

// leastLoaded returns the least loaded recipient. On a tie it prefers the planning controller.
func (draft *draft) leastLoaded() Controller {
	best := draft.recipients[0]
	for _, controller := range draft.recipients {
		if load, bestLoad := draft.loads[controller.Host], draft.loads[best.Host]; load < bestLoad || load == bestLoad && controller.Host == draft.input.Self {
			best = controller
		}
	}
	return best
}

// isEmpty reports whether a shard has neither teams nor machines.
func (draft *draft) isEmpty(name string) bool {
	rec := draft.shards[name]
	return len(rec.Teams) == 0 && !rec.CatchAll && len(rec.Machines) == 0 && !slices.ContainsFunc(draft.input.Map.sortedSegments(), func(segment *Segment) bool { return segment.Shard == name })
}

// reassignOrphaned gives each shard of a dead or incapable controller as a whole to one new
// holder, because the tasks of its teams run on its machines. It places the heaviest shard
// first, and removes empty shards.
func (draft *draft) reassignOrphaned() {
	var orphaned []string
	for _, name := range draft.shardNames() {
		if rec := draft.shards[name]; !draft.holderAlive(rec) {
			orphaned = append(orphaned, name)
		}
	}
	slices.SortStableFunc(orphaned, func(a, b string) int {
		return cmp.Compare(draft.shardWeight(draft.shards[b]), draft.shardWeight(draft.shards[a]))
	})
	for _, name := range orphaned {
		rec := draft.shards[name]
		if draft.isEmpty(name) {
			delete(draft.shards, name)
			draft.changedShards[name] = true
			continue
		}
		recipient := draft.leastLoaded()
		rec.Host, rec.Incarnation, rec.Epoch = recipient.Host, recipient.Incarnation, 0
		draft.changedShards[name] = true
		draft.loads[recipient.Host] += draft.shardWeight(rec)
	}
}

// shardNames returns the names of the draft's shards, sorted.
func (draft *draft) shardNames() []string {
	out := make([]string, 0, len(draft.shards))
	for name := range draft.shards {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// fits reports whether a shard's record takes at most maxShardFill of the value limit.
func (draft *draft) fits(rec *shardRecord) bool {
	return fitsInto(encode(rec), int(maxShardFill*float64(draft.planner.limits.ValueBytes)))
}

// shardFor returns the name of the first shard of the controller that has space for one more
// team in its record. If there is none, it creates a shard.
func (draft *draft) shardFor(controller Controller, team string) string {
	for _, name := range draft.shardNames() {
		rec := draft.shards[name]
		if rec.Host != controller.Host || rec.Incarnation != controller.Incarnation {
			continue
		}
		extended := *rec
		extended.Teams = append(slices.Clone(rec.Teams), team)
		if draft.fits(&extended) {
			return name
		}
	}
	for number := 0; ; number++ {
		name := controller.Host
		if number > 0 {
			name = fmt.Sprintf("%s.%d", controller.Host, number)
		}
		if draft.shards[name] == nil && !draft.changedShards[name] {
			draft.shards[name] = &shardRecord{Host: controller.Host, Incarnation: controller.Incarnation}
			draft.changedShards[name] = true
			return name
		}
	}
}

// shrinkOversized removes teams from shards whose records were written under a larger value
// limit, because no holder could write such a record again. It reports whether any shard has
// changed. The removed teams stay unassigned until the next plan, so that no team is in two
// shards even if the changes take several transactions.
func (draft *draft) shrinkOversized() bool {
	for _, name := range draft.shardNames() {
		rec := draft.shards[name]
		if size, err := sizelimit.JSONSize(encode(rec)); err != nil || size <= draft.planner.limits.ValueBytes || draft.remainingOps() == 0 {
			continue
		}
		for len(rec.Teams) > 1 && !draft.fits(rec) {
			rec.Teams = rec.Teams[:len(rec.Teams)-1]
			draft.changedShards[name] = true
		}
	}
	return len(draft.changedShards) > 0
}

// assignTeam adds a team to a shard of the controller.
func (draft *draft) assignTeam(team string, recipient Controller) {
	name := draft.shardFor(recipient, team)
	rec := draft.shards[name]
	rec.Teams = append(rec.Teams, team)
	slices.Sort(rec.Teams)
	draft.changedShards[name] = true
	draft.loads[recipient.Host] += draft.teamWeight(team)
}

// assignTeams gives each unassigned team to the least loaded controller.
func (draft *draft) assignTeams() {
	assigned := map[string]bool{}
	for _, rec := range draft.shards {
		for _, team := range rec.Teams {
			assigned[team] = true
		}
	}
	for _, team := range draft.input.Teams {
		if !assigned[team] {
			assigned[team] = true
			draft.assignTeam(team, draft.leastLoaded())
		}
	}
}

// assignCatchAll makes a shard with teams the catch-all shard, which has the machines that no
// segment names, unless there is one. It prefers a shard of the planning controller, which
// learns of machines first.
func (draft *draft) assignCatchAll() {
	best := ""
	for _, name := range draft.shardNames() {
		rec := draft.shards[name]
		if rec.CatchAll {
			return
		}
		switch {
		case len(rec.Teams) == 0:
		case best == "", rec.Host == draft.input.Self && draft.shards[best].Host != draft.input.Self:
			best = name
		}
	}
	if best != "" {
		draft.shards[best].CatchAll, draft.shards[best].CatchAllEpoch = true, 0
		draft.changedShards[best] = true
	}
}
