package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// newRestrictedTypesPool returns a controller that leads a shard, with machine types that restrict
// placement: one offered in two zones, one in one zone, one with a small disk, and one offered
// nowhere.
func newRestrictedTypesPool() *Controller {
	controller := largePool(0)
	controller.settings.Zones = []string{"a", "b"}
	controller.settings.Teams = []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 40, GPU: 8}}}
	controller.knowledge.machineTypes = map[string]model.MachineType{}
	for _, machineType := range []model.MachineType{
		{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, Zones: []string{"a", "b"}},
		{Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, Zones: []string{"a"}},
		{Name: "thin", Capacity: model.Resources{CPU: 8, Memory: 16}, DiskGB: 10, Zones: []string{"b"}},
		{Name: "gone", Capacity: model.Resources{CPU: 96, GPU: 8, Memory: 768}, DiskGB: 400},
	} {
		machineType.ImageFetchRate, machineType.CostPerHour, machineType.SpotCostPerHour, machineType.ProvisioningTime = 0.4, machineType.Capacity.CPU/20, machineType.Capacity.CPU/60, 30*time.Second
		controller.knowledge.machineTypes[machineType.Name] = machineType
	}
	controller.membership.ready, controller.frontend.watchCache.loaded, controller.frontend.watchCache.refreshScheduled = true, true, true
	controller.frontend.watchCache.openJobs = map[string]openJob{}
	return controller
}

// submitTestJob submits a job after change has modified its description. It returns the answer, or
// "" if there was none, and the records that the submission writes. Reads of the store find no job.
func submitTestJob(controller *Controller, change func(*model.JobSpec)) (string, []record.OpenJob) {
	spec := model.JobSpec{ID: "job-1", Workload: "w", Team: "ops", Urgency: model.Normal, Tasks: 4, Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: time.Minute}
	change(&spec)
	controller.frontend.submitJob(message.SubmitJob{Reply: 1, Spec: spec})
	controller.frontend.flushSubmissions()
	var records []record.OpenJob
	for _, request := range emittedEffects[message.StoreRequest](controller) {
		if request.Kind == message.OpTxn {
			var r record.OpenJob
			record.Decode(request.Writes[0].Value, &r)
			records = append(records, r)
		}
	}
	controller.effects = nil
	for _, fn := range controller.frontend.watchCache.nextReadWaiters {
		fn(true)
	}
	for _, request := range emittedEffects[message.StoreRequest](controller) {
		if request.Kind == message.OpGet {
			controller.handleCommand(message.StoreResponse{ID: request.ID, Status: message.StoreNotFound})
		}
	}
	i := slices.IndexFunc(controller.effects, func(e message.Effect) bool { _, ok := e.(message.UserReply); return ok })
	if i < 0 {
		return "", records
	}
	r := controller.effects[i].(message.UserReply)
	return fmt.Sprintf("%d %s", r.Status, r.Message), records
}

