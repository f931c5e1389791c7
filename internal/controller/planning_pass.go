package controller

import (
	"iter"
	"time"

	"github.com/micahill/micahill/internal/throttle"
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
func (f *fleetPlanner) planFleet(startNew bool) {
	o := f.controller.shardLeader
	if o.fleet.planningPass == nil {
		if !startNew || f.now.Sub(o.fleet.plannedAt) < leaderPeriod {
			return
		}
		o.fleet.plannedAt = f.now
		if !f.refreshFleetView() {
			return
		}
		o.fleet.capacityRequests, o.fleet.machinesToRelease, o.fleet.surplus = nil, nil, nil
		if o.fleet.view == nil || f.now.Sub(o.fleet.view.receivedAt) > updateTTL || f.now.After(f.controller.membership.leaseValidUntil) {
			return
		}
		o.fleet.leaderUpdateSeq = o.fleet.view.seq
		o.fleet.planningPass = newPlanningPass(f.scanFleet)
		o.fleet.planningPassAt = f.now
	}
	if f.now.Before(o.fleet.planningPassAt) {
		return
	}
	if f.now.After(f.controller.membership.leaseValidUntil) {
		// Perhaps deposed: what it would ask for is no longer its to ask.
		o.endPlanningPass()
		return
	}
	ps := o.fleet.planningPass
	if ps.run(f.controller.planning.slices.Slice()) {
		o.fleet.planningPass, o.fleet.plannedAt = nil, f.now
	}
	f.controller.planning.lastSliceWork = ps.used
}

func (s *shardLeader) endPlanningPass() {
	if s.fleet.planningPass != nil {
		s.fleet.planningPass.stop()
		s.fleet.planningPass = nil
	}
}

// refreshFleetView brings the owner's view up to date where it leads itself, and says
// whether there is one.
func (f *fleetPlanner) refreshFleetView() bool {
	l, o := f.controller.leader, f.controller.shardLeader
	if l == nil {
		return true
	}
	if !l.hasListed {
		return false
	}
	v := &fleetView{receivedAt: f.now, rentals: map[string]*rental{}, blockedUntil: l.blockedUntil, pendingRentals: map[machineKind]int{}, surplus: map[machineKind]int{}}
	for _, w := range surplusFor(f.controller, f.settings.Host) {
		v.surplus[machineKind{w.MachineType, w.Zone, w.Spot}] = w.Count
	}
	for id, r := range l.rentals {
		if r.releasedAt.IsZero() && f.controller.leader.assignedHost(id) == f.settings.Host {
			v.rentals[id] = r
		}
	}
	for a, c := range l.pendingRentals {
		if a.owner == f.settings.Host {
			v.pendingRentals[a.machineKind] = c
		}
	}
	o.fleet.view = v
	return true
}

// scanFleet is what a pass does.
func (f *fleetPlanner) scanFleet(charge chargeFunc) {
	o := f.controller.shardLeader
	// What runs and when it ends is the same for all that is planned now.
	r := f.futureFreeCapacity()
	if !charge(len(r.machines)) {
		return
	}
	f.logNeverReady(f.kindsNeverReady())
	if f.now.Sub(o.fleet.decommissionedAt) >= leaderPeriod*time.Duration(1+len(o.machinesByID)/slowDecommissionSize) {
		f.decommissionExpensive(r, charge)
		o.fleet.decommissionedAt = f.now
	}
	spare := f.surplusMachines(r, charge)
	if !charge(0) {
		return
	}
	o.fleet.surplus = f.surplusForOthers(spare)
	f.controller.selectReleases(spare)
	wants := f.planScaleOut(r, charge)
	if !charge(0) {
		return
	}
	o.fleet.capacityRequests = wants
}

// recordStep notes how long the last step took, with all that it sent off.
func (t *planningThrottle) recordStep(d time.Duration) {
	if t.placementRan && t.controller.shardLeader != nil {
		t.controller.shardLeader.scheduler.roundDuration = d
	}
	t.placementRan = false
	if t.lastSliceWork == 0 {
		return
	}
	rest := t.slices.Record(t.lastSliceWork, d)
	t.lastSliceWork = 0
	if t.controller.shardLeader != nil {
		t.controller.shardLeader.fleet.planningPassAt = t.now.Add(d + rest)
	}
}

// fleetPlanner TODO.
type fleetPlanner struct {
	component

	// fleetView is the leader's knowledge of this owner's machines; wants and gone
	// are what is asked of it.
	view      *fleetView
	plannedAt time.Time
	// planningPass is a look at the fleet that is under way, to be carried on at planningPassAt,
	// and leaderUpdateSeq the leader's news that it rests on.
	planningPass    *planningPass
	planningPassAt  time.Time
	leaderUpdateSeq uint64
	// decommissionedAt is when dear machines were last chosen to be retired.
	decommissionedAt time.Time
	// neverReadyKinds are the kinds of which machines have stopped coming up, and neverReadyCount
	// counts the machines that were given up for it, and what they cost.
	neverReadyKinds   map[machineKind]bool
	neverReadyCount   int
	neverReadyCost    float64
	capacityRequests  map[machineKind]int
	machinesToRelease []string
	// surplusMachines are idle machines that neither what waits nor what is expected needs, the
	// dearest first: others may have them.
	surplus []string
	// arrivals remember when work of each team and workload came, for warm room.
	arrivals map[workloadKey][]arrival
}

// planningThrottle TODO.
type planningThrottle struct {
	component

	// throttle divides planning into slices, and sliced is the work of the last one.
	slices        throttle.SliceBudget
	lastSliceWork int
	// placed: the last step had a round of placing in it.
	placementRan bool
}
