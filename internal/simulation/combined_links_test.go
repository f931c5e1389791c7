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

// deliverToAll delivers a heartbeat to every controller, and passes on their replies.
func (w *World) deliverToAll(r model.Heartbeat, onReply func(message.HeartbeatReply)) {
	for _, p := range w.controllers {
		p.request(func(reply uint64) message.Command { return message.WorkerHeartbeat{Reply: reply, Heartbeat: r} }, func(e message.Effect) { onReply(e.(message.HeartbeatReply)) })
	}
}

// TestOldHeartbeatAtEveryController holds back a heartbeat from before a task started, or while it ran,
// and delivers it to all controllers when a new leader begins. It must prove nothing: a task that still
// runs on a partitioned machine is not started again, and if it was cancelled it still counts against
// the quota limit. It must not renew a lease either: a task of a dead machine restarts as soon as
// without the heartbeat.
func TestOldHeartbeatAtEveryController(t *testing.T) {
	// play returns the time from the crash of the shard leader to the next start, and how many
	// copies of the heartbeat were answered.
	play := func(t *testing.T, before bool, kind string, at time.Duration) (next time.Duration, answered int) {
		set := testSettings()
		set.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: 7}}}
		w := newSmallWorld(5, set)
		// Two machines with free capacity for one of the small jobs each.
		w.submitMany("f", "ops", 2, 1, 3, 3*time.Minute)
		w.Run(45 * time.Second)
		// Heartbeats of machines before the task is submitted.
		var old []model.Heartbeat
		for _, m := range w.fleet {
			old = append(old, m.heartbeat(w.now))
		}
		id := w.submitMany("x", "ops", 1, 1, 1, 3*time.Minute)[0]
		w.Run(10 * time.Second)
		ms := w.machinesRunning(id)
		if len(ms) != 1 {
			t.Fatalf("got the task on %d machines, want 1", len(ms))
		}
		m := ms[0]
		i := slices.IndexFunc(old, func(r model.Heartbeat) bool { return r.Machine == m.ID })
		if i < 0 {
			t.Fatal("got the task on a machine that had sent no heartbeat before")
		}
		r := old[i]
		if !before {
			r = m.heartbeat(w.now)
		}
		w.Run(4 * time.Second)
		// Without the cloud no release proves that the task has stopped, only its lease does.
		w.cloudOutage = true
		w.schedule(80*time.Second, func() { w.cloudOutage = false })
		switch kind {
		case "dies":
			w.killMachine(m)
		case "cancelled":
			w.submitMany("y", "ops", 1, 1, 1, time.Minute)
			w.Cancel(id)
			w.Partition(m.ID, "*", time.Minute, false)
		default:
			w.Partition(m.ID, "*", time.Minute, false)
		}
		w.Run(time.Second)
		from, started := w.now, w.Starts
		leader, shardLeader := w.leaderIndex(0), w.shardLeaderOf("ops")
		w.CrashController(leader, 5*time.Second)
		w.CrashController(shardLeader, 5*time.Second)
		if at > 0 {
			// Three times, as a worker retries its heartbeat.
			for k := range 3 {
				w.schedule(at+time.Duration(k)*time.Second, func() { w.deliverToAll(r, func(message.HeartbeatReply) { answered++ }) })
			}
		}
		if next = w.waitUntil(3*time.Minute, func() bool { return w.Starts > started }); next < 0 {
			t.Error("got no start within 3m, want one")
		}
		w.Run(w.now.Sub(from) + 4*time.Minute)
		checkFinalAnswers(t, w, true)
		checkNoViolations(t, w)
		return next, answered
	}
	for _, before := range []bool{true, false} {
		for _, kind := range []string{"dies", "cut", "cancelled"} {
			plain, _ := play(t, before, kind, 0)
			moments := []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second}
			for at := 500 * time.Millisecond; at <= 6*time.Second; at += 500 * time.Millisecond {
				moments = append(moments, at)
			}
			for _, i := range sampleCases(len(moments), 4) {
				at := moments[i]
				t.Run(fmt.Sprintf("before=%v %s %v", before, kind, at), func(t *testing.T) {
					t.Parallel()
					next, answered := play(t, before, kind, at)
					if answered < 4 {
						t.Errorf("got %d answered copies, want at least 4", answered)
					}
					if next > plain+5*time.Second {
						t.Errorf("got the next start after %v, want at most 5s more than without the old heartbeat, %v", next, plain)
					}
				})
			}
		}
	}
}

