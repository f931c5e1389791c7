package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/state"
	"golang.org/x/time/rate"
)

// tick is the step of workers, grants and checks.
const tick = 100 * time.Millisecond

// World is simulated time with controllers, state service, cloud, workers and
// users in it, and faults. The same seed gives the same run.
type World struct {
	now    time.Time
	began  time.Time
	rng    *rand.Rand
	set    core.Settings
	cancel time.Duration
	events events
	seq    uint64

	nodes   []*proc
	state   *StateService
	machine map[string]*Worker
	// fleet are the machines that are not gone for good, in the order of creation.
	fleet []*Worker
	// used is what each team's tasks take.
	used   map[string]core.Resources
	calls  *rate.Limiter
	types  map[string]core.Flavour
	room   map[string]int
	booked map[string][]string
	jobs   map[string]*userJob

	cuts     map[string]*cut
	oneWay   map[string]int
	outage   bool
	cloudOut bool
	// loss: how often an answer or request is lost, or held for long.
	loss float64
	// twice: how often a transaction, a report or an order is carried out once
	// more, up to minutes later. Of a doubled order neither answer arrives: a
	// client that got one does not send again.
	twice float64
	// Broken collects broken rules.
	Broken []string
	// Started counts starts.
	Started int
	// copies is the share of reports that come once more, up to copyLongest later,
	// until copyTill.
	copies      float64
	copyLongest time.Duration
	copyTill    time.Time
	// slowState: the state service answers slowly until then, slowBy times as slowly.
	slowState time.Time
	slowBy    float64
	// lateWrites is the share of transactions that get no answer and are carried out
	// later, until lateWriteTill.
	lateWrites    float64
	lateWriteTill time.Time
	// outageTill is when the last outage that has begun is over.
	outageTill time.Time
	// keeps: some users ask the same controller again and again once all is over.
	keeps bool
	// Refused counts users' requests that were refused for now.
	Refused int
	// LostToLease counts tasks that a worker killed when its lease ran out.
	LostToLease int
	// Calls counts requests to the cloud.
	Calls struct{ Done, Refused int }
	names int
	// order names all machines that ever were, in the order of creation.
	order []string
	// stepped is the real time that the cores took, for benchmarks.
	stepped time.Duration
	logs    []string
	// sabotage breaks an invariant on purpose, to show that it is noticed.
	sabotage func(core.Effect) core.Effect
	// coreLease, when set, is the wrong lease that the cores are told.
	coreLease time.Duration
	// reporter sends a worker's report, and rented is told of new machines.
	reporter func(*Worker)
	rented   func(*Worker)
	// learn, when set, is where workers fetch the description of a job that nobody
	// told them of.
	learn func(id string) (core.Spec, time.Duration, bool)
	// stills picks the effect before which a process stands still, for stillFor.
	stills   func(*proc, core.Effect) bool
	stillFor time.Duration
	// ends picks the effect with which a process ends.
	ends func(*proc, core.Effect) bool
	// weather is there on days with troubles of no list.
	weather *weather
	// ranked checks the order of work, where a ranking is on; tune changes what a
	// controller is told at start.
	ranked *ranked
	tune   func(i int, set *core.Settings)
	// answered is told of every answer that reaches a user, and when he asked.
	answered func(asked time.Time, r core.UserReply)
	// calm, if set, is when the last trouble is over.
	calm time.Time
	// trace names a job whose debug lines are kept as well.
	trace string
}

// maxBroken bounds the list of broken rules; the first ones tell enough.
const maxBroken = 20

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].seq < e[b].seq
}

func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// proc is a controller's process.
type proc struct {
	w       *World
	index   int
	name    string
	node    *core.Node
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
	gate        *state.Gate
	// stillTill: the process stands still until then; its clock runs on. held is
	// what it had decided and not sent yet.
	stillTill time.Time
	held      []core.Effect
	// skew is by how much its clock is ahead of the world's.
	skew time.Duration
}

// clock is the time that the controller reads.
func (p *proc) clock() time.Time { return p.w.now.Add(p.skew) }

