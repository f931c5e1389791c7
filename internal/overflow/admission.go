package overflow

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// giveBackDelay is how long own jobs must have been late before borrowed ones are
// given back: a burst that passes by itself is no reason to hand jobs to and fro.
const giveBackDelay = 5 * time.Second

// AdmissionState is what decides whether a job of another cluster is accepted.
type AdmissionState struct {
	// LoansIn is how many loans are held.
	LoansIn int
	// FreeCapacity is what was last offered to peers, less what has been accepted
	// since.
	FreeCapacity []FreeCapacity
	// OwnJobsLate says that own jobs wait and will miss their SLO; LateUrgency is
	// the highest urgency among them.
	OwnWorkLate bool
	LateUrgency model.Urgency
}

// Admit returns the cause for which a job is refused, or "" if it is accepted. The
// capacity of an accepted job is then taken out of state.
func Admit(command Command, state *AdmissionState, limits Limits) Cause {
	spec := &command.Spec
	switch {
	case state.LoansIn >= limits.LoansIn, spec.Tasks > limits.Tasks:
		return NoRoom
	case state.OwnWorkLate && state.LateUrgency >= spec.Urgency:
		return NoRoom
	}
	unplaced := spec.Tasks
	capacity := slices.Clone(state.FreeCapacity)
	for i := range capacity {
		perMachine := capacity[i].PerMachine.FitCount(spec.Need)
		if perMachine == 0 || capacity[i].Spot && !spec.AllowSpot {
			continue
		}
		machines := min(capacity[i].Machines, machinesFor(unplaced, perMachine))
		capacity[i].Machines -= machines
		unplaced -= min(unplaced, machines*perMachine)
		if unplaced == 0 {
			break
		}
	}
	if unplaced > 0 {
		return NoRoom
	}
	state.FreeCapacity = capacity
	state.LoansIn++
	return ""
}

// Pressure is the borrower's own need, for which borrowed jobs are given back.
type Pressure struct {
	// OwnJobsLate says that own jobs wait and will miss their SLO; LateUrgency is
	// the highest urgency among them.
	OwnWorkLate bool
	LateUrgency model.Urgency
	// LateFor is how long OwnJobsLate has held.
	LateFor time.Duration
	// DrainIn is the time left until the cluster must be empty; negative if it is
	// not being drained.
	DrainIn time.Duration
}

// ChooseGiveBacks picks the loans to give back: those that have not started, and
// started ones only if they would not end before a drain does.
func ChooseGiveBacks(loans []BorrowedLoan, pressure Pressure, runTime func(BorrowedLoan) time.Duration) []Loan {
	var chosen []Loan
	for _, loan := range loans {
		if !loan.isActive() {
			continue
		}
		drained := pressure.DrainIn >= 0 && (!loan.Started || runTime(loan) > pressure.DrainIn)
		displaced := pressure.OwnWorkLate && pressure.LateFor >= giveBackDelay && !loan.Started && loan.Spec.Urgency <= pressure.LateUrgency
		if drained || displaced {
			chosen = append(chosen, loan.Loan)
		}
	}
	slices.SortFunc(chosen, compareLoans)
	return chosen
}
