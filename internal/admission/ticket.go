package admission

import (
	"math"
	"time"
)

const (
	// overdueMargin is the time beyond its expected one after which a request is overdue.
	overdueMargin = 50 * time.Millisecond
	// minOverdue is the number of overdue requests below which they show nothing about the
	// queues of the service: single ones are due to single slow upstreams.
	minOverdue = 3
	// ticketTTL bounds the age of the requests considered. Longer waits are refused by far, and
	// requests at an upstream that has ended without a sign must not count for long.
	ticketTTL = time.Second
	// maxWaitOverAge is the greatest ratio of the present wait to the time by which the oldest
	// request is overdue: the queue has grown since that was sent, at twice the capacity by
	// as much again. With 4, bursts of 0.4 s had five times as many of the least urgent requests
	// refused in replays with 6 daemons.
	maxWaitOverAge = 2
	// servedDecay is the time constant of the rate at which this daemon's requests are served.
	servedDecay = time.Second
)

// Ticket is an admitted request, until its first event or response or until it ends without one.
type Ticket struct {
	service  *service
	customer Customer
	class    int
	work     float64 // in ms of upstream time
	sentAt   time.Duration
	expected time.Duration // from sentAt to the first event or response
	wait     time.Duration // estimated when it was sent, included in expected
	ended    bool
	resent   bool // sentAt is that of an earlier attempt
}

// Admit records an admitted request and the time that it is expected to take until its first
// event or response, including the wait.
func (s *Shares) Admit(a Ask, expected, now time.Duration) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(a.Service, now)
	t := &Ticket{service: v, customer: a.Customer, class: Class(a.Rank), work: a.Work, sentAt: now, wait: a.Wait, expected: expected}
	v.pruneTickets(now)
	v.tickets = append(v.tickets, t)
	return t
}

// Served counts that an admitted request got its first event or response. t may be nil.
func (s *Shares) Served(t *Ticket, now time.Duration) {
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	v := t.service
	v.local.advance(now)
	v.local.customer(t.customer).served[t.class] += t.work / shareDecay.Seconds()
	if !t.resent {
		v.predictions[t.class].add(t.wait, max(now-t.sentAt-(t.expected-t.wait), 0), now)
	}
	v.decayServed(now)
	v.servedRate += t.work / servedDecay.Seconds()
}

// Resent records that an admitted request is sent to another upstream. The time until its first event
// then contains that of the attempt before, and tells nothing about waits. t may be nil.
func (s *Shares) Resent(t *Ticket) {
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.resent = true
}

// Dropped records that an admitted request ended, if it has not been served. t may be nil.
func (s *Shares) Dropped(t *Ticket) {
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.ended = true
}

// pruneTickets drops the requests that are too old to be considered.
func (v *service) pruneTickets(now time.Duration) {
	for len(v.tickets) > 0 && now-v.tickets[0].sentAt > ticketTTL {
		v.tickets = v.tickets[1:]
	}
}

func (v *service) decayServed(now time.Duration) {
	v.servedRate *= math.Exp(-max(now-v.servedAt, 0).Seconds() / servedDecay.Seconds())
	v.servedAt = max(v.servedAt, now)
}

// ownWait returns the wait at the service's upstreams that this daemon's own requests show, 0
// if they don't show one. What other daemons send becomes known late; that
// this daemon's requests are overdue does not. If most requests since the oldest overdue one
// have no answer yet, the wait is their work divided by the rate at which work is served.
// The result is used for advanceStep, since all recent requests are read for it.
func (v *service) ownWait(now time.Duration) time.Duration {
	if v.ownWaitAt == 0 || now-v.ownWaitAt >= advanceStep {
		v.lastOwnWait, v.ownWaitAt = v.computeOwnWait(now), now
	}
	return v.lastOwnWait
}

func (v *service) computeOwnWait(now time.Duration) time.Duration {
	v.pruneTickets(now)
	open, closed, work, oldest := 0, 0, 0.0, time.Duration(0)
	for _, t := range v.tickets {
		over := now - t.sentAt - t.expected
		switch {
		case !t.ended && (oldest > 0 || over > overdueMargin):
			if oldest == 0 {
				oldest = over
			}
			work += t.work
			if over > overdueMargin {
				open++
			}
		case oldest > 0 && over > overdueMargin:
			closed++
		}
	}
	if open < minOverdue || open < closed {
		return 0
	}
	v.decayServed(now)
	limit := maxWaitOverAge * oldest
	if seconds := work / max(v.servedRate, minWork); seconds < limit.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return limit
}
