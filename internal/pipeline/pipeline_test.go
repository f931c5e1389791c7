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

// model holds all jobs ever accepted and their states: the graph in its simplest form.
type model struct {
	dependencies map[string][]string
	actual       map[string]State
	known        map[string]State
}

func (m *model) cancelled(id string) bool {
	if m.known[id] == Done {
		return false
	}
	return m.known[id] == Cancelled || m.known[id] == Open && slices.ContainsFunc(m.dependencies[id], m.cancelled)
}

func (m *model) released(id string) bool {
	return !m.cancelled(id) && !slices.ContainsFunc(m.dependencies[id], func(p string) bool { return m.known[p] != Done })
}

func (m *model) urgency(id string) int {
	u := len(id) + int(id[len(id)-1])%4
	for dependent, dependencies := range m.dependencies {
		if m.known[dependent] == Open && !m.cancelled(dependent) && slices.Contains(dependencies, id) {
			u = max(u, m.urgency(dependent))
		}
	}
	return u
}

func (m *model) remaining(id string) time.Duration {
	rest := time.Duration(0)
	for dependent, dependencies := range m.dependencies {
		if m.known[dependent] == Open && !m.cancelled(dependent) && slices.Contains(dependencies, id) {
			rest = max(rest, m.remaining(dependent))
		}
	}
	return rest + time.Second
}

// graphModel runs the same actions on a graph and on the model.
type graphModel struct {
	model
	graph *Graph
	// cancelledSeen and releasedSeen are the jobs that the graph has reported.
	cancelledSeen, releasedSeen map[string]bool
}

func (m *graphModel) note(changes []Change) {
	for _, change := range changes {
		if change.Cancelled {
			m.cancelledSeen[change.ID] = true
		} else {
			m.releasedSeen[change.ID] = true
		}
	}
}

func (m *graphModel) pick(t *rapid.T) string {
	return fmt.Sprint("job-", rapid.IntRange(0, max(0, len(m.dependencies)-1)).Draw(t, "job"))
}

func (m *graphModel) submit(t *rapid.T) {
	id := fmt.Sprint("job-", len(m.dependencies))
	var dependencies []string
	for range rapid.IntRange(0, min(3, len(m.dependencies))).Draw(t, "needs") {
		if name := m.pick(t); !slices.Contains(dependencies, name) {
			dependencies = append(dependencies, name)
		}
	}
	m.dependencies[id], m.actual[id], m.known[id] = dependencies, Open, Open
	m.note(m.graph.Put(id, dependencies))
}

// end ends a job. Whether the graph learns its state at once is drawn.
func (m *graphModel) end(t *rapid.T, id string, state State) {
	m.actual[id] = state
	seen := rapid.Bool().Draw(t, "seen")
	if seen || m.cancelled(id) {
		// What has been reported of a job's end stays known.
		m.known[id] = state
	} else {
		m.known[id] = Unknown
	}
	if !seen {
		state = Unknown
	}
	m.note(m.graph.SetState(id, state))
	m.graph.Remove(id)
}

// check compares the graph to the model.
func (m *graphModel) check(t *rapid.T) {
	paths, cycle := m.graph.CriticalPaths(func(id string) (Task, bool) {
		return Task{Urgency: len(id) + int(id[len(id)-1])%4, RunTime: time.Second}, m.known[id] == Open
	})
	if len(cycle) > 0 {
		t.Fatalf("got a cycle of %v, want none", cycle)
	}
	for id := range m.dependencies {
		if m.known[id] == Open {
			m.checkJob(t, id, paths)
		}
	}
	for id, j := range m.graph.jobs {
		if !j.isOpen && len(j.dependents) == 0 {
			t.Fatalf("%s is in the graph, though it is neither open nor a dependency", id)
		}
	}
}

