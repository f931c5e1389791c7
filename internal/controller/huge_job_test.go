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

// hugeJobRun simulates a shard leader with one job, its machines, and a store that answers every
// write in the next step, a tenth of a second later.
type hugeJobRun struct {
	controller *Controller
	job        *job
	reports    map[string][]model.TaskReport
	endsAt     map[taskKey]time.Time
	// taskDuration is how long a task runs; sequence is the sequence number of the newest
	// heartbeat.
	taskDuration time.Duration
	sequence     uint64
	pending      []message.Command
	revision     uint64
	// stored is the content of the store. The counters are the transactions, their writes and
	// bytes, the most writes in one transaction, and the longest value in bytes.
	stored                                          map[string]message.KeyValue
	txns, writes, bytes, maxTxnWrites, longestValue int
}

// maxHugeTasks is the largest number of tasks that a user may submit in a job.
const maxHugeTasks = validate.MaxTasks

// newHugeJob submits a job with the given number of tasks to a shard leader with the given number
// of machines. Each machine has capacity for eight of the job's tasks at a time.
func newHugeJob(tasks, machines int) *hugeJobRun {
	controller := largePool(0)
	controller.rng = rand.New(rand.NewPCG(1, 2))
	controller.membership.ready, controller.frontend.watchCache.loaded, controller.frontend.watchCache.refreshScheduled = true, true, true
	controller.frontend.watchCache.openJobs = map[string]openJob{}
	run := &hugeJobRun{controller: controller, reports: map[string][]model.TaskReport{}, endsAt: map[taskKey]time.Time{}, taskDuration: 20 * time.Second, stored: map[string]message.KeyValue{}}
	for i := range machines {
		heartbeat := controller.poolHeartbeat(0)
		heartbeat.Machine = fmt.Sprintf("vm-%06d", i)
		controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.ensureMachine(heartbeat.Machine), heartbeat, true)
	}
	controller.now = controller.now.Add(time.Second)
	controller.frontend.submitJob(message.SubmitJob{Reply: 1, Spec: model.JobSpec{
		ID: "job-huge", Workload: "wide", Team: "ops", Urgency: model.Normal, Tasks: tasks, AllowSpot: true, Need: model.Resources{CPU: 4, Memory: 4},
		Image: "img", ImageGB: 1, ExpectedRunTime: run.taskDuration, Deadline: time.Hour,
	}})
	controller.frontend.flushSubmissions()
	run.handleEffects(controller.effects)
	for _, command := range run.pending {
		controller.handleCommand(command)
	}
	run.pending = nil
	run.job = controller.shardLeader.jobs["job-huge"]
	return run
}

// handleEffects plays the store and the workers: it carries out the controller's requests and
// queues the answers.
func (run *hugeJobRun) handleEffects(out []message.Effect) {
	for _, effect := range out {
		switch e := effect.(type) {
		case message.StoreRequest:
			if e.Kind != message.OpTxn {
				continue
			}
			run.revision++
			run.txns++
			run.maxTxnWrites = max(run.maxTxnWrites, len(e.Writes))
			for _, write := range e.Writes {
				run.writes++
				run.bytes += len(write.Value)
				if write.Value == nil {
					delete(run.stored, write.Key)
					continue
				}
				size, err := sizelimit.JSONSize(write.Value)
				if err != nil {
					panic(err)
				}
				run.longestValue = max(run.longestValue, size)
				run.stored[write.Key] = message.KeyValue{Key: write.Key, Value: write.Value, ModRevision: run.revision}
			}
			run.pending = append(run.pending, message.StoreResponse{ID: e.ID, Status: message.StoreOK, Revision: run.revision, SentAt: run.controller.now})
		case message.WorkerRequest:
			run.runCommands(e.Machine, e.Commands)
			run.pending = append(run.pending, message.WorkerResponse{ID: e.ID, OK: true, Heartbeat: run.heartbeat(e.Machine)})
		case message.HeartbeatReply:
			run.runCommands(fmt.Sprintf("vm-%06d", e.Reply-1), e.Commands)
		}
	}
}

// runCommands carries out task commands on a machine.
func (run *hugeJobRun) runCommands(machine string, commands []model.TaskCommand) {
	for _, command := range commands {
		key := taskKey{command.Job, command.Index}
		switch command.Kind {
		case model.StartTask:
			run.reports[machine] = append(run.reports[machine], model.TaskReport{Job: command.Job, Index: command.Index, Attempt: command.Attempt, Status: model.Running})
			run.endsAt[key] = run.controller.now.Add(run.taskDuration)
		case model.ClearTask:
			run.reports[machine] = slices.DeleteFunc(run.reports[machine], func(report model.TaskReport) bool {
				return report.Index == command.Index && report.Attempt == command.Attempt
			})
		}
	}
}

