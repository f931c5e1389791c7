package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
)

// freeCapacity is the present machines, with what their live tasks will leave, and the numbers of
// their images.
type freeCapacity struct {
	machines []*simulatedMachine
	imageIDs map[string]int32
}

// spareReleases is for how many more releases a copy of a machine has memory at once.
const spareReleases = 2

// copyFreeCapacity copies the machines of r, but those in without, for a simulation to change.
func copyFreeCapacity(r *freeCapacity, without map[*machine]bool) []*simulatedMachine {
	out := make([]*simulatedMachine, 0, len(r.machines))
	all := make([]simulatedMachine, len(r.machines))
	total := 0
	for _, v := range r.machines {
		total += len(v.releases) + spareReleases
	}
	ends := make([]release, total)
	for i, v := range r.machines {
		if without[v.machine] {
			continue
		}
		all[i] = *v
		k := copy(ends, v.releases)
		all[i].releases = ends[: k : k+spareReleases]
		ends = ends[k+spareReleases:]
		out = append(out, &all[i])
	}
	return out
}

// simulatedMachine is a machine in a simulation: its free capacity from some time on, and what live
// tasks will leave later. Times count from the start of the simulation.
type simulatedMachine struct {
	machineKind machineKind
	index       int32
	// machine is nil for one that is not ready yet.
	machine *machine
	idle    bool

	// cached and fetchingImages are the images it holds and fetches now, placedImages those
	// that tasks placed by the simulation will have fetched.
	cached, fetchingImages, placedImages []int32
	// placements counts the calls of placeTasks.
	placements int
	// secondsPerGB is how long it takes to fetch a GB of an image, fetchingSecondsPerGB what is
	// left on average for an image that is being fetched.
	secondsPerGB, fetchingSecondsPerGB float64

	// free is the capacity that is free from at on; releases, by time, is what comes later.
	at       time.Duration
	free     model.Resources
	releases []release

	// packingKind is the usual demand on machines of its type, if they have GPUs; nonGPUFree is
	// what work without GPUs may use.
	packingKind *packing.Profile
	nonGPUFree  model.Resources
}

// release is capacity that the end of some tasks leaves.
type release struct {
	at   time.Duration
	need model.Resources
}

// earliestStart is when a task fits, and whether it ever does. The tasks of a gang need their
// capacity all at once, so capacity that is released later does not count for them.
func (v *simulatedMachine) earliestStart(need model.Resources, gang, avoidGPUs bool) (time.Duration, bool) {
	free := v.free
	if need.Fits(v.freeFor(free, avoidGPUs)) {
		return v.at, true
	}
	if gang {
		return 0, false
	}
	for i := range v.releases {
		e := &v.releases[i]
		free = free.AddScaled(e.need, 1)
		if need.Fits(v.freeFor(free, avoidGPUs)) {
			return max(v.at, e.at), true
		}
	}
	return 0, false
}

