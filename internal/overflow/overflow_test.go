package overflow

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"pgregory.net/rapid"
)

// testStart is the time that at counts from.
var testStart = time.Unix(1_750_000_000, 0)

// at returns the time that many seconds after testStart.
func at(seconds float64) time.Time { return testStart.Add(record.DurationOfSeconds(seconds)) }

// testLoan returns a loan of job-1 of cluster east with the lend count.
func testLoan(lendCount uint64) Loan { return Loan{"east", "job-1", lendCount} }

// TestParseLoan checks that ParseLoan accepts the names that String writes and rejects
// all others.
func TestParseLoan(t *testing.T) {
	want := testLoan(12)
	if got, err := ParseLoan(want.String()); err != nil || got != want {
		t.Errorf("got %v, %v; want %v", got, err, want)
	}
	for _, name := range []string{"", "east", "east/job-1", "east/job-1/x", "east/job-1/-1", "east/job-1/1/2"} {
		if got, err := ParseLoan(name); !errors.Is(err, errInvalidLoanName) {
			t.Errorf("%q: got %v, %v; want %v", name, got, err, errInvalidLoanName)
		}
	}
}

// TestReplyToEarlierHeartbeat guards against a lease that ends too late. A lease runs
// from the sending time of the heartbeat that was answered. If the reply to an earlier
// heartbeat counted from the newest one, which the lender may never have received, the
// borrower would run tasks after the lender has taken the job back.
func TestReplyToEarlierHeartbeat(t *testing.T) {
	borrower := NewBorrower()
	view := BorrowerView{Epoch: 1, Borrowed: []BorrowedLoan{{Loan: testLoan(1)}}}
	first := borrower.NewHeartbeat(at(0), "west", "east", view)
	second := borrower.NewHeartbeat(at(10), "west", "east", view)
	keep := HeartbeatReply{Epoch: 5, Lease: 8 * time.Second, Commands: []Command{{Kind: Keep, Loan: testLoan(1)}}}
	borrower.HandleReply("east", first.Sequence, keep, view, nil)
	if until := borrower.StartableUntil(testLoan(1)); !until.IsZero() {
		t.Fatalf("after a reply to the earlier heartbeat: startable until %v, want not at all", until.Sub(testStart))
	}
	borrower.HandleReply("east", second.Sequence, keep, view, nil)
	if until, want := borrower.StartableUntil(testLoan(1)), at(18-startMargin.Seconds()); !until.Equal(want) {
		t.Fatalf("after a reply to the newest heartbeat: startable until %v, want %v", until.Sub(testStart), want.Sub(testStart))
	}
	// A reply of a new leader replaces the confirmations of its predecessor.
	third := borrower.NewHeartbeat(at(11), "west", "east", view)
	borrower.HandleReply("east", third.Sequence, HeartbeatReply{Epoch: 6, Lease: 8 * time.Second}, view, nil)
	if until := borrower.StartableUntil(testLoan(1)); !until.IsZero() {
		t.Fatalf("without the new leader's confirmation: startable until %v, want not at all", until.Sub(testStart))
	}
	if got := borrower.ExpiredLoans(at(18.5), 8*time.Second, view); len(got) != 0 {
		t.Fatalf("at 18.5 s: got %v, want no expired loan", got)
	}
	if got := borrower.ExpiredLoans(at(19.5), 8*time.Second, view); len(got) != 1 || got[0].Cause != LeaseExpired {
		t.Fatalf("at 19.5 s: got %v, want the loan given up with cause %s", got, LeaseExpired)
	}
}

// testLentLoan is testLoan(1), lent to cluster west.
var testLentLoan = LentLoan{Loan: testLoan(1), Peer: "west", SubmittedAt: testStart, StopBound: 10 * time.Second, Spec: model.JobSpec{ID: "job-1", Tasks: 1}}

// testLenderView returns a lender's view at epoch 7 that holds one lent loan.
func testLenderView(now time.Time, loan LentLoan) LenderView {
	return LenderView{Epoch: 7, LeaseValidUntil: now.Add(time.Second), Lent: []LentLoan{loan}}
}

