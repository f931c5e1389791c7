package controller

import (
	"slices"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// maxOrphanedRecords bounds the segments of ended jobs that are kept while writes are
// scarce: a successor reads them in two pages.
const maxOrphanedRecords = 1000

// writeJobEnds writes the end of jobs whose tasks are all done, and removes the records of
// cancelled jobs whose tasks are all gone.
func (p *persistence) writeJobEnds() {
	var endedJobs, cancelledDependents []*job
	for _, j := range p.controller.shardLeader.jobs {
		if !j.ending && j.cancelDerived {
			cancelledDependents = append(cancelledDependents, j)
		} else if !j.ending && (j.cancelled && j.liveTasks == 0 || !j.cancelled && j.doneTasks == len(j.tasks)) {
			endedJobs = append(endedJobs, j)
		}
	}
	byName := func(a, b *job) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(endedJobs, byName)
	for len(endedJobs) > 0 && p.txnsInFlight < maxSegmentTxns+2 && p.controller.rateLimits.writesAllowed() > 0 {
		endedJobs = p.writeEndBatch(endedJobs)
	}
	if len(cancelledDependents) > 0 && p.txnsInFlight == 0 && !p.controller.rateLimits.shortOfWrites() {
		// Every controller knows that they are cancelled; only their records have to go.
		slices.SortFunc(cancelledDependents, byName)
		p.writeEndBatch(cancelledDependents)
	}
	if len(p.orphanedRecords) > 0 && p.txnsInFlight == 0 && (!p.controller.rateLimits.shortOfWrites() || len(p.orphanedRecords) > maxOrphanedRecords) {
		p.deleteOrphanedRecords()
	}
}

// jobEnd is a job whose end is being written: its final record, and the keys of its segments.
// These mean nothing without the job and are deleted when there is time, since writes are
// scarce just when many jobs end and others start.
type jobEnd struct {
	job         *job
	rec         record.JobStatus
	segmentKeys []string
}

// writeEndBatch writes the ends of as many jobs as share a transaction, and returns the others.
func (p *persistence) writeEndBatch(endedJobs []*job) []*job {
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart}
	maxWrites := min(p.settings.MaxTxnWrites, p.controller.rateLimits.writesAllowed())
	var batch []jobEnd
	size := 0
	for len(endedJobs) > 0 {
		j := endedJobs[0]
		end := jobEnd{job: j, rec: p.controller.promises.endRecord(j)}
		var writes []message.Write
		if !j.cancelled || j.cancelDerived {
			writes = append(writes, message.Write{Key: record.JobStatusPrefix + j.ID, Value: record.Encode(end.rec)})
		}
		writes = append(writes, message.Write{Key: record.OpenJobPrefix + j.ID})
		compares := append(p.controller.shardLeader.shardCompares(j.Team), message.Compare{Key: record.OpenJobPrefix + j.ID, ModRevision: j.modRevision})
		for _, w := range writes {
			size += sizelimit.WriteBytes(sizelimit.Write{Key: w.Key, Value: w.Value})
		}
		for _, compare := range compares {
			size += sizelimit.CompareBytes(compare.Key)
		}
		if j.cancelDerived {
			op.Priority = message.PriorityLazy
		}
		if len(batch) > 0 && (len(op.Writes)+len(writes) > maxWrites || size > targetTxnBytes || j.endWriteAlone || batch[0].job.endWriteAlone) {
			break
		}
		for _, compare := range compares {
			if !slices.Contains(op.Compares, compare) {
				op.Compares = append(op.Compares, compare)
			}
		}
		op.Writes = append(op.Writes, writes...)
		end.segmentKeys = slices.Clone(j.formerKeys)
		for _, k := range sortedKeys(j.segments) {
			if seg := j.segments[k]; seg.modRevision != 0 || seg.writeInFlight {
				end.segmentKeys = append(end.segmentKeys, j.segmentKey(seg))
			}
		}
		j.ending = true
		batch, endedJobs = append(batch, end), endedJobs[1:]
	}
	gen := p.controller.shardLeader.generation
	p.writeTxn(op, func(d message.StoreResponse) {
		for _, end := range batch {
			p.controller.handleEndResponse(end, d, gen, len(batch) == 1)
		}
	})
	return endedJobs
}

