package simulation

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// scenario is the state of the world that the commands of one scenario file act on.
type scenario struct {
	world *World
	// unreachable has the machines of the last deaf_machines fault, which replies and commands don't
	// reach, and startedUnreachable the attempts that controllers tried to start on them meanwhile.
	unreachable        map[string]bool
	startedUnreachable map[string]bool
	// heldStarts is the reply with starts that was held back last.
	heldStarts *heldStarts
	// promises records the promised dates. It is nil in a world without promises.
	promises *promiseRecorder
}

// arg returns the named argument of a scenario command, or fallback if the command doesn't have it.
func arg[T any](t *testing.T, command *datadriven.TestData, name string, fallback T) T {
	if command.HasArg(name) {
		command.ScanArgs(t, name, &fallback)
	}
	return fallback
}

// durationArg returns the named argument of a scenario command, which is in seconds like fallback.
func durationArg(t *testing.T, command *datadriven.TestData, name string, fallback float64) time.Duration {
	return record.DurationOfSeconds(arg(t, command, name, fallback))
}

// submit submits the job that a scenario command describes.
func (scenario *scenario) submit(t *testing.T, command *datadriven.TestData) {
	runTime := durationArg(t, command, "run", 20)
	cpu := arg(t, command, "cpu", 2.0)
	spec := model.JobSpec{
		ID: arg(t, command, "id", ""), Workload: arg(t, command, "workload", "batch"), Team: arg(t, command, "team", "ops"),
		LongRunning: command.HasArg("standing"), Gang: command.HasArg("gang"), Urgency: model.Urgency(arg(t, command, "urgency", 1)),
		Tasks: arg(t, command, "tasks", 1), Need: model.Resources{CPU: cpu, Memory: cpu},
		Image: arg(t, command, "image", "img-1"), ImageGB: 1, Zone: arg(t, command, "zone", ""),
		SameZone: command.HasArg("same"), SpreadZones: command.HasArg("apart"), AllowSpot: command.HasArg("spot"),
		ExpectedRunTime: durationArg(t, command, "expected", runTime.Seconds()), CheckpointInterval: durationArg(t, command, "save", 0), CheckpointCost: durationArg(t, command, "cost", 0),
		Deadline: durationArg(t, command, "due", 0),
	}
	if machineType := arg(t, command, "flavour", ""); machineType != "" {
		spec.MachineTypes = []string{machineType}
	}
	if dependencies := arg(t, command, "needs", ""); dependencies != "" {
		spec.Dependencies = strings.Split(dependencies, "+")
	}
	scenario.world.Submit(spec, runTime, command.HasArg("broken"))
}

// shardLeaderNames returns the names of the live controllers that lead a shard, each on a line.
func (scenario *scenario) shardLeaderNames() string {
	var names strings.Builder
	for _, process := range scenario.world.controllers {
		if process.alive && process.controller.IsShardLeader() {
			fmt.Fprintln(&names, process.name)
		}
	}
	return names.String()
}

// describe returns the last answered state of each job, or the status with which it was refused, and all
// violations. None of them depends on where tasks run.
func (scenario *scenario) describe() string {
	var out strings.Builder
	for _, id := range sortedKeys(scenario.world.jobs) {
		job := scenario.world.jobs[id]
		state := job.lastState
		if job.refusedStatus != 0 {
			state = fmt.Sprint(job.refusedStatus)
		}
		fmt.Fprintf(&out, "%s %s\n", id, state)
	}
	scenario.world.checkDependencyOutcomes()
	for _, violation := range scenario.world.Violations {
		fmt.Fprintln(&out, "BROKEN", violation)
	}
	return out.String()
}

// TestScenarios runs each scenario file under testdata in a world of its own, and compares the output of its
// commands.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		scenario := &scenario{world: newTestWorld(1)}
		scenario.world.trace = os.Getenv("MICAHILL_TRACE")
		datadriven.RunTest(t, path, func(t *testing.T, command *datadriven.TestData) string {
			for _, runCommand := range []func(*testing.T, *datadriven.TestData) (string, bool){scenario.runSetup, scenario.runUserCommand, scenario.runCheck} {
				if out, ok := runCommand(t, command); ok {
					return out
				}
			}
			command.Fatalf(t, "unknown command %s", command.Cmd)
			return ""
		})
		if t.Failed() || scenario.world.trace != "" {
			logTail(t, scenario.world.logs, len(scenario.world.logs))
		}
	})
}

// newWorld replaces the scenario's world by the one that a scenario command describes.
func (scenario *scenario) newWorld(t *testing.T, command *datadriven.TestData) {
	seed, controllers := arg(t, command, "seed", uint64(1)), arg(t, command, "nodes", 3)
	scenario.world = newTestWorldOfSize(seed, controllers)
	scenario.world.trace = os.Getenv("MICAHILL_TRACE")
	if command.HasArg("lease") {
		// By default cancel_s is 30 s longer than the lease, as in all deployments.
		settings := testSettings()
		settings.WorkerLease, settings.HeartbeatInterval = durationArg(t, command, "lease", 0), durationArg(t, command, "lease", 0)/6
		types, capacity := testTypes()
		scenario.world = NewWorld(seed, controllers, settings, durationArg(t, command, "cancel", settings.WorkerLease.Seconds()+30), types, capacity)
	}
	if command.HasArg("ranking") {
		scenario.world = newRankingWorld(seed, controllers)
	}
	if command.HasArg("promises") {
		scenario.world = newPromiseWorld(seed, controllers)
		scenario.promises = recordPromises(scenario.world)
	}
}

