/*
 * Streams: attempts of one request, with crossed and late answers.
 *
 * An attempt may be given up at any moment and followed by another that goes
 * on at the next index. Tokens of old attempts, and of another request, may
 * still arrive on any connection. Two attempts may generate different texts.
 *
 * Checked: every token of the answer belongs to the request; the indexes have
 * no gap and no repetition; no token of an attempt follows one of a later
 * attempt. The broken variants must fail.
 */
// variants: NO_REQUEST_CHECK NO_ATTEMPT_CHECK NO_INDEX_CHECK

#define TOKENS 3
#define ATTEMPTS 2

chan net = [4] of { bool /* own request */, byte /* attempt */, byte /* index */ };
byte next = 0;       /* index of the next token that the caller gets */
byte attempt = 0;    /* the last that was started */
byte delivered = 0;  /* attempt of the last token delivered */
bool ended = false;

/* One attempt at an engine: sends the tokens from an index on. It doesn't know
 * when it is given up. */
proctype Engine(byte number; byte from) {
    byte i = from;
    if
    :: i = 0 /* ignores where it is asked to begin */
    :: skip
    fi;
    do
    :: i < TOKENS ->
end_unread: /* may wait for good on a connection that nobody reads */
       net!true, number, i;
       i++
    :: i == TOKENS -> break
    :: break /* cut, or silent for good */
    od
}

/* Answers of another request that arrive here. */
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
    :: timeout -> break /* cut honestly */
    od;
    assert(!ended || next == TOKENS)
}

init {
    atomic {
        run Reader();
        run Stray()
    }
}
