// Package broker runs lending on one controller: it asks the core what is durable,
// lets internal/overflow decide, has the core make it durable, and speaks with the
// peers. One goroutine owns all of its state. The controller that leads answers the
// peers' reports, for what the cluster lends; the one that runs the guests' team sends
// the cluster's reports, for what it borrows.
package broker

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
)

const (
	// lookEvery is how often the core is asked what is durable; a peer's report is
	// answered at once, with a look of its own.
	lookEvery = time.Second
	// aloneEvery is how often the core is asked where the file names no peers.
	aloneEvery = 10 * time.Second
	// planEvery is how often the queue is played forward to choose offers.
	planEvery = 2 * time.Second
	// renewEvery is how often the times of answered reports are written down.
	renewEvery = 5 * time.Second
	// reportPatience bounds a report to a peer, and corePatience a question to the
	// core.
	reportPatience = 4 * time.Second
	corePatience   = 3 * time.Second
	// unsurePause separates tries of a transaction whose outcome is not known.
	unsurePause = 500 * time.Millisecond
	// queueLen bounds what waits for the loop.
	queueLen = 256
	// restAfterBack is for how long a job that came back stays at home.
	restAfterBack = 30 * time.Second
	// workerLeases and stopSlack make the bound on how long tasks may go on after a
	// loan's end: an owner that has lost the state service answers its workers for
	// one lease, theirs runs one more, and a successor counts a third.
	workerLeases = 3
	stopSlack    = 10 * time.Second
)

// Core is what the broker needs of the server.
type Core interface {
	Ask(ctx context.Context, mk func(reply uint64) core.Command) (core.Effect, error)
	Post(core.Command)
}

// Reporter sends a report to a peer; link.Client is one.
type Reporter interface {
	Report(ctx context.Context, peer, addr string, r overflow.Heartbeat) (overflow.HeartbeatReply, error)
}

// Settings are the broker's, converted from the file under deploy/.
type Settings struct {
	Cluster   string
	GuestTeam string
	Lend      bool
	Borrow    bool
	Every     time.Duration
	Lease     time.Duration
	// WorkerLease is this cluster's own workers' lease, and ClockBound how far the
	// times of day of two controllers may be apart from the truth.
	WorkerLease time.Duration
	ClockBound  time.Duration
	Limits      overflow.Limits
	Peers       map[string][]string
}

// Broker is the lending side of one controller.
type Broker struct {
	ctx    context.Context
	set    Settings
	core   Core
	link   Reporter
	met    *Metrics
	rng    *rand.Rand
	events chan func()
	snap   chan chan Status

	// leads and guests say which side this controller is now, in which term.
	leads, guests bool
	epoch         uint64
	term          int
	home          *overflow.Lender
	guest         *overflow.Borrower
	members       map[string]*overflow.PeerTracker
	view          core.LoanView
	viewed        time.Time
	planned       time.Time
	renewed       time.Time
	waiting       []question
	// busy are loans with a transaction under way.
	busy map[overflow.Loan]bool
	// rest are jobs that came back lately, and progress what peers say of ours.
	rest     map[string]time.Time
	progress map[string]core.Progress
	// late is since when own work has been late.
	late  time.Time
	admit overflow.AdmissionState
}

// question is a peer's report that waits for its answer.
type question struct {
	r   overflow.Heartbeat
	out chan answered
}

type answered struct {
	a   overflow.HeartbeatReply
	err error
}

// New makes a broker, which lives as long as the context. Run starts it.
func New(ctx context.Context, set Settings, c Core, l Reporter, met *Metrics, rng *rand.Rand) *Broker {
	b := &Broker{
		ctx: ctx, set: set, core: c, link: l, met: met, rng: rng,
		events: make(chan func(), queueLen), snap: make(chan chan Status),
	}
	now := time.Now()
	b.newHome(now)
	b.newGuest()
	b.members = map[string]*overflow.PeerTracker{}
	for name, addrs := range set.Peers {
		b.members[name] = overflow.NewPeerTracker(name, addrs, set.Every, now)
	}
	b.busy, b.rest, b.progress = map[overflow.Loan]bool{}, map[string]time.Time{}, map[string]core.Progress{}
	return b
}

// newHome and newGuest forget what holds for one term only.
func (b *Broker) newHome(now time.Time) {
	b.home = overflow.NewLender(b.set.Cluster, now, b.set.Lease)
	b.drop(func(l overflow.Loan) bool { return l.Home == b.set.Cluster })
}

