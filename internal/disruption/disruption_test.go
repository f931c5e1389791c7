package disruption

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_750_000_000, 0)

// TestSelectReleases: which machines are released when, by how much of the pool is
// unresponsive.
func TestSelectReleases(t *testing.T) {
	p := Pool{Reporting: 100, Lease: 30 * time.Second, MaxStarts: 6}
	few := []Machine{{ID: "a"}, {ID: "b", Tasks: 2}}
	if got := SelectReleases(p, few); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("few unresponsive: got releases %v, want all, those with work first", got)
	}
	var many []Machine
	for i := range 20 {
		many = append(many, Machine{ID: fmt.Sprint("n", i), Tasks: 2, Urgency: 1, LatestStart: t0.Add(time.Duration(20-i) * time.Second)})
	}
	many = append(many, Machine{ID: "idle"}, Machine{ID: "idle-long", UnresponsiveFor: time.Minute}, Machine{ID: "urgent", Tasks: 2, Urgency: 2, LatestStart: t0.Add(time.Hour)})
	if got := SelectReleases(p, many); !slices.Equal(got, []string{"urgent", "n19", "n18", "idle-long"}) {
		t.Errorf("correlated failure: got releases %v, want the urgent, then the most pressing, as many as can start elsewhere", got)
	}
	p.ReceivesNothing = true
	if got := SelectReleases(p, few); len(got) != 0 {
		t.Errorf("controller that receives nothing: got releases %v, want none", got)
	}
	p.ReceivesNothing, p.Reporting = false, 24
	if got := SelectReleases(p, many); !slices.Equal(got, []string{"idle-long"}) {
		t.Errorf("more than half of the pool: got releases %v, want those past the grace only", got)
	}
}

// TestEveryUnresponsiveMachineIsReleased: any machine that stays unresponsive is released in
// the end.
func TestEveryUnresponsiveMachineIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pool{Reporting: rapid.IntRange(1, 50).Draw(t, "reporting"), Lease: 30 * time.Second, MaxStarts: rapid.IntRange(0, 8).Draw(t, "starts")}
		var unresponsive []Machine
		for i := range rapid.IntRange(1, p.Reporting).Draw(t, "unresponsive") {
			unresponsive = append(unresponsive, Machine{
				ID: fmt.Sprint(i), Tasks: rapid.IntRange(0, 12).Draw(t, "tasks"), Urgency: rapid.IntRange(0, 3).Draw(t, "urgency"),
				LatestStart: t0.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "latest start")) * time.Second),
			})
		}
		for range 200 {
			released := SelectReleases(p, unresponsive)
			for k := 1; k < len(released); k++ {
				if slices.Index(released, released[k-1]) != k-1 {
					t.Fatalf("machine %s is released twice", released[k-1])
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
		t.Fatalf("%d machines are never released", len(unresponsive))
	})
}