// TestLenderProof checks which heartbeats the lender accepts as proof that a borrower
// does not run a job. If it took a job back without proof, the job could run in two
// clusters.
func TestLenderProof(t *testing.T) {
	lent, cancelled := testLentLoan, testLentLoan
	cancelled.CancelRequested = true
	reports := func(loan Loan, state LoanState, cause Cause) Heartbeat {
		return Heartbeat{Loans: []LoanReport{{Loan: loan, State: state, Cause: cause}}}
	}
	for _, testCase := range []struct {
		name       string
		lent       LentLoan
		heartbeat  Heartbeat
		transition string
		commands   string
	}{
		{"absent, sent under this leader's epoch: offered", lent, Heartbeat{HomeEpoch: 7}, "", "take"},
		{"absent and cancelled, sent under an earlier epoch: no proof", cancelled, Heartbeat{HomeEpoch: 6}, "", ""},
		{"absent and cancelled, sent under this leader's epoch", cancelled, Heartbeat{HomeEpoch: 7}, "end_cancelled", ""},
		{"absent and draining, sent under an earlier epoch", lent, Heartbeat{HomeEpoch: 6, Draining: true}, "", "take"},
		{"absent and draining, sent under this leader's epoch", lent, Heartbeat{HomeEpoch: 7, Draining: true}, "take_back", ""},
		{"held", lent, reports(testLoan(1), Held, ""), "", "keep"},
		{"held and cancelled", cancelled, reports(testLoan(1), Held, ""), "", "stop"},
		{"gone, sent under any epoch", lent, reports(testLoan(1), Gone, GivenBack), "take_back", ""},
		{"finished, though cancelled", cancelled, reports(testLoan(1), Finished, ""), "settle", ""},
		{"another loan of the job, held", lent, reports(testLoan(0), Held, ""), "", "stop take"},
		{"another loan of the job, gone", lent, reports(testLoan(0), Gone, ""), "", "forget take"},
	} {
		lender := NewLender("east", at(0), 8*time.Second)
		testCase.heartbeat.From, testCase.heartbeat.Epoch, testCase.heartbeat.Sequence = "west", 3, 1
		reply, transitions, ok := lender.HandleHeartbeat(at(1), testLenderView(at(1), testCase.lent), testCase.heartbeat)
		var kinds []string
		for _, command := range reply.Commands {
			kinds = append(kinds, command.Kind.String())
		}
		slices.Sort(kinds)
		transition, commands := "", strings.Join(kinds, " ")
		for _, t := range transitions {
			transition = t.Kind.String()
		}
		if !ok || transition != testCase.transition || commands != testCase.commands {
			t.Errorf("%s: got transition %q, commands %q, ok %v; want %q, %q, true", testCase.name, transition, commands, ok, testCase.transition, testCase.commands)
		}
		if _, _, again := lender.HandleHeartbeat(at(2), testLenderView(at(2), testCase.lent), testCase.heartbeat); again {
			t.Errorf("%s: the same heartbeat was answered twice, want it refused the second time", testCase.name)
		}
	}
}

// TestLenderLeases checks that the lender answers no heartbeat once a successor may
// count the leases from its own start, and that it takes a loan back only after the
// lease, the borrower's stop bound, the clock drift and the margin. Otherwise a job
// could run in two clusters.
func TestLenderLeases(t *testing.T) {
	lender := NewLender("east", at(0), 8*time.Second)
	if _, _, ok := lender.HandleHeartbeat(at(5), LenderView{Epoch: 7, LeaseValidUntil: at(4)}, Heartbeat{From: "west", Epoch: 1, Sequence: 1}); ok {
		t.Error("a heartbeat was answered when a successor may already count the leases, want it refused")
	}
	for _, testCase := range []struct {
		at   float64
		want int
	}{{18.9, 0}, {19.1, 1}} {
		if got := lender.ExpiredLoans(at(testCase.at), testLenderView(at(testCase.at), testLentLoan)); len(got) != testCase.want {
			t.Errorf("at %v s: got %v, want %d expired loans", testCase.at, got, testCase.want)
		}
	}
}

