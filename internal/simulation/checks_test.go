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

// dropCommands removes the commands that match from an effect for a worker.
func dropCommands(e message.Effect, which func(model.TaskCommand) bool) message.Effect {
	switch x := e.(type) {
	case message.WorkerRequest:
		x.Commands = slices.DeleteFunc(slices.Clone(x.Commands), which)
		return x
	case message.HeartbeatReply:
		x.Commands = slices.DeleteFunc(slices.Clone(x.Commands), which)
		return x
	}
	return e
}

// dropStarts removes the start commands that match from an effect for a worker.
func dropStarts(e message.Effect, which func(model.TaskCommand) bool) message.Effect {
	return dropCommands(e, func(o model.TaskCommand) bool { return o.Kind == model.StartTask && which(o) })
}

// TestDayChecksDetectCorruption checks that each check of a day fails on a controller that is corrupted on
// purpose, and none on the same day with a correct one.
func TestDayChecksDetectCorruption(t *testing.T) {
	d := GenerateDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 24, Minutes: 1, FaultCount: -1, HotFactor: 1})
	d.Faults = []Fault{{Kind: "crash", At: 40 * time.Second, Duration: 5 * time.Second}}
	class := func(w *World, id string) string {
		if j := w.jobs[id]; j != nil {
			return j.spec.Workload
		}
		return ""
	}
	// The largest job of a class is the same in the middle of the day as at its end.
	top := func(w *World, name string) *userJob { return w.largestJobs()[name][0][0] }
	largest := ""
	good := d.run("", func(w *World, e message.Effect) message.Effect {
		if w.now.Sub(w.startedAt) > 100*time.Second && largest == "" {
			largest = top(w, "rush").spec.ID
		}
		return e
	})
	if len(good.Violations) > 0 || len(good.Starved()) > 0 {
		t.Fatalf("uncorrupted day: got violations %v, starved %v, want none", good.Violations, good.Starved())
	}
	if worst := good.Worst(); worst.AllStartedS <= 0 || worst.AllStartedS < worst.FirstStartS {
		t.Errorf("largest job: got first start after %v s and all tasks after %v s, want them in this order", worst.FirstStartS, worst.AllStartedS)
	}
	ended := func(w *World) bool { return w.now.Sub(w.startedAt) > 110*time.Second }
	for _, c := range []struct {
		name, want string
		broken     bool
		sabotage   func(*World, message.Effect) message.Effect
	}{
		{"no answer about one ended job", "forgotten", true, func(w *World, e message.Effect) message.Effect {
			if r, ok := e.(message.UserReply); ok && ended(w) && r.ID == largest {
				return nil
			}
			return e
		}},
		{"refusals for all", "forgotten", true, func(w *World, e message.Effect) message.Effect {
			if r, ok := e.(message.UserReply); ok && ended(w) {
				r.Status = 503
				return r
			}
			return e
		}},
		{"the largest job never started", "rush 0.00 of its largest jobs", false, func(_ *World, e message.Effect) message.Effect {
			return dropStarts(e, func(o model.TaskCommand) bool { return o.Job == largest })
		}},
		{"only its first task started", "first after", false, func(_ *World, e message.Effect) message.Effect {
			return dropStarts(e, func(o model.TaskCommand) bool { return o.Job == largest && o.Index > 0 })
		}},
		{"the largest job started late", "rush begins late: " + largest, false, func(w *World, e message.Effect) message.Effect {
			return dropStarts(e, func(o model.TaskCommand) bool {
				return o.Job == largest && w.now.Before(w.jobs[largest].submitted.Add(maxStartWait+5*time.Second))
			})
		}},
		{"a class never started", "batch 0.00 of", false, func(w *World, e message.Effect) message.Effect {
			return dropStarts(e, func(o model.TaskCommand) bool { return class(w, o.Job) == "batch" })
		}},
		{"a team never started", "team-b 0.00 of", false, func(w *World, e message.Effect) message.Effect {
			return dropStarts(e, func(o model.TaskCommand) bool { j := w.jobs[o.Job]; return j != nil && j.spec.Team == "team-b" })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := d.run("", c.sabotage)
			got := r.Starved()
			if c.broken {
				got = r.Violations
			}
			if !strings.Contains(strings.Join(got, "\n"), c.want) {
				t.Errorf("got %q, want %q in it", got, c.want)
			}
		})
	}
}

// TestExtendedDeadline checks that faults which leave no capacity extend the time to start by their
// length, counting overlaps once.
func TestExtendedDeadline(t *testing.T) {
	at := func(kind string, from, length int) Fault {
		return Fault{Kind: kind, At: time.Duration(from) * time.Second, Duration: time.Duration(length) * time.Second}
	}
	d := Day{Faults: []Fault{at("cloud", 0, 30), at("die", 50, 500), at("outage", 100, 40), at("capacity", 120, 40), at("crash_all", 270, 50), at("cloud", 900, 50)}}
	for from, want := range map[int]int{20: 20 + 240 + 10 + 60 + 5, 165: 165 + 240 + 5, 300: 540, 700: 700 + 240 + 50} {
		if got := d.extendedDeadline(time.Duration(from)*time.Second, maxStartWait); got != time.Duration(want)*time.Second {
			t.Errorf("submitted at %d s: got start deadline %v, want %d s", from, got, want)
		}
	}
}

// TestProtocolFaultDays plays days with protocol faults and models, with 3 and 5 controllers, and
// with users who poll 8, 30 and 100 times as often as usual.
func TestProtocolFaultDays(t *testing.T) {
	storm := func(polls float64) []Fault {
		return []Fault{{Kind: "polls", At: 20 * time.Second, Duration: time.Minute, Fraction: polls}}
	}
	for _, c := range []struct {
		p      DayParams
		faults []Fault
	}{
		{DayParams{Seed: 1, Controllers: 3, Machines: 40, Teams: 2, Minutes: 2, ProtocolFaults: true, Models: 4}, nil},
		{DayParams{Seed: 2, Controllers: 5, Machines: 60, Teams: 3, Minutes: 2, ProtocolFaults: true}, nil},
		{DayParams{Seed: 3, Controllers: 3, Machines: 60, Teams: 2, Minutes: 2, FaultCount: -1, UnlistedFaults: true}, storm(8)},
		{DayParams{Seed: 4, Controllers: 5, Machines: 60, Teams: 2, Minutes: 2, FaultCount: -1, UnlistedFaults: true}, storm(30)},
		{DayParams{Seed: 5, Controllers: 3, Machines: 60, Teams: 1, Minutes: 2, FaultCount: -1, UnlistedFaults: true}, storm(100)},
	} {
		t.Run(fmt.Sprintf("%d-%d", c.p.Seed, c.p.Controllers), func(t *testing.T) {
			t.Parallel()
			d := GenerateDay(c.p)
			if c.faults != nil {
				d.Faults, d.failingFraction = c.faults, 0
			}
			r := RunDay(d, "")
			reportViolations(t, append(r.Violations, r.Starved()...))
			if m := r.ModelStats; c.p.Models > 0 && (m == nil || m.LargeModels == 0) {
				t.Errorf("got model stats %+v, want large models", m)
			}
			if t.Failed() {
				t.Logf("%+v", d.Faults)
				logTail(t, r.Log, 60)
			}
		})
	}
}
