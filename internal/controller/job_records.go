package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

func (s *shardLeader) applyOpenJob(it message.KeyValue) {
	id := record.JobIDFromKey(it.Key, record.OpenJobPrefix)
	j := s.jobs[id]
	if it.Deleted {
		if j != nil && j.elsewhere() {
			// Settled by the leader, who has heard from the peer.
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
	if problem := r.Validate(); problem != "" {
		// Its job stays queued until somebody mends the record or cancels it.
		s.rejectInput("record", it.Key, problem)
		return
	}
	if j == nil {
		// An earlier form kept nothing of a cancelled job but that it is one.
		held := s.teams[r.Team]
		if (!r.Cancelled || r.Team != "") && (held == nil || !held.ready) || !s.ready {
			// Another's, or it comes when the team's records have been read.
			return
		}
		spec := r.JobSpec(id)
		if r.Cancelled {
			spec.Tasks = r.Tasks
		}
		// It has just come, and this clock is the one that its waits are judged by
		// here; another controller's may be a second off.
		j = s.addJob(spec, s.now, it.ModRevision)
		if !r.Cancelled {
			s.fleet.noteArrival(j)
		}
		j.setLoanFrom(&r)
		s.controller.promises.noteBaseQuote(j)
	}
	s.applyJobRecord(j, it.ModRevision, &r)
	s.scheduler.requestPlacement()
}

// addJob takes a job into the owner's books.
func (s *shardLeader) addJob(spec model.JobSpec, at time.Time, modRevision uint64) *job {
	j := newJob(spec, at, modRevision, s.settings.currentMaxValueBytes())
	j.segmentFormat = s.controller.membership.formats.currentFormat()
	s.jobs[j.ID] = j
	if j.Workload != "" {
		s.debug("job added", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Deadline, "image", j.Image, "age", s.now.Sub(j.submittedAt))
		s.workloads[j.Workload] = &workload{&j.JobSpec, s.now}
		if s.waitObjective(j.Workload) > 0 {
			s.scheduler.makePlacementUrgent()
		}
	}
	s.controller.awaitDependencies(j)
	return j
}

// applyJobRecord takes in a job's record in open/ as it stands now.
func (s *shardLeader) applyJobRecord(j *job, modRevision uint64, r *record.OpenJob) {
	id := j.ID
	j.modRevision = modRevision
	j.setLoanFrom(r)
	s.controller.promises.notePromiseRecord(j, r)
	if r.Cancelled {
		// Whoever wrote that has written job/ with it.
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

// observeOwnWrite tells the owner at once of a change this node wrote itself, unless the
// picture is newer: its answer may come after the job was cancelled and over.
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

// arrival is a job that came in, as the sizing of the fleet counts it.
type arrival struct {
	arrivedAt time.Time
	tasks     int
	need      model.Resources
	spec      *model.JobSpec
}
