package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// candidate_queues.go finds the machine of a simulation on which a task could run first. Machines
// with the same fetch time for the task's image share one queue, a heap ordered by when the task
// fits, so that the search for a task compares a few queues and not the whole pool. Machines that
// hold the image have separate queues. Placing a task on a machine makes the machine's entries in
// other queues stale; an entry is corrected when it reaches the front of its queue.

// lookAhead is how many machines at the front of a queue are compared for a task that arrives
// later. Machines that are free by then are equally good, and the machine with the lowest index is
// taken, so that the others stay idle.
const lookAhead = 15

// simulatedCandidate is the entry of a machine in a candidateQueue.
type simulatedCandidate struct {
	// start is when a task could start to fetch its image on the machine, relative to the start
	// of the simulation.
	start time.Duration
	// index is the machine's index. placements is the machine's placement count when start was
	// computed; the entry is stale if the count has changed.
	index, placements int32
}

// before orders entries by start and then by machine index.
//
//lint:ignore U1000 heap calls it by its type parameter
func (e *simulatedCandidate) before(o *simulatedCandidate) bool {
	return e.start < o.start || e.start == o.start && e.index < o.index
}

// candidateQueueKey holds the properties that all machines of a queue share.
type candidateQueueKey struct {
	// secondsPerGB is how many seconds the machines need to fetch one GB of an image.
	secondsPerGB float64
	// neededElsewhere is set if other pending jobs depend on the machines. closed is set if
	// placement keeps the tasks off the machines for that reason; see placementRequest.opensIn.
	neededElsewhere, closed bool
}

// candidateQueue orders machines by when a task of one kind could start there.
type candidateQueue struct {
	candidateQueueKey
	heap[simulatedCandidate, *simulatedCandidate]
}

// candidateQueues holds the queues for a list of machines of a simulation. The first indexedCount
// machines of the list are in the queues.
type candidateQueues struct {
	indexedCount int
	all          []*candidateQueue
}

// add inserts an entry into the queue with the given key.
func (queues *candidateQueues) add(key candidateQueueKey, entry simulatedCandidate) {
	for _, queue := range queues.all {
		if queue.candidateQueueKey == key {
			queue.push(entry)
			return
		}
	}
	queue := &candidateQueue{candidateQueueKey: key}
	queues.all = append(queues.all, queue)
	queue.push(entry)
}

// shapeCandidates holds the candidate machines for one kind of task: the embedded queues have all
// machines as if none held an image, and byImage has, for each image, the machines that hold or
// fetch it.
type shapeCandidates struct {
	candidateQueues
	byImage map[int32]*candidateQueues
	// avoidGPUs keeps the tasks off machines with GPUs.
	avoidGPUs bool
	// scarcity is the scarcity of machine types for the tasks.
	scarcity map[string]scarcity
}

// closes reports whether placement keeps the tasks off a machine type until their job is left waiting.
func (candidates *shapeCandidates) closes(machineType string) bool {
	return candidates.scarcity[machineType] == scarceNow
}

