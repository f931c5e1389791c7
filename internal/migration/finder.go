package migration

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// finder is the state of one search. The search goes backwards from the host where the waiting task
// is to be placed: on each host that lacks capacity some replica must leave. The order of the moves
// is determined when all hosts have enough capacity.
type finder struct {
	problem    *Problem
	maxMoves   int
	exhaustive bool
	// classes are the classes of replicas. classOf is the index of each replica's class, -1 for
	// a replica that can't move.
	classes []replicaClass
	classOf []int
	sizes   []sizeClass
	// replicasOn are the movable replicas, by host.
	replicasOn []hostReplicas
	// hasImage is true, by image and host, if the host has the image.
	hasImage [][]bool
	// directTargets are, by class, the hosts on which a replica of the class fits without other
	// moves, the cheapest first. They are valid where directComputed is true.
	directTargets  [][]candidate
	directComputed []bool
	// chainTargets are, by class and number of moves, the hosts on which a replica of the class
	// fits only after other replicas have left, with at most that many moves.
	chainTargets [][MaxMoves]chainHosts
	// hostGroup is the number of each host's group. The hosts of a group are interchangeable: a
	// move to or from any of them costs the same and frees the same capacity.
	hostGroup []int

	// netFree is, by host, the free capacity after all steps; it may be negative.
	netFree []resource.Resources
	// destination is the host of the waiting task. touched are the destination and the targets
	// of the steps.
	destination int
	touched     []int
	// steps are the moves of the plan being tried, and order is an order of them.
	steps []step
	order []step
	// moved is true, by replica, if a step moves the replica.
	moved []bool
	// stepsLeft is how many more moves a bounded search may try.
	stepsLeft int

	// found is true if there is a plan, which the following fields describe.
	found     bool
	bestCost  time.Duration
	bestSteps []step
	bestHost  int
}

// replicaClass holds the properties that interchangeable replicas have in common.
type replicaClass struct {
	need resource.Resources
	// size is the index of the sizeClass in finder.sizes, and image the first index of
	// finder.hasImage.
	size    int
	image   int
	imageGB float64
}

// sizeClass holds the possible targets of replicas with the same need, whatever their images. Its
// host lists are computed on first use.
type sizeClass struct {
	need resource.Resources
	// computed is true if hosts is valid.
	computed bool
	// hosts are the hosts on which the need fits without other moves, the best first.
	hosts []int
	// afterMoves are, by number of moves, the hosts on which the need fits only after other
	// replicas have left, with at most that many moves, the cheapest first.
	afterMoves [MaxMoves]struct {
		computed bool
		hosts    []candidate
	}
}

// hostReplicas holds the movable replicas of a host.
type hostReplicas struct {
	// replicas are indexes of Problem.Replicas, the replica that loses least work first.
	replicas []int
	// largestSums[n] is an upper bound, in each dimension, of what n of the replicas free.
	largestSums [MaxMoves + 1]resource.Resources
}

// candidate is a possible target host and the cost, or expected cost, of a move to it.
type candidate struct {
	host int
	cost time.Duration
}

// chainHosts are the hosts with and without the image of a class. They are computed on first use.
type chainHosts struct {
	computed                bool
	withImage, withoutImage []int
}

// step is the move of one replica, by the indexes of the replica and the target host.
type step struct {
	replica, to int
	cost        time.Duration
}

// newFinder returns a finder with the replicas classified and the hosts indexed and grouped.
func newFinder(problem *Problem, exhaustive bool) *finder {
	finder := &finder{
		problem: problem, maxMoves: max(0, min(problem.MaxMoves, MaxMoves)), exhaustive: exhaustive,
		classOf: make([]int, len(problem.Replicas)), replicasOn: make([]hostReplicas, len(problem.Hosts)),
		netFree: make([]resource.Resources, len(problem.Hosts)), moved: make([]bool, len(problem.Replicas)),
		bestCost: infeasible,
	}
	finder.indexHosts(finder.classifyReplicas())
	finder.directTargets = make([][]candidate, len(finder.classes))
	finder.directComputed = make([]bool, len(finder.classes))
	finder.chainTargets = make([][MaxMoves]chainHosts, len(finder.classes))
	finder.groupEquivalentHosts()
	return finder
}

// classifyReplicas assigns the movable replicas to classes and hosts. It returns the numbers of their
// images.
func (finder *finder) classifyReplicas() (images map[string]int) {
	images = map[string]int{}
	classes, sizes := map[replicaClass]int{}, map[resource.Resources]int{}
	for replicaIndex := range finder.problem.Replicas {
		replica := &finder.problem.Replicas[replicaIndex]
		if replica.HostIndex < 0 || replica.HostIndex >= len(finder.problem.Hosts) || !replica.Movable {
			finder.classOf[replicaIndex] = -1
			continue
		}
		image, ok := images[replica.Image]
		if !ok {
			image = len(images)
			images[replica.Image] = image
		}
		size, ok := sizes[replica.Need]
		if !ok {
			size = len(finder.sizes)
			sizes[replica.Need] = size
			finder.sizes = append(finder.sizes, sizeClass{need: replica.Need})
		}
		class := replicaClass{replica.Need, size, image, replica.ImageGB}
		classIndex, ok := classes[class]
		if !ok {
			classIndex = len(finder.classes)
			classes[class] = classIndex
			finder.classes = append(finder.classes, class)
		}
		finder.classOf[replicaIndex] = classIndex
		finder.replicasOn[replica.HostIndex].replicas = append(finder.replicasOn[replica.HostIndex].replicas, replicaIndex)
	}
	return images
}

