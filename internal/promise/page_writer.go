package promise

import (
	"maps"
	"slices"
)

// PageWriter holds the pages of one team for their only writer, the team's shard leader.
// An entry is only ever replaced by a newer revision, whatever the outcomes of writes. The
// caller decides when to write: it takes a page from NextWrite and reports the outcome by
// MarkWritten, MarkUncertain, SetRevision or Abandon.
type PageWriter struct {
	// maxBytes is the largest size of a page in bytes as JSON.
	maxBytes int
	pages    map[int]*page
	// pageOf has the number of the page that holds a job's entry, by job.
	pageOf map[string]int
}

// page is a page as it is to be stored.
type page struct {
	modRevision uint64
	entries     map[string]Entry
	// size is an upper bound of the page's size in bytes as JSON.
	size int
	// dirty has the jobs whose entries are not known to be durable.
	dirty map[string]bool
	// revisionKnown says that modRevision is that of the stored page. Otherwise it has to
	// be read before the next write.
	revisionKnown bool
	// abandoned says that the stored page is unreadable. The page is never written.
	abandoned bool
	// relocated says that the page was larger than the limit and its entries were moved to
	// other pages. The page is deleted when they are durable there.
	relocated bool
}

// NewPageWriter returns a writer without pages. limit is the largest size of a page in
// bytes as JSON.
func NewPageWriter(limit int) *PageWriter {
	return &PageWriter{maxBytes: limit, pages: map[int]*page{}, pageOf: map[string]int{}}
}

// splitOversized relocates the entries of pages that were written under a larger limit.
func (writer *PageWriter) splitOversized() {
	for _, n := range slices.Sorted(maps.Keys(writer.pages)) {
		page := writer.pages[n]
		if page.abandoned || page.size <= writer.maxBytes || len(page.entries) < 2 {
			continue
		}
		entries := page.entries
		page.entries, page.relocated = map[string]Entry{}, true
		page.measure()
		writer.relocate(entries)
	}
}

// relocate puts entries, which were removed from a page that takes no more entries, in
// other pages.
func (writer *PageWriter) relocate(entries map[string]Entry) {
	for _, job := range slices.Sorted(maps.Keys(entries)) {
		delete(writer.pageOf, job)
		writer.Put(entries[job])
	}
}

// Load adds page n as stored at modRevision, when a shard leader takes over the team. Of
// two entries of a job the newer one is kept.
func (writer *PageWriter) Load(n int, modRevision uint64, entries map[string]Entry) {
	page := writer.pageAt(n)
	page.modRevision = modRevision
	for _, job := range slices.Sorted(maps.Keys(entries)) {
		if other, loaded := writer.pageOf[job]; loaded {
			if writer.pages[other].entries[job].Revision >= entries[job].Revision {
				continue
			}
			writer.pages[other].remove(job)
		}
		page.entries[job], writer.pageOf[job] = entries[job], n
	}
	page.measure()
}

// pageAt returns page n, which it creates if there is none.
func (writer *PageWriter) pageAt(n int) *page {
	found := writer.pages[n]
	if found == nil {
		found = &page{entries: map[string]Entry{}, dirty: map[string]bool{}, revisionKnown: true}
		found.measure()
		writer.pages[n] = found
	}
	return found
}

// measure recomputes size.
func (page *page) measure() { page.size = jsonSize(encodePage(page.entries)) }

// remove deletes a job's entry and reduces size accordingly.
func (page *page) remove(job string) {
	page.size -= rowBytes(page.entries[job])
	delete(page.entries, job)
}

// rowBytes returns an upper bound of an entry's size as JSON, in bytes and with the
// separator.
func rowBytes(entry Entry) int { return jsonSize(encode(entry.stored())) + 2 }

// Lookup returns a job's entry, durable or not, and whether there is one.
func (writer *PageWriter) Lookup(job string) (Entry, bool) {
	n, ok := writer.pageOf[job]
	if !ok {
		return Entry{}, false
	}
	return writer.pages[n].entries[job], true
}

// IsDurable reports whether the job's entry is durable. It is true for a job without an
// entry.
func (writer *PageWriter) IsDurable(job string) bool {
	n, ok := writer.pageOf[job]
	return !ok || !writer.pages[n].dirty[job]
}

