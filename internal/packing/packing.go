// Package packing says what room on machines with GPUs is worth. A small replica fits in
// many places, a large one only where enough is left in one piece; so a place is rated by
// what could no longer go there: a host that is whole is kept whole while there is room
// beside it. The unit is seconds, those of the fetch that it takes to move somebody away
// again, so that where an image lies and what is left over are one rating. What is usual
// is learnt from the tasks there are; no workload is known by its name.
package packing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

const (
	// maxSizes bounds the sizes that a place is rated by: those that take most.
	maxSizes = 8
	// migrationOverhead is what a move takes beside its fetch: the intent, the stop, its proof and
	// the start. For so long whoever needs the place waits.
	migrationOverhead = 5 * time.Second
)

// Demand is tasks of one size that run, wait or came lately. GB is what their image weighs,
// and Waits says that some of them wait for a place.
type Demand struct {
	Need       resource.Resources
	Tasks      int
	GB         float64
	HasWaiting bool
}

// SizeValue is a size for which room is worth something: how much, in seconds, one place of
// it that is lost costs.
type SizeValue struct {
	Need        resource.Resources
	LossSeconds float64
}

// Profile is a kind of machine with GPUs and what is usual there.
type Profile struct {
	machineSize resource.Resources
	sizeValues  []SizeValue
	// migrationSeconds is what it takes to move a replica that is in the way, in seconds.
	migrationSeconds float64
	// perGPU is what one GPU needs beside it, so that every usual size can use it.
	perGPU resource.Resources
}

// NewProfile learns what is usual on machines of a size that fetch so many GB a second; nil, if
// they have no GPU or nothing is seen that would use one. The whole machine always counts
// as if somebody waited for it: what needs it can go nowhere else, and comes rarely.
func NewProfile(size resource.Resources, fetchRate float64, demands []Demand) *Profile {
	if size.GPU <= resource.Tolerance {
		return nil
	}
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
	if len(distinct) == 0 {
		return nil
	}
	slices.SortFunc(distinct, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(waitingFirst(b), waitingFirst(a)), cmp.Compare(b.totalGPUs(), a.totalGPUs()), cmp.Compare(b.Need.GPU, a.Need.GPU),
			cmp.Compare(b.Need.CPU, a.Need.CPU), cmp.Compare(b.Need.Memory, a.Need.Memory))
	})
	profile := &Profile{machineSize: size}
	for _, s := range distinct {
		// What can't use all GPUs of an empty machine has no say in what the others need.
		if g := s.Need.GPU; size.GPU/g*s.Need.CPU <= size.CPU+resource.Tolerance && size.GPU/g*s.Need.Memory <= size.Memory+resource.Tolerance {
			profile.perGPU.CPU, profile.perGPU.Memory = max(profile.perGPU.CPU, s.Need.CPU/g), max(profile.perGPU.Memory, s.Need.Memory/g)
		}
	}
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

// totalGPUs is how many GPUs all tasks of a size take.
func (s Demand) totalGPUs() float64 { return float64(s.Tasks) * s.Need.GPU }

func waitingFirst(s Demand) int {
	if s.HasWaiting {
		return 1
	}
	return 0
}

// FragmentationCost is what it costs, in seconds, to place a task of some need into what is free on
// a machine: for each usual size the places that are lost beyond the part that the task
// itself takes of them. A machine that is not whole is the likelier emptied by moves the
// more of it is free, and then the task is one more to move.
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

// NonGPUSurplus is what of some free room no GPU there needs beside it.
func (k *Profile) NonGPUSurplus(free resource.Resources) resource.Resources {
	r := free.AddScaled(k.perGPU, -max(0, free.GPU))
	return resource.Resources{CPU: max(0, r.CPU), Memory: max(0, r.Memory)}
}

// NonGPUCapacity is the room for work without GPUs: what no GPU will need, neither those that are
// free now nor those that are free once all work with GPUs has gone. Plain is what work
// without GPUs takes there already.
func (k *Profile) NonGPUCapacity(free, nonGPUUsed resource.Resources) resource.Resources {
	now, empty := k.NonGPUSurplus(free), k.NonGPUSurplus(k.machineSize.AddScaled(nonGPUUsed, -1))
	return resource.Resources{CPU: min(now.CPU, empty.CPU), Memory: min(now.Memory, empty.Memory)}
}

// FreeCapacity is how the room on some machines of a kind lies.
type FreeCapacity struct {
	Machines int
	// WholeMachines counts the machines of which all GPUs are free and can be used.
	WholeMachines int
	// FreeGPUs is how many GPUs are free, and Pieces how many of these on machines that are
	// not whole.
	FreeGPUs       float64
	FragmentedGPUs float64
	// LargestFit is the most GPUs that one replica could have now.
	LargestFit float64
}

// Add counts a machine with so much free, of a size that has GPUs. k is what is usual
// there, nil if nothing is known of it.
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
