// Package pipeline keeps the graph of open jobs and their dependencies: which jobs wait,
// which are cancelled because a dependency is, and which records have to be read to
// decide that. It has no clock and sends nothing. A graph is a function of the records'
// content, in whatever order that arrives: done and cancelled are final, so no change
// that the graph has reported is ever revoked.
package pipeline

import "slices"

// State is a job's state by its record.
type State uint8

const (
	// Unknown means that the job's record has to be read.
	Unknown State = iota
	// Missing means that the job was never accepted, so that the record that names it is
	// damaged.
	Missing
	// Open jobs have not ended.
	Open
	// Done jobs have all tasks done. This state is final.
	Done
	// Cancelled jobs were cancelled. This state is final.
	Cancelled
)

// Final says that a state never changes again.
func (s State) Final() bool { return s == Done || s == Cancelled }

// job is a job with dependencies or dependents.
type job struct {
	state State
	// isOpen says that the job was Put, with its dependencies.
	isOpen       bool
	dependencies []string
	dependents   map[string]bool
	// pending counts the dependencies that are not done.
	pending int
	// cancelled says that the job or one of its direct or indirect dependencies is.
	cancelled bool
}

// Graph holds the open jobs that have dependencies, and these. It isn't safe for
// concurrent use.
type Graph struct {
	jobs map[string]*job
	// lookupState returns the known state of a job that is new to the graph.
	lookupState func(id string) State
	// unknownCount counts the jobs in state Unknown.
	unknownCount int
}

// Change reports a job that became cancelled by a dependency's cancellation, or else one
// that is released: all of its dependencies are done.
type Change struct {
	ID        string
	Cancelled bool
}

// New returns an empty graph. lookupState returns the known state of a job that is new to
// the graph.
func New(lookupState func(id string) State) *Graph {
	return &Graph{jobs: map[string]*job{}, lookupState: lookupState}
}

// Put enters an open job with its dependencies. It returns the job, if it is cancelled or
// released at once, and the dependents that are cancelled with it. Dependencies never
// change: a repeated call has no effect.
func (g *Graph) Put(id string, dependencies []string) []Change {
	if len(dependencies) == 0 || g.jobs[id] != nil && g.jobs[id].isOpen {
		return nil
	}
	j := g.ensure(id)
	j.isOpen, j.dependencies = true, dependencies
	if !j.state.Final() {
		g.applyState(j, Open)
	}
	dependencyCancelled := false
	for _, name := range dependencies {
		dependency := g.ensure(name)
		dependency.dependents[id] = true
		dependencyCancelled = dependencyCancelled || dependency.cancelled
		if dependency.state != Done {
			j.pending++
		}
	}
	switch {
	case j.state == Done || j.cancelled:
		return nil
	case dependencyCancelled:
		return append([]Change{{id, true}}, g.cancelDependents(id)...)
	case j.pending == 0:
		return []Change{{ID: id}}
	}
	return nil
}

// ensure returns a job, which it enters if it is new to the graph.
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

// applyState sets a job's state and counts unknown ones.
func (g *Graph) applyState(j *job, s State) {
	if j.state == Unknown {
		g.unknownCount--
	}
	if j.state = s; s == Unknown {
		g.unknownCount++
	}
}

// SetState sets a job's state and returns the changes of its dependents. A job that isn't
// in the graph is ignored.
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
	var changes []Change
	for _, dependent := range sortedIDs(j.dependents) {
		next := g.jobs[dependent]
		if next.pending--; next.pending == 0 && !next.cancelled {
			changes = append(changes, Change{ID: dependent})
		}
	}
	return changes
}

// cancelDependents marks a job and all of its direct and indirect dependents as cancelled,
// and returns the dependents.
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

// Remove removes a job from the open ones, and drops dependencies that no other job has.
// SetState reports how the job ended.
func (g *Graph) Remove(id string) {
	j := g.jobs[id]
	if j == nil {
		return
	}
	for _, name := range j.dependencies {
		if dependency := g.jobs[name]; dependency != nil {
			delete(dependency.dependents, id)
			g.forget(name)
		}
	}
	j.isOpen, j.dependencies, j.pending = false, nil, 0
	g.forget(id)
}

// forget drops a job that is neither open nor a dependency.
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

// IsCancelled says whether a job or one of its direct or indirect dependencies is
// cancelled.
func (g *Graph) IsCancelled(id string) bool {
	j := g.jobs[id]
	return j != nil && j.cancelled
}

// IsReleased says whether all dependencies of a job are done.
func (g *Graph) IsReleased(id string) bool {
	j := g.jobs[id]
	return j == nil || !j.isOpen || j.pending == 0 && !j.cancelled
}

// Dependents are the open jobs that depend directly on a job, sorted.
func (g *Graph) Dependents(id string) []string {
	if j := g.jobs[id]; j != nil {
		return sortedIDs(j.dependents)
	}
	return nil
}

// PendingDependencies are the dependencies of a job that are not done.
func (g *Graph) PendingDependencies(id string) []string {
	j := g.jobs[id]
	if j == nil {
		return nil
	}
	var pending []string
	for _, name := range j.dependencies {
		if g.jobs[name].state != Done {
			pending = append(pending, name)
		}
	}
	return pending
}

// Unresolved are the jobs whose records have to be read to decide whether a job is
// cancelled: its unknown dependencies, direct and indirect, or directOnly.
func (g *Graph) Unresolved(id string, directOnly bool) []string {
	j := g.jobs[id]
	if g.unknownCount == 0 || j == nil || j.cancelled {
		return nil
	}
	var unresolved []string
	seen := map[string]bool{id: true}
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		for _, name := range g.jobs[queue[0]].dependencies {
			if seen[name] {
				continue
			}
			seen[name] = true
			if g.jobs[name].state == Unknown {
				unresolved = append(unresolved, name)
			} else if !directOnly {
				queue = append(queue, name)
			}
		}
	}
	return unresolved
}

// HasDependencies says whether any job has dependencies.
func (g *Graph) HasDependencies() bool { return len(g.jobs) > 0 }

// WaitingCount is the number of open jobs that wait for dependencies.
func (g *Graph) WaitingCount() int {
	count := 0
	for _, j := range g.jobs {
		if j.isOpen && j.pending > 0 && !j.cancelled {
			count++
		}
	}
	return count
}

func sortedIDs(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
