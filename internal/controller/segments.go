package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

const (
	// lazyWriteDelay is how long progress that costs only repeated work when lost may
	// wait to share a transaction, if little else waits. With more waiting, such writes
	// take lazyWriteFraction of the store's limit of writes and wait maxLazyWriteDelay
	// at most.
	lazyWriteDelay    = time.Second
	lazyWriteFraction = 0.2
	maxLazyWriteDelay = 10 * time.Second
	// maxLazyWrites bounds the writes of a transaction for which no start waits, so that
	// a start that comes next is soon let through.
	maxLazyWrites = 4
	// slowTxnThreshold is from when on a transaction is logged as slow, at debug.
	slowTxnThreshold = 500 * time.Millisecond
	// maxSegmentTxns bounds the shard leader's transactions in flight.
	maxSegmentTxns = 3
	// malformedRetryDelay is how long tasks wait after their record was refused as malformed.
	malformedRetryDelay = 30 * time.Second
)

// persistence writes the records of a shard leader: task record segments, the ends of
// jobs, the removal of records that have lost their job, and prewarmed images.
//
// It is part of a shardLeader and its methods are called only while that one leads.
// Callbacks of the store look up the current shard leader and compare its generation
// before they touch anything. At failover the state here is lost; the successor reads
// the records and, where an answer was lost, finds out by reading again.
//
// Invariant: a segment has at most one write in flight, and every write compares the
// shard's record, the job's open record and the segment's own revision.
type persistence struct {
	component

	// Transactions in flight, the writes in them, and how many of the transactions no
	// start waits for.
	txnsInFlight     int
	writesInFlight   int
	lazyTxnsInFlight int

	// startsFirst alternates: whether starts went before ends the last time.
	startsFirst bool
	// persistedAt is when jobs were last searched for something to write. Zero: at once.
	persistedAt time.Time

	// orphanedRecords are the keys of task record segments whose job is over.
	orphanedRecords []string

	// prewarmedImages is what machines held under a former shard leader: size in GB by
	// machine and image.
	prewarmedImages map[string]map[string]float64
	// The prewarmed records that this shard leader writes in turn: when the last one was
	// sent, whether one is in flight, and with which machine and key the next begins.
	prewarmedWrittenAt   time.Time
	writingPrewarmed     bool
	prewarmedNextMachine int
	prewarmedNextKey     int
}

// unpersistedJobs are the jobs with segments to write, most important first.
func (p *persistence) unpersistedJobs() []*job {
	var out []*job
	for _, j := range p.controller.shardLeader.jobs {
		if !j.unpersisted {
			continue
		}
		j.unpersisted = false
		for _, seg := range j.segments {
			j.unpersisted = j.unpersisted || seg.writeInFlight || seg.version != seg.persistedVersion
		}
		if j.unpersisted {
			out = append(out, j)
		}
	}
	// Starts of urgent work do not wait behind those of other work.
	ranking := &p.controller.ranking
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(ranking.rankOf(a), ranking.rankOf(b)), a.submittedAt.Compare(b.submittedAt), strings.Compare(a.ID, b.ID))
	})
	return out
}

// writeShardLeaderRecords writes ends and segments, taking turns at which goes first:
// after an outage hundreds of one kind wait, and the other must not wait for all of them.
func (p *persistence) writeShardLeaderRecords() {
	p.startsFirst = !p.startsFirst
	if p.startsFirst {
		p.writeSegments()
	}
	p.writeJobEnds()
	p.writeSegments()
}

// writeSegments writes changed segments: urgent ones now, the others with them or when
// they have waited long enough.
func (p *persistence) writeSegments() {
	jobs := p.unpersistedJobs()
	maxDelay := p.lazyDelay(len(jobs))
	for len(jobs) > 0 && p.txnsInFlight < maxSegmentTxns && p.controller.rateLimits.writesAllowed() > 0 {
		t := p.collectSegments(jobs, maxDelay)
		if len(t.included) == 0 {
			return
		}
		p.sendSegments(t)
	}
}

