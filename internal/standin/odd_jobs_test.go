package standin

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// TestOddJobs: jobs that are odd but possible are accepted and end, each where it may be;
// what can never run is refused; and a job that is over is answered with its state,
// whatever its repeat says.
func TestOddJobs(t *testing.T) {
	w := newTestWorld(11)
	const run = 8 * time.Second
	submit := func(id string, change func(*core.Spec)) {
		s := core.Spec{ID: id, Workload: "batch", Team: "ops", Urgency: core.Normal, Tasks: 3, Need: core.Resources{CPU: 1, Memory: 1}, Image: "i", ImageGB: 1, Expected: run}
		change(&s)
		w.Submit(s, run, false)
	}
	possible := map[string]func(*core.Spec){
		"apart-same-place":  func(s *core.Spec) { s.Apart, s.SamePlace = true, true },
		"apart-in-a-zone":   func(s *core.Spec) { s.Apart, s.Zone = true, "a" },
		"apart-on-big":      func(s *core.Spec) { s.Apart, s.Flavours = true, []string{"big"} },
		"gang-of-one-apart": func(s *core.Spec) { s.Gang, s.Apart, s.SamePlace, s.Tasks = true, true, true, 1 },
		"gang-apart":        func(s *core.Spec) { s.Gang, s.Apart, s.Tasks = true, true, 2 },
		"takes-nothing":     func(s *core.Spec) { s.Need = core.Resources{} },
		"only-memory":       func(s *core.Spec) { s.Need = core.Resources{Memory: 16} },
		"no-image":          func(s *core.Spec) { s.Image, s.ImageGB = "", 0 },
		"no-estimate":       func(s *core.Spec) { s.Expected = 0 },
		"due-at-once":       func(s *core.Spec) { s.Due = time.Millisecond },
		"saves-always":      func(s *core.Spec) { s.SaveEvery, s.SaveCost = 10*time.Millisecond, time.Millisecond },
		"a-whole-machine":   func(s *core.Spec) { s.Need, s.Tasks = core.Resources{CPU: 32, Memory: 128}, 2 },
		"full-disk":         func(s *core.Spec) { s.ImageGB, s.Flavours, s.Tasks = 20, []string{"small"}, 1 },
		"over-small-disks":  func(s *core.Spec) { s.ImageGB, s.Tasks = 30, 2 },
		"some-unknown":      func(s *core.Spec) { s.Flavours = []string{"none", "small"} },
		"above-its-limit":   func(s *core.Spec) { s.Team, s.Tasks, s.Need.CPU = "lab", 15, 4 },
		"best-effort-due":   func(s *core.Spec) { s.Urgency, s.Due = core.BestEffort, run },
	}
	for _, id := range sorted(possible) {
		submit("job-"+id, possible[id])
	}
	impossible := map[string]func(*core.Spec){
		"no-zone":     func(s *core.Spec) { s.Zone = "c" },
		"no-flavour":  func(s *core.Spec) { s.Flavours = []string{"none"} },
		"not-there":   func(s *core.Spec) { s.Flavours, s.Zone = []string{"big"}, "b" },
		"no-team":     func(s *core.Spec) { s.Team = "nobody" },
		"too-large":   func(s *core.Spec) { s.Need.CPU = 33 },
		"no-disk":     func(s *core.Spec) { s.ImageGB = 41 },
		"lab-too-big": func(s *core.Spec) { s.Team, s.Standing, s.Tasks = "lab", true, 41 },
		"gang-on-big": func(s *core.Spec) { s.Gang, s.Apart, s.Flavours = true, true, []string{"big"} },
	}
	for _, id := range sorted(impossible) {
		submit("job-"+id, impossible[id])
	}
	w.Run(8 * time.Minute)
	for _, b := range w.Broken {
		t.Error(b)
	}
	for id := range possible {
		if j := w.jobs["job-"+id]; j.told != "done" || j.Refused != 0 {
			t.Errorf("%s is %q, refused %d, %d of %d done", id, j.told, j.Refused, len(j.results), j.spec.Tasks)
		}
	}
	for id := range impossible {
		if j := w.jobs["job-"+id]; j.accepted || j.Refused != 422 {
			t.Errorf("%s: accepted %v, refused %d", id, j.accepted, j.Refused)
		}
	}
	for i, j := range w.jobs["job-over-small-disks"].places {
		for _, m := range j {
			if m.Flavour != "big" {
				t.Errorf("task %d was on a %s, whose disk is too small", i, m.Flavour)
			}
		}
	}
	// Odd repeats of what is over, and of what was refused.
	over := w.jobs["job-apart-on-big"].spec
	over.Zone, over.Tasks = "c", 100
	for to := range w.nodes {
		for _, c := range []struct {
			status int
			state  string
			mk     func(uint64) core.Command
		}{
			{200, "done", func(r uint64) core.Command { return core.Submit{Reply: r, Spec: over} }},
			{200, "done", func(r uint64) core.Command {
				return core.Submit{Reply: r, Spec: core.Spec{ID: over.ID}, Bad: "field owner is missing or invalid"}
			}},
			{200, "done", func(r uint64) core.Command { return core.Abort{Reply: r, ID: over.ID} }},
			{404, "", func(r uint64) core.Command { return core.Abort{Reply: r, ID: "job-no-zone"} }},
			{400, "", func(r uint64) core.Command {
				return core.Submit{Reply: r, Spec: core.Spec{ID: "job-bad"}, Bad: "field owner is missing or invalid"}
			}},
		} {
			w.userCallTo(to, c.mk, 5*time.Second, func(r *core.UserReply) {
				if r == nil || r.Status != c.status || r.State != c.state {
					t.Errorf("%+v; want %d %s", r, c.status, c.state)
				}
			})
		}
	}
	w.Run(10 * time.Second)
}
