package incarnation

import (
	"testing"
	"time"
)

// TestCrashLoopBacksOff: an end alone costs nothing, however soon the process is back; one
// that ends again and again waits longer each time, within a bound; and after a life
// that lasted all is as before.
func TestCrashLoopBacksOff(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	history, backoff := Start(now, History{}, false)
	if backoff != 0 {
		t.Fatalf("the first life waits %v", backoff)
	}
	now = now.Add(time.Hour)
	history, backoff = Start(now, history, true)
	if backoff != 0 || history.ShortRuns != 0 {
		t.Fatalf("after a long life it waits %v", backoff)
	}
	var backoffs []time.Duration
	for range 12 {
		now = now.Add(50 * time.Millisecond)
		history, backoff = Start(now, history, true)
		backoffs = append(backoffs, backoff)
	}
	if backoffs[0] != 0 || backoffs[1] != initialBackoff || backoffs[2] != 2*initialBackoff || backoffs[11] != maxBackoff {
		t.Errorf("waits %v", backoffs)
	}
	if _, backoff = Start(now.Add(Probation+3*time.Second), history, true); backoff != 0 {
		t.Errorf("after a life that lasted it waits %v", backoff)
	}
	// The time of day may be set back; that must not make it wait for ever.
	if _, backoff = Start(now.Add(-time.Hour), history, true); backoff > maxBackoff {
		t.Errorf("it waits %v", backoff)
	}
}

func TestOnProbation(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	for _, c := range []struct {
		born time.Time
		want bool
	}{{time.Time{}, false}, {now, true}, {now.Add(time.Second), true}, {now.Add(-Probation), false}, {now.Add(-Probation + time.Millisecond), true}} {
		if OnProbation(now, c.born) != c.want {
			t.Errorf("born %v before: want %v", now.Sub(c.born), c.want)
		}
	}
}
