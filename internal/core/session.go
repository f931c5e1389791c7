package core

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/incarnation"
)

const (
	// sessionTTL is how long a silent controller keeps its roles. Short, for
	// a quick takeover; several renewals fit in, for late answers.
	sessionTTL = 4 * time.Second
	// renewEvery leaves room for two lost renewals within sessionTTL.
	renewEvery = time.Second
	// retryPause separates tries after a refusal of the state service.
	retryPause = 400 * time.Millisecond
	// watchHold is how long a watch stays open without news.
	watchHold = 30 * time.Second
	// awayEvery is how often the others are told that the state service does
	// not answer, and awayFresh how long that counts.
	awayEvery = time.Second
	awayFresh = 3 * time.Second
	// youngWait is how long one that has just begun leaves the lead to others: they
	// hear of it within some milliseconds.
	youngWait = 500 * time.Millisecond
	// stateDownAfter is how long requests must have failed, with no success
	// in between, before users are refused at once instead of tried for.
	stateDownAfter = 1500 * time.Millisecond
)

// session is this node's grant and its picture of ctl/.
type session struct {
	started bool
	ready   bool
	grant   uint64
	// born is when this process began. nodeStamp is the stamp of this controller's
	// record, 0 when there is none: what is written there names it, so that a late
	// write of a former life does not take the place of this one's.
	born      time.Time
	nodeStamp uint64
	// sureUntil: until then the grant lives whatever happened, counted from
	// the sending of the last successful renewal. During an outage it lives
	// longer, but this node cannot know.
	sureUntil time.Time
	renewing  bool
	gen       int

	stateBad time.Time

	// rev is the revision up to which ctl/ is known. Its records are taken in as
	// the watch brings them, in their order and never ahead of it, our own as well:
	// then all that is read of the division belongs together.
	rev       uint64
	loaded    bool
	lead      leadRecord
	leadStamp uint64
	nodes     map[string]nodeRecord
	book      *division.Book
	claiming  bool
	drain     drainRecord
	// forms are the controllers that know parts of records, and form the one that all
	// have come to, of formKey's stamp; forming: a write for that is under way. See
	// forms.go.
	forms     map[string]bool
	form      taskForm
	formStamp uint64
	forming   bool
	// lowered: the state service has its new limits, and probing: that has lately been
	// asked for.
	lowered, probing bool
	// terms counts the grants that this process has lost: each makes another life of
	// it, since which of its orders are on their way is forgotten with its roles.
	terms int
	// asOf wait until ctl/ is known as of a moment after they were asked; sure is
	// that a read for them is under way.
	asOf  []func()
	sure  bool
	ranks ranks
	// deafUntil: this node has given up for hearing no worker and stands back
	// until then; mute: it heard them, and they didn't hear it. othersHear is when another last said that it hears this node's.
	deafUntil  time.Time
	mute       bool
	othersHear time.Time
}

func (n *Node) stateDown(now time.Time) bool {
	s := &n.sess
	return !s.stateBad.IsZero() && now.Sub(s.stateBad) > stateDownAfter
}

// outageShared says that all the other controllers have lost the state service
// as well, so that a user who is sent elsewhere finds it no better. A node that
// is alone with its loss turns unhealthy, and so does one that hears nothing;
// in an outage for all, to be taken out and let in again only costs time.
func (n *Node) outageShared(now time.Time) bool {
	for _, p := range n.set.Peers {
		if at, ok := n.away[p]; !ok || now.Sub(at) > awayFresh {
			return false
		}
	}
	return len(n.set.Peers) > 0
}

// tellAway tells the others that the state service does not answer here.
func (n *Node) tellAway() {
	if !n.stateDown(n.now) || n.now.Sub(n.toldAway) < awayEvery {
		return
	}
	n.toldAway = n.now
	for _, p := range n.set.Peers {
		n.emit(PeerSend{To: p, News: PeerNews{From: n.set.Host, StateAway: true}})
	}
}

func (n *Node) sessionStart() {
	n.sess.started, n.sess.born = true, n.now
	n.sess.nodes, n.sess.forms = map[string]nodeRecord{}, map[string]bool{}
	n.sess.book = division.NewBook()
	// The earlier life is ended at once, whatever this one waits for: the others are
	// to have its duties.
	ended, waited := false, false
	begin := func() {
		if ended && waited {
			n.grantNew()
		}
	}
	n.endOldLife(func() {
		ended = true
		begin()
	})
	beginLife(n, func() {
		waited = true
		begin()
	})
	n.renewLoop()
	n.loadTypes()
	promisesStart(n)
	pulse(n)
}

