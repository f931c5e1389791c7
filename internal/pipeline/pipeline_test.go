package pipeline

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// referenceModel is a simple reference model of the graph: all jobs ever accepted with their
// dependencies, their actual states, and their states as far as the graph has been told.
type referenceModel struct {
	dependencies map[string][]string
	actual       map[string]State
	known        map[string]State
}

// cancelled reports whether a job or one of its dependencies is known to be cancelled.
func (reference *referenceModel) cancelled(id string) bool {
	if reference.known[id] == Done {
		return false
	}
	return reference.known[id] == Cancelled || reference.known[id] == Open && slices.ContainsFunc(reference.dependencies[id], reference.cancelled)
}

// released reports whether all dependencies of a job are known to be done.
func (reference *referenceModel) released(id string) bool {
	return !reference.cancelled(id) && !slices.ContainsFunc(reference.dependencies[id], func(name string) bool { return reference.known[name] != Done })
}

// urgency returns the highest urgency of a job and its open dependents.
func (reference *referenceModel) urgency(id string) int {
	urgency := len(id) + int(id[len(id)-1])%4
	for dependent, dependencies := range reference.dependencies {
		if reference.known[dependent] == Open && !reference.cancelled(dependent) && slices.Contains(dependencies, id) {
			urgency = max(urgency, reference.urgency(dependent))
		}
	}
	return urgency
}

// remaining returns the length of the longest path of open dependents, at one second a job.
func (reference *referenceModel) remaining(id string) time.Duration {
	remaining := time.Duration(0)
	for dependent, dependencies := range reference.dependencies {
		if reference.known[dependent] == Open && !reference.cancelled(dependent) && slices.Contains(dependencies, id) {
			remaining = max(remaining, reference.remaining(dependent))
		}
	}
	return remaining + time.Second
}

// graphChecker applies the same actions to a graph and to the model.
type graphChecker struct {
	referenceModel
	graph *Graph
	// cancelledSeen and releasedSeen hold the jobs that the graph has reported as cancelled and
	// released.
	cancelledSeen, releasedSeen map[string]bool
}

// note records the changes that the graph has reported.
func (checker *graphChecker) note(changes []Change) {
	for _, change := range changes {
		if change.Cancelled {
			checker.cancelledSeen[change.ID] = true
		} else {
			checker.releasedSeen[change.ID] = true
		}
	}
}

// pick draws one of the jobs accepted so far.
func (checker *graphChecker) pick(t *rapid.T) string {
	return fmt.Sprint("job-", rapid.IntRange(0, max(0, len(checker.dependencies)-1)).Draw(t, "job"))
}

// submit accepts a new job with up to three drawn dependencies.
func (checker *graphChecker) submit(t *rapid.T) {
	id := fmt.Sprint("job-", len(checker.dependencies))
	var dependencies []string
	for range rapid.IntRange(0, min(3, len(checker.dependencies))).Draw(t, "dependencies") {
		if name := checker.pick(t); !slices.Contains(dependencies, name) {
			dependencies = append(dependencies, name)
		}
	}
	checker.dependencies[id], checker.actual[id], checker.known[id] = dependencies, Open, Open
	checker.note(checker.graph.Put(id, dependencies))
}

// end ends a job. Whether the graph is told the state at once is drawn.
func (checker *graphChecker) end(t *rapid.T, id string, state State) {
	checker.actual[id] = state
	seen := rapid.Bool().Draw(t, "seen")
	if seen || checker.cancelled(id) {
		// A cancellation that the graph has already derived stays known.
		checker.known[id] = state
	} else {
		checker.known[id] = Unknown
	}
	if !seen {
		state = Unknown
	}
	checker.note(checker.graph.SetState(id, state))
	checker.graph.Remove(id)
}

// check compares the graph to the model.
func (checker *graphChecker) check(t *rapid.T) {
	paths, cycle := checker.graph.CriticalPaths(func(id string) (Task, bool) {
		return Task{Urgency: len(id) + int(id[len(id)-1])%4, RunTime: time.Second}, checker.known[id] == Open
	})
	if len(cycle) > 0 {
		t.Fatalf("CriticalPaths: got cycle %v, want none", cycle)
	}
	for id := range checker.dependencies {
		if checker.known[id] == Open {
			checker.checkJob(t, id, paths)
		}
	}
	for id, job := range checker.graph.jobs {
		if !job.isOpen && len(job.dependents) == 0 {
			t.Fatalf("graph contains %s, which is neither open nor a dependency", id)
		}
	}
}

// checkJob compares one open job of the graph to the model.
func (checker *graphChecker) checkJob(t *rapid.T, id string, paths map[string]CriticalPath) {
	cancelled, released := checker.cancelled(id), checker.released(id)
	if len(checker.dependencies[id]) > 0 {
		if got := checker.graph.IsCancelled(id); got != cancelled || cancelled && !checker.cancelledSeen[id] {
			t.Fatalf("%s: got cancelled %v, reported %v; want %v", id, got, checker.cancelledSeen[id], cancelled)
		}
		if got := checker.graph.IsReleased(id); got != released || released != checker.releasedSeen[id] && !cancelled {
			t.Fatalf("%s: got released %v, reported %v; want %v", id, got, checker.releasedSeen[id], released)
		}
		if !cancelled && len(checker.graph.Unresolved(id, false)) == 0 && hasUnknownDependency(&checker.referenceModel, id) {
			t.Fatalf("Unresolved(%s): got no jobs, want its unknown dependencies", id)
		}
	}
	if path, ok := paths[id]; ok && (path.Urgency != checker.urgency(id) || path.Remaining != checker.remaining(id)) {
		t.Fatalf("%s: got %v, want urgency %d, %v remaining", id, path, checker.urgency(id), checker.remaining(id))
	}
}

