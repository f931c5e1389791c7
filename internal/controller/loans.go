package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// Jobs lent to peers and borrowed from them. What is decided about them is in
// internal/overflow; here are the transactions that make it so. A lent job keeps
// its record in open/, which says who has it: whatever would start its tasks at
// home names that record's stamp. A borrowed one is a job like any other in the
// guests' team, which may start only while its home has lately said so.

// loanState is what of a job concerns lending.
type loanState struct {
	// lentTo is the peer that has it, or "". lending: that is being written.
	lentTo          string
	lendCount       uint64
	cancelRequested bool
	lending         bool
	// borrowedLoan is the loan by which it is here, and startable until when its tasks
	// may be started.
	borrowedLoan   string
	startableUntil time.Time
}

func (l *loanState) elsewhere() bool { return l.lentTo != "" || l.lending || l.cancelRequested }

// mayStart says whether tasks may be started now: of a borrowed job only while
// the home has lately called it ours, as it may have taken it back.
func (l *loanState) mayStart(now time.Time) bool {
	return l.borrowedLoan == "" || now.Before(l.startableUntil)
}

func (l *loanState) setLoanFrom(r *openJobRecord) {
	l.lentTo, l.lendCount, l.cancelRequested, l.borrowedLoan = r.LentTo, r.LendCount, r.CancelRequested, r.BorrowedLoan
}

// LoanCommandKind is what is to be made durable.
type LoanCommandKind int

// The kinds: of our own jobs, that a peer has one, that it is ours again, that
// the peer has done it, and that it ended as its user wanted; of a peer's, that it
// is taken in, given up, and forgotten.
const (
	LoanLend LoanCommandKind = iota
	LoanTakeBack
	LoanSettle
	LoanEndCancelled
	LoanAccept
	LoanGiveUp
	LoanDrop
)

// LoanCommand asks for one transaction. Job is our own job, or the guest id of a
// borrowed one, and Loan the loan's name.
type LoanCommand struct {
	Reply     uint64
	Kind      LoanCommandKind
	Job       string
	Loan      string
	LendCount uint64
	// Peer and Stop go with LoanLend; Spec, Age and Team with LoanAccept.
	Peer      string
	StopBound time.Duration
	Spec      model.JobSpec
	Age       time.Duration
	Cause     string
}

// LoanStatus is how a LoanCommand ended.
type LoanStatus int

// Done: durable. Not: its conditions do not hold, and it never will be applied.
// Unsure: perhaps applied, perhaps later; ask again.
const (
	LoanDurable LoanStatus = iota
	LoanNotApplied
	LoanUncertain
)

// LoanReply answers a LoanCommand.
type LoanReply struct {
	Reply  uint64
	Status LoanStatus
}

// QueryLoans asks for what lending needs to know. Startable says, for borrowed jobs
// by guest id, until when they may be started; what it does not name may not.
type QueryLoans struct {
	Reply          uint64
	StartableUntil map[string]time.Time
	// Progress is what peers say of our jobs, for display.
	Progress []Progress
	// WithSimulation asks for Waiting and Room as well, which cost a look ahead.
	WithSimulation bool
	// GuestTeam is the guests' team.
	GuestTeam string
}

// LoanView answers a QueryLoans, as of a moment after it was asked. OK is false while
// nothing can be read. Leads: this controller leads, and answers peers; Leader says
// which one does. Guests: it runs the guests' team, and speaks for the cluster as a
// borrower.
type LoanView struct {
	Reply           uint64
	OK              bool
	IsLeader        bool
	Leader          string
	Epoch           uint64
	LeaseValidUntil time.Time
	RunsGuestTeam   bool
	// GuestTeamEpoch is the stamp of the share with the guests' team, and GuestTeamTerm
	// changes whenever the team is taken up anew.
	GuestTeamEpoch uint64
	GuestTeamTerm  int
	Draining       bool
	DrainDeadline  time.Time
	Lent           []LentJob
	Borrowed       []BorrowedJob
	// RenewedAt is, for each home, when a report was sent that is known to have been
	// answered, in the time of day.
	RenewedAt       map[string]time.Time
	Waiting         []WaitingJob
	FreeCapacity    []FreeCapacity
	CachedImages    []string
	OwnWorkLate     bool
	LateUrgency     model.Urgency
	CheapestCPUHour float64
}

