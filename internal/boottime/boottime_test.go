package boottime

import (
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

const nominal = 40 * time.Second

// TestPriorEstimate: before anything is known a machine is waited for until it is later than
// usual, another is counted on then, and it is given up only when it is very late.
func TestPriorEstimate(t *testing.T) {
	var k Estimator
	for _, c := range []struct {
		age            time.Duration
		coming, giveUp bool
	}{{0, true, false}, {nominal, true, false}, {70 * time.Second, false, false}, {150 * time.Second, false, false}, {170 * time.Second, false, true}} {
		if k.IsWorthWaiting(c.age, nominal) != c.coming || k.GiveUp(c.age, nominal) != c.giveUp {
			t.Errorf("at %v: coming %v, given up %v", c.age, k.IsWorthWaiting(c.age, nominal), k.GiveUp(c.age, nominal))
		}
	}
	if r := k.Remaining(0, nominal); r < nominal/2 || r > 3*nominal/2 {
		t.Errorf("a new one takes %v", r)
	}
}

// TestLearns: in both directions, and back.
func TestLearns(t *testing.T) {
	var k Estimator
	now := time.Unix(1_750_000_000, 0)
	for range 20 {
		k.RecordReady(now, time.Second)
	}
	if r := k.Remaining(0, nominal); r > 2*time.Second {
		t.Errorf("all were up within a second, and a new one takes %v", r)
	}
	for range 30 {
		k.RecordReady(now, 3*nominal)
	}
	if r := k.Remaining(0, nominal); r < 2*nominal {
		t.Errorf("all are late now, and a new one takes %v", r)
	}
	if !k.IsWorthWaiting(2*nominal, nominal) {
		t.Error("late as all of them, it is not waited for")
	}
	if k.GiveUp(4*nominal, nominal) {
		t.Error("late as all of them, it is given up")
	}
}

// TestExpire: a kind of which all were given up is tried again after a while: a cloud's
// ordinary machines were rented no more all day after a minute of late boots.
func TestExpire(t *testing.T) {
	var k Estimator
	now := time.Unix(1_750_000_000, 0)
	for range 40 {
		k.RecordGivenUp(now)
	}
	k.Expire(now.Add(4*nominal), nominal)
	if k.Remaining(0, nominal) != Never {
		t.Error("forgotten at once")
	}
	k.Expire(now.Add(4*nominal+time.Second), nominal)
	if r := k.Remaining(0, nominal); r > 2*nominal {
		t.Errorf("a new one still takes %v", r)
	}
}

// TestNeverReady: a kind that stops coming up is told, and one that comes up ends that.
func TestNeverReady(t *testing.T) {
	var k Estimator
	now := time.Unix(1_750_000_000, 0)
	k.RecordReady(now, nominal)
	var provisioning []Provisioning
	for i := range 3 {
		provisioning = append(provisioning, Provisioning(now.Add(time.Duration(i+1)*time.Second)))
	}
	if k.NeverReady(now.Add(nominal), nominal, provisioning) {
		t.Error("told before any is overdue")
	}
	late := now.Add(3 * nominal)
	if !k.NeverReady(late, nominal, provisioning) {
		t.Error("not told")
	}
	if k.NeverReady(late, nominal, provisioning[:2]) {
		t.Error("two may be chance")
	}
	k.RecordReady(late, nominal)
	if k.NeverReady(late, nominal, provisioning) {
		t.Error("one came up since")
	}
}

// TestBounds: whatever was seen, a new machine is always worth waiting for or never
// comes, one that is waited for is not given up, and the older the less it is waited for
// without end.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Estimator
		now := time.Unix(1_750_000_000, 0)
		for range rapid.IntRange(0, 60).Draw(t, "boots") {
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				k.RecordGivenUp(now)
			} else {
				k.RecordReady(now, time.Duration(rapid.IntRange(0, 600).Draw(t, "took"))*time.Second)
			}
		}
		if !k.IsWorthWaiting(0, nominal) && k.Remaining(0, nominal) != Never {
			t.Fatal("a new one is no better than a new one")
		}
		if !k.GiveUp(time.Hour, nominal) || k.IsWorthWaiting(time.Hour, nominal) {
			t.Fatal("waited for without end")
		}
		age := time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Second
		if k.IsWorthWaiting(age, nominal) && k.GiveUp(age, nominal) {
			t.Fatal("given up while it is waited for")
		}
	})
}
