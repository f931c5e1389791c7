package overflow

import (
	"slices"
	"time"
)

// startMargin before a lease's end nothing more is started for it.
const startMargin = 500 * time.Millisecond

// BorrowerView is what the guest's leader knows to be durable.
type BorrowerView struct {
	// Epoch is the stamp of the leader that asks.
	Epoch        uint64
	Draining     bool
	LendsItself  bool
	StopBound    time.Duration
	FreeCapacity []FreeCapacity
	CachedImages []string
	Borrowed     []BorrowedLoan
	// RenewedAt is, for each home, when a report was sent that is known to have
	// been answered, as the leader before wrote it down; earlier is safe.
	RenewedAt map[string]time.Time
}

// Borrower is the borrower's side: until when its leases surely run, and which
// homes have confirmed what it holds.
type Borrower struct {
	sequence uint64
	lenders  map[string]*lenderState
	// accepting are loans whose acceptance is being written; whether it was or
	// will be is not known, so they are reported as held.
	accepting map[Loan]bool
	// refused are loans that were not taken; forgotten with this leader, which
	// only makes the home ask again.
	refused map[Loan]Cause
}

type lenderState struct {
	epoch uint64
	// until: this guest's leases from that home run until then, on this clock.
	leaseUntil time.Time
	// sentAt is when the report under way was sent, and its tick.
	sentAt   time.Time
	sequence uint64
	// confirmed are loans that the home has called this guest's under the present
	// leader. Only these may be started.
	confirmed map[Loan]bool
}

// NewBorrower makes the borrower's side.
func NewBorrower() *Borrower {
	return &Borrower{lenders: map[string]*lenderState{}, accepting: map[Loan]bool{}, refused: map[Loan]Cause{}}
}

func (g *Borrower) lender(name string) *lenderState {
	h := g.lenders[name]
	if h == nil {
		h = &lenderState{confirmed: map[Loan]bool{}}
		g.lenders[name] = h
	}
	return h
}

// NewHeartbeat is what the home is told now. One report is under way at a time.
func (g *Borrower) NewHeartbeat(now time.Time, from, home string, v BorrowerView) Heartbeat {
	g.sequence++
	h := g.lender(home)
	h.sentAt, h.sequence = now, g.sequence
	heartbeat := Heartbeat{
		From: from, Epoch: v.Epoch, Sequence: g.sequence, HomeEpoch: h.epoch,
		Draining: v.Draining, LendsItself: v.LendsItself, StopBound: v.StopBound, FreeCapacity: v.FreeCapacity, CachedImages: v.CachedImages,
	}
	for _, b := range v.Borrowed {
		if b.Loan.Home == home {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: b.Loan, State: b.State, Cause: b.Cause, DoneTasks: b.DoneTasks, RunningTasks: b.RunningTasks})
		}
	}
	for _, l := range sortedLoans(g.accepting) {
		if l.Home == home && !isBorrowed(v, l) {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: l, State: Held})
		}
	}
	for _, l := range sortedLoans(g.refused) {
		if l.Home == home && !isBorrowed(v, l) && !g.accepting[l] {
			heartbeat.Loans = append(heartbeat.Loans, LoanReport{Loan: l, State: Gone, Cause: g.refused[l]})
		}
	}
	return heartbeat
}

func isBorrowed(v BorrowerView, l Loan) bool {
	return slices.ContainsFunc(v.Borrowed, func(b BorrowedLoan) bool { return b.Loan == l })
}

