/*
 * Accepted lots: acceptance, lease, hand-over, adoption and end.
 *
 * Three daemons. The first accepts the lot. After a reclaim notice it may hand
 * the lot over to the second, with the table up or down; or it dies without
 * notice. A lease may expire while its holder is paused, and the holder then
 * goes on working. The third adopts the lot.
 *
 * Checked: a lot whose acceptance the caller received is never lost, and gets
 * one recorded response. The broken variants must fail.
 */
// variants: NO_CONDITION TELL_BEFORE_RECORD RECORD_BEFORE_OBJECT REPEAT_BLINDLY

#define DAEMONS 3
#define NOBODY 255

mtype = { absent, owned, finished };
mtype state = absent;
byte version = 0;
byte owner = NOBODY;
byte answers = 0;
byte lapses = 0;
bool told = false;         /* the caller received the acceptance of the lot */
bool object_kept = false;  /* the object with the prompt is stored */
bool works[DAEMONS];       /* the daemon has the lot in memory */
bool gone[DAEMONS];

/* One commit: takes effect if the row still has the expected version; its response
 * may be lost. */
inline record(id, expected, to, ok) {
    atomic {
        if
#ifdef NO_CONDITION
        :: true ->
#else
        :: version == expected ->
#endif
            state = to;
            owner = id;
            version++;
            if
            :: to == finished -> answers++; assert(answers <= 1)
            :: else
            fi;
            ok = true
        :: else -> ok = false
        fi
    }
}

proctype Acceptor() {
    bool ok;
#ifdef TELL_BEFORE_RECORD
    told = true;
#endif
#ifndef RECORD_BEFORE_OBJECT
    object_kept = true;
#endif
    if
    :: record(0, 0, owned, ok)
    :: goto leave /* table down: the lot is refused, not accepted */
    fi;
    object_kept = true;
    told = true;
    works[0] = true;
    if
    :: goto work
    :: /* Reclaim notice: the peer has the lot before this daemon leaves. The peer
        * records its ownership afterwards, if the table is up. */
       works[1] = true;
       works[0] = false;
       goto leave
    :: goto leave /* dies; the row stays and its lease expires */
    fi;
work:
    record(0, 1, finished, ok);
#ifdef REPEAT_BLINDLY
    record(0, version, finished, ok);
#endif
leave:
    works[0] = false;
    gone[0] = true
}

/* The peer to which the lot may be handed over. It gets the acceptor's version of
 * the row, and runs the lot whether or not it can record its ownership. */
proctype Receiver() {
    byte held;
    bool ok;
    if
    :: works[1] ->
       held = 1;
       if
       :: record(1, held, owned, ok);
          if
          :: ok -> held = 2
          :: else -> goto leave /* another owner wrote the row first */
          fi
       :: skip /* table down for now */
       fi;
       if
       :: record(1, held, finished, ok)
       :: skip /* dies; the row stays and its lease expires */
       fi
    :: timeout
    fi;
leave:
    works[1] = false
}

/* Adopts the lot when its lease expires, whether the holder is dead or paused. */
proctype Adopter() {
    byte held;
    bool ok;
adopt:
    do
    :: atomic { state == owned && lapses < 2 -> lapses++; held = version }; /* one read of the row */
       assert(object_kept);
       record(2, held, owned, ok);
       if
       :: ok -> record(2, held + 1, finished, ok); break
       :: else
       fi
    :: state == finished -> break
    :: timeout -> break
    od
}

init {
    atomic {
        run Acceptor();
        run Receiver();
        run Adopter()
    };
    timeout;
    /* The lot has one response, or a row that any daemon can adopt. */
    assert(!told || answers == 1 || state == owned)
}
