package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestPlanningPassIsSliced guards against a scan of the fleet that delays heartbeats and lease
// renewals. A pass must take several slices of bounded size, end with the same requests as an
// unsliced scan, and make no requests if it is aborted.
func TestPlanningPassIsSliced(t *testing.T) {
	whole := largePool(400)
	requests := whole.shardLeader.fleet.planScaleOut(whole.shardLeader.fleet.futureFreeCapacity(), nil)
	controller := largePool(400)
	controller.shardLeader.fleet.planningPass = newPlanningPass(controller.shardLeader.fleet.scanFleet)
	slices := 1
	for ; !controller.shardLeader.fleet.planningPass.run(1000); slices++ {
		if controller.shardLeader.fleet.planningPass.spentUnits > 2000+len(controller.shardLeader.machinesByID) {
			t.Fatalf("got %d units in a slice of 1000, want at most %d", controller.shardLeader.fleet.planningPass.spentUnits, 2000+len(controller.shardLeader.machinesByID))
		}
		if slices > 10_000 {
			t.Fatalf("scan has not ended after %d slices", slices)
		}
	}
	if slices < 5 {
		t.Errorf("got %d slices, want at least 5", slices)
	}
	if len(requests) == 0 || len(controller.shardLeader.fleet.capacityRequests) != len(requests) {
		t.Errorf("got capacity requests %v from a sliced scan, want those of an unsliced scan, %v", controller.shardLeader.fleet.capacityRequests, requests)
	}
	controller = largePool(400)
	controller.shardLeader.fleet.planningPass = newPlanningPass(controller.shardLeader.fleet.scanFleet)
	controller.shardLeader.fleet.planningPass.run(1000)
	controller.shardLeader.fleet.endPlanningPass()
	if controller.shardLeader.fleet.capacityRequests != nil || controller.shardLeader.fleet.planningPass != nil {
		t.Errorf("got capacity requests %v from an aborted pass, want none", controller.shardLeader.fleet.capacityRequests)
	}
}

// TestHeartbeatRequestNeverSent checks that a heartbeat is requested again if the request certainly was
// not sent, for lack of a connection, and not if it got no response: then the start waits for the next
// heartbeat. In neither case may a start be in flight.
func TestHeartbeatRequestNeverSent(t *testing.T) {
	for _, sent := range []bool{true, false} {
		controller := largePool(1)
		machine := controller.shardLeader.machinesByID[0]
		job := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, controller.now, 1, 4096)
		controller.shardLeader.jobs[job.ID] = job
		job.nextFresh, job.tasks[0].attempt = 1, 1
		controller.shardLeader.attachAttempt(job, 0, machine)
		job.markChanged(0, controller.now, true)
		job.segmentOf(0).persistedVersion = job.segmentOf(0).version
		controller.shardLeader.dispatcher.dispatch(machine)
		if len(controller.requests.workerCallbacks) != 1 {
			t.Fatalf("got %d requests to workers, want 1 for a heartbeat", len(controller.requests.workerCallbacks))
		}
		for id := range controller.requests.workerCallbacks {
			controller.handleCommand(message.WorkerResponse{ID: id, NotSent: !sent})
		}
		if job.tasks[0].startSent || !controller.shardLeader.dispatcher.noStartInFlight(machine) {
			t.Errorf("sent %v: got a start in flight, want none", sent)
		}
		controller.effects = nil
		controller.shardLeader.dispatcher.dispatchAll()
		if got := len(emittedEffects[message.WorkerRequest](controller)) > 0; got == sent {
			t.Errorf("sent %v: got a heartbeat requested again %v, want %v", sent, got, !sent)
		}
	}
}
