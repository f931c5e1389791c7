package promise

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// pageRecord is a page: dates of jobs of one team.
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

func encodePage(es map[string]Entry) []byte {
	r := pageRecord{Format: formatVersion, Entries: make([]storedEntry, 0, len(es))}
	for _, id := range slices.Sorted(maps.Keys(es)) {
		r.Entries = append(r.Entries, es[id].stored())
	}
	return encode(r)
}

func (e Entry) stored() storedEntry {
	return storedEntry{Job: e.Job, MS: int(e.After.Milliseconds()), Rev: e.Revision, Why: e.Reason}
}

// DecodePage reads a page. One entry that makes no sense spoils it: what it would say
// of the others can't be told from a mistake.
func DecodePage(b []byte) (map[string]Entry, error) {
	var r pageRecord
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if err := checkFormat(r.Format); err != nil {
		return nil, err
	}
	es := make(map[string]Entry, len(r.Entries))
	for i, x := range r.Entries {
		if x.MS < 0 || x.MS > int(MaxDate.Milliseconds()) {
			return nil, fmt.Errorf("%w: field e[%d]: the date is %d ms: want up to %d", errRecord, i, x.MS, MaxDate.Milliseconds())
		}
		e := Entry{x.Job, Date{time.Duration(x.MS) * time.Millisecond, x.Rev}, x.Why}
		switch bad := e.Validate(); {
		case bad != "":
			return nil, fmt.Errorf("%w: field e[%d]: %s", errRecord, i, bad)
		case e.Job == "" || len(e.Job) > maxNameLen:
			return nil, fmt.Errorf("%w: field e[%d]: a job's name has %d bytes: want 1 to %d", errRecord, i, len(e.Job), maxNameLen)
		case e.Reason >= reasonCount:
			return nil, fmt.Errorf("%w: field e[%d]: the reason is %d: want up to %d", errRecord, i, e.Reason, reasonCount-1)
		}
		es[e.Job] = e
	}
	return es, nil
}

// Pages is what a controller has read of all pages, by their keys. The zero value is
// ready.
type Pages struct {
	byKey map[string]cachedPage
	// previous is what was known before all pages were read anew.
	previous map[string]cachedPage
}

// cachedPage is a page as it was read: bad if it can't be, and without entries then if
// there was never a good one.
type cachedPage struct {
	modRevision uint64
	entries     map[string]Entry
	unreadable  bool
}

// ForReRead is a picture to be filled by reading all pages once more.
func (p *Pages) ForReRead() Pages { return Pages{previous: p.byKey} }

// Apply takes in a page as it was read, nil for one that is gone. Of one that can't be
// read the last good one goes on to count.
func (p *Pages) Apply(key string, stamp uint64, value []byte) error {
	if value == nil {
		delete(p.byKey, key)
		return nil
	}
	if p.byKey == nil {
		p.byKey = map[string]cachedPage{}
	}
	es, err := DecodePage(value)
	if err != nil {
		was, there := p.byKey[key]
		if !there {
			was = p.previous[key]
		}
		p.byKey[key] = cachedPage{stamp, was.entries, true}
		return err
	}
	p.byKey[key] = cachedPage{stamp, es, false}
	return nil
}

// Newest is a job's newest date, of whatever page: an entry that has moved may still stand
// in the page where it was. known is false where a page that can't be read may hold a
// newer one: a page of its team, by the prefix of their keys, that was written after
// the job's record, which stands under the given stamp. Then nothing may be told.
func (p *Pages) Newest(job, prefix string, stamp uint64) (best Entry, known bool) {
	known = true
	for key, r := range p.byKey {
		if e, ok := r.entries[job]; ok {
			if e.Revision > best.Revision {
				best = e
			}
		} else if r.unreadable && r.entries == nil && r.modRevision > stamp && strings.HasPrefix(key, prefix) {
			known = false
		}
	}
	return best, known
}

