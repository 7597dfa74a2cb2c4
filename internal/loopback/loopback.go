// Package loopback gives tests and benches addresses to listen at.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Addresses of a process lie in 127.64.0.0/10, where its number chooses the
// network. Outgoing connections leave from 127.0.0.1, so that none of them can
// take a port between the choice of an address and the listen.
const (
	octetBase  = 64
	octetCount = 64
	hostCount  = 254
)

var hostCounter atomic.Uint32

// Address returns an address on which nothing listens. Any goroutine may call
// it.
func Address() (string, error) {
	pid := os.Getpid()
	for range hostCount {
		host := 1 + hostCounter.Add(1)%hostCount
		ip := fmt.Sprintf("127.%d.%d.%d", octetBase+(pid>>8)%octetCount, pid&0xff, host)
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			continue
		}
		address := l.Addr().String()
		return address, errors.Wrap(l.Close(), "close")
	}
	return "", errors.New("no loopback address is free")
}
