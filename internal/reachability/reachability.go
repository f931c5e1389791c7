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

	"github.com/micahill/micahill/internal/disruption"
)

const (
	// maxMisses is how many reports in a row may fail to show what the answers before
	// them must have brought. One answer may be late and dropped, or lost.
	maxMisses = 2
	// maxUnansweredProbes is after how many direct requests without an answer, and no other sign,
	// a machine that reports counts as one that hears nothing.
	maxUnansweredProbes = 2
	// gapDoubtEvery separates two doubts that rest on skipped ticks alone: where reports
	// are lost now and then, or others ask the machine, they prove little.
	gapDoubtEvery = 30 * time.Second
)

// Detector is what shows whether one machine hears its owner. The zero value is one of
// which nothing raises a doubt.
type Detector struct {
	expectsEffect bool
	misses        int
	// doubtedSince is since when there is a doubt, and asks how many direct requests have
	// had no answer since the last sign.
	doubtedSince     time.Time
	unansweredProbes int
	lastGapDoubt     time.Time
	// steady: the last report followed on the one before. After a takeover machines come
	// by way of others.
	consecutive bool
	// incarnationAt is when the newest tenure was first reported.
	incarnationAt time.Time
	// reachedByReplies: its address gave no answer, and answers to its reports arrived.
	reachedByReplies bool
}

// ProbeAnswered notes the answer to a direct request.
func (e *Detector) ProbeAnswered() {
	e.reachedByReplies = false
	e.reset()
}

// EffectSeen notes a report that could not look so without an answer or order.
func (e *Detector) EffectSeen() {
	e.reachedByReplies = e.reachedByReplies || e.unansweredProbes > 0
	e.reset()
}

func (e *Detector) reset() {
	e.expectsEffect, e.misses, e.unansweredProbes, e.doubtedSince = false, 0, 0, time.Time{}
}

// ExpectEffect notes that an answer has left which a later report has to show.
func (e *Detector) ExpectEffect() { e.expectsEffect = true }

// ProbeUnanswered notes that a direct request had no answer.
func (e *Detector) ProbeUnanswered(now time.Time) {
	e.unansweredProbes++
	if !e.reachedByReplies {
		e.doubt(now)
	}
}

// Incarnation notes a report of a later tenure: the lease ran out. If nothing prolonged it
// though its reports were answered, they were not heard.
func (e *Detector) Incarnation(now time.Time) {
	e.incarnationAt = now
	e.doubt(now)
}

// HeartbeatWithoutEffect notes a report that shows nothing of our answers. skipped: the machine has
// sent others in between that came to nobody here. lease is for how long a lease
// surely runs.
func (e *Detector) HeartbeatWithoutEffect(now time.Time, skipped bool, lease time.Duration) {
	if e.expectsEffect {
		if e.misses++; e.misses >= maxMisses {
			e.doubt(now)
		}
	}
	if skipped && e.consecutive && now.Sub(e.lastGapDoubt) > gapDoubtEvery {
		e.lastGapDoubt = now
		e.doubt(now)
	}
	e.consecutive = !skipped
	since := e.doubtedSince
	if e.incarnationAt.After(since) {
		since = e.incarnationAt
	}
	if !e.doubtedSince.IsZero() && now.Sub(since) > lease {
		// Since then its lease would have run out, had no answer prolonged it.
		e.EffectSeen()
	}
}

// ReportedElsewhere notes that it has reported to another controller since it was last heard.
func (e *Detector) ReportedElsewhere(now time.Time) { e.doubt(now) }

func (e *Detector) doubt(now time.Time) {
	if e.doubtedSince.IsZero() {
		e.doubtedSince = now
	}
}

// Reachable says that nothing speaks against it that answers and orders arrive.
func (e *Detector) Reachable() bool { return e.doubtedSince.IsZero() }

// Unreachable says that the doubt has been asked about, and for how long it stands.
func (e *Detector) Unreachable(now time.Time) (time.Duration, bool) {
	if e.Reachable() || e.unansweredProbes < maxUnansweredProbes {
		return 0, false
	}
	return now.Sub(e.doubtedSince), true
}

// Machine is one that reports and hears nothing, and for how long that is known.
type Machine struct {
	ID             string
	Tasks          int
	UnreachableFor time.Duration
}

// ReleasePolicy says how long deaf machines are kept.
type ReleasePolicy struct {
	// SingleTimeout is how long one by itself is waited for: as long as for a silent one.
	SingleTimeout time.Duration
	// LeaseRemaining is how long the lease of one that hears nothing may still run.
	LeaseRemaining time.Duration
	// LastReleased is when one of many was last given back.
	LastReleased time.Time
}

// releaseEvery separates the returns of single machines while many hear nothing: the
// fault is then likely in a link, and each that is kept is of use again at its end.
const releaseEvery = 10 * time.Second

// SelectReleases picks the machines to give back now. One by itself goes as a silent one
// does: the answer is the proof that its tasks wait for. Of many none goes before its
// lease has surely run out, which proves the same for nothing, and then one at a time,
// those without tasks last. If all that report hear nothing, none goes: the fault is
// in what leaves here.
func SelectReleases(now time.Time, policy ReleasePolicy, reporting int, unreachable []Machine) []string {
	if len(unreachable) >= reporting && reporting > 1 {
		return nil
	}
	correlated := disruption.IsCorrelated(disruption.Pool{Reporting: reporting}, len(unreachable))
	sorted := slices.Clone(unreachable)
	slices.SortStableFunc(sorted, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(min(b.Tasks, 1), min(a.Tasks, 1)), cmp.Compare(b.UnreachableFor, a.UnreachableFor), cmp.Compare(a.ID, b.ID))
	})
	var out []string
	for _, m := range sorted {
		switch {
		case m.UnreachableFor <= policy.SingleTimeout || correlated && (m.UnreachableFor <= policy.LeaseRemaining || now.Sub(policy.LastReleased) < releaseEvery):
		case correlated:
			return append(out, m.ID)
		default:
			out = append(out, m.ID)
		}
	}
	return out
}
