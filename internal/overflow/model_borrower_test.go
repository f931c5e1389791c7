package overflow

import (
	"slices"
	"time"
)

// clock returns the time on the borrower's monotonic clock, which drifts.
func (sim *modelSim) clock(cluster *modelBorrower) time.Time {
	return sim.startedAt.Add(time.Duration(float64(sim.now.Sub(sim.startedAt)) * cluster.clockRate))
}

// borrowerView returns the borrower's durable state as its leader sees it.
func (sim *modelSim) borrowerView(cluster *modelBorrower) BorrowerView {
	view := BorrowerView{Epoch: cluster.epoch, Draining: cluster.draining, StopBound: modelStopBound, RenewedAt: map[string]time.Time{"east": cluster.renewedAt}}
	if cluster.renewedAt.IsZero() {
		view.RenewedAt = nil
	}
	for loan, held := range cluster.loans {
		view.Borrowed = append(view.Borrowed, BorrowedLoan{Loan: loan, Spec: held.spec, State: held.state, Cause: held.cause, Ending: held.ending, Started: held.started})
	}
	slices.SortFunc(view.Borrowed, func(x, y BorrowedLoan) int { return compareLoans(x.Loan, y.Loan) })
	return view
}

// commitBorrower makes a transition durable after a random delay. The transaction is
// applied only if the leader and the loan's record have not changed since.
func (sim *modelSim) commitBorrower(cluster *modelBorrower, transition BorrowerTransition) {
	version := func() int {
		if held := cluster.loans[transition.Loan]; held != nil {
			return held.version
		}
		return -1
	}
	epoch, borrower, decidedAt := cluster.epoch, cluster.borrower, version()
	known := false
	apply := func() {
		ok := (sim.omitted.unfenced || epoch == cluster.epoch) && version() == decidedAt
		if ok {
			sim.applyBorrower(cluster, transition)
		}
		if !known && cluster.borrower == borrower && transition.Kind == Accept {
			known = true
			cluster.borrower.NoteAccepted(transition.Loan, ok)
		}
	}
	sim.send(apply)
	if transition.Kind == Accept {
		// A write that gets no response is repeated until its outcome is known.
		var retry func()
		retry = func() {
			if !known && cluster.borrower == borrower && cluster.up {
				apply()
				if !known {
					sim.schedule(2*time.Second, retry)
				}
			}
		}
		sim.schedule(3*time.Second, retry)
	}
}

// applyBorrower changes the borrower's durable state as the transition says.
func (sim *modelSim) applyBorrower(cluster *modelBorrower, transition BorrowerTransition) {
	switch transition.Kind {
	case Accept:
		cluster.loans[transition.Loan] = &modelLoan{spec: transition.Spec, remaining: modelRunTime}
		sim.takenCount++
	case GiveUp:
		held := cluster.loans[transition.Loan]
		if held.state == Held && !held.ending {
			held.ending, held.cause, held.endAt = true, transition.Cause, sim.now.Add(time.Duration(sim.rng.IntN(2000))*time.Millisecond)
			held.version++
		}
	case Drop:
		delete(cluster.loans, transition.Loan)
	}
}

// sendHeartbeat sends a heartbeat of the borrower to the lender, which replies.
func (sim *modelSim) sendHeartbeat(cluster *modelBorrower) {
	heartbeat := cluster.borrower.NewHeartbeat(sim.clock(cluster), cluster.name, "east", sim.borrowerView(cluster))
	borrower := cluster.borrower
	sim.message(cluster, func() {
		if !sim.lenderUp {
			return
		}
		view := sim.lenderView()
		if sim.omitted.anyAbsence {
			heartbeat.HomeEpoch = view.Epoch
		}
		reply, transitions, ok := sim.lender.HandleHeartbeat(sim.now, view, heartbeat)
		if !ok {
			return
		}
		sim.commitLenderAll(transitions)
		sim.message(cluster, func() {
			if cluster.borrower != borrower || !cluster.up {
				return
			}
			if lender := borrower.lender("east"); heartbeat.Sequence == lender.sequence && !lender.sentAt.IsZero() && reply.Epoch >= lender.epoch {
				if until := lender.sentAt.Add(reply.Lease); until.After(cluster.leaseUntil) {
					cluster.leaseUntil = until
				}
			}
			for _, transition := range cluster.borrower.HandleReply("east", heartbeat.Sequence, reply, sim.borrowerView(cluster), func(Command) Cause { return "" }) {
				sim.commitBorrower(cluster, transition)
			}
		})
	})
}

// restartBorrower starts a new leader of the borrower, without the state in memory.
func (sim *modelSim) restartBorrower(cluster *modelBorrower) {
	cluster.epoch++
	cluster.borrower, cluster.up = NewBorrower(), true
	if sim.omitted.freshLeases {
		cluster.renewedAt = sim.clock(cluster)
		cluster.leaseUntil = cluster.renewedAt.Add(modelLease)
	}
	cluster.nextAt = sim.now
}

// stepBorrower advances a borrower and the loans that it holds by one step.
func (sim *modelSim) stepBorrower(cluster *modelBorrower) {
	now := sim.clock(cluster)
	if cluster.up {
		view := sim.borrowerView(cluster)
		for _, transition := range cluster.borrower.ExpiredLoans(now, modelLease, view) {
			sim.commitBorrower(cluster, transition)
		}
		for _, renewedAt := range cluster.borrower.Renewals(modelLease, view) {
			cluster.renewedAt = renewedAt
		}
		if !sim.now.Before(cluster.nextAt) {
			cluster.nextAt = sim.now.Add(time.Second)
			sim.sendHeartbeat(cluster)
		}
	}
	for _, loan := range sortedLoans(cluster.loans) {
		sim.stepLoan(cluster, loan, now)
	}
}

// stepLoan advances one loan by one step: it stops, starts or runs the loan's tasks.
func (sim *modelSim) stepLoan(cluster *modelBorrower, loan Loan, now time.Time) {
	held := cluster.loans[loan]
	if held.running && !cluster.up && sim.now.Sub(cluster.downAt) > modelStopBound/2 {
		held.running = false // the workers stop the tasks without any communication
	}
	if held.running && now.After(cluster.leaseUntil.Add(modelStopBound)) {
		held.running = false
	}
	if held.ending && held.running && !sim.now.Before(held.endAt) {
		held.running = false
	}
	if held.state == Held && held.ending && !held.running {
		held.state = Gone
		held.version++
	}
	if held.state == Held && !held.ending && !held.running && cluster.up {
		until := cluster.borrower.StartableUntil(loan)
		if sim.omitted.unconfirmed {
			until = now.Add(time.Second)
		}
		if now.Before(until) {
			held.running, held.started = true, true
			sim.startedCount++
		}
	}
	if held.running {
		if held.remaining -= modelStep; held.remaining <= 0 {
			held.running, held.state = false, Finished
			sim.finishedCount++
			held.version++
		}
	}
}