// candidate returns a job of 4 tasks that run for 20 s, each on 2 CPUs. sloDue and
// homeFinish are in seconds.
func candidate(id string, urgency model.Urgency, sloDue, homeFinish float64) Candidate {
	return Candidate{
		Job: id, SLODue: record.DurationOfSeconds(sloDue), HomeFinish: record.DurationOfSeconds(homeFinish), RunTime: 20 * time.Second,
		Spec: model.JobSpec{ID: id, Tasks: 4, Urgency: urgency, Need: model.Resources{CPU: 2, Memory: 2}, Image: "img", ImageGB: 2},
	}
}

// freeMachines returns the free capacity of that number of machines, each with 4 CPUs.
func freeMachines(machines int) []FreeCapacity {
	return []FreeCapacity{{MachineType: "box", PerMachine: model.Resources{CPU: 4, Memory: 16}, Machines: machines, CostPerCPUHour: 1, FetchRate: 1}}
}

// TestChooseOffers checks which jobs are lent to which peers, one rule for each case.
func TestChooseOffers(t *testing.T) {
	idle := PeerSnapshot{Name: "west", Available: true, Trust: 1, FreeCapacity: freeMachines(2)}
	for _, testCase := range []struct {
		name       string
		candidates []Candidate
		peers      []PeerSnapshot
		want       []string
	}{
		{"late at home, in time at the peer", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{idle}, []string{"a>west"}},
		{"in time at home", []Candidate{candidate("a", model.Normal, 60, 50)}, []PeerSnapshot{idle}, nil},
		{"late at the peer as well", []Candidate{candidate("a", model.Normal, 20, 90)}, []PeerSnapshot{idle}, nil},
		{"late at the peer because of the image fetch", []Candidate{candidate("a", model.Normal, 24, 90)}, []PeerSnapshot{idle}, nil},
		{"the image is cached at the peer", []Candidate{candidate("a", model.Normal, 24, 90)}, []PeerSnapshot{{Name: "west", Available: true, Trust: 1, FreeCapacity: freeMachines(2), CachedImages: []string{"img"}}}, []string{"a>west"}},
		{"capacity for one job: the more urgent one is lent", []Candidate{candidate("a", model.Normal, 60, 90), candidate("b", model.Urgent, 60, 90)}, []PeerSnapshot{idle}, []string{"b>west"}},
		{"a draining peer", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "west", Available: true, Draining: true, Trust: 1, FreeCapacity: freeMachines(2)}}, nil},
		{"an unresponsive peer", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "west", Trust: 1, FreeCapacity: freeMachines(2)}}, nil},
		{"a peer that lends jobs itself gets none", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "west", Available: true, Trust: 1, LendsItself: true, FreeCapacity: freeMachines(2)}}, nil},
		{"lost trust lengthens the estimate", []Candidate{candidate("a", model.Normal, 30, 90)}, []PeerSnapshot{{Name: "west", Available: true, Trust: 0.5, FreeCapacity: freeMachines(2)}}, nil},
		{"the cheaper of two peers", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "north", Available: true, Trust: 1, FreeCapacity: []FreeCapacity{{PerMachine: model.Resources{CPU: 64, Memory: 64}, Machines: 1, CostPerCPUHour: 2}}}, idle}, []string{"a>west"}},
		{"a peer that is too expensive", []Candidate{candidate("a", model.Normal, 60, 90)}, []PeerSnapshot{{Name: "north", Available: true, Trust: 1, FreeCapacity: []FreeCapacity{{PerMachine: model.Resources{CPU: 64, Memory: 64}, Machines: 1, CostPerCPUHour: 20}}}}, nil},
	} {
		var got []string
		for _, offer := range ChooseOffers(testCase.candidates, testCase.peers, DefaultLimits(), 1) {
			got = append(got, offer.Job+">"+offer.Peer)
		}
		if !slices.Equal(got, testCase.want) {
			t.Errorf("%s: got %v, want %v", testCase.name, got, testCase.want)
		}
	}
	lentBefore := candidate("a", model.Normal, 60, 90)
	lentBefore.LendCount = DefaultLimits().MaxLends
	if got := ChooseOffers([]Candidate{lentBefore}, []PeerSnapshot{idle}, DefaultLimits(), 1); len(got) > 0 {
		t.Errorf("a job that was lent %d times: got %v, want no offer", lentBefore.LendCount, got)
	}
}

