package overflow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// The model simulates a home cluster that lends jobs to two borrowers. Each cluster has
// its own state service, whose transactions may be applied late, and leaders that end
// and are replaced at any moment. Messages are lost, duplicated, reordered and delayed
// by up to a minute. The model knows where each job runs: after every step a job may run
// in at most one cluster, and no job may end twice.

// modelStep is the length of a simulation step, modelLease that of a loan's lease,
// modelStopBound the borrowers' stop bound, and modelRunTime the run time of each job.
const (
	modelStep      = 250 * time.Millisecond
	modelLease     = 8 * time.Second
	modelStopBound = 6 * time.Second
	modelRunTime   = 25 * time.Second
)

// omittedRules breaks rules in the model's use of the package. Tests break one rule at
// a time, to show that the model detects the consequences.
type omittedRules struct {
	// noStopBound makes the lender ignore the borrowers' stop bound.
	noStopBound bool
	// anyAbsence makes the lender accept any heartbeat that doesn't list a loan as
	// proof that the borrower doesn't hold the loan.
	anyAbsence bool
	// unconfirmed lets a borrower start accepted loans before the lender confirms
	// them.
	unconfirmed bool
	// unfenced lets the transactions of a replaced leader be applied.
	unfenced bool
	// freshLeases makes a borrower's new leader count the leases from its own start.
	freshLeases bool
}

// modelJob is the durable record of a job in its home cluster.
type modelJob struct {
	lendCount       uint64
	peer            string // "" while the job is at home
	cancelRequested bool
	outcome         string // "done", "cancelled", or "" before the end
	startedAtHome   bool
	remaining       time.Duration
	version         int
}

// modelLoan is the durable record of a loan at a borrower, and the state of its tasks.
type modelLoan struct {
	spec      model.JobSpec
	state     LoanState
	cause     Cause
	ending    bool
	endAt     time.Time
	started   bool
	running   bool
	remaining time.Duration
	version   int
}

// modelBorrower is a borrowing cluster.
type modelBorrower struct {
	name             string
	epoch            uint64
	borrower         *Borrower
	loans            map[Loan]*modelLoan
	renewedAt        time.Time
	up               bool
	downAt           time.Time
	draining         bool
	partitionedUntil time.Time
	// leaseUntil is the end of the lease that the lender relies on. Within
	// modelStopBound after it, the shard leader and the workers stop the tasks without
	// any communication.
	leaseUntil time.Time
	// clockRate is the rate of the borrower's clock, as a multiple of the true one.
	clockRate float64
	nextAt    time.Time
}

// chooser makes the random choices of a simulated day and receives its failures.
type chooser interface {
	choose(what string, low, high int) int
	fatalf(format string, args ...any)
}

// rapidChooser makes the choices with rapid, which shrinks a failing day.
type rapidChooser struct{ t *rapid.T }

// choose draws a number between low and high, both included. what names it in a report.
func (chooser rapidChooser) choose(what string, low, high int) int {
	return rapid.IntRange(low, high).Draw(chooser.t, what)
}

// fatalf fails the test and ends the day.
func (chooser rapidChooser) fatalf(format string, args ...any) { chooser.t.Fatalf(format, args...) }

// seededChooser makes the choices with a seeded generator, and panics on a failure.
type seededChooser struct{ *rand.Rand }

// choose returns a random number between low and high, both included.
func (chooser seededChooser) choose(_ string, low, high int) int {
	return low + chooser.IntN(high-low+1)
}

// fatalf panics, which ends the day.
func (chooser seededChooser) fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// modelSim simulates one day.
type modelSim struct {
	chooser chooser
	// takenCount, startedCount and finishedCount count the loans that were accepted,
	// started and finished. A day without any loan tests nothing.
	takenCount, startedCount, finishedCount int
	now                                     time.Time
	startedAt                               time.Time
	omitted                                 omittedRules
	jobs                                    map[string]*modelJob
	lenderUp                                bool
	epoch                                   uint64
	lender                                  *Lender
	borrowers                               []*modelBorrower
	queue                                   []modelEvent
	eventCount                              int
	lossy                                   bool
	endCount                                map[string]int
	rng                                     *rand.Rand
}

// modelEvent is a function that runs at a later time. Events that are due at the
// same time run in the order of seq.
type modelEvent struct {
	at  time.Time
	seq int
	run func()
}

// newModelSim returns the simulation at the start of a day.
func newModelSim(chooser chooser, omitted omittedRules) *modelSim {
	start := time.Unix(1_750_000_000, 0)
	sim := &modelSim{
		chooser: chooser, now: start, startedAt: start, omitted: omitted, jobs: map[string]*modelJob{}, lenderUp: true, epoch: 1, lossy: true,
		endCount: map[string]int{}, rng: rand.New(rand.NewPCG(uint64(chooser.choose("seed", 0, 1<<30)), 1)),
	}
	sim.lender = NewLender("east", sim.now, modelLease)
	for i, name := range []string{"west", "north"} {
		sim.borrowers = append(sim.borrowers, &modelBorrower{name: name, epoch: 1, borrower: NewBorrower(), loans: map[Loan]*modelLoan{}, up: true, clockRate: []float64{1.0005, 0.9995}[i]})
	}
	for i := range 12 {
		sim.jobs[fmt.Sprintf("job-%d", i)] = &modelJob{remaining: modelRunTime}
	}
	return sim
}

