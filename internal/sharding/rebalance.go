package sharding

import (
	"slices"
	"time"
)

// rebalance moves a shard or a team from the most to the least loaded controller, if that gains
// enough and nothing has moved for the planning interval. A shard moves at once, with its
// machines. A team moves when its shard leader has offered the machines that go along, so that
// the receiver does not start without machines. The team's tasks keep running meanwhile.
func (d *draft) rebalance(now time.Time) {
	p := d.planner
	if p.request != nil && d.continueMove(now) {
		return
	}
	if p.request != nil || now.Sub(p.changedAt) < p.interval || len(d.capable) < 2 {
		return
	}
	mostLoaded, leastLoaded := d.capable[0], d.leastLoaded()
	for _, n := range d.capable {
		if d.loads[n.Host] > d.loads[mostLoaded.Host] {
			mostLoaded = n
		}
	}
	shard, team := d.bestMove(mostLoaded, leastLoaded, now)
	switch {
	case shard == "" && team == "":
		p.imbalancedSince = time.Time{}
		return
	case p.imbalancedSince.IsZero():
		p.imbalancedSince = now
	}
	if float64(now.Sub(p.imbalancedSince)) < imbalanceIntervals*float64(p.interval) {
		return
	}
	p.imbalancedSince = time.Time{}
	if shard == "" {
		p.request, p.requestedAt = &MoveRequest{team, mostLoaded.Host, leastLoaded.Host}, now
		return
	}
	r := d.shards[shard]
	r.Host, r.Incarnation, r.Epoch = leastLoaded.Host, leastLoaded.Incarnation, 0
	d.changedShards[shard] = true
	p.changedAt = now
}

// bestMove returns the shard, or else the team, whose move from mostLoaded to leastLoaded
// balances the load best. Both are empty if no move gains enough.
func (d *draft) bestMove(mostLoaded, leastLoaded Controller, now time.Time) (shard, team string) {
	improvement := func(weight float64) float64 {
		from, to := d.loads[mostLoaded.Host], d.loads[leastLoaded.Host]
		return from - max(from-weight, to+weight)
	}
	bestGain, minGain := 0.0, minLoadGain*d.loads[mostLoaded.Host]
	var candidates []string
	for _, n := range d.shardNames() {
		if r := d.shards[n]; r.Host == mostLoaded.Host && len(r.Teams) > 0 {
			candidates = append(candidates, n)
		}
	}
	// A shard is preferred to a team, because its machines move with it.
	for _, n := range candidates {
		if gain := improvement(d.shardWeight(d.shards[n])); len(candidates) > 1 && gain >= minGain && gain > bestGain {
			shard, bestGain = n, gain
		}
	}
	for _, n := range candidates {
		if r := d.shards[n]; shard == "" && len(r.Teams) > 1 {
			for _, t := range r.Teams {
				if gain := improvement(d.teamWeight(t)); gain >= minGain && gain > bestGain && !d.planner.onCooldown(t, now) {
					team, bestGain = t, gain
				}
			}
		}
	}
	return shard, team
}

// onCooldown reports whether a team must stay with its holder: it has moved recently, or its
// shard leader has recently failed to make an offer in time.
func (p *Planner) onCooldown(team string, now time.Time) bool {
	within := func(at time.Time, period time.Duration) bool { return !at.IsZero() && now.Sub(at) < period }
	return within(p.movedAt[team], teamCooldownIntervals*p.interval) || within(p.refusedAt[team], refusedBackoff)
}

// continueMove advances the requested move, and reports whether the draft includes it. It gives
// the move up if the team's shard has another holder meanwhile, if the receiver is not a capable
// controller, or if no offer arrives in time.
func (d *draft) continueMove(now time.Time) bool {
	p := d.planner
	move := *p.request
	from := ""
	for n, r := range d.shards {
		if slices.Contains(r.Teams, move.Team) {
			from = n
		}
	}
	i := slices.IndexFunc(d.capable, func(controller Controller) bool { return controller.Host == move.To })
	switch offer, ok := d.input.Offers[move.Team]; {
	case from == "" || i < 0 || d.shards[from].Host != move.From:
		p.request = nil
	case ok:
		p.request = nil
		p.changedAt, p.movedAt[move.Team] = now, now
		r := d.shards[from]
		r.Teams = slices.DeleteFunc(r.Teams, func(t string) bool { return t == move.Team })
		d.changedShards[from] = true
		d.assignTeam(move.Team, d.capable[i])
		to := ""
		for n, r := range d.shards {
			if slices.Contains(r.Teams, move.Team) {
				to = n
			}
		}
		var ids []string
		for _, id := range offer.Machines {
			if o, ok := d.input.Map.Owner(id); ok && o.Host == move.From {
				ids = append(ids, id)
			}
		}
		d.addSegments(to, ids)
		return true
	case now.Sub(p.requestedAt) > offerTimeout:
		p.refusedAt[move.Team] = now
		p.request = nil
	}
	return false
}
