// Package packing rates where on machines with GPUs a task should be placed. A small replica
// fits on many machines, a large one only where enough is free on one machine; so a place is
// rated by what could no longer be placed there, and an empty machine is kept empty while
// others have free capacity. The unit is seconds, those of the image fetch that it takes to
// move a replica away again, so that cached images and fragmentation add up to one rating.
// Which sizes are usual is learnt from the tasks there are; no workload is known by its name.
package packing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

const (
	// maxSizes bounds the sizes that a place is rated by: those that take most GPUs.
	maxSizes = 8
	// migrationOverhead is how long a migration takes besides the image fetch: the write of its
	// record, the stop until it is confirmed, and the start.
	migrationOverhead = 5 * time.Second
)

// Demand is the tasks of one size that run, wait or were submitted lately.
type Demand struct {
	Need  resource.Resources
	Tasks int
	// GB is the size of their image.
	GB float64
	// HasWaiting says that some of them wait to be placed.
	HasWaiting bool
}

// SizeValue is a size of tasks and what it costs to lose a place for one, in seconds.
type SizeValue struct {
	Need        resource.Resources
	LossSeconds float64
}

// Profile is what is usual on the machines of a kind with GPUs.
type Profile struct {
	machineSize resource.Resources
	sizeValues  []SizeValue
	// migrationSeconds is how long it takes to move a replica that is in the way.
	migrationSeconds float64
	// perGPU is the CPU and memory that each GPU needs, so that every usual size can use it.
	perGPU resource.Resources
}

// NewProfile learns what is usual on machines of a size, which fetch images at fetchRate GB per
// second. It returns nil if they have no GPU, or no demand could use one. The whole machine
// always counts as if a task waited for it: what needs it fits nowhere else, and is rare.
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
	gpuSum, tasks, gb := 0.0, 0, 0.0
	for _, s := range distinct {
		gpuSum, tasks, gb = gpuSum+s.totalGPUs(), tasks+s.Tasks, gb+s.GB*float64(s.Tasks)
	}
	profile.migrationSeconds = migrationOverhead.Seconds()
	if fetchRate > 0 {
		profile.migrationSeconds += gb / float64(tasks) / fetchRate
	}
	for _, s := range distinct {
		fraction := s.totalGPUs() / gpuSum
		if s.HasWaiting {
			fraction = 1
		}
		profile.sizeValues = append(profile.sizeValues, SizeValue{s.Need, fraction * profile.migrationSeconds})
	}
	wholeMachine := SizeValue{resource.Resources{CPU: profile.perGPU.CPU * size.GPU, GPU: size.GPU, Memory: profile.perGPU.Memory * size.GPU}, profile.migrationSeconds}
	if i := slices.IndexFunc(profile.sizeValues, func(u SizeValue) bool { return u.Need.GPU > size.GPU-resource.Tolerance }); i >= 0 {
		profile.sizeValues[i].LossSeconds = profile.migrationSeconds
	} else {
		profile.sizeValues = append(profile.sizeValues, wholeMachine)
	}
	return profile
}

// mergeBySize is the demand for GPUs that fits on a machine, one of each size: those with waiting
// tasks first, then those that take most GPUs.
func mergeBySize(size resource.Resources, demands []Demand) []Demand {
	var distinct []Demand
	for _, s := range demands {
		if s.Need.GPU <= resource.Tolerance || s.Tasks <= 0 || !s.Need.Fits(size) {
			continue
		}
		i := slices.IndexFunc(distinct, func(o Demand) bool { return o.Need == s.Need })
		if i < 0 {
			distinct = append(distinct, s)
			continue
		}
		o := &distinct[i]
		o.GB = (o.GB*float64(o.Tasks) + s.GB*float64(s.Tasks)) / float64(o.Tasks+s.Tasks)
		o.Tasks += s.Tasks
		o.HasWaiting = o.HasWaiting || s.HasWaiting
	}
	slices.SortFunc(distinct, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(waitingFirst(b), waitingFirst(a)), cmp.Compare(b.totalGPUs(), a.totalGPUs()), cmp.Compare(b.Need.GPU, a.Need.GPU),
			cmp.Compare(b.Need.CPU, a.Need.CPU), cmp.Compare(b.Need.Memory, a.Need.Memory))
	})
	return distinct
}

