package broker

import (
	"context"
	"log/slog"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
)

// lenderCommands maps a lender's transitions to the controller's commands.
var lenderCommands = map[overflow.LenderTransitionKind]message.LoanCommandKind{
	overflow.Lend: message.LoanLend, overflow.TakeBack: message.LoanTakeBack, overflow.Settle: message.LoanSettle, overflow.EndCancelled: message.LoanEndCancelled,
}

// borrowerCommands maps a borrower's transitions to the controller's commands.
var borrowerCommands = map[overflow.BorrowerTransitionKind]message.LoanCommandKind{
	overflow.Accept: message.LoanAccept, overflow.GiveUp: message.LoanGiveUp, overflow.Drop: message.LoanDrop,
}

// commitLenderTransition has the controller make a transition of a lent job durable.
func (broker *Broker) commitLenderTransition(transition overflow.LenderTransition) {
	if transition.Kind != overflow.Lend {
		slog.Info("overflow: loan ended", "loan", transition.Loan, "kind", transition.Kind, "cause", transition.Cause)
		broker.metrics.countEnd(transition)
	}
	loan, lender := transition.Loan, broker.lender
	if broker.inFlight[loan] {
		// An earlier transition of the loan is still being written. The lender decides
		// again when the outcome of that transition is known.
		lender.CloseFailed(loan)
		return
	}
	command := message.LoanCommand{
		Kind: lenderCommands[transition.Kind], Job: loan.Job, Loan: loan.String(), LendCount: loan.LendCount,
		Peer: transition.Peer, StopBound: transition.StopBound, Cause: string(transition.Cause),
	}
	broker.commit(loan, command, func(status message.LoanStatus) {
		if broker.lender != lender {
			return
		}
		if status == message.LoanNotApplied {
			lender.CloseFailed(loan)
		}
		if transition.Kind == overflow.TakeBack && status == message.LoanDurable {
			broker.returnedAt[loan.Job] = time.Now()
		}
	})
}

// commitBorrowerTransition has the controller make a transition of a borrowed job
// durable.
func (broker *Broker) commitBorrowerTransition(transition overflow.BorrowerTransition) {
	loan, borrower := transition.Loan, broker.borrower
	spec := transition.Spec
	spec.ID, spec.Team = loan.OffloadedJobID(), broker.settings.GuestTeam
	slog.Info("overflow: borrowed loan changed", "loan", loan, "kind", transition.Kind, "cause", transition.Cause)
	command := message.LoanCommand{
		Kind: borrowerCommands[transition.Kind], Job: spec.ID, Loan: loan.String(), Spec: spec, Age: transition.Age, Cause: string(transition.Cause),
	}
	broker.commit(loan, command, func(status message.LoanStatus) {
		if broker.borrower == borrower && transition.Kind == overflow.Accept && status == message.LoanNotApplied {
			// A durable acceptance is noted only when a view shows the loan, so that
			// every heartbeat lists the loan.
			borrower.NoteAccepted(loan, false)
		}
	})
}

// commit starts a goroutine that repeats a transaction until its outcome is known or
// the broker's context ends. Only one transaction for each loan may be in flight; commit
// drops a further one. onDone then runs on the event loop with the outcome, unless the
// Lender or the Borrower has been replaced in the meantime.
func (broker *Broker) commit(loan overflow.Loan, command message.LoanCommand, onDone func(message.LoanStatus)) {
	if broker.inFlight[loan] {
		return
	}
	broker.inFlight[loan] = true
	lender, borrower := broker.lender, broker.borrower
	go func() {
		for broker.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(broker.ctx, controllerTimeout)
			effect, err := broker.controller.Ask(ctx, func(reply uint64) message.Command { command.Reply = reply; return command })
			cancel()
			if reply, ok := effect.(message.LoanReply); ok && err == nil && reply.Status != message.LoanUncertain {
				broker.enqueue(func() {
					if broker.lender == lender && broker.borrower == borrower {
						delete(broker.inFlight, loan)
						onDone(reply.Status)
					}
				})
				return
			}
			time.Sleep(uncertainRetryPause)
		}
	}()
}
