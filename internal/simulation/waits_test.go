package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// maxStartDelay is the longest time from the submission of a job to its first start, even for the job that is
// hardest to place.
const maxStartDelay = 4 * time.Minute

// TestWaitsAreBoundedUnderOverload keeps submitting more small urgent jobs than there is capacity for, and
// crashes the shard leader once. It guards against starvation of two jobs: one whose tasks each need a whole
// machine of the largest type, and one of the lowest urgency.
func TestWaitsAreBoundedUnderOverload(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			settings := testSettings()
			types, _ := testTypes()
			world := NewWorld(7, controllers, settings, testCancelWithin, types, map[string]int{"big/a/false": 4, "small/b/false": 8})
			submitted := 0
			var submitMore func()
			submitMore = func() {
				submitted++
				world.Submit(model.JobSpec{
					ID: fmt.Sprintf("job-%06d", submitted), Workload: "flood", Team: "ops", Urgency: model.Urgent, Tasks: 20,
					Need: model.Resources{CPU: 4, Memory: 8}, Image: "flood", ImageGB: 0.5, ExpectedRunTime: 20 * time.Second, Deadline: 30 * time.Second,
				}, 20*time.Second, false)
				world.schedule(8*time.Second, submitMore)
			}
			submitMore()
			wholeMachine := model.JobSpec{ID: "job-900001", Workload: "whole", Team: "ops", Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 32, Memory: 100}, Image: "whole", ImageGB: 1, ExpectedRunTime: 30 * time.Second}
			lowUrgency := model.JobSpec{ID: "job-900002", Workload: "low", Team: "ops", Urgency: model.BestEffort, Tasks: 6,
				Need: model.Resources{CPU: 2, Memory: 4}, Image: "low", ImageGB: 0.5, ExpectedRunTime: 30 * time.Second}
			world.schedule(90*time.Second, func() {
				world.Submit(wholeMachine, 30*time.Second, false)
				world.Submit(lowUrgency, 30*time.Second, false)
			})
			world.schedule(3*time.Minute, func() {
				for i := range world.controllers {
					if world.controllers[i].controller.IsShardLeader() {
						world.CrashController(i, 5*time.Second)
					}
				}
			})
			world.Run(90*time.Second + maxStartDelay + time.Minute)
			for _, id := range []string{wholeMachine.ID, lowUrgency.ID} {
				job := world.jobs[id]
				first := time.Duration(1<<63 - 1)
				for _, at := range job.firstStarts {
					first = min(first, at.Sub(job.submitted))
				}
				if first > maxStartDelay {
					t.Errorf("%s: got %d tasks started, the first after %v, want at least one within %v", id, len(job.firstStarts), first, maxStartDelay)
				}
			}
			reportViolations(t, world.Violations)
		})
	}
}
