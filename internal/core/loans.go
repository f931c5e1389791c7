package core

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Jobs lent to peers and borrowed from them. What is decided about them is in
// internal/overflow; here are the transactions that make it so. A lent job keeps
// its record in open/, which says who has it: whatever would start its tasks at
// home names that record's stamp. A borrowed one is a job like any other in the
// guests' team, which may start only while its home has lately said so.

// loan is what of a job concerns lending.
type loan struct {
	// lent is the peer that has it, or "". lending: that is being written.
	lent    string
	lentN   uint64
	wanted  bool
	lending bool
	// guest is the loan by which it is here, and startable until when its tasks
	// may be started.
	guest     string
	startable time.Time
}

func (l *loan) elsewhere() bool { return l.lent != "" || l.lending || l.wanted }

// mayStart says whether tasks may be started now: of a borrowed job only while
// the home has lately called it ours, as it may have taken it back.
func (l *loan) mayStart(now time.Time) bool { return l.guest == "" || now.Before(l.startable) }

func (l *loan) loaned(r *openRecord) {
	l.lent, l.lentN, l.wanted, l.guest = r.Lent, r.LentN, r.Wanted, r.Guest
}

// LoanKind is what is to be made durable.
type LoanKind int

// The kinds: of our own jobs, that a peer has one, that it is ours again, that
// the peer has done it, and that it ended as its user wanted; of a peer's, that it
// is taken in, given up, and forgotten.
const (
	LoanLend LoanKind = iota
	LoanBack
	LoanSettle
	LoanCancelled
	LoanAccept
	LoanGiveUp
	LoanDrop
)

// LoanOp asks for one transaction. Job is our own job, or the guest id of a
// borrowed one, and Loan the loan's name.
type LoanOp struct {
	Reply uint64
	Kind  LoanKind
	Job   string
	Loan  string
	N     uint64
	// Peer and Stop go with LoanLend; Spec, Age and Team with LoanAccept.
	Peer  string
	Stop  time.Duration
	Spec  Spec
	Age   time.Duration
	Cause string
}

// LoanStatus is how a LoanOp ended.
type LoanStatus int

// Done: durable. Not: its conditions do not hold, and it never will be applied.
// Unsure: perhaps applied, perhaps later; ask again.
const (
	LoanDurable LoanStatus = iota
	LoanNot
	LoanUnsure
)

// LoanDone answers a LoanOp.
type LoanDone struct {
	Reply  uint64
	Status LoanStatus
}

// LoanQuery asks for what lending needs to know. Startable says, for borrowed jobs
// by guest id, until when they may be started; what it does not name may not.
type LoanQuery struct {
	Reply     uint64
	Startable map[string]time.Time
	// Progress is what peers say of our jobs, for display.
	Progress []Progress
	// Plan asks for Waiting and Room as well, which cost a look ahead.
	Plan bool
	// Team is the guests' team.
	Team string
}

// LoanView answers a LoanQuery, as of a moment after it was asked. OK is false while
// nothing can be read. Leads: this controller leads, and answers peers; Leader says
// which one does. Guests: it runs the guests' team, and speaks for the cluster as a
// borrower.
type LoanView struct {
	Reply     uint64
	OK        bool
	Leads     bool
	Leader    string
	Epoch     uint64
	SureUntil time.Time
	Guests    bool
	// GuestEpoch is the stamp of the share with the guests' team, and GuestTerm
	// changes whenever the team is taken up anew.
	GuestEpoch uint64
	GuestTerm  int
	Drain      bool
	DrainBy    time.Time
	Lent       []LentJob
	Borrowed   []BorrowedJob
	// Renewed is, for each home, when a report was sent that is known to have been
	// answered, in the time of day.
	Renewed  map[string]time.Time
	Waiting  []WaitingJob
	Room     []FreeRoom
	Images   []string
	Late     bool
	Urgency  Urgency
	Cheapest float64
}

