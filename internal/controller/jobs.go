package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// stopReason is why a live attempt is to be stopped.
type stopReason uint8

const (
	stopNone stopReason = iota
	stopCancel
	stopRelaunch
	stopPreempt
	stopDrain
)

// task is one task of a job. Its attempt is live while machine is set: from the decision to
// start it there until there is proof that it is gone.
type task struct {
	// attempt counts from 1; 0: never placed. groupStart is when it was placed, in
	// milliseconds, and names its group.
	attempt    uint64
	machine    *machine
	groupStart int64
	// version is the segment version at which the task last changed.
	version uint64
	// rankingRevision is the mod revision of the ranking under which it was placed.
	rankingRevision uint64

	// startedAt is when it was first reported as running, or zero.
	startedAt    time.Time
	avoidMachine string
	notBefore    time.Time
	stoppedAt    time.Time
	failures     int
	preemptions  int

	// status is what the worker last reported, if reported.
	status model.TaskStatus
	// missedStarts counts the heartbeats in a row that did not show it though its start was
	// sent.
	missedStarts uint8
	// startSent: a start may be in flight. startUnanswered: one was surely sent and had no
	// answer. reported: the worker has reported the attempt.
	startSent       bool
	startUnanswered bool
	reported        bool
	stopReason      stopReason
	relaunched      bool
	// inherited: a former shard leader started it, so this one does not know when it began
	// to run.
	inherited bool
	done      bool
}

// group is the tasks of a job that were started together.
type group struct {
	startedAt       time.Time
	tasks           []int
	relaunchDecided bool
	// finishedBefore counts, by segment, the tasks that were done under a former shard leader
	// and are not among tasks.
	finishedBefore map[int]int64
}

// size is how many tasks were started together.
func (g *group) size() int {
	size := len(g.tasks)
	for _, count := range g.finishedBefore {
		size += int(count)
	}
	return size
}

// taskSegment is the durable record of some consecutive tasks.
type taskSegment struct {
	index int
	// modRevision is that of its record, 0 if there is none.
	modRevision uint64
	// version counts the changes. The others are the versions that are durable, that were
	// last sent, and that the store called malformed.
	version          uint64
	persistedVersion uint64
	inFlightVersion  uint64
	rejectedVersion  uint64
	writeInFlight    bool
	// rankingRevision is the mod revision of the ranking that the record of its last starts
	// names.
	rankingRevision uint64
	// writeAlone: a transaction that it shared was malformed, so it gets one of its own.
	writeAlone bool
	// urgent: a start waits for the write. Otherwise it may wait, from changedSince on, and
	// share a transaction.
	urgent       bool
	changedSince time.Time
}

// job is an open job of this shard leader's shards.
type job struct {
	model.JobSpec
	submittedAt time.Time
	// modRevision is that of the open record.
	modRevision uint64
	cancelled   bool
	// ending: its end is being written. endWriteAlone: a transaction that its end shared was
	// malformed.
	ending        bool
	endWriteAlone bool

	// segmentFormat is how the tasks are divided among segments. formerKeys are keys of
	// records of other formats, which are deleted with the job. covered, during recovery,
	// are the tasks of which such records say nothing that counts.
	segmentFormat
	formerKeys []string
	covered    []bool
	tasks      []task
	segments   map[int]*taskSegment
	// unpersisted: some segment may have changed since it was written.
	unpersisted bool

	// Tasks from nextFresh on have never been placed; requeued ones wait for another
	// attempt.
	nextFresh int
	requeued  []int
	doneTasks int
	// liveTasks counts the live attempts, liveByZone by zone, and runningTasks those that
	// are reported as running.
	liveTasks    int
	liveByZone   map[string]int
	runningTasks int
	// groups are by groupStart.
	groups map[int64]*group

	// recentRunTimes are the last finished run times, in the order of their ends;
	// sortedRunTimes are all of them by length, for the median.
	recentRunTimes []time.Duration
	sortedRunTimes []time.Duration

	// notBefore is when a job that fails everywhere may be tried again.
	notBefore time.Time
	// lastPreemptionScan is when it last looked for victims of preemption, and
	// preemptionCapacity for how many of its tasks their end makes free capacity.
	lastPreemptionScan time.Time
	preemptionCapacity int
	// overdue: it has waited behind others for longer than it may. placingOverdue: what goes
	// first for that is being placed. lastPlacedAt is when a task was last placed, and
	// waitingSince since when some task has been waiting without a break.
	overdue, placingOverdue    bool
	lastPlacedAt, waitingSince time.Time

	lastPublished message.Progress
	// rankingPlace is its place in the table of rankingVersion.
	rankingPlace, rankingVersion int

	dependencyState
	loanState
	dateState
}

