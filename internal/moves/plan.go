package moves

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/amount"
)

const (
	// allPairs is up to how many pairs of a host and a replica a problem is looked through
	// whole. Of more, hosts that don't look best are left out where a chain passes through
	// them, and the steps are bounded.
	allPairs = 100
	// direct is how many hosts with room are tried for a replica. Three are enough: the
	// other moves of a plan go to at most two of them, and one that nobody else goes to
	// and that costs no more is as good as any behind it.
	direct = MovesMost
	// through is how many hosts are tried as places of a chain, where another replica
	// has to leave first.
	through = 12
	// stepsMost bounds the moves that are tried for each length of a plan among many
	// hosts: some milliseconds.
	stepsMost = 20_000
	// enough is how many times dearer than the cheapest a plan may be: what could save
	// less is not looked for.
	enough = 1.2
)

// never is the cost of what can't be done.
const never = time.Duration(math.MaxInt64 / 8)

// Find looks for the cheapest moves, at most Most and MovesMost, after which the task
// that waits fits on one host. What a move costs is the time that its replica is down and
// the work that the stop loses. A plan costs no more than Dearest. Each move has room
// when its turn comes: nothing arrives before what stood there has left. Replicas that
// change places therefore need a third place, and none moves twice.
func Find(p *Problem) (Plan, bool) { return find(p, len(p.Hosts)*len(p.Replicas) <= allPairs) }

// find looks through all there is, or only through what looks best.
func find(p *Problem, whole bool) (Plan, bool) {
	f := newFinder(p, whole)
	hosts := f.wanted()
	for most := 0; most <= f.most; most++ {
		f.budget = stepsMost
		for _, h := range hosts {
			if f.short(h, p.Want.Need).Fits(f.on[h].sums[most]) {
				f.host = h
				f.touched = append(f.touched[:0], h)
				f.add(h, p.Want.Need, -1)
				f.search(most, 0)
				f.add(h, p.Want.Need, 1)
			}
		}
		if f.found && f.cost == 0 {
			break
		}
	}
	return f.plan(), f.found
}

// sort is what is the same for alike replicas: need and image. Size is the number of the
// need among those there are.
type sort struct {
	need  amount.Resources
	size  int
	image int
	gb    float64
}

// size is what is known of all replicas of one need, of whatever image: on which hosts
// they fit as they are, and on which after at most so many moves away from there, the
// best first. Some is filled when first asked for.
type size struct {
	need  amount.Resources
	some  bool
	room  []int
	after [MovesMost]struct {
		some  bool
		hosts []choice
	}
}

// standing is the replicas of a host that may move, the cheapest to lose first, and how
// much room the largest of them leave at most, by their number.
type standing struct {
	replicas []int
	sums     [MovesMost + 1]amount.Resources
}

// step is a replica's move.
type step struct {
	replica, to int
	cost        time.Duration
}

type finder struct {
	p     *Problem
	most  int
	whole bool
	// sorts are the kinds of replicas, and of the sort of each replica.
	sorts []sort
	of    []int
	sizes []size
	on    []standing
	// holds says by image and host which it has.
	holds [][]bool
	// room is by sort the hosts on which it fits as they are, the cheapest first.
	room [][]choice
	// chain is by sort and by how many more moves there may be the hosts on which it
	// fits after these.
	chain [][MovesMost]chain
	done  []bool
	// group is the same for hosts that are alike in all that counts here.
	group []int

	// net is what is free after all steps; those hosts are touched that a step concerns
	// and the host on which the waiting task is to go.
	net     []amount.Resources
	host    int
	touched []int
	steps   []step
	order   []step
	moved   []bool
	budget  int

	found bool
	cost  time.Duration
	best  []step
	at    int
}

// choice is a host and what a move there costs, or is expected to.
type choice struct {
	host int
	cost time.Duration
}

// chain is hosts that hold an image and those that don't.
type chain struct {
	done       bool
	warm, cold []int
}

