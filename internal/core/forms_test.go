package core

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

	"github.com/micahill/micahill/internal/bounds"
)

// stored is a record as the version in production wrote it, under values of 4 KiB.
type stored struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Size  int    `json:"size"`
}

// productionRecords are records that commit 0a0f15a has written, by their keys.
func productionRecords(t *testing.T) map[string][]byte {
	t.Helper()
	b, err := os.ReadFile("testdata/forms/production.json")
	var all []stored
	if err != nil || json.Unmarshal(b, &all) != nil {
		t.Fatal("no fixtures", err)
	}
	out := map[string][]byte{}
	for _, x := range all {
		out[x.Key] = x.Value
	}
	return out
}

// taskState is what records say of a task.
type taskState struct {
	try     uint64
	machine string
	done    bool
}

// oldRestore reads the records of a job's tasks as commit 0a0f15a does: by the number of
// the record under values of 4 KiB, whatever is named otherwise dropped.
func oldRestore(id string, tasks int, rows map[string][]byte) (map[int]taskState, int) {
	const per = 4096 * 3 / 4 / 72
	out, dropped := map[int]taskState{}, 0
	for key, value := range rows {
		name, is := strings.CutPrefix(key, taskPrefix+id+"/")
		if !is {
			continue
		}
		var r chunkRecord
		if k, err := strconv.Atoi(name); err != nil || k*per >= tasks || !decode(value, &r) {
			dropped++
			continue
		}
		for i := 0; i+1 < len(r.Runs); i += 2 {
			for x := r.Runs[i]; x <= r.Runs[i+1]; x++ {
				out[x] = taskState{done: true}
			}
		}
		for _, row := range r.Rows {
			s := taskState{try: row.Try}
			if row.Machine != "" {
				s.machine = r.Prefix + row.Machine
			}
			out[row.Index] = s
		}
	}
	return out, dropped
}

const formsJob = "job-000001"

// formsNode is a controller of this version that knows of the lower limit to come.
func formsNode() *Node {
	n := largePool(60)
	n.set.ValueBytes, n.set.PresentValueBytes = 2048, 4096
	n.sess.forms = map[string]bool{}
	n.owner.jobs = map[string]*job{}
	for _, m := range n.owner.byID {
		m.attempts = map[taskKey]*task{}
	}
	return n
}

// takeOver restores the job as a successor does.
func takeOver(n *Node, rows map[string][]byte) *job {
	var its []Item
	for _, key := range sortedKeys(rows) {
		if strings.HasPrefix(key, taskPrefix+formsJob+"/") {
			its = append(its, Item{Key: key, Value: rows[key], Stamp: 7})
		}
	}
	for _, it := range its {
		if f, _, ok := n.formOf(it.Key); ok {
			learnForm(n, f)
		}
	}
	j := n.newJob(Spec{ID: formsJob, Workload: "w", Team: "ops", Tasks: 100, Need: Resources{CPU: 0.1, Memory: 0.1}}, n.now, 1)
	slices.SortStableFunc(its, n.byForm)
	for _, it := range its {
		var r chunkRecord
		if decode(it.Value, &r) {
			n.restore(j, it, &r)
		}
	}
	n.settleRestored(j)
	return j
}

func stateOf(j *job, i int) taskState {
	t := &j.tasks[i]
	s := taskState{try: t.try, done: t.done}
	if t.m != nil {
		s.machine = t.m.id
	}
	if s.done {
		s.try = 0
	}
	return s
}

func statesOf(j *job) map[int]taskState {
	out := map[int]taskState{}
	for i := range j.tasks {
		if s := stateOf(j, i); s != (taskState{}) {
			out[i] = s
		}
	}
	return out
}

func sameStates(t *testing.T, what string, got, want map[int]taskState) {
	t.Helper()
	for i := range 100 {
		if got[i] != want[i] {
			t.Fatalf("%s: task %d is %+v, want %+v", what, i, got[i], want[i])
		}
	}
}

// change has something become of a task, as a start, an end or a loss does.
func change(n *Node, j *job, i int, rng *rand.Rand) {
	t := &j.tasks[i]
	switch {
	case t.done:
		return
	case t.m == nil:
		t.try++
		j.fresh = max(j.fresh, i+1)
		n.attach(j, i, n.owner.byID[rng.IntN(len(n.owner.byID))])
		j.touch(i, n.now, true)
	default:
		n.gone(j, i, rng.IntN(2) == 0)
	}
}

// writeChunk is one write of a chunk.
func writeChunk(t *testing.T, n *Node, j *job, c *chunk, rows map[string][]byte) (string, []byte) {
	t.Helper()
	key, value := j.chunkKey(c), encode(j.record(c))
	op := StateOp{Kind: OpTxn, Apply: []Change{{Key: key, Value: value}}}
	if err := n.boundsOf(&op).Txn(nil, []bounds.Change{{Key: key, Value: value}}); err != nil {
		t.Fatal(err)
	}
	if rows != nil {
		rows[key] = value
		c.stamp, c.saved = 8, c.ver
	}
	return key, value
}