// TestOffersWithinLimits checks on random candidates and peers that no peer gets more
// loans than allowed or more tasks than its free capacity holds, that no job is offered
// twice, and that no job is offered that gains nothing.
func TestOffersWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<30).Draw(t, "seed")), 1))
		limits := DefaultLimits()
		limits.LoansOut, limits.Offers = 1+rng.IntN(4), 1+rng.IntN(10)
		var candidates []Candidate
		for i := range rng.IntN(12) {
			job := candidate(string(rune('a'+i)), model.Urgency(rng.IntN(4)), 100*rng.Float64(), 200*rng.Float64())
			job.Spec.Tasks = 1 + rng.IntN(9)
			candidates = append(candidates, job)
		}
		var peers []PeerSnapshot
		for _, name := range []string{"west", "north", "south"} {
			peers = append(peers, PeerSnapshot{Name: name, Available: rng.IntN(4) > 0, Draining: rng.IntN(4) == 0, Trust: rng.Float64(), FreeCapacity: freeMachines(rng.IntN(5)), LoansOut: rng.IntN(3)})
		}
		offered := map[string]bool{}
		tasks, loans := map[string]int{}, map[string]int{}
		for _, offer := range ChooseOffers(candidates, peers, limits, 1) {
			job := candidates[slices.IndexFunc(candidates, func(job Candidate) bool { return job.Job == offer.Job })]
			if offered[offer.Job] || job.HomeFinish <= job.SLODue || offer.PeerFinish > job.SLODue || offer.PeerFinish+limits.MinGain > job.HomeFinish {
				t.Fatalf("got %+v for %+v, want one offer per job, which meets the SLO and gains at least MinGain", offer, job)
			}
			offered[offer.Job] = true
			tasks[offer.Peer] += job.Spec.Tasks
			loans[offer.Peer]++
		}
		if len(offered) > limits.Offers {
			t.Fatalf("got %d offers, want %d at most", len(offered), limits.Offers)
		}
		for _, peer := range peers {
			if peer.LoansOut+loans[peer.Name] > max(peer.LoansOut, limits.LoansOut) || tasks[peer.Name] > 2*peer.FreeCapacity[0].Machines || loans[peer.Name] > 0 && (!peer.Available || peer.Draining) {
				t.Fatalf("%s: got %d loans with %d tasks, more than fit %+v", peer.Name, loans[peer.Name], tasks[peer.Name], peer)
			}
		}
	})
}

// TestAdmit checks which jobs a borrower accepts. The cases run in order: jobs accepted
// earlier use up capacity.
func TestAdmit(t *testing.T) {
	take := func(tasks int, urgency model.Urgency) Command {
		return Command{Kind: Take, Spec: model.JobSpec{Tasks: tasks, Urgency: urgency, Need: model.Resources{CPU: 2, Memory: 2}}}
	}
	idle := AdmissionState{FreeCapacity: freeMachines(2)}
	busy := AdmissionState{FreeCapacity: freeMachines(9), OwnJobsLate: true, LateUrgency: model.Normal}
	for _, testCase := range []struct {
		name    string
		state   *AdmissionState
		tasks   int
		urgency model.Urgency
		want    Cause
	}{
		{"fits on both machines", &idle, 3, model.Normal, ""},
		// The second machine could hold one more task, but Admit subtracts whole
		// machines from the offered capacity.
		{"both machines are in use", &idle, 1, model.Normal, NoCapacity},
		{"own late jobs of the same urgency", &busy, 1, model.Normal, NoCapacity},
		{"own late jobs of a lower urgency", &busy, 1, model.Urgent, ""},
	} {
		if got := Admit(take(testCase.tasks, testCase.urgency), testCase.state, DefaultLimits()); got != testCase.want {
			t.Errorf("%s: got cause %q, want %q", testCase.name, got, testCase.want)
		}
	}
}

