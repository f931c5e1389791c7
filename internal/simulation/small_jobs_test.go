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

// smallJobStream is a stream of one-task jobs, some of which are cancelled. It counts their writes to the
// state service and measures how long submissions wait for their answers.
type smallJobStream struct {
	world       *World
	jobs        int
	cancelled   int
	writes      map[string]int
	acceptTimes []time.Duration
}

func newSmallJobs(seed uint64, changesASecond float64) *smallJobStream {
	set := testSettings()
	set.Zones, set.Teams = []string{"a"}, []model.Team{{Name: "ops"}}
	set.StoreRequestsPerSecond, set.StoreWritesPerSecond = 80, changesASecond
	types := []model.MachineType{{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.5, CostPerHour: 0.2, ProvisioningTime: 20 * time.Second, Zones: []string{"a"}}}
	s := &smallJobStream{world: NewWorld(seed, 3, set, testCancelWithin, types, map[string]int{"box/a/false": 150}), writes: map[string]int{}}
	s.world.state.onChange = func(it message.KeyValue) {
		prefix, _, _ := strings.Cut(it.Key, "/")
		if it.Deleted {
			prefix += " removed"
		}
		s.writes[prefix]++
	}
	s.world.onAnswer = func(asked time.Time, r message.UserReply) {
		if r.Status == 201 {
			s.acceptTimes = append(s.acceptTimes, s.world.now.Sub(asked))
		}
	}
	return s
}

// submitAtRate submits jobs at a rate a second, and cancels one in four within half a minute.
func (s *smallJobStream) submitAtRate(rate float64, d time.Duration) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range int(rate * d.Seconds()) {
		s.jobs++
		spec := model.JobSpec{
			ID: fmt.Sprintf("small-%04d", s.jobs), Workload: "rush", Team: "ops", Urgency: model.Urgent, Tasks: 1,
			Need: model.Resources{CPU: 4, Memory: 14}, Image: fmt.Sprintf("rush-%d", rng.IntN(6)), ImageGB: 0.9, ExpectedRunTime: 15 * time.Second, Deadline: 45 * time.Second,
		}
		run := time.Duration(5+rng.IntN(20)) * time.Second
		at := time.Duration(rng.Float64() * float64(d))
		s.world.schedule(at, func() { s.world.Submit(spec, run, false) })
		if rng.IntN(4) == 0 {
			s.cancelled++
			s.world.schedule(at+time.Duration(rng.Float64()*float64(30*time.Second)), func() { s.world.Cancel(spec.ID) })
		}
	}
}

// remainingRecords counts the records of open jobs and of tasks.
func (s *smallJobStream) remainingRecords() (open, tasks int) {
	for k := range s.world.state.records {
		switch {
		case strings.HasPrefix(k, "open/"):
			open++
		case strings.HasPrefix(k, "task/"):
			tasks++
		}
	}
	return open, tasks
}

// TestSmallJobs submits four one-task jobs a second for three minutes and cancels a quarter, at limits of 80
// requests and 30 writes a second, and of 20 writes, which they use up. Submissions are answered at once, all
// jobs end, and their records are removed. A job costs one write for its acceptance, one for a start, two for
// its end, one more if it was cancelled, and one to remove the record of its task.
func TestSmallJobs(t *testing.T) {
	const atOnce, inTime = 300 * time.Millisecond, 0.98
	for _, limit := range []float64{30, 20} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			s := newSmallJobs(1, limit)
			s.world.Run(time.Minute)
			clear(s.writes)
			s.submitAtRate(4, 3*time.Minute)
			before := s.world.state.writeCount
			s.world.Run(3 * time.Minute)
			t.Logf("%.1f writes a second, %d requests refused", float64(s.world.state.writeCount-before)/180, s.world.state.RateLimited)
			s.world.Run(2 * time.Minute)
			for _, id := range sortedKeys(s.world.jobs) {
				if j := s.world.jobs[id]; j.lastState != "done" && !(j.cancelRequested && j.lastState == "cancelled") {
					t.Errorf("%s: got final state %q, want done, or cancelled if requested", id, j.lastState)
				}
			}
			reportViolations(t, s.world.Violations)
			if open, tasks := s.remainingRecords(); open+tasks > 0 {
				t.Errorf("got %d records of jobs and %d of tasks left, want none", open, tasks)
			}
			late := 0
			for _, d := range s.acceptTimes {
				if d > atOnce {
					late++
				}
			}
			slices.Sort(s.acceptTimes)
			if n := len(s.acceptTimes); n < s.jobs*9/10 || float64(late) > (1-inTime)*float64(s.jobs) || s.world.RefusedRequests > s.jobs/100 {
				t.Errorf("got %d of %d jobs accepted, %d late, the last after %v, and %d requests refused", n, s.jobs, late, s.acceptTimes[n-1], s.world.RefusedRequests)
			}
			c := s.writes
			t.Logf("%d jobs, %d cancelled: %v", s.jobs, s.cancelled, c)
			// Some starts are repeated; jobs cancelled before their start cost less.
			if most := s.jobs + s.cancelled; c["open"] > most || c["job"] > s.jobs || c["open removed"] > s.jobs || c["task"] > s.world.Starts+s.world.Starts/50 || c["task removed"] > c["task"] {
				t.Errorf("%d jobs with %d starts: got writes %v, want no more than their records need", s.jobs, s.world.Starts, c)
			}
		})
	}
}
