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

// packing.go applies internal/packing where the models capability is on: replicas are rated by the
// capacity they leave, and work without GPUs stays off machines with GPUs, except for what no
// replica could use there.

const (
	// packingProfileInterval is how often the usual demand is learnt anew.
	packingProfileInterval = time.Second
	// gpuFallbackAfter is how long work without GPUs waits in vain, with nothing of its job
	// started, before it may take machines with GPUs as well: the other kinds may be
	// refused for hours. While replicas wait for GPUs it is twice as long.
	gpuFallbackAfter = 2 * time.Minute
	// maxBriefRunTime is how long work without GPUs whose wait is bounded may run to take machines
	// with GPUs at once, at the price that it costs the replicas, as long as none waits.
	maxBriefRunTime = 30 * time.Second
	// maxReplicaPreemptionLoss is the most work that may be lost by stopping work without GPUs
	// for a replica: about as long as a machine rented for it would take to be ready.
	maxReplicaPreemptionLoss = time.Minute
	// gpuCapacityInterval is how often free GPU capacity is reported to the metrics.
	gpuCapacityInterval = 5 * time.Second
)

// packingProfile is the usual demand on the machine types that have GPUs.
type packingProfile struct {
	at time.Time
	// kinds holds, by machine type, those on which any demand is usual.
	kinds map[string]*packing.Profile
	// gpuFallback are the workloads without GPUs that have waited in vain for too long.
	gpuFallback map[string]bool
	// replicasWaiting says that a replica with GPUs is pending and may be placed.
	replicasWaiting bool
}

// replicaShape is replicas that are alike for what capacity is worth.
type replicaShape struct {
	need         model.Resources
	machineTypes string
}

// replicaTally sums up replicas of one shape: their number, the size of their images in whole
// megabytes, so that the order in which jobs are counted does not matter, and whether any waits.
type replicaTally struct {
	tasks, megabytes int64
	waits            bool
}

// currentPackingProfile returns the usual demand, or nil when the capability is off. It is learnt
// from the present jobs and the newest job of each recent workload, so that it needs no records
// and a successor has it with the jobs.
func (s *scheduler) currentPackingProfile() *packingProfile {
	p := s.packingProfile
	if !s.settings.Capabilities.Models || p != nil && s.now.Sub(p.at) < packingProfileInterval && !s.now.Before(p.at) {
		return p
	}
	p = &packingProfile{at: s.now, kinds: map[string]*packing.Profile{}, gpuFallback: map[string]bool{}}
	s.packingProfile = p
	tallies := s.tallyReplicas(p)
	if len(tallies) == 0 {
		return p
	}
	s.learnPackingKinds(p, tallies)
	s.findGPUFallback(p)
	return p
}

// tallyReplicas counts the replicas with GPUs that are live, pending or lately seen, and notes in p
// whether any waits.
func (s *scheduler) tallyReplicas(p *packingProfile) map[replicaShape]replicaTally {
	sl := s.controller.shardLeader
	tallies := map[replicaShape]replicaTally{}
	add := func(spec *model.JobSpec, tasks int, waiting bool) {
		if spec.Need.GPU <= roundingTolerance || tasks <= 0 {
			return
		}
		k := replicaShape{spec.Need, strings.Join(spec.MachineTypes, " ")}
		c := tallies[k]
		c.tasks += int64(tasks)
		c.megabytes += int64(tasks) * int64(spec.ImageGB*1000)
		c.waits = c.waits || waiting
		tallies[k] = c
		p.replicasWaiting = p.replicasWaiting || waiting
	}
	for _, j := range sl.jobs {
		add(&j.JobSpec, j.liveTasks+j.pendingTasks(), s.placeableTasks(j) > 0 && s.withinQuotaLimit(j) && !sl.faultAttribution.FailsEverywhere(j.ID))
	}
	for _, w := range sl.workloads {
		if s.now.Sub(w.lastSeen) < workloadRetention {
			add(w.spec, 1, false)
		}
	}
	return tallies
}

