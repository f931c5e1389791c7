package overflow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// Room is what a guest offers of one kind of machine: room that own work of the
// same urgency will not want for a while.
type Room struct {
	Flavour string
	Zone    string
	Spot    bool
	// Each is what one machine has free, and Machines how many are like it.
	Each     core.Resources
	Machines int
	// In is how long until the room is there; 0: now.
	In time.Duration
	// Price is for one CPU of such a machine, an hour.
	Price float64
	// Rate is how many GB of image a machine fetches in a second.
	Rate float64
}

// Candidate is a job of ours that waits and of which no task was ever started.
type Candidate struct {
	Job  string
	Spec core.JobSpec
	// Aim is when its next aim is, from now; it may be over. HomeEnd is when it
	// would be done at home, as the plan played forward says.
	Aim     time.Duration
	HomeEnd time.Duration
	// Run is how long one of its tasks takes, by the corrected estimate.
	Run time.Duration
	// Lent is how often it has been lent before.
	Lent uint64
	// Rest: given back not long ago, it stays at home for a while.
	Rest bool
}

// Peer is what is known of a peer when offers are chosen.
type Peer struct {
	Name     string
	Open     bool
	Draining bool
	// Delay is how long its answers to us take, and Trust, from 0 to 1, how well
	// it has kept its word lately.
	Delay  time.Duration
	Trust  float64
	Room   []Room
	Images []string
	// Out is how many loans it holds of ours, and Wants whether it lends itself.
	Out    int
	Lender bool
}

// Limits bound what is lent and taken.
type Limits struct {
	// LoansOut bounds the loans in flight to one peer, LoansIn those taken from
	// all, and Tasks the tasks of one loan.
	LoansOut, LoansIn, Tasks int
	// Offers bounds how many jobs are lent in one look.
	Offers int
	// Gain is by how much sooner a job must be done at the peer: lending costs
	// messages, writes and a fetch, and a plan is no more than a plan.
	Gain time.Duration
	// LendsMost is how often one job may be lent in its life.
	LendsMost uint64
	// Dearest is how many times the home's price a peer's may be.
	Dearest float64
}

// DefaultLimits are what holds where deploy/overflow.toml names nothing else.
func DefaultLimits() Limits {
	return Limits{LoansOut: 32, LoansIn: 64, Tasks: 2000, Offers: 8, Gain: 5 * time.Second, LendsMost: 2, Dearest: 3}
}

// handOver is what a hand-over costs beside the messages' delay: two writes here
// and two there, and the report that confirms it.
const handOver = 3 * time.Second

// Offer is a job that is to be lent, and how it is expected to go there.
type Offer struct {
	Job     string
	Peer    string
	PeerEnd time.Duration
	Why     string
}

// place is room of a peer while offers are chosen from it.
type place struct {
	Room
	left int
}

// Choose picks the jobs to lend and their peers: those that would miss their
// next aim at home and would reach it at a peer, hand-over and fetch counted.
// Whole jobs are lent, and only such as nothing was started of: see
// docs/overflow.md for the other way, groups of tasks. cheapest is the price of
// room at home.
func Choose(cs []Candidate, peers []Peer, lim Limits, cheapest float64) []Offer {
	cs = slices.Clone(cs)
	// The most urgent first, and of these the one whose aim is next.
	slices.SortStableFunc(cs, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Spec.Urgency, a.Spec.Urgency), cmp.Compare(a.Aim, b.Aim), strings.Compare(a.Job, b.Job))
	})
	rooms := map[string][]*place{}
	out := map[string]int{}
	for _, p := range peers {
		for _, r := range p.Room {
			rooms[p.Name] = append(rooms[p.Name], &place{r, r.Machines})
		}
		out[p.Name] = p.Out
	}
	var offers []Offer
	for _, c := range cs {
		if len(offers) >= lim.Offers {
			break
		}
		if !lendable(c, lim) || c.HomeEnd <= c.Aim {
			continue
		}
		best, bestEnd, bestPrice := -1, time.Duration(0), 0.0
		var bestTake func()
		for i, p := range peers {
			// A peer that lends itself is as busy as we are: work would go to and
			// fro between the two.
			if !p.Open || p.Draining || p.Lender || out[p.Name] >= allowed(lim.LoansOut, p.Trust) {
				continue
			}
			end, price, take := fits(c, p, rooms[p.Name])
			switch {
			case take == nil, end > c.Aim, end+lim.Gain > c.HomeEnd:
				// Not possible, of no use, or not worth it.
				continue
			case cheapest > 0 && price > lim.Dearest*cheapest:
				continue
			}
			if best < 0 || price < bestPrice || price == bestPrice && end < bestEnd {
				best, bestEnd, bestPrice, bestTake = i, end, price, take
			}
		}
		if best < 0 {
			continue
		}
		bestTake()
		out[peers[best].Name]++
		offers = append(offers, Offer{Job: c.Job, Peer: peers[best].Name, PeerEnd: bestEnd, Why: "late at home"})
	}
	return offers
}

