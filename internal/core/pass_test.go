package core

import (
	"testing"
	"time"
)

// TestPlanningIsDivided guards against a look at the fleet that keeps reports and
// renewals waiting: it takes several steps, ends as it would in one, and a pass
// that is given up asks for nothing.
func TestPlanningIsDivided(t *testing.T) {
	whole := largePool(400)
	wants := whole.rent(whole.futureRoom(), nil)
	n := largePool(400)
	n.owner.pass = newPass(n.lookAtFleet)
	slices := 1
	for ; !n.owner.pass.run(1000); slices++ {
		if n.owner.pass.used > 2000+len(n.owner.byID) {
			t.Fatalf("a slice of 1000 units takes %d", n.owner.pass.used)
		}
		if slices > 10_000 {
			t.Fatal("the look does not end")
		}
	}
	if slices < 5 {
		t.Errorf("the look took %d slices, want it divided", slices)
	}
	if len(wants) == 0 || len(n.owner.wants) != len(wants) {
		t.Errorf("divided it wants %v, as a whole %v", n.owner.wants, wants)
	}
	n = largePool(400)
	n.owner.pass = newPass(n.lookAtFleet)
	n.owner.pass.run(1000)
	n.owner.endPass()
	if n.owner.wants != nil || n.owner.pass != nil {
		t.Errorf("a pass that was given up wants %v", n.owner.wants)
	}
}

// TestOrderThatNeverLeft: for want of a connection it surely did not leave, so it is
// no start on its way, and no epoch has to be raised for it.
func TestOrderThatNeverLeft(t *testing.T) {
	for _, left := range []bool{true, false} {
		n := largePool(1)
		m := n.owner.byID[0]
		j := newJob(Spec{ID: "job-1", Team: "ops", Tasks: 1, Need: Resources{CPU: 1, Memory: 1}, Expected: time.Minute}, n.now, 1, 4096)
		n.owner.jobs[j.ID] = j
		j.fresh, j.tasks[0].try = 1, 1
		n.attach(j, 0, m)
		j.touch(0, n.now, true)
		j.chunkOf(0).saved = j.chunkOf(0).ver
		n.direct(m)
		if len(n.calls) != 1 {
			t.Fatalf("%d orders are sent, want the start", len(n.calls))
		}
		for id := range n.calls {
			n.command(WorkerDone{ID: id, NotSent: !left})
		}
		if on := m.unacked != 0; on != left {
			t.Errorf("left %v: a start counts as on its way: %v", left, on)
		}
	}
}
