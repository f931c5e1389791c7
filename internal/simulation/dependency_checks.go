package simulation

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// orphans.go checks pipelines: nothing starts before all that it needs is done, and what
// needs a cancelled job is cancelled in time and stays so.

// RuleOrphaned: a job is called queued or running no longer than cancel_s after an answer
// left that says that one before it is cancelled.
const RuleOrphaned = "orphaned"

// dependenciesDone says that all that a job needs is done, by the workers' own results.
func (j *userJob) dependenciesDone() bool {
	for _, n := range j.dependencies {
		if n.tasksDoneAt.IsZero() {
			return false
		}
	}
	return true
}

// eligibleSince is since when times but the due time count: when the last job that it needs was
// done, and not before its submission.
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

// isCancelled says that its user, or one of a job before it, cancels, and was not told that
// it is done.
func (j *userJob) isCancelled() bool { return j.cancelRequested || j.dependsOnCancelled() }

// dependsOnCancelled says that the user of a job before it cancels that and wasn't told that
// it is done: what comes after a done job goes on.
func (j *userJob) dependsOnCancelled() bool {
	for _, n := range j.dependencies {
		if n.lastState != "done" && n.isCancelled() {
			return true
		}
	}
	return false
}

// cancelledSince is since when anybody could know that a job is cancelled, through one before
// it too: since the first answer left that says so of one of them.
func (j *userJob) cancelledSince() time.Time {
	since := j.cancelledAt
	for _, n := range j.dependencies {
		if at := n.cancelledSince(); !at.IsZero() && (since.IsZero() || at.Before(since)) {
			since = at
		}
	}
	return since
}

// checkDependencies judges the start of a task by what its job needs: all its tasks are done, and
// the state service holds that it is. One that is called cancelled never is.
func (w *World) checkDependencies(j *userJob, name string) {
	for _, n := range j.dependencies {
		if n.tasksDoneAt.IsZero() {
			w.violate("too_early", "%s starts before %s is done: %d of %d", name, n.spec.ID, len(n.doneTasks), n.spec.Tasks)
		} else if !w.state.isJobDone(n.spec.ID) {
			w.violate("too_early", "%s starts before the end of %s is stored", name, n.spec.ID)
		}
	}
}

// isJobDone says that a job's record says that it is done.
func (s *StateService) isJobDone(id string) bool {
	row := s.records["job/"+id]
	var r struct {
		Status model.JobStatus `msgpack:"s"`
	}
	return row != nil && msgpack.Unmarshal(row.value, &r) == nil && r.Status == model.Done
}

// checkDependents judges the answer that a job is cancelled by what comes after it: nothing of
// that may have begun.
func (w *World) checkDependents(j *userJob) {
	for _, f := range j.dependents {
		if len(f.firstStarts) > 0 {
			w.violate("too_early", "%s has begun, and %s is cancelled", f.spec.ID, j.spec.ID)
		}
	}
}

// checkOrphan judges an answer that leaves a controller or reaches a user. What was
// submitted later than a job before it was cancelled has the time from then.
func (w *World) checkOrphan(j *userJob, r *message.UserReply) {
	if len(j.dependencies) == 0 || r.Status != 200 || isFinal(r.State) {
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

// checkDependencyOutcomes judges at a day's end: a job that nobody cancelled is cancelled only behind
// one that is, and none is done behind one that is cancelled.
func (w *World) checkDependencyOutcomes() {
	for _, id := range sortedKeys(w.jobs) {
		j, behind := w.jobs[id], ""
		for _, n := range j.dependencies {
			if n.lastState == "cancelled" {
				behind = n.spec.ID
			}
		}
		switch {
		case j.lastState == "cancelled" && !j.cancelRequested && behind == "":
			w.violate("crossed", "%s is cancelled, and none that it needs", id)
		case j.lastState == "done" && behind != "":
			w.violate("crossed", "%s is done, and %s that it needs is cancelled", id, behind)
		}
	}
}
