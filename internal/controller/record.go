package controller

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// Keys in the state service. Everything that all controllers must see at once
// stands under ctl/, so that one watch covers it. open/ holds what is alive:
// one record a job; job/ holds how a job ended, for good. A record in open/ is
// what makes a job accepted; an earlier form wrote job/ together with it, which
// is read as well. task/ holds its tasks in chunks, apart from open/ so that
// the owner's watch for new jobs is not woken by its own progress.
const (
	controlPrefix    = "ctl/"
	leaderKey        = "ctl/lead"
	controllerPrefix = "ctl/node/"
	// The shares and lots of the division; see internal/sharding.
	shardPrefix        = "ctl/share/"
	shardSegmentPrefix = "ctl/lot/"
	jobStatusPrefix    = "job/"
	openJobPrefix      = "open/"
	taskSegmentPrefix  = "task/"
	prewarmedPrefix    = "warm/"
	// guest/ holds the loans that this cluster has taken, and drain whether it is
	// being emptied.
	offloadedJobPrefix = "guest/"
	drainKey           = "ctl/drain"
	// life/ has a record for each controller, outside ctl/: only itself reads it.
	incarnationPrefix = "life/"
)

type memberRecord struct {
	LeaseID     uint64 `msgpack:"grant"`
	Incarnation string `msgpack:"nonce"`
	// Deaf: it hears no worker and wants no share.
	ReceivesNothing bool `msgpack:"deaf,omitempty"`
	// StartedAt is when its process began, in Unix milliseconds.
	StartedAt int64 `msgpack:"born,omitempty"`
}

// incarnationRecord is what a controller's lives leave for the next one. It outlives their
// grants.
type incarnationRecord struct {
	StartedAt  int64 `msgpack:"born"`
	ShortLived int   `msgpack:"short"`
}

