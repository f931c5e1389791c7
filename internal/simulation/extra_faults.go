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
	// loseWriteResponses makes late writes execute at once, so that only their responses are lost.
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
func (day *Day) generateExtraFault(rng *rand.Rand) Fault {
	kind := extraFaultKinds[rng.IntN(len(extraFaultKinds))]
	oneOf := func(values ...float64) float64 { return values[rng.IntN(len(values))] }
	fault := Fault{Kind: kind, Duration: logUniform(rng, 8*time.Second, 90*time.Second), Controller: rng.IntN(day.Controllers)}
	switch kind {
	case "cancel_now":
		fault.Count, fault.Duration = 1+rng.IntN(40), time.Second
		if rng.IntN(3) > 0 {
			fault.Duration = logUniform(rng, time.Second, 2*day.cancelWithin())
		}
	case "cancel_at_end":
		fault.Fraction = oneOf(0.1, 0.5, 1)
	case "machine_mute":
		fault.Fraction = oneOf(1e-9, 0.1, 1)
		if fault.Fraction == 1 {
			fault.Zone = day.Settings.Zones[len(day.Settings.Zones)-1]
		}
	case "late_writes.at_once":
		fault.Kind, fault.Immediate, fault.Fraction = "late_writes", true, oneOf(0.05, 0.2, 0.5)
	case "copies.for_next":
		fault.Kind, fault.ForNextLeader = "copies", true
		fault.Delay, fault.Fraction = logUniform(rng, 2*time.Second, 5*day.Settings.WorkerLease), oneOf(0.05, 0.3, 1)
	case "late_commands":
		fault.Fraction = oneOf(0.05, 0.3, 1)
	case "slow_node":
		fault.SlowFactor, fault.Busiest = 4+16*rng.Float64(), rng.IntN(3) > 0
	}
	return fault
}

// startExtraFault begins a fault if its kind belongs to this file, and reports whether it does.
func (world *World) startExtraFault(fault Fault, rng *rand.Rand) bool {
	until := world.now.Add(fault.Duration)
	switch fault.Kind {
	case "cancel_now":
		world.CancelLongRunning(fault.Count, fault.Duration)
	case "cancel_at_end":
		world.cancelAtEndRate, world.cancelAtEndUntil = fault.Fraction, until
	case "machine_mute":
		world.MuteMachines(world.SampleMachineIDs(fault.Fraction, fault.Zone, rng), fault.Duration)
	case "odd_requests":
		world.SendInvalidRequests(fault.Duration)
	case "close_looks":
		world.concurrentReadsUntil = until
	case "late_commands":
		world.DelayCommands(fault.Fraction, fault.Duration)
	case "slow_node":
		process := world.controllers[fault.Controller%len(world.controllers)]
		process.slowUntil, process.slowFactor = until, fault.SlowFactor
	default:
		return false
	}
	return true
}

// CancelLongRunning cancels up to count running jobs within massCancelWithin: the jobs with the
// longest remaining run time, of at least minRemainingRunTime. Up to maxHungMachines of their
// machines hang for the duration hang from the cancellation on.
func (world *World) CancelLongRunning(count int, hang time.Duration) {
	remaining := map[string]time.Duration{}
	for _, id := range sortedKeys(world.jobs) {
		job := world.jobs[id]
		world.eachRunningTask(job, func(task *workerTask, _ *Worker) {
			if !job.cancelRequested && task.status == model.Running {
				remaining[id] = max(remaining[id], task.remaining)
			}
		})
	}
	ids := slices.DeleteFunc(sortedKeys(remaining), func(id string) bool { return remaining[id] < minRemainingRunTime })
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(remaining[b], remaining[a]) })
	hung := map[*Worker]bool{}
	for _, id := range ids[:min(count, len(ids))] {
		world.schedule(time.Duration(world.rng.Int64N(int64(massCancelWithin))), func() {
			world.Cancel(id)
			world.eachRunningTask(world.jobs[id], func(_ *workerTask, machine *Worker) {
				if hang > 0 && len(hung) < maxHungMachines && !hung[machine] {
					hung[machine] = true
					machine.hungUntil = world.now.Add(hang)
				}
			})
		})
	}
}

// eachRunningTask calls fn with each attempt of a job that takes resources of a machine.
func (world *World) eachRunningTask(job *userJob, fn func(*workerTask, *Worker)) {
	for i := range job.spec.Tasks {
		for _, machine := range job.machines[i] {
			for _, k := range sortedKeys(machine.tasks) {
				if task := machine.tasks[k]; task.job == job && task.index == i && task.onMachine() {
					fn(task, machine)
				}
			}
		}
	}
}

