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
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
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
	// reclaimAt is the time at which the cloud takes the machine back, or the zero time if it has
	// announced none.
	reclaimAt time.Time
	// unreachableUntil is the time until which no message reaches the machine. With
	// holdWhileUnreachable the messages are delivered afterwards, otherwise they are lost.
	unreachableUntil     time.Time
	holdWhileUnreachable bool
	// unheardUntil is the time until which the machine's heartbeats reach no controller.
	unheardUntil time.Time
	// recentFree is the free capacity at each of the last checks for waiting jobs; see resourceUse.
	recentFree []model.Resources

	// incarnation, sequence and epoch are the values in the worker's heartbeats.
	incarnation uint64
	sequence    uint64
	epoch       uint64
	// leaseStart is the time from which the worker lease counts: when the worker sent the last
	// heartbeat whose answer renewed the lease.
	leaseStart time.Time
	// images is the time at which the fetch of each image ends or ended.
	images map[string]time.Time
	// tasks has the attempts that the worker knows, by "job/index#attempt".
	tasks map[string]*workerTask

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
func (m *Worker) up(now time.Time) bool {
	return !m.dead && !m.released && !now.Before(m.upAt) && !now.Before(m.hungUntil)
}

// onMachine reports whether the attempt takes resources of its machine.
func (t *workerTask) onMachine() bool {
	return t.status == model.Running || t.status == model.Checkpointing
}

// heartbeat returns the worker's next heartbeat and increments the sequence number.
func (m *Worker) heartbeat(now time.Time) model.Heartbeat {
	m.sequence++
	r := model.Heartbeat{
		Machine: m.ID, Addr: m.Addr, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.incarnation, Sequence: m.sequence, Epoch: m.epoch, ReclaimIn: -1,
	}
	if !m.reclaimAt.IsZero() {
		r.ReclaimIn = max(0, m.reclaimAt.Sub(now))
	}
	for _, k := range sortedKeys(m.tasks) {
		t := m.tasks[k]
		r.Tasks = append(r.Tasks, model.TaskReport{Job: t.job.spec.ID, Index: t.index, Attempt: t.attempt, Status: t.status, Cause: t.cause, CheckpointStored: t.checkpointed})
	}
	return r
}

// executeCommands executes task commands on a worker, in their order. A command for an unknown or
// ended attempt has no effect where it doesn't apply.
func (w *World) executeCommands(m *Worker, commands []model.TaskCommand) {
	for _, o := range commands {
		key := fmt.Sprintf("%s#%d", taskName(o.Job, o.Index), o.Attempt)
		t := m.tasks[key]
		switch o.Kind {
		case model.StartTask:
			if t == nil && !m.ignoresStarts {
				w.startTask(m, o, key)
			}
		case model.StopTask:
			if t == nil || t.status == model.Ended {
				continue
			}
			savesCheckpoint := t.job.spec.CheckpointInterval > 0 && t.status == model.Running && o.GracePeriod >= t.job.spec.CheckpointCost
			switch {
			case savesCheckpoint:
				t.status, t.checkpointDoneAt = model.Checkpointing, w.now.Add(t.job.spec.CheckpointCost)
			case t.status == model.Checkpointing && o.GracePeriod > 0:
			default:
				w.endTask(m, t, "stopped")
			}
		case model.ClearTask:
			if t != nil && t.status == model.Ended {
				delete(m.tasks, key)
			}
		}
	}
}