// runSetup runs a scenario command that sets up the world, advances its time or starts a fault. It returns
// false if the command is another one.
func (scenario *scenario) runSetup(t *testing.T, command *datadriven.TestData) (string, bool) {
	switch command.Cmd {
	case "world":
		scenario.newWorld(t, command)
	case "run":
		scenario.world.Run(durationArg(t, command, "for", 10))
	case "fault":
		return scenario.startFault(t, command), true
	case "skew":
		scenario.world.controllers[arg(t, command, "node", 0)].clockSkew = durationArg(t, command, "by", 1)
	case "twice":
		scenario.world.duplicateRate = arg(t, command, "share", 0.5)
	case "rank":
		return scenario.setRanking(t, command), true
	default:
		return "", false
	}
	return "", true
}

// runUserCommand runs a scenario command that sends requests of users. It returns false if the command is
// another one.
func (scenario *scenario) runUserCommand(t *testing.T, command *datadriven.TestData) (string, bool) {
	switch command.Cmd {
	case "flood":
		submitWorkload(scenario.world, arg(t, command, "workload", "reprint"), arg(t, command, "jobs", 40), durationArg(t, command, "run", 10))
	case "submit":
		scenario.submit(t, command)
	case "many":
		scenario.submitMany(t, command)
	case "abort":
		id, at := arg(t, command, "id", ""), milestone(arg(t, command, "at", ""))
		firstController, controllerCount := arg(t, command, "node", 0), arg(t, command, "nodes", 0)
		switch {
		case at != "":
			scenario.world.jobs[id].onMilestone(at, func() { scenario.world.CancelAt(id, firstController, max(1, controllerCount)) })
		case controllerCount > 0:
			scenario.world.CancelAt(id, firstController, controllerCount)
		default:
			scenario.world.Cancel(id)
		}
	case "ask":
		scenario.world.QueryUnknownJob(arg(t, command, "id", ""))
	case "repeat":
		scenario.world.resubmit(scenario.world.jobs[arg(t, command, "id", "")])
	default:
		return "", false
	}
	return "", true
}

// submitMany submits small jobs with numbered IDs, except jobs that were submitted before.
func (scenario *scenario) submitMany(t *testing.T, command *datadriven.TestData) {
	for i := range arg(t, command, "jobs", 10) {
		if scenario.world.jobs[fmt.Sprintf("job-m%03d", i)] != nil {
			continue
		}
		scenario.world.Submit(model.JobSpec{ID: fmt.Sprintf("job-m%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 1 + i%4,
			Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 1, AllowSpot: i%2 == 0, ExpectedRunTime: durationArg(t, command, "expected", 15)}, durationArg(t, command, "run", 15), false)
	}
}

// runCheck runs a scenario command that prints part of the world's state. It returns false if the command is
// another one.
func (scenario *scenario) runCheck(t *testing.T, command *datadriven.TestData) (string, bool) {
	switch command.Cmd {
	case "ranking":
		out := scenario.describeRanking(t)
		if command.HasArg("behind") {
			_, out, _ = strings.Cut(out, "; ")
		}
		return out, true
	case "left":
		return scenario.describeUnfinished(), true
	case "why":
		return scenario.explainWaiting(arg(t, command, "id", "")), true
	case "dates":
		return scenario.promises.describe(command.HasArg("revised")), true
	case "until":
		job, at := scenario.world.jobs[arg(t, command, "id", "")], milestone(arg(t, command, "is", ""))
		if scenario.world.waitUntil(durationArg(t, command, "within", 300), func() bool { return job.hasReached(at) }) < 0 {
			return "never\n", true
		}
		return "", true
	case "show":
		return scenario.describe(), true
	case "state":
		return scenario.world.jobs[arg(t, command, "id", "")].lastState + "\n", true
	case "live":
		return fmt.Sprintf("%d\n", scenario.world.runningTasks(arg(t, command, "id", ""))), true
	case "owner":
		return scenario.shardLeaderNames(), true
	case "starts":
		return fmt.Sprintf("%d\n", scenario.world.Starts), true
	case "held":
		return scenario.heldStarts.String(), true
	case "on_deaf":
		return fmt.Sprintf("%d\n", len(scenario.startedUnreachable)), true
	case "met":
		// Prints whether the faults took effect.
		return fmt.Sprintf("commands carried out late: %v, copies brought to a next leader: %v\n", scenario.world.lateCommandsDone > 0, scenario.world.heartbeatsReplayed > 0), true
	case "lost":
		return fmt.Sprintf("%d\n", scenario.world.LostToLease), true
	case "machines":
		rented := 0
		for _, machine := range scenario.world.machines {
			if !machine.dead && !machine.released {
				rented++
			}
		}
		return fmt.Sprintf("%d\n", rented), true
	default:
		return "", false
	}
}