// allowed is how many loans a peer may hold: fewer while it is trusted less, but
// one, or it could never earn trust again.
func allowed(most int, trust float64) int { return max(1, int(float64(most)*trust)) }

// lendable says whether a job may be lent at all. Standing work never ends, and a
// lease on it would only cost; a job that names zones means ours.
func lendable(c Candidate, lim Limits) bool {
	s := &c.Spec
	return !s.LongRunning && !s.Gang && s.Zone == "" && !s.SameZone && !s.SpreadZones && len(s.MachineTypes) == 0 &&
		s.Tasks <= lim.Tasks && c.Lent < lim.LendsMost && !c.Rest
}

// fits says when the job would be done at the peer, at what price, and takes its
// room when it is chosen. All tasks are to find room at once: a loan that queues
// at the peer is no better there.
func fits(c Candidate, p Peer, places []*place) (end time.Duration, price float64, take func()) {
	type part struct {
		pl *place
		n  int
	}
	var parts []part
	left := c.Spec.Tasks
	held := slices.Contains(p.Images, c.Spec.Image)
	last := time.Duration(0)
	ordered := slices.Clone(places)
	slices.SortStableFunc(ordered, func(a, b *place) int {
		return cmp.Or(cmp.Compare(a.In, b.In), cmp.Compare(a.Price, b.Price))
	})
	for _, pl := range ordered {
		if left == 0 {
			break
		}
		each := pl.Each.Times(c.Spec.Need)
		if each == 0 || pl.left == 0 || pl.Spot && !c.Spec.AllowSpot {
			continue
		}
		n := min(pl.left, (left+each-1)/each)
		left -= min(left, n*each)
		parts = append(parts, part{pl, n})
		fetch := time.Duration(0)
		if !held && pl.Rate > 0 {
			fetch = core.Seconds(c.Spec.ImageGB / pl.Rate)
		}
		last = max(last, pl.In+fetch)
		price = max(price, pl.Price)
	}
	if left > 0 {
		return 0, 0, nil
	}
	// What its word was worth lately is added to the estimate: a peer that keeps
	// half of its promises is counted on half as much.
	run := time.Duration(float64(c.Run) * (2 - p.Trust))
	return handOver + 2*p.Delay + last + run, price, func() {
		for _, x := range parts {
			x.pl.left -= x.n
		}
	}
}

// Accepting is what decides whether a job of another cluster is taken in.
type Accepting struct {
	// In is how many loans are held, and Room what was last told of ours, less
	// what has been taken in since.
	In   int
	Room []Room
	// Late: own work waits and will miss its aim, the most urgent of it with the
	// urgency Waiting.
	Late    bool
	Waiting core.Urgency
}

// Admit says why a job is not taken in, or nothing when it is; what it takes is
// then taken off what may be promised to the next.
func Admit(o Order, a *Accepting, lim Limits) Cause {
	switch {
	case a.In >= lim.LoansIn, o.Spec.Tasks > lim.Tasks:
		return NoRoom
	case a.Late && a.Waiting >= o.Spec.Urgency:
		return NoRoom
	}
	left := o.Spec.Tasks
	rest := slices.Clone(a.Room)
	for i := range rest {
		each := rest[i].Each.Times(o.Spec.Need)
		if each == 0 || rest[i].Spot && !o.Spec.AllowSpot {
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
	a.Room = rest
	a.In++
	return ""
}

// Pressure is the guest's own need, by which borrowed work is given back.
type Pressure struct {
	// Late: own work of that urgency waits and will miss its aim.
	Late    bool
	Urgency core.Urgency
	// For is how long that has been so.
	For time.Duration
	// Drain is when, from now, everything must be gone; negative: no drain.
	Drain time.Duration
}

// patience is how long own work must have been late before borrowed work goes
// back: a burst that passes by itself is no reason to hand work to and fro.
const patience = 5 * time.Second

// Release picks the loans to give back: what has not begun goes first, and what
// runs only when a drain would not see its end.
func Release(bs []Borrowed, p Pressure, run func(Borrowed) time.Duration) []Loan {
	var out []Loan
	for _, b := range bs {
		if b.State != Held || b.Ending {
			continue
		}
		switch {
		case p.Drain >= 0 && (!b.Began || run(b) > p.Drain):
			out = append(out, b.Loan)
		case p.Late && p.For >= patience && !b.Began && b.Spec.Urgency <= p.Urgency:
			out = append(out, b.Loan)
		}
	}
	slices.SortFunc(out, compareLoans)
	return out
}

func compareLoans(a, b Loan) int {
	return cmp.Or(strings.Compare(a.Home, b.Home), strings.Compare(a.Job, b.Job), cmp.Compare(a.N, b.N))
}
