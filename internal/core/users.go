package core

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/lookup"
	"github.com/micahill/micahill/internal/promise"
)

const (
	// submitsInFlight bounds the transactions that carry submissions and
	// cancellations; what waits meanwhile shares the next one.
	submitsInFlight = 3
	// maxWaiting bounds what waits for the state service; the rest is
	// refused at once.
	maxWaiting = 400
	// userPatience is how long a request may wait for the state service
	// before it is refused. Less than the 2 s a user waits for a poll.
	userPatience = 1500 * time.Millisecond
	// comeBack is the Retry-After while the service is only briefly behind, and
	// comeBackLate while the state service is away. The latter is spread by a half
	// either way, so that hundreds who were refused do not return together.
	comeBack     = time.Second
	comeBackLate = 2 * time.Second
)

type users struct {
	// final caches terminal states for good, and dates the dates of done jobs:
	// milliseconds, and in the lowest byte the revision.
	final    map[string]JobStatus
	dates    map[string]uint64
	queue    []*submission
	inFlight int
	// polls are who waits for a read of a job's record, and lookups which reads that
	// takes.
	polls   map[string][]func(StateDone)
	lookups lookup.Book
	turn    bool
	waiting int
	expiry  []*waiter
	// told are the jobs of which somebody was told lately that they are accepted, and
	// when; tellings are the same in order.
	told     map[string]time.Time
	tellings []telling
	mirror   mirror
}

type telling struct {
	at time.Time
	id string
}

// tells notes that an answer leaves that says that a job is accepted. It is kept for as
// long as a request may wait that was read before.
func (u *users) tells(id string, now time.Time) {
	for len(u.tellings) > 0 && now.Sub(u.tellings[0].at) > userPatience {
		if first := u.tellings[0]; u.told[first.id].Equal(first.at) {
			delete(u.told, first.id)
		}
		u.tellings = u.tellings[1:]
	}
	if !u.told[id].Equal(now) {
		u.told[id] = now
		u.tellings = append(u.tellings, telling{now, id})
	}
}

// waiter is a user's request that still wants its answer.
type waiter struct {
	reply uint64
	id    string
	// until is how long it is waited for; see userPatience.
	until time.Time
	done  bool
}

type submission struct {
	w    *waiter
	spec Spec
	at   time.Time
	// alone: a transaction with others was malformed; it is stored by itself.
	alone bool
	// promised is the date that goes with it, 0 for none at hand.
	promised time.Duration
}

// date is what is told of it with its acceptance.
func (s *submission) date() promise.Date {
	r := s.record()
	return r.firstDate()
}

func (s *submission) record() openRecord {
	r := s.spec.record(s.at)
	r.P = int(s.promised.Milliseconds())
	return r
}

func (u *users) init() {
	u.final, u.told = map[string]JobStatus{}, map[string]time.Time{}
	u.polls = map[string][]func(StateDone){}
}

func (n *Node) newWaiter(reply uint64, id string) *waiter {
	w := &waiter{reply: reply, id: id, until: n.now.Add(userPatience)}
	n.users.waiting++
	if len(n.users.expiry) == 0 {
		n.after(userPatience, n.expireUsers)
	}
	n.users.expiry = append(n.users.expiry, w)
	return w
}

func (n *Node) expireUsers() {
	u := &n.users
	i := 0
	for ; i < len(u.expiry) && !u.expiry[i].until.After(n.now); i++ {
		if w := u.expiry[i]; !w.done {
			n.refuse(w, "the state service does not answer")
		}
	}
	u.expiry = slices.Delete(u.expiry, 0, i)
	if len(u.expiry) > 0 {
		n.after(u.expiry[0].until.Sub(n.now), n.expireUsers)
	}
}

func (n *Node) finish(w *waiter, r UserReply) {
	if w.done {
		return
	}
	w.done = true
	n.users.waiting--
	if s, over := n.users.final[w.id]; over && r.Status < 500 && r.State != string(s) {
		// It was read before the end, which others may have been told since.
		r = n.known(w.id, s)
	}
	if r.Status < 300 && n.users.waiting > 0 {
		n.users.tells(w.id, n.now)
	}
	r.Reply = w.reply
	if r.ID == "" {
		r.ID = w.id
	}
	if r.Status != 503 && !JobStatus(r.State).Final() {
		// It rests on a read that began after the question. Whoever asked waits for no
		// more than this, and may hear something newer from another controller then.
		r.Until = w.until
	}
	n.emit(r)
}

func (n *Node) refuse(w *waiter, why string) {
	n.finish(w, UserReply{Status: 503, Message: why, RetryAfter: comeBack})
}

