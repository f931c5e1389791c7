// Package metrics has a controller's Prometheus metrics. Their names, labels and help texts are
// the operators' and stay as they are.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of all metrics.
const namespace = "micahill"

// Recorder is one controller's metrics. It is safe for concurrent use, except where a method
// says otherwise.
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
	// migrations and gpuCapacity are registered by the first report of them.
	migrations, gpuCapacity *prometheus.GaugeVec
	gpuRegistered           bool
	// waitingJobs and longestWait are of the jobs left waiting, by team.
	waitingJobs, longestWait *prometheus.GaugeVec
}

// New returns a recorder with its metrics registered.
func New() *Recorder {
	// A millisecond to some seconds: the timeouts of users and workers.
	latencyBuckets := prometheus.ExponentialBuckets(0.001, 2.5, 10)
	newHistogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
	}
	newGauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	r := &Recorder{
		registry: prometheus.NewRegistry(),
		requests: newHistogram("request_seconds", "Answers to users, workers and health checks.", "route", "status"),
		state:    newHistogram("state_seconds", "Requests to the state service, with waits for their rate.", "kind", "outcome"),
		cloud:    newHistogram("cloud_seconds", "Requests to the cloud, with waits for their rate.", "kind", "outcome"),
		commands: newHistogram("order_seconds", "Direct orders to workers.", "outcome"),
		steps: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "step_seconds", Help: "Steps of the core with their effects handed out.",
			Buckets: prometheus.ExponentialBuckets(0.00005, 3, 10)}),
		batch: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "step_commands", Help: "Commands taken by a step.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 9)}),
		role:           newGauge("role", "1 while the controller has the role.", "role"),
		internalErrors: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "defects_total", Help: "Mistakes of the program's own that it went on with, such as malformed requests."}),
		migrations:     newGauge("moves", "Replicas on the move: how many, the longest time that one of them is expected to be down, and what this owner has planned, moved and dropped since it began.", "of"),
		gpuCapacity:    newGauge("gpu_room", "Room on usable machines with GPUs: hosts, whole hosts, free GPUs, those on hosts that are not whole, and the most that one replica could have now.", "flavour", "zone", "spot", "of"),
		waitingJobs:    newGauge("left_waiting_jobs", "Jobs of which no task was placed for 45 s; the status says why.", "team"),
		longestWait:    newGauge("left_waiting_longest_seconds", "The longest wait of a job of which no task was placed for 45 s.", "team"),
		stateRates:     newGauge("state_part", "This controller's part of the state service's limits, a second.", "of"),
	}
	r.registry.MustRegister(r.requests, r.state, r.cloud, r.commands, r.steps, r.batch, r.role, r.stateRates, r.internalErrors, r.waitingJobs, r.longestWait)
	return r
}

// Registry is where optional features register metrics of their own.
func (r *Recorder) Registry() *prometheus.Registry { return r.registry }

// Handler serves the metrics to Prometheus.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// Request observes the response to a user, a worker or a health check.
func (r *Recorder) Request(route, status string, took time.Duration) {
	r.requests.WithLabelValues(route, status).Observe(took.Seconds())
}

// Step observes a step of the controller and the number of its commands.
func (r *Recorder) Step(took time.Duration, commands int) {
	r.steps.Observe(took.Seconds())
	r.batch.Observe(float64(commands))
}

// State observes a request to the state service. Watches are left out, as they wait by design.
func (r *Recorder) State(kind message.StoreRequestKind, status message.StoreStatus, took time.Duration) {
	if kind != message.OpWatch {
		r.state.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
	}
}

// Cloud observes a request to the cloud.
func (r *Recorder) Cloud(kind message.CloudRequestKind, status message.CloudStatus, took time.Duration) {
	r.cloud.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
}

// Commands observes a direct request to a worker.
func (r *Recorder) Commands(resp message.WorkerResponse, took time.Duration) {
	outcome := "executed"
	switch {
	case resp.Heartbeat == nil:
		outcome = "unanswered"
	case !resp.OK:
		outcome = "refused"
	}
	r.commands.WithLabelValues(outcome).Observe(took.Seconds())
}

// InternalError counts an internal error that the controller survived.
func (r *Recorder) InternalError() { r.internalErrors.Inc() }

// Rates sets the controller's part of the state service's limits, per second.
func (r *Recorder) Rates(rates message.Rates) {
	r.stateRates.WithLabelValues("requests").Set(rates.Requests)
	r.stateRates.WithLabelValues("changes").Set(rates.Writes)
}

// GPUCapacity sets the free capacity on machines with GPUs and the replica migrations. It must be
// called from one goroutine only.
func (r *Recorder) GPUCapacity(report message.GPUFreeCapacityReport) {
	if !r.gpuRegistered {
		r.gpuRegistered = true
		r.registry.MustRegister(r.gpuCapacity, r.migrations)
	}
	// Kinds of machines come and go, and with them their label values.
	r.gpuCapacity.Reset()
	r.migrations.Reset()
	if m := report.Migrations; m != nil {
		expectedDown := 0.0
		for _, migration := range m.InProgress {
			expectedDown = max(expectedDown, migration.ExpectedDownSeconds)
		}
		for name, value := range map[string]float64{
			"under_way": float64(len(m.InProgress)), "planned": float64(m.Plans), "moved": float64(m.Moved), "dropped": float64(m.Dropped),
			"longest_down_s": m.LongestDownSeconds, "expected_down_s": expectedDown,
		} {
			r.migrations.WithLabelValues(name).Set(value)
		}
	}
	for _, kind := range report.Kinds {
		for name, value := range map[string]float64{
			"hosts": float64(kind.Machines), "whole": float64(kind.EmptyMachines), "free": kind.FreeGPUs,
			"pieces": kind.FragmentedGPUs, "largest": kind.LargestReplicaGPUs,
		} {
			r.gpuCapacity.WithLabelValues(kind.MachineType, kind.Zone, strconv.FormatBool(kind.Spot), name).Set(value)
		}
	}
}

// Waits sets how many jobs of each team are left waiting, and the longest wait. It must
// be called from one goroutine only.
func (r *Recorder) Waits(report message.WaitReport) {
	// Teams come and go, and with them their label values.
	r.waitingJobs.Reset()
	r.longestWait.Reset()
	for _, team := range report.Teams {
		r.longestWait.WithLabelValues(team.Team).Set(team.Longest.Seconds())
		r.waitingJobs.WithLabelValues(team.Team).Set(float64(team.Jobs))
	}
}

// Role sets the controller's roles.
func (r *Recorder) Role(role message.Role) {
	for name, on := range map[string]bool{"leader": role.Leader, "owner": role.ShardLeader} {
		value := 0.0
		if on {
			value = 1
		}
		r.role.WithLabelValues(name).Set(value)
	}
}
