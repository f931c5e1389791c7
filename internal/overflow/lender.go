package overflow

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// clockDrift bounds the difference in rate between the monotonic clocks of two
	// clusters, as a fraction. The protocol allows 0.0005; the rest is a safety margin.
	clockDrift = 0.002
	// leaseMargin absorbs rounding and scheduling delays on both sides.
	leaseMargin = time.Second
	// takeTimeout is how long a job is offered to a borrower that neither accepts nor
	// refuses it. After that the lender takes the job back at the next heartbeat that
	// proves that the borrower doesn't hold it.
	takeTimeout = 10 * time.Second
)

// LenderView is the durable state of the lending side, as the lender's leader knows
// it.
type LenderView struct {
	// Epoch is the epoch of the leader that decides.
	Epoch uint64
	// LeaseValidUntil is the time until which no other leader can have taken over. No
	// heartbeat may be answered after it, because a successor counts the borrowers'
	// leases from its own start.
	LeaseValidUntil time.Time
	// Lent holds every loan of this cluster to any peer.
	Lent []LentLoan
}

// Lender is the volatile state of the lending side: the last heartbeat of each
// borrower, and until when the borrowers' leases may run. A new Lender counts every
// lease from its own creation, since its predecessor may have answered heartbeats until
// then. It is not safe for concurrent use.
type Lender struct {
	name      string
	startedAt time.Time
	lease     time.Duration
	borrowers map[string]*borrowerState
	// closing holds the loans whose ending transaction is in flight. No command that
	// would keep such a loan may be sent.
	closing map[Loan]bool
	// offeredAt is when a loan was first offered to its borrower, for the loans that
	// the borrower has not reported as held.
	offeredAt map[Loan]time.Time
}

// borrowerState is what the lender knows of one borrower: the epoch and number of the
// last heartbeat, and when it was answered.
type borrowerState struct {
	epoch, sequence uint64
	answeredAt      time.Time
}

// NewLender returns a Lender for the named cluster. lease is how long its borrowers may
// go on running loans without a reply.
func NewLender(name string, now time.Time, lease time.Duration) *Lender {
	return &Lender{
		name: name, startedAt: now, lease: lease, borrowers: map[string]*borrowerState{},
		closing: map[Loan]bool{}, offeredAt: map[Loan]time.Time{},
	}
}

// stoppedBy returns the time after which no task of the loan can run at its borrower.
func (lender *Lender) stoppedBy(loan LentLoan) time.Time {
	from := lender.startedAt
	if borrower := lender.borrowers[loan.Peer]; borrower != nil && borrower.answeredAt.After(from) {
		from = borrower.answeredAt
	}
	return from.Add(time.Duration(float64(lender.lease+loan.StopBound)*(1+clockDrift)) + leaseMargin)
}

// CloseFailed records that a transaction to end the loan was not applied and never will
// be. The loan goes on as before.
func (lender *Lender) CloseFailed(loan Loan) { delete(lender.closing, loan) }

// HandleHeartbeat processes a borrower's heartbeat and returns the reply and the
// transitions that follow from it. ok is false if the heartbeat must be refused: it is
// not newer than the borrower's last one, or another leader may have taken over. The
// caller makes each transition durable before it decides anything else about the
// transition's loan.
func (lender *Lender) HandleHeartbeat(now time.Time, view LenderView, heartbeat Heartbeat) (reply HeartbeatReply, transitions []LenderTransition, ok bool) {
	if now.After(view.LeaseValidUntil) || !lender.noteHeartbeat(now, heartbeat) {
		return reply, nil, false
	}
	reply = HeartbeatReply{Epoch: view.Epoch, Lease: lender.lease}
	reports := map[Loan]LoanReport{}
	for _, report := range heartbeat.Loans {
		reports[report.Loan] = report
	}
	lent := map[Loan]bool{}
	for _, loan := range view.Lent {
		lent[loan.Loan] = true
		if loan.Peer != heartbeat.From || lender.closing[loan.Loan] {
			continue
		}
		var command *Command
		var transition *LenderTransition
		if report, reported := reports[loan.Loan]; reported {
			command, transition = lender.handleReportedLoan(loan, report)
		} else {
			command, transition = lender.handleAbsentLoan(now, view.Epoch, loan, heartbeat)
		}
		if command != nil {
			reply.Commands = append(reply.Commands, *command)
		}
		if transition != nil {
			transitions = append(transitions, *transition)
		}
	}
	for _, report := range heartbeat.Loans {
		if report.Loan.Home != lender.name || lent[report.Loan] {
			continue
		}
		// The lender has ended this loan. The borrower has to stop the tasks that it
		// still runs for the loan, and to delete its record.
		kind := Forget
		if report.State == Held {
			kind = Stop
		}
		reply.Commands = append(reply.Commands, Command{Kind: kind, Loan: report.Loan})
	}
	return reply, transitions, true
}

