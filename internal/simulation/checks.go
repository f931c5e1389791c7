package simulation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file checks the rules that span a whole day: queries of an accepted job are answered, and
// the largest jobs of each class are served and start in time.

const (
	// MaxUnanswered is how long the queries of an accepted job may go unanswered once all faults
	// are over. The load tests against real controllers use it, too.
	MaxUnanswered = 75 * time.Second
	// endedPollInterval is the interval at which users query ended jobs once all faults are over.
	// Several queries fit into MaxUnanswered.
	endedPollInterval = 15 * time.Second
	// maxStartWait is the time within which the largest jobs of a class must start, not counting
	// times without capacity.
	maxStartWait = 240 * time.Second
	// countServedAfter and servedAfterFaults determine when served jobs are counted:
	// countServedAfter after the last submission, not counting times without capacity, and at least
	// servedAfterFaults after the last fault.
	countServedAfter  = 3 * time.Minute
	servedAfterFaults = time.Minute
	// slowProvisioningGrace is how long after a provisioning fault there may still be no capacity.
	// In this time the controllers give up the machines that are not ready and replacements become
	// ready.
	slowProvisioningGrace = 2 * time.Minute
)

// lastFaultEnd returns the latest end of the day's faults, counted from the day's begin.
func (day *Day) lastFaultEnd() time.Duration {
	end := time.Duration(0)
	for _, fault := range day.Faults {
		end = max(end, fault.endsAt(day.Controllers))
	}
	return end
}

// checkPollsAnswered checks that a job's queries are not unanswered for longer than MaxUnanswered
// once all faults are over. It reports a job at most once.
func (world *World) checkPollsAnswered(job *userJob) {
	if world.faultsEndAt.IsZero() || !job.accepted || job.unansweredReported {
		return
	}
	since := world.faultsEndAt
	if job.answeredAt.After(since) {
		since = job.answeredAt
	}
	duration := world.now.Sub(since)
	world.recordMargin(RuleForgotten, MaxUnanswered-duration, job.spec.ID)
	if duration > MaxUnanswered {
		job.unansweredReported = true
		world.reportViolation("forgotten", "%s, %q: no answer for %.0f s", job.spec.ID, job.lastState, duration.Seconds())
	}
}

// extendedDeadline returns the end of a period that begins at from and has the given duration,
// extended by the times in it during which faults leave no capacity.
func (day *Day) extendedDeadline(from, duration time.Duration) time.Duration {
	end := from + duration
	for range day.Faults {
		extended, covered := from+duration, from
		for _, fault := range day.Faults { // sorted by their begin
			gapStart, gapEnd := max(fault.noCapacityFrom(), covered), min(fault.noCapacityUntil(day.Controllers), end)
			if gapEnd > gapStart {
				extended, covered = extended+gapEnd-gapStart, gapEnd
			}
		}
		if extended == end {
			break
		}
		end = extended
	}
	return end
}

// maxConcurrent returns how many tasks of a job can run at a time within the team's quota limit and
// the cloud's capacity.
func (day *Day) maxConcurrent(spec *model.JobSpec) int {
	types, capacity := day.cloudInventory()
	fit := 0
	for _, machineType := range types {
		for _, z := range machineType.Zones {
			if !spec.AllowsMachineType(machineType.Name) || spec.Zone != "" && spec.Zone != z {
				continue
			}
			machines := capacity[machineType.Name+"/"+z+"/false"]
			if spec.AllowSpot {
				machines += capacity[machineType.Name+"/"+z+"/true"]
			}
			fit += machines * machineType.Capacity.FitCount(spec.Need)
		}
	}
	for _, team := range day.Settings.Teams {
		if team.Name == spec.Team && team.QuotaLimit.CPU > 0 {
			fit = min(fit, team.QuotaLimit.FitCount(model.Resources{CPU: spec.Need.CPU}))
		}
	}
	return min(fit, spec.Tasks)
}

// LargestJobs is the outcome of a class's largest jobs. Two groups are evaluated, the largest tenth
// (at least one job) by number of tasks and by resource-seconds; each figure is the worse one of
// the two groups.
type LargestJobs struct {
	// ServedFraction is the fraction of the jobs that were served, of those that could be served.
	ServedFraction float64 `json:"served"`
	// FirstStartS is the longest wait for the first start of a task, in seconds. AllStartedS is the
	// longest wait until as many tasks have started as can run at a time, in seconds. -1 means that
	// a job never got so far.
	FirstStartS float64 `json:"first_s"`
	AllStartedS float64 `json:"all_s"`
	// Late describes the jobs that did not start in time.
	Late []string `json:"late,omitempty"`
}

// isCounted reports whether a job counts in the outcome of a day: it is not cancelled, can succeed
// and was not refused.
func (job *userJob) isCounted() bool {
	return !job.isCancelled() && !job.alwaysFails && job.refusedStatus == 0
}

// isServed reports whether a job was served: the user knows that it is done, or all replicas of a
// long-running job have started.
func (job *userJob) isServed() bool {
	if job.spec.LongRunning {
		return job.completedCount() == job.spec.Tasks
	}
	return job.lastState == "done"
}

// hasUnfinishedJobs reports whether the outcome of a counted job can still change: the job is
// long-running or not served yet.
func (world *World) hasUnfinishedJobs() bool {
	for _, job := range world.jobs {
		if job.isCounted() && (job.spec.LongRunning || !job.isServed()) {
			return true
		}
	}
	return false
}

// completedCount returns the number of tasks that are done or, for a long-running job, of replicas
// that have started.
func (job *userJob) completedCount() int {
	if job.spec.LongRunning {
		return len(job.firstStarts)
	}
	return len(job.doneTasks)
}

