// Package metrics counts and times what a controller does, for the operators'
// Prometheus.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Set is one controller's metrics.
type Set struct {
	reg      *prometheus.Registry
	requests *prometheus.HistogramVec
	state    *prometheus.HistogramVec
	cloud    *prometheus.HistogramVec
	orders   *prometheus.HistogramVec
	steps    prometheus.Histogram
	batch    prometheus.Histogram
	role     *prometheus.GaugeVec
	part     *prometheus.GaugeVec
	defects  prometheus.Counter
	// moves and rooms are registered when there is something to tell.
	moves, rooms *prometheus.GaugeVec
	known        bool
}

// New makes and registers the metrics.
func New() *Set {
	// From a millisecond to some seconds: what users and workers wait for.
	waits := prometheus.ExponentialBuckets(0.001, 2.5, 10)
	vec := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "micahill", Name: name, Help: help, Buckets: waits}, labels)
	}
	s := &Set{
		reg:      prometheus.NewRegistry(),
		requests: vec("request_seconds", "Answers to users, workers and health checks.", "route", "status"),
		state:    vec("state_seconds", "Requests to the state service, with waits for their rate.", "kind", "outcome"),
		cloud:    vec("cloud_seconds", "Requests to the cloud, with waits for their rate.", "kind", "outcome"),
		orders:   vec("order_seconds", "Direct orders to workers.", "outcome"),
		steps: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "micahill", Name: "step_seconds", Help: "Steps of the core with their effects handed out.",
			Buckets: prometheus.ExponentialBuckets(0.00005, 3, 10)}),
		batch: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "micahill", Name: "step_commands", Help: "Commands taken by a step.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 9)}),
		role:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "role", Help: "1 while the controller has the role."}, []string{"role"}),
		defects: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "micahill", Name: "defects_total", Help: "Mistakes of the program's own that it went on with, such as malformed requests."}),
		moves:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "moves", Help: "Replicas on the move: how many, the longest time that one of them is expected to be down, and what this owner has planned, moved and dropped since it began."}, []string{"of"}),
		rooms:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "gpu_room", Help: "Room on usable machines with GPUs: hosts, whole hosts, free GPUs, those on hosts that are not whole, and the most that one replica could have now."}, []string{"flavour", "zone", "spot", "of"}),
		part:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "state_part", Help: "This controller's part of the state service's limits, a second."}, []string{"of"}),
	}
	s.reg.MustRegister(s.requests, s.state, s.cloud, s.orders, s.steps, s.batch, s.role, s.part, s.defects)
	return s
}

// Registry is where parts that are switched on register metrics of their own.
func (s *Set) Registry() *prometheus.Registry { return s.reg }

// Handler serves the metrics.
func (s *Set) Handler() http.Handler { return promhttp.HandlerFor(s.reg, promhttp.HandlerOpts{}) }

// Request notes an answer.
func (s *Set) Request(route, status string, took time.Duration) {
	s.requests.WithLabelValues(route, status).Observe(took.Seconds())
}

// Step notes a step of the core.
func (s *Set) Step(took time.Duration, commands int) {
	s.steps.Observe(took.Seconds())
	s.batch.Observe(float64(commands))
}

// State notes a request to the state service. Watches wait by design and are
// left out.
func (s *Set) State(kind core.StoreRequestKind, status core.StoreStatus, took time.Duration) {
	if kind != core.OpWatch {
		s.state.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
	}
}

// Cloud notes a request to the cloud.
func (s *Set) Cloud(kind core.CloudRequestKind, status core.CloudStatus, took time.Duration) {
	s.cloud.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
}

// Orders notes a direct order.
func (s *Set) Orders(done core.WorkerResponse, took time.Duration) {
	outcome := "executed"
	switch {
	case done.Heartbeat == nil:
		outcome = "unanswered"
	case !done.OK:
		outcome = "refused"
	}
	s.orders.WithLabelValues(outcome).Observe(took.Seconds())
}

// Defect counts a mistake of the program's own, such as a malformed request.
func (s *Set) Defect() { s.defects.Inc() }

// Rates notes the controller's part of the state service's limits.
func (s *Set) Rates(r core.Rates) {
	s.part.WithLabelValues("requests").Set(r.Requests)
	s.part.WithLabelValues("changes").Set(r.Writes)
}

// GPURooms notes how the room on machines with GPUs lies. It is called by one goroutine.
func (s *Set) GPURooms(r core.GPUFreeCapacityReport) {
	if !s.known {
		s.known = true
		s.reg.MustRegister(s.rooms, s.moves)
	}
	s.rooms.Reset()
	s.moves.Reset()
	if m := r.Migrations; m != nil {
		down := 0.0
		for _, x := range m.InProgress {
			down = max(down, x.ExpectedDownSeconds)
		}
		for of, v := range map[string]float64{"under_way": float64(len(m.InProgress)), "planned": float64(m.Plans), "moved": float64(m.Moved), "dropped": float64(m.Dropped), "longest_down_s": m.LongestDownSeconds, "expected_down_s": down} {
			s.moves.WithLabelValues(of).Set(v)
		}
	}
	for _, x := range r.Kinds {
		for of, v := range map[string]float64{"hosts": float64(x.Machines), "whole": float64(x.EmptyMachines), "free": x.FreeGPUs, "pieces": x.FragmentedGPUs, "largest": x.LargestReplicaGPUs} {
			s.rooms.WithLabelValues(x.MachineType, x.Zone, strconv.FormatBool(x.Spot), of).Set(v)
		}
	}
}

// Role notes the controller's roles.
func (s *Set) Role(r core.Role) {
	for name, on := range map[string]bool{"leader": r.Leader, "owner": r.ShardLeader} {
		v := 0.0
		if on {
			v = 1
		}
		s.role.WithLabelValues(name).Set(v)
	}
}
