package controller

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
	"github.com/micahill/micahill/internal/record"
)

const (
	// simulatedVisitLimit bounds the tasks that are played forward at once.
	simulatedVisitLimit = 4000
	// minSafetyMargin, and minSafetyFraction of the run time at least, are kept in hand,
	// since run times are only expected.
	minSafetyMargin   = 5 * time.Second
	minSafetyFraction = 0.25
	// forever is how long a replica runs, for all that is planned here.
	forever = 24 * time.Hour
	// maxLateness bounds the lateness of a task; one that finds no place at all has twice.
	maxLateness = 10 * time.Minute
)

// simulation is the fleet played forward: which task would start where and when. It
// rests on the moment at which it was begun, also when it is carried on later.
type simulation struct {
	controller *Controller
	now        time.Time
	machines   []*simulatedMachine
	// imageIDs numbers the images, and holders are the machines that have each.
	imageIDs     map[string]int32
	imageHolders [][]int32
	// queues hold, for each kind of task that was asked for, the machines by
	// when one could run there.
	queues      map[taskShape]*shapeCandidates
	neededCache map[[2]string]bool
	// refusedKinds are the kinds that the cloud has just refused.
	refusedKinds map[machineKind]bool
	// surplus counts the machines that other owners have to spare.
	surplus map[machineKind]int
	visits  int
	charge  chargeFunc
}

// chargeFunc is told of work done, in units of about a tenth of a microsecond. It may
// put the plan aside for a while, and says whether to go on.
type chargeFunc func(units int) bool

// visitUnits is what the placing of some alike tasks on one machine costs.
const visitUnits = 8

func (f *fleetPlanner) newSimulation(vs []*simulatedMachine, images map[string]int32, charge chargeFunc) *simulation {
	p := &simulation{controller: f.controller, now: f.now, machines: vs, imageIDs: images, charge: charge, refusedKinds: map[machineKind]bool{}}
	if v := f.view; v != nil {
		for k, until := range v.blockedUntil {
			p.refusedKinds[k] = until.After(f.now)
		}
		for k := range f.neverReadyKinds {
			p.refusedKinds[k] = true
		}
		p.surplus = maps.Clone(v.surplus)
	}
	for i, v := range vs {
		v.index = int32(i)
	}
	p.indexImages()
	return p
}

func (p *simulation) spend(units int) bool { return p.charge == nil || p.charge(units) }

// nextVisit counts one more visit and says whether to go on. What is played is bounded
// by the pool, not by what waits.
func (p *simulation) nextVisit() bool {
	p.visits++
	return p.spend(visitUnits) && p.visits <= max(simulatedVisitLimit, 2*len(p.machines))
}

// addProvisioning adds a machine that is not up yet.
func (p *simulation) addProvisioning(k machineKind, ready time.Time) *simulatedMachine {
	f := p.controller.knowledge.machineTypes[k.machineType]
	v := &simulatedMachine{machineKind: k, index: int32(len(p.machines)), at: max(0, ready.Sub(p.now)), free: f.Capacity, packingKind: p.controller.shardLeader.scheduler.currentPackingProfile().kind(k.machineType)}
	if f.ImageFetchRate > 0 {
		v.secondsPerGB = 1 / f.ImageFetchRate
	}
	p.machines = append(p.machines, v)
	return v
}

// isNeededElsewhere says, once for a plan, that others wait for the flavour that fit fewer.
func (p *simulation) isNeededElsewhere(j *job, machineType string) bool {
	key := [2]string{j.Workload, machineType}
	is, ok := p.neededCache[key]
	if !ok {
		if p.neededCache == nil {
			p.neededCache = map[[2]string]bool{}
		}
		is = p.controller.shardLeader.fleet.neededElsewhere(&j.JobSpec, machineType)
		p.neededCache[key] = is
	}
	return is
}

