package overflow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_750_000_000, 0)

func at(s float64) time.Time { return testStart.Add(record.DurationOfSeconds(s)) }

func testLoan(n uint64) Loan { return Loan{"east", "job-1", n} }

// TestReplyToEarlierHeartbeat: a lease runs from the sending of the report that was
// answered. An answer to an earlier one than the last must not be counted from the
// last, which the home may never have got.
func TestReplyToEarlierHeartbeat(t *testing.T) {
	g := NewBorrower()
	v := BorrowerView{Epoch: 1, Borrowed: []BorrowedLoan{{Loan: testLoan(1)}}}
	first := g.NewHeartbeat(at(0), "west", "east", v)
	second := g.NewHeartbeat(at(10), "west", "east", v)
	keep := HeartbeatReply{Epoch: 5, Lease: 8 * time.Second, Commands: []Command{{Kind: Keep, Loan: testLoan(1)}}}
	g.HandleReply("east", first.Sequence, keep, v, nil)
	if u := g.StartableUntil(testLoan(1)); !u.IsZero() {
		t.Fatalf("an earlier answer lets tasks start until %v", u.Sub(testStart))
	}
	g.HandleReply("east", second.Sequence, keep, v, nil)
	if u := g.StartableUntil(testLoan(1)); !u.Equal(at(18 - startMargin.Seconds())) {
		t.Fatalf("startable until %v", u.Sub(testStart))
	}
	// Confirmed by a leader that has been replaced: not any more.
	third := g.NewHeartbeat(at(11), "west", "east", v)
	g.HandleReply("east", third.Sequence, HeartbeatReply{Epoch: 6, Lease: 8 * time.Second}, v, nil)
	if u := g.StartableUntil(testLoan(1)); !u.IsZero() {
		t.Fatalf("startable without a word of the home's new leader")
	}
	if ops := g.ExpiredLoans(at(18.5), 8*time.Second, v); len(ops) != 0 {
		t.Fatalf("given up at 18.5 s: %v", ops)
	}
	if ops := g.ExpiredLoans(at(19.5), 8*time.Second, v); len(ops) != 1 || ops[0].Cause != LeaseExpired {
		t.Fatalf("not given up at 19.5 s: %v", ops)
	}
}

