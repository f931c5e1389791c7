package division

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/bounds"
)

const (
	// lotNames is how many machines a lot names at most. Fewer make more records to
	// read for a successor, more make each change cost more to everybody that
	// watches: a lot of that size takes half a KiB mostly.
	lotNames = 160
	// lotSmall is from where on a lot is worth joining with others.
	lotSmall = lotNames / 4
	// lotStale is the part of a lot's names that must be in vain, gone or named
	// elsewhere since, before it is written anew.
	lotStale = 0.25
	// tidyEvery separates two writes that only make records fewer or shorter.
	tidyEvery = 5 * time.Second
	// gather is how long new machines wait for others, to share a record.
	gather = 400 * time.Millisecond
	// gain is the part of the largest load that must be won before anything moves
	// between controllers that do well, and steady for how many share intervals that
	// must have been so.
	gain   = 0.25
	steady = 0.5
	// returnPause is how long a team that has moved stays, in share intervals.
	returnPause = 4
	// offerPatience is how long a controller may take to say which machines go
	// with a team, and refusedPause how long it is left alone when it doesn't.
	offerPatience = 6 * time.Second
	refusedPause  = 30 * time.Second
	// shareFull is the part of a value's limit that a share's teams may take.
	shareFull = 0.75
)

// Node is a living controller. Able: it can run shares. Young: it has begun so lately
// that it gets none while another can have it; what it has it keeps.
type Node struct {
	Host, Nonce string
	Able, Young bool
}

// Offer says which machines a controller would give along with a team.
type Offer struct {
	Team     string
	Machines []string
}

// Rented is a machine that was rented for a controller, or is handed over to it, and
// when that was known.
type Rented struct {
	ID   string
	Host string
	At   time.Time
}

// Input is what the division rests on.
type Input struct {
	Book *Book
	// Self divides; of controllers with the same load it comes first.
	Self  string
	Nodes []Node
	// Teams are those of the settings, and Load what each keeps busy, in CPUs.
	Teams []string
	Load  map[string]float64
	// Offers are what controllers answer to Asks, by team.
	Offers map[string]Offer
	// New are machines rented for a controller that no lot names yet.
	New []Rented
	// Gone says that a machine is known to be gone, or surely forgotten.
	Gone func(machine string) bool
}

// Write is one change of the records, on condition that the key has the stamp (0:
// is absent). Value nil removes it.
type Write struct {
	Share bool
	Name  string
	Stamp uint64
	Value []byte
}

// Ask is a team that is to move, and where to.
type Ask struct {
	Team     string
	From, To string
}

// Divider decides about the division, over time. The zero value is of no use.
type Divider struct {
	limits   bounds.Limits
	interval time.Duration
	// term makes names of new lots, which are never used again.
	term string
	next int

	nodes   string
	changed time.Time
	tidied  time.Time
	moved   map[string]time.Time
	ask     *Ask
	asked   time.Time
	refused map[string]time.Time
	// uneven is since when a move would win enough.
	uneven time.Time
}

// New makes a divider for one term as the one who divides. interval is the least
// time between two moves of teams.
func New(limits bounds.Limits, term string, interval time.Duration, now time.Time) *Divider {
	return &Divider{
		limits: limits, term: term, interval: interval, changed: now, tidied: now,
		moved: map[string]time.Time{}, refused: map[string]time.Time{},
	}
}

// Asked is the team that is to move, if any: its owner is to say which machines go
// along.
func (d *Divider) Asked() (Ask, bool) {
	if d.ask == nil {
		return Ask{}, false
	}
	return *d.ask, true
}

// draft is the division that a plan is about to write.
type draft struct {
	d      *Divider
	in     Input
	shares map[string]*shareRecord
	dirty  map[string]bool
	lots   []Write
	load   map[string]float64
	able   []Node
	// takers are those of the able that get what is given away.
	takers []Node
}

