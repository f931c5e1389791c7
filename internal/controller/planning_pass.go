package controller

import (
	"iter"
	"time"
)

// planningPass is a look at the fleet, carried on bit by bit: playing a large pool forward
// takes longer than reports, polls and renewals can wait. It is a coroutine and not
// a goroutine: it goes on only inside Step, at the owner's word, so the same inputs
// give the same decisions. What it reads of machines and jobs may have changed when
// it ends, so what it decides is judged again before it is done.
type planningPass struct {
	next func() (struct{}, bool)
	stop func()
	// used and slice are the work done in this slice and allowed in it.
	used, sliceLimit int
	stopped          bool
}

// newPlanningPass prepares a pass; nothing of it happens before run.
func newPlanningPass(scan func(chargeFunc)) *planningPass {
	ps := &planningPass{}
	ps.next, ps.stop = iter.Pull(func(yield func(struct{}) bool) {
		scan(func(units int) bool {
			ps.used += units
			if ps.stopped || ps.used < ps.sliceLimit {
				return !ps.stopped
			}
			// Stopped, it must not ask to be put aside again.
			ps.stopped = !yield(struct{}{})
			return !ps.stopped
		})
	})
	return ps
}

// run carries the pass on for a slice and says whether it has ended.
func (ps *planningPass) run(slice int) bool {
	ps.used, ps.sliceLimit = 0, slice
	_, more := ps.next()
	return !more
}

// planFleet decides which machines this owner wants and which may go. begin allows
// a new look; one that is under way goes on in any case.
func (n *Controller) planFleet(startNew bool) {
	o := n.shardLeader
	if o.planningPass == nil {
		if !startNew || n.now.Sub(o.fleetPlannedAt) < leaderPeriod {
			return
		}
		o.fleetPlannedAt = n.now
		if !n.refreshFleetView() {
			return
		}
		o.capacityRequests, o.machinesToRelease, o.surplusMachines = nil, nil, nil
		if o.fleetView == nil || n.now.Sub(o.fleetView.receivedAt) > updateTTL || n.now.After(n.membership.leaseValidUntil) {
			return
		}
		o.leaderUpdateSeq = o.fleetView.seq
		o.planningPass = newPlanningPass(n.scanFleet)
		o.planningPassAt = n.now
	}
	if n.now.Before(o.planningPassAt) {
		return
	}
	if n.now.After(n.membership.leaseValidUntil) {
		// Perhaps deposed: what it would ask for is no longer its to ask.
		o.endPlanningPass()
		return
	}
	ps := o.planningPass
	if ps.run(n.throttle.Slice()) {
		o.planningPass, o.fleetPlannedAt = nil, n.now
	}
	n.lastSliceWork = ps.used
}

func (o *shardLeader) endPlanningPass() {
	if o.planningPass != nil {
		o.planningPass.stop()
		o.planningPass = nil
	}
}

// refreshFleetView brings the owner's view up to date where it leads itself, and says
// whether there is one.
func (n *Controller) refreshFleetView() bool {
	l, o := n.leader, n.shardLeader
	if l == nil {
		return true
	}
	if !l.hasListed {
		return false
	}
	v := &fleetView{receivedAt: n.now, rentals: map[string]*rental{}, blockedUntil: l.blockedUntil, pendingRentals: map[machineKind]int{}, surplus: map[machineKind]int{}}
	for _, w := range surplusFor(n, n.settings.Host) {
		v.surplus[machineKind{w.MachineType, w.Zone, w.Spot}] = w.Count
	}
	for id, r := range l.rentals {
		if r.releasedAt.IsZero() && n.assignedHost(id) == n.settings.Host {
			v.rentals[id] = r
		}
	}
	for a, c := range l.pendingRentals {
		if a.owner == n.settings.Host {
			v.pendingRentals[a.machineKind] = c
		}
	}
	o.fleetView = v
	return true
}

// scanFleet is what a pass does.
func (n *Controller) scanFleet(charge chargeFunc) {
	o := n.shardLeader
	// What runs and when it ends is the same for all that is planned now.
	r := n.futureFreeCapacity()
	if !charge(len(r.machines)) {
		return
	}
	logNeverReady(n, n.neverReadyKinds())
	if n.now.Sub(o.decommissionedAt) >= leaderPeriod*time.Duration(1+len(o.machinesByID)/slowDecommissionSize) {
		n.decommissionExpensive(r, charge)
		o.decommissionedAt = n.now
	}
	spare := n.surplusMachines(r, charge)
	if !charge(0) {
		return
	}
	o.surplusMachines = n.surplusForOthers(spare)
	n.selectReleases(spare)
	wants := n.planScaleOut(r, charge)
	if !charge(0) {
		return
	}
	o.capacityRequests = wants
}

// StepTook tells how long the last step took here, with all that it sent off: planning
// is divided so that steps stay short, and placing leaves time to the rest.
func (n *Controller) StepTook(d time.Duration) {
	if n.placementRan && n.shardLeader != nil {
		n.shardLeader.roundDuration = d
	}
	n.placementRan = false
	if n.lastSliceWork == 0 {
		return
	}
	rest := n.throttle.Record(n.lastSliceWork, d)
	n.lastSliceWork = 0
	if n.shardLeader != nil {
		n.shardLeader.planningPassAt = n.now.Add(d + rest)
	}
}
