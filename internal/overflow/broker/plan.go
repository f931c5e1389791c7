package broker

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/overflow"
)

// updatePressure updates the admission state from the simulation's results, and gives
// back loans if this cluster's own jobs or a drain need their capacity.
func (broker *Broker) updatePressure(now time.Time, view overflow.BorrowerView) {
	loanView := &broker.view
	if !loanView.OwnJobsLate {
		broker.lateSince = time.Time{}
	} else if broker.lateSince.IsZero() {
		broker.lateSince = now
	}
	broker.admission = overflow.AdmissionState{LoansIn: len(loanView.Borrowed), FreeCapacity: view.FreeCapacity, OwnJobsLate: loanView.OwnJobsLate, LateUrgency: loanView.LateUrgency}
	pressure := overflow.Pressure{OwnJobsLate: loanView.OwnJobsLate, LateUrgency: loanView.LateUrgency, DrainIn: -1}
	if loanView.OwnJobsLate {
		pressure.LateFor = now.Sub(broker.lateSince)
	}
	cause := overflow.GivenBack
	if loanView.Draining {
		pressure.DrainIn = max(0, time.Until(loanView.DrainDeadline))
		cause = overflow.Draining
	}
	runTime := func(loan overflow.BorrowedLoan) time.Duration { return loan.Spec.ExpectedRunTime }
	for _, loan := range overflow.ChooseLoansToGiveBack(view.Borrowed, pressure, runTime) {
		broker.commitBorrowerTransition(overflow.BorrowerTransition{Kind: overflow.GiveUp, Loan: loan, Cause: cause})
	}
}

// lend chooses waiting jobs to lend and starts their transactions.
func (broker *Broker) lend(now time.Time) {
	loanView := &broker.view
	maps.DeleteFunc(broker.returnedAt, func(_ string, at time.Time) bool { return now.Sub(at) > giveBackCooldown })
	var candidates []overflow.Candidate
	for _, job := range loanView.Waiting {
		_, coolingDown := broker.returnedAt[job.Spec.ID]
		candidates = append(candidates, overflow.Candidate{
			Job: job.Spec.ID, Spec: job.Spec, SLODue: job.SLODue, HomeFinish: job.HomeFinish, RunTime: job.RunTime, LendCount: job.LendCount, CoolingDown: coolingDown,
		})
	}
	loansOut := map[string]int{}
	for _, lent := range loanView.Lent {
		loansOut[lent.Peer]++
	}
	var peers []overflow.PeerSnapshot
	for _, name := range slices.Sorted(maps.Keys(broker.peers)) {
		peers = append(peers, broker.peers[name].Snapshot(now, loansOut[name]))
	}
	for _, offer := range overflow.ChooseOffers(candidates, peers, broker.settings.Limits, loanView.CheapestCPUHour) {
		job := candidates[slices.IndexFunc(candidates, func(candidate overflow.Candidate) bool { return candidate.Job == offer.Job })]
		loan := overflow.Loan{Home: broker.settings.Cluster, Job: offer.Job, LendCount: job.LendCount + 1}
		slog.Info("overflow: job lent", "loan", loan, "peer", offer.Peer, "reason", offer.Reason, "peer_finish_in", offer.PeerFinish, "home_finish_in", job.HomeFinish, "slo_due_in", job.SLODue)
		broker.commitLenderTransition(overflow.LenderTransition{Kind: overflow.Lend, Loan: loan, Peer: offer.Peer, StopBound: broker.peers[offer.Peer].StopBound()})
	}
}
