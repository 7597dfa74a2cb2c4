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
	firstNet = 64
	nets     = 64
	hosts    = 254
)

var next atomic.Uint32

// Address returns an address on which nothing listens. Any goroutine may call
// it.
func Address() (string, error) {
	pid := os.Getpid()
	for range hosts {
		host := 1 + next.Add(1)%hosts
		ip := fmt.Sprintf("127.%d.%d.%d", firstNet+(pid>>8)%nets, pid&0xff, host)
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			continue
		}
		address := l.Addr().String()
		return address, errors.Wrap(l.Close(), "close")
	}
	return "", errors.New("no loopback address is free")
}