// LentJob is a job of ours that a peer has.
type LentJob struct {
	Spec   Spec
	At     time.Time
	Peer   string
	N      uint64
	Stop   time.Duration
	Wanted bool
}

// BorrowedJob is a job of a peer's. Status is queued, done or cancelled; Known is
// false while that has to be read first.
type BorrowedJob struct {
	Loan    string
	Job     string
	Spec    Spec
	Status  JobStatus
	Known   bool
	Ending  bool
	Cause   string
	Began   bool
	Done    int
	Running int
}

// WaitingJob is a job of ours of which nothing was ever started.
type WaitingJob struct {
	Spec    Spec
	Aim     time.Duration
	HomeEnd time.Duration
	Run     time.Duration
	LentN   uint64
}

// FreeRoom is room that own work will not want for a while.
type FreeRoom struct {
	Flavour  string
	Zone     string
	Spot     bool
	Each     Resources
	Machines int
	// In is how long until it is there: of machines that are to be rented first.
	In time.Duration
	// Price is for one CPU, an hour.
	Price float64
	Rate  float64
}

// DrainOp begins or ends the emptying of the cluster of borrowed work.
type DrainOp struct {
	Reply uint64
	On    bool
	// By is when all borrowed work is to be gone.
	By time.Time
}

func (LoanOp) command()    {}
func (LoanQuery) command() {}
func (DrainOp) command()   {}
func (LoanDone) effect()   {}
func (LoanView) effect()   {}

type drainRecord struct {
	On bool  `msgpack:"on"`
	By int64 `msgpack:"by"`
}

// guestRecord is a loan that was taken, or the time when a home last answered.
type guestRecord struct {
	Job     string `msgpack:"j,omitempty"`
	Cause   string `msgpack:"c,omitempty"`
	Renewed int64  `msgpack:"r,omitempty"`
}

// renewedPrefix holds the times of answered reports, one record for each home. No
// loan's name begins like that, as no cluster's does.
const renewedPrefix = guestPrefix + "0/"

// guests is the picture that the owner of the guests' team has of guest/, in the
// given term as its owner.
type guests struct {
	team    string
	term    int
	loaded  bool
	loading bool
	by      map[string]guestRecord
	renewed map[string]time.Time
}

