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

// The model: a home and two guests, each with a state service of its own whose
// transactions may be applied late, leaders that end and are replaced at any
// moment, and messages that are lost, doubled, reordered and minutes late. What
// runs where is known to the model alone; after every step it must be in one
// place, and what ends must end once.

const (
	modelStep      = 250 * time.Millisecond
	modelLease     = 8 * time.Second
	modelStopBound = 6 * time.Second
	modelRun       = 25 * time.Second
)

// omittedRules takes one condition out of the model's use of the package, to show that
// the model notices.
type omittedRules struct {
	// noStopBound: the home counts no time for the guest's own bound.
	noStopBound bool
	// absence: any report that does not list a loan proves that it is not there.
	anyAbsence bool
	// unconfirmed: the guest starts what it has accepted without being told so.
	unconfirmed bool
	// deposed: transactions do not name their leader.
	unfenced bool
	// forgetful: a guest's new leader takes the leases for fresh ones.
	freshLeases bool
}

type modelJob struct {
	lendCount       uint64
	peer            string // "" when it is at home
	cancelRequested bool
	outcome         string // done or cancelled
	startedAtHome   bool   // some of it runs at home, or has
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
	// leaseUntil is the lease that the home counts on: tasks end by themselves, with
	// whatever owner and workers, when the bound after it is over.
	leaseUntil time.Time
	drift      float64
	nextAt     time.Time
}

// chooser is where a day's choices come from, and whom a broken rule is told.
type chooser interface {
	choose(what string, low, high int) int
	fatalf(format string, args ...any)
}

// rapidChooser lets rapid choose, which then looks for the shortest day that fails.
type rapidChooser struct{ t *rapid.T }

func (r rapidChooser) choose(what string, low, high int) int {
	return rapid.IntRange(low, high).Draw(r.t, what)
}
func (r rapidChooser) fatalf(format string, args ...any) { r.t.Fatalf(format, args...) }

// seededChooser chooses by a seed, and gives up the day with a panic.
type seededChooser struct{ *rand.Rand }

func (s seededChooser) choose(_ string, low, high int) int { return low + s.IntN(high-low+1) }
func (s seededChooser) fatalf(format string, args ...any)  { panic(fmt.Sprintf(format, args...)) }

type modelSim struct {
	chooser chooser
	// taken, begun and ended count loans, so that a day in which nothing is lent
	// is not taken for a good one.
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
	seq                                     int
	lossy                                   bool
	endCount                                map[string]int
	rng                                     *rand.Rand
}

type modelEvent struct {
	at  time.Time
	seq int
	fn  func()
}

func (w *modelSim) after(d time.Duration, fn func()) {
	w.seq++
	w.queue = append(w.queue, modelEvent{w.now.Add(d), w.seq, fn})
}

// delay is how long a message or a transaction takes; negative: lost.
func (w *modelSim) delay() time.Duration {
	if !w.lossy {
		return 50 * time.Millisecond
	}
	switch k := w.rng.IntN(20); {
	case k == 0:
		return -1
	case k < 3:
		return time.Duration(w.rng.IntN(60)) * time.Second
	case k < 5:
		return time.Duration(w.rng.IntN(6000)) * time.Millisecond
	}
	return time.Duration(10+w.rng.IntN(200)) * time.Millisecond
}

// message brings a message between the home and a guest over.
func (w *modelSim) message(g *modelBorrower, fn func()) {
	if !w.now.Before(g.cutUntil) {
		w.send(fn)
	}
}

func (w *modelSim) send(fn func()) {
	if d := w.delay(); d >= 0 {
		w.after(d, fn)
	}
	if w.lossy && w.rng.IntN(15) == 0 {
		w.after(time.Duration(w.rng.IntN(60))*time.Second, fn)
	}
}

// clock is the guest's steady clock.
func (w *modelSim) clock(g *modelBorrower) time.Time {
	return w.startedAt.Add(time.Duration(float64(w.now.Sub(w.startedAt)) * g.drift))
}

func (w *modelSim) lenderView() LenderView {
	v := LenderView{Epoch: w.epoch, LeaseValidUntil: w.now.Add(time.Second)}
	for _, id := range sortedJobs(w.jobs) {
		j := w.jobs[id]
		if j.peer != "" && j.outcome == "" {
			v.Lent = append(v.Lent, LentLoan{Loan: Loan{"east", id, j.lendCount}, Peer: j.peer, Spec: model.JobSpec{ID: id, Tasks: 1}, SubmittedAt: w.startedAt, StopBound: modelStopBound, CancelRequested: j.cancelRequested})
			if w.omitted.noStopBound {
				v.Lent[len(v.Lent)-1].StopBound = 0
			}
		}
	}
	return v
}