// LentJob is a job of ours that a peer has.
type LentJob struct {
	Spec            model.JobSpec
	SubmittedAt     time.Time
	Peer            string
	LendCount       uint64
	StopBound       time.Duration
	CancelRequested bool
}

// BorrowedJob is a job of a peer's. Status is queued, done or cancelled; Known is
// false while that has to be read first.
type BorrowedJob struct {
	Loan         string
	Job          string
	Spec         model.JobSpec
	Status       model.JobStatus
	StatusKnown  bool
	Ending       bool
	Cause        string
	Started      bool
	DoneTasks    int
	RunningTasks int
}

// WaitingJob is a job of ours of which nothing was ever started.
type WaitingJob struct {
	Spec       model.JobSpec
	SLODue     time.Duration
	HomeFinish time.Duration
	RunTime    time.Duration
	LendCount  uint64
}

// FreeCapacity is room that own work will not want for a while.
type FreeCapacity struct {
	MachineType string
	Zone        string
	Spot        bool
	PerMachine  model.Resources
	Machines    int
	// AvailableIn is how long until it is there: of machines that are to be rented first.
	AvailableIn time.Duration
	// CostPerCPUHour is for one CPU, an hour.
	CostPerCPUHour float64
	FetchRate      float64
}

// DrainCommand begins or ends the emptying of the cluster of borrowed work.
type DrainCommand struct {
	Reply   uint64
	Enabled bool
	// Deadline is when all borrowed work is to be gone.
	Deadline time.Time
}

func (LoanCommand) command()  {}
func (QueryLoans) command()   {}
func (DrainCommand) command() {}
func (LoanReply) effect()     {}
func (LoanView) effect()      {}

type drainRecord struct {
	Enabled  bool  `msgpack:"on"`
	Deadline int64 `msgpack:"by"`
}

// offloadedJobRecord is a loan that was taken, or the time when a home last answered.
type offloadedJobRecord struct {
	Job       string `msgpack:"j,omitempty"`
	Cause     string `msgpack:"c,omitempty"`
	RenewedAt int64  `msgpack:"r,omitempty"`
}

// renewalPrefix holds the times of answered reports, one record for each home. No
// loan's name begins like that, as no cluster's does.
const renewalPrefix = offloadedJobPrefix + "0/"

// offloadedJobs is the picture that the owner of the guests' team has of guest/, in the
// given term as its owner.
type offloadedJobs struct {
	team      string
	term      int
	loaded    bool
	loading   bool
	byLoan    map[string]offloadedJobRecord
	renewedAt map[string]time.Time
}

