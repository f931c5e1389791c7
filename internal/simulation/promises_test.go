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

// promiseValue is what a date's register holds: revision and date; the zero value is none.
type promiseValue struct {
	revision int
	after    time.Duration
}

// promiseModel is a job's date as one register: it is written by what the state service
// takes in, and read by every answer that tells a date. An answer may tell none.
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

type promiseOperation struct {
	job   string
	write promiseValue
}

// promiseRecorder records a day's dates: what became durable, and what was told when.
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
				d.violations = append(d.violations, fmt.Sprintf("%s ends with revision %d after %v", id, r.Rev, d.newest[id]))
			}
			d.onStored(id, promiseValue{r.Rev, ms(r.P)})
		}
	}
}

// check judges the register, and that the dates were made as they may be.
func (d *promiseRecorder) check() []string {
	out := d.violations
	for _, part := range promiseModel.Partition(d.history) {
		if r := porcupine.CheckOperationsTimeout(promiseModel, part, 20*time.Second); r != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s is no register: %s", part[0].Input.(promiseOperation).job, r))
		}
	}
	return out
}

// queryAll has every controller that lives asked about every job, each second.
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
						// Who asked has gone after the protocol's two seconds.
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

// newPromiseWorld is a world with promises, and n controllers.
func newPromiseWorld(seed uint64, n int) *World {
	types, room := testTypes()
	set := testSettings()
	set.Capabilities = controller.Capabilities{Promises: true, PromiseFraction: 0.95}
	return NewWorld(seed, n, set, testCancelWithin, types, room)
}

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
			t.Logf("%d answers, %d revised, changes %v", len(d.history), d.revised, d.writes)
			if t.Failed() || w.trace != "" {
				logTail(t, w.logs, len(w.logs))
			}
		})
	}
}

// writesPromisePage says that an effect writes a page of dates.
func writesPromisePage(e message.Effect) bool {
	op, ok := e.(message.StoreRequest)
	return ok && op.Kind == message.OpTxn && len(op.Writes) > 0 && strings.HasPrefix(op.Writes[0].Key, "open/~")
}

// describe asks all controllers about all jobs and says what is to be said of the dates: how
// many have one, whether all tell the same, and what is wrong.
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

// checkTotals checks the totals against what ended, and that every accepted job has a date.
func (d *promiseRecorder) checkTotals(t *testing.T) *promise.Totals {
	t.Helper()
	row := d.world.state.records["promise/totals"]
	if row == nil {
		t.Error("no totals")
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
		t.Errorf("totals say %+v: %d ended, %d with a date", s, ended, made)
	}
	t.Logf("totals %+v, ratio %.2f, first %d", s, x.MedianRatio(), x.PromisedAtAccept)
	return x
}

// TestStalePromisesAreNoticed: a controller that tells a job's first date after a later one was
// told is noticed, or the check is worth nothing.
func TestStalePromisesAreNoticed(t *testing.T) {
	for _, lies := range []bool{false, true} {
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
			if lies && w.rng.IntN(20) == 0 {
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
		wrong := d.check()
		if d.revised == 0 || lies != (len(wrong) > 0) {
			t.Errorf("lies: %v, revised %d, noticed: %v", lies, d.revised, wrong)
		}
	}
}

// TestPromiseWritesAreGuarded: each write of a page names its team's share and the page's own
// stamp, each of the totals the leader's record and its own stamp, and an earlier one of
// them that is carried out late changes nothing. In the end the totals are exact.
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
			t.Errorf("%s is written under %v", key, op.Compares)
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
	// The changes so far are not kept any more: all is read anew, and counted once.
	w.state.compactedRevision, w.state.changes = w.state.revision, nil
	w.Run(6 * time.Minute)
	w.state.limits = nil
	for _, op := range writes {
		if op.Compares[len(op.Compares)-1].ModRevision == 0 {
			// A page that has gone may come back so: all jobs in it are over.
			continue
		}
		w.state.Do(w.now, op, func(done message.StoreResponse) {
			if done.Status != message.StoreConflict {
				t.Errorf("a late write of %s is carried out", op.Writes[0].Key)
			}
		})
	}
	w.Run(30 * time.Second)
	reportViolations(t, append(w.Violations, d.check()...))
	if d.checkTotals(t); len(writes) < 10 {
		t.Errorf("only %d writes", len(writes))
	}
	if d.writes["page"] > 60 || d.writes["promise"] > 80 {
		t.Errorf("changes: %v", d.writes)
	}
}

// TestPromisesSwitchedOnAndOff: promises are switched on with jobs under way, off and on again, by
// starting the controllers anew. No answer and no job is lost, jobs that came without get
// a date, and while they are off nobody tells or writes one.
func TestPromisesSwitchedOnAndOff(t *testing.T) {
	w := newTestWorld(8)
	d := recordPromises(w)
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 200 * time.Second}, 200*time.Second, false)
		}
	}
	roll := func(on bool) {
		w.settings.Capabilities = controller.Capabilities{Promises: on, PromiseFraction: 0.95}
		for i := range w.controllers {
			w.CrashController(i, 500*time.Millisecond)
			w.Run(6 * time.Second)
		}
	}
	submit(0, 6)
	w.Run(30 * time.Second)
	if len(d.history) > 0 || d.writes["promise"] > 0 || d.writes["page"] > 0 {
		t.Fatalf("off, and yet %v", d.writes)
	}
	roll(true)
	submit(6, 10)
	w.Run(10 * time.Second)
	if len(d.newest) != 10 {
		t.Errorf("%d of 10 have a date", len(d.newest))
	}
	roll(false)
	off := len(d.history)
	pages := d.writes["page"]
	w.Run(30 * time.Second)
	if len(d.history) > off || d.writes["page"] > pages {
		t.Error("off, and yet dates are told or written")
	}
	roll(true)
	w.Run(10 * time.Minute)
	reportViolations(t, append(w.Violations, d.check()...))
	for _, id := range sortedKeys(w.jobs) {
		if w.jobs[id].lastState != "done" || w.jobs[id].promiseRevision == 0 {
			t.Errorf("%s is %s, revision %d", id, w.jobs[id].lastState, w.jobs[id].promiseRevision)
		}
	}
	for k := range w.state.records {
		if strings.HasPrefix(k, "open/") {
			t.Errorf("%s is left", k)
		}
	}
}

// TestServicePromises: a standing job's date is that by which all its replicas are up.
// Those of a class that is known are told at once, and are kept when some were seen.
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
			t.Errorf("%s: up after %v, promised %v, revision %d, at once: %v", id, up, j.promised, j.promiseRevision, j.promisedAtFirst)
		}
	}
}
