package controller

import (
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// loans.go keeps the jobs that are lent to peer clusters and borrowed from them. internal/overflow
// makes the decisions; this file holds the records and the transactions that carry decisions out. A
// lent job keeps its record in open/, which names the peer. Every transaction that would start the
// job's tasks in this cluster compares that record's mod revision. A borrowed job is like any other
// job of the guests' team, except that its tasks may start only while its home cluster has recently
// confirmed the loan.

const (
	// renewalPrefix is the prefix of the records with the times of answered heartbeats, one
	// record for each home cluster. No loan's name begins with "0/", since no cluster's name
	// does.
	renewalPrefix = record.OffloadedJobPrefix + "0/"
	// lentCancelPoll is the interval at which a pending cancellation checks whether the peer has
	// answered.
	lentCancelPoll = 250 * time.Millisecond
)

// lending holds the loans that this cluster has taken, as read from the records under
// record.OffloadedJobPrefix. It belongs to the controller, and Step may call it at any time. Its
// fields are valid only while this controller leads the shard of the guests' team, in the same
// term in which the loans were read. offloadedJobsLoaded reports that, and every use of the
// fields checks it first.
//
// Invariants: each command is one transaction, which compares the record of the role that
// decides: the leader, or the shard of the guests' team. After a transaction without an answer
// the loans are read again before the next command.
//
// Nothing is handed over at failover: the next shard leader of the guests' team reads the
// records.
type lending struct {
	component

	// team is the guests' team, and term the holdID under which the team was held when the loans
	// were read.
	team    string
	term    int
	loaded  bool
	loading bool
	// byLoan holds the loans that this cluster has taken, by name. renewedAt is when each home
	// cluster was last answered.
	byLoan    map[string]record.OffloadedJob
	renewedAt map[string]time.Time
}

// loanState is the part of a job that concerns loans.
type loanState struct {
	// lentTo is the peer that has the job, or "". lendInFlight says that a transaction that lends the
	// job is in flight.
	lentTo          string
	lendCount       uint64
	cancelRequested bool
	lendInFlight    bool
	// borrowedLoan is the loan through which the job is in this cluster, or "". The job's tasks
	// may be started until startableUntil.
	borrowedLoan   string
	startableUntil time.Time
}

// isLentOrLending reports whether the job is lent, being lent, or being cancelled at the peer.
func (loan *loanState) isLentOrLending() bool {
	return loan.lentTo != "" || loan.lendInFlight || loan.cancelRequested
}

// mayStart reports whether the job's tasks may be started now. Those of a borrowed job may start
// only while the home cluster has recently confirmed the loan, because it may have taken the job
// back.
func (loan *loanState) mayStart(now time.Time) bool {
	return loan.borrowedLoan == "" || now.Before(loan.startableUntil)
}

// setLoanFrom copies the loan fields of the job's open record.
func (loan *loanState) setLoanFrom(rec *record.OpenJob) {
	loan.lentTo, loan.lendCount, loan.cancelRequested, loan.borrowedLoan = rec.LentTo, rec.LendCount, rec.CancelRequested, rec.BorrowedLoan
}

// hasStarted reports whether a task of the job was ever started, is being started or waits for
// its record to be stored. Each of these creates a task record segment; a job of which no task
// was ever placed has none.
func (job *job) hasStarted() bool {
	return len(job.segments) > 0 || len(job.formerKeys) > 0 || job.liveTasks > 0
}

// isLendable reports whether the job may be lent, which requires that no attempt of it can exist
// anywhere.
func (job *job) isLendable() bool {
	return !job.hasStarted() && !job.cancelled && !job.ending && !job.dependenciesPending && !job.isLentOrLending() && job.borrowedLoan == ""
}

// currentRecord returns the job's record in open/ as this shard leader knows it.
func (job *job) currentRecord() record.OpenJob {
	rec := record.NewOpenJob(&job.JobSpec, job.submittedAt)
	if job.urgencyRaised {
		rec.Urgency = int(job.ownUrgency)
	}
	rec.LendCount, rec.BorrowedLoan, rec.PromisedMillis = job.lendCount, job.borrowedLoan, int(job.firstPromise.Milliseconds())
	return rec
}

// cancelLentJob records that the user cancels a lent job. The request is answered only when the
// peer has stopped the job or can no longer be running it, because any earlier answer could turn
// out to be wrong.
func (loans *lending) cancelLentJob(request *userRequest, lookup jobLookup) {
	retry := func() {
		loans.after(lentCancelPoll, func() {
			if !request.answered {
				loans.controller.frontend.cancelOpenJob(request)
			}
		})
	}
	if lookup.open.CancelRequested {
		retry()
		return
	}
	rec := lookup.open
	rec.CancelRequested = true
	update := message.KeyValue{Key: record.OpenJobPrefix + request.id, Value: record.Encode(rec)}
	loans.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Compares: []message.Compare{{Key: update.Key, ModRevision: lookup.modRevision}}, Writes: []message.Write{{Key: update.Key, Value: update.Value}}}, func(response message.StoreResponse) {
		if response.Status == message.StoreOK {
			update.ModRevision = response.Revision
			loans.controller.observeOwnWrite(update)
		}
		retry()
	})
}