// runLoanCommand carries out one transaction. Each names the record of whoever decides, the
// leader's for what is lent, the share with the guests' team for what is borrowed, so
// that nothing of a deposed one's is applied, and the record the decision rests on.
func runLoanCommand(n *Controller, cmd LoanCommand) {
	done := func(s LoanStatus) { n.emit(LoanReply{Reply: cmd.Reply, Status: s}) }
	ownerReady := n.shardLeader != nil && n.shardLeader.ready
	req := StoreRequest{Kind: OpTxn, Priority: PriorityStart}
	switch borrowing := cmd.Kind >= LoanAccept; {
	case borrowing && ownerReady && offloadedJobsLoaded(n):
		req.Compares = append(req.Compares, n.shardCompares(n.offloadedJobs.team)...)
	case !borrowing && n.leader != nil:
		req.Compares = append(req.Compares, Compare{Key: leaderKey, ModRevision: n.leader.modRevision})
	default:
		done(LoanNotApplied)
		return
	}
	openKey := openJobPrefix + cmd.Job
	var j *job
	if ownerReady {
		j = n.shardLeader.jobs[cmd.Job]
	}
	onApplied := func() {}
	var openUpdate KeyValue
	switch current, isOpen := n.frontend.watchCache.openJobs[cmd.Job]; cmd.Kind {
	case LoanLend:
		if j == nil || !j.isLendable() || !isDateDurable(n, j) {
			done(LoanNotApplied)
			return
		}
		rec := j.currentRecord()
		rec.LentTo, rec.LendCount, rec.StopBoundMillis = cmd.Peer, cmd.LendCount, cmd.StopBound.Milliseconds()
		j.lending = true
		// Without an answer it may be carried out when the job has been started here,
		// which leaves open/ as it is: the first task's record must not be there either.
		req.Compares = append(append(req.Compares, n.shardCompares(j.Team)...), Compare{Key: openKey, ModRevision: j.modRevision})
		req.Compares = append(req.Compares, n.neverStartedCompares(cmd.Job)...)
		openUpdate = KeyValue{Key: openKey, Value: encode(rec)}
	case LoanTakeBack:
		if !isOpen || current.rec.LentTo == "" || current.rec.LendCount != cmd.LendCount {
			done(LoanNotApplied)
			return
		}
		rec := current.rec
		rec.LentTo, rec.StopBoundMillis, rec.CancelRequested = "", 0, false
		req.Compares = append(req.Compares, Compare{Key: openKey, ModRevision: current.modRevision})
		openUpdate = KeyValue{Key: openKey, Value: encode(rec)}
	case LoanSettle, LoanEndCancelled:
		if !isOpen || current.rec.LentTo == "" || current.rec.LendCount != cmd.LendCount {
			done(LoanNotApplied)
			return
		}
		status := model.Done
		if cmd.Kind == LoanEndCancelled {
			status = model.Cancelled
		}
		endRec := endRecordFromCache(n, cmd.Job, status, &current)
		req.Compares = append(req.Compares, Compare{Key: openKey, ModRevision: current.modRevision})
		req.Writes = append(req.Writes, Write{Key: jobStatusPrefix + cmd.Job, Value: encode(endRec)})
		openUpdate = KeyValue{Key: openKey, Deleted: true}
		onApplied = func() {
			n.cacheFinalStatus(cmd.Job, status)
			cacheDoneDate(n, cmd.Job, endRec)
		}
	case LoanAccept:
		rec := newOpenJobRecord(&cmd.Spec, n.now.Add(-cmd.Age))
		rec.BorrowedLoan = cmd.Loan
		req.Compares = append(req.Compares, Compare{Key: offloadedJobPrefix + cmd.Loan, ModRevision: 0}, Compare{Key: openKey, ModRevision: 0}, Compare{Key: jobStatusPrefix + cmd.Job, ModRevision: 0})
		req.Writes = append(req.Writes, Write{Key: offloadedJobPrefix + cmd.Loan, Value: encode(offloadedJobRecord{Job: cmd.Job})})
		openUpdate = KeyValue{Key: openKey, Value: encode(rec)}
		onApplied = func() { n.offloadedJobs.byLoan[cmd.Loan] = offloadedJobRecord{Job: cmd.Job} }
	case LoanGiveUp:
		if !isOpen || current.rec.Cancelled {
			done(LoanNotApplied)
			return
		}
		rec := current.rec
		rec.Cancelled, rec.CancelledAtMillis = true, n.now.UnixMilli()
		rec.ShrinkToFit(n.settings.MaxValueBytes)
		g := offloadedJobRecord{Job: cmd.Job, Cause: cmd.Cause}
		req.Compares = append(req.Compares, Compare{Key: openKey, ModRevision: current.modRevision})
		req.Writes = append(req.Writes, Write{Key: jobStatusPrefix + cmd.Job, Value: encode(endRecordFromCache(n, cmd.Job, model.Cancelled, &current))},
			Write{Key: offloadedJobPrefix + cmd.Loan, Value: encode(g)})
		openUpdate = KeyValue{Key: openKey, Value: encode(rec)}
		onApplied = func() { n.offloadedJobs.byLoan[cmd.Loan] = g }
	case LoanDrop:
		req.Compares = append(req.Compares, Compare{Key: openKey, ModRevision: 0})
		req.Writes = append(req.Writes, Write{Key: offloadedJobPrefix + cmd.Loan}, Write{Key: jobStatusPrefix + cmd.Job})
		onApplied = func() {
			delete(n.offloadedJobs.byLoan, cmd.Loan)
			delete(n.frontend.finalStatuses, cmd.Job)
		}
	}
	if openUpdate.Key != "" {
		req.Writes = append(req.Writes, Write{Key: openUpdate.Key, Value: openUpdate.Value})
	}
	n.requestStore(req, func(resp StoreResponse) {
		if j != nil {
			j.lending = false
		}
		switch resp.Status {
		case StoreOK:
			openUpdate.ModRevision = resp.Revision
			onApplied()
			if openUpdate.Key != "" {
				n.observeOwnWrite(openUpdate)
			}
			done(LoanDurable)
		case StoreConflict, StoreRefused, StoreMalformed, StoreNoLease:
			done(LoanNotApplied)
		default:
			if cmd.Kind >= LoanAccept {
				// Carried out or not: what has been taken is read again before the next step.
				n.offloadedJobs.loaded = false
			}
			done(LoanUncertain)
		}
	})
}

