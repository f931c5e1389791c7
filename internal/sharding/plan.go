package sharding

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
)

const (
	// maxSegmentMachines is how many machines a lot names at most. Fewer make more records to
	// read for a successor, more make each change cost more to everybody that
	// watches: a lot of that size takes half a KiB mostly.
	maxSegmentMachines = 160
	// smallSegment is from where on a lot is worth joining with others.
	smallSegment = maxSegmentMachines / 4
	// staleFraction is the part of a lot's names that must be in vain, gone or named
	// elsewhere since, before it is written anew.
	staleFraction = 0.25
	// compactEvery separates two writes that only make records fewer or shorter.
	compactEvery = 5 * time.Second
	// batchDelay is how long new machines wait for others, to share a record.
	batchDelay = 400 * time.Millisecond
	// minLoadGain is the part of the largest load that must be won before anything moves
	// between controllers that do well, and steady for how many share intervals that
	// must have been so.
	minLoadGain        = 0.25
	imbalanceIntervals = 0.5
	// teamCooldownIntervals is how long a team that has moved stays, in share intervals.
	teamCooldownIntervals = 4
	// offerTimeout is how long a controller may take to say which machines go
	// with a team, and refusedBackoff how long it is left alone when it doesn't.
	offerTimeout   = 6 * time.Second
	refusedBackoff = 30 * time.Second
	// maxShardFill is the part of a value's limit that a share's teams may take.
	maxShardFill = 0.75
)

// Controller is a living controller. Able: it can run shares. Young: it has begun so lately
// that it gets none while another can have it; what it has it keeps.
type Controller struct {
	Host, Incarnation    string
	Capable, OnProbation bool
}

// Offer says which machines a controller would give along with a team.
type Offer struct {
	Team     string
	Machines []string
}

// NewMachine is a machine that was rented for a controller, or is handed over to it, and
// when that was known.
type NewMachine struct {
	ID      string
	Host    string
	KnownAt time.Time
}

// Input is what the division rests on.
type Input struct {
	Map *Map
	// Self divides; of controllers with the same load it comes first.
	Self        string
	Controllers []Controller
	// Teams are those of the settings, and Load what each keeps busy, in CPUs.
	Teams     []string
	TeamLoads map[string]float64
	// Offers are what controllers answer to Asks, by team.
	Offers map[string]Offer
	// NewMachines are machines rented for a controller that no lot names yet.
	NewMachines []NewMachine
	// IsGone says that a machine is known to be gone, or surely forgotten.
	IsGone func(machine string) bool
}

// Write is one change of the records, on condition that the key has the stamp (0:
// is absent). Value nil removes it.
type Write struct {
	IsShard     bool
	Name        string
	ModRevision uint64
	Value       []byte
}

// MoveRequest is a team that is to move, and where to.
type MoveRequest struct {
	Team     string
	From, To string
}

// Planner decides about the division, over time. The zero value is of no use.
type Planner struct {
	limits   sizelimit.Limits
	interval time.Duration
	// term makes names of new lots, which are never used again.
	term         string
	segmentCount int

	controllers string
	changedAt   time.Time
	compactedAt time.Time
	movedAt     map[string]time.Time
	request     *MoveRequest
	requestedAt time.Time
	refusedAt   map[string]time.Time
	// imbalancedSince is since when a move would win enough.
	imbalancedSince time.Time
}

// New makes a divider for one term as the one who divides. interval is the least
// time between two moves of teams.
func New(limits sizelimit.Limits, term string, interval time.Duration, now time.Time) *Planner {
	return &Planner{
		limits: limits, term: term, interval: interval, changedAt: now, compactedAt: now,
		movedAt: map[string]time.Time{}, refusedAt: map[string]time.Time{},
	}
}

// PendingMove is the team that is to move, if any: its owner is to say which machines go
// along.
func (d *Planner) PendingMove() (MoveRequest, bool) {
	if d.request == nil {
		return MoveRequest{}, false
	}
	return *d.request, true
}

// draft is the division that a plan is about to write.
type draft struct {
	planner       *Planner
	input         Input
	shards        map[string]*shardRecord
	changedShards map[string]bool
	segmentWrites []Write
	loads         map[string]float64
	capable       []Controller
	// recipients are those of the able that get what is given away.
	recipients []Controller
}

