package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// scaling.go decides by simulation which machines are worth renting, which are surplus and which
// expensive ones to decommission.

const (
	// minIdleTime is how long an idle machine is kept at least: ends and starts follow one
	// another, and plans change from second to second.
	minIdleTime = 10 * time.Second
	// surplusAfter is how long a machine must be idle before another shard leader may have it.
	surplusAfter = 2 * time.Second
	// expensiveFactor is how many times the lowest cost of a CPU a machine's must be for the
	// machine to be decommissioned while others can do its work.
	expensiveFactor = 1.5
	// tolerableDelay is how much later a task may start on average so that an expensive machine
	// can go. Of a thousand tasks some few are always a little later.
	tolerableDelay = 10 * time.Millisecond
	// maxDecommissionTries bounds the failed tries in one pass.
	maxDecommissionTries = 4
	// decommissionBatches is in how many parts a long list of machines is tried.
	decommissionBatches = 8
	// slowDecommissionSize is the pool size from which on machines to decommission are chosen
	// less often: each as many machines more add a leaderPeriod.
	slowDecommissionSize = 100
)

// surplusMachines returns the idle machines that are needed neither for pending work nor for what the
// last minutes make likely, simulated on the cheapest machines first. Cheap machines are kept longer.
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
	// Without the machines under decommission nothing is late; they go as soon as they are
	// idle, and no other machine is released in their place.
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

// hasOtherShardLeaders reports whether other controllers hold shards with teams.
func (m *membership) hasOtherShardLeaders() bool {
	for _, s := range m.shardMap.Shards() {
		if s.Host != m.settings.Host && len(s.Teams) > 0 {
			return true
		}
	}
	return false
}

// surplusForOthers returns those of the surplus machines that other shard leaders may have, the most
// expensive first.
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

// isIdleExpired reports whether a machine has been idle for as long as one of its cost is kept.
func (f *fleetPlanner) isIdleExpired(m *machine, cheapest float64) bool {
	return m.heard && m.isEmpty() && m.reservedForMigration == (model.Resources{}) && f.now.Sub(m.idleSince) > f.idleRetention(m, cheapest)
}

// decommissionExpensive takes expensive machines out of use, as long as the others would start
// everything in time without them; what runs there goes on to its end. Otherwise work would spread over
// all machines, none would go idle, and the on-demand machines rented for one burst would be paid for
// ever after.
func (f *fleetPlanner) decommissionExpensive(r *freeCapacity, charge chargeFunc) {
	var expensive []*machine
	cheapest := f.controller.knowledge.cheapestCPUCost()
	for _, m := range f.controller.shardLeader.machinesByID {
		// A machine reserved for a job is not simulated, so nothing would miss it.
		if f.controller.shardLeader.scheduler.usable(m) && m.reservedFor == "" && f.controller.knowledge.costPerCPU(m) > expensiveFactor*cheapest {
			expensive = append(expensive, m)
		}
	}
	// After a takeover the forecast comes from the previous shard leader's updates, or is not
	// there yet.
	o, chosen := f.controller.shardLeader, map[*machine]bool{}
	// Applied all at once, as the pass may be suspended during the simulations.
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
		return cmp.Compare(f.utilization(a), f.utilization(b))
	})
	demands := f.demands(f.controller.knowledge.planningHorizon(), true, false)
	base := f.simulatedLateness(r, demands, nil, charge)
	before, candidateCount := base, len(expensive)
	for _, d := range demands {
		base += time.Duration(d.count) * tolerableDelay
	}
	failures := 0
	// Of many, several are tried at once, and fewer after a failure: each try simulates all
	// demands.
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
	f.debug("decommission planned", "expensive", candidateCount, "decommissioning", len(chosen), "late", before, "failed_tries", failures)
}

// idleRetention is how long an idle machine is kept before it may be released: the longer the cheaper
// it is.
func (f *fleetPlanner) idleRetention(m *machine, cheapest float64) time.Duration {
	return max(minIdleTime, time.Duration(float64(f.settings.Policy.IdleTimeout)*cheapest/f.controller.knowledge.costPerCPU(m)))
}

// scaleOutPlan is the state of planScaleOut.
type scaleOutPlan struct {
	sim      *simulation
	requests map[machineKind]int
	// unmetCPU is the CPUs that all tasks not yet placed need.
	unmetCPU float64
}

// planScaleOut decides which machines to request. It simulates, in the order of placement, when each
// pending or expected task would start on the present machines and those on their way. Where a machine
// rented now would let it start sooner, a spot machine is requested; an on-demand one, several times as
// expensive, only if the task would otherwise start later than it must.
func (f *fleetPlanner) planScaleOut(r *freeCapacity, charge chargeFunc) map[machineKind]int {
	plan := &scaleOutPlan{sim: f.newSimulation(r.machines, r.imageIDs, charge), requests: map[machineKind]int{}}
	f.addExpectedMachines(plan.sim)
	demands := f.demands(f.controller.knowledge.planningHorizon(), false, false)
	for _, d := range demands {
		plan.unmetCPU += float64(d.count) * d.job.Need.CPU
	}
	for _, d := range demands {
		plan.addDemand(d)
	}
	return plan.requests
}

