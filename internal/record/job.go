package record

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/validate"
)

// OpenJob is the record of a job that is not over: its specification, and what became of it
// that a successor must know. Whatever ends the job changes or removes this record in the
// transaction that writes its JobStatus, so that a start, which compares this record's mod
// revision, can't follow a cancellation.
type OpenJob struct {
	Workload    string `msgpack:"w"`
	Team        string `msgpack:"o"`
	LongRunning bool   `msgpack:"st,omitempty"`
	Gang        bool   `msgpack:"gg,omitempty"`
	// Urgency is a model.Urgency.
	Urgency int `msgpack:"u"`
	Tasks   int `msgpack:"n"`
	// CPU, GPU and Memory (GB) are what each task takes.
	CPU    float64 `msgpack:"c"`
	GPU    float64 `msgpack:"g,omitempty"`
	Memory float64 `msgpack:"m"`
	Image  string  `msgpack:"i"`
	// ImageGB is the image's size.
	ImageGB float64 `msgpack:"ig"`
	// MachineTypes are those allowed; none means any. An empty Zone means any, too.
	MachineTypes []string `msgpack:"f,omitempty"`
	Zone         string   `msgpack:"z,omitempty"`
	SameZone     bool     `msgpack:"sp,omitempty"`
	SpreadZones  bool     `msgpack:"ap,omitempty"`
	AllowSpot    bool     `msgpack:"l,omitempty"`
	// ExpectedSeconds is a task's run time as its user estimates it.
	ExpectedSeconds           float64 `msgpack:"e"`
	CheckpointIntervalSeconds float64 `msgpack:"se,omitempty"`
	CheckpointCostSeconds     float64 `msgpack:"sc,omitempty"`
	// DeadlineSeconds counts from the submission; 0 means no deadline.
	DeadlineSeconds float64 `msgpack:"d,omitempty"`
	// SubmittedAtMillis is in Unix milliseconds.
	SubmittedAtMillis int64 `msgpack:"at"`
	// Cancelled jobs stay until their tasks have stopped.
	Cancelled bool `msgpack:"x,omitempty"`
	// CancelledAtMillis is when the transaction that cancelled the job was sent, in Unix
	// milliseconds by the sender's clock: no user can have had the answer before.
	CancelledAtMillis int64 `msgpack:"xa,omitempty"`
	// LentTo is the peer cluster that runs the job, "" for none.
	LentTo string `msgpack:"ln,omitempty"`
	// LendCount is how often the job was lent, which tells its loans apart.
	LendCount uint64 `msgpack:"lc,omitempty"`
	// StopBoundMillis is within how many milliseconds the peer stops the job's tasks when
	// the loan ends.
	StopBoundMillis int64 `msgpack:"ls,omitempty"`
	// CancelRequested says that the job's user wants a lent job cancelled, which has to wait
	// for the peer.
	CancelRequested bool `msgpack:"cw,omitempty"`
	// BorrowedLoan is the loan by which another cluster's job runs here, "" for an own job.
	BorrowedLoan string `msgpack:"gu,omitempty"`
	// PromisedMillis is the first promised completion date, in milliseconds after the
	// submission; 0 for none.
	PromisedMillis int `msgpack:"p,omitempty"`
	// Dependencies are the jobs that must be done first, as pipeline.EncodeNames writes them.
	Dependencies string `msgpack:"pr,omitempty"`
}

// NewOpenJob is the record of a job that was submitted at a time.
func NewOpenJob(s *model.JobSpec, at time.Time) OpenJob {
	return OpenJob{
		Workload: s.Workload, Team: s.Team, LongRunning: s.LongRunning, Gang: s.Gang, Urgency: int(s.Urgency),
		Tasks: s.Tasks, CPU: s.Need.CPU, GPU: s.Need.GPU, Memory: s.Need.Memory,
		Image: s.Image, ImageGB: s.ImageGB, MachineTypes: s.MachineTypes, Zone: s.Zone,
		SameZone: s.SameZone, SpreadZones: s.SpreadZones, AllowSpot: s.AllowSpot,
		ExpectedSeconds: s.ExpectedRunTime.Seconds(), CheckpointIntervalSeconds: s.CheckpointInterval.Seconds(), CheckpointCostSeconds: s.CheckpointCost.Seconds(),
		DeadlineSeconds: s.Deadline.Seconds(), SubmittedAtMillis: at.UnixMilli(), Dependencies: pipeline.EncodeNames(s.Dependencies),
	}
}

// JobSpec is the specification that the record holds. The record must be valid.
func (r *OpenJob) JobSpec(id string) model.JobSpec {
	return model.JobSpec{
		ID: id, Workload: r.Workload, Team: r.Team, LongRunning: r.LongRunning, Gang: r.Gang, Urgency: model.Urgency(r.Urgency),
		Tasks: r.Tasks, Need: model.Resources{CPU: r.CPU, GPU: r.GPU, Memory: r.Memory}, Image: r.Image, ImageGB: r.ImageGB,
		MachineTypes: r.MachineTypes, Zone: r.Zone, SameZone: r.SameZone, SpreadZones: r.SpreadZones, AllowSpot: r.AllowSpot,
		ExpectedRunTime: DurationOfSeconds(r.ExpectedSeconds), CheckpointInterval: DurationOfSeconds(r.CheckpointIntervalSeconds), CheckpointCost: DurationOfSeconds(r.CheckpointCostSeconds),
		Deadline: DurationOfSeconds(r.DeadlineSeconds), Dependencies: r.DependencyNames(),
	}
}

// DependencyNames are the jobs that must be done first; none if the field can't be read, which
// Validate reports.
func (r *OpenJob) DependencyNames() []string {
	names, _ := pipeline.DecodeNames(r.Dependencies)
	return names
}

// ShrinkToFit makes a cancelled job's record fit a value of valueBytes, also where it was written
// under a larger limit. What it drops, field by field, matters only for where a task may start.
func (r *OpenJob) ShrinkToFit(valueBytes int) {
	for _, drop := range [...]func(){
		func() { r.MachineTypes = nil }, func() { r.Image, r.Zone = "", "" }, func() { r.Workload = "" },
	} {
		if size, err := sizelimit.JSON(Encode(r)); err == nil && size <= valueBytes {
			return
		}
		drop()
	}
}

// Validate returns the first thing that is wrong with the record as a *validate.FieldError, nil if
// it is valid. A cancelled job's record that an earlier version shortened has no team, and is valid.
func (r *OpenJob) Validate() error {
	var c validate.Check
	if r.Cancelled && r.Team == "" {
		return nil
	}
	c.Count("n", r.Tasks, 1, validate.MaxTasks)
	for _, f := range [...]struct {
		name  string
		value float64
	}{{"c", r.CPU}, {"g", r.GPU}, {"m", r.Memory}, {"ig", r.ImageGB}, {"e", r.ExpectedSeconds}, {"se", r.CheckpointIntervalSeconds}, {"sc", r.CheckpointCostSeconds}, {"d", r.DeadlineSeconds}} {
		c.Amount(f.name, f.value)
	}
	c.Count("u", r.Urgency, int(model.BestEffort), int(model.Critical))
	if _, ok := pipeline.DecodeNames(r.Dependencies); !ok {
		return &validate.FieldError{Field: "pr", Found: "is no list of names"}
	}
	return c.Err()
}
