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
	b, err := os.ReadFile("testdata/forms/production.json")
	if err != nil {
		t.Fatalf("reading the fixtures: got error %v, want none", err)
	}
	var all []storedRecord
	if err := json.Unmarshal(b, &all); err != nil {
		t.Fatalf("decoding the fixtures: got error %v, want none", err)
	}
	out := map[string][]byte{}
	for _, x := range all {
		out[x.Key] = x.Value
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
		name, is := strings.CutPrefix(key, record.TaskSegmentPrefix+id+"/")
		if !is {
			continue
		}
		var r record.TaskSegment
		if k, err := strconv.Atoi(name); err != nil || k*tasksPerRecord >= tasks || !record.Decode(value, &r) {
			dropped++
			continue
		}
		for i := 0; i+1 < len(r.DoneRanges); i += 2 {
			for x := r.DoneRanges[i]; x <= r.DoneRanges[i+1]; x++ {
				out[x] = taskState{done: true}
			}
		}
		for _, row := range r.Rows {
			s := taskState{attempt: row.Try}
			if row.Machine != "" {
				s.machine = r.MachinePrefix + row.Machine
			}
			out[row.Index] = s
		}
	}
	return out, dropped
}

// formatTestJob is the job whose records productionRecords has.
const formatTestJob = "job-000001"

// newFormatTestController returns a controller of this version whose settings announce a lower
// value limit.
func newFormatTestController() *Controller {
	c := largePool(60)
	c.settings.MaxValueBytes, c.settings.CurrentMaxValueBytes = 2048, 4096
	c.membership.formats.support = map[string]bool{}
	c.shardLeader.jobs = map[string]*job{}
	for _, m := range c.shardLeader.machinesByID {
		m.attempts = map[taskKey]*task{}
	}
	return c
}

// recoverTestJob recovers the job from the records as a successor does.
func recoverTestJob(c *Controller, rows map[string][]byte) *job {
	var segments []message.KeyValue
	for _, key := range sortedKeys(rows) {
		if strings.HasPrefix(key, record.TaskSegmentPrefix+formatTestJob+"/") {
			segments = append(segments, message.KeyValue{Key: key, Value: rows[key], ModRevision: 7})
		}
	}
	for _, kv := range segments {
		if f, _, ok := c.membership.formats.parseSegmentKey(kv.Key); ok {
			c.membership.formats.adoptFormat(f)
		}
	}
	j := c.shardLeader.addJob(model.JobSpec{ID: formatTestJob, Workload: "w", Team: "ops", Tasks: 100, Need: model.Resources{CPU: 0.1, Memory: 0.1}}, c.now, 1)
	slices.SortStableFunc(segments, c.membership.formats.compareFormats)
	for _, kv := range segments {
		var r record.TaskSegment
		if record.Decode(kv.Value, &r) {
			c.shardLeader.failover.recoverSegment(j, kv, &r)
		}
	}
	c.shardLeader.failover.queueRecovered(j)
	return j
}

// taskStateOf returns the state of a task that its job has in memory. A done task has no
// attempt, as in the records.
func taskStateOf(j *job, i int) taskState {
	t := &j.tasks[i]
	s := taskState{attempt: t.attempt, done: t.done}
	if t.machine != nil {
		s.machine = t.machine.id
	}
	if s.done {
		s.attempt = 0
	}
	return s
}

