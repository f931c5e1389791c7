package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/aging"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

const (
	// relaunchFraction is the design's tenth: a group is relaunched only if at
	// most this share of it is unfinished.
	relaunchFraction = 0.1
	// noMedianFactor multiplies w for tasks whose job has no median of its own:
	// the reference is then an estimate, often wrong by half.
	noMedianFactor = 1.5
	// maxRelaunchesPerScan spreads many simultaneous releases: how many stragglers are
	// stopped in one look round.
	maxRelaunchesPerScan = 8
	// scarcePenalty is how long a fetch is preferred to a place on a machine
	// that others depend on.
	scarcePenalty = 20 * time.Second
	// expensivePenalty, for each time a machine's processors cost the cheapest
	// kind's price, lets dear machines go idle first, to be returned.
	expensivePenalty = time.Second
	// fetchMargin is the part of a bounded wait that orders and writes take.
	fetchMargin = 500 * time.Millisecond
	// prewarmedPenalty keeps other work off machines that hold the images of work
	// whose wait is bounded, as long as a fetch elsewhere is quicker.
	prewarmedPenalty = 3 * time.Second
	// jobSizeWeight weighs the time that the whole fleet would need for a job
	// against its slack.
	jobSizeWeight = 2
	// scarcityWindow is how near its latest start waiting work must be to have
	// the flavours it depends on to itself.
	scarcityWindow = 45 * time.Second
	// stopTimeout is how long a stopped task's room is waited for.
	stopTimeout = 1500 * time.Millisecond
	// slowMachine is how much slower than expected a machine's tasks must run,
	// over slowSeen tasks at least, before it is avoided.
	slowMachine = 1.7
	slowSeen    = 2
)

const (
	// minRunTimeLeft is the part of the expected run time that must at least be left
	// before a deadline for it to be worth trying; run times are uncertain.
	minRunTimeLeft = 0.7
	// lastDue is when a job beyond all its aims is due.
	lastDue = 10 * time.Minute
	// A job without any aim is due after some of its run times, or this.
	noObjectiveRuns   = 4
	minNoObjectiveDue = time.Minute
)

// latestStart is when a task of the job should start at the latest to meet the next
// of its aims that it can still meet. Jobs are placed in this order. What can
// meet no aim any more goes last: in its place before the others it would only
// make those late as well.
func (s *scheduler) latestStart(j *job) time.Time {
	if j.LongRunning {
		// Replicas are to run at all times.
		return j.readySince()
	}
	d := s.controller.knowledge.expectedRunTime(j)
	soonest := s.now.Add(time.Duration(minRunTimeLeft * float64(d)))
	target := j.readySince().Add(lastDue)
	if soonest.After(target) {
		target = soonest
	}
	aims := 0
	consider := func(t time.Time) {
		aims++
		if t.Before(target) && !soonest.After(t) {
			target = t
		}
	}
	if j.Deadline > 0 {
		consider(j.submittedAt.Add(j.Deadline))
	}
	if !j.criticalPath.Due.IsZero() {
		consider(j.criticalPath.Due)
	}
	for _, o := range s.settings.Objectives {
		switch {
		case o.Workload != j.Workload:
		case o.Kind == "deadline" && j.Deadline > 0 && o.DeadlineFactor > 0:
			consider(j.submittedAt.Add(time.Duration(o.DeadlineFactor * float64(j.Deadline))))
		case o.Kind == "finished" && o.Within > 0:
			consider(j.readySince().Add(o.Within))
		}
	}
	if aims == 0 {
		consider(j.readySince().Add(max(minNoObjectiveDue, noObjectiveRuns*d)))
	}
	return target.Add(-d)
}

func (e *environment) team(name string) *model.Team {
	for i := range e.settings.Teams {
		if e.settings.Teams[i].Name == name {
			return &e.settings.Teams[i]
		}
	}
	return nil
}

