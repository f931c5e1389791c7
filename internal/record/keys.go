package record

import "strings"

// Keys of the state service. A name that ends in Prefix is continued by what its comment
// gives in angle brackets.
//
// Whatever all controllers must see soon stands below ctl/, so that one watch covers it.
// open/ has one record for each job that is not over, whose creation is what accepts the
// job; job/ has how a job ended, for good, and is written together with the removal or
// change of its open/ record. Earlier versions wrote job/ at acceptance too, and such records
// are still read. Tasks stand apart in task/, so that a watch of open/ for new jobs is not
// woken by the progress of tasks.
const (
	// ControlPrefix is common to all that every controller watches.
	ControlPrefix = "ctl/"
	// LeaderKey has the Leader. Whoever wins the election writes it under its membership
	// lease; transactions that only the leader may make compare its mod revision.
	LeaderKey = "ctl/lead"
	// MemberPrefix<host> has the Member that a controller writes of itself under its
	// membership lease. All others read it.
	MemberPrefix = "ctl/node/"
	// ShardPrefix<shard> has a shard of the shard map, written by the leader; see package
	// sharding. The transactions of the shard's own leader compare its mod revision.
	ShardPrefix = "ctl/share/"
	// ShardSegmentPrefix<segment> has a segment of the shard map, written by the leader and, for
	// an epoch bump, by a shard's leader; see package sharding.
	ShardSegmentPrefix = "ctl/lot/"
	// ReroutePrefix<host> has the ReroutedMachines that a controller reports of another. It
	// is written under the writer's membership lease, and read by the one it names.
	ReroutePrefix = ControlPrefix + "hears/"
	// DrainKey has the Drain, written by whichever controller the operators ask.
	DrainKey = "ctl/drain"
	// FormatKey has the Format in which task segments are written. The leader, or a shard
	// leader, raises it when all controllers support the new one.
	FormatKey = "ctl/form"
	// FormatSupportPrefix<host> has the Format that a controller supports, written by it.
	FormatSupportPrefix = "ctl/form/"
	// RankingKey has the ranking in force, written by the leader or, for an operator, by
	// whichever controller is asked; see package ranking.
	RankingKey = "ctl/ranking"
	// RankingHistoryPrefix<n> has a recent ranking, n being its revision modulo
	// ranking.HistoryLen. It is written together with RankingKey and read for operators.
	RankingHistoryPrefix = "ranking/"

	// OpenJobPrefix<job> has the OpenJob of a job that is not over. A controller that accepts
	// a job writes it; the shard leader of its team and whoever cancels it change it.
	OpenJobPrefix = "open/"
	// JobStatusPrefix<job> has the JobStatus of a job that is over, written by whoever ends
	// it, and read to answer users and to count what became of promised dates.
	JobStatusPrefix = "job/"
	// TaskSegmentPrefix<job>/<segment> has a TaskSegment, written by the job's shard leader
	// before it starts the tasks, and read by its successor.
	TaskSegmentPrefix = "task/"
	// PrewarmedPrefix<host>/<n> has a Prewarmed, written by a shard leader of its machines and
	// read by its successor.
	PrewarmedPrefix = "warm/"
	// MigrationPrefix<team> has the replica migrations in progress of a team, written by its
	// shard leader before it stops a replica, and read by its successor; see package migration.
	MigrationPrefix = "move/"
	// OffloadedJobPrefix<loan> has the OffloadedJob of a loan that this cluster took, or of a
	// home cluster's renewals. It is written and read by the shard leader of the team that
	// offloaded jobs run in.
	OffloadedJobPrefix = "guest/"

	// QuotesPrefix<team> has what quotes of completion dates for a team rest on, written by
	// its shard leader and read by every controller at its start; see package promise.
	QuotesPrefix = "promise/quotes/"
	// TotalsKey has the totals of promised dates kept and missed, written by the leader and
	// read for operators; see package promise.
	TotalsKey = "promise/totals"

	// IncarnationPrefix<host> has a controller's Incarnation. Only that controller writes and
	// reads it, and it is to outlast the lease, so it is outside ctl/.
	IncarnationPrefix = "life/"
	// LimitProbeKey has a text between the old and the new limit of a value's size, if a
	// controller has ever probed which one holds. Nobody reads it.
	LimitProbeKey = "form/probe"
)

// JobIDFromKey is the job that a key below prefix names: what stands before the next slash.
func JobIDFromKey(key, prefix string) string {
	id := strings.TrimPrefix(key, prefix)
	if i := strings.IndexByte(id, '/'); i >= 0 {
		id = id[:i]
	}
	return id
}
