package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Job is a job of a user.
type Job struct {
	ID, Team, Workload, Urgency string
	Tasks                       int
	CPU, GPU, Memory            float64
	Flavours                    []string
	Site                        string
	SamePlace, Apart, Loaner    bool
	Standing                    bool
	RunTime                     time.Duration
	SaveEvery, SaveCost         float64
	Image                       string
	ImageGB                     float64
	Prereqs                     []string
	straggler                   string        // a task that runs longer than the others
	stragglerTime               time.Duration // how long it runs

	mu        sync.Mutex
	done      map[string]bool
	accepted  time.Time
	cancelled time.Time // when a user was first told so
	asked     time.Time // when a user first asked to cancel it
	ended     time.Time // when a user was first told that it is done
	allDone   time.Time
	polls     int
	answers   int       // polls that were answered with 200
	polled    time.Time // when a poll was last answered with 200
}

// runTime returns how long a task runs.
func (j *Job) runTime(piece string) time.Duration {
	if piece == j.straggler {
		return j.stragglerTime
	}
	return j.RunTime
}

func (j *Job) finish(piece string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.done == nil {
		j.done = map[string]bool{}
	}
	j.done[piece] = true
	if len(j.done) == j.Tasks && j.allDone.IsZero() {
		j.allDone = time.Now()
	}
}

func (j *Job) finished(piece string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[piece]
}

func (j *Job) body() obj {
	var flavours any
	if len(j.Flavours) > 0 {
		list := []any{}
		for _, f := range j.Flavours {
			list = append(list, f)
		}
		flavours = list
	}
	var site any
	if j.Site != "" {
		site = j.Site
	}
	shape := "array"
	expected := j.RunTime.Seconds()
	if j.Standing {
		shape, expected = "standing", 0
	}
	o := obj{
		"id": j.ID, "workload": j.Workload, "owner": j.Team, "shape": shape, "urgency": j.Urgency, "pieces": j.Tasks,
		"vcpus": j.CPU, "gpus": j.GPU, "memory_gb": j.Memory, "bundle": j.Image, "image_gb": j.ImageGB,
		"flavours": flavours, "site": site, "same_place": j.SamePlace, "apart": j.Apart, "loaner": j.Loaner,
		"expected_s": expected, "snapshot_every_s": j.SaveEvery, "snapshot_cost_s": j.SaveCost, "due_s": nil,
	}
	if len(j.Prereqs) > 0 {
		o["prereqs"] = j.Prereqs
	}
	return o
}

// User sends the requests of one user over connections that stay open.
type User struct {
	w      *World
	node   int // -1: none yet
	client *http.Client
}

func (w *World) newUser() *User {
	return &User{w: w, node: -1, client: &http.Client{Transport: &http.Transport{}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// pick returns the node of the user's open connection. Without one it chooses a healthy node, as
// the load balancer does for a new connection: one with the fewest open connections of users. The
// connections to a node that became unhealthy are not used any more.
func (u *User) pick() int {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	if u.node >= 0 && u.w.nodes[u.node].healthy.Load() {
		return u.node
	}
	u.drop()
	best := -1
	for _, i := range u.w.rng.Perm(len(u.w.nodes)) {
		if u.w.nodes[i].healthy.Load() && (best < 0 || u.w.nodes[i].users < u.w.nodes[best].users) {
			best = i
		}
	}
	if u.node = best; best >= 0 {
		u.w.nodes[best].users++
	}
	return best
}

// drop forgets the open connection. The caller holds the world's mu.
func (u *User) drop() {
	if u.node >= 0 {
		u.w.nodes[u.node].users--
		u.client.CloseIdleConnections()
	}
	u.node = -1
}

// leave closes the user's connection.
func (u *User) leave() {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	u.drop()
}

// call sends one request. A status of 0 means that there was no answer.
func (u *User) call(node int, method, path string, body []byte, timeout time.Duration) (int, obj, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+u.w.nodes[node].api+path, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/msgpack")
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, nil, 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, 0
	}
	after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, decode(b), time.Duration(min(after, 30)) * time.Second
}

func (w *World) addJob(j *Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

// Submit submits a job and repeats that for up to 60 s. It reports whether the job is accepted.
func (u *User) Submit(j *Job) bool {
	u.w.addJob(j)
	body := encode(j.body())
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		node := u.pick()
		if node < 0 {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		sent := time.Now()
		code, out, after := u.call(node, http.MethodPost, "/v2/runs", body, 5*time.Second)
		u.w.logf("user: submit %s at node %d -> %d %v", j.ID, node, code, out)
		u.w.check.answered(j, "submit", node, code, text(out["status"]), sent)
		switch code {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		if code == 0 {
			u.leave()
		}
		time.Sleep(max(time.Second, after))
	}
	return false
}

// Poll asks once for a job at a node and returns its state.
func (u *User) Poll(j *Job, node int) string {
	sent := time.Now()
	code, out, _ := u.call(node, http.MethodGet, "/v2/runs/"+j.ID, nil, 2*time.Second)
	u.w.logf("user: poll %s at node %d -> %d %v", j.ID, node, code, out)
	u.w.check.answered(j, "poll", node, code, text(out["status"]), sent)
	if code == 0 && node == u.node {
		u.leave()
	}
	if code != 200 {
		return ""
	}
	return text(out["status"])
}

// Cancel cancels a job and repeats that for up to 60 s.
func (u *User) Cancel(j *Job) string {
	j.mu.Lock()
	if j.asked.IsZero() {
		j.asked = time.Now()
	}
	j.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		node := u.pick()
		if node < 0 {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		sent := time.Now()
		code, out, after := u.call(node, http.MethodPost, "/v2/runs/"+j.ID+"/abort", nil, 5*time.Second)
		u.w.logf("user: cancel %s at node %d -> %d %v", j.ID, node, code, out)
		u.w.check.answered(j, "cancel", node, code, text(out["status"]), sent)
		if code == 200 {
			return text(out["status"])
		}
		if code == 0 {
			u.leave()
		}
		time.Sleep(max(time.Second, after))
	}
	return ""
}

// Follow polls a job until it is over or until the end.
func (u *User) Follow(j *Job, every time.Duration, end time.Time) string {
	for time.Now().Before(end) {
		time.Sleep(every)
		if node := u.pick(); node >= 0 {
			if s := u.Poll(j, node); s == "done" || s == "cancelled" {
				return s
			}
		}
	}
	return ""
}
