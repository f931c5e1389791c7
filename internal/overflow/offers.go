package overflow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// FreeCapacity is the capacity that a borrower offers on machines of one kind. The
// borrower's own jobs of the same urgency are not expected to need it for a while.
type FreeCapacity struct {
	MachineType string
	Zone        string
	Spot        bool
	// PerMachine is the free capacity of one machine. Machines is the number of
	// machines with this free capacity.
	PerMachine model.Resources
	Machines   int
	// AvailableIn is the time until the capacity becomes available; 0 means now.
	AvailableIn time.Duration
	// CostPerCPUHour is the cost of one CPU of such a machine for one hour.
	CostPerCPUHour float64
	// FetchRate is the rate of an image fetch in GB per second; 0 means unknown.
	FetchRate float64
}

// Candidate is a waiting job of this cluster. None of its tasks has ever been started.
type Candidate struct {
	Job  string
	Spec model.JobSpec
	// SLODue is the time left until the job's next SLO; negative if it has passed.
	SLODue time.Duration
	// HomeFinish is the time until the job would be done at home, as the placement
	// simulation predicts it.
	HomeFinish time.Duration
	// RunTime is the corrected estimate of one task's run time.
	RunTime time.Duration
	// LendCount is how often the job has been lent before.
	LendCount uint64
	// CoolingDown means that a peer has recently given the job back. The job stays at
	// home for a while.
	CoolingDown bool
}

// PeerSnapshot is a peer's state when offers are chosen.
type PeerSnapshot struct {
	Name string
	// Available means that the peer sends heartbeats, even if it is being drained.
	Available bool
	Draining  bool
	// Latency is the average time that the peer takes to reply.
	Latency time.Duration
	// Trust, from 0 to 1, rates how well the peer has recently fulfilled its loans.
	Trust        float64
	FreeCapacity []FreeCapacity
	CachedImages []string
	// LoansOut is the number of this cluster's loans that the peer holds.
	LoansOut int
	// LendsItself means that the peer has lent jobs of its own, or has late jobs that
	// it would lend.
	LendsItself bool
}

// Limits bound the jobs that a cluster lends and borrows.
type Limits struct {
	// LoansOut bounds the loans to one peer, LoansIn the loans borrowed from all
	// peers, and Tasks the tasks of one loan.
	LoansOut, LoansIn, Tasks int
	// Offers bounds how many jobs are lent by one call of ChooseOffers.
	Offers int
	// MinGain is how much sooner than at home a job must be done at the peer. Lending
	// costs messages, writes and an image fetch, and both finish times are estimates.
	MinGain time.Duration
	// MaxLends bounds how often one job may be lent.
	MaxLends uint64
	// MaxCostRatio bounds a peer's cost per CPU hour, as a multiple of the home
	// cluster's.
	MaxCostRatio float64
}

// DefaultLimits returns the limits that apply where deploy/overflow.toml sets none.
func DefaultLimits() Limits {
	return Limits{LoansOut: 32, LoansIn: 64, Tasks: 2000, Offers: 8, MinGain: 5 * time.Second, MaxLends: 2, MaxCostRatio: 3}
}

// handOverTime is the time that a hand-over takes in addition to the network latency: two
// writes at each cluster, and the heartbeat that confirms the loan.
const handOverTime = 3 * time.Second

// Offer is the decision to lend a job to a peer.
type Offer struct {
	Job  string
	Peer string
	// PeerFinish is the expected time until the job is done at the peer.
	PeerFinish time.Duration
	// Reason is the reason for lending the job, for operators.
	Reason string
}

// capacitySlot is a FreeCapacity of a peer with the number of its machines that are
// not yet reserved for an offer.
type capacitySlot struct {
	FreeCapacity
	remaining int
}

// placement is a possible placement of a job on a peer's free capacity.
type placement struct {
	peer string
	// finish is the expected time until the job is done.
	finish time.Duration
	// cost is the cost of one CPU for one hour on the most expensive machine used.
	cost  float64
	parts []placementPart
}

// placementPart is the number of machines of one slot that a placement uses.
type placementPart struct {
	slot     *capacitySlot
	machines int
}

// reserve subtracts the placement's machines from the peer's remaining capacity.
func (placed *placement) reserve() {
	for _, part := range placed.parts {
		part.slot.remaining -= part.machines
	}
}

