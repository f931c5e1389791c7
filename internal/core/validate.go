package core

import (
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/validate"
)

// validate.go judges what comes from outside: news of other controllers, workers' reports
// and records, which may be damaged or written by mistake. What makes no sense is not
// taken, and told of; nothing ends for it.

// Bad is what is wrong with a report, "" for nothing.
func (r *Report) Bad() string {
	var c validate.Check
	c.Name("host", r.Machine, true)
	c.Name("address", r.Addr, false)
	c.Name("flavour", r.Flavour, false)
	c.Name("site", r.Zone, false)
	if r.Recall >= 0 {
		c.Amount("recall_s", r.Recall.Seconds())
	}
	for i := range r.Tasks {
		c.Name("piece", r.Tasks[i].Job, true)
		c.Count("piece", r.Tasks[i].Index, 0, validate.MostTasks-1)
	}
	return c.Bad()
}

// bad is what is wrong with news, "" for nothing.
func (c *PeerNews) bad() string {
	var k validate.Check
	wants := func(field string, ws []Want) {
		for _, w := range ws {
			k.Name(field+".flavour", w.Flavour, false)
			k.Name(field+".zone", w.Zone, false)
			k.Count(field+".count", w.Count, 0, validate.MostTasks)
		}
	}
	wants("wants", c.Wants)
	wants("spare", c.Spare)
	wants("blocked", c.Blocked)
	if c.Rates != nil {
		k.Amount("rates.requests", c.Rates.Requests)
		k.Amount("rates.changes", c.Rates.Changes)
	}
	for _, l := range c.Loads {
		k.Name("loads.workload", l.Workload, true)
		k.Amount("loads.rate", l.Rate)
		k.Amount("loads.ratio", l.Ratio)
		k.Amount("loads.dev", l.Dev)
		k.Count("loads.samples", l.Samples, 0, 1<<40)
	}
	for _, q := range c.Quotes {
		k.Name("quotes.team", q.Team, true)
		k.Count("quotes.value", len(q.Value), 1, bounds.TxnMost)
	}
	for _, p := range c.Progress {
		k.Count("progress.done", p.Done, 0, validate.MostTasks)
		k.Count("progress.running", p.Running, 0, validate.MostTasks)
	}
	for _, t := range c.Teams {
		k.Amount("teams.cpu", t.CPU)
	}
	for _, h := range c.Hosts {
		k.Name("hosts.id", h.ID, true)
		for _, gb := range h.Images {
			k.Amount("hosts.images", gb)
		}
	}
	for _, r := range c.Rentals {
		k.Name("rentals.id", r.ID, true)
		k.Amount("rentals.age", r.Age.Seconds())
	}
	k.Count("came", len(c.Came), 0, cameMost)
	for _, x := range c.Came {
		k.Name("came.id", x.ID, true)
	}
	badCancels(&k, c)
	for _, a := range c.Wards {
		k.Name("wards.machine", a.Machine, true)
		for _, t := range a.Attempts {
			k.Count("wards.index", t.Index, 0, validate.MostTasks-1)
			k.Amount("wards.wind_down", t.WindDown.Seconds())
		}
	}
	needs := func(field string, hs []HostNeed) {
		for _, h := range hs {
			k.Name(field+".flavour", h.Flavour, true)
			k.Name(field+".zone", h.Zone, false)
			k.Name(field+".workload", h.Workload, false)
			k.Amount(field+".cpu", h.Need.CPU)
			k.Amount(field+".gpu", h.Need.GPU)
			k.Amount(field+".memory", h.Need.Memory)
			k.Count(field+".urgency", int(h.Urgency), int(BestEffort), int(Critical))
		}
	}
	needs("needs", c.Needs)
	needs("lacks", c.Lacks)
	needs("empty", c.Empty)
	for _, h := range c.Costs {
		k.Name("costs.flavour", h.Flavour, true)
		k.Amount("costs.down", h.Down.Seconds())
	}
	for _, a := range c.Told {
		k.Name("told.machine", a.Machine, true)
		for _, t := range a.Attempts {
			k.Count("told.index", t.Index, 0, validate.MostTasks-1)
		}
	}
	return k.Bad()
}

// bad is what is wrong with a job's record, "" for nothing. One that is over and was
// kept by an earlier form says nothing but that.
func (r *openRecord) bad() string {
	var c validate.Check
	if r.Cancelled && r.Team == "" {
		return ""
	}
	c.Count("n", r.Tasks, 1, validate.MostTasks)
	for _, f := range [...]struct {
		name string
		is   float64
	}{{"c", r.CPU}, {"g", r.GPU}, {"m", r.Memory}, {"ig", r.ImageGB}, {"e", r.Expected}, {"se", r.SaveEvery}, {"sc", r.SaveCost}, {"d", r.Due}} {
		c.Amount(f.name, f.is)
	}
	c.Count("u", r.Urgency, int(BestEffort), int(Critical))
	if _, ok := pipeline.Decode(r.Prereqs); !ok {
		return "pr is no list of names"
	}
	return c.Bad()
}

// longestRun bounds a run time in a record.
const longestRun = 366 * 24 * time.Hour

// complain tells of bad input, once a minute for each cause; all of it is counted.
func (n *Node) complain(what, from, why string) {
	n.badInput++
	if n.complaints.Say(n.now, what+" "+from+" "+why) {
		n.info("bad input is not taken", "what", what, "from", from, "why", why, "in all", n.badInput)
	}
}
