package simulation

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// pausePoints has the steps at which a scenario pauses or crashes a controller, by their names in scenario
// files. A controller reaches a step when it is about to send an effect that the step's function matches.
var pausePoints = map[string]func(message.Effect) bool{
	"renew": func(effect message.Effect) bool {
		request, ok := effect.(message.StoreRequest)
		return ok && request.Kind == message.OpLeaseRenew
	},
	"claim":    func(effect message.Effect) bool { return writesKey(effect, "ctl/lead") },
	"share":    func(effect message.Effect) bool { return writesKey(effect, "ctl/share/") },
	"register": func(effect message.Effect) bool { return writesKey(effect, "ctl/node/") },
	"read": func(effect message.Effect) bool {
		request, ok := effect.(message.StoreRequest)
		return ok && request.Kind == message.OpList && request.Key == "task/"
	},
	"epoch": func(effect message.Effect) bool {
		request, ok := effect.(message.WorkerRequest)
		return ok && !request.StatusOnly && len(request.Commands) == 0
	},
	"submit": func(effect message.Effect) bool {
		request, ok := effect.(message.StoreRequest)
		return ok && request.Kind == message.OpTxn && request.Priority == message.PriorityUser
	},
	"start": func(effect message.Effect) bool {
		request, ok := effect.(message.StoreRequest)
		return ok && request.Kind == message.OpTxn && request.Priority == message.PriorityStart
	},
	"rent": func(effect message.Effect) bool {
		request, ok := effect.(message.CloudRequest)
		return ok && request.Kind == message.CloudRent
	},
	"return": func(effect message.Effect) bool {
		request, ok := effect.(message.CloudRequest)
		return ok && request.Kind == message.CloudRelease
	},
	"orders": func(effect message.Effect) bool {
		request, ok := effect.(message.WorkerRequest)
		return ok && len(request.Commands) > 0
	},
	"rank": func(effect message.Effect) bool {
		request, ok := effect.(message.StoreRequest)
		return ok && request.Kind == message.OpTxn && len(request.Writes) > 0 && request.Writes[0].Key == "ctl/ranking"
	},
	"report": func(effect message.Effect) bool {
		reply, ok := effect.(message.HeartbeatReply)
		return ok && reply.Status == 200
	},
	"accept": func(effect message.Effect) bool {
		reply, ok := effect.(message.UserReply)
		return ok && reply.Status == 201
	},
	"page": writesPromisePage,
	"poll": func(effect message.Effect) bool {
		reply, ok := effect.(message.UserReply)
		return ok && reply.Status == 200
	},
}

// writesKey reports whether an effect writes a record with the key prefix to the state service.
func writesKey(effect message.Effect, prefix string) bool {
	request, ok := effect.(message.StoreRequest)
	return ok && slices.ContainsFunc(request.Writes, func(write message.Write) bool { return strings.HasPrefix(write.Key, prefix) })
}

// busiestMachine returns the running machine with the most tasks, or nil if no machine runs.
func (scenario *scenario) busiestMachine() *Worker {
	var busiest *Worker
	for _, id := range sortedKeys(scenario.world.machines) {
		if machine := scenario.world.machines[id]; machine.up(scenario.world.now) && (busiest == nil || len(machine.tasks) > len(busiest.tasks)) {
			busiest = machine
		}
	}
	return busiest
}

// shardLeader returns the index of the first live controller that leads a shard, or 0 if none does.
func (scenario *scenario) shardLeader() int {
	for i, process := range scenario.world.controllers {
		if process.alive && process.controller.IsShardLeader() {
			return i
		}
	}
	return 0
}

// recordStartsOnUnreachable records, from this call on, the attempts that controllers try to start on the
// machines while they are unreachable.
func (scenario *scenario) recordStartsOnUnreachable(ids []string) {
	scenario.unreachable, scenario.startedUnreachable = map[string]bool{}, map[string]bool{}
	for _, id := range ids {
		scenario.unreachable[id] = true
	}
	scenario.world.onHeartbeatReply = func(machine *Worker, reply message.HeartbeatReply) {
		if !scenario.unreachable[machine.ID] || !scenario.world.now.Before(machine.unreachableUntil) {
			return
		}
		for _, command := range reply.Commands {
			if command.Kind == model.StartTask {
				scenario.startedUnreachable[attemptName(command)] = true
			}
		}
	}
}

// startFault starts the fault that a scenario command names, and fails the test if there is no such fault.
// The command has no output.
func (scenario *scenario) startFault(t *testing.T, command *datadriven.TestData) string {
	kind, duration := command.CmdArgs[0].Key, durationArg(t, command, "for", 20)
	for _, start := range []func(*testing.T, *datadriven.TestData, string, time.Duration) bool{
		scenario.startControllerFault, scenario.startStoreFault, scenario.startLinkFault, scenario.startMachineFault, scenario.startUserFault,
	} {
		if start(t, command, kind, duration) {
			return ""
		}
	}
	command.Fatalf(t, "unknown fault %s", kind)
	return ""
}

