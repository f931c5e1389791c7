package promise

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxClasses is how many classes of one team a Quoter keeps.
	maxClasses = 32
	// sizeCount is the number of size buckets of a class's jobs: one task, up to 8, up
	// to 64, and more.
	sizeCount = 4
	// maxWindow is how many of the last finishes of a bucket count.
	maxWindow = 40
	// priorWeight is how many finishes the prior factor counts as, and priorSpread the
	// standard deviation of their ratios' logarithm. The spread is that of times that vary
	// by a third.
	priorWeight = 4
	priorSpread = 0.35
	// unknownFactor is the factor of a class and size with neither finishes nor a
	// published factor. Estimates are often wrong by half.
	unknownFactor = 1.7
	// learnStep is by how much broken and kept dates change the correction of a bucket's
	// factor, see LearnOutcome. The correction is added to the factor's logarithm and
	// stays between minCorrection and maxCorrection.
	learnStep     = 0.3
	minCorrection = -0.5
	maxCorrection = 1.2
	// maxRatio is the largest ratio of a finish to its base that counts, and its inverse
	// the smallest.
	maxRatio = 20
	// revisableAfter is the shortest date that can still be revised before it passes, if
	// the job turns out to take longer. Such a date needs to be kept unrevised in only
	// revisableKeepShare of the cases, so that half of the jobs don't get the date of the
	// slowest ones.
	revisableAfter     = MinRevisionInterval + 10*time.Second
	revisableKeepShare = 0.8
	// minBase is the shortest base. Short jobs need many times their run time for other
	// reasons, such as a new machine. A shorter base would give a large factor, by which
	// waiting times would be multiplied too.
	minBase = 20 * time.Second
	// maxFactor is the largest factor and its inverse the smallest. maxCapacity is the
	// largest free capacity, in tasks.
	maxFactor   = 100.0
	maxCapacity = 1e6
)

// Load is the current load for a class.
type Load struct {
	// Wait is how long a task that arrives now waits until it is placed.
	Wait time.Duration
	// FreeCapacity is how many tasks can run at the same time; 0 if unknown.
	FreeCapacity float64
	// RunRatio is the mean ratio of run times to their estimates, and RunSpread its
	// standard deviation.
	RunRatio, RunSpread float64
}

// Quoter quotes dates for one team's jobs, and learns from the finishes of these jobs. A
// finish is the time from a job's submission to its end. A quote is a base times a factor.
// The base is calculated from the load and the job's expected run time. The factor is the
// ratio of finishes to their bases at which the wanted share of dates is kept, by class
// and size. A Quoter isn't safe for concurrent use.
type Quoter struct {
	// keepShare is the share of dates to be kept, from 0.5 to 0.99.
	keepShare float64
	classes   map[string]*classState
	// seenCount counts the uses of classes, to find the least recently seen class.
	seenCount int
}

// classState is what a Quoter has learned about a class.
type classState struct {
	load    Load
	buckets [sizeCount]sizeBucket
	// lastSeen is the Quoter's seenCount when the class was last seen.
	lastSeen int
}

// sizeBucket is what a Quoter has learned about jobs of one class and size.
type sizeBucket struct {
	// prior is the factor that another controller's Quoter published; 0 if none did.
	prior float64
	// ratios are the ratios of the last finishes to their bases, the oldest first.
	ratios []float64
	// correction is added to the factor's logarithm.
	correction float64
}

// NewQuoter returns a Quoter that is to keep a share of keepShare of its dates, limited to
// 0.5 to 0.99.
func NewQuoter(keepShare float64) *Quoter {
	return &Quoter{keepShare: min(max(keepShare, 0.5), 0.99), classes: map[string]*classState{}}
}

// bucketOf returns the index of the size bucket of a job with that many tasks.
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

// class returns a class's state and marks the class as seen. A new class may displace the
// class that was seen least recently.
func (quoter *Quoter) class(name string) *classState {
	class := quoter.classes[name]
	if class == nil {
		if len(quoter.classes) >= maxClasses {
			oldest := ""
			for _, candidate := range slices.Sorted(maps.Keys(quoter.classes)) {
				if oldest == "" || quoter.classes[candidate].lastSeen < quoter.classes[oldest].lastSeen {
					oldest = candidate
				}
			}
			delete(quoter.classes, oldest)
		}
		class = &classState{load: Load{RunRatio: 1}}
		quoter.classes[name] = class
	}
	quoter.seenCount++
	class.lastSeen = quoter.seenCount
	return class
}

// UpdateLoad sets the current load for a class. It returns true if the wait has grown so
// much that the load should be published at once.
func (quoter *Quoter) UpdateLoad(name string, load Load) bool {
	class := quoter.class(name)
	previousWait := class.load.Wait
	class.load = Load{min(max(load.Wait, 0), MaxDate), min(max(load.FreeCapacity, 0), maxCapacity), clampRatio(load.RunRatio), clampRatio(load.RunSpread)}
	return class.load.Wait > 2*previousWait+5*time.Second
}

