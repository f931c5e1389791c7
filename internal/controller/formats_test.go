package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// storedRecord is a record that the version in production wrote under a value limit of 4 KiB.
type storedRecord struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Size  int    `json:"size"`
}

// productionRecords returns records that commit 0a0f15a wrote, by key.
func productionRecords(t *testing.T) map[string][]byte {
	t.Helper()
	data, err := os.ReadFile("testdata/forms/production.json")
	if err != nil {
		t.Fatalf("reading the fixtures: got error %v, want none", err)
	}
	var all []storedRecord
	if err := json.Unmarshal(data, &all); err != nil {
		t.Fatalf("decoding the fixtures: got error %v, want none", err)
	}
	out := map[string][]byte{}
	for _, rec := range all {
		out[rec.Key] = rec.Value
	}
	return out
}

// taskState is the state of a task according to the records.
type taskState struct {
	attempt uint64
	machine string
	done    bool
}

// recoverWithOldVersion reads the records of a job's tasks as commit 0a0f15a does: it takes the
// number of a record as its position, for values of at most 4 KiB. It returns the states, and
// the number of records that it dropped for their names or values.
func recoverWithOldVersion(id string, tasks int, rows map[string][]byte) (map[int]taskState, int) {
	const tasksPerRecord = 4096 * 3 / 4 / 72
	out, dropped := map[int]taskState{}, 0
	for key, value := range rows {
		name, isSegment := strings.CutPrefix(key, record.TaskSegmentPrefix+id+"/")
		if !isSegment {
			continue
		}
		var segment record.TaskSegment
		if number, err := strconv.Atoi(name); err != nil || number*tasksPerRecord >= tasks || !record.Decode(value, &segment) {
			dropped++
			continue
		}
		for i := 0; i+1 < len(segment.DoneRanges); i += 2 {
			for index := segment.DoneRanges[i]; index <= segment.DoneRanges[i+1]; index++ {
				out[index] = taskState{done: true}
			}
		}
		for _, row := range segment.Rows {
			state := taskState{attempt: row.Try}
			if row.Machine != "" {
				state.machine = segment.MachinePrefix + row.Machine
			}
			out[row.Index] = state
		}
	}
	return out, dropped
}

// formatTestJob is the job whose records productionRecords has.
const formatTestJob = "job-000001"

// newFormatTestController returns a controller of this version whose settings announce a lower
// value limit.
func newFormatTestController() *Controller {
	controller := largePool(60)
	controller.settings.MaxValueBytes, controller.settings.CurrentMaxValueBytes = 2048, 4096
	controller.membership.formats.support = map[string]bool{}
	controller.shardLeader.jobs = map[string]*job{}
	for _, machine := range controller.shardLeader.machinesByID {
		machine.attempts = map[taskKey]*task{}
	}
	return controller
}

// recoverTestJob recovers the job from the records as a successor does.
func recoverTestJob(controller *Controller, rows map[string][]byte) *job {
	var segments []message.KeyValue
	for _, key := range sortedKeys(rows) {
		if strings.HasPrefix(key, record.TaskSegmentPrefix+formatTestJob+"/") {
			segments = append(segments, message.KeyValue{Key: key, Value: rows[key], ModRevision: 7})
		}
	}
	for _, kv := range segments {
		if format, _, ok := controller.membership.formats.parseSegmentKey(kv.Key); ok {
			controller.membership.formats.adoptFormat(format)
		}
	}
	job := controller.shardLeader.addJob(model.JobSpec{ID: formatTestJob, Workload: "w", Team: "ops", Tasks: 100, Need: model.Resources{CPU: 0.1, Memory: 0.1}}, controller.now, 1)
	slices.SortStableFunc(segments, controller.membership.formats.compareFormats)
	for _, kv := range segments {
		var segment record.TaskSegment
		if record.Decode(kv.Value, &segment) {
			controller.shardLeader.failover.recoverSegment(job, kv, &segment)
		}
	}
	controller.shardLeader.failover.queueRecovered(job)
	return job
}

// taskStateOf returns the state of a task that its job has in memory. A done task has no
// attempt, as in the records.
func taskStateOf(job *job, i int) taskState {
	task := &job.tasks[i]
	state := taskState{attempt: task.attempt, done: task.done}
	if task.machine != nil {
		state.machine = task.machine.id
	}
	if state.done {
		state.attempt = 0
	}
	return state
}

// taskStatesOf returns the states of all tasks that have ever started.
func taskStatesOf(job *job) map[int]taskState {
	out := map[int]taskState{}
	for i := range job.tasks {
		if state := taskStateOf(job, i); state != (taskState{}) {
			out[i] = state
		}
	}
	return out
}

// requireSameStates fails the test unless all tasks of the job have the wanted states.
func requireSameStates(t *testing.T, what string, got, want map[int]taskState) {
	t.Helper()
	for i := range 100 {
		if got[i] != want[i] {
			t.Fatalf("%s: task %d: got %+v, want %+v", what, i, got[i], want[i])
		}
	}
}

