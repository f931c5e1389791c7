package boottime

import (
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

const nominal = 40 * time.Second

// TestPriorEstimate: without samples a machine is waited for until it is later than usual,
// another is rented then, and it is given up only when it is very late.
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

// TestLearns: the estimate follows boot times in both directions.
func TestLearns(t *testing.T) {
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
		t.Error("machine as late as the others: got not worth waiting, want worth it")
	}
	if estimator.GiveUp(4*nominal, nominal) {
		t.Error("machine as late as the others: got given up, want kept")
	}
}

// TestExpire: a kind of which all machines were given up is tried again after a while. A
// cloud's on-demand machines used not to be rented for a whole day after a minute of late
// boots.
func TestExpire(t *testing.T) {
	var estimator Estimator
	now := time.Unix(1_750_000_000, 0)
	for range 40 {
		estimator.RecordGivenUp(now)
	}
	estimator.Expire(now.Add(4*nominal), nominal)
	if estimator.Remaining(0, nominal) != Never {
		t.Error("samples expired too early")
	}
	estimator.Expire(now.Add(4*nominal+time.Second), nominal)
	if r := estimator.Remaining(0, nominal); r > 2*nominal {
		t.Errorf("after expiry: Remaining(0): got %v, want about the nominal time", r)
	}
}

// TestNeverReady: a kind that stops becoming ready is recognized, until a machine becomes
// ready.
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

// TestBounds: whatever the samples, a new machine is always worth waiting for or takes Never,
// one that is worth waiting for is not given up, and none is waited for without limit.
func TestBounds(t *testing.T) {
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
			t.Fatal("new machine: got not worth waiting, want worth it or Never")
		}
		if !estimator.GiveUp(time.Hour, nominal) || estimator.IsWorthWaiting(time.Hour, nominal) {
			t.Fatal("machine of an hour: got worth waiting or not given up, want given up")
		}
		age := time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Second
		if estimator.IsWorthWaiting(age, nominal) && estimator.GiveUp(age, nominal) {
			t.Fatal("machine is both worth waiting for and given up")
		}
	})
}
