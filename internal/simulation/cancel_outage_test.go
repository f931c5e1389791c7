package simulation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// cancelOutage is a day on which the state service is away for an owner alone, another
// controller confirms cancellations, and then it is away for all, for longer than the
// cancelled tasks may last, while the workers go on reporting to the owner.
type cancelOutage struct {
	lease, cancelWithin time.Duration
	controllers, teams  int
	// loss the owner loses the state service: refused, held (what is sent comes later) or
	// lost.
	loss string
	// links: the controllers reach each other meanwhile.
	peersConnected bool
	// refusedFor is how long the owner is alone with its loss. The grant it holds lives for 3
	// to 4 s more, so that when the outage begins a successor has taken over, is about to,
	// or has not.
	refusedFor time.Duration
	// outageFactor is how long it lasts, in times of cancel.
	outageFactor float64
	// crash are the controllers that end in between, and back how soon they are back.
	crash        string
	restartAfter time.Duration
}

func (e cancelOutage) String() string {
	return fmt.Sprintf("lease=%v cancel=%v nodes=%d teams=%d %s links=%v alone=%v outage=%g ends=%s back=%v",
		e.lease, e.cancelWithin, e.controllers, e.teams, e.loss, e.peersConnected, e.refusedFor, e.outageFactor, e.crash, e.restartAfter)
}

// minLeaseLeft is how long an owner's grant lives at the least after it has lost the state
// service: the last of its renewals was a second ago at most.
const minLeaseLeft = 3 * time.Second

// run plays the day and says what broke, and whether the meeting came about: before the
// outage jobs were confirmed as cancelled without their owner, and where nobody can have
// told it or succeeded it they still ran.
func (e cancelOutage) run(seed uint64) (broken []string, met bool) {
	set := testSettings()
	set.WorkerLease, set.Teams = e.lease, nil
	for i := range e.teams {
		set.Teams = append(set.Teams, model.Team{Name: fmt.Sprintf("team-%d", i)})
	}
	types, room := testTypes()
	w := NewWorld(seed, e.controllers, set, e.cancelWithin, types, room)
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
		// Told by the others, or by a successor, it may have been halted by now.
		unheard := !e.peersConnected && e.refusedFor < minLeaseLeft
		met = met || k%e.teams == 0 && w.jobs[id].lastState == "cancelled" && (!unheard || w.runningTasks(id) > 0)
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
			broken = append(broken, id+" is "+w.jobs[id].lastState+" in the end")
		}
	}
	return append(broken, w.Violations...), met
}

// cancelOutages are all days of that kind: both sites' ratio of lease to cancellation, one
// with hardly any room between, and everything that may differ besides.
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

// TestCancelledDuringOwnerOutage: tasks whose cancellation their owner can't hear of are gone in
// time all the same.
func TestCancelledDuringOwnerOutage(t *testing.T) {
	all := cancelOutages()
	// Every so many: by a step that shares no factor with the number of values, all of
	// them come up.
	step := max(1, len(all)/int(dayCount(t, 36, 12)))
	for step > 1 && (step%2 == 0 || step%3 == 0) {
		step++
	}
	var met atomic.Int64
	t.Run("days", func(t *testing.T) {
		for i := 0; i < len(all); i += step {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				broken, is := all[i].run(uint64(i))
				met.Add(int64(boolInt(is)))
				if len(broken) > 0 {
					t.Errorf("%v: %d broken: %v", all[i], len(broken), broken[0])
				}
			})
		}
	})
	if played := (len(all) + step - 1) / step; int(met.Load())*10 < played*9 {
		t.Errorf("the meeting came about on %d of %d days", met.Load(), played)
	}
}
