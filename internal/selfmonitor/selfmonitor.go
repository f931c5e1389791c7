// Package selfmonitor distinguishes a controller that is partitioned from its workers from a
// controller whose workers are gone. The controller itself receives nothing in either case,
// so it combines two observations. The shard leader observes that no heartbeat has arrived
// for longer than chance explains. The other controllers observe that machines which they
// rerouted to that shard leader keep reporting to them. The package has no clock and sends
// nothing.
package selfmonitor

import "time"

const (
	// minMissedHeartbeats is how many expected heartbeats must be missing before chance is
	// ruled out: with 8 heartbeats expected, none arrives by chance once in e^8 cases.
	minMissedHeartbeats = 8
	// minSilence is the shortest time without heartbeats that counts, however many machines
	// send them: a lost packet is sent again within it.
	minSilence = 3 * time.Second
	// pauseThreshold is the least time for which the controller must not have run to count
	// as paused. A pause explains missing heartbeats, so the silence is measured from its
	// end.
	pauseThreshold = 1500 * time.Millisecond
	// minReappearance and maxReappearance bound the gap after which a rerouted machine that
	// reports here again counts as not served by its owner. After a shorter gap the
	// heartbeat is a duplicate; after a longer gap something else may have happened to the
	// machine.
	minReappearance = 2 * time.Second
	maxReappearance = 20 * time.Second
	// maxTracked bounds the machines that are tracked. Beyond it the machines not rerouted within
	// maxReappearance are dropped, and all machines if that is not enough.
	maxTracked = 1 << 14
)

// Monitor records what a controller observes of its own connection to the workers. The zero
// value is ready.
type Monitor struct {
	lastHeartbeat, lastRun, resumedAt time.Time
	// unanswered counts the requests to workers without an answer since the last sign that a
	// request arrived; firstUnanswered is when the first of them was recorded.
	unanswered      int
	firstUnanswered time.Time
}

// minUnanswered is how many requests in a row must be unanswered before a controller
// concludes that its messages don't arrive. The requests go to workers that have just sent
// heartbeats.
const minUnanswered = 4

// RequestDelivered records a sign that a message to a worker arrived.
func (monitor *Monitor) RequestDelivered() { monitor.unanswered = 0 }

// RequestUnanswered records that a request to a worker had no answer.
func (monitor *Monitor) RequestUnanswered(now time.Time) {
	if monitor.unanswered++; monitor.unanswered == 1 {
		monitor.firstUnanswered = now
	}
}

// SendPartitioned reports a send partition: workers send heartbeats, but no message to them arrives.
func (monitor *Monitor) SendPartitioned(now time.Time) bool {
	return monitor.unanswered >= minUnanswered && now.Sub(monitor.firstUnanswered) > minSilence && now.Sub(monitor.resumedAt) > minSilence
}

// HeartbeatReceived records a heartbeat of any worker, whatever the reply to it.
func (monitor *Monitor) HeartbeatReceived(now time.Time) { monitor.lastHeartbeat = now }

// RecordRun records that the controller runs. If it was paused before, the pause explains the
// missing heartbeats.
func (monitor *Monitor) RecordRun(now time.Time) {
	if now.Sub(monitor.lastRun) > pauseThreshold {
		monitor.resumedAt = now
	}
	monitor.lastRun = now
}

// ReceivePartitioned reports a receive partition: machines that each send a heartbeat at least
// once per interval can't all have been silent since the last heartbeat by chance. The time
// before since is ignored.
func (monitor *Monitor) ReceivePartitioned(now, since time.Time, machines int, interval time.Duration) bool {
	if machines < 2 {
		return false
	}
	for _, t := range [...]time.Time{monitor.lastHeartbeat, monitor.resumedAt} {
		if t.After(since) {
			since = t
		}
	}
	return now.Sub(since) > max(minSilence, minMissedHeartbeats*interval/time.Duration(machines))
}

// ReroutedMachines tracks the machines that were rerouted to other controllers. The zero
// value is ready.
type ReroutedMachines struct {
	reroutes map[string]reroute
}

// reroute is the last reroute of one machine. A machine that reappears may be unable to
// receive the replies of the controller that it was sent to, or an old copy of its heartbeat
// may have arrived. So it counts only if it has answered a probe recently.
type reroute struct {
	to           string
	lastSent     time.Time
	reappearedAt time.Time
	reappeared   bool
	probedAt     time.Time
	answeredAt   time.Time
}

// Rerouted records that a machine was rerouted to a controller, and reports whether to probe
// the machine. A machine that was sent to the same controller a short time before has
// reappeared.
func (machines *ReroutedMachines) Rerouted(now time.Time, machine, to string) (probe bool) {
	if machines.reroutes == nil {
		machines.reroutes = map[string]reroute{}
	}
	entry := machines.reroutes[machine]
	gap := now.Sub(entry.lastSent)
	switch {
	case entry.to != to || gap > maxReappearance:
		entry = reroute{to: to}
	case gap >= minReappearance:
		entry.reappeared, entry.reappearedAt = true, now
	}
	entry.lastSent = now
	if probe = entry.reappeared && now.Sub(entry.probedAt) > minProbeInterval && now.Sub(entry.answeredAt) > maxReappearance/2; probe {
		entry.probedAt = now
	}
	machines.reroutes[machine] = entry
	if len(machines.reroutes) > maxTracked {
		for id, other := range machines.reroutes {
			if now.Sub(other.lastSent) > maxReappearance {
				delete(machines.reroutes, id)
			}
		}
		if len(machines.reroutes) > maxTracked {
			clear(machines.reroutes)
		}
	}
	return probe
}

// minProbeInterval is the least time between two probes of a machine that reappeared.
const minProbeInterval = 3 * time.Second

// ProbeAnswered records that a machine that reappeared answered a probe.
func (machines *ReroutedMachines) ProbeAnswered(now time.Time, machine string) {
	if entry, ok := machines.reroutes[machine]; ok {
		entry.answeredAt = now
		machines.reroutes[machine] = entry
	}
}

// CountReappeared counts the machines that recently reappeared after a reroute to the
// controller from, although they receive messages that are sent to them.
func (machines *ReroutedMachines) CountReappeared(now time.Time, from string) int {
	count := 0
	for _, entry := range machines.reroutes {
		if entry.to == from && entry.reappeared && now.Sub(entry.reappearedAt) <= maxReappearance && now.Sub(entry.answeredAt) <= maxReappearance {
			count++
		}
	}
	return count
}
