package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
)

// evacuation.go lets shard leaders empty hosts for each other. One with work that fits nowhere, and for which the
// cloud has no machines, publishes the kinds it needs; others publish what emptying a host would cost them; the
// leader asks the cheapest of these, which migrates what is there away and has the host as surplus. The host is
// handed over like any other, by the shard map.

const (
	// refusedWindow is how long a kind counts as refused by the cloud, which is asked again
	// more often.
	refusedWindow = 3 * refusedBackoff
	// maxEvacuationCost is what emptying a host for another shard leader may cost, in downtime.
	maxEvacuationCost = time.Minute
	// evacuationCostInterval is how often a shard leader computes what emptying would cost it.
	evacuationCostInterval = 5 * time.Second
	// hostNeedDelay is how long small tasks are pending before a host is emptied for them: others
	// may have the capacity on several machines, but only whole machines change hands.
	hostNeedDelay = 20 * time.Second
	// maxHostNeeds bounds the kinds in one update.
	maxHostNeeds = 64
	// evacuationPrefix begins the name, in migration records, of what a host is emptied for. No
	// job is named so.
	evacuationPrefix = "~"
	// maxCostedKinds bounds the kinds for which costs are computed at one time.
	maxCostedKinds = 2
)

// evacuation is what a shard leader knows of others' needs for hosts, and publishes of its own.
type evacuation struct {
	// refusedAt is when the cloud last refused a kind.
	refusedAt map[machineKind]time.Time
	// needs are this shard leader's.
	needs []message.HostNeed
	// othersNeeds are those of others, and assigned those that this one is asked to empty a host
	// for, both received from the leader at receivedAt.
	othersNeeds, assigned []message.HostNeed
	receivedAt            time.Time
	// costs are what emptying hosts for others would cost, as of costedAt.
	costs    []message.HostCost
	costedAt time.Time
}

// isEvacuationHold reports whether a place is held to empty its host for another shard leader.
func isEvacuationHold(job string) bool { return strings.HasPrefix(job, evacuationPrefix) }

// neededJobSpec is the work that needs the host, as far as it is known here.
func neededJobSpec(h *message.HostNeed) model.JobSpec {
	return model.JobSpec{ID: evacuationPrefix + kindName(neededKind(h)), Workload: h.Workload, Need: h.Need, Urgency: h.Urgency}
}

func neededKind(h *message.HostNeed) machineKind { return machineKind{h.MachineType, h.Zone, h.Spot} }

// receiveHostNeeds takes in what the leader publishes of others' needs.
func (g *migrationManager) receiveHostNeeds(othersNeeds, assigned []message.HostNeed) {
	if mv := g.controller.migrations(); mv != nil {
		mv.evacuation.othersNeeds, mv.evacuation.assigned, mv.evacuation.receivedAt = othersNeeds, assigned, g.now
	}
}

// evacuationRequest returns the need for which a host is to be emptied here, by the name that the host is held
// under; nil if the leader has not asked for it lately.
func (mv *migrations) evacuationRequest(now time.Time, name string) *message.HostNeed {
	if now.Sub(mv.evacuation.receivedAt) > updateTTL {
		return nil
	}
	for i := range mv.evacuation.assigned {
		if h := &mv.evacuation.assigned[i]; evacuationPrefix+kindName(neededKind(h)) == name {
			return h
		}
	}
	return nil
}

