package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

const (
	// lazyWriteDelay is how long progress that costs only repeated work when lost
	// may wait to share a write, if few others wait as well; lazyWriteFraction is the
	// part of the limit of changes that such writes take when many do, and
	// maxLazyWriteDelay how long they then wait at most.
	lazyWriteDelay    = time.Second
	lazyWriteFraction = 0.2
	maxLazyWriteDelay = 10 * time.Second
	// maxLazyWrites bounds the changes of a write for which no start waits, so that
	// a start that comes next is soon let through.
	maxLazyWrites = 4
	// targetTxnBytes is how full a transaction is made, in bytes of JSON, with room for what
	// every one has.
	targetTxnBytes = sizelimit.MaxTxnBytes * 3 / 4
	// slowTxnThreshold is how long a write takes that the log tells of, at debug.
	slowTxnThreshold = 500 * time.Millisecond
	// maxSegmentTxns bounds the owner's transactions in flight.
	maxSegmentTxns = 3
)

// unpersistedJobs are the jobs with chunks to write, in order.
func (p *persistence) unpersistedJobs() []*job {
	o := p.controller.shardLeader
	var out []*job
	for _, j := range o.jobs {
		if !j.unpersisted {
			continue
		}
		j.unpersisted = false
		for _, c := range j.segments {
			j.unpersisted = j.unpersisted || c.writeInFlight || c.version != c.persistedVersion
		}
		if j.unpersisted {
			out = append(out, j)
		}
	}
	// Starts of urgent work are not to wait behind those of other work.
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(p.controller.ranking.rankOf(a), p.controller.ranking.rankOf(b)), a.submittedAt.Compare(b.submittedAt), strings.Compare(a.ID, b.ID))
	})
	return out
}

// writeShardLeaderRecords writes ends and records of tasks. Either goes first in its turn: after an
// outage hundreds of one wait, and none of the other are to wait for all of them.
func (p *persistence) writeShardLeaderRecords() {
	o := p.controller.shardLeader
	o.persistence.startsFirst = !o.persistence.startsFirst
	if o.persistence.startsFirst {
		p.writeSegments()
	}
	p.writeJobEnds()
	p.writeSegments()
}