// changeTask changes a task as its start, its end or the loss of its machine does.
func changeTask(controller *Controller, job *job, i int, rng *rand.Rand) {
	task := &job.tasks[i]
	switch {
	case task.done:
		return
	case task.machine == nil:
		task.attempt++
		job.nextFresh = max(job.nextFresh, i+1)
		controller.shardLeader.attachAttempt(job, i, controller.shardLeader.machinesByID[rng.IntN(len(controller.shardLeader.machinesByID))])
		job.markChanged(i, controller.now, true)
	default:
		controller.shardLeader.endAttempt(job, i, rng.IntN(2) == 0)
	}
}

// writeSegment encodes a task segment and checks the write against the limits. If rows is not
// nil, it stores the record there.
func writeSegment(t *testing.T, controller *Controller, job *job, segment *taskSegment, rows map[string][]byte) (string, []byte) {
	t.Helper()
	key, value := job.segmentKey(segment), record.Encode(job.segmentRecord(segment))
	request := message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: key, Value: value}}}
	if err := controller.requests.limitsOf(&request).CheckTxn(nil, []sizelimit.Write{{Key: key, Value: value}}); err != nil {
		t.Fatalf("write of %s: got error %v, want none", key, err)
	}
	if rows != nil {
		rows[key] = value
		segment.modRevision, segment.persistedVersion = 8, segment.version
	}
	return key, value
}

// TestOldVersionReadsNewRecords guards against tasks that run a second time: before all
// controllers are known to support sized segments, a process of the version in production must
// find every record that this version wrote.
func TestOldVersionReadsNewRecords(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		rows := productionRecords(t)
		want, _ := recoverWithOldVersion(formatTestJob, 100, rows)
		controller := newFormatTestController()
		job := recoverTestJob(controller, rows)
		requireSameStates(t, "records of the old version, read by this version", taskStatesOf(job), want)
		for range 60 {
			changeTask(controller, job, rng.IntN(100), rng)
		}
		for _, index := range sortedKeys(job.segments) {
			writeSegment(t, controller, job, job.segments[index], rows)
		}
		got, dropped := recoverWithOldVersion(formatTestJob, 100, rows)
		if requireSameStates(t, "records of this version, read by the old version", got, taskStatesOf(job)); dropped > 0 {
			t.Fatalf("got %d records dropped, want 0", dropped)
		}
	}
}

// formatWrites lets the controller advance the format and returns its store requests.
func formatWrites(controller *Controller) []message.StoreRequest {
	controller.effects, controller.membership.formats.writing = nil, false
	controller.membership.loaded, controller.membership.leaseID = true, 1
	controller.membership.formats.advanceFormat()
	var out []message.StoreRequest
	for _, effect := range controller.effects {
		if request, ok := effect.(message.StoreRequest); ok {
			out = append(out, request)
		}
	}
	return out
}

// TestFormatNeedsAllControllers checks that segments become sized only when each controller of
// the deployment has recorded its support, by a write of the leader that compares its
// leadership. Without a lower limit in the settings nothing is written.
func TestFormatNeedsAllControllers(t *testing.T) {
	controller := newFormatTestController()
	controller.settings.Peers = []string{"b", "c"}
	if requests := formatWrites(controller); len(requests) != 1 || requests[0].Writes[0].Key != record.FormatSupportPrefix+"a" || requests[0].Compares[0] != (message.Compare{Key: record.FormatSupportPrefix + "a", ModRevision: 0}) {
		t.Fatalf("got first writes %+v, want one record of this controller's support, on condition that it is absent", requests)
	}
	controller.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "a", ModRevision: 3})
	controller.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "b", ModRevision: 4})
	controller.leader = newLeader(controller)
	controller.leader.modRevision = 9
	if requests := formatWrites(controller); len(requests) > 0 {
		t.Fatalf("got %+v written while c may come back, want nothing", requests)
	}
	controller.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "c", ModRevision: 5})
	controller.leader = nil
	if requests := formatWrites(controller); len(requests) > 0 {
		t.Fatalf("got %+v written by a controller that does not lead, want nothing", requests)
	}
	controller.leader = newLeader(controller)
	controller.leader.modRevision = 9
	requests := formatWrites(controller)
	if len(requests) != 1 || requests[0].Writes[0].Key != record.FormatKey || !slices.Contains(requests[0].Compares, message.Compare{Key: record.LeaderKey, ModRevision: 9}) || !slices.Contains(requests[0].Compares, message.Compare{Key: record.FormatKey, ModRevision: 0}) {
		t.Fatalf("got writes %+v, want one format record that compares the leadership and its own absence", requests)
	}
	if controller.membership.formats.currentFormat().sized {
		t.Fatal("got sized segments before the format record was read, want the former format")
	}
	controller.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatKey, Value: requests[0].Writes[0].Value, ModRevision: 6})
	if format := controller.membership.formats.currentFormat(); format != (segmentFormat{record.MaxTasksPerSegment(2048), true}) {
		t.Fatalf("got format %+v, want sized segments under 2048 bytes", format)
	}
	if requests := formatWrites(controller); len(requests) > 0 {
		t.Fatalf("got %+v written again, want nothing", requests)
	}
	same := newFormatTestController()
	same.settings.CurrentMaxValueBytes = 2048
	if requests := formatWrites(same); len(requests) > 0 {
		t.Fatalf("got %+v written without a lower limit to come, want nothing", requests)
	}
}

