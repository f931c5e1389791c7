package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/division"
)

const (
	// hostTurns is in how many turns, a second each, the others are told of all
	// machines, and hostMemory how long they remember one.
	hostTurns  = 5
	hostMemory = 15 * time.Second
	// loadsEvery is how often the others are told of the workloads.
	loadsEvery = 5 * time.Second
)

// hosts is what a successor has to know of the machines: of some of them at a
// time, so that news of a large pool is spread over the seconds.
func (n *Node) hosts() []HostNews {
	var out []HostNews
	n.owner.turn = (n.owner.turn + 1) % hostTurns
	for i, m := range n.owner.byID {
		if i%hostTurns != n.owner.turn {
			continue
		}
		id := m.id
		if !m.heard || m.returning || n.silent(m) {
			continue
		}
		h := HostNews{ID: id, Addr: m.addr, Flavour: m.flavour, Zone: m.zone, Spot: m.spot, Images: map[string]float64{}}
		for name, im := range m.images {
			if im.cached {
				h.Images[name] = im.gb
			}
		}
		out = append(out, h)
	}
	return out
}

// progressMost bounds the jobs in one news.
const progressMost = 3000

// tellPeers shows the progress of open jobs to the other controllers, and asks
// the leader for machines.
func (n *Node) tellPeers() {
	o := n.owner
	if n.now.Sub(o.told) < time.Second {
		return
	}
	o.told = n.now
	var news PeerNews
	news.From = n.set.Host
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if len(news.Progress) >= progressMost {
			// The rest with the next news.
			break
		}
		p := j.progress()
		if p != j.lastTold {
			j.lastTold = p
			news.Progress = append(news.Progress, p)
		}
	}
	if n.now.Sub(o.toldLoads) >= loadsEvery {
		o.toldLoads = n.now
		news.Loads = n.loads()
		news.Quotes = quotesNews(n)
	}
	news.Hosts = n.hosts()
	for _, p := range n.set.Peers {
		out := news
		if n.leader == nil && p == n.sess.lead.Host && o.view != nil {
			out.Seq, out.Idle, out.ToSpare, out.Offers, out.Teams = o.wantsSeq, o.gone, o.spare, n.offers(), n.teamLoads()
			for _, k := range sortedKinds(o.wants) {
				out.Wants = append(out.Wants, Want{k.flavour, k.zone, k.spot, o.wants[k]})
			}
			if o.moves != nil {
				out.Needs, out.Costs = o.moves.between.needs, o.moves.between.costs
			}
			out.Asks = true
		}
		if len(out.Progress) > 0 || len(out.Loads) > 0 || len(out.Quotes) > 0 || len(out.Hosts) > 0 || out.Asks {
			n.emit(PeerSend{To: p, News: out})
		}
	}
}

// offers says which machines would go along with the team that the leader wants to
// move, as many as are its part of what all teams here keep busy: the receiver is not to
// begin with none. Those go first on which only its tasks are, then idle ones, then those
// of which it has the most; what others have on them goes on there.
func (n *Node) offers() []division.Offer {
	o := n.owner
	r := o.release
	held := o.teams[r.Team]
	if r.From != n.set.Host || n.now.Sub(o.releaseAt) > newsFresh || held == nil || !held.ready {
		return nil
	}
	sum, part := 0.0, 0.0
	for _, l := range n.teamLoads() {
		sum += l.CPU + 1
		if l.Team == r.Team {
			part = l.CPU + 1
		}
	}
	type choice struct {
		m *machine
		// of is the team's part of what runs there, 1 for all of it, and 0.5 for an
		// idle machine.
		of float64
	}
	all := 0.0
	var cs []choice
	for _, m := range o.byID {
		all += m.size.CPU
		if !m.heard || m.returning || m.recall {
			continue
		}
		c := choice{m, 0.5}
		if !m.empty() {
			its := 0.0
			for k := range m.attempts {
				if j := o.jobs[k.job]; j.Team == r.Team {
					its += j.Need.CPU
				}
			}
			c.of = its / max(m.used.CPU+m.foreign.CPU, its, slack)
		}
		cs = append(cs, c)
	}
	slices.SortStableFunc(cs, func(a, b choice) int { return cmp.Compare(b.of, a.of) })
	left := all * part / max(sum, 1)
	offer := division.Offer{Team: r.Team}
	for _, c := range cs {
		if len(offer.Machines) >= offerMost || c.of == 0 {
			break
		}
		if c.m.size.CPU <= left {
			left -= c.m.size.CPU
			offer.Machines = append(offer.Machines, c.m.id)
		}
	}
	return []division.Offer{offer}
}

// offerMost bounds the machines that go along with a team at once.
const offerMost = 1000

// teamLoads is what each team of this owner keeps busy: what its tasks take, and what
// those that wait would.
func (n *Node) teamLoads() []TeamLoad {
	o := n.owner
	sum := map[string]float64{}
	for t := range o.teams {
		sum[t] = 0
	}
	for _, j := range o.jobs {
		sum[j.Team] += float64(j.live+j.pending()) * j.Need.CPU
	}
	var out []TeamLoad
	for _, t := range sortedKeys(sum) {
		if o.teams[t] != nil {
			out = append(out, TeamLoad{t, sum[t]})
		}
	}
	return out
}
