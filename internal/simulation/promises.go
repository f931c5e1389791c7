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
func (w *World) promiseSummary() *PromiseSummary {
	if !w.settings.Capabilities.Promises {
		return nil
	}
	d := &PromiseSummary{PageWritesPerS: float64(w.state.pageWrites) / w.now.Sub(w.startedAt).Seconds()}
	if row := w.state.records["promise/totals"]; row != nil {
		t, err := promise.DecodeTotals(row.value)
		if err != nil {
			w.violate("malformed", "totals: %v", err)
			return d
		}
		s := t.Sum()
		d.Ended, d.Made, d.Revised, d.WorstS = s.Jobs, s.Made, s.Revised, s.Worst.Seconds()
		d.Kept = float64(s.Kept) / float64(max(1, s.Made))
	}
	var promised, finished []time.Duration
	first, accepted := 0, 0
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		if !j.accepted {
			continue
		}
		accepted++
		if j.promisedAtFirst {
			first++
		}
		if j.lastState == "done" && j.promiseRevision > 0 {
			promised, finished = append(promised, j.promised), append(finished, j.finished.Sub(j.submitted))
		}
	}
	d.DatedAtFirst = float64(first) / float64(max(1, accepted))
	if len(promised) > 0 {
		slices.Sort(promised)
		slices.Sort(finished)
		d.MedianDateS, d.MedianFinishS = promised[len(promised)/2].Seconds(), finished[len(finished)/2].Seconds()
	}
	return d
}