// writeSegments writes changed chunks, the urgent ones now and the others with
// them or when they have waited long enough.
func (pp *persistence) writeSegments() {
	o := pp.controller.shardLeader
	jobs := pp.unpersistedJobs()
	// What waits grows with the number of living jobs; the limit of changes
	// does not.
	maxDelay := record.DurationOfSeconds(float64(len(jobs)) / max(1, lazyWriteFraction*pp.settings.StoreWritesPerSecond))
	maxDelay = min(max(maxDelay, lazyWriteDelay), maxLazyWriteDelay)
	crowded := maxDelay > lazyWriteDelay
	for len(jobs) > 0 && o.persistence.txnsInFlight < maxSegmentTxns && pp.controller.rateLimits.writesAllowed() > 0 {
		op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy}
		type part struct {
			j   *job
			c   *taskSegment
			ver uint64
		}
		var included []part
		size := 0
		comparedShards := map[string]bool{}
		writeAlone := false
		// ranked: the write names the ranking, as it makes starts durable.
		comparesRanking, rankingRevision := false, pp.controller.ranking.modRevision
		comparedJobs := map[string]bool{}
		add := func(maxWrites int, due func(*taskSegment) bool) {
			for _, j := range jobs {
				id := j.ID
				// Records of a job that is cancelled or done only go; see writeJobEnds.
				if j.ending || j.cancelled || j.doneTasks == len(j.tasks) {
					continue
				}
				for _, k := range sortedKeys(j.segments) {
					c := j.segments[k]
					if c.writeInFlight || c.version == c.persistedVersion || c.version == c.rejectedVersion || len(op.Writes) >= maxWrites || !due(c) || writeAlone || c.writeAlone && len(op.Writes) > 0 {
						continue
					}
					hasStarts := pp.settings.Capabilities.Ranking && j.segmentHasStarts(c)
					if hasStarts && pp.controller.ranking.stale {
						continue
					}
					if hasStarts {
						c.rankingRevision = rankingRevision
					}
					writeAlone = c.writeAlone
					val := record.Encode(j.segmentRecord(c))
					compareCount := 1
					var fence []message.Compare
					if hasStarts && !comparesRanking {
						compareCount++
					}
					if !comparedJobs[id] {
						if fence = pp.controller.shardLeader.shardCompares(j.Team); comparedShards[fence[0].Key] {
							fence = nil
						}
						compareCount += 1 + len(fence)
					}
					// What does not fit goes with the next write.
					if size += sizelimit.WriteBytes(sizelimit.Write{Key: j.segmentKey(c), Value: val}) + compareCount*sizelimit.CompareBytes(record.OpenJobPrefix+id); size > targetTxnBytes || len(op.Compares)+compareCount > sizelimit.ComparesPerOp*pp.settings.MaxTxnWrites {
						if len(op.Writes) > 0 {
							return
						}
					}
					if !comparedJobs[id] {
						comparedJobs[id] = true
						for _, f := range fence {
							comparedShards[f.Key] = true
						}
						op.Compares = append(append(op.Compares, fence...), message.Compare{Key: record.OpenJobPrefix + id, ModRevision: j.modRevision})
					}
					if hasStarts && !comparesRanking {
						comparesRanking = true
						op.Compares = append(op.Compares, message.Compare{Key: record.RankingKey, ModRevision: rankingRevision})
					}
					op.Compares = append(op.Compares, message.Compare{Key: j.segmentKey(c), ModRevision: c.modRevision})
					op.Writes = append(op.Writes, message.Write{Key: j.segmentKey(c), Value: val})
					if c.urgent {
						op.Priority = message.PriorityStart
					}
					c.writeInFlight, c.urgent, c.inFlightVersion = true, false, c.version
					included = append(included, part{j, c, c.version})
				}
			}
		}
		isOverdue := func(c *taskSegment) bool { return pp.now.Sub(c.changedSince) >= maxDelay }
		maxWrites := min(pp.settings.MaxTxnWrites, pp.controller.rateLimits.writesAllowed())
		switch add(maxWrites, func(c *taskSegment) bool { return c.urgent }); {
		case !crowded:
			add(maxWrites, isOverdue)
			if len(included) > 0 {
				// Progress that is not due yet shares the write.
				add(maxWrites, func(*taskSegment) bool { return true })
			}
		case len(included) == 0 && o.persistence.lazyTxnsInFlight == 0:
			add(min(maxLazyWrites, maxWrites), isOverdue)
		}
		if len(included) == 0 {
			return
		}
		lazy := 0
		if op.Priority == message.PriorityLazy {
			lazy = 1
		}
		o.persistence.lazyTxnsInFlight += lazy
		gen, sentAt := o.generation, pp.now
		pp.controller.rateLimits.writeTxn(op, func(d message.StoreResponse) {
			o := pp.controller.shardLeader
			if o == nil || o.generation != gen {
				return
			}
			o.persistence.lazyTxnsInFlight -= lazy
			switch {
			case comparesRanking && d.Status == message.StoreOK:
				pp.controller.ranking.noteKnown(d.SentAt)
			case comparesRanking && d.Status == message.StoreConflict && slices.Contains(d.FailedKeys, record.RankingKey):
				pp.controller.ranking.noteOutdated(rankingRevision)
			}
			if took := pp.now.Sub(sentAt); took > slowTxnThreshold || d.Status != message.StoreOK {
				pp.debug("slow write", "took", took, "chunks", len(included), "status", d.Status, "lazy", lazy)
			}
			for _, p := range included {
				if o.jobs[p.j.ID] != p.j || p.j.segments[p.c.index] != p.c {
					// Its team is another's now, who reads what stands there, or it is
					// written in another form since.
					continue
				}
				switch d.Status {
				case message.StoreOK:
					p.c.writeInFlight = false
					p.c.modRevision, p.c.persistedVersion = d.Revision, p.ver
					pp.controller.shardLeader.persistence.segmentPersisted(p.j, p.c)
				case message.StoreConflict:
					pp.controller.shardLeader.persistence.resolveSegmentConflict(p.j, p.c, d.FailedKeys)
				case message.StoreRefused:
					pp.controller.shardLeader.persistence.retrySegment(p.j, p.c)
				case message.StoreUnknown:
					// Perhaps applied, perhaps later: read what stands there.
					pp.controller.shardLeader.persistence.reReadSegment(p.j, p.c)
				default:
					// As it is it would be refused again: each by itself, to find out
					// which it is. What was to start with that does not, and the rest
					// goes on.
					if len(included) > 1 {
						p.c.writeInFlight, p.c.urgent, p.c.writeAlone = false, true, true
					} else {
						pp.controller.shardLeader.persistence.deferMalformedSegment(p.j, p.c, p.ver)
					}
				}
			}
		})
	}
}

