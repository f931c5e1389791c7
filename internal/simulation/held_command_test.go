package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// heldCommand records what became of the first command with task starts after holdCommand, which was held on
// its way to its machine.
type heldCommand struct {
	// machine is the machine that the command is for, and starts the names of the attempts that it starts.
	machine string
	starts  []string
	// executedLate counts the starts that the machine executed when the command arrived. restarted counts
	// the starts of other attempts of the same tasks that controllers sent before that.
	executedLate, restarted int
}

// holdCommand holds the next command with task starts for the given duration, together with all other
// messages to its machine. Messages from the machine still arrive. then is called with the command a second
// after it was sent.
func (scenario *scenario) holdCommand(duration time.Duration, then func(message.WorkerRequest)) {
	world := scenario.world
	var held *heldCommand
	world.corruptEffect = func(effect message.Effect) message.Effect {
		request, ok := effect.(message.WorkerRequest)
		if !ok {
			return effect
		}
		if held != nil {
			held.countRestarts(world, request)
			return effect
		}
		command := &heldCommand{machine: request.Machine}
		for _, taskCommand := range request.Commands {
			if taskCommand.Kind == model.StartTask {
				command.starts = append(command.starts, attemptName(taskCommand))
			}
		}
		if len(command.starts) == 0 {
			return effect
		}
		held, scenario.heldCommand = command, command
		world.MakeUnreachable([]string{request.Machine}, duration, true)
		world.schedule(time.Second, func() { then(request) })
		world.schedule(duration+10*time.Millisecond, func() {
			for _, name := range command.starts {
				if world.machines[request.Machine].tasks[name] != nil {
					command.executedLate++
				}
			}
		})
		return effect
	}
}

// countRestarts adds to restarted the starts in a request of other attempts of the held tasks, as long as the
// command is held.
func (held *heldCommand) countRestarts(world *World, request message.WorkerRequest) {
	if !world.now.Before(world.machines[held.machine].unreachableUntil) {
		return
	}
	for _, command := range request.Commands {
		for _, name := range held.starts {
			if command.Kind == model.StartTask && name != attemptName(command) && strings.HasPrefix(name, taskName(command.Job, command.Index)+"#") {
				held.restarted++
			}
		}
	}
}

// attemptName returns the name of the attempt that a command is for, as job, task index and attempt number.
func attemptName(command model.TaskCommand) string {
	return fmt.Sprintf("%s#%d", taskName(command.Job, command.Index), command.Attempt)
}

// String returns the line that the scenario prints about the held command.
func (held *heldCommand) String() string {
	if held == nil {
		return "none\n"
	}
	return fmt.Sprintf("held %d, carried out late %d, other attempts ordered meanwhile %d\n", len(held.starts), held.executedLate, held.restarted)
}
