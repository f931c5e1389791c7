package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

func testSettings() controller.Settings {
	return controller.Settings{
		Zones: []string{"a", "b"}, HeartbeatInterval: 3 * time.Second, WorkerLease: 24 * time.Second,
		MaxTxnWrites: 12, MaxValueBytes: 4096, StoreRequestsPerSecond: 150, StoreWritesPerSecond: 30, CloudRequestsPerSecond: 8, CloudListLag: 4 * time.Second,
		Policy:     controller.DefaultPolicy(),
		Objectives: []model.Objective{{Kind: "wait", Workload: "rush", Within: 2 * time.Second, Fraction: 0.9}},
		Teams:      []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 40}}},
	}
}

func testTypes() ([]model.MachineType, map[string]int) {
	return []model.MachineType{
			{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 0.5, CostPerHour: 0.2, SpotCostPerHour: 0.07, ProvisioningTime: 20 * time.Second, Zones: []string{"a", "b"}},
			{Name: "big", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 40, ImageFetchRate: 0.5, CostPerHour: 1.5, SpotCostPerHour: 0.5, ProvisioningTime: 15 * time.Second, Zones: []string{"a"}},
		}, map[string]int{
			"small/a/true": 4, "small/a/false": 6, "small/b/true": 3, "small/b/false": 6, "big/a/true": 1, "big/a/false": 2,
		}
}

const testCancel = 54 * time.Second

func newTestWorld(seed uint64) *World {
	return newTestWorldOf(seed, 3)
}

func newTestWorldOf(seed uint64, nodes int) *World {
	types, room := testTypes()
	return NewWorld(seed, nodes, testSettings(), testCancel, types, room)
}

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

// watchUnreachable counts what is ordered to start on machines that nothing reaches.
func (s *scenario) watchUnreachable(ids []string) {
	s.unreachable, s.startedUnreachable = map[string]bool{}, map[string]bool{}
	for _, id := range ids {
		s.unreachable[id] = true
	}
	s.world.corruptEffect = func(e message.Effect) message.Effect {
		if op, ok := e.(message.WorkerRequest); ok && s.unreachable[op.Machine] && s.world.now.Before(s.world.machines[op.Machine].unreachableUntil) {
			for _, o := range op.Commands {
				if o.Kind == model.StartTask {
					s.startedUnreachable[fmt.Sprintf("%s#%d", taskName(o.Job, o.Index), o.Attempt)] = true
				}
			}
		}
		return e
	}
}

func arg[T any](t *testing.T, d *datadriven.TestData, name string, def T) T {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &def)
	}
	return def
}

func seconds(t *testing.T, d *datadriven.TestData, name string, def float64) time.Duration {
	return record.DurationOfSeconds(arg(t, d, name, def))
}

func (s *scenario) submit(t *testing.T, d *datadriven.TestData) {
	run := seconds(t, d, "run", 20)
	cpu := arg(t, d, "cpu", 2.0)
	spec := model.JobSpec{
		ID: arg(t, d, "id", ""), Workload: arg(t, d, "workload", "batch"), Team: arg(t, d, "team", "ops"),
		LongRunning: d.HasArg("standing"), Gang: d.HasArg("gang"), Urgency: model.Urgency(arg(t, d, "urgency", 1)),
		Tasks: arg(t, d, "tasks", 1), Need: model.Resources{CPU: cpu, Memory: cpu},
		Image: arg(t, d, "image", "img-1"), ImageGB: 1, Zone: arg(t, d, "zone", ""),
		SameZone: d.HasArg("same"), SpreadZones: d.HasArg("apart"), AllowSpot: d.HasArg("spot"),
		ExpectedRunTime: seconds(t, d, "expected", run.Seconds()), CheckpointInterval: seconds(t, d, "save", 0), CheckpointCost: seconds(t, d, "cost", 0),
		Deadline: seconds(t, d, "due", 0),
	}
	if f := arg(t, d, "flavour", ""); f != "" {
		spec.MachineTypes = []string{f}
	}
	if needs := arg(t, d, "needs", ""); needs != "" {
		spec.Dependencies = strings.Split(needs, "+")
	}
	s.world.Submit(spec, run, d.HasArg("broken"))
}

