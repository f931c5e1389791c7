package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// left_waiting.go finds the jobs that are left waiting, and says why nothing of them is placed:
// for operators, and for the requests to other owners (see transfer_requests.go).

// waitReason is why no task of a waiting job is placed, in the words of the operators' pages.
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
	// capacitySoon is how soon capacity must be expected for a job to wait for that alone, and
	// maxWaitForSoon until when. Run times and boot times are often wrong by half, so what is
	// expected again and again counts no longer then.
	capacitySoon   = 15 * time.Second
	maxWaitForSoon = time.Minute
	// waitReportInterval is how often waits are reported to the metrics.
	waitReportInterval = 5 * time.Second
	// maxWaitingStatuses bounds the jobs in a status.
	maxWaitingStatuses = 20
)

// waitingJob is a job that is left waiting: it has had tasks to place for longer than
// leftWaitingAfter, and none was placed.
type waitingJob struct {
	job    *job
	waited time.Duration
}

// unservedFor is how long a job has had tasks to place without a task of it being placed, also
// under former owners. One that waits only for tasks to be repeated has its record of that since
// this shard leader has it.
func (s *scheduler) unservedFor(j *job) time.Duration {
	from := j.waitingSince
	if j.nextFresh < len(j.tasks) {
		from = earlier(from, j.readySince())
	}
	return s.now.Sub(later(from, j.lastStarted()))
}

// lastStarted is when a group of the job's tasks was last placed, by its records too.
func (j *job) lastStarted() time.Time {
	at := j.lastPlacedAt
	for _, g := range j.groups {
		at = later(at, g.startedAt)
	}
	return at
}

// jobsLeftWaiting returns the jobs that are left waiting, the longest wait first.
func (s *scheduler) jobsLeftWaiting() []waitingJob {
	var out []waitingJob
	for _, j := range s.controller.shardLeader.jobs {
		if j.waitingSince.IsZero() || s.now.Sub(j.lastPlacedAt) <= leftWaitingAfter || s.placeableTasks(j) == 0 {
			continue
		}
		if waited := s.unservedFor(j); waited > leftWaitingAfter {
			out = append(out, waitingJob{job: j, waited: waited})
		}
	}
	slices.SortFunc(out, func(a, b waitingJob) int {
		return cmp.Or(cmp.Compare(b.waited, a.waited), strings.Compare(a.job.ID, b.job.ID))
	})
	return out
}

// waitDiagnosis finds the reasons of waits. It looks at all machines, which in a large pool is
// done once for all jobs whose tasks are alike.
type waitDiagnosis struct {
	scheduler *scheduler
	byShape   map[taskShape]shapeCapacity
}

// shapeCapacity is the capacity for one kind of task: free here, and expected soon.
type shapeCapacity struct {
	free, machineComing, freeSoon bool
}

func (s *scheduler) newWaitDiagnosis() *waitDiagnosis {
	return &waitDiagnosis{scheduler: s, byShape: map[taskShape]shapeCapacity{}}
}

// reason says why no task of a job is placed.
func (d *waitDiagnosis) reason(w waitingJob) waitReason {
	switch {
	case d.scheduler.controller.shardLeader.faultAttribution.FailsEverywhere(w.job.ID) && w.job.liveTasks == 0:
		return waitsForRetry
	case !d.scheduler.withinQuotaLimit(w.job):
		return waitsForQuotaLimit
	case w.job.Gang:
		return waitsForGang
	}
	switch c := d.capacity(w.job); {
	case c.free:
		return waitsForTurn
	case w.waited >= maxWaitForSoon:
		return waitsForCapacity
	case c.machineComing:
		return waitsForMachine
	case c.freeSoon:
		return waitsForTaskEnd
	}
	return waitsForCapacity
}

// capacity is the capacity for a task of a job.
func (d *waitDiagnosis) capacity(j *job) shapeCapacity {
	avoided := j.avoidedMachine()
	alike := avoided == "" && !j.SameZone && !j.SpreadZones
	shape := j.taskShape()
	if c, known := d.byShape[shape]; known && alike {
		return c
	}
	c := shapeCapacity{machineComing: d.scheduler.machineComing(j)}
	for _, m := range d.scheduler.controller.shardLeader.machinesByID {
		if m.id == avoided || !j.Need.Fits(m.size) || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.zoneAllowed(m.zone) || m.reservedForOther(j) || !d.scheduler.usable(m) {
			continue
		}
		if j.Need.Fits(m.free()) {
			c.free = true
			break
		}
		if !c.freeSoon {
			in, fits := d.scheduler.timeUntilFits(m, j.Need)
			c.freeSoon = fits && in <= capacitySoon
		}
	}
	if alike {
		d.byShape[shape] = c
	}
	return c
}

// machineComing reports whether a machine for the job is expected to be ready soon.
func (s *scheduler) machineComing(j *job) bool {
	for r := range s.controller.shardLeader.fleet.expectedFor(j) {
		fits := j.Need.Fits(s.controller.knowledge.machineTypes[r.machineType].Capacity)
		if fits && s.controller.knowledge.timeToReady(r.machineKind, s.now.Sub(r.rentedAt)) <= capacitySoon {
			return true
		}
	}
	return false
}

// waitingStatuses are the jobs left waiting for the operators' status, at most
// maxWaitingStatuses.
func (s *scheduler) waitingStatuses() []message.WaitingJobStatus {
	var out []message.WaitingJobStatus
	diagnosis := s.newWaitDiagnosis()
	for _, w := range s.jobsLeftWaiting() {
		if len(out) >= maxWaitingStatuses {
			break
		}
		out = append(out, message.WaitingJobStatus{Job: w.job.ID, Team: w.job.Team, Workload: w.job.Workload, WaitedSeconds: w.waited.Seconds(), Reason: string(diagnosis.reason(w))})
	}
	return out
}

// reportWaits reports to the metrics, each waitReportInterval, how many jobs of each team are left
// waiting and for how long.
func (s *scheduler) reportWaits() {
	if s.now.Sub(s.waitsReportedAt) < waitReportInterval {
		return
	}
	s.waitsReportedAt = s.now
	byTeam := map[string]*message.TeamWaits{}
	for _, w := range s.jobsLeftWaiting() {
		t := byTeam[w.job.Team]
		if t == nil {
			// The first of a team has waited longest.
			t = &message.TeamWaits{Team: w.job.Team, Longest: w.waited}
			byTeam[w.job.Team] = t
		}
		t.Jobs++
	}
	report := message.WaitReport{}
	for _, team := range sortedKeys(byTeam) {
		report.Teams = append(report.Teams, *byTeam[team])
	}
	if len(report.Teams) == 0 && !s.waitsReported {
		return
	}
	s.waitsReported = len(report.Teams) > 0
	s.emit(report)
}
