package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// Limits of the writes of task records.
const (
	// lazyWriteDelay is how long a lazy write may wait in order to share a transaction, if
	// few jobs have changes to write. A lazy write holds progress whose loss only causes
	// work to be repeated. If many jobs have changes, lazy writes take
	// lazyWriteFraction of the store's write rate and wait for at most
	// maxLazyWriteDelay.
	lazyWriteDelay    = time.Second
	lazyWriteFraction = 0.2
	maxLazyWriteDelay = 10 * time.Second
	// maxLazyWrites bounds the writes of a transaction for which no start waits, so that
	// the next start is not delayed for long.
	maxLazyWrites = 4
	// slowTxnThreshold is the duration above which a transaction is logged as slow, at
	// level debug.
	slowTxnThreshold = 500 * time.Millisecond
	// maxSegmentTxns bounds the shard leader's transactions in flight.
	maxSegmentTxns = 3
	// malformedRetryDelay is how long tasks and ends of jobs wait after the store has
	// rejected their record as malformed.
	malformedRetryDelay = 30 * time.Second
)

// persistence writes the records of a shard leader: task segments, the ends of jobs and
// prewarmed images. It also deletes segments whose job is over.
//
// It is part of a shardLeader, and its methods are called only while that shardLeader
// leads. Callbacks of the store look up the current shard leader and compare its
// generation before they change any state. The state of persistence is lost at failover.
// The next shard leader reads the records from the store, which also show whether a write
// whose response was lost has been applied.
//
// Invariant: a segment has at most one write in flight, and every write compares the
// shard's record, the job's open record and the segment's own revision.
type persistence struct {
	component

	// txnsInFlight counts the transactions in flight, and writesInFlight the writes in them.
	// lazyTxnsInFlight counts those transactions for which no start waits.
	txnsInFlight     int
	writesInFlight   int
	lazyTxnsInFlight int

	// startsFirst says whether starts were written before ends the last time. It alternates.
	startsFirst bool
	// persistedAt is when the jobs were last searched for changes to write. Zero means that
	// they are to be searched at once.
	persistedAt time.Time

	// orphanedRecords are the keys of segment records whose job is over.
	orphanedRecords []string

	// prewarmedImages lists the images that machines held under a former shard leader: the
	// size in GB by machine and image.
	prewarmedImages map[string]map[string]float64
	// This shard leader writes its prewarmed records one after the other.
	// prewarmedWrittenAt is when the last one was sent, and writingPrewarmed says whether one
	// is in flight. The next one begins with prewarmedNextMachine and prewarmedNextKey.
	prewarmedWrittenAt   time.Time
	writingPrewarmed     bool
	prewarmedNextMachine int
	prewarmedNextKey     int
}

// unpersistedJobs returns the jobs with segments to write, the highest-ranked first.
func (persistence *persistence) unpersistedJobs() []*job {
	var unpersisted []*job
	for _, j := range persistence.controller.shardLeader.jobs {
		if !j.unpersisted {
			continue
		}
		j.unpersisted = false
		for _, seg := range j.segments {
			j.unpersisted = j.unpersisted || seg.writeInFlight || seg.version != seg.persistedVersion
		}
		if j.unpersisted {
			unpersisted = append(unpersisted, j)
		}
	}
	// Starts of high-ranked jobs do not wait for those of other jobs.
	ranking := &persistence.controller.ranking
	slices.SortFunc(unpersisted, func(a, b *job) int {
		return cmp.Or(cmp.Compare(ranking.rankOf(a), ranking.rankOf(b)), a.submittedAt.Compare(b.submittedAt), strings.Compare(a.ID, b.ID))
	})
	return unpersisted
}

// writeShardLeaderRecords writes the ends of jobs and segments, and alternates which of the
// two goes first. After an outage of the store, hundreds of writes of one kind may wait, and
// writes of the other kind must not wait for all of them.
func (persistence *persistence) writeShardLeaderRecords() {
	persistence.startsFirst = !persistence.startsFirst
	if persistence.startsFirst {
		persistence.writeSegments()
	}
	persistence.writeJobEnds()
	persistence.writeSegments()
}

// writeSegments writes changed segments. It writes urgent segments at once, and the others
// together with urgent ones or when they have waited for the delay of lazy writes.
func (persistence *persistence) writeSegments() {
	jobs := persistence.unpersistedJobs()
	maxDelay := persistence.lazyDelay(len(jobs))
	for len(jobs) > 0 && persistence.txnsInFlight < maxSegmentTxns && persistence.controller.rateLimits.writesAllowed() > 0 {
		txn := persistence.collectSegments(jobs, maxDelay)
		if len(txn.included) == 0 {
			return
		}
		persistence.sendSegments(txn)
	}
}

