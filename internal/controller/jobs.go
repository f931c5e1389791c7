package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// stopReason is why the shard leader wants to stop a live attempt.
type stopReason uint8

// The reasons for stopping an attempt. stopNone means that the attempt is to continue.
const (
	stopNone stopReason = iota
	stopCancel
	stopRelaunch
	stopPreempt
	stopDrain
)

// task is one task of a job. Its attempt is live while machine is set, which is from the
// decision to start the attempt there until the shard leader has proof that the attempt is gone.
type task struct {
	// attempt counts from 1; 0 means that the task was never placed. groupStart is the Unix time
	// in milliseconds at which the attempt was placed. It identifies the attempt's group.
	attempt    uint64
	machine    *machine
	groupStart int64
	// version is the segment version at which the task last changed.
	version uint64
	// rankingRevision is the mod revision of the ranking under which the task was placed.
	rankingRevision uint64

	// startedAt is when the worker first reported the attempt as running, or zero.
	startedAt    time.Time
	avoidMachine string
	notBefore    time.Time
	stoppedAt    time.Time
	failures     int
	preemptions  int

	// status is the status that the worker last reported. It is valid only if reported is set.
	status model.TaskStatus
	// missedStarts counts the consecutive heartbeats that did not list the attempt although its
	// start had been sent.
	missedStarts uint8
	// startSent: a start command may be in flight. reported: the worker has reported the attempt.
	startSent  bool
	reported   bool
	stopReason stopReason
	relaunched bool
	// inherited: a former shard leader started the attempt, so this shard leader does not know
	// when it began to run.
	inherited bool
	done      bool
}

// group is a set of tasks of one job that were started together.
type group struct {
	startedAt       time.Time
	tasks           []int
	relaunchDecided bool
	// finishedBefore counts, by segment, the tasks of the group that finished under a former
	// shard leader. They are not listed in tasks.
	finishedBefore map[int]int64
}

// size returns how many tasks were started together.
func (g *group) size() int {
	size := len(g.tasks)
	for _, count := range g.finishedBefore {
		size += int(count)
	}
	return size
}

// taskSegment is the state of a task segment: a durable record that covers a range of
// consecutive tasks of a job.
type taskSegment struct {
	index int
	// modRevision is the mod revision of the stored record, or 0 if no record is stored.
	modRevision uint64
	// version counts the changes to the segment's tasks. persistedVersion is the version that is
	// durable, inFlightVersion the one that was last sent to the store, and rejectedVersion the
	// one that the store rejected as malformed.
	version          uint64
	persistedVersion uint64
	inFlightVersion  uint64
	rejectedVersion  uint64
	writeInFlight    bool
	// rankingRevision is the mod revision of the ranking that is named in the record of the
	// segment's most recent starts.
	rankingRevision uint64
	// writeAlone: the store rejected a transaction that held this and other segments as malformed,
	// so this segment is written in a transaction of its own.
	writeAlone bool
	// urgent: a start waits for the write. A write that is not urgent may be delayed, counted from
	// changedSince, in order to share a transaction.
	urgent       bool
	changedSince time.Time
}

// job is an open job in one of this shard leader's shards.
type job struct {
	model.JobSpec
	submittedAt time.Time
	// modRevision is the mod revision of the job's record in open/.
	modRevision uint64
	cancelled   bool
	// ending: the job's end is being written. endWriteAlone: the store rejected a transaction that
	// held the ends of this and other jobs as malformed, so this end is written alone.
	ending        bool
	endWriteAlone bool

	// segmentFormat is how the tasks are divided into segments. formerKeys are the keys of
	// segment records in other formats, which are deleted with the job. covered is set during
	// recovery only: for the tasks marked in it, records in other formats are ignored.
	segmentFormat
	formerKeys []string
	covered    []bool
	tasks      []task
	segments   map[int]*taskSegment
	// unpersisted: some segment may have changed since it was last written.
	unpersisted bool

	// Tasks with an index of nextFresh or above have never been placed. The tasks in requeued
	// wait for another attempt.
	nextFresh int
	requeued  []int
	doneTasks int
	// liveTasks counts the live attempts, liveByZone counts them by zone, and runningTasks
	// counts those that workers report as running.
	liveTasks    int
	liveByZone   map[string]int
	runningTasks int
	// groups maps groupStart to the group.
	groups map[int64]*group

	// recentRunTimes are the run times of the tasks that finished last, in the order in which
	// they finished. sortedRunTimes are the run times of all finished tasks, shortest first, for
	// the median.
	recentRunTimes []time.Duration
	sortedRunTimes []time.Duration

	// notBefore is the earliest time at which a job that fails everywhere may be tried again.
	notBefore time.Time
	// lastPreemptionScan is when the scheduler last searched for tasks to preempt for this job.
	// preemptionCapacity is for how many of the job's tasks the preempted tasks free capacity.
	lastPreemptionScan time.Time
	preemptionCapacity int
	// overdue: the job has waited behind other jobs for longer than its bound. placingOverdue: the
	// tasks that go first because the job is overdue are being placed. lastPlacedAt is when a
	// task of the job was last placed. waitingSince is the start of the period in which at least
	// one task has been waiting continuously.
	overdue, placingOverdue    bool
	lastPlacedAt, waitingSince time.Time

	lastPublished message.Progress
	// rankingPlace is the job's cached place in the ranking table with version rankingVersion.
	rankingPlace, rankingVersion int

	dependencyState
	loanState
	dateState
}

