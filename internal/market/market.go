// Package market says which machine wishes of several owners are met, and how: by
// machines that another owner has to spare, at once and for nothing, or by renting.
// Without it each owner would rent what its neighbour gives back. What is short is
// handed out in turns, so that nobody's wishes go before all of another's.
package market

import (
	"cmp"
	"slices"
	"strings"
)

// Kind is a kind of machine.
type Kind struct {
	Flavour string
	Zone    string
	Spot    bool
}

// Compare orders kinds.
func (k Kind) Compare(o Kind) int {
	s := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(strings.Compare(k.Flavour, o.Flavour), strings.Compare(k.Zone, o.Zone), s(k.Spot)-s(o.Spot))
}

// Machine is one that an owner has to spare.
type Machine struct {
	ID   string
	Kind Kind
}

// Owner is what one owner wishes for and has to spare. Wishes count the machines of
// each kind; Spare come the best to give first.
type Owner struct {
	Host  string
	Wants map[Kind]int
	Spare []Machine
}

// Move hands a machine over.
type Move struct {
	ID       string
	From, To string
}

// Booking is a request to rent.
type Booking struct {
	Host  string
	Kind  Kind
	Count int
}

// Limits bound what is done at once: machines handed over, bookings, and machines in
// a booking. Busy says that a kind can't be booked for an owner now.
type Limits struct {
	Moves    int
	Bookings int
	Each     int
	Busy     func(host string, k Kind) bool
}

// Match meets wishes. Wants are reduced by what is met. An owner is given nothing of
// a kind of which it has some to spare itself.
func Match(owners []Owner, l Limits) ([]Move, []Booking) {
	owners = slices.Clone(owners)
	slices.SortFunc(owners, func(a, b Owner) int { return strings.Compare(a.Host, b.Host) })
	moves := hand(owners, l.Moves)
	return moves, book(owners, l)
}

// hand gives spare machines to those who want such, one after another in turns.
func hand(owners []Owner, most int) []Move {
	type spare struct {
		from int
		id   string
	}
	by := map[Kind][]spare{}
	own := make([]map[Kind]bool, len(owners))
	for i, o := range owners {
		own[i] = map[Kind]bool{}
		for _, m := range o.Spare {
			by[m.Kind] = append(by[m.Kind], spare{i, m.ID})
			own[i][m.Kind] = true
		}
	}
	kinds := make([]Kind, 0, len(by))
	for k := range by {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, Kind.Compare)
	var out []Move
	for _, k := range kinds {
		for given := true; given; {
			given = false
			for i, o := range owners {
				if len(by[k]) == 0 || len(out) >= most || o.Wants[k] <= 0 || own[i][k] {
					continue
				}
				s := by[k][0]
				by[k] = by[k][1:]
				o.Wants[k]--
				out = append(out, Move{s.id, owners[s.from].Host, o.Host})
				given = true
			}
		}
	}
	return out
}

// book asks the cloud for the rest, in turns of the owners and, for each, of the
// kinds.
func book(owners []Owner, l Limits) []Booking {
	var out []Booking
	next := make([][]Kind, len(owners))
	for i, o := range owners {
		for k, n := range o.Wants {
			if n > 0 && (l.Busy == nil || !l.Busy(o.Host, k)) {
				next[i] = append(next[i], k)
			}
		}
		slices.SortFunc(next[i], Kind.Compare)
	}
	for more := true; more && len(out) < l.Bookings; {
		more = false
		for i, o := range owners {
			if len(next[i]) == 0 || len(out) >= l.Bookings {
				continue
			}
			k := next[i][0]
			c := min(o.Wants[k], l.Each)
			out = append(out, Booking{o.Host, k, c})
			if o.Wants[k] -= c; o.Wants[k] > 0 {
				next[i] = append(next[i][1:], k)
			} else {
				next[i] = next[i][1:]
			}
			more = true
		}
	}
	return out
}
