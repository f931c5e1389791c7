package core

import (
	"fmt"

	"github.com/micahill/micahill/internal/division"
)

// maybeRaise names machines once more, for a higher epoch: where a start without an
// answer stands in the way, which can no longer be executed then, where a machine has
// seen a higher epoch than that under which it is this owner's, and where its worker has
// begun anew.
func (n *Node) maybeRaise() {
	o := n.owner
	if n.raising || n.now.Sub(o.raised) < raiseEvery || n.now.After(n.sess.sureUntil) {
		return
	}
	some := len(o.higher) > 0
	for _, m := range o.byID {
		some = some || m.anew != 0 && m.anew == m.epoch || m.unacked != 0 && m.unacked == m.epoch && !m.noDirect && m.stuck(&o.registry)
	}
	if !some {
		return
	}
	// Only as of now: a machine that has seen a higher epoch is another's more likely,
	// of which the watch has not told yet.
	o.raised = n.now
	n.ctlSure(func() {
		if n.owner == o {
			raise(n)
		}
	})
}

// raise names the machines that need it once more.
func raise(n *Node) {
	o := n.owner
	if n.raising {
		return
	}
	by := map[string][]string{}
	add := func(id string) {
		if x, mine := n.mine(id); mine {
			by[x.Name] = append(by[x.Name], id)
		}
	}
	for _, m := range o.byID {
		// While the machine is out of reach a higher epoch does not reach it either.
		if m.unacked != 0 && m.unacked == m.epoch && !m.noDirect && m.stuck(&o.registry) {
			add(m.id)
		} else if m.anew != 0 && m.anew == m.epoch {
			add(m.id)
		}
	}
	for _, id := range sortedKeys(o.higher) {
		if _, mine := n.mine(id); !mine {
			delete(o.higher, id)
		} else if n.now.Sub(o.higher[id]) > raiseEvery {
			add(id)
		}
	}
	for _, name := range sortedKeys(by) {
		s := n.sess.book.Find(name)
		o.raises++
		w, some := division.Raise(n.bounds(), fmt.Sprintf("%s-%d-%d", n.life(), o.gen, o.raises), s, by[name])
		if len(some) == 0 {
			continue
		}
		n.raising = true
		n.info("machines get a higher epoch", "machines", len(some), "such as", some[0], "share", name)
		n.ask(StateOp{Kind: OpTxn, Prio: PrioStart, When: []Cond{{sharePrefix + name, s.Stamp}, {lotPrefix + w.Name, 0}},
			Apply: []Change{{Key: lotPrefix + w.Name, Value: w.Value}}}, func(StateDone) {
			n.raising = false
			if n.owner == o {
				for _, id := range some {
					delete(o.higher, id)
				}
			}
		})
		return
	}
}