func sortedJobs(m map[string]*modelJob) []string {
	var out []string
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// lenderTxn makes an operation durable, perhaps late; it needs the leader and the
// job's record to be what they were.
func (w *modelSim) lenderTxn(op LenderTransition) {
	j := w.jobs[op.Loan.Job]
	epoch, ver, lender := w.epoch, j.version, w.lender
	w.send(func() {
		if !w.omitted.unfenced && epoch != w.epoch {
			return
		}
		if j.version != ver || j.outcome != "" || j.peer == "" || j.lendCount != op.Loan.LendCount {
			if lender == w.lender {
				w.lender.CloseFailed(op.Loan)
			}
			return
		}
		j.version++
		switch op.Kind {
		case TakeBack:
			// Mostly it begins at home at once, sometimes it is lent again.
			j.peer, j.startedAtHome = "", w.rng.IntN(4) > 0
		case Settle:
			w.end(op.Loan.Job, "done")
		case EndCancelled:
			w.end(op.Loan.Job, "cancelled")
		}
	})
	// An answer that does not come is settled by trying again.
	w.after(3*time.Second, func() {
		if lender == w.lender && w.lenderUp && epoch == w.epoch && j.version == ver {
			w.lenderTxn(op)
		}
	})
}

func (w *modelSim) end(id, how string) {
	j := w.jobs[id]
	j.outcome = how
	w.endCount[id]++
	if w.endCount[id] > 1 {
		w.chooser.fatalf("%s ended twice", id)
	}
}

func (w *modelSim) lenderTxns(ops []LenderTransition) {
	for _, op := range ops {
		w.lenderTxn(op)
	}
}

func (w *modelSim) borrowerView(g *modelBorrower) BorrowerView {
	v := BorrowerView{Epoch: g.epoch, Draining: g.draining, StopBound: modelStopBound, RenewedAt: map[string]time.Time{"east": g.renewedAt}}
	if g.renewedAt.IsZero() {
		v.RenewedAt = nil
	}
	for l, m := range g.loans {
		v.Borrowed = append(v.Borrowed, BorrowedLoan{Loan: l, Spec: m.spec, State: m.state, Cause: m.cause, Ending: m.ending, Started: m.started})
	}
	slices.SortFunc(v.Borrowed, func(a, b BorrowedLoan) int { return compareLoans(a.Loan, b.Loan) })
	return v
}

func (w *modelSim) borrowerTxn(g *modelBorrower, op BorrowerTransition) {
	epoch, borrower := g.epoch, g.borrower
	ver := -1
	if m := g.loans[op.Loan]; m != nil {
		ver = m.version
	}
	done := false
	apply := func() {
		now := -1
		if m := g.loans[op.Loan]; m != nil {
			now = m.version
		}
		ok := (w.omitted.unfenced || epoch == g.epoch) && now == ver
		if ok {
			switch op.Kind {
			case Accept:
				g.loans[op.Loan] = &modelLoan{spec: op.Spec, remaining: modelRun}
				w.takenCount++
			case GiveUp:
				m := g.loans[op.Loan]
				if m.state == Held && !m.ending {
					m.ending, m.cause, m.endAt = true, op.Cause, w.now.Add(time.Duration(w.rng.IntN(2000))*time.Millisecond)
					m.version++
				}
			case Drop:
				delete(g.loans, op.Loan)
			}
		}
		if !done && g.borrower == borrower && op.Kind == Accept {
			done = true
			g.borrower.NoteAccepted(op.Loan, ok)
		}
	}
	w.send(apply)
	if op.Kind == Accept {
		// A write without an answer is repeated until it is known how it ended.
		var again func()
		again = func() {
			if !done && g.borrower == borrower && g.up {
				apply()
				if !done {
					w.after(2*time.Second, again)
				}
			}
		}
		w.after(3*time.Second, again)
	}
}

func (w *modelSim) sendHeartbeat(g *modelBorrower) {
	v := w.borrowerView(g)
	r := g.borrower.NewHeartbeat(w.clock(g), g.name, "east", v)
	borrower := g.borrower
	w.message(g, func() {
		if !w.lenderUp {
			return
		}
		hv := w.lenderView()
		if w.omitted.anyAbsence {
			r.HomeEpoch = hv.Epoch
		}
		a, ops, ok := w.lender.HandleHeartbeat(w.now, hv, r)
		if !ok {
			return
		}
		w.lenderTxns(ops)
		w.message(g, func() {
			if g.borrower != borrower || !g.up {
				return
			}
			if h := borrower.lender("east"); r.Sequence == h.sequence && !h.sentAt.IsZero() && a.Epoch >= h.epoch {
				if u := h.sentAt.Add(a.Lease); u.After(g.leaseUntil) {
					g.leaseUntil = u
				}
			}
			for _, op := range g.borrower.HandleReply("east", r.Sequence, a, w.borrowerView(g), func(Command) Cause { return "" }) {
				w.borrowerTxn(g, op)
			}
		})
	})
}

func (w *modelSim) restartBorrower(g *modelBorrower) {
	g.epoch++
	g.borrower, g.up = NewBorrower(), true
	if w.omitted.freshLeases {
		g.renewedAt = w.clock(g)
		g.leaseUntil = g.renewedAt.Add(modelLease)
	}
	g.nextAt = w.now
}

func (w *modelSim) step() {
	w.now = w.now.Add(modelStep)
	slices.SortStableFunc(w.queue, func(a, b modelEvent) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.seq - b.seq
	})
	for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
		e := w.queue[0]
		w.queue = w.queue[1:]
		e.fn()
	}
	if w.lenderUp {
		w.lenderTxns(w.lender.ExpiredLoans(w.now, w.lenderView()))
	}
	for _, id := range sortedJobs(w.jobs) {
		j := w.jobs[id]
		switch {
		case j.peer != "" || j.outcome != "":
		case j.cancelRequested:
			w.end(id, "cancelled")
		case j.startedAtHome:
			if j.remaining -= modelStep; j.remaining <= 0 {
				w.end(id, "done")
			}
		}
	}
	for _, g := range w.borrowers {
		now := w.clock(g)
		if g.up {
			v := w.borrowerView(g)
			for _, op := range g.borrower.ExpiredLoans(now, modelLease, v) {
				w.borrowerTxn(g, op)
			}
			for _, t := range g.borrower.Renewals(modelLease, v) {
				g.renewedAt = t
			}
			if !w.now.Before(g.nextAt) {
				g.nextAt = w.now.Add(time.Second)
				w.sendHeartbeat(g)
			}
		}
		for _, l := range sortedLoans(g.loans) {
			m := g.loans[l]
			if m.running && !g.up && w.now.Sub(g.downAt) > modelStopBound/2 {
				m.running = false // the workers gave up by themselves
			}
			if m.running && now.After(g.leaseUntil.Add(modelStopBound)) {
				m.running = false
			}
			if m.ending && m.running && (!w.now.Before(m.endAt)) {
				m.running = false
			}
			if m.state == Held && m.ending && !m.running {
				m.state = Gone
				m.version++
			}
			if m.state == Held && !m.ending && !m.running && g.up {
				until := g.borrower.StartableUntil(l)
				if w.omitted.unconfirmed {
					until = now.Add(time.Second)
				}
				if now.Before(until) {
					m.running, m.started = true, true
					w.startedCount++
				}
			}
			if m.running {
				if m.remaining -= modelStep; m.remaining <= 0 {
					m.running, m.state = false, Finished
					w.finishedCount++
					m.version++
				}
			}
		}
	}
	w.check()
}

