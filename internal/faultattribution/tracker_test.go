package faultattribution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestJobsFailingEverywhere: jobs that fail everywhere are told as such on three machines, and
// no machine is held to be faulty for their sake, however many there are.
func TestJobsFailingEverywhere(t *testing.T) {
	var b Tracker
	for k := range 20 {
		id := fmt.Sprint("job", k)
		for i := range 5 {
			b.TaskFailed(id, i, fmt.Sprint("vm", i))
		}
		if !b.FailsEverywhere(id) {
			t.Errorf("%s is not told", id)
		}
	}
	for i := range 5 {
		if b.IsFaulty(fmt.Sprint("vm", i)) {
			t.Errorf("vm%d is held to be faulty", i)
		}
	}
}

// TestFaultyMachineAmongFailingJobs: a machine that fails all is found among jobs that do.
func TestFaultyMachineAmongFailingJobs(t *testing.T) {
	var b Tracker
	for i, at := range []string{"bad", "vm1", "vm2"} {
		b.TaskFailed("broken", i, at)
	}
	b.TaskFailed("sound", 0, "bad")
	if b.IsFaulty("bad") {
		t.Error("one failure of a sound job is no proof")
	}
	if got := b.TaskDone("sound", 0, "vm1"); !slices.Equal(got, []string{"bad"}) || !b.IsFaulty("bad") {
		t.Errorf("done elsewhere, changed %v", got)
	}
	// And without waiting for that, when two jobs fail there and nothing is done.
	b.TaskFailed("one", 0, "worse")
	if got := b.TaskFailed("two", 0, "worse"); !slices.Equal(got, []string{"worse"}) {
		t.Errorf("changed %v", got)
	}
	// One of them turns out to fail everywhere.
	b.TaskFailed("two", 1, "vm1")
	if got := b.TaskFailed("two", 2, "vm2"); !slices.Equal(got, []string{"worse"}) || b.IsFaulty("worse") {
		t.Errorf("changed %v", got)
	}
}

// TestSucceededBeforeFirstFailure: a job of which tasks were done before its first failure does not
// fail everywhere, however many faulty machines it meets then: a job of 9,720 tasks,
// most of them done, waited two minutes for its next try on a day with many of them.
func TestSucceededBeforeFirstFailure(t *testing.T) {
	var b Tracker
	for i := range 40 {
		b.MarkJobWorks("job")
		b.TaskFailed("job", i, fmt.Sprint("vm", i%5))
	}
	if b.FailsEverywhere("job") || b.RetryBackoff("job") > 0 {
		t.Errorf("held to fail everywhere, waits %v", b.RetryBackoff("job"))
	}
	b.TaskDone("job", 3, "vm9")
	if !b.IsFaulty("vm3") {
		t.Error("the machine where it failed is not held to be faulty")
	}
}

// TestSuccessBetweenFailures: a machine that gets work done between two failures is not faulty.
func TestSuccessBetweenFailures(t *testing.T) {
	var b Tracker
	b.TaskFailed("one", 0, "vm")
	b.TaskDone("other", 0, "vm")
	b.TaskFailed("two", 0, "vm")
	if b.IsFaulty("vm") {
		t.Error("held to be faulty")
	}
}

// TestTaskFailingEverywhere: a task that fails in many places says nothing of them, though the
// others of its job are done, and though it is done at last.
func TestTaskFailingEverywhere(t *testing.T) {
	var b Tracker
	b.TaskDone("job", 0, "vm0")
	for i := range 6 {
		b.TaskFailed("job", 1, fmt.Sprint("vm", i))
	}
	b.TaskFailed("job", 2, "vm5")
	b.TaskDone("job", 1, "vm9")
	for i := range 6 {
		if b.IsFaulty(fmt.Sprint("vm", i)) {
			t.Errorf("vm%d is held to be faulty", i)
		}
	}
	if b.FailsEverywhere("job") {
		t.Error("a job of which something is done is held to fail everywhere")
	}
}

// TestRetryBackoff grows up to its bound, and is none once something is done.
func TestRetryBackoff(t *testing.T) {
	var b Tracker
	last := time.Duration(0)
	for i := range 40 {
		b.TaskFailed("job", 0, fmt.Sprint("vm", i))
		backoff := b.RetryBackoff("job")
		if i < jobFaultMachines-1 && backoff != 0 || backoff < last || backoff > maxPause {
			t.Fatalf("after %d failures it waits %v", i+1, backoff)
		}
		last = backoff
	}
	if last != maxPause {
		t.Errorf("it waits %v at last", last)
	}
	b.TaskDone("job", 0, "vm99")
	if b.FailsEverywhere("job") || b.RetryBackoff("job") != 0 {
		t.Error("done, it still waits")
	}
}

// TestSoundMachinesAreNotFaulty: whatever comes in whatever order, machines that never fail a sound task
// are not held to be faulty once every job is decided, and those that fail all are
// found.
func TestSoundMachinesAreNotFaulty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Tracker
		hosts := rapid.IntRange(jobFaultMachines+2, 12).Draw(t, "hosts")
		faulty := rapid.IntRange(0, hosts-1).Draw(t, "bad")
		jobs := rapid.IntRange(1, 12).Draw(t, "jobs")
		for k := range jobs {
			id := fmt.Sprint("job", k)
			failsEverywhere := rapid.Bool().Draw(t, "broken")
			for attempt := 0; attempt < 8; attempt++ {
				at := (k + attempt) % hosts
				if failsEverywhere || at == faulty {
					b.TaskFailed(id, 0, fmt.Sprint("vm", at))
					continue
				}
				b.TaskDone(id, 0, fmt.Sprint("vm", at))
				break
			}
			if b.FailsEverywhere(id) != failsEverywhere {
				t.Fatalf("job %d: broken %v", k, !failsEverywhere)
			}
		}
		for h := range hosts {
			if h != faulty && b.IsFaulty(fmt.Sprint("vm", h)) {
				t.Fatalf("vm%d is held to be faulty", h)
			}
		}
	})
}
