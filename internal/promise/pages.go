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
	V int   `msgpack:"v"`
	E []row `msgpack:"e"`
}

type row struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	MS       int
	Rev      int
	Why      Why
}

func encodePage(es map[string]Entry) []byte {
	r := pageRecord{V: form, E: make([]row, 0, len(es))}
	for _, id := range slices.Sorted(maps.Keys(es)) {
		r.E = append(r.E, es[id].row())
	}
	return encode(r)
}

func (e Entry) row() row {
	return row{Job: e.Job, MS: int(e.After.Milliseconds()), Rev: e.Rev, Why: e.Why}
}

// DecodePage reads a page. One entry that makes no sense spoils it: what it would say
// of the others can't be told from a mistake.
func DecodePage(b []byte) (map[string]Entry, error) {
	var r pageRecord
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if err := checkForm(r.V); err != nil {
		return nil, err
	}
	es := make(map[string]Entry, len(r.E))
	for i, x := range r.E {
		if x.MS < 0 || x.MS > int(Longest.Milliseconds()) {
			return nil, fmt.Errorf("%w: field e[%d]: the date is %d ms: want up to %d", errRecord, i, x.MS, Longest.Milliseconds())
		}
		e := Entry{x.Job, Date{time.Duration(x.MS) * time.Millisecond, x.Rev}, x.Why}
		switch bad := e.Bad(); {
		case bad != "":
			return nil, fmt.Errorf("%w: field e[%d]: %s", errRecord, i, bad)
		case e.Job == "" || len(e.Job) > nameMost:
			return nil, fmt.Errorf("%w: field e[%d]: a job's name has %d bytes: want 1 to %d", errRecord, i, len(e.Job), nameMost)
		case e.Why >= whys:
			return nil, fmt.Errorf("%w: field e[%d]: the reason is %d: want up to %d", errRecord, i, e.Why, whys-1)
		}
		es[e.Job] = e
	}
	return es, nil
}

// Pages is what a controller has read of all pages, by their keys. The zero value is
// ready.
type Pages struct {
	by map[string]readPage
	// last is what was known before all pages were read anew.
	last map[string]readPage
}

// readPage is a page as it was read: bad if it can't be, and without entries then if
// there was never a good one.
type readPage struct {
	stamp   uint64
	entries map[string]Entry
	bad     bool
}

// Anew is a picture to be filled by reading all pages once more.
func (p *Pages) Anew() Pages { return Pages{last: p.by} }

// Take takes in a page as it was read, nil for one that is gone. Of one that can't be
// read the last good one goes on to count.
func (p *Pages) Take(key string, stamp uint64, value []byte) error {
	if value == nil {
		delete(p.by, key)
		return nil
	}
	if p.by == nil {
		p.by = map[string]readPage{}
	}
	es, err := DecodePage(value)
	if err != nil {
		was, there := p.by[key]
		if !there {
			was = p.last[key]
		}
		p.by[key] = readPage{stamp, was.entries, true}
		return err
	}
	p.by[key] = readPage{stamp, es, false}
	return nil
}

// Of is a job's newest date, of whatever page: an entry that has moved may still stand
// in the page where it was. known is false where a page that can't be read may hold a
// newer one: a page of its team, by the prefix of their keys, that was written after
// the job's record, which stands under the given stamp. Then nothing may be told.
func (p *Pages) Of(job, prefix string, stamp uint64) (best Entry, known bool) {
	known = true
	for key, r := range p.by {
		if e, ok := r.entries[job]; ok {
			if e.Rev > best.Rev {
				best = e
			}
		} else if r.bad && r.entries == nil && r.stamp > stamp && strings.HasPrefix(key, prefix) {
			known = false
		}
	}
	return best, known
}

