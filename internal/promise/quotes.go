package promise

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxClasses bounds the classes of one team that are learnt.
	maxClasses = 32
	// sizeCount is the number of size buckets of a class's jobs: one task, up to 8, up
	// to 64, and more.
	sizeCount = 4
	// maxWindow is how many of a bucket's last finishes count.
	maxWindow = 40
	// The prior factor counts as priorWeight finishes with a standard deviation of
	// priorSpread in their logarithm, as of times that vary by a third.
	priorWeight = 4
	priorSpread = 0.35
	// unknownFactor is the factor of a class and size of which nothing is known:
	// estimates are often wrong by half.
	unknownFactor = 1.7
	// learnStep is by how much a broken date raises the correction of a bucket's factor.
	// The correction is a logarithm, from minCorrection to maxCorrection.
	learnStep     = 0.3
	minCorrection = -0.5
	maxCorrection = 1.2
	// maxRatio bounds the ratio of one finish to its base.
	maxRatio = 20
	// A date from revisableAfter on can still be revised before it passes, when the job
	// turns out to take longer. It needs to be kept unrevised in revisableKeepShare of
	// the cases only, so that half of the jobs don't get the date of the slowest ones.
	revisableAfter     = MinRevisionInterval + 10*time.Second
	revisableKeepShare = 0.8
	// minBase is the shortest base. What short jobs need besides their run time, such as
	// a new machine, is many times a shorter base, and would give a factor by which
	// waiting times are multiplied too.
	minBase = 20 * time.Second
	// maxFactor bounds factors, and maxCapacity free capacity in tasks.
	maxFactor   = 100.0
	maxCapacity = 1e6
)

// Load is the present load for a class.
type Load struct {
	// Wait is how long a task that comes now waits.
	Wait time.Duration
	// FreeCapacity is how many tasks can run at a time; 0 if unknown.
	FreeCapacity float64
	// RunRatio is the mean ratio of run times to their estimates, and RunSpread its
	// standard deviation.
	RunRatio, RunSpread float64
}

// Quoter learns from the finishes of one team's jobs and quotes dates. A quote's base is
// computed from the load. The ratios of finishes to their bases, by class and size, give
// the factor by which the wanted share of dates is kept. It isn't safe for concurrent
// use.
type Quoter struct {
	// keepShare is the share of dates to be kept.
	keepShare float64
	classes   map[string]*classState
	seenCount int
}

type classState struct {
	load    Load
	buckets [sizeCount]sizeBucket
	// lastSeen is the Quoter's seenCount when the class was last seen.
	lastSeen int
}

// sizeBucket is what is known of jobs of one size.
type sizeBucket struct {
	// prior is the factor as another Quoter published it; 0 if none did.
	prior float64
	// ratios are those of the last finishes to their bases, the oldest first.
	ratios []float64
	// correction is added to the factor's logarithm.
	correction float64
}

