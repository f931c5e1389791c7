package controller

import (
	"slices"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// maxOrphanedRecords is the number of segment records of ended jobs above which they are deleted
// even when the write rate is short. The next shard leader reads this many in two pages.
const maxOrphanedRecords = 1000

// writeJobEnds writes the ends of jobs whose tasks are all done, and deletes the records of
// cancelled jobs that have no live tasks left.
func (persistence *persistence) writeJobEnds() {
	var endedJobs, cancelledDependents []*job
	for _, j := range persistence.controller.shardLeader.jobs {
		if !j.ending && j.cancelDerived {
			cancelledDependents = append(cancelledDependents, j)
		} else if !j.ending && (j.cancelled && j.liveTasks == 0 || !j.cancelled && j.doneTasks == len(j.tasks)) {
			endedJobs = append(endedJobs, j)
		}
	}
	byName := func(a, b *job) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(endedJobs, byName)
	for len(endedJobs) > 0 && persistence.txnsInFlight < maxSegmentTxns+2 && persistence.controller.rateLimits.writesAllowed() > 0 {
		endedJobs = persistence.writeEndBatch(endedJobs)
	}
	if len(cancelledDependents) > 0 && persistence.txnsInFlight == 0 && !persistence.controller.rateLimits.shortOfWrites() {
		// Every controller derives from the cancelled dependency that these jobs are cancelled.
		// Only their records are left to delete, which may wait.
		slices.SortFunc(cancelledDependents, byName)
		persistence.writeEndBatch(cancelledDependents)
	}
	if len(persistence.orphanedRecords) > 0 && persistence.txnsInFlight == 0 && (!persistence.controller.rateLimits.shortOfWrites() || len(persistence.orphanedRecords) > maxOrphanedRecords) {
		persistence.deleteOrphanedRecords()
	}
}

// jobEnd is a job whose end is being written, with its final record and the keys of its segments.
// The segments are ignored once the job is gone. They are deleted later, since the write rate is
// short at the times when many jobs end and others start.
type jobEnd struct {
	job         *job
	rec         record.JobStatus
	segmentKeys []string
}

// writeEndBatch writes the ends of as many jobs as fit in one transaction, and returns the
// remaining jobs.
func (persistence *persistence) writeEndBatch(endedJobs []*job) []*job {
	txn := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart}
	maxWrites := min(persistence.settings.MaxTxnWrites, persistence.controller.rateLimits.writesAllowed())
	var batch []jobEnd
	size := 0
	for len(endedJobs) > 0 {
		j := endedJobs[0]
		end := jobEnd{job: j, rec: persistence.controller.promises.endRecord(j)}
		var writes []message.Write
		if !j.cancelled || j.cancelDerived {
			writes = append(writes, message.Write{Key: record.JobStatusPrefix + j.ID, Value: record.Encode(end.rec)})
		}
		writes = append(writes, message.Write{Key: record.OpenJobPrefix + j.ID})
		compares := append(persistence.controller.shardLeader.shardCompares(j.Team), message.Compare{Key: record.OpenJobPrefix + j.ID, ModRevision: j.modRevision})
		for _, write := range writes {
			size += sizelimit.WriteBytes(sizelimit.Write{Key: write.Key, Value: write.Value})
		}
		for _, compare := range compares {
			size += sizelimit.CompareBytes(compare.Key)
		}
		if j.cancelDerived {
			txn.Priority = message.PriorityLazy
		}
		if len(batch) > 0 && (len(txn.Writes)+len(writes) > maxWrites || size > targetTxnBytes || j.endWriteAlone || batch[0].job.endWriteAlone) {
			break
		}
		for _, compare := range compares {
			if !slices.Contains(txn.Compares, compare) {
				txn.Compares = append(txn.Compares, compare)
			}
		}
		txn.Writes = append(txn.Writes, writes...)
		end.segmentKeys = slices.Clone(j.formerKeys)
		for _, index := range sortedKeys(j.segments) {
			if seg := j.segments[index]; seg.modRevision != 0 || seg.writeInFlight {
				end.segmentKeys = append(end.segmentKeys, j.segmentKey(seg))
			}
		}
		j.ending = true
		batch, endedJobs = append(batch, end), endedJobs[1:]
	}
	generation := persistence.controller.shardLeader.generation
	persistence.writeTxn(txn, func(response message.StoreResponse) {
		for _, end := range batch {
			persistence.controller.handleEndResponse(end, response, generation, len(batch) == 1)
		}
	})
	return endedJobs
}

