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
	// maxHeartbeatFactor times the heartbeat interval is the longest time between two
	// heartbeats: the protocol has the interval "give or take a quarter".
	maxHeartbeatFactor = 1.25
	// heartbeatTimeoutS is how many seconds a worker waits for the response to a heartbeat, by
	// the protocol.
	heartbeatTimeoutS = 4
	// renewalsPerSecond is how many requests to the state service each controller needs for its
	// lease alone, and minUsefulRPS what serving users and workers takes at least.
	renewalsPerSecond, minUsefulRPS = 1, 5
	// minValueKB holds the record of a job; minWriteRPS is one write per second for starts
	// and one for submissions.
	minValueKB, minWriteRPS = 1, 2
	// recommendedCPU, recommendedMemoryMB and recommendedSockets are what a controller of a
	// small cluster takes; docs/operations/sizing.md has the figures of a large one.
	recommendedCPU, recommendedMemoryMB, recommendedSockets = 0.02, 64, 64
	// maxHostName bounds a controller's name in bytes: it is part of keys, which have at most 200.
	maxHostName = 120
	// maxTeamNameFraction is the part of a stored value that a team's name may take.
	maxTeamNameFraction = 0.25
)

// finding is a field with a value that can't work or is tight, and what would do.
type finding struct {
	field  string
	value  any
	reason string
	remedy string
}

func (f finding) String() string {
	return fmt.Sprintf("field %s: %v %s; %s", f.field, f.value, f.reason, f.remedy)
}

// findings collects what is wrong with settings that are valid field by field. A controller does
// not start with the invalid ones, and starts with a warning for each tight one.
type findings struct{ invalid, tight []finding }

func (fs *findings) addInvalid(field string, value any, reason, remedy string) {
	fs.invalid = append(fs.invalid, finding{field, value, reason, remedy})
}

func (fs *findings) addTight(field string, value any, reason, remedy string) {
	fs.tight = append(fs.tight, finding{field, value, reason, remedy})
}

// checkLimits checks fields against each other. The first invalid one is the one that is reported.
func (c *Config) checkLimits() findings {
	var fs findings
	c.checkNames(&fs)
	c.checkLeases(&fs)
	c.checkStoreRates(&fs)
	c.checkQuota(&fs)
	return fs
}

// checkNames checks that names fit into keys and records.
func (c *Config) checkNames(fs *findings) {
	hosts := []string{c.HostName}
	for _, peer := range c.Peers {
		hosts = append(hosts, peer.HostName)
	}
	for i, name := range hosts {
		field := "host_name"
		if i > 0 {
			field = fmt.Sprintf("seeds[%d].host_name", i-1)
		}
		if len(name) > maxHostName || strings.ContainsAny(name, " \t\r\n/") {
			fs.addInvalid(field, fmt.Sprintf("%q", name), "can't be part of a key of the state service",
				fmt.Sprintf("up to %d characters without spaces and slashes would do", maxHostName))
		}
	}
	valueBytes := c.Deployment.State.Strictest().ValueKB * 1024
	for i, team := range c.Deployment.Teams {
		if size := sizelimit.StringSize(team.Name); float64(size) > valueBytes*maxTeamNameFraction {
			fs.addInvalid(fmt.Sprintf("deployment.teams[%d].name", i), fmt.Sprintf("%.20q...", team.Name),
				fmt.Sprintf("takes %d bytes of a record, of which there are %.0f", size, valueBytes),
				fmt.Sprintf("up to %.0f would do", valueBytes*maxTeamNameFraction))
		}
	}
}

// checkLeases checks that worker leases outlast a lost heartbeat, and that cancellations can wait
// for leases to expire.
func (c *Config) checkLeases(fs *findings) {
	workers := &c.Deployment.Workers
	longestInterval := maxHeartbeatFactor * workers.HeartbeatS
	minimum := longestInterval + heartbeatTimeoutS
	if workers.LeaseS <= longestInterval {
		fs.addInvalid("deployment.workers.lease_s", workers.LeaseS,
			fmt.Sprintf("is not longer than the longest pause between two reports (report_s %g and a quarter), so every worker would lose its tasks", workers.HeartbeatS),
			fmt.Sprintf("more than %g would do", minimum))
	} else if workers.LeaseS < minimum {
		fs.addTight("deployment.workers.lease_s", workers.LeaseS,
			"leaves no time for a lost report", fmt.Sprintf("more than %g would do", minimum))
	}
	settings := controller.Settings{CancellationBound: record.DurationOfSeconds(workers.CancelWithinS), WorkerLease: record.DurationOfSeconds(workers.LeaseS)}
	if short := settings.RenewalBound().Shortfall(); short > 0 {
		fs.addTight("deployment.workers.cancel_s", workers.CancelWithinS,
			fmt.Sprintf("leaves no time beside lease_s (%g): on a machine out of reach, and while the state service is away, a cancelled task may last up to %.1f s too long", workers.LeaseS, short.Seconds()),
			fmt.Sprintf("%.0f would do", math.Ceil((settings.CancellationBound+short).Seconds())+1))
	}
}

// checkStoreRates checks that the state service's limits are enough for all controllers.
func (c *Config) checkStoreRates(fs *findings) {
	current := &c.Deployment.State
	strictest := current.Strictest()
	controllers := float64(len(c.Peers) + 1)
	renewals := renewalsPerSecond * controllers
	useful := renewals + minUsefulRPS*controllers
	if current.RPS <= renewals {
		fs.addInvalid("deployment.state.rps", current.RPS,
			fmt.Sprintf("is used up by %g controllers that each renew a grant once a second", controllers),
			fmt.Sprintf("%g would do", useful))
	} else if current.RPS < useful {
		fs.addTight("deployment.state.rps", current.RPS,
			fmt.Sprintf("leaves little beside the renewals of %g controllers", controllers), fmt.Sprintf("%g would do", useful))
	}
	if strictest.ValueKB < minValueKB {
		fs.addInvalid(current.fieldPath("value_kb", strictest.ValueKB < current.ValueKB), strictest.ValueKB,
			"does not hold the description of a job", fmt.Sprintf("%d would do", minValueKB))
	}
	if strictest.WriteRPS < minWriteRPS {
		fs.addTight(current.fieldPath("write_rps", strictest.WriteRPS < current.WriteRPS), strictest.WriteRPS,
			"lets jobs wait for one another's records", fmt.Sprintf("%d would do", minWriteRPS))
	}
}

// checkQuota checks what this process may use.
func (c *Config) checkQuota(fs *findings) {
	quota := &c.Deployment.Quota
	if quota.CPU < recommendedCPU {
		fs.addTight("deployment.quota.cpu", quota.CPU, "is little even for some dozen machines", fmt.Sprintf("%g would do", recommendedCPU))
	}
	if quota.MemoryMB < recommendedMemoryMB {
		fs.addTight("deployment.quota.ram_mb", quota.MemoryMB, "is little even for some dozen machines", fmt.Sprintf("%d would do", recommendedMemoryMB))
	}
	if quota.Sockets < recommendedSockets {
		fs.addTight("deployment.quota.sockets", quota.Sockets,
			"makes workers open a connection for each report", fmt.Sprintf("%d would do", recommendedSockets))
	}
}

// Warnings returns a line for each setting that is tight.
func (c *Config) Warnings() []string {
	var lines []string
	for _, f := range c.checkLimits().tight {
		lines = append(lines, f.String())
	}
	return lines
}
