package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/state"
)

// This file models the process of a controller: its start, crash and pause, and the execution of
// the effects that the controller emits.

const (
	// workerTimeout is how long a controller waits for a worker's response to a direct request.
	workerTimeout = 2 * time.Second
	// cloudTimeout is how long a controller waits for a response of the cloud.
	cloudTimeout = 5 * time.Second
)

// controllerProcess models the process of one controller. Its fields are used only on the world's
// goroutine.
type controllerProcess struct {
	world      *World
	index      int
	name       string
	controller *controller.Controller
	// incarnation counts starts and crashes of the process. Callbacks compare it with the value at
	// their creation, so that a callback of an earlier process has no effect on a later one.
	incarnation int
	alive       bool
	// queue holds the commands for the next step.
	queue         []message.Command
	stepScheduled bool
	// wakeAt is the time of the next step if no command arrives before.
	wakeAt time.Time
	// replies holds the functions that receive the answers, by request number. next is the last
	// number given.
	replies map[uint64]func(message.Effect)
	next    uint64
	// stateRefused makes the state service refuse all requests of this controller.
	stateRefused bool
	// refusedUntil is the latest end of the refusals that have begun.
	refusedUntil time.Time
	limiter      *state.RateLimiter
	// pausedUntil is the time until which the process is paused; its clock runs on. heldEffects are
	// the effects that the controller emitted and the process has not sent yet because of the
	// pause.
	pausedUntil time.Time
	heldEffects []message.Effect
	// slowUntil is the time until which a step takes slowFactor times as long as usual.
	slowUntil  time.Time
	slowFactor float64
	// clockSkew is the time by which the controller's clock is ahead of the world's clock.
	clockSkew time.Duration
}

// localTime returns the time of the controller's clock.
func (process *controllerProcess) localTime() time.Time {
	return process.world.now.Add(process.clockSkew)
}

// checkLeader checks that only the leader rents and releases machines. Requests to the cloud carry
// no compares, so the cloud can't refuse requests of a deposed leader.
func (process *controllerProcess) checkLeader(request message.CloudRequest) {
	if request.Kind != message.CloudRent && request.Kind != message.CloudRelease {
		return
	}
	if leader := process.world.leaderName(); leader != "" && leader != process.name {
		process.world.reportViolation("deposed", "%s asks the cloud for %v while %s leads", process.name, request.Kind, leader)
	}
}

// start starts the process with a new controller, which has no state from before.
func (process *controllerProcess) start() {
	process.incarnation++
	process.alive = true
	settings := process.world.settings
	settings.Host, settings.Incarnation = process.name, fmt.Sprintf("%s.%d", process.name, process.incarnation)
	settings.Peers = nil
	settings.CancellationBound = process.world.cancelWithin
	if process.world.leaseOverride > 0 {
		settings.WorkerLease = process.world.leaseOverride
	}
	for _, other := range process.world.controllers {
		if other != process {
			settings.Peers = append(settings.Peers, other.name)
		}
	}
	if process.world.adjustSettings != nil {
		process.world.adjustSettings(process.index, &settings)
	}
	// Until the controller sets its rates, each controller has an equal part of the limits.
	controllerCount := float64(len(process.world.controllers))
	process.limiter = state.NewRateLimiter(process.world.now, message.Rates{Requests: settings.StoreRequestsPerSecond / controllerCount, Writes: settings.StoreWritesPerSecond / controllerCount})
	process.controller = controller.New(settings, rand.New(rand.NewPCG(uint64(process.index)+7, uint64(process.incarnation))))
	process.queue, process.stepScheduled, process.wakeAt = nil, false, time.Time{}
	process.pausedUntil, process.heldEffects = time.Time{}, nil
	process.replies = map[uint64]func(message.Effect){}
	process.scheduleStep()
}

// CrashController crashes the process of controller i and starts it again after restartAfter.
func (world *World) CrashController(i int, restartAfter time.Duration) {
	process := world.controllers[i]
	process.alive = false
	process.incarnation++
	world.schedule(restartAfter, func() {
		if !process.alive {
			process.start()
		}
	})
}

// request queues a command that expects an answer and passes the answer to fn. newCommand makes the
// command from the request number. A process that is down drops the command.
func (process *controllerProcess) request(newCommand func(uint64) message.Command, fn func(message.Effect)) {
	if !process.alive {
		return
	}
	process.next++
	process.replies[process.next] = fn
	process.enqueue(newCommand(process.next))
}

