package faultattribution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestJobsFailingEverywhere guards against blaming machines for faulty jobs: a job that fails on
// three machines counts as failing everywhere, and even many such jobs make no machine faulty.
func TestJobsFailingEverywhere(t *testing.T) {
	var tracker Tracker
	for jobIndex := range 20 {
		jobID := fmt.Sprint("job", jobIndex)
		for i := range 5 {
			tracker.TaskFailed(jobID, i, fmt.Sprint("vm", i))
		}
		if !tracker.FailsEverywhere(jobID) {
			t.Errorf("FailsEverywhere(%s): got false, want true", jobID)
		}
	}
	for i := range 5 {
		if tracker.IsFaulty(fmt.Sprint("vm", i)) {
			t.Errorf("IsFaulty(vm%d): got true, want false", i)
		}
	}
}

// TestFaultyMachineAmongFailingJobs guards against missing a faulty machine while faulty jobs also
// fail on it. The machine counts as faulty when a task that failed there succeeds elsewhere, or
// when two healthy jobs fail there. It stops counting as faulty when one of these two jobs turns
// out to fail everywhere.
func TestFaultyMachineAmongFailingJobs(t *testing.T) {
	var tracker Tracker
	for i, machine := range []string{"faulty", "vm1", "vm2"} {
		tracker.TaskFailed("failing", i, machine)
	}
	tracker.TaskFailed("healthy", 0, "faulty")
	if tracker.IsFaulty("faulty") {
		t.Error("IsFaulty after one failure of a healthy job: got true, want false")
	}
	if got := tracker.TaskDone("healthy", 0, "vm1"); !slices.Equal(got, []string{"faulty"}) || !tracker.IsFaulty("faulty") {
		t.Errorf("after a success elsewhere: got changed %v, want [faulty], and the machine faulty", got)
	}
	// Two jobs fail on another machine, and nothing succeeds there or elsewhere.
	tracker.TaskFailed("one", 0, "faulty2")
	if got := tracker.TaskFailed("two", 0, "faulty2"); !slices.Equal(got, []string{"faulty2"}) {
		t.Errorf("after failures of two jobs: got changed %v, want [faulty2]", got)
	}
	// The second job turns out to fail everywhere.
	tracker.TaskFailed("two", 1, "vm1")
	if got := tracker.TaskFailed("two", 2, "vm2"); !slices.Equal(got, []string{"faulty2"}) || tracker.IsFaulty("faulty2") {
		t.Errorf("after the second job failed everywhere: got changed %v, want [faulty2], and the machine not faulty", got)
	}
}

// TestSucceededBeforeFirstFailure guards against backing off a job that works: a job with
// successful tasks before its first failure does not count as failing everywhere, even if it then
// fails on many faulty machines. With such a backoff, a job of 9,720 tasks, most of them done,
// waited two minutes for its next attempt while many machines were faulty.
func TestSucceededBeforeFirstFailure(t *testing.T) {
	var tracker Tracker
	for i := range 40 {
		tracker.MarkJobWorks("job")
		tracker.TaskFailed("job", i, fmt.Sprint("vm", i%5))
	}
	if tracker.FailsEverywhere("job") || tracker.RetryBackoff("job") > 0 {
		t.Errorf("job with earlier successes: got FailsEverywhere true or backoff %v, want false and 0", tracker.RetryBackoff("job"))
	}
	tracker.TaskDone("job", 3, "vm9")
	if !tracker.IsFaulty("vm3") {
		t.Error("IsFaulty(vm3) after a success elsewhere: got false, want true")
	}
}

// TestSuccessBetweenFailures guards against blaming a healthy machine for two unrelated failures: a
// machine on which a task succeeds between two failures is not faulty.
func TestSuccessBetweenFailures(t *testing.T) {
	var tracker Tracker
	tracker.TaskFailed("one", 0, "vm")
	tracker.TaskDone("other", 0, "vm")
	tracker.TaskFailed("two", 0, "vm")
	if tracker.IsFaulty("vm") {
		t.Error("IsFaulty: got true, want false")
	}
}

// TestTaskFailingEverywhere guards against blaming machines for a single faulty task: a task that
// fails on many machines makes none of them faulty, even if other tasks of its job succeed and the
// task itself succeeds in the end.
func TestTaskFailingEverywhere(t *testing.T) {
	var tracker Tracker
	tracker.TaskDone("job", 0, "vm0")
	for i := range 6 {
		tracker.TaskFailed("job", 1, fmt.Sprint("vm", i))
	}
	tracker.TaskFailed("job", 2, "vm5")
	tracker.TaskDone("job", 1, "vm9")
	for i := range 6 {
		if tracker.IsFaulty(fmt.Sprint("vm", i)) {
			t.Errorf("IsFaulty(vm%d): got true, want false", i)
		}
	}
	if tracker.FailsEverywhere("job") {
		t.Error("FailsEverywhere for a job with a success: got true, want false")
	}
}

