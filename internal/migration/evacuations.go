package migration

import (
	"cmp"
	"slices"
	"time"
)

// MaxEvacuationDowntime is how long replicas may be down in total for the evacuation of a host.
const MaxEvacuationDowntime = time.Minute

// EvacuationCost is the cost for a shard leader to evacuate a host of a kind, as the time that
// replicas would be down. A cost above MaxEvacuationDowntime means that the shard leader first needs a
// machine of another shard leader to which the replicas can move; see CostWithTarget.
type EvacuationCost struct {
	Owner, Kind string
	Downtime    time.Duration
}

// CostWithTarget returns the cost, as in EvacuationCost, of an evacuation for which the shard leader
// first needs a machine of another shard leader, given the time that replicas would be down.
func CostWithTarget(downtime time.Duration) time.Duration {
	return MaxEvacuationDowntime + max(downtime, time.Second)
}

// needsTarget reports whether the shard leader first needs a machine of another shard leader.
func (cost EvacuationCost) needsTarget() bool { return cost.Downtime > MaxEvacuationDowntime }

// MachineNeed is the need of a shard leader for one empty host of any of the given kinds.
type MachineNeed struct {
	Owner string
	Kinds []string
}

// EvacuationRequest asks the shard leader Owner to evacuate a host of a kind for the shard leader
// Recipient. If both are the same shard leader, it may request the machine that it lacks.
type EvacuationRequest struct {
	Recipient, Owner, Kind string
	// Until is when the request expires. Afterwards another owner may be asked.
	Until time.Time
	// lackedTarget is true if the owner lacked a target when the request was made.
	lackedTarget bool
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
	// targetTimeout is how long an owner may lack a machine of another owner. An owner that lacked one
	// and evacuated no host is not asked again for targetBackoff, so that several other owners are
	// asked. This also bounds how often machines are transferred to owners that can't use them.
	targetTimeout = 30 * time.Second
	targetBackoff = time.Minute
	// costGrace is how long after a request its owner may publish no cost for the kind without
	// losing the request. Owners compute their costs only every few seconds.
	costGrace = 15 * time.Second
)

// Requests returns the present requests. The caller must not change them.
func (evacuations *Evacuations) Requests() []EvacuationRequest { return evacuations.requests }

// Update removes the requests that have expired or are not needed any more, adds requests for the
// needs, the cheapest owner first, and returns all requests. The caller must not change them.
func (evacuations *Evacuations) Update(now time.Time, needs []MachineNeed, costs []EvacuationCost) []EvacuationRequest {
	needsByOwner := map[string]MachineNeed{}
	for _, need := range needs {
		needsByOwner[need.Owner] = need
	}
	donating, served := map[string]bool{}, map[string]bool{}
	targetNeeded := false
	evacuations.requests = slices.DeleteFunc(evacuations.requests, func(request EvacuationRequest) bool {
		need, found := needsByOwner[request.Recipient]
		if !found || !slices.Contains(need.Kinds, request.Kind) || evacuations.isOver(now, request, costs) {
			return true
		}
		donating[request.Owner], served[request.Recipient] = true, true
		targetNeeded = targetNeeded || costOf(request, costs).needsTarget()
		return false
	})
	costs = slices.Clone(costs)
	slices.SortFunc(costs, func(a, b EvacuationCost) int {
		return cmp.Or(cmp.Compare(a.Downtime, b.Downtime), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Kind, b.Kind))
	})
	for _, cost := range costs {
		for _, need := range needs {
			// An owner that needs a host itself evacuates none for others, but may be given a machine
			// with which it empties a host for itself.
			_, needsOne := needsByOwner[cost.Owner]
			needsOne = needsOne && !(cost.needsTarget() && cost.Owner == need.Owner)
			if needsOne || donating[cost.Owner] || served[need.Owner] || now.Before(evacuations.backoffUntil[cost.Owner]) || !slices.Contains(need.Kinds, cost.Kind) {
				continue
			}
			// Two owners that need a target might each keep the machine that the other one needs.
			if cost.needsTarget() && targetNeeded {
				continue
			}
			targetNeeded = targetNeeded || cost.needsTarget()
			donating[cost.Owner], served[need.Owner] = true, true
			evacuations.requests = append(evacuations.requests, EvacuationRequest{need.Owner, cost.Owner, cost.Kind, now.Add(evacuationTimeout), cost.needsTarget()})
		}
	}
	return evacuations.requests
}

// isOver reports whether a request has expired, or its owner has evacuated the host or can't evacuate one any
// more. The owner is then not asked again for a while.
func (evacuations *Evacuations) isOver(now time.Time, request EvacuationRequest, costs []EvacuationCost) bool {
	age := evacuationTimeout - request.Until.Sub(now)
	cost := costOf(request, costs)
	expired := age >= evacuationTimeout || cost.needsTarget() && age > targetTimeout
	withdrawn := cost == EvacuationCost{} && age > costGrace
	switch {
	case !expired && !withdrawn:
		return false
	case request.lackedTarget:
		evacuations.backOff(request.Owner, now.Add(targetBackoff))
	case expired:
		evacuations.backOff(request.Owner, now.Add(evacuationBackoff))
	}
	return true
}

// costOf returns the cost that the owner of a request publishes for its kind, or the zero value if there is none.
func costOf(request EvacuationRequest, costs []EvacuationCost) EvacuationCost {
	for _, cost := range costs {
		if cost.Owner == request.Owner && cost.Kind == request.Kind {
			return cost
		}
	}
	return EvacuationCost{}
}

// backOff sets the time before which an owner is not asked again.
func (evacuations *Evacuations) backOff(owner string, until time.Time) {
	if evacuations.backoffUntil == nil {
		evacuations.backoffUntil = map[string]time.Time{}
	}
	evacuations.backoffUntil[owner] = until
}
