package core

import (
	"slices"
	"time"
)

// A controller that reaches the state service but no worker is of no use as an
// owner: it keeps its grant, so nobody takes its share, and the workers' leases
// run out while they ask the others in vain. The others tell it, by a record that
// its watch brings, that its machines keep coming to them; together with its own
// silence that is proof, and it gives its grant up. Where nobody hears the
// workers nobody says so, and everything stays as it is.
//
// The same holds for one whose answers are lost on the way: it hears the workers in
// their turns, and they hear the others only. When the others say that its machines
// come back, it asks those that it has just heard; if none answers, it is mute.

const (
	// hearsPrefix keeps what a controller says of machines that come back to it.
	hearsPrefix = ctlPrefix + "hears/"
	// strayLeast is how many machines must come back before anybody says so. One
	// may have lost its way by itself.
	strayLeast = 2
	// hearsEvery separates two such records, and hearsFresh is how long one counts.
	hearsEvery = 3 * time.Second
	hearsFresh = 10 * time.Second
	// deafLong is how long a controller that gave up stands back, unless a report
	// comes before; it goes on serving users.
	deafLong = 2 * time.Minute
	// deafWait is how long it leaves the lead to others when there is none. If all
	// have given up, one of them has to lead after all.
	deafWait = 3 * time.Second
)

// hearsRecord says that machines of the controller Of, in its life Nonce, keep
// coming to whoever writes it.
type hearsRecord struct {
	Of       string `msgpack:"of"`
	Nonce    string `msgpack:"nonce"`
	Machines int    `msgpack:"n"`
}

// deaf says that this controller has lately given up for hearing no worker.
func (s *session) deaf(now time.Time) bool { return now.Before(s.deafUntil) }

// reportCame notes that a report has reached this controller at all.
func reportCame(n *Node, r *Report) {
	n.selfMonitor.Heard(n.now)
	switch {
	case !n.sess.deaf(n.now):
	case !n.sess.mute:
		hearsAgain(n)
	case n.now.Sub(n.askedHears) > probeEvery:
		// That it hears the worker is nothing new.
		n.askedHears = n.now
		n.call(WorkerOp{Machine: r.Machine, Addr: r.Addr, Ask: true}, func(d WorkerDone) {
			if d.Report != nil && n.sess.deaf(n.now) {
				hearsAgain(n)
			}
		})
	}
}

// askLatest asks the machines that were last heard whether they hear this owner.
func askLatest(n *Node) {
	var ms []*machine
	for _, m := range n.owner.byID {
		if m.heard && !m.returning {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b *machine) int { return b.lastHeard.Compare(a.lastHeard) })
	for _, m := range ms[:min(len(ms), latestAsked)] {
		n.contact(m)
	}
}

// latestAsked is how many machines are asked when others say that they come back.
const latestAsked = 4

// hearsAgain lets the controller be chosen again.
func hearsAgain(n *Node) {
	n.sess.deafUntil, n.sess.mute = time.Time{}, false
	if n.sess.grant != 0 && n.sess.loaded {
		n.register()
	}
}

// strayed notes that a machine was sent to its steward, and tells that steward
// when its machines keep coming here. One that does not hear where it is sent says
// nothing of its steward, so it is asked.
func strayed(n *Node, r *Report, steward string) {
	s := &n.sess
	node, ok := s.nodes[steward]
	if !ok || steward == n.set.Host {
		return
	}
	if n.strays.Sent(n.now, r.Machine, steward) && n.askingStrays < straysAsked {
		n.askingStrays++
		id := r.Machine
		n.call(WorkerOp{Machine: id, Addr: r.Addr, Ask: true}, func(d WorkerDone) {
			n.askingStrays--
			if d.Report != nil && d.Report.Machine == id {
				n.strays.Answered(n.now, id)
				tellStrays(n, steward, node.Nonce)
			}
		})
	}
	tellStrays(n, steward, node.Nonce)
	relay(n, r, steward)
}

const (
	// cameMost bounds the reports that one message tells of, and cameEvery separates
	// two messages.
	cameMost  = 1000
	cameEvery = 500 * time.Millisecond
)

