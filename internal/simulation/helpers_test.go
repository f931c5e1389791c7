package simulation

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// testSettings returns settings of a small deployment with two zones and two teams, of which one
// has a quota limit.
func testSettings() controller.Settings {
	return controller.Settings{
		Zones: []string{"a", "b"}, HeartbeatInterval: 3 * time.Second, WorkerLease: 24 * time.Second,
		MaxTxnWrites: 12, MaxValueBytes: 4096, StoreRequestsPerSecond: 150, StoreWritesPerSecond: 30, CloudRequestsPerSecond: 8, CloudListLag: 4 * time.Second,
		Policy:     controller.DefaultPolicy(),
		Objectives: []model.Objective{{Kind: "wait", Workload: "rush", Within: 2 * time.Second, Fraction: 0.9}},
		Teams:      []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 40}}},
	}
}

// testTypes returns two machine types, and how many machines the cloud has, by
// type/zone/spot.
func testTypes() ([]model.MachineType, map[string]int) {
	return []model.MachineType{
			{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 0.5, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 20 * time.Second, Zones: []string{"a", "b"}},
			{Name: "big", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 40, ImageFetchRate: 0.5, CostPerHour: 1.5, SpotCostPerHour: 0.5, ProvisioningTime: 15 * time.Second, Zones: []string{"a"}},
		}, map[string]int{
			"small/a/true": 4, "small/a/false": 6, "small/b/true": 3, "small/b/false": 6, "big/a/true": 1, "big/a/false": 2,
		}
}

// testCancelWithin is the time in which tasks of a cancelled job have to stop (cancel_s).
const testCancelWithin = 54 * time.Second

func newTestWorld(seed uint64) *World {
	return newTestWorldOfSize(seed, 3)
}

// newTestWorldOfSize returns a world with so many controllers.
func newTestWorldOfSize(seed uint64, controllers int) *World {
	types, capacity := testTypes()
	return NewWorld(seed, controllers, testSettings(), testCancelWithin, types, capacity)
}

// newSmallWorld returns a world of three controllers whose cloud has small machines only.
func newSmallWorld(seed uint64, set controller.Settings) *World {
	types, _ := testTypes()
	return NewWorld(seed, 3, set, testCancelWithin, types, map[string]int{"small/a/false": 20, "small/b/false": 20})
}

// batchJob returns a job of normal urgency, each of whose tasks needs cpu cores and GB.
func batchJob(id, team string, tasks int, cpu float64, run time.Duration) model.JobSpec {
	return model.JobSpec{
		ID: id, Workload: "batch", Team: team, Urgency: model.Normal, Tasks: tasks, Need: model.Resources{CPU: cpu, Memory: cpu},
		Image: "img", ImageGB: 1, ExpectedRunTime: run,
	}
}

// submitMany submits equal jobs and returns their IDs.
func (w *World) submitMany(prefix, team string, jobs, tasks int, cpu float64, run time.Duration) []string {
	var ids []string
	for i := range jobs {
		spec := batchJob(fmt.Sprintf("job-%s%03d", prefix, i), team, tasks, cpu, run)
		w.Submit(spec, run, false)
		ids = append(ids, spec.ID)
	}
	return ids
}

// longJob returns an array whose tasks outlast every test.
func longJob(id string, tasks int) model.JobSpec {
	return model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: tasks, Need: model.Resources{CPU: 1, Memory: 1},
		Image: "i", ImageGB: 0.1, ExpectedRunTime: time.Hour}
}

// waitUntil runs the world until a condition holds, and returns how long that took, or -1 if it
// does not hold within the limit.
func (w *World) waitUntil(limit time.Duration, condition func() bool) time.Duration {
	from := w.now
	for !condition() {
		if w.now.Sub(from) >= limit {
			return -1
		}
		w.Run(tickInterval)
	}
	return w.now.Sub(from)
}

