package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// applyOpenJob applies a change of a job's record in open/, be it new, changed or deleted.
func (s *shardLeader) applyOpenJob(it message.KeyValue) {
	id := record.JobIDFromKey(it.Key, record.OpenJobPrefix)
	j := s.jobs[id]
	if it.Deleted {
		if j != nil && j.elsewhere() {
			// The leader has settled it, after it heard from the peer cluster.
			delete(s.jobs, id)
		}
		return
	}
	if j != nil && it.ModRevision <= j.modRevision {
		return
	}
	if _, ended := s.controller.frontend.finalStatuses[id]; ended && j == nil && s.controller.frontend.finalStatuses[id] == model.Done {
		return
	}
	var r record.OpenJob
	if !record.Decode(it.Value, &r) {
		s.rejectInput("record", it.Key, "record unreadable")
		return
	}
	if err := r.Validate(); err != nil {
		// The job stays queued until somebody mends the record or cancels it.
		s.rejectInput("record", it.Key, err.Error())
		return
	}
	if j == nil {
		// An earlier format kept nothing of a cancelled job but that it is cancelled.
		held := s.teams[r.Team]
		if (!r.Cancelled || r.Team != "") && (held == nil || !held.ready) || !s.ready {
			// Another shard's, or it comes when the team's records have been read.
			return
		}
		spec := r.JobSpec(id)
		if r.Cancelled {
			spec.Tasks = r.Tasks
		}
		// It has just come, and its waits are measured by this controller's clock; another's
		// may be a second off.
		j = s.addJob(spec, s.now, it.ModRevision)
		if !r.Cancelled {
			s.fleet.recordArrival(j)
		}
		j.setLoanFrom(&r)
		s.controller.promises.noteBaseQuote(j)
	}
	s.applyJobRecord(j, it.ModRevision, &r)
	s.scheduler.requestPlacement()
}

// addJob adds a job that was submitted at a time, with the mod revision of its record.
func (s *shardLeader) addJob(spec model.JobSpec, at time.Time, modRevision uint64) *job {
	j := newJob(spec, at, modRevision, s.settings.currentMaxValueBytes())
	j.segmentFormat = s.controller.membership.formats.currentFormat()
	s.jobs[j.ID] = j
	if j.Workload != "" {
		s.debug("job added", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Deadline, "image", j.Image, "age", s.now.Sub(j.submittedAt))
		s.workloads[j.Workload] = &workload{&j.JobSpec, s.now}
		s.scheduler.hurryPlacement(j.Workload)
	}
	s.controller.awaitDependencies(j)
	return j
}

// applyJobRecord applies a job's record in open/ as it is now to the job.
func (s *shardLeader) applyJobRecord(j *job, modRevision uint64, r *record.OpenJob) {
	id := j.ID
	j.modRevision = modRevision
	j.setLoanFrom(r)
	s.controller.promises.notePromiseRecord(j, r)
	if r.Cancelled {
		// Whoever wrote this has written the record in job/ with it.
		j.cancelDerived = false
	}
	if r.Cancelled && !j.cancelled {
		j.cancelled = true
		s.controller.frontend.cacheFinalStatus(id, model.Cancelled)
		for i := range j.tasks[:j.nextFresh] {
			if t := &j.tasks[i]; t.machine != nil {
				t.stopReason = stopCancel
				s.controller.markDispatchPending(t.machine)
			}
		}
	}
}

// removeJob drops a job whose end is recorded.
func (s *shardLeader) removeJob(j *job) {
	if s.jobs[j.ID] == j {
		delete(s.jobs, j.ID)
	}
	s.faultAttribution.ForgetJob(j.ID)
}

// observeOwnWrite applies a record that this controller wrote to its shard leader at once,
// unless the watch cache is newer: the answer may come after the job was cancelled and over.
func (c *Controller) observeOwnWrite(it message.KeyValue) {
	if c.shardLeader != nil && it.ModRevision > c.frontend.watchCache.revision {
		c.shardLeader.applyOpenJob(it)
	}
}

// workload is what is known of a workload by its newest job.
type workload struct {
	spec     *model.JobSpec
	lastSeen time.Time
}
