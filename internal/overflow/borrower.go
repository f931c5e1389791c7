package overflow

import (
	"maps"
	"slices"
	"time"
)

// startMargin is the last part of a lease, in which no task is started under it.
const startMargin = 500 * time.Millisecond

// BorrowerView is the durable state of the borrowing side, as the shard leader of the
// offloaded jobs' team knows it. In the comments on the borrowing side, the leader is
// this shard leader.
type BorrowerView struct {
	// Epoch is the epoch of the leader that decides.
	Epoch        uint64
	Draining     bool
	LendsItself  bool
	StopBound    time.Duration
	FreeCapacity []FreeCapacity
	CachedImages []string
	Borrowed     []BorrowedLoan
	// RenewedAt is, by home cluster, the sending time of an answered heartbeat, as
	// the previous leader stored it. A time that is too early is safe, since the loans
	// are then given up sooner; a time that is too late is not safe.
	RenewedAt map[string]time.Time
}

// Borrower is the volatile state of the borrowing side: until when its leases
// certainly run, and which loans their lenders have confirmed. It is not safe for
// concurrent use.
type Borrower struct {
	sequence uint64
	lenders  map[string]*lenderState
	// accepting holds the loans whose acceptance is being written. They are reported
	// as held, because the outcome is not known yet.
	accepting map[Loan]bool
	// refused holds the refused loans and the causes. It is not stored: after a change
	// of leader the lender offers these loans again.
	refused map[Loan]Cause
}

// lenderState is what the borrower knows of one lender.
type lenderState struct {
	// epoch is the lender's highest epoch seen in a reply.
	epoch uint64
	// leaseUntil is the end, on the local clock, of the leases from this lender.
	leaseUntil time.Time
	// sentAt and sequence are the sending time and the number of the heartbeat in
	// flight. sentAt is zero when no heartbeat is in flight.
	sentAt   time.Time
	sequence uint64
	// confirmed holds the loans that the last reply confirmed. Only tasks of these
	// loans may be started.
	confirmed map[Loan]bool
}

// NewBorrower returns a Borrower without a lease.
func NewBorrower() *Borrower {
	return &Borrower{lenders: map[string]*lenderState{}, accepting: map[Loan]bool{}, refused: map[Loan]Cause{}}
}

// lender returns the state of the named lender, and creates it if there is none.
func (borrower *Borrower) lender(name string) *lenderState {
	lender := borrower.lenders[name]
	if lender == nil {
		lender = &lenderState{confirmed: map[Loan]bool{}}
		borrower.lenders[name] = lender
	}
	return lender
}

// NewHeartbeat returns the next heartbeat from this cluster, from, to the lender,
// home. At most one heartbeat to a lender is in flight: HandleReply ignores a reply to
// any but the newest heartbeat.
func (borrower *Borrower) NewHeartbeat(now time.Time, from, home string, view BorrowerView) Heartbeat {
	borrower.sequence++
	lender := borrower.lender(home)
	lender.sentAt, lender.sequence = now, borrower.sequence
	heartbeat := Heartbeat{
		From: from, Epoch: view.Epoch, Sequence: borrower.sequence, HomeEpoch: lender.epoch,
		Draining: view.Draining, LendsItself: view.LendsItself, StopBound: view.StopBound, FreeCapacity: view.FreeCapacity, CachedImages: view.CachedImages,
	}
	for _, borrowed := range view.Borrowed {
		if borrowed.Loan.Home == home {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: borrowed.Loan, State: borrowed.State, Cause: borrowed.Cause, DoneTasks: borrowed.DoneTasks, RunningTasks: borrowed.RunningTasks})
		}
	}
	for _, loan := range sortedLoans(borrower.accepting) {
		if loan.Home == home && !isBorrowed(view, loan) {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: loan, State: Held})
		}
	}
	for _, loan := range sortedLoans(borrower.refused) {
		if loan.Home == home && !isBorrowed(view, loan) && !borrower.accepting[loan] {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: loan, State: Gone, Cause: borrower.refused[loan]})
		}
	}
	return heartbeat
}

// isBorrowed reports whether the view holds the loan.
func isBorrowed(view BorrowerView, loan Loan) bool {
	return slices.ContainsFunc(view.Borrowed, func(borrowed BorrowedLoan) bool { return borrowed.Loan == loan })
}

