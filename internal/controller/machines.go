package controller

import (
	"cmp"
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

const (
	// clockDrift bounds how far steady clocks of two machines run apart, with
	// room to spare over the 0.05 % of the protocol.
	clockDrift = 0.002
	// leaseMargin absorbs rounding and scheduling on both sides of a lease.
	leaseMargin = time.Second
)

type taskKey struct {
	job   string
	index int
}

// machine is a rented machine as its owner knows it.
type machine struct {
	id          string
	addr        string
	machineType string
	zone        string
	spot        bool
	size        model.Resources
	disk        float64

	// afar: it is another controller's; only what this one's jobs have on it is kept.
	// epoch is that under which it is owned, and former until when somebody who owned
	// it before may go on answering it.
	remote           bool
	epoch            uint64
	formerOwnerUntil time.Time
	// ownedSince is since when it has been in this owner's books.
	ownedSince time.Time

	attempts map[taskKey]*task
	used     model.Resources
	// reservedForMigration is the room of places that are held for moves; see migration.go.
	reservedForMigration model.Resources
	// gift: it is held to be emptied for another owner.
	evacuatingForOther bool
	// othersUsed is the room that attempts of others' jobs take, and hasOthersAttempts says that
	// there are any.
	othersUsed        model.Resources
	hasOthersAttempts bool
	// asking: open/ is being read to tell what becomes of a piece.
	readingOpenJobs bool
	// taskReports is the newest report's list, and last the same as it came.
	taskReports     map[taskKey]model.TaskReport
	lastTaskReports []model.TaskReport
	// strays: something runs there that should not; its size is not known.
	hasUnknownTasks bool
	images          map[string]*image

	heard          bool
	incarnation    uint64
	sequence       uint64
	seenEpoch      uint64
	lastHeard      time.Time
	leaseEnd       time.Time
	reclaimNoticed bool
	reclaimAt      time.Time
	releasing      bool
	// retiring: others can do its work more cheaply; see retire.
	decommissioning bool
	faulty          bool
	idleSince       time.Time
	// reservedFor is the job that has waited too long and gets the machine when it is
	// empty enough; see aging.go.
	reservedFor string

	// dirty: orders may be due; it is then in the owner's list. forgotten:
	// the owner has dropped it.
	dispatchPending  bool
	removed          bool
	dispatchInFlight bool
	// questioned: it has been asked for its status, which starts nothing.
	statusRequested bool
	// fresh: what was ordered last has starts that are nowhere else; see ranking.go.
	hasNewStarts bool
	// unackedStartEpoch is the epoch of an order with a start that got no answer and
	// may be executed minutes later, until a higher epoch is reported.
	unackedStartEpoch uint64
	// replySequence: a report answered with starts; until a later report they
	// count as on their way. An answer from /orders can overtake them.
	replySequence uint64
	// probed is when a question to the silent machine was last sent, and
	// unanswered how many since it was last heard got no answer.
	probed           time.Time
	unansweredProbes int
	// checking: its lease is over by the clock, and the division is being read to
	// tell whether it was this owner's all the time.
	ownershipCheckedAt time.Time
	// reachability is whether it hears this owner, shown that something has just shown it, and
	// unheard how many reports without a sign of this owner's time were answered; see
	// heartbeat_proof.go. newest is when the newest of its messages came, sign of life or not.
	reachability      reachability.Detector
	shownReachable    bool
	unheardHeartbeats int
	newestMessageAt   time.Time
	// reroutedAt is when another controller told of a newer report of it, and came that one.
	reroutedAt time.Time
	rerouted   message.ReroutedHeartbeat
	// restartEpoch is the epoch under which its worker began anew, if it did.
	restartEpoch uint64
	// dispatchUnanswered: the last direct order got no answer; wait for a report.
	dispatchUnanswered bool
	// speed is how its finished tasks compared with what was expected.
	speed  float64
	speedN int
}

type image struct {
	sizeGB float64
	last   time.Time
	cached bool
}

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

// free is the room on a machine for one more task.
func (m *machine) free() model.Resources {
	return m.size.AddScaled(m.used, -1).AddScaled(m.othersUsed, -1).AddScaled(m.reservedForMigration, -1)
}

// isEmpty says that no task is on a machine or may yet begin there.
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

func (s *shardLeader) describe(m *machine, addr, machineType, zone string, spot bool) {
	if m.machineType == "" {
		s.setMachineZone(m, zone)
	}
	m.addr, m.machineType, m.spot = addr, machineType, spot
	if f, ok := s.controller.knowledge.machineTypes[machineType]; ok {
		m.size, m.disk = f.Capacity, f.DiskGB
	}
}

// setMachineZone notes in which zone a machine with tasks on it is.
func (s *shardLeader) setMachineZone(m *machine, zone string) {
	for k := range m.attempts {
		j := s.jobs[k.job]
		j.liveByZone[m.zone]--
		j.liveByZone[zone]++
	}
	m.zone = zone
}

// formerOwnerGrace is for how long a former owner may go on answering a machine after it has
// become another's. One that lives knows of that with its watch, or loses its grant,
// and then answers for its grace.
func (r *leaseRenewer) formerOwnerGrace() time.Duration { return membershipLeaseTTL + r.grace() }

func (r *leaseRenewer) leaseEndAfter(t time.Time) time.Time {
	return t.Add(time.Duration(float64(r.settings.WorkerLease)*(1+clockDrift)) + leaseMargin)
}

func sortedAttempts(m *machine) []taskKey { return sortedTasks(m.attempts) }

// sortedTasks gives an order to what is kept by task, so that the same inputs
// give the same decisions.
func sortedTasks[V any](m map[taskKey]V) []taskKey {
	keys := make([]taskKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sortTasks(keys)
	return keys
}

func sortTasks(keys []taskKey) {
	if len(keys) < 2 {
		return
	}
	slices.SortFunc(keys, func(a, b taskKey) int {
		if c := cmp.Compare(a.index, b.index); c != 0 && a.job == b.job {
			return c
		}
		return strings.Compare(a.job, b.job)
	})
}

// noteImage notes that m fetches or holds the image of j, dropping what a cache
// that keeps the most recently used would have dropped.
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

// dropMachine forgets a machine that is proven gone.
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
