package overflow

import (
	"maps"
	"slices"
	"time"
)

// startMargin is how long before a lease's end nothing more is started under it.
const startMargin = 500 * time.Millisecond

// BorrowerView is what the leader of the offloaded jobs' team knows to be durable.
type BorrowerView struct {
	// Epoch is the epoch of the leader that decides.
	Epoch        uint64
	Draining     bool
	LendsItself  bool
	StopBound    time.Duration
	FreeCapacity []FreeCapacity
	CachedImages []string
	Borrowed     []BorrowedLoan
	// RenewedAt is, by home cluster, the sending time of a heartbeat that is known
	// to have been answered, as the previous leader stored it. An earlier time is
	// safe, a later one isn't.
	RenewedAt map[string]time.Time
}

// Borrower is the borrowing side's state: until when its leases certainly run, and
// which loans their lenders have confirmed.
type Borrower struct {
	sequence uint64
	lenders  map[string]*lenderState
	// accepting holds loans whose acceptance is being written. The outcome isn't
	// known yet, so they are reported as held.
	accepting map[Loan]bool
	// refused holds loans that were not taken. It is lost with this leader, after
	// which the lender merely offers them again.
	refused map[Loan]Cause
}

type lenderState struct {
	epoch uint64
	// leaseUntil is the end of the leases from this lender, on the local clock.
	leaseUntil time.Time
	// sentAt and sequence are those of the heartbeat in flight; sentAt is zero when
	// there is none.
	sentAt   time.Time
	sequence uint64
	// confirmed holds loans that the lender's present leader has confirmed. Only
	// their tasks may be started.
	confirmed map[Loan]bool
}

// NewBorrower returns a borrowing side that has no lease yet.
func NewBorrower() *Borrower {
	return &Borrower{lenders: map[string]*lenderState{}, accepting: map[Loan]bool{}, refused: map[Loan]Cause{}}
}

func (b *Borrower) lender(name string) *lenderState {
	lender := b.lenders[name]
	if lender == nil {
		lender = &lenderState{confirmed: map[Loan]bool{}}
		b.lenders[name] = lender
	}
	return lender
}

// NewHeartbeat returns the next heartbeat to the lender called home. One heartbeat
// to a lender is in flight at a time; a new one replaces it.
func (b *Borrower) NewHeartbeat(now time.Time, from, home string, view BorrowerView) Heartbeat {
	b.sequence++
	lender := b.lender(home)
	lender.sentAt, lender.sequence = now, b.sequence
	heartbeat := Heartbeat{
		From: from, Epoch: view.Epoch, Sequence: b.sequence, HomeEpoch: lender.epoch,
		Draining: view.Draining, LendsItself: view.LendsItself, StopBound: view.StopBound, FreeCapacity: view.FreeCapacity, CachedImages: view.CachedImages,
	}
	for _, borrowed := range view.Borrowed {
		if borrowed.Loan.Home == home {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: borrowed.Loan, State: borrowed.State, Cause: borrowed.Cause, DoneTasks: borrowed.DoneTasks, RunningTasks: borrowed.RunningTasks})
		}
	}
	for _, loan := range sortedLoans(b.accepting) {
		if loan.Home == home && !isBorrowed(view, loan) {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: loan, State: Held})
		}
	}
	for _, loan := range sortedLoans(b.refused) {
		if loan.Home == home && !isBorrowed(view, loan) && !b.accepting[loan] {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: loan, State: Gone, Cause: b.refused[loan]})
		}
	}
	return heartbeat
}

func isBorrowed(view BorrowerView, loan Loan) bool {
	return slices.ContainsFunc(view.Borrowed, func(b BorrowedLoan) bool { return b.Loan == loan })
}