// TestLenderProof: what the home takes for proof that a guest does not run a job.
func TestLenderProof(t *testing.T) {
	lent := LentLoan{Loan: testLoan(1), Peer: "west", SubmittedAt: testStart, StopBound: 10 * time.Second, Spec: model.JobSpec{ID: "job-1", Tasks: 1}}
	view := func(now time.Time, l LentLoan) LenderView {
		return LenderView{Epoch: 7, LeaseValidUntil: now.Add(time.Second), Lent: []LentLoan{l}}
	}
	cancelled := lent
	cancelled.CancelRequested = true
	for _, c := range []struct {
		what string
		lent LentLoan
		rep  Heartbeat
		op   string
		verb string
	}{
		{"absent under this leader: offered", lent, Heartbeat{HomeEpoch: 7}, "", "take"},
		{"absent before it heard of this leader, and cancelled: no proof", cancelled, Heartbeat{HomeEpoch: 6}, "", ""},
		{"absent under this leader, and cancelled", cancelled, Heartbeat{HomeEpoch: 7}, "end_cancelled", ""},
		{"absent and draining, under another leader", lent, Heartbeat{HomeEpoch: 6, Draining: true}, "", "take"},
		{"absent and draining", lent, Heartbeat{HomeEpoch: 7, Draining: true}, "take_back", ""},
		{"held", lent, Heartbeat{Loans: []LoanReport{{Loan: testLoan(1), State: Held}}}, "", "keep"},
		{"held and cancelled", cancelled, Heartbeat{Loans: []LoanReport{{Loan: testLoan(1), State: Held}}}, "", "stop"},
		{"gone, whatever the leader", lent, Heartbeat{Loans: []LoanReport{{Loan: testLoan(1), State: Gone, Cause: GivenBack}}}, "take_back", ""},
		{"finished, though cancelled", cancelled, Heartbeat{Loans: []LoanReport{{Loan: testLoan(1), State: Finished}}}, "settle", ""},
		{"another loan of the job, held", lent, Heartbeat{Loans: []LoanReport{{Loan: testLoan(0), State: Held}}}, "", "stop take"},
		{"another loan of the job, over", lent, Heartbeat{Loans: []LoanReport{{Loan: testLoan(0), State: Gone}}}, "", "forget take"},
	} {
		h := NewLender("east", at(0), 8*time.Second)
		c.rep.From, c.rep.Epoch, c.rep.Sequence = "west", 3, 1
		a, ops, ok := h.HandleHeartbeat(at(1), view(at(1), c.lent), c.rep)
		var verbs []string
		for _, o := range a.Commands {
			verbs = append(verbs, o.Kind.String())
		}
		slices.Sort(verbs)
		op, verb := "", ""
		for _, o := range ops {
			op = o.Kind.String()
		}
		for i, v := range verbs {
			if i > 0 {
				verb += " "
			}
			verb += v
		}
		if !ok || op != c.op || verb != c.verb {
			t.Errorf("%s: %q %q, want %q %q", c.what, op, verb, c.op, c.verb)
		}
		if _, _, again := h.HandleHeartbeat(at(2), view(at(2), c.lent), c.rep); again {
			t.Errorf("%s: the same report is answered twice", c.what)
		}
	}
	h := NewLender("east", at(0), 8*time.Second)
	if _, _, ok := h.HandleHeartbeat(at(5), LenderView{Epoch: 7, LeaseValidUntil: at(4)}, Heartbeat{From: "west", Epoch: 1, Sequence: 1}); ok {
		t.Error("answered when a successor may count the leases already")
	}
	// 8 s of lease and 10 s of the guest's bound, the drift and the margin.
	for _, c := range []struct {
		at   float64
		want int
	}{{18.9, 0}, {19.1, 1}} {
		if ops := h.ExpiredLoans(at(c.at), view(at(c.at), lent)); len(ops) != c.want {
			t.Errorf("at %v s: %v", c.at, ops)
		}
	}
}

func candidate(id string, urgency model.Urgency, aim, home float64) Candidate {
	return Candidate{
		Job: id, SLODue: record.DurationOfSeconds(aim), HomeFinish: record.DurationOfSeconds(home), RunTime: 20 * time.Second,
		Spec: model.JobSpec{ID: id, Tasks: 4, Urgency: urgency, Need: model.Resources{CPU: 2, Memory: 2}, Image: "img", ImageGB: 2},
	}
}

func freeMachines(machines int) []FreeCapacity {
	return []FreeCapacity{{MachineType: "box", PerMachine: model.Resources{CPU: 4, Memory: 16}, Machines: machines, CostPerCPUHour: 1, FetchRate: 1}}
}

