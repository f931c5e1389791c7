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

// poll asks the controller for the durable state and acts on it. It answers the waiting
// heartbeats from that state, or refuses them if the controller returns none.
func (broker *Broker) poll(ctx context.Context) {
	withSimulation := time.Since(broker.simulatedAt) >= simulationInterval && len(broker.settings.Peers) > 0
	query := broker.newQuery(withSimulation)
	ctx, cancel := context.WithTimeout(ctx, controllerTimeout)
	defer cancel()
	effect, err := broker.controller.Ask(ctx, func(reply uint64) message.Command { query.Reply = reply; return query })
	broker.polledAt = time.Now()
	view, ok := effect.(message.LoanView)
	heartbeats := broker.pendingHeartbeats
	broker.pendingHeartbeats = nil
	if err != nil || !ok || !view.OK {
		for _, pending := range heartbeats {
			pending.result <- heartbeatResult{err: link.ErrStale}
		}
		return
	}
	broker.updateRoles(view)
	if !withSimulation {
		// The previous simulation's results are used until the next simulation.
		view.Waiting, view.FreeCapacity, view.CachedImages = broker.view.Waiting, broker.view.FreeCapacity, broker.view.CachedImages
		view.OwnJobsLate, view.LateUrgency, view.CheapestCPUHour = broker.view.OwnJobsLate, broker.view.LateUrgency, broker.view.CheapestCPUHour
	}
	broker.view = view
	broker.handleView(withSimulation, heartbeats)
}

// newQuery returns the query for the durable state. The query also carries until when
// tasks of borrowed jobs may be started, and the progress of lent jobs that peers have
// reported since the last query.
func (broker *Broker) newQuery(withSimulation bool) message.QueryLoans {
	query := message.QueryLoans{StartableUntil: map[string]time.Time{}, WithSimulation: withSimulation, GuestTeam: broker.settings.GuestTeam}
	for _, borrowed := range broker.view.Borrowed {
		if loan, err := overflow.ParseLoan(borrowed.Loan); err == nil {
			if until := broker.borrower.StartableUntil(loan); !until.IsZero() {
				query.StartableUntil[borrowed.Job] = until
			}
		}
	}
	for _, job := range slices.Sorted(maps.Keys(broker.progress)) {
		query.Progress = append(query.Progress, broker.progress[job])
	}
	clear(broker.progress)
	return query
}

// updateRoles adopts the controller's roles from the view. It creates a new Lender for
// a new epoch of the leader, and a new Borrower for a new term of the guest team.
func (broker *Broker) updateRoles(view message.LoanView) {
	if view.IsLeader && (!broker.isLeader || view.Epoch != broker.epoch) {
		slog.Info("overflow: lender role started", "epoch", view.Epoch, "lent", len(view.Lent))
		broker.resetLender(broker.polledAt)
		broker.epoch = view.Epoch
	}
	if view.RunsGuestTeam && (!broker.runsGuestTeam || view.GuestTeamTerm != broker.term) {
		slog.Info("overflow: borrower role started", "epoch", view.GuestTeamEpoch, "borrowed", len(view.Borrowed))
		broker.resetBorrower()
		broker.term, broker.renewedAt = view.GuestTeamTerm, broker.polledAt
	}
	broker.isLeader, broker.runsGuestTeam = view.IsLeader, view.RunsGuestTeam
}

// handleView acts on the new view: it answers heartbeats, ends expired loans, chooses jobs
// to lend if the view has new simulation results, and sends the heartbeats that are due.
func (broker *Broker) handleView(simulated bool, heartbeats []pendingHeartbeat) {
	now := broker.polledAt
	lenderView, borrowerView := broker.lenderView(), broker.borrowerView()
	for _, pending := range heartbeats {
		if !broker.isLeader {
			pending.result <- heartbeatResult{err: link.ErrNotLeader}
			continue
		}
		pending.result <- broker.answerHeartbeat(now, lenderView, pending.heartbeat)
	}
	if broker.isLeader {
		broker.expireLent(now, lenderView)
	}
	if broker.runsGuestTeam {
		broker.expireBorrowed(now, borrowerView)
	}
	if simulated {
		broker.simulatedAt = now
		broker.updatePressure(now, borrowerView)
		if broker.settings.LendEnabled && !broker.view.Draining && broker.isLeader {
			broker.lend(now)
		}
	}
	if broker.runsGuestTeam && now.Sub(broker.renewedAt) >= renewalInterval {
		broker.renewedAt = now
		if renewals := broker.borrower.Renewals(broker.settings.LoanLease, borrowerView); len(renewals) > 0 {
			broker.controller.Post(message.RenewCommand{RenewedAt: renewals})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(broker.peers)) {
		peer := broker.peers[name]
		if state, changed := peer.StateChanged(now); changed {
			slog.Info("overflow: peer state changed", "cluster", name, "state", state, "trust", peer.Trust(now))
		}
		if !broker.runsGuestTeam {
			continue
		}
		if addr, due := peer.NextHeartbeat(now); due {
			broker.sendHeartbeat(now, name, addr, borrowerView)
		}
	}
	broker.metrics.setLoans(broker.view)
}

// expireLent takes back the lent jobs whose lease has expired, and lowers the trust in
// their peers.
func (broker *Broker) expireLent(now time.Time, view overflow.LenderView) {
	for _, transition := range broker.lender.ExpiredLoans(now, view) {
		if peer := broker.peers[broker.peerOf(transition.Loan)]; peer != nil {
			peer.NoteBrokenLoan(now)
		}
		broker.commitLenderTransition(transition)
	}
}

// expireBorrowed notes the acceptances that the view shows as durable, and gives up the
// borrowed jobs whose lease has expired.
func (broker *Broker) expireBorrowed(now time.Time, view overflow.BorrowerView) {
	for _, borrowed := range view.Borrowed {
		broker.borrower.NoteAccepted(borrowed.Loan, true)
	}
	for _, transition := range broker.borrower.ExpiredLoans(now, broker.settings.LoanLease, view) {
		broker.commitBorrowerTransition(transition)
	}
}

// peerOf returns the peer that holds a lent loan, or "" if the view doesn't have it.
func (broker *Broker) peerOf(loan overflow.Loan) string {
	for _, lent := range broker.view.Lent {
		if lent.Spec.ID == loan.Job && lent.LendCount == loan.LendCount {
			return lent.Peer
		}
	}
	return ""
}
