package standin

import (
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/vmihailenco/msgpack/v5"
)

// orphans.go checks pipelines: nothing starts before all that it needs is done, and what
// needs a cancelled job is cancelled in time and stays so.

// RuleOrphaned: a job is called queued or running no longer than cancel_s after an answer
// left that says that one before it is cancelled.
const RuleOrphaned = "orphaned"

// released says that all that a job needs is done, by the workers' own results.
func (j *userJob) released() bool {
	for _, n := range j.needs {
		if n.endedAt.IsZero() {
			return false
		}
	}
	return true
}

// from is since when times but the due time count: when the last job that it needs was
// done, and not before its submission.
func (j *userJob) from() time.Time {
	at := j.submitted
	for _, n := range j.needs {
		if n.endedAt.After(at) {
			at = n.endedAt
		}
	}
	return at
}

// resultsComplete notes when all tasks of a job are done.
func (w *World) resultsComplete(j *userJob) {
	if !j.endedAt.IsZero() || len(j.results) < j.spec.Tasks {
		return
	}
	j.endedAt = w.now
	j.happens()
}

// calledOff says that its user, or one of a job before it, cancels, and was not told that
// it is done.
func (j *userJob) calledOff() bool { return j.aborting || j.behindCancelled() }

// behindCancelled says that the user of a job before it cancels that and wasn't told that
// it is done: what comes after a done job goes on.
func (j *userJob) behindCancelled() bool {
	for _, n := range j.needs {
		if n.told != "done" && n.calledOff() {
			return true
		}
	}
	return false
}

// offSince is since when anybody could know that a job is cancelled, through one before
// it too: since the first answer left that says so of one of them.
func (j *userJob) offSince() time.Time {
	since := j.cancelled
	for _, n := range j.needs {
		if at := n.offSince(); !at.IsZero() && (since.IsZero() || at.Before(since)) {
			since = at
		}
	}
	return since
}

// checkNeeds judges the start of a task by what its job needs: all its tasks are done, and
// the state service holds that it is. One that is called cancelled never is.
func (w *World) checkNeeds(j *userJob, name string) {
	for _, n := range j.needs {
		if n.endedAt.IsZero() {
			w.broke("too_early", "%s starts before %s is done: %d of %d", name, n.spec.ID, len(n.results), n.spec.Tasks)
		} else if !w.state.done(n.spec.ID) {
			w.broke("too_early", "%s starts before the end of %s is stored", name, n.spec.ID)
		}
	}
}

// done says that a job's record says that it is done.
func (s *StateService) done(id string) bool {
	row := s.rows["job/"+id]
	var r struct {
		Status core.JobStatus `msgpack:"s"`
	}
	return row != nil && msgpack.Unmarshal(row.value, &r) == nil && r.Status == core.Done
}

// checkBehind judges the answer that a job is cancelled by what comes after it: nothing of
// that may have begun.
func (w *World) checkBehind(j *userJob) {
	for _, f := range j.followers {
		if len(f.began) > 0 {
			w.broke("too_early", "%s has begun, and %s is cancelled", f.spec.ID, j.spec.ID)
		}
	}
}

// checkOrphan judges an answer that leaves a controller or reaches a user. What was
// submitted later than a job before it was cancelled has the time from then.
func (w *World) checkOrphan(j *userJob, r *core.UserReply) {
	if len(j.needs) == 0 || r.Status != 200 || over(r.State) {
		return
	}
	since := j.offSince()
	if since.IsZero() {
		return
	}
	if j.submitted.After(since) {
		since = j.submitted
	}
	left := w.cancel - w.now.Sub(since)
	w.near(RuleOrphaned, left, j.spec.ID)
	if left < 0 && !j.orphanBlamed {
		j.orphanBlamed = true
		w.broke(RuleOrphaned, "%s is called %s %.1f s after one before it was cancelled", j.spec.ID, r.State, w.now.Sub(since).Seconds())
	}
}

// checkClosures judges at a day's end: a job that nobody cancelled is cancelled only behind
// one that is, and none is done behind one that is cancelled.
func (w *World) checkClosures() {
	for _, id := range sorted(w.jobs) {
		j, behind := w.jobs[id], ""
		for _, n := range j.needs {
			if n.told == "cancelled" {
				behind = n.spec.ID
			}
		}
		switch {
		case j.told == "cancelled" && !j.aborting && behind == "":
			w.broke("crossed", "%s is cancelled, and none that it needs", id)
		case j.told == "done" && behind != "":
			w.broke("crossed", "%s is done, and %s that it needs is cancelled", id, behind)
		}
	}
}