// startTask starts an attempt. The attempt ends at once if another attempt of the task is active on
// the machine or the machine has too little free capacity.
func (w *World) startTask(m *Worker, o model.TaskCommand, key string) {
	j := w.jobs[o.Job]
	if j == nil && w.jobSource != nil {
		if spec, run, ok := w.jobSource(o.Job); ok {
			j = newUserJob(spec, run)
			w.jobs[o.Job] = j
		}
	}
	if j == nil {
		return
	}
	t := &workerTask{job: j, index: o.Index, attempt: o.Attempt, status: model.Fetching}
	m.tasks[key] = t
	if !slices.Contains(j.machines[o.Index], m) {
		j.machines[o.Index] = append(j.machines[o.Index], m)
	}
	m.changed = true
	used := model.Resources{}
	for _, x := range m.tasks {
		if x != t && x.status != model.Ended {
			used = used.AddScaled(x.job.spec.Need, 1)
			if x.job == j && x.index == o.Index {
				t.status, t.cause = model.Ended, "in_use"
				return
			}
		}
	}
	if !j.spec.Need.Fits(m.Size.AddScaled(used, -1)) {
		t.status, t.cause = model.Ended, "no_room"
		return
	}
	j.placedAt = w.now
	if m.images[j.spec.Image].IsZero() {
		m.images[j.spec.Image] = w.now.Add(record.DurationOfSeconds(j.spec.ImageGB / m.FetchRate))
	}
	t.imageReadyAt = m.images[j.spec.Image]
	t.remaining = j.run
	if m.slowFactor > 0 {
		t.remaining = time.Duration(float64(t.remaining) * m.slowFactor)
	}
	if remaining, ok := j.checkpoints[o.Index]; ok {
		t.remaining = min(t.remaining, remaining)
	}
	if j.doneTasks[o.Index] {
		t.remaining = 0
	}
}

// endTask ends an attempt.
func (w *World) endTask(m *Worker, t *workerTask, cause string) {
	t.cause = cause
	w.releaseTask(t)
	t.status = model.Ended
	m.changed = true
}

// advanceMachine advances a machine's tasks by d, and sends a heartbeat if one is due.
func (w *World) advanceMachine(m *Worker, d time.Duration) {
	// A hanging worker whose lease has expired must not resume its tasks, so the lease is checked
	// before the worker's state.
	if m.incarnation > 0 && w.now.Sub(m.leaseStart) > w.settings.WorkerLease {
		w.expireWorkerLease(m)
	}
	if !m.up(w.now) {
		return
	}
	if m.incarnation == 0 {
		m.incarnation, m.leaseStart, m.nextHeartbeatAt = 1, w.now, w.now
	}
	for _, t := range m.tasks {
		w.advanceTask(m, t, d)
	}
	if !m.heartbeatPending && (!w.now.Before(m.nextHeartbeatAt) || m.changed && w.now.Sub(m.lastHeartbeatAt) >= minHeartbeatInterval) {
		m.heartbeatPending, m.changed, m.lastHeartbeatAt = true, false, w.now
		m.nextHeartbeatAt = w.now.Add(w.jitter(w.settings.HeartbeatInterval))
		w.heartbeatSender(m)
	}
}

// expireWorkerLease kills all tasks of a worker whose lease has expired, drops its images and
// begins a new incarnation.
func (w *World) expireWorkerLease(m *Worker) {
	for _, t := range m.tasks {
		if t.onMachine() {
			w.LostToLease++
		}
	}
	w.clearTasks(m)
	clear(m.images)
	m.incarnation++
	m.leaseStart, m.changed = w.now, true
}

// advanceTask advances a task by d.
func (w *World) advanceTask(m *Worker, t *workerTask, d time.Duration) {
	switch t.status {
	case model.Fetching:
		if !t.imageReadyAt.After(w.now) {
			t.status, m.changed, m.everUsed = model.Running, true, true
			team := t.job.spec.Team
			w.teamUsage[team] = w.teamUsage[team].AddScaled(t.job.spec.Need, 1)
			w.checkStart(m, t)
		}
	case model.Running:
		if m.faulty || t.job.alwaysFails {
			w.endTask(m, t, "error")
			return
		}
		t.remaining -= d
		if interval := t.job.spec.CheckpointInterval; interval > 0 && t.remaining > 0 {
			// A later attempt resumes from the last complete checkpoint.
			steps := (t.job.run - t.remaining) / interval
			t.job.saveCheckpoint(t.index, t.job.run-steps*interval)
		}
		if t.remaining <= 0 && !t.job.spec.LongRunning {
			t.job.doneTasks[t.index] = true
			w.endTask(m, t, "done")
			w.noteTasksDone(t.job)
			w.maybeCancelAtEnd(t.job)
		}
	case model.Checkpointing:
		if !t.checkpointDoneAt.After(w.now) {
			t.job.saveCheckpoint(t.index, t.remaining)
			t.checkpointed = true
			w.endTask(m, t, "stopped")
		}
	}
}