// withinQuotaLimit says whether one more task keeps its team within the limit.
func (s *scheduler) withinQuotaLimit(j *job) bool {
	t := s.team(j.Team)
	if t == nil {
		return false
	}
	u := s.controller.shardLeader.usedByTeam[j.Team].AddScaled(j.Need, 1).AddScaled(s.controller.shardLeader.migration.migratingResources(j), 1)
	return (t.QuotaLimit.CPU <= 0 || u.CPU <= t.QuotaLimit.CPU+roundingTolerance) && (t.QuotaLimit.GPU <= 0 || u.GPU <= t.QuotaLimit.GPU+roundingTolerance)
}

// withinGuaranteedQuota says whether the job's next task lies within its team's guarantee.
func (s *scheduler) withinGuaranteedQuota(j *job) bool {
	t := s.team(j.Team)
	if t == nil || t.GuaranteedQuota.CPU <= 0 && t.GuaranteedQuota.GPU <= 0 {
		return false
	}
	u := s.controller.shardLeader.usedByTeam[j.Team].AddScaled(j.Need, 1)
	return u.CPU <= t.GuaranteedQuota.CPU+roundingTolerance && u.GPU <= t.GuaranteedQuota.GPU+roundingTolerance
}

// queuedJob is a waiting job and what decides its turn.
type queuedJob struct {
	job *job
	// g: within its team's guarantee.
	guaranteed  bool
	latestStart time.Time
	// rankingPlace is that in the ranking, and weight the policy script's where there is none.
	rankingPlace int
	weight       float64
	// workDuration is how long its waiting tasks would take all that its workload has,
	// and late says that it is put off so that others are in time.
	workDuration time.Duration
	deferred     bool
	// missed: its promised date can't be kept any more.
	missesPromise bool
}

// placeableTasks is how many of a job's waiting tasks may be placed now: of a job that fails
// everywhere one at a time, to see whether it still does.
func (s *scheduler) placeableTasks(j *job) int {
	switch {
	case j.pendingTasks() == 0 || !j.mayStart(s.now) || j.notBefore.After(s.now):
		return 0
	case !s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID):
		return j.pendingTasks()
	case j.liveTasks > 0:
		return 0
	}
	return 1
}

