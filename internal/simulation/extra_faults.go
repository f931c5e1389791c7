package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// later.go has the troubles that came to the operators' list last: users who cancel much
// at once, or at the moment of an end, who ask at all controllers within milliseconds or
// send odd requests; machines that reach no controller; direct commands that are held up,
// and reports whose copy is kept for the next leader; and controllers that compute slowly.

// extraFaultKinds are these troubles, the likelier the oftener they stand. Those with a point
// are a form of the trouble before it.
var extraFaultKinds = []string{
	"cancel_now", "cancel_now", "cancel_at_end", "machine_mute", "machine_mute", "odd_requests", "close_looks",
	"late_writes.at_once", "copies.for_next", "copies.for_next", "late_commands", "late_commands", "late_commands", "slow_node",
}

const (
	// massCancelWithin is in how long that many jobs are called off, maxHungMachines how many of
	// their machines hang, and minRemainingRunTime what the tasks of a job have left that has long to
	// go.
	massCancelWithin    = 200 * time.Millisecond
	maxHungMachines     = 8
	minRemainingRunTime = 20 * time.Second
	// minCommandDelay and maxCommandDelay are how much later than it was sent a direct
	// command is carried out that is held up.
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 16 * time.Second
	// invalidRequestInterval is how often an odd request is sent.
	invalidRequestInterval = 250 * time.Millisecond
	// concurrentReadWindow is in how long users ask at all controllers, and readsPerController how often at
	// each; one in cancelOneIn cancels at once.
	concurrentReadWindow = 20 * time.Millisecond
	readsPerController   = 2
	cancelOneIn          = 10
	// stepBaseTime is about what a step of a controller takes, and stepItemTime what each command
	// and effect of it adds.
	stepBaseTime = time.Millisecond
	stepItemTime = 200 * time.Microsecond
	// maxHeldHeartbeats bounds the copies that are kept for the next leader.
	maxHeldHeartbeats = 1000
)

// extraFaultState is what holds of them now.
type extraFaultState struct {
	// lateCommandRate is the share of direct commands that is held up until lateCommandsUntil.
	lateCommandRate   float64
	lateCommandsUntil time.Time
	// lateCommandsDone counts those that were carried out, and heartbeatsReplayed the copies that
	// reached a next leader.
	lateCommandsDone, heartbeatsReplayed int
	// cancelAtEndRate is the share of jobs that is cancelled at its end until cancelAtEndUntil.
	cancelAtEndRate  float64
	cancelAtEndUntil time.Time
	// invalidRequestsUntil and concurrentReadsUntil: users send odd requests, or look closely, until then.
	invalidRequestsUntil, concurrentReadsUntil time.Time
	// loseWriteResponses: late writes are carried out at once, and only the answer is lost.
	loseWriteResponses bool
	// replayToNextLeader: copies of reports are kept, in kept, until another controller leads
	// than leaderAtCapture, or until holdHeartbeatsUntil.
	replayToNextLeader  bool
	heldHeartbeats      []model.Heartbeat
	holdHeartbeatsUntil time.Time
	leaderAtCapture     string
	// invalidJobs counts odd jobs.
	invalidJobs int
}

// generateExtraFault draws one of this file's troubles, but for when it begins.
func (d *Day) generateExtraFault(rng *rand.Rand) Fault {
	kind := extraFaultKinds[rng.IntN(len(extraFaultKinds))]
	share := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	f := Fault{Kind: kind, Duration: logUniform(rng, 8*time.Second, 90*time.Second), Controller: rng.IntN(d.Controllers)}
	switch kind {
	case "cancel_now":
		f.Count, f.Duration = 1+rng.IntN(40), time.Second
		if rng.IntN(3) > 0 {
			f.Duration = logUniform(rng, time.Second, 2*d.cancelWithin())
		}
	case "cancel_at_end":
		f.Fraction = share(0.1, 0.5, 1)
	case "machine_mute":
		f.Fraction = share(1e-9, 0.1, 1)
		if f.Fraction == 1 {
			f.Zone = d.Settings.Zones[len(d.Settings.Zones)-1]
		}
	case "late_writes.at_once":
		f.Kind, f.Immediate, f.Fraction = "late_writes", true, share(0.05, 0.2, 0.5)
	case "copies.for_next":
		f.Kind, f.ForNextLeader = "copies", true
		f.Delay, f.Fraction = logUniform(rng, 2*time.Second, 5*d.Settings.WorkerLease), share(0.05, 0.3, 1)
	case "late_commands":
		f.Fraction = share(0.05, 0.3, 1)
	case "slow_node":
		f.SlowFactor, f.Busiest = 4+16*rng.Float64(), rng.IntN(3) > 0
	}
	return f
}