// Book is the pages under a prefix, for their writer to go on with.
func (p *Pages) Book(prefix string, limit int) *Book {
	b := NewBook(limit)
	for _, key := range slices.Sorted(maps.Keys(p.by)) {
		name, ok := strings.CutPrefix(key, prefix)
		n, err := strconv.Atoi(name)
		if !ok || err != nil || n < 0 || strconv.Itoa(n) != name {
			continue
		}
		if r := p.by[key]; r.bad {
			b.Leave(n)
		} else {
			b.Read(n, r.stamp, r.entries)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(p.by)) {
		if r := p.by[key]; r.bad && strings.HasPrefix(key, prefix) {
			// The last good one goes on to count, and is to be read by others.
			for _, id := range slices.Sorted(maps.Keys(r.entries)) {
				b.Put(r.entries[id])
			}
		}
	}
	b.spread()
	return b
}

// spread has the dates of pages that were written under a larger limit go to others.
func (b *Book) spread() {
	for _, n := range slices.Sorted(maps.Keys(b.pages)) {
		p := b.pages[n]
		if p.left || p.size <= b.limit || len(p.entries) < 2 {
			continue
		}
		es := p.entries
		p.entries, p.moved = map[string]Entry{}, true
		p.count()
		for _, id := range slices.Sorted(maps.Keys(es)) {
			delete(b.at, id)
			b.Put(es[id])
		}
	}
}

// Book is a team's pages as their writer has them: the team's owner. What was entered
// never changes but by the next revision, whatever becomes of the writes.
type Book struct {
	limit int
	pages map[int]*page
	// at is where each job stands.
	at map[string]int
}

type page struct {
	stamp   uint64
	entries map[string]Entry
	// size is an upper bound of the page as JSON, and changed are the entries that are
	// not durable.
	size    int
	changed map[string]bool
	// known: its stamp is that of the last write. Else it has to be read.
	known bool
	// left: what stands there can't be read, and is let alone.
	left bool
	// moved: its dates have gone to other pages, as it is larger than may be written. It
	// goes when they are durable there.
	moved bool
}

// NewBook is a book of pages of up to limit bytes as JSON.
func NewBook(limit int) *Book {
	return &Book{limit: limit, pages: map[int]*page{}, at: map[string]int{}}
}

// Read takes in a page as it stands in the state service when the team comes. Of two
// entries of a job the newer counts.
func (b *Book) Read(n int, stamp uint64, es map[string]Entry) {
	p := b.page(n)
	p.stamp = stamp
	for _, id := range slices.Sorted(maps.Keys(es)) {
		if k, there := b.at[id]; there && b.pages[k].entries[id].Rev >= es[id].Rev {
			continue
		} else if there {
			b.pages[k].size -= rowBytes(b.pages[k].entries[id])
			delete(b.pages[k].entries, id)
		}
		p.entries[id], b.at[id] = es[id], n
	}
	p.count()
}

func (b *Book) page(n int) *page {
	p := b.pages[n]
	if p == nil {
		p = &page{entries: map[string]Entry{}, changed: map[string]bool{}, known: true}
		p.count()
		b.pages[n] = p
	}
	return p
}

func (p *page) count() { p.size = size(encodePage(p.entries)) }

// rowBytes is an upper bound of an entry's length as JSON, with what stands between two.
func rowBytes(e Entry) int { return size(encode(e.row())) + 2 }

// Of is a job's date, durable or not.
func (b *Book) Of(job string) (Entry, bool) {
	n, ok := b.at[job]
	if !ok {
		return Entry{}, false
	}
	return b.pages[n].entries[job], true
}

// Durable says that nothing of the job waits to be written.
func (b *Book) Durable(job string) bool {
	n, ok := b.at[job]
	return !ok || !b.pages[n].changed[job]
}

// Put enters a date: the first, or a newer revision in the place of the last. An
// older one, or the same again, changes nothing.
func (b *Book) Put(e Entry) {
	n, there := b.at[e.Job]
	if there && b.pages[n].entries[e.Job].Rev >= e.Rev {
		return
	}
	if !there {
		n = 0
		for {
			if p := b.page(n); !p.left && !p.moved && (p.size+rowBytes(e) <= b.limit || len(p.entries) == 0) {
				break
			}
			n++
		}
	}
	p := b.pages[n]
	if there {
		p.size -= rowBytes(p.entries[e.Job])
	}
	p.entries[e.Job], b.at[e.Job] = e, n
	p.changed[e.Job] = true
	p.size += rowBytes(e)
}

// Sweep lets go of the entries of jobs that are over. They leave their page with its
// next write, and a page of which none is left goes.
func (b *Book) Sweep(over func(job string) bool) {
	for _, p := range b.pages {
		for id, e := range p.entries {
			if over(id) {
				p.size -= rowBytes(e)
				delete(p.entries, id)
				delete(p.changed, id)
				delete(b.at, id)
			}
		}
	}
}

// Write is a page to be written: under which number, on which stamp, and its value, nil
// for one that goes. Known false: what stands there has to be read first.
type Write struct {
	N       int
	Stamp   uint64
	Known   bool
	Value   []byte
	entries map[string]Entry
}

// Next is the page to write next, if any: the one with the most dates that nobody can
// be told yet; else an empty one, which goes.
func (b *Book) Next() (Write, bool) {
	best := -1
	for _, n := range slices.Sorted(maps.Keys(b.pages)) {
		p := b.pages[n]
		if len(p.changed) > 0 && (best < 0 || len(p.changed) > len(b.pages[best].changed)) {
			best = n
		}
	}
	for _, n := range slices.Sorted(maps.Keys(b.pages)) {
		p := b.pages[n]
		if best >= 0 || len(p.entries) > 0 || p.left {
			// Dates that have moved are durable where they are before their page goes.
			continue
		}
		if p.stamp == 0 && p.known {
			delete(b.pages, n)
			continue
		}
		best = n
	}
	if best < 0 {
		return Write{}, false
	}
	p := b.pages[best]
	w := Write{N: best, Stamp: p.stamp, Known: p.known, entries: maps.Clone(p.entries)}
	if len(p.entries) > 0 {
		w.Value = encodePage(p.entries)
	}
	return w, true
}

// Wrote notes that a page is durable, with its stamp, 0 for one that went.
func (b *Book) Wrote(w Write, stamp uint64) {
	p := b.page(w.N)
	p.stamp, p.known = stamp, true
	for id, e := range w.entries {
		if p.entries[id] == e {
			delete(p.changed, id)
		}
	}
}

// Doubt notes that it is not known what of a write became: perhaps it will be carried
// out later. Stood says what stamp the page has now; then it is written on top.
func (b *Book) Doubt(n int) { b.page(n).known = false }

// Stood notes the stamp that a page has in the state service.
func (b *Book) Stood(n int, stamp uint64) {
	p := b.page(n)
	p.stamp, p.known = stamp, true
}

// Leave lets a page alone that can't be read: it may be of a later version. What was to
// stand there goes elsewhere.
func (b *Book) Leave(n int) {
	p := b.page(n)
	p.left = true
	es := p.entries
	p.entries, p.changed = map[string]Entry{}, map[string]bool{}
	p.count()
	for _, id := range slices.Sorted(maps.Keys(es)) {
		delete(b.at, id)
		b.Put(es[id])
	}
}
