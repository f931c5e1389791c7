package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
)

// freeCapacity is the machines there are, with what their running tasks will leave, and
// the numbers of their images.
type freeCapacity struct {
	machines []*simulatedMachine
	imageIDs map[string]int32
}

// endsSpare is the room for more ends that a copy has at once.
const endsSpare = 2

// copyFreeCapacity makes room to play in that leaves the original as it is.
func copyFreeCapacity(r *freeCapacity, without map[*machine]bool) []*simulatedMachine {
	out := make([]*simulatedMachine, 0, len(r.machines))
	all := make([]simulatedMachine, len(r.machines))
	total := 0
	for _, v := range r.machines {
		total += len(v.releases) + endsSpare
	}
	ends := make([]release, total)
	for i, v := range r.machines {
		if without[v.machine] {
			continue
		}
		all[i] = *v
		k := copy(ends, v.releases)
		all[i].releases = ends[: k : k+endsSpare]
		ends = ends[k+endsSpare:]
		out = append(out, &all[i])
	}
	return out
}

// simulatedMachine is a machine played forward: its free room at a time from now, and
// what running tasks will leave later.
type simulatedMachine struct {
	machineKind machineKind
	index       int32
	machine     *machine
	idle        bool
	// cached and coming are the images it has and fetches, and has those that
	// tasks played onto it will have fetched; taken counts these.
	cached, fetchingImages, placedImages []int32
	placements                           int
	// secondsPerGB is how long it takes for a GB of an image, in seconds, and half for
	// one that is already on its way.
	secondsPerGB, fetchingSecondsPerGB float64
	at                                 time.Duration
	free                               model.Resources
	releases                           []release
	// packingKind is what is usual on machines of its kind, if they have GPUs, and rest the room
	// for work without.
	packingKind *packing.Profile
	nonGPUFree  model.Resources
}

type release struct {
	at   time.Duration
	need model.Resources
}

// earliestStart is when a task fits. A gang's tasks need their room all at once, so
// room that is left one after another is none to them.
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

// placeTasks lets up to count tasks start at the time that earliest gave, or later, and
// says how many found room.
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

// expectedToReport says that a machine has not been heard of since a takeover, but most
// likely will be: the cloud lists it as running, and it reports in its turn. For
// planning it counts as there. A successor that counted only those it had heard
// would rent hundreds beside it, which then stand idle.
func (f *fleetPlanner) expectedToReport(m *machine) bool {
	o := f.controller.shardLeader
	if m.heard || m.releasing || m.faulty || m.size.CPU <= 0 || f.now.Sub(o.readyAt) > 2*f.maxHeartbeatInterval() || o.fleet.view == nil {
		return false
	}
	r := o.fleet.view.rentals[m.id]
	return r != nil && r.status == "running" && !r.releasing
}

// futureFreeCapacity is each usable machine with what its running tasks will leave, as
// far as their expected ends tell. What runs longer than expected is taken to
// go on for a while.
func (f *fleetPlanner) futureFreeCapacity() *freeCapacity {
	r := &freeCapacity{machines: make([]*simulatedMachine, 0, len(f.controller.shardLeader.machinesByID)), imageIDs: map[string]int32{}}
	all := make([]simulatedMachine, len(f.controller.shardLeader.machinesByID))
	attempts, images := 0, 0
	for _, m := range f.controller.shardLeader.machinesByID {
		attempts += len(m.attempts) + 1
		images += len(m.images)
	}
	ends, ids := make([]release, 0, attempts), make([]int32, 0, images)
	usual := f.controller.shardLeader.scheduler.currentPackingProfile()
	for i, m := range f.controller.shardLeader.machinesByID {
		if !f.controller.shardLeader.scheduler.usable(m) && !f.expectedToReport(m) || m.reservedFor != "" {
			continue
		}
		v := &all[i]
		*v = simulatedMachine{machineKind: machineKind{m.machineType, m.zone, m.spot}, machine: m, idle: m.isEmpty(), free: m.free(), packingKind: usual.kind(m.machineType)}
		if v.packingKind != nil && !v.idle {
			v.nonGPUFree = v.packingKind.NonGPUCapacity(v.free, f.controller.shardLeader.scheduler.nonGPUUse(m))
		}
		lo := len(ends)
		for k, t := range m.attempts {
			j := f.controller.shardLeader.jobs[k.job]
			if j.LongRunning {
				continue
			}
			e := f.controller.knowledge.expectedRunTime(j)
			left := e
			switch {
			case t.inherited:
				// When it began is not known here, but when it was placed.
				left = max(e-f.now.Sub(time.UnixMilli(t.groupStart)), e/5)
			case !t.startedAt.IsZero():
				left = max(e-f.now.Sub(t.startedAt), e/5)
			}
			ends = append(ends, release{left, j.Need})
		}
		v.releases = ends[lo:len(ends):len(ends)]
		slices.SortFunc(v.releases, func(a, b release) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory))
		})
		rate := f.controller.knowledge.imageFetchRate(m)
		// Those it has come first, then those that are on their way.
		lo = len(ids)
		some := 0
		for name, im := range m.images {
			id, ok := r.imageIDs[name]
			if !ok {
				id = int32(len(r.imageIDs))
				r.imageIDs[name] = id
			}
			ids = append(ids, id)
			if im.cached {
				ids[len(ids)-1], ids[lo+some] = ids[lo+some], id
				some++
			}
		}
		v.cached, v.fetchingImages = ids[lo:lo+some:lo+some], ids[lo+some:len(ids):len(ids)]
		v.secondsPerGB, v.fetchingSecondsPerGB = float64(1+len(v.fetchingImages))/rate, 1/rate/2
		r.machines = append(r.machines, v)
	}
	return r
}
