package sharding

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
)

const (
	// maxSegmentMachines bounds the machines that one segment names. Fewer make more records
	// for a successor to read; more make each change larger for every watcher. A segment of
	// this size mostly takes half a KiB.
	maxSegmentMachines = 160
	// smallSegment is the machine count below which a segment is merged with others.
	smallSegment = maxSegmentMachines / 4
	// staleFraction is the part of a segment's names that must be obsolete (gone, or named by
	// a later segment) before it is rewritten.
	staleFraction = 0.25
	// compactEvery is the least time between two writes that only compact records.
	compactEvery = 5 * time.Second
	// batchDelay is how long a new machine waits for others to share its segment.
	batchDelay = 400 * time.Millisecond
	// minLoadGain is the part of the largest load that a move must win, and imbalanceIntervals
	// for how many planning intervals that must have been so, before anything moves between
	// controllers that are both healthy.
	minLoadGain        = 0.25
	imbalanceIntervals = 0.5
	// teamCooldownIntervals is how many planning intervals a moved team stays where it is.
	teamCooldownIntervals = 4
	// offerTimeout is how long a controller may take to say which machines go with a team;
	// refusedBackoff is how long the team is left alone when it does not.
	offerTimeout   = 6 * time.Second
	refusedBackoff = 30 * time.Second
	// maxShardFill is the part of the value limit that the teams of a shard may take.
	maxShardFill = 0.75
)

// Controller is a live controller. One that is not Capable can't run shards. One on probation
// has just started: it keeps what it has, and gets more only if no other controller can.
type Controller struct {
	Host, Incarnation    string
	Capable, OnProbation bool
}

// Offer lists the machines that a controller would hand over along with a team.
type Offer struct {
	Team     string
	Machines []string
}

// NewMachine is a machine that was rented for, or is transferred to, the controller on Host.
// KnownAt is when the planner's controller learned of it.
type NewMachine struct {
	ID      string
	Host    string
	KnownAt time.Time
}

// Input is the state that a plan is made from.
type Input struct {
	Map *Map
	// Self is the host of the planning controller, which wins ties between equal loads.
	Self        string
	Controllers []Controller
	// Teams are those of the settings; TeamLoads is what each keeps busy, in CPUs.
	Teams     []string
	TeamLoads map[string]float64
	// Offers are the answers to PendingMove, by team.
	Offers map[string]Offer
	// NewMachines are those that no segment names yet.
	NewMachines []NewMachine
	// IsGone reports whether a machine is known to be gone, or certain to be forgotten.
	IsGone func(machine string) bool
}

// Write changes one record if the key's mod revision is ModRevision (0: the key is absent). A
// nil Value deletes the record.
type Write struct {
	IsShard     bool
	Name        string
	ModRevision uint64
	Value       []byte
}

// MoveRequest is a team that is to move from one host to another.
type MoveRequest struct {
	Team     string
	From, To string
}

// Planner decides over time which controllers hold which shards. Use New: the zero value is
// not usable. A Planner is not safe for concurrent use.
type Planner struct {
	limits   sizelimit.Limits
	interval time.Duration
	// term prefixes the names of new segments; names are never used again.
	term         string
	segmentCount int

	controllers string
	changedAt   time.Time
	compactedAt time.Time
	movedAt     map[string]time.Time
	request     *MoveRequest
	requestedAt time.Time
	refusedAt   map[string]time.Time
	// imbalancedSince is when a move first became worth its cost; zero while none is.
	imbalancedSince time.Time
}

// New returns a planner for one term of the leader. interval is the least time between two
// moves.
func New(limits sizelimit.Limits, term string, interval time.Duration, now time.Time) *Planner {
	return &Planner{
		limits: limits, term: term, interval: interval, changedAt: now, compactedAt: now,
		movedAt: map[string]time.Time{}, refusedAt: map[string]time.Time{},
	}
}

// PendingMove returns the team that is to move, if any. Its shard leader is to offer the
// machines that go along.
func (p *Planner) PendingMove() (MoveRequest, bool) {
	if p.request == nil {
		return MoveRequest{}, false
	}
	return *p.request, true
}

// draft is the state of one Plan call: the shard map as it will be, and its writes.
type draft struct {
	planner       *Planner
	input         Input
	shards        map[string]*shardRecord
	changedShards map[string]bool
	segmentWrites []Write
	loads         map[string]float64
	capable       []Controller
	// recipients are the capable controllers that may be given shards and teams.
	recipients []Controller
}

// Plan returns what to write next, all of it in one transaction, or nothing.
func (p *Planner) Plan(now time.Time, in Input) []Write {
	d := &draft{planner: p, input: in, shards: map[string]*shardRecord{}, changedShards: map[string]bool{}, loads: map[string]float64{}}
	var names []string
	for _, n := range in.Controllers {
		names = append(names, n.Host+" "+n.Incarnation)
		if n.Capable {
			d.capable = append(d.capable, n)
		}
	}
	if len(d.capable) == 0 {
		d.capable = slices.Clone(in.Controllers)
	}
	slices.SortFunc(d.capable, func(a, b Controller) int { return strings.Compare(a.Host, b.Host) })
	for _, n := range d.capable {
		if !n.OnProbation {
			d.recipients = append(d.recipients, n)
		}
	}
	if len(d.recipients) == 0 {
		d.recipients = d.capable
	}
	slices.Sort(names)
	if all := strings.Join(names, ","); all != p.controllers {
		// Membership has changed: wait before moving anything that need not move.
		p.controllers, p.changedAt = all, now
	}
	for _, s := range in.Map.Shards() {
		r := s.record()
		d.shards[s.Name] = &r
	}
	for _, r := range d.shards {
		if d.holderAlive(r) {
			d.loads[r.Host] += d.shardWeight(r)
		}
	}
	if len(d.capable) == 0 {
		return nil
	}
	if d.shrinkOversized() {
		return d.writes()
	}
	d.reassignOrphaned()
	d.assignTeams()
	d.assignCatchAll()
	if len(d.changedShards) == 0 {
		d.rebalance(now)
	}
	d.assignNewMachines(now)
	if len(d.changedShards) == 0 && len(d.segmentWrites) == 0 {
		d.compact(now)
	}
	return d.writes()
}

// remainingOps is how many more changes fit into the transaction.
func (d *draft) remainingOps() int {
	return d.planner.limits.Ops - len(d.changedShards) - len(d.segmentWrites)
}

// writes returns the changes of the draft, as many as a transaction takes; the next plan finds
// the rest again. A move of a team is never split: it is planned only when nothing else is.
func (d *draft) writes() []Write {
	var out []Write
	var names []string
	for n := range d.changedShards {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		w := Write{IsShard: true, Name: n}
		if s := d.input.Map.Shard(n); s != nil {
			w.ModRevision = s.ModRevision
		}
		if r := d.shards[n]; r != nil {
			w.Value = encode(r)
		} else if w.ModRevision == 0 {
			continue
		}
		out = append(out, w)
	}
	out = append(out, d.segmentWrites...)
	return out[:min(len(out), d.planner.limits.Ops)]
}
