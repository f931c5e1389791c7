package standin

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/promise"
)

// DayDates is what became of a day's promised dates: by the totals in the state
// service, and as users saw it: which part of the accepted jobs had a date with the
// first answer, and the median date and finish of the done ones, in seconds.
type DayDates struct {
	Ended   int     `json:"ended"`
	Made    int     `json:"made"`
	Kept    float64 `json:"kept"`
	Revised int     `json:"revised"`
	WorstS  float64 `json:"worst_s"`
	First   float64 `json:"first"`
	DateS   float64 `json:"median_date_s"`
	FinishS float64 `json:"median_finish_s"`
	PagesS  float64 `json:"pages_per_s"`
}

// dates sums up the dates of a day, nil without promises.
func (w *World) dates() *DayDates {
	if !w.set.Capabilities.Promises {
		return nil
	}
	d := &DayDates{PagesS: float64(w.state.pages) / w.now.Sub(w.began).Seconds()}
	if row := w.state.rows["promise/totals"]; row != nil {
		t, err := promise.DecodeTotals(row.value)
		if err != nil {
			w.broke("malformed", "totals: %v", err)
			return d
		}
		s := t.Sum()
		d.Ended, d.Made, d.Revised, d.WorstS = s.Jobs, s.Made, s.Revised, s.Worst.Seconds()
		d.Kept = float64(s.Kept) / float64(max(1, s.Made))
	}
	var at, end []time.Duration
	first, all := 0, 0
	for _, id := range sorted(w.jobs) {
		j := w.jobs[id]
		if !j.accepted {
			continue
		}
		all++
		if j.firstDate {
			first++
		}
		if j.told == "done" && j.rev > 0 {
			at, end = append(at, j.promised), append(end, j.finished.Sub(j.submitted))
		}
	}
	d.First = float64(first) / float64(max(1, all))
	if len(at) > 0 {
		slices.Sort(at)
		slices.Sort(end)
		d.DateS, d.FinishS = at[len(at)/2].Seconds(), end[len(end)/2].Seconds()
	}
	return d
}
