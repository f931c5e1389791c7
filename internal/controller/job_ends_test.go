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

// newDoneJobs adds jobs whose only task is done, with a durable record of it.
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

// sentTxns are the transactions that were sent since the last call.
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

// TestJobEndsShareTransaction: the ends of several jobs are one transaction, with the compares
// of each. When one of them was cancelled meanwhile the others end with the next write,
// without a read, and that one is read.
func TestJobEndsShareTransaction(t *testing.T) {
	c := largePool(4)
	jobs := newDoneJobs(c, 3)
	c.effects = nil
	c.shardLeader.persistence.writeJobEnds()
	ops := sentTxns(c)
	if len(ops) != 1 || len(ops[0].Writes) != 6 {
		t.Fatalf("got three ends sent as %+v, want one transaction of 6 writes", ops)
	}
	for _, j := range jobs {
		if !slices.Contains(ops[0].Compares, message.Compare{Key: record.OpenJobPrefix + j.ID, ModRevision: j.modRevision}) {
			t.Errorf("got compares %v, want that of the record of %s", ops[0].Compares, j.ID)
		}
	}
	c.requests.storeCallbacks[ops[0].ID](message.StoreResponse{Status: message.StoreConflict, FailedKeys: []string{record.OpenJobPrefix + jobs[1].ID}})
	if jobs[0].ending || jobs[2].ending || !jobs[1].ending {
		t.Errorf("after a conflict of the second: got ending %v %v %v, want false true false", jobs[0].ending, jobs[1].ending, jobs[2].ending)
	}
	c.effects = nil
	c.shardLeader.persistence.writeJobEnds()
	if ops = sentTxns(c); len(ops) != 1 || len(ops[0].Writes) != 4 {
		t.Fatalf("got the others sent as %+v, want one transaction of 4 writes", ops)
	}
	c.requests.storeCallbacks[ops[0].ID](message.StoreResponse{Status: message.StoreOK, Revision: 300})
	if c.frontend.finalStatuses[jobs[0].ID] != model.Done || c.frontend.finalStatuses[jobs[2].ID] != model.Done || c.frontend.finalStatuses[jobs[1].ID] == model.Done || c.shardLeader.jobs[jobs[1].ID] == nil {
		t.Errorf("got final statuses %v, want those of the first and the third job", c.frontend.finalStatuses)
	}
}

// TestMalformedJobEndIsWrittenAlone: a write of several ends that is called malformed is sent
// again for each by itself, and only the one at fault waits.
func TestMalformedJobEndIsWrittenAlone(t *testing.T) {
	c := largePool(4)
	jobs := newDoneJobs(c, 3)
	c.effects = nil
	c.shardLeader.persistence.writeJobEnds()
	c.requests.storeCallbacks[sentTxns(c)[0].ID](message.StoreResponse{Status: message.StoreMalformed})
	c.shardLeader.persistence.writeJobEnds()
	ops := sentTxns(c)
	if len(ops) != 3 {
		t.Fatalf("got %d writes for three ends that are tried alone, want 3", len(ops))
	}
	c.requests.storeCallbacks[ops[0].ID](message.StoreResponse{Status: message.StoreOK})
	c.requests.storeCallbacks[ops[1].ID](message.StoreResponse{Status: message.StoreMalformed})
	c.requests.storeCallbacks[ops[2].ID](message.StoreResponse{Status: message.StoreOK})
	c.shardLeader.persistence.writeJobEnds()
	if len(c.frontend.finalStatuses) != 2 || c.shardLeader.jobs[jobs[1].ID] == nil {
		t.Errorf("got final statuses %v, want those of the first and the third job", c.frontend.finalStatuses)
	}
}