// simulate places a demand's tasks and tells of each lot where and when; v is nil for
// tasks without a place.
func (p *simulation) simulate(d demand, tell func(count int, v *simulatedMachine, from, at time.Time)) {
	a := p.newRequest(d.job)
	for from, left := range d.arrivalBatches(p.now) {
		for left > 0 {
			if !p.nextVisit() {
				return
			}
			v, at := p.bestMachine(a, from, false)
			k := left
			if v != nil {
				var fetch time.Duration
				k, at, fetch = p.placeTasks(a, v, from, left)
				if fetch > 0 && k > 1 {
					tell(k-1, v, from, at.Add(-fetch))
					left, k = left-(k-1), 1
				}
			}
			tell(k, v, from, at)
			left -= k
		}
	}
}

// simulatedLateness sums up how much later than they must tasks would start in the room,
// were some machines not there.
func (f *fleetPlanner) simulatedLateness(r *freeCapacity, demands []demand, without map[*machine]bool, charge chargeFunc) time.Duration {
	p := f.newSimulation(copyFreeCapacity(r, without), r.imageIDs, charge)
	var late time.Duration
	for _, d := range demands {
		bound := f.waitObjective(d.job.Workload)
		margin := f.controller.knowledge.safetyMargin(d.job)
		p.simulate(d, func(count int, v *simulatedMachine, from, at time.Time) {
			// Worse than any place, however late: else a machine that is the only place
			// for what runs for hours would be let go.
			one := 2 * maxLateness
			if v != nil {
				one = min(max(0, at.Add(margin).Sub(d.startDeadline(p.now, from))), maxLateness)
				if bound > 0 {
					one += max(0, at.Sub(from)-bound)
				}
			}
			late += time.Duration(count) * one
		})
	}
	return late
}

// safetyMargin is the time in hand that the uncertainty of a job's run time asks for.
func (k *fleetKnowledge) safetyMargin(j *job) time.Duration {
	if j.LongRunning {
		// It has no end to be in time.
		return minSafetyMargin
	}
	share := minSafetyFraction
	if e := k.estimators[j.Workload]; e != nil && len(j.sortedRunTimes) == 0 {
		share = max(share, min(e.deviation, 1))
	}
	return minSafetyMargin + time.Duration(share*float64(k.expectedRunTime(j)))
}

// newMachineFetchTime is how long a new machine takes to fetch the image.
func newMachineFetchTime(f *model.MachineType, j *job) time.Duration {
	if f.ImageFetchRate <= 0 {
		return 0
	}
	return record.DurationOfSeconds(j.ImageGB / f.ImageFetchRate)
}

// expectedOccupancy is how long a task of the job is expected to hold its room.
func (f *fleetPlanner) expectedOccupancy(j *job) time.Duration {
	if j.LongRunning {
		return forever
	}
	return max(f.controller.knowledge.expectedRunTime(j), time.Second)
}

// startDeadline is when a task of the demand that comes at the time from should start at
// the latest: of those that are expected, the later come, the later are due.
func (d demand) startDeadline(now, from time.Time) time.Time {
	return d.latestStart.Add(from.Sub(now) - d.arrivalSpread/2)
}

// arrivalAt is when the demand's task i is there.
func (d demand) arrivalAt(now time.Time, i int) time.Time {
	return now.Add(d.arrivalSpread * time.Duration(i+1) / time.Duration(d.count+1))
}

// maxArrivalBatches is in how many lots expected tasks are played at most. Of fewer and
// larger lots more machines look needed at a time, and too many dear ones are kept.
const maxArrivalBatches = 512

// arrivalBatches are the tasks of the demand that are taken to come together, when and how
// many: all that wait, and of those that are expected so many that there are not too
// many lots.
func (d demand) arrivalBatches(now time.Time) iter.Seq2[time.Time, int] {
	size := max(1, d.count)
	if d.arrivalSpread > 0 {
		size = (d.count + maxArrivalBatches - 1) / maxArrivalBatches
	}
	return func(yield func(time.Time, int) bool) {
		for i := 0; i < d.count; i += size {
			k := min(size, d.count-i)
			if !yield(d.arrivalAt(now, i+k/2), k) {
				return
			}
		}
	}
}

