package main

import (
	"fmt"
	"sync"
	"time"
)

// Check checks the rules by what clients, servers and the platform can see.
type Check struct {
	w          *World
	mu         sync.Mutex
	on         map[string]map[*Worker]*attempt // machines that a task is on
	used       map[string]float64
	usedGPU    map[string]float64
	Violations []string
	starts     int
}

func newCheck(w *World) *Check {
	return &Check{w: w, on: map[string]map[*Worker]*attempt{}, used: map[string]float64{}, usedGPU: map[string]float64{}}
}

func (c *Check) violate(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	c.Violations = append(c.Violations, line)
	c.w.logf("VIOLATION %s", line)
}

// started is called when a task gets on its machine. The caller holds h.mu.
func (c *Check) started(h *Worker, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, now := a.job, time.Now()
	c.starts++
	for other, at := range c.on[a.piece] {
		if other != h && !other.isGone() {
			c.violate("ran_twice", "%s try %d starts on %s while try %d is on %s", a.piece, a.try, h.id, at.try, other.id)
		}
	}
	if c.on[a.piece] == nil {
		c.on[a.piece] = map[*Worker]*attempt{}
	}
	c.on[a.piece][h] = a
	c.used[j.Team] += j.CPU
	c.usedGPU[j.Team] += j.GPU
	for _, t := range c.w.opt.Teams {
		if t.Name == j.Team && (t.CPUMost > 0 && c.used[j.Team] > t.CPUMost+1e-6 || t.GPUMost > 0 && c.usedGPU[j.Team] > t.GPUMost+1e-6) {
			c.violate("quota", "team %s uses %.2f CPUs, %.2f GPUs", t.Name, c.used[j.Team], c.usedGPU[j.Team])
		}
	}
	bad := ""
	if len(j.Flavours) > 0 && !contains(j.Flavours, h.flavour.Name) {
		bad = "flavour " + h.flavour.Name
	}
	if j.Site != "" && j.Site != h.site {
		bad = "site " + h.site
	}
	if !j.Loaner && h.loaner {
		bad = "loaner"
	}
	zones := map[string]int{}
	for i := range j.Tasks {
		for other := range c.on[fmt.Sprintf("%s/%d", j.ID, i)] {
			zones[other.site]++
		}
	}
	if j.SamePlace && len(zones) > 1 {
		bad = fmt.Sprint("zones ", zones)
	}
	if j.Apart && zones[h.site] > (j.Tasks+1)/2 {
		bad = fmt.Sprint("too many in ", h.site, ": ", zones)
	}
	if bad != "" {
		c.violate("wrong_place", "%s starts on %s: %s", a.piece, h.id, bad)
	}
	j.mu.Lock()
	told := j.cancelled
	j.mu.Unlock()
	if !told.IsZero() && now.Sub(told).Seconds() > c.w.opt.CancelS {
		c.violate("ran_cancelled", "%s starts on %s %.1f s after its cancellation", a.piece, h.id, now.Sub(told).Seconds())
	}
	for _, p := range j.Prereqs {
		before := c.w.jobOf(p + "/0")
		before.mu.Lock()
		if before.allDone.IsZero() {
			c.violate("too_early", "%s starts before %s is done", a.piece, p)
		}
		before.mu.Unlock()
	}
	c.w.logf("%s runs %s try %d", h.id, a.piece, a.try)
}

// left is called when a task leaves its machine. The caller holds h.mu.
func (c *Check) left(h *Worker, a *attempt, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.on[a.piece][h] != a {
		return
	}
	delete(c.on[a.piece], h)
	c.used[a.job.Team] -= a.job.CPU
	c.usedGPU[a.job.Team] -= a.job.GPU
	c.w.logf("%s ends %s try %d: %s", h.id, a.piece, a.try, why)
}

// isGone reports whether the tasks of a machine count as gone: the machine is gone, or
// its lease has expired. It takes no lock, since the caller may hold that of another machine.
func (h *Worker) isGone() bool {
	return !h.live.Load() || time.Since(time.Unix(0, h.leaseFrom.Load())).Seconds() > h.w.opt.LeaseS
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// answered is called with each answer to a user.
func (c *Check) answered(j *Job, what string, node, code int, status string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if what == "poll" {
		j.polls++
		if code == 200 {
			j.answers, j.polled = j.answers+1, now
		}
	}
	if !j.accepted.IsZero() && sent.After(j.accepted) {
		if code == 404 {
			c.violate("forgotten", "%s: %s at node %d gets 404", j.ID, what, node)
		}
		if what == "submit" && (code == 400 || code == 422) {
			c.violate("forgotten", "%s: a repeated submission at node %d gets %d", j.ID, node, code)
		}
	}
	if code != 200 && code != 201 {
		return
	}
	if j.accepted.IsZero() {
		j.accepted = now
	}
	switch {
	case !j.cancelled.IsZero() && sent.After(j.cancelled) && status != "cancelled":
		c.violate("went_back", "%s: was cancelled, node %d says %s", j.ID, node, status)
	case !j.ended.IsZero() && sent.After(j.ended) && status != "done":
		c.violate("went_back", "%s: was done, node %d says %s", j.ID, node, status)
	case status == "cancelled" && j.asked.IsZero() && len(j.Prereqs) == 0:
		c.violate("went_back", "%s: is called cancelled, nobody asked for that", j.ID)
	case status == "done" && j.allDone.IsZero():
		c.violate("not_done", "%s is called done with %d of %d tasks done", j.ID, len(j.done), j.Tasks)
	}
	if status == "cancelled" && j.cancelled.IsZero() {
		j.cancelled = now
	}
	if status == "done" && j.ended.IsZero() {
		j.ended = now
	}
}

// MachineOf returns the machine that a task is on, or nil.
func (c *Check) MachineOf(piece string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.on[piece] {
		return h
	}
	return nil
}
