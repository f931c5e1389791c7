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
	c := hostPool(t)
	c.putShard(t, "b", "b", 2, false, "lab")
	delete(c.shardLeader.jobs, "job-large")
	return c
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
	c := donorController(t)
	c.setHostNeeds(false)
	c.shardLeader.migration.tick()
	if cs := c.shardLeader.migration.state.evacuation.costs; len(cs) != 1 || cs[0].MachineType != "host" || cs[0].Downtime > 10*time.Second {
		t.Fatalf("got costs %+v, want those of one host of at most 10 s", cs)
	}
	if len(c.shardLeader.migration.state.tracker.Plans()) > 0 {
		t.Fatal("got an evacuation without a request, want none")
	}
	c.setHostNeeds(true)
	op := c.awaitMigrationWrite(t)
	if slices.ContainsFunc(op.Compares, func(compare message.Compare) bool {
		return strings.HasPrefix(compare.Key, record.OpenJobPrefix+evacuationPrefix)
	}) {
		t.Errorf("got compares %v, want none of the evacuation, which is no job", op.Compares)
	}
	c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	s := c.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	j := c.shardLeader.jobs[s.Job]
	c.shardLeader.endAttempt(j, 0, false)
	c.shardLeader.scheduler.placeAll()
	if j.tasks[0].machine == nil || j.tasks[0].machine.id != s.To {
		t.Fatalf("got the replica on %v, want %s", j.tasks[0].machine, s.To)
	}
	c.now = c.now.Add(2 * surplusAfter)
	for _, m := range c.shardLeader.machinesByID {
		m.lastHeard = c.now
	}
	c.setHostNeeds(true)
	if out := c.shardLeader.fleet.surplusForOthers(c.shardLeader.fleet.surplusMachines(c.shardLeader.fleet.futureFreeCapacity(), func(int) bool { return true })); !slices.Equal(out, []string{s.From}) {
		t.Errorf("got surplus %v, want %s", out, s.From)
	}
}

// TestEvacuatedOnlyWhileRequested: when the leader's request has expired, no replica is
// stopped for it.
func TestEvacuatedOnlyWhileRequested(t *testing.T) {
	c := donorController(t)
	c.setHostNeeds(true)
	op := c.awaitMigrationWrite(t)
	c.now = c.now.Add(updateTTL + time.Second)
	for _, m := range c.shardLeader.machinesByID {
		m.lastHeard = c.now
	}
	c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	for _, j := range c.shardLeader.jobs {
		if j.tasks[0].stopReason != stopNone {
			t.Errorf("%s: got stop reason %v without a request, want none", j.ID, j.tasks[0].stopReason)
		}
	}
	if len(c.shardLeader.migration.state.tracker.Holds()) > 0 {
		t.Errorf("got holds %v without a request, want none", c.shardLeader.migration.state.tracker.Holds())
	}
}

// TestHostNeedsArePublished: a need is published when a replica waits in vain and the cloud
// refuses its machine type; not while such a machine is coming, or the cloud still has it.
func TestHostNeedsArePublished(t *testing.T) {
	c := hostPool(t)
	c.putShard(t, "b", "b", 2, false, "lab")
	c.settings.Capabilities.MaxMigratingFraction = 0
	for _, j := range c.shardLeader.jobs {
		// None of them yields.
		j.Urgency = model.Urgent
	}
	c.shardLeader.jobs["job-large"].Urgency = model.Normal
	publishedNeeds := func() int {
		for range 10 {
			c.now = c.now.Add(shardLeaderTickInterval)
			for _, m := range c.shardLeader.machinesByID {
				m.lastHeard = c.now
			}
			c.shardLeader.migration.tick()
		}
		return len(c.shardLeader.migration.state.evacuation.needs)
	}
	if k := publishedNeeds(); k != 1 {
		t.Errorf("got %d kinds needed, want 1", k)
	}
	c.shardLeader.fleet.view.rentals["vm-000009"] = &rental{id: "vm-000009", machineKind: machineKind{"host", "z", false}, rentedAt: c.now, status: "booting"}
	if k := publishedNeeds(); k != 0 {
		t.Errorf("got %d kinds needed while a machine is coming, want 0", k)
	}
	delete(c.shardLeader.fleet.view.rentals, "vm-000009")
	clear(c.shardLeader.fleet.view.blockedUntil)
	c.now = c.now.Add(refusedWindow)
	if k := publishedNeeds(); k != 0 {
		t.Errorf("got %d kinds needed that the cloud still has, want 0", k)
	}
}
