package listen

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// freePortBase and freePortCount are the range that FreeAddr chooses from. It lies below
	// the range of ephemeral ports.
	freePortBase  = 20000
	freePortCount = 10000
	// freeAttempts bounds the ports that are tried.
	freeAttempts = 100
)

// ErrNoFreePort is the error of FreeAddr when no port that it tried can be listened on.
var ErrNoFreePort = errors.New("listen: no free port found")

// FreeAddr returns a loopback address on which nothing listens, for a server that is started
// later. It does not take an ephemeral port, which an outgoing connection could get before the
// server does.
func FreeAddr() (string, error) {
	for range freeAttempts {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePortBase+rand.IntN(freePortCount)))
		if err != nil {
			continue
		}
		addr := ln.Addr().String()
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("listen: %w", err)
		}
		return addr, nil
	}
	return "", ErrNoFreePort
}
