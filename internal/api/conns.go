package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// hardLimitFraction is the fraction of the process's sockets that incoming connections may
	// use. The other sockets are for commands to workers and for connections to the state
	// service, the cloud and the other controllers.
	hardLimitFraction = 0.7
	// softLimitFraction is the fraction of the process's sockets above which the server closes a
	// worker's connection with its response to a heartbeat. The server can then serve more
	// workers than it has sockets, since a worker sends a short request once every few seconds.
	// The connections between the two limits remain available to users and health checks.
	softLimitFraction = 0.55
	// minConns is the smallest hard limit, in connections, however few sockets there are.
	minConns = 8
	// admitRetryInterval is the longest pause before the listener asks a full tracker again. It
	// asks earlier when a connection ends or becomes idle.
	admitRetryInterval = 200 * time.Millisecond
)

// connTracker limits the number of incoming connections to hardLimit. To admit a new connection at
// the limit, it closes the connection that has been idle the longest, and prefers the connections
// of workers: a worker reconnects for its next heartbeat, whereas a controller that accepts no
// connections looks as if it were down. Its methods are safe for concurrent use.
type connTracker struct {
	softLimit, hardLimit int
	// freed has capacity 1, and gets an element when a connection ends, becomes idle or becomes
	// active.
	freed chan struct{}

	mu   sync.Mutex
	open map[net.Conn]*trackedConn
	// idleWorkers and idleOthers list the connections without a request in progress, of workers
	// and of all other clients. The connection that has been idle the longest is first.
	idleWorkers, idleOthers *list.List
}

// trackedConn is the state of one open connection.
type trackedConn struct {
	// isWorker is whether the connection has carried a heartbeat.
	isWorker bool
	// idleList is the list that contains the connection while no request is in progress, and
	// idleElement its element there. idleElement is nil while a request is in progress.
	idleList    *list.List
	idleElement *list.Element
}

// newConnTracker returns a tracker whose limits are fractions of the number of sockets that the
// process may have open.
func newConnTracker(sockets int) *connTracker {
	return &connTracker{
		softLimit: max(minConns/2, int(softLimitFraction*float64(sockets))), hardLimit: max(minConns, int(hardLimitFraction*float64(sockets))),
		open: map[net.Conn]*trackedConn{}, idleWorkers: list.New(), idleOthers: list.New(), freed: make(chan struct{}, 1),
	}
}

// trackState updates the tracker after a connection's state has changed. It is the ConnState hook of
// the http.Server.
func (tracker *connTracker) trackState(conn net.Conn, state http.ConnState) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracked := tracker.open[conn]
	switch state {
	case http.StateNew:
		tracker.open[conn] = &trackedConn{}
		return
	case http.StateActive:
		tracker.removeIdle(tracked)
	case http.StateIdle:
		if tracked != nil {
			tracker.removeIdle(tracked)
			if tracked.idleList = tracker.idleOthers; tracked.isWorker {
				tracked.idleList = tracker.idleWorkers
			}
			tracked.idleElement = tracked.idleList.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		tracker.removeIdle(tracked)
		delete(tracker.open, conn)
	}
	select {
	case tracker.freed <- struct{}{}:
	default:
	}
}

// removeIdle removes a connection from its list of idle connections, if it is in one. tracked may be
// nil. The caller holds mu.
func (tracker *connTracker) removeIdle(tracked *trackedConn) {
	if tracked != nil && tracked.idleElement != nil {
		tracked.idleList.Remove(tracked.idleElement)
		tracked.idleElement = nil
	}
}

// markWorker records that a connection carries heartbeats. It reports whether the server should
// close the connection after the response, because more than softLimit connections are open.
func (tracker *connTracker) markWorker(conn net.Conn) (shouldClose bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracked := tracker.open[conn]; tracked != nil {
		tracked.isWorker = true
	}
	return len(tracker.open) > tracker.softLimit
}

// admit reports whether the server may accept one more connection. At the hard limit it first closes
// an idle connection, and returns false if there is none.
func (tracker *connTracker) admit() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if len(tracker.open) < tracker.hardLimit {
		return true
	}
	for _, idle := range [...]*list.List{tracker.idleWorkers, tracker.idleOthers} {
		if oldest := idle.Front(); oldest != nil {
			conn := oldest.Value.(net.Conn)
			tracker.removeIdle(tracker.open[conn])
			delete(tracker.open, conn)
			conn.Close()
			return true
		}
	}
	return false
}

// limitedListener is a listener that accepts a connection only when the tracker admits one.
type limitedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept waits until the tracker admits a connection, and accepts the next one.
func (listener *limitedListener) Accept() (net.Conn, error) {
	for !listener.tracker.admit() {
		select {
		case <-listener.tracker.freed:
		case <-time.After(admitRetryInterval):
		}
	}
	return listener.Listener.Accept()
}
