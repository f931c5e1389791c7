package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// sentStoreRequests returns the store requests that the controller has emitted.
func sentStoreRequests(controller *Controller) []message.StoreRequest {
	return emittedEffects[message.StoreRequest](controller)
}

// TestMalformedIsNotResent guards against resending a request that the store refuses each time
// for its size or form. It would use up the request rate, and everything that depends on it
// would wait forever.
func TestMalformedIsNotResent(t *testing.T) {
	controller := largePool(0)
	var statuses []message.StoreStatus
	callback := func(response message.StoreResponse) { statuses = append(statuses, response.Status) }
	passSecond := func() {
		controller.now = controller.now.Add(time.Second)
		controller.runTimers()
	}
	// A request that exceeds a limit is not sent.
	controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: "a", Value: record.Encode(map[string]any{"v": strings.Repeat("x", 5000)})}}}, callback)
	if passSecond(); len(sentStoreRequests(controller)) != 0 || !slices.Equal(statuses, []message.StoreStatus{message.StoreMalformed}) || controller.internalErrors != 1 {
		t.Errorf("got %d requests sent, statuses %v, %d internal errors; want 0, malformed and 1", len(sentStoreRequests(controller)), statuses, controller.internalErrors)
	}
	// A request that the store called malformed is not sent again unchanged, but a different
	// request is.
	request := message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: "a", Value: record.Encode(map[string]any{"v": 1})}}}
	controller.requests.toStore(request, callback)
	controller.handleCommand(message.StoreResponse{ID: sentStoreRequests(controller)[0].ID, Status: message.StoreMalformed})
	controller.effects, statuses = nil, nil
	controller.requests.toStore(request, callback)
	if passSecond(); len(sentStoreRequests(controller)) != 0 || !slices.Equal(statuses, []message.StoreStatus{message.StoreMalformed}) {
		t.Errorf("got %v sent again, statuses %v; want nothing and malformed", sentStoreRequests(controller), statuses)
	}
	request.Writes = []message.Write{{Key: "a", Value: record.Encode(map[string]any{"v": 2})}}
	if controller.requests.toStore(request, callback); len(sentStoreRequests(controller)) != 1 {
		t.Errorf("got %d requests of another value sent, want 1", len(sentStoreRequests(controller)))
	}
}

// TestOneMalformedSegmentAmongOthers checks a write of several segments of which one can't be
// stored: the tasks of that segment are deferred, and the tasks of the other segments start.
func TestOneMalformedSegmentAmongOthers(t *testing.T) {
	controller := largePool(4)
	controller.membership.leaseID = 1
	controller.shardLeader.jobs = map[string]*job{}
	for _, id := range []string{"job-1", "job-2"} {
		job := controller.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, controller.now, 1)
		i := job.takePending(controller.now)
		job.tasks[i].attempt = 1
		controller.shardLeader.attachAttempt(job, i, controller.shardLeader.machinesByID[0])
		job.markChanged(i, controller.now, true)
	}
	written := map[string]bool{}
	for range 8 {
		controller.effects = nil
		controller.shardLeader.persistence.writeSegments()
		for _, request := range sentStoreRequests(controller) {
			malformed := false
			for _, write := range request.Writes {
				malformed = malformed || strings.HasPrefix(write.Key, record.TaskSegmentPrefix+"job-1/")
			}
			response := message.StoreResponse{ID: request.ID, Status: message.StoreOK, Revision: 9}
			if malformed {
				response.Status = message.StoreMalformed
			}
			for _, write := range request.Writes {
				written[write.Key] = written[write.Key] || !malformed
			}
			controller.handleCommand(response)
		}
		controller.now = controller.now.Add(time.Second)
		controller.runTimers()
	}
	if !written["task/job-2/0"] || controller.shardLeader.jobs["job-2"].liveTasks != 1 {
		t.Errorf("got writes %v, %d live tasks of job-2; want the segment of job-2 written, and 1", written, controller.shardLeader.jobs["job-2"].liveTasks)
	}
	if job := controller.shardLeader.jobs["job-1"]; job.liveTasks != 0 || !job.tasks[0].notBefore.After(controller.now) {
		t.Errorf("got %d live tasks of job-1, not before %v; want 0, deferred", job.liveTasks, job.tasks[0].notBefore)
	}
}

