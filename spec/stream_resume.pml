// A stream that may go on at another upstream, as internal/proxy passes it: upstreams
// that break off between or within events, that go on after the last event of the
// caller or ignore it and start over, and that lose the request before any event.
//
// variants: NO_ID_CHECK PASS_PARTS END_ON_BREAK RESUME_AT_READ

#define EVENTS 3
#define ATTEMPTS 3

byte got = 0;         // events that the caller has, in order
bool wrong = false;   // the caller got an event twice, out of order or joined of two runs
bool ended = false;   // the caller's answer ended as complete
bool part = false;    // the caller has a part of the next event

// pass gives one whole event to the caller.
inline pass(id) {
	wrong = wrong || id != got + 1 || part;
	got = id
}

active proctype Proxy() {
	byte tries = 0;
	byte last = 0;   // id of the last event that was passed on
	byte read = 0;   // id of the last event that was received, whole or not
	byte next;       // event that the upstream sends next
send:
	if
	:: tries == ATTEMPTS -> goto cut
	:: tries < ATTEMPTS -> tries++
	fi;
	if
#ifdef RESUME_AT_READ
	:: next = read + 1
#else
	:: next = last + 1 // it goes on after the last event
#endif
	:: next = 1        // it starts over
	:: goto send       // it breaks off before any event
	fi;
	do
	:: next <= EVENTS -> // a whole event comes
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
	:: next <= EVENTS -> // it breaks off within an event
		read = next;
#ifdef PASS_PARTS
		part = true;
#endif
		goto broken
	:: goto broken // it breaks off between events
	:: next > EVENTS -> ended = true; goto over
	od;
broken:
#ifdef END_ON_BREAK
	if :: ended = true; goto over :: goto send fi;
#else
	goto send;
#endif
cut:
	skip; // the connection is closed without the end of the answer
over:
	assert(!wrong);
	assert(!ended || got == EVENTS)
}
