package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// left_waiting.go finds the jobs that are left waiting and the reason why none of their tasks is
// placed. Operators see the reason, and transfer requests to the owners of other machines use it
// (see transfer_requests.go).

// waitReason is the reason why no task of a waiting job is placed, in the terms of the operators'
// pages.
type waitReason string

const (
	waitsForRetry      waitReason = "fails on every machine"
	waitsForQuotaLimit waitReason = "team limit"
	waitsForGang       waitReason = "gang"
	waitsForTurn       waitReason = "free capacity here"
	waitsForMachine    waitReason = "machine coming"
	waitsForTaskEnd    waitReason = "capacity free soon"
	waitsForCapacity   waitReason = "no free capacity here"
)

const (
	// expectedCapacityHorizon is how soon capacity must be expected for a job to wait for that capacity
	// alone. maxWaitForExpectedCapacity is the wait after which expected capacity does not count: run
	// times and boot times are often wrong by half, so capacity may be expected again and again
	// without coming.
	expectedCapacityHorizon    = 15 * time.Second
	maxWaitForExpectedCapacity = time.Minute
	// waitReportInterval is the interval between reports of waits to the metrics.
	waitReportInterval = 5 * time.Second
	// maxWaitingStatuses bounds the number of waiting jobs listed in a status.
	maxWaitingStatuses = 20
)

// waitingJob is a job that is left waiting: it has had placeable tasks for longer than
// leftWaitingAfter, and none of them was placed in that time.
type waitingJob struct {
	job    *job
	waited time.Duration
}

// waitSinceLastStart returns how long a job has had placeable tasks without any of its tasks being
// placed, including the time under earlier shard leaders. If all pending tasks are retries, the
// wait counts from this shard leader's takeover at the earliest, since the wait before that is
// unknown.
func (scheduler *scheduler) waitSinceLastStart(job *job) time.Duration {
	since := job.waitingSince
	if job.nextFresh < len(job.tasks) {
		since = earlier(since, job.readySince())
	}
	return scheduler.now.Sub(later(since, job.lastStarted()))
}

// lastStarted returns when a group of the job's tasks was last placed, including groups restored
// from records.
func (job *job) lastStarted() time.Time {
	last := job.lastPlacedAt
	for _, group := range job.groups {
		last = later(last, group.startedAt)
	}
	return last
}

// jobsLeftWaiting returns the jobs that are left waiting, the longest wait first.
func (scheduler *scheduler) jobsLeftWaiting() []waitingJob {
	var waiting []waitingJob
	for _, job := range scheduler.controller.shardLeader.jobs {
		if job.waitingSince.IsZero() || scheduler.now.Sub(job.lastPlacedAt) <= leftWaitingAfter || scheduler.placeableTasks(job) == 0 {
			continue
		}
		if waited := scheduler.waitSinceLastStart(job); waited > leftWaitingAfter {
			waiting = append(waiting, waitingJob{job: job, waited: waited})
		}
	}
	slices.SortFunc(waiting, func(a, b waitingJob) int {
		return cmp.Or(cmp.Compare(b.waited, a.waited), strings.Compare(a.job.ID, b.job.ID))
	})
	return waiting
}

// waitDiagnosis determines the reasons of waits. A reason may take a scan of all machines, so the
// result of a scan is shared by all jobs with the same kind of task.
type waitDiagnosis struct {
	scheduler *scheduler
	byShape   map[taskShape]shapeCapacity
}

// shapeCapacity says which capacity there is for one kind of task: free now, on a machine
// that is being provisioned, or to be freed soon by tasks that end.
type shapeCapacity struct {
	free, machineExpected, freeSoon bool
}

// newWaitDiagnosis returns a waitDiagnosis for the current state. It must not be kept beyond the
// current step.
func (scheduler *scheduler) newWaitDiagnosis() *waitDiagnosis {
	return &waitDiagnosis{scheduler: scheduler, byShape: map[taskShape]shapeCapacity{}}
}

