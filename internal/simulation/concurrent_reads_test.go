package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// jobFate is the value of a job's register: what users may be answered about it.
type jobFate string

const (
	unknown   jobFate = ""
	accepted  jobFate = "accepted"
	done      jobFate = "done"
	cancelled jobFate = "cancelled"
)

// operationKind is an operation on a register. opEnd is the controllers' own: the job is done once the
// state service has stored it.
type operationKind string

const (
	opSubmit operationKind = "submit"
	opPoll   operationKind = "poll"
	opCancel operationKind = "abort"
	opEnd    operationKind = "end"
)

type jobOperation struct {
	job  string
	kind operationKind
}

// jobAnswer is the answer to an operation. The zero value means none: the request may take effect at
// any later time, or never.
type jobAnswer struct {
	status int
	fate   jobFate
}

// jobModel is the linearizability model of a job as one register. A request without an answer, or
// refused for now, ends at the end of time, where its effect is not seen.
var jobModel = porcupine.Model{
	Init: func() any { return unknown },
	Step: func(state, input, output any) (bool, any) {
		was, op, said := state.(jobFate), input.(jobOperation), output.(jobAnswer)
		next := was
		switch {
		case op.kind == opSubmit && was == unknown:
			next = accepted
		case op.kind == opCancel && was == accepted:
			next = cancelled
		case op.kind == opEnd:
			return was == accepted, done
		}
		switch {
		case said.status == 0:
			return true, next
		case said.status == 404:
			return op.kind != opSubmit && was == unknown, was
		case said.status == 201:
			return op.kind == opSubmit && was == unknown && said.fate == accepted, next
		}
		return said.status == 200 && said.fate == next && was != unknown, next
	},
}

// concurrentReaders are users who query all controllers and resubmit their jobs within milliseconds
// after they learn something new, or after something new was stored.
type concurrentReaders struct {
	world      *World
	rng        *rand.Rand
	history    map[string][]porcupine.Operation
	newestFate map[string]jobFate
	// cancels are the jobs that are cancelled, by the fate on which their user does so.
	cancels    map[string]jobFate
	violations []string
	// sentFate is the newest fate that an incarnation of a controller has answered about a job.
	sentFate map[string]jobFate
	// bursts counts bursts by the fate that they followed, and unansweredCount the requests
	// without an answer.
	bursts          map[jobFate]int
	unansweredCount map[operationKind]int
	*lostResponses
}

// readDelays are the delays of a burst's requests in milliseconds.
var readDelays = []time.Duration{0, 1, 2, 5, 20, 60, 150, 310}

func newConcurrentReaders(w *World, seed uint64) *concurrentReaders {
	c := &concurrentReaders{world: w, rng: rand.New(rand.NewPCG(seed, 37)), history: map[string][]porcupine.Operation{}, newestFate: map[string]jobFate{}, cancels: map[string]jobFate{}, sentFate: map[string]jobFate{},
		bursts: map[jobFate]int{}, unansweredCount: map[operationKind]int{}}
	w.state.onChange = c.onChange
	c.lostResponses = loseResponses(w, seed, 0)
	return c
}

// onChange sees each change of a record before any controller does.
func (c *concurrentReaders) onChange(it message.KeyValue) {
	id, over := strings.CutPrefix(it.Key, "job/")
	var r struct {
		Status jobFate `msgpack:"s"`
	}
	if !over || it.Deleted || msgpack.Unmarshal(it.Value, &r) != nil {
		return
	}
	if at := c.now(); r.Status == done {
		c.add(porcupine.Operation{Input: jobOperation{id, opEnd}, Call: at, Output: jobAnswer{}, Return: at + 1})
	}
	// Users who happen to query just now.
	c.burst(id, r.Status)
}

func (c *concurrentReaders) now() int64 { return c.world.now.Sub(c.world.startedAt).Nanoseconds() }

func (c *concurrentReaders) add(o porcupine.Operation) {
	id := o.Input.(jobOperation).job
	o.ClientId = len(c.history[id])
	c.history[id] = append(c.history[id], o)
}

