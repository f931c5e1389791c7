package simulation

import (
	"net/http"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// userJob is a job with what its user knows of it and what the workers have done for it.
type userJob struct {
	spec model.JobSpec
	// run is the run time of a task.
	run time.Duration
	// alwaysFails makes the job's tasks fail on every machine.
	alwaysFails bool
	doneTasks   map[int]bool
	// checkpoints is the run time that each task has left after its last checkpoint.
	checkpoints map[int]time.Duration
	// machines are the machines that have or had an attempt of each task. firstStarts has the time
	// of each task's first start.
	machines    map[int][]*Worker
	firstStarts map[int]time.Time

	// accepted says that the user got an answer that the job is accepted.
	accepted bool
	// lastState is the newest state of the job that the user got as an answer. lastStateAt is the
	// time of the answer that first had this state.
	lastState       string
	lastStateAt     time.Time
	cancelRequested bool
	// refusedStatus is the HTTP status with which the job was permanently refused, or 0.
	refusedStatus int
	submitted     time.Time
	finished      time.Time
	// promised is the newest promised time from submission to completion, and promiseRevision the
	// revision of this promise.
	promised        time.Duration
	promiseRevision int
	// promisedInFirstAnswer says that the first answer had a promised date.
	promisedInFirstAnswer bool
	// cancelledAt is the time when a controller sent the first answer that says that the job is
	// cancelled. From then on the rules for cancelled jobs apply, even if that answer arrives late
	// or never.
	cancelledAt time.Time
	// answeredAt is the time of the last answer about the job. unansweredReported says that it was
	// reported that the job's queries were unanswered for too long.
	answeredAt         time.Time
	unansweredReported bool
	// placedAt is the time when a machine last accepted an attempt of the job. waitingSince is the
	// time since which a task waits while there is free capacity for it. waitReported says that it
	// was reported that the wait was too long.
	placedAt, waitingSince time.Time
	waitReported           bool
	// replicas are the replicas of a long-running job by index.
	replicas map[int]*replicaHistory
	// dependencies are the jobs that this job depends on. dependents are the jobs that depend on
	// this job.
	dependencies, dependents []*userJob
	// tasksDoneAt is the time when the last task was done. hooks are the functions to call at each
	// milestone.
	tasksDoneAt time.Time
	hooks       map[milestone][]func()
	// dependenciesAccepted says that the job has dependencies and that its user knew at the
	// submission that all of them were accepted.
	dependenciesAccepted bool
	// invalid says that the job's dependencies are invalid. The controllers must refuse the job
	// permanently.
	invalid bool
	// orphanReported says that it was reported that the job was not cancelled although one of its
	// dependencies was.
	orphanReported bool
}

// saveCheckpoint records the run time that task i has left at a checkpoint, unless the recorded
// time is shorter.
func (job *userJob) saveCheckpoint(i int, remaining time.Duration) {
	if old, ok := job.checkpoints[i]; !ok || remaining < old {
		job.checkpoints[i] = remaining
	}
}

// newUserJob returns a job that has not been submitted.
func newUserJob(spec model.JobSpec, run time.Duration) *userJob {
	return &userJob{spec: spec, run: run, doneTasks: map[int]bool{}, checkpoints: map[int]time.Duration{}, machines: map[int][]*Worker{}, firstStarts: map[int]time.Time{}, replicas: map[int]*replicaHistory{},
		hooks: map[milestone][]func(){}}
}

// Submit submits a job, repeats the submission until the job is accepted or permanently refused,
// and then queries an accepted job regularly.
func (world *World) Submit(spec model.JobSpec, run time.Duration, alwaysFails bool) {
	job := newUserJob(spec, run)
	job.alwaysFails = alwaysFails
	world.submitJob(job)
}

// submitJob is Submit for a job that newUserJob returned.
func (world *World) submitJob(job *userJob) {
	job.submitted = world.now
	world.jobs[job.spec.ID] = job
	world.linkDependencies(job)
	world.trySubmit(job)
}

// userRequest sends a user's request to a random controller. onReply gets the answer, or nil if
// none arrives by the deadline. newCommand makes the command from the request number.
func (world *World) userRequest(newCommand func(uint64) message.Command, deadline time.Duration, onReply func(*message.UserReply)) {
	world.userRequestTo(-1, newCommand, deadline, onReply)
}

// userRequestTo is userRequest with the index of the controller; -1 means a random one.
func (world *World) userRequestTo(to int, newCommand func(uint64) message.Command, deadline time.Duration, onReply func(*message.UserReply)) {
	requestedAt := world.now
	fn := func(reply *message.UserReply) {
		if reply != nil && world.onAnswer != nil {
			world.onAnswer(requestedAt, *reply)
		}
		if reply != nil && reply.Status == http.StatusServiceUnavailable {
			world.RefusedRequests++
		}
		onReply(reply)
	}
	process := world.controllers[world.rng.IntN(len(world.controllers))]
	if to >= 0 {
		process = world.controllers[to]
	}
	finished := false
	finish := func(reply *message.UserReply) {
		if !finished {
			finished = true
			fn(reply)
		}
	}
	world.schedule(deadline, func() { finish(nil) })
	if !process.controller.Healthy(world.now) || !process.alive {
		return
	}
	world.sendMessage("user", process.name, func() {
		process.request(newCommand, func(effect message.Effect) {
			reply := effect.(message.UserReply)
			world.sendMessage(process.name, "user", func() { finish(&reply) })
			world.maybeRepeat("controller", "user", process.name, func() { process.request(newCommand, func(message.Effect) {}) })
		})
	})
}

// trySubmit sends the submission of a job. It schedules another attempt if the answer is neither an
// acceptance nor a permanent refusal.
func (world *World) trySubmit(job *userJob) {
	requestedAt := world.now
	world.userRequest(func(reply uint64) message.Command { return message.SubmitJob{Reply: reply, Spec: job.spec} }, 5*time.Second, func(reply *message.UserReply) {
		switch {
		case reply != nil && (reply.Status == http.StatusCreated || reply.Status == http.StatusOK):
			if job.invalid {
				world.reportViolation("accepted_wrongly", "%s needs %v", job.spec.ID, job.spec.Dependencies)
			}
			world.checkAnswer(job, requestedAt, reply)
			world.schedule(world.jitter(5*time.Second), func() { world.poll(job) })
		case reply != nil && (reply.Status == http.StatusBadRequest || reply.Status == http.StatusUnprocessableEntity):
			job.refusedStatus = reply.Status
			if job.accepted {
				world.reportViolation("forgotten", "%s answered %d", job.spec.ID, reply.Status)
			}
			if job.dependenciesAccepted && !job.invalid {
				world.reportViolation("refused_wrongly", "%s, which needs %v, answered %d: %s", job.spec.ID, job.spec.Dependencies, reply.Status, reply.Message)
			}
		default:
			world.schedule(world.jitter(time.Second), func() { world.trySubmit(job) })
		}
	})
}

// poll queries a job and schedules the next query.
func (world *World) poll(job *userJob) {
	requestedAt := world.now
	world.userRequestTo(world.stickyController(job), func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: job.spec.ID} }, 2*time.Second, func(reply *message.UserReply) {
		if reply != nil && (reply.Status == http.StatusOK || reply.Status == http.StatusNotFound) {
			world.checkAnswer(job, requestedAt, reply)
		}
		world.checkPollsAnswered(job)
		// Jobs in a final state are queried as well, to check that the state does not change.
		pause := world.pollInterval(5 * time.Second)
		if job.lastState == "done" || job.lastState == "cancelled" {
			pause = 30 * time.Second
			if !world.faultsEndAt.IsZero() && world.now.After(world.faultsEndAt) {
				pause = endedPollInterval
			}
		}
		world.schedule(world.jitter(pause), func() { world.poll(job) })
	})
}

