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

// lowerLimitsWorld is one whose state service will have lower limits, of which controllers know
// only once they have been replaced.
type lowerLimitsWorld struct {
	*World
	next controller.Settings
	// replaced are the controllers that know of the limits, and early counts records that
	// those of before can't read and that were written while some could come back.
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

// replace ends a controller, which comes back with the new version.
func (l *lowerLimitsWorld) replace(i int) {
	l.replaced[i] = true
	l.CrashController(i, 3*time.Second)
}

// lowerLimits has the state service keep the limits to come.
func (l *lowerLimitsWorld) lowerLimits() { l.state.SetLimits(l.next) }

// TestLowerLimitsUnseen: the controller that is replaced last has lost the state service
// until long after the limits are lower, so that nobody is told that it is new: the others
// find that out by the limit, are refused a few times, and go on.
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
			t.Errorf("%s is %s", id, j.lastState)
		}
	}
	if l.state.Malformed == 0 || l.state.Malformed > 20 {
		t.Errorf("%d requests are malformed", l.state.Malformed)
	}
}

// TestLowerLimits: while jobs of a hundred tasks run, the controllers are replaced one
// after the other, and then the state service lowers its limits, at every moment of a
// takeover, with writes that are carried out late, with one that comes back old before its
// turn. Before this the state service called every further write of a job's tasks
// malformed, for ever, as their records had been written under the old limits.
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
			// Records of ended jobs that an owner had still to remove when it ended go when
			// one begins that owns nothing yet.
			for i := range l.controllers {
				l.CrashController(i, 3*time.Second)
			}
			l.Run(2 * time.Minute)
			checkNoViolations(t, l.World)
			if l.unreadableWrites > 0 {
				t.Errorf("%d records that the version before can't read, while it could come back", l.unreadableWrites)
			}
			if l.state.Malformed > 0 {
				t.Errorf("%d requests are malformed, the last for %s", l.state.Malformed, l.state.LastMalformed)
			}
			for _, id := range ids {
				if j := l.jobs[id]; j.lastState != string(model.Done) && j.lastState != string(model.Cancelled) {
					t.Errorf("%s is %s", id, j.lastState)
				}
			}
			for key := range l.state.records {
				if strings.HasPrefix(key, "task/") {
					t.Errorf("%s is left", key)
				}
			}
		})
	}
}
