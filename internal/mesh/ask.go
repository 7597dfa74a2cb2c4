package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

const (
	// askTimeout bounds a question, including the wait for earlier questions to the
	// same daemon. A caller's request waits for the answer; the strictest latency targets
	// are 100 ms and more.
	askTimeout = 100 * time.Millisecond
	// patientAskTimeout bounds the second question about a request that is refused unless the
	// hub admits it. A hub that is up answers within it; see callTimeout.
	patientAskTimeout = 400 * time.Millisecond
	// askPause is how long a daemon is not asked after it failed to answer.
	askPause = time.Second
	// maxAskedHubs is the largest number of hubs that get the same question, one after the
	// other.
	maxAskedHubs = 2
)

// ErrNoHub means that no hub is known, or that the known ones failed recently.
var ErrNoHub = errors.New("no hub available")

// asker sends questions to one daemon, one at a time.
type asker struct {
	mesh    *Mesh
	address string
	sem     chan struct{}  // semaphore, full while a question is in flight; guards the fields below
	conn    *drpcconn.Conn // nil while disconnected
	retryAt time.Duration  // boot time before which the daemon is not asked
}

// AskHub sends a question to this daemon's hub and, if that fails, to another one. It
// returns ErrNoHub if there is no hub to ask, in particular if this daemon is not a
// member.
func (m *Mesh) AskHub(ctx context.Context, q *meshpb.Question) (*meshpb.Answer, error) {
	err := ErrNoHub
	for _, a := range m.hubAskers() {
		out, askErr := a.ask(ctx, q, askTimeout)
		if askErr == nil {
			return out, nil
		}
		err = askErr
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// AskHubAgain sends a question to this daemon's hub after AskHub has failed. It waits longer
// for the answer, which may be late because this VM or a link is busy. It returns ErrNoHub if
// the hub does not answer calls either.
func (m *Mesh) AskHubAgain(ctx context.Context, q *meshpb.Question) (*meshpb.Answer, error) {
	m.mu.Lock()
	p := m.peers[m.hub]
	if m.role != Member || p == nil || !m.answers(p, boottime.Now()) {
		m.mu.Unlock()
		return nil, ErrNoHub
	}
	a := m.asker(p.Daemon.Address)
	m.mu.Unlock()
	return a.ask(ctx, q, patientAskTimeout)
}

// hubAskers returns the askers of the hubs to ask, this daemon's own hub first. There
// are none if this daemon is not a member.
func (m *Mesh) hubAskers() []*asker {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != Member {
		return nil
	}
	var list []*asker
	if p := m.peers[m.hub]; p != nil {
		list = append(list, m.asker(p.Daemon.Address))
	}
	for _, d := range rankHubs(m.Self, selectHubs(m.hubCandidates(now))) {
		if len(list) == maxAskedHubs {
			break
		}
		if d.Name != m.hub && d.Name != m.Self.Name {
			list = append(list, m.asker(d.Address))
		}
	}
	return list
}

// asker returns the asker of the daemon at an address. The caller holds mu.
func (m *Mesh) asker(address string) *asker {
	a := m.askers[address]
	if a == nil {
		a = &asker{mesh: m, address: address, sem: make(chan struct{}, 1)}
		m.askers[address] = a
	}
	return a
}

// AskDaemon sends a question to the daemon at an address.
func (m *Mesh) AskDaemon(ctx context.Context, address string, q *meshpb.Question) (*meshpb.Answer, error) {
	m.mu.Lock()
	a := m.asker(address)
	m.mu.Unlock()
	return a.ask(ctx, q, askTimeout)
}

// closeAskers waits for questions in flight and closes their connections.
func (m *Mesh) closeAskers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.askers {
		a.sem <- struct{}{}
		a.closeConn()
		<-a.sem
	}
}

func (a *asker) closeConn() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// ask sends a question and waits for the answer. With a timeout above askTimeout it also asks
// a daemon that failed recently.
func (a *asker) ask(ctx context.Context, q *meshpb.Question, timeout time.Duration) (*meshpb.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case a.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "wait to ask daemon %s", a.address)
	}
	defer func() { <-a.sem }()
	if timeout <= askTimeout && boottime.Now() < a.retryAt {
		return nil, errors.Wrapf(ErrNoHub, "daemon %s failed recently", a.address)
	}
	out, err := a.call(ctx, q)
	if err != nil {
		a.closeConn()
		a.retryAt = boottime.Now() + askPause
		return nil, errors.Wrapf(err, "ask daemon %s", a.address)
	}
	a.retryAt = 0
	return out, nil
}

func (a *asker) call(ctx context.Context, q *meshpb.Question) (*meshpb.Answer, error) {
	if a.conn != nil {
		select {
		case <-a.conn.Closed():
			a.closeConn()
		default:
		}
	}
	if a.conn == nil {
		conn, err := a.mesh.connect(ctx, a.address)
		if err != nil {
			return nil, err
		}
		a.conn = conn
	}
	return meshpb.NewDRPCMeshClient(a.conn).Ask(ctx, q)
}