// Plan says what to write next, all of it in one transaction, or nothing.
func (d *Divider) Plan(now time.Time, in Input) []Write {
	p := &draft{d: d, in: in, shares: map[string]*shareRecord{}, dirty: map[string]bool{}, load: map[string]float64{}}
	var names []string
	for _, n := range in.Nodes {
		names = append(names, n.Host+" "+n.Nonce)
		if n.Able {
			p.able = append(p.able, n)
		}
	}
	if len(p.able) == 0 {
		p.able = slices.Clone(in.Nodes)
	}
	slices.SortFunc(p.able, func(a, b Node) int { return strings.Compare(a.Host, b.Host) })
	for _, n := range p.able {
		if !n.Young {
			p.takers = append(p.takers, n)
		}
	}
	if len(p.takers) == 0 {
		p.takers = p.able
	}
	slices.Sort(names)
	if all := strings.Join(names, ","); all != d.nodes {
		// Who lives has changed: let the dust settle before anything moves that need
		// not.
		d.nodes, d.changed = all, now
	}
	for _, s := range in.Book.Shares() {
		r := s.record()
		p.shares[s.Name] = &r
	}
	for _, r := range p.shares {
		if p.holds(r) {
			p.load[r.Host] += p.weigh(r)
		}
	}
	if len(p.able) == 0 {
		return nil
	}
	if p.shrink() {
		return p.writes()
	}
	p.inherit()
	p.settle()
	p.giveRest()
	if len(p.dirty) == 0 {
		p.balance(now)
	}
	p.newLots(now)
	if len(p.dirty) == 0 && len(p.lots) == 0 {
		p.tidy(now)
	}
	return p.writes()
}

// holds says that a share's holder lives and may go on.
func (p *draft) holds(r *shareRecord) bool {
	return slices.ContainsFunc(p.able, func(n Node) bool { return n.Host == r.Host && n.Nonce == r.Nonce })
}

// weight is a team's part in the load of a controller. One that does nothing counts
// a little, so that teams are spread before they have work.
func (p *draft) weight(team string) float64 { return 1 + p.in.Load[team] }

func (p *draft) weigh(r *shareRecord) float64 {
	sum := 0.0
	for _, t := range r.Teams {
		sum += p.weight(t)
	}
	return sum
}

// least is the controller with the least load of those that get anything; of equals,
// the one that divides.
func (p *draft) least() Node {
	best := p.takers[0]
	for _, n := range p.takers {
		if l, b := p.load[n.Host], p.load[best.Host]; l < b || l == b && n.Host == p.in.Self {
			best = n
		}
	}
	return best
}

func (p *draft) empty(name string) bool {
	r := p.shares[name]
	return len(r.Teams) == 0 && !r.Rest && len(r.Machines) == 0 && !slices.ContainsFunc(p.in.Book.sortedLots(), func(l *Lot) bool { return l.Share == name })
}

// inherit gives the shares of the dead other holders, one share as a whole to one:
// its teams' tasks are on its machines. The largest goes first. A share with nothing
// in it is removed.
func (p *draft) inherit() {
	var dead []string
	for _, n := range p.names() {
		if r := p.shares[n]; !p.holds(r) {
			dead = append(dead, n)
		}
	}
	slices.SortStableFunc(dead, func(a, b string) int { return cmp.Compare(p.weigh(p.shares[b]), p.weigh(p.shares[a])) })
	for _, n := range dead {
		r := p.shares[n]
		if p.empty(n) {
			delete(p.shares, n)
			p.dirty[n] = true
			continue
		}
		to := p.least()
		r.Host, r.Nonce, r.Epoch = to.Host, to.Nonce, 0
		p.dirty[n] = true
		p.load[to.Host] += p.weigh(r)
	}
}

