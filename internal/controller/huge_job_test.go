package controller

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/validate"
)

// hugeJobRun is a shard leader with one job, its machines, and a store that answers all its
// writes at the next step, a tenth of a second later.
type hugeJobRun struct {
	controller *Controller
	job        *job
	reports    map[string][]model.TaskReport
	endsAt     map[taskKey]time.Time
	// taskDuration is how long a task takes, and sequence that of the newest heartbeat.
	taskDuration time.Duration
	sequence     uint64
	pending      []message.Command
	revision     uint64
	// stored is the content of the store. The others count the transactions, their writes
	// and bytes, the most writes in one and the longest value.
	stored                                          map[string]message.KeyValue
	txns, writes, bytes, maxTxnWrites, longestValue int
}

const maxHugeTasks = validate.MaxTasks

// newHugeJob submits a job of so many tasks to a shard leader of so many machines, each with
// capacity for eight of its tasks at a time.
func newHugeJob(tasks, machines int) *hugeJobRun {
	c := largePool(0)
	c.rng = rand.New(rand.NewPCG(1, 2))
	c.membership.ready, c.frontend.watchCache.loaded, c.frontend.watchCache.refreshScheduled = true, true, true
	c.frontend.watchCache.openJobs = map[string]openJob{}
	d := &hugeJobRun{controller: c, reports: map[string][]model.TaskReport{}, endsAt: map[taskKey]time.Time{}, taskDuration: 20 * time.Second, stored: map[string]message.KeyValue{}}
	for i := range machines {
		r := c.poolHeartbeat(0)
		r.Machine = fmt.Sprintf("vm-%06d", i)
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(r.Machine), r, true)
	}
	c.now = c.now.Add(time.Second)
	c.frontend.submitJob(message.SubmitJob{Reply: 1, Spec: model.JobSpec{
		ID: "job-huge", Workload: "wide", Team: "ops", Urgency: model.Normal, Tasks: tasks, AllowSpot: true, Need: model.Resources{CPU: 4, Memory: 4},
		Image: "img", ImageGB: 1, ExpectedRunTime: d.taskDuration, Deadline: time.Hour,
	}})
	c.frontend.flushSubmissions()
	d.handleEffects(c.effects)
	for _, command := range d.pending {
		c.handleCommand(command)
	}
	d.pending = nil
	d.job = c.shardLeader.jobs["job-huge"]
	return d
}

// handleEffects answers the controller's requests.
func (d *hugeJobRun) handleEffects(out []message.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case message.StoreRequest:
			if e.Kind != message.OpTxn {
				continue
			}
			d.revision++
			d.txns++
			d.maxTxnWrites = max(d.maxTxnWrites, len(e.Writes))
			for _, c := range e.Writes {
				d.writes++
				d.bytes += len(c.Value)
				if c.Value == nil {
					delete(d.stored, c.Key)
					continue
				}
				size, err := sizelimit.JSON(c.Value)
				if err != nil {
					panic(err)
				}
				d.longestValue = max(d.longestValue, size)
				d.stored[c.Key] = message.KeyValue{Key: c.Key, Value: c.Value, ModRevision: d.revision}
			}
			d.pending = append(d.pending, message.StoreResponse{ID: e.ID, Status: message.StoreOK, Revision: d.revision, SentAt: d.controller.now})
		case message.WorkerRequest:
			d.runCommands(e.Machine, e.Commands)
			d.pending = append(d.pending, message.WorkerResponse{ID: e.ID, OK: true, Heartbeat: d.heartbeat(e.Machine)})
		case message.HeartbeatReply:
			d.runCommands(fmt.Sprintf("vm-%06d", e.Reply-1), e.Commands)
		}
	}
}

func (d *hugeJobRun) runCommands(machine string, commands []model.TaskCommand) {
	for _, o := range commands {
		k := taskKey{o.Job, o.Index}
		switch o.Kind {
		case model.StartTask:
			d.reports[machine] = append(d.reports[machine], model.TaskReport{Job: o.Job, Index: o.Index, Attempt: o.Attempt, Status: model.Running})
			d.endsAt[k] = d.controller.now.Add(d.taskDuration)
		case model.ClearTask:
			d.reports[machine] = slices.DeleteFunc(d.reports[machine], func(p model.TaskReport) bool { return p.Index == o.Index && p.Attempt == o.Attempt })
		}
	}
}

