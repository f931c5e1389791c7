package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// smallJobStream submits one-task jobs to a world and cancels some of them. It counts the writes to the state
// service and records how long submissions wait for their answers.
type smallJobStream struct {
	world     *World
	jobs      int
	cancelled int
	// writes counts the writes by the first part of the record's key, followed by " removed" for a removal.
	writes map[string]int
	// acceptTimes holds the time from each accepted submission to its answer.
	acceptTimes []time.Duration
}

// newSmallJobStream returns a stream without jobs in a world of 150 machines, whose state service takes 80
// requests and writesPerSecond writes a second.
func newSmallJobStream(seed uint64, writesPerSecond float64) *smallJobStream {
	settings := testSettings()
	settings.Zones, settings.Teams = []string{"a"}, []model.Team{{Name: "ops"}}
	settings.StoreRequestsPerSecond, settings.StoreWritesPerSecond = 80, writesPerSecond
	types := []model.MachineType{{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.5, CostPerHour: 0.2, ProvisioningTime: 20 * time.Second, Zones: []string{"a"}}}
	stream := &smallJobStream{world: NewWorld(seed, 3, settings, testCancelWithin, types, map[string]int{"box/a/false": 150}), writes: map[string]int{}}
	stream.world.state.onChange = func(change message.KeyValue) {
		prefix, _, _ := strings.Cut(change.Key, "/")
		if change.Deleted {
			prefix += " removed"
		}
		stream.writes[prefix]++
	}
	stream.world.onAnswer = func(sentAt time.Time, reply message.UserReply) {
		if reply.Status == 201 {
			stream.acceptTimes = append(stream.acceptTimes, stream.world.now.Sub(sentAt))
		}
	}
	return stream
}

// submitAtRate submits rate jobs a second at random times within the given duration. It cancels about one in
// four of them within half a minute of its submission.
func (stream *smallJobStream) submitAtRate(rate float64, duration time.Duration) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range int(rate * duration.Seconds()) {
		stream.jobs++
		spec := model.JobSpec{
			ID: fmt.Sprintf("small-%04d", stream.jobs), Workload: "rush", Team: "ops", Urgency: model.Urgent, Tasks: 1,
			Need: model.Resources{CPU: 4, Memory: 14}, Image: fmt.Sprintf("rush-%d", rng.IntN(6)), ImageGB: 0.9, ExpectedRunTime: 15 * time.Second, Deadline: 45 * time.Second,
		}
		runTime := time.Duration(5+rng.IntN(20)) * time.Second
		at := time.Duration(rng.Float64() * float64(duration))
		stream.world.schedule(at, func() { stream.world.Submit(spec, runTime, false) })
		if rng.IntN(4) == 0 {
			stream.cancelled++
			stream.world.schedule(at+time.Duration(rng.Float64()*float64(30*time.Second)), func() { stream.world.Cancel(spec.ID) })
		}
	}
}

// remainingRecords returns how many records of open jobs and of tasks the state service holds.
func (stream *smallJobStream) remainingRecords() (open, tasks int) {
	for key := range stream.world.state.records {
		switch {
		case strings.HasPrefix(key, "open/"):
			open++
		case strings.HasPrefix(key, "task/"):
			tasks++
		}
	}
	return open, tasks
}

// TestSmallJobs submits four one-task jobs a second for three minutes and cancels a quarter of them, at
// limits of 80 requests and 30 writes a second, and of 20 writes a second, which the jobs use up. It guards
// against slow answers to submissions, jobs that do not end, records that are left behind, and needless
// writes. A job needs one write for its acceptance, one for each start, two for its end, one more if it is
// cancelled, and one to remove the record of its task.
func TestSmallJobs(t *testing.T) {
	const atOnce, inTime = 300 * time.Millisecond, 0.98
	for _, limit := range []float64{30, 20} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			stream := newSmallJobStream(1, limit)
			stream.world.Run(time.Minute)
			clear(stream.writes)
			stream.submitAtRate(4, 3*time.Minute)
			before := stream.world.state.writeCount
			stream.world.Run(3 * time.Minute)
			t.Logf("got %.1f writes a second, and %d requests refused by the rate limit", float64(stream.world.state.writeCount-before)/180, stream.world.state.RateLimited)
			stream.world.Run(2 * time.Minute)
			for _, id := range sortedKeys(stream.world.jobs) {
				if job := stream.world.jobs[id]; job.lastState != "done" && !(job.cancelRequested && job.lastState == "cancelled") {
					t.Errorf("%s: got final state %q, want done, or cancelled if requested", id, job.lastState)
				}
			}
			reportViolations(t, stream.world.Violations)
			if open, tasks := stream.remainingRecords(); open+tasks > 0 {
				t.Errorf("got %d records of open jobs and %d of tasks at the end, want none", open, tasks)
			}
			late := 0
			for _, delay := range stream.acceptTimes {
				if delay > atOnce {
					late++
				}
			}
			slices.Sort(stream.acceptTimes)
			if accepted := len(stream.acceptTimes); accepted < stream.jobs*9/10 || float64(late) > (1-inTime)*float64(stream.jobs) || stream.world.RefusedRequests > stream.jobs/100 {
				t.Errorf("got %d of %d jobs accepted, %d of them late, the longest after %v, and %d requests refused; want nine in ten accepted, at most 2 %% of the jobs late, and requests refused for at most 1 %% of the jobs", accepted, stream.jobs, late, stream.acceptTimes[accepted-1], stream.world.RefusedRequests)
			}
			writes := stream.writes
			t.Logf("got writes for %d jobs, %d of them cancelled: %v", stream.jobs, stream.cancelled, writes)
			// Up to 2 % of the starts may be repeated. Jobs that are cancelled before their start need fewer
			// writes.
			if maxWrites := stream.jobs + stream.cancelled; writes["open"] > maxWrites || writes["job"] > stream.jobs || writes["open removed"] > stream.jobs || writes["task"] > stream.world.Starts+stream.world.Starts/50 || writes["task removed"] > writes["task"] {
				t.Errorf("%d jobs with %d starts: got writes %v, want no more than their records need", stream.jobs, stream.world.Starts, writes)
			}
		})
	}
}
