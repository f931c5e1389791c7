package config

import (
	"fmt"
	"math"
	"strings"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/core"
)

const (
	// pauses is how many of the workers' report intervals may pass between two
	// reports: give or take a quarter, as the protocol has it.
	pauses = 1.25
	// answerS is how long a worker waits for the answer to a report, in seconds.
	answerS = 4
	// renewals is what every controller asks of the state service in a second just
	// to stay alive, and useful what serving users and workers takes at least.
	renewals, useful = 1, 5
	// leastKB holds the description of a job, and leastWrites is a change a second
	// for starts and one for submissions.
	leastKB, leastWrites = 1, 2
	// tightCPU, tightMB and tightSockets are what a controller of a small site
	// takes; docs/operations/sizing.md has what a large one does.
	tightCPU, tightMB, tightSockets = 0.02, 64, 64
)

// hostMost is how long a controller's name may be: it is part of keys, which have 200
// bytes at most. teamPart is the part of a value that a team's name may take.
const (
	hostMost = 120
	teamPart = 0.25
)

func hostNames(seeds []Seed) []string {
	var out []string
	for _, s := range seeds {
		out = append(out, s.HostName)
	}
	return out
}

// finding is what is wrong or tight about a field.
type finding struct {
	field string
	value any
	why   string
	do    string
}

func (f finding) String() string {
	return fmt.Sprintf("field %s: %v %s; %s", f.field, f.value, f.why, f.do)
}

// limits judges fields against one another. What can't work is wrong; what is
// merely tight starts, with a warning.
func (c *Config) limits() (wrong, tight []finding) {
	d := &c.Deployment
	nodes := float64(len(c.Seeds) + 1)
	state := d.State.Tighter()
	valueField := d.State.field("value_kb", state.ValueKB < d.State.ValueKB)
	writeField := d.State.field("write_rps", state.WriteRPS < d.State.WriteRPS)
	for i, name := range append([]string{c.HostName}, hostNames(c.Seeds)...) {
		field := "host_name"
		if i > 0 {
			field = fmt.Sprintf("seeds[%d].host_name", i-1)
		}
		if len(name) > hostMost || strings.ContainsAny(name, " \t\r\n/") {
			wrong = append(wrong, finding{field, fmt.Sprintf("%q", name), "can't be part of a key of the state service",
				fmt.Sprintf("up to %d characters without spaces and slashes would do", hostMost)})
		}
	}
	for i, t := range d.Teams {
		if size := bounds.StringSize(t.Name); float64(size) > state.ValueKB*1024*teamPart {
			wrong = append(wrong, finding{fmt.Sprintf("deployment.teams[%d].name", i), fmt.Sprintf("%.20q...", t.Name),
				fmt.Sprintf("takes %d bytes of a record, of which there are %.0f", size, state.ValueKB*1024),
				fmt.Sprintf("up to %.0f would do", state.ValueKB*1024*teamPart)})
		}
	}
	if least := pauses*d.Workers.ReportS + answerS; d.Workers.LeaseS <= pauses*d.Workers.ReportS {
		wrong = append(wrong, finding{"deployment.workers.lease_s", d.Workers.LeaseS,
			fmt.Sprintf("is not longer than the longest pause between two reports (report_s %g and a quarter), so every worker would lose its tasks", d.Workers.ReportS),
			fmt.Sprintf("more than %g would do", least)})
	} else if d.Workers.LeaseS < least {
		tight = append(tight, finding{"deployment.workers.lease_s", d.Workers.LeaseS,
			"leaves no time for a lost report", fmt.Sprintf("more than %g would do", least)})
	}
	s := core.Settings{CancellationBound: core.Seconds(d.Workers.CancelS), WorkerLease: core.Seconds(d.Workers.LeaseS)}
	if short := s.RenewalBound().Shortfall(); short > 0 {
		tight = append(tight, finding{"deployment.workers.cancel_s", d.Workers.CancelS,
			fmt.Sprintf("leaves no time beside lease_s (%g): on a machine out of reach, and while the state service is away, a cancelled task may last up to %.1f s too long", d.Workers.LeaseS, short.Seconds()),
			fmt.Sprintf("%.0f would do", math.Ceil((s.CancellationBound+short).Seconds())+1)})
	}
	if least := renewals * nodes; d.State.RPS <= least {
		wrong = append(wrong, finding{"deployment.state.rps", d.State.RPS,
			fmt.Sprintf("is used up by %g controllers that each renew a grant once a second", nodes),
			fmt.Sprintf("%g would do", least+useful*nodes)})
	} else if d.State.RPS < least+useful*nodes {
		tight = append(tight, finding{"deployment.state.rps", d.State.RPS,
			fmt.Sprintf("leaves little beside the renewals of %g controllers", nodes), fmt.Sprintf("%g would do", least+useful*nodes)})
	}
	if state.ValueKB < leastKB {
		wrong = append(wrong, finding{valueField, state.ValueKB,
			"does not hold the description of a job", fmt.Sprintf("%d would do", leastKB)})
	}
	if state.WriteRPS < leastWrites {
		tight = append(tight, finding{writeField, state.WriteRPS,
			"lets jobs wait for one another's records", fmt.Sprintf("%d would do", leastWrites)})
	}
	if d.Quota.CPU < tightCPU {
		tight = append(tight, finding{"deployment.quota.cpu", d.Quota.CPU, "is little even for some dozen machines", fmt.Sprintf("%g would do", tightCPU)})
	}
	if d.Quota.RAMMB < tightMB {
		tight = append(tight, finding{"deployment.quota.ram_mb", d.Quota.RAMMB, "is little even for some dozen machines", fmt.Sprintf("%d would do", tightMB)})
	}
	if d.Quota.Sockets < tightSockets {
		tight = append(tight, finding{"deployment.quota.sockets", d.Quota.Sockets,
			"makes workers open a connection for each report", fmt.Sprintf("%d would do", tightSockets)})
	}
	return wrong, tight
}

// Warnings says, a line each, what of the settings is merely tight.
func (c *Config) Warnings() []string {
	_, tight := c.limits()
	var out []string
	for _, f := range tight {
		out = append(out, f.String())
	}
	return out
}
