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
	// promisedAtFirst says that the first answer had a promised date.
	promisedAtFirst bool
	// cancelledAt is the time when a controller sent the first answer that says that the job is
	// cancelled. From then on the rules for cancelled jobs apply, even if that answer arrives late
	// or never.
	cancelledAt time.Time
	// answeredAt is the time of the last answer about the job. silenceReported says that it was
	// reported that the job's queries were unanswered for too long.
	answeredAt      time.Time
	silenceReported bool
	// placedAt is the time when a machine last accepted an attempt of the job. waitingSince is the
	// time since which a task waits while there is free capacity for it. waitReported says that it
	// was reported that the wait was too long.
	placedAt, waitingSince time.Time
	waitReported           bool
	// replicas are the replicas of a long-running job by index.
	replicas map[int]*replica
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
func (j *userJob) saveCheckpoint(i int, remaining time.Duration) {
	if old, ok := j.checkpoints[i]; !ok || remaining < old {
		j.checkpoints[i] = remaining
	}
}

// newUserJob returns a job that has not been submitted.
func newUserJob(spec model.JobSpec, run time.Duration) *userJob {
	return &userJob{spec: spec, run: run, doneTasks: map[int]bool{}, checkpoints: map[int]time.Duration{}, machines: map[int][]*Worker{}, firstStarts: map[int]time.Time{}, replicas: map[int]*replica{},
		hooks: map[milestone][]func(){}}
}

// Submit submits a job, repeats the submission until the job is accepted or permanently refused,
// and then queries an accepted job regularly.
func (w *World) Submit(spec model.JobSpec, run time.Duration, alwaysFails bool) {
	j := newUserJob(spec, run)
	j.alwaysFails = alwaysFails
	w.submitJob(j)
}

// submitJob is Submit for a job that newUserJob returned.
func (w *World) submitJob(j *userJob) {
	j.submitted = w.now
	w.jobs[j.spec.ID] = j
	w.linkDependencies(j)
	w.trySubmit(j)
}

// userRequest sends a user's request to a random controller. onReply gets the answer, or nil if
// none arrives by the deadline. newCommand makes the command from the request number.
func (w *World) userRequest(newCommand func(uint64) message.Command, deadline time.Duration, onReply func(*message.UserReply)) {
	w.userRequestTo(-1, newCommand, deadline, onReply)
}

// userRequestTo is userRequest with the index of the controller; -1 means a random one.
func (w *World) userRequestTo(to int, newCommand func(uint64) message.Command, deadline time.Duration, onReply func(*message.UserReply)) {
	requestedAt := w.now
	fn := func(r *message.UserReply) {
		if r != nil && w.onAnswer != nil {
			w.onAnswer(requestedAt, *r)
		}
		if r != nil && r.Status == http.StatusServiceUnavailable {
			w.RefusedRequests++
		}
		onReply(r)
	}
	p := w.controllers[w.rng.IntN(len(w.controllers))]
	if to >= 0 {
		p = w.controllers[to]
	}
	finished := false
	finish := func(r *message.UserReply) {
		if !finished {
			finished = true
			fn(r)
		}
	}
	w.schedule(deadline, func() { finish(nil) })
	if !p.controller.Healthy(w.now) || !p.alive {
		return
	}
	w.sendMessage("user", p.name, func() {
		p.request(newCommand, func(e message.Effect) {
			r := e.(message.UserReply)
			w.sendMessage(p.name, "user", func() { finish(&r) })
		})
	})
}

// trySubmit sends the submission of a job. It schedules another attempt if the answer is neither an
// acceptance nor a permanent refusal.
func (w *World) trySubmit(j *userJob) {
	requestedAt := w.now
	w.userRequest(func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: j.spec} }, 5*time.Second, func(r *message.UserReply) {
		switch {
		case r != nil && (r.Status == http.StatusCreated || r.Status == http.StatusOK):
			if j.invalid {
				w.violate("accepted_wrongly", "%s needs %v", j.spec.ID, j.spec.Dependencies)
			}
			w.checkAnswer(j, requestedAt, r)
			w.schedule(w.jitter(5*time.Second), func() { w.poll(j) })
		case r != nil && (r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity):
			j.refusedStatus = r.Status
			if j.accepted {
				w.violate("forgotten", "%s answered %d", j.spec.ID, r.Status)
			}
			if j.dependenciesAccepted && !j.invalid {
				w.violate("refused_wrongly", "%s, which needs %v, answered %d: %s", j.spec.ID, j.spec.Dependencies, r.Status, r.Message)
			}
		default:
			w.schedule(w.jitter(time.Second), func() { w.trySubmit(j) })
		}
	})
}

