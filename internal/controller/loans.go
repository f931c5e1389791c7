package controller

import (
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
	component

	team      string
	term      int
	loaded    bool
	loading   bool
	byLoan    map[string]record.OffloadedJob
	renewedAt map[string]time.Time
}

// runCommand carries out one transaction. Each names the record of whoever decides, the
// leader's for what is lent, the share with the guests' team for what is borrowed, so
// that nothing of a deposed one's is applied, and the record the decision rests on.
func (l *lending) runCommand(cmd message.LoanCommand) {
	done := func(s message.LoanStatus) { l.emit(message.LoanReply{Reply: cmd.Reply, Status: s}) }
	ownerReady := l.controller.shardLeader != nil && l.controller.shardLeader.ready
	req := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart}
	switch borrowing := cmd.Kind >= message.LoanAccept; {
	case borrowing && ownerReady && l.offloadedJobsLoaded():
		req.Compares = append(req.Compares, l.controller.shardLeader.shardCompares(l.team)...)
	case !borrowing && l.controller.leader != nil:
		req.Compares = append(req.Compares, message.Compare{Key: record.LeaderKey, ModRevision: l.controller.leader.modRevision})
	default:
		done(message.LoanNotApplied)
		return
	}
	openKey := record.OpenJobPrefix + cmd.Job
	var j *job
	if ownerReady {
		j = l.controller.shardLeader.jobs[cmd.Job]
	}
	onApplied := func() {}
	var openUpdate message.KeyValue
	switch current, isOpen := l.controller.frontend.watchCache.openJobs[cmd.Job]; cmd.Kind {
	case message.LoanLend:
		if j == nil || !j.isLendable() || !l.controller.promises.isDateDurable(j) {
			done(message.LoanNotApplied)
			return
		}
		rec := j.currentRecord()
		rec.LentTo, rec.LendCount, rec.StopBoundMillis = cmd.Peer, cmd.LendCount, cmd.StopBound.Milliseconds()
		j.lending = true
		// Without an answer it may be carried out when the job has been started here,
		// which leaves open/ as it is: the first task's record must not be there either.
		req.Compares = append(append(req.Compares, l.controller.shardLeader.shardCompares(j.Team)...), message.Compare{Key: openKey, ModRevision: j.modRevision})
		req.Compares = append(req.Compares, l.controller.membership.formats.neverStartedCompares(cmd.Job)...)
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
		endRec := l.controller.promises.endRecordFromCache(cmd.Job, status, &current)
		req.Compares = append(req.Compares, message.Compare{Key: openKey, ModRevision: current.modRevision})
		req.Writes = append(req.Writes, message.Write{Key: record.JobStatusPrefix + cmd.Job, Value: record.Encode(endRec)})
		openUpdate = message.KeyValue{Key: openKey, Deleted: true}
		onApplied = func() {
			l.controller.frontend.cacheFinalStatus(cmd.Job, status)
			l.controller.promises.cacheDoneDate(cmd.Job, endRec)
		}
	case message.LoanAccept:
		rec := record.NewOpenJob(&cmd.Spec, l.now.Add(-cmd.Age))
		rec.BorrowedLoan = cmd.Loan
		req.Compares = append(req.Compares, message.Compare{Key: record.OffloadedJobPrefix + cmd.Loan, ModRevision: 0}, message.Compare{Key: openKey, ModRevision: 0}, message.Compare{Key: record.JobStatusPrefix + cmd.Job, ModRevision: 0})
		req.Writes = append(req.Writes, message.Write{Key: record.OffloadedJobPrefix + cmd.Loan, Value: record.Encode(record.OffloadedJob{Job: cmd.Job})})
		openUpdate = message.KeyValue{Key: openKey, Value: record.Encode(rec)}
		onApplied = func() { l.byLoan[cmd.Loan] = record.OffloadedJob{Job: cmd.Job} }
	case message.LoanGiveUp:
		if !isOpen || current.rec.Cancelled {
			done(message.LoanNotApplied)
			return
		}
		rec := current.rec
		rec.Cancelled, rec.CancelledAtMillis = true, l.now.UnixMilli()
		rec.ShrinkToFit(l.settings.MaxValueBytes)
		g := record.OffloadedJob{Job: cmd.Job, Cause: cmd.Cause}
		req.Compares = append(req.Compares, message.Compare{Key: openKey, ModRevision: current.modRevision})
		req.Writes = append(req.Writes, message.Write{Key: record.JobStatusPrefix + cmd.Job, Value: record.Encode(l.controller.promises.endRecordFromCache(cmd.Job, model.Cancelled, &current))},
			message.Write{Key: record.OffloadedJobPrefix + cmd.Loan, Value: record.Encode(g)})
		openUpdate = message.KeyValue{Key: openKey, Value: record.Encode(rec)}
		onApplied = func() { l.byLoan[cmd.Loan] = g }
	case message.LoanDrop:
		req.Compares = append(req.Compares, message.Compare{Key: openKey, ModRevision: 0})
		req.Writes = append(req.Writes, message.Write{Key: record.OffloadedJobPrefix + cmd.Loan}, message.Write{Key: record.JobStatusPrefix + cmd.Job})
		onApplied = func() {
			delete(l.byLoan, cmd.Loan)
			l.controller.frontend.forgetFinalStatus(cmd.Job)
		}
	}
	if openUpdate.Key != "" {
		req.Writes = append(req.Writes, message.Write{Key: openUpdate.Key, Value: openUpdate.Value})
	}
	l.controller.requests.toStore(req, func(resp message.StoreResponse) {
		if j != nil {
			j.lending = false
		}
		switch resp.Status {
		case message.StoreOK:
			openUpdate.ModRevision = resp.Revision
			onApplied()
			if openUpdate.Key != "" {
				l.controller.observeOwnWrite(openUpdate)
			}
			done(message.LoanDurable)
		case message.StoreConflict, message.StoreRefused, message.StoreMalformed, message.StoreNoLease:
			done(message.LoanNotApplied)
		default:
			if cmd.Kind >= message.LoanAccept {
				// Carried out or not: what has been taken is read again before the next step.
				l.loaded = false
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
func (l *lending) cancelLentJob(w *userRequest, f jobLookup) {
	retry := func() {
		l.after(lentCancelPoll, func() {
			if !w.answered {
				l.controller.frontend.cancelOpenJob(w)
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
	l.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Compares: []message.Compare{{Key: it.Key, ModRevision: f.modRevision}}, Writes: []message.Write{{Key: it.Key, Value: it.Value}}}, func(d message.StoreResponse) {
		if d.Status == message.StoreOK {
			it.ModRevision = d.Revision
			l.controller.observeOwnWrite(it)
		}
		retry()
	})
}

// lentCancelPoll is how often a waiting cancellation looks whether the peer has
// answered.
const lentCancelPoll = 250 * time.Millisecond

// offloadedJobsLoaded says that guest/ has been read in this term as owner.
func (l *lending) offloadedJobsLoaded() bool {
	held := l.controller.shardLeader.teams[l.team]
	return l.loaded && held != nil && held.holdID == l.term
}

// load reads guest/ for a new owner of the guests' team.
func (l *lending) load(team string) {
	if l.loading {
		return
	}
	l.loading = true
	term := l.controller.shardLeader.teams[team].holdID
	by, renewed := map[string]record.OffloadedJob{}, map[string]time.Time{}
	var list func(from string)
	list = func(from string) {
		l.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.OffloadedJobPrefix, StartAfter: from}, func(resp message.StoreResponse) {
			if held := l.controller.shardLeader; resp.Status != message.StoreOK || held == nil || held.teams[team] == nil || held.teams[team].holdID != term {
				l.loading = false
				return
			}
			for _, it := range resp.KeyValues {
				var r record.OffloadedJob
				switch {
				case !record.Decode(it.Value, &r):
					l.info("unreadable record", "key", it.Key)
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
			*l = lending{component: l.component, team: team, term: term, loaded: true, byLoan: by, renewedAt: renewed}
		})
	}
	list("")
}

func (l *lending) runRenewCommand(c message.RenewCommand) {
	if l.controller.shardLeader == nil || !l.offloadedJobsLoaded() {
		return
	}
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: l.controller.shardLeader.shardCompares(l.team)}
	for _, home := range sortedKeys(c.RenewedAt) {
		if len(op.Writes) < l.settings.MaxTxnWrites {
			op.Writes = append(op.Writes, message.Write{Key: renewalPrefix + home, Value: record.Encode(record.OffloadedJob{RenewedAt: c.RenewedAt[home].UnixMilli()})})
		}
	}
	if len(op.Writes) > 0 {
		l.controller.requests.toStore(op, func(message.StoreResponse) {})
	}
}

// runDrainCommand writes whether the cluster is being emptied of borrowed work.
func (l *lending) runDrainCommand(c message.DrainCommand) {
	rec := record.Encode(record.Drain{Enabled: c.Enabled, Deadline: c.Deadline.UnixMilli()})
	l.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Writes: []message.Write{{Key: record.DrainKey, Value: rec}}}, func(d message.StoreResponse) {
		s := message.LoanUncertain
		if d.Status == message.StoreOK {
			s = message.LoanDurable
			l.controller.membership.applyControlRecord(message.KeyValue{Key: record.DrainKey, Value: rec, ModRevision: d.Revision})
		}
		l.emit(message.LoanReply{Reply: c.Reply, Status: s})
	})
}