func newJob(spec model.JobSpec, at time.Time, modRevision uint64, valueBytes int) *job {
	return &job{
		JobSpec: spec, submittedAt: at, modRevision: modRevision, segmentFormat: segmentFormat{tasksPerSegment: record.MaxTasksPerSegment(valueBytes)},
		tasks:    make([]task, spec.Tasks),
		segments: map[int]*taskSegment{}, groups: map[int64]*group{}, liveByZone: map[string]int{},
	}
}

// grow adds tasks, where a record of an earlier format did not say how many there are. Machines
// point to the tasks, which move here: without new pointers, the attempts of a cancelled job
// would stay in a copy that nothing stops.
func (j *job) grow(tasks int) {
	j.tasks = append(j.tasks, make([]task, tasks-len(j.tasks))...)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.machine != nil {
			t.machine.attempts[taskKey{j.ID, i}] = t
		}
	}
}

// progress is the count of tasks for users.
func (j *job) progress() message.Progress {
	return message.Progress{ID: j.ID, Done: j.doneTasks, Running: j.runningTasks}
}

// isRunning says that a worker reports the attempt as running.
func (t *task) isRunning() bool { return t.machine != nil && t.reported && t.status == model.Running }

// recordRunTime notes the run time of a task that is done.
func (j *job) recordRunTime(d time.Duration) {
	i, _ := slices.BinarySearch(j.sortedRunTimes, d)
	j.sortedRunTimes = slices.Insert(j.sortedRunTimes, i, d)
	j.recentRunTimes = append(j.recentRunTimes, d)
	if len(j.recentRunTimes) > 2*keptRunTimes {
		j.recentRunTimes = slices.Clone(j.recentRunTimes[len(j.recentRunTimes)-keptRunTimes:])
	}
}

// keptRunTimes is how many of the last run times a segment's record has: enough for a
// successor's median.
const keptRunTimes = 16

// segmentOf is the segment of task i, made if there is none.
func (j *job) segmentOf(i int) *taskSegment {
	seg := j.segments[i/j.tasksPerSegment]
	if seg == nil {
		seg = &taskSegment{index: i / j.tasksPerSegment}
		j.segments[seg.index] = seg
	}
	return seg
}

func (j *job) segmentKey(seg *taskSegment) string { return j.keyOf(j.ID, seg.index) }

// markChanged notes that task i changed and has to be written; urgent: something waits for that.
func (j *job) markChanged(i int, now time.Time, urgent bool) {
	seg := j.segmentOf(i)
	if seg.version == seg.inFlightVersion || seg.version == seg.persistedVersion {
		seg.changedSince = now
	}
	seg.version++
	j.unpersisted = true
	seg.urgent = seg.urgent || urgent
	j.tasks[i].version = seg.version
}

// durable says whether the last change of task i is in the store.
func (j *job) durable(i int) bool {
	seg := j.segments[i/j.tasksPerSegment]
	return seg != nil && j.tasks[i].version <= seg.persistedVersion
}

// pendingTasks counts the tasks that wait for placement.
func (j *job) pendingTasks() int {
	if j.cancelled || j.ending || j.dependenciesPending || j.elsewhere() {
		return 0
	}
	return len(j.tasks) - j.nextFresh + len(j.requeued)
}

// takePending returns the next task to place, or -1.
func (j *job) takePending(now time.Time) int {
	for k, i := range j.requeued {
		if !j.tasks[i].notBefore.After(now) {
			if k == 0 {
				// The usual case: nothing of a long queue has to be moved.
				j.requeued = j.requeued[1:]
			} else {
				j.requeued = slices.Delete(j.requeued, k, k+1)
			}
			return i
		}
	}
	if j.nextFresh < len(j.tasks) {
		j.nextFresh++
		return j.nextFresh - 1
	}
	return -1
}