// enqueue queues a command for the next step.
func (process *controllerProcess) enqueue(command message.Command) {
	process.queue = append(process.queue, command)
	process.scheduleStep()
}

// scheduleStep schedules a step unless one is scheduled already. A paused process runs the step
// when it resumes.
func (process *controllerProcess) scheduleStep() {
	if process.stepScheduled {
		return
	}
	process.stepScheduled = true
	incarnation := process.incarnation
	process.world.schedule(max(time.Millisecond, process.pausedUntil.Sub(process.world.now)), func() {
		if process.incarnation != incarnation {
			return
		}
		process.stepScheduled = false
		process.step()
	})
}

// Pause pauses the process of controller i for the given duration. The clock of the process runs
// on.
func (world *World) Pause(i int, duration time.Duration) {
	process := world.controllers[i]
	process.pausedUntil = world.now.Add(duration)
	world.resumeWhenDue(process)
}

// PauseBefore pauses, for the given duration, the first selected process that is about to send a
// matching effect. The process sends the effect, which it decided on before the pause, only when it
// resumes.
func (world *World) PauseBefore(duration time.Duration, matches func(message.Effect) bool, selects func(*controllerProcess) bool) {
	world.pauseDuration = duration
	world.pauseCondition = func(process *controllerProcess, effect message.Effect) bool {
		return selects(process) && matches(effect)
	}
}

// resumeWhenDue schedules the end of a pause, at which the process sends its held effects.
func (world *World) resumeWhenDue(process *controllerProcess) {
	incarnation := process.incarnation
	world.schedule(process.pausedUntil.Sub(world.now), func() {
		if process.incarnation != incarnation {
			return
		}
		held := process.heldEffects
		process.heldEffects = nil
		for _, effect := range held {
			process.send(effect)
		}
		process.scheduleStep()
	})
}

// send executes an effect. If the deadline of the effect has passed, send executes or queues what
// controller.CheckDeadline returns instead.
func (process *controllerProcess) send(effect message.Effect) {
	if back, instead, late := controller.CheckDeadline(effect, process.localTime()); late {
		if back != nil {
			process.enqueue(back)
		} else {
			process.execute(instead)
		}
		return
	}
	process.execute(effect)
}

// step passes the queued commands to the controller, sends the controller's effects and schedules
// the next step.
func (process *controllerProcess) step() {
	if process.world.now.Before(process.pausedUntil) {
		process.scheduleStep()
		return
	}
	commands := process.queue
	process.queue = nil
	began := time.Now()
	effects := process.controller.Step(process.localTime(), commands)
	process.world.stepTime += time.Since(began)
	process.delayForCompute(len(commands), len(effects))
	for _, effect := range effects {
		process.checkDirectRequest(effect)
		process.world.rankingCheck.onDecision(process, effect)
		if process.world.corruptEffect != nil {
			if effect = process.world.corruptEffect(effect); effect == nil {
				continue
			}
		}
		if process.world.crashIfMatched(process, effect) {
			return
		}
		if process.world.pauseCondition != nil && process.world.pauseCondition(process, effect) {
			process.world.pauseCondition = nil
			process.pausedUntil = process.world.now.Add(process.world.pauseDuration)
			process.world.resumeWhenDue(process)
		}
		if process.world.now.Before(process.pausedUntil) {
			process.heldEffects = append(process.heldEffects, effect)
			continue
		}
		process.send(effect)
	}
	deadline := process.controller.Deadline()
	if deadline.IsZero() || process.stepScheduled {
		return
	}
	deadline = deadline.Add(-process.clockSkew)
	if process.wakeAt.IsZero() || deadline.Before(process.wakeAt) || !process.wakeAt.After(process.world.now) {
		process.wakeAt = deadline
		incarnation := process.incarnation
		process.world.schedule(max(deadline.Sub(process.world.now), time.Millisecond), func() {
			if process.incarnation == incarnation && !process.stepScheduled {
				process.step()
			}
		})
	}
}

// checkDirectRequest reports a direct request to a worker that starts a task. The network may deliver
// such a request again to a later process of the worker, which would start the task again.
func (process *controllerProcess) checkDirectRequest(effect message.Effect) {
	request, ok := effect.(message.WorkerRequest)
	if !ok {
		return
	}
	for _, command := range request.Commands {
		if command.Kind == model.StartTask {
			process.world.reportViolation("direct_start", "%s starts %s/%d on %s", process.name, command.Job, command.Index, request.Machine)
		}
	}
}

