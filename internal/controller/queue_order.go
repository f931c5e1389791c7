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
	// jobSizeWeight is the weight of a job's size in the queue order, relative to its latest
	// start. The size is the time that the whole fleet would need for the job's remaining
	// tasks.
	jobSizeWeight = 2
	// minRunTimeFraction is the fraction of the expected run time that must be left before a
	// deadline for the scheduler to aim for that deadline. It is below 1 because run times are
	// uncertain.
	minRunTimeFraction = 0.7
	// dueAfterMissedObjectives is the time from ready to due for a job that misses all its objectives.
	dueAfterMissedObjectives = 10 * time.Minute
	// A job without any objective is due after noObjectiveRuns of its run times, but not before
	// minNoObjectiveDue.
	noObjectiveRuns   = 4
	minNoObjectiveDue = time.Minute
	// minCapacityFraction is the fraction of all capacity that a workload can always expect.
	minCapacityFraction = 0.25
)

// latestStart returns when a task of the job should start at the latest to meet the earliest
// objective that the job can still meet. Jobs are placed in this order. A job that can meet no
// objective is placed last, since before other jobs it would only make them late as well.
func (scheduler *scheduler) latestStart(job *job) time.Time {
	if job.LongRunning {
		// Replicas should run at all times.
		return job.readySince()
	}
	runTime := scheduler.controller.knowledge.expectedRunTime(job)
	earliestEnd := scheduler.now.Add(time.Duration(minRunTimeFraction * float64(runTime)))
	target := job.readySince().Add(dueAfterMissedObjectives)
	if earliestEnd.After(target) {
		target = earliestEnd
	}
	objectives := 0
	consider := func(due time.Time) {
		objectives++
		if due.Before(target) && !earliestEnd.After(due) {
			target = due
		}
	}
	if job.Deadline > 0 {
		consider(job.submittedAt.Add(job.Deadline))
	}
	if !job.criticalPath.Due.IsZero() {
		consider(job.criticalPath.Due)
	}
	for _, objective := range scheduler.settings.Objectives {
		switch {
		case objective.Workload != job.Workload:
		case objective.Kind == "deadline" && job.Deadline > 0 && objective.DeadlineFactor > 0:
			consider(job.submittedAt.Add(time.Duration(objective.DeadlineFactor * float64(job.Deadline))))
		case objective.Kind == "finished" && objective.Within > 0:
			consider(job.readySince().Add(objective.Within))
		}
	}
	if objectives == 0 {
		consider(job.readySince().Add(max(minNoObjectiveDue, noObjectiveRuns*runTime)))
	}
	return target.Add(-runTime)
}

// withinQuotaLimit reports whether one more task of the job keeps its team within its quota limit.
func (scheduler *scheduler) withinQuotaLimit(job *job) bool {
	team := scheduler.team(job.Team)
	if team == nil {
		return false
	}
	used := scheduler.controller.shardLeader.usedByTeam[job.Team].AddScaled(job.Need, 1).AddScaled(scheduler.controller.shardLeader.migration.migratingResources(job), 1)
	return (team.QuotaLimit.CPU <= 0 || used.CPU <= team.QuotaLimit.CPU+roundingTolerance) && (team.QuotaLimit.GPU <= 0 || used.GPU <= team.QuotaLimit.GPU+roundingTolerance)
}

// withinGuaranteedQuota reports whether the job's next task lies within its team's guaranteed quota.
func (scheduler *scheduler) withinGuaranteedQuota(job *job) bool {
	team := scheduler.team(job.Team)
	if team == nil || team.GuaranteedQuota.CPU <= 0 && team.GuaranteedQuota.GPU <= 0 {
		return false
	}
	used := scheduler.controller.shardLeader.usedByTeam[job.Team].AddScaled(job.Need, 1)
	return used.CPU <= team.GuaranteedQuota.CPU+roundingTolerance && used.GPU <= team.GuaranteedQuota.GPU+roundingTolerance
}

