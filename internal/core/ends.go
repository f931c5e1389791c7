package core

import (
	"slices"
	"strings"

	"github.com/micahill/micahill/internal/bounds"
)

// orphansMost bounds the records of tasks of ended jobs that are kept while changes are
// short: they are two pages for a successor to read.
const orphansMost = 1000

// endJobs writes the end of jobs whose tasks are all done, and clears away
// cancelled ones whose tasks are all gone.
func (n *Node) endJobs() {
	o := n.owner
	var over, behind []*job
	for _, j := range o.jobs {
		if !j.ending && j.derived {
			behind = append(behind, j)
		} else if !j.ending && (j.cancelled && j.live == 0 || !j.cancelled && j.done == len(j.tasks)) {
			over = append(over, j)
		}
	}
	byName := func(a, b *job) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(over, byName)
	for len(over) > 0 && o.inFlight < chunkTxns+2 && n.roomToWrite() > 0 {
		over = n.endSome(over)
	}
	if len(behind) > 0 && o.inFlight == 0 && !n.changesShort() {
		// That they are cancelled is known without; it is only that they leave the books.
		slices.SortFunc(behind, byName)
		n.endSome(behind)
	}
	if len(o.orphans) > 0 && o.inFlight == 0 && (!n.changesShort() || len(o.orphans) > orphansMost) {
		n.dropOrphans()
	}
}

// ended is a job whose end is being written: its record, and the records of its tasks,
// which mean nothing without it and go when there is time: changes are short just when
// many jobs end and others start.
type ended struct {
	j    *job
	rec  jobRecord
	rest []string
}

// endSome writes the ends of as many jobs as share a transaction, and returns the others.
func (n *Node) endSome(over []*job) []*job {
	op := StateOp{Kind: OpTxn, Prio: PrioStart}
	most := min(n.set.TxnOps, n.roomToWrite())
	var parts []ended
	size := 0
	for len(over) > 0 {
		j := over[0]
		e := ended{j: j, rec: endRecord(n, j)}
		var apply []Change
		if !j.cancelled || j.derived {
			apply = append(apply, Change{Key: jobPrefix + j.ID, Value: encode(e.rec)})
		}
		apply = append(apply, Change{Key: openPrefix + j.ID})
		conds := append(n.shareConds(j.Team), Cond{openPrefix + j.ID, j.stamp})
		for _, a := range apply {
			size += bounds.ChangeBytes(bounds.Change{Key: a.Key, Value: a.Value})
		}
		for _, c := range conds {
			size += bounds.CondBytes(c.Key)
		}
		if j.derived {
			op.Prio = PrioLazy
		}
		if len(parts) > 0 && (len(op.Apply)+len(apply) > most || size > txnFull || j.endAlone || parts[0].j.endAlone) {
			break
		}
		for _, c := range conds {
			if !slices.Contains(op.When, c) {
				op.When = append(op.When, c)
			}
		}
		op.Apply = append(op.Apply, apply...)
		e.rest = slices.Clone(j.former)
		for _, k := range sortedKeys(j.chunks) {
			if c := j.chunks[k]; c.stamp != 0 || c.busy {
				e.rest = append(e.rest, j.chunkKey(c))
			}
		}
		j.ending = true
		parts, over = append(parts, e), over[1:]
	}
	gen := n.owner.gen
	n.write(op, func(d StateDone) {
		for _, e := range parts {
			n.endWritten(e, d, gen, len(parts) == 1)
		}
	})
	return over
}

// endWritten deals with the answer to the write of a job's end, alone or with others'.
func (n *Node) endWritten(e ended, d StateDone, gen int, alone bool) {
	j := e.j
	if d.Status == StateOK && e.rec.Status == Done {
		n.setFinal(j.ID, Done)
		promiseEnded(n, j, e.rec)
		n.debug("job done", "job", j.ID, "workload", j.Workload, "age", n.now.Sub(j.at))
	}
	if n.owner == nil || n.owner.gen != gen {
		return
	}
	again := func() { j.ending = false }
	switch d.Status {
	case StateOK:
		n.jobOver(j, e.rest)
	case StateConflict:
		others := func(key string) bool {
			return strings.HasPrefix(key, openPrefix) && key != openPrefix+j.ID
		}
		if !alone && !slices.ContainsFunc(d.Failed, func(key string) bool { return !others(key) }) {
			// Only others of the same write have changed.
			again()
			return
		}
		n.endConflict(e, gen)
	case StateBad:
		// Of several one is at fault, and the others are not to suffer for it.
		if !alone {
			j.endAlone = true
			again()
			return
		}
		n.after(defectPause, again)
	default:
		n.after(n.jitter(retryPause), again)
	}
}

// endConflict finds out why an end could not be written: an earlier try that got no
// answer may have been carried out.
func (n *Node) endConflict(e ended, gen int) {
	j := e.j
	again := func() { j.ending = false }
	n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: jobPrefix + j.ID}, func(d StateDone) {
		var r jobRecord
		if d.Status == StateOK && decode(d.Items[0].Value, &r) && r.Status == Done {
			n.setFinal(j.ID, Done)
			doneDate(n, j.ID, r)
			if n.owner != nil && n.owner.gen == gen {
				n.jobOver(j, e.rest)
			}
			return
		}
		if j.cancelled && d.Status == StateOK {
			n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: openPrefix + j.ID}, func(d StateDone) {
				if d.Status == StateNotFound && n.owner != nil && n.owner.gen == gen {
					n.jobOver(j, e.rest)
					return
				}
				n.after(n.jitter(retryPause), again)
			})
			return
		}
		n.after(n.jitter(retryPause), again)
	})
}

func (n *Node) jobOver(j *job, rest []string) {
	o := n.owner
	if o.jobs[j.ID] == j {
		delete(o.jobs, j.ID)
	}
	o.blame.JobOver(j.ID)
	o.orphans = append(o.orphans, rest...)
}

// dropOrphans removes records of tasks whose job is over. Each removal needs
// that the job's open record is gone: a record that a list showed may belong to
// a job that came after open/ was listed, and that another controller runs.
func (n *Node) dropOrphans() {
	o := n.owner
	k := min(len(o.orphans), lazyMost, n.set.TxnOps)
	keys := o.orphans[:k]
	o.orphans = slices.Clone(o.orphans[k:])
	op := StateOp{Kind: OpTxn, Prio: PrioLazy, When: n.shareConds("")}
	for _, key := range keys {
		if open := (Cond{openPrefix + jobID(key, taskPrefix), 0}); !slices.Contains(op.When, open) {
			op.When = append(op.When, open)
		}
		op.Apply = append(op.Apply, Change{Key: key})
	}
	gen := o.gen
	n.write(op, func(d StateDone) {
		if n.owner == nil || n.owner.gen != gen {
			return
		}
		if d.Status == StateOK || d.Status == StateBad {
			return
		}
		keys = slices.DeleteFunc(keys, func(key string) bool {
			return slices.Contains(d.Failed, openPrefix+jobID(key, taskPrefix))
		})
		n.after(n.jitter(retryPause), func() {
			if n.owner != nil && n.owner.gen == gen {
				n.owner.orphans = append(n.owner.orphans, keys...)
			}
		})
	})
}
