package simulation

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestUnusualJobs checks that unusual but possible jobs are accepted and end, each where it may run; that jobs
// which can never run are refused; and that a job that has ended is answered with its state, whatever its
// resubmission says.
func TestUnusualJobs(t *testing.T) {
	w := newTestWorld(11)
	const run = 8 * time.Second
	submit := func(id string, change func(*model.JobSpec)) {
		s := model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 3, Need: model.Resources{CPU: 1, Memory: 1}, Image: "i", ImageGB: 1, ExpectedRunTime: run}
		change(&s)
		w.Submit(s, run, false)
	}
	possible := map[string]func(*model.JobSpec){
		"apart-same-place":  func(s *model.JobSpec) { s.SpreadZones, s.SameZone = true, true },
		"apart-in-a-zone":   func(s *model.JobSpec) { s.SpreadZones, s.Zone = true, "a" },
		"apart-on-big":      func(s *model.JobSpec) { s.SpreadZones, s.MachineTypes = true, []string{"big"} },
		"gang-of-one-apart": func(s *model.JobSpec) { s.Gang, s.SpreadZones, s.SameZone, s.Tasks = true, true, true, 1 },
		"gang-apart":        func(s *model.JobSpec) { s.Gang, s.SpreadZones, s.Tasks = true, true, 2 },
		"takes-nothing":     func(s *model.JobSpec) { s.Need = model.Resources{} },
		"only-memory":       func(s *model.JobSpec) { s.Need = model.Resources{Memory: 16} },
		"no-image":          func(s *model.JobSpec) { s.Image, s.ImageGB = "", 0 },
		"no-estimate":       func(s *model.JobSpec) { s.ExpectedRunTime = 0 },
		"due-at-once":       func(s *model.JobSpec) { s.Deadline = time.Millisecond },
		"saves-always": func(s *model.JobSpec) {
			s.CheckpointInterval, s.CheckpointCost = 10*time.Millisecond, time.Millisecond
		},
		"a-whole-machine":  func(s *model.JobSpec) { s.Need, s.Tasks = model.Resources{CPU: 32, Memory: 128}, 2 },
		"full-disk":        func(s *model.JobSpec) { s.ImageGB, s.MachineTypes, s.Tasks = 20, []string{"small"}, 1 },
		"over-small-disks": func(s *model.JobSpec) { s.ImageGB, s.Tasks = 30, 2 },
		"some-unknown":     func(s *model.JobSpec) { s.MachineTypes = []string{"none", "small"} },
		"above-its-limit":  func(s *model.JobSpec) { s.Team, s.Tasks, s.Need.CPU = "lab", 15, 4 },
		"best-effort-due":  func(s *model.JobSpec) { s.Urgency, s.Deadline = model.BestEffort, run },
	}
	for _, id := range sortedKeys(possible) {
		submit("job-"+id, possible[id])
	}
	impossible := map[string]func(*model.JobSpec){
		"no-zone":     func(s *model.JobSpec) { s.Zone = "c" },
		"no-flavour":  func(s *model.JobSpec) { s.MachineTypes = []string{"none"} },
		"not-there":   func(s *model.JobSpec) { s.MachineTypes, s.Zone = []string{"big"}, "b" },
		"no-team":     func(s *model.JobSpec) { s.Team = "nobody" },
		"too-large":   func(s *model.JobSpec) { s.Need.CPU = 33 },
		"no-disk":     func(s *model.JobSpec) { s.ImageGB = 41 },
		"lab-too-big": func(s *model.JobSpec) { s.Team, s.LongRunning, s.Tasks = "lab", true, 41 },
		"gang-on-big": func(s *model.JobSpec) { s.Gang, s.SpreadZones, s.MachineTypes = true, true, []string{"big"} },
	}
	for _, id := range sortedKeys(impossible) {
		submit("job-"+id, impossible[id])
	}
	w.Run(8 * time.Minute)
	reportViolations(t, w.Violations)
	for id := range possible {
		if j := w.jobs["job-"+id]; j.lastState != "done" || j.refusedStatus != 0 {
			t.Errorf("%s: got state %q, refused with %d, %d of %d tasks done, want done", id, j.lastState, j.refusedStatus, len(j.doneTasks), j.spec.Tasks)
		}
	}
	for id := range impossible {
		if j := w.jobs["job-"+id]; j.accepted || j.refusedStatus != 422 {
			t.Errorf("%s: got accepted %v, refused with %d, want 422", id, j.accepted, j.refusedStatus)
		}
	}
	for i, j := range w.jobs["job-over-small-disks"].machines {
		for _, m := range j {
			if m.MachineType != "big" {
				t.Errorf("task %d: got machine type %s, whose disk is too small, want big", i, m.MachineType)
			}
		}
	}
	// Unusual resubmissions of what has ended, and of what was refused.
	ended := w.jobs["job-apart-on-big"].spec
	ended.Zone, ended.Tasks = "c", 100
	for to := range w.controllers {
		for _, c := range []struct {
			status     int
			state      string
			newCommand func(uint64) message.Command
		}{
			{200, "done", func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: ended} }},
			{200, "done", func(r uint64) message.Command {
				return message.SubmitJob{Reply: r, Spec: model.JobSpec{ID: ended.ID}, MalformedReason: "field owner is missing or invalid"}
			}},
			{200, "done", func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: ended.ID} }},
			{404, "", func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: "job-no-zone"} }},
			{400, "", func(r uint64) message.Command {
				return message.SubmitJob{Reply: r, Spec: model.JobSpec{ID: "job-bad"}, MalformedReason: "field owner is missing or invalid"}
			}},
		} {
			w.userRequestTo(to, c.newCommand, 5*time.Second, func(r *message.UserReply) {
				if r == nil || r.Status != c.status || r.State != c.state {
					t.Errorf("got %+v, want %d %s", r, c.status, c.state)
				}
			})
		}
	}
	w.Run(10 * time.Second)
}
