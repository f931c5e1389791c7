package promise

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// classesMost bounds the classes of a team that quotes are kept of.
	classesMost = 32
	// sizes is in how many sizes the jobs of a class are told apart: one task, up to
	// 8, up to 64, and more.
	sizes = 4
	// windowMost is how many of the last finishes of a size count.
	windowMost = 40
	// What was thought before counts as priorWeight finishes, with priorSpread of their
	// logarithm: times that vary by a third.
	priorWeight = 4
	priorSpread = 0.35
	// unknown is the factor for a class and size of which nothing has been seen:
	// estimates are often wrong by half.
	unknown = 1.7
	// The factor of the finishes is corrected by what became of the dates, by learnStep
	// for one that was broken; the correction, a logarithm, is bounded.
	learnStep   = 0.3
	correctLow  = -0.5
	correctHigh = 1.2
	// ratioMost bounds how wrong one finish can show the base to be.
	ratioMost = 20
	// A date from revisable on can still be revised before it passes, when it shows that
	// the job takes longer; it needs to be kept as it is in revisedShare of the cases
	// only, and half of the jobs are not promised what the slowest ones need.
	revisable    = Apart + 10*time.Second
	revisedShare = 0.8
	// baseLeast is the shortest base: what short work and replicas take beside, such as
	// a machine that has to come first, would make many times of a shorter one, and
	// waits are multiplied by that too.
	baseLeast = 20 * time.Second
	// factorMost bounds factors, and roomMost rooms.
	factorMost = 100.0
	roomMost   = 1e6
)

// Load is how busy it is for a class now: how long a task that comes now waits, for how
// many tasks there is room at a time, and how run times compare with their estimates,
// with their spread as a share.
type Load struct {
	Wait       time.Duration
	Room       float64
	Ratio, Dev float64
}

// Quotes learns from the finishes of one team's jobs and quotes dates. The base of a
// quote is reckoned from the load; how finishes compare with their bases, by class and
// size, gives the factor, such that the wanted share of the dates is kept.
type Quotes struct {
	share   float64
	classes map[string]*class
	turn    int
}

type class struct {
	load  Load
	cells [sizes]cell
	// turn is when it was last seen, in no unit.
	turn int
}

// cell is what is known of one size: the factor as it was read, the last finishes as
// shares of their bases, and the correction.
type cell struct {
	prior   float64
	window  []float64
	correct float64
}

// NewQuotes learns for dates of which the given share is to be kept.
func NewQuotes(share float64) *Quotes {
	return &Quotes{share: min(max(share, 0.5), 0.99), classes: map[string]*class{}}
}

func sizeOf(tasks int) int {
	switch {
	case tasks <= 1:
		return 0
	case tasks <= 8:
		return 1
	case tasks <= 64:
		return 2
	}
	return 3
}

func (q *Quotes) class(name string) *class {
	c := q.classes[name]
	if c == nil {
		if len(q.classes) >= classesMost {
			// The one that was not seen for the longest goes.
			oldest := ""
			for _, k := range slices.Sorted(maps.Keys(q.classes)) {
				if oldest == "" || q.classes[k].turn < q.classes[oldest].turn {
					oldest = k
				}
			}
			delete(q.classes, oldest)
		}
		c = &class{load: Load{Ratio: 1}}
		q.classes[name] = c
	}
	q.turn++
	c.turn = q.turn
	return c
}

// See takes in how busy it is for a class now, and says whether that has grown so much
// that others should hear of it at once.
func (q *Quotes) See(name string, l Load) bool {
	c := q.class(name)
	was := c.load.Wait
	c.load = Load{min(max(l.Wait, 0), Longest), min(max(l.Room, 0), roomMost), clampRatio(l.Ratio), clampRatio(l.Dev)}
	return c.load.Wait > 2*was+5*time.Second
}

func clampRatio(f float64) float64 {
	if !(f > 0) {
		return 0
	}
	return min(f, ratioMost)
}

