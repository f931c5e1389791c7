package core

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/market"
)

// trade.go carries out what the owners ask of the cloud, and hands over what one has
// to spare and another wants; what is decided is in internal/market.

const (
	// handMost bounds the machines handed over in one look, and handPause is how long
	// one that was stays where it is: to and fro it would only report.
	handMost  = 200
	handPause = 20 * time.Second
	// spareMost bounds the machines that an owner says it has to spare.
	spareMost = 200
	// handTime is how long a machine that is handed over takes to be of use there.
	handTime = 2 * time.Second
	// coming is the status of a machine that is being handed over, for whoever gets it.
	coming = "coming"
)

func (k kind) market() market.Kind {
	return market.Kind{Flavour: k.flavour, Zone: k.zone, Spot: k.spot}
}

func coreKind(k market.Kind) kind { return kind{k.Flavour, k.Zone, k.Spot} }

// wish is what an owner asks of the leader.
type wish struct {
	host  string
	wants map[kind]int
	gone  []string
	spare []string
}

// wishes are those of all owners whose word is fresh.
func wishes(n *Node) []wish {
	l := n.leader
	var out []wish
	if o := n.owner; o != nil && o.ready {
		// What could not be booked at once stays wanted until the next look.
		out = append(out, wish{n.set.Host, o.wants, o.gone, o.spare})
		o.gone = nil
	}
	for _, host := range sortedKeys(l.news) {
		w, ok := n.heard(host)
		if !ok || w.news.Seq < l.needSeq[host] {
			continue
		}
		x := wish{host, map[kind]int{}, w.news.Idle, w.news.ToSpare}
		for _, k := range w.news.Wants {
			x.wants[kind{k.Flavour, k.Zone, k.Spot}] += k.Count
		}
		out = append(out, x)
	}
	return out
}

// trade meets the wishes.
func trade(n *Node) {
	l := n.leader
	if n.sess.rev < l.divide.rev {
		// Whose the machines are is not known before what was written has been read.
		return
	}
	all := wishes(n)
	var owners []market.Owner
	for _, w := range all {
		o := market.Owner{Host: w.host, Wants: map[market.Kind]int{}}
		for k, c := range w.wants {
			o.Wants[k.market()] = c
		}
		for _, id := range w.spare {
			if r := l.rentals[id]; r != nil && r.status == "running" && handable(n, id, w.host) {
				o.Spare = append(o.Spare, market.Machine{ID: id, Kind: r.kind.market()})
			}
		}
		owners = append(owners, o)
	}
	moves, books := market.Match(owners, market.Limits{
		Moves: handMost, Bookings: n.bookings(), Each: rentMost,
		// One more wish is heard only when all bookings of it are answered.
		Busy: func(host string, k market.Kind) bool {
			return l.renting[ask{host, coreKind(k)}] > 0 || l.blocked[coreKind(k)].After(n.now)
		},
	})
	for _, m := range moves {
		l.divide.rented[m.ID] = division.Rented{ID: m.ID, Host: m.To, At: n.now}
		l.handed[m.ID] = n.now
		l.rentals[m.ID].handed = n.now
		// Its wishes count again when it knows of these.
		l.needSeq[m.To] = l.seq + 1
		n.debug("handed over", "machine", m.ID, "from", m.From, "to", m.To)
	}
	for i := range all {
		w := &all[i]
		if w.host == n.set.Host {
			for k := range w.wants {
				// What is left of them stays wanted until the next look.
				j := slices.IndexFunc(owners, func(o market.Owner) bool { return o.Host == w.host })
				w.wants[k] = owners[j].Wants[k.market()]
			}
		}
		giveBackFor(n, w.host, w.gone)
	}
	for _, b := range books {
		n.rentKind(b.Host, coreKind(b.Kind), b.Count, "")
	}
	for id, at := range l.handed {
		if n.now.Sub(at) > handPause {
			delete(l.handed, id)
		}
	}
}

// handable says that a machine may be handed over by an owner now.
func handable(n *Node, id, host string) bool {
	l := n.leader
	_, promised := l.divide.rented[id]
	_, lately := l.handed[id]
	return n.ownerOf(id) == host && !promised && !lately && !n.returned[id]
}

// giveBackFor returns machines that their owner no longer wants.
func giveBackFor(n *Node, host string, gone []string) {
	l := n.leader
	var back []string
	for _, id := range gone {
		_, promised := l.divide.rented[id]
		r := l.rentals[id]
		switch {
		case n.ownerOf(id) != host || promised:
		case l.answered[id]:
			n.goneAlready(id, host)
		case len(back) < returnMost && (r == nil || !r.returning):
			back = append(back, id)
		}
	}
	if len(back) > 0 {
		n.giveBack(back)
	}
}

// spareFor counts what others than an owner have to spare, by kind.
func spareFor(n *Node, host string) []Want {
	l := n.leader
	by := map[kind]int{}
	count := func(of string, ids []string) {
		for _, id := range ids {
			if r := l.rentals[id]; of != host && r != nil && r.status == "running" && handable(n, id, of) {
				by[r.kind]++
			}
		}
	}
	if o := n.owner; o != nil && o.ready {
		count(n.set.Host, o.spare)
	}
	for _, h := range sortedKeys(l.news) {
		if w, ok := n.heard(h); ok {
			count(h, w.news.ToSpare)
		}
	}
	var out []Want
	for _, k := range sortedKinds(by) {
		out = append(out, Want{k.flavour, k.zone, k.spot, by[k]})
	}
	return out
}
