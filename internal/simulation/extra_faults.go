package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// This file has further faults: users who cancel many jobs at a time, cancel jobs when the last
// task is done, ask all controllers within milliseconds or send invalid requests; machines that
// reach no controller; delayed direct commands; copies of heartbeats that the next leader receives;
// and slow controllers.

// extraFaultKinds are the kinds of the faults of this file. Faults are drawn uniformly from the
// list, so a repeated kind is drawn more often. A name with a point means a variant of the kind
// before the point.
var extraFaultKinds = []string{
	"cancel_now", "cancel_now", "cancel_at_end", "machine_mute", "machine_mute", "odd_requests", "close_looks",
	"late_writes.at_once", "copies.for_next", "copies.for_next", "late_commands", "late_commands", "late_commands", "slow_node",
}

const (
	// massCancelWithin is the time within which cancel_now cancels its jobs. maxHungMachines is the
	// maximum number of their machines that hang. minRemainingRunTime is the run time that a task
	// of a job must have left for the job to be cancelled.
	massCancelWithin    = 200 * time.Millisecond
	maxHungMachines     = 8
	minRemainingRunTime = 20 * time.Second
	// minCommandDelay and maxCommandDelay bound the delay of a delayed direct command.
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 16 * time.Second
	// invalidRequestInterval is the mean interval between invalid requests.
	invalidRequestInterval = 250 * time.Millisecond
	// concurrentReadWindow is the time within which a user queries all controllers, and
	// readsPerController the number of queries to each. One in cancelOneIn of these users cancels
	// the job in the same window.
	concurrentReadWindow = 20 * time.Millisecond
	readsPerController   = 2
	cancelOneIn          = 10
	// stepBaseTime is the usual duration of a controller's step, and stepItemTime the time that
	// each command and effect adds to it.
	stepBaseTime = time.Millisecond
	stepItemTime = 200 * time.Microsecond
	// maxHeldHeartbeats is the maximum number of heartbeat copies that are kept for the next
	// leader.
	maxHeldHeartbeats = 1000
)

// extraFaultState is the state of this file's faults in a world.
type extraFaultState struct {
	// lateCommandRate is the fraction of the direct commands that are delayed. The fault lasts
	// until lateCommandsUntil.
	lateCommandRate   float64
	lateCommandsUntil time.Time
	// lateCommandsDone counts the delayed commands that a worker accepted. heartbeatsReplayed
	// counts the kept heartbeats that were sent after a change of the leader.
	lateCommandsDone, heartbeatsReplayed int
	// cancelAtEndRate is the fraction of the jobs that are cancelled when their last task is done.
	// The fault lasts until cancelAtEndUntil.
	cancelAtEndRate  float64
	cancelAtEndUntil time.Time
	// invalidRequestsUntil and concurrentReadsUntil are the times until which users send invalid
	// requests and concurrent reads.
	invalidRequestsUntil, concurrentReadsUntil time.Time
	// loseWriteResponses makes late writes execute at once, so that only their answers are lost.
	loseWriteResponses bool
	// replayToNextLeader makes the world keep copies of heartbeats in heldHeartbeats. The copies
	// are sent when a controller other than leaderAtCapture is the leader, and dropped at
	// holdHeartbeatsUntil.
	replayToNextLeader  bool
	heldHeartbeats      []model.Heartbeat
	holdHeartbeatsUntil time.Time
	leaderAtCapture     string
	// invalidJobs counts the invalid jobs that were submitted.
	invalidJobs int
}

