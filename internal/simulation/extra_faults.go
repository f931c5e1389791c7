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

// This file has the faults that were added last: users who cancel much at once or at the moment of
// an end, who ask all controllers within milliseconds or send invalid requests; machines that reach
// no controller; delayed direct commands; copies of heartbeats that are kept for the next leader;
// and slow controllers.

// extraFaultKinds are these faults. A kind that stands more often is drawn more often. A name with
// a point is a variant of the kind before the point.
var extraFaultKinds = []string{
	"cancel_now", "cancel_now", "cancel_at_end", "machine_mute", "machine_mute", "odd_requests", "close_looks",
	"late_writes.at_once", "copies.for_next", "copies.for_next", "late_commands", "late_commands", "late_commands", "slow_node",
}

const (
	// massCancelWithin is how soon cancel_now cancels its jobs, maxHungMachines how many of their
	// machines hang at most, and minRemainingRunTime the run time that tasks must have left for
	// their job to be chosen.
	massCancelWithin    = 200 * time.Millisecond
	maxHungMachines     = 8
	minRemainingRunTime = 20 * time.Second
	// minCommandDelay and maxCommandDelay bound how late a delayed direct command is carried out.
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 16 * time.Second
	// invalidRequestInterval is how often an invalid request is sent.
	invalidRequestInterval = 250 * time.Millisecond
	// concurrentReadWindow is how soon users ask all controllers, readsPerController how often
	// each; one in cancelOneIn cancels at once.
	concurrentReadWindow = 20 * time.Millisecond
	readsPerController   = 2
	cancelOneIn          = 10
	// stepBaseTime is about what a controller's step takes, and stepItemTime what each command and
	// effect adds.
	stepBaseTime = time.Millisecond
	stepItemTime = 200 * time.Microsecond
	// maxHeldHeartbeats bounds the copies that are kept for the next leader.
	maxHeldHeartbeats = 1000
)

// extraFaultState is the state of these faults in a world.
type extraFaultState struct {
	// lateCommandRate is the part of the direct commands that are delayed, until lateCommandsUntil.
	lateCommandRate   float64
	lateCommandsUntil time.Time
	// lateCommandsDone counts delayed commands that were carried out, and heartbeatsReplayed copies
	// that reached a next leader.
	lateCommandsDone, heartbeatsReplayed int
	// cancelAtEndRate is the part of the jobs that are cancelled at their end, until
	// cancelAtEndUntil.
	cancelAtEndRate  float64
	cancelAtEndUntil time.Time
	// invalidRequestsUntil and concurrentReadsUntil: until then users send invalid requests, or
	// read concurrently.
	invalidRequestsUntil, concurrentReadsUntil time.Time
	// loseWriteResponses: late writes are carried out at once, and only the answer is lost.
	loseWriteResponses bool
	// replayToNextLeader: copies of heartbeats are kept in heldHeartbeats until another controller
	// leads than leaderAtCapture, or until holdHeartbeatsUntil.
	replayToNextLeader  bool
	heldHeartbeats      []model.Heartbeat
	holdHeartbeatsUntil time.Time
	leaderAtCapture     string
	// invalidJobs counts submissions of invalid jobs.
	invalidJobs int
}

// generateExtraFault draws one of this file's faults, without its begin.
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

// startExtraFault begins a fault of this file, and reports whether it is one.
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

// CancelLongRunning cancels up to count jobs that run and have long to go, within massCancelWithin.
// Up to maxHungMachines of their machines hang for that long, unless hang is 0.
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

// eachRunningTask calls fn with all attempts of a job that are on machines.
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

// maybeCancelAtEnd cancels some jobs at the moment when their last task is done.
func (w *World) maybeCancelAtEnd(j *userJob) {
	if len(j.doneTasks) < j.spec.Tasks || j.cancelRequested || !w.now.Before(w.cancelAtEndUntil) || w.rng.Float64() >= w.cancelAtEndRate {
		return
	}
	w.Cancel(j.spec.ID)
}

// MakeUnheard keeps machines from reaching any controller for d, while direct requests reach them
// and are answered.
func (w *World) MakeUnheard(ids []string, d time.Duration) {
	for _, id := range ids {
		if m := w.machines[id]; m != nil {
			m.unheardUntil = w.now.Add(d)
		}
	}
}

// delayForCompute pauses a slow process for what a step took, before it sends the effects.
func (p *controllerProcess) delayForCompute(commands, effects int) {
	w := p.world
	if !w.now.Before(p.slowUntil) || commands+effects == 0 || w.now.Before(p.pausedUntil) {
		return
	}
	took := stepBaseTime + time.Duration(commands+effects)*stepItemTime
	p.pausedUntil = w.now.Add(time.Duration(p.slowFactor * float64(took)))
	w.resumeWhenDue(p)
}

// DelayCommands delays a part of the direct commands of the next d. They get no answer, and are
// carried out once, late, if epoch and incarnation still match.
func (w *World) DelayCommands(fraction float64, d time.Duration) {
	w.lateCommandRate, w.lateCommandsUntil = fraction, w.now.Add(d)
}

// delayCommand reports whether a direct request to m is delayed, and delivers it later.
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

// replayHeldHeartbeats delivers the kept copies to every controller, in random order, as soon as
// another one leads.
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

// readConcurrently queries a job at all controllers within milliseconds of an answer about it, and
// repeats its submission. Some users cancel at once.
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

// isFinal reports whether a job's state is final.
func isFinal(state string) bool { return state == "done" || state == "cancelled" }

// checkedRequest sends a request about a job to one controller. The answer must not be older than
// what the user knew when it was sent.
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

// SendInvalidRequests repeats submissions of unfinished jobs, cancels done ones, and submits jobs
// that fit no machine or lack a field, for d.
func (w *World) SendInvalidRequests(d time.Duration) {
	running := w.now.Before(w.invalidRequestsUntil)
	w.invalidRequestsUntil = w.now.Add(d)
	if !running {
		w.sendNextInvalidRequest()
	}
}

// sendNextInvalidRequest sends one such request and schedules the next.
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

// submitInvalidJob submits a job like s that fits no machine, names something unknown, or lacks a
// field. It must not be accepted.
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
