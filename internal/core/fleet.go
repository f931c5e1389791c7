package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// leaderPeriod is how often the leader looks at the fleet.
	leaderPeriod = time.Second
	// typesEvery is how often prices are read again.
	typesEvery = 30 * time.Second
	// refusedPause keeps from asking again at once for a kind of machine the
	// cloud has just refused.
	refusedPause = 12 * time.Second
	// bootPatience, times ready_s, plus bootSlack: when a machine that has not
	// come up is given up. Some machines take several times as long.
	bootPatience = 3
	bootSlack    = 20 * time.Second
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

// newsFresh is how long an owner's wishes and a leader's view hold.
const newsFresh = 4 * time.Second

// ask is a booking under way for an owner.
type ask struct {
	owner string
	kind  kind
}

// view is what an owner knows of its machines from the leader.
type view struct {
	seq     uint64
	at      time.Time
	rentals map[string]*rental
	blocked map[kind]time.Time
	renting map[kind]int
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
	// owner is whom it was rented for, as long as no share says so.
	owner string
	// gone is when its return was answered; kept a while for its owner to hear.
	gone time.Time
}

// leader owns the dealings with the cloud and writes the shares.
type leader struct {
	stamp    uint64
	gen      int
	since    time.Time
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
	// moved is when a team was moved last, release what is asked for.
	moved   time.Time
	release map[string]string
	booked  uint64
	sharing bool
	news    map[string]peerWants
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
		n.share()
		return
	}
	n.leader = &leader{
		stamp: n.sess.leadStamp, gen: int(n.id()), since: n.now,
		rentals: map[string]*rental{}, blocked: map[kind]time.Time{}, renting: map[ask]int{}, booking: map[string]bool{}, needSeq: map[string]uint64{}, release: map[string]string{}, moved: n.now,
		news: map[string]peerWants{}, answered: map[string]bool{},
	}
	n.info("leader", "stamp", n.sess.leadStamp)
	n.share()
}

func (n *Node) dropLead() {
	if n.leader != nil {
		n.info("leader no more")
		n.leader = nil
	}
}

// share writes the shares when they are not as they should be.
func (n *Node) share() {
	l := n.leader
	s := &n.sess
	if l.sharing {
		return
	}
	want := n.division()
	op := StateOp{Kind: OpTxn, Prio: PrioSession, When: []Cond{{leadKey, l.stamp}}}
	hosts := map[string]bool{}
	for h := range want {
		hosts[h] = true
	}
	for h := range s.shares {
		hosts[h] = true
	}
	type write struct {
		key string
		rec []byte
	}
	var writes []write
	// A fresh leader leaves alone what stays as it is: a share names the life
	// of its controller, and whatever an earlier leader may still have sent
	// names that leader's record.
	for _, h := range sortedKeys(hosts) {
		w, ok := want[h]
		have, had := s.shares[h]
		// A machine that a share no longer names falls to the one that has the
		// rest, whose epoch must then be above all that the machine has seen.
		falls := ok && w.Rest && slices.ContainsFunc(sortedKeys(s.shares), func(x string) bool {
			return slices.ContainsFunc(s.shares[x].Machines, func(id string) bool { return !slices.Contains(want[x].Machines, id) })
		})
		same := !falls && ok == had && w.Nonce == have.Nonce && slices.Equal(w.Teams, have.Teams) && w.Rest == have.Rest && slices.Equal(w.Machines, have.Machines)
		if same {
			continue
		}
		key := sharePrefix + h
		op.When = append(op.When, Cond{key, s.shareStamp(h)})
		var rec []byte
		if ok {
			rec = encode(w)
		}
		op.Apply = append(op.Apply, Change{Key: key, Value: rec})
		writes = append(writes, write{key, rec})
	}
	if len(writes) == 0 {
		return
	}
	l.sharing = true
	gen := l.gen
	n.ask(op, func(d StateDone) {
		if n.leader == nil || n.leader.gen != gen {
			return
		}
		n.leader.sharing = false
		switch d.Status {
		case StateOK:
			for _, w := range writes {
				n.ctlItem(Item{Key: w.key, Value: w.rec, Stamp: d.Rev, Removed: w.rec == nil})
			}
			n.ownerCheck()
		case StateConflict:
			// The watch is behind; look again.
			n.after(n.jitter(retryPause), func() {
				if n.leader != nil && n.leader.gen == gen {
					n.loadCtl()
				}
			})
		default:
			n.after(n.jitter(retryPause), func() {
				if n.leader != nil && n.leader.gen == gen {
					n.share()
				}
			})
		}
	})
}

