// Package exchange matches the capacity requests of machine owners: with surplus machines of
// other owners, at once and at no cost, or by scaling out. Without it an owner would rent what
// its neighbour releases. What is scarce is handed out round-robin, so that no owner's
// requests all go before another's.
package exchange

import (
	"cmp"
	"slices"
	"strings"
)

// Kind is a machine type in a zone, spot or not.
type Kind struct {
	MachineType string
	Zone        string
	Spot        bool
}

// Compare orders kinds by machine type, zone and spot.
func (k Kind) Compare(other Kind) int {
	toInt := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(strings.Compare(k.MachineType, other.MachineType), strings.Compare(k.Zone, other.Zone), toInt(k.Spot)-toInt(other.Spot))
}

// Machine is a surplus machine of an owner.
type Machine struct {
	ID   string
	Kind Kind
}

// Owner is one owner's capacity requests and surplus. CapacityRequests counts the machines
// wanted of each kind; Surplus has the best to transfer first.
type Owner struct {
	Host             string
	CapacityRequests map[Kind]int
	Surplus          []Machine
}

// Transfer hands a machine over from one owner's host to another's.
type Transfer struct {
	ID       string
	From, To string
}

// ScaleOut is a request to rent Count machines of a kind for a host.
type ScaleOut struct {
	Host  string
	Kind  Kind
	Count int
}

// Limits bound what is done at once: transfers, scale-outs, and machines in a scale-out.
// IsBusy reports whether a kind can't be rented for a host now; nil means never.
type Limits struct {
	MaxTransfers   int
	MaxScaleOuts   int
	MaxPerScaleOut int
	IsBusy         func(host string, k Kind) bool
}

// Match meets capacity requests, and reduces the CapacityRequests of the owners by what is
// met. An owner receives no machine of a kind of which it has surplus itself.
func Match(owners []Owner, limits Limits) ([]Transfer, []ScaleOut) {
	owners = slices.Clone(owners)
	slices.SortFunc(owners, func(a, b Owner) int { return strings.Compare(a.Host, b.Host) })
	transfers := transferSurplus(owners, limits.MaxTransfers)
	return transfers, scaleOutRest(owners, limits)
}

// transferSurplus transfers surplus machines to owners that request such, round-robin.
func transferSurplus(owners []Owner, limit int) []Transfer {
	type surplusMachine struct {
		from int
		id   string
	}
	surplus := map[Kind][]surplusMachine{}
	hasSurplus := make([]map[Kind]bool, len(owners))
	for i, o := range owners {
		hasSurplus[i] = map[Kind]bool{}
		for _, m := range o.Surplus {
			surplus[m.Kind] = append(surplus[m.Kind], surplusMachine{i, m.ID})
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

// scaleOutRest rents the rest, round-robin over the owners and over the kinds of each.
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
