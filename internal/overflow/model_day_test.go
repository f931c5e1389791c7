package overflow

import (
	"fmt"
	"time"
)

// simulateDay simulates a day, with faults drawn before each step. Without omitted
// rules it then ends the faults and checks that everything comes to its end.
func simulateDay(chooser chooser, omitted omittedRules) *modelSim {
	sim := newModelSim(chooser, omitted)
	steps := chooser.choose("steps", 200, 500)
	for range steps {
		sim.fault(chooser.choose("fault", 0, 60))
		sim.step()
	}
	if omitted == (omittedRules{}) {
		sim.settle()
	}
	return sim
}

// settle ends all faults. Within three minutes every job must end, and no borrower
// may hold a loan any more.
func (s *modelSim) settle() {
	s.lossy = false
	for _, b := range s.borrowers {
		b.draining, b.cutUntil = false, s.now
		if !b.up {
			s.restartBorrower(b)
		}
	}
	if !s.lenderUp {
		s.restartLender()
	}
	for range int(3 * time.Minute / modelStep) {
		for _, job := range s.jobs {
			job.startedAtHome = job.startedAtHome || job.peer == ""
		}
		s.step()
	}
	for id, job := range s.jobs {
		if job.outcome == "" {
			s.chooser.fatalf("%s did not end: it is at %q, loan %d", id, job.peer, job.lendCount)
		}
	}
	for _, b := range s.borrowers {
		if len(b.loans) > 0 {
			s.chooser.fatalf("%s still holds %v, want no loans", b.name, sortedLoans(b.loans))
		}
	}
}

func (s *modelSim) step() {
	s.now = s.now.Add(modelStep)
	s.runEvents()
	s.stepLender()
	for _, b := range s.borrowers {
		s.stepBorrower(b)
	}
	s.check()
}

// check verifies that no job runs in two places, and no cancelled one anywhere.
func (s *modelSim) check() {
	for id, job := range s.jobs {
		var places []string
		if job.peer == "" && job.outcome == "" && job.startedAtHome {
			places = append(places, "east")
		}
		for _, b := range s.borrowers {
			for loan, held := range b.loans {
				if loan.Job == id && held.running {
					places = append(places, fmt.Sprintf("%s#%d", b.name, loan.LendCount))
				}
			}
		}
		if len(places) > 1 {
			s.chooser.fatalf("at %v %s runs in %v, want one place", s.now.Sub(s.startedAt), id, places)
		}
		if job.outcome == "cancelled" && len(places) > 0 {
			s.chooser.fatalf("%s is cancelled and runs in %v", id, places)
		}
	}
}

// fault applies the fault or the user's action with number k. Odd and even numbers
// are the same fault of different borrowers.
func (s *modelSim) fault(k int) {
	b := s.borrowers[k%2]
	switch k / 2 {
	case 0:
		s.lenderUp = false
	case 1, 2:
		if !s.lenderUp {
			s.restartLender()
		}
	case 3:
		if b.up {
			b.up, b.downAt = false, s.now
		}
	case 4, 5:
		if !b.up {
			s.restartBorrower(b)
		}
	case 6:
		// A second leader: the first one goes on for a while without knowing.
		if s.lenderUp {
			s.restartLender()
		}
	case 7:
		if b.up {
			s.restartBorrower(b)
		}
	case 8:
		b.draining = !b.draining
	case 9:
		if job := s.randomJob(); job.outcome == "" && !job.cancelRequested {
			job.cancelRequested = true
			job.version++
		}
	case 10, 11, 12, 13, 14, 15, 16, 17:
		// Lend what has not started at home.
		job := s.randomJob()
		if s.lenderUp && job.peer == "" && job.outcome == "" && !job.cancelRequested && !job.startedAtHome {
			job.lendCount++
			job.peer = b.name
			job.version++
		}
	case 18:
		// The borrower needs its capacity back.
		for _, loan := range sortedLoans(b.loans) {
			if held := b.loans[loan]; b.up && held.state == Held && !held.ending {
				s.commitBorrower(b, BorrowerTransition{Kind: GiveUp, Loan: loan, Cause: GivenBack})
			}
		}
	case 19, 20:
		b.cutUntil = s.now.Add(time.Duration(5+s.rng.IntN(25)) * time.Second)
	}
}

func (s *modelSim) randomJob() *modelJob {
	return s.jobs[fmt.Sprintf("job-%d", s.rng.IntN(len(s.jobs)))]
}
