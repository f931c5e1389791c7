package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// mixed.go has days with jobs of all kinds, not only arrays that may run anywhere, and with
// controllers whose clocks are off.

const (
	// maxClockSkew is how far their clocks may be off.
	maxClockSkew = 250 * time.Millisecond
	// minServiceTime and maxServiceTime are how long a standing job lasts before it is cancelled.
	minServiceTime = 40 * time.Second
	maxServiceTime = 150 * time.Second
)

// jobMix draws what a day's jobs are, from its own numbers; a nil one changes nothing.
type jobMix struct {
	rng   *rand.Rand
	zones []string
}

func newJobMix(d *Day) *jobMix {
	if !d.MixedJobs {
		return nil
	}
	return &jobMix{rand.New(rand.NewPCG(d.Seed, 819)), d.Settings.Zones}
}

// skewClocks sets the controllers' clocks apart, within the bound.
func (x *jobMix) skewClocks(w *World) {
	if x == nil {
		return
	}
	for _, p := range w.controllers {
		p.clockSkew = time.Duration((2*x.rng.Float64() - 1) * float64(maxClockSkew))
	}
}

// varyJob makes a job one of another kind, or leaves it.
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

// serviceTime is after which time a standing job is cancelled.
func (x *jobMix) serviceTime() time.Duration {
	return logUniform(x.rng, minServiceTime, maxServiceTime)
}