type leaderRecord struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"nonce"`
}

type jobStatusRecord struct {
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

// openJobRecord is the description of a living job. Whatever ends the job changes
// or removes it together with writing job/<id>: a start that names its stamp in
// its conditions cannot follow a cancellation.
type openJobRecord struct {
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
func (r *openJobRecord) ShrinkToFit(valueBytes int) {
	for _, leave := range [...]func(){
		func() { r.MachineTypes = nil }, func() { r.Image, r.Zone = "", "" }, func() { r.Workload = "" },
	} {
		if size, err := sizelimit.JSON(encode(r)); err == nil && size <= valueBytes {
			return
		}
		leave()
	}
}

// taskEntry is one task that was ever started: index, attempt, machine ("" when
// it is on none), its group's start in Unix milliseconds, whether it was
// relaunched, and whether it is done.
type taskEntry struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack   struct{} `msgpack:",as_array"`
	Index      int
	Try        uint64
	Machine    string
	Group      int64
	Relaunched bool
	Done       bool
}

// taskSegmentRecord holds some consecutive tasks of a job. Runs lists finished tasks
// as pairs of first and last index, rows the others; marks are the groups
// whose relaunch has been decided. Times are run times in milliseconds, the
// last few, from which a successor rebuilds the median.
type taskSegmentRecord struct {
	// MachinePrefix is what the names of all machines in the rows begin with; the rows
	// have the rest, so that long names take no more room than short ones.
	MachinePrefix    string      `msgpack:"p,omitempty"`
	DoneRanges       []int       `msgpack:"d,omitempty"`
	Rows             []taskEntry `msgpack:"t,omitempty"`
	RelaunchedGroups []int64     `msgpack:"m,omitempty"`
	RunTimes         []int64     `msgpack:"rt,omitempty"`
	// RankingRevision is the stamp of the ranking under which the newest starts were decided.
	RankingRevision uint64 `msgpack:"rk,omitempty"`
}

// FactorMachinePrefix puts what all machines' names begin with into one place. The last row's name
// keeps a character at least, as "" stands for none.
func (r *taskSegmentRecord) FactorMachinePrefix() {
	prefix, first := "", true
	for _, row := range r.Rows {
		switch {
		case row.Machine == "":
		case first:
			prefix, first = row.Machine[:len(row.Machine)-1], false
		default:
			k := 0
			for k < len(prefix) && k < len(row.Machine)-1 && prefix[k] == row.Machine[k] {
				k++
			}
			prefix = prefix[:k]
		}
	}
	for !utf8.ValidString(prefix) {
		prefix = prefix[:len(prefix)-1]
	}
	if len(prefix) == 0 {
		return
	}
	r.MachinePrefix = prefix
	for i := range r.Rows {
		r.Rows[i].Machine = strings.TrimPrefix(r.Rows[i].Machine, prefix)
	}
}

// maxTaskEntryBytes is an upper bound for a row in JSON form: an index of six digits, an
// attempt, a machine name, a group's time and two flags.
const maxTaskEntryBytes = 72

// maxTasksPerSegment says how many tasks share a value, leaving a quarter for the rest.
func maxTasksPerSegment(valueBytes int) int {
	return max(8, valueBytes*3/4/maxTaskEntryBytes)
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Only plain structs of ours come here; they always encode.
		panic("core: " + err.Error())
	}
	return b
}

// decode reads a record. The library takes a list's length at its word and makes room
// for it, so a damaged record is found before.
func decode(b []byte, v any) bool {
	if _, err := sizelimit.JSON(b); err != nil {
		return false
	}
	return msgpack.Unmarshal(b, v) == nil
}

// newOpenJobRecord describes a job that was submitted at a time as it is stored.
func newOpenJobRecord(s *model.JobSpec, at time.Time) openJobRecord {
	return openJobRecord{
		Workload: s.Workload, Team: s.Team, LongRunning: s.LongRunning, Gang: s.Gang, Urgency: int(s.Urgency),
		Tasks: s.Tasks, CPU: s.Need.CPU, GPU: s.Need.GPU, Memory: s.Need.Memory,
		Image: s.Image, ImageGB: s.ImageGB, MachineTypes: s.MachineTypes, Zone: s.Zone,
		SameZone: s.SameZone, SpreadZones: s.SpreadZones, AllowSpot: s.AllowSpot,
		ExpectedSeconds: s.ExpectedRunTime.Seconds(), CheckpointIntervalSeconds: s.CheckpointInterval.Seconds(), CheckpointCostSeconds: s.CheckpointCost.Seconds(),
		DeadlineSeconds: s.Deadline.Seconds(), SubmittedAtMillis: at.UnixMilli(), Dependencies: pipeline.EncodeNames(s.Dependencies),
	}
}

func (r *openJobRecord) JobSpec(id string) model.JobSpec {
	return model.JobSpec{
		ID: id, Workload: r.Workload, Team: r.Team, LongRunning: r.LongRunning, Gang: r.Gang, Urgency: model.Urgency(r.Urgency),
		Tasks: r.Tasks, Need: model.Resources{CPU: r.CPU, GPU: r.GPU, Memory: r.Memory}, Image: r.Image, ImageGB: r.ImageGB,
		MachineTypes: r.MachineTypes, Zone: r.Zone, SameZone: r.SameZone, SpreadZones: r.SpreadZones, AllowSpot: r.AllowSpot,
		ExpectedRunTime: Seconds(r.ExpectedSeconds), CheckpointInterval: Seconds(r.CheckpointIntervalSeconds), CheckpointCost: Seconds(r.CheckpointCostSeconds),
		Deadline: Seconds(r.DeadlineSeconds), Dependencies: r.DependencyNames(),
	}
}

// DependencyNames are the jobs that it names; none if they can't be read, which bad tells.
func (r *openJobRecord) DependencyNames() []string {
	names, _ := pipeline.DecodeNames(r.Dependencies)
	return names
}

// Seconds converts a decimal number of seconds at the edge.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func jobIDFromKey(key, prefix string) string {
	id := strings.TrimPrefix(key, prefix)
	if i := strings.IndexByte(id, '/'); i >= 0 {
		id = id[:i]
	}
	return id
}
