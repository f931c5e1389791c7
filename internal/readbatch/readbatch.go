// Package readbatch batches reads of single records. Each read costs a request, and the state
// service accepts a fixed number of requests per second. After a restart of all controllers,
// users may poll repeatedly for a thousand finished jobs at the same time. So a few records are
// read one by one; if more are pending, one list answers all of them that are within a page. The
// caller starts the rounds: the package has no clock and sends nothing.
package readbatch

import "slices"

const (
	// maxSingleReads bounds the reads of single records in a round.
	maxSingleReads = 3
	// minListSize is how many records must be pending for a list to be worth its cost: a list
	// returns a thousand records or some hundred kilobytes.
	minListSize = 8
)

// Read is a request to the state service: either for the record ID, or for a list of the records
// whose names follow After.
type Read struct {
	ID     string
	IsList bool
	After  string
	// requested holds the names that were requested before the read was sent and that it is to
	// answer.
	requested []string
}

// Requested returns the names that were requested before the read was sent and that it is to
// answer.
func (read Read) Requested() []string { return read.requested }

// Batcher collects requested names. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Batcher struct {
	// pending holds the requested names for which no read was sent, sorted and without
	// duplicates.
	pending []string
	// singleReads counts the single reads of this round. hasListed says that a list was sent in
	// this round, and isListing that a list is in flight.
	singleReads          int
	hasListed, isListing bool
	// resumeAfter is the last name of the newest list, or "" if that list failed or no records
	// followed it. The next list starts after it. If each list started with the first pending
	// name, the last names would wait for as long as earlier names are requested.
	resumeAfter string
}

// Request adds a record, which a read that has not been sent yet will answer.
func (batcher *Batcher) Request(id string) {
	if i, found := slices.BinarySearch(batcher.pending, id); !found {
		batcher.pending = slices.Insert(batcher.pending, i, id)
	}
}

// BeginRound starts the next round.
func (batcher *Batcher) BeginRound() { batcher.singleReads, batcher.hasListed = 0, false }

// Next returns a read to send now. ok is false if there is none left in this round.
func (batcher *Batcher) Next() (read Read, ok bool) {
	switch {
	case len(batcher.pending) == 0:
		return Read{}, false
	case len(batcher.pending) < minListSize && batcher.singleReads < maxSingleReads:
		batcher.singleReads++
		id := batcher.pending[0]
		batcher.pending = slices.Delete(batcher.pending, 0, 1)
		return Read{ID: id, requested: []string{id}}, true
	case len(batcher.pending) < minListSize || batcher.hasListed || batcher.isListing:
		return Read{}, false
	}
	i, _ := slices.BinarySearch(batcher.pending, batcher.resumeAfter)
	if i == len(batcher.pending) {
		i = 0
	}
	batcher.hasListed, batcher.isListing = true, true
	first := batcher.pending[i]
	read = Read{IsList: true, After: first[:len(first)-1], requested: slices.Clone(batcher.pending[i:])}
	batcher.pending = slices.Delete(batcher.pending, i, len(batcher.pending))
	return read, true
}

// Complete applies the result of a read and returns the names that the read answers. lastName is
// the last name in a list, and hasMore says that records follow it. A failed read (ok is false)
// answers all its names with the failure.
func (batcher *Batcher) Complete(read Read, ok bool, lastName string, hasMore bool) []string {
	if !read.IsList {
		return read.requested
	}
	batcher.isListing = false
	if !ok || !hasMore {
		batcher.resumeAfter = ""
		return read.requested
	}
	answered := len(read.requested)
	for answered > 0 && read.requested[answered-1] > lastName {
		answered--
	}
	batcher.resumeAfter = lastName
	for _, id := range read.requested[answered:] {
		batcher.Request(id)
	}
	return read.requested[:answered]
}
