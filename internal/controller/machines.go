package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/reachability"
)

const (
	// slowMachineRatio is the ratio of a task's run time to the median run time of its job,
	// averaged over at least minSpeedSamples tasks, above which a machine is avoided.
	slowMachineRatio = 1.7
	minSpeedSamples  = 2 // tasks
)

// taskKey identifies a task by its job and its index in the job.
type taskKey struct {
	job   string
	index int
}

// machine is what a shard leader knows of a machine that it owns or on which its jobs have
// attempts. It belongs to that shardLeader. Each component of the shardLeader writes its own
// group of fields; only shardLeader itself attaches and ends attempts. The whole state is
// lost at a failover, and rebuilt from records, heartbeats and peers.
type machine struct {
	id          string
	addr        string
	machineType string
	zone        string
	spot        bool
	size        model.Resources
	diskGB      float64 // GB

	// Ownership (written by shardLeader).

	// remote means that another controller owns the machine. Then the state covers only the
	// attempts of this shard leader's jobs on it.
	remote bool
	// epoch is the epoch under which this controller owns the machine. Until
	// formerOwnerUntil a former owner may still answer the machine's heartbeats.
	epoch            uint64
	formerOwnerUntil time.Time
	// commandEpoch is the epoch of the commands and replies that are sent to the worker: epoch, or a
	// later revision at which this controller still owned the machine; see start_fence.go.
	commandEpoch uint64
	// ownedSince is when this shard leader learned that it owns the machine.
	ownedSince time.Time
	// removed means that the shard leader has dropped the machine.
	removed bool

	// Attempts and images on the machine (written by shardLeader; the attempts of other
	// shards' jobs by remoteAttempts).

	attempts map[taskKey]*task
	used     model.Resources
	// otherShardsUsed is the capacity that attempts of other shards' jobs use; hasOtherShardsAttempts
	// means that there are such attempts.
	otherShardsUsed        model.Resources
	hasOtherShardsAttempts bool
	images                 map[string]*image
	// speed is the moving average of the run times of the tasks that finished on the
	// machine, each as a ratio to the median run time of its job; speedSamples counts these tasks.
	speed        float64
	speedSamples int

	// State from the machine's messages (written by heartbeatTracker).

	heard       bool
	lastHeard   time.Time
	incarnation uint64
	sequence    uint64
	seenEpoch   uint64
	// restartEpoch is the command epoch under which the machine's worker last restarted; 0
	// if it never did.
	restartEpoch uint64
	// taskReports holds the tasks of the newest message by task, lastTaskReports the same
	// tasks in the order in which they arrived.
	taskReports     map[taskKey]model.TaskReport
	lastTaskReports []model.TaskReport
	// hasUnknownTasks means that the machine runs tasks that it should not run or whose
	// resource use is unknown.
	hasUnknownTasks bool
	// readingOpenJobs means that open/ is being read to decide about a task that the machine
	// reports.
	readingOpenJobs bool
	// rerouted is a newer heartbeat of the machine that reached another controller, which
	// published it at reroutedAt. Both are set by partitionDetector.
	reroutedAt time.Time
	rerouted   message.ReroutedHeartbeat

	// The worker's lease and signs of life (written by heartbeatTracker and failover).

	// leaseEnd is when the worker's lease has certainly expired by this controller's clock;
	// zero if there is no lease.
	leaseEnd time.Time
	// ownershipCheckedAt is when, after the lease had expired by the clock, the shard map
	// was read to confirm that this controller had owned the machine all the time.
	ownershipCheckedAt time.Time
	// statusRequested means that a status poll is in flight, which starts no task.
	statusRequested bool
	// lastProbedAt is when the machine was last polled; unansweredProbes counts the polls without
	// a reply since the last proven message.
	lastProbedAt     time.Time
	unansweredProbes int
	// reachability tracks whether the machine receives this controller's messages.
	// shownReachable means that the message being applied has shown that it does.
	// unprovenHeartbeats counts the answered heartbeats that show no effect of this
	// controller; see heartbeat_proof.go.
	reachability       reachability.Detector
	shownReachable     bool
	unprovenHeartbeats int
	// newestMessageAt is when the newest applied message arrived, whether or not it proves
	// that the machine is alive.
	newestMessageAt time.Time

	// Commands to the machine (written by dispatcher).

	// dispatchPending means that commands may be pending and that the machine is in the
	// dispatcher's list.
	dispatchPending  bool
	dispatchInFlight bool
	// dispatchUnanswered means that the last commands sent directly got no reply; the
	// dispatcher waits for a heartbeat.
	dispatchUnanswered bool
	// heartbeatRequested means that the dispatcher has requested a heartbeat, which will get the
	// starts that are due.
	heartbeatRequested bool
	// hasNewStarts means that the last commands contain starts that are recorded nowhere
	// else; see ranking.go.
	hasNewStarts bool
	// lastStartEpoch is the highest epoch under which this controller may have sent a start to the
	// worker. Under a command epoch that is not above it, no attempt may be cleared.
	lastStartEpoch uint64
	// awaitsOwnership means that the dispatcher has the machine in awaitingOwnership.
	awaitsOwnership bool
	// replySequence is the sequence of a heartbeat that was answered with start commands; 0
	// if none. These starts count as in flight until a later heartbeat arrives. A poll reply
	// does not end that, since it can overtake the reply to the heartbeat.
	replySequence uint64

	// Use of the machine (written by scheduler, migrationManager and fleetPlanner).

	// idleSince is when the machine became empty.
	idleSince time.Time
	// lastPlacedAt is when an attempt was last placed on the machine.
	lastPlacedAt time.Time
	// faulty means that the machine is quarantined.
	faulty bool
	// reclaimNoticed means that the cloud has announced that it will reclaim the machine at
	// reclaimAt.
	reclaimNoticed bool
	reclaimAt      time.Time
	releasing      bool
	// decommissioning means that other machines can run this machine's tasks at lower cost.
	decommissioning bool
	// reservedFor is the id of the job that has waited too long and gets this machine once
	// enough of its capacity is free; see aging.go.
	reservedFor string
	// reservedForMigration is the capacity kept free for replicas that migrate to this
	// machine; see migration.go.
	reservedForMigration model.Resources
	// evacuatingForOtherShard means that the machine is kept and emptied so that another shard
	// can use it.
	evacuatingForOtherShard bool
}

