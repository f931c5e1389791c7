package broker

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
)

// answerHeartbeat processes a borrower's heartbeat and returns the reply, or
// link.ErrStale if the heartbeat must be refused.
func (broker *Broker) answerHeartbeat(now time.Time, view overflow.LenderView, heartbeat overflow.Heartbeat) heartbeatResult {
	peer := broker.peers[heartbeat.From]
	if peer == nil {
		return heartbeatResult{err: link.ErrStale}
	}
	reply, transitions, ok := broker.lender.HandleHeartbeat(now, view, heartbeat)
	if !ok {
		return heartbeatResult{err: link.ErrStale}
	}
	peer.NoteHeartbeat(now, heartbeat)
	for _, report := range heartbeat.Loans {
		if report.Loan.Home == broker.settings.Cluster && report.State == overflow.Held {
			broker.progress[report.Loan.Job] = message.Progress{ID: report.Loan.Job, Done: report.DoneTasks, Running: report.RunningTasks}
		}
		// The peer has refused a loan for lack of capacity, although the loan was
		// offered for capacity that the peer had reported. This counts once, when the
		// lender ends the loan.
		if report.State == overflow.Gone && report.Cause == overflow.NoCapacity && slices.ContainsFunc(transitions, func(transition overflow.LenderTransition) bool { return transition.Loan == report.Loan }) {
			peer.NoteBrokenLoan(now)
		}
	}
	for _, transition := range transitions {
		broker.commitLenderTransition(transition)
	}
	return heartbeatResult{reply: reply}
}

// sendHeartbeat starts a goroutine that sends a heartbeat to a peer and enqueues the
// handling of the outcome. The sending takes heartbeatTimeout at most.
func (broker *Broker) sendHeartbeat(now time.Time, peer, addr string, view overflow.BorrowerView) {
	heartbeat := broker.borrower.NewHeartbeat(now, broker.settings.Cluster, peer, view)
	if !broker.settings.BorrowEnabled {
		heartbeat.FreeCapacity = nil
	}
	borrower, tracker := broker.borrower, broker.peers[peer]
	go func() {
		ctx, cancel := context.WithTimeout(broker.ctx, heartbeatTimeout)
		defer cancel()
		reply, err := broker.sender.SendHeartbeat(ctx, peer, addr, heartbeat)
		latency := time.Since(now)
		broker.enqueue(func() {
			broker.metrics.observeReply(peer, err, latency)
			switch now := time.Now(); {
			case errors.Is(err, link.ErrNotLeader):
				tracker.NoteRedirect(now, "")
			case err != nil:
				slog.Debug("overflow: heartbeat failed", "peer", peer, "addr", addr, "err", err)
				tracker.NoteFailure(now, broker.rng)
			default:
				tracker.NoteReply(now, latency, broker.rng)
				if broker.borrower == borrower && broker.runsGuestTeam {
					broker.handleReply(peer, heartbeat.Sequence, reply)
				}
			}
		})
	}()
}

// handleReply processes a lender's reply to the heartbeat with the sequence number.
func (broker *Broker) handleReply(peer string, sequence uint64, reply overflow.HeartbeatReply) {
	for _, transition := range broker.borrower.HandleReply(peer, sequence, reply, broker.borrowerView(), broker.admit) {
		broker.commitBorrowerTransition(transition)
	}
}

// admit returns the cause for which a peer's job is refused, or "" if it is accepted.
func (broker *Broker) admit(command overflow.Command) overflow.Cause {
	switch {
	case !broker.settings.BorrowEnabled:
		return overflow.Refused
	case broker.view.Draining:
		return overflow.Draining
	}
	cause := overflow.Admit(command, &broker.admission, broker.settings.Limits)
	if cause != "" {
		broker.metrics.countRefusal(cause)
	}
	return cause
}
