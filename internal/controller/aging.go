package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/aging"
	"github.com/micahill/micahill/internal/model"
)

// aging.go connects the scheduler to internal/aging: it decides in which order pending tasks are
// placed, and which machines are reserved for overdue jobs that fit on no machine.

const (
	// reservationInterval is the minimum time between two updates of the reservations.
	// maxReservations bounds the number of jobs with reserved machines, since each of these
	// jobs costs a scan of all machines.
	reservationInterval = 500 * time.Millisecond
	maxReservations     = 16
)

// queueEntry is some of a job's pending tasks at one position of the queue. promoted is set if the
// job is overdue and was promoted before other jobs.
type queueEntry struct {
	job      *job
	tasks    int
	promoted bool
}

// machineReservation is an overdue job that needs reserved machines, with the machines that could
// be reserved for it.
type machineReservation struct {
	job        *job
	candidates []aging.Candidate
	// fittingMachines counts the machines that a task would fit on if they were empty.
	fittingMachines int
	// machinesNeeded is how many machines the job's pending tasks would fill.
	machinesNeeded int
}

// waitTime returns how long a job has waited since it was submitted, or since its last dependency
// was done. The wait does not restart when a task is stopped or lost, because the user has waited
// from the start.
func (scheduler *scheduler) waitTime(job *job) time.Duration {
	return scheduler.now.Sub(job.readySince())
}

// queueOrder returns the pending tasks in the order in which they are placed. It also updates the
// overdue flag of each job.
func (scheduler *scheduler) queueOrder() []queueEntry {
	queued := scheduler.queuedJobs()
	capacities := map[taskShape]float64{}
	jobs := make([]aging.Job, len(queued))
	for i, queuedEntry := range queued {
		job := queuedEntry.job
		bound, priorityFraction := scheduler.controller.ranking.waitBound(job)
		agingJob := aging.Job{
			Waited: scheduler.waitTime(job), MaxWait: bound, PriorityFraction: priorityFraction, Urgency: int(job.Urgency), Guaranteed: queuedEntry.guaranteed,
			WaitingTasks: scheduler.placeableTasks(job), Gang: job.Gang,
		}
		if scheduler.controller.shardLeader.faultAttribution.FailsEverywhere(job.ID) {
			// The job waits until its tasks stop failing, and not behind other jobs, so
			// it does not age.
			agingJob.Waited = 0
		}
		if job.overdue = agingJob.Overdue(); job.overdue {
			shape := job.taskShape()
			capacity, ok := capacities[shape]
			if !ok {
				capacity = scheduler.totalCapacityFor(job)
				capacities[shape] = capacity
			}
			agingJob.TaskFraction = 1 / max(capacity, 1)
			agingJob.RunningFraction = float64(job.liveTasks) * agingJob.TaskFraction
		}
		jobs[i] = agingJob
	}
	ordered := aging.QueueOrder(jobs)
	entries := make([]queueEntry, len(ordered))
	for i, entry := range ordered {
		entries[i] = queueEntry{queued[entry.Job].job, entry.Tasks, entry.Promoted}
	}
	return entries
}

// jobsInQueueOrder returns the jobs with pending tasks, ordered by their first queue entries.
func (scheduler *scheduler) jobsInQueueOrder() []*job {
	var jobs []*job
	seen := map[*job]bool{}
	for _, entry := range scheduler.queueOrder() {
		if !seen[entry.job] {
			seen[entry.job] = true
			jobs = append(jobs, entry.job)
		}
	}
	return jobs
}

// totalCapacityFor returns how many tasks of the job's shape all usable machines would hold if they
// were empty.
func (scheduler *scheduler) totalCapacityFor(job *job) float64 {
	total, avoidGPUs := 0, scheduler.avoidsGPUsNow(job)
	for _, machine := range scheduler.controller.shardLeader.machinesByID {
		if job.allowsMachine(machine.machineType, machine.zone, machine.spot) && scheduler.usable(machine) && scheduler.gpuPolicyAllows(avoidGPUs, machine) {
			total += machine.size.FitCount(job.Need)
		}
	}
	return float64(total)
}

// needsReservation reports whether machines should be reserved for a job: the job is overdue and
// has no live task whose end would free capacity for the next task.
func (job *job) needsReservation() bool {
	return job.overdue && job.liveTasks == 0 && !job.Gang && job.pendingTasks() > 0
}

// dueStart returns when a pending job's tasks should start at the latest, as far as scaling out is
// concerned. An overdue job that has not started is due at once, whatever its objectives say: if it
// can meet none of them, its latest start is so late that no on-demand machine would be rented for
// it, and the job would wait without end where the cloud refuses spot capacity but offers on-demand
// machines.
func (scheduler *scheduler) dueStart(job *job) time.Time {
	if start := scheduler.latestStart(job); !job.overdue || job.liveTasks > 0 || job.doneTasks > 0 || start.Before(scheduler.now) {
		return start
	}
	return scheduler.now
}

