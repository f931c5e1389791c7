package migration

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

const (
	// exhaustivePairs is up to how many pairs of a host and a replica a problem is looked through
	// whole. Of more, hosts that don't look best are left out where a chain passes through
	// them, and the steps are bounded.
	exhaustivePairs = 100
	// maxDirectTargets is how many hosts with room are tried for a replica. Three are enough: the
	// other moves of a plan go to at most two of them, and one that nobody else goes to
	// and that costs no more is as good as any behind it.
	maxDirectTargets = MaxMoves
	// maxChainTargets is how many hosts are tried as places of a chain, where another replica
	// has to leave first.
	maxChainTargets = 12
	// maxSteps bounds the moves that are tried for each length of a plan among many
	// hosts: some milliseconds.
	maxSteps = 20_000
	// costTolerance is how many times dearer than the cheapest a plan may be: what could save
	// less is not looked for.
	costTolerance = 1.2
)

// infeasible is the cost of what can't be done.
const infeasible = time.Duration(math.MaxInt64 / 8)

// Find looks for the cheapest moves, at most Most and MaxMoves, after which the task
// that waits fits on one host. What a move costs is the time that its replica is down and
// the work that the stop loses. A plan costs no more than Dearest. Each move has room
// when its turn comes: nothing arrives before what stood there has left. Replicas that
// change places therefore need a third place, and none moves twice.
func Find(p *Problem) (Plan, bool) { return find(p, len(p.Hosts)*len(p.Replicas) <= exhaustivePairs) }

// find looks through all there is, or only through what looks best.
func find(p *Problem, exhaustive bool) (Plan, bool) {
	f := newFinder(p, exhaustive)
	hosts := f.candidateHosts()
	for moveLimit := 0; moveLimit <= f.maxMoves; moveLimit++ {
		f.stepsLeft = maxSteps
		for _, h := range hosts {
			if f.shortfall(h, p.WaitingTask.Need).Fits(f.replicasOn[h].largestSums[moveLimit]) {
				f.destination = h
				f.touched = append(f.touched[:0], h)
				f.addFree(h, p.WaitingTask.Need, -1)
				f.search(moveLimit, 0)
				f.addFree(h, p.WaitingTask.Need, 1)
			}
		}
		if f.found && f.bestCost == 0 {
			break
		}
	}
	return f.plan(), f.found
}

// replicaClass is what is the same for alike replicas: need and image. Size is the number of the
// need among those there are.
type replicaClass struct {
	need    resource.Resources
	size    int
	image   int
	imageGB float64
}

// sizeClass is what is known of all replicas of one need, of whatever image: on which hosts
// they fit as they are, and on which after at most so many moves away from there, the
// best first. Some is filled when first asked for.
type sizeClass struct {
	need       resource.Resources
	computed   bool
	room       []int
	afterMoves [MaxMoves]struct {
		computed bool
		hosts    []candidate
	}
}

// hostReplicas is the replicas of a host that may move, the cheapest to lose first, and how
// much room the largest of them leave at most, by their number.
type hostReplicas struct {
	replicas    []int
	largestSums [MaxMoves + 1]resource.Resources
}

// step is a replica's move.
type step struct {
	replica, to int
	cost        time.Duration
}

type finder struct {
	problem    *Problem
	maxMoves   int
	exhaustive bool
	// classes are the kinds of replicas, and of the sort of each replica.
	classes    []replicaClass
	classOf    []int
	sizes      []sizeClass
	replicasOn []hostReplicas
	// hasImage says by image and host which it has.
	hasImage [][]bool
	// room is by sort the hosts on which it fits as they are, the cheapest first.
	room [][]candidate
	// chainTargets is by sort and by how many more moves there may be the hosts on which it
	// fits after these.
	chainTargets [][MaxMoves]chainHosts
	roomComputed []bool
	// hostGroup is the same for hosts that are alike in all that counts here.
	hostGroup []int

	// netFree is what is free after all steps; those hosts are touched that a step concerns
	// and the host on which the waiting task is to go.
	netFree     []resource.Resources
	destination int
	touched     []int
	steps       []step
	order       []step
	moved       []bool
	stepsLeft   int

	found     bool
	bestCost  time.Duration
	bestSteps []step
	bestHost  int
}

// candidate is a host and what a move there costs, or is expected to.
type candidate struct {
	host int
	cost time.Duration
}

