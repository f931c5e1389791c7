package controller

import (
	"time"

	"github.com/micahill/micahill/internal/boottime"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// fleetKnowledge TODO.
type fleetKnowledge struct {
	component

	machineTypes map[string]model.MachineType
	// provisioningTimes is what was learnt of how long machines of each kind take to come up.
	provisioningTimes map[machineKind]*boottime.Estimator
	// accuracy of the workloads' estimates outlives a loss of the owner role.
	estimators map[string]*estimator
	// inheritedLoads is what the owner before told of the workloads.
	inheritedLoads map[workloadKey]message.WorkloadLoad
	// released remembers machines whose return was asked for: neither an old
	// list nor a late report may bring them back.
	released map[string]bool
	// predecessorMachines is what other owners last told of their machines.
	predecessorMachines  map[string]predecessorMachine
	predecessorsPrunedAt time.Time
}
