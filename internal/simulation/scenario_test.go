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

// scenario is the state of a scenario file.
type scenario struct {
	world *World
	// unreachable are machines that nothing reaches, and startedUnreachable the attempts that
	// controllers have started there since.
	unreachable        map[string]bool
	startedUnreachable map[string]bool
	// heldCommand is the command that was held last.
	heldCommand *heldCommand
	// promises records the promised dates in a world with promises.
	promises *promiseRecorder
}

// arg returns an argument of a command, or def without it.
func arg[T any](t *testing.T, d *datadriven.TestData, name string, def T) T {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &def)
	}
	return def
}

// durationArg returns an argument in seconds.
func durationArg(t *testing.T, d *datadriven.TestData, name string, def float64) time.Duration {
	return record.DurationOfSeconds(arg(t, d, name, def))
}

// submit submits the job that a command describes.
func (s *scenario) submit(t *testing.T, d *datadriven.TestData) {
	run := durationArg(t, d, "run", 20)
	cpu := arg(t, d, "cpu", 2.0)
	spec := model.JobSpec{
		ID: arg(t, d, "id", ""), Workload: arg(t, d, "workload", "batch"), Team: arg(t, d, "team", "ops"),
		LongRunning: d.HasArg("standing"), Gang: d.HasArg("gang"), Urgency: model.Urgency(arg(t, d, "urgency", 1)),
		Tasks: arg(t, d, "tasks", 1), Need: model.Resources{CPU: cpu, Memory: cpu},
		Image: arg(t, d, "image", "img-1"), ImageGB: 1, Zone: arg(t, d, "zone", ""),
		SameZone: d.HasArg("same"), SpreadZones: d.HasArg("apart"), AllowSpot: d.HasArg("spot"),
		ExpectedRunTime: durationArg(t, d, "expected", run.Seconds()), CheckpointInterval: durationArg(t, d, "save", 0), CheckpointCost: durationArg(t, d, "cost", 0),
		Deadline: durationArg(t, d, "due", 0),
	}
	if f := arg(t, d, "flavour", ""); f != "" {
		spec.MachineTypes = []string{f}
	}
	if needs := arg(t, d, "needs", ""); needs != "" {
		spec.Dependencies = strings.Split(needs, "+")
	}
	s.world.Submit(spec, run, d.HasArg("broken"))
}

// shardLeaderNames returns the names of the controllers that lead a shard.
func (s *scenario) shardLeaderNames() string {
	var b strings.Builder
	for _, p := range s.world.controllers {
		if p.alive && p.controller.IsShardLeader() {
			fmt.Fprintln(&b, p.name)
		}
	}
	return b.String()
}

// describe prints the state of each job and the violations, which do not depend on where tasks run.
func (s *scenario) describe() string {
	var b strings.Builder
	for _, id := range sortedKeys(s.world.jobs) {
		j := s.world.jobs[id]
		state := j.lastState
		if j.refusedStatus != 0 {
			state = fmt.Sprint(j.refusedStatus)
		}
		fmt.Fprintf(&b, "%s %s\n", id, state)
	}
	s.world.checkDependencyOutcomes()
	for _, x := range s.world.Violations {
		fmt.Fprintln(&b, "BROKEN", x)
	}
	return b.String()
}

// TestScenarios runs the scenario files under testdata.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		s := &scenario{world: newTestWorld(1)}
		s.world.trace = os.Getenv("MICAHILL_TRACE")
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			for _, run := range []func(*testing.T, *datadriven.TestData) (string, bool){s.runSetup, s.runUserCommand, s.runCheck} {
				if out, ok := run(t, d); ok {
					return out
				}
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
		if t.Failed() || s.world.trace != "" {
			logTail(t, s.world.logs, len(s.world.logs))
		}
	})
}

// newWorld replaces the world by the one that a command describes.
func (s *scenario) newWorld(t *testing.T, d *datadriven.TestData) {
	seed, controllers := arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3)
	s.world = newTestWorldOfSize(seed, controllers)
	s.world.trace = os.Getenv("MICAHILL_TRACE")
	if d.HasArg("lease") {
		// Unless given, cancel_s is as much longer than the lease as in all deployments.
		set := testSettings()
		set.WorkerLease, set.HeartbeatInterval = durationArg(t, d, "lease", 0), durationArg(t, d, "lease", 0)/6
		types, capacity := testTypes()
		s.world = NewWorld(seed, controllers, set, durationArg(t, d, "cancel", set.WorkerLease.Seconds()+30), types, capacity)
	}
	if d.HasArg("ranking") {
		s.world = newRankingWorld(seed, controllers)
	}
	if d.HasArg("promises") {
		s.world = newPromiseWorld(seed, controllers)
		s.promises = recordPromises(s.world)
	}
}

