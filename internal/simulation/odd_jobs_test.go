package simulation

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestUnusualJobs checks that unusual but valid jobs are accepted and done, each on machines that fit it, and
// that jobs that can never run are refused. It also checks that a resubmission or a cancellation of an ended
// job is answered with the state of the ended job, even if the resubmission is different or malformed.
func TestUnusualJobs(t *testing.T) {
	world := newTestWorld(11)
	const run = 8 * time.Second
	submit := func(id string, change func(*model.JobSpec)) {
		spec := model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 3, Need: model.Resources{CPU: 1, Memory: 1}, Image: "i", ImageGB: 1, ExpectedRunTime: run}
		change(&spec)
		world.Submit(spec, run, false)
	}
	possible := map[string]func(*model.JobSpec){
		"apart-same-place": func(spec *model.JobSpec) { spec.SpreadZones, spec.SameZone = true, true },
		"apart-in-a-zone":  func(spec *model.JobSpec) { spec.SpreadZones, spec.Zone = true, "a" },
		"apart-on-big":     func(spec *model.JobSpec) { spec.SpreadZones, spec.MachineTypes = true, []string{"big"} },
		"gang-of-one-apart": func(spec *model.JobSpec) {
			spec.Gang, spec.SpreadZones, spec.SameZone, spec.Tasks = true, true, true, 1
		},
		"gang-apart":    func(spec *model.JobSpec) { spec.Gang, spec.SpreadZones, spec.Tasks = true, true, 2 },
		"takes-nothing": func(spec *model.JobSpec) { spec.Need = model.Resources{} },
		"only-memory":   func(spec *model.JobSpec) { spec.Need = model.Resources{Memory: 16} },
		"no-image":      func(spec *model.JobSpec) { spec.Image, spec.ImageGB = "", 0 },
		"no-estimate":   func(spec *model.JobSpec) { spec.ExpectedRunTime = 0 },
		"due-at-once":   func(spec *model.JobSpec) { spec.Deadline = time.Millisecond },
		"saves-always": func(spec *model.JobSpec) {
			spec.CheckpointInterval, spec.CheckpointCost = 10*time.Millisecond, time.Millisecond
		},
		"a-whole-machine":  func(spec *model.JobSpec) { spec.Need, spec.Tasks = model.Resources{CPU: 32, Memory: 128}, 2 },
		"full-disk":        func(spec *model.JobSpec) { spec.ImageGB, spec.MachineTypes, spec.Tasks = 20, []string{"small"}, 1 },
		"over-small-disks": func(spec *model.JobSpec) { spec.ImageGB, spec.Tasks = 30, 2 },
		"some-unknown":     func(spec *model.JobSpec) { spec.MachineTypes = []string{"none", "small"} },
		"above-its-limit":  func(spec *model.JobSpec) { spec.Team, spec.Tasks, spec.Need.CPU = "lab", 15, 4 },
		"best-effort-due":  func(spec *model.JobSpec) { spec.Urgency, spec.Deadline = model.BestEffort, run },
	}
	for _, id := range sortedKeys(possible) {
		submit("job-"+id, possible[id])
	}
	impossible := map[string]func(*model.JobSpec){
		"no-zone":     func(spec *model.JobSpec) { spec.Zone = "c" },
		"no-flavour":  func(spec *model.JobSpec) { spec.MachineTypes = []string{"none"} },
		"no-flavours": func(spec *model.JobSpec) { spec.MachineTypes = []string{} },
		"not-there":   func(spec *model.JobSpec) { spec.MachineTypes, spec.Zone = []string{"big"}, "b" },
		"no-team":     func(spec *model.JobSpec) { spec.Team = "nobody" },
		"too-large":   func(spec *model.JobSpec) { spec.Need.CPU = 33 },
		"no-disk":     func(spec *model.JobSpec) { spec.ImageGB = 41 },
		"lab-too-big": func(spec *model.JobSpec) { spec.Team, spec.LongRunning, spec.Tasks = "lab", true, 41 },
		"gang-on-big": func(spec *model.JobSpec) {
			spec.Gang, spec.SpreadZones, spec.MachineTypes = true, true, []string{"big"}
		},
	}
	for _, id := range sortedKeys(impossible) {
		submit("job-"+id, impossible[id])
	}
	world.Run(8 * time.Minute)
	reportViolations(t, world.Violations)
	for id := range possible {
		if job := world.jobs["job-"+id]; job.lastState != "done" || job.refusedStatus != 0 {
			t.Errorf("%s: got state %q, refusal status %d, %d of %d tasks done, want the job accepted and done", id, job.lastState, job.refusedStatus, len(job.doneTasks), job.spec.Tasks)
		}
	}
	for id := range impossible {
		if job := world.jobs["job-"+id]; job.accepted || job.refusedStatus != 422 {
			t.Errorf("%s: got accepted %v, refusal status %d, want a refusal with 422", id, job.accepted, job.refusedStatus)
		}
	}
	for task, machines := range world.jobs["job-over-small-disks"].machines {
		for _, machine := range machines {
			if machine.MachineType != "big" {
				t.Errorf("task %d: got machine type %s, want big, as the image exceeds the disk of the other types", task, machine.MachineType)
			}
		}
	}
	// Resubmit and cancel an ended job, cancel a refused job, and submit a malformed new job.
	ended := world.jobs["job-apart-on-big"].spec
	ended.Zone, ended.Tasks = "c", 100
	for controller := range world.controllers {
		for _, test := range []struct {
			status     int
			state      string
			newCommand func(uint64) message.Command
		}{
			{200, "done", func(reply uint64) message.Command { return message.SubmitJob{Reply: reply, Spec: ended} }},
			{200, "done", func(reply uint64) message.Command {
				return message.SubmitJob{Reply: reply, Spec: model.JobSpec{ID: ended.ID}, MalformedReason: "field owner is missing or invalid"}
			}},
			{200, "done", func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: ended.ID} }},
			{404, "", func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: "job-no-zone"} }},
			{400, "", func(reply uint64) message.Command {
				return message.SubmitJob{Reply: reply, Spec: model.JobSpec{ID: "job-bad"}, MalformedReason: "field owner is missing or invalid"}
			}},
		} {
			world.userRequestTo(controller, test.newCommand, 5*time.Second, func(reply *message.UserReply) {
				if reply == nil || reply.Status != test.status || reply.State != test.state {
					t.Errorf("got answer %+v, want status %d and state %q", reply, test.status, test.state)
				}
			})
		}
	}
	world.Run(10 * time.Second)
}
