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

// newDoneJobs adds jobs with one task each, which is done and durably recorded as done.
func newDoneJobs(controller *Controller, count int) []*job {
	var jobs []*job
	for i := range count {
		j := controller.shardLeader.addJob(model.JobSpec{ID: fmt.Sprintf("small-%d", i), Workload: "w", Team: controller.settings.Teams[0].Name, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, controller.now, uint64(100+i))
		j.nextFresh, j.doneTasks, j.tasks[0].done = 1, 1, true
		j.segments[0] = &taskSegment{modRevision: uint64(200 + i), version: 1, persistedVersion: 1}
		jobs = append(jobs, j)
	}
	return jobs
}

// sentTxns returns the transactions that the controller sent since the last call.
func sentTxns(controller *Controller) []message.StoreRequest {
	var txns []message.StoreRequest
	for _, request := range emittedEffects[message.StoreRequest](controller) {
		if request.Kind == message.OpTxn {
			txns = append(txns, request)
		}
	}
	controller.effects = nil
	return txns
}

// TestJobEndsShareTransaction guards against losing the ends of several jobs that share a
// transaction when one of the jobs was cancelled in the meantime. The transaction contains the
// compares of every job. After the conflict, the other ends are written again without a read, and
// the records of the cancelled job are read.
func TestJobEndsShareTransaction(t *testing.T) {
	controller := largePool(4)
	jobs := newDoneJobs(controller, 3)
	controller.effects = nil
	controller.shardLeader.persistence.writeJobEnds()
	txns := sentTxns(controller)
	if len(txns) != 1 || len(txns[0].Writes) != 6 {
		t.Fatalf("three ends: got transactions %+v, want one with 6 writes", txns)
	}
	for _, j := range jobs {
		if !slices.Contains(txns[0].Compares, message.Compare{Key: record.OpenJobPrefix + j.ID, ModRevision: j.modRevision}) {
			t.Errorf("got compares %v, want among them that of the open record of %s", txns[0].Compares, j.ID)
		}
	}
	controller.requests.storeCallbacks[txns[0].ID](message.StoreResponse{Status: message.StoreConflict, FailedKeys: []string{record.OpenJobPrefix + jobs[1].ID}})
	if jobs[0].ending || jobs[2].ending || !jobs[1].ending {
		t.Errorf("after a conflict on the second job: got ending %v %v %v, want false true false", jobs[0].ending, jobs[1].ending, jobs[2].ending)
	}
	controller.effects = nil
	controller.shardLeader.persistence.writeJobEnds()
	if txns = sentTxns(controller); len(txns) != 1 || len(txns[0].Writes) != 4 {
		t.Fatalf("first and third end after the conflict: got transactions %+v, want one with 4 writes", txns)
	}
	controller.requests.storeCallbacks[txns[0].ID](message.StoreResponse{Status: message.StoreOK, Revision: 300})
	if controller.frontend.finalStatuses[jobs[0].ID] != model.Done || controller.frontend.finalStatuses[jobs[2].ID] != model.Done || controller.frontend.finalStatuses[jobs[1].ID] == model.Done || controller.shardLeader.jobs[jobs[1].ID] == nil {
		t.Errorf("got final statuses %v, want those of the first and the third job", controller.frontend.finalStatuses)
	}
}

// TestMalformedJobEndIsWrittenAlone guards against one malformed end that blocks the ends of other
// jobs: after the store rejects a transaction of several ends as malformed, each end is sent in a
// transaction of its own, and only the malformed one waits.
func TestMalformedJobEndIsWrittenAlone(t *testing.T) {
	controller := largePool(4)
	jobs := newDoneJobs(controller, 3)
	controller.effects = nil
	controller.shardLeader.persistence.writeJobEnds()
	controller.requests.storeCallbacks[sentTxns(controller)[0].ID](message.StoreResponse{Status: message.StoreMalformed})
	controller.shardLeader.persistence.writeJobEnds()
	txns := sentTxns(controller)
	if len(txns) != 3 {
		t.Fatalf("three ends written alone: got %d transactions, want 3", len(txns))
	}
	controller.requests.storeCallbacks[txns[0].ID](message.StoreResponse{Status: message.StoreOK})
	controller.requests.storeCallbacks[txns[1].ID](message.StoreResponse{Status: message.StoreMalformed})
	controller.requests.storeCallbacks[txns[2].ID](message.StoreResponse{Status: message.StoreOK})
	controller.shardLeader.persistence.writeJobEnds()
	if len(controller.frontend.finalStatuses) != 2 || controller.shardLeader.jobs[jobs[1].ID] == nil {
		t.Errorf("got final statuses %v, want those of the first and the third job", controller.frontend.finalStatuses)
	}
}

// TestWritesInFlightAreBounded guards against a hundred ends that delay the writes for which users
// wait: the writes in flight are at most those that the rate allows in half a second. The remaining
// ends follow as responses arrive.
func TestWritesInFlightAreBounded(t *testing.T) {
	controller := largePool(4)
	controller.rateLimits.allotted = message.Rates{Requests: 20, Writes: 16}
	newDoneJobs(controller, 100)
	controller.effects = nil
	ended := 0
	for range 200 {
		controller.shardLeader.persistence.writeJobEnds()
		controller.shardLeader.persistence.writeSegments()
		writes := 0
		txns := sentTxns(controller)
		for _, txn := range txns {
			writes += len(txn.Writes)
		}
		if writes > 8 {
			t.Fatalf("got %d writes in flight at a rate of 16 per second, want at most 8", writes)
		}
		for _, txn := range txns {
			controller.requests.storeCallbacks[txn.ID](message.StoreResponse{Status: message.StoreOK})
		}
		controller.effects = nil
		if ended = len(controller.frontend.finalStatuses); ended == 100 {
			break
		}
	}
	if ended < 100 || controller.shardLeader.persistence.writesInFlight != 0 || controller.shardLeader.persistence.txnsInFlight != 0 {
		t.Errorf("got %d of 100 jobs ended, with %d writes and %d transactions in flight; want 100, 0 and 0", ended, controller.shardLeader.persistence.writesInFlight, controller.shardLeader.persistence.txnsInFlight)
	}
}

// TestOrphanedRecordsWaitForWrites guards against deletions of ended jobs' task records that take a
// short write rate from other writes, and against an unlimited number of such records: while the
// rate is short, they are deleted only if there are more than maxOrphanedRecords, which a new shard
// leader would have to read.
func TestOrphanedRecordsWaitForWrites(t *testing.T) {
	controller := largePool(4)
	removed := func() int {
		controller.effects = nil
		controller.shardLeader.persistence.writeJobEnds()
		txns := sentTxns(controller)
		for _, txn := range txns {
			controller.requests.storeCallbacks[txn.ID](message.StoreResponse{Status: message.StoreOK})
		}
		return len(txns)
	}
	for i := range maxOrphanedRecords + maxLazyWrites {
		controller.shardLeader.persistence.orphanedRecords = append(controller.shardLeader.persistence.orphanedRecords, fmt.Sprintf("task/small-%d/0", i))
	}
	controller.rateLimits.writesShort = true
	if removed() != 1 || removed() != 0 || len(controller.shardLeader.persistence.orphanedRecords) != maxOrphanedRecords {
		t.Errorf("short write rate: got %d records left, want %d after a single deletion", len(controller.shardLeader.persistence.orphanedRecords), maxOrphanedRecords)
	}
	controller.rateLimits.writesShort = false
	for range maxOrphanedRecords {
		removed()
	}
	if len(controller.shardLeader.persistence.orphanedRecords) != 0 {
		t.Errorf("sufficient write rate: got %d records left, want 0", len(controller.shardLeader.persistence.orphanedRecords))
	}
}

// TestStartAndEndWritesAlternate guards against a start that waits until a hundred ends are
// written, and against ends that wait for starts. For a job whose tasks are all done, only the end
// is written.
func TestStartAndEndWritesAlternate(t *testing.T) {
	controller := largePool(4)
	controller.rateLimits.allotted = message.Rates{Requests: 20, Writes: 8}
	for _, j := range newDoneJobs(controller, 100) {
		j.markChanged(0, controller.now, true)
	}
	j := controller.shardLeader.addJob(model.JobSpec{ID: "starts", Workload: "w", Team: controller.settings.Teams[0].Name, Tasks: 1, Need: model.Resources{CPU: 1}, ExpectedRunTime: time.Minute}, controller.now, 99)
	j.nextFresh = 1
	controller.shardLeader.scheduler.startAttempt(j, 0, controller.shardLeader.machinesByID[0])
	controller.effects = nil
	for round := 1; !j.durable(0); round++ {
		if round > 3 {
			t.Fatalf("got no durable start after %d rounds, want it within 3", round-1)
		}
		controller.shardLeader.persistence.writeShardLeaderRecords()
		for _, txn := range sentTxns(controller) {
			for _, write := range txn.Writes {
				if write.Key != "task/starts/0" && strings.HasPrefix(write.Key, record.TaskSegmentPrefix) && write.Value != nil {
					t.Errorf("got %s written although its job is done, want only the job's end written", write.Key)
				}
			}
			controller.requests.storeCallbacks[txn.ID](message.StoreResponse{Status: message.StoreOK, Revision: 500})
		}
	}
	if ended := len(controller.frontend.finalStatuses); ended == 0 || ended == 100 {
		t.Errorf("got %d of 100 ends written until the start was durable, want between 1 and 99", ended)
	}
}