func (m *graphModel) checkJob(t *rapid.T, id string, paths map[string]CriticalPath) {
	cancelled, released := m.cancelled(id), m.released(id)
	if len(m.dependencies[id]) > 0 {
		if got := m.graph.IsCancelled(id); got != cancelled || cancelled && !m.cancelledSeen[id] {
			t.Fatalf("%s: got cancelled %v, reported %v; want %v", id, got, m.cancelledSeen[id], cancelled)
		}
		if got := m.graph.IsReleased(id); got != released || released != m.releasedSeen[id] && !cancelled {
			t.Fatalf("%s: got released %v, reported %v; want %v", id, got, m.releasedSeen[id], released)
		}
		if !cancelled && len(m.graph.Unresolved(id, false)) == 0 && hasUnknownDependency(&m.model, id) {
			t.Fatalf("%s: got nothing unresolved, want its unknown dependencies", id)
		}
	}
	if path, ok := paths[id]; ok && (path.Urgency != m.urgency(id) || path.Remaining != m.remaining(id)) {
		t.Fatalf("%s: got %v, want urgency %d, %v remaining", id, path, m.urgency(id), m.remaining(id))
	}
}

// TestGraph: in whatever order jobs come, end and are cancelled, and whatever is known of
// them only later, the graph agrees with a search of all jobs.
func TestGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &graphModel{model: model{map[string][]string{}, map[string]State{}, map[string]State{}}, cancelledSeen: map[string]bool{}, releasedSeen: map[string]bool{}}
		m.graph = New(func(id string) State { return m.known[id] })
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"end": func(t *rapid.T) {
				if id := m.pick(t); m.actual[id] == Open && m.released(id) {
					m.end(t, id, Done)
				}
			},
			"cancel": func(t *rapid.T) {
				if id := m.pick(t); m.actual[id] == Open {
					m.end(t, id, Cancelled)
				}
			},
			"read": func(t *rapid.T) {
				if id := m.pick(t); m.known[id] == Unknown {
					m.known[id] = m.actual[id]
					m.note(m.graph.SetState(id, m.actual[id]))
				}
			},
			"": m.check,
		})
	})
}

func hasUnknownDependency(m *model, id string) bool {
	return slices.ContainsFunc(m.dependencies[id], func(p string) bool {
		return m.known[p] == Unknown || m.known[p] == Open && hasUnknownDependency(m, p)
	})
}

// TestCycle: jobs on a cycle wait for ever and are reported; other jobs go on, and
// cancellations take effect.
func TestCycle(t *testing.T) {
	g := New(func(string) State { return Unknown })
	for id, needs := range map[string][]string{"a": {"c"}, "b": {"a"}, "c": {"b"}, "d": {"x"}} {
		g.Put(id, needs)
	}
	if _, cycle := g.CriticalPaths(func(string) (Task, bool) { return Task{}, true }); len(cycle) == 0 {
		t.Error("got no cycle, want one")
	}
	if got := g.SetState("x", Done); !reflect.DeepEqual(got, []Change{{ID: "d"}}) {
		t.Errorf("dependents of x: got %v, want d released", got)
	}
	if got := g.SetState("b", Cancelled); len(got) != 2 || g.IsReleased("a") || !g.IsCancelled("a") {
		t.Errorf("dependents of b: got %v, want both cancelled", got)
	}
}

// TestLatestFinish: a job is due by its own time and those of all dependents, less their
// run times.
func TestLatestFinish(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	tasks := map[string]Task{
		"a": {RunTime: time.Second}, "b": {RunTime: 10 * time.Second, Due: now.Add(95 * time.Second)},
		"c": {RunTime: 20 * time.Second, Due: now.Add(100 * time.Second)}, "d": {RunTime: time.Second},
	}
	g := New(func(string) State { return Open })
	g.Put("b", []string{"a"})
	g.Put("c", []string{"b"})
	g.Put("d", []string{"a"})
	paths, _ := g.CriticalPaths(func(id string) (Task, bool) { x, ok := tasks[id]; return x, ok })
	for id, want := range map[string]CriticalPath{
		"a": {Due: now.Add(70 * time.Second), Remaining: 31 * time.Second},
		"b": {Due: now.Add(80 * time.Second), Remaining: 30 * time.Second},
	} {
		if paths[id] != want {
			t.Errorf("%s: got %v, want %v", id, paths[id], want)
		}
	}
}

// TestNames: any names can be encoded and decoded, and those of jobs submitted one after
// another take few bytes.
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
		t.Errorf("got %d bytes for 500 names, want 1100 at most", size)
	}
	for _, bad := range []string{":", "a:b:c", "job-:6:", "job-:6:zzzzzzzzzzzzzzzzz", "job-:0:1", "job-:1:z", ";", "job-:6:-1"} {
		if got, ok := DecodeNames(bad); ok {
			t.Errorf("%q: got %q, want it refused", bad, got)
		}
	}
}
