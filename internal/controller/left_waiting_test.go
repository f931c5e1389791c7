package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// waitingPool returns a controller that leads a shard with one rack, and a job with tasks of eight
// CPUs that has waited for the given time. A long job fills the rack except for two CPUs.
func waitingPool(waited time.Duration) (*Controller, *job) {
	controller := largePool(0)
	controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.ensureMachine("vm-000000"), controller.poolHeartbeat(0), true)
	long := newJob(model.JobSpec{ID: "job-long", Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 3, AllowSpot: true,
		Need: model.Resources{CPU: 10, Memory: 4}, ExpectedRunTime: time.Hour}, controller.now, 1, 4096)
	controller.shardLeader.jobs[long.ID] = long
	controller.shardLeader.scheduler.placeAll()
	job := newJob(model.JobSpec{ID: "job-wait", Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2, AllowSpot: true,
		Need: model.Resources{CPU: 8, Memory: 4}, ExpectedRunTime: time.Minute}, controller.now.Add(-waited), 1, 4096)
	controller.shardLeader.jobs[job.ID] = job
	controller.shardLeader.scheduler.placeAll()
	return controller, job
}

// TestWaitReasons checks the reason that is reported for each cause of a wait. A wrong reason would
// mislead operators, and transfer requests that depend on it.
func TestWaitReasons(t *testing.T) {
	for _, tc := range []struct {
		name   string
		waited time.Duration
		change func(*Controller, *job)
		want   waitReason
	}{
		{"wait below the limit", leftWaitingAfter - time.Second, nil, ""},
		{"no free capacity", leftWaitingAfter + time.Second, nil, waitsForCapacity},
		{"machine coming", leftWaitingAfter + time.Second, (*Controller).expectRack, waitsForMachine},
		{"machine coming for too long", maxWaitForExpectedCapacity, (*Controller).expectRack, waitsForCapacity},
		{"task about to end", leftWaitingAfter + time.Second, func(controller *Controller, _ *job) {
			controller.shardLeader.jobs["job-long"].ExpectedRunTime = expectedCapacityHorizon - time.Second
		}, waitsForTaskEnd},
		{"team at its limit", leftWaitingAfter + time.Second, func(controller *Controller, _ *job) {
			controller.settings.Teams[0].QuotaLimit.CPU = 30
		}, waitsForQuotaLimit},
		{"gang", leftWaitingAfter + time.Second, func(_ *Controller, job *job) { job.Gang = true }, waitsForGang},
		{"free capacity here", leftWaitingAfter + time.Second, func(_ *Controller, job *job) { job.Need.CPU = 1 }, waitsForTurn},
		{"free capacity only on the avoided machine", leftWaitingAfter + time.Second, func(_ *Controller, job *job) {
			job.Need.CPU, job.nextFresh, job.requeued = 1, 2, []int{0, 1}
			job.tasks[0].avoidMachine, job.tasks[1].avoidMachine = "vm-000000", "vm-000000"
			job.waitingSince = job.submittedAt
		}, waitsForCapacity},
		{"fails on every machine", leftWaitingAfter + time.Second, func(controller *Controller, job *job) {
			for i := range 20 {
				controller.shardLeader.faultAttribution.TaskFailed(job.ID, i%2, string(rune('a'+i)))
			}
		}, waitsForRetry},
	} {
		t.Run(tc.name, func(t *testing.T) {
			controller, job := waitingPool(tc.waited)
			if tc.change != nil {
				tc.change(controller, job)
			}
			var got waitReason
			for _, waiting := range controller.shardLeader.scheduler.jobsLeftWaiting() {
				if waiting.job == job {
					got = controller.shardLeader.scheduler.newWaitDiagnosis().reason(waiting)
				}
			}
			if got != tc.want {
				t.Errorf("got reason %q, want %q", got, tc.want)
			}
		})
	}
}

// expectRack adds a rented rack that is still booting and should be ready soon.
func (controller *Controller) expectRack(*job) {
	controller.shardLeader.fleet.view.rentals["vm-000008"] = &rental{id: "vm-000008", machineKind: machineKind{"rack", "z", true}, rentedAt: controller.now.Add(-10 * time.Second), status: "booting"}
}

// TestWaitOfNewOwner checks that a wait survives a change of owner. A job without a placed task has
// waited since it was ready, whoever owned it. A job with placed tasks has waited since the last of
// them was placed.
func TestWaitOfNewOwner(t *testing.T) {
	controller, job := waitingPool(leftWaitingAfter + time.Minute)
	job.waitingSince = controller.now
	if got := controller.shardLeader.scheduler.waitSinceLastStart(job); got != leftWaitingAfter+time.Minute {
		t.Errorf("after a change of owner: got wait %v, want %v", got, leftWaitingAfter+time.Minute)
	}
	job.groups[1] = &group{startedAt: controller.now.Add(-time.Second)}
	if got := controller.shardLeader.scheduler.waitSinceLastStart(job); got != time.Second {
		t.Errorf("one second after a placement: got wait %v, want 1s", got)
	}
}
