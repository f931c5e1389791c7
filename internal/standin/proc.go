package standin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/state"
)

// proc.go has a controller's process: how it starts, ends and stands still, and how it
// carries out what its core decides.

// workerDeadline is how long a controller waits for the answer to a direct command.
const workerDeadline = 2 * time.Second

// proc is a controller's process.
type proc struct {
	w       *World
	index   int
	name    string
	node    *core.Controller
	life    int
	alive   bool
	queue   []core.Command
	queued  bool
	wake    time.Time
	replies map[uint64]func(core.Effect)
	next    uint64
	stateNo bool
	// refusedTill is when the last time is over in which it alone is refused.
	refusedTill time.Time
	gate        *state.RateLimiter
	// stillTill: the process stands still until then; its clock runs on. held is
	// what it had decided and not sent yet.
	stillTill time.Time
	held      []core.Effect
	// slowTill: its steps take slowBy times as long until then as usual ones do.
	slowTill time.Time
	slowBy   float64
	// skew is by how much its clock is ahead of the world's.
	skew time.Duration
}

// clock is the time that the controller reads.
func (p *proc) clock() time.Time { return p.w.now.Add(p.skew) }

// checkLead: nobody rents or returns but the leader. What a deposed one would send
// has no conditions that could stop it.
func (p *proc) checkLead(e core.CloudRequest) {
	if e.Kind != core.CloudRent && e.Kind != core.CloudRelease {
		return
	}
	if lead := p.w.leads(); lead != "" && lead != p.name {
		p.w.broke("deposed", "%s asks the cloud for %v while %s leads", p.name, e.Kind, lead)
	}
}

// boot starts a controller's process anew.
func (p *proc) boot() {
	p.life++
	p.alive = true
	set := p.w.set
	set.Host, set.Incarnation = p.name, fmt.Sprintf("%s.%d", p.name, p.life)
	set.Peers = nil
	set.CancellationBound = p.w.cancel
	if p.w.coreLease > 0 {
		set.WorkerLease = p.w.coreLease
	}
	for _, o := range p.w.nodes {
		if o != p {
			set.Peers = append(set.Peers, o.name)
		}
	}
	if p.w.tune != nil {
		p.w.tune(p.index, &set)
	}
	// Until it says what it needs, each has an equal part.
	many := float64(len(p.w.nodes))
	p.gate = state.NewRateLimiter(p.w.now, core.Rates{Requests: set.StoreRequestsPerSecond / many, Writes: set.StoreWritesPerSecond / many})
	p.node = core.New(set, rand.New(rand.NewPCG(uint64(p.index)+7, uint64(p.life))))
	p.queue, p.queued, p.wake = nil, false, time.Time{}
	p.stillTill, p.held = time.Time{}, nil
	p.replies = map[uint64]func(core.Effect){}
	p.poke()
}

// Crash ends a process; it is started again after d.
func (w *World) Crash(i int, d time.Duration) {
	p := w.nodes[i]
	p.alive = false
	p.life++
	w.after(d, func() {
		if !p.alive {
			p.boot()
		}
	})
}

func (p *proc) ask(mk func(uint64) core.Command, fn func(core.Effect)) {
	if !p.alive {
		return
	}
	p.next++
	p.replies[p.next] = fn
	p.push(mk(p.next))
}

func (p *proc) push(c core.Command) {
	p.queue = append(p.queue, c)
	p.poke()
}

func (p *proc) poke() {
	if p.queued {
		return
	}
	p.queued = true
	life := p.life
	p.w.after(max(time.Millisecond, p.stillTill.Sub(p.w.now)), func() {
		if p.life != life {
			return
		}
		p.queued = false
		p.step()
	})
}

// Still lets a process stand still for d.
func (w *World) Still(i int, d time.Duration) {
	p := w.nodes[i]
	p.stillTill = w.now.Add(d)
	w.thaw(p)
}

// StillIn lets the first process that is about to send such an effect stand still
// for d before it does: it has decided, and acts on that only when it goes on.
func (w *World) StillIn(d time.Duration, is func(core.Effect) bool, who func(*proc) bool) {
	w.stillFor = d
	w.stills = func(p *proc, e core.Effect) bool { return who(p) && is(e) }
}

