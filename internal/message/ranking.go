package message

import (
	"time"

	"github.com/micahill/micahill/internal/ranking"
)

// SetRanking sets a ranking. AnyRevision: whichever stands there; else only if Rev does. Until:
// whoever asked has gone by then, and nothing is written later.
type SetRanking struct {
	Reply       uint64
	Record      ranking.Record
	AnyRevision bool
	Revision    uint64
	Deadline    time.Time
}

// QueryRanking asks for the ranking, why a job waits, or the last rankings.
type QueryRanking struct {
	Reply   uint64
	Job     string
	History bool
}

func (SetRanking) command() {}

func (QueryRanking) command() {}

// RankingReply answers both. Status is an HTTP status; with another than 200 Message says
// what is wrong.
type RankingReply struct {
	Reply    uint64    `json:"-"`
	Status   int       `json:"-"`
	Message  string    `json:"-"`
	Host     string    `json:"host"`
	Revision uint64    `json:"rev"`
	SetBy    string    `json:"by"`
	SetAt    time.Time `json:"at"`
	Derived  bool      `json:"derived"`
	// InvalidReason says why a newer record does not count, and AsOfSeconds how many seconds ago this
	// was known to be the newest, -1 for never.
	InvalidReason string          `json:"bad,omitempty"`
	AsOfSeconds   float64         `json:"as_of_s"`
	Classes       []RankingClass  `json:"classes,omitempty"`
	Explanation   string          `json:"why,omitempty"`
	History       []RankingRecord `json:"history,omitempty"`
}

// RankingRecord is one of the last rankings.
type RankingRecord struct {
	Revision uint64             `json:"rev"`
	SetBy    string             `json:"by"`
	SetAt    time.Time          `json:"at"`
	Derived  bool               `json:"derived"`
	Classes  []RankingClassSpec `json:"classes"`
}

// RankingClassSpec is a class as it was set, in seconds.
type RankingClassSpec struct {
	Name             string   `json:"name"`
	Workloads        []string `json:"workloads,omitempty"`
	Urgency          string   `json:"urgency,omitempty"`
	WaitBoundSeconds float64  `json:"bound_s,omitempty"`
	ReservedFraction float64  `json:"part,omitempty"`
}

// RankingClass is a class with what of it is here. Those without Set are the urgencies that
// stand behind the named.
type RankingClass struct {
	RankingClassSpec
	Rank         int  `json:"place"`
	Configured   bool `json:"set"`
	Jobs         int  `json:"jobs"`
	WaitingTasks int  `json:"waiting"`
	LiveTasks    int  `json:"live"`
}

func (RankingReply) effect() {}
