package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/packing"
)

// packing.go joins internal/packing where the models' capability is on: replicas are
// rated by what room they leave, and work without GPUs stays off the machines that have
// some, but for what no model there could use.

const (
	// packEvery is how often what is usual is learnt anew.
	packEvery = time.Second
	// strayAfter is how long work without GPUs waits in vain, with nothing of its job
	// started, before it may take machines with GPUs as well: the other kinds may be
	// refused for hours. While replicas wait for GPUs it is twice as long.
	strayAfter = 2 * time.Minute
	// briefMost is how long work without GPUs whose wait is bounded may run and take them
	// at once, at the price that it costs the replicas, as long as none waits.
	briefMost = 30 * time.Second
	// clearMost is the most work lost for which work without GPUs is stopped to make
	// room for a replica: about what a machine rented for it would take to come.
	clearMost = time.Minute
	// roomsEvery is how often the metrics are told how the room lies.
	roomsEvery = 5 * time.Second
)

// packs is what is usual on the kinds of machines that have GPUs.
type packs struct {
	at time.Time
	// kinds are by flavour those on which anything is usual.
	kinds map[string]*packing.Kind
	// stray are the workloads without GPUs that have waited in vain for too long, and waits
	// says that replicas wait.
	stray map[string]bool
	waits bool
}

// packKey is replicas that are alike for what room is worth.
type packKey struct {
	need     Resources
	flavours string
}

// packsNow is what is usual now, or nil when the capability is off. It is learnt from the
// jobs there are and from the newest of each workload that came lately, so that it takes
// no records, and a successor has it with the jobs.
func (n *Node) packsNow() *packs {
	o := n.owner
	if !n.set.Product.Models || o.packs != nil && n.now.Sub(o.packs.at) < packEvery && !n.now.Before(o.packs.at) {
		return o.packs
	}
	p := &packs{at: n.now, kinds: map[string]*packing.Kind{}, stray: map[string]bool{}}
	o.packs = p
	type tally struct {
		// In whole megabytes, so that the order in which jobs are looked at is no matter.
		tasks, mb int64
		waits     bool
	}
	by := map[packKey]tally{}
	add := func(s *Spec, tasks int, waiting bool) {
		if s.Need.GPU <= slack || tasks <= 0 {
			return
		}
		k := packKey{s.Need, strings.Join(s.Flavours, " ")}
		c := by[k]
		c.tasks, c.mb, c.waits = c.tasks+int64(tasks), c.mb+int64(tasks)*int64(s.ImageGB*1000), c.waits || waiting
		by[k] = c
		p.waits = p.waits || waiting
	}
	for _, j := range o.jobs {
		add(&j.Spec, j.live+j.pending(), n.triable(j) > 0 && n.withinLimit(j) && !o.blame.Broken(j.ID))
	}
	for _, w := range o.workloads {
		if n.now.Sub(w.last) < workloadMemory {
			add(w.spec, 1, false)
		}
	}
	if len(by) == 0 {
		return p
	}
	keys := slices.SortedFunc(maps.Keys(by), func(a, b packKey) int {
		return cmp.Or(cmp.Compare(a.need.GPU, b.need.GPU), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.flavours, b.flavours))
	})
	for _, name := range sortedKeys(n.types) {
		f := n.types[name]
		if f.Size.GPU <= slack {
			continue
		}
		var seen []packing.Seen
		for _, k := range keys {
			if c := by[k]; k.flavours == "" || slices.Contains(strings.Fields(k.flavours), name) {
				seen = append(seen, packing.Seen{Need: k.need, Tasks: int(min(c.tasks, math.MaxInt32)), GB: float64(c.mb) / 1000 / float64(c.tasks), Waits: c.waits})
			}
		}
		if k := packing.Of(f.Size, f.PullRate, seen); k != nil {
			p.kinds[name] = k
		}
	}
	patience := strayAfter
	if p.waits {
		patience = 2 * strayAfter
	}
	for _, j := range o.jobs {
		if since := later(later(j.free(), j.placedAt), o.readyAt); j.Need.GPU <= slack && n.now.Sub(since) > patience && n.triable(j) > 0 {
			p.stray[j.Workload] = true
		}
	}
	return p
}

// kind is what is usual on machines of a flavour; nil is none.
func (p *packs) kind(flavour string) *packing.Kind {
	if p == nil {
		return nil
	}
	return p.kinds[flavour]
}

// offNow says that a job's tasks stay off machines with GPUs now, but for what no replica
// could use there.
func (n *Node) offNow(j *job) bool {
	p := n.packsNow()
	return n.keepsOff(j) && !p.stray[j.Workload] &&
		(p.waits || j.Standing || n.waitBound(j.Workload) == 0 || n.expects(j) > briefMost)
}

// keepsOff says that no machine with GPUs is wanted for a job's tasks: they need none, and
// fit other kinds.
func (n *Node) keepsOff(j *job) bool {
	p := n.packsNow()
	if p == nil || j.Need.GPU > slack || len(p.kinds) == 0 {
		return false
	}
	for name, f := range n.types {
		if p.kinds[name] != nil || !j.Need.Fits(f.Size) {
			continue
		}
		for _, z := range f.Zones {
			if j.allows(name, z, true) || j.allows(name, z, false) {
				return true
			}
		}
	}
	return false
}