// cannotDecide refuses at once while nothing can be read or stored.
// s is what is submitted, if anything is.
func (n *Node) cannotDecide(reply uint64, id string, s *Spec) bool {
	switch {
	case !n.sess.ready:
		n.emit(UserReply{Reply: reply, ID: id, Status: 503, Message: "starting", RetryAfter: comeBack})
	case n.stateDown(n.now):
		n.emit(UserReply{Reply: reply, ID: id, Status: 503, Message: "the state service is away", RetryAfter: n.spread(comeBackLate)})
	case n.users.waiting >= maxWaiting || s != nil && rankRefuses(n, s):
		n.emit(UserReply{Reply: reply, ID: id, Status: 503, Message: "too many requests are waiting", RetryAfter: n.spread(comeBackLate)})
	default:
		return false
	}
	return true
}

func (n *Node) known(id string, s JobStatus) UserReply {
	r := UserReply{Status: 200, ID: id, State: string(s)}
	if !s.Final() {
		p := n.progress(id)
		r.Done, r.Running = p.Done, p.Running
		if p.Running > 0 {
			r.State = "running"
		}
	} else if d, ok := n.users.dates[id]; ok && s == Done {
		r = r.told(promise.Date{After: time.Duration(d>>8) * time.Millisecond, Rev: int(d & 0xff)})
	}
	return r
}

// progress is a job's count of tasks as far as this node knows; for display.
func (n *Node) progress(id string) Progress {
	if n.owner != nil {
		if j := n.owner.jobs[id]; j != nil {
			return j.progress()
		}
	}
	return n.display[id]
}

func (n *Node) submit(c Submit) {
	id := c.Spec.ID
	if s, ok := n.users.final[id]; ok {
		n.emit(withReply(n.known(id, s), c.Reply))
		return
	}
	if n.cannotDecide(c.Reply, id, &c.Spec) {
		return
	}
	w := n.newWaiter(c.Reply, id)
	status, why := 0, ""
	switch {
	case c.Bad != "":
		status, why = 400, c.Bad
	case n.types == nil:
		n.lookFirst(w, 503, "machine types are not known yet")
		return
	default:
		c.Spec = n.bound(c.Spec)
		status, why = n.validate(&c.Spec)
	}
	if status != 0 {
		// A known job is never called malformed or impossible, so look
		// before refusing.
		n.lookFirst(w, status, why)
		return
	}
	s := &submission{w: w, spec: c.Spec, at: n.now}
	n.prereqsKnown(w, c.Spec.Prereqs, func() {
		s.promised = quote(n, &s.spec)
		n.users.queue = append(n.users.queue, s)
	})
}

func withReply(r UserReply, reply uint64) UserReply {
	r.Reply = reply
	return r
}

// validate says why a job can never run here.
func (n *Node) validate(s *Spec) (int, string) {
	var team *Team
	for i := range n.set.Teams {
		if n.set.Teams[i].Name == s.Team {
			team = &n.set.Teams[i]
		}
	}
	if team == nil {
		return 422, "unknown owner " + s.Team
	}
	fits := n.offeredTo(s)
	if len(fits.flavours) == 0 {
		return 422, "a task fits no allowed flavour"
	}
	if s.Gang && s.Apart && s.Tasks > 1 && (s.SamePlace || len(fits.zones) == 1) {
		return 422, "tasks that start together cannot be apart in one zone"
	}
	count := 1.0
	if s.Standing || s.Gang {
		count = float64(s.Tasks)
	}
	all := Resources{}.Plus(s.Need, count)
	if (team.Limit.CPU > 0 && all.CPU > team.Limit.CPU+slack) || (team.Limit.GPU > 0 && all.GPU > team.Limit.GPU+slack) {
		return 422, "the job needs more than its owner's limit"
	}
	if why := n.badPrereqs(s); why != "" {
		return 422, why
	}
	if size, err := bounds.JSON(encode(s.record(n.now))); err != nil || size+openSpare > n.set.ValueBytes {
		return 400, "the description is too long"
	}
	return 0, ""
}

// openSpare is the room left in a job's record for what is added later: that it is
// cancelled, lent or borrowed.
const openSpare = 256

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// offered are the kinds of machines on which a task can run.
type offered struct {
	flavours []string
	zones    map[string]bool
	// tooSmall: others are allowed that it would fit but for its image.
	tooSmall bool
}