// chainHosts is hosts that hold an image and those that don't.
type chainHosts struct {
	done                    bool
	withImage, withoutImage []int
}

func newFinder(problem *Problem, exhaustive bool) *finder {
	f := &finder{
		problem: problem, maxMoves: max(0, min(problem.MaxMoves, MaxMoves)), exhaustive: exhaustive,
		classOf: make([]int, len(problem.Replicas)), replicasOn: make([]hostReplicas, len(problem.Hosts)),
		netFree: make([]resource.Resources, len(problem.Hosts)), moved: make([]bool, len(problem.Replicas)),
		bestCost: infeasible,
	}
	images, classes, sizes := map[string]int{}, map[replicaClass]int{}, map[resource.Resources]int{}
	var imageNames []string
	for i := range problem.Replicas {
		r := &problem.Replicas[i]
		if r.HostIndex < 0 || r.HostIndex >= len(problem.Hosts) || !r.Movable {
			f.classOf[i] = -1
			continue
		}
		imageIndex, ok := images[r.Image]
		if !ok {
			imageIndex = len(imageNames)
			images[r.Image] = imageIndex
			imageNames = append(imageNames, r.Image)
		}
		z, ok := sizes[r.Need]
		if !ok {
			z = len(f.sizes)
			sizes[r.Need] = z
			f.sizes = append(f.sizes, sizeClass{need: r.Need})
		}
		s := replicaClass{r.Need, z, imageIndex, r.ImageGB}
		k, ok := classes[s]
		if !ok {
			k = len(f.classes)
			classes[s] = k
			f.classes = append(f.classes, s)
		}
		f.classOf[i] = k
		f.replicasOn[r.HostIndex].replicas = append(f.replicasOn[r.HostIndex].replicas, i)
	}
	f.hasImage = make([][]bool, len(imageNames))
	for k := range imageNames {
		f.hasImage[k] = make([]bool, len(problem.Hosts))
	}
	for h := range problem.Hosts {
		f.netFree[h] = problem.Hosts[h].Free
		for name, has := range problem.Hosts[h].Images {
			if imageIndex, ok := images[name]; ok && has {
				f.hasImage[imageIndex][h] = true
			}
		}
		f.replicasOn[h].sortAndSum(problem)
	}
	f.room = make([][]candidate, len(f.classes))
	f.roomComputed = make([]bool, len(f.classes))
	f.chainTargets = make([][MaxMoves]chainHosts, len(f.classes))
	f.groupAlikeHosts()
	return f
}

// sortAndSum puts the replicas in order and sums up the largest.
func (s *hostReplicas) sortAndSum(p *Problem) {
	slices.SortStableFunc(s.replicas, func(a, b int) int { return cmp.Compare(p.Replicas[a].LostWork, p.Replicas[b].LostWork) })
	var top [MaxMoves]resource.Resources
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
		s.largestSums[k+1] = s.largestSums[k].AddScaled(top[k], 1)
	}
}

// groupAlikeHosts numbers the groups of hosts that no decision tells apart. Where a job says host
// by host where it may be, hosts are not alike.
func (f *finder) groupAlikeHosts() {
	p := f.problem
	f.hostGroup = make([]int, len(p.Hosts))
	groups := map[string]int{}
	distinct := f.exhaustive || p.WaitingTask.Allowed != nil
	for i := 0; i < len(p.Replicas) && !distinct; i++ {
		distinct = p.Replicas[i].Allowed != nil
	}
	var key []byte
	heldImages := make([][]int, len(p.Hosts))
	for im := range f.hasImage {
		for h, has := range f.hasImage[im] {
			if has && !distinct {
				heldImages[h] = append(heldImages[h], im)
			}
		}
	}
	for h := range p.Hosts {
		if distinct {
			f.hostGroup[h] = h
			continue
		}
		key = key[:0]
		m := &p.Hosts[h]
		for _, x := range [...]float64{m.Size.CPU, m.Size.GPU, m.Size.Memory, m.Free.CPU, m.Free.GPU, m.Free.Memory, m.FetchRate} {
			key = strconv.AppendUint(key, math.Float64bits(x), 36)
			key = append(key, ' ')
		}
		key = append(key, m.Kind...)
		key = strconv.AppendBool(key, m.Schedulable)
		for _, im := range heldImages[h] {
			key = append(key, ' ')
			key = strconv.AppendInt(key, int64(im), 36)
		}
		key = append(key, ';')
		for _, i := range f.replicasOn[h].replicas {
			key = append(key, ' ')
			key = strconv.AppendInt(key, int64(f.classOf[i]), 36)
			key = append(key, '-')
			key = strconv.AppendInt(key, int64(p.Replicas[i].LostWork), 36)
		}
		g, ok := groups[string(key)]
		if !ok {
			g = len(groups)
			groups[string(key)] = g
		}
		f.hostGroup[h] = g
	}
}

