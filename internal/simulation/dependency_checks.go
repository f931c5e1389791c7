package simulation

import (
	"net/http"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// This file checks pipelines: no job starts before all its dependencies are done, and the
// dependents of a cancelled job are cancelled in time and stay so.

// RuleOrphaned is the rule that a job is not answered as queued or running later than cancel_s after an answer left
// that says that a job before it is cancelled.
const RuleOrphaned = "orphaned"

// dependenciesDone reports whether all dependencies are done, by the workers' own results.
func (j *userJob) dependenciesDone() bool {
	for _, n := range j.dependencies {
		if n.tasksDoneAt.IsZero() {
			return false
		}
	}
	return true
}

// eligibleSince returns since when a job could start: when the last of its dependencies was done,
// and not before its submission. Deadlines count from the submission all the same.
func (j *userJob) eligibleSince() time.Time {
	at := j.submitted
	for _, n := range j.dependencies {
		if n.tasksDoneAt.After(at) {
			at = n.tasksDoneAt
		}
	}
	return at
}

// noteTasksDone notes when all tasks of a job are done.
func (w *World) noteTasksDone(j *userJob) {
	if !j.tasksDoneAt.IsZero() || len(j.doneTasks) < j.spec.Tasks {
		return
	}
	j.tasksDoneAt = w.now
	j.runHooks()
}

// isCancelled reports whether the user of a job, or of one before it, cancels without knowing that
// it is done.
func (j *userJob) isCancelled() bool { return j.cancelRequested || j.dependsOnCancelled() }

// dependsOnCancelled reports whether a job before it is cancelled by a user who does not know that
// it is done. The dependents of a done job go on.
func (j *userJob) dependsOnCancelled() bool {
	for _, n := range j.dependencies {
		if n.lastState != "done" && n.isCancelled() {
			return true
		}
	}
	return false
}

// cancelledSince returns since when a user may know that a job is cancelled, itself or through one
// before it: since the first answer left that says so of one of them.
func (j *userJob) cancelledSince() time.Time {
	since := j.cancelledAt
	for _, n := range j.dependencies {
		if at := n.cancelledSince(); !at.IsZero() && (since.IsZero() || at.Before(since)) {
			since = at
		}
	}
	return since
}

// checkDependencies checks at the start of a task that all tasks of the dependencies are done and
// that the state service has them as done, which a cancelled job never is.
func (w *World) checkDependencies(j *userJob, name string) {
	for _, n := range j.dependencies {
		if n.tasksDoneAt.IsZero() {
			w.violate("too_early", "%s starts before %s is done: %d of %d", name, n.spec.ID, len(n.doneTasks), n.spec.Tasks)
		} else if !w.state.isJobDone(n.spec.ID) {
			w.violate("too_early", "%s starts before the end of %s is stored", name, n.spec.ID)
		}
	}
}

// isJobDone reports whether a job's record says that it is done.
func (s *StateService) isJobDone(id string) bool {
	row := s.records["job/"+id]
	var r struct {
		Status model.JobStatus `msgpack:"s"`
	}
	return row != nil && msgpack.Unmarshal(row.value, &r) == nil && r.Status == model.Done
}

// checkDependents checks, when an answer says that a job is cancelled, that no dependent has
// started.
func (w *World) checkDependents(j *userJob) {
	for _, f := range j.dependents {
		if len(f.firstStarts) > 0 {
			w.violate("too_early", "%s has begun, and %s is cancelled", f.spec.ID, j.spec.ID)
		}
	}
}

// checkOrphan checks an answer that leaves a controller or reaches a user. For a job that was
// submitted after a job before it was cancelled, the time counts from its submission.
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

// checkDependencyOutcomes checks at the end of a day that a job is cancelled only if its user or a
// dependency was, and that none is done with a dependency that is cancelled.
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