// queuedJob is a job with pending tasks and the values that decide its position in the queue.
type queuedJob struct {
	job *job
	// guaranteed is set if the job's next task is within the guaranteed quota of its team.
	guaranteed bool
	// latestStart is the job's latest start plus an amount that grows with its remaining run
	// time.
	latestStart time.Time
	// rankingPlace is the job's position in the ranking. weight comes from the policy script
	// and is used only without a ranking.
	rankingPlace int
	weight       float64
	// workDuration is how long the job's pending tasks would occupy all capacity of its
	// workload. deferred moves the job behind others that can then be in time.
	workDuration time.Duration
	deferred     bool
	// missesPromise is set if the job can't meet its promised date any more.
	missesPromise bool
}

// placeableTasks returns how many of a job's pending tasks may be placed now. A job that
// fails everywhere gets one retry at a time, after a backoff, to find out whether it still fails:
// if it has no live task, or while other tasks of it run. It gets more retries if tasks of it have
// run for longer than any failed one.
func (scheduler *scheduler) placeableTasks(job *job) int {
	if job.pendingTasks() == 0 || !job.mayStart(scheduler.now) {
		return 0
	}
	backsOff := job.notBefore.After(scheduler.now)
	if scheduler.controller.shardLeader.faultAttribution.FailsEverywhere(job.ID) {
		outlasting, running := scheduler.countOutlastingTasks(job)
		retries := 2*outlasting - job.liveTasks
		if !backsOff && (job.liveTasks == 0 || running > 0) {
			retries = max(retries, 1)
		}
		return max(0, min(job.pendingTasks(), retries))
	}
	if backsOff {
		return 0
	}
	return job.pendingTasks()
}

// countOutlastingTasks counts the tasks of a job that have run for longer than any failed one (outlasting),
// and those that have run for at least faultattribution.MinProofRun (running). Each outlasting task
// allows one further task, so the number of live tasks at most doubles before the new tasks have
// outlasted the failures as well. A faulty job whose tasks fail after some time has few outlasting
// tasks, and fewer the more tasks have failed. A job whose tasks fail at once has neither kind.
func (scheduler *scheduler) countOutlastingTasks(job *job) (outlasting, running int) {
	live := 0
	for i := range job.tasks[:job.nextFresh] {
		task := &job.tasks[i]
		if task.machine == nil {
			continue
		}
		// The run time counts only up to the machine's last heartbeat, since the machine
		// may have hung after it.
		if task.isRunning() && !task.inherited && !task.startedAt.IsZero() {
			ran := task.machine.lastHeard.Sub(task.startedAt)
			if ran >= faultattribution.MinProofRun {
				running++
			}
			if scheduler.controller.shardLeader.faultAttribution.Outlasts(job.ID, ran) {
				outlasting++
			}
		}
		if live++; live == job.liveTasks {
			break
		}
	}
	return outlasting, running
}

// queuedJobs returns the jobs with placeable tasks in the order of compareQueueOrder. It also
// updates waitingSince of each job.
func (scheduler *scheduler) queuedJobs() []queuedJob {
	var queued []queuedJob
	cpus := 0.0
	for _, machine := range scheduler.controller.shardLeader.machinesByID {
		cpus += machine.size.CPU
	}
	var waiting []*job
	for _, job := range scheduler.controller.shardLeader.jobs {
		if scheduler.placeableTasks(job) == 0 {
			job.waitingSince = time.Time{}
			continue
		}
		if job.waitingSince.IsZero() {
			job.waitingSince = scheduler.now
		}
		waiting = append(waiting, job)
	}
	slices.SortFunc(waiting, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, job := range waiting {
		// Objectives count jobs. Of two equally urgent jobs, the job with less remaining
		// run time goes first, which lowers the mean completion time.
		remaining := float64(len(job.tasks)-job.doneTasks) * job.Need.CPU * scheduler.controller.knowledge.expectedRunTime(job).Seconds()
		adjustedStart := scheduler.latestStart(job).Add(record.DurationOfSeconds(jobSizeWeight * remaining / max(cpus, 1)))
		queued = append(queued, queuedJob{
			job: job, guaranteed: scheduler.withinGuaranteedQuota(job), latestStart: adjustedStart,
			rankingPlace: scheduler.controller.ranking.rankOf(job), weight: scheduler.controller.ranking.policyWeight(job),
			missesPromise: scheduler.controller.promises.cannotKeepDate(job),
		})
	}
	slices.SortStableFunc(queued, compareQueueOrder)
	if scheduler.deferLateJobs(queued) {
		slices.SortStableFunc(queued, compareQueueOrder)
	}
	return queued
}

// compareQueueOrder orders jobs by guaranteed quota, then by ranking, then by the weight from the
// policy script, and then puts jobs that can be in time before deferred jobs. Among jobs that can
// be in time, the job that must start earliest goes first.
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
	// Of two jobs whose latest starts are in the same second, a job that can still meet its
	// promised date goes before a job that will miss its date in either order.
	return cmp.Or(a.latestStart.Truncate(time.Second).Compare(b.latestStart.Truncate(time.Second)),
		cmp.Compare(boolToFloat(a.missesPromise), boolToFloat(b.missesPromise)),
		cmp.Compare(b.job.criticalPath.Remaining, a.job.criticalPath.Remaining),
		a.latestStart.Compare(b.latestStart))
}