func (p *draft) names() []string {
	out := make([]string, 0, len(p.shares))
	for n := range p.shares {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// fits says that a share's record stays within its part of a value.
func (p *draft) fits(r *shareRecord) bool {
	n, err := bounds.JSON(encode(r))
	return err == nil && n <= int(shareFull*float64(p.d.limits.ValueBytes))
}

// shareOf is a share of the controller that has room for one more team: the first,
// or a new one.
func (p *draft) shareOf(n Node, team string) string {
	for _, name := range p.names() {
		r := p.shares[name]
		if r.Host != n.Host || r.Nonce != n.Nonce {
			continue
		}
		with := *r
		with.Teams = append(slices.Clone(r.Teams), team)
		if p.fits(&with) {
			return name
		}
	}
	for k := 0; ; k++ {
		name := n.Host
		if k > 0 {
			name = fmt.Sprintf("%s.%d", n.Host, k)
		}
		if p.shares[name] == nil && !p.dirty[name] {
			p.shares[name] = &shareRecord{Host: n.Host, Nonce: n.Nonce}
			p.dirty[name] = true
			return name
		}
	}
}

// shrink takes teams out of shares that were written under a larger limit of values: they
// could not be written again, whoever is to have them. The teams are nobody's until the
// next plan, so that none is in two shares however many writes it takes.
func (p *draft) shrink() bool {
	for _, name := range p.names() {
		r := p.shares[name]
		if n, err := bounds.JSON(encode(r)); err != nil || n <= p.d.limits.ValueBytes || p.room() == 0 {
			continue
		}
		for len(r.Teams) > 1 && !p.fits(r) {
			r.Teams = r.Teams[:len(r.Teams)-1]
			p.dirty[name] = true
		}
	}
	return len(p.dirty) > 0
}

func (p *draft) give(team string, to Node) {
	name := p.shareOf(to, team)
	r := p.shares[name]
	r.Teams = append(r.Teams, team)
	slices.Sort(r.Teams)
	p.dirty[name] = true
	p.load[to.Host] += p.weight(team)
}

// settle gives teams that nobody runs to the controllers with the least load.
func (p *draft) settle() {
	has := map[string]bool{}
	for _, r := range p.shares {
		for _, t := range r.Teams {
			has[t] = true
		}
	}
	for _, t := range p.in.Teams {
		if !has[t] {
			has[t] = true
			p.give(t, p.least())
		}
	}
}

// giveRest sees to it that one share has the machines that no lot names: that of the
// one who divides, if it runs any team, since it is the first to know of machines.
func (p *draft) giveRest() {
	best := ""
	for _, n := range p.names() {
		r := p.shares[n]
		if r.Rest {
			return
		}
		switch {
		case len(r.Teams) == 0:
		case best == "", r.Host == p.in.Self && p.shares[best].Host != p.in.Self:
			best = n
		}
	}
	if best != "" {
		p.shares[best].Rest, p.shares[best].RestEpoch = true, 0
		p.dirty[best] = true
	}
}

// balance moves a share or a team from the controller with the most to the one with
// the least load, when that wins enough and nothing has moved for a while. A share
// moves as it is. A team moves when its owner has said which machines go along, so
// that the receiver does not begin with none; nothing of it stops meanwhile.
func (p *draft) balance(now time.Time) {
	d := p.d
	if d.ask != nil {
		if p.answered(now) {
			return
		}
	}
	if d.ask != nil || now.Sub(d.changed) < d.interval || len(p.able) < 2 {
		return
	}
	most, least := p.able[0], p.least()
	for _, n := range p.able {
		if p.load[n.Host] > p.load[most.Host] {
			most = n
		}
	}
	level := func(w float64) float64 {
		return p.load[most.Host] - max(p.load[most.Host]-w, p.load[least.Host]+w)
	}
	// The one that levels best, of shares first: they take their machines along.
	share, team, won, enough := "", "", 0.0, gain*p.load[most.Host]
	var mine []string
	for _, n := range p.names() {
		if r := p.shares[n]; r.Host == most.Host && len(r.Teams) > 0 {
			mine = append(mine, n)
		}
	}
	for _, n := range mine {
		if w := level(p.weigh(p.shares[n])); len(mine) > 1 && w >= enough && w > won {
			share, won = n, w
		}
	}
	for _, n := range mine {
		if r := p.shares[n]; share == "" && len(r.Teams) > 1 {
			for _, t := range r.Teams {
				if w := level(p.weight(t)); w >= enough && w > won && !d.stays(t, now) {
					team, won = t, w
				}
			}
		}
	}
	switch {
	case share == "" && team == "":
		d.uneven = time.Time{}
		return
	case d.uneven.IsZero():
		d.uneven = now
	}
	if float64(now.Sub(d.uneven)) < steady*float64(d.interval) {
		return
	}
	d.uneven = time.Time{}
	if share == "" {
		d.ask, d.asked = &Ask{team, most.Host, least.Host}, now
		return
	}
	r := p.shares[share]
	r.Host, r.Nonce, r.Epoch = least.Host, least.Nonce, 0
	p.dirty[share] = true
	d.changed = now
}

// stays says that a team is not to move: it has moved not long ago, or its owner has
// lately not said which machines go along.
func (d *Divider) stays(team string, now time.Time) bool {
	within := func(at time.Time, t time.Duration) bool { return !at.IsZero() && now.Sub(at) < t }
	return within(d.moved[team], returnPause*d.interval) || within(d.refused[team], refusedPause)
}

// answered carries a move on that was asked for, and says whether it is written now.
func (p *draft) answered(now time.Time) bool {
	d := p.d
	a := *d.ask
	from := ""
	for n, r := range p.shares {
		if slices.Contains(r.Teams, a.Team) {
			from = n
		}
	}
	i := slices.IndexFunc(p.able, func(n Node) bool { return n.Host == a.To })
	switch offer, ok := p.in.Offers[a.Team]; {
	case from == "" || i < 0 || p.shares[from].Host != a.From:
		d.ask = nil
	case ok:
		d.ask = nil
		d.changed, d.moved[a.Team] = now, now
		r := p.shares[from]
		r.Teams = slices.DeleteFunc(r.Teams, func(t string) bool { return t == a.Team })
		p.dirty[from] = true
		p.give(a.Team, p.able[i])
		to := ""
		for n, r := range p.shares {
			if slices.Contains(r.Teams, a.Team) {
				to = n
			}
		}
		var ids []string
		for _, id := range offer.Machines {
			if o, ok := p.in.Book.Owner(id); ok && o.Host == a.From {
				ids = append(ids, id)
			}
		}
		p.lot(to, ids)
		return true
	case now.Sub(d.asked) > offerPatience:
		d.refused[a.Team] = now
		d.ask = nil
	}
	return false
}

// room is how many more changes the transaction takes.
func (p *draft) room() int { return p.d.limits.Ops - len(p.dirty) - len(p.lots) }

// lot names machines for a share, in as many lots as it takes and there is room for.
func (p *draft) lot(share string, ids []string) {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for len(ids) > 0 && p.room() > 0 {
		k := min(len(ids), lotNames)
		var value []byte
		for ; ; k = max(1, k/2) {
			value = encodeLot(share, []group{{0, ids[:k]}})
			if n, err := bounds.JSON(value); err == nil && n <= p.d.limits.ValueBytes {
				break
			}
			if k == 1 {
				// A name that fits no record. It stays with the rest.
				value = nil
				break
			}
		}
		if value != nil {
			p.d.next++
			p.lots = append(p.lots, Write{Name: fmt.Sprintf("%s-%d", p.d.term, p.d.next), Value: value})
		}
		ids = ids[k:]
	}
}

// newLots names the machines that were rented for, or are handed over to, controllers
// whose they are not yet.
func (p *draft) newLots(now time.Time) {
	by := map[string][]string{}
	ripe := false
	for _, x := range p.in.New {
		if o, ok := p.in.Book.Owner(x.ID); ok && o.Host == x.Host || p.in.Gone(x.ID) {
			continue
		}
		// The first of its shares with teams, or the one with the rest.
		name := ""
		for _, n := range p.names() {
			if r := p.shares[n]; r.Host == x.Host && (name == "" && len(r.Teams) > 0 || r.Rest) {
				name = n
			}
		}
		if name != "" {
			by[name] = append(by[name], x.ID)
			ripe = ripe || now.Sub(x.At) >= gather
		}
	}
	if !ripe {
		return
	}
	for _, n := range p.names() {
		if len(by[n]) > 0 {
			p.lot(n, by[n])
		}
	}
}

// tidy writes small and stale lots anew: together, without what is gone or named
// elsewhere since, and each machine with the epoch that it has.
func (p *draft) tidy(now time.Time) {
	d := p.d
	if now.Sub(d.tidied) < tidyEvery {
		return
	}
	d.tidied = now
	b := p.in.Book
	for _, n := range p.names() {
		if old := b.shares[n].old; old != nil {
			p.lot(n, b.names(old))
			p.shares[n].Machines = nil
			p.dirty[n] = true
			return
		}
	}
	live := func(l *Lot) (out []group, count, all int) {
		for _, g := range l.groups {
			keep := group{epoch: g.epoch}
			for _, id := range g.names {
				if all++; b.machines[id].lot == l && b.machines[id].epoch == g.epoch && !p.in.Gone(id) {
					keep.names = append(keep.names, id)
				}
			}
			if count += len(keep.names); len(keep.names) > 0 {
				out = append(out, keep)
			}
		}
		return out, count, all
	}
	by := map[string][]found{}
	for _, l := range b.sortedLots() {
		groups, count, all := live(l)
		stale := float64(all-count) >= lotStale*float64(all)
		if count < lotSmall || stale || b.shares[l.Share] == nil {
			by[l.Share] = append(by[l.Share], found{l, groups, count, stale})
		}
	}
	// The share in which most is won: each lot less is one, and each that is stale.
	var best []Write
	most := 0
	for _, s := range slices.Sorted(maps.Keys(by)) {
		if ws, won := p.join(s, by[s]); won > most {
			best, most = ws, won
		}
	}
	p.lots = append(p.lots, best...)
}

// found is a lot that may be written anew: what of it counts, and how many names.
type found struct {
	l      *Lot
	groups []group
	count  int
	stale  bool
}

// join writes lots of a share as one, and says how much that wins.
func (p *draft) join(share string, fs []found) (ws []Write, won int) {
	// The smallest first: the more of them fit together.
	slices.SortStableFunc(fs, func(a, b found) int { return cmp.Compare(a.count, b.count) })
	var groups []group
	var into *Lot
	var value []byte
	count := 0
	for _, f := range fs {
		if len(ws) >= p.room()-1 {
			break
		}
		more := append(slices.Clone(groups), f.groups...)
		v := encodeLot(share, joined(more))
		if n, err := bounds.JSON(v); count+f.count > lotNames || err != nil || n > p.d.limits.ValueBytes {
			continue
		}
		groups, value, count = more, v, count+f.count
		if f.stale {
			won++
		}
		if into == nil {
			into = f.l
			continue
		}
		won++
		ws = append(ws, Write{Name: f.l.Name, Stamp: f.l.Stamp})
	}
	if into == nil {
		return nil, 0
	}
	if count == 0 {
		value = nil
	}
	return append(ws, Write{Name: into.Name, Stamp: into.Stamp, Value: value}), won
}

// joined puts groups of the same epoch together.
func joined(gs []group) []group {
	by := map[uint64][]string{}
	for _, g := range gs {
		by[g.epoch] = append(by[g.epoch], g.names...)
	}
	var out []group
	for e, names := range by {
		out = append(out, group{e, names})
	}
	slices.SortFunc(out, func(a, b group) int { return cmp.Compare(a.epoch, b.epoch) })
	return out
}

// writes are the changes of the draft, as many as a transaction takes: what is left
// out is found again by the next plan. Moves of teams are never torn: they are
// planned only when nothing else is.
func (p *draft) writes() []Write {
	var out []Write
	var names []string
	for n := range p.dirty {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		w := Write{Share: true, Name: n}
		if s := p.in.Book.Find(n); s != nil {
			w.Stamp = s.Stamp
		}
		if r := p.shares[n]; r != nil {
			w.Value = encode(r)
		} else if w.Stamp == 0 {
			continue
		}
		out = append(out, w)
	}
	out = append(out, p.lots...)
	return out[:min(len(out), p.d.limits.Ops)]
}

// Raise names machines that an owner has already for its share once more, so that
// they get a higher epoch: under it orders that got no answer can't be executed any
// more. name must never have been used.
func Raise(limits bounds.Limits, name string, share *Share, machines []string) (Write, []string) {
	for k := min(len(machines), lotNames); k > 0; k /= 2 {
		v := encodeLot(share.Name, []group{{0, machines[:k]}})
		if n, err := bounds.JSON(v); err == nil && n <= limits.ValueBytes {
			return Write{Name: name, Value: v}, machines[:k]
		}
	}
	return Write{}, nil
}
