// Package peer sends updates between controllers, as length-delimited protobuf over TCP.
// Updates may be lost or late: nothing that must hold rests on them.
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
	// sendQueueLen bounds the updates that wait for a slow peer; the oldest are dropped.
	sendQueueLen = 32
	// dialTimeout and writeTimeout keep an unresponsive host from blocking a sender for long.
	dialTimeout  = 2 * time.Second
	writeTimeout = 3 * time.Second
	// idleTimeout ends a connection on which nothing arrives.
	idleTimeout = 2 * time.Minute
	// minRedialInterval separates attempts to reach a peer.
	minRedialInterval = time.Second
	// maxMessageBytes bounds an encoded update.
	maxMessageBytes = 1 << 20
	// maxPeerConns bounds the accepted connections, those of others included.
	maxPeerConns = 32
	// acceptRetryPause follows a failed accept, such as for lack of descriptors.
	acceptRetryPause = 50 * time.Millisecond
)

// peerHandshakeByte is the first byte of a peer's connection. Anything else that connects to
// the address, such as an operator's tool, speaks HTTP, which never begins with it.
const peerHandshakeByte = 0

// Sender sends updates to the peers. It is safe for concurrent use.
type Sender struct {
	queues map[string]chan message.PeerUpdate
}

// StartSender starts a sender to the peers, given as addresses by name. Its goroutines, one for
// each peer, end with the context.
func StartSender(ctx context.Context, peers map[string]string) *Sender {
	sender := &Sender{queues: map[string]chan message.PeerUpdate{}}
	for name, addr := range peers {
		queue := make(chan message.PeerUpdate, sendQueueLen)
		sender.queues[name] = queue
		go send(ctx, addr, queue)
	}
	return sender
}

// Send queues an update for a peer, dropping the oldest one while the queue is full. An update
// for an unknown peer is dropped.
func (s *Sender) Send(to string, update message.PeerUpdate) {
	queue := s.queues[to]
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

// send writes the queued updates of one peer until the context ends. Updates that find no
// connection are lost: the next ones say what has become of them.
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
			// The receiver would close the connection. The controller bounds what it puts into
			// an update, so this is an internal error.
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

// dial connects to a peer and identifies the connection as a peer's.
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

// Listen accepts connections on addr until the context ends, and passes each peer's updates to
// handle, from a goroutine for each connection. Connections of others than peers come out of
// the listener that it returns.
func Listen(ctx context.Context, addr string, handle func(message.PeerUpdate)) (net.Listener, error) {
	ln, err := listen.TCP(ctx, "back", addr)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	otherConns := &otherConnListener{addr: ln.Addr(), conns: make(chan net.Conn), done: ctx.Done()}
	go func() {
		<-ctx.Done()
		ln.Close()
	}()
	go acceptLoop(ctx, ln, handle, otherConns)
	return otherConns, nil
}

// acceptLoop handles each connection on a goroutine of its own, and closes those for which
// there is no slot.
func acceptLoop(ctx context.Context, ln net.Listener, handle func(message.PeerUpdate), otherConns *otherConnListener) {
	slots := make(chan struct{}, maxPeerConns)
	for {
		conn, err := ln.Accept()
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

// handleConn distinguishes a peer from others by the first byte.
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

// peekedConn is a connection whose first bytes are in the reader's buffer.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (p *peekedConn) Read(b []byte) (int, error) { return p.reader.Read(b) }

// otherConnListener is the listener for connections of others than peers. It ends with the
// context of Listen, and so does nothing on Close.
type otherConnListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  <-chan struct{}
}

func (o *otherConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-o.conns:
		return c, nil
	case <-o.done:
		return nil, net.ErrClosed
	}
}

func (o *otherConnListener) Close() error   { return nil }
func (o *otherConnListener) Addr() net.Addr { return o.addr }

// receiveUpdates handles a peer's updates until the connection ends or one can't be decoded.
func receiveUpdates(conn net.Conn, reader *bufio.Reader, handle func(message.PeerUpdate)) {
	defer conn.Close()
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var pb Update
		if err := opts.UnmarshalFrom(reader, &pb); err != nil {
			return
		}
		handle(decodeUpdate(&pb))
	}
}