// generateExtraFault draws a fault of this file. The caller sets At.
func (d *Day) generateExtraFault(rng *rand.Rand) Fault {
	kind := extraFaultKinds[rng.IntN(len(extraFaultKinds))]
	oneOf := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	f := Fault{Kind: kind, Duration: logUniform(rng, 8*time.Second, 90*time.Second), Controller: rng.IntN(d.Controllers)}
	switch kind {
	case "cancel_now":
		f.Count, f.Duration = 1+rng.IntN(40), time.Second
		if rng.IntN(3) > 0 {
			f.Duration = logUniform(rng, time.Second, 2*d.cancelWithin())
		}
	case "cancel_at_end":
		f.Fraction = oneOf(0.1, 0.5, 1)
	case "machine_mute":
		f.Fraction = oneOf(1e-9, 0.1, 1)
		if f.Fraction == 1 {
			f.Zone = d.Settings.Zones[len(d.Settings.Zones)-1]
		}
	case "late_writes.at_once":
		f.Kind, f.Immediate, f.Fraction = "late_writes", true, oneOf(0.05, 0.2, 0.5)
	case "copies.for_next":
		f.Kind, f.ForNextLeader = "copies", true
		f.Delay, f.Fraction = logUniform(rng, 2*time.Second, 5*d.Settings.WorkerLease), oneOf(0.05, 0.3, 1)
	case "late_commands":
		f.Fraction = oneOf(0.05, 0.3, 1)
	case "slow_node":
		f.SlowFactor, f.Busiest = 4+16*rng.Float64(), rng.IntN(3) > 0
	}
	return f
}

// startExtraFault begins a fault if its kind belongs to this file, and reports whether it does.
func (w *World) startExtraFault(f Fault, rng *rand.Rand) bool {
	until := w.now.Add(f.Duration)
	switch f.Kind {
	case "cancel_now":
		w.CancelLongRunning(f.Count, f.Duration)
	case "cancel_at_end":
		w.cancelAtEndRate, w.cancelAtEndUntil = f.Fraction, until
	case "machine_mute":
		w.MakeUnheard(w.SampleMachineIDs(f.Fraction, f.Zone, rng), f.Duration)
	case "odd_requests":
		w.SendInvalidRequests(f.Duration)
	case "close_looks":
		w.concurrentReadsUntil = until
	case "late_commands":
		w.DelayCommands(f.Fraction, f.Duration)
	case "slow_node":
		p := w.controllers[f.Controller%len(w.controllers)]
		p.slowUntil, p.slowFactor = until, f.SlowFactor
	default:
		return false
	}
	return true
}

// CancelLongRunning cancels up to count running jobs within massCancelWithin: the jobs with the
// longest remaining run time, of at least minRemainingRunTime. Up to maxHungMachines of their
// machines hang for the duration hang from the cancellation on.
func (w *World) CancelLongRunning(count int, hang time.Duration) {
	remaining := map[string]time.Duration{}
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		w.eachRunningTask(j, func(t *workerTask, _ *Worker) {
			if !j.cancelRequested && t.status == model.Running {
				remaining[id] = max(remaining[id], t.remaining)
			}
		})
	}
	ids := slices.DeleteFunc(sortedKeys(remaining), func(id string) bool { return remaining[id] < minRemainingRunTime })
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(remaining[b], remaining[a]) })
	hung := map[*Worker]bool{}
	for _, id := range ids[:min(count, len(ids))] {
		w.schedule(time.Duration(w.rng.Int64N(int64(massCancelWithin))), func() {
			w.Cancel(id)
			w.eachRunningTask(w.jobs[id], func(_ *workerTask, m *Worker) {
				if hang > 0 && len(hung) < maxHungMachines && !hung[m] {
					hung[m] = true
					m.hungUntil = w.now.Add(hang)
				}
			})
		})
	}
}

// eachRunningTask calls fn with each attempt of a job that takes resources of a machine.
func (w *World) eachRunningTask(j *userJob, fn func(*workerTask, *Worker)) {
	for i := range j.spec.Tasks {
		for _, m := range j.machines[i] {
			for _, k := range sortedKeys(m.tasks) {
				if t := m.tasks[k]; t.job == j && t.index == i && t.onMachine() {
					fn(t, m)
				}
			}
		}
	}
}

// maybeCancelAtEnd cancels a job whose last task is done, with probability cancelAtEndRate while
// the fault lasts.
func (w *World) maybeCancelAtEnd(j *userJob) {
	if len(j.doneTasks) < j.spec.Tasks || j.cancelRequested || !w.now.Before(w.cancelAtEndUntil) || w.rng.Float64() >= w.cancelAtEndRate {
		return
	}
	w.Cancel(j.spec.ID)
}

