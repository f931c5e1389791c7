package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/moves"
)

const (
	// leaderPeriod is how often the leader looks at the fleet.
	leaderPeriod = time.Second
	// typesEvery is how often prices are read again.
	typesEvery = 30 * time.Second
	// refusedPause keeps from asking again at once for a kind of machine the
	// cloud has just refused.
	refusedPause = 12 * time.Second
	// rentMost and returnMost are the cloud's limits for one request.
	rentMost   = 50
	returnMost = 100
	// settleTime after a takeover: nobody is taken for silent or idle before.
	settleTime = 8 * time.Second
)

// Want is a wish for machines of one kind.
type Want struct {
	Flavour string
	Zone    string
	Spot    bool
	Count   int
}

type kind struct {
	flavour string
	zone    string
	spot    bool
}

type peerWants struct {
	at   time.Time
	news PeerNews
}

// takeNews takes in what an owner asks. Another life of it knows nothing of what its
// former one was told.
func (l *leader) takeNews(now time.Time, c PeerNews) {
	if l.news[c.From].news.Life != c.Life {
		delete(l.acked, c.From)
		for _, r := range l.rentals {
			if r.toldTo == c.From {
				r.toldTo = ""
			}
		}
	}
	l.news[c.From] = peerWants{at: now, news: c}
}

// heard is an owner's word, if it is fresh and of the life that takes part now: what a
// former one did not need, the present one may.
func (n *Node) heard(host string) (peerWants, bool) {
	w, ok := n.leader.news[host]
	return w, ok && n.now.Sub(w.at) <= newsFresh && n.current(&w.news)
}

// newsFresh is how long an owner's wishes and a leader's view hold.
const newsFresh = 4 * time.Second

// ask is a booking under way for an owner.
type ask struct {
	owner string
	kind  kind
}

// view is what an owner knows of its machines from the leader.
type view struct {
	from    string
	life    string
	seq     uint64
	at      time.Time
	rentals map[string]*rental
	blocked map[kind]time.Time
	renting map[kind]int
	// spare is what other owners have to spare.
	spare map[kind]int
}

// rental is a machine as the cloud knows it.
type rental struct {
	kind
	id        string
	addr      string
	since     time.Time
	status    string
	returning bool
	listed    time.Time
	// toldTo, toldAs and toldSeq are which owner was last told what of it, and by
	// which news; told is when an owner was told of it.
	toldTo, toldAs string
	toldSeq        uint64
	told           time.Time
	// handed is when it was last handed over to another owner.
	handed time.Time
	// gone is when its return was answered; kept a while for its owner to hear.
	gone time.Time
}

// leader owns the dealings with the cloud and writes the shares.
type leader struct {
	stamp    uint64
	gen      int
	wake     time.Time
	looked   time.Time
	told     time.Time
	rentals  map[string]*rental
	listedOK bool
	listing  bool
	listAt   time.Time
	blocked  map[kind]time.Time
	renting  map[ask]int
	// answered are machines whose return this leader has had answered; late lists
	// go on naming them.
	answered map[string]bool
	// booking names the requests to rent that are not answered yet.
	booking map[string]bool
	// seq numbers what the owners are told; an owner's wishes count only when
	// it knows of what was rented for it last, which is needSeq.
	seq     uint64
	needSeq map[string]uint64
	booked  uint64
	news    map[string]peerWants
	divide  dividing
	// turn says which machines the owners are told of next, and acked up to which
	// of its news each has them all.
	turn  int
	acked map[string]uint64
	// handed is when a machine was last handed over.
	handed map[string]time.Time
	// emptying are the hosts that owners are asked to empty for others.
	emptying moves.Emptying
	// unlisted are machines that records name and lists do not show, since when.
	unlisted map[string]time.Time
}

func (n *Node) loadTypes() {
	n.askCloud(CloudOp{Kind: CloudTypes}, func(d CloudDone) {
		if d.Status == CloudOK {
			n.types = map[string]Flavour{}
			for _, f := range d.Flavours {
				n.types[f.Name] = f
			}
			if n.owner != nil {
				for _, m := range n.owner.machines {
					if f, ok := n.types[m.flavour]; ok {
						m.size, m.disk = f.Size, f.DiskGB
					}
				}
			}
			n.after(n.jitter(typesEvery), n.loadTypes)
			return
		}
		n.after(n.jitter(time.Second), n.loadTypes)
	})
}