// maybeCancelAtEnd cancels a job whose last task is done, with probability cancelAtEndRate while
// the fault lasts.
func (world *World) maybeCancelAtEnd(job *userJob) {
	if len(job.doneTasks) < job.spec.Tasks || job.cancelRequested || !world.now.Before(world.cancelAtEndUntil) || world.rng.Float64() >= world.cancelAtEndRate {
		return
	}
	world.Cancel(job.spec.ID)
}

// MuteMachines keeps the heartbeats of machines from reaching any controller for the given duration.
// Direct requests still reach the machines and are answered.
func (world *World) MuteMachines(ids []string, duration time.Duration) {
	for _, id := range ids {
		if machine := world.machines[id]; machine != nil {
			machine.mutedUntil = world.now.Add(duration)
		}
	}
}

// delayForCompute pauses a slow process for the duration of a step, so that it sends the effects of
// the step later.
func (process *controllerProcess) delayForCompute(commands, effects int) {
	world := process.world
	if !world.now.Before(process.slowUntil) || commands+effects == 0 || world.now.Before(process.pausedUntil) {
		return
	}
	took := stepBaseTime + time.Duration(commands+effects)*stepItemTime
	process.pausedUntil = world.now.Add(time.Duration(process.slowFactor * float64(took)))
	world.resumeWhenDue(process)
}

// DelayCommands delays a fraction of the direct commands that controllers send during the given
// duration. A delayed command gets no answer. The worker executes it once, late, if epoch and
// incarnation still match.
func (world *World) DelayCommands(fraction float64, duration time.Duration) {
	world.lateCommandRate, world.lateCommandsUntil = fraction, world.now.Add(duration)
}

// delayCommand decides whether a direct request to machine is delayed and reports it. It schedules
// the delivery of a delayed request, which may reach a later process of the worker.
func (process *controllerProcess) delayCommand(machine *Worker, request message.WorkerRequest) bool {
	world := process.world
	if request.StatusOnly || !world.now.Before(world.lateCommandsUntil) || world.rng.Float64() >= world.lateCommandRate {
		return false
	}
	duration := minCommandDelay + time.Duration(world.rng.Int64N(int64(maxCommandDelay-minCommandDelay)))
	world.schedule(duration, func() {
		world.sendMessage(process.name, machine.ID, func() {
			if !world.now.Before(machine.upAt) && world.executeDirect(machine, request).OK {
				world.lateCommandsDone++
			}
		})
	})
	return true
}

// holdHeartbeat keeps a copy of a heartbeat for the next leader.
func (world *World) holdHeartbeat(heartbeat model.Heartbeat) {
	if len(world.heldHeartbeats) == 0 {
		world.leaderAtCapture = world.leaderName()
	}
	if len(world.heldHeartbeats) < maxHeldHeartbeats {
		world.heldHeartbeats = append(world.heldHeartbeats, heartbeat)
	}
}

// replayHeldHeartbeats delivers the kept heartbeats to every controller, in random order within a
// second, as soon as another controller is the leader.
func (world *World) replayHeldHeartbeats() {
	if len(world.heldHeartbeats) == 0 {
		return
	}
	if !world.now.Before(world.holdHeartbeatsUntil) {
		world.heldHeartbeats = nil
		return
	}
	leader := world.leaderName()
	if leader == "" || leader == world.leaderAtCapture {
		return
	}
	held := world.heldHeartbeats
	world.heldHeartbeats = nil
	world.heartbeatsReplayed += len(held)
	for _, process := range world.controllers {
		for _, heartbeat := range held {
			world.schedule(time.Duration(world.rng.Int64N(int64(time.Second))), func() {
				process.deliverHeartbeat(heartbeat, func(message.Effect) {})
			})
		}
	}
}

// readConcurrently queries a job and repeats its submission at all controllers within
// concurrentReadWindow, while the fault lasts. It is called after an answer with a new state. Some
// users also cancel the job.
func (world *World) readConcurrently(job *userJob) {
	if !world.now.Before(world.concurrentReadsUntil) {
		return
	}
	withinWindow := func() time.Duration { return time.Duration(world.rng.Int64N(int64(concurrentReadWindow))) }
	for i := range world.controllers {
		for range readsPerController {
			world.schedule(withinWindow(), func() {
				world.checkedRequest(i, job, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: job.spec.ID} })
			})
		}
		world.schedule(withinWindow(), func() {
			world.checkedRequest(i, job, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: job.spec} })
		})
	}
	if !job.cancelRequested && !isFinal(job.lastState) && world.rng.IntN(cancelOneIn) == 0 {
		job.cancelRequested = true
		world.schedule(withinWindow(), func() { world.Cancel(job.spec.ID) })
	}
}

