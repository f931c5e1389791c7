package simulation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// cancelOutage describes a day on which a shard leader loses its connection to the state service and another
// controller confirms cancellations of that shard leader's jobs. Then the state service fails for all
// controllers, for at least as long as cancelled tasks may run, while the workers still send heartbeats to
// the shard leader.
type cancelOutage struct {
	lease, cancelWithin time.Duration
	controllers, teams  int
	// loss says how the shard leader loses the state service: "refused" (its requests are refused),
	// "held" (its messages arrive later) or "lost" (its messages never arrive).
	loss string
	// peersConnected says whether the other controllers can still reach the shard leader.
	peersConnected bool
	// leaderIsolatedFor is the time from the shard leader's loss of the state service to the outage for all
	// controllers. The shard leader's lease lasts 3 to 4 s after its loss, so the values cover an outage
	// that begins before, during and after the takeover by a successor.
	leaderIsolatedFor time.Duration
	// outageFactor is the length of the outage as a multiple of cancelWithin.
	outageFactor float64
	// crash names the controllers that crash during the outage: "none", "owner" (the shard leader),
	// "confirmers" (all other controllers) or "both". They restart after restartAfter.
	crash        string
	restartAfter time.Duration
}

func (outage cancelOutage) String() string {
	return fmt.Sprintf("lease=%v cancel_within=%v controllers=%d teams=%d loss=%s peers_connected=%v refused_for=%v outage_factor=%g crash=%s restart_after=%v",
		outage.lease, outage.cancelWithin, outage.controllers, outage.teams, outage.loss, outage.peersConnected, outage.leaderIsolatedFor, outage.outageFactor, outage.crash, outage.restartAfter)
}

// minRemainingLease is the least remaining time of the shard leader's lease when the shard leader loses the
// state service. It renewed the lease at most a second before.
const minRemainingLease = 3 * time.Second

// run plays the day. It returns the violations, and whether the day covered its case: a job of the isolated
// shard leader was confirmed as cancelled before the outage, and its tasks still ran if neither the shard
// leader nor a successor could know of the cancellation.
func (outage cancelOutage) run(seed uint64) (violations []string, covered bool) {
	settings := testSettings()
	settings.WorkerLease, settings.Teams = outage.lease, nil
	for i := range outage.teams {
		settings.Teams = append(settings.Teams, model.Team{Name: fmt.Sprintf("team-%d", i)})
	}
	types, capacity := testTypes()
	world := NewWorld(seed, outage.controllers, settings, outage.cancelWithin, types, capacity)
	world.Run(3 * time.Second)
	var ids []string
	for i := range 8 * outage.teams {
		id := fmt.Sprintf("job-%03d", i)
		ids = append(ids, id)
		world.Submit(model.JobSpec{
			ID: id, Workload: "batch", Team: settings.Teams[i%outage.teams].Name, Urgency: model.Normal, Tasks: 2,
			Need: model.Resources{CPU: 1, Memory: 1}, Image: "img", ImageGB: 1, ExpectedRunTime: 15 * time.Minute,
		}, 15*time.Minute, false)
	}
	world.Run(90 * time.Second)
	leaderIndex := world.shardLeaderOf(settings.Teams[0].Name)
	shardLeader := world.controllers[leaderIndex]
	switch outage.loss {
	case "refused":
		world.refuseController(shardLeader, outage.leaderIsolatedFor+2*time.Second)
	default:
		world.Partition(shardLeader.name, "state", outage.leaderIsolatedFor+2*time.Second, outage.loss == "held")
	}
	if !outage.peersConnected {
		for _, process := range world.controllers {
			if process != shardLeader {
				world.Partition(shardLeader.name, process.name, outage.leaderIsolatedFor+time.Duration(outage.outageFactor*float64(outage.cancelWithin)), false)
			}
		}
	}
	for i, id := range ids {
		world.schedule(time.Duration(i)*outage.leaderIsolatedFor/time.Duration(len(ids)), func() { world.Cancel(id) })
	}
	world.Run(outage.leaderIsolatedFor)
	for i, id := range ids {
		// If the shard leader is partitioned from its peers and the outage begins before its lease ends, no
		// controller can have stopped the job. In all other cases, the shard leader or a successor may have
		// stopped it already.
		unknown := !outage.peersConnected && outage.leaderIsolatedFor < minRemainingLease
		covered = covered || i%outage.teams == 0 && world.jobs[id].lastState == "cancelled" && (!unknown || world.runningTasks(id) > 0)
	}
	world.Outage(time.Duration(outage.outageFactor * float64(outage.cancelWithin)))
	world.schedule(time.Second, func() {
		for i, process := range world.controllers {
			if process == shardLeader && (outage.crash == "owner" || outage.crash == "both") || process != shardLeader && (outage.crash == "confirmers" || outage.crash == "both") {
				world.CrashController(i, outage.restartAfter)
			}
		}
	})
	world.Run(time.Duration((outage.outageFactor + 1) * float64(outage.cancelWithin)))
	world.Run(time.Minute)
	for _, id := range ids {
		if world.jobs[id].lastState != "cancelled" {
			violations = append(violations, id+": got final state "+world.jobs[id].lastState+", want cancelled")
		}
	}
	return append(violations, world.Violations...), covered
}

// cancelOutages returns one day for every combination of the fields. Of the three ratios of lease to
// cancelWithin, one leaves hardly any margin.
func cancelOutages() []cancelOutage {
	var outages []cancelOutage
	for _, ratio := range [][2]time.Duration{{24 * time.Second, 54 * time.Second}, {34 * time.Second, 64 * time.Second}, {24 * time.Second, 28 * time.Second}} {
		for _, loss := range []string{"refused", "held", "lost"} {
			for _, connected := range []bool{true, false} {
				for _, isolation := range []time.Duration{2900 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond} {
					for _, factor := range []float64{1, 1.2, 3} {
						for _, crash := range []string{"none", "owner", "confirmers", "both"} {
							for _, size := range [][2]int{{3, 1}, {5, 4}} {
								outage := cancelOutage{lease: ratio[0], cancelWithin: ratio[1], loss: loss, peersConnected: connected, leaderIsolatedFor: isolation, outageFactor: factor, crash: crash, controllers: size[0], teams: size[1], restartAfter: 50 * time.Millisecond}
								if len(outages)%3 == 0 {
									outage.restartAfter = 5 * time.Second
								}
								outages = append(outages, outage)
							}
						}
					}
				}
			}
		}
	}
	return outages
}

// TestCancelledDuringShardLeaderOutage guards against cancelled tasks that run too long because their shard
// leader cannot learn of the cancellation: the shard leader loses the state service before another controller
// confirms the cancellation, and then the state service fails for all controllers.
func TestCancelledDuringShardLeaderOutage(t *testing.T) {
	outages := cancelOutages()
	// The step has no factor in common with the numbers of values, so that the sample contains every value.
	step := max(1, len(outages)/int(dayCount(t, 36, 12)))
	for step > 1 && (step%2 == 0 || step%3 == 0) {
		step++
	}
	var covered atomic.Int64
	t.Run("days", func(t *testing.T) {
		for i := 0; i < len(outages); i += step {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				violations, coversCase := outages[i].run(uint64(i))
				covered.Add(int64(boolInt(coversCase)))
				if len(violations) > 0 {
					t.Errorf("%v: got %d violations, the first: %v", outages[i], len(violations), violations[0])
				}
			})
		}
	})
	if played := (len(outages) + step - 1) / step; int(covered.Load())*10 < played*9 {
		t.Errorf("got %d of %d days that cover their case, want at least nine in ten", covered.Load(), played)
	}
}
