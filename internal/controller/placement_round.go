package controller

import (
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
)

const (
	// expensivePenalty is the score penalty of a machine whose CPUs cost twice as much as those
	// of the cheapest kind. The penalty is proportional to the excess cost, so that expensive
	// machines become idle first and are released.
	expensivePenalty = time.Second
	// prewarmedPenalty is added to the score of machines that hold images of workloads with a
	// bounded wait. It keeps tasks of other workloads off these machines as long as a fetch
	// elsewhere is quicker.
	prewarmedPenalty = 3 * time.Second
	// leftWaitingAfter is how long a job with pending tasks may go without a placed task before
	// it counts as left waiting. Such a job may also use the machines that are otherwise closed
	// to it, one task at a time. The operators' rule allows twice this time beside a machine with
	// free capacity.
	leftWaitingAfter = 45 * time.Second
	// maxSkippedTasks bounds how many tasks of a job a round skips because they avoid the
	// machines that have capacity.
	maxSkippedTasks = 16
)

// placement_round.go places pending tasks. A round rates a machine a few times for each kind of
// task and image, and not once for each job: when a large pool has fallen behind, hundreds of jobs
// are pending, and heartbeats and lease renewals wait until the round ends.

// placementRound holds what one round determines once for all jobs.
type placementRound struct {
	// candidates are the usable machines with any free capacity.
	candidates []*candidateMachine
	// prewarmedImages are the images of workloads with a bounded wait.
	prewarmedImages    map[string]bool
	scarcityByWorkload map[string]map[string]scarcity
	// unplaceableShapes are the kinds of tasks that fit on no machine. In a long queue of similar jobs only
	// the first job rates every machine.
	unplaceableShapes map[taskShape]bool
	candidateGroups   map[candidateGroupKey]*candidateGroup
	// packedCandidates lists the GPU machines on which this round placed tasks, in the order of
	// placement and once for each task.
	packedCandidates []*candidateMachine
}

// candidateMachine is a machine with free capacity, together with the part of its rating that is
// the same for all jobs.
type candidateMachine struct {
	machine *machine
	index   int
	// costPenalty is the part of the score, in seconds, that keeps tasks off an expensive
	// machine.
	costPenalty float64
	// holdsPrewarmed is set if the machine holds an image of a workload with a bounded wait.
	holdsPrewarmed bool
	// fetchRate is the image fetch rate in GB per second; fetchCount is the number of images
	// being fetched.
	fetchRate  float64
	fetchCount int
	// packingKind is the usual demand on machines of this type if they have GPUs, and nil
	// otherwise.
	packingKind *packing.Profile
}

// taskShape contains the properties of a task that decide on which machines it may run.
type taskShape struct {
	workload     string
	need         model.Resources
	machineTypes string
	zone         string
	spot         bool
}

// taskShape returns the shape of the job's tasks.
func (job *job) taskShape() taskShape {
	return taskShape{workload: job.Workload, need: job.Need, machineTypes: machineTypesKey(&job.JobSpec), zone: job.Zone, spot: job.AllowSpot}
}

// machineTypesKey returns a key of the machine types that a job allows: "" if it allows all.
func machineTypesKey(spec *model.JobSpec) string {
	if spec.MachineTypes == nil {
		return ""
	}
	return "only " + strings.Join(spec.MachineTypes, " ")
}

// newPlacementRound lists the usable machines with free capacity and computes the part of their
// ratings that is the same for all jobs.
func (scheduler *scheduler) newPlacementRound() *placementRound {
	round := &placementRound{
		prewarmedImages: map[string]bool{}, scarcityByWorkload: map[string]map[string]scarcity{},
		unplaceableShapes: map[taskShape]bool{}, candidateGroups: map[candidateGroupKey]*candidateGroup{},
	}
	for _, workload := range scheduler.controller.shardLeader.workloads {
		if scheduler.waitObjective(workload.spec.Workload) > 0 && scheduler.now.Sub(workload.lastSeen) < workloadRetention {
			for _, key := range scheduler.controller.shardLeader.fleet.workloadKeysOf(workload.spec.Workload) {
				for _, arrival := range scheduler.controller.shardLeader.fleet.arrivals[key] {
					round.prewarmedImages[arrival.spec.Image] = true
				}
			}
		}
	}
	cheapest, costPenalties, usual := scheduler.controller.knowledge.cheapestCPUCost(), map[machineKind]float64{}, scheduler.currentPackingProfile()
	for _, machine := range scheduler.controller.shardLeader.machinesByID {
		free := machine.free()
		if free.CPU <= roundingTolerance || free.Memory <= roundingTolerance || !scheduler.usable(machine) {
			continue
		}
		candidate := &candidateMachine{machine: machine, index: len(round.candidates), fetchRate: scheduler.controller.knowledge.imageFetchRate(machine), packingKind: usual.profileFor(machine.machineType)}
		key := machineKind{machine.machineType, machine.zone, machine.spot}
		penalty, ok := costPenalties[key]
		if !ok {
			penalty = expensivePenalty.Seconds() * (scheduler.controller.knowledge.costPerCPU(machine)/cheapest - 1)
			costPenalties[key] = penalty
		}
		candidate.costPenalty = penalty
		candidate.scanImages(round)
		round.candidates = append(round.candidates, candidate)
	}
	return round
}