// schedule schedules run to be called after the delay.
func (sim *modelSim) schedule(delay time.Duration, run func()) {
	sim.eventCount++
	sim.queue = append(sim.queue, modelEvent{sim.now.Add(delay), sim.eventCount, run})
}

// runEvents runs the events that are due, by time and then in the order of scheduling.
func (sim *modelSim) runEvents() {
	slices.SortStableFunc(sim.queue, func(a, b modelEvent) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.seq - b.seq
	})
	for len(sim.queue) > 0 && !sim.queue[0].at.After(sim.now) {
		event := sim.queue[0]
		sim.queue = sim.queue[1:]
		event.run()
	}
}

// delay draws how long a message or a transaction takes. Negative means lost.
func (sim *modelSim) delay() time.Duration {
	if !sim.lossy {
		return 50 * time.Millisecond
	}
	switch choice := sim.rng.IntN(20); {
	case choice == 0:
		return -1
	case choice < 3:
		return time.Duration(sim.rng.IntN(60)) * time.Second
	case choice < 5:
		return time.Duration(sim.rng.IntN(6000)) * time.Millisecond
	}
	return time.Duration(10+sim.rng.IntN(200)) * time.Millisecond
}

// message delivers a message between the lender and a borrower, unless the network
// between them is cut.
func (sim *modelSim) message(cluster *modelBorrower, deliver func()) {
	if !sim.now.Before(cluster.partitionedUntil) {
		sim.send(deliver)
	}
}

// send runs deliver after a random delay, sometimes twice and sometimes never.
func (sim *modelSim) send(deliver func()) {
	if delay := sim.delay(); delay >= 0 {
		sim.schedule(delay, deliver)
	}
	if sim.lossy && sim.rng.IntN(15) == 0 {
		sim.schedule(time.Duration(sim.rng.IntN(60))*time.Second, deliver)
	}
}

// sortedJobs returns the IDs of the jobs in order.
func sortedJobs(jobs map[string]*modelJob) []string {
	var ids []string
	for id := range jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endJob records the outcome of a job, and fails the day if the job had already ended.
func (sim *modelSim) endJob(id, outcome string) {
	sim.jobs[id].outcome = outcome
	sim.endCount[id]++
	if sim.endCount[id] > 1 {
		sim.chooser.fatalf("%s ended %d times, want once", id, sim.endCount[id])
	}
}

// TestModel simulates random days of lending with faults. It checks that no job runs in
// two clusters, ends twice or is lost, and that no borrower keeps a loan forever.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulateDay(rapidChooser{t}, omittedRules{}) })
}

// TestModelCoverage checks that the simulated days accept, start and finish loans.
// Without loans TestModel would pass whatever the package did.
func TestModelCoverage(t *testing.T) {
	taken, started, finished := 0, 0, 0
	for seed := range 50 {
		sim := simulateDay(seededChooser{rand.New(rand.NewPCG(uint64(seed), 2))}, omittedRules{})
		taken, started, finished = taken+sim.takenCount, started+sim.startedCount, finished+sim.finishedCount
	}
	t.Logf("50 days: %d loans taken, %d started, %d finished", taken, started, finished)
	if taken < 100 || started < 50 || finished < 20 {
		t.Errorf("got %d loans taken, %d started, %d finished; want 100, 50 and 20 at least", taken, started, finished)
	}
}

// TestModelDetectsOmittedRules omits one rule at a time, and checks that the model detects the
// omission. The search starts at a seed whose day is known to fail. A change of the
// model changes the day of each seed; the search then goes on with the next seeds.
func TestModelDetectsOmittedRules(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		omitted   omittedRules
		firstSeed int
	}{
		{"the lender ignores the borrower's stop bound", omittedRules{noStopBound: true}, 21},
		{"absence under an earlier epoch is accepted as proof", omittedRules{anyAbsence: true}, 120},
		{"loans are started before they are confirmed", omittedRules{unconfirmed: true}, 88},
		{"transactions are not fenced by the leader's epoch", omittedRules{unfenced: true}, 952},
		{"a new leader counts inherited leases from its own start", omittedRules{freshLeases: true}, 506},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			for seed := range 1000 {
				if dayFails(testCase.firstSeed+seed, testCase.omitted) {
					return
				}
			}
			t.Error("got 1000 days without a failure, want one that fails")
		})
	}
}

// dayFails simulates the day of a seed and reports whether it failed.
func dayFails(seed int, omitted omittedRules) (failed bool) {
	defer func() {
		if recover() != nil {
			failed = true
		}
	}()
	simulateDay(seededChooser{rand.New(rand.NewPCG(uint64(seed), 2))}, omitted)
	return false
}
