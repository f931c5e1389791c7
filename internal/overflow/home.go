package overflow

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clockDrift bounds how far two clusters' steady clocks run apart, with room
	// over the protocol's 0.05 %.
	clockDrift = 0.002
	// leaseMargin absorbs rounding and scheduling on both sides.
	leaseMargin = time.Second
	// takePatience is for how long a job is offered to a guest that neither
	// takes nor refuses it, before the home takes it back on proof.
	takePatience = 10 * time.Second
)

// HomeView is what the home's leader knows to be durable.
type HomeView struct {
	// Epoch is the stamp of the leader that asks.
	Epoch uint64
	// SureUntil: until then no other leader can have taken over. Afterwards no
	// report may be answered, since a successor counts the leases from then.
	SureUntil time.Time
	// Lent is everything that is lent to anybody.
	Lent []Lent
}

// Home is the lender's side: which guest has been heard, and until when its
// leases may run. A fresh one counts every lease from its beginning, as the one
// before may have gone on answering until then.
type Home struct {
	name  string
	since time.Time
	lease time.Duration
	peers map[string]*guestSeen
	// closing are loans for which a transaction is under way that ends them: no
	// word goes out that would keep them.
	closing map[Loan]bool
	offered map[Loan]time.Time
}

type guestSeen struct {
	epoch, tick uint64
	answered    time.Time
}

// NewHome makes the lender's side of the cluster called name. lease is how long
// its guests may go on without an answer.
func NewHome(name string, now time.Time, lease time.Duration) *Home {
	return &Home{
		name: name, since: now, lease: lease, peers: map[string]*guestSeen{},
		closing: map[Loan]bool{}, offered: map[Loan]time.Time{},
	}
}

// over is when nothing that the guest holds of a loan can run any more.
func (h *Home) over(l Lent) time.Time {
	from := h.since
	if p := h.peers[l.Peer]; p != nil && p.answered.After(from) {
		from = p.answered
	}
	return from.Add(time.Duration(float64(h.lease+l.Stop)*(1+clockDrift)) + leaseMargin)
}

// Closed tells that a transaction that would have ended a loan was not applied
// and never will be: the loan stands as before.
func (h *Home) Closed(l Loan) { delete(h.closing, l) }

// Answer takes a guest's report in. ok is false for a report that is to be
// refused: an older one than was heard, or one that comes when a successor may
// have taken over. The operations are to be made durable before anything else is
// decided of their loans.
func (h *Home) Answer(now time.Time, v HomeView, r Report) (a Answer, ops []HomeOp, ok bool) {
	if now.After(v.SureUntil) {
		return a, nil, false
	}
	p := h.peers[r.From]
	if p == nil {
		p = &guestSeen{}
		h.peers[r.From] = p
	}
	if r.Epoch < p.epoch || r.Epoch == p.epoch && r.Tick <= p.tick {
		return a, nil, false
	}
	p.epoch, p.tick, p.answered = r.Epoch, r.Tick, now
	a = Answer{Epoch: v.Epoch, Lease: h.lease}
	listed := map[Loan]LoanReport{}
	for _, lr := range r.Loans {
		listed[lr.Loan] = lr
	}
	ours := map[Loan]bool{}
	for _, l := range v.Lent {
		ours[l.Loan] = true
		if l.Peer != r.From || h.closing[l.Loan] {
			continue
		}
		lr, there := listed[l.Loan]
		// Absence proves that it was never taken and never will be only in a
		// report that was sent under this leader: the guest has dealt with all
		// answers that it got before.
		absent := !there && r.HomeEpoch == v.Epoch
		switch {
		case there && lr.State == Finished:
			ops = append(ops, h.close(HomeOp{Kind: Settle, Loan: l.Loan}))
		case there && lr.State == Gone:
			ops = append(ops, h.back(l, lr.Cause))
		case there && l.Cancel:
			a.Orders = append(a.Orders, Order{Verb: Stop, Loan: l.Loan})
		case there:
			delete(h.offered, l.Loan)
			a.Orders = append(a.Orders, Order{Verb: Keep, Loan: l.Loan})
		case absent && l.Cancel:
			ops = append(ops, h.back(l, Stopped))
		case absent && (r.Draining || !h.offered[l.Loan].IsZero() && now.Sub(h.offered[l.Loan]) > takePatience):
			why := Refused
			if r.Draining {
				why = Draining
			}
			ops = append(ops, h.back(l, why))
		case !l.Cancel:
			if h.offered[l.Loan].IsZero() {
				h.offered[l.Loan] = now
			}
			a.Orders = append(a.Orders, Order{Verb: Take, Loan: l.Loan, Spec: l.Spec, Age: now.Sub(l.At)})
		}
	}
	for _, lr := range r.Loans {
		if lr.Loan.Home != h.name || ours[lr.Loan] {
			continue
		}
		// Over here, whatever the guest still does of it.
		verb := Forget
		if lr.State == Held {
			verb = Stop
		}
		a.Orders = append(a.Orders, Order{Verb: verb, Loan: lr.Loan})
	}
	return a, ops, true
}

func (h *Home) close(op HomeOp) HomeOp {
	h.closing[op.Loan] = true
	delete(h.offered, op.Loan)
	return op
}

// back ends a loan of which nothing runs at the guest.
func (h *Home) back(l Lent, why Cause) HomeOp {
	kind := TakeBack
	if l.Cancel {
		kind = EndCancelled
	}
	return h.close(HomeOp{Kind: kind, Loan: l.Loan, Cause: why})
}

// Overdue are the loans whose lease has surely run out, clocks' drift and the
// guest's own bound counted.
func (h *Home) Overdue(now time.Time, v HomeView) []HomeOp {
	if now.After(v.SureUntil) {
		return nil
	}
	alive := map[Loan]bool{}
	var ops []HomeOp
	for _, l := range v.Lent {
		alive[l.Loan] = true
		if !h.closing[l.Loan] && now.After(h.over(l)) {
			ops = append(ops, h.back(l, LeaseOver))
		}
	}
	for l := range h.closing {
		if !alive[l] {
			delete(h.closing, l)
		}
	}
	for l := range h.offered {
		if !alive[l] {
			delete(h.offered, l)
		}
	}
	slices.SortFunc(ops, func(a, b HomeOp) int { return cmp.Compare(a.Loan.String(), b.Loan.String()) })
	return ops
}
