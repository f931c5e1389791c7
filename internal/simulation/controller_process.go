package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/state"
)

// This file models the process of a controller: its start, crash and pause, and the execution of
// the effects that the controller emits.

const (
	// workerTimeout is how long a controller waits for a worker's answer to a direct request.
	workerTimeout = 2 * time.Second
	// cloudTimeout is how long a controller waits for an answer of the cloud.
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
func (p *controllerProcess) localTime() time.Time { return p.world.now.Add(p.clockSkew) }

// checkLeader checks that only the leader rents and releases machines. Requests to the cloud carry
// no compares, so the cloud can't refuse requests of a deposed leader.
func (p *controllerProcess) checkLeader(e message.CloudRequest) {
	if e.Kind != message.CloudRent && e.Kind != message.CloudRelease {
		return
	}
	if lead := p.world.leaderName(); lead != "" && lead != p.name {
		p.world.violate("deposed", "%s asks the cloud for %v while %s leads", p.name, e.Kind, lead)
	}
}

// start starts the process with a new controller, which has no state from before.
func (p *controllerProcess) start() {
	p.incarnation++
	p.alive = true
	settings := p.world.settings
	settings.Host, settings.Incarnation = p.name, fmt.Sprintf("%s.%d", p.name, p.incarnation)
	settings.Peers = nil
	settings.CancellationBound = p.world.cancelWithin
	if p.world.leaseOverride > 0 {
		settings.WorkerLease = p.world.leaseOverride
	}
	for _, o := range p.world.controllers {
		if o != p {
			settings.Peers = append(settings.Peers, o.name)
		}
	}
	if p.world.adjustSettings != nil {
		p.world.adjustSettings(p.index, &settings)
	}
	// Until the controller sets its rates, each controller has an equal part of the limits.
	controllerCount := float64(len(p.world.controllers))
	p.limiter = state.NewRateLimiter(p.world.now, message.Rates{Requests: settings.StoreRequestsPerSecond / controllerCount, Writes: settings.StoreWritesPerSecond / controllerCount})
	p.controller = controller.New(settings, rand.New(rand.NewPCG(uint64(p.index)+7, uint64(p.incarnation))))
	p.queue, p.stepScheduled, p.wakeAt = nil, false, time.Time{}
	p.pausedUntil, p.heldEffects = time.Time{}, nil
	p.replies = map[uint64]func(message.Effect){}
	p.scheduleStep()
}

// CrashController crashes the process of controller i and starts it again after d.
func (w *World) CrashController(i int, d time.Duration) {
	p := w.controllers[i]
	p.alive = false
	p.incarnation++
	w.schedule(d, func() {
		if !p.alive {
			p.start()
		}
	})
}

// request queues a command that expects an answer and passes the answer to fn. newCommand makes the
// command from the request number. A process that is down drops the command.
func (p *controllerProcess) request(newCommand func(uint64) message.Command, fn func(message.Effect)) {
	if !p.alive {
		return
	}
	p.next++
	p.replies[p.next] = fn
	p.enqueue(newCommand(p.next))
}

// enqueue queues a command for the next step.
func (p *controllerProcess) enqueue(c message.Command) {
	p.queue = append(p.queue, c)
	p.scheduleStep()
}

// scheduleStep schedules a step unless one is scheduled already. A paused process runs the step
// when it resumes.
func (p *controllerProcess) scheduleStep() {
	if p.stepScheduled {
		return
	}
	p.stepScheduled = true
	incarnation := p.incarnation
	p.world.schedule(max(time.Millisecond, p.pausedUntil.Sub(p.world.now)), func() {
		if p.incarnation != incarnation {
			return
		}
		p.stepScheduled = false
		p.step()
	})
}

// Pause pauses the process of controller i for d. The clock of the process runs on.
func (w *World) Pause(i int, d time.Duration) {
	p := w.controllers[i]
	p.pausedUntil = w.now.Add(d)
	w.resumeWhenDue(p)
}

// PauseBefore pauses, for d, the first selected process that is about to send a matching effect.
// The process sends the effect, which it decided on before the pause, only when it resumes.
func (w *World) PauseBefore(d time.Duration, matches func(message.Effect) bool, selects func(*controllerProcess) bool) {
	w.pauseDuration = d
	w.pauseCondition = func(p *controllerProcess, e message.Effect) bool { return selects(p) && matches(e) }
}

// resumeWhenDue schedules the end of a pause, at which the process sends its held effects.
func (w *World) resumeWhenDue(p *controllerProcess) {
	incarnation := p.incarnation
	w.schedule(p.pausedUntil.Sub(w.now), func() {
		if p.incarnation != incarnation {
			return
		}
		held := p.heldEffects
		p.heldEffects = nil
		for _, e := range held {
			p.send(e)
		}
		p.scheduleStep()
	})
}

// send executes an effect. If the deadline of the effect has passed, send executes or queues what
// controller.CheckDeadline returns instead.
func (p *controllerProcess) send(e message.Effect) {
	if back, instead, late := controller.CheckDeadline(e, p.localTime()); late {
		if back != nil {
			p.enqueue(back)
		} else {
			p.execute(instead)
		}
		return
	}
	p.execute(e)
}

// step passes the queued commands to the controller, sends the controller's effects and schedules
// the next step.
func (p *controllerProcess) step() {
	if p.world.now.Before(p.pausedUntil) {
		p.scheduleStep()
		return
	}
	commands := p.queue
	p.queue = nil
	began := time.Now()
	effects := p.controller.Step(p.localTime(), commands)
	p.world.stepTime += time.Since(began)
	p.delayForCompute(len(commands), len(effects))
	for _, e := range effects {
		p.world.rankingCheck.onDecision(p, e)
		if p.world.corruptEffect != nil {
			if e = p.world.corruptEffect(e); e == nil {
				continue
			}
		}
		if p.world.crashesOn(p, e) {
			return
		}
		if p.world.pauseCondition != nil && p.world.pauseCondition(p, e) {
			p.world.pauseCondition = nil
			p.pausedUntil = p.world.now.Add(p.world.pauseDuration)
			p.world.resumeWhenDue(p)
		}
		if p.world.now.Before(p.pausedUntil) {
			p.heldEffects = append(p.heldEffects, e)
			continue
		}
		p.send(e)
	}
	d := p.controller.Deadline()
	if d.IsZero() || p.stepScheduled {
		return
	}
	d = d.Add(-p.clockSkew)
	if p.wakeAt.IsZero() || d.Before(p.wakeAt) || !p.wakeAt.After(p.world.now) {
		p.wakeAt = d
		incarnation := p.incarnation
		p.world.schedule(max(d.Sub(p.world.now), time.Millisecond), func() {
			if p.incarnation == incarnation && !p.stepScheduled {
				p.step()
			}
		})
	}
}

// call sends a request with a deadline; exec executes it at the receiver. If no answer arrives by
// the deadline, the controller gets fail instead. With mayRepeat the duplicate fault may execute
// the request twice.
func (p *controllerProcess) call(to string, mayRepeat bool, deadline time.Duration, exec func(answer func(message.Command)), fail message.Command) {
	p.callWithLimit(to, mayRepeat, deadline, exec, fail, nil)
}

// callState is call for the state service. If the state service answers that a rate limit is
// exceeded, onRateLimited is called and the controller does not get the answer.
func (p *controllerProcess) callState(mayRepeat bool, deadline time.Duration, exec func(answer func(message.Command)), fail message.Command, onRateLimited func()) {
	p.callWithLimit("state", mayRepeat, deadline, exec, fail, onRateLimited)
}

// callWithLimit is call with onRateLimited as in callState. onRateLimited may be nil if the
// receiver is not the state service.
func (p *controllerProcess) callWithLimit(to string, mayRepeat bool, deadline time.Duration, exec func(answer func(message.Command)), fail message.Command, onRateLimited func()) {
	w, incarnation := p.world, p.incarnation
	finished := false
	finish := func(c message.Command) {
		if finished || p.incarnation != incarnation {
			return
		}
		finished = true
		if d, ok := c.(message.StoreResponse); ok && d.Status == StoreRateLimited {
			onRateLimited()
			return
		}
		p.enqueue(c)
	}
	answer := func(c message.Command) { w.sendMessage(to, p.name, func() { finish(c) }) }
	if mayRepeat && w.duplicateRate > 0 && w.rng.Float64() < w.duplicateRate {
		discard := func(message.Command) {}
		w.schedule(w.randomDelay(), func() { w.sendMessage(p.name, to, func() { exec(discard) }) })
		if to != "state" {
			answer = discard
		}
	}
	w.sendMessage(p.name, to, func() { exec(answer) })
	w.schedule(deadline, func() { finish(fail) })
}

// sendStoreRequest sends a request to the state service. While the state service answers that a
// rate limit is exceeded, sendStoreRequest sends the request again until the given time, as the
// real client does.
func (p *controllerProcess) sendStoreRequest(e message.StoreRequest, until time.Time) {
	w, incarnation := p.world, p.incarnation
	sent := p.localTime()
	done := func(answer func(message.Command)) func(message.StoreResponse) {
		return func(d message.StoreResponse) {
			d.SentAt = sent
			w.rankingCheck.noteRanking()
			answer(d)
		}
	}
	exec := func(answer func(message.Command)) {
		switch {
		case e.Kind == message.OpWatch && e.WatchTimeout > 0:
			p.openWatch(e, until, done(answer))
		case w.stateOutage || p.stateRefused:
			answer(message.StoreResponse{ID: e.ID, Status: message.StoreRefused, SentAt: sent})
		default:
			w.state.Do(w.now, e, done(answer))
		}
	}
	p.callState(e.Kind == message.OpTxn, until.Sub(w.now), func(answer func(message.Command)) {
		if d, ok := w.delayWrite(e); ok {
			wasValid := !w.state.malformed(&e)
			w.schedule(d, func() {
				if wasValid && w.state.malformed(&e) {
					// The limits were lowered while the request was on its way: the state service
					// refuses the request, and nobody waits for the answer.
					return
				}
				exec(func(message.Command) {})
			})
			return
		}
		exec(answer)
	}, message.StoreResponse{ID: e.ID, Status: message.StoreUnknown}, func() {
		pause := state.RetryPause + time.Duration(w.rng.Int64N(int64(state.RetryJitter)))
		w.schedule(pause, func() {
			switch {
			case p.incarnation != incarnation:
			case w.now.Before(until):
				p.sendStoreRequest(e, until)
			default:
				p.enqueue(message.StoreResponse{ID: e.ID, Status: message.StoreRefused})
			}
		})
	})
}

// openWatch opens a watch. While the state service is unavailable or refuses this controller, the
// watch gets no answer. openWatch opens it again when the fault is over, unless the time until has
// passed, when the process has given up the watch.
func (p *controllerProcess) openWatch(e message.StoreRequest, until time.Time, answer func(message.StoreResponse)) {
	w := p.world
	unavailable := func() bool {
		if !w.stateOutage && !p.stateRefused {
			return false
		}
		if w.now.Before(until) {
			w.schedule(tickInterval, func() { p.openWatch(e, until, answer) })
		}
		return true
	}
	if unavailable() {
		return
	}
	w.state.Do(w.now, e, func(d message.StoreResponse) {
		if !unavailable() {
			answer(d)
		}
	})
}

// execute executes an effect of the controller.
func (p *controllerProcess) execute(e message.Effect) {
	w := p.world
	w.rankingCheck.onSend(p, e)
	switch e := e.(type) {
	case message.StoreRequest:
		p.executeStoreRequest(e)
	case message.Rates:
		p.limiter.SetRates(w.now, e)
	case message.CloudRequest:
		p.checkLeader(e)
		p.call("cloud", false, cloudTimeout, func(answer func(message.Command)) { answer(w.executeCloud(e)) }, message.CloudResponse{ID: e.ID, Status: message.CloudUnknown})
	case message.WorkerRequest:
		p.executeWorkerRequest(e)
	case message.UserReply:
		w.noteCancelConfirmed(e)
		p.reply(e.Reply, e)
	case message.HeartbeatReply:
		p.reply(e.Reply, e)
	case message.RankingReply:
		p.reply(e.Reply, e)
	case message.StatusReply:
		p.reply(e.Reply, e)
	case message.PromiseReply:
		p.reply(e.Reply, e)
	case message.SendPeerUpdate:
		if i := w.controllerIndex(e.To); i >= 0 {
			w.sendMessage(p.name, e.To, func() {
				if w.controllers[i].alive {
					w.controllers[i].enqueue(e.Update)
				}
			})
		}
	case message.Log:
		if !e.Debug || w.trace != "" && containsAny(fmt.Sprint(e.Args...), w.trace) {
			w.logs = append(w.logs, fmt.Sprintf("%.1f %s %s %v", w.now.Sub(w.startedAt).Seconds(), p.name, e.Message, e.Args))
		}
	}
}

// executeStoreRequest sends a request to the state service when the process's rate limiter allows
// it, as the real client does.
func (p *controllerProcess) executeStoreRequest(e message.StoreRequest) {
	w, incarnation := p.world, p.incarnation
	d, ok := p.limiter.Reserve(w.now, e)
	if !ok {
		p.enqueue(message.StoreResponse{ID: e.ID, Status: message.StoreRefused})
		return
	}
	w.schedule(d, func() {
		if p.incarnation == incarnation {
			p.sendStoreRequest(e, w.now.Add(state.Timeout(e)))
		}
	})
}

// executeWorkerRequest sends a request to the address of a machine's worker.
func (p *controllerProcess) executeWorkerRequest(e message.WorkerRequest) {
	w := p.world
	failed := message.WorkerResponse{ID: e.ID}
	m := w.machines[e.Machine]
	if m == nil {
		p.enqueue(failed)
		return
	}
	if p.delayCommand(m, e) {
		p.call(m.ID, false, workerTimeout, func(func(message.Command)) {}, failed)
		return
	}
	p.call(m.ID, !e.StatusOnly, workerTimeout, func(answer func(message.Command)) {
		if !w.now.Before(m.upAt) {
			answer(w.executeDirect(m, e))
		}
	}, failed)
}

// reply passes the answer to the function that the sender of request id registered.
func (p *controllerProcess) reply(id uint64, e message.Effect) {
	if fn := p.replies[id]; fn != nil {
		delete(p.replies, id)
		fn(e)
	}
}
