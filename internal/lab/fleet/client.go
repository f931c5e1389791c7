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

// call sends a request to the first controller that answers; see callFrom.
func (cluster *Cluster) call(ctx context.Context, method, path string, body any) (int, map[string]any, error) {
	return cluster.callFrom(ctx, 0, method, path, body)
}

// callFrom sends a request to the controller with index first, or to the next one that answers,
// and returns the status and the decoded body of the response. It waits for at most three seconds
// in all.
func (cluster *Cluster) callFrom(ctx context.Context, first int, method, path string, body any) (int, map[string]any, error) {
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
	for i := range cluster.APIAddrs {
		addr := cluster.APIAddrs[(first+i)%len(cluster.APIAddrs)]
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
		var decoded map[string]any
		if err == nil {
			err = msgpack.Unmarshal(b, &decoded)
		}
		if err == nil {
			return resp.StatusCode, decoded, nil
		}
		lastErr = err
	}
	return 0, nil, fmt.Errorf("fleet: %s: %w", cluster.Name, lastErr)
}

// Submit submits a job, and reports whether the job is accepted, by this call or by an earlier
// one. It returns an error if the job is invalid; without an error, the caller may try again.
func (cluster *Cluster) Submit(ctx context.Context, job Job) (accepted bool, err error) {
	return cluster.SubmitAt(ctx, 0, job)
}

// SubmitAt is like Submit, but sends the job to the controller with index first, or to the next
// one that answers.
func (cluster *Cluster) SubmitAt(ctx context.Context, first int, job Job) (accepted bool, err error) {
	cluster.fleet.mu.Lock()
	cluster.fleet.jobs[job.ID] = job
	cluster.fleet.mu.Unlock()
	if job.Workload == "" {
		job.Workload = "lab"
	}
	body := map[string]any{
		"id": job.ID, "workload": job.Workload, "owner": job.Team, "shape": "array", "urgency": job.Urgency, "pieces": job.Tasks,
		"vcpus": job.CPUs, "gpus": 0.0, "memory_gb": job.CPUs, "bundle": "img", "image_gb": 0.2, "flavours": nil, "site": nil,
		"same_place": false, "apart": false, "loaner": true, "expected_s": job.RunTime.Seconds(), "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": nil,
	}
	if job.LongRunning {
		body["shape"], body["expected_s"] = "standing", 0.0
	}
	if job.Deadline > 0 {
		body["due_s"] = job.Deadline.Seconds()
	}
	status, response, err := cluster.callFrom(ctx, first, http.MethodPost, "/v2/runs", body)
	if err == nil && status/100 == 4 && status != http.StatusTooManyRequests {
		return false, fmt.Errorf("fleet: %s: %d %v", job.ID, status, response["error"])
	}
	return status == http.StatusOK || status == http.StatusCreated, nil
}

// Query returns the HTTP status and the state of a job, as its user sees them. The status is 0 if
// no controller answers.
func (cluster *Cluster) Query(ctx context.Context, id string) (status int, state string) {
	code, response, err := cluster.call(ctx, http.MethodGet, "/v2/runs/"+id, nil)
	if err != nil {
		return 0, ""
	}
	state, _ = response["status"].(string)
	return code, state
}