// isFinal reports whether a job in this state stays in it.
func isFinal(state string) bool { return state == "done" || state == "cancelled" }

// checkedRequest sends a request about an accepted job to one controller. The answer must agree
// with what the user knew when sending the request: the job exists, and a final state has not
// changed.
func (world *World) checkedRequest(to int, job *userJob, newCommand func(uint64) message.Command) {
	id, lastState, requestedAt := job.spec.ID, job.lastState, world.now
	world.userRequestTo(to, newCommand, 2*time.Second, func(reply *message.UserReply) {
		switch {
		case reply == nil:
		case reply.Status == http.StatusNotFound || reply.Status == http.StatusBadRequest || reply.Status == http.StatusUnprocessableEntity:
			world.reportViolation("forgotten", "%s answered %d by %s", id, reply.Status, world.controllers[to].name)
		case reply.Status != http.StatusOK && reply.Status != http.StatusCreated:
		case isFinal(lastState) && reply.State != lastState:
			world.reportViolation("went_back", "%s was %s, is called %s by %s", id, lastState, reply.State, world.controllers[to].name)
		case isFinal(reply.State) && !isFinal(job.lastState):
			world.checkAnswer(job, requestedAt, reply)
		}
	})
}

// SendInvalidRequests makes users send superfluous and invalid requests for the given duration:
// they submit unfinished jobs again, cancel done jobs, and submit jobs that fit no machine or lack
// a field.
func (world *World) SendInvalidRequests(duration time.Duration) {
	running := world.now.Before(world.invalidRequestsUntil)
	world.invalidRequestsUntil = world.now.Add(duration)
	if !running {
		world.sendNextInvalidRequest()
	}
}

// sendNextInvalidRequest sends one request of SendInvalidRequests and schedules the next.
func (world *World) sendNextInvalidRequest() {
	if !world.now.Before(world.invalidRequestsUntil) {
		return
	}
	world.schedule(world.jitter(invalidRequestInterval), world.sendNextInvalidRequest)
	var unfinished, done []*userJob
	for _, id := range sortedKeys(world.jobs) {
		switch job := world.jobs[id]; {
		case job.lastState == "done" && !job.cancelRequested:
			done = append(done, job)
		case job.accepted && !isFinal(job.lastState):
			unfinished = append(unfinished, job)
		}
	}
	switch k := world.rng.IntN(4); {
	case k == 0 && len(unfinished) > 0:
		job := unfinished[world.rng.IntN(len(unfinished))]
		world.checkedRequest(world.rng.IntN(len(world.controllers)), job, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: job.spec} })
	case k == 1 && len(done) > 0:
		job := done[world.rng.IntN(len(done))]
		world.checkedRequest(world.rng.IntN(len(world.controllers)), job, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: job.spec.ID} })
	case k >= 2 && len(unfinished) > 0:
		world.submitInvalidJob(unfinished[world.rng.IntN(len(unfinished))].spec)
	}
}

// submitInvalidJob submits a variant of spec that fits no machine, names an unknown machine type,
// zone or team, or lacks a field. The controllers must not accept it.
func (world *World) submitInvalidJob(spec model.JobSpec) {
	world.invalidJobs++
	spec.ID = fmt.Sprintf("job-8%05d", world.invalidJobs)
	request := message.SubmitJob{Spec: spec}
	switch world.rng.IntN(5) {
	case 0:
		request.Spec.Need.CPU = 1e6
	case 1:
		request.Spec.MachineTypes = []string{"none"}
		if world.invalidJobs%2 == 0 {
			request.Spec.MachineTypes = []string{}
		}
	case 2:
		request.Spec.Zone = "nowhere"
	case 3:
		request.Spec.Team = "nobody"
	case 4:
		request = message.SubmitJob{Spec: model.JobSpec{ID: spec.ID}, MalformedReason: "pieces is missing"}
	}
	world.userRequest(func(reply uint64) message.Command { request.Reply = reply; return request }, 5*time.Second, func(reply *message.UserReply) {
		if reply != nil && (reply.Status == http.StatusOK || reply.Status == http.StatusCreated) {
			world.reportViolation("accepted_odd", "%s answered %d", spec.ID, reply.Status)
		}
	})
}
