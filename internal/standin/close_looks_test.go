package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/core"
	"github.com/vmihailenco/msgpack/v5"
)

// fate is what a job's register holds: what users may be told of it.
type fate string

const (
	unknown   fate = ""
	accepted  fate = "accepted"
	done      fate = "done"
	cancelled fate = "cancelled"
)

// lookKind is what is done with a register. An end is the controllers' own: it is there
// when the state service has taken it in.
type lookKind string

const (
	lookSubmit lookKind = "submit"
	lookPoll   lookKind = "poll"
	lookAbort  lookKind = "abort"
	lookEnd    lookKind = "end"
)

type lookOp struct {
	job  string
	kind lookKind
}

// lookSaid is an answer; the zero value is none: the request may be carried out at any
// later time, or never.
type lookSaid struct {
	status int
	fate   fate
}

// oneJob is a job as one register. A request without an answer, or that was refused for
// now, is one that ends at the end of time: there it changes nothing that anybody sees.
var oneJob = porcupine.Model{
	Init: func() any { return unknown },
	Step: func(state, input, output any) (bool, any) {
		was, op, said := state.(fate), input.(lookOp), output.(lookSaid)
		next := was
		switch {
		case op.kind == lookSubmit && was == unknown:
			next = accepted
		case op.kind == lookAbort && was == accepted:
			next = cancelled
		case op.kind == lookEnd:
			return was == accepted, done
		}
		switch {
		case said.status == 0:
			return true, next
		case said.status == 404:
			return op.kind != lookSubmit && was == unknown, was
		case said.status == 201:
			return op.kind == lookSubmit && was == unknown && said.fate == accepted, next
		}
		return said.status == 200 && said.fate == next && was != unknown, next
	},
}

// closeLooks are users who ask all controllers within milliseconds, and repeat what they
// have submitted, whenever they hear something new, or something new has become true.
type closeLooks struct {
	w       *World
	rng     *rand.Rand
	history map[string][]porcupine.Operation
	heard   map[string]fate
	// cancels are the jobs that are cancelled, and when: on that news.
	cancels map[string]fate
	wrong   []string
	// left is the newest that a life of a controller has said of a job.
	left map[string]fate
	// looks counts bursts by what they followed, and unsaid requests without an answer.
	looks  map[fate]int
	unsaid map[lookKind]int
	*lostAnswers
}

// lookPauses are when users ask after news.
var lookPauses = []time.Duration{0, 1, 2, 5, 20, 60, 150, 310}

func newCloseLooks(w *World, seed uint64) *closeLooks {
	c := &closeLooks{w: w, rng: rand.New(rand.NewPCG(seed, 37)), history: map[string][]porcupine.Operation{}, heard: map[string]fate{}, cancels: map[string]fate{}, left: map[string]fate{},
		looks: map[fate]int{}, unsaid: map[lookKind]int{}}
	w.state.noted = c.noted
	c.lostAnswers = loseAnswers(w, seed, 0)
	return c
}

// noted is told of each change, before anybody hears of it.
func (c *closeLooks) noted(it core.KeyValue) {
	id, over := strings.CutPrefix(it.Key, "job/")
	var r struct {
		Status fate `msgpack:"s"`
	}
	if !over || it.Deleted || msgpack.Unmarshal(it.Value, &r) != nil {
		return
	}
	if at := c.now(); r.Status == done {
		c.add(porcupine.Operation{Input: lookOp{id, lookEnd}, Call: at, Output: lookSaid{}, Return: at + 1})
	}
	// Those who look just now.
	c.burst(id, r.Status)
}

func (c *closeLooks) now() int64 { return c.w.now.Sub(c.w.began).Nanoseconds() }

func (c *closeLooks) add(o porcupine.Operation) {
	id := o.Input.(lookOp).job
	o.ClientId = len(c.history[id])
	c.history[id] = append(c.history[id], o)
}