// needPerGPU is the most CPU and memory that a size needs for each GPU. Sizes that can't use all
// GPUs of an empty machine don't count.
func needPerGPU(size resource.Resources, demands []Demand) resource.Resources {
	var perGPU resource.Resources
	for _, s := range demands {
		if g := s.Need.GPU; size.GPU/g*s.Need.CPU <= size.CPU+resource.Tolerance && size.GPU/g*s.Need.Memory <= size.Memory+resource.Tolerance {
			perGPU.CPU, perGPU.Memory = max(perGPU.CPU, s.Need.CPU/g), max(perGPU.Memory, s.Need.Memory/g)
		}
	}
	return perGPU
}

// totalGPUs is how many GPUs all tasks of a size take.
func (s Demand) totalGPUs() float64 { return float64(s.Tasks) * s.Need.GPU }

func waitingFirst(s Demand) int {
	if s.HasWaiting {
		return 1
	}
	return 0
}

// FragmentationCost is what it costs, in seconds, to place a task on a machine with so much free:
// for each usual size, the places lost beyond those that the task itself stands for. The
// more of a partly used machine is free, the likelier it is evacuated, with one more replica
// to move.
func (k *Profile) FragmentationCost(free, need resource.Resources) float64 {
	remaining := free.AddScaled(need, -1)
	cost := 0.0
	for i := range k.sizeValues {
		u := &k.sizeValues[i]
		before := free.FitCount(u.Need)
		if before == 0 {
			continue
		}
		if lostPlaces := float64(before-remaining.FitCount(u.Need)) - need.GPU/u.Need.GPU; lostPlaces > 0 {
			cost += lostPlaces * u.LossSeconds
		}
	}
	if need.GPU > resource.Tolerance && free.GPU < k.machineSize.GPU-resource.Tolerance {
		openFraction := max(0, remaining.GPU) / k.machineSize.GPU
		cost += openFraction * openFraction * k.migrationSeconds
	}
	return cost
}

// NonGPUSurplus is the part of the free capacity that none of its GPUs needs.
func (k *Profile) NonGPUSurplus(free resource.Resources) resource.Resources {
	r := free.AddScaled(k.perGPU, -max(0, free.GPU))
	return resource.Resources{CPU: max(0, r.CPU), Memory: max(0, r.Memory)}
}

// NonGPUCapacity is the free capacity for tasks without GPUs: what no GPU needs, neither those
// that are free now nor those that will be when all tasks with GPUs have gone. nonGPUUsed is
// what tasks without GPUs take already.
func (k *Profile) NonGPUCapacity(free, nonGPUUsed resource.Resources) resource.Resources {
	now, empty := k.NonGPUSurplus(free), k.NonGPUSurplus(k.machineSize.AddScaled(nonGPUUsed, -1))
	return resource.Resources{CPU: min(now.CPU, empty.CPU), Memory: min(now.Memory, empty.Memory)}
}

// FreeCapacity sums up the free capacity on machines of a kind.
type FreeCapacity struct {
	Machines int
	// WholeMachines counts the machines of which all GPUs are free and can be used.
	WholeMachines int
	// FreeGPUs is how many GPUs are free, and FragmentedGPUs how many of them are on other
	// machines than the whole ones.
	FreeGPUs       float64
	FragmentedGPUs float64
	// LargestFit is the most GPUs that one replica could have now.
	LargestFit float64
}

// Add counts a machine of a size with GPUs, with so much free. profile may be nil if it is
// unknown.
func (r *FreeCapacity) Add(profile *Profile, size, free resource.Resources) {
	r.Machines++
	usable := max(0, free.GPU)
	r.FreeGPUs += usable
	if profile != nil {
		for _, d := range [...][2]float64{{free.CPU, profile.perGPU.CPU}, {free.Memory, profile.perGPU.Memory}} {
			if d[1] > 0 {
				usable = min(usable, max(0, d[0])/d[1])
			}
		}
	}
	usable = math.Floor(usable + resource.Tolerance)
	r.LargestFit = max(r.LargestFit, usable)
	if usable >= size.GPU-resource.Tolerance {
		r.WholeMachines++
	} else {
		r.FragmentedGPUs += max(0, free.GPU)
	}
}