// candidateHosts are the hosts on which the waiting task may go, those that have its image first,
// then those where least is missing; of alike ones only one.
func (f *finder) candidateHosts() []int {
	p := f.problem
	w := &p.WaitingTask
	var out []int
	seen := map[int]bool{}
	for h := range p.Hosts {
		m := &p.Hosts[h]
		if !m.Schedulable || seen[f.hostGroup[h]] || !w.Need.Fits(m.Size) || w.Allowed != nil && !w.Allowed(h) ||
			!f.shortfall(h, w.Need).Fits(f.replicasOn[h].largestSums[f.maxMoves]) {
			continue
		}
		seen[f.hostGroup[h]] = true
		out = append(out, h)
	}
	missing := func(h int) float64 {
		s, z := f.shortfall(h, w.Need), p.Hosts[h].Size
		return max(fraction(s.CPU, z.CPU), fraction(s.GPU, z.GPU), fraction(s.Memory, z.Memory))
	}
	imageRank := func(h int) int {
		if w.Image != "" && p.Hosts[h].Images[w.Image] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(imageRank(a), imageRank(b)), cmp.Compare(missing(a), missing(b)))
	})
	return out
}

func fraction(a, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return a / of
}

// shortfall is what is missing on a host for a need.
func (f *finder) shortfall(h int, need resource.Resources) resource.Resources {
	return resource.Resources{
		CPU: max(0, need.CPU-f.netFree[h].CPU), GPU: max(0, need.GPU-f.netFree[h].GPU),
		Memory: max(0, need.Memory-f.netFree[h].Memory),
	}
}

func (f *finder) addFree(h int, r resource.Resources, n float64) {
	f.netFree[h] = f.netFree[h].AddScaled(r, n)
}

// fetchTime is how long a host takes to have the image of a sort.
func (f *finder) fetchTime(s *replicaClass, h int) time.Duration {
	switch rate := f.problem.Hosts[h].FetchRate; {
	case s.imageGB <= 0 || f.hasImage[s.image][h]:
		return 0
	case rate <= 0:
		return infeasible
	default:
		return time.Duration(min(s.imageGB/rate*float64(time.Second), float64(infeasible)))
	}
}

// groupLimiter tells for each group of alike hosts the first some: one more than are tried, as
// the replica's own host may be among them.
func (f *finder) groupLimiter() func(h int) bool {
	counts := make([]int8, len(f.problem.Hosts))
	return func(h int) bool {
		g := f.hostGroup[h]
		counts[g]++
		return counts[g] <= maxDirectTargets+1
	}
}

// roomOf are the hosts on which a size fits as it is, those that fetch fastest first, and
// of these those that it leaves fullest.
func (f *finder) roomOf(z *sizeClass) []int {
	if z.computed {
		return z.room
	}
	z.computed = true
	few := f.groupLimiter()
	for h := range f.problem.Hosts {
		if m := &f.problem.Hosts[h]; m.Schedulable && z.need.Fits(m.Free) && few(h) {
			z.room = append(z.room, h)
		}
	}
	slices.SortFunc(z.room, func(a, b int) int {
		x, y := &f.problem.Hosts[a], &f.problem.Hosts[b]
		return cmp.Or(cmp.Compare(y.FetchRate, x.FetchRate), cmp.Compare(x.Free.GPU, y.Free.GPU), cmp.Compare(x.Free.CPU, y.Free.CPU), cmp.Compare(a, b))
	})
	return z.room
}

// roomFor are the hosts on which a sort fits as they are, the cheapest first.
func (f *finder) roomFor(k int) []candidate {
	if f.roomComputed[k] {
		return f.room[k]
	}
	f.roomComputed[k] = true
	s := &f.classes[k]
	hosts := f.roomOf(&f.sizes[s.size])
	out := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		if f.fetchTime(s, h) == 0 {
			out = append(out, candidate{h, 0})
		}
	}
	for _, h := range hosts {
		if c := f.fetchTime(s, h); c > 0 && c < infeasible {
			out = append(out, candidate{h, c})
		}
	}
	f.room[k] = out
	return out
}