// send sends one request to one controller.
func (c *concurrentReaders) send(to int, kind operationKind, id string) {
	w, sentAt, finished := c.world, c.now(), false
	timeout := 5 * time.Second
	newCommand := func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: w.jobs[id].spec} }
	switch kind {
	case opPoll:
		timeout = 2 * time.Second
		newCommand = func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} }
	case opCancel:
		w.jobs[id].cancelRequested = true
		newCommand = func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} }
	}
	finish := func(r message.UserReply) {
		if finished {
			return
		}
		finished = true
		if !isDefinite(r) {
			c.unanswered(jobOperation{id, kind}, sentAt, r)
			return
		}
		said := jobAnswer{r.Status, fateOf(r)}
		c.add(porcupine.Operation{Input: jobOperation{id, kind}, Call: sentAt, Output: said, Return: c.now()})
		c.noteFate(id, said.fate)
	}
	w.schedule(timeout, func() { finish(message.UserReply{}) })
	p := w.controllers[to]
	w.sendMessage("user", p.name, func() {
		p.request(newCommand, func(e message.Effect) {
			c.onSend(p, id, e.(message.UserReply))
			w.sendMessage(p.name, "user", func() { finish(e.(message.UserReply)) })
		})
	})
}

// isDefinite reports whether an answer says something about the job.
func isDefinite(r message.UserReply) bool {
	return r.Status == 200 || r.Status == 201 || r.Status == 404
}

// fateOf returns the fate that an answer says.
func fateOf(r message.UserReply) jobFate {
	if r.State == "queued" || r.State == "running" {
		return accepted
	}
	return jobFate(r.State)
}

// onSend sees an answer leave a controller. The answers of one incarnation must never go back, not
// even if they were requested in another order.
func (c *concurrentReaders) onSend(p *controllerProcess, id string, r message.UserReply) {
	if !isDefinite(r) {
		return
	}
	order := map[jobFate]int{accepted: 1, done: 2, cancelled: 2}
	key := fmt.Sprintf("%s %s.%d", id, p.name, p.incarnation)
	was, f := c.sentFate[key], fateOf(r)
	if order[f] < order[was] {
		c.violations = append(c.violations, fmt.Sprintf("%s: got answer %q after %q", key, f, was))
	}
	c.sentFate[key] = f
}

// unanswered records a request that may take effect later. If an earlier one of the kind is unanswered
// too, or was answered before, it adds nothing to the history.
func (c *concurrentReaders) unanswered(op jobOperation, asked int64, r message.UserReply) {
	c.unansweredCount[op.kind]++
	if r.Status != 0 && r.Status != 503 {
		c.violations = append(c.violations, fmt.Sprintf("%s of %s: %d %s", op.kind, op.job, r.Status, r.Message))
	}
	if op.kind == opPoll {
		return
	}
	for _, o := range c.history[op.job] {
		if in, said := o.Input.(jobOperation), o.Output.(jobAnswer); in.kind == op.kind && (o.Call < asked && (o.Return == math.MaxInt64 || o.Return < asked && said.fate != unknown)) {
			c.retryUntilAnswered(op)
			return
		}
	}
	c.add(porcupine.Operation{Input: op, Call: asked, Output: jobAnswer{}, Return: math.MaxInt64})
	c.retryUntilAnswered(op)
}

// retryUntilAnswered repeats an unanswered request until its effect is known.
func (c *concurrentReaders) retryUntilAnswered(op jobOperation) {
	c.world.schedule(c.world.jitter(time.Second), func() {
		if was := c.newestFate[op.job]; op.kind == opSubmit && was == unknown || op.kind == opCancel && was == accepted {
			c.send(c.rng.IntN(len(c.world.controllers)), op.kind, op.job)
		}
	})
}

// noteFate records the newest fate that was answered, and starts a burst if it is new.
func (c *concurrentReaders) noteFate(id string, f jobFate) {
	if f == unknown || f == c.newestFate[id] || c.newestFate[id] == done || c.newestFate[id] == cancelled {
		return
	}
	c.newestFate[id], c.world.jobs[id].accepted = f, true
	c.burst(id, f)
}

// burst queries all controllers, and resubmits the job, within milliseconds.
func (c *concurrentReaders) burst(id string, f jobFate) {
	c.bursts[f]++
	for _, d := range readDelays {
		for to := range c.world.controllers {
			kind := opPoll
			if c.rng.IntN(4) == 0 {
				kind = opSubmit
			}
			c.world.schedule(d*time.Millisecond, func() { c.send(to, kind, id) })
		}
	}
	if c.cancels[id] == f {
		c.world.schedule(time.Duration(c.rng.IntN(4))*time.Millisecond, func() { c.send(c.rng.IntN(len(c.world.controllers)), opCancel, id) })
	}
}

