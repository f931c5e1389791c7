package core

import (
	"math"
	"slices"
	"time"
)

// stopWhy is why a live attempt is to be stopped.
type stopWhy uint8

const (
	stopNone stopWhy = iota
	stopCancel
	stopRelaunch
	stopPreempt
	stopDrain
)

// task is one task of a job. Its attempt is live while m is set: from the
// decision to start it there until there is proof that it is gone.
type task struct {
	try   uint64
	m     *machine
	group int64
	// ver is the chunk version at which the task last changed.
	ver uint64
	// rank is the stamp of the ranking under which it was placed.
	rank      uint64
	started   time.Time
	avoid     string
	notBefore time.Time
	stopped   time.Time
	fails     int
	preempted int
	status    TaskStatus
	// misses counts the reports in a row that did not show it though it was ordered.
	misses uint8
	// sent: a start may be on its way. left: one surely left and had no answer. seen: the worker has reported it.
	sent       bool
	left       bool
	seen       bool
	stop       stopWhy
	relaunched bool
	// inherited: a former owner started it, so this one does not know when it
	// began to run.
	inherited bool
	done      bool
}

// group is the tasks of a job that were started together.
type group struct {
	start  time.Time
	tasks  []int
	marked bool
}

// chunk is the durable record of some consecutive tasks.
type chunk struct {
	n       int
	stamp   uint64
	ver     uint64
	saved   uint64
	writing uint64
	busy    bool
	// rank is the stamp of the ranking that the record of its last starts names.
	rank uint64
	// refused is the version that the state service called malformed.
	refused uint64
	// alone: a write that it shared was malformed, and it is to be written by itself.
	alone bool
	// urgent: a start waits for the write; otherwise it may wait and share.
	urgent bool
	since  time.Time
}

type job struct {
	Spec
	at        time.Time
	stamp     uint64
	cancelled bool
	ending    bool
	// endAlone: a write that its end shared was malformed.
	endAlone bool
	// taskForm is how the tasks are divided among records. former are keys of records
	// of other forms, which only go with the job, and covered the tasks of which such
	// records say nothing that counts, while the job is restored.
	taskForm
	former  []string
	covered []bool
	tasks   []task
	chunks  map[int]*chunk
	// unsaved: some chunk may have changed since it was written.
	unsaved bool
	fresh   int
	again   []int
	done    int
	live    int
	// running counts the attempts that are reported as running.
	running int
	groups  map[int64]*group
	// times are the last finished run times, in the order of their ends;
	// sorted holds all of them in order, so that the median costs nothing.
	times  []time.Duration
	sorted []time.Duration
	// notBefore is when a job that fails everywhere may be tried again.
	notBefore time.Time
	// preempted is when it last looked for work to stop, and coming for how
	// many of its tasks that makes room.
	preempted time.Time
	coming    int
	// overdue: it has waited behind others for longer than it may, and early: what of
	// it goes first for that is being placed. placedAt is when a task of it was last
	// given a place, and waitsFrom since when some wait for one without a break.
	overdue, early      bool
	placedAt, waitsFrom time.Time
	zoneLive            map[string]int
	lastTold            Progress
	// rank is its place in the table of rankVer.
	rank, rankVer int
	behind
	loan
	dated
}

func newJob(spec Spec, at time.Time, stamp uint64, valueBytes int) *job {
	return &job{
		Spec: spec, at: at, stamp: stamp, taskForm: taskForm{per: chunkTasks(valueBytes)},
		tasks:  make([]task, spec.Tasks),
		chunks: map[int]*chunk{}, groups: map[int64]*group{}, zoneLive: map[string]int{},
	}
}

// grow makes room for more tasks, where a record of an earlier form did not say how many
// there are. The machines' books point to the tasks: what they hold must not be left
// behind, or a cancelled job's attempts would be looked after in a copy that nobody stops.
func (j *job) grow(tasks int) {
	j.tasks = append(j.tasks, make([]task, tasks-len(j.tasks))...)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.m != nil {
			t.m.attempts[taskKey{j.ID, i}] = t
		}
	}
}

func (j *job) progress() Progress {
	return Progress{ID: j.ID, Done: j.done, Running: j.running}
}

// isRunning says that a worker reports the attempt as running.
func (t *task) isRunning() bool { return t.m != nil && t.seen && t.status == Running }

// ran takes note of a finished run time.
func (j *job) ran(d time.Duration) {
	i, _ := slices.BinarySearch(j.sorted, d)
	j.sorted = slices.Insert(j.sorted, i, d)
	j.times = append(j.times, d)
	if len(j.times) > 2*keptTimes {
		j.times = slices.Clone(j.times[len(j.times)-keptTimes:])
	}
}

// keptTimes is how many of the last run times a record holds: enough for a
// successor's median.
const keptTimes = 16

func (j *job) chunkOf(i int) *chunk {
	c := j.chunks[i/j.per]
	if c == nil {
		c = &chunk{n: i / j.per}
		j.chunks[c.n] = c
	}
	return c
}

func (j *job) chunkKey(c *chunk) string { return j.key(j.ID, c.n) }

// touch notes that task i changed and has to be written.
func (j *job) touch(i int, now time.Time, urgent bool) {
	c := j.chunkOf(i)
	if c.ver == c.writing || c.ver == c.saved {
		c.since = now
	}
	c.ver++
	j.unsaved = true
	c.urgent = c.urgent || urgent
	j.tasks[i].ver = c.ver
}

