package controller

import (
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// loans.go has the jobs lent to peers and borrowed from them. Decisions are made in internal/overflow; here are the
// records, and the transactions that carry decisions out. A lent job keeps its record in open/, which says who has
// it: whatever would start its tasks here names that record's mod revision. A borrowed job is like any other of the
// guests' team, but it may start only while its home has lately confirmed the loan.

const (
	// renewalPrefix has the times of answered heartbeats, one record for each home. No loan's name
	// begins like that, as no cluster's does.
	renewalPrefix = record.OffloadedJobPrefix + "0/"
	// lentCancelPoll is how often a pending cancellation checks whether the peer has answered.
	lentCancelPoll = 250 * time.Millisecond
)

// lending owns the loans that this cluster has taken, as its records under record.OffloadedJobPrefix say. It belongs
// to the controller and may be called at any time from within Step. But the fields count only while this controller
// leads the shard of the guests' team, in the same term in which they were read: offloadedJobsLoaded says so, and
// every use of them checks it first.
//
// Invariants: each command is one transaction, which names the record of the one who decides; after one without an
// answer the loans are read again before the next.
//
// At failover nothing is handed over: the next shard leader of the guests' team reads the records.
type lending struct {
	component

	// team is the guests' team, and term the holdID under which it was held when it was read.
	team    string
	term    int
	loaded  bool
	loading bool
	// byLoan are the loans taken, by name; renewedAt is when each home was last answered.
	byLoan    map[string]record.OffloadedJob
	renewedAt map[string]time.Time
}

// loanState is the part of a job that is about loans.
type loanState struct {
	// lentTo is the peer that has the job, or "". lending says that this is being written.
	lentTo          string
	lendCount       uint64
	cancelRequested bool
	lending         bool
	// borrowedLoan is the loan by which the job is here, or ""; its tasks may be started until
	// startableUntil.
	borrowedLoan   string
	startableUntil time.Time
}

// elsewhere reports whether the job is lent, being lent, or being cancelled at the peer.
func (l *loanState) elsewhere() bool { return l.lentTo != "" || l.lending || l.cancelRequested }

// mayStart reports whether tasks may be started now: those of a borrowed job only while the home has lately confirmed
// the loan, as it may have taken the job back.
func (l *loanState) mayStart(now time.Time) bool {
	return l.borrowedLoan == "" || now.Before(l.startableUntil)
}

func (l *loanState) setLoanFrom(r *record.OpenJob) {
	l.lentTo, l.lendCount, l.cancelRequested, l.borrowedLoan = r.LentTo, r.LendCount, r.CancelRequested, r.BorrowedLoan
}

// hasStarted reports whether a task of the job was ever started, is being started or waits for its record: each of
// these makes a task record segment. A job that was only never placed has none.
func (j *job) hasStarted() bool {
	return len(j.segments) > 0 || len(j.formerKeys) > 0 || j.liveTasks > 0
}

// isLendable reports whether the job may be lent: no attempt of it can be anywhere.
func (j *job) isLendable() bool {
	return !j.hasStarted() && !j.cancelled && !j.ending && !j.dependenciesPending && !j.elsewhere() && j.borrowedLoan == ""
}

// currentRecord is the job's record in open/ as it stands here.
func (j *job) currentRecord() record.OpenJob {
	r := record.NewOpenJob(&j.JobSpec, j.submittedAt)
	if j.urgencyRaised {
		r.Urgency = int(j.ownUrgency)
	}
	r.LendCount, r.BorrowedLoan, r.PromisedMillis = j.lendCount, j.borrowedLoan, int(j.firstPromise.Milliseconds())
	return r
}

// cancelLentJob records that the user of a lent job cancels it. The request is answered only when the peer has stopped
// the job or surely runs it no more: any earlier answer could turn out to be wrong.
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

// offloadedJobsLoaded reports whether the loans were read in this term as shard leader of the guests' team. It may be
// called only while there is a shard leader.
func (l *lending) offloadedJobsLoaded() bool {
	held := l.controller.shardLeader.teams[l.team]
	return l.loaded && held != nil && held.holdID == l.term
}

// load reads the loans for a new shard leader of the guests' team.
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
					l.info("record unreadable", "key", it.Key)
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

// runRenewCommand writes when each home was last answered.
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

// runDrainCommand writes whether borrowed jobs are being drained from this cluster. It names the
// switch that this controller knows, so that one carried out late undoes no newer one.
func (l *lending) runDrainCommand(c message.DrainCommand) {
	members := &l.controller.membership
	wanted := record.Drain{Enabled: c.Enabled, Deadline: c.Deadline.UnixMilli()}
	op := message.StoreRequest{
		Kind: message.OpTxn, Priority: message.PriorityUser,
		Compares: []message.Compare{{Key: record.DrainKey, ModRevision: members.drainModRevision}},
		Writes:   []message.Write{{Key: record.DrainKey, Value: record.Encode(wanted)}},
	}
	l.controller.requests.toStore(op, func(d message.StoreResponse) {
		switch d.Status {
		case message.StoreOK:
			if d.Revision > members.drainModRevision {
				members.applyControlRecord(message.KeyValue{Key: record.DrainKey, Value: op.Writes[0].Value, ModRevision: d.Revision})
			}
			l.emit(message.LoanReply{Reply: c.Reply, Status: message.LoanDurable})
		case message.StoreConflict:
			// Another's is newer, or its own stands there and the first answer was lost.
			members.confirmControlRecords(func() {
				status := message.LoanNotApplied
				if members.drain == wanted {
					status = message.LoanDurable
				}
				l.emit(message.LoanReply{Reply: c.Reply, Status: status})
			})
		default:
			l.emit(message.LoanReply{Reply: c.Reply, Status: message.LoanUncertain})
		}
	})
}