// lazyDelay returns how long a lazy write may wait. The delay grows with the number of jobs
// that have changes, since the store's write rate does not.
func (persistence *persistence) lazyDelay(jobs int) time.Duration {
	delay := record.DurationOfSeconds(float64(jobs) / max(1, lazyWriteFraction*persistence.settings.StoreWritesPerSecond))
	return min(max(delay, lazyWriteDelay), maxLazyWriteDelay)
}

// collectSegments builds the next transaction from changed segments.
func (persistence *persistence) collectSegments(jobs []*job, maxDelay time.Duration) *segmentTxn {
	txn := newSegmentTxn(persistence.controller.ranking.modRevision)
	maxWrites := min(persistence.settings.MaxTxnWrites, persistence.controller.rateLimits.writesAllowed())
	isOverdue := func(seg *taskSegment) bool { return persistence.now.Sub(seg.changedSince) >= maxDelay }
	crowded := maxDelay > lazyWriteDelay
	persistence.addSegments(txn, jobs, maxWrites, func(seg *taskSegment) bool { return seg.urgent })
	switch {
	case !crowded:
		persistence.addSegments(txn, jobs, maxWrites, isOverdue)
		if len(txn.included) > 0 {
			// Lazy writes that are not due yet share the transaction.
			persistence.addSegments(txn, jobs, maxWrites, func(*taskSegment) bool { return true })
		}
	case len(txn.included) == 0 && persistence.lazyTxnsInFlight == 0:
		persistence.addSegments(txn, jobs, min(maxLazyWrites, maxWrites), isOverdue)
	}
	return txn
}

// sendSegments sends a transaction of segments and applies the store's response to them.
func (persistence *persistence) sendSegments(txn *segmentTxn) {
	lazy := 0
	if txn.op.Priority == message.PriorityLazy {
		lazy = 1
	}
	persistence.lazyTxnsInFlight += lazy
	generation, sentAt := persistence.controller.shardLeader.generation, persistence.now
	persistence.writeTxn(txn.op, func(response message.StoreResponse) {
		leader := persistence.controller.shardLeader
		if leader == nil || leader.generation != generation {
			return
		}
		leader.persistence.lazyTxnsInFlight -= lazy
		leader.persistence.noteRankingResponse(txn, response)
		if took := persistence.now.Sub(sentAt); took > slowTxnThreshold || response.Status != message.StoreOK {
			persistence.debug("store write slow", "took", took, "segments", len(txn.included), "status", response.Status, "lazy", lazy)
		}
		for _, write := range txn.included {
			leader.persistence.applySegmentResponse(write, response, len(txn.included) == 1)
		}
	})
}

// noteRankingResponse tells the ranking whether a transaction that compared the ranking's
// revision found it current or outdated.
func (persistence *persistence) noteRankingResponse(txn *segmentTxn, response message.StoreResponse) {
	switch {
	case txn.comparesRanking && response.Status == message.StoreOK:
		persistence.controller.ranking.noteKnownAsOf(response.SentAt)
	case txn.comparesRanking && response.Status == message.StoreConflict && slices.Contains(response.FailedKeys, record.RankingKey):
		persistence.controller.ranking.noteOutdated(txn.rankingRevision)
	}
}

// applySegmentResponse processes the store's response for one segment of a transaction.
// alone says that the transaction contained no other segment.
func (persistence *persistence) applySegmentResponse(write segmentWrite, response message.StoreResponse, alone bool) {
	if persistence.controller.shardLeader.jobs[write.job.ID] != write.job || write.job.segments[write.segment.index] != write.segment {
		// The team has moved to another shard leader, which reads the record from the store,
		// or the segment has been replaced by one in another format.
		return
	}
	switch response.Status {
	case message.StoreOK:
		write.segment.writeInFlight = false
		write.segment.modRevision, write.segment.persistedVersion = response.Revision, write.version
		persistence.segmentPersisted(write.job, write.segment)
	case message.StoreConflict:
		persistence.resolveSegmentConflict(write.job, write.segment, response.FailedKeys)
	case message.StoreRefused:
		persistence.retrySegment(write.job, write.segment)
	case message.StoreUnknown:
		// The write may have been applied or may be applied later: read the stored record.
		persistence.reReadSegment(write.job, write.segment)
	default:
		// The store would reject the same transaction again. Each segment is written alone to
		// find the malformed one. The tasks of that segment do not start; those of the other
		// segments do.
		if !alone {
			write.segment.writeInFlight, write.segment.urgent, write.segment.writeAlone = false, true, true
		} else {
			persistence.deferMalformedSegment(write.job, write.segment, write.version)
		}
	}
}

