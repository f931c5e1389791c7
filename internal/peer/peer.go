// Package peer carries news between controllers: length-delimited protobuf
// over TCP. News is for display and for wishes; it may be lost or late.
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
	// sendQueueLen bounds what waits for a slow peer; older news is dropped.
	sendQueueLen = 32
	// dialTimeout, writeTimeout: a silent host must not hold a sender long.
	dialTimeout  = 2 * time.Second
	writeTimeout = 3 * time.Second
	// idleTimeout ends a connection on which nothing came for long.
	idleTimeout = 2 * time.Minute
	// minRedialInterval separates tries to reach a peer.
	minRedialInterval = time.Second
	// maxMessageBytes bounds one message.
	maxMessageBytes = 1 << 20
	// maxPeerConns bounds accepted connections.
	maxPeerConns = 32
)

// Sender sends to the peers and listens for them.
type Sender struct {
	queues map[string]chan message.PeerUpdate
}

// StartSender begins to send to the peers, by name and address.
func StartSender(ctx context.Context, peers map[string]string) *Sender {
	sender := &Sender{queues: map[string]chan message.PeerUpdate{}}
	for name, addr := range peers {
		queue := make(chan message.PeerUpdate, sendQueueLen)
		sender.queues[name] = queue
		go send(ctx, addr, queue)
	}
	return sender
}

// Send queues news for a peer, dropping the oldest when the queue is full.
func (n *Sender) Send(to string, update message.PeerUpdate) {
	queue := n.queues[to]
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

func send(ctx context.Context, addr string, queue chan message.PeerUpdate) {
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
			dialed, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
			if err != nil {
				slog.Debug("peer not reached", "addr", addr, "err", err)
				continue
			}
			dialed.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := dialed.Write([]byte{peerHandshakeByte}); err != nil {
				dialed.Close()
				continue
			}
			conn = dialed
		}
		encoded := toProto(update)
		if size := proto.Size(encoded); size > maxMessageBytes {
			// It would end the connection at the other end. What is in it is bounded by
			// whoever makes it, so this is a defect.
			slog.Error("news to a controller is too large", "addr", addr, "bytes", size, "most", maxMessageBytes)
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(conn, encoded); err != nil {
			slog.Debug("peer lost", "addr", addr, "err", err)
			conn.Close()
			conn = nil
		}
	}
}

// peerHandshakeByte is the first byte of a peer's connection. Anything else that connects
// here, an operator's tool, speaks HTTP, which never begins with it.
const peerHandshakeByte = 0

// Listen takes news from peers and hands it to post. Connections that are not
// a peer's come out of the listener it returns.
func Listen(ctx context.Context, addr string, handle func(message.PeerUpdate)) (net.Listener, error) {
	ln, err := listen.TCP(ctx, "back", addr)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	slots := make(chan struct{}, maxPeerConns)
	otherConns := &otherConnListener{addr: ln.Addr(), conns: make(chan net.Conn), done: ctx.Done()}
	go func() {
		<-ctx.Done()
		ln.Close()
	}()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
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
	}()
	return otherConns, nil
}

// handleConn tells a peer from others by the first byte.
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

// peekedConn is a connection whose first bytes have been read already.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (p *peekedConn) Read(b []byte) (int, error) { return p.reader.Read(b) }

// otherConnListener is a listener for the connections that are not a peer's.
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

func receiveUpdates(conn net.Conn, reader *bufio.Reader, handle func(message.PeerUpdate)) {
	defer conn.Close()
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var pb News
		if err := opts.UnmarshalFrom(reader, &pb); err != nil {
			return
		}
		handle(pb.toUpdate())
	}
}
