package overflow

import (
	"fmt"
	"time"
)

// simulateDay simulates a day, with a random fault or none before each step. If no rule
// is omitted, it then ends the faults and checks that all jobs and loans end.
func simulateDay(chooser chooser, omitted omittedRules) *modelSim {
	sim := newModelSim(chooser, omitted)
	steps := chooser.choose("steps", 200, 500)
	for range steps {
		sim.injectFault(chooser.choose("fault", 0, 60))
		sim.step()
	}
	if omitted == (omittedRules{}) {
		sim.settle()
	}
	return sim
}

// settle ends all faults and simulates three more minutes. By then every job must have
// ended, and no borrower may hold a loan.
func (sim *modelSim) settle() {
	sim.lossy = false
	for _, cluster := range sim.borrowers {
		cluster.draining, cluster.partitionedUntil = false, sim.now
		if !cluster.up {
			sim.restartBorrower(cluster)
		}
	}
	if !sim.lenderUp {
		sim.restartLender()
	}
	for range int(3 * time.Minute / modelStep) {
		for _, job := range sim.jobs {
			job.startedAtHome = job.startedAtHome || job.peer == ""
		}
		sim.step()
	}
	for id, job := range sim.jobs {
		if job.outcome == "" {
			sim.chooser.fatalf("%s did not end within three minutes without faults: it is lent to %q with lend count %d", id, job.peer, job.lendCount)
		}
	}
	for _, cluster := range sim.borrowers {
		if len(cluster.loans) > 0 {
			sim.chooser.fatalf("%s still holds %v, want no loans", cluster.name, sortedLoans(cluster.loans))
		}
	}
}

// step simulates one modelStep and checks the rules after it.
func (sim *modelSim) step() {
	sim.now = sim.now.Add(modelStep)
	sim.runEvents()
	sim.stepLender()
	for _, cluster := range sim.borrowers {
		sim.stepBorrower(cluster)
	}
	sim.check()
}

// check fails the day if a job runs in two clusters, or if a cancelled job runs.
func (sim *modelSim) check() {
	for id, job := range sim.jobs {
		var places []string
		if job.peer == "" && job.outcome == "" && job.startedAtHome {
			places = append(places, "east")
		}
		for _, cluster := range sim.borrowers {
			for loan, held := range cluster.loans {
				if loan.Job == id && held.running {
					places = append(places, fmt.Sprintf("%s#%d", cluster.name, loan.LendCount))
				}
			}
		}
		if len(places) > 1 {
			sim.chooser.fatalf("after %v %s runs in %v, want at most one cluster", sim.now.Sub(sim.startedAt), id, places)
		}
		if job.outcome == "cancelled" && len(places) > 0 {
			sim.chooser.fatalf("%s is cancelled and runs in %v, want it to run nowhere", id, places)
		}
	}
}

// injectFault applies the fault or the user's action with a number; large numbers do nothing.
// The even number 2n and the odd number 2n+1 cause the same fault of the first and of
// the second borrower.
func (sim *modelSim) injectFault(number int) {
	cluster := sim.borrowers[number%2]
	switch number / 2 {
	case 0:
		sim.lenderUp = false
	case 1, 2:
		if !sim.lenderUp {
			sim.restartLender()
		}
	case 3:
		if cluster.up {
			cluster.up, cluster.downAt = false, sim.now
		}
	case 4, 5:
		if !cluster.up {
			sim.restartBorrower(cluster)
		}
	case 6:
		// A second leader takes over while the first one is still active: messages and
		// transactions of the first one are still in flight.
		if sim.lenderUp {
			sim.restartLender()
		}
	case 7:
		if cluster.up {
			sim.restartBorrower(cluster)
		}
	case 8:
		cluster.draining = !cluster.draining
	case 9:
		if job := sim.randomJob(); job.outcome == "" && !job.cancelRequested {
			job.cancelRequested = true
			job.version++
		}
	case 10, 11, 12, 13, 14, 15, 16, 17:
		// Lend a job that has not started at home.
		job := sim.randomJob()
		if sim.lenderUp && job.peer == "" && job.outcome == "" && !job.cancelRequested && !job.startedAtHome {
			job.lendCount++
			job.peer = cluster.name
			job.version++
		}
	case 18:
		// The borrower gives back its loans, as when its own jobs need the capacity.
		for _, loan := range sortedLoans(cluster.loans) {
			if held := cluster.loans[loan]; cluster.up && held.state == Held && !held.ending {
				sim.commitBorrower(cluster, BorrowerTransition{Kind: GiveUp, Loan: loan, Cause: GivenBack})
			}
		}
	case 19, 20:
		cluster.partitionedUntil = sim.now.Add(time.Duration(5+sim.rng.IntN(25)) * time.Second)
	}
}

// randomJob returns one of the jobs at random.
func (sim *modelSim) randomJob() *modelJob {
	return sim.jobs[fmt.Sprintf("job-%d", sim.rng.IntN(len(sim.jobs)))]
}
