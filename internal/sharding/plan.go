package sharding

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
)

const (
	// maxSegmentMachines is the largest number of machines that one segment names. A smaller
	// limit makes more records for a successor to read; a larger one makes each change larger
	// for every watcher. A segment of this size takes about half a KiB.
	maxSegmentMachines = 160
	// smallSegment is the number of machines below which a segment is merged with others.
	smallSegment = maxSegmentMachines / 4
	// staleFraction is the fraction of a segment's machines that must be gone, or named by a
	// later segment, before the segment is rewritten.
	staleFraction = 0.25
	// compactEvery is the least time between two writes that only compact records.
	compactEvery = 5 * time.Second
	// batchDelay is how long a new machine waits for others that can share its segment.
	batchDelay = 400 * time.Millisecond
	// minLoadGain is the fraction of the largest load by which a move between two capable
	// controllers must lower that load.
	minLoadGain = 0.25
	// imbalanceIntervals is how long, in planning intervals, such a move must have been
	// possible before it is made.
	imbalanceIntervals = 0.5
	// teamCooldownIntervals is how long, in planning intervals, a moved team must stay with its
	// new holder.
	teamCooldownIntervals = 4
	// offerTimeout is how long a controller may take to offer the machines that go with a team.
	// refusedBackoff is how long no move of the team is planned after an offer has failed to
	// arrive in time.
	offerTimeout   = 6 * time.Second
	refusedBackoff = 30 * time.Second
	// maxShardFill is the fraction of the value limit that a shard's record may take when a team
	// is added.
	maxShardFill = 0.75
)

// Controller is a live controller. A controller that is not Capable can't run shards. A
// controller on probation has just started: it keeps its shards, and gets more only if no other
// capable controller can take them.
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
// KnownAt is when the planning controller learned of it.
type NewMachine struct {
	ID      string
	Host    string
	KnownAt time.Time
}

// Input is the state from which Plan decides.
type Input struct {
	Map *Map
	// Self is the host of the planning controller, which wins ties between equal loads.
	Self        string
	Controllers []Controller
	// Teams are the configured teams. TeamLoads is the load of each team, in CPUs.
	Teams     []string
	TeamLoads map[string]float64
	// Offers, by team, are the offers that shard leaders made for the pending move.
	Offers map[string]Offer
	// NewMachines are the machines that no segment names for their host yet.
	NewMachines []NewMachine
	// IsGone reports whether a machine is known to be gone, or will certainly be removed from
	// the fleet.
	IsGone func(machine string) bool
}

// Write changes one record, on condition that the mod revision of its key is ModRevision, which
// is 0 for an absent key. A nil Value deletes the record.
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
	// term prefixes the names of new segments, and segmentCount numbers them. A name is never
	// used again.
	term         string
	segmentCount int

	// controllers identifies the live incarnations of the last plan. changedAt is when they last
	// changed or a shard or team was last moved.
	controllers string
	changedAt   time.Time
	compactedAt time.Time
	// movedAt is when each team was last moved.
	movedAt map[string]time.Time
	// request is the pending move of a team, made at requestedAt, or nil.
	request     *MoveRequest
	requestedAt time.Time
	// refusedAt is when a move of each team was last given up because no offer arrived.
	refusedAt map[string]time.Time
	// imbalancedSince is since when some move has been worth its cost, and zero while none is.
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

// PendingMove returns the team that is to move, if any. Its shard leader is expected to offer
// the machines that go along.
func (planner *Planner) PendingMove() (MoveRequest, bool) {
	if planner.request == nil {
		return MoveRequest{}, false
	}
	return *planner.request, true
}

// draft is the state of one Plan call: the shard map as planned, and the writes that lead to it.
type draft struct {
	planner       *Planner
	input         Input
	shards        map[string]*shardRecord
	changedShards map[string]bool
	segmentWrites []Write
	// loads, by host, are the loads of the controllers, in CPUs.
	loads map[string]float64
	// capable are the controllers that can run shards, or all controllers if none can.
	capable []Controller
	// recipients are the capable controllers that may get more shards and teams.
	recipients []Controller
}

// Plan returns the next writes, which are to be applied in one transaction, or nil if nothing is
// due. Call it again after the watch has delivered the result.
func (planner *Planner) Plan(now time.Time, input Input) []Write {
	draft := &draft{planner: planner, input: input, shards: map[string]*shardRecord{}, changedShards: map[string]bool{}, loads: map[string]float64{}}
	var names []string
	for _, controller := range input.Controllers {
		names = append(names, controller.Host+" "+controller.Incarnation)
		if controller.Capable {
			draft.capable = append(draft.capable, controller)
		}
	}
	if len(draft.capable) == 0 {
		draft.capable = slices.Clone(input.Controllers)
	}
	slices.SortFunc(draft.capable, func(a, b Controller) int { return strings.Compare(a.Host, b.Host) })
	for _, controller := range draft.capable {
		if !controller.OnProbation {
			draft.recipients = append(draft.recipients, controller)
		}
	}
	if len(draft.recipients) == 0 {
		draft.recipients = draft.capable
	}
	slices.Sort(names)
	if all := strings.Join(names, ","); all != planner.controllers {
		// Membership has changed: wait before making moves that only balance the load.
		planner.controllers, planner.changedAt = all, now
	}
	for _, shard := range input.Map.Shards() {
		rec := shard.record()
		draft.shards[shard.Name] = &rec
	}
	for _, rec := range draft.shards {
		if draft.holderAlive(rec) {
			draft.loads[rec.Host] += draft.shardWeight(rec)
		}
	}
	if len(draft.capable) == 0 {
		return nil
	}
	if draft.shrinkOversized() {
		return draft.writes()
	}
	draft.reassignOrphaned()
	draft.assignTeams()
	draft.assignCatchAll()
	if len(draft.changedShards) == 0 {
		draft.rebalance(now)
	}
	draft.assignNewMachines(now)
	if len(draft.changedShards) == 0 && len(draft.segmentWrites) == 0 {
		draft.compact(now)
	}
	return draft.writes()
}

// remainingOps returns how many more changes fit into the transaction.
func (draft *draft) remainingOps() int {
	return draft.planner.limits.Ops - len(draft.changedShards) - len(draft.segmentWrites)
}

// writes returns the changes of the draft, as many as fit into a transaction. The next plan
// finds the rest again. A team's move is never split, because it is planned only when no other
// change is due.
func (draft *draft) writes() []Write {
	var out []Write
	var names []string
	for name := range draft.changedShards {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		write := Write{IsShard: true, Name: name}
		if shard := draft.input.Map.Shard(name); shard != nil {
			write.ModRevision = shard.ModRevision
		}
		if rec := draft.shards[name]; rec != nil {
			write.Value = encode(rec)
		} else if write.ModRevision == 0 {
			continue
		}
		out = append(out, write)
	}
	out = append(out, draft.segmentWrites...)
	return out[:min(len(out), draft.planner.limits.Ops)]
}
