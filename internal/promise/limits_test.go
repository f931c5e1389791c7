package promise

import (
	"fmt"
	"testing"
	"time"
)

// TestPagesAboveTheLimit: pages that were written under a larger limit are taken over
// under a lower one: whatever is written fits, and at every moment each job's newest date
// can be read, also by a successor that begins in the middle.
func TestPagesAboveTheLimit(t *testing.T) {
	const before, after = 3072, 1536
	rows, stamp := map[string][]byte{}, uint64(0)
	key := func(n int) string { return fmt.Sprint("open/~ops/", n) }
	pages := func() *Pages {
		p := &Pages{}
		for k, v := range rows {
			if err := p.Apply(k, stamp, v); err != nil {
				t.Fatal(err)
			}
		}
		return p
	}
	want := map[string]Date{}
	check := func() {
		p := pages()
		for id, d := range want {
			if e, known := p.Newest(id, "open/~ops/", 0); !known || e.Date != d {
				t.Fatalf("%s is %+v, told was %+v", id, e.Date, d)
			}
		}
	}
	write := func(b *PageWriter) bool {
		w, some := b.NextWrite()
		if !some {
			return false
		}
		stamp++
		if w.Value == nil {
			delete(rows, key(w.Number))
			b.MarkWritten(w, 0)
		} else {
			if k := jsonSize(w.Value); k > b.maxBytes {
				t.Fatalf("a page of %d bytes, at most %d fit", k, b.maxBytes)
			}
			rows[key(w.Number)] = w.Value
			b.MarkWritten(w, stamp)
		}
		check()
		return true
	}
	b := NewPageWriter(before)
	for i := range 200 {
		e := Entry{Job: fmt.Sprintf("job-%06d", i), Date: Date{After: time.Duration(100+i) * time.Second, Revision: 1}}
		b.Put(e)
	}
	for {
		w, some := b.NextWrite()
		if !some {
			break
		}
		stamp++
		rows[key(w.Number)] = w.Value
		b.MarkWritten(w, stamp)
		for id, e := range w.entries {
			want[id] = e.Date
		}
	}
	// Each successor gets a little further, and dates change meanwhile.
	for k := range 12 {
		b = pages().NewWriter("open/~ops/", after)
		for range k {
			write(b)
		}
	}
	b = pages().NewWriter("open/~ops/", after)
	for i := range 40 {
		id := fmt.Sprintf("job-%06d", 5*i)
		e := Entry{Job: id, Date: Date{After: want[id].After + time.Minute, Revision: 2}}
		b.Put(e)
		// It is told when it is durable.
		for !b.IsDurable(id) {
			w, some := b.NextWrite()
			if !some {
				t.Fatal("a date waits for ever")
			}
			if _, in := w.entries[id]; in {
				want[id] = e.Date
			}
			write(b)
		}
	}
	for write(b) {
	}
	for k, v := range rows {
		if n := jsonSize(v); n > after {
			t.Errorf("%s still has %d bytes", k, n)
		}
	}
}
