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
	// askTimeout bounds a question, the wait for those before it included: a request
	// waits for it, and the strictest targets are a tenth of a second and more.
	askTimeout = 100 * time.Millisecond
	// askPause is how long a hub that did not answer is not asked.
	askPause = time.Second
	// maxAskedHubs is how many hubs are asked, one after the other.
	maxAskedHubs = 2
)

// ErrNoHub says that no hub has answered.
var ErrNoHub = errors.New("no hub answers")

// asker asks one hub, one question at a time.
type asker struct {
	address string
	sem     chan struct{} // holds one while a question is under way
	conn    *drpcconn.Conn
	retryAt time.Duration // boot time before which it is not asked
}

// AskHub asks this daemon's hub, and another one where that does not answer.
func (m *Mesh) AskHub(ctx context.Context, q *meshpb.Question) (*meshpb.Answer, error) {
	err := ErrNoHub
	for _, a := range m.hubAskers() {
		out, aerr := a.ask(ctx, q)
		if aerr == nil {
			return out, nil
		}
		err = aerr
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// hubAskers returns those to ask, this daemon's own hub first.
func (m *Mesh) hubAskers() []*asker {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != Member {
		return nil
	}
	var list []*asker
	add := func(address string) {
		a := m.askers[address]
		if a == nil {
			a = &asker{address: address, sem: make(chan struct{}, 1)}
			m.askers[address] = a
		}
		list = append(list, a)
	}
	if p := m.peers[m.hub]; p != nil {
		add(p.Daemon.Address)
	}
	for _, d := range rankHubs(m.Self, selectHubs(m.hubCandidates(now))) {
		if len(list) == maxAskedHubs {
			break
		}
		if d.Name != m.hub && d.Name != m.Self.Name {
			add(d.Address)
		}
	}
	return list
}

// closeAskers closes the connections for questions.
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

func (a *asker) ask(ctx context.Context, q *meshpb.Question) (*meshpb.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case a.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "wait to ask %s", a.address)
	}
	defer func() { <-a.sem }()
	if boottime.Now() < a.retryAt {
		return nil, errors.Wrapf(ErrNoHub, "ask %s", a.address)
	}
	out, err := a.call(ctx, q)
	if err != nil {
		a.closeConn()
		a.retryAt = boottime.Now() + askPause
		return nil, errors.Wrapf(err, "ask %s", a.address)
	}
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
		conn, err := connect(ctx, a.address)
		if err != nil {
			return nil, err
		}
		a.conn = conn
	}
	return meshpb.NewDRPCMeshClient(a.conn).Ask(ctx, q)
}
