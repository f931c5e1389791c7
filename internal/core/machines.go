package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/reachability"
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
	id      string
	addr    string
	flavour string
	zone    string
	spot    bool
	size    Resources
	disk    float64

	// afar: it is another controller's; only what this one's jobs have on it is kept.
	// epoch is that under which it is owned, and former until when somebody who owned
	// it before may go on answering it.
	afar   bool
	epoch  uint64
	former time.Time
	// here is since when it has been in this owner's books.
	here time.Time

	attempts map[taskKey]*task
	used     Resources
	// held is the room of places that are held for moves; see models.go.
	held Resources
	// gift: it is held to be emptied for another owner.
	gift bool
	// foreign is the room that attempts of others' jobs take, and hasForeign says that
	// there are any.
	foreign    Resources
	hasForeign bool
	// asking: open/ is being read to tell what becomes of a piece.
	asking bool
	// pieces is the newest report's list, and last the same as it came.
	pieces map[taskKey]TaskReport
	last   []TaskReport
	// strays: something runs there that should not; its size is not known.
	strays bool
	images map[string]*image

	heard     bool
	tenure    uint64
	tick      uint64
	seenEpoch uint64
	lastHeard time.Time
	leaseEnd  time.Time
	recall    bool
	recallAt  time.Time
	returning bool
	// retiring: others can do its work more cheaply; see retire.
	retiring  bool
	bad       bool
	idleSince time.Time
	// heldFor is the job that has waited too long and gets the machine when it is
	// empty enough; see turns.go.
	heldFor string

	// dirty: orders may be due; it is then in the owner's list. forgotten:
	// the owner has dropped it.
	dirty     bool
	forgotten bool
	inFlight  bool
	// questioned: it has been asked for its status, which starts nothing.
	questioned bool
	// fresh: what was ordered last has starts that are nowhere else; see rank.go.
	fresh bool
	// unacked is the epoch of an order with a start that got no answer and
	// may be executed minutes later, until a higher epoch is reported.
	unacked uint64
	// replyTick: a report answered with starts; until a later report they
	// count as on their way. An answer from /orders can overtake them.
	replyTick uint64
	// probed is when a question to the silent machine was last sent, and
	// unanswered how many since it was last heard got no answer.
	probed     time.Time
	unanswered int
	// checking: its lease is over by the clock, and the division is being read to
	// tell whether it was this owner's all the time.
	checking time.Time
	// reach is whether it hears this owner, shown that something has just shown it, and
	// unheard how many reports without a sign of this owner's time were answered; see
	// hear.go. newest is when the newest of its messages came, sign of life or not.
	reach   reachability.Detector
	shown   bool
	unheard int
	newest  time.Time
	// cameAt is when another controller told of a newer report of it, and came that one.
	cameAt time.Time
	came   Came
	// anew is the epoch under which its worker began anew, if it did.
	anew uint64
	// noDirect: the last direct order got no answer; wait for a report.
	noDirect bool
	// speed is how its finished tasks compared with what was expected.
	speed  float64
	speedN int
}

type image struct {
	gb     float64
	last   time.Time
	cached bool
}

func (n *Node) machine(id string) *machine {
	o := n.owner
	m := o.machines[id]
	if m == nil {
		m = &machine{id: id, attempts: map[taskKey]*task{}, images: map[string]*image{}, idleSince: n.now, here: n.now, former: n.now.Add(n.former())}
		if x, ok := n.mine(id); ok {
			m.epoch = x.Epoch
		}
		o.machines[id] = m
		i, _ := slices.BinarySearchFunc(o.byID, id, machineID)
		o.byID = slices.Insert(o.byID, i, m)
	}
	return m
}

// free is the room on a machine for one more task.
func (m *machine) free() Resources {
	return m.size.Plus(m.used, -1).Plus(m.foreign, -1).Plus(m.held, -1)
}

// empty says that no task is on a machine or may yet begin there.
func (m *machine) empty() bool { return len(m.attempts) == 0 && !m.hasForeign }

func machineID(m *machine, id string) int { return strings.Compare(m.id, id) }

// forget drops a machine on which nothing is left.
func (o *owner) forget(m *machine) {
	delete(o.machines, m.id)
	if i, ok := slices.BinarySearchFunc(o.byID, m.id, machineID); ok && o.byID[i] == m {
		o.byID = slices.Delete(o.byID, i, i+1)
	}
	m.forgotten = true
	o.remember(m)
	o.blame.MachineGone(m.id)
}

func (n *Node) describe(m *machine, addr, flavour, zone string, spot bool) {
	if m.flavour == "" {
		n.zoneKnown(m, zone)
	}
	m.addr, m.flavour, m.spot = addr, flavour, spot
	if f, ok := n.types[flavour]; ok {
		m.size, m.disk = f.Size, f.DiskGB
	}
}

// zoneKnown notes in which zone a machine with tasks on it is.
func (n *Node) zoneKnown(m *machine, zone string) {
	for k := range m.attempts {
		j := n.owner.jobs[k.job]
		j.zoneLive[m.zone]--
		j.zoneLive[zone]++
	}
	m.zone = zone
}

// former is for how long a former owner may go on answering a machine after it has
// become another's. One that lives knows of that with its watch, or loses its grant,
// and then answers for its grace.
func (n *Node) former() time.Duration { return sessionTTL + n.grace() }

func (n *Node) leaseAfter(t time.Time) time.Time {
	return t.Add(time.Duration(float64(n.set.Lease)*(1+clockDrift)) + leaseMargin)
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

// image notes that m fetches or holds the image of j, dropping what a cache
// that keeps the most recently used would have dropped.
func (m *machine) image(j *job, now time.Time, cached bool) {
	if j.Image == "" {
		return
	}
	im := m.images[j.Image]
	if im == nil {
		im = &image{gb: j.ImageGB}
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
			sum += x.gb
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
func (n *Node) dropMachine(m *machine, why string) {
	if n.owner == nil || n.owner.machines[m.id] != m {
		return
	}
	n.debug("machine gone", "machine", m.id, "why", why, "attempts", len(m.attempts))
	n.loseAll(m, nil)
	n.owner.forget(m)
}
