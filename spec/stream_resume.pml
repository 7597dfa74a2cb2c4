// A stream that may be resumed at another upstream, as internal/proxy relays it. An
// upstream may break off between or within events, resume after the caller's last event
// or ignore that and start over, or lose the request before its first event.
//
// Checked: the caller gets each event once, in order and complete, and a response that
// ends as complete has all events.
//
// variants: NO_ID_CHECK PASS_PARTS END_ON_BREAK RESUME_AT_READ

#define EVENTS 3
#define ATTEMPTS 3

byte got = 0;         // number of events that the caller has received in order
bool wrong = false;   // the caller got an event twice, out of order or put together from two runs
bool ended = false;   // the caller's response ended as complete
bool part = false;    // the caller has received a part of the next event

// pass sends one complete event to the caller.
inline pass(id) {
	wrong = wrong || id != got + 1 || part;
	got = id
}

active proctype Proxy() {
	byte tries = 0;
	byte last = 0;   // id of the last event sent to the caller
	byte read = 0;   // id of the last event received, complete or not
	byte next;       // id of the event that the upstream sends next
send:
	if
	:: tries == ATTEMPTS -> goto cut
	:: tries < ATTEMPTS -> tries++
	fi;
	if
#ifdef RESUME_AT_READ
	:: next = read + 1
#else
	:: next = last + 1 // the upstream resumes after the last event
#endif
	:: next = 1        // the upstream starts over
	:: goto send       // the upstream breaks off before its first event
	fi;
	do
	:: next <= EVENTS -> // a complete event arrives
		read = next;
		if
#ifndef NO_ID_CHECK
		:: next <= last -> goto send // ids must rise
		:: next > last ->
#else
		:: true ->
#endif
			pass(next); last = next; next++
		fi
	:: next <= EVENTS -> // the upstream breaks off within an event
		read = next;
#ifdef PASS_PARTS
		part = true;
#endif
		goto broken
	:: goto broken // the upstream breaks off between events
	:: next > EVENTS -> ended = true; goto over
	od;
broken:
#ifdef END_ON_BREAK
	if :: ended = true; goto over :: goto send fi;
#else
	goto send;
#endif
cut:
	skip; // closes the caller's connection without ending the response
over:
	assert(!wrong);
	assert(!ended || got == EVENTS)
}
