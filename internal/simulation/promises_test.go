package simulation

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/vmihailenco/msgpack/v5"
)

// promiseValue is the value of the register of a promised date. The zero value means none.
type promiseValue struct {
	revision int
	after    time.Duration
}

// promiseModel is the linearizability model of a job's promised date as one register: the state service
// writes it, and every answer with a date reads it. An answer may have none.
var promiseModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			by[o.Input.(promiseOperation).job] = append(by[o.Input.(promiseOperation).job], o)
		}
		var out [][]porcupine.Operation
		for _, id := range sortedKeys(by) {
			out = append(out, by[id])
		}
		return out
	},
	Init: func() any { return promiseValue{} },
	Step: func(state, input, output any) (bool, any) {
		if x := input.(promiseOperation); x.write.revision > 0 {
			return true, x.write
		}
		return output.(promiseValue) == state.(promiseValue), state
	},
}

// promiseOperation is a write of a date, or a read if write is zero.
type promiseOperation struct {
	job   string
	write promiseValue
}

// promiseRecorder records the promised dates of a world: when they were stored, and when answered.
type promiseRecorder struct {
	world      *World
	history    []porcupine.Operation
	newest     map[string]promiseValue
	issuedAt   map[string]time.Time
	violations []string
	writes     map[string]int
	revised    int
}

func (d *promiseRecorder) since(t time.Time) int64 { return t.Sub(d.world.startedAt).Nanoseconds() }

func recordPromises(w *World) *promiseRecorder {
	d := &promiseRecorder{world: w, newest: map[string]promiseValue{}, issuedAt: map[string]time.Time{}, writes: map[string]int{}}
	w.state.onChange = d.onChange
	w.onAnswer = func(asked time.Time, r message.UserReply) {
		if r.PromiseRevision > 0 {
			d.history = append(d.history, porcupine.Operation{ClientId: len(d.history), Input: promiseOperation{job: r.ID}, Call: d.since(asked), Output: promiseValue{r.PromiseRevision, r.PromisedAfter}, Return: d.since(w.now)})
		}
	}
	return d
}

// onStored records that a date was stored. Revisions count up by one, at most once a minute.
func (d *promiseRecorder) onStored(id string, x promiseValue) {
	was := d.newest[id]
	switch {
	case x.revision < was.revision || x == was || x.revision == 0:
		return
	case x.revision == was.revision || x.revision > was.revision+1:
		d.violations = append(d.violations, fmt.Sprintf("%s: %v after %v", id, x, was))
	case was.revision > 0 && d.world.now.Sub(d.issuedAt[id]) < time.Minute:
		d.violations = append(d.violations, fmt.Sprintf("%s: %v only %v after %v", id, x, d.world.now.Sub(d.issuedAt[id]), was))
	}
	if x.revision > 1 {
		d.revised++
	}
	d.newest[id], d.issuedAt[id] = x, d.world.now
	at := d.since(d.world.now)
	d.history = append(d.history, porcupine.Operation{ClientId: len(d.history), Input: promiseOperation{id, x}, Call: at, Output: promiseValue{}, Return: at + 1})
}

func (d *promiseRecorder) onChange(it message.KeyValue) {
	d.writes[strings.SplitN(it.Key, "/", 2)[0]]++
	if it.Deleted {
		return
	}
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	switch {
	case strings.HasPrefix(it.Key, "open/~"):
		d.writes["page"]++
		es, err := promise.DecodePage(it.Value)
		if err != nil {
			d.violations = append(d.violations, err.Error())
		}
		for _, id := range sortedKeys(es) {
			d.onStored(id, promiseValue{es[id].Revision, es[id].After})
		}
	case strings.HasPrefix(it.Key, "open/"):
		var r struct {
			P int64 `msgpack:"p"`
		}
		if msgpack.Unmarshal(it.Value, &r) == nil && r.P > 0 {
			d.onStored(it.Key[len("open/"):], promiseValue{1, ms(r.P)})
		}
	case strings.HasPrefix(it.Key, "job/"):
		var r struct {
			P   int64 `msgpack:"p"`
			Rev int   `msgpack:"r"`
		}
		id := it.Key[len("job/"):]
		if msgpack.Unmarshal(it.Value, &r) == nil && r.Rev > 0 {
			if r.Rev < d.newest[id].revision {
				d.violations = append(d.violations, fmt.Sprintf("%s: got final revision %d after %v", id, r.Rev, d.newest[id]))
			}
			d.onStored(id, promiseValue{r.Rev, ms(r.P)})
		}
	}
}

