package division

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/bounds"
)

// TestSharesAboveTheLimit: shares that were written under a larger limit of values can
// be taken over under a lower one: their teams are divided among more records, in
// transactions that fit, and no team is ever in two. Before, the first transaction that
// rewrote such a share was refused for ever.
func TestSharesAboveTheLimit(t *testing.T) {
	s := newStore(bounds.Limits{ValueBytes: 4096, Ops: 12})
	now := time.Unix(1_750_000_000, 0)
	in := Input{Book: s.book, Self: "z", Nodes: []Node{{Host: "z", Nonce: "1", Able: true}}, Gone: func(string) bool { return false }}
	for i := range 700 {
		in.Teams = append(in.Teams, fmt.Sprintf("a-team-with-a-long-name-%03d", i))
	}
	for _, ops := range []int{12, 4} {
		d := New(s.limits, fmt.Sprint("t", ops), time.Minute, now)
		for range 60 {
			now = now.Add(time.Second)
			ws := d.Plan(now, in)
			if len(ws) > 0 && !s.apply(t, ws) {
				t.Fatal("refused")
			}
			seen := map[string]string{}
			for _, x := range s.book.Shares() {
				for _, team := range x.Teams {
					if seen[team] != "" {
						t.Fatalf("%s is in %s and %s", team, seen[team], x.Name)
					}
					seen[team] = x.Name
				}
			}
		}
		for _, team := range in.Teams {
			x := s.book.Team(team)
			if x == nil || !slices.ContainsFunc(in.Nodes, func(n Node) bool { return n.Host == x.Host && n.Nonce == x.Nonce }) {
				t.Fatalf("%d changes: %s is nobody's", ops, team)
			}
		}
		// The next round: their holder is gone, and the limits are lower.
		s.limits = bounds.Limits{ValueBytes: 2048, Ops: 4}
		in.Nodes = []Node{{Host: "b", Nonce: "1", Able: true}, {Host: "c", Nonce: "1", Able: true}}
		in.Self = "b"
	}
}
