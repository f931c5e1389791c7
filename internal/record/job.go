package record

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/validate"
)

// OpenJob is the record of a job that has not ended: its specification, and the state that a
// successor needs. The transaction that ends the job writes its JobStatus and changes or removes
// this record. The start of a task compares this record's mod revision, and so can't follow a
// cancellation.
type OpenJob struct {
	Workload    string `msgpack:"w"`
	Team        string `msgpack:"o"`
	LongRunning bool   `msgpack:"st,omitempty"`
	Gang        bool   `msgpack:"gg,omitempty"`
	// Urgency is a model.Urgency.
	Urgency int `msgpack:"u"`
	Tasks   int `msgpack:"n"`
	// CPU, GPU and Memory (in GB) are the resources of each task.
	CPU    float64 `msgpack:"c"`
	GPU    float64 `msgpack:"g,omitempty"`
	Memory float64 `msgpack:"m"`
	Image  string  `msgpack:"i"`
	// ImageGB is the size of the image in GB.
	ImageGB float64 `msgpack:"ig"`
	// MachineTypes are the allowed machine types; nil allows all. It is a pointer because an empty
	// list, which allows none, would be omitted too. Zone is the only allowed zone; "" allows all.
	MachineTypes *[]string `msgpack:"f,omitempty"`
	Zone         string    `msgpack:"z,omitempty"`
	SameZone     bool      `msgpack:"sp,omitempty"`
	SpreadZones  bool      `msgpack:"ap,omitempty"`
	AllowSpot    bool      `msgpack:"l,omitempty"`
	// ExpectedSeconds is the user's estimate of a task's run time.
	ExpectedSeconds           float64 `msgpack:"e"`
	CheckpointIntervalSeconds float64 `msgpack:"se,omitempty"`
	CheckpointCostSeconds     float64 `msgpack:"sc,omitempty"`
	// DeadlineSeconds is the deadline in seconds after the submission; 0 means no deadline.
	DeadlineSeconds float64 `msgpack:"d,omitempty"`
	// SubmittedAtMillis is the time of the submission in Unix milliseconds.
	SubmittedAtMillis int64 `msgpack:"at"`
	// Cancelled is true for a cancelled job. Its record remains until its tasks have stopped.
	Cancelled bool `msgpack:"x,omitempty"`
	// CancelledAtMillis is the time when the transaction that cancelled the job was sent, in Unix
	// milliseconds by the sender's clock. No user can have got the answer earlier.
	CancelledAtMillis int64 `msgpack:"xa,omitempty"`
	// LentTo is the other cluster that runs the job, "" for none.
	LentTo string `msgpack:"ln,omitempty"`
	// LendCount is how often the job was lent. It distinguishes the job's loans.
	LendCount uint64 `msgpack:"lc,omitempty"`
	// StopBoundMillis is the longest time, in milliseconds, that the other cluster takes to stop
	// the job's tasks when the loan ends.
	StopBoundMillis int64 `msgpack:"ls,omitempty"`
	// CancelRequested is true if the user has requested the cancellation of a lent job. The
	// cancellation has to wait for the other cluster.
	CancelRequested bool `msgpack:"cw,omitempty"`
	// BorrowedLoan is the name of the loan through which another cluster's job runs in this
	// cluster, "" for a job of this cluster.
	BorrowedLoan string `msgpack:"gu,omitempty"`
	// PromisedMillis is the first promised completion date, in milliseconds after the
	// submission; 0 for none.
	PromisedMillis int `msgpack:"p,omitempty"`
	// Dependencies are the IDs of the jobs that must be done first, encoded by
	// pipeline.EncodeNames.
	Dependencies string `msgpack:"pr,omitempty"`
}

