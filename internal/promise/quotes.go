package promise

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxClasses bounds the classes of a team that quotes are kept of.
	maxClasses = 32
	// sizeCount is in how many sizes the jobs of a class are told apart: one task, up to
	// 8, up to 64, and more.
	sizeCount = 4
	// maxWindow is how many of the last finishes of a size count.
	maxWindow = 40
	// What was thought before counts as priorWeight finishes, with priorSpread of their
	// logarithm: times that vary by a third.
	priorWeight = 4
	priorSpread = 0.35
	// unknownFactor is the factor for a class and size of which nothing has been seen:
	// estimates are often wrong by half.
	unknownFactor = 1.7
	// The factor of the finishes is corrected by what became of the dates, by learnStep
	// for one that was broken; the correction, a logarithm, is bounded.
	learnStep     = 0.3
	minCorrection = -0.5
	maxCorrection = 1.2
	// maxRatio bounds how wrong one finish can show the base to be.
	maxRatio = 20
	// A date from revisable on can still be revised before it passes, when it shows that
	// the job takes longer; it needs to be kept as it is in revisableKeepShare of the cases
	// only, and half of the jobs are not promised what the slowest ones need.
	revisableAfter     = MinRevisionInterval + 10*time.Second
	revisableKeepShare = 0.8
	// minBase is the shortest base: what short work and replicas take beside, such as
	// a machine that has to come first, would make many times of a shorter one, and
	// waits are multiplied by that too.
	minBase = 20 * time.Second
	// maxFactor bounds factors, and maxCapacity rooms.
	maxFactor   = 100.0
	maxCapacity = 1e6
)

// Load is how busy it is for a class now: how long a task that comes now waits, for how
// many tasks there is room at a time, and how run times compare with their estimates,
// with their spread as a share.
type Load struct {
	Wait                time.Duration
	FreeCapacity        float64
	RunRatio, RunSpread float64
}

// Quoter learns from the finishes of one team's jobs and quotes dates. The base of a
// quote is reckoned from the load; how finishes compare with their bases, by class and
// size, gives the factor, such that the wanted share of the dates is kept.
type Quoter struct {
	keepShare float64
	classes   map[string]*classState
	seenCount int
}

type classState struct {
	load    Load
	buckets [sizeCount]sizeBucket
	// lastSeen is when it was last seen, in no unit.
	lastSeen int
}

// sizeBucket is what is known of one size: the factor as it was read, the last finishes as
// shares of their bases, and the correction.
type sizeBucket struct {
	prior      float64
	ratios     []float64
	correction float64
}

// NewQuoter learns for dates of which the given share is to be kept.
func NewQuoter(share float64) *Quoter {
	return &Quoter{keepShare: min(max(share, 0.5), 0.99), classes: map[string]*classState{}}
}