// lazyDelay is how long progress may wait for its write. What waits grows with the number
// of open jobs; the limit of writes does not.
func (p *persistence) lazyDelay(jobs int) time.Duration {
	delay := record.DurationOfSeconds(float64(jobs) / max(1, lazyWriteFraction*p.settings.StoreWritesPerSecond))
	return min(max(delay, lazyWriteDelay), maxLazyWriteDelay)
}

// collectSegments puts the next transaction together.
func (p *persistence) collectSegments(jobs []*job, maxDelay time.Duration) *segmentTxn {
	t := newSegmentTxn(p.controller.ranking.modRevision)
	maxWrites := min(p.settings.MaxTxnWrites, p.controller.rateLimits.writesAllowed())
	isOverdue := func(seg *taskSegment) bool { return p.now.Sub(seg.changedSince) >= maxDelay }
	crowded := maxDelay > lazyWriteDelay
	p.addSegments(t, jobs, maxWrites, func(seg *taskSegment) bool { return seg.urgent })
	switch {
	case !crowded:
		p.addSegments(t, jobs, maxWrites, isOverdue)
		if len(t.included) > 0 {
			// Progress that is not due yet shares the transaction.
			p.addSegments(t, jobs, maxWrites, func(*taskSegment) bool { return true })
		}
	case len(t.included) == 0 && p.lazyTxnsInFlight == 0:
		p.addSegments(t, jobs, min(maxLazyWrites, maxWrites), isOverdue)
	}
	return t
}

// sendSegments sends a transaction of segments.
func (p *persistence) sendSegments(t *segmentTxn) {
	lazy := 0
	if t.op.Priority == message.PriorityLazy {
		lazy = 1
	}
	p.lazyTxnsInFlight += lazy
	gen, sentAt := p.controller.shardLeader.generation, p.now
	p.writeTxn(t.op, func(d message.StoreResponse) {
		s := p.controller.shardLeader
		if s == nil || s.generation != gen {
			return
		}
		s.persistence.lazyTxnsInFlight -= lazy
		s.persistence.noteRankingResponse(t, d)
		if took := p.now.Sub(sentAt); took > slowTxnThreshold || d.Status != message.StoreOK {
			p.debug("store write slow", "took", took, "segments", len(t.included), "status", d.Status, "lazy", lazy)
		}
		for _, w := range t.included {
			s.persistence.applySegmentResponse(w, d, len(t.included) == 1)
		}
	})
}

// noteRankingResponse passes on what a transaction that compared the ranking says of it.
func (p *persistence) noteRankingResponse(t *segmentTxn, d message.StoreResponse) {
	switch {
	case t.comparesRanking && d.Status == message.StoreOK:
		p.controller.ranking.noteKnown(d.SentAt)
	case t.comparesRanking && d.Status == message.StoreConflict && slices.Contains(d.FailedKeys, record.RankingKey):
		p.controller.ranking.noteOutdated(t.rankingRevision)
	}
}

// applySegmentResponse takes in the answer for one segment of a transaction.
func (p *persistence) applySegmentResponse(w segmentWrite, d message.StoreResponse, alone bool) {
	if p.controller.shardLeader.jobs[w.job.ID] != w.job || w.job.segments[w.segment.index] != w.segment {
		// Its team has another shard leader now, who reads what the store has, or it has
		// been written in another format since.
		return
	}
	switch d.Status {
	case message.StoreOK:
		w.segment.writeInFlight = false
		w.segment.modRevision, w.segment.persistedVersion = d.Revision, w.version
		p.segmentPersisted(w.job, w.segment)
	case message.StoreConflict:
		p.resolveSegmentConflict(w.job, w.segment, d.FailedKeys)
	case message.StoreRefused:
		p.retrySegment(w.job, w.segment)
	case message.StoreUnknown:
		// Perhaps applied, perhaps later: read what the store has.
		p.reReadSegment(w.job, w.segment)
	default:
		// Unchanged it would be refused again. Each is written alone, to find out which
		// one is malformed; tasks of that one do not start, and the rest goes on.
		if !alone {
			w.segment.writeInFlight, w.segment.urgent, w.segment.writeAlone = false, true, true
		} else {
			p.deferMalformedSegment(w.job, w.segment, w.version)
		}
	}
}

