package metrics

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/prometheus/client_golang/prometheus"
)

// RegisterPromises registers what has become of promised dates, and returns who tells it. Only
// the leader counts: elsewhere there is nothing until the controller leads.
func RegisterPromises(reg prometheus.Registerer) func(message.PromiseTotals) {
	jobs := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "promises", Help: "Jobs that are over, as the leader has counted them: all, those with a date, and of these the kept, the broken and the revised."}, []string{"outcome"})
	worst := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "micahill", Name: "promise_worst_seconds", Help: "By how much a date was missed at worst."})
	ratio := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "micahill", Name: "promise_ratio", Help: "The median of the promised to the real time."})
	reg.MustRegister(jobs, worst, ratio)
	return func(t message.PromiseTotals) {
		for name, count := range map[string]int{"ended": t.Sum.Jobs, "made": t.Sum.Made, "kept": t.Sum.Kept, "broken": t.Sum.Broken, "revised": t.Sum.Revised} {
			jobs.WithLabelValues(name).Set(float64(count))
		}
		worst.Set(t.Sum.Worst.Seconds())
		ratio.Set(t.MedianRatio)
	}
}