// Cancel cancels a submitted job and repeats the request until a controller confirms the
// cancellation.
func (world *World) Cancel(id string) {
	job, requestedAt := world.jobs[id], world.now
	job.cancelRequested = true
	world.userRequest(func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: id} }, 5*time.Second, func(reply *message.UserReply) {
		if reply == nil || reply.Status != http.StatusOK {
			world.schedule(world.jitter(time.Second), func() { world.Cancel(id) })
			return
		}
		world.checkAnswer(job, requestedAt, reply)
	})
}

// QueryUnknownJob queries an id of which no job was submitted and checks that no controller knows
// such a job.
func (world *World) QueryUnknownJob(id string) {
	world.userRequest(func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} }, 2*time.Second, func(reply *message.UserReply) {
		if reply != nil && reply.Status == http.StatusOK {
			world.reportViolation("invented", "%s", id)
		}
	})
}

// checkAnswer checks an answer about a job against what the user knows, and updates what the user
// knows. requestedAt is the time when the user sent the request.
func (world *World) checkAnswer(job *userJob, requestedAt time.Time, reply *message.UserReply) {
	id := job.spec.ID
	if reply.Status == http.StatusNotFound {
		if job.accepted {
			world.reportViolation("forgotten", "%s answered 404", id)
		}
		return
	}
	job.promisedInFirstAnswer = job.promisedInFirstAnswer || !job.accepted && reply.PromiseRevision > 0
	world.checkPollsAnswered(job)
	world.checkOrphan(job, reply)
	isNew := !job.accepted || isFinal(reply.State) && job.lastState != reply.State
	job.accepted, job.answeredAt = true, world.now
	if reply.PromiseRevision > 0 {
		// The answer to a cancellation may overtake the answer to a query, so revisions are
		// compared only before the user cancels.
		if reply.PromiseRevision < job.promiseRevision && !job.cancelRequested || reply.PromiseRevision == job.promiseRevision && reply.PromisedAfter != job.promised {
			world.reportViolation("older_date", "%s was promised %v as revision %d, then %v as %d", id, job.promised, job.promiseRevision, reply.PromisedAfter, reply.PromiseRevision)
		}
		if reply.PromiseRevision >= job.promiseRevision {
			job.promiseRevision, job.promised = reply.PromiseRevision, reply.PromisedAfter
		}
	}
	switch {
	case (job.lastState == "done" || job.lastState == "cancelled") && reply.State != job.lastState:
		// Users send several requests at a time. Another controller may answer an older state if
		// the request was sent before the user knew the final state.
		if !requestedAt.Before(job.lastStateAt) {
			world.reportViolation("went_back", "%s was %s, is called %s", id, job.lastState, reply.State)
		}
		return
	case reply.State == "done" && len(job.doneTasks) < job.spec.Tasks:
		world.reportViolation("not_done", "%s with %d of %d", id, len(job.doneTasks), job.spec.Tasks)
	case reply.State == "cancelled" && !job.isCancelled():
		world.reportViolation("went_back", "%s cancelled by nobody", id)
	}
	if job.lastState != reply.State {
		job.lastState, job.lastStateAt = reply.State, world.now
		if reply.State == "done" || reply.State == "cancelled" {
			job.finished = world.now
		}
	}
	if isNew {
		world.readConcurrently(job)
	}
	job.runHooks()
}