func bucketOf(tasks int) int {
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

func (q *Quoter) class(name string) *classState {
	c := q.classes[name]
	if c == nil {
		if len(q.classes) >= maxClasses {
			// The one that was not seen for the longest goes.
			oldest := ""
			for _, k := range slices.Sorted(maps.Keys(q.classes)) {
				if oldest == "" || q.classes[k].lastSeen < q.classes[oldest].lastSeen {
					oldest = k
				}
			}
			delete(q.classes, oldest)
		}
		c = &classState{load: Load{RunRatio: 1}}
		q.classes[name] = c
	}
	q.seenCount++
	c.lastSeen = q.seenCount
	return c
}

// UpdateLoad takes in how busy it is for a class now, and says whether that has grown so much
// that others should hear of it at once.
func (q *Quoter) UpdateLoad(name string, l Load) bool {
	c := q.class(name)
	was := c.load.Wait
	c.load = Load{min(max(l.Wait, 0), MaxDate), min(max(l.FreeCapacity, 0), maxCapacity), clampRatio(l.RunRatio), clampRatio(l.RunSpread)}
	return c.load.Wait > 2*was+5*time.Second
}

func clampRatio(f float64) float64 {
	if !(f > 0) {
		return 0
	}
	return min(f, maxRatio)
}

// Base is how long a job that comes now is expected to take, without its factor. The
// last of many tasks ends later than the usual one, by the spread, and those beyond the
// room wait for the first ones.
func (q *Quoter) Base(j Job) time.Duration {
	l := q.Load(j.Class)
	if j.Standing {
		return min(max(l.Wait+j.FetchTime, minBase), MaxDate)
	}
	run := j.Expected.Seconds() * max(l.RunRatio, 0.05)
	if j.Tasks > 1 {
		run *= 1 + min(l.RunSpread, 1)*math.Sqrt(2*math.Log(float64(j.Tasks)))
	}
	if l.FreeCapacity >= 1 {
		run *= max(1, float64(j.Tasks)/l.FreeCapacity)
	}
	base := l.Wait + j.FetchTime + time.Duration(min(run, MaxDate.Seconds())*float64(time.Second))
	return min(max(base, minBase), MaxDate)
}

// Quote is the date for a job that comes now, and whether its class is known.
func (q *Quoter) Quote(j Job) (time.Duration, bool) {
	c := q.classes[j.Class]
	known := c != nil
	if !known {
		c = &classState{}
	}
	dateFor := func(share float64) time.Duration {
		return time.Duration(min(float64(q.Base(j))*c.factor(bucketOf(j.Tasks), q.keepShare, share), float64(MaxDate)))
	}
	date := dateFor(q.keepShare)
	if date > revisableAfter {
		date = min(date, max(revisableAfter, dateFor(min(q.keepShare, revisableKeepShare))))
	}
	return Round(date), known
}

// factor is that of a size for a share; wanted is the share for which factors are told
// to others. Where few of a size have ended, all of the class tell.
func (c *classState) factor(size int, keepShare, share float64) float64 {
	bucket := &c.buckets[size]
	prior := bucket.prior
	if prior <= 0 {
		all := sizeBucket{prior: unknownFactor}
		heard := 0.0
		for k := range c.buckets {
			all.ratios = append(all.ratios, c.buckets[k].ratios...)
			all.correction += c.buckets[k].correction / sizeCount
			heard = max(heard, c.buckets[k].prior)
		}
		if heard > 0 {
			all.prior = heard
		}
		prior = all.factor(all.prior, keepShare, keepShare)
	}
	return bucket.factor(prior, keepShare, share)
}

// factor is the quantile of the finishes that the share asks for. Few are taken to be
// spread as times mostly are, with a logarithm that is normal, round what was thought
// before; many tell it themselves.
func (x *sizeBucket) factor(prior, keepShare, share float64) float64 {
	normal := func(share float64) float64 { return math.Sqrt2 * math.Erfinv(2*share-1) }
	z := normal(share)
	n := float64(len(x.ratios))
	sum, squares := priorWeight*(math.Log(prior)-normal(keepShare)*priorSpread), 0.0
	for _, r := range x.ratios {
		sum += math.Log(r)
	}
	mean := sum / (priorWeight + n)
	for _, r := range x.ratios {
		squares += (math.Log(r) - mean) * (math.Log(r) - mean)
	}
	f := math.Exp(mean + z*math.Sqrt((priorWeight*priorSpread*priorSpread+squares)/(priorWeight+n)))
	if n*(1-share) >= 1 {
		f = slices.Sorted(slices.Values(x.ratios))[min(int(n)-1, int(math.Ceil((n+1)*share))-1)]
	}
	return min(max(f*math.Exp(x.correction), 1/maxFactor), maxFactor)
}

// LearnFinish learns from a job's end: the base it had when it came, and how long it took.
func (q *Quoter) LearnFinish(j Job, base, took time.Duration) {
	if base <= 0 || took <= 0 {
		return
	}
	x := &q.class(j.Class).buckets[bucketOf(j.Tasks)]
	x.ratios = append(x.ratios, min(max(took.Seconds()/base.Seconds(), 1.0/maxRatio), maxRatio))
	if len(x.ratios) > maxWindow {
		x.ratios = slices.Clone(x.ratios[1:])
	}
}

// LearnOutcome learns from what became of a date, once for each job: at its end, or as soon
// as it is missed. In the long run the share that is wanted is kept, whatever the times
// are like: a broken date moves the factor up by as much as the kept ones that there
// should be for each move it down.
func (q *Quoter) LearnOutcome(j Job, kept bool) {
	x := &q.class(j.Class).buckets[bucketOf(j.Tasks)]
	delta := learnStep * q.keepShare
	if kept {
		delta = -learnStep * (1 - q.keepShare)
	}
	x.correction = min(max(x.correction+delta, minCorrection), maxCorrection)
}

type quotesRecord struct {
	Format  int           `msgpack:"v"`
	Team    string        `msgpack:"o"`
	Classes []storedClass `msgpack:"c"`
}

// storedClass is a class: wait in milliseconds, room, run ratio and its spread and the
// factors in hundredths, 0 for a size that was not seen.
type storedClass struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	WaitMS, Room   int
	Ratio, Dev     int
	F0, F1, F2, F3 int
}