// hasStarted says that some task of the job was ever started, is being started or waits
// for a write: each of these makes a record of its part of the tasks. One that only
// found no room has none.
func (j *job) hasStarted() bool {
	return len(j.segments) > 0 || len(j.formerKeys) > 0 || j.liveTasks > 0
}

// isLendable says that the job may be lent: nothing of it can be anywhere.
func (j *job) isLendable() bool {
	return !j.hasStarted() && !j.cancelled && !j.ending && !j.dependenciesPending && !j.elsewhere() && j.borrowedLoan == ""
}

// currentRecord is the job's record in open/ as it stands.
func (j *job) currentRecord() openJobRecord {
	r := newOpenJobRecord(&j.JobSpec, j.submittedAt)
	if j.urgencyRaised {
		r.Urgency = int(j.ownUrgency)
	}
	r.LendCount, r.BorrowedLoan, r.PromisedMillis = j.lendCount, j.borrowedLoan, int(j.firstPromise.Milliseconds())
	return r
}

// cancelLentJob notes that a lent job's user wants it cancelled. That is told only
// when the peer has stopped it or surely runs it no more; until then the user is
// asked to come back, and gets no answer that could turn out to be wrong.
func cancelLentJob(n *Controller, w *userRequest, f jobLookup) {
	retry := func() {
		n.after(lentCancelPoll, func() {
			if !w.answered {
				n.cancelOpenJob(w)
			}
		})
	}
	if f.open.CancelRequested {
		retry()
		return
	}
	rec := f.open
	rec.CancelRequested = true
	it := KeyValue{Key: openJobPrefix + w.id, Value: encode(rec)}
	n.requestStore(StoreRequest{Kind: OpTxn, Priority: PriorityUser, Compares: []Compare{{Key: it.Key, ModRevision: f.modRevision}}, Writes: []Write{{Key: it.Key, Value: it.Value}}}, func(d StoreResponse) {
		if d.Status == StoreOK {
			it.ModRevision = d.Revision
			n.observeOwnWrite(it)
		}
		retry()
	})
}

// lentCancelPoll is how often a waiting cancellation looks whether the peer has
// answered.
const lentCancelPoll = 250 * time.Millisecond

// offloadedJobsLoaded says that guest/ has been read in this term as owner.
func offloadedJobsLoaded(n *Controller) bool {
	held := n.shardLeader.teams[n.offloadedJobs.team]
	return n.offloadedJobs.loaded && held != nil && held.holdID == n.offloadedJobs.term
}

