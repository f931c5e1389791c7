package metrics

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/prometheus/client_golang/prometheus"
)

// RegisterPromises registers the metrics of the outcomes of promised completion dates, and returns the
// function that sets them. Only the leader counts outcomes, so a controller that has never been the
// leader has no values.
func RegisterPromises(registerer prometheus.Registerer) func(message.PromiseTotals) {
	jobs := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "promises", Help: "Jobs that are over, as the leader has counted them: all, those with a date, and of these the kept, the broken and the revised."}, []string{"outcome"})
	worst := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "promise_worst_seconds", Help: "By how much a date was missed at worst."})
	ratio := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "promise_ratio", Help: "The median of the promised to the real time."})
	registerer.MustRegister(jobs, worst, ratio)
	return func(totals message.PromiseTotals) {
		for name, count := range map[string]int{"ended": totals.Sum.Jobs, "made": totals.Sum.Made, "kept": totals.Sum.Kept, "broken": totals.Sum.Broken, "revised": totals.Sum.Revised} {
			jobs.WithLabelValues(name).Set(float64(count))
		}
		worst.Set(totals.Sum.Worst.Seconds())
		ratio.Set(totals.MedianRatio)
	}
}