// queuedJobs sorts the jobs that wait for places by their urgency and aims.
func (s *scheduler) queuedJobs() []queuedJob {
	var rs []queuedJob
	cpus := 0.0
	for _, m := range s.controller.shardLeader.machinesByID {
		cpus += m.size.CPU
	}
	var waiting []*job
	for _, j := range s.controller.shardLeader.jobs {
		if s.placeableTasks(j) == 0 {
			j.waitingSince = time.Time{}
			continue
		}
		if j.waitingSince.IsZero() {
			j.waitingSince = s.now
		}
		waiting = append(waiting, j)
	}
	slices.SortFunc(waiting, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range waiting {
		// Aims count jobs, so of two that are as pressing the one with less
		// left to do goes first: together they are done the sooner.
		left := float64(len(j.tasks)-j.doneTasks) * j.Need.CPU * s.controller.knowledge.expectedRunTime(j).Seconds()
		key := s.latestStart(j).Add(record.DurationOfSeconds(jobSizeWeight * left / max(cpus, 1)))
		rs = append(rs, queuedJob{job: j, guaranteed: s.withinGuaranteedQuota(j), latestStart: key, rankingPlace: s.controller.ranking.rankOf(j), weight: s.controller.ranking.policyWeight(j), missesPromise: s.controller.promises.cannotKeepDate(j)})
	}
	slices.SortStableFunc(rs, compareQueueOrder)
	if s.deferLateJobs(rs) {
		slices.SortStableFunc(rs, compareQueueOrder)
	}
	return rs
}

func compareQueueOrder(a, b queuedJob) int {
	switch {
	case a.guaranteed != b.guaranteed:
		if a.guaranteed {
			return -1
		}
		return 1
	case a.rankingPlace != b.rankingPlace:
		return a.rankingPlace - b.rankingPlace
	case a.weight != b.weight:
		if a.weight > b.weight {
			return -1
		}
		return 1
	}
	if a.deferred != b.deferred {
		return int(boolToFloat(a.deferred)) - int(boolToFloat(b.deferred))
	}
	if a.deferred {
		return cmp.Or(cmp.Compare(a.workDuration, b.workDuration), a.latestStart.Compare(b.latestStart))
	}
	// Of two that are as pressing, to the second, what can still keep its date goes
	// before what can't: that is late either way.
	return cmp.Or(a.latestStart.Truncate(time.Second).Compare(b.latestStart.Truncate(time.Second)),
		cmp.Compare(boolToFloat(a.missesPromise), boolToFloat(b.missesPromise)), cmp.Compare(b.job.criticalPath.Remaining, a.job.criticalPath.Remaining), a.latestStart.Compare(b.latestStart))
}

// deferLateJobs lets as many jobs as possible be in time when not all can be. Taken in
// the order of their aims, as soon as one would be late the largest of those
// before it and itself is put off (Moore's rule for the number of late jobs):
// aims count jobs, and one large job that is late either way would take several
// others with it. Nothing is put off while all can be in time.
func (s *scheduler) deferLateJobs(rs []queuedJob) bool {
	rooms := map[string]float64{}
	accumulated := map[string]time.Duration{}
	onTime := map[string][]*queuedJob{}
	some := false
	for i := range rs {
		r := &rs[i]
		j := r.job
		if j.LongRunning || j.Gang {
			continue
		}
		room, ok := rooms[j.Workload]
		if !ok {
			room = s.capacityFor(j)
			rooms[j.Workload] = room
		}
		run := s.controller.knowledge.expectedRunTime(j)
		r.workDuration = time.Duration(float64(j.pendingTasks()) * float64(run) / max(room, 1))
		key := fmt.Sprint(j.Workload, j.Urgency, r.guaranteed)
		onTime[key] = append(onTime[key], r)
		accumulated[key] += r.workDuration
		// Its last task starts when the work before it is nearly done, the first
		// ones at once.
		aim := s.latestStart(j)
		if !s.now.Add(accumulated[key] - run).After(aim) {
			continue
		}
		big := 0
		for k, x := range onTime[key] {
			if x.workDuration > onTime[key][big].workDuration {
				big = k
			}
		}
		x := onTime[key][big]
		x.deferred, some = true, true
		accumulated[key] -= x.workDuration
		onTime[key] = slices.Delete(onTime[key], big, big+1)
	}
	return some
}

// capacityFor is how many tasks like the job's its workload may count on running at
// a time: those that run and what is free, and at least a part of all.
func (s *scheduler) capacityFor(j *job) float64 {
	live := 0
	for _, o := range s.controller.shardLeader.jobs {
		if o.Workload == j.Workload {
			live += o.liveTasks
		}
	}
	all, free, avoidGPUs := 0, 0, s.avoidsGPUs(j)
	for _, m := range s.controller.shardLeader.machinesByID {
		if j.allowsMachine(m.machineType, m.zone, m.spot) && s.usable(m) && s.gpuPolicyAllows(avoidGPUs, m) {
			all += m.size.FitCount(j.Need)
			free += m.free().FitCount(j.Need)
		}
	}
	if v := s.controller.shardLeader.fleet.view; v != nil {
		// What boots is there before the aims of what waits are over.
		for r := range s.controller.expectedFor(j) {
			free += s.controller.knowledge.machineTypes[r.machineType].Capacity.FitCount(j.Need)
		}
		for k, c := range v.pendingRentals {
			if j.allowsMachine(k.machineType, k.zone, k.spot) {
				free += c * s.controller.knowledge.machineTypes[k.machineType].Capacity.FitCount(j.Need)
			}
		}
	}
	return max(float64(live+free), roomLeast*float64(all))
}

// roomLeast is the part of all room that a workload may count on in any case.
const roomLeast = 0.25

// usable says whether tasks may be placed on m now.
func (s *scheduler) usable(m *machine) bool {
	return !s.controller.isRentedForOther(m.id) && m.heard && !m.reclaimNoticed && !m.releasing && !m.faulty && !m.hasUnknownTasks && m.size.CPU > 0 && m.reachability.Reachable() && !s.controller.shardLeader.heartbeats.unresponsive(m)
}

// placeAll places what waits, in order.
func (s *scheduler) placeAll() {
	o := s.controller.shardLeader
	turns := s.queueOrder()
	var jobs []*job
	for _, t := range turns {
		if t.goesFirst || !t.job.overdue {
			jobs = append(jobs, t.job)
		}
	}
	s.reserveMachines(jobs)
	if len(turns) == 0 {
		return
	}
	if s.now.After(s.controller.membership.leaseValidUntil) || s.controller.ranking.stale {
		return
	}
	s.placeReserved()
	r := s.newPlacementRound()
	o.scheduler.startDeadlines = map[string]time.Time{}
	for _, t := range turns {
		j, l := t.job, s.latestStart(t.job)
		if t, ok := o.scheduler.startDeadlines[j.Workload]; !ok || l.Before(t) {
			o.scheduler.startDeadlines[j.Workload] = l
		}
	}
	for _, t := range turns {
		t.job.placingOverdue = t.goesFirst
		s.placeQueueEntry(t.job, r, t.tasks)
		t.job.placingOverdue = false
	}
}

// placeQueueEntry places up to count waiting tasks of a job whose turn it is.
func (s *scheduler) placeQueueEntry(j *job, r *placementRound, count int) {
	if j.Gang {
		s.placeGang(j, r)
		return
	}
	most := func() int { return min(count, s.controller.shardLeader.scheduler.placeableTasks(j)) }
	place := func(fetch time.Duration, most int) {
		waiting := j.pendingTasks()
		s.controller.shardLeader.scheduler.placeJob(j, r, fetch, most)
		count -= waiting - j.pendingTasks()
	}
	bound := s.waitObjective(j.Workload)
	if bound == 0 || j.Urgency == model.BestEffort {
		place(forever, most())
		if (j.placingOverdue || s.preemptsForReplica(j)) && most() > 0 && !s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID) {
			// Work of lower urgency makes room for what has waited too long, and such
			// without GPUs for replicas.
			s.preemptIfDue(j, forever)
		}
		return
	}
	// Where an objective bounds the wait: first where the image is, then
	// in the place of lower work there, and only then where it must be
	// fetched first, which alone can take longer than the bound.
	left := bound - s.now.Sub(j.readySince()) - fetchMargin
	place(max(left, 0), most())
	freeing := 0
	switch {
	case s.placeableTasks(j) == 0 || s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID):
	case left > 0:
		freeing = s.preemptIfDue(j, left)
	case s.latestStart(j).Sub(s.now) < bound:
		freeing = s.preemptIfDue(j, forever)
	}
	place(forever, most()-freeing)
}

