package core

import (
	"time"

	"github.com/micahill/micahill/internal/reachability"
)

// hear.go says what a message of a worker proves. A report may be late, or a copy of one
// that came before: minutes old, of a machine that is gone or another's by now. Reports
// are ordered by tenure and tick, but a successor knows no earlier ones. So the first
// that counts is one that shows this owner's epoch, which nobody could have sent before
// its time, or the answer to a direct question.

// unheardMost is how many reports of a machine that has shown no sign of this owner's
// answers are answered while its address does not answer either. Each answer counts as
// one that prolonged its lease, and would put off the proof that this has run out.
const unheardMost = 3

// answerWait is how long a worker waits for the answer to a report.
const answerWait = 4 * time.Second

// older says that something newer than the report was heard. What a worker has seen of
// epochs never falls: a copy of before it began anew may have a higher tenure, but not
// the epoch of a later owner.
func (m *machine) older(r *Report) bool {
	return r.Epoch < m.seenEpoch || r.Tenure < m.tenure || r.Tenure == m.tenure && r.Tick <= m.tick
}

// passedOver deals with reports that prove nothing, and says whether this is one.
func passedOver(n *Node, m *machine, c *WorkerReport) bool {
	r := &c.Report
	switch {
	case m.heard && m.older(r):
		// A copy, or overtaken: it was sent before what is known came, so that nobody
		// waits for its answer any more when that is long ago. Else it is answered and
		// ordered nothing. Perhaps the worker has begun anew: its own answer would tell.
		n.contact(m)
		if n.now.Sub(m.newest) > answerWait {
			n.emit(ReportReply{Reply: c.Reply, Status: 503})
			break
		}
		renewOnly(n, m, c)
	case m.anew != 0 && r.Epoch <= m.anew:
		// Perhaps of the time before its worker began anew. Its own answers tell, until
		// its reports show an epoch that it can only have seen since.
		m.probed = time.Time{}
		n.contact(m)
		renewOnly(n, m, c)
	case !m.heard && r.Epoch < m.epoch:
		if m.addr == "" {
			n.describe(m, r.Addr, r.Flavour, r.Zone, r.Spot)
		}
		if m.unanswered >= probesSilent && m.unheard >= unheardMost {
			n.emit(ReportReply{Reply: c.Reply, Status: 503})
		} else {
			m.unheard++
			renewOnly(n, m, c)
		}
		// If the answer arrives, the worker shows that with its next report, half a second
		// later. Shown the epoch directly, it answers sooner.
		if m.tenure = r.Tenure; !m.inFlight && n.owner.contacts < contactMost {
			n.claimMachine(m)
		}
	default:
		return false
	}
	return true
}

// seen is what was known of a machine before a message of it.
type seen struct {
	heard        bool
	tenure, tick uint64
	epoch        uint64
	last         []TaskReport
}

func (m *machine) seen() seen { return seen{m.heard, m.tenure, m.tick, m.seenEpoch, m.last} }

// signs looks at a report that was taken in for what only an answer or order of ours
// can have brought.
func signs(n *Node, m *machine, r *Report, was seen) {
	m.unheard = 0
	shown := m.shown || was.epoch < m.epoch && r.Epoch >= m.epoch
	m.shown = false
	if !was.heard {
		if shown {
			m.reach.Shown()
		}
		return
	}
	if r.Tenure > was.tenure {
		m.reach.Tenure(n.now)
		probe(n, m)
		return
	}
	for i := range was.last {
		// Cleared: only an order does that. They are cleared in their order.
		if p := &was.last[i]; p.Status == Ended {
			q, there := m.pieces[taskKey{p.Job, p.Index}]
			shown = shown || !there || q.Try != p.Try
			break
		}
	}
	if shown {
		m.reach.Shown()
		n.selfMonitor.Arrived()
		return
	}
	m.reach.Report(n.now, r.Tick > was.tick+1, n.leaseAfter(n.now).Sub(n.now))
	probe(n, m)
}

// probe asks a machine at once of which it is not sure that it hears.
func probe(n *Node, m *machine) {
	if !m.reach.Hears() {
		m.probed = time.Time{}
		n.contact(m)
	}
}

// expectSign notes what an answer to a report will have to show.
func expectSign(m *machine, orders []Order) {
	if m.seenEpoch < m.epoch {
		m.reach.Expects()
	}
	for _, o := range orders {
		if o.Verb != Halt {
			m.reach.Expects()
			return
		}
	}
}

// answered takes in the answer of a machine to a direct request, or that there was
// none. was is what was known of the machine when the request left: if the answer is
// older, the worker has begun anew, under the same name and without its tasks. No late
// message can look like that, since it answers our own question. The worker then knows
// nothing of its tenure, its epoch and its tasks: what should run there is ordered to
// start there again, as any start may be repeated, and goes elsewhere only by the usual
// proof. Late reports and orders of before are told apart by a higher epoch.
func answered(n *Node, m *machine, r *Report, was seen) bool {
	if r == nil || r.Machine != m.id {
		m.unanswered++
		if was.heard {
			// Before that it may not have been up.
			m.reach.Unanswered(n.now)
		}
		n.selfMonitor.Unanswered(n.now)
		return false
	}
	m.reach.Answered()
	m.questioned = false
	n.selfMonitor.Arrived()
	if old := (machine{tenure: was.tenure, tick: was.tick, seenEpoch: was.epoch}); was.heard && old.older(r) {
		n.info("a worker has begun anew", "machine", m.id, "tenure", r.Tenure)
		m.tenure, m.tick, m.seenEpoch = r.Tenure, r.Tick-min(r.Tick, 1), 0
		m.anew, m.came = m.epoch, Came{}
		m.leaseEnd = later(m.leaseEnd, n.leaseAfter(later(n.now, m.former)))
		if m.replyTick != 0 {
			m.replyTick = r.Tick
		}
		m.pieces, m.last, m.images = nil, nil, map[string]*image{}
		for _, k := range sortedAttempts(m) {
			if t := m.attempts[k]; t.isRunning() {
				n.owner.jobs[k.job].running--
			}
			m.attempts[k].seen, m.attempts[k].started = false, time.Time{}
		}
		n.countForeign(m)
	}
	n.hear(m, r, false)
	m.shown = false
	return true
}

// unhearing names the machines that report and hear nothing, and are to be given back.
func unhearing(n *Node, reporting int) []string {
	o := n.owner
	var deaf []reachability.Machine
	for _, m := range o.byID {
		if !m.heard || m.returning || n.silent(m) {
			continue
		}
		if d, is := m.reach.Deaf(n.now); is {
			deaf = append(deaf, reachability.Machine{ID: m.id, Tasks: len(m.attempts) + o.registry.Count(m.id), For: d})
		}
	}
	if len(deaf) == 0 {
		return nil
	}
	p := reachability.Patience{Alone: probesSilent*probeEvery + n.longestReport(), Lease: n.leaseAfter(n.now).Sub(n.now), Returned: o.deafBack}
	back := reachability.GiveBack(n.now, p, reporting, deaf)
	if len(back) > 0 {
		o.deafBack = n.now
		n.info("machines report and hear nothing", "machines", len(deaf), "of", reporting, "given back", len(back))
	}
	return back
}
