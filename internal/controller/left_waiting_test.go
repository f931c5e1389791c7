package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// waitingPool is a shard leader with one rack, which a long job fills but for two CPUs, and a job
// that has waited for a while with tasks of eight.
func waitingPool(waited time.Duration) (*Controller, *job) {
	c := largePool(0)
	c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine("vm-000000"), c.poolHeartbeat(0), true)
	long := newJob(model.JobSpec{ID: "job-long", Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 3, AllowSpot: true,
		Need: model.Resources{CPU: 10, Memory: 4}, ExpectedRunTime: time.Hour}, c.now, 1, 4096)
	c.shardLeader.jobs[long.ID] = long
	c.shardLeader.scheduler.placeAll()
	j := newJob(model.JobSpec{ID: "job-wait", Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2, AllowSpot: true,
		Need: model.Resources{CPU: 8, Memory: 4}, ExpectedRunTime: time.Minute}, c.now.Add(-waited), 1, 4096)
	c.shardLeader.jobs[j.ID] = j
	c.shardLeader.scheduler.placeAll()
	return c, j
}

// TestWaitReasons: why nothing of a job is placed that is left waiting.
func TestWaitReasons(t *testing.T) {
	for _, tc := range []struct {
		name   string
		waited time.Duration
		change func(*Controller, *job)
		want   waitReason
	}{
		{"no wait worth a word", leftWaitingAfter - time.Second, nil, ""},
		{"capacity", leftWaitingAfter + time.Second, nil, waitsForCapacity},
		{"machine coming", leftWaitingAfter + time.Second, (*Controller).expectRack, waitsForMachine},
		{"machine coming for too long", maxWaitForSoon, (*Controller).expectRack, waitsForCapacity},
		{"task about to end", leftWaitingAfter + time.Second, func(c *Controller, _ *job) {
			c.shardLeader.jobs["job-long"].ExpectedRunTime = capacitySoon - time.Second
		}, waitsForTaskEnd},
		{"team at its limit", leftWaitingAfter + time.Second, func(c *Controller, _ *job) {
			c.settings.Teams[0].QuotaLimit.CPU = 30
		}, waitsForQuotaLimit},
		{"gang", leftWaitingAfter + time.Second, func(_ *Controller, j *job) { j.Gang = true }, waitsForGang},
		{"free capacity here", leftWaitingAfter + time.Second, func(_ *Controller, j *job) { j.Need.CPU = 1 }, waitsForTurn},
		{"free capacity only on the machine that it avoids", leftWaitingAfter + time.Second, func(_ *Controller, j *job) {
			j.Need.CPU, j.nextFresh, j.requeued = 1, 2, []int{0, 1}
			j.tasks[0].avoidMachine, j.tasks[1].avoidMachine = "vm-000000", "vm-000000"
			j.waitingSince = j.submittedAt
		}, waitsForCapacity},
		{"fails on every machine", leftWaitingAfter + time.Second, func(c *Controller, j *job) {
			for i := range 20 {
				c.shardLeader.faultAttribution.TaskFailed(j.ID, i%2, string(rune('a'+i)))
			}
		}, waitsForRetry},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, j := waitingPool(tc.waited)
			if tc.change != nil {
				tc.change(c, j)
			}
			var got waitReason
			for _, w := range c.shardLeader.scheduler.jobsLeftWaiting() {
				if w.job == j {
					got = c.shardLeader.scheduler.newWaitDiagnosis().reason(w)
				}
			}
			if got != tc.want {
				t.Errorf("got reason %q, want %q", got, tc.want)
			}
		})
	}
}

// expectRack has a rack on its way that should be ready soon.
func (c *Controller) expectRack(*job) {
	c.shardLeader.fleet.view.rentals["vm-000008"] = &rental{id: "vm-000008", machineKind: machineKind{"rack", "z", true}, rentedAt: c.now.Add(-10 * time.Second), status: "booting"}
}

// TestWaitOfNewOwner: a job of which nothing was placed has waited since it was ready, whoever
// owned it, and one of which tasks were placed since the last of them.
func TestWaitOfNewOwner(t *testing.T) {
	c, j := waitingPool(leftWaitingAfter + time.Minute)
	j.waitingSince = c.now
	if got := c.shardLeader.scheduler.unservedFor(j); got != leftWaitingAfter+time.Minute {
		t.Errorf("got a wait of %v since the owner changed, want %v", got, leftWaitingAfter+time.Minute)
	}
	j.groups[1] = &group{startedAt: c.now.Add(-time.Second)}
	if got := c.shardLeader.scheduler.unservedFor(j); got != time.Second {
		t.Errorf("got a wait of %v after a start, want 1s", got)
	}
}
