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
func sentStoreRequests(c *Controller) []message.StoreRequest {
	return emittedEffects[message.StoreRequest](c)
}

// TestMalformedIsNotResent guards against resending a request that the store refuses each time
// for its size or form. It would use up the request rate, and everything that depends on it
// would wait for ever.
func TestMalformedIsNotResent(t *testing.T) {
	c := largePool(0)
	var got []message.StoreStatus
	callback := func(d message.StoreResponse) { got = append(got, d.Status) }
	passSecond := func() {
		c.now = c.now.Add(time.Second)
		c.runTimers()
	}
	// A request that exceeds a limit is not sent.
	c.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: "a", Value: record.Encode(map[string]any{"v": strings.Repeat("x", 5000)})}}}, callback)
	if passSecond(); len(sentStoreRequests(c)) != 0 || !slices.Equal(got, []message.StoreStatus{message.StoreMalformed}) || c.internalErrors != 1 {
		t.Errorf("got %d requests sent, statuses %v, %d internal errors; want 0, malformed and 1", len(sentStoreRequests(c)), got, c.internalErrors)
	}
	// A request that the store called malformed is not sent again unchanged, but a different
	// request is.
	op := message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: "a", Value: record.Encode(map[string]any{"v": 1})}}}
	c.requests.toStore(op, callback)
	c.handleCommand(message.StoreResponse{ID: sentStoreRequests(c)[0].ID, Status: message.StoreMalformed})
	c.effects, got = nil, nil
	c.requests.toStore(op, callback)
	if passSecond(); len(sentStoreRequests(c)) != 0 || !slices.Equal(got, []message.StoreStatus{message.StoreMalformed}) {
		t.Errorf("got %v sent again, statuses %v; want nothing and malformed", sentStoreRequests(c), got)
	}
	op.Writes = []message.Write{{Key: "a", Value: record.Encode(map[string]any{"v": 2})}}
	if c.requests.toStore(op, callback); len(sentStoreRequests(c)) != 1 {
		t.Errorf("got %d requests of another value sent, want 1", len(sentStoreRequests(c)))
	}
}

// TestOneMalformedSegmentAmongOthers checks a write of several segments of which one can't be
// stored: the tasks of that segment are deferred, and the tasks of the other segments start.
func TestOneMalformedSegmentAmongOthers(t *testing.T) {
	c := largePool(4)
	c.membership.leaseID = 1
	c.shardLeader.jobs = map[string]*job{}
	for _, id := range []string{"job-1", "job-2"} {
		j := c.shardLeader.addJob(model.JobSpec{ID: id, Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, c.now, 1)
		i := j.takePending(c.now)
		j.tasks[i].attempt = 1
		c.shardLeader.attachAttempt(j, i, c.shardLeader.machinesByID[0])
		j.markChanged(i, c.now, true)
	}
	written := map[string]bool{}
	for range 8 {
		c.effects = nil
		c.shardLeader.persistence.writeSegments()
		for _, op := range sentStoreRequests(c) {
			malformed := false
			for _, a := range op.Writes {
				malformed = malformed || strings.HasPrefix(a.Key, record.TaskSegmentPrefix+"job-1/")
			}
			d := message.StoreResponse{ID: op.ID, Status: message.StoreOK, Revision: 9}
			if malformed {
				d.Status = message.StoreMalformed
			}
			for _, a := range op.Writes {
				written[a.Key] = written[a.Key] || !malformed
			}
			c.handleCommand(d)
		}
		c.now = c.now.Add(time.Second)
		c.runTimers()
	}
	if !written["task/job-2/0"] || c.shardLeader.jobs["job-2"].liveTasks != 1 {
		t.Errorf("got writes %v, %d live tasks of job-2; want the segment of job-2 written, and 1", written, c.shardLeader.jobs["job-2"].liveTasks)
	}
	if j := c.shardLeader.jobs["job-1"]; j.liveTasks != 0 || !j.tasks[0].notBefore.After(c.now) {
		t.Errorf("got %d live tasks of job-1, not before %v; want 0, deferred", j.liveTasks, j.tasks[0].notBefore)
	}
}

// TestSegmentsOfLongMachineNames guards against segments that exceed the value limit because the
// machines have long names. The common prefix of the names is stored once.
func TestSegmentsOfLongMachineNames(t *testing.T) {
	for _, maxBytes := range []int{1 << 10, 4 << 10, 16 << 10} {
		c := largePool(0)
		c.settings.MaxValueBytes = maxBytes
		j := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 10_000, Need: model.Resources{CPU: 1, Memory: 1}}, c.now, 1, maxBytes)
		c.shardLeader.jobs[j.ID] = j
		for i := range j.tasksPerSegment {
			m := c.shardLeader.ensureMachine(fmt.Sprintf("machine-of-a-provider-with-names-longer-than-any-%06d", i))
			j.nextFresh++
			task := &j.tasks[i]
			task.attempt, task.groupStart, task.relaunched = 12, c.now.UnixMilli()+int64(i), true
			c.shardLeader.attachAttempt(j, i, m)
			j.groups[task.groupStart] = &group{startedAt: c.now, relaunchDecided: i%2 == 0}
			j.recordRunTime(time.Duration(100+i) * time.Second)
		}
		r := j.segmentRecord(j.segmentOf(0))
		size, err := sizelimit.JSON(record.Encode(r))
		if err != nil || size > maxBytes {
			t.Errorf("got %d rows of %d bytes (error %v), want at most %d bytes", j.tasksPerSegment, size, err, maxBytes)
		}
		// A successor reads the complete names.
		successor := largePool(0)
		successor.settings.MaxValueBytes = maxBytes
		recovered := newJob(j.JobSpec, c.now, 1, maxBytes)
		successor.shardLeader.jobs[recovered.ID] = recovered
		var back record.TaskSegment
		if !record.Decode(record.Encode(r), &back) {
			t.Fatal("got a record that can't be decoded, want it read")
		}
		successor.shardLeader.failover.recoverSegment(recovered, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 1}, &back)
		for i := range j.tasksPerSegment {
			if recovered.tasks[i].machine == nil || recovered.tasks[i].machine.id != j.tasks[i].machine.id {
				t.Fatalf("task %d: got machine %v, want %s", i, recovered.tasks[i].machine, j.tasks[i].machine.id)
			}
		}
	}
}

