/*
 * Streams: attempts of one request, with crossed and late responses.
 *
 * The daemon may abandon an attempt at any moment and start another, which
 * continues at the next index. Tokens of old attempts, and of another request,
 * may still arrive on any connection. Two attempts may generate different texts.
 *
 * Checked: every token of the response belongs to the request; the indexes have
 * no gap and no repetition; no token of an attempt follows one of a later
 * attempt. The broken variants must fail.
 */
// variants: NO_REQUEST_CHECK NO_ATTEMPT_CHECK NO_INDEX_CHECK

#define TOKENS 3
#define ATTEMPTS 2

chan net = [4] of { bool /* own request */, byte /* attempt */, byte /* index */ };
byte next = 0;       /* index of the next token that the caller gets */
byte attempt = 0;    /* number of the last attempt started */
byte delivered = 0;  /* attempt of the last token delivered */
bool ended = false;

/* One attempt at an engine: sends the tokens from an index on. The engine does
 * not notice when the daemon abandons the attempt. */
proctype Engine(byte number; byte from) {
    byte i = from;
    if
    :: i = 0 /* ignores the index requested by the daemon */
    :: skip
    fi;
    do
    :: i < TOKENS ->
end_unread: /* may block forever on a connection that nobody reads */
       net!true, number, i;
       i++
    :: i == TOKENS -> break
    :: break /* cut, or silent forever */
    od
}

/* Tokens of another request's response that arrive on this request's connection. */
proctype Stray() {
end:
    if
    :: net!false, 1, 0
    :: net!false, 1, 1
    :: skip
    fi
}

proctype Reader() {
    bool own;
    byte number, index;
again:
    attempt++;
    run Engine(attempt, next);
    do
    :: net?own, number, index ->
       if
#ifndef NO_REQUEST_CHECK
       :: !own -> skip
#endif
#ifndef NO_ATTEMPT_CHECK
       :: own && number != attempt -> skip
#endif
       :: else ->
          if
#ifndef NO_INDEX_CHECK
          :: index != next -> /* the attempt has failed */
             if
             :: attempt < ATTEMPTS -> goto again
             :: else -> break
             fi
#endif
          :: else ->
             assert(own);
             assert(index == next);
             assert(number >= delivered);
             assert(number == attempt);
             delivered = number;
             next++
          fi
       fi;
       if
       :: next == TOKENS -> ended = true; break
       :: else
       fi
    :: attempt < ATTEMPTS -> goto again /* no progress, or the connection failed */
    :: timeout -> break /* the caller sees that the response is cut */
    od;
    assert(!ended || next == TOKENS)
}

init {
    atomic {
        run Reader();
        run Stray()
    }
}
