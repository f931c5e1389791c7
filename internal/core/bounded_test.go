package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/vmihailenco/msgpack/v5"
)

func ops(n *Node) []StateOp { return emitted[StateOp](n) }

// TestMalformedIsNotSentAgain guards against a request that the state service refuses
// for its size or form, as often as it is sent: it eats the limit of requests, and
// whatever waits for it waits for ever.
func TestMalformedIsNotSentAgain(t *testing.T) {
	n := largePool(0)
	var got []StateStatus
	fn := func(d StateDone) { got = append(got, d.Status) }
	later := func() {
		n.now = n.now.Add(time.Second)
		n.runTimers()
	}
	// What passes a limit does not leave.
	n.ask(StateOp{Kind: OpTxn, Apply: []Change{{Key: "a", Value: encode(map[string]any{"v": strings.Repeat("x", 5000)})}}}, fn)
	if later(); len(ops(n)) != 0 || !slices.Equal(got, []StateStatus{StateBad}) || n.defects != 1 {
		t.Errorf("%d requests have left, answered %v, %d defects", len(ops(n)), got, n.defects)
	}
	// What is called malformed all the same is not sent again as it is, but what
	// differs is.
	op := StateOp{Kind: OpTxn, Apply: []Change{{Key: "a", Value: encode(map[string]any{"v": 1})}}}
	n.ask(op, fn)
	n.command(StateDone{ID: ops(n)[0].ID, Status: StateBad})
	n.out, got = nil, nil
	n.ask(op, fn)
	if later(); len(ops(n)) != 0 || !slices.Equal(got, []StateStatus{StateBad}) {
		t.Errorf("sent again: %v, answered %v", ops(n), got)
	}
	op.Apply = []Change{{Key: "a", Value: encode(map[string]any{"v": 2})}}
	if n.ask(op, fn); len(ops(n)) != 1 {
		t.Error("another one does not leave")
	}
}

// TestOneMalformedRecordAmongOthers: the tasks of a record that can't be stored are
// put off, and those of others in the same write start.
func TestOneMalformedRecordAmongOthers(t *testing.T) {
	n := largePool(4)
	n.sess.grant = 1
	n.owner.jobs = map[string]*job{}
	for _, id := range []string{"job-1", "job-2"} {
		j := n.newJob(Spec{ID: id, Workload: "w", Team: "ops", Tasks: 1, Need: Resources{CPU: 1, Memory: 1}, Expected: time.Minute}, n.now, 1)
		i := j.nextPending(n.now)
		j.tasks[i].try = 1
		n.attach(j, i, n.owner.byID[0])
		j.touch(i, n.now, true)
	}
	written := map[string]bool{}
	for range 8 {
		n.out = nil
		n.writeChunks()
		for _, op := range ops(n) {
			bad := false
			for _, a := range op.Apply {
				bad = bad || strings.HasPrefix(a.Key, taskPrefix+"job-1/")
			}
			d := StateDone{ID: op.ID, Status: StateOK, Rev: 9}
			if bad {
				d.Status = StateBad
			}
			for _, a := range op.Apply {
				written[a.Key] = written[a.Key] || !bad
			}
			n.command(d)
		}
		n.now = n.now.Add(time.Second)
		n.runTimers()
	}
	if !written["task/job-2/0"] || n.owner.jobs["job-2"].live != 1 {
		t.Error("a job has to suffer for another's record")
	}
	if j := n.owner.jobs["job-1"]; j.live != 0 || !j.tasks[0].notBefore.After(n.now) {
		t.Error("what can't be stored is neither given up nor put off")
	}
}

// TestRecordsOfLongNames: the rows of a record stay within a value however long the
// machines' names are, as they share what they begin with.
func TestRecordsOfLongNames(t *testing.T) {
	for _, value := range []int{1 << 10, 4 << 10, 16 << 10} {
		n := largePool(0)
		n.set.ValueBytes = value
		j := newJob(Spec{ID: "job-1", Team: "ops", Tasks: 10_000, Need: Resources{CPU: 1, Memory: 1}}, n.now, 1, value)
		n.owner.jobs[j.ID] = j
		for i := range j.per {
			m := n.machine(fmt.Sprintf("machine-of-a-provider-with-names-longer-than-any-%06d", i))
			j.fresh++
			t := &j.tasks[i]
			t.try, t.group, t.relaunched = 12, n.now.UnixMilli()+int64(i), true
			n.attach(j, i, m)
			j.groups[t.group] = &group{start: n.now, marked: i%2 == 0}
			j.ran(time.Duration(100+i) * time.Second)
		}
		r := j.record(j.chunkOf(0))
		size, err := bounds.JSON(encode(r))
		if err != nil || size > value {
			t.Errorf("%d rows take %d bytes of %d, %v", j.per, size, value, err)
		}
		// A successor reads the names as they were.
		heir := largePool(0)
		heir.set.ValueBytes = value
		h := newJob(j.Spec, n.now, 1, value)
		heir.owner.jobs[h.ID] = h
		var back chunkRecord
		if !decode(encode(r), &back) {
			t.Fatal("unreadable")
		}
		heir.restore(h, Item{Key: taskPrefix + "job-1/0", Stamp: 1}, &back)
		for i := range j.per {
			if h.tasks[i].m == nil || h.tasks[i].m.id != j.tasks[i].m.id {
				t.Fatalf("task %d is on %v, was on %s", i, h.tasks[i].m, j.tasks[i].m.id)
			}
		}
	}
}

// TestOrdersAreBounded: a worker with hundreds of pieces to be cleared away is not
// sent a body beyond the protocol's 64 KiB, and the rest follows.
func TestOrdersAreBounded(t *testing.T) {
	n := largePool(1)
	m := n.owner.byID[0]
	r := n.poolReport(0)
	r.Tick = 9
	for i := range 1200 {
		r.Tasks = append(r.Tasks, TaskReport{Job: "job-000001", Index: i, Try: 1, Status: Ended, Cause: "done"})
	}
	n.users.final["job-000001"] = Done
	n.hear(m, r, true)
	orders := n.reconcile(m)
	type wire struct {
		Verb  string  `json:"verb"`
		Piece string  `json:"piece"`
		Try   uint64  `json:"try"`
		Wind  float64 `json:"wind_down_s"`
	}
	var ws []wire
	for _, o := range orders {
		ws = append(ws, wire{string(o.Verb), fmt.Sprintf("%s/%d", o.Job, o.Index), o.Try, 10})
	}
	b, err := json.Marshal(map[string]any{"epoch": 1, "orders": ws})
	if err != nil || len(orders) == 0 || len(b) > bounds.BodyMost {
		t.Errorf("%d orders in %d bytes, %v", len(orders), len(b), err)
	}
	// The rest follows with the answer to the next report, which lists what is left.
	r.Tick, r.Tasks = 10, r.Tasks[len(orders):]
	n.hear(m, r, true)
	if more := n.reconcile(m); len(more) == 0 {
		t.Error("nothing is due any more, though only a part was sent")
	}
}

// TestDamagedRecords: a record that claims more than it holds is refused before room
// is made for it.
func TestDamagedRecords(t *testing.T) {
	long, err := msgpack.Marshal(map[string]any{"t": []int{1}})
	if err != nil {
		t.Fatal(err)
	}
	// The list says that it has four thousand million elements.
	bad := append(slices.Clone(long[:3]), 0xdd, 0xff, 0xff, 0xff, 0xff)
	var r chunkRecord
	if decode(bad, &r) {
		t.Error("a damaged record is read")
	}
}
