package simulation

import (
	"net/http"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// This file checks the rules for jobs with dependencies: no job starts before all its dependencies
// are done, and the dependents of a cancelled job are cancelled in time and stay cancelled.

// RuleOrphaned is the rule that a controller must not answer that a job is queued or running later
// than cancel_s after a controller answered that one of the job's direct or indirect dependencies
// is cancelled.
const RuleOrphaned = "orphaned"

// dependenciesDone reports whether all tasks of all dependencies are done on the workers.
func (job *userJob) dependenciesDone() bool {
	for _, dependency := range job.dependencies {
		if dependency.tasksDoneAt.IsZero() {
			return false
		}
	}
	return true
}

// eligibleSince returns the time from which a job could start: the end of its last dependency, or
// its submission if that is later. Deadlines count from the submission in either case.
func (job *userJob) eligibleSince() time.Time {
	at := job.submitted
	for _, dependency := range job.dependencies {
		if dependency.tasksDoneAt.After(at) {
			at = dependency.tasksDoneAt
		}
	}
	return at
}

// noteTasksDone sets tasksDoneAt when all tasks of a job are done, and calls the hooks of this
// milestone.
func (world *World) noteTasksDone(job *userJob) {
	if !job.tasksDoneAt.IsZero() || len(job.doneTasks) < job.spec.Tasks {
		return
	}
	job.tasksDoneAt = world.now
	job.runHooks()
}

// isCancelled reports whether the user cancelled the job or one of its direct or indirect
// dependencies that the user does not know to be done.
func (job *userJob) isCancelled() bool { return job.cancelRequested || job.dependsOnCancelled() }

// dependsOnCancelled reports whether one of the job's direct or indirect dependencies is cancelled
// and not known to be done. The cancellation of a done job has no effect on its dependents.
func (job *userJob) dependsOnCancelled() bool {
	for _, dependency := range job.dependencies {
		if dependency.lastState != "done" && dependency.isCancelled() {
			return true
		}
	}
	return false
}

// cancelledSince returns the time since which a job counts as cancelled: when a controller sent the
// first answer that says that the job or one of its direct or indirect dependencies is cancelled.
// It is the zero time if no controller did.
func (job *userJob) cancelledSince() time.Time {
	since := job.cancelledAt
	for _, dependency := range job.dependencies {
		if at := dependency.cancelledSince(); !at.IsZero() && (since.IsZero() || at.Before(since)) {
			since = at
		}
	}
	return since
}

// checkDependencies checks at the start of a task that all tasks of the job's dependencies are done
// and that the records in the state service say so. The record of a cancelled job never does.
func (world *World) checkDependencies(job *userJob, name string) {
	for _, dependency := range job.dependencies {
		if dependency.tasksDoneAt.IsZero() {
			world.reportViolation("too_early", "%s starts before %s is done: %d of %d", name, dependency.spec.ID, len(dependency.doneTasks), dependency.spec.Tasks)
		} else if !world.state.isJobDone(dependency.spec.ID) {
			world.reportViolation("too_early", "%s starts before the end of %s is stored", name, dependency.spec.ID)
		}
	}
}

// isJobDone reports whether the record of a job says that the job is done.
func (service *StateService) isJobDone(id string) bool {
	row := service.records["job/"+id]
	var rec struct {
		Status model.JobStatus `msgpack:"s"`
	}
	return row != nil && msgpack.Unmarshal(row.value, &rec) == nil && rec.Status == model.Done
}

// checkDependents checks that no dependent of a job has started. It is called when a controller
// first answers that the job is cancelled.
func (world *World) checkDependents(job *userJob) {
	for _, dependent := range job.dependents {
		if len(dependent.firstStarts) > 0 {
			world.reportViolation("too_early", "%s has begun, and %s is cancelled", dependent.spec.ID, job.spec.ID)
		}
	}
}

// checkOrphan checks RuleOrphaned for an answer that a controller sends or a user receives. If the
// job was submitted after its dependency was cancelled, the time counts from the submission.
func (world *World) checkOrphan(job *userJob, reply *message.UserReply) {
	if len(job.dependencies) == 0 || reply.Status != http.StatusOK || isFinal(reply.State) {
		return
	}
	since := job.cancelledSince()
	if since.IsZero() {
		return
	}
	if job.submitted.After(since) {
		since = job.submitted
	}
	left := world.cancelWithin - world.now.Sub(since)
	world.recordMargin(RuleOrphaned, left, job.spec.ID)
	if left < 0 && !job.orphanReported {
		job.orphanReported = true
		world.reportViolation(RuleOrphaned, "%s is called %s %.1f s after one before it was cancelled", job.spec.ID, reply.State, world.now.Sub(since).Seconds())
	}
}

// checkDependencyOutcomes checks at the end of a day that a job is cancelled only if its user
// cancelled it or a dependency is cancelled, and that no job is done of which a dependency is
// cancelled.
func (world *World) checkDependencyOutcomes() {
	for _, id := range sortedKeys(world.jobs) {
		job, cancelledDependency := world.jobs[id], ""
		for _, dependency := range job.dependencies {
			if dependency.lastState == "cancelled" {
				cancelledDependency = dependency.spec.ID
			}
		}
		switch {
		case job.lastState == "cancelled" && !job.cancelRequested && cancelledDependency == "":
			world.reportViolation("crossed", "%s is cancelled, and none that it needs", id)
		case job.lastState == "done" && cancelledDependency != "":
			world.reportViolation("crossed", "%s is done, and %s that it needs is cancelled", id, cancelledDependency)
		}
	}
}
