package core

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/vmihailenco/msgpack/v5"
)

// Keys in the state service. Everything that all controllers must see at once
// stands under ctl/, so that one watch covers it. open/ holds what is alive:
// one record a job; job/ holds how a job ended, for good. A record in open/ is
// what makes a job accepted; an earlier form wrote job/ together with it, which
// is read as well. task/ holds its tasks in chunks, apart from open/ so that
// the owner's watch for new jobs is not woken by its own progress.
const (
	ctlPrefix  = "ctl/"
	leadKey    = "ctl/lead"
	nodePrefix = "ctl/node/"
	// The shares and lots of the division; see internal/division.
	sharePrefix = "ctl/share/"
	lotPrefix   = "ctl/lot/"
	jobPrefix   = "job/"
	openPrefix  = "open/"
	taskPrefix  = "task/"
	warmPrefix  = "warm/"
	// guest/ holds the loans that this cluster has taken, and drain whether it is
	// being emptied.
	guestPrefix = "guest/"
	drainKey    = "ctl/drain"
	// life/ has a record for each controller, outside ctl/: only itself reads it.
	lifePrefix = "life/"
)

type nodeRecord struct {
	Grant uint64 `msgpack:"grant"`
	Nonce string `msgpack:"nonce"`
	// Deaf: it hears no worker and wants no share.
	Deaf bool `msgpack:"deaf,omitempty"`
	// Born is when its process began, in Unix milliseconds.
	Born int64 `msgpack:"born,omitempty"`
}

// lifeRecord is what a controller's lives leave for the next one. It outlives their
// grants.
type lifeRecord struct {
	Born  int64 `msgpack:"born"`
	Short int   `msgpack:"short"`
}

type leadRecord struct {
	Host  string `msgpack:"host"`
	Nonce string `msgpack:"nonce"`
}

type jobRecord struct {
	Status JobStatus `msgpack:"s"`
	Tasks  int       `msgpack:"n"`
	// With promises: whose it was, of a peer's or not, and when it ended, in
	// milliseconds after its submission; its newest date, in the same way, with the
	// revision, and whether its first date was there when it was accepted.
	Team  string `msgpack:"o,omitempty"`
	Class string `msgpack:"c,omitempty"`
	Guest bool   `msgpack:"gu,omitempty"`
	After int    `msgpack:"a,omitempty"`
	P     int    `msgpack:"p,omitempty"`
	Rev   int    `msgpack:"r,omitempty"`
	First bool   `msgpack:"q,omitempty"`
}

// openRecord is the description of a living job. Whatever ends the job changes
// or removes it together with writing job/<id>: a start that names its stamp in
// its conditions cannot follow a cancellation.
type openRecord struct {
	Workload  string   `msgpack:"w"`
	Team      string   `msgpack:"o"`
	Standing  bool     `msgpack:"st,omitempty"`
	Gang      bool     `msgpack:"gg,omitempty"`
	Urgency   int      `msgpack:"u"`
	Tasks     int      `msgpack:"n"`
	CPU       float64  `msgpack:"c"`
	GPU       float64  `msgpack:"g,omitempty"`
	Memory    float64  `msgpack:"m"`
	Image     string   `msgpack:"i"`
	ImageGB   float64  `msgpack:"ig"`
	Flavours  []string `msgpack:"f,omitempty"`
	Zone      string   `msgpack:"z,omitempty"`
	Same      bool     `msgpack:"sp,omitempty"`
	Apart     bool     `msgpack:"ap,omitempty"`
	Spot      bool     `msgpack:"l,omitempty"`
	Expected  float64  `msgpack:"e"`
	SaveEvery float64  `msgpack:"se,omitempty"`
	SaveCost  float64  `msgpack:"sc,omitempty"`
	Due       float64  `msgpack:"d,omitempty"`
	At        int64    `msgpack:"at"`
	Cancelled bool     `msgpack:"x,omitempty"`
	// CancelledAt is when the change that cancelled it was sent, in Unix milliseconds by
	// the sender's clock: nobody can have been told before.
	CancelledAt int64 `msgpack:"xa,omitempty"`
	// Lent names the peer that has the job, LentN how often it was lent, and LentStop
	// the peer's bound in milliseconds.
	// Wanted: its user wants it cancelled, which the peer has to hear first.
	Lent     string `msgpack:"ln,omitempty"`
	LentN    uint64 `msgpack:"lc,omitempty"`
	LentStop int64  `msgpack:"ls,omitempty"`
	Wanted   bool   `msgpack:"cw,omitempty"`
	// Guest is the loan by which a job of another cluster is here.
	Guest string `msgpack:"gu,omitempty"`
	// P is the promised date, in milliseconds after the submission: its first revision.
	P int `msgpack:"p,omitempty"`
	// Prereqs names the jobs that it needs; see internal/pipeline.
	Prereqs string `msgpack:"pr,omitempty"`
}