// poll queries a job and schedules the next query.
func (w *World) poll(j *userJob) {
	requestedAt := w.now
	w.userRequestTo(w.stickyController(j), func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: j.spec.ID} }, 2*time.Second, func(r *message.UserReply) {
		if r != nil && (r.Status == http.StatusOK || r.Status == http.StatusNotFound) {
			w.checkAnswer(j, requestedAt, r)
		}
		w.checkPollsAnswered(j)
		// Jobs in a final state are queried as well, to check that the state does not change.
		pause := w.pollInterval(5 * time.Second)
		if j.lastState == "done" || j.lastState == "cancelled" {
			pause = 30 * time.Second
			if !w.faultsEndAt.IsZero() && w.now.After(w.faultsEndAt) {
				pause = endedPollInterval
			}
		}
		w.schedule(w.jitter(pause), func() { w.poll(j) })
	})
}

// Cancel cancels a submitted job and repeats the request until a controller confirms it.
func (w *World) Cancel(id string) {
	j, requestedAt := w.jobs[id], w.now
	j.cancelRequested = true
	w.userRequest(func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} }, 5*time.Second, func(r *message.UserReply) {
		if r == nil || r.Status != http.StatusOK {
			w.schedule(w.jitter(time.Second), func() { w.Cancel(id) })
			return
		}
		w.checkAnswer(j, requestedAt, r)
	})
}

// QueryUnknownJob queries an id of which no job was submitted and checks that no controller knows
// such a job.
func (w *World) QueryUnknownJob(id string) {
	w.userRequest(func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} }, 2*time.Second, func(r *message.UserReply) {
		if r != nil && r.Status == http.StatusOK {
			w.violate("invented", "%s", id)
		}
	})
}

// checkAnswer checks an answer about a job against what the user knows, and updates what the user
// knows. requestedAt is the time when the user sent the request.
func (w *World) checkAnswer(j *userJob, requestedAt time.Time, r *message.UserReply) {
	id := j.spec.ID
	if r.Status == http.StatusNotFound {
		if j.accepted {
			w.violate("forgotten", "%s answered 404", id)
		}
		return
	}
	j.promisedAtFirst = j.promisedAtFirst || !j.accepted && r.PromiseRevision > 0
	w.checkPollsAnswered(j)
	w.checkOrphan(j, r)
	isNew := !j.accepted || isFinal(r.State) && j.lastState != r.State
	j.accepted, j.answeredAt = true, w.now
	if r.PromiseRevision > 0 {
		// The answer to a cancellation may overtake the answer to a query, so revisions are
		// compared only before the user cancels.
		if r.PromiseRevision < j.promiseRevision && !j.cancelRequested || r.PromiseRevision == j.promiseRevision && r.PromisedAfter != j.promised {
			w.violate("older_date", "%s was promised %v as revision %d, then %v as %d", id, j.promised, j.promiseRevision, r.PromisedAfter, r.PromiseRevision)
		}
		if r.PromiseRevision >= j.promiseRevision {
			j.promiseRevision, j.promised = r.PromiseRevision, r.PromisedAfter
		}
	}
	switch {
	case (j.lastState == "done" || j.lastState == "cancelled") && r.State != j.lastState:
		// Users send several requests at a time. Another controller may answer an older state if
		// the request was sent before the user knew the final state.
		if !requestedAt.Before(j.lastStateAt) {
			w.violate("went_back", "%s was %s, is called %s", id, j.lastState, r.State)
		}
		return
	case r.State == "done" && len(j.doneTasks) < j.spec.Tasks:
		w.violate("not_done", "%s with %d of %d", id, len(j.doneTasks), j.spec.Tasks)
	case r.State == "cancelled" && !j.isCancelled():
		w.violate("went_back", "%s cancelled by nobody", id)
	}
	if j.lastState != r.State {
		j.lastState, j.lastStateAt = r.State, w.now
		if r.State == "done" || r.State == "cancelled" {
			j.finished = w.now
		}
	}
	if isNew {
		w.readConcurrently(j)
	}
	j.runHooks()
}