func (b *Broker) newGuest() {
	b.guest = overflow.NewBorrower()
	b.drop(func(l overflow.Loan) bool { return l.Home != b.set.Cluster })
}

// drop forgets transactions under way: whoever decided on them is no more.
func (b *Broker) drop(is func(overflow.Loan) bool) {
	maps.DeleteFunc(b.busy, func(l overflow.Loan, _ bool) bool { return is(l) })
}

// Answer takes a peer's report; it is the link server's handler.
func (b *Broker) Answer(ctx context.Context, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	q := question{r, make(chan answered, 1)}
	select {
	case b.events <- func() { b.waiting = append(b.waiting, q) }:
	default:
		return overflow.HeartbeatReply{}, link.ErrStale
	}
	ctx, cancel := context.WithTimeout(ctx, corePatience)
	defer cancel()
	select {
	case x := <-q.out:
		return x.a, x.err
	case <-ctx.Done():
		return overflow.HeartbeatReply{}, link.ErrStale
	}
}

// Run goes on until the broker's context ends.
func (b *Broker) Run() error {
	ctx := b.ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fn := <-b.events:
			fn()
		case out := <-b.snap:
			out <- b.status(time.Now())
			continue
		case <-timer.C:
		}
		for more := true; more; {
			select {
			case fn := <-b.events:
				fn()
			default:
				more = false
			}
		}
		now := time.Now()
		every := lookEvery
		if len(b.set.Peers) == 0 {
			// Nobody to lend to: only loans from before need to be seen to.
			every = aloneEvery
		}
		if len(b.waiting) > 0 || now.Sub(b.viewed) >= every {
			b.look(ctx)
		}
		timer.Reset(max(10*time.Millisecond, time.Until(b.viewed.Add(every))))
	}
}

