package pipeline

import "time"

// Task is what is known of an open job by itself: its urgency, when it is due, zero for
// no time, and how long it will still take.
type Task struct {
	Urgency int
	Due     time.Time
	Run     time.Duration
}

// Path is what the jobs behind a job ask of it: the highest urgency of all that need it,
// when it has to be over at the latest for them to be in time, and the time that the
// longest path takes from its start to the end of all.
type Path struct {
	Urgency int
	Due     time.Time
	Left    time.Duration
}

// Paths are those of all jobs that open jobs need, and the jobs that are on a circle,
// which only damaged records can show: what comes behind these counts for nobody.
func (g *Graph) Paths(task func(id string) (Task, bool)) (paths map[string]Path, circle []string) {
	w := walk{g: g, task: task, paths: map[string]Path{}, on: map[string]bool{}}
	for id, j := range g.jobs {
		if len(j.after) > 0 && !j.state.Final() {
			w.path(id)
		}
	}
	return w.paths, sorted(w.circle)
}

type walk struct {
	g      *Graph
	task   func(id string) (Task, bool)
	paths  map[string]Path
	on     map[string]bool
	circle map[string]bool
}

// path is the one of a job; ok is false if nothing is known of it or it is on a circle.
func (w *walk) path(id string) (p Path, ok bool) {
	if p, ok := w.paths[id]; ok {
		return p, true
	}
	if w.on[id] {
		if w.circle == nil {
			w.circle = map[string]bool{}
		}
		w.circle[id] = true
		return Path{}, false
	}
	t, ok := w.task(id)
	if !ok {
		return Path{}, false
	}
	w.on[id] = true
	defer delete(w.on, id)
	p = Path{t.Urgency, t.Due, t.Run}
	for after := range w.g.jobs[id].after {
		if w.g.jobs[after].cancelled {
			continue
		}
		next, ok := w.path(after)
		if !ok {
			continue
		}
		p.Urgency = max(p.Urgency, next.Urgency)
		p.Left = max(p.Left, t.Run+next.Left)
		then, _ := w.task(after)
		if by := next.Due.Add(-then.Run); !next.Due.IsZero() && (p.Due.IsZero() || by.Before(p.Due)) {
			p.Due = by
		}
	}
	w.paths[id] = p
	return p, true
}
