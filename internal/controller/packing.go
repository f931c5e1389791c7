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

// packing.go applies internal/packing when the models capability is on. The scheduler then rates a
// placement by the GPU capacity that it leaves usable for replicas, the tasks of long-running jobs.
// Tasks without GPUs stay off machines with GPUs, except for CPUs and memory there that no replica
// could use.

const (
	// packingProfileInterval is how often the packing profile is recomputed.
	packingProfileInterval = time.Second
	// gpuFallbackAfter is how long a job without GPUs must have waited since it was ready, or since
	// one of its tasks was last placed, before its tasks may also use machines with GPUs. The
	// cloud may refuse the other kinds for hours. The time doubles while replicas wait for GPUs.
	gpuFallbackAfter = 2 * time.Minute
	// maxBriefRunTime is the longest expected run time of tasks without GPUs that may use machines
	// with GPUs at once. The tasks' workload must have a wait objective, and no replica may be
	// waiting. A machine is then rated by the capacity that replicas would lose on it.
	maxBriefRunTime = 30 * time.Second
	// maxReplicaPreemptionLoss is the most run time that may be lost when tasks without GPUs are
	// preempted for a replica. A machine rented for the replica would take about as long to
	// become ready.
	maxReplicaPreemptionLoss = time.Minute
	// gpuCapacityInterval is how often the free GPU capacity is reported to the metrics.
	gpuCapacityInterval = 5 * time.Second
)

// packingProfile describes the usual demand for GPUs, for each machine type that has GPUs.
type packingProfile struct {
	// computedAt is when the profile was computed.
	computedAt time.Time
	// profiles holds the profiles by machine type. A type on which no demand for GPUs fits has none.
	profiles map[string]*packing.Profile
	// gpuFallback holds the workloads without GPUs that have waited for longer than
	// gpuFallbackAfter allows, and may use machines with GPUs.
	gpuFallback map[string]bool
	// replicasWaiting reports whether a replica with GPUs is pending and may be placed.
	replicasWaiting bool
}

// replicaShape identifies the replicas that packing treats alike: those with the same resource need and
// the same allowed machine types, joined by spaces.
type replicaShape struct {
	need         model.Resources
	machineTypes string
}

// replicaDemand sums up the replicas of one shape: their number, the total size of their images, and
// whether any replica waits. The size is in whole megabytes, so that the sum does not depend on the
// order in which jobs are counted.
type replicaDemand struct {
	tasks, megabytes int64
	hasWaiting       bool
}

// currentPackingProfile returns the packing profile, or nil when the models capability is off. It
// recomputes the profile each packingProfileInterval, from the current jobs and the newest job of
// each recent workload. The profile therefore needs no records of its own: a successor derives it
// from the jobs that it takes over.
func (scheduler *scheduler) currentPackingProfile() *packingProfile {
	profile := scheduler.packingProfile
	if !scheduler.settings.Capabilities.Models || profile != nil && scheduler.now.Sub(profile.computedAt) < packingProfileInterval && !scheduler.now.Before(profile.computedAt) {
		return profile
	}
	profile = &packingProfile{computedAt: scheduler.now, profiles: map[string]*packing.Profile{}, gpuFallback: map[string]bool{}}
	scheduler.packingProfile = profile
	tallies := scheduler.countReplicas(profile)
	if len(tallies) == 0 {
		return profile
	}
	scheduler.buildPackingProfiles(profile, tallies)
	scheduler.findGPUFallback(profile)
	return profile
}

