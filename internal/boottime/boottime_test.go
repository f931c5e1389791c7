package boottime

import (
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// nominal is the boot time that the cloud states in these tests.
const nominal = 40 * time.Second

// TestPriorEstimate guards against renting or giving up machines too early when there are no samples. A
// machine must be worth waiting for until it takes longer than usual, and be given up only when it is very
// late.
func TestPriorEstimate(t *testing.T) {
	var estimator Estimator
	for _, c := range []struct {
		age                  time.Duration
		worthWaiting, giveUp bool
	}{{0, true, false}, {nominal, true, false}, {70 * time.Second, false, false}, {150 * time.Second, false, false}, {170 * time.Second, false, true}} {
		if estimator.IsWorthWaiting(c.age, nominal) != c.worthWaiting || estimator.GiveUp(c.age, nominal) != c.giveUp {
			t.Errorf("age %v: got worth waiting %v, give up %v; want %v, %v", c.age, estimator.IsWorthWaiting(c.age, nominal), estimator.GiveUp(c.age, nominal), c.worthWaiting, c.giveUp)
		}
	}
	if r := estimator.Remaining(0, nominal); r < nominal/2 || r > 3*nominal/2 {
		t.Errorf("Remaining(0): got %v, want about the nominal time", r)
	}
}

// TestEstimateFollowsSamples guards against an estimate that stays at the nominal time when machines boot faster or slower.
func TestEstimateFollowsSamples(t *testing.T) {
	var estimator Estimator
	now := time.Unix(1_750_000_000, 0)
	for range 20 {
		estimator.RecordReady(now, time.Second)
	}
	if r := estimator.Remaining(0, nominal); r > 2*time.Second {
		t.Errorf("after fast boots: Remaining(0): got %v, want 2s at most", r)
	}
	for range 30 {
		estimator.RecordReady(now, 3*nominal)
	}
	if r := estimator.Remaining(0, nominal); r < 2*nominal {
		t.Errorf("after late boots: Remaining(0): got %v, want twice the nominal time at least", r)
	}
	if !estimator.IsWorthWaiting(2*nominal, nominal) {
		t.Error("machine as slow as the others: got not worth waiting, want worth waiting")
	}
	if estimator.GiveUp(4*nominal, nominal) {
		t.Error("machine as slow as the others: got given up, want not given up")
	}
}

// TestExpire guards against a kind that is never rented again after all its machines were given up. Without
// the expiry of samples, a minute of late boots kept a cloud's on-demand machines from being rented for a
// whole day.
func TestExpire(t *testing.T) {
	var estimator Estimator
	now := time.Unix(1_750_000_000, 0)
	for range 40 {
		estimator.RecordGivenUp(now)
	}
	estimator.Expire(now.Add(4*nominal), nominal)
	if estimator.Remaining(0, nominal) != Never {
		t.Error("Remaining(0) before expiry: got a time, want Never")
	}
	estimator.Expire(now.Add(4*nominal+time.Second), nominal)
	if r := estimator.Remaining(0, nominal); r > 2*nominal {
		t.Errorf("after expiry: Remaining(0): got %v, want about the nominal time", r)
	}
}

// TestNeverReady guards against renting more machines of a kind whose machines have stopped becoming ready.
// The kind must count as never ready while three machines are overdue, until one becomes ready.
func TestNeverReady(t *testing.T) {
	var estimator Estimator
	now := time.Unix(1_750_000_000, 0)
	estimator.RecordReady(now, nominal)
	var provisioning []Provisioning
	for i := range 3 {
		provisioning = append(provisioning, Provisioning(now.Add(time.Duration(i+1)*time.Second)))
	}
	if estimator.NeverReady(now.Add(nominal), nominal, provisioning) {
		t.Error("NeverReady before any machine is overdue: got true, want false")
	}
	late := now.Add(3 * nominal)
	if !estimator.NeverReady(late, nominal, provisioning) {
		t.Error("NeverReady with three overdue: got false, want true")
	}
	if estimator.NeverReady(late, nominal, provisioning[:2]) {
		t.Error("NeverReady with two overdue: got true, want false")
	}
	estimator.RecordReady(late, nominal)
	if estimator.NeverReady(late, nominal, provisioning) {
		t.Error("NeverReady after one became ready: got true, want false")
	}
}

// TestDecisionsAreConsistent guards against contradictory decisions for any samples. A new machine must be worth waiting for
// unless its estimate is Never, no machine may be both worth waiting for and given up, and no machine may be
// waited for without limit.
func TestDecisionsAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var estimator Estimator
		now := time.Unix(1_750_000_000, 0)
		for range rapid.IntRange(0, 60).Draw(t, "boots") {
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				estimator.RecordGivenUp(now)
			} else {
				estimator.RecordReady(now, time.Duration(rapid.IntRange(0, 600).Draw(t, "took"))*time.Second)
			}
		}
		if !estimator.IsWorthWaiting(0, nominal) && estimator.Remaining(0, nominal) != Never {
			t.Fatal("new machine: got not worth waiting and an estimate below Never, want worth waiting or Never")
		}
		if !estimator.GiveUp(time.Hour, nominal) || estimator.IsWorthWaiting(time.Hour, nominal) {
			t.Fatal("machine at the age of an hour: got worth waiting or not given up, want given up")
		}
		age := time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Second
		if estimator.IsWorthWaiting(age, nominal) && estimator.GiveUp(age, nominal) {
			t.Fatal("machine of a random age: got both worth waiting and given up, want at most one")
		}
	})
}
