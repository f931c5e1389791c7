package migration

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTrackerUnderFaults runs a Tracker in a model with lost and late writes, lost hosts and failovers. It
// guards against replicas that are stopped for a plan that is not durable or whose target lacks
// capacity, and against plans and holds that remain after all faults are over.
func TestTrackerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newLeaderModel()
		t.Repeat(model.actions())
		model.heard = true
		for _, host := range model.hosts {
			host.usable = true
		}
		for range 8 {
			model.now = model.now.Add(time.Minute)
			model.settle()
			model.placeWaiting(t)
		}
		if plans, holds := model.tracker.Plans(), model.tracker.Holds(); len(plans) > 0 || len(holds) > 0 {
			t.Fatalf("got plans %+v and holds %+v after all faults, want none", plans, holds)
		}
	})
}
