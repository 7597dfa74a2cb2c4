/*
 * Accepted lots with a non-repeatable call (bookings): dispatch by the owner,
 * hand-over before and after the call runs, adoption after the lease expires.
 *
 * Three daemons: the first accepted the booking, the second receives it by
 * hand-over, the third adopts it when its lease expires, which may happen at any
 * time while the row's state is running. A commit that its daemon has given up
 * waiting for may take effect late.
 *
 * Checked: the booking runs at most once; a booking that ended as answered ran.
 * The broken variants must fail.
 */
// variants: ADOPT_DISPATCHED SETTLE_BY_VERSION UNDO_WITH_END RERUN_AFTER_LOSS

#define NOBODY 255

mtype = { running, dispatched, ended };
mtype state = running;
byte version = 1;
byte owner = 0;
byte runs = 0;
bool late_keep = false;   /* a progress commit of the acceptor is in flight */
bool handed = false;      /* handed over to the receiver */
bool handed_end = false;  /* handed over with the response */
byte handed_version;
byte lapses = 0;

/* A conditional write of the row, which sets state to. */
inline record(id, expected, to, ok) {
    atomic {
        if
        :: version == expected -> state = to; owner = id; version++; ok = true
        :: else -> ok = false
        fi
    }
}

/* A progress commit that the acceptor gave up as uncertain and that takes effect late. */
proctype LateKeep() {
    atomic {
        if
        :: late_keep && version == 1 -> state = running; owner = 0; version = 2
        :: else
        fi;
        late_keep = false
    }
}

inline run_once() { atomic { runs++; assert(runs <= 1) } }

proctype Acceptor() {
    byte held = 1;
    bool ok;
    if
    :: late_keep = true; run LateKeep()
    :: skip
    fi;
dispatch:
    record(0, held, dispatched, ok);
    if
    :: ok -> held++
    :: else -> skip;
       /* Reads the row. The write took effect only if the row has its owner, version
        * and state. */
       atomic {
           if
#ifdef SETTLE_BY_VERSION
           :: owner == 0 && version == held + 1 -> held = version; ok = true
#else
           :: owner == 0 && version == held + 1 && state == dispatched -> held = version; ok = true
#endif
           :: owner == 0 && state == running -> held = version
           :: else -> goto leave
           fi
       };
       if
       :: ok -> skip
       :: else -> goto dispatch
       fi
    fi;
    if
    :: run_once()
    :: goto hand /* refused with a response that states not-run */
    :: goto leave /* dies, or pauses forever, between the commit and the first byte sent */
    fi;
    if
    :: skip; record(0, held, ended, ok)
    :: handed_version = held; handed_end = true; handed = true /* hands over with the response and leaves */
    :: skip /* dies: the outcome is unknown */
    :: skip; /* the response is lost */
#ifdef RERUN_AFTER_LOSS
       goto dispatch_again
#else
       record(0, held, ended, ok)
#endif
    fi;
    goto leave;
#ifdef RERUN_AFTER_LOSS
dispatch_again:
    record(0, held, running, ok);
    held++;
    goto dispatch;
#endif
hand:
    handed_version = held;
    handed = true;
leave:
    skip
}

proctype Receiver() {
    byte held;
    bool ok;
    if
    :: handed -> held = handed_version
    :: timeout -> goto leave
    fi;
    if
    :: handed_end ->
#ifdef UNDO_WITH_END
       record(1, held, running, ok);
#else
       record(1, held, dispatched, ok);
#endif
       /* The daemon may pause here until the lease expires. */
       if
       :: ok -> record(1, held + 1, ended, ok)
       :: else
       fi;
       goto leave
    :: else -> skip
    fi;
    record(1, held, running, ok);
    if
    :: !ok -> goto leave
    :: else -> held++
    fi;
    record(1, held, dispatched, ok);
    if
    :: !ok -> goto leave
    :: else -> run_once(); record(1, held + 1, ended, ok)
    fi;
leave:
    skip
}

proctype Adopter() {
    byte held;
    bool ok;
    do
    :: atomic {
#ifdef ADOPT_DISPATCHED
        state != ended && lapses < 2 ->
#else
        state == running && lapses < 2 ->
#endif
        lapses++; held = version };
       record(2, held, running, ok);
       if
       :: ok -> record(2, held + 1, dispatched, ok);
          if
          :: ok -> run_once(); record(2, held + 2, ended, ok); break
          :: else
          fi
       :: else
       fi
    :: state == ended -> break
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
    assert(state != ended || runs == 1 || owner == 0)
}
