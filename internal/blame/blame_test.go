package blame

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestBrokenJobs: jobs that fail everywhere are told as such on three machines, and
// no machine is held to be faulty for their sake, however many there are.
func TestBrokenJobs(t *testing.T) {
	var b Book
	for k := range 20 {
		id := fmt.Sprint("job", k)
		for i := range 5 {
			b.Failed(id, i, fmt.Sprint("vm", i))
		}
		if !b.Broken(id) {
			t.Errorf("%s is not told", id)
		}
	}
	for i := range 5 {
		if b.Faulty(fmt.Sprint("vm", i)) {
			t.Errorf("vm%d is held to be faulty", i)
		}
	}
}

// TestFaultyAmongBroken: a machine that fails all is found among jobs that do.
func TestFaultyAmongBroken(t *testing.T) {
	var b Book
	for i, at := range []string{"bad", "vm1", "vm2"} {
		b.Failed("broken", i, at)
	}
	b.Failed("sound", 0, "bad")
	if b.Faulty("bad") {
		t.Error("one failure of a sound job is no proof")
	}
	if got := b.Done("sound", 0, "vm1"); !slices.Equal(got, []string{"bad"}) || !b.Faulty("bad") {
		t.Errorf("done elsewhere, changed %v", got)
	}
	// And without waiting for that, when two jobs fail there and nothing is done.
	b.Failed("one", 0, "worse")
	if got := b.Failed("two", 0, "worse"); !slices.Equal(got, []string{"worse"}) {
		t.Errorf("changed %v", got)
	}
	// One of them turns out to fail everywhere.
	b.Failed("two", 1, "vm1")
	if got := b.Failed("two", 2, "vm2"); !slices.Equal(got, []string{"worse"}) || b.Faulty("worse") {
		t.Errorf("changed %v", got)
	}
}

// TestWorksAlready: a job of which tasks were done before its first failure does not
// fail everywhere, however many faulty machines it meets then: a job of 9,720 tasks,
// most of them done, waited two minutes for its next try on a day with many of them.
func TestWorksAlready(t *testing.T) {
	var b Book
	for i := range 40 {
		b.Works("job")
		b.Failed("job", i, fmt.Sprint("vm", i%5))
	}
	if b.Broken("job") || b.Pause("job") > 0 {
		t.Errorf("held to fail everywhere, waits %v", b.Pause("job"))
	}
	b.Done("job", 3, "vm9")
	if !b.Faulty("vm3") {
		t.Error("the machine where it failed is not held to be faulty")
	}
}

// TestWorksBetween: a machine that gets work done between two failures is not faulty.
func TestWorksBetween(t *testing.T) {
	var b Book
	b.Failed("one", 0, "vm")
	b.Done("other", 0, "vm")
	b.Failed("two", 0, "vm")
	if b.Faulty("vm") {
		t.Error("held to be faulty")
	}
}

// TestBrokenTask: a task that fails in many places says nothing of them, though the
// others of its job are done, and though it is done at last.
func TestBrokenTask(t *testing.T) {
	var b Book
	b.Done("job", 0, "vm0")
	for i := range 6 {
		b.Failed("job", 1, fmt.Sprint("vm", i))
	}
	b.Failed("job", 2, "vm5")
	b.Done("job", 1, "vm9")
	for i := range 6 {
		if b.Faulty(fmt.Sprint("vm", i)) {
			t.Errorf("vm%d is held to be faulty", i)
		}
	}
	if b.Broken("job") {
		t.Error("a job of which something is done is held to fail everywhere")
	}
}

// TestPause grows up to its bound, and is none once something is done.
func TestPause(t *testing.T) {
	var b Book
	last := time.Duration(0)
	for i := range 40 {
		b.Failed("job", 0, fmt.Sprint("vm", i))
		d := b.Pause("job")
		if i < jobPlaces-1 && d != 0 || d < last || d > longestPause {
			t.Fatalf("after %d failures it waits %v", i+1, d)
		}
		last = d
	}
	if last != longestPause {
		t.Errorf("it waits %v at last", last)
	}
	b.Done("job", 0, "vm99")
	if b.Broken("job") || b.Pause("job") != 0 {
		t.Error("done, it still waits")
	}
}

// TestSound: whatever comes in whatever order, machines that never fail a sound task
// are not held to be faulty once every job is decided, and those that fail all are
// found.
func TestSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		hosts := rapid.IntRange(jobPlaces+2, 12).Draw(t, "hosts")
		bad := rapid.IntRange(0, hosts-1).Draw(t, "bad")
		jobs := rapid.IntRange(1, 12).Draw(t, "jobs")
		for k := range jobs {
			id := fmt.Sprint("job", k)
			broken := rapid.Bool().Draw(t, "broken")
			for try := 0; try < 8; try++ {
				at := (k + try) % hosts
				if broken || at == bad {
					b.Failed(id, 0, fmt.Sprint("vm", at))
					continue
				}
				b.Done(id, 0, fmt.Sprint("vm", at))
				break
			}
			if b.Broken(id) != broken {
				t.Fatalf("job %d: broken %v", k, !broken)
			}
		}
		for h := range hosts {
			if h != bad && b.Faulty(fmt.Sprint("vm", h)) {
				t.Fatalf("vm%d is held to be faulty", h)
			}
		}
	})
}
