package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// maxStartDelay is the time within which even the job that is hardest to place has to start.
const maxStartDelay = 4 * time.Minute

// TestNobodyWaitsWithoutBound keeps submitting more small urgent jobs than there is capacity for. A task as large
// as a machine, which fits one type only, and a job of the lowest urgency start nevertheless, also when the
// shard leader crashes.
func TestNobodyWaitsWithoutBound(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			set := testSettings()
			types, _ := testTypes()
			w := NewWorld(7, controllers, set, testCancelWithin, types, map[string]int{"big/a/false": 4, "small/b/false": 8})
			flood := 0
			var submitMore func()
			submitMore = func() {
				flood++
				w.Submit(model.JobSpec{
					ID: fmt.Sprintf("job-%06d", flood), Workload: "flood", Team: "ops", Urgency: model.Urgent, Tasks: 20,
					Need: model.Resources{CPU: 4, Memory: 8}, Image: "flood", ImageGB: 0.5, ExpectedRunTime: 20 * time.Second, Deadline: 30 * time.Second,
				}, 20*time.Second, false)
				w.schedule(8*time.Second, submitMore)
			}
			submitMore()
			whole := model.JobSpec{ID: "job-900001", Workload: "whole", Team: "ops", Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 32, Memory: 100}, Image: "whole", ImageGB: 1, ExpectedRunTime: 30 * time.Second}
			low := model.JobSpec{ID: "job-900002", Workload: "low", Team: "ops", Urgency: model.BestEffort, Tasks: 6,
				Need: model.Resources{CPU: 2, Memory: 4}, Image: "low", ImageGB: 0.5, ExpectedRunTime: 30 * time.Second}
			w.schedule(90*time.Second, func() {
				w.Submit(whole, 30*time.Second, false)
				w.Submit(low, 30*time.Second, false)
			})
			w.schedule(3*time.Minute, func() {
				for i := range w.controllers {
					if w.controllers[i].controller.IsShardLeader() {
						w.CrashController(i, 5*time.Second)
					}
				}
			})
			w.Run(90*time.Second + maxStartDelay + time.Minute)
			for _, id := range []string{whole.ID, low.ID} {
				j := w.jobs[id]
				first := time.Duration(1<<63 - 1)
				for _, at := range j.firstStarts {
					first = min(first, at.Sub(j.submitted))
				}
				if first > maxStartDelay {
					t.Errorf("%s: got %d tasks started, the first after %v, want one within %v", id, len(j.firstStarts), first, maxStartDelay)
				}
			}
			reportViolations(t, w.Violations)
		})
	}
}
