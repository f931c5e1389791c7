package standin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// LiveCounts is what a live world has seen since it began. Bytes are those of the
// connections, headers included.
type LiveCounts struct {
	// Reports counts reports that were sent, by the status of their answer; 0: none came.
	Reports map[int]int `json:"reports"`
	// ReportsOut and ReportsIn are the bytes of reports and of their answers.
	ReportsOut int64 `json:"report_bytes_out"`
	ReportsIn  int64 `json:"report_bytes_in"`
	// Orders counts direct requests to workers, by path, and OrdersOut and OrdersIn
	// their bytes, out of and into the workers.
	Orders    map[string]int `json:"orders"`
	OrdersOut int64          `json:"order_bytes_out"`
	OrdersIn  int64          `json:"order_bytes_in"`
	// Requests counts requests to the state service by kind, and Changes puts and
	// removals by the first part of their keys; Refused are the 429.
	Requests map[string]int `json:"requests"`
	Changes  map[string]int `json:"changes"`
	Refused  int            `json:"refused"`
	// CloudCalls counts requests to the cloud.
	CloudCalls int `json:"cloud_calls"`
	// Started counts starts of tasks, and LostToLease tasks that ended with a lease.
	Started     int `json:"started"`
	LostToLease int `json:"lost_to_lease"`
}

// liveTraffic is the part of the counts that connections write.
type liveTraffic struct{ reportsOut, reportsIn, ordersOut, ordersIn atomic.Int64 }

func newCounts() LiveCounts {
	return LiveCounts{Reports: map[int]int{}, Orders: map[string]int{}, Requests: map[string]int{}, Changes: map[string]int{}}
}

// request counts one to the state service.
func (c *LiveCounts) request(op *core.StoreRequest, refused bool) {
	kind := map[core.StoreRequestKind]string{
		core.OpGet: "get", core.OpList: "list", core.OpWatch: "follow", core.OpTxn: "multi",
		core.OpLeaseGrant: "grant", core.OpLeaseRenew: "renew", core.OpLeaseRevoke: "drop",
	}[op.Kind]
	c.Requests[kind]++
	if refused {
		c.Refused++
		return
	}
	for _, a := range op.Writes {
		family, _, _ := strings.Cut(a.Key, "/")
		c.Changes[family]++
	}
}

// Minus is what came since an earlier count.
func (c LiveCounts) Minus(o LiveCounts) LiveCounts {
	less := func(a, b map[string]int) map[string]int {
		out := map[string]int{}
		for k, v := range a {
			if v -= b[k]; v != 0 {
				out[k] = v
			}
		}
		return out
	}
	d := c
	d.Reports = map[int]int{}
	for k, v := range c.Reports {
		if v -= o.Reports[k]; v != 0 {
			d.Reports[k] = v
		}
	}
	d.Orders, d.Requests, d.Changes = less(c.Orders, o.Orders), less(c.Requests, o.Requests), less(c.Changes, o.Changes)
	d.ReportsOut, d.ReportsIn = c.ReportsOut-o.ReportsOut, c.ReportsIn-o.ReportsIn
	d.OrdersOut, d.OrdersIn = c.OrdersOut-o.OrdersOut, c.OrdersIn-o.OrdersIn
	d.Refused, d.CloudCalls = c.Refused-o.Refused, c.CloudCalls-o.CloudCalls
	d.Started, d.LostToLease = c.Started-o.Started, c.LostToLease-o.LostToLease
	return d
}

// Counts tells what was seen so far.
func (l *Live) Counts() LiveCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts.Minus(newCounts())
	out.ReportsOut, out.ReportsIn = l.traffic.reportsOut.Load(), l.traffic.reportsIn.Load()
	out.OrdersOut, out.OrdersIn = l.traffic.ordersOut.Load(), l.traffic.ordersIn.Load()
	out.CloudCalls = l.w.Calls.Done + l.w.Calls.Refused
	out.Started, out.LostToLease = l.w.Started, l.w.LostToLease
	return out
}

// Lose ends so many machines that are up, without a word, and says how many there were.
func (l *Live) Lose(machines int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := 0
	for _, m := range l.w.fleet {
		if lost < machines && m.up(l.w.now) {
			l.w.kill(m)
			lost++
		}
	}
	return lost
}

// Workers counts machines that report, tasks on them, and those of them that stand.
func (l *Live) Workers() (up, tasks, standing int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.w.fleet {
		if m.up(l.w.now) && m.tenure > 0 {
			up++
		}
		for _, t := range m.tasks {
			if !t.onMachine() {
				continue
			}
			tasks++
			if t.job.spec.LongRunning {
				standing++
			}
		}
	}
	return up, tasks, standing
}

// Began is when a job's first task began, if one did.
func (l *Live) Began(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.w.jobs[id]
	if j == nil {
		return time.Time{}, false
	}
	var first time.Time
	for _, at := range j.began {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// meteredConn adds up the bytes of a connection.
type meteredConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	in, out *atomic.Int64
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.in, l.out}, nil
}

// reporterClient is one worker's own client: it keeps one connection, as it reports to
// one node at a time.
func (l *Live) reporterClient() *http.Client {
	var d net.Dialer
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return meteredConn{c, &l.traffic.reportsIn, &l.traffic.reportsOut}, nil
		},
	}}
}
