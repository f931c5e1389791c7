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
	// It is a fraction of MaxUnanswered, so that one lost answer violates no rule.
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
func (d *Day) lastFaultEnd() time.Duration {
	end := time.Duration(0)
	for _, f := range d.Faults {
		end = max(end, f.endsAt(d.Controllers))
	}
	return end
}

// checkPollsAnswered checks that a job's queries are not unanswered for longer than MaxUnanswered
// once all faults are over. It reports a job at most once.
func (w *World) checkPollsAnswered(j *userJob) {
	if w.faultsEndAt.IsZero() || !j.accepted || j.silenceReported {
		return
	}
	since := w.faultsEndAt
	if j.answeredAt.After(since) {
		since = j.answeredAt
	}
	d := w.now.Sub(since)
	w.recordMargin(RuleForgotten, MaxUnanswered-d, j.spec.ID)
	if d > MaxUnanswered {
		j.silenceReported = true
		w.violate("forgotten", "%s, %q: no answer for %.0f s", j.spec.ID, j.lastState, d.Seconds())
	}
}

// extendedDeadline returns the end of a period that begins at from and has the given duration,
// extended by the times in it during which faults leave no capacity.
func (d *Day) extendedDeadline(from, duration time.Duration) time.Duration {
	end := from + duration
	for range d.Faults {
		extended, covered := from+duration, from
		for _, f := range d.Faults { // sorted by their begin
			a, b := max(f.noCapacityFrom(), covered), min(f.noCapacityUntil(d.Controllers), end)
			if b > a {
				extended, covered = extended+b-a, b
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
func (d *Day) maxConcurrent(s *model.JobSpec) int {
	types, capacity := d.cloudInventory()
	fit := 0
	for _, t := range types {
		for _, z := range t.Zones {
			if len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, t.Name) || s.Zone != "" && s.Zone != z {
				continue
			}
			machines := capacity[t.Name+"/"+z+"/false"]
			if s.AllowSpot {
				machines += capacity[t.Name+"/"+z+"/true"]
			}
			fit += machines * t.Capacity.FitCount(s.Need)
		}
	}
	for _, t := range d.Settings.Teams {
		if t.Name == s.Team && t.QuotaLimit.CPU > 0 {
			fit = min(fit, t.QuotaLimit.FitCount(model.Resources{CPU: s.Need.CPU}))
		}
	}
	return min(fit, s.Tasks)
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
func (j *userJob) isCounted() bool { return !j.isCancelled() && !j.alwaysFails && j.refusedStatus == 0 }

// isServed reports whether a job was served: the user knows that it is done, or all replicas of a
// long-running job have started.
func (j *userJob) isServed() bool {
	if j.spec.LongRunning {
		return j.completedCount() == j.spec.Tasks
	}
	return j.lastState == "done"
}

// hasUnfinishedJobs reports whether the outcome of a counted job can still change: the job is
// long-running or not served yet.
func (w *World) hasUnfinishedJobs() bool {
	for _, j := range w.jobs {
		if j.isCounted() && (j.spec.LongRunning || !j.isServed()) {
			return true
		}
	}
	return false
}

// completedCount returns the number of tasks that are done or, for a long-running job, of replicas
// that have started.
func (j *userJob) completedCount() int {
	if j.spec.LongRunning {
		return len(j.firstStarts)
	}
	return len(j.doneTasks)
}

// largestJobs returns the largest tenth of the counted jobs of each class, first by number of
// tasks, second by resource-seconds.
func (w *World) largestJobs() map[string][2][]*userJob {
	by := map[string][]*userJob{}
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.isCounted() {
			by[j.spec.Workload] = append(by[j.spec.Workload], j)
		}
	}
	out := map[string][2][]*userJob{}
	for class, jobs := range by {
		top := func(size func(*userJob) float64) []*userJob {
			js := slices.Clone(jobs)
			slices.SortStableFunc(js, func(a, b *userJob) int { return cmp.Compare(size(b), size(a)) })
			return js[:max(1, len(js)/10)]
		}
		tasks := func(j *userJob) float64 { return float64(j.spec.Tasks) }
		work := func(j *userJob) float64 {
			// A GPU counts as 8 CPUs, about the CPUs of a machine per GPU.
			return tasks(j) * (j.spec.Need.CPU + 8*j.spec.Need.GPU) * max(1, j.run.Seconds())
		}
		out[class] = [2][]*userJob{top(tasks), top(work)}
	}
	return out
}

// couldBeServed reports whether a job could have completed by now under ideal conditions: since it
// became eligible it had the whole cloud to itself, without provisioning, image fetches and faults.
func (d *Day) couldBeServed(w *World, j *userJob) bool {
	all := d.maxConcurrent(&j.spec)
	return all > 0 && j.dependenciesDone() && j.run*time.Duration((j.spec.Tasks+all-1)/all) <= w.now.Sub(j.eligibleSince())
}

// largestServedFraction returns the fraction of a class's largest jobs that were served, of those
// that could be served; of the two groups, the smaller fraction.
func (d *Day) largestServedFraction(w *World, tops [2][]*userJob) float64 {
	least := 1.0
	for _, js := range tops {
		n, of := 0, 0
		for _, j := range js {
			if j.isServed() {
				n++
			}
			if j.isServed() || d.couldBeServed(w, j) {
				of++
			}
		}
		if of > 0 {
			least = min(least, float64(n)/float64(of))
		}
	}
	return least
}

// recordLargestStarts records in l how long a class's largest jobs waited for their starts, and
// their margins for RuleBegin. It is called at the end of a day.
func (d *Day) recordLargestStarts(w *World, l *LargestJobs, largest [2][]*userJob) {
	seen := map[*userJob]bool{}
	for _, j := range append(slices.Clone(largest[0]), largest[1]...) {
		all := d.maxConcurrent(&j.spec)
		if seen[j] || all == 0 || !j.dependenciesDone() {
			continue
		}
		seen[j] = true
		waits := []time.Duration{}
		for _, at := range j.firstStarts {
			waits = append(waits, at.Sub(j.eligibleSince()))
		}
		slices.Sort(waits)
		at := j.eligibleSince().Sub(w.startedAt)
		deadline := d.extendedDeadline(at, maxStartWait) - at
		late := false
		describeWait := func(n int, worst *float64) string {
			if len(waits) < n {
				*worst, late = -1, true
				w.recordMargin(RuleBegin, deadline-w.now.Sub(j.eligibleSince()), j.spec.ID)
				return "never"
			}
			wait := waits[n-1]
			if *worst >= 0 {
				*worst = max(*worst, wait.Seconds())
			}
			w.recordMargin(RuleBegin, deadline-wait, j.spec.ID)
			late = late || wait > deadline
			return fmt.Sprintf("after %.0f s", wait.Seconds())
		}
		first, whole := describeWait(1, &l.FirstStartS), describeWait(all, &l.AllStartedS)
		if late {
			l.Late = append(l.Late, fmt.Sprintf("%s of %s at %.0f s (%d tasks of %g CPUs) within %.0f s: first %s, all %d %s, %d began",
				j.spec.ID, j.spec.Team, at.Seconds(), j.spec.Tasks, j.spec.Need.CPU, deadline.Seconds(), first, all, whole, len(waits)))
		}
	}
}

// checkAtEnd runs the checks that need the end of a day, and adds violations, logs and margins to
// the result.
func (d *Day) checkAtEnd(w *World, r *DayResult) {
	for _, id := range sortedKeys(w.jobs) {
		w.checkPollsAnswered(w.jobs[id])
	}
	w.checkDependencyOutcomes()
	tops := w.largestJobs()
	for i := range r.Classes {
		if t, ok := tops[r.Classes[i].Name]; ok {
			d.recordLargestStarts(w, r.Classes[i].Largest, t)
		}
	}
	r.Violations = append(slices.Clone(w.Violations), r.Violations...)
	r.Log, r.Margins = w.logs, w.margins
}

// Worst returns the worst value of each figure of LargestJobs over all classes.
func (r *DayResult) Worst() LargestJobs {
	out := LargestJobs{ServedFraction: 1}
	longer := func(a, b float64) float64 {
		if min(a, b) < 0 {
			return -1
		}
		return math.Max(a, b)
	}
	for _, g := range r.Classes {
		if l := g.Largest; l != nil {
			out.ServedFraction, out.FirstStartS, out.AllStartedS = min(out.ServedFraction, l.ServedFraction), longer(out.FirstStartS, l.FirstStartS), longer(out.AllStartedS, l.AllStartedS)
			out.Late = append(out.Late, l.Late...)
		}
	}
	return out
}