// openTo says that a job's tasks may go to a machine as to any other. off is what
// offNow says of the job.
func (n *Node) openTo(off bool, m *machine) bool {
	return !off || n.packsNow().kind(m.flavour) == nil
}

// plain is what work without GPUs takes on a machine, also that of others' jobs when
// none of it has GPUs.
func (n *Node) plain(m *machine) Resources {
	// Counted in millionths, so that the order is no matter.
	var cpu, memory int64
	for k := range m.attempts {
		if j := n.owner.jobs[k.job]; j != nil && j.Need.GPU <= slack {
			cpu += int64(math.Round(j.Need.CPU / slack))
			memory += int64(math.Round(j.Need.Memory / slack))
		}
	}
	r := Resources{CPU: float64(cpu) * slack, Memory: float64(memory) * slack}
	if m.foreign.GPU <= slack {
		r = r.Plus(m.foreign, 1)
	}
	return r
}

// packed rates a machine with GPUs for a task of j, in seconds; less is better.
func (n *Node) packed(k *packing.Kind, j *job, m *machine, free Resources, off bool) (float64, bool) {
	if off {
		return 0, j.Need.Fits(k.Spare(free, n.plain(m)))
	}
	score := k.Leaves(free, j.Need)
	if j.Need.GPU > slack {
		// Of places that leave as much the fullest, as ever, but by what counts here.
		score += (free.GPU - j.Need.GPU) / m.size.GPU
	}
	return score, true
}

// packedSince enters the machines anew on which others were placed since a lot was last
// used: one that is no longer whole suits better than before, and would be found behind
// the whole ones.
func (n *Node) packedSince(r *round, l *lot, j *job) {
	for ; l.seen < len(r.packed); l.seen++ {
		s := r.packed[l.seen]
		if score, ok := l.rate(n, j, s); ok {
			l.push(s.fetch(j), place{s, score})
		}
	}
}

// roomOn is the room on a machine for a job's tasks.
func (n *Node) roomOn(l *lot, s *spot) Resources {
	if l.off && s.pack != nil {
		return s.pack.Spare(s.m.free(), n.plain(s.m))
	}
	return s.m.free()
}

// open is the room of a virtual machine's free room for tasks that stay off GPUs or don't.
func (v *virtual) open(free Resources, off bool) Resources {
	if v.pack == nil || !off {
		return free
	}
	r := v.pack.Rest(free)
	return Resources{CPU: min(r.CPU, v.rest.CPU), Memory: min(r.Memory, v.rest.Memory)}
}

// clears says that lower work without GPUs is stopped where a task of j waits: it took
// room that no model could use when it came, or was there before.
func (n *Node) clears(j *job) bool { return n.set.Product.Models && j.Need.GPU > slack }

// clearsOnly says that a job may have nothing else stopped: nothing bounds its wait, and
// it has not waited too long.
func (n *Node) clearsOnly(j *job) bool {
	return n.clears(j) && !j.early && n.waitBound(j.Workload) == 0
}

// losesMost is the most work that may be lost where tasks are stopped for one of j's. A
// replica has no run time of its own to measure it by.
func (n *Node) losesMost(j *job) time.Duration {
	if n.clears(j) && j.Standing {
		return max(n.expects(j), clearMost)
	}
	return n.expects(j)
}

// usedPart is what part of a machine is in use: of its GPUs, where models count.
func (n *Node) usedPart(m *machine) float64 {
	if n.set.Product.Models && m.size.GPU > slack {
		return m.used.GPU / m.size.GPU
	}
	return m.used.CPU / max(m.size.CPU, 1)
}

// gpuRooms is how the room on the usable machines with GPUs lies, by kind.
func (n *Node) gpuRooms() []GPURoom {
	if !n.set.Product.Models {
		return nil
	}
	by := map[kind]*packing.Room{}
	for _, m := range n.owner.byID {
		if m.size.GPU <= slack || !n.usable(m) {
			continue
		}
		k := kind{m.flavour, m.zone, m.spot}
		if by[k] == nil {
			by[k] = &packing.Room{}
		}
		by[k].Add(n.packsNow().kind(m.flavour), m.size, m.free())
	}
	var out []GPURoom
	for _, k := range sortedKinds(by) {
		r := by[k]
		out = append(out, GPURoom{Flavour: k.flavour, Zone: k.zone, Spot: k.spot, Hosts: r.Hosts, Whole: r.Whole, Free: r.Free, Pieces: r.Pieces, Largest: r.Largest})
	}
	return out
}

// tellRooms tells the metrics of it every now and then.
func (n *Node) tellRooms() {
	if p := n.packsNow(); p != nil && n.now.Sub(n.owner.roomsTold) >= roomsEvery {
		n.owner.roomsTold = n.now
		n.emit(GPURooms{n.gpuRooms(), movesStatus(n)})
	}
}