// TestChooseOffers: who is lent to whom.
func TestChooseOffers(t *testing.T) {
	idle := PeerSnapshot{Name: "west", Available: true, Trust: 1, FreeCapacity: freeMachines(2)}
	for _, c := range []struct {
		what string
		cs   []Candidate
		ps   []PeerSnapshot
		want []string
	}{
		{"late at home, in time there", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{idle}, []string{"a>west"}},
		{"in time at home", []Candidate{candidate("a", model.Normal, 60, 50)}, []PeerSnapshot{idle}, nil},
		{"late there as well", []Candidate{candidate("a", model.Normal, 20, 90)}, []PeerSnapshot{idle}, nil},
		{"the fetch makes it late", []Candidate{candidate("a", model.Normal, 24, 90)}, []PeerSnapshot{idle}, nil},
		{"the image is there", []Candidate{candidate("a", model.Normal, 24, 90)}, []PeerSnapshot{{Name: "west", Available: true, Trust: 1, FreeCapacity: freeMachines(2), CachedImages: []string{"img"}}}, []string{"a>west"}},
		{"room for one: the more urgent goes", []Candidate{candidate("a", model.Normal, 60, 90), candidate("b", model.Urgent, 60, 90)}, []PeerSnapshot{idle}, []string{"b>west"}},
		{"a draining peer", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "west", Available: true, Draining: true, Trust: 1, FreeCapacity: freeMachines(2)}}, nil},
		{"a silent peer", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "west", Trust: 1, FreeCapacity: freeMachines(2)}}, nil},
		{"a peer that lends itself: no ping-pong", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "west", Available: true, Trust: 1, LendsItself: true, FreeCapacity: freeMachines(2)}}, nil},
		{"a peer that broke its word is counted on less", []Candidate{candidate("a", model.Normal, 30, 90)}, []PeerSnapshot{{Name: "west", Available: true, Trust: 0.5, FreeCapacity: freeMachines(2)}}, nil},
		{"the cheaper of two", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "north", Available: true, Trust: 1, FreeCapacity: []FreeCapacity{{PerMachine: model.Resources{CPU: 64, Memory: 64}, Machines: 1, CostPerCPUHour: 2}}}, idle}, []string{"a>west"}},
		{"too dear", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "north", Available: true, Trust: 1, FreeCapacity: []FreeCapacity{{PerMachine: model.Resources{CPU: 64, Memory: 64}, Machines: 1, CostPerCPUHour: 20}}}}, nil},
	} {
		var got []string
		for _, o := range ChooseOffers(c.cs, c.ps, DefaultLimits(), 1) {
			got = append(got, o.Job+">"+o.Peer)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
	often := candidate("a", model.Normal, 60, 90)
	often.LendCount = DefaultLimits().MaxLends
	if len(ChooseOffers([]Candidate{often}, []PeerSnapshot{idle}, DefaultLimits(), 1)) > 0 {
		t.Error("a job is lent to and fro for ever")
	}
}

// TestChooseKeepsLimits: whatever there is to choose from, a peer gets no more than
// its loans and its room, no job goes twice, and nothing goes that gains nothing.
func TestChooseKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<30).Draw(t, "seed")), 1))
		lim := DefaultLimits()
		lim.LoansOut, lim.Offers = 1+rng.IntN(4), 1+rng.IntN(10)
		var cs []Candidate
		for i := range rng.IntN(12) {
			c := candidate(string(rune('a'+i)), model.Urgency(rng.IntN(4)), 100*rng.Float64(), 200*rng.Float64())
			c.Spec.Tasks = 1 + rng.IntN(9)
			cs = append(cs, c)
		}
		var ps []PeerSnapshot
		for _, name := range []string{"west", "north", "south"} {
			ps = append(ps, PeerSnapshot{Name: name, Available: rng.IntN(4) > 0, Draining: rng.IntN(4) == 0, Trust: rng.Float64(), FreeCapacity: freeMachines(rng.IntN(5)), LoansOut: rng.IntN(3)})
		}
		seen := map[string]bool{}
		tasks, loans := map[string]int{}, map[string]int{}
		for _, o := range ChooseOffers(cs, ps, lim, 1) {
			c := cs[slices.IndexFunc(cs, func(c Candidate) bool { return c.Job == o.Job })]
			if seen[o.Job] || c.HomeFinish <= c.SLODue || o.PeerFinish > c.SLODue || o.PeerFinish+lim.MinGain > c.HomeFinish {
				t.Fatalf("%+v for %+v", o, c)
			}
			seen[o.Job] = true
			tasks[o.Peer] += c.Spec.Tasks
			loans[o.Peer]++
		}
		if len(seen) > lim.Offers {
			t.Fatalf("%d offers of %d", len(seen), lim.Offers)
		}
		for _, p := range ps {
			if p.LoansOut+loans[p.Name] > max(p.LoansOut, lim.LoansOut) || tasks[p.Name] > 2*p.FreeCapacity[0].Machines || loans[p.Name] > 0 && (!p.Available || p.Draining) {
				t.Fatalf("%s: %d loans, %d tasks, %+v", p.Name, loans[p.Name], tasks[p.Name], p)
			}
		}
	})
}

