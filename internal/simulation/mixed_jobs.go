package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file has days with jobs of many kinds, not only arrays that may run anywhere, and with
// controllers whose clocks are off.

const (
	// maxClockSkew is how far a controller's clock may be off.
	maxClockSkew = 250 * time.Millisecond
	// minServiceTime and maxServiceTime bound how long a long-running job lasts before it is
	// cancelled.
	minServiceTime = 40 * time.Second
	maxServiceTime = 150 * time.Second
)

// jobMix varies the kinds of a day's jobs, with random numbers of its own. A nil jobMix changes
// nothing.
type jobMix struct {
	rng   *rand.Rand
	zones []string
}

// newJobMix returns the job mix of a day, nil unless MixedJobs is set.
func newJobMix(d *Day) *jobMix {
	if !d.MixedJobs {
		return nil
	}
	return &jobMix{rand.New(rand.NewPCG(d.Seed, 819)), d.Settings.Zones}
}

// skewClocks sets each controller's clock off by up to maxClockSkew.
func (x *jobMix) skewClocks(w *World) {
	if x == nil {
		return
	}
	for _, p := range w.controllers {
		p.clockSkew = time.Duration((2*x.rng.Float64() - 1) * float64(maxClockSkew))
	}
}

// varyJob turns a job into one of another kind, or leaves it.
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

// serviceTime draws how long a long-running job lasts before it is cancelled.
func (x *jobMix) serviceTime() time.Duration {
	return logUniform(x.rng, minServiceTime, maxServiceTime)
}
