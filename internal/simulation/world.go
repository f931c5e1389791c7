package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"golang.org/x/time/rate"
)

// tickInterval is the step in which workers, leases and checks advance.
const tickInterval = 100 * time.Millisecond

// World is a simulation in virtual time of controllers, the state service, the cloud, workers and
// users, with faults. Everything in it runs on the goroutine that calls Run. The same seed gives
// the same run.
type World struct {
	// now is the virtual time.
	now       time.Time
	startedAt time.Time
	rng       *rand.Rand
	// settings are the controllers' settings, before each gets its own name and peers.
	settings controller.Settings
	// cancelWithin is how soon the tasks of a cancelled job must be gone.
	cancelWithin time.Duration
	// events are the scheduled functions. Those of the same time run in the order of seq.
	events events
	seq    uint64

	controllers []*controllerProcess
	state       *StateService
	// machines are all machines that ever were, by id.
	machines map[string]*Worker
	// fleet has the machines that are not gone for good, in the order of creation.
	fleet []*Worker
	// teamUsage is what each team's running tasks take.
	teamUsage    map[string]model.Resources
	cloudLimiter *rate.Limiter
	machineTypes map[string]model.MachineType
	// cloudCapacity is how many machines are left to rent, by capacityKey.
	cloudCapacity map[string]int
	// rentals has the machines of each rental by its idempotency key.
	rentals map[string][]string
	jobs    map[string]*userJob

	// partitions has the broken links by "a|b", and oneWayPartitions counts those that are broken
	// in one direction by "a>b"; see links.go.
	partitions       map[string]*partition
	oneWayPartitions map[string]int
	stateOutage      bool
	cloudOutage      bool
	// lossRate is how often a message is lost or delayed for long.
	lossRate float64
	// duplicateRate is how often a transaction, a heartbeat or a command is carried out once more,
	// up to minutes later. Neither answer to a duplicated command arrives: a client that got one
	// would not send again.
	duplicateRate float64
	// Violations lists broken rules, at most maxViolations.
	Violations []string
	// Starts counts starts of tasks, and StartsAfterCancel those after an answer left a controller
	// that says that the job is cancelled.
	Starts, StartsAfterCancel int
	// heartbeatCopyRate is the part of the heartbeats that arrive once more, up to
	// heartbeatCopyMaxDelay later, until heartbeatCopiesUntil.
	heartbeatCopyRate     float64
	heartbeatCopyMaxDelay time.Duration
	heartbeatCopiesUntil  time.Time
	// stateSlowUntil: until then the state service is stateSlowFactor times slower.
	stateSlowUntil  time.Time
	stateSlowFactor float64
	// lateWriteRate is the part of the transactions that get no answer and are carried out late,
	// until lateWritesUntil.
	lateWriteRate   float64
	lateWritesUntil time.Time
	// stateOutageUntil is when the last outage of the state service that has begun is over.
	stateOutageUntil time.Time
	// stickyUsers: some users keep to one controller once all faults are over.
	stickyUsers bool
	// RefusedRequests counts users' requests that were answered 503.
	RefusedRequests int
	// LostToLease counts tasks that workers killed at the end of their lease.
	LostToLease int
	// CloudCalls counts requests to the cloud: those that were done, and those refused for the
	// rate.
	CloudCalls struct{ Done, RefusedRequests int }
	// lastID is the last number in the id of a job or machine.
	lastID int
	// machineIDs has the ids of all machines that ever were, in the order of creation.
	machineIDs []string
	// stepTime is the real time that the controllers' steps took, for benchmarks.
	stepTime time.Duration
	// logs are the controllers' log lines.
	logs []string
	// corruptEffect breaks an invariant on purpose, to show that a check notices.
	corruptEffect func(message.Effect) message.Effect
	// leaseOverride, if not 0, is a wrong worker lease that the controllers are configured with.
	leaseOverride time.Duration
	// heartbeatSender sends a worker's heartbeat. onRented is called with each new machine, and
	// onGone with each that is gone for good.
	heartbeatSender func(*Worker)
	onRented        func(*Worker)
	onGone          func(*Worker)
	// jobSource, if not nil, is where workers fetch the specification of a job that is not in jobs.
	jobSource func(id string) (model.JobSpec, time.Duration, bool)
	// pauseCondition picks the effect before which a process is paused for pauseDuration.
	pauseCondition func(*controllerProcess, message.Effect) bool
	pauseDuration  time.Duration
	// crashCondition picks the effect at which a process crashes.
	crashCondition func(*controllerProcess, message.Effect) bool
	// disturbances is set on days with unlisted or overlapping faults.
	disturbances *disturbances
	extraFaultState
	// margins is the least time that was left to each timed rule.
	margins map[string]Margin
	// nextWaitCheck is when waiting jobs are checked next.
	nextWaitCheck time.Time
	// rankingCheck checks the order of work if it is not nil. adjustSettings changes the settings
	// of a controller at its start.
	rankingCheck   *rankingChecker
	adjustSettings func(i int, set *controller.Settings)
	// onAnswer is called with every answer that reaches a user, and when he sent the request.
	onAnswer func(requestedAt time.Time, r message.UserReply)
	// faultsEndAt, if set, is when the last fault is over.
	faultsEndAt time.Time
	// trace has words, separated by "|"; debug lines that contain one are logged as well.
	trace string
}