// beginLife calls fn when this life may take part, which after several short ones in
// a row is not at once; see internal/incarnation.
func beginLife(n *Node, fn func()) {
	key := lifePrefix + n.set.Host
	n.ask(StateOp{Kind: OpGet, Prio: PrioSession, Key: key}, func(d StateDone) {
		if d.Status != StateOK && d.Status != StateNotFound {
			n.after(n.jitter(retryPause), func() { beginLife(n, fn) })
			return
		}
		var r lifeRecord
		known := d.Status == StateOK && len(d.Items) == 1 && decode(d.Items[0].Value, &r)
		past, wait := incarnation.Begin(n.now, incarnation.Past{Born: time.UnixMilli(r.Born), Short: r.Short}, known)
		// It need not be waited for: lost, it only makes the next life wait less.
		rec := encode(lifeRecord{Born: past.Born.UnixMilli(), Short: past.Short})
		n.ask(StateOp{Kind: OpTxn, Prio: PrioSession, Apply: []Change{{Key: key, Value: rec}}}, func(StateDone) {})
		if wait > 0 {
			n.info("earlier lives were short: this one waits", "lives", past.Short, "for", wait)
		}
		n.after(wait, fn)
	})
}

// endOldLife ends the grant of this controller's earlier life, which is surely
// over, so that the others need not wait for it to run out, and calls fn when it is
// known what stands under its name.
func (n *Node) endOldLife(fn func()) {
	s := &n.sess
	n.ask(StateOp{Kind: OpGet, Prio: PrioSession, Key: nodePrefix + n.set.Host}, func(d StateDone) {
		switch d.Status {
		case StateOK:
			var old nodeRecord
			if !decode(d.Items[0].Value, &old) || old.Nonce == n.life() {
				s.nodeStamp = d.Items[0].Stamp
				fn()
				return
			}
			n.ask(StateOp{Kind: OpGrantDrop, Prio: PrioSession, Grant: old.Grant}, func(StateDone) {
				// Should the record stand all the same, registering fails and comes
				// back here.
				s.nodeStamp = 0
				fn()
			})
		case StateNotFound:
			s.nodeStamp = 0
			fn()
		default:
			n.after(n.jitter(retryPause), func() { n.endOldLife(fn) })
		}
	})
}

func (n *Node) grantNew() {
	n.ask(StateOp{Kind: OpGrantNew, Prio: PrioSession, TTL: sessionTTL}, func(d StateDone) {
		if d.Status != StateOK {
			n.after(n.jitter(retryPause), n.grantNew)
			return
		}
		n.sess.grant = d.Grant
		n.sess.sureUntil = d.Sent.Add(sessionTTL)
		n.register()
	})
}

func (n *Node) register() {
	grant := n.sess.grant
	key := nodePrefix + n.set.Host
	rec := encode(nodeRecord{Grant: grant, Nonce: n.life(), Deaf: n.sess.deaf(n.now), Born: n.sess.born.UnixMilli()})
	n.ask(StateOp{Kind: OpTxn, Prio: PrioSession, When: []Cond{{key, n.sess.nodeStamp}}, Apply: []Change{{Key: key, Value: rec, Grant: grant}}}, func(d StateDone) {
		if n.sess.grant != grant {
			return
		}
		switch d.Status {
		case StateConflict:
			// A write of a former life came late, or this one's own had no answer.
			n.after(n.jitter(retryPause), func() {
				if n.sess.grant == grant {
					n.endOldLife(func() {
						if n.sess.grant == grant {
							n.register()
						}
					})
				}
			})
		case StateOK:
			n.sess.nodeStamp = d.Rev
			if !n.sess.loaded {
				n.loadCtl()
			}
		case StateNoGrant:
			n.sessionLost("grant ended before registration")
		default:
			n.after(n.jitter(retryPause), func() {
				if n.sess.grant == grant {
					n.register()
				}
			})
		}
	})
}

// sessionLost steps down at once: the state service says the grant is over,
// so others may hold the roles already.
func (n *Node) sessionLost(why string) {
	if n.sess.grant == 0 {
		return
	}
	n.info("session lost", "why", why)
	n.endTerm("session lost")
	n.grantNew()
}

// endTerm gives up all roles with the grant that they rest on. What this process
// takes up under its next grant it takes up as another life.
func (n *Node) endTerm(why string) {
	n.sess.grant, n.sess.nodeStamp = 0, 0
	n.sess.terms++
	n.dropLead()
	n.dropOwner(why)
}

