package controller

import (
	"math"
	"time"
)

// estimator tracks how far the expected run times of a workload's jobs have recently deviated from
// the actual run times.
type estimator struct {
	// ratio is the moving average of run time divided by expected run time.
	ratio float64
	// deviation is the moving average of the distance between the run time and the corrected
	// estimate, as a fraction of that estimate.
	deviation float64
	// samples is the number of run times taken into account.
	samples int
}

// minEstimatorWeight is the minimum weight of the newest task in the averages.
const minEstimatorWeight = 0.08

// updateEstimator updates the estimator of the job's workload with the run time of a finished task.
func (knowledge *fleetKnowledge) updateEstimator(job *job, runTime time.Duration) {
	if job.ExpectedRunTime <= 0 {
		return
	}
	workloadEstimator := knowledge.estimators[job.Workload]
	if workloadEstimator == nil {
		workloadEstimator = &estimator{ratio: 1, deviation: minSafetyFraction}
		knowledge.estimators[job.Workload] = workloadEstimator
	}
	workloadEstimator.samples++
	ratio := runTime.Seconds() / job.ExpectedRunTime.Seconds()
	weight := max(minEstimatorWeight, 1/float64(workloadEstimator.samples+1))
	ratio = min(ratio, 4)
	workloadEstimator.deviation += weight * (math.Abs(ratio-workloadEstimator.ratio)/max(workloadEstimator.ratio, 0.1) - workloadEstimator.deviation)
	workloadEstimator.ratio += weight * (ratio - workloadEstimator.ratio)
}

// expectedRunTime returns the median run time of the job's finished tasks, or, without one, the
// job's expected run time corrected by the estimator of its workload.
func (knowledge *fleetKnowledge) expectedRunTime(job *job) time.Duration {
	if median, ok := job.medianRunTime(); ok {
		return median
	}
	expected := job.ExpectedRunTime
	if workloadEstimator := knowledge.estimators[job.Workload]; workloadEstimator != nil {
		expected = time.Duration(float64(expected) * workloadEstimator.ratio)
	}
	return expected
}
