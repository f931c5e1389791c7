package core

import (
	"time"

	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/promise"
)

const (
	// freshEvery separates two reads for what users ask. Those that ask in
	// between share the next one, so that the number of polls, which grows with
	// that of living jobs, is none for the state service.
	freshEvery = 150 * time.Millisecond
	// freshAtLeast keeps the picture from falling far behind when nobody asks. An owner
	// reads more often; see internal/horizon.
	freshAtLeast = 10 * time.Second
)

// mirror is this node's picture of open/, the jobs that are not over. An answer
// rests on it only after it was brought up to date by a read that began after
// the question came.
type mirror struct {
	loaded  bool
	loading bool
	// rev: the picture is exact as of this revision. asOf is this node's horizon: all
	// that was written before it is in the picture. It is the sending of the newest read
	// or watch that was answered; see horizon.go.
	rev  uint64
	asOf time.Time
	open map[string]living
	// graph has the jobs that need others, as of the same revision; see prereqs.go.
	graph *pipeline.Graph
	// pages are the promised dates that stand beside them.
	pages promise.Pages
	// watching: a watch is open, as long as this node is an owner.
	watching bool
	// asking wait for the read under way, next for one that has not begun.
	asking, next []func(ok bool)
	busy         bool
	readAt       time.Time
	waiting      bool
}

// living is a job in open/.
type living struct {
	stamp uint64
	rec   openRecord
}

// mirrorStart reads open/ and keeps the picture from ageing.
func (n *Node) mirrorStart() {
	m := &n.users.mirror
	if m.loaded || m.loading {
		return
	}
	n.mirrorLoad()
	n.mirrorKeep()
}

func (n *Node) mirrorKeep() {
	every := freshAtLeast
	if n.owner != nil {
		every = min(every, n.set.Horizon().ReadEvery())
	}
	n.after(every, n.mirrorKeep)
	if m := &n.users.mirror; m.loaded && n.now.Sub(m.readAt) >= every {
		n.freshen(func(bool) {})
	}
}

func (n *Node) mirrorLoad() {
	m := &n.users.mirror
	m.loading, m.loaded = true, false
	open, pages := map[string]living{}, m.pages.Anew()
	var rev uint64
	var began time.Time
	var list func(from string)
	list = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: PrioUser, Key: openPrefix, From: from}, func(d StateDone) {
			if d.Status != StateOK {
				n.after(n.jitter(retryPause), func() { list(from) })
				return
			}
			if from == "" {
				rev, began = d.Rev, d.Sent
			}
			for _, it := range d.Items {
				if !pageItem(n, &pages, it) {
					mirrorItem(open, it)
				}
			}
			if d.Truncated && len(d.Items) > 0 {
				list(d.Items[len(d.Items)-1].Key)
				return
			}
			// Later pages tell of later changes, which the next read, from the
			// revision of the first, brings again in order.
			m.open, m.pages, m.rev, m.loaded, m.loading = open, pages, rev, true, false
			m.asOf = later(m.asOf, began)
			n.pipelineLoaded()
			ownerReads(n)
			n.freshNext()
			n.mirrorWatch()
		})
	}
	list("")
}

// mirrorNews takes in what a read or a watch has brought, all changes after a revision
// that was known. Two may be under way; of what both bring each change counts once.
func (n *Node) mirrorNews(d StateDone) {
	m := &n.users.mirror
	for _, it := range d.Items {
		if it.Stamp > m.rev && !pageItem(n, &m.pages, it) {
			mirrorItem(m.open, it)
			n.pipelineItem(it)
			if n.owner != nil {
				n.openItem(it)
			}
		}
	}
	m.rev = max(m.rev, d.Rev)
	m.asOf = later(m.asOf, d.Sent)
}