// pausePoints are what a process may be about to send when it stands still.
var pausePoints = map[string]func(message.Effect) bool{
	"renew": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpLeaseRenew
	},
	"claim":    func(e message.Effect) bool { return changes(e, "ctl/lead") },
	"share":    func(e message.Effect) bool { return changes(e, "ctl/share/") },
	"register": func(e message.Effect) bool { return changes(e, "ctl/node/") },
	"read": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpList && op.Key == "task/"
	},
	"epoch": func(e message.Effect) bool {
		op, ok := e.(message.WorkerRequest)
		return ok && !op.StatusOnly && len(op.Commands) == 0
	},
	"submit": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpTxn && op.Priority == message.PriorityUser
	},
	"start": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpTxn && op.Priority == message.PriorityStart
	},
	"rent": func(e message.Effect) bool {
		op, ok := e.(message.CloudRequest)
		return ok && op.Kind == message.CloudRent
	},
	"return": func(e message.Effect) bool {
		op, ok := e.(message.CloudRequest)
		return ok && op.Kind == message.CloudRelease
	},
	"orders": func(e message.Effect) bool {
		op, ok := e.(message.WorkerRequest)
		return ok && len(op.Commands) > 0
	},
	"rank": func(e message.Effect) bool {
		op, ok := e.(message.StoreRequest)
		return ok && op.Kind == message.OpTxn && len(op.Writes) > 0 && op.Writes[0].Key == "ctl/ranking"
	},
	"report": func(e message.Effect) bool { r, ok := e.(message.HeartbeatReply); return ok && r.Status == 200 },
	"accept": func(e message.Effect) bool { r, ok := e.(message.UserReply); return ok && r.Status == 201 },
	"page":   isPage,
	"poll":   func(e message.Effect) bool { r, ok := e.(message.UserReply); return ok && r.Status == 200 },
}

// changes says that an effect writes a key with this beginning.
func changes(e message.Effect, key string) bool {
	op, ok := e.(message.StoreRequest)
	return ok && slices.ContainsFunc(op.Writes, func(c message.Write) bool { return strings.HasPrefix(c.Key, key) })
}

// busiest is the nth machine with the most tasks on it.
func (s *scenario) busiest() *Worker {
	var best *Worker
	for _, id := range sortedKeys(s.world.machines) {
		if m := s.world.machines[id]; m.up(s.world.now) && (best == nil || len(m.tasks) > len(best.tasks)) {
			best = m
		}
	}
	return best
}

// owner is the controller that runs the jobs.
func (s *scenario) owner() int {
	for i, p := range s.world.controllers {
		if p.alive && p.controller.IsShardLeader() {
			return i
		}
	}
	return 0
}

// owners names the controllers that run jobs.
func (s *scenario) owners() string {
	var b strings.Builder
	for _, p := range s.world.controllers {
		if p.alive && p.controller.IsShardLeader() {
			fmt.Fprintln(&b, p.name)
		}
	}
	return b.String()
}

