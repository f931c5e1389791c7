package core

import (
	"slices"
	"time"
)

const (
	// probeReports is after how many of the longest report intervals a silent
	// machine is asked directly. When it has not answered probesSilent times,
	// it is taken for lost and returned rather than waited for. Where reports
	// are seldom, waiting for several of them to be missed would cost its tasks
	// the longer.
	probeReports = 1.15
	probesSilent = 2
	// probeEvery separates the questions to a silent machine.
	probeEvery = 3 * time.Second
	// contactMost bounds the questions to machines that are under way: those
	// to silent hosts hang, and a successor has a thousand to ask.
	contactMost = 48
)

// contact asks a machine of a former owner for its status and so learns its
// tenure, which orders need; the orders carry the higher epoch.
func (n *Node) contact(m *machine) {
	if m.addr == "" || m.inFlight || m.questioned || m.returning || n.now.Sub(m.probed) < probeEvery {
		return
	}
	if n.owner.contacts >= contactMost {
		return
	}
	m.questioned, m.probed = true, n.now
	n.owner.contacts++
	gen, was := n.owner.gen, m.seen()
	n.call(WorkerOp{Machine: m.id, Addr: m.addr, Ask: true}, func(d WorkerDone) {
		if n.owner == nil || n.owner.gen != gen {
			return
		}
		m.questioned = false
		n.owner.contacts--
		n.contactHeirs()
		if d.NotSent || m.forgotten {
			return
		}
		if !answered(n, m, d.Report, was) {
			return
		}
		if m.seenEpoch < m.epoch && !m.inFlight {
			n.claimMachine(m)
			return
		}
		if stopping := m.attemptsIf(func(t *task) bool { return t.stop != stopNone }); len(stopping) > 0 || m.hasForeign {
			// The order may be lost, and perhaps no report comes: of a machine that reaches
			// no controller, answers are all that is heard.
			n.mark(m)
		}
	})
}

// contactHeirs goes on reaching the machines of a former owner, some at a time,
// those with work first. One that has reported meanwhile has heard of the epoch.
func (n *Node) contactHeirs() {
	o := n.owner
	for len(o.heirs) > 0 && o.contacts < contactMost {
		m := o.heirs[0]
		o.heirs = o.heirs[1:]
		if !m.forgotten && m.seenEpoch < m.epoch {
			n.contact(m)
		}
	}
}

// claimMachine shows the worker the current epoch with an empty order.
func (n *Node) claimMachine(m *machine) {
	gen, epoch := n.owner.gen, m.epoch
	m.inFlight = true
	n.owner.contacts++
	was := m.seen()
	n.call(WorkerOp{Machine: m.id, Addr: m.addr, Until: n.sess.sureUntil, Epoch: epoch, Tenure: m.tenure}, func(d WorkerDone) {
		if n.owner == nil || n.owner.gen != gen {
			return
		}
		m.inFlight = false
		n.owner.contacts--
		n.contactHeirs()
		if m.forgotten {
			return
		}
		if !d.NotSent && answered(n, m, d.Report, was) {
			n.mark(m)
		}
	})
}

// sweep looks for leases that ran out and for attempts that were never sent.
func (n *Node) sweep() {
	o := n.owner
	n.contactHeirs()
	for _, id := range sortedKeys(o.afar) {
		if m := o.afar[id]; m.recall {
			n.drain(m)
		}
	}
	for _, m := range slices.Clone(o.byID) {
		if m.reports() && (n.quietFor(m) > time.Duration(probeReports*float64(n.longestReport())) || !m.reach.Hears()) {
			n.contact(m)
		}
		if !m.leaseEnd.IsZero() && n.now.After(m.leaseEnd) {
			if !m.empty() {
				n.leaseOver(m)
				continue
			}
			// If it is ever heard of again, it is in a later tenure and empty.
			o.forget(m)
			continue
		}
		if m.recall {
			n.drain(m)
		}
		for _, k := range m.attemptsIf(func(t *task) bool { return t.stop != stopNone && !t.sent }) {
			// Never told to anybody, so it is nowhere.
			n.gone(o.jobs[k.job], k.index, false)
		}
	}
}

// leaseOver counts a lease that has run out, with all that the machine had on it, once
// it is sure that the machine was this owner's until then: another one would have
// prolonged it.
func (n *Node) leaseOver(m *machine) {
	if n.now.Sub(m.checking) < checkEvery {
		return
	}
	m.checking = n.now
	gen := n.owner.gen
	n.ctlSure(func() {
		if n.owner == nil || n.owner.gen != gen || m.forgotten || !n.now.After(m.leaseEnd) {
			return
		}
		n.info("lease surely over", "machine", m.id, "attempts", len(m.attempts))
		n.loseAll(m, nil)
	})
}

// checkEvery separates two looks at the division for a lease that is over, when the
// first got no answer.
const checkEvery = 2 * time.Second

// noticeError is how much longer than announced a machine may stay.
const noticeError = 1.5

// drain stops what cannot end before the cloud takes the machine: what saves,
// just in time to save; other work at once, as it is lost in any case and can
// begin elsewhere the sooner.
func (n *Node) drain(m *machine) {
	left := m.recallAt.Sub(n.now)
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		j := n.owner.jobs[k.job]
		if t.stop != stopNone {
			continue
		}
		rest := n.expects(j)
		if !t.started.IsZero() {
			rest -= n.now.Sub(t.started)
		}
		saves := j.SaveEvery > 0 && !t.started.IsZero()
		if saves && left < j.SaveCost+n.longestReport() || !saves && (j.Standing || rest.Seconds() > noticeError*left.Seconds()) {
			t.stop = stopDrain
			n.mark(m)
		}
	}
}

// longestReport is the longest pause between two reports of a living worker.
func (n *Node) longestReport() time.Duration { return n.set.ReportEvery * 5 / 4 }

// reports says that a machine should be heard of: it has been, or a former owner
// had work on it.
func (m *machine) reports() bool { return m.heard || !m.empty() }

// quietFor is how long nothing has been heard of a machine; after a takeover
// the count begins when this owner was ready to hear, and of a machine that comes
// later, perhaps with work, when it came.
func (n *Node) quietFor(m *machine) time.Duration {
	return n.now.Sub(later(later(m.lastHeard, m.here), n.owner.readyAt))
}

// silent says that a machine has missed reports and does not answer. One that
// a former owner had work on counts as well, though it was never heard of here:
// it may have been lost before the takeover.
func (n *Node) silent(m *machine) bool {
	if !m.reports() {
		return false
	}
	if m.recall && n.now.After(m.recallAt) {
		// Taken, as it was announced.
		return n.quietFor(m) > n.longestReport()
	}
	return n.quietFor(m) > n.silentAfter(m) && n.now.Sub(m.cameAt) > n.silentAfter(m)
}

// silentAfter is how long nothing must have been heard of a machine.
func (n *Node) silentAfter(m *machine) time.Duration {
	limit := time.Duration(probeReports*float64(n.longestReport())) + probesSilent*probeEvery
	if m.heard && m.unanswered < probesSilent {
		// Not asked often enough, for want of connections.
		limit *= 2
	}
	return limit
}