func (n *Node) becomeLeader() {
	if n.leader != nil && n.leader.stamp == n.sess.leadStamp {
		divide(n)
		return
	}
	n.leader = &leader{
		stamp: n.sess.leadStamp, gen: int(n.id()),
		rentals: map[string]*rental{}, blocked: map[kind]time.Time{}, renting: map[ask]int{}, booking: map[string]bool{}, needSeq: map[string]uint64{},
		news: map[string]peerWants{}, answered: map[string]bool{}, acked: map[string]uint64{}, unlisted: map[string]time.Time{}, handed: map[string]time.Time{}, divide: newDividing(n),
	}
	n.info("leader", "stamp", n.sess.leadStamp)
	divide(n)
}

func (n *Node) dropLead() {
	if n.leader != nil {
		n.info("leader no more")
		n.leader = nil
	}
}

func (n *Node) leaderTick() {
	l := n.leader
	if n.now.Sub(l.looked) < leaderPeriod {
		l.wake = l.looked.Add(leaderPeriod)
		return
	}
	l.looked = n.now
	l.wake = n.now.Add(leaderPeriod)
	rankDerive(n)
	if !l.listing && n.now.Sub(l.listAt) >= n.listEvery() {
		n.list("", nil)
	}
	for id, r := range l.rentals {
		if !r.gone.IsZero() && n.now.Sub(r.gone) > 2*newsFresh {
			delete(l.rentals, id)
		}
	}
	// A leader that is cut off finds every machine silent, and the returns it
	// asks for are held on the way and executed when the cut ends, under a
	// successor that uses the machines. So nothing is decided unless the
	// grant surely lives.
	if !l.listedOK || n.now.After(n.sess.sureUntil) {
		return
	}
	for _, host := range sortedKeys(l.news) {
		if w, ok := n.heard(host); ok {
			l.acked[host] = max(l.acked[host], w.news.Seq)
			for _, x := range w.news.Offers {
				l.divide.offers[x.Team] = x
			}
			if w.at.After(l.looked.Add(-leaderPeriod)) {
				loadsOf(n, w.news.Teams)
			}
		}
	}
	if o := n.owner; o != nil && o.ready {
		ownNews(n)
	}
	divide(n)
	trade(n)
	n.tellOwners()
	if n.owner != nil && n.now.Sub(l.told) >= fleetLog {
		l.told = n.now
		n.logFleet()
	}
}

// listPage is about how many machines the cloud lists in one answer.
const listPage = 500

// listEvery is how often the machines are listed: the longer the list the more
// seldom, since it is late in any case, and costs a request for each page.
func (n *Node) listEvery() time.Duration {
	return max(n.set.ListLag/2, 2*time.Second) * time.Duration(1+len(n.leader.rentals)/listPage)
}

// bookings is how many requests to rent may be sent in one look: half of the
// cloud's limit, since lists, returns and prices need some as well.
func (n *Node) bookings() int { return max(1, int(n.set.CloudRPS/2*leaderPeriod.Seconds())) }

// ownerOf is whose machine it is, by the records.
func (n *Node) ownerOf(id string) string {
	if o, ok := n.sess.book.Owner(id); ok {
		return o.Host
	}
	return ""
}

// goneAlready tells the owner of a machine that its return was answered before it
// came to this owner.
func (n *Node) goneAlready(id, host string) {
	l := n.leader
	if host == n.set.Host {
		if m := n.owner.machines[id]; m != nil {
			n.dropMachine(m, "returned")
		}
		return
	}
	r := l.rentals[id]
	if r == nil {
		r = &rental{id: id}
		l.rentals[id] = r
	}
	r.gone = n.now
}

// promised says that a machine was rented for another controller, whose record is
// being written: it is not to be given work before.
func (n *Node) promised(id string) bool {
	if n.leader == nil {
		return false
	}
	r, ok := n.leader.divide.rented[id]
	return ok && r.Host != n.set.Host
}

