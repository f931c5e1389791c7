package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/moves"
)

// emptying.go lets owners help each other to whole hosts. One that has work which fits
// nowhere, and for which the cloud has no machines, says so; others say what emptying a
// host would cost them; the leader asks the one for whom it is cheapest, who moves what
// is there away and has the host to spare. It is handed over like any other, by the
// record of ownership: news only says where to look.

// HostNeed is a kind of which a whole host is needed, and for what.
type HostNeed struct {
	Flavour string
	Zone    string
	Spot    bool
	Need    Resources
	// Workload and Urgency are what the ranking goes by.
	Workload string
	Urgency  Urgency
}

// spec is the work that needs the host, as far as it is known.
func (h *HostNeed) spec() Spec {
	return Spec{ID: givePrefix + kindName(h.kind()), Workload: h.Workload, Need: h.Need, Urgency: h.Urgency}
}

// HostCost is how long replicas would be down for a host of a kind to be emptied.
type HostCost struct {
	Flavour string
	Zone    string
	Spot    bool
	Down    time.Duration
}

const (
	// refusedLately is how long a kind counts as refused after the cloud last did: it
	// is asked again now and then.
	refusedLately = 3 * refusedPause
	// emptyDearest is what emptying a host for another owner may cost, in time down.
	emptyDearest = time.Minute
	// costEvery is how often an owner reckons what emptying would cost it.
	costEvery = 5 * time.Second
	// needsAfter is how long small work waits in vain before a host is emptied for it:
	// others may have pieces, but machines go whole.
	needsAfter = 20 * time.Second
	// needsMost bounds the kinds in one news.
	needsMost = 64
	// givePrefix begins the name, in records of moves, of what a host is emptied for:
	// no job is named so.
	givePrefix = "~"
)

// between is what an owner knows of others' needs, and they of its own.
type between struct {
	// refused is when the cloud last refused a kind.
	refused map[kind]time.Time
	// needs are this owner's.
	needs []HostNeed
	// lacks are others', and empty what this one is asked to empty, as of at.
	lacks, empty []HostNeed
	at           time.Time
	costs        []HostCost
	costed       time.Time
}

func (h *HostNeed) kind() kind { return kind{h.Flavour, h.Zone, h.Spot} }

// takeNeeds takes in what the leader says of others' needs.
func takeNeeds(n *Node, lacks, empty []HostNeed) {
	if mv := movesOf(n); mv != nil {
		mv.between.lacks, mv.between.empty, mv.between.at = lacks, empty, n.now
	}
}

// asked is what the owner is asked to empty a host of a kind for, nil if it is not.
func (mv *moving) asked(now time.Time, name string) *HostNeed {
	if now.Sub(mv.between.at) > newsFresh {
		return nil
	}
	for i := range mv.between.empty {
		if h := &mv.between.empty[i]; givePrefix+kindName(h.kind()) == name {
			return h
		}
	}
	return nil
}

// needHosts says on which kinds a whole host would help work that waits in vain.
func needHosts(n *Node, mv *moving) {
	b := &mv.between
	v := n.owner.view
	b.needs = nil
	if v == nil || !n.otherOwners() {
		return
	}
	for k, until := range v.blocked {
		if until.After(n.now) {
			b.refused[k] = n.now
		}
	}
	var first *job
	lately := false
	for _, at := range b.refused {
		lately = lately || n.now.Sub(at) < refusedLately
	}
	if !lately {
		return
	}
	for _, j := range n.order() {
		// Its own moves go first.
		if x := mv.misfits[j.ID]; x != nil && x.tried.IsZero() || j.Gang || j.guest != "" || j.pending() <= mv.book.For(j.ID) || !n.withinLimit(j) {
			continue
		}
		if n.now.Sub(later(j.free(), n.owner.readyAt)) < 2*movesAfter || fitsSomewhere(n, j) {
			continue
		}
		first = j
		break
	}
	if first == nil {
		return
	}
	for _, name := range sortedKeys(n.types) {
		f := n.types[name]
		if !first.Need.Fits(f.Size) || !isLarge(first.Need, f.Size) && n.now.Sub(later(first.at, n.owner.readyAt)) < needsAfter {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				k := kind{name, z, spot}
				if first.allows(name, z, spot) && first.zoneOK(z) && n.now.Sub(b.refused[k]) < refusedLately && len(b.needs) < needsMost {
					b.needs = append(b.needs, HostNeed{name, z, spot, first.Need, first.Workload, first.Urgency})
				}
			}
		}
	}
}

// fitsSomewhere says that there is room for a task of j, or a machine for it is coming.
func fitsSomewhere(n *Node, j *job) bool {
	for _, m := range n.owner.byID {
		if n.usable(m) && j.allows(m.flavour, m.zone, m.spot) && j.zoneOK(m.zone) && j.Need.Fits(m.free()) {
			return true
		}
	}
	for r := range n.comingFor(j) {
		if j.Need.Fits(n.types[r.flavour].Size) {
			return true
		}
	}
	return false
}

