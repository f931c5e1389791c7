package listen

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// freePortBase and freePortCount are the range that Free chooses from. It lies below the
	// ports that outgoing connections get by themselves.
	freePortBase  = 20000
	freePortCount = 10000
	// freeAttempts is how many ports are tried.
	freeAttempts = 100
)

// ErrNoFreePort says that all ports that were tried are in use.
var ErrNoFreePort = errors.New("ports: no free port found")

// FreeAddr returns a loopback address on which nothing listens, for a server that is started
// later. A port that the system chooses would do only for a server that listens at once:
// until then any outgoing connection may get it.
func FreeAddr() (string, error) {
	for range freeAttempts {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePortBase+rand.IntN(freePortCount)))
		if err != nil {
			continue
		}
		addr := ln.Addr().String()
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("ports: %w", err)
		}
		return addr, nil
	}
	return "", ErrNoFreePort
}