func (s *scenario) fault(t *testing.T, d *datadriven.TestData) string {
	w := s.world
	dur := seconds(t, d, "for", 20)
	node := func() int {
		if d.HasArg("owner") {
			return s.owner()
		}
		if d.HasArg("team") {
			return w.ownerOf(arg(t, d, "team", ""))
		}
		return arg(t, d, "node", 0)
	}
	switch what := d.CmdArgs[0].Key; what {
	case "crash":
		if is, ok := pausePoints[arg(t, d, "in", "")]; ok {
			// Whoever is the first to come to that.
			w.CrashBefore(seconds(t, d, "back", 0.05), d.HasArg("sent"), is)
			break
		}
		if d.HasArg("others") {
			for i := range w.controllers {
				if i != s.owner() {
					w.CrashController(i, seconds(t, d, "back", 5))
				}
			}
			break
		}
		if d.HasArg("all") {
			for i := range w.controllers {
				w.CrashController(i, seconds(t, d, "back", 5))
			}
			break
		}
		if d.HasArg("still") {
			// In the middle of what it was doing.
			for i, p := range w.controllers {
				if w.now.Before(p.pausedUntil) {
					w.CrashController(i, seconds(t, d, "back", 5))
				}
			}
			break
		}
		w.CrashController(node(), seconds(t, d, "back", 5))
	case "cut":
		w.Partition(w.controllers[node()].name, arg(t, d, "from", "*"), dur, d.HasArg("hold"))
	case "refused":
		w.refuseController(w.controllers[node()], dur)
	case "still":
		// In the middle of something, or at once; the owner, or whoever comes first.
		who := func(p *controllerProcess) bool { return !d.HasArg("owner") || p.controller.IsShardLeader() }
		is, ok := pausePoints[arg(t, d, "in", "")]
		if !ok {
			w.Pause(node(), dur)
			break
		}
		w.PauseBefore(dur, is, who)
	case "refused_outage":
		// It alone at first, then all.
		w.startOverlapFault(Fault{Kind: "refused_outage", Controller: node(), Delay: seconds(t, d, "late", 2), Duration: dur})
	case "late_writes":
		w.DelayWrites(arg(t, d, "share", 0.5), dur)
	case "late_commands":
		w.DelayCommands(arg(t, d, "share", 0.5), dur)
	case "cancel_now":
		w.CancelLongRunning(arg(t, d, "count", 8), dur)
	case "mute_machines":
		// They reach no controller; orders reach them.
		w.MakeUnheard(w.SampleMachineIDs(arg(t, d, "share", 0.1), arg(t, d, "zone", ""), rand.New(rand.NewPCG(1, 1))), dur)
	case "close_looks":
		w.concurrentReadsUntil = w.now.Add(dur)
	case "odd_requests":
		w.SendInvalidRequests(dur)
	case "outage":
		w.Outage(dur)
	case "cloud":
		w.cloudOutage = true
		w.schedule(dur, func() { w.cloudOutage = false })
	case "half":
		for i, id := range sortedKeys(w.machines) {
			if i%2 == 0 && w.machines[id].up(w.now) {
				w.Partition(id, "*", dur, d.HasArg("hold"))
			}
		}
	case "die":
		w.killMachine(s.busiest())
	case "hang":
		s.busiest().hungUntil = w.now.Add(dur)
	case "recall":
		s.busiest().reclaimAt = w.now.Add(dur)
	case "slow":
		s.busiest().slowFactor = arg(t, d, "factor", 5.0)
		for _, x := range s.busiest().tasks {
			x.remaining = time.Duration(float64(x.remaining) * s.busiest().slowFactor)
		}
	case "faulty":
		s.busiest().faulty = true
	case "capacity":
		for _, k := range sortedKeys(w.cloudCapacity) {
			w.cloudCapacity[k] = 0
		}
	case "deaf_machines":
		// Their reports arrive; answers and orders don't reach them.
		var ids []string
		switch {
		case d.HasArg("busiest"):
			ids = []string{s.busiest().ID}
		default:
			ids = w.SampleMachineIDs(arg(t, d, "share", 0.1), arg(t, d, "zone", ""), rand.New(rand.NewPCG(1, 1)))
		}
		w.MakeUnreachable(ids, dur, d.HasArg("hold"))
		s.watchUnreachable(ids)
	case "only_owner":
		// The machines with work and the controllers but their owner don't reach each other.
		for _, id := range sortedKeys(w.machines) {
			for i, p := range w.controllers {
				if m := w.machines[id]; len(m.tasks) > 0 && i != node() {
					w.Partition(p.name, id, dur, d.HasArg("hold"))
				}
			}
		}
	case "held_order":
		// d is another command's by then.
		abort, crash, recall := d.HasArg("abort"), d.HasArg("crash"), d.HasArg("recall")
		s.holdCommand(dur, func(op message.WorkerRequest) {
			if abort {
				w.Cancel(op.Commands[0].Job)
			}
			if crash {
				w.CrashController(s.owner(), 50*time.Millisecond)
			}
			if recall {
				// Too short for the task, so it is to go elsewhere.
				m := w.machines[op.Machine]
				m.reclaimAt, m.changed = w.now.Add(time.Minute), true
			}
		})
	case "anew":
		// Its worker begins anew under the same name, knowing nothing.
		w.RestartWorker(s.busiest(), 0)
	case "cut_alone":
		// It loses the state service and the other controllers, but not its workers.
		w.IsolateController(node(), dur, d.HasArg("refused"), d.HasArg("hold"))
	case "unanswered":
		// What the state service answers a controller is lost, and nothing else.
		w.partitionOneWay("state", w.controllers[node()].name, dur)
	case "mute":
		// What a controller sends to workers is lost, and nothing else.
		w.partitionOneWay(w.controllers[node()].name, "workers", dur)
	case "copies":
		w.startProtocolFault(Fault{Kind: what, Fraction: arg(t, d, "share", 0.3), Delay: seconds(t, d, "longest", 120), Duration: dur, ForNextLeader: d.HasArg("for_next")}, w.rng)
	case "twice":
		w.startOverlapFault(Fault{Kind: what, Fraction: arg(t, d, "share", 0.2), Duration: dur})
	case "damage":
		// Somebody writes what no version understands.
		w.state.txn(message.StoreRequest{Writes: []message.Write{{Key: arg(t, d, "key", ""), Value: []byte{0x81, 0xa1, 'v', 99}}}}, &message.StoreResponse{})
	case "loss":
		w.startOverlapFault(Fault{Kind: what, Fraction: arg(t, d, "share", 0.02), Duration: dur})
	default:
		d.Fatalf(t, "unknown fault %s", what)
	}
	return ""
}

