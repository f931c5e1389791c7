package simulation

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// deliverToAll sends a heartbeat to every controller and passes each reply to onReply.
func (world *World) deliverToAll(heartbeat model.Heartbeat, onReply func(message.HeartbeatReply)) {
	for _, process := range world.controllers {
		process.request(func(reply uint64) message.Command { return message.WorkerHeartbeat{Reply: reply, Heartbeat: heartbeat} }, func(effect message.Effect) { onReply(effect.(message.HeartbeatReply)) })
	}
}

// TestOldHeartbeatAtEveryController guards against a new leader that trusts an outdated heartbeat. All
// controllers receive a machine's heartbeat from before a task started there, or from while the task ran, up
// to 30 s after the leaders crash. The task must not start a second time while it runs on a partitioned
// machine, and must still count against the quota limit if it was cancelled. The heartbeat must not renew the
// lease: a task of a dead machine restarts as soon as it does without the heartbeat.
func TestOldHeartbeatAtEveryController(t *testing.T) {
	// simulate delivers copies of the heartbeat after the delay, or none if the delay is 0. It returns
	// the time from the crash of the shard leader to the next start, and the number of answered copies.
	simulate := func(t *testing.T, beforeStart bool, fault string, delay time.Duration) (nextStart time.Duration, answered int) {
		settings := testSettings()
		settings.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: 7}}}
		world := newSmallWorld(5, settings)
		// These jobs keep two machines rented, each with free capacity for one of the small jobs below.
		world.submitMany("f", "ops", 2, 1, 3, 3*time.Minute)
		world.Run(45 * time.Second)
		// The heartbeat of each machine before the task is submitted.
		var oldHeartbeats []model.Heartbeat
		for _, machine := range world.fleet {
			oldHeartbeats = append(oldHeartbeats, machine.heartbeat(world.now))
		}
		id := world.submitMany("x", "ops", 1, 1, 1, 3*time.Minute)[0]
		world.Run(10 * time.Second)
		machines := world.machinesRunning(id)
		if len(machines) != 1 {
			t.Fatalf("got the task on %d machines, want 1", len(machines))
		}
		machine := machines[0]
		i := slices.IndexFunc(oldHeartbeats, func(heartbeat model.Heartbeat) bool { return heartbeat.Machine == machine.ID })
		if i < 0 {
			t.Fatal("got the task on a machine rented after the heartbeats were recorded, want it on an earlier one")
		}
		heartbeat := oldHeartbeats[i]
		if !beforeStart {
			heartbeat = machine.heartbeat(world.now)
		}
		world.Run(4 * time.Second)
		// During a cloud outage no release of the machine proves that the task has stopped. Only the
		// end of its lease does.
		world.cloudOutage = true
		world.schedule(80*time.Second, func() { world.cloudOutage = false })
		switch fault {
		case "dies":
			world.killMachine(machine)
		case "cancelled":
			world.submitMany("y", "ops", 1, 1, 1, time.Minute)
			world.Cancel(id)
			world.Partition(machine.ID, "*", time.Minute, false)
		default:
			world.Partition(machine.ID, "*", time.Minute, false)
		}
		world.Run(time.Second)
		crashedAt, started := world.now, world.Starts
		leader, shardLeader := world.leaderIndex(0), world.shardLeaderOf("ops")
		world.CrashController(leader, 5*time.Second)
		world.CrashController(shardLeader, 5*time.Second)
		if delay > 0 {
			// Delivers three copies, since a worker retries its heartbeat.
			for k := range 3 {
				world.schedule(delay+time.Duration(k)*time.Second, func() { world.deliverToAll(heartbeat, func(message.HeartbeatReply) { answered++ }) })
			}
		}
		if nextStart = world.waitUntil(3*time.Minute, func() bool { return world.Starts > started }); nextStart < 0 {
			t.Error("got no start within 3m, want one")
		}
		world.Run(world.now.Sub(crashedAt) + 4*time.Minute)
		checkFinalAnswers(t, world, true)
		checkNoViolations(t, world)
		return nextStart, answered
	}
	for _, beforeStart := range []bool{true, false} {
		for _, fault := range []string{"dies", "cut", "cancelled"} {
			baseline, _ := simulate(t, beforeStart, fault, 0)
			delays := []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second}
			for delay := 500 * time.Millisecond; delay <= 6*time.Second; delay += 500 * time.Millisecond {
				delays = append(delays, delay)
			}
			for _, i := range sampleCases(len(delays), 4) {
				delay := delays[i]
				t.Run(fmt.Sprintf("beforeStart=%v %s delay=%v", beforeStart, fault, delay), func(t *testing.T) {
					t.Parallel()
					nextStart, answered := simulate(t, beforeStart, fault, delay)
					if answered < 4 {
						t.Errorf("got %d answered copies of the heartbeat, want at least 4", answered)
					}
					if nextStart > baseline+5*time.Second {
						t.Errorf("got the next start after %v, want it at most 5s later than without the old heartbeat, %v", nextStart, baseline)
					}
				})
			}
		}
	}
}

