package message

import "github.com/micahill/micahill/internal/promise"

// PromiseTotals summarizes the outcomes of the promised completion dates of all jobs, for the
// metrics.
type PromiseTotals struct {
	// Sum has the totals of all teams and classes.
	Sum promise.Row
	// MedianRatio is the median ratio of the promised to the actual duration, 0 while there is
	// none.
	MedianRatio float64
}

func (PromiseTotals) effect() {}

// QueryPromises requests the promised completion dates, for operators. A PromiseReply answers it.
type QueryPromises struct {
	Reply uint64
	// Job limits the answer to one job, and Class to the jobs of a workload; "" sets no limit.
	Job, Class string
	// OnlyAtRisk omits the dates that are expected to be met.
	OnlyAtRisk bool
}

func (QueryPromises) command() {}

// PromiseReply answers a QueryPromises.
type PromiseReply struct {
	Reply uint64 `json:"-"`
	// OK is false if the controller could read nothing; the other fields are then empty.
	OK bool `json:"-"`
	// Host is the controller that answers.
	Host string `json:"host"`
	// Revision is the revision of the state service at which the totals were read.
	Revision uint64 `json:"revision"`
	// MedianRatio is the median ratio of the promised to the actual duration, 0 while there is
	// none.
	MedianRatio float64 `json:"median_ratio"`
	// PromisedAtAccept counts the jobs that had a date when they were accepted.
	PromisedAtAccept int `json:"with_first_answer"`
	// Sum has the totals of all ended jobs, and Rows the totals by team and class.
	Sum  PromiseRow   `json:"sum"`
	Rows []PromiseRow `json:"rows"`
	// Open are the dates of jobs that have not ended. Omitted is the number of such dates that
	// the answer leaves out.
	Open    []OpenPromise `json:"open"`
	Omitted int           `json:"left_out,omitempty"`
}

func (PromiseReply) effect() {}

// PromiseRow has the totals of a team's jobs of a class.
type PromiseRow struct {
	Team  string `json:"team"`
	Class string `json:"class"`
	// Ended counts the jobs, and Made the jobs with a date. Of the latter, Kept counts the jobs
	// whose date was met, Broken those whose date was missed, and Revised those whose date was
	// changed.
	Ended   int `json:"ended"`
	Made    int `json:"made"`
	Kept    int `json:"kept"`
	Broken  int `json:"broken"`
	Revised int `json:"revised"`
	// WorstSeconds is the largest delay after a date.
	WorstSeconds float64 `json:"worst_s"`
}

// OpenPromise is the promised date of a job that has not ended, or of the job that the query names.
type OpenPromise struct {
	Job   string `json:"job"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// State is the job's state, as users see it.
	State string `json:"state"`
	// PromisedSeconds is the date, in seconds after the submission.
	PromisedSeconds float64 `json:"promised_s"`
	// Revision is the number of dates that the job has had, including this date; 0 while there is
	// none. Reason is why this date differs from the previous date.
	Revision int    `json:"promise_rev"`
	Reason   string `json:"why"`
	// AgeSeconds is the time from the submission until now or, for an ended job, until its end.
	AgeSeconds float64 `json:"age_s"`
	// AtRisk is true if the date has passed or is expected to be missed.
	AtRisk bool `json:"at_risk"`
}