// offeredTo finds what is offered anywhere of what a job allows.
func (n *Node) offeredTo(s *Spec) offered {
	out := offered{zones: map[string]bool{}}
	for _, name := range sortedKeys(n.types) {
		f := n.types[name]
		zones := slices.DeleteFunc(slices.Clone(f.Zones), func(z string) bool { return s.Zone != "" && s.Zone != z })
		allowed := len(s.Flavours) == 0 || slices.Contains(s.Flavours, name)
		switch {
		case !allowed || len(zones) == 0 || !s.Need.Fits(f.Size):
		case f.DiskGB > 0 && s.ImageGB > f.DiskGB:
			out.tooSmall = true
		default:
			out.flavours = append(out.flavours, name)
			for _, z := range zones {
				out.zones[z] = true
			}
		}
	}
	return out
}

// bound is a job that allows only flavours whose disks have room for its image: whoever
// places it or rents for it looks at nothing but what it allows.
func (n *Node) bound(s Spec) Spec {
	if fits := n.offeredTo(&s); fits.tooSmall && len(fits.flavours) > 0 {
		s.Flavours = fits.flavours
	}
	return s
}

// lookFirst answers with the job's state if it is known, else as told.
func (n *Node) lookFirst(w *waiter, status int, why string) {
	n.look(w.id, func(f found) {
		switch {
		case !f.ok:
			n.refuse(w, "the state service does not answer")
		case f.known:
			n.finish(w, n.tell(w.id, f))
		default:
			r := UserReply{Status: status, Message: why}
			if status == 503 {
				r.RetryAfter = comeBack
			}
			n.finish(w, r)
		}
	})
}

// tell is the answer for a record just read.
func (n *Node) tell(id string, f found) UserReply {
	r := f.rec
	if r.Status.Final() {
		n.setFinal(id, r.Status)
		doneDate(n, id, r)
	}
	a := n.known(id, r.Status)
	if r.Status == Done {
		a.Done = r.Tasks
	} else if !r.Status.Final() {
		a = a.told(f.date)
	}
	return a
}

func (n *Node) setFinal(id string, s JobStatus) {
	n.users.final[id] = s
	delete(n.display, id)
	n.pipelineSees(id)
}

// read gets job/<id> with a read begun after this call. Many that wait together share
// few reads; see internal/lookup.
func (n *Node) read(id string, fn func(StateDone)) {
	u := &n.users
	u.polls[id] = append(u.polls[id], fn)
	u.lookups.Ask(id)
	n.readNext()
}

// readNext sends the reads that are due.
func (n *Node) readNext() {
	u := &n.users
	for {
		r, ok := u.lookups.Next()
		if !ok {
			return
		}
		if !u.turn {
			u.turn = true
			n.after(freshEvery, func() {
				u.turn = false
				u.lookups.Turn()
				n.readNext()
			})
		}
		// It answers those that asked before it began.
		fns := map[string][]func(StateDone){}
		for _, id := range r.Asked() {
			fns[id] = u.polls[id]
			delete(u.polls, id)
		}
		op := StateOp{Kind: OpGet, Prio: PrioUser, Key: jobPrefix + r.ID}
		if r.List {
			op.Kind, op.Key, op.From = OpList, jobPrefix, jobPrefix+r.From
		}
		n.ask(op, func(d StateDone) { n.readDone(r, d, fns) })
	}
}

// readDone answers what a read was for.
func (n *Node) readDone(r lookup.Read, d StateDone, fns map[string][]func(StateDone)) {
	u := &n.users
	ok, last, found := d.Status == StateOK, "", map[string]Item{}
	for _, it := range d.Items {
		last = strings.TrimPrefix(it.Key, jobPrefix)
		found[last] = it
		var rec jobRecord
		if r.List && decode(it.Value, &rec) && rec.Status.Final() {
			// An end is for good, whoever asks for it.
			n.setFinal(last, rec.Status)
			doneDate(n, last, rec)
		}
	}
	settled := u.lookups.Done(r, ok, last, d.Truncated && last != "")
	// What the list did not come to waits for the next.
	for id, rest := range fns {
		if !slices.Contains(settled, id) {
			u.polls[id] = append(rest, u.polls[id]...)
		}
	}
	for _, id := range settled {
		one := d
		if it, there := found[id]; r.List && ok && there {
			one.Items = []Item{it}
		} else if r.List && ok {
			one.Status, one.Items = StateNotFound, nil
		}
		for _, fn := range fns[id] {
			fn(one)
		}
	}
	n.readNext()
}

func (n *Node) query(c Query) {
	if s, ok := n.users.final[c.ID]; ok {
		n.emit(withReply(n.known(c.ID, s), c.Reply))
		return
	}
	if n.cannotDecide(c.Reply, c.ID, nil) {
		return
	}
	n.lookFirst(n.newWaiter(c.Reply, c.ID), 404, "no such job")
}

