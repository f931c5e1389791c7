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
	// onHeartbeatReply, if not nil, is called with each reply that a controller sends to a machine's
	// heartbeat.
	onHeartbeatReply func(*Worker, message.HeartbeatReply)
	// startExecuted, if not nil, is called with each start that a worker executes.
	startExecuted func(*Worker, model.TaskCommand)
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
	requestRepeats
	restartCopies
	// margins has the smallest margin that was seen for each timed rule.
	margins map[string]Margin
	// nextWaitCheck is the time of the next check for jobs that wait beside free capacity.
	nextWaitCheck time.Time
	// rankingCheck, if not nil, checks that controllers follow the ranking. adjustSettings, if not
	// nil, changes the settings of a controller with the given index at its start.
	rankingCheck   *rankingChecker
	adjustSettings func(i int, set *controller.Settings)
	// onAnswer, if not nil, is called with every answer that reaches a user and the time when the
	// user sent the request.
	onAnswer func(requestedAt time.Time, r message.UserReply)
	// faultsEndAt is the end of the last fault. While it is zero, the rules that hold only after
	// all faults are not checked.
	faultsEndAt time.Time
	// trace is a list of words separated by "|". Debug lines that contain one of the words are
	// added to logs.
	trace string
}

// maxViolations bounds the number of recorded violations. The first ones are enough to find a
// fault.
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
func (queue events) Len() int { return len(queue) }

// Less reports whether event a runs before event b.
func (queue events) Less(a, b int) bool {
	return queue[a].at.Before(queue[b].at) || queue[a].at.Equal(queue[b].at) && queue[a].seq < queue[b].seq
}

// Swap swaps two events.
func (queue events) Swap(a, b int) { queue[a], queue[b] = queue[b], queue[a] }

// Push appends an event; only package heap calls it.
func (queue *events) Push(x any) { *queue = append(*queue, x.(event)) }

// Pop removes the last event and returns it; only package heap calls it.
func (queue *events) Pop() any {
	other := *queue
	x := other[len(other)-1]
	*queue = other[:len(other)-1]
	return x
}

// NewWorld returns a world and starts the given number of controllers in it. cancelWithin is the
// time within which the tasks of a cancelled job must have ended. capacity is the number of
// machines that the cloud has, by capacityKey, such as box/a/true. The world keeps and changes
// capacity.
func NewWorld(seed uint64, controllers int, settings controller.Settings, cancelWithin time.Duration, types []model.MachineType, capacity map[string]int) *World {
	world := &World{
		now: time.Unix(1_750_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, cancelWithin: cancelWithin,
		state: NewStateService(), machines: map[string]*Worker{}, machineTypes: map[string]model.MachineType{},
		cloudCapacity: capacity, rentals: map[string][]string{}, jobs: map[string]*userJob{}, partitions: map[string]*partition{}, oneWayPartitions: map[string]int{},
		teamUsage: map[string]model.Resources{}, margins: map[string]Margin{}, requestRepeats: requestRepeats{repeated: map[string]int{}}, cloudLimiter: rate.NewLimiter(rate.Inf, 1),
	}
	if settings.CloudRequestsPerSecond > 0 {
		// The cloud accepts bursts of two seconds' worth of requests.
		world.cloudLimiter = rate.NewLimiter(rate.Limit(settings.CloudRequestsPerSecond), max(1, int(2*settings.CloudRequestsPerSecond)))
	}
	world.startedAt = world.now
	world.state.SetLimits(settings)
	world.heartbeatSender, world.onRented, world.onGone = world.sendHeartbeat, func(*Worker) {}, func(*Worker) {}
	for _, machineType := range types {
		world.machineTypes[machineType.Name] = machineType
	}
	for i := range controllers {
		world.controllers = append(world.controllers, &controllerProcess{world: world, index: i, name: fmt.Sprintf("node-%d", i)})
	}
	for _, process := range world.controllers {
		process.start()
	}
	world.schedule(tickInterval, world.onTick)
	return world
}

// schedule makes Run call fn after delay.
func (world *World) schedule(delay time.Duration, fn func()) {
	world.seq++
	heap.Push(&world.events, event{world.now.Add(delay), world.seq, fn})
}

// jitter draws a duration between 75% and 125% of the given one.
func (world *World) jitter(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (0.75 + world.rng.Float64()/2))
}