// thaw lets a process go on when its time has come.
func (w *World) thaw(p *proc) {
	life := p.life
	w.after(p.stillTill.Sub(w.now), func() {
		if p.life != life {
			return
		}
		held := p.held
		p.held = nil
		for _, e := range held {
			p.send(e)
		}
		p.poke()
	})
}

// send carries an effect out, unless it has become late.
func (p *proc) send(e core.Effect) {
	if back, instead, late := core.CheckDeadline(e, p.clock()); late {
		if back != nil {
			p.push(back)
		} else {
			p.do(instead)
		}
		return
	}
	p.do(e)
}

func (p *proc) step() {
	if p.w.now.Before(p.stillTill) {
		p.poke()
		return
	}
	q := p.queue
	p.queue = nil
	began := time.Now()
	effects := p.node.Step(p.clock(), q)
	p.w.stepped += time.Since(began)
	p.computes(len(q), len(effects))
	for _, e := range effects {
		p.w.ranked.decided(p, e)
		if p.w.sabotage != nil {
			if e = p.w.sabotage(e); e == nil {
				continue
			}
		}
		if p.w.endsNow(p, e) {
			return
		}
		if p.w.stills != nil && p.w.stills(p, e) {
			p.w.stills = nil
			p.stillTill = p.w.now.Add(p.w.stillFor)
			p.w.thaw(p)
		}
		if p.w.now.Before(p.stillTill) {
			p.held = append(p.held, e)
			continue
		}
		p.send(e)
	}
	d := p.node.Deadline()
	if d.IsZero() || p.queued {
		return
	}
	d = d.Add(-p.skew)
	if p.wake.IsZero() || d.Before(p.wake) || !p.wake.After(p.w.now) {
		p.wake = d
		life := p.life
		p.w.after(max(d.Sub(p.w.now), time.Millisecond), func() {
			if p.life == life && !p.queued {
				p.step()
			}
		})
	}
}

// call is a request with a deadline: fail is what the client tells its core
// when no answer came. again says that it may also be carried out twice.
func (p *proc) call(to string, again bool, deadline time.Duration, exec func(answer func(core.Command)), fail core.Command) {
	p.callOr(to, again, deadline, exec, fail, nil)
}

// callUnless is a call to the state service, which may refuse it for the rate.
func (p *proc) callUnless(again bool, deadline time.Duration, exec func(answer func(core.Command)), fail core.Command, tooMany func()) {
	p.callOr("state", again, deadline, exec, fail, tooMany)
}

func (p *proc) callOr(to string, again bool, deadline time.Duration, exec func(answer func(core.Command)), fail core.Command, tooMany func()) {
	w, life := p.w, p.life
	over := false
	finish := func(c core.Command) {
		if over || p.life != life {
			return
		}
		over = true
		if d, ok := c.(core.StoreResponse); ok && d.Status == StateTooMany {
			tooMany()
			return
		}
		p.push(c)
	}
	answer := func(c core.Command) { w.sendMsg(to, p.name, func() { finish(c) }) }
	if again && w.twice > 0 && w.rng.Float64() < w.twice {
		none := func(core.Command) {}
		w.after(w.late(), func() { w.sendMsg(p.name, to, func() { exec(none) }) })
		if to != "state" {
			answer = none
		}
	}
	w.sendMsg(p.name, to, func() { exec(answer) })
	w.after(deadline, func() { finish(fail) })
}

