package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/bounds"
)

const (
	// lazyWrite is how long progress that costs only repeated work when lost
	// may wait to share a write, if few others wait as well; lazyPart is the
	// part of the limit of changes that such writes take when many do, and
	// lazyLongest how long they then wait at most.
	lazyWrite   = time.Second
	lazyPart    = 0.2
	lazyLongest = 10 * time.Second
	// lazyMost bounds the changes of a write for which no start waits, so that
	// a start that comes next is soon let through.
	lazyMost = 4
	// txnFull is how full a transaction is made, in bytes of JSON, with room for what
	// every one has.
	txnFull = bounds.TxnMost * 3 / 4
	// slowWrite is how long a write takes that the log tells of, at debug.
	slowWrite = 500 * time.Millisecond
	// chunkTxns bounds the owner's transactions in flight.
	chunkTxns = 3
)

// unsaved are the jobs with chunks to write, in order.
func (n *Node) unsaved() []*job {
	o := n.owner
	var out []*job
	for _, j := range o.jobs {
		if !j.unsaved {
			continue
		}
		j.unsaved = false
		for _, c := range j.chunks {
			j.unsaved = j.unsaved || c.busy || c.ver != c.saved
		}
		if j.unsaved {
			out = append(out, j)
		}
	}
	// Starts of urgent work are not to wait behind those of other work.
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(rankOf(n, a), rankOf(n, b)), a.at.Compare(b.at), strings.Compare(a.ID, b.ID))
	})
	return out
}

// writeDue writes ends and records of tasks. Either goes first in its turn: after an
// outage hundreds of one wait, and none of the other are to wait for all of them.
func (n *Node) writeDue() {
	o := n.owner
	o.startsFirst = !o.startsFirst
	if o.startsFirst {
		n.writeChunks()
	}
	n.endJobs()
	n.writeChunks()
}

// writeChunks writes changed chunks, the urgent ones now and the others with
// them or when they have waited long enough.
func (n *Node) writeChunks() {
	o := n.owner
	unsaved := n.unsaved()
	// What waits grows with the number of living jobs; the limit of changes
	// does not.
	patience := Seconds(float64(len(unsaved)) / max(1, lazyPart*n.set.StateWrites))
	patience = min(max(patience, lazyWrite), lazyLongest)
	crowded := patience > lazyWrite
	for len(unsaved) > 0 && o.inFlight < chunkTxns && n.roomToWrite() > 0 {
		op := StateOp{Kind: OpTxn, Prio: PrioLazy}
		type part struct {
			j   *job
			c   *chunk
			ver uint64
		}
		var parts []part
		size := 0
		shares := map[string]bool{}
		alone := false
		// ranked: the write names the ranking, as it makes starts durable.
		ranked, rank := false, n.sess.ranks.stamp
		based := map[string]bool{}
		add := func(most int, due func(*chunk) bool) {
			for _, j := range unsaved {
				id := j.ID
				// Records of a job that is cancelled or done only go; see endJobs.
				if j.ending || j.cancelled || j.done == len(j.tasks) {
					continue
				}
				for _, k := range sortedKeys(j.chunks) {
					c := j.chunks[k]
					if c.busy || c.ver == c.saved || c.ver == c.refused || len(op.Apply) >= most || !due(c) || alone || c.alone && len(op.Apply) > 0 {
						continue
					}
					starts := n.set.Product.Ranking && j.startsIn(c)
					if starts && n.sess.ranks.stale {
						continue
					}
					if starts {
						c.rank = rank
					}
					alone = c.alone
					val := encode(j.record(c))
					conds := 1
					var fence []Cond
					if starts && !ranked {
						conds++
					}
					if !based[id] {
						if fence = n.shareConds(j.Team); shares[fence[0].Key] {
							fence = nil
						}
						conds += 1 + len(fence)
					}
					// What does not fit goes with the next write.
					if size += bounds.ChangeBytes(bounds.Change{Key: j.chunkKey(c), Value: val}) + conds*bounds.CondBytes(openPrefix+id); size > txnFull || len(op.When)+conds > bounds.CondTimes*n.set.TxnOps {
						if len(op.Apply) > 0 {
							return
						}
					}
					if !based[id] {
						based[id] = true
						for _, f := range fence {
							shares[f.Key] = true
						}
						op.When = append(append(op.When, fence...), Cond{openPrefix + id, j.stamp})
					}
					if starts && !ranked {
						ranked = true
						op.When = append(op.When, Cond{rankingKey, rank})
					}
					op.When = append(op.When, Cond{j.chunkKey(c), c.stamp})
					op.Apply = append(op.Apply, Change{Key: j.chunkKey(c), Value: val})
					if c.urgent {
						op.Prio = PrioStart
					}
					c.busy, c.urgent, c.writing = true, false, c.ver
					parts = append(parts, part{j, c, c.ver})
				}
			}
		}
		late := func(c *chunk) bool { return n.now.Sub(c.since) >= patience }
		most := min(n.set.TxnOps, n.roomToWrite())
		switch add(most, func(c *chunk) bool { return c.urgent }); {
		case !crowded:
			add(most, late)
			if len(parts) > 0 {
				// Progress that is not due yet shares the write.
				add(most, func(*chunk) bool { return true })
			}
		case len(parts) == 0 && o.lazy == 0:
			add(min(lazyMost, most), late)
		}
		if len(parts) == 0 {
			return
		}
		lazy := 0
		if op.Prio == PrioLazy {
			lazy = 1
		}
		o.lazy += lazy
		gen, asked := o.gen, n.now
		n.write(op, func(d StateDone) {
			o := n.owner
			if o == nil || o.gen != gen {
				return
			}
			o.lazy -= lazy
			switch {
			case ranked && d.Status == StateOK:
				rankKnown(n, d.Sent)
			case ranked && d.Status == StateConflict && slices.Contains(d.Failed, rankingKey):
				rankBehind(n, rank)
			}
			if took := n.now.Sub(asked); took > slowWrite || d.Status != StateOK {
				n.debug("slow write", "took", took, "chunks", len(parts), "status", d.Status, "lazy", lazy)
			}
			for _, p := range parts {
				if o.jobs[p.j.ID] != p.j || p.j.chunks[p.c.n] != p.c {
					// Its team is another's now, who reads what stands there, or it is
					// written in another form since.
					continue
				}
				switch d.Status {
				case StateOK:
					p.c.busy = false
					p.c.stamp, p.c.saved = d.Rev, p.ver
					n.chunkSaved(p.j, p.c)
				case StateConflict:
					n.settle(p.j, p.c, d.Failed)
				case StateRefused:
					n.retryChunk(p.j, p.c)
				case StateUnknown:
					// Perhaps applied, perhaps later: read what stands there.
					n.reread(p.j, p.c)
				default:
					// As it is it would be refused again: each by itself, to find out
					// which it is. What was to start with that does not, and the rest
					// goes on.
					if len(parts) > 1 {
						p.c.busy, p.c.urgent, p.c.alone = false, true, true
					} else {
						n.badRecord(p.j, p.c, p.ver)
					}
				}
			}
		})
	}
}

