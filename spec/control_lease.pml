// Fleet duty: a lease whose version is the fencing token, holders that pause for
// any time between any two steps, an engine that checks the number and one that
// ignores it.
//
// variants: NO_COMMIT_WITH_LEASE NO_REPEAT NO_FENCE_CHECK

#define HOLDERS 3

byte lease = 0;             // version of the lease row
byte wanted = 0;            // committed target of the engines, named by who decided it
byte decided[HOLDERS + 1];  // fencing token with which each holder decided; 0 is never
byte fenceSeen = 0;         // by the engine that checks
byte stateChecks = 0;
byte stateIgnores = 0;
bool stale = false;         // an old order counted at the engine that checks
byte finished = 0;          // processes that have ended

// A holder takes the lease, decides a target of its own and orders it. A pause is
// any interleaving: the other may take the lease between any two steps.
proctype Holder(byte id) {
	byte fence, order;
	bool mine;
	// Takes the lease, which its holder let lapse.
	atomic { lease++; fence = lease; mine = true }
	order = id;
	// Decides: the target is committed together with the lease.
	atomic {
#ifndef NO_COMMIT_WITH_LEASE
		if
		:: lease == fence -> lease++; fence = lease; wanted = order; decided[id] = fence
		:: else -> mine = false
		fi
#else
		wanted = order; decided[id] = fence
#endif
	}
	if
	:: !mine -> goto over
	:: else -> skip
	fi;
	// The order may arrive at any later time.
	atomic {
#ifndef NO_FENCE_CHECK
		if
		:: fence >= fenceSeen -> fenceSeen = fence; stateChecks = order
		:: else -> skip
		fi
#else
		if
		:: fence < fenceSeen -> stale = true
		:: else -> fenceSeen = fence
		fi;
		stateChecks = order
#endif
	}
	atomic { stateIgnores = order }
over:
	finished++
}

// Repeat is the holder in the end, which repeats the committed target.
proctype Repeat() {
	(finished == HOLDERS) ->
#ifndef NO_REPEAT
	atomic { lease++; stateIgnores = wanted; fenceSeen = lease; stateChecks = wanted }
#endif
	assert(!stale);
	assert(stateIgnores == wanted && stateChecks == wanted);
	// The decision that stands is that of the newest lease that decided at all.
	assert(wanted == 0 || (decided[wanted] >= decided[1] && decided[wanted] >= decided[2] && decided[wanted] >= decided[3]))
}

init {
	atomic {
		run Holder(1);
		run Holder(2);
		run Holder(3);
		run Repeat()
	}
}
