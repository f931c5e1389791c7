package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
)

// freeCapacity holds the present machines with the capacity that is free now and the capacity that
// their live tasks will release. imageIDs maps the names of the machines' images to image numbers.
type freeCapacity struct {
	machines []*simulatedMachine
	imageIDs map[string]int32
}

// spareReleases is the number of further releases for which copyFreeCapacity allocates memory in each
// copy of a machine.
const spareReleases = 2

// copyFreeCapacity copies the machines of capacity, except those in without, so that a simulation can change
// the copies.
func copyFreeCapacity(capacity *freeCapacity, without map[*machine]bool) []*simulatedMachine {
	copies := make([]*simulatedMachine, 0, len(capacity.machines))
	storage := make([]simulatedMachine, len(capacity.machines))
	total := 0
	for _, v := range capacity.machines {
		total += len(v.releases) + spareReleases
	}
	releases := make([]release, total)
	for i, v := range capacity.machines {
		if without[v.machine] {
			continue
		}
		storage[i] = *v
		k := copy(releases, v.releases)
		storage[i].releases = releases[: k : k+spareReleases]
		releases = releases[k+spareReleases:]
		copies = append(copies, &storage[i])
	}
	return copies
}

// simulatedMachine is a machine in a simulation: its free capacity from some time on, and the capacity
// that tasks will release later. Times count from the current time of the simulation.
type simulatedMachine struct {
	machineKind machineKind
	index       int32
	// machine is nil for a machine that is not ready yet.
	machine *machine
	idle    bool

	// cached and fetchingImages are the numbers of the images that the machine holds and that it
	// is fetching. placedImages are those that tasks placed by the simulation cause it to fetch.
	cached, fetchingImages, placedImages []int32
	// placements counts the calls of placeTasks.
	placements int
	// secondsPerGB is the time to fetch one GB of an image. fetchingSecondsPerGB is the average
	// time left per GB for an image that is being fetched.
	secondsPerGB, fetchingSecondsPerGB float64

	// free is the capacity that is free from the time freeFrom on. releases, ordered by time, are
	// the amounts that become free later.
	freeFrom time.Duration
	free     model.Resources
	releases []release

	// packingProfile is the packing profile of the machine type, or nil if the type has none.
	// nonGPUFree is the capacity that tasks which avoid GPUs may use.
	packingProfile *packing.Profile
	nonGPUFree     model.Resources
}

// release is capacity that becomes free at a time, when some tasks end.
type release struct {
	at   time.Duration
	need model.Resources
}

// earliestStart returns when a task first fits on the machine, and whether it ever does. All tasks of a
// gang need their capacity at once, so capacity that is released later does not count for them.
func (simMachine *simulatedMachine) earliestStart(need model.Resources, gang, avoidGPUs bool) (time.Duration, bool) {
	free := simMachine.free
	if need.Fits(simMachine.freeFor(free, avoidGPUs)) {
		return simMachine.freeFrom, true
	}
	if gang {
		return 0, false
	}
	for i := range simMachine.releases {
		e := &simMachine.releases[i]
		free = free.AddScaled(e.need, 1)
		if need.Fits(simMachine.freeFor(free, avoidGPUs)) {
			return max(simMachine.freeFrom, e.at), true
		}
	}
	return 0, false
}