// TestSegmentsOfLongMachineNames guards against segments that exceed the value limit because the
// machines have long names. The common prefix of the names is stored once.
func TestSegmentsOfLongMachineNames(t *testing.T) {
	for _, maxBytes := range []int{1 << 10, 4 << 10, 16 << 10} {
		controller := largePool(0)
		controller.settings.MaxValueBytes = maxBytes
		job := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 10_000, Need: model.Resources{CPU: 1, Memory: 1}}, controller.now, 1, maxBytes)
		controller.shardLeader.jobs[job.ID] = job
		for i := range job.tasksPerSegment {
			machine := controller.shardLeader.ensureMachine(fmt.Sprintf("machine-of-a-provider-with-names-longer-than-any-%06d", i))
			job.nextFresh++
			task := &job.tasks[i]
			task.attempt, task.groupStart, task.relaunched = 12, controller.now.UnixMilli()+int64(i), true
			controller.shardLeader.attachAttempt(job, i, machine)
			job.groups[task.groupStart] = &group{startedAt: controller.now, relaunchDecided: i%2 == 0}
			job.recordRunTime(time.Duration(100+i) * time.Second)
		}
		segment := job.segmentRecord(job.segmentOf(0))
		size, err := sizelimit.JSONSize(record.Encode(segment))
		if err != nil || size > maxBytes {
			t.Errorf("got %d rows of %d bytes (error %v), want at most %d bytes", job.tasksPerSegment, size, err, maxBytes)
		}
		// A successor reads the complete names.
		successor := largePool(0)
		successor.settings.MaxValueBytes = maxBytes
		recovered := newJob(job.JobSpec, controller.now, 1, maxBytes)
		successor.shardLeader.jobs[recovered.ID] = recovered
		var back record.TaskSegment
		if !record.Decode(record.Encode(segment), &back) {
			t.Fatal("got a record that can't be decoded, want it read")
		}
		successor.shardLeader.failover.recoverSegment(recovered, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 1}, &back)
		for i := range job.tasksPerSegment {
			if recovered.tasks[i].machine == nil || recovered.tasks[i].machine.id != job.tasks[i].machine.id {
				t.Fatalf("task %d: got machine %v, want %s", i, recovered.tasks[i].machine, job.tasks[i].machine.id)
			}
		}
	}
}

// TestCommandsAreBounded guards against sending a worker with many ended tasks a body above the
// protocol's limit of 64 KiB. The commands beyond the limit follow later.
func TestCommandsAreBounded(t *testing.T) {
	controller := largePool(1)
	machine := controller.shardLeader.machinesByID[0]
	machine.commandEpoch = machine.lastStartEpoch + 1
	heartbeat := controller.poolHeartbeat(0)
	heartbeat.Sequence = 9
	for i := range 1200 {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: "job-000001", Index: i, Attempt: 1, Status: model.Ended, Cause: "done"})
	}
	controller.frontend.finalStatuses["job-000001"] = model.Done
	controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
	commands := controller.shardLeader.dispatcher.reconcile(machine)
	type wire struct {
		Verb  string  `json:"verb"`
		Piece string  `json:"piece"`
		Try   uint64  `json:"try"`
		Wind  float64 `json:"wind_down_s"`
	}
	var wireCommands []wire
	for _, command := range commands {
		wireCommands = append(wireCommands, wire{string(command.Kind), fmt.Sprintf("%s/%d", command.Job, command.Index), command.Attempt, 10})
	}
	body, err := json.Marshal(map[string]any{"epoch": 1, "orders": wireCommands})
	if err != nil || len(commands) == 0 || len(body) > sizelimit.MaxBodyBytes {
		t.Errorf("got %d commands in %d bytes (error %v), want some in at most %d", len(commands), len(body), err, sizelimit.MaxBodyBytes)
	}
	// The other commands follow with the reply to the next heartbeat, which lists the remaining
	// tasks.
	heartbeat.Sequence, heartbeat.Tasks = 10, heartbeat.Tasks[len(commands):]
	controller.shardLeader.heartbeats.applyHeartbeat(machine, heartbeat, true)
	if more := controller.shardLeader.dispatcher.reconcile(machine); len(more) == 0 {
		t.Error("got no commands for the remaining tasks, want some")
	}
}