// TestLoanAcrossFormats guards against lending a job that has started. A loan that is written
// late must fail if the job has a task record in another format than the one that was current
// when the loan was sent.
func TestLoanAcrossFormats(t *testing.T) {
	controller := newFormatTestController()
	compares := controller.membership.formats.neverStartedCompares(formatTestJob)
	job := controller.shardLeader.addJob(model.JobSpec{ID: formatTestJob, Team: "ops", Tasks: 100}, controller.now, 1)
	before := job.segmentKey(job.segmentOf(0))
	controller.membership.formats.adoptFormat(segmentFormat{record.MaxTasksPerSegment(2048), true})
	after := job.segmentKey(job.segmentOf(0))
	for _, key := range []string{before, after} {
		if !slices.Contains(compares, message.Compare{Key: key, ModRevision: 0}) {
			t.Errorf("got compares %v, want the absence of %s among them", compares, key)
		}
	}
	same := newFormatTestController()
	same.settings.CurrentMaxValueBytes = 0
	if compares := same.membership.formats.neverStartedCompares(formatTestJob); len(compares) != 1 {
		t.Errorf("without a lower limit in the settings: got compares %v, want 1", compares)
	}
}

// TestCancelledRecordShrinksToFit guards against a job that can't be cancelled because its
// description was written under a larger value limit than the current one.
func TestCancelledRecordShrinksToFit(t *testing.T) {
	spec := model.JobSpec{ID: formatTestJob, Team: "ops", Workload: "w", Tasks: 7, Need: model.Resources{CPU: 2}, Image: "img", ExpectedRunTime: time.Second}
	for i := range 80 {
		spec.MachineTypes = append(spec.MachineTypes, fmt.Sprintf("a-machine-type-with-a-long-name-%03d", i))
	}
	rec := record.NewOpenJob(&spec, time.Unix(1_750_000_000, 0))
	small := rec
	firstTypes := spec.MachineTypes[:3]
	small.MachineTypes = &firstTypes
	rec.Cancelled, small.Cancelled = true, true
	rec.ShrinkToFit(2048)
	if size, err := sizelimit.JSONSize(record.Encode(rec)); err != nil || size > 2048 || rec.Team != "ops" || rec.Tasks != 7 || rec.CPU != 2 || rec.Validate() != nil {
		t.Errorf("got %d bytes (error %v) of %+v, want a valid record of at most 2048 with its team, tasks and CPU", size, err, rec)
	}
	if small.ShrinkToFit(2048); small.MachineTypes == nil || len(*small.MachineTypes) != 3 || small.Image != "img" {
		t.Errorf("got %+v of a record that fits, want it unchanged", small)
	}
}

// TestValueLimitIsProbed checks the evidence for a lowered value limit. A record that the store
// calls malformed proves nothing about the limit; a refused plain text with a size between the
// two limits does. Only the latter changes the format before all controllers have recorded their
// support, by a write that compares the owner's shard.
func TestValueLimitIsProbed(t *testing.T) {
	for _, status := range []message.StoreStatus{message.StoreOK, message.StoreUnknown, message.StoreMalformed} {
		controller := newFormatTestController()
		controller.settings.Peers = []string{"b"}
		controller.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "a", ModRevision: 3})
		controller.membership.loaded, controller.membership.leaseID = true, 1
		job := recoverTestJob(controller, productionRecords(t))
		controller.effects = nil
		controller.shardLeader.persistence.deferMalformedSegment(job, job.segments[0], 1)
		var probe message.StoreRequest
		for _, effect := range controller.effects {
			if request, ok := effect.(message.StoreRequest); ok && request.Writes[0].Key == record.LimitProbeKey {
				probe = request
			}
		}
		if size, err := sizelimit.JSONSize(probe.Writes[0].Value); err != nil || size <= 2048 || size > 4096 {
			t.Fatalf("got a probe of %d bytes (error %v), want more than 2048 and at most 4096", size, err)
		}
		controller.requests.storeCallbacks[probe.ID](message.StoreResponse{ID: probe.ID, Status: status})
		requests := formatWrites(controller)
		if changed := len(requests) > 0 && requests[0].Writes[0].Key == record.FormatKey; changed != (status == message.StoreMalformed) {
			t.Errorf("probe answered %v: got writes %+v, want the format record: %v", status, requests, status == message.StoreMalformed)
		} else if changed && requests[0].Compares[0] != controller.shardLeader.shardCompares("")[0] {
			t.Errorf("got compares %+v, want the compare of the shard first", requests[0].Compares)
		}
	}
}
