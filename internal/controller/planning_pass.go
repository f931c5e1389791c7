package controller

import (
	"iter"
	"time"
)

// fleetPlanner decides which machines this shard leader needs: which to request, release,
// decommission, and offer to other shard leaders. It only records requests. The leader reads them
// here or from a PeerUpdate and carries them out (see exchange.go). The planner is part of a shard
// leader: its methods may be called only from within Step, while this controller leads a shard.
//
// The planner stores nothing durably. A successor takes the arrival rates from earlier published
// updates and starts with a new planning pass. Requests that no leader has carried out yet are lost
// with the shard leader and made again by its successor.
type fleetPlanner struct {
	component

	// view is the leader's last published view of this shard leader's machines. It is nil
	// before the first update.
	view *fleetView

	// planningPass is the pass in progress, or nil. Its next slice runs at planningPassAt.
	// plannedAt is when the last pass ended or failed to start.
	planningPass   *planningPass
	planningPassAt time.Time
	plannedAt      time.Time
	// leaderUpdateSeq is the sequence number of the leader's update that the pass is based on.
	leaderUpdateSeq uint64

	// capacityRequests, machinesToRelease and surplus are the requests to the leader: machines
	// to rent, machines to release, and idle machines that other shard leaders may have, the
	// most expensive first. A new pass clears them.
	capacityRequests  map[machineKind]int
	machinesToRelease []string
	surplus           []string

	// decommissionedAt is when machines to decommission were last chosen.
	decommissionedAt time.Time
	// neverReadyKinds are the machine kinds whose machines have stopped becoming ready.
	neverReadyKinds map[machineKind]bool
	// neverReadyCount and neverReadyCost are the number and the total cost of the machines that
	// were given up before they were ready.
	neverReadyCount int
	neverReadyCost  float64
	// arrivals are the jobs that arrived within arrivalWindow, oldest first.
	arrivals map[workloadKey][]arrival
}

// setView replaces the view with what the leader has published.
func (planner *fleetPlanner) setView(view *fleetView) { planner.view = view }

// pausePlanning delays the next slice of a planning pass until the given time.
func (planner *fleetPlanner) pausePlanning(until time.Time) { planner.planningPassAt = until }

// requestRelease asks the leader to release a machine.
func (planner *fleetPlanner) requestRelease(id string) {
	planner.machinesToRelease = append(planner.machinesToRelease, id)
}

// takeReleases returns the machines to release and clears the list.
func (planner *fleetPlanner) takeReleases() []string {
	ids := planner.machinesToRelease
	planner.machinesToRelease = nil
	return ids
}

// recordNeverReady counts a machine that was given up before it was ready, and adds its cost to the
// total.
func (planner *fleetPlanner) recordNeverReady(cost float64) {
	planner.neverReadyCount++
	planner.neverReadyCost += cost
}

// planningPass is a scan of the fleet that runs in slices, because simulating a large pool takes
// longer than heartbeats, polls and lease renewals can wait. It is a coroutine, not a goroutine,
// and advances only inside Step, so that the same inputs give the same decisions. The machines and
// jobs that the pass has read may have changed by its end, so its decisions are checked again
// before they are carried out.
type planningPass struct {
	next func() (struct{}, bool)
	stop func()
	// spentUnits is the number of units of planning spent in the current slice; sliceLimit is the
	// number allowed.
	spentUnits, sliceLimit int
	stopped                bool
}

// newPlanningPass returns a pass over scan. scan does not start before the first call of run.
func newPlanningPass(scan func(chargeFunc)) *planningPass {
	pass := &planningPass{}
	pass.next, pass.stop = iter.Pull(func(yield func(struct{}) bool) {
		scan(func(units int) bool {
			pass.spentUnits += units
			if pass.stopped || pass.spentUnits < pass.sliceLimit {
				return !pass.stopped
			}
			// After yield has returned false it must not be called again.
			pass.stopped = !yield(struct{}{})
			return !pass.stopped
		})
	})
	return pass
}

// run continues the pass for one slice and reports whether the pass has ended.
func (pass *planningPass) run(slice int) bool {
	pass.spentUnits, pass.sliceLimit = 0, slice
	_, more := pass.next()
	return !more
}

