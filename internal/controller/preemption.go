package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/aging"
	"github.com/micahill/micahill/internal/model"
)

const (
	// stopTimeout is how long the capacity of a preempted task counts as about to become free.
	stopTimeout = 1500 * time.Millisecond
)

// preemptionInterval is the minimum time between two scans for tasks that a job may preempt. A scan
// goes through the attempts of many machines.
const preemptionInterval = 500 * time.Millisecond

// preemptIfDue calls preempt for a job unless it did so within preemptionInterval. It returns for
// how many of the job's pending tasks capacity is about to become free.
func (scheduler *scheduler) preemptIfDue(job *job, fetch time.Duration) int {
	if scheduler.now.Sub(job.lastPreemptionScan) >= preemptionInterval {
		job.lastPreemptionScan = scheduler.now
		job.preemptionCapacity = scheduler.preempt(job, fetch)
	}
	return min(job.preemptionCapacity, job.pendingTasks())
}

// maxPreemptions is how often a task may be preempted. Without a limit a task could be stopped
// again and again and never finish.
const maxPreemptions = 2

// preemptionLimitReached reports whether the only live task of an overdue job must not be preempted
// because the tasks of the job were preempted maxPreemptions times in total. Without this rule each
// task of the job would be stopped in turn: as soon as the job has no live task, the machine of the
// stopped task is reserved for it, so the preempting job gains nothing, and the next task is
// stopped there.
func (scheduler *scheduler) preemptionLimitReached(job *job) bool {
	if job.liveTasks != 1 {
		return false
	}
	bound, _ := scheduler.controller.ranking.waitBound(job)
	if agingJob := (aging.Job{Waited: scheduler.waitTime(job), MaxWait: bound, WaitingTasks: 1}); !agingJob.Overdue() {
		return false
	}
	stops := 0
	for i := range job.tasks[:job.nextFresh] {
		stops += job.tasks[i].preemptions
	}
	return stops >= maxPreemptions
}

// preemptionVictimsOn picks the tasks on a machine that have to be stopped so that one task of the
// job fits, those with the least lost run time first. free is the machine's capacity without these
// stops. It returns the tasks, the run time lost, and whether the task of the job then fits.
func (scheduler *scheduler) preemptionVictimsOn(job *job, machine *machine, free model.Resources) ([]*task, time.Duration, bool) {
	type victim struct {
		t    *task
		need model.Resources
		loss time.Duration
	}
	var candidates []victim
	nonGPUOnly := scheduler.preemptsOnlyNonGPU(job)
	preemptible := machine.attemptsWhere(func(task *task) bool { return task.stopReason == stopNone && task.preemptions < maxPreemptions })
	for _, key := range preemptible {
		task := machine.attempts[key]
		other := scheduler.controller.shardLeader.jobs[key.job]
		if other.Urgency >= job.Urgency || other.Gang || other.LongRunning || scheduler.preemptionLimitReached(other) || scheduler.controller.ranking.rankOf(other) < scheduler.controller.ranking.rankOf(job) ||
			nonGPUOnly && other.Need.GPU > roundingTolerance {
			continue
		}
		var loss time.Duration
		if !task.startedAt.IsZero() {
			loss = scheduler.now.Sub(task.startedAt)
			if other.CheckpointInterval > 0 {
				loss = min(loss%other.CheckpointInterval, other.CheckpointCost)
			}
			// Stopping a large task for a small one counts as a larger loss.
			loss = time.Duration(float64(loss) * max(1, other.Need.CPU/max(job.Need.CPU, 0.1)))
		}
		candidates = append(candidates, victim{task, other.Need, loss})
	}
	slices.SortStableFunc(candidates, func(a, b victim) int { return int(a.loss - b.loss) })
	var victims []*task
	var totalLoss time.Duration
	for _, v := range candidates {
		if job.Need.Fits(free) {
			break
		}
		free = free.AddScaled(v.need, 1)
		totalLoss += v.loss
		victims = append(victims, v.t)
	}
	return victims, totalLoss, len(victims) > 0 && job.Need.Fits(free)
}

// preemptionVictims lists the machines where tasks of one kind may replace tasks of lower urgency.
// It is a cache, since scanning all live tasks for each pending job would take longer than the
// bounded wait. Its machines are checked again before use.
type preemptionVictims struct {
	scannedAt time.Time
	// withCapacity are machines with enough free capacity; withVictims are machines where tasks
	// may be stopped, ordered by the run time lost, the least first.
	withCapacity []*machine
	withVictims  []*machine
}