// Base is how long a job that comes now is expected to take, without its factor. The
// last of many tasks ends later than the usual one, by the spread, and those beyond the
// room wait for the first ones.
func (q *Quotes) Base(j Job) time.Duration {
	l := q.Load(j.Class)
	if j.Standing {
		return min(max(l.Wait+j.Fetch, baseLeast), Longest)
	}
	run := j.Expected.Seconds() * max(l.Ratio, 0.05)
	if j.Tasks > 1 {
		run *= 1 + min(l.Dev, 1)*math.Sqrt(2*math.Log(float64(j.Tasks)))
	}
	if l.Room >= 1 {
		run *= max(1, float64(j.Tasks)/l.Room)
	}
	base := l.Wait + j.Fetch + time.Duration(min(run, Longest.Seconds())*float64(time.Second))
	return min(max(base, baseLeast), Longest)
}

// Quote is the date for a job that comes now, and whether its class is known.
func (q *Quotes) Quote(j Job) (time.Duration, bool) {
	c := q.classes[j.Class]
	known := c != nil
	if !known {
		c = &class{}
	}
	at := func(share float64) time.Duration {
		return time.Duration(min(float64(q.Base(j))*c.factor(sizeOf(j.Tasks), q.share, share), float64(Longest)))
	}
	date := at(q.share)
	if date > revisable {
		date = min(date, max(revisable, at(min(q.share, revisedShare))))
	}
	return Round(date), known
}

// factor is that of a size for a share; wanted is the share for which factors are told
// to others. Where few of a size have ended, all of the class tell.
func (c *class) factor(size int, wanted, share float64) float64 {
	x := &c.cells[size]
	prior := x.prior
	if prior <= 0 {
		all := cell{prior: unknown}
		heard := 0.0
		for k := range c.cells {
			all.window = append(all.window, c.cells[k].window...)
			all.correct += c.cells[k].correct / sizes
			heard = max(heard, c.cells[k].prior)
		}
		if heard > 0 {
			all.prior = heard
		}
		prior = all.factor(all.prior, wanted, wanted)
	}
	return x.factor(prior, wanted, share)
}

// factor is the quantile of the finishes that the share asks for. Few are taken to be
// spread as times mostly are, with a logarithm that is normal, round what was thought
// before; many tell it themselves.
func (x *cell) factor(prior, wanted, share float64) float64 {
	normal := func(share float64) float64 { return math.Sqrt2 * math.Erfinv(2*share-1) }
	z := normal(share)
	n := float64(len(x.window))
	sum, squares := priorWeight*(math.Log(prior)-normal(wanted)*priorSpread), 0.0
	for _, r := range x.window {
		sum += math.Log(r)
	}
	mean := sum / (priorWeight + n)
	for _, r := range x.window {
		squares += (math.Log(r) - mean) * (math.Log(r) - mean)
	}
	f := math.Exp(mean + z*math.Sqrt((priorWeight*priorSpread*priorSpread+squares)/(priorWeight+n)))
	if n*(1-share) >= 1 {
		f = slices.Sorted(slices.Values(x.window))[min(int(n)-1, int(math.Ceil((n+1)*share))-1)]
	}
	return min(max(f*math.Exp(x.correct), 1/factorMost), factorMost)
}

// Finished learns from a job's end: the base it had when it came, and how long it took.
func (q *Quotes) Finished(j Job, base, took time.Duration) {
	if base <= 0 || took <= 0 {
		return
	}
	x := &q.class(j.Class).cells[sizeOf(j.Tasks)]
	x.window = append(x.window, min(max(took.Seconds()/base.Seconds(), 1.0/ratioMost), ratioMost))
	if len(x.window) > windowMost {
		x.window = slices.Clone(x.window[1:])
	}
}

// Outcome learns from what became of a date, once for each job: at its end, or as soon
// as it is missed. In the long run the share that is wanted is kept, whatever the times
// are like: a broken date moves the factor up by as much as the kept ones that there
// should be for each move it down.
func (q *Quotes) Outcome(j Job, kept bool) {
	x := &q.class(j.Class).cells[sizeOf(j.Tasks)]
	d := learnStep * q.share
	if kept {
		d = -learnStep * (1 - q.share)
	}
	x.correct = min(max(x.correct+d, correctLow), correctHigh)
}

