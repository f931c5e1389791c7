package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// scaling.go decides by simulation which machines to rent, which machines are surplus, and which expensive
// machines to decommission.

const (
	// minIdleTime is how long an idle machine is kept at least. Another task often starts soon
	// after one has ended, and the scale-out plan changes from second to second.
	minIdleTime = 10 * time.Second
	// surplusAfter is how long a machine must be idle before it is offered to other shard leaders.
	surplusAfter = 2 * time.Second
	// expensiveFactor says which machines are expensive: those whose cost per CPU is more than this
	// multiple of the lowest. They are decommissioned while other machines can run their tasks.
	expensiveFactor = 1.5
	// tolerableDelay is how much later tasks may start on average when an expensive machine is
	// decommissioned. It is not 0, since among a thousand tasks a few always start slightly later.
	tolerableDelay = 10 * time.Millisecond
	// maxDecommissionTries is the number of failed tries after which decommissionExpensive ends.
	maxDecommissionTries = 4
	// decommissionBatches is the number of batches into which decommissionExpensive at first divides
	// the expensive machines.
	decommissionBatches = 8
	// slowDecommissionSize is the pool size from which on decommissionExpensive runs less often:
	// each slowDecommissionSize machines add one leaderPeriod to the interval between its runs.
	slowDecommissionSize = 100
)

// surplusMachines returns the ids of the idle machines that are needed neither for pending tasks nor for
// expected ones. It simulates the demands on the machines in use first and then on the cheapest ones, so
// that the expensive ones become surplus first. Cheap machines are kept idle for longer; see
// idleRetention.
func (planner *fleetPlanner) surplusMachines(capacity *freeCapacity, charge chargeFunc) map[string]bool {
	shardLeader := planner.controller.shardLeader
	surplus := map[string]bool{}
	cheapest := planner.controller.knowledge.cheapestCPUCost()
	idle := false
	for _, m := range shardLeader.machinesByID {
		if m.isEmpty() && (m.reservedForMigration == (model.Resources{}) || m.evacuatingForOtherShard) && m.heard && planner.controller.shardLeader.scheduler.usable(m) &&
			(planner.controller.membership.hasOtherShardLeaders() && planner.now.Sub(m.idleSince) > surplusAfter || planner.isIdleExpired(m, cheapest)) {
			surplus[m.id] = true
			idle = true
		}
	}
	if !idle {
		return surplus
	}
	// The machines under decommission are left out: no task is late without them. They are released
	// as soon as they are idle, and the simulation must not count on them and let another machine
	// be released instead.
	decommissioning := map[*machine]bool{}
	for _, simMachine := range capacity.machines {
		if simMachine.machine.decommissioning {
			decommissioning[simMachine.machine] = true
		}
	}
	simulated := copyFreeCapacity(capacity, decommissioning)
	slices.SortStableFunc(simulated, func(a, b *simulatedMachine) int {
		return cmp.Or(cmp.Compare(boolToFloat(a.idle), boolToFloat(b.idle)),
			cmp.Compare(planner.controller.knowledge.costPerCPU(a.machine), planner.controller.knowledge.costPerCPU(b.machine)))
	})
	sim := planner.newSimulation(simulated, capacity.imageIDs, charge)
	for _, d := range planner.demands(planner.controller.knowledge.planningHorizon(), true, true) {
		sim.simulate(d, func(_ int, simMachine *simulatedMachine, _, _ time.Time) {
			if simMachine != nil {
				delete(surplus, simMachine.machine.id)
			}
		})
	}
	return surplus
}

// hasOtherShardLeaders reports whether another controller leads a shard that has teams.
func (membership *membership) hasOtherShardLeaders() bool {
	for _, s := range membership.shardMap.Shards() {
		if s.Host != membership.settings.Host && len(s.Teams) > 0 {
			return true
		}
	}
	return false
}