// placeTasks places up to count tasks, which start at the time at and run for the time run, and returns
// how many fit. at is not before the time that earliestStart returned for such a task.
func (simMachine *simulatedMachine) placeTasks(need model.Resources, at, run time.Duration, count int, avoidGPUs bool) int {
	for len(simMachine.releases) > 0 && !need.Fits(simMachine.freeFor(simMachine.free, avoidGPUs)) {
		simMachine.free = simMachine.free.AddScaled(simMachine.releases[0].need, 1)
		simMachine.freeFrom = max(simMachine.freeFrom, simMachine.releases[0].at)
		simMachine.releases = simMachine.releases[1:]
	}
	placed := max(1, min(count, simMachine.freeFor(simMachine.free, avoidGPUs).FitCount(need)))
	simMachine.placements++
	if avoidGPUs {
		simMachine.nonGPUFree = simMachine.nonGPUFree.AddScaled(need, -float64(placed))
	}
	simMachine.free = simMachine.free.AddScaled(need, -float64(placed))
	end := release{at + run, model.Resources{}.AddScaled(need, float64(placed))}
	i, _ := slices.BinarySearchFunc(simMachine.releases, end, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	simMachine.releases = slices.Insert(simMachine.releases, i, end)
	return placed
}

// expectedToReport reports whether a machine has sent no heartbeat since this controller took its shard
// over, but most likely will, because the cloud lists it as running. Planning counts such a machine as
// present. If a successor counted only machines that have sent heartbeats, it would rent hundreds of
// others, which would then stand idle.
func (planner *fleetPlanner) expectedToReport(m *machine) bool {
	shardLeader := planner.controller.shardLeader
	if m.heard || m.releasing || m.faulty || m.size.CPU <= 0 || planner.now.Sub(shardLeader.readyAt) > 2*planner.maxHeartbeatInterval() || planner.view == nil {
		return false
	}
	rental := planner.view.rentals[m.id]
	return rental != nil && rental.status == "running" && !rental.releasing
}

// futureFreeCapacity returns each usable machine with its free capacity and the capacity that its live
// tasks will release, as far as their expected ends are known. A task is assumed to run for at least
// another fifth of its expected run time, also when it has already run for longer than expected.
func (planner *fleetPlanner) futureFreeCapacity() *freeCapacity {
	shardLeader := planner.controller.shardLeader
	capacity := &freeCapacity{machines: make([]*simulatedMachine, 0, len(shardLeader.machinesByID)), imageIDs: map[string]int32{}}
	storage := make([]simulatedMachine, len(shardLeader.machinesByID))
	attempts, images := 0, 0
	for _, m := range shardLeader.machinesByID {
		attempts += len(m.attempts) + 1
		images += len(m.images)
	}
	releases, ids := make([]release, 0, attempts), make([]int32, 0, images)
	profile := shardLeader.scheduler.currentPackingProfile()
	for i, m := range shardLeader.machinesByID {
		if !shardLeader.scheduler.usable(m) && !planner.expectedToReport(m) || m.reservedFor != "" {
			continue
		}
		simMachine := &storage[i]
		*simMachine = simulatedMachine{machineKind: machineKind{m.machineType, m.zone, m.spot}, machine: m, idle: m.isEmpty(), free: m.free(), packingProfile: profile.profileFor(m.machineType)}
		if simMachine.packingProfile != nil && !simMachine.idle {
			simMachine.nonGPUFree = simMachine.packingProfile.NonGPUCapacity(simMachine.free, shardLeader.scheduler.nonGPUUse(m))
		}
		releases = planner.addReleases(simMachine, releases)
		ids = capacity.addImages(simMachine, ids)
		rate := planner.controller.knowledge.imageFetchRate(m)
		simMachine.secondsPerGB, simMachine.fetchingSecondsPerGB = float64(1+len(simMachine.fetchingImages))/rate, 1/rate/2
		capacity.machines = append(capacity.machines, simMachine)
	}
	return capacity
}

// addReleases sets the releases of a machine to what the machine's live tasks release at their expected
// ends, ordered by time. It appends the releases to the given slice, which has capacity for those of all
// machines, and returns the extended slice.
func (planner *fleetPlanner) addReleases(simMachine *simulatedMachine, releases []release) []release {
	start := len(releases)
	for k, attempt := range simMachine.machine.attempts {
		j := planner.controller.shardLeader.jobs[k.job]
		if j.LongRunning {
			continue
		}
		run := planner.controller.knowledge.expectedRunTime(j)
		left := run
		switch {
		case attempt.inherited:
			// For an inherited attempt only the placement time is known, not its start.
			left = max(run-planner.now.Sub(time.UnixMilli(attempt.groupStart)), run/5)
		case !attempt.startedAt.IsZero():
			left = max(run-planner.now.Sub(attempt.startedAt), run/5)
		}
		releases = append(releases, release{left, j.Need})
	}
	simMachine.releases = releases[start:len(releases):len(releases)]
	slices.SortFunc(simMachine.releases, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory))
	})
	return releases
}

// addImages sets the machine's cached and fetchingImages to the numbers of the images that the machine
// holds and fetches, and assigns numbers to new images. It appends the numbers to ids, which has capacity
// for those of all machines, and returns the extended slice.
func (capacity *freeCapacity) addImages(simMachine *simulatedMachine, ids []int32) []int32 {
	// The numbers of the cached images come first, then those of the images being fetched.
	start, cached := len(ids), 0
	for name, img := range simMachine.machine.images {
		id, ok := capacity.imageIDs[name]
		if !ok {
			id = int32(len(capacity.imageIDs))
			capacity.imageIDs[name] = id
		}
		ids = append(ids, id)
		if img.cached {
			ids[len(ids)-1], ids[start+cached] = ids[start+cached], id
			cached++
		}
	}
	simMachine.cached, simMachine.fetchingImages = ids[start:start+cached:start+cached], ids[start+cached:len(ids):len(ids)]
	return ids
}