// relay tells a steward that a report of its machine came here: it may not have heard
// it for long, and take one that only doesn't hear the answers for one that is gone.
func relay(n *Node, r *Report, steward string) {
	if len(n.came) == 0 {
		n.after(cameEvery, func() {
			for _, to := range sortedKeys(n.came) {
				n.emit(PeerSend{To: to, News: PeerNews{From: n.set.Host, Came: n.came[to]}})
			}
			n.came = nil
		})
		n.came = map[string][]Came{}
	}
	if len(n.came[steward]) < cameMost {
		n.came[steward] = append(n.came[steward], Came{r.Machine, r.Epoch, r.Tenure, r.Tick})
	}
}

// takeCame takes in which machines of this owner reported to another. A report that this
// owner would have taken for a sign of life is one there, too: such a machine lives, and
// likely doesn't hear what is sent to it.
func takeCame(n *Node, came []Came) {
	for _, x := range came {
		m := n.owner.machines[x.ID]
		r := Report{Epoch: x.Epoch, Tenure: x.Tenure, Tick: x.Tick}
		if m == nil || !m.heard || x.Epoch < m.epoch || m.older(&r) || (&machine{tenure: m.came.Tenure, tick: m.came.Tick}).older(&r) {
			continue
		}
		m.cameAt, m.came = n.now, x
		m.reach.Elsewhere(n.now)
		probe(n, m)
	}
}

// straysAsked bounds the questions under way to machines that came back.
const straysAsked = 8

// tellStrays tells a steward, in its present life, that its machines come here.
func tellStrays(n *Node, steward, nonce string) {
	s := &n.sess
	if n.now.Sub(n.toldStrays) < hearsEvery || s.grant == 0 || n.now.After(s.sureUntil) {
		return
	}
	k := n.strays.Back(n.now, steward)
	if k < strayLeast {
		return
	}
	n.toldStrays = n.now
	n.info("machines come back from their steward", "steward", steward, "machines", k)
	rec := encode(hearsRecord{Of: steward, Nonce: nonce, Machines: k})
	n.ask(StateOp{Kind: OpTxn, Prio: PrioStart, Apply: []Change{{Key: hearsPrefix + n.set.Host, Value: rec, Grant: s.grant}}}, func(StateDone) {})
}

// hearsItem takes in what another controller says of this one's machines.
func hearsItem(n *Node, it Item) {
	var r hearsRecord
	if !it.Removed && decode(it.Value, &r) && r.Of == n.set.Host && r.Nonce == n.life() {
		if n.now.Sub(n.sess.othersHear) > hearsFresh {
			// What was asked before says nothing of now.
			n.selfMonitor.Arrived()
		}
		n.sess.othersHear = n.now
	}
}

// checkEars gives the share up when this owner hears nothing and others do.
func checkEars(n *Node) {
	o, s := n.owner, &n.sess
	if s.grant == 0 || n.now.Sub(s.othersHear) > hearsFresh {
		return
	}
	reporting := 0
	for _, m := range o.byID {
		if m.reports() && !m.returning {
			reporting++
		}
	}
	deaf := n.selfMonitor.Deaf(n.now, o.readyAt, reporting, n.longestReport())
	if !deaf {
		askLatest(n)
	}
	if !deaf && (reporting < 2 || !n.selfMonitor.Mute(n.now)) {
		return
	}
	n.info("workers and this controller don't hear each other, and others do: the share is given up", "machines", reporting, "reports come", !deaf)
	grant := s.grant
	s.othersHear, s.deafUntil, s.mute = time.Time{}, n.now.Add(deafLong), !deaf
	n.after(deafLong, func() {
		if !s.deaf(n.now) {
			hearsAgain(n)
		}
	})
	n.endTerm("hears no worker")
	// Ended, the grant takes the lead and the node's record with it at once. A new
	// one is asked for only then: this node is not to look alive in between.
	n.ask(StateOp{Kind: OpGrantDrop, Prio: PrioSession, Grant: grant}, func(StateDone) {
		if s.grant == 0 {
			n.grantNew()
		}
	})
}