// TestWritesInFlightAreBounded: the writes in flight take at most half a second's share of the
// rate, so that a hundred ends don't delay what users wait for; the others follow as answers
// arrive.
func TestWritesInFlightAreBounded(t *testing.T) {
	c := largePool(4)
	c.rateLimits.allotted = message.Rates{Requests: 20, Writes: 16}
	newDoneJobs(c, 100)
	c.effects = nil
	ended := 0
	for range 200 {
		c.shardLeader.persistence.writeJobEnds()
		c.shardLeader.persistence.writeSegments()
		writes := 0
		ops := sentTxns(c)
		for _, op := range ops {
			writes += len(op.Writes)
		}
		if writes > 8 {
			t.Fatalf("got %d writes in flight at 16 a second, want at most 8", writes)
		}
		for _, op := range ops {
			c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK})
		}
		c.effects = nil
		if ended = len(c.frontend.finalStatuses); ended == 100 {
			break
		}
	}
	if ended < 100 || c.shardLeader.persistence.writesInFlight != 0 || c.shardLeader.persistence.txnsInFlight != 0 {
		t.Errorf("got %d of 100 jobs ended, with %d writes of %d transactions in flight; want all and none", ended, c.shardLeader.persistence.writesInFlight, c.shardLeader.persistence.txnsInFlight)
	}
}

// TestOrphanedRecordsWaitForWrites: the task records of ended jobs are not removed while the
// rate of writes is short, unless there are more than a successor should have to read.
func TestOrphanedRecordsWaitForWrites(t *testing.T) {
	c := largePool(4)
	removed := func() int {
		c.effects = nil
		c.shardLeader.persistence.writeJobEnds()
		ops := sentTxns(c)
		for _, op := range ops {
			c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK})
		}
		return len(ops)
	}
	for i := range maxOrphanedRecords + maxLazyWrites {
		c.shardLeader.persistence.orphanedRecords = append(c.shardLeader.persistence.orphanedRecords, fmt.Sprintf("task/small-%d/0", i))
	}
	c.rateLimits.writesShort = true
	if removed() != 1 || removed() != 0 || len(c.shardLeader.persistence.orphanedRecords) != maxOrphanedRecords {
		t.Errorf("got %d records left while writes are short, want %d after one removal", len(c.shardLeader.persistence.orphanedRecords), maxOrphanedRecords)
	}
	c.rateLimits.writesShort = false
	for range maxOrphanedRecords {
		removed()
	}
	if len(c.shardLeader.persistence.orphanedRecords) != 0 {
		t.Errorf("got %d records left, want 0", len(c.shardLeader.persistence.orphanedRecords))
	}
}

// TestStartAndEndWritesAlternate: while a hundred ends wait a start is written soon, and the
// other way round; a job that is done is written by its end alone.
func TestStartAndEndWritesAlternate(t *testing.T) {
	c := largePool(4)
	c.rateLimits.allotted = message.Rates{Requests: 20, Writes: 8}
	for _, j := range newDoneJobs(c, 100) {
		j.markChanged(0, c.now, true)
	}
	j := c.shardLeader.addJob(model.JobSpec{ID: "starts", Workload: "w", Team: c.settings.Teams[0].Name, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, c.now, 99)
	j.nextFresh = 1
	c.shardLeader.scheduler.startAttempt(j, 0, c.shardLeader.machinesByID[0])
	c.effects = nil
	for round := 1; !j.durable(0); round++ {
		if round > 3 {
			t.Fatalf("got no write of the start in %d rounds, want it within 3", round-1)
		}
		c.shardLeader.persistence.writeShardLeaderRecords()
		for _, op := range sentTxns(c) {
			for _, a := range op.Writes {
				if a.Key != "task/starts/0" && strings.HasPrefix(a.Key, record.TaskSegmentPrefix) && a.Value != nil {
					t.Errorf("got %s written though its job is done, want only its end", a.Key)
				}
			}
			c.requests.storeCallbacks[op.ID](message.StoreResponse{Status: message.StoreOK, Revision: 500})
		}
	}
	if ended := len(c.frontend.finalStatuses); ended == 0 || ended == 100 {
		t.Errorf("got %d of 100 ends written meanwhile, want some and not all", ended)
	}
}
