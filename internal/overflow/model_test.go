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

// The model has a home cluster that lends and two borrowers, each with a state
// service of its own whose transactions may be applied late, with leaders that end
// and are replaced at any moment, and with messages that are lost, duplicated,
// reordered and minutes late. Only the model knows what runs where: after every step
// each job may run in one place at most, and a job that ends must end once.

const (
	modelStep      = 250 * time.Millisecond
	modelLease     = 8 * time.Second
	modelStopBound = 6 * time.Second
	modelRun       = 25 * time.Second
)

// omittedRules takes one rule out of the model's use of the package, to show that
// the model detects the consequences.
type omittedRules struct {
	// noStopBound makes the lender ignore the borrowers' stop bound.
	noStopBound bool
	// anyAbsence makes any heartbeat that doesn't list a loan prove that the
	// borrower doesn't hold it.
	anyAbsence bool
	// unconfirmed lets a borrower start accepted loans before the lender confirms
	// them.
	unconfirmed bool
	// unfenced lets the transactions of a replaced leader be applied.
	unfenced bool
	// freshLeases makes a borrower's new leader count the leases from its own start.
	freshLeases bool
}

type modelJob struct {
	lendCount       uint64
	peer            string // "" while the job is at home
	cancelRequested bool
	outcome         string // "done", "cancelled", or "" before the end
	startedAtHome   bool
	remaining       time.Duration
	version         int
}

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

type modelBorrower struct {
	name      string
	epoch     uint64
	borrower  *Borrower
	loans     map[Loan]*modelLoan
	renewedAt time.Time
	up        bool
	downAt    time.Time
	draining  bool
	cutUntil  time.Time
	// leaseUntil is the lease that the lender counts on. A stop bound after its end
	// shard leader and workers have stopped the tasks by themselves.
	leaseUntil time.Time
	drift      float64
	nextAt     time.Time
}

// chooser draws a day's random choices and takes the failures.
type chooser interface {
	choose(what string, low, high int) int
	fatalf(format string, args ...any)
}

// rapidChooser lets rapid choose, which then searches for the shortest failing day.
type rapidChooser struct{ t *rapid.T }

func (r rapidChooser) choose(what string, low, high int) int {
	return rapid.IntRange(low, high).Draw(r.t, what)
}
func (r rapidChooser) fatalf(format string, args ...any) { r.t.Fatalf(format, args...) }

// seededChooser chooses by a seed, and ends a failing day with a panic.
type seededChooser struct{ *rand.Rand }

func (s seededChooser) choose(_ string, low, high int) int { return low + s.IntN(high-low+1) }
func (s seededChooser) fatalf(format string, args ...any)  { panic(fmt.Sprintf(format, args...)) }

type modelSim struct {
	chooser chooser
	// takenCount, startedCount and finishedCount count loans, to tell a day without
	// any from a good one.
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

type modelEvent struct {
	at  time.Time
	seq int
	run func()
}

// newModelSim returns the sim of a day that has not begun.
func newModelSim(chooser chooser, omitted omittedRules) *modelSim {
	start := time.Unix(1_750_000_000, 0)
	sim := &modelSim{
		chooser: chooser, now: start, startedAt: start, omitted: omitted, jobs: map[string]*modelJob{}, lenderUp: true, epoch: 1, lossy: true,
		endCount: map[string]int{}, rng: rand.New(rand.NewPCG(uint64(chooser.choose("seed", 0, 1<<30)), 1)),
	}
	sim.lender = NewLender("east", sim.now, modelLease)
	for i, name := range []string{"west", "north"} {
		sim.borrowers = append(sim.borrowers, &modelBorrower{name: name, epoch: 1, borrower: NewBorrower(), loans: map[Loan]*modelLoan{}, up: true, drift: []float64{1.0005, 0.9995}[i]})
	}
	for i := range 12 {
		sim.jobs[fmt.Sprintf("job-%d", i)] = &modelJob{remaining: modelRun}
	}
	return sim
}

func (s *modelSim) after(d time.Duration, run func()) {
	s.eventCount++
	s.queue = append(s.queue, modelEvent{s.now.Add(d), s.eventCount, run})
}

// runEvents runs the events that are due, in their order.
func (s *modelSim) runEvents() {
	slices.SortStableFunc(s.queue, func(a, b modelEvent) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.seq - b.seq
	})
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		event := s.queue[0]
		s.queue = s.queue[1:]
		event.run()
	}
}

// delay is how long a message or a transaction takes; negative means lost.
func (s *modelSim) delay() time.Duration {
	if !s.lossy {
		return 50 * time.Millisecond
	}
	switch k := s.rng.IntN(20); {
	case k == 0:
		return -1
	case k < 3:
		return time.Duration(s.rng.IntN(60)) * time.Second
	case k < 5:
		return time.Duration(s.rng.IntN(6000)) * time.Millisecond
	}
	return time.Duration(10+s.rng.IntN(200)) * time.Millisecond
}

// message delivers a message between the lender and a borrower, unless the network
// between them is cut.
func (s *modelSim) message(b *modelBorrower, deliver func()) {
	if !s.now.Before(b.cutUntil) {
		s.send(deliver)
	}
}

func (s *modelSim) send(deliver func()) {
	if d := s.delay(); d >= 0 {
		s.after(d, deliver)
	}
	if s.lossy && s.rng.IntN(15) == 0 {
		s.after(time.Duration(s.rng.IntN(60))*time.Second, deliver)
	}
}

func sortedJobs(jobs map[string]*modelJob) []string {
	var ids []string
	for id := range jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// end ends a job, which may happen once.
func (s *modelSim) end(id, outcome string) {
	s.jobs[id].outcome = outcome
	s.endCount[id]++
	if s.endCount[id] > 1 {
		s.chooser.fatalf("%s ended %d times, want once", id, s.endCount[id])
	}
}

// TestModel simulates random days of lending: no job runs in two places, none ends
// twice, none is lost, and no borrower keeps anything for ever.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulateDay(rapidChooser{t}, omittedRules{}) })
}

// TestModelCoverage checks that loans are taken, started and finished in the days.
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

// TestModelNotices omits one rule at a time: the model has to detect it. The search
// starts at a seed whose day is known to fail; when the model changes, so do its
// days, and the search goes on from there.
func TestModelNotices(t *testing.T) {
	for _, c := range []struct {
		name      string
		omitted   omittedRules
		firstSeed int
	}{
		{"the borrower's stop bound is not counted", omittedRules{noStopBound: true}, 21},
		{"any absence is a proof", omittedRules{anyAbsence: true}, 120},
		{"started without being confirmed", omittedRules{unconfirmed: true}, 88},
		{"transactions are not fenced by the leader's epoch", omittedRules{unfenced: true}, 952},
		{"a new leader takes inherited leases for fresh ones", omittedRules{freshLeases: true}, 506},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range 1000 {
				if dayFails(c.firstSeed+seed, c.omitted) {
					return
				}
			}
			t.Error("got 1000 days without a failure, want one that fails")
		})
	}
}

// dayFails simulates the day of a seed and says whether it failed.
func dayFails(seed int, omitted omittedRules) (failed bool) {
	defer func() {
		if recover() != nil {
			failed = true
		}
	}()
	simulateDay(seededChooser{rand.New(rand.NewPCG(uint64(seed), 2))}, omitted)
	return false
}
