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

// pausePoints are what a process may be about to send when it stands still.
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

// writesKey says that an effect writes a key with this beginning.
func writesKey(e message.Effect, key string) bool {
	op, ok := e.(message.StoreRequest)
	return ok && slices.ContainsFunc(op.Writes, func(c message.Write) bool { return strings.HasPrefix(c.Key, key) })
}

// busiestMachine is the nth machine with the most tasks on it.
func (s *scenario) busiestMachine() *Worker {
	var best *Worker
	for _, id := range sortedKeys(s.world.machines) {
		if m := s.world.machines[id]; m.up(s.world.now) && (best == nil || len(m.tasks) > len(best.tasks)) {
			best = m
		}
	}
	return best
}

// shardLeader is the controller that runs the jobs.
func (s *scenario) shardLeader() int {
	for i, p := range s.world.controllers {
		if p.alive && p.controller.IsShardLeader() {
			return i
		}
	}
	return 0
}

// watchUnreachable counts what is ordered to start on machines that nothing reaches.
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

func (s *scenario) startFault(t *testing.T, d *datadriven.TestData) string {
	w := s.world
	dur := durationArg(t, d, "for", 20)
	node := func() int {
		if d.HasArg("owner") {
			return s.shardLeader()
		}
		if d.HasArg("team") {
			return w.shardLeaderOf(arg(t, d, "team", ""))
		}
		return arg(t, d, "node", 0)
	}
	switch what := d.CmdArgs[0].Key; what {
	case "crash":
		if is, ok := pausePoints[arg(t, d, "in", "")]; ok {
			// Whoever is the first to come to that.
			w.CrashBefore(durationArg(t, d, "back", 0.05), d.HasArg("sent"), is)
			break
		}
		if d.HasArg("others") {
			for i := range w.controllers {
				if i != s.shardLeader() {
					w.CrashController(i, durationArg(t, d, "back", 5))
				}
			}
			break
		}
		if d.HasArg("all") {
			for i := range w.controllers {
				w.CrashController(i, durationArg(t, d, "back", 5))
			}
			break
		}
		if d.HasArg("still") {
			// In the middle of what it was doing.
			for i, p := range w.controllers {
				if w.now.Before(p.pausedUntil) {
					w.CrashController(i, durationArg(t, d, "back", 5))
				}
			}
			break
		}
		w.CrashController(node(), durationArg(t, d, "back", 5))
	case "cut":
		w.Partition(w.controllers[node()].name, arg(t, d, "from", "*"), dur, d.HasArg("hold"))
	case "refused":
		w.refuseController(w.controllers[node()], dur)
	case "still":
		// In the middle of something, or at once; the owner, or whoever comes first.
		who := func(p *controllerProcess) bool { return !d.HasArg("owner") || p.controller.IsShardLeader() }
		is, ok := pausePoints[arg(t, d, "in", "")]
		if !ok {
			w.Pause(node(), dur)
			break
		}
		w.PauseBefore(dur, is, who)
	case "refused_outage":
		// It alone at first, then all.
		w.startOverlapFault(Fault{Kind: "refused_outage", Controller: node(), Delay: durationArg(t, d, "late", 2), Duration: dur})
	case "late_writes":
		w.DelayWrites(arg(t, d, "share", 0.5), dur)
	case "late_commands":
		w.DelayCommands(arg(t, d, "share", 0.5), dur)
	case "cancel_now":
		w.CancelLongRunning(arg(t, d, "count", 8), dur)
	case "mute_machines":
		// They reach no controller; orders reach them.
		w.MakeUnheard(w.SampleMachineIDs(arg(t, d, "share", 0.1), arg(t, d, "zone", ""), rand.New(rand.NewPCG(1, 1))), dur)
	case "close_looks":
		w.concurrentReadsUntil = w.now.Add(dur)
	case "odd_requests":
		w.SendInvalidRequests(dur)
	case "outage":
		w.Outage(dur)
	case "cloud":
		w.cloudOutage = true
		w.schedule(dur, func() { w.cloudOutage = false })
	case "half":
		for i, id := range sortedKeys(w.machines) {
			if i%2 == 0 && w.machines[id].up(w.now) {
				w.Partition(id, "*", dur, d.HasArg("hold"))
			}
		}
	case "die":
		w.killMachine(s.busiestMachine())
	case "hang":
		s.busiestMachine().hungUntil = w.now.Add(dur)
	case "recall":
		s.busiestMachine().reclaimAt = w.now.Add(dur)
	case "slow":
		s.busiestMachine().slowFactor = arg(t, d, "factor", 5.0)
		for _, x := range s.busiestMachine().tasks {
			x.remaining = time.Duration(float64(x.remaining) * s.busiestMachine().slowFactor)
		}
	case "faulty":
		s.busiestMachine().faulty = true
	case "capacity":
		for _, k := range sortedKeys(w.cloudCapacity) {
			w.cloudCapacity[k] = 0
		}
	case "deaf_machines":
		// Their reports arrive; answers and orders don't reach them.
		var ids []string
		switch {
		case d.HasArg("busiest"):
			ids = []string{s.busiestMachine().ID}
		default:
			ids = w.SampleMachineIDs(arg(t, d, "share", 0.1), arg(t, d, "zone", ""), rand.New(rand.NewPCG(1, 1)))
		}
		w.MakeUnreachable(ids, dur, d.HasArg("hold"))
		s.watchUnreachable(ids)
	case "only_owner":
		// The machines with work and the controllers but their owner don't reach each other.
		for _, id := range sortedKeys(w.machines) {
			for i, p := range w.controllers {
				if m := w.machines[id]; len(m.tasks) > 0 && i != node() {
					w.Partition(p.name, id, dur, d.HasArg("hold"))
				}
			}
		}
	case "held_order":
		// d is another command's by then.
		abort, crash, recall := d.HasArg("abort"), d.HasArg("crash"), d.HasArg("recall")
		s.holdCommand(dur, func(op message.WorkerRequest) {
			if abort {
				w.Cancel(op.Commands[0].Job)
			}
			if crash {
				w.CrashController(s.shardLeader(), 50*time.Millisecond)
			}
			if recall {
				// Too short for the task, so it is to go elsewhere.
				m := w.machines[op.Machine]
				m.reclaimAt, m.changed = w.now.Add(time.Minute), true
			}
		})
	case "anew":
		// Its worker begins anew under the same name, knowing nothing.
		w.RestartWorker(s.busiestMachine(), 0)
	case "cut_alone":
		// It loses the state service and the other controllers, but not its workers.
		w.IsolateController(node(), dur, d.HasArg("refused"), d.HasArg("hold"))
	case "unanswered":
		// What the state service answers a controller is lost, and nothing else.
		w.partitionOneWay("state", w.controllers[node()].name, dur)
	case "mute":
		// What a controller sends to workers is lost, and nothing else.
		w.partitionOneWay(w.controllers[node()].name, "workers", dur)
	case "copies":
		w.startProtocolFault(Fault{Kind: what, Fraction: arg(t, d, "share", 0.3), Delay: durationArg(t, d, "longest", 120), Duration: dur, ForNextLeader: d.HasArg("for_next")}, w.rng)
	case "twice":
		w.startOverlapFault(Fault{Kind: what, Fraction: arg(t, d, "share", 0.2), Duration: dur})
	case "damage":
		// Somebody writes what no version understands.
		w.state.txn(message.StoreRequest{Writes: []message.Write{{Key: arg(t, d, "key", ""), Value: []byte{0x81, 0xa1, 'v', 99}}}}, &message.StoreResponse{})
	case "loss":
		w.startOverlapFault(Fault{Kind: what, Fraction: arg(t, d, "share", 0.02), Duration: dur})
	default:
		d.Fatalf(t, "unknown fault %s", what)
	}
	return ""
}