// Plan says what to write next, all of it in one transaction, or nothing.
func (d *Planner) Plan(now time.Time, in Input) []Write {
	p := &draft{planner: d, input: in, shards: map[string]*shardRecord{}, changedShards: map[string]bool{}, loads: map[string]float64{}}
	var names []string
	for _, n := range in.Controllers {
		names = append(names, n.Host+" "+n.Incarnation)
		if n.Capable {
			p.capable = append(p.capable, n)
		}
	}
	if len(p.capable) == 0 {
		p.capable = slices.Clone(in.Controllers)
	}
	slices.SortFunc(p.capable, func(a, b Controller) int { return strings.Compare(a.Host, b.Host) })
	for _, n := range p.capable {
		if !n.OnProbation {
			p.recipients = append(p.recipients, n)
		}
	}
	if len(p.recipients) == 0 {
		p.recipients = p.capable
	}
	slices.Sort(names)
	if all := strings.Join(names, ","); all != d.controllers {
		// Who lives has changed: let the dust settle before anything moves that need
		// not.
		d.controllers, d.changedAt = all, now
	}
	for _, s := range in.Map.Shards() {
		r := s.record()
		p.shards[s.Name] = &r
	}
	for _, r := range p.shards {
		if p.holderAlive(r) {
			p.loads[r.Host] += p.shardWeight(r)
		}
	}
	if len(p.capable) == 0 {
		return nil
	}
	if p.shrinkOversized() {
		return p.writes()
	}
	p.reassignOrphaned()
	p.assignTeams()
	p.assignCatchAll()
	if len(p.changedShards) == 0 {
		p.rebalance(now)
	}
	p.assignNewMachines(now)
	if len(p.changedShards) == 0 && len(p.segmentWrites) == 0 {
		p.compact(now)
	}
	return p.writes()
}

// holderAlive says that a share's holder lives and may go on.
func (p *draft) holderAlive(r *shardRecord) bool {
	return slices.ContainsFunc(p.capable, func(n Controller) bool { return n.Host == r.Host && n.Incarnation == r.Incarnation })
}

// teamWeight is a team's part in the load of a controller. One that does nothing counts
// a little, so that teams are spread before they have work.
func (p *draft) teamWeight(team string) float64 { return 1 + p.input.TeamLoads[team] }

func (p *draft) shardWeight(r *shardRecord) float64 {
	total := 0.0
	for _, t := range r.Teams {
		total += p.teamWeight(t)
	}
	return total
}

// leastLoaded is the controller with the least load of those that get anything; of equals,
// the one that divides.
func (p *draft) leastLoaded() Controller {
	best := p.recipients[0]
	for _, n := range p.recipients {
		if l, b := p.loads[n.Host], p.loads[best.Host]; l < b || l == b && n.Host == p.input.Self {
			best = n
		}
	}
	return best
}

func (p *draft) isEmpty(name string) bool {
	r := p.shards[name]
	return len(r.Teams) == 0 && !r.CatchAll && len(r.Machines) == 0 && !slices.ContainsFunc(p.input.Map.sortedSegments(), func(l *Segment) bool { return l.Shard == name })
}

// reassignOrphaned gives the shares of the dead other holders, one share as a whole to one:
// its teams' tasks are on its machines. The largest goes first. A share with nothing
// in it is removed.
func (p *draft) reassignOrphaned() {
	var orphaned []string
	for _, n := range p.shardNames() {
		if r := p.shards[n]; !p.holderAlive(r) {
			orphaned = append(orphaned, n)
		}
	}
	slices.SortStableFunc(orphaned, func(a, b string) int { return cmp.Compare(p.shardWeight(p.shards[b]), p.shardWeight(p.shards[a])) })
	for _, n := range orphaned {
		r := p.shards[n]
		if p.isEmpty(n) {
			delete(p.shards, n)
			p.changedShards[n] = true
			continue
		}
		to := p.leastLoaded()
		r.Host, r.Incarnation, r.Epoch = to.Host, to.Incarnation, 0
		p.changedShards[n] = true
		p.loads[to.Host] += p.shardWeight(r)
	}
}

