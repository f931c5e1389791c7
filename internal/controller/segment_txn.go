package controller

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// targetTxnBytes is the size, in bytes of JSON, up to which a transaction is filled. The remaining
// quarter is reserved for the fields that every transaction has in addition to compares and writes.
const targetTxnBytes = sizelimit.MaxTxnBytes * 3 / 4

// segmentWrite is the write of one segment in a transaction, with the version that is written.
type segmentWrite struct {
	job     *job
	segment *taskSegment
	version uint64
}

// segmentTxn is a transaction of segments that is being built.
type segmentTxn struct {
	op       message.StoreRequest
	included []segmentWrite
	// size estimates the size of the transaction, in bytes of JSON.
	size int
	// comparedShards and comparedJobs contain the keys of the shard records and the IDs of the jobs
	// that the transaction already compares.
	comparedShards map[string]bool
	comparedJobs   map[string]bool
	// writeAlone: the transaction contains a segment that must not share it with other segments.
	writeAlone bool
	// comparesRanking: the transaction makes starts durable, so it compares rankingRevision, the
	// revision of the ranking under which the starts were decided.
	comparesRanking bool
	rankingRevision uint64
}

// newSegmentTxn returns an empty transaction for starts that were decided under a ranking revision.
func newSegmentTxn(rankingRevision uint64) *segmentTxn {
	return &segmentTxn{
		op:             message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy},
		comparedShards: map[string]bool{}, comparedJobs: map[string]bool{},
		rankingRevision: rankingRevision,
	}
}

// needsWrite reports whether the segment has changes to write, no write of it is in flight, and the
// store has not rejected its current version as malformed.
func (segment *taskSegment) needsWrite() bool {
	return !segment.writeInFlight && segment.version != segment.persistedVersion && segment.version != segment.rejectedVersion
}

// addSegments adds those segments of the jobs to the transaction for which due is true, until the
// transaction is full or has maxWrites writes.
func (persistence *persistence) addSegments(txn *segmentTxn, jobs []*job, maxWrites int, due func(*taskSegment) bool) {
	for _, j := range jobs {
		// The records of a job that is cancelled or done are only deleted; see writeJobEnds.
		if j.ending || j.cancelled || j.doneTasks == len(j.tasks) {
			continue
		}
		for _, index := range sortedKeys(j.segments) {
			seg := j.segments[index]
			if !seg.needsWrite() || len(txn.op.Writes) >= maxWrites || !due(seg) || txn.writeAlone || seg.writeAlone && len(txn.op.Writes) > 0 {
				continue
			}
			if !persistence.addSegment(txn, j, seg) {
				return
			}
		}
	}
}

// addSegment adds one segment with its compares to the transaction. It returns false if the
// transaction is full; the segment then goes into the next transaction. A segment with starts is
// skipped while the known ranking is outdated.
func (persistence *persistence) addSegment(txn *segmentTxn, j *job, seg *taskSegment) bool {
	hasStarts := persistence.settings.Capabilities.Ranking && j.segmentHasStarts(seg)
	if hasStarts && persistence.controller.ranking.stale {
		return true
	}
	if hasStarts {
		seg.rankingRevision = txn.rankingRevision
	}
	txn.writeAlone = seg.writeAlone
	id, value := j.ID, record.Encode(j.segmentRecord(seg))
	compareCount := 1
	var fence []message.Compare
	if hasStarts && !txn.comparesRanking {
		compareCount++
	}
	if !txn.comparedJobs[id] {
		if fence = persistence.controller.shardLeader.shardCompares(j.Team); txn.comparedShards[fence[0].Key] {
			fence = nil
		}
		compareCount += 1 + len(fence)
	}
	txn.size += sizelimit.WriteBytes(sizelimit.Write{Key: j.segmentKey(seg), Value: value}) + compareCount*sizelimit.CompareBytes(record.OpenJobPrefix+id)
	isFull := txn.size > targetTxnBytes || len(txn.op.Compares)+compareCount > sizelimit.ComparesPerOp*persistence.settings.MaxTxnWrites
	if isFull && len(txn.op.Writes) > 0 {
		return false
	}
	if !txn.comparedJobs[id] {
		txn.comparedJobs[id] = true
		for _, compare := range fence {
			txn.comparedShards[compare.Key] = true
		}
		txn.op.Compares = append(append(txn.op.Compares, fence...), message.Compare{Key: record.OpenJobPrefix + id, ModRevision: j.modRevision})
	}
	if hasStarts && !txn.comparesRanking {
		txn.comparesRanking = true
		txn.op.Compares = append(txn.op.Compares, message.Compare{Key: record.RankingKey, ModRevision: txn.rankingRevision})
	}
	txn.op.Compares = append(txn.op.Compares, message.Compare{Key: j.segmentKey(seg), ModRevision: seg.modRevision})
	txn.op.Writes = append(txn.op.Writes, message.Write{Key: j.segmentKey(seg), Value: value})
	if seg.urgent {
		txn.op.Priority = message.PriorityStart
	}
	seg.writeInFlight, seg.urgent, seg.inFlightVersion = true, false, seg.version
	txn.included = append(txn.included, segmentWrite{j, seg, seg.version})
	return true
}