// TestGraph guards against a graph whose state depends on the order of its updates: jobs are
// submitted, end and are cancelled in random order, and some states are read only later. After
// each step the graph must agree with a search of all jobs.
func TestGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checker := &graphChecker{referenceModel: referenceModel{map[string][]string{}, map[string]State{}, map[string]State{}}, cancelledSeen: map[string]bool{}, releasedSeen: map[string]bool{}}
		checker.graph = New(func(id string) State { return checker.known[id] })
		t.Repeat(map[string]func(*rapid.T){
			"submit": checker.submit,
			"end": func(t *rapid.T) {
				if id := checker.pick(t); checker.actual[id] == Open && checker.released(id) {
					checker.end(t, id, Done)
				}
			},
			"cancel": func(t *rapid.T) {
				if id := checker.pick(t); checker.actual[id] == Open {
					checker.end(t, id, Cancelled)
				}
			},
			"read": func(t *rapid.T) {
				if id := checker.pick(t); checker.known[id] == Unknown {
					checker.known[id] = checker.actual[id]
					checker.note(checker.graph.SetState(id, checker.actual[id]))
				}
			},
			"": checker.check,
		})
	})
}

// hasUnknownDependency reports whether a direct or indirect dependency of a job has an unknown
// state.
func hasUnknownDependency(reference *referenceModel, id string) bool {
	return slices.ContainsFunc(reference.dependencies[id], func(name string) bool {
		return reference.known[name] == Unknown || reference.known[name] == Open && hasUnknownDependency(reference, name)
	})
}

// TestCycle guards against endless loops and lost updates when damaged records form a cycle,
// whose jobs wait forever. The cycle must be reported, other jobs must still be released, and
// cancellations must still reach the jobs on the cycle.
func TestCycle(t *testing.T) {
	graph := New(func(string) State { return Unknown })
	for id, dependencies := range map[string][]string{"a": {"c"}, "b": {"a"}, "c": {"b"}, "d": {"x"}} {
		graph.Put(id, dependencies)
	}
	if _, cycle := graph.CriticalPaths(func(string) (Task, bool) { return Task{}, true }); len(cycle) == 0 {
		t.Error("CriticalPaths: got no cycle, want a cycle among a, b and c")
	}
	if got := graph.SetState("x", Done); !reflect.DeepEqual(got, []Change{{ID: "d"}}) {
		t.Errorf("dependents of x: got %v, want d released", got)
	}
	if got := graph.SetState("b", Cancelled); len(got) != 2 || graph.IsReleased("a") || !graph.IsCancelled("a") {
		t.Errorf("dependents of b: got %v, want both cancelled", got)
	}
}

// TestLatestFinish guards against a due time that ignores a dependent: a job is due by the
// earliest of its own deadline and those of all its dependents, less the run times on the path
// to them.
func TestLatestFinish(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	tasks := map[string]Task{
		"a": {RunTime: time.Second}, "b": {RunTime: 10 * time.Second, Due: now.Add(95 * time.Second)},
		"c": {RunTime: 20 * time.Second, Due: now.Add(100 * time.Second)}, "d": {RunTime: time.Second},
	}
	graph := New(func(string) State { return Open })
	graph.Put("b", []string{"a"})
	graph.Put("c", []string{"b"})
	graph.Put("d", []string{"a"})
	paths, _ := graph.CriticalPaths(func(id string) (Task, bool) { task, ok := tasks[id]; return task, ok })
	for id, want := range map[string]CriticalPath{
		"a": {Due: now.Add(70 * time.Second), Remaining: 31 * time.Second},
		"b": {Due: now.Add(80 * time.Second), Remaining: 30 * time.Second},
	} {
		if paths[id] != want {
			t.Errorf("%s: got %v, want %v", id, paths[id], want)
		}
	}
}

// TestNames guards against names that change when they are encoded and decoded, against
// encodings that outgrow a record, and against invalid strings that are decoded. Names of jobs
// that are submitted one after another must take few bytes.
func TestNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`job-[0-9A-Za-z_-]{1,24}|job-0{0,3}[0-9]{1,6}`), 0, 40, rapid.ID[string]).Draw(t, "names")
		slices.Sort(names)
		if got, ok := DecodeNames(EncodeNames(names)); !ok || !slices.Equal(got, names) {
			t.Fatalf("got %q, %v; want %q", got, ok, names)
		}
	})
	var many []string
	for i := range 500 {
		many = append(many, fmt.Sprintf("job-%06d", 1000+17*i))
	}
	if size := len(EncodeNames(many)); size > 1100 {
		t.Errorf("EncodeNames of 500 names: got %d bytes, want at most 1100", size)
	}
	for _, invalid := range []string{":", "a:b:c", "job-:6:", "job-:6:zzzzzzzzzzzzzzzzz", "job-:0:1", "job-:1:z", ";", "job-:6:-1"} {
		if got, ok := DecodeNames(invalid); ok {
			t.Errorf("DecodeNames(%q): got %q, want an invalid string", invalid, got)
		}
	}
}
