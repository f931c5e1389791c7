package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/validate"
)

// maxRunTime is the upper bound for a valid run time in a record.
const maxRunTime = 366 * 24 * time.Hour

// recoverSegment applies a segment record that an earlier shard leader wrote to a job.
func (failover *failover) recoverSegment(j *job, kv message.KeyValue, rec *record.TaskSegment) {
	format, segmentIndex, ok := failover.controller.membership.formats.parseSegmentKey(kv.Key)
	if !ok || segmentIndex > validate.MaxTasks || format.tasksPerSegment > validate.MaxTasks || !j.cancelled && segmentIndex*format.tasksPerSegment >= len(j.tasks) {
		failover.rejectInput("record", kv.Key, "key does not name a segment of the job")
		return
	}
	if segmentIndex*format.tasksPerSegment >= len(j.tasks) {
		j.grow((segmentIndex + 1) * format.tasksPerSegment)
	}
	if format == j.segmentFormat {
		j.segments[segmentIndex] = &taskSegment{index: segmentIndex, modRevision: kv.ModRevision, version: 1, persistedVersion: 1, inFlightVersion: 1, rankingRevision: rec.RankingRevision}
	} else {
		j.formerKeys = append(j.formerKeys, kv.Key)
	}
	defer j.markCovered(format, segmentIndex)
	failover.recoverDone(j, format, rec)
	failover.recoverRows(j, format, kv.Key, rec)
	if format == j.segmentFormat {
		failover.recoverFinished(j, segmentIndex, kv.Key, rec)
	}
	if len(j.sortedRunTimes) == 0 {
		for _, ms := range rec.RunTimes {
			if ms > 0 && ms < maxRunTime.Milliseconds() {
				j.recordRunTime(time.Duration(ms) * time.Millisecond)
			}
		}
	}
}

// recoverDone marks the tasks as done that a segment record lists as done.
func (failover *failover) recoverDone(j *job, format segmentFormat, rec *record.TaskSegment) {
	for i := 0; i+1 < len(rec.DoneRanges); i += 2 {
		for index := max(0, rec.DoneRanges[i]); index <= rec.DoneRanges[i+1] && index < len(j.tasks); index++ {
			t := &j.tasks[index]
			if t.done || j.isCovered(index) {
				// A task that is listed twice counts once: the job is done when doneTasks reaches
				// the number of its tasks.
				continue
			}
			j.ensureOwnSegment(format, index, rec.RankingRevision)
			t.done, t.version, t.attempt = true, 1, 1
			j.doneTasks++
			j.nextFresh = max(j.nextFresh, index+1)
		}
	}
}

// recoverRows restores the tasks for which a segment record has rows: their attempts and, for live
// attempts, their machines and groups.
func (failover *failover) recoverRows(j *job, format segmentFormat, key string, rec *record.TaskSegment) {
	relaunched := map[int64]bool{}
	for _, g := range rec.RelaunchedGroups {
		relaunched[g] = true
	}
	for _, entry := range rec.Rows {
		if entry.Index < 0 || entry.Index >= len(j.tasks) || j.isCovered(entry.Index) {
			continue
		}
		t := &j.tasks[entry.Index]
		if t.done || t.machine != nil {
			failover.rejectInput("record", key, "task listed twice")
			continue
		}
		j.ensureOwnSegment(format, entry.Index, rec.RankingRevision)
		t.attempt, t.groupStart, t.relaunched, t.version = entry.Try, entry.Group, entry.Relaunched, 1
		j.nextFresh = max(j.nextFresh, entry.Index+1)
		if entry.Machine != "" {
			m := failover.controller.shardLeader.ownedOrRemoteMachine(rec.MachinePrefix + entry.Machine)
			if !m.remote && !m.heard {
				// A former owner may have renewed the machine's lease until formerOwnerUntil.
				m.leaseEnd = later(m.leaseEnd, failover.controller.renewal.leaseEndAfter(later(failover.now, m.formerOwnerUntil)))
			}
			failover.controller.shardLeader.attachAttempt(j, entry.Index, m)
			t.startSent, t.inherited = true, true
			t.rankingRevision = rec.RankingRevision
			g := j.recoveredGroup(entry.Group)
			g.relaunchDecided = g.relaunchDecided || relaunched[entry.Group]
			g.tasks = append(g.tasks, entry.Index)
		}
	}
}

// recoveredGroup returns the job's group with the given ID and creates it if it does not exist.
func (job *job) recoveredGroup(id int64) *group {
	g := job.groups[id]
	if g == nil {
		g = &group{startedAt: time.UnixMilli(id)}
		job.groups[id] = g
	}
	return g
}

// recoverFinished restores how many done tasks of a segment belong to which group. Whether the
// rest of a group is relaunched depends on the unfinished fraction of the group.
func (failover *failover) recoverFinished(j *job, segmentIndex int, key string, rec *record.TaskSegment) {
	if len(rec.FinishedInGroups)%2 != 0 {
		failover.rejectInput("record", key, "gd: odd number of values, want pairs of a group time and a count")
		return
	}
	for i := 0; i < len(rec.FinishedInGroups); i += 2 {
		id, count := rec.FinishedInGroups[i], rec.FinishedInGroups[i+1]
		if id <= 0 || count <= 0 || count > int64(j.tasksPerSegment) {
			failover.rejectInput("record", key, "gd: want a positive group time and a count between 1 and the size of a segment")
			continue
		}
		g := j.recoveredGroup(id)
		if g.finishedBefore == nil {
			g.finishedBefore = map[int]int64{}
		}
		g.finishedBefore[segmentIndex] = count
	}
}

// markCovered records that the given segment of a sized format takes precedence over records of former
// formats for its tasks. The sized segment was written later and contains all of these tasks.
func (job *job) markCovered(format segmentFormat, segmentIndex int) {
	if !format.sized {
		return
	}
	job.covered = append(job.covered, make([]bool, max(0, len(job.tasks)-len(job.covered)))...)
	for i := segmentIndex * format.tasksPerSegment; i < min((segmentIndex+1)*format.tasksPerSegment, len(job.tasks)); i++ {
		job.covered[i] = true
	}
}

// isCovered reports whether a sized segment has already provided the state of task i.
func (job *job) isCovered(i int) bool { return i < len(job.covered) && job.covered[i] }

// ensureOwnSegment records that the state of task i was read from a segment of the given format. If
// this is not the job's own format, ensureOwnSegment creates the task's segment in the job's format.
// The next change of the task is then written there.
func (job *job) ensureOwnSegment(format segmentFormat, i int, rankingRevision uint64) {
	if format != job.segmentFormat {
		job.formerSegment(i, rankingRevision)
	}
}

// queueRecovered queues the tasks that are neither done nor live, once all segments of the job are
// recovered. It also has the live attempts of a cancelled job stopped.
func (failover *failover) queueRecovered(j *job) {
	j.releaseIfStarted()
	j.covered = nil
	for i := range j.tasks[:j.nextFresh] {
		if t := &j.tasks[i]; !t.done && t.machine == nil {
			j.requeued = append(j.requeued, i)
		}
		if t := &j.tasks[i]; j.cancelled && t.machine != nil {
			t.stopReason = stopCancel
		}
	}
}
