package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// heldStarts records what became of the first reply with task starts after holdStarts, which was held on its
// way to its machine.
type heldStarts struct {
	// machine is the machine whose heartbeat the reply answers, and starts the names of the attempts that it
	// starts.
	machine *Worker
	starts  []string
	// executedLate counts the starts that the machine executed when the messages arrived. restarted counts
	// the starts of other attempts of the same tasks that controllers sent before that.
	executedLate, restarted int
}

// holdStarts holds the next reply with task starts for the given duration, together with all other messages
// to its machine. Messages from the machine still arrive. then is called with the machine and the starts a
// second after the reply was sent.
func (scenario *scenario) holdStarts(duration time.Duration, then func(*Worker, []model.TaskCommand)) {
	world := scenario.world
	var held *heldStarts
	world.onHeartbeatReply = func(machine *Worker, reply message.HeartbeatReply) {
		starts := slices.DeleteFunc(slices.Clone(reply.Commands), func(command model.TaskCommand) bool { return command.Kind != model.StartTask })
		if held != nil {
			held.countRestarts(world, starts)
			return
		}
		if len(starts) == 0 {
			return
		}
		held = &heldStarts{machine: machine}
		for _, start := range starts {
			held.starts = append(held.starts, attemptName(start))
		}
		scenario.heldStarts = held
		world.MakeUnreachable([]string{machine.ID}, duration, true)
		world.schedule(time.Second, func() { then(machine, starts) })
		world.schedule(duration+10*time.Millisecond, func() {
			for _, name := range held.starts {
				if machine.tasks[name] != nil {
					held.executedLate++
				}
			}
		})
	}
}

// countRestarts adds to restarted the starts of other attempts of the held tasks, as long as the reply is
// held.
func (held *heldStarts) countRestarts(world *World, starts []model.TaskCommand) {
	if !world.now.Before(held.machine.unreachableUntil) {
		return
	}
	for _, start := range starts {
		for _, name := range held.starts {
			if name != attemptName(start) && strings.HasPrefix(name, taskName(start.Job, start.Index)+"#") {
				held.restarted++
			}
		}
	}
}

// attemptName returns the name of the attempt that a command is for, as job, task index and attempt number.
func attemptName(command model.TaskCommand) string {
	return fmt.Sprintf("%s#%d", taskName(command.Job, command.Index), command.Attempt)
}

// String returns the line that the scenario prints about the held starts.
func (held *heldStarts) String() string {
	if held == nil {
		return "none\n"
	}
	return fmt.Sprintf("held %d, carried out late %d, other attempts ordered meanwhile %d\n", len(held.starts), held.executedLate, held.restarted)
}