// show prints what does not depend on how work happens to be spread.
func (s *scenario) show() string {
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
				s.world = newTestWorldOf(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3))
				s.world.trace = os.Getenv("MICAHILL_TRACE")
				if d.HasArg("lease") {
					// cancel_s as far behind it as on all sites, if nothing else is said.
					set := testSettings()
					set.WorkerLease, set.HeartbeatInterval = seconds(t, d, "lease", 0), seconds(t, d, "lease", 0)/6
					types, room := testTypes()
					s.world = NewWorld(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3), set, seconds(t, d, "cancel", set.WorkerLease.Seconds()+30), types, room)
				}
				if d.HasArg("ranking") {
					s.world = rankedWorld(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3))
				}
				if d.HasArg("promises") {
					s.world = promiseWorld(arg(t, d, "seed", uint64(1)), arg(t, d, "nodes", 3))
					s.promises = recordPromises(s.world)
				}
			case "rank":
				return s.rank(t, d)
			case "ranking":
				out := s.ranking(t)
				if d.HasArg("behind") {
					_, out, _ = strings.Cut(out, "; ")
				}
				return out
			case "left":
				return s.unfinished()
			case "why":
				return s.why(arg(t, d, "id", ""))
			case "flood":
				flood(s.world, arg(t, d, "workload", "reprint"), arg(t, d, "jobs", 40), seconds(t, d, "run", 10))
			case "skew":
				s.world.controllers[arg(t, d, "node", 0)].clockSkew = seconds(t, d, "by", 1)
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
						Need: model.Resources{CPU: 2, Memory: 2}, Image: "img-1", ImageGB: 1, AllowSpot: i%2 == 0, ExpectedRunTime: seconds(t, d, "expected", 15)}, seconds(t, d, "run", 15), false)
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
				if s.world.when(seconds(t, d, "within", 300), func() bool { return j.hasReached(at) }) < 0 {
					return "never\n"
				}
			case "repeat":
				s.world.resubmit(s.world.jobs[arg(t, d, "id", "")])
			case "run":
				s.world.Run(seconds(t, d, "for", 10))
			case "fault":
				return s.fault(t, d)
			case "show":
				return s.show()
			case "state":
				j := s.world.jobs[arg(t, d, "id", "")]
				return j.lastState + "\n"
			case "live":
				return fmt.Sprintf("%d\n", s.world.runningTasks(arg(t, d, "id", "")))
			case "owner":
				return s.owners()
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
			t.Log(strings.Join(s.world.logs, "\n"))
		}
	})
}

// randomDay plays a world with random jobs and random faults.
func randomDay(w *World, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	// On some days links are half there, too, and what ends is back at once.
	half := rand.New(rand.NewPCG(seed, 77))
	id := 0
	for step := range 24 {
		for range rng.IntN(4) {
			id++
			run := time.Duration(5+rng.IntN(30)) * time.Second
			cpu := []float64{1, 2, 4, 8}[rng.IntN(4)]
			spec := model.JobSpec{
				ID: fmt.Sprintf("job-%06d", id), Workload: []string{"batch", "rush"}[rng.IntN(2)], Team: []string{"ops", "lab"}[rng.IntN(2)],
				Urgency: model.Urgency(rng.IntN(4)), Tasks: 1 + rng.IntN(6), Need: model.Resources{CPU: cpu, Memory: cpu},
				Image: fmt.Sprintf("img-%d", rng.IntN(3)), ImageGB: 0.5 + rng.Float64()*3, AllowSpot: rng.IntN(3) > 0,
				ExpectedRunTime: run, SameZone: rng.IntN(5) == 0, SpreadZones: cpu <= 4 && rng.IntN(6) == 0, Gang: cpu <= 2 && rng.IntN(8) == 0,
			}
			if rng.IntN(4) == 0 {
				spec.CheckpointInterval, spec.CheckpointCost = 5*time.Second, 2*time.Second
			}
			w.Submit(spec, run, false)
			if rng.IntN(8) == 0 {
				name := spec.ID
				w.schedule(time.Duration(rng.IntN(60))*time.Second, func() { w.Cancel(name) })
			}
		}
		if step > 3 && step < 18 {
			w.randomFault(rng)
			if seed%3 == 2 && half.IntN(2) == 0 {
				w.startPartialFault(half)
			}
		}
		w.QueryUnknownJob(fmt.Sprintf("job-9%05d", rng.IntN(1000)))
		w.Run(15 * time.Second)
	}
	w.Run(8 * time.Minute)
}

