package standin

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/promise"
	"github.com/vmihailenco/msgpack/v5"
)

// told is what a date's register holds: revision and date; the zero value is none.
type told struct {
	rev   int
	after time.Duration
}

// register is a job's date as one register: it is written by what the state service
// takes in, and read by every answer that tells a date. An answer may tell none.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			by[o.Input.(dateOp).job] = append(by[o.Input.(dateOp).job], o)
		}
		var out [][]porcupine.Operation
		for _, id := range sorted(by) {
			out = append(out, by[id])
		}
		return out
	},
	Init: func() any { return told{} },
	Step: func(state, input, output any) (bool, any) {
		if x := input.(dateOp); x.write.rev > 0 {
			return true, x.write
		}
		return output.(told) == state.(told), state
	},
}

type dateOp struct {
	job   string
	write told
}

// dates records a day's dates: what became durable, and what was told when.
type dates struct {
	w       *World
	history []porcupine.Operation
	newest  map[string]told
	made    map[string]time.Time
	wrong   []string
	changes map[string]int
	revised int
}

func (d *dates) since(t time.Time) int64 { return t.Sub(d.w.began).Nanoseconds() }

func watchDates(w *World) *dates {
	d := &dates{w: w, newest: map[string]told{}, made: map[string]time.Time{}, changes: map[string]int{}}
	w.state.noted = d.noted
	w.answered = func(asked time.Time, r core.UserReply) {
		if r.PromiseRevision > 0 {
			d.history = append(d.history, porcupine.Operation{ClientId: len(d.history), Input: dateOp{job: r.ID}, Call: d.since(asked), Output: told{r.PromiseRevision, r.PromisedAfter}, Return: d.since(w.now)})
		}
	}
	return d
}

func (d *dates) commit(id string, x told) {
	was := d.newest[id]
	switch {
	case x.rev < was.rev || x == was || x.rev == 0:
		return
	case x.rev == was.rev || x.rev > was.rev+1:
		d.wrong = append(d.wrong, fmt.Sprintf("%s: %v after %v", id, x, was))
	case was.rev > 0 && d.w.now.Sub(d.made[id]) < time.Minute:
		d.wrong = append(d.wrong, fmt.Sprintf("%s: %v only %v after %v", id, x, d.w.now.Sub(d.made[id]), was))
	}
	if x.rev > 1 {
		d.revised++
	}
	d.newest[id], d.made[id] = x, d.w.now
	at := d.since(d.w.now)
	d.history = append(d.history, porcupine.Operation{ClientId: len(d.history), Input: dateOp{id, x}, Call: at, Output: told{}, Return: at + 1})
}

func (d *dates) noted(it core.KeyValue) {
	d.changes[strings.SplitN(it.Key, "/", 2)[0]]++
	if it.Deleted {
		return
	}
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	switch {
	case strings.HasPrefix(it.Key, "open/~"):
		d.changes["page"]++
		es, err := promise.DecodePage(it.Value)
		if err != nil {
			d.wrong = append(d.wrong, err.Error())
		}
		for _, id := range sorted(es) {
			d.commit(id, told{es[id].Revision, es[id].After})
		}
	case strings.HasPrefix(it.Key, "open/"):
		var r struct {
			P int64 `msgpack:"p"`
		}
		if msgpack.Unmarshal(it.Value, &r) == nil && r.P > 0 {
			d.commit(it.Key[len("open/"):], told{1, ms(r.P)})
		}
	case strings.HasPrefix(it.Key, "job/"):
		var r struct {
			P   int64 `msgpack:"p"`
			Rev int   `msgpack:"r"`
		}
		id := it.Key[len("job/"):]
		if msgpack.Unmarshal(it.Value, &r) == nil && r.Rev > 0 {
			if r.Rev < d.newest[id].rev {
				d.wrong = append(d.wrong, fmt.Sprintf("%s ends with revision %d after %v", id, r.Rev, d.newest[id]))
			}
			d.commit(id, told{r.Rev, ms(r.P)})
		}
	}
}

// check judges the register, and that the dates were made as they may be.
func (d *dates) check() []string {
	out := d.wrong
	for _, part := range register.Partition(d.history) {
		if r := porcupine.CheckOperationsTimeout(register, part, 20*time.Second); r != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s is no register: %s", part[0].Input.(dateOp).job, r))
		}
	}
	return out
}

// askAll has every controller that lives asked about every job, each second.
func (d *dates) askAll(until time.Time) {
	w := d.w
	if w.now.After(until) {
		return
	}
	for _, id := range sorted(w.jobs) {
		for _, p := range w.nodes {
			asked := w.now
			w.sendMsg("user", p.name, func() {
				p.ask(func(r uint64) core.Command { return core.QueryJob{Reply: r, ID: id} }, func(e core.Effect) {
					r := e.(core.UserReply)
					w.sendMsg(p.name, "user", func() {
						// Who asked has gone after the protocol's two seconds.
						if w.now.Sub(asked) < 2*time.Second {
							w.answered(asked, r)
						}
					})
				})
			})
		}
	}
	w.after(time.Second, func() { d.askAll(until) })
}

