package simulation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file has the checks of a whole day beside the rules of single events: every accepted job
// stays known, and the largest jobs of each class are served and start in time.

const (
	// MaxUnanswered is how long an accepted job may go without an answered query once all faults
	// are over. The load tests against real controllers use it, too.
	MaxUnanswered = 75 * time.Second
	// endedPollInterval is how often users query ended jobs once all faults are over: several times
	// within MaxUnanswered.
	endedPollInterval = 15 * time.Second
	// maxStartWait is how soon the largest jobs of a class must start.
	maxStartWait = 240 * time.Second
	// countServedAfter and servedAfterFaults say when served jobs are counted: that long after the
	// last submission, not counting times without capacity, and that long after the last fault.
	countServedAfter  = 3 * time.Minute
	servedAfterFaults = time.Minute
	// slowProvisioningGrace is how long after a provisioning fault there may still be no capacity:
	// until the controllers give up the machines that are not ready, and others are.
	slowProvisioningGrace = 2 * time.Minute
)

// lastFaultEnd returns when the day's last fault is over.
func (d *Day) lastFaultEnd() time.Duration {
	end := time.Duration(0)
	for _, f := range d.Faults {
		end = max(end, f.endsAt(d.Controllers))
	}
	return end
}

// checkPollsAnswered checks that a job's queries do not go unanswered for longer than
// MaxUnanswered.
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

// extendedDeadline returns the end of a period that begins at from and lasts duration, extended by
// the parts of it without capacity.
func (d *Day) extendedDeadline(from, duration time.Duration) time.Duration {
	end := from + duration
	for range d.Faults {
		extended, covered := from+duration, from
		for _, f := range d.Faults { // in the order of their begin
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

// maxConcurrent returns how many tasks of a job the team's quota limit and the cloud allow at a
// time.
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

// LargestJobs is the outcome of a class's largest jobs: the largest tenth, at least one, by number
// of tasks and by total work. Of the two, the worse counts.
type LargestJobs struct {
	ServedFraction float64 `json:"served"`
	// FirstStartS is the longest wait for a first task, in seconds, and AllStartedS the longest
	// wait for as many tasks as can run at a time; -1 means never.
	FirstStartS float64 `json:"first_s"`
	AllStartedS float64 `json:"all_s"`
	// Late describes the jobs that did not start in time.
	Late []string `json:"late,omitempty"`
}

// isCounted reports whether a job counts in the outcome of a day.
func (j *userJob) isCounted() bool { return !j.isCancelled() && !j.alwaysFails && j.refusedStatus == 0 }

// isServed reports whether a job was served: it is done, or all replicas of a long-running job
// started.
func (j *userJob) isServed() bool {
	if j.spec.LongRunning {
		return j.completedCount() == j.spec.Tasks
	}
	return j.lastState == "done"
}

// hasUnfinishedJobs reports whether there is a job about which more can be known later.
func (w *World) hasUnfinishedJobs() bool {
	for _, j := range w.jobs {
		if j.isCounted() && (j.spec.LongRunning || !j.isServed()) {
			return true
		}
	}
	return false
}

// completedCount returns how many tasks are done, or how many replicas ever started.
func (j *userJob) completedCount() int {
	if j.spec.LongRunning {
		return len(j.firstStarts)
	}
	return len(j.doneTasks)
}

// largestJobs returns the largest tenth of each class by number of tasks, and by work.
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
			// A GPU counts as the CPUs that usually come with it.
			return tasks(j) * (j.spec.Need.CPU + 8*j.spec.Need.GPU) * max(1, j.run.Seconds())
		}
		out[class] = [2][]*userJob{top(tasks), top(work)}
	}
	return out
}

// couldBeServed reports whether a job could be served by now if it had had the whole cloud to
// itself since its submission, with no provisioning, image fetch or fault.
func (d *Day) couldBeServed(w *World, j *userJob) bool {
	all := d.maxConcurrent(&j.spec)
	return all > 0 && j.dependenciesDone() && j.run*time.Duration((j.spec.Tasks+all-1)/all) <= w.now.Sub(j.eligibleSince())
}

// largestServedFraction returns the part of a class's largest jobs that was served, of those that
// could be served.
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

// recordLargestStarts records when a class's largest jobs started. It is called at the end of a
// day.
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

// checkAtEnd adds to the result of a day what only its end shows.
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

// Worst combines the largest jobs of all classes into the worst of each figure.
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
