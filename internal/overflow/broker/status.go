package broker

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
	"github.com/prometheus/client_golang/prometheus"
)

// Status is lending as this controller sees it, for its operators.
type Status struct {
	Cluster string `json:"cluster"`
	// Leads: this controller does the lending; Leader says which one does.
	Leads bool `json:"leads"`
	// Guests: it runs what is borrowed.
	Guests   bool         `json:"guests"`
	Leader   string       `json:"leader"`
	Draining bool         `json:"draining"`
	DrainBy  time.Time    `json:"drain_by,omitzero"`
	Peers    []PeerStatus `json:"peers"`
	Lent     []LoanStatus `json:"lent"`
	Borrowed []LoanStatus `json:"borrowed"`
}

// PeerStatus is one peer.
type PeerStatus struct {
	Cluster  string  `json:"cluster"`
	State    string  `json:"state"`
	Trust    float64 `json:"trust"`
	DelayMS  float64 `json:"delay_ms"`
	HeardS   float64 `json:"heard_s"`
	Open     bool    `json:"circuit_open"`
	Machines int     `json:"machines_offered"`
	Lent     int     `json:"lent"`
	Borrowed int     `json:"borrowed"`
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
	case b.snap <- out:
		return <-out, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (b *Broker) status(now time.Time) Status {
	s := Status{Cluster: b.set.Cluster, Leads: b.leads, Guests: b.guests, Leader: b.view.Leader, Draining: b.view.Draining, DrainBy: b.view.DrainDeadline, Peers: []PeerStatus{}, Lent: []LoanStatus{}, Borrowed: []LoanStatus{}}
	if !b.leads && !b.guests {
		return s
	}
	lent, borrowed := map[string]int{}, map[string]int{}
	for _, x := range b.view.Lent {
		lent[x.Peer]++
		state := "lent"
		if x.CancelRequested {
			state = "being cancelled"
		}
		l := overflow.Loan{Home: b.set.Cluster, Job: x.Spec.ID, LendCount: x.LendCount}
		s.Lent = append(s.Lent, LoanStatus{l.String(), x.Peer, state, x.Spec.Tasks})
	}
	for _, x := range b.guestView().Borrowed {
		borrowed[x.Loan.Home]++
		state := x.State.String()
		if x.Ending && x.State == overflow.Held {
			state = "given up"
		}
		s.Borrowed = append(s.Borrowed, LoanStatus{x.Loan.String(), x.Loan.Home, state, x.Spec.Tasks})
	}
	for _, name := range slices.Sorted(maps.Keys(b.members)) {
		m := b.members[name]
		p := PeerStatus{
			Cluster: name, State: m.State(now).String(), Trust: m.Trust(now), DelayMS: float64(m.Latency().Microseconds()) / 1000,
			Open: !m.IsReachable(now), Machines: m.OfferedMachines(), Lent: lent[name], Borrowed: borrowed[name],
		}
		if t := m.HeardAt(); !t.IsZero() {
			p.HeardS = now.Sub(t).Seconds()
		}
		s.Peers = append(s.Peers, p)
	}
	return s
}

// Metrics counts lending.
type Metrics struct {
	held     *prometheus.GaugeVec
	answers  *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	ends     *prometheus.CounterVec
}

// NewMetrics makes and registers them.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "micahill", Subsystem: "overflow", Name: name, Help: help}
	}
	m := &Metrics{
		held: prometheus.NewGaugeVec(prometheus.GaugeOpts(opts("loans", "Loans by side: lent or borrowed.")), []string{"side"}),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "micahill", Subsystem: "overflow", Name: "answer_seconds", Help: "Answers of peers to our reports.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2.5, 10),
		}, []string{"peer", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts(opts("refusals_total", "Peers' jobs that were not taken in.")), []string{"reason"}),
		ends:     prometheus.NewCounterVec(prometheus.CounterOpts(opts("ends_total", "How loans of ours ended.")), []string{"how", "cause"}),
	}
	reg.MustRegister(m.held, m.answers, m.refusals, m.ends)
	return m
}

func (m *Metrics) loans(v core.LoanView) {
	m.held.WithLabelValues("lent").Set(float64(len(v.Lent)))
	m.held.WithLabelValues("borrowed").Set(float64(len(v.Borrowed)))
}

func (m *Metrics) answered(peer string, err error, took time.Duration) {
	outcome := "ok"
	switch {
	case errors.Is(err, link.ErrNotLeader):
		outcome = "not_leader"
	case err != nil:
		outcome = "failed"
	}
	m.answers.WithLabelValues(peer, outcome).Observe(took.Seconds())
}

func (m *Metrics) refused(why overflow.Cause) { m.refusals.WithLabelValues(string(why)).Inc() }

func (m *Metrics) ended(op overflow.LenderTransition) {
	m.ends.WithLabelValues(op.Kind.String(), string(op.Cause)).Inc()
}
