package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/division"
)

// divide.go is the leader's part in the division: what internal/division decides is
// written on condition that this leader still leads, and counts for everybody, the
// leader too, only when the watch brings it.

// listPatience is for how long records name machines that the lists, which lag, do not
// show.
const listPatience = time.Minute

// loadWeight is the weight of the newest word on what a team keeps busy, one a second:
// a mean over a minute, as teams that are alike differ by half from one moment to the
// next, and a move for that would be one in vain.
const loadWeight = 1.0 / 60

// dividing is what the leader knows for the division.
type dividing struct {
	div  *division.Divider
	busy bool
	// rev is when it last wrote: nothing more is planned before that has been read.
	rev uint64
	// rented are machines that were rented for a controller and that no record
	// names for it yet.
	rented map[string]division.Rented
	offers map[string]division.Offer
	loads  map[string]float64
}

// bounds are the state service's limits.
func (n *Node) bounds() bounds.Limits {
	return bounds.Limits{ValueBytes: n.set.ValueBytes, Ops: n.set.TxnOps}
}

// boundsOf are those that a transaction keeps to. As long as a controller of the version
// before can come back, records of tasks are as it writes and reads them.
func (n *Node) boundsOf(op *StateOp) bounds.Limits {
	l := n.bounds()
	if n.taskForm().part {
		return l
	}
	for _, a := range op.Apply {
		if strings.HasPrefix(a.Key, taskPrefix) || a.Key == probeKey {
			l.ValueBytes = n.set.presentBytes()
		}
	}
	return l
}

func newDividing(n *Node) dividing {
	return dividing{
		div:    division.New(n.bounds(), fmt.Sprint(n.sess.leadStamp), n.set.Policy.ShareInterval, n.now),
		rented: map[string]division.Rented{}, offers: map[string]division.Offer{}, loads: map[string]float64{},
	}
}

// divide writes the next change of the division, if there is one.
func divide(n *Node) {
	l, s := n.leader, &n.sess
	x := &l.divide
	if x.busy || s.rev < x.rev || !s.loaded || n.now.After(s.sureUntil) {
		return
	}
	in := division.Input{Book: s.book, Self: n.set.Host, Load: x.loads, Offers: x.offers, Gone: n.surelyGone}
	for _, h := range sortedKeys(s.nodes) {
		r := s.nodes[h]
		deaf := r.Deaf || h == n.set.Host && s.deaf(n.now)
		in.Nodes = append(in.Nodes, division.Node{Host: h, Nonce: r.Nonce, Able: !deaf, Young: n.young(r)})
	}
	for _, t := range n.set.Teams {
		in.Teams = append(in.Teams, t.Name)
	}
	for _, id := range sortedKeys(x.rented) {
		r := x.rented[id]
		if o, ok := s.book.Owner(id); ok && o.Host == r.Host || n.surelyGone(id) {
			delete(x.rented, id)
			continue
		}
		in.New = append(in.New, r)
	}
	ws := x.div.Plan(n.now, in)
	clear(x.offers)
	if len(ws) == 0 {
		return
	}
	op := StateOp{Kind: OpTxn, Prio: PrioSession, When: []Cond{{leadKey, l.stamp}}}
	for _, w := range ws {
		key := lotPrefix + w.Name
		if w.Share {
			key = sharePrefix + w.Name
			n.info("division", "share", w.Name, "gone", w.Value == nil)
		}
		op.When = append(op.When, Cond{key, w.Stamp})
		op.Apply = append(op.Apply, Change{Key: key, Value: w.Value})
	}
	x.busy = true
	gen := l.gen
	n.ask(op, func(d StateDone) {
		if n.leader == nil || n.leader.gen != gen {
			return
		}
		x.busy = false
		if d.Status == StateOK || d.Status == StateConflict {
			// After a conflict the watch is behind.
			x.rev = d.Rev
			return
		}
		pause := n.jitter(retryPause)
		if d.Status == StateBad {
			// The same would be planned again. Other changes may go meanwhile, when what
			// they rest on is another.
			pause = defectPause
		}
		n.after(pause, func() {
			if n.leader != nil && n.leader.gen == gen {
				divide(n)
			}
		})
	})
}

// surelyGone says that a machine is gone: its return was answered, or the cloud has
// not listed it for long. That is no proof for what ran there, only for the records.
func (n *Node) surelyGone(id string) bool {
	l := n.leader
	if l.answered[id] {
		return true
	}
	if r := l.rentals[id]; r != nil {
		return !r.gone.IsZero()
	}
	at, missed := l.unlisted[id]
	return missed && n.now.Sub(at) > listPatience
}

// missed notes which machines that records name a list does not show. A new one is
// missing for a while, and so is all that a former leader rented just before.
func missed(n *Node) {
	l := n.leader
	n.sess.book.Each(func(id string) {
		if l.rentals[id] != nil {
			delete(l.unlisted, id)
		} else if _, known := l.unlisted[id]; !known {
			l.unlisted[id] = n.now
		}
	})
	for id := range l.unlisted {
		if !n.sess.book.Named(id) {
			delete(l.unlisted, id)
		}
	}
}

// loadsOf takes in what an owner's teams keep busy, as a mean over the last while.
func loadsOf(n *Node, ls []TeamLoad) {
	loads := n.leader.divide.loads
	for _, x := range ls {
		if _, known := loads[x.Team]; !known {
			loads[x.Team] = x.CPU
		}
		loads[x.Team] += loadWeight * (x.CPU - loads[x.Team])
	}
}

// ownNews is what this leader, as an owner, would tell the leader.
func ownNews(n *Node) {
	l, o := n.leader, n.owner
	loadsOf(n, n.teamLoads())
	if a, ok := l.divide.div.Asked(); ok && a.From == n.set.Host {
		o.release, o.releaseAt = a, n.now
		for _, x := range n.offers() {
			l.divide.offers[x.Team] = x
		}
	}
}