// freeCapacity is the machines there are, with what their running tasks will leave, and
// the numbers of their images.
type freeCapacity struct {
	machines []*simulatedMachine
	imageIDs map[string]int32
}

// endsSpare is the room for more ends that a copy has at once.
const endsSpare = 2

// copyFreeCapacity makes room to play in that leaves the original as it is.
func copyFreeCapacity(r *freeCapacity, without map[*machine]bool) []*simulatedMachine {
	out := make([]*simulatedMachine, 0, len(r.machines))
	all := make([]simulatedMachine, len(r.machines))
	total := 0
	for _, v := range r.machines {
		total += len(v.releases) + endsSpare
	}
	ends := make([]release, total)
	for i, v := range r.machines {
		if without[v.machine] {
			continue
		}
		all[i] = *v
		k := copy(ends, v.releases)
		all[i].releases = ends[: k : k+endsSpare]
		ends = ends[k+endsSpare:]
		out = append(out, &all[i])
	}
	return out
}

// simulatedMachine is a machine played forward: its free room at a time from now, and
// what running tasks will leave later.
type simulatedMachine struct {
	machineKind machineKind
	index       int32
	machine     *machine
	idle        bool
	// cached and coming are the images it has and fetches, and has those that
	// tasks played onto it will have fetched; taken counts these.
	cached, fetchingImages, placedImages []int32
	placements                           int
	// secondsPerGB is how long it takes for a GB of an image, in seconds, and half for
	// one that is already on its way.
	secondsPerGB, fetchingSecondsPerGB float64
	at                                 time.Duration
	free                               model.Resources
	releases                           []release
	// packingKind is what is usual on machines of its kind, if they have GPUs, and rest the room
	// for work without.
	packingKind *packing.Profile
	nonGPUFree  model.Resources
}

type release struct {
	at   time.Duration
	need model.Resources
}

// earliestStart is when a task fits. A gang's tasks need their room all at once, so
// room that is left one after another is none to them.
func (v *simulatedMachine) earliestStart(need model.Resources, gang, avoidGPUs bool) (time.Duration, bool) {
	free := v.free
	if need.Fits(v.freeFor(free, avoidGPUs)) {
		return v.at, true
	}
	if gang {
		return 0, false
	}
	for i := range v.releases {
		e := &v.releases[i]
		free = free.AddScaled(e.need, 1)
		if need.Fits(v.freeFor(free, avoidGPUs)) {
			return max(v.at, e.at), true
		}
	}
	return 0, false
}

