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

// tickInterval is the virtual time between two updates of the workers and leases, each followed by
// the checks.
const tickInterval = 100 * time.Millisecond

// World simulates controllers, the state service, the cloud, workers and users in virtual time,
// with faults. All its code runs on the goroutine that calls Run. Two worlds with the same seed and
// the same calls behave the same.
type World struct {
	// now is the virtual time.
	now       time.Time
	startedAt time.Time
	rng       *rand.Rand
	// settings are the settings that all controllers share. Each controller gets its own name and
	// peers in addition.
	settings controller.Settings
	// cancelWithin is the time within which the tasks of a cancelled job must have ended.
	cancelWithin time.Duration
	// events are the scheduled functions. Events of the same time run in the order of their
	// sequence numbers; seq is the last number given.
	events events
	seq    uint64

	controllers []*controllerProcess
	state       *StateService
	// machines are all machines ever rented, by id.
	machines map[string]*Worker
	// fleet has the machines that are neither released nor reclaimed, in the order of creation.
	fleet []*Worker
	// teamUsage is the resources that each team's running tasks take.
	teamUsage    map[string]model.Resources
	cloudLimiter *rate.Limiter
	machineTypes map[string]model.MachineType
	// cloudCapacity is the number of machines that can still be rented, by capacityKey.
	cloudCapacity map[string]int
	// rentals has the ids of each rental's machines, by idempotency key.
	rentals map[string][]string
	jobs    map[string]*userJob

	// partitions has the links that are broken in both directions, by "a|b". oneWayPartitions
	// counts the partitions that drop messages from a to b, by "a>b". See links.go.
	partitions       map[string]*partition
	oneWayPartitions map[string]int
	stateOutage      bool
	cloudOutage      bool
	// lossRate is the probability that a message is lost or delayed by randomDelay.
	lossRate float64
	// duplicateRate is the probability that a transaction, a heartbeat or a command is carried out
	// a second time, up to maxRandomDelay later. The sender of a duplicated command gets no answer
	// to either copy, because a client that got an answer would not send the command again.
	duplicateRate float64
	// Violations lists the rule violations that were found, at most maxViolations.
	Violations []string
	// Starts counts task starts. StartsAfterCancel counts task starts after a controller sent an
	// answer that says that the job is cancelled.
	Starts, StartsAfterCancel int
	// heartbeatCopyRate is the fraction of the heartbeats that arrive a second time, up to
	// heartbeatCopyMaxDelay later. The fault lasts until heartbeatCopiesUntil.
	heartbeatCopyRate     float64
	heartbeatCopyMaxDelay time.Duration
	heartbeatCopiesUntil  time.Time
	// stateSlowUntil is the time until which messages from and to the state service take
	// stateSlowFactor times as long.
	stateSlowUntil  time.Time
	stateSlowFactor float64
	// lateWriteRate is the fraction of the transactions that get no answer and are carried out
	// late. The fault lasts until lateWritesUntil.
	lateWriteRate   float64
	lateWritesUntil time.Time
	// stateOutageUntil is the latest end of the outages of the state service that have begun.
	stateOutageUntil time.Time
	// stickyUsers makes some users send all queries to one controller once all faults are over.
	stickyUsers bool
	// RefusedRequests counts users' requests that were answered 503.
	RefusedRequests int
	// LostToLease counts tasks that workers killed because their worker lease expired.
	LostToLease int
	// CloudCalls counts requests to the cloud: those that were executed, and those that were
	// refused because of the rate limit.
	CloudCalls struct{ Done, RefusedRequests int }
	// lastID is the number in the id of the job or machine that was created last.
	lastID int
	// machineIDs has the ids of all machines ever rented, in the order of creation, which is also
	// their lexical order.
	machineIDs []string
	// stepTime is the real time that the controllers' steps took in total. Benchmarks read it.
	stepTime time.Duration
	// logs are the controllers' log lines.
	logs []string
	// corruptEffect, if not nil, replaces each effect before it is sent; an effect that it replaces
	// with nil is dropped. Tests use it to break an invariant and to show that a check reports the
	// violation.
	corruptEffect func(message.Effect) message.Effect
	// leaseOverride, if not 0, is the worker lease in the controllers' settings, which then differs
	// from the lease of the workers.
	leaseOverride time.Duration
	// heartbeatSender sends a worker's heartbeat. onRented is called with each new machine, and
	// onGone with each machine that was released or reclaimed.
	heartbeatSender func(*Worker)
	onRented        func(*Worker)
	onGone          func(*Worker)
	// jobSource, if not nil, is where workers fetch the specification of a job that is not in jobs.
	jobSource func(id string) (model.JobSpec, time.Duration, bool)
	// pauseCondition, if not nil, reports whether a process is paused for pauseDuration before it
	// sends an effect. It applies once.
	pauseCondition func(*controllerProcess, message.Effect) bool
	pauseDuration  time.Duration
	// crashCondition, if not nil, crashes the process and returns true if the process is to crash
	// at an effect. It applies once.
	crashCondition func(*controllerProcess, message.Effect) bool
	// disturbances has the state of the unlisted faults. It is nil on days without unlisted or
	// overlapping faults.
	disturbances *disturbances
	extraFaultState
	// margins has the smallest margin that was seen for each timed rule.
	margins map[string]Margin
	// nextWaitCheck is the time of the next check for jobs that wait beside free capacity.
	nextWaitCheck time.Time
	// rankingCheck, if not nil, checks the order in which controllers act. adjustSettings, if not
	// nil, changes the settings of a controller with the given index at its start.
	rankingCheck   *rankingChecker
	adjustSettings func(i int, set *controller.Settings)
	// onAnswer, if not nil, is called with every answer that reaches a user and the time when the
	// user sent the request.
	onAnswer func(requestedAt time.Time, r message.UserReply)
	// faultsEndAt is the end of the last fault, or the zero time if there is none.
	faultsEndAt time.Time
	// trace is a list of words separated by "|". Debug lines that contain one of the words are
	// added to logs.
	trace string
}

