package controller

import (
	"time"

	"github.com/micahill/micahill/internal/throttle"
)

// planningThrottle keeps the steps of this controller short: it measures how long steps with a slice
// of planning or a placement round take, and sets the size of the next slice and the pauses between
// them. It belongs to the controller, so that a new shard leader goes on with the slice size that was
// learnt. Its methods are called from within Step, but recordStep: that follows each Step, on the
// same goroutine.
type planningThrottle struct {
	component

	// slices gives the amount of work of the next slice; lastSliceWork is the work of the slice
	// in the last step, 0 if there was none.
	slices        throttle.SliceBudget
	lastSliceWork int
	// placementRan says that the last step contained a placement round.
	placementRan bool
}

// notePlacementRound notes that this step contains a placement round.
func (t *planningThrottle) notePlacementRound() { t.placementRan = true }

// noteSlice notes the work of the planning slice in this step.
func (t *planningThrottle) noteSlice(work int) { t.lastSliceWork = work }

// recordStep notes how long the last step took, including all that it sent.
func (t *planningThrottle) recordStep(d time.Duration) {
	if t.placementRan && t.controller.shardLeader != nil {
		t.controller.shardLeader.scheduler.recordRoundDuration(d)
	}
	t.placementRan = false
	if t.lastSliceWork == 0 {
		return
	}
	pause := t.slices.Record(t.lastSliceWork, d)
	t.lastSliceWork = 0
	if t.controller.shardLeader != nil {
		t.controller.shardLeader.fleet.pausePlanning(t.now.Add(d + pause))
	}
}
