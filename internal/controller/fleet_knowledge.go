package controller

import (
	"slices"
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
// with what it learnt before. None of it is stored: after a restart it is learnt anew from the
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
func (k *fleetKnowledge) init() {
	k.provisioningTimes = map[machineKind]*boottime.Estimator{}
	k.estimators = map[string]*estimator{}
	k.released = map[string]bool{}
	k.inheritedLoads = map[workloadKey]message.WorkloadLoad{}
	k.predecessorMachines = map[string]predecessorMachine{}
}

// markReleased records that the release of a machine was requested. The machine never gets a
// task again, whatever the outcome of the request.
func (k *fleetKnowledge) markReleased(id string) { k.released[id] = true }

// inheritLoad stores what another shard leader published about a workload. Its estimator
// replaces this controller's own if this controller leads no shard or has fewer samples.
func (k *fleetKnowledge) inheritLoad(l message.WorkloadLoad, leadsNoShard bool) {
	k.inheritedLoads[workloadKey{l.Team, l.Workload}] = l
	if e := k.estimators[l.Workload]; l.Samples > 0 && (leadsNoShard || e == nil || e.samples < l.Samples) {
		k.estimators[l.Workload] = &estimator{ratio: l.RunTimeRatio, deviation: l.Deviation, samples: l.Samples}
	}
}

// recordMachineUpdates stores what another shard leader published about its machines.
func (k *fleetKnowledge) recordMachineUpdates(updates []message.MachineUpdate) {
	for _, u := range updates {
		k.predecessorMachines[u.ID] = predecessorMachine{MachineUpdate: u, receivedAt: k.now}
	}
	if len(updates) > 0 && k.now.Sub(k.predecessorsPrunedAt) > machineUpdateTTL {
		// Machines that no shard leader publishes any more are gone. Readers check the age of an
		// entry themselves, so pruning may be late.
		k.predecessorsPrunedAt = k.now
		for id, m := range k.predecessorMachines {
			if k.now.Sub(m.receivedAt) > machineUpdateTTL {
				delete(k.predecessorMachines, id)
			}
		}
	}
}

// setMachineTypes replaces the list of machine types.
func (k *fleetKnowledge) setMachineTypes(types []model.MachineType) {
	k.machineTypes = map[string]model.MachineType{}
	for _, t := range types {
		k.machineTypes[t.Name] = t
	}
}

// cheapestCPUCost returns the lowest cost of a CPU per hour among all kinds of machines.
func (k *fleetKnowledge) cheapestCPUCost() float64 {
	low := 0.0
	for _, machineType := range k.machineTypes {
		for _, p := range [...]float64{machineType.CostPerHour, machineType.SpotCostPerHour} {
			if u := p / max(machineType.Capacity.CPU, 1); u > 0 && (low == 0 || u < low) {
				low = u
			}
		}
	}
	return max(low, 1e-9)
}

// fittingMachineTypes returns the names of the machine types on which a task of the job fits, in
// no particular order.
func (k *fleetKnowledge) fittingMachineTypes(s *model.JobSpec) []string {
	var out []string
	for name, machineType := range k.machineTypes {
		if s.Need.Fits(machineType.Capacity) && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, name)) {
			out = append(out, name)
		}
	}
	return out
}

// fetchTime returns how long machine m takes until it has the image of job j.
func (k *fleetKnowledge) fetchTime(m *machine, j *job) time.Duration {
	fetching := 0
	for _, im := range m.images {
		if !im.cached {
			fetching++
		}
	}
	return record.DurationOfSeconds(m.fetchSeconds(j, fetching, k.imageFetchRate(m)))
}

// imageFetchRate returns how many GB of images a machine fetches per second, or 1 if the rate is
// not known.
func (k *fleetKnowledge) imageFetchRate(m *machine) float64 {
	if rate := k.machineTypes[m.machineType].ImageFetchRate; rate > 0 {
		return rate
	}
	return 1
}

// costPerHour returns the price of a machine per hour, multiplied by the policy's cost factor
// for its type.
func (k *fleetKnowledge) costPerHour(kind machineKind) float64 {
	machineType := k.machineTypes[kind.machineType]
	cost := machineType.CostPerHour
	if kind.spot {
		cost = machineType.SpotCostPerHour
	}
	if w, ok := k.settings.Policy.CostFactors[kind.machineType]; ok && w > 0 {
		cost *= w
	}
	return cost
}

// costPerCPU returns the cost of one CPU of a machine per hour.
func (k *fleetKnowledge) costPerCPU(m *machine) float64 {
	return k.costPerHour(machineKind{m.machineType, m.zone, m.spot}) / max(m.size.CPU, 1)
}

// loadMachineTypes reads the machine types from the cloud every machineTypesInterval, and
// retries failed reads after a second.
func (c *Controller) loadMachineTypes() {
	c.requests.toCloud(message.CloudRequest{Kind: message.CloudListTypes}, func(d message.CloudResponse) {
		if d.Status == message.CloudOK {
			c.knowledge.setMachineTypes(d.MachineTypes)
			if c.shardLeader != nil {
				for _, m := range c.shardLeader.machines {
					if machineType, ok := c.knowledge.machineTypes[m.machineType]; ok {
						m.size, m.disk = machineType.Capacity, machineType.DiskGB
					}
				}
			}
			c.after(c.jitter(machineTypesInterval), c.loadMachineTypes)
			return
		}
		c.after(c.jitter(time.Second), c.loadMachineTypes)
	})
}

// safetyMargin returns the time reserved for the uncertainty of a job's run time.
func (k *fleetKnowledge) safetyMargin(j *job) time.Duration {
	if j.LongRunning {
		// A long-running job has no deadline for its end.
		return minSafetyMargin
	}
	fraction := minSafetyFraction
	if e := k.estimators[j.Workload]; e != nil && len(j.sortedRunTimes) == 0 {
		fraction = max(fraction, min(e.deviation, 1))
	}
	return minSafetyMargin + time.Duration(fraction*float64(k.expectedRunTime(j)))
}

// planningHorizon returns how far ahead demand is planned: the mean time until a newly rented
// machine is ready.
func (k *fleetKnowledge) planningHorizon() time.Duration {
	var sum time.Duration
	for _, machineType := range k.machineTypes {
		sum += machineType.ProvisioningTime
	}
	return sum / time.Duration(max(1, len(k.machineTypes)))
}
