package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/validate"
)

// maxRunTime bounds a run time in a record.
const maxRunTime = 366 * 24 * time.Hour

// recoverSegment applies a record of a job's tasks that an earlier shard leader wrote.
func (f *failover) recoverSegment(j *job, it message.KeyValue, r *record.TaskSegment) {
	format, segmentIndex, ok := f.controller.membership.formats.parseSegmentKey(it.Key)
	if !ok || segmentIndex > validate.MaxTasks || format.tasksPerSegment > validate.MaxTasks || !j.cancelled && segmentIndex*format.tasksPerSegment >= len(j.tasks) {
		f.rejectInput("record", it.Key, "job has no such segment")
		return
	}
	if segmentIndex*format.tasksPerSegment >= len(j.tasks) {
		j.grow((segmentIndex + 1) * format.tasksPerSegment)
	}
	if format == j.segmentFormat {
		j.segments[segmentIndex] = &taskSegment{index: segmentIndex, modRevision: it.ModRevision, version: 1, persistedVersion: 1, inFlightVersion: 1, rankingRevision: r.RankingRevision}
	} else {
		j.formerKeys = append(j.formerKeys, it.Key)
	}
	defer j.markCovered(format, segmentIndex)
	f.recoverDone(j, format, r)
	f.recoverRows(j, format, it.Key, r)
	if format == j.segmentFormat {
		f.recoverFinished(j, segmentIndex, it.Key, r)
	}
	if len(j.sortedRunTimes) == 0 {
		for _, ms := range r.RunTimes {
			if ms > 0 && ms < maxRunTime.Milliseconds() {
				j.recordRunTime(time.Duration(ms) * time.Millisecond)
			}
		}
	}
}

// recoverDone applies which tasks a segment says are done.
func (f *failover) recoverDone(j *job, format segmentFormat, r *record.TaskSegment) {
	for i := 0; i+1 < len(r.DoneRanges); i += 2 {
		for x := max(0, r.DoneRanges[i]); x <= r.DoneRanges[i+1] && x < len(j.tasks); x++ {
			t := &j.tasks[x]
			if t.done || j.isCovered(x) {
				// Listed twice, it is still one: a job is done when all its tasks are.
				continue
			}
			j.trackFormat(format, x, r.RankingRevision)
			t.done, t.version, t.attempt = true, 1, 1
			j.doneTasks++
			j.nextFresh = max(j.nextFresh, x+1)
		}
	}
}

// recoverRows applies the tasks that a segment has rows for: their attempts and, of those
// that were live, their machines and groups.
func (f *failover) recoverRows(j *job, format segmentFormat, key string, r *record.TaskSegment) {
	relaunched := map[int64]bool{}
	for _, g := range r.RelaunchedGroups {
		relaunched[g] = true
	}
	for _, row := range r.Rows {
		if row.Index < 0 || row.Index >= len(j.tasks) || j.isCovered(row.Index) {
			continue
		}
		t := &j.tasks[row.Index]
		if t.done || t.machine != nil {
			f.rejectInput("record", key, "task listed twice")
			continue
		}
		j.trackFormat(format, row.Index, r.RankingRevision)
		t.attempt, t.groupStart, t.relaunched, t.version = row.Try, row.Group, row.Relaunched, 1
		j.nextFresh = max(j.nextFresh, row.Index+1)
		if row.Machine != "" {
			m := f.controller.shardLeader.ownedOrRemoteMachine(r.MachinePrefix + row.Machine)
			if !m.remote && !m.heard {
				// A former owner may have gone on answering it for a while.
				m.leaseEnd = later(m.leaseEnd, f.controller.renewal.leaseEndAfter(later(f.now, m.formerOwnerUntil)))
			}
			f.controller.shardLeader.attachAttempt(j, row.Index, m)
			t.startSent, t.inherited = true, true
			t.rankingRevision = r.RankingRevision
			g := j.recoveredGroup(row.Group)
			g.relaunchDecided = g.relaunchDecided || relaunched[row.Group]
			g.tasks = append(g.tasks, row.Index)
		}
	}
}

// recoveredGroup is the group of a job that a record names, made if there is none.
func (j *job) recoveredGroup(id int64) *group {
	g := j.groups[id]
	if g == nil {
		g = &group{startedAt: time.UnixMilli(id)}
		j.groups[id] = g
	}
	return g
}

// recoverFinished applies in which groups the done tasks of a segment were: what part of a group
// is unfinished decides whether it is relaunched.
func (f *failover) recoverFinished(j *job, segmentIndex int, key string, r *record.TaskSegment) {
	if len(r.FinishedInGroups)%2 != 0 {
		f.rejectInput("record", key, "gd: an odd number of values, want pairs of a group and a count")
		return
	}
	for i := 0; i < len(r.FinishedInGroups); i += 2 {
		id, count := r.FinishedInGroups[i], r.FinishedInGroups[i+1]
		if id <= 0 || count <= 0 || count > int64(j.tasksPerSegment) {
			f.rejectInput("record", key, "gd: a group that is no time, or a count that is no part of the segment")
			continue
		}
		g := j.recoveredGroup(id)
		if g.finishedBefore == nil {
			g.finishedBefore = map[int]int64{}
		}
		g.finishedBefore[segmentIndex] = count
	}
}

// markCovered notes that a sized segment takes precedence over records of former formats: it
// was written later, and has all of its tasks.
func (j *job) markCovered(f segmentFormat, k int) {
	if !f.sized {
		return
	}
	j.covered = append(j.covered, make([]bool, max(0, len(j.tasks)-len(j.covered)))...)
	for i := k * f.tasksPerSegment; i < min((k+1)*f.tasksPerSegment, len(j.tasks)); i++ {
		j.covered[i] = true
	}
}

func (j *job) isCovered(i int) bool { return i < len(j.covered) && j.covered[i] }

// trackFormat notes where a task's state stands: in the job's own format, or in another one,
// which it leaves when it changes.
func (j *job) trackFormat(f segmentFormat, i int, rankingRevision uint64) {
	if f != j.segmentFormat {
		j.formerSegment(i, rankingRevision)
	}
}

// queueRecovered queues the tasks that are neither done nor live.
func (f *failover) queueRecovered(j *job) {
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