// placementRequest describes a job whose tasks are to be placed in a simulation.
type placementRequest struct {
	job     *job
	need    model.Resources
	imageGB float64
	imageID int32
	// occupancy is how long a task is expected to occupy its machine, without the image fetch.
	occupancy time.Duration

	// opensIn is when the last pending task of a job that allows no spot machines may start on machine
	// types that are closed to it: they open once the job is left waiting, and to one task at a time.
	// It is 0 for expected tasks, and for jobs that allow spot machines: scarcityRelief rents these.
	opensIn time.Duration

	// candidates are all machines; holders are the machines that hold or fetch the image.
	candidates *shapeCandidates
	holders    *candidateQueues
	// avoidedMachine is the index of the machine that all pending tasks avoid, or -1.
	avoidedMachine int32
	// fullScan is set if the search looks at every machine for each task, because the tasks of
	// the job constrain each other.
	fullScan   bool
	zoneLimits *zoneLimits

	// offers are the machine kinds that may be rented for the job.
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

// newRequest returns a request to place the tasks of a job in the simulation.
func (sim *simulation) newRequest(job *job) *placementRequest {
	req := &placementRequest{
		job: job, need: job.Need, imageGB: job.ImageGB, imageID: sim.imageID(job.Image), occupancy: sim.controller.shardLeader.fleet.expectedOccupancy(job), avoidedMachine: -1,
		fullScan: job.Gang || job.SameZone || job.SpreadZones, zoneLimits: newZoneLimits(job),
	}
	if job.Image == "" {
		req.imageGB = 0
	}
	if !job.waitingSince.IsZero() && !job.AllowSpot {
		tasks := max(1, sim.controller.shardLeader.scheduler.placeableTasks(job))
		req.opensIn = max(0, later(job.waitingSince, job.lastPlacedAt).Add(time.Duration(tasks)*leftWaitingAfter).Sub(sim.now))
	}
	if away := job.avoidedMachine(); away != "" {
		req.avoidedMachine = int32(slices.IndexFunc(sim.machines, func(simMachine *simulatedMachine) bool {
			return simMachine.machine != nil && simMachine.machine.id == away
		}))
	}
	shape := job.taskShape()
	req.candidates = sim.queues[shape]
	if req.candidates == nil {
		req.candidates = &shapeCandidates{byImage: map[int32]*candidateQueues{}, avoidGPUs: sim.controller.shardLeader.scheduler.avoidsGPUs(job), scarcity: sim.controller.shardLeader.scheduler.scarcityOf(&job.JobSpec)}
		if sim.queues == nil {
			sim.queues = map[taskShape]*shapeCandidates{}
		}
		sim.queues[shape] = req.candidates
	}
	req.holders = req.candidates.byImage[req.imageID]
	if req.holders == nil {
		req.holders = &candidateQueues{}
		req.candidates.byImage[req.imageID] = req.holders
	}
	req.offers = sim.offers(job, req.candidates.avoidGPUs)
	return req
}

// opensOn returns opensIn if the machine is of a type that is closed to the tasks, and 0 otherwise.
func (req *placementRequest) opensOn(simMachine *simulatedMachine) time.Duration {
	if req.candidates.closes(simMachine.machineKind.machineType) {
		return req.opensIn
	}
	return 0
}

// imageID returns the number of an image in this simulation and assigns one if the image has none.
// futureFreeCapacity has numbered the images that the machines hold.
func (sim *simulation) imageID(name string) int32 {
	id, ok := sim.imageIDs[name]
	if !ok {
		id = int32(len(sim.imageIDs))
		sim.imageIDs[name] = id
	}
	for len(sim.imageHolders) <= int(id) {
		sim.imageHolders = append(sim.imageHolders, nil)
	}
	return id
}

// indexImages rebuilds imageHolders, which lists the machines that hold or fetch each image.
func (sim *simulation) indexImages() {
	sim.imageHolders = make([][]int32, len(sim.imageIDs))
	for i, simMachine := range sim.machines {
		for _, set := range [...][]int32{simMachine.placedImages, simMachine.cached, simMachine.fetchingImages} {
			for _, id := range set {
				sim.imageHolders[id] = append(sim.imageHolders[id], int32(i))
			}
		}
	}
}

// refreshCandidates adds to the request's queues the machines that joined the simulation, and the
// machines that got the image, since the last call.
func (sim *simulation) refreshCandidates(req *placementRequest) {
	add := func(queues *candidateQueues, index int32, held bool) {
		simMachine := sim.machines[index]
		if !req.job.allowsMachine(simMachine.machineKind.machineType, simMachine.machineKind.zone, simMachine.machineKind.spot) {
			return
		}
		start, ok := simMachine.earliestStart(req.need, false, req.candidates.avoidGPUs)
		if !ok {
			return
		}
		key := candidateQueueKey{secondsPerGB: simMachine.secondsPerGB, neededElsewhere: sim.isNeededElsewhere(req.job, simMachine.machineKind.machineType), closed: req.candidates.closes(simMachine.machineKind.machineType)}
		if held {
			key.secondsPerGB = 0
			if !slices.Contains(simMachine.placedImages, req.imageID) && !slices.Contains(simMachine.cached, req.imageID) {
				key.secondsPerGB = simMachine.fetchingSecondsPerGB
			}
		}
		queues.add(key, simulatedCandidate{start, index, int32(simMachine.placements)})
	}
	for ; req.candidates.indexedCount < len(sim.machines); req.candidates.indexedCount++ {
		sim.spend(1)
		add(&req.candidates.candidateQueues, int32(req.candidates.indexedCount), false)
	}
	for holders := sim.imageHolders[req.imageID]; req.holders.indexedCount < len(holders); req.holders.indexedCount++ {
		sim.spend(1)
		add(req.holders, holders[req.holders.indexedCount], true)
	}
}

// bestMachine returns the machine on which a task that arrives at from could run first, with its
// image present, and when. With avoidNeeded it considers only machines that no other pending job
// depends on. The machine is nil if there is none.
func (sim *simulation) bestMachine(req *placementRequest, from time.Time, avoidNeeded bool) (*simulatedMachine, time.Time) {
	wait := max(0, from.Sub(sim.now))
	if req.fullScan {
		simMachine, earliest := sim.bestByFullScan(req, wait, avoidNeeded)
		return simMachine, sim.now.Add(earliest)
	}
	sim.refreshCandidates(req)
	best, earliest := int32(-1), time.Duration(0)
	for _, set := range [...][]*candidateQueue{req.candidates.all, req.holders.all} {
		for _, queue := range set {
			if avoidNeeded && queue.neededElsewhere {
				continue
			}
			earliestArrival := wait
			if queue.closed {
				earliestArrival = max(wait, req.opensIn)
			}
			if index, start, ok := sim.firstInQueue(queue, req, earliestArrival); ok {
				if ready := start + record.DurationOfSeconds(queue.secondsPerGB*req.imageGB); best < 0 || ready < earliest || ready == earliest && index < best {
					best, earliest = index, ready
				}
			}
		}
	}
	if best < 0 {
		return nil, sim.now
	}
	return sim.machines[best], sim.now.Add(earliest)
}

// firstInQueue returns the index of the queue's machine on which a task could start first, and
// when, relative to the start of the simulation. It corrects stale entries at the front of the
// queue.
func (sim *simulation) firstInQueue(queue *candidateQueue, req *placementRequest, wait time.Duration) (int32, time.Duration, bool) {
	var avoided simulatedCandidate
	hasAvoided := false
	for len(queue.elems) > 0 {
		entry := &queue.elems[0]
		simMachine := sim.machines[entry.index]
		if int32(simMachine.placements) != entry.placements {
			if start, ok := simMachine.earliestStart(req.need, false, req.candidates.avoidGPUs); ok {
				entry.start, entry.placements = start, int32(simMachine.placements)
				queue.siftDown()
			} else {
				queue.pop()
			}
			continue
		}
		if entry.index != req.avoidedMachine {
			break
		}
		avoided, hasAvoided = queue.pop(), true
	}
	if len(queue.elems) == 0 {
		if hasAvoided {
			queue.push(avoided)
		}
		return 0, 0, false
	}
	index, start := queue.elems[0].index, max(queue.elems[0].start, wait)
	if queue.elems[0].start < wait {
		for _, other := range queue.elems[1:min(len(queue.elems), lookAhead)] {
			if other.start <= wait && other.index < index && other.index != req.avoidedMachine && int32(sim.machines[other.index].placements) == other.placements {
				index = other.index
			}
		}
	}
	if hasAvoided {
		queue.push(avoided)
	}
	return index, start, true
}

// bestByFullScan implements bestMachine for tasks that constrain each other by looking at every
// machine.
func (sim *simulation) bestByFullScan(req *placementRequest, wait time.Duration, avoidNeeded bool) (*simulatedMachine, time.Duration) {
	var best *simulatedMachine
	var earliest time.Duration
	sim.spend(len(sim.machines))
	for i, simMachine := range sim.machines {
		if !req.job.allowsMachine(simMachine.machineKind.machineType, simMachine.machineKind.zone, simMachine.machineKind.spot) ||
			req.zoneLimits.capacity(simMachine.machineKind.zone) == 0 || int32(i) == req.avoidedMachine ||
			avoidNeeded && sim.isNeededElsewhere(req.job, simMachine.machineKind.machineType) {
			continue
		}
		if start, ok := simMachine.earliestStart(req.need, req.job.Gang, req.candidates.avoidGPUs); ok {
			if ready := max(start, wait, req.opensOn(simMachine)) + sim.fetchTime(simMachine, req); best == nil || ready < earliest {
				best, earliest = simMachine, ready
			}
		}
	}
	return best, earliest
}

// fetchTime returns how long a machine needs until it has the image.
func (sim *simulation) fetchTime(simMachine *simulatedMachine, req *placementRequest) time.Duration {
	switch {
	case slices.Contains(simMachine.placedImages, req.imageID) || slices.Contains(simMachine.cached, req.imageID):
		return 0
	case slices.Contains(simMachine.fetchingImages, req.imageID):
		return record.DurationOfSeconds(simMachine.fetchingSecondsPerGB * req.imageGB)
	}
	return record.DurationOfSeconds(simMachine.secondsPerGB * req.imageGB)
}

// placeTasks places up to count tasks on a machine, as many as fit at one time. It returns how many
// it placed, when the task that has to fetch the image starts to run, and how long the fetch takes;
// the other tasks count as having the image. With fullScan it places one task. If the tasks never fit
// on the machine, it places none and returns count, so that the caller's loop ends.
func (sim *simulation) placeTasks(req *placementRequest, simMachine *simulatedMachine, from time.Time, count int) (int, time.Time, time.Duration) {
	start, ok := simMachine.earliestStart(req.need, req.job.Gang, req.candidates.avoidGPUs)
	if !ok {
		return count, from, 0
	}
	start = max(start, from.Sub(sim.now), req.opensOn(simMachine))
	fetch := sim.fetchTime(simMachine, req)
	if !slices.Contains(simMachine.placedImages, req.imageID) && !slices.Contains(simMachine.cached, req.imageID) {
		simMachine.placedImages = append(slices.Clip(simMachine.placedImages), req.imageID)
		sim.imageHolders[req.imageID] = append(sim.imageHolders[req.imageID], simMachine.index)
	}
	if req.fullScan {
		count = 1
	}
	placed := 0
	if fetch > 0 {
		placed = simMachine.placeTasks(req.need, start, fetch+req.occupancy, 1, req.candidates.avoidGPUs)
	}
	if more := min(count-placed, simMachine.freeFor(simMachine.free, req.candidates.avoidGPUs).FitCount(req.need)); placed == 0 || more > 0 {
		placed += simMachine.placeTasks(req.need, start, req.occupancy, count-placed, req.candidates.avoidGPUs)
	}
	req.zoneLimits.add(simMachine.machineKind.zone, placed)
	return placed, sim.now.Add(start + fetch), fetch
}