// TestZoneBoundJobsLoseMachines runs jobs bound to one zone while half of the zone's machines die and
// some others are partitioned.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for seed := range dayCount(t, 8, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, _ := testTypes()
			w := NewWorld(seed, 3, testSettings(), testCancelWithin, types, map[string]int{"small/a/false": 12, "small/b/false": 8, "small/b/true": 4})
			for i := range 9 {
				spec := batchJob(fmt.Sprintf("job-b%03d", i), "ops", []int{1, 3, 6}[i%3], 2, 40*time.Second)
				spec.Zone, spec.SameZone, spec.AllowSpot = "b", i%4 == 0, i%2 == 0
				w.Submit(spec, 40*time.Second, false)
			}
			w.submitMany("a", "ops", 6, 2, 2, 40*time.Second)
			w.Run(50 * time.Second)
			lost := 0
			for i, id := range sortedKeys(w.machines) {
				m := w.machines[id]
				switch {
				case m.Zone != "b" || !m.up(w.now):
				case i%2 == 0:
					lost += len(m.tasks)
					w.killMachine(m)
				case i%3 == 0:
					w.Partition(m.ID, "*", 45*time.Second, seed%2 == 0)
				}
			}
			if lost == 0 {
				t.Fatal("got no tasks on the lost machines, want some")
			}
			if seed%2 == 1 {
				w.CrashController(w.shardLeaderOf("ops"), 5*time.Second)
			}
			w.Run(7 * time.Minute)
			checkFinalAnswers(t, w, false)
			checkNoViolations(t, w)
		})
	}
}

// TestTenLeaderChanges crashes the current leader ten times in two minutes, with long, short or no outages
// of the state service, while jobs are submitted and cancelled.
func TestTenLeaderChanges(t *testing.T) {
	for _, outage := range []struct {
		name       string
		from, long time.Duration
		every      time.Duration
		// changes is the least number of changes of leadership.
		changes int
	}{
		{"one of 60 s", 30 * time.Second, 60 * time.Second, 0, 5},
		{"ten of 5 s", 2 * time.Second, 5 * time.Second, 12 * time.Second, 8},
		{"none", 0, 0, 0, 10},
	} {
		for _, back := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s back=%v", outage.name, back), func(t *testing.T) {
				t.Parallel()
				w := newTestWorldOfSize(3, 5)
				cancelled := w.submitMany("c", "ops", 10, 2, 2, 10*time.Minute)
				w.submitMany("x", "ops", 6, 2, 2, 90*time.Second)
				w.Run(50 * time.Second)
				if outage.long > 0 {
					for k := 0; k == 0 || outage.every > 0 && k < 10; k++ {
						w.schedule(outage.from+time.Duration(k)*outage.every, func() { w.Outage(outage.long) })
					}
				}
				changes, leader, inside := 0, w.leaderName(), 0
				for k := range 10 {
					w.schedule(time.Duration(k)*12*time.Second+4*time.Second, func() {
						inside += boolInt(w.stateOutage)
						i := w.leaderIndex(k)
						if !w.controllers[i].alive {
							i = slices.IndexFunc(w.controllers, func(p *controllerProcess) bool { return p.alive })
						}
						w.CrashController(i, back)
						w.Cancel(cancelled[k])
					})
				}
				for range 1200 {
					w.Run(tickInterval)
					if now := w.leaderName(); now != "" && now != leader {
						changes, leader = changes+1, now
					}
				}
				w.Run(4 * time.Minute)
				t.Logf("%d changes of leadership, %d crashes inside an outage", changes, inside)
				if changes < outage.changes || inside == 0 && outage.long > 0 {
					t.Errorf("got %d changes of leadership, %d crashes inside an outage, want at least %d and, with outages, some", changes, inside, outage.changes)
				}
				for i, id := range sortedKeys(w.jobs) {
					if want := []string{"done", "cancelled"}[boolInt(slices.Contains(cancelled, id))]; w.jobs[id].lastState != want {
						t.Errorf("job %d, %s: got final state %q, want %q", i, id, w.jobs[id].lastState, want)
					}
				}
				checkNoViolations(t, w)
			})
		}
	}
}

