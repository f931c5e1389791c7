package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// dropCommands returns an effect without the commands for a worker that match. Effects of other kinds are
// returned unchanged.
func dropCommands(effect message.Effect, matches func(model.TaskCommand) bool) message.Effect {
	switch x := effect.(type) {
	case message.WorkerRequest:
		x.Commands = slices.DeleteFunc(slices.Clone(x.Commands), matches)
		return x
	case message.HeartbeatReply:
		x.Commands = slices.DeleteFunc(slices.Clone(x.Commands), matches)
		return x
	}
	return effect
}

// dropStarts returns an effect without the start commands for a worker that match.
func dropStarts(effect message.Effect, matches func(model.TaskCommand) bool) message.Effect {
	return dropCommands(effect, func(command model.TaskCommand) bool { return command.Kind == model.StartTask && matches(command) })
}

// TestDayChecksDetectCorruption corrupts what controllers send in one way for each check of a day, and checks
// that this check fails. On the same day with correct controllers, no check may fail.
func TestDayChecksDetectCorruption(t *testing.T) {
	day := GenerateDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 24, Minutes: 1, FaultCount: -1, HotFactor: 1})
	day.Faults = []Fault{{Kind: "crash", At: 40 * time.Second, Duration: 5 * time.Second}}
	class := func(world *World, id string) string {
		if job := world.jobs[id]; job != nil {
			return job.spec.Workload
		}
		return ""
	}
	// All jobs are known after 100 s, so the largest job of a class is then the same as at the end of the
	// day.
	largestJob := func(world *World, name string) *userJob { return world.largestJobs()[name][0][0] }
	largest := ""
	uncorrupted := day.run("", func(world *World, effect message.Effect) message.Effect {
		if world.now.Sub(world.startedAt) > 100*time.Second && largest == "" {
			largest = largestJob(world, "rush").spec.ID
		}
		return effect
	})
	if len(uncorrupted.Violations) > 0 || len(uncorrupted.Starved()) > 0 {
		t.Fatalf("uncorrupted day: got violations %v, starved groups %v, want none", uncorrupted.Violations, uncorrupted.Starved())
	}
	if worst := uncorrupted.Worst(); worst.AllStartedS <= 0 || worst.AllStartedS < worst.FirstStartS {
		t.Errorf("largest job: got first start after %v s and all tasks started after %v s, want a time above 0 s for all tasks, and the first start not after it", worst.FirstStartS, worst.AllStartedS)
	}
	ended := func(world *World) bool { return world.now.Sub(world.startedAt) > 110*time.Second }
	for _, test := range []struct {
		name, want string
		broken     bool
		sabotage   func(*World, message.Effect) message.Effect
	}{
		{"no answer about one ended job", "forgotten", true, func(world *World, effect message.Effect) message.Effect {
			if reply, ok := effect.(message.UserReply); ok && ended(world) && reply.ID == largest {
				return nil
			}
			return effect
		}},
		{"all users are refused", "forgotten", true, func(world *World, effect message.Effect) message.Effect {
			if reply, ok := effect.(message.UserReply); ok && ended(world) {
				reply.Status = 503
				return reply
			}
			return effect
		}},
		{"the largest job never started", "rush 0.00 of its largest jobs", false, func(_ *World, effect message.Effect) message.Effect {
			return dropStarts(effect, func(command model.TaskCommand) bool { return command.Job == largest })
		}},
		{"only the first task of the largest job started", "first after", false, func(_ *World, effect message.Effect) message.Effect {
			return dropStarts(effect, func(command model.TaskCommand) bool { return command.Job == largest && command.Index > 0 })
		}},
		{"the largest job started late", "rush begins late: " + largest, false, func(world *World, effect message.Effect) message.Effect {
			return dropStarts(effect, func(command model.TaskCommand) bool {
				return command.Job == largest && world.now.Before(world.jobs[largest].submitted.Add(maxStartWait+5*time.Second))
			})
		}},
		{"a class never started", "batch 0.00 of", false, func(world *World, effect message.Effect) message.Effect {
			return dropStarts(effect, func(command model.TaskCommand) bool { return class(world, command.Job) == "batch" })
		}},
		{"a team never started", "team-b 0.00 of", false, func(world *World, effect message.Effect) message.Effect {
			return dropStarts(effect, func(command model.TaskCommand) bool {
				job := world.jobs[command.Job]
				return job != nil && job.spec.Team == "team-b"
			})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			result := day.run("", test.sabotage)
			got := result.Starved()
			if test.broken {
				got = result.Violations
			}
			if !strings.Contains(strings.Join(got, "\n"), test.want) {
				t.Errorf("got reports %q, want one that contains %q", got, test.want)
			}
		})
	}
}

