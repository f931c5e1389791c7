// Package packing says what room on machines with GPUs is worth. A small replica fits in
// many places, a large one only where enough is left in one piece; so a place is rated by
// what could no longer go there: a host that is whole is kept whole while there is room
// beside it. The unit is seconds, those of the fetch that it takes to move somebody away
// again, so that where an image lies and what is left over are one rating. What is usual
// is learnt from the tasks there are; no workload is known by its name.
package packing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/amount"
)

const (
	// sizesMost bounds the sizes that a place is rated by: those that take most.
	sizesMost = 8
	// moveTime is what a move takes beside its fetch: the intent, the stop, its proof and
	// the start. For so long whoever needs the place waits.
	moveTime = 5 * time.Second
)

// Seen is tasks of one size that run, wait or came lately. GB is what their image weighs,
// and Waits says that some of them wait for a place.
type Seen struct {
	Need  amount.Resources
	Tasks int
	GB    float64
	Waits bool
}

// Usual is a size for which room is worth something: how much, in seconds, one place of
// it that is lost costs.
type Usual struct {
	Need    amount.Resources
	Seconds float64
}

// Kind is a kind of machine with GPUs and what is usual there.
type Kind struct {
	size  amount.Resources
	usual []Usual
	// again is what it takes to move a replica that is in the way, in seconds.
	again float64
	// each is what one GPU needs beside it, so that every usual size can use it.
	each amount.Resources
}

// Of learns what is usual on machines of a size that fetch so many GB a second; nil, if
// they have no GPU or nothing is seen that would use one. The whole machine always counts
// as if somebody waited for it: what needs it can go nowhere else, and comes rarely.
func Of(size amount.Resources, pull float64, seen []Seen) *Kind {
	if size.GPU <= amount.Tolerance {
		return nil
	}
	var sizes []Seen
	for _, s := range seen {
		if s.Need.GPU <= amount.Tolerance || s.Tasks <= 0 || !s.Need.Fits(size) {
			continue
		}
		i := slices.IndexFunc(sizes, func(o Seen) bool { return o.Need == s.Need })
		if i < 0 {
			sizes = append(sizes, s)
			continue
		}
		o := &sizes[i]
		o.GB = (o.GB*float64(o.Tasks) + s.GB*float64(s.Tasks)) / float64(o.Tasks+s.Tasks)
		o.Tasks += s.Tasks
		o.Waits = o.Waits || s.Waits
	}
	if len(sizes) == 0 {
		return nil
	}
	slices.SortFunc(sizes, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(b.taken(), a.taken()), cmp.Compare(b.Need.GPU, a.Need.GPU),
			cmp.Compare(b.Need.CPU, a.Need.CPU), cmp.Compare(b.Need.Memory, a.Need.Memory))
	})
	k := &Kind{size: size}
	for _, s := range sizes {
		// What can't use all GPUs of an empty machine has no say in what the others need.
		if g := s.Need.GPU; size.GPU/g*s.Need.CPU <= size.CPU+amount.Tolerance && size.GPU/g*s.Need.Memory <= size.Memory+amount.Tolerance {
			k.each.CPU, k.each.Memory = max(k.each.CPU, s.Need.CPU/g), max(k.each.Memory, s.Need.Memory/g)
		}
	}
	sizes = sizes[:min(len(sizes), sizesMost)]
	all, tasks, gb := 0.0, 0, 0.0
	for _, s := range sizes {
		all, tasks, gb = all+s.taken(), tasks+s.Tasks, gb+s.GB*float64(s.Tasks)
	}
	k.again = moveTime.Seconds()
	if pull > 0 {
		k.again += gb / float64(tasks) / pull
	}
	for _, s := range sizes {
		part := s.taken() / all
		if s.Waits {
			part = 1
		}
		k.usual = append(k.usual, Usual{s.Need, part * k.again})
	}
	whole := Usual{amount.Resources{CPU: k.each.CPU * size.GPU, GPU: size.GPU, Memory: k.each.Memory * size.GPU}, k.again}
	if i := slices.IndexFunc(k.usual, func(u Usual) bool { return u.Need.GPU > size.GPU-amount.Tolerance }); i >= 0 {
		k.usual[i].Seconds = k.again
	} else {
		k.usual = append(k.usual, whole)
	}
	return k
}

// taken is how many GPUs all tasks of a size take.
func (s Seen) taken() float64 { return float64(s.Tasks) * s.Need.GPU }

func rank(s Seen) int {
	if s.Waits {
		return 1
	}
	return 0
}

// Leaves is what it costs, in seconds, to place a task of some need into what is free on
// a machine: for each usual size the places that are lost beyond the part that the task
// itself takes of them. A machine that is not whole is the likelier emptied by moves the
// more of it is free, and then the task is one more to move.
func (k *Kind) Leaves(free, need amount.Resources) float64 {
	left := free.AddScaled(need, -1)
	cost := 0.0
	for i := range k.usual {
		u := &k.usual[i]
		before := free.FitCount(u.Need)
		if before == 0 {
			continue
		}
		if lost := float64(before-left.FitCount(u.Need)) - need.GPU/u.Need.GPU; lost > 0 {
			cost += lost * u.Seconds
		}
	}
	if need.GPU > amount.Tolerance && free.GPU < k.size.GPU-amount.Tolerance {
		open := max(0, left.GPU) / k.size.GPU
		cost += open * open * k.again
	}
	return cost
}

// Rest is what of some free room no GPU there needs beside it.
func (k *Kind) Rest(free amount.Resources) amount.Resources {
	r := free.AddScaled(k.each, -max(0, free.GPU))
	return amount.Resources{CPU: max(0, r.CPU), Memory: max(0, r.Memory)}
}

// Spare is the room for work without GPUs: what no GPU will need, neither those that are
// free now nor those that are free once all work with GPUs has gone. Plain is what work
// without GPUs takes there already.
func (k *Kind) Spare(free, plain amount.Resources) amount.Resources {
	now, empty := k.Rest(free), k.Rest(k.size.AddScaled(plain, -1))
	return amount.Resources{CPU: min(now.CPU, empty.CPU), Memory: min(now.Memory, empty.Memory)}
}

// Room is how the room on some machines of a kind lies.
type Room struct {
	Hosts int
	// Whole counts the machines of which all GPUs are free and can be used.
	Whole int
	// Free is how many GPUs are free, and Pieces how many of these on machines that are
	// not whole.
	Free   float64
	Pieces float64
	// Largest is the most GPUs that one replica could have now.
	Largest float64
}

// Add counts a machine with so much free, of a size that has GPUs. k is what is usual
// there, nil if nothing is known of it.
func (r *Room) Add(k *Kind, size, free amount.Resources) {
	r.Hosts++
	g := max(0, free.GPU)
	r.Free += g
	if k != nil {
		for _, d := range [...][2]float64{{free.CPU, k.each.CPU}, {free.Memory, k.each.Memory}} {
			if d[1] > 0 {
				g = min(g, max(0, d[0])/d[1])
			}
		}
	}
	g = math.Floor(g + amount.Tolerance)
	r.Largest = max(r.Largest, g)
	if g >= size.GPU-amount.Tolerance {
		r.Whole++
	} else {
		r.Pieces += max(0, free.GPU)
	}
}