// placeTasks lets up to count tasks start at the time that earliest gave, or later, and
// says how many found room.
func (v *simulatedMachine) placeTasks(need model.Resources, at, run time.Duration, count int, avoidGPUs bool) int {
	for len(v.releases) > 0 && !need.Fits(v.freeFor(v.free, avoidGPUs)) {
		v.free = v.free.AddScaled(v.releases[0].need, 1)
		v.at = max(v.at, v.releases[0].at)
		v.releases = v.releases[1:]
	}
	k := max(1, min(count, v.freeFor(v.free, avoidGPUs).FitCount(need)))
	v.placements++
	if avoidGPUs {
		v.nonGPUFree = v.nonGPUFree.AddScaled(need, -float64(k))
	}
	v.free = v.free.AddScaled(need, -float64(k))
	end := release{at + run, model.Resources{}.AddScaled(need, float64(k))}
	i, _ := slices.BinarySearchFunc(v.releases, end, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	v.releases = slices.Insert(v.releases, i, end)
	return k
}

// planningHorizon is the time until a machine rented now is of use.
func (k *fleetKnowledge) planningHorizon() time.Duration {
	var sum time.Duration
	for _, f := range k.machineTypes {
		sum += f.ProvisioningTime
	}
	return sum / time.Duration(max(1, len(k.machineTypes)))
}

// expectedToReport says that a machine has not been heard of since a takeover, but most
// likely will be: the cloud lists it as running, and it reports in its turn. For
// planning it counts as there. A successor that counted only those it had heard
// would rent hundreds beside it, which then stand idle.
func (f *fleetPlanner) expectedToReport(m *machine) bool {
	o := f.controller.shardLeader
	if m.heard || m.releasing || m.faulty || m.size.CPU <= 0 || f.now.Sub(o.readyAt) > 2*f.maxHeartbeatInterval() || o.fleet.view == nil {
		return false
	}
	r := o.fleet.view.rentals[m.id]
	return r != nil && r.status == "running" && !r.releasing
}

// futureFreeCapacity is each usable machine with what its running tasks will leave, as
// far as their expected ends tell. What runs longer than expected is taken to
// go on for a while.
func (f *fleetPlanner) futureFreeCapacity() *freeCapacity {
	r := &freeCapacity{machines: make([]*simulatedMachine, 0, len(f.controller.shardLeader.machinesByID)), imageIDs: map[string]int32{}}
	all := make([]simulatedMachine, len(f.controller.shardLeader.machinesByID))
	attempts, images := 0, 0
	for _, m := range f.controller.shardLeader.machinesByID {
		attempts += len(m.attempts) + 1
		images += len(m.images)
	}
	ends, ids := make([]release, 0, attempts), make([]int32, 0, images)
	usual := f.controller.shardLeader.scheduler.currentPackingProfile()
	for i, m := range f.controller.shardLeader.machinesByID {
		if !f.controller.shardLeader.scheduler.usable(m) && !f.expectedToReport(m) || m.reservedFor != "" {
			continue
		}
		v := &all[i]
		*v = simulatedMachine{machineKind: machineKind{m.machineType, m.zone, m.spot}, machine: m, idle: m.isEmpty(), free: m.free(), packingKind: usual.kind(m.machineType)}
		if v.packingKind != nil && !v.idle {
			v.nonGPUFree = v.packingKind.NonGPUCapacity(v.free, f.controller.shardLeader.scheduler.nonGPUUse(m))
		}
		lo := len(ends)
		for k, t := range m.attempts {
			j := f.controller.shardLeader.jobs[k.job]
			if j.LongRunning {
				continue
			}
			e := f.controller.knowledge.expectedRunTime(j)
			left := e
			switch {
			case t.inherited:
				// When it began is not known here, but when it was placed.
				left = max(e-f.now.Sub(time.UnixMilli(t.groupStart)), e/5)
			case !t.startedAt.IsZero():
				left = max(e-f.now.Sub(t.startedAt), e/5)
			}
			ends = append(ends, release{left, j.Need})
		}
		v.releases = ends[lo:len(ends):len(ends)]
		slices.SortFunc(v.releases, func(a, b release) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory))
		})
		rate := f.controller.knowledge.imageFetchRate(m)
		// Those it has come first, then those that are on their way.
		lo = len(ids)
		some := 0
		for name, im := range m.images {
			id, ok := r.imageIDs[name]
			if !ok {
				id = int32(len(r.imageIDs))
				r.imageIDs[name] = id
			}
			ids = append(ids, id)
			if im.cached {
				ids[len(ids)-1], ids[lo+some] = ids[lo+some], id
				some++
			}
		}
		v.cached, v.fetchingImages = ids[lo:lo+some:lo+some], ids[lo+some:len(ids):len(ids)]
		v.secondsPerGB, v.fetchingSecondsPerGB = float64(1+len(v.fetchingImages))/rate, 1/rate/2
		r.machines = append(r.machines, v)
	}
	return r
}

// demand is some tasks of a job: waiting now, or expected, spread over a time.
type demand struct {
	job           *job
	count         int
	latestStart   time.Time
	arrivalSpread time.Duration
}

