// Package loss says what becomes of machines that fall silent. One by itself is
// given back, so that its tasks may start elsewhere. Many that fall silent together
// are one event: a cut may end, and the machines come back with their tasks. They
// are neither all given back at once nor all waited for. Urgent work gets its proof
// first, no more at a time than can be started elsewhere; machines without work are
// waited for as long as their leases run, since nothing is won by losing them.
package loss

import (
	"cmp"
	"slices"
	"time"
)

const (
	// manyLeast and manyPart say when silence is one event: so many machines, and
	// so large a part of the pool.
	manyLeast = 4
	manyPart  = 0.1
	// halfPatience is how much longer machines are waited for when more than half
	// of the pool is silent, or nothing is heard of any. The fault is then likely
	// the controller's, and the others, to whom the machines turn, say so within
	// this time.
	halfPatience = 10 * time.Second
)

// Machine is a silent machine.
type Machine struct {
	ID string
	// Tasks counts what runs there. Of these, Urgency is the highest, and Latest
	// when the most pressing should start at the latest.
	Tasks   int
	Urgency int
	Latest  time.Time
	// Over is for how long the machine has counted as silent.
	Over time.Duration
}

// Pool is what is known of all machines.
type Pool struct {
	// Reporting counts the machines that should report, the silent included.
	Reporting int
	Lease     time.Duration
	// Starts is how many tasks may be set free at a time.
	Starts int
	// Deaf: no report of any machine has come for longer than chance explains.
	Deaf bool
}

// Many says that so many silent machines are one event.
func Many(p Pool, silent int) bool {
	return silent >= manyLeast && float64(silent) >= manyPart*float64(p.Reporting)
}

// GiveBack picks the machines to give back now, the most pressing first.
func GiveBack(p Pool, silent []Machine) []string {
	ms := slices.Clone(silent)
	slices.SortStableFunc(ms, func(a, b Machine) int {
		return cmp.Or(
			cmp.Compare(min(b.Tasks, 1), min(a.Tasks, 1)), cmp.Compare(b.Urgency, a.Urgency),
			a.Latest.Compare(b.Latest), cmp.Compare(a.ID, b.ID))
	})
	many := Many(p, len(ms))
	half := p.Reporting > 1 && (p.Deaf || 2*len(ms) > p.Reporting)
	var out []string
	freed := 0
	for _, m := range ms {
		switch {
		case half && m.Over < halfPatience:
			continue
		case many && m.Tasks == 0 && m.Over < p.Lease:
			continue
		case many && freed > 0 && freed+m.Tasks > p.Starts:
			continue
		}
		freed += m.Tasks
		out = append(out, m.ID)
	}
	return out
}