// HandleReply takes in the reply to the heartbeat with that sequence number. accept
// decides whether a job is taken, and returns the cause of a refusal. A reply that
// comes too late, to another heartbeat or from a replaced leader is dropped whole.
func (b *Borrower) HandleReply(home string, sequence uint64, reply HeartbeatReply, view BorrowerView, accept func(Command) Cause) []BorrowerTransition {
	lender := b.lender(home)
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
			// A lender may command its own loans only.
			continue
		}
		switch command.Kind {
		case Take:
			if b.take(command, view, accept) {
				transitions = append(transitions, BorrowerTransition{Kind: Accept, Loan: command.Loan, Spec: command.Spec, Age: command.Age})
			}
		case Keep:
			confirmed[command.Loan] = true
		case Stop:
			if slices.ContainsFunc(view.Borrowed, func(b BorrowedLoan) bool { return b.Loan == command.Loan && b.isActive() }) {
				transitions = append(transitions, BorrowerTransition{Kind: GiveUp, Loan: command.Loan, Cause: Stopped})
			}
		case Forget:
			delete(b.refused, command.Loan)
			if isBorrowed(view, command.Loan) {
				transitions = append(transitions, BorrowerTransition{Kind: Drop, Loan: command.Loan})
			}
		}
	}
	// Loans that an earlier leader confirmed may have been taken back since: what
	// this reply doesn't confirm isn't confirmed any more.
	lender.confirmed = confirmed
	return transitions
}

// take decides about an offered job and reports whether its acceptance is to be
// written. An offer that is already being handled is ignored.
func (b *Borrower) take(command Command, view BorrowerView, accept func(Command) Cause) bool {
	if isBorrowed(view, command.Loan) || b.accepting[command.Loan] {
		return false
	}
	var cause Cause
	switch {
	case view.Draining:
		cause = Draining
	case b.refused[command.Loan] != "":
		cause = b.refused[command.Loan]
	default:
		cause = accept(command)
	}
	if cause != "" {
		b.refused[command.Loan] = cause
		return false
	}
	b.accepting[command.Loan] = true
	return true
}

// NoteAccepted records the outcome of writing an acceptance: it was written, or it
// certainly never will be.
func (b *Borrower) NoteAccepted(loan Loan, written bool) {
	delete(b.accepting, loan)
	if !written {
		b.refused[loan] = Refused
	}
}

// leaseUntil is when the leases from home end.
func (b *Borrower) leaseUntil(home string, lease time.Duration, view BorrowerView) time.Time {
	until := b.lender(home).leaseUntil
	if renewedAt := view.RenewedAt[home]; !renewedAt.IsZero() {
		// The previous leader's lease goes on under this one.
		if inherited := renewedAt.Add(lease); inherited.After(until) {
			until = inherited
		}
	}
	return until
}

// StartableUntil is until when tasks of a loan may be started. It is zero, for not
// at all, unless the lender's present leader has confirmed the loan.
func (b *Borrower) StartableUntil(loan Loan) time.Time {
	lender := b.lender(loan.Home)
	if !lender.confirmed[loan] {
		return time.Time{}
	}
	return lender.leaseUntil.Add(-startMargin)
}

// ExpiredLoans gives up the loans whose lease has run out. lease is how long a lease
// inherited from the previous leader runs.
func (b *Borrower) ExpiredLoans(now time.Time, lease time.Duration, view BorrowerView) []BorrowerTransition {
	var transitions []BorrowerTransition
	for _, borrowed := range view.Borrowed {
		if borrowed.isActive() && now.After(b.leaseUntil(borrowed.Loan.Home, lease, view)) {
			transitions = append(transitions, BorrowerTransition{Kind: GiveUp, Loan: borrowed.Loan, Cause: LeaseExpired})
		}
	}
	return transitions
}

// Renewals returns what to store for a successor: by home cluster with loans held
// here, the sending time of its last answered heartbeat.
func (b *Borrower) Renewals(lease time.Duration, view BorrowerView) map[string]time.Time {
	renewals := map[string]time.Time{}
	for _, borrowed := range view.Borrowed {
		if until := b.lender(borrowed.Loan.Home).leaseUntil; borrowed.State == Held && !until.IsZero() {
			renewals[borrowed.Loan.Home] = until.Add(-lease)
		}
	}
	return renewals
}

func sortedLoans[V any](m map[Loan]V) []Loan {
	return slices.SortedFunc(maps.Keys(m), compareLoans)
}
