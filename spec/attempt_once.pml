// One request that may run only once, sent through internal/proxy: upstreams that
// refuse before they run it, run it and lose the answer, answer with that of
// another request, or say nothing on whether they ran it.
//
// variants: RETRY_LOST PROMISE_LOST TRUST_STATUS TRUST_ANY_ID

#define ATTEMPTS 2

mtype = { ANSWER, NOT_RUN, NOTHING, FULL, CROSSED };

byte runs = 0;       // of this request
bool promised = false;
bool answeredOwn = false;
bool answeredOther = false;

// An upstream that the request reached; what comes back.
inline upstream(reply) {
	if
	:: runs++; reply = ANSWER
	:: reply = NOT_RUN
	:: runs++; reply = NOTHING
	:: reply = NOTHING
	:: runs++; reply = FULL      // a status that promises, without the word on running
	:: reply = FULL
	:: runs++; reply = CROSSED   // the answer of another request
	fi
}

active proctype Proxy() {
	byte sends = 0;
	bool mayHaveRun = false;
	mtype reply;
again:
	if
	:: sends < ATTEMPTS -> sends++
	:: else -> goto refuse
	fi;
	upstream(reply);
	if
	:: reply == ANSWER -> answeredOwn = true; goto over
	:: reply == NOT_RUN -> goto again
	:: reply == NOTHING ->
#ifdef RETRY_LOST
		goto again
#else
		mayHaveRun = true; goto refuse
#endif
	:: reply == FULL ->
#ifdef TRUST_STATUS
		goto refuse
#else
		mayHaveRun = true; goto refuse
#endif
	:: reply == CROSSED ->
#ifdef TRUST_ANY_ID
		answeredOther = true; goto over
#else
		mayHaveRun = true; goto refuse
#endif
	fi;
refuse:
	if
#ifdef PROMISE_LOST
	:: promised = true
#else
	:: !mayHaveRun -> promised = true
	:: mayHaveRun -> skip // 502: promises nothing
#endif
	fi;
over:
	assert(runs <= 1);
	assert(!(promised && runs > 0));
	assert(!answeredOther)
}