// stateOp is one try of a request to the state service.
func (p *proc) stateOp(e core.StoreRequest, until time.Time) {
	w, life := p.w, p.life
	sent := p.clock()
	done := func(answer func(core.Command)) func(core.StoreResponse) {
		return func(d core.StoreResponse) {
			d.SentAt = sent
			w.ranked.look()
			answer(d)
		}
	}
	exec := func(answer func(core.Command)) {
		switch {
		case e.Kind == core.OpWatch && e.WatchTimeout > 0:
			p.watch(e, until, done(answer))
		case w.outage || p.stateNo:
			answer(core.StoreResponse{ID: e.ID, Status: core.StoreRefused, SentAt: sent})
		default:
			w.state.Do(w.now, e, done(answer))
		}
	}
	p.callUnless(e.Kind == core.OpTxn, until.Sub(w.now), func(answer func(core.Command)) {
		if d, ok := w.writeLate(e); ok {
			lawful := !w.state.malformed(&e)
			w.after(d, func() {
				if lawful && w.state.malformed(&e) {
					// The limits were lowered while it was on its way: it is refused, and
					// nobody waits for its answer.
					return
				}
				exec(func(core.Command) {})
			})
			return
		}
		exec(answer)
	}, core.StoreResponse{ID: e.ID, Status: core.StoreUnknown}, func() {
		pause := state.RetryPause + time.Duration(w.rng.Int64N(int64(state.RetryJitter)))
		w.after(pause, func() {
			switch {
			case p.life != life:
			case w.now.Before(until):
				p.stateOp(e, until)
			default:
				p.push(core.StoreResponse{ID: e.ID, Status: core.StoreRefused})
			}
		})
	})
}

// watch opens a watch. While the service is away, or refuses the process alone, it tells
// nothing: it waits until that is over, or the process has given it up.
func (p *proc) watch(e core.StoreRequest, until time.Time, answer func(core.StoreResponse)) {
	w := p.w
	silent := func() bool {
		if !w.outage && !p.stateNo {
			return false
		}
		if w.now.Before(until) {
			w.after(tick, func() { p.watch(e, until, answer) })
		}
		return true
	}
	if silent() {
		return
	}
	w.state.Do(w.now, e, func(d core.StoreResponse) {
		if !silent() {
			answer(d)
		}
	})
}

func (p *proc) do(e core.Effect) {
	w := p.w
	w.ranked.leaves(p, e)
	switch e := e.(type) {
	case core.StoreRequest:
		// As the real client does: it waits for its turn, and tries again what is
		// refused for the rate.
		d, ok := p.gate.Reserve(w.now, e)
		if !ok {
			p.push(core.StoreResponse{ID: e.ID, Status: core.StoreRefused})
			return
		}
		life := p.life
		w.after(d, func() {
			if p.life == life {
				p.stateOp(e, w.now.Add(state.Timeout(e)))
			}
		})
	case core.Rates:
		p.gate.SetRates(w.now, e)
	case core.CloudRequest:
		p.checkLead(e)
		p.call("cloud", false, 5*time.Second, func(answer func(core.Command)) { answer(w.cloud(e)) }, core.CloudResponse{ID: e.ID, Status: core.CloudUnknown})
	case core.WorkerRequest:
		m := w.machine[e.Machine]
		if m == nil {
			p.push(core.WorkerResponse{ID: e.ID})
			return
		}
		if p.commandLate(m, e) {
			p.call(m.ID, false, workerDeadline, func(func(core.Command)) {}, core.WorkerResponse{ID: e.ID})
			return
		}
		p.call(m.ID, !e.StatusOnly, workerDeadline, func(answer func(core.Command)) {
			if !w.now.Before(m.upAt) {
				answer(w.direct(m, e))
			}
		}, core.WorkerResponse{ID: e.ID})
	case core.UserReply:
		w.confirmed(e)
		p.reply(e.Reply, e)
	case core.HeartbeatReply:
		p.reply(e.Reply, e)
	case core.RankingReply:
		p.reply(e.Reply, e)
	case core.StatusReply:
		p.reply(e.Reply, e)
	case core.PromiseReply:
		p.reply(e.Reply, e)
	case core.SendPeerUpdate:
		if i := w.nodeIndex(e.To); i >= 0 {
			w.sendMsg(p.name, e.To, func() {
				if w.nodes[i].alive {
					w.nodes[i].push(e.Update)
				}
			})
		}
	case core.Log:
		if !e.Debug || w.trace != "" && containsAny(fmt.Sprint(e.Args...), w.trace) {
			w.logs = append(w.logs, fmt.Sprintf("%.1f %s %s %v", w.now.Sub(w.began).Seconds(), p.name, e.Message, e.Args))
		}
	}
}

func (p *proc) reply(id uint64, e core.Effect) {
	if fn := p.replies[id]; fn != nil {
		delete(p.replies, id)
		fn(e)
	}
}
