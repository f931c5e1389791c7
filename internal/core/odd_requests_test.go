package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// oddPool is an owner with machine types that leave little: one kind in two zones, one in
// one zone, one with a small disk, and one that is offered nowhere.
func oddPool() *Node {
	n := largePool(0)
	n.set.Zones = []string{"a", "b"}
	n.set.Teams = []Team{{Name: "ops"}, {Name: "lab", Limit: Resources{CPU: 40, GPU: 8}}}
	n.types = map[string]Flavour{}
	for _, f := range []Flavour{
		{Name: "box", Size: Resources{CPU: 4, Memory: 32}, DiskGB: 50, Zones: []string{"a", "b"}},
		{Name: "rack", Size: Resources{CPU: 32, Memory: 128}, DiskGB: 70, Zones: []string{"a"}},
		{Name: "thin", Size: Resources{CPU: 8, Memory: 16}, DiskGB: 10, Zones: []string{"b"}},
		{Name: "gone", Size: Resources{CPU: 96, GPU: 8, Memory: 768}, DiskGB: 400},
	} {
		f.PullRate, f.Price, f.SpotPrice, f.Ready = 0.4, f.Size.CPU/20, f.Size.CPU/60, 30*time.Second
		n.types[f.Name] = f
	}
	n.sess.ready, n.users.mirror.loaded, n.users.mirror.waiting = true, true, true
	n.users.mirror.open = map[string]living{}
	return n
}

// submitted is what a submission comes to: the records that it would write, or the answer
// if nothing is known of the job.
func submitted(n *Node, change func(*Spec)) (string, []openRecord) {
	s := Spec{ID: "job-1", Workload: "w", Team: "ops", Urgency: Normal, Tasks: 4, Need: Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, Expected: time.Minute}
	change(&s)
	n.submit(Submit{Reply: 1, Spec: s})
	n.usersFlush()
	var records []openRecord
	for _, op := range emitted[StateOp](n) {
		if op.Kind == OpTxn {
			var r openRecord
			decode(op.Apply[0].Value, &r)
			records = append(records, r)
		}
	}
	n.out = nil
	for _, fn := range n.users.mirror.next {
		fn(true)
	}
	for _, op := range emitted[StateOp](n) {
		if op.Kind == OpGet {
			n.command(StateDone{ID: op.ID, Status: StateNotFound})
		}
	}
	i := slices.IndexFunc(n.out, func(e Effect) bool { _, ok := e.(UserReply); return ok })
	if i < 0 {
		return "", records
	}
	r := n.out[i].(UserReply)
	return fmt.Sprintf("%d %s", r.Status, r.Message), records
}

// TestImpossibleJobs: a job that can never run is refused with the reason, and all others
// are accepted.
func TestImpossibleJobs(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Spec)
		want   string
	}{
		"a zone that there is not":               {func(s *Spec) { s.Zone = "c" }, "422 a task fits no"},
		"a flavour that there is not":            {func(s *Spec) { s.Flavours = []string{"huge"} }, "422 a task fits no"},
		"a flavour that is offered nowhere":      {func(s *Spec) { s.Flavours = []string{"gone"} }, "422 a task fits no"},
		"needs what is offered nowhere":          {func(s *Spec) { s.Need.GPU = 1 }, "422 a task fits no"},
		"a flavour that is not in its zone":      {func(s *Spec) { s.Flavours, s.Zone = []string{"rack"}, "b" }, "422 a task fits no"},
		"larger than what is in its zone":        {func(s *Spec) { s.Need.CPU, s.Zone = 9, "b" }, "422 a task fits no"},
		"larger than the flavour":                {func(s *Spec) { s.Need.CPU, s.Flavours = 5, []string{"box"} }, "422 a task fits no"},
		"an image larger than any disk":          {func(s *Spec) { s.ImageGB = 71 }, "422 a task fits no"},
		"an image larger than the flavour's":     {func(s *Spec) { s.ImageGB, s.Flavours = 11, []string{"thin"} }, "422 a task fits no"},
		"fits by size and by disk, not by both":  {func(s *Spec) { s.Need.CPU, s.ImageGB = 30, 10; s.Flavours = []string{"box", "thin"} }, "422 a task fits no"},
		"a team that there is not":               {func(s *Spec) { s.Team = "nobody" }, "422 unknown owner"},
		"a task above the limit":                 {func(s *Spec) { s.Team, s.Need.CPU, s.Tasks = "lab", 32, 1; s.Need.GPU = 0 }, ""},
		"an array above the limit":               {func(s *Spec) { s.Team, s.Tasks = "lab", 100 }, ""},
		"replicas above the limit":               {func(s *Spec) { s.Team, s.Standing, s.Tasks = "lab", true, 21 }, "422 the job needs more"},
		"replicas up to the limit":               {func(s *Spec) { s.Team, s.Standing, s.Tasks = "lab", true, 20 }, ""},
		"a gang above the limit":                 {func(s *Spec) { s.Team, s.Gang, s.Tasks = "lab", true, 21 }, "422 the job needs more"},
		"a gang apart at one place":              {func(s *Spec) { s.Gang, s.SamePlace, s.Apart = true, true, true }, "422 tasks that start together"},
		"a gang apart in one zone":               {func(s *Spec) { s.Gang, s.Apart, s.Zone = true, true, "a" }, "422 tasks that start together"},
		"a gang apart on what one zone has":      {func(s *Spec) { s.Gang, s.Apart, s.Flavours = true, true, []string{"rack"} }, "422 tasks that start together"},
		"a gang apart that fits in one zone":     {func(s *Spec) { s.Gang, s.Apart, s.Need.CPU = true, true, 20 }, "422 tasks that start together"},
		"a gang apart":                           {func(s *Spec) { s.Gang, s.Apart = true, true }, ""},
		"a gang of one apart at one place":       {func(s *Spec) { s.Gang, s.Apart, s.SamePlace, s.Tasks = true, true, true, 1 }, ""},
		"an array apart at one place":            {func(s *Spec) { s.Apart, s.SamePlace = true, true }, ""},
		"one flavour that is and one that isn't": {func(s *Spec) { s.Flavours = []string{"box", "huge"} }, ""},
		"too many flavours": {func(s *Spec) {
			for i := range 200 {
				s.Flavours = append(s.Flavours, fmt.Sprintf("box-%030d", i))
			}
			s.Flavours = append(s.Flavours, "box")
		}, "400 the description is too long"},
	} {
		t.Run(name, func(t *testing.T) {
			got, records := submitted(oddPool(), c.change)
			if !strings.HasPrefix(got, c.want) || (c.want == "") != (got == "") || (c.want == "") != (len(records) == 1) {
				t.Errorf("%q, %d records; want %q", got, len(records), c.want)
			}
		})
	}
}

// TestImageLargerThanADisk: a job whose image is larger than the disks of some kinds of
// machines is bound to the others. Where it is placed and what is rented for it looks at
// the kinds that it allows.
func TestImageLargerThanADisk(t *testing.T) {
	for _, c := range []struct {
		image    float64
		flavours []string
		want     string
	}{
		{1, nil, ""}, {10, nil, ""}, {11, nil, "box rack"}, {60, nil, "rack"}, {60, []string{"box", "rack"}, "rack"}, {5, []string{"box", "rack"}, "box rack"},
	} {
		_, records := submitted(oddPool(), func(s *Spec) { s.ImageGB, s.Flavours = c.image, c.flavours })
		if len(records) != 1 || strings.Join(records[0].Flavours, " ") != c.want {
			t.Errorf("%v GB on %v: %+v", c.image, c.flavours, records)
		}
	}
}
