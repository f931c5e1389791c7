package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/boottime"
	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/pace"
	"github.com/micahill/micahill/internal/selfmonitor"
	"github.com/micahill/micahill/internal/validate"
)

// Node is one controller. All of its state belongs to the goroutine that
// calls Step.
type Node struct {
	set  Settings
	rng  *rand.Rand
	now  time.Time
	out  []Effect
	next uint64

	state  map[uint64]func(StateDone)
	clouds map[uint64]func(CloudDone)
	calls  map[uint64]func(WorkerDone)
	timers []timer

	sess    session
	users   users
	owner   *owner
	leader  *leader
	types   map[string]Flavour
	display map[string]Progress
	// accuracy of the workloads' estimates outlives a loss of the owner role.
	errs map[string]*estimate
	role Role
	// raising: machines are being named once more for a higher epoch.
	raising bool
	// returned remembers machines whose return was asked for: neither an old
	// list nor a late report may bring them back.
	returned map[string]bool
	// inherited is what the owner before told of the workloads.
	inherited map[loadKey]Load
	// heirloom is what other owners last told of their machines.
	heirloom map[string]HostNews
	pruned   time.Time
	// away is when each of the others last said that the state service does
	// not answer there.
	away     map[string]time.Time
	toldAway time.Time
	// selfMonitor and strays are what this node hears of workers, and which it sent on;
	// see deaf.go.
	selfMonitor selfmonitor.Monitor
	strays      selfmonitor.Strays
	toldStrays  time.Time
	// askingStrays counts the questions under way to machines that came back.
	askingStrays int
	// came are reports of others' machines that these are to be told of.
	came map[string][]Came
	// askedHears is when a worker was last asked whether it hears this node again.
	askedHears time.Time
	// boots is what was learnt of how long machines of each kind take to come up.
	boots map[kind]*boottime.Kind
	// pace divides planning into slices, and sliced is the work of the last one.
	pace   pace.Pace
	sliced int
	// placed: the last step had a round of placing in it.
	placed  bool
	budgets budgets
	// defects counts requests that were malformed, and malformed has those that the
	// state service said so of: none is sent again as it is.
	defects   int
	malformed map[uint64]bool
	// badInput counts what made no sense, and complaints are what was told of it.
	badInput   int
	complaints validate.Minute
	// guests are the loans this cluster has taken, as far as this node has read.
	guests guests
	// cancels are the cancellations that peers are told of; see cancelnews.go.
	cancels cancelNews
	// promises is what is known of promised dates beside the jobs.
	promises promises
}

type timer struct {
	at time.Time
	fn func()
}

// New makes a controller that knows nothing yet. Step starts it.
func New(set Settings, rng *rand.Rand) *Node {
	n := &Node{
		set: set, rng: rng,
		state:    map[uint64]func(StateDone){},
		clouds:   map[uint64]func(CloudDone){},
		calls:    map[uint64]func(WorkerDone){},
		display:  map[string]Progress{},
		errs:     map[string]*estimate{},
		returned: map[string]bool{}, inherited: map[loadKey]Load{}, heirloom: map[string]HostNews{}, away: map[string]time.Time{},
	}
	n.malformed = map[uint64]bool{}
	n.cancels.told = map[string]*cancelTelling{}
	n.boots = map[kind]*boottime.Kind{}
	n.budgets.others = map[string]told{}
	n.users.init()
	return n
}

// Step takes a batch of commands at one moment and returns what is to be done.
func (n *Node) Step(now time.Time, cmds []Command) []Effect {
	n.now = now
	n.out = nil
	n.selfMonitor.Run(now)
	if !n.sess.started {
		n.sessionStart()
	}
	for _, c := range cmds {
		n.command(c)
	}
	n.runTimers()
	n.tellAway()
	n.usersFlush()
	if n.owner != nil {
		n.ownerTick()
	}
	if n.leader != nil {
		n.leaderTick()
	}
	if r := (Role{Leader: n.leader != nil, Owner: n.owner != nil}); r != n.role {
		n.role = r
		n.emit(r)
	}
	return n.out
}