// MakeUnheard keeps the heartbeats of machines from reaching any controller for d. Direct requests
// still reach the machines and are answered.
func (w *World) MakeUnheard(ids []string, d time.Duration) {
	for _, id := range ids {
		if m := w.machines[id]; m != nil {
			m.unheardUntil = w.now.Add(d)
		}
	}
}

// delayForCompute pauses a slow process for the duration of a step, so that it sends the effects of
// the step later.
func (p *controllerProcess) delayForCompute(commands, effects int) {
	w := p.world
	if !w.now.Before(p.slowUntil) || commands+effects == 0 || w.now.Before(p.pausedUntil) {
		return
	}
	took := stepBaseTime + time.Duration(commands+effects)*stepItemTime
	p.pausedUntil = w.now.Add(time.Duration(p.slowFactor * float64(took)))
	w.resumeWhenDue(p)
}

// DelayCommands delays a fraction of the direct commands that controllers send during the next d. A
// delayed command gets no answer. The worker executes it once, late, if epoch and incarnation still
// match.
func (w *World) DelayCommands(fraction float64, d time.Duration) {
	w.lateCommandRate, w.lateCommandsUntil = fraction, w.now.Add(d)
}

// delayCommand decides whether a direct request to m is delayed and reports it. It schedules the
// delivery of a delayed request, which is lost if the worker restarts before.
func (p *controllerProcess) delayCommand(m *Worker, op message.WorkerRequest) bool {
	w := p.world
	if op.StatusOnly || !w.now.Before(w.lateCommandsUntil) || w.rng.Float64() >= w.lateCommandRate {
		return false
	}
	process := m.process
	d := minCommandDelay + time.Duration(w.rng.Int64N(int64(maxCommandDelay-minCommandDelay)))
	w.schedule(d, func() {
		if m.process != process {
			return
		}
		w.sendMessage(p.name, m.ID, func() {
			if !w.now.Before(m.upAt) && w.executeDirect(m, op).OK {
				w.lateCommandsDone++
			}
		})
	})
	return true
}

// holdHeartbeat keeps a copy of a heartbeat for the next leader.
func (w *World) holdHeartbeat(r model.Heartbeat) {
	if len(w.heldHeartbeats) == 0 {
		w.leaderAtCapture = w.leaderName()
	}
	if len(w.heldHeartbeats) < maxHeldHeartbeats {
		w.heldHeartbeats = append(w.heldHeartbeats, r)
	}
}

// replayHeldHeartbeats delivers the kept heartbeats to every controller, in random order within a
// second, as soon as another controller is the leader.
func (w *World) replayHeldHeartbeats() {
	if len(w.heldHeartbeats) == 0 {
		return
	}
	if !w.now.Before(w.holdHeartbeatsUntil) {
		w.heldHeartbeats = nil
		return
	}
	leader := w.leaderName()
	if leader == "" || leader == w.leaderAtCapture {
		return
	}
	held := w.heldHeartbeats
	w.heldHeartbeats = nil
	w.heartbeatsReplayed += len(held)
	for _, p := range w.controllers {
		for _, r := range held {
			w.schedule(time.Duration(w.rng.Int64N(int64(time.Second))), func() {
				p.deliverHeartbeat(r, func(message.Effect) {})
			})
		}
	}
}

// readConcurrently queries a job and repeats its submission at all controllers within
// concurrentReadWindow, while the fault lasts. It is called after an answer with a new state. Some
// users also cancel the job.
func (w *World) readConcurrently(j *userJob) {
	if !w.now.Before(w.concurrentReadsUntil) {
		return
	}
	withinWindow := func() time.Duration { return time.Duration(w.rng.Int64N(int64(concurrentReadWindow))) }
	for i := range w.controllers {
		for range readsPerController {
			w.schedule(withinWindow(), func() {
				w.checkedRequest(i, j, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: j.spec.ID} })
			})
		}
		w.schedule(withinWindow(), func() {
			w.checkedRequest(i, j, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: j.spec} })
		})
	}
	if !j.cancelRequested && !isFinal(j.lastState) && w.rng.IntN(cancelOneIn) == 0 {
		j.cancelRequested = true
		w.schedule(withinWindow(), func() { w.Cancel(j.spec.ID) })
	}
}