func (c *storedClass) factors() []int { return []int{c.F0, c.F1, c.F2, c.F3} }

// Encode is what others need to quote for the team, in up to limit bytes as JSON: those
// of the classes that were seen last that fit.
func (q *Quoter) Encode(team string, limit int) []byte {
	names := slices.SortedFunc(maps.Keys(q.classes), func(a, b string) int { return q.classes[b].lastSeen - q.classes[a].lastSeen })
	hundred := func(f float64) int { return int(math.Round(100 * f)) }
	r := quotesRecord{Format: formatVersion, Team: team}
	for _, name := range names {
		c := q.classes[name]
		var f [sizeCount]int
		for k := range c.buckets {
			if x := &c.buckets[k]; len(x.ratios) > 0 || x.prior > 0 {
				f[k] = max(1, hundred(c.factor(k, q.keepShare, q.keepShare)))
			}
		}
		r.Classes = append(r.Classes, storedClass{Name: name, WaitMS: int(c.load.Wait.Milliseconds()), Room: int(c.load.FreeCapacity),
			Ratio: hundred(c.load.RunRatio), Dev: hundred(c.load.RunSpread), F0: f[0], F1: f[1], F2: f[2], F3: f[3]})
	}
	for {
		b := encode(r)
		if jsonSize(b) <= limit || len(r.Classes) == 0 {
			return b
		}
		r.Classes = r.Classes[:len(r.Classes)-1]
	}
}

// DecodeQuoter reads what Encode wrote, and whose they are.
func DecodeQuoter(b []byte, share float64) (string, *Quoter, error) {
	var r quotesRecord
	if err := decode(b, &r); err != nil {
		return "", nil, err
	}
	if err := checkFormat(r.Format); err != nil {
		return "", nil, err
	}
	if r.Team == "" || len(r.Team) > maxNameLen || len(r.Classes) > maxClasses {
		return "", nil, fmt.Errorf("%w: fields o, c have %d bytes, %d classes: want 1 to %d, up to %d", errRecord, len(r.Team), len(r.Classes), maxNameLen, maxClasses)
	}
	q := NewQuoter(share)
	for i := len(r.Classes) - 1; i >= 0; i-- {
		x := r.Classes[i]
		invalid := x.Name == "" || len(x.Name) > maxNameLen || x.WaitMS < 0 || x.WaitMS > int(MaxDate.Milliseconds()) || x.Room < 0 || x.Room > maxCapacity
		for _, f := range append(x.factors(), x.Ratio, x.Dev) {
			invalid = invalid || f < 0 || f > 100*maxFactor
		}
		if invalid || q.classes[x.Name] != nil {
			return "", nil, fmt.Errorf("%w: field c[%d]: class %q is named twice or has an amount that is out of bounds", errRecord, i, x.Name)
		}
		c := q.class(x.Name)
		c.load = Load{time.Duration(x.WaitMS) * time.Millisecond, float64(x.Room), clampRatio(float64(x.Ratio) / 100), clampRatio(float64(x.Dev) / 100)}
		for k, f := range x.factors() {
			c.buckets[k].prior = float64(f) / 100
		}
	}
	return r.Team, q, nil
}

// ClearWaitExcept notes that none of the classes but these has work that waits.
func (q *Quoter) ClearWaitExcept(waiting map[string]bool) {
	for name, c := range q.classes {
		if !waiting[name] {
			c.load.Wait = 0
		}
	}
}

// Load is how busy it is for a class, as was last seen.
func (q *Quoter) Load(name string) Load {
	if c := q.classes[name]; c != nil {
		return c.load
	}
	return Load{RunRatio: 1}
}