// NewWriter is the pages under a prefix, for their writer to go on with.
func (p *Pages) NewWriter(prefix string, limit int) *PageWriter {
	b := NewPageWriter(limit)
	for _, key := range slices.Sorted(maps.Keys(p.byKey)) {
		name, ok := strings.CutPrefix(key, prefix)
		n, err := strconv.Atoi(name)
		if !ok || err != nil || n < 0 || strconv.Itoa(n) != name {
			continue
		}
		if r := p.byKey[key]; r.unreadable {
			b.Abandon(n)
		} else {
			b.Load(n, r.modRevision, r.entries)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(p.byKey)) {
		if r := p.byKey[key]; r.unreadable && strings.HasPrefix(key, prefix) {
			// The last good one goes on to count, and is to be read by others.
			for _, id := range slices.Sorted(maps.Keys(r.entries)) {
				b.Put(r.entries[id])
			}
		}
	}
	b.splitOversized()
	return b
}

// splitOversized has the dates of pages that were written under a larger limit go to others.
func (b *PageWriter) splitOversized() {
	for _, n := range slices.Sorted(maps.Keys(b.pages)) {
		p := b.pages[n]
		if p.abandoned || p.size <= b.maxBytes || len(p.entries) < 2 {
			continue
		}
		es := p.entries
		p.entries, p.relocated = map[string]Entry{}, true
		p.measure()
		for _, id := range slices.Sorted(maps.Keys(es)) {
			delete(b.pageOf, id)
			b.Put(es[id])
		}
	}
}

// PageWriter is a team's pages as their writer has them: the team's owner. What was entered
// never changes but by the next revision, whatever becomes of the writes.
type PageWriter struct {
	maxBytes int
	pages    map[int]*page
	// pageOf is where each job stands.
	pageOf map[string]int
}

type page struct {
	modRevision uint64
	entries     map[string]Entry
	// size is an upper bound of the page as JSON, and changed are the entries that are
	// not durable.
	size  int
	dirty map[string]bool
	// known: its stamp is that of the last write. Else it has to be read.
	revisionKnown bool
	// left: what stands there can't be read, and is let alone.
	abandoned bool
	// moved: its dates have gone to other pages, as it is larger than may be written. It
	// goes when they are durable there.
	relocated bool
}

// NewPageWriter is a book of pages of up to limit bytes as JSON.
func NewPageWriter(limit int) *PageWriter {
	return &PageWriter{maxBytes: limit, pages: map[int]*page{}, pageOf: map[string]int{}}
}

// Load takes in a page as it stands in the state service when the team comes. Of two
// entries of a job the newer counts.
func (b *PageWriter) Load(n int, stamp uint64, es map[string]Entry) {
	p := b.pageAt(n)
	p.modRevision = stamp
	for _, id := range slices.Sorted(maps.Keys(es)) {
		if k, there := b.pageOf[id]; there && b.pages[k].entries[id].Revision >= es[id].Revision {
			continue
		} else if there {
			b.pages[k].size -= rowBytes(b.pages[k].entries[id])
			delete(b.pages[k].entries, id)
		}
		p.entries[id], b.pageOf[id] = es[id], n
	}
	p.measure()
}

func (b *PageWriter) pageAt(n int) *page {
	p := b.pages[n]
	if p == nil {
		p = &page{entries: map[string]Entry{}, dirty: map[string]bool{}, revisionKnown: true}
		p.measure()
		b.pages[n] = p
	}
	return p
}

func (p *page) measure() { p.size = jsonSize(encodePage(p.entries)) }

// rowBytes is an upper bound of an entry's length as JSON, with what stands between two.
func rowBytes(e Entry) int { return jsonSize(encode(e.stored())) + 2 }

// Lookup is a job's date, durable or not.
func (b *PageWriter) Lookup(job string) (Entry, bool) {
	n, ok := b.pageOf[job]
	if !ok {
		return Entry{}, false
	}
	return b.pages[n].entries[job], true
}

// IsDurable says that nothing of the job waits to be written.
func (b *PageWriter) IsDurable(job string) bool {
	n, ok := b.pageOf[job]
	return !ok || !b.pages[n].dirty[job]
}

// Put enters a date: the first, or a newer revision in the place of the last. An
// older one, or the same again, changes nothing.
func (b *PageWriter) Put(e Entry) {
	n, there := b.pageOf[e.Job]
	if there && b.pages[n].entries[e.Job].Revision >= e.Revision {
		return
	}
	if !there {
		n = 0
		for {
			if p := b.pageAt(n); !p.abandoned && !p.relocated && (p.size+rowBytes(e) <= b.maxBytes || len(p.entries) == 0) {
				break
			}
			n++
		}
	}
	p := b.pages[n]
	if there {
		p.size -= rowBytes(p.entries[e.Job])
	}
	p.entries[e.Job], b.pageOf[e.Job] = e, n
	p.dirty[e.Job] = true
	p.size += rowBytes(e)
}

// RemoveEnded lets go of the entries of jobs that are over. They leave their page with its
// next write, and a page of which none is left goes.
func (b *PageWriter) RemoveEnded(ended func(job string) bool) {
	for _, p := range b.pages {
		for id, e := range p.entries {
			if ended(id) {
				p.size -= rowBytes(e)
				delete(p.entries, id)
				delete(p.dirty, id)
				delete(b.pageOf, id)
			}
		}
	}
}

// PageWrite is a page to be written: under which number, on which stamp, and its value, nil
// for one that goes. Known false: what stands there has to be read first.
type PageWrite struct {
	Number        int
	ModRevision   uint64
	RevisionKnown bool
	Value         []byte
	entries       map[string]Entry
}

// NextWrite is the page to write next, if any: the one with the most dates that nobody can
// be told yet; else an empty one, which goes.
func (b *PageWriter) NextWrite() (PageWrite, bool) {
	best := -1
	for _, n := range slices.Sorted(maps.Keys(b.pages)) {
		p := b.pages[n]
		if len(p.dirty) > 0 && (best < 0 || len(p.dirty) > len(b.pages[best].dirty)) {
			best = n
		}
	}
	for _, n := range slices.Sorted(maps.Keys(b.pages)) {
		p := b.pages[n]
		if best >= 0 || len(p.entries) > 0 || p.abandoned {
			// Dates that have moved are durable where they are before their page goes.
			continue
		}
		if p.modRevision == 0 && p.revisionKnown {
			delete(b.pages, n)
			continue
		}
		best = n
	}
	if best < 0 {
		return PageWrite{}, false
	}
	p := b.pages[best]
	w := PageWrite{Number: best, ModRevision: p.modRevision, RevisionKnown: p.revisionKnown, entries: maps.Clone(p.entries)}
	if len(p.entries) > 0 {
		w.Value = encodePage(p.entries)
	}
	return w, true
}

// MarkWritten notes that a page is durable, with its stamp, 0 for one that went.
func (b *PageWriter) MarkWritten(w PageWrite, stamp uint64) {
	p := b.pageAt(w.Number)
	p.modRevision, p.revisionKnown = stamp, true
	for id, e := range w.entries {
		if p.entries[id] == e {
			delete(p.dirty, id)
		}
	}
}

// MarkUncertain notes that it is not known what of a write became: perhaps it will be carried
// out later. Stood says what stamp the page has now; then it is written on top.
func (b *PageWriter) MarkUncertain(n int) { b.pageAt(n).revisionKnown = false }

// SetRevision notes the stamp that a page has in the state service.
func (b *PageWriter) SetRevision(n int, stamp uint64) {
	p := b.pageAt(n)
	p.modRevision, p.revisionKnown = stamp, true
}

// Abandon lets a page alone that can't be read: it may be of a later version. What was to
// stand there goes elsewhere.
func (b *PageWriter) Abandon(n int) {
	p := b.pageAt(n)
	p.abandoned = true
	es := p.entries
	p.entries, p.dirty = map[string]Entry{}, map[string]bool{}
	p.measure()
	for _, id := range slices.Sorted(maps.Keys(es)) {
		delete(b.pageOf, id)
		b.Put(es[id])
	}
}
