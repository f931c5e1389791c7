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
	req := &placementRequest{
		job: j, need: j.Need, imageGB: j.ImageGB, imageID: p.imageID(j.Image), run: p.controller.shardLeader.fleet.expectedOccupancy(j), avoidedMachine: -1,
		fullScan: j.Gang || j.SameZone || j.SpreadZones, zoneLimits: newZoneLimits(j),
	}
	if j.Image == "" {
		req.imageGB = 0
	}
	if away := j.avoidedMachine(); away != "" {
		req.avoidedMachine = int32(slices.IndexFunc(p.machines, func(v *simulatedMachine) bool { return v.machine != nil && v.machine.id == away }))
	}
	shape := j.taskShape()
	req.candidates = p.queues[shape]
	if req.candidates == nil {
		req.candidates = &shapeCandidates{byImage: map[int32]*candidateQueues{}, avoidGPUs: p.controller.shardLeader.scheduler.avoidsGPUs(j)}
		if p.queues == nil {
			p.queues = map[taskShape]*shapeCandidates{}
		}
		p.queues[shape] = req.candidates
	}
	req.holders = req.candidates.byImage[req.imageID]
	if req.holders == nil {
		req.holders = &candidateQueues{}
		req.candidates.byImage[req.imageID] = req.holders
	}
	req.offers = p.offers(j, req.candidates.avoidGPUs)
	return req
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
func (p *simulation) refreshCandidates(req *placementRequest) {
	add := func(qs *candidateQueues, i int32, held bool) {
		v := p.machines[i]
		if !req.job.allowsMachine(v.machineKind.machineType, v.machineKind.zone, v.machineKind.spot) {
			return
		}
		start, ok := v.earliestStart(req.need, false, req.candidates.avoidGPUs)
		if !ok {
			return
		}
		key := candidateQueueKey{secondsPerGB: v.secondsPerGB, neededElsewhere: p.isNeededElsewhere(req.job, v.machineKind.machineType)}
		if held {
			key.secondsPerGB = 0
			if !slices.Contains(v.placedImages, req.imageID) && !slices.Contains(v.cached, req.imageID) {
				key.secondsPerGB = v.fetchingSecondsPerGB
			}
		}
		qs.add(key, simulatedCandidate{start, i, int32(v.placements)})
	}
	for ; req.candidates.indexed < len(p.machines); req.candidates.indexed++ {
		p.spend(1)
		add(&req.candidates.candidateQueues, int32(req.candidates.indexed), false)
	}
	for holders := p.imageHolders[req.imageID]; req.holders.indexed < len(holders); req.holders.indexed++ {
		p.spend(1)
		add(req.holders, holders[req.holders.indexed], true)
	}
}

// bestMachine returns the machine on which a task that arrives at from could first run, with its
// image there, and when. With avoidNeeded it considers only machines that no other pending work
// depends on.
func (p *simulation) bestMachine(req *placementRequest, from time.Time, avoidNeeded bool) (*simulatedMachine, time.Time) {
	wait := max(0, from.Sub(p.now))
	if req.fullScan {
		v, at := p.bestByFullScan(req, wait, avoidNeeded)
		return v, p.now.Add(at)
	}
	p.refreshCandidates(req)
	best, at := int32(-1), time.Duration(0)
	for _, set := range [...][]*candidateQueue{req.candidates.all, req.holders.all} {
		for _, q := range set {
			if avoidNeeded && q.neededElsewhere {
				continue
			}
			if i, start, ok := p.firstInQueue(q, req, wait); ok {
				if t := start + record.DurationOfSeconds(q.secondsPerGB*req.imageGB); best < 0 || t < at || t == at && i < best {
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
func (p *simulation) firstInQueue(q *candidateQueue, req *placementRequest, wait time.Duration) (int32, time.Duration, bool) {
	var avoided simulatedCandidate
	hasAvoided := false
	for len(q.elems) > 0 {
		e := &q.elems[0]
		v := p.machines[e.index]
		if int32(v.placements) != e.placements {
			if start, ok := v.earliestStart(req.need, false, req.candidates.avoidGPUs); ok {
				e.start, e.placements = start, int32(v.placements)
				q.siftDown()
			} else {
				q.pop()
			}
			continue
		}
		if e.index != req.avoidedMachine {
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
			if x.start <= wait && x.index < i && x.index != req.avoidedMachine && int32(p.machines[x.index].placements) == x.placements {
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
func (p *simulation) bestByFullScan(req *placementRequest, wait time.Duration, avoidNeeded bool) (*simulatedMachine, time.Duration) {
	var best *simulatedMachine
	var at time.Duration
	p.spend(len(p.machines))
	for i, v := range p.machines {
		if !req.job.allowsMachine(v.machineKind.machineType, v.machineKind.zone, v.machineKind.spot) ||
			req.zoneLimits.capacity(v.machineKind.zone) == 0 || int32(i) == req.avoidedMachine ||
			avoidNeeded && p.isNeededElsewhere(req.job, v.machineKind.machineType) {
			continue
		}
		if start, ok := v.earliestStart(req.need, req.job.Gang, req.candidates.avoidGPUs); ok {
			if t := max(start, wait) + p.fetchTime(v, req); best == nil || t < at {
				best, at = v, t
			}
		}
	}
	return best, at
}

// fetchTime is how long v takes to have the image.
func (p *simulation) fetchTime(v *simulatedMachine, req *placementRequest) time.Duration {
	switch {
	case slices.Contains(v.placedImages, req.imageID) || slices.Contains(v.cached, req.imageID):
		return 0
	case slices.Contains(v.fetchingImages, req.imageID):
		return record.DurationOfSeconds(v.fetchingSecondsPerGB * req.imageGB)
	}
	return record.DurationOfSeconds(v.secondsPerGB * req.imageGB)
}

// placeTasks lets up to count tasks start on v, as many as fit at one time, and returns how many,
// when the one that has to fetch the image starts, and how long that fetch is; for the others the
// image counts as there. With fullScan it places one.
func (p *simulation) placeTasks(req *placementRequest, v *simulatedMachine, from time.Time, count int) (int, time.Time, time.Duration) {
	at, ok := v.earliestStart(req.need, req.job.Gang, req.candidates.avoidGPUs)
	if !ok {
		return count, from, 0
	}
	at = max(at, from.Sub(p.now))
	fetch := p.fetchTime(v, req)
	if !slices.Contains(v.placedImages, req.imageID) && !slices.Contains(v.cached, req.imageID) {
		v.placedImages = append(slices.Clip(v.placedImages), req.imageID)
		p.imageHolders[req.imageID] = append(p.imageHolders[req.imageID], v.index)
	}
	if req.fullScan {
		count = 1
	}
	k := 0
	if fetch > 0 {
		k = v.placeTasks(req.need, at, fetch+req.run, 1, req.candidates.avoidGPUs)
	}
	if more := min(count-k, v.freeFor(v.free, req.candidates.avoidGPUs).FitCount(req.need)); k == 0 || more > 0 {
		k += v.placeTasks(req.need, at, req.run, count-k, req.candidates.avoidGPUs)
	}
	req.zoneLimits.add(v.machineKind.zone, k)
	return k, p.now.Add(at + fetch), fetch
}
