package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// heldCommand is the first command with starts that was held on its way to its machine.
type heldCommand struct {
	machine string
	starts  []string
	// executedLate counts the starts that the machine executed when the command arrived, and
	// restarted those of their tasks that were to start as another attempt before that.
	executedLate, restarted int
}

// holdCommand holds the next command with starts for d, with everything else that is sent to its machine
// meanwhile; what the machine sends arrives. then is called a second after the command was sent.
func (s *scenario) holdCommand(d time.Duration, then func(message.WorkerRequest)) {
	w := s.world
	var h *heldCommand
	w.corruptEffect = func(e message.Effect) message.Effect {
		op, ok := e.(message.WorkerRequest)
		if !ok {
			return e
		}
		if h != nil {
			h.countOthers(w, op)
			return e
		}
		x := &heldCommand{machine: op.Machine}
		for _, o := range op.Commands {
			if o.Kind == model.StartTask {
				x.starts = append(x.starts, attemptName(o))
			}
		}
		if len(x.starts) == 0 {
			return e
		}
		h, s.heldCommand = x, x
		w.MakeUnreachable([]string{op.Machine}, d, true)
		w.schedule(time.Second, func() { then(op) })
		w.schedule(d+10*time.Millisecond, func() {
			for _, k := range x.starts {
				if w.machines[op.Machine].tasks[k] != nil {
					x.executedLate++
				}
			}
		})
		return e
	}
}

// countOthers counts commands that start other attempts of the held tasks meanwhile.
func (h *heldCommand) countOthers(w *World, op message.WorkerRequest) {
	if !w.now.Before(w.machines[h.machine].unreachableUntil) {
		return
	}
	for _, o := range op.Commands {
		for _, k := range h.starts {
			if o.Kind == model.StartTask && k != attemptName(o) && strings.HasPrefix(k, taskName(o.Job, o.Index)+"#") {
				h.restarted++
			}
		}
	}
}

// attemptName returns the name of the attempt that a command starts.
func attemptName(o model.TaskCommand) string {
	return fmt.Sprintf("%s#%d", taskName(o.Job, o.Index), o.Attempt)
}

func (h *heldCommand) String() string {
	if h == nil {
		return "none\n"
	}
	return fmt.Sprintf("held %d, carried out late %d, other attempts ordered meanwhile %d\n", len(h.starts), h.executedLate, h.restarted)
}