// Run advances the virtual time by the given duration and runs the events that are due meanwhile.
func (world *World) Run(duration time.Duration) {
	end := world.now.Add(duration)
	for len(world.events) > 0 && !world.events[0].at.After(end) {
		next := heap.Pop(&world.events).(event)
		world.now = next.at
		next.run()
	}
	world.now = end
}

// reportViolation records a violation of a rule, unless maxViolations are recorded already.
func (world *World) reportViolation(rule, format string, args ...any) {
	if len(world.Violations) >= maxViolations {
		return
	}
	world.Violations = append(world.Violations, fmt.Sprintf("%s at %.1fs: %s", rule, world.now.Sub(world.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

// onTick updates leases and machines, and checks the rules that depend on the passing of time. It
// runs every tickInterval.
func (world *World) onTick() {
	if !world.stateOutage {
		world.state.Expire(world.now)
	}
	world.advanceMachines(tickInterval)
	world.checkCancellations()
	world.replayHeldHeartbeats()
	world.checkWaiting()
	world.schedule(tickInterval, world.onTick)
}

// advanceMachines advances all machines by step, and removes machines that were released or
// reclaimed from the fleet.
func (world *World) advanceMachines(step time.Duration) {
	keep := world.fleet[:0]
	for _, machine := range world.fleet {
		if !machine.reclaimAt.IsZero() && !world.now.Before(machine.reclaimAt) {
			world.killMachine(machine)
			machine.reclaimed = true
		}
		world.advanceMachine(machine, step)
		if machine.released || machine.reclaimed {
			world.onGone(machine)
			continue
		}
		keep = append(keep, machine)
	}
	world.fleet = keep
}

// controllerIndex returns the index of the controller with a name, or -1 if there is none.
func (world *World) controllerIndex(name string) int {
	return slices.IndexFunc(world.controllers, func(process *controllerProcess) bool { return process.name == name })
}

// sendMessage delivers a message by calling fn after a random delay. Depending on the faults of the
// link and the receiver, the message is late, lost or held until the fault ends. A machine is named
// by its id, a controller by its name; the other ends are state, cloud and user.
func (world *World) sendMessage(from, to string, fn func()) {
	process := 0
	if machine := world.machines[to]; machine != nil {
		process = machine.process
	}
	deliver := func() {
		// A hanging machine receives the message when it resumes, unless its worker was restarted
		// meanwhile.
		if machine := world.machines[to]; machine != nil {
			switch {
			case machine.dead || machine.released || machine.process != process:
				return
			case world.now.Before(machine.hungUntil):
				world.schedule(machine.hungUntil.Sub(world.now)+time.Millisecond, func() {
					if !machine.dead && !machine.released && machine.process == process {
						fn()
					}
				})
				return
			}
		}
		fn()
	}
	if world.isPartitionedOneWay(from, to) || world.holdIfUnreachable(world.machines[to], deliver) {
		return
	}
	if link := world.partitionBetween(from, to); link != nil {
		if link.holdMessages {
			link.heldMessages = append(link.heldMessages, deliver)
		}
		return
	}
	delay := time.Duration(1+world.rng.IntN(6)) * time.Millisecond
	if world.now.Before(world.stateSlowUntil) && (from == "state" || to == "state") {
		delay = time.Duration(float64(delay) * world.stateSlowFactor)
	}
	if world.disturbances != nil && world.now.Before(world.disturbances.slowAnswersUntil) && (from == "state" || from == "cloud") {
		delay += time.Duration(world.rng.Int64N(int64(world.disturbances.answerDelay)))
	}
	if world.rng.Float64() < 0.01 {
		delay += time.Duration(world.rng.IntN(400)) * time.Millisecond
	}
	if world.rng.Float64() < world.lossRate {
		if world.rng.IntN(2) == 0 {
			return
		}
		delay += world.randomDelay()
	}
	world.schedule(delay, deliver)
}

// randomDelay draws the delay of a message that the network delivers very late.
func (world *World) randomDelay() time.Duration {
	return time.Duration(5+world.rng.IntN(100)) * time.Second
}

// maxRandomDelay is the upper bound of randomDelay.
const maxRandomDelay = 105 * time.Second

// clearTasks removes all tasks from a machine.
func (world *World) clearTasks(machine *Worker) {
	for _, task := range machine.tasks {
		world.releaseTask(task)
	}
	clear(machine.tasks)
}

// releaseTask subtracts the resources of a task from its team's usage if the task takes any.
func (world *World) releaseTask(task *workerTask) {
	if task.onMachine() {
		team := task.job.spec.Team
		world.teamUsage[team] = world.teamUsage[team].AddScaled(task.job.spec.Need, -1)
		world.replicaDown(task)
	}
}

// Outage makes the state service unavailable for the given duration. At the end of the outage every
// lease is renewed to its full TTL. Outages may overlap.
func (world *World) Outage(duration time.Duration) {
	world.stateOutage = true
	if until := world.now.Add(duration); until.After(world.stateOutageUntil) {
		world.stateOutageUntil = until
	}
	world.schedule(duration, func() {
		if world.stateOutage = world.now.Before(world.stateOutageUntil); world.stateOutage {
			return
		}
		world.state.RenewLeases(world.now)
	})
}

// runningTasks returns the number of a job's attempts that take resources of living machines.
func (world *World) runningTasks(id string) int {
	k := 0
	for _, machine := range world.machines {
		for _, task := range machine.tasks {
			if task.job.spec.ID == id && task.onMachine() && !machine.dead {
				k++
			}
		}
	}
	return k
}

// randomFault begins a fault that is drawn from rng. Earlier faults may still be active.
func (world *World) randomFault(rng *rand.Rand) {
	dur := time.Duration(5+rng.IntN(35)) * time.Second
	process := world.controllers[rng.IntN(len(world.controllers))]
	holdMessages := rng.IntN(2) == 0
	var machines []*Worker
	for _, id := range sortedKeys(world.machines) {
		if machine := world.machines[id]; machine.up(world.now) {
			machines = append(machines, machine)
		}
	}
	switch rng.IntN(12) {
	case 0:
		world.CrashController(process.index, 5*time.Second)
	case 1:
		for i := range world.controllers {
			world.CrashController(i, 5*time.Second)
		}
	case 2:
		world.Partition(process.name, "*", dur, holdMessages)
	case 3:
		world.Partition(process.name, "state", dur, holdMessages)
	case 4:
		world.Partition(process.name, "workers", dur, holdMessages)
	case 5:
		world.refuseController(process, dur)
	case 6:
		world.Outage(dur)
	case 7:
		world.cloudOutage = true
		world.schedule(dur, func() { world.cloudOutage = false })
	case 8:
		for _, machine := range machines {
			if machine.Spot && rng.IntN(2) == 0 {
				machine.reclaimAt = world.now.Add(time.Duration(rng.IntN(15)) * time.Second)
			}
		}
	default:
		if len(machines) == 0 {
			return
		}
		machine := machines[rng.IntN(len(machines))]
		switch rng.IntN(5) {
		case 0:
			world.killMachine(machine)
		case 1, 2:
			machine.hungUntil = world.now.Add(dur)
		case 3:
			world.Partition(machine.ID, "*", dur, holdMessages)
		case 4:
			machine.slowFactor = 3
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