// maxViolations bounds the list of violations; the first ones tell enough.
const maxViolations = 20

// event is a scheduled function.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// events is a heap of events.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].seq < e[b].seq
}

func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// NewWorld makes a world in which controllers many controllers start at once. cancel is how soon
// the tasks of a cancelled job must be gone, and capacity how many machines there are by
// capacityKey, such as box/a/true.
func NewWorld(seed uint64, controllers int, settings controller.Settings, cancel time.Duration, types []model.MachineType, capacity map[string]int) *World {
	w := &World{
		now: time.Unix(1_750_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, cancelWithin: cancel,
		state: NewStateService(), machines: map[string]*Worker{}, machineTypes: map[string]model.MachineType{},
		cloudCapacity: capacity, rentals: map[string][]string{}, jobs: map[string]*userJob{}, partitions: map[string]*partition{}, oneWayPartitions: map[string]int{},
		teamUsage: map[string]model.Resources{}, margins: map[string]Margin{}, cloudLimiter: rate.NewLimiter(rate.Inf, 1),
	}
	if settings.CloudRequestsPerSecond > 0 {
		// The cloud takes bursts of two seconds' worth.
		w.cloudLimiter = rate.NewLimiter(rate.Limit(settings.CloudRequestsPerSecond), max(1, int(2*settings.CloudRequestsPerSecond)))
	}
	w.startedAt = w.now
	w.state.SetLimits(settings)
	w.heartbeatSender, w.onRented, w.onGone = w.sendHeartbeat, func(*Worker) {}, func(*Worker) {}
	for _, t := range types {
		w.machineTypes[t.Name] = t
	}
	for i := range controllers {
		w.controllers = append(w.controllers, &controllerProcess{world: w, index: i, name: fmt.Sprintf("node-%d", i)})
	}
	for _, p := range w.controllers {
		p.start()
	}
	w.schedule(tickInterval, w.onTick)
	return w
}

// schedule calls fn after delay.
func (w *World) schedule(delay time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(delay), w.seq, fn})
}

// jitter draws a duration from 75% to 125% of d.
func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + w.rng.Float64()/2))
}

