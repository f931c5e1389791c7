package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// scaling.go says which machines are worth renting, which are spare and which dear
// ones to let go, by playing the fleet forward.

// minIdleTime is how long a machine that nothing needs stays at least: ends and
// starts follow one another, and plans change from second to second.
const minIdleTime = 10 * time.Second

// surplusMachines picks the idle machines that are not needed: for what waits or for
// what the last while makes likely, played forward on the cheapest machines
// first. A machine that is cheap is kept the longer.
func (f *fleetPlanner) surplusMachines(r *freeCapacity, charge chargeFunc) map[string]bool {
	o := f.controller.shardLeader
	surplus := map[string]bool{}
	cheapest := f.controller.knowledge.cheapestCPUCost()
	idle := false
	for _, m := range o.machinesByID {
		if m.isEmpty() && (m.reservedForMigration == (model.Resources{}) || m.evacuatingForOther) && m.heard && f.controller.shardLeader.scheduler.usable(m) && (f.controller.membership.hasOtherShardLeaders() && f.now.Sub(m.idleSince) > surplusAfter || f.isIdleExpired(m, cheapest)) {
			surplus[m.id] = true
			idle = true
		}
	}
	if !idle {
		return surplus
	}
	// A machine being retired is one without which nothing is late; it goes as
	// soon as it is idle, and none is kept for its sake.
	decommissioning := map[*machine]bool{}
	for _, v := range r.machines {
		if v.machine.decommissioning {
			decommissioning[v.machine] = true
		}
	}
	simulated := copyFreeCapacity(r, decommissioning)
	slices.SortStableFunc(simulated, func(a, b *simulatedMachine) int {
		return cmp.Or(cmp.Compare(boolToFloat(a.idle), boolToFloat(b.idle)), cmp.Compare(f.controller.knowledge.costPerCPU(a.machine), f.controller.knowledge.costPerCPU(b.machine)))
	})
	sim := f.newSimulation(simulated, r.imageIDs, charge)
	for _, d := range f.demands(f.controller.knowledge.planningHorizon(), true, true) {
		sim.simulate(d, func(_ int, v *simulatedMachine, _, _ time.Time) {
			if v != nil {
				delete(surplus, v.machine.id)
			}
		})
	}
	return surplus
}

// surplusAfter is how long a machine must have had no task before another owner may have
// it: ends and starts follow one another.
const surplusAfter = 2 * time.Second

// hasOtherShardLeaders says that there are other owners.
func (m *membership) hasOtherShardLeaders() bool {
	for _, s := range m.shardMap.Shards() {
		if s.Host != m.settings.Host && len(s.Teams) > 0 {
			return true
		}
	}
	return false
}