func (w *modelSim) check() {
	for id, j := range w.jobs {
		var at []string
		if j.peer == "" && j.outcome == "" && j.startedAtHome {
			at = append(at, "east")
		}
		for _, g := range w.borrowers {
			for l, m := range g.loans {
				if l.Job == id && m.running {
					at = append(at, fmt.Sprintf("%s#%d", g.name, l.LendCount))
				}
			}
		}
		if len(at) > 1 {
			w.chooser.fatalf("at %v %s runs in %v", w.now.Sub(w.startedAt), id, at)
		}
		if j.outcome == "cancelled" && len(at) > 0 {
			w.chooser.fatalf("%s is called cancelled and runs in %v", id, at)
		}
	}
}

// simulateDay plays a day. Faults are drawn step by step.
func simulateDay(t chooser, omitted omittedRules) *modelSim {
	began := time.Unix(1_750_000_000, 0)
	w := &modelSim{
		chooser: t, now: began, startedAt: began, omitted: omitted, jobs: map[string]*modelJob{}, lenderUp: true, epoch: 1, lossy: true,
		endCount: map[string]int{}, rng: rand.New(rand.NewPCG(uint64(t.choose("seed", 0, 1<<30)), 1)),
	}
	w.lender = NewLender("east", w.now, modelLease)
	for i, name := range []string{"west", "north"} {
		g := &modelBorrower{name: name, epoch: 1, borrower: NewBorrower(), loans: map[Loan]*modelLoan{}, up: true, drift: []float64{1.0005, 0.9995}[i]}
		w.borrowers = append(w.borrowers, g)
	}
	for i := range 12 {
		w.jobs[fmt.Sprintf("job-%d", i)] = &modelJob{remaining: modelRun}
	}
	steps := t.choose("steps", 200, 500)
	for range steps {
		w.fault(t.choose("fault", 0, 60))
		w.step()
	}
	if omitted != (omittedRules{}) {
		return w
	}
	// Faults are over: everything ends.
	w.lossy = false
	for _, g := range w.borrowers {
		g.draining, g.cutUntil = false, w.now
		if !g.up {
			w.restartBorrower(g)
		}
	}
	if !w.lenderUp {
		w.restartLender()
	}
	for range int(3 * time.Minute / modelStep) {
		for _, j := range w.jobs {
			j.startedAtHome = j.startedAtHome || j.peer == ""
		}
		w.step()
	}
	for id, j := range w.jobs {
		if j.outcome == "" {
			t.fatalf("%s has no end: at %q, loan %d", id, j.peer, j.lendCount)
		}
	}
	for _, g := range w.borrowers {
		if len(g.loans) > 0 {
			t.fatalf("%s still holds %v", g.name, sortedLoans(g.loans))
		}
	}
	return w
}

