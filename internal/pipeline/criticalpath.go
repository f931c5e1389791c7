package pipeline

import "time"

// Task describes an open job without regard to its dependents.
type Task struct {
	Urgency int
	// Due is when the job has to end; zero if it has no deadline.
	Due time.Time
	// RunTime is how long the job is still expected to run.
	RunTime time.Duration
}

// CriticalPath is what a job's dependents require of the job.
type CriticalPath struct {
	// Urgency is the highest urgency of the job and its dependents.
	Urgency int
	// Due is the latest end of the job with which the job and all its dependents meet their
	// deadlines; zero if none of them has a deadline.
	Due time.Time
	// Remaining is the length of the longest path from the job's start to the end of its last
	// dependent.
	Remaining time.Duration
}

// CriticalPaths returns the critical paths, by job, of all jobs that have open dependents. cycle
// lists jobs that depend on themselves, which only damaged records can cause; the dependency
// that closes a cycle is ignored.
func (graph *Graph) CriticalPaths(task func(id string) (Task, bool)) (paths map[string]CriticalPath, cycle []string) {
	walker := pathWalker{graph: graph, task: task, paths: map[string]CriticalPath{}, visiting: map[string]bool{}}
	for id, job := range graph.jobs {
		if len(job.dependents) > 0 && !job.state.Final() {
			walker.visit(id)
		}
	}
	return walker.paths, sortedIDs(walker.cycle)
}

// pathWalker computes critical paths by a depth-first search along the dependents.
type pathWalker struct {
	graph    *Graph
	task     func(id string) (Task, bool)
	paths    map[string]CriticalPath
	visiting map[string]bool
	cycle    map[string]bool
}

// visit returns a job's path. ok is false if task does not know the job, or if the job is being
// visited, which makes it part of a cycle.
func (walker *pathWalker) visit(id string) (path CriticalPath, ok bool) {
	if path, ok := walker.paths[id]; ok {
		return path, true
	}
	if walker.visiting[id] {
		if walker.cycle == nil {
			walker.cycle = map[string]bool{}
		}
		walker.cycle[id] = true
		return CriticalPath{}, false
	}
	task, ok := walker.task(id)
	if !ok {
		return CriticalPath{}, false
	}
	walker.visiting[id] = true
	defer delete(walker.visiting, id)
	path = CriticalPath{task.Urgency, task.Due, task.RunTime}
	for dependent := range walker.graph.jobs[id].dependents {
		if walker.graph.jobs[dependent].cancelled {
			continue
		}
		next, ok := walker.visit(dependent)
		if !ok {
			continue
		}
		path.Urgency = max(path.Urgency, next.Urgency)
		path.Remaining = max(path.Remaining, task.RunTime+next.Remaining)
		dependentTask, _ := walker.task(dependent)
		if due := next.Due.Add(-dependentTask.RunTime); !next.Due.IsZero() && (path.Due.IsZero() || due.Before(path.Due)) {
			path.Due = due
		}
	}
	walker.paths[id] = path
	return path, true
}