// TestZoneBoundJobsLoseMachines checks that jobs bound to one zone reach their right final state when half
// of the zone's machines die and some of the others are partitioned. With odd seeds the shard leader
// crashes too.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for seed := range dayCount(t, 8, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, _ := testTypes()
			world := NewWorld(seed, 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 12, "small/b/false": 8, "small/b/true": 4})
			for i := range 9 {
				spec := batchJob(fmt.Sprintf("job-b%03d", i), "ops", []int{1, 3, 6}[i%3], 2, 40*time.Second)
				spec.Zone, spec.SameZone, spec.AllowSpot = "b", i%4 == 0, i%2 == 0
				world.Submit(spec, 40*time.Second, false)
			}
			world.submitMany("a", "ops", 6, 2, 2, 40*time.Second)
			world.Run(50 * time.Second)
			lostTasks := 0
			for i, id := range sortedKeys(world.machines) {
				machine := world.machines[id]
				switch {
				case machine.Zone != "b" || !machine.up(world.now):
				case i%2 == 0:
					lostTasks += len(machine.tasks)
					world.killMachine(machine)
				case i%3 == 0:
					world.Partition(machine.ID, "*", 45*time.Second, seed%2 == 0)
				}
			}
			if lostTasks == 0 {
				t.Fatal("got no tasks on the machines that die, want some")
			}
			if seed%2 == 1 {
				world.CrashController(world.shardLeaderOf("ops"), 5*time.Second)
			}
			world.Run(7 * time.Minute)
			checkFinalAnswers(t, world, false)
			checkNoViolations(t, world)
		})
	}
}