// preemptionInterval is how often a waiting job may look for work to stop: it goes
// through the attempts of many machines.
const preemptionInterval = 500 * time.Millisecond

func (s *scheduler) preemptIfDue(j *job, fetch time.Duration) int {
	if s.now.Sub(j.lastPreemptionScan) >= preemptionInterval {
		j.lastPreemptionScan = s.now
		j.preemptionCapacity = s.preempt(j, fetch)
	}
	return min(j.preemptionCapacity, j.pendingTasks())
}

// maxPreemptions is how often a task may be stopped for others: work is not to be
// stopped in turns and never end.
const maxPreemptions = 2

// hasMaxPreemptions says that the one running task of a job that has waited too long is left
// alone: the job was stopped for others as often as a task may be. Without it each of its
// tasks takes a turn: a machine is gathered for the job as soon as nothing of it runs,
// that of the stop, so that nobody gains by it, and the next is stopped there.
func (s *scheduler) hasMaxPreemptions(j *job) bool {
	if j.liveTasks != 1 {
		return false
	}
	bound, _ := s.controller.ranking.waitBound(j)
	if p := (aging.Job{Waited: s.waitTime(j), MaxWait: bound, WaitingTasks: 1}); !p.Overdue() {
		return false
	}
	stops := 0
	for i := range j.tasks[:j.nextFresh] {
		stops += j.tasks[i].preemptions
	}
	return stops >= maxPreemptions
}