// addJob submits a job at a time, and cancels it after the fate cancelOn. Its user polls each second until
// it has ended.
func (c *concurrentReaders) addJob(at time.Duration, id string, run time.Duration, tasks int, cancelOn jobFate) {
	spec := model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: tasks,
		Need: model.Resources{CPU: 1, Memory: 1}, Image: "i", ImageGB: 1, ExpectedRunTime: run}
	c.world.jobs[id] = newUserJob(spec, run)
	c.world.schedule(at, func() {
		c.world.jobs[id].submitted = c.world.now
		if cancelOn != unknown {
			c.cancels[id] = cancelOn
		}
		c.burst(id, unknown)
		c.send(c.rng.IntN(len(c.world.controllers)), opSubmit, id)
		c.readEverywhere(id)
	})
}

// readEverywhere polls a random controller each second until the job has ended.
func (c *concurrentReaders) readEverywhere(id string) {
	if f := c.newestFate[id]; f == done || f == cancelled {
		return
	}
	c.send(c.rng.IntN(len(c.world.controllers)), opPoll, id)
	c.world.schedule(c.world.jitter(time.Second), func() { c.readEverywhere(id) })
}

// startRandomFault starts one short fault.
func (c *concurrentReaders) startRandomFault() {
	w, d := c.world, time.Duration(200+c.rng.IntN(6000))*time.Millisecond
	i := c.rng.IntN(len(w.controllers))
	back := []time.Duration{20, 100, 300}[c.rng.IntN(3)] * time.Millisecond
	switch c.rng.IntN(7) {
	case 0:
		w.CrashController(i, back)
	case 1:
		for i := range w.controllers {
			w.CrashController(i, back)
		}
	case 2:
		w.refuseController(w.controllers[i], d)
	case 3:
		w.stateSlowUntil, w.stateSlowFactor = w.now.Add(d), 15+10*c.rng.Float64()
	case 4:
		w.DelayWrites(0.5, d)
	case 5:
		w.Pause(i, min(d, 1500*time.Millisecond))
	case 6:
		w.partitionOneWay("state", w.controllers[i].name, d)
	}
}

// run submits jobs one after the other, of which some are cancelled, with faults or without.
func (c *concurrentReaders) run(faults bool) {
	const jobs, interval = 24, 4 * time.Second
	for i := range jobs {
		cancelOn := []jobFate{unknown, accepted, unknown, done, unknown, cancelled}[i%6]
		c.addJob(30*time.Second+time.Duration(i)*interval, fmt.Sprintf("job-%06d", i), time.Duration(2+c.rng.IntN(12))*time.Second, 1+i%3, cancelOn)
	}
	if faults {
		c.fraction = 0.15
		for i := range 20 {
			c.world.schedule(32*time.Second+time.Duration(i)*5*time.Second, c.startRandomFault)
		}
		c.world.schedule(32*time.Second+20*5*time.Second, func() { c.fraction = 0 })
	}
	c.world.Run(5 * time.Minute)
}