// check returns all violations, with jobs whose dates are not linearizable.
func (d *promiseRecorder) check() []string {
	out := d.violations
	for _, part := range promiseModel.Partition(d.history) {
		if r := porcupine.CheckOperationsTimeout(promiseModel, part, 20*time.Second); r != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s: dates are not linearizable: %s", part[0].Input.(promiseOperation).job, r))
		}
	}
	return out
}

// queryAll queries every job at every controller each second, until a time.
func (d *promiseRecorder) queryAll(until time.Time) {
	w := d.world
	if w.now.After(until) {
		return
	}
	for _, id := range sortedKeys(w.jobs) {
		for _, p := range w.controllers {
			asked := w.now
			w.sendMessage("user", p.name, func() {
				p.request(func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} }, func(e message.Effect) {
					r := e.(message.UserReply)
					w.sendMessage(p.name, "user", func() {
						// A user waits for at most two seconds, as the protocol says.
						if w.now.Sub(asked) < 2*time.Second {
							w.onAnswer(asked, r)
						}
					})
				})
			})
		}
	}
	w.schedule(time.Second, func() { d.queryAll(until) })
}

// newPromiseWorld returns a world with promises.
func newPromiseWorld(seed uint64, n int) *World {
	types, capacity := testTypes()
	set := testSettings()
	set.Capabilities = controller.Capabilities{Promises: true, PromiseFraction: 0.95}
	return NewWorld(seed, n, set, testCancelWithin, types, capacity)
}

// TestPromisesRandomDays plays random days with promises, and queries all jobs at all controllers.
func TestPromisesRandomDays(t *testing.T) {
	for seed := range dayCount(t, 8, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newPromiseWorld(seed, 3+2*int(seed%2))
			if seed%3 == 1 {
				w.duplicateRate = 0.03
			}
			if seed%3 == 2 {
				w.lossRate, w.duplicateRate = 0.02, 0.02
			}
			w.trace = os.Getenv("MICAHILL_TRACE")
			d := recordPromises(w)
			w.schedule(20*time.Second, func() { d.queryAll(w.startedAt.Add(6 * time.Minute)) })
			randomDay(w, seed)
			reportViolations(t, append(w.Violations, d.check()...))
			d.checkTotals(t)
			t.Logf("%d answers, %d revised, writes %v", len(d.history), d.revised, d.writes)
			if t.Failed() || w.trace != "" {
				logTail(t, w.logs, len(w.logs))
			}
		})
	}
}

// writesPromisePage reports whether an effect writes a page of promised dates.
func writesPromisePage(e message.Effect) bool {
	op, ok := e.(message.StoreRequest)
	return ok && op.Kind == message.OpTxn && len(op.Writes) > 0 && strings.HasPrefix(op.Writes[0].Key, "open/~")
}

// describe queries all jobs at all controllers and prints how many have a date, whether all answers are
// alike, and what is wrong.
func (d *promiseRecorder) describe(revised bool) string {
	w := d.world
	last := map[string]promiseValue{}
	var out strings.Builder
	answered := w.onAnswer
	alike := true
	w.onAnswer = func(asked time.Time, r message.UserReply) {
		answered(asked, r)
		x := promiseValue{r.PromiseRevision, r.PromisedAfter}
		if was, there := last[r.ID]; r.Status == 200 && r.State != "cancelled" {
			alike = alike && (!there || was == x)
			last[r.ID] = x
		}
	}
	d.queryAll(w.now)
	w.Run(2500 * time.Millisecond)
	w.onAnswer = answered
	none := 0
	for _, id := range sortedKeys(last) {
		if last[id].revision == 0 {
			none++
		} else if last[id] != d.newest[id] {
			fmt.Fprintf(&out, "%s is told %v, %v is durable\n", id, last[id], d.newest[id])
		}
	}
	fmt.Fprintf(&out, "%d jobs, %d without a date, alike: %v", len(last), none, alike)
	if revised {
		fmt.Fprintf(&out, ", revised: %v", d.revised > 0)
	}
	fmt.Fprintln(&out)
	for _, x := range d.check() {
		fmt.Fprintln(&out, x)
	}
	return out.String()
}

