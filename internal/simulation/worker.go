package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

const (
	// minHeartbeatInterval is the shortest time between two heartbeats of a machine.
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryPause is how long a worker waits after a failed heartbeat before it sends one
	// to the next controller.
	heartbeatRetryPause = time.Second
)

// Worker models one machine and the worker process on it.
type Worker struct {
	// ID is the machine's id, and Addr the address of its worker.
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Size        model.Resources
	// FetchRate is the rate at which the machine fetches images, in GB/s.
	FetchRate float64

	// rentedAt is the time of the rental, and upAt the time when the worker starts.
	rentedAt time.Time
	upAt     time.Time
	dead     bool
	diedAt   time.Time
	released bool
	// reclaimed says that the cloud took the machine back. goneAt is the time of the reclaim or
	// release.
	reclaimed bool
	goneAt    time.Time
	// everUsed says that a task ran on the machine at some time.
	everUsed bool
	// hungUntil is the time until which the worker hangs.
	hungUntil time.Time
	// slowFactor is the factor by which tasks run longer on the machine; 0 means as long as usual.
	slowFactor float64
	// faulty makes every task fail on the machine.
	faulty bool
	// process counts the restarts of the worker.
	process int
	// ignoresStarts makes the worker ignore commands to start a task. It still sends heartbeats and
	// executes other commands.
	ignoresStarts bool
	// reclaimAt is the time at which the cloud takes the machine back, or the zero time if the cloud
	// has not announced a reclaim.
	reclaimAt time.Time
	// unreachableUntil is the time until which no message reaches the machine. With
	// holdWhileUnreachable the messages are delivered afterwards, otherwise they are lost.
	unreachableUntil     time.Time
	holdWhileUnreachable bool
	// mutedUntil is the time until which the machine's heartbeats reach no controller.
	mutedUntil time.Time
	// recentFree is the free capacity at each of the last checks for waiting jobs; see resourceUse.
	recentFree []model.Resources

	// incarnation, sequence and epoch are the values in the worker's heartbeats.
	incarnation uint64
	sequence    uint64
	epoch       uint64
	// leaseStart is the time from which the worker lease counts: when the worker sent the last
	// heartbeat whose reply renewed the lease.
	leaseStart time.Time
	// images is the time at which the fetch of each image ends or ended.
	images map[string]time.Time
	// tasks has the attempts that the worker knows, by "job/index#attempt".
	tasks map[string]*workerTask
	// heartbeatRequested says that a controller has requested a heartbeat and no reply has
	// acknowledged it.
	heartbeatRequested bool

	// controller is the index of the controller that the worker sends heartbeats to.
	controller       int
	nextHeartbeatAt  time.Time
	lastHeartbeatAt  time.Time
	heartbeatPending bool
	// changed says that the next heartbeat has news. The worker then sends it after
	// minHeartbeatInterval instead of the usual interval.
	changed bool
}

// workerTask is an attempt of a task, as the worker on its machine knows it.
type workerTask struct {
	job     *userJob
	index   int
	attempt uint64
	status  model.TaskStatus
	// cause is the reason why the attempt ended.
	cause string
	// checkpointed says that the attempt stored a checkpoint when it was stopped.
	checkpointed bool
	imageReadyAt time.Time
	// remaining is the run time that the attempt still needs.
	remaining        time.Duration
	checkpointDoneAt time.Time
	// violationReported says that it was reported that the attempt outlived its job's cancellation.
	// Each attempt is reported once, since the list of violations is bounded.
	violationReported bool
}

// taskName returns the name of a task in the protocol.
func taskName(job string, i int) string { return fmt.Sprintf("%s/%d", job, i) }

// up reports whether the worker runs and does not hang.
func (machine *Worker) up(now time.Time) bool {
	return !machine.dead && !machine.released && !now.Before(machine.upAt) && !now.Before(machine.hungUntil)
}

// onMachine reports whether the attempt takes resources of its machine.
func (task *workerTask) onMachine() bool {
	return task.status == model.Running || task.status == model.Checkpointing
}