// loanOp carries out one transaction. Each names the record of whoever decides, the
// leader's for what is lent, the share with the guests' team for what is borrowed, so
// that nothing of a deposed one's is applied, and the record the decision rests on.
func loanOp(n *Node, c LoanOp) {
	done := func(s LoanStatus) { n.emit(LoanDone{c.Reply, s}) }
	owns := n.owner != nil && n.owner.ready
	op := StateOp{Kind: OpTxn, Prio: PrioStart}
	switch borrows := c.Kind >= LoanAccept; {
	case borrows && owns && guestsKnown(n):
		op.When = append(op.When, n.shareConds(n.guests.team)...)
	case !borrows && n.leader != nil:
		op.When = append(op.When, Cond{leadKey, n.leader.stamp})
	default:
		done(LoanNot)
		return
	}
	open := openPrefix + c.Job
	var j *job
	if owns {
		j = n.owner.jobs[c.Job]
	}
	after := func() {}
	var item Item
	switch l, there := n.users.mirror.open[c.Job]; c.Kind {
	case LoanLend:
		if j == nil || !j.untouched() || !settledDate(n, j) {
			done(LoanNot)
			return
		}
		rec := j.record0()
		rec.Lent, rec.LentN, rec.LentStop = c.Peer, c.N, c.Stop.Milliseconds()
		j.lending = true
		// Without an answer it may be carried out when the job has been started here,
		// which leaves open/ as it is: the first task's record must not be there either.
		op.When = append(append(op.When, n.shareConds(j.Team)...), Cond{open, j.stamp})
		op.When = append(op.When, n.firstRecords(c.Job)...)
		item = Item{Key: open, Value: encode(rec)}
	case LoanBack:
		if !there || l.rec.Lent == "" || l.rec.LentN != c.N {
			done(LoanNot)
			return
		}
		rec := l.rec
		rec.Lent, rec.LentStop, rec.Wanted = "", 0, false
		op.When = append(op.When, Cond{open, l.stamp})
		item = Item{Key: open, Value: encode(rec)}
	case LoanSettle, LoanCancelled:
		if !there || l.rec.Lent == "" || l.rec.LentN != c.N {
			done(LoanNot)
			return
		}
		status := Done
		if c.Kind == LoanCancelled {
			status = Cancelled
		}
		over := overRecord(n, c.Job, status, &l)
		op.When = append(op.When, Cond{open, l.stamp})
		op.Apply = append(op.Apply, Change{Key: jobPrefix + c.Job, Value: encode(over)})
		item = Item{Key: open, Removed: true}
		after = func() {
			n.setFinal(c.Job, status)
			doneDate(n, c.Job, over)
		}
	case LoanAccept:
		rec := c.Spec.record(n.now.Add(-c.Age))
		rec.Guest = c.Loan
		op.When = append(op.When, Cond{guestPrefix + c.Loan, 0}, Cond{open, 0}, Cond{jobPrefix + c.Job, 0})
		op.Apply = append(op.Apply, Change{Key: guestPrefix + c.Loan, Value: encode(guestRecord{Job: c.Job})})
		item = Item{Key: open, Value: encode(rec)}
		after = func() { n.guests.by[c.Loan] = guestRecord{Job: c.Job} }
	case LoanGiveUp:
		if !there || l.rec.Cancelled {
			done(LoanNot)
			return
		}
		rec := l.rec
		rec.Cancelled, rec.CancelledAt = true, n.now.UnixMilli()
		rec.shorten(n.set.ValueBytes)
		g := guestRecord{Job: c.Job, Cause: c.Cause}
		op.When = append(op.When, Cond{open, l.stamp})
		op.Apply = append(op.Apply, Change{Key: jobPrefix + c.Job, Value: encode(overRecord(n, c.Job, Cancelled, &l))},
			Change{Key: guestPrefix + c.Loan, Value: encode(g)})
		item = Item{Key: open, Value: encode(rec)}
		after = func() { n.guests.by[c.Loan] = g }
	case LoanDrop:
		op.When = append(op.When, Cond{open, 0})
		op.Apply = append(op.Apply, Change{Key: guestPrefix + c.Loan}, Change{Key: jobPrefix + c.Job})
		after = func() {
			delete(n.guests.by, c.Loan)
			delete(n.users.final, c.Job)
		}
	}
	if item.Key != "" {
		op.Apply = append(op.Apply, Change{Key: item.Key, Value: item.Value})
	}
	n.ask(op, func(d StateDone) {
		if j != nil {
			j.lending = false
		}
		switch d.Status {
		case StateOK:
			item.Stamp = d.Rev
			after()
			if item.Key != "" {
				n.ownerSees(item)
			}
			done(LoanDurable)
		case StateConflict, StateRefused, StateBad, StateNoGrant:
			done(LoanNot)
		default:
			if c.Kind >= LoanAccept {
				// Carried out or not: what has been taken is read again before the next step.
				n.guests.loaded = false
			}
			done(LoanUnsure)
		}
	})
}

// began says that some task of the job was ever started, is being started or waits
// for a write: each of these makes a record of its part of the tasks. One that only
// found no room has none.
func (j *job) began() bool { return len(j.chunks) > 0 || len(j.former) > 0 || j.live > 0 }

// untouched says that the job may be lent: nothing of it can be anywhere.
func (j *job) untouched() bool {
	return !j.began() && !j.cancelled && !j.ending && !j.waits && !j.elsewhere() && j.guest == ""
}