// countReplicas counts the replicas with GPUs that are live or pending, and one for each workload seen
// within workloadRetention. It sets profile.replicasWaiting if any replica waits and may be placed.
func (scheduler *scheduler) countReplicas(profile *packingProfile) map[replicaShape]replicaDemand {
	shardLeader := scheduler.controller.shardLeader
	tallies := map[replicaShape]replicaDemand{}
	add := func(spec *model.JobSpec, tasks int, waiting bool) {
		if spec.Need.GPU <= roundingTolerance || tasks <= 0 {
			return
		}
		shape := replicaShape{spec.Need, machineTypesKey(spec)}
		total := tallies[shape]
		total.tasks += int64(tasks)
		total.megabytes += int64(tasks) * int64(spec.ImageGB*1000)
		total.hasWaiting = total.hasWaiting || waiting
		tallies[shape] = total
		profile.replicasWaiting = profile.replicasWaiting || waiting
	}
	for _, j := range shardLeader.jobs {
		add(&j.JobSpec, j.liveTasks+j.pendingTasks(), scheduler.placeableTasks(j) > 0 && scheduler.withinQuotaLimit(j) && !shardLeader.faultAttribution.FailsEverywhere(j.ID))
	}
	for _, w := range shardLeader.workloads {
		if scheduler.now.Sub(w.lastSeen) < workloadRetention {
			add(w.spec, 1, false)
		}
	}
	return tallies
}

// buildPackingProfiles fills profile.profiles: for each machine type with GPUs, the profile of the replicas
// that may run on it.
func (scheduler *scheduler) buildPackingProfiles(profile *packingProfile, tallies map[replicaShape]replicaDemand) {
	shapes := slices.SortedFunc(maps.Keys(tallies), func(a, b replicaShape) int {
		return cmp.Or(cmp.Compare(a.need.GPU, b.need.GPU), cmp.Compare(a.need.CPU, b.need.CPU), cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.machineTypes, b.machineTypes))
	})
	for _, name := range sortedKeys(scheduler.controller.knowledge.machineTypes) {
		machineType := scheduler.controller.knowledge.machineTypes[name]
		if machineType.Capacity.GPU <= roundingTolerance {
			continue
		}
		var demands []packing.Demand
		for _, k := range shapes {
			if total := tallies[k]; k.machineTypes == "" || slices.Contains(strings.Fields(k.machineTypes), name) {
				demands = append(demands, packing.Demand{
					Need: k.need, Tasks: int(min(total.tasks, math.MaxInt32)),
					GB: float64(total.megabytes) / 1000 / float64(total.tasks), HasWaiting: total.hasWaiting,
				})
			}
		}
		if k := packing.NewProfile(machineType.Capacity, machineType.ImageFetchRate, demands); k != nil {
			profile.profiles[name] = k
		}
	}
}

// findGPUFallback fills profile.gpuFallback with the workloads without GPUs that have waited for so long
// that their tasks may use machines with GPUs.
func (scheduler *scheduler) findGPUFallback(profile *packingProfile) {
	shardLeader := scheduler.controller.shardLeader
	fallbackAfter := gpuFallbackAfter
	if profile.replicasWaiting {
		fallbackAfter = 2 * gpuFallbackAfter
	}
	for _, j := range shardLeader.jobs {
		since := later(later(j.readySince(), j.lastPlacedAt), shardLeader.readyAt)
		if j.Need.GPU <= roundingTolerance && scheduler.now.Sub(since) > fallbackAfter && scheduler.placeableTasks(j) > 0 {
			profile.gpuFallback[j.Workload] = true
		}
	}
}

// profileFor returns the profile of a machine type, or nil if the type has none. The receiver may be nil.
func (profile *packingProfile) profileFor(machineType string) *packing.Profile {
	if profile == nil {
		return nil
	}
	return profile.profiles[machineType]
}

// avoidsGPUsNow reports whether a job's tasks may now use only that capacity of machines with
// GPUs that no replica could use. Unlike avoidsGPUs it considers how long the job has waited, how
// brief its tasks are, and whether replicas wait.
func (scheduler *scheduler) avoidsGPUsNow(j *job) bool {
	profile := scheduler.currentPackingProfile()
	return scheduler.avoidsGPUs(j) && !profile.gpuFallback[j.Workload] && !scheduler.leftWaiting(j) &&
		(profile.replicasWaiting || j.LongRunning || scheduler.waitObjective(j.Workload) == 0 || scheduler.controller.knowledge.expectedRunTime(j) > maxBriefRunTime)
}

