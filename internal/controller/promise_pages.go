package controller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/promise"
)

// shardLeaderDates is a shard leader's state for dates, apart from the dates in its jobs. Only
// methods of promiseState write it. It ends with the shard leader.
type shardLeaderDates struct {
	// pageWriters has the writer of each led team's pages, by team name. checkedAt is when dates
	// were last checked.
	pageWriters map[string]*promise.PageWriter
	checkedAt   time.Time
	// pageInFlight says that a page is being written, or is being read after a write without a
	// response. lastTeam is the team whose page was last written or read.
	pageInFlight bool
	lastTeam     string
	// quotesStoredAt is when quotes were last written, quotesStoredTeam the team whose turn was
	// last, and quotesStoredHash the hash of each team's quotes as last written.
	quotesStoredAt   time.Time
	quotesStoredTeam string
	quotesStoredHash map[string]uint64
}

// teamKey returns a team's name as it stands in a key: the name itself, or its hash if the name is
// empty, longer than maxTeamKeyLen, or has characters that may not be in the path of a request.
func teamKey(team string) string {
	plain := len(team) > 0 && len(team) <= maxTeamKeyLen
	for _, c := range team {
		plain = plain && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')
	}
	if plain {
		return team
	}
	return fmt.Sprintf("~%016x", xxhash.Sum64String(team))
}

// teamPagePrefix returns the prefix of the keys of a team's pages.
func teamPagePrefix(team string) string { return pagePrefix + teamKey(team) + "/" }

// maxPageBytes returns the limit for the size of a page, and of the records of quotes and totals,
// in bytes as JSON.
func (promises *promiseState) maxPageBytes() int { return promises.settings.MaxValueBytes * 3 / 4 }

// applyPage applies a page to the watch cache. It reports whether the key, which is under open/, is
// that of a page.
func (promises *promiseState) applyPage(pages *promise.Pages, item message.KeyValue) bool {
	if !strings.HasPrefix(item.Key, pagePrefix) {
		return false
	}
	if !promises.enabled() {
		return true
	}
	value := item.Value
	if item.Deleted {
		value = nil
	}
	if err := pages.Apply(item.Key, item.ModRevision, value); err != nil {
		promises.rejectInput("record", item.Key, err.Error())
	}
	return true
}

// recoverPages continues the pages of a team that this controller takes over, as the team's last
// shard leader left them. restored has the recovered jobs of all teams. Pages don't store when a
// date was made, so all dates count as made at the takeover.
func (promises *promiseState) recoverPages(team string, restored map[string]*job) {
	shardLeader := promises.controller.shardLeader
	if !promises.enabled() {
		return
	}
	cache := &promises.controller.frontend.watchCache
	prefix := teamPagePrefix(team)
	if shardLeader.promiseDates.pageWriters == nil {
		shardLeader.promiseDates.pageWriters = map[string]*promise.PageWriter{}
	}
	shardLeader.promiseDates.pageWriters[team] = cache.promisePages.NewWriter(prefix, promises.maxPageBytes())
	promises.quoterFor(team, true)
	for id, job := range restored {
		if job.Team != team {
			continue
		}
		job.takenOver = true
		entry, known := cache.promisePages.Newest(id, prefix, job.modRevision)
		switch {
		case !known:
			job.dateUnreadable, job.promised = true, promise.Date{}
		case entry.Revision > 0:
			job.promised, job.promisedAt = entry.Date, promises.now
		}
	}
}

// writePage writes the page of the next team that has dates to write. Only one page is in flight at
// a time.
func (promises *promiseState) writePage() {
	shardLeader := promises.controller.shardLeader
	if shardLeader.promiseDates.pageInFlight {
		return
	}
	open := promises.controller.frontend.watchCache.openJobs
	var team string
	var writer *promise.PageWriter
	var write promise.PageWrite
	for _, name := range sortedKeys(shardLeader.promiseDates.pageWriters) {
		candidate := shardLeader.promiseDates.pageWriters[name]
		candidate.RemoveEnded(func(id string) bool {
			_, there := open[id]
			return !there && shardLeader.jobs[id] == nil
		})
		// Teams take turns, so that a team with many dates does not delay the dates of other teams.
		if next, ok := candidate.NextWrite(); ok && (writer == nil || team <= shardLeader.promiseDates.lastTeam && name > shardLeader.promiseDates.lastTeam) {
			team, writer, write = name, candidate, next
		}
	}
	if writer == nil || promises.now.After(promises.controller.membership.leaseValidUntil) {
		return
	}
	shardLeader.promiseDates.pageInFlight, shardLeader.promiseDates.lastTeam = true, team
	key := teamPagePrefix(team) + strconv.Itoa(write.Number)
	if !write.RevisionKnown {
		promises.readPage(writer, key, write)
		return
	}
	request := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Compares: append(promises.controller.shardLeader.shardCompares(team), message.Compare{Key: key, ModRevision: write.ModRevision}), Writes: []message.Write{{Key: key, Value: write.Value}}}
	promises.controller.requests.toStore(request, func(response message.StoreResponse) {
		if promises.controller.shardLeader != shardLeader {
			return
		}
		shardLeader.promiseDates.pageInFlight = false
		switch response.Status {
		case message.StoreOK:
			modRevision := response.Revision
			if write.Value == nil {
				modRevision = 0
			}
			writer.MarkWritten(write, modRevision)
		case message.StoreMalformed:
			shardLeader.promiseDates.checkedAt = promises.now.Add(malformedRetryDelay)
		case message.StoreConflict, message.StoreUnknown:
			// An earlier write of this shard leader may have been applied late. A write of another
			// shard leader would also have changed the shard's mod revision.
			writer.MarkUncertain(write.Number)
		}
	})
}

// readPage reads the mod revision that the next write of a page has to compare.
func (promises *promiseState) readPage(writer *promise.PageWriter, key string, write promise.PageWrite) {
	shardLeader := promises.controller.shardLeader
	promises.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: key}, func(response message.StoreResponse) {
		if promises.controller.shardLeader != shardLeader {
			return
		}
		shardLeader.promiseDates.pageInFlight = false
		switch response.Status {
		case message.StoreOK:
			if _, err := promise.DecodePage(response.KeyValues[0].Value); err != nil {
				promises.rejectInput("record", key, err.Error())
				writer.Abandon(write.Number)
				return
			}
			writer.SetRevision(write.Number, response.KeyValues[0].ModRevision)
		case message.StoreNotFound:
			writer.SetRevision(write.Number, 0)
		}
	})
}
