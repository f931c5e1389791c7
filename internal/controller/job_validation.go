package controller

import (
	"slices"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// openRecordReserve is the space, in bytes, that stays free in a job's open record for fields that
// are added later, when the job is cancelled, lent or borrowed.
const openRecordReserve = 256

// validateSpec checks whether a job can ever run in this cluster. It returns 0 if so, and otherwise
// an HTTP status and the reason.
func (frontend *frontend) validateSpec(spec *model.JobSpec) (int, string) {
	var team *model.Team
	for i := range frontend.settings.Teams {
		if frontend.settings.Teams[i].Name == spec.Team {
			team = &frontend.settings.Teams[i]
		}
	}
	if team == nil {
		return 422, "unknown owner " + spec.Team
	}
	eligible := frontend.eligibleTypesFor(spec)
	if len(eligible.machineTypes) == 0 {
		return 422, "a task fits no allowed flavour"
	}
	if spec.Gang && spec.SpreadZones && spec.Tasks > 1 && (spec.SameZone || len(eligible.zones) == 1) {
		return 422, "tasks that start together cannot be apart in one zone"
	}
	count := 1.0
	if spec.LongRunning || spec.Gang {
		count = float64(spec.Tasks)
	}
	total := model.Resources{}.AddScaled(spec.Need, count)
	if (team.QuotaLimit.CPU > 0 && total.CPU > team.QuotaLimit.CPU+roundingTolerance) || (team.QuotaLimit.GPU > 0 && total.GPU > team.QuotaLimit.GPU+roundingTolerance) {
		return 422, "the job needs more than its owner's limit"
	}
	if reason := frontend.validateDependencies(spec); reason != "" {
		return 422, reason
	}
	if size, err := sizelimit.JSONSize(record.Encode(record.NewOpenJob(spec, frontend.now))); err != nil || size+openRecordReserve > frontend.settings.MaxValueBytes {
		return 400, "the description is too long"
	}
	return 0, ""
}

// eligibleTypes are the machine types and zones in which a task can run.
type eligibleTypes struct {
	machineTypes []string
	zones        map[string]bool
	// excludedByDisk: the job also allows machine types that would fit a task but whose disks are
	// smaller than its image.
	excludedByDisk bool
}

// eligibleTypesFor returns the machine types and zones that the job allows, that exist, and that
// fit a task of the job.
func (frontend *frontend) eligibleTypesFor(spec *model.JobSpec) eligibleTypes {
	eligible := eligibleTypes{zones: map[string]bool{}}
	for _, name := range sortedKeys(frontend.controller.knowledge.machineTypes) {
		machineType := frontend.controller.knowledge.machineTypes[name]
		zones := slices.DeleteFunc(slices.Clone(machineType.Zones), func(zone string) bool { return spec.Zone != "" && spec.Zone != zone })
		switch {
		case !spec.AllowsMachineType(name) || len(zones) == 0 || !spec.Need.Fits(machineType.Capacity):
		case machineType.DiskGB > 0 && spec.ImageGB > machineType.DiskGB:
			eligible.excludedByDisk = true
		default:
			eligible.machineTypes = append(eligible.machineTypes, name)
			for _, zone := range zones {
				eligible.zones[zone] = true
			}
		}
	}
	return eligible
}

// restrictToFittingDisks returns the spec with its machine types narrowed to those whose disks have
// space for its image. Placement and scale-out do not check disks; they only check which types the
// job allows.
func (frontend *frontend) restrictToFittingDisks(spec model.JobSpec) model.JobSpec {
	if eligible := frontend.eligibleTypesFor(&spec); eligible.excludedByDisk && len(eligible.machineTypes) > 0 {
		spec.MachineTypes = eligible.machineTypes
	}
	return spec
}
