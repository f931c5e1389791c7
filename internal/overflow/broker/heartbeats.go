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

// answerHeartbeat takes in a borrower's heartbeat and replies to it.
func (b *Broker) answerHeartbeat(now time.Time, view overflow.LenderView, heartbeat overflow.Heartbeat) heartbeatResult {
	peer := b.peers[heartbeat.From]
	if peer == nil {
		return heartbeatResult{err: link.ErrStale}
	}
	reply, transitions, ok := b.lender.HandleHeartbeat(now, view, heartbeat)
	if !ok {
		return heartbeatResult{err: link.ErrStale}
	}
	peer.NoteHeartbeat(now, heartbeat)
	for _, report := range heartbeat.Loans {
		if report.Loan.Home == b.settings.Cluster && report.State == overflow.Held {
			b.progress[report.Loan.Job] = message.Progress{ID: report.Loan.Job, Done: report.DoneTasks, Running: report.RunningTasks}
		}
		// A loan that the lender ends only now was offered on the capacity that the
		// peer had reported.
		if report.State == overflow.Gone && report.Cause == overflow.NoRoom && slices.ContainsFunc(transitions, func(t overflow.LenderTransition) bool { return t.Loan == report.Loan }) {
			peer.NoteBroken(now)
		}
	}
	for _, transition := range transitions {
		b.commitLenderTransition(transition)
	}
	return heartbeatResult{reply: reply}
}

// sendHeartbeat sends a heartbeat to a peer from a goroutine of its own, which ends
// within heartbeatTimeout.
func (b *Broker) sendHeartbeat(now time.Time, peer, addr string, view overflow.BorrowerView) {
	heartbeat := b.borrower.NewHeartbeat(now, b.settings.Cluster, peer, view)
	if !b.settings.BorrowEnabled {
		heartbeat.FreeCapacity = nil
	}
	borrower, tracker := b.borrower, b.peers[peer]
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, heartbeatTimeout)
		defer cancel()
		reply, err := b.sender.SendHeartbeat(ctx, peer, addr, heartbeat)
		latency := time.Since(now)
		b.enqueue(func() {
			b.metrics.observeReply(peer, err, latency)
			switch now := time.Now(); {
			case errors.Is(err, link.ErrNotLeader):
				tracker.NoteRedirect(now, "")
			case err != nil:
				slog.Debug("overflow: heartbeat failed", "peer", peer, "addr", addr, "err", err)
				tracker.NoteFailure(now, b.rng)
			default:
				tracker.NoteReply(now, latency, b.rng)
				if b.borrower == borrower && b.runsGuestTeam {
					b.handleReply(peer, heartbeat.Sequence, reply)
				}
			}
		})
	}()
}

// handleReply takes in a lender's reply to the heartbeat with that sequence number.
func (b *Broker) handleReply(peer string, sequence uint64, reply overflow.HeartbeatReply) {
	for _, transition := range b.borrower.HandleReply(peer, sequence, reply, b.borrowerView(), b.admit) {
		b.commitBorrowerTransition(transition)
	}
}

// admit returns the cause for which a peer's job is refused, or "" if it is accepted.
func (b *Broker) admit(command overflow.Command) overflow.Cause {
	switch {
	case !b.settings.BorrowEnabled:
		return overflow.Refused
	case b.view.Draining:
		return overflow.Draining
	}
	cause := overflow.Admit(command, &b.admission, b.settings.Limits)
	if cause != "" {
		b.metrics.countRefusal(cause)
	}
	return cause
}
