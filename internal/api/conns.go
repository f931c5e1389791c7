package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// hardLimitFraction of the sockets may be incoming connections; the rest is for commands to
	// workers, the state service, the cloud and the other controllers.
	hardLimitFraction = 0.7
	// softLimitFraction of the sockets in use, the response to a heartbeat closes its
	// connection. More workers than sockets can be served this way, since a heartbeat takes
	// a moment and the next one is seconds away. The connections between the two limits are
	// kept for users and health checks.
	softLimitFraction = 0.55
	// minConns is the least hard limit, however few sockets there are.
	minConns = 8
	// admitRetryInterval is how often a full tracker is tried again.
	admitRetryInterval = 200 * time.Millisecond
)

// connTracker keeps the incoming connections within hardLimit. If there is none left for a new
// connection, it closes the one that has been idle the longest, workers' first: a worker
// reconnects with its next heartbeat, while a controller that does not accept connections seems
// to be down.
type connTracker struct {
	softLimit, hardLimit int
	// freed has an element after a connection has ended or become idle.
	freed chan struct{}

	mu   sync.Mutex
	open map[net.Conn]*trackedConn
	// idleWorkers and idleOthers are the connections without a request in progress, the
	// longest idle first.
	idleWorkers, idleOthers *list.List
}

type trackedConn struct {
	isWorker bool
	// idleElement is the connection's place in idleList, nil while it is in use.
	idleList    *list.List
	idleElement *list.Element
}

func newConnTracker(sockets int) *connTracker {
	return &connTracker{
		softLimit: max(minConns/2, int(softLimitFraction*float64(sockets))), hardLimit: max(minConns, int(hardLimitFraction*float64(sockets))),
		open: map[net.Conn]*trackedConn{}, idleWorkers: list.New(), idleOthers: list.New(), freed: make(chan struct{}, 1),
	}
}

// trackState is the http.Server's ConnState hook.
func (c *connTracker) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.open[conn]
	switch s {
	case http.StateNew:
		c.open[conn] = &trackedConn{}
		return
	case http.StateActive:
		c.removeIdle(tracked)
	case http.StateIdle:
		if tracked != nil {
			c.removeIdle(tracked)
			if tracked.idleList = c.idleOthers; tracked.isWorker {
				tracked.idleList = c.idleWorkers
			}
			tracked.idleElement = tracked.idleList.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		c.removeIdle(tracked)
		delete(c.open, conn)
	}
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

func (c *connTracker) removeIdle(tracked *trackedConn) {
	if tracked != nil && tracked.idleElement != nil {
		tracked.idleList.Remove(tracked.idleElement)
		tracked.idleElement = nil
	}
}

// markWorker notes that a connection carries heartbeats, and reports whether it should be closed
// after the response because connections run short.
func (c *connTracker) markWorker(conn net.Conn) (shouldClose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked := c.open[conn]; tracked != nil {
		tracked.isWorker = true
	}
	return len(c.open) > c.softLimit
}

// admit reports whether one more connection may be accepted; it closes an idle one if that is
// needed.
func (c *connTracker) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) < c.hardLimit {
		return true
	}
	for _, l := range [...]*list.List{c.idleWorkers, c.idleOthers} {
		if e := l.Front(); e != nil {
			conn := e.Value.(net.Conn)
			c.removeIdle(c.open[conn])
			delete(c.open, conn)
			conn.Close()
			return true
		}
	}
	return false
}

// limitedListener accepts a connection only when the tracker admits it.
type limitedListener struct {
	net.Listener
	tracker *connTracker
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for !l.tracker.admit() {
		select {
		case <-l.tracker.freed:
		case <-time.After(admitRetryInterval):
		}
	}
	return l.Listener.Accept()
}