func (p *draft) shardNames() []string {
	out := make([]string, 0, len(p.shards))
	for n := range p.shards {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// fits says that a share's record stays within its part of a value.
func (p *draft) fits(r *shardRecord) bool {
	n, err := sizelimit.JSON(encode(r))
	return err == nil && n <= int(maxShardFill*float64(p.planner.limits.ValueBytes))
}

// shardFor is a share of the controller that has room for one more team: the first,
// or a new one.
func (p *draft) shardFor(n Controller, team string) string {
	for _, name := range p.shardNames() {
		r := p.shards[name]
		if r.Host != n.Host || r.Incarnation != n.Incarnation {
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
		if p.shards[name] == nil && !p.changedShards[name] {
			p.shards[name] = &shardRecord{Host: n.Host, Incarnation: n.Incarnation}
			p.changedShards[name] = true
			return name
		}
	}
}

// shrinkOversized takes teams out of shares that were written under a larger limit of values: they
// could not be written again, whoever is to have them. The teams are nobody's until the
// next plan, so that none is in two shares however many writes it takes.
func (p *draft) shrinkOversized() bool {
	for _, name := range p.shardNames() {
		r := p.shards[name]
		if n, err := sizelimit.JSON(encode(r)); err != nil || n <= p.planner.limits.ValueBytes || p.remainingOps() == 0 {
			continue
		}
		for len(r.Teams) > 1 && !p.fits(r) {
			r.Teams = r.Teams[:len(r.Teams)-1]
			p.changedShards[name] = true
		}
	}
	return len(p.changedShards) > 0
}

func (p *draft) assignTeam(team string, to Controller) {
	name := p.shardFor(to, team)
	r := p.shards[name]
	r.Teams = append(r.Teams, team)
	slices.Sort(r.Teams)
	p.changedShards[name] = true
	p.loads[to.Host] += p.teamWeight(team)
}

// assignTeams gives teams that nobody runs to the controllers with the least load.
func (p *draft) assignTeams() {
	assigned := map[string]bool{}
	for _, r := range p.shards {
		for _, t := range r.Teams {
			assigned[t] = true
		}
	}
	for _, t := range p.input.Teams {
		if !assigned[t] {
			assigned[t] = true
			p.assignTeam(t, p.leastLoaded())
		}
	}
}

// assignCatchAll sees to it that one share has the machines that no lot names: that of the
// one who divides, if it runs any team, since it is the first to know of machines.
func (p *draft) assignCatchAll() {
	best := ""
	for _, n := range p.shardNames() {
		r := p.shards[n]
		if r.CatchAll {
			return
		}
		switch {
		case len(r.Teams) == 0:
		case best == "", r.Host == p.input.Self && p.shards[best].Host != p.input.Self:
			best = n
		}
	}
	if best != "" {
		p.shards[best].CatchAll, p.shards[best].CatchAllEpoch = true, 0
		p.changedShards[best] = true
	}
}

// rebalance moves a share or a team from the controller with the most to the one with
// the least load, when that wins enough and nothing has moved for a while. A share
// moves as it is. A team moves when its owner has said which machines go along, so
// that the receiver does not begin with none; nothing of it stops meanwhile.
func (p *draft) rebalance(now time.Time) {
	d := p.planner
	if d.request != nil {
		if p.continueMove(now) {
			return
		}
	}
	if d.request != nil || now.Sub(d.changedAt) < d.interval || len(p.capable) < 2 {
		return
	}
	mostLoaded, leastLoaded := p.capable[0], p.leastLoaded()
	for _, n := range p.capable {
		if p.loads[n.Host] > p.loads[mostLoaded.Host] {
			mostLoaded = n
		}
	}
	improvement := func(w float64) float64 {
		return p.loads[mostLoaded.Host] - max(p.loads[mostLoaded.Host]-w, p.loads[leastLoaded.Host]+w)
	}
	// The one that levels best, of shares first: they take their machines along.
	shard, team, bestGain, minGain := "", "", 0.0, minLoadGain*p.loads[mostLoaded.Host]
	var candidates []string
	for _, n := range p.shardNames() {
		if r := p.shards[n]; r.Host == mostLoaded.Host && len(r.Teams) > 0 {
			candidates = append(candidates, n)
		}
	}
	for _, n := range candidates {
		if w := improvement(p.shardWeight(p.shards[n])); len(candidates) > 1 && w >= minGain && w > bestGain {
			shard, bestGain = n, w
		}
	}
	for _, n := range candidates {
		if r := p.shards[n]; shard == "" && len(r.Teams) > 1 {
			for _, t := range r.Teams {
				if w := improvement(p.teamWeight(t)); w >= minGain && w > bestGain && !d.onCooldown(t, now) {
					team, bestGain = t, w
				}
			}
		}
	}
	switch {
	case shard == "" && team == "":
		d.imbalancedSince = time.Time{}
		return
	case d.imbalancedSince.IsZero():
		d.imbalancedSince = now
	}
	if float64(now.Sub(d.imbalancedSince)) < imbalanceIntervals*float64(d.interval) {
		return
	}
	d.imbalancedSince = time.Time{}
	if shard == "" {
		d.request, d.requestedAt = &MoveRequest{team, mostLoaded.Host, leastLoaded.Host}, now
		return
	}
	r := p.shards[shard]
	r.Host, r.Incarnation, r.Epoch = leastLoaded.Host, leastLoaded.Incarnation, 0
	p.changedShards[shard] = true
	d.changedAt = now
}

// onCooldown says that a team is not to move: it has moved not long ago, or its owner has
// lately not said which machines go along.
func (d *Planner) onCooldown(team string, now time.Time) bool {
	within := func(at time.Time, period time.Duration) bool { return !at.IsZero() && now.Sub(at) < period }
	return within(d.movedAt[team], teamCooldownIntervals*d.interval) || within(d.refusedAt[team], refusedBackoff)
}

// continueMove carries a move on that was asked for, and says whether it is written now.
func (p *draft) continueMove(now time.Time) bool {
	d := p.planner
	move := *d.request
	from := ""
	for n, r := range p.shards {
		if slices.Contains(r.Teams, move.Team) {
			from = n
		}
	}
	i := slices.IndexFunc(p.capable, func(n Controller) bool { return n.Host == move.To })
	switch offer, ok := p.input.Offers[move.Team]; {
	case from == "" || i < 0 || p.shards[from].Host != move.From:
		d.request = nil
	case ok:
		d.request = nil
		d.changedAt, d.movedAt[move.Team] = now, now
		r := p.shards[from]
		r.Teams = slices.DeleteFunc(r.Teams, func(t string) bool { return t == move.Team })
		p.changedShards[from] = true
		p.assignTeam(move.Team, p.capable[i])
		to := ""
		for n, r := range p.shards {
			if slices.Contains(r.Teams, move.Team) {
				to = n
			}
		}
		var ids []string
		for _, id := range offer.Machines {
			if o, ok := p.input.Map.Owner(id); ok && o.Host == move.From {
				ids = append(ids, id)
			}
		}
		p.addSegments(to, ids)
		return true
	case now.Sub(d.requestedAt) > offerTimeout:
		d.refusedAt[move.Team] = now
		d.request = nil
	}
	return false
}

// remainingOps is how many more changes the transaction takes.
func (p *draft) remainingOps() int {
	return p.planner.limits.Ops - len(p.changedShards) - len(p.segmentWrites)
}

// addSegments names machines for a share, in as many lots as it takes and there is room for.
func (p *draft) addSegments(shard string, ids []string) {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for len(ids) > 0 && p.remainingOps() > 0 {
		count := min(len(ids), maxSegmentMachines)
		var value []byte
		for ; ; count = max(1, count/2) {
			value = encodeSegment(shard, []epochGroup{{0, ids[:count]}})
			if n, err := sizelimit.JSON(value); err == nil && n <= p.planner.limits.ValueBytes {
				break
			}
			if count == 1 {
				// A name that fits no record. It stays with the rest.
				value = nil
				break
			}
		}
		if value != nil {
			p.planner.segmentCount++
			p.segmentWrites = append(p.segmentWrites, Write{Name: fmt.Sprintf("%s-%d", p.planner.term, p.planner.segmentCount), Value: value})
		}
		ids = ids[count:]
	}
}

// assignNewMachines names the machines that were rented for, or are handed over to, controllers
// whose they are not yet.
func (p *draft) assignNewMachines(now time.Time) {
	byShard := map[string][]string{}
	due := false
	for _, x := range p.input.NewMachines {
		if o, ok := p.input.Map.Owner(x.ID); ok && o.Host == x.Host || p.input.IsGone(x.ID) {
			continue
		}
		// The first of its shares with teams, or the one with the rest.
		name := ""
		for _, n := range p.shardNames() {
			if r := p.shards[n]; r.Host == x.Host && (name == "" && len(r.Teams) > 0 || r.CatchAll) {
				name = n
			}
		}
		if name != "" {
			byShard[name] = append(byShard[name], x.ID)
			due = due || now.Sub(x.KnownAt) >= batchDelay
		}
	}
	if !due {
		return
	}
	for _, n := range p.shardNames() {
		if len(byShard[n]) > 0 {
			p.addSegments(n, byShard[n])
		}
	}
}

// compact writes small and stale lots anew: together, without what is gone or named
// elsewhere since, and each machine with the epoch that it has.
func (p *draft) compact(now time.Time) {
	d := p.planner
	if now.Sub(d.compactedAt) < compactEvery {
		return
	}
	d.compactedAt = now
	b := p.input.Map
	for _, n := range p.shardNames() {
		if old := b.shards[n].legacySegment; old != nil {
			p.addSegments(n, b.currentMachines(old))
			p.shards[n].Machines = nil
			p.changedShards[n] = true
			return
		}
	}
	currentGroups := func(segment *Segment) (out []epochGroup, count, all int) {
		for _, g := range segment.groups {
			keep := epochGroup{epoch: g.epoch}
			for _, id := range g.names {
				if all++; b.current[id].segment == segment && b.current[id].epoch == g.epoch && !p.input.IsGone(id) {
					keep.names = append(keep.names, id)
				}
			}
			if count += len(keep.names); len(keep.names) > 0 {
				out = append(out, keep)
			}
		}
		return out, count, all
	}
	candidates := map[string][]mergeCandidate{}
	for _, segment := range b.sortedSegments() {
		groups, count, all := currentGroups(segment)
		stale := float64(all-count) >= staleFraction*float64(all)
		if count < smallSegment || stale || b.shards[segment.Shard] == nil {
			candidates[segment.Shard] = append(candidates[segment.Shard], mergeCandidate{segment, groups, count, stale})
		}
	}
	// The share in which most is won: each lot less is one, and each that is stale.
	var best []Write
	bestSaving := 0
	for _, s := range slices.Sorted(maps.Keys(candidates)) {
		if ws, saving := p.mergeSegments(s, candidates[s]); saving > bestSaving {
			best, bestSaving = ws, saving
		}
	}
	p.segmentWrites = append(p.segmentWrites, best...)
}

// mergeCandidate is a lot that may be written anew: what of it counts, and how many names.
type mergeCandidate struct {
	segment      *Segment
	groups       []epochGroup
	machineCount int
	stale        bool
}

// mergeSegments writes lots of a share as one, and says how much that wins.
func (p *draft) mergeSegments(shard string, candidates []mergeCandidate) (ws []Write, saving int) {
	// The smallest first: the more of them fit together.
	slices.SortStableFunc(candidates, func(a, b mergeCandidate) int { return cmp.Compare(a.machineCount, b.machineCount) })
	var groups []epochGroup
	var target *Segment
	var value []byte
	count := 0
	for _, f := range candidates {
		if len(ws) >= p.remainingOps()-1 {
			break
		}
		merged := append(slices.Clone(groups), f.groups...)
		v := encodeSegment(shard, mergeGroups(merged))
		if n, err := sizelimit.JSON(v); count+f.machineCount > maxSegmentMachines || err != nil || n > p.planner.limits.ValueBytes {
			continue
		}
		groups, value, count = merged, v, count+f.machineCount
		if f.stale {
			saving++
		}
		if target == nil {
			target = f.segment
			continue
		}
		saving++
		ws = append(ws, Write{Name: f.segment.Name, ModRevision: f.segment.ModRevision})
	}
	if target == nil {
		return nil, 0
	}
	if count == 0 {
		value = nil
	}
	return append(ws, Write{Name: target.Name, ModRevision: target.ModRevision, Value: value}), saving
}

// mergeGroups puts groups of the same epoch together.
func mergeGroups(groups []epochGroup) []epochGroup {
	byEpoch := map[uint64][]string{}
	for _, g := range groups {
		byEpoch[g.epoch] = append(byEpoch[g.epoch], g.names...)
	}
	var out []epochGroup
	for e, names := range byEpoch {
		out = append(out, epochGroup{e, names})
	}
	slices.SortFunc(out, func(a, b epochGroup) int { return cmp.Compare(a.epoch, b.epoch) })
	return out
}

// writes are the changes of the draft, as many as a transaction takes: what is left
// out is found again by the next plan. Moves of teams are never torn: they are
// planned only when nothing else is.
func (p *draft) writes() []Write {
	var out []Write
	var names []string
	for n := range p.changedShards {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		w := Write{IsShard: true, Name: n}
		if s := p.input.Map.Shard(n); s != nil {
			w.ModRevision = s.ModRevision
		}
		if r := p.shards[n]; r != nil {
			w.Value = encode(r)
		} else if w.ModRevision == 0 {
			continue
		}
		out = append(out, w)
	}
	out = append(out, p.segmentWrites...)
	return out[:min(len(out), p.planner.limits.Ops)]
}

// BumpEpoch names machines that an owner has already for its share once more, so that
// they get a higher epoch: under it orders that got no answer can't be executed any
// more. name must never have been used.
func BumpEpoch(limits sizelimit.Limits, name string, shard *Shard, machines []string) (Write, []string) {
	for count := min(len(machines), maxSegmentMachines); count > 0; count /= 2 {
		v := encodeSegment(shard.Name, []epochGroup{{0, machines[:count]}})
		if n, err := sizelimit.JSON(v); err == nil && n <= limits.ValueBytes {
			return Write{Name: name, Value: v}, machines[:count]
		}
	}
	return Write{}, nil
}