// handleEndResponse processes the store's response to the transaction that contains a job's end.
// generation is that of the shard leader that sent the transaction. alone says that the
// transaction contained no other job's end.
func (controller *Controller) handleEndResponse(end jobEnd, response message.StoreResponse, generation int, alone bool) {
	j := end.job
	if response.Status == message.StoreOK && end.rec.Status == model.Done {
		controller.frontend.cacheFinalStatus(j.ID, model.Done)
		controller.promises.learnFromEnd(j, end.rec)
		controller.debug("job done", "job", j.ID, "workload", j.Workload, "age", controller.now.Sub(j.submittedAt))
	}
	if controller.shardLeader == nil || controller.shardLeader.generation != generation {
		return
	}
	retry := func() { j.ending = false }
	switch response.Status {
	case message.StoreOK:
		controller.shardLeader.persistence.removeEndedJob(j, end.segmentKeys)
	case message.StoreConflict:
		isOthersRecord := func(key string) bool {
			return strings.HasPrefix(key, record.OpenJobPrefix) && key != record.OpenJobPrefix+j.ID
		}
		if !alone && !slices.ContainsFunc(response.FailedKeys, func(key string) bool { return !isOthersRecord(key) }) {
			// Only the records of other jobs in the same transaction have changed.
			retry()
			return
		}
		controller.shardLeader.persistence.resolveEndConflict(end, generation)
	case message.StoreMalformed:
		// One end of several is malformed. Each is written alone, so that the valid ones succeed.
		if !alone {
			j.endWriteAlone = true
			retry()
			return
		}
		controller.after(malformedRetryDelay, retry)
	default:
		controller.after(controller.jitter(storeRetryDelay), retry)
	}
}

// resolveEndConflict reads the job's records to find out why the compares of its end failed. The
// store may have applied an earlier transaction with the same end whose response was lost.
func (persistence *persistence) resolveEndConflict(end jobEnd, generation int) {
	j := end.job
	retry := func() { j.ending = false }
	readStatus := message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: record.JobStatusPrefix + j.ID}
	readOpen := message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: record.OpenJobPrefix + j.ID}
	persistence.controller.requests.toStore(readStatus, func(response message.StoreResponse) {
		var statusRecord record.JobStatus
		if response.Status == message.StoreOK && record.Decode(response.KeyValues[0].Value, &statusRecord) && statusRecord.Status == model.Done {
			persistence.controller.frontend.cacheFinalStatus(j.ID, model.Done)
			persistence.controller.promises.cacheDoneDate(j.ID, statusRecord)
			if persistence.controller.shardLeader != nil && persistence.controller.shardLeader.generation == generation {
				persistence.controller.shardLeader.persistence.removeEndedJob(j, end.segmentKeys)
			}
			return
		}
		if j.cancelled && response.Status == message.StoreOK {
			persistence.controller.requests.toStore(readOpen, func(response message.StoreResponse) {
				if response.Status == message.StoreNotFound && persistence.controller.shardLeader != nil && persistence.controller.shardLeader.generation == generation {
					persistence.controller.shardLeader.persistence.removeEndedJob(j, end.segmentKeys)
					return
				}
				persistence.after(persistence.jitter(storeRetryDelay), retry)
			})
			return
		}
		persistence.after(persistence.jitter(storeRetryDelay), retry)
	})
}

// removeEndedJob drops a job whose end is durable, and queues its segments for deletion.
func (persistence *persistence) removeEndedJob(j *job, segmentKeys []string) {
	persistence.controller.shardLeader.removeJob(j)
	persistence.orphanedRecords = append(persistence.orphanedRecords, segmentKeys...)
}

// deleteOrphanedRecords deletes segments of ended jobs. The transaction is conditional on the
// absence of the job's open record: a segment may have been listed although its job was accepted
// only after open/ was listed, and then another controller may lead that job.
func (persistence *persistence) deleteOrphanedRecords() {
	count := min(len(persistence.orphanedRecords), maxLazyWrites, persistence.settings.MaxTxnWrites)
	keys := persistence.orphanedRecords[:count]
	persistence.orphanedRecords = slices.Clone(persistence.orphanedRecords[count:])
	txn := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: persistence.controller.shardLeader.shardCompares("")}
	for _, key := range keys {
		if open := (message.Compare{Key: record.OpenJobPrefix + record.JobIDFromKey(key, record.TaskSegmentPrefix), ModRevision: 0}); !slices.Contains(txn.Compares, open) {
			txn.Compares = append(txn.Compares, open)
		}
		txn.Writes = append(txn.Writes, message.Write{Key: key})
	}
	generation := persistence.controller.shardLeader.generation
	persistence.writeTxn(txn, func(response message.StoreResponse) {
		if persistence.controller.shardLeader == nil || persistence.controller.shardLeader.generation != generation {
			return
		}
		if response.Status == message.StoreOK || response.Status == message.StoreMalformed {
			return
		}
		keys = slices.DeleteFunc(keys, func(key string) bool {
			return slices.Contains(response.FailedKeys, record.OpenJobPrefix+record.JobIDFromKey(key, record.TaskSegmentPrefix))
		})
		persistence.after(persistence.jitter(storeRetryDelay), func() {
			if persistence.controller.shardLeader != nil && persistence.controller.shardLeader.generation == generation {
				persistence.controller.shardLeader.persistence.orphanedRecords = append(persistence.controller.shardLeader.persistence.orphanedRecords, keys...)
			}
		})
	})
}
