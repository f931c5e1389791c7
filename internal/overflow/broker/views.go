package broker

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/overflow"
)

// lenderView converts the controller's last view for the Lender.
func (broker *Broker) lenderView() overflow.LenderView {
	view := overflow.LenderView{Epoch: broker.view.Epoch, LeaseValidUntil: broker.view.LeaseValidUntil}
	for _, lent := range broker.view.Lent {
		view.Lent = append(view.Lent, overflow.LentLoan{
			Loan: broker.loanOf(lent), Peer: lent.Peer, Spec: lent.Spec, SubmittedAt: lent.SubmittedAt, StopBound: lent.StopBound, CancelRequested: lent.CancelRequested,
		})
	}
	return view
}

// loanOf returns the loan under which a job of this cluster is lent.
func (broker *Broker) loanOf(lent message.LentJob) overflow.Loan {
	return overflow.Loan{Home: broker.settings.Cluster, Job: lent.Spec.ID, LendCount: lent.LendCount}
}

// borrowerView converts the controller's last view for the Borrower. It leaves out a
// loan whose name is invalid.
func (broker *Broker) borrowerView() overflow.BorrowerView {
	loanView := &broker.view
	view := overflow.BorrowerView{
		Epoch: loanView.GuestTeamEpoch, Draining: loanView.Draining, LendsItself: len(loanView.Lent) > 0 || loanView.OwnJobsLate,
		StopBound: workerLeaseCount*broker.settings.WorkerLease + stopMargin, CachedImages: loanView.CachedImages, RenewedAt: map[string]time.Time{},
	}
	for home, renewedAt := range loanView.RenewedAt {
		// The time is from another controller's clock. Either clock may be wrong by
		// ClockBound.
		view.RenewedAt[home] = renewedAt.Add(-2 * broker.settings.ClockBound)
	}
	for _, capacity := range loanView.FreeCapacity {
		view.FreeCapacity = append(view.FreeCapacity, overflow.FreeCapacity(capacity))
	}
	for _, borrowed := range loanView.Borrowed {
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

// loanState returns the state of a borrowed job's loan. The loan counts as held while
// the job's status isn't known.
func loanState(borrowed message.BorrowedJob) overflow.LoanState {
	switch {
	case borrowed.StatusKnown && borrowed.Status == model.Done:
		return overflow.Finished
	case borrowed.StatusKnown && borrowed.Status == model.Cancelled:
		return overflow.Gone
	}
	return overflow.Held
}
