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
	// slowMachine is how much slower than expected a machine's tasks must run,
	// over slowSeen tasks at least, before it is avoided.
	slowMachine = 1.7
	slowSeen    = 2
)

// taskKey identifies a task.
type taskKey struct {
	job   string
	index int
}

// machine is a machine as a shard leader knows it that owns it or has attempts on it. It
// belongs to that shardLeader, whose components write their groups of fields; only
// shardLeader attaches and ends attempts. All of it is lost at a failover, and learnt again
// from records, heartbeats and peers.
type machine struct {
	id          string
	addr        string
	machineType string
	zone        string
	spot        bool
	size        model.Resources
	disk        float64 // GB

	// Ownership (shardLeader).

	// remote: it is another controller's, and only what jobs held here have on it is kept.
	remote bool
	// epoch is that under which it is owned, and formerOwnerUntil until when a former owner
	// may go on answering it.
	epoch            uint64
	formerOwnerUntil time.Time
	// ownedSince is since when this shard leader has known it as its own.
	ownedSince time.Time
	// removed: the shard leader has dropped it.
	removed bool

	// What runs there (shardLeader; others' attempts: remoteAttempts).

	attempts map[taskKey]*task
	used     model.Resources
	// othersUsed is what attempts of other shards' jobs take, and hasOthersAttempts says that
	// there are any.
	othersUsed        model.Resources
	hasOthersAttempts bool
	images            map[string]*image
	// speed is how its finished tasks' run times compared with the expected ones, over
	// speedN tasks.
	speed  float64
	speedN int

	// What its heartbeats say (heartbeatTracker).

	heard       bool
	lastHeard   time.Time
	incarnation uint64
	sequence    uint64
	seenEpoch   uint64
	// restartEpoch is the epoch under which its worker restarted, if it did.
	restartEpoch uint64
	// taskReports has the tasks of the newest heartbeat, lastTaskReports the same as it came.
	taskReports     map[taskKey]model.TaskReport
	lastTaskReports []model.TaskReport
	// hasUnknownTasks: something runs there that should not, of unknown size.
	hasUnknownTasks bool
	// readingOpenJobs: open/ is being read to decide about a task that it reports.
	readingOpenJobs bool
	// reroutedAt is when another controller published a newer heartbeat of it, and rerouted
	// that one; set by partitionDetector.
	reroutedAt time.Time
	rerouted   message.ReroutedHeartbeat

	// Its worker lease and whether it is alive (heartbeatTracker, failover).

	// leaseEnd is when its lease is over by this controller's clock, zero if it has none.
	leaseEnd time.Time
	// ownershipCheckedAt is when the lease was over by the clock, and the shard map was read
	// to confirm that the machine was this controller's all the time.
	ownershipCheckedAt time.Time
	// statusRequested: it is being polled for its status, which starts nothing.
	statusRequested bool
	// probed is when it was last polled, and unansweredProbes how many polls since it was
	// last heard got no answer.
	probed           time.Time
	unansweredProbes int
	// reachability is whether it hears this controller; shownReachable: something has just
	// shown it; unheardHeartbeats counts the heartbeats without a sign of this controller
	// that were answered; see heartbeat_proof.go.
	reachability      reachability.Detector
	shownReachable    bool
	unheardHeartbeats int
	// newestMessageAt is when its newest message came, a sign of life or not.
	newestMessageAt time.Time

	// Commands to it (dispatcher).

	// dispatchPending: commands may be pending, and the dispatcher has it in its list.
	dispatchPending  bool
	dispatchInFlight bool
	// dispatchUnanswered: the last commands sent got no answer; wait for a heartbeat.
	dispatchUnanswered bool
	// hasNewStarts: the last commands have starts that are recorded nowhere else; see
	// ranking.go.
	hasNewStarts bool
	// unackedStartEpoch is the epoch of a command with a start that got no answer and may be
	// executed minutes later, until a heartbeat shows a higher epoch.
	unackedStartEpoch uint64
	// replySequence is the sequence of a heartbeat that was answered with starts: until a
	// later heartbeat they count as on their way. An answer to commands can overtake them.
	replySequence uint64

	// Its use (scheduler, migrationManager, fleetPlanner).

	idleSince time.Time
	// lastPlacedAt is when an attempt was last placed here.
	lastPlacedAt time.Time
	faulty       bool
	// reclaimNoticed: the cloud has announced that it takes the machine at reclaimAt.
	reclaimNoticed bool
	reclaimAt      time.Time
	releasing      bool
	// decommissioning: other machines can do its work for less.
	decommissioning bool
	// reservedFor is the job that has waited too long and gets the machine when it is empty
	// enough; see aging.go.
	reservedFor string
	// reservedForMigration is kept free for replicas that migrate here; see migration.go.
	reservedForMigration model.Resources
	// evacuatingForOther: it is kept to be emptied for another shard.
	evacuatingForOther bool
}