// surplusForOthers returns the surplus machines to offer to other shard leaders, the most expensive first
// and at most maxSurplus. It returns none if there is no other shard leader.
func (planner *fleetPlanner) surplusForOthers(surplus map[string]bool) []string {
	if !planner.controller.membership.hasOtherShardLeaders() {
		return nil
	}
	var candidates []*machine
	for _, m := range planner.controller.shardLeader.machinesByID {
		if surplus[m.id] && (m.reservedForMigration == (model.Resources{}) || m.evacuatingForOtherShard) &&
			!m.releasing && !m.reclaimNoticed && !m.faulty && planner.now.Sub(m.idleSince) > surplusAfter {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int {
		return cmp.Compare(planner.controller.knowledge.costPerCPU(b), planner.controller.knowledge.costPerCPU(a))
	})
	var out []string
	for _, m := range candidates[:min(len(candidates), maxSurplus)] {
		out = append(out, m.id)
	}
	return out
}

// isIdleExpired reports whether a machine has been idle for longer than its idleRetention. cheapest is the
// lowest cost per CPU.
func (planner *fleetPlanner) isIdleExpired(m *machine, cheapest float64) bool {
	return m.heard && m.isEmpty() && m.reservedForMigration == (model.Resources{}) && planner.now.Sub(m.idleSince) > planner.idleRetention(m, cheapest)
}

// decommissionExpensive chooses the expensive machines on which no more tasks are started, as long as all
// tasks would start in time on the other machines. Tasks that run on a decommissioned machine continue to
// their end. Without decommissioning, tasks would spread over all machines, none would become idle, and
// the on-demand machines rented for one burst would be paid for indefinitely.
func (planner *fleetPlanner) decommissionExpensive(capacity *freeCapacity, charge chargeFunc) {
	var expensive []*machine
	cheapest := planner.controller.knowledge.cheapestCPUCost()
	for _, m := range planner.controller.shardLeader.machinesByID {
		// A machine reserved for a job is not in the simulation, which would therefore never find
		// it needed.
		if planner.controller.shardLeader.scheduler.usable(m) && m.reservedFor == "" && planner.controller.knowledge.costPerCPU(m) > expensiveFactor*cheapest {
			expensive = append(expensive, m)
		}
	}
	shardLeader, chosen := planner.controller.shardLeader, map[*machine]bool{}
	// The choice is applied at the end, since the pass may be suspended during the simulations.
	defer func() {
		for _, m := range shardLeader.machinesByID {
			m.decommissioning = chosen[m]
		}
	}()
	// Soon after a takeover there is a forecast only if the previous shard leader has published loads.
	if len(expensive) == 0 || planner.now.Sub(shardLeader.since) < recentWindow && len(planner.controller.knowledge.inheritedLoads) == 0 {
		return
	}
	// The machines with the lowest utilization are tried first.
	slices.SortStableFunc(expensive, func(a, b *machine) int {
		return cmp.Compare(planner.utilization(a), planner.utilization(b))
	})
	demands := planner.demands(planner.controller.knowledge.planningHorizon(), true, false)
	tolerated := planner.simulatedLateness(capacity, demands, nil, charge)
	lateness, candidateCount := tolerated, len(expensive)
	for _, d := range demands {
		tolerated += time.Duration(d.count) * tolerableDelay
	}
	failures := 0
	// Several machines are tried at once, since each try simulates all demands. After a failure the
	// batch is halved.
	batchSize := max(1, len(expensive)/decommissionBatches)
	for len(expensive) > 0 {
		batch := expensive[:min(batchSize, len(expensive))]
		for _, m := range batch {
			chosen[m] = true
		}
		if planner.simulatedLateness(capacity, demands, chosen, charge) <= tolerated {
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
	planner.debug("decommission planned", "expensive", candidateCount, "decommissioning", len(chosen), "late", lateness, "failed_tries", failures)
}

// idleRetention returns how long an idle machine is kept before it may be released. The time is inversely
// proportional to its cost per CPU, and at least minIdleTime. cheapest is the lowest cost per CPU.
func (planner *fleetPlanner) idleRetention(m *machine, cheapest float64) time.Duration {
	return max(minIdleTime, time.Duration(float64(planner.settings.Policy.IdleTimeout)*cheapest/planner.controller.knowledge.costPerCPU(m)))
}

// scaleOutPlan is the state of planScaleOut: its simulation and the machines to request, by kind.
type scaleOutPlan struct {
	sim      *simulation
	requests map[machineKind]int
	// unmetCPU is the number of CPUs that the tasks not yet placed in the simulation need.
	unmetCPU float64
}

// planScaleOut decides how many machines of each kind to request. It simulates, in the order of placement,
// when each pending or expected task would start on the present machines and on those that are expected.
// If the task would start sooner on a machine rented now, planScaleOut requests a spot machine. It requests
// an on-demand machine, which costs several times as much, only if the task would otherwise miss its start
// deadline.
func (planner *fleetPlanner) planScaleOut(capacity *freeCapacity, charge chargeFunc) map[machineKind]int {
	plan := &scaleOutPlan{sim: planner.newSimulation(capacity.machines, capacity.imageIDs, charge), requests: map[machineKind]int{}}
	planner.addExpectedMachines(plan.sim)
	demands := planner.demands(planner.controller.knowledge.planningHorizon(), false, false)
	for _, d := range demands {
		plan.unmetCPU += float64(d.count) * d.job.Need.CPU
	}
	for _, d := range demands {
		plan.addDemand(d)
	}
	return plan.requests
}

// addExpectedMachines adds to a simulation the machines that are not ready but expected: those being handed
// over by another shard leader, those being provisioned, and pending rentals.
func (planner *fleetPlanner) addExpectedMachines(sim *simulation) {
	for _, id := range sortedKeys(planner.view.rentals) {
		rental := planner.view.rentals[id]
		m := planner.controller.shardLeader.machines[id]
		if rental.releasing || rental.status == "returned" || rental.status == "failed" || m != nil && (m.heard || planner.expectedToReport(m)) {
			continue
		}
		if rental.status == statusComing || planner.now.Sub(rental.handedOverAt) < handoverCooldown {
			sim.addProvisioning(rental.machineKind, planner.now.Add(handoverTime))
			continue
		}
		if planner.controller.knowledge.isExpected(rental) {
			sim.addProvisioning(rental.machineKind, planner.now.Add(planner.controller.knowledge.timeToReady(rental.machineKind, planner.now.Sub(rental.rentedAt))))
		}
	}
	for _, k := range sortedKinds(planner.view.pendingRentals) {
		for range planner.view.pendingRentals[k] {
			sim.addProvisioning(k, sim.now.Add(planner.controller.knowledge.timeToReady(k, 0)))
		}
	}
}

// addDemand places the tasks of a demand in the simulation, and requests the machines that are worth renting
// for them.
func (plan *scaleOutPlan) addDemand(d demand) {
	sim := plan.sim
	request := sim.newRequest(d.job)
	rented, first, reliefs := 0, time.Duration(0), 0
	for from, remaining := range d.arrivalBatches(sim.now) {
		for remaining > 0 && sim.nextVisit() {
			count := max(1, int(plan.unmetCPU/max(d.job.Need.CPU, 0.1)))
			simMachine, at := sim.bestMachine(request, from, false)
			if kind, ok := sim.kindWorthRenting(request, d, from, simMachine != nil, at, count); ok {
				if rented++; rented == 1 {
					first = at.Sub(from)
				}
				plan.requests[kind]++
				simMachine = sim.addMachine(kind)
			} else if alternative, kind, ok := sim.scarcityRelief(request, simMachine, from, count); alternative != nil {
				simMachine = alternative
			} else if ok {
				reliefs++
				plan.requests[kind]++
				simMachine = sim.addMachine(kind)
			}
			placed := remaining
			if simMachine != nil {
				placed, _, _ = sim.placeTasks(request, simMachine, from, remaining)
			}
			remaining -= placed
			plan.unmetCPU -= float64(placed) * d.job.Need.CPU
		}
	}
	if rented+reliefs > 0 {
		sim.controller.debug("scale-out planned", "workload", d.job.Workload, "tasks", d.count,
			"expected", d.arrivalSpread > 0, "machines", rented, "instead_of_waiting", first, "for_scarcity", reliefs)
	}
}

// timeToReady returns how long a machine of the offered kind takes to be ready: handoverTime while another
// shard leader has surplus machines of the kind, and otherwise the provisioning time.
func (sim *simulation) timeToReady(o offer) time.Duration {
	if sim.surplus[o.machineKind] > 0 {
		return handoverTime
	}
	return o.timeToReady
}

// addMachine adds a machine that is to be requested: one that another shard leader hands over, or else one
// that is rented.
func (sim *simulation) addMachine(kind machineKind) *simulatedMachine {
	if sim.surplus[kind] > 0 {
		sim.surplus[kind]--
		return sim.addProvisioning(kind, sim.now.Add(handoverTime))
	}
	return sim.addProvisioning(kind, sim.now.Add(sim.controller.knowledge.timeToReady(kind, 0)))
}

// scarcityRelief finds an alternative to the chosen machine if pending tasks that fit few other machine
// types depend on the chosen machine's type. It returns another machine that is free soon enough, or else
// a spot kind to rent. Present machines come first: otherwise each expected task would request a new
// machine although hundreds of machines are idle.
func (sim *simulation) scarcityRelief(request *placementRequest, chosen *simulatedMachine, from time.Time, count int) (*simulatedMachine, machineKind, bool) {
	if chosen == nil || !sim.isNeededElsewhere(request.job, chosen.machineKind.machineType) {
		return nil, machineKind{}, false
	}
	spotOffer, ok := sim.bestKind(request, count, true)
	ok = ok && !sim.isNeededElsewhere(request.job, spotOffer.machineType)
	if alternative, at := sim.bestMachine(request, from, true); alternative != nil {
		if !ok || !at.After(later(sim.now.Add(sim.timeToReady(spotOffer)), from).Add(spotOffer.fetchTime+minSafetyMargin)) {
			return alternative, machineKind{}, false
		}
	}
	return nil, spotOffer.machineKind, ok
}

// neededElsewhere reports whether another workload with pending tasks fits the machine type, and fits fewer
// machine types than the workload of spec.
func (planner *fleetPlanner) neededElsewhere(spec *model.JobSpec, machineType string) bool {
	mine := len(planner.controller.knowledge.fittingMachineTypes(spec))
	for name := range planner.controller.shardLeader.scheduler.startDeadlines {
		workload := planner.controller.shardLeader.workloads[name]
		if name == spec.Workload || workload == nil {
			continue
		}
		if theirs := planner.controller.knowledge.fittingMachineTypes(workload.spec); len(theirs) < mine && slices.Contains(theirs, machineType) {
			return true
		}
	}
	return false
}

// kindWorthRenting returns the kind of machine to rent, if any, for tasks of a demand that arrive at from.
// placed says whether the tasks fit on a simulated machine, and at is when they would start there. The
// kind is the cheapest one for count tasks.
func (sim *simulation) kindWorthRenting(request *placementRequest, d demand, from time.Time, placed bool, at time.Time, count int) (machineKind, bool) {
	for _, spot := range [...]bool{true, false} {
		offered, ok := sim.bestKind(request, count, spot)
		if !ok {
			continue
		}
		if !placed {
			return offered.machineKind, true
		}
		// A new machine has to fetch the image as well, and begins only when the task has
		// arrived. Otherwise each task expected to arrive after the provisioning time would
		// request a machine of its own although idle machines only have to fetch the image too.
		ready := later(sim.now.Add(sim.timeToReady(offered)), from).Add(offered.fetchTime)
		if !at.After(ready.Add(minSafetyMargin)) {
			continue
		}
		late := at.Add(sim.controller.knowledge.safetyMargin(d.job)).After(d.startDeadline(sim.now, from))
		if !late && !at.After(ready.Add(sim.minPayback(offered, request))) {
			continue
		}
		// A surplus machine of another shard leader is already ready. It should not stay idle
		// while there are tasks that would start sooner on it.
		if spot || late || sim.surplus[offered.machineKind] > 0 {
			return offered.machineKind, true
		}
	}
	return machineKind{}, false
}

// minPayback returns by how much a new machine must advance the start of a task to be worth renting. The
// provisioning time of a machine is paid for too. With this limit, short tasks that are not urgent run one
// after another, and not each on a machine of its own. For tasks that run for longer than provisioning
// takes, there is no minimum. Neither is there one for workloads with a wait objective, or for kinds of
// which another shard leader has surplus machines.
func (sim *simulation) minPayback(offered offer, request *placementRequest) time.Duration {
	if sim.surplus[offered.machineKind] > 0 || sim.controller.waitObjective(request.job.Workload) > 0 {
		return 0
	}
	return offered.timeToReady - request.occupancy
}

// offers returns the kinds of machines that may be rented for a job, in a fixed order. With avoidGPUs, kinds
// with a packing profile are left out.
func (sim *simulation) offers(j *job, avoidGPUs bool) []offer {
	var out []offer
	for _, name := range sortedKeys(sim.controller.knowledge.machineTypes) {
		machineType := sim.controller.knowledge.machineTypes[name]
		fit := machineType.Capacity.FitCount(j.Need)
		if fit == 0 || avoidGPUs && sim.controller.shardLeader.scheduler.currentPackingProfile().profileFor(name) != nil {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range [...]bool{true, false} {
				if j.allowsMachine(name, zone, spot) {
					kind := machineKind{name, zone, spot}
					out = append(out, offer{kind, fit, sim.controller.knowledge.costPerHour(kind), sim.controller.knowledge.timeToReady(kind, 0), newMachineFetchTime(&machineType, j)})
				}
			}
		}
	}
	return out
}

// bestKind returns the spot or on-demand kind that is cheapest per task for count tasks of a job. Kinds that
// the cloud has recently refused count only if another shard leader has surplus machines of them.
func (sim *simulation) bestKind(request *placementRequest, count int, spot bool) (offer, bool) {
	var best offer
	var bestCost float64
	found := false
	for _, candidate := range request.offers {
		if candidate.spot != spot || request.zoneLimits.capacity(candidate.zone) == 0 || sim.refusedKinds[candidate.machineKind] && sim.surplus[candidate.machineKind] == 0 {
			continue
		}
		cost := candidate.costPerHour / float64(min(candidate.tasksPerMachine, max(count, 1)))
		if !found || cost < bestCost {
			best, bestCost, found = candidate, cost, true
		}
	}
	return best, found
}
