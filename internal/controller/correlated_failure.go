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
func unresponsiveMachines(n *Controller) []string {
	pool := disruption.Pool{Lease: n.settings.WorkerLease, MaxStarts: int(releaseAheadSeconds * n.settings.StoreWritesPerSecond)}
	var unresponsive []disruption.Machine
	for _, m := range n.shardLeader.machinesByID {
		if !m.expectsHeartbeats() || m.releasing {
			continue
		}
		pool.Reporting++
		if !n.unresponsive(m) {
			continue
		}
		x := disruption.Machine{ID: m.id, Tasks: len(m.attempts) + n.shardLeader.registry.LiveCount(m.id), UnresponsiveFor: n.sinceLastHeartbeat(m) - n.unresponsiveAfter(m)}
		for k := range m.attempts {
			j := n.shardLeader.jobs[k.job]
			if l, u := n.latestStart(j), inverseRank(n, j); u > x.Urgency || x.LatestStart.IsZero() || u == x.Urgency && l.Before(x.LatestStart) {
				x.Urgency, x.LatestStart = u, l
			}
		}
		unresponsive = append(unresponsive, x)
	}
	pool.ReceivesNothing = n.selfMonitor.ReceivesNothing(n.now, n.shardLeader.readyAt, pool.Reporting, n.maxHeartbeatInterval())
	if pool.Reporting > 1 && len(unresponsive) == pool.Reporting {
		// When all fall silent together, the fault is likely ours.
		return nil
	}
	toRelease := append(disruption.SelectReleases(pool, unresponsive), unreachableMachines(n, pool.Reporting)...)
	if disruption.IsCorrelated(pool, len(unresponsive)) && n.now.Sub(n.shardLeader.correlatedFailureLoggedAt) >= correlatedFailureLogInterval {
		n.shardLeader.correlatedFailureLoggedAt = n.now
		n.info("machines are silent together", "silent", len(unresponsive), "of", pool.Reporting, "given back", len(toRelease))
	}
	return toRelease
}
