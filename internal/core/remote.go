package core

import (
	"time"

	"github.com/micahill/micahill/internal/ownership"
)

// remote.go joins the core to internal/ownership: attempts of this owner's jobs on the
// machines of others, and of others' jobs on the machines here. Both arise only when
// a team or a machine moves while something runs; nothing is started across owners.

const (
	// remoteEvery is how often the owners of other machines are asked again.
	remoteEvery = time.Second
	// remoteMost bounds the attempts in one message.
	remoteMost = 2000
)

// remoteTimes is when others were last asked, and whether to ask before it is time.
type remoteTimes struct {
	asked time.Time
	soon  bool
	// from is the machine with which the next question begins, if not all fit.
	from string
}

// ownershipAttempt names a task's attempt.
func ownershipAttempt(k taskKey, try uint64) ownership.Attempt {
	return ownership.Attempt{Job: k.job, Index: k.index, Try: try}
}

// askRemote asks the owners of other machines for the attempts of this owner's jobs
// there, and says what is wanted of them.
func askRemote(n *Node) {
	o := n.owner
	if len(o.afar) == 0 || !o.remote.soon && n.now.Sub(o.remote.asked) < remoteEvery {
		return
	}
	o.remote.soon, o.remote.asked = false, n.now
	by := map[string][]ownership.Ask{}
	count := 0
	ids := sortedKeys(o.afar)
	// Of more than fit, those after the last that were asked for come next.
	k := 0
	for k < len(ids) && ids[k] <= o.remote.from {
		k++
	}
	o.remote.from = ""
	for _, id := range append(ids[k:], ids[:k]...) {
		a := o.afar[id]
		x, ok := n.sess.book.Owner(id)
		if !ok || x.Host == n.set.Host {
			continue
		}
		ask := ownership.Ask{Machine: id}
		for _, key := range sortedAttempts(a) {
			t := a.attempts[key]
			w := ownership.Asked{Attempt: ownershipAttempt(key, t.try)}
			if t.stop != stopNone {
				w.Want, w.WindDown = ownership.Stop, n.windDown(a, o.jobs[key.job], t)
			}
			ask.Attempts = append(ask.Attempts, w)
		}
		by[x.Host] = append(by[x.Host], ask)
		if count += len(ask.Attempts); count >= remoteMost {
			o.remote.from = id
			break
		}
	}
	for _, host := range sortedKeys(by) {
		n.emit(PeerSend{To: host, News: PeerNews{From: n.set.Host, Wards: by[host]}})
	}
}

// takeAsks takes in what a jobs' owner asks about machines of this one.
func takeAsks(n *Node, from string, asks []ownership.Ask) {
	o := n.owner
	for _, a := range asks {
		if _, mine := n.mine(a.Machine); !mine || !o.ready {
			continue
		}
		changed := o.registry.Ask(n.now, from, a)
		m := o.machines[a.Machine]
		if m == nil {
			if o.registry.Count(a.Machine) == 0 {
				// All that was asked for is known to be gone.
				continue
			}
			// It is looked after like one with work of this owner's own: it may never
			// have been heard of here, and only its lease's end may tell.
			m = n.machine(a.Machine)
		}
		if !m.heard {
			m.leaseEnd = later(m.leaseEnd, n.leaseAfter(m.former))
		}
		if changed {
			n.mark(m)
		}
		if m.heard {
			registrySees(n, m)
		}
		n.countForeign(m)
	}
}

// tellRemote tells the others what is known of the attempts of their jobs here.
func tellRemote(n *Node) {
	o := n.owner
	tells := o.registry.Tells(n.now, func(id string) (ownership.About, bool) {
		x, mine := n.mine(id)
		about := ownership.About{Epoch: x.Epoch, Owner: func(job string) string {
			if l, open := n.users.mirror.open[job]; open {
				if s := n.sess.book.Team(l.rec.Team); s != nil && s.Host != n.set.Host {
					return s.Host
				}
			}
			return ""
		}}
		if m := o.machines[id]; m != nil {
			about.Zone = m.zone
		}
		return about, mine
	})
	for _, host := range sortedKeys(tells) {
		if host != n.set.Host {
			n.emit(PeerSend{To: host, News: PeerNews{From: n.set.Host, Told: tells[host]}})
		}
	}
}

// takeTold takes in what a machine's owner tells of attempts of this owner's jobs. It
// counts only from whom the division names as the machine's owner now, under the
// epoch of now: since an earlier one the machine may have been this owner's again,
// and the attempt may have been started.
func takeTold(n *Node, from string, tells []ownership.Tell) {
	o := n.owner
	for _, tell := range tells {
		x, ok := n.sess.book.Owner(tell.Machine)
		if !ok || x.Host != from || x.Epoch != tell.Epoch || !o.ready {
			continue
		}
		a := o.afar[tell.Machine]
		var back ownership.Ask
		for _, w := range tell.Attempts {
			j := o.jobs[w.Job]
			if j == nil || w.Index < 0 || w.Index >= len(j.tasks) {
				continue
			}
			t := &j.tasks[w.Index]
			if a != nil && t.m == a && t.try == w.Try {
				remoteTold(n, j, a, w)
			} else if w.State == ownership.Ended && j.durable(w.Index) {
				back.Attempts = append(back.Attempts, ownership.Asked{Attempt: w.Attempt, Want: ownership.Settled})
			} else if w.State == ownership.Fetching || w.State == ownership.Running || w.State == ownership.Flushing {
				back.Attempts = append(back.Attempts, ownership.Asked{Attempt: w.Attempt, Want: ownership.Stop})
			}
		}
		if a != nil && a.zone == "" && tell.Zone != "" {
			n.zoneKnown(a, tell.Zone)
		}
		if len(back.Attempts) > 0 {
			back.Machine = tell.Machine
			n.emit(PeerSend{To: from, News: PeerNews{From: n.set.Host, Wards: []ownership.Ask{back}}})
		}
	}
}

