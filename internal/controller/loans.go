package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
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

func (l *loanState) setLoanFrom(r *record.OpenJob) {
	l.lentTo, l.lendCount, l.cancelRequested, l.borrowedLoan = r.LentTo, r.LendCount, r.CancelRequested, r.BorrowedLoan
}

// renewalPrefix holds the times of answered reports, one record for each home. No
// loan's name begins like that, as no cluster's does.
const renewalPrefix = record.OffloadedJobPrefix + "0/"

// lending is the picture that the owner of the guests' team has of guest/, in the
// given term as its owner.
type lending struct {
	team      string
	term      int
	loaded    bool
	loading   bool
	byLoan    map[string]record.OffloadedJob
	renewedAt map[string]time.Time
}

// runLoanCommand carries out one transaction. Each names the record of whoever decides, the
// leader's for what is lent, the share with the guests' team for what is borrowed, so
// that nothing of a deposed one's is applied, and the record the decision rests on.
func runLoanCommand(n *Controller, cmd message.LoanCommand) {
	done := func(s message.LoanStatus) { n.emit(message.LoanReply{Reply: cmd.Reply, Status: s}) }
	ownerReady := n.shardLeader != nil && n.shardLeader.ready
	req := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart}
	switch borrowing := cmd.Kind >= message.LoanAccept; {
	case borrowing && ownerReady && offloadedJobsLoaded(n):
		req.Compares = append(req.Compares, n.shardCompares(n.lending.team)...)
	case !borrowing && n.leader != nil:
		req.Compares = append(req.Compares, message.Compare{Key: record.LeaderKey, ModRevision: n.leader.modRevision})
	default:
		done(message.LoanNotApplied)
		return
	}
	openKey := record.OpenJobPrefix + cmd.Job
	var j *job
	if ownerReady {
		j = n.shardLeader.jobs[cmd.Job]
	}
	onApplied := func() {}
	var openUpdate message.KeyValue
	switch current, isOpen := n.frontend.watchCache.openJobs[cmd.Job]; cmd.Kind {
	case message.LoanLend:
		if j == nil || !j.isLendable() || !isDateDurable(n, j) {
			done(message.LoanNotApplied)
			return
		}
		rec := j.currentRecord()
		rec.LentTo, rec.LendCount, rec.StopBoundMillis = cmd.Peer, cmd.LendCount, cmd.StopBound.Milliseconds()
		j.lending = true
		// Without an answer it may be carried out when the job has been started here,
		// which leaves open/ as it is: the first task's record must not be there either.
		req.Compares = append(append(req.Compares, n.shardCompares(j.Team)...), message.Compare{Key: openKey, ModRevision: j.modRevision})
		req.Compares = append(req.Compares, n.neverStartedCompares(cmd.Job)...)
		openUpdate = message.KeyValue{Key: openKey, Value: record.Encode(rec)}
	case message.LoanTakeBack:
		if !isOpen || current.rec.LentTo == "" || current.rec.LendCount != cmd.LendCount {
			done(message.LoanNotApplied)
			return
		}
		rec := current.rec
		rec.LentTo, rec.StopBoundMillis, rec.CancelRequested = "", 0, false
		req.Compares = append(req.Compares, message.Compare{Key: openKey, ModRevision: current.modRevision})
		openUpdate = message.KeyValue{Key: openKey, Value: record.Encode(rec)}
	case message.LoanSettle, message.LoanEndCancelled:
		if !isOpen || current.rec.LentTo == "" || current.rec.LendCount != cmd.LendCount {
			done(message.LoanNotApplied)
			return
		}
		status := model.Done
		if cmd.Kind == message.LoanEndCancelled {
			status = model.Cancelled
		}
		endRec := endRecordFromCache(n, cmd.Job, status, &current)
		req.Compares = append(req.Compares, message.Compare{Key: openKey, ModRevision: current.modRevision})
		req.Writes = append(req.Writes, message.Write{Key: record.JobStatusPrefix + cmd.Job, Value: record.Encode(endRec)})
		openUpdate = message.KeyValue{Key: openKey, Deleted: true}
		onApplied = func() {
			n.cacheFinalStatus(cmd.Job, status)
			cacheDoneDate(n, cmd.Job, endRec)
		}
	case message.LoanAccept:
		rec := record.NewOpenJob(&cmd.Spec, n.now.Add(-cmd.Age))
		rec.BorrowedLoan = cmd.Loan
		req.Compares = append(req.Compares, message.Compare{Key: record.OffloadedJobPrefix + cmd.Loan, ModRevision: 0}, message.Compare{Key: openKey, ModRevision: 0}, message.Compare{Key: record.JobStatusPrefix + cmd.Job, ModRevision: 0})
		req.Writes = append(req.Writes, message.Write{Key: record.OffloadedJobPrefix + cmd.Loan, Value: record.Encode(record.OffloadedJob{Job: cmd.Job})})
		openUpdate = message.KeyValue{Key: openKey, Value: record.Encode(rec)}
		onApplied = func() { n.lending.byLoan[cmd.Loan] = record.OffloadedJob{Job: cmd.Job} }
	case message.LoanGiveUp:
		if !isOpen || current.rec.Cancelled {
			done(message.LoanNotApplied)
			return
		}
		rec := current.rec
		rec.Cancelled, rec.CancelledAtMillis = true, n.now.UnixMilli()
		rec.ShrinkToFit(n.settings.MaxValueBytes)
		g := record.OffloadedJob{Job: cmd.Job, Cause: cmd.Cause}
		req.Compares = append(req.Compares, message.Compare{Key: openKey, ModRevision: current.modRevision})
		req.Writes = append(req.Writes, message.Write{Key: record.JobStatusPrefix + cmd.Job, Value: record.Encode(endRecordFromCache(n, cmd.Job, model.Cancelled, &current))},
			message.Write{Key: record.OffloadedJobPrefix + cmd.Loan, Value: record.Encode(g)})
		openUpdate = message.KeyValue{Key: openKey, Value: record.Encode(rec)}
		onApplied = func() { n.lending.byLoan[cmd.Loan] = g }
	case message.LoanDrop:
		req.Compares = append(req.Compares, message.Compare{Key: openKey, ModRevision: 0})
		req.Writes = append(req.Writes, message.Write{Key: record.OffloadedJobPrefix + cmd.Loan}, message.Write{Key: record.JobStatusPrefix + cmd.Job})
		onApplied = func() {
			delete(n.lending.byLoan, cmd.Loan)
			delete(n.frontend.finalStatuses, cmd.Job)
		}
	}
	if openUpdate.Key != "" {
		req.Writes = append(req.Writes, message.Write{Key: openUpdate.Key, Value: openUpdate.Value})
	}
	n.requestStore(req, func(resp message.StoreResponse) {
		if j != nil {
			j.lending = false
		}
		switch resp.Status {
		case message.StoreOK:
			openUpdate.ModRevision = resp.Revision
			onApplied()
			if openUpdate.Key != "" {
				n.observeOwnWrite(openUpdate)
			}
			done(message.LoanDurable)
		case message.StoreConflict, message.StoreRefused, message.StoreMalformed, message.StoreNoLease:
			done(message.LoanNotApplied)
		default:
			if cmd.Kind >= message.LoanAccept {
				// Carried out or not: what has been taken is read again before the next step.
				n.lending.loaded = false
			}
			done(message.LoanUncertain)
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
func (j *job) currentRecord() record.OpenJob {
	r := record.NewOpenJob(&j.JobSpec, j.submittedAt)
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
	it := message.KeyValue{Key: record.OpenJobPrefix + w.id, Value: record.Encode(rec)}
	n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Compares: []message.Compare{{Key: it.Key, ModRevision: f.modRevision}}, Writes: []message.Write{{Key: it.Key, Value: it.Value}}}, func(d message.StoreResponse) {
		if d.Status == message.StoreOK {
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
	held := n.shardLeader.teams[n.lending.team]
	return n.lending.loaded && held != nil && held.holdID == n.lending.term
}

// loadOffloadedJobs reads guest/ for a new owner of the guests' team.
func loadOffloadedJobs(n *Controller, team string) {
	g := &n.lending
	if g.loading {
		return
	}
	g.loading = true
	term := n.shardLeader.teams[team].holdID
	by, renewed := map[string]record.OffloadedJob{}, map[string]time.Time{}
	var list func(from string)
	list = func(from string) {
		n.requestStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.OffloadedJobPrefix, StartAfter: from}, func(resp message.StoreResponse) {
			if held := n.shardLeader; resp.Status != message.StoreOK || held == nil || held.teams[team] == nil || held.teams[team].holdID != term {
				g.loading = false
				return
			}
			for _, it := range resp.KeyValues {
				var r record.OffloadedJob
				switch {
				case !record.Decode(it.Value, &r):
					n.info("unreadable record", "key", it.Key)
				case strings.HasPrefix(it.Key, renewalPrefix):
					renewed[strings.TrimPrefix(it.Key, renewalPrefix)] = time.UnixMilli(r.RenewedAt)
				default:
					by[strings.TrimPrefix(it.Key, record.OffloadedJobPrefix)] = r
				}
			}
			if resp.Truncated && len(resp.KeyValues) > 0 {
				list(resp.KeyValues[len(resp.KeyValues)-1].Key)
				return
			}
			*g = lending{team: team, term: term, loaded: true, byLoan: by, renewedAt: renewed}
		})
	}
	list("")
}

func runRenewCommand(n *Controller, c message.RenewCommand) {
	if n.shardLeader == nil || !offloadedJobsLoaded(n) {
		return
	}
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: n.shardCompares(n.lending.team)}
	for _, home := range sortedKeys(c.RenewedAt) {
		if len(op.Writes) < n.settings.MaxTxnWrites {
			op.Writes = append(op.Writes, message.Write{Key: renewalPrefix + home, Value: record.Encode(record.OffloadedJob{RenewedAt: c.RenewedAt[home].UnixMilli()})})
		}
	}
	if len(op.Writes) > 0 {
		n.requestStore(op, func(message.StoreResponse) {})
	}
}

// queryLoans answers when the picture of open/ is as of a moment after the
// question.
func queryLoans(n *Controller, c message.QueryLoans) {
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
	unavailable := func() { n.emit(message.LoanView{Reply: c.Reply, Leader: n.membership.leader.Host}) }
	runsGuestTeam := func() bool {
		return n.shardLeader != nil && n.shardLeader.teams[c.GuestTeam] != nil && n.shardLeader.teams[c.GuestTeam].ready
	}
	if runsGuestTeam() && !offloadedJobsLoaded(n) {
		loadOffloadedJobs(n, c.GuestTeam)
		unavailable()
		return
	}
	if n.leader == nil && !runsGuestTeam() {
		n.emit(message.LoanView{Reply: c.Reply, OK: true, Leader: n.membership.leader.Host})
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

func buildLoanView(n *Controller, c message.QueryLoans, runsGuestTeam bool) message.LoanView {
	cache := &n.frontend.watchCache
	v := message.LoanView{
		Reply: c.Reply, OK: true, Leader: n.membership.leader.Host, LeaseValidUntil: n.membership.leaseValidUntil,
		Draining: n.membership.drain.Enabled, RenewedAt: maps.Clone(n.lending.renewedAt), RunsGuestTeam: runsGuestTeam,
	}
	if n.leader != nil {
		v.IsLeader, v.Epoch = true, n.leader.modRevision
	}
	if runsGuestTeam {
		v.GuestTeamEpoch, v.GuestTeamTerm = n.membership.shardMap.Team(c.GuestTeam).HeldSince(), n.lending.term
	}
	if n.membership.drain.Deadline > 0 {
		v.DrainDeadline = time.UnixMilli(n.membership.drain.Deadline)
	}
	for _, id := range sortedKeys(cache.openJobs) {
		if r := cache.openJobs[id].rec; v.IsLeader && r.LentTo != "" {
			v.Lent = append(v.Lent, message.LentJob{Spec: r.JobSpec(id), SubmittedAt: time.UnixMilli(r.SubmittedAtMillis), Peer: r.LentTo, LendCount: r.LendCount, StopBound: time.Duration(r.StopBoundMillis) * time.Millisecond, CancelRequested: r.CancelRequested})
		}
	}
	if runsGuestTeam {
		for _, name := range sortedKeys(n.lending.byLoan) {
			v.Borrowed = append(v.Borrowed, buildBorrowedJob(n, name))
		}
	}
	if o := n.shardLeader; o != nil && o.ready && c.WithSimulation {
		simulateLoans(n, &v)
	}
	return v
}

// buildBorrowedJob is what is durable of a loan that was taken.
func buildBorrowedJob(n *Controller, name string) message.BorrowedJob {
	g := n.lending.byLoan[name]
	b := message.BorrowedJob{Loan: name, Job: g.Job, Cause: g.Cause, Status: model.Queued, Started: true}
	if l, there := n.frontend.watchCache.openJobs[g.Job]; there {
		b.StatusKnown, b.Spec, b.Ending = true, l.rec.JobSpec(g.Job), l.rec.Cancelled
	} else if s, ok := n.frontend.finalStatuses[g.Job]; ok {
		b.StatusKnown, b.Status = true, s
	} else {
		n.readStatusRecord(g.Job, func(d message.StoreResponse) {
			var r record.JobStatus
			if d.Status == message.StoreOK && record.Decode(d.KeyValues[0].Value, &r) && r.Status.IsFinal() {
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
func simulateLoans(n *Controller, v *message.LoanView) {
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
			v.Waiting = append(v.Waiting, message.WaitingJob{
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
		v.FreeCapacity = append(v.FreeCapacity, message.FreeCapacity{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, PerMachine: f.Capacity, Machines: maxOfferedPerKind, AvailableIn: f.ProvisioningTime, CostPerCPUHour: n.costPerHour(k) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
	}
	for l, k := range count {
		f := n.machineTypes[l.k.machineType]
		v.FreeCapacity = append(v.FreeCapacity, message.FreeCapacity{MachineType: l.k.machineType, Zone: l.k.zone, Spot: l.k.spot, PerMachine: l.each, Machines: k, CostPerCPUHour: n.costPerHour(l.k) / max(f.Capacity.CPU, 1), FetchRate: f.ImageFetchRate})
	}
	slices.SortFunc(v.FreeCapacity, func(a, b message.FreeCapacity) int {
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
func runDrainCommand(n *Controller, c message.DrainCommand) {
	rec := record.Encode(record.Drain{Enabled: c.Enabled, Deadline: c.Deadline.UnixMilli()})
	n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Writes: []message.Write{{Key: record.DrainKey, Value: rec}}}, func(d message.StoreResponse) {
		s := message.LoanUncertain
		if d.Status == message.StoreOK {
			s = message.LoanDurable
			n.applyControlRecord(message.KeyValue{Key: record.DrainKey, Value: rec, ModRevision: d.Revision})
		}
		n.emit(message.LoanReply{Reply: c.Reply, Status: s})
	})
}