// reason returns why no task of a job is placed.
func (diagnosis *waitDiagnosis) reason(waiting waitingJob) waitReason {
	switch {
	case diagnosis.scheduler.controller.shardLeader.faultAttribution.FailsEverywhere(waiting.job.ID) && waiting.job.liveTasks == 0:
		return waitsForRetry
	case !diagnosis.scheduler.withinQuotaLimit(waiting.job):
		return waitsForQuotaLimit
	case waiting.job.Gang:
		return waitsForGang
	}
	switch capacity := diagnosis.capacity(waiting.job); {
	case capacity.free:
		return waitsForTurn
	case waiting.waited >= maxWaitForExpectedCapacity:
		return waitsForCapacity
	case capacity.machineExpected:
		return waitsForMachine
	case capacity.freeSoon:
		return waitsForTaskEnd
	}
	return waitsForCapacity
}

// capacity returns the capacity for a task of a job.
func (diagnosis *waitDiagnosis) capacity(job *job) shapeCapacity {
	avoided := job.avoidedMachine()
	alike := avoided == "" && !job.SameZone && !job.SpreadZones
	shape := job.taskShape()
	if capacity, known := diagnosis.byShape[shape]; known && alike {
		return capacity
	}
	capacity := shapeCapacity{machineExpected: diagnosis.scheduler.machineExpectedSoon(job)}
	for _, machine := range diagnosis.scheduler.controller.shardLeader.machinesByID {
		if machine.id == avoided || !job.Need.Fits(machine.size) || !job.allowsMachine(machine.machineType, machine.zone, machine.spot) || !job.zoneAllowed(machine.zone) || machine.reservedForOther(job) || !diagnosis.scheduler.usable(machine) {
			continue
		}
		if job.Need.Fits(machine.free()) {
			capacity.free = true
			break
		}
		if !capacity.freeSoon {
			freeIn, fits := diagnosis.scheduler.timeUntilFits(machine, job.Need)
			capacity.freeSoon = fits && freeIn <= expectedCapacityHorizon
		}
	}
	if alike {
		diagnosis.byShape[shape] = capacity
	}
	return capacity
}

// machineExpectedSoon reports whether a machine that fits a task of the job is expected to be ready
// within expectedCapacityHorizon.
func (scheduler *scheduler) machineExpectedSoon(job *job) bool {
	for rental := range scheduler.controller.shardLeader.fleet.expectedFor(job) {
		fits := job.Need.Fits(scheduler.controller.knowledge.machineTypes[rental.machineType].Capacity)
		if fits && scheduler.controller.knowledge.timeToReady(rental.machineKind, scheduler.now.Sub(rental.rentedAt)) <= expectedCapacityHorizon {
			return true
		}
	}
	return false
}

// waitingStatuses returns the jobs that are left waiting, for the status that operators see, at
// most maxWaitingStatuses.
func (scheduler *scheduler) waitingStatuses() []message.WaitingJobStatus {
	var statuses []message.WaitingJobStatus
	diagnosis := scheduler.newWaitDiagnosis()
	for _, waiting := range scheduler.jobsLeftWaiting() {
		if len(statuses) >= maxWaitingStatuses {
			break
		}
		statuses = append(statuses, message.WaitingJobStatus{Job: waiting.job.ID, Team: waiting.job.Team, Workload: waiting.job.Workload, WaitedSeconds: waiting.waited.Seconds(), Reason: string(diagnosis.reason(waiting))})
	}
	return statuses
}

// reportWaits reports to the metrics, once per waitReportInterval, how many jobs of each team are
// left waiting and for how long.
func (scheduler *scheduler) reportWaits() {
	if scheduler.now.Sub(scheduler.waitsReportedAt) < waitReportInterval {
		return
	}
	scheduler.waitsReportedAt = scheduler.now
	byTeam := map[string]*message.TeamWaits{}
	for _, waiting := range scheduler.jobsLeftWaiting() {
		teamWaits := byTeam[waiting.job.Team]
		if teamWaits == nil {
			// Jobs come longest wait first, so the team's first job has its longest
			// wait.
			teamWaits = &message.TeamWaits{Team: waiting.job.Team, Longest: waiting.waited}
			byTeam[waiting.job.Team] = teamWaits
		}
		teamWaits.Jobs++
	}
	report := message.WaitReport{}
	for _, team := range sortedKeys(byTeam) {
		report.Teams = append(report.Teams, *byTeam[team])
	}
	if len(report.Teams) == 0 && !scheduler.waitsReported {
		return
	}
	scheduler.waitsReported = len(report.Teams) > 0
	scheduler.emit(report)
}
