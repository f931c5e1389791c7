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

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
)

const (
	// pollInterval is how often the core is asked what is durable; a peer's report is
	// answered at once, with a look of its own.
	pollInterval = time.Second
	// idlePollInterval is how often the core is asked where the file names no peers.
	idlePollInterval = 10 * time.Second
	// planInterval is how often the queue is played forward to choose offers.
	planInterval = 2 * time.Second
	// renewEvery is how often the times of answered reports are written down.
	renewEvery = 5 * time.Second
	// heartbeatTimeout bounds a report to a peer, and controllerTimeout a question to the
	// core.
	heartbeatTimeout  = 4 * time.Second
	controllerTimeout = 3 * time.Second
	// uncertainRetryPause separates tries of a transaction whose outcome is not known.
	uncertainRetryPause = 500 * time.Millisecond
	// queueLen bounds what waits for the loop.
	queueLen = 256
	// giveBackCooldown is for how long a job that came back stays at home.
	giveBackCooldown = 30 * time.Second
	// workerLeaseCount and stopMargin make the bound on how long tasks may go on after a
	// loan's end: an owner that has lost the state service answers its workers for
	// one lease, theirs runs one more, and a successor counts a third.
	workerLeaseCount = 3
	stopMargin       = 10 * time.Second
)

// Controller is what the broker needs of the server.
type Controller interface {
	Ask(ctx context.Context, mk func(reply uint64) message.Command) (message.Effect, error)
	Post(message.Command)
}

// HeartbeatSender sends a report to a peer; link.Client is one.
type HeartbeatSender interface {
	SendHeartbeat(ctx context.Context, peer, addr string, r overflow.Heartbeat) (overflow.HeartbeatReply, error)
}

// Settings are the broker's, converted from the file under deploy/.
type Settings struct {
	Cluster           string
	GuestTeam         string
	LendEnabled       bool
	BorrowEnabled     bool
	HeartbeatInterval time.Duration
	LoanLease         time.Duration
	// WorkerLease is this cluster's own workers' lease, and ClockBound how far the
	// times of day of two controllers may be apart from the truth.
	WorkerLease time.Duration
	ClockBound  time.Duration
	Limits      overflow.Limits
	Peers       map[string][]string
}

// Broker is the lending side of one controller.
type Broker struct {
	ctx            context.Context
	settings       Settings
	controller     Controller
	sender         HeartbeatSender
	metrics        *Metrics
	rng            *rand.Rand
	events         chan func()
	statusRequests chan chan Status

	// isLeader and guests say which side this controller is now, in which term.
	isLeader, runsGuestTeam bool
	epoch                   uint64
	term                    int
	lender                  *overflow.Lender
	borrower                *overflow.Borrower
	peers                   map[string]*overflow.PeerTracker
	view                    message.LoanView
	viewedAt                time.Time
	plannedAt               time.Time
	renewedAt               time.Time
	pendingHeartbeats       []pendingHeartbeat
	// inFlight are loans with a transaction under way.
	inFlight map[overflow.Loan]bool
	// returnedAt are jobs that came back lately, and progress what peers say of ours.
	returnedAt map[string]time.Time
	progress   map[string]message.Progress
	// lateSince is since when own work has been late.
	lateSince time.Time
	admission overflow.AdmissionState
}

// pendingHeartbeat is a peer's report that waits for its answer.
type pendingHeartbeat struct {
	heartbeat overflow.Heartbeat
	result    chan heartbeatResult
}

type heartbeatResult struct {
	reply overflow.HeartbeatReply
	err   error
}

// New makes a broker, which lives as long as the context. Run starts it.
func New(ctx context.Context, settings Settings, c Controller, l HeartbeatSender, met *Metrics, rng *rand.Rand) *Broker {
	b := &Broker{
		ctx: ctx, settings: settings, controller: c, sender: l, metrics: met, rng: rng,
		events: make(chan func(), queueLen), statusRequests: make(chan chan Status),
	}
	now := time.Now()
	b.resetLender(now)
	b.resetBorrower()
	b.peers = map[string]*overflow.PeerTracker{}
	for name, addrs := range settings.Peers {
		b.peers[name] = overflow.NewPeerTracker(name, addrs, settings.HeartbeatInterval, now)
	}
	b.inFlight, b.returnedAt, b.progress = map[overflow.Loan]bool{}, map[string]time.Time{}, map[string]message.Progress{}
	return b
}

// resetLender and resetBorrower forget what holds for one term only.
func (b *Broker) resetLender(now time.Time) {
	b.lender = overflow.NewLender(b.settings.Cluster, now, b.settings.LoanLease)
	b.dropInFlight(func(l overflow.Loan) bool { return l.Home == b.settings.Cluster })
}

