package controller

import (
	"time"

	"github.com/micahill/micahill/internal/disruption"
)

// releaseAheadSeconds is for how many seconds' worth of changes tasks of lost machines are
// set free at a time; most share a change with others.
const releaseAheadSeconds = 4

// correlatedFailureLogInterval separates two lines in the log on machines that are silent together.
const correlatedFailureLogInterval = 5 * time.Second

// unresponsiveMachines names the silent machines that are to be given back now.
func (h *heartbeatTracker) unresponsiveMachines() []string {
	pool := disruption.Pool{Lease: h.settings.WorkerLease, MaxStarts: int(releaseAheadSeconds * h.settings.StoreWritesPerSecond)}
	var unresponsive []disruption.Machine
	for _, m := range h.controller.shardLeader.machinesByID {
		if !m.expectsHeartbeats() || m.releasing {
			continue
		}
		pool.Reporting++
		if !h.unresponsive(m) {
			continue
		}
		x := disruption.Machine{ID: m.id, Tasks: len(m.attempts) + h.controller.shardLeader.remoteAttempts.registry.LiveCount(m.id), UnresponsiveFor: h.controller.shardLeader.failover.sinceLastHeartbeat(m) - h.unresponsiveAfter(m)}
		for k := range m.attempts {
			j := h.controller.shardLeader.jobs[k.job]
			if l, u := h.controller.shardLeader.scheduler.latestStart(j), h.controller.ranking.inverseRank(j); u > x.Urgency || x.LatestStart.IsZero() || u == x.Urgency && l.Before(x.LatestStart) {
				x.Urgency, x.LatestStart = u, l
			}
		}
		unresponsive = append(unresponsive, x)
	}
	pool.ReceivesNothing = h.controller.partition.monitor.ReceivesNothing(h.now, h.controller.shardLeader.readyAt, pool.Reporting, h.maxHeartbeatInterval())
	if pool.Reporting > 1 && len(unresponsive) == pool.Reporting {
		// When all fall silent together, the fault is likely ours.
		return nil
	}
	toRelease := append(disruption.SelectReleases(pool, unresponsive), h.unreachableMachines(pool.Reporting)...)
	if disruption.IsCorrelated(pool, len(unresponsive)) && h.now.Sub(h.correlatedFailureLoggedAt) >= correlatedFailureLogInterval {
		h.correlatedFailureLoggedAt = h.now
		h.info("machines are silent together", "silent", len(unresponsive), "of", pool.Reporting, "given back", len(toRelease))
	}
	return toRelease
}
