package controller

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// targetTxnBytes is how full a transaction is made, in bytes of JSON, which leaves room for
// what every one has besides.
const targetTxnBytes = sizelimit.MaxTxnBytes * 3 / 4

// segmentWrite is the write of one segment, at the version that it had.
type segmentWrite struct {
	job     *job
	segment *taskSegment
	version uint64
}

// segmentTxn is a transaction of segments while it is put together.
type segmentTxn struct {
	op       message.StoreRequest
	included []segmentWrite
	// size is an estimate, in bytes of JSON.
	size int
	// comparedShards and comparedJobs have what the transaction compares already.
	comparedShards map[string]bool
	comparedJobs   map[string]bool
	// writeAlone: the segment in it shares its transaction with none.
	writeAlone bool
	// comparesRanking: the transaction makes starts durable, and so compares the revision of
	// the ranking under which they were decided.
	comparesRanking bool
	rankingRevision uint64
}

func newSegmentTxn(rankingRevision uint64) *segmentTxn {
	return &segmentTxn{
		op:             message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy},
		comparedShards: map[string]bool{}, comparedJobs: map[string]bool{},
		rankingRevision: rankingRevision,
	}
}

// needsWrite says whether the segment has changes that neither are being written nor were
// refused as malformed.
func (seg *taskSegment) needsWrite() bool {
	return !seg.writeInFlight && seg.version != seg.persistedVersion && seg.version != seg.rejectedVersion
}

// addSegments adds the segments that are due, as long as they fit.
func (p *persistence) addSegments(t *segmentTxn, jobs []*job, maxWrites int, due func(*taskSegment) bool) {
	for _, j := range jobs {
		// The records of a job that is cancelled or done are only deleted; see writeJobEnds.
		if j.ending || j.cancelled || j.doneTasks == len(j.tasks) {
			continue
		}
		for _, k := range sortedKeys(j.segments) {
			seg := j.segments[k]
			if !seg.needsWrite() || len(t.op.Writes) >= maxWrites || !due(seg) || t.writeAlone || seg.writeAlone && len(t.op.Writes) > 0 {
				continue
			}
			if !p.addSegment(t, j, seg) {
				return
			}
		}
	}
}

// addSegment adds one segment with its compares, and says false if the transaction is full:
// what does not fit goes with the next one.
func (p *persistence) addSegment(t *segmentTxn, j *job, seg *taskSegment) bool {
	hasStarts := p.settings.Capabilities.Ranking && j.segmentHasStarts(seg)
	if hasStarts && p.controller.ranking.stale {
		return true
	}
	if hasStarts {
		seg.rankingRevision = t.rankingRevision
	}
	t.writeAlone = seg.writeAlone
	id, value := j.ID, record.Encode(j.segmentRecord(seg))
	compareCount := 1
	var fence []message.Compare
	if hasStarts && !t.comparesRanking {
		compareCount++
	}
	if !t.comparedJobs[id] {
		if fence = p.controller.shardLeader.shardCompares(j.Team); t.comparedShards[fence[0].Key] {
			fence = nil
		}
		compareCount += 1 + len(fence)
	}
	t.size += sizelimit.WriteBytes(sizelimit.Write{Key: j.segmentKey(seg), Value: value}) + compareCount*sizelimit.CompareBytes(record.OpenJobPrefix+id)
	isFull := t.size > targetTxnBytes || len(t.op.Compares)+compareCount > sizelimit.ComparesPerOp*p.settings.MaxTxnWrites
	if isFull && len(t.op.Writes) > 0 {
		return false
	}
	if !t.comparedJobs[id] {
		t.comparedJobs[id] = true
		for _, f := range fence {
			t.comparedShards[f.Key] = true
		}
		t.op.Compares = append(append(t.op.Compares, fence...), message.Compare{Key: record.OpenJobPrefix + id, ModRevision: j.modRevision})
	}
	if hasStarts && !t.comparesRanking {
		t.comparesRanking = true
		t.op.Compares = append(t.op.Compares, message.Compare{Key: record.RankingKey, ModRevision: t.rankingRevision})
	}
	t.op.Compares = append(t.op.Compares, message.Compare{Key: j.segmentKey(seg), ModRevision: seg.modRevision})
	t.op.Writes = append(t.op.Writes, message.Write{Key: j.segmentKey(seg), Value: value})
	if seg.urgent {
		t.op.Priority = message.PriorityStart
	}
	seg.writeInFlight, seg.urgent, seg.inFlightVersion = true, false, seg.version
	t.included = append(t.included, segmentWrite{j, seg, seg.version})
	return true
}