// learnPackingKinds fills p.kinds from the replicas that each machine type with GPUs may run.
func (s *scheduler) learnPackingKinds(p *packingProfile, tallies map[replicaShape]replicaTally) {
	shapes := slices.SortedFunc(maps.Keys(tallies), func(a, b replicaShape) int {
		return cmp.Or(cmp.Compare(a.need.GPU, b.need.GPU), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.machineTypes, b.machineTypes))
	})
	for _, name := range sortedKeys(s.controller.knowledge.machineTypes) {
		machineType := s.controller.knowledge.machineTypes[name]
		if machineType.Capacity.GPU <= roundingTolerance {
			continue
		}
		var seen []packing.Demand
		for _, k := range shapes {
			if c := tallies[k]; k.machineTypes == "" || slices.Contains(strings.Fields(k.machineTypes), name) {
				seen = append(seen, packing.Demand{
					Need: k.need, Tasks: int(min(c.tasks, math.MaxInt32)),
					GB: float64(c.megabytes) / 1000 / float64(c.tasks), HasWaiting: c.waits,
				})
			}
		}
		if k := packing.NewProfile(machineType.Capacity, machineType.ImageFetchRate, seen); k != nil {
			p.kinds[name] = k
		}
	}
}

// findGPUFallback notes in p the workloads without GPUs that may take machines with GPUs.
func (s *scheduler) findGPUFallback(p *packingProfile) {
	sl := s.controller.shardLeader
	fallbackAfter := gpuFallbackAfter
	if p.replicasWaiting {
		fallbackAfter = 2 * gpuFallbackAfter
	}
	for _, j := range sl.jobs {
		since := later(later(j.readySince(), j.lastPlacedAt), sl.readyAt)
		if j.Need.GPU <= roundingTolerance && s.now.Sub(since) > fallbackAfter && s.placeableTasks(j) > 0 {
			p.gpuFallback[j.Workload] = true
		}
	}
}

// kind returns the usual demand on machines of a type; nil is none.
func (p *packingProfile) kind(machineType string) *packing.Profile {
	if p == nil {
		return nil
	}
	return p.kinds[machineType]
}

// avoidsGPUsNow reports whether a job's tasks stay off machines with GPUs now, except for what no
// replica could use there.
func (s *scheduler) avoidsGPUsNow(j *job) bool {
	p := s.currentPackingProfile()
	return s.avoidsGPUs(j) && !p.gpuFallback[j.Workload] &&
		(p.replicasWaiting || j.LongRunning || s.waitObjective(j.Workload) == 0 || s.controller.knowledge.expectedRunTime(j) > maxBriefRunTime)
}

// avoidsGPUs reports whether no machine with GPUs is wanted for a job's tasks: they need none, and
// fit other kinds.
func (s *scheduler) avoidsGPUs(j *job) bool {
	p := s.currentPackingProfile()
	if p == nil || j.Need.GPU > roundingTolerance || len(p.kinds) == 0 {
		return false
	}
	for name, machineType := range s.controller.knowledge.machineTypes {
		if p.kinds[name] != nil || !j.Need.Fits(machineType.Capacity) {
			continue
		}
		for _, z := range machineType.Zones {
			if j.allowsMachine(name, z, true) || j.allowsMachine(name, z, false) {
				return true
			}
		}
	}
	return false
}

// gpuPolicyAllows reports whether a job's tasks may use a machine like any other. avoidGPUs is what
// avoidsGPUsNow says of the job.
func (s *scheduler) gpuPolicyAllows(avoidGPUs bool, m *machine) bool {
	return !avoidGPUs || s.currentPackingProfile().kind(m.machineType) == nil
}

// nonGPUUse is what work without GPUs uses on a machine, including that of other shards' jobs when
// none of it uses GPUs.
func (s *scheduler) nonGPUUse(m *machine) model.Resources {
	// Counted in millionths, so that the order of the attempts does not matter.
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
		// Of machines with the same cost the fullest, as elsewhere, but by GPUs.
		score += (free.GPU - j.Need.GPU) / m.size.GPU
	}
	return score, true
}

// reratePacked rates the machines again on which tasks were placed since a group was last used: one
// that is no longer whole suits better than before, and would be found behind the whole ones.
func (s *scheduler) reratePacked(r *placementRound, g *candidateGroup, j *job) {
	for ; g.packedSeen < len(r.packedCandidates); g.packedSeen++ {
		c := r.packedCandidates[g.packedSeen]
		if score, ok := g.rate(s, j, c); ok {
			g.push(c.fetchSeconds(j), ratedCandidate{c, score})
		}
	}
}

