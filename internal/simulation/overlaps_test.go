package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// dropStops removes the stop commands from an effect for a worker.
func dropStops(e message.Effect) message.Effect {
	return dropCommands(e, func(o model.TaskCommand) bool { return o.Kind == model.StopTask })
}

// TestCancelledInTime checks the checker of cancellations: it counts from the answer that leaves a
// controller, even if no user receives it, and watches every machine until its lease ends. The controllers
// are corrupted, and the workers' lease is longer than they know.
func TestCancelledInTime(t *testing.T) {
	const id = "job-000001"
	for _, c := range []struct {
		name     string
		violated bool
		image    float64
		// prepare is called just before the user cancels the job.
		prepare func(*World)
	}{
		{"stops lost until just before", false, 1, func(w *World) {
			till := w.now.Add(w.cancelWithin - 12*time.Second)
			w.corruptEffect = func(e message.Effect) message.Effect {
				if w.now.Before(till) {
					return dropStops(e)
				}
				return e
			}
		}},
		{"stops lost until just after", true, 1, func(w *World) {
			till := w.now.Add(w.cancelWithin + 2*time.Second)
			w.corruptEffect = func(e message.Effect) message.Effect {
				if w.now.Before(till) {
					return dropStops(e)
				}
				return e
			}
		}},
		{"stops lost and the answers too", true, 1, func(w *World) {
			w.corruptEffect = dropStops
			w.partitionOneWay("*", "user", time.Hour)
		}},
		{"a machine hangs", true, 1, func(w *World) {
			for _, m := range w.fleet {
				m.hungUntil = w.now.Add(time.Hour)
			}
		}},
		{"a machine hangs while it fetches", true, 30, func(w *World) {
			for _, m := range w.fleet {
				m.hungUntil = w.now.Add(time.Hour)
			}
		}},
		{"nothing reaches a machine", true, 1, func(w *World) { w.MakeUnreachable(sortedKeys(w.machines), time.Hour, false) }},
		{"the machines are partitioned", true, 1, func(w *World) {
			for id := range w.machines {
				w.Partition(id, "*", time.Hour, false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(3)
			w.Submit(model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2, Need: model.Resources{CPU: 2, Memory: 2},
				Image: "i", ImageGB: c.image, ExpectedRunTime: time.Hour}, time.Hour, false)
			w.Run(50 * time.Second)
			// No machine is released, and no lease ends.
			w.cloudOutage, w.settings.WorkerLease = true, time.Hour
			c.prepare(w)
			w.Cancel(id)
			w.Run(w.cancelWithin - time.Second)
			if len(w.Violations) > 0 {
				t.Errorf("got violations before cancel_s is over: %v", w.Violations)
			}
			w.Run(20 * time.Second)
			if got := strings.Contains(strings.Join(w.Violations, "\n"), "ran_cancelled"); got != c.violated {
				t.Errorf("got violation %v, want %v: state %q, confirmed at %v, violations %v", got, c.violated, w.jobs[id].lastState, w.jobs[id].cancelledAt, w.Violations)
			}
		})
	}
}

// TestOverlapChecksDetectCorruption checks that each job is queried by itself after the day, cancelled ones too, and
// at each controller alone.
func TestOverlapChecksDetectCorruption(t *testing.T) {
	d := GenerateDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 40, Minutes: 1, HotFactor: 1, OverlappingFaults: true})
	d.Faults = []Fault{{Kind: "crash", At: 40 * time.Second, Duration: 5 * time.Second}}
	d.Cancels = &MassCancel{Workload: "import", Fraction: 1, At: 35 * time.Second, Duration: 20 * time.Second}
	cancelled := 0
	good := d.run("", func(w *World, e message.Effect) message.Effect {
		if r, ok := e.(message.UserReply); ok && r.State == "cancelled" {
			cancelled++
		}
		return e
	})
	if len(good.Violations) > 0 || cancelled == 0 {
		t.Fatalf("uncorrupted day: got %d answers of cancellations, violations %v, want some and none", cancelled, good.Violations)
	}
	for _, c := range []struct {
		name string
		// corrupt changes an effect once the day's faults are over.
		corrupt func(*World, message.Effect) message.Effect
	}{
		{"no answer about cancelled jobs", func(_ *World, e message.Effect) message.Effect {
			if r, ok := e.(message.UserReply); ok && r.State == "cancelled" {
				return nil
			}
			return e
		}},
		{"one controller's answers don't arrive", func(w *World, e message.Effect) message.Effect {
			if w.oneWayPartitions["node-1>user"] == 0 {
				w.partitionOneWay("node-1", "user", time.Hour)
			}
			return e
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := d.run("", func(w *World, e message.Effect) message.Effect {
				if w.now.Before(w.faultsEndAt.Add(20 * time.Second)) {
					return e
				}
				return c.corrupt(w, e)
			})
			if !strings.Contains(strings.Join(r.Violations, "\n"), "forgotten") {
				t.Errorf("got violations %v, want forgotten in them", r.Violations)
			}
		})
	}
}

