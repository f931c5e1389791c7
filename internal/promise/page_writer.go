package promise

import (
	"maps"
	"slices"
)

// PageWriter holds the pages of one team as their only writer, the team's shard leader,
// has them. An entry changes by its next revision only, whatever becomes of the writes.
// Its caller decides when to write: it takes NextWrite, and notes the outcome by
// MarkWritten, MarkUncertain and SetRevision, or Abandon.
type PageWriter struct {
	// maxBytes bounds a page as JSON.
	maxBytes int
	pages    map[int]*page
	// pageOf is the number of the page that holds a job's entry.
	pageOf map[string]int
}

type page struct {
	modRevision uint64
	entries     map[string]Entry
	// size is an upper bound of the page's bytes as JSON.
	size int
	// dirty holds the jobs whose entries are not durable.
	dirty map[string]bool
	// revisionKnown says that modRevision is that of the last write. Else it has to be
	// read.
	revisionKnown bool
	// abandoned pages hold an unreadable value, and are never written.
	abandoned bool
	// relocated pages were larger than may be written. Their entries have gone to other
	// pages; the page is deleted when they are durable there.
	relocated bool
}

// NewPageWriter returns a writer without pages. limit bounds the bytes of a page as
// JSON.
func NewPageWriter(limit int) *PageWriter {
	return &PageWriter{maxBytes: limit, pages: map[int]*page{}, pageOf: map[string]int{}}
}

// splitOversized relocates the entries of pages that were written under a larger limit.
func (w *PageWriter) splitOversized() {
	for _, n := range slices.Sorted(maps.Keys(w.pages)) {
		p := w.pages[n]
		if p.abandoned || p.size <= w.maxBytes || len(p.entries) < 2 {
			continue
		}
		entries := p.entries
		p.entries, p.relocated = map[string]Entry{}, true
		p.measure()
		w.relocate(entries)
	}
}

// relocate enters the entries, whose page no longer takes any, in other pages.
func (w *PageWriter) relocate(entries map[string]Entry) {
	for _, job := range slices.Sorted(maps.Keys(entries)) {
		delete(w.pageOf, job)
		w.Put(entries[job])
	}
}

// Load takes in page n as stored at modRevision when the team is taken over. Of two
// entries of a job the newer counts.
func (w *PageWriter) Load(n int, modRevision uint64, entries map[string]Entry) {
	p := w.pageAt(n)
	p.modRevision = modRevision
	for _, job := range slices.Sorted(maps.Keys(entries)) {
		if other, loaded := w.pageOf[job]; loaded {
			if w.pages[other].entries[job].Revision >= entries[job].Revision {
				continue
			}
			w.pages[other].remove(job)
		}
		p.entries[job], w.pageOf[job] = entries[job], n
	}
	p.measure()
}

func (w *PageWriter) pageAt(n int) *page {
	p := w.pages[n]
	if p == nil {
		p = &page{entries: map[string]Entry{}, dirty: map[string]bool{}, revisionKnown: true}
		p.measure()
		w.pages[n] = p
	}
	return p
}

func (p *page) measure() { p.size = jsonSize(encodePage(p.entries)) }

// remove deletes a job's entry.
func (p *page) remove(job string) {
	p.size -= rowBytes(p.entries[job])
	delete(p.entries, job)
}

// rowBytes is an upper bound of an entry's bytes as JSON, with the separator.
func rowBytes(e Entry) int { return jsonSize(encode(e.stored())) + 2 }

// Lookup is a job's date, durable or not.
func (w *PageWriter) Lookup(job string) (Entry, bool) {
	n, ok := w.pageOf[job]
	if !ok {
		return Entry{}, false
	}
	return w.pages[n].entries[job], true
}

// IsDurable says that no entry of the job waits to be written.
func (w *PageWriter) IsDurable(job string) bool {
	n, ok := w.pageOf[job]
	return !ok || !w.pages[n].dirty[job]
}