// call sends a request with a deadline; exec executes it at the receiver. If no answer arrives by
// the deadline, the controller gets fail instead. With mayRepeat the duplicate fault may execute
// the request twice.
func (process *controllerProcess) call(to string, mayRepeat bool, deadline time.Duration, exec func(answer func(message.Command)), fail message.Command) {
	process.callWithLimit(to, mayRepeat, deadline, exec, fail, nil)
}

// callState is call for the state service. If the state service answers that a rate limit is
// exceeded, onRateLimited is called and the controller does not get the answer.
func (process *controllerProcess) callState(mayRepeat bool, deadline time.Duration, exec func(answer func(message.Command)), fail message.Command, onRateLimited func()) {
	process.callWithLimit("state", mayRepeat, deadline, exec, fail, onRateLimited)
}

// callWithLimit is call with onRateLimited as in callState. onRateLimited may be nil if the
// receiver is not the state service.
func (process *controllerProcess) callWithLimit(to string, mayRepeat bool, deadline time.Duration, exec func(answer func(message.Command)), fail message.Command, onRateLimited func()) {
	world, incarnation := process.world, process.incarnation
	finished := false
	finish := func(command message.Command) {
		if finished || process.incarnation != incarnation {
			return
		}
		finished = true
		if response, ok := command.(message.StoreResponse); ok && response.Status == StoreRateLimited {
			onRateLimited()
			return
		}
		process.enqueue(command)
	}
	answer := func(command message.Command) { world.sendMessage(to, process.name, func() { finish(command) }) }
	if mayRepeat && world.duplicateRate > 0 && world.rng.Float64() < world.duplicateRate {
		discard := func(message.Command) {}
		world.schedule(world.randomDelay(), func() { world.sendMessage(process.name, to, func() { exec(discard) }) })
		if to != "state" {
			answer = discard
		}
	}
	if mayRepeat || to == "cloud" {
		answer = process.answerAndRepeat(to, exec, answer)
	}
	world.sendMessage(process.name, to, func() { exec(answer) })
	world.schedule(deadline, func() { finish(fail) })
}

// answerAndRepeat returns an answer function after which the network may deliver the request again.
func (process *controllerProcess) answerAndRepeat(to string, exec func(answer func(message.Command)), answer func(message.Command)) func(message.Command) {
	receiver := to
	if process.world.machines[to] != nil {
		receiver = "worker"
	}
	return func(command message.Command) {
		answer(command)
		process.world.maybeRepeat(receiver, process.name, to, func() { exec(func(message.Command) {}) })
	}
}

// sendStoreRequest sends a request to the state service. While the state service answers that a
// rate limit is exceeded, sendStoreRequest sends the request again until the given time, as the
// real client does.
func (process *controllerProcess) sendStoreRequest(request message.StoreRequest, until time.Time) {
	world, incarnation := process.world, process.incarnation
	sent := process.localTime()
	done := func(answer func(message.Command)) func(message.StoreResponse) {
		return func(response message.StoreResponse) {
			response.SentAt = sent
			world.rankingCheck.noteRanking()
			answer(response)
		}
	}
	exec := func(answer func(message.Command)) {
		switch {
		case request.Kind == message.OpWatch && request.WatchTimeout > 0:
			process.openWatch(request, until, done(answer))
		case world.stateOutage || process.stateRefused:
			answer(message.StoreResponse{ID: request.ID, Status: message.StoreRefused, SentAt: sent})
		default:
			world.state.Do(world.now, request, done(answer))
		}
	}
	process.callState(request.Kind == message.OpTxn, until.Sub(world.now), func(answer func(message.Command)) {
		if delay, ok := world.delayWrite(request); ok {
			wasValid := !world.state.malformed(&request)
			world.schedule(delay, func() {
				if wasValid && world.state.malformed(&request) {
					// The limits were lowered while the request was on its way: the state service
					// refuses the request, and nobody waits for the answer.
					return
				}
				exec(func(message.Command) {})
			})
			return
		}
		exec(answer)
	}, message.StoreResponse{ID: request.ID, Status: message.StoreUnknown}, func() {
		pause := state.RetryPause + time.Duration(world.rng.Int64N(int64(state.RetryJitter)))
		world.schedule(pause, func() {
			switch {
			case process.incarnation != incarnation:
			case world.now.Before(until):
				process.sendStoreRequest(request, until)
			default:
				process.enqueue(message.StoreResponse{ID: request.ID, Status: message.StoreRefused})
			}
		})
	})
}

