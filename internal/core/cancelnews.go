package core

import (
	"time"

	"github.com/micahill/micahill/internal/validate"
)

// cancelnews.go has controllers tell each other of cancellations. The record in the state
// service is what counts, and a job's owner hears of it by its watch. One that has lost
// the state service would not: its machines' leases bound how long the tasks last (see
// horizon.go), at the price of everything else on them. So whoever has confirmed a
// cancellation tells the others too, once its record is durable, and again until they say
// that they have heard; who does not own the job passes it on to its owner, whose link to
// the first may be cut. What is told this way stops tasks and proves nothing: it moves no
// horizon, since nobody vouches that it is all there is.

const (
	// cancelGather is how long a cancellation waits for others to share its message.
	cancelGather = 50 * time.Millisecond
	// cancelAgain separates two messages of the same to a peer that has not answered.
	cancelAgain = time.Second
	// cancelNewsMost bounds the jobs in a message, of some hundred bytes each, and
	// cancelNewsKept those that wait to be heard; what is more is left to the records.
	cancelNewsMost = 200
	cancelNewsKept = 2000
)

// CancelNews is a job's record in open/ as its cancellation has written it.
type CancelNews struct {
	ID     string
	Record []byte
	Stamp  uint64
}

// cancelTelling is what was told to peers that have not acknowledged it yet.
type cancelTelling struct {
	news CancelNews
	// owed are those peers, and when it was last sent to them.
	owed  map[string]time.Time
	until time.Time
}

// cancelNews is what this node has told peers: by job, whether some wait for more to go
// with them, and whether some will be sent again.
type cancelNews struct {
	told                 map[string]*cancelTelling
	gathering, repeating bool
}

// tellCancelled tells peers of a cancellation whose record is durable.
func tellCancelled(n *Node, news CancelNews, peers []string) {
	if n.cancels.told[news.ID] != nil || len(n.cancels.told) >= cancelNewsKept || len(peers) == 0 {
		return
	}
	// Later the lease has done what this is for.
	x := &cancelTelling{news: news, owed: map[string]time.Time{}, until: n.now.Add(n.set.Cancel)}
	for _, p := range peers {
		x.owed[p] = time.Time{}
	}
	n.cancels.told[news.ID] = x
	if !n.cancels.gathering {
		n.cancels.gathering = true
		n.after(cancelGather, func() {
			n.cancels.gathering = false
			n.tellCancellations()
		})
	}
}

// tellCancellations sends what is owed, and goes on as long as anything is.
func (n *Node) tellCancellations() {
	to := map[string][]CancelNews{}
	for _, id := range sortedKeys(n.cancels.told) {
		x := n.cancels.told[id]
		if n.now.After(x.until) || len(x.owed) == 0 {
			delete(n.cancels.told, id)
			continue
		}
		for p, sent := range x.owed {
			if n.now.Sub(sent) >= cancelAgain && len(to[p]) < cancelNewsMost {
				x.owed[p] = n.now
				to[p] = append(to[p], x.news)
			}
		}
	}
	for _, p := range sortedKeys(to) {
		n.emit(PeerSend{To: p, News: PeerNews{From: n.set.Host, Cancelled: to[p]}})
	}
	if len(n.cancels.told) > 0 && !n.cancels.repeating {
		n.cancels.repeating = true
		n.after(cancelAgain, func() {
			n.cancels.repeating = false
			n.tellCancellations()
		})
	}
}

// takeCancelled takes in cancellations that a peer tells of. One that does not fit what is
// known of the job is passed over: the record will tell.
func takeCancelled(n *Node, from string, told []CancelNews) {
	var heard []string
	for _, c := range told {
		heard = append(heard, c.ID)
		var r openRecord
		if !decode(c.Record, &r) || !r.Cancelled || r.bad() != "" {
			n.complain("news", from, "a cancellation that can't be read")
			continue
		}
		l, open := n.users.mirror.open[c.ID]
		if !open || l.rec.Cancelled || c.Stamp <= l.stamp || r.At != l.rec.At || r.Team != l.rec.Team || r.Tasks != l.rec.Tasks {
			continue
		}
		if n.owner != nil && n.owner.jobs[c.ID] != nil {
			n.ownerSees(Item{Key: openPrefix + c.ID, Value: c.Record, Stamp: c.Stamp})
			continue
		}
		if s := n.sess.book.Team(r.Team); s != nil && s.Host != n.set.Host && s.Host != from {
			tellCancelled(n, c, []string{s.Host})
		}
	}
	n.emit(PeerSend{To: from, News: PeerNews{From: n.set.Host, CancelsHeard: heard}})
}

// cancelsHeard notes that a peer has heard of cancellations.
func cancelsHeard(n *Node, from string, jobs []string) {
	for _, id := range jobs {
		if x := n.cancels.told[id]; x != nil {
			delete(x.owed, from)
		}
	}
}

// badCancels judges what a peer tells of cancellations.
func badCancels(k *validate.Check, c *PeerNews) {
	k.Count("cancelled", len(c.Cancelled), 0, cancelNewsMost)
	for _, x := range c.Cancelled {
		k.Name("cancelled.id", x.ID, true)
	}
	k.Count("cancels_heard", len(c.CancelsHeard), 0, cancelNewsMost)
	for _, id := range c.CancelsHeard {
		k.Name("cancels_heard.id", id, true)
	}
}
