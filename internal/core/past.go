package core

import "time"

// past.go tells copies of reports from news where the books of their machine can't: the
// machine has been dropped since and is taken up under the epoch that it had, or its
// newest messages came to another controller. Such a copy looks like the newest that was
// ever heard. Taken for that, it would be a sign of life of a machine that is gone, have
// work placed there and put the end of a lease off.

// pastKept is how long the newest message of a dropped machine is remembered. Messages
// can arrive minutes late.
const pastKept = 10 * time.Minute

// lastWord is the newest message that is known of a machine, and when it came.
type lastWord struct {
	epoch, tenure, tick uint64
	at                  time.Time
}

// covers says that a report was sent no later than the last word. One that shows a higher
// epoch was sent later, also by a worker that has begun anew.
func (w lastWord) covers(r *Report) bool {
	return r.Epoch < w.epoch || r.Epoch == w.epoch && (r.Tenure < w.tenure || r.Tenure == w.tenure && r.Tick <= w.tick)
}

// remember keeps the last word of a machine that is dropped.
func (o *owner) remember(m *machine) {
	if !m.heard {
		// Of before, if there is one.
		return
	}
	if o.past == nil {
		o.past = map[string]lastWord{}
	}
	for id, w := range o.past {
		if m.newest.Sub(w.at) > pastKept {
			delete(o.past, id)
		}
	}
	o.past[m.id] = lastWord{m.seenEpoch, m.tenure, m.tick, m.newest}
}

// lastWord is what a report of a machine must be newer than, beside what its books say.
func (o *owner) lastWord(n *Node, id string) (lastWord, bool) {
	m := o.machines[id]
	if m == nil || !m.heard {
		w, ok := o.past[id]
		return w, ok
	}
	// A worker that another controller sends here comes at once.
	return lastWord{m.came.Epoch, m.came.Tenure, m.came.Tick, m.cameAt}, m.came.ID != "" && n.now.Sub(m.cameAt) > answerWait
}

// comesLate deals with a report that is such a copy, and says whether it is one. Nobody
// waits for its answer. Perhaps its worker has begun anew: its own answer would tell.
func comesLate(n *Node, c *WorkerReport) bool {
	o, r := n.owner, &c.Report
	if o == nil || !o.ready || n.returned[r.Machine] {
		return false
	}
	w, ok := o.lastWord(n, r.Machine)
	if !ok || !w.covers(r) {
		return false
	}
	if x, mine := n.mine(r.Machine); !mine || r.Epoch > x.Epoch {
		return false
	}
	m := n.machine(r.Machine)
	if m.addr == "" {
		n.describe(m, r.Addr, r.Flavour, r.Zone, r.Spot)
	}
	if !m.heard {
		// Never heard of again, it is dropped again.
		m.leaseEnd = later(m.leaseEnd, n.leaseAfter(n.now))
	}
	n.contact(m)
	n.emit(ReportReply{Reply: c.Reply, Status: 503})
	return true
}
