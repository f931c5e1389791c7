package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// pausePoints are the steps at which a scenario pauses or crashes a controller: just before it sends such
// an effect. The names are those of the scenario files.
var pausePoints = map[string]func(message.Effect) bool{
	"renew": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpLeaseRenew
	},
	"claim":    func(e message.Effect) bool { return writesKey(e, "ctl/lead") },
	"share":    func(e message.Effect) bool { return writesKey(e, "ctl/share/") },
	"register": func(e message.Effect) bool { return writesKey(e, "ctl/node/") },
	"read": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpList && op.Key == "task/"
	},
	"epoch": func(e message.Effect) bool {
		op, ok := e.(message.WorkerRequest)
		return ok && !op.StatusOnly && len(op.Commands) == 0
	},
	"submit": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpTxn && op.Priority == message.PriorityUser
	},
	"start": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpTxn && op.Priority == message.PriorityStart
	},
	"rent": func(e message.Effect) bool {
		op, ok := e.(message.CloudRequest)
		return ok && op.Kind == message.CloudRent
	},
	"return": func(e message.Effect) bool {
		op, ok := e.(message.CloudRequest)
		return ok && op.Kind == message.CloudRelease
	},
	"orders": func(e message.Effect) bool {
		op, ok := e.(message.WorkerRequest)
		return ok && len(op.Commands) > 0
	},
	"rank": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpTxn && len(op.Writes) > 0 && op.Writes[0].Key == "ctl/ranking"
	},
	"report": func(e message.Effect) bool { r, ok := e.(message.HeartbeatReply); return ok && r.Status == 200 },
	"accept": func(e message.Effect) bool { r, ok := e.(message.UserReply); return ok && r.Status == 201 },
	"page":   writesPromisePage,
	"poll":   func(e message.Effect) bool { r, ok := e.(message.UserReply); return ok && r.Status == 200 },
}

// writesKey reports whether an effect writes a key with the prefix.
func writesKey(e message.Effect, key string) bool {
	op, ok := e.(message.StoreRequest)
	return ok && slices.ContainsFunc(op.Writes, func(c message.Write) bool { return strings.HasPrefix(c.Key, key) })
}

// busiestMachine returns the machine with the most tasks.
func (s *scenario) busiestMachine() *Worker {
	var best *Worker
	for _, id := range sortedKeys(s.world.machines) {
		if m := s.world.machines[id]; m.up(s.world.now) && (best == nil || len(m.tasks) > len(best.tasks)) {
			best = m
		}
	}
	return best
}

// shardLeader returns the index of the first controller that leads a shard, or 0.
func (s *scenario) shardLeader() int {
	for i, p := range s.world.controllers {
		if p.alive && p.controller.IsShardLeader() {
			return i
		}
	}
	return 0
}

// watchUnreachable counts the attempts that controllers start on unreachable machines from now on.
func (s *scenario) watchUnreachable(ids []string) {
	s.unreachable, s.startedUnreachable = map[string]bool{}, map[string]bool{}
	for _, id := range ids {
		s.unreachable[id] = true
	}
	s.world.corruptEffect = func(e message.Effect) message.Effect {
		if op, ok := e.(message.WorkerRequest); ok && s.unreachable[op.Machine] && s.world.now.Before(s.world.machines[op.Machine].unreachableUntil) {
			for _, o := range op.Commands {
				if o.Kind == model.StartTask {
					s.startedUnreachable[fmt.Sprintf("%s#%d", taskName(o.Job, o.Index), o.Attempt)] = true
				}
			}
		}
		return e
	}
}

// startFault starts the fault that a scenario's command names.
func (s *scenario) startFault(t *testing.T, d *datadriven.TestData) string {
	kind, duration := d.CmdArgs[0].Key, durationArg(t, d, "for", 20)
	for _, start := range []func(*testing.T, *datadriven.TestData, string, time.Duration) bool{
		s.startControllerFault, s.startStoreFault, s.startLinkFault, s.startMachineFault, s.startUserFault,
	} {
		if start(t, d, kind, duration) {
			return ""
		}
	}
	d.Fatalf(t, "unknown fault %s", kind)
	return ""
}

