// Package peer sends updates between controllers, as length-delimited protobuf messages over TCP.
// Updates may be lost or late, so the scheduler's invariants do not depend on their arrival.
package peer

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/micahill/micahill/internal/listen"
	"github.com/micahill/micahill/internal/message"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// sendQueueLen is how many updates may wait for a slow peer. When the queue is full, the
	// sender drops the oldest update.
	sendQueueLen = 32
	// dialTimeout and writeTimeout keep an unresponsive host from blocking the sending goroutine
	// for long.
	dialTimeout  = 2 * time.Second
	writeTimeout = 3 * time.Second
	// idleTimeout is how long the receiver waits for the next update before it closes the
	// connection.
	idleTimeout = 2 * time.Minute
	// minRedialInterval is the shortest time between two attempts to connect to a peer.
	minRedialInterval = time.Second
	// maxMessageBytes is the maximum size of an encoded update.
	maxMessageBytes = 1 << 20
	// maxPeerConns is how many connections are handled at a time: those of peers, and those of
	// other clients until the returned listener has accepted them.
	maxPeerConns = 32
	// acceptRetryPause is the pause after a failed accept, which can fail for lack of file
	// descriptors.
	acceptRetryPause = 50 * time.Millisecond
)

// peerHandshakeByte is the first byte that a peer sends on a connection. All other clients of the
// address, such as an operator's tool, use HTTP, which never begins with this byte.
const peerHandshakeByte = 0

// Sender sends updates to the peers. It is safe for concurrent use.
type Sender struct {
	// queues has the queue of each peer by the peer's name.
	queues map[string]chan message.PeerUpdate
}

// StartSender starts a sender to the given peers. peers maps each peer's name to its address. The
// sender's goroutines, one for each peer, end with the context.
func StartSender(ctx context.Context, peers map[string]string) *Sender {
	sender := &Sender{queues: map[string]chan message.PeerUpdate{}}
	for name, addr := range peers {
		queue := make(chan message.PeerUpdate, sendQueueLen)
		sender.queues[name] = queue
		go send(ctx, addr, queue)
	}
	return sender
}

// Send queues an update for a peer without waiting. While the queue is full, Send drops the oldest
// update in it. Send ignores an update for an unknown peer.
func (sender *Sender) Send(to string, update message.PeerUpdate) {
	queue := sender.queues[to]
	for queue != nil {
		select {
		case queue <- update:
			return
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

// send writes the queued updates to one peer until the context ends. It drops an update while there
// is no connection, since later updates contain the newer state.
func send(ctx context.Context, addr string, queue <-chan message.PeerUpdate) {
	var conn net.Conn
	var lastDial time.Time
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		var update message.PeerUpdate
		select {
		case <-ctx.Done():
			return
		case update = <-queue:
		}
		if conn == nil {
			if time.Since(lastDial) < minRedialInterval {
				continue
			}
			lastDial = time.Now()
			dialed, err := dial(ctx, addr)
			if err != nil {
				slog.Debug("peer dial failed", "addr", addr, "err", err)
				continue
			}
			conn = dialed
		}
		encoded := encodeUpdate(update)
		if size := proto.Size(encoded); size > maxMessageBytes {
			// The receiver would close the connection. The controller limits the size
			// of its updates, so this is an internal error.
			slog.Error("peer update too large", "addr", addr, "bytes", size, "max_bytes", maxMessageBytes)
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(conn, encoded); err != nil {
			slog.Debug("peer connection lost", "addr", addr, "err", err)
			conn.Close()
			conn = nil
		}
	}
}

// dial connects to a peer and sends the byte that identifies the connection as a peer's.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write([]byte{peerHandshakeByte}); err != nil {
		conn.Close()
		return nil, fmt.Errorf("peer: handshake: %w", err)
	}
	return conn, nil
}

// Listen accepts connections on addr until the context ends. It calls handle with each update from a
// peer, on one goroutine for each connection. The returned listener accepts the connections of all
// other clients.
func Listen(ctx context.Context, addr string, handle func(message.PeerUpdate)) (net.Listener, error) {
	listener, err := listen.TCP(ctx, "back", addr)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	otherConns := &otherConnListener{addr: listener.Addr(), conns: make(chan net.Conn), done: ctx.Done()}
	go func() {
		<-ctx.Done()
		listener.Close()
	}()
	go acceptLoop(ctx, listener, handle, otherConns)
	return otherConns, nil
}

// acceptLoop accepts connections until the context ends, and handles each one on its own goroutine.
// It closes a connection at once while maxPeerConns connections are being handled.
func acceptLoop(ctx context.Context, listener net.Listener, handle func(message.PeerUpdate), otherConns *otherConnListener) {
	slots := make(chan struct{}, maxPeerConns)
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryPause)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				handleConn(conn, handle, otherConns)
				<-slots
			}()
		default:
			conn.Close()
		}
	}
}

// handleConn reads a connection's first byte. If the byte identifies a peer, handleConn receives the
// peer's updates until the connection ends. Otherwise it passes the connection to otherConns.
func handleConn(conn net.Conn, handle func(message.PeerUpdate), otherConns *otherConnListener) {
	conn.SetReadDeadline(time.Now().Add(idleTimeout))
	reader := bufio.NewReader(conn)
	firstByte, err := reader.Peek(1)
	if err != nil {
		conn.Close()
		return
	}
	if firstByte[0] == peerHandshakeByte {
		reader.Discard(1)
		receiveUpdates(conn, reader, handle)
		return
	}
	conn.SetReadDeadline(time.Time{})
	select {
	case otherConns.conns <- &peekedConn{conn, reader}:
	case <-otherConns.done:
		conn.Close()
	}
}

// peekedConn is a connection whose first bytes have been read ahead into the reader's buffer.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads from the buffer first, and then from the connection.
func (peeked *peekedConn) Read(buffer []byte) (int, error) { return peeked.reader.Read(buffer) }

// otherConnListener is a net.Listener for the connections of clients other than peers. It ends with
// the context of Listen.
type otherConnListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  <-chan struct{}
}

// Accept waits for the next connection, and fails with net.ErrClosed after the context has ended.
func (listener *otherConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

// Close does nothing, since the listener ends with the context of Listen.
func (listener *otherConnListener) Close() error { return nil }

// Addr returns the address of Listen.
func (listener *otherConnListener) Addr() net.Addr { return listener.addr }

// receiveUpdates calls handle with each update from a peer, until the connection ends or an update
// can't be decoded. It closes the connection.
func receiveUpdates(conn net.Conn, reader *bufio.Reader, handle func(message.PeerUpdate)) {
	defer conn.Close()
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var pb Update
		if err := options.UnmarshalFrom(reader, &pb); err != nil {
			return
		}
		handle(decodeUpdate(&pb))
	}
}