// checkTotals checks the stored totals against the ended jobs.
func (d *promiseRecorder) checkTotals(t *testing.T) *promise.Totals {
	t.Helper()
	row := d.world.state.records["promise/totals"]
	if row == nil {
		t.Error("got no record promise/totals")
		return nil
	}
	x, err := promise.DecodeTotals(row.value)
	if err != nil {
		t.Fatal(err)
	}
	ended, made := 0, 0
	for _, id := range sortedKeys(d.world.state.records) {
		if strings.HasPrefix(id, "job/") {
			ended++
			if strings.HasPrefix(id, "job/") && d.world.jobs[id[4:]].lastState == "done" && d.newest[id[4:]].revision > 0 {
				made++
			}
		}
	}
	s := x.Sum()
	if s.Jobs != ended || s.Made != made || s.Kept+s.Broken != s.Made {
		t.Errorf("got totals %+v, want %d jobs, %d with a date", s, ended, made)
	}
	t.Logf("totals %+v, ratio %.2f, first %d", s, x.MedianRatio(), x.PromisedAtAccept)
	return x
}

// TestStalePromisesAreDetected checks that an answer with a job's first date after a later one was answered
// is detected.
func TestStalePromisesAreDetected(t *testing.T) {
	for _, corrupted := range []bool{false, true} {
		w := newPromiseWorld(3, 3)
		d := recordPromises(w)
		first := map[string]promiseValue{}
		w.corruptEffect = func(e message.Effect) message.Effect {
			r, ok := e.(message.UserReply)
			if !ok || r.PromiseRevision == 0 {
				return e
			}
			x, there := first[r.ID]
			if !there {
				x = promiseValue{r.PromiseRevision, r.PromisedAfter}
				first[r.ID] = x
			}
			if corrupted && w.rng.IntN(20) == 0 {
				r.PromiseRevision, r.PromisedAfter = x.revision, x.after
			}
			return r
		}
		for i := range 4 {
			w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 70 * time.Second}, 300*time.Second, false)
		}
		d.queryAll(w.startedAt.Add(5 * time.Minute))
		w.Run(8 * time.Minute)
		found := d.check()
		if d.revised == 0 || corrupted != (len(found) > 0) {
			t.Errorf("corrupted %v: got %d revised, violations %v, want some revised, and violations only if corrupted", corrupted, d.revised, found)
		}
	}
}

// TestPromiseWritesAreGuarded checks that each write of a page compares the shard record of its team and the
// page's own mod revision, that each of the totals compares the leader record and its own, and that an earlier
// one of these writes changes nothing if it is applied late. In the end the totals are exact.
func TestPromiseWritesAreGuarded(t *testing.T) {
	w := newPromiseWorld(6, 3)
	d := recordPromises(w)
	var writes []message.StoreRequest
	w.corruptEffect = func(e message.Effect) message.Effect {
		op, ok := e.(message.StoreRequest)
		if !ok || len(op.Writes) == 0 {
			return e
		}
		key := op.Writes[0].Key
		fence := ""
		switch {
		case strings.HasPrefix(key, "open/~"):
			fence = "ctl/share/"
		case key == "promise/totals":
			fence = "ctl/lead"
		default:
			return e
		}
		own, fenced := false, false
		for _, c := range op.Compares {
			own = own || c.Key == key
			fenced = fenced || strings.HasPrefix(c.Key, fence)
		}
		if !own || !fenced || len(op.Writes) > 1 {
			t.Errorf("write of %s: got compares %v, want its own key and %s", key, op.Compares, fence)
		}
		writes = append(writes, op)
		return e
	}
	for i := range 60 {
		w.schedule(time.Duration(i)*4*time.Second, func() {
			w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: []string{"batch", "rush"}[i%2], Team: []string{"ops", "lab"}[i/2%2], Urgency: model.Normal, Tasks: 1 + i%5,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 20 * time.Second}, time.Duration(10+i%7*20)*time.Second, false)
			if i%9 == 8 {
				w.schedule(30*time.Second, func() { w.Cancel(fmt.Sprintf("job-%03d", i)) })
			}
		})
	}
	w.Run(2 * time.Minute)
	w.CrashController(0, 3*time.Second)
	w.Run(2 * time.Minute)
	// The history is compacted, so controllers read everything again, and must count it once.
	w.state.compactedRevision, w.state.changes = w.state.revision, nil
	w.Run(6 * time.Minute)
	w.state.limits = nil
	for _, op := range writes {
		if op.Compares[len(op.Compares)-1].ModRevision == 0 {
			// This may create a removed page again, whose jobs have all ended.
			continue
		}
		w.state.Do(w.now, op, func(done message.StoreResponse) {
			if done.Status != message.StoreConflict {
				t.Errorf("late write of %s: got status %v, want a conflict", op.Writes[0].Key, done.Status)
			}
		})
	}
	w.Run(30 * time.Second)
	reportViolations(t, append(w.Violations, d.check()...))
	if d.checkTotals(t); len(writes) < 10 {
		t.Errorf("got %d writes, want at least 10", len(writes))
	}
	if d.writes["page"] > 60 || d.writes["promise"] > 80 {
		t.Errorf("got writes %v, want at most 60 of pages and 80 of promise records", d.writes)
	}
}