// addExpectedMachines adds the machines that are handed over, booked or on their way to a simulation.
func (f *fleetPlanner) addExpectedMachines(sim *simulation) {
	for _, id := range sortedKeys(f.view.rentals) {
		r := f.view.rentals[id]
		m := f.controller.shardLeader.machines[id]
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
	for _, k := range sortedKinds(f.view.pendingRentals) {
		for range f.view.pendingRentals[k] {
			sim.addProvisioning(k, sim.now.Add(f.controller.knowledge.timeToReady(k, 0)))
		}
	}
}

// addDemand places a demand's tasks in the simulation and requests the machines that this is worth.
func (p *scaleOutPlan) addDemand(d demand) {
	sim := p.sim
	a := sim.newRequest(d.job)
	rented, first, reliefs := 0, time.Duration(0), 0
	for from, remaining := range d.arrivalBatches(sim.now) {
		for remaining > 0 && sim.nextVisit() {
			count := max(1, int(p.unmetCPU/max(d.job.Need.CPU, 0.1)))
			v, at := sim.bestMachine(a, from, false)
			if k, ok := sim.kindWorthRenting(a, d, from, v != nil, at, count); ok {
				if rented++; rented == 1 {
					first = at.Sub(from)
				}
				p.requests[k]++
				v = sim.addMachine(k)
			} else if x, k, ok := sim.scarcityRelief(a, v, from, count); x != nil {
				v = x
			} else if ok {
				reliefs++
				p.requests[k]++
				v = sim.addMachine(k)
			}
			placed := remaining
			if v != nil {
				placed, _, _ = sim.placeTasks(a, v, from, remaining)
			}
			remaining -= placed
			p.unmetCPU -= float64(placed) * d.job.Need.CPU
		}
	}
	if rented+reliefs > 0 {
		sim.controller.debug("scale-out planned", "workload", d.job.Workload, "tasks", d.count, "expected", d.arrivalSpread > 0, "machines", rented, "instead_of_waiting", first, "for_scarcity", reliefs)
	}
}

// timeToReady is how long a machine of a kind takes to be of use: less while another shard leader
// offers one.
func (p *simulation) timeToReady(o offer) time.Duration {
	if p.surplus[o.machineKind] > 0 {
		return handoverTime
	}
	return o.timeToReady
}

// addMachine adds a machine that is to be rented, or handed over by another shard leader.
func (p *simulation) addMachine(k machineKind) *simulatedMachine {
	if p.surplus[k] > 0 {
		p.surplus[k]--
		return p.addProvisioning(k, p.now.Add(handoverTime))
	}
	return p.addProvisioning(k, p.now.Add(p.controller.knowledge.timeToReady(k, 0)))
}

// scarcityRelief keeps a task off a machine that pending work depends on which fits little else. It
// returns another machine that is free soon enough, or a spot kind to rent. It matters that present
// machines come first: otherwise each expected task would request a new machine, beside hundreds of
// idle ones.
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

// neededElsewhere reports whether another workload with pending tasks fits the machine type, and fewer
// types than that of spec does.
func (f *fleetPlanner) neededElsewhere(spec *model.JobSpec, machineType string) bool {
	mine := len(f.controller.knowledge.fittingMachineTypes(spec))
	for name := range f.controller.shardLeader.scheduler.startDeadlines {
		w := f.controller.shardLeader.workloads[name]
		if name == spec.Workload || w == nil {
			continue
		}
		if theirs := f.controller.knowledge.fittingMachineTypes(w.spec); len(theirs) < mine && slices.Contains(theirs, machineType) {
			return true
		}
	}
	return false
}

// kindWorthRenting returns what to rent, if anything, for tasks of a demand that arrive at from and
// would start at the time at, if placed says that they fit anywhere.
func (p *simulation) kindWorthRenting(a *placementRequest, d demand, from time.Time, placed bool, at time.Time, count int) (machineKind, bool) {
	for _, spot := range [...]bool{true, false} {
		k, ok := p.bestKind(a, count, spot)
		if !ok {
			continue
		}
		if !placed {
			return k.machineKind, true
		}
		// It has to fetch the image as well, and not before the task has arrived: otherwise
		// each task expected later than provisioning takes would request a machine of its
		// own, beside idle ones that have to fetch too.
		ready := later(p.now.Add(p.timeToReady(k)), from).Add(k.fetchTime)
		if !at.After(ready.Add(minSafetyMargin)) {
			continue
		}
		late := at.Add(p.controller.knowledge.safetyMargin(d.job)).After(d.startDeadline(p.now, from))
		if !late && !at.After(ready.Add(p.minPayback(k, a))) {
			continue
		}
		// A machine that another shard leader offers is ready already: as long as work waits
		// that it would start sooner, it should not stand idle.
		if spot || late || p.surplus[k.machineKind] > 0 {
			return k.machineKind, true
		}
	}
	return machineKind{}, false
}

// minPayback is how much later than on a new machine a task must otherwise start for the machine to
// be worth the time of its provisioning, which is paid for too. Short tasks that are not pressing are
// so done one after another, and not each on a machine of its own. Tasks that run for longer than
// provisioning takes pay for it by themselves.
func (p *simulation) minPayback(k offer, a *placementRequest) time.Duration {
	if p.surplus[k.machineKind] > 0 || p.controller.waitObjective(a.job.Workload) > 0 {
		return 0
	}
	return k.timeToReady - a.run
}

// offers returns the kinds of machines on which tasks of a job fit, in a fixed order.
func (p *simulation) offers(j *job, avoidGPUs bool) []offer {
	var out []offer
	for _, name := range sortedKeys(p.controller.knowledge.machineTypes) {
		f := p.controller.knowledge.machineTypes[name]
		fit := f.Capacity.FitCount(j.Need)
		if fit == 0 || avoidGPUs && p.controller.shardLeader.scheduler.currentPackingProfile().kind(name) != nil {
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

// bestKind returns the kind that is cheapest for count tasks of a job, spot or not as asked, among those
// that the cloud has not just refused.
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
