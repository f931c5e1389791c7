package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/division"
)

// largePool is an owner with some machines, three quarters of them with work,
// and jobs that wait.
func largePool(machines int) *Node {
	n := New(Settings{
		Host: "a", Zones: []string{"z"}, Teams: []Team{{Name: "ops"}}, Policy: DefaultPolicy(),
		ReportEvery: 8 * time.Second, Lease: 34 * time.Second, Cancel: 64 * time.Second, TxnOps: 12, ValueBytes: 4096, StateWrites: 30, CloudRPS: 10,
		Objectives: []Objective{{Kind: "wait", Workload: "rush", Within: 3 * time.Second}},
	}, rand.New(rand.NewPCG(1, 2)))
	n.now = time.Unix(1_750_000_000, 0)
	n.sess.started, n.sess.ready = true, true
	n.sess.sureUntil = n.now.Add(24 * time.Hour)
	n.users.mirror.asOf = n.sess.sureUntil
	n.holdAll()
	n.types = map[string]Flavour{
		"box":  {Name: "box", Size: Resources{CPU: 4, Memory: 32}, DiskGB: 50, PullRate: 0.3, Price: 0.2, SpotPrice: 0.07, Ready: 50 * time.Second, Zones: []string{"z"}},
		"rack": {Name: "rack", Size: Resources{CPU: 32, Memory: 128}, DiskGB: 70, PullRate: 0.4, Price: 1.45, SpotPrice: 0.53, Ready: 20 * time.Second, Zones: []string{"z"}},
	}
	n.owner = &owner{
		ready: true, readyAt: n.now.Add(-time.Hour), since: n.now.Add(-time.Hour),
		teams:  map[string]*teamHeld{"ops": {ready: true, readyAt: n.now.Add(-time.Hour)}},
		shares: map[string]bool{"a": true}, higher: map[string]time.Time{}, afar: map[string]*machine{},
		jobs: map[string]*job{}, machines: map[string]*machine{},
		used: map[string]Resources{}, arrivals: map[loadKey][]arrival{}, workloads: map[string]*workload{},
		view: &view{at: n.now, rentals: map[string]*rental{}, blocked: map[kind]time.Time{}, renting: map[kind]int{}},
	}
	for i := range machines {
		m := n.machine(fmt.Sprintf("vm-%06d", i))
		n.hear(m, n.poolReport(i), true)
	}
	for i := range machines / 8 {
		name := []string{"rush", "reprint", "wide"}[i%3]
		spec := Spec{
			ID: fmt.Sprintf("job-%06d", i), Workload: name, Team: "ops", Urgency: Normal, Tasks: 24, Spot: true,
			Need: Resources{CPU: 4, Memory: 14}, Image: fmt.Sprintf("%s-%d", name, i%12), ImageGB: 1, Expected: 25 * time.Second, Due: time.Minute,
		}
		j := newJob(spec, n.now, 1, 4096)
		n.owner.jobs[j.ID] = j
		n.owner.workloads[name] = &workload{&j.Spec, n.now}
		for range 3 {
			k := loadKey{"ops", name}
			n.owner.arrivals[k] = append(n.owner.arrivals[k], arrival{n.now, j.Tasks, j.Need, &j.Spec})
		}
	}
	full := n.newRound()
	for _, j := range n.order() {
		n.placeJob(j, full, forever, 6)
	}
	return n
}

// holdAll makes the node the holder of one share with all teams and machines.
func (n *Node) holdAll() {
	s := &n.sess
	s.grant, s.loaded, s.book = 1, true, division.NewBook()
	s.nodes = map[string]nodeRecord{n.set.Host: {Nonce: n.life()}}
	b := encode(map[string]any{"host": n.set.Host, "nonce": n.life(), "teams": []string{"ops"}, "rest": true})
	if err := s.book.Share(n.set.Host, b, 1); err != nil {
		panic(err)
	}
}

func (n *Node) poolReport(i int) *Report {
	r := &Report{Machine: fmt.Sprintf("vm-%06d", i), Addr: "x", Flavour: "box", Zone: "z", Spot: true, Tenure: 1, Tick: 1, Epoch: 1, Recall: -1}
	if i%8 == 0 {
		r.Flavour = "rack"
	}
	return r
}

var poolSizes = []int{300, 1300, 5000, 10000}

// BenchmarkReport is the ordinary report, which changes nothing. It must not
// grow with the pool.
func BenchmarkReport(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := largePool(size)
			m := n.owner.byID[0]
			r := n.poolReport(0)
			for k, t := range m.attempts {
				r.Tasks = append(r.Tasks, TaskReport{Job: k.job, Index: k.index, Try: t.try, Status: Running})
			}
			for b.Loop() {
				r.Tick++
				n.out = n.out[:0]
				n.workerReport(WorkerReport{Reply: 1, Report: *r})
			}
		})
	}
}

// BenchmarkRound is a round of placing in which nothing is placed any more. It
// may grow with the machines, not with their product with the jobs.
func BenchmarkRound(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := largePool(size)
			for b.Loop() {
				n.out = n.out[:0]
				n.placeAll()
			}
		})
	}
}

// BenchmarkPlan is a look at the fleet: what to retire, to return and to rent.
func BenchmarkPlan(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := largePool(size)
			for b.Loop() {
				n.out = n.out[:0]
				n.owner.retired = time.Time{}
				n.lookAtFleet(func(int) bool { return true })
			}
		})
	}
}

// TestPlacingDoesNotMultiply guards the shape of the costs by counting, not by
// time: a round in which a long queue of alike jobs finds no room looks at the
// machines once for each kind of task, not once for each job.
func TestPlacingDoesNotMultiply(t *testing.T) {
	n := largePool(400)
	r := n.newRound()
	for _, j := range n.order() {
		n.placeJob(j, r, forever, j.pending())
	}
	kinds := map[shape]bool{}
	waiting := 0
	for _, j := range n.order() {
		kinds[j.shape()] = true
		waiting++
	}
	if waiting <= len(kinds) {
		t.Fatalf("%d jobs wait, of %d kinds: the pool is too large for the test", waiting, len(kinds))
	}
	if len(r.full) != len(kinds) {
		t.Errorf("%d kinds of tasks known to find no room, want %d", len(r.full), len(kinds))
	}
	// A report that repeats the last one leaves nothing to do.
	m := n.owner.byID[0]
	rep := n.poolReport(0)
	for k, a := range m.attempts {
		rep.Tasks = append(rep.Tasks, TaskReport{Job: k.job, Index: k.index, Try: a.try, Status: Running})
	}
	rep.Tick = 2
	n.hear(m, rep, true)
	rep.Tick = 3
	if !m.same(rep) || n.reconcile(m) != nil {
		t.Error("an ordinary report is not recognised as such")
	}
}