// NewQuoter returns a Quoter of dates of which keepShare, between 0.5 and 0.99, is to be
// kept.
func NewQuoter(keepShare float64) *Quoter {
	return &Quoter{keepShare: min(max(keepShare, 0.5), 0.99), classes: map[string]*classState{}}
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

// class returns a class's state, which counts as seen. A new one may displace the class
// that was seen least recently.
func (q *Quoter) class(name string) *classState {
	c := q.classes[name]
	if c == nil {
		if len(q.classes) >= maxClasses {
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

// UpdateLoad takes in the present load for a class. It returns true if the wait has grown
// so much that it should be published at once.
func (q *Quoter) UpdateLoad(name string, load Load) bool {
	c := q.class(name)
	was := c.load.Wait
	c.load = Load{min(max(load.Wait, 0), MaxDate), min(max(load.FreeCapacity, 0), maxCapacity), clampRatio(load.RunRatio), clampRatio(load.RunSpread)}
	return c.load.Wait > 2*was+5*time.Second
}

// clampRatio bounds a ratio. It maps NaN to 0.
func clampRatio(ratio float64) float64 {
	if !(ratio > 0) {
		return 0
	}
	return min(ratio, maxRatio)
}

// Base is how long a job that comes now is expected to take, without its factor. The
// last of many tasks ends later than the mean one, by the spread, and tasks beyond the
// free capacity wait for the first ones.
func (q *Quoter) Base(j Job) time.Duration {
	load := q.Load(j.Class)
	if j.Standing {
		return min(max(load.Wait+j.FetchTime, minBase), MaxDate)
	}
	run := j.Expected.Seconds() * max(load.RunRatio, 0.05)
	if j.Tasks > 1 {
		run *= 1 + min(load.RunSpread, 1)*math.Sqrt(2*math.Log(float64(j.Tasks)))
	}
	if load.FreeCapacity >= 1 {
		run *= max(1, float64(j.Tasks)/load.FreeCapacity)
	}
	base := load.Wait + j.FetchTime + time.Duration(min(run, MaxDate.Seconds())*float64(time.Second))
	return min(max(base, minBase), MaxDate)
}

// Quote is the date for a job that comes now, as a time from its submission, and whether
// the class is known.
func (q *Quoter) Quote(j Job) (time.Duration, bool) {
	c := q.classes[j.Class]
	known := c != nil
	if !known {
		c = &classState{}
	}
	dateFor := func(keepShare float64) time.Duration {
		return time.Duration(min(float64(q.Base(j))*c.factor(bucketOf(j.Tasks), q.keepShare, keepShare), float64(MaxDate)))
	}
	date := dateFor(q.keepShare)
	if date > revisableAfter {
		date = min(date, max(revisableAfter, dateFor(min(q.keepShare, revisableKeepShare))))
	}
	return Round(date), known
}

// factor is the factor by which the given share of dates is kept, for a size. publishedShare
// is the share for which published factors hold. Without a published factor for the size
// the finishes of all sizes of the class give the prior.
func (c *classState) factor(size int, publishedShare, share float64) float64 {
	bucket := &c.buckets[size]
	prior := bucket.prior
	if prior <= 0 {
		all := sizeBucket{}
		for k := range c.buckets {
			all.ratios = append(all.ratios, c.buckets[k].ratios...)
			all.correction += c.buckets[k].correction / sizeCount
			all.prior = max(all.prior, c.buckets[k].prior)
		}
		if all.prior == 0 {
			all.prior = unknownFactor
		}
		prior = all.factor(all.prior, publishedShare, publishedShare)
	}
	return bucket.factor(prior, publishedShare, share)
}

// factor is the quantile of the ratios for the share. A few ratios are taken for
// log-normally distributed around the prior, as times mostly are; many give the quantile
// themselves.
func (b *sizeBucket) factor(prior, publishedShare, share float64) float64 {
	normal := func(share float64) float64 { return math.Sqrt2 * math.Erfinv(2*share-1) }
	z := normal(share)
	n := float64(len(b.ratios))
	sum, squares := priorWeight*(math.Log(prior)-normal(publishedShare)*priorSpread), 0.0
	for _, ratio := range b.ratios {
		sum += math.Log(ratio)
	}
	mean := sum / (priorWeight + n)
	for _, ratio := range b.ratios {
		squares += (math.Log(ratio) - mean) * (math.Log(ratio) - mean)
	}
	f := math.Exp(mean + z*math.Sqrt((priorWeight*priorSpread*priorSpread+squares)/(priorWeight+n)))
	if n*(1-share) >= 1 {
		f = slices.Sorted(slices.Values(b.ratios))[min(int(n)-1, int(math.Ceil((n+1)*share))-1)]
	}
	return min(max(f*math.Exp(b.correction), 1/maxFactor), maxFactor)
}

// LearnFinish learns from a job's end: base is what Base returned when the job came, and
// took the time from its submission to its end.
func (q *Quoter) LearnFinish(j Job, base, took time.Duration) {
	if base <= 0 || took <= 0 {
		return
	}
	bucket := &q.class(j.Class).buckets[bucketOf(j.Tasks)]
	bucket.ratios = append(bucket.ratios, min(max(took.Seconds()/base.Seconds(), 1.0/maxRatio), maxRatio))
	if len(bucket.ratios) > maxWindow {
		bucket.ratios = slices.Clone(bucket.ratios[1:])
	}
}

// LearnOutcome learns whether a date was kept, once for each job: at its end, or as soon
// as the date is missed. A broken date raises the factor by as much as the kept ones that
// there should be for each lower it. So the wanted share is kept in the long run,
// whatever the distribution of times.
func (q *Quoter) LearnOutcome(j Job, kept bool) {
	bucket := &q.class(j.Class).buckets[bucketOf(j.Tasks)]
	delta := learnStep * q.keepShare
	if kept {
		delta = -learnStep * (1 - q.keepShare)
	}
	bucket.correction = min(max(bucket.correction+delta, minCorrection), maxCorrection)
}

type quotesRecord struct {
	Format  int           `msgpack:"v"`
	Team    string        `msgpack:"o"`
	Classes []storedClass `msgpack:"c"`
}

// storedClass is a class's load and factors as stored. Room is the free capacity in
// tasks. Ratio and Dev, the run ratio and its spread, and the factors by size are in
// hundredths; a factor of 0 is that of a size that was not seen.
type storedClass struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	WaitMS, Room   int
	Ratio, Dev     int
	F0, F1, F2, F3 int
}

func (c *storedClass) factors() []int { return []int{c.F0, c.F1, c.F2, c.F3} }

// Encode returns what other controllers need to quote for the team, in up to limit bytes
// as JSON: as many classes as fit, the most recently seen first.
func (q *Quoter) Encode(team string, limit int) []byte {
	names := slices.SortedFunc(maps.Keys(q.classes), func(a, b string) int { return q.classes[b].lastSeen - q.classes[a].lastSeen })
	hundredths := func(f float64) int { return int(math.Round(100 * f)) }
	r := quotesRecord{Format: formatVersion, Team: team}
	for _, name := range names {
		c := q.classes[name]
		var factors [sizeCount]int
		for k := range c.buckets {
			if bucket := &c.buckets[k]; len(bucket.ratios) > 0 || bucket.prior > 0 {
				factors[k] = max(1, hundredths(c.factor(k, q.keepShare, q.keepShare)))
			}
		}
		r.Classes = append(r.Classes, storedClass{Name: name, WaitMS: int(c.load.Wait.Milliseconds()), Room: int(c.load.FreeCapacity),
			Ratio: hundredths(c.load.RunRatio), Dev: hundredths(c.load.RunSpread), F0: factors[0], F1: factors[1], F2: factors[2], F3: factors[3]})
	}
	for {
		b := encode(r)
		if jsonSize(b) <= limit || len(r.Classes) == 0 {
			return b
		}
		r.Classes = r.Classes[:len(r.Classes)-1]
	}
}

// DecodeQuoter reads what Encode wrote. It returns the team and its Quoter. The error
// wraps ErrFormat if another version wrote it.
func DecodeQuoter(b []byte, keepShare float64) (string, *Quoter, error) {
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
	q := NewQuoter(keepShare)
	for i := len(r.Classes) - 1; i >= 0; i-- {
		stored := r.Classes[i]
		if !stored.isValid() || q.classes[stored.Name] != nil {
			return "", nil, fmt.Errorf("%w: field c[%d]: class %q is named twice or has an amount that is out of bounds", errRecord, i, stored.Name)
		}
		c := q.class(stored.Name)
		c.load = Load{time.Duration(stored.WaitMS) * time.Millisecond, float64(stored.Room), clampRatio(float64(stored.Ratio) / 100), clampRatio(float64(stored.Dev) / 100)}
		for k, f := range stored.factors() {
			c.buckets[k].prior = float64(f) / 100
		}
	}
	return r.Team, q, nil
}

// isValid says whether the name and all numbers are within their bounds.
func (c *storedClass) isValid() bool {
	for _, f := range append(c.factors(), c.Ratio, c.Dev) {
		if f < 0 || f > 100*maxFactor {
			return false
		}
	}
	return c.Name != "" && len(c.Name) <= maxNameLen && c.WaitMS >= 0 && c.WaitMS <= int(MaxDate.Milliseconds()) && c.Room >= 0 && c.Room <= maxCapacity
}

// ClearWaitExcept notes that only these classes have waiting jobs.
func (q *Quoter) ClearWaitExcept(waiting map[string]bool) {
	for name, c := range q.classes {
		if !waiting[name] {
			c.load.Wait = 0
		}
	}
}

// Load is the last known load for a class.
func (q *Quoter) Load(name string) Load {
	if c := q.classes[name]; c != nil {
		return c.load
	}
	return Load{RunRatio: 1}
}