func newFinder(p *Problem, whole bool) *finder {
	f := &finder{
		p: p, most: max(0, min(p.Most, MovesMost)), whole: whole,
		of: make([]int, len(p.Replicas)), on: make([]standing, len(p.Hosts)),
		net: make([]amount.Resources, len(p.Hosts)), moved: make([]bool, len(p.Replicas)),
		cost: never,
	}
	images, sorts, sizes := map[string]int{}, map[sort]int{}, map[amount.Resources]int{}
	var names []string
	for i := range p.Replicas {
		r := &p.Replicas[i]
		if r.Host < 0 || r.Host >= len(p.Hosts) || !r.Movable {
			f.of[i] = -1
			continue
		}
		im, ok := images[r.Image]
		if !ok {
			im = len(names)
			images[r.Image] = im
			names = append(names, r.Image)
		}
		z, ok := sizes[r.Need]
		if !ok {
			z = len(f.sizes)
			sizes[r.Need] = z
			f.sizes = append(f.sizes, size{need: r.Need})
		}
		s := sort{r.Need, z, im, r.ImageGB}
		k, ok := sorts[s]
		if !ok {
			k = len(f.sorts)
			sorts[s] = k
			f.sorts = append(f.sorts, s)
		}
		f.of[i] = k
		f.on[r.Host].replicas = append(f.on[r.Host].replicas, i)
	}
	f.holds = make([][]bool, len(names))
	for k := range names {
		f.holds[k] = make([]bool, len(p.Hosts))
	}
	for h := range p.Hosts {
		f.net[h] = p.Hosts[h].Free
		for name, has := range p.Hosts[h].Images {
			if im, ok := images[name]; ok && has {
				f.holds[im][h] = true
			}
		}
		f.on[h].measure(p)
	}
	f.room = make([][]choice, len(f.sorts))
	f.done = make([]bool, len(f.sorts))
	f.chain = make([][MovesMost]chain, len(f.sorts))
	f.alike()
	return f
}

// measure puts the replicas in order and sums up the largest.
func (s *standing) measure(p *Problem) {
	slices.SortStableFunc(s.replicas, func(a, b int) int { return cmp.Compare(p.Replicas[a].Loss, p.Replicas[b].Loss) })
	var top [MovesMost]amount.Resources
	for _, i := range s.replicas {
		n := p.Replicas[i].Need
		for k := range top {
			t := &top[k]
			// What is larger stays, the smaller one goes on to the next.
			t.CPU, n.CPU = max(t.CPU, n.CPU), min(t.CPU, n.CPU)
			t.GPU, n.GPU = max(t.GPU, n.GPU), min(t.GPU, n.GPU)
			t.Memory, n.Memory = max(t.Memory, n.Memory), min(t.Memory, n.Memory)
		}
	}
	for k := range top {
		s.sums[k+1] = s.sums[k].AddScaled(top[k], 1)
	}
}

// alike numbers the groups of hosts that no decision tells apart. Where a job says host
// by host where it may be, hosts are not alike.
func (f *finder) alike() {
	p := f.p
	f.group = make([]int, len(p.Hosts))
	groups := map[string]int{}
	own := f.whole || p.Want.Allowed != nil
	for i := 0; i < len(p.Replicas) && !own; i++ {
		own = p.Replicas[i].Allowed != nil
	}
	var b []byte
	held := make([][]int, len(p.Hosts))
	for im := range f.holds {
		for h, has := range f.holds[im] {
			if has && !own {
				held[h] = append(held[h], im)
			}
		}
	}
	for h := range p.Hosts {
		if own {
			f.group[h] = h
			continue
		}
		b = b[:0]
		m := &p.Hosts[h]
		for _, x := range [...]float64{m.Size.CPU, m.Size.GPU, m.Size.Memory, m.Free.CPU, m.Free.GPU, m.Free.Memory, m.Pull} {
			b = strconv.AppendUint(b, math.Float64bits(x), 36)
			b = append(b, ' ')
		}
		b = append(b, m.Kind...)
		b = strconv.AppendBool(b, m.Target)
		for _, im := range held[h] {
			b = append(b, ' ')
			b = strconv.AppendInt(b, int64(im), 36)
		}
		b = append(b, ';')
		for _, i := range f.on[h].replicas {
			b = append(b, ' ')
			b = strconv.AppendInt(b, int64(f.of[i]), 36)
			b = append(b, '-')
			b = strconv.AppendInt(b, int64(p.Replicas[i].Loss), 36)
		}
		g, ok := groups[string(b)]
		if !ok {
			g = len(groups)
			groups[string(b)] = g
		}
		f.group[h] = g
	}
}

