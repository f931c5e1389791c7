package standin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// noHalts takes the stops out of whatever goes to workers.
func noHalts(e core.Effect) core.Effect {
	return withoutOrders(e, func(o core.TaskCommand) bool { return o.Kind == core.StopTask })
}

// TestCancelledInTime: the checker of cancellations counts from the answer that leaves a
// controller, also when nobody hears it, and looks at every machine until its lease ends.
// The core is made wrong on purpose, and the workers' lease longer than it knows.
func TestCancelledInTime(t *testing.T) {
	const id = "job-000001"
	for _, c := range []struct {
		name   string
		broken bool
		image  float64
		// abort: the world as it is when its user cancels the job.
		abort func(*World)
	}{
		{"stops lost until just before", false, 1, func(w *World) {
			till := w.now.Add(w.cancel - 12*time.Second)
			w.sabotage = func(e core.Effect) core.Effect {
				if w.now.Before(till) {
					return noHalts(e)
				}
				return e
			}
		}},
		{"stops lost until just after", true, 1, func(w *World) {
			till := w.now.Add(w.cancel + 2*time.Second)
			w.sabotage = func(e core.Effect) core.Effect {
				if w.now.Before(till) {
					return noHalts(e)
				}
				return e
			}
		}},
		{"stops lost and the answers too", true, 1, func(w *World) {
			w.sabotage = noHalts
			w.cutOneWay("*", "user", time.Hour)
		}},
		{"a machine hangs", true, 1, func(w *World) {
			for _, m := range w.fleet {
				m.hungTill = w.now.Add(time.Hour)
			}
		}},
		{"a machine hangs while it fetches", true, 30, func(w *World) {
			for _, m := range w.fleet {
				m.hungTill = w.now.Add(time.Hour)
			}
		}},
		{"nothing reaches a machine", true, 1, func(w *World) { w.DeafMachines(sorted(w.machine), time.Hour, false) }},
		{"a machine is silent", true, 1, func(w *World) {
			for id := range w.machine {
				w.Cut(id, "*", time.Hour, false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(3)
			w.Submit(core.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: core.Normal, Tasks: 2, Need: core.Resources{CPU: 2, Memory: 2},
				Image: "i", ImageGB: c.image, ExpectedRunTime: time.Hour}, time.Hour, false)
			w.Run(50 * time.Second)
			// No machine is returned, and no lease ends.
			w.cloudOut, w.set.WorkerLease = true, time.Hour
			c.abort(w)
			w.Abort(id)
			w.Run(w.cancel - time.Second)
			if len(w.Broken) > 0 {
				t.Errorf("broken before the time is over: %v", w.Broken)
			}
			w.Run(20 * time.Second)
			if got := strings.Contains(strings.Join(w.Broken, "\n"), "ran_cancelled"); got != c.broken {
				t.Errorf("told %q, confirmed at %v, broken %v", w.jobs[id].told, w.jobs[id].cancelled, w.Broken)
			}
		})
	}
}

// TestMeetingsNoticeWhatIsWrong: each job is asked about for itself once all is over, also
// one that was cancelled, and also at one controller alone.
func TestMeetingsNoticeWhatIsWrong(t *testing.T) {
	d := DrawDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 40, Minutes: 1, Hot: 1, Meetings: true})
	d.Faults = []DayFault{{Kind: "crash", At: 40 * time.Second, For: 5 * time.Second}}
	d.Cancels = &MassCancel{Class: "import", Share: 1, At: 35 * time.Second, For: 20 * time.Second}
	cancelled := 0
	good := d.play("", func(w *World, e core.Effect) core.Effect {
		if r, ok := e.(core.UserReply); ok && r.State == "cancelled" {
			cancelled++
		}
		return e
	})
	if len(good.Broken) > 0 || cancelled == 0 {
		t.Fatalf("the day itself is bad: %d answers of cancellations, %v", cancelled, good.Broken)
	}
	for _, c := range []struct {
		name string
		// wrong: what happens to an effect once the day's troubles are over.
		wrong func(*World, core.Effect) core.Effect
	}{
		{"no answer about cancelled jobs", func(_ *World, e core.Effect) core.Effect {
			if r, ok := e.(core.UserReply); ok && r.State == "cancelled" {
				return nil
			}
			return e
		}},
		{"one controller's answers don't arrive", func(w *World, e core.Effect) core.Effect {
			if w.oneWay["node-1>user"] == 0 {
				w.cutOneWay("node-1", "user", time.Hour)
			}
			return e
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := d.play("", func(w *World, e core.Effect) core.Effect {
				if w.now.Before(w.calm.Add(20 * time.Second)) {
					return e
				}
				return c.wrong(w, e)
			})
			if !strings.Contains(strings.Join(r.Broken, "\n"), "forgotten") {
				t.Errorf("nothing forgotten: %v", r.Broken)
			}
		})
	}
}