// Put enters a date: a job's first, or a newer revision in the place of the last one.
// An older revision, or the same again, changes nothing.
func (w *PageWriter) Put(e Entry) {
	n, present := w.pageOf[e.Job]
	if present && w.pages[n].entries[e.Job].Revision >= e.Revision {
		return
	}
	if !present {
		n = w.pageWithSpace(rowBytes(e))
	}
	p := w.pages[n]
	if present {
		p.size -= rowBytes(p.entries[e.Job])
	}
	p.entries[e.Job], w.pageOf[e.Job] = e, n
	p.dirty[e.Job] = true
	p.size += rowBytes(e)
}

// pageWithSpace is the first page that takes an entry of that size. An entry above the
// limit gets a page of its own.
func (w *PageWriter) pageWithSpace(size int) int {
	for n := 0; ; n++ {
		if p := w.pageAt(n); !p.abandoned && !p.relocated && (p.size+size <= w.maxBytes || len(p.entries) == 0) {
			return n
		}
	}
}

// RemoveEnded drops the entries of jobs that have ended. They leave their page with its
// next write; an empty page is deleted.
func (w *PageWriter) RemoveEnded(ended func(job string) bool) {
	for _, p := range w.pages {
		for job := range p.entries {
			if ended(job) {
				p.remove(job)
				delete(p.dirty, job)
				delete(w.pageOf, job)
			}
		}
	}
}

// PageWrite is a page to be written, provided that it stands at ModRevision. A nil Value
// deletes it. If RevisionKnown is false its mod revision has to be read first.
type PageWrite struct {
	Number        int
	ModRevision   uint64
	RevisionKnown bool
	Value         []byte
	entries       map[string]Entry
}

// NextWrite returns the page to write next, if any: the one with the most entries that
// are not durable, else an empty one, to delete it.
func (w *PageWriter) NextWrite() (PageWrite, bool) {
	best := -1
	for _, n := range slices.Sorted(maps.Keys(w.pages)) {
		p := w.pages[n]
		if len(p.dirty) > 0 && (best < 0 || len(p.dirty) > len(w.pages[best].dirty)) {
			best = n
		}
	}
	for _, n := range slices.Sorted(maps.Keys(w.pages)) {
		p := w.pages[n]
		if best >= 0 || len(p.entries) > 0 || p.abandoned {
			// Relocated entries have to be durable before their old page is deleted.
			continue
		}
		if p.modRevision == 0 && p.revisionKnown {
			delete(w.pages, n)
			continue
		}
		best = n
	}
	if best < 0 {
		return PageWrite{}, false
	}
	p := w.pages[best]
	write := PageWrite{Number: best, ModRevision: p.modRevision, RevisionKnown: p.revisionKnown, entries: maps.Clone(p.entries)}
	if len(p.entries) > 0 {
		write.Value = encodePage(p.entries)
	}
	return write, true
}

// MarkWritten notes that a write is durable, with the page's new mod revision; 0 for a
// deleted page.
func (w *PageWriter) MarkWritten(write PageWrite, modRevision uint64) {
	w.SetRevision(write.Number, modRevision)
	p := w.pages[write.Number]
	for job, e := range write.entries {
		if p.entries[job] == e {
			delete(p.dirty, job)
		}
	}
}

// MarkUncertain notes that the outcome of a write to page n is not known: it may still be
// applied. Once SetRevision has the page's mod revision the page is written again.
func (w *PageWriter) MarkUncertain(n int) { w.pageAt(n).revisionKnown = false }

// SetRevision notes the mod revision of page n in the state service.
func (w *PageWriter) SetRevision(n int, modRevision uint64) {
	p := w.pageAt(n)
	p.modRevision, p.revisionKnown = modRevision, true
}

// Abandon stops the use of page n, which can't be read: a later version may have written
// it. Its entries go to other pages.
func (w *PageWriter) Abandon(n int) {
	p := w.pageAt(n)
	p.abandoned = true
	entries := p.entries
	p.entries, p.dirty = map[string]Entry{}, map[string]bool{}
	p.measure()
	w.relocate(entries)
}