// division says which controller runs which teams and machines. A share stays
// where it is while its controller lives; the share of a dead one goes to one
// other as a whole, since its teams' tasks are mixed on its machines. A team
// moves to a controller that has less only when its owner has given it up.
func (n *Node) division() map[string]shareRecord {
	s := &n.sess
	out := map[string]shareRecord{n.set.Host: {Nonce: n.set.Nonce}}
	for host, r := range s.nodes {
		if host != n.set.Host {
			out[host] = shareRecord{Nonce: r.Nonce}
		}
	}
	hearing(n, out)
	known := map[string]bool{}
	for _, t := range n.set.Teams {
		known[t.Name] = true
	}
	give := func(host string, teams, machines []string, rest bool) {
		r := out[host]
		for _, t := range teams {
			if known[t] {
				known[t] = false
				r.Teams = append(r.Teams, t)
			}
		}
		r.Machines = append(r.Machines, machines...)
		r.Rest = r.Rest || rest
		out[host] = r
	}
	least := func() string {
		best := n.set.Host
		for _, h := range sortedKeys(out) {
			if _, ok := out[best]; !ok {
				best = h
			}
			if len(out[h].Teams) < len(out[best].Teams) {
				best = h
			}
		}
		return best
	}
	for _, pass := range [...]bool{true, false} {
		for _, host := range sortedKeys(s.shares) {
			r := s.shares[host]
			now, live := out[host]
			if live = live && now.Nonce == r.Nonce; live != pass {
				continue
			}
			if !live {
				host = least()
			}
			give(host, r.Teams, r.Machines, r.Rest)
		}
	}
	for _, t := range n.set.Teams {
		if known[t.Name] {
			give(least(), []string{t.Name}, nil, false)
		}
	}
	n.balance(out)
	rest := ""
	for _, h := range sortedKeys(out) {
		if r := out[h]; r.Rest && len(r.Teams) > 0 && rest == "" {
			rest = h
		}
	}
	if rest == "" {
		rest = n.set.Host
		if len(out[rest].Teams) == 0 {
			for _, h := range sortedKeys(out) {
				if len(out[h].Teams) > 0 {
					rest = h
					break
				}
			}
		}
	}
	for h, r := range out {
		r.Rest = h == rest
		r.Machines = n.listedFor(h, r)
		slices.Sort(r.Teams)
		if len(r.Teams) == 0 {
			delete(out, h)
			continue
		}
		out[h] = r
	}
	return out
}

// listPatience is how long after a change of leader the shares name machines
// that the lists, which lag, have not shown yet.
const listPatience = time.Minute

