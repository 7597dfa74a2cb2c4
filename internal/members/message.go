package members

import (
	"context"
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
)

type publish struct {
	topic string
	value []byte
}

type setRecord struct{ record Record }

type setSelf struct{ change func(*Record) }

type setSeeds struct{ addresses []string }

// upstreamObserved is an event of an upstream. It is ignored unless the upstream
// is in requireState or requireState is anyState.
type upstreamObserved struct {
	event        UpstreamEvent
	requireState State
}

const anyState State = -1

// retainUpstreams drops the records of upstreams that are not in keep.
type retainUpstreams struct{ keep map[string]bool }

type requestReceived struct {
	req      Message
	response chan<- Message
}

type responseReceived struct {
	target Target
	resp   Message
}

type exchangeFailed struct {
	target  Target
	started time.Time
}

type peerUnreachable struct {
	target  Target
	started time.Time
}

func (m publish) handle(_ context.Context, gs *Gossiper, now time.Time) {
	self := gs.group.Self()
	key := Key{Kind: Topic, Name: joinTopic(m.topic, self.Name)}
	version := uint64(1)
	if old := gs.group.Get(key); old != nil {
		version = old.Version + 1
	}
	gs.group.store(&Record{Key: key, Incarnation: self.Incarnation, Version: version, Value: m.value}, now)
}

func (m setRecord) handle(_ context.Context, gs *Gossiper, now time.Time) {
	gs.group.Set(now, m.record)
}

func (m setSelf) handle(_ context.Context, gs *Gossiper, now time.Time) {
	gs.group.SetSelf(now, m.change)
}

func (m setSeeds) handle(_ context.Context, gs *Gossiper, _ time.Time) {
	gs.group.SetSeeds(m.addresses)
}

func (m upstreamObserved) handle(_ context.Context, gs *Gossiper, now time.Time) {
	old := gs.group.Get(Key{Upstream, m.event.Name})
	if m.requireState != anyState && (old == nil || old.State != m.requireState) {
		return
	}
	changed, err := gs.group.ApplyEvent(now, m.event)
	if err != nil {
		gs.log.Error("upstream event rejected: no such transition", "error", err)
		return
	}
	if changed {
		gs.log.Info("upstream record changed by event", "upstream", m.event.Name, "event", string(m.event.Event), "from", m.event.Source)
	}
}

func (m retainUpstreams) handle(_ context.Context, gs *Gossiper, _ time.Time) {
	gs.group.retainUpstreams(m.keep)
}

func (m requestReceived) handle(_ context.Context, gs *Gossiper, now time.Time) {
	m.response <- gs.group.HandleRequest(now, m.req)
	if r := gs.group.Get(Key{Daemon, m.req.From}); r != nil {
		gs.notifyGeneration(m.req.Generation, r.Address)
	}
}

func (m responseReceived) handle(_ context.Context, gs *Gossiper, now time.Time) {
	gs.group.HandleResponse(now, m.target.Name, m.resp)
	gs.notifyGeneration(m.resp.Generation, m.target.Address)
}

func (m exchangeFailed) handle(ctx context.Context, gs *Gossiper, _ time.Time) {
	if m.target.Name == "" || m.target.Region != gs.group.Self().Region {
		return
	}
	confirmers := gs.group.Confirmers(m.target.Name)
	gs.wg.Add(1)
	go func() {
		defer gs.wg.Done()
		gs.confirm(ctx, m.target, m.started, confirmers)
	}()
}

func (m peerUnreachable) handle(_ context.Context, gs *Gossiper, now time.Time) {
	gs.group.MarkUnreachable(now, m.target.Name, m.started)
}

func joinTopic(topic, publisher string) string { return topic + "/" + publisher }

func splitTopic(name string) (topic, publisher string) {
	topic, publisher, _ = strings.Cut(name, "/")
	return topic, publisher
}

func toRequest(m Message) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{From: m.From, Region: m.Region, Generation: m.Generation, Digest: m.Digest, Records: encodeAll(m.Records), Full: m.Full}
}

func fromRequest(p *peerpb.ExchangeRequest) Message {
	return Message{From: p.From, Region: p.Region, Generation: p.Generation, Digest: p.Digest, Records: decodeAll(p.Records), Full: p.Full}
}

func toResponse(m Message) *peerpb.ExchangeResponse {
	return &peerpb.ExchangeResponse{From: m.From, Region: m.Region, Generation: m.Generation, Digest: m.Digest, Records: encodeAll(m.Records)}
}

func fromResponse(p *peerpb.ExchangeResponse) Message {
	return Message{From: p.From, Region: p.Region, Generation: p.Generation, Digest: p.Digest, Records: decodeAll(p.Records)}
}