// remoteTold takes in the state of one live attempt on another's machine.
func remoteTold(n *Node, j *job, a *machine, w ownership.Told) {
	k := taskKey{j.ID, w.Index}
	p := TaskReport{Job: j.ID, Index: w.Index, Try: w.Try, Cause: w.Cause}
	switch w.State {
	case ownership.Fetching:
		p.Status = Fetching
	case ownership.Running:
		p.Status = Running
	case ownership.Flushing:
		p.Status = Flushing
	case ownership.Ended:
		p.Status = Ended
	case ownership.Gone:
		n.gone(j, w.Index, false)
		return
	default:
		return
	}
	n.piece(a, k, p)
}

// pieceState is a reported state in the ownership package's terms.
func pieceState(p TaskReport) ownership.Piece {
	s := [...]ownership.State{Fetching: ownership.Fetching, Running: ownership.Running, Flushing: ownership.Flushing, Ended: ownership.Ended}[p.Status]
	return ownership.Piece{Attempt: ownership.Attempt{Job: p.Job, Index: p.Index, Try: p.Try}, State: s, Cause: p.Cause}
}

// registrySees hands the newest report of a machine to the registry.
func registrySees(n *Node, m *machine) {
	o := n.owner
	var pieces []ownership.Piece
	for _, p := range m.pieces {
		pieces = append(pieces, pieceState(p))
	}
	// Under the epoch that it has shown nothing older can be executed any more; and a
	// start of this owner's own may be on its way, from before the job went to another.
	o.registry.Saw(n.now, m.id, pieces, func(job string) bool { return o.jobs[job] != nil }, n.quiet(m))
	n.countForeign(m)
}

// countForeign reckons the room that others' attempts take on a machine.
func (n *Node) countForeign(m *machine) {
	o := n.owner
	was := m.hasForeign
	m.foreign, m.hasForeign, m.strays = Resources{}, false, false
	for _, a := range o.registry.Living(m.id) {
		if o.jobs[a.Job] != nil {
			continue
		}
		m.hasForeign = true
		if l, open := n.users.mirror.open[a.Job]; open {
			m.foreign = m.foreign.Plus(Resources{CPU: l.rec.CPU, GPU: l.rec.GPU, Memory: l.rec.Memory}, 1)
		} else {
			// Its size is not known.
			m.strays = true
		}
	}
	for k, p := range m.pieces {
		m.strays = m.strays || p.Status != Ended && m.attempts[k] == nil && o.jobs[k.job] != nil
	}
	if was && !m.hasForeign {
		o.place = true
		if len(m.attempts) == 0 {
			m.idleSince = n.now
		}
	}
}

// rehear looks once more at what a machine last reported, after attempts on it have
// become this owner's.
func (n *Node) rehear(m *machine) {
	for _, k := range sortedTasks(m.pieces) {
		n.piece(m, k, m.pieces[k])
	}
	if m.heard {
		m.last = nil
		registrySees(n, m)
	}
	n.mark(m)
}

// others says what is to become of a piece that belongs to none of this owner's jobs:
// nothing, or an order. Another controller owns its job and says so, or the job is
// over and it is cleared away.
func (n *Node) others(m *machine, p TaskReport, quiet bool) (Order, bool) {
	o := n.owner
	a := ownership.Attempt{Job: p.Job, Index: p.Index, Try: p.Try}
	since, w, asked := o.registry.Since(m.id, a)
	stop, over := asked && w.Want == ownership.Stop, asked && w.Want == ownership.Settled
	_, final := n.users.final[p.Job]
	switch l, open := n.users.mirror.open[p.Job]; {
	case final:
		stop, over, w.WindDown = true, true, 0
	case open:
		// Cancelled: it is stopped whether or not its job's owner can be heard, also while
		// it saves because that owner had it stopped before.
		if l.rec.Cancelled {
			stop, w.WindDown = true, 0
		}
	case n.users.mirror.asOf.After(since) && !since.IsZero():
		// Not open, as of a moment after it was first seen: the job is over.
		stop, over = true, true
	default:
		n.freshenFor(m)
		return Order{}, false
	}
	x := Order{Job: p.Job, Index: p.Index, Try: p.Try}
	switch {
	case p.Status == Ended && over && quiet:
		x.Verb = Clear
	case p.Status != Ended && stop && !(p.Status == Flushing && w.WindDown > 0):
		x.Verb, x.WindDown = Halt, w.WindDown
	default:
		return Order{}, false
	}
	return x, true
}

// freshenFor reads open/ anew and looks at a machine again then.
func (n *Node) freshenFor(m *machine) {
	if m.asking {
		return
	}
	m.asking = true
	n.freshen(func(bool) {
		m.asking = false
		if n.owner != nil && !m.forgotten {
			n.mark(m)
		}
	})
}