// TestOldReadsNew: before all controllers are known to know parts, a process of the
// version in production finds all that this version wrote, as that may run twice else.
func TestOldReadsNew(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		rows := productionRecords(t)
		want, _ := oldRestore(formsJob, 100, rows)
		n := formsNode()
		j := takeOver(n, rows)
		sameStates(t, "new of old", statesOf(j), want)
		for range 60 {
			change(n, j, rng.IntN(100), rng)
		}
		for _, k := range sortedKeys(j.chunks) {
			writeChunk(t, n, j, j.chunks[k], rows)
		}
		got, dropped := oldRestore(formsJob, 100, rows)
		if sameStates(t, "old of new", got, statesOf(j)); dropped > 0 {
			t.Fatalf("%d records are dropped", dropped)
		}
	}
}

// TestPartsAfterAnySteps: all come to parts at some moment between changes, a write in
// the old form may have no answer and be carried out at any time later, and successors
// take over anywhere: what was made durable last counts for every task, all that is
// written fits the lower limit, and no record of the old form is written again.
func TestPartsAfterAnySteps(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		rows := productionRecords(t)
		n := formsNode()
		j := takeOver(n, rows)
		parts := false
		lateKey, lateValue, lateStates := "", []byte(nil), map[int]taskState(nil)
		durable := statesOf(j)
		byPart := map[int]bool{}
		for step := range 60 {
			switch x := rng.IntN(12); {
			case x == 0 && step > 5 && !parts:
				parts = true
				if c := j.chunks[rng.IntN(3)]; c != nil {
					lateKey, lateValue = writeChunk(t, n, j, c, nil)
					c.busy = true
					lateStates = map[int]taskState{}
					for i := c.n * j.per; i < min((c.n+1)*j.per, 100); i++ {
						lateStates[i] = stateOf(j, i)
					}
				}
				learnForm(n, taskForm{chunkTasks(2048), true})
			case x == 1 && lateKey != "":
				rows[lateKey], lateKey = lateValue, ""
				for i, s := range lateStates {
					if !byPart[i] {
						durable[i] = s
					}
				}
			case x == 2:
				if parts && lateKey != "" {
					// A successor's share has another stamp: what is late comes to nothing.
					lateKey = ""
				}
				n = formsNode()
				if parts {
					learnForm(n, taskForm{chunkTasks(2048), true})
				}
				j = takeOver(n, rows)
				sameStates(t, fmt.Sprint("seed ", seed, " step ", step), statesOf(j), durable)
			case x < 6:
				ks := sortedKeys(j.chunks)
				c := j.chunks[ks[rng.IntN(len(ks))]]
				if c.ver == c.saved {
					continue
				}
				key, value := writeChunk(t, n, j, c, rows)
				if size, err := bounds.JSON(value); parts && (err != nil || size > 2048) || parts != strings.Contains(key, "/"+partMark) {
					t.Fatalf("seed %d: %s of %d bytes, parts %v", seed, key, size, parts)
				}
				for i := c.n * j.per; i < min((c.n+1)*j.per, 100); i++ {
					durable[i] = stateOf(j, i)
					byPart[i] = parts
				}
			default:
				change(n, j, rng.IntN(100), rng)
			}
			for i := range 100 {
				if j.tasks[i].ver > 0 && j.durable(i) && stateOf(j, i) != durable[i] {
					t.Fatalf("seed %d step %d: task %d counts as durable as %+v, and %+v is", seed, step, i, stateOf(j, i), durable[i])
				}
			}
		}
		// Its end removes whatever stands there.
		left := slices.Clone(j.former)
		for _, c := range j.chunks {
			if c.stamp != 0 {
				left = append(left, j.chunkKey(c))
			}
		}
		for key := range rows {
			if strings.HasPrefix(key, taskPrefix) && !slices.Contains(left, key) {
				t.Fatalf("seed %d: %s stays when the job is over", seed, key)
			}
		}
	}
}

// formWrites runs what a controller does about forms and returns its writes.
func formWrites(n *Node) []StateOp {
	n.out, n.sess.forming = nil, false
	n.sess.loaded, n.sess.grant = true, 1
	formCheck(n)
	var out []StateOp
	for _, e := range n.out {
		if op, ok := e.(StateOp); ok {
			out = append(out, op)
		}
	}
	return out
}

