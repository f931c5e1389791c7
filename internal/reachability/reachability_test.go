package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_750_000_000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

const lease = 25 * time.Second

// TestDoubts: what raises a doubt, what does not, and what ends it.
func TestDoubts(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(d *Detector)
		want bool
	}{
		{"nothing is known", func(*Detector) {}, true},
		{"a reply was late once", func(d *Detector) { d.ExpectEffect(); d.HeartbeatWithoutEffect(at(1), false, lease) }, true},
		{"two heartbeats show no effect", func(d *Detector) {
			d.ExpectEffect()
			d.HeartbeatWithoutEffect(at(1), false, lease)
			d.HeartbeatWithoutEffect(at(2), false, lease)
		}, false},
		{"no effect was expected", func(d *Detector) {
			d.HeartbeatWithoutEffect(at(1), false, lease)
			d.HeartbeatWithoutEffect(at(2), false, lease)
		}, true},
		{"the lease expired", func(d *Detector) { d.Incarnation(at(1)) }, false},
		{"a probe had no answer", func(d *Detector) { d.ProbeUnanswered(at(1)) }, false},
		{"a later probe is answered", func(d *Detector) { d.ProbeUnanswered(at(1)); d.ProbeUnanswered(at(4)); d.ProbeAnswered() }, true},
		{"it sent heartbeats elsewhere", func(d *Detector) {
			d.HeartbeatWithoutEffect(at(97), false, lease)
			d.HeartbeatWithoutEffect(at(100), true, lease)
		}, false},
		{"it was rerouted by others", func(d *Detector) { d.HeartbeatWithoutEffect(at(100), true, lease) }, true},
		{"heartbeats are lost now and then", func(d *Detector) {
			d.HeartbeatWithoutEffect(at(97), false, lease)
			d.HeartbeatWithoutEffect(at(100), true, lease)
			d.ProbeAnswered()
			d.HeartbeatWithoutEffect(at(107), false, lease)
			d.HeartbeatWithoutEffect(at(110), true, lease)
		}, true},
		{"its address never answers, its heartbeats show a start", func(d *Detector) { d.ProbeUnanswered(at(1)); d.EffectSeen(); d.ProbeUnanswered(at(5)) }, true},
		{"its address never answers, and its lease is renewed", func(d *Detector) {
			d.ProbeUnanswered(at(1))
			d.HeartbeatWithoutEffect(at(20), false, lease)
			d.HeartbeatWithoutEffect(at(27), false, lease)
			d.ProbeUnanswered(at(30))
		}, true},
		{"its lease has not yet expired", func(d *Detector) { d.ProbeUnanswered(at(1)); d.HeartbeatWithoutEffect(at(20), false, lease) }, false},
		{"its leases expire one after another", func(d *Detector) {
			d.ProbeUnanswered(at(1))
			d.Incarnation(at(20))
			d.HeartbeatWithoutEffect(at(40), false, lease)
			d.Incarnation(at(44))
			d.HeartbeatWithoutEffect(at(60), false, lease)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d Detector
			if c.do(&d); d.Reachable() != c.want {
				t.Errorf("Reachable: got %v, want %v", d.Reachable(), c.want)
			}
		})
	}
	var d Detector
	d.ProbeUnanswered(at(1))
	if _, unreachable := d.Unreachable(at(9)); unreachable {
		t.Error("Unreachable after one probe: got true, want false")
	}
	d.ProbeUnanswered(at(4))
	if age, unreachable := d.Unreachable(at(9)); !unreachable || age != 8*time.Second {
		t.Errorf("Unreachable: got %v for %v, want true for 8s", unreachable, age)
	}
}

// TestSelectReleases: unreachable machines are released in time, not earlier, never all of
// them, and in a correlated failure one at a time and only after their leases.
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
				t.Fatalf("machine %v is released too early", m)
			}
		}
		want := due
		switch {
		case len(unreachable) == reporting && reporting > 1:
			want = 0
		case correlated && t0.Sub(policy.LastReleased) < releaseEvery:
			want = 0
		case correlated:
			want = min(due, 1)
		}
		if len(got) != want {
			t.Fatalf("SelectReleases: got %d of %d machines, want %d", len(got), len(unreachable), want)
		}
	})
}

// TestAllUnreachable: if all machines that send heartbeats are unreachable the fault is in
// what this controller sends, and none is released; a single machine is no such case.
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

// TestManyBeforeTheirLease: in a correlated failure one machine is released when its lease has
// certainly expired, and none before, though each by itself would be.
func TestManyBeforeTheirLease(t *testing.T) {
	policy := ReleasePolicy{SingleTimeout: 10 * time.Second, LeaseRemaining: lease, LastReleased: at(-60)}
	unreachable := []Machine{{"vm-1", 1, lease}, {"vm-2", 0, lease}, {"vm-3", 0, lease}, {"vm-4", 0, lease}}
	if got := SelectReleases(t0, policy, 30, unreachable); len(got) != 0 {
		t.Errorf("before the leases expire: got %v, want none", got)
	}
	unreachable[2].UnreachableFor += time.Second
	if got := SelectReleases(t0, policy, 30, unreachable); len(got) != 1 || got[0] != "vm-3" {
		t.Errorf("one lease expired: got %v, want vm-3 alone", got)
	}
}
