package simulation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// cancelOutage is a day on which a shard leader loses the state service, another controller confirms
// cancellations of its jobs, and then the state service fails for all, for longer than the cancelled
// tasks may run, while the workers still send heartbeats to the shard leader.
type cancelOutage struct {
	lease, cancelWithin time.Duration
	controllers, teams  int
	// loss is how the shard leader loses the state service: its requests are refused, its
	// messages are held (and arrive later) or lost.
	loss string
	// peersConnected means that the controllers still reach each other.
	peersConnected bool
	// refusedFor is how long only the shard leader is without the state service. Its lease
	// lasts for 3 to 4 s more, so that when the outage begins a successor has taken over, is
	// about to, or has not.
	refusedFor time.Duration
	// outageFactor is the length of the outage as a multiple of cancelWithin.
	outageFactor float64
	// crash names the controllers that crash during the outage: none, owner, confirmers or both.
	// They restart after restartAfter.
	crash        string
	restartAfter time.Duration
}

func (e cancelOutage) String() string {
	return fmt.Sprintf("lease=%v cancel=%v nodes=%d teams=%d %s links=%v alone=%v outage=%g ends=%s back=%v",
		e.lease, e.cancelWithin, e.controllers, e.teams, e.loss, e.peersConnected, e.refusedFor, e.outageFactor, e.crash, e.restartAfter)
}

// minLeaseLeft is the least remaining time of the shard leader's lease when it loses the state
// service: it renewed the lease at most a second before.
const minLeaseLeft = 3 * time.Second

// run plays the day. It returns what was violated, and whether the day covered its case: jobs were
// confirmed as cancelled before the outage, and still ran if neither their shard leader nor a
// successor could know.
func (e cancelOutage) run(seed uint64) (violations []string, covered bool) {
	set := testSettings()
	set.WorkerLease, set.Teams = e.lease, nil
	for i := range e.teams {
		set.Teams = append(set.Teams, model.Team{Name: fmt.Sprintf("team-%d", i)})
	}
	types, capacity := testTypes()
	w := NewWorld(seed, e.controllers, set, e.cancelWithin, types, capacity)
	w.Run(3 * time.Second)
	var ids []string
	for i := range 8 * e.teams {
		id := fmt.Sprintf("job-%03d", i)
		ids = append(ids, id)
		w.Submit(model.JobSpec{
			ID: id, Workload: "batch", Team: set.Teams[i%e.teams].Name, Urgency: model.Normal, Tasks: 2,
			Need: model.Resources{CPU: 1, Memory: 1}, Image: "img", ImageGB: 1, ExpectedRunTime: 15 * time.Minute,
		}, 15*time.Minute, false)
	}
	w.Run(90 * time.Second)
	i := w.shardLeaderOf(set.Teams[0].Name)
	shardLeader := w.controllers[i]
	switch e.loss {
	case "refused":
		w.refuseController(shardLeader, e.refusedFor+2*time.Second)
	default:
		w.Partition(shardLeader.name, "state", e.refusedFor+2*time.Second, e.loss == "held")
	}
	if !e.peersConnected {
		for _, p := range w.controllers {
			if p != shardLeader {
				w.Partition(shardLeader.name, p.name, e.refusedFor+time.Duration(e.outageFactor*float64(e.cancelWithin)), false)
			}
		}
	}
	for k, id := range ids {
		w.schedule(time.Duration(k)*e.refusedFor/time.Duration(len(ids)), func() { w.Cancel(id) })
	}
	w.Run(e.refusedFor)
	for k, id := range ids {
		// Others or a successor may have stopped it by now.
		unheard := !e.peersConnected && e.refusedFor < minLeaseLeft
		covered = covered || k%e.teams == 0 && w.jobs[id].lastState == "cancelled" && (!unheard || w.runningTasks(id) > 0)
	}
	w.Outage(time.Duration(e.outageFactor * float64(e.cancelWithin)))
	w.schedule(time.Second, func() {
		for k, p := range w.controllers {
			if p == shardLeader && (e.crash == "owner" || e.crash == "both") || p != shardLeader && (e.crash == "confirmers" || e.crash == "both") {
				w.CrashController(k, e.restartAfter)
			}
		}
	})
	w.Run(time.Duration((e.outageFactor + 1) * float64(e.cancelWithin)))
	w.Run(time.Minute)
	for _, id := range ids {
		if w.jobs[id].lastState != "cancelled" {
			violations = append(violations, id+": got final state "+w.jobs[id].lastState+", want cancelled")
		}
	}
	return append(violations, w.Violations...), covered
}

// cancelOutages returns all such days: three ratios of lease to cancelWithin, one of which leaves
// hardly any margin, and every combination of the other fields.
func cancelOutages() []cancelOutage {
	var all []cancelOutage
	for _, r := range [][2]time.Duration{{24 * time.Second, 54 * time.Second}, {34 * time.Second, 64 * time.Second}, {24 * time.Second, 28 * time.Second}} {
		for _, how := range []string{"refused", "held", "lost"} {
			for _, links := range []bool{true, false} {
				for _, alone := range []time.Duration{2900 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond} {
					for _, outage := range []float64{1, 1.2, 3} {
						for _, ends := range []string{"none", "owner", "confirmers", "both"} {
							for _, size := range [][2]int{{3, 1}, {5, 4}} {
								e := cancelOutage{lease: r[0], cancelWithin: r[1], loss: how, peersConnected: links, refusedFor: alone, outageFactor: outage, crash: ends, controllers: size[0], teams: size[1], restartAfter: 50 * time.Millisecond}
								if len(all)%3 == 0 {
									e.restartAfter = 5 * time.Second
								}
								all = append(all, e)
							}
						}
					}
				}
			}
		}
	}
	return all
}

// TestCancelledDuringShardLeaderOutage checks that cancelled tasks stop in time even if their shard leader
// cannot learn of the cancellation.
func TestCancelledDuringShardLeaderOutage(t *testing.T) {
	all := cancelOutages()
	// The step shares no factor with the numbers of values, so that every value is tested.
	step := max(1, len(all)/int(dayCount(t, 36, 12)))
	for step > 1 && (step%2 == 0 || step%3 == 0) {
		step++
	}
	var covered atomic.Int64
	t.Run("days", func(t *testing.T) {
		for i := 0; i < len(all); i += step {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				violations, ok := all[i].run(uint64(i))
				covered.Add(int64(boolInt(ok)))
				if len(violations) > 0 {
					t.Errorf("%v: got %d violations, the first: %v", all[i], len(violations), violations[0])
				}
			})
		}
	})
	if played := (len(all) + step - 1) / step; int(covered.Load())*10 < played*9 {
		t.Errorf("got %d of %d days that cover their case, want nine in ten", covered.Load(), played)
	}
}
