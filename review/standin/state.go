package main

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// change is one change of a key; value is nil for a removal.
type change struct {
	key   string
	value any
	stamp uint64
}

// entry is a stored key.
type entry struct {
	value  any
	stamp  uint64
	permit uint64
}

// grant is a lease.
type grant struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// nodeLink says how the state service treats the requests of one controller.
type nodeLink struct {
	refuse bool // 503 for all requests; open watches wait
}

// State is a stand-in of the state service. Each controller has an address of its own, so that one
// controller can be refused alone.
type State struct {
	w       *World
	mu      sync.Mutex
	cond    *sync.Cond
	keys    map[string]*entry
	rev     uint64
	history []change
	grants  map[uint64]*grant
	nextID  uint64
	links   []*nodeLink
	addrs   []string
	reqs    *bucket
	writes  *bucket
	longest int // bytes of the longest answer to a watch
}

func newState(w *World) *State {
	s := &State{w: w, keys: map[string]*entry{}, grants: map[uint64]*grant{}, rev: 100, nextID: 1}
	s.cond = sync.NewCond(&s.mu)
	s.reqs, s.writes = newBucket(w.opt.StateRPS), newBucket(w.opt.StateWriteRPS)
	for i := range w.opt.Nodes {
		s.links = append(s.links, &nodeLink{})
		s.addrs = append(s.addrs, w.serve(func(rw http.ResponseWriter, r *http.Request) { s.handle(i, rw, r) }))
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.cond.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases that were not renewed. The caller holds mu.
func (s *State) expire() {
	now := time.Now()
	for id, g := range s.grants {
		if now.After(g.ends.Add(20 * time.Millisecond)) {
			s.endGrant(id)
		}
	}
}

func (s *State) endGrant(id uint64) {
	g := s.grants[id]
	if g == nil {
		return
	}
	delete(s.grants, id)
	if len(g.keys) == 0 {
		return
	}
	s.rev++
	for k := range g.keys {
		if e := s.keys[k]; e != nil && e.permit == id {
			delete(s.keys, k)
			s.history = append(s.history, change{k, nil, s.rev})
		}
	}
	s.cond.Broadcast()
}

// Link changes how one controller is treated.
func (s *State) Link(i int, fn func(*nodeLink)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.links[i])
	s.cond.Broadcast()
}

func (s *State) handle(node int, rw http.ResponseWriter, r *http.Request) {
	body := readMap(r)
	s.mu.Lock()
	link := s.links[node]
	if link.refuse && r.URL.Path != "/follow" {
		s.mu.Unlock()
		reply(rw, 503, obj{"error": "trouble"})
		return
	}
	writes := len(asList(body["apply"]))
	if !s.reqs.take(1) || writes > 0 && !s.writes.take(writes) {
		s.mu.Unlock()
		reply(rw, 429, obj{"error": "rate"})
		return
	}
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	switch {
	case r.URL.Path == "/follow":
		s.follow(link, rw, r)
		return
	case r.URL.Path == "/multi":
		s.mu.Lock()
		code, out := s.multi(body)
		s.mu.Unlock()
		reply(rw, code, out)
		return
	}
	s.mu.Lock()
	code, out := s.simple(r, body)
	s.mu.Unlock()
	reply(rw, code, out)
}

func (s *State) simple(r *http.Request, body obj) (int, obj) {
	path := r.URL.Path
	switch {
	case path == "/store":
		return 200, s.list(r.URL.Query().Get("under"), r.URL.Query().Get("from"), r.URL.Query().Get("limit"))
	case strings.HasPrefix(path, "/store/"):
		key := strings.TrimPrefix(path, "/store/")
		e := s.keys[key]
		if e == nil {
			return 404, obj{"ledger_rev": s.rev}
		}
		out := obj{"key": key, "value": e.value, "stamp": e.stamp}
		if e.permit != 0 {
			out["permit"] = e.permit
		}
		return 200, out
	case path == "/grants" && r.Method == http.MethodPost:
		ttl := time.Duration(num(body["ttl_ms"])) * time.Millisecond
		if ttl < 100*time.Millisecond || ttl > 600*time.Second {
			return 400, obj{"error": "ttl"}
		}
		s.nextID++
		s.grants[s.nextID] = &grant{ttl: ttl, ends: time.Now().Add(ttl), keys: map[string]bool{}}
		return 200, obj{"permit": s.nextID}
	case strings.HasPrefix(path, "/grants/"):
		parts := strings.Split(path, "/")
		id, _ := strconv.ParseUint(parts[2], 10, 64)
		g := s.grants[id]
		if g == nil {
			return 404, obj{"error": "no such lease"}
		}
		if r.Method == http.MethodDelete {
			s.endGrant(id)
			return 200, obj{}
		}
		g.ends = time.Now().Add(g.ttl)
		return 200, obj{"permit": id}
	}
	return 400, obj{"error": "malformed"}
}

func (s *State) list(under, from, limitText string) obj {
	limit, _ := strconv.Atoi(limitText)
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && (from == "" || k > from) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []any{}, 0, false
	for _, k := range keys {
		n := len(k) + jsonSize(s.keys[k].value) + 40
		if len(rows) >= limit || size+n > 512<<10 && len(rows) > 0 {
			truncated = true
			break
		}
		size += n
		rows = append(rows, obj{"key": k, "value": s.keys[k].value, "stamp": s.keys[k].stamp})
	}
	return obj{"rows": rows, "truncated": truncated, "ledger_rev": s.rev}
}

func (s *State) follow(link *nodeLink, rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	under := q.Get("under")
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	if err != nil || hold > 60000 {
		reply(rw, 400, obj{"error": "malformed"})
		return
	}
	end := time.Now().Add(time.Duration(hold) * time.Millisecond)
	s.mu.Lock()
	for {
		if r.Context().Err() != nil {
			s.mu.Unlock()
			return
		}
		if link.refuse {
			if hold == 0 {
				s.mu.Unlock()
				reply(rw, 503, obj{"error": "trouble"})
				return
			}
			s.cond.Wait()
			continue
		}
		if n := len(s.history); n > 10000 {
			s.history = append([]change(nil), s.history[n-10000:]...)
		}
		if len(s.history) == 10000 && from < s.history[0].stamp-1 {
			s.mu.Unlock()
			reply(rw, 410, obj{"error": "too old"})
			return
		}
		var news []any
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].stamp > from })
		for _, c := range s.history[i:] {
			if !strings.HasPrefix(c.key, under) {
				continue
			}
			if c.value == nil {
				news = append(news, obj{"remove": c.key, "stamp": c.stamp})
			} else {
				news = append(news, obj{"put": c.key, "value": c.value, "stamp": c.stamp})
			}
		}
		if len(news) > 0 || !time.Now().Before(end) {
			if news == nil {
				news = []any{}
			}
			rev := s.rev
			s.mu.Unlock()
			n := reply(rw, 200, obj{"ledger_rev": rev, "news": news})
			s.mu.Lock()
			s.longest = max(s.longest, n)
			s.mu.Unlock()
			return
		}
		s.cond.Wait()
	}
}