// freeCapacityOn is the free capacity of a machine for the tasks of a group.
func (s *scheduler) freeCapacityOn(g *candidateGroup, c *candidateMachine) model.Resources {
	if g.avoidGPUs && c.packingKind != nil {
		return c.packingKind.NonGPUCapacity(c.machine.free(), s.nonGPUUse(c.machine))
	}
	return c.machine.free()
}

// freeFor is the part of a simulated machine's free capacity that a task may use, which depends on
// whether it avoids GPUs.
func (v *simulatedMachine) freeFor(free model.Resources, avoidGPUs bool) model.Resources {
	if v.packingKind == nil || !avoidGPUs {
		return free
	}
	rest := v.packingKind.NonGPUSurplus(free)
	return model.Resources{CPU: min(rest.CPU, v.nonGPUFree.CPU), Memory: min(rest.Memory, v.nonGPUFree.Memory)}
}

// preemptsForReplica reports whether lower work without GPUs is stopped for a task of j: it took
// capacity that no replica could use when it was placed, or was there before.
func (s *scheduler) preemptsForReplica(j *job) bool {
	return s.settings.Capabilities.Models && j.Need.GPU > roundingTolerance
}

// preemptsOnlyNonGPU reports whether nothing but work without GPUs may be stopped for a job: its
// wait is not bounded, and it is not overdue.
func (s *scheduler) preemptsOnlyNonGPU(j *job) bool {
	return s.preemptsForReplica(j) && !j.placingOverdue && s.waitObjective(j.Workload) == 0
}

// maxPreemptionLoss is the most work that may be lost when tasks are stopped for one of j: its own
// expected run time, which for a replica says little.
func (s *scheduler) maxPreemptionLoss(j *job) time.Duration {
	if s.preemptsForReplica(j) && j.LongRunning {
		return max(s.controller.knowledge.expectedRunTime(j), maxReplicaPreemptionLoss)
	}
	return s.controller.knowledge.expectedRunTime(j)
}

// utilization is the fraction of a machine in use: of its GPUs, where the models capability is on.
func (f *fleetPlanner) utilization(m *machine) float64 {
	if f.settings.Capabilities.Models && m.size.GPU > roundingTolerance {
		return m.used.GPU / m.size.GPU
	}
	return m.used.CPU / max(m.size.CPU, 1)
}

// gpuFreeCapacity returns the free capacity of the usable machines with GPUs, by kind.
func (s *scheduler) gpuFreeCapacity() []message.GPUFreeCapacity {
	if !s.settings.Capabilities.Models {
		return nil
	}
	byKind := map[machineKind]*packing.FreeCapacity{}
	for _, m := range s.controller.shardLeader.machinesByID {
		if m.size.GPU <= roundingTolerance || !s.usable(m) {
			continue
		}
		k := machineKind{m.machineType, m.zone, m.spot}
		if byKind[k] == nil {
			byKind[k] = &packing.FreeCapacity{}
		}
		byKind[k].Add(s.currentPackingProfile().kind(m.machineType), m.size, m.free())
	}
	var out []message.GPUFreeCapacity
	for _, k := range sortedKinds(byKind) {
		r := byKind[k]
		out = append(out, message.GPUFreeCapacity{
			MachineType: k.machineType, Zone: k.zone, Spot: k.spot,
			Machines: r.Machines, EmptyMachines: r.WholeMachines,
			FreeGPUs: r.FreeGPUs, FragmentedGPUs: r.FragmentedGPUs, LargestReplicaGPUs: r.LargestFit,
		})
	}
	return out
}

// reportGPUFreeCapacity reports gpuFreeCapacity to the metrics, each gpuCapacityInterval.
func (s *scheduler) reportGPUFreeCapacity() {
	if p := s.currentPackingProfile(); p != nil && s.now.Sub(s.freeCapacityReportedAt) >= gpuCapacityInterval {
		s.freeCapacityReportedAt = s.now
		s.emit(message.GPUFreeCapacityReport{Kinds: s.gpuFreeCapacity(), Migrations: s.controller.migrationsStatus()})
	}
}
