package controller

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/validate"
)

// environment TODO.
type environment struct {
	settings Settings
	rng      *rand.Rand
	now      time.Time
	effects  []message.Effect
	lastID   uint64
	timers   []timer
	// internalErrors counts requests that were malformed, and malformed has those that the
	// state service said so of: none is sent again as it is.
	internalErrors int
	// rejectedInputs counts what made no sense, and complaints are what was told of it.
	rejectedInputs int
	rejections     validate.LogLimiter
	// lostLeases counts the grants that this process has lost: each makes another life of
	// it, since which of its orders are on their way is forgotten with its roles.
	lostLeases int
}

// component is what every part of a controller has: the environment, and the way to the
// other parts, whose methods it calls and whose fields it never writes.
type component struct {
	*environment
	controller *Controller
}

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