// isFinal reports whether a job in this state stays in it.
func isFinal(state string) bool { return state == "done" || state == "cancelled" }

// checkedRequest sends a request about an accepted job to one controller. The answer must agree
// with what the user knew when he sent the request: the job exists, and a final state has not
// changed.
func (w *World) checkedRequest(to int, j *userJob, newCommand func(uint64) message.Command) {
	id, lastState, requestedAt := j.spec.ID, j.lastState, w.now
	w.userRequestTo(to, newCommand, 2*time.Second, func(r *message.UserReply) {
		switch {
		case r == nil:
		case r.Status == http.StatusNotFound || r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity:
			w.violate("forgotten", "%s answered %d by %s", id, r.Status, w.controllers[to].name)
		case r.Status != http.StatusOK && r.Status != http.StatusCreated:
		case isFinal(lastState) && r.State != lastState:
			w.violate("went_back", "%s was %s, is called %s by %s", id, lastState, r.State, w.controllers[to].name)
		case isFinal(r.State) && !isFinal(j.lastState):
			w.checkAnswer(j, requestedAt, r)
		}
	})
}

// SendInvalidRequests makes users send superfluous and invalid requests for d: they submit
// unfinished jobs again, cancel done jobs, and submit jobs that fit no machine or lack a field.
func (w *World) SendInvalidRequests(d time.Duration) {
	running := w.now.Before(w.invalidRequestsUntil)
	w.invalidRequestsUntil = w.now.Add(d)
	if !running {
		w.sendNextInvalidRequest()
	}
}

// sendNextInvalidRequest sends one request of SendInvalidRequests and schedules the next.
func (w *World) sendNextInvalidRequest() {
	if !w.now.Before(w.invalidRequestsUntil) {
		return
	}
	w.schedule(w.jitter(invalidRequestInterval), w.sendNextInvalidRequest)
	var unfinished, done []*userJob
	for _, id := range sortedKeys(w.jobs) {
		switch j := w.jobs[id]; {
		case j.lastState == "done" && !j.cancelRequested:
			done = append(done, j)
		case j.accepted && !isFinal(j.lastState):
			unfinished = append(unfinished, j)
		}
	}
	switch k := w.rng.IntN(4); {
	case k == 0 && len(unfinished) > 0:
		j := unfinished[w.rng.IntN(len(unfinished))]
		w.checkedRequest(w.rng.IntN(len(w.controllers)), j, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: j.spec} })
	case k == 1 && len(done) > 0:
		j := done[w.rng.IntN(len(done))]
		w.checkedRequest(w.rng.IntN(len(w.controllers)), j, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: j.spec.ID} })
	case k >= 2 && len(unfinished) > 0:
		w.submitInvalidJob(unfinished[w.rng.IntN(len(unfinished))].spec)
	}
}

// submitInvalidJob submits a variant of s that fits no machine, names an unknown machine type, zone
// or team, or lacks a field. The controllers must not accept it.
func (w *World) submitInvalidJob(s model.JobSpec) {
	w.invalidJobs++
	s.ID = fmt.Sprintf("job-8%05d", w.invalidJobs)
	c := message.SubmitJob{Spec: s}
	switch w.rng.IntN(5) {
	case 0:
		c.Spec.Need.CPU = 1e6
	case 1:
		c.Spec.MachineTypes = []string{"none"}
	case 2:
		c.Spec.Zone = "nowhere"
	case 3:
		c.Spec.Team = "nobody"
	case 4:
		c = message.SubmitJob{Spec: model.JobSpec{ID: s.ID}, MalformedReason: "pieces is missing"}
	}
	w.userRequest(func(r uint64) message.Command { c.Reply = r; return c }, 5*time.Second, func(r *message.UserReply) {
		if r != nil && (r.Status == http.StatusOK || r.Status == http.StatusCreated) {
			w.violate("accepted_odd", "%s answered %d", s.ID, r.Status)
		}
	})
}
