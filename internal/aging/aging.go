// Package aging prevents starvation in the job queue. Any rule that orders jobs by their
// objectives delays some for the sake of many, the largest first, and without a limit these
// wait for as long as others come. A job that has waited longer than its limit goes before all
// work of its own or lower urgency, whatever the objectives. All such jobs together go first
// on a part of the capacity only, so that other work can still meet its deadlines. The package
// has no clock and knows no machines.
package aging

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultMaxWait is how long a job may wait behind others by default. The operators' rule
	// has the largest jobs start within four minutes; half of that is left for reserving or
	// renting machines, and for image fetches.
	DefaultMaxWait = 2 * time.Minute
	// DefaultPriorityFraction is the default part of the capacity for its kind of task that
	// overdue work may take first. The rest stays with work that can still meet its
	// objectives: if overdue work could take all, a long queue would be worked off in order of
	// arrival, and all of it late.
	DefaultPriorityFraction = 0.75
	// MaxReservedFraction is the part of the machines that may be reserved at a time for one
	// job that fits nowhere, and is closed to all other work.
	MaxReservedFraction = 0.25
)

// Job is a job in the queue.
type Job struct {
	// Waited is how long the job has waited behind others; MaxWait is how long it may (0:
	// DefaultMaxWait).
	Waited, MaxWait time.Duration
	// PriorityFraction is the part of the capacity that the job may take first (0:
	// DefaultPriorityFraction).
	PriorityFraction float64
	// Urgency is the protocol's, higher first. Guaranteed: the next task is within the team's
	// guaranteed quota.
	Urgency    int
	Guaranteed bool
	// WaitingTasks are those to place. TaskFraction is the part of all capacity for such tasks
	// that one takes; RunningFraction is the part that the job's running tasks take.
	WaitingTasks                  int
	TaskFraction, RunningFraction float64
	// Gang: the tasks start all at once or not at all.
	Gang bool
}

func (j *Job) maxWait() time.Duration {
	if j.MaxWait > 0 {
		return j.MaxWait
	}
	return DefaultMaxWait
}

func (j *Job) priorityFraction() float64 {
	if j.PriorityFraction > 0 {
		return j.PriorityFraction
	}
	return DefaultPriorityFraction
}

// Overdue reports whether the job has waited longer than it may.
func (j *Job) Overdue() bool { return j.WaitingTasks > 0 && j.Waited > j.maxWait() }

// Entry is some tasks of a job to place. Job is its index in the list of jobs. Promoted: they
// go before others because the job is overdue.
type Entry struct {
	Job, Tasks int
	Promoted   bool
}

// QueueOrder returns the order of placement of jobs that are given in their order without
// aging. A job of which only some tasks are promoted has two entries: the rest keeps its
// ordinary position.
func QueueOrder(jobs []Job) []Entry {
	var overdue []int
	for i := range jobs {
		if jobs[i].Overdue() {
			overdue = append(overdue, i)
		}
	}
	out := make([]Entry, 0, len(jobs)+len(overdue))
	if len(overdue) == 0 {
		for i := range jobs {
			out = append(out, Entry{i, jobs[i].WaitingTasks, false})
		}
		return out
	}
	// The job that is furthest over its limit goes first.
	slices.SortStableFunc(overdue, func(a, b int) int {
		return cmp.Compare(jobs[b].Waited-jobs[b].maxWait(), jobs[a].Waited-jobs[a].maxWait())
	})
	counts := promotedTasks(jobs, overdue)
	var promoted []Entry
	for _, i := range overdue {
		if counts[i] > 0 {
			promoted = append(promoted, Entry{i, counts[i], true})
		}
	}
	for i := range jobs {
		// Place the promoted tasks that go before this job.
		promoted = slices.DeleteFunc(promoted, func(t Entry) bool {
			if !outranks(&jobs[t.Job], &jobs[i]) && t.Job != i {
				return false
			}
			out = append(out, t)
			return true
		})
		if remaining := jobs[i].WaitingTasks - counts[i]; remaining > 0 {
			out = append(out, Entry{i, remaining, false})
		}
	}
	return out
}

// outranks reports whether an overdue job goes before job j: one of its own or lower urgency,
// but not one whose guaranteed quota it would violate.
func outranks(overdue, j *Job) bool {
	return overdue.Urgency >= j.Urgency && (overdue.Guaranteed || !j.Guaranteed)
}

// promotedTasks returns how many tasks of each overdue job are promoted. Its running tasks
// count, so that a job of thousands of tasks does not take one part of the fleet after
// another. But a job without running tasks gets one task at least, as long as all such extra
// tasks take no more than the priority fraction once more: otherwise a large task would never
// start where few fit.
func promotedTasks(jobs []Job, overdue []int) map[int]int {
	counts := map[int]int{}
	taken, bonus := 0.0, 0.0
	for _, i := range overdue {
		taken += jobs[i].RunningFraction
	}
	for k, i := range overdue {
		j := &jobs[i]
		count := j.WaitingTasks
		switch {
		case j.Gang:
			count = int(min(1, max(0, j.priorityFraction()-taken)*1e9)) * j.WaitingTasks
		case j.TaskFraction > 0:
			count = min(count, max(0, int((j.priorityFraction()-taken)/j.TaskFraction)))
		}
		if minimum := j.RunningFraction == 0 && (k == 0 || bonus+j.TaskFraction <= j.priorityFraction()); count == 0 && minimum {
			count = 1
			if j.Gang {
				count = j.WaitingTasks
			}
			bonus += float64(count) * j.TaskFraction
		} else {
			taken += float64(count) * j.TaskFraction
		}
		if count > 0 {
			counts[i] = count
		}
	}
	return counts
}

// Candidate is a machine that could be reserved for a task. FreeIn is when the task would fit
// if nothing else were placed there; Reserved: the machine is reserved already.
type Candidate struct {
	ID       string
	FreeIn   time.Duration
	Reserved bool
}

// Reserve selects machines to reserve for tasks that fit nowhere: first those reserved
// already, since switching would never empty any, then those that are empty enough soonest. Of
// the machineCount machines that the tasks could use it takes MaxReservedFraction at most, but
// always one.
func Reserve(candidates []Candidate, taskCount, machineCount int) []string {
	limit := min(taskCount, max(1, int(MaxReservedFraction*float64(machineCount))))
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		switch {
		case a.Reserved != b.Reserved && a.Reserved:
			return -1
		case a.Reserved != b.Reserved:
			return 1
		}
		return cmp.Or(cmp.Compare(a.FreeIn, b.FreeIn), cmp.Compare(a.ID, b.ID))
	})
	var out []string
	for _, h := range sorted[:min(limit, len(sorted))] {
		out = append(out, h.ID)
	}
	return out
}
