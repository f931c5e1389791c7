package controller

import (
	"time"

	"github.com/micahill/micahill/internal/throttle"
)

// planningThrottle keeps the steps of this controller short. It measures how long steps with a
// planning slice or a placement round take, and sets the size of the next slice and the pauses
// between slices. It belongs to the controller, so that a new shard leader continues with the slice
// size learned so far. Its methods are called from within Step, except recordStep, which is called
// after each Step on the same goroutine.
type planningThrottle struct {
	component

	// slices determines the size of the next slice. lastSliceUnits is the number of units spent
	// by the slice in the last step, 0 if the step had none.
	slices         throttle.SliceBudget
	lastSliceUnits int
	// placementRan is set if the last step contained a placement round.
	placementRan bool
}

// notePlacementRound records that this step contains a placement round.
func (planning *planningThrottle) notePlacementRound() { planning.placementRan = true }

// noteSlice records the units spent by the planning slice in this step.
func (planning *planningThrottle) noteSlice(work int) { planning.lastSliceUnits = work }

// recordStep records how long the last step took, including sending all its effects.
func (planning *planningThrottle) recordStep(d time.Duration) {
	if planning.placementRan && planning.controller.shardLeader != nil {
		planning.controller.shardLeader.scheduler.recordRoundDuration(d)
	}
	planning.placementRan = false
	if planning.lastSliceUnits == 0 {
		return
	}
	pause := planning.slices.Record(planning.lastSliceUnits, d)
	planning.lastSliceUnits = 0
	if planning.controller.shardLeader != nil {
		planning.controller.shardLeader.fleet.pausePlanning(planning.now.Add(d + pause))
	}
}
