package overflow

import (
	"slices"
	"time"
)

// startMargin before a lease's end nothing more is started for it.
const startMargin = 500 * time.Millisecond

// GuestView is what the guest's leader knows to be durable.
type GuestView struct {
	// Epoch is the stamp of the leader that asks.
	Epoch    uint64
	Draining bool
	Lender   bool
	Stop     time.Duration
	Room     []Room
	Images   []string
	Borrowed []Borrowed
	// Renewed is, for each home, when a report was sent that is known to have
	// been answered, as the leader before wrote it down; earlier is safe.
	Renewed map[string]time.Time
}

// Guest is the borrower's side: until when its leases surely run, and which
// homes have confirmed what it holds.
type Guest struct {
	tick  uint64
	homes map[string]*homeSeen
	// accepting are loans whose acceptance is being written; whether it was or
	// will be is not known, so they are reported as held.
	accepting map[Loan]bool
	// refused are loans that were not taken; forgotten with this leader, which
	// only makes the home ask again.
	refused map[Loan]Cause
}

type homeSeen struct {
	epoch uint64
	// until: this guest's leases from that home run until then, on this clock.
	until time.Time
	// sent is when the report under way was sent, and its tick.
	sent time.Time
	tick uint64
	// confirmed are loans that the home has called this guest's under the present
	// leader. Only these may be started.
	confirmed map[Loan]bool
}

// NewGuest makes the borrower's side.
func NewGuest() *Guest {
	return &Guest{homes: map[string]*homeSeen{}, accepting: map[Loan]bool{}, refused: map[Loan]Cause{}}
}

func (g *Guest) home(name string) *homeSeen {
	h := g.homes[name]
	if h == nil {
		h = &homeSeen{confirmed: map[Loan]bool{}}
		g.homes[name] = h
	}
	return h
}

// Report is what the home is told now. One report is under way at a time.
func (g *Guest) Report(now time.Time, from, home string, v GuestView) Report {
	g.tick++
	h := g.home(home)
	h.sent, h.tick = now, g.tick
	r := Report{
		From: from, Epoch: v.Epoch, Tick: g.tick, HomeEpoch: h.epoch,
		Draining: v.Draining, Lender: v.Lender, Stop: v.Stop, Room: v.Room, Images: v.Images,
	}
	for _, b := range v.Borrowed {
		if b.Loan.Home == home {
			r.Loans = append(r.Loans, LoanReport{Loan: b.Loan, State: b.State, Cause: b.Cause, Done: b.Done, Running: b.Running})
		}
	}
	for _, l := range sortedLoans(g.accepting) {
		if l.Home == home && !holds(v, l) {
			r.Loans = append(r.Loans, LoanReport{Loan: l, State: Held})
		}
	}
	for _, l := range sortedLoans(g.refused) {
		if l.Home == home && !holds(v, l) && !g.accepting[l] {
			r.Loans = append(r.Loans, LoanReport{Loan: l, State: Gone, Cause: g.refused[l]})
		}
	}
	return r
}

func holds(v GuestView, l Loan) bool {
	return slices.ContainsFunc(v.Borrowed, func(b Borrowed) bool { return b.Loan == l })
}

// Answered takes in the answer to the report of the given tick. accept says
// whether a job may be taken in, and why not. An answer that comes too late, to
// another report, or from a leader that has been replaced is dropped whole.
func (g *Guest) Answered(home string, tick uint64, a Answer, v GuestView, accept func(Order) Cause) []GuestOp {
	h := g.home(home)
	if tick != h.tick || h.sent.IsZero() || a.Epoch < h.epoch {
		return nil
	}
	if a.Epoch > h.epoch {
		// What an earlier leader of the home confirmed may have been taken back.
		h.confirmed = map[Loan]bool{}
	}
	h.epoch = a.Epoch
	if u := h.sent.Add(a.Lease); u.After(h.until) {
		h.until = u
	}
	h.sent = time.Time{}
	var ops []GuestOp
	kept := map[Loan]bool{}
	for _, o := range a.Orders {
		if o.Loan.Home != home {
			// A home speaks for its own loans alone.
			continue
		}
		switch o.Verb {
		case Take:
			if holds(v, o.Loan) || g.accepting[o.Loan] {
				continue
			}
			why := Cause("")
			switch {
			case v.Draining:
				why = Draining
			case g.refused[o.Loan] != "":
				why = g.refused[o.Loan]
			default:
				why = accept(o)
			}
			if why != "" {
				g.refused[o.Loan] = why
				continue
			}
			g.accepting[o.Loan] = true
			ops = append(ops, GuestOp{Kind: Accept, Loan: o.Loan, Spec: o.Spec, Age: o.Age})
		case Keep:
			kept[o.Loan] = true
		case Stop:
			if i := slices.IndexFunc(v.Borrowed, func(b Borrowed) bool { return b.Loan == o.Loan }); i >= 0 && v.Borrowed[i].State == Held && !v.Borrowed[i].Ending {
				ops = append(ops, GuestOp{Kind: GiveUp, Loan: o.Loan, Cause: Stopped})
			}
		case Forget:
			delete(g.refused, o.Loan)
			if holds(v, o.Loan) {
				ops = append(ops, GuestOp{Kind: Drop, Loan: o.Loan})
			}
		}
	}
	h.confirmed = kept
	return ops
}

// Accepted tells how the writing of an acceptance ended: written, or surely not.
func (g *Guest) Accepted(l Loan, written bool) {
	delete(g.accepting, l)
	if !written {
		g.refused[l] = Refused
	}
}

// until is when this guest's leases from the home end.
func (g *Guest) until(home string, lease time.Duration, v GuestView) time.Time {
	u := g.home(home).until
	if w := v.Renewed[home]; !w.IsZero() {
		// The leader before had an answer to a report of that time.
		if o := w.Add(lease); o.After(u) {
			u = o
		}
	}
	return u
}

// Startable says until when tasks of a loan may be started: zero, not at all.
// The home must have called it this guest's under the present leader.
func (g *Guest) Startable(l Loan) time.Time {
	h := g.home(l.Home)
	if !h.confirmed[l] {
		return time.Time{}
	}
	return h.until.Add(-startMargin)
}

// Expired are the loans whose lease has run out: they are given up at once.
// lease is how long a lease from before this leader runs.
func (g *Guest) Expired(now time.Time, lease time.Duration, v GuestView) []GuestOp {
	var ops []GuestOp
	for _, b := range v.Borrowed {
		if b.State == Held && !b.Ending && now.After(g.until(b.Loan.Home, lease, v)) {
			ops = append(ops, GuestOp{Kind: GiveUp, Loan: b.Loan, Cause: LeaseOver})
		}
	}
	return ops
}

// Renewals are the times to write down for a successor: when the answered report
// of each home was sent that has loans here.
func (g *Guest) Renewals(lease time.Duration, v GuestView) map[string]time.Time {
	out := map[string]time.Time{}
	for _, b := range v.Borrowed {
		if u := g.home(b.Loan.Home).until; b.State == Held && !u.IsZero() {
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
