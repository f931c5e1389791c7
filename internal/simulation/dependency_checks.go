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
func (j *userJob) dependenciesDone() bool {
	for _, n := range j.dependencies {
		if n.tasksDoneAt.IsZero() {
			return false
		}
	}
	return true
}

// eligibleSince returns the time from which a job could start: the end of its last dependency, or
// its submission if that is later. Deadlines count from the submission in either case.
func (j *userJob) eligibleSince() time.Time {
	at := j.submitted
	for _, n := range j.dependencies {
		if n.tasksDoneAt.After(at) {
			at = n.tasksDoneAt
		}
	}
	return at
}

// noteTasksDone sets tasksDoneAt when all tasks of a job are done, and calls the hooks of this
// milestone.
func (w *World) noteTasksDone(j *userJob) {
	if !j.tasksDoneAt.IsZero() || len(j.doneTasks) < j.spec.Tasks {
		return
	}
	j.tasksDoneAt = w.now
	j.runHooks()
}

// isCancelled reports whether the user cancelled the job or one of its direct or indirect
// dependencies that the user does not know to be done.
func (j *userJob) isCancelled() bool { return j.cancelRequested || j.dependsOnCancelled() }

// dependsOnCancelled reports whether one of the job's direct or indirect dependencies is cancelled
// and not known to be done. The cancellation of a done job has no effect on its dependents.
func (j *userJob) dependsOnCancelled() bool {
	for _, n := range j.dependencies {
		if n.lastState != "done" && n.isCancelled() {
			return true
		}
	}
	return false
}

// cancelledSince returns the time since which a job counts as cancelled: when a controller sent the
// first answer that says that the job or one of its direct or indirect dependencies is cancelled.
// It is the zero time if no controller did.
func (j *userJob) cancelledSince() time.Time {
	since := j.cancelledAt
	for _, n := range j.dependencies {
		if at := n.cancelledSince(); !at.IsZero() && (since.IsZero() || at.Before(since)) {
			since = at
		}
	}
	return since
}

// checkDependencies checks at the start of a task that all tasks of the job's dependencies are done
// and that the records in the state service say so. The record of a cancelled job never does.
func (w *World) checkDependencies(j *userJob, name string) {
	for _, n := range j.dependencies {
		if n.tasksDoneAt.IsZero() {
			w.violate("too_early", "%s starts before %s is done: %d of %d", name, n.spec.ID, len(n.doneTasks), n.spec.Tasks)
		} else if !w.state.isJobDone(n.spec.ID) {
			w.violate("too_early", "%s starts before the end of %s is stored", name, n.spec.ID)
		}
	}
}

// isJobDone reports whether the record of a job says that the job is done.
func (s *StateService) isJobDone(id string) bool {
	row := s.records["job/"+id]
	var r struct {
		Status model.JobStatus `msgpack:"s"`
	}
	return row != nil && msgpack.Unmarshal(row.value, &r) == nil && r.Status == model.Done
}

// checkDependents checks that no dependent of a job has started. It is called when a controller
// first answers that the job is cancelled.
func (w *World) checkDependents(j *userJob) {
	for _, f := range j.dependents {
		if len(f.firstStarts) > 0 {
			w.violate("too_early", "%s has begun, and %s is cancelled", f.spec.ID, j.spec.ID)
		}
	}
}

// checkOrphan checks RuleOrphaned for an answer that a controller sends or a user receives. If the
// job was submitted after its dependency was cancelled, the time counts from the submission.
func (w *World) checkOrphan(j *userJob, r *message.UserReply) {
	if len(j.dependencies) == 0 || r.Status != http.StatusOK || isFinal(r.State) {
		return
	}
	since := j.cancelledSince()
	if since.IsZero() {
		return
	}
	if j.submitted.After(since) {
		since = j.submitted
	}
	left := w.cancelWithin - w.now.Sub(since)
	w.recordMargin(RuleOrphaned, left, j.spec.ID)
	if left < 0 && !j.orphanReported {
		j.orphanReported = true
		w.violate(RuleOrphaned, "%s is called %s %.1f s after one before it was cancelled", j.spec.ID, r.State, w.now.Sub(since).Seconds())
	}
}

// checkDependencyOutcomes checks at the end of a day that a job is cancelled only if its user
// cancelled it or a dependency is cancelled, and that no job is done of which a dependency is
// cancelled.
func (w *World) checkDependencyOutcomes() {
	for _, id := range sortedKeys(w.jobs) {
		j, cancelledDependency := w.jobs[id], ""
		for _, n := range j.dependencies {
			if n.lastState == "cancelled" {
				cancelledDependency = n.spec.ID
			}
		}
		switch {
		case j.lastState == "cancelled" && !j.cancelRequested && cancelledDependency == "":
			w.violate("crossed", "%s is cancelled, and none that it needs", id)
		case j.lastState == "done" && cancelledDependency != "":
			w.violate("crossed", "%s is done, and %s that it needs is cancelled", id, cancelledDependency)
		}
	}
}
