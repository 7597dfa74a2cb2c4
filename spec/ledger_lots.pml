/*
 * Accepted lots: acceptance, lease, hand-over, adoption and end.
 *
 * Three daemons. The first accepts the lot; it may hand it to the second on an
 * announced reclaim, with the table up or down, or die without notice. Leases
 * lapse while their holder is paused and still works. The third adopts.
 *
 * Checked: a lot that the caller was told is accepted is never lost; it gets
 * one recorded answer. The broken variants must fail.
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
bool told = false;         /* the caller was told that the lot is accepted */
bool object_kept = false;  /* the object with the prompt */
bool works[DAEMONS];       /* the daemon holds the lot in memory */
bool gone[DAEMONS];

/* One commit: takes effect if the version holds, and its answer may be lost. */
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
    :: goto leave /* table down: the lot is refused, not owed */
    fi;
    object_kept = true;
    told = true;
    works[0] = true;
    if
    :: goto work
    :: /* Announced reclaim: the peer holds the lot before this daemon leaves.
        * The record follows, if the table is up. */
       works[1] = true;
       works[0] = false;
       goto leave
    :: goto leave /* dies; the row stays and its lease lapses */
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

/* The peer to which the lot may be handed over. It knows the version that the
 * acceptor had, and works whether or not it can record that it owns the lot. */
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
          :: else -> goto leave /* another owner's record came first */
          fi
       :: skip /* table down for now */
       fi;
       if
       :: record(1, held, finished, ok)
       :: skip /* dies; the row stays and its lease lapses */
       fi
    :: timeout
    fi;
leave:
    works[1] = false
}

/* Adopts the lot when its lease lapses, be its holder dead or only paused. */
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
    /* Answered once, or the row is there for any daemon to adopt. */
    assert(!told || answers == 1 || state == owned)
}
