package controller

import (
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// loanTxn is a loan command as a transaction.
type loanTxn struct {
	message.StoreRequest
	// job is the job if this controller runs it, else nil.
	job *job
	// openUpdate is what becomes of the job's record in open/; its key is "" if it stays.
	openUpdate message.KeyValue
	// onApplied, if set, runs when the transaction was applied.
	onApplied func()
}

func (t *loanTxn) compare(key string, modRevision uint64) {
	t.Compares = append(t.Compares, message.Compare{Key: key, ModRevision: modRevision})
}

func (t *loanTxn) write(key string, value []byte) {
	t.Writes = append(t.Writes, message.Write{Key: key, Value: value})
}

// runCommand carries out one command as one transaction. It names the record of the one who decides, the leader's for
// what is lent, the shard of the guests' team for what is borrowed, so that nothing of a deposed one is applied; and
// the record that the decision rests on.
func (l *lending) runCommand(cmd message.LoanCommand) {
	done := func(s message.LoanStatus) { l.emit(message.LoanReply{Reply: cmd.Reply, Status: s}) }
	t := &loanTxn{StoreRequest: message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart}}
	if !l.addDecider(t, &cmd) || !l.addCommand(t, &cmd) {
		done(message.LoanNotApplied)
		return
	}
	if t.openUpdate.Key != "" {
		t.write(t.openUpdate.Key, t.openUpdate.Value)
	}
	l.controller.requests.toStore(t.StoreRequest, func(resp message.StoreResponse) {
		if t.job != nil {
			t.job.lending = false
		}
		switch resp.Status {
		case message.StoreOK:
			t.openUpdate.ModRevision = resp.Revision
			if t.onApplied != nil {
				t.onApplied()
			}
			if t.openUpdate.Key != "" {
				l.controller.observeOwnWrite(t.openUpdate)
			}
			done(message.LoanDurable)
		case message.StoreConflict, message.StoreRefused, message.StoreMalformed, message.StoreNoLease:
			done(message.LoanNotApplied)
		default:
			if cmd.Kind >= message.LoanAccept {
				// Applied or not: the loans are read again before the next command.
				l.loaded = false
			}
			done(message.LoanUncertain)
		}
	})
}

// addDecider names the record of the one who decides. It returns false if that is not this controller.
func (l *lending) addDecider(t *loanTxn, cmd *message.LoanCommand) bool {
	leadsShard := l.controller.shardLeader != nil && l.controller.shardLeader.ready
	switch borrowing := cmd.Kind >= message.LoanAccept; {
	case borrowing && leadsShard && l.offloadedJobsLoaded():
		t.Compares = append(t.Compares, l.controller.shardLeader.shardCompares(l.team)...)
	case !borrowing && l.controller.leader != nil:
		t.compare(record.LeaderKey, l.controller.leader.modRevision)
	default:
		return false
	}
	if leadsShard {
		t.job = l.controller.shardLeader.jobs[cmd.Job]
	}
	return true
}

// addCommand adds what the command compares and writes. It returns false if it can't be applied to the job as it is
// known here.
func (l *lending) addCommand(t *loanTxn, cmd *message.LoanCommand) bool {
	current, isOpen := l.controller.frontend.watchCache.openJobs[cmd.Job]
	isLent := isOpen && current.rec.LentTo != ""
	switch cmd.Kind {
	case message.LoanLend:
		return l.addLend(t, cmd)
	case message.LoanTakeBack:
		return isLent && current.rec.LendCount == cmd.LendCount && addTakeBack(t, cmd, &current)
	case message.LoanSettle:
		return isLent && current.rec.LendCount == cmd.LendCount && l.addEnd(t, cmd, &current, model.Done)
	case message.LoanEndCancelled:
		return isLent && current.rec.LendCount == cmd.LendCount && l.addEnd(t, cmd, &current, model.Cancelled)
	case message.LoanAccept:
		return l.addAccept(t, cmd)
	case message.LoanGiveUp:
		return isOpen && !current.rec.Cancelled && l.addGiveUp(t, cmd, &current)
	case message.LoanDrop:
		return l.addDrop(t, cmd)
	}
	return true
}

