package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/packing"
)

// packing.go joins internal/packing where the models' capability is on: replicas are
// rated by what room they leave, and work without GPUs stays off the machines that have
// some, but for what no model there could use.

const (
	// packingProfileInterval is how often what is usual is learnt anew.
	packingProfileInterval = time.Second
	// gpuFallbackAfter is how long work without GPUs waits in vain, with nothing of its job
	// started, before it may take machines with GPUs as well: the other kinds may be
	// refused for hours. While replicas wait for GPUs it is twice as long.
	gpuFallbackAfter = 2 * time.Minute
	// maxBriefRunTime is how long work without GPUs whose wait is bounded may run and take them
	// at once, at the price that it costs the replicas, as long as none waits.
	maxBriefRunTime = 30 * time.Second
	// maxReplicaPreemptionLoss is the most work lost for which work without GPUs is stopped to make
	// room for a replica: about what a machine rented for it would take to come.
	maxReplicaPreemptionLoss = time.Minute
	// gpuCapacityInterval is how often the metrics are told how the room lies.
	gpuCapacityInterval = 5 * time.Second
)

// packingProfile is what is usual on the kinds of machines that have GPUs.
type packingProfile struct {
	at time.Time
	// kinds are by flavour those on which anything is usual.
	kinds map[string]*packing.Profile
	// gpuFallback are the workloads without GPUs that have waited in vain for too long, and waits
	// says that replicas wait.
	gpuFallback     map[string]bool
	replicasWaiting bool
}

// replicaShape is replicas that are alike for what room is worth.
type replicaShape struct {
	need         model.Resources
	machineTypes string
}

// currentPackingProfile is what is usual now, or nil when the capability is off. It is learnt from the
// jobs there are and from the newest of each workload that came lately, so that it takes
// no records, and a successor has it with the jobs.
func (ss *scheduler) currentPackingProfile() *packingProfile {
	o := ss.controller.shardLeader
	if !ss.settings.Capabilities.Models || o.scheduler.packingProfile != nil && ss.now.Sub(o.scheduler.packingProfile.at) < packingProfileInterval && !ss.now.Before(o.scheduler.packingProfile.at) {
		return o.scheduler.packingProfile
	}
	p := &packingProfile{at: ss.now, kinds: map[string]*packing.Profile{}, gpuFallback: map[string]bool{}}
	o.scheduler.packingProfile = p
	type tally struct {
		// In whole megabytes, so that the order in which jobs are looked at is no matter.
		tasks, mb int64
		waits     bool
	}
	by := map[replicaShape]tally{}
	add := func(s *model.JobSpec, tasks int, waiting bool) {
		if s.Need.GPU <= roundingTolerance || tasks <= 0 {
			return
		}
		k := replicaShape{s.Need, strings.Join(s.MachineTypes, " ")}
		c := by[k]
		c.tasks, c.mb, c.waits = c.tasks+int64(tasks), c.mb+int64(tasks)*int64(s.ImageGB*1000), c.waits || waiting
		by[k] = c
		p.replicasWaiting = p.replicasWaiting || waiting
	}
	for _, j := range o.jobs {
		add(&j.JobSpec, j.liveTasks+j.pendingTasks(), ss.placeableTasks(j) > 0 && ss.withinQuotaLimit(j) && !o.faultAttribution.FailsEverywhere(j.ID))
	}
	for _, w := range o.workloads {
		if ss.now.Sub(w.lastSeen) < workloadRetention {
			add(w.spec, 1, false)
		}
	}
	if len(by) == 0 {
		return p
	}
	keys := slices.SortedFunc(maps.Keys(by), func(a, b replicaShape) int {
		return cmp.Or(cmp.Compare(a.need.GPU, b.need.GPU), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.machineTypes, b.machineTypes))
	})
	for _, name := range sortedKeys(ss.controller.knowledge.machineTypes) {
		f := ss.controller.knowledge.machineTypes[name]
		if f.Capacity.GPU <= roundingTolerance {
			continue
		}
		var seen []packing.Demand
		for _, k := range keys {
			if c := by[k]; k.machineTypes == "" || slices.Contains(strings.Fields(k.machineTypes), name) {
				seen = append(seen, packing.Demand{Need: k.need, Tasks: int(min(c.tasks, math.MaxInt32)), GB: float64(c.mb) / 1000 / float64(c.tasks), HasWaiting: c.waits})
			}
		}
		if k := packing.NewProfile(f.Capacity, f.ImageFetchRate, seen); k != nil {
			p.kinds[name] = k
		}
	}
	fallbackAfter := gpuFallbackAfter
	if p.replicasWaiting {
		fallbackAfter = 2 * gpuFallbackAfter
	}
	for _, j := range o.jobs {
		if since := later(later(j.readySince(), j.lastPlacedAt), o.readyAt); j.Need.GPU <= roundingTolerance && ss.now.Sub(since) > fallbackAfter && ss.placeableTasks(j) > 0 {
			p.gpuFallback[j.Workload] = true
		}
	}
	return p
}

