package promise

import (
	"fmt"
	"testing"
	"time"
)

// testPrefix begins the keys of the pages in the tests.
const testPrefix = "open/~ops/"

// pageStore is a state service that stores pages, with the dates that readers of the pages
// must find.
type pageStore struct {
	t           *testing.T
	values      map[string][]byte
	modRevision uint64
	want        map[string]Date
}

// pages reads all pages, as a controller does that takes over the team.
func (store *pageStore) pages() *Pages {
	store.t.Helper()
	pages := &Pages{}
	for key, value := range store.values {
		if err := pages.Apply(key, store.modRevision, value); err != nil {
			store.t.Fatal(err)
		}
	}
	return pages
}

// writeNext applies the writer's next write, and returns false if there is none. It fails
// the test unless the page is within the writer's limit and readers find every job's
// newest date afterwards.
func (store *pageStore) writeNext(writer *PageWriter) bool {
	store.t.Helper()
	write, ok := writer.NextWrite()
	if !ok {
		return false
	}
	store.modRevision++
	key := fmt.Sprint(testPrefix, write.Number)
	if write.Value == nil {
		delete(store.values, key)
		writer.MarkWritten(write, 0)
	} else {
		if size := jsonSize(write.Value); size > writer.maxBytes {
			store.t.Fatalf("got a page of %d bytes, want %d at most", size, writer.maxBytes)
		}
		store.values[key] = write.Value
		writer.MarkWritten(write, store.modRevision)
	}
	pages := store.pages()
	for job, date := range store.want {
		if entry, known := pages.Newest(job, testPrefix, 0); !known || entry.Date != date {
			store.t.Fatalf("%s: got %+v, known %v; want %+v", job, entry.Date, known, date)
		}
	}
	return true
}

// TestPagesAboveTheLimit guards against lost dates when the size limit of pages is
// lowered. Pages that were written under a larger limit are taken over under a smaller
// one: every page written then is within the limit, and each job's newest date can be read
// at every moment, also when a successor takes over between two writes.
func TestPagesAboveTheLimit(t *testing.T) {
	const oldLimit, newLimit = 3072, 1536
	store := &pageStore{t: t, values: map[string][]byte{}, want: map[string]Date{}}
	writer := NewPageWriter(oldLimit)
	dates := map[string]Date{}
	for i := range 200 {
		entry := Entry{Job: fmt.Sprintf("job-%06d", i), Date: Date{After: time.Duration(100+i) * time.Second, Revision: 1}}
		writer.Put(entry)
		dates[entry.Job] = entry.Date
	}
	for store.writeNext(writer) {
	}
	store.want = dates
	// Each successor makes more writes than the one before.
	for writes := range 12 {
		writer = store.pages().NewWriter(testPrefix, newLimit)
		for range writes {
			store.writeNext(writer)
		}
	}
	// Dates are revised before all pages are split. A revised date has to be found once it
	// is durable.
	writer = store.pages().NewWriter(testPrefix, newLimit)
	for i := range 40 {
		job := fmt.Sprintf("job-%06d", 5*i)
		entry := Entry{Job: job, Date: Date{After: store.want[job].After + time.Minute, Revision: 2}}
		writer.Put(entry)
		for !writer.IsDurable(job) {
			write, ok := writer.NextWrite()
			if !ok {
				t.Fatalf("%s: got no write, want one that makes its date durable", job)
			}
			if _, included := write.entries[job]; included {
				store.want[job] = entry.Date
			}
			store.writeNext(writer)
		}
	}
	for store.writeNext(writer) {
	}
	for key, value := range store.values {
		if size := jsonSize(value); size > newLimit {
			t.Errorf("%s: got %d bytes in the end, want %d at most", key, size, newLimit)
		}
	}
}
