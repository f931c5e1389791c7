package controller

import (
	"math"
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

// task is one task of a job. Its attempt is live while m is set: from the
// decision to start it there until there is proof that it is gone.
type task struct {
	attempt    uint64
	machine    *machine
	groupStart int64
	// version is the chunk version at which the task last changed.
	version uint64
	// rankingRevision is the stamp of the ranking under which it was placed.
	rankingRevision uint64
	startedAt       time.Time
	avoidMachine    string
	notBefore       time.Time
	stoppedAt       time.Time
	failures        int
	preemptions     int
	status          model.TaskStatus
	// missedStarts counts the reports in a row that did not show it though it was ordered.
	missedStarts uint8
	// sent: a start may be on its way. left: one surely left and had no answer. seen: the worker has reported it.
	startSent       bool
	startUnanswered bool
	reported        bool
	stopReason      stopReason
	relaunched      bool
	// inherited: a former owner started it, so this one does not know when it
	// began to run.
	inherited bool
	done      bool
}

// group is the tasks of a job that were started together.
type group struct {
	startedAt       time.Time
	tasks           []int
	relaunchDecided bool
}

// taskSegment is the durable record of some consecutive tasks.
type taskSegment struct {
	index            int
	modRevision      uint64
	version          uint64
	persistedVersion uint64
	inFlightVersion  uint64
	writeInFlight    bool
	// rankingRevision is the stamp of the ranking that the record of its last starts names.
	rankingRevision uint64
	// rejectedVersion is the version that the state service called malformed.
	rejectedVersion uint64
	// alone: a write that it shared was malformed, and it is to be written by itself.
	writeAlone bool
	// urgent: a start waits for the write; otherwise it may wait and share.
	urgent       bool
	changedSince time.Time
}

type job struct {
	model.JobSpec
	submittedAt time.Time
	modRevision uint64
	cancelled   bool
	ending      bool
	// endWriteAlone: a write that its end shared was malformed.
	endWriteAlone bool
	// segmentFormat is how the tasks are divided among records. former are keys of records
	// of other forms, which only go with the job, and covered the tasks of which such
	// records say nothing that counts, while the job is restored.
	segmentFormat
	formerKeys []string
	covered    []bool
	tasks      []task
	segments   map[int]*taskSegment
	// unsaved: some chunk may have changed since it was written.
	unpersisted bool
	nextFresh   int
	requeued    []int
	doneTasks   int
	liveTasks   int
	// runningTasks counts the attempts that are reported as running.
	runningTasks int
	groups       map[int64]*group
	// recentRunTimes are the last finished run times, in the order of their ends;
	// sorted holds all of them in order, so that the median costs nothing.
	recentRunTimes []time.Duration
	sortedRunTimes []time.Duration
	// notBefore is when a job that fails everywhere may be tried again.
	notBefore time.Time
	// lastPreemptionScan is when it last looked for work to stop, and coming for how
	// many of its tasks that makes room.
	lastPreemptionScan time.Time
	preemptionCapacity int
	// overdue: it has waited behind others for longer than it may, and early: what of
	// it goes first for that is being placed. placedAt is when a task of it was last
	// given a place, and waitingSince since when some wait for one without a break.
	overdue, placingOverdue    bool
	lastPlacedAt, waitingSince time.Time
	liveByZone                 map[string]int
	lastPublished              message.Progress
	// rankingPlace is its place in the table of rankingVersion.
	rankingPlace, rankingVersion int
	dependencyState
	loanState
	dateState
}

func newJob(spec model.JobSpec, at time.Time, stamp uint64, valueBytes int) *job {
	return &job{
		JobSpec: spec, submittedAt: at, modRevision: stamp, segmentFormat: segmentFormat{tasksPerSegment: record.MaxTasksPerSegment(valueBytes)},
		tasks:    make([]task, spec.Tasks),
		segments: map[int]*taskSegment{}, groups: map[int64]*group{}, liveByZone: map[string]int{},
	}
}

// grow makes room for more tasks, where a record of an earlier form did not say how many
// there are. The machines' books point to the tasks: what they hold must not be left
// behind, or a cancelled job's attempts would be looked after in a copy that nobody stops.
func (j *job) grow(tasks int) {
	j.tasks = append(j.tasks, make([]task, tasks-len(j.tasks))...)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.machine != nil {
			t.machine.attempts[taskKey{j.ID, i}] = t
		}
	}
}

func (j *job) progress() message.Progress {
	return message.Progress{ID: j.ID, Done: j.doneTasks, Running: j.runningTasks}
}

// isRunning says that a worker reports the attempt as running.
func (t *task) isRunning() bool { return t.machine != nil && t.reported && t.status == model.Running }

// recordRunTime takes note of a finished run time.
func (j *job) recordRunTime(d time.Duration) {
	i, _ := slices.BinarySearch(j.sortedRunTimes, d)
	j.sortedRunTimes = slices.Insert(j.sortedRunTimes, i, d)
	j.recentRunTimes = append(j.recentRunTimes, d)
	if len(j.recentRunTimes) > 2*keptRunTimes {
		j.recentRunTimes = slices.Clone(j.recentRunTimes[len(j.recentRunTimes)-keptRunTimes:])
	}
}