// taskStatesOf returns the states of all tasks that have ever started.
func taskStatesOf(j *job) map[int]taskState {
	out := map[int]taskState{}
	for i := range j.tasks {
		if s := taskStateOf(j, i); s != (taskState{}) {
			out[i] = s
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
func changeTask(c *Controller, j *job, i int, rng *rand.Rand) {
	t := &j.tasks[i]
	switch {
	case t.done:
		return
	case t.machine == nil:
		t.attempt++
		j.nextFresh = max(j.nextFresh, i+1)
		c.shardLeader.attachAttempt(j, i, c.shardLeader.machinesByID[rng.IntN(len(c.shardLeader.machinesByID))])
		j.markChanged(i, c.now, true)
	default:
		c.shardLeader.endAttempt(j, i, rng.IntN(2) == 0)
	}
}

// writeSegment encodes a task segment and checks the write against the limits. If rows is not
// nil, it stores the record there.
func writeSegment(t *testing.T, c *Controller, j *job, segment *taskSegment, rows map[string][]byte) (string, []byte) {
	t.Helper()
	key, value := j.segmentKey(segment), record.Encode(j.segmentRecord(segment))
	op := message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: key, Value: value}}}
	if err := c.requests.limitsOf(&op).CheckTxn(nil, []sizelimit.Write{{Key: key, Value: value}}); err != nil {
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
		c := newFormatTestController()
		j := recoverTestJob(c, rows)
		requireSameStates(t, "records of the old version, read by this version", taskStatesOf(j), want)
		for range 60 {
			changeTask(c, j, rng.IntN(100), rng)
		}
		for _, k := range sortedKeys(j.segments) {
			writeSegment(t, c, j, j.segments[k], rows)
		}
		got, dropped := recoverWithOldVersion(formatTestJob, 100, rows)
		if requireSameStates(t, "records of this version, read by the old version", got, taskStatesOf(j)); dropped > 0 {
			t.Fatalf("got %d records dropped, want 0", dropped)
		}
	}
}

// formatWrites lets the controller advance the format and returns its store requests.
func formatWrites(c *Controller) []message.StoreRequest {
	c.effects, c.membership.formats.writing = nil, false
	c.membership.loaded, c.membership.leaseID = true, 1
	c.membership.formats.advanceFormat()
	var out []message.StoreRequest
	for _, e := range c.effects {
		if op, ok := e.(message.StoreRequest); ok {
			out = append(out, op)
		}
	}
	return out
}

// TestFormatNeedsAllControllers checks that segments become sized only when each controller of
// the deployment has recorded its support, by a write of the leader that compares its
// leadership. Without a lower limit in the settings nothing is written.
func TestFormatNeedsAllControllers(t *testing.T) {
	c := newFormatTestController()
	c.settings.Peers = []string{"b", "c"}
	if ops := formatWrites(c); len(ops) != 1 || ops[0].Writes[0].Key != record.FormatSupportPrefix+"a" || ops[0].Compares[0] != (message.Compare{Key: record.FormatSupportPrefix + "a", ModRevision: 0}) {
		t.Fatalf("got first writes %+v, want one record of this controller's support, on condition that it is absent", ops)
	}
	c.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "a", ModRevision: 3})
	c.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "b", ModRevision: 4})
	c.leader = newLeader(c)
	c.leader.modRevision = 9
	if ops := formatWrites(c); len(ops) > 0 {
		t.Fatalf("got %+v written while c may come back, want nothing", ops)
	}
	c.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "c", ModRevision: 5})
	c.leader = nil
	if ops := formatWrites(c); len(ops) > 0 {
		t.Fatalf("got %+v written by a controller that does not lead, want nothing", ops)
	}
	c.leader = newLeader(c)
	c.leader.modRevision = 9
	ops := formatWrites(c)
	if len(ops) != 1 || ops[0].Writes[0].Key != record.FormatKey || !slices.Contains(ops[0].Compares, message.Compare{Key: record.LeaderKey, ModRevision: 9}) || !slices.Contains(ops[0].Compares, message.Compare{Key: record.FormatKey, ModRevision: 0}) {
		t.Fatalf("got writes %+v, want one format record that compares the leadership and its own absence", ops)
	}
	if c.membership.formats.currentFormat().sized {
		t.Fatal("got sized segments before the format record was read, want the former format")
	}
	c.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatKey, Value: ops[0].Writes[0].Value, ModRevision: 6})
	if f := c.membership.formats.currentFormat(); f != (segmentFormat{record.MaxTasksPerSegment(2048), true}) {
		t.Fatalf("got format %+v, want sized segments under 2048 bytes", f)
	}
	if ops := formatWrites(c); len(ops) > 0 {
		t.Fatalf("got %+v written again, want nothing", ops)
	}
	same := newFormatTestController()
	same.settings.CurrentMaxValueBytes = 2048
	if ops := formatWrites(same); len(ops) > 0 {
		t.Fatalf("got %+v written without a lower limit to come, want nothing", ops)
	}
}

