package boottime

import (
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

const ready = 40 * time.Second

// TestUsual: before anything is known a machine is waited for until it is later than
// usual, another is counted on then, and it is given up only when it is very late.
func TestUsual(t *testing.T) {
	var k Kind
	for _, c := range []struct {
		age            time.Duration
		coming, giveUp bool
	}{{0, true, false}, {ready, true, false}, {70 * time.Second, false, false}, {150 * time.Second, false, false}, {170 * time.Second, false, true}} {
		if k.Coming(c.age, ready) != c.coming || k.GiveUp(c.age, ready) != c.giveUp {
			t.Errorf("at %v: coming %v, given up %v", c.age, k.Coming(c.age, ready), k.GiveUp(c.age, ready))
		}
	}
	if r := k.Remaining(0, ready); r < ready/2 || r > 3*ready/2 {
		t.Errorf("a new one takes %v", r)
	}
}

// TestLearns: in both directions, and back.
func TestLearns(t *testing.T) {
	var k Kind
	now := time.Unix(1_750_000_000, 0)
	for range 20 {
		k.Up(now, time.Second)
	}
	if r := k.Remaining(0, ready); r > 2*time.Second {
		t.Errorf("all were up within a second, and a new one takes %v", r)
	}
	for range 30 {
		k.Up(now, 3*ready)
	}
	if r := k.Remaining(0, ready); r < 2*ready {
		t.Errorf("all are late now, and a new one takes %v", r)
	}
	if !k.Coming(2*ready, ready) {
		t.Error("late as all of them, it is not waited for")
	}
	if k.GiveUp(4*ready, ready) {
		t.Error("late as all of them, it is given up")
	}
}

// TestFades: a kind of which all were given up is tried again after a while: a cloud's
// ordinary machines were rented no more all day after a minute of late boots.
func TestFades(t *testing.T) {
	var k Kind
	now := time.Unix(1_750_000_000, 0)
	for range 40 {
		k.Lost(now)
	}
	k.Fade(now.Add(4*ready), ready)
	if k.Remaining(0, ready) != Never {
		t.Error("forgotten at once")
	}
	k.Fade(now.Add(4*ready+time.Second), ready)
	if r := k.Remaining(0, ready); r > 2*ready {
		t.Errorf("a new one still takes %v", r)
	}
}

// TestStuck: a kind that stops coming up is told, and one that comes up ends that.
func TestStuck(t *testing.T) {
	var k Kind
	now := time.Unix(1_750_000_000, 0)
	k.Up(now, ready)
	var bs []Booting
	for i := range 3 {
		bs = append(bs, Booting(now.Add(time.Duration(i+1)*time.Second)))
	}
	if k.Stuck(now.Add(ready), ready, bs) {
		t.Error("told before any is overdue")
	}
	late := now.Add(3 * ready)
	if !k.Stuck(late, ready, bs) {
		t.Error("not told")
	}
	if k.Stuck(late, ready, bs[:2]) {
		t.Error("two may be chance")
	}
	k.Up(late, ready)
	if k.Stuck(late, ready, bs) {
		t.Error("one came up since")
	}
}

// TestBounds: whatever was seen, a new machine is always worth waiting for or never
// comes, one that is waited for is not given up, and the older the less it is waited for
// without end.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Kind
		now := time.Unix(1_750_000_000, 0)
		for range rapid.IntRange(0, 60).Draw(t, "boots") {
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				k.Lost(now)
			} else {
				k.Up(now, time.Duration(rapid.IntRange(0, 600).Draw(t, "took"))*time.Second)
			}
		}
		if !k.Coming(0, ready) && k.Remaining(0, ready) != Never {
			t.Fatal("a new one is no better than a new one")
		}
		if !k.GiveUp(time.Hour, ready) || k.Coming(time.Hour, ready) {
			t.Fatal("waited for without end")
		}
		age := time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Second
		if k.Coming(age, ready) && k.GiveUp(age, ready) {
			t.Fatal("given up while it is waited for")
		}
	})
}