// TestPromisesSwitchedOnAndOff restarts the controllers with promises, without and with them again while
// jobs run. No answer and no job is lost, jobs submitted without get a date, and while promises are off
// no date is answered or written.
func TestPromisesSwitchedOnAndOff(t *testing.T) {
	w := newTestWorld(8)
	d := recordPromises(w)
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 200 * time.Second}, 200*time.Second, false)
		}
	}
	restartAll := func(on bool) {
		w.settings.Capabilities = controller.Capabilities{Promises: on, PromiseFraction: 0.95}
		for i := range w.controllers {
			w.CrashController(i, 500*time.Millisecond)
			w.Run(6 * time.Second)
		}
	}
	submit(0, 6)
	w.Run(30 * time.Second)
	if len(d.history) > 0 || d.writes["promise"] > 0 || d.writes["page"] > 0 {
		t.Fatalf("promises off: got %d dated answers and writes %v, want none", len(d.history), d.writes)
	}
	restartAll(true)
	submit(6, 10)
	w.Run(10 * time.Second)
	if len(d.newest) != 10 {
		t.Errorf("got %d jobs with a date, want 10", len(d.newest))
	}
	restartAll(false)
	answers := len(d.history)
	pages := d.writes["page"]
	w.Run(30 * time.Second)
	if len(d.history) > answers || d.writes["page"] > pages {
		t.Error("promises off: got dates answered or written, want none")
	}
	restartAll(true)
	w.Run(10 * time.Minute)
	reportViolations(t, append(w.Violations, d.check()...))
	for _, id := range sortedKeys(w.jobs) {
		if w.jobs[id].lastState != "done" || w.jobs[id].promiseRevision == 0 {
			t.Errorf("%s: got final state %q, date revision %d, want done with a date", id, w.jobs[id].lastState, w.jobs[id].promiseRevision)
		}
	}
	for k := range w.state.records {
		if strings.HasPrefix(k, "open/") {
			t.Errorf("got record %s left, want it removed", k)
		}
	}
}

// TestServicePromises checks that the date of a service is that by which all its replicas run. A known class
// gets one at once, and keeps it once some were seen.
func TestServicePromises(t *testing.T) {
	w := newPromiseWorld(9, 3)
	d := recordPromises(w)
	for i := range 6 {
		w.schedule(time.Duration(i)*40*time.Second, func() {
			w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "model", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: time.Hour}, time.Hour, false)
		})
	}
	w.Run(7 * time.Minute)
	reportViolations(t, append(w.Violations, d.check()...))
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		up := time.Duration(0)
		for _, at := range j.firstStarts {
			up = max(up, at.Sub(j.submitted))
		}
		if len(j.firstStarts) != 2 || j.promiseRevision == 0 || id > "job-002" && up > j.promised || id > "job-000" && !j.promisedAtFirst || j.promised > 5*time.Minute {
			t.Errorf("%s: got all replicas running after %v, promised %v, revision %d, promised at once %v", id, up, j.promised, j.promiseRevision, j.promisedAtFirst)
		}
	}
}
