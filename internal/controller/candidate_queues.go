package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// candidate_queues.go finds, for a task in a simulation, the machine on which it could run first.
// Machines that take equally long to fetch the task's image stand in one queue, a heap by when the
// task fits, so that a task compares a few queues and not the whole pool; those that hold its image
// have queues of their own. A task placed on a machine puts its entries in other queues out of
// date; they are corrected when they come up.

// lookAhead is how many of the first machines of a queue are compared for a task that arrives
// later. Those that are free by then are equally good, and the first of the simulation is taken, so
// that others stay idle.
const lookAhead = 15

// simulatedCandidate is a machine in a queue.
type simulatedCandidate struct {
	// start is when a task could start to fetch there, from the simulation's start.
	start time.Duration
	// index is that of the machine, placements its value when start was computed.
	index, placements int32
}

//lint:ignore U1000 heap calls it by its type parameter
func (e *simulatedCandidate) before(o *simulatedCandidate) bool {
	return e.start < o.start || e.start == o.start && e.index < o.index
}

// candidateQueueKey is what the machines of a queue have in common.
type candidateQueueKey struct {
	// secondsPerGB is how many seconds they take to fetch one GB of an image.
	secondsPerGB float64
	// neededElsewhere says that other pending work depends on them.
	neededElsewhere bool
}

// candidateQueue is machines by when a task of one kind could start.
type candidateQueue struct {
	candidateQueueKey
	heap[simulatedCandidate, *simulatedCandidate]
}

// candidateQueues are some machines of a simulation; the first indexed ones are entered.
type candidateQueues struct {
	indexed int
	all     []*candidateQueue
}

func (qs *candidateQueues) add(key candidateQueueKey, e simulatedCandidate) {
	for _, q := range qs.all {
		if q.candidateQueueKey == key {
			q.push(e)
			return
		}
	}
	q := &candidateQueue{candidateQueueKey: key}
	qs.all = append(qs.all, q)
	q.push(e)
}

// shapeCandidates is the machines for one kind of task: all of them as if they had no
// image, and for each image those that hold or fetch it.
type shapeCandidates struct {
	candidateQueues
	byImage map[int32]*candidateQueues
	// avoidGPUs keeps the tasks off machines with GPUs.
	avoidGPUs bool
}

// placementRequest is a job whose tasks are to be placed in a simulation.
type placementRequest struct {
	job     *job
	need    model.Resources
	imageGB float64
	imageID int32
	// run is how long a task is expected to occupy its machine.
	run time.Duration

	// candidates are all machines, holders those that hold or fetch the image.
	candidates *shapeCandidates
	holders    *candidateQueues
	// avoidedMachine is the index of the machine that all pending tasks avoid, or -1.
	avoidedMachine int32
	// fullScan says that every machine is looked at for each task, as they are not alike.
	fullScan   bool
	zoneLimits *zoneLimits

	// offers are the machine kinds that may be rented for it.
	offers []offer
}

// offer is a kind of machine that may be rented for a job.
type offer struct {
	machineKind
	tasksPerMachine int
	costPerHour     float64
	timeToReady     time.Duration
	fetchTime       time.Duration
}

// newRequest prepares to place a job's tasks.
func (p *simulation) newRequest(j *job) *placementRequest {
	a := &placementRequest{
		job: j, need: j.Need, imageGB: j.ImageGB, imageID: p.imageID(j.Image), run: p.controller.shardLeader.fleet.expectedOccupancy(j), avoidedMachine: -1,
		fullScan: j.Gang || j.SameZone || j.SpreadZones, zoneLimits: newZoneLimits(j),
	}
	if j.Image == "" {
		a.imageGB = 0
	}
	if away := j.avoidedMachine(); away != "" {
		a.avoidedMachine = int32(slices.IndexFunc(p.machines, func(v *simulatedMachine) bool { return v.machine != nil && v.machine.id == away }))
	}
	shape := j.taskShape()
	a.candidates = p.queues[shape]
	if a.candidates == nil {
		a.candidates = &shapeCandidates{byImage: map[int32]*candidateQueues{}, avoidGPUs: p.controller.shardLeader.scheduler.avoidsGPUs(j)}
		if p.queues == nil {
			p.queues = map[taskShape]*shapeCandidates{}
		}
		p.queues[shape] = a.candidates
	}
	a.holders = a.candidates.byImage[a.imageID]
	if a.holders == nil {
		a.holders = &candidateQueues{}
		a.candidates.byImage[a.imageID] = a.holders
	}
	a.offers = p.offers(j, a.candidates.avoidGPUs)
	return a
}