// image is a container image on a machine: cached, or being fetched. lastUsedAt is when a task
// last used it.
type image struct {
	sizeGB     float64
	lastUsedAt time.Time
	cached     bool
}

// ensureMachine returns the machine with the given id, and adds it if it is unknown.
func (shardLeader *shardLeader) ensureMachine(id string) *machine {
	m := shardLeader.machines[id]
	if m == nil {
		m = &machine{id: id, attempts: map[taskKey]*task{}, images: map[string]*image{}, idleSince: shardLeader.now, ownedSince: shardLeader.now, formerOwnerUntil: shardLeader.now.Add(shardLeader.controller.renewal.formerOwnerGrace())}
		if segment, ok := shardLeader.controller.membership.ownedMachine(id); ok {
			m.epoch = segment.Epoch
		}
		m.commandEpoch, m.lastStartEpoch = shardLeader.firstEpochs(id, m.epoch)
		shardLeader.machines[id] = m
		index, _ := slices.BinarySearchFunc(shardLeader.machinesByID, id, compareMachineID)
		shardLeader.machinesByID = slices.Insert(shardLeader.machinesByID, index, m)
	}
	return m
}

// free returns the capacity of the machine that is neither used nor reserved.
func (machine *machine) free() model.Resources {
	return machine.size.AddScaled(machine.used, -1).AddScaled(machine.otherShardsUsed, -1).AddScaled(machine.reservedForMigration, -1)
}