// checkStart checks the rules for a task that starts to run on machine, and counts the start.
func (world *World) checkStart(machine *Worker, task *workerTask) {
	world.Starts++
	job := task.job
	spec := &job.spec
	name := taskName(spec.ID, task.index)
	if job.firstStarts[task.index].IsZero() {
		job.firstStarts[task.index] = world.now
	}
	world.replicaUp(task)
	world.checkDependencies(job, name)
	zones := map[string]int{}
	world.eachPlacedTask(job, func(i int, otherMachine *Worker, otherTask *workerTask) {
		if otherTask == task {
			return
		}
		if otherTask.index == task.index {
			world.reportViolation("ran_twice", "%s on %s and %s", name, machine.ID, otherMachine.ID)
		}
		zones[otherMachine.Zone]++
	}, task.index)
	team := world.team(spec.Team)
	if usage := world.teamUsage[spec.Team]; team.QuotaLimit.CPU > 0 && usage.CPU > team.QuotaLimit.CPU+1e-6 || team.QuotaLimit.GPU > 0 && usage.GPU > team.QuotaLimit.GPU+1e-6 {
		world.reportViolation("quota", "%s uses %v", spec.Team, usage)
	}
	if !spec.AllowsMachineType(machine.MachineType) || spec.Zone != "" && spec.Zone != machine.Zone || machine.Spot && !spec.AllowSpot {
		world.reportViolation("wrong_place", "%s on %s", name, machine.ID)
	}
	if spec.SameZone && len(zones) > 0 && zones[machine.Zone] == 0 {
		world.reportViolation("wrong_place", "%s not with the others", name)
	}
	if spec.SpreadZones && zones[machine.Zone]+1 > (spec.Tasks+1)/2 {
		world.reportViolation("wrong_place", "%s too many in %s", name, machine.Zone)
	}
	if !job.cancelledAt.IsZero() {
		world.StartsAfterCancel++
		world.recordMargin(RuleCancelled, world.cancelWithin-world.now.Sub(job.cancelledAt), machine.ID+" "+name)
	}
	if world.isCancelOverdue(job) {
		world.reportViolation("ran_cancelled", "%s started", name)
	}
}

