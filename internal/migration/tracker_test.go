package migration

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMigrationsSurvive: under lost and late writes, lost hosts and takeovers, replicas are
// stopped only for durable migrations with a place, and when all faults are over nothing is
// held for ever, and nothing waits for it.
func TestMigrationsSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaderModel()
		t.Repeat(m.actions())
		m.heard = true
		for _, h := range m.hosts {
			h.usable = true
		}
		for range 8 {
			m.now = m.now.Add(time.Minute)
			m.settle()
			m.placeWaiting(t)
		}
		if plans, holds := m.tracker.Plans(), m.tracker.Holds(); len(plans) > 0 || len(holds) > 0 {
			t.Fatalf("got plans %+v and holds %+v after all faults, want none", plans, holds)
		}
	})
}