// TestLoanAcrossFormats guards against lending a job that has started. A loan that is written
// late must fail if the job has a task record in another format than the one that was current
// when the loan was sent.
func TestLoanAcrossFormats(t *testing.T) {
	c := newFormatTestController()
	compares := c.membership.formats.neverStartedCompares(formatTestJob)
	j := c.shardLeader.addJob(model.JobSpec{ID: formatTestJob, Team: "ops", Tasks: 100}, c.now, 1)
	before := j.segmentKey(j.segmentOf(0))
	c.membership.formats.adoptFormat(segmentFormat{record.MaxTasksPerSegment(2048), true})
	after := j.segmentKey(j.segmentOf(0))
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
// description was written under a larger value limit than the present one.
func TestCancelledRecordShrinksToFit(t *testing.T) {
	s := model.JobSpec{ID: formatTestJob, Team: "ops", Workload: "w", Tasks: 7, Need: model.Resources{CPU: 2}, Image: "img", ExpectedRunTime: time.Second}
	for i := range 80 {
		s.MachineTypes = append(s.MachineTypes, fmt.Sprintf("a-machine-type-with-a-long-name-%03d", i))
	}
	r := record.NewOpenJob(&s, time.Unix(1_750_000_000, 0))
	small := r
	small.MachineTypes = s.MachineTypes[:3]
	r.Cancelled, small.Cancelled = true, true
	r.ShrinkToFit(2048)
	if size, err := sizelimit.JSON(record.Encode(r)); err != nil || size > 2048 || r.Team != "ops" || r.Tasks != 7 || r.CPU != 2 || r.Validate() != nil {
		t.Errorf("got %d bytes (error %v) of %+v, want a valid record of at most 2048 with its team, tasks and CPU", size, err, r)
	}
	if small.ShrinkToFit(2048); len(small.MachineTypes) != 3 || small.Image != "img" {
		t.Errorf("got %+v of a record that fits, want it unchanged", small)
	}
}

// TestValueLimitIsProbed checks the evidence for a lowered value limit. A record that the store
// calls malformed proves nothing about the limit; a refused plain text with a size between the
// two limits does. Only the latter changes the format before all controllers have recorded their
// support, by a write that compares the owner's shard.
func TestValueLimitIsProbed(t *testing.T) {
	for _, status := range []message.StoreStatus{message.StoreOK, message.StoreUnknown, message.StoreMalformed} {
		c := newFormatTestController()
		c.settings.Peers = []string{"b"}
		c.membership.formats.applyFormatRecord(message.KeyValue{Key: record.FormatSupportPrefix + "a", ModRevision: 3})
		c.membership.loaded, c.membership.leaseID = true, 1
		j := recoverTestJob(c, productionRecords(t))
		c.effects = nil
		c.shardLeader.persistence.deferMalformedSegment(j, j.segments[0], 1)
		var probe message.StoreRequest
		for _, e := range c.effects {
			if op, ok := e.(message.StoreRequest); ok && op.Writes[0].Key == record.LimitProbeKey {
				probe = op
			}
		}
		if size, err := sizelimit.JSON(probe.Writes[0].Value); err != nil || size <= 2048 || size > 4096 {
			t.Fatalf("got a probe of %d bytes (error %v), want more than 2048 and at most 4096", size, err)
		}
		c.requests.storeCallbacks[probe.ID](message.StoreResponse{ID: probe.ID, Status: status})
		ops := formatWrites(c)
		if changed := len(ops) > 0 && ops[0].Writes[0].Key == record.FormatKey; changed != (status == message.StoreMalformed) {
			t.Errorf("probe answered %v: got writes %+v, want the format record: %v", status, ops, status == message.StoreMalformed)
		} else if changed && ops[0].Compares[0] != c.shardLeader.shardCompares("")[0] {
			t.Errorf("got compares %+v, want the compare of the shard first", ops[0].Compares)
		}
	}
}
