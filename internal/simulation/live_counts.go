package simulation

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// LiveCounts has the counters of a Live since its start. Bytes are counted on the connections,
// headers included.
type LiveCounts struct {
	// Heartbeats counts heartbeats by the HTTP status of their reply; 0 stands for no reply.
	Heartbeats map[int]int `json:"reports"`
	// HeartbeatBytesOut and HeartbeatBytesIn are the bytes of heartbeats and of their replies.
	HeartbeatBytesOut int64 `json:"report_bytes_out"`
	HeartbeatBytesIn  int64 `json:"report_bytes_in"`
	// Commands counts direct requests to workers by path. CommandBytesOut and CommandBytesIn are
	// the bytes that the workers sent and received on these connections.
	Commands        map[string]int `json:"orders"`
	CommandBytesOut int64          `json:"order_bytes_out"`
	CommandBytesIn  int64          `json:"order_bytes_in"`
	// Requests counts requests to the state service by kind. Writes counts writes by the first
	// segment of their keys. RateLimited counts the requests that were answered 429.
	Requests    map[string]int `json:"requests"`
	Writes      map[string]int `json:"changes"`
	RateLimited int            `json:"refused"`
	// CloudCalls counts requests to the cloud.
	CloudCalls int `json:"cloud_calls"`
	// Starts counts task starts, and LostToLease tasks that were killed because a worker lease
	// expired.
	Starts      int `json:"started"`
	LostToLease int `json:"lost_to_lease"`
}

// liveTraffic has the counters that connections update without holding Live.mu.
type liveTraffic struct{ heartbeatsOut, heartbeatsIn, commandsOut, commandsIn atomic.Int64 }

// newCounts returns counters that are zero.
func newCounts() LiveCounts {
	return LiveCounts{Heartbeats: map[int]int{}, Commands: map[string]int{}, Requests: map[string]int{}, Writes: map[string]int{}}
}

// countRequest counts a request to the state service. refused means that a rate limit refused it.
func (counts *LiveCounts) countRequest(request *message.StoreRequest, refused bool) {
	kind := map[message.StoreRequestKind]string{
		message.OpGet: "get", message.OpList: "list", message.OpWatch: "follow", message.OpTxn: "multi",
		message.OpLeaseGrant: "grant", message.OpLeaseRenew: "renew", message.OpLeaseRevoke: "drop",
	}[request.Kind]
	counts.Requests[kind]++
	if refused {
		counts.RateLimited++
		return
	}
	for _, a := range request.Writes {
		family, _, _ := strings.Cut(a.Key, "/")
		counts.Writes[family]++
	}
}

// Minus returns the difference to earlier counters, without map entries that are zero.
func (counts LiveCounts) Minus(earlier LiveCounts) LiveCounts {
	less := func(a, b map[string]int) map[string]int {
		out := map[string]int{}
		for k, v := range a {
			if v -= b[k]; v != 0 {
				out[k] = v
			}
		}
		return out
	}
	difference := counts
	difference.Heartbeats = map[int]int{}
	for k, v := range counts.Heartbeats {
		if v -= earlier.Heartbeats[k]; v != 0 {
			difference.Heartbeats[k] = v
		}
	}
	difference.Commands, difference.Requests, difference.Writes = less(counts.Commands, earlier.Commands), less(counts.Requests, earlier.Requests), less(counts.Writes, earlier.Writes)
	difference.HeartbeatBytesOut, difference.HeartbeatBytesIn = counts.HeartbeatBytesOut-earlier.HeartbeatBytesOut, counts.HeartbeatBytesIn-earlier.HeartbeatBytesIn
	difference.CommandBytesOut, difference.CommandBytesIn = counts.CommandBytesOut-earlier.CommandBytesOut, counts.CommandBytesIn-earlier.CommandBytesIn
	difference.RateLimited, difference.CloudCalls = counts.RateLimited-earlier.RateLimited, counts.CloudCalls-earlier.CloudCalls
	difference.Starts, difference.LostToLease = counts.Starts-earlier.Starts, counts.LostToLease-earlier.LostToLease
	return difference
}

// Counts returns a copy of the current counters.
func (live *Live) Counts() LiveCounts {
	live.mu.Lock()
	defer live.mu.Unlock()
	out := live.counts.Minus(newCounts())
	out.HeartbeatBytesOut, out.HeartbeatBytesIn = live.traffic.heartbeatsOut.Load(), live.traffic.heartbeatsIn.Load()
	out.CommandBytesOut, out.CommandBytesIn = live.traffic.commandsOut.Load(), live.traffic.commandsIn.Load()
	out.CloudCalls = live.world.CloudCalls.Done + live.world.CloudCalls.RefusedRequests
	out.Starts, out.LostToLease = live.world.Starts, live.world.LostToLease
	return out
}

// KillMachines ends up to the given number of running machines without notice, and returns how many
// it ended.
func (live *Live) KillMachines(machines int) int {
	live.mu.Lock()
	defer live.mu.Unlock()
	killed := 0
	for _, machine := range live.world.fleet {
		if killed < machines && machine.up(live.world.now) {
			live.world.killMachine(machine)
			killed++
		}
	}
	return killed
}

// Workers returns the number of machines that send heartbeats, of tasks that take resources of
// machines, and of those tasks that belong to long-running jobs.
func (live *Live) Workers() (up, tasks, longRunning int) {
	live.mu.Lock()
	defer live.mu.Unlock()
	for _, machine := range live.world.fleet {
		if machine.up(live.world.now) && machine.incarnation > 0 {
			up++
		}
		for _, task := range machine.tasks {
			if !task.onMachine() {
				continue
			}
			tasks++
			if task.job.spec.LongRunning {
				longRunning++
			}
		}
	}
	return up, tasks, longRunning
}

// FirstStart returns the time of a job's first task start, and whether a task of the job has
// started.
func (live *Live) FirstStart(id string) (time.Time, bool) {
	live.mu.Lock()
	defer live.mu.Unlock()
	job := live.world.jobs[id]
	if job == nil {
		return time.Time{}, false
	}
	var first time.Time
	for _, at := range job.firstStarts {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// meteredConn counts the bytes that a connection receives and sends.
type meteredConn struct {
	net.Conn
	in, out *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (conn meteredConn) Read(b []byte) (int, error) {
	n, err := conn.Conn.Read(b)
	conn.in.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (conn meteredConn) Write(b []byte) (int, error) {
	n, err := conn.Conn.Write(b)
	conn.out.Add(int64(n))
	return n, err
}

// meteredListener makes all connections that it accepts count their bytes.
type meteredListener struct {
	net.Listener
	in, out *atomic.Int64
}

// Accept accepts a connection that counts its bytes.
func (listener meteredListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, listener.in, listener.out}, nil
}

// newHeartbeatClient returns the HTTP client for one worker's heartbeats. The client keeps one
// connection, because a worker sends heartbeats to one controller at a time.
func (live *Live) newHeartbeatClient() *http.Client {
	var dialer net.Dialer
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return meteredConn{conn, &live.traffic.heartbeatsIn, &live.traffic.heartbeatsOut}, nil
		},
	}}
}