// TestExtendedDeadline checks that faults that leave no capacity extend the start deadline of a job by their
// length, and that overlapping faults count once.
func TestExtendedDeadline(t *testing.T) {
	fault := func(kind string, from, length int) Fault {
		return Fault{Kind: kind, At: time.Duration(from) * time.Second, Duration: time.Duration(length) * time.Second}
	}
	day := Day{Faults: []Fault{fault("cloud", 0, 30), fault("die", 50, 500), fault("outage", 100, 40), fault("capacity", 120, 40), fault("crash_all", 270, 50), fault("cloud", 900, 50)}}
	for from, want := range map[int]int{20: 20 + 240 + 10 + 60 + 5, 165: 165 + 240 + 5, 300: 540, 700: 700 + 240 + 50} {
		if got := day.extendedDeadline(time.Duration(from)*time.Second, maxStartWait); got != time.Duration(want)*time.Second {
			t.Errorf("submitted at %d s: got start deadline %v, want %d s", from, got, want)
		}
	}
}

// TestProtocolFaultDays plays days with protocol faults, one of them with models, and days on which users
// poll 8, 30 and 100 times as often as usual, with 3 and 5 controllers. It guards against violations and
// starved jobs.
func TestProtocolFaultDays(t *testing.T) {
	pollStorm := func(polls float64) []Fault {
		return []Fault{{Kind: "polls", At: 20 * time.Second, Duration: time.Minute, Fraction: polls}}
	}
	for _, test := range []struct {
		p      DayParams
		faults []Fault
	}{
		{DayParams{Seed: 1, Controllers: 3, Machines: 40, Teams: 2, Minutes: 2, ProtocolFaults: true, Models: 4}, nil},
		{DayParams{Seed: 2, Controllers: 5, Machines: 60, Teams: 3, Minutes: 2, ProtocolFaults: true}, nil},
		{DayParams{Seed: 3, Controllers: 3, Machines: 60, Teams: 2, Minutes: 2, FaultCount: -1, UnlistedFaults: true}, pollStorm(8)},
		{DayParams{Seed: 4, Controllers: 5, Machines: 60, Teams: 2, Minutes: 2, FaultCount: -1, UnlistedFaults: true}, pollStorm(30)},
		{DayParams{Seed: 5, Controllers: 3, Machines: 60, Teams: 1, Minutes: 2, FaultCount: -1, UnlistedFaults: true}, pollStorm(100)},
	} {
		t.Run(fmt.Sprintf("%d-%d", test.p.Seed, test.p.Controllers), func(t *testing.T) {
			t.Parallel()
			day := GenerateDay(test.p)
			if test.faults != nil {
				day.Faults, day.failingFraction = test.faults, 0
			}
			result := RunDay(day, "")
			reportViolations(t, append(result.Violations, result.Starved()...))
			if stats := result.ModelStats; test.p.Models > 0 && (stats == nil || stats.LargeModels == 0) {
				t.Errorf("got model stats %+v, want at least one large model", stats)
			}
			if t.Failed() {
				t.Logf("%+v", day.Faults)
				logTail(t, result.Log, 60)
			}
		})
	}
}
