package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"pgregory.net/rapid"
)

// transferModel is a model of owners with machines and jobs. A job starts only on a machine of its own
// owner, uses a part of that machine, and never ends.
type transferModel struct {
	now      time.Time
	hosts    []string
	machines []*modelMachine
	waiting  []*modelJob
	quota    TransferQuota
	sizes    map[Kind]resource.Resources
	// transferredAt holds the times of all transfers by machine id.
	transferredAt map[string][]time.Time
}

// modelMachine is a machine of the model with its current owner.
type modelMachine struct {
	id, host   string
	kind       Kind
	free       resource.Resources
	ownedSince time.Time
	attempts   int
}

// modelJob is a job of the model that waits since the time since.
type modelJob struct {
	host  string
	kinds []Kind
	need  resource.Resources
	since time.Time
}

// sizeOf returns the size of the machines of a kind.
func (model *transferModel) sizeOf(k Kind) resource.Resources { return model.sizes[k] }

// placeJobs starts the waiting jobs that fit on a machine of their owner.
func (model *transferModel) placeJobs() {
	model.waiting = slices.DeleteFunc(model.waiting, func(j *modelJob) bool {
		for _, m := range model.machines {
			if m.host == j.host && slices.Contains(j.kinds, m.kind) && j.need.Fits(m.free) {
				m.free = m.free.AddScaled(j.need, -1)
				m.attempts++
				return true
			}
		}
		return false
	})
}

// exchange carries out one round of requests, offers and transfers, and checks each transfer.
func (model *transferModel) exchange(t *rapid.T) []Transfer {
	requests := map[string][]TransferRequest{}
	waiting := map[string][]WaitingTask{}
	for _, j := range model.waiting {
		waited := model.now.Sub(j.since)
		waiting[j.host] = append(waiting[j.host], WaitingTask{j.kinds, j.need, waited})
		if waited > 45*time.Second {
			requests[j.host] = append(requests[j.host], TransferRequest{Team: j.host, Kinds: j.kinds, Need: j.need, Jobs: 1, Waited: waited})
		}
	}
	var owners []Participant
	for _, host := range model.hosts {
		var others []TransferRequest
		for _, from := range model.hosts {
			if from != host {
				others = append(others, requests[from]...)
			}
		}
		var candidates []TransferOffer
		for _, m := range model.machines {
			if m.host == host && model.now.Sub(m.ownedSince) >= MinOwnership {
				candidates = append(candidates, TransferOffer{m.id, m.kind, m.free, m.attempts})
			}
		}
		owners = append(owners, Participant{host, requests[host], SelectOffers(others, candidates, waiting[host], model.sizeOf, 50)})
	}
	transfers := MatchOffers(owners, model.sizeOf, 200, func(team string) bool { return model.quota.Allow(model.now, team) })
	moved := map[string]bool{}
	for _, transfer := range transfers {
		m := model.machines[slices.IndexFunc(model.machines, func(m *modelMachine) bool { return m.id == transfer.ID })]
		if m.host != transfer.From || transfer.To == transfer.From || moved[transfer.ID] {
			t.Fatalf("got transfer %v of a machine of %s, transferred in this round before: %v", transfer, m.host, moved[transfer.ID])
		}
		for _, j := range model.waiting {
			if j.host == transfer.From && slices.Contains(j.kinds, m.kind) && j.need.Fits(m.free) {
				t.Fatalf("got transfer %v of a machine on which a waiting job of its owner fits, want none", transfer)
			}
		}
		moved[transfer.ID] = true
		model.transferredAt[transfer.ID] = append(model.transferredAt[transfer.ID], model.now)
		m.host, m.ownedSince, m.attempts = transfer.To, model.now, 0
	}
	return transfers
}