// listedFor is the machines that a share names: those of before that are not
// gone, and those rented for it. The share that has the rest names none.
func (n *Node) listedFor(host string, r shareRecord) []string {
	if r.Rest {
		return nil
	}
	var out []string
	for _, id := range r.Machines {
		m := n.leader.rentals[id]
		if m != nil && m.gone.IsZero() || m == nil && n.now.Sub(n.leader.since) < listPatience {
			out = append(out, id)
		}
	}
	for _, id := range sortedKeys(n.leader.rentals) {
		if m := n.leader.rentals[id]; m.owner == host && m.gone.IsZero() && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// balance moves a team from the controller with most to the one with least,
// now and then, once it has been given up there.
func (n *Node) balance(out map[string]shareRecord) {
	l := n.leader
	var most, least string
	for _, h := range sortedKeys(out) {
		if most == "" || len(out[h].Teams) > len(out[most].Teams) {
			most = h
		}
		if least == "" || len(out[h].Teams) < len(out[least].Teams) {
			least = h
		}
	}
	clear(l.release)
	if len(out[most].Teams) < len(out[least].Teams)+2 || n.now.Sub(l.moved) < n.set.Policy.ShareInterval {
		return
	}
	from := out[most]
	slices.Sort(from.Teams)
	team := from.Teams[len(from.Teams)-1]
	l.release[most] = team
	var free []string
	if most == n.set.Host {
		if n.owner == nil || !n.owner.ready {
			return
		}
		n.freeze(team)
		free = n.released()
	} else if w, ok := l.news[most]; ok && n.now.Sub(w.at) < newsFresh {
		free = w.news.Released
	}
	if !slices.Contains(free, team) {
		return
	}
	l.moved = n.now
	n.info("team moves", "team", team, "from", most, "to", least)
	from.Teams = slices.Clone(from.Teams[:len(from.Teams)-1])
	out[most] = from
	to := out[least]
	to.Teams = append(to.Teams, team)
	out[least] = to
}

func (n *Node) leaderTick() {
	l := n.leader
	if n.now.Sub(l.looked) < leaderPeriod {
		l.wake = l.looked.Add(leaderPeriod)
		return
	}
	l.looked = n.now
	l.wake = n.now.Add(leaderPeriod)
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
	n.share()
	if o := n.owner; o != nil && o.ready {
		// What could not be booked at once stays wanted until the next look.
		n.execute(n.set.Host, o.wants, o.gone)
		o.gone = nil
	}
	for _, host := range sortedKeys(l.news) {
		w := l.news[host]
		if n.now.Sub(w.at) > newsFresh || w.news.Seq < l.needSeq[host] {
			continue
		}
		wants := map[kind]int{}
		for _, x := range w.news.Wants {
			wants[kind{x.Flavour, x.Zone, x.Spot}] += x.Count
		}
		n.execute(host, wants, w.news.Idle)
	}
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

// execute does what an owner asks of the cloud, for its own machines.
func (n *Node) execute(host string, wants map[kind]int, gone []string) {
	l := n.leader
	var back []string
	for _, id := range gone {
		if r := l.rentals[id]; len(back) < returnMost && n.ownerOf(id) == host && (r == nil || !r.returning) {
			back = append(back, id)
		}
	}
	if len(back) > 0 {
		n.giveBack(back)
	}
	// Of a large wish several requests are sent at once, in turns of the kinds.
	// One more wish is heard only when all of them are answered.
	left := n.bookings()
	busy := map[kind]bool{}
	for _, k := range sortedKinds(wants) {
		busy[k] = l.renting[ask{host, k}] > 0 || l.blocked[k].After(n.now)
	}
	for more := true; more && left > 0; {
		more = false
		for _, k := range sortedKinds(wants) {
			if c := min(wants[k], rentMost); c > 0 && !busy[k] && left > 0 {
				wants[k] -= c
				left--
				more = true
				n.rentKind(host, k, c, "")
			}
		}
	}
}

// ownerOf is whose machine it is: whose share names it, or whom it was rented
// for, or whoever has the rest.
func (n *Node) ownerOf(id string) string {
	named, rest := n.holder(id)
	if named != "" {
		return named
	}
	if r := n.leader.rentals[id]; r != nil && r.owner != "" {
		if _, ok := n.sess.shares[r.owner]; ok {
			return r.owner
		}
	}
	return rest
}

// tellOwners tells the other owners of their machines.
func (n *Node) tellOwners() {
	l := n.leader
	for _, host := range sortedKeys(n.sess.shares) {
		if host == n.set.Host || !slices.Contains(n.set.Peers, host) {
			continue
		}
		l.seq++
		news := PeerNews{From: n.set.Host, Tells: true, Seq: l.seq}
		if t, ok := l.release[host]; ok {
			news.Release = []string{t}
		}
		for _, id := range sortedKeys(l.rentals) {
			r := l.rentals[id]
			if n.ownerOf(id) != host {
				continue
			}
			status := r.status
			if !r.gone.IsZero() {
				status = "returned"
			}
			news.Rentals = append(news.Rentals, RentalNews{r.id, r.addr, r.flavour, r.zone, r.spot, status, n.now.Sub(r.since)})
		}
		for _, k := range sortedKinds(l.blocked) {
			if l.blocked[k].After(n.now) {
				news.Blocked = append(news.Blocked, Want{k.flavour, k.zone, k.spot, 1})
			}
		}
		n.emit(PeerSend{To: host, News: news})
	}
}

// viewNews takes in what the leader tells of this owner's machines. Its word
// that a return was answered, or that the cloud calls a machine failed, is the
// proof that the machine is gone.
func (n *Node) viewNews(c PeerNews) {
	o := n.owner
	if o.view != nil && o.view.seq > c.Seq && n.now.Sub(o.view.at) < newsFresh {
		return
	}
	v := &view{seq: c.Seq, at: n.now, rentals: map[string]*rental{}, blocked: map[kind]time.Time{}, renting: map[kind]int{}}
	for _, x := range c.Rentals {
		r := &rental{id: x.ID, addr: x.Addr, kind: kind{x.Flavour, x.Zone, x.Spot}, since: n.now.Add(-x.Age), status: x.Status, returning: n.returned[x.ID]}
		v.rentals[x.ID] = r
		if !o.ready {
			continue
		}
		if m := o.machines[x.ID]; m != nil && (x.Status == "returned" || x.Status == "failed") {
			n.dropMachine(m, x.Status)
		}
		if x.Status != "returned" && !n.returned[x.ID] {
			n.adopt(r)
		}
	}
	for _, w := range c.Blocked {
		v.blocked[kind{w.Flavour, w.Zone, w.Spot}] = n.now.Add(newsFresh)
	}
	o.view = v
	for _, t := range c.Release {
		if o.ready {
			n.freeze(t)
		}
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
		case len(m.attempts) == 0:
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
				if m := n.owner.machines[id]; m != nil && (len(m.attempts) > 0 || !n.silent(m)) {
					continue
				}
				if m := n.owner.machines[id]; m != nil {
					n.owner.forget(m)
				}
			}
			delete(l.rentals, id)
		}
	}
}

// adopt makes a rental known to the owner of the pool.
func (n *Node) adopt(r *rental) {
	o := n.owner
	if o == nil || r.status == "failed" || r.returning || !o.ready {
		return
	}
	if n.leader != nil && n.ownerOf(r.id) != n.set.Host {
		return
	}
	m := n.machine(r.id)
	if m.flavour == "" || m.addr == "" {
		n.describe(m, r.addr, r.flavour, r.zone, r.spot)
	}
	if !m.heard && r.status == "running" && r.addr != "" {
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
		// only the answer to a return is proof.
		if id := m.id; o.view.rentals[id] == nil && len(m.attempts) > 0 && lost[id] && settled && len(o.gone) < returnMost {
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
		case !m.heard && settled && n.now.Sub(r.since) > bootPatience*n.types[r.flavour].Ready+bootSlack && len(m.attempts) == 0:
			why = "never came up"
		case lost[id] && settled:
			why = "silent"
		case m.bad && len(m.attempts) == 0:
			why = "faulty"
		case settled && spare[id] && n.idle(m, cheapest):
			why = "idle"
		}
		if why == "" || len(o.gone) >= returnMost {
			continue
		}
		n.info("return", "machine", id, "why", why)
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
				r := &rental{id: id, kind: k, since: n.now, status: "booting", owner: host}
				l.rentals[id] = r
				n.adopt(r)
			}
			// Its wishes count again when it knows of these.
			l.needSeq[host] = l.seq + 1
			if len(d.Rented) < count {
				l.blocked[k] = n.now.Add(n.jitter(refusedPause))
			}
			n.share()
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
