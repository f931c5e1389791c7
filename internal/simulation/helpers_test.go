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

// testSettings returns the settings of a small deployment with two zones and two teams. The team lab has a
// quota limit of 40 cores.
func testSettings() controller.Settings {
	return controller.Settings{
		Zones: []string{"a", "b"}, HeartbeatInterval: 3 * time.Second, WorkerLease: 24 * time.Second,
		MaxTxnWrites: 12, MaxValueBytes: 4096, StoreRequestsPerSecond: 150, StoreWritesPerSecond: 30, CloudRequestsPerSecond: 8, CloudListLag: 4 * time.Second,
		Policy:     controller.DefaultPolicy(),
		Objectives: []model.Objective{{Kind: "wait", Workload: "rush", Within: 2 * time.Second, Fraction: 0.9}},
		Teams:      []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 40}}},
	}
}

// testTypes returns two machine types, and the number of machines that the cloud has by type/zone/spot.
func testTypes() ([]model.MachineType, map[string]int) {
	return []model.MachineType{
			{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 0.5, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 20 * time.Second, Zones: []string{"a", "b"}},
			{Name: "big", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 40, ImageFetchRate: 0.5, CostPerHour: 1.5, SpotCostPerHour: 0.5, ProvisioningTime: 15 * time.Second, Zones: []string{"a"}},
		}, map[string]int{
			"small/a/true": 4, "small/a/false": 6, "small/b/true": 3, "small/b/false": 6, "big/a/true": 1, "big/a/false": 2,
		}
}

// testCancelWithin is the time within which the tasks of a cancelled job must stop (cancel_s).
const testCancelWithin = 54 * time.Second

// newTestWorld returns a world of three controllers with the test settings and machine types.
func newTestWorld(seed uint64) *World {
	return newTestWorldOfSize(seed, 3)
}

// newTestWorldOfSize returns a world with the given number of controllers, the test settings and the test
// machine types.
func newTestWorldOfSize(seed uint64, controllers int) *World {
	types, capacity := testTypes()
	return NewWorld(seed, controllers, testSettings(), testCancelWithin, types, capacity)
}

// newWorldWithRandomFeatures returns a world of three controllers with the test settings and machine types, and
// the features that belong to the seed.
func newWorldWithRandomFeatures(seed uint64) *World {
	types, capacity := testTypes()
	settings := testSettings()
	settings.Capabilities = randomCapabilities(seed)
	return NewWorld(seed, 3, settings, testCancelWithin, types, capacity)
}

// newSmallWorld returns a world of three controllers whose cloud has only small machines.
func newSmallWorld(seed uint64, set controller.Settings) *World {
	types, _ := testTypes()
	return NewWorld(seed, 3, set, testCancelWithin, types, map[string]int{"small/a/false": 20, "small/b/false": 20})
}

// batchJob returns a job of normal urgency. Each of its tasks needs cpu cores and cpu GB of memory.
func batchJob(id, team string, tasks int, cpu float64, run time.Duration) model.JobSpec {
	return model.JobSpec{
		ID: id, Workload: "batch", Team: team, Urgency: model.Normal, Tasks: tasks, Need: model.Resources{CPU: cpu, Memory: cpu},
		Image: "img", ImageGB: 1, ExpectedRunTime: run,
	}
}

// submitMany submits jobs that differ only in their IDs, and returns the IDs.
func (world *World) submitMany(prefix, team string, jobs, tasks int, cpu float64, run time.Duration) []string {
	var ids []string
	for i := range jobs {
		spec := batchJob(fmt.Sprintf("job-%s%03d", prefix, i), team, tasks, cpu, run)
		world.Submit(spec, run, false)
		ids = append(ids, spec.ID)
	}
	return ids
}

// longJob returns a job of the team ops whose tasks run longer than every test.
func longJob(id string, tasks int) model.JobSpec {
	return model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: tasks, Need: model.Resources{CPU: 1, Memory: 1},
		Image: "i", ImageGB: 0.1, ExpectedRunTime: time.Hour}
}

// waitUntil runs the world until a condition holds, and returns the simulated time that passed, or -1 if
// the condition does not hold within the limit.
func (world *World) waitUntil(limit time.Duration, condition func() bool) time.Duration {
	from := world.now
	for !condition() {
		if world.now.Sub(from) >= limit {
			return -1
		}
		world.Run(tickInterval)
	}
	return world.now.Sub(from)
}

// machinesRunning returns the machines that run tasks of a job, by machine ID.
func (world *World) machinesRunning(id string) []*Worker {
	var out []*Worker
	for _, k := range sortedKeys(world.machines) {
		machine := world.machines[k]
		for _, task := range machine.tasks {
			if task.job.spec.ID == id && task.onMachine() && !slices.Contains(out, machine) {
				out = append(out, machine)
			}
		}
	}
	return out
}

// trackLastRun returns a map that holds, for each of the jobs, the last time at which a task of the job was
// on a machine. It updates the map once a tick from its call on.
func (world *World) trackLastRun(ids ...string) map[string]time.Time {
	last := map[string]time.Time{}
	var scan func()
	scan = func() {
		for _, id := range ids {
			if world.runningTasks(id) > 0 {
				last[id] = world.now
			}
		}
		world.schedule(tickInterval, scan)
	}
	scan()
	return last
}