// wanted are the hosts on which the waiting task may go, those that have its image first,
// then those where least is missing; of alike ones only one.
func (f *finder) wanted() []int {
	p := f.p
	w := &p.Want
	var out []int
	seen := map[int]bool{}
	for h := range p.Hosts {
		m := &p.Hosts[h]
		if !m.Target || seen[f.group[h]] || !w.Need.Fits(m.Size) || w.Allowed != nil && !w.Allowed(h) ||
			!f.short(h, w.Need).Fits(f.on[h].sums[f.most]) {
			continue
		}
		seen[f.group[h]] = true
		out = append(out, h)
	}
	missing := func(h int) float64 {
		s, z := f.short(h, w.Need), p.Hosts[h].Size
		return max(part(s.CPU, z.CPU), part(s.GPU, z.GPU), part(s.Memory, z.Memory))
	}
	has := func(h int) int {
		if w.Image != "" && p.Hosts[h].Images[w.Image] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(has(a), has(b)), cmp.Compare(missing(a), missing(b)))
	})
	return out
}

func part(a, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return a / of
}

// short is what is missing on a host for a need.
func (f *finder) short(h int, need amount.Resources) amount.Resources {
	return amount.Resources{
		CPU: max(0, need.CPU-f.net[h].CPU), GPU: max(0, need.GPU-f.net[h].GPU),
		Memory: max(0, need.Memory-f.net[h].Memory),
	}
}

func (f *finder) add(h int, r amount.Resources, n float64) { f.net[h] = f.net[h].AddScaled(r, n) }

// fetch is how long a host takes to have the image of a sort.
func (f *finder) fetch(s *sort, h int) time.Duration {
	switch pull := f.p.Hosts[h].Pull; {
	case s.gb <= 0 || f.holds[s.image][h]:
		return 0
	case pull <= 0:
		return never
	default:
		return time.Duration(min(s.gb/pull*float64(time.Second), float64(never)))
	}
}

// few tells for each group of alike hosts the first some: one more than are tried, as
// the replica's own host may be among them.
func (f *finder) few() func(h int) bool {
	some := make([]int8, len(f.p.Hosts))
	return func(h int) bool {
		g := f.group[h]
		some[g]++
		return some[g] <= direct+1
	}
}

// roomOf are the hosts on which a size fits as it is, those that fetch fastest first, and
// of these those that it leaves fullest.
func (f *finder) roomOf(z *size) []int {
	if z.some {
		return z.room
	}
	z.some = true
	few := f.few()
	for h := range f.p.Hosts {
		if m := &f.p.Hosts[h]; m.Target && z.need.Fits(m.Free) && few(h) {
			z.room = append(z.room, h)
		}
	}
	slices.SortFunc(z.room, func(a, b int) int {
		x, y := &f.p.Hosts[a], &f.p.Hosts[b]
		return cmp.Or(cmp.Compare(y.Pull, x.Pull), cmp.Compare(x.Free.GPU, y.Free.GPU), cmp.Compare(x.Free.CPU, y.Free.CPU), cmp.Compare(a, b))
	})
	return z.room
}

// roomFor are the hosts on which a sort fits as they are, the cheapest first.
func (f *finder) roomFor(k int) []choice {
	if f.done[k] {
		return f.room[k]
	}
	f.done[k] = true
	s := &f.sorts[k]
	hosts := f.roomOf(&f.sizes[s.size])
	out := make([]choice, 0, len(hosts))
	for _, h := range hosts {
		if f.fetch(s, h) == 0 {
			out = append(out, choice{h, 0})
		}
	}
	for _, h := range hosts {
		if c := f.fetch(s, h); c > 0 && c < never {
			out = append(out, choice{h, c})
		}
	}
	f.room[k] = out
	return out
}

