package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// This file has workers that restart within a second under the same name, and late copies of direct
// requests that an earlier process of the worker carried out and answered. The copies arrive at the
// new process, which has forgotten the epoch, its incarnation and its tasks: some before its first
// heartbeat is answered, some later.

// restartCopiesKind is the kind of the fault of this file.
const restartCopiesKind = "restart_copies"

const (
	// maxKeptRequests is how many of the latest direct requests to a machine are kept for copies.
	maxKeptRequests = 100
	// maxRestartCopies is the largest number of copies that arrive after a restart.
	maxRestartCopies = 12
	// restartRounds is how often some machines restart while the fault lasts.
	restartRounds = 5
	// restartCopiesOneIn makes one day in this many with faults beyond the listed ones have the fault.
	restartCopiesOneIn = 3
)

// restartCopyDelays are the times after the start of a worker at which copies arrive. The worker sends
// its first heartbeat at the start.
var restartCopyDelays = []time.Duration{0, 0, time.Millisecond, 10 * time.Millisecond, time.Second, 10 * time.Second}

// restartCopies is the state of the fault of this file.
type restartCopies struct {
	// carriedOut has the direct requests that each machine has carried out, by its id. It is nil if
	// no requests are kept.
	carriedOut map[string][]message.WorkerRequest
	// restartCopiesUntil is the end of the fault.
	restartCopiesUntil time.Time
	// copyRng is the random stream of the fault, so that a day without it stays the same.
	copyRng *rand.Rand
	// copiesExecuted counts the copies that a worker has executed.
	copiesExecuted int
}

// generateRestartCopies adds the fault of this file to one day in restartCopiesOneIn. On a day with
// overlapping faults it begins soon after the first of them, unless the day has maxOverlapFaults
// faults already. It has its own random stream, so that the rest of the day stays the same.
func generateRestartCopies(day *Day, overlapping []Fault) {
	rng := rand.New(rand.NewPCG(day.Seed, 6523))
	if rng.IntN(restartCopiesOneIn) > 0 {
		return
	}
	fault := Fault{
		Kind: restartCopiesKind, At: time.Duration(10+rng.IntN(day.Minutes*60-20)) * time.Second, Duration: logUniform(rng, 20*time.Second, 2*time.Minute),
		Controller: rng.IntN(day.Controllers), RestartAfter: []time.Duration{50, 200, 500, 1000}[rng.IntN(4)] * time.Millisecond,
		Fraction: []float64{1e-9, 0.02, 0.1}[rng.IntN(3)],
		// HoldMessages also restarts a controller with some of the machines.
		HoldMessages: rng.IntN(2) == 0,
	}
	if len(overlapping) > 0 {
		if len(day.Faults) >= maxOverlapFaults {
			return
		}
		fault.At = overlapping[0].At + time.Duration(rng.Float64()*float64(maxFaultSpacing))
	}
	day.Faults = append(day.Faults, fault)
}

// KeepRequests keeps the direct requests that workers carry out from now on, for CopyAfterRestart.
func (world *World) KeepRequests() {
	if world.carriedOut == nil {
		world.carriedOut = map[string][]message.WorkerRequest{}
	}
}

// CopyAfterRestart delivers copies of kept requests to each worker that restarts during the given
// duration.
func (world *World) CopyAfterRestart(duration time.Duration, rng *rand.Rand) {
	world.KeepRequests()
	world.restartCopiesUntil = world.now.Add(duration)
	world.copyRng = rand.New(rand.NewPCG(rng.Uint64(), 2))
}

// startRestartCopies begins the fault of this file: a fraction of the machines restarts several times,
// and in some of the rounds a controller with them.
func (world *World) startRestartCopies(fault Fault, rng *rand.Rand) {
	world.CopyAfterRestart(fault.Duration+fault.RestartAfter, rng)
	for round := range restartRounds {
		world.schedule(time.Duration(round)*fault.Duration/restartRounds, func() {
			for _, id := range world.SampleMachineIDs(fault.Fraction, "", world.copyRng) {
				world.RestartWorker(world.machines[id], fault.RestartAfter)
			}
			if fault.HoldMessages && round%2 == 1 {
				world.CrashController(fault.Controller%len(world.controllers), fault.RestartAfter)
			}
		})
	}
}

// keepRequest keeps a direct request that a worker has carried out.
func (world *World) keepRequest(request message.WorkerRequest) {
	if world.carriedOut == nil || request.StatusOnly {
		return
	}
	kept := append(world.carriedOut[request.Machine], request)
	world.carriedOut[request.Machine] = kept[max(0, len(kept)-maxKeptRequests):]
}

// copyToRestarted schedules copies of earlier requests to a worker that has just started again.
func (world *World) copyToRestarted(machine *Worker) {
	kept := world.carriedOut[machine.ID]
	if machine.process == 0 || len(kept) == 0 || !world.now.Before(world.restartCopiesUntil) {
		return
	}
	process := machine.process
	for range min(maxRestartCopies, len(kept)) {
		request := kept[world.copyRng.IntN(len(kept))]
		world.schedule(restartCopyDelays[world.copyRng.IntN(len(restartCopyDelays))], func() {
			if machine.process == process && machine.up(world.now) && world.executeDirect(machine, request).OK {
				world.copiesExecuted++
			}
		})
	}
}
