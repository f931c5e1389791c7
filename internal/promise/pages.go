package promise

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// pageRecord is a page as stored: the dates of some jobs of one team.
type pageRecord struct {
	Format  int           `msgpack:"v"`
	Entries []storedEntry `msgpack:"e"`
}

type storedEntry struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	MS       int
	Rev      int
	Why      Reason
}

func encodePage(entries map[string]Entry) []byte {
	r := pageRecord{Format: formatVersion, Entries: make([]storedEntry, 0, len(entries))}
	for _, job := range slices.Sorted(maps.Keys(entries)) {
		r.Entries = append(r.Entries, entries[job].stored())
	}
	return encode(r)
}

func (e Entry) stored() storedEntry {
	return storedEntry{Job: e.Job, MS: int(e.After.Milliseconds()), Rev: e.Revision, Why: e.Reason}
}

// DecodePage reads a page, by job. One invalid entry makes the whole page unreadable,
// since the others can't be told from damaged ones. The error wraps ErrFormat if
// another version wrote the page.
func DecodePage(b []byte) (map[string]Entry, error) {
	var r pageRecord
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if err := checkFormat(r.Format); err != nil {
		return nil, err
	}
	entries := make(map[string]Entry, len(r.Entries))
	for i, row := range r.Entries {
		if row.MS < 0 || row.MS > int(MaxDate.Milliseconds()) {
			return nil, fmt.Errorf("%w: field e[%d]: the date is %d ms: want up to %d", errRecord, i, row.MS, MaxDate.Milliseconds())
		}
		e := Entry{row.Job, Date{time.Duration(row.MS) * time.Millisecond, row.Rev}, row.Why}
		switch problem := e.Validate(); {
		case problem != "":
			return nil, fmt.Errorf("%w: field e[%d]: %s", errRecord, i, problem)
		case e.Job == "" || len(e.Job) > maxNameLen:
			return nil, fmt.Errorf("%w: field e[%d]: a job's name has %d bytes: want 1 to %d", errRecord, i, len(e.Job), maxNameLen)
		case e.Reason >= reasonCount:
			return nil, fmt.Errorf("%w: field e[%d]: the reason is %d: want up to %d", errRecord, i, e.Reason, reasonCount-1)
		}
		entries[e.Job] = e
	}
	return entries, nil
}

// Pages is a controller's watch cache of all pages, by key. The zero value is ready.
type Pages struct {
	byKey map[string]cachedPage
	// previous is what was cached before all pages were re-read.
	previous map[string]cachedPage
}

// cachedPage is a page as it was read. An unreadable one has the entries of its last
// readable value, or nil if there was none.
type cachedPage struct {
	modRevision uint64
	entries     map[string]Entry
	unreadable  bool
}

// ForReRead returns a cache to be filled by reading all pages once more. It falls back
// on p for pages that are unreadable.
func (p *Pages) ForReRead() Pages { return Pages{previous: p.byKey} }

// Apply takes in a page's value as of a mod revision; a nil value is a deleted page.
// For an unreadable value it returns an error, and keeps the last readable one's
// entries.
func (p *Pages) Apply(key string, modRevision uint64, value []byte) error {
	if value == nil {
		delete(p.byKey, key)
		return nil
	}
	if p.byKey == nil {
		p.byKey = map[string]cachedPage{}
	}
	entries, err := DecodePage(value)
	if err != nil {
		was, cached := p.byKey[key]
		if !cached {
			was = p.previous[key]
		}
		p.byKey[key] = cachedPage{modRevision, was.entries, true}
		return err
	}
	p.byKey[key] = cachedPage{modRevision, entries, false}
	return nil
}

// Newest is a job's newest date in any page: a relocated entry may still stand in the
// page where it was. known is false if a newer date may stand in an unreadable page:
// one of the team's, whose keys have the prefix, written after the job's record at
// modRevision. Then no date may be reported.
func (p *Pages) Newest(job, prefix string, modRevision uint64) (best Entry, known bool) {
	known = true
	for key, page := range p.byKey {
		if e, ok := page.entries[job]; ok {
			if e.Revision > best.Revision {
				best = e
			}
		} else if page.unreadable && page.entries == nil && page.modRevision > modRevision && strings.HasPrefix(key, prefix) {
			known = false
		}
	}
	return best, known
}

// NewWriter returns a writer that goes on from the cached pages under a prefix. limit
// bounds the bytes of a page as JSON.
func (p *Pages) NewWriter(prefix string, limit int) *PageWriter {
	w := NewPageWriter(limit)
	for _, key := range slices.Sorted(maps.Keys(p.byKey)) {
		name, ok := strings.CutPrefix(key, prefix)
		n, err := strconv.Atoi(name)
		if !ok || err != nil || n < 0 || strconv.Itoa(n) != name {
			continue
		}
		if cached := p.byKey[key]; cached.unreadable {
			w.Abandon(n)
		} else {
			w.Load(n, cached.modRevision, cached.entries)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(p.byKey)) {
		if cached := p.byKey[key]; cached.unreadable && strings.HasPrefix(key, prefix) {
			// The last readable entries stay in force, so other controllers must be
			// able to read them.
			for _, job := range slices.Sorted(maps.Keys(cached.entries)) {
				w.Put(cached.entries[job])
			}
		}
	}
	w.splitOversized()
	return w
}
