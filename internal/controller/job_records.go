package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// applyOpenJob applies a created, changed or deleted record in open/ to the shard leader's jobs.
func (s *shardLeader) applyOpenJob(change message.KeyValue) {
	id := record.JobIDFromKey(change.Key, record.OpenJobPrefix)
	j := s.jobs[id]
	if change.Deleted {
		if j != nil && j.isLentOrLending() {
			// The job was lent to a peer cluster. Its shard leader deleted the record after the
			// peer had reported the outcome.
			delete(s.jobs, id)
		}
		return
	}
	if j != nil && change.ModRevision <= j.modRevision {
		return
	}
	if _, ended := s.controller.frontend.finalStatuses[id]; ended && j == nil && s.controller.frontend.finalStatuses[id] == model.Done {
		return
	}
	var openRecord record.OpenJob
	if !record.Decode(change.Value, &openRecord) {
		s.rejectInput("record", change.Key, "record unreadable")
		return
	}
	if err := openRecord.Validate(); err != nil {
		// The job stays queued until an operator repairs the record or cancels the job.
		s.rejectInput("record", change.Key, err.Error())
		return
	}
	if j == nil {
		// In an earlier format, the record of a cancelled job contains only the cancellation and
		// thus no team.
		held := s.teams[openRecord.Team]
		if (!openRecord.Cancelled || openRecord.Team != "") && (held == nil || !held.ready) || !s.ready {
			// The job belongs to another shard, or it is added once the records of its team have
			// been read.
			return
		}
		spec := openRecord.JobSpec(id)
		if openRecord.Cancelled {
			spec.Tasks = openRecord.Tasks
		}
		// The job is new, and its waiting times are measured by this controller's clock. The clock
		// of the controller that accepted it may be a second off.
		j = s.addJob(spec, s.now, change.ModRevision)
		if !openRecord.Cancelled {
			s.fleet.recordArrival(j)
		}
		j.setLoanFrom(&openRecord)
		s.controller.promises.noteBaseQuote(j)
	}
	s.applyJobRecord(j, change.ModRevision, &openRecord)
	s.scheduler.requestPlacement()
}

// addJob adds a job that was submitted at the given time. modRevision is that of its record in
// open/.
func (s *shardLeader) addJob(spec model.JobSpec, submittedAt time.Time, modRevision uint64) *job {
	j := newJob(spec, submittedAt, modRevision, s.settings.currentMaxValueBytes())
	j.segmentFormat = s.controller.membership.formats.currentFormat()
	s.jobs[j.ID] = j
	if j.Workload != "" {
		s.debug("job added", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Deadline, "image", j.Image, "age", s.now.Sub(j.submittedAt))
		s.workloads[j.Workload] = &workload{&j.JobSpec, s.now}
		s.scheduler.expeditePlacement(j.Workload)
	}
	s.controller.awaitDependencies(j)
	return j
}

// applyJobRecord updates a job from its current record in open/.
func (s *shardLeader) applyJobRecord(j *job, modRevision uint64, openRecord *record.OpenJob) {
	id := j.ID
	j.modRevision = modRevision
	j.setLoanFrom(openRecord)
	s.controller.promises.notePromiseRecord(j, openRecord)
	if openRecord.Cancelled {
		// The transaction that wrote this record also wrote the cancellation to the job's record
		// in job/.
		j.cancelDerived = false
	}
	if openRecord.Cancelled && !j.cancelled {
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

// removeJob drops a job whose end is durable.
func (s *shardLeader) removeJob(j *job) {
	if s.jobs[j.ID] == j {
		delete(s.jobs, j.ID)
	}
	s.faultAttribution.ForgetJob(j.ID)
}

// observeOwnWrite applies a record that this controller has written to its shard leader without
// waiting for the watch. It ignores the record if the watch cache is newer, since the store's
// response may arrive after the job was cancelled and removed.
func (c *Controller) observeOwnWrite(written message.KeyValue) {
	if c.shardLeader != nil && written.ModRevision > c.frontend.watchCache.revision {
		c.shardLeader.applyOpenJob(written)
	}
}

// workload describes a workload by the spec of its newest job.
type workload struct {
	spec     *model.JobSpec
	lastSeen time.Time
}