// noteHeartbeat records the heartbeat as the borrower's last one. It returns false if
// the heartbeat is not newer than the last one.
func (lender *Lender) noteHeartbeat(now time.Time, heartbeat Heartbeat) bool {
	borrower := lender.borrowers[heartbeat.From]
	if borrower == nil {
		borrower = &borrowerState{}
		lender.borrowers[heartbeat.From] = borrower
	}
	if heartbeat.Epoch < borrower.epoch || heartbeat.Epoch == borrower.epoch && heartbeat.Sequence <= borrower.sequence {
		return false
	}
	borrower.epoch, borrower.sequence, borrower.answeredAt = heartbeat.Epoch, heartbeat.Sequence, now
	return true
}

// handleReportedLoan decides on a loan that its borrower's heartbeat lists. Either result may
// be nil.
func (lender *Lender) handleReportedLoan(loan LentLoan, report LoanReport) (*Command, *LenderTransition) {
	switch {
	case report.State == Finished:
		return nil, lender.startClose(LenderTransition{Kind: Settle, Loan: loan.Loan})
	case report.State == Gone:
		return nil, lender.takeBack(loan, report.Cause)
	case loan.CancelRequested:
		return &Command{Kind: Stop, Loan: loan.Loan}, nil
	}
	delete(lender.offeredAt, loan.Loan)
	return &Command{Kind: Keep, Loan: loan.Loan}, nil
}

// handleAbsentLoan decides on a loan that its borrower's heartbeat doesn't list. Either result
// may be nil. Absence proves that the borrower has not accepted the loan and never will
// only if the heartbeat's HomeEpoch is this leader's epoch: the borrower had then
// handled all earlier replies.
func (lender *Lender) handleAbsentLoan(now time.Time, epoch uint64, loan LentLoan, heartbeat Heartbeat) (*Command, *LenderTransition) {
	proven := heartbeat.HomeEpoch == epoch
	offeredAt := lender.offeredAt[loan.Loan]
	switch {
	case proven && loan.CancelRequested:
		return nil, lender.takeBack(loan, Stopped)
	case proven && heartbeat.Draining:
		return nil, lender.takeBack(loan, Draining)
	case proven && !offeredAt.IsZero() && now.Sub(offeredAt) > takeTimeout:
		return nil, lender.takeBack(loan, Refused)
	case loan.CancelRequested:
		return nil, nil
	}
	if offeredAt.IsZero() {
		lender.offeredAt[loan.Loan] = now
	}
	return &Command{Kind: Take, Loan: loan.Loan, Spec: loan.Spec, Age: now.Sub(loan.SubmittedAt)}, nil
}

// startClose marks the transition's loan as closing and returns the transition.
func (lender *Lender) startClose(transition LenderTransition) *LenderTransition {
	lender.closing[transition.Loan] = true
	delete(lender.offeredAt, transition.Loan)
	return &transition
}

// takeBack returns the transition that ends a loan that runs no task at its borrower:
// the job returns home, or ends if its user has cancelled it.
func (lender *Lender) takeBack(loan LentLoan, cause Cause) *LenderTransition {
	kind := TakeBack
	if loan.CancelRequested {
		kind = EndCancelled
	}
	return lender.startClose(LenderTransition{Kind: kind, Loan: loan.Loan, Cause: cause})
}

// ExpiredLoans returns the transitions that take back the loans whose lease has
// certainly expired, with the clock drift and the borrower's stop bound included.
func (lender *Lender) ExpiredLoans(now time.Time, view LenderView) []LenderTransition {
	if now.After(view.LeaseValidUntil) {
		return nil
	}
	current := map[Loan]bool{}
	var transitions []LenderTransition
	for _, loan := range view.Lent {
		current[loan.Loan] = true
		if !lender.closing[loan.Loan] && now.After(lender.stoppedBy(loan)) {
			transitions = append(transitions, *lender.takeBack(loan, LeaseExpired))
		}
	}
	maps.DeleteFunc(lender.closing, func(loan Loan, _ bool) bool { return !current[loan] })
	maps.DeleteFunc(lender.offeredAt, func(loan Loan, _ time.Time) bool { return !current[loan] })
	slices.SortFunc(transitions, func(a, b LenderTransition) int { return strings.Compare(a.Loan.String(), b.Loan.String()) })
	return transitions
}