// image is a container image on a machine: cached, or being fetched. last is its last use.
type image struct {
	sizeGB float64
	last   time.Time
	cached bool
}

// ensureMachine is the machine of an id, added if it is not known.
func (s *shardLeader) ensureMachine(id string) *machine {
	m := s.machines[id]
	if m == nil {
		m = &machine{id: id, attempts: map[taskKey]*task{}, images: map[string]*image{}, idleSince: s.now, ownedSince: s.now, formerOwnerUntil: s.now.Add(s.controller.renewal.formerOwnerGrace())}
		if x, ok := s.controller.membership.ownedMachine(id); ok {
			m.epoch = x.Epoch
		}
		s.machines[id] = m
		i, _ := slices.BinarySearchFunc(s.machinesByID, id, machineID)
		s.machinesByID = slices.Insert(s.machinesByID, i, m)
	}
	return m
}

// free is what a machine has free for more tasks.
func (m *machine) free() model.Resources {
	return m.size.AddScaled(m.used, -1).AddScaled(m.othersUsed, -1).AddScaled(m.reservedForMigration, -1)
}

// isEmpty says that no task runs on a machine or may yet start there.
func (m *machine) isEmpty() bool { return len(m.attempts) == 0 && !m.hasOthersAttempts }

func machineID(m *machine, id string) int { return strings.Compare(m.id, id) }

// removeMachine drops a machine on which nothing is left.
func (s *shardLeader) removeMachine(m *machine) {
	delete(s.machines, m.id)
	if i, ok := slices.BinarySearchFunc(s.machinesByID, m.id, machineID); ok && s.machinesByID[i] == m {
		s.machinesByID = slices.Delete(s.machinesByID, i, i+1)
	}
	m.removed = true
	s.heartbeats.keepLastHeartbeat(m)
	s.faultAttribution.ForgetMachine(m.id)
}

// describe notes a machine's address, type and zone, as its heartbeat, the cloud or a peer
// says.
func (s *shardLeader) describe(m *machine, addr, machineType, zone string, spot bool) {
	if m.machineType == "" {
		s.setMachineZone(m, zone)
	}
	m.addr, m.machineType, m.spot = addr, machineType, spot
	if f, ok := s.controller.knowledge.machineTypes[machineType]; ok {
		m.size, m.disk = f.Capacity, f.DiskGB
	}
}

// setMachineZone changes the zone of a machine that may have attempts.
func (s *shardLeader) setMachineZone(m *machine, zone string) {
	for k := range m.attempts {
		j := s.jobs[k.job]
		j.liveByZone[m.zone]--
		j.liveByZone[zone]++
	}
	m.zone = zone
}

// noteImage notes that m fetches or holds the image of j, and forgets the images that a
// least-recently-used cache would have dropped.
func (m *machine) noteImage(j *job, now time.Time, cached bool) {
	if j.Image == "" {
		return
	}
	im := m.images[j.Image]
	if im == nil {
		im = &image{sizeGB: j.ImageGB}
		m.images[j.Image] = im
	}
	im.last = now
	im.cached = im.cached || cached
	if m.disk <= 0 {
		return
	}
	for {
		sum, oldest := 0.0, ""
		for _, x := range m.images {
			sum += x.sizeGB
		}
		if sum <= m.disk {
			return
		}
		for _, name := range sortedKeys(m.images) {
			x := m.images[name]
			if name != j.Image && (oldest == "" || x.last.Before(m.images[oldest].last)) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		delete(m.images, oldest)
	}
}

// dropMachine drops a machine that is proven gone, if it is this shard leader's.
func (c *Controller) dropMachine(m *machine, why string) {
	if c.shardLeader == nil || c.shardLeader.machines[m.id] != m {
		return
	}
	c.debug("machine gone", "machine", m.id, "why", why, "attempts", len(m.attempts))
	c.shardLeader.heartbeats.loseAllAttempts(m, nil)
	c.shardLeader.removeMachine(m)
}

// fetchSeconds is how long the machine needs to have the image of j, in seconds, when it
// is fetching so many and pulls so much a second.
func (m *machine) fetchSeconds(j *job, fetching int, fetchRate float64) float64 {
	if j.Image == "" || j.ImageGB <= 0 {
		return 0
	}
	switch im := m.images[j.Image]; {
	case im == nil:
		return float64(1+fetching) * j.ImageGB / fetchRate
	case im.cached:
		return 0
	}
	// Already coming.
	return j.ImageGB / fetchRate / 2
}
