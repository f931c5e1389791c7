package controller

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/validate"
)

// environment is the state that all components of a controller share: settings, clock, random
// numbers, timers, the effects of the running Step and the counts of errors. A controller has
// one environment, which survives every loss of a role.
type environment struct {
	settings Settings
	rng      *rand.Rand

	// now is the time of the running Step, and effects are what it returns. now is the only
	// clock of the components.
	now     time.Time
	effects []message.Effect
	lastID  uint64
	// timers are kept in the order in which they were set. Those that are due run in this order.
	timers []timer

	// internalErrors counts faults of this program after which it kept running, such as
	// transactions that the store rejected as malformed.
	internalErrors int
	// rejectedInputs counts invalid inputs from outside the process. rejections limits how often
	// they are logged.
	rejectedInputs int
	rejections     validate.LogLimiter
	// lostLeases counts the membership leases that this process has lost. Each loss makes the
	// process a new incarnation, because the process drops its roles and with them the knowledge
	// of which commands are in flight.
	lostLeases int
}

// component is embedded in every component of a controller. It holds the shared environment and
// the controller, through which a component calls the methods of the others. A component never
// writes the fields of another.
type component struct {
	*environment
	controller *Controller
}

// timer is a function that the first Step at or after a given time calls.
type timer struct {
	at time.Time
	fn func()
}

// after sets a timer: the first Step that is at least d from now calls fn.
func (env *environment) after(d time.Duration, fn func()) {
	env.timers = append(env.timers, timer{env.now.Add(d), fn})
}

// runTimers calls the functions of the timers that are due. A timer set by one of these
// functions runs in a later Step.
func (env *environment) runTimers() {
	var due []timer
	keep := env.timers[:0]
	for _, timer := range env.timers {
		if timer.at.After(env.now) {
			keep = append(keep, timer)
		} else {
			due = append(due, timer)
		}
	}
	env.timers = keep
	for _, timer := range due {
		timer.fn()
	}
}

// emit adds an effect to those that the running Step returns. It writes the sender's incarnation
// into an update to a peer.
func (env *environment) emit(effect message.Effect) {
	if update, ok := effect.(message.SendPeerUpdate); ok {
		update.Update.Incarnation = env.incarnation()
		effect = update
	}
	env.effects = append(env.effects, effect)
}

// nextID returns an ID that is unique within this process.
func (env *environment) nextID() uint64 { env.lastID++; return env.lastID }

// incarnation returns the name of the current incarnation of this process: the configured name,
// with the number of lost membership leases appended after the first loss.
func (env *environment) incarnation() string {
	if env.lostLeases == 0 {
		return env.settings.Incarnation
	}
	return env.settings.Incarnation + "." + strconv.Itoa(env.lostLeases)
}

// beginNextIncarnation makes this process a new incarnation after the loss of its membership
// lease.
func (env *environment) beginNextIncarnation() {
	env.lostLeases++
}

// internalError logs and counts a fault of this program after which it keeps running.
func (env *environment) internalError(text string, args ...any) {
	env.internalErrors++
	env.emit(message.Log{Error: true, Message: text, Args: args})
}

// rejectInput counts an invalid input from outside: a peer's update, a worker's heartbeat or a
// stored record, which may be damaged or written by mistake. Each cause is logged at most once a
// minute. An invalid input never stops the controller.
func (env *environment) rejectInput(kind, from, reason string) {
	env.rejectedInputs++
	if env.rejections.Allow(env.now, kind+" "+from+" "+reason) {
		env.info("invalid input rejected", "kind", kind, "from", from, "reason", reason, "total", env.rejectedInputs)
	}
}

// info logs a message at level info.
func (env *environment) info(text string, args ...any) {
	env.emit(message.Log{Message: text, Args: args})
}

// debug logs a message at level debug.
func (env *environment) debug(text string, args ...any) {
	env.emit(message.Log{Debug: true, Message: text, Args: args})
}

// jitter changes d at random by up to a quarter either way, so that controllers that failed
// together do not retry at the same time.
func (env *environment) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + env.rng.Float64()/2))
}

// spread changes d at random by up to a half either way.
func (env *environment) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + env.rng.Float64()))
}

// maxHeartbeatInterval returns the longest time between two heartbeats of a live worker.
func (env *environment) maxHeartbeatInterval() time.Duration {
	return env.settings.HeartbeatInterval * 5 / 4
}

// team returns the settings of the team of this name, or nil if there is none.
func (env *environment) team(name string) *model.Team {
	for i := range env.settings.Teams {
		if env.settings.Teams[i].Name == name {
			return &env.settings.Teams[i]
		}
	}
	return nil
}

// waitObjective returns the time within which the tasks of a workload should start, or 0 if no
// objective is set.
func (env *environment) waitObjective(workload string) time.Duration {
	for _, objective := range env.settings.Objectives {
		if objective.Kind == "wait" && objective.Workload == workload {
			return objective.Within
		}
	}
	return 0
}
