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
func (u *PeerUpdate) Validate() error {
	var check validate.Check
	u.validateCapacity(&check)
	u.validateLoads(&check)
	u.validateMachines(&check)
	u.validateCancellations(&check)
	u.validateRemoteAttempts(&check)
	u.validateEvacuations(&check)
	u.validateTransfers(&check)
	u.validateRemoteStatuses(&check)
	return check.Err()
}

// validateCapacity checks the counts of machines and the rates of requests to the state service.
func (u *PeerUpdate) validateCapacity(check *validate.Check) {
	checkRequests(check, "wants", u.CapacityRequests)
	checkRequests(check, "spare", u.SurplusElsewhere)
	checkRequests(check, "blocked", u.Blocked)
	if u.Rates != nil {
		check.Amount("rates.requests", u.Rates.Requests)
		check.Amount("rates.changes", u.Rates.Writes)
	}
}

// checkRequests checks the capacity requests in a field.
func checkRequests(check *validate.Check, field string, requests []CapacityRequest) {
	for _, r := range requests {
		check.Name(field+".flavour", r.MachineType, false)
		check.Name(field+".zone", r.Zone, false)
		check.Count(field+".count", r.Count, 0, validate.MaxTasks)
	}
}

// validateLoads checks the loads, the quotes and the progress of jobs.
func (u *PeerUpdate) validateLoads(check *validate.Check) {
	for _, l := range u.WorkloadLoads {
		check.Name("loads.workload", l.Workload, true)
		check.Amount("loads.rate", l.TasksPerSecond)
		check.Amount("loads.ratio", l.RunTimeRatio)
		check.Amount("loads.dev", l.Deviation)
		check.Count("loads.samples", l.Samples, 0, 1<<40)
	}
	for _, q := range u.Quotes {
		check.Name("quotes.team", q.Team, true)
		check.Count("quotes.value", len(q.Value), 1, sizelimit.MaxTxnBytes)
	}
	for _, p := range u.Progress {
		check.Count("progress.done", p.Done, 0, validate.MaxTasks)
		check.Count("progress.running", p.Running, 0, validate.MaxTasks)
	}
	for _, t := range u.TeamLoads {
		check.Amount("teams.cpu", t.CPU)
	}
}

// validateMachines checks the machine and rental updates and the rerouted heartbeats.
func (u *PeerUpdate) validateMachines(check *validate.Check) {
	for _, m := range u.MachineUpdates {
		check.Name("hosts.id", m.ID, true)
		for _, gb := range m.Images {
			check.Amount("hosts.images", gb)
		}
	}
	for _, r := range u.RentalUpdates {
		check.Name("rentals.id", r.ID, true)
		check.Amount("rentals.age", r.Age.Seconds())
	}
	check.Count("came", len(u.Rerouted), 0, MaxReroutedHeartbeats)
	for _, r := range u.Rerouted {
		check.Name("came.id", r.ID, true)
	}
}

// validateCancellations checks the cancellations and their acknowledgements.
func (u *PeerUpdate) validateCancellations(check *validate.Check) {
	check.Count("cancelled", len(u.Cancellations), 0, MaxCancellationsPerUpdate)
	for _, c := range u.Cancellations {
		check.Name("cancelled.id", c.ID, true)
	}
	check.Count("cancels_heard", len(u.CancellationAcks), 0, MaxCancellationsPerUpdate)
	for _, id := range u.CancellationAcks {
		check.Name("cancels_heard.id", id, true)
	}
}

// validateRemoteAttempts checks the attempts of the sender's jobs on the receiver's machines.
func (u *PeerUpdate) validateRemoteAttempts(check *validate.Check) {
	for _, r := range u.RemoteAttempts {
		check.Name("wards.machine", r.Machine, true)
		for _, a := range r.Attempts {
			check.Count("wards.index", a.Index, 0, validate.MaxTasks-1)
			check.Amount("wards.wind_down", a.WindDown.Seconds())
		}
	}
}

// validateEvacuations checks the needs for empty machines and the costs of evacuations.
func (u *PeerUpdate) validateEvacuations(check *validate.Check) {
	checkNeeds(check, "needs", u.HostNeeds)
	checkNeeds(check, "lacks", u.OthersNeeds)
	checkNeeds(check, "empty", u.EvacuationRequests)
	for _, c := range u.EvacuationCosts {
		check.Name("costs.flavour", c.MachineType, true)
		check.Amount("costs.down", c.Downtime.Seconds())
	}
}

// validateTransfers checks the requests and offers of machine transfers.
func (u *PeerUpdate) validateTransfers(check *validate.Check) {
	checkTransferRequests(check, "transfer_requests", u.TransferRequests)
	checkTransferRequests(check, "others_transfer_requests", u.OthersTransferRequests)
	check.Count("transfer_offers", len(u.TransferOffers), 0, MaxTransferOffers)
	for _, o := range u.TransferOffers {
		check.Name("transfer_offers.machine", o.ID, true)
		checkResources(check, "transfer_offers", o.Free)
		check.Count("transfer_offers.attempts", o.Attempts, 0, validate.MaxTasks)
	}
}

// checkTransferRequests checks the transfer requests in a field.
func checkTransferRequests(check *validate.Check, field string, requests []exchange.TransferRequest) {
	check.Count(field, len(requests), 0, MaxTransferRequests)
	for _, r := range requests {
		check.Name(field+".team", r.Team, true)
		check.Count(field+".kinds", len(r.Kinds), 1, MaxTransferKinds)
		for _, k := range r.Kinds {
			check.Name(field+".kinds.machine_type", k.MachineType, true)
			check.Name(field+".kinds.zone", k.Zone, true)
		}
		checkResources(check, field, r.Need)
		check.Count(field+".jobs", r.Jobs, 1, validate.MaxTasks)
		check.Amount(field+".waited", r.Waited.Seconds())
	}
}

// checkResources checks the resources in a field.
func checkResources(check *validate.Check, field string, r model.Resources) {
	check.Amount(field+".cpu", r.CPU)
	check.Amount(field+".gpu", r.GPU)
	check.Amount(field+".memory", r.Memory)
}

// checkNeeds checks the needs for empty machines in a field.
func checkNeeds(check *validate.Check, field string, needs []HostNeed) {
	for _, n := range needs {
		check.Name(field+".flavour", n.MachineType, true)
		check.Name(field+".zone", n.Zone, false)
		check.Name(field+".workload", n.Workload, false)
		checkResources(check, field, n.Need)
		check.Count(field+".urgency", int(n.Urgency), int(model.BestEffort), int(model.Critical))
	}
}

// validateRemoteStatuses checks the states of attempts on the sender's machines.
func (u *PeerUpdate) validateRemoteStatuses(check *validate.Check) {
	for _, s := range u.RemoteStatuses {
		check.Name("told.machine", s.Machine, true)
		for _, a := range s.Attempts {
			check.Count("told.index", a.Index, 0, validate.MaxTasks-1)
		}
	}
}
