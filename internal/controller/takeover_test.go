package controller

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// predecessorRecords returns the records that a new shard leader finds in the store: open jobs with
// sixty tasks each, and segments that place three tasks on each machine.
func predecessorRecords(machines int) (open, tasks []message.KeyValue) {
	const tasksPerMachine, tasksPerJob = 3, 60
	for jobIndex := 0; jobIndex*tasksPerJob < machines*tasksPerMachine; jobIndex++ {
		spec := model.JobSpec{
			ID: fmt.Sprintf("job-%06d", jobIndex), Workload: []string{"rush", "reprint", "wide"}[jobIndex%3], Team: "ops", Urgency: model.Normal, Tasks: tasksPerJob, AllowSpot: true,
			Need: model.Resources{CPU: 1, Memory: 1}, Image: fmt.Sprintf("img-%d", jobIndex%40), ImageGB: 1, ExpectedRunTime: 25 * time.Second, Deadline: time.Minute,
		}
		open = append(open, message.KeyValue{Key: record.OpenJobPrefix + spec.ID, Value: record.Encode(record.NewOpenJob(&spec, time.Unix(1_750_000_000, 0))), ModRevision: uint64(jobIndex + 1)})
		perSegment := record.MaxTasksPerSegment(4096)
		for segmentIndex := 0; segmentIndex*perSegment < tasksPerJob; segmentIndex++ {
			var segment record.TaskSegment
			for i := segmentIndex * perSegment; i < min((segmentIndex+1)*perSegment, tasksPerJob); i++ {
				machineIndex := (jobIndex*tasksPerJob + i) / tasksPerMachine
				segment.Rows = append(segment.Rows, record.TaskEntry{Index: i, Try: 1, Machine: fmt.Sprintf("vm-%06d", machineIndex), Group: 1_750_000_000_000})
			}
			tasks = append(tasks, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, spec.ID, segmentIndex), Value: record.Encode(segment), ModRevision: uint64(jobIndex + 1)})
		}
	}
	return open, tasks
}

// successor returns a controller with a new shard leader that has not read any records yet.
func successor() *Controller {
	controller := largePool(0)
	controller.shardLeader.ready, controller.shardLeader.readyAt = false, time.Time{}
	controller.shardLeader.teams["ops"] = &heldTeam{}
	controller.shardLeader.persistence.prewarmedImages = map[string]map[string]float64{}
	return controller
}

// takeOverRecords has the controller's shard leader recover from the given records.
func (controller *Controller) takeOverRecords(open, tasks []message.KeyValue) {
	cache := &controller.frontend.watchCache
	cache.openJobs = map[string]openJob{}
	for _, kv := range open {
		applyOpenJobRecord(cache.openJobs, kv)
	}
	controller.shardLeader.recoverTeams(map[string]*heldTeam{"ops": controller.shardLeader.teams["ops"]}, tasks, nil, controller.now)
}

// BenchmarkTakeover measures the recovery of a new shard leader from its last read of records to
// its first reply to a heartbeat.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			open, tasks := predecessorRecords(size)
			for b.Loop() {
				controller := successor()
				controller.takeOverRecords(open, tasks)
			}
		})
	}
}

// BenchmarkFirstHeartbeat measures how long a controller takes to handle the first heartbeat of a
// machine after a takeover.
func BenchmarkFirstHeartbeat(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			open, tasks := predecessorRecords(size)
			i := size
			var controller *Controller
			for b.Loop() {
				if i == size {
					b.StopTimer()
					i, controller = 0, successor()
					controller.takeOverRecords(open, tasks)
					b.StartTimer()
				}
				firstHeartbeat(controller, i)
				i++
			}
		})
	}
}

// firstHeartbeat has the controller handle the first heartbeat of machine i, which reports all of
// the machine's tasks as running.
func firstHeartbeat(controller *Controller, i int) {
	heartbeat := controller.poolHeartbeat(i)
	for key, t := range controller.shardLeader.ensureMachine(heartbeat.Machine).attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: key.job, Index: key.index, Attempt: t.attempt, Status: model.Running})
	}
	controller.effects = controller.effects[:0]
	controller.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
}

// BenchmarkStep measures a step with one query and one submission in which nothing else is due.
// Users wait for such a step.
func BenchmarkStep(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			controller := largePool(size)
			controller.rng = rand.New(rand.NewPCG(1, 2))
			controller.membership.ready, controller.frontend.watchCache.loaded = true, true
			controller.frontend.watchCache.openJobs = map[string]openJob{}
			controller.frontend.watchCache.refreshScheduled = true
			now, count := controller.now, 0
			controller.Step(now, nil)
			controller.shardLeader.fleet.endPlanningPass()
			for b.Loop() {
				count++
				id := fmt.Sprintf("job-x%06d", count)
				controller.Step(now, []message.Command{
					message.QueryJob{Reply: 1, ID: id},
					message.SubmitJob{Reply: 2, Spec: model.JobSpec{ID: id, Workload: "rush", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}}},
				})
				clear(controller.requests.storeCallbacks)
				controller.frontend.submitQueue, controller.frontend.submitTxnsInFlight, controller.frontend.waitingRequests, controller.frontend.requestsByDeadline = nil, 0, 0, nil
				controller.frontend.watchCache.nextReadWaiters = nil
				controller.timers = nil
			}
		})
	}
}

// TestTakeoverStaysWithinMemory guards against a controller that runs out of memory when it takes
// over a large pool. After it has recovered ten thousand machines with thirty thousand tasks and
// handled a heartbeat of each, the memory in use is at most half of its heap, and the allocations
// in total are bounded as well.
func TestTakeoverStaysWithinMemory(t *testing.T) {
	const machines = 10_000
	open, tasks := predecessorRecords(machines)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	controller := successor()
	controller.takeOverRecords(open, tasks)
	for i := range machines {
		firstHeartbeat(controller, i)
	}
	controller.effects = nil
	controller.shardLeader.fleet.planFleet(true)
	runtime.ReadMemStats(&after)
	allocated := (after.TotalAlloc - before.TotalAlloc) >> 20
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := (after.HeapAlloc - before.HeapAlloc) >> 20
	t.Logf("%d MB kept, %d MB allocated in total", kept, allocated)
	if len(controller.shardLeader.machinesByID) != machines || len(controller.shardLeader.jobs) != 500 {
		t.Fatalf("got %d machines and %d jobs recovered, want 10000 and 500", len(controller.shardLeader.machinesByID), len(controller.shardLeader.jobs))
	}
	// A controller with 256 MB of memory has 150 MB for Go's heap.
	if kept > 75 {
		t.Errorf("got %d MB kept for %d machines, want at most 75, half of a heap of 150 MB", kept, machines)
	}
	if allocated > 300 {
		t.Errorf("got %d MB allocated in total, want at most 300", allocated)
	}
	runtime.KeepAlive(controller)
}