// rentedFor is whose machine it is or is about to be.
func (n *Node) rentedFor(id string) string {
	if r, ok := n.leader.divide.rented[id]; ok {
		return r.Host
	}
	return n.ownerOf(id)
}

// tellMost bounds the machines in one news.
const tellMost = 3000

// tellTurns is in how many turns, a second each, an owner is told of all its machines;
// of what has changed it is told at once, and until it has shown that it knows.
const tellTurns = 5

// tellOwners tells the other owners of their machines.
func (n *Node) tellOwners() {
	l := n.leader
	lacks, empty := brokerHosts(n)
	news := map[string]*PeerNews{}
	for _, x := range n.sess.book.Shares() {
		if x.Host != n.set.Host && slices.Contains(n.set.Peers, x.Host) && news[x.Host] == nil {
			news[x.Host] = &PeerNews{From: n.set.Host, Tells: true}
		}
	}
	if len(news) == 0 {
		return
	}
	l.seq++
	l.turn = (l.turn + 1) % tellTurns
	for i, id := range sortedKeys(l.rentals) {
		r := l.rentals[id]
		host := n.rentedFor(id)
		m := news[host]
		if m == nil {
			continue
		}
		status := r.status
		switch {
		case !r.gone.IsZero():
			status = "returned"
		case status == "running" && n.ownerOf(id) != host:
			status = coming
		}
		if r.toldTo != host || r.toldAs != status {
			r.toldTo, r.toldAs, r.toldSeq = host, status, l.seq
		}
		if len(m.Rentals) >= tellMost {
			// It goes with the next news, until it is known to be known.
			r.toldSeq = l.seq + 1
			continue
		}
		if r.toldSeq > l.acked[host] || i%tellTurns == l.turn {
			m.Rentals = append(m.Rentals, RentalNews{r.id, r.addr, r.flavour, r.zone, r.spot, status, n.now.Sub(r.since)})
		}
	}
	var blocked []Want
	for _, k := range sortedKinds(l.blocked) {
		if l.blocked[k].After(n.now) {
			blocked = append(blocked, Want{k.flavour, k.zone, k.spot, 1})
		}
	}
	asked, some := l.divide.div.Asked()
	for _, host := range sortedKeys(news) {
		m := news[host]
		m.Seq, m.Blocked, m.Spare = l.seq, blocked, spareFor(n, host)
		m.Lacks, m.Empty = lacks[host], empty[host]
		if some && asked.From == host {
			m.Release = []division.Ask{asked}
		}
		n.emit(PeerSend{To: host, News: *m})
	}
}

// viewNews takes in what the leader tells of this owner's machines. Its word
// that a return was answered, or that the cloud calls a machine failed, is the
// proof that the machine is gone.
func (n *Node) viewNews(c PeerNews) {
	o := n.owner
	v := &view{rentals: map[string]*rental{}}
	switch old := o.view; {
	case old == nil || old.from != c.From || old.life != c.Life:
	case old.seq > c.Seq && n.now.Sub(old.at) < newsFresh:
		return
	default:
		// It tells of some at a time. What it names no more is gone.
		v.rentals = old.rentals
		for id, r := range v.rentals {
			if _, mine := n.mine(id); !mine && r.status != "booting" && r.status != coming || n.now.Sub(r.told) > 2*tellTurns*leaderPeriod+newsFresh {
				delete(v.rentals, id)
			}
		}
	}
	v.from, v.life = c.From, c.Life
	v.seq, v.at, v.blocked, v.renting = c.Seq, n.now, map[kind]time.Time{}, map[kind]int{}
	for _, x := range c.Rentals {
		// News says where to look, never what is owned: one that boots is counted on
		// before any record names it, and used only then.
		if _, mine := n.mine(x.ID); !mine && x.Status != "booting" && x.Status != coming {
			continue
		}
		r := &rental{told: n.now, id: x.ID, addr: x.Addr, kind: kind{x.Flavour, x.Zone, x.Spot}, since: n.now.Add(-x.Age), status: x.Status, returning: n.returned[x.ID]}
		v.rentals[x.ID] = r
		if !o.ready {
			continue
		}
		if m := o.machines[x.ID]; m != nil && (x.Status == "returned" || x.Status == "failed") {
			n.dropMachine(m, x.Status)
		}
		if x.Status == "returned" {
			// Over: kept, it would be asked for again as long as it is told of, and told
			// of as long as it is asked for, and leave no room for others to be returned.
			delete(v.rentals, x.ID)
			continue
		}
		if !n.returned[x.ID] {
			n.adopt(r)
		}
	}
	v.spare = map[kind]int{}
	for _, w := range c.Spare {
		v.spare[kind{w.Flavour, w.Zone, w.Spot}] += w.Count
	}
	for _, w := range c.Blocked {
		v.blocked[kind{w.Flavour, w.Zone, w.Spot}] = n.now.Add(newsFresh)
	}
	o.view = v
	takeNeeds(n, c.Lacks, c.Empty)
	for _, a := range c.Release {
		o.release, o.releaseAt = a, n.now
	}
}

