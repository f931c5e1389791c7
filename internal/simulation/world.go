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

// tickInterval is the step of workers, grants and checks.
const tickInterval = 100 * time.Millisecond

// World is simulated time with controllers, state service, cloud, workers and
// users in it, and faults. The same seed gives the same run.
type World struct {
	now          time.Time
	startedAt    time.Time
	rng          *rand.Rand
	settings     controller.Settings
	cancelWithin time.Duration
	events       events
	seq          uint64

	controllers []*controllerProcess
	state       *StateService
	machines    map[string]*Worker
	// fleet are the machines that are not gone for good, in the order of creation.
	fleet []*Worker
	// teamUsage is what each team's tasks take.
	teamUsage     map[string]model.Resources
	cloudLimiter  *rate.Limiter
	machineTypes  map[string]model.MachineType
	cloudCapacity map[string]int
	rentals       map[string][]string
	jobs          map[string]*userJob

	partitions       map[string]*partition
	oneWayPartitions map[string]int
	stateOutage      bool
	cloudOutage      bool
	// loss: how often an answer or request is lost, or held for long.
	lossRate float64
	// twice: how often a transaction, a report or an order is carried out once
	// more, up to minutes later. Of a doubled order neither answer arrives: a
	// client that got one does not send again.
	duplicateRate float64
	// Violations collects broken rules.
	Violations []string
	// Starts counts starts, and StartsAfterCancel those after an answer has left that says
	// that the job is cancelled.
	Starts, StartsAfterCancel int
	// heartbeatCopyRate is the share of reports that come once more, up to heartbeatCopyMaxDelay later,
	// until heartbeatCopiesUntil.
	heartbeatCopyRate     float64
	heartbeatCopyMaxDelay time.Duration
	heartbeatCopiesUntil  time.Time
	// stateSlowUntil: the state service answers slowly until then, slowBy times as slowly.
	stateSlowUntil  time.Time
	stateSlowFactor float64
	// lateWriteRate is the share of transactions that get no answer and are carried out
	// later, until lateWritesUntil.
	lateWriteRate   float64
	lateWritesUntil time.Time
	// stateOutageUntil is when the last outage that has begun is over.
	stateOutageUntil time.Time
	// keeps: some users ask the same controller again and again once all is over.
	stickyUsers bool
	// RefusedRequests counts users' requests that were refused for now.
	RefusedRequests int
	// LostToLease counts tasks that a worker killed when its lease ran out.
	LostToLease int
	// CloudCalls counts requests to the cloud.
	CloudCalls struct{ Done, RefusedRequests int }
	lastID     int
	// machineIDs names all machines that ever were, in the order of creation.
	machineIDs []string
	// coreTime is the real time that the cores took, for benchmarks.
	coreTime time.Duration
	logs     []string
	// corruptEffect breaks an invariant on purpose, to show that it is noticed.
	corruptEffect func(message.Effect) message.Effect
	// leaseOverride, when set, is the wrong lease that the cores are told.
	leaseOverride time.Duration
	// heartbeatSender sends a worker's report; rented is told of new machines, and gone of
	// those that are gone for good.
	heartbeatSender func(*Worker)
	onRented        func(*Worker)
	onGone          func(*Worker)
	// learn, when set, is where workers fetch the description of a job that nobody
	// told them of.
	jobSource func(id string) (model.JobSpec, time.Duration, bool)
	// pauseCondition picks the effect before which a process stands still, for pauseDuration.
	pauseCondition func(*controllerProcess, message.Effect) bool
	pauseDuration  time.Duration
	// crashCondition picks the effect with which a process ends.
	crashCondition func(*controllerProcess, message.Effect) bool
	// disturbances is there on days with troubles of no list.
	disturbances *disturbances
	extraFaultState
	// margins is the least that was left to each rule with a time.
	margins map[string]Margin
	// nextWaitCheck is when is looked next at what waits.
	nextWaitCheck time.Time
	// rankingCheck checks the order of work, where a ranking is on; tune changes what a
	// controller is told at start.
	rankingCheck   *rankingChecker
	adjustSettings func(i int, set *controller.Settings)
	// onAnswer is told of every answer that reaches a user, and when he asked.
	onAnswer func(asked time.Time, r message.UserReply)
	// calm, if set, is when the last trouble is over.
	faultsEndAt time.Time
	// trace names a job whose debug lines are kept as well.
	trace string
}

// maxViolations bounds the list of broken rules; the first ones tell enough.
const maxViolations = 20

type event struct {
	at  time.Time
	seq uint64
	run func()
}

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

// NewWorld makes a world with n controllers, which start at once.
func NewWorld(seed uint64, controllers int, settings controller.Settings, cancel time.Duration, types []model.MachineType, capacity map[string]int) *World {
	w := &World{
		now: time.Unix(1_750_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, cancelWithin: cancel,
		state: NewStateService(), machines: map[string]*Worker{}, machineTypes: map[string]model.MachineType{},
		cloudCapacity: capacity, rentals: map[string][]string{}, jobs: map[string]*userJob{}, partitions: map[string]*partition{}, oneWayPartitions: map[string]int{},
		teamUsage: map[string]model.Resources{}, margins: map[string]Margin{}, cloudLimiter: rate.NewLimiter(rate.Inf, 1),
	}
	if settings.CloudRequestsPerSecond > 0 {
		// Bursts of two seconds' worth.
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

func (w *World) schedule(delay time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(delay), w.seq, fn})
}

func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + w.rng.Float64()/2))
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *World) violate(rule, format string, args ...any) {
	if len(w.Violations) >= maxViolations {
		return
	}
	w.Violations = append(w.Violations, fmt.Sprintf("%s at %.1fs: %s", rule, w.now.Sub(w.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

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

// advanceMachines moves all machines on. Those that are gone for good are looked at no more.
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

func (w *World) controllerIndex(name string) int {
	return slices.IndexFunc(w.controllers, func(p *controllerProcess) bool { return p.name == name })
}

// sendMessage brings a message from a to b: late, lost or held as the links are.
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

// randomDelay is how much later than usual a message comes that was held somewhere.
func (w *World) randomDelay() time.Duration { return time.Duration(5+w.rng.IntN(100)) * time.Second }

// maxRandomDelay bounds that.
const maxRandomDelay = 105 * time.Second

// clearTasks takes everything off a machine.
func (w *World) clearTasks(m *Worker) {
	for _, t := range m.tasks {
		w.releaseTask(t)
	}
	clear(m.tasks)
}

// releaseTask notes that a task takes no room any more, if it did.
func (w *World) releaseTask(t *workerTask) {
	if t.onMachine() {
		team := t.job.spec.Team
		w.teamUsage[team] = w.teamUsage[team].AddScaled(t.job.spec.Need, -1)
		w.replicaDown(t)
	}
}

// Outage takes the state service away for d; afterwards every grant has its
// full time again.
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

// randomFault lets one thing go wrong, often while another still does.
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

func containsAny(s, words string) bool {
	for _, w := range strings.Split(words, "|") {
		if strings.Contains(s, w) {
			return true
		}
	}
	return false
}
