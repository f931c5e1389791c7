// Package reachability decides whether a machine receives the messages of its controller. A
// heartbeat shows that the machine was alive when it sent the heartbeat, but not that
// replies and commands arrive there. Proof of that is the answer to a probe, or a heartbeat
// that shows an effect of a reply or command: an epoch that the machine had not seen before,
// a start, a clear, or a lease that did not expire. Suspicion arises from an expected effect
// that does not show, a probe without an answer, and an incarnation that ended while the
// machine sent heartbeats. A suspicion costs little: nothing is placed on the machine until
// one probe is answered. The package has no clock and sends nothing.
package reachability

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/disruption"
)

const (
	// maxMissedEffects is how many heartbeats in a row may fail to show the effect of the replies
	// before them. A single reply may be lost, or be late and dropped.
	maxMissedEffects = 2
	// maxUnansweredProbes is how many unanswered probes, without other proof, make a machine
	// that sends heartbeats count as unreachable.
	maxUnansweredProbes = 2
	// minGapSuspicionInterval is the least time between two suspicions raised by skipped sequence
	// numbers alone. Where heartbeats are lost occasionally, or other controllers probe the
	// machine, a gap proves little.
	minGapSuspicionInterval = 30 * time.Second
)

// Detector holds the evidence on whether one machine receives its owner's messages. The zero
// value has no suspicion.
type Detector struct {
	// expectsEffect means that a heartbeat has to show the effect of a reply; missedEffects counts the
	// heartbeats in a row that didn't.
	expectsEffect bool
	missedEffects int
	// suspectedSince is when the suspicion was raised, or zero if there is none.
	// unansweredProbes counts the probes without an answer since the last proof.
	suspectedSince   time.Time
	unansweredProbes int
	// lastGapSuspicion is when skipped sequence numbers last raised a suspicion.
	lastGapSuspicion time.Time
	// consecutive means that the last heartbeat directly followed the heartbeat before it.
	// After a failover, machines arrive rerouted by other controllers, so the first gap
	// means nothing.
	consecutive bool
	// incarnationAt is when the newest incarnation was first reported.
	incarnationAt time.Time
	// reachedByReplies means that probes to the machine's address had no answer although
	// replies to its heartbeats arrived.
	reachedByReplies bool
}

// ProbeAnswered records the answer to a probe.
func (detector *Detector) ProbeAnswered() {
	detector.reachedByReplies = false
	detector.reset()
}

// EffectSeen records a heartbeat that shows an effect of a reply or command.
func (detector *Detector) EffectSeen() {
	detector.reachedByReplies = detector.reachedByReplies || detector.unansweredProbes > 0
	detector.reset()
}

// reset removes the suspicion after a proof.
func (detector *Detector) reset() {
	detector.expectsEffect, detector.missedEffects, detector.unansweredProbes, detector.suspectedSince = false, 0, 0, time.Time{}
}

// ExpectEffect records that a reply was sent whose effect a later heartbeat must show.
func (detector *Detector) ExpectEffect() { detector.expectsEffect = true }

// ProbeUnanswered records that a probe had no answer.
func (detector *Detector) ProbeUnanswered(now time.Time) {
	detector.unansweredProbes++
	if !detector.reachedByReplies {
		detector.suspect(now)
	}
}

// Incarnation records a heartbeat of a later incarnation, which means that the worker's
// lease expired. If the heartbeats were answered and the lease was still not renewed, the
// replies did not arrive.
func (detector *Detector) Incarnation(now time.Time) {
	detector.incarnationAt = now
	detector.suspect(now)
}

// HeartbeatWithoutEffect records a heartbeat that shows no effect of the owner's replies.
// skipped means that the machine sent other heartbeats in between that did not arrive here.
// lease is the least time that a lease lasts.
func (detector *Detector) HeartbeatWithoutEffect(now time.Time, skipped bool, lease time.Duration) {
	if detector.expectsEffect {
		if detector.missedEffects++; detector.missedEffects >= maxMissedEffects {
			detector.suspect(now)
		}
	}
	if skipped && detector.consecutive && now.Sub(detector.lastGapSuspicion) > minGapSuspicionInterval {
		detector.lastGapSuspicion = now
		detector.suspect(now)
	}
	detector.consecutive = !skipped
	since := detector.suspectedSince
	if detector.incarnationAt.After(since) {
		since = detector.incarnationAt
	}
	if !detector.suspectedSince.IsZero() && now.Sub(since) > lease {
		// The machine's lease would have expired since then if no reply had renewed it.
		detector.EffectSeen()
	}
}

// ReportedElsewhere records that the machine has sent newer heartbeats to another
// controller.
func (detector *Detector) ReportedElsewhere(now time.Time) { detector.suspect(now) }

// suspect raises a suspicion, unless there is one already.
func (detector *Detector) suspect(now time.Time) {
	if detector.suspectedSince.IsZero() {
		detector.suspectedSince = now
	}
}

// Reachable reports whether there is no suspicion that replies and commands fail to arrive.
func (detector *Detector) Reachable() bool { return detector.suspectedSince.IsZero() }

// Unreachable reports whether unanswered probes have confirmed the suspicion, and how old
// the suspicion is.
func (detector *Detector) Unreachable(now time.Time) (time.Duration, bool) {
	if detector.Reachable() || detector.unansweredProbes < maxUnansweredProbes {
		return 0, false
	}
	return now.Sub(detector.suspectedSince), true
}

// Machine is an unreachable machine that sends heartbeats. Tasks counts the tasks that run
// there.
type Machine struct {
	ID             string
	Tasks          int
	UnreachableFor time.Duration
}

// ReleasePolicy says how long unreachable machines are kept.
type ReleasePolicy struct {
	// SingleTimeout is how long a single unreachable machine is kept: as long as a single
	// unresponsive machine.
	SingleTimeout time.Duration
	// LeaseRemaining is how long the lease of an unreachable machine may still run.
	LeaseRemaining time.Duration
	// LastReleased is when a machine of a correlated failure was last released.
	LastReleased time.Time
}

// minReleaseInterval is the least time between two releases during a correlated failure. The fault
// is then probably in the network, and each machine that is kept is usable again when the
// fault ends.
const minReleaseInterval = 10 * time.Second

// SelectReleases returns the ids of the machines to release now. A single machine is
// released like an unresponsive one: the cloud's confirmation proves that its tasks are
// gone, so that they can run elsewhere. In a correlated failure no machine is released
// before its lease has certainly expired, which proves the same at no cost; after that one
// machine is released at a time, machines with tasks first. If every machine that sends
// heartbeats is unreachable, no machine is released, because then the fault is in what this
// controller sends.
func SelectReleases(now time.Time, policy ReleasePolicy, reporting int, unreachable []Machine) []string {
	if len(unreachable) >= reporting && reporting > 1 {
		return nil
	}
	correlated := disruption.IsCorrelated(disruption.Pool{Reporting: reporting}, len(unreachable))
	sorted := slices.Clone(unreachable)
	slices.SortStableFunc(sorted, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(min(b.Tasks, 1), min(a.Tasks, 1)), cmp.Compare(b.UnreachableFor, a.UnreachableFor), cmp.Compare(a.ID, b.ID))
	})
	var toRelease []string
	for _, m := range sorted {
		switch {
		case m.UnreachableFor <= policy.SingleTimeout || correlated && (m.UnreachableFor <= policy.LeaseRemaining || now.Sub(policy.LastReleased) < minReleaseInterval):
		case correlated:
			return append(toRelease, m.ID)
		default:
			toRelease = append(toRelease, m.ID)
		}
	}
	return toRelease
}