// checkFinalAnswers checks that users were told of each job that it is done; or, when some were to be
// refused or cancelled, that.
func checkFinalAnswers(t *testing.T, w *World, others bool) {
	t.Helper()
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.lastState != "done" && !(others && (j.refusedStatus > 0 || j.lastState == "cancelled")) {
			t.Errorf("%s is %q in the end, %d of %d done", id, j.lastState, len(j.doneTasks), j.spec.Tasks)
		}
	}
}

// randomCapabilities switches on each part of the product on half of the days, by chance.
func randomCapabilities(seed uint64) controller.Capabilities {
	rng := rand.New(rand.NewPCG(seed, 64))
	p := DayParams{}
	for _, part := range []string{"ranking", "promises", "models"} {
		if rng.IntN(2) == 0 {
			p.Enabled = append(p.Enabled, part)
		}
	}
	out, _ := p.capabilities()
	return out
}

// TestSimulation plays random days with random faults. After every start and
// every tick the rules are checked; in the end all work must be done.
func TestSimulation(t *testing.T) {
	for seed := range drawnDays(t, 32, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			types, room := testTypes()
			set := testSettings()
			set.Capabilities = randomCapabilities(seed)
			w := NewWorld(seed, 3, set, testCancel, types, room)
			switch seed % 4 {
			case 1:
				w.duplicateRate = 0.03
			case 2:
				w.lossRate = 0.01
			case 3:
				w.lossRate, w.duplicateRate = 0.02, 0.02
			}
			// One day with the lines on some jobs or machines, such as job-000013|vm-000003:
			// MICAHILL_TRACE=... go test ./internal/simulation -run 'TestSimulation$/^7$'
			w.trace = os.Getenv("MICAHILL_TRACE")
			randomDay(w, seed)
			for _, b := range w.Violations {
				t.Error(b)
			}
			checkFinalAnswers(t, w, true)
			if w.Starts == 0 {
				t.Error("nothing ran")
			}
			if t.Failed() || w.trace != "" {
				last := 60
				if w.trace != "" {
					last = len(w.logs)
				}
				t.Log(strings.Join(w.logs[max(0, len(w.logs)-last):], "\n"))
			}
		})
	}
}

// TestSimulationNoticesBrokenInvariants breaks an invariant on purpose: the
// checks have to see it, or they are worth nothing.
func TestSimulationNoticesBrokenInvariants(t *testing.T) {
	for _, c := range []struct {
		rule   string
		break_ func(*World)
	}{
		{"ran_twice", func(w *World) {
			// The cores believe in far too short a lease.
			w.leaseOverride = 500 * time.Millisecond
			for i := range w.controllers {
				w.CrashController(i, 0)
			}
		}},
		{"ran_cancelled", func(w *World) {
			// Stops get lost, and answers prolong leases all the same: an owner that has
			// no proof would let the lease run out.
			w.corruptEffect = func(e message.Effect) message.Effect {
				if x, ok := e.(message.HeartbeatReply); ok && x.Status == 503 {
					x.Status, x.Epoch = 200, math.MaxUint64
					e = x
				}
				return dropStops(e)
			}
		}},
		{"not_done", func(w *World) {
			// Every job is called done.
			w.corruptEffect = func(e message.Effect) message.Effect {
				if x, ok := e.(message.UserReply); ok && x.Status == 200 {
					x.State = "done"
					return x
				}
				return e
			}
		}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			w := newTestWorld(5)
			c.break_(w)
			for i := range 12 {
				w.Submit(model.JobSpec{ID: fmt.Sprintf("job-%06d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
					Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 90 * time.Second}, 90*time.Second, false)
			}
			w.Run(60 * time.Second)
			for i := range 4 {
				w.Cancel(fmt.Sprintf("job-%06d", i))
			}
			for _, id := range sortedKeys(w.machines) {
				w.machines[id].hungUntil = w.now.Add(8 * time.Second)
			}
			w.Run(3 * time.Minute)
			for _, b := range w.Violations {
				if strings.HasPrefix(b, c.rule) {
					return
				}
			}
			t.Errorf("no %s noticed: %v, %d starts", c.rule, w.Violations, w.Starts)
			t.Log(strings.Join(w.logs, "\n"))
		})
	}
}
