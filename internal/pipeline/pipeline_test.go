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

// model is all jobs ever accepted, and what became of them: the plain form of the graph.
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
	for after, needs := range m.dependencies {
		if m.known[after] == Open && !m.cancelled(after) && slices.Contains(needs, id) {
			u = max(u, m.urgency(after))
		}
	}
	return u
}

func (m *model) remaining(id string) time.Duration {
	rest := time.Duration(0)
	for after, needs := range m.dependencies {
		if m.known[after] == Open && !m.cancelled(after) && slices.Contains(needs, id) {
			rest = max(rest, m.remaining(after))
		}
	}
	return rest + time.Second
}

// TestGraph: whatever order jobs come, end and are cancelled in, and whatever is known of
// them only later, the graph says the same as a look through all jobs.
func TestGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model{map[string][]string{}, map[string]State{}, map[string]State{}}
		g := New(func(id string) State { return m.known[id] })
		cancelled, released := map[string]bool{}, map[string]bool{}
		told := func(cs []Change) {
			for _, c := range cs {
				if c.Cancelled {
					cancelled[c.ID] = true
				} else {
					released[c.ID] = true
				}
			}
		}
		pick := func(t *rapid.T) string {
			return fmt.Sprint("job-", rapid.IntRange(0, max(0, len(m.dependencies)-1)).Draw(t, "job"))
		}
		over := func(id string, s State) {
			m.actual[id] = s
			seen := rapid.Bool().Draw(t, "seen")
			switch {
			case seen || m.cancelled(id):
				// What has been told of a job's end stays known.
				m.known[id] = s
			default:
				m.known[id] = Unknown
			}
			if !seen {
				s = Unknown
			}
			told(g.SetState(id, s))
			g.Remove(id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := fmt.Sprint("job-", len(m.dependencies))
				var needs []string
				for range rapid.IntRange(0, min(3, len(m.dependencies))).Draw(t, "needs") {
					if p := pick(t); !slices.Contains(needs, p) {
						needs = append(needs, p)
					}
				}
				m.dependencies[id], m.actual[id], m.known[id] = needs, Open, Open
				told(g.Put(id, needs))
			},
			"end": func(t *rapid.T) {
				if id := pick(t); m.actual[id] == Open && m.released(id) {
					over(id, Done)
				}
			},
			"cancel": func(t *rapid.T) {
				if id := pick(t); m.actual[id] == Open {
					over(id, Cancelled)
				}
			},
			"read": func(t *rapid.T) {
				if id := pick(t); m.known[id] == Unknown {
					m.known[id] = m.actual[id]
					told(g.SetState(id, m.actual[id]))
				}
			},
			"": func(t *rapid.T) {
				paths, circle := g.CriticalPaths(func(id string) (Task, bool) {
					return Task{Urgency: len(id) + int(id[len(id)-1])%4, RunTime: time.Second}, m.known[id] == Open
				})
				if len(circle) > 0 {
					t.Fatalf("a circle of %v", circle)
				}
				for id := range m.dependencies {
					if m.known[id] != Open {
						continue
					}
					if len(m.dependencies[id]) > 0 && (g.IsCancelled(id) != m.cancelled(id) || m.cancelled(id) && !cancelled[id]) {
						t.Fatalf("%s: cancelled %v, told %v, want %v", id, g.IsCancelled(id), cancelled[id], m.cancelled(id))
					}
					if len(m.dependencies[id]) > 0 && (g.IsReleased(id) != m.released(id) || m.released(id) != released[id] && !m.cancelled(id)) {
						t.Fatalf("%s: released %v, told %v, want %v", id, g.IsReleased(id), released[id], m.released(id))
					}
					unread := g.Unresolved(id, false)
					if !m.cancelled(id) && len(unread) == 0 && len(m.dependencies[id]) > 0 && hasUnknownDependency(&m, id) {
						t.Fatalf("%s: nothing is to be read", id)
					}
					if p, some := paths[id]; some && (p.Urgency != m.urgency(id) || p.Remaining != m.remaining(id)) {
						t.Fatalf("%s: %v, want urgency %d, %v left", id, p, m.urgency(id), m.remaining(id))
					}
				}
				for id, j := range g.jobs {
					if !j.isOpen && len(j.dependents) == 0 {
						t.Fatalf("%s is kept for nobody", id)
					}
				}
			},
		})
	})
}

func hasUnknownDependency(m *model, id string) bool {
	return slices.ContainsFunc(m.dependencies[id], func(p string) bool {
		return m.known[p] == Unknown || m.known[p] == Open && hasUnknownDependency(m, p)
	})
}

// TestCycle: records that show a circle wait for ever, and are told of; what else there
// is goes on, and a cancellation comes through.
func TestCycle(t *testing.T) {
	g := New(func(string) State { return Unknown })
	for id, needs := range map[string][]string{"a": {"c"}, "b": {"a"}, "c": {"b"}, "d": {"x"}} {
		g.Put(id, needs)
	}
	if _, circle := g.CriticalPaths(func(string) (Task, bool) { return Task{}, true }); len(circle) == 0 {
		t.Error("no circle is told")
	}
	if got := g.SetState("x", Done); !reflect.DeepEqual(got, []Change{{ID: "d"}}) {
		t.Errorf("what needs x: %v", got)
	}
	if got := g.SetState("b", Cancelled); len(got) != 2 || g.IsReleased("a") || !g.IsCancelled("a") {
		t.Errorf("behind b: %v", got)
	}
}

// TestLatestFinish: a job has to be over when the earliest of its own time and those of all behind
// it asks for it, less what has to follow.
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
			t.Errorf("%s: %v, want %v", id, paths[id], want)
		}
	}
}

// TestNames: names come back from their short form, whatever they are, and those of jobs
// submitted one after another take little.
func TestNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`job-[0-9A-Za-z_-]{1,24}|job-0{0,3}[0-9]{1,6}`), 0, 40, rapid.ID[string]).Draw(t, "names")
		slices.Sort(names)
		if got, ok := DecodeNames(EncodeNames(names)); !ok || !slices.Equal(got, names) {
			t.Fatalf("%q comes back as %q", names, got)
		}
	})
	var many []string
	for i := range 500 {
		many = append(many, fmt.Sprintf("job-%06d", 1000+17*i))
	}
	if size := len(EncodeNames(many)); size > 1100 {
		t.Errorf("500 names take %d bytes", size)
	}
	for _, bad := range []string{":", "a:b:c", "job-:6:", "job-:6:zzzzzzzzzzzzzzzzz", "job-:0:1", "job-:1:z", ";", "job-:6:-1"} {
		if got, ok := DecodeNames(bad); ok {
			t.Errorf("%q is read as %q", bad, got)
		}
	}
}