// TestFormNeedsAll: records become parts only when each controller of the deployment has
// said that it knows them, by a write of the leader's that names its term; without a
// lower limit to come nothing is written at all.
func TestFormNeedsAll(t *testing.T) {
	n := formsNode()
	n.set.Peers = []string{"b", "c"}
	if ops := formWrites(n); len(ops) != 1 || ops[0].Apply[0].Key != formPrefix+"a" || ops[0].When[0] != (Cond{formPrefix + "a", 0}) {
		t.Fatalf("the first write is %+v", ops)
	}
	formItem(n, Item{Key: formPrefix + "a", Stamp: 3})
	formItem(n, Item{Key: formPrefix + "b", Stamp: 4})
	n.leader = &leader{stamp: 9}
	if ops := formWrites(n); len(ops) > 0 {
		t.Fatalf("written while c may come back: %+v", ops)
	}
	formItem(n, Item{Key: formPrefix + "c", Stamp: 5})
	n.leader = nil
	if ops := formWrites(n); len(ops) > 0 {
		t.Fatalf("written by none that leads: %+v", ops)
	}
	n.leader = &leader{stamp: 9}
	ops := formWrites(n)
	if len(ops) != 1 || ops[0].Apply[0].Key != formKey || !slices.Contains(ops[0].When, Cond{leadKey, 9}) || !slices.Contains(ops[0].When, Cond{formKey, 0}) {
		t.Fatalf("%+v", ops)
	}
	if n.taskForm().part {
		t.Fatal("parts count before they were read to")
	}
	formItem(n, Item{Key: formKey, Value: ops[0].Apply[0].Value, Stamp: 6})
	if f := n.taskForm(); f != (taskForm{chunkTasks(2048), true}) {
		t.Fatalf("the form is %+v", f)
	}
	if ops := formWrites(n); len(ops) > 0 {
		t.Fatalf("written again: %+v", ops)
	}
	same := formsNode()
	same.set.PresentValueBytes = 2048
	if ops := formWrites(same); len(ops) > 0 {
		t.Fatalf("written without need: %+v", ops)
	}
}

// TestLendAcrossForms: a loan that is written late must not find its job started in
// another form of records than the one that counted when it was sent.
func TestLendAcrossForms(t *testing.T) {
	n := formsNode()
	conds := n.firstRecords(formsJob)
	j := n.newJob(Spec{ID: formsJob, Team: "ops", Tasks: 100}, n.now, 1)
	before := j.chunkKey(j.chunkOf(0))
	learnForm(n, taskForm{chunkTasks(2048), true})
	after := j.chunkKey(j.chunkOf(0))
	for _, key := range []string{before, after} {
		if !slices.Contains(conds, Cond{key, 0}) {
			t.Errorf("%v do not name %s", conds, key)
		}
	}
	same := formsNode()
	same.set.PresentValueBytes = 0
	if conds := same.firstRecords(formsJob); len(conds) != 1 {
		t.Errorf("without a limit to come: %v", conds)
	}
}

// TestShortCancelledRecord: a job whose description was written under a larger limit can
// be cancelled under the lower one.
func TestShortCancelledRecord(t *testing.T) {
	s := Spec{ID: formsJob, Team: "ops", Workload: "w", Tasks: 7, Need: Resources{CPU: 2}, Image: "img", Expected: time.Second}
	for i := range 80 {
		s.Flavours = append(s.Flavours, fmt.Sprintf("a-flavour-with-a-long-name-%03d", i))
	}
	r := s.record(time.Unix(1_750_000_000, 0))
	small := r
	small.Flavours = s.Flavours[:3]
	r.Cancelled, small.Cancelled = true, true
	r.shorten(2048)
	if size, err := bounds.JSON(encode(r)); err != nil || size > 2048 || r.Team != "ops" || r.Tasks != 7 || r.CPU != 2 || r.bad() != "" {
		t.Errorf("%d bytes, %+v", size, r)
	}
	if small.shorten(2048); len(small.Flavours) != 3 || small.Image != "img" {
		t.Error("one that fits is shortened")
	}
}

// TestLimitIsProbed: a record that is called malformed shows nothing of the limits, which
// a text between them does: only that has the form change without all having said that
// they know parts, and by a write that names the owner's share.
func TestLimitIsProbed(t *testing.T) {
	for _, status := range []StateStatus{StateOK, StateUnknown, StateBad} {
		n := formsNode()
		n.set.Peers = []string{"b"}
		formItem(n, Item{Key: formPrefix + "a", Stamp: 3})
		n.sess.loaded, n.sess.grant = true, 1
		j := takeOver(n, productionRecords(t))
		n.out = nil
		n.badRecord(j, j.chunks[0], 1)
		var probe StateOp
		for _, e := range n.out {
			if op, ok := e.(StateOp); ok && op.Apply[0].Key == probeKey {
				probe = op
			}
		}
		if size, err := bounds.JSON(probe.Apply[0].Value); err != nil || size <= 2048 || size > 4096 {
			t.Fatalf("the probe has %d bytes, %v", size, err)
		}
		n.state[probe.ID](StateDone{ID: probe.ID, Status: status})
		ops := formWrites(n)
		if changed := len(ops) > 0 && ops[0].Apply[0].Key == formKey; changed != (status == StateBad) {
			t.Errorf("answered %v: %+v", status, ops)
		} else if changed && ops[0].When[0] != n.shareConds("")[0] {
			t.Errorf("it does not name the share: %+v", ops[0].When)
		}
	}
}
