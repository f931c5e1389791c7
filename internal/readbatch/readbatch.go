// Package readbatch batches reads of single records. Each read costs a request, and the state
// service takes a fixed number of those a second: after all controllers have restarted, users
// may poll for a thousand finished jobs at once, again and again. So a few records are read
// one by one, and if more are pending one list answers all those within a page. The caller
// counts rounds: the package has no clock and sends nothing.
package readbatch

import "slices"

const (
	// maxSingleReads bounds the reads of single records in a round.
	maxSingleReads = 3
	// minListSize is how many records must be pending for a list to be worth its cost: it
	// returns a thousand records or some hundred kilobytes.
	minListSize = 8
)

// Read is one request: the record ID, or a list of the records whose names follow After.
type Read struct {
	ID     string
	IsList bool
	After  string
	// requested are the names that were requested before the read was sent.
	requested []string
}

// Requested returns the names that were requested before the read was sent.
func (r Read) Requested() []string { return r.requested }

// Batcher collects requested names. The zero value is empty and ready. It is not safe for
// concurrent use.
type Batcher struct {
	// pending is sorted, without duplicates.
	pending []string
	// singleReads counts the single reads of this round; hasListed: the round had its list;
	// isListing: a list is in flight.
	singleReads          int
	hasListed, isListing bool
	// resumeAfter is where the last list ended. The next starts behind it, or the last names
	// would wait for as long as others are requested.
	resumeAfter string
}

// Request adds a record, to be read by a request that has not been sent yet.
func (b *Batcher) Request(id string) {
	if i, there := slices.BinarySearch(b.pending, id); !there {
		b.pending = slices.Insert(b.pending, i, id)
	}
}

// BeginRound begins the next round.
func (b *Batcher) BeginRound() { b.singleReads, b.hasListed = 0, false }

// Next returns a read to send now; ok is false if there is none in this round.
func (b *Batcher) Next() (r Read, ok bool) {
	switch {
	case len(b.pending) == 0:
		return Read{}, false
	case len(b.pending) < minListSize && b.singleReads < maxSingleReads:
		b.singleReads++
		id := b.pending[0]
		b.pending = slices.Delete(b.pending, 0, 1)
		return Read{ID: id, requested: []string{id}}, true
	case len(b.pending) < minListSize || b.hasListed || b.isListing:
		return Read{}, false
	}
	i, _ := slices.BinarySearch(b.pending, b.resumeAfter)
	if i == len(b.pending) {
		i = 0
	}
	b.hasListed, b.isListing = true, true
	first := b.pending[i]
	r = Read{IsList: true, After: first[:len(first)-1], requested: slices.Clone(b.pending[i:])}
	b.pending = slices.Delete(b.pending, i, len(b.pending))
	return r, true
}

// Complete takes the result of a read, and returns the names that it answers. lastName is the
// last name in a list, and hasMore says that others follow. A failed read (ok false) answers
// all its names: with the failure.
func (b *Batcher) Complete(r Read, ok bool, lastName string, hasMore bool) []string {
	if !r.IsList {
		return r.requested
	}
	b.isListing = false
	if !ok || !hasMore {
		b.resumeAfter = ""
		return r.requested
	}
	k := len(r.requested)
	for k > 0 && r.requested[k-1] > lastName {
		k--
	}
	b.resumeAfter = lastName
	for _, id := range r.requested[k:] {
		b.Request(id)
	}
	return r.requested[:k]
}
