package controller

import (
	"maps"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

const (
	// simulatedVisitLimit bounds the visits of one simulation of a small pool; see nextVisit.
	simulatedVisitLimit = 4000
	// minSafetyMargin, plus at least minSafetyFraction of the run time, is kept in hand before
	// a deadline, since run times are only estimates.
	minSafetyMargin   = 5 * time.Second
	minSafetyFraction = 0.25
	// forever stands for the run time of a replica, and for a fetch without bound.
	forever = 24 * time.Hour
	// maxLateness bounds the lateness of a task; one that fits nowhere counts twice as much.
	maxLateness = 10 * time.Minute
)

// simulation predicts on which machine and when each task would start. Its time stands still at
// the moment it was begun, also when a planning pass carries it on in later steps. It changes
// nothing but its own copies of the machines.
type simulation struct {
	controller *Controller
	now        time.Time
	machines   []*simulatedMachine
	// imageIDs numbers the images, and imageHolders lists the machines that have each.
	imageIDs     map[string]int32
	imageHolders [][]int32
	// queues holds, for each kind of task requested so far, the machines by when one could
	// run there.
	queues map[taskShape]*shapeCandidates
	// neededCache remembers isNeededElsewhere by workload and machine type.
	neededCache map[[2]string]bool
	// refusedKinds are the kinds that the cloud has just refused, or that are never ready.
	refusedKinds map[machineKind]bool
	// surplus counts the machines that other shard leaders can hand over.
	surplus map[machineKind]int
	visits  int
	charge  chargeFunc
}

// chargeFunc is called with the work done, in units of about a tenth of a microsecond. It may
// suspend the planning pass for a while, and returns whether to go on.
type chargeFunc func(units int) bool

// visitUnits is what placing some alike tasks on one machine costs.
const visitUnits = 8

// newSimulation begins a simulation on the given machines, which it may change.
func (f *fleetPlanner) newSimulation(vs []*simulatedMachine, images map[string]int32, charge chargeFunc) *simulation {
	p := &simulation{controller: f.controller, now: f.now, machines: vs, imageIDs: images, charge: charge, refusedKinds: map[machineKind]bool{}}
	if v := f.view; v != nil {
		for k, until := range v.blockedUntil {
			p.refusedKinds[k] = until.After(f.now)
		}
		for k := range f.neverReadyKinds {
			p.refusedKinds[k] = true
		}
		p.surplus = maps.Clone(v.surplus)
	}
	for i, v := range vs {
		v.index = int32(i)
	}
	p.indexImages()
	return p
}

// spend charges work done and returns whether to go on.
func (p *simulation) spend(units int) bool { return p.charge == nil || p.charge(units) }

// nextVisit counts one more visit and returns whether to go on. Visits are bounded by the size of
// the pool, not by the number of pending tasks.
func (p *simulation) nextVisit() bool {
	p.visits++
	return p.spend(visitUnits) && p.visits <= max(simulatedVisitLimit, 2*len(p.machines))
}

// addProvisioning adds a machine that is not ready yet.
func (p *simulation) addProvisioning(k machineKind, ready time.Time) *simulatedMachine {
	f := p.controller.knowledge.machineTypes[k.machineType]
	v := &simulatedMachine{machineKind: k, index: int32(len(p.machines)), at: max(0, ready.Sub(p.now)), free: f.Capacity, packingKind: p.controller.shardLeader.scheduler.currentPackingProfile().kind(k.machineType)}
	if f.ImageFetchRate > 0 {
		v.secondsPerGB = 1 / f.ImageFetchRate
	}
	p.machines = append(p.machines, v)
	return v
}

// isNeededElsewhere is neededElsewhere, evaluated once for a simulation.
func (p *simulation) isNeededElsewhere(j *job, machineType string) bool {
	key := [2]string{j.Workload, machineType}
	is, ok := p.neededCache[key]
	if !ok {
		if p.neededCache == nil {
			p.neededCache = map[[2]string]bool{}
		}
		is = p.controller.shardLeader.fleet.neededElsewhere(&j.JobSpec, machineType)
		p.neededCache[key] = is
	}
	return is
}

// simulate places a demand's tasks and calls placed for each batch with its machine, arrival and
// start; v is nil for tasks that fit nowhere.
func (p *simulation) simulate(d demand, placed func(count int, v *simulatedMachine, from, at time.Time)) {
	a := p.newRequest(d.job)
	for from, left := range d.arrivalBatches(p.now) {
		for left > 0 {
			if !p.nextVisit() {
				return
			}
			v, at := p.bestMachine(a, from, false)
			k := left
			if v != nil {
				var fetch time.Duration
				k, at, fetch = p.placeTasks(a, v, from, left)
				if fetch > 0 && k > 1 {
					placed(k-1, v, from, at.Add(-fetch))
					left, k = left-(k-1), 1
				}
			}
			placed(k, v, from, at)
			left -= k
		}
	}
}

// simulatedLateness sums up how much later than their deadlines tasks would start on the machines
// of r without some of them.
func (f *fleetPlanner) simulatedLateness(r *freeCapacity, demands []demand, without map[*machine]bool, charge chargeFunc) time.Duration {
	p := f.newSimulation(copyFreeCapacity(r, without), r.imageIDs, charge)
	var total time.Duration
	for _, d := range demands {
		bound := f.waitObjective(d.job.Workload)
		margin := f.controller.knowledge.safetyMargin(d.job)
		p.simulate(d, func(count int, v *simulatedMachine, from, at time.Time) {
			// To fit nowhere is worse than any late start: else the only machine that
			// tasks of long run time fit on would be decommissioned.
			lateness := 2 * maxLateness
			if v != nil {
				lateness = min(max(0, at.Add(margin).Sub(d.startDeadline(p.now, from))), maxLateness)
				if bound > 0 {
					lateness += max(0, at.Sub(from)-bound)
				}
			}
			total += time.Duration(count) * lateness
		})
	}
	return total
}

// newMachineFetchTime is how long a new machine takes to fetch the image.
func newMachineFetchTime(f *model.MachineType, j *job) time.Duration {
	if f.ImageFetchRate <= 0 {
		return 0
	}
	return record.DurationOfSeconds(j.ImageGB / f.ImageFetchRate)
}

// expectedOccupancy is how long a task of the job is expected to occupy its machine.
func (f *fleetPlanner) expectedOccupancy(j *job) time.Duration {
	if j.LongRunning {
		return forever
	}
	return max(f.controller.knowledge.expectedRunTime(j), time.Second)
}

// zoneLimits keeps machines from being rented in zones where SameZone or SpreadZones keep the job's
// tasks from starting.
type zoneLimits struct {
	job       *job
	liveTasks map[string]int
}

func newZoneLimits(j *job) *zoneLimits {
	z := &zoneLimits{j, map[string]int{}}
	for zone, k := range j.liveByZone {
		if k > 0 {
			z.liveTasks[zone] = k
		}
	}
	return z
}

// capacity is how many more of the job's tasks may start in a zone.
func (z *zoneLimits) capacity(zone string) int {
	switch {
	case z.job.SameZone && len(z.liveTasks) > 0 && z.liveTasks[zone] == 0:
		return 0
	case z.job.SpreadZones:
		return max(0, (len(z.job.tasks)+1)/2-z.liveTasks[zone])
	}
	return len(z.job.tasks)
}

func (z *zoneLimits) add(zone string, k int) { z.liveTasks[zone] += k }
