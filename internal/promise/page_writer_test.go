package promise

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const writerLimit = 400

type storedPage struct {
	modRevision uint64
	value       []byte
}

// pageWriterModel is a team's writer over a state service that loses responses and
// applies writes late, with a reader that watches the pages.
type pageWriterModel struct {
	t           *rapid.T
	store       map[int]storedPage
	modRevision uint64
	pages       Pages
	// late are writes that may still be applied.
	late   []PageWrite
	writer *PageWriter
	// openDates are the dates that were entered, of jobs that have not ended, and seen
	// the revisions that the reader has seen.
	openDates map[string]Entry
	seen      map[string]int
	jobCount  int
}

// apply applies a write if the page stands at its mod revision. The reader may not see an
// older date than before.
func (m *pageWriterModel) apply(write PageWrite) bool {
	if m.store[write.Number].modRevision != write.ModRevision {
		return false
	}
	m.modRevision++
	if write.Value == nil {
		delete(m.store, write.Number)
	} else {
		if size := jsonSize(write.Value); size > writerLimit {
			m.t.Fatalf("got a page of %d bytes, want %d at most", size, writerLimit)
		}
		m.store[write.Number] = storedPage{m.modRevision, write.Value}
	}
	if err := m.pages.Apply(fmt.Sprint("p/", write.Number), m.modRevision, write.Value); err != nil {
		m.t.Fatal(err)
	}
	for job := range m.openDates {
		e, known := m.pages.Newest(job, "p/", 0)
		if !known || e.Revision < m.seen[job] {
			m.t.Fatalf("%s: got %v, known %v; want revision %d or later", job, e, known, m.seen[job])
		}
		m.seen[job] = e.Revision
	}
	return true
}

// writeNext does the writer's next write: 0 delays it, 1 loses the response, and any
// other outcome is success.
func (m *pageWriterModel) writeNext(outcome int) {
	write, ok := m.writer.NextWrite()
	switch {
	case !ok:
	case !write.RevisionKnown:
		m.writer.SetRevision(write.Number, m.store[write.Number].modRevision)
	case outcome == 0:
		m.late = append(m.late, write)
		m.writer.MarkUncertain(write.Number)
	case !m.apply(write), outcome == 1:
		m.writer.MarkUncertain(write.Number)
	default:
		m.writer.MarkWritten(write, m.store[write.Number].modRevision)
	}
}

func (m *pageWriterModel) addJob() {
	m.jobCount++
	e := Entry{fmt.Sprintf("job-%04d", m.jobCount), Date{time.Duration(m.jobCount+1) * time.Second, 1}, FirstDate}
	m.openDates[e.Job] = e
	m.writer.Put(e)
}

// reviseOne revises the date of one job.
func (m *pageWriterModel) reviseOne() {
	for _, job := range slices.Sorted(maps.Keys(m.openDates)) {
		if e := m.openDates[job]; e.Revision <= MaxRevisions && rapid.Bool().Draw(m.t, "revised") {
			e.Revision, e.After, e.Reason = e.Revision+1, e.After+time.Second, MachinesLost
			m.openDates[job] = e
			m.writer.Put(e)
			// The same revision again must not change the date.
			e.After += time.Hour
			m.writer.Put(e)
			return
		}
	}
}

func (m *pageWriterModel) endSome() {
	for _, job := range slices.Sorted(maps.Keys(m.openDates)) {
		if rapid.IntRange(0, 2).Draw(m.t, "over") == 0 {
			delete(m.openDates, job)
		}
	}
	m.removeEnded()
}

func (m *pageWriterModel) removeEnded() {
	m.writer.RemoveEnded(func(job string) bool { _, open := m.openDates[job]; return !open })
}

// takeOver replaces the writer by a successor that goes on from the stored pages. Dates
// that were not written have not been promised. The shard's epoch fences the
// predecessor's late writes.
func (m *pageWriterModel) takeOver() {
	m.late = nil
	m.writer = m.pages.NewWriter("p/", writerLimit)
	for job, e := range m.openDates {
		if was, ok := m.writer.Lookup(job); !ok {
			m.writer.Put(e)
		} else {
			m.openDates[job] = was
		}
	}
}