// heartbeat returns the next heartbeat of a machine. Tasks that have run for taskDuration are
// reported as ended.
func (run *hugeJobRun) heartbeat(machine string) *model.Heartbeat {
	run.sequence++
	heartbeat := run.controller.poolHeartbeat(0)
	heartbeat.Machine, heartbeat.Sequence, heartbeat.Tasks = machine, run.sequence, slices.Clone(run.reports[machine])
	for i := range heartbeat.Tasks {
		if report := &heartbeat.Tasks[i]; !run.controller.now.Before(run.endsAt[taskKey{report.Job, report.Index}]) {
			report.Status, report.Cause = model.Ended, "done"
		}
	}
	return heartbeat
}

// runSecond simulates one second, with one heartbeat of each machine.
func (run *hugeJobRun) runSecond() {
	controller := run.controller
	// A busy controller steps ten times a second, each time with a tenth of the heartbeats.
	for part := range 10 {
		controller.now = controller.now.Add(100 * time.Millisecond)
		commands := run.pending
		run.pending = nil
		for i := part; i < len(controller.shardLeader.machinesByID); i += 10 {
			commands = append(commands, message.WorkerHeartbeat{Reply: uint64(i + 1), Heartbeat: *run.heartbeat(controller.shardLeader.machinesByID[i].id)})
		}
		run.handleEffects(controller.Step(controller.now, commands))
	}
}

// runUntilDone runs the simulation until the job is done, for at most maxSeconds, and returns the
// seconds simulated.
func (run *hugeJobRun) runUntilDone(maxSeconds int) (seconds int) {
	for seconds = 0; seconds < maxSeconds && run.controller.shardLeader.jobs[run.job.ID] != nil; seconds++ {
		run.runSecond()
	}
	return seconds
}

// TestHugeJobRecords checks that a job of tens of thousands of tasks is accepted with one write,
// and that its records stay within the limits of values and transactions until it is done. Its
// tasks must share writes: at most one write for ten tasks.
func TestHugeJobRecords(t *testing.T) {
	run := newHugeJob(20_000, 1000)
	if run.job == nil || run.writes != 1 {
		t.Fatalf("got accepted %v with %d writes, want true with 1", run.job != nil, run.writes)
	}
	took := run.runUntilDone(1000)
	if run.controller.shardLeader.jobs[run.job.ID] != nil {
		t.Fatalf("got %d of %d tasks done after %d seconds, want all", run.job.doneTasks, len(run.job.tasks), took)
	}
	settings := run.controller.settings
	if run.longestValue > settings.MaxValueBytes || run.maxTxnWrites > settings.MaxTxnWrites || run.controller.internalErrors > 0 {
		t.Errorf("got a value of %d bytes, a transaction of %d writes, %d internal errors; want at most %d, %d and none", run.longestValue, run.maxTxnWrites, run.controller.internalErrors, settings.MaxValueBytes, settings.MaxTxnWrites)
	}
	if run.writes > len(run.job.tasks)/10 {
		t.Errorf("got %d writes for %d tasks, want at most a tenth", run.writes, len(run.job.tasks))
	}
}

// storedRecords returns the records in the store that a successor reads.
func (run *hugeJobRun) storedRecords() (open, tasks []message.KeyValue) {
	for _, key := range sortedKeys(run.stored) {
		switch {
		case strings.HasPrefix(key, record.OpenJobPrefix):
			open = append(open, run.stored[key])
		case strings.HasPrefix(key, record.TaskSegmentPrefix):
			tasks = append(tasks, run.stored[key])
		}
	}
	return open, tasks
}