// fleetLog is how often the fleet is described in the log, at debug.
const fleetLog = 10 * time.Second

func (n *Node) logFleet() {
	type sums struct{ up, idle, booting int }
	by := map[kind]*sums{}
	var used, size float64
	for _, r := range n.leader.rentals {
		s := by[r.kind]
		if s == nil {
			s = &sums{}
			by[r.kind] = s
		}
		m := n.owner.machines[r.id]
		switch {
		case m == nil || !m.heard:
			s.booting++
		case m.empty():
			s.up++
			s.idle++
		default:
			s.up++
		}
		if m != nil && m.heard {
			used += m.used.CPU
			size += m.size.CPU
		}
	}
	args := []any{"used", used, "cpus", size}
	for _, k := range sortedKinds(by) {
		s := by[k]
		name := k.flavour
		if k.spot {
			name += "/spot"
		}
		args = append(args, name, fmt.Sprintf("%d up, %d idle, %d booting", s.up, s.idle, s.booting))
	}
	for _, j := range n.order() {
		args = append(args, j.Workload, j.pending())
	}
	n.debug("fleet", args...)
}

func (n *Node) list(from string, got []Listed) {
	l := n.leader
	gen := l.gen
	l.listing = true
	n.askCloud(CloudOp{Kind: CloudList, From: from}, func(d CloudDone) {
		l := n.leader
		if l == nil || l.gen != gen {
			return
		}
		if d.Status != CloudOK {
			l.listing = false
			l.listAt = n.now
			return
		}
		got = append(got, d.Machines...)
		if d.Truncated && len(d.Machines) > 0 {
			n.list(got[len(got)-1].ID, got)
			return
		}
		l.listing, l.listAt, l.listedOK = false, n.now, true
		n.listed(got)
	})
}

// listed takes in a list, which may be older than the one before.
func (n *Node) listed(ms []Listed) {
	l := n.leader
	var again []string
	for _, x := range ms {
		if n.returned[x.ID] && (l.answered[x.ID] || n.ownerOf(x.ID) == n.set.Host) {
			if l.rentals[x.ID] == nil && !l.answered[x.ID] {
				// Its return was asked for under an earlier leader, with whom the
				// wish was lost. Nobody else would ever ask again.
				l.rentals[x.ID] = &rental{id: x.ID, kind: kind{x.Flavour, x.Zone, x.Spot}, addr: x.Addr, since: n.now.Add(-x.Held), status: x.Status, listed: n.now}
				again = append(again, x.ID)
			}
			continue
		}
		r := l.rentals[x.ID]
		if r == nil {
			r = &rental{id: x.ID, kind: kind{x.Flavour, x.Zone, x.Spot}, since: n.now.Add(-x.Held)}
			l.rentals[x.ID] = r
		}
		r.addr, r.listed = x.Addr, n.now
		if x.Status == "failed" && r.status != "failed" && n.owner != nil {
			if m := n.owner.machines[x.ID]; m != nil {
				n.dropMachine(m, "failed")
			}
		}
		r.status = x.Status
		n.adopt(r)
	}
	for ; len(again) > 0; again = again[min(len(again), returnMost):] {
		n.giveBack(again[:min(len(again), returnMost)])
	}
	for _, id := range sortedKeys(l.rentals) {
		r := l.rentals[id]
		// Once listed, a machine stays listed until it is gone. A list can be
		// older than the one before, so wait some lists before forgetting;
		// absence is no proof for its tasks, which go on by reports, lease or
		// the answer to a return.
		patience := 4*n.set.ListLag + 5*time.Second + 2*n.listEvery()
		if n.ownerOf(id) != n.set.Host {
			// Its owner has to learn of it and may still need it returned.
			patience += 2 * n.set.Lease
		}
		if !r.listed.IsZero() && n.now.Sub(r.listed) > patience {
			if n.owner != nil {
				if m := n.owner.machines[id]; m != nil && (!m.empty() || !n.silent(m)) {
					continue
				}
				if m := n.owner.machines[id]; m != nil {
					n.owner.forget(m)
				}
			}
			delete(l.rentals, id)
		}
	}
	missed(n)
}

