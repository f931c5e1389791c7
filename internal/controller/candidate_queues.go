package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// candidate_queues.go finds, for a task that is played forward, the machine on which it
// could run first. Machines on which a fetch of the task's image takes the same
// time stand in one lane, a heap by when there is room, so that a task looks at
// some few lanes and not at the pool; those that hold its image have lanes of
// their own. A machine taken elsewhere makes its entries out of date, which is put
// right when they come up.

// simulatedCandidate is a machine in a lane: its place in the plan, when a task could start to
// fetch there, and how many tasks it had taken by then.
type simulatedCandidate struct {
	start             time.Duration
	index, placements int32
}

//lint:ignore U1000 heap calls it by its type parameter
func (e *simulatedCandidate) before(o *simulatedCandidate) bool {
	return e.start < o.start || e.start == o.start && e.index < o.index
}

// candidateQueueKey is what the machines of a lane have in common.
type candidateQueueKey struct {
	// secondsPerGB is how long they take for one GB of an image, in seconds.
	secondsPerGB float64
	// needed: other work that waits depends on them.
	neededElsewhere bool
}

type candidateQueue struct {
	candidateQueueKey
	heap[simulatedCandidate, *simulatedCandidate]
}

// candidateQueues are some machines of a plan, up to the one known last.
type candidateQueues struct {
	indexed int
	all     []*candidateQueue
}

func (ls *candidateQueues) add(key candidateQueueKey, e simulatedCandidate) {
	for _, l := range ls.all {
		if l.candidateQueueKey == key {
			l.push(e)
			return
		}
	}
	l := &candidateQueue{candidateQueueKey: key}
	ls.all = append(ls.all, l)
	l.push(e)
}

// shapeCandidates is the machines for one kind of task: all of them as if they had no
// image, and for each image those that hold or fetch it.
type shapeCandidates struct {
	candidateQueues
	byImage map[int32]*candidateQueues
	// off: the tasks stay off machines with GPUs.
	avoidGPUs bool
}

// placementRequest is a job for which places are looked for in a plan.
type placementRequest struct {
	job        *job
	need       model.Resources
	imageGB    float64
	imageID    int32
	run        time.Duration
	candidates *shapeCandidates
	holders    *candidateQueues
	// avoidedMachine is the machine that no waiting task of it may go to, or -1.
	avoidedMachine int32
	// each: every machine is looked at, as its tasks are not all alike.
	fullScan   bool
	offers     []offer
	zoneLimits *zoneLimits
}

// offer is a kind of machine that may be rented for a job.
type offer struct {
	machineKind
	tasksPerMachine int
	costPerHour     float64
	timeToReady     time.Duration
	fetchTime       time.Duration
}

// newRequest prepares to look for places for a job's tasks.
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

// imageID numbers the images of a plan. Those of its machines are numbered when
// the room is looked at.
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

// indexImages notes which machines of the plan hold or fetch which images.
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

// refreshCandidates takes in machines that were added since, and those that were given the
// image.
func (p *simulation) refreshCandidates(a *placementRequest) {
	add := func(ls *candidateQueues, i int32, held bool) {
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
		ls.add(key, simulatedCandidate{start, i, int32(v.placements)})
	}
	for ; a.candidates.indexed < len(p.machines); a.candidates.indexed++ {
		p.spend(1)
		add(&a.candidates.candidateQueues, int32(a.candidates.indexed), false)
	}
	for has := p.imageHolders[a.imageID]; a.holders.indexed < len(has); a.holders.indexed++ {
		p.spend(1)
		add(a.holders, has[a.holders.indexed], true)
	}
}

// bestMachine is the machine on which a task that comes at the time from could run
// first, its image there, and when. yields looks only at those that no other
// waiting work depends on.
func (p *simulation) bestMachine(a *placementRequest, from time.Time, avoidNeeded bool) (*simulatedMachine, time.Time) {
	wait := max(0, from.Sub(p.now))
	if a.fullScan {
		v, at := p.bestByFullScan(a, wait, avoidNeeded)
		return v, p.now.Add(at)
	}
	p.refreshCandidates(a)
	best, at := int32(-1), time.Duration(0)
	for _, set := range [...][]*candidateQueue{a.candidates.all, a.holders.all} {
		for _, l := range set {
			if avoidNeeded && l.neededElsewhere {
				continue
			}
			if i, start, ok := p.firstInQueue(l, a, wait); ok {
				if t := start + record.DurationOfSeconds(l.secondsPerGB*a.imageGB); best < 0 || t < at || t == at && i < best {
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

// lookAhead is how many of the first machines of a lane are compared for a task
// that comes later. Those that are free by then are all as good, and the first of
// the plan is to be taken, so that others stay idle.
const lookAhead = 15

// firstInQueue is the machine of a lane on which a task could start first, and when.
func (p *simulation) firstInQueue(l *candidateQueue, a *placementRequest, wait time.Duration) (int32, time.Duration, bool) {
	var aside simulatedCandidate
	set := false
	for len(l.elems) > 0 {
		e := &l.elems[0]
		v := p.machines[e.index]
		if int32(v.placements) != e.placements {
			if start, ok := v.earliestStart(a.need, false, a.candidates.avoidGPUs); ok {
				e.start, e.placements = start, int32(v.placements)
				l.siftDown()
			} else {
				l.pop()
			}
			continue
		}
		if e.index != a.avoidedMachine {
			break
		}
		aside, set = l.pop(), true
	}
	if len(l.elems) == 0 {
		if set {
			l.push(aside)
		}
		return 0, 0, false
	}
	i, start := l.elems[0].index, max(l.elems[0].start, wait)
	if l.elems[0].start < wait {
		for _, x := range l.elems[1:min(len(l.elems), lookAhead)] {
			if x.start <= wait && x.index < i && x.index != a.avoidedMachine && int32(p.machines[x.index].placements) == x.placements {
				i = x.index
			}
		}
	}
	if set {
		l.push(aside)
	}
	return i, start, true
}

// bestByFullScan looks at every machine, for tasks that are not all alike.
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

// fetchTime is how long v would take to have the image.
func (p *simulation) fetchTime(v *simulatedMachine, a *placementRequest) time.Duration {
	switch {
	case slices.Contains(v.placedImages, a.imageID) || slices.Contains(v.cached, a.imageID):
		return 0
	case slices.Contains(v.fetchingImages, a.imageID):
		return record.DurationOfSeconds(v.fetchingSecondsPerGB * a.imageGB)
	}
	return record.DurationOfSeconds(v.secondsPerGB * a.imageGB)
}

// placeTasks lets up to count tasks start on v, as many as fit there at one time, and
// says how many, when, and how long the fetch of their image is that the first of
// them counts; for the others the image is taken to be there. Alike tasks that come
// together count as one.
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
