package main

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

// keptChanges is how many changes the state service keeps for watches.
const keptChanges = 10000

// stateService is a stand-in for the state service.
type stateService struct {
	mu         sync.Mutex
	settings   *deployment
	rev        uint64
	kv         map[string]stored
	news       []change
	changed    chan struct{}
	permits    map[uint64]*permit
	lastPermit uint64
	requests   *rate.Limiter
	writes     *rate.Limiter
}

type stored struct {
	value  msgpack.RawMessage
	stamp  uint64
	permit uint64
}

type change struct {
	key   string
	value msgpack.RawMessage
	gone  bool
	stamp uint64
}

type permit struct {
	ttl  time.Duration
	ends time.Time
}

type condition struct {
	Key   string `msgpack:"key"`
	Stamp uint64 `msgpack:"stamp"`
}

type write struct {
	Put    string             `msgpack:"put"`
	Remove string             `msgpack:"remove"`
	Value  msgpack.RawMessage `msgpack:"value"`
	Permit uint64             `msgpack:"permit"`
}

type transaction struct {
	When  []condition `msgpack:"when"`
	Apply []write     `msgpack:"apply"`
}

func newState(settings *deployment) *stateService {
	state := &stateService{
		settings: settings, kv: map[string]stored{}, changed: make(chan struct{}), permits: map[uint64]*permit{},
		requests: rate.NewLimiter(rate.Limit(settings.stateRPS), int(settings.stateRPS)), writes: rate.NewLimiter(rate.Limit(settings.stateWriteRPS), int(settings.stateWriteRPS)),
	}
	go state.expireLoop()
	return state
}

// expireLoop ends the leases that were not renewed. A lease never ends early.
func (state *stateService) expireLoop() {
	for range time.Tick(20 * time.Millisecond) {
		state.mu.Lock()
		now := time.Now()
		for id, lease := range state.permits {
			if now.After(lease.ends) {
				state.endPermit(id)
			}
		}
		state.mu.Unlock()
	}
}

// endPermit ends a lease and removes its keys. The caller holds mu.
func (state *stateService) endPermit(id uint64) {
	delete(state.permits, id)
	var gone []string
	for key, item := range state.kv {
		if item.permit == id {
			gone = append(gone, key)
		}
	}
	sort.Strings(gone)
	if len(gone) > 0 {
		state.rev++
		for _, key := range gone {
			delete(state.kv, key)
			state.note(change{key: key, gone: true, stamp: state.rev})
		}
		state.wake()
	}
}

func (state *stateService) note(c change) {
	state.news = append(state.news, c)
	if len(state.news) > keptChanges {
		state.news = state.news[len(state.news)-keptChanges:]
	}
}

func (state *stateService) wake() {
	close(state.changed)
	state.changed = make(chan struct{})
}

// serve answers a request.
func (state *stateService) serve(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	status, body := state.answer(r)
	writeReply(rw, status, body)
}

// answer carries out a request and returns the status and the body of the answer.
func (state *stateService) answer(r *http.Request) (int, any) {
	var txn transaction
	if r.URL.Path == "/multi" && !readBody(r, &txn) {
		return 400, obj{"error": "malformed"}
	}
	var grant struct {
		TTL int64 `msgpack:"ttl_ms"`
	}
	if r.URL.Path == "/grants" && !readBody(r, &grant) {
		return 400, obj{"error": "malformed"}
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	now := time.Now()
	if !state.requests.AllowN(now, 1) || len(txn.Apply) > 0 && !state.writes.AllowN(now, len(txn.Apply)) {
		return 429, obj{"error": "rate"}
	}
	query := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/store":
		limit, _ := strconv.Atoi(query.Get("limit"))
		return state.list(query.Get("under"), query.Get("from"), limit)
	case strings.HasPrefix(path, "/store/"):
		key := strings.TrimPrefix(path, "/store/")
		item, ok := state.kv[key]
		if !ok {
			return 404, obj{"ledger_rev": state.rev}
		}
		body := obj{"key": key, "value": item.value, "stamp": item.stamp}
		if item.permit != 0 {
			body["permit"] = item.permit
		}
		return 200, body
	case path == "/follow":
		return state.follow(r)
	case path == "/multi":
		return state.multi(&txn)
	case path == "/grants":
		if grant.TTL < 100 || grant.TTL > 600000 {
			return 400, obj{"error": "malformed"}
		}
		state.lastPermit++
		ttl := time.Duration(grant.TTL) * time.Millisecond
		state.permits[state.lastPermit] = &permit{ttl, now.Add(ttl)}
		return 200, obj{"permit": state.lastPermit}
	case strings.HasPrefix(path, "/grants/"):
		parts := strings.Split(path, "/")
		id := toUint(parts[2])
		lease := state.permits[id]
		if lease == nil {
			return 404, obj{"ledger_rev": state.rev}
		}
		if r.Method == http.MethodDelete {
			state.endPermit(id)
		} else {
			lease.ends = now.Add(lease.ttl)
		}
		return 200, obj{"permit": id}
	}
	return 400, obj{"error": "malformed"}
}

