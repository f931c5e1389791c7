package exchange

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// transfer.go decides which machines change owners although something runs on them, or although
// their owner keeps them idle for work that it expects. Jobs wait for long while their owner has
// no free capacity for them: it makes a TransferRequest. The other owners answer with a
// TransferOffer for each machine whose free capacity would do. MatchOffers then chooses. What
// runs on a machine goes on there as remote attempts of its former owner's jobs.
//
// Progress: a transfer answers a job that nothing was placed of for long, and its machine has
// free capacity for a task of that job, so the next task of it can be placed. Transfers end when
// no job waits, and MinOwnership and TransferQuota bound them while jobs do.

const (
	// MinOwnership is how long an owner keeps a machine before it offers the machine to others.
	// It bounds the transfers of one machine to 3600/20 = 180 an hour, whoever leads: the owner
	// itself counts the time, and one that takes over counts anew. Beside the time after which
	// jobs are asked for it leaves enough of the bound on waiting to decide and begin.
	MinOwnership = 20 * time.Second
	// OldWait is how long a job has waited when it goes before waiting work of the machine's
	// owner that the machine has no free capacity for now. Before, the longer wait decides.
	OldWait = time.Minute
)

// TransferRequest asks for free capacity on machines of other owners, for jobs whose owner has
// none for them.
type TransferRequest struct {
	Team string
	// Kinds are the kinds of machines on which the jobs' tasks may run.
	Kinds []Kind
	// Need is what a task takes.
	Need resource.Resources
	// Jobs is how many jobs wait; each needs free capacity for one task.
	Jobs int
	// Waited is how long the first of them has waited.
	Waited time.Duration
}

// TransferOffer is a machine that its owner would transfer. Free is what nothing on it uses, and
// Attempts is how many attempts of its owner's jobs run there.
type TransferOffer struct {
	ID       string
	Kind     Kind
	Free     resource.Resources
	Attempts int
}

// WaitingTask is the next task of a job that waits for capacity of its own owner.
type WaitingTask struct {
	Kinds  []Kind
	Need   resource.Resources
	Waited time.Duration
}

// suits reports whether a machine has free capacity for one of the jobs.
func (r *TransferRequest) suits(o *TransferOffer) bool {
	return r.Need.Fits(o.Free) && slices.Contains(r.Kinds, o.Kind)
}

// yieldsTo reports whether an owner's own waiting task is no reason to keep a machine of this
// size from a request: it may not use the machine at all, or it could not use it now and has
// waited for less time.
func (t *WaitingTask) yieldsTo(r *TransferRequest, o *TransferOffer, size resource.Resources) bool {
	switch {
	case !slices.Contains(t.Kinds, o.Kind) || !t.Need.Fits(size):
		return true
	case t.Need.Fits(o.Free):
		return false
	}
	return r.Waited >= OldWait || t.Waited < r.Waited
}

// SizeOf returns the size of the machines of a kind.
type SizeOf func(Kind) resource.Resources

// SelectOffers returns which of its machines an owner offers for the requests of others: for each
// request as many as it needs, those first whose loss costs the owner least. No machine is offered
// that the owner's own waiting tasks could use.
func SelectOffers(requests []TransferRequest, machines []TransferOffer, waiting []WaitingTask, sizeOf SizeOf, limit int) []TransferOffer {
	machines = slices.Clone(machines)
	slices.SortFunc(machines, func(a, b TransferOffer) int { return compareCost(&a, &b, sizeOf) })
	offered := make([]bool, len(machines))
	var out []TransferOffer
	for _, r := range ByWait(requests) {
		jobs := r.Jobs
		for i := range machines {
			m := &machines[i]
			if jobs <= 0 || len(out) >= limit {
				break
			}
			if offered[i] || !r.suits(m) {
				continue
			}
			if slices.ContainsFunc(waiting, func(t WaitingTask) bool { return !t.yieldsTo(&r, m, sizeOf(m.Kind)) }) {
				continue
			}
			offered[i] = true
			jobs -= m.Free.FitCount(r.Need)
			out = append(out, *m)
		}
	}
	return out
}

// compareCost orders machines by what their loss costs an owner: small machines first, since the
// whole machine goes, on which larger work may be expected; then few attempts, which become remote
// ones, and little free capacity.
func compareCost(a, b *TransferOffer, sizeOf SizeOf) int {
	return cmp.Or(cmp.Compare(sizeOf(a.Kind).CPU, sizeOf(b.Kind).CPU), a.Attempts-b.Attempts, cmp.Compare(a.Free.CPU, b.Free.CPU), strings.Compare(a.ID, b.ID))
}

// ByWait returns the requests with the longest wait first.
func ByWait(requests []TransferRequest) []TransferRequest {
	out := slices.Clone(requests)
	slices.SortStableFunc(out, func(a, b TransferRequest) int { return cmp.Compare(b.Waited, a.Waited) })
	return out
}

// Exchanger is an owner with its requests and offers.
type Exchanger struct {
	Host     string
	Requests []TransferRequest
	Offers   []TransferOffer
}

// MatchOffers returns the transfers that meet the requests, at most limit. The longest waits are
// met first, each with the machine that costs its owner least. allow is asked once for each
// transfer to a team and counts it.
func MatchOffers(owners []Exchanger, sizeOf SizeOf, limit int, allow func(team string) bool) []Transfer {
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
		for _, r := range o.Requests {
			requests = append(requests, request{r, o.Host})
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
	for _, r := range requests {
		for r.Jobs > 0 && len(out) < limit {
			i := slices.IndexFunc(offers, func(o offer) bool { return o.host != r.host && r.suits(&o.TransferOffer) })
			if i < 0 || !allow(r.Team) {
				break
			}
			out = append(out, Transfer{ID: offers[i].ID, From: offers[i].host, To: r.host})
			r.Jobs -= offers[i].Free.FitCount(r.Need)
			offers = slices.Delete(offers, i, i+1)
		}
	}
	return out
}

const (
	// quotaBurst is how many transfers a team may get at once, and quotaInterval after which
	// time it may get one more: at most quotaBurst + 3600/3 = 1,400 in the first hour of a
	// leader and 1,200 in each further one.
	quotaBurst    = 200
	quotaInterval = 3 * time.Second
)

// TransferQuota bounds the transfers to each team. The zero value is ready. A new leader starts
// with a new one.
type TransferQuota struct {
	teams map[string]*teamQuota
}

type teamQuota struct {
	left   int
	refill time.Time
}

// Allow counts a transfer to a team, and reports whether it is within the quota.
func (q *TransferQuota) Allow(now time.Time, team string) bool {
	if q.teams == nil {
		q.teams = map[string]*teamQuota{}
	}
	t := q.teams[team]
	if t == nil {
		t = &teamQuota{left: quotaBurst, refill: now}
		q.teams[team] = t
	}
	if n := int(now.Sub(t.refill) / quotaInterval); n > 0 {
		t.left = min(quotaBurst, t.left+n)
		t.refill = t.refill.Add(time.Duration(n) * quotaInterval)
	}
	if t.left == 0 {
		return false
	}
	t.left--
	return true
}
