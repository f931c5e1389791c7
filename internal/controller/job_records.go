package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// applyOpenJob applies a created, changed or deleted record in open/ to the shard leader's jobs.
func (shardLeader *shardLeader) applyOpenJob(change message.KeyValue) {
	id := record.JobIDFromKey(change.Key, record.OpenJobPrefix)
	j := shardLeader.jobs[id]
	if change.Deleted {
		if j != nil && j.isLentOrLending() {
			// The job was lent to a peer cluster. The leader deleted the record after the peer
			// had reported the outcome.
			delete(shardLeader.jobs, id)
		}
		return
	}
	if j != nil && change.ModRevision <= j.modRevision {
		return
	}
	if _, ended := shardLeader.controller.frontend.finalStatuses[id]; ended && j == nil && shardLeader.controller.frontend.finalStatuses[id] == model.Done {
		return
	}
	var openRecord record.OpenJob
	if !record.Decode(change.Value, &openRecord) {
		shardLeader.rejectInput("record", change.Key, "record unreadable")
		return
	}
	if err := openRecord.Validate(); err != nil {
		// The job stays queued until an operator repairs the record or cancels the job.
		shardLeader.rejectInput("record", change.Key, err.Error())
		return
	}
	if j == nil {
		// In an earlier format, the record of a cancelled job contains only the cancellation and
		// thus no team.
		held := shardLeader.teams[openRecord.Team]
		if (!openRecord.Cancelled || openRecord.Team != "") && (held == nil || !held.ready) || !shardLeader.ready {
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
		j = shardLeader.addJob(spec, shardLeader.now, change.ModRevision)
		if !openRecord.Cancelled {
			shardLeader.fleet.recordArrival(j)
		}
		j.setLoanFrom(&openRecord)
		shardLeader.controller.promises.noteBaseQuote(j)
	}
	shardLeader.applyJobRecord(j, change.ModRevision, &openRecord)
	shardLeader.scheduler.requestPlacement()
}

// addJob adds a job that was submitted at the given time. modRevision is that of its record in
// open/.
func (shardLeader *shardLeader) addJob(spec model.JobSpec, submittedAt time.Time, modRevision uint64) *job {
	j := newJob(spec, submittedAt, modRevision, shardLeader.settings.currentMaxValueBytes())
	j.segmentFormat = shardLeader.controller.membership.formats.currentFormat()
	shardLeader.jobs[j.ID] = j
	if j.Workload != "" {
		shardLeader.debug("job added", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Deadline, "image", j.Image, "age", shardLeader.now.Sub(j.submittedAt))
		shardLeader.workloads[j.Workload] = &workload{&j.JobSpec, shardLeader.now}
		shardLeader.scheduler.expeditePlacement(j.Workload)
	}
	shardLeader.controller.awaitDependencies(j)
	return j
}

// applyJobRecord updates a job from its current record in open/.
func (shardLeader *shardLeader) applyJobRecord(j *job, modRevision uint64, openRecord *record.OpenJob) {
	id := j.ID
	j.modRevision = modRevision
	j.setLoanFrom(openRecord)
	shardLeader.controller.promises.notePromiseRecord(j, openRecord)
	if openRecord.Cancelled {
		// The transaction that wrote this record also wrote the cancellation to the job's record
		// in job/.
		j.cancelDerived = false
	}
	if openRecord.Cancelled && !j.cancelled {
		j.cancelled = true
		shardLeader.controller.frontend.cacheFinalStatus(id, model.Cancelled)
		for i := range j.tasks[:j.nextFresh] {
			if t := &j.tasks[i]; t.machine != nil {
				t.stopReason = stopCancel
				shardLeader.controller.markDispatchPending(t.machine)
			}
		}
	}
}

// removeJob drops a job whose end is durable.
func (shardLeader *shardLeader) removeJob(j *job) {
	if shardLeader.jobs[j.ID] == j {
		delete(shardLeader.jobs, j.ID)
	}
	shardLeader.faultAttribution.ForgetJob(j.ID)
}

// observeOwnWrite applies a record that this controller has written to its shard leader without
// waiting for the watch. It ignores the record if the watch cache is newer, since the store's
// response may arrive after the job was cancelled and removed.
func (controller *Controller) observeOwnWrite(written message.KeyValue) {
	if controller.shardLeader != nil && written.ModRevision > controller.frontend.watchCache.revision {
		controller.shardLeader.applyOpenJob(written)
	}
}

// workload describes a workload by the spec of its newest job.
type workload struct {
	spec     *model.JobSpec
	lastSeen time.Time
}