// heartbeat returns the worker's next heartbeat and increments the sequence number.
func (machine *Worker) heartbeat(now time.Time) model.Heartbeat {
	machine.sequence++
	heartbeat := model.Heartbeat{
		Machine: machine.ID, Addr: machine.Addr, MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: machine.incarnation, Sequence: machine.sequence, Epoch: machine.epoch, ReclaimIn: -1, Requested: machine.heartbeatRequested,
	}
	if !machine.reclaimAt.IsZero() {
		heartbeat.ReclaimIn = max(0, machine.reclaimAt.Sub(now))
	}
	for _, k := range sortedKeys(machine.tasks) {
		task := machine.tasks[k]
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskReport{Job: task.job.spec.ID, Index: task.index, Attempt: task.attempt, Status: task.status, Cause: task.cause, CheckpointStored: task.checkpointed})
	}
	return heartbeat
}

// executeCommands executes task commands on a worker, in their order. A command that does not apply
// to the state of its attempt has no effect.
func (world *World) executeCommands(machine *Worker, commands []model.TaskCommand) {
	for _, command := range commands {
		key := fmt.Sprintf("%s#%d", taskName(command.Job, command.Index), command.Attempt)
		task := machine.tasks[key]
		switch command.Kind {
		case model.StartTask:
			if task == nil && !machine.ignoresStarts {
				if world.startExecuted != nil {
					world.startExecuted(machine, command)
				}
				world.startTask(machine, command, key)
			}
		case model.StopTask:
			if task == nil || task.status == model.Ended {
				continue
			}
			savesCheckpoint := task.job.spec.CheckpointInterval > 0 && task.status == model.Running && command.GracePeriod >= task.job.spec.CheckpointCost
			switch {
			case savesCheckpoint:
				task.status, task.checkpointDoneAt = model.Checkpointing, world.now.Add(task.job.spec.CheckpointCost)
			case task.status == model.Checkpointing && command.GracePeriod > 0:
			default:
				world.endTask(machine, task, "stopped")
			}
		case model.ClearTask:
			if task != nil && task.status == model.Ended {
				delete(machine.tasks, key)
			}
		}
	}
}

// startTask starts an attempt. The attempt ends at once if its job is unknown, another attempt of the
// task is active on the machine, or the machine has too little free capacity.
func (world *World) startTask(machine *Worker, command model.TaskCommand, key string) {
	job := world.jobs[command.Job]
	if job == nil && world.jobSource != nil {
		if spec, run, ok := world.jobSource(command.Job); ok {
			job = newUserJob(spec, run)
			world.jobs[command.Job] = job
		}
	}
	if job == nil {
		unknown := newUserJob(model.JobSpec{ID: command.Job}, 0)
		machine.tasks[key] = &workerTask{job: unknown, index: command.Index, attempt: command.Attempt, status: model.Ended, cause: "unknown"}
		machine.changed = true
		return
	}
	task := &workerTask{job: job, index: command.Index, attempt: command.Attempt, status: model.Fetching}
	machine.tasks[key] = task
	if !slices.Contains(job.machines[command.Index], machine) {
		job.machines[command.Index] = append(job.machines[command.Index], machine)
	}
	machine.changed = true
	used := model.Resources{}
	for _, other := range machine.tasks {
		if other != task && other.status != model.Ended {
			used = used.AddScaled(other.job.spec.Need, 1)
			if other.job == job && other.index == command.Index {
				task.status, task.cause = model.Ended, "in_use"
				return
			}
		}
	}
	if !job.spec.Need.Fits(machine.Size.AddScaled(used, -1)) {
		task.status, task.cause = model.Ended, "no_room"
		return
	}
	job.placedAt = world.now
	if machine.images[job.spec.Image].IsZero() {
		machine.images[job.spec.Image] = world.now.Add(record.DurationOfSeconds(job.spec.ImageGB / machine.FetchRate))
	}
	task.imageReadyAt = machine.images[job.spec.Image]
	task.remaining = job.run
	if machine.slowFactor > 0 {
		task.remaining = time.Duration(float64(task.remaining) * machine.slowFactor)
	}
	if remaining, ok := job.checkpoints[command.Index]; ok {
		task.remaining = min(task.remaining, remaining)
	}
	if job.doneTasks[command.Index] {
		task.remaining = 0
	}
}

