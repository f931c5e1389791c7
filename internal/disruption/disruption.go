// Package disruption decides which unresponsive machines to release. A single unresponsive machine
// is released, so that its tasks can start elsewhere. Many unresponsive machines at once are a
// correlated failure. Its cause may be a network partition that ends, after which the machines
// return with their tasks. So the package neither releases all of these machines at once nor waits
// for all of them. It releases the machines with the most urgent tasks first, and at a time only as
// many as have tasks that can be started elsewhere. It waits for machines without tasks until their
// leases expire, since releasing them earlier has no benefit.
package disruption

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds for correlated failures.
const (
	// Unresponsive machines are a correlated failure if there are at least minCorrelated of
	// them and they are at least correlatedFraction of the pool.
	minCorrelated      = 4
	correlatedFraction = 0.1
	// majorityGrace is how much longer the controller waits for machines if more than half of
	// the pool is unresponsive or the controller receives no heartbeats at all. The fault is
	// then probably in the controller or its network. The machines send their heartbeats to the
	// other controllers instead, which report them to this controller within this time.
	majorityGrace = 10 * time.Second
)

// Machine is an unresponsive machine.
type Machine struct {
	ID string
	// Tasks counts the tasks on the machine. Urgency is the highest urgency among them, and
	// LatestStart is the earliest of the times by which a task of that urgency has to start
	// elsewhere.
	Tasks       int
	Urgency     int
	LatestStart time.Time
	// UnresponsiveFor is how long the machine has counted as unresponsive.
	UnresponsiveFor time.Duration
}

// Pool describes all machines of a controller and the limits for releasing them.
type Pool struct {
	// Reporting counts the machines that should send heartbeats, including the unresponsive ones.
	Reporting int
	// Lease is the duration of a worker lease.
	Lease time.Duration
	// MaxStarts is the number of tasks that may be freed to start elsewhere at a time.
	MaxStarts int
	// ReceivesNothing: the controller has received no heartbeat of any machine for longer than
	// can be a coincidence.
	ReceivesNothing bool
}

// IsCorrelated reports whether the given number of unresponsive machines is a correlated failure.
func IsCorrelated(pool Pool, unresponsive int) bool {
	return unresponsive >= minCorrelated && float64(unresponsive) >= correlatedFraction*float64(pool.Reporting)
}

// SelectReleases returns the IDs of the machines to release at this time. Machines with tasks come
// first, ordered by urgency and then by LatestStart.
func SelectReleases(pool Pool, unresponsive []Machine) []string {
	sorted := slices.Clone(unresponsive)
	slices.SortStableFunc(sorted, func(a, b Machine) int {
		return cmp.Or(
			cmp.Compare(min(b.Tasks, 1), min(a.Tasks, 1)), cmp.Compare(b.Urgency, a.Urgency),
			a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.ID, b.ID))
	})
	correlated := IsCorrelated(pool, len(sorted))
	majority := pool.Reporting > 1 && (pool.ReceivesNothing || 2*len(sorted) > pool.Reporting)
	var released []string
	freedTasks := 0
	for _, m := range sorted {
		switch {
		case majority && m.UnresponsiveFor < majorityGrace:
			continue
		case correlated && m.Tasks == 0 && m.UnresponsiveFor < pool.Lease:
			continue
		case correlated && freedTasks > 0 && freedTasks+m.Tasks > pool.MaxStarts:
			continue
		}
		freedTasks += m.Tasks
		released = append(released, m.ID)
	}
	return released
}
