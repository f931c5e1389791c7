package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/validate"
)

// validate.go judges what comes from outside: news of other controllers, workers' reports
// and records, which may be damaged or written by mistake. What makes no sense is not
// taken, and told of; nothing ends for it.

// Validate is what is wrong with news, "" for nothing.
func (u *PeerUpdate) Validate() string {
	var check validate.Check
	checkRequests := func(field string, requests []CapacityRequest) {
		for _, w := range requests {
			check.Name(field+".flavour", w.MachineType, false)
			check.Name(field+".zone", w.Zone, false)
			check.Count(field+".count", w.Count, 0, validate.MaxTasks)
		}
	}
	checkRequests("wants", u.CapacityRequests)
	checkRequests("spare", u.SurplusElsewhere)
	checkRequests("blocked", u.Blocked)
	if u.Rates != nil {
		check.Amount("rates.requests", u.Rates.Requests)
		check.Amount("rates.changes", u.Rates.Writes)
	}
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
	for _, h := range u.MachineUpdates {
		check.Name("hosts.id", h.ID, true)
		for _, gb := range h.Images {
			check.Amount("hosts.images", gb)
		}
	}
	for _, r := range u.RentalUpdates {
		check.Name("rentals.id", r.ID, true)
		check.Amount("rentals.age", r.Age.Seconds())
	}
	check.Count("came", len(u.Rerouted), 0, maxReroutedHeartbeats)
	for _, x := range u.Rerouted {
		check.Name("came.id", x.ID, true)
	}
	validateCancellations(&check, u)
	for _, a := range u.RemoteAttempts {
		check.Name("wards.machine", a.Machine, true)
		for _, t := range a.Attempts {
			check.Count("wards.index", t.Index, 0, validate.MaxTasks-1)
			check.Amount("wards.wind_down", t.WindDown.Seconds())
		}
	}
	checkNeeds := func(field string, needs []HostNeed) {
		for _, h := range needs {
			check.Name(field+".flavour", h.MachineType, true)
			check.Name(field+".zone", h.Zone, false)
			check.Name(field+".workload", h.Workload, false)
			check.Amount(field+".cpu", h.Need.CPU)
			check.Amount(field+".gpu", h.Need.GPU)
			check.Amount(field+".memory", h.Need.Memory)
			check.Count(field+".urgency", int(h.Urgency), int(model.BestEffort), int(model.Critical))
		}
	}
	checkNeeds("needs", u.HostNeeds)
	checkNeeds("lacks", u.OthersNeeds)
	checkNeeds("empty", u.EvacuationRequests)
	for _, h := range u.EvacuationCosts {
		check.Name("costs.flavour", h.MachineType, true)
		check.Amount("costs.down", h.Downtime.Seconds())
	}
	for _, a := range u.RemoteStatuses {
		check.Name("told.machine", a.Machine, true)
		for _, t := range a.Attempts {
			check.Count("told.index", t.Index, 0, validate.MaxTasks-1)
		}
	}
	return check.Problem()
}

// Validate is what is wrong with a job's record, "" for nothing. One that is over and was
// kept by an earlier form says nothing but that.
func (r *openJobRecord) Validate() string {
	var c validate.Check
	if r.Cancelled && r.Team == "" {
		return ""
	}
	c.Count("n", r.Tasks, 1, validate.MaxTasks)
	for _, f := range [...]struct {
		name string
		is   float64
	}{{"c", r.CPU}, {"g", r.GPU}, {"m", r.Memory}, {"ig", r.ImageGB}, {"e", r.ExpectedSeconds}, {"se", r.CheckpointIntervalSeconds}, {"sc", r.CheckpointCostSeconds}, {"d", r.DeadlineSeconds}} {
		c.Amount(f.name, f.is)
	}
	c.Count("u", r.Urgency, int(model.BestEffort), int(model.Critical))
	if _, ok := pipeline.DecodeNames(r.Dependencies); !ok {
		return "pr is no list of names"
	}
	return c.Problem()
}

// maxRunTime bounds a run time in a record.
const maxRunTime = 366 * 24 * time.Hour

// rejectInput tells of bad input, once a minute for each cause; all of it is counted.
func (n *Controller) rejectInput(what, from, why string) {
	n.rejectedInputs++
	if n.rejections.Allow(n.now, what+" "+from+" "+why) {
		n.info("bad input is not taken", "what", what, "from", from, "why", why, "in all", n.rejectedInputs)
	}
}