// startExtraFault lets one of this file's troubles begin, and says whether it is one.
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

// CancelLongRunning has users call off that many jobs that run and have long to go, within a
// fifth of a second; up to eight of their machines hang for so long, unless that is 0.
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

// eachRunningTask calls fn with all tasks of a job that are on machines.
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

// maybeCancelAtEnd is told of the end of a task: at the moment of the last one some users cancel.
func (w *World) maybeCancelAtEnd(j *userJob) {
	if len(j.doneTasks) < j.spec.Tasks || j.cancelRequested || !w.now.Before(w.cancelAtEndUntil) || w.rng.Float64() >= w.cancelAtEndRate {
		return
	}
	w.Cancel(j.spec.ID)
}

// MakeUnheard lets these machines reach no controller for d, while direct commands and
// questions reach them, and are answered.
func (w *World) MakeUnheard(ids []string, d time.Duration) {
	for _, id := range ids {
		if m := w.machines[id]; m != nil {
			m.unheardUntil = w.now.Add(d)
		}
	}
}

// delayForCompute lets a process that is slow stand still for what a step took, before it sends
// what it decided.
func (p *controllerProcess) delayForCompute(commands, effects int) {
	w := p.world
	if !w.now.Before(p.slowUntil) || commands+effects == 0 || w.now.Before(p.pausedUntil) {
		return
	}
	took := stepBaseTime + time.Duration(commands+effects)*stepItemTime
	p.pausedUntil = w.now.Add(time.Duration(p.slowFactor * float64(took)))
	w.resumeWhenDue(p)
}

// DelayCommands lets a share of the direct commands of the next d be held up on their way:
// nobody answers them, and they are carried out once, later, if token and session match.
func (w *World) DelayCommands(share float64, d time.Duration) {
	w.lateCommandRate, w.lateCommandsUntil = share, w.now.Add(d)
}

// delayCommand says whether a direct command to m is held up, and brings it then.
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

// holdHeartbeat keeps the copy of a report for the next leader.
func (w *World) holdHeartbeat(r model.Heartbeat) {
	if len(w.heldHeartbeats) == 0 {
		w.leaderAtCapture = w.leaderName()
	}
	if len(w.heldHeartbeats) < maxHeldHeartbeats {
		w.heldHeartbeats = append(w.heldHeartbeats, r)
	}
}

// replayHeldHeartbeats brings the copies to every controller just as another one leads, in an order
// of their own.
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

// readConcurrently has users ask at all controllers within milliseconds of what one was told of
// a job, and repeat its submission. Some cancel at once.
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

func isFinal(state string) bool { return state == "done" || state == "cancelled" }

// checkedRequest asks one controller about a job: its answer may not be older than what the
// user was told before he asked.
func (w *World) checkedRequest(node int, j *userJob, newCommand func(uint64) message.Command) {
	id, lastState, asked := j.spec.ID, j.lastState, w.now
	w.userRequestTo(node, newCommand, 2*time.Second, func(r *message.UserReply) {
		switch {
		case r == nil:
		case r.Status == 404 || r.Status == 400 || r.Status == 422:
			w.violate("forgotten", "%s answered %d by %s", id, r.Status, w.controllers[node].name)
		case r.Status != 200 && r.Status != 201:
		case isFinal(lastState) && r.State != lastState:
			w.violate("went_back", "%s was %s, is called %s by %s", id, lastState, r.State, w.controllers[node].name)
		case isFinal(r.State) && !isFinal(j.lastState):
			w.checkAnswer(j, asked, r)
		}
	})
}

// SendInvalidRequests has users repeat submissions of unfinished jobs, cancel done ones, and send
// jobs that fit no machine or lack a field, for d.
func (w *World) SendInvalidRequests(d time.Duration) {
	running := w.now.Before(w.invalidRequestsUntil)
	w.invalidRequestsUntil = w.now.Add(d)
	if !running {
		w.sendNextInvalidRequest()
	}
}

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

// submitInvalidJob sends a job like another one that fits no machine, needs more than there is, or
// lacks a field. None of them may be accepted.
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
		if r != nil && (r.Status == 200 || r.Status == 201) {
			w.violate("accepted_odd", "%s answered %d", s.ID, r.Status)
		}
	})
}
