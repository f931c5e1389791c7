package overflow

import (
	"slices"
	"time"
)

// clock is the borrower's steady clock, which drifts.
func (s *modelSim) clock(b *modelBorrower) time.Time {
	return s.startedAt.Add(time.Duration(float64(s.now.Sub(s.startedAt)) * b.drift))
}

func (s *modelSim) borrowerView(b *modelBorrower) BorrowerView {
	view := BorrowerView{Epoch: b.epoch, Draining: b.draining, StopBound: modelStopBound, RenewedAt: map[string]time.Time{"east": b.renewedAt}}
	if b.renewedAt.IsZero() {
		view.RenewedAt = nil
	}
	for loan, held := range b.loans {
		view.Borrowed = append(view.Borrowed, BorrowedLoan{Loan: loan, Spec: held.spec, State: held.state, Cause: held.cause, Ending: held.ending, Started: held.started})
	}
	slices.SortFunc(view.Borrowed, func(x, y BorrowedLoan) int { return compareLoans(x.Loan, y.Loan) })
	return view
}

// commitBorrower makes a transition durable, perhaps late. It requires the leader
// and the loan's record to be unchanged.
func (s *modelSim) commitBorrower(b *modelBorrower, transition BorrowerTransition) {
	version := func() int {
		if held := b.loans[transition.Loan]; held != nil {
			return held.version
		}
		return -1
	}
	epoch, borrower, decidedAt := b.epoch, b.borrower, version()
	known := false
	apply := func() {
		ok := (s.omitted.unfenced || epoch == b.epoch) && version() == decidedAt
		if ok {
			s.applyBorrower(b, transition)
		}
		if !known && b.borrower == borrower && transition.Kind == Accept {
			known = true
			b.borrower.NoteAccepted(transition.Loan, ok)
		}
	}
	s.send(apply)
	if transition.Kind == Accept {
		// A write without a response is repeated until its outcome is known.
		var retry func()
		retry = func() {
			if !known && b.borrower == borrower && b.up {
				apply()
				if !known {
					s.after(2*time.Second, retry)
				}
			}
		}
		s.after(3*time.Second, retry)
	}
}

func (s *modelSim) applyBorrower(b *modelBorrower, transition BorrowerTransition) {
	switch transition.Kind {
	case Accept:
		b.loans[transition.Loan] = &modelLoan{spec: transition.Spec, remaining: modelRun}
		s.takenCount++
	case GiveUp:
		held := b.loans[transition.Loan]
		if held.state == Held && !held.ending {
			held.ending, held.cause, held.endAt = true, transition.Cause, s.now.Add(time.Duration(s.rng.IntN(2000))*time.Millisecond)
			held.version++
		}
	case Drop:
		delete(b.loans, transition.Loan)
	}
}

func (s *modelSim) sendHeartbeat(b *modelBorrower) {
	heartbeat := b.borrower.NewHeartbeat(s.clock(b), b.name, "east", s.borrowerView(b))
	borrower := b.borrower
	s.message(b, func() {
		if !s.lenderUp {
			return
		}
		view := s.lenderView()
		if s.omitted.anyAbsence {
			heartbeat.HomeEpoch = view.Epoch
		}
		reply, transitions, ok := s.lender.HandleHeartbeat(s.now, view, heartbeat)
		if !ok {
			return
		}
		s.commitLenderAll(transitions)
		s.message(b, func() {
			if b.borrower != borrower || !b.up {
				return
			}
			if lender := borrower.lender("east"); heartbeat.Sequence == lender.sequence && !lender.sentAt.IsZero() && reply.Epoch >= lender.epoch {
				if until := lender.sentAt.Add(reply.Lease); until.After(b.leaseUntil) {
					b.leaseUntil = until
				}
			}
			for _, transition := range b.borrower.HandleReply("east", heartbeat.Sequence, reply, s.borrowerView(b), func(Command) Cause { return "" }) {
				s.commitBorrower(b, transition)
			}
		})
	})
}

func (s *modelSim) restartBorrower(b *modelBorrower) {
	b.epoch++
	b.borrower, b.up = NewBorrower(), true
	if s.omitted.freshLeases {
		b.renewedAt = s.clock(b)
		b.leaseUntil = b.renewedAt.Add(modelLease)
	}
	b.nextAt = s.now
}

// stepBorrower advances a borrower and the loans that it holds by one step.
func (s *modelSim) stepBorrower(b *modelBorrower) {
	now := s.clock(b)
	if b.up {
		view := s.borrowerView(b)
		for _, transition := range b.borrower.ExpiredLoans(now, modelLease, view) {
			s.commitBorrower(b, transition)
		}
		for _, renewedAt := range b.borrower.Renewals(modelLease, view) {
			b.renewedAt = renewedAt
		}
		if !s.now.Before(b.nextAt) {
			b.nextAt = s.now.Add(time.Second)
			s.sendHeartbeat(b)
		}
	}
	for _, loan := range sortedLoans(b.loans) {
		s.stepLoan(b, loan, now)
	}
}

func (s *modelSim) stepLoan(b *modelBorrower, loan Loan, now time.Time) {
	held := b.loans[loan]
	if held.running && !b.up && s.now.Sub(b.downAt) > modelStopBound/2 {
		held.running = false // the workers stopped it by themselves
	}
	if held.running && now.After(b.leaseUntil.Add(modelStopBound)) {
		held.running = false
	}
	if held.ending && held.running && !s.now.Before(held.endAt) {
		held.running = false
	}
	if held.state == Held && held.ending && !held.running {
		held.state = Gone
		held.version++
	}
	if held.state == Held && !held.ending && !held.running && b.up {
		until := b.borrower.StartableUntil(loan)
		if s.omitted.unconfirmed {
			until = now.Add(time.Second)
		}
		if now.Before(until) {
			held.running, held.started = true, true
			s.startedCount++
		}
	}
	if held.running {
		if held.remaining -= modelStep; held.remaining <= 0 {
			held.running, held.state = false, Finished
			s.finishedCount++
			held.version++
		}
	}
}
