package promise

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// writerLimit is the largest size of a page in the tests, in bytes as JSON.
const writerLimit = 400

// storedPage is a page as the state service stores it.
type storedPage struct {
	modRevision uint64
	value       []byte
}

// pageWriterModel is a team's writer and a state service that loses responses and applies
// writes late, with a reader that watches the pages.
type pageWriterModel struct {
	t           *rapid.T
	store       map[int]storedPage
	modRevision uint64
	pages       Pages
	// late has the writes that may still be applied.
	late   []PageWrite
	writer *PageWriter
	// openDates has the dates that were entered, of jobs that have not ended. seen has the
	// newest revisions that the reader has seen, by job.
	openDates map[string]Entry
	seen      map[string]int
	jobCount  int
}

// apply applies a write if the stored page has the write's mod revision. It fails the test
// if the reader sees an older date than before.
func (model *pageWriterModel) apply(write PageWrite) bool {
	if model.store[write.Number].modRevision != write.ModRevision {
		return false
	}
	model.modRevision++
	if write.Value == nil {
		delete(model.store, write.Number)
	} else {
		if size := jsonSize(write.Value); size > writerLimit {
			model.t.Fatalf("got a page of %d bytes, want %d at most", size, writerLimit)
		}
		model.store[write.Number] = storedPage{model.modRevision, write.Value}
	}
	if err := model.pages.Apply(fmt.Sprint("p/", write.Number), model.modRevision, write.Value); err != nil {
		model.t.Fatal(err)
	}
	for job := range model.openDates {
		entry, known := model.pages.Newest(job, "p/", 0)
		if !known || entry.Revision < model.seen[job] {
			model.t.Fatalf("%s: got %v, known %v; want revision %d or later", job, entry, known, model.seen[job])
		}
		model.seen[job] = entry.Revision
	}
	return true
}

// writeNext performs the writer's next write. Outcome 0 delays the write, 1 loses the
// response, and any other outcome is success.
func (model *pageWriterModel) writeNext(outcome int) {
	write, ok := model.writer.NextWrite()
	switch {
	case !ok:
	case !write.RevisionKnown:
		model.writer.SetRevision(write.Number, model.store[write.Number].modRevision)
	case outcome == 0:
		model.late = append(model.late, write)
		model.writer.MarkUncertain(write.Number)
	case !model.apply(write), outcome == 1:
		model.writer.MarkUncertain(write.Number)
	default:
		model.writer.MarkWritten(write, model.store[write.Number].modRevision)
	}
}

// addJob enters the first date of a new job.
func (model *pageWriterModel) addJob() {
	model.jobCount++
	entry := Entry{fmt.Sprintf("job-%04d", model.jobCount), Date{time.Duration(model.jobCount+1) * time.Second, 1}, FirstDate}
	model.openDates[entry.Job] = entry
	model.writer.Put(entry)
}

// reviseOne revises the date of one job.
func (model *pageWriterModel) reviseOne() {
	for _, job := range slices.Sorted(maps.Keys(model.openDates)) {
		if entry := model.openDates[job]; entry.Revision <= MaxRevisions && rapid.Bool().Draw(model.t, "revised") {
			entry.Revision, entry.After, entry.Reason = entry.Revision+1, entry.After+time.Second, MachinesLost
			model.openDates[job] = entry
			model.writer.Put(entry)
			// The same revision again must not change the date.
			entry.After += time.Hour
			model.writer.Put(entry)
			return
		}
	}
}

// endSome ends some of the open jobs.
func (model *pageWriterModel) endSome() {
	for _, job := range slices.Sorted(maps.Keys(model.openDates)) {
		if rapid.IntRange(0, 2).Draw(model.t, "over") == 0 {
			delete(model.openDates, job)
		}
	}
	model.removeEnded()
}

// removeEnded has the writer remove the entries of ended jobs.
func (model *pageWriterModel) removeEnded() {
	model.writer.RemoveEnded(func(job string) bool { _, open := model.openDates[job]; return !open })
}

// takeOver replaces the writer by a successor that continues the stored pages. A date that
// was not written was never reported, so the stored date counts. The predecessor's late
// writes fail, since they compare the mod revision of the shard's record.
func (model *pageWriterModel) takeOver() {
	model.late = nil
	model.writer = model.pages.NewWriter("p/", writerLimit)
	for job, entry := range model.openDates {
		if stored, ok := model.writer.Lookup(job); !ok {
			model.writer.Put(entry)
		} else {
			model.openDates[job] = stored
		}
	}
}

