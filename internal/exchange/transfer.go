package exchange

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// transfer.go decides which machines change owners although tasks run on them, or although their owner
// keeps them idle for tasks that it expects. An owner whose jobs have waited for long, because it has no
// free capacity for them, makes a TransferRequest. The other owners answer with a TransferOffer for each
// machine with enough free capacity. MatchOffers then chooses among the offers. Tasks that run on a
// transferred machine continue there as remote attempts of the former owner's jobs.
//
// Progress: a transfer is made for a job of which no task was placed for long, and the transferred machine
// has free capacity for a task of the job, so the job's next task can be placed. Transfers end when no job
// waits. While jobs wait, MinOwnership and TransferQuota bound the transfers.

const (
	// MinOwnership is how long an owner keeps a machine before it offers the machine to others. It
	// bounds the transfers of one machine to 3600/20 = 180 per hour, independently of changes of the
	// leader: the owner itself measures the time, and an owner that takes over starts from zero. The
	// sum of MinOwnership and the wait after which an owner makes a TransferRequest is short enough
	// to leave time within the bound on waiting for the decision and the start.
	MinOwnership = 20 * time.Second
	// PrecedenceWait is the wait from which on a requesting job takes precedence over those waiting tasks of
	// the machine's owner for which the machine has no free capacity. Below PrecedenceWait, the longer
	// wait takes precedence.
	PrecedenceWait = time.Minute
)

// TransferRequest is an owner's request for machines of other owners, for jobs for which the owner has no
// free capacity.
type TransferRequest struct {
	Team string
	// Kinds are the kinds of machines on which the jobs' tasks may run.
	Kinds []Kind
	// Need is what one task of the jobs needs.
	Need resource.Resources
	// Jobs is the number of jobs that wait. Each needs free capacity for one task.
	Jobs int
	// Waited is how long the job that has waited longest has waited.
	Waited time.Duration
}

// TransferOffer is a machine that its owner offers to transfer. Free is the machine's unused capacity, and
// Attempts is the number of attempts of the owner's jobs that run on it.
type TransferOffer struct {
	ID       string
	Kind     Kind
	Free     resource.Resources
	Attempts int
}

// WaitingTask is the next task of a job that waits for capacity on machines of the job's own owner.
type WaitingTask struct {
	Kinds  []Kind
	Need   resource.Resources
	Waited time.Duration
}

// suits reports whether a machine is of an allowed kind and has free capacity for a task of the jobs.
func (request *TransferRequest) suits(offer *TransferOffer) bool {
	return request.Need.Fits(offer.Free) && slices.Contains(request.Kinds, offer.Kind)
}

// yieldsTo reports whether the machine may be offered for the request although the task of the machine's
// owner waits. It may if the task can't use the machine even when the machine is empty. It also may if the
// task doesn't fit into the free capacity, and the requesting job has waited for PrecedenceWait or for longer
// than the task. size is the size of the machine.
func (task *WaitingTask) yieldsTo(request *TransferRequest, offer *TransferOffer, size resource.Resources) bool {
	switch {
	case !slices.Contains(task.Kinds, offer.Kind) || !task.Need.Fits(size):
		return true
	case task.Need.Fits(offer.Free):
		return false
	}
	return request.Waited >= PrecedenceWait || task.Waited < request.Waited
}

// SizeOf is a function that returns the size of the machines of a kind.
type SizeOf func(Kind) resource.Resources

// SelectOffers returns the machines that an owner offers for the requests of other owners, at most limit.
// For each request it selects as many machines as the request needs, in the order of compareCost. It
// selects no machine for which the owner's own waiting tasks take precedence; see yieldsTo.
func SelectOffers(requests []TransferRequest, machines []TransferOffer, waiting []WaitingTask, sizeOf SizeOf, limit int) []TransferOffer {
	machines = slices.Clone(machines)
	slices.SortFunc(machines, func(a, b TransferOffer) int { return compareCost(&a, &b, sizeOf) })
	offered := make([]bool, len(machines))
	var offers []TransferOffer
	for _, request := range ByWait(requests) {
		jobs := request.Jobs
		for i := range machines {
			candidate := &machines[i]
			if jobs <= 0 || len(offers) >= limit {
				break
			}
			if offered[i] || !request.suits(candidate) {
				continue
			}
			if slices.ContainsFunc(waiting, func(t WaitingTask) bool { return !t.yieldsTo(&request, candidate, sizeOf(candidate.Kind)) }) {
				continue
			}
			offered[i] = true
			jobs -= candidate.Free.FitCount(request.Need)
			offers = append(offers, *candidate)
		}
	}
	return offers
}

