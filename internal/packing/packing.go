// Package packing rates on which machine with GPUs a task should be placed. A small replica fits on
// many machines, a large one only where enough GPUs are free on one machine. A placement is therefore
// rated by the tasks of the usual sizes that no longer fit on the machine after it, and an empty machine
// stays empty while other machines have free capacity. Ratings are in seconds: the time for the image
// fetch and restart when a replica is moved away again. Fetch times and fragmentation can therefore be
// added to one rating. The usual sizes follow from the current tasks; the package knows no workload by
// name.
package packing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

const (
	// maxSizes is the largest number of task sizes by which a placement is rated. Sizes with
	// waiting tasks come first, then those whose tasks need the most GPUs in total. The size of a
	// whole machine is added if it is not among them.
	maxSizes = 8
	// migrationOverhead is how long a migration takes besides the image fetch: the write of its
	// record, the stop of the task until the stop is confirmed, and the start.
	migrationOverhead = 5 * time.Second
)

// Demand describes the tasks of one size that run, wait or were submitted recently.
type Demand struct {
	Need  resource.Resources
	Tasks int
	// GB is the average size of the tasks' images.
	GB float64
	// HasWaiting reports whether any of the tasks waits to be placed.
	HasWaiting bool
}

// SizeValue is a task size with the cost, in seconds, of free capacity being lost for one such task.
type SizeValue struct {
	Need        resource.Resources
	LossSeconds float64
}

// Profile holds the usual task sizes and what they need, for machines of one size with GPUs.
type Profile struct {
	machineSize resource.Resources
	sizeValues  []SizeValue
	// migrationSeconds is how long the migration of a replica takes on average.
	migrationSeconds float64
	// perGPU is the CPU and memory to be kept for each GPU, so that every usual size can use the
	// GPU.
	perGPU resource.Resources
}

// NewProfile returns the profile of machines of a size that fetch images at fetchRate GB per second. It
// returns nil if the machines have no GPU, or if no demand for GPUs fits on them. Capacity for a task
// that takes a whole machine always counts as if such a task waited, since such a task fits nowhere else
// and is rare.
func NewProfile(size resource.Resources, fetchRate float64, demands []Demand) *Profile {
	if size.GPU <= resource.Tolerance {
		return nil
	}
	distinct := mergeBySize(size, demands)
	if len(distinct) == 0 {
		return nil
	}
	profile := &Profile{machineSize: size, perGPU: needPerGPU(size, distinct)}
	distinct = distinct[:min(len(distinct), maxSizes)]
	gpuSum, tasks, imageGB := 0.0, 0, 0.0
	for _, demand := range distinct {
		gpuSum, tasks, imageGB = gpuSum+demand.totalGPUs(), tasks+demand.Tasks, imageGB+demand.GB*float64(demand.Tasks)
	}
	profile.migrationSeconds = migrationOverhead.Seconds()
	if fetchRate > 0 {
		profile.migrationSeconds += imageGB / float64(tasks) / fetchRate
	}
	for _, demand := range distinct {
		fraction := demand.totalGPUs() / gpuSum
		if demand.HasWaiting {
			fraction = 1
		}
		profile.sizeValues = append(profile.sizeValues, SizeValue{demand.Need, fraction * profile.migrationSeconds})
	}
	wholeMachine := SizeValue{resource.Resources{CPU: profile.perGPU.CPU * size.GPU, GPU: size.GPU, Memory: profile.perGPU.Memory * size.GPU}, profile.migrationSeconds}
	if i := slices.IndexFunc(profile.sizeValues, func(u SizeValue) bool { return u.Need.GPU > size.GPU-resource.Tolerance }); i >= 0 {
		profile.sizeValues[i].LossSeconds = profile.migrationSeconds
	} else {
		profile.sizeValues = append(profile.sizeValues, wholeMachine)
	}
	return profile
}

// mergeBySize returns the demands for GPUs that fit on a machine, with those of equal size merged into
// one. Demands with waiting tasks come first, then those whose tasks need the most GPUs in total.
func mergeBySize(size resource.Resources, demands []Demand) []Demand {
	var distinct []Demand
	for _, demand := range demands {
		if demand.Need.GPU <= resource.Tolerance || demand.Tasks <= 0 || !demand.Need.Fits(size) {
			continue
		}
		i := slices.IndexFunc(distinct, func(merged Demand) bool { return merged.Need == demand.Need })
		if i < 0 {
			distinct = append(distinct, demand)
			continue
		}
		merged := &distinct[i]
		merged.GB = (merged.GB*float64(merged.Tasks) + demand.GB*float64(demand.Tasks)) / float64(merged.Tasks+demand.Tasks)
		merged.Tasks += demand.Tasks
		merged.HasWaiting = merged.HasWaiting || demand.HasWaiting
	}
	slices.SortFunc(distinct, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(waitingFirst(b), waitingFirst(a)), cmp.Compare(b.totalGPUs(), a.totalGPUs()), cmp.Compare(b.Need.GPU, a.Need.GPU),
			cmp.Compare(b.Need.CPU, a.Need.CPU), cmp.Compare(b.Need.Memory, a.Need.Memory))
	})
	return distinct
}

