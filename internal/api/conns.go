package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// hardLimitFraction of the sockets may be incoming connections; the rest is for orders
	// to workers, the state service, the cloud and the other controllers.
	hardLimitFraction = 0.7
	// softLimitFraction is from where on a report's connection is closed with its answer.
	// A pool larger than the sockets is served all the same, since a report takes
	// a moment and the next one is seconds away; and what lies between the two is
	// kept for users and health checks.
	softLimitFraction = 0.55
	// minConns is what is let in however few sockets there are.
	minConns = 8
	// admitRetryInterval is how long a new connection waits for one in use to end.
	admitRetryInterval = 200 * time.Millisecond
)

// connTracker counts the incoming connections and keeps them within the sockets. When
// none is left for a new one, the connection that has been idle the longest is
// closed, those of workers first: they come again with their next report, while a
// connection that is not accepted is a controller that does not answer.
type connTracker struct {
	mu                   sync.Mutex
	softLimit, hardLimit int
	open                 map[net.Conn]*trackedConn
	// idle are the connections without a request, the oldest first: workers' and
	// others'.
	idleWorkers, idleOthers *list.List
	freed                   chan struct{}
}

type trackedConn struct {
	isWorker    bool
	idleList    *list.List
	idleElement *list.Element
}

func newConnTracker(sockets int) *connTracker {
	return &connTracker{
		softLimit: max(minConns/2, int(softLimitFraction*float64(sockets))), hardLimit: max(minConns, int(hardLimitFraction*float64(sockets))),
		open: map[net.Conn]*trackedConn{}, idleWorkers: list.New(), idleOthers: list.New(), freed: make(chan struct{}, 1),
	}
}

// trackState follows a connection's life, as net/http tells it.
func (c *connTracker) trackState(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.open[nc]
	switch s {
	case http.StateNew:
		c.open[nc] = &trackedConn{}
		return
	case http.StateActive:
		c.removeIdle(tracked)
	case http.StateIdle:
		if tracked != nil {
			c.removeIdle(tracked)
			if tracked.idleList = c.idleOthers; tracked.isWorker {
				tracked.idleList = c.idleWorkers
			}
			tracked.idleElement = tracked.idleList.PushBack(nc)
		}
	case http.StateClosed, http.StateHijacked:
		c.removeIdle(tracked)
		delete(c.open, nc)
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

// markWorker notes that a connection carries a worker's reports, and says whether
// connections run short, so that it is to be closed.
func (c *connTracker) markWorker(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked := c.open[nc]; tracked != nil {
		tracked.isWorker = true
	}
	return len(c.open) > c.softLimit
}

// admit says whether there is room for one more connection, and closes an idle one
// if there is none.
func (c *connTracker) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) < c.hardLimit {
		return true
	}
	for _, l := range [...]*list.List{c.idleWorkers, c.idleOthers} {
		if e := l.Front(); e != nil {
			nc := e.Value.(net.Conn)
			c.removeIdle(c.open[nc])
			delete(c.open, nc)
			nc.Close()
			return true
		}
	}
	return false
}

// limitedListener accepts only while there is room.
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