// TestTenLeaderChanges checks that jobs end as requested when the current leader crashes ten times in two
// minutes, with one long, several short or no outages of the state service, while jobs are cancelled.
func TestTenLeaderChanges(t *testing.T) {
	for _, outage := range []struct {
		name string
		// firstAt is the start of the first outage, and interval the time from one start to the next.
		// An interval of 0 means a single outage.
		firstAt, duration time.Duration
		interval          time.Duration
		// minChanges is the smallest allowed number of changes of leadership.
		minChanges int
	}{
		{"one outage of 60 s", 30 * time.Second, 60 * time.Second, 0, 5},
		{"ten outages of 5 s", 2 * time.Second, 5 * time.Second, 12 * time.Second, 8},
		{"no outage", 0, 0, 0, 10},
	} {
		for _, restartAfter := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s restartAfter=%v", outage.name, restartAfter), func(t *testing.T) {
				t.Parallel()
				world := newTestWorldOfSize(3, 5)
				cancelled := world.submitMany("c", "ops", 10, 2, 2, 10*time.Minute)
				world.submitMany("x", "ops", 6, 2, 2, 90*time.Second)
				world.Run(50 * time.Second)
				if outage.duration > 0 {
					for k := 0; k == 0 || outage.interval > 0 && k < 10; k++ {
						world.schedule(outage.firstAt+time.Duration(k)*outage.interval, func() { world.Outage(outage.duration) })
					}
				}
				changes, leader, crashesInOutage := 0, world.leaderName(), 0
				for k := range 10 {
					world.schedule(time.Duration(k)*12*time.Second+4*time.Second, func() {
						crashesInOutage += boolInt(world.stateOutage)
						i := world.leaderIndex(k)
						if !world.controllers[i].alive {
							i = slices.IndexFunc(world.controllers, func(process *controllerProcess) bool { return process.alive })
						}
						world.CrashController(i, restartAfter)
						world.Cancel(cancelled[k])
					})
				}
				for range 1200 {
					world.Run(tickInterval)
					if current := world.leaderName(); current != "" && current != leader {
						changes, leader = changes+1, current
					}
				}
				world.Run(4 * time.Minute)
				t.Logf("%d changes of leadership, %d crashes during an outage", changes, crashesInOutage)
				if changes < outage.minChanges || crashesInOutage == 0 && outage.duration > 0 {
					t.Errorf("got %d changes of leadership, %d crashes during an outage, want at least %d changes and, with outages, some crashes during one", changes, crashesInOutage, outage.minChanges)
				}
				for i, id := range sortedKeys(world.jobs) {
					if want := []string{"done", "cancelled"}[boolInt(slices.Contains(cancelled, id))]; world.jobs[id].lastState != want {
						t.Errorf("job %d, %s: got final state %q, want %q", i, id, world.jobs[id].lastState, want)
					}
				}
				checkNoViolations(t, world)
			})
		}
	}
}

// minCancelWithin is a limit for the stop of cancelled jobs that is only 4 s longer than a worker lease
// of 24 s.
const minCancelWithin = 28 * time.Second

// TestIsolatedLeaderWhileOthersCancel guards against a former leader that keeps cancelled jobs running or
// answers that they run. The leader loses the state service and the other controllers, while users and
// workers still reach it, and some workers reach no other controller. Jobs that are cancelled through
// another controller must stop in time, and the former leader must never answer an older state.
func TestIsolatedLeaderWhileOthersCancel(t *testing.T) {
	for _, cancel := range []time.Duration{testCancelWithin, minCancelWithin} {
		for _, wait := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("cancelWithin=%v wait=%v", cancel, wait), func(t *testing.T) {
				t.Parallel()
				types, capacity := testTypes()
				world := NewWorld(2, 3, testSettings(), cancel, types, capacity)
				ids := world.submitMany("x", "ops", 6, 2, 2, 10*time.Minute)
				world.Run(60 * time.Second)
				former := world.shardLeaderOf("ops")
				if world.leaderIndex(-1) != former {
					t.Fatal("got different controllers as leader and shard leader, want one controller as both")
				}
				// During a cloud outage no release of a machine proves that its tasks have stopped.
				const partitionDuration = 90 * time.Second
				world.cloudOutage = true
				world.schedule(partitionDuration, func() { world.cloudOutage = false })
				lastRun := world.trackLastRun(ids...)
				world.IsolateController(former, partitionDuration, wait == 5*time.Second, false)
				for _, id := range ids[:3] {
					for _, machine := range world.machinesRunning(id) {
						for i, process := range world.controllers {
							if i != former {
								world.Partition(machine.ID, process.name, partitionDuration, false)
							}
						}
					}
				}
				world.Run(wait)
				newController := (former + 1) % 3
				for _, id := range ids {
					world.jobs[id].cancelRequested = true
					world.userRequestTo(newController, func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: id} }, 5*time.Second, func(reply *message.UserReply) {
						if reply == nil || reply.State != "cancelled" {
							t.Errorf("cancellation of %s: got %v, want state cancelled", id, reply)
						}
					})
				}
				world.Run(500 * time.Millisecond)
				if running := world.runningTasks(ids[0]); running == 0 || world.jobs[ids[0]].cancelledAt.IsZero() {
					t.Errorf("got %d running tasks 500ms after the cancellation, want some, and the cancellation confirmed", running)
				}
				for end := world.now.Add(80 * time.Second); world.now.Before(end); world.Run(time.Second) {
					for _, id := range ids {
						world.userRequestTo(former, func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} }, 2*time.Second, func(reply *message.UserReply) {
							if reply != nil && reply.Status == 200 && reply.State != "cancelled" {
								t.Errorf("%s: got state %s from the former leader, want cancelled or no answer", id, reply.State)
							}
						})
					}
				}
				checkStoppedWithin(t, world, lastRun, world.cancelWithin)
				world.Run(time.Minute)
				checkNoViolations(t, world)
			})
		}
	}
}