// openWatch opens a watch. While the state service is unavailable or refuses this controller, the
// watch gets no answer. openWatch opens it again when the fault is over, unless the deadline until
// has passed, after which the process does not wait for the answer.
func (process *controllerProcess) openWatch(request message.StoreRequest, until time.Time, answer func(message.StoreResponse)) {
	world := process.world
	unavailable := func() bool {
		if !world.stateOutage && !process.stateRefused {
			return false
		}
		if world.now.Before(until) {
			world.schedule(tickInterval, func() { process.openWatch(request, until, answer) })
		}
		return true
	}
	if unavailable() {
		return
	}
	world.state.Do(world.now, request, func(response message.StoreResponse) {
		if !unavailable() {
			answer(response)
		}
	})
}

// execute executes an effect of the controller.
func (process *controllerProcess) execute(effect message.Effect) {
	world := process.world
	world.rankingCheck.onSend(process, effect)
	switch e := effect.(type) {
	case message.StoreRequest:
		process.executeStoreRequest(e)
	case message.Rates:
		process.limiter.SetRates(world.now, e)
	case message.CloudRequest:
		process.checkLeader(e)
		process.call("cloud", false, cloudTimeout, func(answer func(message.Command)) { answer(world.executeCloud(e)) }, message.CloudResponse{ID: e.ID, Status: message.CloudUnknown})
	case message.WorkerRequest:
		process.executeWorkerRequest(e)
	case message.UserReply:
		world.noteCancelConfirmed(e)
		process.reply(e.Reply, e)
	case message.HeartbeatReply:
		process.reply(e.Reply, e)
	case message.RankingReply:
		process.reply(e.Reply, e)
	case message.StatusReply:
		process.reply(e.Reply, e)
	case message.PromiseReply:
		process.reply(e.Reply, e)
	case message.SendPeerUpdate:
		if i := world.controllerIndex(e.To); i >= 0 {
			deliver := func() {
				if world.controllers[i].alive {
					world.controllers[i].enqueue(e.Update)
				}
			}
			world.sendMessage(process.name, e.To, func() {
				deliver()
				world.maybeRepeat("peer", process.name, e.To, deliver)
			})
		}
	case message.Log:
		if !e.Debug || world.trace != "" && containsAny(fmt.Sprint(e.Args...), world.trace) {
			world.logs = append(world.logs, fmt.Sprintf("%.1f %s %s %v", world.now.Sub(world.startedAt).Seconds(), process.name, e.Message, e.Args))
		}
	}
}

// executeStoreRequest sends a request to the state service when the process's rate limiter allows
// it, as the real client does.
func (process *controllerProcess) executeStoreRequest(request message.StoreRequest) {
	world, incarnation := process.world, process.incarnation
	delay, ok := process.limiter.Reserve(world.now, request)
	if !ok {
		process.enqueue(message.StoreResponse{ID: request.ID, Status: message.StoreRefused})
		return
	}
	world.schedule(delay, func() {
		if process.incarnation == incarnation {
			process.sendStoreRequest(request, world.now.Add(state.Timeout(request)))
		}
	})
}

// executeWorkerRequest sends a request to the address of a machine's worker.
func (process *controllerProcess) executeWorkerRequest(request message.WorkerRequest) {
	world := process.world
	failed := message.WorkerResponse{ID: request.ID}
	machine := world.machines[request.Machine]
	if machine == nil {
		process.enqueue(failed)
		return
	}
	if process.delayCommand(machine, request) {
		process.call(machine.ID, false, workerTimeout, func(func(message.Command)) {}, failed)
		return
	}
	process.call(machine.ID, !request.StatusOnly, workerTimeout, func(answer func(message.Command)) {
		if world.now.Before(machine.upAt) {
			return
		}
		response := world.executeDirect(machine, request)
		if response.OK {
			world.keepRequest(request)
		}
		answer(response)
	}, failed)
}

// reply passes the answer to the function that the sender of request id registered.
func (process *controllerProcess) reply(id uint64, effect message.Effect) {
	if fn := process.replies[id]; fn != nil {
		delete(process.replies, id)
		fn(effect)
	}
}