// mirrorWatch lets an owner hear of new jobs at once.
func (n *Node) mirrorWatch() {
	m := &n.users.mirror
	if m.watching || !m.loaded || n.owner == nil {
		return
	}
	m.watching = true
	n.ask(StateOp{Kind: OpFollow, Prio: PrioSession, Key: openPrefix, Rev: m.rev, Hold: watchHold}, func(d StateDone) {
		m.watching = false
		switch {
		case !m.loaded:
			// Being read again.
		case d.Status == StateOK:
			n.mirrorNews(d)
			n.mirrorWatch()
		case d.Status == StateGone:
			n.mirrorLoad()
		default:
			n.after(n.jitter(retryPause), n.mirrorWatch)
		}
	})
}

func mirrorItem(open map[string]living, it Item) {
	id := jobID(it.Key, openPrefix)
	if it.Removed {
		delete(open, id)
		return
	}
	var r openRecord
	if decode(it.Value, &r) {
		open[id] = living{it.Stamp, r}
	}
}

// freshen calls fn once the picture is as of a moment after this call, or with
// false when it can't be had.
func (n *Node) freshen(fn func(ok bool)) {
	m := &n.users.mirror
	m.next = append(m.next, fn)
	n.freshNext()
}

func (n *Node) freshNext() {
	m := &n.users.mirror
	if m.busy || !m.loaded || len(m.next) == 0 || m.waiting {
		return
	}
	if wait := m.readAt.Add(freshEvery).Sub(n.now); wait > 0 {
		m.waiting = true
		n.after(wait, func() {
			m.waiting = false
			n.freshNext()
		})
		return
	}
	m.asking, m.next, m.busy, m.readAt = m.next, nil, true, n.now
	n.ask(StateOp{Kind: OpFollow, Prio: PrioUser, Key: openPrefix, Rev: m.rev}, func(d StateDone) {
		m.busy = false
		fns := m.asking
		m.asking = nil
		ok := d.Status == StateOK
		if ok && m.loaded {
			n.mirrorNews(d)
		}
		if d.Status == StateGone || ok && !m.loaded {
			// Too far behind: read it all again. Who asked waits for that.
			m.next = append(fns, m.next...)
			if !m.loading {
				n.mirrorLoad()
			}
			return
		}
		for _, fn := range fns {
			fn(ok)
		}
		n.freshNext()
	})
}

// found is what the state service says of a job.
type found struct {
	// ok: it could be asked. known: the job was accepted at some time.
	ok, known bool
	rec       jobRecord
	// stamp is that of open/, while the job is not over, and open what it says.
	stamp uint64
	open  openRecord
	// date is its newest date, as of the same moment, while it is not over.
	date promise.Date
}

// look tells what is durable of a job, as of a moment after this call.
func (n *Node) look(id string, fn func(found)) { n.lookOf(id, n.lookBefore, fn) }

// lookRecord tells the same but for what follows from the jobs that it needs.
func (n *Node) lookRecord(id string, fn func(found)) { n.lookOf(id, n.foundOpen, fn) }

func (n *Node) lookOf(id string, open func(string, *living, func(found)), fn func(found)) {
	n.freshen(func(ok bool) {
		if !ok {
			fn(found{})
			return
		}
		if l, there := n.users.mirror.open[id]; there {
			open(id, &l, fn)
			return
		}
		// Over, or never accepted.
		n.read(id, func(d StateDone) {
			if d.Status == StateNotFound && n.now.Sub(n.users.told[id]) <= userPatience {
				// Somebody was told since it was read.
				n.lookOf(id, open, fn)
				return
			}
			f := found{ok: d.Status == StateOK || d.Status == StateNotFound, known: d.Status == StateOK}
			if f.known && (len(d.Items) != 1 || !decode(d.Items[0].Value, &f.rec)) {
				f.ok = false
			}
			fn(f)
		})
	})
}

// foundOpen tells of an open job by its own record.
func (n *Node) foundOpen(id string, l *living, fn func(found)) {
	f := found{ok: true, known: true, stamp: l.stamp, open: l.rec, rec: jobRecord{Status: Queued, Tasks: l.rec.Tasks}, date: dateOf(n, id, l)}
	if l.rec.Cancelled {
		f.rec.Status = Cancelled
	}
	fn(f)
}
