package controller

import (
	"maps"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

const (
	// simulatedVisitLimit bounds the tasks that are played forward at once.
	simulatedVisitLimit = 4000
	// minSafetyMargin, and minSafetyFraction of the run time at least, are kept in hand,
	// since run times are only expected.
	minSafetyMargin   = 5 * time.Second
	minSafetyFraction = 0.25
	// forever is how long a replica runs, for all that is planned here.
	forever = 24 * time.Hour
	// maxLateness bounds the lateness of a task; one that finds no place at all has twice.
	maxLateness = 10 * time.Minute
)

// simulation is the fleet played forward: which task would start where and when. It
// rests on the moment at which it was begun, also when it is carried on later.
type simulation struct {
	controller *Controller
	now        time.Time
	machines   []*simulatedMachine
	// imageIDs numbers the images, and holders are the machines that have each.
	imageIDs     map[string]int32
	imageHolders [][]int32
	// queues hold, for each kind of task that was asked for, the machines by
	// when one could run there.
	queues      map[taskShape]*shapeCandidates
	neededCache map[[2]string]bool
	// refusedKinds are the kinds that the cloud has just refused.
	refusedKinds map[machineKind]bool
	// surplus counts the machines that other owners have to spare.
	surplus map[machineKind]int
	visits  int
	charge  chargeFunc
}

// chargeFunc is told of work done, in units of about a tenth of a microsecond. It may
// put the plan aside for a while, and says whether to go on.
type chargeFunc func(units int) bool

// visitUnits is what the placing of some alike tasks on one machine costs.
const visitUnits = 8

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

func (p *simulation) spend(units int) bool { return p.charge == nil || p.charge(units) }

// nextVisit counts one more visit and says whether to go on. What is played is bounded
// by the pool, not by what waits.
func (p *simulation) nextVisit() bool {
	p.visits++
	return p.spend(visitUnits) && p.visits <= max(simulatedVisitLimit, 2*len(p.machines))
}

// addProvisioning adds a machine that is not up yet.
func (p *simulation) addProvisioning(k machineKind, ready time.Time) *simulatedMachine {
	f := p.controller.knowledge.machineTypes[k.machineType]
	v := &simulatedMachine{machineKind: k, index: int32(len(p.machines)), at: max(0, ready.Sub(p.now)), free: f.Capacity, packingKind: p.controller.shardLeader.scheduler.currentPackingProfile().kind(k.machineType)}
	if f.ImageFetchRate > 0 {
		v.secondsPerGB = 1 / f.ImageFetchRate
	}
	p.machines = append(p.machines, v)
	return v
}

// isNeededElsewhere says, once for a plan, that others wait for the flavour that fit fewer.
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

// simulate places a demand's tasks and tells of each lot where and when; v is nil for
// tasks without a place.
func (p *simulation) simulate(d demand, tell func(count int, v *simulatedMachine, from, at time.Time)) {
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
					tell(k-1, v, from, at.Add(-fetch))
					left, k = left-(k-1), 1
				}
			}
			tell(k, v, from, at)
			left -= k
		}
	}
}

// simulatedLateness sums up how much later than they must tasks would start in the room,
// were some machines not there.
func (f *fleetPlanner) simulatedLateness(r *freeCapacity, demands []demand, without map[*machine]bool, charge chargeFunc) time.Duration {
	p := f.newSimulation(copyFreeCapacity(r, without), r.imageIDs, charge)
	var late time.Duration
	for _, d := range demands {
		bound := f.waitObjective(d.job.Workload)
		margin := f.controller.knowledge.safetyMargin(d.job)
		p.simulate(d, func(count int, v *simulatedMachine, from, at time.Time) {
			// Worse than any place, however late: else a machine that is the only place
			// for what runs for hours would be let go.
			one := 2 * maxLateness
			if v != nil {
				one = min(max(0, at.Add(margin).Sub(d.startDeadline(p.now, from))), maxLateness)
				if bound > 0 {
					one += max(0, at.Sub(from)-bound)
				}
			}
			late += time.Duration(count) * one
		})
	}
	return late
}

// newMachineFetchTime is how long a new machine takes to fetch the image.
func newMachineFetchTime(f *model.MachineType, j *job) time.Duration {
	if f.ImageFetchRate <= 0 {
		return 0
	}
	return record.DurationOfSeconds(j.ImageGB / f.ImageFetchRate)
}

// expectedOccupancy is how long a task of the job is expected to hold its room.
func (f *fleetPlanner) expectedOccupancy(j *job) time.Duration {
	if j.LongRunning {
		return forever
	}
	return max(f.controller.knowledge.expectedRunTime(j), time.Second)
}

// zoneLimits keeps machines from being rented in a zone where same_place or apart
// keep the job's tasks from starting.
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
