package overflow

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// clockDrift bounds how far the steady clocks of two clusters run apart, as a
	// fraction. The protocol allows 0.05 %; the rest is reserve.
	clockDrift = 0.002
	// leaseMargin absorbs rounding and scheduling delays on both sides.
	leaseMargin = time.Second
	// takeTimeout is how long a job is offered to a borrower that neither takes
	// nor refuses it before the lender takes it back on proof of absence.
	takeTimeout = 10 * time.Second
)

// LenderView is what the lender's leader knows to be durable.
type LenderView struct {
	// Epoch is the epoch of the leader that decides.
	Epoch uint64
	// LeaseValidUntil is until when no other leader can have taken over. No
	// heartbeat may be answered later: a successor counts the borrowers' leases
	// from its own start.
	LeaseValidUntil time.Time
	// Lent holds every loan of this cluster to any peer.
	Lent []LentLoan
}

// Lender is the lending side's state: the last heartbeat of each borrower, and
// until when the borrowers' leases may run. A new Lender counts every lease from
// its own creation, since its predecessor may have answered until then.
type Lender struct {
	name      string
	startedAt time.Time
	lease     time.Duration
	borrowers map[string]*borrowerState
	// closing holds loans whose ending transaction is in flight. No command that
	// would keep such a loan may be sent.
	closing   map[Loan]bool
	offeredAt map[Loan]time.Time
}

type borrowerState struct {
	epoch, sequence uint64
	answeredAt      time.Time
}

// NewLender returns the lending side of the cluster called name. lease is how long
// its borrowers may go on without a reply.
func NewLender(name string, now time.Time, lease time.Duration) *Lender {
	return &Lender{
		name: name, startedAt: now, lease: lease, borrowers: map[string]*borrowerState{},
		closing: map[Loan]bool{}, offeredAt: map[Loan]time.Time{},
	}
}

// stoppedBy is the time after which no task of the loan can run at its borrower.
func (l *Lender) stoppedBy(loan LentLoan) time.Time {
	from := l.startedAt
	if b := l.borrowers[loan.Peer]; b != nil && b.answeredAt.After(from) {
		from = b.answeredAt
	}
	return from.Add(time.Duration(float64(l.lease+loan.StopBound)*(1+clockDrift)) + leaseMargin)
}

// CloseFailed notes that a transaction that would have ended the loan was not
// applied and never will be: the loan stands as before.
func (l *Lender) CloseFailed(loan Loan) { delete(l.closing, loan) }

// HandleHeartbeat takes in a borrower's heartbeat. ok is false for one that must be
// refused: it is older than the last one, or a successor may have taken over. The
// caller makes the transitions durable before it decides anything else about their
// loans.
func (l *Lender) HandleHeartbeat(now time.Time, view LenderView, heartbeat Heartbeat) (reply HeartbeatReply, transitions []LenderTransition, ok bool) {
	if now.After(view.LeaseValidUntil) || !l.noteHeartbeat(now, heartbeat) {
		return reply, nil, false
	}
	reply = HeartbeatReply{Epoch: view.Epoch, Lease: l.lease}
	reports := map[Loan]LoanReport{}
	for _, report := range heartbeat.Loans {
		reports[report.Loan] = report
	}
	lent := map[Loan]bool{}
	for _, loan := range view.Lent {
		lent[loan.Loan] = true
		if loan.Peer != heartbeat.From || l.closing[loan.Loan] {
			continue
		}
		var command *Command
		var transition *LenderTransition
		if report, reported := reports[loan.Loan]; reported {
			command, transition = l.reportedLoan(loan, report)
		} else {
			command, transition = l.absentLoan(now, view.Epoch, loan, heartbeat)
		}
		if command != nil {
			reply.Commands = append(reply.Commands, *command)
		}
		if transition != nil {
			transitions = append(transitions, *transition)
		}
	}
	for _, report := range heartbeat.Loans {
		if report.Loan.Home != l.name || lent[report.Loan] {
			continue
		}
		// The loan is over here, whatever the borrower still does for it.
		kind := Forget
		if report.State == Held {
			kind = Stop
		}
		reply.Commands = append(reply.Commands, Command{Kind: kind, Loan: report.Loan})
	}
	return reply, transitions, true
}

