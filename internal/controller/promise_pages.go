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

// shardLeaderDates is what a shard leader has of dates beside the jobs. It belongs to promiseState, whose methods alone
// write it, and ends with the shard leader.
type shardLeaderDates struct {
	// pageWriters are those of the teams led, by name. checkedAt is when dates were last checked.
	pageWriters map[string]*promise.PageWriter
	checkedAt   time.Time
	// pageInFlight says that a page is being written, or read after a write without an answer.
	// lastTeam is the team whose page was the last.
	pageInFlight bool
	lastTeam     string
	// quotesStoredAt is when quotes were last written, quotesStoredTeam of which team, and
	// quotesStoredHash has the hash of what was written, by team.
	quotesStoredAt   time.Time
	quotesStoredTeam string
	quotesStoredHash map[string]uint64
}

// teamKey is a team's name in a key: the name itself, or its hash if it is long or has characters that may not be in the
// path of a request.
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

// teamPagePrefix begins the keys of a team's pages.
func teamPagePrefix(team string) string { return pagePrefix + teamKey(team) + "/" }

// maxPageBytes bounds a page and the records of quotes and totals, as JSON.
func (p *promiseState) maxPageBytes() int { return p.settings.MaxValueBytes * 3 / 4 }

// applyPage takes in a page and reports whether the key, under open/, is that of one.
func (p *promiseState) applyPage(pages *promise.Pages, it message.KeyValue) bool {
	if !strings.HasPrefix(it.Key, pagePrefix) {
		return false
	}
	if !p.enabled() {
		return true
	}
	value := it.Value
	if it.Deleted {
		value = nil
	}
	if err := pages.Apply(it.Key, it.ModRevision, value); err != nil {
		p.rejectInput("record", it.Key, err.Error())
	}
	return true
}

// recoverPages takes up the pages of a team that has come, as its last shard leader left them. They don't say when a date
// was made: all count as made now.
func (p *promiseState) recoverPages(team string, restored map[string]*job) {
	s := p.controller.shardLeader
	if !p.enabled() {
		return
	}
	cache := &p.controller.frontend.watchCache
	prefix := teamPagePrefix(team)
	if s.promiseDates.pageWriters == nil {
		s.promiseDates.pageWriters = map[string]*promise.PageWriter{}
	}
	s.promiseDates.pageWriters[team] = cache.promisePages.NewWriter(prefix, p.maxPageBytes())
	p.quoterFor(team, true)
	for id, j := range restored {
		if j.Team != team {
			continue
		}
		j.takenOver = true
		e, known := cache.promisePages.Newest(id, prefix, j.modRevision)
		switch {
		case !known:
			j.dateUnreadable, j.promised = true, promise.Date{}
		case e.Revision > 0:
			j.promised, j.promisedAt = e.Date, p.now
		}
	}
}

// writePage writes the page of the next team that has dates to write. Only one page is in flight at a time.
func (p *promiseState) writePage() {
	s := p.controller.shardLeader
	if s.promiseDates.pageInFlight {
		return
	}
	open := p.controller.frontend.watchCache.openJobs
	var team string
	var writer *promise.PageWriter
	var w promise.PageWrite
	for _, t := range sortedKeys(s.promiseDates.pageWriters) {
		candidate := s.promiseDates.pageWriters[t]
		candidate.RemoveEnded(func(id string) bool {
			_, there := open[id]
			return !there && s.jobs[id] == nil
		})
		// In turns, so that a team with many dates does not keep those of others unreported.
		if next, ok := candidate.NextWrite(); ok && (writer == nil || team <= s.promiseDates.lastTeam && t > s.promiseDates.lastTeam) {
			team, writer, w = t, candidate, next
		}
	}
	if writer == nil || p.now.After(p.controller.membership.leaseValidUntil) {
		return
	}
	s.promiseDates.pageInFlight, s.promiseDates.lastTeam = true, team
	key := teamPagePrefix(team) + strconv.Itoa(w.Number)
	if !w.RevisionKnown {
		p.readPage(writer, key, w)
		return
	}
	req := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Compares: append(p.controller.shardLeader.shardCompares(team), message.Compare{Key: key, ModRevision: w.ModRevision}), Writes: []message.Write{{Key: key, Value: w.Value}}}
	p.controller.requests.toStore(req, func(resp message.StoreResponse) {
		if p.controller.shardLeader != s {
			return
		}
		s.promiseDates.pageInFlight = false
		switch resp.Status {
		case message.StoreOK:
			modRevision := resp.Revision
			if w.Value == nil {
				modRevision = 0
			}
			writer.MarkWritten(w, modRevision)
		case message.StoreMalformed:
			s.promiseDates.checkedAt = p.now.Add(malformedRetryDelay)
		case message.StoreConflict, message.StoreUnknown:
			// Perhaps an earlier write of this shard leader was applied late; one of another
			// would have needed the shard.
			writer.MarkUncertain(w.Number)
		}
	})
}

// readPage reads the mod revision that the next write of a page has to name.
func (p *promiseState) readPage(writer *promise.PageWriter, key string, w promise.PageWrite) {
	s := p.controller.shardLeader
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: key}, func(d message.StoreResponse) {
		if p.controller.shardLeader != s {
			return
		}
		s.promiseDates.pageInFlight = false
		switch d.Status {
		case message.StoreOK:
			if _, err := promise.DecodePage(d.KeyValues[0].Value); err != nil {
				p.rejectInput("record", key, err.Error())
				writer.Abandon(w.Number)
				return
			}
			writer.SetRevision(w.Number, d.KeyValues[0].ModRevision)
		case message.StoreNotFound:
			writer.SetRevision(w.Number, 0)
		}
	})
}