// ChooseOffers chooses the jobs to lend and a peer for each of them. It lends a job that
// would miss its next SLO at home and would meet it at a peer, with the hand-over and
// the image fetch included. Among several peers it chooses the cheapest, and among
// equally cheap ones the fastest. Only whole jobs are lent, and only before any of
// their tasks has been started; docs/overflow.md compares this with lending groups of
// tasks. homeCost is the cost of one CPU for one hour at home; 0 means unknown.
func ChooseOffers(candidates []Candidate, peers []PeerSnapshot, limits Limits, homeCost float64) []Offer {
	candidates = slices.Clone(candidates)
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Spec.Urgency, a.Spec.Urgency), cmp.Compare(a.SLODue, b.SLODue), strings.Compare(a.Job, b.Job))
	})
	slots := map[string][]*capacitySlot{}
	loansOut := map[string]int{}
	for _, peer := range peers {
		for _, capacity := range peer.FreeCapacity {
			slots[peer.Name] = append(slots[peer.Name], &capacitySlot{capacity, capacity.Machines})
		}
		loansOut[peer.Name] = peer.LoansOut
	}
	var offers []Offer
	for _, candidate := range candidates {
		if len(offers) >= limits.Offers {
			break
		}
		if !isLendable(candidate, limits) || candidate.HomeFinish <= candidate.SLODue {
			continue
		}
		var best *placement
		for _, peer := range peers {
			// A peer that lends jobs itself is as busy as this cluster. Jobs would be
			// handed back and forth between the two clusters.
			if !peer.Available || peer.Draining || peer.LendsItself || loansOut[peer.Name] >= maxLoans(limits.LoansOut, peer.Trust) {
				continue
			}
			placed := placeAtPeer(candidate, peer, slots[peer.Name])
			if placed == nil || !isWorthwhile(candidate, placed, limits, homeCost) {
				continue
			}
			if best == nil || placed.cost < best.cost || placed.cost == best.cost && placed.finish < best.finish {
				best = placed
			}
		}
		if best == nil {
			continue
		}
		best.reserve()
		loansOut[best.peer]++
		offers = append(offers, Offer{Job: candidate.Job, Peer: best.peer, PeerFinish: best.finish, Reason: "late at home"})
	}
	return offers
}

// maxLoans returns how many loans a peer may hold. The number falls with the trust in
// the peer, but is at least one, so that a peer with little trust can still show that it
// fulfils loans.
func maxLoans(limit int, trust float64) int { return max(1, int(float64(limit)*trust)) }

// isLendable reports whether a job may be lent at all. Long-running jobs may not, since
// they never end and their leases would have to be renewed for ever. Jobs that require
// zones or machine types may not, since these are the home cluster's.
func isLendable(candidate Candidate, limits Limits) bool {
	spec := &candidate.Spec
	return !spec.LongRunning && !spec.Gang && spec.Zone == "" && !spec.SameZone && !spec.SpreadZones && spec.MachineTypes == nil &&
		spec.Tasks <= limits.Tasks && candidate.LendCount < limits.MaxLends && !candidate.CoolingDown
}

// isWorthwhile reports whether the job would meet its SLO at the peer, be done there
// sooner than at home by at least MinGain, and not be too expensive.
func isWorthwhile(candidate Candidate, placed *placement, limits Limits, homeCost float64) bool {
	if placed.finish > candidate.SLODue || placed.finish+limits.MinGain > candidate.HomeFinish {
		return false
	}
	return !(homeCost > 0 && placed.cost > limits.MaxCostRatio*homeCost)
}

// placeAtPeer places a job on a peer's free capacity. It uses the capacity that becomes
// available first, and among equals the cheapest. It returns nil unless all tasks fit
// at the same time: a job that has to queue at the peer gains nothing.
func placeAtPeer(candidate Candidate, peer PeerSnapshot, slots []*capacitySlot) *placement {
	spec := &candidate.Spec
	placed := &placement{peer: peer.Name}
	unplaced := spec.Tasks
	imageCached := slices.Contains(peer.CachedImages, spec.Image)
	readyIn := time.Duration(0)
	ordered := slices.Clone(slots)
	slices.SortStableFunc(ordered, func(a, b *capacitySlot) int {
		return cmp.Or(cmp.Compare(a.AvailableIn, b.AvailableIn), cmp.Compare(a.CostPerCPUHour, b.CostPerCPUHour))
	})
	for _, slot := range ordered {
		if unplaced == 0 {
			break
		}
		perMachine := slot.PerMachine.FitCount(spec.Need)
		if perMachine == 0 || slot.remaining == 0 || slot.Spot && !spec.AllowSpot {
			continue
		}
		machines := min(slot.remaining, machinesNeeded(unplaced, perMachine))
		unplaced -= min(unplaced, machines*perMachine)
		placed.parts = append(placed.parts, placementPart{slot, machines})
		fetch := time.Duration(0)
		if !imageCached && slot.FetchRate > 0 {
			fetch = record.DurationOfSeconds(spec.ImageGB / slot.FetchRate)
		}
		readyIn = max(readyIn, slot.AvailableIn+fetch)
		placed.cost = max(placed.cost, slot.CostPerCPUHour)
	}
	if unplaced > 0 {
		return nil
	}
	// Lost trust lengthens the estimate. A trust of 0.5 adds half of the run time.
	run := time.Duration(float64(candidate.RunTime) * (2 - peer.Trust))
	placed.finish = handOverTime + 2*peer.Latency + readyIn + run
	return placed
}

// machinesNeeded returns how many machines the tasks need if each machine holds perMachine
// tasks.
func machinesNeeded(tasks, perMachine int) int { return (tasks + perMachine - 1) / perMachine }

// compareLoans orders loans by home cluster, job and lend count.
func compareLoans(a, b Loan) int {
	return cmp.Or(strings.Compare(a.Home, b.Home), strings.Compare(a.Job, b.Job), cmp.Compare(a.LendCount, b.LendCount))
}