// datesWorld is a world with promises, and n controllers.
func datesWorld(seed uint64, n int) *World {
	types, room := testTypes()
	set := testSettings()
	set.Capabilities = core.Capabilities{Promises: true, PromiseFraction: 0.95}
	return NewWorld(seed, n, set, testCancel, types, room)
}

func TestDatesRandomDays(t *testing.T) {
	for seed := range drawnDays(t, 8, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := datesWorld(seed, 3+2*int(seed%2))
			if seed%3 == 1 {
				w.twice = 0.03
			}
			if seed%3 == 2 {
				w.loss, w.twice = 0.02, 0.02
			}
			w.trace = os.Getenv("MICAHILL_TRACE")
			d := watchDates(w)
			w.after(20*time.Second, func() { d.askAll(w.began.Add(6 * time.Minute)) })
			randomDay(w, seed)
			for _, b := range append(w.Broken, d.check()...) {
				t.Error(b)
			}
			d.totals(t)
			t.Logf("%d answers, %d revised, changes %v", len(d.history), d.revised, d.changes)
			if t.Failed() || w.trace != "" {
				t.Log(strings.Join(w.logs, "\n"))
			}
		})
	}
}

// isPage says that an effect writes a page of dates.
func isPage(e core.Effect) bool {
	op, ok := e.(core.StoreRequest)
	return ok && op.Kind == core.OpTxn && len(op.Writes) > 0 && strings.HasPrefix(op.Writes[0].Key, "open/~")
}