// imageID numbers the images of a simulation. Those that its machines hold got their numbers from
// futureFreeCapacity.
func (p *simulation) imageID(name string) int32 {
	id, ok := p.imageIDs[name]
	if !ok {
		id = int32(len(p.imageIDs))
		p.imageIDs[name] = id
	}
	for len(p.imageHolders) <= int(id) {
		p.imageHolders = append(p.imageHolders, nil)
	}
	return id
}

// indexImages notes which machines hold or fetch which images.
func (p *simulation) indexImages() {
	p.imageHolders = make([][]int32, len(p.imageIDs))
	for i, v := range p.machines {
		for _, set := range [...][]int32{v.placedImages, v.cached, v.fetchingImages} {
			for _, id := range set {
				p.imageHolders[id] = append(p.imageHolders[id], int32(i))
			}
		}
	}
}

// refreshCandidates enters the machines that were added since, and those that got the image.
func (p *simulation) refreshCandidates(a *placementRequest) {
	add := func(qs *candidateQueues, i int32, held bool) {
		v := p.machines[i]
		if !a.job.allowsMachine(v.machineKind.machineType, v.machineKind.zone, v.machineKind.spot) {
			return
		}
		start, ok := v.earliestStart(a.need, false, a.candidates.avoidGPUs)
		if !ok {
			return
		}
		key := candidateQueueKey{secondsPerGB: v.secondsPerGB, neededElsewhere: p.isNeededElsewhere(a.job, v.machineKind.machineType)}
		if held {
			key.secondsPerGB = 0
			if !slices.Contains(v.placedImages, a.imageID) && !slices.Contains(v.cached, a.imageID) {
				key.secondsPerGB = v.fetchingSecondsPerGB
			}
		}
		qs.add(key, simulatedCandidate{start, i, int32(v.placements)})
	}
	for ; a.candidates.indexed < len(p.machines); a.candidates.indexed++ {
		p.spend(1)
		add(&a.candidates.candidateQueues, int32(a.candidates.indexed), false)
	}
	for holders := p.imageHolders[a.imageID]; a.holders.indexed < len(holders); a.holders.indexed++ {
		p.spend(1)
		add(a.holders, holders[a.holders.indexed], true)
	}
}

// bestMachine returns the machine on which a task that arrives at from could first run, with its
// image there, and when. With avoidNeeded it considers only machines that no other pending work
// depends on.
func (p *simulation) bestMachine(a *placementRequest, from time.Time, avoidNeeded bool) (*simulatedMachine, time.Time) {
	wait := max(0, from.Sub(p.now))
	if a.fullScan {
		v, at := p.bestByFullScan(a, wait, avoidNeeded)
		return v, p.now.Add(at)
	}
	p.refreshCandidates(a)
	best, at := int32(-1), time.Duration(0)
	for _, set := range [...][]*candidateQueue{a.candidates.all, a.holders.all} {
		for _, q := range set {
			if avoidNeeded && q.neededElsewhere {
				continue
			}
			if i, start, ok := p.firstInQueue(q, a, wait); ok {
				if t := start + record.DurationOfSeconds(q.secondsPerGB*a.imageGB); best < 0 || t < at || t == at && i < best {
					best, at = i, t
				}
			}
		}
	}
	if best < 0 {
		return nil, p.now
	}
	return p.machines[best], p.now.Add(at)
}

