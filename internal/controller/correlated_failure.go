package controller

import (
	"time"

	"github.com/micahill/micahill/internal/disruption"
)

// releaseAheadSeconds: tasks of lost machines are freed at most as many at a time as the store
// allows writes in so many seconds. Most share a write with others.
const releaseAheadSeconds = 4

// correlatedFailureLogInterval separates two log lines on correlated machine failures.
const correlatedFailureLogInterval = 5 * time.Second

// unresponsiveMachines lists the machines to release now because they have missed heartbeats or
// receive nothing; see internal/disruption.
func (h *heartbeatTracker) unresponsiveMachines() []string {
	pool := disruption.Pool{Lease: h.settings.WorkerLease, MaxStarts: int(releaseAheadSeconds * h.settings.StoreWritesPerSecond)}
	var unresponsive []disruption.Machine
	s := h.controller.shardLeader
	for _, m := range s.machinesByID {
		if !m.expectsHeartbeats() || m.releasing {
			continue
		}
		pool.Reporting++
		if !h.unresponsive(m) {
			continue
		}
		candidate := disruption.Machine{
			ID: m.id, Tasks: len(m.attempts) + s.remoteAttempts.registry.LiveCount(m.id),
			UnresponsiveFor: s.failover.sinceLastHeartbeat(m) - h.unresponsiveAfter(m),
		}
		for k := range m.attempts {
			j := s.jobs[k.job]
			start, urgency := s.scheduler.latestStart(j), h.controller.ranking.inverseRank(j)
			isFirst := candidate.LatestStart.IsZero()
			if isFirst || urgency > candidate.Urgency || urgency == candidate.Urgency && start.Before(candidate.LatestStart) {
				candidate.Urgency, candidate.LatestStart = urgency, start
			}
		}
		unresponsive = append(unresponsive, candidate)
	}
	pool.ReceivesNothing = h.controller.partition.monitor.ReceivesNothing(h.now, s.readyAt, pool.Reporting, h.maxHeartbeatInterval())
	if pool.Reporting > 1 && len(unresponsive) == pool.Reporting {
		// If all miss heartbeats together, the fault is likely this controller's.
		return nil
	}
	toRelease := append(disruption.SelectReleases(pool, unresponsive), h.unreachableMachines(pool.Reporting)...)
	if disruption.IsCorrelated(pool, len(unresponsive)) && h.now.Sub(h.correlatedFailureLoggedAt) >= correlatedFailureLogInterval {
		h.correlatedFailureLoggedAt = h.now
		h.info("correlated machine failure", "unresponsive", len(unresponsive), "of", pool.Reporting, "released", len(toRelease))
	}
	return toRelease
}