// largestJobs returns the largest tenth of the counted jobs of each class, first by number of
// tasks, second by resource-seconds.
func (world *World) largestJobs() map[string][2][]*userJob {
	byClass := map[string][]*userJob{}
	for _, id := range sortedKeys(world.jobs) {
		if job := world.jobs[id]; job.isCounted() {
			byClass[job.spec.Workload] = append(byClass[job.spec.Workload], job)
		}
	}
	out := map[string][2][]*userJob{}
	for class, jobs := range byClass {
		top := func(size func(*userJob) float64) []*userJob {
			sorted := slices.Clone(jobs)
			slices.SortStableFunc(sorted, func(a, b *userJob) int { return cmp.Compare(size(b), size(a)) })
			return sorted[:max(1, len(sorted)/10)]
		}
		tasks := func(job *userJob) float64 { return float64(job.spec.Tasks) }
		work := func(job *userJob) float64 {
			// A GPU counts as 8 CPUs, about the CPUs of a machine per GPU.
			return tasks(job) * (job.spec.Need.CPU + 8*job.spec.Need.GPU) * max(1, job.run.Seconds())
		}
		out[class] = [2][]*userJob{top(tasks), top(work)}
	}
	return out
}

// couldBeServed reports whether a job could have completed by now under ideal conditions: since it
// became eligible it had the whole cloud to itself, without provisioning, image fetches and faults.
func (day *Day) couldBeServed(world *World, job *userJob) bool {
	all := day.maxConcurrent(&job.spec)
	return all > 0 && job.dependenciesDone() && job.run*time.Duration((job.spec.Tasks+all-1)/all) <= world.now.Sub(job.eligibleSince())
}

// largestServedFraction returns the fraction of a class's largest jobs that were served, of those
// that could be served; of the two groups, the smaller fraction.
func (day *Day) largestServedFraction(world *World, tops [2][]*userJob) float64 {
	least := 1.0
	for _, jobs := range tops {
		served, eligible := 0, 0
		for _, job := range jobs {
			if job.isServed() {
				served++
			}
			if job.isServed() || day.couldBeServed(world, job) {
				eligible++
			}
		}
		if eligible > 0 {
			least = min(least, float64(served)/float64(eligible))
		}
	}
	return least
}

// recordLargestStarts records in outcome how long a class's largest jobs waited for their starts,
// and their margins for RuleBegin. It is called at the end of a day.
func (day *Day) recordLargestStarts(world *World, outcome *LargestJobs, largest [2][]*userJob) {
	seen := map[*userJob]bool{}
	for _, job := range append(slices.Clone(largest[0]), largest[1]...) {
		all := day.maxConcurrent(&job.spec)
		if seen[job] || all == 0 || !job.dependenciesDone() {
			continue
		}
		seen[job] = true
		waits := []time.Duration{}
		for _, at := range job.firstStarts {
			waits = append(waits, at.Sub(job.eligibleSince()))
		}
		slices.Sort(waits)
		at := job.eligibleSince().Sub(world.startedAt)
		deadline := day.extendedDeadline(at, maxStartWait) - at
		late := false
		describeWait := func(n int, worst *float64) string {
			if len(waits) < n {
				*worst, late = -1, true
				world.recordMargin(RuleBegin, deadline-world.now.Sub(job.eligibleSince()), job.spec.ID)
				return "never"
			}
			wait := waits[n-1]
			if *worst >= 0 {
				*worst = max(*worst, wait.Seconds())
			}
			world.recordMargin(RuleBegin, deadline-wait, job.spec.ID)
			late = late || wait > deadline
			return fmt.Sprintf("after %.0f s", wait.Seconds())
		}
		first, whole := describeWait(1, &outcome.FirstStartS), describeWait(all, &outcome.AllStartedS)
		if late {
			outcome.Late = append(outcome.Late, fmt.Sprintf("%s of %s at %.0f s (%d tasks of %g CPUs) within %.0f s: first %s, all %d %s, %d began",
				job.spec.ID, job.spec.Team, at.Seconds(), job.spec.Tasks, job.spec.Need.CPU, deadline.Seconds(), first, all, whole, len(waits)))
		}
	}
}

// checkAtEnd runs the checks that need the end of a day, and adds violations, logs and margins to
// the result.
func (day *Day) checkAtEnd(world *World, result *DayResult) {
	for _, id := range sortedKeys(world.jobs) {
		world.checkPollsAnswered(world.jobs[id])
	}
	world.checkDependencyOutcomes()
	tops := world.largestJobs()
	for i := range result.Classes {
		if t, ok := tops[result.Classes[i].Name]; ok {
			day.recordLargestStarts(world, result.Classes[i].Largest, t)
		}
	}
	result.Violations = append(slices.Clone(world.Violations), result.Violations...)
	result.Log, result.Margins = world.logs, world.margins
}

// Worst returns the worst value of each figure of LargestJobs over all classes.
func (result *DayResult) Worst() LargestJobs {
	out := LargestJobs{ServedFraction: 1}
	longer := func(a, b float64) float64 {
		if min(a, b) < 0 {
			return -1
		}
		return math.Max(a, b)
	}
	for _, group := range result.Classes {
		if outcome := group.Largest; outcome != nil {
			out.ServedFraction, out.FirstStartS, out.AllStartedS = min(out.ServedFraction, outcome.ServedFraction), longer(out.FirstStartS, outcome.FirstStartS), longer(out.AllStartedS, outcome.AllStartedS)
			out.Late = append(out.Late, outcome.Late...)
		}
	}
	return out
}
