package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
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
	// stateDownAfter is how long requests must have failed, with no success
	// in between, before users are refused at once instead of tried for.
	stateDownAfter = 1500 * time.Millisecond
)

// session is this node's grant and its picture of ctl/.
type session struct {
	started bool
	ready   bool
	grant   uint64
	// sureUntil: until then the grant lives whatever happened, counted from
	// the sending of the last successful renewal. During an outage it lives
	// longer, but this node cannot know.
	sureUntil time.Time
	renewing  bool
	gen       int

	stateOK  time.Time
	stateBad time.Time

	rev       uint64
	loaded    bool
	lead      leadRecord
	leadStamp uint64
	nodes     map[string]nodeRecord
	shares    map[string]shareRecord
	stamps    map[string]uint64
	claiming  bool
	drain     drainRecord
	// deafUntil: this node has given up for hearing no worker and stands back
	// until then. othersHear is when another last said that it hears this node's.
	deafUntil  time.Time
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
	n.sess.started = true
	n.sess.nodes = map[string]nodeRecord{}
	n.sess.shares = map[string]shareRecord{}
	n.sess.stamps = map[string]uint64{}
	n.endOldLife()
	n.renewLoop()
	n.loadTypes()
}

// endOldLife ends the grant of this controller's earlier life, which is surely
// over, so that the others need not wait for it to run out.
func (n *Node) endOldLife() {
	n.ask(StateOp{Kind: OpGet, Prio: PrioSession, Key: nodePrefix + n.set.Host}, func(d StateDone) {
		switch d.Status {
		case StateOK:
			var old nodeRecord
			if len(d.Items) == 1 && decode(d.Items[0].Value, &old) && old.Nonce != n.set.Nonce {
				n.ask(StateOp{Kind: OpGrantDrop, Prio: PrioSession, Grant: old.Grant}, func(StateDone) { n.grantNew() })
				return
			}
			n.grantNew()
		case StateNotFound:
			n.grantNew()
		default:
			n.after(n.jitter(retryPause), n.endOldLife)
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
	rec := encode(nodeRecord{Grant: grant, Nonce: n.set.Nonce, Deaf: n.sess.deaf(n.now)})
	n.ask(StateOp{Kind: OpTxn, Prio: PrioSession, Apply: []Change{{Key: nodePrefix + n.set.Host, Value: rec, Grant: grant}}}, func(d StateDone) {
		if n.sess.grant != grant {
			return
		}
		switch d.Status {
		case StateOK:
			if !n.sess.loaded {
				n.loadCtl()
			}
		case StateBad, StateNoGrant:
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
	n.sess.grant = 0
	n.dropLead()
	n.dropOwner("session lost")
	n.grantNew()
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

func (n *Node) loadCtl() {
	n.ask(StateOp{Kind: OpList, Prio: PrioSession, Key: ctlPrefix}, func(d StateDone) {
		if d.Status != StateOK {
			n.after(n.jitter(retryPause), n.loadCtl)
			return
		}
		s := &n.sess
		s.lead, s.leadStamp = leadRecord{}, 0
		clear(s.nodes)
		clear(s.shares)
		clear(s.stamps)
		s.drain = drainRecord{}
		for _, it := range d.Items {
			n.ctlItem(it)
		}
		s.rev = d.Rev
		s.loaded, s.ready = true, true
		n.mirrorStart()
		n.ctlChanged()
		s.gen++
		n.follow(s.gen)
	})
}

func (n *Node) follow(gen int) {
	if gen != n.sess.gen {
		return
	}
	n.ask(StateOp{Kind: OpFollow, Prio: PrioSession, Key: ctlPrefix, Rev: n.sess.rev, Hold: watchHold}, func(d StateDone) {
		if gen != n.sess.gen {
			return
		}
		switch d.Status {
		case StateOK:
			for _, it := range d.Items {
				n.ctlItem(it)
			}
			n.sess.rev = max(n.sess.rev, d.Rev)
			if len(d.Items) > 0 {
				n.ctlChanged()
			}
			n.follow(gen)
		case StateGone:
			n.loadCtl()
		default:
			n.after(n.jitter(retryPause), func() { n.follow(gen) })
		}
	})
}

func (n *Node) ctlItem(it Item) {
	s := &n.sess
	// A watch answer can overtake the answer to our own write, which has
	// already told us more.
	if it.Stamp < s.stamps[it.Key] {
		return
	}
	s.stamps[it.Key] = it.Stamp
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
		host := strings.TrimPrefix(it.Key, sharePrefix)
		delete(s.shares, host)
		var r shareRecord
		if !it.Removed && decode(it.Value, &r) {
			s.shares[host] = r
		} else {
			// A removed share is written again under condition 0.
			s.stamps[it.Key] = it.Stamp
		}
	}
}

// shareStamp is the stamp to put into conditions: 0 for a missing record.
func (s *session) shareStamp(host string) uint64 {
	if _, ok := s.shares[host]; !ok {
		return 0
	}
	return s.stamps[sharePrefix+host]
}

func (n *Node) ctlChanged() {
	s := &n.sess
	switch {
	case s.leadStamp == 0:
		n.dropLead()
		if s.deaf(n.now) {
			// The others first; see deaf.go.
			n.after(deafWait, func() {
				if s.leadStamp == 0 {
					n.claimLead()
				}
			})
			break
		}
		n.claimLead()
	case s.lead.Nonce == n.set.Nonce && s.grant != 0:
		n.becomeLeader()
	default:
		n.dropLead()
	}
	n.ownerCheck()
}

func (n *Node) claimLead() {
	s := &n.sess
	if s.claiming || s.grant == 0 || !s.loaded {
		return
	}
	s.claiming = true
	rec := encode(leadRecord{Host: n.set.Host, Nonce: n.set.Nonce})
	n.ask(StateOp{Kind: OpTxn, Prio: PrioSession, When: []Cond{{leadKey, 0}},
		Apply: []Change{{Key: leadKey, Value: rec, Grant: s.grant}}}, func(d StateDone) {
		s.claiming = false
		switch d.Status {
		case StateOK:
			n.ctlItem(Item{Key: leadKey, Value: rec, Stamp: d.Rev})
			n.ctlChanged()
		case StateConflict:
			// Somebody else has it; the watch will say who. If our own
			// unanswered claim did it, the watch says that as well.
		case StateBad:
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

// holder says whose share names a machine, if any, and who has those that no
// share names.
func (n *Node) holder(machine string) (named, rest string) {
	for _, host := range sortedKeys(n.sess.shares) {
		r := n.sess.shares[host]
		if slices.Contains(r.Machines, machine) {
			return host, rest
		}
		if r.Rest {
			rest = host
		}
	}
	return "", rest
}

// steward is the controller that takes the reports of a machine.
func (n *Node) steward(machine string) string {
	named, rest := n.holder(machine)
	if named != "" {
		return named
	}
	return rest
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