// list returns a page of keys. The caller holds mu.
func (state *stateService) list(under, from string, limit int) (int, any) {
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range state.kv {
		if strings.HasPrefix(key, under) && key > from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []any{}, 0, false
	for _, key := range keys {
		item := state.kv[key]
		if size += len(item.value)*3/2 + len(key) + 40; len(rows) == limit || size > 512<<10 {
			truncated = true
			break
		}
		rows = append(rows, obj{"key": key, "value": item.value, "stamp": item.stamp})
	}
	return 200, obj{"rows": rows, "truncated": truncated, "ledger_rev": state.rev}
}

// follow waits for changes. The caller holds mu, which follow releases while it waits.
func (state *stateService) follow(r *http.Request) (int, any) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	if err != nil || hold < 0 || hold > 60000 {
		return 400, obj{"error": "malformed"}
	}
	under := query.Get("under")
	ends := time.Now().Add(time.Duration(hold) * time.Millisecond)
	for {
		if len(state.news) == keptChanges && state.news[0].stamp > from+1 {
			return 410, obj{"error": "too old"}
		}
		news := []any{}
		first := sort.Search(len(state.news), func(i int) bool { return state.news[i].stamp > from })
		for _, c := range state.news[first:] {
			switch {
			case !strings.HasPrefix(c.key, under):
			case c.gone:
				news = append(news, obj{"remove": c.key, "stamp": c.stamp})
			default:
				news = append(news, obj{"put": c.key, "value": c.value, "stamp": c.stamp})
			}
		}
		if len(news) > 0 || !time.Now().Before(ends) {
			return 200, obj{"ledger_rev": state.rev, "news": news}
		}
		changed := state.changed
		state.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(ends)):
		case <-r.Context().Done():
			state.mu.Lock()
			return 503, obj{}
		}
		state.mu.Lock()
	}
}

// multi carries out a transaction. The caller holds mu.
func (state *stateService) multi(txn *transaction) (int, any) {
	if len(txn.Apply) > state.settings.txnOps || len(txn.When) > 4*state.settings.txnOps {
		return 400, obj{"error": "malformed"}
	}
	total := 0
	for _, w := range txn.Apply {
		key := w.Put + w.Remove
		if len(key) == 0 || len(key) > 200 || strings.Contains(key, " ") {
			return 400, obj{"error": "malformed"}
		}
		if w.Put != "" {
			var value obj
			if msgpack.Unmarshal(w.Value, &value) != nil {
				return 400, obj{"error": "malformed"}
			}
			size := jsonSize(value)
			if total += size + len(key) + 30; size < 0 || float64(size) > state.settings.valueKB*1024 {
				return 400, obj{"error": "malformed"}
			}
		}
		if w.Permit != 0 && state.permits[w.Permit] == nil {
			return 400, obj{"error": "no such lease"}
		}
	}
	if total > 64<<10 {
		return 400, obj{"error": "malformed"}
	}
	failed := []string{}
	for _, c := range txn.When {
		if state.kv[c.Key].stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, obj{"failed": failed, "ledger_rev": state.rev}
	}
	if len(txn.Apply) > 0 {
		state.rev++
		for _, w := range txn.Apply {
			if w.Remove != "" {
				if _, ok := state.kv[w.Remove]; ok {
					delete(state.kv, w.Remove)
					state.note(change{key: w.Remove, gone: true, stamp: state.rev})
				}
				continue
			}
			value := append(msgpack.RawMessage{}, w.Value...)
			state.kv[w.Put] = stored{value, state.rev, w.Permit}
			state.note(change{key: w.Put, value: value, stamp: state.rev})
		}
		state.wake()
	}
	return 200, obj{"ledger_rev": state.rev}
}
