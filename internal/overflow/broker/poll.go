package broker

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
)

// poll asks the controller for the durable state and acts on it. Heartbeats that
// wait are answered from that state, or refused if there is none.
func (b *Broker) poll(ctx context.Context) {
	withSimulation := time.Since(b.simulatedAt) >= simulationInterval && len(b.settings.Peers) > 0
	query := b.newQuery(withSimulation)
	ctx, cancel := context.WithTimeout(ctx, controllerTimeout)
	defer cancel()
	effect, err := b.controller.Ask(ctx, func(reply uint64) message.Command { query.Reply = reply; return query })
	b.viewedAt = time.Now()
	view, ok := effect.(message.LoanView)
	heartbeats := b.pendingHeartbeats
	b.pendingHeartbeats = nil
	if err != nil || !ok || !view.OK {
		for _, pending := range heartbeats {
			pending.result <- heartbeatResult{err: link.ErrStale}
		}
		return
	}
	b.updateRoles(view)
	if !withSimulation {
		// The previous simulation's results hold until the next one.
		view.Waiting, view.FreeCapacity, view.CachedImages = b.view.Waiting, b.view.FreeCapacity, b.view.CachedImages
		view.OwnJobsLate, view.LateUrgency, view.CheapestCPUHour = b.view.OwnJobsLate, b.view.LateUrgency, b.view.CheapestCPUHour
	}
	b.view = view
	b.advance(withSimulation, heartbeats)
}

// newQuery returns the query of the durable state. With it goes what the broker has
// learnt of the loans since the last one.
func (b *Broker) newQuery(withSimulation bool) message.QueryLoans {
	query := message.QueryLoans{StartableUntil: map[string]time.Time{}, WithSimulation: withSimulation, GuestTeam: b.settings.GuestTeam}
	for _, borrowed := range b.view.Borrowed {
		if loan, err := overflow.ParseLoan(borrowed.Loan); err == nil {
			if until := b.borrower.StartableUntil(loan); !until.IsZero() {
				query.StartableUntil[borrowed.Job] = until
			}
		}
	}
	for _, job := range slices.Sorted(maps.Keys(b.progress)) {
		query.Progress = append(query.Progress, b.progress[job])
	}
	clear(b.progress)
	return query
}

// updateRoles takes over the controller's roles. A new epoch or term starts with a
// new Lender or Borrower.
func (b *Broker) updateRoles(view message.LoanView) {
	if view.IsLeader && (!b.isLeader || view.Epoch != b.epoch) {
		slog.Info("overflow: lender role started", "epoch", view.Epoch, "lent", len(view.Lent))
		b.resetLender(b.viewedAt)
		b.epoch = view.Epoch
	}
	if view.RunsGuestTeam && (!b.runsGuestTeam || view.GuestTeamTerm != b.term) {
		slog.Info("overflow: borrower role started", "epoch", view.GuestTeamEpoch, "borrowed", len(view.Borrowed))
		b.resetBorrower()
		b.term, b.renewedAt = view.GuestTeamTerm, b.viewedAt
	}
	b.isLeader, b.runsGuestTeam = view.IsLeader, view.RunsGuestTeam
}

// advance acts on the new view: it answers heartbeats, ends expired loans, chooses
// offers after a simulation, and sends the heartbeats that are due.
func (b *Broker) advance(simulated bool, heartbeats []pendingHeartbeat) {
	now := b.viewedAt
	lenderView, borrowerView := b.lenderView(), b.borrowerView()
	for _, pending := range heartbeats {
		if !b.isLeader {
			pending.result <- heartbeatResult{err: link.ErrNotLeader}
			continue
		}
		pending.result <- b.answerHeartbeat(now, lenderView, pending.heartbeat)
	}
	if b.isLeader {
		b.expireLent(now, lenderView)
	}
	if b.runsGuestTeam {
		b.expireBorrowed(now, borrowerView)
	}
	if simulated {
		b.simulatedAt = now
		b.updatePressure(now, borrowerView)
		if b.settings.LendEnabled && !b.view.Draining && b.isLeader {
			b.lend(now)
		}
	}
	if b.runsGuestTeam && now.Sub(b.renewedAt) >= renewalInterval {
		b.renewedAt = now
		if renewals := b.borrower.Renewals(b.settings.LoanLease, borrowerView); len(renewals) > 0 {
			b.controller.Post(message.RenewCommand{RenewedAt: renewals})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		peer := b.peers[name]
		if state, changed := peer.StateChanged(now); changed {
			slog.Info("overflow: peer state changed", "cluster", name, "state", state, "trust", peer.Trust(now))
		}
		if !b.runsGuestTeam {
			continue
		}
		if addr, due := peer.NextRequest(now); due {
			b.sendHeartbeat(now, name, addr, borrowerView)
		}
	}
	b.metrics.setLoans(b.view)
}

func (b *Broker) expireLent(now time.Time, view overflow.LenderView) {
	for _, transition := range b.lender.ExpiredLoans(now, view) {
		if peer := b.peers[b.peerOf(transition.Loan)]; peer != nil {
			peer.NoteBroken(now)
		}
		b.commitLenderTransition(transition)
	}
}

func (b *Broker) expireBorrowed(now time.Time, view overflow.BorrowerView) {
	for _, borrowed := range view.Borrowed {
		b.borrower.NoteAccepted(borrowed.Loan, true)
	}
	for _, transition := range b.borrower.ExpiredLoans(now, b.settings.LoanLease, view) {
		b.commitBorrowerTransition(transition)
	}
}

// peerOf is the peer that holds a lent job, or "".
func (b *Broker) peerOf(loan overflow.Loan) string {
	for _, lent := range b.view.Lent {
		if lent.Spec.ID == loan.Job && lent.LendCount == loan.LendCount {
			return lent.Peer
		}
	}
	return ""
}
