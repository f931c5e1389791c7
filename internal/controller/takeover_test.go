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

// predecessorRecords is what a successor finds in the store: some machines, each with three
// tasks of a job of sixty.
func predecessorRecords(machines int) (open, tasks []message.KeyValue) {
	const each, size = 3, 60
	for k := 0; k*size < machines*each; k++ {
		spec := model.JobSpec{
			ID: fmt.Sprintf("job-%06d", k), Workload: []string{"rush", "reprint", "wide"}[k%3], Team: "ops", Urgency: model.Normal, Tasks: size, AllowSpot: true,
			Need: model.Resources{CPU: 1, Memory: 1}, Image: fmt.Sprintf("img-%d", k%40), ImageGB: 1, ExpectedRunTime: 25 * time.Second, Deadline: time.Minute,
		}
		open = append(open, message.KeyValue{Key: record.OpenJobPrefix + spec.ID, Value: record.Encode(record.NewOpenJob(&spec, time.Unix(1_750_000_000, 0))), ModRevision: uint64(k + 1)})
		perSegment := record.MaxTasksPerSegment(4096)
		for c := 0; c*perSegment < size; c++ {
			var r record.TaskSegment
			for i := c * perSegment; i < min((c+1)*perSegment, size); i++ {
				m := (k*size + i) / each
				r.Rows = append(r.Rows, record.TaskEntry{Index: i, Try: 1, Machine: fmt.Sprintf("vm-%06d", m), Group: 1_750_000_000_000})
			}
			tasks = append(tasks, message.KeyValue{Key: fmt.Sprintf("%s%s/%d", record.TaskSegmentPrefix, spec.ID, c), Value: record.Encode(r), ModRevision: uint64(k + 1)})
		}
	}
	return open, tasks
}

// successor is a shard leader that has read nothing yet.
func successor() *Controller {
	c := largePool(0)
	c.shardLeader.ready, c.shardLeader.readyAt = false, time.Time{}
	c.shardLeader.teams["ops"] = &heldTeam{}
	c.shardLeader.persistence.prewarmedImages = map[string]map[string]float64{}
	return c
}

// takeOverRecords lets a shard leader take over what was read.
func (c *Controller) takeOverRecords(open, tasks []message.KeyValue) {
	cache := &c.frontend.watchCache
	cache.openJobs = map[string]openJob{}
	for _, kv := range open {
		applyOpenJobRecord(cache.openJobs, kv)
	}
	c.shardLeader.recoverTeams(map[string]*heldTeam{"ops": c.shardLeader.teams["ops"]}, tasks, nil, c.now)
}

// BenchmarkTakeover is the work of a successor between its last read and its first answer.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			open, tasks := predecessorRecords(size)
			for b.Loop() {
				c := successor()
				c.takeOverRecords(open, tasks)
			}
		})
	}
}

// BenchmarkFirstHeartbeat is the first heartbeat of each machine after a takeover.
func BenchmarkFirstHeartbeat(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			open, tasks := predecessorRecords(size)
			i := size
			var c *Controller
			for b.Loop() {
				if i == size {
					b.StopTimer()
					i, c = 0, successor()
					c.takeOverRecords(open, tasks)
					b.StartTimer()
				}
				firstHeartbeat(c, i)
				i++
			}
		})
	}
}

// firstHeartbeat handles the first heartbeat of the pool's machine i, with all its tasks.
func firstHeartbeat(c *Controller, i int) {
	r := c.poolHeartbeat(i)
	for k, t := range c.shardLeader.ensureMachine(r.Machine).attempts {
		r.Tasks = append(r.Tasks, model.TaskReport{Job: k.job, Index: k.index, Attempt: t.attempt, Status: model.Running})
	}
	c.effects = c.effects[:0]
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
}

// BenchmarkStep is a step with one query and one submission in it, in which nothing else is
// due: what users wait for.
func BenchmarkStep(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := largePool(size)
			c.rng = rand.New(rand.NewPCG(1, 2))
			c.membership.ready, c.frontend.watchCache.loaded = true, true
			c.frontend.watchCache.openJobs = map[string]openJob{}
			c.frontend.watchCache.refreshScheduled = true
			now, k := c.now, 0
			c.Step(now, nil)
			c.shardLeader.fleet.endPlanningPass()
			for b.Loop() {
				k++
				id := fmt.Sprintf("job-x%06d", k)
				c.Step(now, []message.Command{
					message.QueryJob{Reply: 1, ID: id},
					message.SubmitJob{Reply: 2, Spec: model.JobSpec{ID: id, Workload: "rush", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}}},
				})
				clear(c.requests.storeCallbacks)
				c.frontend.submitQueue, c.frontend.submitTxnsInFlight, c.frontend.waitingRequests, c.frontend.requestsByDeadline = nil, 0, 0, nil
				c.frontend.watchCache.nextReadWaiters = nil
				c.timers = nil
			}
		})
	}
}

// TestTakeoverStaysWithinMemory: ten thousand machines with thirty thousand tasks, read,
// recovered and heard, take a bounded part of the memory that a controller of such a size
// gets, and what is allocated for a moment is no multiple of it.
func TestTakeoverStaysWithinMemory(t *testing.T) {
	const machines = 10_000
	open, tasks := predecessorRecords(machines)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := successor()
	c.takeOverRecords(open, tasks)
	for i := range machines {
		firstHeartbeat(c, i)
	}
	c.effects = nil
	c.shardLeader.fleet.planFleet(true)
	runtime.ReadMemStats(&after)
	churned := (after.TotalAlloc - before.TotalAlloc) >> 20
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := (after.HeapAlloc - before.HeapAlloc) >> 20
	t.Logf("%d MB kept, %d MB allocated in all", kept, churned)
	if len(c.shardLeader.machinesByID) != machines || len(c.shardLeader.jobs) != 500 {
		t.Fatalf("got %d machines and %d jobs recovered, want 10000 and 500", len(c.shardLeader.machinesByID), len(c.shardLeader.jobs))
	}
	// A controller with 256 MB leaves 150 to Go's heap.
	if kept > 75 {
		t.Errorf("got %d MB kept for %d machines, want at most 75, half of a heap of 150", kept, machines)
	}
	if churned > 300 {
		t.Errorf("got %d MB allocated in all, want at most 300", churned)
	}
	runtime.KeepAlive(c)
}