// minCancelWithin leaves hardly any margin above a worker lease.
const minCancelWithin = 28 * time.Second

// TestIsolatedLeaderWhileOthersCancel isolates a leader from the state service and the other controllers,
// while users and its workers, some of which reach only it, still reach it. Jobs cancelled through the
// new leader stop in time, and the former leader never answers that they run.
func TestIsolatedLeaderWhileOthersCancel(t *testing.T) {
	for _, cancel := range []time.Duration{testCancelWithin, minCancelWithin} {
		for _, wait := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("cancel=%v %v", cancel, wait), func(t *testing.T) {
				t.Parallel()
				types, capacity := testTypes()
				w := NewWorld(2, 3, testSettings(), cancel, types, capacity)
				ids := w.submitMany("x", "ops", 6, 2, 2, 10*time.Minute)
				w.Run(60 * time.Second)
				former := w.shardLeaderOf("ops")
				if w.leaderIndex(-1) != former {
					t.Fatal("got a leader that is not the shard leader")
				}
				// Without the cloud no release proves that tasks have stopped.
				const cut = 90 * time.Second
				w.cloudOutage = true
				w.schedule(cut, func() { w.cloudOutage = false })
				last := w.trackLastRun(ids...)
				w.IsolateController(former, cut, wait == 5*time.Second, false)
				for _, id := range ids[:3] {
					for _, m := range w.machinesRunning(id) {
						for i, p := range w.controllers {
							if i != former {
								w.Partition(m.ID, p.name, cut, false)
							}
						}
					}
				}
				w.Run(wait)
				other := (former + 1) % 3
				for _, id := range ids {
					w.jobs[id].cancelRequested = true
					w.userRequestTo(other, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} }, 5*time.Second, func(r *message.UserReply) {
						if r == nil || r.State != "cancelled" {
							t.Errorf("cancellation of %s: got %v, want state cancelled", id, r)
						}
					})
				}
				w.Run(500 * time.Millisecond)
				if n := w.runningTasks(ids[0]); n == 0 || w.jobs[ids[0]].cancelledAt.IsZero() {
					t.Errorf("got %d running tasks when the cancellation is confirmed, want some", n)
				}
				for end := w.now.Add(80 * time.Second); w.now.Before(end); w.Run(time.Second) {
					for _, id := range ids {
						w.userRequestTo(former, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} }, 2*time.Second, func(r *message.UserReply) {
							if r != nil && r.Status == 200 && r.State != "cancelled" {
								t.Errorf("%s: got state %s from the former leader, want cancelled or no answer", id, r.State)
							}
						})
					}
				}
				checkStoppedWithin(t, w, last, w.cancelWithin)
				w.Run(time.Minute)
				checkNoViolations(t, w)
			})
		}
	}
}

// partitionZone partitions the machines of a zone and one controller from everything else for d,
// including machines that are rented meanwhile.
func (w *World) partitionZone(zone string, with int, d time.Duration, hold bool) {
	till := w.now.Add(d)
	machine := func(m *Worker) {
		for i, p := range w.controllers {
			if (i == with) != (m.Zone == zone) && w.now.Before(till) {
				w.Partition(m.ID, p.name, till.Sub(w.now), hold)
			}
		}
	}
	for _, m := range w.fleet {
		machine(m)
	}
	for _, x := range []string{"state", "cloud", "user"} {
		w.Partition(w.controllers[with].name, x, d, hold)
	}
	for i, p := range w.controllers {
		if i != with {
			w.Partition(w.controllers[with].name, p.name, d, hold)
		}
	}
	w.onRented = machine
}

