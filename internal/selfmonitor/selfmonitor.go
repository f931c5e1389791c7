// Package selfmonitor tells a controller that is cut off from the workers, or to which alone
// they are deaf, from one whose workers are gone. Alone neither can be known: both hear nothing. So two
// accounts are put together: the owner's own, that no report has come for longer
// than chance explains, and the others', that machines which they sent to the
// owner keep coming back. The package has no clock and sends nothing.
package selfmonitor

import "time"

const (
	// sure is how many reports must be missing before their absence is no
	// chance: where so many are expected, all are missing once in e^8 times.
	sure = 8
	// atLeast is the shortest silence that counts, however many machines report:
	// a lost packet on the way is repeated within it.
	atLeast = 3 * time.Second
	// stoodStill is how long the controller must not have run for the silence to
	// be its own doing. It is then counted anew.
	stoodStill = 1500 * time.Millisecond
	// backAfter and backWithin say when a machine that was sent on and comes
	// again has not been heard there: sooner it is a doubled report, and later
	// something else may have happened to it.
	backAfter  = 2 * time.Second
	backWithin = 20 * time.Second
	// remembered bounds how many machines are kept in mind; those of long ago go.
	remembered = 1 << 14
)

// Monitor is what a controller hears itself.
type Monitor struct {
	heard, ran, awake time.Time
	// unanswered counts direct requests to workers without an answer since anything
	// showed that one of ours arrived, the first of them at first.
	unanswered int
	first      time.Time
}

// muteLeast is how many direct requests in a row must have had no answer for a
// controller to take itself for one whom no worker hears: the workers asked are such as
// have just reported.
const muteLeast = 4

// Arrived notes a sign that something sent to a worker arrived.
func (o *Monitor) Arrived() { o.unanswered = 0 }

// Unanswered notes that a direct request to a worker had no answer.
func (o *Monitor) Unanswered(now time.Time) {
	if o.unanswered++; o.unanswered == 1 {
		o.first = now
	}
}

// Mute says that workers report and nothing sent to them arrives.
func (o *Monitor) Mute(now time.Time) bool {
	return o.unanswered >= muteLeast && now.Sub(o.first) > atLeast && now.Sub(o.awake) > atLeast
}

// Heard notes a report of any worker, whatever its answer.
func (o *Monitor) Heard(now time.Time) { o.heard = now }

// Run notes that the controller runs. After it has stood still it has heard
// nothing for that reason alone.
func (o *Monitor) Run(now time.Time) {
	if now.Sub(o.ran) > stoodStill {
		o.awake = now
	}
	o.ran = now
}

// Deaf says that so many machines, each of which reports at least once in the
// time every, can't all have been silent since the last report by chance. What
// was before since does not count.
func (o *Monitor) Deaf(now, since time.Time, machines int, every time.Duration) bool {
	if machines < 2 {
		return false
	}
	for _, t := range [...]time.Time{o.heard, o.awake} {
		if t.After(since) {
			since = t
		}
	}
	return now.Sub(since) > max(atLeast, sure*every/time.Duration(machines))
}

// Strays are the machines that were sent to another controller.
type Strays struct {
	sent map[string]sent
}

// A machine that comes again may not have heard where it was sent, or a copy of an old
// report of it has come. So it counts only once it has itself answered a question since.
type sent struct {
	to         string
	at         time.Time
	back       time.Time
	cameAgain  bool
	asked      time.Time
	answeredAt time.Time
}

// Sent notes that a machine was sent to a controller, and says whether to ask it if it
// hears. One that was sent there before, not long ago, has come back.
func (s *Strays) Sent(now time.Time, machine, to string) (ask bool) {
	if s.sent == nil {
		s.sent = map[string]sent{}
	}
	x := s.sent[machine]
	gap := now.Sub(x.at)
	switch {
	case x.to != to || gap > backWithin:
		x = sent{to: to}
	case gap >= backAfter:
		x.cameAgain, x.back = true, now
	}
	x.at = now
	if ask = x.cameAgain && now.Sub(x.asked) > askEvery && now.Sub(x.answeredAt) > backWithin/2; ask {
		x.asked = now
	}
	s.sent[machine] = x
	if len(s.sent) > remembered {
		for id, y := range s.sent {
			if now.Sub(y.at) > backWithin {
				delete(s.sent, id)
			}
		}
		if len(s.sent) > remembered {
			clear(s.sent)
		}
	}
	return ask
}

// askEvery separates two questions to a machine that came back.
const askEvery = 3 * time.Second

// Answered notes that a machine which came back answered a question.
func (s *Strays) Answered(now time.Time, machine string) {
	if x, ok := s.sent[machine]; ok {
		x.answeredAt = now
		s.sent[machine] = x
	}
}

// Back counts the machines that lately came back from a controller, though they hear
// what is sent to them.
func (s *Strays) Back(now time.Time, from string) int {
	k := 0
	for _, x := range s.sent {
		if x.to == from && x.cameAgain && now.Sub(x.back) <= backWithin && now.Sub(x.answeredAt) <= backWithin {
			k++
		}
	}
	return k
}