// settle performs all writes. Then a successor removes the entries of ended jobs, since a
// late write may have restored a deleted page.
func (model *pageWriterModel) settle() {
	for range 200 {
		model.writeNext(2)
	}
	model.writer = model.pages.NewWriter("p/", writerLimit)
	model.removeEnded()
	for range 200 {
		model.writeNext(2)
	}
}

// TestPageWriter guards against lost or outdated dates when the state service loses
// responses and applies writes late: a reader never sees an older date of an open job
// after a newer one, all dates are stored in the end, and pages keep their size limit.
func TestPageWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &pageWriterModel{t: t, store: map[int]storedPage{}, writer: NewPageWriter(writerLimit), openDates: map[string]Entry{}, seen: map[string]int{}}
		for range 60 {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				model.addJob()
			case 2:
				model.reviseOne()
			case 3:
				model.endSome()
			case 4:
				if len(model.late) > 0 {
					model.apply(model.late[rapid.IntRange(0, len(model.late)-1).Draw(t, "late")])
				}
			case 5:
				model.writeNext(rapid.IntRange(0, 4).Draw(t, "kind"))
			case 6:
				model.takeOver()
			}
		}
		model.settle()
		for job, want := range model.openDates {
			if got, _ := model.pages.Newest(job, "p/", 0); got != want || !model.writer.IsDurable(job) {
				t.Fatalf("%s: got %v in the end, durable %v; want %v, true", job, got, model.writer.IsDurable(job), want)
			}
		}
		if len(model.openDates) == 0 && len(model.store) > 0 {
			t.Fatalf("got pages %v without open jobs, want none", model.store)
		}
	})
}

// TestUnreadablePages guards against dates that go back, or pages that are overwritten, because a
// page is unreadable. The last readable value of the page stays in force. Without one, no
// date is known of jobs that are older than the page, and the page is not written.
func TestUnreadablePages(t *testing.T) {
	entry := Entry{"job-1", Date{time.Minute, 2}, Outage}
	good := encodePage(map[string]Entry{entry.Job: entry})
	var pages Pages
	for i, value := range [][]byte{good, []byte("x"), encode(pageRecord{Format: 2})} {
		err := pages.Apply("p/0", uint64(i)+5, value)
		if got, known := pages.Newest(entry.Job, "p/", 1); got != entry || !known || (err != nil) != (i > 0) {
			t.Fatalf("value %d: got %v, known %v, error %v; want %v, true, an error %v", i, got, known, err, entry, i > 0)
		}
	}
	reRead := pages.ForReRead()
	if err := reRead.Apply("p/0", 7, []byte("x")); err == nil {
		t.Fatal("an unreadable page, read again: got no error, want one")
	}
	if got, known := reRead.Newest(entry.Job, "p/", 1); got != entry || !known {
		t.Fatalf("the unreadable page, read again: got %v, known %v; want %v, true", got, known, entry)
	}
	writer := reRead.NewWriter("p/", 400)
	write, ok := writer.NextWrite()
	if entries, err := DecodePage(write.Value); !ok || write.Number == 0 || err != nil || entries[entry.Job] != entry {
		t.Fatalf("got write %+v, %v, error %v; want %v on another page", write, ok, err, entry)
	}
	var never Pages
	if err := never.Apply("p/0", 7, []byte("x")); err == nil {
		t.Fatal("an unreadable page: got no error, want one")
	}
	for modRevision, want := range map[uint64]bool{6: false, 8: true} {
		if _, known := never.Newest(entry.Job, "p/", modRevision); known != want {
			t.Errorf("a job of mod revision %d: got known %v, want %v", modRevision, known, want)
		}
	}
	if _, known := never.Newest(entry.Job, "o/", 1); !known {
		t.Error("another team's job: got known false, want true")
	}
	// A page is found unreadable only when it is about to be written.
	writer = NewPageWriter(400)
	writer.Put(entry)
	writer.Abandon(0)
	if write, ok := writer.NextWrite(); !ok || write.Number != 1 {
		t.Errorf("after page 0 was abandoned: got write of page %d, %v; want page 1", write.Number, ok)
	}
}