// TestDamagedRecords guards against a damaged record that exhausts memory: one that claims more
// elements than it holds must be refused before memory is allocated for them.
func TestDamagedRecords(t *testing.T) {
	long, err := msgpack.Marshal(map[string]any{"t": []int{1}})
	if err != nil {
		t.Fatalf("encoding: got error %v, want none", err)
	}
	// The list claims to have four billion elements.
	damaged := append(slices.Clone(long[:3]), 0xdd, 0xff, 0xff, 0xff, 0xff)
	var segment record.TaskSegment
	if record.Decode(damaged, &segment) {
		t.Errorf("got damaged record decoded as %+v, want it refused", segment)
	}
}

// TestSegmentsOfFinishedGroups checks that a segment stays within the value limit when every
// other task is done, each in a group of its own, and that a successor restores the groups.
func TestSegmentsOfFinishedGroups(t *testing.T) {
	for _, maxBytes := range []int{1 << 10, 4 << 10, 16 << 10} {
		controller := largePool(0)
		controller.settings.MaxValueBytes = maxBytes
		job := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 10_000, Need: model.Resources{CPU: 1, Memory: 1}}, controller.now, 1, maxBytes)
		controller.shardLeader.jobs[job.ID] = job
		for i := range job.tasksPerSegment {
			task := &job.tasks[i]
			job.nextFresh++
			task.attempt, task.groupStart = 12, controller.now.UnixMilli()+int64(i/2)
			job.recoveredGroup(task.groupStart).tasks = append(job.recoveredGroup(task.groupStart).tasks, i)
			if task.done = i%2 == 0; !task.done {
				controller.shardLeader.attachAttempt(job, i, controller.shardLeader.ensureMachine(fmt.Sprintf("machine-of-a-provider-with-names-longer-than-any-%06d", i)))
			}
		}
		segment := job.segmentRecord(job.segmentOf(0))
		if size, err := sizelimit.JSONSize(record.Encode(segment)); err != nil || size > maxBytes {
			t.Errorf("got %d rows of %d bytes (error %v), want at most %d bytes", job.tasksPerSegment, size, err, maxBytes)
		}
		successor := largePool(0)
		successor.settings.MaxValueBytes = maxBytes
		recovered := newJob(job.JobSpec, controller.now, 1, maxBytes)
		successor.shardLeader.jobs[recovered.ID] = recovered
		successor.shardLeader.failover.recoverSegment(recovered, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 1}, &segment)
		for id, group := range recovered.groups {
			if group.size() != job.groups[id].size() {
				t.Errorf("group %d: got %d tasks, want %d", id, group.size(), job.groups[id].size())
			}
		}
		// The successor writes the same groups, though the record does not say in which group
		// each done task was.
		if again := recovered.segmentRecord(recovered.segmentOf(0)); !slices.Equal(again.FinishedInGroups, segment.FinishedInGroups) {
			t.Errorf("got groups %v written by the successor, want %v", again.FinishedInGroups, segment.FinishedInGroups)
		}
	}
}

// TestInvalidFinishedGroups checks that a record with invalid groups of done tasks is reported
// as a rejected input, and that the other fields of the record count.
func TestInvalidFinishedGroups(t *testing.T) {
	for _, pairs := range [][]int64{{5}, {0, 1}, {1_750_000_000_000, 0}, {1_750_000_000_000, 1 << 40}} {
		controller := largePool(0)
		job := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 4, Need: model.Resources{CPU: 1, Memory: 1}}, controller.now, 1, 4096)
		controller.shardLeader.jobs[job.ID] = job
		controller.shardLeader.failover.recoverSegment(job, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 1}, &record.TaskSegment{DoneRanges: []int{0, 1}, FinishedInGroups: pairs})
		if controller.rejectedInputs != 1 || job.doneTasks != 2 || len(job.groups) != 0 {
			t.Errorf("%v: got %d rejected inputs, %d done tasks and groups %v, want 1, 2 and none", pairs, controller.rejectedInputs, job.doneTasks, job.groups)
		}
	}
}
