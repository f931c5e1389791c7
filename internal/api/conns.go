package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// hardPart of the sockets may be incoming connections; the rest is for orders
	// to workers, the state service, the cloud and the other controllers.
	hardPart = 0.7
	// softPart is from where on a report's connection is closed with its answer.
	// A pool larger than the sockets is served all the same, since a report takes
	// a moment and the next one is seconds away; and what lies between the two is
	// kept for users and health checks.
	softPart = 0.55
	// leastConns is what is let in however few sockets there are.
	leastConns = 8
	// sweepWait is how long a new connection waits for one in use to end.
	sweepWait = 200 * time.Millisecond
)

// conns counts the incoming connections and keeps them within the sockets. When
// none is left for a new one, the connection that has been idle the longest is
// closed, those of workers first: they come again with their next report, while a
// connection that is not accepted is a controller that does not answer.
type conns struct {
	mu         sync.Mutex
	soft, hard int
	open       map[net.Conn]*conn
	// idle are the connections without a request, the oldest first: workers' and
	// others'.
	workers, others *list.List
	freed           chan struct{}
}

type conn struct {
	worker bool
	in     *list.List
	at     *list.Element
}

func newConns(sockets int) *conns {
	return &conns{
		soft: max(leastConns/2, int(softPart*float64(sockets))), hard: max(leastConns, int(hardPart*float64(sockets))),
		open: map[net.Conn]*conn{}, workers: list.New(), others: list.New(), freed: make(chan struct{}, 1),
	}
}

// state follows a connection's life, as net/http tells it.
func (c *conns) state(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.open[nc]
	switch s {
	case http.StateNew:
		c.open[nc] = &conn{}
		return
	case http.StateActive:
		c.busy(x)
	case http.StateIdle:
		if x != nil {
			c.busy(x)
			if x.in = c.others; x.worker {
				x.in = c.workers
			}
			x.at = x.in.PushBack(nc)
		}
	case http.StateClosed, http.StateHijacked:
		c.busy(x)
		delete(c.open, nc)
	}
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

func (c *conns) busy(x *conn) {
	if x != nil && x.at != nil {
		x.in.Remove(x.at)
		x.at = nil
	}
}

// report notes that a connection carries a worker's reports, and says whether
// connections run short, so that it is to be closed.
func (c *conns) report(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.open[nc]; x != nil {
		x.worker = true
	}
	return len(c.open) > c.soft
}

// room says whether there is room for one more connection, and closes an idle one
// if there is none.
func (c *conns) room() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) < c.hard {
		return true
	}
	for _, l := range [...]*list.List{c.workers, c.others} {
		if e := l.Front(); e != nil {
			nc := e.Value.(net.Conn)
			c.busy(c.open[nc])
			delete(c.open, nc)
			nc.Close()
			return true
		}
	}
	return false
}

// listener accepts only while there is room.
type listener struct {
	net.Listener
	c *conns
}

func (l *listener) Accept() (net.Conn, error) {
	for !l.c.room() {
		select {
		case <-l.c.freed:
		case <-time.After(sweepWait):
		}
	}
	return l.Listener.Accept()
}