// noteHeartbeat records the heartbeat as the borrower's last one. It reports false
// for one that is not newer than the last.
func (l *Lender) noteHeartbeat(now time.Time, heartbeat Heartbeat) bool {
	borrower := l.borrowers[heartbeat.From]
	if borrower == nil {
		borrower = &borrowerState{}
		l.borrowers[heartbeat.From] = borrower
	}
	if heartbeat.Epoch < borrower.epoch || heartbeat.Epoch == borrower.epoch && heartbeat.Sequence <= borrower.sequence {
		return false
	}
	borrower.epoch, borrower.sequence, borrower.answeredAt = heartbeat.Epoch, heartbeat.Sequence, now
	return true
}

// reportedLoan decides about a loan that its borrower's heartbeat lists.
func (l *Lender) reportedLoan(loan LentLoan, report LoanReport) (*Command, *LenderTransition) {
	switch {
	case report.State == Finished:
		return nil, l.startClose(LenderTransition{Kind: Settle, Loan: loan.Loan})
	case report.State == Gone:
		return nil, l.takeBack(loan, report.Cause)
	case loan.CancelRequested:
		return &Command{Kind: Stop, Loan: loan.Loan}, nil
	}
	delete(l.offeredAt, loan.Loan)
	return &Command{Kind: Keep, Loan: loan.Loan}, nil
}

// absentLoan decides about a loan that its borrower's heartbeat doesn't list.
// Absence proves that the loan was never taken and never will be only if the
// heartbeat was sent under this leader's epoch: by then the borrower had handled
// all earlier replies.
func (l *Lender) absentLoan(now time.Time, epoch uint64, loan LentLoan, heartbeat Heartbeat) (*Command, *LenderTransition) {
	proven := heartbeat.HomeEpoch == epoch
	offeredAt := l.offeredAt[loan.Loan]
	switch {
	case proven && loan.CancelRequested:
		return nil, l.takeBack(loan, Stopped)
	case proven && heartbeat.Draining:
		return nil, l.takeBack(loan, Draining)
	case proven && !offeredAt.IsZero() && now.Sub(offeredAt) > takeTimeout:
		return nil, l.takeBack(loan, Refused)
	case loan.CancelRequested:
		return nil, nil
	}
	if offeredAt.IsZero() {
		l.offeredAt[loan.Loan] = now
	}
	return &Command{Kind: Take, Loan: loan.Loan, Spec: loan.Spec, Age: now.Sub(loan.SubmittedAt)}, nil
}

// startClose marks the transition's loan as being ended.
func (l *Lender) startClose(transition LenderTransition) *LenderTransition {
	l.closing[transition.Loan] = true
	delete(l.offeredAt, transition.Loan)
	return &transition
}

// takeBack ends a loan of which nothing runs at the borrower.
func (l *Lender) takeBack(loan LentLoan, cause Cause) *LenderTransition {
	kind := TakeBack
	if loan.CancelRequested {
		kind = EndCancelled
	}
	return l.startClose(LenderTransition{Kind: kind, Loan: loan.Loan, Cause: cause})
}

// ExpiredLoans takes back the loans whose lease has certainly run out, with clock
// drift and the borrower's own stop bound included.
func (l *Lender) ExpiredLoans(now time.Time, view LenderView) []LenderTransition {
	if now.After(view.LeaseValidUntil) {
		return nil
	}
	current := map[Loan]bool{}
	var transitions []LenderTransition
	for _, loan := range view.Lent {
		current[loan.Loan] = true
		if !l.closing[loan.Loan] && now.After(l.stoppedBy(loan)) {
			transitions = append(transitions, *l.takeBack(loan, LeaseExpired))
		}
	}
	maps.DeleteFunc(l.closing, func(loan Loan, _ bool) bool { return !current[loan] })
	maps.DeleteFunc(l.offeredAt, func(loan Loan, _ time.Time) bool { return !current[loan] })
	slices.SortFunc(transitions, func(a, b LenderTransition) int { return strings.Compare(a.Loan.String(), b.Loan.String()) })
	return transitions
}
