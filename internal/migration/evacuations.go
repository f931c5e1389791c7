package migration

import (
	"cmp"
	"slices"
	"time"
)

// EvacuationCost is the cost for a shard leader to evacuate a host of a kind, as the time that
// replicas would be down.
type EvacuationCost struct {
	Owner, Kind string
	Downtime    time.Duration
}

// MachineNeed is the need of a shard leader for one empty host of any of the given kinds.
type MachineNeed struct {
	Owner string
	Kinds []string
}

// EvacuationRequest asks the shard leader Owner to evacuate a host of a kind for the shard leader
// Recipient.
type EvacuationRequest struct {
	Recipient, Owner, Kind string
	// Until is when the request expires. Afterwards another owner may be asked.
	Until time.Time
}

// Evacuations holds the leader's requests to evacuate hosts. A recipient gets one host at a time, and
// an owner evacuates one host at a time, because an evacuation may take as long as maxHold and may
// fail. The zero value is ready for use.
type Evacuations struct {
	requests []EvacuationRequest
	// backoffUntil is, by owner, the time before which an owner that let a request expire is not
	// asked again.
	backoffUntil map[string]time.Time
}

const (
	// evacuationTimeout is how long an owner has to evacuate a host.
	evacuationTimeout = time.Minute
	// evacuationBackoff is how long an owner is not asked again after it let a request expire, so
	// that other owners are asked.
	evacuationBackoff = 15 * time.Second
	// costGrace is how long after a request its owner may publish no cost for the kind without
	// losing the request. Owners compute their costs only every few seconds.
	costGrace = 15 * time.Second
)

// Update removes the requests that have expired or are not needed any more, adds requests for the
// needs, the cheapest owner first, and returns all requests. The caller must not change them.
func (evacuations *Evacuations) Update(now time.Time, needs []MachineNeed, costs []EvacuationCost) []EvacuationRequest {
	needsByOwner := map[string]MachineNeed{}
	for _, need := range needs {
		needsByOwner[need.Owner] = need
	}
	donating, served := map[string]bool{}, map[string]bool{}
	evacuations.requests = slices.DeleteFunc(evacuations.requests, func(request EvacuationRequest) bool {
		if need, found := needsByOwner[request.Recipient]; !found || !slices.Contains(need.Kinds, request.Kind) {
			return true
		}
		if !now.Before(request.Until) {
			if evacuations.backoffUntil == nil {
				evacuations.backoffUntil = map[string]time.Time{}
			}
			evacuations.backoffUntil[request.Owner] = now.Add(evacuationBackoff)
			return true
		}
		if request.Until.Sub(now) < evacuationTimeout-costGrace && !slices.ContainsFunc(costs, func(cost EvacuationCost) bool { return cost.Owner == request.Owner && cost.Kind == request.Kind }) {
			// The owner has evacuated the host or can't evacuate one any more.
			return true
		}
		donating[request.Owner], served[request.Recipient] = true, true
		return false
	})
	costs = slices.Clone(costs)
	slices.SortFunc(costs, func(a, b EvacuationCost) int {
		return cmp.Or(cmp.Compare(a.Downtime, b.Downtime), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Kind, b.Kind))
	})
	for _, cost := range costs {
		for _, need := range needs {
			// An owner that needs a host itself evacuates none for others.
			if _, needsOne := needsByOwner[cost.Owner]; needsOne || donating[cost.Owner] || served[need.Owner] || now.Before(evacuations.backoffUntil[cost.Owner]) || !slices.Contains(need.Kinds, cost.Kind) {
				continue
			}
			donating[cost.Owner], served[need.Owner] = true, true
			evacuations.requests = append(evacuations.requests, EvacuationRequest{need.Owner, cost.Owner, cost.Kind, now.Add(evacuationTimeout)})
		}
	}
	return evacuations.requests
}