// waitObjective is how soon the workload's tasks are to start, or 0.
func (e *environment) waitObjective(workload string) time.Duration {
	for _, o := range e.settings.Objectives {
		if o.Kind == "wait" && o.Workload == workload {
			return o.Within
		}
	}
	return 0
}

// preemptionVictimsOn picks the tasks on m whose stop makes room for one of j's.
func (s *scheduler) preemptionVictimsOn(j *job, m *machine, free model.Resources) ([]*task, time.Duration, bool) {
	type victim struct {
		t    *task
		need model.Resources
		loss time.Duration
	}
	var candidates []victim
	nonGPUOnly := s.preemptsOnlyNonGPU(j)
	able := m.attemptsWhere(func(t *task) bool { return t.stopReason == stopNone && t.preemptions < maxPreemptions })
	for _, k := range able {
		t := m.attempts[k]
		o := s.controller.shardLeader.jobs[k.job]
		if o.Urgency >= j.Urgency || o.Gang || o.LongRunning || s.hasMaxPreemptions(o) || s.controller.ranking.rankOf(o) < s.controller.ranking.rankOf(j) || nonGPUOnly && o.Need.GPU > roundingTolerance {
			continue
		}
		var loss time.Duration
		if !t.startedAt.IsZero() {
			loss = s.now.Sub(t.startedAt)
			if o.CheckpointInterval > 0 {
				loss = min(loss%o.CheckpointInterval, o.CheckpointCost)
			}
			// Stopping a large task for a small one loses the more.
			loss = time.Duration(float64(loss) * max(1, o.Need.CPU/max(j.Need.CPU, 0.1)))
		}
		candidates = append(candidates, victim{t, o.Need, loss})
	}
	slices.SortStableFunc(candidates, func(a, b victim) int { return int(a.loss - b.loss) })
	var out []*task
	var sum time.Duration
	for _, v := range candidates {
		if j.Need.Fits(free) {
			break
		}
		free = free.AddScaled(v.need, 1)
		sum += v.loss
		out = append(out, v.t)
	}
	return out, sum, len(out) > 0 && j.Need.Fits(free)
}

// gangStartTimeout is how long some tasks of a gang may be live while others wait
// for a place, before all are stopped to start together again.
const gangStartTimeout = 20 * time.Second

// placeGang places all tasks of a gang or none, in one zone after another when
// they must be in the same place.
func (ss *scheduler) placeGang(j *job, r *placementRound) {
	if j.liveTasks > 0 {
		// Some were lost. The workers end the others by themselves; those
		// that do not are stopped.
		for i := range j.tasks[:j.nextFresh] {
			t := &j.tasks[i]
			if t.machine != nil && t.stopReason == stopNone && ss.now.Sub(time.UnixMilli(t.groupStart)) > gangStartTimeout {
				t.stopReason = stopDrain
				ss.controller.markDispatchPending(t.machine)
			}
		}
		return
	}
	zones := []string{""}
	if j.SameZone {
		zones = ss.settings.Zones
	}
	for _, z := range zones {
		in := *r
		if z != "" {
			in.candidates = slices.DeleteFunc(slices.Clone(r.candidates), func(s *candidateMachine) bool { return s.machine.zone != z })
			in.full, in.candidateGroups = map[taskShape]bool{}, map[candidateGroupKey]*candidateGroup{}
		}
		if ss.gangFits(j, &in) {
			ss.placeJob(j, &in, forever, j.pendingTasks())
			return
		}
	}
}

// gangFits says whether all waiting tasks of j find room at once, where they would
// be placed: room that placing then refuses, such as on a machine being let go,
// would have some of them start and wait in vain for the others, in turns and
// without end.
func (ss *scheduler) gangFits(j *job, r *placementRound) bool {
	if t := ss.team(j.Team); t != nil {
		u := ss.controller.shardLeader.usedByTeam[j.Team].AddScaled(j.Need, float64(j.pendingTasks()))
		if t.QuotaLimit.CPU > 0 && u.CPU > t.QuotaLimit.CPU+roundingTolerance || t.QuotaLimit.GPU > 0 && u.GPU > t.QuotaLimit.GPU+roundingTolerance {
			return false
		}
	}
	for _, i := range j.requeued {
		if j.tasks[i].notBefore.After(ss.now) {
			return false
		}
	}
	room := 0
	zones := map[string]int{}
	l := ss.candidateGroupFor(r, j)
	for _, s := range r.candidates {
		m := s.machine
		if _, ok := l.rate(ss.controller, j, s); !ok {
			continue
		}
		k := ss.freeCapacityOn(l, s).FitCount(j.Need)
		if j.SpreadZones {
			k = min(k, (len(j.tasks)+1)/2-zones[m.zone])
			zones[m.zone] += k
		}
		room += k
	}
	return room >= j.pendingTasks()
}