// endTask ends an attempt.
func (world *World) endTask(machine *Worker, task *workerTask, cause string) {
	task.cause = cause
	world.releaseTask(task)
	task.status = model.Ended
	machine.changed = true
}

// advanceMachine advances a machine's tasks by the given duration, and sends a heartbeat if one is
// due.
func (world *World) advanceMachine(machine *Worker, duration time.Duration) {
	// A hanging worker whose lease has expired must not resume its tasks, so the lease is checked
	// before the worker's state.
	if machine.incarnation > 0 && world.now.Sub(machine.leaseStart) > world.settings.WorkerLease {
		world.expireWorkerLease(machine)
	}
	if !machine.up(world.now) {
		return
	}
	if machine.incarnation == 0 {
		machine.incarnation, machine.leaseStart, machine.nextHeartbeatAt = 1, world.now, world.now
		world.copyToRestarted(machine)
	}
	for _, task := range machine.tasks {
		world.advanceTask(machine, task, duration)
	}
	if !machine.heartbeatPending && (!world.now.Before(machine.nextHeartbeatAt) || machine.changed && world.now.Sub(machine.lastHeartbeatAt) >= minHeartbeatInterval) {
		machine.heartbeatPending, machine.changed, machine.lastHeartbeatAt = true, false, world.now
		machine.nextHeartbeatAt = world.now.Add(world.jitter(world.settings.HeartbeatInterval))
		world.heartbeatSender(machine)
	}
}

// expireWorkerLease kills all tasks of a worker whose lease has expired, drops its images and
// begins a new incarnation.
func (world *World) expireWorkerLease(machine *Worker) {
	for _, task := range machine.tasks {
		if task.onMachine() {
			world.LostToLease++
		}
	}
	world.clearTasks(machine)
	clear(machine.images)
	machine.heartbeatRequested = false
	machine.incarnation++
	machine.leaseStart, machine.changed = world.now, true
}

// advanceTask advances a task by the given duration.
func (world *World) advanceTask(machine *Worker, task *workerTask, duration time.Duration) {
	switch task.status {
	case model.Fetching:
		if !task.imageReadyAt.After(world.now) {
			task.status, machine.changed, machine.everUsed = model.Running, true, true
			team := task.job.spec.Team
			world.teamUsage[team] = world.teamUsage[team].AddScaled(task.job.spec.Need, 1)
			world.checkStart(machine, task)
		}
	case model.Running:
		if machine.faulty || task.job.alwaysFails {
			world.endTask(machine, task, "error")
			return
		}
		task.remaining -= duration
		if interval := task.job.spec.CheckpointInterval; interval > 0 && task.remaining > 0 {
			// A later attempt resumes from the last complete checkpoint.
			steps := (task.job.run - task.remaining) / interval
			task.job.saveCheckpoint(task.index, task.job.run-steps*interval)
		}
		if task.remaining <= 0 && !task.job.spec.LongRunning {
			task.job.doneTasks[task.index] = true
			world.endTask(machine, task, "done")
			world.noteTasksDone(task.job)
			world.maybeCancelAtEnd(task.job)
		}
	case model.Checkpointing:
		if !task.checkpointDoneAt.After(world.now) {
			task.job.saveCheckpoint(task.index, task.remaining)
			task.checkpointed = true
			world.endTask(machine, task, "stopped")
		}
	}
}

