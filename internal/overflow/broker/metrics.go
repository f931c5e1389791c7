package broker

import (
	"errors"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of lending.
type Metrics struct {
	loanGauge    *prometheus.GaugeVec
	replySeconds *prometheus.HistogramVec
	refusals     *prometheus.CounterVec
	ends         *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "micahill", Subsystem: "overflow", Name: name, Help: help}
	}
	metrics := &Metrics{
		loanGauge: prometheus.NewGaugeVec(prometheus.GaugeOpts(opts("loans", "Loans by side: lent or borrowed.")), []string{"side"}),
		replySeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "micahill", Subsystem: "overflow", Name: "answer_seconds", Help: "Answers of peers to our reports.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2.5, 10),
		}, []string{"peer", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts(opts("refusals_total", "Peers' jobs that were not taken in.")), []string{"reason"}),
		ends:     prometheus.NewCounterVec(prometheus.CounterOpts(opts("ends_total", "How loans of ours ended.")), []string{"how", "cause"}),
	}
	registerer.MustRegister(metrics.loanGauge, metrics.replySeconds, metrics.refusals, metrics.ends)
	return metrics
}

// setLoans sets the numbers of lent and of borrowed loans.
func (metrics *Metrics) setLoans(view message.LoanView) {
	metrics.loanGauge.WithLabelValues("lent").Set(float64(len(view.Lent)))
	metrics.loanGauge.WithLabelValues("borrowed").Set(float64(len(view.Borrowed)))
}

// observeReply records the outcome of a heartbeat to a peer and how long it took.
func (metrics *Metrics) observeReply(peer string, err error, latency time.Duration) {
	outcome := "ok"
	switch {
	case errors.Is(err, link.ErrNotLeader):
		outcome = "not_leader"
	case err != nil:
		outcome = "failed"
	}
	metrics.replySeconds.WithLabelValues(peer, outcome).Observe(latency.Seconds())
}

// countRefusal counts a peer's job that this cluster refused.
func (metrics *Metrics) countRefusal(cause overflow.Cause) {
	metrics.refusals.WithLabelValues(string(cause)).Inc()
}

// countEnd counts a lent loan that ended, by the kind of its end and the cause.
func (metrics *Metrics) countEnd(transition overflow.LenderTransition) {
	metrics.ends.WithLabelValues(transition.Kind.String(), string(transition.Cause)).Inc()
}
