package controller

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// loanTxn is a loan command as a transaction.
type loanTxn struct {
	message.StoreRequest
	// job is the job if this controller is its shard leader, else nil.
	job *job
	// openUpdate is the change of the job's record in open/. Its key is "" if the record does
	// not change.
	openUpdate message.KeyValue
	// onApplied, if set, is called after the transaction was applied.
	onApplied func()
}

// compare adds the condition that key has the mod revision modRevision, or is absent if that is
// 0.
func (txn *loanTxn) compare(key string, modRevision uint64) {
	txn.Compares = append(txn.Compares, message.Compare{Key: key, ModRevision: modRevision})
}

// write adds a write of key. A nil value deletes the key.
func (txn *loanTxn) write(key string, value []byte) {
	txn.Writes = append(txn.Writes, message.Write{Key: key, Value: value})
}

// runCommand carries out a command as one transaction. The transaction compares the record of
// the role that decides, so that no command of a deposed controller is applied: the leader's
// record for lent jobs, the shard of the guests' team for borrowed ones. It also compares the
// records that the decision rests on.
func (loans *lending) runCommand(cmd message.LoanCommand) {
	reply := func(status message.LoanStatus) { loans.emit(message.LoanReply{Reply: cmd.Reply, Status: status}) }
	txn := &loanTxn{StoreRequest: message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart}}
	if !loans.addDeciderCompares(txn, &cmd) || !loans.addCommand(txn, &cmd) {
		reply(message.LoanNotApplied)
		return
	}
	if txn.openUpdate.Key != "" {
		txn.write(txn.openUpdate.Key, txn.openUpdate.Value)
	}
	loans.controller.requests.toStore(txn.StoreRequest, func(response message.StoreResponse) {
		if txn.job != nil {
			txn.job.lendInFlight = false
		}
		switch response.Status {
		case message.StoreOK:
			txn.openUpdate.ModRevision = response.Revision
			if txn.onApplied != nil {
				txn.onApplied()
			}
			if txn.openUpdate.Key != "" {
				loans.controller.observeOwnWrite(txn.openUpdate)
			}
			reply(message.LoanDurable)
		case message.StoreConflict, message.StoreRefused, message.StoreMalformed, message.StoreNoLease:
			reply(message.LoanNotApplied)
		default:
			if cmd.Kind >= message.LoanAccept {
				// The transaction may or may not have been applied, so the loans are read again
				// before the next command.
				loans.loaded = false
			}
			reply(message.LoanUncertain)
		}
	})
}

// addDeciderCompares adds the compare of the record of the role that decides. It returns false if this
// controller does not have that role.
func (loans *lending) addDeciderCompares(txn *loanTxn, cmd *message.LoanCommand) bool {
	leadsShard := loans.controller.shardLeader != nil && loans.controller.shardLeader.ready
	switch borrowing := cmd.Kind >= message.LoanAccept; {
	case borrowing && leadsShard && loans.offloadedJobsLoaded():
		txn.Compares = append(txn.Compares, loans.controller.shardLeader.shardCompares(loans.team)...)
	case !borrowing && loans.controller.leader != nil:
		txn.compare(record.LeaderKey, loans.controller.leader.modRevision)
	default:
		return false
	}
	if leadsShard {
		txn.job = loans.controller.shardLeader.jobs[cmd.Job]
	}
	return true
}

// addCommand adds the compares and writes of the command. It returns false if the command cannot
// be applied to the job's known state.
func (loans *lending) addCommand(txn *loanTxn, cmd *message.LoanCommand) bool {
	current, isOpen := loans.controller.frontend.watchCache.openJobs[cmd.Job]
	isLent := isOpen && current.rec.LentTo != ""
	switch cmd.Kind {
	case message.LoanLend:
		return loans.addLend(txn, cmd)
	case message.LoanTakeBack:
		return isLent && current.rec.LendCount == cmd.LendCount && addTakeBack(txn, cmd, &current)
	case message.LoanSettle:
		return isLent && current.rec.LendCount == cmd.LendCount && loans.addEnd(txn, cmd, &current, model.Done)
	case message.LoanEndCancelled:
		return isLent && current.rec.LendCount == cmd.LendCount && loans.addEnd(txn, cmd, &current, model.Cancelled)
	case message.LoanAccept:
		return loans.addAccept(txn, cmd)
	case message.LoanGiveUp:
		return isOpen && !current.rec.Cancelled && loans.addGiveUp(txn, cmd, &current)
	case message.LoanDrop:
		return loans.addDrop(txn, cmd)
	}
	return true
}

