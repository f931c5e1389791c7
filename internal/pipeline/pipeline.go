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
	isOpen       bool
	dependencies []string
	dependents   map[string]bool
	// pending counts its needs that are not done.
	pending int
	// cancelled: it is, or one that it needs, directly or through others.
	cancelled bool
}

// Graph has the open jobs that need others, and what they need.
type Graph struct {
	jobs map[string]*job
	// lookupState tells what is known of a job that is named for the first time.
	lookupState func(id string) State
	// unknownCount counts the jobs of which nothing is known.
	unknownCount int
}

// Change is a job that has become cancelled by another's cancellation, or free to start.
type Change struct {
	ID        string
	Cancelled bool
}

// New is an empty graph; state tells what is known of a job that is named for the first
// time.
func New(lookupState func(id string) State) *Graph {
	return &Graph{jobs: map[string]*job{}, lookupState: lookupState}
}

// Put takes in an open job with what it needs, and returns what that changes: the job
// itself, if it is cancelled or free at once. What a job needs never changes, so that a
// repeat has no effect.
func (g *Graph) Put(id string, dependencies []string) []Change {
	if len(dependencies) == 0 || g.jobs[id] != nil && g.jobs[id].isOpen {
		return nil
	}
	j := g.ensure(id)
	j.isOpen, j.dependencies = true, dependencies
	if !j.state.Final() {
		g.applyState(j, Open)
	}
	lost := false
	for _, p := range dependencies {
		dependency := g.ensure(p)
		dependency.dependents[id] = true
		lost = lost || dependency.cancelled
		if dependency.state != Done {
			j.pending++
		}
	}
	switch {
	case j.state == Done || j.cancelled:
		return nil
	case lost:
		return append([]Change{{id, true}}, g.cancelDependents(id)...)
	case j.pending == 0:
		return []Change{{ID: id}}
	}
	return nil
}

// ensure is the job of that name, which enters the graph if it is new to it.
func (g *Graph) ensure(id string) *job {
	j := g.jobs[id]
	if j == nil {
		j = &job{state: g.lookupState(id), dependents: map[string]bool{}}
		j.cancelled = j.state == Cancelled
		if j.state == Unknown {
			g.unknownCount++
		}
		g.jobs[id] = j
	}
	return j
}

func (g *Graph) applyState(j *job, s State) {
	if j.state == Unknown {
		g.unknownCount--
	}
	if j.state = s; s == Unknown {
		g.unknownCount++
	}
}

// SetState takes in what the records say of a job, and returns what that changes for those
// that need it. A job that nobody needs is none of the graph's.
func (g *Graph) SetState(id string, s State) []Change {
	j := g.jobs[id]
	if j == nil || j.state == s || j.state.Final() {
		return nil
	}
	g.applyState(j, s)
	switch {
	case s == Cancelled && !j.cancelled:
		return g.cancelDependents(id)
	case s != Done || j.cancelled:
		return nil
	}
	var out []Change
	for _, dependent := range sortedIDs(j.dependents) {
		next := g.jobs[dependent]
		if next.pending--; next.pending == 0 && !next.cancelled {
			out = append(out, Change{ID: dependent})
		}
	}
	return out
}

// cancelDependents marks a job and all behind it, and returns these.
func (g *Graph) cancelDependents(id string) []Change {
	var out []Change
	g.jobs[id].cancelled = true
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		for _, dependent := range sortedIDs(g.jobs[queue[0]].dependents) {
			next := g.jobs[dependent]
			if next.cancelled || next.state == Done {
				continue
			}
			next.cancelled = true
			out = append(out, Change{dependent, true})
			queue = append(queue, dependent)
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
	for _, p := range j.dependencies {
		if before := g.jobs[p]; before != nil {
			delete(before.dependents, id)
			g.forget(p)
		}
	}
	j.isOpen, j.dependencies, j.pending = false, nil, 0
	g.forget(id)
}

// forget drops a job that is neither open nor needed.
func (g *Graph) forget(id string) {
	j := g.jobs[id]
	if j == nil || j.isOpen || len(j.dependents) > 0 {
		return
	}
	if j.state == Unknown {
		g.unknownCount--
	}
	delete(g.jobs, id)
}

// IsCancelled says whether a job is, by its own record or by that of one before it.
func (g *Graph) IsCancelled(id string) bool {
	j := g.jobs[id]
	return j != nil && j.cancelled
}

// IsReleased says whether all that a job needs is done.
func (g *Graph) IsReleased(id string) bool {
	j := g.jobs[id]
	return j == nil || !j.isOpen || j.pending == 0 && !j.cancelled
}

// Dependents are the open jobs that need a job.
func (g *Graph) Dependents(id string) []string {
	if j := g.jobs[id]; j != nil {
		return sortedIDs(j.dependents)
	}
	return nil
}

// PendingDependencies are those of a job's needs that are not done.
func (g *Graph) PendingDependencies(id string) []string {
	j := g.jobs[id]
	if j == nil {
		return nil
	}
	var out []string
	for _, p := range j.dependencies {
		if g.jobs[p].state != Done {
			out = append(out, p)
		}
	}
	return out
}

// Unresolved are the jobs of which nothing is known and without which it can't be told
// whether a job is cancelled. Near: only those that it needs itself.
func (g *Graph) Unresolved(id string, directOnly bool) []string {
	j := g.jobs[id]
	if g.unknownCount == 0 || j == nil || j.cancelled {
		return nil
	}
	var out []string
	seen := map[string]bool{id: true}
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		for _, p := range g.jobs[queue[0]].dependencies {
			if seen[p] {
				continue
			}
			seen[p] = true
			if g.jobs[p].state == Unknown {
				out = append(out, p)
			} else if !directOnly {
				queue = append(queue, p)
			}
		}
	}
	return out
}

// HasDependencies says whether any job needs another.
func (g *Graph) HasDependencies() bool { return len(g.jobs) > 0 }

// WaitingCount counts the open jobs that wait for others.
func (g *Graph) WaitingCount() int {
	some := 0
	for _, j := range g.jobs {
		if j.isOpen && j.pending > 0 && !j.cancelled {
			some++
		}
	}
	return some
}

func sortedIDs(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
