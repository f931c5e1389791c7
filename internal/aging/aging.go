// Package aging bounds how long work waits behind other work. Every rule that
// orders jobs by their aims puts some off for the sake of many, the largest first, and
// without a bound they wait for as long as others come. What has waited longer than its
// bound goes before all work of its own or lower urgency, whatever the aims say; all
// such work together goes first on a part of the machines only, so that what is due
// elsewhere is not hurt. The package has no clock and knows no machines.
package aging

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultMaxWait is how long a job may wait behind others if nothing else is said. The
	// operators' rule has the largest jobs begin within four minutes; half of that is
	// left for room to be gathered or rented, and for images.
	DefaultMaxWait = 2 * time.Minute
	// DefaultPriorityFraction is how much of the room for its kind of task work that has waited too long
	// may take before all others, if nothing else is said. The rest stays with what can
	// still meet its aims: were it all, a long queue would be worked off in the order in
	// which it came, and all of it late.
	DefaultPriorityFraction = 0.75
	// MaxReservedFraction is the part of the machines that may be held at a time for one job that
	// fits nowhere, closed to all else.
	MaxReservedFraction = 0.25
)

// Job is a job that waits, in its turn among the others.
type Job struct {
	// Waited is for how long it has waited behind others, Bound how long it may; 0:
	// the package's.
	Waited, MaxWait time.Duration
	// PriorityFraction is what of the room it may take first; 0: the package's.
	PriorityFraction float64
	// Urgency is the protocol's, higher first. Guaranteed: its next task lies within
	// its team's guarantee.
	Urgency    int
	Guaranteed bool
	// WaitingTasks are the tasks that want a place, Each the part of all room for such tasks
	// that one takes, and Holds the part that its running tasks take.
	WaitingTasks                  int
	TaskFraction, RunningFraction float64
	// Together: its tasks start all at once or not at all.
	Gang bool
}

// maxWait is how long the job may wait.
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

// Overdue says that the job has waited longer than it may.
func (j *Job) Overdue() bool { return j.WaitingTasks > 0 && j.Waited > j.maxWait() }

// Entry is some tasks of a job, by its place in the list, whose turn it is. First: they
// go before others because the job has waited too long.
type Entry struct {
	Job, Tasks int
	Promoted   bool
}

// QueueOrder puts jobs, given in their order without regard to patience, into the order in
// which they are placed. A job whose tasks may not all go first stands twice: what is
// left of it has its ordinary turn.
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
	// Who is furthest over its bound goes first.
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
		// Whatever of them goes before this job comes now.
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

// outranks says that work which has waited too long goes before a job: of its own or
// lower urgency, and not of a team whose guarantee it would break.
func outranks(overdue, j *Job) bool {
	return overdue.Urgency >= j.Urgency && (overdue.Guaranteed || !j.Guaranteed)
}

// promotedTasks is how many tasks of each late job go first. What runs of them counts: a job
// of thousands is not to take one part of the fleet after another. But one of which
// nothing runs has a task at least, as far as that takes no more than the part once
// more: a job that has begun is served, and a large task would never start where few
// are.
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

// Candidate is a machine that could be gathered for a task: when the task would fit if
// nothing else came, and whether it is gathered already.
type Candidate struct {
	ID       string
	FreeIn   time.Duration
	Reserved bool
}

// Reserve picks machines to hold for tasks that fit nowhere: those held already, as
// changing one's mind would empty none, then those that are soonest empty enough. Of
// so many machines that the tasks could go to at most a part, and one in any case.
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
