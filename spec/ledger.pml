/*
 * The ledger protocol of non-repeatable calls.
 *
 * Daemons pause (modelled by interleaving: any process may stop between any two
 * steps), die, and lose responses to their commits. A commit may take effect
 * after its daemon has given up waiting for it.
 *
 * Checked: the call runs at most once; a call whose caller got not-run did not
 * run. Each broken variant is selected by a macro and must fail.
 */
// variants: NO_CONDITION RUN_UNCERTAIN REFUSE_AFTER_SEND RELEASE_BY_VERSION NOT_RUN_ON_LOSS SEND_AFTER_PROMISE

#define DAEMONS 2

/* States of the row of a call; version 0 means that there is no row. */
mtype = { none, dispatched, done, refused, lost };

mtype call_state = none;
byte call_version = 0;
byte call_owner = 255;  /* in place of the token: each daemon dispatches with its own */

byte runs = 0;             /* times the upstream ran the call */
byte crashes = 0;

/* A commit in flight. It takes effect now, later or never. */
#define COMMIT_OK 1
#define COMMIT_CONFLICT 2
#define COMMIT_UNKNOWN 3
#define COMMIT_DOWN 4

/* Commits a dispatch by daemon id if the row still has the given version. */
inline apply_dispatch(id, version, result) {
    atomic {
        if
#ifdef NO_CONDITION
        :: true ->
#else
        :: call_version == version ->
#endif
            call_state = dispatched;
            call_version++;
            call_owner = id;
            result = COMMIT_OK
        :: else -> result = COMMIT_CONFLICT
        fi
    }
}

/* A delayed commit whose daemon has given up waiting for it. */
bool late[DAEMONS];
byte late_version[DAEMONS];

proctype Delayed(byte id) {
    byte result;
    if
    :: apply_dispatch(id, late_version[id], result)
    :: skip /* never arrives */
    fi;
    late[id] = false
}

/* Changes the row of the call that this daemon dispatched, if the row still has
 * the given version. */
inline change(id, version, to) {
    atomic {
        if
        :: call_version == version -> call_state = to; call_version++
        :: else
        fi
    }
}

/* Responds not-run to the caller. Nothing that this daemon sent for this caller
 * may have run, and the daemon must not send anything for it afterwards. */
bool own_ran[DAEMONS];
bool promised[DAEMONS];
#define say_not_run(id) atomic { assert(!own_ran[id]); promised[id] = true }

/* The upstream runs the call, refuses it with a response that states not-run,
 * or the response is lost, whether or not the call ran. */
#define REPLY_ANSWER 1
#define REPLY_REFUSED 2
#define REPLY_LOST 3

inline send(id, reply) {
    assert(!promised[id]);
    if
    :: atomic { runs++; own_ran[id] = true; assert(runs <= 1); reply = REPLY_ANSWER }
    :: atomic { runs++; own_ran[id] = true; assert(runs <= 1); reply = REPLY_LOST }
    :: reply = REPLY_REFUSED
    :: reply = REPLY_LOST
    fi
}

/* A daemon that receives the call, up to twice. */
proctype Daemon(byte id) {
    byte version, result, reply, asks = 0;
    bool uncertain;
ask:
    if
    :: asks == 2 -> goto end
    :: else -> asks++
    fi;
    own_ran[id] = false;
    promised[id] = false;
    version = 0; /* a row that the daemon has not read is assumed absent */
admit:
    uncertain = false;
    result = 0;
    /* The commit that dispatches: ok, conflict, response lost before or after
     * the effect, or the table is down. */
    if
    :: apply_dispatch(id, version, result);
       if
       :: skip
       :: result == COMMIT_OK -> result = COMMIT_UNKNOWN
       fi
    :: !late[id] ->
       result = COMMIT_UNKNOWN; late[id] = true; late_version[id] = version; run Delayed(id)
    :: result = COMMIT_DOWN
    fi;
    if
    :: result == COMMIT_UNKNOWN ->
#ifdef RUN_UNCERTAIN
       goto dispatch;
#endif
       /* Commits again with the same token: ok if the first commit took effect,
        * otherwise the daemon gives up. */
       if
       :: call_state == dispatched && call_owner == id && call_version == version + 1 -> result = COMMIT_OK
       :: uncertain = true
       fi
    :: else
    fi;
    if
    :: uncertain -> goto give_up
    :: result == COMMIT_DOWN -> say_not_run(id); goto ask
    :: result == COMMIT_OK -> goto dispatch
    :: result == COMMIT_CONFLICT -> goto settle
    fi;

settle:
    /* Reads the row after a conflict. */
    atomic {
        if
        :: call_state == dispatched && call_owner == id && call_version == version + 1 -> result = COMMIT_OK
        :: call_state == refused -> version = call_version; result = COMMIT_CONFLICT
        :: else -> result = 0
        fi
    };
    if
    :: result == COMMIT_OK -> goto dispatch
    :: result == COMMIT_CONFLICT -> goto admit
    :: else -> goto ask /* the caller gets the recorded response, or unknown */
    fi;

give_up:
    /* Nothing will be sent. The row is withdrawn after the response to the caller. */
    say_not_run(id);
#ifdef SEND_AFTER_PROMISE
    goto dispatch;
#endif
    atomic {
        if
        :: call_version == version -> call_state = refused; call_version++; goto ask
        :: else
        fi
    };
#ifdef RELEASE_BY_VERSION
    change(id, version + 1, refused);
#else
    atomic {
        if
        :: call_state == dispatched && call_owner == id -> call_state = refused; call_version++
        :: else
        fi
    };
#endif
    goto ask;

dispatch:
    version = version + 1;
    if
    :: crashes < 1 -> crashes++; goto end /* the daemon dies between the commit and the first byte sent */
    :: skip
    fi;
    send(id, reply);
    if
    :: crashes < 1 -> crashes++; goto end /* the daemon dies before it records the end */
    :: skip
    fi;
    if
    :: reply == REPLY_ANSWER -> change(id, version, done)
    :: reply == REPLY_REFUSED -> say_not_run(id); change(id, version, refused)
    :: reply == REPLY_LOST ->
#ifdef NOT_RUN_ON_LOSS
       say_not_run(id);
#endif
#ifdef REFUSE_AFTER_SEND
       change(id, version, refused)
#else
       change(id, version, lost)
#endif
    fi;
    goto ask;
end:
    skip
}

init {
    atomic {
        run Daemon(0);
        run Daemon(1)
    }
}