// kind is what is usual on machines of a flavour; nil is none.
func (p *packingProfile) kind(machineType string) *packing.Profile {
	if p == nil {
		return nil
	}
	return p.kinds[machineType]
}

// avoidsGPUsNow says that a job's tasks stay off machines with GPUs now, but for what no replica
// could use there.
func (s *scheduler) avoidsGPUsNow(j *job) bool {
	p := s.currentPackingProfile()
	return s.avoidsGPUs(j) && !p.gpuFallback[j.Workload] &&
		(p.replicasWaiting || j.LongRunning || s.waitObjective(j.Workload) == 0 || s.controller.knowledge.expectedRunTime(j) > maxBriefRunTime)
}

// avoidsGPUs says that no machine with GPUs is wanted for a job's tasks: they need none, and
// fit other kinds.
func (s *scheduler) avoidsGPUs(j *job) bool {
	p := s.currentPackingProfile()
	if p == nil || j.Need.GPU > roundingTolerance || len(p.kinds) == 0 {
		return false
	}
	for name, f := range s.controller.knowledge.machineTypes {
		if p.kinds[name] != nil || !j.Need.Fits(f.Capacity) {
			continue
		}
		for _, z := range f.Zones {
			if j.allowsMachine(name, z, true) || j.allowsMachine(name, z, false) {
				return true
			}
		}
	}
	return false
}

// gpuPolicyAllows says that a job's tasks may go to a machine as to any other. off is what
// avoidsGPUsNow says of the job.
func (s *scheduler) gpuPolicyAllows(avoidGPUs bool, m *machine) bool {
	return !avoidGPUs || s.currentPackingProfile().kind(m.machineType) == nil
}

// nonGPUUse is what work without GPUs takes on a machine, also that of others' jobs when
// none of it has GPUs.
func (s *scheduler) nonGPUUse(m *machine) model.Resources {
	// Counted in millionths, so that the order is no matter.
	var cpu, memory int64
	for k := range m.attempts {
		if j := s.controller.shardLeader.jobs[k.job]; j != nil && j.Need.GPU <= roundingTolerance {
			cpu += int64(math.Round(j.Need.CPU / roundingTolerance))
			memory += int64(math.Round(j.Need.Memory / roundingTolerance))
		}
	}
	r := model.Resources{CPU: float64(cpu) * roundingTolerance, Memory: float64(memory) * roundingTolerance}
	if m.othersUsed.GPU <= roundingTolerance {
		r = r.AddScaled(m.othersUsed, 1)
	}
	return r
}

// rateGPUMachine rates a machine with GPUs for a task of j, in seconds; less is better.
func (s *scheduler) rateGPUMachine(k *packing.Profile, j *job, m *machine, free model.Resources, avoidGPUs bool) (float64, bool) {
	if avoidGPUs {
		return 0, j.Need.Fits(k.NonGPUCapacity(free, s.nonGPUUse(m)))
	}
	score := k.FragmentationCost(free, j.Need)
	if j.Need.GPU > roundingTolerance {
		// Of places that leave as much the fullest, as ever, but by what counts here.
		score += (free.GPU - j.Need.GPU) / m.size.GPU
	}
	return score, true
}