// afterOf are the hosts on which a size fits only after at most some moves away from
// there, those first where these are expected to cost least.
func (f *finder) afterOf(z *size, moves int) []choice {
	a := &z.after[moves]
	if a.some {
		return a.hosts
	}
	a.some = true
	few := f.few()
	for h := range f.p.Hosts {
		m := &f.p.Hosts[h]
		if !m.Target || !z.need.Fits(m.Size) || z.need.Fits(m.Free) {
			continue
		}
		lack := amount.Resources{
			CPU: max(0, z.need.CPU-m.Free.CPU), GPU: max(0, z.need.GPU-m.Free.GPU),
			Memory: max(0, z.need.Memory-m.Free.Memory),
		}
		if lack.Fits(f.on[h].sums[moves]) && few(h) {
			a.hosts = append(a.hosts, choice{h, f.clears(h, lack)})
		}
	}
	slices.SortFunc(a.hosts, func(a, b choice) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.host, b.host)) })
	return a.hosts
}

// chainFor are the hosts on which a sort fits after at most some moves away from there.
func (f *finder) chainFor(k, moves int) *chain {
	c := &f.chain[k][moves]
	if c.done {
		return c
	}
	c.done = true
	s := &f.sorts[k]
	hosts := f.afterOf(&f.sizes[s.size], moves)
	c.cold = make([]int, 0, len(hosts))
	for _, h := range hosts {
		switch d := f.fetch(s, h.host); {
		case d == 0:
			c.warm = append(c.warm, h.host)
		case d < never:
			c.cold = append(c.cold, h.host)
		}
	}
	return c
}

// clears is about what it costs to free so much of a host: by its cheapest replica that
// leaves enough, and goes where there is room; much, but not never, if none does.
func (f *finder) clears(h int, lack amount.Resources) time.Duration {
	best := never / 8
	for _, i := range f.on[h].replicas {
		r := &f.p.Replicas[i]
		if !lack.Fits(r.Need) {
			continue
		}
		for _, c := range f.roomFor(f.of[i]) {
			if c.host != h {
				best = min(best, r.Loss+c.cost)
				break
			}
		}
	}
	return best
}

// dearest says from what cost on a plan is of no use.
func (f *finder) dearest() time.Duration {
	if f.found {
		return time.Duration(math.Ceil(float64(f.cost) / enough))
	}
	if f.p.Dearest < 0 {
		return 0
	}
	return min(f.p.Dearest, never-1) + 1
}

// search adds up to left steps, until the waiting task and all that moves has room. It
// goes backwards: where something is missing, something has to leave.
func (f *finder) search(left int, cost time.Duration) {
	lacking, at := 0, -1
	for _, h := range f.touched {
		if (amount.Resources{}).Fits(f.net[h]) {
			continue
		}
		if lacking++; at < 0 {
			at = h
		}
	}
	switch {
	case lacking > left:
	case lacking > 0:
		f.leave(at, left, cost)
	case f.ordered():
		f.found, f.cost, f.at = true, cost, f.host
		f.best = append(f.best[:0], f.order...)
	}
	// Where all has room at the end but not on the way there, two replicas change places,
	// and a third has to leave first. It is on one of their hosts, and is found when that
	// lacks room.
}

// leave tries every replica that may leave a host.
func (f *finder) leave(h, left int, cost time.Duration) {
	lack := f.short(h, amount.Resources{})
	rs := f.on[h].replicas
	for x, i := range rs {
		r := &f.p.Replicas[i]
		if f.moved[i] || cost+r.Loss >= f.dearest() || f.twin(rs[:x], i) {
			continue
		}
		// With this one gone, what else may leave must do.
		if rest := (amount.Resources{CPU: lack.CPU - r.Need.CPU, GPU: lack.GPU - r.Need.GPU, Memory: lack.Memory - r.Need.Memory}); !rest.Fits(f.on[h].sums[left-1]) {
			continue
		}
		f.moved[i] = true
		f.add(h, r.Need, 1)
		f.targets(i, left-1, cost+r.Loss)
		f.add(h, r.Need, -1)
		f.moved[i] = false
	}
}