func (w *modelSim) restartLender() {
	w.epoch++
	w.lender, w.lenderUp = NewLender("east", w.now, modelLease), true
}

func (w *modelSim) fault(k int) {
	g := w.borrowers[k%2]
	switch k / 2 {
	case 0:
		w.lenderUp = false
	case 1, 2:
		if !w.lenderUp {
			w.restartLender()
		}
	case 3:
		if g.up {
			g.up, g.downAt = false, w.now
		}
	case 4, 5:
		if !g.up {
			w.restartBorrower(g)
		}
	case 6:
		// A second leader: the first one goes on for a while without knowing.
		if w.lenderUp {
			w.restartLender()
		}
	case 7:
		if g.up {
			w.restartBorrower(g)
		}
	case 8:
		g.draining = !g.draining
	case 9:
		if j := w.jobs[fmt.Sprintf("job-%d", w.rng.IntN(len(w.jobs)))]; j.outcome == "" && !j.cancelRequested {
			j.cancelRequested = true
			j.version++
		}
	case 10, 11, 12, 13, 14, 15, 16, 17:
		// Lend what has not begun at home.
		j := w.jobs[fmt.Sprintf("job-%d", w.rng.IntN(len(w.jobs)))]
		if w.lenderUp && j.peer == "" && j.outcome == "" && !j.cancelRequested && !j.startedAtHome {
			j.lendCount++
			j.peer = g.name
			j.version++
		}
	case 19, 20:
		g.cutUntil = w.now.Add(time.Duration(5+w.rng.IntN(25)) * time.Second)
	case 18:
		// The guest needs its room back.
		for _, l := range sortedLoans(g.loans) {
			if m := g.loans[l]; g.up && m.state == Held && !m.ending {
				w.borrowerTxn(g, BorrowerTransition{Kind: GiveUp, Loan: l, Cause: GivenBack})
			}
		}
	}
}

// TestModel plays random days of lending: no job runs in two places, none ends
// twice, none is lost, and no guest keeps anything for ever.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulateDay(rapidChooser{t}, omittedRules{}) })
}

// TestModelCoverage says whether the days hold what they are meant for.
func TestModelCoverage(t *testing.T) {
	taken, begun, finished := 0, 0, 0
	for seed := range 50 {
		w := simulateDay(seededChooser{rand.New(rand.NewPCG(uint64(seed), 2))}, omittedRules{})
		taken, begun, finished = taken+w.takenCount, begun+w.startedCount, finished+w.finishedCount
	}
	t.Logf("50 days: %d loans taken, %d begun, %d finished", taken, begun, finished)
	if taken < 100 || begun < 50 || finished < 20 {
		t.Errorf("only %d loans taken, %d begun, %d finished", taken, begun, finished)
	}
}

// TestModelNotices takes one condition out at a time: the model has to see it. The
// search begins at a seed whose day is known to; when the model changes, so do its
// days, and the search goes on from there.
func TestModelNotices(t *testing.T) {
	for _, c := range []struct {
		what string
		bad  omittedRules
		from int
	}{
		{"the guest's own bound is not counted", omittedRules{noStopBound: true}, 21},
		{"any absence is a proof", omittedRules{anyAbsence: true}, 120},
		{"started without being confirmed", omittedRules{unconfirmed: true}, 88},
		{"transactions do not name their leader", omittedRules{unfenced: true}, 952},
		{"a new leader takes leases for fresh ones", omittedRules{freshLeases: true}, 506},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			for seed := range 1000 {
				if dayFails(c.from+seed, c.bad) {
					return
				}
			}
			t.Error("not noticed")
		})
	}
}

// dayFails plays one day of a seed and says whether the model saw a broken rule.
func dayFails(seed int, bad omittedRules) (failed bool) {
	defer func() {
		if recover() != nil {
			failed = true
		}
	}()
	simulateDay(seededChooser{rand.New(rand.NewPCG(uint64(seed), 2))}, bad)
	return false
}