func (b *Broker) resetBorrower() {
	b.borrower = overflow.NewBorrower()
	b.dropInFlight(func(l overflow.Loan) bool { return l.Home != b.settings.Cluster })
}

// dropInFlight forgets transactions under way: whoever decided on them is no more.
func (b *Broker) dropInFlight(is func(overflow.Loan) bool) {
	maps.DeleteFunc(b.inFlight, func(l overflow.Loan, _ bool) bool { return is(l) })
}

// HandleHeartbeat takes a peer's report; it is the link server's handler.
func (b *Broker) HandleHeartbeat(ctx context.Context, r overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	q := pendingHeartbeat{r, make(chan heartbeatResult, 1)}
	select {
	case b.events <- func() { b.pendingHeartbeats = append(b.pendingHeartbeats, q) }:
	default:
		return overflow.HeartbeatReply{}, link.ErrStale
	}
	ctx, cancel := context.WithTimeout(ctx, controllerTimeout)
	defer cancel()
	select {
	case x := <-q.result:
		return x.reply, x.err
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
		case out := <-b.statusRequests:
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
		every := pollInterval
		if len(b.settings.Peers) == 0 {
			// Nobody to lend to: only loans from before need to be seen to.
			every = idlePollInterval
		}
		if len(b.pendingHeartbeats) > 0 || now.Sub(b.viewedAt) >= every {
			b.poll(ctx)
		}
		timer.Reset(max(10*time.Millisecond, time.Until(b.viewedAt.Add(every))))
	}
}