// machinesRunning returns the machines with tasks of a job.
func (w *World) machinesRunning(id string) []*Worker {
	var out []*Worker
	for _, k := range sortedKeys(w.machines) {
		m := w.machines[k]
		for _, x := range m.tasks {
			if x.job.spec.ID == id && x.onMachine() && !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// trackLastRun records from now on when each of the jobs was last on a machine.
func (w *World) trackLastRun(ids ...string) map[string]time.Time {
	last := map[string]time.Time{}
	var scan func()
	scan = func() {
		for _, id := range ids {
			if w.runningTasks(id) > 0 {
				last[id] = w.now
			}
		}
		w.schedule(tickInterval, scan)
	}
	scan()
	return last
}

// checkStoppedWithin checks that the jobs of trackLastRun are confirmed as cancelled, and that
// their tasks stopped within the limit after the first confirmation.
func checkStoppedWithin(t *testing.T, w *World, last map[string]time.Time, limit time.Duration) {
	t.Helper()
	for _, id := range sortedKeys(last) {
		j := w.jobs[id]
		if w.waitUntil(3*time.Minute, func() bool { return !j.cancelledAt.IsZero() && w.runningTasks(id) == 0 }) < 0 {
			t.Errorf("%s: got state %q and %d running tasks, want cancelled and none", id, j.lastState, w.runningTasks(id))
		} else if d := last[id].Sub(j.cancelledAt); d > limit {
			t.Errorf("%s: got tasks for %v after its cancellation was confirmed, want at most %v", id, d, limit)
		}
	}
}

// maxStopTime is the limit for tasks of a cancelled job on reachable machines, also during a
// takeover.
const maxStopTime = 15 * time.Second

// checkNoViolations reports every violation of an invariant, and logs the end of the log if the
// test has failed.
func checkNoViolations(t *testing.T, w *World) {
	t.Helper()
	reportViolations(t, w.Violations)
	if t.Failed() {
		logTail(t, w.logs, 80)
	}
}

// reportViolations reports each violation as an error.
func reportViolations(t *testing.T, violations []string) {
	t.Helper()
	for _, v := range violations {
		t.Errorf("got violation %s", v)
	}
}

// logTail logs the last lines of a world's or a day's log.
func logTail(t *testing.T, lines []string, last int) {
	t.Helper()
	t.Log(strings.Join(lines[max(0, len(lines)-last):], "\n"))
}

// checkFinalAnswers checks that the last answer about each job was that it is done or, with
// allowOthers, that it was refused or cancelled.
func checkFinalAnswers(t *testing.T, w *World, allowOthers bool) {
	t.Helper()
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.lastState != "done" && !(allowOthers && (j.refusedStatus > 0 || j.lastState == "cancelled")) {
			t.Errorf("%s: got final state %q with %d of %d tasks done, want done", id, j.lastState, len(j.doneTasks), j.spec.Tasks)
		}
	}
}

// dayCount returns how many random days a test plays. With -short or -race these are few: the race
// detector makes a day ten times as slow and finds nothing more, as decisions take place in one
// goroutine. For a long search: MICAHILL_DAYS=2000 go test ./internal/simulation -run TestSimulation$
func dayCount(t *testing.T, days, few uint64) uint64 {
	if testing.Short() || raceEnabled {
		days = few
	}
	if v := os.Getenv("MICAHILL_DAYS"); v != "" {
		if _, err := fmt.Sscan(v, &days); err != nil {
			t.Fatal("MICAHILL_DAYS: ", err)
		}
	}
	return days
}

// sampleCases returns the indexes of all n cases or, with -short or -race, few of them evenly
// spaced.
func sampleCases(n, few int) []int {
	k := n
	if testing.Short() || raceEnabled {
		k = few
	}
	var out []int
	for i := range k {
		out = append(out, i*n/k)
	}
	return out
}

// shardLeaderOf returns the index of the controller that leads the shard of a team, by the shard
// records.
func (w *World) shardLeaderOf(team string) int {
	for _, k := range sortedKeys(w.state.records) {
		var shard struct {
			Host  string   `msgpack:"host"`
			Teams []string `msgpack:"teams"`
		}
		if strings.HasPrefix(k, "ctl/share/") && msgpack.Unmarshal(w.state.records[k].value, &shard) == nil && slices.Contains(shard.Teams, team) {
			return w.controllerIndex(shard.Host)
		}
	}
	return 0
}

// runUntilDone runs the world until all jobs are done, for at most five minutes.
func (w *World) runUntilDone() {
	for end := w.now.Add(5 * time.Minute); w.now.Before(end); w.Run(5 * time.Second) {
		if !slices.ContainsFunc(sortedKeys(w.jobs), func(id string) bool { return w.jobs[id].lastState != "done" }) {
			return
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
