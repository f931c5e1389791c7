// Package pipeline maintains the graph of open jobs and their dependencies: which jobs wait,
// which jobs are cancelled because a dependency is, and which records have to be read to decide
// that. It has no clock and sends nothing. A graph depends only on the content of the records,
// not on the order in which they arrive. Done and cancelled are final states, so no change that
// the graph has reported is ever revoked.
package pipeline

import "slices"

// State is a job's state by its record.
type State uint8

const (
	// Unknown means that the job's record has to be read.
	Unknown State = iota
	// Missing means that the job was never accepted, so the record that names it is damaged.
	Missing
	// Open jobs have not ended.
	Open
	// Done jobs have completed all their tasks. This state is final.
	Done
	// Cancelled jobs were cancelled. This state is final.
	Cancelled
)

// Final reports whether the state never changes again.
func (state State) Final() bool { return state == Done || state == Cancelled }

// job is a job with dependencies or dependents.
type job struct {
	state State
	// isOpen says that Put has added the job with its dependencies, and Remove has not removed
	// it.
	isOpen       bool
	dependencies []string
	dependents   map[string]bool
	// pending counts the dependencies that are not done.
	pending int
	// cancelled says that the job or one of its direct or indirect dependencies is cancelled.
	cancelled bool
}

// Graph holds the open jobs that have dependencies, and these dependencies. It is not safe for
// concurrent use.
type Graph struct {
	jobs map[string]*job
	// lookupState returns the known state of a job that is added to the graph.
	lookupState func(id string) State
	// unknownCount counts the jobs in state Unknown.
	unknownCount int
}

// Change reports a job that was cancelled because a dependency is. If Cancelled is false, it
// reports a job that was released because all its dependencies are done.
type Change struct {
	ID        string
	Cancelled bool
}

// New returns an empty graph. lookupState returns the known state of a job that is added to the
// graph.
func New(lookupState func(id string) State) *Graph {
	return &Graph{jobs: map[string]*job{}, lookupState: lookupState}
}

// Put adds an open job with its dependencies. It returns the change of the job, if the job is
// cancelled or released at once, and the changes of the dependents that are cancelled with it. A
// job's dependencies never change, so a repeated call has no effect.
func (graph *Graph) Put(id string, dependencies []string) []Change {
	if len(dependencies) == 0 || graph.jobs[id] != nil && graph.jobs[id].isOpen {
		return nil
	}
	job := graph.ensure(id)
	job.isOpen, job.dependencies = true, dependencies
	if !job.state.Final() {
		graph.applyState(job, Open)
	}
	dependencyCancelled := false
	for _, name := range dependencies {
		dependency := graph.ensure(name)
		dependency.dependents[id] = true
		dependencyCancelled = dependencyCancelled || dependency.cancelled
		if dependency.state != Done {
			job.pending++
		}
	}
	switch {
	case job.state == Done || job.cancelled:
		return nil
	case dependencyCancelled:
		return append([]Change{{id, true}}, graph.cancelDependents(id)...)
	case job.pending == 0:
		return []Change{{ID: id}}
	}
	return nil
}

// ensure returns a job, and adds it if it is not in the graph.
func (graph *Graph) ensure(id string) *job {
	entry := graph.jobs[id]
	if entry == nil {
		entry = &job{state: graph.lookupState(id), dependents: map[string]bool{}}
		entry.cancelled = entry.state == Cancelled
		if entry.state == Unknown {
			graph.unknownCount++
		}
		graph.jobs[id] = entry
	}
	return entry
}

// applyState sets a job's state and keeps unknownCount up to date.
func (graph *Graph) applyState(job *job, state State) {
	if job.state == Unknown {
		graph.unknownCount--
	}
	if job.state = state; state == Unknown {
		graph.unknownCount++
	}
}