// sendHeartbeat sends a worker's heartbeat to its controller and handles the answer. If no answer
// arrives within heartbeatTimeout, the worker sends its next heartbeat to the next controller.
func (w *World) sendHeartbeat(m *Worker) {
	sent, incarnation, to, process := w.now, m.incarnation, m.controller, m.process
	answered := false
	r := m.heartbeat(w.now)
	w.schedule(heartbeatTimeout, func() {
		if !answered && m.process == process {
			answered = true
			w.tryNextController(m, to)
		}
	})
	if w.now.Before(m.unheardUntil) {
		// The worker can't open a connection, so not even a late copy of the heartbeat arrives.
		return
	}
	p := w.controllers[to]
	w.copyHeartbeat(r)
	if w.duplicateRate > 0 && w.rng.Float64() < w.duplicateRate {
		w.schedule(w.randomDelay(), func() {
			w.sendMessage(m.ID, p.name, func() { p.deliverHeartbeat(r, func(message.Effect) {}) })
		})
	}
	w.sendMessage(m.ID, p.name, func() {
		p.deliverHeartbeat(r, func(e message.Effect) {
			a := e.(message.HeartbeatReply)
			w.sendMessage(p.name, m.ID, func() {
				// An answer after the timeout is dropped.
				if !answered {
					answered = true
					w.takeHeartbeatReply(m, a, to, incarnation, sent)
				}
			})
		})
	})
}

// deliverHeartbeat passes a heartbeat to the controller and its answer to fn.
func (p *controllerProcess) deliverHeartbeat(r model.Heartbeat, fn func(message.Effect)) {
	p.request(func(reply uint64) message.Command { return message.WorkerHeartbeat{Reply: reply, Heartbeat: r} }, fn)
}

// tryNextController makes a worker send its next heartbeat to the controller that follows the
// failed one, after heartbeatRetryPause.
func (w *World) tryNextController(m *Worker, failed int) {
	m.heartbeatPending = false
	m.controller = (failed + 1) % len(w.controllers)
	m.nextHeartbeatAt = w.now.Add(heartbeatRetryPause)
}

// takeHeartbeatReply handles the answer of controller to. incarnation is the worker's incarnation
// at sent, when the worker sent the heartbeat.
func (w *World) takeHeartbeatReply(m *Worker, a message.HeartbeatReply, to int, incarnation uint64, sent time.Time) {
	owner := -1
	if a.MachineOwner != "" {
		owner = w.controllerIndex(a.MachineOwner)
	}
	switch {
	case a.Status == http.StatusMisdirectedRequest && owner >= 0 && owner != to:
		m.heartbeatPending = false
		m.controller = owner
		m.nextHeartbeatAt = w.now.Add(w.jitter(250 * time.Millisecond))
	case a.Status != http.StatusOK:
		w.tryNextController(m, to)
	default:
		w.checkReplySize(a)
		m.heartbeatPending = false
		if a.Epoch < m.epoch || incarnation != m.incarnation {
			return
		}
		if a.Epoch > m.epoch {
			m.epoch, m.changed = a.Epoch, true
		}
		m.leaseStart = sent
		w.executeCommands(m, a.Commands)
	}
}

// executeDirect executes a request that a controller sent directly to a worker.
func (w *World) executeDirect(m *Worker, op message.WorkerRequest) message.WorkerResponse {
	d := message.WorkerResponse{ID: op.ID, OK: true}
	if !op.StatusOnly {
		if op.Epoch < m.epoch || op.Incarnation != m.incarnation {
			d.OK = false
		} else {
			if op.Epoch > m.epoch {
				m.epoch, m.changed = op.Epoch, true
			}
			w.executeCommands(m, op.Commands)
		}
	}
	r := m.heartbeat(w.now)
	d.Heartbeat = &r
	return d
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
