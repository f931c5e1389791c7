package overflow

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// lenderView returns the lender's durable state as its leader sees it.
func (sim *modelSim) lenderView() LenderView {
	view := LenderView{Epoch: sim.epoch, LeaseValidUntil: sim.now.Add(time.Second)}
	stopBound := modelStopBound
	if sim.omitted.noStopBound {
		stopBound = 0
	}
	for _, id := range sortedJobs(sim.jobs) {
		job := sim.jobs[id]
		if job.peer != "" && job.outcome == "" {
			view.Lent = append(view.Lent, LentLoan{Loan: Loan{"east", id, job.lendCount}, Peer: job.peer, Spec: model.JobSpec{ID: id, Tasks: 1}, SubmittedAt: sim.startedAt, StopBound: stopBound, CancelRequested: job.cancelRequested})
		}
	}
	return view
}

// commitLender makes a transition durable after a random delay. The transaction is
// applied only if the leader and the job's record have not changed since.
func (sim *modelSim) commitLender(transition LenderTransition) {
	job := sim.jobs[transition.Loan.Job]
	epoch, version, lender := sim.epoch, job.version, sim.lender
	sim.send(func() {
		if !sim.omitted.unfenced && epoch != sim.epoch {
			return
		}
		if job.version != version || job.outcome != "" || job.peer == "" || job.lendCount != transition.Loan.LendCount {
			if lender == sim.lender {
				sim.lender.CloseFailed(transition.Loan)
			}
			return
		}
		job.version++
		switch transition.Kind {
		case TakeBack:
			// In three of four cases the job starts at home at once. Otherwise it may be
			// lent again.
			job.peer, job.startedAtHome = "", sim.rng.IntN(4) > 0
		case Settle:
			sim.endJob(transition.Loan.Job, "done")
		case EndCancelled:
			sim.endJob(transition.Loan.Job, "cancelled")
		}
	})
	// A transaction that gets no response is repeated.
	sim.schedule(3*time.Second, func() {
		if lender == sim.lender && sim.lenderUp && epoch == sim.epoch && job.version == version {
			sim.commitLender(transition)
		}
	})
}

// commitLenderAll makes transitions durable, each in its own transaction.
func (sim *modelSim) commitLenderAll(transitions []LenderTransition) {
	for _, transition := range transitions {
		sim.commitLender(transition)
	}
}

// restartLender starts a new leader of the lender, without the state in memory.
func (sim *modelSim) restartLender() {
	sim.epoch++
	sim.lender, sim.lenderUp = NewLender("east", sim.now, modelLease), true
}

// stepLender advances the lender and the jobs at home by one step.
func (sim *modelSim) stepLender() {
	if sim.lenderUp {
		sim.commitLenderAll(sim.lender.ExpiredLoans(sim.now, sim.lenderView()))
	}
	for _, id := range sortedJobs(sim.jobs) {
		job := sim.jobs[id]
		switch {
		case job.peer != "" || job.outcome != "":
		case job.cancelRequested:
			sim.endJob(id, "cancelled")
		case job.startedAtHome:
			if job.remaining -= modelStep; job.remaining <= 0 {
				sim.endJob(id, "done")
			}
		}
	}
}
