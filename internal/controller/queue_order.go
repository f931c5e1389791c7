package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/record"
)

const (
	// jobSizeWeight weighs the time that the whole fleet would need for a job
	// against its slack.
	jobSizeWeight = 2
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
