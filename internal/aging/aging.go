// Package aging prevents starvation in the job queue. Any rule that orders jobs by their objectives
// delays some jobs, the largest first, in favor of many others. Without a limit the delayed jobs
// wait as long as new jobs arrive. A job that has waited longer than its limit goes before all jobs
// of its own or lower urgency, whatever their objectives. All such jobs together go first only on a
// part of the capacity, so that other jobs can still meet their deadlines. The package has no clock
// and does not know the state of the machines.
package aging

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultMaxWait is how long a job may wait behind other jobs by default. The operators'
	// rule requires the largest jobs to start within four minutes; half of that is left for
	// reserving or renting machines and for image fetches.
	DefaultMaxWait = 2 * time.Minute
	// DefaultPriorityFraction is the default fraction of the capacity for its kind of task that
	// overdue jobs may take first. The rest stays with jobs that can still meet their
	// objectives: if overdue jobs could take everything, a long queue would be processed in
	// order of arrival, and all its jobs would be late.
	DefaultPriorityFraction = 0.75
	// MaxReservedFraction is the fraction of the machines that may be reserved at a time for a
	// job that fits on no machine. A reserved machine accepts no tasks of other jobs.
	MaxReservedFraction = 0.25
)

// Job describes a job in the queue.
type Job struct {
	// Waited is how long the job has waited behind other jobs. MaxWait is its limit, where 0
	// means DefaultMaxWait.
	Waited, MaxWait time.Duration
	// PriorityFraction is the fraction of the capacity that the job may take first, where 0
	// means DefaultPriorityFraction.
	PriorityFraction float64
	// Urgency is the urgency of the protocol; a higher value goes first. Guaranteed is set if
	// the next task is within the team's guaranteed quota.
	Urgency    int
	Guaranteed bool
	// WaitingTasks is the number of tasks to place. TaskFraction is the fraction of all
	// capacity for such tasks that one task takes; RunningFraction is the fraction that the
	// job's running tasks take.
	WaitingTasks                  int
	TaskFraction, RunningFraction float64
	// Gang is set if the tasks start all at once or not at all.
	Gang bool
}

// maxWait returns MaxWait or its default.
func (job *Job) maxWait() time.Duration {
	if job.MaxWait > 0 {
		return job.MaxWait
	}
	return DefaultMaxWait
}

// priorityFraction returns PriorityFraction or its default.
func (job *Job) priorityFraction() float64 {
	if job.PriorityFraction > 0 {
		return job.PriorityFraction
	}
	return DefaultPriorityFraction
}

// Overdue reports whether the job has tasks to place and has waited longer than its limit.
func (job *Job) Overdue() bool { return job.WaitingTasks > 0 && job.Waited > job.maxWait() }

// Entry is a number of tasks of one job at one position of the queue. Job is the job's index in the
// list of jobs. Promoted is set if the tasks go before other jobs because their job is overdue.
type Entry struct {
	Job, Tasks int
	Promoted   bool
}

// QueueOrder returns the order in which tasks are placed. The jobs are given in their order without
// aging. A job with only some tasks promoted has two entries: its other tasks keep their ordinary
// position.
func QueueOrder(jobs []Job) []Entry {
	var overdue []int
	for i := range jobs {
		if jobs[i].Overdue() {
			overdue = append(overdue, i)
		}
	}
	entries := make([]Entry, 0, len(jobs)+len(overdue))
	if len(overdue) == 0 {
		for i := range jobs {
			entries = append(entries, Entry{i, jobs[i].WaitingTasks, false})
		}
		return entries
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
		// Emit the promoted tasks that go before this job.
		promoted = slices.DeleteFunc(promoted, func(entry Entry) bool {
			if !outranks(&jobs[entry.Job], &jobs[i]) && entry.Job != i {
				return false
			}
			entries = append(entries, entry)
			return true
		})
		if remaining := jobs[i].WaitingTasks - counts[i]; remaining > 0 {
			entries = append(entries, Entry{i, remaining, false})
		}
	}
	return entries
}

// outranks reports whether an overdue job goes before another job: the other job has the same or a
// lower urgency, and the overdue job does not displace guaranteed quota of the other job.
func outranks(overdue, job *Job) bool {
	return overdue.Urgency >= job.Urgency && (overdue.Guaranteed || !job.Guaranteed)
}

// promotedTasks returns how many tasks of each overdue job are promoted. The running tasks of
// overdue jobs count toward the priority fraction, so that a job of thousands of tasks does not
// take one part of the fleet after another. A job without running tasks gets at least one task, as
// long as all such extra tasks together take at most the priority fraction once more; the first
// overdue job gets its extra task in any case. Otherwise a large task would never start where few
// of its kind fit.
func promotedTasks(jobs []Job, overdue []int) map[int]int {
	counts := map[int]int{}
	taken, bonus := 0.0, 0.0
	for _, i := range overdue {
		taken += jobs[i].RunningFraction
	}
	for k, i := range overdue {
		job := &jobs[i]
		count := job.WaitingTasks
		switch {
		case job.Gang:
			count = int(min(1, max(0, job.priorityFraction()-taken)*1e9)) * job.WaitingTasks
		case job.TaskFraction > 0:
			count = min(count, max(0, int((job.priorityFraction()-taken)/job.TaskFraction)))
		}
		if minimum := job.RunningFraction == 0 && (k == 0 || bonus+job.TaskFraction <= job.priorityFraction()); count == 0 && minimum {
			count = 1
			if job.Gang {
				count = job.WaitingTasks
			}
			bonus += float64(count) * job.TaskFraction
		} else {
			taken += float64(count) * job.TaskFraction
		}
		if count > 0 {
			counts[i] = count
		}
	}
	return counts
}

// Candidate is a machine that could be reserved for a task. FreeIn is how long it takes until the
// task fits if no other task is placed there. Reserved is set if the machine is already reserved
// for the job.
type Candidate struct {
	ID       string
	FreeIn   time.Duration
	Reserved bool
}

// Reserve selects machines to reserve for tasks that fit on no machine. Machines that are already
// reserved come first, since switching between machines would never empty any of them; then come
// those that are empty enough soonest. Of the machineCount machines that the tasks could use,
// Reserve selects at most MaxReservedFraction, but always at least one if there is a candidate.
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
	var selected []string
	for _, candidate := range sorted[:min(limit, len(sorted))] {
		selected = append(selected, candidate.ID)
	}
	return selected
}