// controllerArg returns the index of the controller that a command names: the shard leader, that of
// a team, or one by its number.
func (s *scenario) controllerArg(t *testing.T, d *datadriven.TestData) int {
	if d.HasArg("owner") {
		return s.shardLeader()
	}
	if d.HasArg("team") {
		return s.world.shardLeaderOf(arg(t, d, "team", ""))
	}
	return arg(t, d, "node", 0)
}

// startControllerFault starts a fault of controller processes. It returns false if the kind is none.
func (s *scenario) startControllerFault(t *testing.T, d *datadriven.TestData, kind string, duration time.Duration) bool {
	w := s.world
	switch kind {
	case "crash":
		s.crash(t, d)
	case "still":
		// At a step of the shard leader, or of the first controller that comes to it, or at once.
		who := func(p *controllerProcess) bool { return !d.HasArg("owner") || p.controller.IsShardLeader() }
		is, ok := pausePoints[arg(t, d, "in", "")]
		if !ok {
			w.Pause(s.controllerArg(t, d), duration)
			break
		}
		w.PauseBefore(duration, is, who)
	case "refused":
		w.refuseController(w.controllers[s.controllerArg(t, d)], duration)
	case "refused_outage":
		// Only this controller at first, then all.
		w.startOverlapFault(Fault{Kind: "refused_outage", Controller: s.controllerArg(t, d), Delay: durationArg(t, d, "late", 2), Duration: duration})
	default:
		return false
	}
	return true
}

// crash crashes one or several controllers, or the first that comes to a step.
func (s *scenario) crash(t *testing.T, d *datadriven.TestData) {
	w := s.world
	if is, ok := pausePoints[arg(t, d, "in", "")]; ok {
		w.CrashBefore(durationArg(t, d, "back", 0.05), d.HasArg("sent"), is)
		return
	}
	restartAfter := durationArg(t, d, "back", 5)
	crashIf := func(selected func(i int) bool) {
		for i := range w.controllers {
			if selected(i) {
				w.CrashController(i, restartAfter)
			}
		}
	}
	switch {
	case d.HasArg("others"):
		crashIf(func(i int) bool { return i != s.shardLeader() })
	case d.HasArg("all"):
		crashIf(func(int) bool { return true })
	case d.HasArg("still"):
		// Those that are paused.
		crashIf(func(i int) bool { return w.now.Before(w.controllers[i].pausedUntil) })
	default:
		w.CrashController(s.controllerArg(t, d), restartAfter)
	}
}

// startStoreFault starts a fault of the state service or the cloud. It returns false if the kind is
// none.
func (s *scenario) startStoreFault(t *testing.T, d *datadriven.TestData, kind string, duration time.Duration) bool {
	w := s.world
	switch kind {
	case "late_writes":
		w.DelayWrites(arg(t, d, "share", 0.5), duration)
	case "outage":
		w.Outage(duration)
	case "damage":
		// A record that no version can decode.
		w.state.txn(message.StoreRequest{Writes: []message.Write{{Key: arg(t, d, "key", ""), Value: []byte{0x81, 0xa1, 'v', 99}}}}, &message.StoreResponse{})
	case "cloud":
		w.cloudOutage = true
		w.schedule(duration, func() { w.cloudOutage = false })
	case "capacity":
		for _, k := range sortedKeys(w.cloudCapacity) {
			w.cloudCapacity[k] = 0
		}
	default:
		return false
	}
	return true
}

