package broker

import (
	"context"
	"log/slog"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
)

var lenderCommands = map[overflow.LenderTransitionKind]message.LoanCommandKind{
	overflow.Lend: message.LoanLend, overflow.TakeBack: message.LoanTakeBack, overflow.Settle: message.LoanSettle, overflow.EndCancelled: message.LoanEndCancelled,
}

var borrowerCommands = map[overflow.BorrowerTransitionKind]message.LoanCommandKind{
	overflow.Accept: message.LoanAccept, overflow.GiveUp: message.LoanGiveUp, overflow.Drop: message.LoanDrop,
}

// commitLenderTransition has a transition of a lent job made durable.
func (b *Broker) commitLenderTransition(transition overflow.LenderTransition) {
	if transition.Kind != overflow.Lend {
		slog.Info("overflow: loan ended", "loan", transition.Loan, "kind", transition.Kind, "cause", transition.Cause)
		b.metrics.countEnd(transition)
	}
	loan, lender := transition.Loan, b.lender
	if b.inFlight[loan] {
		// An earlier transition is still being written. The lender decides again
		// once its outcome is known.
		lender.CloseFailed(loan)
		return
	}
	command := message.LoanCommand{
		Kind: lenderCommands[transition.Kind], Job: loan.Job, Loan: loan.String(), LendCount: loan.LendCount,
		Peer: transition.Peer, StopBound: transition.StopBound, Cause: string(transition.Cause),
	}
	b.commit(loan, command, func(status message.LoanStatus) {
		if b.lender != lender {
			return
		}
		if status == message.LoanNotApplied {
			lender.CloseFailed(loan)
		}
		if transition.Kind == overflow.TakeBack && status == message.LoanDurable {
			b.returnedAt[loan.Job] = time.Now()
		}
	})
}

// commitBorrowerTransition has a transition of a borrowed job made durable.
func (b *Broker) commitBorrowerTransition(transition overflow.BorrowerTransition) {
	loan, borrower := transition.Loan, b.borrower
	spec := transition.Spec
	spec.ID, spec.Team = loan.OffloadedJobID(), b.settings.GuestTeam
	slog.Info("overflow: borrowed loan changed", "loan", loan, "kind", transition.Kind, "cause", transition.Cause)
	command := message.LoanCommand{
		Kind: borrowerCommands[transition.Kind], Job: spec.ID, Loan: loan.String(), Spec: spec, Age: transition.Age, Cause: string(transition.Cause),
	}
	b.commit(loan, command, func(status message.LoanStatus) {
		if b.borrower == borrower && transition.Kind == overflow.Accept && status == message.LoanNotApplied {
			// A durable acceptance is noted only when a view shows it, so that no
			// heartbeat can leave the loan out.
			borrower.NoteAccepted(loan, false)
		}
	})
}

// commit runs a transaction, in a goroutine of its own, until its outcome is known
// or the broker's life ends. There is one at a time for each loan: a further one is
// dropped. onDone runs on the event loop, unless Lender or Borrower were replaced.
func (b *Broker) commit(loan overflow.Loan, command message.LoanCommand, onDone func(message.LoanStatus)) {
	if b.inFlight[loan] {
		return
	}
	b.inFlight[loan] = true
	lender, borrower := b.lender, b.borrower
	go func() {
		for b.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(b.ctx, controllerTimeout)
			effect, err := b.controller.Ask(ctx, func(reply uint64) message.Command { command.Reply = reply; return command })
			cancel()
			if reply, ok := effect.(message.LoanReply); ok && err == nil && reply.Status != message.LoanUncertain {
				b.enqueue(func() {
					if b.lender == lender && b.borrower == borrower {
						delete(b.inFlight, loan)
						onDone(reply.Status)
					}
				})
				return
			}
			time.Sleep(uncertainRetryPause)
		}
	}()
}
