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
func (n *Controller) unpersistedJobs() []*job {
	o := n.shardLeader
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
		return cmp.Or(cmp.Compare(rankOf(n, a), rankOf(n, b)), a.submittedAt.Compare(b.submittedAt), strings.Compare(a.ID, b.ID))
	})
	return out
}

// writeShardLeaderRecords writes ends and records of tasks. Either goes first in its turn: after an
// outage hundreds of one wait, and none of the other are to wait for all of them.
func (n *Controller) writeShardLeaderRecords() {
	o := n.shardLeader
	o.startsFirst = !o.startsFirst
	if o.startsFirst {
		n.writeSegments()
	}
	n.writeJobEnds()
	n.writeSegments()
}

// writeSegments writes changed chunks, the urgent ones now and the others with
// them or when they have waited long enough.
func (n *Controller) writeSegments() {
	o := n.shardLeader
	jobs := n.unpersistedJobs()
	// What waits grows with the number of living jobs; the limit of changes
	// does not.
	maxDelay := record.DurationOfSeconds(float64(len(jobs)) / max(1, lazyWriteFraction*n.settings.StoreWritesPerSecond))
	maxDelay = min(max(maxDelay, lazyWriteDelay), maxLazyWriteDelay)
	crowded := maxDelay > lazyWriteDelay
	for len(jobs) > 0 && o.txnsInFlight < maxSegmentTxns && n.writesAllowed() > 0 {
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
		comparesRanking, rankingRevision := false, n.ranking.modRevision
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
					hasStarts := n.settings.Capabilities.Ranking && j.segmentHasStarts(c)
					if hasStarts && n.ranking.stale {
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
						if fence = n.shardCompares(j.Team); comparedShards[fence[0].Key] {
							fence = nil
						}
						compareCount += 1 + len(fence)
					}
					// What does not fit goes with the next write.
					if size += sizelimit.WriteBytes(sizelimit.Write{Key: j.segmentKey(c), Value: val}) + compareCount*sizelimit.CompareBytes(record.OpenJobPrefix+id); size > targetTxnBytes || len(op.Compares)+compareCount > sizelimit.ComparesPerOp*n.settings.MaxTxnWrites {
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
		isOverdue := func(c *taskSegment) bool { return n.now.Sub(c.changedSince) >= maxDelay }
		maxWrites := min(n.settings.MaxTxnWrites, n.writesAllowed())
		switch add(maxWrites, func(c *taskSegment) bool { return c.urgent }); {
		case !crowded:
			add(maxWrites, isOverdue)
			if len(included) > 0 {
				// Progress that is not due yet shares the write.
				add(maxWrites, func(*taskSegment) bool { return true })
			}
		case len(included) == 0 && o.lazyTxnsInFlight == 0:
			add(min(maxLazyWrites, maxWrites), isOverdue)
		}
		if len(included) == 0 {
			return
		}
		lazy := 0
		if op.Priority == message.PriorityLazy {
			lazy = 1
		}
		o.lazyTxnsInFlight += lazy
		gen, sentAt := o.generation, n.now
		n.writeTxn(op, func(d message.StoreResponse) {
			o := n.shardLeader
			if o == nil || o.generation != gen {
				return
			}
			o.lazyTxnsInFlight -= lazy
			switch {
			case comparesRanking && d.Status == message.StoreOK:
				noteRankingKnown(n, d.SentAt)
			case comparesRanking && d.Status == message.StoreConflict && slices.Contains(d.FailedKeys, record.RankingKey):
				noteRankingOutdated(n, rankingRevision)
			}
			if took := n.now.Sub(sentAt); took > slowTxnThreshold || d.Status != message.StoreOK {
				n.debug("slow write", "took", took, "chunks", len(included), "status", d.Status, "lazy", lazy)
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
					n.segmentPersisted(p.j, p.c)
				case message.StoreConflict:
					n.resolveSegmentConflict(p.j, p.c, d.FailedKeys)
				case message.StoreRefused:
					n.retrySegment(p.j, p.c)
				case message.StoreUnknown:
					// Perhaps applied, perhaps later: read what stands there.
					n.reReadSegment(p.j, p.c)
				default:
					// As it is it would be refused again: each by itself, to find out
					// which it is. What was to start with that does not, and the rest
					// goes on.
					if len(included) > 1 {
						p.c.writeInFlight, p.c.urgent, p.c.writeAlone = false, true, true
					} else {
						n.deferMalformedSegment(p.j, p.c, p.ver)
					}
				}
			}
		})
	}
}

// deferMalformedSegment deals with a record that the state service calls malformed: tasks in it that were not begun are taken off their machines, and
// only when something of it changes is it written once more.
func (n *Controller) deferMalformedSegment(j *job, c *taskSegment, ver uint64) {
	n.info("a record is malformed", "job", j.ID, "chunk", c.index)
	c.writeInFlight, c.urgent, c.writeAlone = false, false, false
	c.rejectedVersion = c.version
	probeValueLimit(n)
	for i := c.index * j.tasksPerSegment; i < min((c.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && !t.startSent && t.version <= ver {
			t.notBefore = n.now.Add(malformedRetryDelay)
			n.endAttempt(j, i, false)
		}
	}
}

// malformedRetryDelay is how long tasks wait whose record was malformed.
const malformedRetryDelay = 30 * time.Second

func (n *Controller) retrySegment(j *job, c *taskSegment) {
	c.urgent = true
	n.after(n.jitter(storeRetryDelay), func() { c.writeInFlight = false })
}

// resolveSegmentConflict deals with a write whose conditions failed. If the share or the job
// changed, the watches tell the rest; if the chunk did, it was an earlier
// write of our own, applied late, and all it holds is still meant.
func (n *Controller) resolveSegmentConflict(j *job, c *taskSegment, failed []string) {
	switch {
	case slices.ContainsFunc(failed, func(k string) bool { return strings.HasPrefix(k, record.ShardPrefix) }), slices.Contains(failed, record.OpenJobPrefix+j.ID):
		n.retrySegment(j, c)
	case slices.Contains(failed, j.segmentKey(c)):
		n.reReadSegment(j, c)
	default:
		// Another job of the same write was cancelled or is over.
		c.urgent, c.writeInFlight = true, false
	}
}

func (n *Controller) reReadSegment(j *job, c *taskSegment) {
	gen := n.shardLeader.generation
	n.requestStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: j.segmentKey(c)}, func(d message.StoreResponse) {
		if n.shardLeader == nil || n.shardLeader.generation != gen || n.shardLeader.jobs[j.ID] != j || j.segments[c.index] != c {
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
			n.retrySegment(j, c)
		default:
			n.after(n.jitter(storeRetryDelay), func() {
				if n.shardLeader != nil && n.shardLeader.generation == gen && j.segments[c.index] == c {
					n.reReadSegment(j, c)
				}
			})
		}
	})
}

// segmentPersisted sends what waited for the write: starts.
func (n *Controller) segmentPersisted(j *job, c *taskSegment) {
	for i := c.index * j.tasksPerSegment; i < min((c.index+1)*j.tasksPerSegment, j.nextFresh); i++ {
		if t := &j.tasks[i]; t.machine != nil && (!t.startSent || t.stopReason != stopNone) {
			n.markDispatchPending(t.machine)
		}
	}
}
