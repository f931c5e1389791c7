package controller

import (
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
)

const (
	// expensivePenalty is added to a machine's score for each time that its CPUs cost the
	// price of the cheapest kind, so that expensive machines go idle first and are released.
	expensivePenalty = time.Second
	// prewarmedPenalty keeps other work off machines that hold the images of workloads
	// whose wait is bounded, as long as a fetch elsewhere is quicker.
	prewarmedPenalty = 3 * time.Second
	// leftWaitingAfter is after which time a job counts as left waiting: it has pending tasks,
	// and none was placed for so long. It may then use machines that cost reasons keep from
	// it. The operators' rule allows twice as long beside a machine with free capacity.
	leftWaitingAfter = 45 * time.Second
	// maxSkippedTasks bounds the tasks of a job that are passed over in a round because they
	// avoid the machines that have capacity.
	maxSkippedTasks = 16
)

// placement_round.go places pending tasks. A round rates a machine a few times for each kind of
// task and image, not once for each job: when a large pool has fallen behind, hundreds of jobs are
// pending, and heartbeats and renewals wait for the round.

// placementRound is what one round finds out once for all jobs.
type placementRound struct {
	// candidates are the usable machines with any free capacity.
	candidates []*candidateMachine
	// prewarmedImages are the images of workloads whose wait is bounded.
	prewarmedImages    map[string]bool
	scarcityByWorkload map[string]map[string]scarcity
	// full are the kinds of tasks that fit nowhere. Of a long queue of alike jobs only the
	// first rates every machine.
	full            map[taskShape]bool
	candidateGroups map[candidateGroupKey]*candidateGroup
	// packedCandidates are the machines with GPUs on which tasks were placed, in that order,
	// once for each task.
	packedCandidates []*candidateMachine
}

// candidateMachine is a machine with free capacity, and the part of its rating that is the same
// for all jobs.
type candidateMachine struct {
	machine *machine
	index   int
	// costPenalty keeps work off an expensive machine, in seconds.
	costPenalty float64
	// holdsPrewarmed says that it holds an image of a workload whose wait is bounded.
	holdsPrewarmed bool
	// fetchRate is in GB a second; fetchCount images are being fetched.
	fetchRate  float64
	fetchCount int
	// packingKind is the usual demand on machines of its type, if they have GPUs; else nil.
	packingKind *packing.Profile
}

// taskShape is what of a task decides on which machines it may run.
type taskShape struct {
	workload     string
	need         model.Resources
	machineTypes string
	zone         string
	spot         bool
}

func (j *job) taskShape() taskShape {
	s := taskShape{workload: j.Workload, need: j.Need, zone: j.Zone, spot: j.AllowSpot}
	if len(j.MachineTypes) > 0 {
		s.machineTypes = strings.Join(j.MachineTypes, " ")
	}
	return s
}

// newPlacementRound rates all usable machines as far as that is the same for all jobs.
func (s *scheduler) newPlacementRound() *placementRound {
	r := &placementRound{
		prewarmedImages: map[string]bool{}, scarcityByWorkload: map[string]map[string]scarcity{},
		full: map[taskShape]bool{}, candidateGroups: map[candidateGroupKey]*candidateGroup{},
	}
	for _, w := range s.controller.shardLeader.workloads {
		if s.waitObjective(w.spec.Workload) > 0 && s.now.Sub(w.lastSeen) < workloadRetention {
			for _, k := range s.controller.shardLeader.fleet.workloadKeysOf(w.spec.Workload) {
				for _, a := range s.controller.shardLeader.fleet.arrivals[k] {
					r.prewarmedImages[a.spec.Image] = true
				}
			}
		}
	}
	cheapest, costPenalties, usual := s.controller.knowledge.cheapestCPUCost(), map[machineKind]float64{}, s.currentPackingProfile()
	for _, m := range s.controller.shardLeader.machinesByID {
		free := m.free()
		if free.CPU <= roundingTolerance || free.Memory <= roundingTolerance || !s.usable(m) {
			continue
		}
		c := &candidateMachine{machine: m, index: len(r.candidates), fetchRate: s.controller.knowledge.imageFetchRate(m), packingKind: usual.kind(m.machineType)}
		k := machineKind{m.machineType, m.zone, m.spot}
		d, ok := costPenalties[k]
		if !ok {
			d = expensivePenalty.Seconds() * (s.controller.knowledge.costPerCPU(m)/cheapest - 1)
			costPenalties[k] = d
		}
		c.costPenalty = d
		c.scanImages(r)
		r.candidates = append(r.candidates, c)
	}
	return r
}

// scanImages notes which images the machine holds and fetches now.
func (c *candidateMachine) scanImages(r *placementRound) {
	c.holdsPrewarmed, c.fetchCount = false, 0
	for name, im := range c.machine.images {
		switch {
		case !im.cached:
			c.fetchCount++
		case r.prewarmedImages[name]:
			c.holdsPrewarmed = true
		}
	}
}

// fetchSeconds is how long the machine needs to have the job's image, in seconds.
func (c *candidateMachine) fetchSeconds(j *job) float64 {
	return c.machine.fetchSeconds(j, c.fetchCount, c.fetchRate)
}

