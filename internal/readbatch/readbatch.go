// Package readbatch decides by which reads many questions for records are answered. A
// record by itself costs a request, and the state service takes a fixed number of those
// a second: after all controllers have ended, a thousand jobs that are over may be asked
// about at once, and by storms of polls again and again. So a few are read by
// themselves, and when more wait one list answers all those within a page. Time goes
// in turns, which the caller counts: the package has no clock and sends nothing.
package readbatch

import "slices"

const (
	// maxSingleReads bounds the reads of single records in a turn.
	maxSingleReads = 3
	// minListSize is how many must wait for a list to be worth its time: it brings a
	// thousand records or some hundred kilobytes.
	minListSize = 8
)

// Read is one request: a single record, or all those that follow From in the order of
// their names. From itself is not among them.
type Read struct {
	ID     string
	IsList bool
	After  string
	// requested are the names that were asked for before it began.
	requested []string
}

// Requested are the names that were asked for before the read begins.
func (r Read) Requested() []string { return r.requested }

// Batcher has the names that are asked for. Its zero value is empty.
type Batcher struct {
	// pending are sorted; no name is twice in it.
	pending []string
	// singleReads counts the single reads of this turn, and listed says that it had its list,
	// listing that one is under way.
	singleReads          int
	hasListed, isListing bool
	// resumeAfter is where the last list ended: those behind it come first, or the names at
	// the end would wait for as long as others come.
	resumeAfter string
}

// Request notes that a record is asked for, and is to be read by a request that has not
// begun.
func (b *Batcher) Request(id string) {
	if i, there := slices.BinarySearch(b.pending, id); !there {
		b.pending = slices.Insert(b.pending, i, id)
	}
}

// BeginRound begins the next turn.
func (b *Batcher) BeginRound() { b.singleReads, b.hasListed = 0, false }

// Next is a read that is to be sent now; ok is false if there is none in this turn.
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

// Complete takes in the answer to a read, and says for which names it is one. last is the
// last name that a list brought, and more that others follow. If it failed, it is an
// answer to all that were asked for: that it failed.
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
