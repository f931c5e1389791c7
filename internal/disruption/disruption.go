// Package disruption decides which unresponsive machines to release. A single one is released,
// so that its tasks may start elsewhere. Many at once are a correlated failure: a partition
// may end, and the machines return with their tasks. They are neither all released at once nor
// all waited for. Urgent work gets its proof first, no more at a time than can be started
// elsewhere. Machines without work are waited for as long as their leases run, since releasing
// them gains nothing.
package disruption

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCorrelated machines, which are also correlatedFraction of the pool, make a correlated
	// failure.
	minCorrelated      = 4
	correlatedFraction = 0.1
	// majorityGrace is how much longer machines are waited for if more than half of the pool
	// is unresponsive, or no heartbeat of any machine is received. The fault is then likely
	// the controller's, and the other controllers, to which the machines turn, say so within
	// this time.
	majorityGrace = 10 * time.Second
)

// Machine is an unresponsive machine.
type Machine struct {
	ID string
	// Tasks counts what runs there. Urgency is the highest of these tasks, and LatestStart is
	// when the most pressing of them should start elsewhere at the latest.
	Tasks       int
	Urgency     int
	LatestStart time.Time
	// UnresponsiveFor is how long the machine has counted as unresponsive.
	UnresponsiveFor time.Duration
}

// Pool describes the whole fleet.
type Pool struct {
	// Reporting counts the machines that should send heartbeats, including the unresponsive.
	Reporting int
	Lease     time.Duration
	// MaxStarts is how many tasks may be freed to start elsewhere at a time.
	MaxStarts int
	// ReceivesNothing: no heartbeat of any machine has come for longer than chance explains.
	ReceivesNothing bool
}

// IsCorrelated reports whether so many unresponsive machines are a correlated failure.
func IsCorrelated(p Pool, unresponsive int) bool {
	return unresponsive >= minCorrelated && float64(unresponsive) >= correlatedFraction*float64(p.Reporting)
}

// SelectReleases returns the machines to release now, the most pressing first.
func SelectReleases(p Pool, unresponsive []Machine) []string {
	sorted := slices.Clone(unresponsive)
	slices.SortStableFunc(sorted, func(a, b Machine) int {
		return cmp.Or(
			cmp.Compare(min(b.Tasks, 1), min(a.Tasks, 1)), cmp.Compare(b.Urgency, a.Urgency),
			a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.ID, b.ID))
	})
	correlated := IsCorrelated(p, len(sorted))
	majority := p.Reporting > 1 && (p.ReceivesNothing || 2*len(sorted) > p.Reporting)
	var out []string
	freedTasks := 0
	for _, m := range sorted {
		switch {
		case majority && m.UnresponsiveFor < majorityGrace:
			continue
		case correlated && m.Tasks == 0 && m.UnresponsiveFor < p.Lease:
			continue
		case correlated && freedTasks > 0 && freedTasks+m.Tasks > p.MaxStarts:
			continue
		}
		freedTasks += m.Tasks
		out = append(out, m.ID)
	}
	return out
}