// demands is what wants room within the horizon, most urgent first: the waiting
// tasks, as far as the teams' limits let them run, then the arrivals that the
// last minutes make likely, with more of those that must start at once.
//
// The forecast is the average, for bursts with more as chance may bring;
// cautious, it follows at once when arrivals end.
func (f *fleetPlanner) demands(horizon time.Duration, bursts, cautious bool) []demand {
	o := f.controller.shardLeader
	over := map[string]model.Resources{}
	var out []demand
	for _, j := range f.controller.shardLeader.scheduler.jobsInQueueOrder() {
		count := max(0, f.controller.shardLeader.scheduler.placeableTasks(j)-f.controller.shardLeader.migration.reservedTasks(j))
		if t := f.team(j.Team); t != nil {
			u := o.usedByTeam[j.Team].AddScaled(over[j.Team], 1)
			left := model.Resources{CPU: t.QuotaLimit.CPU - u.CPU, GPU: t.QuotaLimit.GPU - u.GPU}
			if t.QuotaLimit.CPU > 0 {
				count = min(count, model.Resources{CPU: left.CPU}.FitCount(model.Resources{CPU: j.Need.CPU}))
			}
			if t.QuotaLimit.GPU > 0 {
				count = min(count, model.Resources{GPU: left.GPU}.FitCount(model.Resources{GPU: j.Need.GPU}))
			}
			over[j.Team] = over[j.Team].AddScaled(j.Need, float64(count))
		}
		out = append(out, demand{job: j, count: count, latestStart: f.controller.shardLeader.scheduler.dueStart(j)})
	}
	for _, name := range sortedKeys(o.workloads) {
		w := o.workloads[name]
		if w.spec.LongRunning || w.spec.Gang {
			continue
		}
		spread := horizon
		count := f.arrivalRate(name, arrivalWindow) * spread.Seconds()
		if cautious {
			count = min(count, 2*f.arrivalRate(name, recentWindow)*spread.Seconds())
		}
		if bursts {
			count *= f.burstFactor(name, spread)
		}
		if f.waitObjective(name) > 0 {
			count *= f.settings.Policy.HeadroomFactor
		}
		if k := int(count + 0.5); k > 0 {
			j := &job{JobSpec: *w.spec, tasks: make([]task, k), submittedAt: f.now.Add(spread / 2)}
			out = append(out, demand{job: j, count: k, latestStart: f.controller.shardLeader.scheduler.latestStart(j), arrivalSpread: spread})
		}
	}
	slices.SortStableFunc(out, func(a, b demand) int {
		return cmp.Compare(f.controller.ranking.rankOf(a.job), f.controller.ranking.rankOf(b.job))
	})
	return out
}

// workloadKey names a team's jobs of a workload.
type workloadKey struct{ team, workload string }

// workloadKeysOf are the teams whose jobs of a workload have lately come here, or came to
// whoever had them before.
func (f *fleetPlanner) workloadKeysOf(workload string) []workloadKey {
	var out []workloadKey
	for _, t := range sortedKeys(f.controller.shardLeader.teams) {
		k := workloadKey{t, workload}
		if _, told := f.controller.knowledge.inheritedLoads[k]; told || len(f.arrivals[k]) > 0 {
			out = append(out, k)
		}
	}
	return out
}

// burstFactor is how much more than the average a workload may well bring within a
// time. Jobs come by chance and differ in size about as much as their mean, so
// what comes varies by one part in the root of their number: by half where few
// come, by little where hundreds do.
func (f *fleetPlanner) burstFactor(name string, within time.Duration) float64 {
	jobs := 0.0
	for _, k := range f.workloadKeysOf(name) {
		jobs += float64(len(f.arrivals[k])) * within.Seconds() / arrivalWindow.Seconds()
	}
	return 1 + min(maxBurst, 1/math.Sqrt(max(jobs, 1)))
}

// maxBurst bounds what is kept in hand for chance.
const maxBurst = 0.5

