package core

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/ownership"
)

// mark notes that orders may be due for m. Going through all machines after
// every batch of commands would cost a large pool more than its reports do.
func (n *Node) mark(m *machine) {
	if o := n.owner; o != nil && !m.dirty {
		m.dirty = true
		o.dirty = append(o.dirty, m)
	}
}

// directAll sends the orders that are due.
func (n *Node) directAll() {
	o := n.owner
	if len(o.dirty) == 0 {
		return
	}
	slices.SortFunc(o.dirty, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	now := o.dirty
	o.dirty = nil
	for _, m := range now {
		if m.forgotten {
			continue
		}
		if m.dirty {
			n.direct(m)
		}
		if m.dirty {
			o.dirty = append(o.dirty, m)
		}
	}
}

// quiet says that no start for m is on its way anywhere.
func (n *Node) quiet(m *machine) bool {
	return m.seenEpoch >= m.epoch && m.unacked == 0 && m.replyTick == 0 && !m.inFlight
}

// stuck says that a start without an answer keeps m from being settled.
func (m *machine) stuck(d *ownership.Registry) bool {
	if d.Unseen(m.id) {
		return true
	}
	for _, t := range m.attempts {
		if t.stop != stopNone {
			return true
		}
	}
	for _, p := range m.pieces {
		if p.Status == Ended {
			return true
		}
	}
	return false
}

// ordersMost bounds the orders of one answer or request to a worker, whose body may
// have 64 KiB: an order takes some 70 bytes and its job's name.
const ordersMost = 500

// reconcile is what the worker has to be told, from its newest report and what
// should be there. Repeating an order does no harm but for a start after its
// clear, so clear waits until no start can be on its way.
func (n *Node) reconcile(m *machine) []Order { return n.ordersDue(m, m.settled()) }

// ordersDue is reconcile for who has looked already whether the machine is settled.
func (n *Node) ordersDue(m *machine, settled bool) []Order {
	o := n.owner
	m.dirty, m.fresh = false, false
	if settled {
		return nil
	}
	// Clearing up comes last, with the room that is left: thousands of short tasks may
	// have ended here, and what is to start or stop is not to wait behind them. What is
	// left of it goes with the next report's answer.
	var orders, clears []Order
	quiet := n.quiet(m)
	for _, k := range sortedTasks(m.pieces) {
		if len(orders) >= ordersMost {
			n.mark(m)
			break
		}
		p := m.pieces[k]
		j := o.jobs[k.job]
		var t *task
		if j != nil && k.index < len(j.tasks) {
			t = &j.tasks[k.index]
		}
		if j == nil {
			if x, some := n.others(m, p, quiet); some && x.Verb == Clear {
				clears = append(clears, x)
			} else if some {
				orders = append(orders, x)
			}
			continue
		}
		ours := t != nil && t.m == m && t.try == p.Try
		switch {
		case ours && t.stop != stopNone && p.Status == Flushing && n.windDown(m, j, t) > 0:
			// It saves already.
		case ours && t.stop != stopNone && p.Status != Ended:
			orders = append(orders, Order{Verb: Halt, Job: k.job, Index: k.index, Try: p.Try, WindDown: n.windDown(m, j, t)})
		case ours:
		case p.Status != Ended:
			orders = append(orders, Order{Verb: Halt, Job: k.job, Index: k.index, Try: p.Try})
		case quiet && (t == nil || j.durable(k.index)):
			x := Order{Verb: Clear, Job: k.job, Index: k.index, Try: p.Try}
			if m.attempts[k] != nil {
				// Another attempt of it is to start here.
				orders = append(orders, x)
			} else {
				clears = append(clears, x)
			}
		}
	}
	for _, k := range sortedAttempts(m) {
		if n.now.After(n.startsKnown()) {
			// A job may have been cancelled that this node can't hear of.
			break
		}
		if len(orders) >= ordersMost {
			// The rest goes with the next.
			n.mark(m)
			break
		}
		t := m.attempts[k]
		j := o.jobs[k.job]
		if t.stop != stopNone || !j.durable(k.index) || j.waits || !j.mayStart(n.now) {
			continue
		}
		if p, ok := m.pieces[k]; ok && p.Try == t.try {
			continue
		} else if ok && p.Status != Ended {
			continue
		}
		if !leaves(n, m, j, k.index, quiet) {
			continue
		}
		t.sent = true
		orders = append(orders, Order{Verb: Start, Job: k.job, Index: k.index, Try: t.try})
	}
	return append(orders, clears[:min(len(clears), max(0, ordersMost-len(orders)))]...)
}

// settled says that what is there is what should be, so that there is nothing
// to order.
func (m *machine) settled() bool {
	if len(m.attempts) != len(m.pieces) {
		return false
	}
	for k, t := range m.attempts {
		p, ok := m.pieces[k]
		if !ok || p.Try != t.try || t.stop != stopNone || p.Status == Ended {
			return false
		}
	}
	return true
}

// windDown is the time a stopped task gets to save.
func (n *Node) windDown(m *machine, j *job, t *task) time.Duration {
	if j.SaveEvery <= 0 || t.stop == stopCancel {
		return 0
	}
	if m.recall && n.now.Add(j.SaveCost).After(m.recallAt) {
		return 0
	}
	// A little over the cost, so that rounding does not lose the work.
	return j.SaveCost + time.Second
}

// direct sends orders to the worker at once, without waiting for its report.
func (n *Node) direct(m *machine) {
	o := n.owner
	if m.afar {
		// Its owner is asked.
		m.dirty = false
		o.remote.soon = true
		return
	}
	if m.inFlight || m.questioned || m.noDirect || m.returning || m.addr == "" || !m.heard {
		return
	}
	if n.now.After(n.sess.sureUntil) {
		// Perhaps deposed already; reports go on being answered for a while.
		return
	}
	orders := n.reconcile(m)
	if len(orders) == 0 {
		return
	}
	if !slices.ContainsFunc(orders, func(o Order) bool { return o.Verb != Clear }) {
		// Clearing up can wait for the next report's answer.
		return
	}
	starts := slices.ContainsFunc(orders, func(o Order) bool { return o.Verb == Start })
	until := n.sess.sureUntil
	if starts {
		until = earlier(n.startsKnown(), startsUntil(n, m))
	}
	m.inFlight = true
	was := m.seen()
	epoch, gen := m.epoch, o.gen
	n.call(WorkerOp{Machine: m.id, Addr: m.addr, Until: until, Epoch: epoch, Tenure: m.tenure, Orders: orders}, func(d WorkerDone) {
		if n.owner == nil || n.owner.gen != gen || m.forgotten {
			return
		}
		m.inFlight = false
		if d.NotSent {
			n.mark(m)
			return
		}
		if !answered(n, m, d.Report, was) {
			m.noDirect = true
			if starts {
				m.unacked = max(m.unacked, epoch)
				leftUnanswered(n, m, orders)
			}
		}
	})
}