// TestAdmitAndGiveBack: what a guest takes, and what it gives back.
func TestAdmitAndGiveBack(t *testing.T) {
	order := func(tasks int, u model.Urgency) Command {
		return Command{Kind: Take, Spec: model.JobSpec{Tasks: tasks, Urgency: u, Need: model.Resources{CPU: 2, Memory: 2}}}
	}
	a := AdmissionState{FreeCapacity: freeMachines(2)}
	for i, c := range []struct {
		tasks int
		want  Cause
	}{{3, ""}, {1, NoRoom}} {
		// The first takes both machines, though the second has room for one more:
		// what was told is promised by machines.
		if got := Admit(order(c.tasks, model.Normal), &a, DefaultLimits()); got != c.want {
			t.Errorf("%d: %q, want %q", i, got, c.want)
		}
	}
	busy := AdmissionState{FreeCapacity: freeMachines(9), OwnWorkLate: true, LateUrgency: model.Normal}
	if Admit(order(1, model.Normal), &busy, DefaultLimits()) != NoRoom || Admit(order(1, model.Urgent), &busy, DefaultLimits()) != "" {
		t.Error("own late work of the same urgency goes before, of a lower one does not")
	}
	bs := []BorrowedLoan{
		{Loan: testLoan(1), Spec: model.JobSpec{Urgency: model.Normal}},
		{Loan: testLoan(2), Spec: model.JobSpec{Urgency: model.Normal}, Started: true},
		{Loan: testLoan(3), Spec: model.JobSpec{Urgency: model.Critical}},
		{Loan: testLoan(4), Ending: true}, {Loan: testLoan(5), State: Finished},
	}
	run := func(BorrowedLoan) time.Duration { return 30 * time.Second }
	for _, c := range []struct {
		what string
		p    Pressure
		want []uint64
	}{
		{"no need", Pressure{DrainIn: -1}, nil},
		{"a short need", Pressure{OwnWorkLate: true, LateUrgency: model.Urgent, LateFor: time.Second, DrainIn: -1}, nil},
		{"own urgent work is late", Pressure{OwnWorkLate: true, LateUrgency: model.Urgent, LateFor: time.Minute, DrainIn: -1}, []uint64{1}},
		{"a drain with time: what runs may end", Pressure{DrainIn: time.Minute}, []uint64{1, 3}},
		{"a drain without", Pressure{DrainIn: 10 * time.Second}, []uint64{1, 2, 3}},
	} {
		var got []uint64
		for _, l := range ChooseGiveBacks(bs, c.p, run) {
			got = append(got, l.LendCount)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// TestPeerTracker: a dead controller is passed over, a peer none of whose controllers
// answers is left alone ever longer, and one that flaps is trusted again slowly.
func TestPeerTracker(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	m := NewPeerTracker("west", []string{"w1", "w2", "w3"}, 2*time.Second, testStart)
	now := testStart
	ask := func() string {
		for range 1000 {
			if a, due := m.NextRequest(now); due {
				return a
			}
			now = now.Add(100 * time.Millisecond)
		}
		return "never"
	}
	if a := ask(); a != "w1" {
		t.Fatal(a)
	}
	if _, due := m.NextRequest(now); due {
		t.Fatal("two reports under way")
	}
	m.NoteFailure(now, rng)
	if a := ask(); a != "w2" {
		t.Fatalf("%s after w1 failed", a)
	}
	m.NoteRedirect(now, "w3")
	if a := ask(); a != "w3" {
		t.Fatalf("%s after being sent to w3", a)
	}
	m.NoteReply(now, 80*time.Millisecond, rng)
	m.NoteHeartbeat(now, Heartbeat{})
	if s, changed := m.StateChanged(now); s != Serving || !changed {
		t.Fatal(s)
	}
	var pauses []time.Duration
	for range 9 {
		began := now
		ask()
		pauses = append(pauses, now.Sub(began))
		m.NoteFailure(now, rng)
	}
	if slices.Max(pauses[:2]) > 3*time.Second || pauses[8] < 8*time.Second || slices.Max(pauses) > 80*time.Second {
		t.Errorf("pauses %v", pauses)
	}
	if s, changed := m.StateChanged(now); s != Unresponsive || !changed {
		t.Fatal(s)
	}
	if tr := m.Trust(now); tr != flapPenalty {
		t.Errorf("trust %v after a fall", tr)
	}
	if tr := m.Trust(now.Add(trustHalfLife)); tr != 0.75 {
		t.Errorf("trust %v after a while", tr)
	}
	m.NoteHeartbeat(now, Heartbeat{Draining: true})
	if s, _ := m.StateChanged(now); s != DrainingState {
		t.Fatal(s)
	}
}