// twin says that one of some replicas of the same host, which is still there, is as good
// as this one.
func (f *finder) twin(of []int, i int) bool {
	r := &f.p.Replicas[i]
	if r.Allowed != nil {
		return false
	}
	for _, k := range of {
		if o := &f.p.Replicas[k]; !f.moved[k] && f.of[k] == f.of[i] && o.Allowed == nil && o.Loss == r.Loss {
			return true
		}
	}
	return false
}

// targets tries where a replica may go, with some moves left.
func (f *finder) targets(i, left int, cost time.Duration) {
	r := &f.p.Replicas[i]
	k := f.of[i]
	s := &f.sorts[k]
	try := func(h int, c time.Duration) bool {
		if h == r.Host || !f.p.Hosts[h].Target || r.Allowed != nil && !r.Allowed(h) {
			return false
		}
		if f.budget--; f.budget < 0 && !f.whole {
			return false
		}
		f.steps = append(f.steps, step{i, h, c + r.Loss})
		n := len(f.touched)
		if !slices.Contains(f.touched, h) {
			f.touched = append(f.touched, h)
		}
		f.add(h, s.need, -1)
		f.search(left, cost+c)
		f.add(h, s.need, 1)
		f.touched = f.touched[:n]
		f.steps = f.steps[:len(f.steps)-1]
		return true
	}
	for _, h := range f.touched {
		// Room there may have been made or taken meanwhile.
		if s.need.Fits(f.p.Hosts[h].Size) {
			if c := f.fetch(s, h); cost+c < f.dearest() {
				try(h, c)
			}
		}
	}
	some := 0
	for _, c := range f.roomFor(k) {
		if cost+c.cost >= f.dearest() || some >= direct {
			break
		}
		if !slices.Contains(f.touched, c.host) && try(c.host, c.cost) {
			some++
		}
	}
	if left == 0 {
		return
	}
	c := f.chainFor(k, left)
	for _, hosts := range [...][]int{c.warm, c.cold} {
		some = 0
		for _, h := range hosts {
			if !f.whole && (f.budget < 0 || some >= through) {
				break
			}
			if d := f.fetch(s, h); cost+d < f.dearest() && !slices.Contains(f.touched, h) && try(h, d) {
				some++
			}
		}
	}
}

// ordered looks for an order of the steps in which each has room when its turn comes.
func (f *finder) ordered() bool {
	f.order = append(f.order[:0], f.steps...)
	return f.orderFrom(0)
}

func (f *finder) orderFrom(at int) bool {
	if at == len(f.order) {
		return true
	}
	for x := at; x < len(f.order); x++ {
		f.order[at], f.order[x] = f.order[x], f.order[at]
		if f.fits(at) && f.orderFrom(at+1) {
			return true
		}
		f.order[at], f.order[x] = f.order[x], f.order[at]
	}
	return false
}

// fits says that a step of the order has room after those before it.
func (f *finder) fits(at int) bool {
	to := f.order[at].to
	free := f.p.Hosts[to].Free
	for _, s := range f.order[:at] {
		r := &f.p.Replicas[s.replica]
		if s.to == to {
			free = free.AddScaled(r.Need, -1)
		}
		if r.Host == to {
			free = free.AddScaled(r.Need, 1)
		}
	}
	return f.p.Replicas[f.order[at].replica].Need.Fits(free)
}

// plan is the best found.
func (f *finder) plan() Plan {
	if !f.found {
		return Plan{}
	}
	out := Plan{Host: f.p.Hosts[f.at].ID, Cost: f.cost}
	for _, s := range f.best {
		r := &f.p.Replicas[s.replica]
		out.Moves = append(out.Moves, Move{
			Job: r.Job, Index: r.Index, From: f.p.Hosts[r.Host].ID, To: f.p.Hosts[s.to].ID,
			Need: r.Need, Down: s.cost - r.Loss,
		})
	}
	return out
}
