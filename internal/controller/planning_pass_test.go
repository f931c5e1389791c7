package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestPlanningPassIsSliced guards against a look at the fleet that keeps reports and
// renewals waiting: it takes several steps, ends as it would in one, and a pass
// that is given up asks for nothing.
func TestPlanningPassIsSliced(t *testing.T) {
	whole := largePool(400)
	wants := whole.shardLeader.fleet.planScaleOut(whole.shardLeader.fleet.futureFreeCapacity(), nil)
	n := largePool(400)
	n.shardLeader.fleet.planningPass = newPlanningPass(n.shardLeader.fleet.scanFleet)
	slices := 1
	for ; !n.shardLeader.fleet.planningPass.run(1000); slices++ {
		if n.shardLeader.fleet.planningPass.used > 2000+len(n.shardLeader.machinesByID) {
			t.Fatalf("a slice of 1000 units takes %d", n.shardLeader.fleet.planningPass.used)
		}
		if slices > 10_000 {
			t.Fatal("the look does not end")
		}
	}
	if slices < 5 {
		t.Errorf("the look took %d slices, want it divided", slices)
	}
	if len(wants) == 0 || len(n.shardLeader.fleet.capacityRequests) != len(wants) {
		t.Errorf("divided it wants %v, as a whole %v", n.shardLeader.fleet.capacityRequests, wants)
	}
	n = largePool(400)
	n.shardLeader.fleet.planningPass = newPlanningPass(n.shardLeader.fleet.scanFleet)
	n.shardLeader.fleet.planningPass.run(1000)
	n.shardLeader.fleet.endPlanningPass()
	if n.shardLeader.fleet.capacityRequests != nil || n.shardLeader.fleet.planningPass != nil {
		t.Errorf("a pass that was given up wants %v", n.shardLeader.fleet.capacityRequests)
	}
}

// TestStartNeverSent: for want of a connection it surely did not leave, so it is
// no start on its way, and no epoch has to be raised for it.
func TestStartNeverSent(t *testing.T) {
	for _, left := range []bool{true, false} {
		n := largePool(1)
		m := n.shardLeader.machinesByID[0]
		j := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, n.now, 1, 4096)
		n.shardLeader.jobs[j.ID] = j
		j.nextFresh, j.tasks[0].attempt = 1, 1
		n.shardLeader.attachAttempt(j, 0, m)
		j.markChanged(0, n.now, true)
		j.segmentOf(0).persistedVersion = j.segmentOf(0).version
		n.shardLeader.dispatcher.dispatch(m)
		if len(n.requests.workerCallbacks) != 1 {
			t.Fatalf("%d orders are sent, want the start", len(n.requests.workerCallbacks))
		}
		for id := range n.requests.workerCallbacks {
			n.handleCommand(message.WorkerResponse{ID: id, NotSent: !left})
		}
		if on := m.unackedStartEpoch != 0; on != left {
			t.Errorf("left %v: a start counts as on its way: %v", left, on)
		}
	}
}
