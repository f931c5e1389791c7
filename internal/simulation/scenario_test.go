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

// scenario is one file's state. deafened are machines that nothing reaches, and startedUnreachable
// the attempts that controllers have ordered to start there since.
type scenario struct {
	world              *World
	unreachable        map[string]bool
	startedUnreachable map[string]bool
	// heldCommand is the order that was held last; see held_test.go.
	heldCommand *heldCommand
	// promises are recorded in a world with promises.
	promises *promiseRecorder
}

func arg[T any](t *testing.T, d *datadriven.TestData, name string, def T) T {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &def)
	}
	return def
}

func durationArg(t *testing.T, d *datadriven.TestData, name string, def float64) time.Duration {
	return record.DurationOfSeconds(arg(t, d, name, def))
}

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

// shardLeaderNames names the controllers that run jobs.
func (s *scenario) shardLeaderNames() string {
	var b strings.Builder
	for _, p := range s.world.controllers {
		if p.alive && p.controller.IsShardLeader() {
			fmt.Fprintln(&b, p.name)
		}
	}
	return b.String()
}

// describe prints what does not depend on how work happens to be spread.
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
			switch d.Cmd {
			case "world":
				s.world = newTestWorldOfSize(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3))
				s.world.trace = os.Getenv("MICAHILL_TRACE")
				if d.HasArg("lease") {
					// cancel_s as far behind it as on all sites, if nothing else is said.
					set := testSettings()
					set.WorkerLease, set.HeartbeatInterval = durationArg(t, d, "lease", 0), durationArg(t, d, "lease", 0)/6
					types, room := testTypes()
					s.world = NewWorld(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3), set, durationArg(t, d, "cancel", set.WorkerLease.Seconds()+30), types, room)
				}
				if d.HasArg("ranking") {
					s.world = newRankingWorld(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3))
				}
				if d.HasArg("promises") {
					s.world = newPromiseWorld(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3))
					s.promises = recordPromises(s.world)
				}
			case "rank":
				return s.setRanking(t, d)
			case "ranking":
				out := s.describeRanking(t)
				if d.HasArg("behind") {
					_, out, _ = strings.Cut(out, "; ")
				}
				return out
			case "left":
				return s.describeUnfinished()
			case "why":
				return s.explainWaiting(arg(t, d, "id", ""))
			case "flood":
				flood(s.world, arg(t, d, "workload", "reprint"), arg(t, d, "jobs", 40), durationArg(t, d, "run", 10))
			case "skew":
				s.world.controllers[arg(t, d, "node", 0)].clockSkew = durationArg(t, d, "by", 1)
			case "twice":
				s.world.duplicateRate = arg(t, d, "share", 0.5)
			case "dates":
				return s.promises.describe(d.HasArg("revised"))
			case "submit":
				s.submit(t, d)
			case "many":
				for i := range arg(t, d, "jobs", 10) {
					if s.world.jobs[fmt.Sprintf("job-m%03d", i)] != nil {
						continue
					}
					s.world.Submit(model.JobSpec{ID: fmt.Sprintf("job-m%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 1 + i%4,
						Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 1, AllowSpot: i%2 == 0, ExpectedRunTime: durationArg(t, d, "expected", 15)}, durationArg(t, d, "run", 15), false)
				}
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
			case "until":
				j, at := s.world.jobs[arg(t, d, "id", "")], milestone(arg(t, d, "is", ""))
				if s.world.waitUntil(durationArg(t, d, "within", 300), func() bool { return j.hasReached(at) }) < 0 {
					return "never\n"
				}
			case "repeat":
				s.world.resubmit(s.world.jobs[arg(t, d, "id", "")])
			case "run":
				s.world.Run(durationArg(t, d, "for", 10))
			case "fault":
				return s.startFault(t, d)
			case "show":
				return s.describe()
			case "state":
				j := s.world.jobs[arg(t, d, "id", "")]
				return j.lastState + "\n"
			case "live":
				return fmt.Sprintf("%d\n", s.world.runningTasks(arg(t, d, "id", "")))
			case "owner":
				return s.shardLeaderNames()
			case "starts":
				return fmt.Sprintf("%d\n", s.world.Starts)
			case "held":
				return s.heldCommand.String()
			case "on_deaf":
				return fmt.Sprintf("%d\n", len(s.startedUnreachable))
			case "met":
				// That the trouble was there.
				return fmt.Sprintf("commands carried out late: %v, copies brought to a next leader: %v\n", s.world.lateCommandsDone > 0, s.world.heartbeatsReplayed > 0)
			case "lost":
				return fmt.Sprintf("%d\n", s.world.LostToLease)
			case "machines":
				k := 0
				for _, m := range s.world.machines {
					if !m.dead && !m.released {
						k++
					}
				}
				return fmt.Sprintf("%d\n", k)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return ""
		})
		if t.Failed() || s.world.trace != "" {
			logTail(t, s.world.logs, len(s.world.logs))
		}
	})
}