// avoidedMachine is the machine that none of the job's waiting tasks may go to, if there is
// one. Its free capacity is none for them: a simulation that counted on it would have them
// wait for ever.
func (j *job) avoidedMachine() string {
	if j.nextFresh < len(j.tasks) || len(j.requeued) == 0 {
		return ""
	}
	avoided := j.tasks[j.requeued[0]].avoidMachine
	for _, i := range j.requeued {
		if t := &j.tasks[i]; t.avoidMachine != avoided || !t.avoids(avoided) {
			return ""
		}
	}
	return avoided
}

// avoids says that the task has to go elsewhere: it failed there, or was too slow. One that has
// failed in many places may go anywhere.
func (t *task) avoids(machine string) bool {
	return t.avoidMachine == machine && t.failures < jobFaultFailures
}

// jobFaultFailures is how many failures make a fault of the job itself likely.
const jobFaultFailures = 4

// segmentRecord is the record of a segment as it is now.
func (j *job) segmentRecord(seg *taskSegment) record.TaskSegment {
	r := record.TaskSegment{RankingRevision: seg.rankingRevision}
	first, end := seg.index*j.tasksPerSegment, min((seg.index+1)*j.tasksPerSegment, len(j.tasks))
	groups := map[int64]bool{}
	finished := map[int64]int64{}
	for i := first; i < end; i++ {
		t := &j.tasks[i]
		switch {
		case t.done:
			finished[t.groupStart]++
			if k := len(r.DoneRanges); k > 0 && r.DoneRanges[k-1] == i-1 {
				r.DoneRanges[k-1] = i
			} else {
				r.DoneRanges = append(r.DoneRanges, i, i)
			}
		case t.attempt > 0:
			row := record.TaskEntry{Index: i, Try: t.attempt, Group: t.groupStart, Relaunched: t.relaunched}
			if t.machine != nil {
				row.Machine = t.machine.id
			}
			r.Rows = append(r.Rows, row)
			groups[t.groupStart] = true
		}
	}
	for g := range groups {
		if group := j.groups[g]; group != nil && group.relaunchDecided {
			r.RelaunchedGroups = append(r.RelaunchedGroups, g)
		}
	}
	slices.Sort(r.RelaunchedGroups)
	for _, id := range sortedKeys(j.groups) {
		if count := finished[id] + j.groups[id].finishedBefore[seg.index]; count > 0 {
			r.FinishedInGroups = append(r.FinishedInGroups, id, count)
		}
	}
	r.FactorMachinePrefix()
	for _, d := range j.recentRunTimes[max(0, len(j.recentRunTimes)-keptRunTimes):] {
		r.RunTimes = append(r.RunTimes, d.Milliseconds())
	}
	return r
}

// medianRunTime is the median of the job's run times, and false if no task is done.
func (j *job) medianRunTime() (time.Duration, bool) {
	if len(j.sortedRunTimes) == 0 {
		return 0, false
	}
	return j.sortedRunTimes[len(j.sortedRunTimes)/2], true
}

// allowsMachine says whether a task of the job may ever start on such a machine.
func (j *job) allowsMachine(machineType, zone string, spot bool) bool {
	if len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, machineType) {
		return false
	}
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	return j.AllowSpot || !spot
}

// zoneAllowed says whether affinity (same_place) and anti-affinity (apart) let a task start in
// a zone, beside the job's live tasks.
func (j *job) zoneAllowed(zone string) bool {
	if j.SpreadZones && j.liveByZone[""] > 0 {
		// After a failover the zone of a machine is unknown until its first heartbeat or
		// the cloud's list. For affinity that counts as another zone, below.
		return false
	}
	if j.SameZone && j.liveTasks > 0 {
		for z, tasks := range j.liveByZone {
			if tasks > 0 && z != zone {
				return false
			}
		}
	}
	return !j.SpreadZones || j.liveByZone[zone] < (len(j.tasks)+1)/2
}