// updateHostNeeds computes of which kinds a whole host would help the first job that can't be placed. There are
// none unless the cloud has lately refused machines.
func (g *migrationManager) updateHostNeeds(mv *migrations) {
	b := &mv.evacuation
	v := g.controller.shardLeader.fleet.view
	b.needs = nil
	if v == nil || !g.controller.membership.hasOtherShardLeaders() {
		return
	}
	for k, until := range v.blockedUntil {
		if until.After(g.now) {
			b.refusedAt[k] = g.now
		}
	}
	refused := false
	for _, at := range b.refusedAt {
		refused = refused || g.now.Sub(at) < refusedWindow
	}
	if !refused {
		return
	}
	waiting := g.firstInNeedOfHost(mv)
	if waiting == nil {
		return
	}
	for _, name := range sortedKeys(g.controller.knowledge.machineTypes) {
		f := g.controller.knowledge.machineTypes[name]
		if !waiting.Need.Fits(f.Capacity) || !isLarge(waiting.Need, f.Capacity) && g.now.Sub(later(waiting.submittedAt, g.controller.shardLeader.readyAt)) < hostNeedDelay {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				k := machineKind{name, z, spot}
				if waiting.allowsMachine(name, z, spot) && waiting.zoneAllowed(z) && g.now.Sub(b.refusedAt[k]) < refusedWindow && len(b.needs) < maxHostNeeds {
					b.needs = append(b.needs, message.HostNeed{MachineType: name, Zone: z, Spot: spot, Need: waiting.Need, Workload: waiting.Workload, Urgency: waiting.Urgency})
				}
			}
		}
	}
}

// firstInNeedOfHost returns the first job of the queue that migrations here do not help and that has no capacity in
// sight, or nil.
func (g *migrationManager) firstInNeedOfHost(mv *migrations) *job {
	for _, j := range g.controller.shardLeader.scheduler.jobsInQueueOrder() {
		// Migrations on its own machines are tried first.
		if x := mv.unschedulable[j.ID]; x != nil && x.lastTried.IsZero() || j.Gang || j.borrowedLoan != "" || j.pendingTasks() <= mv.tracker.HeldFor(j.ID) || !g.controller.shardLeader.scheduler.withinQuotaLimit(j) {
			continue
		}
		if g.now.Sub(later(j.readySince(), g.controller.shardLeader.readyAt)) < 2*migrationDelay || g.hasCapacityFor(j) {
			continue
		}
		return j
	}
	return nil
}

// hasCapacityFor reports whether a task of j fits somewhere, or a machine for it is expected.
func (g *migrationManager) hasCapacityFor(j *job) bool {
	for _, m := range g.controller.shardLeader.machinesByID {
		if g.controller.shardLeader.scheduler.usable(m) && j.allowsMachine(m.machineType, m.zone, m.spot) && j.zoneAllowed(m.zone) && j.Need.Fits(m.free()) {
			return true
		}
	}
	for r := range g.controller.shardLeader.fleet.expectedFor(j) {
		if j.Need.Fits(g.controller.knowledge.machineTypes[r.machineType].Capacity) {
			return true
		}
	}
	return false
}

// planEvacuation begins to empty a host that the leader has asked for, or else computes what emptying hosts would
// cost.
func (g *migrationManager) planEvacuation(mv *migrations) {
	b := &mv.evacuation
	if g.now.Sub(b.receivedAt) > updateTTL {
		b.costs = nil
		return
	}
	for i := range b.assigned {
		h := &b.assigned[i]
		team := g.donorTeam(mv)
		if team == "" || mv.tracker.HeldFor(evacuationPrefix+kindName(neededKind(h))) > 0 || g.nextMigrationWrite(mv).After(g.now) || g.hasEmptyHost(neededKind(h)) {
			continue
		}
		p := g.evacuationProblem(mv, h)
		if plan, ok := migration.Find(p); ok {
			g.begin(mv, team, p, plan)
		}
		return
	}
	if len(b.othersNeeds) == 0 || g.now.Sub(b.costedAt) < evacuationCostInterval {
		return
	}
	b.costedAt, b.costs = g.now, nil
	tries := 0
	for i := range b.othersNeeds {
		h := &b.othersNeeds[i]
		if mv.tracker.HeldFor(evacuationPrefix+kindName(neededKind(h))) > 0 || g.hasEmptyHost(neededKind(h)) {
			b.costs = append(b.costs, message.HostCost{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Downtime: 0})
			continue
		}
		if tries++; tries > maxCostedKinds {
			break
		}
		if plan, ok := migration.Find(g.evacuationProblem(mv, h)); ok {
			b.costs = append(b.costs, message.HostCost{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Downtime: plan.Cost})
		}
	}
}