type quotesRecord struct {
	V       int          `msgpack:"v"`
	Team    string       `msgpack:"o"`
	Classes []classQuote `msgpack:"c"`
}

// classQuote is a class: wait in milliseconds, room, run ratio and its spread and the
// factors in hundredths, 0 for a size that was not seen.
type classQuote struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	WaitMS, Room   int
	Ratio, Dev     int
	F0, F1, F2, F3 int
}

func (c *classQuote) factors() []int { return []int{c.F0, c.F1, c.F2, c.F3} }

// Encode is what others need to quote for the team, in up to limit bytes as JSON: those
// of the classes that were seen last that fit.
func (q *Quotes) Encode(team string, limit int) []byte {
	names := slices.SortedFunc(maps.Keys(q.classes), func(a, b string) int { return q.classes[b].turn - q.classes[a].turn })
	hundred := func(f float64) int { return int(math.Round(100 * f)) }
	r := quotesRecord{V: form, Team: team}
	for _, name := range names {
		c := q.classes[name]
		var f [sizes]int
		for k := range c.cells {
			if x := &c.cells[k]; len(x.window) > 0 || x.prior > 0 {
				f[k] = max(1, hundred(c.factor(k, q.share, q.share)))
			}
		}
		r.Classes = append(r.Classes, classQuote{Name: name, WaitMS: int(c.load.Wait.Milliseconds()), Room: int(c.load.Room),
			Ratio: hundred(c.load.Ratio), Dev: hundred(c.load.Dev), F0: f[0], F1: f[1], F2: f[2], F3: f[3]})
	}
	for {
		b := encode(r)
		if size(b) <= limit || len(r.Classes) == 0 {
			return b
		}
		r.Classes = r.Classes[:len(r.Classes)-1]
	}
}

// DecodeQuotes reads what Encode wrote, and whose they are.
func DecodeQuotes(b []byte, share float64) (string, *Quotes, error) {
	var r quotesRecord
	if err := decode(b, &r); err != nil {
		return "", nil, err
	}
	if err := checkForm(r.V); err != nil {
		return "", nil, err
	}
	if r.Team == "" || len(r.Team) > nameMost || len(r.Classes) > classesMost {
		return "", nil, fmt.Errorf("%w: fields o, c have %d bytes, %d classes: want 1 to %d, up to %d", errRecord, len(r.Team), len(r.Classes), nameMost, classesMost)
	}
	q := NewQuotes(share)
	for i := len(r.Classes) - 1; i >= 0; i-- {
		x := r.Classes[i]
		bad := x.Name == "" || len(x.Name) > nameMost || x.WaitMS < 0 || x.WaitMS > int(Longest.Milliseconds()) || x.Room < 0 || x.Room > roomMost
		for _, f := range append(x.factors(), x.Ratio, x.Dev) {
			bad = bad || f < 0 || f > 100*factorMost
		}
		if bad || q.classes[x.Name] != nil {
			return "", nil, fmt.Errorf("%w: field c[%d]: class %q is named twice or has an amount that is out of bounds", errRecord, i, x.Name)
		}
		c := q.class(x.Name)
		c.load = Load{time.Duration(x.WaitMS) * time.Millisecond, float64(x.Room), clampRatio(float64(x.Ratio) / 100), clampRatio(float64(x.Dev) / 100)}
		for k, f := range x.factors() {
			c.cells[k].prior = float64(f) / 100
		}
	}
	return r.Team, q, nil
}

// Quiet notes that none of the classes but these has work that waits.
func (q *Quotes) Quiet(but map[string]bool) {
	for name, c := range q.classes {
		if !but[name] {
			c.load.Wait = 0
		}
	}
}

// Load is how busy it is for a class, as was last seen.
func (q *Quotes) Load(name string) Load {
	if c := q.classes[name]; c != nil {
		return c.load
	}
	return Load{Ratio: 1}
}