// HandleReply takes in the answer to the report of the given tick. accept says
// whether a job may be taken in, and why not. An answer that comes too late, to
// another report, or from a leader that has been replaced is dropped whole.
func (g *Borrower) HandleReply(home string, tick uint64, reply HeartbeatReply, v BorrowerView, accept func(Command) Cause) []BorrowerTransition {
	h := g.lender(home)
	if tick != h.sequence || h.sentAt.IsZero() || reply.Epoch < h.epoch {
		return nil
	}
	if reply.Epoch > h.epoch {
		// What an earlier leader of the home confirmed may have been taken back.
		h.confirmed = map[Loan]bool{}
	}
	h.epoch = reply.Epoch
	if u := h.sentAt.Add(reply.Lease); u.After(h.leaseUntil) {
		h.leaseUntil = u
	}
	h.sentAt = time.Time{}
	var transitions []BorrowerTransition
	kept := map[Loan]bool{}
	for _, command := range reply.Commands {
		if command.Loan.Home != home {
			// A home speaks for its own loans alone.
			continue
		}
		switch command.Kind {
		case Take:
			if isBorrowed(v, command.Loan) || g.accepting[command.Loan] {
				continue
			}
			cause := Cause("")
			switch {
			case v.Draining:
				cause = Draining
			case g.refused[command.Loan] != "":
				cause = g.refused[command.Loan]
			default:
				cause = accept(command)
			}
			if cause != "" {
				g.refused[command.Loan] = cause
				continue
			}
			g.accepting[command.Loan] = true
			transitions = append(transitions, BorrowerTransition{Kind: Accept, Loan: command.Loan, Spec: command.Spec, Age: command.Age})
		case Keep:
			kept[command.Loan] = true
		case Stop:
			if i := slices.IndexFunc(v.Borrowed, func(b BorrowedLoan) bool { return b.Loan == command.Loan }); i >= 0 && v.Borrowed[i].State == Held && !v.Borrowed[i].Ending {
				transitions = append(transitions, BorrowerTransition{Kind: GiveUp, Loan: command.Loan, Cause: Stopped})
			}
		case Forget:
			delete(g.refused, command.Loan)
			if isBorrowed(v, command.Loan) {
				transitions = append(transitions, BorrowerTransition{Kind: Drop, Loan: command.Loan})
			}
		}
	}
	h.confirmed = kept
	return transitions
}

// NoteAccepted tells how the writing of an acceptance ended: written, or surely not.
func (g *Borrower) NoteAccepted(l Loan, written bool) {
	delete(g.accepting, l)
	if !written {
		g.refused[l] = Refused
	}
}

// leaseUntil is when this guest's leases from the home end.
func (g *Borrower) leaseUntil(home string, lease time.Duration, v BorrowerView) time.Time {
	u := g.lender(home).leaseUntil
	if w := v.RenewedAt[home]; !w.IsZero() {
		// The leader before had an answer to a report of that time.
		if o := w.Add(lease); o.After(u) {
			u = o
		}
	}
	return u
}

// StartableUntil says until when tasks of a loan may be started: zero, not at all.
// The home must have called it this guest's under the present leader.
func (g *Borrower) StartableUntil(l Loan) time.Time {
	h := g.lender(l.Home)
	if !h.confirmed[l] {
		return time.Time{}
	}
	return h.leaseUntil.Add(-startMargin)
}

// ExpiredLoans are the loans whose lease has run out: they are given up at once.
// lease is how long a lease from before this leader runs.
func (g *Borrower) ExpiredLoans(now time.Time, lease time.Duration, v BorrowerView) []BorrowerTransition {
	var ops []BorrowerTransition
	for _, b := range v.Borrowed {
		if b.State == Held && !b.Ending && now.After(g.leaseUntil(b.Loan.Home, lease, v)) {
			ops = append(ops, BorrowerTransition{Kind: GiveUp, Loan: b.Loan, Cause: LeaseExpired})
		}
	}
	return ops
}

// Renewals are the times to write down for a successor: when the answered report
// of each home was sent that has loans here.
func (g *Borrower) Renewals(lease time.Duration, v BorrowerView) map[string]time.Time {
	out := map[string]time.Time{}
	for _, b := range v.Borrowed {
		if u := g.lender(b.Loan.Home).leaseUntil; b.State == Held && !u.IsZero() {
			out[b.Loan.Home] = u.Add(-lease)
		}
	}
	return out
}

func sortedLoans[V any](m map[Loan]V) []Loan {
	out := make([]Loan, 0, len(m))
	for l := range m {
		out = append(out, l)
	}
	slices.SortFunc(out, compareLoans)
	return out
}
