// Package selfmonitor tells a controller that is itself partitioned from the workers from one
// whose workers are gone. Neither controller can know alone, since both receive nothing. So
// two observations are combined: the shard leader's own, that no heartbeat has come for longer
// than chance explains, and the others', that machines which they rerouted to the leader keep
// reappearing. The package has no clock and sends nothing.
package selfmonitor

import "time"

const (
	// minMissedHeartbeats is how many heartbeats must be missing before their absence is no
	// chance: with that many expected, all are missing once in e^8 times.
	minMissedHeartbeats = 8
	// minSilence is the shortest silence that counts, however many machines send heartbeats: a
	// lost packet is sent again within it.
	minSilence = 3 * time.Second
	// pauseThreshold is how long the controller must not have run for the silence to be its
	// own doing. The silence is then measured anew.
	pauseThreshold = 1500 * time.Millisecond
	// minReappearance and maxReappearance bound the gap after which a rerouted machine that is
	// seen again has not been received there: sooner it is a duplicated heartbeat, later
	// something else may have happened to it.
	minReappearance = 2 * time.Second
	maxReappearance = 20 * time.Second
	// maxTracked bounds the machines that are tracked; the oldest are dropped.
	maxTracked = 1 << 14
)

// Monitor is what a controller observes of its own connection to the workers. The zero value
// is ready.
type Monitor struct {
	lastHeartbeat, lastRun, resumedAt time.Time
	// unanswered counts requests to workers without an answer since there was last a sign that
	// one arrived; firstUnanswered is when the first of them was sent.
	unanswered      int
	firstUnanswered time.Time
}

// minUnanswered is how many requests in a row must be unanswered before a controller takes
// itself for unheard. They go to workers that have just sent heartbeats.
const minUnanswered = 4

// RequestDelivered records a sign that something sent to a worker arrived.
func (m *Monitor) RequestDelivered() { m.unanswered = 0 }

// RequestUnanswered records that a request to a worker had no answer.
func (m *Monitor) RequestUnanswered(now time.Time) {
	if m.unanswered++; m.unanswered == 1 {
		m.firstUnanswered = now
	}
}

// Unheard reports a send partition: workers send heartbeats, and nothing sent to them arrives.
func (m *Monitor) Unheard(now time.Time) bool {
	return m.unanswered >= minUnanswered && now.Sub(m.firstUnanswered) > minSilence && now.Sub(m.resumedAt) > minSilence
}

// HeartbeatReceived records a heartbeat of any worker, whatever the answer to it.
func (m *Monitor) HeartbeatReceived(now time.Time) { m.lastHeartbeat = now }

// Ran records that the controller runs. A pause explains the silence during it.
func (m *Monitor) Ran(now time.Time) {
	if now.Sub(m.lastRun) > pauseThreshold {
		m.resumedAt = now
	}
	m.lastRun = now
}

// ReceivesNothing reports a receive partition: machines that each send a heartbeat at least
// once per interval can't all have been silent since the last heartbeat by chance. Nothing
// from before since counts.
func (m *Monitor) ReceivesNothing(now, since time.Time, machines int, interval time.Duration) bool {
	if machines < 2 {
		return false
	}
	for _, t := range [...]time.Time{m.lastHeartbeat, m.resumedAt} {
		if t.After(since) {
			since = t
		}
	}
	return now.Sub(since) > max(minSilence, minMissedHeartbeats*interval/time.Duration(machines))
}

// ReroutedMachines tracks the machines that were rerouted to other controllers. The zero value
// is ready.
type ReroutedMachines struct {
	reroutes map[string]reroute
}

// reroute is the last reroute of one machine. A machine that reappears may not have received
// where it was sent, or an old copy of its heartbeat may have come. So it counts only once it
// has answered a probe since.
type reroute struct {
	to           string
	lastSent     time.Time
	reappearedAt time.Time
	reappeared   bool
	probedAt     time.Time
	answeredAt   time.Time
}

// Rerouted records that a machine was rerouted to a controller, and reports whether to probe
// the machine. One that was sent there before, not long ago, has reappeared.
func (r *ReroutedMachines) Rerouted(now time.Time, machine, to string) (probe bool) {
	if r.reroutes == nil {
		r.reroutes = map[string]reroute{}
	}
	x := r.reroutes[machine]
	gap := now.Sub(x.lastSent)
	switch {
	case x.to != to || gap > maxReappearance:
		x = reroute{to: to}
	case gap >= minReappearance:
		x.reappeared, x.reappearedAt = true, now
	}
	x.lastSent = now
	if probe = x.reappeared && now.Sub(x.probedAt) > probeEvery && now.Sub(x.answeredAt) > maxReappearance/2; probe {
		x.probedAt = now
	}
	r.reroutes[machine] = x
	if len(r.reroutes) > maxTracked {
		for id, y := range r.reroutes {
			if now.Sub(y.lastSent) > maxReappearance {
				delete(r.reroutes, id)
			}
		}
		if len(r.reroutes) > maxTracked {
			clear(r.reroutes)
		}
	}
	return probe
}

// probeEvery is the least time between two probes of a machine that reappeared.
const probeEvery = 3 * time.Second

// ProbeAnswered records that a machine which reappeared answered a probe.
func (r *ReroutedMachines) ProbeAnswered(now time.Time, machine string) {
	if x, ok := r.reroutes[machine]; ok {
		x.answeredAt = now
		r.reroutes[machine] = x
	}
}

// CountReappeared counts the machines that recently reappeared from a controller though they
// receive what is sent to them.
func (r *ReroutedMachines) CountReappeared(now time.Time, from string) int {
	count := 0
	for _, x := range r.reroutes {
		if x.to == from && x.reappeared && now.Sub(x.reappearedAt) <= maxReappearance && now.Sub(x.answeredAt) <= maxReappearance {
			count++
		}
	}
	return count
}
