package controller

import (
	"time"

	"github.com/micahill/micahill/internal/boottime"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// machineTypesInterval is the time between reads of the machine types and prices.
const machineTypesInterval = 30 * time.Second

// fleetKnowledge is what a controller knows about machines and workloads in every role: prices
// and capacities, how long machines take to be ready, how accurate estimates of run times are,
// and what other shard leaders publish. Its methods may be called at any time within Step.
//
// It survives the loss of shard leadership, so that a controller that takes over a shard plans
// with what it learnt before. None of it is stored: after a restart it is learnt again from the
// cloud, from heartbeats and from the updates of peers.
type fleetKnowledge struct {
	component

	// machineTypes is the cloud's list of machine types by name; it is empty before the first
	// read.
	machineTypes map[string]model.MachineType
	// provisioningTimes estimates how long machines of each kind take to be ready.
	provisioningTimes map[machineKind]*boottime.Estimator
	// estimators, by workload, correct the estimates of run times that users give.
	estimators map[string]*estimator
	// released holds the machines whose release was requested. Neither an old list nor a late
	// heartbeat may bring them back into use. Entries are never removed.
	released map[string]bool

	// inheritedLoads is what other shard leaders last published about the workloads of their
	// teams.
	inheritedLoads map[workloadKey]message.WorkloadLoad
	// predecessorMachines is what other shard leaders last published about their machines.
	// Entries older than machineUpdateTTL are pruned.
	predecessorMachines map[string]predecessorMachine
	// predecessorsPrunedAt is when predecessorMachines was last pruned.
	predecessorsPrunedAt time.Time
}

// init creates the maps.
func (knowledge *fleetKnowledge) init() {
	knowledge.provisioningTimes = map[machineKind]*boottime.Estimator{}
	knowledge.estimators = map[string]*estimator{}
	knowledge.released = map[string]bool{}
	knowledge.inheritedLoads = map[workloadKey]message.WorkloadLoad{}
	knowledge.predecessorMachines = map[string]predecessorMachine{}
}

// markReleased records that the release of a machine was requested. The machine never gets a
// task again, whatever the outcome of the request.
func (knowledge *fleetKnowledge) markReleased(id string) { knowledge.released[id] = true }

// inheritLoad stores what another shard leader published about a workload. Its estimator
// replaces this controller's own if this controller leads no shard or has fewer samples.
func (knowledge *fleetKnowledge) inheritLoad(load message.WorkloadLoad, leadsNoShard bool) {
	knowledge.inheritedLoads[workloadKey{load.Team, load.Workload}] = load
	if known := knowledge.estimators[load.Workload]; load.Samples > 0 && (leadsNoShard || known == nil || known.samples < load.Samples) {
		knowledge.estimators[load.Workload] = &estimator{ratio: load.RunTimeRatio, deviation: load.Deviation, samples: load.Samples}
	}
}

// recordMachineUpdates stores what another shard leader published about its machines.
func (knowledge *fleetKnowledge) recordMachineUpdates(updates []message.MachineUpdate) {
	for _, update := range updates {
		knowledge.predecessorMachines[update.ID] = predecessorMachine{MachineUpdate: update, receivedAt: knowledge.now}
	}
	if len(updates) > 0 && knowledge.now.Sub(knowledge.predecessorsPrunedAt) > machineUpdateTTL {
		// Machines that no shard leader publishes any more are gone. Readers check the age of an
		// entry themselves, so pruning may be late.
		knowledge.predecessorsPrunedAt = knowledge.now
		for id, predecessor := range knowledge.predecessorMachines {
			if knowledge.now.Sub(predecessor.receivedAt) > machineUpdateTTL {
				delete(knowledge.predecessorMachines, id)
			}
		}
	}
}

// setMachineTypes replaces the list of machine types.
func (knowledge *fleetKnowledge) setMachineTypes(types []model.MachineType) {
	knowledge.machineTypes = map[string]model.MachineType{}
	for _, t := range types {
		knowledge.machineTypes[t.Name] = t
	}
}

// cheapestCPUCost returns the lowest cost of a CPU per hour among all kinds of machines.
func (knowledge *fleetKnowledge) cheapestCPUCost() float64 {
	low := 0.0
	for _, machineType := range knowledge.machineTypes {
		for _, price := range [...]float64{machineType.CostPerHour, machineType.SpotCostPerHour} {
			if perCPU := price / max(machineType.Capacity.CPU, 1); perCPU > 0 && (low == 0 || perCPU < low) {
				low = perCPU
			}
		}
	}
	return max(low, 1e-9)
}

// fittingMachineTypes returns the names of the machine types on which a task of the job fits, in
// no particular order.
func (knowledge *fleetKnowledge) fittingMachineTypes(spec *model.JobSpec) []string {
	var out []string
	for name, machineType := range knowledge.machineTypes {
		if spec.Need.Fits(machineType.Capacity) && spec.AllowsMachineType(name) {
			out = append(out, name)
		}
	}
	return out
}

// fetchTime returns how long a machine takes until it has the image of a job.
func (knowledge *fleetKnowledge) fetchTime(machine *machine, job *job) time.Duration {
	fetching := 0
	for _, image := range machine.images {
		if !image.cached {
			fetching++
		}
	}
	return record.DurationOfSeconds(machine.fetchSeconds(job, fetching, knowledge.imageFetchRate(machine)))
}

// imageFetchRate returns how many GB of images a machine fetches per second, or 1 if the rate is
// not known.
func (knowledge *fleetKnowledge) imageFetchRate(machine *machine) float64 {
	if rate := knowledge.machineTypes[machine.machineType].ImageFetchRate; rate > 0 {
		return rate
	}
	return 1
}

// costPerHour returns the price of a machine per hour, multiplied by the policy's cost factor
// for its type.
func (knowledge *fleetKnowledge) costPerHour(kind machineKind) float64 {
	machineType := knowledge.machineTypes[kind.machineType]
	cost := machineType.CostPerHour
	if kind.spot {
		cost = machineType.SpotCostPerHour
	}
	if factor, ok := knowledge.settings.Policy.CostFactors[kind.machineType]; ok && factor > 0 {
		cost *= factor
	}
	return cost
}

// costPerCPU returns the cost of one CPU of a machine per hour.
func (knowledge *fleetKnowledge) costPerCPU(machine *machine) float64 {
	return knowledge.costPerHour(machineKind{machine.machineType, machine.zone, machine.spot}) / max(machine.size.CPU, 1)
}

// loadMachineTypes reads the machine types from the cloud every machineTypesInterval, and
// retries failed reads after a second.
func (controller *Controller) loadMachineTypes() {
	controller.requests.toCloud(message.CloudRequest{Kind: message.CloudListTypes}, func(response message.CloudResponse) {
		if response.Status == message.CloudOK {
			controller.knowledge.setMachineTypes(response.MachineTypes)
			if controller.shardLeader != nil {
				for _, machine := range controller.shardLeader.machines {
					if machineType, ok := controller.knowledge.machineTypes[machine.machineType]; ok {
						machine.size, machine.diskGB = machineType.Capacity, machineType.DiskGB
					}
				}
			}
			controller.after(controller.jitter(machineTypesInterval), controller.loadMachineTypes)
			return
		}
		controller.after(controller.jitter(time.Second), controller.loadMachineTypes)
	})
}

// safetyMargin returns the time reserved for the uncertainty of a job's run time.
func (knowledge *fleetKnowledge) safetyMargin(job *job) time.Duration {
	if job.LongRunning {
		// A long-running job has no deadline for its end.
		return minSafetyMargin
	}
	fraction := minSafetyFraction
	if estimator := knowledge.estimators[job.Workload]; estimator != nil && len(job.sortedRunTimes) == 0 {
		fraction = max(fraction, min(estimator.deviation, 1))
	}
	return minSafetyMargin + time.Duration(fraction*float64(knowledge.expectedRunTime(job)))
}

// planningHorizon returns how far ahead demand is planned: the mean time until a newly rented
// machine is ready.
func (knowledge *fleetKnowledge) planningHorizon() time.Duration {
	var sum time.Duration
	for _, machineType := range knowledge.machineTypes {
		sum += machineType.ProvisioningTime
	}
	return sum / time.Duration(max(1, len(knowledge.machineTypes)))
}