// adopt makes a rental known to the owner of the pool.
func (n *Node) adopt(r *rental) {
	o := n.owner
	if o == nil || r.status == "failed" || r.returning || !o.ready {
		return
	}
	if _, mine := n.mine(r.id); !mine || n.leader != nil && n.leader.divide.rented[r.id].Host != "" {
		// Another's, or about to be.
		return
	}
	m := n.machine(r.id)
	if !n.sess.book.Named(r.id) && !o.restSince.IsZero() && r.since.After(o.restSince) {
		// Rented since, and named by nobody: it never was another's.
		m.former = time.Time{}
	}
	if m.flavour == "" || m.addr == "" {
		n.describe(m, r.addr, r.flavour, r.zone, r.spot)
	}
	if !m.heard && (r.status == "running" || r.status == coming) && r.addr != "" {
		n.contact(m)
	}
}

// returns picks the machines to give back: failed ones, such as never came up, silent
// ones, faulty ones and idle ones that are spare. A look at the fleet may have
// taken a while, so each is judged by what it is now.
func (n *Node) returns(spare map[string]bool) {
	o := n.owner
	settled := n.now.Sub(o.since) > settleTime
	lost := map[string]bool{}
	for _, id := range lostMachines(n) {
		lost[id] = true
	}
	cheapest := n.cheapest()
	for _, m := range o.byID {
		// One that the leader no longer lists may be gone, or a list was late;
		// only the answer to a return is proof. If one was asked for already, the
		// wish may have been lost, or answered to another owner.
		if id := m.id; o.view.rentals[id] == nil && !m.empty() && (lost[id] || m.returning || n.returned[id]) && settled && len(o.gone) < returnMost {
			n.returned[id] = true
			m.returning = true
			o.gone = append(o.gone, id)
		}
	}
	for _, id := range sortedKeys(o.view.rentals) {
		r := o.view.rentals[id]
		m := o.machines[id]
		if r.returning && n.leader == nil {
			// Asked for already; the wish may have been lost.
			o.gone = append(o.gone, id)
		}
		if r.returning {
			continue
		}
		why := ""
		switch {
		case r.status == "failed":
			why = "failed"
		case m == nil:
		case !m.heard && settled && n.givenUp(r) && m.empty() && n.now.Sub(m.here) > min(settleTime, m.here.Sub(o.since)):
			// Not one that has just come from another owner, however long ago it was
			// rented. What came with the takeover is settled with it.
			why = "never came up"
		case lost[id] && settled:
			why = "silent"
		case m.bad && m.empty():
			why = "faulty"
		case settled && spare[id] && n.idle(m, cheapest):
			why = "idle"
		}
		if why == "" || len(o.gone) >= returnMost {
			continue
		}
		n.info("return", "machine", id, "why", why)
		if why == "never came up" && !n.returned[id] {
			// Once, however often the leader is asked.
			n.bootsOf(r.kind).Lost(n.now)
			o.neverUp++
			o.neverCost += n.price(r.kind) * n.now.Sub(r.since).Hours()
			n.info("machines that never served", "count", o.neverUp, "cost", o.neverCost)
		}
		o.gone = append(o.gone, id)
		// Never given work again, whatever becomes of the return.
		n.returned[id] = true
		if m != nil {
			m.returning = true
		}
	}
}