// TestCommandsAreBounded guards against sending a worker with many ended tasks a body above the
// protocol's limit of 64 KiB. The commands beyond the limit follow later.
func TestCommandsAreBounded(t *testing.T) {
	c := largePool(1)
	m := c.shardLeader.machinesByID[0]
	r := c.poolHeartbeat(0)
	r.Sequence = 9
	for i := range 1200 {
		r.Tasks = append(r.Tasks, model.TaskReport{Job: "job-000001", Index: i, Attempt: 1, Status: model.Ended, Cause: "done"})
	}
	c.frontend.finalStatuses["job-000001"] = model.Done
	c.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	commands := c.shardLeader.dispatcher.reconcile(m)
	type wire struct {
		Verb  string  `json:"verb"`
		Piece string  `json:"piece"`
		Try   uint64  `json:"try"`
		Wind  float64 `json:"wind_down_s"`
	}
	var ws []wire
	for _, o := range commands {
		ws = append(ws, wire{string(o.Kind), fmt.Sprintf("%s/%d", o.Job, o.Index), o.Attempt, 10})
	}
	b, err := json.Marshal(map[string]any{"epoch": 1, "orders": ws})
	if err != nil || len(commands) == 0 || len(b) > sizelimit.MaxBodyBytes {
		t.Errorf("got %d commands in %d bytes (error %v), want some in at most %d", len(commands), len(b), err, sizelimit.MaxBodyBytes)
	}
	// The other commands follow with the answer to the next heartbeat, which lists the remaining
	// tasks.
	r.Sequence, r.Tasks = 10, r.Tasks[len(commands):]
	c.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	if more := c.shardLeader.dispatcher.reconcile(m); len(more) == 0 {
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
	var r record.TaskSegment
	if record.Decode(damaged, &r) {
		t.Errorf("got damaged record decoded as %+v, want it refused", r)
	}
}

// TestSegmentsOfFinishedGroups checks that a segment stays within the value limit when every
// other task is done, each in a group of its own, and that a successor restores the groups.
func TestSegmentsOfFinishedGroups(t *testing.T) {
	for _, maxBytes := range []int{1 << 10, 4 << 10, 16 << 10} {
		c := largePool(0)
		c.settings.MaxValueBytes = maxBytes
		j := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 10_000, Need: model.Resources{CPU: 1, Memory: 1}}, c.now, 1, maxBytes)
		c.shardLeader.jobs[j.ID] = j
		for i := range j.tasksPerSegment {
			x := &j.tasks[i]
			j.nextFresh++
			x.attempt, x.groupStart = 12, c.now.UnixMilli()+int64(i/2)
			j.recoveredGroup(x.groupStart).tasks = append(j.recoveredGroup(x.groupStart).tasks, i)
			if x.done = i%2 == 0; !x.done {
				c.shardLeader.attachAttempt(j, i, c.shardLeader.ensureMachine(fmt.Sprintf("machine-of-a-provider-with-names-longer-than-any-%06d", i)))
			}
		}
		r := j.segmentRecord(j.segmentOf(0))
		if size, err := sizelimit.JSON(record.Encode(r)); err != nil || size > maxBytes {
			t.Errorf("got %d rows of %d bytes (error %v), want at most %d bytes", j.tasksPerSegment, size, err, maxBytes)
		}
		successor := largePool(0)
		successor.settings.MaxValueBytes = maxBytes
		recovered := newJob(j.JobSpec, c.now, 1, maxBytes)
		successor.shardLeader.jobs[recovered.ID] = recovered
		successor.shardLeader.failover.recoverSegment(recovered, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 1}, &r)
		for id, g := range recovered.groups {
			if g.size() != j.groups[id].size() {
				t.Errorf("group %d: got %d tasks, want %d", id, g.size(), j.groups[id].size())
			}
		}
		// The successor writes the same groups, though the record does not say in which group
		// each done task was.
		if again := recovered.segmentRecord(recovered.segmentOf(0)); !slices.Equal(again.FinishedInGroups, r.FinishedInGroups) {
			t.Errorf("got groups %v written by the successor, want %v", again.FinishedInGroups, r.FinishedInGroups)
		}
	}
}

// TestInvalidFinishedGroups checks that a record with invalid groups of done tasks is reported
// as a rejected input, and that the other fields of the record count.
func TestInvalidFinishedGroups(t *testing.T) {
	for _, pairs := range [][]int64{{5}, {0, 1}, {1_750_000_000_000, 0}, {1_750_000_000_000, 1 << 40}} {
		c := largePool(0)
		j := newJob(model.JobSpec{ID: "job-1", Team: "ops", Tasks: 4, Need: model.Resources{CPU: 1, Memory: 1}}, c.now, 1, 4096)
		c.shardLeader.jobs[j.ID] = j
		c.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 1}, &record.TaskSegment{DoneRanges: []int{0, 1}, FinishedInGroups: pairs})
		if c.rejectedInputs != 1 || j.doneTasks != 2 || len(j.groups) != 0 {
			t.Errorf("%v: got %d rejected inputs, %d done tasks and groups %v, want 1, 2 and none", pairs, c.rejectedInputs, j.doneTasks, j.groups)
		}
	}
}