// placeTasks lets up to count tasks start at the time that earliestStart gave, or later, and returns
// how many fit.
func (v *simulatedMachine) placeTasks(need model.Resources, at, run time.Duration, count int, avoidGPUs bool) int {
	for len(v.releases) > 0 && !need.Fits(v.freeFor(v.free, avoidGPUs)) {
		v.free = v.free.AddScaled(v.releases[0].need, 1)
		v.at = max(v.at, v.releases[0].at)
		v.releases = v.releases[1:]
	}
	k := max(1, min(count, v.freeFor(v.free, avoidGPUs).FitCount(need)))
	v.placements++
	if avoidGPUs {
		v.nonGPUFree = v.nonGPUFree.AddScaled(need, -float64(k))
	}
	v.free = v.free.AddScaled(need, -float64(k))
	end := release{at + run, model.Resources{}.AddScaled(need, float64(k))}
	i, _ := slices.BinarySearchFunc(v.releases, end, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	v.releases = slices.Insert(v.releases, i, end)
	return k
}

// expectedToReport reports whether a machine has sent no heartbeat since a takeover, but most likely
// will: the cloud lists it as running. For planning it counts as present. A successor that counted
// only machines it had heard from would rent hundreds beside them, which then stand idle.
func (f *fleetPlanner) expectedToReport(m *machine) bool {
	o := f.controller.shardLeader
	if m.heard || m.releasing || m.faulty || m.size.CPU <= 0 || f.now.Sub(o.readyAt) > 2*f.maxHeartbeatInterval() || f.view == nil {
		return false
	}
	r := f.view.rentals[m.id]
	return r != nil && r.status == "running" && !r.releasing
}

// futureFreeCapacity returns each usable machine with what its live tasks will leave, as far as
// their expected ends are known. A task that runs longer than expected is taken to go on for a
// fifth of its expected run time.
func (f *fleetPlanner) futureFreeCapacity() *freeCapacity {
	o := f.controller.shardLeader
	r := &freeCapacity{machines: make([]*simulatedMachine, 0, len(o.machinesByID)), imageIDs: map[string]int32{}}
	all := make([]simulatedMachine, len(o.machinesByID))
	attempts, images := 0, 0
	for _, m := range o.machinesByID {
		attempts += len(m.attempts) + 1
		images += len(m.images)
	}
	ends, ids := make([]release, 0, attempts), make([]int32, 0, images)
	profile := o.scheduler.currentPackingProfile()
	for i, m := range o.machinesByID {
		if !o.scheduler.usable(m) && !f.expectedToReport(m) || m.reservedFor != "" {
			continue
		}
		v := &all[i]
		*v = simulatedMachine{machineKind: machineKind{m.machineType, m.zone, m.spot}, machine: m, idle: m.isEmpty(), free: m.free(), packingKind: profile.kind(m.machineType)}
		if v.packingKind != nil && !v.idle {
			v.nonGPUFree = v.packingKind.NonGPUCapacity(v.free, o.scheduler.nonGPUUse(m))
		}
		ends = f.addReleases(v, ends)
		ids = r.addImages(v, ids)
		rate := f.controller.knowledge.imageFetchRate(m)
		v.secondsPerGB, v.fetchingSecondsPerGB = float64(1+len(v.fetchingImages))/rate, 1/rate/2
		r.machines = append(r.machines, v)
	}
	return r
}

// addReleases sets v.releases to the expected ends of the machine's live tasks, in order. It appends
// them to ends, which is large enough for all machines, and returns it.
func (f *fleetPlanner) addReleases(v *simulatedMachine, ends []release) []release {
	start := len(ends)
	for k, t := range v.machine.attempts {
		j := f.controller.shardLeader.jobs[k.job]
		if j.LongRunning {
			continue
		}
		run := f.controller.knowledge.expectedRunTime(j)
		left := run
		switch {
		case t.inherited:
			// When it started is not known here, only when it was placed.
			left = max(run-f.now.Sub(time.UnixMilli(t.groupStart)), run/5)
		case !t.startedAt.IsZero():
			left = max(run-f.now.Sub(t.startedAt), run/5)
		}
		ends = append(ends, release{left, j.Need})
	}
	v.releases = ends[start:len(ends):len(ends)]
	slices.SortFunc(v.releases, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory))
	})
	return ends
}

// addImages numbers the images that the machine holds and fetches. It appends them to ids, which is
// large enough for all machines, and returns it.
func (r *freeCapacity) addImages(v *simulatedMachine, ids []int32) []int32 {
	// The cached images come first, then those being fetched.
	start, cached := len(ids), 0
	for name, im := range v.machine.images {
		id, ok := r.imageIDs[name]
		if !ok {
			id = int32(len(r.imageIDs))
			r.imageIDs[name] = id
		}
		ids = append(ids, id)
		if im.cached {
			ids[len(ids)-1], ids[start+cached] = ids[start+cached], id
			cached++
		}
	}
	v.cached, v.fetchingImages = ids[start:start+cached:start+cached], ids[start+cached:len(ids):len(ids)]
	return ids
}
