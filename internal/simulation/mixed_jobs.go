package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file varies the ordinary jobs of a day, which otherwise are array jobs without placement
// constraints, and skews the clocks of the controllers.

const (
	// maxClockSkew bounds the skew of a controller's clock in both directions.
	maxClockSkew = 250 * time.Millisecond
	// minServiceTime and maxServiceTime bound the time from the submission of a long-running job to
	// its cancellation.
	minServiceTime = 40 * time.Second
	maxServiceTime = 150 * time.Second
)

// jobMix varies the kinds of a day's jobs. It has its own random stream. The methods that vary jobs
// and skew clocks do nothing on a nil jobMix.
type jobMix struct {
	rng   *rand.Rand
	zones []string
}

// newJobMix returns the job mix of a day, or nil if MixedJobs is not set.
func newJobMix(day *Day) *jobMix {
	if !day.MixedJobs {
		return nil
	}
	return &jobMix{rand.New(rand.NewPCG(day.Seed, 819)), day.Settings.Zones}
}

// skewClocks draws the skew of each controller's clock.
func (mix *jobMix) skewClocks(world *World) {
	if mix == nil {
		return
	}
	for _, process := range world.controllers {
		process.clockSkew = time.Duration((2*mix.rng.Float64() - 1) * float64(maxClockSkew))
	}
}

// varyJob draws a variant of a job: with checkpoints, with a placement constraint, long-running, or
// unchanged.
func (mix *jobMix) varyJob(spec *model.JobSpec) {
	if mix == nil {
		return
	}
	switch k := mix.rng.IntN(12); {
	case k < 3:
		spec.CheckpointInterval, spec.CheckpointCost = 10*time.Second, time.Duration(1+mix.rng.IntN(20))*time.Second
	case k < 5:
		spec.Zone = mix.zones[mix.rng.IntN(len(mix.zones))]
	case k < 6:
		spec.SameZone = true
	case k < 7:
		spec.SpreadZones = true
	case k < 8:
		spec.LongRunning, spec.Deadline, spec.ExpectedRunTime = true, 0, 0
	}
}

// serviceTime draws the time from the submission of a long-running job to its cancellation.
func (mix *jobMix) serviceTime() time.Duration {
	return logUniform(mix.rng, minServiceTime, maxServiceTime)
}