// partitionZone partitions the machines of a zone together with one controller from everything else: the
// zone's machines reach only that controller, and that controller reaches only those machines. This includes
// machines that are rented before the duration ends.
func (world *World) partitionZone(zone string, controller int, duration time.Duration, hold bool) {
	until := world.now.Add(duration)
	partitionMachine := func(machine *Worker) {
		for i, process := range world.controllers {
			if (i == controller) != (machine.Zone == zone) && world.now.Before(until) {
				world.Partition(machine.ID, process.name, until.Sub(world.now), hold)
			}
		}
	}
	for _, machine := range world.fleet {
		partitionMachine(machine)
	}
	for _, peer := range []string{"state", "cloud", "user"} {
		world.Partition(world.controllers[controller].name, peer, duration, hold)
	}
	for i, process := range world.controllers {
		if i != controller {
			world.Partition(world.controllers[controller].name, process.name, duration, hold)
		}
	}
	world.onRented = partitionMachine
}

// TestZonePartitionedWithController checks that a cancelled job stops in time and all jobs reach their right
// final state when a zone and one controller, the shard leader or another, are partitioned from the rest for
// longer than a worker lease. During the partition one of the zone's jobs is cancelled and new jobs
// arrive. Messages across the partition are held back or lost.
func TestZonePartitionedWithController(t *testing.T) {
	for _, withShardLeader := range []bool{true, false} {
		for _, duration := range []time.Duration{26 * time.Second, 90 * time.Second} {
			for kind, cancel := range map[string]time.Duration{"held": testCancelWithin, "lost": testCancelWithin, "lost, no cloud": minCancelWithin} {
				t.Run(fmt.Sprintf("withShardLeader=%v %v %s", withShardLeader, duration, kind), func(t *testing.T) {
					t.Parallel()
					types, capacity := testTypes()
					world := NewWorld(4, 3, testSettings(), cancel, types, capacity)
					for i := range 6 {
						spec := batchJob(fmt.Sprintf("job-z%03d", i), "ops", 2, 2, 3*time.Minute)
						spec.Zone = []string{"a", "b"}[i%2]
						world.Submit(spec, 3*time.Minute, false)
					}
					world.Run(60 * time.Second)
					controller := world.shardLeaderOf("ops")
					if !withShardLeader {
						controller = (controller + 1) % 3
					}
					if world.runningTasks("job-z001") != 2 {
						t.Fatalf("got %d running tasks in the zone, want 2", world.runningTasks("job-z001"))
					}
					world.partitionZone("b", controller, duration, kind == "held")
					if world.cloudOutage = kind == "lost, no cloud"; world.cloudOutage {
						world.schedule(duration, func() { world.cloudOutage = false })
					}
					lastRun := world.trackLastRun("job-z001")
					world.Run(3 * time.Second)
					world.Cancel("job-z001")
					world.Run(4 * time.Second)
					if world.runningTasks("job-z001") == 0 {
						t.Error("got the cancelled job stopped 4s after its cancellation, want it running since no controller that knows of the cancellation reaches its machines")
					}
					world.submitMany("n", "ops", 3, 1, 2, 20*time.Second)
					world.Run(duration)
					// A shard leader inside the zone answers heartbeats, and so renews leases, until its
					// grace period ends. With it, only the longer partition makes tasks lose their leases.
					if world.cloudOutage = false; world.LostToLease == 0 && kind == "lost, no cloud" && (!withShardLeader || duration > time.Minute) {
						t.Error("got no task lost to its lease, want some")
					}
					checkStoppedWithin(t, world, lastRun, world.cancelWithin)
					world.Run(8 * time.Minute)
					checkFinalAnswers(t, world, true)
					checkNoViolations(t, world)
				})
			}
		}
	}
}