// Put enters a job's date: its first, or a newer revision in place of the last one. The
// same or an older revision changes nothing.
func (writer *PageWriter) Put(entry Entry) {
	n, present := writer.pageOf[entry.Job]
	if present && writer.pages[n].entries[entry.Job].Revision >= entry.Revision {
		return
	}
	if !present {
		n = writer.pageWithSpace(rowBytes(entry))
	}
	page := writer.pages[n]
	if present {
		page.size -= rowBytes(page.entries[entry.Job])
	}
	page.entries[entry.Job], writer.pageOf[entry.Job] = entry, n
	page.dirty[entry.Job] = true
	page.size += rowBytes(entry)
}

// pageWithSpace returns the number of the first page that can take an entry of that size
// in bytes. An entry above the limit gets a page of its own.
func (writer *PageWriter) pageWithSpace(size int) int {
	for n := 0; ; n++ {
		if page := writer.pageAt(n); !page.abandoned && !page.relocated && (page.size+size <= writer.maxBytes || len(page.entries) == 0) {
			return n
		}
	}
}

// RemoveEnded removes the entries of jobs that have ended. The stored page keeps them
// until its next write. An empty page is deleted.
func (writer *PageWriter) RemoveEnded(ended func(job string) bool) {
	for _, page := range writer.pages {
		for job := range page.entries {
			if ended(job) {
				page.remove(job)
				delete(page.dirty, job)
				delete(writer.pageOf, job)
			}
		}
	}
}

// PageWrite is a page to be written if the stored page still has ModRevision. A nil Value
// deletes the page. If RevisionKnown is false, the page's mod revision has to be read
// first.
type PageWrite struct {
	Number        int
	ModRevision   uint64
	RevisionKnown bool
	Value         []byte
	entries       map[string]Entry
}

// NextWrite returns the page to write next, if any: the page with the most entries that
// are not durable, or without such entries an empty page to delete.
func (writer *PageWriter) NextWrite() (PageWrite, bool) {
	best := -1
	for _, n := range slices.Sorted(maps.Keys(writer.pages)) {
		page := writer.pages[n]
		if len(page.dirty) > 0 && (best < 0 || len(page.dirty) > len(writer.pages[best].dirty)) {
			best = n
		}
	}
	for _, n := range slices.Sorted(maps.Keys(writer.pages)) {
		page := writer.pages[n]
		if best >= 0 || len(page.entries) > 0 || page.abandoned {
			// A page is deleted only when no entry is dirty: relocated entries have to be
			// durable in their new pages before the old page is deleted.
			continue
		}
		if page.modRevision == 0 && page.revisionKnown {
			delete(writer.pages, n)
			continue
		}
		best = n
	}
	if best < 0 {
		return PageWrite{}, false
	}
	page := writer.pages[best]
	write := PageWrite{Number: best, ModRevision: page.modRevision, RevisionKnown: page.revisionKnown, entries: maps.Clone(page.entries)}
	if len(page.entries) > 0 {
		write.Value = encodePage(page.entries)
	}
	return write, true
}

// MarkWritten records that a write is durable. modRevision is the page's new mod revision,
// 0 for a deleted page.
func (writer *PageWriter) MarkWritten(write PageWrite, modRevision uint64) {
	writer.SetRevision(write.Number, modRevision)
	page := writer.pages[write.Number]
	for job, entry := range write.entries {
		if page.entries[job] == entry {
			delete(page.dirty, job)
		}
	}
}

// MarkUncertain records that the outcome of a write to page n is unknown: the write may
// still be applied. The page is written again after SetRevision.
func (writer *PageWriter) MarkUncertain(n int) { writer.pageAt(n).revisionKnown = false }

// SetRevision records the mod revision of page n as stored, 0 if there is no such page.
func (writer *PageWriter) SetRevision(n int, modRevision uint64) {
	page := writer.pageAt(n)
	page.modRevision, page.revisionKnown = modRevision, true
}

// Abandon stops the use of page n because its stored value can't be read: a later version
// may have written it. The page's entries move to other pages.
func (writer *PageWriter) Abandon(n int) {
	page := writer.pageAt(n)
	page.abandoned = true
	entries := page.entries
	page.entries, page.dirty = map[string]Entry{}, map[string]bool{}
	page.measure()
	writer.relocate(entries)
}
