package controller

import (
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
)

const (
	// expensivePenalty, for each time a machine's processors cost the cheapest
	// kind's price, lets dear machines go idle first, to be returned.
	expensivePenalty = time.Second
	// prewarmedPenalty keeps other work off machines that hold the images of work
	// whose wait is bounded, as long as a fetch elsewhere is quicker.
	prewarmedPenalty = 3 * time.Second
)

// placement_round.go places what waits. A round looks at a machine some few times for each
// kind of task and image, not once for each job: in a large pool that has fallen
// behind hundreds of jobs wait, and reports and renewals wait for the round.

// placementRound is what a look at the waiting jobs finds out once for all of them.
type placementRound struct {
	// candidates are the usable machines with any room.
	candidates []*candidateMachine
	// prewarmedImages are the images of workloads whose wait is bounded.
	prewarmedImages    map[string]bool
	scarcityByWorkload map[string]map[string]scarcity
	// full are the kinds of tasks for which no room was found anywhere. Of a
	// long queue of alike jobs only the first looks at every machine.
	full            map[taskShape]bool
	candidateGroups map[candidateGroupKey]*candidateGroup
	// packedCandidates are the machines with GPUs on which something was placed, one after another.
	packedCandidates []*candidateMachine
}

// candidateMachine is a machine with room, and what of its rating is the same for all jobs.
type candidateMachine struct {
	machine *machine
	index   int
	// costPenalty is what keeps work off a dear machine, warmed that it holds an image of
	// work whose wait is bounded, pull what it fetches a second, and fetching how
	// many images are on their way.
	costPenalty    float64
	holdsPrewarmed bool
	fetchRate      float64
	fetchCount     int
	// packingKind is what is usual on machines of its kind, if they have GPUs.
	packingKind *packing.Profile
}

// taskShape is what of a task decides where it may go.
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

func (ss *scheduler) newPlacementRound() *placementRound {
	r := &placementRound{prewarmedImages: map[string]bool{}, scarcityByWorkload: map[string]map[string]scarcity{}, full: map[taskShape]bool{}, candidateGroups: map[candidateGroupKey]*candidateGroup{}}
	for _, w := range ss.controller.shardLeader.workloads {
		if ss.waitObjective(w.spec.Workload) > 0 && ss.now.Sub(w.lastSeen) < workloadRetention {
			for _, k := range ss.controller.shardLeader.fleet.workloadKeysOf(w.spec.Workload) {
				for _, a := range ss.controller.shardLeader.fleet.arrivals[k] {
					r.prewarmedImages[a.spec.Image] = true
				}
			}
		}
	}
	cheapest, costPenalties, usual := ss.controller.knowledge.cheapestCPUCost(), map[machineKind]float64{}, ss.currentPackingProfile()
	for _, m := range ss.controller.shardLeader.machinesByID {
		free := m.free()
		if free.CPU <= roundingTolerance || free.Memory <= roundingTolerance || !ss.usable(m) {
			continue
		}
		s := &candidateMachine{machine: m, index: len(r.candidates), fetchRate: ss.controller.knowledge.imageFetchRate(m), packingKind: usual.kind(m.machineType)}
		k := machineKind{m.machineType, m.zone, m.spot}
		d, ok := costPenalties[k]
		if !ok {
			d = expensivePenalty.Seconds() * (ss.controller.knowledge.costPerCPU(m)/cheapest - 1)
			costPenalties[k] = d
		}
		s.costPenalty = d
		s.scanImages(r)
		r.candidates = append(r.candidates, s)
	}
	return r
}

// scanImages takes in which images the machine has.
func (s *candidateMachine) scanImages(r *placementRound) {
	s.holdsPrewarmed, s.fetchCount = false, 0
	for name, im := range s.machine.images {
		switch {
		case !im.cached:
			s.fetchCount++
		case r.prewarmedImages[name]:
			s.holdsPrewarmed = true
		}
	}
}

// fetchSeconds is how long the machine needs to have the job's image, in seconds.
func (s *candidateMachine) fetchSeconds(j *job) float64 {
	return s.machine.fetchSeconds(j, s.fetchCount, s.fetchRate)
}

func (ss *scheduler) scarcityFor(r *placementRound, j *job) map[string]scarcity {
	s, ok := r.scarcityByWorkload[j.Workload]
	if !ok || len(j.MachineTypes) > 0 {
		s = ss.scarcityOf(&j.JobSpec)
		if len(j.MachineTypes) == 0 {
			r.scarcityByWorkload[j.Workload] = s
		}
	}
	return s
}

