package core

import (
	"time"

	"github.com/micahill/micahill/internal/validate"
)

// restore takes in a record of a job's tasks that a former owner wrote.
func (n *Node) restore(j *job, it Item, r *chunkRecord) {
	f, k, ok := n.formOf(it.Key)
	if !ok || k > validate.MostTasks || f.per > validate.MostTasks || !j.cancelled && k*f.per >= len(j.tasks) {
		n.complain("record", it.Key, "its job has no such part")
		return
	}
	if k*f.per >= len(j.tasks) {
		j.grow((k + 1) * f.per)
	}
	if f == j.taskForm {
		j.chunks[k] = &chunk{n: k, stamp: it.Stamp, ver: 1, saved: 1, writing: 1, rank: r.Rank}
	} else {
		j.former = append(j.former, it.Key)
	}
	defer j.cover(f, k)
	for i := 0; i+1 < len(r.Runs); i += 2 {
		for x := max(0, r.Runs[i]); x <= r.Runs[i+1] && x < len(j.tasks); x++ {
			t := &j.tasks[x]
			if t.done || j.isCovered(x) {
				// Named twice, it is still one: a job is done when all its tasks are.
				continue
			}
			j.standsIn(f, x, r.Rank)
			t.done, t.ver, t.try = true, 1, 1
			j.done++
			j.fresh = max(j.fresh, x+1)
		}
	}
	marks := map[int64]bool{}
	for _, g := range r.Marks {
		marks[g] = true
	}
	for _, row := range r.Rows {
		if row.Index < 0 || row.Index >= len(j.tasks) || j.isCovered(row.Index) {
			continue
		}
		t := &j.tasks[row.Index]
		if t.done || t.m != nil {
			n.complain("record", it.Key, "a task is named twice")
			continue
		}
		j.standsIn(f, row.Index, r.Rank)
		t.try, t.group, t.relaunched, t.ver = row.Try, row.Group, row.Relaunched, 1
		j.fresh = max(j.fresh, row.Index+1)
		if row.Machine != "" {
			m := n.machineOf(r.Prefix + row.Machine)
			if !m.afar && !m.heard {
				// A former owner may have gone on answering it for a while.
				m.leaseEnd = later(m.leaseEnd, n.leaseAfter(later(n.now, m.former)))
			}
			n.attach(j, row.Index, m)
			t.sent, t.inherited = true, true
			t.rank = r.Rank
			g := j.groups[row.Group]
			if g == nil {
				g = &group{start: time.UnixMilli(row.Group), marked: marks[row.Group]}
				j.groups[row.Group] = g
			}
			g.tasks = append(g.tasks, row.Index)
		}
	}
	if len(j.sorted) == 0 {
		for _, ms := range r.Times {
			if ms > 0 && ms < longestRun.Milliseconds() {
				j.ran(time.Duration(ms) * time.Millisecond)
			}
		}
	}
}

// cover notes that what a part says of its tasks counts before what records of a former
// form say: it was written later, and says all of them.
func (j *job) cover(f taskForm, k int) {
	if !f.part {
		return
	}
	j.covered = append(j.covered, make([]bool, max(0, len(j.tasks)-len(j.covered)))...)
	for i := k * f.per; i < min((k+1)*f.per, len(j.tasks)); i++ {
		j.covered[i] = true
	}
}

func (j *job) isCovered(i int) bool { return i < len(j.covered) && j.covered[i] }

// standsIn notes where the state of a task stands: in the job's own form or in another,
// from which it moves when it changes.
func (j *job) standsIn(f taskForm, i int, rank uint64) {
	if f != j.taskForm {
		j.former0(i, rank)
	}
}

// settleRestored queues what is neither done nor live.
func (n *Node) settleRestored(j *job) {
	j.beganBefore()
	j.covered = nil
	for i := range j.tasks[:j.fresh] {
		if t := &j.tasks[i]; !t.done && t.m == nil {
			j.again = append(j.again, i)
		}
		if t := &j.tasks[i]; j.cancelled && t.m != nil {
			t.stop = stopCancel
		}
	}
}