// preemptionVictimsKey identifies the tasks that share one entry of the cache.
type preemptionVictimsKey struct {
	taskShape
	urgency model.Urgency
}

// preemptionVictimsFor returns the cached victims for a job, or scans for them if the cache entry
// is older than preemptionInterval.
func (scheduler *scheduler) preemptionVictimsFor(job *job) *preemptionVictims {
	shardLeader := scheduler.controller.shardLeader
	key := preemptionVictimsKey{job.taskShape(), job.Urgency}
	victims := scheduler.preemptionVictims[key]
	if victims != nil && scheduler.now.Sub(victims.scannedAt) < preemptionInterval {
		return victims
	}
	victims = &preemptionVictims{scannedAt: scheduler.now}
	if scheduler.preemptionVictims == nil {
		scheduler.preemptionVictims = map[preemptionVictimsKey]*preemptionVictims{}
	}
	for oldKey, old := range scheduler.preemptionVictims {
		if scheduler.now.Sub(old.scannedAt) > workloadRetention {
			delete(scheduler.preemptionVictims, oldKey)
		}
	}
	scheduler.preemptionVictims[key] = victims
	type choice struct {
		m    *machine
		loss time.Duration
	}
	var choices []choice
	avoidGPUs := scheduler.avoidsGPUsNow(job)
	for _, machine := range shardLeader.machinesByID {
		if !job.allowsMachine(machine.machineType, machine.zone, machine.spot) || !scheduler.usable(machine) || !scheduler.gpuPolicyAllows(avoidGPUs, machine) {
			continue
		}
		if free := scheduler.freeAfterPreemption(machine); job.Need.Fits(free) {
			victims.withCapacity = append(victims.withCapacity, machine)
		} else if _, loss, ok := scheduler.preemptionVictimsOn(job, machine, free); ok {
			choices = append(choices, choice{machine, loss})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.loss, b.loss) })
	for _, choice := range choices {
		victims.withVictims = append(victims.withVictims, choice.m)
	}
	return victims
}

// freeAfterPreemption returns the free capacity of a machine plus the capacity of preempted tasks
// that are about to end.
func (scheduler *scheduler) freeAfterPreemption(machine *machine) model.Resources {
	free := machine.free()
	for key, task := range machine.attempts {
		if task.stopReason == stopPreempt && scheduler.now.Sub(task.stoppedAt) < stopTimeout {
			free = free.AddScaled(scheduler.controller.shardLeader.jobs[key.job].Need, 1)
		}
	}
	return free
}

// preempt stops tasks of lower urgency so that pending tasks of the job fit on machines that need
// at most fetch to have the image. It stops the tasks with the least lost run time first. It
// returns for how many of the job's tasks capacity is about to become free, through these stops and
// earlier ones.
func (scheduler *scheduler) preempt(job *job, fetch time.Duration) int {
	remaining := job.pendingTasks()
	if !scheduler.withinQuotaLimit(job) {
		return 0
	}
	victims := scheduler.preemptionVictimsFor(job)
	suits := func(machine *machine) bool {
		return !machine.removed && scheduler.usable(machine) && !machine.reservedForOther(job) && job.zoneAllowed(machine.zone) && scheduler.controller.knowledge.fetchTime(machine, job) <= fetch
	}
	for _, machine := range victims.withCapacity {
		if remaining > 0 && suits(machine) {
			remaining -= scheduler.freeAfterPreemption(machine).FitCount(job.Need)
		}
	}
	maxLoss := scheduler.maxPreemptionLoss(job)
	for _, machine := range victims.withVictims {
		if remaining <= 0 {
			break
		}
		if !suits(machine) {
			continue
		}
		free := scheduler.freeAfterPreemption(machine)
		if count := free.FitCount(job.Need); count > 0 {
			// Capacity has become free since the scan: tasks have ended or were stopped
			// for another job.
			remaining -= count
			continue
		}
		tasks, loss, ok := scheduler.preemptionVictimsOn(job, machine, free)
		if !ok || loss > maxLoss {
			continue
		}
		for _, task := range tasks {
			task.stopReason, task.stoppedAt = stopPreempt, scheduler.now
			task.preemptions++
		}
		scheduler.controller.markDispatchPending(machine)
		remaining--
		scheduler.debug("tasks preempted", "for", job.ID, "machine", machine.id, "stopped", len(tasks), "loss", loss)
	}
	return job.pendingTasks() - max(remaining, 0)
}