func (s *State) multi(body obj) (int, obj) {
	failed := []string{}
	apply := asList(body["apply"])
	if jsonSize(body) > 64<<10 || len(apply) > s.w.opt.TxnOps || len(asList(body["when"])) > 4*s.w.opt.TxnOps {
		return 400, obj{"error": "too large"}
	}
	for _, x := range apply {
		o := asMap(x)
		if id := uint64(num(o["permit"])); id != 0 && s.grants[id] == nil {
			return 400, obj{"error": "no such lease"}
		}
		key := text(o["put"])
		if key == "" {
			key = text(o["remove"])
		}
		if key == "" || len(key) > 200 || strings.Contains(key, " ") {
			return 400, obj{"error": "malformed key"}
		}
		if _, isPut := o["put"]; isPut && float64(jsonSize(o["value"])) > s.w.opt.ValueKB*1024 {
			return 400, obj{"error": "value too large"}
		}
	}
	for _, x := range asList(body["when"]) {
		o := asMap(x)
		var stamp uint64
		if e := s.keys[text(o["key"])]; e != nil {
			stamp = e.stamp
		}
		if stamp != uint64(num(o["stamp"])) {
			failed = append(failed, text(o["key"]))
		}
	}
	if len(failed) > 0 {
		return 409, obj{"failed": failed, "ledger_rev": s.rev}
	}
	if len(apply) == 0 {
		return 200, obj{"ledger_rev": s.rev}
	}
	s.rev++
	for _, x := range apply {
		o := asMap(x)
		if key := text(o["put"]); key != "" {
			if old := s.keys[key]; old != nil && old.permit != 0 && s.grants[old.permit] != nil {
				delete(s.grants[old.permit].keys, key)
			}
			permit := uint64(num(o["permit"]))
			s.keys[key] = &entry{o["value"], s.rev, permit}
			if permit != 0 {
				s.grants[permit].keys[key] = true
			}
			s.history = append(s.history, change{key, o["value"], s.rev})
			continue
		}
		key := text(o["remove"])
		if old := s.keys[key]; old != nil {
			if old.permit != 0 && s.grants[old.permit] != nil {
				delete(s.grants[old.permit].keys, key)
			}
			delete(s.keys, key)
			s.history = append(s.history, change{key, nil, s.rev})
		}
	}
	s.cond.Broadcast()
	return 200, obj{"ledger_rev": s.rev}
}
