package core

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/patience"
)

// turns.go joins the core to internal/patience: in whose turn what waits is placed, and
// which machines are gathered for work that has waited too long and fits nowhere.

// turn is some of a job's waiting tasks; first: because it has waited too long.
type turn struct {
	j     *job
	tasks int
	first bool
}

// waited is for how long some of a job has waited behind others: since it was submitted,
// or all that it needs was done.
// A task that was stopped or lost waits again, and has waited from the start as its
// user sees it.
func (n *Node) waited(j *job) time.Duration { return n.now.Sub(j.free()) }

// turns is what waits, in the order in which it is placed.
func (n *Node) turns() []turn {
	rs := n.ranked()
	rooms := map[shape]float64{}
	jobs := make([]patience.Job, len(rs))
	for i, r := range rs {
		j := r.j
		bound, part := waitBound(n, j)
		p := patience.Job{
			Waited: n.waited(j), Bound: bound, Part: part, Urgency: int(j.Urgency), Guaranteed: r.g,
			Waiting: n.triable(j), Together: j.Gang,
		}
		if n.owner.blame.Broken(j.ID) {
			// What it waits for is its own cure.
			p.Waited = 0
		}
		if j.overdue = p.Overdue(); j.overdue {
			like := j.shape()
			room, ok := rooms[like]
			if !ok {
				room = n.roomOf(j)
				rooms[like] = room
			}
			p.Each = 1 / max(room, 1)
			p.Holds = float64(j.live) * p.Each
		}
		jobs[i] = p
	}
	ts := patience.Turns(jobs)
	out := make([]turn, len(ts))
	for i, t := range ts {
		out[i] = turn{rs[t.Job].j, t.Tasks, t.First}
	}
	return out
}

// order is the jobs that wait for places, by their first turn.
func (n *Node) order() []*job {
	var out []*job
	seen := map[*job]bool{}
	for _, t := range n.turns() {
		if !seen[t.j] {
			seen[t.j] = true
			out = append(out, t.j)
		}
	}
	return out
}

// roomOf is how many tasks like the job's all machines there are would hold, empty.
func (n *Node) roomOf(j *job) float64 {
	all, off := 0, n.offNow(j)
	for _, m := range n.owner.byID {
		if j.allows(m.flavour, m.zone, m.spot) && n.usable(m) && n.openTo(off, m) {
			all += m.size.Times(j.Need)
		}
	}
	return float64(all)
}

// gathers says that machines are to be gathered for a job: it has waited too long, and
// nothing of it runs whose end would leave it room.
func (j *job) gathers() bool { return j.overdue && j.live == 0 && !j.Gang && j.pending() > 0 }

// gatherEvery separates two looks at what to gather machines for, and gatherMost bounds
// the jobs that one is for: each goes through all machines.
const (
	gatherEvery = 500 * time.Millisecond
	gatherMost  = 16
)

// gathering is a job that machines are gathered for, and those that could be.
type gathering struct {
	j        *job
	hosts    []patience.Host
	machines int
	// wants is how many machines its waiting tasks would fill.
	wants int
}

// due is when a waiting job's tasks should start at the latest, for what is rented. One
// that has waited too long and of which nothing has begun is late whatever its aims say:
// with none that it can still meet it is due so late that no ordinary machine would be
// rented for it, and where there is no spot room it would wait beside a free cloud.
func due(n *Node, j *job) time.Time {
	if l := n.latest(j); !j.overdue || j.live > 0 || j.done > 0 || l.Before(n.now) {
		return l
	}
	return n.now
}

// gather holds machines for work that has waited too long and of which nothing runs: a
// task as large as a machine among thousands of small ones, or work of low urgency while
// higher work takes whatever comes free. What runs there ends in peace, and nothing else
// comes. All that is held together is a part of the machines: one for each job first,
// so that all begin, and then more for those that have waited for the longest.
func (n *Node) gather(jobs []*job) {
	o := n.owner
	if n.now.Sub(o.gathered) < gatherEvery {
		return
	}
	o.gathered = n.now
	held := map[string]string{}
	var gs []*gathering
	for _, j := range jobs {
		if j.gathers() && len(gs) < gatherMost {
			gs = append(gs, n.gathering(j))
		}
	}
	usable := 0
	for _, m := range o.byID {
		if len(gs) > 0 && n.usable(m) {
			usable++
		}
	}
	left := max(1, int(patience.Gathered*float64(usable)))
	for _, most := range [...]int{1, usable} {
		for _, g := range gs {
			for _, id := range patience.Gather(g.hosts, min(left, most, g.wants), g.machines) {
				if held[id] == "" {
					held[id] = g.j.ID
					g.wants--
					left--
				}
			}
			g.hosts = slices.DeleteFunc(g.hosts, func(h patience.Host) bool { return held[h.ID] != "" })
		}
	}
	for _, m := range o.byID {
		if m.heldFor != held[m.id] {
			m.heldFor = held[m.id]
			n.debug("held", "machine", m.id, "for", m.heldFor)
		}
	}
}

// gathering is what could be gathered for a job.
func (n *Node) gathering(j *job) *gathering {
	g := &gathering{j: j}
	each, off := 1, n.offNow(j)
	for _, m := range n.owner.byID {
		if !n.openTo(off, m) || !j.allows(m.flavour, m.zone, m.spot) || !j.Need.Fits(m.size) || !n.usable(m) {
			continue
		}
		g.machines++
		each = max(each, m.size.Times(j.Need))
		if at, ok := n.roomIn(m, j.Need); ok && j.zoneOK(m.zone) {
			g.hosts = append(g.hosts, patience.Host{ID: m.id, At: at, Held: m.heldFor == j.ID})
		}
	}
	g.wants = (n.triable(j) + each - 1) / each
	return g
}

// roomIn is when a task would fit on m if nothing else came, as far as the expected ends
// of what runs there tell.
func (n *Node) roomIn(m *machine, need Resources) (time.Duration, bool) {
	free := m.free()
	if need.Fits(free) {
		return 0, true
	}
	var last time.Duration
	for _, k := range sortedAttempts(m) {
		j := n.owner.jobs[k.job]
		if j.Standing {
			continue
		}
		left := n.expects(j)
		if t := m.attempts[k]; !t.started.IsZero() {
			left = max(left-n.now.Sub(t.started), left/5)
		}
		last = max(last, left)
		free = free.Plus(j.Need, 1)
	}
	return last, need.Fits(free)
}

// keptFrom says that a machine is held for work that has waited too long, and the job
// is other work.
func (m *machine) keptFrom(j *job) bool { return m.heldFor != "" && m.heldFor != j.ID }
