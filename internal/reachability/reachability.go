// Package reachability tells whether a machine hears its controller. A report is a sign of
// life of the time when it was sent; that answers and orders arrive, it does not show
// by coming. What shows it is a report that could not look so without an answer (an
// epoch that the machine had not seen, a start, a clear, a lease that did not run out),
// or the answer to a direct request. What raises a doubt is an answer that should have
// shown itself and has not, a direct request without an answer, and a tenure that ended
// while the machine reported. A doubt costs little: nothing is placed there until one
// question is answered. The package has no clock and sends nothing.
package reachability

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/loss"
)

const (
	// missMost is how many reports in a row may fail to show what the answers before
	// them must have brought. One answer may be late and dropped, or lost.
	missMost = 2
	// asksMost is after how many direct requests without an answer, and no other sign,
	// a machine that reports counts as one that hears nothing.
	asksMost = 2
	// hintEvery separates two doubts that rest on skipped ticks alone: where reports
	// are lost now and then, or others ask the machine, they prove little.
	hintEvery = 30 * time.Second
)

// Detector is what shows whether one machine hears its owner. The zero value is one of
// which nothing raises a doubt.
type Detector struct {
	expects bool
	misses  int
	// doubted is since when there is a doubt, and asks how many direct requests have
	// had no answer since the last sign.
	doubted time.Time
	asks    int
	hinted  time.Time
	// steady: the last report followed on the one before. After a takeover machines come
	// by way of others.
	steady bool
	// tenureAt is when the newest tenure was first reported.
	tenureAt time.Time
	// byReports: its address gave no answer, and answers to its reports arrived.
	byReports bool
}

// Answered notes the answer to a direct request.
func (e *Detector) Answered() {
	e.byReports = false
	e.clear()
}

// Shown notes a report that could not look so without an answer or order.
func (e *Detector) Shown() {
	e.byReports = e.byReports || e.asks > 0
	e.clear()
}

func (e *Detector) clear() {
	e.expects, e.misses, e.asks, e.doubted = false, 0, 0, time.Time{}
}

// Expects notes that an answer has left which a later report has to show.
func (e *Detector) Expects() { e.expects = true }

// Unanswered notes that a direct request had no answer.
func (e *Detector) Unanswered(now time.Time) {
	e.asks++
	if !e.byReports {
		e.doubt(now)
	}
}

// Tenure notes a report of a later tenure: the lease ran out. If nothing prolonged it
// though its reports were answered, they were not heard.
func (e *Detector) Tenure(now time.Time) {
	e.tenureAt = now
	e.doubt(now)
}

// Report notes a report that shows nothing of our answers. skipped: the machine has
// sent others in between that came to nobody here. lease is for how long a lease
// surely runs.
func (e *Detector) Report(now time.Time, skipped bool, lease time.Duration) {
	if e.expects {
		if e.misses++; e.misses >= missMost {
			e.doubt(now)
		}
	}
	if skipped && e.steady && now.Sub(e.hinted) > hintEvery {
		e.hinted = now
		e.doubt(now)
	}
	e.steady = !skipped
	since := e.doubted
	if e.tenureAt.After(since) {
		since = e.tenureAt
	}
	if !e.doubted.IsZero() && now.Sub(since) > lease {
		// Since then its lease would have run out, had no answer prolonged it.
		e.Shown()
	}
}

// Elsewhere notes that it has reported to another controller since it was last heard.
func (e *Detector) Elsewhere(now time.Time) { e.doubt(now) }

func (e *Detector) doubt(now time.Time) {
	if e.doubted.IsZero() {
		e.doubted = now
	}
}

// Hears says that nothing speaks against it that answers and orders arrive.
func (e *Detector) Hears() bool { return e.doubted.IsZero() }

// Deaf says that the doubt has been asked about, and for how long it stands.
func (e *Detector) Deaf(now time.Time) (time.Duration, bool) {
	if e.Hears() || e.asks < asksMost {
		return 0, false
	}
	return now.Sub(e.doubted), true
}

// Machine is one that reports and hears nothing, and for how long that is known.
type Machine struct {
	ID    string
	Tasks int
	For   time.Duration
}

// Patience says how long deaf machines are kept.
type Patience struct {
	// Alone is how long one by itself is waited for: as long as for a silent one.
	Alone time.Duration
	// Lease is how long the lease of one that hears nothing may still run.
	Lease time.Duration
	// Returned is when one of many was last given back.
	Returned time.Time
}

// returnEvery separates the returns of single machines while many hear nothing: the
// fault is then likely in a link, and each that is kept is of use again at its end.
const returnEvery = 10 * time.Second

// GiveBack picks the machines to give back now. One by itself goes as a silent one
// does: the answer is the proof that its tasks wait for. Of many none goes before its
// lease has surely run out, which proves the same for nothing, and then one at a time,
// those without tasks last. If all that report hear nothing, none goes: the fault is
// in what leaves here.
func GiveBack(now time.Time, p Patience, reporting int, deaf []Machine) []string {
	if len(deaf) >= reporting && reporting > 1 {
		return nil
	}
	many := loss.Many(loss.Pool{Reporting: reporting}, len(deaf))
	ms := slices.Clone(deaf)
	slices.SortStableFunc(ms, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(min(b.Tasks, 1), min(a.Tasks, 1)), cmp.Compare(b.For, a.For), cmp.Compare(a.ID, b.ID))
	})
	var out []string
	for _, m := range ms {
		switch {
		case m.For <= p.Alone || many && (m.For <= p.Lease || now.Sub(p.Returned) < returnEvery):
		case many:
			return append(out, m.ID)
		default:
			out = append(out, m.ID)
		}
	}
	return out
}
