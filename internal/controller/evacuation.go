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

// evacuation.go lets owners help each other to whole hosts. One that has work which fits
// nowhere, and for which the cloud has no machines, says so; others say what emptying a
// host would cost them; the leader asks the one for whom it is cheapest, who moves what
// is there away and has the host to spare. It is handed over like any other, by the
// record of ownership: news only says where to look.

// neededJobSpec is the work that needs the host, as far as it is known.
func neededJobSpec(h *message.HostNeed) model.JobSpec {
	return model.JobSpec{ID: evacuationPrefix + kindName(neededKind(h)), Workload: h.Workload, Need: h.Need, Urgency: h.Urgency}
}

const (
	// refusedWindow is how long a kind counts as refused after the cloud last did: it
	// is asked again now and then.
	refusedWindow = 3 * refusedBackoff
	// maxEvacuationCost is what emptying a host for another owner may cost, in time down.
	maxEvacuationCost = time.Minute
	// evacuationCostInterval is how often an owner reckons what emptying would cost it.
	evacuationCostInterval = 5 * time.Second
	// hostNeedDelay is how long small work waits in vain before a host is emptied for it:
	// others may have pieces, but machines go whole.
	hostNeedDelay = 20 * time.Second
	// maxHostNeeds bounds the kinds in one news.
	maxHostNeeds = 64
	// evacuationPrefix begins the name, in records of moves, of what a host is emptied for:
	// no job is named so.
	evacuationPrefix = "~"
)

// evacuation is what an owner knows of others' needs, and they of its own.
type evacuation struct {
	// refusedAt is when the cloud last refused a kind.
	refusedAt map[machineKind]time.Time
	// needs are this owner's.
	needs []message.HostNeed
	// othersNeeds are others', and empty what this one is asked to empty, as of at.
	othersNeeds, assigned []message.HostNeed
	receivedAt            time.Time
	costs                 []message.HostCost
	costedAt              time.Time
}

func neededKind(h *message.HostNeed) machineKind { return machineKind{h.MachineType, h.Zone, h.Spot} }

// receiveHostNeeds takes in what the leader says of others' needs.
func (g *migrationManager) receiveHostNeeds(othersNeeds, assigned []message.HostNeed) {
	if mv := migrationsOf(g.controller); mv != nil {
		mv.evacuation.othersNeeds, mv.evacuation.assigned, mv.evacuation.receivedAt = othersNeeds, assigned, g.now
	}
}

// evacuationRequest is what the owner is asked to empty a host of a kind for, nil if it is not.
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

// updateHostNeeds says on which kinds a whole host would help work that waits in vain.
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
	var waiting *job
	lately := false
	for _, at := range b.refusedAt {
		lately = lately || g.now.Sub(at) < refusedWindow
	}
	if !lately {
		return
	}
	for _, j := range g.controller.shardLeader.scheduler.jobsInQueueOrder() {
		// Its own moves go first.
		if x := mv.unschedulable[j.ID]; x != nil && x.lastTried.IsZero() || j.Gang || j.borrowedLoan != "" || j.pendingTasks() <= mv.tracker.HeldFor(j.ID) || !g.controller.shardLeader.scheduler.withinQuotaLimit(j) {
			continue
		}
		if g.now.Sub(later(j.readySince(), g.controller.shardLeader.readyAt)) < 2*migrationDelay || g.hasCapacityFor(j) {
			continue
		}
		waiting = j
		break
	}
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

// hasCapacityFor says that there is room for a task of j, or a machine for it is coming.
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

// planEvacuation reckons what emptying a host would cost, and begins to empty the one that
// this owner is asked for. It says whether it has asked the planner.
func (g *migrationManager) planEvacuation(mv *migrations) bool {
	b := &mv.evacuation
	if g.now.Sub(b.receivedAt) > updateTTL {
		b.costs = nil
		return false
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
		return true
	}
	if len(b.othersNeeds) == 0 || g.now.Sub(b.costedAt) < evacuationCostInterval {
		return false
	}
	b.costedAt, b.costs = g.now, nil
	// One kind after another would be asked for by each: the first that waits is first.
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
	return true
}

// maxCostedKinds bounds the kinds for which an owner reckons costs in one look.
const maxCostedKinds = 2

// donorTeam is the team under which an owner writes moves for others: the first that has
// no write under way.
func (g *migrationManager) donorTeam(mv *migrations) string {
	for _, t := range sortedKeys(g.controller.shardLeader.teams) {
		if rec := mv.records[t]; rec != nil && !rec.writing && len(mv.tracker.UnsavedPlans(t)) == 0 && g.controller.shardLeader.teams[t].ready {
			return t
		}
	}
	return ""
}

// hasEmptyHost says that an empty host of a kind is there already: it is to spare when it is
// not needed here.
func (g *migrationManager) hasEmptyHost(k machineKind) bool {
	return slices.ContainsFunc(g.controller.shardLeader.machinesByID, func(m *machine) bool {
		return (machineKind{m.machineType, m.zone, m.spot}) == k && m.isEmpty() && g.controller.shardLeader.scheduler.usable(m)
	})
}

// evacuationProblem is what the planner is asked for a whole host of a kind.
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

// kindNames names the kinds of needs.
func kindNames(hs []message.HostNeed) []string {
	var out []string
	for i := range hs {
		out = append(out, kindName(neededKind(&hs[i])))
	}
	return out
}

// assignEvacuations has the leader decide who empties a host for whom. It says what each owner
// is told of others' needs and is asked for.
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
			// Who needs a host itself has none to give.
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

// isEvacuationHold says that a place is held to empty its host for another owner.
func isEvacuationHold(job string) bool { return strings.HasPrefix(job, evacuationPrefix) }
