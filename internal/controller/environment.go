package controller

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/validate"
)

// environment is what all components of a controller share: settings, clock, random
// numbers, timers, the effects of the running Step and the counts of errors. There is one
// for the life of the process; it survives every loss of a role.
type environment struct {
	settings Settings
	rng      *rand.Rand

	// now and effects belong to the running Step. A component reads now and never keeps
	// an own clock.
	now     time.Time
	effects []message.Effect
	lastID  uint64
	// timers stand in the order in which they were set; those that are due run in it.
	timers []timer

	// internalErrors counts faults of this program that it went on after, such as
	// transactions that the store called malformed.
	internalErrors int
	// rejectedInputs counts invalid input from outside; rejections bounds its log lines.
	rejectedInputs int
	rejections     validate.LogLimiter
	// lostLeases counts the membership leases that this process has lost. Each loss makes
	// it a new incarnation, since it forgets with its roles which commands are on their way.
	lostLeases int
}

// component is embedded by every part of a controller: the environment, and the way to the
// other parts, whose methods it calls and whose fields it never writes.
type component struct {
	*environment
	controller *Controller
}

// timer is a function that a Step at or after a time is to call.
type timer struct {
	at time.Time
	fn func()
}

// after calls fn in the first Step that is at least d from now.
func (e *environment) after(d time.Duration, fn func()) {
	e.timers = append(e.timers, timer{e.now.Add(d), fn})
}

// runTimers calls the functions that are due. What these set runs in a later Step.
func (e *environment) runTimers() {
	var due []timer
	keep := e.timers[:0]
	for _, t := range e.timers {
		if t.at.After(e.now) {
			keep = append(keep, t)
		} else {
			due = append(due, t)
		}
	}
	e.timers = keep
	for _, t := range due {
		t.fn()
	}
}

// emit adds an effect to those that the running Step returns. An update to a peer names
// the incarnation that sends it.
func (e *environment) emit(effect message.Effect) {
	if p, ok := effect.(message.SendPeerUpdate); ok {
		p.Update.Incarnation = e.incarnation()
		effect = p
	}
	e.effects = append(e.effects, effect)
}

func (e *environment) nextID() uint64 { e.lastID++; return e.lastID }

// incarnation names this process together with the membership lease that it is on: the
// first, or the one after so many losses.
func (e *environment) incarnation() string {
	if e.lostLeases == 0 {
		return e.settings.Incarnation
	}
	return e.settings.Incarnation + "." + strconv.Itoa(e.lostLeases)
}

// beginNextIncarnation has this process go on as a new incarnation, after the loss of its
// membership lease.
func (e *environment) beginNextIncarnation() {
	e.lostLeases++
}

// internalError logs and counts a fault of this program that it goes on after.
func (e *environment) internalError(text string, args ...any) {
	e.internalErrors++
	e.emit(message.Log{Error: true, Message: text, Args: args})
}

// rejectInput counts invalid input from outside: peers' updates, workers' heartbeats and
// records, which may be damaged or written by mistake. It is logged once a minute for
// each cause; nothing fails because of it.
func (e *environment) rejectInput(kind, from, reason string) {
	e.rejectedInputs++
	if e.rejections.Allow(e.now, kind+" "+from+" "+reason) {
		e.info("invalid input rejected", "kind", kind, "from", from, "reason", reason, "total", e.rejectedInputs)
	}
}

func (e *environment) info(text string, args ...any) { e.emit(message.Log{Message: text, Args: args}) }
func (e *environment) debug(text string, args ...any) {
	e.emit(message.Log{Debug: true, Message: text, Args: args})
}

// jitter spreads d by a quarter either way, so that controllers that failed together do
// not retry in step.
func (e *environment) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + e.rng.Float64()/2))
}

// spread is d, give or take a half.
func (e *environment) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + e.rng.Float64()))
}

// maxHeartbeatInterval is the longest pause between two heartbeats of a living worker.
func (e *environment) maxHeartbeatInterval() time.Duration {
	return e.settings.HeartbeatInterval * 5 / 4
}

// team is the settings of a team, nil if there is none of the name.
func (e *environment) team(name string) *model.Team {
	for i := range e.settings.Teams {
		if e.settings.Teams[i].Name == name {
			return &e.settings.Teams[i]
		}
	}
	return nil
}

// waitObjective is how soon the workload's tasks are to start, or 0.
func (e *environment) waitObjective(workload string) time.Duration {
	for _, o := range e.settings.Objectives {
		if o.Kind == "wait" && o.Workload == workload {
			return o.Within
		}
	}
	return 0
}
