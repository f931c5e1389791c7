package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/boottime"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// fleetKnowledge TODO.
type fleetKnowledge struct {
	component

	machineTypes map[string]model.MachineType
	// provisioningTimes is what was learnt of how long machines of each kind take to come up.
	provisioningTimes map[machineKind]*boottime.Estimator
	// accuracy of the workloads' estimates outlives a loss of the owner role.
	estimators map[string]*estimator
	// inheritedLoads is what the owner before told of the workloads.
	inheritedLoads map[workloadKey]message.WorkloadLoad
	// released remembers machines whose return was asked for: neither an old
	// list nor a late report may bring them back.
	released map[string]bool
	// predecessorMachines is what other owners last told of their machines.
	predecessorMachines  map[string]predecessorMachine
	predecessorsPrunedAt time.Time
}

// cheapestCPUCost is the lowest price of a processor among all kinds.
func (k *fleetKnowledge) cheapestCPUCost() float64 {
	low := 0.0
	for _, f := range k.machineTypes {
		for _, p := range [...]float64{f.CostPerHour, f.SpotCostPerHour} {
			if u := p / max(f.Capacity.CPU, 1); u > 0 && (low == 0 || u < low) {
				low = u
			}
		}
	}
	return max(low, 1e-9)
}

// fittingMachineTypes names the flavours a task fits.
func (k *fleetKnowledge) fittingMachineTypes(s *model.JobSpec) []string {
	var out []string
	for name, f := range k.machineTypes {
		if s.Need.Fits(f.Capacity) && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, name)) {
			out = append(out, name)
		}
	}
	return out
}

// fetchTime is how long m needs to have the image of j.
func (k *fleetKnowledge) fetchTime(m *machine, j *job) time.Duration {
	fetching := 0
	for _, im := range m.images {
		if !im.cached {
			fetching++
		}
	}
	return record.DurationOfSeconds(m.fetchSeconds(j, fetching, k.imageFetchRate(m)))
}

// imageFetchRate is how many GB a machine fetches in a second, as far as is known.
func (k *fleetKnowledge) imageFetchRate(m *machine) float64 {
	if rate := k.machineTypes[m.machineType].ImageFetchRate; rate > 0 {
		return rate
	}
	return 1
}

func (kk *fleetKnowledge) costPerHour(k machineKind) float64 {
	f := kk.machineTypes[k.machineType]
	p := f.CostPerHour
	if k.spot {
		p = f.SpotCostPerHour
	}
	if w, ok := kk.settings.Policy.CostFactors[k.machineType]; ok && w > 0 {
		p *= w
	}
	return p
}

func (k *fleetKnowledge) costPerCPU(m *machine) float64 {
	return k.costPerHour(machineKind{m.machineType, m.zone, m.spot}) / max(m.size.CPU, 1)
}

func (c *Controller) loadMachineTypes() {
	c.requests.toCloud(message.CloudRequest{Kind: message.CloudListTypes}, func(d message.CloudResponse) {
		if d.Status == message.CloudOK {
			c.knowledge.machineTypes = map[string]model.MachineType{}
			for _, f := range d.MachineTypes {
				c.knowledge.machineTypes[f.Name] = f
			}
			if c.shardLeader != nil {
				for _, m := range c.shardLeader.machines {
					if f, ok := c.knowledge.machineTypes[m.machineType]; ok {
						m.size, m.disk = f.Capacity, f.DiskGB
					}
				}
			}
			c.after(c.jitter(machineTypesInterval), c.loadMachineTypes)
			return
		}
		c.after(c.jitter(time.Second), c.loadMachineTypes)
	})
}

// safetyMargin is the time in hand that the uncertainty of a job's run time asks for.
func (k *fleetKnowledge) safetyMargin(j *job) time.Duration {
	if j.LongRunning {
		// It has no end to be in time.
		return minSafetyMargin
	}
	share := minSafetyFraction
	if e := k.estimators[j.Workload]; e != nil && len(j.sortedRunTimes) == 0 {
		share = max(share, min(e.deviation, 1))
	}
	return minSafetyMargin + time.Duration(share*float64(k.expectedRunTime(j)))
}

// planningHorizon is the time until a machine rented now is of use.
func (k *fleetKnowledge) planningHorizon() time.Duration {
	var sum time.Duration
	for _, f := range k.machineTypes {
		sum += f.ProvisioningTime
	}
	return sum / time.Duration(max(1, len(k.machineTypes)))
}