// indexHosts initializes the free capacity of each host, which of the replicas' images it has, and
// the order of its replicas.
func (finder *finder) indexHosts(images map[string]int) {
	finder.hasImage = make([][]bool, len(images))
	for image := range finder.hasImage {
		finder.hasImage[image] = make([]bool, len(finder.problem.Hosts))
	}
	for hostIndex := range finder.problem.Hosts {
		host := &finder.problem.Hosts[hostIndex]
		finder.netFree[hostIndex] = host.Free
		for name, has := range host.Images {
			if image, ok := images[name]; ok && has {
				finder.hasImage[image][hostIndex] = true
			}
		}
		finder.replicasOn[hostIndex].sortAndSum(finder.problem)
	}
}

// sortAndSum orders the replicas and computes largestSums.
func (hostReplicas *hostReplicas) sortAndSum(problem *Problem) {
	slices.SortStableFunc(hostReplicas.replicas, func(a, b int) int { return cmp.Compare(problem.Replicas[a].LostWork, problem.Replicas[b].LostWork) })
	var top [MaxMoves]resource.Resources
	for _, replicaIndex := range hostReplicas.replicas {
		need := problem.Replicas[replicaIndex].Need
		for rank := range top {
			largest := &top[rank]
			// The larger amount stays, and the smaller one is compared with the next lower rank.
			largest.CPU, need.CPU = max(largest.CPU, need.CPU), min(largest.CPU, need.CPU)
			largest.GPU, need.GPU = max(largest.GPU, need.GPU), min(largest.GPU, need.GPU)
			largest.Memory, need.Memory = max(largest.Memory, need.Memory), min(largest.Memory, need.Memory)
		}
	}
	for rank := range top {
		hostReplicas.largestSums[rank+1] = hostReplicas.largestSums[rank].AddScaled(top[rank], 1)
	}
}

// groupEquivalentHosts numbers the groups of interchangeable hosts. If a job is restricted to some hosts, or
// the search is exhaustive, every host is its own group.
func (finder *finder) groupEquivalentHosts() {
	problem := finder.problem
	finder.hostGroup = make([]int, len(problem.Hosts))
	distinct := finder.exhaustive || problem.WaitingTask.Allowed != nil
	for i := 0; i < len(problem.Replicas) && !distinct; i++ {
		distinct = problem.Replicas[i].Allowed != nil
	}
	if distinct {
		for hostIndex := range problem.Hosts {
			finder.hostGroup[hostIndex] = hostIndex
		}
		return
	}
	heldImages := make([][]int, len(problem.Hosts))
	for image := range finder.hasImage {
		for hostIndex, has := range finder.hasImage[image] {
			if has {
				heldImages[hostIndex] = append(heldImages[hostIndex], image)
			}
		}
	}
	groups := map[string]int{}
	var key []byte
	for hostIndex := range problem.Hosts {
		key = finder.appendHostKey(key[:0], hostIndex, heldImages[hostIndex])
		group, ok := groups[string(key)]
		if !ok {
			group = len(groups)
			groups[string(key)] = group
		}
		finder.hostGroup[hostIndex] = group
	}
}

// appendHostKey appends a key to a buffer. Two hosts have the same key only if they are interchangeable.
// The images are those that the host has, by number.
func (finder *finder) appendHostKey(key []byte, hostIndex int, images []int) []byte {
	host := &finder.problem.Hosts[hostIndex]
	for _, amount := range [...]float64{host.Size.CPU, host.Size.GPU, host.Size.Memory, host.Free.CPU, host.Free.GPU, host.Free.Memory, host.FetchRate} {
		key = strconv.AppendUint(key, math.Float64bits(amount), 36)
		key = append(key, ' ')
	}
	key = append(key, host.Kind...)
	key = strconv.AppendBool(key, host.Schedulable)
	for _, image := range images {
		key = append(key, ' ')
		key = strconv.AppendInt(key, int64(image), 36)
	}
	key = append(key, ';')
	for _, replicaIndex := range finder.replicasOn[hostIndex].replicas {
		key = append(key, ' ')
		key = strconv.AppendInt(key, int64(finder.classOf[replicaIndex]), 36)
		key = append(key, '-')
		key = strconv.AppendInt(key, int64(finder.problem.Replicas[replicaIndex].LostWork), 36)
	}
	return key
}