// TestImpossibleJobs checks that a job that can never run is refused with the reason, and that all
// other jobs are accepted. An accepted job that can't run would wait forever.
func TestImpossibleJobs(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*model.JobSpec)
		want   string
	}{
		"an unknown zone":                                  {func(s *model.JobSpec) { s.Zone = "c" }, "422 a task fits no"},
		"an empty list of machine types":                   {func(s *model.JobSpec) { s.MachineTypes = []string{} }, "422 a task fits no"},
		"an unknown machine type":                          {func(s *model.JobSpec) { s.MachineTypes = []string{"huge"} }, "422 a task fits no"},
		"a machine type offered nowhere":                   {func(s *model.JobSpec) { s.MachineTypes = []string{"gone"} }, "422 a task fits no"},
		"a GPU that no zone offers":                        {func(s *model.JobSpec) { s.Need.GPU = 1 }, "422 a task fits no"},
		"a machine type not in its zone":                   {func(s *model.JobSpec) { s.MachineTypes, s.Zone = []string{"rack"}, "b" }, "422 a task fits no"},
		"larger than any machine type in its zone":         {func(s *model.JobSpec) { s.Need.CPU, s.Zone = 9, "b" }, "422 a task fits no"},
		"larger than the allowed machine type":             {func(s *model.JobSpec) { s.Need.CPU, s.MachineTypes = 5, []string{"box"} }, "422 a task fits no"},
		"an image larger than any disk":                    {func(s *model.JobSpec) { s.ImageGB = 71 }, "422 a task fits no"},
		"an image larger than the allowed type's disk":     {func(s *model.JobSpec) { s.ImageGB, s.MachineTypes = 11, []string{"thin"} }, "422 a task fits no"},
		"no allowed type has both the size and the disk":   {func(s *model.JobSpec) { s.Need.CPU, s.ImageGB = 30, 10; s.MachineTypes = []string{"box", "thin"} }, "422 a task fits no"},
		"an unknown team":                                  {func(s *model.JobSpec) { s.Team = "nobody" }, "422 unknown owner"},
		"a task above the limit":                           {func(s *model.JobSpec) { s.Team, s.Need.CPU, s.Tasks = "lab", 32, 1; s.Need.GPU = 0 }, ""},
		"an array above the limit":                         {func(s *model.JobSpec) { s.Team, s.Tasks = "lab", 100 }, ""},
		"replicas above the limit":                         {func(s *model.JobSpec) { s.Team, s.LongRunning, s.Tasks = "lab", true, 21 }, "422 the job needs more"},
		"replicas up to the limit":                         {func(s *model.JobSpec) { s.Team, s.LongRunning, s.Tasks = "lab", true, 20 }, ""},
		"a gang above the limit":                           {func(s *model.JobSpec) { s.Team, s.Gang, s.Tasks = "lab", true, 21 }, "422 the job needs more"},
		"a gang spread over zones in the same zone":        {func(s *model.JobSpec) { s.Gang, s.SameZone, s.SpreadZones = true, true, true }, "422 tasks that start together"},
		"a gang spread over zones in a given zone":         {func(s *model.JobSpec) { s.Gang, s.SpreadZones, s.Zone = true, true, "a" }, "422 tasks that start together"},
		"a gang spread over zones on a type of one zone":   {func(s *model.JobSpec) { s.Gang, s.SpreadZones, s.MachineTypes = true, true, []string{"rack"} }, "422 tasks that start together"},
		"a gang spread over zones that fits in one":        {func(s *model.JobSpec) { s.Gang, s.SpreadZones, s.Need.CPU = true, true, 20 }, "422 tasks that start together"},
		"a gang spread over zones":                         {func(s *model.JobSpec) { s.Gang, s.SpreadZones = true, true }, ""},
		"a gang of one spread over zones in the same zone": {func(s *model.JobSpec) { s.Gang, s.SpreadZones, s.SameZone, s.Tasks = true, true, true, 1 }, ""},
		"an array spread over zones in the same zone":      {func(s *model.JobSpec) { s.SpreadZones, s.SameZone = true, true }, ""},
		"one known and one unknown machine type":           {func(s *model.JobSpec) { s.MachineTypes = []string{"box", "huge"} }, ""},
		"too many machine types": {func(s *model.JobSpec) {
			for i := range 200 {
				s.MachineTypes = append(s.MachineTypes, fmt.Sprintf("box-%030d", i))
			}
			s.MachineTypes = append(s.MachineTypes, "box")
		}, "400 the description is too long"},
	} {
		t.Run(name, func(t *testing.T) {
			got, records := submitTestJob(newRestrictedTypesPool(), tc.change)
			if !strings.HasPrefix(got, tc.want) || (tc.want == "") != (got == "") || (tc.want == "") != (len(records) == 1) {
				t.Errorf("got answer %q and %d records, want answer %q, and one record if there is no answer", got, len(records), tc.want)
			}
		})
	}
}

// TestImageLargerThanADisk checks that a job whose image is larger than the disks of some machine
// types is restricted to the other types. Placement and scale-out consider only the types that the
// job's record allows.
func TestImageLargerThanADisk(t *testing.T) {
	for _, tc := range []struct {
		name         string
		imageGB      float64
		machineTypes []string
		want         string
	}{
		{"fits all types", 1, nil, ""},
		{"exactly fits the smallest disk", 10, nil, ""},
		{"fits two types", 11, nil, "box rack"},
		{"fits one type", 60, nil, "rack"},
		{"fits one of the allowed types", 60, []string{"box", "rack"}, "rack"},
		{"fits all allowed types", 5, []string{"box", "rack"}, "box rack"},
	} {
		_, records := submitTestJob(newRestrictedTypesPool(), func(s *model.JobSpec) { s.ImageGB, s.MachineTypes = tc.imageGB, tc.machineTypes })
		if len(records) != 1 || strings.Join(records[0].JobSpec("job-1").MachineTypes, " ") != tc.want {
			t.Errorf("%s: got records %+v, want one with machine types %q", tc.name, records, tc.want)
		}
	}
}
