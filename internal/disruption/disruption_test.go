package disruption

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// t0 is the time from which the tests' latest starts count.
var t0 = time.Unix(1_750_000_000, 0)

// TestSelectReleases guards against releasing too many or the wrong machines. A few unresponsive
// machines are released at once. In a correlated failure, only as many are released as have tasks
// that can start elsewhere, the most urgent first. If more than half of the pool is unresponsive or
// the controller receives nothing, machines are released only after a grace period.
func TestSelectReleases(t *testing.T) {
	pool := Pool{Reporting: 100, Lease: 30 * time.Second, MaxStarts: 6}
	few := []Machine{{ID: "a"}, {ID: "b", Tasks: 2}}
	if got := SelectReleases(pool, few); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("few unresponsive machines: got releases %v, want all of them, machines with tasks first", got)
	}
	var many []Machine
	for i := range 20 {
		many = append(many, Machine{ID: fmt.Sprint("n", i), Tasks: 2, Urgency: 1, LatestStart: t0.Add(time.Duration(20-i) * time.Second)})
	}
	many = append(many, Machine{ID: "idle"}, Machine{ID: "idle-long", UnresponsiveFor: time.Minute}, Machine{ID: "urgent", Tasks: 2, Urgency: 2, LatestStart: t0.Add(time.Hour)})
	if got := SelectReleases(pool, many); !slices.Equal(got, []string{"urgent", "n19", "n18", "idle-long"}) {
		t.Errorf("correlated failure: got releases %v, want the machine with the highest urgency, then those with the earliest latest start, up to 6 tasks, and the idle machine past its lease", got)
	}
	pool.ReceivesNothing = true
	if got := SelectReleases(pool, few); len(got) != 0 {
		t.Errorf("controller receives nothing: got releases %v, want none", got)
	}
	pool.ReceivesNothing, pool.Reporting = false, 24
	if got := SelectReleases(pool, many); !slices.Equal(got, []string{"idle-long"}) {
		t.Errorf("more than half of the pool unresponsive: got releases %v, want only the machine past the grace period", got)
	}
}

// TestEveryUnresponsiveMachineIsReleased guards against machines that are never released, whose
// tasks would wait forever: whatever the pool and the limits, every machine that stays unresponsive
// is released within 200 seconds.
func TestEveryUnresponsiveMachineIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := Pool{Reporting: rapid.IntRange(1, 50).Draw(t, "reporting"), Lease: 30 * time.Second, MaxStarts: rapid.IntRange(0, 8).Draw(t, "starts")}
		var unresponsive []Machine
		for i := range rapid.IntRange(1, pool.Reporting).Draw(t, "unresponsive") {
			unresponsive = append(unresponsive, Machine{
				ID: fmt.Sprint(i), Tasks: rapid.IntRange(0, 12).Draw(t, "tasks"), Urgency: rapid.IntRange(0, 3).Draw(t, "urgency"),
				LatestStart: t0.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "latest start")) * time.Second),
			})
		}
		for range 200 {
			released := SelectReleases(pool, unresponsive)
			for k := 1; k < len(released); k++ {
				if slices.Index(released, released[k-1]) != k-1 {
					t.Fatalf("machine %s is released twice in one call", released[k-1])
				}
			}
			unresponsive = slices.DeleteFunc(unresponsive, func(m Machine) bool { return slices.Contains(released, m.ID) })
			if len(unresponsive) == 0 {
				return
			}
			for i := range unresponsive {
				unresponsive[i].UnresponsiveFor += time.Second
			}
		}
		t.Fatalf("%d machines are not released within 200 seconds, want 0", len(unresponsive))
	})
}
