package controller

import "time"

const (
	// relaunchFraction is the largest fraction of a group that may be unfinished for its
	// stragglers to be relaunched.
	relaunchFraction = 0.1
	// noMedianFactor multiplies Policy.RelaunchFactor for jobs without a median run time of
	// their own. Their limit is based on an estimate, which is often wrong by half.
	noMedianFactor = 1.5
	// maxRelaunchesPerScan bounds the stragglers that one scan stops, so that relaunches are
	// spread out when many timers expire together. The stragglers of the first group in a scan
	// are stopped together even if they are more.
	maxRelaunchesPerScan = 8
)

// relaunch stops stragglers and starts them again on other machines. A group of tasks that started
// together has a timer of Policy.RelaunchFactor times the median run time of the job's finished
// tasks. If at most relaunchFraction of the group is unfinished when the timer expires, the
// unfinished tasks are relaunched.
func (scheduler *scheduler) relaunch() {
	shardLeader := scheduler.controller.shardLeader
	relaunched := 0
	for _, jobID := range sortedKeys(shardLeader.jobs) {
		job := shardLeader.jobs[jobID]
		if job.cancelled || job.ending || job.LongRunning || job.liveTasks == 0 {
			continue
		}
		median, hasMedian := job.medianRunTime()
		factor := scheduler.settings.Policy.RelaunchFactor
		if !hasMedian || job.doneTasks*2 < len(job.tasks) {
			// No timer runs before half of the job's tasks have finished. A job with
			// one task never reaches that point, so its limit is longer and based on
			// the corrected estimate.
			estimator := scheduler.controller.knowledge.estimators[job.Workload]
			if len(job.tasks) > 1 || estimator == nil || estimator.samples < 5 {
				continue
			}
			median = scheduler.controller.knowledge.expectedRunTime(job)
			factor *= noMedianFactor
		}
		limit := time.Duration(factor * float64(median))
		for _, groupID := range sortedKeys(job.groups) {
			group := job.groups[groupID]
			if group.relaunchDecided || scheduler.now.Sub(group.startedAt) < limit {
				continue
			}
			var stragglers []int
			for _, index := range group.tasks {
				if task := &job.tasks[index]; !task.done && task.groupStart == groupID {
					stragglers = append(stragglers, index)
				}
			}
			if len(stragglers) == 0 {
				delete(job.groups, groupID)
				continue
			}
			// A tenth of a small group is less than one task, so one task may always be
			// relaunched.
			if len(stragglers) > max(1, int(relaunchFraction*float64(group.size()))) {
				continue
			}
			if relaunched+len(stragglers) > maxRelaunchesPerScan && relaunched > 0 {
				continue
			}
			if !scheduler.shouldRelaunch(job, stragglers, limit) {
				continue
			}
			relaunched += len(stragglers)
			group.relaunchDecided = true
			for _, index := range stragglers {
				task := &job.tasks[index]
				task.relaunched, task.stopReason = true, stopRelaunch
				scheduler.controller.markDispatchPending(task.machine)
				job.markChanged(index, scheduler.now, true)
				scheduler.debug("task relaunched", "job", job.ID, "task", index, "machine", task.machine.id, "limit", limit)
			}
		}
	}
}

// shouldRelaunch reports whether all stragglers may be relaunched: each of them runs, has run for at
// least limit without its image fetch, was not relaunched before, and fits on another machine.
func (scheduler *scheduler) shouldRelaunch(job *job, stragglers []int, limit time.Duration) bool {
	for _, index := range stragglers {
		task := &job.tasks[index]
		if task.machine == nil || task.stopReason != stopNone || task.relaunched || task.startedAt.IsZero() || scheduler.now.Sub(task.startedAt) < limit {
			return false
		}
		fits, avoidGPUs := false, scheduler.avoidsGPUsNow(job)
		for _, machine := range scheduler.controller.shardLeader.machinesByID {
			if machine != task.machine && scheduler.gpuPolicyAllows(avoidGPUs, machine) && job.Need.Fits(machine.free()) && job.allowsMachine(machine.machineType, machine.zone, machine.spot) && scheduler.usable(machine) {
				fits = true
				break
			}
		}
		if !fits {
			return false
		}
	}
	return true
}