// controllerArg returns the index of the controller that a scenario command names: the first shard leader,
// the shard leader of a team, or the controller with a number, by default 0.
func (scenario *scenario) controllerArg(t *testing.T, command *datadriven.TestData) int {
	if command.HasArg("owner") {
		return scenario.shardLeader()
	}
	if command.HasArg("team") {
		return scenario.world.shardLeaderOf(arg(t, command, "team", ""))
	}
	return arg(t, command, "node", 0)
}

// startControllerFault starts a fault of controller processes. It returns false if the kind is another fault.
func (scenario *scenario) startControllerFault(t *testing.T, command *datadriven.TestData, kind string, duration time.Duration) bool {
	world := scenario.world
	switch kind {
	case "crash":
		scenario.crash(t, command)
	case "still":
		// Pauses the shard leader or the first controller that reaches the step, or, without a step, a
		// controller at once.
		selects := func(process *controllerProcess) bool {
			return !command.HasArg("owner") || process.controller.IsShardLeader()
		}
		matches, ok := pausePoints[arg(t, command, "in", "")]
		if !ok {
			world.Pause(scenario.controllerArg(t, command), duration)
			break
		}
		world.PauseBefore(duration, matches, selects)
	case "refused":
		world.refuseController(world.controllers[scenario.controllerArg(t, command)], duration)
	case "refused_outage":
		// The state service refuses only this controller at first, and all controllers after the delay.
		world.startOverlapFault(Fault{Kind: "refused_outage", Controller: scenario.controllerArg(t, command), Delay: durationArg(t, command, "late", 2), Duration: duration})
	default:
		return false
	}
	return true
}

// crash crashes one or several controllers, or the first controller that reaches a step.
func (scenario *scenario) crash(t *testing.T, command *datadriven.TestData) {
	world := scenario.world
	if matches, ok := pausePoints[arg(t, command, "in", "")]; ok {
		world.CrashBefore(durationArg(t, command, "back", 0.05), command.HasArg("sent"), matches)
		return
	}
	restartAfter := durationArg(t, command, "back", 5)
	crashIf := func(selected func(i int) bool) {
		for i := range world.controllers {
			if selected(i) {
				world.CrashController(i, restartAfter)
			}
		}
	}
	switch {
	case command.HasArg("others"):
		crashIf(func(i int) bool { return i != scenario.shardLeader() })
	case command.HasArg("all"):
		crashIf(func(int) bool { return true })
	case command.HasArg("still"):
		// Crashes the paused controllers.
		crashIf(func(i int) bool { return world.now.Before(world.controllers[i].pausedUntil) })
	default:
		world.CrashController(scenario.controllerArg(t, command), restartAfter)
	}
}

// startStoreFault starts a fault of the state service or the cloud. It returns false if the kind is another
// fault.
func (scenario *scenario) startStoreFault(t *testing.T, command *datadriven.TestData, kind string, duration time.Duration) bool {
	world := scenario.world
	switch kind {
	case "late_writes":
		world.DelayWrites(arg(t, command, "share", 0.5), duration)
	case "outage":
		world.Outage(duration)
	case "damage":
		// Writes a record that no version of the controller can decode.
		world.state.txn(message.StoreRequest{Writes: []message.Write{{Key: arg(t, command, "key", ""), Value: []byte{0x81, 0xa1, 'v', 99}}}}, &message.StoreResponse{})
	case "cloud":
		world.cloudOutage = true
		world.schedule(duration, func() { world.cloudOutage = false })
	case "capacity":
		for _, key := range sortedKeys(world.cloudCapacity) {
			world.cloudCapacity[key] = 0
		}
	default:
		return false
	}
	return true
}