// scanImages updates holdsPrewarmed and fetchCount from the machine's images.
func (candidate *candidateMachine) scanImages(round *placementRound) {
	candidate.holdsPrewarmed, candidate.fetchCount = false, 0
	for name, image := range candidate.machine.images {
		switch {
		case !image.cached:
			candidate.fetchCount++
		case round.prewarmedImages[name]:
			candidate.holdsPrewarmed = true
		}
	}
}

// fetchSeconds returns how many seconds the machine needs until it has the job's image.
func (candidate *candidateMachine) fetchSeconds(job *job) float64 {
	return candidate.machine.fetchSeconds(job, candidate.fetchCount, candidate.fetchRate)
}

// scarcityFor returns scarcityOf for the job. For jobs whose tasks may run on any machine type, the
// result is computed once per round and workload.
func (scheduler *scheduler) scarcityFor(round *placementRound, job *job) map[string]scarcity {
	byType, ok := round.scarcityByWorkload[job.Workload]
	if !ok || job.MachineTypes != nil {
		byType = scheduler.scarcityOf(&job.JobSpec)
		if job.MachineTypes == nil {
			round.scarcityByWorkload[job.Workload] = byType
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
func (scheduler *scheduler) leftWaiting(job *job) bool {
	return !job.waitingSince.IsZero() && scheduler.now.Sub(later(job.waitingSince, job.lastPlacedAt)) > leftWaitingAfter
}

// candidateGroup holds the machines with capacity for one kind of task: one heap for each fetch
// time, with the best machine first. Scores may be out of date, since other tasks also take
// capacity and fetch images, so the first machine of a heap is rated again before use.
type candidateGroup struct {
	byFetchTime []*fetchTimeHeap
	// runSeconds is the expected run time in seconds.
	runSeconds  float64
	boundedWait bool
	// leftWaiting allows the job to use machines that are closed to other jobs: those under
	// decommission and those kept for replicas.
	leftWaiting bool
	// scarcity is by machine type. It is nil if no other workload competes for the machine
	// types.
	scarcity map[string]scarcity
	// avoidGPUs keeps the tasks off machines with GPUs.
	avoidGPUs bool
	// packedSeen counts the entries of the round's packedCandidates that this group has rated
	// again.
	packedSeen int
}

// fetchTimeHeap holds the machines that need the same time to fetch the image.
type fetchTimeHeap struct {
	fetchSeconds float64
	heap[ratedCandidate, *ratedCandidate]
}

// ratedCandidate is a machine on which a task may be placed, with its score in seconds. A lower
// score is better.
type ratedCandidate struct {
	candidate *candidateMachine
	score     float64
}

// betterThan reports whether the first machine of f is better than the first machine of o, by fetch
// time plus score. Neither heap may be empty.
func (f *fetchTimeHeap) betterThan(o *fetchTimeHeap) bool {
	a, b := f.fetchSeconds+f.elems[0].score, o.fetchSeconds+o.elems[0].score
	return a < b || a == b && f.elems[0].candidate.index < o.elems[0].candidate.index
}

// before reports whether a has the better score. Equal scores are ordered by machine index.
//
//lint:ignore U1000 heap calls it by its type parameter
func (a *ratedCandidate) before(b *ratedCandidate) bool {
	return a.score < b.score || a.score == b.score && a.candidate.index < b.candidate.index
}

// push adds a machine to the heap for the given fetch time, in seconds.
func (group *candidateGroup) push(fetch float64, candidate ratedCandidate) {
	for _, fetchHeap := range group.byFetchTime {
		if fetchHeap.fetchSeconds == fetch {
			fetchHeap.push(candidate)
			return
		}
	}
	fetchHeap := &fetchTimeHeap{fetchSeconds: fetch}
	fetchHeap.push(candidate)
	group.byFetchTime = append(group.byFetchTime, fetchHeap)
}

// candidateGroupFor returns the group of machines for a job's tasks. Similar jobs share a group,
// except a job that is placed as overdue, or whose tasks depend on the zones of its other tasks.
func (scheduler *scheduler) candidateGroupFor(round *placementRound, job *job) *candidateGroup {
	key := candidateGroupKey{job.taskShape(), job.Image, job.ImageGB, scheduler.leftWaiting(job)}
	unshared := job.SameZone || job.SpreadZones || job.placingOverdue
	if group := round.candidateGroups[key]; group != nil && !unshared {
		scheduler.reratePacked(round, group, job)
		return group
	}
	group := &candidateGroup{
		runSeconds: scheduler.controller.knowledge.expectedRunTime(job).Seconds(), boundedWait: scheduler.waitObjective(job.Workload) > 0,
		leftWaiting: key.leftWaiting, avoidGPUs: scheduler.avoidsGPUsNow(job), packedSeen: len(round.packedCandidates),
	}
	if !job.placingOverdue {
		// An overdue job does not keep scarce machines free for workloads that fit fewer
		// types.
		group.scarcity = scheduler.scarcityFor(round, job)
	}
	for _, candidate := range round.candidates {
		if score, ok := group.rate(scheduler, job, candidate); ok {
			group.push(candidate.fetchSeconds(job), ratedCandidate{candidate, score})
		}
	}
	if !unshared {
		round.candidateGroups[key] = group
	}
	return group
}

// rate returns the score of a machine for a task of the job without the fetch time, and whether the
// task may be placed there at all. The fullest machine has the best score, so that other machines
// become empty.
func (group *candidateGroup) rate(scheduler *scheduler, job *job, candidate *candidateMachine) (float64, bool) {
	machine := candidate.machine
	free := machine.free()
	if !job.Need.Fits(free) || !job.allowsMachine(machine.machineType, machine.zone, machine.spot) || !job.zoneAllowed(machine.zone) || machine.reservedForOther(job) {
		return 0, false
	}
	typeScarcity := notScarce
	if len(group.scarcity) > 0 {
		typeScarcity = group.scarcity[machine.machineType]
	}
	if machine.decommissioning && !group.boundedWait && !group.leftWaiting && machine.reservedFor != job.ID || typeScarcity == scarceNow && !(group.leftWaiting && candidate.packingKind != nil) {
		return 0, false
	}
	score := candidate.costPenalty
	if !group.boundedWait && candidate.holdsPrewarmed {
		score += prewarmedPenalty.Seconds()
	}
	if machine.speedSamples >= minSpeedSamples && machine.speed > slowMachineRatio {
		score += group.runSeconds * (machine.speed - 1)
	}
	if typeScarcity == scarceSoon {
		score += scarcePenalty.Seconds()
	}
	if candidate.packingKind != nil {
		gpuScore, ok := scheduler.rateGPUMachine(candidate.packingKind, job, machine, free, group.avoidGPUs)
		return score + gpuScore, ok
	}
	return score + (free.CPU-job.Need.CPU)/max(machine.size.CPU, 1), true
}

// best returns the heap whose first machine is best for a task of the job, among machines that need
// no longer than the given fetch time, in seconds, to have the image.
func (group *candidateGroup) best(scheduler *scheduler, job *job, maxFetchSeconds float64) (*fetchTimeHeap, bool) {
	var best *fetchTimeHeap
	// Moving a machine to another heap may append a heap, so the loop reads the length each
	// time.
	for index := 0; index < len(group.byFetchTime); index++ {
		fetchHeap := group.byFetchTime[index]
		if fetchHeap.fetchSeconds > maxFetchSeconds {
			continue
		}
		for len(fetchHeap.elems) > 0 {
			// The candidate is copied: pop moves another machine to the front of the
			// heap, and that machine must not be pushed with the score of the removed
			// one.
			first := fetchHeap.elems[0]
			score, ok := group.rate(scheduler, job, first.candidate)
			if fetch := first.candidate.fetchSeconds(job); ok && fetch == fetchHeap.fetchSeconds && score <= first.score {
				break
			} else if !ok {
				fetchHeap.pop()
			} else if fetch != fetchHeap.fetchSeconds {
				fetchHeap.pop()
				group.push(fetch, ratedCandidate{first.candidate, score})
			} else {
				fetchHeap.elems[0].score = score
				fetchHeap.siftDown()
			}
		}
		if len(fetchHeap.elems) > 0 && (best == nil || fetchHeap.betterThan(best)) {
			best = fetchHeap
		}
	}
	return best, best != nil
}

// placeJob places up to count pending tasks of a job on machines that need at most fetch to have
// the image.
func (scheduler *scheduler) placeJob(job *job, round *placementRound, fetch time.Duration, count int) {
	if count <= 0 || job.pendingTasks() == 0 || !scheduler.withinQuotaLimit(job) {
		return
	}
	shape := job.taskShape()
	leftWaiting := scheduler.leftWaiting(job)
	if round.unplaceableShapes[shape] && !job.placingOverdue && !leftWaiting {
		return
	}
	candidates := scheduler.candidateGroupFor(round, job)
	maxFetchSeconds := fetch.Seconds()
	// Tasks that avoid the only machines with capacity must not block the job's other tasks.
	var skipped []int
	defer func() {
		if len(skipped) > 0 {
			job.requeued = append(skipped, job.requeued...)
		}
	}()
	for ; count > 0 && job.pendingTasks() > 0 && scheduler.withinQuotaLimit(job); count-- {
		if leftWaiting && !scheduler.leftWaiting(job) {
			// A task was placed, so the job is not left waiting any more and loses
			// access to the machines that are otherwise closed to it.
			leftWaiting, candidates = false, scheduler.candidateGroupFor(round, job)
		}
		index := job.takePending(scheduler.now)
		if index < 0 {
			return
		}
		task := &job.tasks[index]
		var avoided []ratedCandidate
		fetchHeap, ok := candidates.best(scheduler, job, maxFetchSeconds)
		for ok && task.avoids(fetchHeap.elems[0].candidate.machine.id) {
			avoided = append(avoided, fetchHeap.pop())
			fetchHeap, ok = candidates.best(scheduler, job, maxFetchSeconds)
		}
		if !ok {
			for _, avoidedCandidate := range avoided {
				candidates.push(avoidedCandidate.candidate.fetchSeconds(job), avoidedCandidate)
			}
			skipped = append(skipped, index)
			if len(avoided) > 0 && len(skipped) < maxSkippedTasks {
				continue
			}
			if fetch == forever && len(avoided) == 0 && !job.SameZone && !job.SpreadZones && !leftWaiting {
				round.unplaceableShapes[shape] = true
			}
			return
		}
		candidate := fetchHeap.elems[0].candidate
		scheduler.startAttempt(job, index, candidate.machine)
		candidate.scanImages(round)
		if candidate.packingKind != nil {
			round.packedCandidates = append(round.packedCandidates, candidate)
		}
		for _, avoidedCandidate := range avoided {
			candidates.push(avoidedCandidate.candidate.fetchSeconds(job), avoidedCandidate)
		}
	}
}

// startAttempt creates a new live attempt of a task on a machine. The start command is sent once
// the record of the attempt is durable.
func (scheduler *scheduler) startAttempt(job *job, index int, machine *machine) {
	task, groupID := &job.tasks[index], scheduler.now.UnixMilli()
	taskGroup := job.groups[groupID]
	if taskGroup == nil {
		taskGroup = &group{startedAt: scheduler.now}
		job.groups[groupID] = taskGroup
	}
	taskGroup.tasks = append(taskGroup.tasks, index)
	task.attempt++
	job.lastPlacedAt = scheduler.now
	if pause := scheduler.controller.shardLeader.faultAttribution.RetryBackoff(job.ID); pause > 0 {
		job.notBefore = later(job.notBefore, scheduler.now.Add(scheduler.jitter(pause)))
	}
	task.groupStart = groupID
	task.rankingRevision = scheduler.controller.ranking.modRevision
	task.startSent, task.reported, task.inherited, task.missedStarts = false, false, false, 0
	scheduler.controller.shardLeader.attachAttempt(job, index, machine)
	machine.lastPlacedAt = scheduler.now
	machine.noteImage(job, scheduler.now, false)
	job.markChanged(index, scheduler.now, true)
	scheduler.debug("task placed", "job", job.ID, "task", index, "try", task.attempt, "machine", machine.id, "ranking", task.rankingRevision)
}
