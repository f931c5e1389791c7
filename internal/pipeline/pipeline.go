// Package pipeline keeps the graph of open jobs and the jobs that they need: which of
// them wait, which are cancelled since one before them is, and what has to be read to
// tell. It has no clock and sends nothing. A graph is a pure function of what the
// records say, in whatever order that comes: done and cancelled are for good, so nothing
// that it told can become untrue.
package pipeline

import "slices"

// State is what the records say of a job.
type State uint8

// The states of a job. Unknown: its record has to be read; Missing: it was read, and says
// that the job was never accepted, which only a damaged record can lead to.
const (
	Unknown State = iota
	Missing
	Open
	Done
	Cancelled
)

// Final says that a state never changes again.
func (s State) Final() bool { return s == Done || s == Cancelled }

// job is one that needs others or that others need.
type job struct {
	state State
	// open: it is an open job, whose needs are those that its record names.
	open  bool
	needs []string
	after map[string]bool
	// undone counts its needs that are not done.
	undone int
	// cancelled: it is, or one that it needs, directly or through others.
	cancelled bool
}

// Graph has the open jobs that need others, and what they need.
type Graph struct {
	jobs map[string]*job
	// state tells what is known of a job that is named for the first time.
	state func(id string) State
	// unknown counts the jobs of which nothing is known.
	unknown int
}

// Change is a job that has become cancelled by another's cancellation, or free to start.
type Change struct {
	ID        string
	Cancelled bool
}

// New is an empty graph; state tells what is known of a job that is named for the first
// time.
func New(state func(id string) State) *Graph {
	return &Graph{jobs: map[string]*job{}, state: state}
}

// Put takes in an open job with what it needs, and returns what that changes: the job
// itself, if it is cancelled or free at once. What a job needs never changes, so that a
// repeat has no effect.
func (g *Graph) Put(id string, needs []string) []Change {
	if len(needs) == 0 || g.jobs[id] != nil && g.jobs[id].open {
		return nil
	}
	j := g.named(id)
	j.open, j.needs = true, needs
	if !j.state.Final() {
		g.set(j, Open)
	}
	lost := false
	for _, p := range needs {
		before := g.named(p)
		before.after[id] = true
		lost = lost || before.cancelled
		if before.state != Done {
			j.undone++
		}
	}
	switch {
	case j.state == Done || j.cancelled:
		return nil
	case lost:
		return append([]Change{{id, true}}, g.cancel(id)...)
	case j.undone == 0:
		return []Change{{ID: id}}
	}
	return nil
}

// named is the job of that name, which enters the graph if it is new to it.
func (g *Graph) named(id string) *job {
	j := g.jobs[id]
	if j == nil {
		j = &job{state: g.state(id), after: map[string]bool{}}
		j.cancelled = j.state == Cancelled
		if j.state == Unknown {
			g.unknown++
		}
		g.jobs[id] = j
	}
	return j
}

func (g *Graph) set(j *job, s State) {
	if j.state == Unknown {
		g.unknown--
	}
	if j.state = s; s == Unknown {
		g.unknown++
	}
}

// Set takes in what the records say of a job, and returns what that changes for those
// that need it. A job that nobody needs is none of the graph's.
func (g *Graph) Set(id string, s State) []Change {
	j := g.jobs[id]
	if j == nil || j.state == s || j.state.Final() {
		return nil
	}
	g.set(j, s)
	switch {
	case s == Cancelled && !j.cancelled:
		return g.cancel(id)
	case s != Done || j.cancelled:
		return nil
	}
	var out []Change
	for _, after := range sorted(j.after) {
		next := g.jobs[after]
		if next.undone--; next.undone == 0 && !next.cancelled {
			out = append(out, Change{ID: after})
		}
	}
	return out
}

// cancel marks a job and all behind it, and returns these.
func (g *Graph) cancel(id string) []Change {
	var out []Change
	g.jobs[id].cancelled = true
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		for _, after := range sorted(g.jobs[queue[0]].after) {
			next := g.jobs[after]
			if next.cancelled || next.state == Done {
				continue
			}
			next.cancelled = true
			out = append(out, Change{after, true})
			queue = append(queue, after)
		}
	}
	return out
}

// Remove takes a job out of the open ones. What it needed and nobody else does is
// forgotten; what became of itself Set tells.
func (g *Graph) Remove(id string) {
	j := g.jobs[id]
	if j == nil {
		return
	}
	for _, p := range j.needs {
		if before := g.jobs[p]; before != nil {
			delete(before.after, id)
			g.forget(p)
		}
	}
	j.open, j.needs, j.undone = false, nil, 0
	g.forget(id)
}

// forget drops a job that is neither open nor needed.
func (g *Graph) forget(id string) {
	j := g.jobs[id]
	if j == nil || j.open || len(j.after) > 0 {
		return
	}
	if j.state == Unknown {
		g.unknown--
	}
	delete(g.jobs, id)
}

// Cancelled says whether a job is, by its own record or by that of one before it.
func (g *Graph) Cancelled(id string) bool {
	j := g.jobs[id]
	return j != nil && j.cancelled
}

// Released says whether all that a job needs is done.
func (g *Graph) Released(id string) bool {
	j := g.jobs[id]
	return j == nil || !j.open || j.undone == 0 && !j.cancelled
}

// Needed are the open jobs that need a job.
func (g *Graph) Needed(id string) []string {
	if j := g.jobs[id]; j != nil {
		return sorted(j.after)
	}
	return nil
}

// Waits are those of a job's needs that are not done.
func (g *Graph) Waits(id string) []string {
	j := g.jobs[id]
	if j == nil {
		return nil
	}
	var out []string
	for _, p := range j.needs {
		if g.jobs[p].state != Done {
			out = append(out, p)
		}
	}
	return out
}

// Unread are the jobs of which nothing is known and without which it can't be told
// whether a job is cancelled. Near: only those that it needs itself.
func (g *Graph) Unread(id string, near bool) []string {
	j := g.jobs[id]
	if g.unknown == 0 || j == nil || j.cancelled {
		return nil
	}
	var out []string
	seen := map[string]bool{id: true}
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		for _, p := range g.jobs[queue[0]].needs {
			if seen[p] {
				continue
			}
			seen[p] = true
			if g.jobs[p].state == Unknown {
				out = append(out, p)
			} else if !near {
				queue = append(queue, p)
			}
		}
	}
	return out
}

// Some says whether any job needs another.
func (g *Graph) Some() bool { return len(g.jobs) > 0 }

// Waiting counts the open jobs that wait for others.
func (g *Graph) Waiting() int {
	some := 0
	for _, j := range g.jobs {
		if j.open && j.undone > 0 && !j.cancelled {
			some++
		}
	}
	return some
}

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