// startLinkFault starts a fault of links between processes. It returns false if the kind is another fault.
func (scenario *scenario) startLinkFault(t *testing.T, command *datadriven.TestData, kind string, duration time.Duration) bool {
	world := scenario.world
	switch kind {
	case "cut":
		world.Partition(world.controllers[scenario.controllerArg(t, command)].name, arg(t, command, "from", "*"), duration, command.HasArg("hold"))
	case "cut_alone":
		// The controller loses the state service and the other controllers, but not its workers.
		world.IsolateController(scenario.controllerArg(t, command), duration, command.HasArg("refused"), command.HasArg("hold"))
	case "unanswered":
		// Only messages from the state service to the controller are lost.
		world.partitionOneWay("state", world.controllers[scenario.controllerArg(t, command)].name, duration)
	case "mute":
		// Only messages from the controller to workers are lost.
		world.partitionOneWay(world.controllers[scenario.controllerArg(t, command)].name, "workers", duration)
	case "half":
		for i, id := range sortedKeys(world.machines) {
			if i%2 == 0 && world.machines[id].up(world.now) {
				world.Partition(id, "*", duration, command.HasArg("hold"))
			}
		}
	case "only_owner":
		// Partitions the machines that run tasks from all controllers except the named one.
		for _, id := range sortedKeys(world.machines) {
			for i, process := range world.controllers {
				if machine := world.machines[id]; len(machine.tasks) > 0 && i != scenario.controllerArg(t, command) {
					world.Partition(process.name, id, duration, command.HasArg("hold"))
				}
			}
		}
	case "late_commands":
		world.DelayCommands(arg(t, command, "share", 0.5), duration)
	case "held_order":
		scenario.startHeldCommand(command, duration)
	case "copies":
		world.startProtocolFault(Fault{Kind: kind, Fraction: arg(t, command, "share", 0.3), Delay: durationArg(t, command, "longest", 120), Duration: duration, ForNextLeader: command.HasArg("for_next")}, world.rng)
	case "twice":
		world.startOverlapFault(Fault{Kind: kind, Fraction: arg(t, command, "share", 0.2), Duration: duration})
	case "loss":
		world.startOverlapFault(Fault{Kind: kind, Fraction: arg(t, command, "share", 0.02), Duration: duration})
	default:
		return false
	}
	return true
}

// startHeldCommand holds back the next reply that starts tasks. Depending on the arguments, it cancels the
// first task's job, crashes the shard leader or reclaims the machine while the reply is held back.
func (scenario *scenario) startHeldCommand(command *datadriven.TestData, duration time.Duration) {
	world := scenario.world
	// The arguments are read at once, since the test data belongs to a later scenario command by the time
	// a reply is held back.
	cancel, crash, reclaim := command.HasArg("abort"), command.HasArg("crash"), command.HasArg("recall")
	scenario.holdStarts(duration, func(machine *Worker, starts []model.TaskCommand) {
		if cancel {
			world.Cancel(starts[0].Job)
		}
		if crash {
			world.CrashController(scenario.shardLeader(), 50*time.Millisecond)
		}
		if reclaim {
			// A notice of one minute is too short for the task, so the task must run elsewhere.
			machine.reclaimAt, machine.changed = world.now.Add(time.Minute), true
		}
	})
}

// startMachineFault starts a fault of machines. It returns false if the kind is another fault.
func (scenario *scenario) startMachineFault(t *testing.T, command *datadriven.TestData, kind string, duration time.Duration) bool {
	world := scenario.world
	sampleMachines := func() []string {
		return world.SampleMachineIDs(arg(t, command, "share", 0.1), arg(t, command, "zone", ""), rand.New(rand.NewPCG(1, 1)))
	}
	switch kind {
	case "die":
		world.killMachine(scenario.busiestMachine())
	case "hang":
		scenario.busiestMachine().hungUntil = world.now.Add(duration)
	case "recall":
		scenario.busiestMachine().reclaimAt = world.now.Add(duration)
	case "slow":
		scenario.busiestMachine().slowFactor = arg(t, command, "factor", 5.0)
		for _, task := range scenario.busiestMachine().tasks {
			task.remaining = time.Duration(float64(task.remaining) * scenario.busiestMachine().slowFactor)
		}
	case "faulty":
		scenario.busiestMachine().faulty = true
	case "anew":
		// The worker restarts under the same name without its state.
		world.RestartWorker(scenario.busiestMachine(), 0)
	case "mute_machines":
		// Heartbeats of the machines are lost, but commands reach the machines.
		world.MuteMachines(sampleMachines(), duration)
	case "deaf_machines":
		// Heartbeats of the machines arrive, but replies and commands don't reach the machines.
		var ids []string
		if command.HasArg("busiest") {
			ids = []string{scenario.busiestMachine().ID}
		} else {
			ids = sampleMachines()
		}
		world.MakeUnreachable(ids, duration, command.HasArg("hold"))
		scenario.recordStartsOnUnreachable(ids)
	default:
		return false
	}
	return true
}

// startUserFault starts unusual requests of users. It returns false if the kind is another fault.
func (scenario *scenario) startUserFault(t *testing.T, command *datadriven.TestData, kind string, duration time.Duration) bool {
	world := scenario.world
	switch kind {
	case "cancel_now":
		world.CancelLongRunning(arg(t, command, "count", 8), duration)
	case "close_looks":
		world.concurrentReadsUntil = world.now.Add(duration)
	case "odd_requests":
		world.SendInvalidRequests(duration)
	default:
		return false
	}
	return true
}