// heartbeat is the next heartbeat of a machine.
func (d *hugeJobRun) heartbeat(machine string) *model.Heartbeat {
	d.sequence++
	r := d.controller.poolHeartbeat(0)
	r.Machine, r.Sequence, r.Tasks = machine, d.sequence, slices.Clone(d.reports[machine])
	for i := range r.Tasks {
		if p := &r.Tasks[i]; !d.controller.now.Before(d.endsAt[taskKey{p.Job, p.Index}]) {
			p.Status, p.Cause = model.Ended, "done"
		}
	}
	return r
}

// runSecond simulates one second, with a heartbeat of each machine.
func (d *hugeJobRun) runSecond() {
	c := d.controller
	// Ten times a second, as a busy controller steps, with a tenth of the heartbeats each.
	for part := range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		cmds := d.pending
		d.pending = nil
		for i := part; i < len(c.shardLeader.machinesByID); i += 10 {
			cmds = append(cmds, message.WorkerHeartbeat{Reply: uint64(i + 1), Heartbeat: *d.heartbeat(c.shardLeader.machinesByID[i].id)})
		}
		d.handleEffects(c.Step(c.now, cmds))
	}
}

// runUntilDone goes on until the job is done, or for so long.
func (d *hugeJobRun) runUntilDone(maxSeconds int) (seconds int) {
	for seconds = 0; seconds < maxSeconds && d.controller.shardLeader.jobs[d.job.ID] != nil; seconds++ {
		d.runSecond()
	}
	return seconds
}

// TestHugeJobRecords: a job of tens of thousands of tasks is accepted with one write, and
// keeps the bounds of values and transactions to its end. Its tasks share their writes.
func TestHugeJobRecords(t *testing.T) {
	d := newHugeJob(20_000, 1000)
	if d.job == nil || d.writes != 1 {
		t.Fatalf("got accepted %v with %d writes, want true with 1", d.job != nil, d.writes)
	}
	took := d.runUntilDone(1000)
	if d.controller.shardLeader.jobs[d.job.ID] != nil {
		t.Fatalf("got %d of %d tasks done after %d s, want all", d.job.doneTasks, len(d.job.tasks), took)
	}
	set := d.controller.settings
	if d.longestValue > set.MaxValueBytes || d.maxTxnWrites > set.MaxTxnWrites || d.controller.internalErrors > 0 {
		t.Errorf("got values of %d bytes, transactions of %d writes, %d internal errors; want at most %d, %d and none", d.longestValue, d.maxTxnWrites, d.controller.internalErrors, set.MaxValueBytes, set.MaxTxnWrites)
	}
	if d.writes > len(d.job.tasks)/10 {
		t.Errorf("got %d writes for %d tasks, want at most a tenth", d.writes, len(d.job.tasks))
	}
}

// storedRecords are the records in the store that a successor reads.
func (d *hugeJobRun) storedRecords() (open, tasks []message.KeyValue) {
	for _, k := range sortedKeys(d.stored) {
		switch {
		case strings.HasPrefix(k, record.OpenJobPrefix):
			open = append(open, d.stored[k])
		case strings.HasPrefix(k, record.TaskSegmentPrefix):
			tasks = append(tasks, d.stored[k])
		}
	}
	return open, tasks
}