// dropImpliedReads returns a history without the reads that another one implies: what is read within a
// shorter interval is read within a longer one too. Porcupine would try all their orders.
func dropImpliedReads(history []porcupine.Operation) []porcupine.Operation {
	read := func(o porcupine.Operation) (jobAnswer, bool) {
		said, kind := o.Output.(jobAnswer), o.Input.(jobOperation).kind
		return said, said.status == 404 || said.status == 200 && (kind != opCancel || said.fate == done)
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

// withSubmission adds the submission that took effect if none was answered so: its answer may leave
// after the job was cancelled, and say that instead.
func withSubmission(history []porcupine.Operation) []porcupine.Operation {
	first := int64(math.MaxInt64)
	for _, o := range history {
		if in, said := o.Input.(jobOperation), o.Output.(jobAnswer); in.kind == opSubmit {
			if said.status == 201 {
				return history
			}
			first = min(first, o.Call)
		}
	}
	id := history[0].Input.(jobOperation).job
	return append(history, porcupine.Operation{ClientId: len(history), Input: jobOperation{id, opSubmit}, Call: first, Output: jobAnswer{}, Return: math.MaxInt64})
}

// check returns all violations, with the jobs whose history is not linearizable.
func (c *concurrentReaders) check() []string {
	out := c.violations
	for _, id := range sortedKeys(c.history) {
		if r := porcupine.CheckOperationsTimeout(jobModel, dropImpliedReads(withSubmission(c.history[id])), 5*time.Second); r != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s: history is not linearizable: %s", id, r))
		}
	}
	return out
}

// TestConcurrentReads has users query all controllers and resubmit jobs within milliseconds after, or
// just when, a job is accepted, ends or is cancelled, while controllers crash and the state service
// refuses requests, is slow, loses answers or applies writes late. No controller answers something
// older: each job is one register.
func TestConcurrentReads(t *testing.T) {
	for seed := range dayCount(t, 8, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(seed)
			c := newConcurrentReaders(w, seed)
			c.run(seed > 0)
			reportViolations(t, append(w.Violations, c.check()...))
			answers := 0
			for _, id := range sortedKeys(w.jobs) {
				answers += len(c.history[id])
				if f := c.newestFate[id]; f != done && f != cancelled {
					t.Errorf("%s: got final state %q, want done or cancelled", id, f)
				}
			}
			for _, f := range []jobFate{accepted, done, cancelled} {
				if c.bursts[f] < 6 {
					t.Errorf("got %d bursts after %s, want at least 6", c.bursts[f], f)
				}
			}
			if seed > 0 && (c.lost["open"] == 0 || c.unansweredCount[opSubmit] == 0) {
				t.Errorf("got lost responses %v and unanswered requests %v, want some of open records and submissions", c.lost, c.unansweredCount)
			}
			t.Logf("%d answers, bursts %v, lost responses %v, unanswered %v", answers, c.bursts, c.lost, c.unansweredCount)
		})
	}
}

// TestStaleAnswersAreDetected checks that the registers detect each corruption by which a controller
// answers something older than was answered or stored before.
func TestStaleAnswersAreDetected(t *testing.T) {
	reply := func(e message.Effect, change func(*message.UserReply)) message.Effect {
		if r, ok := e.(message.UserReply); ok {
			change(&r)
			return r
		}
		return e
	}
	unguarded := func(e message.Effect, first, without string) message.Effect {
		op, ok := e.(message.StoreRequest)
		if !ok || op.Kind != message.OpTxn || len(op.Writes) == 0 || !strings.HasPrefix(op.Writes[0].Key, first) {
			return e
		}
		var compares []message.Compare
		for _, c := range op.Compares {
			if !strings.HasPrefix(c.Key, without) {
				compares = append(compares, c)
			}
		}
		op.Compares = compares
		return op
	}
	for name, corrupt := range map[string]func(message.Effect) message.Effect{
		"not corrupted": nil,
		"polls are answered from a stale watch cache": func(e message.Effect) message.Effect {
			if op, ok := e.(message.StoreRequest); ok && op.Kind == message.OpWatch && op.WatchTimeout == 0 && op.Key == "open/" {
				// The watch goes on and brings no changes.
				op.Key = "none/"
				return op
			}
			return e
		},
		"refused submissions are answered as accepted": func(e message.Effect) message.Effect {
			return reply(e, func(r *message.UserReply) {
				if r.Status == 503 {
					r.Status, r.State = 201, "queued"
				}
			})
		},
		"refused requests are answered not found": func(e message.Effect) message.Effect {
			return reply(e, func(r *message.UserReply) {
				if r.Status == 503 {
					r.Status = 404
				}
			})
		},
		"a cancellation changes an ended job": func(e message.Effect) message.Effect {
			return unguarded(e, "job/", "open/")
		},
		"a resubmission starts a new job": func(e message.Effect) message.Effect {
			return unguarded(e, "open/", "")
		},
		"a cancelled job is answered as queued": func(e message.Effect) message.Effect {
			return reply(e, func(r *message.UserReply) {
				if r.State == "cancelled" && r.Reply%7 == 0 {
					r.State = "queued"
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorld(3)
			w.corruptEffect = corrupt
			c := newConcurrentReaders(w, 3)
			c.run(true)
			if found := c.check(); (corrupt != nil) != (len(found) > 0) {
				t.Errorf("got violations %v, want some only if corrupted", found)
			}
		})
	}
}
