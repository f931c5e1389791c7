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

// newOddTypesPool is a shard leader with machine types that leave little choice: one in two
// zones, one in one zone, one with a small disk, and one that is offered nowhere.
func newOddTypesPool() *Controller {
	c := largePool(0)
	c.settings.Zones = []string{"a", "b"}
	c.settings.Teams = []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 40, GPU: 8}}}
	c.knowledge.machineTypes = map[string]model.MachineType{}
	for _, mt := range []model.MachineType{
		{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 32}, DiskGB: 50, Zones: []string{"a", "b"}},
		{Name: "rack", Capacity: model.Resources{CPU: 32, Memory: 128}, DiskGB: 70, Zones: []string{"a"}},
		{Name: "thin", Capacity: model.Resources{CPU: 8, Memory: 16}, DiskGB: 10, Zones: []string{"b"}},
		{Name: "gone", Capacity: model.Resources{CPU: 96, GPU: 8, Memory: 768}, DiskGB: 400},
	} {
		mt.ImageFetchRate, mt.CostPerHour, mt.SpotCostPerHour, mt.ProvisioningTime = 0.4, mt.Capacity.CPU/20, mt.Capacity.CPU/60, 30*time.Second
		c.knowledge.machineTypes[mt.Name] = mt
	}
	c.membership.ready, c.frontend.watchCache.loaded, c.frontend.watchCache.refreshScheduled = true, true, true
	c.frontend.watchCache.openJobs = map[string]openJob{}
	return c
}

// submitTestJob submits a job, changed by change. It returns the answer, or "" without one,
// and the records that the submission writes. Reads show that the job is unknown.
func submitTestJob(c *Controller, change func(*model.JobSpec)) (string, []record.OpenJob) {
	s := model.JobSpec{ID: "job-1", Workload: "w", Team: "ops", Urgency: model.Normal, Tasks: 4, Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: time.Minute}
	change(&s)
	c.frontend.submitJob(message.SubmitJob{Reply: 1, Spec: s})
	c.frontend.flushSubmissions()
	var records []record.OpenJob
	for _, op := range emittedEffects[message.StoreRequest](c) {
		if op.Kind == message.OpTxn {
			var r record.OpenJob
			record.Decode(op.Writes[0].Value, &r)
			records = append(records, r)
		}
	}
	c.effects = nil
	for _, fn := range c.frontend.watchCache.nextReadWaiters {
		fn(true)
	}
	for _, op := range emittedEffects[message.StoreRequest](c) {
		if op.Kind == message.OpGet {
			c.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreNotFound})
		}
	}
	i := slices.IndexFunc(c.effects, func(e message.Effect) bool { _, ok := e.(message.UserReply); return ok })
	if i < 0 {
		return "", records
	}
	r := c.effects[i].(message.UserReply)
	return fmt.Sprintf("%d %s", r.Status, r.Message), records
}

// TestImpossibleJobs: a job that can never run is refused with the reason, and all others
// are accepted.
func TestImpossibleJobs(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*model.JobSpec)
		want   string
	}{
		"an unknown zone":                                  {func(s *model.JobSpec) { s.Zone = "c" }, "422 a task fits no"},
		"an unknown machine type":                          {func(s *model.JobSpec) { s.MachineTypes = []string{"huge"} }, "422 a task fits no"},
		"a machine type offered nowhere":                   {func(s *model.JobSpec) { s.MachineTypes = []string{"gone"} }, "422 a task fits no"},
		"needs what is offered nowhere":                    {func(s *model.JobSpec) { s.Need.GPU = 1 }, "422 a task fits no"},
		"a machine type not in its zone":                   {func(s *model.JobSpec) { s.MachineTypes, s.Zone = []string{"rack"}, "b" }, "422 a task fits no"},
		"larger than what is in its zone":                  {func(s *model.JobSpec) { s.Need.CPU, s.Zone = 9, "b" }, "422 a task fits no"},
		"larger than the machine type":                     {func(s *model.JobSpec) { s.Need.CPU, s.MachineTypes = 5, []string{"box"} }, "422 a task fits no"},
		"an image larger than any disk":                    {func(s *model.JobSpec) { s.ImageGB = 71 }, "422 a task fits no"},
		"an image larger than the type's disk":             {func(s *model.JobSpec) { s.ImageGB, s.MachineTypes = 11, []string{"thin"} }, "422 a task fits no"},
		"fits by size and by disk, not by both":            {func(s *model.JobSpec) { s.Need.CPU, s.ImageGB = 30, 10; s.MachineTypes = []string{"box", "thin"} }, "422 a task fits no"},
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
			got, records := submitTestJob(newOddTypesPool(), tc.change)
			if !strings.HasPrefix(got, tc.want) || (tc.want == "") != (got == "") || (tc.want == "") != (len(records) == 1) {
				t.Errorf("got answer %q and %d records, want %q, and a record only without an answer", got, len(records), tc.want)
			}
		})
	}
}

// TestImageLargerThanADisk: a job whose image is larger than the disks of some machine types
// is restricted to the others. Placement and scale-out look at the types that it allows.
func TestImageLargerThanADisk(t *testing.T) {
	for _, tc := range []struct {
		name         string
		imageGB      float64
		machineTypes []string
		want         string
	}{
		{"fits all", 1, nil, ""},
		{"just fits all", 10, nil, ""},
		{"fits two", 11, nil, "box rack"},
		{"fits one", 60, nil, "rack"},
		{"fits one of those allowed", 60, []string{"box", "rack"}, "rack"},
		{"fits those allowed", 5, []string{"box", "rack"}, "box rack"},
	} {
		_, records := submitTestJob(newOddTypesPool(), func(s *model.JobSpec) { s.ImageGB, s.MachineTypes = tc.imageGB, tc.machineTypes })
		if len(records) != 1 || strings.Join(records[0].MachineTypes, " ") != tc.want {
			t.Errorf("%s: got records %+v, want one with machine types %q", tc.name, records, tc.want)
		}
	}
}
