// Package disruption says what becomes of machines that fall silent. One by itself is
// given back, so that its tasks may start elsewhere. Many that fall silent together
// are one event: a cut may end, and the machines come back with their tasks. They
// are neither all given back at once nor all waited for. Urgent work gets its proof
// first, no more at a time than can be started elsewhere; machines without work are
// waited for as long as their leases run, since nothing is won by losing them.
package disruption

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCorrelated and correlatedFraction say when silence is one event: so many machines, and
	// so large a part of the pool.
	minCorrelated      = 4
	correlatedFraction = 0.1
	// majorityGrace is how much longer machines are waited for when more than half
	// of the pool is silent, or nothing is heard of any. The fault is then likely
	// the controller's, and the others, to whom the machines turn, say so within
	// this time.
	majorityGrace = 10 * time.Second
)

// Machine is a silent machine.
type Machine struct {
	ID string
	// Tasks counts what runs there. Of these, Urgency is the highest, and Latest
	// when the most pressing should start at the latest.
	Tasks       int
	Urgency     int
	LatestStart time.Time
	// UnresponsiveFor is for how long the machine has counted as silent.
	UnresponsiveFor time.Duration
}

// Pool is what is known of all machines.
type Pool struct {
	// Reporting counts the machines that should report, the silent included.
	Reporting int
	Lease     time.Duration
	// MaxStarts is how many tasks may be set free at a time.
	MaxStarts int
	// Deaf: no report of any machine has come for longer than chance explains.
	ReceivesNothing bool
}

// IsCorrelated says that so many silent machines are one event.
func IsCorrelated(p Pool, unresponsive int) bool {
	return unresponsive >= minCorrelated && float64(unresponsive) >= correlatedFraction*float64(p.Reporting)
}

// SelectReleases picks the machines to give back now, the most pressing first.
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