// candidateGroupKey names tasks that may go to the same machines at the same cost.
type candidateGroupKey struct {
	taskShape
	image   string
	imageGB float64
	// left: their job is left waiting.
	leftWaiting bool
}

// leftWaitingAfter is after which time a job is left waiting: something of it waits, and nothing
// was given a place for so long. It may then use what is kept from it for the sake of the price. The operators'
// rule allows twice as long beside a machine with room.
const leftWaitingAfter = 45 * time.Second

func (s *scheduler) leftWaiting(j *job) bool {
	return !j.waitingSince.IsZero() && s.now.Sub(later(j.waitingSince, j.lastPlacedAt)) > leftWaitingAfter
}

// candidateGroup is the machines with room for alike tasks, those with the same time to fetch
// in one heap, the best first. Ratings may be out of date, since other tasks take
// room and fetch images too; the first of a heap is rated again when it comes up.
type candidateGroup struct {
	byFetchTime []*fetchTimeHeap
	run         float64
	boundedWait bool
	// left: the job is left waiting, and machines that are being retired are open to it.
	leftWaiting bool
	scarcity    map[string]scarcity
	// off: the tasks stay off machines with GPUs. seen counts the packed machines of the
	// round that are taken in.
	avoidGPUs  bool
	packedSeen int
}

type fetchTimeHeap struct {
	fetchSeconds float64
	heap[ratedCandidate, *ratedCandidate]
}

// ratedCandidate is a machine on which a task of a job may go, and how well it suits;
// less is better.
type ratedCandidate struct {
	candidate *candidateMachine
	score     float64
}

//lint:ignore U1000 heap calls it by its type parameter
func (a *ratedCandidate) before(b *ratedCandidate) bool {
	return a.score < b.score || a.score == b.score && a.candidate.index < b.candidate.index
}

func (l *candidateGroup) push(fetch float64, p ratedCandidate) {
	for _, f := range l.byFetchTime {
		if f.fetchSeconds == fetch {
			f.push(p)
			return
		}
	}
	f := &fetchTimeHeap{fetchSeconds: fetch}
	f.push(p)
	l.byFetchTime = append(l.byFetchTime, f)
}

// candidateGroupFor is the machines for a job's tasks. Where it matters in which zone its
// other tasks are, it is the job's own.
func (ss *scheduler) candidateGroupFor(r *placementRound, j *job) *candidateGroup {
	key := candidateGroupKey{j.taskShape(), j.Image, j.ImageGB, ss.leftWaiting(j)}
	own := j.SameZone || j.SpreadZones || j.placingOverdue
	if l := r.candidateGroups[key]; l != nil && !own {
		ss.reratePacked(r, l, j)
		return l
	}
	l := &candidateGroup{run: ss.controller.knowledge.expectedRunTime(j).Seconds(), boundedWait: ss.waitObjective(j.Workload) > 0, leftWaiting: key.leftWaiting, avoidGPUs: ss.avoidsGPUsNow(j), packedSeen: len(r.packedCandidates)}
	if !j.placingOverdue {
		// What has waited too long leaves nothing to others that fit less.
		l.scarcity = ss.scarcityFor(r, j)
	}
	for _, s := range r.candidates {
		if score, ok := l.rate(ss.controller, j, s); ok {
			l.push(s.fetchSeconds(j), ratedCandidate{s, score})
		}
	}
	if !own {
		r.candidateGroups[key] = l
	}
	return l
}

// rate says how well a machine suits a task of j, the fetch apart: the fullest
// best, so that machines go empty.
func (l *candidateGroup) rate(n *Controller, j *job, s *candidateMachine) (float64, bool) {
	m := s.machine
	free := m.free()
	if !j.Need.Fits(free) || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.zoneAllowed(m.zone) || m.reservedForOther(j) {
		return 0, false
	}
	sc := notScarce
	if len(l.scarcity) > 0 {
		sc = l.scarcity[m.machineType]
	}
	if m.decommissioning && !l.boundedWait && !l.leftWaiting && m.reservedFor != j.ID || sc == scarceNow {
		return 0, false
	}
	score := s.costPenalty
	if !l.boundedWait && s.holdsPrewarmed {
		score += prewarmedPenalty.Seconds()
	}
	if m.speedN >= slowSeen && m.speed > slowMachine {
		score += l.run * (m.speed - 1)
	}
	if sc == scarceSoon {
		score += scarcePenalty.Seconds()
	}
	if s.packingKind != nil {
		more, ok := n.shardLeader.scheduler.rateGPUMachine(s.packingKind, j, m, free, l.avoidGPUs)
		return score + more, ok
	}
	return score + (free.CPU-j.Need.CPU)/max(m.size.CPU, 1), true
}