func (n *Node) renewLoop() {
	n.after(renewEvery, n.renewLoop)
	s := &n.sess
	if s.grant == 0 || s.renewing {
		return
	}
	s.renewing = true
	grant := s.grant
	n.ask(StateOp{Kind: OpGrantRenew, Prio: PrioSession, Grant: grant}, func(d StateDone) {
		s.renewing = false
		if s.grant != grant {
			return
		}
		switch d.Status {
		case StateOK:
			s.sureUntil = d.Sent.Add(sessionTTL)
		case StateNotFound, StateNoGrant:
			n.sessionLost("grant ran out")
		}
	})
}

// young says that a controller began so lately that it gets no duty yet that another
// can have.
func (n *Node) young(r nodeRecord) bool {
	return r.Born != 0 && incarnation.IsYoung(n.now, time.UnixMilli(r.Born))
}

// othersGrown says that some other controller has been up for a while.
func (n *Node) othersGrown() bool {
	for h, r := range n.sess.nodes {
		if h != n.set.Host && !n.young(r) && !r.Deaf {
			return true
		}
	}
	return false
}

// current says that news comes from a life of its sender that takes part now, as far as
// this node has read. What a former life sent may come late, and what it asked for may
// be in use by now.
func (n *Node) current(c *PeerNews) bool {
	r, lives := n.sess.nodes[c.From]
	return lives && r.Nonce == c.Life
}

// life names this process, and which grant it has in turn.
func (n *Node) life() string {
	if n.sess.terms == 0 {
		return n.set.Nonce
	}
	return n.set.Nonce + "." + strconv.Itoa(n.sess.terms)
}

// loadCtl reads ctl/ anew. Pages read later may tell of later changes, so that it is
// whole only when the changes up to the last page have come in order as well.
func (n *Node) loadCtl() {
	s := &n.sess
	s.gen++
	gen := s.gen
	var items []Item
	var first uint64
	var began time.Time
	var list func(from string)
	list = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: PrioSession, Key: ctlPrefix, From: from}, func(d StateDone) {
			if gen != s.gen {
				return
			}
			if d.Status != StateOK {
				n.after(n.jitter(retryPause), func() {
					if gen == s.gen {
						list(from)
					}
				})
				return
			}
			if from == "" {
				first, items, began = d.Rev, nil, d.Sent
			}
			items = append(items, d.Items...)
			if d.Truncated && len(d.Items) > 0 {
				list(d.Items[len(d.Items)-1].Key)
				return
			}
			s.lead, s.leadStamp, s.drain = leadRecord{}, 0, drainRecord{}
			clear(s.nodes)
			before := s.book
			s.book = division.NewBook()
			for _, it := range items {
				n.ctlItem(it)
			}
			teamsReread(n, before)
			rankRead(n, items)
			rankKnown(n, began)
			s.rev = first
			n.follow(gen, d.Rev)
		})
	}
	list("")
}

// follow watches ctl/. What is known of it counts from the revision whole on.
func (n *Node) follow(gen int, whole uint64) {
	s := &n.sess
	if gen != s.gen {
		return
	}
	if !s.loaded && s.rev >= whole {
		s.loaded, s.ready = true, true
		n.mirrorStart()
		n.ctlChanged()
	}
	hold := watchHold
	if s.rev < whole {
		hold = 0
	}
	n.ask(StateOp{Kind: OpFollow, Prio: PrioSession, Key: ctlPrefix, Rev: s.rev, Hold: hold}, func(d StateDone) {
		if gen != s.gen {
			return
		}
		switch d.Status {
		case StateOK:
			n.ctlNews(d)
			n.follow(gen, whole)
		case StateGone:
			s.loaded = false
			n.loadCtl()
		default:
			n.after(n.jitter(retryPause), func() { n.follow(gen, whole) })
		}
	})
}

// ctlNews takes in what a watch or a read of ctl/ has brought: all changes after a
// revision that was known. Of two that overlap each change counts once.
func (n *Node) ctlNews(d StateDone) {
	s := &n.sess
	some := false
	for i, it := range d.Items {
		if it.Stamp > s.rev {
			n.ctlItem(it)
			some = true
			if i+1 == len(d.Items) || d.Items[i+1].Stamp != it.Stamp {
				teamsAway(n)
			}
		}
	}
	s.rev = max(s.rev, d.Rev)
	rankKnown(n, d.Sent)
	if some && s.loaded {
		n.ctlChanged()
	}
}

