package controller

import (
	"slices"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// maxOrphanedRecords bounds the records of tasks of ended jobs that are kept while changes are
// short: they are two pages for a successor to read.
const maxOrphanedRecords = 1000

// writeJobEnds writes the end of jobs whose tasks are all done, and clears away
// cancelled ones whose tasks are all gone.
func (p *persistence) writeJobEnds() {
	o := p.controller.shardLeader
	var endedJobs, cancelledDependents []*job
	for _, j := range o.jobs {
		if !j.ending && j.cancelDerived {
			cancelledDependents = append(cancelledDependents, j)
		} else if !j.ending && (j.cancelled && j.liveTasks == 0 || !j.cancelled && j.doneTasks == len(j.tasks)) {
			endedJobs = append(endedJobs, j)
		}
	}
	byName := func(a, b *job) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(endedJobs, byName)
	for len(endedJobs) > 0 && o.persistence.txnsInFlight < maxSegmentTxns+2 && p.controller.rateLimits.writesAllowed() > 0 {
		endedJobs = p.writeEndBatch(endedJobs)
	}
	if len(cancelledDependents) > 0 && o.persistence.txnsInFlight == 0 && !p.controller.rateLimits.shortOfWrites() {
		// That they are cancelled is known without; it is only that they leave the books.
		slices.SortFunc(cancelledDependents, byName)
		p.writeEndBatch(cancelledDependents)
	}
	if len(o.persistence.orphanedRecords) > 0 && o.persistence.txnsInFlight == 0 && (!p.controller.rateLimits.shortOfWrites() || len(o.persistence.orphanedRecords) > maxOrphanedRecords) {
		p.deleteOrphanedRecords()
	}
}

// jobEnd is a job whose end is being written: its record, and the records of its tasks,
// which mean nothing without it and go when there is time: changes are short just when
// many jobs end and others start.
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
		e := jobEnd{job: j, rec: p.controller.promises.endRecord(j)}
		var writes []message.Write
		if !j.cancelled || j.cancelDerived {
			writes = append(writes, message.Write{Key: record.JobStatusPrefix + j.ID, Value: record.Encode(e.rec)})
		}
		writes = append(writes, message.Write{Key: record.OpenJobPrefix + j.ID})
		compares := append(p.controller.shardLeader.shardCompares(j.Team), message.Compare{Key: record.OpenJobPrefix + j.ID, ModRevision: j.modRevision})
		for _, a := range writes {
			size += sizelimit.WriteBytes(sizelimit.Write{Key: a.Key, Value: a.Value})
		}
		for _, c := range compares {
			size += sizelimit.CompareBytes(c.Key)
		}
		if j.cancelDerived {
			op.Priority = message.PriorityLazy
		}
		if len(batch) > 0 && (len(op.Writes)+len(writes) > maxWrites || size > targetTxnBytes || j.endWriteAlone || batch[0].job.endWriteAlone) {
			break
		}
		for _, c := range compares {
			if !slices.Contains(op.Compares, c) {
				op.Compares = append(op.Compares, c)
			}
		}
		op.Writes = append(op.Writes, writes...)
		e.segmentKeys = slices.Clone(j.formerKeys)
		for _, k := range sortedKeys(j.segments) {
			if c := j.segments[k]; c.modRevision != 0 || c.writeInFlight {
				e.segmentKeys = append(e.segmentKeys, j.segmentKey(c))
			}
		}
		j.ending = true
		batch, endedJobs = append(batch, e), endedJobs[1:]
	}
	gen := p.controller.shardLeader.generation
	p.controller.rateLimits.writeTxn(op, func(d message.StoreResponse) {
		for _, e := range batch {
			p.controller.handleEndResponse(e, d, gen, len(batch) == 1)
		}
	})
	return endedJobs
}

// handleEndResponse deals with the answer to the write of a job's end, alone or with others'.
func (c *Controller) handleEndResponse(e jobEnd, d message.StoreResponse, gen int, alone bool) {
	j := e.job
	if d.Status == message.StoreOK && e.rec.Status == model.Done {
		c.frontend.cacheFinalStatus(j.ID, model.Done)
		c.promises.learnFromEnd(j, e.rec)
		c.debug("job done", "job", j.ID, "workload", j.Workload, "age", c.now.Sub(j.submittedAt))
	}
	if c.shardLeader == nil || c.shardLeader.generation != gen {
		return
	}
	retry := func() { j.ending = false }
	switch d.Status {
	case message.StoreOK:
		c.shardLeader.persistence.removeEndedJob(j, e.segmentKeys)
	case message.StoreConflict:
		isOthersRecord := func(key string) bool {
			return strings.HasPrefix(key, record.OpenJobPrefix) && key != record.OpenJobPrefix+j.ID
		}
		if !alone && !slices.ContainsFunc(d.FailedKeys, func(key string) bool { return !isOthersRecord(key) }) {
			// Only others of the same write have changed.
			retry()
			return
		}
		c.shardLeader.persistence.resolveEndConflict(e, gen)
	case message.StoreMalformed:
		// Of several one is at fault, and the others are not to suffer for it.
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

// resolveEndConflict finds out why an end could not be written: an earlier try that got no
// answer may have been carried out.
func (p *persistence) resolveEndConflict(e jobEnd, gen int) {
	j := e.job
	retry := func() { j.ending = false }
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: record.JobStatusPrefix + j.ID}, func(d message.StoreResponse) {
		var r record.JobStatus
		if d.Status == message.StoreOK && record.Decode(d.KeyValues[0].Value, &r) && r.Status == model.Done {
			p.controller.frontend.cacheFinalStatus(j.ID, model.Done)
			p.controller.promises.cacheDoneDate(j.ID, r)
			if p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen {
				p.controller.shardLeader.persistence.removeEndedJob(j, e.segmentKeys)
			}
			return
		}
		if j.cancelled && d.Status == message.StoreOK {
			p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: record.OpenJobPrefix + j.ID}, func(d message.StoreResponse) {
				if d.Status == message.StoreNotFound && p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen {
					p.controller.shardLeader.persistence.removeEndedJob(j, e.segmentKeys)
					return
				}
				p.after(p.jitter(storeRetryDelay), retry)
			})
			return
		}
		p.after(p.jitter(storeRetryDelay), retry)
	})
}

func (p *persistence) removeEndedJob(j *job, segmentKeys []string) {
	o := p.controller.shardLeader
	o.removeJob(j)
	o.persistence.orphanedRecords = append(o.persistence.orphanedRecords, segmentKeys...)
}

// deleteOrphanedRecords removes records of tasks whose job is over. Each removal needs
// that the job's open record is gone: a record that a list showed may belong to
// a job that came after open/ was listed, and that another controller runs.
func (p *persistence) deleteOrphanedRecords() {
	o := p.controller.shardLeader
	k := min(len(o.persistence.orphanedRecords), maxLazyWrites, p.settings.MaxTxnWrites)
	keys := o.persistence.orphanedRecords[:k]
	o.persistence.orphanedRecords = slices.Clone(o.persistence.orphanedRecords[k:])
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: p.controller.shardLeader.shardCompares("")}
	for _, key := range keys {
		if open := (message.Compare{Key: record.OpenJobPrefix + record.JobIDFromKey(key, record.TaskSegmentPrefix), ModRevision: 0}); !slices.Contains(op.Compares, open) {
			op.Compares = append(op.Compares, open)
		}
		op.Writes = append(op.Writes, message.Write{Key: key})
	}
	gen := o.generation
	p.controller.rateLimits.writeTxn(op, func(d message.StoreResponse) {
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