// poll asks the core what is durable and does what follows from it.
func (b *Broker) poll(ctx context.Context) {
	now := time.Now()
	withSimulation := now.Sub(b.plannedAt) >= planInterval && len(b.settings.Peers) > 0
	q := message.QueryLoans{StartableUntil: map[string]time.Time{}, WithSimulation: withSimulation, GuestTeam: b.settings.GuestTeam}
	for _, x := range b.view.Borrowed {
		if l, ok := parseLoan(x.Loan); ok {
			if u := b.borrower.StartableUntil(l); !u.IsZero() {
				q.StartableUntil[x.Job] = u
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.progress)) {
		q.Progress = append(q.Progress, b.progress[id])
	}
	clear(b.progress)
	ctx, cancel := context.WithTimeout(ctx, controllerTimeout)
	defer cancel()
	e, err := b.controller.Ask(ctx, func(r uint64) message.Command { q.Reply = r; return q })
	b.viewedAt = time.Now()
	v, ok := e.(message.LoanView)
	waiting := b.pendingHeartbeats
	b.pendingHeartbeats = nil
	if err != nil || !ok || !v.OK {
		for _, q := range waiting {
			q.result <- heartbeatResult{err: link.ErrStale}
		}
		return
	}
	if v.IsLeader && (!b.isLeader || v.Epoch != b.epoch) {
		slog.Info("overflow: answers peers", "epoch", v.Epoch, "lent", len(v.Lent))
		b.resetLender(b.viewedAt)
		b.epoch = v.Epoch
	}
	if v.RunsGuestTeam && (!b.runsGuestTeam || v.GuestTeamTerm != b.term) {
		slog.Info("overflow: borrows", "epoch", v.GuestTeamEpoch, "borrowed", len(v.Borrowed))
		b.resetBorrower()
		b.term, b.renewedAt = v.GuestTeamTerm, b.viewedAt
	}
	b.isLeader, b.runsGuestTeam = v.IsLeader, v.RunsGuestTeam
	if !withSimulation {
		// What was planned last holds a little longer.
		v.Waiting, v.FreeCapacity, v.CachedImages, v.OwnWorkLate, v.LateUrgency, v.CheapestCPUHour = b.view.Waiting, b.view.FreeCapacity, b.view.CachedImages, b.view.OwnWorkLate, b.view.LateUrgency, b.view.CheapestCPUHour
	}
	b.view = v
	b.advance(withSimulation, waiting)
}

// advance does what the fresh view asks for.
func (b *Broker) advance(simulated bool, waiting []pendingHeartbeat) {
	now := b.viewedAt
	lenderView, borrowerView := b.lenderView(), b.borrowerView()
	for _, q := range waiting {
		if !b.isLeader {
			q.result <- heartbeatResult{err: link.ErrNotLeader}
			continue
		}
		q.result <- b.answerHeartbeat(now, lenderView, q.heartbeat)
	}
	if b.isLeader {
		for _, op := range b.lender.ExpiredLoans(now, lenderView) {
			if m := b.peers[b.peerOf(op.Loan)]; m != nil {
				m.NoteBroken(now)
			}
			b.commitLenderTransition(op)
		}
	}
	if b.runsGuestTeam {
		for _, x := range borrowerView.Borrowed {
			b.borrower.NoteAccepted(x.Loan, true)
		}
		for _, op := range b.borrower.ExpiredLoans(now, b.settings.LoanLease, borrowerView) {
			b.commitBorrowerTransition(op)
		}
	}
	if simulated {
		b.plannedAt = now
		b.planLoans(now, borrowerView)
	}
	if b.runsGuestTeam && now.Sub(b.renewedAt) >= renewEvery {
		b.renewedAt = now
		if r := b.borrower.Renewals(b.settings.LoanLease, borrowerView); len(r) > 0 {
			b.controller.Post(message.RenewCommand{RenewedAt: r})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		m := b.peers[name]
		if s, changed := m.StateChanged(now); changed {
			slog.Info("overflow: peer", "cluster", name, "state", s, "trust", m.Trust(now))
		}
		if !b.runsGuestTeam {
			continue
		}
		if addr, due := m.NextRequest(now); due {
			b.sendHeartbeat(now, name, addr, borrowerView)
		}
	}
	b.metrics.setLoans(b.view)
}

func (b *Broker) peerOf(l overflow.Loan) string {
	for _, x := range b.view.Lent {
		if x.Spec.ID == l.Job && x.LendCount == l.LendCount {
			return x.Peer
		}
	}
	return ""
}

// answerHeartbeat takes one report of a guest in.
func (b *Broker) answerHeartbeat(now time.Time, lenderView overflow.LenderView, heartbeat overflow.Heartbeat) heartbeatResult {
	m := b.peers[heartbeat.From]
	if m == nil {
		return heartbeatResult{err: link.ErrStale}
	}
	a, ops, ok := b.lender.HandleHeartbeat(now, lenderView, heartbeat)
	if !ok {
		return heartbeatResult{err: link.ErrStale}
	}
	m.NoteHeartbeat(now, heartbeat)
	for _, l := range heartbeat.Loans {
		if l.Loan.Home == b.settings.Cluster && l.State == overflow.Held {
			b.progress[l.Loan.Job] = message.Progress{ID: l.Loan.Job, Done: l.DoneTasks, Running: l.RunningTasks}
		}
		if l.State == overflow.Gone && l.Cause == overflow.NoRoom && slices.ContainsFunc(ops, func(op overflow.LenderTransition) bool { return op.Loan == l.Loan }) {
			m.NoteBroken(now)
		}
	}
	for _, op := range ops {
		b.commitLenderTransition(op)
	}
	return heartbeatResult{reply: a}
}

// sendHeartbeat sends a report to a peer, beside the loop.
func (b *Broker) sendHeartbeat(now time.Time, peer, addr string, borrowerView overflow.BorrowerView) {
	heartbeat := b.borrower.NewHeartbeat(now, b.settings.Cluster, peer, borrowerView)
	if !b.settings.BorrowEnabled {
		heartbeat.FreeCapacity = nil
	}
	guest, tracker := b.borrower, b.peers[peer]
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, heartbeatTimeout)
		defer cancel()
		a, err := b.sender.SendHeartbeat(ctx, peer, addr, heartbeat)
		took := time.Since(now)
		b.enqueue(func() {
			b.metrics.observeReply(peer, err, took)
			switch now := time.Now(); {
			case errors.Is(err, link.ErrNotLeader):
				tracker.NoteRedirect(now, "")
			case err != nil:
				slog.Debug("overflow: no answer", "peer", peer, "addr", addr, "err", err)
				tracker.NoteFailure(now, b.rng)
			default:
				tracker.NoteReply(now, took, b.rng)
				if b.borrower == guest && b.runsGuestTeam {
					b.handleReply(peer, heartbeat.Sequence, a)
				}
			}
		})
	}()
}

// enqueue hands something to the loop, unless all ends.
func (b *Broker) enqueue(fn func()) {
	select {
	case b.events <- fn:
	case <-b.ctx.Done():
	}
}

// handleReply takes a home's answer in.
func (b *Broker) handleReply(peer string, tick uint64, a overflow.HeartbeatReply) {
	borrowerView := b.borrowerView()
	for _, op := range b.borrower.HandleReply(peer, tick, a, borrowerView, b.admitLoan) {
		b.commitBorrowerTransition(op)
	}
}

