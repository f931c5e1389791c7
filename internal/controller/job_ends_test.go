package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// newDoneJobs makes jobs whose only task is done, with a record of it.
func newDoneJobs(c *Controller, count int) []*job {
	var out []*job
	for i := range count {
		j := c.shardLeader.addJob(model.JobSpec{ID: fmt.Sprintf("small-%d", i), Workload: "w", Team: c.settings.Teams[0].Name, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, c.now, uint64(100+i))
		j.nextFresh, j.doneTasks, j.tasks[0].done = 1, 1, true
		j.segments[0] = &taskSegment{modRevision: uint64(200 + i), version: 1, persistedVersion: 1}
		out = append(out, j)
	}
	return out
}

// sentTxns are the transactions that were sent since the last look.
func sentTxns(c *Controller) []message.StoreRequest {
	var out []message.StoreRequest
	for _, op := range emittedEffects[message.StoreRequest](c) {
		if op.Kind == message.OpTxn {
			out = append(out, op)
		}
	}
	c.effects = nil
	return out
}

// TestJobEndsShareTransaction: the ends of several jobs are one transaction, with the conditions
// of each; when one of them was cancelled meanwhile the others are over with the next
// write, without a read, and that one is asked about.
func TestJobEndsShareTransaction(t *testing.T) {
	n := largePool(4)
	jobs := newDoneJobs(n, 3)
	n.effects = nil
	n.shardLeader.persistence.writeJobEnds()
	ops := sentTxns(n)
	if len(ops) != 1 || len(ops[0].Writes) != 6 {
		t.Fatalf("three ends were sent as %+v", ops)
	}
	for _, j := range jobs {
		if !slices.Contains(ops[0].Compares, message.Compare{Key: record.OpenJobPrefix + j.ID, ModRevision: j.modRevision}) {
			t.Errorf("the end of %s does not name its record", j.ID)
		}
	}
	n.requests.storeCallbacks[ops[0].ID](message.StoreResponse{Status: message.StoreConflict, FailedKeys: []string{record.OpenJobPrefix + jobs[1].ID}})
	if jobs[0].ending || jobs[2].ending || !jobs[1].ending {
		t.Errorf("after a conflict of the second: ending %v %v %v", jobs[0].ending, jobs[1].ending, jobs[2].ending)
	}
	n.effects = nil
	n.shardLeader.persistence.writeJobEnds()
	if ops = sentTxns(n); len(ops) != 1 || len(ops[0].Writes) != 4 {
		t.Fatalf("the others were sent as %+v", ops)
	}
	n.requests.storeCallbacks[ops[0].ID](message.StoreResponse{Status: message.StoreOK, Revision: 300})
	if n.frontend.finalStatuses[jobs[0].ID] != model.Done || n.frontend.finalStatuses[jobs[2].ID] != model.Done || n.frontend.finalStatuses[jobs[1].ID] == model.Done || n.shardLeader.jobs[jobs[1].ID] == nil {
		t.Errorf("final: %v", n.frontend.finalStatuses)
	}
}

// TestMalformedJobEndIsWrittenAlone: a write of several ends that is called malformed is sent again
// for each by itself, and only the one at fault waits.
func TestMalformedJobEndIsWrittenAlone(t *testing.T) {
	n := largePool(4)
	jobs := newDoneJobs(n, 3)
	n.effects = nil
	n.shardLeader.persistence.writeJobEnds()
	n.requests.storeCallbacks[sentTxns(n)[0].ID](message.StoreResponse{Status: message.StoreMalformed})
	n.shardLeader.persistence.writeJobEnds()
	ops := sentTxns(n)
	if len(ops) != 3 {
		t.Fatalf("%d writes for three ends that are tried alone", len(ops))
	}
	n.requests.storeCallbacks[ops[0].ID](message.StoreResponse{Status: message.StoreOK})
	n.requests.storeCallbacks[ops[1].ID](message.StoreResponse{Status: message.StoreMalformed})
	n.requests.storeCallbacks[ops[2].ID](message.StoreResponse{Status: message.StoreOK})
	n.shardLeader.persistence.writeJobEnds()
	if len(n.frontend.finalStatuses) != 2 || n.shardLeader.jobs[jobs[1].ID] == nil {
		t.Errorf("over: %v", n.frontend.finalStatuses)
	}
}

// TestWritesInFlightAreBounded: the writes under way take at most half a second's part of
// the changes, so that a hundred ends don't stand before what users wait for, and as
// answers come the others follow.
func TestWritesInFlightAreBounded(t *testing.T) {
	n := largePool(4)
	n.rateLimits.allotted = message.Rates{Requests: 20, Writes: 16}
	newDoneJobs(n, 100)
	n.effects = nil
	over := 0
	for range 200 {
		n.shardLeader.persistence.writeJobEnds()
		n.shardLeader.persistence.writeSegments()
		changes := 0
		ops := sentTxns(n)
		for _, op := range ops {
			changes += len(op.Writes)
		}
		if changes > 8 {
			t.Fatalf("%d changes are under way at 16 a second", changes)
		}
		for _, op := range ops {
			n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK})
		}
		n.effects = nil
		if over = len(n.frontend.finalStatuses); over == 100 {
			break
		}
	}
	if over < 100 || n.shardLeader.persistence.writesInFlight != 0 || n.shardLeader.persistence.txnsInFlight != 0 {
		t.Errorf("%d of 100 are over, with %d changes of %d writes under way", over, n.shardLeader.persistence.writesInFlight, n.shardLeader.persistence.txnsInFlight)
	}
}

