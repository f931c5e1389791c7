package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// donorController is a shard leader beside another, with two hosts that have half a host's
// replica each, and nothing that waits.
func donorController(t *testing.T) *Controller {
	t.Helper()
	n := hostPool(t)
	n.putShard(t, "b", "b", 2, false, "lab")
	delete(n.shardLeader.jobs, "job-large")
	return n
}

// setHostNeeds has the leader say that another shard needs a host, and request one or not.
func (c *Controller) setHostNeeds(requested bool) {
	needs := []message.HostNeed{{MachineType: "host", Zone: "z", Need: model.Resources{CPU: 64, GPU: 8, Memory: 512}, Urgency: model.Normal}}
	if requested {
		c.shardLeader.migration.receiveHostNeeds(needs, needs)
	} else {
		c.shardLeader.migration.receiveHostNeeds(needs, nil)
	}
}

// TestHostIsEvacuated: on request a shard leader says what the evacuation of a host would
// cost, moves its replicas away, and has that host as surplus when it is empty, and no other.
func TestHostIsEvacuated(t *testing.T) {
	n := donorController(t)
	n.setHostNeeds(false)
	n.shardLeader.migration.tick()
	if cs := n.shardLeader.migration.state.evacuation.costs; len(cs) != 1 || cs[0].MachineType != "host" || cs[0].Downtime > 10*time.Second {
		t.Fatalf("got costs %+v, want those of one host of at most 10 s", cs)
	}
	if len(n.shardLeader.migration.state.tracker.Plans()) > 0 {
		t.Fatal("got an evacuation without a request, want none")
	}
	n.setHostNeeds(true)
	op := n.awaitMigrationWrite(t)
	if slices.ContainsFunc(op.Compares, func(compare message.Compare) bool {
		return strings.HasPrefix(compare.Key, record.OpenJobPrefix+evacuationPrefix)
	}) {
		t.Errorf("got compares %v, want none of the evacuation, which is no job", op.Compares)
	}
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	s := n.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	j := n.shardLeader.jobs[s.Job]
	n.shardLeader.endAttempt(j, 0, false)
	n.shardLeader.scheduler.placeAll()
	if j.tasks[0].machine == nil || j.tasks[0].machine.id != s.To {
		t.Fatalf("got the replica on %v, want %s", j.tasks[0].machine, s.To)
	}
	n.now = n.now.Add(2 * surplusAfter)
	for _, m := range n.shardLeader.machinesByID {
		m.lastHeard = n.now
	}
	n.setHostNeeds(true)
	if out := n.shardLeader.fleet.surplusForOthers(n.shardLeader.fleet.surplusMachines(n.shardLeader.fleet.futureFreeCapacity(), func(int) bool { return true })); !slices.Equal(out, []string{s.From}) {
		t.Errorf("got surplus %v, want %s", out, s.From)
	}
}

// TestEvacuatedOnlyWhileRequested: when the leader's request has expired, no replica is
// stopped for it.
func TestEvacuatedOnlyWhileRequested(t *testing.T) {
	n := donorController(t)
	n.setHostNeeds(true)
	op := n.awaitMigrationWrite(t)
	n.now = n.now.Add(updateTTL + time.Second)
	for _, m := range n.shardLeader.machinesByID {
		m.lastHeard = n.now
	}
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	for _, j := range n.shardLeader.jobs {
		if j.tasks[0].stopReason != stopNone {
			t.Errorf("%s: got stop reason %v without a request, want none", j.ID, j.tasks[0].stopReason)
		}
	}
	if len(n.shardLeader.migration.state.tracker.Holds()) > 0 {
		t.Errorf("got holds %v without a request, want none", n.shardLeader.migration.state.tracker.Holds())
	}
}

// TestHostNeedsArePublished: a need is published when a replica waits in vain and the cloud
// refuses its machine type; not while such a machine is coming, or the cloud still has it.
func TestHostNeedsArePublished(t *testing.T) {
	n := hostPool(t)
	n.putShard(t, "b", "b", 2, false, "lab")
	n.settings.Capabilities.MaxMigratingFraction = 0
	for _, j := range n.shardLeader.jobs {
		// None of them yields.
		j.Urgency = model.Urgent
	}
	n.shardLeader.jobs["job-large"].Urgency = model.Normal
	publishedNeeds := func() int {
		for range 10 {
			n.now = n.now.Add(shardLeaderTickInterval)
			for _, m := range n.shardLeader.machinesByID {
				m.lastHeard = n.now
			}
			n.shardLeader.migration.tick()
		}
		return len(n.shardLeader.migration.state.evacuation.needs)
	}
	if k := publishedNeeds(); k != 1 {
		t.Errorf("got %d kinds needed, want 1", k)
	}
	n.shardLeader.fleet.view.rentals["vm-000009"] = &rental{id: "vm-000009", machineKind: machineKind{"host", "z", false}, rentedAt: n.now, status: "booting"}
	if k := publishedNeeds(); k != 0 {
		t.Errorf("got %d kinds needed while a machine is coming, want 0", k)
	}
	delete(n.shardLeader.fleet.view.rentals, "vm-000009")
	clear(n.shardLeader.fleet.view.blockedUntil)
	n.now = n.now.Add(refusedWindow)
	if k := publishedNeeds(); k != 0 {
		t.Errorf("got %d kinds needed that the cloud still has, want 0", k)
	}
}