// scarcityFor is scarcityOf, once in a round for each workload whose tasks may run on any type.
func (s *scheduler) scarcityFor(r *placementRound, j *job) map[string]scarcity {
	byType, ok := r.scarcityByWorkload[j.Workload]
	if !ok || len(j.MachineTypes) > 0 {
		byType = s.scarcityOf(&j.JobSpec)
		if len(j.MachineTypes) == 0 {
			r.scarcityByWorkload[j.Workload] = byType
		}
	}
	return byType
}

// candidateGroupKey identifies tasks that may run on the same machines at the same cost.
type candidateGroupKey struct {
	taskShape
	image       string
	imageGB     float64
	leftWaiting bool
}

// leftWaiting reports whether the job is left waiting; see leftWaitingAfter.
func (s *scheduler) leftWaiting(j *job) bool {
	return !j.waitingSince.IsZero() && s.now.Sub(later(j.waitingSince, j.lastPlacedAt)) > leftWaitingAfter
}

// candidateGroup is the machines with capacity for alike tasks, those with the same fetch time in
// one heap, the best first. Scores may be out of date, since other tasks take capacity and fetch
// images too; the first of a heap is rated again when it comes up.
type candidateGroup struct {
	byFetchTime []*fetchTimeHeap
	// run is the expected run time in seconds.
	run         float64
	boundedWait bool
	// leftWaiting opens machines under decommission to the job.
	leftWaiting bool
	// scarcity is by machine type; nil where no other workload matters.
	scarcity map[string]scarcity
	// avoidGPUs keeps the tasks off machines with GPUs.
	avoidGPUs bool
	// packedSeen counts the packed candidates of the round that were rated again.
	packedSeen int
}

// fetchTimeHeap is machines that take equally long to have the image.
type fetchTimeHeap struct {
	fetchSeconds float64
	heap[ratedCandidate, *ratedCandidate]
}

// ratedCandidate is a machine on which a task may be placed, and how well it suits, in seconds;
// less is better.
type ratedCandidate struct {
	candidate *candidateMachine
	score     float64
}

// betterThan compares the first machines of two heaps that are not empty, with their fetch times.
func (f *fetchTimeHeap) betterThan(o *fetchTimeHeap) bool {
	a, b := f.fetchSeconds+f.elems[0].score, o.fetchSeconds+o.elems[0].score
	return a < b || a == b && f.elems[0].candidate.index < o.elems[0].candidate.index
}

//lint:ignore U1000 heap calls it by its type parameter
func (a *ratedCandidate) before(b *ratedCandidate) bool {
	return a.score < b.score || a.score == b.score && a.candidate.index < b.candidate.index
}

func (g *candidateGroup) push(fetch float64, p ratedCandidate) {
	for _, f := range g.byFetchTime {
		if f.fetchSeconds == fetch {
			f.push(p)
			return
		}
	}
	f := &fetchTimeHeap{fetchSeconds: fetch}
	f.push(p)
	g.byFetchTime = append(g.byFetchTime, f)
}

// candidateGroupFor returns the machines for a job's tasks. Alike jobs share a group, but where it
// matters in which zone the job's other tasks are.
func (s *scheduler) candidateGroupFor(r *placementRound, j *job) *candidateGroup {
	key := candidateGroupKey{j.taskShape(), j.Image, j.ImageGB, s.leftWaiting(j)}
	own := j.SameZone || j.SpreadZones || j.placingOverdue
	if g := r.candidateGroups[key]; g != nil && !own {
		s.reratePacked(r, g, j)
		return g
	}
	g := &candidateGroup{
		run: s.controller.knowledge.expectedRunTime(j).Seconds(), boundedWait: s.waitObjective(j.Workload) > 0,
		leftWaiting: key.leftWaiting, avoidGPUs: s.avoidsGPUsNow(j), packedSeen: len(r.packedCandidates),
	}
	if !j.placingOverdue {
		// An overdue job leaves nothing to others that fit fewer types.
		g.scarcity = s.scarcityFor(r, j)
	}
	for _, c := range r.candidates {
		if score, ok := g.rate(s, j, c); ok {
			g.push(c.fetchSeconds(j), ratedCandidate{c, score})
		}
	}
	if !own {
		r.candidateGroups[key] = g
	}
	return g
}

// rate returns how well a machine suits a task of j, apart from the fetch, and whether the task
// may be placed there at all. The fullest machine is best, so that others go empty.
func (g *candidateGroup) rate(s *scheduler, j *job, c *candidateMachine) (float64, bool) {
	m := c.machine
	free := m.free()
	if !j.Need.Fits(free) || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.zoneAllowed(m.zone) || m.reservedForOther(j) {
		return 0, false
	}
	sc := notScarce
	if len(g.scarcity) > 0 {
		sc = g.scarcity[m.machineType]
	}
	if m.decommissioning && !g.boundedWait && !g.leftWaiting && m.reservedFor != j.ID || sc == scarceNow {
		return 0, false
	}
	score := c.costPenalty
	if !g.boundedWait && c.holdsPrewarmed {
		score += prewarmedPenalty.Seconds()
	}
	if m.speedN >= slowSeen && m.speed > slowMachine {
		score += g.run * (m.speed - 1)
	}
	if sc == scarceSoon {
		score += scarcePenalty.Seconds()
	}
	if c.packingKind != nil {
		more, ok := s.rateGPUMachine(c.packingKind, j, m, free, g.avoidGPUs)
		return score + more, ok
	}
	return score + (free.CPU-j.Need.CPU)/max(m.size.CPU, 1), true
}

