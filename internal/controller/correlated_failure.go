package controller

import (
	"time"

	"github.com/micahill/micahill/internal/disruption"
)

// releaseAheadSeconds bounds how many tasks of lost machines are freed at a time: at most as many
// as the store allows writes in this many seconds. Most tasks share a write with others.
const releaseAheadSeconds = 4

// correlatedFailureLogInterval is the minimum time between two log lines about correlated machine
// failures.
const correlatedFailureLogInterval = 5 * time.Second

// unresponsiveMachines returns the machines to release, either because they have missed heartbeats
// or because they receive nothing. See internal/disruption.
func (tracker *heartbeatTracker) unresponsiveMachines() []string {
	pool := disruption.Pool{Lease: tracker.settings.WorkerLease, MaxStarts: int(releaseAheadSeconds * tracker.settings.StoreWritesPerSecond)}
	var unresponsive []disruption.Machine
	leader := tracker.controller.shardLeader
	for _, m := range leader.machinesByID {
		if !m.expectsHeartbeats() || m.releasing {
			continue
		}
		pool.Reporting++
		if !tracker.unresponsive(m) {
			continue
		}
		candidate := disruption.Machine{
			ID: m.id, Tasks: len(m.attempts) + leader.remoteAttempts.registry.LiveCount(m.id),
			UnresponsiveFor: leader.failover.sinceLastHeartbeat(m) - tracker.unresponsiveAfter(m),
		}
		for key := range m.attempts {
			j := leader.jobs[key.job]
			latestStart, urgency := leader.scheduler.latestStart(j), tracker.controller.ranking.inverseRank(j)
			isFirst := candidate.LatestStart.IsZero()
			if isFirst || urgency > candidate.Urgency || urgency == candidate.Urgency && latestStart.Before(candidate.LatestStart) {
				candidate.Urgency, candidate.LatestStart = urgency, latestStart
			}
		}
		unresponsive = append(unresponsive, candidate)
	}
	pool.ReceivesNothing = tracker.controller.partition.monitor.ReceivePartitioned(tracker.now, leader.readyAt, pool.Reporting, tracker.maxHeartbeatInterval())
	if pool.Reporting > 1 && len(unresponsive) == pool.Reporting {
		// If all machines miss heartbeats at the same time, the fault is probably in this
		// controller or its network.
		return nil
	}
	toRelease := append(disruption.SelectReleases(pool, unresponsive), tracker.unreachableMachines(pool.Reporting)...)
	if disruption.IsCorrelated(pool, len(unresponsive)) && tracker.now.Sub(tracker.correlatedFailureLoggedAt) >= correlatedFailureLogInterval {
		tracker.correlatedFailureLoggedAt = tracker.now
		tracker.info("correlated machine failure", "unresponsive", len(unresponsive), "of", pool.Reporting, "released", len(toRelease))
	}
	return toRelease
}
