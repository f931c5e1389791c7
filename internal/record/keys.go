package record

import "strings"

// Keys in the state service. A constant whose name ends in Prefix is the first part of keys; its
// comment has the rest in angle brackets.
//
// Records that all controllers must see soon are below ctl/, so that one watch covers them. Below
// open/ there is one record for each job that has not ended; its creation accepts the job. A record
// below job/ says how a job ended and is final. It is written in the transaction that removes or
// changes the job's open/ record. Earlier versions also wrote a job/ record at acceptance, and
// controllers still read such records. The records of tasks are separate, below task/, so that the
// progress of tasks does not wake a watch of open/ for new jobs.
const (
	// ControlPrefix is the prefix of all keys that every controller watches.
	ControlPrefix = "ctl/"
	// LeaderKey has the Leader. The controller that wins the election writes it under its
	// membership lease. Transactions that only the leader may make compare its mod revision.
	LeaderKey = "ctl/lead"
	// MemberPrefix<host> has the Member that a controller writes about itself under its
	// membership lease. All other controllers read it.
	MemberPrefix = "ctl/node/"
	// ShardPrefix<shard> has a shard of the shard map, written by the leader; see package
	// sharding. The transactions of the shard's leader compare its mod revision.
	ShardPrefix = "ctl/share/"
	// ShardSegmentPrefix<segment> has a segment of the shard map. The leader writes it, and a
	// shard leader writes it to increase an epoch; see package sharding.
	ShardSegmentPrefix = "ctl/lot/"
	// ReroutePrefix<host> has the ReroutedMachines that a controller reports about another one.
	// The reporting controller writes it under its membership lease, and the controller that the
	// report names reads it.
	ReroutePrefix = ControlPrefix + "hears/"
	// DrainKey has the Drain, written by the controller that the operators ask.
	DrainKey = "ctl/drain"
	// FormatKey has the Format in which task segments are written. The leader or a shard leader
	// raises it when all controllers support the new format.
	FormatKey = "ctl/form"
	// FormatSupportPrefix<host> has the Format that a controller supports, written by that
	// controller.
	FormatSupportPrefix = "ctl/form/"
	// RankingKey has the current ranking, written by the leader or by the controller that an
	// operator asks; see package ranking.
	RankingKey = "ctl/ranking"
	// RankingHistoryPrefix<n> has a recent ranking, where n is its revision modulo
	// ranking.HistoryLen. It is written together with RankingKey and read for operators.
	RankingHistoryPrefix = "ranking/"

	// OpenJobPrefix<job> has the OpenJob of a job that has not ended. The controller that accepts
	// the job writes it. The shard leader of the job's team and the controller that cancels the
	// job change it.
	OpenJobPrefix = "open/"
	// JobStatusPrefix<job> has the JobStatus of a job that has ended. The controller that ends the
	// job writes it. It is read to answer users and to count the outcomes of promised dates.
	JobStatusPrefix = "job/"
	// TaskSegmentPrefix<job>/<segment> has a TaskSegment. The job's shard leader writes it before
	// starting the tasks, and the successor of the shard leader reads it.
	TaskSegmentPrefix = "task/"
	// PrewarmedPrefix<host>/<n> has a Prewarmed. A shard leader writes it for its machines, and
	// its successor reads it.
	PrewarmedPrefix = "warm/"
	// MigrationPrefix<team> has the replica migrations in progress of a team. The team's shard
	// leader writes it before stopping a replica, and its successor reads it; see package
	// migration.
	MigrationPrefix = "move/"
	// OffloadedJobPrefix<loan> has the OffloadedJob of a loan that this cluster took, or of the
	// renewals by a home cluster. The shard leader of the team in which offloaded jobs run writes
	// and reads it.
	OffloadedJobPrefix = "guest/"

	// QuotesPrefix<team> has the data from which controllers compute completion dates for a team.
	// The team's shard leader writes it, and every controller reads it when it starts; see package
	// promise.
	QuotesPrefix = "promise/quotes/"
	// TotalsKey has the totals of promised dates that were met and missed, written by the leader
	// and read for operators; see package promise.
	TotalsKey = "promise/totals"

	// IncarnationPrefix<host> has a controller's Incarnation, which outlives the controller's
	// lease. Only that controller writes and reads it, so it is outside ctl/.
	IncarnationPrefix = "life/"
	// LimitProbeKey has a text whose size is between the old and the new limit on the size of a
	// value. A controller writes it to find out which limit the state service enforces. Nothing
	// reads it.
	LimitProbeKey = "form/probe"
)

// JobIDFromKey returns the ID of the job in a key that starts with prefix: the part of the key
// between prefix and the next slash or the end.
func JobIDFromKey(key, prefix string) string {
	id := strings.TrimPrefix(key, prefix)
	if i := strings.IndexByte(id, '/'); i >= 0 {
		id = id[:i]
	}
	return id
}
