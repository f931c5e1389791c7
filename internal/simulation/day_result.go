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
func recordMillis(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(max(1, duration.Milliseconds()))
}

// distributionOf returns the distribution, in seconds, of a histogram of milliseconds.
func distributionOf(histogram *hdrhistogram.Histogram) Distribution {
	seconds := func(v int64) float64 { return float64(v) / 1000 }
	return Distribution{seconds(histogram.ValueAtQuantile(50)), seconds(histogram.ValueAtQuantile(90)), seconds(histogram.Max())}
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
func (result *DayResult) Starved() []string {
	var out []string
	for _, group := range append(slices.Clone(result.Classes), result.TeamGroups...) {
		if group.ServedFraction < 0.5 || group.CompletedFraction < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of %d jobs, %.2f of their tasks", group.Name, group.ServedFraction, group.Jobs, group.CompletedFraction))
		}
		if outcome := group.Largest; outcome != nil && outcome.ServedFraction < 0.5 {
			out = append(out, fmt.Sprintf("%s %.2f of its largest jobs", group.Name, outcome.ServedFraction))
		}
		if outcome := group.Largest; outcome != nil && len(outcome.Late) > 0 {
			out = append(out, fmt.Sprintf("%s begins late: %s", group.Name, strings.Join(outcome.Late, "; ")))
		}
	}
	return out
}

// summarize returns the outcome of the day's jobs and machines so far.
func (day *Day) summarize(world *World) DayResult {
	result := DayResult{
		Day: *day, Starts: world.Starts, StartsAfterCancel: world.StartsAfterCancel, LostToLease: world.LostToLease, RefusedRequests: world.RefusedRequests,
		WritesPerSecond: float64(world.state.writeCount) / world.now.Sub(world.startedAt).Seconds(), RateLimited: world.state.RateLimited, MalformedRequests: world.state.Malformed, LastMalformed: world.state.LastMalformed,
		RentedMachines: len(world.machineIDs), Promises: world.promiseSummary(),
	}
	if world.state.Malformed > 0 {
		result.Violations = append(result.Violations, fmt.Sprintf("malformed: %d requests to the state service, the last: %s", world.state.Malformed, world.state.LastMalformed))
	}
	day.summarizeGroups(world, &result)
	world.summarizeFleet(&result)
	if world.Starts == 0 {
		result.Violations = append(result.Violations, "nothing_ran")
	}
	return result
}

// groupSums adds up the jobs of a class or a team.
type groupSums struct {
	jobs, served     int
	tasks, completed int
	wait, late       *hdrhistogram.Histogram
}

// add counts a job in its state at now.
func (sums *groupSums) add(job *userJob, now time.Time) {
	sums.jobs++
	sums.tasks += job.spec.Tasks
	sums.completed += job.completedCount()
	wait := now.Sub(job.eligibleSince())
	for _, at := range job.firstStarts {
		wait = min(wait, at.Sub(job.eligibleSince()))
	}
	recordMillis(sums.wait, wait)
	end := now
	if job.isServed() {
		sums.served++
		end = job.finished
	}
	if job.spec.Deadline > 0 {
		recordMillis(sums.late, end.Sub(job.submitted.Add(job.spec.Deadline)))
	}
}

// summarizeGroups adds the outcome of the classes and teams to a result. Jobs that were cancelled,
// always fail or are invalid are left out.
func (day *Day) summarizeGroups(world *World, result *DayResult) {
	sumsByGroup := map[string]*groupSums{}
	for _, id := range sortedKeys(world.jobs) {
		job := world.jobs[id]
		if job.isCancelled() || job.alwaysFails || job.invalid {
			continue
		}
		for _, k := range []string{"class " + job.spec.Workload, "team " + job.spec.Team} {
			sums := sumsByGroup[k]
			if sums == nil {
				sums = &groupSums{wait: newHistogram(), late: newHistogram()}
				sumsByGroup[k] = sums
			}
			sums.add(job, world.now)
		}
	}
	largest := world.largestJobs()
	for _, k := range sortedKeys(sumsByGroup) {
		sums := sumsByGroup[k]
		kind, name, _ := strings.Cut(k, " ")
		group := Group{
			Name: name, Jobs: sums.jobs, ServedFraction: float64(sums.served) / float64(sums.jobs), Tasks: sums.tasks, CompletedFraction: float64(sums.completed) / float64(sums.tasks),
			Wait: distributionOf(sums.wait), Late: distributionOf(sums.late),
		}
		if kind != "class" {
			result.TeamGroups = append(result.TeamGroups, group)
			continue
		}
		if t, ok := largest[name]; ok {
			group.Largest = &LargestJobs{ServedFraction: day.largestServedFraction(world, t)}
		}
		result.Classes = append(result.Classes, group)
	}
}

// summarizeFleet adds the cost of the rented machines and the number of unused ones to a result.
// Each machine costs at least one minute.
func (world *World) summarizeFleet(result *DayResult) {
	for _, id := range world.machineIDs {
		machine := world.machines[id]
		end := world.now
		switch {
		case !machine.goneAt.IsZero():
			end = machine.goneAt
		case machine.dead:
			end = machine.diedAt
		}
		machineType := world.machineTypes[machine.MachineType]
		costPerHour := machineType.CostPerHour
		if machine.Spot {
			costPerHour = machineType.SpotCostPerHour
		}
		result.Cost += costPerHour * max(end.Sub(machine.rentedAt), time.Minute).Hours()
		if !machine.everUsed {
			result.UnusedMachines++
		}
	}
}