// usersFlush puts waiting submissions into transactions, many in one.
func (n *Node) usersFlush() {
	u := &n.users
	for len(u.queue) > 0 && u.inFlight < submitsInFlight {
		var batch []*submission
		seen := map[string]bool{}
		size := 0
		for len(u.queue) > 0 && len(batch) < n.set.TxnOps {
			s := u.queue[0]
			if s.w.done {
				u.queue = u.queue[1:]
				continue
			}
			// The same id twice in a transaction would conflict with itself.
			if seen[s.spec.ID] || len(batch) > 0 && (s.alone || batch[0].alone) {
				break
			}
			one, err := bounds.JSON(encode(s.record()))
			if size += one + submitFrame; (err != nil || size > txnFull) && len(batch) > 0 {
				break
			}
			seen[s.spec.ID] = true
			batch = append(batch, s)
			u.queue = u.queue[1:]
		}
		if len(batch) == 0 {
			break
		}
		u.inFlight++
		n.store(batch)
	}
}

// submitFrame is what a submission takes of a transaction beside its record: three
// keys with what goes round them.
const submitFrame = 512

func (n *Node) store(batch []*submission) {
	var op StateOp
	op.Kind, op.Prio = OpTxn, PrioUser
	for _, s := range batch {
		id := s.spec.ID
		// Neither over nor open: never accepted before. One change is enough;
		// job/ is written when the job is over.
		op.When = append(op.When, Cond{jobPrefix + id, 0}, Cond{openPrefix + id, 0})
		op.Apply = append(op.Apply, Change{Key: openPrefix + id, Value: encode(s.record())})
	}
	n.ask(op, func(d StateDone) {
		n.users.inFlight--
		switch d.Status {
		case StateOK:
			for _, s := range batch {
				n.finish(s.w, n.accepted(s))
				n.ownerSees(Item{Key: openPrefix + s.spec.ID, Value: encode(s.record()), Stamp: d.Rev})
			}
		case StateConflict:
			var again []*submission
			for _, s := range batch {
				if slices.Contains(d.Failed, jobPrefix+s.spec.ID) || slices.Contains(d.Failed, openPrefix+s.spec.ID) {
					n.lookFirst(s.w, 503, "conflict")
				} else {
					again = append(again, s)
				}
			}
			n.users.queue = append(again, n.users.queue...)
		case StateBad:
			if len(batch) == 1 {
				s := batch[0]
				n.lookFirst(s.w, 400, fmt.Sprintf("job %s cannot be stored", s.spec.ID))
				break
			}
			// One of them is at fault, and the others are not to suffer for it.
			for _, s := range batch {
				s.alone = true
			}
			n.users.queue = append(batch, n.users.queue...)
		default:
			for _, s := range batch {
				n.refuse(s.w, "the state service does not answer")
			}
		}
	})
}

func (n *Node) abort(c Abort) {
	if s, ok := n.users.final[c.ID]; ok {
		n.emit(withReply(n.known(c.ID, s), c.Reply))
		return
	}
	if n.cannotDecide(c.Reply, c.ID, nil) {
		return
	}
	n.cancel(n.newWaiter(c.Reply, c.ID))
}

func (n *Node) cancel(w *waiter) {
	n.look(w.id, func(f found) {
		switch {
		case !f.ok:
			n.refuse(w, "the state service does not answer")
			return
		case !f.known:
			n.finish(w, UserReply{Status: 404, Message: "no such job"})
			return
		case f.rec.Status.Final() || f.stamp == 0:
			n.finish(w, n.tell(w.id, f))
			return
		case w.done:
			return
		case f.open.Lent != "":
			cancelLent(n, w, f)
			return
		}
		id := w.id
		// What its tasks take stays known: until they are gone they count for
		// their team's limit, under whatever owner.
		rec := f.open
		rec.Cancelled, rec.CancelledAt = true, n.now.UnixMilli()
		rec.shorten(n.set.ValueBytes)
		open := encode(rec)
		// Both records change together: the stamp of open/ guards starts.
		n.ask(StateOp{Kind: OpTxn, Prio: PrioUser, When: []Cond{{openPrefix + id, f.stamp}},
			Apply: []Change{
				{Key: jobPrefix + id, Value: encode(overRecord(n, id, Cancelled, &living{f.stamp, f.open}))},
				{Key: openPrefix + id, Value: open},
			}}, func(d StateDone) {
			switch d.Status {
			case StateOK:
				n.setFinal(id, Cancelled)
				n.ownerSees(Item{Key: openPrefix + id, Value: open, Stamp: d.Rev})
				tellCancelled(n, CancelNews{ID: id, Record: open, Stamp: d.Rev}, n.set.Peers)
				n.finish(w, n.known(id, Cancelled))
			case StateConflict:
				// Done or cancelled in between: look again.
				n.cancel(w)
			default:
				n.refuse(w, "the state service does not answer")
			}
		})
	})
}