// look asks the core what is durable and does what follows from it.
func (b *Broker) look(ctx context.Context) {
	now := time.Now()
	plan := now.Sub(b.planned) >= planEvery && len(b.set.Peers) > 0
	q := core.QueryLoans{StartableUntil: map[string]time.Time{}, WithSimulation: plan, GuestTeam: b.set.GuestTeam}
	for _, x := range b.view.Borrowed {
		if l, ok := parseLoan(x.Loan); ok {
			if u := b.guest.StartableUntil(l); !u.IsZero() {
				q.StartableUntil[x.Job] = u
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.progress)) {
		q.Progress = append(q.Progress, b.progress[id])
	}
	clear(b.progress)
	ctx, cancel := context.WithTimeout(ctx, corePatience)
	defer cancel()
	e, err := b.core.Ask(ctx, func(r uint64) core.Command { q.Reply = r; return q })
	b.viewed = time.Now()
	v, ok := e.(core.LoanView)
	waiting := b.waiting
	b.waiting = nil
	if err != nil || !ok || !v.OK {
		for _, q := range waiting {
			q.out <- answered{err: link.ErrStale}
		}
		return
	}
	if v.IsLeader && (!b.leads || v.Epoch != b.epoch) {
		slog.Info("overflow: answers peers", "epoch", v.Epoch, "lent", len(v.Lent))
		b.newHome(b.viewed)
		b.epoch = v.Epoch
	}
	if v.RunsGuestTeam && (!b.guests || v.GuestTeamTerm != b.term) {
		slog.Info("overflow: borrows", "epoch", v.GuestTeamEpoch, "borrowed", len(v.Borrowed))
		b.newGuest()
		b.term, b.renewed = v.GuestTeamTerm, b.viewed
	}
	b.leads, b.guests = v.IsLeader, v.RunsGuestTeam
	if !plan {
		// What was planned last holds a little longer.
		v.Waiting, v.FreeCapacity, v.CachedImages, v.OwnWorkLate, v.LateUrgency, v.CheapestCPUHour = b.view.Waiting, b.view.FreeCapacity, b.view.CachedImages, b.view.OwnWorkLate, b.view.LateUrgency, b.view.CheapestCPUHour
	}
	b.view = v
	b.step(plan, waiting)
}

// step does what the fresh view asks for.
func (b *Broker) step(planned bool, waiting []question) {
	now := b.viewed
	hv, gv := b.homeView(), b.guestView()
	for _, q := range waiting {
		if !b.leads {
			q.out <- answered{err: link.ErrNotLeader}
			continue
		}
		q.out <- b.answer(now, hv, q.r)
	}
	if b.leads {
		for _, op := range b.home.ExpiredLoans(now, hv) {
			if m := b.members[b.peerOf(op.Loan)]; m != nil {
				m.NoteBroken(now)
			}
			b.homeOp(op)
		}
	}
	if b.guests {
		for _, x := range gv.Borrowed {
			b.guest.NoteAccepted(x.Loan, true)
		}
		for _, op := range b.guest.ExpiredLoans(now, b.set.Lease, gv) {
			b.guestOp(op)
		}
	}
	if planned {
		b.planned = now
		b.plan(now, gv)
	}
	if b.guests && now.Sub(b.renewed) >= renewEvery {
		b.renewed = now
		if r := b.guest.Renewals(b.set.Lease, gv); len(r) > 0 {
			b.core.Post(core.RenewCommand{RenewedAt: r})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.members)) {
		m := b.members[name]
		if s, changed := m.StateChanged(now); changed {
			slog.Info("overflow: peer", "cluster", name, "state", s, "trust", m.Trust(now))
		}
		if !b.guests {
			continue
		}
		if addr, due := m.NextRequest(now); due {
			b.report(now, name, addr, gv)
		}
	}
	b.met.loans(b.view)
}

func (b *Broker) peerOf(l overflow.Loan) string {
	for _, x := range b.view.Lent {
		if x.Spec.ID == l.Job && x.LendCount == l.LendCount {
			return x.Peer
		}
	}
	return ""
}

// answer takes one report of a guest in.
func (b *Broker) answer(now time.Time, hv overflow.LenderView, r overflow.Heartbeat) answered {
	m := b.members[r.From]
	if m == nil {
		return answered{err: link.ErrStale}
	}
	a, ops, ok := b.home.HandleHeartbeat(now, hv, r)
	if !ok {
		return answered{err: link.ErrStale}
	}
	m.NoteHeartbeat(now, r)
	for _, l := range r.Loans {
		if l.Loan.Home == b.set.Cluster && l.State == overflow.Held {
			b.progress[l.Loan.Job] = core.Progress{ID: l.Loan.Job, Done: l.DoneTasks, Running: l.RunningTasks}
		}
		if l.State == overflow.Gone && l.Cause == overflow.NoRoom && slices.ContainsFunc(ops, func(op overflow.LenderTransition) bool { return op.Loan == l.Loan }) {
			m.NoteBroken(now)
		}
	}
	for _, op := range ops {
		b.homeOp(op)
	}
	return answered{a: a}
}

// report sends a report to a peer, beside the loop.
func (b *Broker) report(now time.Time, peer, addr string, gv overflow.BorrowerView) {
	r := b.guest.NewHeartbeat(now, b.set.Cluster, peer, gv)
	if !b.set.Borrow {
		r.FreeCapacity = nil
	}
	guest, m := b.guest, b.members[peer]
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, reportPatience)
		defer cancel()
		a, err := b.link.Report(ctx, peer, addr, r)
		took := time.Since(now)
		b.post(func() {
			b.met.answered(peer, err, took)
			switch now := time.Now(); {
			case errors.Is(err, link.ErrNotLeader):
				m.NoteRedirect(now, "")
			case err != nil:
				slog.Debug("overflow: no answer", "peer", peer, "addr", addr, "err", err)
				m.NoteFailure(now, b.rng)
			default:
				m.NoteReply(now, took, b.rng)
				if b.guest == guest && b.guests {
					b.told(peer, r.Sequence, a)
				}
			}
		})
	}()
}

// post hands something to the loop, unless all ends.
func (b *Broker) post(fn func()) {
	select {
	case b.events <- fn:
	case <-b.ctx.Done():
	}
}

// told takes a home's answer in.
func (b *Broker) told(peer string, tick uint64, a overflow.HeartbeatReply) {
	gv := b.guestView()
	for _, op := range b.guest.HandleReply(peer, tick, a, gv, b.accept) {
		b.guestOp(op)
	}
}

// accept says whether a peer's job is taken in.
func (b *Broker) accept(o overflow.Command) overflow.Cause {
	switch {
	case !b.set.Borrow:
		return overflow.Refused
	case b.view.Draining:
		return overflow.Draining
	}
	why := overflow.Admit(o, &b.admit, b.set.Limits)
	if why != "" {
		b.met.refused(why)
	}
	return why
}