// offloadedJobsLoaded reports whether the loans were read in the current term as shard leader of
// the guests' team. It may be called only while this controller is a shard leader.
func (loans *lending) offloadedJobsLoaded() bool {
	team := loans.controller.shardLeader.teams[loans.team]
	return loans.loaded && team != nil && team.holdID == loans.term
}

// load reads the loans for a new shard leader of the guests' team.
func (loans *lending) load(team string) {
	if loans.loading {
		return
	}
	loans.loading = true
	term := loans.controller.shardLeader.teams[team].holdID
	byLoan, renewedAt := map[string]record.OffloadedJob{}, map[string]time.Time{}
	var list func(from string)
	list = func(from string) {
		loans.controller.requests.toStore(message.StoreRequest{Kind: message.OpList, Priority: message.PriorityMembership, Key: record.OffloadedJobPrefix, StartAfter: from}, func(response message.StoreResponse) {
			if shardLeader := loans.controller.shardLeader; response.Status != message.StoreOK || shardLeader == nil || shardLeader.teams[team] == nil || shardLeader.teams[team].holdID != term {
				loans.loading = false
				return
			}
			for _, kv := range response.KeyValues {
				var rec record.OffloadedJob
				switch {
				case !record.Decode(kv.Value, &rec):
					loans.info("record unreadable", "key", kv.Key)
				case strings.HasPrefix(kv.Key, renewalPrefix):
					renewedAt[strings.TrimPrefix(kv.Key, renewalPrefix)] = time.UnixMilli(rec.RenewedAt)
				default:
					byLoan[strings.TrimPrefix(kv.Key, record.OffloadedJobPrefix)] = rec
				}
			}
			if response.Truncated && len(response.KeyValues) > 0 {
				list(response.KeyValues[len(response.KeyValues)-1].Key)
				return
			}
			*loans = lending{component: loans.component, team: team, term: term, loaded: true, byLoan: byLoan, renewedAt: renewedAt}
		})
	}
	list("")
}

// runRenewCommand stores when each home cluster was last answered.
func (loans *lending) runRenewCommand(command message.RenewCommand) {
	if loans.controller.shardLeader == nil || !loans.offloadedJobsLoaded() {
		return
	}
	request := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: loans.controller.shardLeader.shardCompares(loans.team)}
	for _, home := range sortedKeys(command.RenewedAt) {
		if len(request.Writes) < loans.settings.MaxTxnWrites {
			request.Writes = append(request.Writes, message.Write{Key: renewalPrefix + home, Value: record.Encode(record.OffloadedJob{RenewedAt: command.RenewedAt[home].UnixMilli()})})
		}
	}
	if len(request.Writes) > 0 {
		loans.controller.requests.toStore(request, func(message.StoreResponse) {})
	}
}

// runDrainCommand stores whether this cluster drains its borrowed jobs. The transaction compares
// the drain record that this controller knows, so that a command that is carried out late
// overwrites no newer one.
func (loans *lending) runDrainCommand(command message.DrainCommand) {
	membership := &loans.controller.membership
	wanted := record.Drain{Enabled: command.Enabled, Deadline: command.Deadline.UnixMilli()}
	request := message.StoreRequest{
		Kind: message.OpTxn, Priority: message.PriorityUser,
		Compares: []message.Compare{{Key: record.DrainKey, ModRevision: membership.drainModRevision}},
		Writes:   []message.Write{{Key: record.DrainKey, Value: record.Encode(wanted)}},
	}
	loans.controller.requests.toStore(request, func(response message.StoreResponse) {
		switch response.Status {
		case message.StoreOK:
			if response.Revision > membership.drainModRevision {
				membership.applyControlRecord(message.KeyValue{Key: record.DrainKey, Value: request.Writes[0].Value, ModRevision: response.Revision})
			}
			loans.emit(message.LoanReply{Reply: command.Reply, Status: message.LoanDurable})
		case message.StoreConflict:
			// Either another controller has written a newer record, or this command was applied
			// by an earlier attempt whose answer was lost.
			membership.confirmControlRecords(func() {
				status := message.LoanNotApplied
				if membership.drain == wanted {
					status = message.LoanDurable
				}
				loans.emit(message.LoanReply{Reply: command.Reply, Status: status})
			})
		default:
			loans.emit(message.LoanReply{Reply: command.Reply, Status: message.LoanUncertain})
		}
	})
}
