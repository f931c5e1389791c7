package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"pgregory.net/rapid"
)

// transferModel is owners with machines and jobs. A job takes a part of one machine for ever and
// starts only on machines of its own owner.
type transferModel struct {
	now      time.Time
	hosts    []string
	machines []*modelMachine
	waiting  []*modelJob
	quota    TransferQuota
	sizes    map[Kind]resource.Resources
	// transferredAt are all transfers, by machine.
	transferredAt map[string][]time.Time
}

type modelMachine struct {
	id, host   string
	kind       Kind
	free       resource.Resources
	ownedSince time.Time
	attempts   int
}

type modelJob struct {
	host  string
	kinds []Kind
	need  resource.Resources
	since time.Time
}

func (w *transferModel) sizeOf(k Kind) resource.Resources { return w.sizes[k] }

// placeJobs starts what fits on machines of its owner.
func (w *transferModel) placeJobs() {
	w.waiting = slices.DeleteFunc(w.waiting, func(j *modelJob) bool {
		for _, m := range w.machines {
			if m.host == j.host && slices.Contains(j.kinds, m.kind) && j.need.Fits(m.free) {
				m.free = m.free.AddScaled(j.need, -1)
				m.attempts++
				return true
			}
		}
		return false
	})
}

// exchange carries out one round of requests, offers and transfers.
func (w *transferModel) exchange(t *rapid.T) []Transfer {
	requests := map[string][]TransferRequest{}
	waiting := map[string][]WaitingTask{}
	for _, j := range w.waiting {
		waited := w.now.Sub(j.since)
		waiting[j.host] = append(waiting[j.host], WaitingTask{j.kinds, j.need, waited})
		if waited > 45*time.Second {
			requests[j.host] = append(requests[j.host], TransferRequest{Team: j.host, Kinds: j.kinds, Need: j.need, Jobs: 1, Waited: waited})
		}
	}
	var owners []Exchanger
	for _, host := range w.hosts {
		var others []TransferRequest
		for _, from := range w.hosts {
			if from != host {
				others = append(others, requests[from]...)
			}
		}
		var candidates []TransferOffer
		for _, m := range w.machines {
			if m.host == host && w.now.Sub(m.ownedSince) >= MinOwnership {
				candidates = append(candidates, TransferOffer{m.id, m.kind, m.free, m.attempts})
			}
		}
		owners = append(owners, Exchanger{host, requests[host], SelectOffers(others, candidates, waiting[host], w.sizeOf, 50)})
	}
	transfers := MatchOffers(owners, w.sizeOf, 200, func(team string) bool { return w.quota.Allow(w.now, team) })
	moved := map[string]bool{}
	for _, x := range transfers {
		m := w.machines[slices.IndexFunc(w.machines, func(m *modelMachine) bool { return m.id == x.ID })]
		if m.host != x.From || x.To == x.From || moved[x.ID] {
			t.Fatalf("got transfer %v of a machine of %s, transferred before: %v", x, m.host, moved[x.ID])
		}
		for _, j := range w.waiting {
			if j.host == x.From && slices.Contains(j.kinds, m.kind) && j.need.Fits(m.free) {
				t.Fatalf("got transfer %v of a machine that a waiting job of its owner fits on", x)
			}
		}
		moved[x.ID] = true
		w.transferredAt[x.ID] = append(w.transferredAt[x.ID], w.now)
		m.host, m.ownedSince, m.attempts = x.To, w.now, 0
	}
	return transfers
}