// ctlSure calls fn when ctl/ is known as of a moment after this call. What is counted
// against a machine by time alone, as the end of its lease, may count only if the
// machine still was this controller's by then.
func (n *Node) ctlSure(fn func()) {
	s := &n.sess
	s.asOf = append(s.asOf, fn)
	if s.sure || !s.loaded {
		return
	}
	s.sure = true
	fns := s.asOf
	s.asOf = nil
	gen := s.gen
	n.ask(StateOp{Kind: OpFollow, Prio: PrioSession, Key: ctlPrefix, Rev: s.rev}, func(d StateDone) {
		s.sure = false
		if gen != s.gen || d.Status != StateOK {
			// Whoever needs it asks again.
			return
		}
		n.ctlNews(d)
		for _, fn := range fns {
			fn()
		}
		if next := s.asOf; len(next) > 0 {
			s.asOf = nil
			for _, fn := range next {
				n.ctlSure(fn)
			}
		}
	})
}

func (n *Node) ctlItem(it Item) {
	s := &n.sess
	value := it.Value
	if it.Removed {
		value = nil
	}
	var err error
	switch {
	case it.Key == drainKey:
		s.drain = drainRecord{}
		if !it.Removed {
			decode(it.Value, &s.drain)
		}
	case it.Key == leadKey:
		s.lead, s.leadStamp = leadRecord{}, 0
		if !it.Removed && decode(it.Value, &s.lead) {
			s.leadStamp = it.Stamp
		}
	case it.Key == formKey, strings.HasPrefix(it.Key, formPrefix):
		formItem(n, it)
	case it.Key == rankingKey:
		rankItem(n, it)
	case strings.HasPrefix(it.Key, hearsPrefix):
		hearsItem(n, it)
	case strings.HasPrefix(it.Key, nodePrefix):
		host := strings.TrimPrefix(it.Key, nodePrefix)
		delete(s.nodes, host)
		var r nodeRecord
		if !it.Removed && decode(it.Value, &r) {
			s.nodes[host] = r
		}
	case strings.HasPrefix(it.Key, sharePrefix):
		err = s.book.Share(strings.TrimPrefix(it.Key, sharePrefix), value, it.Stamp)
	case strings.HasPrefix(it.Key, lotPrefix):
		err = s.book.Lot(strings.TrimPrefix(it.Key, lotPrefix), value, it.Stamp)
	}
	if err != nil {
		n.complain("record", it.Key, err.Error())
	}
}

func (n *Node) ctlChanged() {
	s := &n.sess
	rankTaken(n)
	switch {
	case s.leadStamp == 0:
		n.dropLead()
		wait := time.Duration(0)
		switch {
		case s.deaf(n.now):
			// The others first; see deaf.go.
			wait = deafWait
		case incarnation.IsYoung(n.now, s.born) && n.othersGrown():
			// Others have been up for longer, and may be for longer yet.
			wait = youngWait
		}
		if wait == 0 {
			n.claimLead()
			break
		}
		n.after(wait, func() {
			if s.leadStamp == 0 {
				n.claimLead()
			}
		})
	case s.lead.Nonce == n.life() && s.grant != 0:
		n.becomeLeader()
	default:
		n.dropLead()
	}
	n.ownerCheck()
	formCheck(n)
}

func (n *Node) claimLead() {
	s := &n.sess
	if s.claiming || s.grant == 0 || !s.loaded {
		return
	}
	s.claiming = true
	rec := encode(leadRecord{Host: n.set.Host, Nonce: n.life()})
	n.ask(StateOp{Kind: OpTxn, Prio: PrioSession, When: []Cond{{leadKey, 0}},
		Apply: []Change{{Key: leadKey, Value: rec, Grant: s.grant}}}, func(d StateDone) {
		s.claiming = false
		switch d.Status {
		case StateOK, StateConflict:
			// The watch will say who has it. If our own unanswered claim did it,
			// the watch says that as well.
		case StateNoGrant:
			n.sessionLost("grant ended while claiming the lead")
		default:
			n.after(n.jitter(retryPause), func() {
				if s.leadStamp == 0 {
					n.claimLead()
				}
			})
		}
	})
}

// steward is the controller that takes the reports of a machine: its owner, if it
// lives.
func (n *Node) steward(machine string) string {
	o, ok := n.sess.book.Owner(machine)
	if !ok || !n.sess.loaded || n.sess.nodes[o.Host].Nonce != o.Nonce {
		return ""
	}
	return o.Host
}

// mine says whether a machine is this controller's by the records that it has read,
// and under which epoch.
func (n *Node) mine(machine string) (division.Owner, bool) {
	o, ok := n.sess.book.Owner(machine)
	return o, ok && o.Host == n.set.Host && o.Nonce == n.life() && n.sess.grant != 0 && n.sess.loaded
}

// sortedKeys gives an order to a map, so that the same inputs give the same
// decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
