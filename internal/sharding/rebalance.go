package sharding

import (
	"slices"
	"time"
)

// rebalance moves a shard or a team from the most to the least loaded controller, if that gains
// enough and nothing has moved for the planning interval. A shard moves at once, with its
// machines. A team moves when its shard leader has offered the machines that go along, so that
// the receiver does not start without machines. The team's tasks keep running meanwhile.
func (draft *draft) rebalance(now time.Time) {
	planner := draft.planner
	if planner.request != nil && draft.continueMove(now) {
		return
	}
	if planner.request != nil || now.Sub(planner.changedAt) < planner.interval || len(draft.capable) < 2 {
		return
	}
	mostLoaded, leastLoaded := draft.capable[0], draft.leastLoaded()
	for _, controller := range draft.capable {
		if draft.loads[controller.Host] > draft.loads[mostLoaded.Host] {
			mostLoaded = controller
		}
	}
	shard, team := draft.bestMove(mostLoaded, leastLoaded, now)
	switch {
	case shard == "" && team == "":
		planner.imbalancedSince = time.Time{}
		return
	case planner.imbalancedSince.IsZero():
		planner.imbalancedSince = now
	}
	if float64(now.Sub(planner.imbalancedSince)) < imbalanceIntervals*float64(planner.interval) {
		return
	}
	planner.imbalancedSince = time.Time{}
	if shard == "" {
		planner.request, planner.requestedAt = &MoveRequest{team, mostLoaded.Host, leastLoaded.Host}, now
		return
	}
	rec := draft.shards[shard]
	rec.Host, rec.Incarnation, rec.Epoch = leastLoaded.Host, leastLoaded.Incarnation, 0
	draft.changedShards[shard] = true
	planner.changedAt = now
}

// bestMove returns the shard, or else the team, whose move from mostLoaded to leastLoaded
// balances the load best. Both are empty if no move gains enough.
func (draft *draft) bestMove(mostLoaded, leastLoaded Controller, now time.Time) (shard, team string) {
	improvement := func(weight float64) float64 {
		fromLoad, toLoad := draft.loads[mostLoaded.Host], draft.loads[leastLoaded.Host]
		return fromLoad - max(fromLoad-weight, toLoad+weight)
	}
	bestGain, minGain := 0.0, minLoadGain*draft.loads[mostLoaded.Host]
	var candidates []string
	for _, name := range draft.shardNames() {
		if rec := draft.shards[name]; rec.Host == mostLoaded.Host && len(rec.Teams) > 0 {
			candidates = append(candidates, name)
		}
	}
	// A shard is preferred to a team, because its machines move with it.
	for _, name := range candidates {
		if gain := improvement(draft.shardWeight(draft.shards[name])); len(candidates) > 1 && gain >= minGain && gain > bestGain {
			shard, bestGain = name, gain
		}
	}
	for _, name := range candidates {
		if rec := draft.shards[name]; shard == "" && len(rec.Teams) > 1 {
			for _, candidate := range rec.Teams {
				if gain := improvement(draft.teamWeight(candidate)); gain >= minGain && gain > bestGain && !draft.planner.onCooldown(candidate, now) {
					team, bestGain = candidate, gain
				}
			}
		}
	}
	return shard, team
}

// onCooldown reports whether a team must stay with its holder: it has moved recently, or its
// shard leader has recently failed to make an offer in time.
func (planner *Planner) onCooldown(team string, now time.Time) bool {
	within := func(at time.Time, period time.Duration) bool { return !at.IsZero() && now.Sub(at) < period }
	return within(planner.movedAt[team], teamCooldownIntervals*planner.interval) || within(planner.refusedAt[team], refusedBackoff)
}

// continueMove advances the requested move, and reports whether the draft includes it. It gives
// the move up if the team's shard has another holder meanwhile, if the receiver is not a capable
// controller, or if no offer arrives in time.
func (draft *draft) continueMove(now time.Time) bool {
	planner := draft.planner
	move := *planner.request
	fromShard := ""
	for name, rec := range draft.shards {
		if slices.Contains(rec.Teams, move.Team) {
			fromShard = name
		}
	}
	i := slices.IndexFunc(draft.capable, func(controller Controller) bool { return controller.Host == move.To })
	switch offer, ok := draft.input.Offers[move.Team]; {
	case fromShard == "" || i < 0 || draft.shards[fromShard].Host != move.From:
		planner.request = nil
	case ok:
		planner.request = nil
		planner.changedAt, planner.movedAt[move.Team] = now, now
		rec := draft.shards[fromShard]
		rec.Teams = slices.DeleteFunc(rec.Teams, func(team string) bool { return team == move.Team })
		draft.changedShards[fromShard] = true
		draft.assignTeam(move.Team, draft.capable[i])
		toShard := ""
		for name, rec := range draft.shards {
			if slices.Contains(rec.Teams, move.Team) {
				toShard = name
			}
		}
		var ids []string
		for _, id := range offer.Machines {
			if owner, ok := draft.input.Map.Owner(id); ok && owner.Host == move.From {
				ids = append(ids, id)
			}
		}
		draft.addSegments(toShard, ids)
		return true
	case now.Sub(planner.requestedAt) > offerTimeout:
		planner.refusedAt[move.Team] = now
		planner.request = nil
	}
	return false
}