// TestZonePartitionedWithController partitions a zone with the shard leader, or with another controller,
// for longer than a worker lease, while some of the zone's jobs are cancelled and new ones come.
func TestZonePartitionedWithController(t *testing.T) {
	for _, owns := range []bool{true, false} {
		for _, long := range []time.Duration{26 * time.Second, 90 * time.Second} {
			for kind, cancel := range map[string]time.Duration{"held": testCancelWithin, "lost": testCancelWithin, "lost, no cloud": minCancelWithin} {
				t.Run(fmt.Sprintf("owns=%v %v %s", owns, long, kind), func(t *testing.T) {
					t.Parallel()
					types, capacity := testTypes()
					w := NewWorld(4, 3, testSettings(), cancel, types, capacity)
					for i := range 6 {
						spec := batchJob(fmt.Sprintf("job-z%03d", i), "ops", 2, 2, 3*time.Minute)
						spec.Zone = []string{"a", "b"}[i%2]
						w.Submit(spec, 3*time.Minute, false)
					}
					w.Run(60 * time.Second)
					with := w.shardLeaderOf("ops")
					if !owns {
						with = (with + 1) % 3
					}
					if w.runningTasks("job-z001") != 2 {
						t.Fatalf("got %d running tasks in the zone, want 2", w.runningTasks("job-z001"))
					}
					w.partitionZone("b", with, long, kind == "held")
					if w.cloudOutage = kind == "lost, no cloud"; w.cloudOutage {
						w.schedule(long, func() { w.cloudOutage = false })
					}
					last := w.trackLastRun("job-z001")
					w.Run(3 * time.Second)
					w.Cancel("job-z001")
					w.Run(4 * time.Second)
					if w.runningTasks("job-z001") == 0 {
						t.Error("got the cancelled job stopped before any controller could reach its machines")
					}
					w.submitMany("n", "ops", 3, 1, 2, 20*time.Second)
					w.Run(long)
					// A shard leader in the zone still answers heartbeats until its grace period ends.
					if w.cloudOutage = false; w.LostToLease == 0 && kind == "lost, no cloud" && (!owns || long > time.Minute) {
						t.Error("got no task lost to its lease, want some")
					}
					checkStoppedWithin(t, w, last, w.cancelWithin)
					w.Run(8 * time.Minute)
					checkFinalAnswers(t, w, true)
					checkNoViolations(t, w)
				})
			}
		}
	}
}

// blockHeartbeats keeps the heartbeats of machines from all controllers for d, while direct commands
// reach them and are answered.
func (w *World) blockHeartbeats(ids []string, d time.Duration) {
	till, send := w.now.Add(d), w.heartbeatSender
	w.heartbeatSender = func(m *Worker) {
		if !slices.Contains(ids, m.ID) || !w.now.Before(till) {
			send(m)
			return
		}
		incarnation := m.process
		w.schedule(4*time.Second, func() {
			if m.process == incarnation {
				m.heartbeatPending, m.controller, m.nextHeartbeatAt = false, (m.controller+1)%len(w.controllers), w.now.Add(time.Second)
			}
		})
	}
}

// TestMachinesReachNoController has machines whose heartbeats are lost while direct commands reach them,
// for less and for longer than a worker lease; jobs there are cancelled, and their shard leader crashes.
func TestMachinesReachNoController(t *testing.T) {
	for _, ends := range []bool{false, true} {
		for _, long := range []time.Duration{15 * time.Second, 40 * time.Second, 90 * time.Second} {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprintf("ends=%v %v all=%v", ends, long, all), func(t *testing.T) {
					t.Parallel()
					w := newSmallWorld(6, testSettings())
					ids := w.submitMany("x", "ops", 8, 2, 2, 2*time.Minute)
					w.Run(60 * time.Second)
					var quiet []string
					for i, id := range ids {
						for _, m := range w.machinesRunning(id) {
							if (all || i < 3) && !slices.Contains(quiet, m.ID) {
								quiet = append(quiet, m.ID)
							}
						}
					}
					w.blockHeartbeats(quiet, long)
					last := w.trackLastRun(ids[0])
					w.Run(2 * time.Second)
					if ends {
						w.CrashController(w.shardLeaderOf("ops"), 5*time.Second)
					}
					w.Run(3 * time.Second)
					w.Cancel(ids[0])
					checkStoppedWithin(t, w, last, maxStopTime)
					w.Run(long)
					if len(quiet) < 2 || long > time.Minute && w.LostToLease == 0 || long < 24*time.Second && w.LostToLease > 0 {
						t.Errorf("got %d tasks lost to leases on %d machines in %v, want some after a minute and none within a lease", w.LostToLease, len(quiet), long)
					}
					w.Run(6 * time.Minute)
					checkFinalAnswers(t, w, true)
					checkNoViolations(t, w)
				})
			}
		}
	}
}