// HandleReply processes the reply to the heartbeat with the sequence number, and
// returns the transitions to make durable. accept decides on an offered job: it returns
// the cause of a refusal, or "" to accept the job. HandleReply ignores a reply to any
// but the newest heartbeat, a repeated reply, and a reply from a replaced leader.
func (borrower *Borrower) HandleReply(home string, sequence uint64, reply HeartbeatReply, view BorrowerView, accept func(Command) Cause) []BorrowerTransition {
	lender := borrower.lender(home)
	if sequence != lender.sequence || lender.sentAt.IsZero() || reply.Epoch < lender.epoch {
		return nil
	}
	lender.epoch = reply.Epoch
	if until := lender.sentAt.Add(reply.Lease); until.After(lender.leaseUntil) {
		lender.leaseUntil = until
	}
	lender.sentAt = time.Time{}
	var transitions []BorrowerTransition
	confirmed := map[Loan]bool{}
	for _, command := range reply.Commands {
		if command.Loan.Home != home {
			// A lender may give commands about its own loans only.
			continue
		}
		switch command.Kind {
		case Take:
			if borrower.handleOffer(command, view, accept) {
				transitions = append(transitions, BorrowerTransition{Kind: Accept, Loan: command.Loan, Spec: command.Spec, Age: command.Age})
			}
		case Keep:
			confirmed[command.Loan] = true
		case Stop:
			if slices.ContainsFunc(view.Borrowed, func(borrowed BorrowedLoan) bool { return borrowed.Loan == command.Loan && borrowed.isActive() }) {
				transitions = append(transitions, BorrowerTransition{Kind: GiveUp, Loan: command.Loan, Cause: Stopped})
			}
		case Forget:
			delete(borrower.refused, command.Loan)
			if isBorrowed(view, command.Loan) {
				transitions = append(transitions, BorrowerTransition{Kind: Drop, Loan: command.Loan})
			}
		}
	}
	// The lender may have taken back a loan that an earlier reply confirmed. Only the
	// loans that this reply confirms stay confirmed.
	lender.confirmed = confirmed
	return transitions
}

// handleOffer decides on an offered job and reports whether the caller has to write its
// acceptance. It ignores an offer of a loan that is held or being accepted.
func (borrower *Borrower) handleOffer(command Command, view BorrowerView, accept func(Command) Cause) bool {
	if isBorrowed(view, command.Loan) || borrower.accepting[command.Loan] {
		return false
	}
	var cause Cause
	switch {
	case view.Draining:
		cause = Draining
	case borrower.refused[command.Loan] != "":
		cause = borrower.refused[command.Loan]
	default:
		cause = accept(command)
	}
	if cause != "" {
		borrower.refused[command.Loan] = cause
		return false
	}
	borrower.accepting[command.Loan] = true
	return true
}

// NoteAccepted records the outcome of writing a loan's acceptance. written is false
// only if the acceptance is not durable and certainly never will be; the loan is then
// reported as refused.
func (borrower *Borrower) NoteAccepted(loan Loan, written bool) {
	delete(borrower.accepting, loan)
	if !written {
		borrower.refused[loan] = Refused
	}
}

// leaseUntil returns when the leases from home end. lease is the length of a lease
// inherited from the previous leader.
func (borrower *Borrower) leaseUntil(home string, lease time.Duration, view BorrowerView) time.Time {
	until := borrower.lender(home).leaseUntil
	if renewedAt := view.RenewedAt[home]; !renewedAt.IsZero() {
		// A lease that the previous leader obtained goes on under this leader.
		if inherited := renewedAt.Add(lease); inherited.After(until) {
			until = inherited
		}
	}
	return until
}

// StartableUntil returns the time until which tasks of a loan may be started. The time
// is zero, so that no task may be started, unless the lender's last reply confirmed
// the loan.
func (borrower *Borrower) StartableUntil(loan Loan) time.Time {
	lender := borrower.lender(loan.Home)
	if !lender.confirmed[loan] {
		return time.Time{}
	}
	return lender.leaseUntil.Add(-startMargin)
}

// ExpiredLoans returns the transitions that give up the loans whose lease has expired.
// lease is the length of a lease inherited from the previous leader.
func (borrower *Borrower) ExpiredLoans(now time.Time, lease time.Duration, view BorrowerView) []BorrowerTransition {
	var transitions []BorrowerTransition
	for _, borrowed := range view.Borrowed {
		if borrowed.isActive() && now.After(borrower.leaseUntil(borrowed.Loan.Home, lease, view)) {
			transitions = append(transitions, BorrowerTransition{Kind: GiveUp, Loan: borrowed.Loan, Cause: LeaseExpired})
		}
	}
	return transitions
}

// Renewals returns the times that a successor needs as BorrowerView.RenewedAt: for
// each home cluster with loans held here, the sending time of the last heartbeat that
// it answered. lease is the length of a lease.
func (borrower *Borrower) Renewals(lease time.Duration, view BorrowerView) map[string]time.Time {
	renewals := map[string]time.Time{}
	for _, borrowed := range view.Borrowed {
		if until := borrower.lender(borrowed.Loan.Home).leaseUntil; borrowed.State == Held && !until.IsZero() {
			renewals[borrowed.Loan.Home] = until.Add(-lease)
		}
	}
	return renewals
}

// sortedLoans returns the map's keys in the order of compareLoans.
func sortedLoans[V any](loans map[Loan]V) []Loan {
	return slices.SortedFunc(maps.Keys(loans), compareLoans)
}