// loadOffloadedJobs reads guest/ for a new owner of the guests' team.
func loadOffloadedJobs(n *Controller, team string) {
	g := &n.offloadedJobs
	if g.loading {
		return
	}
	g.loading = true
	term := n.shardLeader.teams[team].holdID
	by, renewed := map[string]offloadedJobRecord{}, map[string]time.Time{}
	var list func(from string)
	list = func(from string) {
		n.requestStore(StoreRequest{Kind: OpList, Priority: PriorityMembership, Key: offloadedJobPrefix, StartAfter: from}, func(resp StoreResponse) {
			if held := n.shardLeader; resp.Status != StoreOK || held == nil || held.teams[team] == nil || held.teams[team].holdID != term {
				g.loading = false
				return
			}
			for _, it := range resp.KeyValues {
				var r offloadedJobRecord
				switch {
				case !decode(it.Value, &r):
					n.info("unreadable record", "key", it.Key)
				case strings.HasPrefix(it.Key, renewalPrefix):
					renewed[strings.TrimPrefix(it.Key, renewalPrefix)] = time.UnixMilli(r.RenewedAt)
				default:
					by[strings.TrimPrefix(it.Key, offloadedJobPrefix)] = r
				}
			}
			if resp.Truncated && len(resp.KeyValues) > 0 {
				list(resp.KeyValues[len(resp.KeyValues)-1].Key)
				return
			}
			*g = offloadedJobs{team: team, term: term, loaded: true, byLoan: by, renewedAt: renewed}
		})
	}
	list("")
}

// RenewCommand writes down when the homes' answered reports were sent, for a successor:
// earlier than true is safe, and so is a loss.
type RenewCommand struct{ RenewedAt map[string]time.Time }

func (RenewCommand) command() {}

func runRenewCommand(n *Controller, c RenewCommand) {
	if n.shardLeader == nil || !offloadedJobsLoaded(n) {
		return
	}
	op := StoreRequest{Kind: OpTxn, Priority: PriorityLazy, Compares: n.shardCompares(n.offloadedJobs.team)}
	for _, home := range sortedKeys(c.RenewedAt) {
		if len(op.Writes) < n.settings.MaxTxnWrites {
			op.Writes = append(op.Writes, Write{Key: renewalPrefix + home, Value: encode(offloadedJobRecord{RenewedAt: c.RenewedAt[home].UnixMilli()})})
		}
	}
	if len(op.Writes) > 0 {
		n.requestStore(op, func(StoreResponse) {})
	}
}

// queryLoans answers when the picture of open/ is as of a moment after the
// question.
func queryLoans(n *Controller, c QueryLoans) {
	for _, p := range c.Progress {
		n.progressByJob[p.ID] = p
	}
	if o := n.shardLeader; o != nil {
		for id, j := range o.jobs {
			if j.borrowedLoan != "" {
				if was := j.startableUntil; c.StartableUntil[id].After(was) || c.StartableUntil[id].IsZero() {
					j.startableUntil = c.StartableUntil[id]
					o.placementDue = o.placementDue || was.Before(n.now)
				}
			}
		}
	}
	unavailable := func() { n.emit(LoanView{Reply: c.Reply, Leader: n.membership.leader.Host}) }
	runsGuestTeam := func() bool {
		return n.shardLeader != nil && n.shardLeader.teams[c.GuestTeam] != nil && n.shardLeader.teams[c.GuestTeam].ready
	}
	if runsGuestTeam() && !offloadedJobsLoaded(n) {
		loadOffloadedJobs(n, c.GuestTeam)
		unavailable()
		return
	}
	if n.leader == nil && !runsGuestTeam() {
		n.emit(LoanView{Reply: c.Reply, OK: true, Leader: n.membership.leader.Host})
		return
	}
	n.refresh(func(ok bool) {
		if !ok || runsGuestTeam() && !offloadedJobsLoaded(n) {
			unavailable()
			return
		}
		n.emit(buildLoanView(n, c, runsGuestTeam()))
	})
}