// tell asks all controllers about all jobs and says what is to be said of the dates: how
// many have one, whether all tell the same, and what is wrong.
func (d *dates) tell(revised bool) string {
	w := d.w
	last := map[string]told{}
	var out strings.Builder
	answered := w.answered
	alike := true
	w.answered = func(asked time.Time, r core.UserReply) {
		answered(asked, r)
		x := told{r.PromiseRevision, r.PromisedAfter}
		if was, there := last[r.ID]; r.Status == 200 && r.State != "cancelled" {
			alike = alike && (!there || was == x)
			last[r.ID] = x
		}
	}
	d.askAll(w.now)
	w.Run(2500 * time.Millisecond)
	w.answered = answered
	none := 0
	for _, id := range sorted(last) {
		if last[id].rev == 0 {
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

// totals checks the totals against what ended, and that every accepted job has a date.
func (d *dates) totals(t *testing.T) *promise.Totals {
	t.Helper()
	row := d.w.state.rows["promise/totals"]
	if row == nil {
		t.Error("no totals")
		return nil
	}
	x, err := promise.DecodeTotals(row.value)
	if err != nil {
		t.Fatal(err)
	}
	ended, made := 0, 0
	for _, id := range sorted(d.w.state.rows) {
		if strings.HasPrefix(id, "job/") {
			ended++
			if strings.HasPrefix(id, "job/") && d.w.jobs[id[4:]].told == "done" && d.newest[id[4:]].rev > 0 {
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

// TestOldDatesAreNoticed: a controller that tells a job's first date after a later one was
// told is noticed, or the check is worth nothing.
func TestOldDatesAreNoticed(t *testing.T) {
	for _, lies := range []bool{false, true} {
		w := datesWorld(3, 3)
		d := watchDates(w)
		first := map[string]told{}
		w.sabotage = func(e core.Effect) core.Effect {
			r, ok := e.(core.UserReply)
			if !ok || r.PromiseRevision == 0 {
				return e
			}
			x, there := first[r.ID]
			if !there {
				x = told{r.PromiseRevision, r.PromisedAfter}
				first[r.ID] = x
			}
			if lies && w.rng.IntN(20) == 0 {
				r.PromiseRevision, r.PromisedAfter = x.rev, x.after
			}
			return r
		}
		for i := range 4 {
			w.Submit(core.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "batch", Team: "ops", Urgency: core.Normal, Tasks: 2,
				Need: core.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 70 * time.Second}, 300*time.Second, false)
		}
		d.askAll(w.began.Add(5 * time.Minute))
		w.Run(8 * time.Minute)
		wrong := d.check()
		if d.revised == 0 || lies != (len(wrong) > 0) {
			t.Errorf("lies: %v, revised %d, noticed: %v", lies, d.revised, wrong)
		}
	}
}

// TestDatesAreGuarded: each write of a page names its team's share and the page's own
// stamp, each of the totals the leader's record and its own stamp, and an earlier one of
// them that is carried out late changes nothing. In the end the totals are exact.
func TestDatesAreGuarded(t *testing.T) {
	w := datesWorld(6, 3)
	d := watchDates(w)
	var writes []core.StoreRequest
	w.sabotage = func(e core.Effect) core.Effect {
		op, ok := e.(core.StoreRequest)
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
		w.after(time.Duration(i)*4*time.Second, func() {
			w.Submit(core.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: []string{"batch", "rush"}[i%2], Team: []string{"ops", "lab"}[i/2%2], Urgency: core.Normal, Tasks: 1 + i%5,
				Need: core.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 20 * time.Second}, time.Duration(10+i%7*20)*time.Second, false)
			if i%9 == 8 {
				w.after(30*time.Second, func() { w.Abort(fmt.Sprintf("job-%03d", i)) })
			}
		})
	}
	w.Run(2 * time.Minute)
	w.Crash(0, 3*time.Second)
	w.Run(2 * time.Minute)
	// The changes so far are not kept any more: all is read anew, and counted once.
	w.state.lost, w.state.news = w.state.rev, nil
	w.Run(6 * time.Minute)
	w.state.limits = nil
	for _, op := range writes {
		if op.Compares[len(op.Compares)-1].ModRevision == 0 {
			// A page that has gone may come back so: all jobs in it are over.
			continue
		}
		w.state.Do(w.now, op, func(done core.StoreResponse) {
			if done.Status != core.StoreConflict {
				t.Errorf("a late write of %s is carried out", op.Writes[0].Key)
			}
		})
	}
	w.Run(30 * time.Second)
	for _, x := range append(w.Broken, d.check()...) {
		t.Error(x)
	}
	if d.totals(t); len(writes) < 10 {
		t.Errorf("only %d writes", len(writes))
	}
	if d.changes["page"] > 60 || d.changes["promise"] > 80 {
		t.Errorf("changes: %v", d.changes)
	}
}

// TestDatesComeAndGo: promises are switched on with jobs under way, off and on again, by
// starting the controllers anew. No answer and no job is lost, jobs that came without get
// a date, and while they are off nobody tells or writes one.
func TestDatesComeAndGo(t *testing.T) {
	w := newTestWorld(8)
	d := watchDates(w)
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			w.Submit(core.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "batch", Team: "ops", Urgency: core.Normal, Tasks: 2,
				Need: core.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 200 * time.Second}, 200*time.Second, false)
		}
	}
	roll := func(on bool) {
		w.set.Capabilities = core.Capabilities{Promises: on, PromiseFraction: 0.95}
		for i := range w.nodes {
			w.Crash(i, 500*time.Millisecond)
			w.Run(6 * time.Second)
		}
	}
	submit(0, 6)
	w.Run(30 * time.Second)
	if len(d.history) > 0 || d.changes["promise"] > 0 || d.changes["page"] > 0 {
		t.Fatalf("off, and yet %v", d.changes)
	}
	roll(true)
	submit(6, 10)
	w.Run(10 * time.Second)
	if len(d.newest) != 10 {
		t.Errorf("%d of 10 have a date", len(d.newest))
	}
	roll(false)
	off := len(d.history)
	pages := d.changes["page"]
	w.Run(30 * time.Second)
	if len(d.history) > off || d.changes["page"] > pages {
		t.Error("off, and yet dates are told or written")
	}
	roll(true)
	w.Run(10 * time.Minute)
	for _, x := range append(w.Broken, d.check()...) {
		t.Error(x)
	}
	for _, id := range sorted(w.jobs) {
		if w.jobs[id].told != "done" || w.jobs[id].rev == 0 {
			t.Errorf("%s is %s, revision %d", id, w.jobs[id].told, w.jobs[id].rev)
		}
	}
	for k := range w.state.rows {
		if strings.HasPrefix(k, "open/") {
			t.Errorf("%s is left", k)
		}
	}
}

// TestStandingDates: a standing job's date is that by which all its replicas are up.
// Those of a class that is known are told at once, and are kept when some were seen.
func TestStandingDates(t *testing.T) {
	w := datesWorld(9, 3)
	d := watchDates(w)
	for i := range 6 {
		w.after(time.Duration(i)*40*time.Second, func() {
			w.Submit(core.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "model", Team: "ops", LongRunning: true, Urgency: core.Normal, Tasks: 2,
				Need: core.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: time.Hour}, time.Hour, false)
		})
	}
	w.Run(7 * time.Minute)
	for _, x := range append(w.Broken, d.check()...) {
		t.Error(x)
	}
	for _, id := range sorted(w.jobs) {
		j := w.jobs[id]
		up := time.Duration(0)
		for _, at := range j.began {
			up = max(up, at.Sub(j.submitted))
		}
		if len(j.began) != 2 || j.rev == 0 || id > "job-002" && up > j.promised || id > "job-000" && !j.firstDate || j.promised > 5*time.Minute {
			t.Errorf("%s: up after %v, promised %v, revision %d, at once: %v", id, up, j.promised, j.rev, j.firstDate)
		}
	}
}