// allocations returns the number of heap allocations made while fn runs.
func allocations(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

// TestHugeJobCostIsLinear checks that taking over a job ten times as large costs about ten times as
// much, and that simulating a second of it on the same machines costs hardly more, since that cost
// grows with the machines. The test counts allocations, since times differ between machines.
func TestHugeJobCostIsLinear(t *testing.T) {
	const machines = 200
	measure := func(tasks int) (second, takeover uint64) {
		run := newHugeJob(tasks, machines)
		for range 30 {
			run.runSecond()
		}
		second = allocations(run.runSecond)
		open, items := run.storedRecords()
		controller := successor()
		takeover = allocations(func() { controller.takeOverRecords(open, items) })
		if job := controller.shardLeader.jobs[run.job.ID]; job == nil || job.doneTasks == 0 || job.liveTasks == 0 {
			t.Fatal("got no running and done tasks after the takeover, want some")
		}
		return second, takeover
	}
	smallSecond, smallTakeover := measure(maxHugeTasks / 10)
	largeSecond, largeTakeover := measure(maxHugeTasks)
	if largeSecond > 2*smallSecond || largeTakeover > 12*smallTakeover {
		t.Errorf("ten times the tasks: got %d allocations per second and %d per takeover, want at most 2 times %d and 12 times %d", largeSecond, largeTakeover, smallSecond, smallTakeover)
	}
}

// TestTakePendingDoesNotCopyQueue guards against copying the queue of tasks to retry for each task that is
// taken from it. After the loss of many machines the copies would cost the square of the number of
// tasks in one step.
func TestTakePendingDoesNotCopyQueue(t *testing.T) {
	job := newJob(model.JobSpec{ID: "job-huge", Tasks: maxHugeTasks}, time.Time{}, 1, 4096)
	for i := range job.tasks {
		job.requeued = append(job.requeued, i)
	}
	job.nextFresh = len(job.tasks)
	second := &job.requeued[1]
	if i := job.takePending(time.Time{}); i != 0 || &job.requeued[0] != second {
		t.Errorf("got task %d, queue copied %v; want task 0, false", i, &job.requeued[0] != second)
	}
}

// hugeJobMachines is the number of machines in BenchmarkHugeJob.
const hugeJobMachines = 2000

// BenchmarkHugeJob measures a job with the most tasks that a user may submit, on hugeJobMachines
// machines.
func BenchmarkHugeJob(b *testing.B) {
	b.Run("accept", benchmarkAccept)
	b.Run("place", benchmarkPlace)
	b.Run("place-again", benchmarkPlaceAgain)
	b.Run("whole-run", benchmarkWholeRun)
	b.Run("takeover", benchmarkTakeover)
}

// benchmarkAccept measures the submission of the job.
func benchmarkAccept(b *testing.B) {
	for b.Loop() {
		run := newHugeJob(maxHugeTasks, 0)
		if run.job == nil || run.writes != 1 {
			b.Fatalf("got accepted %v with %d writes, want true with 1", run.job != nil, run.writes)
		}
	}
}

// benchmarkPlace measures the first placement round.
func benchmarkPlace(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		run := newHugeJob(maxHugeTasks, hugeJobMachines)
		run.controller.now = run.controller.now.Add(time.Second)
		b.StartTimer()
		run.controller.shardLeader.scheduler.placeAll()
		if run.job.liveTasks != 8*hugeJobMachines {
			b.Fatalf("got %d tasks placed, want %d", run.job.liveTasks, 8*hugeJobMachines)
		}
	}
}

// benchmarkPlaceAgain measures a placement round after all tasks were lost.
func benchmarkPlaceAgain(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		run := newHugeJob(maxHugeTasks, hugeJobMachines)
		run.controller.shardLeader.scheduler.placeAll()
		run.job.nextFresh = len(run.job.tasks)
		for i := range run.job.tasks {
			if run.controller.shardLeader.endAttempt(run.job, i, false); run.job.tasks[i].attempt == 0 {
				run.job.requeued = append(run.job.requeued, i)
			}
		}
		run.controller.now = run.controller.now.Add(time.Second)
		b.StartTimer()
		run.controller.shardLeader.scheduler.placeAll()
		if run.job.liveTasks != 8*hugeJobMachines {
			b.Fatalf("got %d tasks placed, want %d", run.job.liveTasks, 8*hugeJobMachines)
		}
	}
}

// benchmarkWholeRun measures the job from its submission until its last record is removed.
func benchmarkWholeRun(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		run := newHugeJob(maxHugeTasks, hugeJobMachines)
		took := run.runUntilDone(100)
		runtime.GC()
		runtime.ReadMemStats(&after)
		took += run.runUntilDone(10_000)
		if run.controller.shardLeader.jobs[run.job.ID] != nil {
			b.Fatalf("got %d of %d tasks done, want all", run.job.doneTasks, len(run.job.tasks))
		}
		writesUntilDone, txns := run.writes, run.txns
		for len(run.controller.shardLeader.persistence.orphanedRecords) > 0 || run.controller.shardLeader.persistence.txnsInFlight > 0 {
			run.runSecond()
		}
		b.ReportMetric(float64(run.writes-writesUntilDone), "cleanup-writes")
		b.ReportMetric(float64(took), "simulated-seconds")
		b.ReportMetric(float64(txns), "txns")
		b.ReportMetric(float64(writesUntilDone), "changes")
		b.ReportMetric(float64(run.bytes>>10), "KB-written")
		b.ReportMetric(float64(run.longestValue), "longest-value-bytes")
		b.ReportMetric(float64((after.HeapAlloc-before.HeapAlloc)>>20), "MB-retained")
	}
}

// benchmarkTakeover measures the takeover of the job while it runs.
func benchmarkTakeover(b *testing.B) {
	run := newHugeJob(maxHugeTasks, hugeJobMachines)
	run.runUntilDone(70)
	open, tasks := run.storedRecords()
	size := 0
	for _, item := range tasks {
		size += len(item.Value)
	}
	for b.Loop() {
		controller := successor()
		controller.takeOverRecords(open, tasks)
		if controller.shardLeader.jobs[run.job.ID].doneTasks == 0 {
			b.Fatal("got no done tasks after the takeover, want some")
		}
	}
	b.ReportMetric(float64(len(tasks)), "records")
	b.ReportMetric(float64(size>>10), "KB-read")
}