// best is the best machine that needs no longer than most seconds to fetch.
func (l *candidateGroup) best(n *Controller, j *job, most float64) (*fetchTimeHeap, bool) {
	var best *fetchTimeHeap
	for k := 0; k < len(l.byFetchTime); k++ {
		f := l.byFetchTime[k]
		if f.fetchSeconds > most {
			continue
		}
		for len(f.elems) > 0 {
			// Taken by value: with the first one gone another stands in its place, and
			// would be entered with this one's rating, on a machine that may not suit.
			p := f.elems[0]
			score, ok := l.rate(n, j, p.candidate)
			if fetch := p.candidate.fetchSeconds(j); ok && fetch == f.fetchSeconds && score <= p.score {
				break
			} else if !ok {
				f.pop()
			} else if fetch != f.fetchSeconds {
				f.pop()
				l.push(fetch, ratedCandidate{p.candidate, score})
			} else {
				f.elems[0].score = score
				f.siftDown()
			}
		}
		if len(f.elems) > 0 && (best == nil || f.fetchSeconds+f.elems[0].score < best.fetchSeconds+best.elems[0].score ||
			f.fetchSeconds+f.elems[0].score == best.fetchSeconds+best.elems[0].score && f.elems[0].candidate.index < best.elems[0].candidate.index) {
			best = f
		}
	}
	return best, best != nil
}

// maxSkippedTasks bounds the tasks of a job that are passed over in a round because they
// shun the places there are.
const maxSkippedTasks = 16

// placeJob places up to count waiting tasks on machines that need no longer than
// fetch to have the image.
func (ss *scheduler) placeJob(j *job, r *placementRound, fetch time.Duration, count int) {
	if count <= 0 || j.pendingTasks() == 0 || !ss.withinQuotaLimit(j) {
		return
	}
	shape := j.taskShape()
	leftWaiting := ss.leftWaiting(j)
	if r.full[shape] && !j.placingOverdue && !leftWaiting {
		return
	}
	candidates := ss.candidateGroupFor(r, j)
	most := fetch.Seconds()
	// Tasks that shun the only places there are do not keep the others from them.
	var skipped []int
	defer func() {
		if len(skipped) > 0 {
			j.requeued = append(skipped, j.requeued...)
		}
	}()
	for ; count > 0 && j.pendingTasks() > 0 && ss.withinQuotaLimit(j); count-- {
		if leftWaiting && !ss.leftWaiting(j) {
			// One task was given a place: the others are not left waiting any more.
			leftWaiting, candidates = false, ss.candidateGroupFor(r, j)
		}
		i := j.takePending(ss.now)
		if i < 0 {
			return
		}
		t := &j.tasks[i]
		var shunned []ratedCandidate
		f, ok := candidates.best(ss.controller, j, most)
		for ok && t.avoids(f.elems[0].candidate.machine.id) {
			shunned = append(shunned, f.pop())
			f, ok = candidates.best(ss.controller, j, most)
		}
		if !ok {
			for _, p := range shunned {
				candidates.push(p.candidate.fetchSeconds(j), p)
			}
			skipped = append(skipped, i)
			if len(shunned) > 0 && len(skipped) < maxSkippedTasks {
				continue
			}
			if fetch == forever && len(shunned) == 0 && !j.SameZone && !j.SpreadZones && !leftWaiting {
				r.full[shape] = true
			}
			return
		}
		s := f.elems[0].candidate
		ss.startAttempt(j, i, s.machine)
		s.scanImages(r)
		if s.packingKind != nil {
			r.packedCandidates = append(r.packedCandidates, s)
		}
		for _, p := range shunned {
			candidates.push(p.candidate.fetchSeconds(j), p)
		}
	}
}

// startAttempt makes a new attempt of task i live on m. It starts when its record is durable.
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
	t.groupStart = id
	t.rankingRevision = s.controller.ranking.modRevision
	t.startSent, t.reported, t.inherited, t.missedStarts, t.startUnanswered = false, false, false, 0, false
	s.controller.shardLeader.attachAttempt(j, i, m)
	m.noteImage(j, s.now, false)
	j.markChanged(i, s.now, true)
	s.debug("placed", "job", j.ID, "task", i, "try", t.attempt, "machine", m.id, "ranking", t.rankingRevision)
}