// maxViolations bounds the number of recorded violations, since later ones are often consequences
// of the first.
const maxViolations = 20

// event is a scheduled function.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// events is a heap of events, ordered by time and then by sequence number.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less reports whether event a runs before event b.
func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].seq < e[b].seq
}

// Swap swaps two events.
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push appends an event; only package heap calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event and returns it; only package heap calls it.
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// NewWorld returns a world and starts the given number of controllers in it. cancel is the time
// within which the tasks of a cancelled job must have ended. capacity is the number of machines
// that the cloud has, by capacityKey, such as box/a/true. The world keeps and changes capacity.
func NewWorld(seed uint64, controllers int, settings controller.Settings, cancel time.Duration, types []model.MachineType, capacity map[string]int) *World {
	w := &World{
		now: time.Unix(1_750_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, cancelWithin: cancel,
		state: NewStateService(), machines: map[string]*Worker{}, machineTypes: map[string]model.MachineType{},
		cloudCapacity: capacity, rentals: map[string][]string{}, jobs: map[string]*userJob{}, partitions: map[string]*partition{}, oneWayPartitions: map[string]int{},
		teamUsage: map[string]model.Resources{}, margins: map[string]Margin{}, cloudLimiter: rate.NewLimiter(rate.Inf, 1),
	}
	if settings.CloudRequestsPerSecond > 0 {
		// The cloud accepts bursts of two seconds' worth of requests.
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

// schedule makes Run call fn after delay.
func (w *World) schedule(delay time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(delay), w.seq, fn})
}

// jitter draws a duration between 75% and 125% of d.
func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + w.rng.Float64()/2))
}

// Run advances the virtual time by d and runs the events that are due meanwhile.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// violate records a violation of a rule, unless maxViolations are recorded already.
func (w *World) violate(rule, format string, args ...any) {
	if len(w.Violations) >= maxViolations {
		return
	}
	w.Violations = append(w.Violations, fmt.Sprintf("%s at %.1fs: %s", rule, w.now.Sub(w.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

// onTick updates leases and machines, and checks the rules that depend on the passing of time. It
// runs every tickInterval.
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

// advanceMachines advances all machines by step, and removes machines that were released or
// reclaimed from the fleet.
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

// controllerIndex returns the index of the controller with a name, or -1 if there is none.
func (w *World) controllerIndex(name string) int {
	return slices.IndexFunc(w.controllers, func(p *controllerProcess) bool { return p.name == name })
}

// sendMessage delivers a message by calling fn after a random delay. Depending on the faults of the
// link and the receiver, the message is late, lost or held until the fault ends. A machine is named
// by its id, a controller by its name; the other ends are state, cloud and user.
func (w *World) sendMessage(from, to string, fn func()) {
	process := 0
	if m := w.machines[to]; m != nil {
		process = m.process
	}
	deliver := func() {
		// A hanging machine receives the message when it resumes, unless its worker was restarted
		// meanwhile.
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

// randomDelay draws the delay of a message that the network delivers very late.
func (w *World) randomDelay() time.Duration { return time.Duration(5+w.rng.IntN(100)) * time.Second }

// maxRandomDelay is the upper bound of randomDelay.
const maxRandomDelay = 105 * time.Second

// clearTasks removes all tasks from a machine.
func (w *World) clearTasks(m *Worker) {
	for _, t := range m.tasks {
		w.releaseTask(t)
	}
	clear(m.tasks)
}

// releaseTask subtracts the resources of a task from its team's usage if the task takes any.
func (w *World) releaseTask(t *workerTask) {
	if t.onMachine() {
		team := t.job.spec.Team
		w.teamUsage[team] = w.teamUsage[team].AddScaled(t.job.spec.Need, -1)
		w.replicaDown(t)
	}
}

// Outage makes the state service unavailable for d. At the end of the outage every lease is renewed
// to its full TTL. Outages may overlap.
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

// runningTasks returns the number of a job's attempts that take resources of living machines.
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

// randomFault begins a fault that is drawn from rng. Earlier faults may still be active.
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

// containsAny reports whether s contains one of words, a list separated by "|".
func containsAny(s, words string) bool {
	for _, w := range strings.Split(words, "|") {
		if strings.Contains(s, w) {
			return true
		}
	}
	return false
}
