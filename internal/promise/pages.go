package promise

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// pageRecord is a page as stored, with the dates of some jobs of one team.
type pageRecord struct {
	Format  int           `msgpack:"v"`
	Entries []storedEntry `msgpack:"e"`
}

// storedEntry is an Entry as stored. MS is the date in milliseconds after the submission,
// Rev its revision and Why its reason.
type storedEntry struct {
	//lint:ignore U1000 its tag makes the encoder store rows as lists
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	MS       int
	Rev      int
	Why      Reason
}

// encodePage encodes a page, with its entries ordered by job.
func encodePage(entries map[string]Entry) []byte {
	rec := pageRecord{Format: formatVersion, Entries: make([]storedEntry, 0, len(entries))}
	for _, job := range slices.Sorted(maps.Keys(entries)) {
		rec.Entries = append(rec.Entries, entries[job].stored())
	}
	return encode(rec)
}

// stored converts an entry to its stored form.
func (entry Entry) stored() storedEntry {
	return storedEntry{Job: entry.Job, MS: int(entry.After.Milliseconds()), Rev: entry.Revision, Why: entry.Reason}
}

// DecodePage decodes a page and returns its entries by job. One invalid entry makes the
// whole page unreadable, since the other entries may be damaged undetectably. The error
// wraps ErrFormat if the page has another format version.
func DecodePage(value []byte) (map[string]Entry, error) {
	var rec pageRecord
	if err := decode(value, &rec); err != nil {
		return nil, err
	}
	if err := checkFormat(rec.Format); err != nil {
		return nil, err
	}
	entries := make(map[string]Entry, len(rec.Entries))
	for i, row := range rec.Entries {
		if row.MS < 0 || row.MS > int(MaxDate.Milliseconds()) {
			return nil, fmt.Errorf("%w: field e[%d]: the date is %d ms: want up to %d", errDamagedRecord, i, row.MS, MaxDate.Milliseconds())
		}
		entry := Entry{row.Job, Date{time.Duration(row.MS) * time.Millisecond, row.Rev}, row.Why}
		switch problem := entry.Validate(); {
		case problem != "":
			return nil, fmt.Errorf("%w: field e[%d]: %s", errDamagedRecord, i, problem)
		case entry.Job == "" || len(entry.Job) > maxNameLen:
			return nil, fmt.Errorf("%w: field e[%d]: the job ID has %d bytes: want 1 to %d", errDamagedRecord, i, len(entry.Job), maxNameLen)
		case entry.Reason >= reasonCount:
			return nil, fmt.Errorf("%w: field e[%d]: the reason is %d: want up to %d", errDamagedRecord, i, entry.Reason, reasonCount-1)
		}
		entries[entry.Job] = entry
	}
	return entries, nil
}

// Pages is a controller's watch cache of all pages, by key. The zero value is empty and
// ready to use.
type Pages struct {
	byKey map[string]cachedPage
	// previous has the pages that were cached before all pages were read again.
	previous map[string]cachedPage
}

// cachedPage is a page as it was read. An unreadable page has the entries of its last
// readable value, or nil if there was none.
type cachedPage struct {
	modRevision uint64
	entries     map[string]Entry
	unreadable  bool
}

// ForReRead returns an empty cache to be filled by reading all pages again. For a page
// that is then unreadable, the new cache uses the entries that were cached before.
func (pages *Pages) ForReRead() Pages { return Pages{previous: pages.byKey} }

// Apply sets a page to its value as of a mod revision; a nil value means that the page was
// deleted. For an unreadable value it returns an error and keeps the entries of the last
// readable value.
func (pages *Pages) Apply(key string, modRevision uint64, value []byte) error {
	if value == nil {
		delete(pages.byKey, key)
		return nil
	}
	if pages.byKey == nil {
		pages.byKey = map[string]cachedPage{}
	}
	entries, err := DecodePage(value)
	if err != nil {
		previous, cached := pages.byKey[key]
		if !cached {
			previous = pages.previous[key]
		}
		pages.byKey[key] = cachedPage{modRevision, previous.entries, true}
		return err
	}
	pages.byKey[key] = cachedPage{modRevision, entries, false}
	return nil
}

// Newest returns a job's newest date in any page: a relocated entry may still be in its
// former page too. known is false if a newer date may be in an unreadable page, that is in
// a page of the job's team, whose keys begin with prefix, that was written after the job's
// record at modRevision. No date of the job may be reported then.
func (pages *Pages) Newest(job, prefix string, modRevision uint64) (best Entry, known bool) {
	known = true
	for key, page := range pages.byKey {
		if entry, ok := page.entries[job]; ok {
			if entry.Revision > best.Revision {
				best = entry
			}
		} else if page.unreadable && page.entries == nil && page.modRevision > modRevision && strings.HasPrefix(key, prefix) {
			known = false
		}
	}
	return best, known
}

// NewWriter returns a writer that continues the cached pages whose keys begin with prefix.
// limit is the largest size of a page in bytes as JSON.
func (pages *Pages) NewWriter(prefix string, limit int) *PageWriter {
	writer := NewPageWriter(limit)
	for _, key := range slices.Sorted(maps.Keys(pages.byKey)) {
		name, ok := strings.CutPrefix(key, prefix)
		n, err := strconv.Atoi(name)
		if !ok || err != nil || n < 0 || strconv.Itoa(n) != name {
			continue
		}
		if cached := pages.byKey[key]; cached.unreadable {
			writer.Abandon(n)
		} else {
			writer.Load(n, cached.modRevision, cached.entries)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(pages.byKey)) {
		if cached := pages.byKey[key]; cached.unreadable && strings.HasPrefix(key, prefix) {
			// The last readable entries stay in force, so they are written to other pages,
			// where all controllers can read them.
			for _, job := range slices.Sorted(maps.Keys(cached.entries)) {
				writer.Put(cached.entries[job])
			}
		}
	}
	writer.splitOversized()
	return writer
}
