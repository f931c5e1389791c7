package message

import (
	"github.com/micahill/micahill/internal/exchange"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/validate"
)

// Validate returns a *validate.FieldError for the first invalid field of the update, or nil if the
// update is valid. The error has the field's name in the protocol between controllers, which package
// peer implements.
func (update *PeerUpdate) Validate() error {
	var check validate.Check
	update.validateCapacity(&check)
	update.validateLoads(&check)
	update.validateMachines(&check)
	update.validateCancellations(&check)
	update.validateRemoteAttempts(&check)
	update.validateEvacuations(&check)
	update.validateTransfers(&check)
	update.validateRemoteStatuses(&check)
	return check.Err()
}

// validateCapacity checks the counts of machines and the rates of requests to the state service.
func (update *PeerUpdate) validateCapacity(check *validate.Check) {
	checkCapacityRequests(check, "wants", update.CapacityRequests)
	checkCapacityRequests(check, "spare", update.SurplusElsewhere)
	checkCapacityRequests(check, "blocked", update.Blocked)
	if update.Rates != nil {
		check.Amount("rates.requests", update.Rates.Requests)
		check.Amount("rates.changes", update.Rates.Writes)
	}
}

// checkCapacityRequests checks the capacity requests in a field.
func checkCapacityRequests(check *validate.Check, field string, requests []CapacityRequest) {
	for _, request := range requests {
		check.Name(field+".flavour", request.MachineType, false)
		check.Name(field+".zone", request.Zone, false)
		check.Count(field+".count", request.Count, 0, validate.MaxTasks)
	}
}

// validateLoads checks the loads, the quotes and the progress of jobs.
func (update *PeerUpdate) validateLoads(check *validate.Check) {
	for _, l := range update.WorkloadLoads {
		check.Name("loads.workload", l.Workload, true)
		check.Amount("loads.rate", l.TasksPerSecond)
		check.Amount("loads.ratio", l.RunTimeRatio)
		check.Amount("loads.dev", l.Deviation)
		check.Count("loads.samples", l.Samples, 0, 1<<40)
	}
	for _, q := range update.Quotes {
		check.Name("quotes.team", q.Team, true)
		check.Count("quotes.value", len(q.Value), 1, sizelimit.MaxTxnBytes)
	}
	for _, p := range update.Progress {
		check.Count("progress.done", p.Done, 0, validate.MaxTasks)
		check.Count("progress.running", p.Running, 0, validate.MaxTasks)
	}
	for _, t := range update.TeamLoads {
		check.Amount("teams.cpu", t.CPU)
	}
}

// validateMachines checks the machine and rental updates and the rerouted heartbeats.
func (update *PeerUpdate) validateMachines(check *validate.Check) {
	for _, m := range update.MachineUpdates {
		check.Name("hosts.id", m.ID, true)
		for _, gb := range m.Images {
			check.Amount("hosts.images", gb)
		}
	}
	for _, r := range update.RentalUpdates {
		check.Name("rentals.id", r.ID, true)
		check.Amount("rentals.age", r.Age.Seconds())
	}
	check.Count("came", len(update.Rerouted), 0, MaxReroutedHeartbeats)
	for _, r := range update.Rerouted {
		check.Name("came.id", r.ID, true)
	}
}

// validateCancellations checks the cancellations and their acknowledgements.
func (update *PeerUpdate) validateCancellations(check *validate.Check) {
	check.Count("cancelled", len(update.Cancellations), 0, MaxCancellationsPerUpdate)
	for _, c := range update.Cancellations {
		check.Name("cancelled.id", c.ID, true)
	}
	check.Count("cancels_heard", len(update.CancellationAcks), 0, MaxCancellationsPerUpdate)
	for _, id := range update.CancellationAcks {
		check.Name("cancels_heard.id", id, true)
	}
}

// validateRemoteAttempts checks the attempts of the sender's jobs on the receiver's machines.
func (update *PeerUpdate) validateRemoteAttempts(check *validate.Check) {
	for _, r := range update.RemoteAttempts {
		check.Name("wards.machine", r.Machine, true)
		for _, a := range r.Attempts {
			check.Count("wards.index", a.Index, 0, validate.MaxTasks-1)
			check.Amount("wards.wind_down", a.WindDown.Seconds())
		}
	}
}

// validateEvacuations checks the needs for empty machines and the costs of evacuations.
func (update *PeerUpdate) validateEvacuations(check *validate.Check) {
	checkHostNeeds(check, "needs", update.HostNeeds)
	checkHostNeeds(check, "lacks", update.OthersNeeds)
	checkHostNeeds(check, "empty", update.EvacuationRequests)
	for _, c := range update.EvacuationCosts {
		check.Name("costs.flavour", c.MachineType, true)
		check.Amount("costs.down", c.Downtime.Seconds())
	}
}

// validateTransfers checks the requests and offers of machine transfers.
func (update *PeerUpdate) validateTransfers(check *validate.Check) {
	checkTransferRequests(check, "transfer_requests", update.TransferRequests)
	checkTransferRequests(check, "others_transfer_requests", update.OthersTransferRequests)
	check.Count("transfer_offers", len(update.TransferOffers), 0, MaxTransferOffers)
	for _, o := range update.TransferOffers {
		check.Name("transfer_offers.machine", o.ID, true)
		checkResources(check, "transfer_offers", o.Free)
		check.Count("transfer_offers.attempts", o.Attempts, 0, validate.MaxTasks)
	}
}

// checkTransferRequests checks the transfer requests in a field.
func checkTransferRequests(check *validate.Check, field string, requests []exchange.TransferRequest) {
	check.Count(field, len(requests), 0, MaxTransferRequests)
	for _, request := range requests {
		check.Name(field+".team", request.Team, true)
		check.Count(field+".kinds", len(request.Kinds), 1, MaxTransferKinds)
		for _, kind := range request.Kinds {
			check.Name(field+".kinds.machine_type", kind.MachineType, true)
			check.Name(field+".kinds.zone", kind.Zone, true)
		}
		checkResources(check, field, request.Need)
		check.Count(field+".jobs", request.Jobs, 1, validate.MaxTasks)
		check.Amount(field+".waited", request.Waited.Seconds())
	}
}

// checkResources checks the resources in a field.
func checkResources(check *validate.Check, field string, resources model.Resources) {
	check.Amount(field+".cpu", resources.CPU)
	check.Amount(field+".gpu", resources.GPU)
	check.Amount(field+".memory", resources.Memory)
}

// checkHostNeeds checks the needs for empty machines in a field.
func checkHostNeeds(check *validate.Check, field string, needs []HostNeed) {
	for _, need := range needs {
		check.Name(field+".flavour", need.MachineType, true)
		check.Name(field+".zone", need.Zone, false)
		check.Name(field+".workload", need.Workload, false)
		checkResources(check, field, need.Need)
		check.Count(field+".urgency", int(need.Urgency), int(model.BestEffort), int(model.Critical))
	}
}

// validateRemoteStatuses checks the states of attempts on the sender's machines.
func (update *PeerUpdate) validateRemoteStatuses(check *validate.Check) {
	for _, s := range update.RemoteStatuses {
		check.Name("told.machine", s.Machine, true)
		for _, a := range s.Attempts {
			check.Count("told.index", a.Index, 0, validate.MaxTasks-1)
		}
	}
}
