package readbatch

import (
	"fmt"
	"slices"
	"testing"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// pageSize is how many records a list of the model returns.
const pageSize = 40

// listAnswer is the model store's result of a list.
func listAnswer(r Read, stored []string) (last string, more bool) {
	i, there := slices.BinarySearch(stored, r.After)
	if there {
		i++
	}
	if more = len(stored)-i > pageSize; more {
		return stored[i+pageSize-1], true
	}
	return "", false
}

// TestLookup: whatever is requested and however reads fail, each request is answered by a read
// that was sent after it and covers it, and in the end none is pending.
func TestLookup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored []string
		for i := range rapid.IntRange(0, 400).Draw(t, "stored") {
			stored = append(stored, fmt.Sprintf("job-%06d", 3*i))
		}
		var b Batcher
		open := map[string]int{} // open requests, and the step of the newest
		readsOf := map[string][]int{}
		type flight struct {
			r    Read
			step int
		}
		var inFlight []flight
		step := 0
		send := func() {
			for {
				r, ok := b.Next()
				if !ok {
					return
				}
				step++
				inFlight = append(inFlight, flight{r, step})
			}
		}
		finish := func(i int, ok bool) {
			f := inFlight[i]
			inFlight = slices.Delete(inFlight, i, i+1)
			last, more := "", false
			if f.r.IsList {
				last, more = listAnswer(f.r, stored)
			}
			for _, id := range b.Complete(f.r, ok, last, more) {
				if f.r.IsList && ok && (id <= f.r.After || more && id > last) || !f.r.IsList && id != f.r.ID {
					t.Fatalf("request for %s is answered by a read that does not cover it", id)
				}
				readsOf[id] = append(readsOf[id], f.step)
				if open[id] < f.step {
					delete(open, id)
				}
			}
			send()
		}
		t.Repeat(map[string]func(*rapid.T){
			"request records": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					step++
					id := fmt.Sprintf("job-%06d", rapid.IntRange(0, 1300).Draw(t, "id"))
					open[id] = step
					b.Request(id)
				}
				send()
			},
			"answer": func(t *rapid.T) {
				if len(inFlight) > 0 {
					finish(rapid.IntRange(0, len(inFlight)-1).Draw(t, "which"), rapid.Bool().Draw(t, "ok"))
				}
			},
		})
		reads := 0
		for len(inFlight) > 0 || len(b.pending) > 0 {
			if len(inFlight) > 0 {
				finish(0, true)
			}
			b.BeginRound()
			send()
			if reads++; reads > 200 {
				t.Fatal("requests are still pending after 200 rounds")
			}
		}
		if len(open) > 0 {
			t.Fatalf("%d requests have no answer", len(open))
		}
	})
}

// TestStormIsFewReads: a thousand records cost a few reads, not a thousand.
func TestStormIsFewReads(t *testing.T) {
	var b Batcher
	var stored []string
	for i := range 1000 {
		stored = append(stored, fmt.Sprintf("job-%06d", i))
		b.Request(stored[i])
	}
	reads := 0
	for len(b.pending) > 0 {
		r, ok := b.Next()
		if !ok {
			b.BeginRound()
			continue
		}
		reads++
		last, more := listAnswer(r, stored)
		b.Complete(r, true, last, more)
	}
	if reads > 1000/pageSize+minListSize {
		t.Errorf("got %d reads of 1000 records, want about one a page", reads)
	}
	// A few records do not wait for a list; more than a round's single reads wait for the
	// next.
	b.BeginRound()
	for i := range maxSingleReads {
		b.Request(stored[i])
		if r, ok := b.Next(); !ok || r.IsList {
			t.Errorf("read of %s: got no single read, want one", stored[i])
		}
	}
	b.Request(stored[9])
	if _, ok := b.Next(); ok {
		t.Error("Next after maxSingleReads: got a read, want none in this round")
	}
}
