package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// t0 is the start of each test.
var t0 = time.Unix(1_750_000_000, 0)

// at returns the time s seconds after t0.
func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// lease is the duration of a worker lease.
const lease = 25 * time.Second

// TestSuspicion checks what raises a suspicion that a machine is unreachable, what does not,
// and what ends it.
func TestSuspicion(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(detector *Detector)
		want bool
	}{
		{"no evidence", func(*Detector) {}, true},
		{"one reply was late", func(detector *Detector) {
			detector.ExpectEffect()
			detector.HeartbeatWithoutEffect(at(1), false, lease)
		}, true},
		{"two heartbeats show no effect", func(detector *Detector) {
			detector.ExpectEffect()
			detector.HeartbeatWithoutEffect(at(1), false, lease)
			detector.HeartbeatWithoutEffect(at(2), false, lease)
		}, false},
		{"no effect was expected", func(detector *Detector) {
			detector.HeartbeatWithoutEffect(at(1), false, lease)
			detector.HeartbeatWithoutEffect(at(2), false, lease)
		}, true},
		{"the lease expired", func(detector *Detector) { detector.Incarnation(at(1)) }, false},
		{"a probe had no answer", func(detector *Detector) { detector.ProbeUnanswered(at(1)) }, false},
		{"a later probe is answered", func(detector *Detector) {
			detector.ProbeUnanswered(at(1))
			detector.ProbeUnanswered(at(4))
			detector.ProbeAnswered()
		}, true},
		{"skipped heartbeats went to another controller", func(detector *Detector) {
			detector.HeartbeatWithoutEffect(at(97), false, lease)
			detector.HeartbeatWithoutEffect(at(100), true, lease)
		}, false},
		{"first heartbeat after a reroute has a gap", func(detector *Detector) { detector.HeartbeatWithoutEffect(at(100), true, lease) }, true},
		{"heartbeats are lost occasionally", func(detector *Detector) {
			detector.HeartbeatWithoutEffect(at(97), false, lease)
			detector.HeartbeatWithoutEffect(at(100), true, lease)
			detector.ProbeAnswered()
			detector.HeartbeatWithoutEffect(at(107), false, lease)
			detector.HeartbeatWithoutEffect(at(110), true, lease)
		}, true},
		{"probes are never answered but heartbeats show a start", func(detector *Detector) {
			detector.ProbeUnanswered(at(1))
			detector.EffectSeen()
			detector.ProbeUnanswered(at(5))
		}, true},
		{"probes are never answered but the lease is renewed", func(detector *Detector) {
			detector.ProbeUnanswered(at(1))
			detector.HeartbeatWithoutEffect(at(20), false, lease)
			detector.HeartbeatWithoutEffect(at(27), false, lease)
			detector.ProbeUnanswered(at(30))
		}, true},
		{"a probe had no answer and the lease has not expired yet", func(detector *Detector) {
			detector.ProbeUnanswered(at(1))
			detector.HeartbeatWithoutEffect(at(20), false, lease)
		}, false},
		{"leases expire one after another", func(detector *Detector) {
			detector.ProbeUnanswered(at(1))
			detector.Incarnation(at(20))
			detector.HeartbeatWithoutEffect(at(40), false, lease)
			detector.Incarnation(at(44))
			detector.HeartbeatWithoutEffect(at(60), false, lease)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var detector Detector
			if c.do(&detector); detector.Reachable() != c.want {
				t.Errorf("Reachable: got %v, want %v", detector.Reachable(), c.want)
			}
		})
	}
	var detector Detector
	detector.ProbeUnanswered(at(1))
	if _, unreachable := detector.Unreachable(at(9)); unreachable {
		t.Error("Unreachable after one probe: got true, want false")
	}
	detector.ProbeUnanswered(at(4))
	if age, unreachable := detector.Unreachable(at(9)); !unreachable || age != 8*time.Second {
		t.Errorf("Unreachable: got %v for %v, want true for 8s", unreachable, age)
	}
}

// TestSelectReleases checks that unreachable machines are released in time and not too
// early, never all of them, and in a correlated failure one at a time and only after their
// leases.
func TestSelectReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reporting := rapid.IntRange(1, 60).Draw(t, "reporting")
		policy := ReleasePolicy{SingleTimeout: 10 * time.Second, LeaseRemaining: lease, LastReleased: at(rapid.Float64Range(-20, 0).Draw(t, "last released"))}
		var unreachable []Machine
		for i := range rapid.IntRange(0, reporting).Draw(t, "unreachable") {
			unreachable = append(unreachable, Machine{ID: fmt.Sprint("vm-", i), Tasks: rapid.IntRange(0, 2).Draw(t, "tasks"), UnreachableFor: time.Duration(rapid.Float64Range(0, 60).Draw(t, "unreachable for") * float64(time.Second))})
		}
		got := SelectReleases(t0, policy, reporting, unreachable)
		correlated := len(unreachable) >= 4 && 10*len(unreachable) >= reporting
		due := 0
		for _, m := range unreachable {
			if m.UnreachableFor > policy.SingleTimeout && (!correlated || m.UnreachableFor > lease) {
				due++
			}
			if slices.Contains(got, m.ID) && m.UnreachableFor <= policy.SingleTimeout {
				t.Fatalf("got machine %v released within its timeout, want it kept", m)
			}
		}
		want := due
		switch {
		case len(unreachable) == reporting && reporting > 1:
			want = 0
		case correlated && t0.Sub(policy.LastReleased) < minReleaseInterval:
			want = 0
		case correlated:
			want = min(due, 1)
		}
		if len(got) != want {
			t.Fatalf("SelectReleases: got %d of %d machines, want %d", len(got), len(unreachable), want)
		}
	})
}

// TestAllUnreachable guards against releasing every machine when the fault is in what this
// controller sends: then all machines that send heartbeats are unreachable. A single machine
// is released all the same.
func TestAllUnreachable(t *testing.T) {
	policy := ReleasePolicy{SingleTimeout: 10 * time.Second, LeaseRemaining: lease, LastReleased: at(-60)}
	unreachable := []Machine{{"vm-1", 1, time.Minute}, {"vm-2", 0, time.Minute}}
	if got := SelectReleases(t0, policy, 2, unreachable); len(got) != 0 {
		t.Errorf("all of two unreachable: got %v, want none", got)
	}
	if got := SelectReleases(t0, policy, 3, unreachable); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
		t.Errorf("two of three unreachable: got %v, want both", got)
	}
}

// TestCorrelatedReleaseWaitsForLease guards against losing many machines to one network fault. In a
// correlated failure one machine is released when its lease has certainly expired, and none
// before, though each alone would be.
func TestCorrelatedReleaseWaitsForLease(t *testing.T) {
	policy := ReleasePolicy{SingleTimeout: 10 * time.Second, LeaseRemaining: lease, LastReleased: at(-60)}
	unreachable := []Machine{{"vm-1", 1, lease}, {"vm-2", 0, lease}, {"vm-3", 0, lease}, {"vm-4", 0, lease}}
	if got := SelectReleases(t0, policy, 30, unreachable); len(got) != 0 {
		t.Errorf("before the leases expire: got %v, want none", got)
	}
	unreachable[2].UnreachableFor += time.Second
	if got := SelectReleases(t0, policy, 30, unreachable); len(got) != 1 || got[0] != "vm-3" {
		t.Errorf("one lease expired: got %v, want only vm-3", got)
	}
}
