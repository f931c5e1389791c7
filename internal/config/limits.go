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
	// maxHeartbeatFactor is the ratio of the longest time between two heartbeats to the heartbeat
	// interval: the protocol allows the interval "give or take a quarter".
	maxHeartbeatFactor = 1.25
	// heartbeatTimeoutS is how many seconds a worker waits for the response to a heartbeat,
	// according to the protocol.
	heartbeatTimeoutS = 4
	// renewalsPerSecond is how many requests per second to the state service each controller
	// needs to renew its lease. minUsefulRPS is how many more it needs at least to serve users
	// and workers.
	renewalsPerSecond, minUsefulRPS = 1, 5
	// minValueKB is a value's size in KiB that is enough for the record of a job. minWriteRPS
	// allows one write per second for starts and one for submissions.
	minValueKB, minWriteRPS = 1, 2
	// recommendedCPU, recommendedMemoryMB and recommendedSockets are the CPUs, the memory and the
	// sockets that a controller of a small cluster needs. docs/operations/sizing.md has the
	// figures for a large cluster.
	recommendedCPU, recommendedMemoryMB, recommendedSockets = 0.02, 64, 64
	// maxHostName is the maximum length of a controller's name in bytes. The name is part of keys
	// in the state service, which have at most 200 bytes.
	maxHostName = 120
	// maxTeamNameFraction is the fraction of a stored value's size that a team's name may use.
	maxTeamNameFraction = 0.25
)

// finding is a field with an invalid or tight value, the reason, and the values that are enough.
type finding struct {
	field  string
	value  any
	reason string
	remedy string
}

// String returns the finding as a line of text for operators.
func (finding finding) String() string {
	return fmt.Sprintf("field %s: %v %s; %s", finding.field, finding.value, finding.reason, finding.remedy)
}

// findings lists the faults of settings whose fields are valid one by one. A controller does not
// start if a field is invalid. It starts with a warning for each field that is tight, which means
// that the controller works with the value, but badly.
type findings struct{ invalid, tight []finding }

// addInvalid adds a field whose value prevents the controller from working.
func (found *findings) addInvalid(field string, value any, reason, remedy string) {
	found.invalid = append(found.invalid, finding{field, value, reason, remedy})
}

// addTight adds a field whose value is barely enough.
func (found *findings) addTight(field string, value any, reason, remedy string) {
	found.tight = append(found.tight, finding{field, value, reason, remedy})
}

// checkLimits checks fields against each other and against the controller's needs. Only the first
// invalid field is reported to the operator.
func (config *Config) checkLimits() findings {
	var found findings
	config.checkNames(&found)
	config.checkLeases(&found)
	config.checkStoreRates(&found)
	config.checkQuota(&found)
	return found
}

// checkNames checks that the names of controllers are valid in keys, and that the names of teams fit
// into records.
func (config *Config) checkNames(found *findings) {
	hosts := []string{config.HostName}
	for _, peer := range config.Peers {
		hosts = append(hosts, peer.HostName)
	}
	for i, name := range hosts {
		field := "host_name"
		if i > 0 {
			field = fmt.Sprintf("seeds[%d].host_name", i-1)
		}
		if len(name) > maxHostName || strings.ContainsAny(name, " \t\r\n/") {
			found.addInvalid(field, fmt.Sprintf("%q", name), "can't be part of a key of the state service",
				fmt.Sprintf("up to %d characters without spaces and slashes would do", maxHostName))
		}
	}
	valueBytes := config.Deployment.State.Strictest().ValueKB * 1024
	for i, team := range config.Deployment.Teams {
		if size := sizelimit.StringSize(team.Name); float64(size) > valueBytes*maxTeamNameFraction {
			found.addInvalid(fmt.Sprintf("deployment.teams[%d].name", i), fmt.Sprintf("%.20q...", team.Name),
				fmt.Sprintf("takes %d of the %.0f bytes of a record", size, valueBytes),
				fmt.Sprintf("up to %.0f would do", valueBytes*maxTeamNameFraction))
		}
	}
}

