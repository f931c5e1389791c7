package readbatch

import (
	"fmt"
	"slices"
	"testing"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// pageSize is how many records a list of the simulated store returns.
const pageSize = 40

// listAnswer returns the simulated store's result of a list: the last name in it and whether
// records follow.
func listAnswer(read Read, stored []string) (last string, more bool) {
	i, found := slices.BinarySearch(stored, read.After)
	if found {
		i++
	}
	if more = len(stored)-i > pageSize; more {
		return stored[i+pageSize-1], true
	}
	return "", false
}

// TestRequestsAreAnswered guards against requests that are lost or answered by the wrong read. Whatever is
// requested and however reads fail, each request is answered by a read that was sent after it
// and covers its name, and no request stays pending.
func TestRequestsAreAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored []string
		for i := range rapid.IntRange(0, 400).Draw(t, "stored") {
			stored = append(stored, fmt.Sprintf("job-%06d", 3*i))
		}
		var batcher Batcher
		open := map[string]int{} // open requests, each with the step of the newest request for the name
		readsOf := map[string][]int{}
		type flight struct {
			read Read
			step int
		}
		var inFlight []flight
		step := 0
		send := func() {
			for {
				read, ok := batcher.Next()
				if !ok {
					return
				}
				step++
				inFlight = append(inFlight, flight{read, step})
			}
		}
		finish := func(i int, ok bool) {
			sent := inFlight[i]
			inFlight = slices.Delete(inFlight, i, i+1)
			last, more := "", false
			if sent.read.IsList {
				last, more = listAnswer(sent.read, stored)
			}
			for _, id := range batcher.Complete(sent.read, ok, last, more) {
				if sent.read.IsList && ok && (id <= sent.read.After || more && id > last) || !sent.read.IsList && id != sent.read.ID {
					t.Fatalf("request for %s was answered by a read that does not cover it", id)
				}
				readsOf[id] = append(readsOf[id], sent.step)
				if open[id] < sent.step {
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
					batcher.Request(id)
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
		for len(inFlight) > 0 || len(batcher.pending) > 0 {
			if len(inFlight) > 0 {
				finish(0, true)
			}
			batcher.BeginRound()
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

// TestManyRequestsShareLists guards against one read for each record when a thousand records are
// requested at the same time: about one list a page must answer them. A few records are read
// singly.
func TestManyRequestsShareLists(t *testing.T) {
	var batcher Batcher
	var stored []string
	for i := range 1000 {
		stored = append(stored, fmt.Sprintf("job-%06d", i))
		batcher.Request(stored[i])
	}
	reads := 0
	for len(batcher.pending) > 0 {
		read, ok := batcher.Next()
		if !ok {
			batcher.BeginRound()
			continue
		}
		reads++
		last, more := listAnswer(read, stored)
		batcher.Complete(read, true, last, more)
	}
	if reads > 1000/pageSize+minListSize {
		t.Errorf("got %d reads of 1000 records, want about one per page", reads)
	}
	// A few records are read without a list. Once a round's single reads are used up, further
	// records wait for the next round.
	batcher.BeginRound()
	for i := range maxSingleReads {
		batcher.Request(stored[i])
		if read, ok := batcher.Next(); !ok || read.IsList {
			t.Errorf("read of %s: got no single read, want one", stored[i])
		}
	}
	batcher.Request(stored[9])
	if _, ok := batcher.Next(); ok {
		t.Error("Next after maxSingleReads: got a read, want none in this round")
	}
}
