package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// doneJobs makes jobs whose only task is done, with a record of it.
func doneJobs(n *Node, count int) []*job {
	var out []*job
	for i := range count {
		j := n.newJob(Spec{ID: fmt.Sprintf("small-%d", i), Workload: "w", Team: n.set.Teams[0].Name, Tasks: 1, Need: Resources{CPU: 1}, Expected: time.Minute}, n.now, uint64(100+i))
		j.fresh, j.done, j.tasks[0].done = 1, 1, true
		j.chunks[0] = &chunk{stamp: uint64(200 + i), ver: 1, saved: 1}
		out = append(out, j)
	}
	return out
}

// txns are the transactions that were sent since the last look.
func txns(n *Node) []StateOp {
	var out []StateOp
	for _, op := range emitted[StateOp](n) {
		if op.Kind == OpTxn {
			out = append(out, op)
		}
	}
	n.out = nil
	return out
}

// TestEndsShareWrites: the ends of several jobs are one transaction, with the conditions
// of each; when one of them was cancelled meanwhile the others are over with the next
// write, without a read, and that one is asked about.
func TestEndsShareWrites(t *testing.T) {
	n := largePool(4)
	jobs := doneJobs(n, 3)
	n.out = nil
	n.endJobs()
	ops := txns(n)
	if len(ops) != 1 || len(ops[0].Apply) != 6 {
		t.Fatalf("three ends were sent as %+v", ops)
	}
	for _, j := range jobs {
		if !slices.Contains(ops[0].When, Cond{openPrefix + j.ID, j.stamp}) {
			t.Errorf("the end of %s does not name its record", j.ID)
		}
	}
	n.state[ops[0].ID](StateDone{Status: StateConflict, Failed: []string{openPrefix + jobs[1].ID}})
	if jobs[0].ending || jobs[2].ending || !jobs[1].ending {
		t.Errorf("after a conflict of the second: ending %v %v %v", jobs[0].ending, jobs[1].ending, jobs[2].ending)
	}
	n.out = nil
	n.endJobs()
	if ops = txns(n); len(ops) != 1 || len(ops[0].Apply) != 4 {
		t.Fatalf("the others were sent as %+v", ops)
	}
	n.state[ops[0].ID](StateDone{Status: StateOK, Rev: 300})
	if n.users.final[jobs[0].ID] != Done || n.users.final[jobs[2].ID] != Done || n.users.final[jobs[1].ID] == Done || n.owner.jobs[jobs[1].ID] == nil {
		t.Errorf("final: %v", n.users.final)
	}
}

// TestMalformedEndAlone: a write of several ends that is called malformed is sent again
// for each by itself, and only the one at fault waits.
func TestMalformedEndAlone(t *testing.T) {
	n := largePool(4)
	jobs := doneJobs(n, 3)
	n.out = nil
	n.endJobs()
	n.state[txns(n)[0].ID](StateDone{Status: StateBad})
	n.endJobs()
	ops := txns(n)
	if len(ops) != 3 {
		t.Fatalf("%d writes for three ends that are tried alone", len(ops))
	}
	n.state[ops[0].ID](StateDone{Status: StateOK})
	n.state[ops[1].ID](StateDone{Status: StateBad})
	n.state[ops[2].ID](StateDone{Status: StateOK})
	n.endJobs()
	if len(n.users.final) != 2 || n.owner.jobs[jobs[1].ID] == nil {
		t.Errorf("over: %v", n.users.final)
	}
}

// TestWritesArePutTogetherLate: the writes under way take at most half a second's part of
// the changes, so that a hundred ends don't stand before what users wait for, and as
// answers come the others follow.
func TestWritesArePutTogetherLate(t *testing.T) {
	n := largePool(4)
	n.budgets.part = Rates{Requests: 20, Changes: 16}
	doneJobs(n, 100)
	n.out = nil
	over := 0
	for range 200 {
		n.endJobs()
		n.writeChunks()
		changes := 0
		ops := txns(n)
		for _, op := range ops {
			changes += len(op.Apply)
		}
		if changes > 8 {
			t.Fatalf("%d changes are under way at 16 a second", changes)
		}
		for _, op := range ops {
			n.state[op.ID](StateDone{Status: StateOK})
		}
		n.out = nil
		if over = len(n.users.final); over == 100 {
			break
		}
	}
	if over < 100 || n.owner.ahead != 0 || n.owner.inFlight != 0 {
		t.Errorf("%d of 100 are over, with %d changes of %d writes under way", over, n.owner.ahead, n.owner.inFlight)
	}
}

// TestTaskRecordsWait: the records of tasks of ended jobs are not removed while changes
// are short, unless there are more than a successor is to read, and go when they are not.
func TestTaskRecordsWait(t *testing.T) {
	n := largePool(4)
	removed := func() int {
		n.out = nil
		n.endJobs()
		ops := txns(n)
		for _, op := range ops {
			n.state[op.ID](StateDone{Status: StateOK})
		}
		return len(ops)
	}
	for i := range orphansMost + lazyMost {
		n.owner.orphans = append(n.owner.orphans, fmt.Sprintf("task/small-%d/0", i))
	}
	n.budgets.short = true
	if removed() != 1 || removed() != 0 || len(n.owner.orphans) != orphansMost {
		t.Errorf("%d records wait while changes are short", len(n.owner.orphans))
	}
	n.budgets.short = false
	for range orphansMost {
		removed()
	}
	if len(n.owner.orphans) != 0 {
		t.Errorf("%d records are left", len(n.owner.orphans))
	}
}

// TestStartsAndEndsTakeTurns: while a hundred ends wait a start is written soon, and the
// other way round; a job that is done is written by its end alone.
func TestStartsAndEndsTakeTurns(t *testing.T) {
	n := largePool(4)
	n.budgets.part = Rates{Requests: 20, Changes: 8}
	for _, j := range doneJobs(n, 100) {
		j.touch(0, n.now, true)
	}
	j := n.newJob(Spec{ID: "starts", Workload: "w", Team: n.set.Teams[0].Name, Tasks: 1, Need: Resources{CPU: 1}, Expected: time.Minute}, n.now, 99)
	j.fresh = 1
	begin(n, j, 0, n.owner.byID[0])
	n.out = nil
	for look := 1; !j.durable(0); look++ {
		if look > 3 {
			t.Fatalf("the start is not written after %d looks", look-1)
		}
		n.writeDue()
		for _, op := range txns(n) {
			for _, a := range op.Apply {
				if a.Key != "task/starts/0" && strings.HasPrefix(a.Key, taskPrefix) && a.Value != nil {
					t.Errorf("%s is written though its job is done", a.Key)
				}
			}
			n.state[op.ID](StateDone{Status: StateOK, Rev: 500})
		}
	}
	if over := len(n.users.final); over == 0 || over == 100 {
		t.Errorf("%d of 100 ends were written meanwhile", over)
	}
}
