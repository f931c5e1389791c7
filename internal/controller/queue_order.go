package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/faultattribution"
	"github.com/micahill/micahill/internal/record"
)

const (
	// jobSizeWeight weighs the time that the whole fleet would need for a job
	// against its slack.
	jobSizeWeight = 2
	// minRunTimeLeft is the part of the expected run time that must at least be left
	// before a deadline for it to be worth trying; run times are uncertain.
	minRunTimeLeft = 0.7
	// lastDue is how long after it was ready a job is due that misses all its objectives.
	lastDue = 10 * time.Minute
	// A job without any objective is due after noObjectiveRuns of its run times, or after
	// minNoObjectiveDue if that is longer.
	noObjectiveRuns   = 4
	minNoObjectiveDue = time.Minute
	// minCapacityFraction is the part of all capacity that a workload may count on in any case.
	minCapacityFraction = 0.25
)

// latestStart is when a task of the job should start at the latest to meet the first of its
// objectives that it can still meet. Jobs are placed in this order. A job that can meet none any
// more goes last: before the others it would only make those late as well.
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
	objectives := 0
	consider := func(t time.Time) {
		objectives++
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
	if objectives == 0 {
		consider(j.readySince().Add(max(minNoObjectiveDue, noObjectiveRuns*d)))
	}
	return target.Add(-d)
}

// withinQuotaLimit reports whether one more task of the job keeps its team within its quota limit.
func (s *scheduler) withinQuotaLimit(j *job) bool {
	t := s.team(j.Team)
	if t == nil {
		return false
	}
	u := s.controller.shardLeader.usedByTeam[j.Team].AddScaled(j.Need, 1).AddScaled(s.controller.shardLeader.migration.migratingResources(j), 1)
	return (t.QuotaLimit.CPU <= 0 || u.CPU <= t.QuotaLimit.CPU+roundingTolerance) && (t.QuotaLimit.GPU <= 0 || u.GPU <= t.QuotaLimit.GPU+roundingTolerance)
}

// withinGuaranteedQuota reports whether the job's next task lies within its team's guaranteed quota.
func (s *scheduler) withinGuaranteedQuota(j *job) bool {
	t := s.team(j.Team)
	if t == nil || t.GuaranteedQuota.CPU <= 0 && t.GuaranteedQuota.GPU <= 0 {
		return false
	}
	u := s.controller.shardLeader.usedByTeam[j.Team].AddScaled(j.Need, 1)
	return u.CPU <= t.GuaranteedQuota.CPU+roundingTolerance && u.GPU <= t.GuaranteedQuota.GPU+roundingTolerance
}

// queuedJob is a job with pending tasks and what decides its place in the queue.
type queuedJob struct {
	job *job
	// guaranteed says that its next task lies within its team's guaranteed quota.
	guaranteed bool
	// latestStart is that of the job, later the more work it has.
	latestStart time.Time
	// rankingPlace is its place in the ranking; weight is from the policy script and counts
	// where there is no ranking.
	rankingPlace int
	weight       float64
	// workDuration is how long its pending tasks would occupy all that its workload has;
	// deferred says that it goes last so that others are in time.
	workDuration time.Duration
	deferred     bool
	// missesPromise says that its promised date can't be kept any more.
	missesPromise bool
}

// placeableTasks is how many of a job's pending tasks may be placed now. A job that fails
// everywhere gets one at a time, each after a backoff, to see whether it still does: when none is
// live, or beside tasks that run; and more beside those that run for longer than any failure took.
func (s *scheduler) placeableTasks(j *job) int {
	if j.pendingTasks() == 0 || !j.mayStart(s.now) {
		return 0
	}
	backsOff := j.notBefore.After(s.now)
	if s.controller.shardLeader.faultAttribution.FailsEverywhere(j.ID) {
		outlasting, running := s.provenTasks(j)
		retries := 2*outlasting - j.liveTasks
		if !backsOff && (j.liveTasks == 0 || running > 0) {
			retries = max(retries, 1)
		}
		return max(0, min(j.pendingTasks(), retries))
	}
	if backsOff {
		return 0
	}
	return j.pendingTasks()
}

// provenTasks counts the tasks of a job that have run for longer than any that failed, and those
// that have run for faultattribution.MinProofRun. Each of the first allows one more beside it, so that what runs at most doubles
// before the new ones have outlasted the failures as well. A job with a mistake whose tasks fail
// after some time has few of these, and the fewer the more have failed; one whose tasks fail at
// once has none of either.
func (s *scheduler) provenTasks(j *job) (outlasting, running int) {
	live := 0
	for i := range j.tasks[:j.nextFresh] {
		t := &j.tasks[i]
		if t.machine == nil {
			continue
		}
		// What a machine has not said since counts for nothing: it may hang.
		if t.isRunning() && !t.inherited && !t.startedAt.IsZero() {
			ran := t.machine.lastHeard.Sub(t.startedAt)
			if ran >= faultattribution.MinProofRun {
				running++
			}
			if s.controller.shardLeader.faultAttribution.Outlasts(j.ID, ran) {
				outlasting++
			}
		}
		if live++; live == j.liveTasks {
			break
		}
	}
	return outlasting, running
}