// needPerGPU returns the most CPU and the most memory that a task of any demand needs for each of its
// GPUs. It ignores demands that can't use all GPUs of an empty machine.
func needPerGPU(size resource.Resources, demands []Demand) resource.Resources {
	var perGPU resource.Resources
	for _, demand := range demands {
		if gpus := demand.Need.GPU; size.GPU/gpus*demand.Need.CPU <= size.CPU+resource.Tolerance && size.GPU/gpus*demand.Need.Memory <= size.Memory+resource.Tolerance {
			perGPU.CPU, perGPU.Memory = max(perGPU.CPU, demand.Need.CPU/gpus), max(perGPU.Memory, demand.Need.Memory/gpus)
		}
	}
	return perGPU
}

// totalGPUs returns how many GPUs the tasks of the demand need in total.
func (demand Demand) totalGPUs() float64 { return float64(demand.Tasks) * demand.Need.GPU }

// waitingFirst returns 1 if some tasks of the demand wait, and otherwise 0, for sorting.
func waitingFirst(demand Demand) int {
	if demand.HasWaiting {
		return 1
	}
	return 0
}

// FragmentationCost returns the cost, in seconds, of placing a task on a machine with the given free
// capacity. For each usual size it counts how many fewer tasks of the size fit afterwards, beyond the
// number that corresponds to the task's own GPUs. For a partly used machine the cost grows with the
// fraction of GPUs left free, since the more of a machine is free, the likelier it is to be evacuated,
// and then one more replica has to be moved.
func (profile *Profile) FragmentationCost(free, need resource.Resources) float64 {
	remaining := free.AddScaled(need, -1)
	cost := 0.0
	for i := range profile.sizeValues {
		sizeValue := &profile.sizeValues[i]
		before := free.FitCount(sizeValue.Need)
		if before == 0 {
			continue
		}
		if lostPlaces := float64(before-remaining.FitCount(sizeValue.Need)) - need.GPU/sizeValue.Need.GPU; lostPlaces > 0 {
			cost += lostPlaces * sizeValue.LossSeconds
		}
	}
	if need.GPU > resource.Tolerance && free.GPU < profile.machineSize.GPU-resource.Tolerance {
		openFraction := max(0, remaining.GPU) / profile.machineSize.GPU
		cost += openFraction * openFraction * profile.migrationSeconds
	}
	return cost
}

// NonGPUSurplus returns the free CPU and memory beyond what the free GPUs need.
func (profile *Profile) NonGPUSurplus(free resource.Resources) resource.Resources {
	surplus := free.AddScaled(profile.perGPU, -max(0, free.GPU))
	return resource.Resources{CPU: max(0, surplus.CPU), Memory: max(0, surplus.Memory)}
}

// NonGPUCapacity returns the free capacity that tasks without GPUs may use: the CPU and memory that
// neither the GPUs that are free now need, nor all GPUs of the machine when the tasks with GPUs have
// ended. nonGPUUsed is what tasks without GPUs already use.
func (profile *Profile) NonGPUCapacity(free, nonGPUUsed resource.Resources) resource.Resources {
	surplusNow, surplusWhenEmpty := profile.NonGPUSurplus(free), profile.NonGPUSurplus(profile.machineSize.AddScaled(nonGPUUsed, -1))
	return resource.Resources{CPU: min(surplusNow.CPU, surplusWhenEmpty.CPU), Memory: min(surplusNow.Memory, surplusWhenEmpty.Memory)}
}

// FreeCapacity sums up the free GPU capacity of machines of one kind.
type FreeCapacity struct {
	Machines int
	// WholeMachines counts the machines whose GPUs are all free and usable.
	WholeMachines int
	// FreeGPUs is the number of free GPUs, and FragmentedGPUs the number of those that are not
	// on whole machines.
	FreeGPUs       float64
	FragmentedGPUs float64
	// LargestFit is the largest number of GPUs that one replica could use on a machine.
	LargestFit float64
}

// Add counts a machine with GPUs, given its size and its free capacity. profile may be nil if the
// machine type has none; all free GPUs then count as usable.
func (capacity *FreeCapacity) Add(profile *Profile, size, free resource.Resources) {
	capacity.Machines++
	usable := max(0, free.GPU)
	capacity.FreeGPUs += usable
	if profile != nil {
		for _, dimension := range [...][2]float64{{free.CPU, profile.perGPU.CPU}, {free.Memory, profile.perGPU.Memory}} {
			if dimension[1] > 0 {
				usable = min(usable, max(0, dimension[0])/dimension[1])
			}
		}
	}
	usable = math.Floor(usable + resource.Tolerance)
	capacity.LargestFit = max(capacity.LargestFit, usable)
	if usable >= size.GPU-resource.Tolerance {
		capacity.WholeMachines++
	} else {
		capacity.FragmentedGPUs += max(0, free.GPU)
	}
}
