package message

import "github.com/micahill/micahill/internal/promise"

// PromiseTotals is what became of the promised dates of all jobs, for the metrics.
type PromiseTotals struct {
	Sum promise.Row
	// MedianRatio is the median of promised to actual duration, 0 while there is none.
	MedianRatio float64
}

func (PromiseTotals) effect() {}

// QueryPromises asks for the promised dates, for operators. A PromiseReply answers it.
type QueryPromises struct {
	Reply uint64
	// Job and Class limit the answer to one job, and to a workload's jobs.
	Job, Class string
	// OnlyAtRisk leaves out the dates that will be kept, as far as is known.
	OnlyAtRisk bool
}

func (QueryPromises) command() {}

// PromiseReply answers a QueryPromises.
type PromiseReply struct {
	Reply uint64 `json:"-"`
	// OK is false if nothing could be read; the rest is then empty.
	OK bool `json:"-"`
	// Host is the controller that answers.
	Host string `json:"host"`
	// Revision is the state service's revision as of which the totals are.
	Revision uint64 `json:"revision"`
	// MedianRatio is the median of promised to actual duration, 0 while there is none.
	MedianRatio float64 `json:"median_ratio"`
	// PromisedAtAccept counts the dates that were there when their job was accepted.
	PromisedAtAccept int `json:"with_first_answer"`
	// Sum and Rows are the totals of jobs that are over, of all and by team and class.
	Sum  PromiseRow   `json:"sum"`
	Rows []PromiseRow `json:"rows"`
	// Open are the dates of jobs that are not over, and Omitted how many more there are.
	Open    []OpenPromise `json:"open"`
	Omitted int           `json:"left_out,omitempty"`
}

func (PromiseReply) effect() {}

// PromiseRow has the totals of a team's jobs of a class.
type PromiseRow struct {
	Team  string `json:"team"`
	Class string `json:"class"`
	// Ended counts the jobs, Made those with a date, and Kept, Broken and Revised those whose
	// date was met, missed and changed.
	Ended   int `json:"ended"`
	Made    int `json:"made"`
	Kept    int `json:"kept"`
	Broken  int `json:"broken"`
	Revised int `json:"revised"`
	// WorstSeconds is by how much a date was missed at worst.
	WorstSeconds float64 `json:"worst_s"`
}

// OpenPromise is the promised date of a job that is not over, or of the job that was asked for.
type OpenPromise struct {
	Job   string `json:"job"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// State is the job's, as users see it.
	State string `json:"state"`
	// PromisedSeconds is the date, in seconds after the submission.
	PromisedSeconds float64 `json:"promised_s"`
	// Revision counts the dates up to this one, 0 while there is none. Reason is why it
	// differs from the one before.
	Revision int    `json:"promise_rev"`
	Reason   string `json:"why"`
	// AgeSeconds is the time since the submission, to the end of a job that is over.
	AgeSeconds float64 `json:"age_s"`
	// AtRisk says that the date has passed, or is expected to be missed.
	AtRisk bool `json:"at_risk"`
}