// isEmpty reports whether no task runs on the machine or may still start there.
func (machine *machine) isEmpty() bool {
	return len(machine.attempts) == 0 && !machine.hasOtherShardsAttempts
}

// compareMachineID compares the id of m with id, for a binary search by id.
func compareMachineID(m *machine, id string) int { return strings.Compare(m.id, id) }

// removeMachine drops a machine that has no attempts left.
func (shardLeader *shardLeader) removeMachine(m *machine) {
	delete(shardLeader.machines, m.id)
	if index, ok := slices.BinarySearchFunc(shardLeader.machinesByID, m.id, compareMachineID); ok && shardLeader.machinesByID[index] == m {
		shardLeader.machinesByID = slices.Delete(shardLeader.machinesByID, index, index+1)
	}
	m.removed = true
	shardLeader.heartbeats.keepLastHeartbeat(m)
	shardLeader.faultAttribution.ForgetMachine(m.id)
}

// describe records a machine's address, type and zone, as reported by its heartbeat, the
// cloud or a peer.
func (shardLeader *shardLeader) describe(m *machine, addr, machineType, zone string, spot bool) {
	if m.machineType == "" {
		shardLeader.setMachineZone(m, zone)
	}
	m.addr, m.machineType, m.spot = addr, machineType, spot
	if spec, ok := shardLeader.controller.knowledge.machineTypes[machineType]; ok {
		m.size, m.diskGB = spec.Capacity, spec.DiskGB
	}
}

// setMachineZone changes the zone of a machine, and updates the zone counts of the jobs with
// attempts on it.
func (shardLeader *shardLeader) setMachineZone(m *machine, zone string) {
	for key := range m.attempts {
		j := shardLeader.jobs[key.job]
		j.liveByZone[m.zone]--
		j.liveByZone[zone]++
	}
	m.zone = zone
}

// noteImage records that the machine fetches or has cached the image of j, and removes the
// images that a least-recently-used cache would have evicted.
func (machine *machine) noteImage(j *job, now time.Time, cached bool) {
	if j.Image == "" {
		return
	}
	entry := machine.images[j.Image]
	if entry == nil {
		entry = &image{sizeGB: j.ImageGB}
		machine.images[j.Image] = entry
	}
	entry.lastUsedAt = now
	entry.cached = entry.cached || cached
	if machine.diskGB <= 0 {
		return
	}
	for {
		totalGB, oldest := 0.0, ""
		for _, other := range machine.images {
			totalGB += other.sizeGB
		}
		if totalGB <= machine.diskGB {
			return
		}
		for _, name := range sortedKeys(machine.images) {
			other := machine.images[name]
			if name != j.Image && (oldest == "" || other.lastUsedAt.Before(machine.images[oldest].lastUsedAt)) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		delete(machine.images, oldest)
	}
}

// dropMachine drops a machine that is proven gone, if the current shard leader still has it.
func (controller *Controller) dropMachine(m *machine, why string) {
	if controller.shardLeader == nil || controller.shardLeader.machines[m.id] != m {
		return
	}
	controller.debug("machine gone", "machine", m.id, "why", why, "attempts", len(m.attempts))
	controller.shardLeader.heartbeats.loseAllAttempts(m, nil)
	controller.shardLeader.removeMachine(m)
}

// fetchSeconds returns how many seconds the machine needs until it has cached the image of
// j. fetching is how many images the machine is fetching already, and fetchRate is its fetch
// rate in GB/s.
func (machine *machine) fetchSeconds(j *job, fetching int, fetchRate float64) float64 {
	if j.Image == "" || j.ImageGB <= 0 {
		return 0
	}
	switch entry := machine.images[j.Image]; {
	case entry == nil:
		return float64(1+fetching) * j.ImageGB / fetchRate
	case entry.cached:
		return 0
	}
	// The fetch is in progress: assume that half of it is left.
	return j.ImageGB / fetchRate / 2
}