// settle writes everything, and has a successor remove ended jobs: a deleted page may
// have come back by a late write.
func (m *pageWriterModel) settle() {
	for range 200 {
		m.writeNext(2)
	}
	m.writer = m.pages.NewWriter("p/", writerLimit)
	m.removeEnded()
	for range 200 {
		m.writeNext(2)
	}
}

// TestPageWriter: over a state service that loses responses and applies writes late, a
// reader never sees an older date of an open job after a newer one, all dates are stored
// in the end, and pages keep their limit.
func TestPageWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &pageWriterModel{t: t, store: map[int]storedPage{}, writer: NewPageWriter(writerLimit), openDates: map[string]Entry{}, seen: map[string]int{}}
		for range 60 {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				m.addJob()
			case 2:
				m.reviseOne()
			case 3:
				m.endSome()
			case 4:
				if len(m.late) > 0 {
					m.apply(m.late[rapid.IntRange(0, len(m.late)-1).Draw(t, "late")])
				}
			case 5:
				m.writeNext(rapid.IntRange(0, 4).Draw(t, "kind"))
			case 6:
				m.takeOver()
			}
		}
		m.settle()
		for job, want := range m.openDates {
			if got, _ := m.pages.Newest(job, "p/", 0); got != want || !m.writer.IsDurable(job) {
				t.Fatalf("%s: got %v in the end, durable %v; want %v, true", job, got, m.writer.IsDurable(job), want)
			}
		}
		if len(m.openDates) == 0 && len(m.store) > 0 {
			t.Fatalf("got pages %v without open jobs, want none", m.store)
		}
	})
}

// TestBadPages: for an unreadable page the last readable value counts. Without one no date
// is known of older jobs, and the page is not written.
func TestBadPages(t *testing.T) {
	e := Entry{"job-1", Date{time.Minute, 2}, Outage}
	good := encodePage(map[string]Entry{e.Job: e})
	var pages Pages
	for i, value := range [][]byte{good, []byte("x"), encode(pageRecord{Format: 2})} {
		err := pages.Apply("p/0", uint64(i)+5, value)
		if got, known := pages.Newest(e.Job, "p/", 1); got != e || !known || (err != nil) != (i > 0) {
			t.Fatalf("value %d: got %v, known %v, error %v; want %v, true, an error %v", i, got, known, err, e, i > 0)
		}
	}
	reRead := pages.ForReRead()
	if err := reRead.Apply("p/0", 7, []byte("x")); err == nil {
		t.Fatal("an unreadable page, re-read: got no error, want one")
	}
	if got, known := reRead.Newest(e.Job, "p/", 1); got != e || !known {
		t.Fatalf("re-read: got %v, known %v; want %v, true", got, known, e)
	}
	writer := reRead.NewWriter("p/", 400)
	write, ok := writer.NextWrite()
	if entries, err := DecodePage(write.Value); !ok || write.Number == 0 || err != nil || entries[e.Job] != e {
		t.Fatalf("got write %+v, %v, error %v; want %v on another page", write, ok, err, e)
	}
	var never Pages
	if err := never.Apply("p/0", 7, []byte("x")); err == nil {
		t.Fatal("an unreadable page: got no error, want one")
	}
	for modRevision, want := range map[uint64]bool{6: false, 8: true} {
		if _, known := never.Newest(e.Job, "p/", modRevision); known != want {
			t.Errorf("a job of mod revision %d: got known %v, want %v", modRevision, known, want)
		}
	}
	if _, known := never.Newest(e.Job, "o/", 1); !known {
		t.Error("another team's job: got known false, want true")
	}
	// A page turns out to be unreadable only when it is written.
	writer = NewPageWriter(400)
	writer.Put(e)
	writer.Abandon(0)
	if write, ok := writer.NextWrite(); !ok || write.Number != 1 {
		t.Errorf("after page 0 was abandoned: got write of page %d, %v; want page 1", write.Number, ok)
	}
}
