package controller

import (
	"slices"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// openRecordReserve is the space left in a job's open record for what is added later: that it is
// cancelled, lent or borrowed. In bytes.
const openRecordReserve = 256

// validateSpec says why a job can never run here, as an HTTP status and a reason; 0 if it can.
func (f *frontend) validateSpec(s *model.JobSpec) (int, string) {
	var team *model.Team
	for i := range f.settings.Teams {
		if f.settings.Teams[i].Name == s.Team {
			team = &f.settings.Teams[i]
		}
	}
	if team == nil {
		return 422, "unknown owner " + s.Team
	}
	eligible := f.eligibleTypesFor(s)
	if len(eligible.machineTypes) == 0 {
		return 422, "a task fits no allowed flavour"
	}
	if s.Gang && s.SpreadZones && s.Tasks > 1 && (s.SameZone || len(eligible.zones) == 1) {
		return 422, "tasks that start together cannot be apart in one zone"
	}
	count := 1.0
	if s.LongRunning || s.Gang {
		count = float64(s.Tasks)
	}
	all := model.Resources{}.AddScaled(s.Need, count)
	if (team.QuotaLimit.CPU > 0 && all.CPU > team.QuotaLimit.CPU+roundingTolerance) || (team.QuotaLimit.GPU > 0 && all.GPU > team.QuotaLimit.GPU+roundingTolerance) {
		return 422, "the job needs more than its owner's limit"
	}
	if reason := f.validateDependencies(s); reason != "" {
		return 422, reason
	}
	if size, err := sizelimit.JSON(record.Encode(record.NewOpenJob(s, f.now))); err != nil || size+openRecordReserve > f.settings.MaxValueBytes {
		return 400, "the description is too long"
	}
	return 0, ""
}

// eligibleTypes are the machine types and zones in which a task can run.
type eligibleTypes struct {
	machineTypes []string
	zones        map[string]bool
	// excludedByDisk: other allowed types would fit but for the size of its image.
	excludedByDisk bool
}

// eligibleTypesFor finds which of the types and zones that a job allows exist and fit a task.
func (f *frontend) eligibleTypesFor(s *model.JobSpec) eligibleTypes {
	out := eligibleTypes{zones: map[string]bool{}}
	for _, name := range sortedKeys(f.controller.knowledge.machineTypes) {
		machineType := f.controller.knowledge.machineTypes[name]
		zones := slices.DeleteFunc(slices.Clone(machineType.Zones), func(z string) bool { return s.Zone != "" && s.Zone != z })
		allowed := len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, name)
		switch {
		case !allowed || len(zones) == 0 || !s.Need.Fits(machineType.Capacity):
		case machineType.DiskGB > 0 && s.ImageGB > machineType.DiskGB:
			out.excludedByDisk = true
		default:
			out.machineTypes = append(out.machineTypes, name)
			for _, z := range zones {
				out.zones[z] = true
			}
		}
	}
	return out
}

// restrictToFittingDisks narrows a job's machine types to those whose disks have space for its
// image: placement and scale-out look at nothing but what it allows.
func (f *frontend) restrictToFittingDisks(s model.JobSpec) model.JobSpec {
	if eligible := f.eligibleTypesFor(&s); eligible.excludedByDisk && len(eligible.machineTypes) > 0 {
		s.MachineTypes = eligible.machineTypes
	}
	return s
}
