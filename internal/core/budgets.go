package core

import (
	"math"
	"time"

	"github.com/micahill/micahill/internal/budget"
)

// budgets.go divides the limits of the state service among the controllers: each tells
// the others once a second what it asks for, and reckons its own part.

const (
	// pulseEvery is how often the others are told.
	pulseEvery = time.Second
	// pulseFresh is how long a word counts; after that a controller that lives is
	// taken to need what its roles mostly do.
	pulseFresh = 10 * time.Second
	// ownerAsks and otherAsks are what a controller asks for a second, requests and
	// changes, as long as it has not said so.
	ownerRequests, ownerChanges = 25, 10
	otherRequests, otherChanges = 8, 1.5
	// partStep is by how much a part must change to be passed on.
	partStep = 0.05
	// writeAhead is for how long the owner's writes under way may keep its part of the
	// changes busy. What waits longer is put together late: it shares writes, the most
	// urgent comes first, jobs that were cancelled meanwhile fail no write of others, and
	// what users wait for finds the part with room.
	writeAhead = 500 * time.Millisecond
	// writeLeast is how many changes may be under way however small the part: an end.
	writeLeast = 2
)

// Rates is what a controller asks of the state service a second.
type Rates struct {
	Requests float64
	Changes  float64
}

// budgets is what this controller asks for, and what the others have said.
type budgets struct {
	requests, changes budget.Meter
	others            map[string]told
	part              Rates
	// short: what is asked for has not the usual headroom in its part.
	short bool
}

type told struct {
	at time.Time
	Rates
}

// asked notes a request to the state service.
func (b *budgets) asked(op *StateOp) {
	b.requests.Add(1)
	b.changes.Add(float64(len(op.Apply)))
}

// pulse tells the others what this controller asks for, and passes its part on.
func pulse(n *Node) {
	n.after(pulseEvery, func() { pulse(n) })
	b := &n.budgets
	r := Rates{b.requests.Rate(n.now), b.changes.Rate(n.now)}
	for _, p := range n.set.Peers {
		n.emit(PeerSend{To: p, News: PeerNews{From: n.set.Host, Rates: &r}})
	}
	if n.set.StateRequests <= 0 || n.set.StateWrites <= 0 {
		return
	}
	requests, changes := []float64{r.Requests}, []float64{r.Changes}
	for _, h := range n.set.Peers {
		if _, lives := n.sess.nodes[h]; !lives && n.sess.loaded {
			continue
		}
		x := b.others[h]
		if n.now.Sub(x.at) > pulseFresh {
			x.Rates = Rates{otherRequests, otherChanges}
			for _, s := range n.sess.book.Shares() {
				if s.Host == h && len(s.Teams) > 0 {
					x.Rates = Rates{ownerRequests, ownerChanges}
				}
			}
		}
		requests, changes = append(requests, x.Requests), append(changes, x.Changes)
	}
	part := Rates{budget.Divide(n.set.StateRequests, requests)[0], budget.Divide(n.set.StateWrites, changes)[0]}
	b.short = r.Changes*budget.Headroom > part.Changes*(1+partStep)
	if differs(part.Requests, b.part.Requests) || differs(part.Changes, b.part.Changes) {
		b.part = part
		n.emit(part)
	}
}

// changesShort says that there are hardly enough changes for what can't wait.
func (n *Node) changesShort() bool { return n.budgets.short }

// roomToWrite is how many changes more the owner may have under way.
func (n *Node) roomToWrite() int {
	part := n.budgets.part.Changes
	if part <= 0 {
		part = n.set.StateWrites / float64(1+len(n.set.Peers))
	}
	if part <= 0 {
		return n.set.TxnOps
	}
	return max(writeLeast, int(part*writeAhead.Seconds())) - n.owner.ahead
}

// write sends a write of the owner's and counts it as under way.
func (n *Node) write(op StateOp, fn func(StateDone)) {
	o, changes := n.owner, len(op.Apply)
	o.inFlight++
	o.ahead += changes
	n.ask(op, func(d StateDone) {
		o.inFlight--
		o.ahead -= changes
		fn(d)
	})
}

func differs(a, b float64) bool { return math.Abs(a-b) > partStep*b }

func (Rates) effect() {}
