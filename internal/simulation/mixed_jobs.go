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
func newJobMix(d *Day) *jobMix {
	if !d.MixedJobs {
		return nil
	}
	return &jobMix{rand.New(rand.NewPCG(d.Seed, 819)), d.Settings.Zones}
}

// skewClocks draws the skew of each controller's clock.
func (x *jobMix) skewClocks(w *World) {
	if x == nil {
		return
	}
	for _, p := range w.controllers {
		p.clockSkew = time.Duration((2*x.rng.Float64() - 1) * float64(maxClockSkew))
	}
}

// varyJob draws a variant of a job: with checkpoints, with a placement constraint, long-running, or
// unchanged.
func (x *jobMix) varyJob(s *model.JobSpec) {
	if x == nil {
		return
	}
	switch k := x.rng.IntN(12); {
	case k < 3:
		s.CheckpointInterval, s.CheckpointCost = 10*time.Second, time.Duration(1+x.rng.IntN(20))*time.Second
	case k < 5:
		s.Zone = x.zones[x.rng.IntN(len(x.zones))]
	case k < 6:
		s.SameZone = true
	case k < 7:
		s.SpreadZones = true
	case k < 8:
		s.LongRunning, s.Deadline, s.ExpectedRunTime = true, 0, 0
	}
}

// serviceTime draws the time from the submission of a long-running job to its cancellation.
func (x *jobMix) serviceTime() time.Duration {
	return logUniform(x.rng, minServiceTime, maxServiceTime)
}