// reserveMachines reserves machines for overdue jobs without a live task, such as a job whose task
// fills a whole machine among thousands of small tasks, or a job of low urgency while tasks of
// higher urgency take all capacity that becomes free. Tasks that run on a reserved machine go on to
// their end, and no task of another job is placed there. aging.MaxReservedFraction bounds all
// reservations together. The first pass reserves one machine for each job, so that every job makes
// progress; the second reserves more machines for the jobs that have waited longest.
func (scheduler *scheduler) reserveMachines(jobs []*job) {
	shardLeader := scheduler.controller.shardLeader
	if scheduler.now.Sub(scheduler.machinesReservedAt) < reservationInterval {
		return
	}
	scheduler.machinesReservedAt = scheduler.now
	reservedFor := map[string]string{}
	var reservations []*machineReservation
	for _, job := range jobs {
		if job.needsReservation() && len(reservations) < maxReservations {
			reservations = append(reservations, scheduler.machineReservationFor(job))
		}
	}
	usable := 0
	for _, machine := range shardLeader.machinesByID {
		if len(reservations) > 0 && scheduler.usable(machine) {
			usable++
		}
	}
	remaining := max(1, int(aging.MaxReservedFraction*float64(usable)))
	for _, limit := range [...]int{1, usable} {
		for _, reservation := range reservations {
			for _, machineID := range aging.Reserve(reservation.candidates, min(remaining, limit, reservation.machinesNeeded), reservation.fittingMachines) {
				if reservedFor[machineID] == "" {
					reservedFor[machineID] = reservation.job.ID
					reservation.machinesNeeded--
					remaining--
				}
			}
			reservation.candidates = slices.DeleteFunc(reservation.candidates, func(candidate aging.Candidate) bool { return reservedFor[candidate.ID] != "" })
		}
	}
	for _, machine := range shardLeader.machinesByID {
		if machine.reservedFor != reservedFor[machine.id] {
			machine.reservedFor = reservedFor[machine.id]
			scheduler.debug("machine reservation changed", "machine", machine.id, "for", machine.reservedFor)
		}
	}
}

// machineReservationFor returns the machines that could be reserved for a job.
func (scheduler *scheduler) machineReservationFor(job *job) *machineReservation {
	reservation := &machineReservation{job: job}
	tasksPerMachine, avoidGPUs := 1, scheduler.avoidsGPUsNow(job)
	for _, machine := range scheduler.controller.shardLeader.machinesByID {
		if !scheduler.gpuPolicyAllows(avoidGPUs, machine) || !job.allowsMachine(machine.machineType, machine.zone, machine.spot) || !job.Need.Fits(machine.size) || !scheduler.usable(machine) {
			continue
		}
		reservation.fittingMachines++
		tasksPerMachine = max(tasksPerMachine, machine.size.FitCount(job.Need))
		if freeIn, ok := scheduler.timeUntilFits(machine, job.Need); ok && job.zoneAllowed(machine.zone) {
			reservation.candidates = append(reservation.candidates, aging.Candidate{ID: machine.id, FreeIn: freeIn, Reserved: machine.reservedFor == job.ID})
		}
	}
	reservation.machinesNeeded = (scheduler.placeableTasks(job) + tasksPerMachine - 1) / tasksPerMachine
	return reservation
}

// timeUntilFits returns how long it takes until need fits on a machine if no other task is placed
// there, based on the expected ends of its live tasks, and whether need fits then.
func (scheduler *scheduler) timeUntilFits(machine *machine, need model.Resources) (time.Duration, bool) {
	free := machine.free()
	if need.Fits(free) {
		return 0, true
	}
	var last time.Duration
	for _, key := range sortedAttempts(machine) {
		job := scheduler.controller.shardLeader.jobs[key.job]
		if job.LongRunning {
			continue
		}
		remaining := scheduler.controller.knowledge.expectedRunTime(job)
		if task := machine.attempts[key]; !task.startedAt.IsZero() {
			remaining = max(remaining-scheduler.now.Sub(task.startedAt), remaining/5)
		}
		last = max(last, remaining)
		free = free.AddScaled(job.Need, 1)
	}
	return last, need.Fits(free)
}

// reservedForOther reports whether the machine is reserved for a job other than the given one.
func (machine *machine) reservedForOther(job *job) bool {
	return machine.reservedFor != "" && machine.reservedFor != job.ID
}
