package renewalbound

import (
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestLastLeaseEndsInTime: whatever a leader has not read was confirmed after its known time,
// and the last lease that it renews ends in time, also by a worker's slow clock. If the
// settings leave no window, Shortfall says how late it may end.
func TestLastLeaseEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least*1000, most*1000).Draw(t, name)) * time.Millisecond
		}
		r := Rule{CancelTimeout: duration("cancel", 1, 600), LeaseDuration: duration("lease", 1, 300)}
		// Two clocks, each off by 0.05 % over the whole time, and a second of rounding.
		r.ClockMargin = r.CancelTimeout/500 + time.Second
		knownUntil := time.Unix(1_750_000_000, 0)
		confirmed := knownUntil.Add(1)
		answered := r.Deadline(knownUntil).Add(-time.Duration(rapid.Int64Range(0, int64(r.Window())).Draw(t, "before")))
		ends := answered.Add(r.LeaseDuration + r.LeaseDuration/1000)
		if excess := ends.Sub(confirmed.Add(r.CancelTimeout)); excess > r.Shortfall() {
			t.Fatalf("%+v: lease ends %v after the cancel timeout, want at most Shortfall %v", r, excess, r.Shortfall())
		}
		if r.ReadInterval() <= 0 || r.ReadInterval()*2 > r.Window() {
			t.Fatalf("%+v: got ReadInterval %v for a window of %v, want two reads in it at least", r, r.ReadInterval(), r.Window())
		}
	})
}