// donorTeam is the team in whose record migrations for others are written: the first with no write under way, or
// "".
func (g *migrationManager) donorTeam(mv *migrations) string {
	for _, t := range sortedKeys(g.controller.shardLeader.teams) {
		if rec := mv.records[t]; rec != nil && !rec.writing && len(mv.tracker.UnsavedPlans(t)) == 0 && g.controller.shardLeader.teams[t].ready {
			return t
		}
	}
	return ""
}

// hasEmptyHost reports whether there is an empty host of a kind. It will be surplus unless it is needed here.
func (g *migrationManager) hasEmptyHost(k machineKind) bool {
	return slices.ContainsFunc(g.controller.shardLeader.machinesByID, func(m *machine) bool {
		return (machineKind{m.machineType, m.zone, m.spot}) == k && m.isEmpty() && g.controller.shardLeader.scheduler.usable(m)
	})
}

// evacuationProblem is the planner's problem for a whole host of a kind.
func (g *migrationManager) evacuationProblem(mv *migrations, h *message.HostNeed) *migration.Problem {
	k := neededKind(h)
	other := &job{JobSpec: neededJobSpec(h)}
	p, hosts := g.migrationCandidates(mv, other)
	p.MaxCost = maxEvacuationCost
	p.WaitingTask = migration.WaitingTask{Job: other.ID, Need: g.controller.knowledge.machineTypes[h.MachineType].Capacity, Allowed: func(i int) bool {
		m := hosts[i]
		return (machineKind{m.machineType, m.zone, m.spot}) == k && !m.isEmpty()
	}}
	return p
}

// kindNames returns the names of the kinds needed.
func kindNames(hs []message.HostNeed) []string {
	var out []string
	for i := range hs {
		out = append(out, kindName(neededKind(&hs[i])))
	}
	return out
}

// assignEvacuations has the leader decide which shard leader empties a host for which. It returns, by host, the needs
// of others to publish and the needs assigned.
func (l *leader) assignEvacuations() (othersNeeds, assigned map[string][]message.HostNeed) {
	if !l.settings.Capabilities.Models {
		return nil, nil
	}
	needs, costs := map[string][]message.HostNeed{}, map[string][]message.HostCost{}
	if o := l.controller.shardLeader; o != nil && o.ready && o.migration.state != nil {
		needs[l.settings.Host], costs[l.settings.Host] = o.migration.state.evacuation.needs, o.migration.state.evacuation.costs
	}
	for _, host := range sortedKeys(l.updates) {
		if w, ok := l.freshUpdate(host); ok {
			needs[host], costs[host] = w.update.HostNeeds, w.update.EvacuationCosts
		}
	}
	var needed []migration.MachineNeed
	var offered []migration.EvacuationCost
	for _, host := range sortedKeys(needs) {
		if len(needs[host]) > 0 {
			needed = append(needed, migration.MachineNeed{Owner: host, Kinds: kindNames(needs[host])})
		}
		for _, c := range costs[host] {
			offered = append(offered, migration.EvacuationCost{Owner: host, Kind: kindName(machineKind{c.MachineType, c.Zone, c.Spot}), Downtime: c.Downtime})
		}
	}
	othersNeeds, assigned = map[string][]message.HostNeed{}, map[string][]message.HostNeed{}
	for _, host := range slices.Sorted(maps.Keys(needs)) {
		if len(needs[host]) > 0 {
			// One that needs a host itself has none to give.
			continue
		}
		for _, d := range needed {
			for _, h := range needs[d.Owner] {
				if len(othersNeeds[host]) < maxHostNeeds && !slices.ContainsFunc(othersNeeds[host], func(x message.HostNeed) bool { return neededKind(&x) == neededKind(&h) }) {
					othersNeeds[host] = append(othersNeeds[host], h)
				}
			}
		}
	}
	for _, a := range l.evacuations.Update(l.now, needed, offered) {
		for _, h := range needs[a.Recipient] {
			if kindName(neededKind(&h)) == a.Kind {
				assigned[a.Owner] = append(assigned[a.Owner], h)
				break
			}
		}
	}
	if o := l.controller.shardLeader; o != nil && o.ready {
		l.controller.shardLeader.migration.receiveHostNeeds(othersNeeds[l.settings.Host], assigned[l.settings.Host])
	}
	return othersNeeds, assigned
}