// compareCost orders machines by what their loss costs the owner, the least first. Small machines come
// before large ones, since the owner loses the whole machine and may expect large tasks. Among machines of
// equal size, those with few attempts come first, since the attempts become remote ones, and then those
// with little free capacity.
func compareCost(a, b *TransferOffer, sizeOf SizeOf) int {
	return cmp.Or(cmp.Compare(sizeOf(a.Kind).CPU, sizeOf(b.Kind).CPU), a.Attempts-b.Attempts, cmp.Compare(a.Free.CPU, b.Free.CPU), strings.Compare(a.ID, b.ID))
}

// ByWait returns a copy of the requests, sorted with the longest wait first.
func ByWait(requests []TransferRequest) []TransferRequest {
	out := slices.Clone(requests)
	slices.SortStableFunc(out, func(a, b TransferRequest) int { return cmp.Compare(b.Waited, a.Waited) })
	return out
}

// Participant is an owner with its transfer requests and its offers.
type Participant struct {
	Host     string
	Requests []TransferRequest
	Offers   []TransferOffer
}

// MatchOffers returns the transfers that meet the requests, at most limit. Requests with the longest wait
// are met first, each with the machine whose loss costs its owner least. MatchOffers calls allow before each
// transfer with the team that receives the machine. allow counts the transfer and reports whether it is
// allowed.
func MatchOffers(owners []Participant, sizeOf SizeOf, limit int, allow func(team string) bool) []Transfer {
	type request struct {
		TransferRequest
		host string
	}
	type offer struct {
		TransferOffer
		host string
	}
	var requests []request
	var offers []offer
	for _, o := range owners {
		for _, pending := range o.Requests {
			requests = append(requests, request{pending, o.Host})
		}
		for _, x := range o.Offers {
			offers = append(offers, offer{x, o.Host})
		}
	}
	slices.SortStableFunc(requests, func(a, b request) int {
		return cmp.Or(cmp.Compare(b.Waited, a.Waited), strings.Compare(a.host, b.host))
	})
	slices.SortFunc(offers, func(a, b offer) int { return compareCost(&a.TransferOffer, &b.TransferOffer, sizeOf) })
	var out []Transfer
	for _, pending := range requests {
		for pending.Jobs > 0 && len(out) < limit {
			i := slices.IndexFunc(offers, func(o offer) bool { return o.host != pending.host && pending.suits(&o.TransferOffer) })
			if i < 0 || !allow(pending.Team) {
				break
			}
			out = append(out, Transfer{ID: offers[i].ID, From: offers[i].host, To: pending.host})
			pending.Jobs -= offers[i].Free.FitCount(pending.Need)
			offers = slices.Delete(offers, i, i+1)
		}
	}
	return out
}

const (
	// quotaBurst is the number of transfers that a team may receive at once, and quotaInterval the
	// time after which it may receive one more. A team therefore receives at most 200 + 3600/3 =
	// 1,400 transfers in the first hour of a leader and 1,200 in each further hour.
	quotaBurst    = 200
	quotaInterval = 3 * time.Second
)

// TransferQuota bounds the number of transfers to each team. The zero value is ready to use. A new leader
// starts with a new TransferQuota. It is not safe for concurrent use.
type TransferQuota struct {
	teams map[string]*teamQuota
}

// teamQuota is the quota of one team: how many transfers are left, and when the quota was last refilled.
type teamQuota struct {
	left       int
	refilledAt time.Time
}

// Allow reports whether one more transfer to a team is within the quota at the time now, and if so counts
// the transfer.
func (quota *TransferQuota) Allow(now time.Time, team string) bool {
	if quota.teams == nil {
		quota.teams = map[string]*teamQuota{}
	}
	state := quota.teams[team]
	if state == nil {
		state = &teamQuota{left: quotaBurst, refilledAt: now}
		quota.teams[team] = state
	}
	if n := int(now.Sub(state.refilledAt) / quotaInterval); n > 0 {
		state.left = min(quotaBurst, state.left+n)
		state.refilledAt = state.refilledAt.Add(time.Duration(n) * quotaInterval)
	}
	if state.left == 0 {
		return false
	}
	state.left--
	return true
}
