package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/validate"
)

// validate.go judges what comes from outside: news of other controllers, workers' reports
// and records, which may be damaged or written by mistake. What makes no sense is not
// taken, and told of; nothing ends for it.

// Validate is what is wrong with a job's record, "" for nothing. One that is over and was
// kept by an earlier form says nothing but that.
func (r *openJobRecord) Validate() string {
	var c validate.Check
	if r.Cancelled && r.Team == "" {
		return ""
	}
	c.Count("n", r.Tasks, 1, validate.MaxTasks)
	for _, f := range [...]struct {
		name string
		is   float64
	}{{"c", r.CPU}, {"g", r.GPU}, {"m", r.Memory}, {"ig", r.ImageGB}, {"e", r.ExpectedSeconds}, {"se", r.CheckpointIntervalSeconds}, {"sc", r.CheckpointCostSeconds}, {"d", r.DeadlineSeconds}} {
		c.Amount(f.name, f.is)
	}
	c.Count("u", r.Urgency, int(model.BestEffort), int(model.Critical))
	if _, ok := pipeline.DecodeNames(r.Dependencies); !ok {
		return "pr is no list of names"
	}
	return c.Problem()
}

// maxRunTime bounds a run time in a record.
const maxRunTime = 366 * 24 * time.Hour

// rejectInput tells of bad input, once a minute for each cause; all of it is counted.
func (n *Controller) rejectInput(what, from, why string) {
	n.rejectedInputs++
	if n.rejections.Allow(n.now, what+" "+from+" "+why) {
		n.info("bad input is not taken", "what", what, "from", from, "why", why, "in all", n.rejectedInputs)
	}
}
