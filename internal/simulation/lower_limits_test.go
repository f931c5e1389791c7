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

// lowerLimitsWorld is a world whose state service will lower its limits, which controllers know of only
// once they have been replaced.
type lowerLimitsWorld struct {
	*World
	next controller.Settings
	// replaced tells which controllers know of the new limits. unreadableWrites counts records
	// that the version before cannot read, written while a controller could still restart as that.
	replaced         []bool
	unreadableWrites int
}

func newLowerLimitsWorld(seed uint64) *lowerLimitsWorld {
	set := testSettings()
	set.Zones, set.Teams = []string{"a"}, []model.Team{{Name: "ops"}, {Name: "lab"}}
	types := []model.MachineType{{Name: "box", Capacity: model.Resources{CPU: 16, Memory: 64}, DiskGB: 50, ImageFetchRate: 0.5, CostPerHour: 0.2, ProvisioningTime: 20 * time.Second, Zones: []string{"a"}}}
	l := &lowerLimitsWorld{World: NewWorld(seed, 3, set, testCancelWithin, types, map[string]int{"box/a/false": 40}), next: set, replaced: make([]bool, 3)}
	l.next.MaxValueBytes, l.next.CurrentMaxValueBytes, l.next.MaxTxnWrites, l.next.StoreWritesPerSecond = 1024, set.MaxValueBytes, 4, 21
	l.adjustSettings = func(i int, set *controller.Settings) {
		if l.replaced[i] {
			set.MaxValueBytes, set.CurrentMaxValueBytes = l.next.MaxValueBytes, l.next.CurrentMaxValueBytes
			set.MaxTxnWrites, set.StoreWritesPerSecond = l.next.MaxTxnWrites, l.next.StoreWritesPerSecond
		}
	}
	l.state.onChange = func(it message.KeyValue) {
		if strings.HasPrefix(it.Key, "task/") && strings.Contains(it.Key, "/s") && !l.allReplaced() {
			l.unreadableWrites++
		}
	}
	return l
}

func (l *lowerLimitsWorld) allReplaced() bool { return l.replaced[0] && l.replaced[1] && l.replaced[2] }

// replace crashes a controller, which restarts as the new version.
func (l *lowerLimitsWorld) replace(i int) {
	l.replaced[i] = true
	l.CrashController(i, 3*time.Second)
}

// lowerLimits has the state service enforce the new limits.
func (l *lowerLimitsWorld) lowerLimits() { l.state.SetLimits(l.next) }

// TestLowerLimitsUnseen replaces the last controller while it is without the state service until long
// after the limits are lowered, so that no controller learns that it is new: the others find that out by
// the limit, are refused a few times, and go on.
func TestLowerLimitsUnseen(t *testing.T) {
	l := newLowerLimitsWorld(7)
	l.Run(time.Minute)
	ids := l.submitMany("ops", "ops", 6, 100, 1, 40*time.Second)
	ids = append(ids, l.submitMany("lab", "lab", 6, 100, 1, 40*time.Second)...)
	l.Run(15 * time.Second)
	for i := range 3 {
		if i == 2 {
			l.Partition("node-2", "state", 5*time.Minute, false)
		}
		l.replace(i)
		l.Run(8 * time.Second)
	}
	cutOff := l.submitMany("late", "ops", 6, 100, 1, 30*time.Second)
	l.lowerLimits()
	l.Run(5 * time.Minute)
	checkNoViolations(t, l.World)
	for _, id := range append(ids, cutOff...) {
		if j := l.jobs[id]; j.lastState != string(model.Done) {
			t.Errorf("%s: got final state %q, want an ended one", id, j.lastState)
		}
	}
	if l.state.Malformed == 0 || l.state.Malformed > 20 {
		t.Errorf("got %d malformed requests, want 1 to 20", l.state.Malformed)
	}
}

// TestLowerLimits replaces the controllers one after the other while jobs of a hundred tasks run, and
// then lowers the limits, at every moment of a takeover, with writes that are applied late and with a
// controller that restarts as the old version. Before this was handled, the state service called every
// further write of a job's tasks malformed, for ever, as their records were written under the old limits.
func TestLowerLimits(t *testing.T) {
	for _, k := range sampleCases(24, 4) {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			l := newLowerLimitsWorld(uint64(k))
			l.Run(time.Minute)
			ids := l.submitMany("ops", "ops", 6, 100, 1, 50*time.Second)
			ids = append(ids, l.submitMany("lab", "lab", 6, 100, 1, 35*time.Second)...)
			l.Run(25 * time.Second)
			if k%4 == 1 {
				l.DelayWrites(0.3, 2*time.Minute)
			}
			l.replace(0)
			l.Run(12 * time.Second)
			if k%3 == 1 {
				l.CrashController(2, 2*time.Second)
				l.Run(8 * time.Second)
			}
			l.replace(1)
			l.Run(12 * time.Second)
			l.replace(2)
			l.Run(time.Duration(12+k%5) * time.Second)
			if k%2 == 1 {
				l.CrashController(l.busiestController(), 2*time.Second)
				l.Run(time.Duration(k) * 500 * time.Millisecond)
			}
			l.lowerLimits()
			l.Run(time.Duration(k%7) * time.Second)
			l.Cancel(ids[3])
			if k%4 > 1 {
				l.CrashController(l.busiestController(), 2*time.Second)
			}
			l.Run(6 * time.Minute)
			// Records of ended jobs that a crashed shard leader had still to remove are removed when
			// a controller starts that leads no shard yet.
			for i := range l.controllers {
				l.CrashController(i, 3*time.Second)
			}
			l.Run(2 * time.Minute)
			checkNoViolations(t, l.World)
			if l.unreadableWrites > 0 {
				t.Errorf("got %d records that the version before cannot read while it could restart, want none", l.unreadableWrites)
			}
			if l.state.Malformed > 0 {
				t.Errorf("got %d malformed requests, the last for %s, want none", l.state.Malformed, l.state.LastMalformed)
			}
			for _, id := range ids {
				if j := l.jobs[id]; j.lastState != string(model.Done) && j.lastState != string(model.Cancelled) {
					t.Errorf("%s: got final state %q, want an ended one", id, j.lastState)
				}
			}
			for key := range l.state.records {
				if strings.HasPrefix(key, "task/") {
					t.Errorf("got record %s left, want it removed", key)
				}
			}
		})
	}
}
