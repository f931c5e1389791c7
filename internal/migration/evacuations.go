package migration

import (
	"cmp"
	"slices"
	"time"
)

// EvacuationCost is what it would cost an owner to evacuate a host of a kind: how long replicas
// would be down.
type EvacuationCost struct {
	Owner, Kind string
	Downtime    time.Duration
}

// MachineNeed is an owner that needs an empty host of one of some kinds.
type MachineNeed struct {
	Owner string
	Kinds []string
}

// EvacuationRequest asks Owner to evacuate a host of a kind for Recipient.
type EvacuationRequest struct {
	Recipient, Owner, Kind string
	// Until is when the request is given up, and another owner may be asked.
	Until time.Time
}

// Evacuations has the leader's requests to evacuate hosts for other owners, the shard leaders. A
// recipient gets one host at a time, and an owner evacuates one at a time: an evacuation may
// take as long as the longest hold, and may fail. The zero value is ready for use.
type Evacuations struct {
	requests []EvacuationRequest
	// backoffUntil is until when an owner that let a request expire is not asked again.
	backoffUntil map[string]time.Time
}

const (
	// evacuationTimeout is how long an owner has to evacuate a host. One that lets that pass is
	// not asked again for evacuationBackoff, so that others are.
	evacuationTimeout = time.Minute
	evacuationBackoff = 15 * time.Second
	// costGrace is how long an owner that was asked may leave out its cost, which it computes
	// every few seconds.
	costGrace = 15 * time.Second
)

// Update brings the requests in line with needs and costs, the cheapest first, and returns them.
// The caller must not change them.
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
			// The owner has evacuated the host, or can't any more.
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
			// An owner that needs a host itself keeps those it has.
			if _, needsOne := needsByOwner[cost.Owner]; needsOne || donating[cost.Owner] || served[need.Owner] || now.Before(x.backoffUntil[cost.Owner]) || !slices.Contains(need.Kinds, cost.Kind) {
				continue
			}
			donating[cost.Owner], served[need.Owner] = true, true
			x.requests = append(x.requests, EvacuationRequest{need.Owner, cost.Owner, cost.Kind, now.Add(evacuationTimeout)})
		}
	}
	return x.requests
}
