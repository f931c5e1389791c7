package core

import (
	"time"

	"github.com/micahill/micahill/internal/loss"
)

// startsAhead is for how many seconds' worth of changes tasks of lost machines are
// set free at a time; most share a change with others.
const startsAhead = 4

// lostLog separates two lines in the log on machines that are silent together.
const lostLog = 5 * time.Second

// lostMachines names the silent machines that are to be given back now.
func lostMachines(n *Node) []string {
	p := loss.Pool{Lease: n.set.Lease, Starts: int(startsAhead * n.set.StateWrites)}
	var silent []loss.Machine
	for _, m := range n.owner.byID {
		if !m.reports() || m.returning {
			continue
		}
		p.Reporting++
		if !n.silent(m) {
			continue
		}
		x := loss.Machine{ID: m.id, Tasks: len(m.attempts) + n.owner.registry.Count(m.id), Over: n.quietFor(m) - n.silentAfter(m)}
		for k := range m.attempts {
			j := n.owner.jobs[k.job]
			if l, u := n.latest(j), rankHeight(n, j); u > x.Urgency || x.Latest.IsZero() || u == x.Urgency && l.Before(x.Latest) {
				x.Urgency, x.Latest = u, l
			}
		}
		silent = append(silent, x)
	}
	p.Deaf = n.selfMonitor.Deaf(n.now, n.owner.readyAt, p.Reporting, n.longestReport())
	if p.Reporting > 1 && len(silent) == p.Reporting {
		// When all fall silent together, the fault is likely ours.
		return nil
	}
	back := append(loss.GiveBack(p, silent), unhearing(n, p.Reporting)...)
	if loss.Many(p, len(silent)) && n.now.Sub(n.owner.toldLost) >= lostLog {
		n.owner.toldLost = n.now
		n.info("machines are silent together", "silent", len(silent), "of", p.Reporting, "given back", len(back))
	}
	return back
}
