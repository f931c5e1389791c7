package broker

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
	"github.com/prometheus/client_golang/prometheus"
)

// Status is lending as this controller sees it, for its operators.
type Status struct {
	Cluster string `json:"cluster"`
	// Leads: this controller does the lending; Leader says which one does.
	IsLeader bool `json:"leads"`
	// Guests: it runs what is borrowed.
	RunsGuestTeam bool         `json:"guests"`
	Leader        string       `json:"leader"`
	Draining      bool         `json:"draining"`
	DrainDeadline time.Time    `json:"drain_by,omitzero"`
	Peers         []PeerStatus `json:"peers"`
	Lent          []LoanStatus `json:"lent"`
	Borrowed      []LoanStatus `json:"borrowed"`
}

// PeerStatus is one peer.
type PeerStatus struct {
	Cluster         string  `json:"cluster"`
	State           string  `json:"state"`
	Trust           float64 `json:"trust"`
	LatencyMS       float64 `json:"delay_ms"`
	HeardSeconds    float64 `json:"heard_s"`
	BreakerOpen     bool    `json:"circuit_open"`
	OfferedMachines int     `json:"machines_offered"`
	Lent            int     `json:"lent"`
	Borrowed        int     `json:"borrowed"`
}

// LoanStatus is one loan.
type LoanStatus struct {
	Loan  string `json:"loan"`
	Peer  string `json:"peer"`
	State string `json:"state"`
	Tasks int    `json:"tasks"`
}

// Status asks the loop for a picture.
func (b *Broker) Status(ctx context.Context) (Status, error) {
	out := make(chan Status, 1)
	select {
	case b.statusRequests <- out:
		return <-out, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (b *Broker) status(now time.Time) Status {
	s := Status{Cluster: b.settings.Cluster, IsLeader: b.isLeader, RunsGuestTeam: b.runsGuestTeam, Leader: b.view.Leader, Draining: b.view.Draining, DrainDeadline: b.view.DrainDeadline, Peers: []PeerStatus{}, Lent: []LoanStatus{}, Borrowed: []LoanStatus{}}
	if !b.isLeader && !b.runsGuestTeam {
		return s
	}
	lent, borrowed := map[string]int{}, map[string]int{}
	for _, x := range b.view.Lent {
		lent[x.Peer]++
		state := "lent"
		if x.CancelRequested {
			state = "being cancelled"
		}
		l := overflow.Loan{Home: b.settings.Cluster, Job: x.Spec.ID, LendCount: x.LendCount}
		s.Lent = append(s.Lent, LoanStatus{l.String(), x.Peer, state, x.Spec.Tasks})
	}
	for _, x := range b.borrowerView().Borrowed {
		borrowed[x.Loan.Home]++
		state := x.State.String()
		if x.Ending && x.State == overflow.Held {
			state = "given up"
		}
		s.Borrowed = append(s.Borrowed, LoanStatus{x.Loan.String(), x.Loan.Home, state, x.Spec.Tasks})
	}
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		m := b.peers[name]
		p := PeerStatus{
			Cluster: name, State: m.State(now).String(), Trust: m.Trust(now), LatencyMS: float64(m.Latency().Microseconds()) / 1000,
			BreakerOpen: !m.IsReachable(now), OfferedMachines: m.OfferedMachines(), Lent: lent[name], Borrowed: borrowed[name],
		}
		if t := m.HeardAt(); !t.IsZero() {
			p.HeardSeconds = now.Sub(t).Seconds()
		}
		s.Peers = append(s.Peers, p)
	}
	return s
}

// Metrics counts lending.
type Metrics struct {
	loanGauge    *prometheus.GaugeVec
	replySeconds *prometheus.HistogramVec
	refusals     *prometheus.CounterVec
	ends         *prometheus.CounterVec
}

// NewMetrics makes and registers them.
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

func (m *Metrics) observeReply(peer string, err error, took time.Duration) {
	outcome := "ok"
	switch {
	case errors.Is(err, link.ErrNotLeader):
		outcome = "not_leader"
	case err != nil:
		outcome = "failed"
	}
	m.replySeconds.WithLabelValues(peer, outcome).Observe(took.Seconds())
}

func (m *Metrics) countRefusal(why overflow.Cause) { m.refusals.WithLabelValues(string(why)).Inc() }

func (m *Metrics) countEnd(op overflow.LenderTransition) {
	m.ends.WithLabelValues(op.Kind.String(), string(op.Cause)).Inc()
}
