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
	live := &Live{
		controllers: controllers, requestLimiter: rate.NewLimiter(rate.Limit(requestsPerSecond), int(requestsPerSecond)), writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond)),
		machineServers: map[*Worker]*httptest.Server{}, heartbeatClients: map[*Worker]*http.Client{}, counts: newCounts(),
	}
	live.requests, live.cancelRequests = context.WithCancel(context.Background())
	live.world = NewWorld(1, 0, settings, time.Minute, types, capacity)
	live.world.heartbeatSender = live.postHeartbeat
	live.world.onRented, live.world.onGone = live.openMachine, live.closeMachine
	live.StateAddr = live.serve(http.HandlerFunc(live.serveState))
	live.CloudAddr = live.serve(http.HandlerFunc(live.serveCloud))
	return live
}

// serve starts a server and returns its host:port.
func (live *Live) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	live.servers = append(live.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// Run advances the machines in real time until ctx is done or Stop is called.
func (live *Live) Run(ctx context.Context) {
	const step = 20 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		live.mu.Lock()
		if live.stopped {
			live.mu.Unlock()
			return
		}
		live.world.now = time.Now()
		if !live.storeUnavailable {
			live.world.state.Expire(live.world.now)
		}
		live.world.advanceMachines(step)
		live.world.checkCancellations()
		live.mu.Unlock()
	}
}

// Stop closes the servers, cancels all requests, and returns when their goroutines have ended.
func (live *Live) Stop() {
	live.mu.Lock()
	live.stopped = true
	servers := append([]*httptest.Server{}, live.servers...)
	for machine, server := range live.machineServers {
		servers = append(servers, server)
		live.heartbeatClients[machine].CloseIdleConnections()
	}
	live.mu.Unlock()
	live.cancelRequests()
	for _, server := range servers {
		server.CloseClientConnections()
		server.Close()
	}
	live.running.Wait()
}

// SetStoreUnavailable makes the state service unavailable or available again. When the service
// becomes available, every lease is renewed to its full TTL.
func (live *Live) SetStoreUnavailable(unavailable bool) {
	live.mu.Lock()
	defer live.mu.Unlock()
	live.storeUnavailable = unavailable
	if !unavailable {
		live.world.state.RenewLeases(time.Now())
	}
}

// AddJob makes a job known to the workers. run is the run time of its tasks.
func (live *Live) AddJob(spec model.JobSpec, run time.Duration) {
	live.mu.Lock()
	defer live.mu.Unlock()
	live.world.jobs[spec.ID] = newUserJob(spec, run)
}

// SetJobSource makes workers get the specification and run time of unknown jobs from fn, which is
// called with a job's id.
func (live *Live) SetJobSource(fn func(id string) (model.JobSpec, time.Duration, bool)) {
	live.mu.Lock()
	defer live.mu.Unlock()
	live.world.jobSource = fn
}

// SetCapacity sets the number of machines that can still be rented, for a key such as box/a/true;
// see capacityKey.
func (live *Live) SetCapacity(kind string, machines int) {
	live.mu.Lock()
	defer live.mu.Unlock()
	live.world.cloudCapacity[kind] = machines
}

// RunningTasks returns the names of the tasks that take resources of living machines, and the
// number of task starts so far.
func (live *Live) RunningTasks() (tasks []string, started int) {
	live.mu.Lock()
	defer live.mu.Unlock()
	for _, id := range sortedKeys(live.world.machines) {
		machine := live.world.machines[id]
		for _, task := range machine.tasks {
			if task.onMachine() && !machine.dead {
				tasks = append(tasks, taskName(task.job.spec.ID, task.index))
			}
		}
	}
	return tasks, live.world.Starts
}

// Violations returns a copy of the rule violations found so far.
func (live *Live) Violations() []string {
	live.mu.Lock()
	defer live.mu.Unlock()
	return append([]string(nil), live.world.Violations...)
}