// arrivalRate is the workload's tasks a second over the last while.
func (f *fleetPlanner) arrivalRate(name string, window time.Duration) float64 {
	sum := 0.0
	for _, k := range f.workloadKeysOf(name) {
		sum += f.teamArrivalRate(k, window)
	}
	return sum
}

// teamArrivalRate is that of one team. After a takeover, what a former owner told of it fills
// in for what was not seen.
func (f *fleetPlanner) teamArrivalRate(k workloadKey, window time.Duration) float64 {
	o := f.controller.shardLeader
	as := o.fleet.arrivals[k]
	for len(as) > 0 && f.now.Sub(as[0].arrivedAt) > arrivalWindow {
		as = as[1:]
	}
	o.fleet.arrivals[k] = as
	held := o.teams[k.team]
	if held == nil || !held.ready {
		return 0
	}
	old, told := f.controller.knowledge.inheritedLoads[k]
	span := f.now.Sub(held.readyAt)
	sum := 0
	for _, a := range as {
		if f.now.Sub(a.arrivedAt) <= window {
			sum += a.tasks
		}
	}
	if span >= window {
		return float64(sum) / window.Seconds()
	}
	if !told {
		if span < settleTime {
			return 0
		}
		// At the start, and after an outage or the end of all, what has gathered
		// meanwhile comes at once. Over the few seconds since, it looks like many
		// times what will come, and hundreds of machines would be rented for it.
		return float64(sum) / min(window, span+recentWindow).Seconds()
	}
	return (float64(sum) + old.TasksPerSecond*(window-span).Seconds()) / window.Seconds()
}

// workloadLoads is what a successor has to know of the teams' workloads.
func (f *fleetPlanner) workloadLoads() []message.WorkloadLoad {
	var out []message.WorkloadLoad
	for _, name := range sortedKeys(f.controller.shardLeader.workloads) {
		for _, k := range f.workloadKeysOf(name) {
			l := message.WorkloadLoad{Team: k.team, Workload: name, TasksPerSecond: f.teamArrivalRate(k, arrivalWindow), RunTimeRatio: 1}
			if e := f.controller.knowledge.estimators[name]; e != nil {
				l.RunTimeRatio, l.Deviation, l.Samples = e.ratio, e.deviation, e.samples
			}
			out = append(out, l)
		}
	}
	return out
}

// inheritLoads keeps what another controller, the owner of teams now, tells of their
// workloads.
func (c *Controller) inheritLoads(ls []message.WorkloadLoad) {
	for _, l := range ls {
		k := workloadKey{l.Team, l.Workload}
		if c.shardLeader != nil && c.shardLeader.teams[l.Team] != nil {
			continue
		}
		c.knowledge.inheritedLoads[k] = l
		if e := c.knowledge.estimators[l.Workload]; l.Samples > 0 && (c.shardLeader == nil || e == nil || e.samples < l.Samples) {
			c.knowledge.estimators[l.Workload] = &estimator{ratio: l.RunTimeRatio, deviation: l.Deviation, samples: l.Samples}
		}
	}
}

// zoneLimits keeps machines from being rented in a zone where same_place or apart
// keep the job's tasks from starting.
type zoneLimits struct {
	job       *job
	liveTasks map[string]int
}

func newZoneLimits(j *job) *zoneLimits {
	z := &zoneLimits{j, map[string]int{}}
	for zone, k := range j.liveByZone {
		if k > 0 {
			z.liveTasks[zone] = k
		}
	}
	return z
}

func (z *zoneLimits) capacity(zone string) int {
	switch {
	case z.job.SameZone && len(z.liveTasks) > 0 && z.liveTasks[zone] == 0:
		return 0
	case z.job.SpreadZones:
		return max(0, (len(z.job.tasks)+1)/2-z.liveTasks[zone])
	}
	return len(z.job.tasks)
}

func (z *zoneLimits) add(zone string, k int) { z.liveTasks[zone] += k }