// TestCommandOfFormerLeader delays a command of a leader that then crashes. If it arrives before the
// successor has reached the machine it is executed once and taken over, and afterwards it is refused.
func TestCommandOfFormerLeader(t *testing.T) {
	var early, late atomic.Int64
	t.Run("offsets", func(t *testing.T) {
		for _, kind := range []model.TaskCommandKind{model.StartTask, model.StopTask} {
			held := []float64{0.5, 1, 2, 3, 4, 4.5, 5, 5.5, 6, 7, 8, 10, 12, 16}
			for _, i := range sampleCases(len(held), 7) {
				d := held[i]
				t.Run(fmt.Sprintf("%s %v", kind, d), func(t *testing.T) {
					t.Parallel()
					w := newTestWorldOfSize(8, 3)
					w.submitMany("f", "ops", 4, 1, 2, 4*time.Minute)
					w.submitMany("g", "ops", 2, 2, 2, 20*time.Second)
					w.Run(80 * time.Second)
					shardLeader := w.shardLeaderOf("ops")
					var op message.WorkerRequest
					if w.runningTasks("job-f000") == 0 {
						t.Fatal("got no running task of job-f000")
					}
					last := w.trackLastRun("job-f000", "job-f001")
					held, done, accepted := false, false, false
					w.corruptEffect = func(e message.Effect) message.Effect {
						x, ok := e.(message.WorkerRequest)
						if held || !ok || !slices.ContainsFunc(x.Commands, func(o model.TaskCommand) bool { return o.Kind == kind }) {
							return e
						}
						held, op = true, x
						w.schedule(time.Millisecond, func() { w.CrashController(shardLeader, 5*time.Second) })
						w.schedule(record.DurationOfSeconds(d), func() {
							m := w.machines[op.Machine]
							if seen := m.epoch > op.Epoch; seen {
								late.Add(1)
							} else {
								early.Add(1)
							}
							done, accepted = true, w.executeDirect(m, op).OK
							if accepted != (m.epoch <= op.Epoch) {
								t.Errorf("command of epoch %d at a machine of epoch %d: got accepted %v", op.Epoch, m.epoch, accepted)
							}
						})
						return nil
					}
					if kind == model.StopTask {
						w.Cancel("job-f000")
						w.Cancel("job-f001")
					} else {
						w.submitMany("x", "ops", 4, 1, 2, 30*time.Second)
					}
					w.waitUntil(time.Minute, func() bool { return held })
					w.Run(20 * time.Second)
					if !held || !done {
						t.Fatalf("got command held %v, delivered %v, want both", held, done)
					}
					if kind == model.StopTask {
						checkStoppedWithin(t, w, last, maxStopTime)
					}
					w.Run(4 * time.Minute)
					if want := map[model.TaskCommandKind]int{model.StartTask: 12, model.StopTask: 8}[kind]; w.Starts != want {
						t.Errorf("got %d starts, want %d", w.Starts, want)
					}
					checkFinalAnswers(t, w, true)
					checkNoViolations(t, w)
				})
			}
		}
	})
	t.Logf("%d commands arrived before the successor's epoch, %d after", early.Load(), late.Load())
	if early.Load() == 0 || late.Load() == 0 {
		t.Errorf("got %d commands before the successor's epoch and %d after, want some of each", early.Load(), late.Load())
	}
}