func (n *Node) command(c Command) {
	switch c := c.(type) {
	case Submit:
		n.submit(c)
	case Query:
		n.query(c)
	case Abort:
		n.abort(c)
	case WorkerReport:
		if !comesLate(n, &c) {
			n.workerReport(c)
		}
	case StateDone:
		if c.Status != StateUnknown && c.Status != StateRefused {
			n.sess.stateBad = time.Time{}
		} else if n.sess.stateBad.IsZero() {
			n.sess.stateBad = n.now
		}
		if fn := n.state[c.ID]; fn != nil {
			delete(n.state, c.ID)
			fn(c)
		}
	case CloudDone:
		if fn := n.clouds[c.ID]; fn != nil {
			delete(n.clouds, c.ID)
			fn(c)
		}
	case WorkerDone:
		if fn := n.calls[c.ID]; fn != nil {
			delete(n.calls, c.ID)
			fn(c)
		}
	case StatusQuery:
		n.status(c)
	case LoanOp:
		loanOp(n, c)
	case LoanQuery:
		loanQuery(n, c)
	case RenewOp:
		renewOp(n, c)
	case RankSet:
		rankSet(n, c)
	case RankQuery:
		rankQuery(n, c)
	case DrainOp:
		drainOp(n, c)
	case PromiseQuery:
		promiseQuery(n, c)
	case PeerNews:
		if bad := c.bad(); bad != "" {
			n.complain("news", c.From, bad)
			break
		}
		if c.StateAway {
			n.away[c.From] = n.now
		}
		if c.Rates != nil {
			n.budgets.others[c.From] = told{n.now, *c.Rates}
		}
		if !n.current(&c) {
			break
		}
		if len(c.Cancelled) > 0 {
			takeCancelled(n, c.From, c.Cancelled)
		}
		cancelsHeard(n, c.From, c.CancelsHeard)
		for _, p := range c.Progress {
			n.display[p.ID] = p
		}
		n.inherit(c.Loads)
		for _, q := range c.Quotes {
			if n.promising() {
				takeQuotes(n, c.From, q.Value, true)
			}
		}
		if n.owner != nil {
			takeAsks(n, c.From, c.Wards)
			takeTold(n, c.From, c.Told)
			takeCame(n, c.Came)
		}
		for _, h := range c.Hosts {
			h.heard = n.now
			n.heirloom[h.ID] = h
		}
		if len(c.Hosts) > 0 && n.now.Sub(n.pruned) > hostMemory {
			// What nobody names any more is gone. The memory is judged again
			// when it is used, from when the last news came.
			n.pruned = n.now
			for id, h := range n.heirloom {
				if n.now.Sub(h.heard) > hostMemory {
					delete(n.heirloom, id)
				}
			}
		}
		if c.Asks && n.leader != nil {
			n.leader.takeNews(n.now, c)
		}
		if c.Tells && n.owner != nil && n.leader == nil && c.Life == n.sess.lead.Nonce {
			n.viewNews(c)
		}
	}
}

// Deadline is when Step wants to be called at the latest, if nothing comes.
func (n *Node) Deadline() time.Time {
	var t time.Time
	earliest := func(o time.Time) {
		if !o.IsZero() && (t.IsZero() || o.Before(t)) {
			t = o
		}
	}
	for _, tm := range n.timers {
		earliest(tm.at)
	}
	if n.owner != nil {
		earliest(n.owner.wake)
		if n.owner.pass != nil {
			earliest(n.owner.passAt)
		}
	}
	if n.leader != nil {
		earliest(n.leader.wake)
	}
	return t
}

// Healthy says whether this node can take requests now.
func (n *Node) Healthy(now time.Time) bool {
	return n.sess.ready && (!n.stateDown(now) || n.outageShared(now))
}

