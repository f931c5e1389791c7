package peer

import (
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/ownership"
)

// wire is news in its protobuf form, and core, below, the way back.
func wire(n core.PeerNews) *News {
	m := &News{
		From: n.From, Life: n.Life, Asks: n.Asks, Seq: n.Seq, Wants: wireWants(n.Wants), Idle: n.Idle,
		Tells: n.Tells, Blocked: wireWants(n.Blocked), ToSpare: n.ToSpare, Spare: wireWants(n.Spare), StateAway: n.StateAway,
	}
	for _, x := range n.Cancelled {
		m.Cancelled = append(m.Cancelled, &Cancelled{Id: x.ID, Record: x.Record, Stamp: x.Stamp})
	}
	m.CancelsHeard = n.CancelsHeard
	for _, x := range n.Came {
		m.Came = append(m.Came, &Came{Id: x.ID, Epoch: x.Epoch, Tenure: x.Tenure, Tick: x.Tick})
	}
	for _, p := range n.Progress {
		m.Progress = append(m.Progress, &Progress{Id: p.ID, Done: int64(p.Done), Running: int64(p.Running)})
	}
	for _, l := range n.Loads {
		m.Loads = append(m.Loads, &Load{Team: l.Team, Workload: l.Workload, Rate: l.Rate, Ratio: l.Ratio, Dev: l.Dev, Samples: int64(l.Samples)})
	}
	for _, r := range n.Rentals {
		m.Rentals = append(m.Rentals, &Rental{Id: r.ID, Addr: r.Addr, Flavour: r.Flavour, Zone: r.Zone, Spot: r.Spot, Status: r.Status, AgeMs: r.Age.Milliseconds()})
	}
	for _, h := range n.Hosts {
		m.Hosts = append(m.Hosts, &Host{Id: h.ID, Addr: h.Addr, Flavour: h.Flavour, Zone: h.Zone, Spot: h.Spot, Images: h.Images})
	}
	for _, q := range n.Quotes {
		m.Quotes = append(m.Quotes, &TeamQuotes{Team: q.Team, Value: q.Value})
	}
	for _, t := range n.Teams {
		m.Teams = append(m.Teams, &TeamLoad{Team: t.Team, Cpu: t.CPU})
	}
	if n.Rates != nil {
		m.Rates = &Rates{Requests: n.Rates.Requests, Changes: n.Rates.Changes}
	}
	for _, o := range n.Offers {
		m.Offers = append(m.Offers, &Offer{Team: o.Team, Machines: o.Machines})
	}
	for _, r := range n.Release {
		m.Release = append(m.Release, &Release{Team: r.Team, From: r.From, To: r.To})
	}
	for _, a := range n.Wards {
		x := &Ask{Machine: a.Machine}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, &Attempt{Job: t.Job, Index: int64(t.Index), Try: t.Try, Want: uint32(t.Want), WindDownMs: t.WindDown.Milliseconds()})
		}
		m.Wards = append(m.Wards, x)
	}
	for _, a := range n.Told {
		x := &Tell{Machine: a.Machine, Epoch: a.Epoch, Zone: a.Zone}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, &Attempt{Job: t.Job, Index: int64(t.Index), Try: t.Try, State: uint32(t.State), Cause: t.Cause})
		}
		m.Told = append(m.Told, x)
	}
	m.Needs, m.Lacks, m.Empty = wireNeeds(n.Needs), wireNeeds(n.Lacks), wireNeeds(n.Empty)
	for _, c := range n.Costs {
		m.Costs = append(m.Costs, &HostCost{Flavour: c.Flavour, Zone: c.Zone, Spot: c.Spot, DownMs: c.Down.Milliseconds()})
	}
	return m
}

func wireNeeds(hs []core.HostNeed) []*HostNeed {
	var out []*HostNeed
	for _, h := range hs {
		out = append(out, &HostNeed{Flavour: h.Flavour, Zone: h.Zone, Spot: h.Spot, Cpu: h.Need.CPU, Gpu: h.Need.GPU, Memory: h.Need.Memory, Workload: h.Workload, Urgency: int64(h.Urgency)})
	}
	return out
}

func coreNeeds(hs []*HostNeed) []core.HostNeed {
	var out []core.HostNeed
	for _, h := range hs {
		out = append(out, core.HostNeed{Flavour: h.Flavour, Zone: h.Zone, Spot: h.Spot, Need: core.Resources{CPU: h.Cpu, GPU: h.Gpu, Memory: h.Memory}, Workload: h.Workload, Urgency: core.Urgency(h.Urgency)})
	}
	return out
}

