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

// observe is an event of an upstream, taken in only while it is in the given
// state unless that is anyState.
type observe struct {
	event UpstreamEvent
	only  State
}

const anyState State = -1

// forget drops the upstreams that are not kept.
type forget struct{ keep map[string]bool }

type received struct {
	req   Message
	reply chan<- Message
}

type answered struct {
	target Target
	resp   Message
}

type failed struct {
	target  Target
	started time.Time
}

type silent struct {
	target  Target
	started time.Time
}

func (m publish) handle(_ context.Context, t *Task, now time.Time) {
	self := t.group.Self()
	key := Key{Kind: Topic, Name: joinTopic(m.topic, self.Name)}
	version := uint64(1)
	if old := t.group.Get(key); old != nil {
		version = old.Version + 1
	}
	t.group.put(&Record{Key: key, Incarnation: self.Incarnation, Version: version, Value: m.value}, now)
}

func (m setRecord) handle(_ context.Context, t *Task, now time.Time) { t.group.Set(now, m.record) }

func (m setSelf) handle(_ context.Context, t *Task, now time.Time) { t.group.SetSelf(now, m.change) }

func (m setSeeds) handle(_ context.Context, t *Task, _ time.Time) { t.group.Seed(m.addresses) }

func (m observe) handle(_ context.Context, t *Task, now time.Time) {
	old := t.group.Get(Key{Upstream, m.event.Name})
	if m.only != anyState && (old == nil || old.State != m.only) {
		return
	}
	changed, err := t.group.Observe(now, m.event)
	if err != nil {
		t.log.Error("event not allowed", "error", err)
		return
	}
	if changed {
		t.log.Info("upstream observed", "upstream", m.event.Name, "event", string(m.event.Event), "from", m.event.From)
	}
}

func (m forget) handle(_ context.Context, t *Task, _ time.Time) { t.group.forgetUpstreams(m.keep) }

func (m received) handle(_ context.Context, t *Task, now time.Time) {
	m.reply <- t.group.Receive(now, m.req)
	if r := t.group.Get(Key{Daemon, m.req.From}); r != nil {
		t.heardGeneration(m.req.Generation, r.Address)
	}
}

func (m answered) handle(_ context.Context, t *Task, now time.Time) {
	t.group.Answered(now, m.target.Name, m.resp)
	t.heardGeneration(m.resp.Generation, m.target.Address)
}

func (m failed) handle(ctx context.Context, t *Task, _ time.Time) {
	if m.target.Name == "" || m.target.Region != t.group.Self().Region {
		return
	}
	ask := t.group.Confirmers(m.target.Name)
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.confirm(ctx, m.target, m.started, ask)
	}()
}

func (m silent) handle(_ context.Context, t *Task, now time.Time) {
	t.group.Silent(now, m.target.Name, m.started)
}

func joinTopic(topic, from string) string { return topic + "/" + from }

func splitTopic(name string) (topic, from string) {
	topic, from, _ = strings.Cut(name, "/")
	return topic, from
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
