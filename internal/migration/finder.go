package migration

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// finder is one search. It goes backwards from the host where the waiting task is to be placed:
// where capacity is missing, some replica has to leave. The order of the moves is found at
// the end.
type finder struct {
	problem    *Problem
	maxMoves   int
	exhaustive bool
	// classes are the classes of replicas, and classOf that of each replica, -1 for one that
	// can't move.
	classes    []replicaClass
	classOf    []int
	sizes      []sizeClass
	replicasOn []hostReplicas
	// hasImage says, by image and host, which hosts have it.
	hasImage [][]bool
	// directTargets is, by class, the hosts on which it fits as they are, the cheapest first,
	// where directComputed.
	directTargets  [][]candidate
	directComputed []bool
	// chainTargets is, by class and by a number of moves, the hosts on which it fits only
	// after at most so many moves away from there.
	chainTargets [][MaxMoves]chainHosts
	// hostGroup is the same number for hosts that no cost tells apart.
	hostGroup []int

	// netFree is, by host, what is free after all steps. touched are the hosts that a step
	// goes to, and destination, that of the waiting task.
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

// replicaClass is what replicas that no cost tells apart have in common. size is the index of
// their sizeClass, image of their image.
type replicaClass struct {
	need    resource.Resources
	size    int
	image   int
	imageGB float64
}

// sizeClass is the replicas of one need, whatever their image. Its host lists are computed when
// first used.
type sizeClass struct {
	need     resource.Resources
	computed bool
	// hosts are those on which the need fits as they are, the best first.
	hosts []int
	// afterMoves is, by a number of moves, the hosts on which the need fits only after at
	// most so many moves away from there, the cheapest first.
	afterMoves [MaxMoves]struct {
		computed bool
		hosts    []candidate
	}
}

// hostReplicas is the movable replicas of a host, the one that loses least work first. Of any n of
// them none frees more than largestSums[n].
type hostReplicas struct {
	replicas    []int
	largestSums [MaxMoves + 1]resource.Resources
}

// candidate is a host and what a move to it costs, or is expected to.
type candidate struct {
	host int
	cost time.Duration
}

// chainHosts are hosts with and without an image, computed when first used.
type chainHosts struct {
	computed                bool
	withImage, withoutImage []int
}

// step is a move of one replica, by the indexes of replica and host.
type step struct {
	replica, to int
	cost        time.Duration
}

func newFinder(problem *Problem, exhaustive bool) *finder {
	f := &finder{
		problem: problem, maxMoves: max(0, min(problem.MaxMoves, MaxMoves)), exhaustive: exhaustive,
		classOf: make([]int, len(problem.Replicas)), replicasOn: make([]hostReplicas, len(problem.Hosts)),
		netFree: make([]resource.Resources, len(problem.Hosts)), moved: make([]bool, len(problem.Replicas)),
		bestCost: infeasible,
	}
	f.indexHosts(f.classifyReplicas())
	f.directTargets = make([][]candidate, len(f.classes))
	f.directComputed = make([]bool, len(f.classes))
	f.chainTargets = make([][MaxMoves]chainHosts, len(f.classes))
	f.groupAlikeHosts()
	return f
}

// classifyReplicas sorts the movable replicas by class and host, and numbers their images.
func (f *finder) classifyReplicas() (images map[string]int) {
	images = map[string]int{}
	classes, sizes := map[replicaClass]int{}, map[resource.Resources]int{}
	for i := range f.problem.Replicas {
		r := &f.problem.Replicas[i]
		if r.HostIndex < 0 || r.HostIndex >= len(f.problem.Hosts) || !r.Movable {
			f.classOf[i] = -1
			continue
		}
		image, ok := images[r.Image]
		if !ok {
			image = len(images)
			images[r.Image] = image
		}
		size, ok := sizes[r.Need]
		if !ok {
			size = len(f.sizes)
			sizes[r.Need] = size
			f.sizes = append(f.sizes, sizeClass{need: r.Need})
		}
		class := replicaClass{r.Need, size, image, r.ImageGB}
		k, ok := classes[class]
		if !ok {
			k = len(f.classes)
			classes[class] = k
			f.classes = append(f.classes, class)
		}
		f.classOf[i] = k
		f.replicasOn[r.HostIndex].replicas = append(f.replicasOn[r.HostIndex].replicas, i)
	}
	return images
}

// indexHosts notes what is free on each host, which of the replicas' images it has, and the
// order of its replicas.
func (f *finder) indexHosts(images map[string]int) {
	f.hasImage = make([][]bool, len(images))
	for k := range f.hasImage {
		f.hasImage[k] = make([]bool, len(f.problem.Hosts))
	}
	for h := range f.problem.Hosts {
		host := &f.problem.Hosts[h]
		f.netFree[h] = host.Free
		for name, has := range host.Images {
			if image, ok := images[name]; ok && has {
				f.hasImage[image][h] = true
			}
		}
		f.replicasOn[h].sortAndSum(f.problem)
	}
}

// sortAndSum orders the replicas and computes largestSums.
func (s *hostReplicas) sortAndSum(p *Problem) {
	slices.SortStableFunc(s.replicas, func(a, b int) int { return cmp.Compare(p.Replicas[a].LostWork, p.Replicas[b].LostWork) })
	var top [MaxMoves]resource.Resources
	for _, i := range s.replicas {
		n := p.Replicas[i].Need
		for k := range top {
			t := &top[k]
			// The larger amount stays, the smaller one goes on to the next.
			t.CPU, n.CPU = max(t.CPU, n.CPU), min(t.CPU, n.CPU)
			t.GPU, n.GPU = max(t.GPU, n.GPU), min(t.GPU, n.GPU)
			t.Memory, n.Memory = max(t.Memory, n.Memory), min(t.Memory, n.Memory)
		}
	}
	for k := range top {
		s.largestSums[k+1] = s.largestSums[k].AddScaled(top[k], 1)
	}
}

// groupAlikeHosts numbers the groups of hosts that no cost tells apart. Where a job allows some
// hosts only, or the search is exhaustive, every host is its own group.
func (f *finder) groupAlikeHosts() {
	p := f.problem
	f.hostGroup = make([]int, len(p.Hosts))
	distinct := f.exhaustive || p.WaitingTask.Allowed != nil
	for i := 0; i < len(p.Replicas) && !distinct; i++ {
		distinct = p.Replicas[i].Allowed != nil
	}
	if distinct {
		for h := range p.Hosts {
			f.hostGroup[h] = h
		}
		return
	}
	heldImages := make([][]int, len(p.Hosts))
	for image := range f.hasImage {
		for h, has := range f.hasImage[image] {
			if has {
				heldImages[h] = append(heldImages[h], image)
			}
		}
	}
	groups := map[string]int{}
	var key []byte
	for h := range p.Hosts {
		key = f.appendHostKey(key[:0], h, heldImages[h])
		g, ok := groups[string(key)]
		if !ok {
			g = len(groups)
			groups[string(key)] = g
		}
		f.hostGroup[h] = g
	}
}

// appendHostKey appends a key that hosts have in common only if no cost tells them apart.
func (f *finder) appendHostKey(key []byte, h int, images []int) []byte {
	m := &f.problem.Hosts[h]
	for _, x := range [...]float64{m.Size.CPU, m.Size.GPU, m.Size.Memory, m.Free.CPU, m.Free.GPU, m.Free.Memory, m.FetchRate} {
		key = strconv.AppendUint(key, math.Float64bits(x), 36)
		key = append(key, ' ')
	}
	key = append(key, m.Kind...)
	key = strconv.AppendBool(key, m.Schedulable)
	for _, image := range images {
		key = append(key, ' ')
		key = strconv.AppendInt(key, int64(image), 36)
	}
	key = append(key, ';')
	for _, i := range f.replicasOn[h].replicas {
		key = append(key, ' ')
		key = strconv.AppendInt(key, int64(f.classOf[i]), 36)
		key = append(key, '-')
		key = strconv.AppendInt(key, int64(f.problem.Replicas[i].LostWork), 36)
	}
	return key
}