// shorten has a cancelled job's record fit a value also where the description was written
// under a larger limit: what it leaves out says only where a task may start.
func (r *openRecord) shorten(valueBytes int) {
	for _, leave := range [...]func(){
		func() { r.Flavours = nil }, func() { r.Image, r.Zone = "", "" }, func() { r.Workload = "" },
	} {
		if size, err := bounds.JSON(encode(r)); err == nil && size <= valueBytes {
			return
		}
		leave()
	}
}

// taskRow is one task that was ever started: index, attempt, machine ("" when
// it is on none), its group's start in Unix milliseconds, whether it was
// relaunched, and whether it is done.
type taskRow struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack   struct{} `msgpack:",as_array"`
	Index      int
	Try        uint64
	Machine    string
	Group      int64
	Relaunched bool
	Done       bool
}

// chunkRecord holds some consecutive tasks of a job. Runs lists finished tasks
// as pairs of first and last index, rows the others; marks are the groups
// whose relaunch has been decided. Times are run times in milliseconds, the
// last few, from which a successor rebuilds the median.
type chunkRecord struct {
	// Prefix is what the names of all machines in the rows begin with; the rows
	// have the rest, so that long names take no more room than short ones.
	Prefix string    `msgpack:"p,omitempty"`
	Runs   []int     `msgpack:"d,omitempty"`
	Rows   []taskRow `msgpack:"t,omitempty"`
	Marks  []int64   `msgpack:"m,omitempty"`
	Times  []int64   `msgpack:"rt,omitempty"`
	// Rank is the stamp of the ranking under which the newest starts were decided.
	Rank uint64 `msgpack:"rk,omitempty"`
}

// shorten puts what all machines' names begin with into one place. The last row's name
// keeps a character at least, as "" stands for none.
func (r *chunkRecord) shorten() {
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
	r.Prefix = prefix
	for i := range r.Rows {
		r.Rows[i].Machine = strings.TrimPrefix(r.Rows[i].Machine, prefix)
	}
}

// rowBytes is an upper bound for a row in JSON form: an index of six digits, an
// attempt, a machine name, a group's time and two flags.
const rowBytes = 72

// chunkTasks says how many tasks share a value, leaving a quarter for the rest.
func chunkTasks(valueBytes int) int {
	return max(8, valueBytes*3/4/rowBytes)
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
	if _, err := bounds.JSON(b); err != nil {
		return false
	}
	return msgpack.Unmarshal(b, v) == nil
}

func (s *Spec) record(at time.Time) openRecord {
	return openRecord{
		Workload: s.Workload, Team: s.Team, Standing: s.Standing, Gang: s.Gang, Urgency: int(s.Urgency),
		Tasks: s.Tasks, CPU: s.Need.CPU, GPU: s.Need.GPU, Memory: s.Need.Memory,
		Image: s.Image, ImageGB: s.ImageGB, Flavours: s.Flavours, Zone: s.Zone,
		Same: s.SamePlace, Apart: s.Apart, Spot: s.Spot,
		Expected: s.Expected.Seconds(), SaveEvery: s.SaveEvery.Seconds(), SaveCost: s.SaveCost.Seconds(),
		Due: s.Due.Seconds(), At: at.UnixMilli(), Prereqs: pipeline.Encode(s.Prereqs),
	}
}

func (r *openRecord) spec(id string) Spec {
	return Spec{
		ID: id, Workload: r.Workload, Team: r.Team, Standing: r.Standing, Gang: r.Gang, Urgency: Urgency(r.Urgency),
		Tasks: r.Tasks, Need: Resources{CPU: r.CPU, GPU: r.GPU, Memory: r.Memory}, Image: r.Image, ImageGB: r.ImageGB,
		Flavours: r.Flavours, Zone: r.Zone, SamePlace: r.Same, Apart: r.Apart, Spot: r.Spot,
		Expected: Seconds(r.Expected), SaveEvery: Seconds(r.SaveEvery), SaveCost: Seconds(r.SaveCost),
		Due: Seconds(r.Due), Prereqs: r.needs(),
	}
}

// needs are the jobs that it names; none if they can't be read, which bad tells.
func (r *openRecord) needs() []string {
	names, _ := pipeline.Decode(r.Prereqs)
	return names
}

// Seconds converts a decimal number of seconds at the edge.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func jobID(key, prefix string) string {
	id := strings.TrimPrefix(key, prefix)
	if i := strings.IndexByte(id, '/'); i >= 0 {
		id = id[:i]
	}
	return id
}
