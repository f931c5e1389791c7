package promise

import (
	"fmt"
	"testing"
	"time"
)

const testPrefix = "open/~ops/"

// pageStore is a state service that holds pages, and the dates that its readers must
// find.
type pageStore struct {
	t           *testing.T
	values      map[string][]byte
	modRevision uint64
	want        map[string]Date
}

// pages reads all pages, as a controller does that takes over.
func (s *pageStore) pages() *Pages {
	s.t.Helper()
	pages := &Pages{}
	for key, value := range s.values {
		if err := pages.Apply(key, s.modRevision, value); err != nil {
			s.t.Fatal(err)
		}
	}
	return pages
}

// writeNext applies the writer's next write, if any. The page must fit the writer's
// limit, and afterwards every job's newest date must be found.
func (s *pageStore) writeNext(w *PageWriter) bool {
	s.t.Helper()
	write, ok := w.NextWrite()
	if !ok {
		return false
	}
	s.modRevision++
	key := fmt.Sprint(testPrefix, write.Number)
	if write.Value == nil {
		delete(s.values, key)
		w.MarkWritten(write, 0)
	} else {
		if size := jsonSize(write.Value); size > w.maxBytes {
			s.t.Fatalf("got a page of %d bytes, want %d at most", size, w.maxBytes)
		}
		s.values[key] = write.Value
		w.MarkWritten(write, s.modRevision)
	}
	pages := s.pages()
	for job, date := range s.want {
		if e, known := pages.Newest(job, testPrefix, 0); !known || e.Date != date {
			s.t.Fatalf("%s: got %+v, known %v; want %+v", job, e.Date, known, date)
		}
	}
	return true
}

// TestPagesAboveTheLimit: pages that were written under a larger limit are taken over
// under a lower one. Whatever is written fits, and at every moment each job's newest date
// can be read, also by a successor that starts in the middle.
func TestPagesAboveTheLimit(t *testing.T) {
	const oldLimit, newLimit = 3072, 1536
	store := &pageStore{t: t, values: map[string][]byte{}, want: map[string]Date{}}
	writer := NewPageWriter(oldLimit)
	dates := map[string]Date{}
	for i := range 200 {
		e := Entry{Job: fmt.Sprintf("job-%06d", i), Date: Date{After: time.Duration(100+i) * time.Second, Revision: 1}}
		writer.Put(e)
		dates[e.Job] = e.Date
	}
	for store.writeNext(writer) {
	}
	store.want = dates
	// Each successor gets a little further.
	for writes := range 12 {
		writer = store.pages().NewWriter(testPrefix, newLimit)
		for range writes {
			store.writeNext(writer)
		}
	}
	// Dates change meanwhile. A date has to be found once it is durable.
	writer = store.pages().NewWriter(testPrefix, newLimit)
	for i := range 40 {
		job := fmt.Sprintf("job-%06d", 5*i)
		e := Entry{Job: job, Date: Date{After: store.want[job].After + time.Minute, Revision: 2}}
		writer.Put(e)
		for !writer.IsDurable(job) {
			write, ok := writer.NextWrite()
			if !ok {
				t.Fatalf("%s: got no write, want one that makes its date durable", job)
			}
			if _, included := write.entries[job]; included {
				store.want[job] = e.Date
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