// queuedJobs returns the jobs with placeable tasks in the order of compareQueueOrder. As a side
// effect it keeps each job's waitingSince.
func (s *scheduler) queuedJobs() []queuedJob {
	var queued []queuedJob
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
		// Objectives count jobs, so of two as pressing ones that with less work left goes
		// first: on average they are then done sooner.
		left := float64(len(j.tasks)-j.doneTasks) * j.Need.CPU * s.controller.knowledge.expectedRunTime(j).Seconds()
		key := s.latestStart(j).Add(record.DurationOfSeconds(jobSizeWeight * left / max(cpus, 1)))
		queued = append(queued, queuedJob{
			job: j, guaranteed: s.withinGuaranteedQuota(j), latestStart: key,
			rankingPlace: s.controller.ranking.rankOf(j), weight: s.controller.ranking.policyWeight(j),
			missesPromise: s.controller.promises.cannotKeepDate(j),
		})
	}
	slices.SortStableFunc(queued, compareQueueOrder)
	if s.deferLateJobs(queued) {
		slices.SortStableFunc(queued, compareQueueOrder)
	}
	return queued
}

// compareQueueOrder puts guaranteed quota first, then the ranking, the weights of the policy
// script, jobs that can be in time, and of those the one with the earliest latest start.
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
	// Of two that are as pressing, to the second, a job that can still keep its promised date
	// goes before one that can't: that is late either way.
	return cmp.Or(a.latestStart.Truncate(time.Second).Compare(b.latestStart.Truncate(time.Second)),
		cmp.Compare(boolToFloat(a.missesPromise), boolToFloat(b.missesPromise)),
		cmp.Compare(b.job.criticalPath.Remaining, a.job.criticalPath.Remaining),
		a.latestStart.Compare(b.latestStart))
}

// deferLateJobs lets as many jobs as possible be in time when not all can be, and reports whether
// it deferred any. Jobs are taken in queue order; as soon as one would be late, the largest of
// those so far, itself included, is deferred (Moore's algorithm for the number of late jobs).
// Objectives count jobs, and one large job that is late either way would make several others late.
func (s *scheduler) deferLateJobs(queued []queuedJob) bool {
	capacities := map[string]float64{}
	accumulated := map[string]time.Duration{}
	onTime := map[string][]*queuedJob{}
	some := false
	for i := range queued {
		q := &queued[i]
		j := q.job
		if j.LongRunning || j.Gang {
			continue
		}
		capacity, ok := capacities[j.Workload]
		if !ok {
			capacity = s.capacityFor(j)
			capacities[j.Workload] = capacity
		}
		run := s.controller.knowledge.expectedRunTime(j)
		q.workDuration = time.Duration(float64(j.pendingTasks()) * float64(run) / max(capacity, 1))
		key := fmt.Sprint(j.Workload, j.Urgency, q.guaranteed)
		onTime[key] = append(onTime[key], q)
		accumulated[key] += q.workDuration
		// Its last task starts when the work before it is nearly done, the first
		// ones at once.
		if !s.now.Add(accumulated[key] - run).After(s.latestStart(j)) {
			continue
		}
		largest := 0
		for k, x := range onTime[key] {
			if x.workDuration > onTime[key][largest].workDuration {
				largest = k
			}
		}
		x := onTime[key][largest]
		x.deferred, some = true, true
		accumulated[key] -= x.workDuration
		onTime[key] = slices.Delete(onTime[key], largest, largest+1)
	}
	return some
}

// capacityFor is how many tasks like the job's its workload may count on running at a time: those
// that are live and those that fit into free and coming capacity, and at least
// minCapacityFraction of what all usable machines hold.
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
		// Machines on their way are ready before the objectives of pending work have passed.
		for r := range s.controller.shardLeader.fleet.expectedFor(j) {
			free += s.controller.knowledge.machineTypes[r.machineType].Capacity.FitCount(j.Need)
		}
		for k, c := range v.pendingRentals {
			if j.allowsMachine(k.machineType, k.zone, k.spot) {
				free += c * s.controller.knowledge.machineTypes[k.machineType].Capacity.FitCount(j.Need)
			}
		}
	}
	return max(float64(live+free), minCapacityFraction*float64(all))
}
