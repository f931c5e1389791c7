package simulation

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
	"golang.org/x/time/rate"
)

// Live serves the models over HTTP in real time. Tests run whole controllers with their clients
// against it, including encodings, limits and errors. Live has its own code for the protocol's
// encoding; sharing the controllers' types would hide their mistakes.
type Live struct {
	// mu guards all fields that change after NewLive, except traffic. The world's time is set to
	// the real time under mu.
	mu               sync.Mutex
	world            *World
	controllers      []string
	requestLimiter   *rate.Limiter
	writeLimiter     *rate.Limiter
	storeUnavailable bool
	servers          []*httptest.Server
	// machineServers serve the machines' addresses, and heartbeatClients send the machines'
	// heartbeats.
	machineServers   map[*Worker]*httptest.Server
	heartbeatClients map[*Worker]*http.Client
	counts           LiveCounts
	traffic          liveTraffic
	// running counts the goroutines that Stop waits for, and cancelRequests cancels their requests.
	// The goroutines are started under mu, and none is started once stopped is set.
	running        sync.WaitGroup
	stopped        bool
	requests       context.Context
	cancelRequests context.CancelFunc
	// StateAddr and CloudAddr are the addresses (host:port) of the state service and the cloud.
	StateAddr string
	CloudAddr string
}

// NewLive starts the servers of the state service and the cloud. controllers are the addresses that
// workers send heartbeats to. The caller calls Stop to end all servers.
func NewLive(settings controller.Settings, requestsPerSecond, writesPerSecond float64, types []model.MachineType, capacity map[string]int, controllers []string) *Live {
	l := &Live{
		controllers: controllers, requestLimiter: rate.NewLimiter(rate.Limit(requestsPerSecond), int(requestsPerSecond)), writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond)),
		machineServers: map[*Worker]*httptest.Server{}, heartbeatClients: map[*Worker]*http.Client{}, counts: newCounts(),
	}
	l.requests, l.cancelRequests = context.WithCancel(context.Background())
	l.world = NewWorld(1, 0, settings, time.Minute, types, capacity)
	l.world.heartbeatSender = l.postHeartbeat
	l.world.onRented, l.world.onGone = l.openMachine, l.closeMachine
	l.StateAddr = l.serve(http.HandlerFunc(l.serveState))
	l.CloudAddr = l.serve(http.HandlerFunc(l.serveCloud))
	return l
}

// serve starts a server and returns its host:port.
func (l *Live) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	l.servers = append(l.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// Run advances the machines in real time until ctx is done or Stop is called.
func (l *Live) Run(ctx context.Context) {
	const step = 20 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l.mu.Lock()
		if l.stopped {
			l.mu.Unlock()
			return
		}
		l.world.now = time.Now()
		if !l.storeUnavailable {
			l.world.state.Expire(l.world.now)
		}
		l.world.advanceMachines(step)
		l.world.checkCancellations()
		l.mu.Unlock()
	}
}

// Stop closes the servers, cancels all requests, and returns when their goroutines have ended.
func (l *Live) Stop() {
	l.mu.Lock()
	l.stopped = true
	servers := append([]*httptest.Server{}, l.servers...)
	for m, s := range l.machineServers {
		servers = append(servers, s)
		l.heartbeatClients[m].CloseIdleConnections()
	}
	l.mu.Unlock()
	l.cancelRequests()
	for _, s := range servers {
		s.CloseClientConnections()
		s.Close()
	}
	l.running.Wait()
}

// SetStoreUnavailable makes the state service unavailable or available again. When the service
// becomes available, every lease is renewed to its full TTL.
func (l *Live) SetStoreUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeUnavailable = unavailable
	if !unavailable {
		l.world.state.RenewLeases(time.Now())
	}
}

// AddJob makes a job known to the workers. run is the run time of its tasks.
func (l *Live) AddJob(spec model.JobSpec, run time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.jobs[spec.ID] = newUserJob(spec, run)
}

// SetJobSource makes workers get the specification and run time of unknown jobs from fn, which is
// called with a job's id.
func (l *Live) SetJobSource(fn func(id string) (model.JobSpec, time.Duration, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.jobSource = fn
}

// SetCapacity sets the number of machines that can still be rented, for a key such as box/a/true;
// see capacityKey.
func (l *Live) SetCapacity(kind string, machines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.cloudCapacity[kind] = machines
}

// RunningTasks returns the names of the tasks that take resources of living machines, and the
// number of task starts so far.
func (l *Live) RunningTasks() (tasks []string, started int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range sortedKeys(l.world.machines) {
		m := l.world.machines[id]
		for _, t := range m.tasks {
			if t.onMachine() && !m.dead {
				tasks = append(tasks, taskName(t.job.spec.ID, t.index))
			}
		}
	}
	return tasks, l.world.Starts
}

// Violations returns a copy of the rule violations found so far.
func (l *Live) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.world.Violations...)
}