// durable says whether the last change of task i is in the state service.
func (j *job) durable(i int) bool {
	c := j.chunks[i/j.per]
	return c != nil && j.tasks[i].ver <= c.saved
}

// pending counts the tasks that wait for a place.
func (j *job) pending() int {
	if j.cancelled || j.ending || j.waits || j.elsewhere() {
		return 0
	}
	return len(j.tasks) - j.fresh + len(j.again)
}

// nextPending returns the next task to place, or -1.
func (j *job) nextPending(now time.Time) int {
	for k, i := range j.again {
		if !j.tasks[i].notBefore.After(now) {
			if k == 0 {
				// Mostly so; of a long queue nothing is moved then.
				j.again = j.again[1:]
			} else {
				j.again = slices.Delete(j.again, k, k+1)
			}
			return i
		}
	}
	if j.fresh < len(j.tasks) {
		j.fresh++
		return j.fresh - 1
	}
	return -1
}

// avoided is the machine that none of the job's waiting tasks may go to, if there
// is one: it is no room for them, and a plan that counted on it would leave them
// waiting beside it for ever.
func (j *job) avoided() string {
	if j.fresh < len(j.tasks) || len(j.again) == 0 {
		return ""
	}
	away := j.tasks[j.again[0]].avoid
	for _, i := range j.again {
		if t := &j.tasks[i]; t.avoid != away || !t.shuns(away) {
			return ""
		}
	}
	return away
}

// shuns says that the task is to go elsewhere: it failed there, or was too slow.
// One that has failed in many places may go anywhere.
func (t *task) shuns(machine string) bool {
	return t.avoid == machine && t.fails < failsAnywhere
}

// failsAnywhere is after how many failures the fault is likely the job's own.
const failsAnywhere = 4

// record is the chunk in durable form.
func (j *job) record(c *chunk) chunkRecord {
	r := chunkRecord{Rank: c.rank}
	lo, hi := c.n*j.per, min((c.n+1)*j.per, len(j.tasks))
	groups := map[int64]bool{}
	for i := lo; i < hi; i++ {
		t := &j.tasks[i]
		switch {
		case t.done:
			if k := len(r.Runs); k > 0 && r.Runs[k-1] == i-1 {
				r.Runs[k-1] = i
			} else {
				r.Runs = append(r.Runs, i, i)
			}
		case t.try > 0:
			row := taskRow{Index: i, Try: t.try, Group: t.group, Relaunched: t.relaunched}
			if t.m != nil {
				row.Machine = t.m.id
			}
			r.Rows = append(r.Rows, row)
			groups[t.group] = true
		}
	}
	for g := range groups {
		if gr := j.groups[g]; gr != nil && gr.marked {
			r.Marks = append(r.Marks, g)
		}
	}
	slices.Sort(r.Marks)
	r.shorten()
	for _, d := range j.times[max(0, len(j.times)-keptTimes):] {
		r.Times = append(r.Times, d.Milliseconds())
	}
	return r
}

// median is the middle of the job's finished run times.
func (j *job) median() (time.Duration, bool) {
	if len(j.sorted) == 0 {
		return 0, false
	}
	return j.sorted[len(j.sorted)/2], true
}

// allows says whether a task of the job may ever start on such a machine.
func (j *job) allows(flavour, zone string, spot bool) bool {
	if len(j.Flavours) > 0 && !slices.Contains(j.Flavours, flavour) {
		return false
	}
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	return j.Spot || !spot
}

// zoneOK judges same_place and apart against the job's live tasks.
func (j *job) zoneOK(zone string) bool {
	if j.Apart && j.zoneLive[""] > 0 {
		// After a takeover, before a machine has been heard of or listed, it
		// is not known where its tasks are. For the same place that is as good
		// as another zone, below.
		return false
	}
	if j.SamePlace && j.live > 0 {
		for z, k := range j.zoneLive {
			if k > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Apart || j.zoneLive[zone] < (len(j.tasks)+1)/2
}

// estimate learns how wrong a workload's estimates have lately been.
type estimate struct {
	ratio float64
	// dev is how far single run times are from the corrected estimate, as a
	// share of it.
	dev float64
	n   int
}

// estimateWeight is the weight of the newest finished task in the average.
const estimateWeight = 0.08

func (n *Node) learn(j *job, ran time.Duration) {
	if j.Expected <= 0 {
		return
	}
	e := n.errs[j.Workload]
	if e == nil {
		e = &estimate{ratio: 1, dev: lateShare}
		n.errs[j.Workload] = e
	}
	e.n++
	r := ran.Seconds() / j.Expected.Seconds()
	w := max(estimateWeight, 1/float64(e.n+1))
	r = min(r, 4)
	e.dev += w * (math.Abs(r-e.ratio)/max(e.ratio, 0.1) - e.dev)
	e.ratio += w * (r - e.ratio)
}

// expects is the corrected estimate of a task's run time.
func (n *Node) expects(j *job) time.Duration {
	if m, ok := j.median(); ok {
		return m
	}
	d := j.Expected
	if e := n.errs[j.Workload]; e != nil {
		d = time.Duration(float64(d) * e.ratio)
	}
	return d
}
