package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/core"
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
	types  map[string]core.MachineType
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
	// Started counts starts, and StartedCancelled those after an answer has left that says
	// that the job is cancelled.
	Started, StartedCancelled int
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
	// reporter sends a worker's report; rented is told of new machines, and gone of
	// those that are gone for good.
	reporter func(*Worker)
	rented   func(*Worker)
	gone     func(*Worker)
	// learn, when set, is where workers fetch the description of a job that nobody
	// told them of.
	learn func(id string) (core.JobSpec, time.Duration, bool)
	// stills picks the effect before which a process stands still, for stillFor.
	stills   func(*proc, core.Effect) bool
	stillFor time.Duration
	// ends picks the effect with which a process ends.
	ends func(*proc, core.Effect) bool
	// weather is there on days with troubles of no list.
	weather *weather
	laterTroubles
	// slack is the least that was left to each rule with a time.
	slack map[string]Slack
	// waitingNext is when is looked next at what waits.
	waitingNext time.Time
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

// NewWorld makes a world with n controllers, which start at once.
func NewWorld(seed uint64, n int, set core.Settings, cancel time.Duration, types []core.MachineType, room map[string]int) *World {
	w := &World{
		now: time.Unix(1_750_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), set: set, cancel: cancel,
		state: NewStateService(), machine: map[string]*Worker{}, types: map[string]core.MachineType{},
		room: room, booked: map[string][]string{}, jobs: map[string]*userJob{}, cuts: map[string]*cut{}, oneWay: map[string]int{},
		used: map[string]core.Resources{}, slack: map[string]Slack{}, calls: rate.NewLimiter(rate.Inf, 1),
	}
	if set.CloudRequestsPerSecond > 0 {
		// Bursts of two seconds' worth.
		w.calls = rate.NewLimiter(rate.Limit(set.CloudRequestsPerSecond), max(1, int(2*set.CloudRequestsPerSecond)))
	}
	w.began = w.now
	w.state.Limit(set)
	w.reporter, w.rented, w.gone = w.sendReport, func(*Worker) {}, func(*Worker) {}
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
	w.advanceAll(tick)
	w.checkAll()
	w.bringKept()
	w.checkWaiting()
	w.after(tick, w.tick)
}

// advanceAll moves all machines on. Those that are gone for good are looked at no more.
func (w *World) advanceAll(step time.Duration) {
	keep := w.fleet[:0]
	for _, m := range w.fleet {
		if !m.recallAt.IsZero() && !w.now.Before(m.recallAt) {
			w.kill(m)
			m.taken = true
		}
		w.advance(m, step)
		if m.returned || m.taken {
			w.gone(m)
			continue
		}
		keep = append(keep, m)
	}
	w.fleet = keep
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
		w.used[team] = w.used[team].AddScaled(t.job.spec.Need, -1)
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
