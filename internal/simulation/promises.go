package simulation

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/promise"
)

// PromiseSummary is the outcome of a day's promised completion dates. The fields from Ended to
// WorstS are the totals in the state service's record; the other fields are computed from what
// users got.
type PromiseSummary struct {
	Ended   int     `json:"ended"`
	Made    int     `json:"made"`
	Kept    float64 `json:"kept"`
	Revised int     `json:"revised"`
	WorstS  float64 `json:"worst_s"`
	// DatedAtFirst is the fraction of the accepted jobs that had a promised date in the first
	// answer. MedianDateS and MedianFinishS are the medians of the promised and the actual time
	// from submission to completion of done jobs, in seconds.
	DatedAtFirst  float64 `json:"first"`
	MedianDateS   float64 `json:"median_date_s"`
	MedianFinishS float64 `json:"median_finish_s"`
	// PageWritesPerS is the mean rate at which records with pages of promised dates were changed.
	PageWritesPerS float64 `json:"pages_per_s"`
}

// promiseSummary returns the outcome of the promised dates, or nil if promises are switched off.
func (world *World) promiseSummary() *PromiseSummary {
	if !world.settings.Capabilities.Promises {
		return nil
	}
	summary := &PromiseSummary{PageWritesPerS: float64(world.state.pageWrites) / world.now.Sub(world.startedAt).Seconds()}
	if row := world.state.records["promise/totals"]; row != nil {
		totals, err := promise.DecodeTotals(row.value)
		if err != nil {
			world.reportViolation("malformed", "totals: %v", err)
			return summary
		}
		sum := totals.Sum()
		summary.Ended, summary.Made, summary.Revised, summary.WorstS = sum.Jobs, sum.Made, sum.Revised, sum.Worst.Seconds()
		summary.Kept = float64(sum.Kept) / float64(max(1, sum.Made))
	}
	var promised, finished []time.Duration
	first, accepted := 0, 0
	for _, id := range sortedKeys(world.jobs) {
		job := world.jobs[id]
		if !job.accepted {
			continue
		}
		accepted++
		if job.promisedInFirstAnswer {
			first++
		}
		if job.lastState == "done" && job.promiseRevision > 0 {
			promised, finished = append(promised, job.promised), append(finished, job.finished.Sub(job.submitted))
		}
	}
	summary.DatedAtFirst = float64(first) / float64(max(1, accepted))
	if len(promised) > 0 {
		slices.Sort(promised)
		slices.Sort(finished)
		summary.MedianDateS, summary.MedianFinishS = promised[len(promised)/2].Seconds(), finished[len(finished)/2].Seconds()
	}
	return summary
}
