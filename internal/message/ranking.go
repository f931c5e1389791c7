package message

import (
	"time"

	"github.com/micahill/micahill/internal/ranking"
)

// SetRanking replaces the ranking. A RankingReply answers it.
type SetRanking struct {
	Reply  uint64
	Record ranking.Record
	// Revision is that of the ranking to be replaced; another is not, unless AnyRevision is
	// set.
	AnyRevision bool
	Revision    uint64
	// Deadline is when the operator stops waiting for the answer; nothing is written later.
	Deadline time.Time
}

// QueryRanking asks for the ranking in force. A RankingReply answers it.
type QueryRanking struct {
	Reply uint64
	// Job asks also why that job waits, "" for none.
	Job string
	// History asks for the recent rankings instead.
	History bool
}

func (SetRanking) command() {}

func (QueryRanking) command() {}

// RankingReply answers a SetRanking or a QueryRanking.
type RankingReply struct {
	Reply uint64 `json:"-"`
	// Status is an HTTP status. Unless it is 200, Message says what is wrong, and the rest is
	// empty.
	Status  int    `json:"-"`
	Message string `json:"-"`
	// Host is the controller that answers.
	Host     string `json:"host"`
	Revision uint64 `json:"rev"`
	// SetBy names the operator, and SetAt is by the writing controller's clock.
	SetBy string    `json:"by"`
	SetAt time.Time `json:"at"`
	// Derived says that the ranking follows from the policy, and nobody has set one.
	Derived bool `json:"derived"`
	// InvalidReason is why a newer record is not in force, "" if there is none.
	InvalidReason string `json:"bad,omitempty"`
	// AsOfSeconds is how many seconds ago this was known to be the newest ranking, -1 for
	// never.
	AsOfSeconds float64        `json:"as_of_s"`
	Classes     []RankingClass `json:"classes,omitempty"`
	// Explanation is why the job that was asked for waits.
	Explanation string          `json:"why,omitempty"`
	History     []RankingRecord `json:"history,omitempty"`
}

// RankingRecord is a recent ranking.
type RankingRecord struct {
	Revision uint64             `json:"rev"`
	SetBy    string             `json:"by"`
	SetAt    time.Time          `json:"at"`
	Derived  bool               `json:"derived"`
	Classes  []RankingClassSpec `json:"classes"`
}

// RankingClassSpec is a class of a ranking as it was set.
type RankingClassSpec struct {
	Name string `json:"name"`
	// Workloads and Urgency are what a job must have to belong to the class; an empty one
	// admits any.
	Workloads []string `json:"workloads,omitempty"`
	Urgency   string   `json:"urgency,omitempty"`
	// WaitBoundSeconds is how long a job of the class may wait behind higher ones, 0 for the
	// default.
	WaitBoundSeconds float64 `json:"bound_s,omitempty"`
	// ReservedFraction is the part of the capacity that is reserved for the class.
	ReservedFraction float64 `json:"part,omitempty"`
}

// RankingClass is a class of the ranking in force, with what the answering controller has of it.
type RankingClass struct {
	RankingClassSpec
	// Rank is the class's place, the first one being served first.
	Rank int `json:"place"`
	// Configured says that the ranking names the class. The others are the urgencies, which
	// come after those named.
	Configured   bool `json:"set"`
	Jobs         int  `json:"jobs"`
	WaitingTasks int  `json:"waiting"`
	LiveTasks    int  `json:"live"`
}

func (RankingReply) effect() {}