// avoidsGPUs reports whether no machine with GPUs is to be rented for a job's tasks, because the tasks
// need no GPU and fit a machine type that has no packing profile.
func (scheduler *scheduler) avoidsGPUs(j *job) bool {
	profile := scheduler.currentPackingProfile()
	if profile == nil || j.Need.GPU > roundingTolerance || len(profile.profiles) == 0 {
		return false
	}
	for name, machineType := range scheduler.controller.knowledge.machineTypes {
		if profile.profiles[name] != nil || !j.Need.Fits(machineType.Capacity) {
			continue
		}
		for _, zone := range machineType.Zones {
			if j.allowsMachine(name, zone, true) || j.allowsMachine(name, zone, false) {
				return true
			}
		}
	}
	return false
}

// gpuPolicyAllows reports whether a job's tasks may use all free capacity of a machine. avoidGPUs is
// the result of avoidsGPUsNow for the job.
func (scheduler *scheduler) gpuPolicyAllows(avoidGPUs bool, m *machine) bool {
	return !avoidGPUs || scheduler.currentPackingProfile().profileFor(m.machineType) == nil
}

// nonGPUUse returns the CPUs and memory that tasks without GPUs use on a machine. The tasks of other
// shards' jobs are included if none of them uses GPUs.
func (scheduler *scheduler) nonGPUUse(m *machine) model.Resources {
	// Integer sums of millionths do not depend on the order of the attempts in the map.
	var cpu, memory int64
	for k := range m.attempts {
		if j := scheduler.controller.shardLeader.jobs[k.job]; j != nil && j.Need.GPU <= roundingTolerance {
			cpu += int64(math.Round(j.Need.CPU / roundingTolerance))
			memory += int64(math.Round(j.Need.Memory / roundingTolerance))
		}
	}
	used := model.Resources{CPU: float64(cpu) * roundingTolerance, Memory: float64(memory) * roundingTolerance}
	if m.otherShardsUsed.GPU <= roundingTolerance {
		used = used.AddScaled(m.otherShardsUsed, 1)
	}
	return used
}

// rateGPUMachine rates a machine with GPUs for a task of j, in seconds; less is better. It returns false
// if the task avoids GPUs and does not fit in the capacity that no replica could use.
func (scheduler *scheduler) rateGPUMachine(profile *packing.Profile, j *job, m *machine, free model.Resources, avoidGPUs bool) (float64, bool) {
	if avoidGPUs {
		return 0, j.Need.Fits(profile.NonGPUCapacity(free, scheduler.nonGPUUse(m)))
	}
	score := profile.FragmentationCost(free, j.Need)
	if j.Need.GPU > roundingTolerance {
		// Among machines of the same cost the fullest is preferred. For GPU tasks it is the one
		// with the fewest GPUs left.
		score += (free.GPU - j.Need.GPU) / m.size.GPU
	}
	return score, true
}

// reratePacked rates again the machines on which tasks were placed since the group was last used. A
// machine that has become partly used is preferred to an empty one; with its former rating it would
// come after the empty machines.
func (scheduler *scheduler) reratePacked(round *placementRound, candidates *candidateGroup, j *job) {
	for ; candidates.packedSeen < len(round.packedCandidates); candidates.packedSeen++ {
		candidate := round.packedCandidates[candidates.packedSeen]
		if score, ok := candidates.rate(scheduler, j, candidate); ok {
			candidates.push(candidate.fetchSeconds(j), ratedCandidate{candidate, score})
		}
	}
}

// freeCapacityOn returns the free capacity of a machine that the tasks of a group may use.
func (scheduler *scheduler) freeCapacityOn(candidates *candidateGroup, candidate *candidateMachine) model.Resources {
	if candidates.avoidGPUs && candidate.packingKind != nil {
		return candidate.packingKind.NonGPUCapacity(candidate.machine.free(), scheduler.nonGPUUse(candidate.machine))
	}
	return candidate.machine.free()
}

