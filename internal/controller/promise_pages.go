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

// shardLeaderDates is what an owner has of dates beside the jobs.
type shardLeaderDates struct {
	pageWriters map[string]*promise.PageWriter
	checkedAt   time.Time
	// busy: a page is being written, or read after a write without an answer. turn is
	// the team whose page was the last.
	pageInFlight bool
	lastTeam     string
	// quotesStoredAt is when quotes were last written, of the team that is named, and quotesStoredHash
	// their hashes.
	quotesStoredAt   time.Time
	quotesStoredTeam string
	quotesStoredHash map[string]uint64
}

// teamKey is a team in a key: as it is where all its characters may stand in the path of
// a request, and else, or if it is long, its hash.
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

func teamPagePrefix(team string) string { return pagePrefix + teamKey(team) + "/" }

// maxPageBytes bounds the records of dates, quotes and totals, as JSON.
func (p *promiseState) maxPageBytes() int { return p.settings.MaxValueBytes * 3 / 4 }

// applyPage says whether a key under open/ is that of a page, and takes it in.
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

// recoverPages takes up the pages of a team that has come, as its former owner left
// them. When a date in them was made is not told: they count as made now.
func (p *promiseState) recoverPages(team string, restored map[string]*job) {
	o := p.controller.shardLeader
	if !p.enabled() {
		return
	}
	cache := &p.controller.frontend.watchCache
	prefix := teamPagePrefix(team)
	if o.promiseDates.pageWriters == nil {
		o.promiseDates.pageWriters = map[string]*promise.PageWriter{}
	}
	o.promiseDates.pageWriters[team] = cache.promisePages.NewWriter(prefix, p.maxPageBytes())
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

// writePage writes the page that most wait for, at most one at a time.
func (p *promiseState) writePage() {
	o := p.controller.shardLeader
	if o.promiseDates.pageInFlight {
		return
	}
	open := p.controller.frontend.watchCache.openJobs
	var team string
	var writer *promise.PageWriter
	var w promise.PageWrite
	for _, t := range sortedKeys(o.promiseDates.pageWriters) {
		candidate := o.promiseDates.pageWriters[t]
		candidate.RemoveEnded(func(id string) bool {
			_, there := open[id]
			return !there && o.jobs[id] == nil
		})
		// In turns, so that a team with many does not keep the others' from being told.
		if next, ok := candidate.NextWrite(); ok && (writer == nil || team <= o.promiseDates.lastTeam && t > o.promiseDates.lastTeam) {
			team, writer, w = t, candidate, next
		}
	}
	if writer == nil || p.now.After(p.controller.membership.leaseValidUntil) {
		return
	}
	o.promiseDates.pageInFlight, o.promiseDates.lastTeam = true, team
	key := teamPagePrefix(team) + strconv.Itoa(w.Number)
	if !w.RevisionKnown {
		p.readPage(writer, key, w)
		return
	}
	req := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Compares: append(p.controller.shardLeader.shardCompares(team), message.Compare{Key: key, ModRevision: w.ModRevision}), Writes: []message.Write{{Key: key, Value: w.Value}}}
	p.controller.requests.toStore(req, func(resp message.StoreResponse) {
		if p.controller.shardLeader != o {
			return
		}
		o.promiseDates.pageInFlight = false
		switch resp.Status {
		case message.StoreOK:
			stamp := resp.Revision
			if w.Value == nil {
				stamp = 0
			}
			writer.MarkWritten(w, stamp)
		case message.StoreMalformed:
			o.promiseDates.checkedAt = p.now.Add(malformedRetryDelay)
		case message.StoreConflict, message.StoreUnknown:
			// Perhaps an earlier write of this owner's, carried out late; another's
			// would have needed its own share.
			writer.MarkUncertain(w.Number)
		}
	})
}

// readPage finds out on what a page is to be written.
func (p *promiseState) readPage(writer *promise.PageWriter, key string, w promise.PageWrite) {
	o := p.controller.shardLeader
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: key}, func(d message.StoreResponse) {
		if p.controller.shardLeader != o {
			return
		}
		o.promiseDates.pageInFlight = false
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