func buildLoanView(n *Controller, c QueryLoans, runsGuestTeam bool) LoanView {
	cache := &n.frontend.watchCache
	v := LoanView{
		Reply: c.Reply, OK: true, Leader: n.membership.leader.Host, LeaseValidUntil: n.membership.leaseValidUntil,
		Draining: n.membership.drain.Enabled, RenewedAt: maps.Clone(n.offloadedJobs.renewedAt), RunsGuestTeam: runsGuestTeam,
	}
	if n.leader != nil {
		v.IsLeader, v.Epoch = true, n.leader.modRevision
	}
	if runsGuestTeam {
		v.GuestTeamEpoch, v.GuestTeamTerm = n.membership.shardMap.Team(c.GuestTeam).HeldSince(), n.offloadedJobs.term
	}
	if n.membership.drain.Deadline > 0 {
		v.DrainDeadline = time.UnixMilli(n.membership.drain.Deadline)
	}
	for _, id := range sortedKeys(cache.openJobs) {
		if r := cache.openJobs[id].rec; v.IsLeader && r.LentTo != "" {
			v.Lent = append(v.Lent, LentJob{Spec: r.JobSpec(id), SubmittedAt: time.UnixMilli(r.SubmittedAtMillis), Peer: r.LentTo, LendCount: r.LendCount, StopBound: time.Duration(r.StopBoundMillis) * time.Millisecond, CancelRequested: r.CancelRequested})
		}
	}
	if runsGuestTeam {
		for _, name := range sortedKeys(n.offloadedJobs.byLoan) {
			v.Borrowed = append(v.Borrowed, buildBorrowedJob(n, name))
		}
	}
	if o := n.shardLeader; o != nil && o.ready && c.WithSimulation {
		simulateLoans(n, &v)
	}
	return v
}

// buildBorrowedJob is what is durable of a loan that was taken.
func buildBorrowedJob(n *Controller, name string) BorrowedJob {
	g := n.offloadedJobs.byLoan[name]
	b := BorrowedJob{Loan: name, Job: g.Job, Cause: g.Cause, Status: model.Queued, Started: true}
	if l, there := n.frontend.watchCache.openJobs[g.Job]; there {
		b.StatusKnown, b.Spec, b.Ending = true, l.rec.JobSpec(g.Job), l.rec.Cancelled
	} else if s, ok := n.frontend.finalStatuses[g.Job]; ok {
		b.StatusKnown, b.Status = true, s
	} else {
		n.readStatusRecord(g.Job, func(d StoreResponse) {
			var r jobStatusRecord
			if d.Status == StoreOK && decode(d.KeyValues[0].Value, &r) && r.Status.IsFinal() {
				n.cacheFinalStatus(g.Job, r.Status)
			}
		})
	}
	p := n.progressOf(g.Job)
	b.DoneTasks, b.RunningTasks = p.Done, p.Running
	if j := n.shardLeader.jobs[g.Job]; j != nil {
		b.Started = j.hasStarted()
	}
	return b
}