// handleEndResponse takes in the answer to the transaction with a job's end. gen is the
// generation of the shard leader that sent it; alone: it held no other job's end.
func (c *Controller) handleEndResponse(end jobEnd, d message.StoreResponse, gen int, alone bool) {
	j := end.job
	if d.Status == message.StoreOK && end.rec.Status == model.Done {
		c.frontend.cacheFinalStatus(j.ID, model.Done)
		c.promises.learnFromEnd(j, end.rec)
		c.debug("job done", "job", j.ID, "workload", j.Workload, "age", c.now.Sub(j.submittedAt))
	}
	if c.shardLeader == nil || c.shardLeader.generation != gen {
		return
	}
	retry := func() { j.ending = false }
	switch d.Status {
	case message.StoreOK:
		c.shardLeader.persistence.removeEndedJob(j, end.segmentKeys)
	case message.StoreConflict:
		isOthersRecord := func(key string) bool {
			return strings.HasPrefix(key, record.OpenJobPrefix) && key != record.OpenJobPrefix+j.ID
		}
		if !alone && !slices.ContainsFunc(d.FailedKeys, func(key string) bool { return !isOthersRecord(key) }) {
			// Only other jobs of the same transaction have changed.
			retry()
			return
		}
		c.shardLeader.persistence.resolveEndConflict(end, gen)
	case message.StoreMalformed:
		// One of several is at fault: each is written alone, so that the others get through.
		if !alone {
			j.endWriteAlone = true
			retry()
			return
		}
		c.after(malformedRetryDelay, retry)
	default:
		c.after(c.jitter(storeRetryDelay), retry)
	}
}

// resolveEndConflict finds out why the compares of an end failed: an earlier transaction whose
// answer was lost may have been applied.
func (p *persistence) resolveEndConflict(end jobEnd, gen int) {
	j := end.job
	retry := func() { j.ending = false }
	readStatus := message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: record.JobStatusPrefix + j.ID}
	readOpen := message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: record.OpenJobPrefix + j.ID}
	p.controller.requests.toStore(readStatus, func(d message.StoreResponse) {
		var r record.JobStatus
		if d.Status == message.StoreOK && record.Decode(d.KeyValues[0].Value, &r) && r.Status == model.Done {
			p.controller.frontend.cacheFinalStatus(j.ID, model.Done)
			p.controller.promises.cacheDoneDate(j.ID, r)
			if p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen {
				p.controller.shardLeader.persistence.removeEndedJob(j, end.segmentKeys)
			}
			return
		}
		if j.cancelled && d.Status == message.StoreOK {
			p.controller.requests.toStore(readOpen, func(d message.StoreResponse) {
				if d.Status == message.StoreNotFound && p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen {
					p.controller.shardLeader.persistence.removeEndedJob(j, end.segmentKeys)
					return
				}
				p.after(p.jitter(storeRetryDelay), retry)
			})
			return
		}
		p.after(p.jitter(storeRetryDelay), retry)
	})
}

// removeEndedJob drops a job whose end is durable, and leaves its segments to be deleted.
func (p *persistence) removeEndedJob(j *job, segmentKeys []string) {
	p.controller.shardLeader.removeJob(j)
	p.orphanedRecords = append(p.orphanedRecords, segmentKeys...)
}

// deleteOrphanedRecords deletes segments whose job is over. The transaction compares that the
// job's open record is gone: a segment that a list showed may belong to a job that was
// accepted after open/ was listed, and that another controller leads.
func (p *persistence) deleteOrphanedRecords() {
	k := min(len(p.orphanedRecords), maxLazyWrites, p.settings.MaxTxnWrites)
	keys := p.orphanedRecords[:k]
	p.orphanedRecords = slices.Clone(p.orphanedRecords[k:])
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: p.controller.shardLeader.shardCompares("")}
	for _, key := range keys {
		if open := (message.Compare{Key: record.OpenJobPrefix + record.JobIDFromKey(key, record.TaskSegmentPrefix), ModRevision: 0}); !slices.Contains(op.Compares, open) {
			op.Compares = append(op.Compares, open)
		}
		op.Writes = append(op.Writes, message.Write{Key: key})
	}
	gen := p.controller.shardLeader.generation
	p.writeTxn(op, func(d message.StoreResponse) {
		if p.controller.shardLeader == nil || p.controller.shardLeader.generation != gen {
			return
		}
		if d.Status == message.StoreOK || d.Status == message.StoreMalformed {
			return
		}
		keys = slices.DeleteFunc(keys, func(key string) bool {
			return slices.Contains(d.FailedKeys, record.OpenJobPrefix+record.JobIDFromKey(key, record.TaskSegmentPrefix))
		})
		p.after(p.jitter(storeRetryDelay), func() {
			if p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen {
				p.controller.shardLeader.persistence.orphanedRecords = append(p.controller.shardLeader.persistence.orphanedRecords, keys...)
			}
		})
	})
}
