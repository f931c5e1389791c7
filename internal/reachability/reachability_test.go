package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_750_000_000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

const lease = 25 * time.Second

// TestDoubts: what raises a doubt, what does not, and what ends it.
func TestDoubts(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(e *Detector)
		want bool
	}{
		{"nothing is known", func(*Detector) {}, true},
		{"an answer was late once", func(e *Detector) { e.Expects(); e.Report(at(1), false, lease) }, true},
		{"two reports show nothing of it", func(e *Detector) { e.Expects(); e.Report(at(1), false, lease); e.Report(at(2), false, lease) }, false},
		{"nothing was to be shown", func(e *Detector) { e.Report(at(1), false, lease); e.Report(at(2), false, lease) }, true},
		{"the lease ran out", func(e *Detector) { e.Tenure(at(1)) }, false},
		{"an order had no answer", func(e *Detector) { e.Unanswered(at(1)) }, false},
		{"it answers", func(e *Detector) { e.Unanswered(at(1)); e.Unanswered(at(4)); e.Answered() }, true},
		{"it went elsewhere", func(e *Detector) { e.Report(at(97), false, lease); e.Report(at(100), true, lease) }, false},
		{"it has come by way of others", func(e *Detector) { e.Report(at(100), true, lease) }, true},
		{"reports are lost now and then", func(e *Detector) {
			e.Report(at(97), false, lease)
			e.Report(at(100), true, lease)
			e.Answered()
			e.Report(at(107), false, lease)
			e.Report(at(110), true, lease)
		}, true},
		{"its address never answers, its reports show a start", func(e *Detector) { e.Unanswered(at(1)); e.Shown(); e.Unanswered(at(5)) }, true},
		{"its address never answers, and its lease goes on", func(e *Detector) {
			e.Unanswered(at(1))
			e.Report(at(20), false, lease)
			e.Report(at(27), false, lease)
			e.Unanswered(at(30))
		}, true},
		{"its lease is not yet over", func(e *Detector) { e.Unanswered(at(1)); e.Report(at(20), false, lease) }, false},
		{"its leases run out one after another", func(e *Detector) {
			e.Unanswered(at(1))
			e.Tenure(at(20))
			e.Report(at(40), false, lease)
			e.Tenure(at(44))
			e.Report(at(60), false, lease)
		}, false},
	} {
		var e Detector
		if c.do(&e); e.Hears() != c.want {
			t.Errorf("%s: hears %v, want %v", c.name, e.Hears(), c.want)
		}
	}
	var e Detector
	e.Unanswered(at(1))
	if _, deaf := e.Deaf(at(9)); deaf {
		t.Error("asked once, it counts as deaf")
	}
	e.Unanswered(at(4))
	if d, deaf := e.Deaf(at(9)); !deaf || d != 8*time.Second {
		t.Errorf("deaf %v for %v, want for 8s", deaf, d)
	}
}

// TestGiveBack: machines that hear nothing go in time, not before that, never all of
// them, and of many no more than one at a time and only after their leases.
func TestGiveBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reporting := rapid.IntRange(1, 60).Draw(t, "reporting")
		p := Patience{Alone: 10 * time.Second, Lease: lease, Returned: at(rapid.Float64Range(-20, 0).Draw(t, "returned"))}
		var ms []Machine
		for i := range rapid.IntRange(0, reporting).Draw(t, "deaf") {
			ms = append(ms, Machine{ID: fmt.Sprint("vm-", i), Tasks: rapid.IntRange(0, 2).Draw(t, "tasks"), For: time.Duration(rapid.Float64Range(0, 60).Draw(t, "for") * float64(time.Second))})
		}
		got := GiveBack(t0, p, reporting, ms)
		many := len(ms) >= 4 && 10*len(ms) >= reporting
		due := 0
		for _, m := range ms {
			if m.For > p.Alone && (!many || m.For > lease) {
				due++
			}
			if slices.Contains(got, m.ID) && m.For <= p.Alone {
				t.Fatalf("%v goes too soon", m)
			}
		}
		want := due
		switch {
		case len(ms) == reporting && reporting > 1:
			want = 0
		case many && t0.Sub(p.Returned) < returnEvery:
			want = 0
		case many:
			want = min(due, 1)
		}
		if len(got) != want {
			t.Fatalf("%d of %d go, want %d", len(got), len(ms), want)
		}
	})
}

// TestAllHearNothing: where all that report hear nothing the fault is in what leaves
// here, and none goes; a single machine is no such case.
func TestAllHearNothing(t *testing.T) {
	p := Patience{Alone: 10 * time.Second, Lease: lease, Returned: at(-60)}
	ms := []Machine{{"vm-1", 1, time.Minute}, {"vm-2", 0, time.Minute}}
	if got := GiveBack(t0, p, 2, ms); len(got) != 0 {
		t.Errorf("%v of two go", got)
	}
	if got := GiveBack(t0, p, 3, ms); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
		t.Errorf("%v of three go, want both", got)
	}
}

// TestManyBeforeTheirLease: of many that hear nothing one goes when its lease has surely
// run out, and none before, though each by itself would.
func TestManyBeforeTheirLease(t *testing.T) {
	p := Patience{Alone: 10 * time.Second, Lease: lease, Returned: at(-60)}
	ms := []Machine{{"vm-1", 1, lease}, {"vm-2", 0, lease}, {"vm-3", 0, lease}, {"vm-4", 0, lease}}
	if got := GiveBack(t0, p, 30, ms); len(got) != 0 {
		t.Errorf("%v go before their lease has run out", got)
	}
	ms[2].For += time.Second
	if got := GiveBack(t0, p, 30, ms); len(got) != 1 || got[0] != "vm-3" {
		t.Errorf("%v go, want vm-3 alone", got)
	}
}
