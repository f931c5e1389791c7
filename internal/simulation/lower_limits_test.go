package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// lowerLimitsWorld is a world whose state service will lower its limits. A controller has the new limits in
// its settings only after it has been replaced by the new version.
type lowerLimitsWorld struct {
	*World
	// newSettings holds the settings with the new limits.
	newSettings controller.Settings
	// replaced says, by controller index, which controllers have been replaced by the new version.
	replaced []bool
	// unreadableWrites counts writes of records that the old version cannot read, made while a controller
	// could still restart as the old version.
	unreadableWrites int
}

// newLowerLimitsWorld returns a world with three controllers of the old version and the old limits in force.
func newLowerLimitsWorld(seed uint64) *lowerLimitsWorld {
	settings := testSettings()
	settings.Zones, settings.Teams = []string{"a"}, []model.Team{{Name: "ops"}, {Name: "lab"}}
	types := []model.MachineType{{Name: "box", Capacity: model.Resources{CPU: 16, Memory: 64}, DiskGB: 50, ImageFetchRate: 0.5, CostPerHour: 0.2, ProvisioningTime: 20 * time.Second, Zones: []string{"a"}}}
	world := &lowerLimitsWorld{World: NewWorld(seed, 3, settings, testCancelWithin, types, map[string]int{"box/a/false": 40}), newSettings: settings, replaced: make([]bool, 3)}
	world.newSettings.MaxValueBytes, world.newSettings.CurrentMaxValueBytes, world.newSettings.MaxTxnWrites, world.newSettings.StoreWritesPerSecond = 1024, settings.MaxValueBytes, 4, 21
	world.adjustSettings = func(i int, settings *controller.Settings) {
		if world.replaced[i] {
			settings.MaxValueBytes, settings.CurrentMaxValueBytes = world.newSettings.MaxValueBytes, world.newSettings.CurrentMaxValueBytes
			settings.MaxTxnWrites, settings.StoreWritesPerSecond = world.newSettings.MaxTxnWrites, world.newSettings.StoreWritesPerSecond
		}
	}
	world.state.onChange = func(change message.KeyValue) {
		if strings.HasPrefix(change.Key, "task/") && strings.Contains(change.Key, "/s") && !world.allReplaced() {
			world.unreadableWrites++
		}
	}
	return world
}

// allReplaced reports whether all three controllers run the new version.
func (world *lowerLimitsWorld) allReplaced() bool {
	return world.replaced[0] && world.replaced[1] && world.replaced[2]
}

// replace crashes controller i, which restarts as the new version after three seconds.
func (world *lowerLimitsWorld) replace(i int) {
	world.replaced[i] = true
	world.CrashController(i, 3*time.Second)
}

// lowerLimits makes the state service enforce the new limits.
func (world *lowerLimitsWorld) lowerLimits() { world.state.SetLimits(world.newSettings) }

// TestLowerLimitsWithUnseenReplacement replaces the last controller while it is partitioned from the state
// service until long after the limits are lowered. The other controllers cannot learn that it runs the new
// version, so they go on writing under the old limits. They may be refused only a few times before they adopt
// the new limits, and all jobs must end.
func TestLowerLimitsWithUnseenReplacement(t *testing.T) {
	world := newLowerLimitsWorld(7)
	world.Run(time.Minute)
	ids := world.submitMany("ops", "ops", 6, 100, 1, 40*time.Second)
	ids = append(ids, world.submitMany("lab", "lab", 6, 100, 1, 40*time.Second)...)
	world.Run(15 * time.Second)
	for i := range 3 {
		if i == 2 {
			world.Partition("node-2", "state", 5*time.Minute, false)
		}
		world.replace(i)
		world.Run(8 * time.Second)
	}
	lateIDs := world.submitMany("late", "ops", 6, 100, 1, 30*time.Second)
	world.lowerLimits()
	world.Run(5 * time.Minute)
	checkNoViolations(t, world.World)
	for _, id := range append(ids, lateIDs...) {
		if job := world.jobs[id]; job.lastState != string(model.Done) {
			t.Errorf("%s: got final state %q, want done", id, job.lastState)
		}
	}
	if world.state.Malformed == 0 || world.state.Malformed > 20 {
		t.Errorf("got %d malformed requests, want 1 to 20", world.state.Malformed)
	}
}

// TestLowerLimits replaces the controllers one after the other while jobs of a hundred tasks run, and then
// lowers the limits: at different times of a takeover, with writes that are applied late, and with a
// controller that restarts as the old version. It guards against task records that were written under the old
// limits and are too large for the new ones: the state service then rejects every further write of the job's
// tasks as malformed, for ever.
func TestLowerLimits(t *testing.T) {
	for _, variant := range sampleCases(24, 4) {
		t.Run(fmt.Sprint(variant), func(t *testing.T) {
			world := newLowerLimitsWorld(uint64(variant))
			world.Run(time.Minute)
			ids := world.submitMany("ops", "ops", 6, 100, 1, 50*time.Second)
			ids = append(ids, world.submitMany("lab", "lab", 6, 100, 1, 35*time.Second)...)
			world.Run(25 * time.Second)
			if variant%4 == 1 {
				world.DelayWrites(0.3, 2*time.Minute)
			}
			world.replace(0)
			world.Run(12 * time.Second)
			if variant%3 == 1 {
				world.CrashController(2, 2*time.Second)
				world.Run(8 * time.Second)
			}
			world.replace(1)
			world.Run(12 * time.Second)
			world.replace(2)
			world.Run(time.Duration(12+variant%5) * time.Second)
			if variant%2 == 1 {
				world.CrashController(world.busiestController(), 2*time.Second)
				world.Run(time.Duration(variant) * 500 * time.Millisecond)
			}
			world.lowerLimits()
			world.Run(time.Duration(variant%7) * time.Second)
			world.Cancel(ids[3])
			if variant%4 > 1 {
				world.CrashController(world.busiestController(), 2*time.Second)
			}
			world.Run(6 * time.Minute)
			// If a shard leader crashed before it removed the records of ended jobs, a controller that
			// leads no shard yet removes them when it starts.
			for i := range world.controllers {
				world.CrashController(i, 3*time.Second)
			}
			world.Run(2 * time.Minute)
			checkNoViolations(t, world.World)
			if world.unreadableWrites > 0 {
				t.Errorf("got %d writes of records that the old version cannot read while it could still restart, want none", world.unreadableWrites)
			}
			if world.state.Malformed > 0 {
				t.Errorf("got %d malformed requests, the last for %s, want none", world.state.Malformed, world.state.LastMalformed)
			}
			for _, id := range ids {
				if job := world.jobs[id]; job.lastState != string(model.Done) && job.lastState != string(model.Cancelled) {
					t.Errorf("%s: got final state %q, want done or cancelled", id, job.lastState)
				}
			}
			for key := range world.state.records {
				if strings.HasPrefix(key, "task/") {
					t.Errorf("got record %s at the end, want it removed", key)
				}
			}
		})
	}
}
