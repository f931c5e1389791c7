package broker

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/overflow"
)

// updatePressure takes over the simulation's results as limits of what is borrowed,
// and gives back loans if own jobs or a drain need the capacity.
func (b *Broker) updatePressure(now time.Time, view overflow.BorrowerView) {
	v := &b.view
	if !v.OwnJobsLate {
		b.lateSince = time.Time{}
	} else if b.lateSince.IsZero() {
		b.lateSince = now
	}
	b.admission = overflow.AdmissionState{LoansIn: len(v.Borrowed), FreeCapacity: view.FreeCapacity, OwnWorkLate: v.OwnJobsLate, LateUrgency: v.LateUrgency}
	pressure := overflow.Pressure{OwnWorkLate: v.OwnJobsLate, LateUrgency: v.LateUrgency, DrainIn: -1}
	if v.OwnJobsLate {
		pressure.LateFor = now.Sub(b.lateSince)
	}
	cause := overflow.GivenBack
	if v.Draining {
		pressure.DrainIn = max(0, time.Until(v.DrainDeadline))
		cause = overflow.Draining
	}
	runTime := func(loan overflow.BorrowedLoan) time.Duration { return loan.Spec.ExpectedRunTime }
	for _, loan := range overflow.ChooseGiveBacks(view.Borrowed, pressure, runTime) {
		b.commitBorrowerTransition(overflow.BorrowerTransition{Kind: overflow.GiveUp, Loan: loan, Cause: cause})
	}
}

// lend chooses waiting jobs to lend and hands them over.
func (b *Broker) lend(now time.Time) {
	v := &b.view
	maps.DeleteFunc(b.returnedAt, func(_ string, at time.Time) bool { return now.Sub(at) > giveBackCooldown })
	var candidates []overflow.Candidate
	for _, job := range v.Waiting {
		_, coolingDown := b.returnedAt[job.Spec.ID]
		candidates = append(candidates, overflow.Candidate{
			Job: job.Spec.ID, Spec: job.Spec, SLODue: job.SLODue, HomeFinish: job.HomeFinish, RunTime: job.RunTime, LendCount: job.LendCount, CoolingDown: coolingDown,
		})
	}
	loansOut := map[string]int{}
	for _, lent := range v.Lent {
		loansOut[lent.Peer]++
	}
	var peers []overflow.PeerSnapshot
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		peers = append(peers, b.peers[name].Snapshot(now, loansOut[name]))
	}
	for _, offer := range overflow.ChooseOffers(candidates, peers, b.settings.Limits, v.CheapestCPUHour) {
		job := candidates[slices.IndexFunc(candidates, func(c overflow.Candidate) bool { return c.Job == offer.Job })]
		loan := overflow.Loan{Home: b.settings.Cluster, Job: offer.Job, LendCount: job.LendCount + 1}
		slog.Info("overflow: job lent", "loan", loan, "peer", offer.Peer, "reason", offer.Reason, "peer_finish_in", offer.PeerFinish, "home_finish_in", job.HomeFinish, "slo_due_in", job.SLODue)
		b.commitLenderTransition(overflow.LenderTransition{Kind: overflow.Lend, Loan: loan, Peer: offer.Peer, StopBound: b.peers[offer.Peer].StopBound()})
	}
}