// noteCancelConfirmed handles an answer that a controller sends to a user. If it is the first one
// that says that the job is cancelled, noteCancelConfirmed sets cancelledAt.
func (world *World) noteCancelConfirmed(reply message.UserReply) {
	job := world.jobs[reply.ID]
	if job == nil {
		return
	}
	world.checkOrphan(job, &reply)
	if reply.Status == http.StatusOK && reply.State == "cancelled" && job.cancelledAt.IsZero() {
		job.cancelledAt = world.now
		world.checkDependents(job)
	}
}

// isCancelOverdue reports whether a job has been cancelled for so long that all its tasks must have
// ended.
func (world *World) isCancelOverdue(job *userJob) bool {
	since := job.cancelledSince()
	return !since.IsZero() && world.now.Sub(since) > world.cancelWithin
}

// eachPlacedTask calls fn with the attempts of one task that take resources of machines. If the job
// restricts the zones of its tasks relative to each other, eachPlacedTask calls fn for all tasks of
// the job. eachPlacedTask also removes machines without an attempt of the task from job.machines.
func (world *World) eachPlacedTask(job *userJob, fn func(int, *Worker, *workerTask), index int) {
	scanTask := func(i int) {
		job.machines[i] = slices.DeleteFunc(job.machines[i], func(machine *Worker) bool {
			found := false
			for _, other := range machine.tasks {
				if other.job == job && other.index == i {
					found = true
					if other.onMachine() {
						fn(i, machine, other)
					}
				}
			}
			return !found
		})
	}
	if !job.spec.SameZone && !job.spec.SpreadZones {
		scanTask(index)
		return
	}
	for i := range job.machines {
		scanTask(i)
	}
}

// team returns the team with a name, or the zero Team if there is none.
func (world *World) team(name string) model.Team {
	for _, team := range world.settings.Teams {
		if team.Name == name {
			return team
		}
	}
	return model.Team{}
}

// checkReplySize checks that the reply to a heartbeat does not exceed maxBodyBytes.
func (world *World) checkReplySize(reply message.HeartbeatReply) {
	size := 0
	for _, command := range reply.Commands {
		size += len(command.Job) + commandBytes
	}
	if size > maxBodyBytes {
		world.reportViolation("malformed", "an answer to a worker of %d bytes", size)
	}
}

const (
	// maxBodyBytes is the maximum size of a body that is sent to a worker. commandBytes is the size
	// of a command in JSON without the job's name.
	maxBodyBytes = 64 << 10
	commandBytes = len(`{"verb": "start", "piece": "/100000", "try": 1000, "wind_down_s": 10.0}, `)
)

// checkCancellations checks on all machines that the tasks of cancelled jobs end in time. This
// includes machines that hang, can't be reached or reach no controller, whose tasks run until the
// worker lease expires. A task whose image was fetched while its machine hung counts as running.
func (world *World) checkCancellations() {
	for _, machine := range world.fleet {
		for _, task := range machine.tasks {
			fetched := task.status == model.Fetching && !task.imageReadyAt.After(world.now)
			if !task.onMachine() && !fetched || task.violationReported {
				continue
			}
			since := task.job.cancelledSince()
			if since.IsZero() {
				continue
			}
			world.recordMargin(RuleCancelled, world.cancelWithin-world.now.Sub(since), machine.ID+" "+task.job.spec.ID)
			if world.isCancelOverdue(task.job) {
				task.violationReported = true
				world.reportViolation("ran_cancelled", "%s on %s", taskName(task.job.spec.ID, task.index), machine.ID)
			}
		}
	}
}