// sendHeartbeat sends a worker's heartbeat to its controller and handles the reply. If no reply
// arrives within heartbeatTimeout, the worker sends its next heartbeat to the next controller.
func (world *World) sendHeartbeat(machine *Worker) {
	sent, incarnation, to, workerProcess := world.now, machine.incarnation, machine.controller, machine.process
	answered := false
	heartbeat := machine.heartbeat(world.now)
	world.schedule(heartbeatTimeout, func() {
		if !answered && machine.process == workerProcess {
			answered = true
			world.tryNextController(machine, to)
		}
	})
	if world.now.Before(machine.mutedUntil) {
		// The worker can't open a connection, so not even a late copy of the heartbeat arrives.
		return
	}
	process := world.controllers[to]
	world.maybeCopyHeartbeat(heartbeat)
	if world.duplicateRate > 0 && world.rng.Float64() < world.duplicateRate {
		world.schedule(world.randomDelay(), func() {
			world.sendMessage(machine.ID, process.name, func() { process.deliverHeartbeat(heartbeat, func(message.Effect) {}) })
		})
	}
	world.sendMessage(machine.ID, process.name, func() {
		process.deliverHeartbeat(heartbeat, func(effect message.Effect) {
			reply := effect.(message.HeartbeatReply)
			if world.onHeartbeatReply != nil {
				world.onHeartbeatReply(machine, reply)
			}
			world.sendMessage(process.name, machine.ID, func() {
				// A reply after the timeout is dropped.
				if !answered {
					answered = true
					world.takeHeartbeatReply(machine, reply, to, incarnation, sent)
				}
			})
		})
	})
}

// deliverHeartbeat passes a heartbeat to the controller and its reply to fn.
func (process *controllerProcess) deliverHeartbeat(heartbeat model.Heartbeat, fn func(message.Effect)) {
	process.request(func(reply uint64) message.Command { return message.WorkerHeartbeat{Reply: reply, Heartbeat: heartbeat} }, fn)
}

// tryNextController makes a worker send its next heartbeat to the controller that follows the
// failed one, after heartbeatRetryPause.
func (world *World) tryNextController(machine *Worker, failed int) {
	machine.heartbeatPending = false
	machine.controller = (failed + 1) % len(world.controllers)
	machine.nextHeartbeatAt = world.now.Add(heartbeatRetryPause)
}

// takeHeartbeatReply handles the reply of controller to. incarnation is the worker's incarnation
// at sent, when the worker sent the heartbeat.
func (world *World) takeHeartbeatReply(machine *Worker, reply message.HeartbeatReply, to int, incarnation uint64, sent time.Time) {
	owner := -1
	if reply.MachineOwner != "" {
		owner = world.controllerIndex(reply.MachineOwner)
	}
	switch {
	case reply.Status == http.StatusMisdirectedRequest && owner >= 0 && owner != to:
		machine.heartbeatPending = false
		machine.controller = owner
		machine.nextHeartbeatAt = world.now.Add(world.jitter(250 * time.Millisecond))
	case reply.Status != http.StatusOK:
		world.tryNextController(machine, to)
	default:
		world.checkReplySize(reply)
		machine.heartbeatPending = false
		if reply.Epoch < machine.epoch || incarnation != machine.incarnation {
			return
		}
		if reply.Epoch > machine.epoch {
			machine.epoch, machine.changed = reply.Epoch, true
		}
		machine.leaseStart = sent
		world.executeCommands(machine, reply.Commands)
		if reply.AcknowledgesRequest && machine.heartbeatRequested {
			machine.heartbeatRequested, machine.changed = false, true
		}
	}
}

// executeDirect executes a request that a controller sent directly to a worker.
func (world *World) executeDirect(machine *Worker, request message.WorkerRequest) message.WorkerResponse {
	response := message.WorkerResponse{ID: request.ID, OK: true}
	if !request.StatusOnly {
		if request.Epoch < machine.epoch || request.Incarnation != machine.incarnation {
			response.OK = false
		} else {
			if request.Epoch > machine.epoch {
				machine.epoch, machine.changed = request.Epoch, true
			}
			world.executeCommands(machine, request.Commands)
			if request.RequestsHeartbeat {
				machine.heartbeatRequested, machine.changed = true, true
			}
		}
	}
	heartbeat := machine.heartbeat(world.now)
	response.Heartbeat = &heartbeat
	return response
}

// sortedKeys returns the keys of a map in ascending order, for loops whose order must be the same
// in every run.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