// NewWorld makes a world with n controllers, which start at once.
func NewWorld(seed uint64, n int, set core.Settings, cancel time.Duration, types []core.Flavour, room map[string]int) *World {
	w := &World{
		now: time.Unix(1_750_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), set: set, cancel: cancel,
		state: NewStateService(), machine: map[string]*Worker{}, types: map[string]core.Flavour{},
		room: room, booked: map[string][]string{}, jobs: map[string]*userJob{}, cuts: map[string]*cut{}, oneWay: map[string]int{},
		used: map[string]core.Resources{}, calls: rate.NewLimiter(rate.Inf, 1),
	}
	if set.CloudRPS > 0 {
		// Bursts of two seconds' worth.
		w.calls = rate.NewLimiter(rate.Limit(set.CloudRPS), max(1, int(2*set.CloudRPS)))
	}
	w.began = w.now
	w.state.Limit(set)
	w.reporter, w.rented = w.sendReport, func(*Worker) {}
	for _, t := range types {
		w.types[t.Name] = t
	}
	for i := range n {
		w.nodes = append(w.nodes, &proc{w: w, index: i, name: fmt.Sprintf("node-%d", i)})
	}
	for _, p := range w.nodes {
		p.boot()
	}
	w.after(tick, w.tick)
	return w
}

func (w *World) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, fn})
}

func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + w.rng.Float64()/2))
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

func (w *World) broke(rule, format string, args ...any) {
	if len(w.Broken) >= maxBroken {
		return
	}
	w.Broken = append(w.Broken, fmt.Sprintf("%s at %.1fs: %s", rule, w.now.Sub(w.began).Seconds(), fmt.Sprintf(format, args...)))
}

func (w *World) tick() {
	if !w.outage {
		w.state.Tick(w.now)
	}
	// Those that are gone for good are looked at no more.
	keep := w.fleet[:0]
	for _, m := range w.fleet {
		if !m.recallAt.IsZero() && !w.now.Before(m.recallAt) {
			w.kill(m)
			m.taken = true
		}
		w.advance(m, tick)
		if !m.returned && !m.taken {
			keep = append(keep, m)
		}
	}
	w.fleet = keep
	w.checkAll()
	w.after(tick, w.tick)
}

func (w *World) nodeIndex(name string) int {
	return slices.IndexFunc(w.nodes, func(p *proc) bool { return p.name == name })
}

