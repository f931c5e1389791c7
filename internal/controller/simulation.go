package controller

import (
	"maps"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

const (
	// simulatedVisitLimit is the number of visits to which a simulation of a small pool is limited;
	// see nextVisit.
	simulatedVisitLimit = 4000
	// minSafetyMargin plus at least minSafetyFraction of the run time is the margin that planning
	// leaves before a deadline, since run times are only estimates.
	minSafetyMargin   = 5 * time.Second
	minSafetyFraction = 0.25
	// forever is the run time assumed for the tasks of long-running jobs, and the fetch time
	// assumed where no bound is set.
	forever = 24 * time.Hour
	// maxLateness bounds the lateness that simulatedLateness counts for a task's deadline. A task
	// that fits nowhere counts twice as much.
	maxLateness = 10 * time.Minute
)

// simulation predicts on which machine and when each task would start. Its time now is the moment
// at which it was created, also when a planning pass continues it in later steps. It changes only its
// own copies of the machines.
type simulation struct {
	controller *Controller
	now        time.Time
	machines   []*simulatedMachine
	// imageIDs maps image names to image numbers. imageHolders lists, by image number, the indexes
	// of the machines that have the image.
	imageIDs     map[string]int32
	imageHolders [][]int32
	// queues holds the machines for each task shape placed so far, ordered by when such a task
	// could start there.
	queues map[taskShape]*shapeCandidates
	// neededCache caches the results of isNeededElsewhere by workload and machine type.
	neededCache map[[2]string]bool
	// refusedKinds holds the machine kinds that the cloud has recently refused, and those whose
	// machines do not become ready.
	refusedKinds map[machineKind]bool
	// surplus counts the machines of each kind that other shard leaders can hand over.
	surplus map[machineKind]int
	// visits counts the calls of nextVisit.
	visits int
	// charge is called with the computation done; nil means that the simulation is not limited.
	charge chargeFunc
}

// chargeFunc is called with the amount of computation done, in units of about a tenth of a microsecond.
// It may suspend the planning pass for a while, and returns whether the pass continues.
type chargeFunc func(units int) bool

// visitUnits is the cost of placing some equal tasks on one machine, in the units of chargeFunc.
const visitUnits = 8

// newSimulation creates a simulation on the given machines, which the simulation may change. images
// maps the names of the images to the numbers that the machines use for them.
func (planner *fleetPlanner) newSimulation(machines []*simulatedMachine, images map[string]int32, charge chargeFunc) *simulation {
	sim := &simulation{controller: planner.controller, now: planner.now, machines: machines, imageIDs: images, charge: charge, refusedKinds: map[machineKind]bool{}}
	if v := planner.view; v != nil {
		for k, until := range v.blockedUntil {
			sim.refusedKinds[k] = until.After(planner.now)
		}
		for k := range planner.neverReadyKinds {
			sim.refusedKinds[k] = true
		}
		sim.surplus = maps.Clone(v.surplus)
	}
	for i, v := range machines {
		v.index = int32(i)
	}
	sim.indexImages()
	return sim
}

// spend charges units of computation and returns whether to continue.
func (sim *simulation) spend(units int) bool { return sim.charge == nil || sim.charge(units) }

// nextVisit counts one more visit, the placement of some equal tasks on one machine, and returns whether
// to continue. Visits are bounded by the size of the pool, not by the number of pending tasks.
func (sim *simulation) nextVisit() bool {
	sim.visits++
	return sim.spend(visitUnits) && sim.visits <= max(simulatedVisitLimit, 2*len(sim.machines))
}

// addProvisioning adds a machine of a kind that becomes ready at the given time, and returns it.
func (sim *simulation) addProvisioning(kind machineKind, ready time.Time) *simulatedMachine {
	machineType := sim.controller.knowledge.machineTypes[kind.machineType]
	added := &simulatedMachine{
		machineKind: kind, index: int32(len(sim.machines)), freeFrom: max(0, ready.Sub(sim.now)), free: machineType.Capacity,
		packingProfile: sim.controller.shardLeader.scheduler.currentPackingProfile().profileFor(kind.machineType),
	}
	if machineType.ImageFetchRate > 0 {
		added.secondsPerGB = 1 / machineType.ImageFetchRate
	}
	sim.machines = append(sim.machines, added)
	return added
}

// isNeededElsewhere returns the result of neededElsewhere, which it evaluates once per simulation for
// each workload and machine type.
func (sim *simulation) isNeededElsewhere(j *job, machineType string) bool {
	key := [2]string{j.Workload, machineType}
	needed, ok := sim.neededCache[key]
	if !ok {
		if sim.neededCache == nil {
			sim.neededCache = map[[2]string]bool{}
		}
		needed = sim.controller.shardLeader.fleet.neededElsewhere(&j.JobSpec, machineType)
		sim.neededCache[key] = needed
	}
	return needed
}

// simulate places the tasks of a demand. It calls placed for each number of tasks that start together,
// with their machine, arrival time and start time. The machine is nil for tasks that fit on no machine.
func (sim *simulation) simulate(d demand, placed func(count int, simMachine *simulatedMachine, from, at time.Time)) {
	request := sim.newRequest(d.job)
	for from, left := range d.arrivalBatches(sim.now) {
		for left > 0 {
			if !sim.nextVisit() {
				return
			}
			simMachine, at := sim.bestMachine(request, from, false)
			started := left
			if simMachine != nil {
				var fetch time.Duration
				started, at, fetch = sim.placeTasks(request, simMachine, from, left)
				if fetch > 0 && started > 1 {
					placed(started-1, simMachine, from, at.Add(-fetch))
					left, started = left-(started-1), 1
				}
			}
			placed(started, simMachine, from, at)
			left -= started
		}
	}
}

// simulatedLateness returns the sum of the delays with which the demands' tasks would start beyond
// their deadlines and wait objectives, if only the machines of capacity that are not in without existed.
func (planner *fleetPlanner) simulatedLateness(capacity *freeCapacity, demands []demand, without map[*machine]bool, charge chargeFunc) time.Duration {
	sim := planner.newSimulation(copyFreeCapacity(capacity, without), capacity.imageIDs, charge)
	var total time.Duration
	for _, d := range demands {
		bound := planner.waitObjective(d.job.Workload)
		margin := planner.controller.knowledge.safetyMargin(d.job)
		sim.simulate(d, func(count int, simMachine *simulatedMachine, from, at time.Time) {
			// A task that fits nowhere counts more than any late start. Otherwise the
			// only machine on which tasks of long run time fit would be decommissioned.
			lateness := 2 * maxLateness
			if simMachine != nil {
				lateness = min(max(0, at.Add(margin).Sub(d.startDeadline(sim.now, from))), maxLateness)
				if bound > 0 {
					lateness += max(0, at.Sub(from)-bound)
				}
			}
			total += time.Duration(count) * lateness
		})
	}
	return total
}

// newMachineFetchTime returns how long a new machine takes to fetch the job's image; 0 if the fetch rate
// of the machine type is unknown.
func newMachineFetchTime(machineType *model.MachineType, j *job) time.Duration {
	if machineType.ImageFetchRate <= 0 {
		return 0
	}
	return record.DurationOfSeconds(j.ImageGB / machineType.ImageFetchRate)
}

// expectedOccupancy returns how long a task of the job is expected to occupy its machine.
func (planner *fleetPlanner) expectedOccupancy(j *job) time.Duration {
	if j.LongRunning {
		return forever
	}
	return max(planner.controller.knowledge.expectedRunTime(j), time.Second)
}

// zoneLimits counts a job's live and simulated tasks by zone. It prevents renting machines in zones in
// which the job's SameZone or SpreadZones does not allow more of its tasks.
type zoneLimits struct {
	job       *job
	liveTasks map[string]int
}

// newZoneLimits returns the limits of a job, with the tasks that are live in each zone.
func newZoneLimits(j *job) *zoneLimits {
	limits := &zoneLimits{j, map[string]int{}}
	for zone, tasks := range j.liveByZone {
		if tasks > 0 {
			limits.liveTasks[zone] = tasks
		}
	}
	return limits
}

// capacity returns how many more of the job's tasks may start in a zone.
func (limits *zoneLimits) capacity(zone string) int {
	switch {
	case limits.job.SameZone && len(limits.liveTasks) > 0 && limits.liveTasks[zone] == 0:
		return 0
	case limits.job.SpreadZones:
		return max(0, (len(limits.job.tasks)+1)/2-limits.liveTasks[zone])
	}
	return len(limits.job.tasks)
}

// add counts the given number of further tasks in a zone.
func (limits *zoneLimits) add(zone string, tasks int) { limits.liveTasks[zone] += tasks }
