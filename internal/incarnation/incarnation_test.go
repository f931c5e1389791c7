package incarnation

import (
	"testing"
	"time"
)

// TestCrashLoopBacksOff guards against a crash loop that overloads the state service and against
// waits where there is no crash loop: a restart after a single crash does not wait, each further
// short run doubles the wait up to a limit, and a long run resets the wait.
func TestCrashLoopBacksOff(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	history, backoff := Start(now, History{}, false)
	if backoff != 0 {
		t.Fatalf("first incarnation: got backoff %v, want 0", backoff)
	}
	now = now.Add(time.Hour)
	history, backoff = Start(now, history, true)
	if backoff != 0 || history.ShortRuns != 0 {
		t.Fatalf("after a long run: got backoff %v, want 0 and no short runs", backoff)
	}
	var backoffs []time.Duration
	for range 12 {
		now = now.Add(50 * time.Millisecond)
		history, backoff = Start(now, history, true)
		backoffs = append(backoffs, backoff)
	}
	if backoffs[0] != 0 || backoffs[1] != initialBackoff || backoffs[2] != 2*initialBackoff || backoffs[11] != maxBackoff {
		t.Errorf("crash loop: got backoffs %v, want 0, then initialBackoff, doubling up to maxBackoff", backoffs)
	}
	if _, backoff = Start(now.Add(Probation+3*time.Second), history, true); backoff != 0 {
		t.Errorf("after a crash loop and a long run: got backoff %v, want 0", backoff)
	}
	// The wall clock may be set back. The wait must still not exceed maxBackoff.
	if _, backoff = Start(now.Add(-time.Hour), history, true); backoff > maxBackoff {
		t.Errorf("clock set back: got backoff %v, want at most maxBackoff", backoff)
	}
}

// TestOnProbation guards against giving a role to a controller that has just started, and against
// withholding roles from a controller that has run longer than Probation or reports no start time.
func TestOnProbation(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	for _, c := range []struct {
		startedAt time.Time
		want      bool
	}{{time.Time{}, false}, {now, true}, {now.Add(time.Second), true}, {now.Add(-Probation), false}, {now.Add(-Probation + time.Millisecond), true}} {
		if got := OnProbation(now, c.startedAt); got != c.want {
			t.Errorf("OnProbation after %v: got %v, want %v", now.Sub(c.startedAt), got, c.want)
		}
	}
}