// plan chooses what to lend and what to give back.
func (b *Broker) plan(now time.Time, gv overflow.BorrowerView) {
	v := &b.view
	if !v.OwnWorkLate {
		b.late = time.Time{}
	} else if b.late.IsZero() {
		b.late = now
	}
	b.admit = overflow.AdmissionState{LoansIn: len(v.Borrowed), FreeCapacity: gv.FreeCapacity, OwnWorkLate: v.OwnWorkLate, LateUrgency: v.LateUrgency}
	p := overflow.Pressure{OwnWorkLate: v.OwnWorkLate, LateUrgency: v.LateUrgency, DrainIn: -1}
	if v.OwnWorkLate {
		p.LateFor = now.Sub(b.late)
	}
	if v.Draining {
		p.DrainIn = max(0, time.Until(v.DrainDeadline))
	}
	rest := func(x overflow.BorrowedLoan) time.Duration { return x.Spec.ExpectedRunTime }
	for _, l := range overflow.ChooseGiveBacks(gv.Borrowed, p, rest) {
		why := overflow.GivenBack
		if v.Draining {
			why = overflow.Draining
		}
		b.guestOp(overflow.BorrowerTransition{Kind: overflow.GiveUp, Loan: l, Cause: why})
	}
	if !b.set.Lend || v.Draining || !b.leads {
		return
	}
	for job, at := range b.rest {
		if now.Sub(at) > restAfterBack {
			delete(b.rest, job)
		}
	}
	var cs []overflow.Candidate
	for _, w := range v.Waiting {
		_, rest := b.rest[w.Spec.ID]
		cs = append(cs, overflow.Candidate{
			Job: w.Spec.ID, Spec: w.Spec, SLODue: w.SLODue, HomeFinish: w.HomeFinish, RunTime: w.RunTime, LendCount: w.LendCount, CoolingDown: rest,
		})
	}
	out := map[string]int{}
	for _, l := range v.Lent {
		out[l.Peer]++
	}
	var ps []overflow.PeerSnapshot
	for _, name := range slices.Sorted(maps.Keys(b.members)) {
		ps = append(ps, b.members[name].Snapshot(now, out[name]))
	}
	for _, o := range overflow.ChooseOffers(cs, ps, b.set.Limits, v.CheapestCPUHour) {
		i := slices.IndexFunc(cs, func(c overflow.Candidate) bool { return c.Job == o.Job })
		l := overflow.Loan{Home: b.set.Cluster, Job: o.Job, LendCount: cs[i].LendCount + 1}
		slog.Info("overflow: lends", "loan", l, "peer", o.Peer, "why", o.Reason, "there_in", o.PeerFinish, "here_in", cs[i].HomeFinish, "aim_in", cs[i].SLODue)
		b.homeOp(overflow.LenderTransition{Kind: overflow.Lend, Loan: l, Peer: o.Peer, StopBound: b.members[o.Peer].StopBound()})
	}
}

// homeOp has one step of a loan of ours made durable.
func (b *Broker) homeOp(op overflow.LenderTransition) {
	kind := map[overflow.LenderTransitionKind]core.LoanCommandKind{
		overflow.Lend: core.LoanLend, overflow.TakeBack: core.LoanTakeBack, overflow.Settle: core.LoanSettle, overflow.EndCancelled: core.LoanEndCancelled,
	}[op.Kind]
	if op.Kind != overflow.Lend {
		slog.Info("overflow: loan ends", "loan", op.Loan, "how", op.Kind, "cause", op.Cause)
		b.met.ended(op)
	}
	home := b.home
	if b.busy[op.Loan] {
		// An earlier step is still being written: decided again when it is known.
		home.CloseFailed(op.Loan)
		return
	}
	b.do(op.Loan, core.LoanCommand{Kind: kind, Job: op.Loan.Job, Loan: op.Loan.String(), LendCount: op.Loan.LendCount, Peer: op.Peer, StopBound: op.StopBound, Cause: string(op.Cause)}, func(s core.LoanStatus) {
		if b.home != home {
			return
		}
		if s == core.LoanNotApplied {
			home.CloseFailed(op.Loan)
		}
		if op.Kind == overflow.TakeBack && s == core.LoanDurable {
			b.rest[op.Loan.Job] = time.Now()
		}
	})
}