// hostsAfterMoves are the hosts on which a size fits only after at most some moves away from
// there, those first where these are expected to cost least.
func (f *finder) hostsAfterMoves(z *sizeClass, moves int) []candidate {
	a := &z.afterMoves[moves]
	if a.computed {
		return a.hosts
	}
	a.computed = true
	few := f.groupLimiter()
	for h := range f.problem.Hosts {
		m := &f.problem.Hosts[h]
		if !m.Schedulable || !z.need.Fits(m.Size) || z.need.Fits(m.Free) {
			continue
		}
		lack := resource.Resources{
			CPU: max(0, z.need.CPU-m.Free.CPU), GPU: max(0, z.need.GPU-m.Free.GPU),
			Memory: max(0, z.need.Memory-m.Free.Memory),
		}
		if lack.Fits(f.replicasOn[h].largestSums[moves]) && few(h) {
			a.hosts = append(a.hosts, candidate{h, f.clearCost(h, lack)})
		}
	}
	slices.SortFunc(a.hosts, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.host, b.host)) })
	return a.hosts
}

// chainTargetsFor are the hosts on which a sort fits after at most some moves away from there.
func (f *finder) chainTargetsFor(k, moves int) *chainHosts {
	c := &f.chainTargets[k][moves]
	if c.done {
		return c
	}
	c.done = true
	s := &f.classes[k]
	hosts := f.hostsAfterMoves(&f.sizes[s.size], moves)
	c.withoutImage = make([]int, 0, len(hosts))
	for _, h := range hosts {
		switch d := f.fetchTime(s, h.host); {
		case d == 0:
			c.withImage = append(c.withImage, h.host)
		case d < infeasible:
			c.withoutImage = append(c.withoutImage, h.host)
		}
	}
	return c
}

// clearCost is about what it costs to free so much of a host: by its cheapest replica that
// leaves enough, and goes where there is room; much, but not never, if none does.
func (f *finder) clearCost(h int, lack resource.Resources) time.Duration {
	best := infeasible / 8
	for _, i := range f.replicasOn[h].replicas {
		r := &f.problem.Replicas[i]
		if !lack.Fits(r.Need) {
			continue
		}
		for _, c := range f.roomFor(f.classOf[i]) {
			if c.host != h {
				best = min(best, r.LostWork+c.cost)
				break
			}
		}
	}
	return best
}

// costLimit says from what cost on a plan is of no use.
func (f *finder) costLimit() time.Duration {
	if f.found {
		return time.Duration(math.Ceil(float64(f.bestCost) / costTolerance))
	}
	if f.problem.MaxCost < 0 {
		return 0
	}
	return min(f.problem.MaxCost, infeasible-1) + 1
}

// search adds up to left steps, until the waiting task and all that moves has room. It
// goes backwards: where something is missing, something has to leave.
func (f *finder) search(left int, cost time.Duration) {
	lacking, at := 0, -1
	for _, h := range f.touched {
		if (resource.Resources{}).Fits(f.netFree[h]) {
			continue
		}
		if lacking++; at < 0 {
			at = h
		}
	}
	switch {
	case lacking > left:
	case lacking > 0:
		f.tryMovesFrom(at, left, cost)
	case f.findOrder():
		f.found, f.bestCost, f.bestHost = true, cost, f.destination
		f.bestSteps = append(f.bestSteps[:0], f.order...)
	}
	// Where all has room at the end but not on the way there, two replicas change places,
	// and a third has to leave first. It is on one of their hosts, and is found when that
	// lacks room.
}

// tryMovesFrom tries every replica that may leave a host.
func (f *finder) tryMovesFrom(h, left int, cost time.Duration) {
	lack := f.shortfall(h, resource.Resources{})
	replicas := f.replicasOn[h].replicas
	for x, i := range replicas {
		r := &f.problem.Replicas[i]
		if f.moved[i] || cost+r.LostWork >= f.costLimit() || f.hasTwin(replicas[:x], i) {
			continue
		}
		// With this one gone, what else may leave must do.
		if rest := (resource.Resources{CPU: lack.CPU - r.Need.CPU, GPU: lack.GPU - r.Need.GPU, Memory: lack.Memory - r.Need.Memory}); !rest.Fits(f.replicasOn[h].largestSums[left-1]) {
			continue
		}
		f.moved[i] = true
		f.addFree(h, r.Need, 1)
		f.tryTargets(i, left-1, cost+r.LostWork)
		f.addFree(h, r.Need, -1)
		f.moved[i] = false
	}
}