// reratePacked enters the machines anew on which others were placed since a lot was last
// used: one that is no longer whole suits better than before, and would be found behind
// the whole ones.
func (ss *scheduler) reratePacked(r *placementRound, l *candidateGroup, j *job) {
	for ; l.packedSeen < len(r.packedCandidates); l.packedSeen++ {
		s := r.packedCandidates[l.packedSeen]
		if score, ok := l.rate(ss.controller, j, s); ok {
			l.push(s.fetchSeconds(j), ratedCandidate{s, score})
		}
	}
}

// freeCapacityOn is the room on a machine for a job's tasks.
func (ss *scheduler) freeCapacityOn(l *candidateGroup, s *candidateMachine) model.Resources {
	if l.avoidGPUs && s.packingKind != nil {
		return s.packingKind.NonGPUCapacity(s.machine.free(), ss.nonGPUUse(s.machine))
	}
	return s.machine.free()
}

// freeFor is the room of a virtual machine's free room for tasks that stay off GPUs or don't.
func (v *simulatedMachine) freeFor(free model.Resources, avoidGPUs bool) model.Resources {
	if v.packingKind == nil || !avoidGPUs {
		return free
	}
	r := v.packingKind.NonGPUSurplus(free)
	return model.Resources{CPU: min(r.CPU, v.nonGPUFree.CPU), Memory: min(r.Memory, v.nonGPUFree.Memory)}
}

// preemptsForReplica says that lower work without GPUs is stopped where a task of j waits: it took
// room that no model could use when it came, or was there before.
func (s *scheduler) preemptsForReplica(j *job) bool {
	return s.settings.Capabilities.Models && j.Need.GPU > roundingTolerance
}

// preemptsOnlyNonGPU says that a job may have nothing else stopped: nothing bounds its wait, and
// it has not waited too long.
func (s *scheduler) preemptsOnlyNonGPU(j *job) bool {
	return s.preemptsForReplica(j) && !j.placingOverdue && s.waitObjective(j.Workload) == 0
}

// maxPreemptionLoss is the most work that may be lost where tasks are stopped for one of j's. A
// replica has no run time of its own to measure it by.
func (s *scheduler) maxPreemptionLoss(j *job) time.Duration {
	if s.preemptsForReplica(j) && j.LongRunning {
		return max(s.controller.knowledge.expectedRunTime(j), maxReplicaPreemptionLoss)
	}
	return s.controller.knowledge.expectedRunTime(j)
}

// utilization is what part of a machine is in use: of its GPUs, where models count.
func (f *fleetPlanner) utilization(m *machine) float64 {
	if f.settings.Capabilities.Models && m.size.GPU > roundingTolerance {
		return m.used.GPU / m.size.GPU
	}
	return m.used.CPU / max(m.size.CPU, 1)
}

// gpuFreeCapacity is how the room on the usable machines with GPUs lies, by kind.
func (s *scheduler) gpuFreeCapacity() []message.GPUFreeCapacity {
	if !s.settings.Capabilities.Models {
		return nil
	}
	by := map[machineKind]*packing.FreeCapacity{}
	for _, m := range s.controller.shardLeader.machinesByID {
		if m.size.GPU <= roundingTolerance || !s.usable(m) {
			continue
		}
		k := machineKind{m.machineType, m.zone, m.spot}
		if by[k] == nil {
			by[k] = &packing.FreeCapacity{}
		}
		by[k].Add(s.currentPackingProfile().kind(m.machineType), m.size, m.free())
	}
	var out []message.GPUFreeCapacity
	for _, k := range sortedKinds(by) {
		r := by[k]
		out = append(out, message.GPUFreeCapacity{MachineType: k.machineType, Zone: k.zone, Spot: k.spot, Machines: r.Machines, EmptyMachines: r.WholeMachines, FreeGPUs: r.FreeGPUs, FragmentedGPUs: r.FragmentedGPUs, LargestReplicaGPUs: r.LargestFit})
	}
	return out
}

// reportGPUFreeCapacity tells the metrics of it every now and then.
func (s *scheduler) reportGPUFreeCapacity() {
	if p := s.currentPackingProfile(); p != nil && s.now.Sub(s.freeCapacityReportedAt) >= gpuCapacityInterval {
		s.freeCapacityReportedAt = s.now
		s.emit(message.GPUFreeCapacityReport{Kinds: s.gpuFreeCapacity(), Migrations: migrationsStatus(s.controller)})
	}
}