// planFleet continues the planning pass for one slice. If no pass is in progress, it begins one if
// startNew is set.
func (planner *fleetPlanner) planFleet(startNew bool) {
	if planner.planningPass == nil && (!startNew || !planner.beginPlanningPass()) {
		return
	}
	if planner.now.Before(planner.planningPassAt) {
		return
	}
	if planner.now.After(planner.controller.membership.leaseValidUntil) {
		// Another shard leader may have taken over, so this one must not make further
		// requests.
		planner.endPlanningPass()
		return
	}
	pass := planner.planningPass
	if pass.run(planner.controller.planning.slices.Slice()) {
		planner.planningPass, planner.plannedAt = nil, planner.now
	}
	planner.controller.planning.noteSlice(pass.spentUnits)
}

// beginPlanningPass prepares a new pass and clears the requests of the last one. It reports whether
// there is a pass to run: there is none within leaderPeriod of the last pass, and none without a
// fresh view and a valid lease.
func (planner *fleetPlanner) beginPlanningPass() bool {
	if planner.now.Sub(planner.plannedAt) < leaderPeriod {
		return false
	}
	planner.plannedAt = planner.now
	if !planner.refreshFleetView() {
		return false
	}
	planner.capacityRequests, planner.machinesToRelease, planner.surplus = nil, nil, nil
	if planner.view == nil || planner.now.Sub(planner.view.receivedAt) > updateTTL || planner.now.After(planner.controller.membership.leaseValidUntil) {
		return false
	}
	planner.leaderUpdateSeq = planner.view.seq
	planner.planningPass = newPlanningPass(planner.scanFleet)
	planner.planningPassAt = planner.now
	return true
}

// endPlanningPass aborts a pass in progress. It must be called before a shard leader is dropped,
// since the coroutine would never end otherwise.
func (planner *fleetPlanner) endPlanningPass() {
	if planner.planningPass != nil {
		planner.planningPass.stop()
		planner.planningPass = nil
	}
}

// refreshFleetView rebuilds the view if this controller is itself the leader, and reports whether
// planning may continue: it may not before the leader has listed the machines.
func (planner *fleetPlanner) refreshFleetView() bool {
	leader := planner.controller.leader
	if leader == nil {
		return true
	}
	if !leader.hasListed {
		return false
	}
	view := &fleetView{receivedAt: planner.now, rentals: map[string]*rental{}, blockedUntil: leader.blockedUntil, pendingRentals: map[machineKind]int{}, surplus: map[machineKind]int{}}
	for _, surplus := range leader.surplusExcept(planner.settings.Host) {
		view.surplus[machineKind{surplus.MachineType, surplus.Zone, surplus.Spot}] = surplus.Count
	}
	for machineID, rental := range leader.rentals {
		if rental.releasedAt.IsZero() && leader.assignedHost(machineID) == planner.settings.Host {
			view.rentals[machineID] = rental
		}
	}
	for pending, count := range leader.pendingRentals {
		if pending.owner == planner.settings.Host {
			view.pendingRentals[pending.machineKind] = count
		}
	}
	planner.setView(view)
	return true
}

// scanFleet runs a whole planning pass. charge yields between slices; a pass that charge has
// stopped makes no further requests.
func (planner *fleetPlanner) scanFleet(charge chargeFunc) {
	shardLeader := planner.controller.shardLeader
	// The live tasks and their expected ends are the same for all parts of the pass, so the
	// simulations of all parts start from one freeCapacity.
	sim := planner.futureFreeCapacity()
	if !charge(len(sim.machines)) {
		return
	}
	planner.setNeverReadyKinds(planner.kindsNeverReady())
	if planner.now.Sub(planner.decommissionedAt) >= leaderPeriod*time.Duration(1+len(shardLeader.machinesByID)/slowDecommissionSize) {
		planner.decommissionExpensive(sim, charge)
		planner.decommissionedAt = planner.now
	}
	surplus := planner.surplusMachines(sim, charge)
	if !charge(0) {
		return
	}
	planner.surplus = planner.surplusForOthers(surplus)
	planner.selectReleases(surplus)
	requests := planner.planScaleOut(sim, charge)
	if !charge(0) {
		return
	}
	planner.capacityRequests = requests
}
