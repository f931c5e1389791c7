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

// donorController is an owner beside another, with two hosts that have half a host's replica each
// and nothing that waits.
func donorController(t *testing.T) *Controller {
	n := hostPool(t)
	n.putShard(t, "b", "b", 2, false, "lab")
	delete(n.shardLeader.jobs, "job-large")
	return n
}

func (c *Controller) setHostNeeds(requested bool) {
	h := []message.HostNeed{{MachineType: "host", Zone: "z", Need: model.Resources{CPU: 64, GPU: 8, Memory: 512}, Urgency: model.Normal}}
	if requested {
		c.shardLeader.migration.receiveHostNeeds(h, h)
	} else {
		c.shardLeader.migration.receiveHostNeeds(h, nil)
	}
}

// TestHostIsEvacuated: asked to, an owner says what emptying a host would cost, moves what
// is there away, and has it to spare when it is empty, and no other.
func TestHostIsEvacuated(t *testing.T) {
	n := donorController(t)
	n.setHostNeeds(false)
	n.shardLeader.migration.tick()
	if cs := n.shardLeader.migration.state.evacuation.costs; len(cs) != 1 || cs[0].MachineType != "host" || cs[0].Downtime > 10*time.Second {
		t.Fatalf("costs %+v", cs)
	}
	if len(n.shardLeader.migration.state.tracker.Plans()) > 0 {
		t.Fatal("emptied unasked")
	}
	n.setHostNeeds(true)
	op := n.awaitMigrationWrite(t)
	if slices.ContainsFunc(op.Compares, func(c message.Compare) bool { return strings.HasPrefix(c.Key, record.OpenJobPrefix+evacuationPrefix) }) {
		t.Errorf("conditions %v", op.Compares)
	}
	n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 20})
	s := n.shardLeader.migration.state.tracker.Plans()[0].Steps[0]
	j := n.shardLeader.jobs[s.Job]
	n.shardLeader.endAttempt(j, 0, false)
	n.shardLeader.scheduler.placeAll()
	if j.tasks[0].machine == nil || j.tasks[0].machine.id != s.To {
		t.Fatalf("it is on %v, want %s", j.tasks[0].machine, s.To)
	}
	n.now = n.now.Add(2 * surplusAfter)
	for _, m := range n.shardLeader.machinesByID {
		m.lastHeard = n.now
	}
	n.setHostNeeds(true)
	if out := n.shardLeader.fleet.surplusForOthers(n.shardLeader.fleet.surplusMachines(n.shardLeader.fleet.futureFreeCapacity(), func(int) bool { return true })); !slices.Equal(out, []string{s.From}) {
		t.Errorf("to spare: %v, want %s", out, s.From)
	}
}

// TestEvacuatedOnlyWhileRequested: when the leader no longer asks, nothing more is stopped for it.
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
			t.Errorf("%s is stopped for nobody", j.ID)
		}
	}
	if len(n.shardLeader.migration.state.tracker.Holds()) > 0 {
		t.Error("places stay held for nobody")
	}
}

// TestHostNeedsArePublished: what waits in vain, and what the cloud refuses, is told of; not
// what a machine is coming for, or the cloud still gives.
func TestHostNeedsArePublished(t *testing.T) {
	n := hostPool(t)
	n.putShard(t, "b", "b", 2, false, "lab")
	n.settings.Capabilities.MaxMigratingFraction = 0
	for _, j := range n.shardLeader.jobs {
		// None of them yields.
		j.Urgency = model.Urgent
	}
	n.shardLeader.jobs["job-large"].Urgency = model.Normal
	needs := func() int {
		for range 10 {
			n.now = n.now.Add(shardLeaderTickInterval)
			for _, m := range n.shardLeader.machinesByID {
				m.lastHeard = n.now
			}
			n.shardLeader.migration.tick()
		}
		return len(n.shardLeader.migration.state.evacuation.needs)
	}
	if k := needs(); k != 1 {
		t.Errorf("%d kinds are needed, want one", k)
	}
	n.shardLeader.fleet.view.rentals["vm-000009"] = &rental{id: "vm-000009", machineKind: machineKind{"host", "z", false}, rentedAt: n.now, status: "booting"}
	if k := needs(); k != 0 {
		t.Errorf("%d kinds are needed while one is coming", k)
	}
	delete(n.shardLeader.fleet.view.rentals, "vm-000009")
	clear(n.shardLeader.fleet.view.blockedUntil)
	n.now = n.now.Add(refusedWindow)
	if k := needs(); k != 0 {
		t.Errorf("%d kinds are needed that the cloud still gives", k)
	}
}