// blockHeartbeats drops the heartbeats of the machines on their way to all controllers for the duration.
// Direct commands still reach the machines and are answered.
func (world *World) blockHeartbeats(ids []string, duration time.Duration) {
	until, send := world.now.Add(duration), world.heartbeatSender
	world.heartbeatSender = func(machine *Worker) {
		if !slices.Contains(ids, machine.ID) || !world.now.Before(until) {
			send(machine)
			return
		}
		// The worker gives up after 4 s and tries the next controller 1 s later.
		incarnation := machine.process
		world.schedule(4*time.Second, func() {
			if machine.process == incarnation {
				machine.heartbeatPending, machine.controller, machine.nextHeartbeatAt = false, (machine.controller+1)%len(world.controllers), world.now.Add(time.Second)
			}
		})
	}
}

// TestMachinesReachNoController checks that a cancelled job stops in time and tasks are lost to leases only
// when they should be if heartbeats of machines are lost while direct commands still reach the machines. The
// heartbeats are lost for less or for longer than a worker lease, and in half of the cases the shard
// leader crashes.
func TestMachinesReachNoController(t *testing.T) {
	for _, crash := range []bool{false, true} {
		for _, duration := range []time.Duration{15 * time.Second, 40 * time.Second, 90 * time.Second} {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprintf("crash=%v %v all=%v", crash, duration, all), func(t *testing.T) {
					t.Parallel()
					world := newSmallWorld(6, testSettings())
					ids := world.submitMany("x", "ops", 8, 2, 2, 2*time.Minute)
					world.Run(60 * time.Second)
					var blocked []string
					for i, id := range ids {
						for _, machine := range world.machinesRunning(id) {
							if (all || i < 3) && !slices.Contains(blocked, machine.ID) {
								blocked = append(blocked, machine.ID)
							}
						}
					}
					world.blockHeartbeats(blocked, duration)
					lastRun := world.trackLastRun(ids[0])
					world.Run(2 * time.Second)
					if crash {
						world.CrashController(world.shardLeaderOf("ops"), 5*time.Second)
					}
					world.Run(3 * time.Second)
					world.Cancel(ids[0])
					checkStoppedWithin(t, world, lastRun, maxStopTime)
					world.Run(duration)
					if len(blocked) < 2 || duration > time.Minute && world.LostToLease == 0 || duration < 24*time.Second && world.LostToLease > 0 {
						t.Errorf("got %d tasks lost to leases, heartbeats of %d machines lost for %v, want at least 2 machines, some lost tasks after more than a minute and none within a lease", world.LostToLease, len(blocked), duration)
					}
					world.Run(6 * time.Minute)
					checkFinalAnswers(t, world, true)
					checkNoViolations(t, world)
				})
			}
		}
	}
}

