package message

import (
	"time"

	"github.com/micahill/micahill/internal/ranking"
)

// SetRanking replaces the ranking, which orders classes of jobs. A RankingReply answers it.
type SetRanking struct {
	Reply  uint64
	Record ranking.Record
	// Revision is the revision of the ranking to replace. A ranking with another revision is
	// replaced only if AnyRevision is set.
	AnyRevision bool
	Revision    uint64
	// Deadline is the time until which the operator waits for the answer. The controller writes
	// nothing after it.
	Deadline time.Time
}

// QueryRanking requests the current ranking. A RankingReply answers it.
type QueryRanking struct {
	Reply uint64
	// Job is a job for which the reply explains why it waits; "" for none.
	Job string
	// History requests the recent rankings instead of the current ranking.
	History bool
}

func (SetRanking) command() {}

func (QueryRanking) command() {}

// RankingReply answers a SetRanking or a QueryRanking.
type RankingReply struct {
	Reply uint64 `json:"-"`
	// Status is the HTTP status. If it is not 200, Message is the error and the other fields are
	// empty.
	Status  int    `json:"-"`
	Message string `json:"-"`
	// Host is the controller that answers.
	Host     string `json:"host"`
	Revision uint64 `json:"rev"`
	// SetBy is the operator's name. SetAt is the time of the change by the clock of the
	// controller that wrote it.
	SetBy string    `json:"by"`
	SetAt time.Time `json:"at"`
	// Derived is true if no operator has set a ranking, so that the ranking follows from the
	// policy.
	Derived bool `json:"derived"`
	// InvalidReason is why a newer record is invalid and not used; "" if there is no such record.
	InvalidReason string `json:"bad,omitempty"`
	// AsOfSeconds is the number of seconds since this ranking was last known to be the newest, -1
	// if it never was.
	AsOfSeconds float64        `json:"as_of_s"`
	Classes     []RankingClass `json:"classes,omitempty"`
	// Explanation is why the job that the query names waits.
	Explanation string          `json:"why,omitempty"`
	History     []RankingRecord `json:"history,omitempty"`
}

// RankingRecord is a ranking of the history.
type RankingRecord struct {
	Revision uint64             `json:"rev"`
	SetBy    string             `json:"by"`
	SetAt    time.Time          `json:"at"`
	Derived  bool               `json:"derived"`
	Classes  []RankingClassSpec `json:"classes"`
}

// RankingClassSpec is the definition of a class of a ranking.
type RankingClassSpec struct {
	Name string `json:"name"`
	// Workloads and Urgency select the jobs that belong to the class. An empty field selects
	// every workload or urgency.
	Workloads []string `json:"workloads,omitempty"`
	Urgency   string   `json:"urgency,omitempty"`
	// WaitBoundSeconds is the longest time that a job of the class may wait behind jobs of
	// higher classes; 0 for the default.
	WaitBoundSeconds float64 `json:"bound_s,omitempty"`
	// ReservedFraction is the fraction of the capacity that is reserved for the class, from 0 to
	// 1.
	ReservedFraction float64 `json:"part,omitempty"`
}

// RankingClass is a class of the current ranking with the answering controller's jobs of the class.
type RankingClass struct {
	RankingClassSpec
	// Rank is the position of the class. The class with the lowest Rank is served first.
	Rank int `json:"place"`
	// Configured is true if the ranking names the class. The other classes are one for each
	// urgency, which rank after the named classes.
	Configured bool `json:"set"`
	// Jobs counts the jobs of the class; WaitingTasks and LiveTasks count their tasks.
	Jobs         int `json:"jobs"`
	WaitingTasks int `json:"waiting"`
	LiveTasks    int `json:"live"`
}

func (RankingReply) effect() {}