// startLinkFault starts a fault of links between processes. It returns false if the kind is none.
func (s *scenario) startLinkFault(t *testing.T, d *datadriven.TestData, kind string, duration time.Duration) bool {
	w := s.world
	switch kind {
	case "cut":
		w.Partition(w.controllers[s.controllerArg(t, d)].name, arg(t, d, "from", "*"), duration, d.HasArg("hold"))
	case "cut_alone":
		// The controller loses the state service and the other controllers, but not its workers.
		w.IsolateController(s.controllerArg(t, d), duration, d.HasArg("refused"), d.HasArg("hold"))
	case "unanswered":
		// Only what the state service sends the controller is lost.
		w.partitionOneWay("state", w.controllers[s.controllerArg(t, d)].name, duration)
	case "mute":
		// Only what the controller sends workers is lost.
		w.partitionOneWay(w.controllers[s.controllerArg(t, d)].name, "workers", duration)
	case "half":
		for i, id := range sortedKeys(w.machines) {
			if i%2 == 0 && w.machines[id].up(w.now) {
				w.Partition(id, "*", duration, d.HasArg("hold"))
			}
		}
	case "only_owner":
		// The machines with tasks and all controllers but their shard leader don't reach each other.
		for _, id := range sortedKeys(w.machines) {
			for i, p := range w.controllers {
				if m := w.machines[id]; len(m.tasks) > 0 && i != s.controllerArg(t, d) {
					w.Partition(p.name, id, duration, d.HasArg("hold"))
				}
			}
		}
	case "late_commands":
		w.DelayCommands(arg(t, d, "share", 0.5), duration)
	case "held_order":
		s.startHeldCommand(d, duration)
	case "copies":
		w.startProtocolFault(Fault{Kind: kind, Fraction: arg(t, d, "share", 0.3), Delay: durationArg(t, d, "longest", 120), Duration: duration, ForNextLeader: d.HasArg("for_next")}, w.rng)
	case "twice":
		w.startOverlapFault(Fault{Kind: kind, Fraction: arg(t, d, "share", 0.2), Duration: duration})
	case "loss":
		w.startOverlapFault(Fault{Kind: kind, Fraction: arg(t, d, "share", 0.02), Duration: duration})
	default:
		return false
	}
	return true
}

// startHeldCommand holds the next command with starts, and cancels its job, crashes the shard leader
// or reclaims the machine meanwhile.
func (s *scenario) startHeldCommand(d *datadriven.TestData, duration time.Duration) {
	w := s.world
	// d is another command's by the time the command is held.
	abort, crash, recall := d.HasArg("abort"), d.HasArg("crash"), d.HasArg("recall")
	s.holdCommand(duration, func(op message.WorkerRequest) {
		if abort {
			w.Cancel(op.Commands[0].Job)
		}
		if crash {
			w.CrashController(s.shardLeader(), 50*time.Millisecond)
		}
		if recall {
			// Too short a notice for the task, so it is to run elsewhere.
			m := w.machines[op.Machine]
			m.reclaimAt, m.changed = w.now.Add(time.Minute), true
		}
	})
}

// startMachineFault starts a fault of machines. It returns false if the kind is none.
func (s *scenario) startMachineFault(t *testing.T, d *datadriven.TestData, kind string, duration time.Duration) bool {
	w := s.world
	sample := func() []string {
		return w.SampleMachineIDs(arg(t, d, "share", 0.1), arg(t, d, "zone", ""), rand.New(rand.NewPCG(1, 1)))
	}
	switch kind {
	case "die":
		w.killMachine(s.busiestMachine())
	case "hang":
		s.busiestMachine().hungUntil = w.now.Add(duration)
	case "recall":
		s.busiestMachine().reclaimAt = w.now.Add(duration)
	case "slow":
		s.busiestMachine().slowFactor = arg(t, d, "factor", 5.0)
		for _, x := range s.busiestMachine().tasks {
			x.remaining = time.Duration(float64(x.remaining) * s.busiestMachine().slowFactor)
		}
	case "faulty":
		s.busiestMachine().faulty = true
	case "anew":
		// The worker restarts under the same name without its state.
		w.RestartWorker(s.busiestMachine(), 0)
	case "mute_machines":
		// Their heartbeats are lost, commands reach them.
		w.MakeUnheard(sample(), duration)
	case "deaf_machines":
		// Their heartbeats arrive; replies and commands don't reach them.
		var ids []string
		if d.HasArg("busiest") {
			ids = []string{s.busiestMachine().ID}
		} else {
			ids = sample()
		}
		w.MakeUnreachable(ids, duration, d.HasArg("hold"))
		s.watchUnreachable(ids)
	default:
		return false
	}
	return true
}

// startUserFault starts unusual requests of users. It returns false if the kind is none.
func (s *scenario) startUserFault(t *testing.T, d *datadriven.TestData, kind string, duration time.Duration) bool {
	w := s.world
	switch kind {
	case "cancel_now":
		w.CancelLongRunning(arg(t, d, "count", 8), duration)
	case "close_looks":
		w.concurrentReadsUntil = w.now.Add(duration)
	case "odd_requests":
		w.SendInvalidRequests(duration)
	default:
		return false
	}
	return true
}
