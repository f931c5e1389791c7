// Package reachability decides whether a machine receives what its controller sends. A
// heartbeat shows that the machine was alive when it sent it, not that replies and commands
// arrive there. Proof of that is a heartbeat that could not look so without a reply (an epoch
// that the machine had not seen, a start, a clear, a lease that did not expire), or the answer
// to a probe. Doubt is raised by an expected effect that does not show, a probe without an
// answer, and an incarnation that ended while the machine sent heartbeats. A doubt costs
// little: nothing is placed on the machine until one probe is answered. The package has no
// clock and sends nothing.
package reachability

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/disruption"
)

const (
	// maxMisses is how many heartbeats in a row may fail to show the effect of the replies
	// before them. One reply may be lost, or late and dropped.
	maxMisses = 2
	// maxUnansweredProbes is how many unanswered probes, without other proof, make a machine
	// that sends heartbeats count as unreachable.
	maxUnansweredProbes = 2
	// gapDoubtEvery is the least time between two doubts raised by skipped sequence numbers
	// alone: where heartbeats are lost now and then, or others probe the machine, these prove
	// little.
	gapDoubtEvery = 30 * time.Second
)

// Detector holds the evidence on whether one machine receives what its owner sends. The zero
// value has no doubt.
type Detector struct {
	expectsEffect bool
	misses        int
	// doubtedSince is when the doubt was raised (zero: none); unansweredProbes counts the
	// probes without an answer since the last proof.
	doubtedSince     time.Time
	unansweredProbes int
	lastGapDoubt     time.Time
	// consecutive: the last heartbeat followed directly on the one before. After a failover
	// machines arrive rerouted by other controllers, and the first gap means nothing.
	consecutive bool
	// incarnationAt is when the newest incarnation was first reported.
	incarnationAt time.Time
	// reachedByReplies: probes to its address had no answer, and replies to its heartbeats
	// arrived.
	reachedByReplies bool
}

// ProbeAnswered records the answer to a probe.
func (d *Detector) ProbeAnswered() {
	d.reachedByReplies = false
	d.reset()
}

// EffectSeen records a heartbeat that could not look so without a reply or command.
func (d *Detector) EffectSeen() {
	d.reachedByReplies = d.reachedByReplies || d.unansweredProbes > 0
	d.reset()
}

func (d *Detector) reset() {
	d.expectsEffect, d.misses, d.unansweredProbes, d.doubtedSince = false, 0, 0, time.Time{}
}

// ExpectEffect records that a reply was sent whose effect a later heartbeat has to show.
func (d *Detector) ExpectEffect() { d.expectsEffect = true }

// ProbeUnanswered records that a probe had no answer.
func (d *Detector) ProbeUnanswered(now time.Time) {
	d.unansweredProbes++
	if !d.reachedByReplies {
		d.doubt(now)
	}
}

// Incarnation records a heartbeat of a later incarnation: the lease expired. If its heartbeats
// were answered and nothing renewed the lease, the replies did not arrive.
func (d *Detector) Incarnation(now time.Time) {
	d.incarnationAt = now
	d.doubt(now)
}

// HeartbeatWithoutEffect records a heartbeat that shows nothing of our replies. skipped: the
// machine has sent others in between that did not come here. lease is how long a lease lasts
// at least.
func (d *Detector) HeartbeatWithoutEffect(now time.Time, skipped bool, lease time.Duration) {
	if d.expectsEffect {
		if d.misses++; d.misses >= maxMisses {
			d.doubt(now)
		}
	}
	if skipped && d.consecutive && now.Sub(d.lastGapDoubt) > gapDoubtEvery {
		d.lastGapDoubt = now
		d.doubt(now)
	}
	d.consecutive = !skipped
	since := d.doubtedSince
	if d.incarnationAt.After(since) {
		since = d.incarnationAt
	}
	if !d.doubtedSince.IsZero() && now.Sub(since) > lease {
		// Since then its lease would have expired, had no reply renewed it.
		d.EffectSeen()
	}
}

// ReportedElsewhere records that the machine has sent heartbeats to another controller since.
func (d *Detector) ReportedElsewhere(now time.Time) { d.doubt(now) }

func (d *Detector) doubt(now time.Time) {
	if d.doubtedSince.IsZero() {
		d.doubtedSince = now
	}
}

// Reachable reports whether there is no doubt that replies and commands arrive.
func (d *Detector) Reachable() bool { return d.doubtedSince.IsZero() }

// Unreachable reports whether the doubt was confirmed by unanswered probes, and how old it is.
func (d *Detector) Unreachable(now time.Time) (time.Duration, bool) {
	if d.Reachable() || d.unansweredProbes < maxUnansweredProbes {
		return 0, false
	}
	return now.Sub(d.doubtedSince), true
}

// Machine is an unreachable machine that sends heartbeats. Tasks counts what runs there.
type Machine struct {
	ID             string
	Tasks          int
	UnreachableFor time.Duration
}

// ReleasePolicy says how long unreachable machines are kept.
type ReleasePolicy struct {
	// SingleTimeout is how long a single one is waited for: as long as for an unresponsive
	// one.
	SingleTimeout time.Duration
	// LeaseRemaining is how long the lease of an unreachable machine may still run.
	LeaseRemaining time.Duration
	// LastReleased is when a machine of a correlated failure was last released.
	LastReleased time.Time
}

// releaseEvery is the least time between two releases during a correlated failure: the fault
// is then likely in a link, and each machine that is kept is of use again at its end.
const releaseEvery = 10 * time.Second

// SelectReleases returns the machines to release now. A single one is released like an
// unresponsive one: the cloud's answer is the proof that its tasks wait for. In a correlated
// failure none is released before its lease has certainly expired, which proves the same at no
// cost, and then one at a time, those with tasks first. If every machine that sends heartbeats
// is unreachable none is released: the fault is in what this controller sends.
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
