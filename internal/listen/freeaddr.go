package listen

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// freePortBase and freePortCount are the start and the size of the range from which FreeAddr
	// chooses a port. The range is below the range of ephemeral ports.
	freePortBase  = 20000
	freePortCount = 10000
	// maxPortAttempts is the largest number of ports that FreeAddr tries.
	maxPortAttempts = 100
)

// ErrNoFreePort is the error of FreeAddr if it could listen on none of the ports that it tried.
var ErrNoFreePort = errors.New("listen: no free port found")

// FreeAddr returns a loopback address on which nothing listens, for a server that starts later. The
// port is not an ephemeral port, which an outgoing connection could get before the server does.
func FreeAddr() (string, error) {
	for range maxPortAttempts {
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