// record0 is the job's record in open/ as it stands.
func (j *job) record0() openRecord {
	r := j.Spec.record(j.at)
	if j.raised {
		r.Urgency = int(j.own)
	}
	r.LentN, r.Guest, r.P = j.lentN, j.guest, int(j.first.Milliseconds())
	return r
}

// cancelLent notes that a lent job's user wants it cancelled. That is told only
// when the peer has stopped it or surely runs it no more; until then the user is
// asked to come back, and gets no answer that could turn out to be wrong.
func cancelLent(n *Node, w *waiter, f found) {
	again := func() {
		n.after(cancelLook, func() {
			if !w.done {
				n.cancel(w)
			}
		})
	}
	if f.open.Wanted {
		again()
		return
	}
	rec := f.open
	rec.Wanted = true
	it := Item{Key: openPrefix + w.id, Value: encode(rec)}
	n.ask(StateOp{Kind: OpTxn, Prio: PrioUser, When: []Cond{{it.Key, f.stamp}}, Apply: []Change{{Key: it.Key, Value: it.Value}}}, func(d StateDone) {
		if d.Status == StateOK {
			it.Stamp = d.Rev
			n.ownerSees(it)
		}
		again()
	})
}

// cancelLook is how often a waiting cancellation looks whether the peer has
// answered.
const cancelLook = 250 * time.Millisecond

// guestsKnown says that guest/ has been read in this term as owner.
func guestsKnown(n *Node) bool {
	held := n.owner.teams[n.guests.team]
	return n.guests.loaded && held != nil && held.term == n.guests.term
}

// loadGuests reads guest/ for a new owner of the guests' team.
func loadGuests(n *Node, team string) {
	g := &n.guests
	if g.loading {
		return
	}
	g.loading = true
	term := n.owner.teams[team].term
	by, renewed := map[string]guestRecord{}, map[string]time.Time{}
	var list func(from string)
	list = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: PrioSession, Key: guestPrefix, From: from}, func(d StateDone) {
			if held := n.owner; d.Status != StateOK || held == nil || held.teams[team] == nil || held.teams[team].term != term {
				g.loading = false
				return
			}
			for _, it := range d.Items {
				var r guestRecord
				switch {
				case !decode(it.Value, &r):
					n.info("unreadable record", "key", it.Key)
				case strings.HasPrefix(it.Key, renewedPrefix):
					renewed[strings.TrimPrefix(it.Key, renewedPrefix)] = time.UnixMilli(r.Renewed)
				default:
					by[strings.TrimPrefix(it.Key, guestPrefix)] = r
				}
			}
			if d.Truncated && len(d.Items) > 0 {
				list(d.Items[len(d.Items)-1].Key)
				return
			}
			*g = guests{team: team, term: term, loaded: true, by: by, renewed: renewed}
		})
	}
	list("")
}

// RenewOp writes down when the homes' answered reports were sent, for a successor:
// earlier than true is safe, and so is a loss.
type RenewOp struct{ Renewed map[string]time.Time }

func (RenewOp) command() {}

func renewOp(n *Node, c RenewOp) {
	if n.owner == nil || !guestsKnown(n) {
		return
	}
	op := StateOp{Kind: OpTxn, Prio: PrioLazy, When: n.shareConds(n.guests.team)}
	for _, home := range sortedKeys(c.Renewed) {
		if len(op.Apply) < n.set.TxnOps {
			op.Apply = append(op.Apply, Change{Key: renewedPrefix + home, Value: encode(guestRecord{Renewed: c.Renewed[home].UnixMilli()})})
		}
	}
	if len(op.Apply) > 0 {
		n.ask(op, func(StateDone) {})
	}
}