// deferMalformedSegment deals with a record that the state service calls malformed: tasks in it that were not begun are taken off their machines, and
// only when something of it changes is it written once more.
func (p *persistence) deferMalformedSegment(j *job, c *taskSegment, ver uint64) {
	p.info("a record is malformed", "job", j.ID, "chunk", c.index)
	c.writeInFlight, c.urgent, c.writeAlone = false, false, false
	c.rejectedVersion = c.version
	p.controller.membership.formats.probeValueLimit()
	for i := c.index * j.tasksPerSegment; i < min((c.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && !t.startSent && t.version <= ver {
			t.notBefore = p.now.Add(malformedRetryDelay)
			p.controller.shardLeader.endAttempt(j, i, false)
		}
	}
}

// malformedRetryDelay is how long tasks wait whose record was malformed.
const malformedRetryDelay = 30 * time.Second

func (p *persistence) retrySegment(j *job, c *taskSegment) {
	c.urgent = true
	p.after(p.jitter(storeRetryDelay), func() { c.writeInFlight = false })
}

// resolveSegmentConflict deals with a write whose conditions failed. If the share or the job
// changed, the watches tell the rest; if the chunk did, it was an earlier
// write of our own, applied late, and all it holds is still meant.
func (p *persistence) resolveSegmentConflict(j *job, c *taskSegment, failed []string) {
	switch {
	case slices.ContainsFunc(failed, func(k string) bool { return strings.HasPrefix(k, record.ShardPrefix) }), slices.Contains(failed, record.OpenJobPrefix+j.ID):
		p.retrySegment(j, c)
	case slices.Contains(failed, j.segmentKey(c)):
		p.reReadSegment(j, c)
	default:
		// Another job of the same write was cancelled or is over.
		c.urgent, c.writeInFlight = true, false
	}
}

func (p *persistence) reReadSegment(j *job, c *taskSegment) {
	gen := p.controller.shardLeader.generation
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: j.segmentKey(c)}, func(d message.StoreResponse) {
		if p.controller.shardLeader == nil || p.controller.shardLeader.generation != gen || p.controller.shardLeader.jobs[j.ID] != j || j.segments[c.index] != c {
			return
		}
		switch d.Status {
		case message.StoreOK:
			// Written by this owner: another's write would have needed its own
			// share, whose stamp every write names. Whether it is the newest of
			// our writes is not told, so write again on top of it.
			c.modRevision, c.writeInFlight, c.urgent = d.KeyValues[0].ModRevision, false, true
		case message.StoreNotFound:
			c.modRevision = 0
			p.controller.shardLeader.persistence.retrySegment(j, c)
		default:
			p.after(p.jitter(storeRetryDelay), func() {
				if p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen && j.segments[c.index] == c {
					p.controller.shardLeader.persistence.reReadSegment(j, c)
				}
			})
		}
	})
}

// segmentPersisted sends what waited for the write: starts.
func (p *persistence) segmentPersisted(j *job, c *taskSegment) {
	for i := c.index * j.tasksPerSegment; i < min((c.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && (!t.startSent || t.stopReason != stopNone) {
			p.controller.markDispatchPending(t.machine)
		}
	}
}

// persistence TODO.
type persistence struct {
	component

	// txnsInFlight counts the writes under way, and ahead their changes.
	txnsInFlight   int
	writesInFlight int
	// startsFirst: of what is to be written starts went before ends last time.
	startsFirst bool
	// lazyTxnsInFlight counts the writes under way for which no start waits.
	lazyTxnsInFlight int
	// persistedAt is when what is to be written was last looked at.
	persistedAt time.Time
	// orphanedRecords are task/ records whose job is over.
	orphanedRecords []string
	// prewarmedImages is what machines held under a former owner; warmed is when a record
	// of that was last written, warming that one is under way, and prewarmedNextMachine
	// and prewarmedNextKey where the next begins.
	prewarmedImages      map[string]map[string]float64
	prewarmedWrittenAt   time.Time
	writingPrewarmed     bool
	prewarmedNextMachine int
	prewarmedNextKey     int
}