// best returns the heap whose first machine is best for a task of j, among those that need no
// longer than most seconds to have the image.
func (g *candidateGroup) best(s *scheduler, j *job, most float64) (*fetchTimeHeap, bool) {
	var best *fetchTimeHeap
	// Moving a machine to another heap may append one, so the length is read each time.
	for k := 0; k < len(g.byFetchTime); k++ {
		f := g.byFetchTime[k]
		if f.fetchSeconds > most {
			continue
		}
		for len(f.elems) > 0 {
			// Copied: once the first is popped, another stands in its place and would be
			// pushed with this one's score.
			p := f.elems[0]
			score, ok := g.rate(s, j, p.candidate)
			if fetch := p.candidate.fetchSeconds(j); ok && fetch == f.fetchSeconds && score <= p.score {
				break
			} else if !ok {
				f.pop()
			} else if fetch != f.fetchSeconds {
				f.pop()
				g.push(fetch, ratedCandidate{p.candidate, score})
			} else {
				f.elems[0].score = score
				f.siftDown()
			}
		}
		if len(f.elems) > 0 && (best == nil || f.betterThan(best)) {
			best = f
		}
	}
	return best, best != nil
}

// placeJob places up to count pending tasks on machines that need no longer than fetch to have
// the image.
func (s *scheduler) placeJob(j *job, r *placementRound, fetch time.Duration, count int) {
	if count <= 0 || j.pendingTasks() == 0 || !s.withinQuotaLimit(j) {
		return
	}
	shape := j.taskShape()
	leftWaiting := s.leftWaiting(j)
	if r.full[shape] && !j.placingOverdue && !leftWaiting {
		return
	}
	candidates := s.candidateGroupFor(r, j)
	most := fetch.Seconds()
	// Tasks that avoid the only machines with capacity do not keep the others from them.
	var skipped []int
	defer func() {
		if len(skipped) > 0 {
			j.requeued = append(skipped, j.requeued...)
		}
	}()
	for ; count > 0 && j.pendingTasks() > 0 && s.withinQuotaLimit(j); count-- {
		if leftWaiting && !s.leftWaiting(j) {
			// One task was placed: the others are not left waiting any more.
			leftWaiting, candidates = false, s.candidateGroupFor(r, j)
		}
		i := j.takePending(s.now)
		if i < 0 {
			return
		}
		t := &j.tasks[i]
		var avoided []ratedCandidate
		f, ok := candidates.best(s, j, most)
		for ok && t.avoids(f.elems[0].candidate.machine.id) {
			avoided = append(avoided, f.pop())
			f, ok = candidates.best(s, j, most)
		}
		if !ok {
			for _, p := range avoided {
				candidates.push(p.candidate.fetchSeconds(j), p)
			}
			skipped = append(skipped, i)
			if len(avoided) > 0 && len(skipped) < maxSkippedTasks {
				continue
			}
			if fetch == forever && len(avoided) == 0 && !j.SameZone && !j.SpreadZones && !leftWaiting {
				r.full[shape] = true
			}
			return
		}
		c := f.elems[0].candidate
		s.startAttempt(j, i, c.machine)
		c.scanImages(r)
		if c.packingKind != nil {
			r.packedCandidates = append(r.packedCandidates, c)
		}
		for _, p := range avoided {
			candidates.push(p.candidate.fetchSeconds(j), p)
		}
	}
}

// startAttempt makes a new attempt of task i live on m. The start command is sent once its record
// is durable.
func (s *scheduler) startAttempt(j *job, i int, m *machine) {
	t, id := &j.tasks[i], s.now.UnixMilli()
	g := j.groups[id]
	if g == nil {
		g = &group{startedAt: s.now}
		j.groups[id] = g
	}
	g.tasks = append(g.tasks, i)
	t.attempt++
	j.lastPlacedAt = s.now
	if pause := s.controller.shardLeader.faultAttribution.RetryBackoff(j.ID); pause > 0 {
		j.notBefore = later(j.notBefore, s.now.Add(s.jitter(pause)))
	}
	t.groupStart = id
	t.rankingRevision = s.controller.ranking.modRevision
	t.startSent, t.reported, t.inherited, t.missedStarts, t.startUnanswered = false, false, false, 0, false
	s.controller.shardLeader.attachAttempt(j, i, m)
	m.lastPlacedAt = s.now
	m.noteImage(j, s.now, false)
	j.markChanged(i, s.now, true)
	s.debug("task placed", "job", j.ID, "task", i, "try", t.attempt, "machine", m.id, "ranking", t.rankingRevision)
}