// TestCommandOfFormerLeader guards against a delayed command of a crashed shard leader that is executed
// twice, or after the successor has reached the machine. If the command arrives earlier, the machine executes
// the command once and the successor takes over its effect. If it arrives later, the machine refuses it. A
// start arrives in the reply to a heartbeat, which the machine drops after heartbeatTimeout; the request for
// that heartbeat starts nothing itself.
func TestCommandOfFormerLeader(t *testing.T) {
	var early, late atomic.Int64
	t.Run("delays", func(t *testing.T) {
		for _, kind := range []string{"heartbeat request", "start", "stop"} {
			delays := []float64{0.5, 1, 2, 3, 4, 4.5, 5, 5.5, 6, 7, 8, 10, 12, 16}
			for _, i := range sampleCases(len(delays), 7) {
				delay := delays[i]
				t.Run(fmt.Sprintf("%s %v", kind, delay), func(t *testing.T) {
					t.Parallel()
					world := newTestWorldOfSize(8, 3)
					world.submitMany("f", "ops", 4, 1, 2, 4*time.Minute)
					world.submitMany("g", "ops", 2, 2, 2, 20*time.Second)
					world.Run(80 * time.Second)
					shardLeader := world.shardLeaderOf("ops")
					if world.runningTasks("job-f000") == 0 {
						t.Fatal("got no running task of job-f000")
					}
					lastRun := world.trackLastRun("job-f000", "job-f001")
					held, delivered, accepted := false, false, false
					deliverRequest := func(request message.WorkerRequest) {
						machine := world.machines[request.Machine]
						if successorSeen := machine.epoch > request.Epoch; successorSeen {
							late.Add(1)
						} else {
							early.Add(1)
						}
						accepted = world.executeDirect(machine, request).OK
						if accepted != (machine.epoch <= request.Epoch) {
							t.Errorf("command of epoch %d at a machine of epoch %d: got accepted %v", request.Epoch, machine.epoch, accepted)
						}
					}
					hold := func(deliver func()) {
						held = true
						world.schedule(time.Millisecond, func() { world.CrashController(shardLeader, 5*time.Second) })
						world.schedule(record.DurationOfSeconds(delay), func() {
							delivered = true
							deliver()
						})
					}
					contains := func(commands []model.TaskCommand, kind model.TaskCommandKind) bool {
						return slices.ContainsFunc(commands, func(command model.TaskCommand) bool { return command.Kind == kind })
					}
					world.corruptEffect = func(effect message.Effect) message.Effect {
						if held {
							return effect
						}
						switch e := effect.(type) {
						case message.WorkerRequest:
							if kind == "stop" && contains(e.Commands, model.StopTask) || kind == "heartbeat request" && e.RequestsHeartbeat {
								hold(func() { deliverRequest(e) })
								return nil
							}
						case message.HeartbeatReply:
							if deliver := world.controllers[shardLeader].replies[e.Reply]; kind == "start" && deliver != nil && contains(e.Commands, model.StartTask) {
								hold(func() { deliver(e) })
								return nil
							}
						}
						return effect
					}
					if kind == "stop" {
						world.Cancel("job-f000")
						world.Cancel("job-f001")
					} else {
						world.submitMany("x", "ops", 4, 1, 2, 30*time.Second)
					}
					world.waitUntil(time.Minute, func() bool { return held })
					world.Run(20 * time.Second)
					if !held || !delivered {
						t.Fatalf("got command held %v, delivered %v, want both", held, delivered)
					}
					if kind == "stop" {
						checkStoppedWithin(t, world, lastRun, maxStopTime)
					}
					world.Run(4 * time.Minute)
					if want := map[string]int{"heartbeat request": 12, "start": 12, "stop": 8}[kind]; world.Starts != want {
						t.Errorf("got %d starts, want %d", world.Starts, want)
					}
					checkFinalAnswers(t, world, true)
					checkNoViolations(t, world)
				})
			}
		}
	})
	t.Logf("%d commands arrived before the successor had reached the machine, %d after", early.Load(), late.Load())
	if early.Load() == 0 || late.Load() == 0 {
		t.Errorf("got %d commands before the successor had reached the machine and %d after, want some of each", early.Load(), late.Load())
	}
}