// keptRunTimes is how many of the last run times a record holds: enough for a
// successor's median.
const keptRunTimes = 16

func (j *job) segmentOf(i int) *taskSegment {
	c := j.segments[i/j.tasksPerSegment]
	if c == nil {
		c = &taskSegment{index: i / j.tasksPerSegment}
		j.segments[c.index] = c
	}
	return c
}

func (j *job) segmentKey(c *taskSegment) string { return j.keyOf(j.ID, c.index) }

// markChanged notes that task i changed and has to be written.
func (j *job) markChanged(i int, now time.Time, urgent bool) {
	c := j.segmentOf(i)
	if c.version == c.inFlightVersion || c.version == c.persistedVersion {
		c.changedSince = now
	}
	c.version++
	j.unpersisted = true
	c.urgent = c.urgent || urgent
	j.tasks[i].version = c.version
}

// durable says whether the last change of task i is in the state service.
func (j *job) durable(i int) bool {
	c := j.segments[i/j.tasksPerSegment]
	return c != nil && j.tasks[i].version <= c.persistedVersion
}

// pendingTasks counts the tasks that wait for a place.
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
				// Mostly so; of a long queue nothing is moved then.
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

// avoidedMachine is the machine that none of the job's waiting tasks may go to, if there
// is one: it is no room for them, and a plan that counted on it would leave them
// waiting beside it for ever.
func (j *job) avoidedMachine() string {
	if j.nextFresh < len(j.tasks) || len(j.requeued) == 0 {
		return ""
	}
	away := j.tasks[j.requeued[0]].avoidMachine
	for _, i := range j.requeued {
		if t := &j.tasks[i]; t.avoidMachine != away || !t.avoids(away) {
			return ""
		}
	}
	return away
}

// avoids says that the task is to go elsewhere: it failed there, or was too slow.
// One that has failed in many places may go anywhere.
func (t *task) avoids(machine string) bool {
	return t.avoidMachine == machine && t.failures < jobFaultFailures
}

// jobFaultFailures is after how many failures the fault is likely the job's own.
const jobFaultFailures = 4

// segmentRecord is the chunk in durable form.
func (j *job) segmentRecord(c *taskSegment) record.TaskSegment {
	r := record.TaskSegment{RankingRevision: c.rankingRevision}
	lo, hi := c.index*j.tasksPerSegment, min((c.index+1)*j.tasksPerSegment, len(j.tasks))
	groups := map[int64]bool{}
	for i := lo; i < hi; i++ {
		t := &j.tasks[i]
		switch {
		case t.done:
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
		if gr := j.groups[g]; gr != nil && gr.relaunchDecided {
			r.RelaunchedGroups = append(r.RelaunchedGroups, g)
		}
	}
	slices.Sort(r.RelaunchedGroups)
	r.FactorMachinePrefix()
	for _, d := range j.recentRunTimes[max(0, len(j.recentRunTimes)-keptRunTimes):] {
		r.RunTimes = append(r.RunTimes, d.Milliseconds())
	}
	return r
}

// medianRunTime is the middle of the job's finished run times.
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

// zoneAllowed judges same_place and apart against the job's live tasks.
func (j *job) zoneAllowed(zone string) bool {
	if j.SpreadZones && j.liveByZone[""] > 0 {
		// After a takeover, before a machine has been heard of or listed, it
		// is not known where its tasks are. For the same place that is as good
		// as another zone, below.
		return false
	}
	if j.SameZone && j.liveTasks > 0 {
		for z, k := range j.liveByZone {
			if k > 0 && z != zone {
				return false
			}
		}
	}
	return !j.SpreadZones || j.liveByZone[zone] < (len(j.tasks)+1)/2
}

// estimator learns how wrong a workload's estimates have lately been.
type estimator struct {
	ratio float64
	// deviation is how far single run times are from the corrected estimate, as a
	// share of it.
	deviation float64
	samples   int
}

// minEstimatorWeight is the weight of the newest finished task in the average.
const minEstimatorWeight = 0.08

func (k *fleetKnowledge) updateEstimator(j *job, ran time.Duration) {
	if j.ExpectedRunTime <= 0 {
		return
	}
	e := k.estimators[j.Workload]
	if e == nil {
		e = &estimator{ratio: 1, deviation: minSafetyFraction}
		k.estimators[j.Workload] = e
	}
	e.samples++
	r := ran.Seconds() / j.ExpectedRunTime.Seconds()
	w := max(minEstimatorWeight, 1/float64(e.samples+1))
	r = min(r, 4)
	e.deviation += w * (math.Abs(r-e.ratio)/max(e.ratio, 0.1) - e.deviation)
	e.ratio += w * (r - e.ratio)
}

// expectedRunTime is the corrected estimate of a task's run time.
func (k *fleetKnowledge) expectedRunTime(j *job) time.Duration {
	if m, ok := j.medianRunTime(); ok {
		return m
	}
	d := j.ExpectedRunTime
	if e := k.estimators[j.Workload]; e != nil {
		d = time.Duration(float64(d) * e.ratio)
	}
	return d
}