// admitLoan says whether a peer's job is taken in.
func (b *Broker) admitLoan(o overflow.Command) overflow.Cause {
	switch {
	case !b.settings.BorrowEnabled:
		return overflow.Refused
	case b.view.Draining:
		return overflow.Draining
	}
	why := overflow.Admit(o, &b.admission, b.settings.Limits)
	if why != "" {
		b.metrics.countRefusal(why)
	}
	return why
}

// planLoans chooses what to lend and what to give back.
func (b *Broker) planLoans(now time.Time, borrowerView overflow.BorrowerView) {
	v := &b.view
	if !v.OwnWorkLate {
		b.lateSince = time.Time{}
	} else if b.lateSince.IsZero() {
		b.lateSince = now
	}
	b.admission = overflow.AdmissionState{LoansIn: len(v.Borrowed), FreeCapacity: borrowerView.FreeCapacity, OwnWorkLate: v.OwnWorkLate, LateUrgency: v.LateUrgency}
	pressure := overflow.Pressure{OwnWorkLate: v.OwnWorkLate, LateUrgency: v.LateUrgency, DrainIn: -1}
	if v.OwnWorkLate {
		pressure.LateFor = now.Sub(b.lateSince)
	}
	if v.Draining {
		pressure.DrainIn = max(0, time.Until(v.DrainDeadline))
	}
	rest := func(x overflow.BorrowedLoan) time.Duration { return x.Spec.ExpectedRunTime }
	for _, l := range overflow.ChooseGiveBacks(borrowerView.Borrowed, pressure, rest) {
		why := overflow.GivenBack
		if v.Draining {
			why = overflow.Draining
		}
		b.commitBorrowerTransition(overflow.BorrowerTransition{Kind: overflow.GiveUp, Loan: l, Cause: why})
	}
	if !b.settings.LendEnabled || v.Draining || !b.isLeader {
		return
	}
	for job, at := range b.returnedAt {
		if now.Sub(at) > giveBackCooldown {
			delete(b.returnedAt, job)
		}
	}
	var candidates []overflow.Candidate
	for _, w := range v.Waiting {
		_, rest := b.returnedAt[w.Spec.ID]
		candidates = append(candidates, overflow.Candidate{
			Job: w.Spec.ID, Spec: w.Spec, SLODue: w.SLODue, HomeFinish: w.HomeFinish, RunTime: w.RunTime, LendCount: w.LendCount, CoolingDown: rest,
		})
	}
	out := map[string]int{}
	for _, l := range v.Lent {
		out[l.Peer]++
	}
	var peers []overflow.PeerSnapshot
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		peers = append(peers, b.peers[name].Snapshot(now, out[name]))
	}
	for _, o := range overflow.ChooseOffers(candidates, peers, b.settings.Limits, v.CheapestCPUHour) {
		i := slices.IndexFunc(candidates, func(c overflow.Candidate) bool { return c.Job == o.Job })
		l := overflow.Loan{Home: b.settings.Cluster, Job: o.Job, LendCount: candidates[i].LendCount + 1}
		slog.Info("overflow: lends", "loan", l, "peer", o.Peer, "why", o.Reason, "there_in", o.PeerFinish, "here_in", candidates[i].HomeFinish, "aim_in", candidates[i].SLODue)
		b.commitLenderTransition(overflow.LenderTransition{Kind: overflow.Lend, Loan: l, Peer: o.Peer, StopBound: b.peers[o.Peer].StopBound()})
	}
}

// commitLenderTransition has one step of a loan of ours made durable.
func (b *Broker) commitLenderTransition(transition overflow.LenderTransition) {
	kind := map[overflow.LenderTransitionKind]message.LoanCommandKind{
		overflow.Lend: message.LoanLend, overflow.TakeBack: message.LoanTakeBack, overflow.Settle: message.LoanSettle, overflow.EndCancelled: message.LoanEndCancelled,
	}[transition.Kind]
	if transition.Kind != overflow.Lend {
		slog.Info("overflow: loan ends", "loan", transition.Loan, "how", transition.Kind, "cause", transition.Cause)
		b.metrics.countEnd(transition)
	}
	lender := b.lender
	if b.inFlight[transition.Loan] {
		// An earlier step is still being written: decided again when it is known.
		lender.CloseFailed(transition.Loan)
		return
	}
	b.commit(transition.Loan, message.LoanCommand{Kind: kind, Job: transition.Loan.Job, Loan: transition.Loan.String(), LendCount: transition.Loan.LendCount, Peer: transition.Peer, StopBound: transition.StopBound, Cause: string(transition.Cause)}, func(s message.LoanStatus) {
		if b.lender != lender {
			return
		}
		if s == message.LoanNotApplied {
			lender.CloseFailed(transition.Loan)
		}
		if transition.Kind == overflow.TakeBack && s == message.LoanDurable {
			b.returnedAt[transition.Loan.Job] = time.Now()
		}
	})
}

