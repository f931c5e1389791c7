package overflow

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

func (s *modelSim) lenderView() LenderView {
	view := LenderView{Epoch: s.epoch, LeaseValidUntil: s.now.Add(time.Second)}
	stopBound := modelStopBound
	if s.omitted.noStopBound {
		stopBound = 0
	}
	for _, id := range sortedJobs(s.jobs) {
		job := s.jobs[id]
		if job.peer != "" && job.outcome == "" {
			view.Lent = append(view.Lent, LentLoan{Loan: Loan{"east", id, job.lendCount}, Peer: job.peer, Spec: model.JobSpec{ID: id, Tasks: 1}, SubmittedAt: s.startedAt, StopBound: stopBound, CancelRequested: job.cancelRequested})
		}
	}
	return view
}

// commitLender makes a transition durable, perhaps late. It requires the leader and
// the job's record to be unchanged.
func (s *modelSim) commitLender(transition LenderTransition) {
	job := s.jobs[transition.Loan.Job]
	epoch, version, lender := s.epoch, job.version, s.lender
	s.send(func() {
		if !s.omitted.unfenced && epoch != s.epoch {
			return
		}
		if job.version != version || job.outcome != "" || job.peer == "" || job.lendCount != transition.Loan.LendCount {
			if lender == s.lender {
				s.lender.CloseFailed(transition.Loan)
			}
			return
		}
		job.version++
		switch transition.Kind {
		case TakeBack:
			// Mostly the job starts at home at once, sometimes it is lent again.
			job.peer, job.startedAtHome = "", s.rng.IntN(4) > 0
		case Settle:
			s.end(transition.Loan.Job, "done")
		case EndCancelled:
			s.end(transition.Loan.Job, "cancelled")
		}
	})
	// Without a response the transaction is tried again.
	s.after(3*time.Second, func() {
		if lender == s.lender && s.lenderUp && epoch == s.epoch && job.version == version {
			s.commitLender(transition)
		}
	})
}

func (s *modelSim) commitLenderAll(transitions []LenderTransition) {
	for _, transition := range transitions {
		s.commitLender(transition)
	}
}

func (s *modelSim) restartLender() {
	s.epoch++
	s.lender, s.lenderUp = NewLender("east", s.now, modelLease), true
}

// stepLender advances the lender and the jobs at home by one step.
func (s *modelSim) stepLender() {
	if s.lenderUp {
		s.commitLenderAll(s.lender.ExpiredLoans(s.now, s.lenderView()))
	}
	for _, id := range sortedJobs(s.jobs) {
		job := s.jobs[id]
		switch {
		case job.peer != "" || job.outcome != "":
		case job.cancelRequested:
			s.end(id, "cancelled")
		case job.startedAtHome:
			if job.remaining -= modelStep; job.remaining <= 0 {
				s.end(id, "done")
			}
		}
	}
}