// TestOverlappingFaults plays a few random days on which faults overlap. Many more are played by
// micahill-lab days --meetings.
func TestOverlappingFaults(t *testing.T) {
	for seed := range dayCount(t, 5, 2) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			d := GenerateDay(DayParams{Seed: seed + 1, Machines: 40, OverlappingFaults: true})
			r := RunDay(d, "")
			reportViolations(t, append(r.Violations, r.Starved()...))
			if t.Failed() {
				t.Logf("%v %v", d.Cancels, d.Faults)
				logTail(t, r.Log, 60)
			}
		})
	}
}

// TestOverlapsUseOwnGenerator checks that the overlapping faults of a day are drawn from a generator of
// their own, and that all of them overlap but a crash of all controllers at the end.
func TestOverlapsUseOwnGenerator(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(200) {
		with, without := GenerateDay(DayParams{Seed: seed, OverlappingFaults: true}), GenerateDay(DayParams{Seed: seed})
		if fmt.Sprint(with.Settings) != fmt.Sprint(without.Settings) || with.Jobs != without.Jobs {
			t.Fatalf("day %d: got other settings or jobs with overlapping faults, want the same", seed)
		}
		// Two or three, on some days a later one, and a crash of all controllers.
		if len(with.Faults) < 2 || len(with.Faults) > 5 || with.Cancels == nil {
			t.Fatalf("day %d: got faults %v, cancels %v, want 2 to 5 faults and cancels", seed, with.Faults, with.Cancels)
		}
		for _, f := range with.Faults {
			kinds[f.Kind] = true
			if f.Immediate || f.ForNextLeader {
				kinds[f.Kind+map[bool]string{true: ".at_once", false: ".for_next"}[f.Immediate]] = true
			}
			if f.At-with.Faults[0].At > maxFaultSpacing && (f.Kind != "crash_all" || f != with.Faults[len(with.Faults)-1]) {
				t.Errorf("day %d: got faults %v, want them to overlap", seed, with.Faults)
			}
		}
	}
	for _, k := range append(slices.Clone(overlapFaultKinds), extraFaultKinds...) {
		if !kinds[k] {
			t.Errorf("got no fault %s on 200 days", k)
		}
	}
}

// TestLateWrites checks that a transaction which is applied late comes after newer ones of the same
// controller.
func TestLateWrites(t *testing.T) {
	w := newTestWorld(1)
	w.Run(20 * time.Second)
	value := []byte{0x80}
	w.DelayWrites(1, time.Second)
	p := w.controllers[0]
	write := func(key string) {
		p.sendStoreRequest(message.StoreRequest{ID: 1 << 40, Kind: message.OpTxn, Writes: []message.Write{{Key: key, Value: value}}}, w.now.Add(time.Minute))
	}
	exists := func(key string) bool { return w.state.records[key] != nil }
	write("x/old")
	w.Run(time.Second)
	write("x/new")
	w.Run(900 * time.Millisecond)
	if exists("x/old") || !exists("x/new") {
		t.Errorf("after 1.9 s: got old record %v, new record %v, want only the new one", exists("x/old"), exists("x/new"))
	}
	w.Run(maxWriteDelay)
	if !exists("x/old") || w.state.records["x/old"].modRevision < w.state.records["x/new"].modRevision {
		t.Errorf("got the old record missing or with a lower revision than the new one")
	}
}

// TestRefusedOutage has one controller refused, whose watches bring nothing, and then an outage for all.
// Afterwards every lease is still there.
func TestRefusedOutage(t *testing.T) {
	w := newTestWorld(1)
	w.Run(20 * time.Second)
	p := w.controllers[w.leaderIndex(0)]
	watched := 0
	p.openWatch(message.StoreRequest{Kind: message.OpWatch, Key: "x/", Revision: w.state.revision, WatchTimeout: time.Hour}, w.now.Add(time.Hour), func(message.StoreResponse) { watched++ })
	w.startOverlapFault(Fault{Kind: "refused_outage", Controller: p.index, Delay: 2 * time.Second, Duration: time.Minute})
	w.Run(time.Second)
	if !p.stateRefused || w.stateOutage {
		t.Errorf("got controller refused %v, outage %v, want only the controller refused", p.stateRefused, w.stateOutage)
	}
	w.state.txn(message.StoreRequest{Writes: []message.Write{{Key: "x/1", Value: []byte{0x80}}}}, &message.StoreResponse{})
	w.Run(time.Second)
	leases := len(w.state.leases)
	w.Run(50 * time.Second)
	if !w.stateOutage || watched > 0 || len(w.state.leases) != leases {
		t.Errorf("got outage %v, %d watch responses, %d leases, want an outage, none and %d", w.stateOutage, watched, len(w.state.leases), leases)
	}
	w.Run(15 * time.Second)
	if w.stateOutage || p.stateRefused || watched != 1 {
		t.Errorf("after the outage: got outage %v, refused %v, %d watch responses, want false, false and 1", w.stateOutage, p.stateRefused, watched)
	}
}