// NewOpenJob returns the record of a job with the given specification and time of submission.
func NewOpenJob(spec *model.JobSpec, submittedAt time.Time) OpenJob {
	return OpenJob{
		Workload: spec.Workload, Team: spec.Team, LongRunning: spec.LongRunning, Gang: spec.Gang, Urgency: int(spec.Urgency),
		Tasks: spec.Tasks, CPU: spec.Need.CPU, GPU: spec.Need.GPU, Memory: spec.Need.Memory,
		Image: spec.Image, ImageGB: spec.ImageGB, MachineTypes: encodeMachineTypes(spec.MachineTypes), Zone: spec.Zone,
		SameZone: spec.SameZone, SpreadZones: spec.SpreadZones, AllowSpot: spec.AllowSpot,
		ExpectedSeconds: spec.ExpectedRunTime.Seconds(), CheckpointIntervalSeconds: spec.CheckpointInterval.Seconds(), CheckpointCostSeconds: spec.CheckpointCost.Seconds(),
		DeadlineSeconds: spec.Deadline.Seconds(), SubmittedAtMillis: submittedAt.UnixMilli(), Dependencies: pipeline.EncodeNames(spec.Dependencies),
	}
}

// JobSpec returns the specification in the record. The record must be valid.
func (record *OpenJob) JobSpec(id string) model.JobSpec {
	return model.JobSpec{
		ID: id, Workload: record.Workload, Team: record.Team, LongRunning: record.LongRunning, Gang: record.Gang, Urgency: model.Urgency(record.Urgency),
		Tasks: record.Tasks, Need: model.Resources{CPU: record.CPU, GPU: record.GPU, Memory: record.Memory}, Image: record.Image, ImageGB: record.ImageGB,
		MachineTypes: decodeMachineTypes(record.MachineTypes), Zone: record.Zone, SameZone: record.SameZone, SpreadZones: record.SpreadZones, AllowSpot: record.AllowSpot,
		ExpectedRunTime: DurationOfSeconds(record.ExpectedSeconds), CheckpointInterval: DurationOfSeconds(record.CheckpointIntervalSeconds), CheckpointCost: DurationOfSeconds(record.CheckpointCostSeconds),
		Deadline: DurationOfSeconds(record.DeadlineSeconds), Dependencies: record.DependencyNames(),
	}
}

// encodeMachineTypes returns the allowed machine types of a specification as a field of its record.
func encodeMachineTypes(names []string) *[]string {
	if names == nil {
		return nil
	}
	return &names
}

// decodeMachineTypes returns the allowed machine types in a record as a field of a specification.
func decodeMachineTypes(names *[]string) []string {
	if names == nil {
		return nil
	}
	return *names
}

// DependencyNames returns the IDs of the jobs that must be done first. It returns none if the field
// is invalid, which Validate reports.
func (record *OpenJob) DependencyNames() []string {
	names, _ := pipeline.DecodeNames(record.Dependencies)
	return names
}

// ShrinkToFit drops fields of a cancelled job's record, one step after the other, until the record
// fits a value of valueBytes bytes. The record may have been written under a larger limit. The
// dropped fields matter only for the decision where a task may start.
func (record *OpenJob) ShrinkToFit(valueBytes int) {
	for _, drop := range [...]func(){
		func() { record.MachineTypes = nil }, func() { record.Image, record.Zone = "", "" }, func() { record.Workload = "" },
	} {
		if size, err := sizelimit.JSONSize(Encode(record)); err == nil && size <= valueBytes {
			return
		}
		drop()
	}
}

// Validate returns a *validate.FieldError for the first invalid field of the record, or nil if the
// record is valid. A cancelled job's record without a team is valid: an earlier version shortened
// such records.
func (record *OpenJob) Validate() error {
	var check validate.Check
	if record.Cancelled && record.Team == "" {
		return nil
	}
	check.Count("n", record.Tasks, 1, validate.MaxTasks)
	for _, amount := range [...]struct {
		name  string
		value float64
	}{{"c", record.CPU}, {"g", record.GPU}, {"m", record.Memory}, {"ig", record.ImageGB}, {"e", record.ExpectedSeconds}, {"se", record.CheckpointIntervalSeconds}, {"sc", record.CheckpointCostSeconds}, {"d", record.DeadlineSeconds}} {
		check.Amount(amount.name, amount.value)
	}
	check.Count("u", record.Urgency, int(model.BestEffort), int(model.Critical))
	if _, ok := pipeline.DecodeNames(record.Dependencies); !ok {
		return &validate.FieldError{Field: "pr", Found: "is not a list of job names"}
	}
	return check.Err()
}