// emptyFor reckons what emptying a host would cost, and begins to empty the one that
// this owner is asked for. It says whether it has asked the planner.
func emptyFor(n *Node, mv *moving) bool {
	b := &mv.between
	if n.now.Sub(b.at) > newsFresh {
		b.costs = nil
		return false
	}
	for i := range b.empty {
		h := &b.empty[i]
		team := giver(n, mv)
		if team == "" || mv.book.For(givePrefix+kindName(h.kind())) > 0 || writeAt(n, mv).After(n.now) || hasWhole(n, h.kind()) {
			continue
		}
		p := emptyProblem(n, mv, h)
		if plan, ok := moves.Find(p); ok {
			beginPlan(n, mv, team, p, plan)
		}
		return true
	}
	if len(b.lacks) == 0 || n.now.Sub(b.costed) < costEvery {
		return false
	}
	b.costed, b.costs = n.now, nil
	// One kind after another would be asked for by each: the first that waits is first.
	tries := 0
	for i := range b.lacks {
		h := &b.lacks[i]
		if mv.book.For(givePrefix+kindName(h.kind())) > 0 || hasWhole(n, h.kind()) {
			b.costs = append(b.costs, HostCost{h.Flavour, h.Zone, h.Spot, 0})
			continue
		}
		if tries++; tries > needsKinds {
			break
		}
		if plan, ok := moves.Find(emptyProblem(n, mv, h)); ok {
			b.costs = append(b.costs, HostCost{h.Flavour, h.Zone, h.Spot, plan.Cost})
		}
	}
	return true
}

// needsKinds bounds the kinds for which an owner reckons costs in one look.
const needsKinds = 2

// giver is the team under which an owner writes moves for others: the first that has
// no write under way.
func giver(n *Node, mv *moving) string {
	for _, t := range sortedKeys(n.owner.teams) {
		if rec := mv.recs[t]; rec != nil && !rec.busy && len(mv.book.Fresh(t)) == 0 && n.owner.teams[t].ready {
			return t
		}
	}
	return ""
}

// hasWhole says that an empty host of a kind is there already: it is to spare when it is
// not needed here.
func hasWhole(n *Node, k kind) bool {
	return slices.ContainsFunc(n.owner.byID, func(m *machine) bool {
		return (kind{m.flavour, m.zone, m.spot}) == k && m.empty() && n.usable(m)
	})
}

// emptyProblem is what the planner is asked for a whole host of a kind.
func emptyProblem(n *Node, mv *moving, h *HostNeed) *moves.Problem {
	k := h.kind()
	other := &job{Spec: h.spec()}
	p, hosts := planRoom(n, mv, other)
	p.Dearest = emptyDearest
	p.Want = moves.Want{Job: other.ID, Need: n.types[h.Flavour].Size, Allowed: func(i int) bool {
		m := hosts[i]
		return (kind{m.flavour, m.zone, m.spot}) == k && !m.empty()
	}}
	return p
}

// kindsOf names the kinds of needs.
func kindsOf(hs []HostNeed) []string {
	var out []string
	for i := range hs {
		out = append(out, kindName(hs[i].kind()))
	}
	return out
}

// brokerHosts has the leader decide who empties a host for whom. It says what each owner
// is told of others' needs and is asked for.
func brokerHosts(n *Node) (lacks, empty map[string][]HostNeed) {
	if !n.set.Product.Models {
		return nil, nil
	}
	needs, costs := map[string][]HostNeed{}, map[string][]HostCost{}
	if o := n.owner; o != nil && o.ready && o.moves != nil {
		needs[n.set.Host], costs[n.set.Host] = o.moves.between.needs, o.moves.between.costs
	}
	for _, host := range sortedKeys(n.leader.news) {
		if w, ok := n.heard(host); ok {
			needs[host], costs[host] = w.news.Needs, w.news.Costs
		}
	}
	var ds []moves.Needed
	var cs []moves.Cost
	for _, host := range sortedKeys(needs) {
		if len(needs[host]) > 0 {
			ds = append(ds, moves.Needed{Owner: host, Kinds: kindsOf(needs[host])})
		}
		for _, c := range costs[host] {
			cs = append(cs, moves.Cost{Owner: host, Kind: kindName(kind{c.Flavour, c.Zone, c.Spot}), Down: c.Down})
		}
	}
	lacks, empty = map[string][]HostNeed{}, map[string][]HostNeed{}
	for _, host := range slices.Sorted(maps.Keys(needs)) {
		if len(needs[host]) > 0 {
			// Who needs a host itself has none to give.
			continue
		}
		for _, d := range ds {
			for _, h := range needs[d.Owner] {
				if len(lacks[host]) < needsMost && !slices.ContainsFunc(lacks[host], func(x HostNeed) bool { return x.kind() == h.kind() }) {
					lacks[host] = append(lacks[host], h)
				}
			}
		}
	}
	for _, a := range n.leader.emptying.Look(n.now, ds, cs) {
		for _, h := range needs[a.Needy] {
			if kindName(h.kind()) == a.Kind {
				empty[a.Owner] = append(empty[a.Owner], h)
				break
			}
		}
	}
	if o := n.owner; o != nil && o.ready {
		takeNeeds(n, lacks[n.set.Host], empty[n.set.Host])
	}
	return lacks, empty
}

// isGift says that a place is held to empty its host for another owner.
func isGift(job string) bool { return strings.HasPrefix(job, givePrefix) }