// newJob returns a job without placed tasks that was submitted at the given time. valueBytes is
// the store's limit for a value, which bounds the tasks of a segment.
func newJob(spec model.JobSpec, submittedAt time.Time, modRevision uint64, valueBytes int) *job {
	return &job{
		JobSpec: spec, submittedAt: submittedAt, modRevision: modRevision, segmentFormat: segmentFormat{tasksPerSegment: record.MaxTasksPerSegment(valueBytes)},
		tasks:    make([]task, spec.Tasks),
		segments: map[int]*taskSegment{}, groups: map[int64]*group{}, liveByZone: map[string]int{},
	}
}

// grow extends the job to the given number of tasks. It is needed where a record of an earlier
// format does not contain the task count. Growing the slice may move the tasks in memory, so grow
// also updates the machines' pointers to them. Otherwise the machines would keep attempts of a
// cancelled job in a stale copy, and nothing would stop these attempts.
func (job *job) grow(tasks int) {
	job.tasks = append(job.tasks, make([]task, tasks-len(job.tasks))...)
	for i := range job.tasks {
		if t := &job.tasks[i]; t.machine != nil {
			t.machine.attempts[taskKey{job.ID, i}] = t
		}
	}
}

// progress returns the task counts that users see.
func (job *job) progress() message.Progress {
	return message.Progress{ID: job.ID, Done: job.doneTasks, Running: job.runningTasks}
}

// isRunning reports whether a worker reports the attempt as running.
func (task *task) isRunning() bool {
	return task.machine != nil && task.reported && task.status == model.Running
}

// recordRunTime records the run time of a finished task.
func (job *job) recordRunTime(runTime time.Duration) {
	i, _ := slices.BinarySearch(job.sortedRunTimes, runTime)
	job.sortedRunTimes = slices.Insert(job.sortedRunTimes, i, runTime)
	job.recentRunTimes = append(job.recentRunTimes, runTime)
	if len(job.recentRunTimes) > 2*keptRunTimes {
		job.recentRunTimes = slices.Clone(job.recentRunTimes[len(job.recentRunTimes)-keptRunTimes:])
	}
}

// keptRunTimes is how many of the most recent run times a segment's record contains. They are
// enough for the next shard leader to compute a median.
const keptRunTimes = 16

// segmentOf returns the segment of task i and creates it if it does not exist.
func (job *job) segmentOf(i int) *taskSegment {
	seg := job.segments[i/job.tasksPerSegment]
	if seg == nil {
		seg = &taskSegment{index: i / job.tasksPerSegment}
		job.segments[seg.index] = seg
	}
	return seg
}

// segmentKey returns the key of the segment's record in the store.
func (job *job) segmentKey(seg *taskSegment) string { return job.keyOf(job.ID, seg.index) }

// markChanged records that task i changed and has to be written. urgent says that a start or the
// job's end waits for the write.
func (job *job) markChanged(i int, now time.Time, urgent bool) {
	seg := job.segmentOf(i)
	if seg.version == seg.inFlightVersion || seg.version == seg.persistedVersion {
		seg.changedSince = now
	}
	seg.version++
	job.unpersisted = true
	seg.urgent = seg.urgent || urgent
	job.tasks[i].version = seg.version
}

// durable reports whether the last change of task i is in the store.
func (job *job) durable(i int) bool {
	seg := job.segments[i/job.tasksPerSegment]
	return seg != nil && job.tasks[i].version <= seg.persistedVersion
}

// pendingTasks returns the number of tasks that wait for placement.
func (job *job) pendingTasks() int {
	if job.cancelled || job.ending || job.dependenciesPending || job.isLentOrLending() {
		return 0
	}
	return len(job.tasks) - job.nextFresh + len(job.requeued)
}