// guestOp has one step of a peer's loan made durable.
func (b *Broker) guestOp(op overflow.BorrowerTransition) {
	kind := map[overflow.BorrowerTransitionKind]core.LoanCommandKind{
		overflow.Accept: core.LoanAccept, overflow.GiveUp: core.LoanGiveUp, overflow.Drop: core.LoanDrop,
	}[op.Kind]
	spec := op.Spec
	spec.ID, spec.Team = op.Loan.OffloadedJobID(), b.set.GuestTeam
	slog.Info("overflow: borrowed", "loan", op.Loan, "what", op.Kind, "cause", op.Cause)
	guest := b.guest
	b.do(op.Loan, core.LoanCommand{Kind: kind, Job: spec.ID, Loan: op.Loan.String(), Spec: spec, Age: op.Age, Cause: string(op.Cause)}, func(s core.LoanStatus) {
		if b.guest == guest && op.Kind == overflow.Accept && s == core.LoanNotApplied {
			// Durable ones are told once a view shows them, so that no report
			// can leave them out.
			guest.NoteAccepted(op.Loan, false)
		}
	})
}

// do runs a transaction until its outcome is known. One at a time for a loan.
func (b *Broker) do(l overflow.Loan, op core.LoanCommand, over func(core.LoanStatus)) {
	if b.busy[l] {
		return
	}
	b.busy[l] = true
	home, guest := b.home, b.guest
	go func() {
		for b.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(b.ctx, corePatience)
			e, err := b.core.Ask(ctx, func(r uint64) core.Command { op.Reply = r; return op })
			cancel()
			if d, ok := e.(core.LoanReply); ok && err == nil && d.Status != core.LoanUncertain {
				b.post(func() {
					if b.home == home && b.guest == guest {
						delete(b.busy, l)
						over(d.Status)
					}
				})
				return
			}
			time.Sleep(unsurePause)
		}
	}()
}

func (b *Broker) homeView() overflow.LenderView {
	hv := overflow.LenderView{Epoch: b.view.Epoch, LeaseValidUntil: b.view.LeaseValidUntil}
	for _, x := range b.view.Lent {
		hv.Lent = append(hv.Lent, overflow.LentLoan{
			Loan: overflow.Loan{Home: b.set.Cluster, Job: x.Spec.ID, LendCount: x.LendCount}, Peer: x.Peer, Spec: x.Spec, SubmittedAt: x.SubmittedAt, StopBound: x.StopBound, CancelRequested: x.CancelRequested,
		})
	}
	return hv
}

func (b *Broker) guestView() overflow.BorrowerView {
	v := &b.view
	gv := overflow.BorrowerView{
		Epoch: v.GuestTeamEpoch, Draining: v.Draining, LendsItself: len(v.Lent) > 0 || v.OwnWorkLate,
		StopBound: workerLeases*b.set.WorkerLease + stopSlack, CachedImages: v.CachedImages, RenewedAt: map[string]time.Time{},
	}
	for home, t := range v.RenewedAt {
		// Written by another controller's clock: neither is sure of the time of day.
		gv.RenewedAt[home] = t.Add(-2 * b.set.ClockBound)
	}
	for _, r := range v.FreeCapacity {
		gv.FreeCapacity = append(gv.FreeCapacity, overflow.FreeCapacity{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, PerMachine: r.PerMachine, Machines: r.Machines, AvailableIn: r.AvailableIn, CostPerCPUHour: r.CostPerCPUHour, FetchRate: r.FetchRate})
	}
	for _, x := range v.Borrowed {
		l, ok := parseLoan(x.Loan)
		if !ok {
			continue
		}
		y := overflow.BorrowedLoan{Loan: l, Spec: x.Spec, Ending: x.Ending, Started: x.Started, DoneTasks: x.DoneTasks, RunningTasks: x.RunningTasks, Cause: overflow.Cause(x.Cause)}
		switch {
		case x.StatusKnown && x.Status == core.Done:
			y.State = overflow.Finished
		case x.StatusKnown && x.Status == core.Cancelled:
			y.State = overflow.Gone
		}
		gv.Borrowed = append(gv.Borrowed, y)
	}
	return gv
}

// parseLoan reads a loan's name, as it stands in keys.
func parseLoan(s string) (overflow.Loan, bool) {
	p := strings.Split(s, "/")
	if len(p) != 3 {
		return overflow.Loan{}, false
	}
	n := uint64(0)
	for _, ch := range p[2] {
		if ch < '0' || ch > '9' {
			return overflow.Loan{}, false
		}
		n = n*10 + uint64(ch-'0')
	}
	return overflow.Loan{Home: p[0], Job: p[1], LendCount: n}, true
}