// cheapestCPUCost is the lowest price of a processor among all kinds.
func (k *fleetKnowledge) cheapestCPUCost() float64 {
	low := 0.0
	for _, f := range k.machineTypes {
		for _, p := range [...]float64{f.CostPerHour, f.SpotCostPerHour} {
			if u := p / max(f.Capacity.CPU, 1); u > 0 && (low == 0 || u < low) {
				low = u
			}
		}
	}
	return max(low, 1e-9)
}

// workloadRetention is how long a workload counts as still to be expected.
const workloadRetention = 5 * time.Minute

// scarcity says how much others depend on a flavour.
type scarcity int

const (
	notScarce scarcity = iota
	// scarceSoon: work that fits little else has lately come.
	scarceSoon
	// scarceNow: such work, as urgent, waits now.
	scarceNow
)

// scarcityOf rates the flavours that some other workload, lately seen, depends on
// more than this one does: it fits fewer flavours. Small tasks that fill the
// only machines on which big ones fit keep those waiting beside idle small
// machines.
func (ss *scheduler) scarcityOf(s *model.JobSpec) map[string]scarcity {
	var out map[string]scarcity
	mine := ss.controller.knowledge.fittingMachineTypes(s)
	for _, w := range ss.controller.shardLeader.workloads {
		if w.spec.Workload == s.Workload || ss.now.Sub(w.lastSeen) > workloadRetention {
			continue
		}
		theirs := ss.controller.knowledge.fittingMachineTypes(w.spec)
		if len(theirs) >= len(mine) {
			continue
		}
		rate := scarceSoon
		if t, ok := ss.startDeadlines[w.spec.Workload]; ok && ss.controller.ranking.rankOfSpec(w.spec) <= ss.controller.ranking.rankOfSpec(s) && t.Sub(ss.now) < scarcityWindow {
			rate = scarceNow
		}
		if out == nil {
			out = map[string]scarcity{}
		}
		for _, f := range theirs {
			out[f] = max(out[f], rate)
		}
	}
	return out
}

// fittingMachineTypes names the flavours a task fits.
func (k *fleetKnowledge) fittingMachineTypes(s *model.JobSpec) []string {
	var out []string
	for name, f := range k.machineTypes {
		if s.Need.Fits(f.Capacity) && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, name)) {
			out = append(out, name)
		}
	}
	return out
}

// fetchTime is how long m needs to have the image of j.
func (k *fleetKnowledge) fetchTime(m *machine, j *job) time.Duration {
	fetching := 0
	for _, im := range m.images {
		if !im.cached {
			fetching++
		}
	}
	return record.DurationOfSeconds(m.fetchSeconds(j, fetching, k.imageFetchRate(m)))
}

// fetchSeconds is how long the machine needs to have the image of j, in seconds, when it
// is fetching so many and pulls so much a second.
func (m *machine) fetchSeconds(j *job, fetching int, fetchRate float64) float64 {
	if j.Image == "" || j.ImageGB <= 0 {
		return 0
	}
	switch im := m.images[j.Image]; {
	case im == nil:
		return float64(1+fetching) * j.ImageGB / fetchRate
	case im.cached:
		return 0
	}
	// Already coming.
	return j.ImageGB / fetchRate / 2
}

// imageFetchRate is how many GB a machine fetches in a second, as far as is known.
func (k *fleetKnowledge) imageFetchRate(m *machine) float64 {
	if rate := k.machineTypes[m.machineType].ImageFetchRate; rate > 0 {
		return rate
	}
	return 1
}

