package overflow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// FreeCapacity is what a guest offers of one kind of machine: room that own work of the
// same urgency will not want for a while.
type FreeCapacity struct {
	MachineType string
	Zone        string
	Spot        bool
	// PerMachine is what one machine has free, and Machines how many are like it.
	PerMachine model.Resources
	Machines   int
	// AvailableIn is how long until the room is there; 0: now.
	AvailableIn time.Duration
	// CostPerCPUHour is for one CPU of such a machine, an hour.
	CostPerCPUHour float64
	// FetchRate is how many GB of image a machine fetches in a second.
	FetchRate float64
}

// Candidate is a job of ours that waits and of which no task was ever started.
type Candidate struct {
	Job  string
	Spec model.JobSpec
	// SLODue is when its next aim is, from now; it may be over. HomeFinish is when it
	// would be done at home, as the plan played forward says.
	SLODue     time.Duration
	HomeFinish time.Duration
	// RunTime is how long one of its tasks takes, by the corrected estimate.
	RunTime time.Duration
	// LendCount is how often it has been lent before.
	LendCount uint64
	// Rest: given back not long ago, it stays at home for a while.
	CoolingDown bool
}

// PeerSnapshot is what is known of a peer when offers are chosen.
type PeerSnapshot struct {
	Name      string
	Available bool
	Draining  bool
	// Latency is how long its answers to us take, and Trust, from 0 to 1, how well
	// it has kept its word lately.
	Latency      time.Duration
	Trust        float64
	FreeCapacity []FreeCapacity
	CachedImages []string
	// LoansOut is how many loans it holds of ours, and Wants whether it lends itself.
	LoansOut    int
	LendsItself bool
}

// Limits bound what is lent and taken.
type Limits struct {
	// LoansOut bounds the loans in flight to one peer, LoansIn those taken from
	// all, and Tasks the tasks of one loan.
	LoansOut, LoansIn, Tasks int
	// Offers bounds how many jobs are lent in one look.
	Offers int
	// MinGain is by how much sooner a job must be done at the peer: lending costs
	// messages, writes and a fetch, and a plan is no more than a plan.
	MinGain time.Duration
	// MaxLends is how often one job may be lent in its life.
	MaxLends uint64
	// MaxCostRatio is how many times the home's price a peer's may be.
	MaxCostRatio float64
}

// DefaultLimits are what holds where deploy/overflow.toml names nothing else.
func DefaultLimits() Limits {
	return Limits{LoansOut: 32, LoansIn: 64, Tasks: 2000, Offers: 8, MinGain: 5 * time.Second, MaxLends: 2, MaxCostRatio: 3}
}

// handOver is what a hand-over costs beside the messages' delay: two writes here
// and two there, and the report that confirms it.
const handOver = 3 * time.Second

// Offer is a job that is to be lent, and how it is expected to go there.
type Offer struct {
	Job        string
	Peer       string
	PeerFinish time.Duration
	Reason     string
}

// capacitySlot is room of a peer while offers are chosen from it.
type capacitySlot struct {
	FreeCapacity
	remaining int
}

// ChooseOffers picks the jobs to lend and their peers: those that would miss their
// next aim at home and would reach it at a peer, hand-over and fetch counted.
// Whole jobs are lent, and only such as nothing was started of: see
// docs/overflow.md for the other way, groups of tasks. cheapest is the price of
// room at home.
func ChooseOffers(candidates []Candidate, peers []PeerSnapshot, limits Limits, homeCost float64) []Offer {
	candidates = slices.Clone(candidates)
	// The most urgent first, and of these the one whose aim is next.
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Spec.Urgency, a.Spec.Urgency), cmp.Compare(a.SLODue, b.SLODue), strings.Compare(a.Job, b.Job))
	})
	slots := map[string][]*capacitySlot{}
	loansOut := map[string]int{}
	for _, p := range peers {
		for _, r := range p.FreeCapacity {
			slots[p.Name] = append(slots[p.Name], &capacitySlot{r, r.Machines})
		}
		loansOut[p.Name] = p.LoansOut
	}
	var offers []Offer
	for _, c := range candidates {
		if len(offers) >= limits.Offers {
			break
		}
		if !isLendable(c, limits) || c.HomeFinish <= c.SLODue {
			continue
		}
		best, bestEnd, bestPrice := -1, time.Duration(0), 0.0
		var bestReserve func()
		for i, p := range peers {
			// A peer that lends itself is as busy as we are: work would go to and
			// fro between the two.
			if !p.Available || p.Draining || p.LendsItself || loansOut[p.Name] >= maxLoans(limits.LoansOut, p.Trust) {
				continue
			}
			end, price, reserve := fitAtPeer(c, p, slots[p.Name])
			switch {
			case reserve == nil, end > c.SLODue, end+limits.MinGain > c.HomeFinish:
				// Not possible, of no use, or not worth it.
				continue
			case homeCost > 0 && price > limits.MaxCostRatio*homeCost:
				continue
			}
			if best < 0 || price < bestPrice || price == bestPrice && end < bestEnd {
				best, bestEnd, bestPrice, bestReserve = i, end, price, reserve
			}
		}
		if best < 0 {
			continue
		}
		bestReserve()
		loansOut[peers[best].Name]++
		offers = append(offers, Offer{Job: c.Job, Peer: peers[best].Name, PeerFinish: bestEnd, Reason: "late at home"})
	}
	return offers
}

// maxLoans is how many loans a peer may hold: fewer while it is trusted less, but
// one, or it could never earn trust again.
func maxLoans(limit int, trust float64) int { return max(1, int(float64(limit)*trust)) }

