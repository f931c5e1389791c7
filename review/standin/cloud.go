package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Flavour is a machine type of the stand-in of the cloud.
type Flavour struct {
	Name             string
	CPU, GPU, Memory float64
	Disk, Pull       float64
	Price, Market    float64
	Ready            float64
	Sites            []string
	Count            int // machines of each kind and site
}

// Cloud is a stand-in of the cloud.
type Cloud struct {
	w        *World
	mu       sync.Mutex
	addr     string
	hosts    map[string]*Worker
	bookings map[string][]string
	gone     map[string]time.Time // when a machine was deleted or died, for the lagging list
	used     map[string]int
	next     int
	outage   bool
	limit    *bucket
}

func newCloud(w *World) *Cloud {
	c := &Cloud{w: w, hosts: map[string]*Worker{}, bookings: map[string][]string{}, gone: map[string]time.Time{}, used: map[string]int{}, next: 100, limit: newBucket(2 * w.opt.CloudRPS)}
	c.limit.rate = w.opt.CloudRPS
	c.addr = w.serve(c.handle)
	return c
}

// Preload adds machines that are up at the start.
func (c *Cloud) Preload(name, site string, loaner bool, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.next++
		id := fmt.Sprintf("vm-%06d", c.next)
		c.hosts[id] = newWorker(c.w, id, c.flavour(name), site, loaner, 0)
		c.hosts[id].rentedAt = time.Now().Add(-time.Minute)
		c.used[fmt.Sprint(name, "/", site, "/", loaner)]++
	}
}

func (c *Cloud) flavour(name string) *Flavour {
	for i := range c.w.opt.Flavours {
		if c.w.opt.Flavours[i].Name == name {
			return &c.w.opt.Flavours[i]
		}
	}
	return nil
}

func (c *Cloud) handle(rw http.ResponseWriter, r *http.Request) {
	body := readMap(r)
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		reply(rw, 503, obj{"error": "trouble"})
		return
	}
	if !c.limit.take(1) {
		reply(rw, 429, obj{"error": "rate"})
		return
	}
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		out := []any{}
		for _, f := range c.w.opt.Flavours {
			out = append(out, obj{"name": f.Name, "vcpus": f.CPU, "gpus": f.GPU, "memory_gb": f.Memory, "local_gb": f.Disk, "pull_gb_per_s": f.Pull, "price": f.Price, "market_price": f.Market, "ready_s": f.Ready, "sites": f.Sites})
		}
		reply(rw, 200, obj{"flavours": out})
	case "POST/rentals":
		booking, flavour, site := text(body["booking"]), text(body["flavour"]), text(body["site"])
		loaner, _ := body["loaner"].(bool)
		count := int(num(body["count"]))
		f := c.flavour(flavour)
		if f == nil || count < 1 || count > 50 || booking == "" {
			reply(rw, 400, obj{"error": "malformed"})
			return
		}
		if names, ok := c.bookings[booking]; ok {
			reply(rw, 200, obj{"hosts": names})
			return
		}
		kind := fmt.Sprint(flavour, "/", site, "/", loaner)
		count = min(count, f.Count-c.used[kind])
		if count <= 0 {
			reply(rw, 503, obj{"error": "no capacity"})
			return
		}
		names := []string{}
		for range count {
			c.next++
			id := fmt.Sprintf("vm-%06d", c.next)
			ready := time.Duration((0.6 + 0.9*c.w.float()) * f.Ready * float64(time.Second))
			c.hosts[id] = newWorker(c.w, id, f, site, loaner, ready)
			c.used[kind]++
			names = append(names, id)
		}
		c.bookings[booking] = names
		c.w.logf("rented %v %s", names, kind)
		reply(rw, 200, obj{"hosts": names})
	case "POST/rentals/return":
		var ids []string
		for _, x := range asList(body["hosts"]) {
			if h := c.hosts[text(x)]; h != nil {
				ids = append(ids, text(x))
				c.remove(h, "returned")
			}
		}
		if len(ids) > 0 {
			c.w.logf("returned %v", ids)
		}
		reply(rw, 200, obj{})
	case "GET/rentals":
		from := r.URL.Query().Get("from")
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		asOf := time.Now().Add(-time.Duration(c.w.opt.ListLag * float64(time.Second)))
		var ids []string
		for id, h := range c.hosts {
			if h.rentedAt.Before(asOf) {
				ids = append(ids, id)
			}
		}
		for id, at := range c.gone {
			if at.After(asOf) {
				ids = append(ids, id)
			}
		}
		sort.Strings(ids)
		out := []any{}
		for _, id := range ids {
			if id <= from || len(out) >= max(1, min(limit, 500)) {
				continue
			}
			h := c.hosts[id]
			if h == nil {
				h = c.w.dead(id)
			}
			status := "booting"
			if asOf.Sub(h.rentedAt) > h.ready {
				status = "running"
			}
			out = append(out, obj{"id": id, "address": h.addr, "flavour": h.flavour.Name, "site": h.site, "loaner": h.loaner, "status": status, "held_s": asOf.Sub(h.rentedAt).Seconds()})
		}
		reply(rw, 200, obj{"hosts": out, "truncated": false})
	default:
		reply(rw, 400, obj{"error": "malformed"})
	}
}

// remove deletes a machine. The caller holds mu.
func (c *Cloud) remove(h *Worker, why string) {
	if c.hosts[h.id] == nil {
		return
	}
	delete(c.hosts, h.id)
	c.used[fmt.Sprint(h.flavour.Name, "/", h.site, "/", h.loaner)]--
	c.gone[h.id] = time.Now()
	c.w.keepDead(h)
	h.kill(why)
}

// Pick returns the machines that are up, in order of their names.
func (c *Cloud) Pick() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, h := range c.hosts {
		if time.Since(h.rentedAt) > h.ready {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return strings.Compare(out[i].id, out[j].id) < 0 })
	return out
}