// commitBorrowerTransition has one step of a peer's loan made durable.
func (b *Broker) commitBorrowerTransition(transition overflow.BorrowerTransition) {
	kind := map[overflow.BorrowerTransitionKind]message.LoanCommandKind{
		overflow.Accept: message.LoanAccept, overflow.GiveUp: message.LoanGiveUp, overflow.Drop: message.LoanDrop,
	}[transition.Kind]
	spec := transition.Spec
	spec.ID, spec.Team = transition.Loan.OffloadedJobID(), b.settings.GuestTeam
	slog.Info("overflow: borrowed", "loan", transition.Loan, "what", transition.Kind, "cause", transition.Cause)
	borrower := b.borrower
	b.commit(transition.Loan, message.LoanCommand{Kind: kind, Job: spec.ID, Loan: transition.Loan.String(), Spec: spec, Age: transition.Age, Cause: string(transition.Cause)}, func(s message.LoanStatus) {
		if b.borrower == borrower && transition.Kind == overflow.Accept && s == message.LoanNotApplied {
			// Durable ones are told once a view shows them, so that no report
			// can leave them out.
			borrower.NoteAccepted(transition.Loan, false)
		}
	})
}

// commit runs a transaction until its outcome is known. One at a time for a loan.
func (b *Broker) commit(l overflow.Loan, op message.LoanCommand, onDone func(message.LoanStatus)) {
	if b.inFlight[l] {
		return
	}
	b.inFlight[l] = true
	lender, borrower := b.lender, b.borrower
	go func() {
		for b.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(b.ctx, controllerTimeout)
			e, err := b.controller.Ask(ctx, func(r uint64) message.Command { op.Reply = r; return op })
			cancel()
			if d, ok := e.(message.LoanReply); ok && err == nil && d.Status != message.LoanUncertain {
				b.enqueue(func() {
					if b.lender == lender && b.borrower == borrower {
						delete(b.inFlight, l)
						onDone(d.Status)
					}
				})
				return
			}
			time.Sleep(uncertainRetryPause)
		}
	}()
}

func (b *Broker) lenderView() overflow.LenderView {
	hv := overflow.LenderView{Epoch: b.view.Epoch, LeaseValidUntil: b.view.LeaseValidUntil}
	for _, x := range b.view.Lent {
		hv.Lent = append(hv.Lent, overflow.LentLoan{
			Loan: overflow.Loan{Home: b.settings.Cluster, Job: x.Spec.ID, LendCount: x.LendCount}, Peer: x.Peer, Spec: x.Spec, SubmittedAt: x.SubmittedAt, StopBound: x.StopBound, CancelRequested: x.CancelRequested,
		})
	}
	return hv
}

func (b *Broker) borrowerView() overflow.BorrowerView {
	v := &b.view
	view := overflow.BorrowerView{
		Epoch: v.GuestTeamEpoch, Draining: v.Draining, LendsItself: len(v.Lent) > 0 || v.OwnWorkLate,
		StopBound: workerLeaseCount*b.settings.WorkerLease + stopMargin, CachedImages: v.CachedImages, RenewedAt: map[string]time.Time{},
	}
	for home, t := range v.RenewedAt {
		// Written by another controller's clock: neither is sure of the time of day.
		view.RenewedAt[home] = t.Add(-2 * b.settings.ClockBound)
	}
	for _, r := range v.FreeCapacity {
		view.FreeCapacity = append(view.FreeCapacity, overflow.FreeCapacity{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, PerMachine: r.PerMachine, Machines: r.Machines, AvailableIn: r.AvailableIn, CostPerCPUHour: r.CostPerCPUHour, FetchRate: r.FetchRate})
	}
	for _, x := range v.Borrowed {
		l, ok := parseLoan(x.Loan)
		if !ok {
			continue
		}
		y := overflow.BorrowedLoan{Loan: l, Spec: x.Spec, Ending: x.Ending, Started: x.Started, DoneTasks: x.DoneTasks, RunningTasks: x.RunningTasks, Cause: overflow.Cause(x.Cause)}
		switch {
		case x.StatusKnown && x.Status == model.Done:
			y.State = overflow.Finished
		case x.StatusKnown && x.Status == model.Cancelled:
			y.State = overflow.Gone
		}
		view.Borrowed = append(view.Borrowed, y)
	}
	return view
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
