package main

import (
	"context"
	"net/http"
	"time"
)

// userClient is the users' HTTP client.
var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one user request to a node.
func (w *world) call(node int, method, path string, body any, timeout time.Duration) (int, obj) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return post(ctx, userClient, method, "http://"+w.nodes[node].api+path, body)
}

// submitOnce sends a submission to a node.
func (w *world) submitOnce(node int, j *job) int {
	w.mu.Lock()
	if w.jobs[j.id] == nil {
		j.done, j.saved = map[int]bool{}, map[int]time.Duration{}
		w.jobs[j.id] = j
	}
	j.submitted = true
	w.mu.Unlock()
	status, answer := w.call(node, http.MethodPost, "/v2/runs", j.body(), 5*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.acceptedAt.IsZero() && (status == 201 || status == 200) {
		j.acceptedAt = time.Now()
	}
	w.logf("user: submits %s (%d tasks) to node %d: %d %v", j.id, j.pieces, node, status, answer["status"])
	return status
}

// submit sends a submission until it is answered, for up to 60 s, and returns the last status.
func (w *world) submit(node int, j *job) int {
	status := 0
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status = w.submitOnce(node, j)
		if status == 200 || status == 201 || status == 400 || status == 422 {
			break
		}
		node = (node + 1) % len(w.nodes)
	}
	return status
}

// poll asks a node for a job's state.
func (w *world) poll(node int, id string) (int, string, obj) {
	status, answer := w.call(node, http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
	return status, text(answer["status"]), answer
}

// waitState polls every second until a job has the state, and reports whether it got it in time.
func (w *world) waitState(j *job, want string, within time.Duration) bool {
	last := ""
	for node, end := 0, time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Second) {
		status, state, answer := w.poll(node, j.id)
		if status == 200 && state != last {
			w.mu.Lock()
			w.logf("user: %s at node %d: %s, %v done, %v running", j.id, node, state, answer["done"], answer["running"])
			w.mu.Unlock()
			last = state
		}
		if status == 200 && state == want {
			return true
		}
		node = (node + 1) % len(w.nodes)
	}
	return false
}

// logState records the state of a job at each node.
func (w *world) logState(j *job) {
	for node := range w.nodes {
		status, state, answer := w.poll(node, j.id)
		w.logf("user: %s at node %d: %d %s, %v done, %v running", j.id, node, status, state, answer["done"], answer["running"])
	}
}