// isLendable says whether a job may be lent at all. Standing work never ends, and a
// lease on it would only cost; a job that names zones means ours.
func isLendable(c Candidate, lim Limits) bool {
	s := &c.Spec
	return !s.LongRunning && !s.Gang && s.Zone == "" && !s.SameZone && !s.SpreadZones && len(s.MachineTypes) == 0 &&
		s.Tasks <= lim.Tasks && c.LendCount < lim.MaxLends && !c.CoolingDown
}

// fitAtPeer says when the job would be done at the peer, at what price, and takes its
// room when it is chosen. All tasks are to find room at once: a loan that queues
// at the peer is no better there.
func fitAtPeer(c Candidate, p PeerSnapshot, slots []*capacitySlot) (end time.Duration, price float64, reserve func()) {
	type part struct {
		pl *capacitySlot
		n  int
	}
	var parts []part
	remaining := c.Spec.Tasks
	imageCached := slices.Contains(p.CachedImages, c.Spec.Image)
	readyIn := time.Duration(0)
	ordered := slices.Clone(slots)
	slices.SortStableFunc(ordered, func(a, b *capacitySlot) int {
		return cmp.Or(cmp.Compare(a.AvailableIn, b.AvailableIn), cmp.Compare(a.CostPerCPUHour, b.CostPerCPUHour))
	})
	for _, pl := range ordered {
		if remaining == 0 {
			break
		}
		each := pl.PerMachine.FitCount(c.Spec.Need)
		if each == 0 || pl.remaining == 0 || pl.Spot && !c.Spec.AllowSpot {
			continue
		}
		n := min(pl.remaining, (remaining+each-1)/each)
		remaining -= min(remaining, n*each)
		parts = append(parts, part{pl, n})
		fetch := time.Duration(0)
		if !imageCached && pl.FetchRate > 0 {
			fetch = record.DurationOfSeconds(c.Spec.ImageGB / pl.FetchRate)
		}
		readyIn = max(readyIn, pl.AvailableIn+fetch)
		price = max(price, pl.CostPerCPUHour)
	}
	if remaining > 0 {
		return 0, 0, nil
	}
	// What its word was worth lately is added to the estimate: a peer that keeps
	// half of its promises is counted on half as much.
	run := time.Duration(float64(c.RunTime) * (2 - p.Trust))
	return handOver + 2*p.Latency + readyIn + run, price, func() {
		for _, x := range parts {
			x.pl.remaining -= x.n
		}
	}
}

// AdmissionState is what decides whether a job of another cluster is taken in.
type AdmissionState struct {
	// LoansIn is how many loans are held, and Room what was last told of ours, less
	// what has been taken in since.
	LoansIn      int
	FreeCapacity []FreeCapacity
	// Late: own work waits and will miss its aim, the most urgent of it with the
	// urgency Waiting.
	OwnWorkLate bool
	LateUrgency model.Urgency
}

// Admit says why a job is not taken in, or nothing when it is; what it takes is
// then taken off what may be promised to the next.
func Admit(command Command, state *AdmissionState, lim Limits) Cause {
	switch {
	case state.LoansIn >= lim.LoansIn, command.Spec.Tasks > lim.Tasks:
		return NoRoom
	case state.OwnWorkLate && state.LateUrgency >= command.Spec.Urgency:
		return NoRoom
	}
	left := command.Spec.Tasks
	rest := slices.Clone(state.FreeCapacity)
	for i := range rest {
		each := rest[i].PerMachine.FitCount(command.Spec.Need)
		if each == 0 || rest[i].Spot && !command.Spec.AllowSpot {
			continue
		}
		n := min(rest[i].Machines, (left+each-1)/each)
		rest[i].Machines -= n
		left -= min(left, n*each)
		if left == 0 {
			break
		}
	}
	if left > 0 {
		return NoRoom
	}
	state.FreeCapacity = rest
	state.LoansIn++
	return ""
}

// Pressure is the guest's own need, by which borrowed work is given back.
type Pressure struct {
	// Late: own work of that urgency waits and will miss its aim.
	OwnWorkLate bool
	LateUrgency model.Urgency
	// LateFor is how long that has been so.
	LateFor time.Duration
	// DrainIn is when, from now, everything must be gone; negative: no drain.
	DrainIn time.Duration
}

// giveBackDelay is how long own work must have been late before borrowed work goes
// back: a burst that passes by itself is no reason to hand work to and fro.
const giveBackDelay = 5 * time.Second

// ChooseGiveBacks picks the loans to give back: what has not begun goes first, and what
// runs only when a drain would not see its end.
func ChooseGiveBacks(bs []BorrowedLoan, pressure Pressure, runTime func(BorrowedLoan) time.Duration) []Loan {
	var out []Loan
	for _, b := range bs {
		if b.State != Held || b.Ending {
			continue
		}
		switch {
		case pressure.DrainIn >= 0 && (!b.Started || runTime(b) > pressure.DrainIn):
			out = append(out, b.Loan)
		case pressure.OwnWorkLate && pressure.LateFor >= giveBackDelay && !b.Started && b.Spec.Urgency <= pressure.LateUrgency:
			out = append(out, b.Loan)
		}
	}
	slices.SortFunc(out, compareLoans)
	return out
}

func compareLoans(a, b Loan) int {
	return cmp.Or(strings.Compare(a.Home, b.Home), strings.Compare(a.Job, b.Job), cmp.Compare(a.LendCount, b.LendCount))
}
