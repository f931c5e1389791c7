package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestPlanningPassIsSliced guards against a scan of the fleet that delays heartbeats and lease
// renewals: it takes several steps, ends as it would in one, and a pass that is given up
// requests nothing.
func TestPlanningPassIsSliced(t *testing.T) {
	whole := largePool(400)
	requests := whole.shardLeader.fleet.planScaleOut(whole.shardLeader.fleet.futureFreeCapacity(), nil)
	c := largePool(400)
	c.shardLeader.fleet.planningPass = newPlanningPass(c.shardLeader.fleet.scanFleet)
	slices := 1
	for ; !c.shardLeader.fleet.planningPass.run(1000); slices++ {
		if c.shardLeader.fleet.planningPass.used > 2000+len(c.shardLeader.machinesByID) {
			t.Fatalf("got %d units in a slice of 1000, want at most %d", c.shardLeader.fleet.planningPass.used, 2000+len(c.shardLeader.machinesByID))
		}
		if slices > 10_000 {
			t.Fatalf("got no end of the scan in %d slices, want one", slices)
		}
	}
	if slices < 5 {
		t.Errorf("got %d slices, want at least 5", slices)
	}
	if len(requests) == 0 || len(c.shardLeader.fleet.capacityRequests) != len(requests) {
		t.Errorf("got capacity requests %v in slices, want those of one step, %v", c.shardLeader.fleet.capacityRequests, requests)
	}
	c = largePool(400)
	c.shardLeader.fleet.planningPass = newPlanningPass(c.shardLeader.fleet.scanFleet)
	c.shardLeader.fleet.planningPass.run(1000)
	c.shardLeader.fleet.endPlanningPass()
	if c.shardLeader.fleet.capacityRequests != nil || c.shardLeader.fleet.planningPass != nil {
		t.Errorf("got capacity requests %v of a pass that was given up, want none", c.shardLeader.fleet.capacityRequests)
	}
}

// TestStartNeverSent: a start that surely did not leave, for want of a connection, is not on
// its way, and needs no epoch bump.
func TestStartNeverSent(t *testing.T) {
	for _, sent := range []bool{true, false} {
		c := largePool(1)
		m := c.shardLeader.machinesByID[0]
		j := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, c.now, 1, 4096)
		c.shardLeader.jobs[j.ID] = j
		j.nextFresh, j.tasks[0].attempt = 1, 1
		c.shardLeader.attachAttempt(j, 0, m)
		j.markChanged(0, c.now, true)
		j.segmentOf(0).persistedVersion = j.segmentOf(0).version
		c.shardLeader.dispatcher.dispatch(m)
		if len(c.requests.workerCallbacks) != 1 {
			t.Fatalf("got %d requests to workers, want 1 with the start", len(c.requests.workerCallbacks))
		}
		for id := range c.requests.workerCallbacks {
			c.handleCommand(message.WorkerResponse{ID: id, NotSent: !sent})
		}
		if got := m.unackedStartEpoch != 0; got != sent {
			t.Errorf("sent %v: got a start on its way: %v, want %v", sent, got, sent)
		}
	}
}
