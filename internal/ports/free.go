package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// firstFree and freePorts are the range that Free chooses from. It lies below the
	// ports that outgoing connections get by themselves.
	firstFree = 20000
	freePorts = 10000
	// freeTries is how many ports are tried.
	freeTries = 100
)

// ErrNoneFree says that all ports that were tried are in use.
var ErrNoneFree = errors.New("ports: no free port found")

// Free returns a loopback address on which nothing listens, for a server that is started
// later. A port that the system chooses would do only for a server that listens at once:
// until then any outgoing connection may get it.
func Free() (string, error) {
	for range freeTries {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstFree+rand.IntN(freePorts)))
		if err != nil {
			continue
		}
		addr := ln.Addr().String()
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("ports: %w", err)
		}
		return addr, nil
	}
	return "", ErrNoneFree
}
