package controller

import (
	"iter"
	"time"
)

// fleetPlanner decides which machines this shard leader needs: which to request, which to release,
// which to decommission and which to offer to other shard leaders. It only records requests; the
// leader carries them out (see exchange.go) after reading them here or from a PeerUpdate. It is part
// of a shard leader: its methods may be called only while this controller leads a shard, from within
// Step.
//
// Nothing of it is stored. A successor gets arrival rates from the updates published before and
// starts with a new planning pass; requests that no leader has carried out yet are lost with the
// shard leader and made again.
type fleetPlanner struct {
	component

	// view is what the leader last published of this shard leader's machines; nil before the
	// first update.
	view *fleetView

	// planningPass is the pass under way, or nil; its next slice runs at planningPassAt. The last
	// pass ended, or was tried in vain, at plannedAt.
	planningPass   *planningPass
	planningPassAt time.Time
	plannedAt      time.Time
	// leaderUpdateSeq is the leader's update that the pass rests on.
	leaderUpdateSeq uint64

	// capacityRequests, machinesToRelease and surplus are what is asked of the leader: machines
	// to rent, machines to return to the cloud, and idle machines that others may have, the most
	// expensive first. A new pass clears them.
	capacityRequests  map[machineKind]int
	machinesToRelease []string
	surplus           []string

	// decommissionedAt is when machines to decommission were last chosen.
	decommissionedAt time.Time
	// neverReadyKinds are the kinds of which machines have stopped becoming ready.
	neverReadyKinds map[machineKind]bool
	// neverReadyCount and neverReadyCost sum up the machines that were given up for it.
	neverReadyCount int
	neverReadyCost  float64
	// arrivals are the jobs that arrived within arrivalWindow, the oldest first.
	arrivals map[workloadKey][]arrival
}

// setView takes in what the leader has published.
func (f *fleetPlanner) setView(v *fleetView) { f.view = v }

// pausePlanning lets the next slice of a planning pass wait until the given time.
func (f *fleetPlanner) pausePlanning(until time.Time) { f.planningPassAt = until }

// requestRelease asks the leader to return a machine to the cloud.
func (f *fleetPlanner) requestRelease(id string) {
	f.machinesToRelease = append(f.machinesToRelease, id)
}

// takeReleases returns the machines to release and forgets them.
func (f *fleetPlanner) takeReleases() []string {
	ids := f.machinesToRelease
	f.machinesToRelease = nil
	return ids
}

// recordNeverReady counts a machine that was given up before it was ready, and what it cost.
func (f *fleetPlanner) recordNeverReady(cost float64) {
	f.neverReadyCount++
	f.neverReadyCost += cost
}

// planningPass is a scan of the fleet that runs in slices: to simulate a large pool takes longer than
// heartbeats, polls and renewals can wait. It is a coroutine and not a goroutine: it goes on only
// inside Step, so that the same inputs give the same decisions. The machines and jobs that it has read
// may have changed when it ends, so its decisions are checked again before they are carried out.
type planningPass struct {
	next func() (struct{}, bool)
	stop func()
	// used is the work done in this slice, sliceLimit what is allowed.
	used, sliceLimit int
	stopped          bool
}

// newPlanningPass prepares a pass; nothing of scan runs before run.
func newPlanningPass(scan func(chargeFunc)) *planningPass {
	ps := &planningPass{}
	ps.next, ps.stop = iter.Pull(func(yield func(struct{}) bool) {
		scan(func(units int) bool {
			ps.used += units
			if ps.stopped || ps.used < ps.sliceLimit {
				return !ps.stopped
			}
			// Once stopped, it must not yield again.
			ps.stopped = !yield(struct{}{})
			return !ps.stopped
		})
	})
	return ps
}

// run carries the pass on for a slice and returns whether it has ended.
func (ps *planningPass) run(slice int) bool {
	ps.used, ps.sliceLimit = 0, slice
	_, more := ps.next()
	return !more
}

// planFleet carries the planning pass on. A new one is begun only if startNew is set and none is under
// way.
func (f *fleetPlanner) planFleet(startNew bool) {
	if f.planningPass == nil && (!startNew || !f.beginPlanningPass()) {
		return
	}
	if f.now.Before(f.planningPassAt) {
		return
	}
	if f.now.After(f.controller.membership.leaseValidUntil) {
		// Another shard leader may have taken over: no requests are made any more.
		f.endPlanningPass()
		return
	}
	pass := f.planningPass
	if pass.run(f.controller.planning.slices.Slice()) {
		f.planningPass, f.plannedAt = nil, f.now
	}
	f.controller.planning.noteSlice(pass.used)
}

// beginPlanningPass prepares a new pass and withdraws the requests of the last one. It returns whether
// there is a pass to run: not within leaderPeriod of the last, nor without a fresh view and a valid
// lease.
func (f *fleetPlanner) beginPlanningPass() bool {
	if f.now.Sub(f.plannedAt) < leaderPeriod {
		return false
	}
	f.plannedAt = f.now
	if !f.refreshFleetView() {
		return false
	}
	f.capacityRequests, f.machinesToRelease, f.surplus = nil, nil, nil
	if f.view == nil || f.now.Sub(f.view.receivedAt) > updateTTL || f.now.After(f.controller.membership.leaseValidUntil) {
		return false
	}
	f.leaderUpdateSeq = f.view.seq
	f.planningPass = newPlanningPass(f.scanFleet)
	f.planningPassAt = f.now
	return true
}

// endPlanningPass stops a pass under way. It must be called before a shard leader is dropped, since
// the coroutine would never end otherwise.
func (f *fleetPlanner) endPlanningPass() {
	if f.planningPass != nil {
		f.planningPass.stop()
		f.planningPass = nil
	}
}

// refreshFleetView makes the view anew where this controller is the leader itself, and returns whether
// planning may go on: not before the leader has listed the machines.
func (f *fleetPlanner) refreshFleetView() bool {
	l := f.controller.leader
	if l == nil {
		return true
	}
	if !l.hasListed {
		return false
	}
	v := &fleetView{receivedAt: f.now, rentals: map[string]*rental{}, blockedUntil: l.blockedUntil, pendingRentals: map[machineKind]int{}, surplus: map[machineKind]int{}}
	for _, w := range l.surplusExcept(f.settings.Host) {
		v.surplus[machineKind{w.MachineType, w.Zone, w.Spot}] = w.Count
	}
	for id, r := range l.rentals {
		if r.releasedAt.IsZero() && l.assignedHost(id) == f.settings.Host {
			v.rentals[id] = r
		}
	}
	for a, c := range l.pendingRentals {
		if a.owner == f.settings.Host {
			v.pendingRentals[a.machineKind] = c
		}
	}
	f.setView(v)
	return true
}

// scanFleet is the work of a planning pass.
func (f *fleetPlanner) scanFleet(charge chargeFunc) {
	sl := f.controller.shardLeader
	// The live tasks and their expected ends are the same for all parts of the pass.
	r := f.futureFreeCapacity()
	if !charge(len(r.machines)) {
		return
	}
	f.setNeverReadyKinds(f.kindsNeverReady())
	if f.now.Sub(f.decommissionedAt) >= leaderPeriod*time.Duration(1+len(sl.machinesByID)/slowDecommissionSize) {
		f.decommissionExpensive(r, charge)
		f.decommissionedAt = f.now
	}
	surplus := f.surplusMachines(r, charge)
	if !charge(0) {
		return
	}
	f.surplus = f.surplusForOthers(surplus)
	f.selectReleases(surplus)
	requests := f.planScaleOut(r, charge)
	if !charge(0) {
		return
	}
	f.capacityRequests = requests
}
