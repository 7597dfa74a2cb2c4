package site

import (
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// gate stops the traffic of connections while it is closed. What was sent in the meantime arrives
// when it opens, as after a partition or when a frozen VM goes on.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed by open; nil while the gate is open
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait waits until the gate is open. It returns false if ended is closed before.
func (g *gate) wait(ended <-chan struct{}) bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return true
	}
	select {
	case <-opened:
		return g.wait(ended)
	case <-ended:
		return false
	}
}

// gatedConn is a connection through a gate.
type gatedConn struct {
	net.Conn
	gate  *gate
	once  sync.Once
	ended chan struct{}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.gate.wait(c.ended) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.gate.wait(c.ended) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// CloseWrite ends the sending side, as the HTTP server does before it closes a connection with unread bytes.
func (c *gatedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// gatedListener accepts connections through a gate. The kernel accepts them also while it is
// closed.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: l.gate, ended: make(chan struct{})}, nil
}

// GoDark makes the upstream send nothing any more, on any connection, and close none, as a VM does
// that is frozen or has lost power.
func (u *Upstream) GoDark() { u.gate.close() }

// Wake undoes GoDark.
func (u *Upstream) Wake() { u.gate.open() }

// SetDarkEnd makes the upstream go dark where it would end.
func (u *Upstream) SetDarkEnd(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.darkEnd = on
}

// serveCheck answers a question whether the upstream works. It returns false for other requests.
func (u *Upstream) serveCheck(w http.ResponseWriter, req *http.Request) bool {
	if req.Method != http.MethodGet || req.URL.Path != "/lagoonmux/report" && req.URL.Path != "/health" {
		return false
	}
	u.mu.Lock()
	u.checks++
	u.mu.Unlock()
	w.Header().Set("X-Instance-Id", u.ID)
	_, _ = io.WriteString(w, "{}")
	return true
}

// Checks returns the number of questions whether the upstream works.
func (u *Upstream) Checks() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.checks
}

// Link is a network path to an address, which can be cut.
type Link struct {
	Address  string // of its near end
	gate     gate
	listener net.Listener
}

// NewLink returns a link to an address.
func NewLink(to string) (*Link, error) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	l := &Link{Address: inner.Addr().String()}
	l.listener = gatedListener{inner, &l.gate}
	go l.run(to)
	return l, nil
}

func (l *Link) run(to string) {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = near.Close() }()
			far, err := net.Dial("tcp4", to)
			if err != nil {
				return
			}
			defer func() { _ = far.Close() }()
			go func() {
				defer func() { _ = far.Close() }()
				_, _ = io.Copy(far, near)
			}()
			_, _ = io.Copy(near, far)
		}()
	}
}

// Cut stops the traffic of the link until Heal.
func (l *Link) Cut() { l.gate.close() }

// Heal undoes Cut.
func (l *Link) Heal() { l.gate.open() }

// Close ends the link.
func (l *Link) Close() { _ = l.listener.Close() }

// SetLinks replaces addresses in the rows that the endpoint returns, by those of links.
func (e *Endpoint) SetLinks(links map[string]*Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.links = links
}

// linked replaces addresses in rows.
func (e *Endpoint) linked(body any) any {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := body.(page)
	if !ok || len(e.links) == 0 {
		return body
	}
	for i, row := range p.Rows {
		value, err := base64.StdEncoding.DecodeString(row.Value)
		if err != nil {
			continue
		}
		text := string(value)
		for address, l := range e.links {
			text = strings.ReplaceAll(text, `"`+address+`"`, `"`+l.Address+`"`)
		}
		p.Rows[i].Value = base64.StdEncoding.EncodeToString([]byte(text))
	}
	return p
}