// addLend lends a job that was never started here to a peer.
func (l *lending) addLend(t *loanTxn, cmd *message.LoanCommand) bool {
	j := t.job
	if j == nil || !j.isLendable() || !l.controller.promises.isDateDurable(j) {
		return false
	}
	rec := j.currentRecord()
	rec.LentTo, rec.LendCount, rec.StopBoundMillis = cmd.Peer, cmd.LendCount, cmd.StopBound.Milliseconds()
	j.lending = true
	// Without an answer it may be applied after the job was started here, which leaves its record in
	// open/ as it is. So the record of the first task must not be there either.
	t.Compares = append(t.Compares, l.controller.shardLeader.shardCompares(j.Team)...)
	t.compare(record.OpenJobPrefix+cmd.Job, j.modRevision)
	t.Compares = append(t.Compares, l.controller.membership.formats.neverStartedCompares(cmd.Job)...)
	t.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	return true
}

// addTakeBack takes a lent job back, which may then be started here.
func addTakeBack(t *loanTxn, cmd *message.LoanCommand, current *openJob) bool {
	rec := current.rec
	rec.LentTo, rec.StopBoundMillis, rec.CancelRequested = "", 0, false
	t.compare(record.OpenJobPrefix+cmd.Job, current.modRevision)
	t.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	return true
}

// addEnd ends a lent job that the peer has done, or cancelled.
func (l *lending) addEnd(t *loanTxn, cmd *message.LoanCommand, current *openJob, status model.JobStatus) bool {
	endRec := l.controller.promises.endRecordFromCache(cmd.Job, status, current)
	t.compare(record.OpenJobPrefix+cmd.Job, current.modRevision)
	t.write(record.JobStatusPrefix+cmd.Job, record.Encode(endRec))
	t.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Deleted: true}
	t.onApplied = func() {
		l.controller.frontend.cacheFinalStatus(cmd.Job, status)
		l.controller.promises.cacheDoneDate(cmd.Job, endRec)
	}
	return true
}

// addAccept borrows a job from a peer: it becomes an open job of the guests' team.
func (l *lending) addAccept(t *loanTxn, cmd *message.LoanCommand) bool {
	loan := record.OffloadedJob{Job: cmd.Job}
	rec := record.NewOpenJob(&cmd.Spec, l.now.Add(-cmd.Age))
	rec.BorrowedLoan = cmd.Loan
	t.compare(record.OffloadedJobPrefix+cmd.Loan, 0)
	t.compare(record.OpenJobPrefix+cmd.Job, 0)
	t.compare(record.JobStatusPrefix+cmd.Job, 0)
	t.write(record.OffloadedJobPrefix+cmd.Loan, record.Encode(loan))
	t.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	t.onApplied = func() { l.byLoan[cmd.Loan] = loan }
	return true
}

// addGiveUp cancels a borrowed job, and records why, for its home.
func (l *lending) addGiveUp(t *loanTxn, cmd *message.LoanCommand, current *openJob) bool {
	loan := record.OffloadedJob{Job: cmd.Job, Cause: cmd.Cause}
	rec := current.rec
	rec.Cancelled, rec.CancelledAtMillis = true, l.now.UnixMilli()
	rec.ShrinkToFit(l.settings.MaxValueBytes)
	t.compare(record.OpenJobPrefix+cmd.Job, current.modRevision)
	t.write(record.JobStatusPrefix+cmd.Job, record.Encode(l.controller.promises.endRecordFromCache(cmd.Job, model.Cancelled, current)))
	t.write(record.OffloadedJobPrefix+cmd.Loan, record.Encode(loan))
	t.openUpdate = message.KeyValue{Key: record.OpenJobPrefix + cmd.Job, Value: record.Encode(rec)}
	t.onApplied = func() { l.byLoan[cmd.Loan] = loan }
	return true
}

// addDrop removes what is left of a loan whose home knows its end.
func (l *lending) addDrop(t *loanTxn, cmd *message.LoanCommand) bool {
	t.compare(record.OpenJobPrefix+cmd.Job, 0)
	t.write(record.OffloadedJobPrefix+cmd.Loan, nil)
	t.write(record.JobStatusPrefix+cmd.Job, nil)
	t.onApplied = func() {
		delete(l.byLoan, cmd.Loan)
		l.controller.frontend.forgetFinalStatus(cmd.Job)
	}
	return true
}
