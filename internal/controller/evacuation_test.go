package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// donorController returns a shard leader beside which there is another shard. It has two hosts with
// a replica of half a host on each, and no pending tasks.
func donorController(t *testing.T) *Controller {
	t.Helper()
	controller := hostPool(t)
	controller.putShard(t, "b", "b", 2, false, "lab")
	delete(controller.shardLeader.jobs, "job-large")
	return controller
}

// setHostNeeds delivers a message of the leader that another shard needs a host, and if requested is
// true that this shard leader is to empty one for it.
func (controller *Controller) setHostNeeds(requested bool) {
	needs := []message.HostNeed{{MachineType: "host", Zone: "z", Need: model.Resources{CPU: 64, GPU: 8, Memory: 512}, Urgency: model.Normal}}
	if requested {
		controller.shardLeader.migration.receiveHostNeeds(needs, needs)
	} else {
		controller.shardLeader.migration.receiveHostNeeds(needs, nil)
	}
}

// TestHostIsEvacuated covers an evacuation from cost to surplus: the shard leader publishes its cost
// for another shard's need, moves replicas only when the leader requests it, and then counts the
// emptied host as surplus and no other host.
func TestHostIsEvacuated(t *testing.T) {
	controller := donorController(t)
	controller.setHostNeeds(false)
	controller.shardLeader.migration.tick()
	if costs := controller.shardLeader.migration.state.evacuation.costs; len(costs) != 1 || costs[0].MachineType != "host" || costs[0].Downtime > 10*time.Second {
		t.Fatalf("got costs %+v, want one cost for kind host, of at most 10 s", costs)
	}
	if len(controller.shardLeader.migration.state.tracker.Plans()) > 0 {
		t.Fatal("got an evacuation without a request, want none")
	}
	controller.setHostNeeds(true)
	request := controller.awaitMigrationWrite(t)
	if slices.ContainsFunc(request.Compares, func(compare message.Compare) bool {
		return strings.HasPrefix(compare.Key, record.OpenJobPrefix+evacuationPrefix)
	}) {
		t.Errorf("got compares %v, want no comparison for the evacuation, which has no job record", request.Compares)
	}
	controller.requests.storeCallbacks[request.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	step := controller.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	job := controller.shardLeader.jobs[step.Job]
	controller.shardLeader.endAttempt(job, 0, false)
	controller.shardLeader.scheduler.placeAll()
	if job.tasks[0].machine == nil || job.tasks[0].machine.id != step.To {
		t.Fatalf("got the replica on %v, want %s", job.tasks[0].machine, step.To)
	}
	controller.now = controller.now.Add(2 * surplusAfter)
	for _, machine := range controller.shardLeader.machinesByID {
		machine.lastHeard = controller.now
	}
	controller.setHostNeeds(true)
	if out := controller.shardLeader.fleet.surplusForOthers(controller.shardLeader.fleet.surplusMachines(controller.shardLeader.fleet.futureFreeCapacity(), func(int) bool { return true })); !slices.Equal(out, []string{step.From}) {
		t.Errorf("got surplus %v, want %s", out, step.From)
	}
}

// TestEvacuatedOnlyWhileRequested guards against replicas that are stopped for another shard which
// may not need the host any more: when the leader's request has expired before the record is
// durable, no replica is stopped and no capacity stays reserved.
func TestEvacuatedOnlyWhileRequested(t *testing.T) {
	controller := donorController(t)
	controller.setHostNeeds(true)
	request := controller.awaitMigrationWrite(t)
	controller.now = controller.now.Add(updateTTL + time.Second)
	for _, machine := range controller.shardLeader.machinesByID {
		machine.lastHeard = controller.now
	}
	controller.requests.storeCallbacks[request.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	for _, job := range controller.shardLeader.jobs {
		if job.tasks[0].stopReason != stopNone {
			t.Errorf("%s: got stop reason %v without a request, want none", job.ID, job.tasks[0].stopReason)
		}
	}
	if len(controller.shardLeader.migration.state.tracker.Holds()) > 0 {
		t.Errorf("got holds %v without a request, want none", controller.shardLeader.migration.state.tracker.Holds())
	}
}

// TestHostNeedsArePublished checks that a host need is published when migrations can't help a
// pending replica and the cloud refuses its machine type. No need is published while such a machine
// is being provisioned or if the cloud does not refuse the type.
func TestHostNeedsArePublished(t *testing.T) {
	controller := hostPool(t)
	controller.putShard(t, "b", "b", 2, false, "lab")
	controller.settings.Capabilities.MaxMigratingFraction = 0
	for _, job := range controller.shardLeader.jobs {
		// The replicas on the hosts are more urgent than the pending one and don't yield to it.
		job.Urgency = model.Urgent
	}
	controller.shardLeader.jobs["job-large"].Urgency = model.Normal
	publishedNeeds := func() int {
		for range 10 {
			controller.now = controller.now.Add(shardLeaderTickInterval)
			for _, machine := range controller.shardLeader.machinesByID {
				machine.lastHeard = controller.now
			}
			controller.shardLeader.migration.tick()
		}
		return len(controller.shardLeader.migration.state.evacuation.needs)
	}
	if count := publishedNeeds(); count != 1 {
		t.Errorf("got %d kinds needed, want 1", count)
	}
	controller.shardLeader.fleet.view.rentals["vm-000009"] = &rental{id: "vm-000009", machineKind: machineKind{"host", "z", false}, rentedAt: controller.now, status: "booting"}
	if count := publishedNeeds(); count != 0 {
		t.Errorf("got %d kinds needed while a machine is being provisioned, want 0", count)
	}
	delete(controller.shardLeader.fleet.view.rentals, "vm-000009")
	clear(controller.shardLeader.fleet.view.blockedUntil)
	controller.now = controller.now.Add(refusedWindow)
	if count := publishedNeeds(); count != 0 {
		t.Errorf("got %d kinds needed that the cloud does not refuse, want 0", count)
	}
}

// TestEvacuationTarget covers an evacuation for which a shard leader lacks capacity: it publishes a cost, requests a
// machine with just the capacity that the replicas on its host need, keeps its own hosts meanwhile, and gives up
// when it has received maxReceivedPerNeed machines.
func TestEvacuationTarget(t *testing.T) {
	controller := donorController(t)
	migrations := &controller.shardLeader.migration
	// The second host has no capacity for the replica of the first one.
	controller.shardLeader.machines["vm-000001"].reservedFor = "job-other"
	setNeeds := func(needs []message.HostNeed) {
		migrations.receiveHostNeeds(needs, needs)
		migrations.state.evacuation.costedAt = time.Time{}
		migrations.planEvacuation(migrations.state)
	}
	needs := []message.HostNeed{{MachineType: "host", Zone: "z", Need: model.Resources{CPU: 64, GPU: 8, Memory: 512}, Urgency: model.Normal}}
	setNeeds(needs)
	costs := migrations.state.evacuation.costs
	if len(costs) != 1 || costs[0].Downtime <= migration.MaxEvacuationDowntime {
		t.Fatalf("got costs %+v, want one above %v", costs, migration.MaxEvacuationDowntime)
	}
	request, ok := migrations.targetRequest()
	if want := (model.Resources{CPU: 32, GPU: 4, Memory: 256}); !ok || request.Need != want || len(request.Kinds) != 1 || request.Kinds[0].MachineType != "host" {
		t.Errorf("got request %+v (%v), want one for a host with %v free", request, ok, want)
	}
	if !migrations.mayNeedForEvacuation(controller.shardLeader.machines["vm-000000"]) {
		t.Error("got the host that is to be emptied offered to others, want it kept")
	}
	controller.now = controller.now.Add(evacuationHold)
	migrations.receiveHostNeeds(needs, needs)
	if migrations.mayNeedForEvacuation(controller.shardLeader.machines["vm-000000"]) {
		t.Errorf("got the host kept after %v, want it offered to jobs that wait", evacuationHold)
	}
	for _, machine := range controller.shardLeader.machinesByID {
		machine.ownedSince = controller.now
	}
	if request, ok := migrations.targetRequest(); ok {
		t.Errorf("got request %+v after %d machines were received for the need, want none", request, maxReceivedPerNeed)
	}
	setNeeds(nil)
	if request, ok := migrations.targetRequest(); ok {
		t.Errorf("got request %+v without a need, want none", request)
	}
}