// checkStoppedWithin runs the world until the jobs in last, a map of trackLastRun, are confirmed as
// cancelled and have no running tasks. It fails the test if that takes more than three minutes, or if tasks
// ran for longer than the limit after the first confirmation.
func checkStoppedWithin(t *testing.T, world *World, last map[string]time.Time, limit time.Duration) {
	t.Helper()
	for _, id := range sortedKeys(last) {
		job := world.jobs[id]
		if world.waitUntil(3*time.Minute, func() bool { return !job.cancelledAt.IsZero() && world.runningTasks(id) == 0 }) < 0 {
			t.Errorf("%s: got state %q and %d running tasks, want cancelled and none", id, job.lastState, world.runningTasks(id))
		} else if stopTime := last[id].Sub(job.cancelledAt); stopTime > limit {
			t.Errorf("%s: got tasks running for %v after its cancellation was confirmed, want at most %v", id, stopTime, limit)
		}
	}
}

// maxStopTime is the time within which the tasks of a cancelled job on reachable machines must stop, also
// during a takeover.
const maxStopTime = 15 * time.Second

// checkNoViolations fails the test for each violated invariant, and prints the end of the world's log if
// the test has failed.
func checkNoViolations(t *testing.T, world *World) {
	t.Helper()
	reportViolations(t, world.Violations)
	if t.Failed() {
		logTail(t, world.logs, 80)
	}
}

// reportViolations fails the test for each violation.
func reportViolations(t *testing.T, violations []string) {
	t.Helper()
	for _, violation := range violations {
		t.Errorf("got violation %s", violation)
	}
}

// logTail prints the last lines of the log of a world or a day.
func logTail(t *testing.T, lines []string, last int) {
	t.Helper()
	t.Log(strings.Join(lines[max(0, len(lines)-last):], "\n"))
}

// checkFinalAnswers fails the test for each job that was not last reported as done. With allowOthers, jobs
// may also be refused or cancelled.
func checkFinalAnswers(t *testing.T, world *World, allowOthers bool) {
	t.Helper()
	for _, id := range sortedKeys(world.jobs) {
		if job := world.jobs[id]; job.lastState != "done" && !(allowOthers && (job.refusedStatus > 0 || job.lastState == "cancelled")) {
			t.Errorf("%s: got final state %q with %d of %d tasks done, want done", id, job.lastState, len(job.doneTasks), job.spec.Tasks)
		}
	}
}

// dayCount returns the number of random days that a test simulates: days, or few with -short or -race. The
// race detector makes a day ten times as slow and finds no further races in it, as all decisions are made in
// one goroutine. The environment variable MICAHILL_DAYS sets another number, for a long search:
// MICAHILL_DAYS=2000 go test ./internal/simulation -run TestSimulation$
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

// sampleCases returns the indexes of all n cases, or of a few evenly spaced ones with -short or -race.
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

// shardLeaderOf returns the index of the controller that leads the shard of a team according to the shard
// records in the state service, or 0 if no record lists the team.
func (world *World) shardLeaderOf(team string) int {
	for _, k := range sortedKeys(world.state.records) {
		var shard struct {
			Host  string   `msgpack:"host"`
			Teams []string `msgpack:"teams"`
		}
		if strings.HasPrefix(k, "ctl/share/") && msgpack.Unmarshal(world.state.records[k].value, &shard) == nil && slices.Contains(shard.Teams, team) {
			return world.controllerIndex(shard.Host)
		}
	}
	return 0
}

// runUntilDone runs the world until all jobs are done, but for at most about five minutes.
func (world *World) runUntilDone() {
	for end := world.now.Add(5 * time.Minute); world.now.Before(end); world.Run(5 * time.Second) {
		if !slices.ContainsFunc(sortedKeys(world.jobs), func(id string) bool { return world.jobs[id].lastState != "done" }) {
			return
		}
	}
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// boolInt returns 1 for true and 0 for false.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// hostType returns a machine type with eight GPUs.
func hostType() model.MachineType {
	return model.MachineType{
		Name: "host", Capacity: model.Resources{CPU: 64, GPU: 8, Memory: 512}, DiskGB: 400, ImageFetchRate: 1,
		CostPerHour: 12, SpotCostPerHour: 4, ProvisioningTime: 15 * time.Second, Zones: []string{"a"},
	}
}

// newHostWorld returns a world with models whose cloud has the given number of hosts, and big machines without
// GPUs. There are as many teams as controllers, each in the shard of another controller. The world counts as
// free of faults from its start, so that the rules on waiting times apply.
func newHostWorld(seed uint64, controllers, hosts, bigMachines int) *World {
	settings := testSettings()
	settings.Zones, settings.Teams = []string{"a"}, nil
	for i := range controllers {
		settings.Teams = append(settings.Teams, model.Team{Name: teamName(i)})
	}
	settings.Capabilities = controller.Capabilities{Models: true, MaxMigratingFraction: 0.1, MigrationCooldown: 5 * time.Minute}
	types, _ := testTypes()
	world := NewWorld(seed, controllers, settings, testCancelWithin, []model.MachineType{hostType(), types[1]}, map[string]int{"host/a/false": hosts, "big/a/false": bigMachines})
	world.faultsEndAt = world.now
	return world
}

// teamName returns the name of the team with an index.
func teamName(i int) string { return fmt.Sprintf("team-%c", 'a'+i) }

// modelJobSpec returns a model with the given number of replicas and of GPUs per replica.
func modelJobSpec(id string, team, replicas int, gpus float64) model.JobSpec {
	spec := model.JobSpec{
		ID: id, Workload: fmt.Sprintf("model-%g", gpus), Team: teamName(team), LongRunning: true, Urgency: model.Normal, Tasks: replicas,
		Need: model.Resources{CPU: 6 * gpus, GPU: gpus, Memory: 32 * gpus}, Image: fmt.Sprintf("model-%g", gpus), ImageGB: 10,
	}
	if gpus == gpusPerMachine {
		spec.Urgency = model.Urgent
	}
	return spec
}
