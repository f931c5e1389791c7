package standin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// withoutOrders takes the orders that a test picks out of whatever goes to workers.
func withoutOrders(e core.Effect, which func(core.TaskCommand) bool) core.Effect {
	switch x := e.(type) {
	case core.WorkerRequest:
		x.Commands = slices.DeleteFunc(slices.Clone(x.Commands), which)
		return x
	case core.HeartbeatReply:
		x.Commands = slices.DeleteFunc(slices.Clone(x.Commands), which)
		return x
	}
	return e
}

// noStarts does so with starts.
func noStarts(e core.Effect, which func(core.TaskCommand) bool) core.Effect {
	return withoutOrders(e, func(o core.TaskCommand) bool { return o.Kind == core.StartTask && which(o) })
}

// TestDaysNoticeWhatIsWrong: each condition on a day fails on a core made wrong on
// purpose, and none of them on the same day with the core as it is.
func TestDaysNoticeWhatIsWrong(t *testing.T) {
	d := DrawDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 24, Minutes: 1, Faults: -1, Hot: 1})
	d.Faults = []DayFault{{Kind: "crash", At: 40 * time.Second, For: 5 * time.Second}}
	class := func(w *World, id string) string {
		if j := w.jobs[id]; j != nil {
			return j.spec.Workload
		}
		return ""
	}
	// The largest of a class, in the end as in the middle: the day's jobs are known
	// by their names alone before they come.
	top := func(w *World, name string) *userJob { return w.largest()[name][0][0] }
	largest := ""
	good := d.play("", func(w *World, e core.Effect) core.Effect {
		if w.now.Sub(w.began) > 100*time.Second && largest == "" {
			largest = top(w, "rush").spec.ID
		}
		return e
	})
	if len(good.Broken) > 0 || len(good.Starved()) > 0 {
		t.Fatalf("the day itself is bad: %v %v", good.Broken, good.Starved())
	}
	if worst := good.Worst(); worst.All <= 0 || worst.All < worst.First {
		t.Errorf("the largest began after %v s, with all tasks after %v s", worst.First, worst.All)
	}
	ended := func(w *World) bool { return w.now.Sub(w.began) > 110*time.Second }
	for _, c := range []struct {
		name, want string
		broken     bool
		sabotage   func(*World, core.Effect) core.Effect
	}{
		{"no answer about one ended job", "forgotten", true, func(w *World, e core.Effect) core.Effect {
			if r, ok := e.(core.UserReply); ok && ended(w) && r.ID == largest {
				return nil
			}
			return e
		}},
		{"refusals for all", "forgotten", true, func(w *World, e core.Effect) core.Effect {
			if r, ok := e.(core.UserReply); ok && ended(w) {
				r.Status = 503
				return r
			}
			return e
		}},
		{"the largest put off for ever", "rush 0.00 of its largest jobs", false, func(_ *World, e core.Effect) core.Effect {
			return noStarts(e, func(o core.TaskCommand) bool { return o.Job == largest })
		}},
		{"all but its first task put off", "first after", false, func(_ *World, e core.Effect) core.Effect {
			return noStarts(e, func(o core.TaskCommand) bool { return o.Job == largest && o.Index > 0 })
		}},
		{"begun late", "rush begins late: " + largest, false, func(w *World, e core.Effect) core.Effect {
			return noStarts(e, func(o core.TaskCommand) bool {
				return o.Job == largest && w.now.Before(w.jobs[largest].submitted.Add(beginWithin+5*time.Second))
			})
		}},
		{"a class never started", "batch 0.00 of", false, func(w *World, e core.Effect) core.Effect {
			return noStarts(e, func(o core.TaskCommand) bool { return class(w, o.Job) == "batch" })
		}},
		{"a team never started", "team-b 0.00 of", false, func(w *World, e core.Effect) core.Effect {
			return noStarts(e, func(o core.TaskCommand) bool { j := w.jobs[o.Job]; return j != nil && j.spec.Team == "team-b" })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := d.play("", c.sabotage)
			told := r.Starved()
			if c.broken {
				told = r.Broken
			}
			if !strings.Contains(strings.Join(told, "\n"), c.want) {
				t.Errorf("no %q in %q", c.want, told)
			}
		})
	}
}

// TestLater: what troubles without any room take of the time to begin in is given back,
// what overlaps once.
func TestLater(t *testing.T) {
	at := func(kind string, from, length int) DayFault {
		return DayFault{Kind: kind, At: time.Duration(from) * time.Second, For: time.Duration(length) * time.Second}
	}
	d := Day{Faults: []DayFault{at("cloud", 0, 30), at("die", 50, 500), at("outage", 100, 40), at("capacity", 120, 40), at("crash_all", 270, 50), at("cloud", 900, 50)}}
	for from, want := range map[int]int{20: 20 + 240 + 10 + 60 + 5, 165: 165 + 240 + 5, 300: 540, 700: 700 + 240 + 50} {
		if got := d.later(time.Duration(from)*time.Second, beginWithin); got != time.Duration(want)*time.Second {
			t.Errorf("what came at %d s has to begin by %v, want %d s", from, got, want)
		}
	}
}

// TestProductDays: days with the troubles of the addition and with models, 3 and 5
// controllers, and users who ask 8, 30 and 100 times as often as usual.
func TestProductDays(t *testing.T) {
	storm := func(polls float64) []DayFault {
		return []DayFault{{Kind: "polls", At: 20 * time.Second, For: time.Minute, Share: polls}}
	}
	for _, c := range []struct {
		p      DayParams
		faults []DayFault
	}{
		{DayParams{Seed: 1, Controllers: 3, Machines: 40, Teams: 2, Minutes: 2, Product: true, Models: 4}, nil},
		{DayParams{Seed: 2, Controllers: 5, Machines: 60, Teams: 3, Minutes: 2, Product: true}, nil},
		{DayParams{Seed: 3, Controllers: 3, Machines: 60, Teams: 2, Minutes: 2, Faults: -1, Unlisted: true}, storm(8)},
		{DayParams{Seed: 4, Controllers: 5, Machines: 60, Teams: 2, Minutes: 2, Faults: -1, Unlisted: true}, storm(30)},
		{DayParams{Seed: 5, Controllers: 3, Machines: 60, Teams: 1, Minutes: 2, Faults: -1, Unlisted: true}, storm(100)},
	} {
		t.Run(fmt.Sprintf("%d-%d", c.p.Seed, c.p.Controllers), func(t *testing.T) {
			t.Parallel()
			d := DrawDay(c.p)
			if c.faults != nil {
				d.Faults, d.mistakes = c.faults, 0
			}
			r := PlayDay(d, "")
			for _, b := range append(r.Broken, r.Starved()...) {
				t.Error(b)
			}
			if m := r.Model; c.p.Models > 0 && (m == nil || m.Large == 0) {
				t.Errorf("no large models: %+v", m)
			}
			if t.Failed() {
				t.Logf("%+v", d.Faults)
				t.Log(strings.Join(r.Log[max(0, len(r.Log)-60):], "\n"))
			}
		})
	}
}
