package renewalbound

import (
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestLastLeaseEndsWithinCancelTimeout guards against a lease that outlives CancelTimeout. A cancellation
// that the shard leader has not read was confirmed after its known time; the last lease that
// it renews must end in time, also by a worker's slow clock. If the settings leave no
// window, Shortfall bounds how late the lease may end.
func TestLastLeaseEndsWithinCancelTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least*1000, most*1000).Draw(t, name)) * time.Millisecond
		}
		rule := Rule{CancelTimeout: duration("cancel", 1, 600), LeaseDuration: duration("lease", 1, 300)}
		// Two clocks, each wrong by 0.05 % over the whole time, and one second for rounding.
		rule.ClockMargin = rule.CancelTimeout/500 + time.Second
		knownUntil := time.Unix(1_750_000_000, 0)
		confirmed := knownUntil.Add(1)
		answered := rule.Deadline(knownUntil).Add(-time.Duration(rapid.Int64Range(0, int64(rule.Window())).Draw(t, "before")))
		ends := answered.Add(rule.LeaseDuration + rule.LeaseDuration/1000)
		if excess := ends.Sub(confirmed.Add(rule.CancelTimeout)); excess > rule.Shortfall() {
			t.Fatalf("%+v: lease ends %v after the cancel timeout, want at most Shortfall %v", rule, excess, rule.Shortfall())
		}
		if rule.ReadInterval() <= 0 || rule.ReadInterval()*2 > rule.Window() {
			t.Fatalf("%+v: got ReadInterval %v for a window of %v, want at least two reads per window", rule, rule.ReadInterval(), rule.Window())
		}
	})
}