// TestTransfersEndAndServe: no machine is transferred twice within MinOwnership, none that a
// waiting job of its owner fits on; transfers end; and at the end no job waits while any machine
// has free capacity for it.
func TestTransfersEndAndServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &transferModel{now: time.Unix(1_750_000_000, 0), transferredAt: map[string][]time.Time{}}
		start := w.now
		for i := range rapid.IntRange(2, 4).Draw(t, "owners") {
			w.hosts = append(w.hosts, fmt.Sprintf("worker-%d", i))
		}
		drawResources := func(name string, most int) resource.Resources {
			return resource.Resources{CPU: float64(rapid.IntRange(1, most).Draw(t, name+" CPUs")), Memory: float64(rapid.IntRange(1, most).Draw(t, name+" memory"))}
		}
		w.sizes = map[Kind]resource.Resources{}
		for _, k := range kinds {
			w.sizes[k] = drawResources("size", 16)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			w.machines = append(w.machines, &modelMachine{id: fmt.Sprintf("vm-%06d", i), host: rapid.SampledFrom(w.hosts).Draw(t, "owner"), kind: kind, free: w.sizes[kind]})
		}
		for range rapid.IntRange(1, 20).Draw(t, "jobs") {
			allowed := []Kind{rapid.SampledFrom(kinds).Draw(t, "allowed"), rapid.SampledFrom(kinds).Draw(t, "allowed too")}
			w.waiting = append(w.waiting, &modelJob{rapid.SampledFrom(w.hosts).Draw(t, "team"), allowed, drawResources("need", 10), w.now})
		}
		last := time.Duration(0)
		for w.now.Sub(start) < 15*time.Minute {
			w.placeJobs()
			if len(w.exchange(t)) > 0 {
				last = w.now.Sub(start)
			}
			w.now = w.now.Add(time.Second)
		}
		if last > 14*time.Minute {
			t.Fatalf("got the last transfer after %v, want an end of them", last)
		}
		for id, times := range w.transferredAt {
			for i := 1; i < len(times); i++ {
				if times[i].Sub(times[i-1]) < MinOwnership {
					t.Fatalf("%s: got two transfers within %v", id, times[i].Sub(times[i-1]))
				}
			}
		}
		for _, j := range w.waiting {
			for _, m := range w.machines {
				if slices.Contains(j.kinds, m.kind) && j.need.Fits(m.free) {
					t.Fatalf("a job of %s that needs %v waits beside %+v", j.host, j.need, *m)
				}
			}
		}
	})
}

// TestOwnersOfEachOthersCapacity: of two owners that each have free capacity only for the job of
// the other, both jobs are served, and no machine returns for the same job.
func TestOwnersOfEachOthersCapacity(t *testing.T) {
	box, rack := Kind{"box", "a", false}, Kind{"rack", "a", false}
	free := resource.Resources{CPU: 4, Memory: 8}
	need := resource.Resources{CPU: 2, Memory: 4}
	owners := []Exchanger{
		{Host: "a", Requests: []TransferRequest{{Team: "ops", Kinds: []Kind{box}, Need: need, Jobs: 1, Waited: 50 * time.Second}}, Offers: []TransferOffer{{ID: "vm-1", Kind: rack, Free: free, Attempts: 1}}},
		{Host: "b", Requests: []TransferRequest{{Team: "lab", Kinds: []Kind{rack}, Need: need, Jobs: 1, Waited: 50 * time.Second}}, Offers: []TransferOffer{{ID: "vm-2", Kind: box, Free: free, Attempts: 1}}},
	}
	sizeOf := func(Kind) resource.Resources { return resource.Resources{CPU: 16, Memory: 16} }
	got := MatchOffers(owners, sizeOf, 10, func(string) bool { return true })
	if want := []Transfer{{"vm-2", "b", "a"}, {"vm-1", "a", "b"}}; !slices.Equal(got, want) {
		t.Errorf("got transfers %v, want %v", got, want)
	}
}

// TestSelectOffers: which of its machines an owner offers.
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
	many.Jobs, old.Waited = 3, OldWait
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
		{"small machines, few attempts and little free capacity first", request, nil, 10, []string{"vm-3"}},
		{"as many as are needed", many, nil, 10, []string{"vm-3", "vm-2"}},
		{"at most as many as allowed", many, nil, 1, []string{"vm-3"}},
		{"none that a waiting task fits on", many, []WaitingTask{fitting}, 10, []string{"vm-3"}},
		{"none before a longer wait for the same machines", request, []WaitingTask{largeTask}, 10, nil},
		{"after a shorter wait", request, []WaitingTask{newer}, 10, []string{"vm-3"}},
		{"an old wait goes first", old, []WaitingTask{largeTask}, 10, []string{"vm-3"}},
		{"waits for other kinds do not count", request, []WaitingTask{elsewhere}, 10, []string{"vm-3"}},
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

// TestTransferQuota: a team gets its burst at once, then one transfer each quotaInterval; the
// quota of one team is not another's.
func TestTransferQuota(t *testing.T) {
	var q TransferQuota
	now := time.Unix(1_750_000_000, 0)
	count := func(team string) int {
		n := 0
		for n < 2*quotaBurst && q.Allow(now, team) {
			n++
		}
		return n
	}
	if got := count("ops"); got != quotaBurst {
		t.Errorf("got %d transfers at once, want %d", got, quotaBurst)
	}
	now = now.Add(4 * quotaInterval)
	if got := count("ops"); got != 4 {
		t.Errorf("got %d more after four intervals, want 4", got)
	}
	if got := count("lab"); got != quotaBurst {
		t.Errorf("got %d transfers to another team, want %d", got, quotaBurst)
	}
	now = now.Add(24 * time.Hour)
	if got := count("ops"); got != quotaBurst {
		t.Errorf("got %d transfers after a day, want %d", got, quotaBurst)
	}
}