// TestTransfersEndAndJobsStart guards against machines that are transferred back and forth without end, and
// against jobs that wait although machines have free capacity for them. No machine may be transferred twice
// within MinOwnership, or while a waiting job of its owner fits on it. Transfers must end, and then no job
// may wait that fits into the free capacity of any machine.
func TestTransfersEndAndJobsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &transferModel{now: time.Unix(1_750_000_000, 0), transferredAt: map[string][]time.Time{}}
		start := model.now
		for i := range rapid.IntRange(2, 4).Draw(t, "owners") {
			model.hosts = append(model.hosts, fmt.Sprintf("worker-%d", i))
		}
		drawResources := func(name string, most int) resource.Resources {
			return resource.Resources{CPU: float64(rapid.IntRange(1, most).Draw(t, name+" CPUs")), Memory: float64(rapid.IntRange(1, most).Draw(t, name+" memory"))}
		}
		model.sizes = map[Kind]resource.Resources{}
		for _, k := range kinds {
			model.sizes[k] = drawResources("size", 16)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			model.machines = append(model.machines, &modelMachine{id: fmt.Sprintf("vm-%06d", i), host: rapid.SampledFrom(model.hosts).Draw(t, "owner"), kind: kind, free: model.sizes[kind]})
		}
		for range rapid.IntRange(1, 20).Draw(t, "jobs") {
			allowed := []Kind{rapid.SampledFrom(kinds).Draw(t, "allowed"), rapid.SampledFrom(kinds).Draw(t, "allowed too")}
			model.waiting = append(model.waiting, &modelJob{rapid.SampledFrom(model.hosts).Draw(t, "team"), allowed, drawResources("need", 10), model.now})
		}
		last := time.Duration(0)
		for model.now.Sub(start) < 15*time.Minute {
			model.placeJobs()
			if len(model.exchange(t)) > 0 {
				last = model.now.Sub(start)
			}
			model.now = model.now.Add(time.Second)
		}
		if last > 14*time.Minute {
			t.Fatalf("got the last transfer after %v, want it within 14 minutes", last)
		}
		for id, times := range model.transferredAt {
			for i := 1; i < len(times); i++ {
				if times[i].Sub(times[i-1]) < MinOwnership {
					t.Fatalf("%s: got two transfers within %v, want at least MinOwnership between them", id, times[i].Sub(times[i-1]))
				}
			}
		}
		for _, j := range model.waiting {
			for _, m := range model.machines {
				if slices.Contains(j.kinds, m.kind) && j.need.Fits(m.free) {
					t.Fatalf("got a waiting job of %s that needs %v, want it placed on %+v", j.host, j.need, *m)
				}
			}
		}
	})
}

// TestOwnersExchangeMachines guards against jobs that wait although each of two owners has free capacity
// for the job of the other. Both owners must exchange their machines, each machine once.
func TestOwnersExchangeMachines(t *testing.T) {
	box, rack := Kind{"box", "a", false}, Kind{"rack", "a", false}
	free := resource.Resources{CPU: 4, Memory: 8}
	need := resource.Resources{CPU: 2, Memory: 4}
	owners := []Participant{
		{Host: "a", Requests: []TransferRequest{{Team: "ops", Kinds: []Kind{box}, Need: need, Jobs: 1, Waited: 50 * time.Second}}, Offers: []TransferOffer{{ID: "vm-1", Kind: rack, Free: free, Attempts: 1}}},
		{Host: "b", Requests: []TransferRequest{{Team: "lab", Kinds: []Kind{rack}, Need: need, Jobs: 1, Waited: 50 * time.Second}}, Offers: []TransferOffer{{ID: "vm-2", Kind: box, Free: free, Attempts: 1}}},
	}
	sizeOf := func(Kind) resource.Resources { return resource.Resources{CPU: 16, Memory: 16} }
	got := MatchOffers(owners, sizeOf, 10, func(string) bool { return true })
	if want := []Transfer{{"vm-2", "b", "a"}, {"vm-1", "a", "b"}}; !slices.Equal(got, want) {
		t.Errorf("got transfers %v, want %v", got, want)
	}
}

