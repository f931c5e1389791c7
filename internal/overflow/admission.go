package overflow

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// giveBackDelay is how long the cluster's own jobs must have been late before borrowed
// jobs are given back. The delay avoids handing jobs back and forth for a short burst.
const giveBackDelay = 5 * time.Second

// AdmissionState is the borrower's state by which Admit accepts or refuses a peer's
// job.
type AdmissionState struct {
	// LoansIn is the number of loans held.
	LoansIn int
	// FreeCapacity is the capacity last offered to peers, less the capacity of the
	// jobs accepted since.
	FreeCapacity []FreeCapacity
	// OwnJobsLate means that jobs of this cluster wait and will miss their SLO.
	// LateUrgency is the highest urgency among these jobs.
	OwnJobsLate bool
	LateUrgency model.Urgency
}

// Admit decides whether to accept the job of a Take command. It returns "" and takes
// the job's capacity out of state if the job is accepted, and the cause of the refusal
// otherwise.
func Admit(command Command, state *AdmissionState, limits Limits) Cause {
	spec := &command.Spec
	switch {
	case state.LoansIn >= limits.LoansIn, spec.Tasks > limits.Tasks:
		return NoCapacity
	case state.OwnJobsLate && state.LateUrgency >= spec.Urgency:
		return NoCapacity
	}
	unplaced := spec.Tasks
	capacity := slices.Clone(state.FreeCapacity)
	for i := range capacity {
		perMachine := capacity[i].PerMachine.FitCount(spec.Need)
		if perMachine == 0 || capacity[i].Spot && !spec.AllowSpot {
			continue
		}
		machines := min(capacity[i].Machines, machinesNeeded(unplaced, perMachine))
		capacity[i].Machines -= machines
		unplaced -= min(unplaced, machines*perMachine)
		if unplaced == 0 {
			break
		}
	}
	if unplaced > 0 {
		return NoCapacity
	}
	state.FreeCapacity = capacity
	state.LoansIn++
	return ""
}

// Pressure is the borrower's own need for the capacity that borrowed jobs use.
type Pressure struct {
	// OwnJobsLate means that jobs of this cluster wait and will miss their SLO.
	// LateUrgency is the highest urgency among these jobs.
	OwnJobsLate bool
	LateUrgency model.Urgency
	// LateFor is how long OwnJobsLate has been true.
	LateFor time.Duration
	// DrainIn is the time left until a drain must have emptied the cluster. It is
	// negative if the cluster is not being drained.
	DrainIn time.Duration
}

// ChooseLoansToGiveBack returns the loans to give back under the pressure, in the order of
// compareLoans. When jobs of this cluster have been late for giveBackDelay, they displace
// the loans that have not started and are not more urgent than these jobs. A drain
// displaces the loans that have not started, and the started ones that would not end
// before the drain does. runTime estimates how long a loan runs.
func ChooseLoansToGiveBack(loans []BorrowedLoan, pressure Pressure, runTime func(BorrowedLoan) time.Duration) []Loan {
	var chosen []Loan
	for _, loan := range loans {
		if !loan.isActive() {
			continue
		}
		drained := pressure.DrainIn >= 0 && (!loan.Started || runTime(loan) > pressure.DrainIn)
		displaced := pressure.OwnJobsLate && pressure.LateFor >= giveBackDelay && !loan.Started && loan.Spec.Urgency <= pressure.LateUrgency
		if drained || displaced {
			chosen = append(chosen, loan.Loan)
		}
	}
	slices.SortFunc(chosen, compareLoans)
	return chosen
}
