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

// TestModelsFit submits models of one and two GPUs, most of which go again, and then some that need a
// whole host each, of several teams in different shards. There is capacity for all, fragmented over the
// shards; all start in time, and all others stay.
func TestModelsFit(t *testing.T) {
	const hosts = 12
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.Objectives = nil
			set.Teams = []model.Team{{Name: "ops"}, {Name: "lab"}, {Name: "web"}}
			set.Capabilities = controller.Capabilities{Models: true, MaxMigratingFraction: 0.1, MigrationCooldown: 5 * time.Minute}
			w := NewWorld(seed, 3, set, testCancelWithin, []model.MachineType{
				{Name: "host", Capacity: model.Resources{CPU: 96, GPU: 8, Memory: 768}, DiskGB: 400, ImageFetchRate: 1, CostPerHour: 12, SpotCostPerHour: 4.5, ProvisioningTime: 45 * time.Second, Zones: []string{"a", "b"}},
				{Name: "box", Capacity: model.Resources{CPU: 8, Memory: 32}, DiskGB: 50, ImageFetchRate: 0.4, CostPerHour: 0.4, SpotCostPerHour: 0.15, ProvisioningTime: 30 * time.Second, Zones: []string{"a", "b"}},
			}, map[string]int{"host/a/false": hosts / 2, "host/b/false": hosts / 2})
			rng := rand.New(rand.NewPCG(seed, 7))
			teams := []string{"ops", "ops", "ops", "lab", "lab", "web"}
			submit := func(at time.Duration, kind string, gpus, gb float64, tasks int, u model.Urgency, stays float64) {
				w.schedule(at, func() {
					id := fmt.Sprintf("job-%s%04d", kind, len(w.jobs))
					w.Submit(model.JobSpec{ID: id, Workload: "model-" + kind, Team: teams[rng.IntN(len(teams))], LongRunning: true, Urgency: u, Tasks: tasks,
						Need: model.Resources{CPU: 12 * gpus, GPU: gpus, Memory: 96 * gpus}, Image: fmt.Sprintf("%s-%d", kind, rng.IntN(4)), ImageGB: gb}, 0, false)
					if rng.Float64() > stays {
						w.schedule(time.Duration(60+rng.IntN(180))*time.Second, func() { w.Cancel(id) })
					}
				})
			}
			soon := func() time.Duration { return time.Duration(rng.IntN(40000)) * time.Millisecond }
			for range 43 {
				submit(soon(), "small", 1, 8, 1+rng.IntN(3), model.Normal, 0.25)
			}
			for range hosts / 3 {
				submit(soon(), "mid", 2, 16, 1+rng.IntN(2), model.Normal, 0.5)
			}
			for range hosts / 2 {
				submit(260*time.Second+soon(), "large", 8, 60, 1, model.Urgent, 1)
			}
			writes := 0
			w.corruptEffect = func(e message.Effect) message.Effect {
				if op, ok := e.(message.StoreRequest); ok && op.Kind == message.OpTxn && strings.HasPrefix(op.Writes[0].Key, "move/") {
					writes++
				}
				return e
			}
			const day = 10 * time.Minute
			w.Run(day)
			for _, id := range sortedKeys(w.jobs) {
				j := w.jobs[id]
				wait := day
				if at, ok := j.firstStarts[0]; ok {
					wait = at.Sub(j.submitted)
				}
				if strings.Contains(id, "large") && wait > 150*time.Second {
					t.Errorf("%s: got first start after %v, want at most 150s", id, wait)
				}
				if up := w.runningTasks(id); !j.cancelRequested && up < j.spec.Tasks {
					t.Errorf("%s: got %d running replicas, want %d", id, up, j.spec.Tasks)
				}
			}
			if limit := day.Seconds() / 2; float64(writes) > limit {
				t.Errorf("got %d writes of migration records, want at most %v", writes, limit)
			}
			reportViolations(t, w.Violations)
			if t.Failed() {
				logTail(t, w.logs, len(w.logs))
			}
		})
	}
}
