// Package metrics provides a controller's Prometheus metrics. Operators' dashboards and alerts depend
// on the names, labels and help texts, which therefore must not change.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of the names of all metrics.
const namespace = "micahill"

// Recorder records one controller's metrics. It is safe for concurrent use, except where the comment
// of a method says otherwise.
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
	// migrations and gpuCapacity are registered by the first call of GPUCapacity, which sets
	// gpuRegistered.
	migrations, gpuCapacity *prometheus.GaugeVec
	gpuRegistered           bool
	// waitingJobs and longestWait describe, by team, the jobs that have waited too long for the
	// placement of a task.
	waitingJobs, longestWait *prometheus.GaugeVec
}

// New returns a recorder and registers its metrics, except those of GPUCapacity.
func New() *Recorder {
	// From a millisecond to some seconds, the range of the timeouts of users and workers.
	latencyBuckets := prometheus.ExponentialBuckets(0.001, 2.5, 10)
	newHistogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
	}
	newGauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	recorder := &Recorder{
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
	recorder.registry.MustRegister(recorder.requests, recorder.state, recorder.cloud, recorder.commands, recorder.steps, recorder.batch, recorder.role, recorder.stateRates, recorder.internalErrors, recorder.waitingJobs, recorder.longestWait)
	return recorder
}

// Registry returns the registry in which optional features register metrics of their own.
func (recorder *Recorder) Registry() *prometheus.Registry { return recorder.registry }

// Handler returns the HTTP handler that serves the metrics to Prometheus.
func (recorder *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(recorder.registry, promhttp.HandlerOpts{})
}

// Request observes the duration of a request of a user, a worker or a health check, by route and HTTP
// status.
func (recorder *Recorder) Request(route, status string, took time.Duration) {
	recorder.requests.WithLabelValues(route, status).Observe(took.Seconds())
}

// Step observes the duration of a step of the controller and the number of its commands.
func (recorder *Recorder) Step(took time.Duration, commands int) {
	recorder.steps.Observe(took.Seconds())
	recorder.batch.Observe(float64(commands))
}

// State observes the duration of a request to the state service. It ignores watches, whose duration is
// mostly the wait for a change.
func (recorder *Recorder) State(kind message.StoreRequestKind, status message.StoreStatus, took time.Duration) {
	if kind != message.OpWatch {
		recorder.state.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
	}
}

// Cloud observes the duration of a request to the cloud.
func (recorder *Recorder) Cloud(kind message.CloudRequestKind, status message.CloudStatus, took time.Duration) {
	recorder.cloud.WithLabelValues(kind.String(), status.String()).Observe(took.Seconds())
}

// Commands observes the duration of a request that the controller sent to a worker.
func (recorder *Recorder) Commands(resp message.WorkerResponse, took time.Duration) {
	outcome := "executed"
	switch {
	case resp.Heartbeat == nil:
		outcome = "unanswered"
	case !resp.OK:
		outcome = "refused"
	}
	recorder.commands.WithLabelValues(outcome).Observe(took.Seconds())
}

// InternalError counts an internal error after which the controller continued.
func (recorder *Recorder) InternalError() { recorder.internalErrors.Inc() }

// Rates sets the controller's share of the state service's rate limits, per second.
func (recorder *Recorder) Rates(rates message.Rates) {
	recorder.stateRates.WithLabelValues("requests").Set(rates.Requests)
	recorder.stateRates.WithLabelValues("changes").Set(rates.Writes)
}

// GPUCapacity sets the metrics of the free capacity on machines with GPUs and of the replica
// migrations. All calls must come from one goroutine.
func (recorder *Recorder) GPUCapacity(report message.GPUFreeCapacityReport) {
	if !recorder.gpuRegistered {
		recorder.gpuRegistered = true
		recorder.registry.MustRegister(recorder.gpuCapacity, recorder.migrations)
	}
	// Reset removes the label values of kinds of machines that are not in the report.
	recorder.gpuCapacity.Reset()
	recorder.migrations.Reset()
	if migrations := report.Migrations; migrations != nil {
		expectedDown := 0.0
		for _, migration := range migrations.InProgress {
			expectedDown = max(expectedDown, migration.ExpectedDownSeconds)
		}
		for name, value := range map[string]float64{
			"under_way": float64(len(migrations.InProgress)), "planned": float64(migrations.Plans), "moved": float64(migrations.Moved), "dropped": float64(migrations.Dropped),
			"longest_down_s": migrations.LongestDownSeconds, "expected_down_s": expectedDown,
		} {
			recorder.migrations.WithLabelValues(name).Set(value)
		}
	}
	for _, kind := range report.Kinds {
		for name, value := range map[string]float64{
			"hosts": float64(kind.Machines), "whole": float64(kind.EmptyMachines), "free": kind.FreeGPUs,
			"pieces": kind.FragmentedGPUs, "largest": kind.LargestReplicaGPUs,
		} {
			recorder.gpuCapacity.WithLabelValues(kind.MachineType, kind.Zone, strconv.FormatBool(kind.Spot), name).Set(value)
		}
	}
}

// Waits sets, for each team, the number of jobs that have waited too long for the placement of a task,
// and their longest wait. All calls must come from one goroutine.
func (recorder *Recorder) Waits(report message.WaitReport) {
	// Reset removes the label values of teams that are not in the report.
	recorder.waitingJobs.Reset()
	recorder.longestWait.Reset()
	for _, team := range report.Teams {
		recorder.longestWait.WithLabelValues(team.Team).Set(team.Longest.Seconds())
		recorder.waitingJobs.WithLabelValues(team.Team).Set(float64(team.Jobs))
	}
}

// Role sets the metrics of the controller's roles.
func (recorder *Recorder) Role(role message.Role) {
	for name, on := range map[string]bool{"leader": role.Leader, "owner": role.ShardLeader} {
		value := 0.0
		if on {
			value = 1
		}
		recorder.role.WithLabelValues(name).Set(value)
	}
}
