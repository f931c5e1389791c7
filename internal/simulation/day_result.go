package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Distribution summarizes a distribution of times, in seconds.
type Distribution struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	Max float64 `json:"max"`
}

// newHistogram returns a histogram of milliseconds up to an hour.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000, 3) }

// recordMillis records a duration in a histogram of milliseconds. A duration below 1 ms counts as 1
// ms.
func recordMillis(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Milliseconds()))
}

// distributionOf returns the distribution, in seconds, of a histogram of milliseconds.
func distributionOf(h *hdrhistogram.Histogram) Distribution {
	s := func(v int64) float64 { return float64(v) / 1000 }
	return Distribution{s(h.ValueAtQuantile(50)), s(h.ValueAtQuantile(90)), s(h.Max())}
}

// Group is the outcome of the jobs of a class or of a team. A class is all jobs of a workload.
type Group struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// ServedFraction is the fraction of the jobs that were served; see userJob.isServed.
	ServedFraction float64 `json:"served"`
	// Tasks is the number of the jobs' tasks, and CompletedFraction the fraction of the tasks that
	// completed.
	Tasks             int     `json:"tasks"`
	CompletedFraction float64 `json:"ran"`
	// Wait is the time from a job's submission, or from the end of its dependencies, to its first
	// start. Late is the time from a job's deadline to its end; jobs that ended in time count as 1
	// ms.
	Wait Distribution `json:"wait_s"`
	Late Distribution `json:"late_s"`
	// Largest is the outcome of the largest jobs of a class; it is nil for teams.
	Largest *LargestJobs `json:"largest,omitempty"`
}

// DayResult is the outcome of a day.
type DayResult struct {
	Day
	// Violations are the rule violations, as "rule at time: description".
	Violations []string `json:"broken"`
	// Margins has the smallest margin of each timed rule.
	Margins    map[string]Margin `json:"slack"`
	Classes    []Group           `json:"classes"`
	TeamGroups []Group           `json:"team"`
	// Starts counts task starts.
	Starts int `json:"starts"`
	// StartsAfterCancel counts task starts after a controller answered that the job is cancelled.
	StartsAfterCancel int `json:"started_cancelled"`
	// LostToLease counts tasks that workers killed because their worker lease expired.
	LostToLease int `json:"lost_to_lease"`
	// RefusedRequests counts users' requests that were answered 503.
	RefusedRequests int `json:"refused"`
	// WritesPerSecond is the mean rate of writes to the state service.
	WritesPerSecond float64 `json:"changes_per_s"`
	// RateLimited and MalformedRequests count the requests to the state service that were answered
	// 429 and 400. LastMalformed is the error of the last malformed one. RentedMachines counts the
	// machines that were rented.
	RateLimited       int    `json:"state_429"`
	MalformedRequests int    `json:"state_400"`
	LastMalformed     string `json:"last_400,omitempty"`
	RentedMachines    int    `json:"rented"`
	// UnusedMachines counts the rented machines that never ran a task.
	UnusedMachines int `json:"unused"`
	// Cost is the total cost of the machines, in the unit of the cloud's hourly prices.
	Cost float64 `json:"money"`
	// Log has the controllers' log lines.
	Log []string `json:"-"`
	// Promises is set on days with promises.
	Promises *PromiseSummary `json:"dates,omitempty"`
	// ModelStats is set on days with models.
	ModelStats *ModelSummary `json:"model,omitempty"`
}

// Starved describes the classes and teams of which less than half of the jobs were served or less
// than half of the tasks completed, the classes of which less than half of the largest jobs were
// served, and the largest jobs that started late.
func (r *DayResult) Starved() []string {
	var out []string
	for _, g := range append(slices.Clone(r.Classes), r.TeamGroups...) {
		if g.ServedFraction < 0.5 || g.CompletedFraction < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of %d jobs, %.2f of their tasks", g.Name, g.ServedFraction, g.Jobs, g.CompletedFraction))
		}
		if l := g.Largest; l != nil && l.ServedFraction < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of its largest jobs", g.Name, l.ServedFraction))
		}
		if l := g.Largest; l != nil && len(l.Late) > 0 {
			out = append(out, fmt.Sprintf("%s begins late: %s", g.Name, strings.Join(l.Late, "; ")))
		}
	}
	return out
}

