package simulation

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// The tests of this file submit jobs without GPUs that fit on no machine but a host with models, which is kept
// free for replicas.

// newBusyHostWorld returns a world with one host, half of whose GPUs are in use. If largeWaits is set, a model
// that needs the whole host waits for it and never starts.
func newBusyHostWorld(bigMachines int, largeWaits bool) *World {
	world := newHostWorld(1, 1, 1, bigMachines)
	world.Submit(modelJobSpec("job-000001", 0, 2, 2), 0, false)
	world.Run(time.Minute)
	if largeWaits {
		world.Submit(modelJobSpec("job-000002", 0, 1, gpusPerMachine), 0, false)
		world.Run(20 * time.Second)
	}
	return world
}

// urgentJob returns a job of two tasks without GPUs that run for 20 s and have a deadline.
func urgentJob(cpu float64) (model.JobSpec, time.Duration) {
	run := 20 * time.Second
	job := batchJob("job-000003", teamName(0), 2, cpu, run)
	job.Urgency, job.Deadline = model.Urgent, 90*time.Second
	return job, run
}

// TestOnDemandMachineBesideScarceHost submits a job whose tasks fit beside the replicas of a host on which a
// waiting model depends. The job allows no spot machines. It guards against a job that is late because planning
// counts on the host, from which placement keeps the job away, and so rents no on-demand machine.
func TestOnDemandMachineBesideScarceHost(t *testing.T) {
	world := newBusyHostWorld(2, true)
	job, run := urgentJob(4)
	world.Submit(job, run, false)
	world.Run(job.Deadline)
	if got := world.jobs[job.ID].lastState; got != "done" {
		t.Errorf("got state %q at the deadline, want done", got)
	}
	checkNoViolations(t, world)
}

// TestWaitBesideHost submits a job while the cloud has no further machine. It guards against a job that waits
// beside a host with free capacity for longer than the operators allow.
func TestWaitBesideHost(t *testing.T) {
	for _, tc := range []struct {
		name       string
		cpu        float64
		largeWaits bool
	}{
		{"capacity that no replica could use, while a large model waits", 4, true},
		{"capacity that replicas could use", 20, false},
		{"capacity that replicas could use, while a large model waits", 20, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			world := newBusyHostWorld(0, tc.largeWaits)
			job, run := urgentJob(tc.cpu)
			world.Submit(job, run, false)
			world.Run(2 * maxWaiting)
			checkNoViolations(t, world)
			if got := world.jobs[job.ID].lastState; got != "done" {
				t.Errorf("got state %q, want done", got)
			}
		})
	}
}
