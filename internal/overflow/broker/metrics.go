package broker

import (
	"errors"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of lending.
type Metrics struct {
	loanGauge    *prometheus.GaugeVec
	replySeconds *prometheus.HistogramVec
	refusals     *prometheus.CounterVec
	ends         *prometheus.CounterVec
}

// NewMetrics returns the metrics, registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "micahill", Subsystem: "overflow", Name: name, Help: help}
	}
	m := &Metrics{
		loanGauge: prometheus.NewGaugeVec(prometheus.GaugeOpts(opts("loans", "Loans by side: lent or borrowed.")), []string{"side"}),
		replySeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "micahill", Subsystem: "overflow", Name: "answer_seconds", Help: "Answers of peers to our reports.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2.5, 10),
		}, []string{"peer", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts(opts("refusals_total", "Peers' jobs that were not taken in.")), []string{"reason"}),
		ends:     prometheus.NewCounterVec(prometheus.CounterOpts(opts("ends_total", "How loans of ours ended.")), []string{"how", "cause"}),
	}
	reg.MustRegister(m.loanGauge, m.replySeconds, m.refusals, m.ends)
	return m
}

func (m *Metrics) setLoans(v message.LoanView) {
	m.loanGauge.WithLabelValues("lent").Set(float64(len(v.Lent)))
	m.loanGauge.WithLabelValues("borrowed").Set(float64(len(v.Borrowed)))
}

func (m *Metrics) observeReply(peer string, err error, latency time.Duration) {
	outcome := "ok"
	switch {
	case errors.Is(err, link.ErrNotLeader):
		outcome = "not_leader"
	case err != nil:
		outcome = "failed"
	}
	m.replySeconds.WithLabelValues(peer, outcome).Observe(latency.Seconds())
}

func (m *Metrics) countRefusal(cause overflow.Cause) { m.refusals.WithLabelValues(string(cause)).Inc() }

func (m *Metrics) countEnd(transition overflow.LenderTransition) {
	m.ends.WithLabelValues(transition.Kind.String(), string(transition.Cause)).Inc()
}
