package config

import (
	"fmt"
	"math"
	"strings"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

const (
	// maxHeartbeatFactor is how many of the workers' report intervals may pass between two
	// reports: give or take a quarter, as the protocol has it.
	maxHeartbeatFactor = 1.25
	// heartbeatTimeoutS is how long a worker waits for the answer to a report, in seconds.
	heartbeatTimeoutS = 4
	// renewalsPerSecond is what every controller asks of the state service in a second just
	// to stay alive, and useful what serving users and workers takes at least.
	renewalsPerSecond, minUsefulRPS = 1, 5
	// minValueKB holds the description of a job, and minWriteRPS is a change a second
	// for starts and one for submissions.
	minValueKB, minWriteRPS = 1, 2
	// recommendedCPU, recommendedMemoryMB and recommendedSockets are what a controller of a small site
	// takes; docs/operations/sizing.md has what a large one does.
	recommendedCPU, recommendedMemoryMB, recommendedSockets = 0.02, 64, 64
)

// maxHostName is how long a controller's name may be: it is part of keys, which have 200
// bytes at most. maxTeamNameFraction is the part of a value that a team's name may take.
const (
	maxHostName         = 120
	maxTeamNameFraction = 0.25
)

func peerNames(seeds []PeerController) []string {
	var out []string
	for _, s := range seeds {
		out = append(out, s.HostName)
	}
	return out
}

// finding is what is wrong or tight about a field.
type finding struct {
	field  string
	value  any
	reason string
	remedy string
}

func (f finding) String() string {
	return fmt.Sprintf("field %s: %v %s; %s", f.field, f.value, f.reason, f.remedy)
}

// checkLimits judges fields against one another. What can't work is wrong; what is
// merely tight starts, with a warning.
func (c *Config) checkLimits() (invalid, tight []finding) {
	deployment := &c.Deployment
	controllers := float64(len(c.Peers) + 1)
	state := deployment.State.Strictest()
	valueField := deployment.State.fieldPath("value_kb", state.ValueKB < deployment.State.ValueKB)
	writeField := deployment.State.fieldPath("write_rps", state.WriteRPS < deployment.State.WriteRPS)
	for i, name := range append([]string{c.HostName}, peerNames(c.Peers)...) {
		field := "host_name"
		if i > 0 {
			field = fmt.Sprintf("seeds[%d].host_name", i-1)
		}
		if len(name) > maxHostName || strings.ContainsAny(name, " \t\r\n/") {
			invalid = append(invalid, finding{field, fmt.Sprintf("%q", name), "can't be part of a key of the state service",
				fmt.Sprintf("up to %d characters without spaces and slashes would do", maxHostName)})
		}
	}
	for i, t := range deployment.Teams {
		if size := sizelimit.StringSize(t.Name); float64(size) > state.ValueKB*1024*maxTeamNameFraction {
			invalid = append(invalid, finding{fmt.Sprintf("deployment.teams[%d].name", i), fmt.Sprintf("%.20q...", t.Name),
				fmt.Sprintf("takes %d bytes of a record, of which there are %.0f", size, state.ValueKB*1024),
				fmt.Sprintf("up to %.0f would do", state.ValueKB*1024*maxTeamNameFraction)})
		}
	}
	if minimum := maxHeartbeatFactor*deployment.Workers.HeartbeatS + heartbeatTimeoutS; deployment.Workers.LeaseS <= maxHeartbeatFactor*deployment.Workers.HeartbeatS {
		invalid = append(invalid, finding{"deployment.workers.lease_s", deployment.Workers.LeaseS,
			fmt.Sprintf("is not longer than the longest pause between two reports (report_s %g and a quarter), so every worker would lose its tasks", deployment.Workers.HeartbeatS),
			fmt.Sprintf("more than %g would do", minimum)})
	} else if deployment.Workers.LeaseS < minimum {
		tight = append(tight, finding{"deployment.workers.lease_s", deployment.Workers.LeaseS,
			"leaves no time for a lost report", fmt.Sprintf("more than %g would do", minimum)})
	}
	settings := controller.Settings{CancellationBound: record.DurationOfSeconds(deployment.Workers.CancelWithinS), WorkerLease: record.DurationOfSeconds(deployment.Workers.LeaseS)}
	if short := settings.RenewalBound().Shortfall(); short > 0 {
		tight = append(tight, finding{"deployment.workers.cancel_s", deployment.Workers.CancelWithinS,
			fmt.Sprintf("leaves no time beside lease_s (%g): on a machine out of reach, and while the state service is away, a cancelled task may last up to %.1f s too long", deployment.Workers.LeaseS, short.Seconds()),
			fmt.Sprintf("%.0f would do", math.Ceil((settings.CancellationBound+short).Seconds())+1)})
	}
	if minimum := renewalsPerSecond * controllers; deployment.State.RPS <= minimum {
		invalid = append(invalid, finding{"deployment.state.rps", deployment.State.RPS,
			fmt.Sprintf("is used up by %g controllers that each renew a grant once a second", controllers),
			fmt.Sprintf("%g would do", minimum+minUsefulRPS*controllers)})
	} else if deployment.State.RPS < minimum+minUsefulRPS*controllers {
		tight = append(tight, finding{"deployment.state.rps", deployment.State.RPS,
			fmt.Sprintf("leaves little beside the renewals of %g controllers", controllers), fmt.Sprintf("%g would do", minimum+minUsefulRPS*controllers)})
	}
	if state.ValueKB < minValueKB {
		invalid = append(invalid, finding{valueField, state.ValueKB,
			"does not hold the description of a job", fmt.Sprintf("%d would do", minValueKB)})
	}
	if state.WriteRPS < minWriteRPS {
		tight = append(tight, finding{writeField, state.WriteRPS,
			"lets jobs wait for one another's records", fmt.Sprintf("%d would do", minWriteRPS)})
	}
	if deployment.Quota.CPU < recommendedCPU {
		tight = append(tight, finding{"deployment.quota.cpu", deployment.Quota.CPU, "is little even for some dozen machines", fmt.Sprintf("%g would do", recommendedCPU)})
	}
	if deployment.Quota.MemoryMB < recommendedMemoryMB {
		tight = append(tight, finding{"deployment.quota.ram_mb", deployment.Quota.MemoryMB, "is little even for some dozen machines", fmt.Sprintf("%d would do", recommendedMemoryMB)})
	}
	if deployment.Quota.Sockets < recommendedSockets {
		tight = append(tight, finding{"deployment.quota.sockets", deployment.Quota.Sockets,
			"makes workers open a connection for each report", fmt.Sprintf("%d would do", recommendedSockets)})
	}
	return invalid, tight
}

// Warnings says, a line each, what of the settings is merely tight.
func (c *Config) Warnings() []string {
	_, tight := c.checkLimits()
	var out []string
	for _, f := range tight {
		out = append(out, f.String())
	}
	return out
}