// runSetup runs a command that sets the world up or disturbs it. It returns false if the command is
// none.
func (s *scenario) runSetup(t *testing.T, d *datadriven.TestData) (string, bool) {
	switch d.Cmd {
	case "world":
		s.newWorld(t, d)
	case "run":
		s.world.Run(durationArg(t, d, "for", 10))
	case "fault":
		return s.startFault(t, d), true
	case "skew":
		s.world.controllers[arg(t, d, "node", 0)].clockSkew = durationArg(t, d, "by", 1)
	case "twice":
		s.world.duplicateRate = arg(t, d, "share", 0.5)
	case "rank":
		return s.setRanking(t, d), true
	default:
		return "", false
	}
	return "", true
}

// runUserCommand runs a command that sends requests of users. It returns false if the command is none.
func (s *scenario) runUserCommand(t *testing.T, d *datadriven.TestData) (string, bool) {
	switch d.Cmd {
	case "flood":
		flood(s.world, arg(t, d, "workload", "reprint"), arg(t, d, "jobs", 40), durationArg(t, d, "run", 10))
	case "submit":
		s.submit(t, d)
	case "many":
		s.submitMany(t, d)
	case "abort":
		id, at := arg(t, d, "id", ""), milestone(arg(t, d, "at", ""))
		first, many := arg(t, d, "node", 0), arg(t, d, "nodes", 0)
		switch {
		case at != "":
			s.world.jobs[id].onMilestone(at, func() { s.world.CancelAt(id, first, max(1, many)) })
		case many > 0:
			s.world.CancelAt(id, first, many)
		default:
			s.world.Cancel(id)
		}
	case "ask":
		s.world.QueryUnknownJob(arg(t, d, "id", ""))
	case "repeat":
		s.world.resubmit(s.world.jobs[arg(t, d, "id", "")])
	default:
		return "", false
	}
	return "", true
}

// submitMany submits small jobs with numbered names, except those that were submitted before.
func (s *scenario) submitMany(t *testing.T, d *datadriven.TestData) {
	for i := range arg(t, d, "jobs", 10) {
		if s.world.jobs[fmt.Sprintf("job-m%03d", i)] != nil {
			continue
		}
		s.world.Submit(model.JobSpec{ID: fmt.Sprintf("job-m%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 1 + i%4,
			Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 1, AllowSpot: i%2 == 0, ExpectedRunTime: durationArg(t, d, "expected", 15)}, durationArg(t, d, "run", 15), false)
	}
}

// runCheck runs a command that prints something of the world. It returns false if the command is none.
func (s *scenario) runCheck(t *testing.T, d *datadriven.TestData) (string, bool) {
	switch d.Cmd {
	case "ranking":
		out := s.describeRanking(t)
		if d.HasArg("behind") {
			_, out, _ = strings.Cut(out, "; ")
		}
		return out, true
	case "left":
		return s.describeUnfinished(), true
	case "why":
		return s.explainWaiting(arg(t, d, "id", "")), true
	case "dates":
		return s.promises.describe(d.HasArg("revised")), true
	case "until":
		j, at := s.world.jobs[arg(t, d, "id", "")], milestone(arg(t, d, "is", ""))
		if s.world.waitUntil(durationArg(t, d, "within", 300), func() bool { return j.hasReached(at) }) < 0 {
			return "never\n", true
		}
		return "", true
	case "show":
		return s.describe(), true
	case "state":
		return s.world.jobs[arg(t, d, "id", "")].lastState + "\n", true
	case "live":
		return fmt.Sprintf("%d\n", s.world.runningTasks(arg(t, d, "id", ""))), true
	case "owner":
		return s.shardLeaderNames(), true
	case "starts":
		return fmt.Sprintf("%d\n", s.world.Starts), true
	case "held":
		return s.heldCommand.String(), true
	case "on_deaf":
		return fmt.Sprintf("%d\n", len(s.startedUnreachable)), true
	case "met":
		// Whether the faults took effect.
		return fmt.Sprintf("commands carried out late: %v, copies brought to a next leader: %v\n", s.world.lateCommandsDone > 0, s.world.heartbeatsReplayed > 0), true
	case "lost":
		return fmt.Sprintf("%d\n", s.world.LostToLease), true
	case "machines":
		rented := 0
		for _, m := range s.world.machines {
			if !m.dead && !m.released {
				rented++
			}
		}
		return fmt.Sprintf("%d\n", rented), true
	default:
		return "", false
	}
}