// simulateLoans plays the queue forward on the machines there are: which jobs of which
// nothing was started end too late, and which machines nothing of ours will want.
func simulateLoans(n *Controller, v *LoanView) {
	v.CheapestCPUHour = n.cheapestCPUCost()
	images := map[string]bool{}
	capacity := n.futureFreeCapacity()
	sim := n.newSimulation(copyFreeCapacity(capacity, nil), capacity.imageIDs, nil)
	for _, d := range n.demands(n.planningHorizon(), true, false) {
		last, unplaceable := time.Time{}, d.count == 0
		sim.simulate(d, func(_ int, x *simulatedMachine, _, at time.Time) {
			if unplaceable = unplaceable || x == nil; x != nil {
				last = later(last, at)
			}
		})
		if d.arrivalSpread > 0 || d.job.borrowedLoan != "" {
			continue
		}
		finish := last.Add(n.expectedOccupancy(d.job)).Sub(n.now)
		if unplaceable {
			finish = maxLateness
		}
		// What waits may also run on machines that are rented for it, unless the
		// cloud has lately had none of the kind.
		for k, f := range rentableKinds(n) {
			if d.job.allowsMachine(k.machineType, k.zone, k.spot) && d.job.Need.Fits(f.Capacity) {
				finish = min(finish, f.ProvisioningTime+newMachineFetchTime(&f, d.job)+n.expectedOccupancy(d.job))
			}
		}
		sloDue := n.latestStart(d.job).Add(n.expectedRunTime(d.job)).Sub(n.now)
		if finish > sloDue {
			v.OwnWorkLate, v.LateUrgency = true, max(v.LateUrgency, d.job.Urgency)
		}
		if d.job.isLendable() {
			v.Waiting = append(v.Waiting, WaitingJob{
				Spec: d.job.JobSpec, SLODue: sloDue, HomeFinish: finish, RunTime: n.expectedRunTime(d.job), LendCount: d.job.lendCount,
			})
		}
	}
	type like struct {
		k    machineKind
		each model.Resources
	}
	count := map[like]int{}
	for _, x := range sim.machines {
		if x.machine == nil || x.placements > 0 || !n.usable(x.machine) || x.machine.decommissioning {
			continue
		}
		count[like{x.machineKind, x.machine.free()}]++
		for name, im := range x.machine.images {
			images[name] = images[name] || im.cached
		}
	}
	for k, f := range rentableKinds(n) {
		v.FreeCapacity = append(v.FreeCapacity, FreeCapacity{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, PerMachine: f.Capacity, Machines: maxOfferedPerKind, AvailableIn: f.ProvisioningTime, CostPerCPUHour: n.costPerHour(k) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
	}
	for l, k := range count {
		f := n.machineTypes[l.k.machineType]
		v.FreeCapacity = append(v.FreeCapacity, FreeCapacity{MachineType: l.k.machineType, Zone: l.k.zone, Spot: l.k.spot, PerMachine: l.each, Machines: k, CostPerCPUHour: n.costPerHour(l.k) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
	}
	slices.SortFunc(v.FreeCapacity, func(a, b FreeCapacity) int {
		return cmp.Or(strings.Compare(a.MachineType, b.MachineType), strings.Compare(a.Zone, b.Zone), cmp.Compare(boolToFloat(a.Spot), boolToFloat(b.Spot)), cmp.Compare(a.AvailableIn, b.AvailableIn), cmp.Compare(a.PerMachine.CPU, b.PerMachine.CPU), cmp.Compare(a.PerMachine.Memory, b.PerMachine.Memory))
	})
	for _, name := range sortedKeys(images) {
		if images[name] {
			v.CachedImages = append(v.CachedImages, name)
		}
	}
}

// maxOfferedPerKind is how many machines of a kind are offered to peers that would have to
// be rented for them: the cloud does not tell how many it has.
const maxOfferedPerKind = 8

// refusalMemory is for how long after a refusal has passed a kind is not counted on. It
// is asked for again much sooner; but a plan that counts on it each time anew would
// keep at home what then waits.
const refusalMemory = time.Minute

// rentableKinds are the kinds of machines that the cloud has not lately refused.
func rentableKinds(n *Controller) map[machineKind]model.MachineType {
	out := map[machineKind]model.MachineType{}
	if n.shardLeader.fleetView == nil {
		return out
	}
	for _, f := range n.machineTypes {
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				k := machineKind{f.Name, z, spot}
				if n.now.Sub(n.shardLeader.fleetView.blockedUntil[k]) > refusalMemory {
					out[k] = f
				}
			}
		}
	}
	return out
}

// runDrainCommand writes whether the cluster is being emptied of borrowed work.
func runDrainCommand(n *Controller, c DrainCommand) {
	rec := encode(drainRecord{Enabled: c.Enabled, Deadline: c.Deadline.UnixMilli()})
	n.requestStore(StoreRequest{Kind: OpTxn, Priority: PriorityUser, Writes: []Write{{Key: drainKey, Value: rec}}}, func(d StoreResponse) {
		s := LoanUncertain
		if d.Status == StoreOK {
			s = LoanDurable
			n.applyControlRecord(KeyValue{Key: drainKey, Value: rec, ModRevision: d.Revision})
		}
		n.emit(LoanReply{Reply: c.Reply, Status: s})
	})
}
