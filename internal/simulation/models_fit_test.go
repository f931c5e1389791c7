package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestModelsFit submits models of one and two GPUs, many of which are cancelled later, and then models that
// need a whole host each. Their teams are in different shards. There is capacity for all, but it is
// fragmented over hosts and shards. It guards against large models that do not start in time, small models
// that lose replicas to make capacity free, and too many writes of migration records.
func TestModelsFit(t *testing.T) {
	const hosts = 12
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			settings := testSettings()
			settings.Objectives = nil
			settings.Teams = []model.Team{{Name: "ops"}, {Name: "lab"}, {Name: "web"}}
			settings.Capabilities = controller.Capabilities{Models: true, MaxMigratingFraction: 0.1, MigrationCooldown: 5 * time.Minute}
			world := NewWorld(seed, 3, settings, testCancelWithin, []model.MachineType{
				{Name: "host", Capacity: model.Resources{CPU: 96, GPU: 8, Memory: 768}, DiskGB: 400, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4.5, ProvisioningTime: 45 * time.Second, Zones: []string{"a", "b"}},
				{Name: "box", Capacity: model.Resources{CPU: 8, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.4, CostPerHour: 0.4, SpotCostPerHour: 0.15, ProvisioningTime: 30 * time.Second, Zones: []string{"a", "b"}},
			}, map[string]int{"host/a/false": hosts / 2, "host/b/false": hosts / 2})
			rng := rand.New(rand.NewPCG(seed, 7))
			teams := []string{"ops", "ops", "ops", "lab", "lab", "web"}
			submit := func(at time.Duration, kind string, gpus, imageGB float64, tasks int, urgency model.Urgency, stayingFraction float64) {
				world.schedule(at, func() {
					id := fmt.Sprintf("job-%s%04d", kind, len(world.jobs))
					world.Submit(model.JobSpec{ID: id, Workload: "model-" + kind, Team: teams[rng.IntN(len(teams))], LongRunning: true, Urgency: urgency, Tasks: tasks,
						Need: model.Resources{CPU: 12 * gpus, GPU: gpus, Memory: 96 * gpus}, Image: fmt.Sprintf("%s-%d", kind, rng.IntN(4)), ImageGB: imageGB}, 0, false)
					if rng.Float64() > stayingFraction {
						world.schedule(time.Duration(60+rng.IntN(180))*time.Second, func() { world.Cancel(id) })
					}
				})
			}
			randomDelay := func() time.Duration { return time.Duration(rng.IntN(40000)) * time.Millisecond }
			for range 43 {
				submit(randomDelay(), "small", 1, 8, 1+rng.IntN(3), model.Normal, 0.25)
			}
			for range hosts / 3 {
				submit(randomDelay(), "mid", 2, 16, 1+rng.IntN(2), model.Normal, 0.5)
			}
			for range hosts / 2 {
				submit(260*time.Second+randomDelay(), "large", 8, 60, 1, model.Urgent, 1)
			}
			writes := 0
			world.corruptEffect = func(effect message.Effect) message.Effect {
				if request, ok := effect.(message.StoreRequest); ok && request.Kind == message.OpTxn && strings.HasPrefix(request.Writes[0].Key, "move/") {
					writes++
				}
				return effect
			}
			const day = 10 * time.Minute
			world.Run(day)
			for _, id := range sortedKeys(world.jobs) {
				job := world.jobs[id]
				wait := day
				if at, ok := job.firstStarts[0]; ok {
					wait = at.Sub(job.submitted)
				}
				if strings.Contains(id, "large") && wait > 150*time.Second {
					t.Errorf("%s: got first start after %v, want at most 150s", id, wait)
				}
				if running := world.runningTasks(id); !job.cancelRequested && running < job.spec.Tasks {
					t.Errorf("%s: got %d running replicas, want %d", id, running, job.spec.Tasks)
				}
			}
			if limit := day.Seconds() / 2; float64(writes) > limit {
				t.Errorf("got %d writes of migration records, want at most %v", writes, limit)
			}
			reportViolations(t, world.Violations)
			if t.Failed() {
				logTail(t, world.logs, len(world.logs))
			}
		})
	}
}