// allocations counts the allocations of fn.
func allocations(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

// TestHugeJobIsLinear: the takeover of a job ten times as large costs about ten times as
// much, and a second of it on the same machines hardly more, since that work grows with the
// machines. Work is counted in allocations, as time would differ from machine to machine.
func TestHugeJobIsLinear(t *testing.T) {
	const machines = 200
	measure := func(tasks int) (second, takeover uint64) {
		d := newHugeJob(tasks, machines)
		for range 30 {
			d.runSecond()
		}
		second = allocations(d.runSecond)
		open, items := d.storedRecords()
		c := successor()
		takeover = allocations(func() { c.takeOverRecords(open, items) })
		if j := c.shardLeader.jobs[d.job.ID]; j == nil || j.doneTasks == 0 || j.liveTasks == 0 {
			t.Fatal("got no running and done tasks after the takeover, want some")
		}
		return second, takeover
	}
	s1, t1 := measure(maxHugeTasks / 10)
	s2, t2 := measure(maxHugeTasks)
	if s2 > 2*s1 || t2 > 12*t1 {
		t.Errorf("ten times the tasks: got %d allocations a second and %d for a takeover, want at most 2 times %d and 12 times %d", s2, t2, s1, t1)
	}
}

// TestLongQueueIsNotMoved guards against copying the queue of tasks to start again for each
// task that is taken out of it: after the loss of many machines that cost the square of
// their tasks in one step.
func TestLongQueueIsNotMoved(t *testing.T) {
	j := newJob(model.JobSpec{ID: "job-huge", Tasks: maxHugeTasks}, time.Time{}, 1, 4096)
	for i := range j.tasks {
		j.requeued = append(j.requeued, i)
	}
	j.nextFresh = len(j.tasks)
	second := &j.requeued[1]
	if i := j.takePending(time.Time{}); i != 0 || &j.requeued[0] != second {
		t.Errorf("got task %d, queue copied %v; want task 0, false", i, &j.requeued[0] != second)
	}
}

// hugeJobMachines is the number of machines of BenchmarkHugeJob.
const hugeJobMachines = 2000

// BenchmarkHugeJob is a job of the most tasks that a user may submit, on 2,000 machines.
func BenchmarkHugeJob(b *testing.B) {
	b.Run("accept", benchmarkAccept)
	b.Run("place", benchmarkPlace)
	b.Run("place-anew", benchmarkPlaceAgain)
	b.Run("life", benchmarkWholeRun)
	b.Run("takeover", benchmarkTakeover)
}

// benchmarkAccept is the submission of the job.
func benchmarkAccept(b *testing.B) {
	for b.Loop() {
		d := newHugeJob(maxHugeTasks, 0)
		if d.job == nil || d.writes != 1 {
			b.Fatalf("got accepted %v with %d writes, want true with 1", d.job != nil, d.writes)
		}
	}
}

// benchmarkPlace is the first placement round.
func benchmarkPlace(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		d := newHugeJob(maxHugeTasks, hugeJobMachines)
		d.controller.now = d.controller.now.Add(time.Second)
		b.StartTimer()
		d.controller.shardLeader.scheduler.placeAll()
		if d.job.liveTasks != 8*hugeJobMachines {
			b.Fatalf("got %d tasks placed, want %d", d.job.liveTasks, 8*hugeJobMachines)
		}
	}
}

// benchmarkPlaceAgain is a placement round after all tasks were lost.
func benchmarkPlaceAgain(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		d := newHugeJob(maxHugeTasks, hugeJobMachines)
		d.controller.shardLeader.scheduler.placeAll()
		d.job.nextFresh = len(d.job.tasks)
		for i := range d.job.tasks {
			if d.controller.shardLeader.endAttempt(d.job, i, false); d.job.tasks[i].attempt == 0 {
				d.job.requeued = append(d.job.requeued, i)
			}
		}
		d.controller.now = d.controller.now.Add(time.Second)
		b.StartTimer()
		d.controller.shardLeader.scheduler.placeAll()
		if d.job.liveTasks != 8*hugeJobMachines {
			b.Fatalf("got %d tasks placed, want %d", d.job.liveTasks, 8*hugeJobMachines)
		}
	}
}

// benchmarkWholeRun is the whole run, to the last record removed.
func benchmarkWholeRun(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := newHugeJob(maxHugeTasks, hugeJobMachines)
		took := d.runUntilDone(100)
		runtime.GC()
		runtime.ReadMemStats(&after)
		took += d.runUntilDone(10_000)
		if d.controller.shardLeader.jobs[d.job.ID] != nil {
			b.Fatalf("got %d of %d tasks done, want all", d.job.doneTasks, len(d.job.tasks))
		}
		done, txns := d.writes, d.txns
		for len(d.controller.shardLeader.persistence.orphanedRecords) > 0 || d.controller.shardLeader.persistence.txnsInFlight > 0 {
			d.runSecond()
		}
		b.ReportMetric(float64(d.writes-done), "changes-to-clear-away")
		b.ReportMetric(float64(took), "seconds-played")
		b.ReportMetric(float64(txns), "txns")
		b.ReportMetric(float64(done), "changes")
		b.ReportMetric(float64(d.bytes>>10), "KB-written")
		b.ReportMetric(float64(d.longestValue), "widest-bytes")
		b.ReportMetric(float64((after.HeapAlloc-before.HeapAlloc)>>20), "MB-kept")
	}
}

// benchmarkTakeover is the recovery of the job while it runs.
func benchmarkTakeover(b *testing.B) {
	d := newHugeJob(maxHugeTasks, hugeJobMachines)
	d.runUntilDone(70)
	open, tasks := d.storedRecords()
	size := 0
	for _, it := range tasks {
		size += len(it.Value)
	}
	for b.Loop() {
		c := successor()
		c.takeOverRecords(open, tasks)
		if c.shardLeader.jobs[d.job.ID].doneTasks == 0 {
			b.Fatal("got no done tasks after the takeover, want some")
		}
	}
	b.ReportMetric(float64(len(tasks)), "records")
	b.ReportMetric(float64(size>>10), "KB-read")
}