// TestMeetings plays a few drawn days on which troubles meet; many more are played by
// micahill-lab days --meetings.
func TestMeetings(t *testing.T) {
	for seed := range drawnDays(t, 5, 2) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			d := DrawDay(DayParams{Seed: seed + 1, Machines: 40, Meetings: true})
			r := PlayDay(d, "")
			for _, b := range append(r.Broken, r.Starved()...) {
				t.Error(b)
			}
			if t.Failed() {
				t.Logf("%v %v", d.Cancels, d.Faults)
				t.Log(strings.Join(r.Log[max(0, len(r.Log)-60):], "\n"))
			}
		})
	}
}

// TestMeetingsAreDrawnApart: what a meeting adds is drawn from its own numbers, and all
// its troubles overlap but an end of all at the close.
func TestMeetingsAreDrawnApart(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(200) {
		with, without := DrawDay(DayParams{Seed: seed, Meetings: true}), DrawDay(DayParams{Seed: seed})
		if fmt.Sprint(with.Settings) != fmt.Sprint(without.Settings) || with.Jobs != without.Jobs {
			t.Fatalf("day %d is another one with a meeting", seed)
		}
		// Two or three, on some days a later one, and an end of all.
		if len(with.Faults) < 2 || len(with.Faults) > 5 || with.Cancels == nil {
			t.Fatalf("day %d has %v, %v", seed, with.Faults, with.Cancels)
		}
		for _, f := range with.Faults {
			kinds[f.Kind] = true
			if f.AtOnce || f.ForNext {
				kinds[f.Kind+map[bool]string{true: ".at_once", false: ".for_next"}[f.AtOnce]] = true
			}
			if f.At-with.Faults[0].At > apartMost && (f.Kind != "crash_all" || f != with.Faults[len(with.Faults)-1]) {
				t.Errorf("day %d: %v do not meet", seed, with.Faults)
			}
		}
	}
	for _, k := range append(slices.Clone(meetingKinds), laterKinds...) {
		if !kinds[k] {
			t.Errorf("no %s in 200 days", k)
		}
	}
}

// TestLateWrites: a transaction that is carried out late comes after newer ones of the
// same controller.
func TestLateWrites(t *testing.T) {
	w := newTestWorld(1)
	w.Run(20 * time.Second)
	value := []byte{0x80}
	w.LateWrites(1, time.Second)
	p := w.nodes[0]
	write := func(key string) {
		p.stateOp(core.StoreRequest{ID: 1 << 40, Kind: core.OpTxn, Writes: []core.Write{{Key: key, Value: value}}}, w.now.Add(time.Minute))
	}
	there := func(key string) bool { return w.state.rows[key] != nil }
	write("x/old")
	w.Run(time.Second)
	write("x/new")
	w.Run(900 * time.Millisecond)
	if there("x/old") || !there("x/new") {
		t.Errorf("after 1.9 s: old %v, new %v", there("x/old"), there("x/new"))
	}
	w.Run(lateWriteMost)
	if !there("x/old") || w.state.rows["x/old"].stamp < w.state.rows["x/new"].stamp {
		t.Errorf("the old one is not there, or not after the new one")
	}
}

// TestRefusedOutage: one controller alone is refused and its watches tell nothing, then
// the service is away for all, and every lease is there afterwards.
func TestRefusedOutage(t *testing.T) {
	w := newTestWorld(1)
	w.Run(20 * time.Second)
	p := w.nodes[w.leader(0)]
	told := 0
	p.watch(core.StoreRequest{Kind: core.OpWatch, Key: "x/", Revision: w.state.rev, WatchTimeout: time.Hour}, w.now.Add(time.Hour), func(core.StoreResponse) { told++ })
	w.meetingTrouble(DayFault{Kind: "refused_outage", Node: p.index, Late: 2 * time.Second, For: time.Minute})
	w.Run(time.Second)
	if !p.stateNo || w.outage {
		t.Error("not the one alone")
	}
	w.state.txn(core.StoreRequest{Writes: []core.Write{{Key: "x/1", Value: []byte{0x80}}}}, &core.StoreResponse{})
	w.Run(time.Second)
	grants := len(w.state.grants)
	w.Run(50 * time.Second)
	if !w.outage || told > 0 || len(w.state.grants) != grants {
		t.Errorf("outage %v, %d answers of the watch, %d leases of %d", w.outage, told, len(w.state.grants), grants)
	}
	w.Run(15 * time.Second)
	if w.outage || p.stateNo || told != 1 {
		t.Errorf("outage %v, refused %v, %d answers of the watch", w.outage, p.stateNo, told)
	}
}
