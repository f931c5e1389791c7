// Package exchange meets the capacity requests of machine owners, either with surplus machines of other
// owners, which are available at once and at no cost, or by scaling out. Without it, one owner would
// rent machines while another releases machines of the same kind. Scarce machines and scale-outs are
// distributed round-robin, so that no owner has all its requests met before the others.
package exchange

import (
	"cmp"
	"slices"
	"strings"
)

// Kind identifies machines of one type in one zone, either spot or on-demand.
type Kind struct {
	MachineType string
	Zone        string
	Spot        bool
}

// Compare orders kinds by machine type, then zone, then on-demand before spot.
func (k Kind) Compare(other Kind) int {
	toInt := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(strings.Compare(k.MachineType, other.MachineType), strings.Compare(k.Zone, other.Zone), toInt(k.Spot)-toInt(other.Spot))
}

// Machine is a surplus machine that an owner can hand over.
type Machine struct {
	ID   string
	Kind Kind
}

// Owner holds the capacity requests and the surplus machines of one owner. CapacityRequests is the number
// of machines requested of each kind. Surplus is ordered by preference: the machine to transfer first
// comes first.
type Owner struct {
	Host             string
	CapacityRequests map[Kind]int
	Surplus          []Machine
}

// Transfer is the handover of a machine from one owner to another. ID is the machine's id, From and To are
// the owners' hosts.
type Transfer struct {
	ID       string
	From, To string
}

// ScaleOut is a request to rent Count machines of a kind for the owner on a host.
type ScaleOut struct {
	Host  string
	Kind  Kind
	Count int
}

// Limits bound the transfers and scale-outs of one call of Match, and the machines in one scale-out.
// IsBusy reports whether a kind can't be rented for a host now; nil means that all kinds can.
type Limits struct {
	MaxTransfers   int
	MaxScaleOuts   int
	MaxPerScaleOut int
	IsBusy         func(host string, k Kind) bool
}

// Match returns the transfers and scale-outs that meet the owners' capacity requests. It subtracts the
// machines of these transfers and scale-outs from the owners' CapacityRequests. An owner receives no
// machine of a kind of which it has surplus machines itself.
func Match(owners []Owner, limits Limits) ([]Transfer, []ScaleOut) {
	owners = slices.Clone(owners)
	slices.SortFunc(owners, func(a, b Owner) int { return strings.Compare(a.Host, b.Host) })
	transfers := transferSurplus(owners, limits.MaxTransfers)
	return transfers, scaleOutRest(owners, limits)
}

// transferSurplus returns transfers of surplus machines to the owners that request their kinds, round-robin
// over the owners and at most limit.
func transferSurplus(owners []Owner, limit int) []Transfer {
	type surplusMachine struct {
		from int
		id   string
	}
	surplus := map[Kind][]surplusMachine{}
	hasSurplus := make([]map[Kind]bool, len(owners))
	for i, owner := range owners {
		hasSurplus[i] = map[Kind]bool{}
		for _, m := range owner.Surplus {
			surplus[m.Kind] = append(surplus[m.Kind], surplusMachine{i, m.ID})
			hasSurplus[i][m.Kind] = true
		}
	}
	kinds := make([]Kind, 0, len(surplus))
	for kind := range surplus {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, Kind.Compare)
	var out []Transfer
	for _, kind := range kinds {
		for progressed := true; progressed; {
			progressed = false
			for i, owner := range owners {
				if len(surplus[kind]) == 0 || len(out) >= limit || owner.CapacityRequests[kind] <= 0 || hasSurplus[i][kind] {
					continue
				}
				s := surplus[kind][0]
				surplus[kind] = surplus[kind][1:]
				owner.CapacityRequests[kind]--
				out = append(out, Transfer{s.id, owners[s.from].Host, owner.Host})
				progressed = true
			}
		}
	}
	return out
}

// scaleOutRest returns scale-outs for the capacity requests that remain, round-robin over the owners and
// over the kinds of each owner.
func scaleOutRest(owners []Owner, limits Limits) []ScaleOut {
	var out []ScaleOut
	pending := make([][]Kind, len(owners))
	for i, owner := range owners {
		for kind, n := range owner.CapacityRequests {
			if n > 0 && (limits.IsBusy == nil || !limits.IsBusy(owner.Host, kind)) {
				pending[i] = append(pending[i], kind)
			}
		}
		slices.SortFunc(pending[i], Kind.Compare)
	}
	for progressed := true; progressed && len(out) < limits.MaxScaleOuts; {
		progressed = false
		for i, owner := range owners {
			if len(pending[i]) == 0 || len(out) >= limits.MaxScaleOuts {
				continue
			}
			kind := pending[i][0]
			count := min(owner.CapacityRequests[kind], limits.MaxPerScaleOut)
			out = append(out, ScaleOut{owner.Host, kind, count})
			if owner.CapacityRequests[kind] -= count; owner.CapacityRequests[kind] > 0 {
				pending[i] = append(pending[i][1:], kind)
			} else {
				pending[i] = pending[i][1:]
			}
			progressed = true
		}
	}
	return out
}