// Run advances the virtual time by d.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// violate records a broken rule.
func (w *World) violate(rule, format string, args ...any) {
	if len(w.Violations) >= maxViolations {
		return
	}
	w.Violations = append(w.Violations, fmt.Sprintf("%s at %.1fs: %s", rule, w.now.Sub(w.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

// onTick advances what goes on without events, and checks the rules.
func (w *World) onTick() {
	if !w.stateOutage {
		w.state.Expire(w.now)
	}
	w.advanceMachines(tickInterval)
	w.checkCancellations()
	w.replayHeldHeartbeats()
	w.checkWaiting()
	w.schedule(tickInterval, w.onTick)
}

// advanceMachines moves all machines on by step, and drops those that are gone for good.
func (w *World) advanceMachines(step time.Duration) {
	keep := w.fleet[:0]
	for _, m := range w.fleet {
		if !m.reclaimAt.IsZero() && !w.now.Before(m.reclaimAt) {
			w.killMachine(m)
			m.reclaimed = true
		}
		w.advanceMachine(m, step)
		if m.released || m.reclaimed {
			w.onGone(m)
			continue
		}
		keep = append(keep, m)
	}
	w.fleet = keep
}

// controllerIndex returns the index of a controller by name, or -1.
func (w *World) controllerIndex(name string) int {
	return slices.IndexFunc(w.controllers, func(p *controllerProcess) bool { return p.name == name })
}

// sendMessage delivers a message from one end to another, subject to the links: late, lost or held.
// fn runs at the receiver.
func (w *World) sendMessage(from, to string, fn func()) {
	process := 0
	if m := w.machines[to]; m != nil {
		process = m.process
	}
	deliver := func() {
		// A hanging machine takes it when it goes on.
		if m := w.machines[to]; m != nil {
			switch {
			case m.dead || m.released || m.process != process:
				return
			case w.now.Before(m.hungUntil):
				w.schedule(m.hungUntil.Sub(w.now)+time.Millisecond, func() {
					if !m.dead && !m.released && m.process == process {
						fn()
					}
				})
				return
			}
		}
		fn()
	}
	if w.isPartitionedOneWay(from, to) || w.holdIfUnreachable(w.machines[to], deliver) {
		return
	}
	if c := w.partitionBetween(from, to); c != nil {
		if c.holdMessages {
			c.heldMessages = append(c.heldMessages, deliver)
		}
		return
	}
	d := time.Duration(1+w.rng.IntN(6)) * time.Millisecond
	if w.now.Before(w.stateSlowUntil) && (from == "state" || to == "state") {
		d = time.Duration(float64(d) * w.stateSlowFactor)
	}
	if w.disturbances != nil && w.now.Before(w.disturbances.slowAnswersUntil) && (from == "state" || from == "cloud") {
		d += time.Duration(w.rng.Int64N(int64(w.disturbances.answerDelay)))
	}
	if w.rng.Float64() < 0.01 {
		d += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	if w.rng.Float64() < w.lossRate {
		if w.rng.IntN(2) == 0 {
			return
		}
		d += w.randomDelay()
	}
	w.schedule(d, deliver)
}

// randomDelay draws how late a message is that was held up somewhere.
func (w *World) randomDelay() time.Duration { return time.Duration(5+w.rng.IntN(100)) * time.Second }

// maxRandomDelay bounds randomDelay.
const maxRandomDelay = 105 * time.Second

// clearTasks removes all tasks from a machine.
func (w *World) clearTasks(m *Worker) {
	for _, t := range m.tasks {
		w.releaseTask(t)
	}
	clear(m.tasks)
}

// releaseTask gives back what a task takes, if anything.
func (w *World) releaseTask(t *workerTask) {
	if t.onMachine() {
		team := t.job.spec.Team
		w.teamUsage[team] = w.teamUsage[team].AddScaled(t.job.spec.Need, -1)
		w.replicaDown(t)
	}
}

// Outage makes the state service unavailable for d. Afterwards every lease has its full time again.
func (w *World) Outage(d time.Duration) {
	w.stateOutage = true
	if until := w.now.Add(d); until.After(w.stateOutageUntil) {
		w.stateOutageUntil = until
	}
	w.schedule(d, func() {
		if w.stateOutage = w.now.Before(w.stateOutageUntil); w.stateOutage {
			return
		}
		w.state.RenewLeases(w.now)
	})
}

// runningTasks counts a job's tasks on machines.
func (w *World) runningTasks(id string) int {
	k := 0
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.job.spec.ID == id && t.onMachine() && !m.dead {
				k++
			}
		}
	}
	return k
}

// randomFault begins a random fault, often while another lasts.
func (w *World) randomFault(rng *rand.Rand) {
	dur := time.Duration(5+rng.IntN(35)) * time.Second
	p := w.controllers[rng.IntN(len(w.controllers))]
	hold := rng.IntN(2) == 0
	var machines []*Worker
	for _, id := range sortedKeys(w.machines) {
		if m := w.machines[id]; m.up(w.now) {
			machines = append(machines, m)
		}
	}
	switch rng.IntN(12) {
	case 0:
		w.CrashController(p.index, 5*time.Second)
	case 1:
		for i := range w.controllers {
			w.CrashController(i, 5*time.Second)
		}
	case 2:
		w.Partition(p.name, "*", dur, hold)
	case 3:
		w.Partition(p.name, "state", dur, hold)
	case 4:
		w.Partition(p.name, "workers", dur, hold)
	case 5:
		w.refuseController(p, dur)
	case 6:
		w.Outage(dur)
	case 7:
		w.cloudOutage = true
		w.schedule(dur, func() { w.cloudOutage = false })
	case 8:
		for _, m := range machines {
			if m.Spot && rng.IntN(2) == 0 {
				m.reclaimAt = w.now.Add(time.Duration(rng.IntN(15)) * time.Second)
			}
		}
	default:
		if len(machines) == 0 {
			return
		}
		m := machines[rng.IntN(len(machines))]
		switch rng.IntN(5) {
		case 0:
			w.killMachine(m)
		case 1, 2:
			m.hungUntil = w.now.Add(dur)
		case 3:
			w.Partition(m.ID, "*", dur, hold)
		case 4:
			m.slowFactor = 3
		}
	}
}

// containsAny reports whether s contains one of the words, which are separated by "|".
func containsAny(s, words string) bool {
	for _, w := range strings.Split(words, "|") {
		if strings.Contains(s, w) {
			return true
		}
	}
	return false
}
