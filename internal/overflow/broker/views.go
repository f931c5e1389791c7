package broker

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/overflow"
)

// lenderView is the controller's last view as the Lender needs it.
func (b *Broker) lenderView() overflow.LenderView {
	view := overflow.LenderView{Epoch: b.view.Epoch, LeaseValidUntil: b.view.LeaseValidUntil}
	for _, lent := range b.view.Lent {
		view.Lent = append(view.Lent, overflow.LentLoan{
			Loan: b.loanOf(lent), Peer: lent.Peer, Spec: lent.Spec, SubmittedAt: lent.SubmittedAt, StopBound: lent.StopBound, CancelRequested: lent.CancelRequested,
		})
	}
	return view
}

// loanOf is the loan by which a job of this cluster is lent.
func (b *Broker) loanOf(lent message.LentJob) overflow.Loan {
	return overflow.Loan{Home: b.settings.Cluster, Job: lent.Spec.ID, LendCount: lent.LendCount}
}

// borrowerView is the controller's last view as the Borrower needs it.
func (b *Broker) borrowerView() overflow.BorrowerView {
	v := &b.view
	view := overflow.BorrowerView{
		Epoch: v.GuestTeamEpoch, Draining: v.Draining, LendsItself: len(v.Lent) > 0 || v.OwnJobsLate,
		StopBound: workerLeaseCount*b.settings.WorkerLease + stopMargin, CachedImages: v.CachedImages, RenewedAt: map[string]time.Time{},
	}
	for home, renewedAt := range v.RenewedAt {
		// Another controller's clock wrote it, and either clock may be off.
		view.RenewedAt[home] = renewedAt.Add(-2 * b.settings.ClockBound)
	}
	for _, capacity := range v.FreeCapacity {
		view.FreeCapacity = append(view.FreeCapacity, overflow.FreeCapacity(capacity))
	}
	for _, borrowed := range v.Borrowed {
		loan, err := overflow.ParseLoan(borrowed.Loan)
		if err != nil {
			continue
		}
		view.Borrowed = append(view.Borrowed, overflow.BorrowedLoan{
			Loan: loan, Spec: borrowed.Spec, State: loanState(borrowed), Cause: overflow.Cause(borrowed.Cause),
			Ending: borrowed.Ending, DoneTasks: borrowed.DoneTasks, RunningTasks: borrowed.RunningTasks, Started: borrowed.Started,
		})
	}
	return view
}

// loanState is the state of a borrowed job's loan. While the job's status isn't
// known, the loan counts as held.
func loanState(borrowed message.BorrowedJob) overflow.LoanState {
	switch {
	case borrowed.StatusKnown && borrowed.Status == model.Done:
		return overflow.Finished
	case borrowed.StatusKnown && borrowed.Status == model.Cancelled:
		return overflow.Gone
	}
	return overflow.Held
}