// freeFor returns the part of a simulated machine's free capacity that a task may use. A task that
// avoids GPUs may use only what no replica could use.
func (simMachine *simulatedMachine) freeFor(free model.Resources, avoidGPUs bool) model.Resources {
	if simMachine.packingProfile == nil || !avoidGPUs {
		return free
	}
	rest := simMachine.packingProfile.NonGPUSurplus(free)
	return model.Resources{CPU: min(rest.CPU, simMachine.nonGPUFree.CPU), Memory: min(rest.Memory, simMachine.nonGPUFree.Memory)}
}

// preemptsForReplica reports whether less urgent tasks without GPUs may be preempted for a task of j.
// Such tasks run on machines with GPUs if no replica could use their capacity when they were placed,
// or if they were placed before there were replicas.
func (scheduler *scheduler) preemptsForReplica(j *job) bool {
	return scheduler.settings.Capabilities.Models && j.Need.GPU > roundingTolerance
}

// preemptsOnlyNonGPU reports whether only tasks without GPUs may be preempted for a job: the job needs
// GPUs, its workload has no wait objective, and it is not overdue.
func (scheduler *scheduler) preemptsOnlyNonGPU(j *job) bool {
	return scheduler.preemptsForReplica(j) && !j.placingOverdue && scheduler.waitObjective(j.Workload) == 0
}

// maxPreemptionLoss returns the most run time that may be lost when tasks are preempted for a task of
// j: the expected run time of that task. The expected run time of a replica says little, so for a
// replica it is at least maxReplicaPreemptionLoss.
func (scheduler *scheduler) maxPreemptionLoss(j *job) time.Duration {
	if scheduler.preemptsForReplica(j) && j.LongRunning {
		return max(scheduler.controller.knowledge.expectedRunTime(j), maxReplicaPreemptionLoss)
	}
	return scheduler.controller.knowledge.expectedRunTime(j)
}

// utilization returns the fraction of a machine's CPUs that is in use. For a machine with GPUs, when the
// models capability is on, it is the fraction of the GPUs.
func (planner *fleetPlanner) utilization(m *machine) float64 {
	if planner.settings.Capabilities.Models && m.size.GPU > roundingTolerance {
		return m.used.GPU / m.size.GPU
	}
	return m.used.CPU / max(m.size.CPU, 1)
}

// gpuFreeCapacity returns the free capacity of the usable machines with GPUs, for each machine kind.
func (scheduler *scheduler) gpuFreeCapacity() []message.GPUFreeCapacity {
	if !scheduler.settings.Capabilities.Models {
		return nil
	}
	byKind := map[machineKind]*packing.FreeCapacity{}
	for _, m := range scheduler.controller.shardLeader.machinesByID {
		if m.size.GPU <= roundingTolerance || !scheduler.usable(m) {
			continue
		}
		kind := machineKind{m.machineType, m.zone, m.spot}
		if byKind[kind] == nil {
			byKind[kind] = &packing.FreeCapacity{}
		}
		byKind[kind].Add(scheduler.currentPackingProfile().profileFor(m.machineType), m.size, m.free())
	}
	var out []message.GPUFreeCapacity
	for _, kind := range sortedKinds(byKind) {
		capacity := byKind[kind]
		out = append(out, message.GPUFreeCapacity{
			MachineType: kind.machineType, Zone: kind.zone, Spot: kind.spot,
			Machines: capacity.Machines, EmptyMachines: capacity.WholeMachines,
			FreeGPUs: capacity.FreeGPUs, FragmentedGPUs: capacity.FragmentedGPUs, LargestReplicaGPUs: capacity.LargestFit,
		})
	}
	return out
}

// reportGPUFreeCapacity reports gpuFreeCapacity to the metrics once each gpuCapacityInterval.
func (scheduler *scheduler) reportGPUFreeCapacity() {
	if p := scheduler.currentPackingProfile(); p != nil && scheduler.now.Sub(scheduler.freeCapacityReportedAt) >= gpuCapacityInterval {
		scheduler.freeCapacityReportedAt = scheduler.now
		scheduler.emit(message.GPUFreeCapacityReport{Kinds: scheduler.gpuFreeCapacity(), Migrations: scheduler.controller.migrationsStatus()})
	}
}