// checkLeases checks that a worker's lease survives a lost heartbeat, and that the time allowed for a
// cancellation is long enough for a worker's lease to expire in it.
func (config *Config) checkLeases(found *findings) {
	workers := &config.Deployment.Workers
	longestInterval := maxHeartbeatFactor * workers.HeartbeatS
	minimum := longestInterval + heartbeatTimeoutS
	if workers.LeaseS <= longestInterval {
		found.addInvalid("deployment.workers.lease_s", workers.LeaseS,
			fmt.Sprintf("is not longer than the longest pause between two heartbeats (report_s %g plus a quarter), so every worker would lose its tasks", workers.HeartbeatS),
			fmt.Sprintf("more than %g would do", minimum))
	} else if workers.LeaseS < minimum {
		found.addTight("deployment.workers.lease_s", workers.LeaseS,
			"leaves no time for a lost heartbeat", fmt.Sprintf("more than %g would do", minimum))
	}
	settings := controller.Settings{CancellationBound: record.DurationOfSeconds(workers.CancelWithinS), WorkerLease: record.DurationOfSeconds(workers.LeaseS)}
	if short := settings.RenewalBound().Shortfall(); short > 0 {
		found.addTight("deployment.workers.cancel_s", workers.CancelWithinS,
			fmt.Sprintf("leaves too little time in addition to lease_s (%g): on an unreachable machine, and while the state service is unavailable, a cancelled task may run up to %.1f s too long", workers.LeaseS, short.Seconds()),
			fmt.Sprintf("%.0f would do", math.Ceil((settings.CancellationBound+short).Seconds())+1))
	}
}

// checkStoreRates checks that the limits of the state service are high enough for all controllers.
func (config *Config) checkStoreRates(found *findings) {
	current := &config.Deployment.State
	strictest := current.Strictest()
	controllers := float64(len(config.Peers) + 1)
	renewals := renewalsPerSecond * controllers
	useful := renewals + minUsefulRPS*controllers
	if current.RPS <= renewals {
		found.addInvalid("deployment.state.rps", current.RPS,
			fmt.Sprintf("is used up by %g controllers that each renew a lease once a second", controllers),
			fmt.Sprintf("%g would do", useful))
	} else if current.RPS < useful {
		found.addTight("deployment.state.rps", current.RPS,
			fmt.Sprintf("leaves little in addition to the lease renewals of %g controllers", controllers), fmt.Sprintf("%g would do", useful))
	}
	if strictest.ValueKB < minValueKB {
		found.addInvalid(current.fieldPath("value_kb", strictest.ValueKB < current.ValueKB), strictest.ValueKB,
			"does not hold the record of a job", fmt.Sprintf("%d would do", minValueKB))
	}
	if strictest.WriteRPS < minWriteRPS {
		found.addTight(current.fieldPath("write_rps", strictest.WriteRPS < current.WriteRPS), strictest.WriteRPS,
			"makes jobs wait until the records of other jobs are written", fmt.Sprintf("%d would do", minWriteRPS))
	}
}

// checkQuota checks that this process may use enough CPU, memory and sockets.
func (config *Config) checkQuota(found *findings) {
	quota := &config.Deployment.Quota
	if quota.CPU < recommendedCPU {
		found.addTight("deployment.quota.cpu", quota.CPU, "is little even for a few dozen machines", fmt.Sprintf("%g would do", recommendedCPU))
	}
	if quota.MemoryMB < recommendedMemoryMB {
		found.addTight("deployment.quota.ram_mb", quota.MemoryMB, "is little even for a few dozen machines", fmt.Sprintf("%d would do", recommendedMemoryMB))
	}
	if quota.Sockets < recommendedSockets {
		found.addTight("deployment.quota.sockets", quota.Sockets,
			"makes workers open a connection for each heartbeat", fmt.Sprintf("%d would do", recommendedSockets))
	}
}

// Warnings returns one line of text for each field that is tight.
func (config *Config) Warnings() []string {
	var lines []string
	for _, tight := range config.checkLimits().tight {
		lines = append(lines, tight.String())
	}
	return lines
}