// TestSelectOffers guards against an owner that offers machines which its own waiting tasks need, more
// machines than requested, or machines whose loss costs more than necessary.
func TestSelectOffers(t *testing.T) {
	box := Kind{"box", "a", false}
	size := resource.Resources{CPU: 16, Memory: 16}
	rack := Kind{"rack", "a", false}
	sizeOf := func(k Kind) resource.Resources {
		if k == rack {
			return size.AddScaled(size, 1)
		}
		return size
	}
	machine := func(id string, attempts int, freeCPU float64) TransferOffer {
		return TransferOffer{id, box, resource.Resources{CPU: freeCPU, Memory: 8}, attempts}
	}
	request := TransferRequest{Team: "lab", Kinds: []Kind{box, rack}, Need: resource.Resources{CPU: 4, Memory: 4}, Jobs: 1, Waited: 46 * time.Second}
	many, old := request, request
	many.Jobs, old.Waited = 3, PrecedenceWait
	large := machine("vm-0", 0, 8)
	large.Kind = rack
	candidates := []TransferOffer{large, machine("vm-1", 3, 8), machine("vm-2", 1, 8), machine("vm-3", 1, 6), machine("vm-4", 0, 2)}
	fitting := WaitingTask{[]Kind{box, rack}, resource.Resources{CPU: 7, Memory: 4}, time.Second}
	largeTask := WaitingTask{[]Kind{box, rack}, resource.Resources{CPU: 12, Memory: 4}, 50 * time.Second}
	newer := WaitingTask{[]Kind{box, rack}, resource.Resources{CPU: 12, Memory: 4}, 10 * time.Second}
	elsewhere := WaitingTask{[]Kind{{"shelf", "a", false}}, resource.Resources{CPU: 4, Memory: 4}, time.Hour}
	for _, c := range []struct {
		name    string
		request TransferRequest
		waiting []WaitingTask
		limit   int
		want    []string
	}{
		{"small machines with few attempts and little free capacity come first", request, nil, 10, []string{"vm-3"}},
		{"as many machines as the request needs", many, nil, 10, []string{"vm-3", "vm-2"}},
		{"at most as many machines as the limit", many, nil, 1, []string{"vm-3"}},
		{"no machine on which a waiting task of the owner fits", many, []WaitingTask{fitting}, 10, []string{"vm-3"}},
		{"no machine for which a task of the owner has waited longer", request, []WaitingTask{largeTask}, 10, nil},
		{"a machine for which a task of the owner has waited less", request, []WaitingTask{newer}, 10, []string{"vm-3"}},
		{"a request with a long wait takes precedence", old, []WaitingTask{largeTask}, 10, []string{"vm-3"}},
		{"tasks that wait for other kinds do not count", request, []WaitingTask{elsewhere}, 10, []string{"vm-3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, o := range SelectOffers([]TransferRequest{c.request}, candidates, c.waiting, sizeOf, c.limit) {
				got = append(got, o.ID)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got offers of %v, want %v", got, c.want)
			}
		})
	}
}

// TestTransferQuota guards against unlimited transfers to a team. A team must receive at most quotaBurst
// transfers at once and then one per quotaInterval, independently of other teams.
func TestTransferQuota(t *testing.T) {
	var quota TransferQuota
	now := time.Unix(1_750_000_000, 0)
	count := func(team string) int {
		n := 0
		for n < 2*quotaBurst && quota.Allow(now, team) {
			n++
		}
		return n
	}
	if got := count("ops"); got != quotaBurst {
		t.Errorf("got %d transfers at once, want %d", got, quotaBurst)
	}
	now = now.Add(4 * quotaInterval)
	if got := count("ops"); got != 4 {
		t.Errorf("got %d more transfers after four intervals, want 4", got)
	}
	if got := count("lab"); got != quotaBurst {
		t.Errorf("got %d transfers to another team, want %d", got, quotaBurst)
	}
	now = now.Add(24 * time.Hour)
	if got := count("ops"); got != quotaBurst {
		t.Errorf("got %d transfers after a day, want %d", got, quotaBurst)
	}
}
