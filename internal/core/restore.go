package core

import (
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/validate"
)

// restore takes in a record of a job's tasks that a former owner wrote.
func (n *Node) restore(j *job, it Item, r *chunkRecord) {
	k, err := strconv.Atoi(strings.TrimPrefix(it.Key, taskPrefix+j.ID+"/"))
	if err != nil || k < 0 || k > validate.MostTasks || !j.cancelled && k*j.per >= len(j.tasks) {
		n.complain("record", it.Key, "its job has no such part")
		return
	}
	c := &chunk{n: k, stamp: it.Stamp, ver: 1, saved: 1, writing: 1, rank: r.Rank}
	if k*j.per >= len(j.tasks) {
		j.grow((k + 1) * j.per)
	}
	j.chunks[k] = c
	for i := 0; i+1 < len(r.Runs); i += 2 {
		for x := max(0, r.Runs[i]); x <= r.Runs[i+1] && x < len(j.tasks); x++ {
			t := &j.tasks[x]
			if t.done {
				// Named twice, it is still one: a job is done when all its tasks are.
				continue
			}
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
		if row.Index < 0 || row.Index >= len(j.tasks) {
			continue
		}
		t := &j.tasks[row.Index]
		if t.done || t.m != nil {
			n.complain("record", it.Key, "a task is named twice")
			continue
		}
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

// settleRestored queues what is neither done nor live.
func (n *Node) settleRestored(j *job) {
	j.beganBefore()
	for i := range j.tasks[:j.fresh] {
		if t := &j.tasks[i]; !t.done && t.m == nil {
			j.again = append(j.again, i)
		}
		if t := &j.tasks[i]; j.cancelled && t.m != nil {
			t.stop = stopCancel
		}
	}
}