// giveBack asks the cloud to take machines back until it says that it has.
func (n *Node) giveBack(ids []string) {
	l := n.leader
	for _, id := range ids {
		n.returned[id] = true
		if r := l.rentals[id]; r != nil {
			r.returning = true
		}
	}
	gen := l.gen
	n.askCloud(CloudOp{Kind: CloudReturn, Until: n.sess.sureUntil, Machines: ids}, func(d CloudDone) {
		if n.leader == nil || n.leader.gen != gen {
			return
		}
		if d.Status != CloudOK {
			// Executed or not, they get no more work; ask until it is sure.
			n.after(n.jitter(time.Second), func() {
				if n.leader != nil && n.leader.gen == gen {
					n.giveBack(ids)
				}
			})
			return
		}
		for _, id := range ids {
			n.leader.answered[id] = true
			if n.owner != nil {
				if m := n.owner.machines[id]; m != nil {
					n.dropMachine(m, "returned")
				}
			}
			if r := n.leader.rentals[id]; r != nil {
				r.gone = n.now
			}
		}
	})
}

// warmWindow is how far back arrivals are looked at, and lately the part of it
// that shows soonest when they have ended.
const (
	warmWindow = 90 * time.Second
	lately     = 30 * time.Second
)

func sortedKinds[V any](m map[kind]V) []kind {
	ks := make([]kind, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.flavour, b.flavour), cmp.Compare(a.zone, b.zone), cmp.Compare(b2f(a.spot), b2f(b.spot)))
	})
	return ks
}

// booked notes that a booking is answered.
func (n *Node) booked(a ask, booking string, count int) {
	l := n.leader
	delete(l.booking, booking)
	if l.renting[a] -= count; l.renting[a] <= 0 {
		delete(l.renting, a)
	}
}

// rentKind sends one booking for an owner. A booking without an answer is
// repeated under the same name, which rents nothing twice.
func (n *Node) rentKind(host string, k kind, count int, booking string) {
	l := n.leader
	if booking == "" {
		l.booked++
		booking = fmt.Sprintf("%d-%s-%s-%d", l.stamp, n.set.Host, n.set.Nonce, l.booked)
		n.debug("rent", "flavour", k.flavour, "spot", k.spot, "count", count, "for", host)
	}
	a := ask{host, k}
	if again := booking != "" && l.booking[booking]; !again {
		l.booking[booking] = true
		l.renting[a] += count
	}
	gen := l.gen
	n.askCloud(CloudOp{Kind: CloudRent, Until: n.sess.sureUntil, Booking: booking, Flavour: k.flavour, Zone: k.zone, Spot: k.spot, Count: count}, func(d CloudDone) {
		l := n.leader
		if l == nil || l.gen != gen {
			return
		}
		switch d.Status {
		case CloudOK:
			n.booked(a, booking, count)
			for _, id := range d.Rented {
				r := &rental{id: id, kind: k, since: n.now, status: "booting"}
				l.rentals[id] = r
				if n.ownerOf(id) != host {
					l.divide.rented[id] = division.Rented{ID: id, Host: host, At: n.now}
				}
				n.adopt(r)
			}
			// Its wishes count again when it knows of these.
			l.needSeq[host] = l.seq + 1
			if len(d.Rented) < count {
				l.blocked[k] = n.now.Add(n.jitter(refusedPause))
			}
			divide(n)
		case CloudNoCapacity:
			n.booked(a, booking, count)
			l.blocked[k] = n.now.Add(n.jitter(refusedPause))
		case CloudBad:
			n.booked(a, booking, count)
			l.blocked[k] = n.now.Add(time.Minute)
			n.info("the cloud calls a booking malformed", "flavour", k.flavour)
		default:
			n.after(n.jitter(time.Second), func() {
				if n.leader != nil && n.leader.gen == gen {
					n.rentKind(host, k, count, booking)
				}
			})
		}
	})
}
