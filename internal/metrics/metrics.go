// Package metrics counts and times what a controller does, for the operators'
// Prometheus.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Recorder is one controller's metrics.
type Recorder struct {
	registry       *prometheus.Registry
	requests       *prometheus.HistogramVec
	state          *prometheus.HistogramVec
	cloud          *prometheus.HistogramVec
	commands       *prometheus.HistogramVec
	steps          prometheus.Histogram
	batch          prometheus.Histogram
	role           *prometheus.GaugeVec
	stateRates     *prometheus.GaugeVec
	internalErrors prometheus.Counter
	// migrations and rooms are registered when there is something to tell.
	migrations, gpuCapacity *prometheus.GaugeVec
	gpuRegistered           bool
}

// New makes and registers the metrics.
func New() *Recorder {
	// From a millisecond to some seconds: what users and workers wait for.
	latencyBuckets := prometheus.ExponentialBuckets(0.001, 2.5, 10)
	newHistogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "micahill", Name: name, Help: help, Buckets: latencyBuckets}, labels)
	}
	recorder := &Recorder{
		registry: prometheus.NewRegistry(),
		requests: newHistogram("request_seconds", "Answers to users, workers and health checks.", "route", "status"),
		state:    newHistogram("state_seconds", "Requests to the state service, with waits for their rate.", "kind", "outcome"),
		cloud:    newHistogram("cloud_seconds", "Requests to the cloud, with waits for their rate.", "kind", "outcome"),
		commands: newHistogram("order_seconds", "Direct orders to workers.", "outcome"),
		steps: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "micahill", Name: "step_seconds", Help: "Steps of the core with their effects handed out.",
			Buckets: prometheus.ExponentialBuckets(0.00005, 3, 10)}),
		batch: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "micahill", Name: "step_commands", Help: "Commands taken by a step.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 9)}),
		role:           prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "role", Help: "1 while the controller has the role."}, []string{"role"}),
		internalErrors: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "micahill", Name: "defects_total", Help: "Mistakes of the program's own that it went on with, such as malformed requests."}),
		migrations:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "moves", Help: "Replicas on the move: how many, the longest time that one of them is expected to be down, and what this owner has planned, moved and dropped since it began."}, []string{"of"}),
		gpuCapacity:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "gpu_room", Help: "Room on usable machines with GPUs: hosts, whole hosts, free GPUs, those on hosts that are not whole, and the most that one replica could have now."}, []string{"flavour", "zone", "spot", "of"}),
		stateRates:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "micahill", Name: "state_part", Help: "This controller's part of the state service's limits, a second."}, []string{"of"}),
	}
	recorder.registry.MustRegister(recorder.requests, recorder.state, recorder.cloud, recorder.commands, recorder.steps, recorder.batch, recorder.role, recorder.stateRates, recorder.internalErrors)
	return recorder
}

// Registry is where parts that are switched on register metrics of their own.
func (s *Recorder) Registry() *prometheus.Registry { return s.registry }

// Handler serves the metrics.
func (s *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Request notes an answer.
func (s *Recorder) Request(route, status string, took time.Duration) {
	s.requests.WithLabelValues(route, status).Observe(took.Seconds())
}

// Step notes a step of the core.
func (s *Recorder) Step(took time.Duration, commands int) {
	s.steps.Observe(took.Seconds())
	s.batch.Observe(float64(commands))
}

// State notes a request to the state service. Watches wait by design and are
// left out.
func (s *Recorder) State(kind message.StoreRequestKind, status message.StoreStatus, took time.Duration) {
	if kind != message.OpWatch {
		s.state.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
	}
}

// Cloud notes a request to the cloud.
func (s *Recorder) Cloud(kind message.CloudRequestKind, status message.CloudStatus, took time.Duration) {
	s.cloud.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
}

// Commands notes a direct order.
func (s *Recorder) Commands(done message.WorkerResponse, took time.Duration) {
	outcome := "executed"
	switch {
	case done.Heartbeat == nil:
		outcome = "unanswered"
	case !done.OK:
		outcome = "refused"
	}
	s.commands.WithLabelValues(outcome).Observe(took.Seconds())
}

// InternalError counts a mistake of the program's own, such as a malformed request.
func (s *Recorder) InternalError() { s.internalErrors.Inc() }

// Rates notes the controller's part of the state service's limits.
func (s *Recorder) Rates(r message.Rates) {
	s.stateRates.WithLabelValues("requests").Set(r.Requests)
	s.stateRates.WithLabelValues("changes").Set(r.Writes)
}

// GPUCapacity notes how the room on machines with GPUs lies. It is called by one goroutine.
func (s *Recorder) GPUCapacity(r message.GPUFreeCapacityReport) {
	if !s.gpuRegistered {
		s.gpuRegistered = true
		s.registry.MustRegister(s.gpuCapacity, s.migrations)
	}
	s.gpuCapacity.Reset()
	s.migrations.Reset()
	if m := r.Migrations; m != nil {
		down := 0.0
		for _, x := range m.InProgress {
			down = max(down, x.ExpectedDownSeconds)
		}
		for figure, v := range map[string]float64{"under_way": float64(len(m.InProgress)), "planned": float64(m.Plans), "moved": float64(m.Moved), "dropped": float64(m.Dropped), "longest_down_s": m.LongestDownSeconds, "expected_down_s": down} {
			s.migrations.WithLabelValues(figure).Set(v)
		}
	}
	for _, x := range r.Kinds {
		for figure, v := range map[string]float64{"hosts": float64(x.Machines), "whole": float64(x.EmptyMachines), "free": x.FreeGPUs, "pieces": x.FragmentedGPUs, "largest": x.LargestReplicaGPUs} {
			s.gpuCapacity.WithLabelValues(x.MachineType, x.Zone, strconv.FormatBool(x.Spot), figure).Set(v)
		}
	}
}

// Role notes the controller's roles.
func (s *Recorder) Role(r message.Role) {
	for name, on := range map[string]bool{"leader": r.Leader, "owner": r.ShardLeader} {
		v := 0.0
		if on {
			v = 1
		}
		s.role.WithLabelValues(name).Set(v)
	}
}