// SetState sets a job's state and returns the changes of its dependents. It ignores a job that
// is not in the graph.
func (graph *Graph) SetState(id string, state State) []Change {
	job := graph.jobs[id]
	if job == nil || job.state == state || job.state.Final() {
		return nil
	}
	graph.applyState(job, state)
	switch {
	case state == Cancelled && !job.cancelled:
		return graph.cancelDependents(id)
	case state != Done || job.cancelled:
		return nil
	}
	var changes []Change
	for _, dependent := range sortedIDs(job.dependents) {
		next := graph.jobs[dependent]
		if next.pending--; next.pending == 0 && !next.cancelled {
			changes = append(changes, Change{ID: dependent})
		}
	}
	return changes
}

// cancelDependents marks a job and all its direct and indirect dependents as cancelled, and
// returns the changes of the dependents.
func (graph *Graph) cancelDependents(id string) []Change {
	var changes []Change
	graph.jobs[id].cancelled = true
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		for _, dependent := range sortedIDs(graph.jobs[queue[0]].dependents) {
			next := graph.jobs[dependent]
			if next.cancelled || next.state == Done {
				continue
			}
			next.cancelled = true
			changes = append(changes, Change{dependent, true})
			queue = append(queue, dependent)
		}
	}
	return changes
}

// Remove removes a job from the open jobs, and drops its dependencies that no other job has.
// SetState sets how the job ended.
func (graph *Graph) Remove(id string) {
	job := graph.jobs[id]
	if job == nil {
		return
	}
	for _, name := range job.dependencies {
		if dependency := graph.jobs[name]; dependency != nil {
			delete(dependency.dependents, id)
			graph.forget(name)
		}
	}
	job.isOpen, job.dependencies, job.pending = false, nil, 0
	graph.forget(id)
}

// forget drops a job that is neither open nor a dependency.
func (graph *Graph) forget(id string) {
	job := graph.jobs[id]
	if job == nil || job.isOpen || len(job.dependents) > 0 {
		return
	}
	if job.state == Unknown {
		graph.unknownCount--
	}
	delete(graph.jobs, id)
}

// IsCancelled reports whether a job or one of its direct or indirect dependencies is cancelled.
func (graph *Graph) IsCancelled(id string) bool {
	job := graph.jobs[id]
	return job != nil && job.cancelled
}

// IsReleased reports whether all dependencies of a job are done and the job is not cancelled. It
// is true for a job without dependencies.
func (graph *Graph) IsReleased(id string) bool {
	job := graph.jobs[id]
	return job == nil || !job.isOpen || job.pending == 0 && !job.cancelled
}

// Dependents returns the open jobs that depend directly on a job, sorted.
func (graph *Graph) Dependents(id string) []string {
	if job := graph.jobs[id]; job != nil {
		return sortedIDs(job.dependents)
	}
	return nil
}

// PendingDependencies returns the dependencies of a job that are not done.
func (graph *Graph) PendingDependencies(id string) []string {
	job := graph.jobs[id]
	if job == nil {
		return nil
	}
	var pending []string
	for _, name := range job.dependencies {
		if graph.jobs[name].state != Done {
			pending = append(pending, name)
		}
	}
	return pending
}

// Unresolved returns the jobs whose records have to be read to decide whether a job is
// cancelled: its dependencies in state Unknown, direct and indirect, or only the direct ones if
// directOnly is set.
func (graph *Graph) Unresolved(id string, directOnly bool) []string {
	job := graph.jobs[id]
	if graph.unknownCount == 0 || job == nil || job.cancelled {
		return nil
	}
	var unresolved []string
	seen := map[string]bool{id: true}
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		for _, name := range graph.jobs[queue[0]].dependencies {
			if seen[name] {
				continue
			}
			seen[name] = true
			if graph.jobs[name].state == Unknown {
				unresolved = append(unresolved, name)
			} else if !directOnly {
				queue = append(queue, name)
			}
		}
	}
	return unresolved
}

// HasDependencies reports whether any open job has dependencies.
func (graph *Graph) HasDependencies() bool { return len(graph.jobs) > 0 }

// WaitingCount returns the number of open jobs that wait for dependencies.
func (graph *Graph) WaitingCount() int {
	count := 0
	for _, job := range graph.jobs {
		if job.isOpen && job.pending > 0 && !job.cancelled {
			count++
		}
	}
	return count
}

// sortedIDs returns the keys of a set, sorted.
func sortedIDs(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
