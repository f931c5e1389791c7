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
	// takeTimeout is for how long a job is offered to a guest that neither
	// takes nor refuses it, before the home takes it back on proof.
	takeTimeout = 10 * time.Second
)

// LenderView is what the home's leader knows to be durable.
type LenderView struct {
	// Epoch is the stamp of the leader that asks.
	Epoch uint64
	// LeaseValidUntil: until then no other leader can have taken over. Afterwards no
	// report may be answered, since a successor counts the leases from then.
	LeaseValidUntil time.Time
	// Lent is everything that is lent to anybody.
	Lent []LentLoan
}

// Lender is the lender's side: which guest has been heard, and until when its
// leases may run. A fresh one counts every lease from its beginning, as the one
// before may have gone on answering until then.
type Lender struct {
	name      string
	startedAt time.Time
	lease     time.Duration
	borrowers map[string]*borrowerState
	// closing are loans for which a transaction is under way that ends them: no
	// word goes out that would keep them.
	closing   map[Loan]bool
	offeredAt map[Loan]time.Time
}

type borrowerState struct {
	epoch, sequence uint64
	answeredAt      time.Time
}

// NewLender makes the lender's side of the cluster called name. lease is how long
// its guests may go on without an answer.
func NewLender(name string, now time.Time, lease time.Duration) *Lender {
	return &Lender{
		name: name, startedAt: now, lease: lease, borrowers: map[string]*borrowerState{},
		closing: map[Loan]bool{}, offeredAt: map[Loan]time.Time{},
	}
}

// stoppedBy is when nothing that the guest holds of a loan can run any more.
func (h *Lender) stoppedBy(l LentLoan) time.Time {
	from := h.startedAt
	if p := h.borrowers[l.Peer]; p != nil && p.answeredAt.After(from) {
		from = p.answeredAt
	}
	return from.Add(time.Duration(float64(h.lease+l.StopBound)*(1+clockDrift)) + leaseMargin)
}

// CloseFailed tells that a transaction that would have ended a loan was not applied
// and never will be: the loan stands as before.
func (h *Lender) CloseFailed(l Loan) { delete(h.closing, l) }

// HandleHeartbeat takes a guest's report in. ok is false for a report that is to be
// refused: an older one than was heard, or one that comes when a successor may
// have taken over. The operations are to be made durable before anything else is
// decided of their loans.
func (h *Lender) HandleHeartbeat(now time.Time, view LenderView, heartbeat Heartbeat) (reply HeartbeatReply, transitions []LenderTransition, ok bool) {
	if now.After(view.LeaseValidUntil) {
		return reply, nil, false
	}
	borrower := h.borrowers[heartbeat.From]
	if borrower == nil {
		borrower = &borrowerState{}
		h.borrowers[heartbeat.From] = borrower
	}
	if heartbeat.Epoch < borrower.epoch || heartbeat.Epoch == borrower.epoch && heartbeat.Sequence <= borrower.sequence {
		return reply, nil, false
	}
	borrower.epoch, borrower.sequence, borrower.answeredAt = heartbeat.Epoch, heartbeat.Sequence, now
	reply = HeartbeatReply{Epoch: view.Epoch, Lease: h.lease}
	listed := map[Loan]LoanReport{}
	for _, lr := range heartbeat.Loans {
		listed[lr.Loan] = lr
	}
	ours := map[Loan]bool{}
	for _, l := range view.Lent {
		ours[l.Loan] = true
		if l.Peer != heartbeat.From || h.closing[l.Loan] {
			continue
		}
		lr, isListed := listed[l.Loan]
		// Absence proves that it was never taken and never will be only in a
		// report that was sent under this leader: the guest has dealt with all
		// answers that it got before.
		absent := !isListed && heartbeat.HomeEpoch == view.Epoch
		switch {
		case isListed && lr.State == Finished:
			transitions = append(transitions, h.startClose(LenderTransition{Kind: Settle, Loan: l.Loan}))
		case isListed && lr.State == Gone:
			transitions = append(transitions, h.takeBack(l, lr.Cause))
		case isListed && l.CancelRequested:
			reply.Commands = append(reply.Commands, Command{Kind: Stop, Loan: l.Loan})
		case isListed:
			delete(h.offeredAt, l.Loan)
			reply.Commands = append(reply.Commands, Command{Kind: Keep, Loan: l.Loan})
		case absent && l.CancelRequested:
			transitions = append(transitions, h.takeBack(l, Stopped))
		case absent && (heartbeat.Draining || !h.offeredAt[l.Loan].IsZero() && now.Sub(h.offeredAt[l.Loan]) > takeTimeout):
			cause := Refused
			if heartbeat.Draining {
				cause = Draining
			}
			transitions = append(transitions, h.takeBack(l, cause))
		case !l.CancelRequested:
			if h.offeredAt[l.Loan].IsZero() {
				h.offeredAt[l.Loan] = now
			}
			reply.Commands = append(reply.Commands, Command{Kind: Take, Loan: l.Loan, Spec: l.Spec, Age: now.Sub(l.SubmittedAt)})
		}
	}
	for _, lr := range heartbeat.Loans {
		if lr.Loan.Home != h.name || ours[lr.Loan] {
			continue
		}
		// Over here, whatever the guest still does of it.
		verb := Forget
		if lr.State == Held {
			verb = Stop
		}
		reply.Commands = append(reply.Commands, Command{Kind: verb, Loan: lr.Loan})
	}
	return reply, transitions, true
}

func (h *Lender) startClose(op LenderTransition) LenderTransition {
	h.closing[op.Loan] = true
	delete(h.offeredAt, op.Loan)
	return op
}

// takeBack ends a loan of which nothing runs at the guest.
func (h *Lender) takeBack(l LentLoan, why Cause) LenderTransition {
	kind := TakeBack
	if l.CancelRequested {
		kind = EndCancelled
	}
	return h.startClose(LenderTransition{Kind: kind, Loan: l.Loan, Cause: why})
}

// ExpiredLoans are the loans whose lease has surely run out, clocks' drift and the
// guest's own bound counted.
func (h *Lender) ExpiredLoans(now time.Time, v LenderView) []LenderTransition {
	if now.After(v.LeaseValidUntil) {
		return nil
	}
	current := map[Loan]bool{}
	var ops []LenderTransition
	for _, l := range v.Lent {
		current[l.Loan] = true
		if !h.closing[l.Loan] && now.After(h.stoppedBy(l)) {
			ops = append(ops, h.takeBack(l, LeaseExpired))
		}
	}
	for l := range h.closing {
		if !current[l] {
			delete(h.closing, l)
		}
	}
	for l := range h.offeredAt {
		if !current[l] {
			delete(h.offeredAt, l)
		}
	}
	slices.SortFunc(ops, func(a, b LenderTransition) int { return cmp.Compare(a.Loan.String(), b.Loan.String()) })
	return ops
}