// writeTxn sends a transaction of the shard leader and counts it as in flight until the
// response arrives.
func (persistence *persistence) writeTxn(txn message.StoreRequest, callback func(message.StoreResponse)) {
	writes := len(txn.Writes)
	persistence.txnsInFlight++
	persistence.writesInFlight += writes
	persistence.controller.requests.toStore(txn, func(response message.StoreResponse) {
		persistence.txnsInFlight--
		persistence.writesInFlight -= writes
		callback(response)
	})
}

// deferMalformedSegment handles a segment that the store rejected as malformed. rejected is
// the version that was written. Tasks of the segment whose start was not sent are removed from
// their machines and queued again. The segment is written again only after another change.
func (persistence *persistence) deferMalformedSegment(j *job, seg *taskSegment, rejected uint64) {
	persistence.info("task record rejected as malformed", "job", j.ID, "segment", seg.index)
	seg.writeInFlight, seg.urgent, seg.writeAlone = false, false, false
	seg.rejectedVersion = seg.version
	persistence.controller.membership.formats.probeValueLimit()
	for i := seg.index * j.tasksPerSegment; i < min((seg.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && !t.startSent && t.version <= rejected {
			t.notBefore = persistence.now.Add(malformedRetryDelay)
			persistence.controller.shardLeader.endAttempt(j, i, false)
		}
	}
}

// retrySegment writes a segment again after storeRetryDelay.
func (persistence *persistence) retrySegment(j *job, seg *taskSegment) {
	seg.urgent = true
	persistence.after(persistence.jitter(storeRetryDelay), func() { seg.writeInFlight = false })
}

// resolveSegmentConflict handles a segment whose transaction failed with a conflict;
// failedKeys are the keys whose compares failed. If the shard's record or the job's changed, the
// watches report the change. If the segment itself changed, an earlier write of this shard
// leader was applied late, and the record that it wrote is still valid.
func (persistence *persistence) resolveSegmentConflict(j *job, seg *taskSegment, failedKeys []string) {
	switch {
	case slices.ContainsFunc(failedKeys, func(k string) bool { return strings.HasPrefix(k, record.ShardPrefix) }), slices.Contains(failedKeys, record.OpenJobPrefix+j.ID):
		persistence.retrySegment(j, seg)
	case slices.Contains(failedKeys, j.segmentKey(seg)):
		persistence.reReadSegment(j, seg)
	default:
		// Another job in the same transaction was cancelled or is over.
		seg.urgent, seg.writeInFlight = true, false
	}
}

// reReadSegment reads a segment's record after a write of unknown outcome, and has the
// segment written again.
func (persistence *persistence) reReadSegment(j *job, seg *taskSegment) {
	generation := persistence.controller.shardLeader.generation
	persistence.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: j.segmentKey(seg)}, func(response message.StoreResponse) {
		if persistence.controller.shardLeader == nil || persistence.controller.shardLeader.generation != generation || persistence.controller.shardLeader.jobs[j.ID] != j || j.segments[seg.index] != seg {
			return
		}
		switch response.Status {
		case message.StoreOK:
			// This shard leader wrote the record: a write of another shard leader would
			// have changed the shard's record, whose revision every transaction
			// compares. The record may not be this shard leader's latest write, so the
			// segment is written again, on the condition of the revision read here.
			seg.modRevision, seg.writeInFlight, seg.urgent = response.KeyValues[0].ModRevision, false, true
		case message.StoreNotFound:
			seg.modRevision = 0
			persistence.controller.shardLeader.persistence.retrySegment(j, seg)
		default:
			persistence.after(persistence.jitter(storeRetryDelay), func() {
				if persistence.controller.shardLeader != nil && persistence.controller.shardLeader.generation == generation && j.segments[seg.index] == seg {
					persistence.controller.shardLeader.persistence.reReadSegment(j, seg)
				}
			})
		}
	})
}

// segmentPersisted schedules the dispatch of commands that waited for the segment to be
// durable.
func (persistence *persistence) segmentPersisted(j *job, seg *taskSegment) {
	for i := seg.index * j.tasksPerSegment; i < min((seg.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && (!t.startSent || t.stopReason != stopNone) {
			persistence.controller.markDispatchPending(t.machine)
		}
	}
}