func (n *Node) after(d time.Duration, fn func()) {
	n.timers = append(n.timers, timer{n.now.Add(d), fn})
}

func (n *Node) runTimers() {
	var due []timer
	keep := n.timers[:0]
	for _, t := range n.timers {
		if t.at.After(n.now) {
			keep = append(keep, t)
		} else {
			due = append(due, t)
		}
	}
	n.timers = keep
	for _, t := range due {
		t.fn()
	}
}

func (n *Node) emit(e Effect) {
	if p, ok := e.(PeerSend); ok {
		p.News.Life = n.life()
		e = p
	}
	n.out = append(n.out, e)
}

func (n *Node) id() uint64 { n.next++; return n.next }

// ask sends a request to the state service. One that passes its limits does not
// leave: it would be refused as malformed, as often as it is sent, and count against
// the limit of requests. It is a defect, told of as an error, and answered as such.
func (n *Node) ask(op StateOp, fn func(StateDone)) {
	op.ID = n.id()
	if op.Kind == OpTxn {
		when, apply := make([]string, len(op.When)), make([]bounds.Change, len(op.Apply))
		for i, c := range op.When {
			when[i] = c.Key
		}
		for i, c := range op.Apply {
			apply[i] = bounds.Change{Key: c.Key, Value: c.Value}
		}
		if err := n.boundsOf(&op).Txn(when, apply); err != nil {
			n.defect("a request passes the state service's limits", "err", err)
			n.after(0, func() { fn(StateDone{ID: op.ID, Status: StateBad, Sent: n.now}) })
			return
		}
		if len(n.malformed) > 0 && n.malformed[opHash(&op)] {
			// Called malformed before, as it is.
			n.after(retryPause, func() { fn(StateDone{ID: op.ID, Status: StateBad, Sent: n.now}) })
			return
		}
		given := fn
		fn = func(d StateDone) {
			if d.Status == StateBad {
				n.defect("the state service calls a transaction malformed", "changes", len(op.Apply), "first", firstKey(&op))
				if len(n.malformed) >= malformedMost {
					clear(n.malformed)
				}
				n.malformed[opHash(&op)] = true
			}
			given(d)
		}
	}
	n.budgets.asked(&op)
	n.state[op.ID] = fn
	n.emit(op)
}

// malformedMost bounds how many malformed transactions are remembered.
const malformedMost = 256

// opHash tells transactions apart by what they would do.
func opHash(op *StateOp) uint64 {
	h := xxhash.New()
	for _, c := range op.When {
		fmt.Fprint(h, c.Key, c.Stamp, ";")
	}
	for _, a := range op.Apply {
		fmt.Fprint(h, a.Key, a.Grant, len(a.Value), ":")
		h.Write(a.Value)
	}
	return h.Sum64()
}

func firstKey(op *StateOp) string {
	if len(op.Apply) == 0 {
		return ""
	}
	return op.Apply[0].Key
}

// defect tells of a mistake of this program's that it goes on with.
func (n *Node) defect(text string, args ...any) {
	n.defects++
	n.emit(Log{Error: true, Text: text, Args: args})
}

func (n *Node) askCloud(op CloudOp, fn func(CloudDone)) {
	op.ID = n.id()
	n.clouds[op.ID] = fn
	n.emit(op)
}

func (n *Node) call(op WorkerOp, fn func(WorkerDone)) {
	op.ID = n.id()
	n.calls[op.ID] = fn
	n.emit(op)
}

func (n *Node) info(text string, args ...any)  { n.emit(Log{Text: text, Args: args}) }
func (n *Node) debug(text string, args ...any) { n.emit(Log{Debug: true, Text: text, Args: args}) }

// jitter spreads d by a quarter either way, so that controllers that fell
// over together do not come back in step.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + n.rng.Float64()/2))
}

// spread is d, give or take a half.
func (n *Node) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + n.rng.Float64()))
}