// relaunch is the paper's: when a group's timer of w times the median of the
// job's finished run times has expired with at most a tenth unfinished, those
// tasks are stopped and started once more elsewhere.
func (s *scheduler) relaunch() {
	o := s.controller.shardLeader
	released := 0
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.cancelled || j.ending || j.LongRunning || j.liveTasks == 0 {
			continue
		}
		med, hasMedian := j.medianRunTime()
		factor := s.settings.Policy.RelaunchFactor
		if !hasMedian || j.doneTasks*2 < len(j.tasks) {
			// No timer runs before half of the tasks have finished. An
			// extension: a job of one task never has such a half, so its
			// reference is the corrected estimate, with more patience.
			e := s.controller.knowledge.estimators[j.Workload]
			if len(j.tasks) > 1 || e == nil || e.samples < 5 {
				continue
			}
			med = s.controller.knowledge.expectedRunTime(j)
			factor *= noMedianFactor
		}
		limit := time.Duration(factor * float64(med))
		for _, gid := range sortedKeys(j.groups) {
			g := j.groups[gid]
			if g.relaunchDecided || s.now.Sub(g.startedAt) < limit {
				continue
			}
			var stragglers []int
			for _, i := range g.tasks {
				if t := &j.tasks[i]; !t.done && t.groupStart == gid {
					stragglers = append(stragglers, i)
				}
			}
			if len(stragglers) == 0 {
				delete(j.groups, gid)
				continue
			}
			// An extension for small groups, whose tenth is less than one
			// task: one may always be relaunched.
			if len(stragglers) > max(1, int(relaunchFraction*float64(len(g.tasks)))) {
				continue
			}
			if released+len(stragglers) > maxRelaunchesPerScan && released > 0 {
				continue
			}
			if !s.worthRelaunch(j, stragglers, limit) {
				continue
			}
			released += len(stragglers)
			g.relaunchDecided = true
			for _, i := range stragglers {
				t := &j.tasks[i]
				t.relaunched, t.stopReason = true, stopRelaunch
				s.controller.markDispatchPending(t.machine)
				j.markChanged(i, s.now, true)
				s.debug("relaunch", "job", j.ID, "task", i, "machine", t.machine.id, "limit", limit)
			}
		}
	}
}

// worthRelaunch: each late task runs, has run for the limit itself (a fetch
// does not count), was not restarted before, and there is room elsewhere.
func (s *scheduler) worthRelaunch(j *job, stragglers []int, limit time.Duration) bool {
	for _, i := range stragglers {
		t := &j.tasks[i]
		if t.machine == nil || t.stopReason != stopNone || t.relaunched || t.startedAt.IsZero() || s.now.Sub(t.startedAt) < limit {
			return false
		}
		room, avoidGPUs := false, s.avoidsGPUsNow(j)
		for _, m := range s.controller.shardLeader.machinesByID {
			if m != t.machine && s.gpuPolicyAllows(avoidGPUs, m) && j.Need.Fits(m.free()) && j.allowsMachine(m.machineType, m.zone, m.spot) && s.usable(m) {
				room = true
				break
			}
		}
		if !room {
			return false
		}
	}
	return true
}

// scheduler TODO.
type scheduler struct {
	component

	// place: something has changed that may let tasks be placed, and hurry:
	// for one whose wait is bounded. placed is when that was last done.
	placementDue    bool
	placementUrgent bool
	placedAt        time.Time
	// roundDuration is how long the step with the last round of placing took.
	roundDuration time.Duration
	// preemptionVictims is where urgent work may take the place of other work.
	preemptionVictims map[preemptionVictimsKey]*preemptionVictims
	// machinesReservedAt is when machines were last gathered; see aging.go.
	machinesReservedAt time.Time
	// packingProfile is what is usual on machines with GPUs, while models are on.
	packingProfile         *packingProfile
	freeCapacityReportedAt time.Time
	// startDeadlines is, for each workload with tasks that wait for a place, when the
	// first of them should start at the latest.
	startDeadlines map[string]time.Time
}
