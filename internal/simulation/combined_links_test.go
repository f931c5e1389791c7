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

// deliverToAll brings a report to every controller, and tells of their answers.
func (w *World) deliverToAll(r model.Heartbeat, tell func(message.HeartbeatReply)) {
	for _, p := range w.controllers {
		p.request(func(reply uint64) message.Command { return message.WorkerHeartbeat{Reply: reply, Heartbeat: r} }, func(e message.Effect) { tell(e.(message.HeartbeatReply)) })
	}
}

// TestOldReportAtEveryController: a report of before a start, or of while it ran, is held
// back and reaches all controllers just as a new leader begins. It proves nothing: what
// still runs on a machine that is cut off is not started again, and if it was cancelled,
// its team's limit leaves no room for others. And it prolongs nothing: what was on a
// machine that died begins again as soon as without the report.
func TestOldReportAtEveryController(t *testing.T) {
	// play returns when the next start came, reckoned from the end of the owner, and how
	// many copies were answered.
	play := func(t *testing.T, before bool, kind string, at time.Duration) (next time.Duration, answered int) {
		set := testSettings()
		set.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: 7}}}
		w := newSmallWorld(5, set)
		// Two machines with room for one of the small jobs each.
		w.submitMany("f", "ops", 2, 1, 3, 3*time.Minute)
		w.Run(45 * time.Second)
		// Of machines without the task, and later with it.
		var old []model.Heartbeat
		for _, m := range w.fleet {
			old = append(old, m.heartbeat(w.now))
		}
		id := w.submitMany("x", "ops", 1, 1, 1, 3*time.Minute)[0]
		w.Run(10 * time.Second)
		ms := w.machinesRunning(id)
		if len(ms) != 1 {
			t.Fatalf("%d machines have the task", len(ms))
		}
		m := ms[0]
		i := slices.IndexFunc(old, func(r model.Heartbeat) bool { return r.Machine == m.ID })
		if i < 0 {
			t.Fatal("the task did not come to a machine that had reported before")
		}
		r := old[i]
		if !before {
			r = m.heartbeat(w.now)
		}
		w.Run(4 * time.Second)
		// No return is a proof, only the lease is.
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
			// Three times, as a worker repeats its report.
			for k := range 3 {
				w.schedule(at+time.Duration(k)*time.Second, func() { w.deliverToAll(r, func(message.HeartbeatReply) { answered++ }) })
			}
		}
		if next = w.waitUntil(3*time.Minute, func() bool { return w.Starts > started }); next < 0 {
			t.Error("nothing began any more")
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
						t.Errorf("%d copies were answered", answered)
					}
					if next > plain+5*time.Second {
						t.Errorf("the next start came after %v, without the old report after %v", next, plain)
					}
				})
			}
		}
	}
}

// TestZoneBoundJobsLoseMachines: jobs bound to one zone, of one task and arrays, apart and
// not, while half of the zone's machines die and some of the rest are cut off.
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
				t.Fatal("no machine with tasks was lost")
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

// TestTenHandOvers: whoever leads ends ten times in two minutes, with the state service
// away for most of that, or in times of some seconds, while jobs come and are cancelled.
func TestTenHandOvers(t *testing.T) {
	for _, outage := range []struct {
		name       string
		from, long time.Duration
		every      time.Duration
		// changes is how often the lead passed on at least.
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
				t.Logf("%d changes of the lead, %d ends inside an outage", changes, inside)
				if changes < outage.changes || inside == 0 && outage.long > 0 {
					t.Errorf("%d changes of the lead, %d ends inside an outage", changes, inside)
				}
				for i, id := range sortedKeys(w.jobs) {
					if want := []string{"done", "cancelled"}[boolInt(slices.Contains(cancelled, id))]; w.jobs[id].lastState != want {
						t.Errorf("%d: %s is %q", i, id, w.jobs[id].lastState)
					}
				}
				checkNoViolations(t, w)
			})
		}
	}
}

// minCancelWithin leaves hardly any room beside a lease.
const minCancelWithin = 28 * time.Second

