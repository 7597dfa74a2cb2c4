// A non-repeatable request, sent through internal/proxy. An upstream may refuse the
// request before it runs, run it and lose the response, return the response of another
// request, or not say whether the request ran.
//
// Checked: the request runs at most once; a caller that is promised not-run can rely on
// it; the caller never gets the response of another request.
//
// variants: RETRY_LOST PROMISE_LOST TRUST_STATUS TRUST_ANY_ID

#define ATTEMPTS 2

mtype = { ANSWER, NOT_RUN, NOTHING, FULL, CROSSED };

byte runs = 0;       // times that the upstreams ran this request
bool promised = false;
bool answeredOwn = false;
bool answeredOther = false;

// An upstream that received the request. Sets reply to what the daemon receives.
inline upstream(reply) {
	if
	:: runs++; reply = ANSWER
	:: reply = NOT_RUN
	:: runs++; reply = NOTHING
	:: reply = NOTHING
	:: runs++; reply = FULL      // a status that implies not-run, without the header that states it
	:: reply = FULL
	:: runs++; reply = CROSSED   // the response of another request
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
	:: mayHaveRun -> skip // 502: the request may have run
#endif
	fi;
over:
	assert(runs <= 1);
	assert(!(promised && runs > 0));
	assert(!answeredOther)
}
