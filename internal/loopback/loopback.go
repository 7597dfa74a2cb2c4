// Package loopback finds free loopback addresses for the servers of tests and benchmarks.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// All addresses are in 127.64.0.0/10, and the process ID selects the /24 network, so that
// processes rarely share one. Outgoing connections are made from 127.0.0.1 and therefore can't
// take a port between the call of Address and the caller's listen.
const (
	secondOctetMin   = 64
	secondOctetCount = 64
	maxHost          = 254
)

var hostCounter atomic.Uint32

// Address returns a host:port on which nothing listens. It is safe for concurrent use.
func Address() (string, error) {
	// A process that is being started has the listener open too, until it executes its program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	pid := os.Getpid()
	for range maxHost {
		host := 1 + hostCounter.Add(1)%maxHost
		ip := fmt.Sprintf("127.%d.%d.%d", secondOctetMin+(pid>>8)%secondOctetCount, pid&0xff, host)
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			continue
		}
		address := l.Addr().String()
		return address, errors.Wrap(l.Close(), "close listener that probes for a free port")
	}
	return "", errors.New("no free loopback address")
}