// sendMsg brings a message from a to b: late, lost or held as the links are.
func (w *World) sendMsg(a, b string, fn func()) {
	life := 0
	if m := w.machine[b]; m != nil {
		life = m.life
	}
	deliver := func() {
		// A hanging machine takes it when it goes on.
		if m := w.machine[b]; m != nil {
			switch {
			case m.dead || m.returned || m.life != life:
				return
			case w.now.Before(m.hungTill):
				w.after(m.hungTill.Sub(w.now)+time.Millisecond, func() {
					if !m.dead && !m.returned && m.life == life {
						fn()
					}
				})
				return
			}
		}
		fn()
	}
	if w.lostOneWay(a, b) || w.unreached(w.machine[b], deliver) {
		return
	}
	if c := w.cutBetween(a, b); c != nil {
		if c.hold {
			c.held = append(c.held, deliver)
		}
		return
	}
	d := time.Duration(1+w.rng.IntN(6)) * time.Millisecond
	if w.now.Before(w.slowState) && (a == "state" || b == "state") {
		d = time.Duration(float64(d) * w.slowBy)
	}
	if w.weather != nil && w.now.Before(w.weather.slowTill) && (a == "state" || a == "cloud") {
		d += time.Duration(w.rng.Int64N(int64(w.weather.slow)))
	}
	if w.rng.Float64() < 0.01 {
		d += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	if w.rng.Float64() < w.loss {
		if w.rng.IntN(2) == 0 {
			return
		}
		d += w.late()
	}
	w.after(d, deliver)
}

// late is how much later than usual a message comes that was held somewhere.
func (w *World) late() time.Duration { return time.Duration(5+w.rng.IntN(100)) * time.Second }

// lateMost bounds that.
const lateMost = 105 * time.Second

// checkLead: nobody rents or returns but the leader. What a deposed one would send
// has no conditions that could stop it.
func (p *proc) checkLead(e core.CloudOp) {
	if e.Kind != core.CloudRent && e.Kind != core.CloudReturn {
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
	set.Host, set.Nonce = p.name, fmt.Sprintf("%s.%d", p.name, p.life)
	set.Peers = nil
	set.Cancel = p.w.cancel
	if p.w.coreLease > 0 {
		set.Lease = p.w.coreLease
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
	p.gate = state.NewGate(p.w.now, core.Rates{Requests: set.StateRequests / many, Changes: set.StateWrites / many})
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
	if back, instead, late := core.Late(e, p.clock()); late {
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
		if d, ok := c.(core.StateDone); ok && d.Status == StateTooMany {
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
func (p *proc) stateOp(e core.StateOp, until time.Time) {
	w, life := p.w, p.life
	sent := p.clock()
	done := func(answer func(core.Command)) func(core.StateDone) {
		return func(d core.StateDone) {
			d.Sent = sent
			w.ranked.look()
			answer(d)
		}
	}
	exec := func(answer func(core.Command)) {
		switch {
		case e.Kind == core.OpFollow && e.Hold > 0:
			p.watch(e, until, done(answer))
		case w.outage || p.stateNo:
			answer(core.StateDone{ID: e.ID, Status: core.StateRefused, Sent: sent})
		default:
			w.state.Do(w.now, e, done(answer))
		}
	}
	p.callUnless(e.Kind == core.OpTxn, until.Sub(w.now), func(answer func(core.Command)) {
		if d, ok := w.writeLate(e); ok {
			w.after(d, func() { exec(func(core.Command) {}) })
			return
		}
		exec(answer)
	}, core.StateDone{ID: e.ID, Status: core.StateUnknown}, func() {
		pause := state.TooMany + time.Duration(w.rng.Int64N(int64(state.TooManySpread)))
		w.after(pause, func() {
			switch {
			case p.life != life:
			case w.now.Before(until):
				p.stateOp(e, until)
			default:
				p.push(core.StateDone{ID: e.ID, Status: core.StateRefused})
			}
		})
	})
}

// watch opens a watch. While the service is away, or refuses the process alone, it tells
// nothing: it waits until that is over, or the process has given it up.
func (p *proc) watch(e core.StateOp, until time.Time, answer func(core.StateDone)) {
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
	w.state.Do(w.now, e, func(d core.StateDone) {
		if !silent() {
			answer(d)
		}
	})
}

func (p *proc) do(e core.Effect) {
	w := p.w
	w.ranked.leaves(p, e)
	switch e := e.(type) {
	case core.StateOp:
		// As the real client does: it waits for its turn, and tries again what is
		// refused for the rate.
		d, ok := p.gate.Wait(w.now, e)
		if !ok {
			p.push(core.StateDone{ID: e.ID, Status: core.StateRefused})
			return
		}
		life := p.life
		w.after(d, func() {
			if p.life == life {
				p.stateOp(e, w.now.Add(state.Deadline(e)))
			}
		})
	case core.Rates:
		p.gate.Set(w.now, e)
	case core.CloudOp:
		p.checkLead(e)
		p.call("cloud", false, 5*time.Second, func(answer func(core.Command)) { answer(w.cloud(e)) }, core.CloudDone{ID: e.ID, Status: core.CloudUnknown})
	case core.WorkerOp:
		m := w.machine[e.Machine]
		if m == nil {
			p.push(core.WorkerDone{ID: e.ID})
			return
		}
		p.call(m.ID, !e.Ask, 2*time.Second, func(answer func(core.Command)) {
			if !w.now.Before(m.upAt) {
				answer(w.direct(m, e))
			}
		}, core.WorkerDone{ID: e.ID})
	case core.UserReply:
		w.confirmed(e)
		p.reply(e.Reply, e)
	case core.ReportReply:
		p.reply(e.Reply, e)
	case core.RankReply:
		p.reply(e.Reply, e)
	case core.StatusReply:
		p.reply(e.Reply, e)
	case core.PromiseReply:
		p.reply(e.Reply, e)
	case core.PeerSend:
		if i := w.nodeIndex(e.To); i >= 0 {
			w.sendMsg(p.name, e.To, func() {
				if w.nodes[i].alive {
					w.nodes[i].push(e.News)
				}
			})
		}
	case core.Log:
		if !e.Debug || w.trace != "" && containsAny(fmt.Sprint(e.Args...), w.trace) {
			w.logs = append(w.logs, fmt.Sprintf("%.1f %s %s %v", w.now.Sub(w.began).Seconds(), p.name, e.Text, e.Args))
		}
	}
}

func (p *proc) reply(id uint64, e core.Effect) {
	if fn := p.replies[id]; fn != nil {
		delete(p.replies, id)
		fn(e)
	}
}

// clear takes everything off a machine.
func (w *World) clear(m *Worker) {
	for _, t := range m.tasks {
		w.leaves(t)
	}
	clear(m.tasks)
}

// leaves notes that a task takes no room any more, if it did.
func (w *World) leaves(t *workerTask) {
	if t.onMachine() {
		team := t.job.spec.Team
		w.used[team] = w.used[team].Plus(t.job.spec.Need, -1)
		w.replicaDown(t)
	}
}

// Outage takes the state service away for d; afterwards every grant has its
// full time again.
func (w *World) Outage(d time.Duration) {
	w.outage = true
	if till := w.now.Add(d); till.After(w.outageTill) {
		w.outageTill = till
	}
	w.after(d, func() {
		if w.outage = w.now.Before(w.outageTill); w.outage {
			return
		}
		w.state.Extend(w.now)
	})
}

// live counts a job's tasks on machines.
func (w *World) live(id string) int {
	k := 0
	for _, m := range w.machine {
		for _, t := range m.tasks {
			if t.job.spec.ID == id && t.onMachine() && !m.dead {
				k++
			}
		}
	}
	return k
}

// randomFault lets one thing go wrong, often while another still does.
func (w *World) randomFault(rng *rand.Rand) {
	dur := time.Duration(5+rng.IntN(35)) * time.Second
	p := w.nodes[rng.IntN(len(w.nodes))]
	hold := rng.IntN(2) == 0
	var ms []*Worker
	for _, id := range sorted(w.machine) {
		if m := w.machine[id]; m.up(w.now) {
			ms = append(ms, m)
		}
	}
	switch rng.IntN(12) {
	case 0:
		w.Crash(p.index, 5*time.Second)
	case 1:
		for i := range w.nodes {
			w.Crash(i, 5*time.Second)
		}
	case 2:
		w.Cut(p.name, "*", dur, hold)
	case 3:
		w.Cut(p.name, "state", dur, hold)
	case 4:
		w.Cut(p.name, "workers", dur, hold)
	case 5:
		w.refuse(p, dur)
	case 6:
		w.Outage(dur)
	case 7:
		w.cloudOut = true
		w.after(dur, func() { w.cloudOut = false })
	case 8:
		for _, m := range ms {
			if m.Spot && rng.IntN(2) == 0 {
				m.recallAt = w.now.Add(time.Duration(rng.IntN(15)) * time.Second)
			}
		}
	default:
		if len(ms) == 0 {
			return
		}
		m := ms[rng.IntN(len(ms))]
		switch rng.IntN(5) {
		case 0:
			w.kill(m)
		case 1, 2:
			m.hungTill = w.now.Add(dur)
		case 3:
			w.Cut(m.ID, "*", dur, hold)
		case 4:
			m.slow = 3
		}
	}
}

func containsAny(s, words string) bool {
	for _, w := range strings.Split(words, "|") {
		if strings.Contains(s, w) {
			return true
		}
	}
	return false
}