// clampRatio bounds a ratio. It maps NaN to 0.
func clampRatio(ratio float64) float64 {
	if !(ratio > 0) {
		return 0
	}
	return min(ratio, maxRatio)
}

// Base returns how long a job that arrives now is expected to take, before the factor is
// applied. The last of many tasks ends later than the mean task, according to the spread,
// and tasks beyond the free capacity wait for the first ones to end.
func (quoter *Quoter) Base(job Job) time.Duration {
	load := quoter.Load(job.Class)
	if job.LongRunning {
		return min(max(load.Wait+job.FetchTime, minBase), MaxDate)
	}
	runSeconds := job.Expected.Seconds() * max(load.RunRatio, 0.05)
	if job.Tasks > 1 {
		runSeconds *= 1 + min(load.RunSpread, 1)*math.Sqrt(2*math.Log(float64(job.Tasks)))
	}
	if load.FreeCapacity >= 1 {
		runSeconds *= max(1, float64(job.Tasks)/load.FreeCapacity)
	}
	base := load.Wait + job.FetchTime + time.Duration(min(runSeconds, MaxDate.Seconds())*float64(time.Second))
	return min(max(base, minBase), MaxDate)
}

// Quote returns the date for a job that arrives now, as a time from its submission, and
// whether the class is known.
func (quoter *Quoter) Quote(job Job) (time.Duration, bool) {
	class := quoter.classes[job.Class]
	known := class != nil
	if !known {
		class = &classState{}
	}
	dateFor := func(keepShare float64) time.Duration {
		return time.Duration(min(float64(quoter.Base(job))*class.factor(bucketOf(job.Tasks), quoter.keepShare, keepShare), float64(MaxDate)))
	}
	date := dateFor(quoter.keepShare)
	if date > revisableAfter {
		date = min(date, max(revisableAfter, dateFor(min(quoter.keepShare, revisableKeepShare))))
	}
	return Round(date), known
}

// factor returns the factor at which the given share of dates is kept, for jobs of a size
// bucket. publishedShare is the share for which published factors were calculated. If no
// factor was published for the size, the finishes of all sizes of the class give the
// prior.
func (class *classState) factor(size int, publishedShare, share float64) float64 {
	bucket := &class.buckets[size]
	prior := bucket.prior
	if prior <= 0 {
		all := sizeBucket{}
		for k := range class.buckets {
			all.ratios = append(all.ratios, class.buckets[k].ratios...)
			all.correction += class.buckets[k].correction / sizeCount
			all.prior = max(all.prior, class.buckets[k].prior)
		}
		if all.prior == 0 {
			all.prior = unknownFactor
		}
		prior = all.factor(all.prior, publishedShare, publishedShare)
	}
	return bucket.factor(prior, publishedShare, share)
}

// factor returns the quantile of the ratios for the share. A few ratios are treated as
// log-normally distributed around the prior, as times mostly are; with many ratios their
// own quantile is used.
func (bucket *sizeBucket) factor(prior, publishedShare, share float64) float64 {
	normal := func(share float64) float64 { return math.Sqrt2 * math.Erfinv(2*share-1) }
	z := normal(share)
	count := float64(len(bucket.ratios))
	sum, squares := priorWeight*(math.Log(prior)-normal(publishedShare)*priorSpread), 0.0
	for _, ratio := range bucket.ratios {
		sum += math.Log(ratio)
	}
	mean := sum / (priorWeight + count)
	for _, ratio := range bucket.ratios {
		squares += (math.Log(ratio) - mean) * (math.Log(ratio) - mean)
	}
	factor := math.Exp(mean + z*math.Sqrt((priorWeight*priorSpread*priorSpread+squares)/(priorWeight+count)))
	if count*(1-share) >= 1 {
		factor = slices.Sorted(slices.Values(bucket.ratios))[min(int(count)-1, int(math.Ceil((count+1)*share))-1)]
	}
	return min(max(factor*math.Exp(bucket.correction), 1/maxFactor), maxFactor)
}

// LearnFinish adds the ratio of a job that has ended. base is what Base returned when the
// job arrived, and took is the time from its submission to its end.
func (quoter *Quoter) LearnFinish(job Job, base, took time.Duration) {
	if base <= 0 || took <= 0 {
		return
	}
	bucket := &quoter.class(job.Class).buckets[bucketOf(job.Tasks)]
	bucket.ratios = append(bucket.ratios, min(max(took.Seconds()/base.Seconds(), 1.0/maxRatio), maxRatio))
	if len(bucket.ratios) > maxWindow {
		bucket.ratios = slices.Clone(bucket.ratios[1:])
	}
}

// LearnOutcome adjusts the factor by whether a date was kept. It is called once per job:
// at the job's end, or as soon as the date is missed. A kept date lowers the factor. A
// broken date raises it by as much as all kept dates lower it that are wanted for each
// broken date. So the wanted share is kept in the long run, whatever the distribution of
// times.
func (quoter *Quoter) LearnOutcome(job Job, kept bool) {
	bucket := &quoter.class(job.Class).buckets[bucketOf(job.Tasks)]
	delta := learnStep * quoter.keepShare
	if kept {
		delta = -learnStep * (1 - quoter.keepShare)
	}
	bucket.correction = min(max(bucket.correction+delta, minCorrection), maxCorrection)
}