// loanQuery answers when the picture of open/ is as of a moment after the
// question.
func loanQuery(n *Node, c LoanQuery) {
	for _, p := range c.Progress {
		n.display[p.ID] = p
	}
	if o := n.owner; o != nil {
		for id, j := range o.jobs {
			if j.guest != "" {
				if was := j.startable; c.Startable[id].After(was) || c.Startable[id].IsZero() {
					j.startable = c.Startable[id]
					o.place = o.place || was.Before(n.now)
				}
			}
		}
	}
	no := func() { n.emit(LoanView{Reply: c.Reply, Leader: n.sess.lead.Host}) }
	here := func() bool {
		return n.owner != nil && n.owner.teams[c.Team] != nil && n.owner.teams[c.Team].ready
	}
	if here() && !guestsKnown(n) {
		loadGuests(n, c.Team)
		no()
		return
	}
	if n.leader == nil && !here() {
		n.emit(LoanView{Reply: c.Reply, OK: true, Leader: n.sess.lead.Host})
		return
	}
	n.freshen(func(ok bool) {
		if !ok || here() && !guestsKnown(n) {
			no()
			return
		}
		n.emit(loanView(n, c, here()))
	})
}

func loanView(n *Node, c LoanQuery, guests bool) LoanView {
	m := &n.users.mirror
	v := LoanView{
		Reply: c.Reply, OK: true, Leader: n.sess.lead.Host, SureUntil: n.sess.sureUntil,
		Drain: n.sess.drain.On, Renewed: maps.Clone(n.guests.renewed), Guests: guests,
	}
	if n.leader != nil {
		v.Leads, v.Epoch = true, n.leader.stamp
	}
	if guests {
		v.GuestEpoch, v.GuestTerm = n.sess.book.Team(c.Team).Since(), n.guests.term
	}
	if n.sess.drain.By > 0 {
		v.DrainBy = time.UnixMilli(n.sess.drain.By)
	}
	for _, id := range sortedKeys(m.open) {
		if r := m.open[id].rec; v.Leads && r.Lent != "" {
			v.Lent = append(v.Lent, LentJob{Spec: r.spec(id), At: time.UnixMilli(r.At), Peer: r.Lent, N: r.LentN, Stop: time.Duration(r.LentStop) * time.Millisecond, Wanted: r.Wanted})
		}
	}
	if guests {
		for _, name := range sortedKeys(n.guests.by) {
			v.Borrowed = append(v.Borrowed, borrowedJob(n, name))
		}
	}
	if o := n.owner; o != nil && o.ready && c.Plan {
		loanPlan(n, &v)
	}
	return v
}

// borrowedJob is what is durable of a loan that was taken.
func borrowedJob(n *Node, name string) BorrowedJob {
	g := n.guests.by[name]
	b := BorrowedJob{Loan: name, Job: g.Job, Cause: g.Cause, Status: Queued, Began: true}
	if l, there := n.users.mirror.open[g.Job]; there {
		b.Known, b.Spec, b.Ending = true, l.rec.spec(g.Job), l.rec.Cancelled
	} else if s, ok := n.users.final[g.Job]; ok {
		b.Known, b.Status = true, s
	} else {
		n.read(g.Job, func(d StateDone) {
			var r jobRecord
			if d.Status == StateOK && decode(d.Items[0].Value, &r) && r.Status.Final() {
				n.setFinal(g.Job, r.Status)
			}
		})
	}
	p := n.progress(g.Job)
	b.Done, b.Running = p.Done, p.Running
	if j := n.owner.jobs[g.Job]; j != nil {
		b.Began = j.began()
	}
	return b
}

