package pipeline

import "time"

// Task is what is known of an open job by itself: its urgency, when it is due, zero for
// no time, and how long it will still take.
type Task struct {
	Urgency int
	Due     time.Time
	RunTime time.Duration
}

// CriticalPath is what the jobs behind a job ask of it: the highest urgency of all that need it,
// when it has to be over at the latest for them to be in time, and the time that the
// longest path takes from its start to the end of all.
type CriticalPath struct {
	Urgency   int
	Due       time.Time
	Remaining time.Duration
}

// CriticalPaths are those of all jobs that open jobs need, and the jobs that are on a circle,
// which only damaged records can show: what comes behind these counts for nobody.
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

// visit is the one of a job; ok is false if nothing is known of it or it is on a circle.
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
		then, _ := w.task(dependent)
		if by := next.Due.Add(-then.RunTime); !next.Due.IsZero() && (p.Due.IsZero() || by.Before(p.Due)) {
			p.Due = by
		}
	}
	w.paths[id] = p
	return p, true
}