// ask sends one request to one controller.
func (c *closeLooks) ask(to int, kind lookKind, id string) {
	w, asked, over := c.w, c.now(), false
	patience := 5 * time.Second
	mk := func(r uint64) core.Command { return core.SubmitJob{Reply: r, Spec: w.jobs[id].spec} }
	switch kind {
	case lookPoll:
		patience = 2 * time.Second
		mk = func(r uint64) core.Command { return core.QueryJob{Reply: r, ID: id} }
	case lookAbort:
		w.jobs[id].aborting = true
		mk = func(r uint64) core.Command { return core.CancelJob{Reply: r, ID: id} }
	}
	finish := func(r core.UserReply) {
		if over {
			return
		}
		over = true
		if !definite(r) {
			c.unanswered(lookOp{id, kind}, asked, r)
			return
		}
		said := lookSaid{r.Status, fateOf(r)}
		c.add(porcupine.Operation{Input: lookOp{id, kind}, Call: asked, Output: said, Return: c.now()})
		c.hears(id, said.fate)
	}
	w.after(patience, func() { finish(core.UserReply{}) })
	p := w.nodes[to]
	w.sendMsg("user", p.name, func() {
		p.ask(mk, func(e core.Effect) {
			c.leaves(p, id, e.(core.UserReply))
			w.sendMsg(p.name, "user", func() { finish(e.(core.UserReply)) })
		})
	})
}

// definite says whether an answer tells of a job.
func definite(r core.UserReply) bool { return r.Status == 200 || r.Status == 201 || r.Status == 404 }

func fateOf(r core.UserReply) fate {
	if r.State == "queued" || r.State == "running" {
		return accepted
	}
	return fate(r.State)
}

// leaves notes that an answer leaves a controller. One after the other they never go
// back, also if they were asked for in another order.
func (c *closeLooks) leaves(p *proc, id string, r core.UserReply) {
	if !definite(r) {
		return
	}
	order := map[fate]int{accepted: 1, done: 2, cancelled: 2}
	key := fmt.Sprintf("%s %s.%d", id, p.name, p.life)
	was, f := c.left[key], fateOf(r)
	if order[f] < order[was] {
		c.wrong = append(c.wrong, fmt.Sprintf("%s says %q after %q", key, f, was))
	}
	c.left[key] = f
}

// unanswered notes a request that may be carried out later. One that comes after another
// such, or after what it asks for was told, adds nothing.
func (c *closeLooks) unanswered(op lookOp, asked int64, r core.UserReply) {
	c.unsaid[op.kind]++
	if r.Status != 0 && r.Status != 503 {
		c.wrong = append(c.wrong, fmt.Sprintf("%s of %s: %d %s", op.kind, op.job, r.Status, r.Message))
	}
	if op.kind == lookPoll {
		return
	}
	for _, o := range c.history[op.job] {
		if in, said := o.Input.(lookOp), o.Output.(lookSaid); in.kind == op.kind && (o.Call < asked && (o.Return == math.MaxInt64 || o.Return < asked && said.fate != unknown)) {
			c.again(op)
			return
		}
	}
	c.add(porcupine.Operation{Input: op, Call: asked, Output: lookSaid{}, Return: math.MaxInt64})
	c.again(op)
}

// again repeats what got no answer, until it is clear.
func (c *closeLooks) again(op lookOp) {
	c.w.after(c.w.jitter(time.Second), func() {
		if was := c.heard[op.job]; op.kind == lookSubmit && was == unknown || op.kind == lookAbort && was == accepted {
			c.ask(c.rng.IntN(len(c.w.nodes)), op.kind, op.job)
		}
	})
}

// hears notes the newest that was told, and looks closely at once.
func (c *closeLooks) hears(id string, f fate) {
	if f == unknown || f == c.heard[id] || c.heard[id] == done || c.heard[id] == cancelled {
		return
	}
	c.heard[id], c.w.jobs[id].accepted = f, true
	c.burst(id, f)
}

// burst asks all controllers, and repeats the submission, within milliseconds.
func (c *closeLooks) burst(id string, f fate) {
	c.looks[f]++
	for _, d := range lookPauses {
		for to := range c.w.nodes {
			kind := lookPoll
			if c.rng.IntN(4) == 0 {
				kind = lookSubmit
			}
			c.w.after(d*time.Millisecond, func() { c.ask(to, kind, id) })
		}
	}
	if c.cancels[id] == f {
		c.w.after(time.Duration(c.rng.IntN(4))*time.Millisecond, func() { c.ask(c.rng.IntN(len(c.w.nodes)), lookAbort, id) })
	}
}

