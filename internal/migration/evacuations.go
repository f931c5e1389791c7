package migration

import (
	"cmp"
	"slices"
	"time"
)

// EvacuationCost is what emptying a host of a kind would cost an owner: the time that replicas
// would be down.
type EvacuationCost struct {
	Owner, Kind string
	Downtime    time.Duration
}

// MachineNeed is an owner that needs a whole host of one of some kinds.
type MachineNeed struct {
	Owner string
	Kinds []string
}

// EvacuationRequest has an owner empty a host of a kind for another.
type EvacuationRequest struct {
	Recipient, Owner, Kind string
	// Until is when it is given up, and somebody may be asked anew.
	Until time.Time
}

// Evacuations is the hosts that owners are asked to empty for others. Each owner that needs
// some gets one at a time, and each empties one at a time: what is asked for may take as
// long as the longest hold, and may come to nothing.
type Evacuations struct {
	requests []EvacuationRequest
	// backoffUntil says until when an owner that let an ask pass is not asked anew.
	backoffUntil map[string]time.Time
}

const (
	// evacuationTimeout is how long an owner has to empty a host; one that let that pass is not
	// asked again for evacuationBackoff, so that others are.
	evacuationTimeout = time.Minute
	evacuationBackoff = 15 * time.Second
	// costGrace is how long an owner that is asked may go without saying what it
	// would cost: it reckons that every few seconds.
	costGrace = 15 * time.Second
)

// Update brings the asks in step with what is needed and offered, the cheapest first.
func (x *Evacuations) Update(now time.Time, needs []MachineNeed, costs []EvacuationCost) []EvacuationRequest {
	needsByOwner := map[string]MachineNeed{}
	for _, need := range needs {
		needsByOwner[need.Owner] = need
	}
	donating, served := map[string]bool{}, map[string]bool{}
	x.requests = slices.DeleteFunc(x.requests, func(a EvacuationRequest) bool {
		if need, found := needsByOwner[a.Recipient]; !found || !slices.Contains(need.Kinds, a.Kind) {
			return true
		}
		if !now.Before(a.Until) {
			if x.backoffUntil == nil {
				x.backoffUntil = map[string]time.Time{}
			}
			x.backoffUntil[a.Owner] = now.Add(evacuationBackoff)
			return true
		}
		if a.Until.Sub(now) < evacuationTimeout-costGrace && !slices.ContainsFunc(costs, func(cost EvacuationCost) bool { return cost.Owner == a.Owner && cost.Kind == a.Kind }) {
			// It has given what it had, or can't any more.
			return true
		}
		donating[a.Owner], served[a.Recipient] = true, true
		return false
	})
	costs = slices.Clone(costs)
	slices.SortFunc(costs, func(a, b EvacuationCost) int {
		return cmp.Or(cmp.Compare(a.Downtime, b.Downtime), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Kind, b.Kind))
	})
	for _, cost := range costs {
		for _, need := range needs {
			// Who needs a host itself keeps what it has.
			if _, needsOne := needsByOwner[cost.Owner]; needsOne || donating[cost.Owner] || served[need.Owner] || now.Before(x.backoffUntil[cost.Owner]) || !slices.Contains(need.Kinds, cost.Kind) {
				continue
			}
			donating[cost.Owner], served[need.Owner] = true, true
			x.requests = append(x.requests, EvacuationRequest{need.Owner, cost.Owner, cost.Kind, now.Add(evacuationTimeout)})
		}
	}
	return x.requests
}