// surplusForOthers are the machines of those that nothing here needs that others may have, the
// dearest first.
func (f *fleetPlanner) surplusForOthers(surplus map[string]bool) []string {
	if !f.controller.membership.hasOtherShardLeaders() {
		return nil
	}
	var candidates []*machine
	for _, m := range f.controller.shardLeader.machinesByID {
		if surplus[m.id] && (m.reservedForMigration == (model.Resources{}) || m.evacuatingForOther) && !m.releasing && !m.reclaimNoticed && !m.faulty && f.now.Sub(m.idleSince) > surplusAfter {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int {
		return cmp.Compare(f.controller.knowledge.costPerCPU(b), f.controller.knowledge.costPerCPU(a))
	})
	var out []string
	for _, m := range candidates[:min(len(candidates), maxSurplus)] {
		out = append(out, m.id)
	}
	return out
}

// isIdleExpired says that a machine has had no task for as long as one of its price is kept.
func (f *fleetPlanner) isIdleExpired(m *machine, cheapest float64) bool {
	return m.heard && m.isEmpty() && m.reservedForMigration == (model.Resources{}) && f.now.Sub(m.idleSince) > f.idleRetention(m, cheapest)
}

// expensiveFactor is how many times the cheapest price a machine must cost to be retired
// while others can do its work.
const expensiveFactor = 1.5

// decommissionExpensive takes dear machines out of use, one after another, as long as the
// others would start everything in time without them; what runs there ends in
// peace. Without this, work spreads over all machines there are, none goes idle,
// and the ordinary ones of one rush are paid for ever after.
func (f *fleetPlanner) decommissionExpensive(r *freeCapacity, charge chargeFunc) {
	var expensive []*machine
	cheapest := f.controller.knowledge.cheapestCPUCost()
	for _, m := range f.controller.shardLeader.machinesByID {
		// One that is held for a job is out of the plan, so that nothing would miss it.
		if f.controller.shardLeader.scheduler.usable(m) && m.reservedFor == "" && f.controller.knowledge.costPerCPU(m) > expensiveFactor*cheapest {
			expensive = append(expensive, m)
		}
	}
	// After a takeover the forecast comes from the former owner's news, or is
	// not there yet.
	o, chosen := f.controller.shardLeader, map[*machine]bool{}
	// Decided as one: while the others are played forward nothing changes.
	defer func() {
		for _, m := range o.machinesByID {
			m.decommissioning = chosen[m]
		}
	}()
	if len(expensive) == 0 || f.now.Sub(o.since) < recentWindow && len(f.controller.knowledge.inheritedLoads) == 0 {
		return
	}
	// The emptiest go first.
	slices.SortStableFunc(expensive, func(a, b *machine) int {
		return cmp.Compare(f.controller.shardLeader.fleet.utilization(a), f.controller.shardLeader.fleet.utilization(b))
	})
	demands := f.demands(f.controller.knowledge.planningHorizon(), true, false)
	base := f.simulatedLateness(r, demands, nil, charge)
	before, candidateCount := base, len(expensive)
	for _, d := range demands {
		base += time.Duration(d.count) * tolerableDelay
	}
	failures := 0
	// Of many, several are tried at once, and fewer when that is too much: each
	// try plays all demands forward.
	batchSize := max(1, len(expensive)/decommissionBatches)
	for len(expensive) > 0 {
		batch := expensive[:min(batchSize, len(expensive))]
		for _, m := range batch {
			chosen[m] = true
		}
		if f.simulatedLateness(r, demands, chosen, charge) <= base {
			expensive = expensive[len(batch):]
			continue
		}
		for _, m := range batch {
			delete(chosen, m)
		}
		if failures++; failures >= maxDecommissionTries {
			break
		}
		if batchSize == 1 {
			expensive = expensive[1:]
		}
		batchSize = max(1, batchSize/2)
	}
	f.debug("retire", "dear", candidateCount, "retiring", len(chosen), "late", before, "tries in vain", failures)
}

// tolerableDelay is how much later a task may start on the average for the sake of a
// dear machine that goes. Of a thousand tasks some few are always a little later.
const tolerableDelay = 10 * time.Millisecond

// maxDecommissionTries bounds the tries in vain in one look.
const (
	maxDecommissionTries = 4
	// decommissionBatches is in how many parts a long list of machines is tried, and
	// slowDecommissionSize after how many machines in the pool the looks get rarer.
	decommissionBatches  = 8
	slowDecommissionSize = 100
)

// idleRetention is how long a machine stays idle before it may go back: the longer
// the cheaper it is.
func (f *fleetPlanner) idleRetention(m *machine, cheapest float64) time.Duration {
	return max(minIdleTime, time.Duration(float64(f.settings.Policy.IdleTimeout)*cheapest/f.controller.knowledge.costPerCPU(m)))
}

// planScaleOut asks the cloud for machines. It plays forward, in the order of placement,
// when each waiting or expected task would start on the machines there are, by
// the expected ends of what runs. Where a machine rented now would let it start
// sooner, a spot one is rented; an ordinary one, several times as dear, only if
// the task would otherwise start later than it must.
func (f *fleetPlanner) planScaleOut(r *freeCapacity, charge chargeFunc) map[machineKind]int {
	o := f.controller.shardLeader
	sim := f.newSimulation(r.machines, r.imageIDs, charge)
	for _, id := range sortedKeys(o.fleet.view.rentals) {
		r := o.fleet.view.rentals[id]
		m := o.machines[id]
		if r.releasing || r.status == "returned" || r.status == "failed" || m != nil && (m.heard || f.expectedToReport(m)) {
			continue
		}
		if r.status == statusComing || f.now.Sub(r.handedOverAt) < handoverCooldown {
			sim.addProvisioning(r.machineKind, f.now.Add(handoverTime))
			continue
		}
		if f.controller.knowledge.isExpected(r) {
			sim.addProvisioning(r.machineKind, f.now.Add(f.controller.knowledge.timeToReady(r.machineKind, f.now.Sub(r.rentedAt))))
		}
	}
	for _, k := range sortedKinds(o.fleet.view.pendingRentals) {
		for range o.fleet.view.pendingRentals[k] {
			sim.addProvisioning(k, sim.now.Add(f.controller.knowledge.timeToReady(k, 0)))
		}
	}
	requests := map[machineKind]int{}
	demands := f.demands(f.controller.knowledge.planningHorizon(), false, false)
	unmet := 0.0
	for _, d := range demands {
		unmet += float64(d.count) * d.job.Need.CPU
	}
	for _, d := range demands {
		a := sim.newRequest(d.job)
		rented, first, reliefs := 0, time.Duration(0), 0
		for from, remaining := range d.arrivalBatches(sim.now) {
			for remaining > 0 && sim.nextVisit() {
				count := max(1, int(unmet/max(d.job.Need.CPU, 0.1)))
				v, at := sim.bestMachine(a, from, false)
				if k, ok := sim.kindWorthRenting(a, d, from, v != nil, at, count); ok {
					if rented++; rented == 1 {
						first = at.Sub(from)
					}
					requests[k]++
					v = sim.addMachine(k)
				} else if x, k, ok := sim.scarcityRelief(a, v, from, count); x != nil {
					v = x
				} else if ok {
					reliefs++
					requests[k]++
					v = sim.addMachine(k)
				}
				k := remaining
				if v != nil {
					k, _, _ = sim.placeTasks(a, v, from, remaining)
				}
				remaining -= k
				unmet -= float64(k) * d.job.Need.CPU
			}
		}
		if rented+reliefs > 0 {
			f.debug("wants", "workload", d.job.Workload, "tasks", d.count, "expected", d.arrivalSpread > 0, "machines", rented, "instead of waiting", first, "to leave room", reliefs)
		}
	}
	return requests
}

// timeToReady is how long a machine of a kind takes to be of use: less while another owner
// has some to spare.
func (p *simulation) timeToReady(o offer) time.Duration {
	if p.surplus[o.machineKind] > 0 {
		return handoverTime
	}
	return o.timeToReady
}

// addMachine adds a machine that is to be rented, or handed over by another owner.
func (p *simulation) addMachine(k machineKind) *simulatedMachine {
	if p.surplus[k] > 0 {
		p.surplus[k]--
		return p.addProvisioning(k, p.now.Add(handoverTime))
	}
	return p.addProvisioning(k, p.now.Add(p.controller.knowledge.timeToReady(k, 0)))
}

// scarcityRelief is what keeps a task off room on which work that waits, and fits little
// else, depends: another machine that is there soon enough, or a cheap kind to
// rent. Looking for one that is there first matters: without it each task that
// is expected would want a new machine, beside hundreds that are idle.
func (p *simulation) scarcityRelief(a *placementRequest, chosen *simulatedMachine, from time.Time, count int) (*simulatedMachine, machineKind, bool) {
	if chosen == nil || !p.isNeededElsewhere(a.job, chosen.machineKind.machineType) {
		return nil, machineKind{}, false
	}
	k, ok := p.bestKind(a, count, true)
	ok = ok && !p.isNeededElsewhere(a.job, k.machineType)
	if x, at := p.bestMachine(a, from, true); x != nil {
		if !ok || !at.After(later(p.now.Add(p.timeToReady(k)), from).Add(k.fetchTime+minSafetyMargin)) {
			return x, machineKind{}, false
		}
	}
	return nil, k.machineKind, ok
}

// neededElsewhere says that another workload waits which fits the flavour and
// fewer flavours than this one.
func (f *fleetPlanner) neededElsewhere(s *model.JobSpec, flavour string) bool {
	mine := len(f.controller.knowledge.fittingMachineTypes(s))
	for name := range f.controller.shardLeader.scheduler.startDeadlines {
		w := f.controller.shardLeader.workloads[name]
		if name == s.Workload || w == nil {
			continue
		}
		if theirs := f.controller.knowledge.fittingMachineTypes(w.spec); len(theirs) < mine && slices.Contains(theirs, flavour) {
			return true
		}
	}
	return false
}

// kindWorthRenting says what to rent for tasks of a demand that come at the time from
// and would start at the time at (if they have a place at all).
func (p *simulation) kindWorthRenting(a *placementRequest, d demand, from time.Time, placed bool, at time.Time, count int) (machineKind, bool) {
	for _, spot := range [...]bool{true, false} {
		k, ok := p.bestKind(a, count, spot)
		if !ok {
			continue
		}
		if !placed {
			return k.machineKind, true
		}
		// It has to fetch the image as well, and not before the task is there:
		// without that, each task expected later than a boot takes would want a
		// machine of its own, beside idle ones that have to fetch too.
		ready := later(p.now.Add(p.timeToReady(k)), from).Add(k.fetchTime)
		if !at.After(ready.Add(minSafetyMargin)) {
			continue
		}
		late := at.Add(p.controller.knowledge.safetyMargin(d.job)).After(d.startDeadline(p.now, from))
		if !late && !at.After(ready.Add(p.minPayback(k, a))) {
			continue
		}
		// One that another owner has to spare is there already: as long as work waits
		// that it would do sooner, it isn't to stand idle beside it.
		if spot || late || p.surplus[k.machineKind] > 0 {
			return k.machineKind, true
		}
	}
	return machineKind{}, false
}

// minPayback is for how long a new machine should find work for the time that it boots,
// and is paid for, to be worth it: tasks that are short and not pressing are then done
// one after another, by some machines, and not each on one of its own. Tasks that run
// for longer than the boot pay for it by themselves.
func (p *simulation) minPayback(k offer, a *placementRequest) time.Duration {
	if p.surplus[k.machineKind] > 0 || p.controller.waitObjective(a.job.Workload) > 0 {
		return 0
	}
	return k.timeToReady - a.run
}

// offers are the kinds of machines on which tasks of a job fit, in order.
func (p *simulation) offers(j *job, off bool) []offer {
	var out []offer
	for _, name := range sortedKeys(p.controller.knowledge.machineTypes) {
		f := p.controller.knowledge.machineTypes[name]
		fit := f.Capacity.FitCount(j.Need)
		if fit == 0 || off && p.controller.shardLeader.scheduler.currentPackingProfile().kind(name) != nil {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				if j.allowsMachine(name, z, spot) {
					k := machineKind{name, z, spot}
					out = append(out, offer{k, fit, p.controller.knowledge.costPerHour(k), p.controller.knowledge.timeToReady(k, 0), newMachineFetchTime(&f, j)})
				}
			}
		}
	}
	return out
}

// bestKind is the cheapest kind, spot or not, for some tasks of a job, among
// those the cloud has not just refused.
func (p *simulation) bestKind(a *placementRequest, count int, spot bool) (offer, bool) {
	var best offer
	var bestCost float64
	found := false
	for _, o := range a.offers {
		if o.spot != spot || a.zoneLimits.capacity(o.zone) == 0 || p.refusedKinds[o.machineKind] && p.surplus[o.machineKind] == 0 {
			continue
		}
		cost := o.costPerHour / float64(min(o.tasksPerMachine, max(count, 1)))
		if !found || cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	}
	return best, found
}