// loanPlan plays the queue forward on the machines there are: which jobs of which
// nothing was started end too late, and which machines nothing of ours will want.
func loanPlan(n *Node, v *LoanView) {
	v.Cheapest = n.cheapest()
	images := map[string]bool{}
	r := n.futureRoom()
	p := n.newPlan(copyRoom(r, nil), r.images, nil)
	for _, d := range n.demands(n.horizon(), true, false) {
		last, none := time.Time{}, d.count == 0
		p.play(d, func(_ int, x *virtual, _, at time.Time) {
			if none = none || x == nil; x != nil {
				last = later(last, at)
			}
		})
		if d.spread > 0 || d.j.guest != "" {
			continue
		}
		end := last.Add(n.runs(d.j)).Sub(n.now)
		if none {
			end = hopelessly
		}
		// What waits may also run on machines that are rented for it, unless the
		// cloud has lately had none of the kind.
		for k, f := range bookable(n) {
			if d.j.allows(k.flavour, k.zone, k.spot) && d.j.Need.Fits(f.Size) {
				end = min(end, f.Ready+pull(&f, d.j)+n.runs(d.j))
			}
		}
		aim := n.latest(d.j).Add(n.expects(d.j)).Sub(n.now)
		if end > aim {
			v.Late, v.Urgency = true, max(v.Urgency, d.j.Urgency)
		}
		if d.j.untouched() {
			v.Waiting = append(v.Waiting, WaitingJob{
				Spec: d.j.Spec, Aim: aim, HomeEnd: end, Run: n.expects(d.j), LentN: d.j.lentN,
			})
		}
	}
	type like struct {
		k    kind
		each Resources
	}
	count := map[like]int{}
	for _, x := range p.vs {
		if x.m == nil || x.taken > 0 || !n.usable(x.m) || x.m.retiring {
			continue
		}
		count[like{x.k, x.m.free()}]++
		for name, im := range x.m.images {
			images[name] = images[name] || im.cached
		}
	}
	for k, f := range bookable(n) {
		v.Room = append(v.Room, FreeRoom{Flavour: k.flavour, Zone: k.zone, Spot: k.spot, Each: f.Size, Machines: bookMost, In: f.Ready, Price: n.price(k) / max(f.Size.CPU, 1), Rate: f.PullRate})
	}
	for l, k := range count {
		f := n.types[l.k.flavour]
		v.Room = append(v.Room, FreeRoom{Flavour: l.k.flavour, Zone: l.k.zone, Spot: l.k.spot, Each: l.each, Machines: k, Price: n.price(l.k) / max(f.Size.CPU, 1), Rate: f.PullRate})
	}
	slices.SortFunc(v.Room, func(a, b FreeRoom) int {
		return cmp.Or(strings.Compare(a.Flavour, b.Flavour), strings.Compare(a.Zone, b.Zone), cmp.Compare(b2f(a.Spot), b2f(b.Spot)), cmp.Compare(a.In, b.In), cmp.Compare(a.Each.CPU, b.Each.CPU), cmp.Compare(a.Each.Memory, b.Each.Memory))
	})
	for _, name := range sortedKeys(images) {
		if images[name] {
			v.Images = append(v.Images, name)
		}
	}
}

// bookMost is how many machines of a kind are offered to peers that would have to
// be rented for them: the cloud does not tell how many it has.
const bookMost = 8

// bookAgain is for how long after a refusal has passed a kind is not counted on. It
// is asked for again much sooner; but a plan that counts on it each time anew would
// keep at home what then waits.
const bookAgain = time.Minute

// bookable are the kinds of machines that the cloud has not lately refused.
func bookable(n *Node) map[kind]Flavour {
	out := map[kind]Flavour{}
	if n.owner.view == nil {
		return out
	}
	for _, f := range n.types {
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				k := kind{f.Name, z, spot}
				if n.now.Sub(n.owner.view.blocked[k]) > bookAgain {
					out[k] = f
				}
			}
		}
	}
	return out
}

// drainOp writes whether the cluster is being emptied of borrowed work.
func drainOp(n *Node, c DrainOp) {
	rec := encode(drainRecord{On: c.On, By: c.By.UnixMilli()})
	n.ask(StateOp{Kind: OpTxn, Prio: PrioUser, Apply: []Change{{Key: drainKey, Value: rec}}}, func(d StateDone) {
		s := LoanUnsure
		if d.Status == StateOK {
			s = LoanDurable
			n.ctlItem(Item{Key: drainKey, Value: rec, Stamp: d.Rev})
		}
		n.emit(LoanDone{c.Reply, s})
	})
}
