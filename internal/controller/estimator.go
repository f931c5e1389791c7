package controller

import (
	"math"
	"time"
)

// estimator learns how far off the expected run times of a workload's jobs have lately been.
type estimator struct {
	// ratio is the mean of run time over expected run time.
	ratio float64
	// deviation is the mean distance of run times from the corrected estimate, as a fraction
	// of it.
	deviation float64
	samples   int
}

// minEstimatorWeight is the least weight of the newest task in the averages.
const minEstimatorWeight = 0.08

// updateEstimator learns from the run time of a task that is done.
func (k *fleetKnowledge) updateEstimator(j *job, ran time.Duration) {
	if j.ExpectedRunTime <= 0 {
		return
	}
	e := k.estimators[j.Workload]
	if e == nil {
		e = &estimator{ratio: 1, deviation: minSafetyFraction}
		k.estimators[j.Workload] = e
	}
	e.samples++
	ratio := ran.Seconds() / j.ExpectedRunTime.Seconds()
	weight := max(minEstimatorWeight, 1/float64(e.samples+1))
	ratio = min(ratio, 4)
	e.deviation += weight * (math.Abs(ratio-e.ratio)/max(e.ratio, 0.1) - e.deviation)
	e.ratio += weight * (ratio - e.ratio)
}

// expectedRunTime is the median of the job's run times, or else the corrected estimate.
func (k *fleetKnowledge) expectedRunTime(j *job) time.Duration {
	if m, ok := j.medianRunTime(); ok {
		return m
	}
	d := j.ExpectedRunTime
	if e := k.estimators[j.Workload]; e != nil {
		d = time.Duration(float64(d) * e.ratio)
	}
	return d
}