// TestRetryBackoff guards against retries at too high a rate and against a backoff that never ends:
// the backoff grows up to maxBackoff, and is zero after a success.
func TestRetryBackoff(t *testing.T) {
	var tracker Tracker
	last := time.Duration(0)
	for i := range 40 {
		tracker.TaskFailed("job", 0, fmt.Sprint("vm", i))
		backoff := tracker.RetryBackoff("job")
		if i < jobFaultMachines-1 && backoff != 0 || backoff < last || backoff > maxBackoff {
			t.Fatalf("after %d failures: got backoff %v, want 0 before jobFaultMachines failures, then no decrease, and at most maxBackoff", i+1, backoff)
		}
		last = backoff
	}
	if last != maxBackoff {
		t.Errorf("last backoff: got %v, want maxBackoff", last)
	}
	tracker.TaskDone("job", 0, "vm99")
	if tracker.FailsEverywhere("job") || tracker.RetryBackoff("job") != 0 {
		t.Error("after a success: got FailsEverywhere true or a backoff, want false and 0")
	}
}

// TestSoundMachinesAreNotFaulty guards against blaming healthy machines: with one faulty machine
// and any mix of healthy and faulty jobs, no other machine counts as faulty once all jobs have
// either succeeded or failed everywhere.
func TestSoundMachinesAreNotFaulty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		hosts := rapid.IntRange(jobFaultMachines+2, 12).Draw(t, "hosts")
		faulty := rapid.IntRange(0, hosts-1).Draw(t, "faulty host")
		jobs := rapid.IntRange(1, 12).Draw(t, "jobs")
		for jobIndex := range jobs {
			jobID := fmt.Sprint("job", jobIndex)
			failsEverywhere := rapid.Bool().Draw(t, "fails everywhere")
			for attempt := 0; attempt < 8; attempt++ {
				machine := (jobIndex + attempt) % hosts
				if failsEverywhere || machine == faulty {
					tracker.TaskFailed(jobID, 0, fmt.Sprint("vm", machine))
					continue
				}
				tracker.TaskDone(jobID, 0, fmt.Sprint("vm", machine))
				break
			}
			if tracker.FailsEverywhere(jobID) != failsEverywhere {
				t.Fatalf("FailsEverywhere(job%d): got %v, want the opposite", jobIndex, !failsEverywhere)
			}
		}
		for h := range hosts {
			if h != faulty && tracker.IsFaulty(fmt.Sprint("vm", h)) {
				t.Fatalf("IsFaulty(vm%d): got true, want false", h)
			}
		}
	})
}

// TestOutlasts guards against taking a running task too early as a sign that its job works: the
// task has to run longer than the job's longest failed attempt, by a margin. Even then, the job
// still counts as failing everywhere, and the machines on which it failed do not become faulty.
func TestOutlasts(t *testing.T) {
	var tracker Tracker
	if tracker.Outlasts("job", time.Hour) {
		t.Error("Outlasts for a job without a failure: got true, want false")
	}
	for i := range jobFaultMachines {
		tracker.TaskFailed("job", i, fmt.Sprint("vm", i))
	}
	for _, c := range []struct {
		longest, ran time.Duration
		want         bool
	}{
		{0, MinProofRun - 1, false},
		{0, MinProofRun, true},
		{20 * time.Second, 20*time.Second + 2*MinProofRun - 1, false},
		{20 * time.Second, 20*time.Second + 2*MinProofRun, true},
		{time.Second, 25 * time.Second, false},
		{time.Hour, time.Hour + maxProofRun - 1, false},
		{time.Hour, time.Hour + maxProofRun, true},
	} {
		tracker.RecordFailedRun("job", c.longest)
		if got := tracker.Outlasts("job", c.ran); got != c.want {
			t.Errorf("Outlasts after a run of %v, with failures after up to %v: got %v, want %v", c.ran, c.longest, got, c.want)
		}
	}
	if !tracker.FailsEverywhere("job") || tracker.IsFaulty("vm0") {
		t.Error("after a run that outlasts the failures: got FailsEverywhere false or IsFaulty(vm0) true, want true and false")
	}
}