// summarize returns the outcome of the day's jobs and machines so far.
func (d *Day) summarize(w *World) DayResult {
	r := DayResult{
		Day: *d, Starts: w.Starts, StartsAfterCancel: w.StartsAfterCancel, LostToLease: w.LostToLease, RefusedRequests: w.RefusedRequests,
		WritesPerSecond: float64(w.state.writeCount) / w.now.Sub(w.startedAt).Seconds(), RateLimited: w.state.RateLimited, MalformedRequests: w.state.Malformed, LastMalformed: w.state.LastMalformed,
		RentedMachines: len(w.machineIDs), Promises: w.promiseSummary(),
	}
	if w.state.Malformed > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("malformed: %d requests to the state service, the last: %s", w.state.Malformed, w.state.LastMalformed))
	}
	d.summarizeGroups(w, &r)
	w.summarizeFleet(&r)
	if w.Starts == 0 {
		r.Violations = append(r.Violations, "nothing_ran")
	}
	return r
}

// groupSums adds up the jobs of a class or a team.
type groupSums struct {
	jobs, served     int
	tasks, completed int
	wait, late       *hdrhistogram.Histogram
}

// add counts a job in its state at now.
func (s *groupSums) add(j *userJob, now time.Time) {
	s.jobs++
	s.tasks += j.spec.Tasks
	s.completed += j.completedCount()
	wait := now.Sub(j.eligibleSince())
	for _, at := range j.firstStarts {
		wait = min(wait, at.Sub(j.eligibleSince()))
	}
	recordMillis(s.wait, wait)
	end := now
	if j.isServed() {
		s.served++
		end = j.finished
	}
	if j.spec.Deadline > 0 {
		recordMillis(s.late, end.Sub(j.submitted.Add(j.spec.Deadline)))
	}
}

// summarizeGroups adds the outcome of the classes and teams to a result. Jobs that were cancelled,
// always fail or are invalid are left out.
func (d *Day) summarizeGroups(w *World, r *DayResult) {
	sumsByGroup := map[string]*groupSums{}
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		if j.isCancelled() || j.alwaysFails || j.invalid {
			continue
		}
		for _, k := range []string{"class " + j.spec.Workload, "team " + j.spec.Team} {
			s := sumsByGroup[k]
			if s == nil {
				s = &groupSums{wait: newHistogram(), late: newHistogram()}
				sumsByGroup[k] = s
			}
			s.add(j, w.now)
		}
	}
	largest := w.largestJobs()
	for _, k := range sortedKeys(sumsByGroup) {
		s := sumsByGroup[k]
		kind, name, _ := strings.Cut(k, " ")
		g := Group{
			Name: name, Jobs: s.jobs, ServedFraction: float64(s.served) / float64(s.jobs), Tasks: s.tasks, CompletedFraction: float64(s.completed) / float64(s.tasks),
			Wait: distributionOf(s.wait), Late: distributionOf(s.late),
		}
		if kind != "class" {
			r.TeamGroups = append(r.TeamGroups, g)
			continue
		}
		if t, ok := largest[name]; ok {
			g.Largest = &LargestJobs{ServedFraction: d.largestServedFraction(w, t)}
		}
		r.Classes = append(r.Classes, g)
	}
}

// summarizeFleet adds the cost of the rented machines and the number of unused ones to a result.
// Each machine costs at least one minute.
func (w *World) summarizeFleet(r *DayResult) {
	for _, id := range w.machineIDs {
		m := w.machines[id]
		end := w.now
		switch {
		case !m.goneAt.IsZero():
			end = m.goneAt
		case m.dead:
			end = m.diedAt
		}
		t := w.machineTypes[m.MachineType]
		costPerHour := t.CostPerHour
		if m.Spot {
			costPerHour = t.SpotCostPerHour
		}
		r.Cost += costPerHour * max(end.Sub(m.rentedAt), time.Minute).Hours()
		if !m.everUsed {
			r.UnusedMachines++
		}
	}
}