// TestOrphanedRecordsWaitForWrites: the records of tasks of ended jobs are not removed while changes
// are short, unless there are more than a successor is to read, and go when they are not.
func TestOrphanedRecordsWaitForWrites(t *testing.T) {
	n := largePool(4)
	removed := func() int {
		n.effects = nil
		n.shardLeader.persistence.writeJobEnds()
		ops := sentTxns(n)
		for _, op := range ops {
			n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK})
		}
		return len(ops)
	}
	for i := range maxOrphanedRecords + maxLazyWrites {
		n.shardLeader.persistence.orphanedRecords = append(n.shardLeader.persistence.orphanedRecords, fmt.Sprintf("task/small-%d/0", i))
	}
	n.rateLimits.writesShort = true
	if removed() != 1 || removed() != 0 || len(n.shardLeader.persistence.orphanedRecords) != maxOrphanedRecords {
		t.Errorf("%d records wait while changes are short", len(n.shardLeader.persistence.orphanedRecords))
	}
	n.rateLimits.writesShort = false
	for range maxOrphanedRecords {
		removed()
	}
	if len(n.shardLeader.persistence.orphanedRecords) != 0 {
		t.Errorf("%d records are left", len(n.shardLeader.persistence.orphanedRecords))
	}
}

// TestStartAndEndWritesAlternate: while a hundred ends wait a start is written soon, and the
// other way round; a job that is done is written by its end alone.
func TestStartAndEndWritesAlternate(t *testing.T) {
	n := largePool(4)
	n.rateLimits.allotted = message.Rates{Requests: 20, Writes: 8}
	for _, j := range newDoneJobs(n, 100) {
		j.markChanged(0, n.now, true)
	}
	j := n.shardLeader.addJob(model.JobSpec{ID: "starts", Workload: "w", Team: n.settings.Teams[0].Name, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, n.now, 99)
	j.nextFresh = 1
	n.shardLeader.scheduler.startAttempt(j, 0, n.shardLeader.machinesByID[0])
	n.effects = nil
	for look := 1; !j.durable(0); look++ {
		if look > 3 {
			t.Fatalf("the start is not written after %d looks", look-1)
		}
		n.shardLeader.persistence.writeShardLeaderRecords()
		for _, op := range sentTxns(n) {
			for _, a := range op.Writes {
				if a.Key != "task/starts/0" && strings.HasPrefix(a.Key, record.TaskSegmentPrefix) && a.Value != nil {
					t.Errorf("%s is written though its job is done", a.Key)
				}
			}
			n.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 500})
		}
	}
	if over := len(n.frontend.finalStatuses); over == 0 || over == 100 {
		t.Errorf("%d of 100 ends were written meanwhile", over)
	}
}
