package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// call sends a request to the first controller that answers.
func (c *Cluster) call(ctx context.Context, method, path string, body any) (int, map[string]any, error) {
	return c.callFrom(ctx, 0, method, path, body)
}

// callFrom sends a request to controller first, or the next one that answers, and returns
// the status and the decoded body of the response.
func (c *Cluster) callFrom(ctx context.Context, first int, method, path string, body any) (int, map[string]any, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = msgpack.Marshal(body); err != nil {
			return 0, nil, fmt.Errorf("fleet: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var lastErr error
	for i := range c.APIAddrs {
		addr := c.APIAddrs[(first+i)%len(c.APIAddrs)]
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(payload))
		if err != nil {
			return 0, nil, fmt.Errorf("fleet: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		resp.Body.Close()
		var m map[string]any
		if err == nil {
			err = msgpack.Unmarshal(b, &m)
		}
		if err == nil {
			return resp.StatusCode, m, nil
		}
		lastErr = err
	}
	return 0, nil, fmt.Errorf("fleet: %s: %w", c.Name, lastErr)
}

// Submit submits a job, and reports whether it was accepted, now or by an earlier call.
func (c *Cluster) Submit(ctx context.Context, j Job) (accepted bool, err error) {
	return c.SubmitAt(ctx, 0, j)
}

// SubmitAt submits a job to controller first, or the next one that answers.
func (c *Cluster) SubmitAt(ctx context.Context, first int, j Job) (accepted bool, err error) {
	c.fleet.mu.Lock()
	c.fleet.jobs[j.ID] = j
	c.fleet.mu.Unlock()
	if j.Workload == "" {
		j.Workload = "lab"
	}
	body := map[string]any{
		"id": j.ID, "workload": j.Workload, "owner": j.Team, "shape": "array", "urgency": j.Urgency, "pieces": j.Tasks,
		"vcpus": j.CPUs, "gpus": 0.0, "memory_gb": j.CPUs, "bundle": "img", "image_gb": 0.2, "flavours": nil, "site": nil,
		"same_place": false, "apart": false, "loaner": true, "expected_s": j.RunTime.Seconds(), "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": nil,
	}
	if j.Standing {
		body["shape"], body["expected_s"] = "standing", 0.0
	}
	if j.Deadline > 0 {
		body["due_s"] = j.Deadline.Seconds()
	}
	status, response, err := c.callFrom(ctx, first, http.MethodPost, "/v2/runs", body)
	if err == nil && status/100 == 4 && status != http.StatusTooManyRequests {
		return false, fmt.Errorf("fleet: %s: %d %v", j.ID, status, response["error"])
	}
	return status == http.StatusOK || status == http.StatusCreated, nil
}

// Query returns a job's HTTP status and state as its user sees them. The status is 0 if no
// controller answered.
func (c *Cluster) Query(ctx context.Context, id string) (status int, state string) {
	code, response, err := c.call(ctx, http.MethodGet, "/v2/runs/"+id, nil)
	if err != nil {
		return 0, ""
	}
	state, _ = response["status"].(string)
	return code, state
}