// TestLeaderCutWhileOthersCancel: a leader loses the state service and the other
// controllers; its workers, some of which reach only it, and users still reach it. Jobs are
// cancelled through the new leader: they are gone in time, and the former one doesn't say
// otherwise.
func TestLeaderCutWhileOthersCancel(t *testing.T) {
	for _, cancel := range []time.Duration{testCancelWithin, minCancelWithin} {
		for _, wait := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("cancel=%v %v", cancel, wait), func(t *testing.T) {
				t.Parallel()
				types, room := testTypes()
				w := NewWorld(2, 3, testSettings(), cancel, types, room)
				ids := w.submitMany("x", "ops", 6, 2, 2, 10*time.Minute)
				w.Run(60 * time.Second)
				former := w.shardLeaderOf("ops")
				if w.leaderIndex(-1) != former {
					t.Fatal("the owner does not lead")
				}
				// No return is a proof: the cloud is away.
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
							t.Errorf("the cancellation of %s: %v", id, r)
						}
					})
				}
				w.Run(500 * time.Millisecond)
				if n := w.runningTasks(ids[0]); n == 0 || w.jobs[ids[0]].cancelledAt.IsZero() {
					t.Errorf("%d tasks when it is confirmed", n)
				}
				asked := 0
				for end := w.now.Add(80 * time.Second); w.now.Before(end); w.Run(time.Second) {
					for _, id := range ids {
						asked++
						w.userRequestTo(former, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} }, 2*time.Second, func(r *message.UserReply) {
							if r != nil && r.Status == 200 && r.State != "cancelled" {
								t.Errorf("the former leader calls %s %s", id, r.State)
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

// partitionZone cuts a zone's machines and one controller off from all else for d; what is
// rented there meanwhile too.
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

// TestZoneCutOffWithItsController: for longer than a lease, with the controller that owns
// the work or another one in the zone, while some of its jobs are cancelled and new ones
// come.
func TestZoneCutOffWithItsController(t *testing.T) {
	for _, owns := range []bool{true, false} {
		for _, long := range []time.Duration{26 * time.Second, 90 * time.Second} {
			for kind, cancel := range map[string]time.Duration{"held": testCancelWithin, "lost": testCancelWithin, "lost, no cloud": minCancelWithin} {
				t.Run(fmt.Sprintf("owns=%v %v %s", owns, long, kind), func(t *testing.T) {
					t.Parallel()
					types, room := testTypes()
					w := NewWorld(4, 3, testSettings(), cancel, types, room)
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
						t.Fatal("nothing runs in the zone")
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
						t.Error("the cancelled job is gone before anybody can have told its machines")
					}
					w.submitMany("n", "ops", 3, 1, 2, 20*time.Second)
					w.Run(long)
					// An owner in the zone answers for its grace.
					if w.cloudOutage = false; w.LostToLease == 0 && kind == "lost, no cloud" && (!owns || long > time.Minute) {
						t.Error("no lease ran out")
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

// blockHeartbeats lets machines reach no controller for d, while direct commands reach them and are
// answered.
func (w *World) blockHeartbeats(ids []string, d time.Duration) {
	till, send := w.now.Add(d), w.heartbeatSender
	w.heartbeatSender = func(m *Worker) {
		if !slices.Contains(ids, m.ID) || !w.now.Before(till) {
			send(m)
			return
		}
		life := m.process
		w.schedule(4*time.Second, func() {
			if m.process == life {
				m.heartbeatPending, m.controller, m.nextHeartbeatAt = false, (m.controller+1)%len(w.controllers), w.now.Add(time.Second)
			}
		})
	}
}

// TestMachinesReachNoController: machines can open no connections, and direct commands reach them, for
// less and for longer than a lease; jobs there are cancelled, and their owner ends.
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
						t.Errorf("%d tasks were lost to leases on %d machines", w.LostToLease, len(quiet))
					}
					w.Run(6 * time.Minute)
					checkFinalAnswers(t, w, true)
					checkNoViolations(t, w)
				})
			}
		}
	}
}

// TestCommandOfFormerLeader: a leader's command is held up on its way, the leader ends, and
// the command arrives before its successor has reached the machine, or after: it is
// carried out once and taken over, or refused.
func TestCommandOfFormerLeader(t *testing.T) {
	var early, late atomic.Int64
	t.Run("offsets", func(t *testing.T) {
		for _, verb := range []model.TaskCommandKind{model.StartTask, model.StopTask} {
			held := []float64{0.5, 1, 2, 3, 4, 4.5, 5, 5.5, 6, 7, 8, 10, 12, 16}
			for _, i := range sampleCases(len(held), 7) {
				d := held[i]
				t.Run(fmt.Sprintf("%s %v", verb, d), func(t *testing.T) {
					t.Parallel()
					w := newTestWorldOfSize(8, 3)
					w.submitMany("f", "ops", 4, 1, 2, 4*time.Minute)
					w.submitMany("g", "ops", 2, 2, 2, 20*time.Second)
					w.Run(80 * time.Second)
					shardLeader := w.shardLeaderOf("ops")
					var op message.WorkerRequest
					if w.runningTasks("job-f000") == 0 {
						t.Fatal("nothing runs")
					}
					last := w.trackLastRun("job-f000", "job-f001")
					held, done, accepted := false, false, false
					w.corruptEffect = func(e message.Effect) message.Effect {
						x, ok := e.(message.WorkerRequest)
						if held || !ok || !slices.ContainsFunc(x.Commands, func(o model.TaskCommand) bool { return o.Kind == verb }) {
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
								t.Errorf("carried out %v at epoch %d of %d", accepted, op.Epoch, m.epoch)
							}
						})
						return nil
					}
					if verb == model.StopTask {
						w.Cancel("job-f000")
						w.Cancel("job-f001")
					} else {
						w.submitMany("x", "ops", 4, 1, 2, 30*time.Second)
					}
					w.waitUntil(time.Minute, func() bool { return held })
					w.Run(20 * time.Second)
					if !held || !done {
						t.Fatalf("held %v, arrived %v", held, done)
					}
					if verb == model.StopTask {
						checkStoppedWithin(t, w, last, maxStopTime)
					}
					w.Run(4 * time.Minute)
					if want := map[model.TaskCommandKind]int{model.StartTask: 12, model.StopTask: 8}[verb]; w.Starts != want {
						t.Errorf("%d starts of %d tasks", w.Starts, want)
					}
					checkFinalAnswers(t, w, true)
					checkNoViolations(t, w)
				})
			}
		}
	})
	t.Logf("%d arrived before the successor's epoch, %d after", early.Load(), late.Load())
	if early.Load() == 0 || late.Load() == 0 {
		t.Error("not both were met")
	}
}