// deferLateJobs maximizes the number of jobs in time when not all can be, and reports whether it
// deferred any. It takes jobs in queue order. When a job would be late, it defers the largest job
// taken so far, the late job included (Moore's algorithm, which minimizes the number of late jobs).
// Objectives count jobs, and one large job that is late in any case would make several others late.
func (scheduler *scheduler) deferLateJobs(queued []queuedJob) bool {
	capacities := map[string]float64{}
	accumulated := map[string]time.Duration{}
	onTime := map[string][]*queuedJob{}
	anyDeferred := false
	for i := range queued {
		entry := &queued[i]
		job := entry.job
		if job.LongRunning || job.Gang {
			continue
		}
		capacity, ok := capacities[job.Workload]
		if !ok {
			capacity = scheduler.capacityFor(job)
			capacities[job.Workload] = capacity
		}
		runTime := scheduler.controller.knowledge.expectedRunTime(job)
		entry.workDuration = time.Duration(float64(job.pendingTasks()) * float64(runTime) / max(capacity, 1))
		key := fmt.Sprint(job.Workload, job.Urgency, entry.guaranteed)
		onTime[key] = append(onTime[key], entry)
		accumulated[key] += entry.workDuration
		// The job's last task starts when the tasks before it are nearly done; its first
		// tasks start at once.
		if !scheduler.now.Add(accumulated[key] - runTime).After(scheduler.latestStart(job)) {
			continue
		}
		largest := 0
		for k, candidate := range onTime[key] {
			if candidate.workDuration > onTime[key][largest].workDuration {
				largest = k
			}
		}
		candidate := onTime[key][largest]
		candidate.deferred, anyDeferred = true, true
		accumulated[key] -= candidate.workDuration
		onTime[key] = slices.Delete(onTime[key], largest, largest+1)
	}
	return anyDeferred
}

// capacityFor returns how many tasks of the job's shape its workload can expect to run at a time:
// its live tasks plus those that fit into free and expected capacity, but at least
// minCapacityFraction of the capacity of all usable machines.
func (scheduler *scheduler) capacityFor(job *job) float64 {
	live := 0
	for _, other := range scheduler.controller.shardLeader.jobs {
		if other.Workload == job.Workload {
			live += other.liveTasks
		}
	}
	total, free, avoidGPUs := 0, 0, scheduler.avoidsGPUs(job)
	for _, machine := range scheduler.controller.shardLeader.machinesByID {
		if job.allowsMachine(machine.machineType, machine.zone, machine.spot) && scheduler.usable(machine) && scheduler.gpuPolicyAllows(avoidGPUs, machine) {
			total += machine.size.FitCount(job.Need)
			free += machine.free().FitCount(job.Need)
		}
	}
	if view := scheduler.controller.shardLeader.fleet.view; view != nil {
		// Machines being provisioned are ready before the objectives of pending jobs have
		// passed.
		for rental := range scheduler.controller.shardLeader.fleet.expectedFor(job) {
			free += scheduler.controller.knowledge.machineTypes[rental.machineType].Capacity.FitCount(job.Need)
		}
		for kind, count := range view.pendingRentals {
			if job.allowsMachine(kind.machineType, kind.zone, kind.spot) {
				free += count * scheduler.controller.knowledge.machineTypes[kind.machineType].Capacity.FitCount(job.Need)
			}
		}
	}
	return max(float64(live+free), minCapacityFraction*float64(total))
}