// job is one that comes at a moment. Its user asks each second until he knows how it ended.
func (c *closeLooks) job(at time.Duration, id string, run time.Duration, tasks int, on fate) {
	spec := core.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: core.Normal, Tasks: tasks,
		Need: core.Resources{CPU: 1, Memory: 1}, Image: "i", ImageGB: 1, ExpectedRunTime: run}
	c.w.jobs[id] = newUserJob(spec, run)
	c.w.after(at, func() {
		c.w.jobs[id].submitted = c.w.now
		if on != unknown {
			c.cancels[id] = on
		}
		c.burst(id, unknown)
		c.ask(c.rng.IntN(len(c.w.nodes)), lookSubmit, id)
		c.each(id)
	})
}

func (c *closeLooks) each(id string) {
	if f := c.heard[id]; f == done || f == cancelled {
		return
	}
	c.ask(c.rng.IntN(len(c.w.nodes)), lookPoll, id)
	c.w.after(c.w.jitter(time.Second), func() { c.each(id) })
}

// fault lets one thing go wrong for a short time.
func (c *closeLooks) fault() {
	w, d := c.w, time.Duration(200+c.rng.IntN(6000))*time.Millisecond
	i := c.rng.IntN(len(w.nodes))
	back := []time.Duration{20, 100, 300}[c.rng.IntN(3)] * time.Millisecond
	switch c.rng.IntN(7) {
	case 0:
		w.Crash(i, back)
	case 1:
		for i := range w.nodes {
			w.Crash(i, back)
		}
	case 2:
		w.refuse(w.nodes[i], d)
	case 3:
		w.slowState, w.slowBy = w.now.Add(d), 15+10*c.rng.Float64()
	case 4:
		w.LateWrites(0.5, d)
	case 5:
		w.Still(i, min(d, 1500*time.Millisecond))
	case 6:
		w.cutOneWay("state", w.nodes[i].name, d)
	}
}

// day has jobs that end or are cancelled one after the other, with troubles or without.
func (c *closeLooks) day(troubles bool) {
	const jobs, apart = 24, 4 * time.Second
	for i := range jobs {
		on := []fate{unknown, accepted, unknown, done, unknown, cancelled}[i%6]
		c.job(30*time.Second+time.Duration(i)*apart, fmt.Sprintf("job-%06d", i), time.Duration(2+c.rng.IntN(12))*time.Second, 1+i%3, on)
	}
	if troubles {
		c.share = 0.15
		for i := range 20 {
			c.w.after(32*time.Second+time.Duration(i)*5*time.Second, c.fault)
		}
		c.w.after(32*time.Second+20*5*time.Second, func() { c.share = 0 })
	}
	c.w.Run(5 * time.Minute)
}

// fewer is a history without the reads that ask for no more than another one does: what
// is read within a shorter time is read within a longer one too. Porcupine would try
// all their orders.
func fewer(history []porcupine.Operation) []porcupine.Operation {
	read := func(o porcupine.Operation) (lookSaid, bool) {
		said, kind := o.Output.(lookSaid), o.Input.(lookOp).kind
		return said, said.status == 404 || said.status == 200 && (kind != lookAbort || said.fate == done)
	}
	var out []porcupine.Operation
	for i, o := range history {
		said, reads := read(o)
		needed := true
		for k, x := range history {
			other, too := read(x)
			inside := x.Call >= o.Call && x.Return <= o.Return && (k < i || x.Call > o.Call || x.Return < o.Return)
			needed = needed && !(reads && too && k != i && other == said && inside)
		}
		if needed {
			out = append(out, o)
		}
	}
	return out
}

// withSubmission adds the submission that was carried out, if none was told so: its answer
// can leave after the job was cancelled, and tells that instead.
func withSubmission(history []porcupine.Operation) []porcupine.Operation {
	first := int64(math.MaxInt64)
	for _, o := range history {
		if in, said := o.Input.(lookOp), o.Output.(lookSaid); in.kind == lookSubmit {
			if said.status == 201 {
				return history
			}
			first = min(first, o.Call)
		}
	}
	id := history[0].Input.(lookOp).job
	return append(history, porcupine.Operation{ClientId: len(history), Input: lookOp{id, lookSubmit}, Call: first, Output: lookSaid{}, Return: math.MaxInt64})
}

