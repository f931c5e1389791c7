package message

import (
	"github.com/micahill/micahill/internal/promise"
)

// PromiseTotals tells the shell what has become of the dates, for its metrics.
type PromiseTotals struct {
	Sum         promise.Row
	MedianRatio float64
}

func (PromiseTotals) effect() {}

// QueryPromises asks for the dates, for operators: of one class or job, or only those
// that are about to be missed.
type QueryPromises struct {
	Reply      uint64
	Job, Class string
	OnlyAtRisk bool
}

func (QueryPromises) command() {}

// PromiseReply is the answer. Rows are the totals as of revision Rev, of all classes,
// and Open the dates of jobs that are not over, those due first. Left out counts what is
// beyond the bound.
type PromiseReply struct {
	Reply            uint64        `json:"-"`
	OK               bool          `json:"-"`
	Host             string        `json:"host"`
	Revision         uint64        `json:"revision"`
	MedianRatio      float64       `json:"median_ratio"`
	PromisedAtAccept int           `json:"with_first_answer"`
	Sum              PromiseRow    `json:"sum"`
	Rows             []PromiseRow  `json:"rows"`
	Open             []OpenPromise `json:"open"`
	Omitted          int           `json:"left_out,omitempty"`
}

func (PromiseReply) effect() {}

// PromiseRow is a row of the totals.
type PromiseRow struct {
	Team         string  `json:"team"`
	Class        string  `json:"class"`
	Ended        int     `json:"ended"`
	Made         int     `json:"made"`
	Kept         int     `json:"kept"`
	Broken       int     `json:"broken"`
	Revised      int     `json:"revised"`
	WorstSeconds float64 `json:"worst_s"`
}

// OpenPromise is the date of a job that is not over, or of the one asked for. Rev is 0
// while there is none. At risk: it has passed, or would be missed by what is expected.
type OpenPromise struct {
	Job             string  `json:"job"`
	Team            string  `json:"team"`
	Class           string  `json:"class"`
	State           string  `json:"state"`
	PromisedSeconds float64 `json:"promised_s"`
	Revision        int     `json:"promise_rev"`
	Reason          string  `json:"why"`
	AgeSeconds      float64 `json:"age_s"`
	AtRisk          bool    `json:"at_risk"`
}
