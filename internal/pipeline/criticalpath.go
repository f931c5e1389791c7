package pipeline

import "time"

// Task is an open job by itself, without its dependents.
type Task struct {
	Urgency int
	// Due is when the job has to end; zero for no such time.
	Due time.Time
	// RunTime is how long the job still takes.
	RunTime time.Duration
}

// CriticalPath is what a job's dependents require of it.
type CriticalPath struct {
	// Urgency is the highest urgency of the job and its dependents.
	Urgency int
	// Due is the latest end of the job with which all dependents are in time; zero if
	// none has to end at some time.
	Due time.Time
	// Remaining is the length of the longest path, from the job's start to the end of the
	// last dependent.
	Remaining time.Duration
}

// CriticalPaths returns the paths of all jobs with open dependents, by job. cycle has the
// jobs that depend on themselves, which only damaged records can cause; the dependents of
// these are ignored.
func (g *Graph) CriticalPaths(task func(id string) (Task, bool)) (paths map[string]CriticalPath, cycle []string) {
	walker := pathWalker{graph: g, task: task, paths: map[string]CriticalPath{}, visiting: map[string]bool{}}
	for id, j := range g.jobs {
		if len(j.dependents) > 0 && !j.state.Final() {
			walker.visit(id)
		}
	}
	return walker.paths, sortedIDs(walker.cycle)
}

type pathWalker struct {
	graph    *Graph
	task     func(id string) (Task, bool)
	paths    map[string]CriticalPath
	visiting map[string]bool
	cycle    map[string]bool
}

// visit returns a job's path. ok is false if the job isn't known or is being visited, which
// makes it part of a cycle.
func (w *pathWalker) visit(id string) (p CriticalPath, ok bool) {
	if p, ok := w.paths[id]; ok {
		return p, true
	}
	if w.visiting[id] {
		if w.cycle == nil {
			w.cycle = map[string]bool{}
		}
		w.cycle[id] = true
		return CriticalPath{}, false
	}
	t, ok := w.task(id)
	if !ok {
		return CriticalPath{}, false
	}
	w.visiting[id] = true
	defer delete(w.visiting, id)
	p = CriticalPath{t.Urgency, t.Due, t.RunTime}
	for dependent := range w.graph.jobs[id].dependents {
		if w.graph.jobs[dependent].cancelled {
			continue
		}
		next, ok := w.visit(dependent)
		if !ok {
			continue
		}
		p.Urgency = max(p.Urgency, next.Urgency)
		p.Remaining = max(p.Remaining, t.RunTime+next.Remaining)
		dependentTask, _ := w.task(dependent)
		if by := next.Due.Add(-dependentTask.RunTime); !next.Due.IsZero() && (p.Due.IsZero() || by.Before(p.Due)) {
			p.Due = by
		}
	}
	w.paths[id] = p
	return p, true
}