// hasTwin says that one of some replicas of the same host, which is still there, is as good
// as this one.
func (f *finder) hasTwin(of []int, i int) bool {
	r := &f.problem.Replicas[i]
	if r.Allowed != nil {
		return false
	}
	for _, k := range of {
		if o := &f.problem.Replicas[k]; !f.moved[k] && f.classOf[k] == f.classOf[i] && o.Allowed == nil && o.LostWork == r.LostWork {
			return true
		}
	}
	return false
}

// tryTargets tries where a replica may go, with some moves left.
func (f *finder) tryTargets(i, left int, cost time.Duration) {
	r := &f.problem.Replicas[i]
	k := f.classOf[i]
	s := &f.classes[k]
	try := func(h int, c time.Duration) bool {
		if h == r.HostIndex || !f.problem.Hosts[h].Schedulable || r.Allowed != nil && !r.Allowed(h) {
			return false
		}
		if f.stepsLeft--; f.stepsLeft < 0 && !f.exhaustive {
			return false
		}
		f.steps = append(f.steps, step{i, h, c + r.LostWork})
		n := len(f.touched)
		if !slices.Contains(f.touched, h) {
			f.touched = append(f.touched, h)
		}
		f.addFree(h, s.need, -1)
		f.search(left, cost+c)
		f.addFree(h, s.need, 1)
		f.touched = f.touched[:n]
		f.steps = f.steps[:len(f.steps)-1]
		return true
	}
	for _, h := range f.touched {
		// Room there may have been made or taken meanwhile.
		if s.need.Fits(f.problem.Hosts[h].Size) {
			if c := f.fetchTime(s, h); cost+c < f.costLimit() {
				try(h, c)
			}
		}
	}
	tried := 0
	for _, c := range f.roomFor(k) {
		if cost+c.cost >= f.costLimit() || tried >= maxDirectTargets {
			break
		}
		if !slices.Contains(f.touched, c.host) && try(c.host, c.cost) {
			tried++
		}
	}
	if left == 0 {
		return
	}
	c := f.chainTargetsFor(k, left)
	for _, hosts := range [...][]int{c.withImage, c.withoutImage} {
		tried = 0
		for _, h := range hosts {
			if !f.exhaustive && (f.stepsLeft < 0 || tried >= maxChainTargets) {
				break
			}
			if d := f.fetchTime(s, h); cost+d < f.costLimit() && !slices.Contains(f.touched, h) && try(h, d) {
				tried++
			}
		}
	}
}

// findOrder looks for an order of the steps in which each has room when its turn comes.
func (f *finder) findOrder() bool {
	f.order = append(f.order[:0], f.steps...)
	return f.orderFrom(0)
}

func (f *finder) orderFrom(at int) bool {
	if at == len(f.order) {
		return true
	}
	for x := at; x < len(f.order); x++ {
		f.order[at], f.order[x] = f.order[x], f.order[at]
		if f.stepFits(at) && f.orderFrom(at+1) {
			return true
		}
		f.order[at], f.order[x] = f.order[x], f.order[at]
	}
	return false
}

// stepFits says that a step of the order has room after those before it.
func (f *finder) stepFits(at int) bool {
	to := f.order[at].to
	free := f.problem.Hosts[to].Free
	for _, s := range f.order[:at] {
		r := &f.problem.Replicas[s.replica]
		if s.to == to {
			free = free.AddScaled(r.Need, -1)
		}
		if r.HostIndex == to {
			free = free.AddScaled(r.Need, 1)
		}
	}
	return f.problem.Replicas[f.order[at].replica].Need.Fits(free)
}

// plan is the best found.
func (f *finder) plan() Plan {
	if !f.found {
		return Plan{}
	}
	out := Plan{Host: f.problem.Hosts[f.bestHost].ID, Cost: f.bestCost}
	for _, s := range f.bestSteps {
		r := &f.problem.Replicas[s.replica]
		out.Moves = append(out.Moves, Move{
			Job: r.Job, Index: r.Index, From: f.problem.Hosts[r.HostIndex].ID, To: f.problem.Hosts[s.to].ID,
			Need: r.Need, Downtime: s.cost - r.LostWork,
		})
	}
	return out
}