// addLend lends a job to a peer. No task of the job may ever have started in this cluster.
func (loans *lending) addLend(txn *loanTxn, cmd *message.LoanCommand) bool {
	job := txn.job
	if job == nil || !job.isLendable() || !loans.controller.promises.isDateDurable(job) {
		return false
	}
	rec := job.currentRecord()
	rec.LentTo, rec.LendCount, rec.StopBoundMillis = cmd.Peer, cmd.LendCount, cmd.StopBound.Milliseconds()
	job.lendInFlight = true
	// If the transaction gets no answer, the store may apply it after the job was started in
	// this cluster. A start does not change the record in open/, so the transaction also
	// requires that the record of the first task is absent.
	txn.Compares = append(txn.Compares, loans.controller.shardLeader.shardCompares(job.Team)...)
	txn.compare(record.OpenJobPrefix+cmd.Job, job.modRevision)
	txn.Compares = append(txn.Compares, loans.controller.membership.formats.neverStartedCompares(cmd.Job)...)
	txn.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	return true
}

// addTakeBack takes a lent job back. Its tasks may then be started in this cluster.
func addTakeBack(txn *loanTxn, cmd *message.LoanCommand, current *openJob) bool {
	rec := current.rec
	rec.LentTo, rec.StopBoundMillis, rec.CancelRequested = "", 0, false
	txn.compare(record.OpenJobPrefix+cmd.Job, current.modRevision)
	txn.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	return true
}

// addEnd ends a lent job that the peer has completed or cancelled.
func (loans *lending) addEnd(txn *loanTxn, cmd *message.LoanCommand, current *openJob, status model.JobStatus) bool {
	endRec := loans.controller.promises.endRecordFromCache(cmd.Job, status, current)
	txn.compare(record.OpenJobPrefix+cmd.Job, current.modRevision)
	txn.write(record.JobStatusPrefix+cmd.Job, record.Encode(endRec))
	txn.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Deleted: true}
	txn.onApplied = func() {
		loans.controller.frontend.cacheFinalStatus(cmd.Job, status)
		loans.controller.promises.cacheDoneDate(cmd.Job, endRec)
	}
	return true
}

// addAccept borrows a job from a peer: the job becomes an open job of the guests' team.
func (loans *lending) addAccept(txn *loanTxn, cmd *message.LoanCommand) bool {
	loan := record.OffloadedJob{Job: cmd.Job}
	rec := record.NewOpenJob(&cmd.Spec, loans.now.Add(-cmd.Age))
	rec.BorrowedLoan = cmd.Loan
	txn.compare(record.OffloadedJobPrefix+cmd.Loan, 0)
	txn.compare(record.OpenJobPrefix+cmd.Job, 0)
	txn.compare(record.JobStatusPrefix+cmd.Job, 0)
	txn.write(record.OffloadedJobPrefix+cmd.Loan, record.Encode(loan))
	txn.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	txn.onApplied = func() { loans.byLoan[cmd.Loan] = loan }
	return true
}

// addGiveUp cancels a borrowed job, and records the cause for its home cluster.
func (loans *lending) addGiveUp(txn *loanTxn, cmd *message.LoanCommand, current *openJob) bool {
	loan := record.OffloadedJob{Job: cmd.Job, Cause: cmd.Cause}
	rec := current.rec
	rec.Cancelled, rec.CancelledAtMillis = true, loans.now.UnixMilli()
	rec.ShrinkToFit(loans.settings.MaxValueBytes)
	txn.compare(record.OpenJobPrefix+cmd.Job, current.modRevision)
	txn.write(record.JobStatusPrefix+cmd.Job, record.Encode(loans.controller.promises.endRecordFromCache(cmd.Job, model.Cancelled, current)))
	txn.write(record.OffloadedJobPrefix+cmd.Loan, record.Encode(loan))
	txn.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	txn.onApplied = func() { loans.byLoan[cmd.Loan] = loan }
	return true
}

// addDrop deletes the remaining records of a loan whose end the home cluster knows.
func (loans *lending) addDrop(txn *loanTxn, cmd *message.LoanCommand) bool {
	txn.compare(record.OpenJobPrefix+cmd.Job, 0)
	txn.write(record.OffloadedJobPrefix+cmd.Loan, nil)
	txn.write(record.JobStatusPrefix+cmd.Job, nil)
	txn.onApplied = func() {
		delete(loans.byLoan, cmd.Loan)
		loans.controller.frontend.forgetFinalStatus(cmd.Job)
	}
	return true
}
