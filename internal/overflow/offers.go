package overflow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// FreeCapacity is what a borrower offers on one kind of machine: capacity that own
// jobs of the same urgency are not expected to need for a while.
type FreeCapacity struct {
	MachineType string
	Zone        string
	Spot        bool
	// PerMachine is what is free on one machine, and Machines the number of
	// machines alike.
	PerMachine model.Resources
	Machines   int
	// AvailableIn is how long until the capacity is there; 0 means now.
	AvailableIn time.Duration
	// CostPerCPUHour is the cost of one CPU of such a machine for an hour.
	CostPerCPUHour float64
	// FetchRate is the rate of an image fetch in GB per second; 0 if unknown.
	FetchRate float64
}

// Candidate is a waiting job of this cluster of which no task was ever started.
type Candidate struct {
	Job  string
	Spec model.JobSpec
	// SLODue is the time left until the job's next SLO; negative if it has passed.
	SLODue time.Duration
	// HomeFinish is the time until the job would be done at home, by the placement
	// simulation.
	HomeFinish time.Duration
	// RunTime is the run time of one task, by the corrected estimate.
	RunTime time.Duration
	// LendCount is how often the job has been lent before.
	LendCount uint64
	// CoolingDown jobs were given back lately and stay at home for a while.
	CoolingDown bool
}

// PeerSnapshot is what is known of a peer when offers are chosen.
type PeerSnapshot struct {
	Name      string
	Available bool
	Draining  bool
	// Latency is how long its replies take.
	Latency time.Duration
	// Trust, from 0 to 1, is how well it has fulfilled its loans lately.
	Trust        float64
	FreeCapacity []FreeCapacity
	CachedImages []string
	// LoansOut is how many of our loans it holds.
	LoansOut int
	// LendsItself is set by a peer that lends jobs itself, or would like to.
	LendsItself bool
}

// Limits bound what is lent and borrowed.
type Limits struct {
	// LoansOut bounds the loans to one peer, LoansIn the loans borrowed from all
	// peers, and Tasks the tasks of one loan.
	LoansOut, LoansIn, Tasks int
	// Offers bounds how many jobs are lent by one call of ChooseOffers.
	Offers int
	// MinGain is by how much sooner a job must be done at the peer. Lending costs
	// messages, writes and an image fetch, and both finish times are estimates.
	MinGain time.Duration
	// MaxLends is how often one job may be lent.
	MaxLends uint64
	// MaxCostRatio is how many times the home cluster's cost a peer's may be.
	MaxCostRatio float64
}

// DefaultLimits are the limits where deploy/overflow.toml sets none.
func DefaultLimits() Limits {
	return Limits{LoansOut: 32, LoansIn: 64, Tasks: 2000, Offers: 8, MinGain: 5 * time.Second, MaxLends: 2, MaxCostRatio: 3}
}

// handOver is the time that a hand-over takes beside the network's latency: two
// writes at either cluster, and the heartbeat that confirms it.
const handOver = 3 * time.Second

// Offer is a job to be lent.
type Offer struct {
	Job  string
	Peer string
	// PeerFinish is the expected time until the job is done at the peer.
	PeerFinish time.Duration
	Reason     string
}

// capacitySlot is a peer's FreeCapacity with the machines that are still left while
// offers are chosen.
type capacitySlot struct {
	FreeCapacity
	remaining int
}

// placement is a way to run a job at a peer.
type placement struct {
	peer   string
	finish time.Duration
	cost   float64 // of one CPU for an hour, on the most expensive machine used
	parts  []placementPart
}

type placementPart struct {
	slot     *capacitySlot
	machines int
}

// reserve takes the placement's machines out of the peer's capacity.
func (p *placement) reserve() {
	for _, part := range p.parts {
		part.slot.remaining -= part.machines
	}
}

// ChooseOffers picks the jobs to lend and their peers: those that would miss their
// next SLO at home and would meet it at a peer, with hand-over and image fetch
// included. Only whole jobs are lent, and only before any of their tasks has been
// started; docs/overflow.md compares this with lending groups of tasks. homeCost is
// the cost of a CPU for an hour at home; 0 if unknown.
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
			// A peer that lends itself is as busy as this cluster: jobs would go to
			// and fro between the two.
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

// maxLoans is how many loans a peer may hold. Less trust means fewer, but at least
// one: otherwise the peer could never earn trust again.
func maxLoans(limit int, trust float64) int { return max(1, int(float64(limit)*trust)) }

// isLendable says whether a job may be lent at all. A long-running job never ends,
// so that a lease on it would only cost, and zones and machine types mean those of
// the home cluster.
func isLendable(candidate Candidate, limits Limits) bool {
	spec := &candidate.Spec
	return !spec.LongRunning && !spec.Gang && spec.Zone == "" && !spec.SameZone && !spec.SpreadZones && len(spec.MachineTypes) == 0 &&
		spec.Tasks <= limits.Tasks && candidate.LendCount < limits.MaxLends && !candidate.CoolingDown
}

// isWorthwhile says whether the job would be in time at the peer, sufficiently
// sooner than at home, and not too expensive.
func isWorthwhile(candidate Candidate, placed *placement, limits Limits, homeCost float64) bool {
	if placed.finish > candidate.SLODue || placed.finish+limits.MinGain > candidate.HomeFinish {
		return false
	}
	return !(homeCost > 0 && placed.cost > limits.MaxCostRatio*homeCost)
}

// placeAtPeer places a job on a peer's free capacity, the soonest and then the
// cheapest first. It returns nil unless all tasks fit at once: a loan that queues at
// the peer is no better there.
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
		machines := min(slot.remaining, machinesFor(unplaced, perMachine))
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
	// Lost trust lengthens the estimate: by half of the run time at a trust of 0.5.
	run := time.Duration(float64(candidate.RunTime) * (2 - peer.Trust))
	placed.finish = handOver + 2*peer.Latency + readyIn + run
	return placed
}

// machinesFor is how many machines that hold perMachine tasks each are needed.
func machinesFor(tasks, perMachine int) int { return (tasks + perMachine - 1) / perMachine }

func compareLoans(a, b Loan) int {
	return cmp.Or(strings.Compare(a.Home, b.Home), strings.Compare(a.Job, b.Job), cmp.Compare(a.LendCount, b.LendCount))
}