// takePending removes the next task to place from the queue and returns its index, or -1 if no
// task may be placed at this time.
func (job *job) takePending(now time.Time) int {
	for position, i := range job.requeued {
		if !job.tasks[i].notBefore.After(now) {
			if position == 0 {
				// The usual case: reslicing avoids moving the elements of a long queue.
				job.requeued = job.requeued[1:]
			} else {
				job.requeued = slices.Delete(job.requeued, position, position+1)
			}
			return i
		}
	}
	if job.nextFresh < len(job.tasks) {
		job.nextFresh++
		return job.nextFresh - 1
	}
	return -1
}

// avoidedMachine returns the machine on which none of the job's waiting tasks may be placed, or ""
// if no machine is excluded for all of them. A simulation must not count this machine's free
// capacity for the job; otherwise the tasks would wait for it forever.
func (job *job) avoidedMachine() string {
	if job.nextFresh < len(job.tasks) || len(job.requeued) == 0 {
		return ""
	}
	avoided := job.tasks[job.requeued[0]].avoidMachine
	for _, i := range job.requeued {
		if t := &job.tasks[i]; t.avoidMachine != avoided || !t.avoids(avoided) {
			return ""
		}
	}
	return avoided
}

// avoids reports whether the task must not be placed on the machine because it failed or was too
// slow there. A task with jobFaultFailures failures or more may be placed on any machine.
func (task *task) avoids(machine string) bool {
	return task.avoidMachine == machine && task.failures < jobFaultFailures
}

// jobFaultFailures is the number of failures of a task from which on a fault of the job itself is
// more likely than a fault of the machine.
const jobFaultFailures = 4

// segmentRecord returns the record to store for the current state of a segment.
func (job *job) segmentRecord(seg *taskSegment) record.TaskSegment {
	rec := record.TaskSegment{RankingRevision: seg.rankingRevision}
	first, end := seg.index*job.tasksPerSegment, min((seg.index+1)*job.tasksPerSegment, len(job.tasks))
	groups := map[int64]bool{}
	finished := map[int64]int64{}
	for i := first; i < end; i++ {
		t := &job.tasks[i]
		switch {
		case t.done:
			finished[t.groupStart]++
			if k := len(rec.DoneRanges); k > 0 && rec.DoneRanges[k-1] == i-1 {
				rec.DoneRanges[k-1] = i
			} else {
				rec.DoneRanges = append(rec.DoneRanges, i, i)
			}
		case t.attempt > 0:
			entry := record.TaskEntry{Index: i, Try: t.attempt, Group: t.groupStart, Relaunched: t.relaunched}
			if t.machine != nil {
				entry.Machine = t.machine.id
			}
			rec.Rows = append(rec.Rows, entry)
			groups[t.groupStart] = true
		}
	}
	for groupID := range groups {
		if group := job.groups[groupID]; group != nil && group.relaunchDecided {
			rec.RelaunchedGroups = append(rec.RelaunchedGroups, groupID)
		}
	}
	slices.Sort(rec.RelaunchedGroups)
	for _, id := range sortedKeys(job.groups) {
		if count := finished[id] + job.groups[id].finishedBefore[seg.index]; count > 0 {
			rec.FinishedInGroups = append(rec.FinishedInGroups, id, count)
		}
	}
	rec.FactorMachinePrefix()
	for _, d := range job.recentRunTimes[max(0, len(job.recentRunTimes)-keptRunTimes):] {
		rec.RunTimes = append(rec.RunTimes, d.Milliseconds())
	}
	return rec
}

// medianRunTime returns the median run time of the job's finished tasks, and false if no task has
// finished.
func (job *job) medianRunTime() (time.Duration, bool) {
	if len(job.sortedRunTimes) == 0 {
		return 0, false
	}
	return job.sortedRunTimes[len(job.sortedRunTimes)/2], true
}

// allowsMachine reports whether the job's constraints permit its tasks on a machine of the given
// type and zone. spot says that the machine is a spot machine.
func (job *job) allowsMachine(machineType, zone string, spot bool) bool {
	if !job.AllowsMachineType(machineType) {
		return false
	}
	if job.Zone != "" && job.Zone != zone {
		return false
	}
	return job.AllowSpot || !spot
}

// zoneAllowed reports whether zone affinity (same_place) and anti-affinity (apart) permit another
// task in a zone, given the zones of the job's live tasks.
func (job *job) zoneAllowed(zone string) bool {
	if job.SpreadZones && job.liveByZone[""] > 0 {
		// After a failover the zone of a machine is unknown until its first heartbeat or
		// the cloud's next list. For affinity, below, an unknown zone counts as a different zone.
		return false
	}
	if job.SameZone && job.liveTasks > 0 {
		for otherZone, tasks := range job.liveByZone {
			if tasks > 0 && otherZone != zone {
				return false
			}
		}
	}
	return !job.SpreadZones || job.liveByZone[zone] < (len(job.tasks)+1)/2
}