// writeTxn sends a transaction of the shard leader's and counts it as in flight.
func (p *persistence) writeTxn(op message.StoreRequest, fn func(message.StoreResponse)) {
	writes := len(op.Writes)
	p.txnsInFlight++
	p.writesInFlight += writes
	p.controller.requests.toStore(op, func(d message.StoreResponse) {
		p.txnsInFlight--
		p.writesInFlight -= writes
		fn(d)
	})
}

// deferMalformedSegment deals with a segment that the store calls malformed: tasks in it
// that have not been started are taken off their machines, and the segment is written
// again only when something in it has changed.
func (p *persistence) deferMalformedSegment(j *job, seg *taskSegment, ver uint64) {
	p.info("task record rejected as malformed", "job", j.ID, "segment", seg.index)
	seg.writeInFlight, seg.urgent, seg.writeAlone = false, false, false
	seg.rejectedVersion = seg.version
	p.controller.membership.formats.probeValueLimit()
	for i := seg.index * j.tasksPerSegment; i < min((seg.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && !t.startSent && t.version <= ver {
			t.notBefore = p.now.Add(malformedRetryDelay)
			p.controller.shardLeader.endAttempt(j, i, false)
		}
	}
}

// retrySegment writes a segment again after a pause.
func (p *persistence) retrySegment(j *job, seg *taskSegment) {
	seg.urgent = true
	p.after(p.jitter(storeRetryDelay), func() { seg.writeInFlight = false })
}

// resolveSegmentConflict deals with a transaction whose compares failed. If the shard or
// the job changed, the watches bring the news. If the segment did, an earlier write of
// this shard leader was applied late, and what it holds is still valid.
func (p *persistence) resolveSegmentConflict(j *job, seg *taskSegment, failed []string) {
	switch {
	case slices.ContainsFunc(failed, func(k string) bool { return strings.HasPrefix(k, record.ShardPrefix) }), slices.Contains(failed, record.OpenJobPrefix+j.ID):
		p.retrySegment(j, seg)
	case slices.Contains(failed, j.segmentKey(seg)):
		p.reReadSegment(j, seg)
	default:
		// Another job of the same transaction was cancelled or is over.
		seg.urgent, seg.writeInFlight = true, false
	}
}

// reReadSegment reads a segment of which it is not known whether its write was applied.
func (p *persistence) reReadSegment(j *job, seg *taskSegment) {
	gen := p.controller.shardLeader.generation
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: j.segmentKey(seg)}, func(d message.StoreResponse) {
		if p.controller.shardLeader == nil || p.controller.shardLeader.generation != gen || p.controller.shardLeader.jobs[j.ID] != j || j.segments[seg.index] != seg {
			return
		}
		switch d.Status {
		case message.StoreOK:
			// Written by this shard leader: another's write would have changed the
			// shard's record, whose revision every transaction compares. It may not
			// be the newest of our writes, so write again on top of it.
			seg.modRevision, seg.writeInFlight, seg.urgent = d.KeyValues[0].ModRevision, false, true
		case message.StoreNotFound:
			seg.modRevision = 0
			p.controller.shardLeader.persistence.retrySegment(j, seg)
		default:
			p.after(p.jitter(storeRetryDelay), func() {
				if p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen && j.segments[seg.index] == seg {
					p.controller.shardLeader.persistence.reReadSegment(j, seg)
				}
			})
		}
	})
}

// segmentPersisted has the starts sent that waited for the write.
func (p *persistence) segmentPersisted(j *job, seg *taskSegment) {
	for i := seg.index * j.tasksPerSegment; i < min((seg.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && (!t.startSent || t.stopReason != stopNone) {
			p.controller.markDispatchPending(t.machine)
		}
	}
}
