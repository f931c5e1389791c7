// Package exchange says which machine wishes of several owners are met, and how: by
// machines that another owner has to spare, at once and for nothing, or by renting.
// Without it each owner would rent what its neighbour gives back. What is short is
// handed out in turns, so that nobody's wishes go before all of another's.
package exchange

import (
	"cmp"
	"slices"
	"strings"
)

// Kind is a kind of machine.
type Kind struct {
	MachineType string
	Zone        string
	Spot        bool
}

// Compare orders kinds.
func (k Kind) Compare(other Kind) int {
	toInt := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(strings.Compare(k.MachineType, other.MachineType), strings.Compare(k.Zone, other.Zone), toInt(k.Spot)-toInt(other.Spot))
}

// Machine is one that an owner has to spare.
type Machine struct {
	ID   string
	Kind Kind
}

// Owner is what one owner wishes for and has to spare. Wishes count the machines of
// each kind; Spare come the best to give first.
type Owner struct {
	Host             string
	CapacityRequests map[Kind]int
	Surplus          []Machine
}

// Transfer hands a machine over.
type Transfer struct {
	ID       string
	From, To string
}

// ScaleOut is a request to rent.
type ScaleOut struct {
	Host  string
	Kind  Kind
	Count int
}

// Limits bound what is done at once: machines handed over, bookings, and machines in
// a booking. Busy says that a kind can't be booked for an owner now.
type Limits struct {
	MaxTransfers   int
	MaxScaleOuts   int
	MaxPerScaleOut int
	IsBusy         func(host string, k Kind) bool
}

// Match meets wishes. Wants are reduced by what is met. An owner is given nothing of
// a kind of which it has some to spare itself.
func Match(owners []Owner, limits Limits) ([]Transfer, []ScaleOut) {
	owners = slices.Clone(owners)
	slices.SortFunc(owners, func(a, b Owner) int { return strings.Compare(a.Host, b.Host) })
	transfers := transferSurplus(owners, limits.MaxTransfers)
	return transfers, scaleOutRest(owners, limits)
}

// transferSurplus gives spare machines to those who want such, one after another in turns.
func transferSurplus(owners []Owner, limit int) []Transfer {
	type spare struct {
		from int
		id   string
	}
	surplus := map[Kind][]spare{}
	hasSurplus := make([]map[Kind]bool, len(owners))
	for i, o := range owners {
		hasSurplus[i] = map[Kind]bool{}
		for _, m := range o.Surplus {
			surplus[m.Kind] = append(surplus[m.Kind], spare{i, m.ID})
			hasSurplus[i][m.Kind] = true
		}
	}
	kinds := make([]Kind, 0, len(surplus))
	for k := range surplus {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, Kind.Compare)
	var out []Transfer
	for _, k := range kinds {
		for progressed := true; progressed; {
			progressed = false
			for i, o := range owners {
				if len(surplus[k]) == 0 || len(out) >= limit || o.CapacityRequests[k] <= 0 || hasSurplus[i][k] {
					continue
				}
				s := surplus[k][0]
				surplus[k] = surplus[k][1:]
				o.CapacityRequests[k]--
				out = append(out, Transfer{s.id, owners[s.from].Host, o.Host})
				progressed = true
			}
		}
	}
	return out
}

// scaleOutRest asks the cloud for the rest, in turns of the owners and, for each, of the
// kinds.
func scaleOutRest(owners []Owner, limits Limits) []ScaleOut {
	var out []ScaleOut
	pending := make([][]Kind, len(owners))
	for i, o := range owners {
		for k, n := range o.CapacityRequests {
			if n > 0 && (limits.IsBusy == nil || !limits.IsBusy(o.Host, k)) {
				pending[i] = append(pending[i], k)
			}
		}
		slices.SortFunc(pending[i], Kind.Compare)
	}
	for progressed := true; progressed && len(out) < limits.MaxScaleOuts; {
		progressed = false
		for i, o := range owners {
			if len(pending[i]) == 0 || len(out) >= limits.MaxScaleOuts {
				continue
			}
			k := pending[i][0]
			count := min(o.CapacityRequests[k], limits.MaxPerScaleOut)
			out = append(out, ScaleOut{o.Host, k, count})
			if o.CapacityRequests[k] -= count; o.CapacityRequests[k] > 0 {
				pending[i] = append(pending[i][1:], k)
			} else {
				pending[i] = pending[i][1:]
			}
			progressed = true
		}
	}
	return out
}