// quotesRecord is the quotes of one team as stored and published.
type quotesRecord struct {
	Format  int           `msgpack:"v"`
	Team    string        `msgpack:"o"`
	Classes []storedClass `msgpack:"c"`
}

// storedClass is a class's load and factors as stored. Room is the free capacity in tasks.
// Ratio and Dev, the run ratio and its spread, and the factors F0 to F3 by size are in
// hundredths; a factor of 0 means that no job of the size was seen.
type storedClass struct {
	//lint:ignore U1000 its tag makes the encoder store rows as lists
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	WaitMS, Room   int
	Ratio, Dev     int
	F0, F1, F2, F3 int
}

// factors returns the factors by size.
func (class *storedClass) factors() []int { return []int{class.F0, class.F1, class.F2, class.F3} }

// Encode returns what other controllers need to quote dates for the team, in up to limit
// bytes as JSON. It has as many classes as fit, the most recently seen first.
func (quoter *Quoter) Encode(team string, limit int) []byte {
	names := slices.SortedFunc(maps.Keys(quoter.classes), func(a, value string) int { return quoter.classes[value].lastSeen - quoter.classes[a].lastSeen })
	hundredths := func(f float64) int { return int(math.Round(100 * f)) }
	rec := quotesRecord{Format: formatVersion, Team: team}
	for _, name := range names {
		class := quoter.classes[name]
		var factors [sizeCount]int
		for k := range class.buckets {
			if bucket := &class.buckets[k]; len(bucket.ratios) > 0 || bucket.prior > 0 {
				factors[k] = max(1, hundredths(class.factor(k, quoter.keepShare, quoter.keepShare)))
			}
		}
		rec.Classes = append(rec.Classes, storedClass{Name: name, WaitMS: int(class.load.Wait.Milliseconds()), Room: int(class.load.FreeCapacity),
			Ratio: hundredths(class.load.RunRatio), Dev: hundredths(class.load.RunSpread), F0: factors[0], F1: factors[1], F2: factors[2], F3: factors[3]})
	}
	for {
		value := encode(rec)
		if jsonSize(value) <= limit || len(rec.Classes) == 0 {
			return value
		}
		rec.Classes = rec.Classes[:len(rec.Classes)-1]
	}
}

// DecodeQuoter decodes what Encode returned, and returns the team and its Quoter. The
// error wraps ErrFormat if the record has another format version.
func DecodeQuoter(value []byte, keepShare float64) (string, *Quoter, error) {
	var rec quotesRecord
	if err := decode(value, &rec); err != nil {
		return "", nil, err
	}
	if err := checkFormat(rec.Format); err != nil {
		return "", nil, err
	}
	if rec.Team == "" || len(rec.Team) > maxNameLen || len(rec.Classes) > maxClasses {
		return "", nil, fmt.Errorf("%w: fields o, c have %d bytes, %d classes: want 1 to %d, up to %d", errDamagedRecord, len(rec.Team), len(rec.Classes), maxNameLen, maxClasses)
	}
	quoter := NewQuoter(keepShare)
	for i := len(rec.Classes) - 1; i >= 0; i-- {
		stored := rec.Classes[i]
		if !stored.isValid() || quoter.classes[stored.Name] != nil {
			return "", nil, fmt.Errorf("%w: field c[%d]: class %q is listed twice, or its name or a number is out of bounds", errDamagedRecord, i, stored.Name)
		}
		class := quoter.class(stored.Name)
		class.load = Load{time.Duration(stored.WaitMS) * time.Millisecond, float64(stored.Room), clampRatio(float64(stored.Ratio) / 100), clampRatio(float64(stored.Dev) / 100)}
		for k, factor := range stored.factors() {
			class.buckets[k].prior = float64(factor) / 100
		}
	}
	return rec.Team, quoter, nil
}

// isValid reports whether the name and all numbers are within their bounds.
func (class *storedClass) isValid() bool {
	for _, number := range append(class.factors(), class.Ratio, class.Dev) {
		if number < 0 || number > 100*maxFactor {
			return false
		}
	}
	return class.Name != "" && len(class.Name) <= maxNameLen && class.WaitMS >= 0 && class.WaitMS <= int(MaxDate.Milliseconds()) && class.Room >= 0 && class.Room <= maxCapacity
}

// ClearWaitExcept sets the wait of all other classes to 0. The caller passes all classes
// with open jobs.
func (quoter *Quoter) ClearWaitExcept(waiting map[string]bool) {
	for name, class := range quoter.classes {
		if !waiting[name] {
			class.load.Wait = 0
		}
	}
}

// Load returns the last known load for a class.
func (quoter *Quoter) Load(name string) Load {
	if class := quoter.classes[name]; class != nil {
		return class.load
	}
	return Load{RunRatio: 1}
}