func wireWants(ws []core.Want) []*Want {
	var out []*Want
	for _, w := range ws {
		out = append(out, &Want{Flavour: w.Flavour, Zone: w.Zone, Spot: w.Spot, Count: int64(w.Count)})
	}
	return out
}

func (m *News) core() core.PeerNews {
	n := core.PeerNews{
		From: m.From, Life: m.Life, Asks: m.Asks, Seq: m.Seq, Wants: coreWants(m.Wants), Idle: m.Idle,
		Tells: m.Tells, Blocked: coreWants(m.Blocked), ToSpare: m.ToSpare, Spare: coreWants(m.Spare), StateAway: m.StateAway,
	}
	for _, x := range m.Cancelled {
		n.Cancelled = append(n.Cancelled, core.CancelNews{ID: x.Id, Record: x.Record, Stamp: x.Stamp})
	}
	n.CancelsHeard = m.CancelsHeard
	for _, x := range m.Came {
		n.Came = append(n.Came, core.Came{ID: x.Id, Epoch: x.Epoch, Tenure: x.Tenure, Tick: x.Tick})
	}
	for _, p := range m.Progress {
		n.Progress = append(n.Progress, core.Progress{ID: p.Id, Done: int(p.Done), Running: int(p.Running)})
	}
	for _, l := range m.Loads {
		n.Loads = append(n.Loads, core.Load{Team: l.Team, Workload: l.Workload, Rate: l.Rate, Ratio: l.Ratio, Dev: l.Dev, Samples: int(l.Samples)})
	}
	for _, r := range m.Rentals {
		n.Rentals = append(n.Rentals, core.RentalNews{ID: r.Id, Addr: r.Addr, Flavour: r.Flavour, Zone: r.Zone, Spot: r.Spot, Status: r.Status, Age: time.Duration(r.AgeMs) * time.Millisecond})
	}
	for _, h := range m.Hosts {
		n.Hosts = append(n.Hosts, core.HostNews{ID: h.Id, Addr: h.Addr, Flavour: h.Flavour, Zone: h.Zone, Spot: h.Spot, Images: h.Images})
	}
	for _, q := range m.Quotes {
		n.Quotes = append(n.Quotes, core.TeamQuotes{Team: q.Team, Value: q.Value})
	}
	for _, t := range m.Teams {
		n.Teams = append(n.Teams, core.TeamLoad{Team: t.Team, CPU: t.Cpu})
	}
	if m.Rates != nil {
		n.Rates = &core.Rates{Requests: m.Rates.Requests, Changes: m.Rates.Changes}
	}
	for _, o := range m.Offers {
		n.Offers = append(n.Offers, division.Offer{Team: o.Team, Machines: o.Machines})
	}
	for _, r := range m.Release {
		n.Release = append(n.Release, division.Ask{Team: r.Team, From: r.From, To: r.To})
	}
	for _, a := range m.Wards {
		x := ownership.Ask{Machine: a.Machine}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, ownership.Asked{Attempt: t.core(), Want: ownership.Want(t.Want), WindDown: time.Duration(t.WindDownMs) * time.Millisecond})
		}
		n.Wards = append(n.Wards, x)
	}
	for _, a := range m.Told {
		x := ownership.Tell{Machine: a.Machine, Epoch: a.Epoch, Zone: a.Zone}
		for _, t := range a.Attempts {
			x.Attempts = append(x.Attempts, ownership.Told{Attempt: t.core(), State: ownership.State(t.State), Cause: t.Cause})
		}
		n.Told = append(n.Told, x)
	}
	n.Needs, n.Lacks, n.Empty = coreNeeds(m.Needs), coreNeeds(m.Lacks), coreNeeds(m.Empty)
	for _, c := range m.Costs {
		n.Costs = append(n.Costs, core.HostCost{Flavour: c.Flavour, Zone: c.Zone, Spot: c.Spot, Down: time.Duration(c.DownMs) * time.Millisecond})
	}
	return n
}

func (t *Attempt) core() ownership.Attempt {
	return ownership.Attempt{Job: t.Job, Index: int(t.Index), Try: t.Try}
}

func coreWants(ws []*Want) []core.Want {
	var out []core.Want
	for _, w := range ws {
		out = append(out, core.Want{Flavour: w.Flavour, Zone: w.Zone, Spot: w.Spot, Count: int(w.Count)})
	}
	return out
}
