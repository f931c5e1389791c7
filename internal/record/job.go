package record

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/validate"
)

// OffloadedJob is a loan that was taken, or the time when a home last answered.
type OffloadedJob struct {
	Job       string `msgpack:"j,omitempty"`
	Cause     string `msgpack:"c,omitempty"`
	RenewedAt int64  `msgpack:"r,omitempty"`
}

// FirstDate is the date in the accepting record; what makes no sense is none.
func (r *OpenJob) FirstDate() promise.Date {
	d := promise.Date{After: time.Duration(r.PromisedMillis) * time.Millisecond, Revision: 1}
	if r.PromisedMillis <= 0 || r.PromisedMillis > MaxDateMillis {
		return promise.Date{}
	}
	return d
}

func (r *JobStatus) Date() promise.Date {
	d := promise.Date{After: time.Duration(r.PromisedMillis) * time.Millisecond, Revision: r.PromiseRevision}
	if r.Status != model.Done || r.PromisedMillis > MaxDateMillis || d.Validate() != "" {
		return promise.Date{}
	}
	return d
}

type JobStatus struct {
	Status model.JobStatus `msgpack:"s"`
	Tasks  int             `msgpack:"n"`
	// With promises: whose it was, of a peer's or not, and when it ended, in
	// milliseconds after its submission; its newest date, in the same way, with the
	// revision, and whether its first date was there when it was accepted.
	Team             string `msgpack:"o,omitempty"`
	Workload         string `msgpack:"c,omitempty"`
	Offloaded        bool   `msgpack:"gu,omitempty"`
	EndedAfterMillis int    `msgpack:"a,omitempty"`
	PromisedMillis   int    `msgpack:"p,omitempty"`
	PromiseRevision  int    `msgpack:"r,omitempty"`
	PromisedAtSubmit bool   `msgpack:"q,omitempty"`
}

// OpenJob is the description of a living job. Whatever ends the job changes
// or removes it together with writing job/<id>: a start that names its stamp in
// its conditions cannot follow a cancellation.
type OpenJob struct {
	Workload                  string   `msgpack:"w"`
	Team                      string   `msgpack:"o"`
	LongRunning               bool     `msgpack:"st,omitempty"`
	Gang                      bool     `msgpack:"gg,omitempty"`
	Urgency                   int      `msgpack:"u"`
	Tasks                     int      `msgpack:"n"`
	CPU                       float64  `msgpack:"c"`
	GPU                       float64  `msgpack:"g,omitempty"`
	Memory                    float64  `msgpack:"m"`
	Image                     string   `msgpack:"i"`
	ImageGB                   float64  `msgpack:"ig"`
	MachineTypes              []string `msgpack:"f,omitempty"`
	Zone                      string   `msgpack:"z,omitempty"`
	SameZone                  bool     `msgpack:"sp,omitempty"`
	SpreadZones               bool     `msgpack:"ap,omitempty"`
	AllowSpot                 bool     `msgpack:"l,omitempty"`
	ExpectedSeconds           float64  `msgpack:"e"`
	CheckpointIntervalSeconds float64  `msgpack:"se,omitempty"`
	CheckpointCostSeconds     float64  `msgpack:"sc,omitempty"`
	DeadlineSeconds           float64  `msgpack:"d,omitempty"`
	SubmittedAtMillis         int64    `msgpack:"at"`
	Cancelled                 bool     `msgpack:"x,omitempty"`
	// CancelledAtMillis is when the change that cancelled it was sent, in Unix milliseconds by
	// the sender's clock: nobody can have been told before.
	CancelledAtMillis int64 `msgpack:"xa,omitempty"`
	// LentTo names the peer that has the job, LendCount how often it was lent, and StopBoundMillis
	// the peer's bound in milliseconds.
	// Wanted: its user wants it cancelled, which the peer has to hear first.
	LentTo          string `msgpack:"ln,omitempty"`
	LendCount       uint64 `msgpack:"lc,omitempty"`
	StopBoundMillis int64  `msgpack:"ls,omitempty"`
	CancelRequested bool   `msgpack:"cw,omitempty"`
	// BorrowedLoan is the loan by which a job of another cluster is here.
	BorrowedLoan string `msgpack:"gu,omitempty"`
	// PromisedMillis is the promised date, in milliseconds after the submission: its first revision.
	PromisedMillis int `msgpack:"p,omitempty"`
	// Dependencies names the jobs that it needs; see internal/pipeline.
	Dependencies string `msgpack:"pr,omitempty"`
}

// ShrinkToFit has a cancelled job's record fit a value also where the description was written
// under a larger limit: what it leaves out says only where a task may start.
func (r *OpenJob) ShrinkToFit(valueBytes int) {
	for _, leave := range [...]func(){
		func() { r.MachineTypes = nil }, func() { r.Image, r.Zone = "", "" }, func() { r.Workload = "" },
	} {
		if size, err := sizelimit.JSON(Encode(r)); err == nil && size <= valueBytes {
			return
		}
		leave()
	}
}

// NewOpenJob describes a job that was submitted at a time as it is stored.
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

func (r *OpenJob) JobSpec(id string) model.JobSpec {
	return model.JobSpec{
		ID: id, Workload: r.Workload, Team: r.Team, LongRunning: r.LongRunning, Gang: r.Gang, Urgency: model.Urgency(r.Urgency),
		Tasks: r.Tasks, Need: model.Resources{CPU: r.CPU, GPU: r.GPU, Memory: r.Memory}, Image: r.Image, ImageGB: r.ImageGB,
		MachineTypes: r.MachineTypes, Zone: r.Zone, SameZone: r.SameZone, SpreadZones: r.SpreadZones, AllowSpot: r.AllowSpot,
		ExpectedRunTime: DurationOfSeconds(r.ExpectedSeconds), CheckpointInterval: DurationOfSeconds(r.CheckpointIntervalSeconds), CheckpointCost: DurationOfSeconds(r.CheckpointCostSeconds),
		Deadline: DurationOfSeconds(r.DeadlineSeconds), Dependencies: r.DependencyNames(),
	}
}

// DependencyNames are the jobs that it names; none if they can't be read, which bad tells.
func (r *OpenJob) DependencyNames() []string {
	names, _ := pipeline.DecodeNames(r.Dependencies)
	return names
}

// Validate is what is wrong with a job's record, "" for nothing. One that is over and was
// kept by an earlier form says nothing but that.
func (r *OpenJob) Validate() string {
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