// firstInQueue returns the machine of a queue on which a task could start first, and when.
func (p *simulation) firstInQueue(q *candidateQueue, a *placementRequest, wait time.Duration) (int32, time.Duration, bool) {
	var avoided simulatedCandidate
	hasAvoided := false
	for len(q.elems) > 0 {
		e := &q.elems[0]
		v := p.machines[e.index]
		if int32(v.placements) != e.placements {
			if start, ok := v.earliestStart(a.need, false, a.candidates.avoidGPUs); ok {
				e.start, e.placements = start, int32(v.placements)
				q.siftDown()
			} else {
				q.pop()
			}
			continue
		}
		if e.index != a.avoidedMachine {
			break
		}
		avoided, hasAvoided = q.pop(), true
	}
	if len(q.elems) == 0 {
		if hasAvoided {
			q.push(avoided)
		}
		return 0, 0, false
	}
	i, start := q.elems[0].index, max(q.elems[0].start, wait)
	if q.elems[0].start < wait {
		for _, x := range q.elems[1:min(len(q.elems), lookAhead)] {
			if x.start <= wait && x.index < i && x.index != a.avoidedMachine && int32(p.machines[x.index].placements) == x.placements {
				i = x.index
			}
		}
	}
	if hasAvoided {
		q.push(avoided)
	}
	return i, start, true
}

// bestByFullScan is bestMachine for tasks that are not all alike: it looks at every machine.
func (p *simulation) bestByFullScan(a *placementRequest, wait time.Duration, avoidNeeded bool) (*simulatedMachine, time.Duration) {
	var best *simulatedMachine
	var at time.Duration
	p.spend(len(p.machines))
	for i, v := range p.machines {
		if !a.job.allowsMachine(v.machineKind.machineType, v.machineKind.zone, v.machineKind.spot) || a.zoneLimits.capacity(v.machineKind.zone) == 0 || int32(i) == a.avoidedMachine || avoidNeeded && p.isNeededElsewhere(a.job, v.machineKind.machineType) {
			continue
		}
		if start, ok := v.earliestStart(a.need, a.job.Gang, a.candidates.avoidGPUs); ok {
			if t := max(start, wait) + p.fetchTime(v, a); best == nil || t < at {
				best, at = v, t
			}
		}
	}
	return best, at
}

// fetchTime is how long v takes to have the image.
func (p *simulation) fetchTime(v *simulatedMachine, a *placementRequest) time.Duration {
	switch {
	case slices.Contains(v.placedImages, a.imageID) || slices.Contains(v.cached, a.imageID):
		return 0
	case slices.Contains(v.fetchingImages, a.imageID):
		return record.DurationOfSeconds(v.fetchingSecondsPerGB * a.imageGB)
	}
	return record.DurationOfSeconds(v.secondsPerGB * a.imageGB)
}

// placeTasks lets up to count tasks start on v, as many as fit at one time, and returns how many,
// when the one that has to fetch the image starts, and how long that fetch is; for the others the
// image counts as there. With fullScan it places one.
func (p *simulation) placeTasks(a *placementRequest, v *simulatedMachine, from time.Time, count int) (int, time.Time, time.Duration) {
	at, ok := v.earliestStart(a.need, a.job.Gang, a.candidates.avoidGPUs)
	if !ok {
		return count, from, 0
	}
	at = max(at, from.Sub(p.now))
	fetch := p.fetchTime(v, a)
	if !slices.Contains(v.placedImages, a.imageID) && !slices.Contains(v.cached, a.imageID) {
		v.placedImages = append(slices.Clip(v.placedImages), a.imageID)
		p.imageHolders[a.imageID] = append(p.imageHolders[a.imageID], v.index)
	}
	if a.fullScan {
		count = 1
	}
	k := 0
	if fetch > 0 {
		k = v.placeTasks(a.need, at, fetch+a.run, 1, a.candidates.avoidGPUs)
	}
	if more := min(count-k, v.freeFor(v.free, a.candidates.avoidGPUs).FitCount(a.need)); k == 0 || more > 0 {
		k += v.placeTasks(a.need, at, a.run, count-k, a.candidates.avoidGPUs)
	}
	a.zoneLimits.add(v.machineKind.zone, k)
	return k, p.now.Add(at + fetch), fetch
}
