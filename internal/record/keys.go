package record

import "strings"

const (
	FormatKey = "ctl/form"
)

const (
	FormatSupportPrefix = "ctl/form/"
)

// LimitProbeKey holds a value between the limits, where it was ever asked for.
const LimitProbeKey = "form/probe"

// MigrationPrefix has a record for each team with moves under way.
const MigrationPrefix = "move/"

const (
	// ReroutePrefix keeps what a controller says of machines that come back to it.
	ReroutePrefix = ControlPrefix + "hears/"
)

const (
	RankingKey = ControlPrefix + "ranking"
)

const (
	// RankingHistoryPrefix has the last rankings, by their revision modulo ranking.History.
	RankingHistoryPrefix = "ranking/"
)

// Keys in the state service. Everything that all controllers must see at once
// stands under ctl/, so that one watch covers it. open/ holds what is alive:
// one record a job; job/ holds how a job ended, for good. A record in open/ is
// what makes a job accepted; an earlier form wrote job/ together with it, which
// is read as well. task/ holds its tasks in chunks, apart from open/ so that
// the owner's watch for new jobs is not woken by its own progress.
const (
	ControlPrefix = "ctl/"
	LeaderKey     = "ctl/lead"
	MemberPrefix  = "ctl/node/"
	// The shares and lots of the division; see internal/sharding.
	ShardPrefix        = "ctl/share/"
	ShardSegmentPrefix = "ctl/lot/"
	JobStatusPrefix    = "job/"
	OpenJobPrefix      = "open/"
	TaskSegmentPrefix  = "task/"
	PrewarmedPrefix    = "warm/"
	// guest/ holds the loans that this cluster has taken, and drain whether it is
	// being emptied.
	OffloadedJobPrefix = "guest/"
	DrainKey           = "ctl/drain"
	// life/ has a record for each controller, outside ctl/: only itself reads it.
	IncarnationPrefix = "life/"
)

func JobIDFromKey(key, prefix string) string {
	id := strings.TrimPrefix(key, prefix)
	if i := strings.IndexByte(id, '/'); i >= 0 {
		id = id[:i]
	}
	return id
}