// checkStart checks the rules for a task that starts to run on m, and counts the start.
func (w *World) checkStart(m *Worker, t *workerTask) {
	w.Starts++
	j := t.job
	s := &j.spec
	name := taskName(s.ID, t.index)
	if j.firstStarts[t.index].IsZero() {
		j.firstStarts[t.index] = w.now
	}
	w.replicaUp(t)
	w.checkDependencies(j, name)
	zones := map[string]int{}
	w.eachPlacedTask(j, func(i int, o *Worker, x *workerTask) {
		if x == t {
			return
		}
		if x.index == t.index {
			w.violate("ran_twice", "%s on %s and %s", name, m.ID, o.ID)
		}
		zones[o.Zone]++
	}, t.index)
	team := w.team(s.Team)
	if u := w.teamUsage[s.Team]; team.QuotaLimit.CPU > 0 && u.CPU > team.QuotaLimit.CPU+1e-6 || team.QuotaLimit.GPU > 0 && u.GPU > team.QuotaLimit.GPU+1e-6 {
		w.violate("quota", "%s uses %v", s.Team, u)
	}
	if len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, m.MachineType) || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.AllowSpot {
		w.violate("wrong_place", "%s on %s", name, m.ID)
	}
	if s.SameZone && len(zones) > 0 && zones[m.Zone] == 0 {
		w.violate("wrong_place", "%s not with the others", name)
	}
	if s.SpreadZones && zones[m.Zone]+1 > (s.Tasks+1)/2 {
		w.violate("wrong_place", "%s too many in %s", name, m.Zone)
	}
	if !j.cancelledAt.IsZero() {
		w.StartsAfterCancel++
		w.recordMargin(RuleCancelled, w.cancelWithin-w.now.Sub(j.cancelledAt), m.ID+" "+name)
	}
	if w.isCancelOverdue(j) {
		w.violate("ran_cancelled", "%s started", name)
	}
}

// noteCancelConfirmed handles an answer that a controller sends to a user. If it is the first one
// that says that the job is cancelled, noteCancelConfirmed sets cancelledAt.
func (w *World) noteCancelConfirmed(r message.UserReply) {
	j := w.jobs[r.ID]
	if j == nil {
		return
	}
	w.checkOrphan(j, &r)
	if r.Status == http.StatusOK && r.State == "cancelled" && j.cancelledAt.IsZero() {
		j.cancelledAt = w.now
		w.checkDependents(j)
	}
}

// isCancelOverdue reports whether a job has been cancelled for so long that all its tasks must have
// ended.
func (w *World) isCancelOverdue(j *userJob) bool {
	since := j.cancelledSince()
	return !since.IsZero() && w.now.Sub(since) > w.cancelWithin
}

// eachPlacedTask calls fn with the attempts of one task that take resources of machines. If the job
// restricts the zones of its tasks relative to each other, eachPlacedTask calls fn for all tasks of
// the job. It also forgets machines that have no attempt of the task.
func (w *World) eachPlacedTask(j *userJob, fn func(int, *Worker, *workerTask), index int) {
	scanTask := func(i int) {
		j.machines[i] = slices.DeleteFunc(j.machines[i], func(m *Worker) bool {
			there := false
			for _, x := range m.tasks {
				if x.job == j && x.index == i {
					there = true
					if x.onMachine() {
						fn(i, m, x)
					}
				}
			}
			return !there
		})
	}
	if !j.spec.SameZone && !j.spec.SpreadZones {
		scanTask(index)
		return
	}
	for i := range j.machines {
		scanTask(i)
	}
}

// team returns the team with a name, or the zero Team if there is none.
func (w *World) team(name string) model.Team {
	for _, t := range w.settings.Teams {
		if t.Name == name {
			return t
		}
	}
	return model.Team{}
}

// checkReplySize checks that the answer to a heartbeat does not exceed maxBodyBytes.
func (w *World) checkReplySize(a message.HeartbeatReply) {
	size := 0
	for _, o := range a.Commands {
		size += len(o.Job) + commandBytes
	}
	if size > maxBodyBytes {
		w.violate("malformed", "an answer to a worker of %d bytes", size)
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
func (w *World) checkCancellations() {
	for _, m := range w.fleet {
		for _, t := range m.tasks {
			fetched := t.status == model.Fetching && !t.imageReadyAt.After(w.now)
			if !t.onMachine() && !fetched || t.violationReported {
				continue
			}
			since := t.job.cancelledSince()
			if since.IsZero() {
				continue
			}
			w.recordMargin(RuleCancelled, w.cancelWithin-w.now.Sub(since), m.ID+" "+t.job.spec.ID)
			if w.isCancelOverdue(t.job) {
				t.violationReported = true
				w.violate("ran_cancelled", "%s on %s", taskName(t.job.spec.ID, t.index), m.ID)
			}
		}
	}
}
