// Package selfmonitor tells a controller that is cut off from the workers, or to which alone
// they are deaf, from one whose workers are gone. Alone neither can be known: both hear nothing. So two
// accounts are put together: the owner's own, that no report has come for longer
// than chance explains, and the others', that machines which they sent to the
// owner keep coming back. The package has no clock and sends nothing.
package selfmonitor

import "time"

const (
	// minMissedHeartbeats is how many reports must be missing before their absence is no
	// chance: where so many are expected, all are missing once in e^8 times.
	minMissedHeartbeats = 8
	// minSilence is the shortest silence that counts, however many machines report:
	// a lost packet on the way is repeated within it.
	minSilence = 3 * time.Second
	// pauseThreshold is how long the controller must not have run for the silence to
	// be its own doing. It is then counted anew.
	pauseThreshold = 1500 * time.Millisecond
	// minReappearance and maxReappearance say when a machine that was sent on and comes
	// again has not been heard there: sooner it is a doubled report, and later
	// something else may have happened to it.
	minReappearance = 2 * time.Second
	maxReappearance = 20 * time.Second
	// maxTracked bounds how many machines are kept in mind; those of long ago go.
	maxTracked = 1 << 14
)

// Monitor is what a controller hears itself.
type Monitor struct {
	lastHeartbeat, lastRun, resumedAt time.Time
	// unanswered counts direct requests to workers without an answer since anything
	// showed that one of ours arrived, the first of them at first.
	unanswered      int
	firstUnanswered time.Time
}

// minUnanswered is how many direct requests in a row must have had no answer for a
// controller to take itself for one whom no worker hears: the workers asked are such as
// have just reported.
const minUnanswered = 4

// RequestDelivered notes a sign that something sent to a worker arrived.
func (o *Monitor) RequestDelivered() { o.unanswered = 0 }

// RequestUnanswered notes that a direct request to a worker had no answer.
func (o *Monitor) RequestUnanswered(now time.Time) {
	if o.unanswered++; o.unanswered == 1 {
		o.firstUnanswered = now
	}
}

// Unheard says that workers report and nothing sent to them arrives.
func (o *Monitor) Unheard(now time.Time) bool {
	return o.unanswered >= minUnanswered && now.Sub(o.firstUnanswered) > minSilence && now.Sub(o.resumedAt) > minSilence
}

// HeartbeatReceived notes a report of any worker, whatever its answer.
func (o *Monitor) HeartbeatReceived(now time.Time) { o.lastHeartbeat = now }

// Ran notes that the controller runs. After it has stood still it has heard
// nothing for that reason alone.
func (o *Monitor) Ran(now time.Time) {
	if now.Sub(o.lastRun) > pauseThreshold {
		o.resumedAt = now
	}
	o.lastRun = now
}

// ReceivesNothing says that so many machines, each of which reports at least once in the
// time every, can't all have been silent since the last report by chance. What
// was before since does not count.
func (o *Monitor) ReceivesNothing(now, since time.Time, machines int, interval time.Duration) bool {
	if machines < 2 {
		return false
	}
	for _, t := range [...]time.Time{o.lastHeartbeat, o.resumedAt} {
		if t.After(since) {
			since = t
		}
	}
	return now.Sub(since) > max(minSilence, minMissedHeartbeats*interval/time.Duration(machines))
}

// ReroutedMachines are the machines that were sent to another controller.
type ReroutedMachines struct {
	reroutes map[string]reroute
}

// A machine that comes again may not have heard where it was sent, or a copy of an old
// report of it has come. So it counts only once it has itself answered a question since.
type reroute struct {
	to           string
	lastSent     time.Time
	reappearedAt time.Time
	reappeared   bool
	probedAt     time.Time
	answeredAt   time.Time
}

// Rerouted notes that a machine was sent to a controller, and says whether to ask it if it
// hears. One that was sent there before, not long ago, has come back.
func (s *ReroutedMachines) Rerouted(now time.Time, machine, to string) (probe bool) {
	if s.reroutes == nil {
		s.reroutes = map[string]reroute{}
	}
	x := s.reroutes[machine]
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
	s.reroutes[machine] = x
	if len(s.reroutes) > maxTracked {
		for id, y := range s.reroutes {
			if now.Sub(y.lastSent) > maxReappearance {
				delete(s.reroutes, id)
			}
		}
		if len(s.reroutes) > maxTracked {
			clear(s.reroutes)
		}
	}
	return probe
}

// probeEvery separates two questions to a machine that came back.
const probeEvery = 3 * time.Second

// ProbeAnswered notes that a machine which came back answered a question.
func (s *ReroutedMachines) ProbeAnswered(now time.Time, machine string) {
	if x, ok := s.reroutes[machine]; ok {
		x.answeredAt = now
		s.reroutes[machine] = x
	}
}

// CountReappeared counts the machines that lately came back from a controller, though they hear
// what is sent to them.
func (s *ReroutedMachines) CountReappeared(now time.Time, from string) int {
	count := 0
	for _, x := range s.reroutes {
		if x.to == from && x.reappeared && now.Sub(x.reappearedAt) <= maxReappearance && now.Sub(x.answeredAt) <= maxReappearance {
			count++
		}
	}
	return count
}