// TestGiveBack checks which loans a borrower gives back under which pressure.
func TestGiveBack(t *testing.T) {
	loans := []BorrowedLoan{
		{Loan: testLoan(1), Spec: model.JobSpec{Urgency: model.Normal}},
		{Loan: testLoan(2), Spec: model.JobSpec{Urgency: model.Normal}, Started: true},
		{Loan: testLoan(3), Spec: model.JobSpec{Urgency: model.Critical}},
		{Loan: testLoan(4), Ending: true}, {Loan: testLoan(5), State: Finished},
	}
	runTime := func(BorrowedLoan) time.Duration { return 30 * time.Second }
	for _, testCase := range []struct {
		name     string
		pressure Pressure
		want     []uint64
	}{
		{"no pressure", Pressure{DrainIn: -1}, nil},
		{"own jobs late for a short time", Pressure{OwnJobsLate: true, LateUrgency: model.Urgent, LateFor: time.Second, DrainIn: -1}, nil},
		{"own urgent jobs late for long", Pressure{OwnJobsLate: true, LateUrgency: model.Urgent, LateFor: time.Minute, DrainIn: -1}, []uint64{1}},
		{"a drain long enough for started jobs to end", Pressure{DrainIn: time.Minute}, []uint64{1, 3}},
		{"a drain too short for started jobs to end", Pressure{DrainIn: 10 * time.Second}, []uint64{1, 2, 3}},
	} {
		var got []uint64
		for _, loan := range ChooseLoansToGiveBack(loans, testCase.pressure, runTime) {
			got = append(got, loan.LendCount)
		}
		if !slices.Equal(got, testCase.want) {
			t.Errorf("%s: got loans %v, want %v", testCase.name, got, testCase.want)
		}
	}
}

// TestPeerTracker checks that the tracker moves on from a controller that doesn't reply,
// follows redirects, pauses for longer and longer times if none of a peer's controllers
// replies, and restores the trust in a peer that was unresponsive only slowly.
func TestPeerTracker(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	peer := NewPeerTracker("west", []string{"w1", "w2", "w3"}, 2*time.Second, testStart)
	now := testStart
	nextAddr := func() string {
		for range 1000 {
			if addr, due := peer.NextHeartbeat(now); due {
				return addr
			}
			now = now.Add(100 * time.Millisecond)
		}
		return "never"
	}
	expectAddr := func(when, want string) {
		t.Helper()
		if got := nextAddr(); got != want {
			t.Fatalf("%s: got a heartbeat to %s, want %s", when, got, want)
		}
	}
	expectChange := func(want PeerState) {
		t.Helper()
		if got, changed := peer.StateChanged(now); got != want || !changed {
			t.Fatalf("got state %v, changed %v; want %v, true", got, changed, want)
		}
	}
	expectAddr("at the start", "w1")
	if _, due := peer.NextHeartbeat(now); due {
		t.Fatal("got two heartbeats in flight, want one")
	}
	peer.NoteFailure(now, rng)
	expectAddr("after w1 failed", "w2")
	peer.NoteRedirect(now, "w3")
	expectAddr("after a redirect to w3", "w3")
	peer.NoteReply(now, 80*time.Millisecond, rng)
	peer.NoteHeartbeat(now, Heartbeat{})
	expectChange(Serving)
	var pauses []time.Duration
	for range 9 {
		failedAt := now
		nextAddr()
		pauses = append(pauses, now.Sub(failedAt))
		peer.NoteFailure(now, rng)
	}
	if slices.Max(pauses[:2]) > 3*time.Second || pauses[8] < 8*time.Second || slices.Max(pauses) > 80*time.Second {
		t.Errorf("got pauses %v, want the first two up to 3 s, the last one of 8 s or more, none above 80 s", pauses)
	}
	expectChange(Unresponsive)
	if got := peer.Trust(now); got != flapPenalty {
		t.Errorf("got trust %v after becoming unresponsive, want %v", got, flapPenalty)
	}
	if got := peer.Trust(now.Add(trustHalfLife)); got != 0.75 {
		t.Errorf("got trust %v a half-life later, want 0.75", got)
	}
	peer.NoteHeartbeat(now, Heartbeat{Draining: true})
	if got, _ := peer.StateChanged(now); got != DrainingState {
		t.Fatalf("got state %v, want %v", got, DrainingState)
	}
}