// badRecord deals with a record that the state service calls malformed: tasks in it that were not begun are taken off their machines, and
// only when something of it changes is it written once more.
func (n *Node) badRecord(j *job, c *chunk, ver uint64) {
	n.info("a record is malformed", "job", j.ID, "chunk", c.n)
	c.busy, c.urgent, c.alone = false, false, false
	c.refused = c.ver
	probeLimit(n)
	for i := c.n * j.per; i < min((c.n+1)*j.per, j.fresh); i++ {
		if t := &j.tasks[i]; t.m != nil && !t.sent && t.ver <= ver {
			t.notBefore = n.now.Add(defectPause)
			n.gone(j, i, false)
		}
	}
}

// defectPause is how long tasks wait whose record was malformed.
const defectPause = 30 * time.Second

func (n *Node) retryChunk(j *job, c *chunk) {
	c.urgent = true
	n.after(n.jitter(retryPause), func() { c.busy = false })
}

// settle deals with a write whose conditions failed. If the share or the job
// changed, the watches tell the rest; if the chunk did, it was an earlier
// write of our own, applied late, and all it holds is still meant.
func (n *Node) settle(j *job, c *chunk, failed []string) {
	switch {
	case slices.ContainsFunc(failed, func(k string) bool { return strings.HasPrefix(k, sharePrefix) }), slices.Contains(failed, openPrefix+j.ID):
		n.retryChunk(j, c)
	case slices.Contains(failed, j.chunkKey(c)):
		n.reread(j, c)
	default:
		// Another job of the same write was cancelled or is over.
		c.urgent, c.busy = true, false
	}
}

func (n *Node) reread(j *job, c *chunk) {
	gen := n.owner.gen
	n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: j.chunkKey(c)}, func(d StateDone) {
		if n.owner == nil || n.owner.gen != gen || n.owner.jobs[j.ID] != j || j.chunks[c.n] != c {
			return
		}
		switch d.Status {
		case StateOK:
			// Written by this owner: another's write would have needed its own
			// share, whose stamp every write names. Whether it is the newest of
			// our writes is not told, so write again on top of it.
			c.stamp, c.busy, c.urgent = d.Items[0].Stamp, false, true
		case StateNotFound:
			c.stamp = 0
			n.retryChunk(j, c)
		default:
			n.after(n.jitter(retryPause), func() {
				if n.owner != nil && n.owner.gen == gen && j.chunks[c.n] == c {
					n.reread(j, c)
				}
			})
		}
	})
}

// chunkSaved sends what waited for the write: starts.
func (n *Node) chunkSaved(j *job, c *chunk) {
	for i := c.n * j.per; i < min((c.n+1)*j.per, j.fresh); i++ {
		if t := &j.tasks[i]; t.m != nil && (!t.sent || t.stop != stopNone) {
			n.mark(t.m)
		}
	}
}