// check judges all registers.
func (c *closeLooks) check() []string {
	out := c.wrong
	for _, id := range sorted(c.history) {
		if r := porcupine.CheckOperationsTimeout(oneJob, fewer(withSubmission(c.history[id])), 5*time.Second); r != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s is no register: %s", id, r))
		}
	}
	return out
}

// TestCloseLooks: users ask all controllers within milliseconds after, or just when, a job
// was accepted, ended or cancelled, repeat its submission, and some cancel at once, while
// controllers end, the state service refuses, is slow, loses answers or carries out late.
// No controller answers something older: each job is one register.
func TestCloseLooks(t *testing.T) {
	for seed := range drawnDays(t, 8, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(seed)
			c := newCloseLooks(w, seed)
			c.day(seed > 0)
			for _, b := range append(w.Broken, c.check()...) {
				t.Error(b)
			}
			answers := 0
			for _, id := range sorted(w.jobs) {
				answers += len(c.history[id])
				if f := c.heard[id]; f != done && f != cancelled {
					t.Errorf("%s is %q in the end", id, f)
				}
			}
			for _, f := range []fate{accepted, done, cancelled} {
				if c.looks[f] < 6 {
					t.Errorf("only %d looks at %s", c.looks[f], f)
				}
			}
			if seed > 0 && (c.lost["open"] == 0 || c.unsaid[lookSubmit] == 0) {
				t.Errorf("no troubles were met: %v, %v", c.lost, c.unsaid)
			}
			t.Logf("%d answers, looks %v, answers lost %v, no answer %v", answers, c.looks, c.lost, c.unsaid)
		})
	}
}

// TestOldAnswersAreNoticed: a core made wrong is noticed, or the registers are worth
// nothing: in each of these ways it answers something older than was told, or than it has
// made true.
func TestOldAnswersAreNoticed(t *testing.T) {
	reply := func(e core.Effect, change func(*core.UserReply)) core.Effect {
		if r, ok := e.(core.UserReply); ok {
			change(&r)
			return r
		}
		return e
	}
	unguarded := func(e core.Effect, first, without string) core.Effect {
		op, ok := e.(core.StoreRequest)
		if !ok || op.Kind != core.OpTxn || len(op.Writes) == 0 || !strings.HasPrefix(op.Writes[0].Key, first) {
			return e
		}
		var when []core.Compare
		for _, c := range op.Compares {
			if !strings.HasPrefix(c.Key, without) {
				when = append(when, c)
			}
		}
		op.Compares = when
		return op
	}
	for name, wrong := range map[string]func(core.Effect) core.Effect{
		"nothing": nil,
		"polls are answered from the picture": func(e core.Effect) core.Effect {
			if op, ok := e.(core.StoreRequest); ok && op.Kind == core.OpWatch && op.WatchTimeout == 0 && op.Key == "open/" {
				// It goes on and brings no news.
				op.Key = "none/"
				return op
			}
			return e
		},
		"refused submissions are accepted": func(e core.Effect) core.Effect {
			return reply(e, func(r *core.UserReply) {
				if r.Status == 503 {
					r.Status, r.State = 201, "queued"
				}
			})
		},
		"what can't be read is not known": func(e core.Effect) core.Effect {
			return reply(e, func(r *core.UserReply) {
				if r.Status == 503 {
					r.Status = 404
				}
			})
		},
		"a cancellation changes what is over": func(e core.Effect) core.Effect {
			return unguarded(e, "job/", "open/")
		},
		"a repeat begins anew": func(e core.Effect) core.Effect {
			return unguarded(e, "open/", "")
		},
		"a cancelled job is called queued": func(e core.Effect) core.Effect {
			return reply(e, func(r *core.UserReply) {
				if r.State == "cancelled" && r.Reply%7 == 0 {
					r.State = "queued"
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorld(3)
			w.sabotage = wrong
			c := newCloseLooks(w, 3)
			c.day(true)
			if found := c.check(); (wrong != nil) != (len(found) > 0) {
				t.Errorf("noticed: %v", found)
			}
		})
	}
}
